#include <stdlib.h>

#include "follower_internal.h"

/* Limit on the reads until the shadow has caught up, as the live position may
 * advance meanwhile. */
#define CATCH_UP_ROUNDS_MAX 1000

/* A second set of tables that is built while the live ones stay in use. */
struct shadow {
	struct bd_board *board;
	struct st_state *state;
	uint64_t end_offset; /* of the first entry that is not replayed */
};

static int replay_entry(
    void *ctx, uint64_t offset, const void *data, size_t bytes);
static int load_snapshot(struct st_follower *follower, struct shadow *shadow);
static int swap_if_caught_up(
    struct st_follower *follower, struct shadow *shadow);
static int build_shadow(struct st_follower *follower, struct shadow *shadow);

static int
replay_entry(void *ctx, uint64_t offset, const void *data, size_t bytes)
{
	struct shadow *shadow = ctx;

	if (offset >= shadow->end_offset ||
	    offset != st_next_offset(shadow->state))
		return ST_ENOTREADY; /* stops the read */
	st_apply_entry(shadow->state, offset, data, bytes, NULL);
	return CW_OK;
}

/* Loads the newest snapshot into the shadow, even one that is later than the
 * live position. Without a snapshot the replay starts at the first record. */
static int
load_snapshot(struct st_follower *follower, struct shadow *shadow)
{
	void *image;
	size_t bytes;
	int code = st_snapshot_read(&follower->log, &image, &bytes);

	if (code == CW_OK && image != NULL)
		code = st_image_load(shadow->state, image, bytes, false);
	free(image);
	return code;
}

/* Replaces the live tables by the shadow if it has reached their position.
 * Returns ST_ENOTREADY, and updates end_offset, if it has not. */
static int
swap_if_caught_up(struct st_follower *follower, struct shadow *shadow)
{
	uint64_t digest_before;
	void *image = NULL;
	size_t bytes;
	uint32_t i;
	int code = ST_ENOTREADY;

	pthread_mutex_lock(&follower->lock);
	shadow->end_offset = st_next_offset(follower->state);
	if (st_next_offset(shadow->state) >= shadow->end_offset) {
		digest_before = st_digest(follower->state);
		code = st_image_encode(shadow->state, &image, &bytes);
		if (code == CW_OK)
			code =
			    st_image_load(follower->state, image, bytes, true);
		if (code == CW_OK) {
			for (i = 0; i < ST_DIGESTS_MAX; i++)
				follower->digests[i].position = 0;
			st_follower_digest_record(follower);
			follower->rebuild_requested = false;
			follower->rebuilds++;
			ev_emit(EV_STATE_REBUILT, "position=%llu changed=%d",
			    (unsigned long long)st_position(follower->state),
			    st_digest(follower->state) != digest_before);
			bd_notify(follower->state->board);
		}
	}
	pthread_mutex_unlock(&follower->lock);
	free(image);
	return code;
}

/* Loads the shadow, replays the log up to the live position and swaps. Returns
 * the status of the log or of the load. */
static int
build_shadow(struct st_follower *follower, struct shadow *shadow)
{
	struct pf_log_sink sink = {replay_entry, shadow};
	uint64_t next;
	int rounds;
	int code = load_snapshot(follower, shadow);

	for (rounds = 0; rounds < CATCH_UP_ROUNDS_MAX && code == CW_OK;
	     rounds++) {
		code = swap_if_caught_up(follower, shadow);
		if (code != ST_ENOTREADY)
			return code;
		next = st_next_offset(shadow->state);
		code = follower->log.read(
		    follower->log.ctx, ST_RECORD_STREAM, next, 0, &sink);
		/* The sink ends the read with an error at end_offset; the read
		 * has still made progress. */
		if (st_next_offset(shadow->state) > next)
			code = CW_OK;
		else if (code == CW_OK)
			code = PF_EUNREACHABLE;
	}
	return code;
}

/*
 * Builds a shadow of the tables from the newest snapshot and the records after
 * it, and replaces the live tables once the shadow has reached their position,
 * so that readers never see an older state. Returns the status of the log or of
 * the load on failure; the tables are unchanged then.
 */
int
st_follower_rebuild(struct st_follower *follower)
{
	struct shadow shadow = {0};
	int code = bd_board_create(&shadow.board);

	if (code == CW_OK)
		code = st_create(&shadow.state, shadow.board);
	if (code == CW_OK)
		code = build_shadow(follower, &shadow);
	if (code != CW_OK)
		ev_emit(EV_STATE_REBUILD_FAILED, "code=%d", code);
	if (shadow.state != NULL)
		st_destroy(shadow.state);
	if (shadow.board != NULL)
		bd_board_destroy(shadow.board);
	return code;
}
