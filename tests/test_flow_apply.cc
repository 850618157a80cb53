#include <gtest/gtest.h>

#include "flow_world.h"

#define JOB "00000000000000a1"

/* Guards against a job that is accepted twice, or loses its progress, because a
 * caller's repetition arrives after it has started. */
TEST(FlowApply, RepeatedJobRecordChangesNothing)
{
	FlowWorld world;

	world.host("1", "r1");
	ASSERT_EQ(CW_OK, world.submit(JOB, {FlowWorld::step(2, 1)}));
	EXPECT_EQ(2U, world.place());
	ASSERT_EQ(CW_OK, world.submit(JOB, {FlowWorld::step(2, 1)}));
	bd_read_begin();
	EXPECT_EQ(BD_FLOW_RUNNING, world.flow(JOB)->state);
	EXPECT_EQ(1U, fw_flow_tasks(world.flow(JOB))[1].run);
	bd_read_end();
}

/* Guards against steps, texts or flags that differ after a restart from the
 * store. */
TEST(FlowApply, JobSurvivesItsRecord)
{
	FlowWorld world;
	struct bd_flow_step second = FlowWorld::step(3, 0, BD_STEP_GANG);

	second.after = 1;
	strcpy(second.label, "a");
	strcpy(second.data_rack, "r1-2");
	ASSERT_EQ(CW_OK, world.submit(JOB, {FlowWorld::step(2, 1), second}));
	bd_read_begin();
	const struct bd_flow *flow = world.flow(JOB);
	const struct bd_flow_step *steps = fw_flow_steps(flow);
	EXPECT_EQ(5U, fw_flow_task_count(flow));
	EXPECT_EQ(2U, steps[1].first_task);
	EXPECT_EQ(1U, steps[1].after);
	EXPECT_EQ((uint32_t)BD_STEP_GANG, steps[1].flags);
	EXPECT_STREQ("r1-2", steps[1].data_rack);
	EXPECT_EQ(0, memcmp("text", fw_flow_text(flow), 4));
	bd_read_end();
}

/* Guards against a cancelled job that is shown as completed because a progress
 * record was on its way. */
TEST(FlowApply, CancelStoredFirstKeepsItsOutcome)
{
	FlowWorld world;

	world.host("1", "r1");
	world.submit(JOB, {FlowWorld::step(1, 1)});
	world.place();
	world.cancel(JOB);
	world.end(JOB, 0, FW_END_DONE);
	bd_read_begin();
	EXPECT_EQ(BD_FLOW_CANCELLED, world.flow(JOB)->state);
	EXPECT_EQ(BD_STEP_TASK_DONE, fw_flow_tasks(world.flow(JOB))[0].state);
	bd_read_end();
	world.show(JOB);
	EXPECT_EQ(BD_FLOW_CANCELLED, world.shown(JOB));
}

/* Guards against VMs that tell callers different outcomes: a cancel that is
 * stored before the state that callers are told counts, although the progress
 * behind that state was stored before. */
TEST(FlowApply, CancelBeforeTheShownEndCounts)
{
	FlowWorld world;

	world.host("1", "r1");
	world.submit(JOB, {FlowWorld::step(1, 1)});
	world.place();
	world.end(JOB, 0, FW_END_DONE);
	EXPECT_EQ(BD_FLOW_QUEUED, world.shown(JOB));
	world.cancel(JOB);
	EXPECT_EQ(BD_FLOW_CANCELLED, world.shown(JOB));
	bd_read_begin();
	EXPECT_EQ(BD_FLOW_CANCELLED, world.flow(JOB)->state);
	bd_read_end();
}

/* Guards against a state that goes back, as records may come again. */
TEST(FlowApply, ShownStatesOnlyGoOn)
{
	FlowWorld world;
	FlowWorld other;

	world.host("1", "r1");
	world.submit(JOB, {FlowWorld::step(1, 1)});
	world.place();
	world.show(JOB);
	EXPECT_EQ(BD_FLOW_RUNNING, world.shown(JOB));
	world.end(JOB, 0, FW_END_DONE);
	world.show(JOB);
	EXPECT_EQ(BD_FLOW_COMPLETED, world.shown(JOB));
	bd_read_begin();
	struct bd_flow early = *world.flow(JOB);
	bd_read_end();
	early.state = BD_FLOW_RUNNING;
	struct fw_record record = {};
	void *value;
	fw_state_encode(&early, &value, &record.value_bytes);
	record.value = value;
	fw_record_key(record.key, FW_RECORD_STATE, JOB);
	EXPECT_EQ(CW_OK, world.apply(record));
	free(value);
	EXPECT_EQ(BD_FLOW_COMPLETED, world.shown(JOB));
}

