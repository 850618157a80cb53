#include <assert.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "route_internal.h"

/* Interval of repeated proposals of an outcome that is not applied yet. */
#define PROPOSE_RETRY_MS 2000
/* An intent whose proposal got no answer may still be applied for this long. */
#define RELEASE_RETENTION_MS (10 * 60 * 1000)
/* Status of an outcome that says "did not run" and frees the key. */
#define STATUS_RELEASED 0u
#define STEP_INTERVAL_MS 500

/* Waits for the end of one proposal; shared with the thread that completes
 * it. */
struct proposal_wait {
	pthread_mutex_t lock;
	pthread_cond_t ended;
	int status;
	bool done;
	bool abandoned; /* the waiting thread has returned */
};

/* An outcome that is not yet known to be applied. */
struct rt_pending_outcome {
	struct rt_pending_outcome *next;
	struct rt_idempotency_key key;
	uint64_t request;
	int64_t due_ms;
	int64_t since_ms;
	bool intent_applied; /* its row was seen in table request */
	uint32_t http_status;
	size_t envelope_bytes;
	char envelope[];
};

static struct proposal_wait *proposal_wait_create(void);
static void proposal_wait_destroy(struct proposal_wait *wait);
static void proposal_done(void *ctx, int status, uint64_t position);
static int proposal_wait_for(struct proposal_wait *wait, int64_t timeout_ms);
static void enqueue_pending(
    struct rt_router *route, struct rt_pending_outcome *pending);
static size_t encode_answer(const struct rt_answer *answer, char *envelope);
static bool decode_answer(
    const struct bd_request *row, struct rt_answer *answer);
static struct rt_pending_outcome *create_pending(
    const struct rt_idempotency_key *key, uint64_t request,
    const struct rt_answer *answer);
static void propose_outcome(struct rt_pending_outcome *pending,
    const struct st_sink *sink, int64_t now_ms);
static bool is_own_intent(struct rt_router *route,
    const struct rt_idempotency_key *key, uint64_t request);
static bool is_settled(struct rt_router *route,
    struct rt_pending_outcome *pending, int64_t now_ms);

/* Sets account and id: the id is derived from the account and a hash of the
 * key. */
void
rt_idempotency_key_init(
    struct rt_idempotency_key *key, uint64_t account, const char *text)
{
	key->account = account;
	key->id =
	    cw_id_from_pair(account, cw_hash(text, strlen(text), account));
}

/* Encodes an answer: one digit for enum rt_ran, 'K' (body kept) or 'D' (body
 * dropped), the content type, a newline, the body. Returns the size in bytes.
 */
static size_t
encode_answer(const struct rt_answer *answer, char *envelope)
{
	size_t type_bytes = strlen(answer->content_type);
	bool kept = answer->body_bytes + type_bytes + 3 <= REC_ANSWER_BYTES_MAX;

	envelope[0] = (char)('0' + answer->ran);
	envelope[1] = kept ? 'K' : 'D';
	memcpy(envelope + 2, answer->content_type, type_bytes);
	envelope[2 + type_bytes] = '\n';
	if (!kept)
		return type_bytes + 3;
	if (answer->body_bytes > 0)
		memcpy(envelope + type_bytes + 3, answer->body,
		    answer->body_bytes);
	return type_bytes + 3 + answer->body_bytes;
}

/* Decodes what encode_answer wrote. Returns false if the body is not kept. If
 * the replicated state has dropped the encoded answer, ran is RT_RAN_UNKNOWN.
 */
static bool
decode_answer(const struct bd_request *row, struct rt_answer *answer)
{
	const char *envelope = row->answer;
	size_t bytes = row->answer_dropped != 0 ? 0 : row->answer_bytes;
	const char *end = bytes < 3 ? NULL : memchr(envelope, '\n', bytes);
	size_t type_bytes;

	answer->ran = RT_RAN_UNKNOWN;
	if (end == NULL || end - envelope < 2)
		return false;
	type_bytes = (size_t)(end - envelope) - 2;
	if (envelope[0] >= '0' && envelope[0] <= '2')
		answer->ran = (enum rt_ran)(envelope[0] - '0');
	if (type_bytes >= sizeof(answer->content_type) || envelope[1] != 'K')
		return false;
	memcpy(answer->content_type, envelope + 2, type_bytes);
	answer->content_type[type_bytes] = '\0';
	answer->body_bytes = bytes - type_bytes - 3;
	answer->body = malloc(answer->body_bytes + 1);
	if (answer->body == NULL)
		return false;
	memcpy(answer->body, end + 1, answer->body_bytes);
	return true;
}

