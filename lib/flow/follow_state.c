#include "follow_internal.h"

/* What other controllers may know of a follower, and its interval. */

/* The store counts as unreachable when an answer is late by this much. It
 * answers within a few ms, or within a few hundred ms while it is slow. */
#define ANSWER_OVERDUE_MS 700
/* A copy that was never read has a larger age. */
#define AGE_KNOWN_MAX_MS (INT64_MAX / 4)

/* Returns whether the load is complete. */
bool
fw_follower_loaded(const struct fw_follower *follower)
{
	return atomic_load(&((struct fw_follower *)follower)->loaded);
}

/* Returns the offset of the next record to be read. */
uint64_t
fw_follower_position(const struct fw_follower *follower)
{
	return atomic_load(&((struct fw_follower *)follower)->position);
}

/* Returns whether the store is unreachable from this process: the last read has
 * failed, or the answer to the pending one is overdue. */
bool
fw_follower_stalled(const struct fw_follower *follower, int64_t now_ms)
{
	struct fw_follower *writable = (struct fw_follower *)follower;

	return atomic_load(&writable->read_failed) ||
	    now_ms - atomic_load(&writable->read_sent_ms) >
	    (int64_t)follower->spec.wait_ms + ANSWER_OVERDUE_MS;
}

/* Returns an age as it is written to logs and metrics: -1 for a copy that was
 * never read. */
int64_t
fw_age_shown_ms(int64_t age_ms)
{
	return age_ms > AGE_KNOWN_MAX_MS ? -1 : age_ms;
}

/* Returns the age of this process's copy of the topic in ms: the time since the
 * last read that reached the end of the log was sent. */
int64_t
fw_follower_age_ms(const struct fw_follower *follower, int64_t now_ms)
{
	return now_ms -
	    atomic_load(&((struct fw_follower *)follower)->synced_ms);
}

/* Sets the minimum time between two reads. */
void
fw_follower_set_read_interval(
    struct fw_follower *follower, uint32_t read_interval_ms)
{
	atomic_store(&follower->read_interval_ms, read_interval_ms);
}
