#include <gtest/gtest.h>

#include <string>

#include "sched_fixture.h"

namespace {

struct Explain : public testing::Test {
	void
	SetUp() override
	{
		char text[2048];
		int n = fixture_format_fleet(text, sizeof(text), 0.5, 6, "4s");
		n += fixture_format_account(
		    text + n, sizeof(text) - n, "a", 8, 1);
		n += fixture_format_guarantee(
		    text + n, sizeof(text) - n, 1, 8, 4, 4, 1);
		fixture_format_account(text + n, sizeof(text) - n, "b", 8, 1);
		fixture_init(&fx, text);
		fixture_add_workers(&fx, 2, 2, 1, 8, 32000, 65536);
		fixture_step(&fx);
	}
	void
	TearDown() override
	{
		fixture_free(&fx);
	}
	uint64_t
	submit(const char *account, uint16_t members, uint16_t accels)
	{
		struct fixture_job job = {account, members, accels, 500, 256,
		    BD_CLASS_NORMAL, 0, 600000};
		return fixture_submit(&fx, &job);
	}
	struct sch_explanation
	explain(uint64_t job)
	{
		struct sch_explanation e;
		EXPECT_EQ(sch_explain(fx.sch, job, fx.now_ms, &e), CW_OK);
		EXPECT_EQ(fx.queued, 0u); // proposes nothing
		return e;
	}
	struct sched_fixture fx;
};

// Guards against an explanation that reports the wrong condition as a job goes
// through its states.
TEST_F(Explain, ConditionMatchesJobState)
{
	struct sch_explanation e;
	uint64_t job = submit("b", 1, 8);

	EXPECT_EQ(explain(job).condition, SCH_CONDITION_CAN_START);
	fixture_step(&fx);
	EXPECT_EQ(explain(job).condition, SCH_CONDITION_RUNNING);
	fixture_gang_started(&fx, job);
	uint64_t second = submit("b", 1, 8);
	fixture_step(&fx);
	fixture_gang_started(&fx, second);

	uint64_t third = submit("b", 1, 8);
	e = explain(third);
	EXPECT_EQ(e.condition, SCH_CONDITION_NO_CAPACITY);
	EXPECT_EQ(e.holder_count, 1u);
	EXPECT_EQ(e.free_accels, 0u);
	EXPECT_GT(e.start_ms, fx.now_ms);
	EXPECT_EQ(
	    explain(submit("b", 3, 8)).condition, SCH_CONDITION_UNSCHEDULABLE);

	uint64_t guaranteed = submit("a", 1, 8);
	EXPECT_EQ(explain(guaranteed).condition, SCH_CONDITION_RECLAIMING);
	fixture_step(&fx);
	uint64_t victim =
	    fixture_job_row(&fx, job).state == BD_JOB_PREEMPTING ? job : second;
	e = explain(victim);
	EXPECT_EQ(e.condition, SCH_CONDITION_PREEMPTING);
	EXPECT_EQ(e.until_ms, fx.now_ms + 4000);
	fixture_gang_ended(&fx, victim, REC_OUTCOME_DONE, BD_REASON_NONE, 0, 0);
	EXPECT_EQ(explain(victim).condition, SCH_CONDITION_ENDED);
	EXPECT_EQ(sch_explain(fx.sch, 999, fx.now_ms, &e), SCH_ENOTFOUND);
}

// Guards against reporting a lack of capacity when enough accelerators are free
// but scattered.
TEST_F(Explain, FragmentationIsReported)
{
	uint64_t jobs[4];
	for (uint64_t &job : jobs)
		job = submit("b", 1, 4);
	fixture_step(&fx);
	uint64_t remaining_job[2] = {0, 0};
	for (uint64_t job : jobs) {
		bd_read_begin();
		uint64_t worker =
		    bd_task_lookup(fx.board, cw_id_from_pair(job, 0))->worker;
		bd_read_end();
		int w = worker == cw_id_from_name("w0") ? 0 : 1;
		if (remaining_job[w] != 0)
			fixture_gang_ended(
			    &fx, job, REC_OUTCOME_DONE, BD_REASON_NONE, 0, 0);
		remaining_job[w] = job;
	}
	struct sch_explanation e = explain(submit("b", 1, 8));
	EXPECT_EQ(e.condition, SCH_CONDITION_FRAGMENTED);
	EXPECT_EQ(e.free_accels, 8u);
	EXPECT_EQ(e.holder_count, 1u);
}

// Guards against text that exceeds 20 lines or 120 columns, or overruns its
// buffer.
TEST_F(Explain, TextIsBounded)
{
	for (int i = 0; i < 16; i++)
		submit("b", 1, 1);
	fixture_step(&fx);
	struct sch_explanation e = explain(submit("b", 2, 8));
	char text[SCH_EXPLAIN_BYTES];
	size_t length = sch_explain_format(&e, fx.now_ms, text, sizeof(text));
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
	EXPECT_EQ(sch_explain_format(&e, fx.now_ms, text, 20), 19u);
}

} // namespace
