#include <assert.h>
#include <errno.h>
#include <stdlib.h>
#include <time.h>

#include "follower_internal.h"

#define BACKOFF_FIRST_MS 50
#define BACKOFF_MAX_MS 2000
/* An empty read that comes back at once is not repeated at once. */
#define EMPTY_READ_MS 20
/* Two VMs that differ rebuild once each, not in a loop. */
#define REBUILD_EVERY_MS 60000

struct read_context {
	struct st_follower *follower;
	uint32_t entries;
	size_t bytes;
	int64_t sent_ms;
};

static void tell_observers(void *ctx, const struct rec *rec, int status,
    uint64_t position, uint64_t subject);
static int take_entry(
    void *ctx, uint64_t offset, const void *data, size_t bytes);
static int load_snapshot(struct st_follower *follower);
static int64_t take_result(struct st_follower *follower, int code,
    const struct read_context *context, uint32_t wait_ms);
static void wait_for(struct st_follower *follower, int64_t wait_ms);
static void *run_follower(void *arg);

/* Creates a follower over a state, without a thread. Returns ST_ENOMEM. */
int
st_follower_create(struct st_follower **out, struct st_state *state,
    const struct pf_log *log, const struct ctl_clock *clock,
    const struct st_follower_options *options)
{
	struct st_follower *follower = calloc(1, sizeof(*follower));
	pthread_condattr_t attr;

	assert(options->poll_ms > 0);
	if (follower == NULL)
		return cw_error_set(ST_ENOMEM, "no memory for the follower");
	follower->state = state;
	follower->log = *log;
	follower->clock = *clock;
	follower->options = *options;
	follower->backoff_ms = BACKOFF_FIRST_MS;
	pthread_mutex_init(&follower->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&follower->changed, &attr);
	pthread_condattr_destroy(&attr);
	*out = follower;
	return CW_OK;
}

/* Frees a follower that is stopped; the state stays. */
void
st_follower_destroy(struct st_follower *follower)
{
	assert(!follower->running);
	st_tail_clear(&follower->tail);
	pthread_cond_destroy(&follower->changed);
	pthread_mutex_destroy(&follower->lock);
	free(follower);
}

/* Adds an observer of applied records. Call before the follower starts. */
void
st_follower_observe(
    struct st_follower *follower, const struct st_observer *observer)
{
	assert(!follower->running);
	assert(follower->observer_count < ST_OBSERVERS_MAX);
	follower->observers[follower->observer_count++] = *observer;
}

/* Returns the present time in ms. */
int64_t
st_follower_now(const struct st_follower *follower)
{
	return follower->clock.now_ms(follower->clock.ctx);
}

static void
tell_observers(void *ctx, const struct rec *rec, int status, uint64_t position,
    uint64_t subject)
{
	const struct st_follower *follower = ctx;
	uint32_t i;

	for (i = 0; i < follower->observer_count; i++)
		follower->observers[i].applied(
		    follower->observers[i].ctx, rec, status, position, subject);
}

/* Remembers the digest at the present position. */
void
st_follower_note_digest(struct st_follower *follower)
{
	uint32_t at = follower->digest_next++ % ST_DIGESTS_MAX;

	follower->digests[at].position = st_position(follower->state);
	follower->digests[at].digest = st_digest(follower->state);
}

/* Starts counting the tail anew: a snapshot covers all before. */
void
st_follower_snapshot_known(struct st_follower *follower)
{
	follower->tail_bytes = 0;
	follower->tail_since_ms = 0;
}

/*
 * Applies an entry that came from a peer or the log. One that was applied
 * before is passed over. Returns ST_ENOTREADY where entries before it are
 * missing.
 */
int
st_follower_feed(struct st_follower *follower, uint64_t offset,
    const void *data, size_t bytes)
{
	struct st_observer observer = {tell_observers, follower};
	uint64_t next;
	int code = CW_OK;

	pthread_mutex_lock(&follower->lock);
	next = st_next_offset(follower->state);
	if (offset > next)
		code = ST_ENOTREADY;
	else if (offset == next) {
		st_apply_entry(follower->state, offset, data, bytes, &observer);
		st_tail_add(&follower->tail, offset, data, bytes);
		st_follower_note_digest(follower);
		follower->tail_bytes += bytes;
		if (follower->tail_since_ms == 0)
			follower->tail_since_ms = st_follower_now(follower);
		bd_notify(follower->state->board);
	}
	pthread_mutex_unlock(&follower->lock);
	return code;
}

static int
take_entry(void *ctx, uint64_t offset, const void *data, size_t bytes)
{
	struct read_context *context = ctx;

	context->entries++;
	context->bytes += bytes;
	return st_follower_feed(context->follower, offset, data, bytes);
}

