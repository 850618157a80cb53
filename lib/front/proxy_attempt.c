#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "proxy_internal.h"

#define CONNECT_TIMEOUT_MS 1000
/* A reused connection counts as silent when no answer came within the longer of
 * SILENT_CONNECTION_MIN_MS and SILENT_CONNECTION_LATENCY_FACTOR times the
 * upstream's average latency, if the request may be retried. */
#define SILENT_CONNECTION_MIN_MS 1000
#define SILENT_CONNECTION_LATENCY_FACTOR 8
#define HEADERS_MAX 5
#define RETRY_AFTER_MS 100 /* for requests that were not sent */

/* State that the attempts of one request share. */
struct attempt_state {
	struct bd_handle tried[RT_TRIED_MAX];
	uint32_t attempts;
	enum rt_outcome_kind last_outcome;
	bool new_connection;       /* next attempt opens a new connection */
	const char *unused_reason; /* why no attempt was made */
};

static int64_t remaining_ms(const struct fr_proxy_task *task);
static uint32_t attempt_timeout_ms(
    const struct fr_proxy_task *task, const struct attempt_state *state);
static enum rt_outcome_kind outcome_kind(const struct lk_http_answer *received);
static bool call_upstream(struct fr_proxy_task *task,
    struct attempt_state *state, struct lk_http_answer *received);
static bool prepare_retry(struct fr_proxy_task *task,
    struct attempt_state *state, const struct lk_http_answer *received);
static void set_answer(const struct fr_proxy_task *task,
    const struct attempt_state *state, struct lk_http_answer *received,
    struct fr_proxy_answer *answer);
static void store_answer(
    struct fr_proxy_task *task, const struct fr_proxy_answer *answer);

/* Returns the time until the deadline (ms), negative after it. */
static int64_t
remaining_ms(const struct fr_proxy_task *task)
{
	return (task->admission.deadline_us - cw_clock_mono_us()) / 1000;
}

/* An attempt may use all the time until the deadline. On a reused connection it
 * gets less if a retry is allowed and more than half of the time would remain
 * for it, so that a connection that died silently does not use up the time. */
static uint32_t
attempt_timeout_ms(
    const struct fr_proxy_task *task, const struct attempt_state *state)
{
	int64_t timeout_ms = remaining_ms(task);
	int64_t silent_ms = (int64_t)task->pick.latency_us *
	    SILENT_CONNECTION_LATENCY_FACTOR / 1000;

	if (silent_ms < SILENT_CONNECTION_MIN_MS)
		silent_ms = SILENT_CONNECTION_MIN_MS;
	if (!state->new_connection && state->attempts < task->attempts_max &&
	    silent_ms < timeout_ms / 2 &&
	    rt_retry_has_budget(task->proxy->config.route))
		timeout_ms = silent_ms;
	return timeout_ms < 1 ? 1 : (uint32_t)timeout_ms;
}

static enum rt_outcome_kind
outcome_kind(const struct lk_http_answer *received)
{
	switch (received->outcome) {
	case LK_HTTP_NOT_STARTED:
		return RT_OUTCOME_NOT_STARTED;
	case LK_HTTP_LOST:
		return RT_OUTCOME_LOST;
	case LK_HTTP_TRUNCATED:
		return RT_OUTCOME_TRUNCATED;
	case LK_HTTP_TIMEOUT:
		return received->pooled && received->bytes_in == 0
		    ? RT_OUTCOME_SILENT
		    : RT_OUTCOME_TIMEOUT;
	case LK_HTTP_COMPLETE:
		if (received->status == 429)
			return RT_OUTCOME_PUSHBACK;
		return received->status >= 500 ? RT_OUTCOME_ERROR
					       : RT_OUTCOME_OK;
	default:
		return RT_OUTCOME_OK;
	}
}

/* Makes one attempt on the upstream picked and releases its slot. Returns false
 * if no attempt was made because memory is exhausted or the deadline has
 * passed, for example while this process was paused. */
static bool
call_upstream(struct fr_proxy_task *task, struct attempt_state *state,
    struct lk_http_answer *received)
{
	const struct fr_proxy_config *config = &task->proxy->config;
	const struct fr_proxy_request *request = &task->request;
	char texts[HEADERS_MAX][FR_PROXY_KEY_BYTES_MAX + 32];
	const char *headers[HEADERS_MAX];
	struct lk_http_call call = {0};
	struct rt_outcome outcome = {0};
	size_t count = 0;
	int code;
	size_t i;

