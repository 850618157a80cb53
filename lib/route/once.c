#include <assert.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "route_internal.h"

/* An outcome that the log has not taken is proposed again after this. */
#define PROPOSE_AGAIN_MS 2000
/* An intent of which nothing is known may still be applied for this long. */
#define RELEASE_WATCH_MS (10 * 60 * 1000)
/* Status in an outcome for "did not run": the key is free again. */
#define STATUS_RELEASED 0u

/* Waits for the end of one proposal; shared with the follower's thread. */
struct wait {
	pthread_mutex_t lock;
	pthread_cond_t ended;
	int status;
	bool done;
	bool abandoned; /* the waiting thread has gone */
};

/* An outcome on its way to the log. */
struct rt_pending {
	struct rt_pending *next;
	struct rt_once once;
	uint64_t request;
	int64_t due_ms;
	int64_t since_ms;
	bool was_seen; /* the intent was applied */
	uint32_t http_status;
	size_t envelope_bytes;
	char envelope[];
};

static struct wait *wait_create(void);
static void wait_destroy(struct wait *wait);
static void on_done(void *ctx, int status, uint64_t position);
static int wait_for(struct wait *wait, int64_t timeout_ms);
static void push_pending(struct rt_route *route, struct rt_pending *pending);
static size_t pack(const struct rt_answer *answer, char *envelope);
static bool unpack(const struct bd_request *row, struct rt_answer *answer);
static struct rt_pending *make_pending(const struct rt_once *once,
    uint64_t request, const struct rt_answer *answer);
static void propose_outcome(
    struct rt_pending *pending, const struct st_sink *sink, int64_t now_ms);
static bool is_own_intent(
    struct rt_route *route, const struct rt_once *once, uint64_t request);
static bool is_settled(
    struct rt_route *route, struct rt_pending *pending, int64_t now_ms);

/* Sets the id of a key: the account and the hash of the key. */
void
rt_once_id(struct rt_once *once, uint64_t account, const char *key)
{
	once->account = account;
	once->id = cw_id_from_pair(account, cw_hash(key, strlen(key), account));
}

/* Puts an answer into one text: what is known of the run, whether the body is
 * kept, the content type, a line end, the body. */
static size_t
pack(const struct rt_answer *answer, char *envelope)
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

/* Reads what pack wrote. Returns false where the body is not kept; where the
 * log's state dropped the whole text, it is not known any more how far the
 * request came. */
static bool
unpack(const struct bd_request *row, struct rt_answer *answer)
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
 * Tells what the log says of a key: RT_ENOTFOUND (it may run),
 * RT_EINPROGRESS, RT_EREPEATED with the outcome, or RT_EKEYREUSED.
 */
int
rt_once_lookup(
    struct rt_route *route, const struct rt_once *once, struct rt_known *known)
{
	const struct bd_request *row;
	const struct bd_member *owner;
	int code = RT_ENOTFOUND;

	memset(known, 0, sizeof(*known));
	bd_read_begin();
	row = bd_request_lookup(route->board, once->id);
	if (row != NULL) {
		known->answer.owner = row->owner;
		known->answer.request = row->request_id;
		known->answer.account = row->account;
		known->answer.http_status = (int)row->http_status;
		known->answer.running = row->state != BD_REQUEST_DONE;
		owner = bd_member_lookup(route->board, row->owner);
		known->owner_lost = row->owner != route->settings.self &&
		    (owner == NULL || owner->state == BD_MEMBER_DEAD);
		if (row->body_hash != once->body_hash ||
		    row->service != once->service)
			code = RT_EKEYREUSED;
		else if (known->answer.running)
			code = RT_EINPROGRESS;
		else {
			code = RT_EREPEATED;
			known->answer_kept = unpack(row, &known->answer);
		}
	}
	bd_read_end();
	if (code == RT_EREPEATED)
		rt_count(route, RT_COUNT_ONCE_REPEATS, 1);
	return code;
}

/* Finds the outcome of a request by its id, for one whose owner is gone. Looks
 * at every entry. Returns RT_ENOTFOUND. */
int
rt_once_find(struct rt_route *route, uint64_t owner, uint64_t request,
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
		if (out->running || unpack(row, out))
			code = CW_OK;
		break;
	}
	bd_read_end();
	return code;
}

