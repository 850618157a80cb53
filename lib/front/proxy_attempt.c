#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "proxy_internal.h"

#define CONNECT_TIMEOUT_MS 1000
/* A kept connection without an answer for this long, or for this many times
 * the runner's usual latency, is taken for silent when the request may be
 * tried again. */
#define SILENT_MIN_MS 1000
#define SILENT_LATENCIES 8
#define HEADERS_MAX 5
#define RETRY_AFTER_MS 100

/* What the attempts of a request leave behind. */
struct progress {
	struct bd_handle tried[RT_TRIED_MAX];
	uint32_t attempts;
	enum rt_outcome_kind kind;
	bool fresh;              /* the next attempt takes a new connection */
	const char *unused_text; /* why no attempt was made */
};

static int64_t left_ms(const struct fr_task *task);
static uint32_t attempt_timeout_ms(
    const struct fr_task *task, const struct progress *progress);
static enum rt_outcome_kind kind_of(const struct lk_http_answer *got);
static bool call_runner(struct fr_task *task, struct progress *progress,
    struct lk_http_answer *got);
static void wait_us(int64_t us);
static bool try_again(struct fr_task *task, struct progress *progress,
    const struct lk_http_answer *got);
static void set_answer(const struct fr_task *task,
    const struct progress *progress, struct lk_http_answer *got,
    struct fr_proxy_answer *answer);
static void keep_answer(
    struct fr_task *task, const struct fr_proxy_answer *answer);

static int64_t
left_ms(const struct fr_task *task)
{
	return (task->admission.deadline_us - cw_clock_mono_us()) / 1000;
}

/* The time of an attempt is what is left to the caller. Where the request can
 * be tried again, a silent kept connection does not use it up. */
static uint32_t
attempt_timeout_ms(const struct fr_task *task, const struct progress *progress)
{
	int64_t left = left_ms(task);
	int64_t silent =
	    (int64_t)task->pick.latency_us * SILENT_LATENCIES / 1000;

	if (silent < SILENT_MIN_MS)
		silent = SILENT_MIN_MS;
	if (!progress->fresh && progress->attempts < task->attempts_max &&
	    silent < left / 2 && rt_retry_has_budget(task->proxy->config.route))
		left = silent;
	return left < 1 ? 1 : (uint32_t)left;
}

static enum rt_outcome_kind
kind_of(const struct lk_http_answer *got)
{
	switch (got->outcome) {
	case LK_HTTP_NOT_STARTED:
		return RT_OUTCOME_NOT_STARTED;
	case LK_HTTP_LOST:
		return RT_OUTCOME_LOST;
	case LK_HTTP_TRUNCATED:
		return RT_OUTCOME_TRUNCATED;
	case LK_HTTP_TIMEOUT:
		return got->pooled && got->bytes_in == 0 ? RT_OUTCOME_SILENT
							 : RT_OUTCOME_TIMEOUT;
	case LK_HTTP_WHOLE:
		if (got->status == 429)
			return RT_OUTCOME_PUSHBACK;
		return got->status >= 500 ? RT_OUTCOME_ERROR : RT_OUTCOME_OK;
	default:
		return RT_OUTCOME_OK;
	}
}

/* Makes one attempt on the runner picked and gives its place back. Returns
 * false where none was made: memory is short, or the deadline has passed, as
 * after a pause of this process. */
static bool
call_runner(
    struct fr_task *task, struct progress *progress, struct lk_http_answer *got)
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
	    (long long)left_ms(task));
	snprintf(texts[count++], sizeof(texts[0]), "X-Attempt: %u",
	    progress->attempts);
	if (request->key != NULL)
		snprintf(texts[count++], sizeof(texts[0]),
		    "Idempotency-Key: %s", request->key);
	call.pool = task->pick.runner.index;
	call.idle_max = task->pick.in_flight_max;
	call.address = task->pick.address;
	call.path = "/";
	call.headers = headers;
	call.header_count = count;
	call.body = request->body;
	call.body_bytes = request->body_bytes;
	call.answer_bytes_max = task->answer_bytes_max;
	call.connect_timeout_ms = CONNECT_TIMEOUT_MS;
	call.timeout_ms = attempt_timeout_ms(task, progress);
	call.fresh = progress->fresh;
	outcome.started_us = cw_clock_mono_us();
	progress->unused_text = "short of memory";
	if (left_ms(task) <= 0) {
		progress->unused_text = "the deadline passed before the start";
		code = CW_ERANGE;
	} else
		code = config->upstream.call(config->upstream.ctx, &call, got);
	outcome.ended_us = cw_clock_mono_us();
	progress->kind = code == CW_OK ? kind_of(got) : RT_OUTCOME_UNUSED;
	outcome.kind = progress->kind;
	outcome.leaving = got->leaving;
	outcome.retry_after_ms = got->retry_after_ms;
	outcome.bytes_out = got->bytes_out;
	outcome.bytes_in = got->bytes_in;
	rt_attempt_done(config->route, &task->pick, &outcome);
	rt_hist_record(config->route, request->account,
	    task->admission.class_number, RT_HIST_UPSTREAM,
	    outcome.ended_us - outcome.started_us);
	if (code == CW_OK && got->outcome != LK_HTTP_NOT_STARTED)
		task->started = true;
	return code == CW_OK;
}

