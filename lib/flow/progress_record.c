#include <string.h>

#include "flow_internal.h"
#include "record_fields.h"

/* The fifth field is the latest end of the late starts of all tasks, for
 * versions that do not read the sixth: that of each task, and its worker's
 * address. */
#define PROGRESS_FIELDS 5
#define PROGRESS_FIELDS_PLACES 6
/* The seventh one has the checkpoints that are longer than versions before it
 * can read as a field of their task. */
#define PROGRESS_FIELDS_LONG 7
/* The eighth one has the writer's term and time, and what it knows of late
 * starts. Without it, any start may be late. */
#define PROGRESS_FIELDS_LATE 8
/* A task under which workers have crashed has two more fields: their number,
 * and how many of them are presumed. They come last, as versions that do not
 * know them ignore what follows the others. */
#define TASK_FIELDS 9
/* Largest encoded size of a task with a run: its numbers and a checkpoint of up
 * to 39 bytes; of one with crashes as well, up to its run 65,535. */
#define TASK_BYTES_MAX 87
#define CHECKPOINT_SHORT_BYTES 39
/* Numbers of a long checkpoint, and the largest encoded size of an index. */
#define LONG_FIELDS 2
#define INDEX_BYTES_MAX 5
/* Numbers of a task among the places, and their largest encoded size. */
#define PLACE_FIELDS 3
#define PLACE_BYTES_MAX 21
/* The same of what precedes and follows the tasks, without places, without long
 * checkpoints and without the late starts of single tasks. */
#define PROGRESS_HEAD_BYTES_MAX 64
/* Largest encoded size of a task among the late starts: its index with the bits
 * of enum bd_late_start, a time in ms, and an offset. */
#define LATE_SHIFT 4
#define LATE_BYTES_MAX 17
/* Fields before these tasks: term, time, and the time in ms for all tasks if
 * there is no room for single ones. */
#define LATE_HEAD_FIELDS 3

_Static_assert(FW_TASKS_MAX *TASK_BYTES_MAX < FW_RECORD_BYTES_MAX,
    "the progress of the largest job fits into one record");

/* What the record of a job's progress has. */
struct progress_plan {
	uint32_t started;      /* tasks with a run */
	uint32_t places;       /* tasks whose place is stored */
	uint32_t late;         /* tasks whose late starts are stored */
	bool late_for_all;     /* there is no room for these */
	uint32_t long_count;   /* tasks with a long checkpoint that fits */
	uint32_t left_out;     /* tasks with one that does not */
	size_t long_bytes_max; /* largest encoded size of one that fits */
};

static bool has_place(const struct bd_step_task *task);
static size_t packed_bytes(size_t bytes);
static bool has_long_checkpoint(const struct bd_step_task *task);
static size_t long_bytes(const struct bd_step_task *task);
static void plan_progress(const struct bd_flow *flow, size_t record_bytes_max,
    struct progress_plan *plan);
static void pack_task(
    msgpack_packer *packer, const struct bd_flow *flow, uint32_t index);
static void pack_places(msgpack_packer *packer,
    const struct bd_step_task *tasks, uint32_t count, uint32_t places);
static bool is_late_for(const struct bd_step_task *task);
static bool is_late_since(const struct bd_step_task *task);
static void pack_late_starts(msgpack_packer *packer, const struct bd_flow *flow,
    const struct progress_plan *plan);
static void pack_long_checkpoints(msgpack_packer *packer,
    const struct bd_flow *flow, const struct progress_plan *plan);
static void read_task(
    struct fw_cursor *cursor, struct bd_flow *flow, struct bd_text *last);
static void read_places(struct fw_cursor *cursor, struct bd_flow *flow);
static void read_long_checkpoints(
    struct fw_cursor *cursor, struct bd_flow *flow, struct bd_text *last);
static void spread_late_until(struct bd_flow *flow, int64_t until_ms);
static void set_late_for_all(struct bd_flow *flow, uint16_t late_ms);
static void read_late_starts(struct fw_cursor *cursor, struct bd_flow *flow);
static bool read_progress(struct fw_cursor *cursor, struct bd_flow *flow);

/* Returns the largest encoded size of the progress of a job. */
size_t
fw_progress_bytes_max(const struct bd_flow *flow)
{
	return PROGRESS_HEAD_BYTES_MAX +
	    (size_t)fw_flow_task_count(flow) * TASK_BYTES_MAX;
}

