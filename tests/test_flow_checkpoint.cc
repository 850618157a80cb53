#include <gtest/gtest.h>

#include <msgpack.h>

#include "flow_fixture.h"

namespace {

const char JOB[] = "00000000000000a1";

/* Copies the row of the job; the caller frees it. */
struct bd_flow *
copy_row(FlowFixture &fixture)
{
	struct bd_flow *copy;

	bd_read_begin();
	const struct bd_flow *row = fixture.find_flow(JOB);
	copy = (struct bd_flow *)malloc(fw_flow_bytes(row));
	memcpy(copy, row, fw_flow_bytes(row));
	bd_read_end();
	return copy;
}

std::string
checkpoint(const struct bd_flow *flow, uint32_t index)
{
	const struct bd_step_task *task = &fw_flow_tasks(flow)[index];

	return std::string(
	    fw_task_checkpoint(flow, task), task->checkpoint.bytes);
}

void
note(struct bd_flow **flow, uint32_t index, const std::string &text)
{
	fw_flow_tasks(*flow)[index].run = 1;
	ASSERT_EQ(CW_OK,
	    fw_checkpoint_note(
		flow, index, text.data(), (uint32_t)text.size()));
}

/* Stores progress as the placer does and returns the row that is read back. */
struct bd_flow *
stored(FlowFixture &fixture, const struct bd_flow *flow, size_t record_bytes)
{
	struct bd_flow *read = copy_row(fixture);
	void *value;
	size_t bytes;

	EXPECT_EQ(
	    CW_OK, fw_progress_encode(flow, record_bytes, &value, &bytes));
	EXPECT_LE(fw_record_bytes(flow->name, bytes), record_bytes);
	EXPECT_EQ(CW_OK, fw_progress_decode(value, bytes, &read));
	free(value);
	return read;
}

} // namespace

/* Guards against checkpoints that are cut, mixed up or lost on their way
 * through a job's row and its record, whatever their length and their bytes. */
TEST(FlowCheckpoint, CheckpointsOfAnyLengthAreStored)
{
	FlowFixture fixture;
	std::vector<std::string> texts = {
	    "", "c", std::string("c\0d", 3), std::string("\0", 1)};
	struct bd_flow *flow;
	struct bd_flow *read;

	for (size_t bytes : {39, 40, 64, 255, 256, 5000, 65535, 65536})
		texts.push_back(std::string(bytes, 'a' + (char)(bytes % 26)));
	ASSERT_EQ(CW_OK,
	    fixture.submit(
		JOB, {FlowFixture::make_step((uint32_t)texts.size() + 1, 0)}));
	flow = copy_row(fixture);
	for (uint32_t i = 0; i < texts.size(); i++)
		note(&flow, i, texts[i]);
	for (int round = 0; round < 3; round++) {
		for (uint32_t i = 0; i < texts.size(); i++)
			EXPECT_EQ(texts[i], checkpoint(flow, i)) << i;
		EXPECT_EQ("", checkpoint(flow, (uint32_t)texts.size()));
		EXPECT_EQ(
		    0U, fw_checkpoints_left_out(flow, FW_RECORD_BYTES_MAX));
		/* A later checkpoint replaces the one before. */
		texts[1] += "later";
		note(&flow, 1, texts[1]);
		read = stored(fixture, flow, FW_RECORD_BYTES_MAX);
		free(flow);
		flow = read;
	}
	free(flow);
}

/* Guards against rows that grow with each checkpoint of a task. */
TEST(FlowCheckpoint, RowsKeepOneCheckpointOfEachTask)
{
	FlowFixture fixture;
	struct bd_flow *flow;
	size_t bytes;

	ASSERT_EQ(CW_OK,
	    fixture.submit(JOB, {FlowFixture::make_step(4, 0, BD_STEP_GANG)}));
	flow = copy_row(fixture);
	bytes = fw_flow_bytes(flow);
	for (int i = 0; i < 50; i++) {
		struct bd_flow *read;
		std::string text = "step " + std::to_string(10 + i);

		note(&flow, 0, text);
		for (uint32_t k = 0; k < 4; k++) {
			fw_flow_tasks(flow)[k].run = 1;
			EXPECT_EQ(text, checkpoint(flow, k));
		}
		/* The same one again takes no room. */
		size_t before = fw_flow_bytes(flow);
		note(&flow, 3, text);
		EXPECT_EQ(before, fw_flow_bytes(flow));
		read = stored(fixture, flow, FW_RECORD_BYTES_MAX);
		free(flow);
		flow = read;
		EXPECT_EQ(bytes + text.size(), fw_flow_bytes(flow));
	}
	struct bd_flow *compacted = fw_flow_compact(flow);
	EXPECT_EQ(0U, compacted->checkpoint_bytes);
	free(compacted);
	free(flow);
}