/*
 * Looks a key up in the replicated state. Returns RT_ENOTFOUND (the request may
 * run), RT_EINPROGRESS, RT_EREPEATED with the outcome, or RT_EKEYREUSED.
 */
int
rt_idempotency_lookup(struct rt_router *route,
    const struct rt_idempotency_key *key, struct rt_idempotency_result *result)
{
	const struct bd_request *row;
	const struct bd_member *owner;
	int code = RT_ENOTFOUND;

	memset(result, 0, sizeof(*result));
	bd_read_begin();
	row = bd_request_lookup(route->board, key->id);
	if (row != NULL) {
		result->answer.owner = row->owner;
		result->answer.request = row->request_id;
		result->answer.account = row->account;
		result->answer.http_status = (int)row->http_status;
		result->answer.running = row->state != BD_REQUEST_DONE;
		owner = bd_member_lookup(route->board, row->owner);
		result->owner_lost = row->owner != route->settings.self &&
		    (owner == NULL || owner->state == BD_MEMBER_DEAD);
		if (row->body_hash != key->body_hash ||
		    row->service != key->service)
			code = RT_EKEYREUSED;
		else if (result->answer.running)
			code = RT_EINPROGRESS;
		else {
			code = RT_EREPEATED;
			result->answer_stored =
			    decode_answer(row, &result->answer);
		}
	}
	bd_read_end();
	if (code == RT_EREPEATED)
		rt_counter_add(route, RT_COUNT_ONCE_REPEATS, 1);
	return code;
}

/* Finds the outcome of a request whose owner VM is gone, by a linear scan of
 * the table. Returns RT_ENOTFOUND. */
int
rt_idempotency_find(struct rt_router *route, uint64_t owner, uint64_t request,
    struct rt_answer *out)
{
	const struct bd_request *row;
	uint32_t cursor = 0;
	int code = RT_ENOTFOUND;

	memset(out, 0, sizeof(*out));
	bd_read_begin();
	while ((row = bd_request_next(route->board, &cursor)) != NULL) {
		if (row->owner != owner || row->request_id != request)
			continue;
		out->owner = owner;
		out->request = request;
		out->account = row->account;
		out->http_status = (int)row->http_status;
		out->running = row->state != BD_REQUEST_DONE;
		if (out->running || decode_answer(row, out))
			code = CW_OK;
		break;
	}
	bd_read_end();
	return code;
}

static struct proposal_wait *
proposal_wait_create(void)
{
	struct proposal_wait *wait = calloc(1, sizeof(*wait));
	pthread_condattr_t attr;

	if (wait == NULL)
		return NULL;
	pthread_mutex_init(&wait->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&wait->ended, &attr);
	pthread_condattr_destroy(&attr);
	return wait;
}

static void
proposal_wait_destroy(struct proposal_wait *wait)
{
	pthread_cond_destroy(&wait->ended);
	pthread_mutex_destroy(&wait->lock);
	free(wait);
}

/* Completion callback of a proposal. Frees the wait if the waiting thread has
 * returned; otherwise that thread frees it. */
static void
proposal_done(void *ctx, int status, uint64_t position)
{
	struct proposal_wait *wait = ctx;
	bool last;

	(void)position;
	pthread_mutex_lock(&wait->lock);
	wait->status = status;
	wait->done = true;
	last = wait->abandoned;
	pthread_cond_signal(&wait->ended);
	pthread_mutex_unlock(&wait->lock);
	if (last)
		proposal_wait_destroy(wait);
}

