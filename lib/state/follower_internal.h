#ifndef CAMPHOR_FOLLOWER_INTERNAL_H
#define CAMPHOR_FOLLOWER_INTERNAL_H

#include <pthread.h>

#include "state_internal.h"

/* Raw entries of the log that are kept for peers, oldest first. */
struct st_kept {
	uint64_t offset;
	size_t bytes;
	unsigned char *data;
};

#define ST_KEPT_MAX 4096
#define ST_DIGESTS_MAX 64

struct st_tail {
	struct st_kept ring[ST_KEPT_MAX];
	uint32_t first;
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
	/* Held while records are applied; everything below is under it. */
	pthread_mutex_t lock;
	pthread_cond_t changed;
	pthread_t thread;
	bool running;
	bool stop;
	struct st_tail tail;
	/* Digests after the latest entries, for comparison with peers. */
	struct {
		uint64_t position;
		uint64_t digest;
	} digests[ST_DIGESTS_MAX];
	uint32_t digest_next;
	int64_t contact_ms;
	int64_t confirmed_ms;
	int64_t backoff_ms;
	bool log_lost;
	bool ready;
	bool rebuild_wanted;
	int64_t rebuild_after_ms;
	uint64_t rebuilds;
	uint64_t tail_bytes;
	int64_t tail_since_ms; /* 0: no entry since the last snapshot */
};

int64_t st_follower_now(const struct st_follower *follower);
void st_follower_note_digest(struct st_follower *follower);
void st_follower_snapshot_known(struct st_follower *follower);
int st_follower_rebuild(struct st_follower *follower);

void st_tail_add(
    struct st_tail *tail, uint64_t offset, const void *data, size_t bytes);
void st_tail_clear(struct st_tail *tail);
int st_tail_read(const struct st_tail *tail, uint64_t from, size_t bytes_max,
    const struct pf_log_sink *sink);

#endif
