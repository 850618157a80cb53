#include <gtest/gtest.h>

#include "flow_fixture.h"

#define JOB "00000000000000a1"

/* A client may submit a job again after it has started. The duplicate record
 * must not accept the job twice or discard its progress. */
TEST(FlowApply, DuplicateJobRecordIsIgnored)
{
	FlowFixture fixture;

	fixture.add_host("1", "r1");
	ASSERT_EQ(CW_OK, fixture.submit(JOB, {FlowFixture::make_step(2, 1)}));
	EXPECT_EQ(2U, fixture.place_ready());
	ASSERT_EQ(CW_OK, fixture.submit(JOB, {FlowFixture::make_step(2, 1)}));
	bd_read_begin();
	EXPECT_EQ(BD_FLOW_RUNNING, fixture.find_flow(JOB)->state);
	EXPECT_EQ(1U, fw_flow_tasks(fixture.find_flow(JOB))[1].run);
	bd_read_end();
}

/* Encoding a job and applying the record must preserve its steps, text and
 * flags; otherwise a job would differ after a restart from the store. */
TEST(FlowApply, JobRecordKeepsStepsTextAndFlags)
{
	FlowFixture fixture;
	struct bd_flow_step second = FlowFixture::make_step(3, 0, BD_STEP_GANG);

	second.after = 1;
	strcpy(second.label, "a");
	strcpy(second.data_rack, "r1-2");
	ASSERT_EQ(
	    CW_OK, fixture.submit(JOB, {FlowFixture::make_step(2, 1), second}));
	bd_read_begin();
	const struct bd_flow *flow = fixture.find_flow(JOB);
	const struct bd_flow_step *steps = fw_flow_steps(flow);
	EXPECT_EQ(5U, fw_flow_task_count(flow));
	EXPECT_EQ(2U, steps[1].first_task);
	EXPECT_EQ(1U, steps[1].after);
	EXPECT_EQ((uint32_t)BD_STEP_GANG, steps[1].flags);
	EXPECT_STREQ("r1-2", steps[1].data_rack);
	EXPECT_EQ(0, memcmp("text", fw_flow_text(flow), 4));
	bd_read_end();
}

/* A progress record that was in flight when the cancel was stored must not turn
 * the cancelled job into a completed one. */
TEST(FlowApply, ProgressAfterCancelKeepsJobCancelled)
{
	FlowFixture fixture;

	fixture.add_host("1", "r1");
	fixture.submit(JOB, {FlowFixture::make_step(1, 1)});
	fixture.place_ready();
	fixture.cancel(JOB);
	fixture.end_run(JOB, 0, FW_END_DONE);
	bd_read_begin();
	EXPECT_EQ(BD_FLOW_CANCELLED, fixture.find_flow(JOB)->state);
	EXPECT_EQ(
	    BD_STEP_TASK_DONE, fw_flow_tasks(fixture.find_flow(JOB))[0].state);
	bd_read_end();
	fixture.publish_state(JOB);
	EXPECT_EQ(BD_FLOW_CANCELLED, fixture.published_state(JOB));
}

/* All VMs must report the same outcome to clients. A cancel takes effect if it
 * is stored before the published state, even if the progress from which that
 * state derives was stored earlier. */
TEST(FlowApply, CancelBeforePublishedStateTakesEffect)
{
	FlowFixture fixture;

	fixture.add_host("1", "r1");
	fixture.submit(JOB, {FlowFixture::make_step(1, 1)});
	fixture.place_ready();
	fixture.end_run(JOB, 0, FW_END_DONE);
	EXPECT_EQ(BD_FLOW_QUEUED, fixture.published_state(JOB));
	fixture.cancel(JOB);
	EXPECT_EQ(BD_FLOW_CANCELLED, fixture.published_state(JOB));
	bd_read_begin();
	EXPECT_EQ(BD_FLOW_CANCELLED, fixture.find_flow(JOB)->state);
	bd_read_end();
}

/* State records may be delivered more than once; an older one must not move the
 * published state backwards. */
