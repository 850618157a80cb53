#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "proxy_internal.h"

/* Longest wait until the log has applied an intent. */
#define INTENT_TIMEOUT_MS 3000
/* When a caller may retry after a refusal by the log or for lack of memory or
 * of a slot for asynchronous requests. */
#define LOG_RETRY_MS 1000
#define ASYNC_RETRY_MS 1000
/* Estimated size of the headers and the answer. The size of the request body is
 * added to it. */
#define OVERHEAD_BYTES_ESTIMATE 2048
#define ASYNC_THREADS_DEFAULT 16
#define ASYNC_QUEUE_DEFAULT 64

static bool read_service(
    struct fr_proxy_task *task, struct fr_proxy_answer *answer);
static bool service_allows(const struct bd_service *service, uint64_t account);
static bool read_class(
    struct fr_proxy_task *task, struct fr_proxy_answer *answer);
static bool answer_repeated_key(
    struct fr_proxy_task *task, struct fr_proxy_answer *answer);
static void answer_in_progress(struct fr_proxy_task *task,
    const struct rt_idempotency_result *known, struct fr_proxy_answer *answer);
static bool admit(struct fr_proxy_task *task, struct fr_proxy_answer *answer);
static bool record_intent(
    struct fr_proxy_task *task, struct fr_proxy_answer *answer);
static void release_admission(struct fr_proxy_task *task);
static void run_async(
    struct fr_proxy_task *task, struct fr_proxy_answer *answer);

/* Creates a proxy. Everything that config points to must outlive it. Returns
 * CW_ENOMEM. */
int
fr_proxy_create(struct fr_proxy **out, const struct fr_proxy_config *config)
{
	struct fr_proxy *proxy = calloc(1, sizeof(*proxy));

	assert(config->route != NULL && config->upstream.call != NULL);
	if (proxy == NULL)
		return cw_error_set(CW_ENOMEM, "no memory for the proxy");
	proxy->config = *config;
	if (config->async_threads == 0)
		proxy->config.async_threads = ASYNC_THREADS_DEFAULT;
	if (config->async_queue == 0)
		proxy->config.async_queue = ASYNC_QUEUE_DEFAULT;
	if (fr_async_start(proxy) != CW_OK) {
		fr_proxy_destroy(proxy);
		return cw_error_set(CW_ENOMEM, "no threads for the proxy");
	}
	*out = proxy;
	return CW_OK;
}

/* Runs the queued asynchronous requests to their end and frees the proxy. */
void
fr_proxy_destroy(struct fr_proxy *proxy)
{
	fr_async_stop(proxy);
	free(proxy);
}

/* Returns the published state that the proxy reads. */
const struct bd_board *
fr_proxy_board(const struct fr_proxy *proxy)
{
	return proxy->config.board;
}

static bool
service_allows(const struct bd_service *service, uint64_t account)
{
	uint32_t i;

	for (i = 0; i < service->account_count; i++)
		if (service->accounts[i] == account)
			return true;
	return false;
}

/* Copies the service's limits into the task. An account without access gets
 * the answer for an unknown service, which hides that the service exists. */
static bool
read_service(struct fr_proxy_task *task, struct fr_proxy_answer *answer)
{
	const struct fr_proxy_request *request = &task->request;
	const struct bd_service *row;
	size_t body_max = 0;

	task->service = cw_id_from_name(request->service);
	bd_read_begin();
	row = bd_service_lookup(task->proxy->config.board, task->service);
	if (row != NULL && !service_allows(row, request->account))
		row = NULL;
	if (row != NULL) {
		task->timeout_ms = row->timeout_ms;
		task->attempts_max =
		    row->attempts_max == 0 ? 1 : row->attempts_max;
		task->answer_bytes_max = row->answer_max_bytes;
		task->admission.class_number = row->class_default;
		body_max = row->body_max_bytes;
	}
	bd_read_end();
	if (row == NULL) {
		fr_answer_error(answer, 404, RT_RAN_NOT, 0, "no such service");
		return false;
	}
	if (request->body_bytes > body_max) {
		fr_answer_error(answer, 413, RT_RAN_NOT, 0,
		    "the body is longer than the service allows");
		return false;
	}
	return true;
}

/* Sets the request class, by default the one of the service. */
static bool
read_class(struct fr_proxy_task *task, struct fr_proxy_answer *answer)
{
	const char *name = task->request.class_name;
	uint32_t i;

	if (name == NULL)
		return true;
	for (i = 0; i < BD_CLASS_COUNT; i++)
		if (strcmp(name, bd_class_name(i)) == 0) {
			task->admission.class_number = i;
			return true;
		}
	fr_answer_error(answer, 400, RT_RAN_NOT, 0,
	    "X-Class must be urgent, normal or batch");
	return false;
}

