#include <gtest/gtest.h>

#include "flow_fixture.h"

#define JOB "00000000000000b1"

static struct bd_step_task
task(FlowFixture &fixture, uint32_t index)
{
	bd_read_begin();
	struct bd_step_task row = fw_flow_tasks(fixture.find_flow(JOB))[index];
	bd_read_end();
	return row;
}

static uint32_t
state(FlowFixture &fixture)
{
	bd_read_begin();
	uint32_t value = fixture.find_flow(JOB)->state;
	bd_read_end();
	return value;
}

/* Once one member of a gang is done, the other members must not run again. */
TEST(FlowRunEnd, OneDoneMemberCompletesTheGang)
{
	FlowFixture fixture;

	fixture.add_host("1", "r1");
	fixture.submit(JOB, {FlowFixture::make_step(3, 1, BD_STEP_GANG)});
	EXPECT_EQ(1U, fixture.place_ready());
	fixture.end_run(JOB, 1, FW_END_DONE);
	EXPECT_EQ(BD_STEP_TASK_DONE, task(fixture, 0).state);
	EXPECT_EQ(BD_STEP_TASK_DONE, task(fixture, 2).state);
	EXPECT_EQ(BD_FLOW_COMPLETED, state(fixture));
}

/* Two members of a gang that fail in the same run are one failure. If both
 * counted, the job would be reported as failed before its last attempt. */
TEST(FlowRunEnd, GangFailureCountsOncePerRun)
{
	FlowFixture fixture;

	fixture.add_host("1", "r1");
	fixture.submit(JOB, {FlowFixture::make_step(2, 1, BD_STEP_GANG)});
	fixture.place_ready();
	fixture.end_run(JOB, 0, FW_END_FAILED);
	fixture.end_run(JOB, 1, FW_END_FAILED);
	EXPECT_EQ(1U, task(fixture, 0).failures);
	EXPECT_EQ(BD_FLOW_RUNNING, state(fixture));
	EXPECT_EQ(1U, fixture.place_ready());
	EXPECT_EQ(2U, task(fixture, 0).run);
	fixture.end_run(JOB, 0, FW_END_FAILED);
	EXPECT_EQ(BD_FLOW_FAILED, state(fixture));
}

/* A gang must not be placed again while one of its members still runs. */
TEST(FlowRunEnd, GangIsPlacedAgainAfterItsLastMemberEnds)
{
	FlowFixture fixture;

	fixture.add_host("1", "r1");
	fixture.submit(JOB, {FlowFixture::make_step(2, 1, BD_STEP_GANG)});
	fixture.place_ready();
	fixture.end_run(JOB, 0, FW_END_STOPPED, "c1");
	EXPECT_EQ(0U, fixture.place_ready());
	fixture.end_run(JOB, 1, FW_END_MEMBER_ENDED);
	EXPECT_EQ(1U, fixture.place_ready());
	bd_read_begin();
	const struct bd_flow *row = fixture.find_flow(JOB);
	for (uint32_t i = 0; i < 2; i++) {
		const struct bd_step_task *member = &fw_flow_tasks(row)[i];

		EXPECT_EQ("c1",
		    std::string(fw_task_checkpoint(row, member),
			member->checkpoint.bytes));
	}
	bd_read_end();
	EXPECT_EQ(0U, task(fixture, 1).failures);
}

/* The end of a long-running task must not end its job, whether the task is done
 * or has failed. */
TEST(FlowRunEnd, LongRunningTaskIsRestarted)
{
	FlowFixture fixture;

	fixture.add_host("1", "r1");
	fixture.submit(
	    JOB, {FlowFixture::make_step(1, 1, BD_STEP_LONG_RUNNING)});
	fixture.place_ready();
	fixture.end_run(JOB, 0, FW_END_DONE);
	EXPECT_EQ(BD_FLOW_RUNNING, state(fixture));
	EXPECT_EQ(1U, fixture.place_ready());
	fixture.end_run(JOB, 0, FW_END_FAILED);
	fixture.place_ready();
	fixture.end_run(JOB, 0, FW_END_FAILED);
	EXPECT_EQ(BD_FLOW_RUNNING, state(fixture));
}