/* Returns whether a task's place is stored: the worker that may run it, or that
 * may carry out a start of it. */
static bool
has_place(const struct bd_step_task *task)
{
	return task->run > 0 &&
	    ((task->state == BD_STEP_TASK_PLACED && task->address != 0) ||
		task->late_until_ms > 0);
}

/* Returns the encoded size of a text. */
static size_t
packed_bytes(size_t bytes)
{
	return bytes + (bytes <= UINT8_MAX ? 2 : bytes <= UINT16_MAX ? 3 : 5);
}

/* Returns whether a task's checkpoint is stored apart from its other fields. */
static bool
has_long_checkpoint(const struct bd_step_task *task)
{
	return task->run > 0 && task->checkpoint.bytes > CHECKPOINT_SHORT_BYTES;
}

/* Returns the encoded size of a long checkpoint, with the index of its task. */
static size_t
long_bytes(const struct bd_step_task *task)
{
	return INDEX_BYTES_MAX + packed_bytes(task->checkpoint.bytes);
}

/* Plans the record of a job's progress. No places and no late starts of single
 * tasks are stored if they could make it larger than record_bytes_max. Long
 * checkpoints share what room is left then: all of them if they fit, otherwise
 * those within an equal part of it. */
static void
plan_progress(const struct bd_flow *flow, size_t record_bytes_max,
    struct progress_plan *plan)
{
	const struct bd_step_task *tasks = fw_flow_tasks(flow);
	uint32_t count = fw_flow_task_count(flow);
	uint32_t with_long = 0;
	size_t sum = 0;
	size_t used;
	size_t left;
	uint32_t i;

	memset(plan, 0, sizeof(*plan));
	for (i = 0; i < count; i++) {
		plan->started += tasks[i].run > 0;
		plan->places += has_place(&tasks[i]);
		plan->late += tasks[i].run > 0 && tasks[i].late != 0;
		if (has_long_checkpoint(&tasks[i])) {
			with_long++;
			sum += long_bytes(&tasks[i]);
		}
	}
	used = fw_record_bytes(flow->name,
	    PROGRESS_HEAD_BYTES_MAX + (size_t)plan->started * TASK_BYTES_MAX +
		(size_t)plan->places * PLACE_BYTES_MAX +
		(size_t)plan->late * LATE_BYTES_MAX);
	left = used < record_bytes_max ? record_bytes_max - used : 0;
	if (used > record_bytes_max) {
		plan->places = plan->late = 0;
		plan->late_for_all = true;
	}
	if (with_long > 0)
		plan->long_bytes_max = sum <= left ? sum : left / with_long;
	for (i = 0; i < count; i++)
		if (has_long_checkpoint(&tasks[i])) {
			if (long_bytes(&tasks[i]) <= plan->long_bytes_max)
				plan->long_count++;
			else
				plan->left_out++;
		}
}

/* Returns the number of tasks whose checkpoint the record of a job's progress
 * has no room for: they start anew after a change of the placer. */
uint32_t
fw_checkpoints_left_out(const struct bd_flow *flow, size_t record_bytes_max)
{
	struct progress_plan plan;

	plan_progress(flow, record_bytes_max, &plan);
	return plan.left_out;
}

static void
pack_task(msgpack_packer *packer, const struct bd_flow *flow, uint32_t index)
{
	const struct bd_step_task *task = &fw_flow_tasks(flow)[index];

	msgpack_pack_array(packer, TASK_FIELDS + (task->crashes > 0 ? 2 : 0));
	msgpack_pack_uint32(packer, index);
	msgpack_pack_uint32(packer, task->run);
	msgpack_pack_uint32(packer, task->state);
	msgpack_pack_uint32(packer, task->failures);
	msgpack_pack_uint32(packer, task->failed_run);
	msgpack_pack_uint64(packer, task->host);
	msgpack_pack_int64(packer, task->incarnation_ms);
	msgpack_pack_int64(packer, task->changed_ms);
	fw_pack_text(packer, fw_task_checkpoint(flow, task),
	    has_long_checkpoint(task) ? 0 : task->checkpoint.bytes);
	if (task->crashes > 0) {
		msgpack_pack_uint16(packer, task->crashes);
		msgpack_pack_uint16(packer, task->presumed_crashes);
	}
}

