#include <stdlib.h>

#include "follower_internal.h"

/* Interval of the checks whether a snapshot is due; also the delay before a
 * failed write is retried. */
#define CHECK_INTERVAL_MS 10000

static bool is_snapshot_due(struct st_follower *follower, int64_t now_ms);

/* Returns whether the entries since the last snapshot exceed their limit of
 * bytes or age. A VM that has never caught up writes no snapshot. */
static bool
is_snapshot_due(struct st_follower *follower, int64_t now_ms)
{
	bool due;

	pthread_mutex_lock(&follower->lock);
	due = follower->ready && follower->first_since_snapshot_ms != 0 &&
	    (follower->bytes_since_snapshot >=
		    follower->options.snapshot_bytes ||
		now_ms - follower->first_since_snapshot_ms >=
		    follower->options.snapshot_age_ms);
	pthread_mutex_unlock(&follower->lock);
	return due;
}

/* Writes a snapshot if this VM holds the snapshot duty and one is due. Returns
 * the time (ms) of the next check. */
int64_t
st_snapshot_step(void *ctx, int64_t now_ms)
{
	struct st_snapshotter *snapshotter = ctx;
	struct st_follower *follower = snapshotter->follower;
	const struct bd_duty *duty;
	void *image = NULL;
	size_t bytes = 0;
	bool held;
	int code;

	bd_read_begin();
	duty = bd_duty_lookup(follower->state->board, BD_DUTY_SNAPSHOT);
	held = duty != NULL && duty->owner == snapshotter->self;
	bd_read_end();
	if (!held || !is_snapshot_due(follower, now_ms))
		return now_ms + CHECK_INTERVAL_MS;
	code = st_follower_image_encode(follower, &image, &bytes);
	if (code == CW_OK)
		code = st_snapshot_write(
		    &follower->log, cw_rng_entropy(), image, bytes);
	free(image);
	if (code != CW_OK) {
		ev_emit(
		    EV_STATE_SNAPSHOT_FAILED, "code=%d bytes=%zu", code, bytes);
		return now_ms + CHECK_INTERVAL_MS;
	}
	pthread_mutex_lock(&follower->lock);
	st_follower_snapshot_counters_reset(follower);
	pthread_mutex_unlock(&follower->lock);
	ev_emit(EV_STATE_SNAPSHOT_WRITTEN, "bytes=%zu", bytes);
	return now_ms + CHECK_INTERVAL_MS;
}