/* Answers a repeat of a key whose request has no outcome in the log yet. The
 * owner VM, unless it is lost, may already store the answer and is asked
 * first. */
static void
answer_in_progress(struct fr_proxy_task *task,
    const struct rt_idempotency_result *known, struct fr_proxy_answer *answer)
{
	struct rt_answer stored;
	uint64_t owner = known->answer.owner;

	if (!known->owner_lost &&
	    fr_answer_find(
		task->proxy, owner, known->answer.request, &stored) == CW_OK) {
		if (!stored.running &&
		    stored.account == task->request.account) {
			fr_answer_stored(answer, &stored);
			return;
		}
		free(stored.body);
	}
	fr_answer_error(answer, 409, RT_RAN_UNKNOWN, 0,
	    known->owner_lost
		? "the VM that ran this key is gone; its answer is unknown"
		: "a request with this key is in progress");
	answer->state = known->owner_lost ? "owner_lost" : "in_progress";
	rt_id_format(owner, known->answer.request, answer->id);
}

/* Answers a repeated key from the recorded request. Returns false for a new
 * key. */
static bool
answer_repeated_key(struct fr_proxy_task *task, struct fr_proxy_answer *answer)
{
	struct rt_idempotency_result known;
	struct rt_answer stored;
	int code = rt_idempotency_lookup(
	    task->proxy->config.route, &task->key, &known);

	switch (code) {
	case RT_ENOTFOUND:
		return false;
	case RT_EKEYREUSED:
		fr_answer_error(answer, 422, RT_RAN_NOT, 0,
		    "this key was used before with another body or service");
		return true;
	case RT_EINPROGRESS:
		answer_in_progress(task, &known, answer);
		return true;
	default:
		break;
	}
	if (!known.answer_stored &&
	    fr_answer_find(task->proxy, known.answer.owner,
		known.answer.request, &stored) == CW_OK) {
		known.answer_stored = !stored.running;
		if (known.answer_stored)
			known.answer = stored;
		else
			free(stored.body);
	}
	if (known.answer_stored) {
		fr_answer_stored(answer, &known.answer);
		return true;
	}
	fr_answer_error(answer, 502, known.answer.ran, 0,
	    "a request with this key has ended; its answer is not kept");
	return true;
}

/* Releases the upstream slot and the account slot of an admitted request that
 * makes no attempt. */
static void
release_admission(struct fr_proxy_task *task)
{
	struct rt_outcome outcome = {0};

	outcome.kind = RT_OUTCOME_UNUSED;
	outcome.started_us = outcome.ended_us = cw_clock_mono_us();
	rt_attempt_done(task->proxy->config.route, &task->pick, &outcome);
	rt_request_end(task->proxy->config.route, task->request.account);
}

/* Records the intent of a request with an idempotency key. No byte is sent
 * upstream before the intent is applied. */
static bool
record_intent(struct fr_proxy_task *task, struct fr_proxy_answer *answer)
{
	const struct fr_proxy_config *config = &task->proxy->config;
	int64_t remaining_ms =
	    (task->admission.deadline_us - cw_clock_mono_us()) / 1000;
	int code;

	if (remaining_ms > INTENT_TIMEOUT_MS)
		remaining_ms = INTENT_TIMEOUT_MS;
	code = rt_idempotency_begin(config->route, &task->key, task->number,
	    &config->sink, remaining_ms < 1 ? 1 : remaining_ms);
	if (code == CW_OK)
		return true;
	release_admission(task);
	if (code == RT_EINPROGRESS && answer_repeated_key(task, answer))
		return false;
	fr_answer_error(answer, 503, RT_RAN_NOT, LOG_RETRY_MS,
	    "the log does not take the request at the moment");
	return false;
}

/* Applies the account's limits, waits in the service's queue and, with a key,
 * records the intent. If it returns false, the answer is set and all slots are
 * released. */
static bool
admit(struct fr_proxy_task *task, struct fr_proxy_answer *answer)
{
	const struct fr_proxy_config *config = &task->proxy->config;
	uint64_t account = task->request.account;
	struct rt_refusal refusal = {0};
	int64_t begin_us = cw_clock_mono_us();
	int64_t now_us;
	int code;

	code = rt_request_begin(config->route, account, begin_us, &refusal);
	if (code == CW_OK) {
		code = rt_admit(config->route, &task->admission, begin_us,
		    &task->pick, &refusal);
		if (code != CW_OK)
			rt_request_end(config->route, account);
	}
	now_us = cw_clock_mono_us();
	if (code != CW_OK) {
		fr_answer_refusal(answer, code, &refusal);
		return false;
	}
	rt_hist_record(config->route, account, task->admission.class_number,
	    RT_HIST_QUEUE, now_us - begin_us);
	return !task->has_key || record_intent(task, answer);
}

/* Queues an admitted request for the asynchronous threads and answers 202 with
 * its id. */