static void
wait_us(int64_t us)
{
	struct timespec time = {us / 1000000, us % 1000000 * 1000};

	nanosleep(&time, NULL);
}

/* Decides on a further attempt, waits for its time and takes a place. */
static bool
try_again(struct fr_task *task, struct progress *progress,
    const struct lk_http_answer *got)
{
	struct rt_route *route = task->proxy->config.route;
	struct rt_retry_query query = {0};
	struct rt_pick_query pick = {&task->admission, progress->tried, 0};
	struct rt_retry_decision retry;
	struct cw_rng rng;

	query.outcome = progress->kind;
	query.http_status = got->status;
	query.attempt = progress->attempts;
	query.attempts_max = task->attempts_max;
	query.idempotent = task->idempotent;
	query.started = task->started;
	query.deadline_us = task->admission.deadline_us;
	cw_rng_seed(&rng, task->number ^ progress->attempts);
	retry = rt_retry_decide(
	    route, &query, cw_clock_mono_us(), cw_rng_next(&rng));
	if (retry.verdict != RT_VERDICT_RETRY)
		return false;
	if (retry.delay_us > 0)
		wait_us(retry.delay_us);
	progress->tried[(progress->attempts - 1) % RT_TRIED_MAX] =
	    task->pick.runner;
	pick.tried_count = progress->attempts < RT_TRIED_MAX
	    ? progress->attempts
	    : RT_TRIED_MAX;
	progress->fresh = true;
	return rt_repick(route, &pick, cw_clock_mono_us(), &task->pick) ==
	    CW_OK;
}

/* Makes the answer to the caller from the last attempt. A whole answer of the
 * runner is passed on as it is; anything else is an error. */
static void
set_answer(const struct fr_task *task, const struct progress *progress,
    struct lk_http_answer *got, struct fr_proxy_answer *answer)
{
	enum rt_ran ran = task->started ? RT_RAN_UNKNOWN : RT_RAN_NOT;
	uint32_t retry_ms = task->started ? 0 : RETRY_AFTER_MS;

	memcpy(answer->id, task->id, sizeof(answer->id));
	if (progress->kind == RT_OUTCOME_UNUSED) {
		fr_answer_error(answer, 503, ran, retry_ms, "short of memory");
		return;
	}
	switch (got->outcome) {
	case LK_HTTP_WHOLE:
		answer->status = got->status;
		/* These two mostly say that the upstream refused. */
		answer->ran = got->status == 429 || got->status == 503
		    ? RT_RAN_UNKNOWN
		    : RT_RAN_YES;
		answer->body = got->body;
		answer->body_bytes = got->body_bytes;
		memcpy(answer->content_type, got->content_type,
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

/* Keeps the answer for GET and, for a key, in the log. A request that did not
 * run after all frees its key. */
static void
keep_answer(struct fr_task *task, const struct fr_proxy_answer *answer)
{
	const struct fr_proxy_config *config = &task->proxy->config;
	struct rt_answer kept = {0};
	char text[256];

	kept.owner = config->self;
	kept.request = task->number;
	kept.account = task->request.account;
	kept.http_status = answer->status;
	kept.ran = answer->ran;
	kept.body = answer->body;
	kept.body_bytes = answer->body_bytes;
	memcpy(
	    kept.content_type, answer->content_type, sizeof(kept.content_type));
	if (answer->is_error) {
		snprintf(kept.content_type, sizeof(kept.content_type),
		    "application/json");
		kept.body_bytes = (size_t)snprintf(text, sizeof(text),
		    "{\"error\":\"%s\",\"ran\":\"%s\",\"request\":\"%s\"}",
		    answer->text, rt_ran_name(answer->ran), task->id);
		kept.body = text;
	}
	rt_answer_put(config->route, &kept, cw_clock_mono_ms());
	if (!task->has_once)
		return;
	if (answer->ran == RT_RAN_NOT)
		rt_idempotency_release(
		    config->route, &task->once, task->number, &config->sink);
	else
		rt_idempotency_complete(
		    config->route, &task->once, &kept, &config->sink);
}

/*
 * Makes the attempts of a request that was admitted, with task->pick as the
 * first place, and ends what admission began. Goes on when the caller's
 * connection has died: the answer is kept.
 */
void
fr_task_run(struct fr_task *task, struct fr_proxy_answer *answer)
{
	const struct fr_proxy_config *config = &task->proxy->config;
	struct progress progress = {0};
	struct lk_http_answer got;

	rt_retry_first_attempt(config->route);
	/* What must not run twice does not go over a connection that may have
	 * died while it was idle: its loss could not be retried. */
	progress.fresh = !task->idempotent;
	do {
		memset(&got, 0, sizeof(got));
		progress.attempts++;
		if (!call_runner(task, &progress, &got) ||
		    !try_again(task, &progress, &got))
			break;
		free(got.body);
	} while (true);
	set_answer(task, &progress, &got, answer);
	keep_answer(task, answer);
	rt_hist_record(config->route, task->request.account,
	    task->admission.class_number, RT_HIST_TOTAL,
	    cw_clock_mono_us() - task->arrived_us);
	rt_request_end(config->route, task->request.account);
}
