#include <gtest/gtest.h>

#include <fcntl.h>
#include <unistd.h>

#include <fstream>
#include <map>
#include <regex>
#include <set>
#include <sstream>

#include "sim/event_lines.h"
#include "sim/late_starts.h"

static std::string
job_name(int number)
{
	char text[17];

	snprintf(text, sizeof(text), "%016x", 0x100000 + number);
	return text;
}

/* Returns the ms of a job's first task in a line, or -1. */
static long
waited_ms(const std::string &line, const std::string &job)
{
	std::smatch found;

	return std::regex_search(line, found, std::regex(job + "/0:([0-9]+)"))
	    ? std::stol(found[1])
	    : -1;
}

/* Returns the time of the first line of an event that has two texts, or -1. */
static int64_t
time_of(const Lines &lines, enum ev_number number, const char *a, const char *b)
{
	for (const Lines::Line &line : lines.all)
		if (line.number == number &&
		    line.text.find(a) != std::string::npos &&
		    line.text.find(b) != std::string::npos)
			return line.ms;
	return -1;
}

/* A job whose start may arrive late, as its worker is silent after it, beside
 * many jobs for which there is no room. */
struct BusyDay : LateStarts {
	static constexpr int JOBS = 400;

	void
	play()
	{
		sim.add_worker("w2").work_ms = 60000;
		submit(1, 14000);
		run_until(1100);
		crash(13000);
		for (int i = 0; i < JOBS; i++)
			sim.submit(job_name(i).c_str(),
			    {FlowFixture::make_step(1, 8)}, 2);
		run_until(18000);
	}
};

/* The lines of a job that stood could not be found: nothing said that it was
 * ready, for how long, and which rule held it back. */
TEST(FlowWaits, RuleAndTimeOfAStandingJobAreLoggedBeside400Others)
{
	BusyDay day;
	Lines lines(&day.sim.now_ms);
	std::set<std::string> named;
	std::string line;

	day.play();
	line = lines.find(EV_FLOW_WAITS, "reason=late_start ", JOB_A "/0:");
	EXPECT_NE("", line);
	EXPECT_GE(waited_ms(line, JOB_A), 1000);
	EXPECT_LT(waited_ms(line, JOB_A), 2000);
	EXPECT_NE(std::string::npos, line.find("#1@w1"));
	line = lines.find(EV_FLOW_WAITS_OVER, "end=placed ", JOB_A "/0:");
	EXPECT_NE("", line);
	/* From the end of its first run to the next decision's placement. */
	EXPECT_NEAR(waited_ms(line, JOB_A),
	    time_of(lines, EV_FLOW_PLACED, JOB_A, "run=2") -
		time_of(lines, EV_FLOW_ENDED, JOB_A, "run=1"),
	    10);
	EXPECT_GT(waited_ms(line, JOB_A), 4500);
	EXPECT_NE(std::string::npos, line.find(":late_start:"));
	for (const std::string &text : lines.of(EV_FLOW_WAITS))
		for (int i = 0; i < BusyDay::JOBS; i++)
			if (text.find(job_name(i) + "/0:") != std::string::npos)
				named.insert(job_name(i));
	EXPECT_GE(named.size(), (size_t)BusyDay::JOBS - 16);
}

/* The log writes at most 40 lines of one event in a second, and its lines have
 * a limited length. */
TEST(FlowWaits, LimitsOfTheLogSwallowNoJob)
{
	BusyDay day;
	std::string output;
	char buffer[4096];
	ssize_t bytes;
	int saved = dup(STDOUT_FILENO);
	int ends[2];

	ASSERT_EQ(0, pipe(ends));
	fcntl(ends[0], F_SETFL, O_NONBLOCK);
	fcntl(ends[1], F_SETPIPE_SZ, 1 << 20);
	fflush(stdout);
	dup2(ends[1], STDOUT_FILENO);
	EXPECT_EQ(CW_OK, ev_open_stdout());
	/* The simulation runs faster than the log's clock, so that the limit
	 * is stricter than in operation. */
	day.play();
	ev_sink_set(nullptr);
	dup2(saved, STDOUT_FILENO);
	close(saved);
	while ((bytes = ::read(ends[0], buffer, sizeof(buffer))) > 0)
		output.append(buffer, (size_t)bytes);
	close(ends[0]);
	close(ends[1]);
	EXPECT_TRUE(std::regex_search(output,
	    std::regex("\"event\":\"1143\"[^\n]*\"reason\":\"late_start\"[^\n]*"
		       "\"jobs\":\"" JOB_A "/0:[0-9]+#1@w1\"")));
	EXPECT_TRUE(std::regex_search(output,
	    std::regex("\"event\":\"1144\"[^\n]*" JOB_A
		       "/0:[0-9]+:late_start:[0-9]+@w")));
	for (int i = 16; i < BusyDay::JOBS; i++)
		EXPECT_TRUE(
		    output.find(job_name(i) + "/0:") != std::string::npos)
		    << job_name(i);
}

