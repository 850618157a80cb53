#ifndef CAMPHOR_TESTS_ADMIT_PLAY_H
#define CAMPHOR_TESTS_ADMIT_PLAY_H

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <random>

#include "../lib/flow/rejections.h"
#include "flow_fixture.h"

/*
 * Plays a load on a deployment in simulated time, without a network, once with
 * all jobs accepted and once with admission by committed work, and compares
 * what callers get. Both plays have the same arrivals.
 */

constexpr int64_t STEP_MS = 100;
constexpr int64_t LEDGER_MS = 500;
constexpr int KINDS = 3;
constexpr int ACCOUNTS = 10;

/* What callers of one kind and account got. */
struct Tally {
	int submitted = 0;
	int accepted = 0;
	int in_time = 0; /* done within the target */
	int useful = 0;  /* done within three times the target */

	void
	add(const Tally &other)
	{
		submitted += other.submitted;
		accepted += other.accepted;
		in_time += other.in_time;
		useful += other.useful;
	}
	int
	useless() const
	{
		return accepted - useful;
	}
};

struct Job {
	int kind;
	int account;
	int64_t at_ms;
	struct bd_flow_step step;
	double factor; /* of the run time to its estimate */
};

struct Outcome {
	bool accepted = false;
	bool guaranteed = false;
	enum fw_verdict_reason reason = FW_ACCEPT_NOTHING_WAITS;
	int64_t done_ms = -1; /* after its acceptance */
	int64_t target_ms = 0;

	bool
	useful() const
	{
		return done_ms >= 0 &&
		    done_ms <= target_ms * FW_USEFUL_TARGET_FACTOR;
	}
};

struct Scenario {
	int hosts = 20;
	int64_t arrivals_ms = 30000;
	double error = 0; /* estimates are off by up to this part */
	/* Offered load of each kind at a time, as a part of the capacity. */
	std::function<double(int kind, int64_t ms)> load;
	std::function<int(std::mt19937 &)> account = [](std::mt19937 &random) {
		return (int)(random() % ACCOUNTS);
	};
	int lost_hosts = 0; /* at lost_ms */
	int64_t lost_ms = 0;
	uint32_t guaranteed = 0; /* accelerators of account 0 */
};

inline double
uniform(std::mt19937 &random)
{
	return (double)random() / 4294967296.0;
}

/* Draws the arrivals of a scenario. Gangs of up to 4 tasks, with up to 4
 * accelerators each, run for 0.5 to 4 s by their estimates. */
inline std::vector<Job>
draw_jobs(const Scenario &scenario, unsigned seed)
{
	std::mt19937 random(seed);
	std::vector<Job> jobs;

	for (int64_t ms = 0; ms < scenario.arrivals_ms; ms += STEP_MS)
		for (int kind = 0; kind < KINDS; kind++) {
			double due = scenario.load(kind, ms) * scenario.hosts *
			    8 * STEP_MS;

			while (due > 0) {
				uint32_t count = 1 + random() % 4;
				uint32_t accels = 1u << random() % 3;
				double estimate = 500 + 3500 * uniform(random);
				double off = uniform(random) * 2 - 1;
				double odds = uniform(random);
				Job job = {kind, scenario.account(random), ms,
				    FlowFixture::make_step(
					count, accels, BD_STEP_GANG),
				    1 + off * scenario.error};
				double work = count * accels * estimate;

				job.step.estimate_ms = (uint32_t)estimate;
				/* The rest is drawn, so that the mean fits. */
				if (work <= due || odds < due / work)
					jobs.push_back(job);
				due -= work;
			}
		}
	return jobs;
}

struct Play : FlowFixture {
	const Scenario &scenario;
	const std::vector<Job> &jobs;
	bool admission;
	std::vector<Outcome> outcomes;
	std::map<uint32_t, int64_t> ends; /* of running jobs, by number */
	struct fw_ratios ratios = {};
	int64_t wall_ms = 1000000;
	int stops = 0;
	int ledgers = 0;

