#include <assert.h>
#include <string.h>

#include "front_internal.h"

static int decode_shape(
    json_t *object, struct bd_shape *shape, struct fr_error *error);
static int decode_class(
    json_t *object, uint32_t *class_number, struct fr_error *error);
static int decode_input(
    json_t *object, char *out, size_t out_bytes, struct fr_error *error);
static int decode_submit(
    json_t *object, struct rec_job_submit *out, struct fr_error *error);
static int add_input(json_t *object, const char *input);

static int
decode_shape(json_t *object, struct bd_shape *shape, struct fr_error *error)
{
	static const struct fr_json_number_spec specs[] = {
	    {"members", false, 1, 1, BD_GANG_MEMBERS_MAX},
	    {"accelerators", true, 0, 0, BD_WORKER_ACCELS_MAX},
	    {"memory_mb", false, 1024, 0, 4194304},
	    {"cores", false, 1000, 0, 4096000},
	};
	int64_t values[4];
	size_t i;
	int code = CW_OK;

	for (i = 0; i < 3 && code == CW_OK; i++)
		code = fr_json_int(object, &specs[i], &values[i], error);
	if (code == CW_OK)
		code = fr_json_milli(object, &specs[3], &values[3], error);
	if (code != CW_OK)
		return code;
	shape->members = (uint16_t)values[0];
	shape->accels = (uint16_t)values[1];
	shape->memory_mb = (uint32_t)values[2];
	shape->cores_milli = (uint32_t)values[3];
	if (shape->accels == 0 && shape->memory_mb == 0 &&
	    shape->cores_milli == 0)
		return fr_error_set(error, FR_EINVALID, "accelerators",
		    "the job asks for nothing: accelerators, cores and "
		    "memory_mb are 0");
	return CW_OK;
}

static int
decode_class(json_t *object, uint32_t *class_number, struct fr_error *error)
{
	char name[16];
	uint32_t i;
	int code;

	*class_number = BD_CLASS_NORMAL;
	if (json_object_get(object, "class") == NULL)
		return CW_OK;
	code = fr_json_string(object, "class", true, name, sizeof(name), error);
	if (code != CW_OK)
		return code;
	for (i = 0; i < BD_CLASS_COUNT; i++)
		if (strcmp(name, bd_class_name(i)) == 0) {
			*class_number = i;
			return CW_OK;
		}
	return fr_error_set(error, FR_EINVALID, "class",
	    "field \"class\" must be \"urgent\", \"normal\" or \"batch\"");
}

static int
decode_input(
    json_t *object, char *out, size_t out_bytes, struct fr_error *error)
{
	json_t *value = json_object_get(object, "input");
	size_t bytes;

	memset(out, 0, out_bytes);
	if (value == NULL) {
		memcpy(out, "{}", 2);
		return CW_OK;
	}
	if (!json_is_object(value))
		return fr_error_set(error, FR_EINVALID, "input",
		    "field \"input\" must be an object");
	/* Keys are sorted so that a repeated submission compares equal to the
	 * first. */
	bytes = json_dumpb(
	    value, out, out_bytes - 1, JSON_COMPACT | JSON_SORT_KEYS);
	if (bytes > 0 && bytes <= out_bytes - 1)
		return CW_OK;
	memset(out, 0, out_bytes);
	return fr_error_set(error, FR_EINVALID, "input",
	    "field \"input\" has %zu bytes as compact JSON, at most %zu are "
	    "allowed",
	    bytes, out_bytes - 1);
}

static int
decode_submit(
    json_t *object, struct rec_job_submit *out, struct fr_error *error)
{
	static const char *const fields[] = {"name", "members", "accelerators",
	    "cores", "memory_mb", "class", "declared_s", "cross_region",
	    "input"};
	static const struct fr_json_number_spec declared = {
	    "declared_s", false, 0, 1, 31536000};
	int64_t declared_s = 0;
	int code;

	code = fr_json_reject_unknown(
	    object, fields, sizeof(fields) / sizeof(*fields), error);
	if (code == CW_OK)
		code = fr_json_string(
		    object, "name", true, out->name, sizeof(out->name), error);
	if (code == CW_OK)
		code = decode_shape(object, &out->shape, error);
	if (code == CW_OK)
		code = decode_class(object, &out->class_number, error);
	if (code == CW_OK)
		code = fr_json_int(object, &declared, &declared_s, error);
	if (code == CW_OK)
		code = fr_json_bool(
		    object, "cross_region", &out->cross_region, error);
	if (code == CW_OK)
		code =
		    decode_input(object, out->input, sizeof(out->input), error);
	if (code == CW_OK)
		out->declared_ms = declared_s * 1000;
	return code;
}