/* Loads the newest snapshot where it is later than the present position. */
static int
load_snapshot(struct st_follower *follower)
{
	void *image;
	size_t bytes;
	int code = st_snapshot_read(&follower->log, &image, &bytes);

	if (code != CW_OK)
		return code;
	if (image == NULL)
		return ST_ENOTREADY;
	code = st_follower_image_load(follower, image, bytes);
	free(image);
	return code;
}

/*
 * Loads an image from a peer or the snapshot stream. Returns ST_ESTALE where
 * it is not later than the present position, ST_EMALFORMED where it is
 * damaged; the tables are then as before.
 */
int
st_follower_image_load(
    struct st_follower *follower, const void *data, size_t bytes)
{
	int code;

	pthread_mutex_lock(&follower->lock);
	code = st_image_load(follower->state, data, bytes, false);
	if (code == CW_OK) {
		/* The kept entries end before the image. */
		st_tail_clear(&follower->tail);
		st_follower_note_digest(follower);
		st_follower_snapshot_known(follower);
		ev_emit(EV_STATE_SNAPSHOT_LOADED,
		    "position=%llu digest=%016llx bytes=%zu",
		    (unsigned long long)st_position(follower->state),
		    (unsigned long long)st_digest(follower->state), bytes);
		bd_notify(follower->state->board);
	} else if (code != ST_ESTALE)
		ev_emit(
		    EV_STATE_SNAPSHOT_BAD, "code=%d bytes=%zu", code, bytes);
	pthread_mutex_unlock(&follower->lock);
	return code;
}

/* Encodes the tables as an image for a peer or the snapshot stream. The caller
 * frees *data. */
int
st_follower_image(struct st_follower *follower, void **data, size_t *bytes)
{
	int code;

	pthread_mutex_lock(&follower->lock);
	code = st_image_encode(follower->state, data, bytes);
	pthread_mutex_unlock(&follower->lock);
	return code;
}

/* Hands kept entries from an offset on to a sink; see st_tail_read. The sink
 * must not call the follower. */
int
st_follower_tail(struct st_follower *follower, uint64_t from, size_t bytes_max,
    const struct pf_log_sink *sink)
{
	int code;

	pthread_mutex_lock(&follower->lock);
	code = st_tail_read(&follower->tail, from, bytes_max, sink);
	pthread_mutex_unlock(&follower->lock);
	return code;
}

/*
 * Compares a peer's digest with that of this VM at the same position, where
 * that is among the latest. A difference makes this VM rebuild its tables; an
 * equal one makes it ready, also where it has never reached the log.
 */
void
st_follower_compare(
    struct st_follower *follower, uint64_t position, uint64_t digest)
{
	uint32_t i;

	pthread_mutex_lock(&follower->lock);
	for (i = 0; i < ST_DIGESTS_MAX; i++) {
		if (position == 0 || follower->digests[i].position != position)
			continue;
		if (follower->digests[i].digest == digest) {
			follower->ready = true;
			continue;
		}
		if (follower->rebuild_wanted ||
		    follower->rebuild_after_ms > st_follower_now(follower))
			continue;
		follower->rebuild_wanted = true;
		ev_emit(EV_STATE_DIGEST_DIFFERS,
		    "position=%llu own=%016llx peer=%016llx",
		    (unsigned long long)position,
		    (unsigned long long)follower->digests[i].digest,
		    (unsigned long long)digest);
	}
	pthread_mutex_unlock(&follower->lock);
}

/* Makes the follower rebuild its tables from a snapshot before its next read:
 * most peers have another digest at the same position. */
void
st_follower_rebuild_want(struct st_follower *follower)
{
	pthread_mutex_lock(&follower->lock);
	follower->rebuild_wanted = true;
	pthread_mutex_unlock(&follower->lock);
}

/* Deals with the status of a read; returns how long (ms) to wait. */
static int64_t
take_result(struct st_follower *follower, int code,
    const struct read_context *context, uint32_t wait_ms)
{
	int64_t now_ms = st_follower_now(follower);
	int64_t delay = 0;

	pthread_mutex_lock(&follower->lock);
	if (code == CW_OK) {
		if (follower->log_lost)
			ev_emit(EV_STATE_LOG_BACK, "out_of_reach_ms=%lld",
			    (long long)(now_ms - follower->contact_ms));
		follower->log_lost = false;
		follower->backoff_ms = BACKOFF_FIRST_MS;
		/* An answer is cut only where one more entry would pass its
		 * limit of at least two entries of the largest size. */
		if (context->bytes < PF_LOG_ENTRY_BYTES_MAX)
			follower->confirmed_ms = context->sent_ms;
		if (context->entries == 0) {
			follower->ready = true;
			if (wait_ms > EMPTY_READ_MS &&
			    now_ms - follower->contact_ms < EMPTY_READ_MS)
				delay = EMPTY_READ_MS;
		}
		follower->contact_ms = now_ms;
	} else {
		if (!follower->log_lost)
			ev_emit(EV_STATE_LOG_LOST, "code=%d status=\"%s\"",
			    code, pf_status_name(code));
		follower->log_lost = true;
		delay = follower->backoff_ms;
		follower->backoff_ms *= 2;
		if (follower->backoff_ms > BACKOFF_MAX_MS)
			follower->backoff_ms = BACKOFF_MAX_MS;
	}
	pthread_mutex_unlock(&follower->lock);
	return delay;
}