static void
pack_places(msgpack_packer *packer, const struct bd_step_task *tasks,
    uint32_t count, uint32_t places)
{
	uint32_t i;

	msgpack_pack_array(packer, (size_t)places * PLACE_FIELDS);
	for (i = 0; places > 0 && i < count; i++) {
		if (!has_place(&tasks[i]))
			continue;
		msgpack_pack_uint32(packer, i);
		msgpack_pack_int64(packer, tasks[i].late_until_ms);
		msgpack_pack_uint64(packer, tasks[i].address);
	}
}

/* Packs the index and the long checkpoint of each task that has one for which
 * there is room. */
static void
pack_long_checkpoints(msgpack_packer *packer, const struct bd_flow *flow,
    const struct progress_plan *plan)
{
	const struct bd_step_task *tasks = fw_flow_tasks(flow);
	uint32_t count = fw_flow_task_count(flow);
	uint32_t i;

	msgpack_pack_array(packer, (size_t)plan->long_count * LONG_FIELDS);
	for (i = 0; i < count; i++) {
		if (!has_long_checkpoint(&tasks[i]) ||
		    long_bytes(&tasks[i]) > plan->long_bytes_max)
			continue;
		msgpack_pack_uint32(packer, i);
		fw_pack_text(packer, fw_task_checkpoint(flow, &tasks[i]),
		    tasks[i].checkpoint.bytes);
	}
}

/* Returns whether late starts of a task are stored with a time. */
static bool
is_late_for(const struct bd_step_task *task)
{
	return (task->late & (BD_LATE_LATEST | BD_LATE_BEFORE)) != 0;
}

/* Returns whether that time counts from an earlier record. */
static bool
is_late_since(const struct bd_step_task *task)
{
	return (task->late & BD_LATE_SINCE) != 0;
}

static void
pack_late_starts(msgpack_packer *packer, const struct bd_flow *flow,
    const struct progress_plan *plan)
{
	const struct bd_step_task *tasks = fw_flow_tasks(flow);
	uint32_t count = plan->late > 0 ? fw_flow_task_count(flow) : 0;
	size_t fields = LATE_HEAD_FIELDS;
	uint32_t i;

	for (i = 0; i < count; i++)
		if (tasks[i].run > 0 && tasks[i].late != 0)
			fields += 1 + (is_late_for(&tasks[i]) ? 1 : 0) +
			    (is_late_since(&tasks[i]) ? 1 : 0);
	msgpack_pack_array(packer, fields);
	msgpack_pack_uint64(packer, flow->term);
	msgpack_pack_int64(packer, flow->stored_ms);
	msgpack_pack_uint32(
	    packer, plan->late_for_all ? FW_LATE_NOTED_MAX_MS : 0);
	for (i = 0; i < count; i++) {
		if (tasks[i].run == 0 || tasks[i].late == 0)
			continue;
		msgpack_pack_uint32(packer, i << LATE_SHIFT | tasks[i].late);
		if (is_late_for(&tasks[i]))
			msgpack_pack_uint16(packer, tasks[i].late_ms);
		if (is_late_since(&tasks[i]))
			msgpack_pack_uint64(packer, tasks[i].late_offset);
	}
}

/*
 * Encodes the progress of a job: its state, each task with a run, the end of
 * late starts, and the places and the long checkpoints of tasks as far as a
 * record of record_bytes_max bytes has room. The caller frees *out. Returns
 * FW_ENOMEM.
 */
