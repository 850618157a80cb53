#include <gtest/gtest.h>

#include "flow_fixture.h"

#define JOB "00000000000000e1"

namespace {

/* A job with two runs on one worker, whose reports the test provides. */
struct ReportFixture : FlowFixture {
	struct fw_tables tables;
	uint32_t worker;
	uint32_t runs[2];
	struct fw_listed_end ends[2] = {};

	explicit ReportFixture(uint32_t attempts = 2)
	{
		uint64_t id;
		uint64_t worker_id = add_host("1", "r1");

		queue.attempts_max = attempts;
		submit(JOB, {make_step(2, 1)});
		EXPECT_EQ(2U, place_ready());
		fw_flow_id_parse(JOB, &id);
		fw_tables_init(&tables);
		worker = fw_worker_state_get(&tables, worker_id);
		for (uint32_t i = 0; i < 2; i++) {
			runs[i] = fw_run_add(&tables, id, i, 1, worker);
			tables.runs[runs[i]].phase = FW_PHASE_RUNNING;
		}
	}

	~ReportFixture()
	{
		tables.worker_states[worker].report.ends = nullptr;
		tables.worker_states[worker].report.end_count = 0;
		fw_tables_free(&tables);
	}

	/* The worker reports the end of its first run, and that of its second
	 * run unless second is -1. Returns the number up to which ends may be
	 * acknowledged. */
	uint64_t
	report_ends(enum fw_end first, int second = -1)
	{
		struct fw_report &report = tables.worker_states[worker].report;

		for (uint32_t i = 0; i < 2; i++) {
			strcpy(ends[i].task.job, JOB);
			ends[i].task.index = i;
			ends[i].run = 1;
			ends[i].number = i + 1;
		}
		ends[0].end = first;
		ends[1].end = (enum fw_end)second;
		report.ends = ends;
		report.end_count = second < 0 ? 1 : 2;
		report.sent_ms++;
		bd_read_begin();
		fw_report_apply(&tables, board, worker, 5000);
		bd_read_end();
		return tables.worker_states[worker].end_ack;
	}

	/* Marks the first run as lost and places its task again. */
	void
	replace_first_run()
	{
		tables.runs[runs[0]].phase = FW_PHASE_ENDED;
		tables.runs[runs[0]].end = FW_END_LOST;
		end_run(JOB, 0, FW_END_LOST);
		EXPECT_EQ(1U, place_ready());
	}

	/* The worker's first list and the end of its leases. */
	void
	set_lease(int64_t first_list_ms, int64_t lease_end_ms)
	{
		tables.lease_max_ms = 6000;
		tables.worker_states[worker].first_list_ms = first_list_ms;
		tables.worker_states[worker].lease_end_ms = lease_end_ms;
	}

	/* By which rule the first run is over, and where it was started. */
	void
	set_over(enum fw_over over, int64_t started, int64_t listed)
	{
		tables.runs[runs[0]].over = over;
		tables.runs[runs[0]].start_incarnation_ms = started;
		tables.worker_states[worker].report.incarnation_ms = listed;
	}
};

} // namespace

/* The end of a run must be stored before it is acknowledged to the worker. If
 * the placer failed in between, its successor would run the task again. */
TEST(FlowReport, EndsAreAcknowledgedAfterTheyAreStored)
{
	ReportFixture fixture;

	EXPECT_EQ(0U, fixture.report_ends(FW_END_DONE, FW_END_LEASE_EXPIRED));
	fixture.end_run(JOB, 0, FW_END_DONE);
	EXPECT_EQ(1U, fixture.report_ends(FW_END_DONE, FW_END_LEASE_EXPIRED));
	fixture.end_run(JOB, 1, FW_END_LEASE_EXPIRED);
	EXPECT_EQ(2U, fixture.report_ends(FW_END_DONE, FW_END_LEASE_EXPIRED));
}

/* Guards against a task that is placed twice: a list that was asked for before
 * the start of a run and made after it must not have later reports count that
 * were asked for before the start too, and made before it. */
TEST(FlowReport, ListsAskedForBeforeAStartDoNotEndItsRun)
{
	ReportFixture fixture;
	struct fw_run &run = fixture.tables.runs[fixture.runs[0]];
	struct fw_report &report =
	    fixture.tables.worker_states[fixture.worker].report;
	struct fw_listed_run listed = {};

	strcpy(listed.task.job, JOB);
	listed.run = 1;
	run.listed_from_ms = 500; /* the start was answered */
	report.sent_ms = 300;
	report.runs = &listed;
	report.run_count = 1;
	bd_read_begin();
	fw_report_apply(&fixture.tables, fixture.board, fixture.worker, 510);
	bd_read_end();
	report.runs = nullptr;
	report.run_count = 0;
	EXPECT_EQ(300, run.last_listed_ms);
	EXPECT_EQ(500, run.listed_from_ms);
}

/* The end of a run that was replaced must not be acknowledged: its task would
 * count as started after it was done, or as failed once more. */
TEST(FlowReport, EndsOfReplacedRunsAreNotAcknowledged)
{
	ReportFixture fixture;

	fixture.replace_first_run();
	EXPECT_EQ(0U, fixture.report_ends(FW_END_DONE));
	EXPECT_EQ(0U, fixture.report_ends(FW_END_FAILED));
	EXPECT_EQ(1U, fixture.report_ends(FW_END_STOPPED));
}

/* The expiry of a worker's lease voids the ends that it reported earlier, so
 * these may be acknowledged. Otherwise no later end of that worker would ever
 * be acknowledged. */
