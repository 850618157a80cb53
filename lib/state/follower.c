#include <assert.h>
#include <errno.h>
#include <stdlib.h>
#include <time.h>

#include "follower_internal.h"

#define BACKOFF_FIRST_MS 50
#define BACKOFF_MAX_MS 2000
/* Delay after an empty read that returned without waiting, so that the loop
 * does not spin. */
#define EMPTY_READ_DELAY_MS 20
/* Keeps two VMs whose digests differ permanently from rebuilding in a loop. */
#define REBUILD_INTERVAL_MIN_MS 60000

/* What one read of the log returned, and when it was sent. */
struct read_context {
	struct st_follower *follower;
	uint32_t entries;
	size_t bytes; /* of these entries */
	int64_t sent_ms;
};

static void notify_observers(void *ctx, const struct rec *rec, int status,
    uint64_t position, uint64_t result_id);
static int apply_log_entry(
    void *ctx, uint64_t offset, const void *data, size_t bytes);
static int load_snapshot(struct st_follower *follower);
static int64_t handle_read_result(struct st_follower *follower, int code,
    const struct read_context *context, uint32_t wait_ms);
static void wait_for_stop(struct st_follower *follower, int64_t wait_ms);
static void *run_follower(void *arg);

/* Creates a follower that applies the log to state. Does not start its thread.
 * Returns CW_OK or ST_ENOMEM. */