int
fw_progress_encode(const struct bd_flow *flow, size_t record_bytes_max,
    void **out, size_t *bytes)
{
	const struct bd_step_task *tasks = fw_flow_tasks(flow);
	uint32_t count = fw_flow_task_count(flow);
	struct progress_plan plan;
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	int64_t late_until_ms = 0;
	uint32_t i;

	plan_progress(flow, record_bytes_max, &plan);
	for (i = 0; i < count; i++)
		if (tasks[i].late_until_ms > late_until_ms)
			late_until_ms = tasks[i].late_until_ms;
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer,
	    flow->term > 0            ? PROGRESS_FIELDS_LATE
		: plan.long_count > 0 ? PROGRESS_FIELDS_LONG
		: plan.places > 0     ? PROGRESS_FIELDS_PLACES
				      : PROGRESS_FIELDS);
	msgpack_pack_uint32(&packer, FW_LAYOUT_VERSION);
	msgpack_pack_uint32(&packer, flow->state);
	msgpack_pack_int64(&packer, flow->changed_ms);
	msgpack_pack_array(&packer, plan.started);
	for (i = 0; i < count; i++)
		if (tasks[i].run > 0)
			pack_task(&packer, flow, i);
	msgpack_pack_int64(&packer, late_until_ms);
	if (plan.places > 0 || plan.long_count > 0 || flow->term > 0)
		pack_places(&packer, tasks, count, plan.places);
	if (plan.long_count > 0 || flow->term > 0)
		pack_long_checkpoints(&packer, flow, &plan);
	if (flow->term > 0)
		pack_late_starts(&packer, flow, &plan);
	fw_release_buffer(&buffer, out, bytes);
	return *out != NULL ? CW_OK
			    : cw_error_set(FW_ENOMEM, "no memory for a record");
}

/* Reads a task into a row that has room for its checkpoint. *last is the
 * checkpoint that was read last. */
static void
read_task(struct fw_cursor *cursor, struct bd_flow *flow, struct bd_text *last)
{
	struct bd_step_task task = {0};
	const msgpack_object *checkpoint;
	struct fw_cursor fields;
	uint32_t index;

	fw_next_array(cursor, &fields);
	index = (uint32_t)fw_next_int(
	    &fields, (int64_t)fw_flow_task_count(flow) - 1);
	task.run = (uint32_t)fw_next_int(&fields, UINT32_MAX);
	task.state = (uint16_t)fw_next_int(&fields, BD_STEP_TASK_DONE);
	task.failures = (uint16_t)fw_next_int(&fields, UINT16_MAX);
	task.failed_run = (uint32_t)fw_next_int(&fields, UINT32_MAX);
	task.host = fw_next_id(&fields);
	task.incarnation_ms = fw_next_int(&fields, INT64_MAX);
	task.changed_ms = fw_next_int(&fields, INT64_MAX);
	checkpoint = fw_next_object(&fields, MSGPACK_OBJECT_BIN);
	if (fields.remaining > 0)
		task.crashes = (uint16_t)fw_next_int(&fields, FW_CRASHES_MAX);
	if (fields.remaining > 0)
		task.presumed_crashes =
		    (uint16_t)fw_next_int(&fields, task.crashes);
	cursor->malformed |= fields.malformed;
	if (cursor->malformed)
		return;
	task.checkpoint = fw_checkpoint_append(
	    flow, last, checkpoint->via.bin.ptr, checkpoint->via.bin.size);
	if (task.checkpoint.bytes > 0)
		*last = task.checkpoint;
	fw_flow_tasks(flow)[index] = task;
}

static void
read_places(struct fw_cursor *cursor, struct bd_flow *flow)
{
	struct fw_cursor list;

	fw_next_array(cursor, &list);
	while (!list.malformed && list.remaining > 0) {
		uint32_t index = (uint32_t)fw_next_int(
		    &list, (int64_t)fw_flow_task_count(flow) - 1);
		int64_t late_until_ms = fw_next_int(&list, INT64_MAX);
		uint64_t address = fw_next_id(&list);

		if (list.malformed)
			break;
		fw_flow_tasks(flow)[index].late_until_ms = late_until_ms;
		fw_flow_tasks(flow)[index].address = address;
	}
	cursor->malformed |= list.malformed;
}

static void
read_long_checkpoints(
    struct fw_cursor *cursor, struct bd_flow *flow, struct bd_text *last)
{
	struct fw_cursor list;

	fw_next_array(cursor, &list);
	while (!list.malformed && list.remaining > 0) {
		uint32_t index = (uint32_t)fw_next_int(
		    &list, (int64_t)fw_flow_task_count(flow) - 1);
		const msgpack_object *text =
		    fw_next_object(&list, MSGPACK_OBJECT_BIN);

		if (list.malformed)
			break;
		*last = fw_checkpoint_append(
		    flow, last, text->via.bin.ptr, text->via.bin.size);
		fw_flow_tasks(flow)[index].checkpoint = *last;
	}
	cursor->malformed |= list.malformed;
}

/* Takes the end of late starts of a job for that of each of its tasks with a
 * run: the record has no places. */