TEST(FlowApply, PublishedStateNeverRegresses)
{
	FlowFixture fixture;
	FlowFixture other;

	fixture.add_host("1", "r1");
	fixture.submit(JOB, {FlowFixture::make_step(1, 1)});
	fixture.place_ready();
	fixture.publish_state(JOB);
	EXPECT_EQ(BD_FLOW_RUNNING, fixture.published_state(JOB));
	fixture.end_run(JOB, 0, FW_END_DONE);
	fixture.publish_state(JOB);
	EXPECT_EQ(BD_FLOW_COMPLETED, fixture.published_state(JOB));
	bd_read_begin();
	struct bd_flow early = *fixture.find_flow(JOB);
	bd_read_end();
	early.state = BD_FLOW_RUNNING;
	struct fw_record record = {};
	void *value;
	fw_state_encode(&early, &value, &record.value_bytes);
	record.value = value;
	fw_record_key(record.key, FW_RECORD_STATE, JOB);
	EXPECT_EQ(CW_OK, fixture.apply(record));
	free(value);
	EXPECT_EQ(BD_FLOW_COMPLETED, fixture.published_state(JOB));
}

/* A cancel that is stored after the published completion must not turn the job
 * into a cancelled one. */
TEST(FlowApply, CancelAfterCompletionIsIgnored)
{
	FlowFixture fixture;

	fixture.add_host("1", "r1");
	fixture.submit(JOB, {FlowFixture::make_step(1, 1)});
	fixture.place_ready();
	fixture.end_run(JOB, 0, FW_END_DONE);
	fixture.publish_state(JOB);
	fixture.cancel(JOB);
	EXPECT_EQ(BD_FLOW_COMPLETED, fixture.published_state(JOB));
	bd_read_begin();
	EXPECT_EQ(BD_FLOW_COMPLETED, fixture.find_flow(JOB)->state);
	bd_read_end();
}

/* Records are delivered again when a topic is reread from the start; older
 * progress must not overwrite newer progress. */
TEST(FlowApply, StaleProgressIsIgnored)
{
	FlowFixture fixture;
	struct fw_record record = {};
	void *value;
	size_t bytes;

	fixture.add_host("1", "r1");
	fixture.submit(JOB, {FlowFixture::make_step(1, 1)});
	bd_read_begin();
	fw_progress_encode(
	    fixture.find_flow(JOB), FW_RECORD_BYTES_MAX, &value, &bytes);
	bd_read_end();
	fixture.place_ready();
	fw_record_key(record.key, FW_RECORD_PROGRESS, JOB);
	record.value = value;
	record.value_bytes = bytes;
	record.offset = 0;
	EXPECT_EQ(CW_OK, fw_record_apply(fixture.board, &record));
	free(value);
	bd_read_begin();
	EXPECT_EQ(BD_FLOW_RUNNING, fixture.find_flow(JOB)->state);
	bd_read_end();
}

/* A corrupt record must neither change a job nor end the process. */
TEST(FlowApply, CorruptRecordsAreRejected)
{
	FlowFixture fixture;
	struct fw_record record = {};
	const char bad[] = "\x94\x01\x02";

	fixture.submit(JOB, {FlowFixture::make_step(1, 1)});
	record.value = bad;
	for (const char *key : {"p/" JOB, "s/" JOB, "j/" JOB})
		for (size_t n = 1; n < sizeof(bad); n++) {
			strcpy(record.key, key);
			record.value_bytes = n;
			record.offset = 100;
			EXPECT_EQ(FW_EBADRECORD,
			    fw_record_apply(fixture.board, &record));
		}
	strcpy(record.key, "x");
	EXPECT_EQ(FW_EBADRECORD, fw_record_apply(fixture.board, &record));
	bd_read_begin();
	EXPECT_EQ(BD_FLOW_QUEUED, fixture.find_flow(JOB)->state);
	bd_read_end();
}

/* Jobs that cannot be represented in a board row or a record: an invalid id, a
 * step without tasks, a step that depends on itself, too many tasks. */
TEST(FlowApply, InvalidJobsAreRejected)
{
	FlowFixture fixture;
	struct bd_flow_step late = FlowFixture::make_step(1, 1);

	late.after = 1;
	EXPECT_EQ(
	    FW_EBADJOB, fixture.submit("zz", {FlowFixture::make_step(1, 1)}));
	EXPECT_EQ(
	    FW_EBADJOB, fixture.submit(JOB, {FlowFixture::make_step(0, 1)}));
	EXPECT_EQ(FW_EBADJOB, fixture.submit(JOB, {late}));
	EXPECT_EQ(FW_EBADJOB,
	    fixture.submit(JOB, {FlowFixture::make_step(FW_TASKS_MAX + 1, 1)}));
}