int
st_follower_create(struct st_follower **out, struct st_state *state,
    const struct pf_log *log, const struct ctl_clock *clock,
    const struct st_follower_options *options)
{
	struct st_follower *follower = calloc(1, sizeof(*follower));
	pthread_condattr_t attr;

	assert(options->poll_ms > 0);
	if (follower == NULL)
		return cw_error_set(
		    ST_ENOMEM, "out of memory while creating the log follower");
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

/* Frees a stopped follower, but not its state. */
void
st_follower_destroy(struct st_follower *follower)
{
	assert(!follower->running);
	st_tail_clear(&follower->tail);
	pthread_cond_destroy(&follower->changed);
	pthread_mutex_destroy(&follower->lock);
	free(follower);
}

/* Registers an observer of applied records. Call before st_follower_start. */
void
st_follower_observer_add(
    struct st_follower *follower, const struct st_observer *observer)
{
	assert(!follower->running);
	assert(follower->observer_count < ST_OBSERVERS_MAX);
	follower->observers[follower->observer_count++] = *observer;
}

/* Returns the time of the follower's clock in ms. */
int64_t
st_follower_now(const struct st_follower *follower)
{
	return follower->clock.now_ms(follower->clock.ctx);
}

static void
notify_observers(void *ctx, const struct rec *rec, int status,
    uint64_t position, uint64_t result_id)
{
	const struct st_follower *follower = ctx;
	uint32_t i;

	for (i = 0; i < follower->observer_count; i++)
		follower->observers[i].applied(follower->observers[i].ctx, rec,
		    status, position, result_id);
}

/* Stores the digest at the current position for later comparison. Call with the
 * lock. */
void
st_follower_digest_record(struct st_follower *follower)
{
	uint32_t at = follower->digest_next++ % ST_DIGESTS_MAX;

	follower->digests[at].position = st_position(follower->state);
	follower->digests[at].digest = st_digest(follower->state);
}

/* Resets the size and age of the entries since the last snapshot. Call with the
 * lock, when a snapshot covers all entries so far. */
void
st_follower_snapshot_counters_reset(struct st_follower *follower)
{
	follower->bytes_since_snapshot = 0;
	follower->first_since_snapshot_ms = 0;
}

/*
 * Applies an entry received from a peer or the log. An entry that was applied
 * before is skipped. Returns CW_OK, or ST_ENOTREADY if entries before it are
 * missing.
 */
int
st_follower_entry_apply(struct st_follower *follower, uint64_t offset,
    const void *data, size_t bytes)
{
	struct st_observer observer = {notify_observers, follower};
	uint64_t next;
	int code = CW_OK;

	pthread_mutex_lock(&follower->lock);
	next = st_next_offset(follower->state);
	if (offset > next)
		code = ST_ENOTREADY;
	else if (offset == next) {
		st_apply_entry(follower->state, offset, data, bytes, &observer);
		st_tail_add(&follower->tail, offset, data, bytes);
		st_follower_digest_record(follower);
		follower->bytes_since_snapshot += bytes;
		if (follower->first_since_snapshot_ms == 0)
			follower->first_since_snapshot_ms =
			    st_follower_now(follower);
		bd_notify(follower->state->board);
	}
	pthread_mutex_unlock(&follower->lock);
	return code;
}

static int
apply_log_entry(void *ctx, uint64_t offset, const void *data, size_t bytes)
{
	struct read_context *context = ctx;

	context->entries++;
	context->bytes += bytes;
	return st_follower_entry_apply(context->follower, offset, data, bytes);
}

/* Loads the newest snapshot if it is later than the current position. Returns
 * ST_ENOTREADY if there is none, or the status of the read or the load. */
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
 * Loads an image from a peer or the snapshot stream. Returns ST_ESTALE if
 * it is not later than the current position, ST_EMALFORMED if it is damaged and
 * ST_ENOMEM if memory runs out; the tables are unchanged in the first two
 * cases.
 */
int
st_follower_image_load(
    struct st_follower *follower, const void *data, size_t bytes)
{
	int code;

	pthread_mutex_lock(&follower->lock);
	code = st_image_load(follower->state, data, bytes, false);
	if (code == CW_OK) {
		/* The tail ends before the image; the next entry would leave a
		 * gap. */
		st_tail_clear(&follower->tail);
		st_follower_digest_record(follower);
		st_follower_snapshot_counters_reset(follower);
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
 * frees *data. Returns CW_OK or ST_ENOMEM. */
int
st_follower_image_encode(
    struct st_follower *follower, void **data, size_t *bytes)
{
	int code;

	pthread_mutex_lock(&follower->lock);
	code = st_image_encode(follower->state, data, bytes);
	pthread_mutex_unlock(&follower->lock);
	return code;
}

/* Passes the entries of the tail from an offset on to a sink; see st_tail_read.
 * The sink runs under the follower's lock and must not call the follower. */
int
st_follower_tail_read(struct st_follower *follower, uint64_t from,
    size_t bytes_max, const struct pf_log_sink *sink)
{
	int code;

	pthread_mutex_lock(&follower->lock);
	code = st_tail_read(&follower->tail, from, bytes_max, sink);
	pthread_mutex_unlock(&follower->lock);
	return code;
}

/*
 * Compares a peer's digest with this VM's digest at the same position, if that
 * position is among the latest ST_DIGESTS_MAX. Different digests request a
 * rebuild of the tables. Equal digests make this VM ready, even if it has never
 * reached the log.
 */
void
st_follower_digest_compare(
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
		if (follower->rebuild_requested ||
		    follower->rebuild_after_ms > st_follower_now(follower))
			continue;
		follower->rebuild_requested = true;
		ev_emit(EV_STATE_DIGEST_DIFFERS,
		    "position=%llu own=%016llx peer=%016llx",
		    (unsigned long long)position,
		    (unsigned long long)follower->digests[i].digest,
		    (unsigned long long)digest);
	}
	pthread_mutex_unlock(&follower->lock);
}

/* Requests a rebuild of the tables from a snapshot before the next read. Used
 * when most peers have another digest at the same position. */
void
st_follower_rebuild_request(struct st_follower *follower)
{
	pthread_mutex_lock(&follower->lock);
	follower->rebuild_requested = true;
	pthread_mutex_unlock(&follower->lock);
}

/* Updates the follower after a read. Returns the delay (ms) before the next
 * read. */
static int64_t
handle_read_result(struct st_follower *follower, int code,
    const struct read_context *context, uint32_t wait_ms)
{
	int64_t now_ms = st_follower_now(follower);
	int64_t delay = 0;

	pthread_mutex_lock(&follower->lock);
	if (code == CW_OK) {
		if (follower->log_unreachable)
			ev_emit(EV_STATE_LOG_BACK, "out_of_reach_ms=%lld",
			    (long long)(now_ms - follower->last_contact_ms));
		follower->log_unreachable = false;
		follower->backoff_ms = BACKOFF_FIRST_MS;
		/* The log truncates an answer only if one more entry would
		 * exceed its size limit, which is at least twice the largest
		 * entry. A shorter answer has reached the end. */
		if (context->bytes < PF_LOG_ENTRY_BYTES_MAX) {
			follower->confirmed_ms = context->sent_ms;
			follower->confirmed_reads++;
		}
		if (context->entries == 0) {
			follower->ready = true;
			if (wait_ms > EMPTY_READ_DELAY_MS &&
			    now_ms - follower->last_contact_ms <
				EMPTY_READ_DELAY_MS)
				delay = EMPTY_READ_DELAY_MS;
		}
		follower->last_contact_ms = now_ms;
	} else {
		if (!follower->log_unreachable)
			ev_emit(EV_STATE_LOG_LOST, "code=%d status=\"%s\"",
			    code, pf_status_name(code));
		follower->log_unreachable = true;
		delay = follower->backoff_ms;
		follower->backoff_ms *= 2;
		if (follower->backoff_ms > BACKOFF_MAX_MS)
			follower->backoff_ms = BACKOFF_MAX_MS;
	}
	pthread_mutex_unlock(&follower->lock);
	return delay;
}

/*
 * Reads the log once, waiting up to wait_ms for entries, and applies them.
 * Loads a snapshot if the entries have expired. Rebuilds the tables first if
 * that was requested. Returns the delay (ms) before the next step.
 */
int64_t
st_follower_step(struct st_follower *follower, uint32_t wait_ms)
{
	struct read_context context = {follower, 0, 0, 0};
	struct pf_log_sink sink = {apply_log_entry, &context};
	bool rebuild;
	uint64_t from;
	int code;

	pthread_mutex_lock(&follower->lock);
	rebuild = follower->rebuild_requested &&
	    follower->rebuild_after_ms <= st_follower_now(follower);
	if (rebuild)
		follower->rebuild_after_ms =
		    st_follower_now(follower) + REBUILD_INTERVAL_MIN_MS;
	from = st_next_offset(follower->state);
	pthread_mutex_unlock(&follower->lock);
	if (rebuild)
		st_follower_rebuild(follower);
	context.sent_ms = st_follower_now(follower);
	code = follower->log.read(
	    follower->log.ctx, ST_RECORD_STREAM, from, wait_ms, &sink);
	if (code == PF_EEXPIRED) {
		ev_emit(EV_STATE_LOG_EXPIRED, "offset=%llu",
		    (unsigned long long)from);
		if (load_snapshot(follower) == CW_OK)
			return 0;
	}
	return handle_read_result(follower, code, &context, wait_ms);
}

/*
 * Loads the newest complete snapshot and applies the log up to its current
 * end. Returns ST_EUNAVAILABLE if the log is unreachable; the caller may
 * load a peer's image instead.
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
	} while (!status.ready && !status.log_unreachable);
	if (!status.ready)
		return cw_error_set(
		    ST_EUNAVAILABLE, "log became unreachable during recovery");
	return CW_OK;
}

/* Blocks for wait_ms or until the follower is stopped. */
static void
wait_for_stop(struct st_follower *follower, int64_t wait_ms)
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
			wait_for_stop(follower, delay);
		pthread_mutex_lock(&follower->lock);
		stop = follower->stop;
		pthread_mutex_unlock(&follower->lock);
	}
	return NULL;
}