TEST(FlowReport, LeaseExpiryVoidsEarlierEnds)
{
	ReportFixture fixture;

	fixture.replace_first_run();
	fixture.end_run(JOB, 1, FW_END_LEASE_EXPIRED);
	EXPECT_EQ(2U, fixture.report_ends(FW_END_DONE, FW_END_LEASE_EXPIRED));
}

/* Ends are void once all leases are over that may have been granted, by this
 * placer, by earlier ones, or late to a worker that has started again. */
TEST(FlowReport, LapsedLeasesVoidAllListedEnds)
{
	for (bool in_table : {true, false}) {
		ReportFixture fixture;

		fixture.replace_first_run();
		if (!in_table)
			fw_run_remove(&fixture.tables, fixture.runs[0]);
		fixture.set_lease(0, 4999);
		EXPECT_EQ(0U, fixture.report_ends(FW_END_DONE));
		fixture.set_lease(5000 - FW_ORDER_LATE_MAX_MS - 6000, 4999);
		EXPECT_EQ(0U, fixture.report_ends(FW_END_DONE));
		fixture.set_lease(4999 - FW_ORDER_LATE_MAX_MS - 6000, 5000);
		EXPECT_EQ(0U, fixture.report_ends(FW_END_DONE));
		fixture.set_lease(4999 - FW_ORDER_LATE_MAX_MS - 6000, 4999);
		EXPECT_EQ(1U, fixture.report_ends(FW_END_DONE));
	}
}

/* The lease of a run that was over by it has lapsed, whatever was granted
 * since. Any other rule, or another incarnation, tells nothing of the lease. */
TEST(FlowReport, RunsThatWereOverByTheLeaseHaveVoidEnds)
{
	const struct {
		enum fw_over over;
		int64_t started;
		int64_t listed;
		uint64_t acknowledged;
	} cases[] = {
	    {FW_OVER_LEASE_EXPIRED, 7, 7, 1},
	    {FW_OVER_LEASE_EXPIRED, 7, 8, 0},
	    {FW_OVER_LEASE_EXPIRED, 0, 0, 0},
	    {FW_OVER_NOT_LISTED, 7, 7, 0},
	    {FW_OVER_WORKER_GONE, 7, 7, 0},
	    {FW_OVER_RESTARTED, 7, 7, 0},
	};

	for (const auto &one : cases) {
		ReportFixture fixture;

		fixture.replace_first_run();
		fixture.set_lease(4000, 90000);
		fixture.set_over(one.over, one.started, one.listed);
		EXPECT_EQ(one.acknowledged, fixture.report_ends(FW_END_DONE));
	}
}

/* A lapse does not stand in for storing the end of a run that counts. */
TEST(FlowReport, LapsedLeasesDoNotAcknowledgeCurrentRuns)
{
	ReportFixture fixture;

	fixture.set_lease(-90000, 1);
	EXPECT_EQ(0U, fixture.report_ends(FW_END_DONE));
	fixture.end_run(JOB, 0, FW_END_DONE);
	EXPECT_EQ(1U, fixture.report_ends(FW_END_DONE));
}

/* A new placer does not know a run that its predecessor replaced and must not
 * acknowledge the end of that run. */
TEST(FlowReport, SuccessorsDoNotAcknowledgeReplacedRuns)
{
	ReportFixture fixture;

	fixture.replace_first_run();
	fw_run_remove(&fixture.tables, fixture.runs[0]);
	EXPECT_EQ(0U, fixture.report_ends(FW_END_FAILED));
	EXPECT_EQ(0U, fixture.report_ends(FW_END_DONE));
	EXPECT_EQ(1U, fixture.report_ends(FW_END_STOPPED));
}

/* Failures that the job's row counts must not hold up the ends behind them at a
 * new placer. */
TEST(FlowReport, SuccessorsAcknowledgeCountedFailures)
{
	ReportFixture fixture;

	fixture.end_run(JOB, 0, FW_END_FAILED);
	EXPECT_EQ(1U, fixture.place_ready());
	fw_run_remove(&fixture.tables, fixture.runs[0]);
	EXPECT_EQ(1U, fixture.report_ends(FW_END_FAILED));
}

/* A row that counts the failure of a later run tells nothing of a lost one
 * before. */
TEST(FlowReport, SuccessorsDoNotAcknowledgeFailuresBeforeTheCountedOne)
{
	ReportFixture fixture;

	fixture.replace_first_run();
	fixture.end_run(JOB, 0, FW_END_FAILED);
	EXPECT_EQ(1U, fixture.place_ready());
	fw_run_remove(&fixture.tables, fixture.runs[0]);
	EXPECT_EQ(0U, fixture.report_ends(FW_END_FAILED));
}

/* Once a job has ended, a failure that was not counted holds up the ends behind
 * it only if the task may have been started after too many failures. */
TEST(FlowReport, FailuresOfEndedJobsAreAcknowledgedWithinTheirAttempts)
{
	for (uint32_t attempts : {1U, 2U}) {
		ReportFixture fixture(attempts);

		fixture.replace_first_run();
		fw_run_remove(&fixture.tables, fixture.runs[0]);
		fixture.end_run(JOB, 0, FW_END_DONE);
		EXPECT_EQ(0U, fixture.report_ends(FW_END_FAILED)) << attempts;
		fixture.end_run(JOB, 1, FW_END_DONE);
		EXPECT_EQ(
		    attempts == 2 ? 1U : 0U, fixture.report_ends(FW_END_FAILED))
		    << attempts;
	}
}