/* Ended jobs are compacted to their state. Otherwise a restart of all VMs would
 * take as long as reading every job of the day with its text. */
TEST(FlowApply, CompactedJobsKeepTheirState)
{
	FlowFixture fixture;
	struct fw_record record = {};
	struct bd_flow *compacted;
	size_t before;
	size_t bytes;
	void *value;

	fixture.add_host("1", "r1");
	fixture.submit(JOB, {FlowFixture::make_step(5, 1)});
	fixture.place_ready();
	bd_read_begin();
	EXPECT_FALSE(fw_flow_drained(fixture.find_flow(JOB)));
	bd_read_end();
	for (uint32_t i = 0; i < 5; i++)
		fixture.end_run(JOB, i, FW_END_DONE);
	bd_read_begin();
	EXPECT_TRUE(fw_flow_drained(fixture.find_flow(JOB)));
	before = fw_flow_bytes(fixture.find_flow(JOB));
	compacted = fw_flow_compact(fixture.find_flow(JOB));
	bd_read_end();
	fw_job_encode(compacted, &value, &bytes);
	free(compacted);
	fixture.publish_state(JOB);
	fw_record_key(record.key, FW_RECORD_JOB, JOB);
	record.value = value;
	record.value_bytes = bytes;
	EXPECT_EQ(CW_OK, fixture.apply(record));
	free(value);
	bd_read_begin();
	EXPECT_LT(fw_flow_bytes(fixture.find_flow(JOB)), before);
	EXPECT_EQ(1U, fixture.find_flow(JOB)->compacted);
	EXPECT_EQ(BD_FLOW_COMPLETED, fixture.find_flow(JOB)->state);
	EXPECT_EQ(fixture.queue.id, fixture.find_flow(JOB)->queue);
	EXPECT_NE(0U, fixture.find_flow(JOB)->epoch);
	bd_read_end();
	EXPECT_EQ(BD_FLOW_COMPLETED, fixture.published_state(JOB));
	/* An empty progress record drops the remaining progress. */
	fw_record_key(record.key, FW_RECORD_PROGRESS, JOB);
	record.value = nullptr;
	record.value_bytes = 0;
	EXPECT_EQ(CW_OK, fixture.apply(record));
	bd_read_begin();
	EXPECT_EQ(0U, fixture.find_flow(JOB)->epoch);
	bd_read_end();
}

/* A VM that becomes the placer again must not treat progress that it read in an
 * earlier term as current: the record may have been dropped from the store
 * since. */
TEST(FlowApply, DroppedProgressIsReset)
{
	FlowFixture fixture;
	struct fw_snapshot_ids seen = {};
	uint64_t id;

	fixture.add_host("1", "r1");
	fixture.submit(JOB, {FlowFixture::make_step(2, 1)});
	fixture.submit("00000000000000a2", {FlowFixture::make_step(2, 1)});
	EXPECT_EQ(4U, fixture.place_ready());
	fw_flow_id_parse("00000000000000a2", &id);
	fw_snapshot_ids_begin(&seen);
	fw_snapshot_ids_add(&seen, id);
	ASSERT_TRUE(fw_snapshot_ids_end(&seen));
	fw_progress_reset_missing(fixture.board, &seen);
	fw_snapshot_ids_free(&seen);
	bd_read_begin();
	EXPECT_EQ(0U, fw_flow_tasks(fixture.find_flow(JOB))[0].run);
	EXPECT_EQ(BD_FLOW_QUEUED, fixture.find_flow(JOB)->state);
	EXPECT_EQ(
	    1U, fw_flow_tasks(fixture.find_flow("00000000000000a2"))[0].run);
	bd_read_end();
}

/* Progress that exceeds the store's record limit would be resent forever, and
 * the placer would place nothing else. */
