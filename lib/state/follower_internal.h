#ifndef CAMPHOR_FOLLOWER_INTERNAL_H
#define CAMPHOR_FOLLOWER_INTERNAL_H

#include <pthread.h>

#include "state_internal.h"

/* A copy of a log entry as it was read. */
struct st_tail_entry {
	uint64_t offset;
	size_t bytes;
	unsigned char *data;
};

#define ST_TAIL_ENTRIES_MAX 4096
#define ST_DIGESTS_MAX 64 /* entries for which digests can be compared */

/* Ring buffer of the latest log entries, from which peers catch up. */
struct st_tail {
	struct st_tail_entry ring[ST_TAIL_ENTRIES_MAX];
	uint32_t first; /* index of the oldest entry */
	uint32_t count;
	size_t bytes;
};

struct st_follower {
	struct st_state *state;
	struct pf_log log;
	struct ctl_clock clock;
	struct st_follower_options options;
	struct st_observer observers[ST_OBSERVERS_MAX];
	uint32_t observer_count;
	/* Held while records are applied; guards all fields below. */
	pthread_mutex_t lock;
	pthread_cond_t changed; /* signalled when stop is set */
	pthread_t thread;
	bool running;
	bool stop;
	struct st_tail tail;
	/* Ring buffer of the digests after the latest entries, for comparison
	 * with those of peers. */
	struct {
		uint64_t position;
		uint64_t digest;
	} digests[ST_DIGESTS_MAX];
	uint32_t digest_next;
	int64_t last_contact_ms; /* last successful read */
	int64_t confirmed_ms; /* start of the last read that reached the end */
	uint64_t confirmed_reads; /* that reached the end */
	int64_t backoff_ms;       /* delay after the next failed read */
	bool log_unreachable;
	bool ready;
	bool rebuild_requested;
	int64_t rebuild_after_ms; /* earliest time of the next rebuild */
	uint64_t rebuilds;
	/* Of the entries applied since the last known snapshot: their size,
	 * and the time of the first one (0: none). */
	uint64_t bytes_since_snapshot;
	int64_t first_since_snapshot_ms;
};

int64_t st_follower_now(const struct st_follower *follower);
void st_follower_digest_record(struct st_follower *follower);
void st_follower_snapshot_counters_reset(struct st_follower *follower);
int st_follower_rebuild(struct st_follower *follower);

void st_tail_add(
    struct st_tail *tail, uint64_t offset, const void *data, size_t bytes);
void st_tail_clear(struct st_tail *tail);
int st_tail_read(const struct st_tail *tail, uint64_t from, size_t bytes_max,
    const struct pf_log_sink *sink);

#endif
