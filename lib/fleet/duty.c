#include <assert.h>
#include <stddef.h>

#include "fleet.h"

static int64_t vacant_since(const struct bd_board *board,
    const struct bd_member *self, const struct bd_duty *duty);
static int claim_if_vacant(const struct bd_board *board, uint64_t number,
    const struct bd_member *self, int64_t now_ms, const struct st_sink *sink,
    struct fl_claims *claims, int64_t *next_ms);

/* Returns how many eligible members rank before self for a key by rendezvous
 * hashing; 0 is the first rank. Call within a read section. */
uint32_t
fl_rendezvous_rank(const struct bd_board *board, uint64_t key, uint64_t self)
{
	uint64_t own = cw_id_from_pair(key, self);
	const struct bd_member *member;
	uint32_t cursor = 0;
	uint32_t rank = 0;

	while ((member = bd_member_next(board, &cursor)) != NULL)
		if (member->id != self && fl_member_is_eligible(member) &&
		    cw_id_from_pair(key, member->id) > own)
			rank++;
	return rank;
}

/*
 * Returns the time (ms) since which the duty has had no eligible holder, -1
 * where it has one. A VM that has just started or was paused may not have heard
 * from the holder yet: it treats an unknown holder as missing only after
 * FL_SUSPECT_AFTER_MS.
 */
static int64_t
vacant_since(const struct bd_board *board, const struct bd_member *self,
    const struct bd_duty *duty)
{
	const struct bd_member *holder;

	if (duty == NULL || duty->owner == 0)
		return self->since_ms + FL_SUSPECT_AFTER_MS;
	holder = bd_member_lookup(board, duty->owner);
	if (fl_member_is_eligible(holder))
		return -1;
	if (holder == NULL)
		return self->since_ms + FL_SUSPECT_AFTER_MS;
	return holder->since_ms;
}

/* Claims a duty once it has been vacant for the delay of this VM's rank. Lowers
 * *next_ms to the end of the delay. */
static int
claim_if_vacant(const struct bd_board *board, uint64_t number,
    const struct bd_member *self, int64_t now_ms, const struct st_sink *sink,
    struct fl_claims *claims, int64_t *next_ms)
{
	const struct bd_duty *duty = bd_duty_lookup(board, number);
	int64_t due = vacant_since(board, self, duty);
	struct rec rec = {0};

	if (due < 0)
		return CW_OK;
	due += (int64_t)fl_rendezvous_rank(board, number, self->id) *
	    FL_DUTY_RANK_DELAY_MS;
	if (due > now_ms) {
		if (due < *next_ms)
			*next_ms = due;
		return CW_OK;
	}
	rec.kind = REC_DUTY;
	rec.body.duty.duty = number;
	rec.body.duty.owner = self->id;
	rec.body.duty.epoch = duty == NULL ? 0 : duty->epoch;
	return fl_claim_propose(claims,
	    cw_id_from_pair(number, rec.body.duty.epoch), now_ms, sink, &rec);
}

/*
 * Claims the duties whose holder is missing, suspect, dead or leaving. self is
 * this VM's incarnation, which must be an eligible member. Lowers *next_ms (ms)
 * to the time of the next claim. Returns the sink's status.
 */
int
fl_duty_decide(const struct bd_board *board, uint64_t self, int64_t now_ms,
    const struct st_sink *sink, struct fl_claims *claims, int64_t *next_ms)
{
	const struct bd_member *row;
	uint64_t number;
	int code = CW_OK;

	assert(sink != NULL && claims != NULL && next_ms != NULL);
	bd_read_begin();
	row = bd_member_lookup(board, self);
	if (fl_member_is_eligible(row))
		for (number = 1; number < BD_DUTY_END && code == CW_OK;
		     number++)
			code = claim_if_vacant(
			    board, number, row, now_ms, sink, claims, next_ms);
	bd_read_end();
	return code;
}

/*
 * Releases every duty that this VM holds, for a graceful shutdown. Returns the
 * number still held according to the records applied so far, or the sink's
 * error.
 */
int
fl_duty_release(const struct bd_board *board, uint64_t self, int64_t now_ms,
    const struct st_sink *sink, struct fl_claims *claims)
{
	const struct bd_duty *duty;
	uint32_t cursor = 0;
	int held = 0;
	int code = CW_OK;

	assert(sink != NULL && claims != NULL);
	bd_read_begin();
	while (code == CW_OK && (duty = bd_duty_next(board, &cursor)) != NULL) {
		struct rec rec = {0};

		if (duty->owner != self)
			continue;
		held++;
		rec.kind = REC_DUTY;
		rec.body.duty.duty = duty->id;
		rec.body.duty.epoch = duty->epoch;
		code = fl_claim_propose(claims,
		    cw_id_from_pair(duty->id, duty->epoch), now_ms, sink, &rec);
	}
	bd_read_end();
	return code == CW_OK ? held : code;
}

/* Returns whether this VM holds a duty, according to the records applied so
 * far. */
bool
fl_duty_is_held(const struct bd_board *board, uint64_t duty, uint64_t self)
{
	const struct bd_duty *row;
	bool held;

	bd_read_begin();
	row = bd_duty_lookup(board, duty);
	held = row != NULL && row->owner == self;
	bd_read_end();
	return held;
}