TEST(FlowApply, ProgressOfLargestJobFitsIntoRecord)
{
	FlowFixture fixture;
	struct bd_flow *copy;
	size_t bytes;
	void *value;

	ASSERT_EQ(CW_OK,
	    fixture.submit(JOB, {FlowFixture::make_step(FW_TASKS_MAX, 0)}));
	bd_read_begin();
	const struct bd_flow *row = fixture.find_flow(JOB);
	copy = (struct bd_flow *)malloc(fw_flow_bytes(row));
	memcpy(copy, row, fw_flow_bytes(row));
	bd_read_end();
	for (uint32_t i = 0; i < FW_TASKS_MAX; i++) {
		struct bd_step_task *task = &fw_flow_tasks(copy)[i];

		task->run = task->failed_run = UINT32_MAX;
		task->failures = UINT16_MAX;
		task->host = task->address = UINT64_MAX;
		task->incarnation_ms = task->changed_ms = INT64_MAX;
		task->late_until_ms = INT64_MAX;
		task->late = BD_LATE_FIRST | BD_LATE_BEFORE | BD_LATE_SINCE;
		task->late_ms = UINT16_MAX;
		task->late_offset = UINT64_MAX;
	}
	copy->term = UINT64_MAX;
	copy->stored_ms = INT64_MAX;
	for (uint32_t i = 0; i < FW_TASKS_MAX; i++) {
		std::string checkpoint = std::to_string(i);

		checkpoint.resize(39, 'c');
		ASSERT_EQ(
		    CW_OK, fw_checkpoint_note(&copy, i, checkpoint.data(), 39));
	}
	copy->changed_ms = INT64_MAX;
	EXPECT_EQ(0U, fw_checkpoints_left_out(copy, FW_RECORD_BYTES_MAX));
	ASSERT_EQ(CW_OK,
	    fw_progress_encode(copy, FW_RECORD_BYTES_MAX, &value, &bytes));
	EXPECT_LE(bytes, fw_progress_bytes_max(copy));
	EXPECT_LT(bytes, FW_RECORD_BYTES_MAX);
	free(value);
	/* With crashes of workers under each task. */
	for (uint32_t i = 0; i < FW_TASKS_MAX; i++) {
		struct bd_step_task *task = &fw_flow_tasks(copy)[i];

		task->run = task->failed_run = UINT16_MAX;
		task->crashes = task->presumed_crashes = FW_CRASHES_MAX;
	}
	ASSERT_EQ(CW_OK,
	    fw_progress_encode(copy, FW_RECORD_BYTES_MAX, &value, &bytes));
	EXPECT_LE(bytes, fw_progress_bytes_max(copy));
	EXPECT_LT(bytes, FW_RECORD_BYTES_MAX);
	free(value);
	free(copy);
}

/* Progress tells of each task until when a start may be late, and its worker's
 * address. */
TEST(FlowApply, PlacesOfTasksAreStored)
{
	FlowFixture fixture;
	struct bd_flow *copy;
	struct bd_flow *read;
	void *value;
	size_t bytes;

	ASSERT_EQ(CW_OK, fixture.submit(JOB, {FlowFixture::make_step(3, 0)}));
	bd_read_begin();
	const struct bd_flow *row = fixture.find_flow(JOB);
	copy = (struct bd_flow *)malloc(fw_flow_bytes(row));
	read = (struct bd_flow *)malloc(fw_flow_bytes(row));
	memcpy(copy, row, fw_flow_bytes(row));
	memcpy(read, row, fw_flow_bytes(row));
	bd_read_end();
	for (uint32_t i = 0; i < 2; i++) {
		struct bd_step_task *task = &fw_flow_tasks(copy)[i];

		task->run = 1;
		task->state = BD_STEP_TASK_PLACED;
		task->address = i == 0 ? UINT64_MAX : 0;
		task->late_until_ms = i == 0 ? 0 : INT64_MAX;
	}
	ASSERT_EQ(CW_OK,
	    fw_progress_encode(copy, FW_RECORD_BYTES_MAX, &value, &bytes));
	ASSERT_EQ(CW_OK, fw_progress_decode(value, bytes, &read));
	for (uint32_t i = 0; i < 3; i++) {
		EXPECT_EQ(fw_flow_tasks(copy)[i].address,
		    fw_flow_tasks(read)[i].address);
		EXPECT_EQ(fw_flow_tasks(copy)[i].late_until_ms,
		    fw_flow_tasks(read)[i].late_until_ms);
	}
	free(value);
	free(copy);
	free(read);
}

/* Encodes the progress of a copy of a job's row, with four tasks that have
 * runs, and decodes it into another one. The caller frees that. */