	for (i = 0; i < HEADERS_MAX; i++)
		headers[i] = texts[i];
	snprintf(texts[count++], sizeof(texts[0]), "Content-Type: %s",
	    request->content_type != NULL ? request->content_type
					  : "application/octet-stream");
	snprintf(
	    texts[count++], sizeof(texts[0]), "X-Request-Id: %s", task->id);
	snprintf(texts[count++], sizeof(texts[0]), "X-Deadline-Ms: %lld",
	    (long long)remaining_ms(task));
	snprintf(
	    texts[count++], sizeof(texts[0]), "X-Attempt: %u", state->attempts);
	if (request->key != NULL)
		snprintf(texts[count++], sizeof(texts[0]),
		    "Idempotency-Key: %s", request->key);
	call.pool = task->pick.upstream_handle.index;
	call.idle_max = task->pick.in_flight_max;
	call.address = task->pick.address;
	call.path = "/";
	call.headers = headers;
	call.header_count = count;
	call.body = request->body;
	call.body_bytes = request->body_bytes;
	call.answer_bytes_max = task->answer_bytes_max;
	call.connect_timeout_ms = CONNECT_TIMEOUT_MS;
	call.timeout_ms = attempt_timeout_ms(task, state);
	call.new_connection = state->new_connection;
	outcome.started_us = cw_clock_mono_us();
	state->unused_reason = "short of memory";
	if (remaining_ms(task) <= 0) {
		state->unused_reason = "the deadline passed before the start";
		code = CW_ERANGE;
	} else
		code = config->upstream.call(
		    config->upstream.ctx, &call, received);
	outcome.ended_us = cw_clock_mono_us();
	state->last_outcome =
	    code == CW_OK ? outcome_kind(received) : RT_OUTCOME_UNUSED;
	outcome.kind = state->last_outcome;
	outcome.leaving = received->leaving;
	outcome.retry_after_ms = received->retry_after_ms;
	outcome.bytes_out = received->bytes_out;
	outcome.bytes_in = received->bytes_in;
	rt_attempt_done(config->route, &task->pick, &outcome);
	rt_hist_record(config->route, request->account,
	    task->admission.class_number, RT_HIST_UPSTREAM,
	    outcome.ended_us - outcome.started_us);
	if (code == CW_OK && received->outcome != LK_HTTP_NOT_STARTED)
		task->started = true;
	return code == CW_OK;
}

/* Decides whether to retry, waits for the delay and picks an upstream for the
 * next attempt. Returns false if there is no next attempt. */
static bool
prepare_retry(struct fr_proxy_task *task, struct attempt_state *state,
    const struct lk_http_answer *received)
{
	struct rt_router *route = task->proxy->config.route;
	struct rt_retry_query query = {0};
	struct rt_pick_query pick = {&task->admission, state->tried, 0};
	struct rt_retry_decision retry;
	struct cw_rng rng;

	query.outcome = state->last_outcome;
	query.http_status = received->status;
	query.attempt = state->attempts;
	query.attempts_max = task->attempts_max;
	query.idempotent = task->idempotent;
	query.started = task->started;
	query.deadline_us = task->admission.deadline_us;
	cw_rng_seed(&rng, task->number ^ state->attempts);
	retry = rt_retry_decide(
	    route, &query, cw_clock_mono_us(), cw_rng_next(&rng));
	if (retry.verdict != RT_VERDICT_RETRY)
		return false;
	if (retry.delay_us > 0)
		fr_async_pause(
		    task->proxy, cw_clock_mono_us() + retry.delay_us);
	state->tried[(state->attempts - 1) % RT_TRIED_MAX] =
	    task->pick.upstream_handle;
	pick.tried_count =
	    state->attempts < RT_TRIED_MAX ? state->attempts : RT_TRIED_MAX;
	state->new_connection = true;
	return rt_repick(route, &pick, cw_clock_mono_us(), &task->pick) ==
	    CW_OK;
}

/* Sets the answer to the caller from the last attempt. A complete answer of the
 * upstream is passed on unchanged; anything else becomes an error. */
static void
set_answer(const struct fr_proxy_task *task, const struct attempt_state *state,
    struct lk_http_answer *received, struct fr_proxy_answer *answer)
{
	enum rt_ran ran = task->started ? RT_RAN_UNKNOWN : RT_RAN_NOT;
	uint32_t retry_ms = task->started ? 0 : RETRY_AFTER_MS;