/* Starts the follower's thread. Returns CW_OK, or ST_ENOMEM if it cannot be
 * created. */
int
st_follower_start(struct st_follower *follower)
{
	assert(!follower->running);
	if (pthread_create(&follower->thread, NULL, run_follower, follower) !=
	    0)
		return cw_error_set(
		    ST_ENOMEM, "cannot create the thread of the log follower");
	follower->running = true;
	return CW_OK;
}

/* Stops the thread and waits for it. A read in progress takes up to poll_ms. */
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

/* Copies the position, digest and counters of the follower to *status. */
void
st_follower_status_get(
    struct st_follower *follower, struct st_follower_status *status)
{
	pthread_mutex_lock(&follower->lock);
	status->position = st_position(follower->state);
	status->digest = st_digest(follower->state);
	status->last_contact_ms = follower->last_contact_ms;
	status->confirmed_ms = follower->confirmed_ms;
	status->confirmed_reads = follower->confirmed_reads;
	status->log_unreachable = follower->log_unreachable;
	status->ready = follower->ready;
	status->malformed = st_malformed_count(follower->state);
	status->unknown_kinds = st_unknown_kind_count(follower->state);
	status->rebuilds = follower->rebuilds;
	status->bytes_since_snapshot = follower->bytes_since_snapshot;
	pthread_mutex_unlock(&follower->lock);
}