	Play(
	    const Scenario &load, const std::vector<Job> &arrivals, bool admits)
	    : scenario(load), jobs(arrivals), admission(admits),
	      outcomes(arrivals.size())
	{
		std::vector<struct bd_queue> queues;
		std::vector<struct bd_client> clients = {
		    {account_id(0), scenario.guaranteed, 0}};

		for (int i = 0; i < KINDS; i++)
			queues.push_back(queue_of(i));
		put_setup(queues, clients);
		for (int i = 0; i < scenario.hosts; i++)
			add_host("h" + std::to_string(i),
			    "r" + std::to_string(i / 4));
	}

	static uint64_t
	account_id(int account)
	{
		return 1000 + (uint64_t)account;
	}

	struct bd_queue
	queue_of(int kind) const
	{
		struct bd_queue row = queue;

		row.id = 70 + (uint64_t)kind;
		row.priority = (uint32_t)kind;
		row.stretch_milli = 1500 + 500 * (uint32_t)kind;
		row.target_ms = 1000 + 1000 * (uint32_t)kind;
		return row;
	}

	static std::string
	name_of(uint32_t number)
	{
		char name[24];

		snprintf(name, sizeof(name), "%016x", number + 1);
		return name;
	}

	/* Submits a job as a caller does. */
	void
	arrive(uint32_t number)
	{
		const Job &job = jobs[number];
		struct bd_queue row = queue_of(job.kind);
		std::string name = name_of(number);
		struct fw_record record = {};
		struct fw_job_spec spec = {};
		struct fw_verdict verdict;
		struct fw_need need;
		struct bd_flow *flow;
		size_t bytes;
		void *value;

		spec.name = name.c_str();
		spec.queue = &row;
		spec.client = account_id(job.account);
		spec.accepted_ms = wall_ms;
		spec.occurrences = 1;
		spec.steps = &job.step;
		spec.step_count = 1;
		spec.text = "";
		ASSERT_EQ(CW_OK, fw_flow_build(&spec, &flow, &bytes));
		fw_need_of(flow, &need);
		bd_read_begin();
		need.guaranteed = fw_guarantee_covers(board, flow);
		fw_admit(bd_ledger_lookup(board, BD_CONFIG_ID), &need, wall_ms,
		    &verdict);
		bd_read_end();
		outcomes[number].target_ms = need.target_ms;
		outcomes[number].guaranteed = need.guaranteed;
		outcomes[number].accepted =
		    !admission || !fw_verdict_rejects(&verdict);
		if (admission)
			outcomes[number].reason = verdict.reason;
		if (outcomes[number].accepted) {
			fw_job_encode(flow, &value, &bytes);
			fw_record_key(record.key, FW_RECORD_JOB, name.c_str());
			record.value = value;
			record.value_bytes = bytes;
			ASSERT_EQ(CW_OK, apply(record));
			free(value);
		}
		free(flow);
	}

	/* Ends the runs that are over. */
	void
	end_runs()
	{
		for (auto it = ends.begin(); it != ends.end();) {
			uint32_t number = it->first;
			std::string name = name_of(number);

			if (it->second > wall_ms) {
				++it;
				continue;
			}
			it = ends.erase(it);
			change(number, FW_END_DONE);
			publish_state(name.c_str());
			outcomes[number].done_ms =
			    wall_ms - 1000000 - jobs[number].at_ms;
			fw_ratios_note(&ratios, queue_of(jobs[number].kind).id,
			    jobs[number].step.estimate_ms,
			    (int64_t)(jobs[number].step.estimate_ms *
				jobs[number].factor));
		}
	}

	/* Ends the runs of all tasks of a job. */
	void
	change(uint32_t number, enum fw_end end)
	{
		struct bd_flow *copy;

		bd_read_begin();
		const struct bd_flow *row = find_flow(name_of(number).c_str());
		copy = (struct bd_flow *)malloc(fw_flow_bytes(row));
		memcpy(copy, row, fw_flow_bytes(row));
		bd_read_end();
		for (uint32_t i = 0; i < fw_flow_task_count(copy); i++)
			if (fw_flow_tasks(copy)[i].state == BD_STEP_TASK_PLACED)
				fw_run_end_apply(copy, i, end, wall_ms);
		store_progress(copy);
		free(copy);
	}

	struct Blocked {
		Play *play;
		std::vector<struct fw_victim> victims;
		bool listed = false;