/* Returns the status of the proposal, ST_EUNKNOWN after timeout_ms. */
static int
proposal_wait_for(struct proposal_wait *wait, int64_t timeout_ms)
{
	struct timespec until = rt_deadline_after(timeout_ms * 1000);
	bool done;
	int status;

	pthread_mutex_lock(&wait->lock);
	while (!wait->done &&
	    pthread_cond_timedwait(&wait->ended, &wait->lock, &until) !=
		ETIMEDOUT)
		;
	done = wait->done;
	status = done ? wait->status : ST_EUNKNOWN;
	wait->abandoned = true;
	pthread_mutex_unlock(&wait->lock);
	if (done)
		proposal_wait_destroy(wait);
	return status;
}

/* Passes an outcome to rt_idempotency_step. */
static void
enqueue_pending(struct rt_router *route, struct rt_pending_outcome *pending)
{
	struct rt_pending_outcome *head = atomic_load(&route->pending_incoming);

	do
		pending->next = head;
	while (!atomic_compare_exchange_weak(
	    &route->pending_incoming, &head, pending));
}

/* Creates an outcome; answer NULL means "did not run". Returns NULL if memory
 * is short. */
static struct rt_pending_outcome *
create_pending(const struct rt_idempotency_key *key, uint64_t request,
    const struct rt_answer *answer)
{
	struct rt_pending_outcome *pending = malloc(sizeof(*pending) +
	    (answer == NULL ? 0
			    : RT_CONTENT_TYPE_BYTES + 3 + answer->body_bytes));

	if (pending == NULL)
		return NULL;
	memset(pending, 0, sizeof(*pending));
	pending->key = *key;
	pending->request = request;
	pending->since_ms = cw_clock_mono_ms();
	pending->http_status = STATUS_RELEASED;
	if (answer != NULL) {
		pending->http_status = (uint32_t)answer->http_status;
		pending->envelope_bytes =
		    encode_answer(answer, pending->envelope);
	}
	return pending;
}

static void
propose_outcome(struct rt_pending_outcome *pending, const struct st_sink *sink,
    int64_t now_ms)
{
	struct rec rec = {0};

	rec.kind = REC_REQ_OUTCOME;
	rec.body.req_outcome.id = pending->key.id;
	rec.body.req_outcome.request_id = pending->request;
	rec.body.req_outcome.http_status = pending->http_status;
	rec.body.req_outcome.answer_bytes = (uint32_t)pending->envelope_bytes;
	rec.body.req_outcome.answer = pending->envelope;
	pending->due_ms = now_ms + PROPOSE_RETRY_MS;
	sink->propose(sink->ctx, &rec, NULL);
}

/* Returns whether the applied intent of a key is that of this request. */
static bool
is_own_intent(struct rt_router *route, const struct rt_idempotency_key *key,
    uint64_t request)
{
	const struct bd_request *row;
	bool own;

	bd_read_begin();
	row = bd_request_lookup(route->board, key->id);
	own = row != NULL && row->owner == route->settings.self &&
	    row->request_id == request && row->state == BD_REQUEST_INTENT;
	bd_read_end();
	return own;
}

/*
 * Proposes the intent to run the request of a key and waits until it is
 * applied. The request may be sent only after CW_OK. Returns RT_EINPROGRESS if
 * another intent was applied first, RT_ENOMEM, or RT_ELOG if the log is
 * unreachable or did not answer within timeout_ms. After RT_ELOG the request
 * must not run; an intent that is applied late is released.
 */
int
rt_idempotency_begin(struct rt_router *route,
    const struct rt_idempotency_key *key, uint64_t request,
    const struct st_sink *sink, int64_t timeout_ms)
{
	struct proposal_wait *wait = proposal_wait_create();
	struct st_completion done = {proposal_done, wait};
	struct rt_pending_outcome *release;
	struct rec rec = {0};
	int code;

	if (wait == NULL)
		return RT_ENOMEM;
	rec.kind = REC_REQ_INTENT;
	rec.body.req_intent.id = key->id;
	rec.body.req_intent.request_id = request;
	rec.body.req_intent.account = key->account;
	rec.body.req_intent.service = key->service;
	rec.body.req_intent.owner = route->settings.self;
	rec.body.req_intent.body_hash = key->body_hash;
	code = sink->propose(sink->ctx, &rec, &done);
	if (code != CW_OK) {
		proposal_wait_destroy(wait);
		return RT_ELOG;
	}
	code = proposal_wait_for(wait, timeout_ms);
	if (code == CW_OK)
		return CW_OK;
	if (code == ST_EUNKNOWN) {
		release = create_pending(key, request, NULL);
		if (release != NULL)
			enqueue_pending(route, release);
		return RT_ELOG;
	}
	if (code == ST_EUNAVAILABLE || code == ST_ENOTREADY ||
	    code == ST_EFULL || code == ST_ENOMEM)
		return RT_ELOG;
	/* If an append is repeated after its answer was lost, the intent that
	 * was applied first may be this one. */
	if (code == ST_EREPEATED && is_own_intent(route, key, request))
		return CW_OK;
	rt_counter_add(route, RT_COUNT_ONCE_CONFLICTS, 1);
	return RT_EINPROGRESS;
}