	memcpy(answer->id, task->id, sizeof(answer->id));
	if (state->last_outcome == RT_OUTCOME_UNUSED) {
		fr_answer_error(answer, task->started ? 502 : 503, ran,
		    retry_ms, state->unused_reason);
		return;
	}
	switch (received->outcome) {
	case LK_HTTP_COMPLETE:
		answer->status = received->status;
		/* With these statuses an upstream usually refuses a request
		 * without running it. */
		answer->ran = received->status == 429 || received->status == 503
		    ? RT_RAN_UNKNOWN
		    : RT_RAN_YES;
		answer->body = received->body;
		answer->body_bytes = received->body_bytes;
		memcpy(answer->content_type, received->content_type,
		    sizeof(answer->content_type));
		break;
	case LK_HTTP_NOT_STARTED:
		fr_answer_error(answer, task->started ? 502 : 503, ran,
		    retry_ms, "upstream cannot be reached");
		break;
	case LK_HTTP_TRUNCATED:
		fr_answer_error(answer, 502, RT_RAN_UNKNOWN, 0,
		    "incomplete: the upstream's answer ended early");
		break;
	case LK_HTTP_TIMEOUT:
		fr_answer_error(answer, 504, RT_RAN_UNKNOWN, 0,
		    "the upstream did not answer within the deadline");
		break;
	case LK_HTTP_TOO_LARGE:
		fr_answer_error(answer, 502, RT_RAN_YES, 0,
		    "the upstream's answer is larger than the service allows");
		break;
	default:
		fr_answer_error(answer, 502, RT_RAN_UNKNOWN, 0,
		    "the connection to the upstream was lost");
		break;
	}
}

/* Stores the answer for GET /v1/requests/{id} and, with an idempotency key,
 * records the outcome in the log. The key of a request that did not run is
 * released for reuse. */
static void
store_answer(struct fr_proxy_task *task, const struct fr_proxy_answer *answer)
{
	const struct fr_proxy_config *config = &task->proxy->config;
	struct rt_answer stored = {0};
	char text[256];

	stored.owner = config->self;
	stored.request = task->number;
	stored.account = task->request.account;
	stored.http_status = answer->status;
	stored.ran = answer->ran;
	stored.body = answer->body;
	stored.body_bytes = answer->body_bytes;
	memcpy(stored.content_type, answer->content_type,
	    sizeof(stored.content_type));
	if (answer->is_error) {
		snprintf(stored.content_type, sizeof(stored.content_type),
		    "application/json");
		stored.body_bytes = (size_t)snprintf(text, sizeof(text),
		    "{\"error\":\"%s\",\"ran\":\"%s\",\"request\":\"%s\"}",
		    answer->text, rt_ran_name(answer->ran), task->id);
		stored.body = text;
	}
	rt_answer_put(config->route, &stored, cw_clock_mono_ms());
	if (!task->has_key)
		return;
	if (answer->ran == RT_RAN_NOT)
		rt_idempotency_release(
		    config->route, &task->key, task->number, &config->sink);
	else
		rt_idempotency_complete(
		    config->route, &task->key, &stored, &config->sink);
}

/*
 * Makes the attempts of an admitted request, the first on task->pick, and ends
 * the admission. Continues after the caller's connection was lost, as the
 * answer is stored.
 */
void
fr_proxy_task_run(struct fr_proxy_task *task, struct fr_proxy_answer *answer)
{
	const struct fr_proxy_config *config = &task->proxy->config;
	struct attempt_state state = {0};
	struct lk_http_answer received;

	rt_retry_first_attempt(config->route);
	/* A non-idempotent request never uses a reused connection: that may
	 * have died while idle, and the loss could not be retried. */
	state.new_connection = !task->idempotent;
	do {
		memset(&received, 0, sizeof(received));
		state.attempts++;
		if (!call_upstream(task, &state, &received) ||
		    !prepare_retry(task, &state, &received))
			break;
		free(received.body);
	} while (true);
	set_answer(task, &state, &received, answer);
	store_answer(task, answer);
	rt_hist_record(config->route, task->request.account,
	    task->admission.class_number, RT_HIST_TOTAL,
	    cw_clock_mono_us() - task->arrived_us);
	rt_request_end(config->route, task->request.account);
}