/* Guards against a completed job that a late cancel turns into a cancelled one.
 */
TEST(FlowApply, LateCancelLeavesCompleted)
{
	FlowWorld world;

	world.host("1", "r1");
	world.submit(JOB, {FlowWorld::step(1, 1)});
	world.place();
	world.end(JOB, 0, FW_END_DONE);
	world.show(JOB);
	world.cancel(JOB);
	EXPECT_EQ(BD_FLOW_COMPLETED, world.shown(JOB));
	bd_read_begin();
	EXPECT_EQ(BD_FLOW_COMPLETED, world.flow(JOB)->state);
	bd_read_end();
}

/* Guards against progress that goes back when a topic is read anew. */
TEST(FlowApply, OlderProgressIsPassedOver)
{
	FlowWorld world;
	struct fw_record record = {};
	void *value;
	size_t bytes;

	world.host("1", "r1");
	world.submit(JOB, {FlowWorld::step(1, 1)});
	bd_read_begin();
	fw_progress_encode(world.flow(JOB), &value, &bytes);
	bd_read_end();
	world.place();
	fw_record_key(record.key, FW_RECORD_PROGRESS, JOB);
	record.value = value;
	record.value_bytes = bytes;
	record.offset = 0;
	EXPECT_EQ(CW_OK, fw_apply(world.board, &record));
	free(value);
	bd_read_begin();
	EXPECT_EQ(BD_FLOW_RUNNING, world.flow(JOB)->state);
	bd_read_end();
}

/* Guards against a damaged record that changes a job or ends the process. */
TEST(FlowApply, DamagedRecordsChangeNothing)
{
	FlowWorld world;
	struct fw_record record = {};
	const char bad[] = "\x94\x01\x02";

	world.submit(JOB, {FlowWorld::step(1, 1)});
	record.value = bad;
	for (const char *key : {"p/" JOB, "s/" JOB, "j/" JOB})
		for (size_t n = 1; n < sizeof(bad); n++) {
			strcpy(record.key, key);
			record.value_bytes = n;
			record.offset = 100;
			EXPECT_EQ(
			    FW_EBADRECORD, fw_apply(world.board, &record));
		}
	strcpy(record.key, "x");
	EXPECT_EQ(FW_EBADRECORD, fw_apply(world.board, &record));
	bd_read_begin();
	EXPECT_EQ(BD_FLOW_QUEUED, world.flow(JOB)->state);
	bd_read_end();
}

/* Guards against jobs that no row or record can hold. */
TEST(FlowApply, ImpossibleJobsAreRefused)
{
	FlowWorld world;
	struct bd_flow_step late = FlowWorld::step(1, 1);

	late.after = 1;
	EXPECT_EQ(FW_EBADJOB, world.submit("zz", {FlowWorld::step(1, 1)}));
	EXPECT_EQ(FW_EBADJOB, world.submit(JOB, {FlowWorld::step(0, 1)}));
	EXPECT_EQ(FW_EBADJOB, world.submit(JOB, {late}));
	EXPECT_EQ(FW_EBADJOB,
	    world.submit(JOB, {FlowWorld::step(FW_TASKS_MAX + 1, 1)}));
}

/* Guards against a restart of all VMs that takes as long as reading every job
 * of the day with its text: ended jobs keep their state only. */
