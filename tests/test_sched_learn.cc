#include <gtest/gtest.h>

#include <vector>

#include "sched_fixture.h"

namespace {

struct Learn : public testing::Test {
	void
	SetUp() override
	{
		char text[2048];
		int n = fixture_format_fleet(text, sizeof(text), 0.5, 6, "4s");
		n += fixture_format_account(
		    text + n, sizeof(text) - n, "a", 8, 1);
		fixture_format_account(text + n, sizeof(text) - n, "b", 8, 1);
		fixture_init(&fx, text);
		fixture_add_workers(&fx, 2, 2, 1, 8, 32000, 65536);
		struct sch_spec spec = {};
		spec.board = fx.board;
		spec.sink = {fixture_propose, &fx};
		spec.actions = {on_action, this};
		spec.may_act = fixture_may_act;
		sch_destroy(fx.sch);
		ASSERT_EQ(sch_create(&fx.sch, &spec), CW_OK);
	}
	void
	TearDown() override
	{
		EXPECT_EQ(fx.rejected, 0u);
		fixture_free(&fx);
	}
	static int
	on_action(void *ctx, const struct sch_action *action)
	{
		static_cast<Learn *>(ctx)->actions.push_back(*action);
		return CW_OK;
	}
	uint64_t
	start_job(const char *account, uint32_t cores, int64_t declared_ms)
	{
		struct fixture_job job = {account, 1, 2, cores, 1024,
		    BD_CLASS_NORMAL, 0, declared_ms};
		uint64_t id = fixture_submit(&fx, &job);
		fixture_step(&fx);
		EXPECT_EQ(fixture_gang_started(&fx, id), CW_OK);
		return id;
	}
	void
	report(uint64_t job, uint32_t cores, uint32_t memory)
	{
		struct bd_usage usage = {};
		usage.id = job;
		usage.cores_milli = cores;
		usage.memory_mb = memory;
		usage.reported_ms = fx.now_ms;
		ASSERT_EQ(bd_put(fx.board, BD_TABLE_usage, BD_WRITER_USAGE, job,
			      &usage, sizeof(usage), nullptr),
		    CW_OK);
	}
	uint32_t
	run_milli(const char *account)
	{
		struct sch_usage_factors learned;
		sch_usage_factors_get(fx.sch, cw_id_from_name(account),
		    BD_CLASS_NORMAL, &learned);
		return learned.run_milli;
	}
	// Runs jobs whose run time is the given percentage of the declared one.
	void
	complete_jobs(const char *account, int count, int64_t percent)
	{
		for (int i = 0; i < count; i++) {
			uint64_t job = start_job(account, 1000, 100000);
			fx.now_ms += 1000 * percent;
			fixture_gang_ended(
			    &fx, job, REC_OUTCOME_DONE, BD_REASON_NONE, 0, 0);
			sch_learn(fx.sch, fx.now_ms);
		}
	}
	std::vector<struct sch_action> actions;
	struct sched_fixture fx;
};

// Guards against estimates that ignore measured run times, mix accounts, change
// with every job, or grow without bound.
TEST_F(Learn, RunTimeFactorsArePerAccountAndBounded)
{
	complete_jobs("a", 12, 300);
	EXPECT_NEAR(run_milli("a"), 3000, 450);
	EXPECT_EQ(run_milli("b"), 1000u);
	uint32_t before = run_milli("a");
	complete_jobs("a", 1, 310);
	EXPECT_EQ(run_milli("a"), before);
	complete_jobs("a", 30, 5000);
	EXPECT_LE(run_milli("a"), 8000u);
	EXPECT_GT(run_milli("a"), 6000u);
	complete_jobs("b", 20, 1);
	EXPECT_GE(run_milli("b"), 125u);
	EXPECT_LT(run_milli("b"), 200u);
}

// Guards against an overrun that takes resources from other jobs on the worker,
// and against preempting a job that is alone on its worker or for which
// throttling was enough.
TEST_F(Learn, OverrunIsThrottledThenPreempted)
{
	uint64_t heavy = start_job("a", 1000, 600000);
	report(heavy, 31000, 100);
	fixture_step(&fx);
	EXPECT_TRUE(actions.empty());
	uint64_t neighbour = start_job("b", 8000, 600000);
	report(neighbour, 4000, 100);
	fx.now_ms += 1000;
	report(heavy, 31000, 100);
	fixture_step(&fx);
	ASSERT_EQ(actions.size(), 1u);
	EXPECT_EQ(actions[0].kind, (uint32_t)SCH_ACTION_THROTTLE);
	EXPECT_EQ(actions[0].job, heavy);
	EXPECT_EQ(actions[0].cores_milli, 1000u);
	fx.now_ms += 20000;
	report(heavy, 1000, 100);
	fixture_step(&fx);
	EXPECT_EQ(fixture_job_row(&fx, heavy).state, (uint32_t)BD_JOB_RUNNING);
	fx.now_ms += 20000;
	report(heavy, 31000, 100);
	fixture_step(&fx);
	EXPECT_EQ(actions.size(), 1u);
	EXPECT_EQ(
	    fixture_job_row(&fx, heavy).state, (uint32_t)BD_JOB_PREEMPTING);
	EXPECT_EQ(
	    fixture_job_row(&fx, heavy).reason, (uint32_t)BD_REASON_OVERRUN);
	EXPECT_EQ(
	    fixture_job_row(&fx, neighbour).state, (uint32_t)BD_JOB_RUNNING);
}

// Guards against a worker that runs out of memory while the scheduler waits for
// the effect of a throttle: throttling does not reduce memory use.
TEST_F(Learn, MemoryOverrunIsPreemptedAtOnce)
{
	uint64_t big = start_job("a", 1000, 600000);
	uint64_t neighbour = start_job("b", 1000, 600000);
	report(big, 500, 63000);
	report(neighbour, 500, 1000);
	fixture_step(&fx);
	EXPECT_EQ(fixture_job_row(&fx, big).state, (uint32_t)BD_JOB_PREEMPTING);
	EXPECT_EQ(
	    fixture_job_row(&fx, neighbour).state, (uint32_t)BD_JOB_RUNNING);
}

} // namespace