static struct wait *
wait_create(void)
{
	struct wait *wait = calloc(1, sizeof(*wait));
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
wait_destroy(struct wait *wait)
{
	pthread_cond_destroy(&wait->ended);
	pthread_mutex_destroy(&wait->lock);
	free(wait);
}

/* Called by the follower. Whoever comes last, this or the waiting thread,
 * frees the wait. */
static void
on_done(void *ctx, int status, uint64_t position)
{
	struct wait *wait = ctx;
	bool last;

	(void)position;
	pthread_mutex_lock(&wait->lock);
	wait->status = status;
	wait->done = true;
	last = wait->abandoned;
	pthread_cond_signal(&wait->ended);
	pthread_mutex_unlock(&wait->lock);
	if (last)
		wait_destroy(wait);
}

/* Returns the status of the proposal, ST_EUNKNOWN after the time. */
static int
wait_for(struct wait *wait, int64_t timeout_ms)
{
	struct timespec until = rt_time_after(timeout_ms * 1000);
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
		wait_destroy(wait);
	return status;
}

static void
push_pending(struct rt_route *route, struct rt_pending *pending)
{
	struct rt_pending *head = atomic_load(&route->pending_new);

	do
		pending->next = head;
	while (
	    !atomic_compare_exchange_weak(&route->pending_new, &head, pending));
}

/* Makes an outcome; answer NULL stands for "did not run". */
static struct rt_pending *
make_pending(const struct rt_once *once, uint64_t request,
    const struct rt_answer *answer)
{
	struct rt_pending *pending = malloc(sizeof(*pending) +
	    (answer == NULL ? 0 : RT_TYPE_BYTES + 3 + answer->body_bytes));

	if (pending == NULL)
		return NULL;
	memset(pending, 0, sizeof(*pending));
	pending->once = *once;
	pending->request = request;
	pending->since_ms = cw_clock_mono_ms();
	pending->http_status = STATUS_RELEASED;
	if (answer != NULL) {
		pending->http_status = (uint32_t)answer->http_status;
		pending->envelope_bytes = pack(answer, pending->envelope);
	}
	return pending;
}

static void
propose_outcome(
    struct rt_pending *pending, const struct st_sink *sink, int64_t now_ms)
{
	struct rec rec = {0};

	rec.kind = REC_REQ_OUTCOME;
	rec.body.req_outcome.id = pending->once.id;
	rec.body.req_outcome.request_id = pending->request;
	rec.body.req_outcome.http_status = pending->http_status;
	rec.body.req_outcome.answer_bytes = (uint32_t)pending->envelope_bytes;
	rec.body.req_outcome.answer = pending->envelope;
	pending->due_ms = now_ms + PROPOSE_AGAIN_MS;
	sink->propose(sink->ctx, &rec, NULL);
}

static bool
is_own_intent(
    struct rt_route *route, const struct rt_once *once, uint64_t request)
{
	const struct bd_request *row;
	bool own;

	bd_read_begin();
	row = bd_request_lookup(route->board, once->id);
	own = row != NULL && row->owner == route->settings.self &&
	    row->request_id == request && row->state == BD_REQUEST_INTENT;
	bd_read_end();
	return own;
}

/*
 * Proposes the intent to run a key and waits until it is applied. Only CW_OK
 * allows a byte to leave. Returns RT_EINPROGRESS where another intent was
 * first, RT_ELOG where the log is out of reach or did not answer within
 * timeout_ms; the request then never runs, and a late intent is released.
 */
int
rt_once_begin(struct rt_route *route, const struct rt_once *once,
    uint64_t request, const struct st_sink *sink, int64_t timeout_ms)
{
	struct wait *wait = wait_create();
	struct st_done done = {on_done, wait};
	struct rt_pending *release;
	struct rec rec = {0};
	int code;

	if (wait == NULL)
		return RT_ENOMEM;
	rec.kind = REC_REQ_INTENT;
	rec.body.req_intent.id = once->id;
	rec.body.req_intent.request_id = request;
	rec.body.req_intent.account = once->account;
	rec.body.req_intent.service = once->service;
	rec.body.req_intent.owner = route->settings.self;
	rec.body.req_intent.body_hash = once->body_hash;
	code = sink->propose(sink->ctx, &rec, &done);
	if (code != CW_OK) {
		wait_destroy(wait);
		return RT_ELOG;
	}
	code = wait_for(wait, timeout_ms);
	if (code == CW_OK)
		return CW_OK;
	if (code == ST_EUNKNOWN) {
		release = make_pending(once, request, NULL);
		if (release != NULL)
			push_pending(route, release);
		return RT_ELOG;
	}
	if (code == ST_EUNAVAILABLE || code == ST_ENOTREADY ||
	    code == ST_EFULL || code == ST_ENOMEM)
		return RT_ELOG;
	/* A repeated append after a lost answer: the first one may be this. */
	if (code == ST_EREPEATED && is_own_intent(route, once, request))
		return CW_OK;
	rt_count(route, RT_COUNT_ONCE_CONFLICTS, 1);
	return RT_EINPROGRESS;
}

/*
 * Records the answer of a request that rt_once_begin allowed. Answers above
 * REC_ANSWER_BYTES_MAX keep their status only. The controller repeats the
 * record until it is applied.
 */
void
rt_once_end(struct rt_route *route, const struct rt_once *once,
    const struct rt_answer *answer, const struct st_sink *sink)
{
	struct rt_pending *pending =
	    make_pending(once, answer->request, answer);

	assert(answer->http_status != (int)STATUS_RELEASED);
	/* Without memory the key stays "unknown", which is true. */
	if (pending == NULL)
		return;
	propose_outcome(pending, sink, cw_clock_mono_ms());
	push_pending(route, pending);
}

/* Frees the key of a request that rt_once_begin allowed and that did not run
 * after all. */
void
rt_once_release(struct rt_route *route, const struct rt_once *once,
    uint64_t request, const struct st_sink *sink)
{
	struct rt_pending *pending = make_pending(once, request, NULL);

	if (pending == NULL)
		return;
	propose_outcome(pending, sink, cw_clock_mono_ms());
	push_pending(route, pending);
}

/* An outcome is settled when it is applied, or when its intent is not this
 * VM's or has been expired. A release waits for an intent that may come. */
static bool
is_settled(struct rt_route *route, struct rt_pending *pending, int64_t now_ms)
{
	const struct bd_request *row;
	bool settled;

	bd_read_begin();
	row = bd_request_lookup(route->board, pending->once.id);
	if (row == NULL)
		settled = pending->http_status != STATUS_RELEASED ||
		    pending->was_seen ||
		    now_ms - pending->since_ms > RELEASE_WATCH_MS;
	else
		settled = row->state == BD_REQUEST_DONE ||
		    row->request_id != pending->request ||
		    row->owner != route->settings.self;
	pending->was_seen |= row != NULL;
	bd_read_end();
	return settled;
}

/* Proposes outcomes again that are not applied yet. Returns when to run again
 * (ms, of the monotonic clock). */
int64_t
rt_once_step(struct rt_route *route, const struct st_sink *sink, int64_t now_ms)
{
	struct rt_pending *list = atomic_exchange(&route->pending_new, NULL);
	struct rt_pending **link;

	while (list != NULL) {
		struct rt_pending *next = list->next;

		list->next = route->pending;
		route->pending = list;
		list = next;
	}
	for (link = &route->pending; *link != NULL;) {
		struct rt_pending *pending = *link;

		if (is_settled(route, pending, now_ms)) {
			*link = pending->next;
			free(pending);
			continue;
		}
		if (pending->due_ms <= now_ms && pending->was_seen)
			propose_outcome(pending, sink, now_ms);
		link = &pending->next;
	}
	return now_ms + 500;
}

/* Frees what has not reached the log. */
void
rt_once_destroy(struct rt_route *route)
{
	struct rt_pending *lists[2] = {
	    atomic_exchange(&route->pending_new, NULL), route->pending};
	int i;

	for (i = 0; i < 2; i++)
		while (lists[i] != NULL) {
			struct rt_pending *next = lists[i]->next;

			free(lists[i]);
			lists[i] = next;
		}
}