/* Guards against a record that is larger than the store takes, which would hold
 * up the job for good: what has no room is the longest checkpoints, not the
 * places of tasks, and it is counted. */
TEST(FlowCheckpoint, RecordHasRoomBesideCheckpointsThatAreTooLong)
{
	const uint32_t tasks = 100;
	FlowFixture fixture;
	struct bd_flow *flow;
	struct bd_flow *read;

	ASSERT_EQ(
	    CW_OK, fixture.submit(JOB, {FlowFixture::make_step(tasks, 0)}));
	flow = copy_row(fixture);
	for (uint32_t i = 0; i < tasks; i++) {
		struct bd_step_task *task;

		note(&flow, i,
		    std::string(i % 2 == 0 ? 39 : 8000, 'c') +
			std::to_string(i));
		task = &fw_flow_tasks(flow)[i];
		task->state = BD_STEP_TASK_PLACED;
		task->host = task->address = UINT64_MAX;
		task->incarnation_ms = task->changed_ms = INT64_MAX;
		task->late_until_ms = INT64_MAX;
	}
	EXPECT_EQ(50U, fw_checkpoints_left_out(flow, FW_RECORD_BYTES_MAX));
	read = stored(fixture, flow, FW_RECORD_BYTES_MAX);
	for (uint32_t i = 0; i < tasks; i++) {
		EXPECT_EQ(
		    i % 2 == 0 ? checkpoint(flow, i) : "", checkpoint(read, i));
		EXPECT_EQ(UINT64_MAX, fw_flow_tasks(read)[i].address);
		EXPECT_EQ(INT64_MAX, fw_flow_tasks(read)[i].late_until_ms);
	}
	free(read);
	free(flow);
}

/* Guards against a run whose checkpoint is freed with the list that named it,
 * or is lost when a later list has none. */
TEST(FlowCheckpoint, RunsKeepTheLatestCheckpointOfTheirWorker)
{
	char texts[] = "onetwo";
	struct fw_report report = {};
	struct fw_run run = {};
	struct bd_text listed = {0, 3};

	report.texts = texts;
	report.text_bytes = 6;
	fw_run_keep_checkpoint(&run, &report, &listed);
	EXPECT_EQ("one", std::string(run.checkpoint, run.checkpoint_bytes));
	listed = {3, 3};
	fw_run_keep_checkpoint(&run, &report, &listed);
	listed = {0, 0};
	fw_run_keep_checkpoint(&run, &report, &listed);
	memset(texts, 'x', sizeof(texts));
	EXPECT_EQ("two", std::string(run.checkpoint, run.checkpoint_bytes));
	fw_run_drop_checkpoint(&run);
	EXPECT_EQ(nullptr, run.checkpoint);
}

/* Guards against a record that VMs of an earlier version cannot read during an
 * update: they would place tasks that run. They read tasks with checkpoints of
 * up to 39 bytes, and ignore what follows the sixth field. */
TEST(FlowCheckpoint, EarlierVersionsReadTheRestOfTheRecord)
{
	FlowFixture fixture;
	msgpack_unpacked unpacked;
	struct bd_flow *flow;
	void *value;
	size_t bytes;

	ASSERT_EQ(CW_OK, fixture.submit(JOB, {FlowFixture::make_step(3, 0)}));
	flow = copy_row(fixture);
	note(&flow, 0, std::string(39, 'a'));
	note(&flow, 1, std::string(40, 'b'));
	note(&flow, 2, std::string(5000, 'c'));
	ASSERT_EQ(CW_OK,
	    fw_progress_encode(flow, FW_RECORD_BYTES_MAX, &value, &bytes));
	msgpack_unpacked_init(&unpacked);
	ASSERT_EQ(MSGPACK_UNPACK_SUCCESS,
	    msgpack_unpack_next(
		&unpacked, (const char *)value, bytes, nullptr));
	ASSERT_EQ(7U, unpacked.data.via.array.size);
	const msgpack_object *fields = unpacked.data.via.array.ptr;
	ASSERT_EQ(3U, fields[3].via.array.size);
	for (uint32_t i = 0; i < 3; i++) {
		const msgpack_object &task = fields[3].via.array.ptr[i];

		ASSERT_EQ(9U, task.via.array.size);
		EXPECT_EQ(
		    i == 0 ? 39U : 0U, task.via.array.ptr[8].via.bin.size);
	}
	EXPECT_EQ(0U, fields[5].via.array.size);
	EXPECT_EQ(4U, fields[6].via.array.size);
	msgpack_unpacked_destroy(&unpacked);
	free(value);
	free(flow);
}