/* Decodes the body of a job submission; account, owner and submit_key stay
 * empty. Returns FR_ESYNTAX, or FR_EINVALID with the name of the field. */
int
fr_json_submit_decode(const void *data, size_t bytes,
    struct rec_job_submit *out, struct fr_error *error)
{
	json_t *object;
	int code;

	assert(out != NULL && error != NULL);
	memset(out, 0, sizeof(*out));
	code = fr_json_load(data, bytes, &object, error);
	if (code != CW_OK)
		return code;
	code = decode_submit(object, out, error);
	json_decref(object);
	return code;
}

static int
add_input(json_t *object, const char *input)
{
	json_t *value = json_loads(input, 0, NULL);

	return json_object_set_new(
	    object, "input", value == NULL ? json_object() : value);
}

/* Encodes a job in the format of docs/api.md, without its tasks. */
json_t *
fr_json_job(const struct fr_job *job)
{
	const struct bd_job *row = &job->row;
	json_t *object;

	object = json_pack("{sI ss ss ss ss ss si si sf si sI sb sb}", "id",
	    (json_int_t)row->id, "name", row->name, "account", job->account,
	    "state", bd_job_state_name(row->state), "reason",
	    bd_reason_name(row->reason), "class",
	    bd_class_name(row->class_number), "members", row->shape.members,
	    "accelerators", row->shape.accels, "cores",
	    row->shape.cores_milli / 1000.0, "memory_mb",
	    (int)row->shape.memory_mb, "declared_s",
	    (json_int_t)(row->declared_ms / 1000), "cross_region",
	    (int)row->cross_region, "guaranteed",
	    row->token != 0 && row->promise != 0);
	if (object == NULL)
		return NULL;
	json_object_set_new(object, "attempts", json_integer(row->attempts));
	json_object_set_new(object, "failures", json_integer(row->failures));
	json_object_set_new(object, "crashes", json_integer(row->crashes));
	json_object_set_new(
	    object, "submitted_ms", json_integer(row->submitted_ms));
	json_object_set_new(
	    object, "waiting_since_ms", json_integer(row->waiting_since_ms));
	json_object_set_new(
	    object, "started_ms", json_integer(row->started_ms));
	json_object_set_new(object, "ended_ms", json_integer(row->ended_ms));
	json_object_set_new(
	    object, "checkpoint_ms", json_integer(row->checkpoint_ms));
	json_object_set_new(
	    object, "progress_ms", json_integer(row->progress_ms));
	json_object_set_new(object, "preempt_deadline_ms",
	    json_integer(row->preempt_deadline_ms));
	json_object_set_new(object, "version", fr_json_u64(row->epoch));
	add_input(object, row->input);
	return object;
}

/* Encodes a job with its tasks. */
json_t *
fr_json_job_detail(const struct fr_job_detail *detail)
{
	json_t *object = fr_json_job(&detail->job);
	json_t *tasks = json_array();
	uint32_t i;

	for (i = 0; i < detail->task_count; i++) {
		const struct fr_job_task *task = &detail->tasks[i];

		json_array_append_new(tasks,
		    json_pack("{si ss ss sI}", "member", (int)task->member,
			"worker", task->worker, "rack", task->rack, "mask",
			(json_int_t)task->accel_mask));
	}
	json_object_set_new(object, "tasks", tasks);
	return object;
}

/* Encodes one page of a list of jobs. */
json_t *
fr_json_job_list(const struct fr_jobs *list)
{
	json_t *jobs = json_array();
	size_t i;

	for (i = 0; i < list->count; i++)
		json_array_append_new(jobs, fr_json_job(&list->jobs[i]));
	return json_pack("{so sb}", "jobs", jobs, "more", (int)list->more);
}