static void
run_async(struct fr_proxy_task *task, struct fr_proxy_answer *answer)
{
	struct fr_proxy *proxy = task->proxy;
	struct rt_answer placeholder = {0};
	struct fr_proxy_task *copy = fr_proxy_task_copy(task);

	if (copy == NULL) {
		fr_async_release(proxy);
		if (task->has_key)
			rt_idempotency_release(proxy->config.route, &task->key,
			    task->number, &proxy->config.sink);
		release_admission(task);
		fr_answer_error(
		    answer, 503, RT_RAN_NOT, ASYNC_RETRY_MS, "short of memory");
		return;
	}
	placeholder.owner = proxy->config.self;
	placeholder.request = task->number;
	placeholder.account = task->request.account;
	placeholder.running = true;
	placeholder.http_status = 202;
	placeholder.ran = RT_RAN_UNKNOWN;
	rt_answer_put(proxy->config.route, &placeholder, cw_clock_mono_ms());
	fr_async_push(proxy, copy);
	answer->status = 202;
	answer->ran = RT_RAN_UNKNOWN;
	answer->state = "in_progress";
}

/*
 * Runs one request: checks, limits, queue and attempts. Blocks until the
 * answer, at most until the deadline; with respond_async, until the request is
 * admitted. The answer is filled in every case.
 */
void
fr_proxy_run(struct fr_proxy *proxy, const struct fr_proxy_request *request,
    struct fr_proxy_answer *answer)
{
	struct fr_proxy_task task = {0};
	int64_t time_limit_ms;

	memset(answer, 0, sizeof(*answer));
	task.proxy = proxy;
	task.request = *request;
	task.arrived_us = cw_clock_mono_us();
	if (!read_service(&task, answer) || !read_class(&task, answer))
		return;
	time_limit_ms = task.timeout_ms;
	if (request->deadline_ms > 0 && request->deadline_ms < time_limit_ms)
		time_limit_ms = request->deadline_ms;
	task.idempotent = request->key == NULL && !request->non_idempotent;
	task.admission.service = task.service;
	task.admission.account = request->account;
	task.admission.idempotent = task.idempotent;
	task.admission.bytes_estimate =
	    request->body_bytes + OVERHEAD_BYTES_ESTIMATE;
	task.admission.deadline_us = task.arrived_us + time_limit_ms * 1000;
	task.number = rt_request_number(proxy->config.route);
	rt_id_format(proxy->config.self, task.number, task.id);
	memcpy(answer->id, task.id, sizeof(answer->id));
	if (request->key != NULL) {
		task.has_key = true;
		rt_idempotency_key_init(
		    &task.key, request->account, request->key);
		task.key.service = task.service;
		task.key.body_hash =
		    cw_hash(request->body, request->body_bytes, 0);
		if (answer_repeated_key(&task, answer))
			return;
	}
	if (request->respond_async && !fr_async_reserve(proxy)) {
		fr_answer_error(answer, 503, RT_RAN_NOT, ASYNC_RETRY_MS,
		    "too many requests are answered later");
		return;
	}
	if (!admit(&task, answer)) {
		if (request->respond_async)
			fr_async_release(proxy);
		return;
	}
	if (request->respond_async)
		run_async(&task, answer);
	else
		fr_proxy_task_run(&task, answer);
}

/* Finds the stored answer of an earlier request of the account by its id.
 * Requests of other accounts are answered as unknown. */
void
fr_proxy_fetch(struct fr_proxy *proxy, uint64_t account, const char *id,
    struct fr_proxy_answer *answer)
{
	struct rt_answer stored = {0};
	uint64_t owner = 0;
	uint64_t number = 0;
	int code;

	memset(answer, 0, sizeof(*answer));
	code = rt_id_parse(id, &owner, &number);
	if (code == CW_OK)
		code = fr_answer_find(proxy, owner, number, &stored);
	if (code == RT_EPEER)
		code = rt_idempotency_find(
		    proxy->config.route, owner, number, &stored);
	if (code == CW_OK && stored.account != account) {
		free(stored.body);
		code = RT_ENOTFOUND;
	}
	if (code == CW_OK && !stored.running) {
		fr_answer_stored(answer, &stored);
		return;
	}
	if (code == CW_OK) {
		free(stored.body);
		answer->status = 202;
		answer->ran = RT_RAN_UNKNOWN;
		answer->state = "in_progress";
		rt_id_format(owner, number, answer->id);
		return;
	}
	if (code == RT_ENOTFOUND)
		fr_answer_error(answer, 404, RT_RAN_UNKNOWN, 0,
		    "no answer with this id is kept");
	else
		fr_answer_error(answer, 503, RT_RAN_UNKNOWN, LOG_RETRY_MS,
		    "the VM that owns this request does not answer");
}