/* A view of a fixture's board after a decision. */
struct Decision {
	FlowFixture *fixture;
	struct fw_view view;
	struct fw_tables tables;

	explicit Decision(FlowFixture *of, int64_t now_ms = 5000) : fixture(of)
	{
		fw_tables_init(&tables);
		bd_read_begin();
		fw_view_build(&view, fixture->board, &fixture->settings, now_ms,
		    now_ms - 3000);
	}

	~Decision()
	{
		fw_view_free(&view);
		bd_read_end();
		fw_tables_free(&tables);
	}

	/* Returns the reason of the first task of a job. */
	std::string
	reason(const char *job, uint32_t count = 1)
	{
		struct fw_group group = {};
		struct fw_wait_cause cause;
		uint64_t id;

		fw_flow_id_parse(job, &id);
		group.job = fw_view_job_index(&view, id);
		group.count = count;
		group.priority = view.jobs[group.job].row->priority;
		fw_group_describe(&group, &view,
		    fw_flow_suspect(
			fw_job_current(&view.jobs[group.job]), view.wall_ms));
		if (!fw_wait_find_rule(&view, &group, &tables, nullptr, &cause))
			cause.reason = fw_wait_for_room(&view, &group);
		return fw_wait_name(cause.reason);
	}
};

/* The reason must name what is missing: a task that fits was said to have no
 * room would lead to the wrong remedy. */
TEST(FlowWaits, ReasonNamesTheBarrierOfTheOnlyWorkerThatFits)
{
	FlowFixture fixture;

	fixture.queue.target_ms = 60000;
	fixture.add_host("h1", "r1");
	fixture.submit(JOB_A, {FlowFixture::make_step(1, 4)});
	fixture.submit(JOB_B, {FlowFixture::make_step(1, 16)});
	Decision decision(&fixture);
	struct fw_host_view *host = &decision.view.hosts[0];

	EXPECT_EQ("unknown", decision.reason(JOB_A));
	EXPECT_EQ("no_worker", decision.reason(JOB_B));
	host->schedulable = false;
	EXPECT_EQ("workers_silent", decision.reason(JOB_A));
	host->schedulable = true;
	host->urgent = true;
	EXPECT_EQ("reserved", decision.reason(JOB_A));
	host->urgent = false;
	host->trial = 1;
	EXPECT_EQ("trial", decision.reason(JOB_A));
	host->trial = 0;
	host->late.accels = 5;
	EXPECT_EQ("late_room", decision.reason(JOB_A));
	host->late.accels = 0;
	host->accels -= 6;
	EXPECT_EQ("no_room", decision.reason(JOB_A));
	host->kept.accels = 2;
	EXPECT_EQ("kept", decision.reason(JOB_A));
	host->kept.accels = 0;
	host->accels += 6;
	decision.view.services[0].urgent_backlog = 8;
	EXPECT_EQ("urgent_backlog", decision.reason(JOB_A));
	decision.view.services[0].urgent_backlog = 0;
	decision.view.hosts_scanned = FW_HOSTS_SCANNED_MAX;
	EXPECT_EQ("scan_limit", decision.reason(JOB_A));
}

/* A gang needs several workers: one that is free must not hide that the others
 * are reserved. */
TEST(FlowWaits, ReasonOfAGangIsWhatTheLastWorkerNeeds)
{
	FlowFixture fixture;

	fixture.queue.target_ms = 60000;
	fixture.add_host("h1", "r1");
	fixture.add_host("h2", "r2");
	fixture.submit(JOB_A, {FlowFixture::make_step(2, 8, BD_STEP_GANG)});
	fixture.submit(JOB_B,
	    {FlowFixture::make_step(2, 8, BD_STEP_GANG | BD_STEP_SAME_RACK)});
	Decision decision(&fixture);

	EXPECT_EQ("rack", decision.reason(JOB_B, 2));
	decision.view.hosts[1].urgent = true;
	EXPECT_EQ("reserved", decision.reason(JOB_A, 2));
	decision.view.hosts[0].schedulable = false;
	EXPECT_EQ("workers_silent", decision.reason(JOB_A, 2));
}

/* Decides for a board in which nothing fits, each 100 ms. */
static void
decide_for(FlowFixture *fixture, struct fw_waits *waits, int64_t *now_ms,
    int64_t duration_ms)
{
	for (int64_t end = *now_ms + duration_ms; *now_ms < end;
	     *now_ms += 100) {
		Decision decision(fixture, *now_ms);

		fw_waits_note(
		    waits, &decision.view, &decision.tables, nullptr, 1);
	}
}

/* With thousands of waits the lines of a second must not exceed the log's
 * limit: lines would be left out at random. */