		void
		add_victims(const struct fw_view *view, uint32_t job)
		{
			const struct bd_flow *flow =
			    fw_job_current(&view->jobs[job]);
			const struct bd_step_task *tasks = fw_flow_tasks(flow);

			for (uint32_t i = 0; i < fw_flow_task_count(flow);
			     i++) {
				struct fw_victim victim = {};

				if (flow->priority == 0 ||
				    tasks[i].state != BD_STEP_TASK_PLACED)
					continue;
				victim.run = i; /* 0 stands for the gang */
				victim.job = job;
				victim.host =
				    fw_view_host_index(view, tasks[i].host);
				if (victim.host == FW_NONE)
					continue;
				victim.priority = flow->priority;
				victim.cost = fw_run_loss(fw_flow_steps(flow),
				    view->wall_ms - tasks[i].changed_ms,
				    fw_flow_task_count(flow), view->settings);
				victims.push_back(victim);
			}
		}
	};

	/* Stops runs of lower priority for jobs of priority 0. */
	static void
	on_blocked(
	    void *ctx, struct fw_view *view, const struct fw_group *group)
	{
		Blocked *blocked = (Blocked *)ctx;
		uint32_t hosts[FW_TASKS_MAX];

		uint64_t cost_max = fw_preempt_cost_max(group,
		    group->priority == 0 &&
			fw_within_guarantee(view, view->board,
			    fw_job_current(&view->jobs[group->job])));

		if (group->priority != 0 || cost_max == 0)
			return;
		if (!blocked->listed)
			for (uint32_t i = 0; i < view->job_count; i++)
				blocked->add_victims(view, i);
		blocked->listed = true;
		fw_reclaim(view, group, blocked->victims.data(),
		    (uint32_t)blocked->victims.size(), cost_max, hosts);
	}

	/* One decision of the placer, and its ledger. */
	void
	decide()
	{
		Blocked blocked = {this, {}, false};
		struct fw_groups groups;
		struct fw_view view;
		struct bd_ledger ledger;
		bool sums = (wall_ms - 1000000) % LEDGER_MS == 0;

		bd_read_begin();
		ASSERT_EQ(CW_OK,
		    fw_view_build(&view, board, &settings, 5000, wall_ms));
		ASSERT_EQ(CW_OK, fw_groups_ready(&groups, &view));
		fw_groups_sort(&groups);
		fw_place(&view, &groups, on_blocked, &blocked);
		fw_groups_free(&groups);
		for (uint32_t i = 0; i < view.job_count; i++)
			if (view.jobs[i].copy != nullptr)
				note_start(view.jobs[i].copy);
		if (sums) {
			ASSERT_EQ(
			    CW_OK, fw_ledger_sum(&ledger, &view, &ratios));
		}
		store_changed_jobs(&view);
		std::vector<uint32_t> stopped;
		for (const struct fw_victim &victim : blocked.victims)
			if (victim.to_preempt && victim.run == 0)
				stopped.push_back(
				    (uint32_t)view.jobs[victim.job].row->id -
				    1);
		fw_view_free(&view);
		bd_read_end();
		for (uint32_t number : stopped) {
			ends.erase(number);
			change(number, FW_END_STOPPED);
			stops++;
		}
		if (sums)
			publish_ledger(ledger);
	}

	void
	note_start(const struct bd_flow *flow)
	{
		uint32_t number = (uint32_t)flow->id - 1;

		ends[number] = wall_ms +
		    (int64_t)(jobs[number].step.estimate_ms *
			jobs[number].factor);
	}

	void
	publish_ledger(struct bd_ledger &ledger)
	{
		struct fw_record record = {};
		size_t bytes;
		void *value;

		ledger.term = 1;
		ASSERT_EQ(CW_OK, fw_ledger_encode(&ledger, &value, &bytes));
		fw_record_key(record.key, FW_RECORD_LEDGER, "0000000000000000");
		record.value = value;
		record.value_bytes = bytes;
		ASSERT_EQ(CW_OK, apply(record));
		free(value);
		ledgers += ledger.pool_count > 0;
	}

	void
	lose_hosts()
	{
		for (int i = 0; i < scenario.lost_hosts; i++)
			lost(
			    cw_id_from_name(("h" + std::to_string(i)).c_str()));
	}