static void
spread_late_until(struct bd_flow *flow, int64_t until_ms)
{
	struct bd_step_task *tasks = fw_flow_tasks(flow);
	uint32_t count = fw_flow_task_count(flow);
	uint32_t i;

	for (i = 0; i < count; i++)
		if (tasks[i].run > 0)
			tasks[i].late_until_ms = until_ms;
}

/* Sets that starts of each task with a run may be late. */
static void
set_late_for_all(struct bd_flow *flow, uint16_t late_ms)
{
	struct bd_step_task *tasks = fw_flow_tasks(flow);
	uint32_t count = fw_flow_task_count(flow);
	uint32_t i;

	for (i = 0; i < count; i++)
		if (tasks[i].run > 0) {
			tasks[i].late = BD_LATE_LATEST | BD_LATE_BEFORE;
			tasks[i].late_ms = late_ms;
		}
}

static void
read_late_starts(struct fw_cursor *cursor, struct bd_flow *flow)
{
	struct fw_cursor list;
	uint16_t all_ms;

	fw_next_array(cursor, &list);
	flow->term = fw_next_id(&list);
	flow->stored_ms = fw_next_int(&list, INT64_MAX);
	all_ms = (uint16_t)fw_next_int(&list, UINT16_MAX);
	if (all_ms > 0 && !list.malformed)
		set_late_for_all(flow, all_ms);
	while (!list.malformed && list.remaining > 0) {
		int64_t word = fw_next_int(&list,
		    ((int64_t)fw_flow_task_count(flow) << LATE_SHIFT) - 1);
		struct bd_step_task *task =
		    &fw_flow_tasks(flow)[word >> LATE_SHIFT];

		task->late = word & ((1 << LATE_SHIFT) - 1);
		if (is_late_for(task))
			task->late_ms =
			    (uint16_t)fw_next_int(&list, UINT16_MAX);
		if (is_late_since(task))
			task->late_offset = fw_next_id(&list);
	}
	cursor->malformed |= list.malformed;
}

/* Reads the fields of a progress record into a copy of a row that has room for
 * the checkpoints. Returns false if it is malformed. */
static bool
read_progress(struct fw_cursor *cursor, struct bd_flow *flow)
{
	struct bd_text last = {0, 0};
	struct fw_cursor list = {0};
	int64_t late_until_ms = 0;

	cursor->malformed |=
	    fw_next_int(cursor, FW_LAYOUT_VERSION) != FW_LAYOUT_VERSION;
	flow->state = (uint32_t)fw_next_int(cursor, BD_FLOW_CANCELLED);
	flow->changed_ms = fw_next_int(cursor, INT64_MAX);
	fw_next_array(cursor, &list);
	while (!cursor->malformed && !list.malformed && list.remaining > 0)
		read_task(&list, flow, &last);
	if (cursor->remaining > 0)
		late_until_ms = fw_next_int(cursor, INT64_MAX);
	if (cursor->remaining > 0)
		read_places(cursor, flow);
	else if (!cursor->malformed)
		spread_late_until(flow, late_until_ms);
	if (cursor->remaining > 0)
		read_long_checkpoints(cursor, flow, &last);
	flow->term = 0;
	flow->stored_ms = 0;
	if (cursor->remaining > 0)
		read_late_starts(cursor, flow);
	else if (!cursor->malformed)
		set_late_for_all(flow, FW_LATE_NOTED_MAX_MS);
	return !cursor->malformed && !list.malformed;
}

/* Decodes progress into a copy of the job's row; *flow may move. Returns
 * FW_EBADRECORD, after which the copy is partly overwritten and must not be
 * used, or FW_ENOMEM. */
int
fw_progress_decode(const void *data, size_t bytes, struct bd_flow **flow)
{
	msgpack_unpacked unpacked;
	struct fw_cursor cursor = {.malformed = true};
	int code = FW_EBADRECORD;

	fw_checkpoints_clear(*flow);
	/* The checkpoints are not longer than their record. */
	if (fw_open_record(&unpacked, data, bytes, &cursor)) {
		code = fw_checkpoints_reserve(flow, bytes);
		if (code == CW_OK && !read_progress(&cursor, *flow))
			code = FW_EBADRECORD;
	}
	msgpack_unpacked_destroy(&unpacked);
	return code == FW_EBADRECORD
	    ? cw_error_set(code, "malformed progress record")
	    : code;
}
