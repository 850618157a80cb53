#include <gtest/gtest.h>

#include <string>

#include "sched_world.h"

namespace {

struct Explain : public testing::Test {
	void
	SetUp() override
	{
		char text[2048];
		int n = world_text_head(text, sizeof(text), 0.5, 6, "4s");
		n += world_text_account(text + n, sizeof(text) - n, "a", 8, 1);
		n += world_text_guarantee(
		    text + n, sizeof(text) - n, 1, 8, 4, 4, 1);
		world_text_account(text + n, sizeof(text) - n, "b", 8, 1);
		world_init(&w, text);
		world_workers(&w, 2, 2, 1, 8, 32000, 65536);
		world_step(&w);
	}
	void
	TearDown() override
	{
		world_free(&w);
	}
	uint64_t
	submit(const char *account, uint16_t members, uint16_t accels)
	{
		struct world_job job = {account, members, accels, 500, 256,
		    BD_CLASS_NORMAL, 0, 600000};
		return world_submit(&w, &job);
	}
	struct sch_explanation
	explain(uint64_t job)
	{
		struct sch_explanation e;
		EXPECT_EQ(sch_explain(w.sch, job, w.now_ms, &e), CW_OK);
		EXPECT_EQ(w.queued, 0u); // proposes nothing
		return e;
	}
	struct world w;
};

// Guards against an explanation that is wrong about the condition.
TEST_F(Explain, ConditionFollowsTheJob)
{
	struct sch_explanation e;
	uint64_t job = submit("b", 1, 8);

	EXPECT_EQ(explain(job).condition, SCH_CONDITION_CAN_START);
	world_step(&w);
	EXPECT_EQ(explain(job).condition, SCH_CONDITION_RUNNING);
	world_started(&w, job);
	uint64_t second = submit("b", 1, 8);
	world_step(&w);
	world_started(&w, second);

	uint64_t third = submit("b", 1, 8);
	e = explain(third);
	EXPECT_EQ(e.condition, SCH_CONDITION_NO_CAPACITY);
	EXPECT_EQ(e.holder_count, 1u);
	EXPECT_EQ(e.free_accels, 0u);
	EXPECT_GT(e.start_ms, w.now_ms);
	EXPECT_EQ(
	    explain(submit("b", 3, 8)).condition, SCH_CONDITION_FITS_NOWHERE);

	uint64_t guaranteed = submit("a", 1, 8);
	EXPECT_EQ(explain(guaranteed).condition, SCH_CONDITION_RECLAIMING);
	world_step(&w);
	uint64_t victim =
	    world_job_row(&w, job).state == BD_JOB_PREEMPTING ? job : second;
	e = explain(victim);
	EXPECT_EQ(e.condition, SCH_CONDITION_PREEMPTING);
	EXPECT_EQ(e.until_ms, w.now_ms + 4000);
	world_ended(&w, victim, REC_OUTCOME_DONE, BD_REASON_NONE, 0, 0);
	EXPECT_EQ(explain(victim).condition, SCH_CONDITION_ENDED);
	EXPECT_EQ(sch_explain(w.sch, 999, w.now_ms, &e), SCH_ENOTFOUND);
}

// Guards against a fragmented cluster that is reported as a full one.
TEST_F(Explain, FragmentationIsNamed)
{
	uint64_t jobs[4];
	for (uint64_t &job : jobs)
		job = submit("b", 1, 4);
	world_step(&w);
	uint64_t kept[2] = {0, 0};
	for (uint64_t job : jobs) {
		bd_read_begin();
		uint64_t worker =
		    bd_task_lookup(w.board, cw_id_from_pair(job, 0))->worker;
		bd_read_end();
		int at = worker == cw_id_from_name("w0") ? 0 : 1;
		if (kept[at] != 0)
			world_ended(
			    &w, job, REC_OUTCOME_DONE, BD_REASON_NONE, 0, 0);
		kept[at] = job;
	}
	struct sch_explanation e = explain(submit("b", 1, 8));
	EXPECT_EQ(e.condition, SCH_CONDITION_FRAGMENTED);
	EXPECT_EQ(e.free_accels, 8u);
	EXPECT_EQ(e.holder_count, 1u);
}

// Guards against a text that does not fit a screen or runs over its buffer.
TEST_F(Explain, TextFitsAScreen)
{
	for (int i = 0; i < 16; i++)
		submit("b", 1, 1);
	world_step(&w);
	struct sch_explanation e = explain(submit("b", 2, 8));
	char text[SCH_EXPLAIN_BYTES];
	size_t length = sch_explain_format(&e, w.now_ms, text, sizeof(text));
	std::string all(text);
	EXPECT_EQ(all.size(), length);
	size_t lines = 0;
	for (size_t at = 0; at < all.size(); lines++) {
		size_t end = all.find('\n', at);
		ASSERT_NE(end, std::string::npos);
		EXPECT_LE(end - at, 120u) << all.substr(at, end - at);
		at = end + 1;
	}
	EXPECT_LE(lines, 20u);
	EXPECT_NE(all.find("and 8 more"), std::string::npos) << all;
	EXPECT_EQ(sch_explain_format(&e, w.now_ms, text, 20), 19u);
}

} // namespace
