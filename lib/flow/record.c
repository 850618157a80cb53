#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <msgpack.h>

#include "record_fields.h"

#define JOB_FIELDS 15
#define STEP_FIELDS 10
#define STATE_FIELDS 3
static void read_step(struct fw_cursor *cursor, struct bd_flow_step *step);
static int read_job(struct fw_cursor *cursor, struct bd_flow **out);

/* Formats the key of a record of the job with this name. */
void
fw_record_key(
    char key[FW_KEY_BYTES], enum fw_record_kind kind, const char *name)
{
	assert(strlen(name) < FW_KEY_BYTES - 2);
	key[0] = (char)kind;
	key[1] = '/';
	memcpy(key + 2, name, strlen(name) + 1);
}

/* Returns the size of a record in the store, less its length: that of its key,
 * the key and the value. */
size_t
fw_record_bytes(const char *name, size_t value_bytes)
{
	return 1 + 2 + strlen(name) + value_bytes;
}

/*
 * Encodes a job as it was accepted, without progress; the caller frees *out. A
 * compacted row is encoded with 0 occurrences. Returns FW_ENOMEM.
 */
int
fw_job_encode(const struct bd_flow *flow, void **out, size_t *bytes)
{
	const struct bd_flow_step *steps = fw_flow_steps(flow);
	const uint64_t numbers[] = {FW_LAYOUT_VERSION, flow->queue, flow->pool,
	    flow->client, (uint64_t)flow->accepted_ms,
	    (uint64_t)flow->first_due_ms, (uint64_t)flow->interval_ms,
	    flow->priority, flow->attempts_max, flow->stretch_milli,
	    flow->target_ms, flow->compacted != 0 ? 0 : flow->occurrences};
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	uint32_t i;
	size_t k;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, JOB_FIELDS);
	for (k = 0; k < sizeof(numbers) / sizeof(*numbers); k++)
		msgpack_pack_uint64(&packer, numbers[k]);
	fw_pack_text(&packer, flow->name, strlen(flow->name));
	msgpack_pack_array(&packer, flow->step_count);
	for (i = 0; i < flow->step_count; i++) {
		const struct bd_flow_step *step = &steps[i];

		msgpack_pack_array(&packer, STEP_FIELDS);
		msgpack_pack_uint64(&packer, step->after);
		msgpack_pack_uint32(&packer, step->count);
		msgpack_pack_uint32(&packer, step->cores_milli);
		msgpack_pack_uint32(&packer, step->memory_mb);
		msgpack_pack_uint32(&packer, step->accels);
		msgpack_pack_uint32(&packer, step->estimate_ms);
		msgpack_pack_uint32(&packer, step->flags);
		msgpack_pack_uint32(&packer, step->host_max);
		fw_pack_text(&packer, step->label, strlen(step->label));
		fw_pack_text(&packer, step->data_rack, strlen(step->data_rack));
	}
	fw_pack_text(&packer, fw_flow_text(flow), flow->text_bytes);
	fw_release_buffer(&buffer, out, bytes);
	return *out != NULL ? CW_OK
			    : cw_error_set(FW_ENOMEM, "no memory for a record");
}

static void
read_step(struct fw_cursor *cursor, struct bd_flow_step *step)
{
	struct fw_cursor fields;

	fw_next_array(cursor, &fields);
	step->after = fw_next_id(&fields);
	step->count = (uint32_t)fw_next_int(&fields, FW_TASKS_MAX);
	step->cores_milli = (uint32_t)fw_next_int(&fields, UINT32_MAX);
	step->memory_mb = (uint32_t)fw_next_int(&fields, UINT32_MAX);
	step->accels = (uint32_t)fw_next_int(&fields, UINT32_MAX);
	step->estimate_ms = (uint32_t)fw_next_int(&fields, UINT32_MAX);
	step->flags = (uint32_t)fw_next_int(&fields, UINT32_MAX);
	step->host_max = (uint32_t)fw_next_int(&fields, UINT32_MAX);
	fw_next_text(&fields, step->label, sizeof(step->label));
	fw_next_text(&fields, step->data_rack, sizeof(step->data_rack));
	cursor->malformed |= fields.malformed;
}