/*
 * Reads the log once, waiting up to wait_ms for records, and applies what
 * comes. Loads a snapshot where the records have expired. Returns how many ms
 * to wait before the next step.
 */
int64_t
st_follower_step(struct st_follower *follower, uint32_t wait_ms)
{
	struct read_context context = {follower, 0, 0, 0};
	struct pf_log_sink sink = {take_entry, &context};
	bool rebuild;
	uint64_t from;
	int code;

	pthread_mutex_lock(&follower->lock);
	rebuild = follower->rebuild_wanted &&
	    follower->rebuild_after_ms <= st_follower_now(follower);
	if (rebuild)
		follower->rebuild_after_ms =
		    st_follower_now(follower) + REBUILD_EVERY_MS;
	from = st_next_offset(follower->state);
	pthread_mutex_unlock(&follower->lock);
	if (rebuild)
		st_follower_rebuild(follower);
	context.sent_ms = st_follower_now(follower);
	code = follower->log.read(
	    follower->log.ctx, ST_STREAM, from, wait_ms, &sink);
	if (code == PF_EEXPIRED) {
		ev_emit(EV_STATE_LOG_EXPIRED, "offset=%llu",
		    (unsigned long long)from);
		if (load_snapshot(follower) == CW_OK)
			return 0;
	}
	return take_result(follower, code, &context, wait_ms);
}

/*
 * Loads the newest complete snapshot and reads the tail to its present end.
 * Returns ST_EUNAVAILABLE where the log is out of reach; a peer's image may
 * serve then.
 */
int
st_follower_recover(struct st_follower *follower)
{
	struct st_follower_status status;
	int code = load_snapshot(follower);

	if (code == ST_EUNAVAILABLE)
		return code;
	do {
		st_follower_step(follower, 0);
		st_follower_status_get(follower, &status);
	} while (!status.ready && !status.log_lost);
	if (!status.ready)
		return cw_error_set(ST_EUNAVAILABLE,
		    "the log went out of reach during recovery");
	return CW_OK;
}

/* Blocks for a time, or until a rebuild or a stop is wanted. */
static void
wait_for(struct st_follower *follower, int64_t wait_ms)
{
	struct timespec until;

	cw_clock_deadline(wait_ms, &until);
	pthread_mutex_lock(&follower->lock);
	while (!follower->stop)
		if (pthread_cond_timedwait(&follower->changed, &follower->lock,
			&until) == ETIMEDOUT)
			break;
	pthread_mutex_unlock(&follower->lock);
}

static void *
run_follower(void *arg)
{
	struct st_follower *follower = arg;
	bool stop = false;

	while (!stop) {
		int64_t delay =
		    st_follower_step(follower, follower->options.poll_ms);

		if (delay > 0)
			wait_for(follower, delay);
		pthread_mutex_lock(&follower->lock);
		stop = follower->stop;
		pthread_mutex_unlock(&follower->lock);
	}
	return NULL;
}

/* Starts the follower's thread. Returns ST_ENOMEM where there is none. */
int
st_follower_start(struct st_follower *follower)
{
	assert(!follower->running);
	if (pthread_create(&follower->thread, NULL, run_follower, follower) !=
	    0)
		return cw_error_set(ST_ENOMEM, "no thread for the follower");
	follower->running = true;
	return CW_OK;
}

/* Stops the thread after its present read, which lasts up to poll_ms. */
void
st_follower_stop(struct st_follower *follower)
{
	if (!follower->running)
		return;
	pthread_mutex_lock(&follower->lock);
	follower->stop = true;
	pthread_cond_signal(&follower->changed);
	pthread_mutex_unlock(&follower->lock);
	pthread_join(follower->thread, NULL);
	follower->running = false;
	follower->stop = false;
}

/* Stores where the follower stands. */
void
st_follower_status_get(
    struct st_follower *follower, struct st_follower_status *status)
{
	pthread_mutex_lock(&follower->lock);
	status->position = st_position(follower->state);
	status->digest = st_digest(follower->state);
	status->contact_ms = follower->contact_ms;
	status->confirmed_ms = follower->confirmed_ms;
	status->log_lost = follower->log_lost;
	status->ready = follower->ready;
	status->malformed = st_malformed(follower->state);
	status->unknown_kinds = st_unknown_kinds(follower->state);
	status->rebuilds = follower->rebuilds;
	status->tail_bytes = follower->tail_bytes;
	pthread_mutex_unlock(&follower->lock);
}