TEST(FlowApply, EndedJobsShrinkAndKeepTheirState)
{
	FlowWorld world;
	struct fw_record record = {};
	struct bd_flow *small;
	size_t before;
	size_t bytes;
	void *value;

	world.host("1", "r1");
	world.submit(JOB, {FlowWorld::step(5, 1)});
	world.place();
	bd_read_begin();
	EXPECT_FALSE(fw_flow_settled(world.flow(JOB)));
	bd_read_end();
	for (uint32_t i = 0; i < 5; i++)
		world.end(JOB, i, FW_END_DONE);
	bd_read_begin();
	EXPECT_TRUE(fw_flow_settled(world.flow(JOB)));
	before = fw_flow_bytes(world.flow(JOB));
	small = fw_flow_shrink(world.flow(JOB));
	bd_read_end();
	fw_job_encode(small, &value, &bytes);
	free(small);
	world.show(JOB);
	fw_record_key(record.key, FW_RECORD_JOB, JOB);
	record.value = value;
	record.value_bytes = bytes;
	EXPECT_EQ(CW_OK, world.apply(record));
	free(value);
	bd_read_begin();
	EXPECT_LT(fw_flow_bytes(world.flow(JOB)), before);
	EXPECT_EQ(1U, world.flow(JOB)->shrunk);
	EXPECT_EQ(BD_FLOW_COMPLETED, world.flow(JOB)->state);
	EXPECT_EQ(world.queue.id, world.flow(JOB)->queue);
	EXPECT_NE(0U, world.flow(JOB)->epoch);
	bd_read_end();
	EXPECT_EQ(BD_FLOW_COMPLETED, world.shown(JOB));
	/* The progress that is left is dropped. */
	fw_record_key(record.key, FW_RECORD_PROGRESS, JOB);
	record.value = nullptr;
	record.value_bytes = 0;
	EXPECT_EQ(CW_OK, world.apply(record));
	bd_read_begin();
	EXPECT_EQ(0U, world.flow(JOB)->epoch);
	bd_read_end();
}

/* Guards against a VM that places again and takes old progress for the present
 * one: it had read it in an earlier term, and it was dropped since. */
TEST(FlowApply, ProgressThatIsGoneIsForgotten)
{
	FlowWorld world;
	struct fw_seen seen = {};
	uint64_t id;

	world.host("1", "r1");
	world.submit(JOB, {FlowWorld::step(2, 1)});
	world.submit("00000000000000a2", {FlowWorld::step(2, 1)});
	EXPECT_EQ(4U, world.place());
	fw_flow_id("00000000000000a2", &id);
	fw_seen_begin(&seen);
	fw_seen_add(&seen, id);
	ASSERT_TRUE(fw_seen_end(&seen));
	fw_progress_forget(world.board, &seen);
	fw_seen_free(&seen);
	bd_read_begin();
	EXPECT_EQ(0U, fw_flow_tasks(world.flow(JOB))[0].run);
	EXPECT_EQ(BD_FLOW_QUEUED, world.flow(JOB)->state);
	EXPECT_EQ(1U, fw_flow_tasks(world.flow("00000000000000a2"))[0].run);
	bd_read_end();
}

/* Guards against progress that no record of the store can hold: the placer
 * would send it for ever and place nothing else. */
TEST(FlowApply, ProgressOfTheLargestJobFitsIntoARecord)
{
	FlowWorld world;
	struct bd_flow *copy;
	size_t bytes;
	void *value;

	ASSERT_EQ(CW_OK, world.submit(JOB, {FlowWorld::step(FW_TASKS_MAX, 0)}));
	bd_read_begin();
	const struct bd_flow *row = world.flow(JOB);
	copy = (struct bd_flow *)malloc(fw_flow_bytes(row));
	memcpy(copy, row, fw_flow_bytes(row));
	bd_read_end();
	for (uint32_t i = 0; i < FW_TASKS_MAX; i++) {
		struct bd_step_task *task = &fw_flow_tasks(copy)[i];

		task->run = task->failed_run = UINT32_MAX;
		task->failures = UINT16_MAX;
		task->host = UINT64_MAX;
		task->born_ms = task->changed_ms = INT64_MAX;
		memset(task->checkpoint, 'c', sizeof(task->checkpoint) - 1);
	}
	ASSERT_EQ(CW_OK, fw_progress_encode(copy, &value, &bytes));
	EXPECT_LT(bytes, FW_RECORD_BYTES_MAX);
	free(value);
	free(copy);
}

/* Guards against a record that announces more than it holds: the library would
 * allocate by the announced length. Found by the fuzz entry. */
TEST(FlowApply, AnnouncedLengthsAllocateNothing)
{
	const char bad[] = "\xdd\xff\xff\xff\xff\x01";
	struct bd_flow *flow;
	size_t used;

	EXPECT_FALSE(cw_msgpack_whole(bad, sizeof(bad) - 1, &used));
	EXPECT_EQ(FW_EBADRECORD, fw_job_decode(bad, sizeof(bad) - 1, &flow));
	EXPECT_FALSE(cw_msgpack_whole(bad, 0, &used));
}