static int
read_job(struct fw_cursor *cursor, struct bd_flow **out)
{
	struct bd_flow_step steps[FW_STEPS_MAX];
	struct bd_queue queue = {0};
	struct fw_job_spec spec = {.queue = &queue, .steps = steps};
	char name[BD_FLOW_NAME_BYTES];
	const msgpack_object *text;
	struct fw_cursor list;
	size_t bytes;
	bool compacted;

	memset(steps, 0, sizeof(steps));
	if (fw_next_int(cursor, FW_LAYOUT_VERSION) != FW_LAYOUT_VERSION)
		return FW_EBADRECORD;
	queue.id = fw_next_id(cursor);
	queue.pool = fw_next_id(cursor);
	spec.client = fw_next_id(cursor);
	spec.accepted_ms = fw_next_int(cursor, INT64_MAX);
	spec.first_due_ms = fw_next_int(cursor, INT64_MAX);
	spec.interval_ms = fw_next_int(cursor, INT64_MAX);
	queue.priority = (uint32_t)fw_next_int(cursor, UINT32_MAX);
	queue.attempts_max = (uint32_t)fw_next_int(cursor, UINT32_MAX);
	queue.stretch_milli = (uint32_t)fw_next_int(cursor, UINT32_MAX);
	queue.target_ms = (uint32_t)fw_next_int(cursor, UINT32_MAX);
	spec.occurrences = (uint32_t)fw_next_int(cursor, UINT32_MAX);
	compacted = spec.occurrences == 0;
	if (compacted)
		spec.occurrences = 1;
	name[0] = '\0';
	fw_next_text(cursor, name, sizeof(name));
	spec.name = name;
	fw_next_array(cursor, &list);
	while (!cursor->malformed && !list.malformed && list.remaining > 0 &&
	    spec.step_count < FW_STEPS_MAX)
		read_step(&list, &steps[spec.step_count++]);
	text = fw_next_object(cursor, MSGPACK_OBJECT_BIN);
	if (cursor->malformed || list.malformed || list.remaining > 0 ||
	    text == NULL)
		return FW_EBADRECORD;
	spec.text = text->via.bin.ptr;
	spec.text_bytes = text->via.bin.size;
	if (fw_flow_build(&spec, out, &bytes) != CW_OK)
		return FW_EBADRECORD;
	(*out)->compacted = compacted;
	return CW_OK;
}

/* Decodes a job, without progress; the caller frees *out. Returns
 * FW_EBADRECORD. */
int
fw_job_decode(const void *data, size_t bytes, struct bd_flow **out)
{
	msgpack_unpacked unpacked;
	struct fw_cursor cursor = {0};
	int code = FW_EBADRECORD;

	if (fw_open_record(&unpacked, data, bytes, &cursor))
		code = read_job(&cursor, out);
	msgpack_unpacked_destroy(&unpacked);
	if (code != CW_OK)
		return cw_error_set(code, "malformed record of a job");
	return CW_OK;
}

/* Encodes the state of a job as its new public state; the caller frees
 * *out. Returns FW_ENOMEM. */
int
fw_state_encode(const struct bd_flow *flow, void **out, size_t *bytes)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, STATE_FIELDS);
	msgpack_pack_uint32(&packer, FW_LAYOUT_VERSION);
	msgpack_pack_uint32(&packer, flow->state);
	msgpack_pack_int64(&packer, flow->changed_ms);
	fw_release_buffer(&buffer, out, bytes);
	return *out != NULL ? CW_OK
			    : cw_error_set(FW_ENOMEM, "no memory for a record");
}

/* Decodes a public state into a copy of the job's row. Returns
 * FW_EBADRECORD, after which the copy must not be used. */
int
fw_state_decode(const void *data, size_t bytes, struct bd_flow *flow)
{
	msgpack_unpacked unpacked;
	struct fw_cursor cursor = {.malformed = true};

	if (fw_open_record(&unpacked, data, bytes, &cursor)) {
		cursor.malformed |= fw_next_int(&cursor, FW_LAYOUT_VERSION) !=
		    FW_LAYOUT_VERSION;
		flow->public_state =
		    (uint32_t)fw_next_int(&cursor, BD_FLOW_CANCELLED);
		flow->changed_ms = fw_next_int(&cursor, INT64_MAX);
	}
	msgpack_unpacked_destroy(&unpacked);
	if (cursor.malformed)
		return cw_error_set(FW_EBADRECORD, "malformed state record");
	return CW_OK;
}
