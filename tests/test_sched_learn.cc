#include <gtest/gtest.h>

#include <vector>

#include "sched_world.h"

namespace {

struct Learn : public testing::Test {
	void
	SetUp() override
	{
		char text[2048];
		int n = world_text_head(text, sizeof(text), 0.5, 6, "4s");
		n += world_text_account(text + n, sizeof(text) - n, "a", 8, 1);
		world_text_account(text + n, sizeof(text) - n, "b", 8, 1);
		world_init(&w, text);
		world_workers(&w, 2, 2, 1, 8, 32000, 65536);
		struct sch_spec spec = {};
		spec.board = w.board;
		spec.sink = {world_propose, &w};
		spec.actions = {act, this};
		spec.may_act = world_may_act;
		sch_destroy(w.sch);
		ASSERT_EQ(sch_create(&w.sch, &spec), CW_OK);
	}
	void
	TearDown() override
	{
		EXPECT_EQ(w.rejected, 0u);
		world_free(&w);
	}
	static int
	act(void *ctx, const struct sch_action *action)
	{
		static_cast<Learn *>(ctx)->actions.push_back(*action);
		return CW_OK;
	}
	uint64_t
	run(const char *account, uint32_t cores, int64_t declared_ms)
	{
		struct world_job job = {account, 1, 2, cores, 1024,
		    BD_CLASS_NORMAL, 0, declared_ms};
		uint64_t id = world_submit(&w, &job);
		world_step(&w);
		EXPECT_EQ(world_started(&w, id), CW_OK);
		return id;
	}
	void
	report(uint64_t job, uint32_t cores, uint32_t memory)
	{
		struct bd_usage usage = {};
		usage.id = job;
		usage.cores_milli = cores;
		usage.memory_mb = memory;
		usage.reported_ms = w.now_ms;
		ASSERT_EQ(bd_put(w.board, BD_TABLE_usage, BD_WRITER_USAGE, job,
			      &usage, sizeof(usage), nullptr),
		    CW_OK);
	}
	uint32_t
	run_milli(const char *account)
	{
		struct sch_learned learned;
		sch_learned_get(
		    w.sch, cw_id_from_name(account), BD_CLASS_NORMAL, &learned);
		return learned.run_milli;
	}
	// Runs jobs that need factor times what they declare.
	void
	finish(const char *account, int count, int64_t percent)
	{
		for (int i = 0; i < count; i++) {
			uint64_t job = run(account, 1000, 100000);
			w.now_ms += 1000 * percent;
			world_ended(
			    &w, job, REC_OUTCOME_DONE, BD_REASON_NONE, 0, 0);
			sch_learn(w.sch, w.now_ms);
		}
	}
	std::vector<struct sch_action> actions;
	struct world w;
};

// Guards against estimates that believe untrue declarations, that one account
// spoils for another, that jump with each job, or that run away.
TEST_F(Learn, RunTimesAreLearnedByAccountWithinLimits)
{
	finish("a", 12, 300);
	EXPECT_NEAR(run_milli("a"), 3000, 450);
	EXPECT_EQ(run_milli("b"), 1000u);
	uint32_t before = run_milli("a");
	finish("a", 1, 310);
	EXPECT_EQ(run_milli("a"), before);
	finish("a", 30, 5000);
	EXPECT_LE(run_milli("a"), 8000u);
	EXPECT_GT(run_milli("a"), 6000u);
	finish("b", 20, 1);
	EXPECT_GE(run_milli("b"), 125u);
	EXPECT_LT(run_milli("b"), 200u);
}

// Guards against an overrun that harms neighbours, and against a job that is
// moved although throttling helped or nobody is near.
TEST_F(Learn, OverrunIsThrottledThenMoved)
{
	uint64_t alone = run("a", 1000, 600000);
	report(alone, 31000, 100);
	world_step(&w);
	EXPECT_TRUE(actions.empty());
	uint64_t neighbour = run("b", 8000, 600000);
	report(neighbour, 4000, 100);
	w.now_ms += 1000;
	report(alone, 31000, 100);
	world_step(&w);
	ASSERT_EQ(actions.size(), 1u);
	EXPECT_EQ(actions[0].kind, (uint32_t)SCH_ACTION_THROTTLE);
	EXPECT_EQ(actions[0].job, alone);
	EXPECT_EQ(actions[0].cores_milli, 1000u);
	w.now_ms += 20000;
	report(alone, 1000, 100);
	world_step(&w);
	EXPECT_EQ(world_job_row(&w, alone).state, (uint32_t)BD_JOB_RUNNING);
	w.now_ms += 20000;
	report(alone, 31000, 100);
	world_step(&w);
	EXPECT_EQ(actions.size(), 1u);
	EXPECT_EQ(world_job_row(&w, alone).state, (uint32_t)BD_JOB_PREEMPTING);
	EXPECT_EQ(world_job_row(&w, alone).reason, (uint32_t)BD_REASON_OVERRUN);
	EXPECT_EQ(world_job_row(&w, neighbour).state, (uint32_t)BD_JOB_RUNNING);
}

// Guards against a worker that runs out of memory before a throttle, which
// cannot help, would be given up.
TEST_F(Learn, MemoryOverrunMovesAtOnce)
{
	uint64_t big = run("a", 1000, 600000);
	uint64_t neighbour = run("b", 1000, 600000);
	report(big, 500, 63000);
	report(neighbour, 500, 1000);
	world_step(&w);
	EXPECT_EQ(world_job_row(&w, big).state, (uint32_t)BD_JOB_PREEMPTING);
	EXPECT_EQ(world_job_row(&w, neighbour).state, (uint32_t)BD_JOB_RUNNING);
}

} // namespace
