#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform_internal.h"

static json_t *encode_task(const struct pf_task *task, const char *verb);
static int post(struct pf_http *http, const char *verb,
    const struct pf_task *tasks, size_t count, bool is_change, json_t **answer);
static int decode_results(json_t *list, size_t count, int *results);
static int post_change(struct pf_http *http, const char *verb,
    const struct pf_task *tasks, size_t count, int *results);
static bool decode_report(json_t *item, const struct pf_task *tasks,
    size_t count, struct pf_task_report *report);
static int reports(void *ctx, const struct pf_task *tasks, size_t count,
    const struct pf_report_sink *sink);

#define VERB(name)                                                            \
	static int name(void *ctx, const struct pf_task *tasks, size_t count, \
	    int *results)                                                     \
	{                                                                     \
		return post_change(ctx, #name, tasks, count, results);        \
	}
VERB(reserve)
VERB(commit)
VERB(start)
VERB(renew)
VERB(checkpoint)
VERB(throttle)
VERB(stop)
#undef VERB

/* Encodes the fields that a verb needs. Renewals and reports are frequent, so
 * they only identify the task; stop adds the accelerators, reserve and start
 * the complete task. */
static json_t *
encode_task(const struct pf_task *task, const char *verb)
{
	json_int_t job = (json_int_t)task->job, token = (json_int_t)task->token;
	int member = (int)task->member, mask = (int)task->accel_mask;

	if (strcmp(verb, "reserve") == 0 || strcmp(verb, "start") == 0)
		return json_pack("[s I I i i i i I s]", task->worker_name, job,
		    token, member, mask, (int)task->cores_milli,
		    (int)task->memory_mb, (json_int_t)task->resume_ms,
		    task->input == NULL ? "" : task->input);
	if (strcmp(verb, "stop") == 0)
		return json_pack(
		    "[s I I i i]", task->worker_name, job, token, member, mask);
	return json_pack("[s I I i]", task->worker_name, job, token, member);
}

static int
post(struct pf_http *http, const char *verb, const struct pf_task *tasks,
    size_t count, bool is_change, json_t **answer)
{
	char path[64], *text;
	struct pf_http_call call = {.kind = PF_TRAFFIC_TASKS,
	    .method = "POST",
	    .path = path,
	    .is_change = is_change};
	json_t *list = json_array(), *body;
	size_t i;
	int code = CW_OK;

	for (i = 0; i < count; i++)
		if (json_array_append_new(list, encode_task(&tasks[i], verb)) !=
		    0)
			code = PF_EUNREACHABLE;
	body = json_pack("{s:I s:o}", "lease_ms",
	    (json_int_t)(count == 0 ? 0 : tasks[0].lease_ms), "tasks", list);
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	if (text == NULL || code != CW_OK) {
		free(text);
		return cw_error_set(PF_EUNREACHABLE, "tasks cannot be encoded");
	}
	snprintf(path, sizeof(path), "/tasks/%s", verb);
	call.body = text;
	call.body_bytes = strlen(text);
	code = pf_http_call_json(http, &call, answer);
	free(text);
	return code;
}

/* Decodes the status of each task. Returns PF_EUNKNOWN unless the list has one
 * valid code for each. */
static int
decode_results(json_t *list, size_t count, int *results)
{
	static const int codes[] = {
	    CW_OK, PF_EREFUSED, PF_EUNREACHABLE, PF_EUNKNOWN};
	size_t i;

	if (!json_is_array(list) || json_array_size(list) != count)
		return PF_EUNKNOWN;
	for (i = 0; i < count; i++) {
		json_t *item = json_array_get(list, i);
		json_int_t value = json_integer_value(item);

		if (!json_is_integer(item) || value < 0 || value > 3)
			return PF_EUNKNOWN;
		results[i] = codes[value];
	}
	return CW_OK;
}

static int
post_change(struct pf_http *http, const char *verb, const struct pf_task *tasks,
    size_t count, int *results)
{
	json_t *json;
	size_t i;
	int code;

	assert(results != NULL);
	if (count > PF_TASKS_MAX)
		return PF_ETOOLARGE;
	code = post(http, verb, tasks, count, true, &json);
	if (code == CW_OK) {
		code = decode_results(
		    json_object_get(json, "results"), count, results);
		json_decref(json);
	}
	/* A refusal of the whole message comes from the platform: the workers
	 * did not receive the tasks. */
	if (code != CW_OK)
		for (i = 0; i < count; i++)
			results[i] =
			    code == PF_EREFUSED ? PF_EUNREACHABLE : code;
	return code;
}

static bool
decode_report(json_t *item, const struct pf_task *tasks, size_t count,
    struct pf_task_report *report)
{
	int index, state, cores, memory;
	json_int_t run_ms, checkpoint_ms;
	const char *message;

	memset(report, 0, sizeof(*report));
	if (json_unpack(item, "[i i i i I I s]", &index, &state, &cores,
		&memory, &run_ms, &checkpoint_ms, &message) != 0 ||
	    index < 0 || (size_t)index >= count || state < PF_TASK_NONE ||
	    state > PF_TASK_LEASE_EXPIRED || cores < 0 || memory < 0 ||
	    run_ms < 0 || checkpoint_ms < 0)
		return false;
	report->worker = tasks[index].worker;
	report->job = tasks[index].job;
	report->token = tasks[index].token;
	report->member = tasks[index].member;
	report->state = (uint32_t)state;
	report->used_cores_milli = (uint32_t)cores;
	report->used_memory_mb = (uint32_t)memory;
	report->run_ms = run_ms;
	report->checkpoint_ms = checkpoint_ms;
	snprintf(report->message, sizeof(report->message), "%s", message);
	return true;
}

static int
reports(void *ctx, const struct pf_task *tasks, size_t count,
    const struct pf_report_sink *sink)
{
	struct pf_task_report report;
	json_t *json, *list, *item;
	size_t i;
	int code;

	if (count > PF_TASKS_MAX)
		return PF_ETOOLARGE;
	code = post(ctx, "reports", tasks, count, false, &json);
	if (code != CW_OK)
		return code;
	list = json_object_get(json, "reports");
	if (!json_is_array(list))
		code = PF_EMALFORMED;
	json_array_foreach(list, i,
	    item) if (!decode_report(item, tasks, count, &report)) code =
	    PF_EMALFORMED;
	for (i = 0; code == CW_OK && i < json_array_size(list); i++) {
		decode_report(json_array_get(list, i), tasks, count, &report);
		code = sink->report(sink->ctx, &report);
	}
	json_decref(json);
	return code;
}

void
pf_http_tasks(struct pf_http *http, struct pf_tasks *out)
{
	out->reserve = reserve;
	out->commit = commit;
	out->start = start;
	out->renew = renew;
	out->checkpoint = checkpoint;
	out->throttle = throttle;
	out->stop = stop;
	out->reports = reports;
	out->ctx = http;
}
