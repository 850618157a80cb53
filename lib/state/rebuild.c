#include <stdlib.h>

#include "follower_internal.h"

/* Rounds of reading up to a position that peers may move on meanwhile. */
#define ROUNDS_MAX 1000

/* Tables that are built anew beside those in use. */
struct shadow {
	struct bd_board *board;
	struct st_state *state;
	uint64_t until; /* offset to stop at */
};

static int replay_entry(
    void *ctx, uint64_t offset, const void *data, size_t bytes);
static int load_basis(struct st_follower *follower, struct shadow *shadow);
static int swap_if_level(struct st_follower *follower, struct shadow *shadow);
static int build(struct st_follower *follower, struct shadow *shadow);

static int
replay_entry(void *ctx, uint64_t offset, const void *data, size_t bytes)
{
	struct shadow *shadow = ctx;

	if (offset >= shadow->until || offset != st_next_offset(shadow->state))
		return ST_ENOTREADY; /* ends the read */
	st_apply_entry(shadow->state, offset, data, bytes, NULL);
	return CW_OK;
}

/* Starts from the newest snapshot, or from the first record where there is no
 * snapshot. One that is later than the present position is loaded as it is. */
static int
load_basis(struct st_follower *follower, struct shadow *shadow)
{
	void *image;
	size_t bytes;
	int code = st_snapshot_read(&follower->log, &image, &bytes);

	if (code == CW_OK && image != NULL)
		code = st_image_load(shadow->state, image, bytes, false);
	free(image);
	return code;
}

/* Replaces the tables once the new ones have reached their position. Returns
 * ST_ENOTREADY where they have not. */
static int
swap_if_level(struct st_follower *follower, struct shadow *shadow)
{
	uint64_t before;
	void *image = NULL;
	size_t bytes;
	uint32_t i;
	int code = ST_ENOTREADY;

	pthread_mutex_lock(&follower->lock);
	shadow->until = st_next_offset(follower->state);
	if (st_next_offset(shadow->state) >= shadow->until) {
		before = st_digest(follower->state);
		code = st_image_encode(shadow->state, &image, &bytes);
		if (code == CW_OK)
			code =
			    st_image_load(follower->state, image, bytes, true);
		if (code == CW_OK) {
			for (i = 0; i < ST_DIGESTS_MAX; i++)
				follower->digests[i].position = 0;
			st_follower_note_digest(follower);
			follower->rebuild_wanted = false;
			follower->rebuilds++;
			ev_emit(EV_STATE_REBUILT, "position=%llu changed=%d",
			    (unsigned long long)st_position(follower->state),
			    st_digest(follower->state) != before);
			bd_notify(follower->state->board);
		}
	}
	pthread_mutex_unlock(&follower->lock);
	free(image);
	return code;
}

static int
build(struct st_follower *follower, struct shadow *shadow)
{
	struct pf_log_sink sink = {replay_entry, shadow};
	uint64_t next;
	int rounds;
	int code = load_basis(follower, shadow);

	for (rounds = 0; rounds < ROUNDS_MAX && code == CW_OK; rounds++) {
		code = swap_if_level(follower, shadow);
		if (code != ST_ENOTREADY)
			return code;
		next = st_next_offset(shadow->state);
		code = follower->log.read(
		    follower->log.ctx, ST_STREAM, next, 0, &sink);
		/* The read may end with the sink's refusal. */
		if (st_next_offset(shadow->state) > next)
			code = CW_OK;
		else if (code == CW_OK)
			code = PF_EUNREACHABLE;
	}
	return code;
}

/*
 * Builds the tables anew from the newest snapshot and the records after it,
 * and replaces the present ones at their own position, so that no reader sees
 * an older configuration meanwhile. Returns the status of the log or of the
 * load; the tables are then as before.
 */
int
st_follower_rebuild(struct st_follower *follower)
{
	struct shadow shadow = {0};
	int code = bd_board_create(&shadow.board);

	if (code == CW_OK)
		code = st_create(&shadow.state, shadow.board);
	if (code == CW_OK)
		code = build(follower, &shadow);
	if (code != CW_OK)
		ev_emit(EV_STATE_REBUILD_FAILED, "code=%d", code);
	if (shadow.state != NULL)
		st_destroy(shadow.state);
	if (shadow.board != NULL)
		bd_board_destroy(shadow.board);
	return code;
}