/*
 * Records the answer of a request that rt_idempotency_begin allowed. The body
 * of an answer above REC_ANSWER_BYTES_MAX is dropped. rt_idempotency_step
 * proposes the outcome again until it is applied.
 */
void
rt_idempotency_complete(struct rt_router *route,
    const struct rt_idempotency_key *key, const struct rt_answer *answer,
    const struct st_sink *sink)
{
	struct rt_pending_outcome *pending =
	    create_pending(key, answer->request, answer);

	assert(answer->http_status != (int)STATUS_RELEASED);
	/* Without memory the outcome stays unknown to later callers. */
	if (pending == NULL)
		return;
	propose_outcome(pending, sink, cw_clock_mono_ms());
	enqueue_pending(route, pending);
}

/* Frees the key of a request that rt_idempotency_begin allowed but that did
 * not run. */
void
rt_idempotency_release(struct rt_router *route,
    const struct rt_idempotency_key *key, uint64_t request,
    const struct st_sink *sink)
{
	struct rt_pending_outcome *pending = create_pending(key, request, NULL);

	if (pending == NULL)
		return;
	propose_outcome(pending, sink, cw_clock_mono_ms());
	enqueue_pending(route, pending);
}

/* An outcome is settled once it is applied, or once its intent has expired or
 * belongs to another request. A release is kept for RELEASE_RETENTION_MS, as
 * its intent may still be applied. */
static bool
is_settled(
    struct rt_router *route, struct rt_pending_outcome *pending, int64_t now_ms)
{
	const struct bd_request *row;
	bool settled;

	bd_read_begin();
	row = bd_request_lookup(route->board, pending->key.id);
	if (row == NULL)
		settled = pending->http_status != STATUS_RELEASED ||
		    pending->intent_applied ||
		    now_ms - pending->since_ms > RELEASE_RETENTION_MS;
	else
		settled = row->state == BD_REQUEST_DONE ||
		    row->request_id != pending->request ||
		    row->owner != route->settings.self;
	pending->intent_applied |= row != NULL;
	bd_read_end();
	return settled;
}

/* Repeats the proposals of outcomes that are not applied yet. Returns the time
 * of the next call (ms). */
int64_t
rt_idempotency_step(
    struct rt_router *route, const struct st_sink *sink, int64_t now_ms)
{
	struct rt_pending_outcome *list =
	    atomic_exchange(&route->pending_incoming, NULL);
	struct rt_pending_outcome **link;

	while (list != NULL) {
		struct rt_pending_outcome *next = list->next;

		list->next = route->pending;
		route->pending = list;
		list = next;
	}
	for (link = &route->pending; *link != NULL;) {
		struct rt_pending_outcome *pending = *link;

		if (is_settled(route, pending, now_ms)) {
			*link = pending->next;
			free(pending);
			continue;
		}
		if (pending->due_ms <= now_ms && pending->intent_applied)
			propose_outcome(pending, sink, now_ms);
		link = &pending->next;
	}
	return now_ms + STEP_INTERVAL_MS;
}

/* Frees all pending outcomes. */
void
rt_idempotency_destroy(struct rt_router *route)
{
	struct rt_pending_outcome *lists[2] = {
	    atomic_exchange(&route->pending_incoming, NULL), route->pending};
	int i;

	for (i = 0; i < 2; i++)
		while (lists[i] != NULL) {
			struct rt_pending_outcome *next = lists[i]->next;

			free(lists[i]);
			lists[i] = next;
		}
}