static struct bd_flow *
store_late_starts(FlowFixture &fixture, uint64_t term, size_t record_bytes)
{
	const uint16_t late[] = {0, BD_LATE_FIRST,
	    BD_LATE_LATEST | BD_LATE_SINCE, BD_LATE_FIRST | BD_LATE_BEFORE};
	struct bd_flow *copy;
	struct bd_flow *read;
	void *value;
	size_t bytes;

	EXPECT_EQ(CW_OK, fixture.submit(JOB, {FlowFixture::make_step(5, 0)}));
	bd_read_begin();
	const struct bd_flow *row = fixture.find_flow(JOB);
	copy = (struct bd_flow *)malloc(fw_flow_bytes(row));
	read = (struct bd_flow *)malloc(fw_flow_bytes(row));
	memcpy(copy, row, fw_flow_bytes(row));
	memcpy(read, row, fw_flow_bytes(row));
	bd_read_end();
	for (uint32_t i = 0; i < 4; i++) {
		struct bd_step_task *task = &fw_flow_tasks(copy)[i];

		task->run = 2;
		task->state = BD_STEP_TASK_PLACED;
		task->late = late[i];
		task->late_ms = i >= 2 ? 1000 * i : 0;
		task->late_offset = i == 2 ? 77 : 0;
	}
	copy->term = term;
	copy->stored_ms = 1234567;
	EXPECT_EQ(
	    CW_OK, fw_progress_encode(copy, record_bytes, &value, &bytes));
	EXPECT_EQ(CW_OK, fw_progress_decode(value, bytes, &read));
	free(value);
	free(copy);
	return read;
}

/* Progress tells of each task for how long a start may be late. */
TEST(FlowApply, LateStartsOfTasksAreStored)
{
	FlowFixture fixture;
	struct bd_flow *read =
	    store_late_starts(fixture, 7, FW_RECORD_BYTES_MAX);
	const struct bd_step_task *tasks = fw_flow_tasks(read);

	EXPECT_EQ(7U, read->term);
	EXPECT_EQ(1234567, read->stored_ms);
	EXPECT_EQ(0U, tasks[0].late);
	EXPECT_EQ(BD_LATE_FIRST, tasks[1].late);
	EXPECT_EQ(0U, tasks[1].late_ms);
	EXPECT_EQ(BD_LATE_LATEST | BD_LATE_SINCE, tasks[2].late);
	EXPECT_EQ(77U, tasks[2].late_offset);
	EXPECT_EQ(2000U, tasks[2].late_ms);
	EXPECT_EQ(BD_LATE_FIRST | BD_LATE_BEFORE, tasks[3].late);
	EXPECT_EQ(3000U, tasks[3].late_ms);
	EXPECT_EQ(0U, tasks[4].late);
	free(read);
}

/* Guards against late starts that nobody expects, as there was no room in the
 * record, or as an older version wrote it. */
TEST(FlowApply, AnyStartMayBeLateWhereTheRecordDoesNotTell)
{
	for (uint64_t term : {0, 7}) {
		FlowFixture fixture;
		struct bd_flow *read = store_late_starts(
		    fixture, term, term == 0 ? FW_RECORD_BYTES_MAX : 64);
		const struct bd_step_task *tasks = fw_flow_tasks(read);

		EXPECT_EQ(term, read->term);
		for (uint32_t i = 0; i < 4; i++) {
			EXPECT_EQ(
			    BD_LATE_LATEST | BD_LATE_BEFORE, tasks[i].late);
			EXPECT_EQ(FW_LATE_NOTED_MAX_MS, tasks[i].late_ms);
		}
		EXPECT_EQ(0U, tasks[4].late);
		free(read);
	}
}

/* A record may declare a larger length than it contains, and the msgpack
 * library allocates by the declared length. */
TEST(FlowApply, DeclaredLengthsAreCheckedBeforeAllocation)
{
	const char bad[] = "\xdd\xff\xff\xff\xff\x01";
	struct bd_flow *flow;
	size_t used;

	EXPECT_FALSE(cw_msgpack_is_complete(bad, sizeof(bad) - 1, &used));
	EXPECT_EQ(FW_EBADRECORD, fw_job_decode(bad, sizeof(bad) - 1, &flow));
	EXPECT_FALSE(cw_msgpack_is_complete(bad, 0, &used));
}