TEST(FlowWaits, ThousandsOfJobsAreAllNamedWithinTheLineLimit)
{
	FlowFixture fixture;
	struct fw_waits waits = {};
	int64_t now_ms = 5000;
	Lines lines(&now_ms);
	std::map<int64_t, int> per_second;
	std::string text;

	for (int i = 0; i < 3000; i++)
		fixture.submit(
		    job_name(i).c_str(), {FlowFixture::make_step(1, 1)});
	decide_for(&fixture, &waits, &now_ms, 8000);
	fw_waits_clear(&waits);
	for (const Lines::Line &line : lines.all) {
		EXPECT_LE(++per_second[line.ms / 1000], 40);
		EXPECT_LT(line.text.size(), 1100u);
		EXPECT_NE(std::string::npos, line.text.find("no_worker"));
		text += line.text;
	}
	for (int i = 0; i < 3000; i++)
		EXPECT_NE(std::string::npos, text.find(job_name(i) + "/0:"))
		    << job_name(i);
}

/* The table of waits must not grow with the number of tasks without limit, and
 * a job of many tasks must not take the lines of the others. */
TEST(FlowWaits, TableIsBoundedAndTasksOfAJobAreOneItem)
{
	FlowFixture fixture;
	struct fw_waits waits = {};
	int64_t now_ms = 5000;
	Lines lines(&now_ms);

	for (int i = 0; i < 7; i++)
		fixture.submit(
		    job_name(i).c_str(), {FlowFixture::make_step(2900, 1)});
	decide_for(&fixture, &waits, &now_ms, 3000);
	EXPECT_LE(waits.count, (uint32_t)FW_WAITS_MAX);
	EXPECT_EQ(7u * 2900 - FW_WAITS_MAX, waits.untracked);
	EXPECT_LE(lines.of(EV_FLOW_WAITS).size(), 6u);
	EXPECT_NE("", lines.find(EV_FLOW_WAITS, job_name(0) + "/0:", "+2899"));
	fw_waits_clear(&waits);
}

/* A wait that ends before it was logged must not be lost: the lines are written
 * at intervals. */
TEST(FlowWaits, WaitsOverASecondAreLoggedOnceTheyAreOver)
{
	FlowFixture fixture;
	struct fw_waits waits = {};
	int64_t now_ms = 5000;
	Lines lines(&now_ms);

	fixture.submit(JOB_A, {FlowFixture::make_step(1, 1)});
	decide_for(&fixture, &waits, &now_ms, 1000);
	EXPECT_TRUE(lines.of(EV_FLOW_WAITS).empty());
	fixture.cancel(JOB_A);
	decide_for(&fixture, &waits, &now_ms, 700);
	EXPECT_NE("",
	    lines.find(EV_FLOW_WAITS_OVER, "end=job_ended ",
		JOB_A "/0:1000:no_worker:1000"));
	EXPECT_EQ(0u, waits.count);
	fw_waits_clear(&waits);
}

/* A pause in the decisions must not be charged to the rule that was found
 * before it. */
TEST(FlowWaits, TimeWithoutDecisionsHasItsOwnReason)
{
	FlowFixture fixture;
	struct fw_waits waits = {};
	int64_t now_ms = 5000;
	Lines lines(&now_ms);

	fixture.submit(JOB_A, {FlowFixture::make_step(1, 1)});
	decide_for(&fixture, &waits, &now_ms, 800);
	now_ms += 4000;
	decide_for(&fixture, &waits, &now_ms, 200);
	fixture.cancel(JOB_A);
	decide_for(&fixture, &waits, &now_ms, 700);
	EXPECT_NE("",
	    lines.find(EV_FLOW_WAITS_OVER, JOB_A "/0:5000:", ":undecided:4"));
	fw_waits_clear(&waits);
}

/* A sound deployment must not fill its log. */
TEST(FlowWaits, NothingIsLoggedWhileNothingWaitsForLong)
{
	FlowSim sim;
	Lines lines(&sim.now_ms);

	sim.add_worker("w1").work_ms = 100;
	sim.add_vm("a");
	sim.run_for(1000);
	for (int i = 0; i < 20; i++) {
		sim.submit(job_name(i).c_str(), {FlowFixture::make_step(4, 1)});
		sim.run_for(400);
	}
	EXPECT_TRUE(lines.of(EV_FLOW_WAITS).empty());
	EXPECT_TRUE(lines.of(EV_FLOW_WAITS_OVER).empty());
}

/* Guards against a reason that operators cannot look up. */
TEST(FlowWaits, ReasonsAreDocumented)
{
	std::ifstream file(TEST_SOURCE_DIR "/docs/events.md");
	std::stringstream page;

	page << file.rdbuf();
	for (int reason = 0; reason < FW_WAIT_COUNT; reason++)
		EXPECT_NE(std::string::npos,
		    page.str().find(std::string("\n| ") +
			fw_wait_name((enum fw_wait)reason) + " | "))
		    << fw_wait_name((enum fw_wait)reason);
}