	/* Removes a worker; what runs there is lost. */
	void
	lost(uint64_t host)
	{
		std::vector<uint32_t> numbers;

		for (auto &end : ends) {
			bd_read_begin();
			const struct bd_flow *row =
			    find_flow(name_of(end.first).c_str());
			for (uint32_t i = 0; i < fw_flow_task_count(row); i++)
				if (fw_flow_tasks(row)[i].host == host) {
					numbers.push_back(end.first);
					break;
				}
			bd_read_end();
		}
		bd_remove(board, BD_TABLE_host, BD_WRITER_FLOW, host);
		for (uint32_t number : numbers) {
			ends.erase(number);
			change(number, FW_END_LOST);
		}
	}

	void
	run()
	{
		size_t next = 0;
		int64_t end_ms = scenario.arrivals_ms + 60000;

		for (int64_t ms = 0; ms < end_ms; ms += STEP_MS) {
			wall_ms = 1000000 + ms;
			if (scenario.lost_hosts > 0 && ms == scenario.lost_ms)
				lose_hosts();
			end_runs();
			for (; next < jobs.size() && jobs[next].at_ms <= ms;
			     next++)
				arrive((uint32_t)next);
			decide();
			if (::testing::Test::HasFatalFailure())
				return;
		}
	}

	Tally
	tally(const std::function<bool(const Job &)> &selects) const
	{
		Tally sum;

		for (size_t i = 0; i < jobs.size(); i++) {
			if (!selects(jobs[i]))
				continue;
			sum.submitted++;
			sum.accepted += outcomes[i].accepted;
			sum.useful += outcomes[i].useful();
			sum.in_time += outcomes[i].done_ms >= 0 &&
			    outcomes[i].done_ms <= outcomes[i].target_ms;
		}
		return sum;
	}
};

/* Both plays of a scenario. */
struct Comparison {
	std::vector<Job> jobs;
	Play before; /* all jobs are accepted */
	Play after;  /* with admission */

	Comparison(const Scenario &scenario, unsigned seed)
	    : jobs(draw_jobs(scenario, seed)), before(scenario, jobs, false),
	      after(scenario, jobs, true)
	{
		before.run();
		after.run();
	}

	/* Rejected jobs that were done in useful time when all were accepted.
	 */
	int
	rejected_but_possible(
	    const std::function<bool(const Job &)> &selects = any_job) const
	{
		int count = 0;

		for (size_t i = 0; i < jobs.size(); i++)
			count += selects(jobs[i]) &&
			    !after.outcomes[i].accepted &&
			    before.outcomes[i].useful();
		return count;
	}

	int
	rejected() const
	{
		int count = 0;

		for (const Outcome &outcome : after.outcomes)
			count += !outcome.accepted;
		return count;
	}

	/* What holds under every load: nothing within a guarantee is rejected,
	 * the most urgent kind is served as before, callers lose no more than
	 * a hundredth or two of what they got, fewer accepted jobs are useless,
	 * and of those rejected at most a tenth could have been done. */
	void
	check() const
	{
		auto urgent = [](const Job &job) {
			return job.kind == 0;
		};
		Tally a = before.tally(any_job);
		Tally b = after.tally(any_job);

		for (const Outcome &outcome : after.outcomes)
			EXPECT_TRUE(outcome.accepted || !outcome.guaranteed);
		EXPECT_GE(after.tally(urgent).useful,
		    before.tally(urgent).useful * 99 / 100);
		EXPECT_GE(b.useful, a.useful * 98 / 100);
		EXPECT_LE(b.useless(), a.useless());
		EXPECT_LE(rejected_but_possible() * 10, rejected() + 9);
	}

	static bool
	any_job(const Job &)
	{
		return true;
	}

	void
	print(const char *name) const
	{
		for (int kind = -1; kind < KINDS; kind++) {
			auto selects = [kind](const Job &job) {
				return kind < 0 || job.kind == kind;
			};
			Tally a = before.tally(selects);
			Tally b = after.tally(selects);

			printf("%s kind=%d jobs=%d useful=%d->%d "
			       "in_time=%d->%d useless=%d->%d rejected=%d\n",
			    name, kind, a.submitted, a.useful, b.useful,
			    a.in_time, b.in_time, a.useless(), b.useless(),
			    b.submitted - b.accepted);
		}
		printf("%s rejected_but_possible=%d stops=%d->%d ledgers=%d\n",
		    name, rejected_but_possible(), before.stops, after.stops,
		    after.ledgers);
	}
};

#endif
