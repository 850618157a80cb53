#include <assert.h>
#include <stddef.h>

#include "fleet.h"

static bool is_able(const struct bd_member *member);
static uint32_t rank_of(
    const struct bd_board *board, uint64_t duty, uint64_t self);
static int64_t free_since(
    const struct bd_board *board, const struct bd_duty *duty);
static int decide_one(const struct bd_board *board, uint64_t number,
    uint64_t self, int64_t now_ms, const struct st_sink *sink,
    int64_t *next_ms);

static bool
is_able(const struct bd_member *member)
{
	return member != NULL && member->state == BD_MEMBER_ALIVE;
}

/* Rendezvous hashing: how many live members go before this one. */
static uint32_t
rank_of(const struct bd_board *board, uint64_t duty, uint64_t self)
{
	uint64_t own = cw_id_from_pair(duty, self);
	const struct bd_member *member;
	uint32_t cursor = 0;
	uint32_t rank = 0;

	while ((member = bd_member_next(board, &cursor)) != NULL)
		if (member->id != self && is_able(member) &&
		    cw_id_from_pair(duty, member->id) > own)
			rank++;
	return rank;
}

/* Returns since when (ms) the duty has no able holder, -1 where it has one. */
static int64_t
free_since(const struct bd_board *board, const struct bd_duty *duty)
{
	const struct bd_member *holder;

	if (duty == NULL || duty->owner == 0)
		return 0;
	holder = bd_member_lookup(board, duty->owner);
	if (is_able(holder))
		return -1;
	return holder == NULL ? 0 : holder->heard_ms;
}

static int
decide_one(const struct bd_board *board, uint64_t number, uint64_t self,
    int64_t now_ms, const struct st_sink *sink, int64_t *next_ms)
{
	const struct bd_duty *duty = bd_duty_lookup(board, number);
	int64_t since = free_since(board, duty);
	struct rec rec = {0};
	int64_t due;

	if (since < 0)
		return CW_OK;
	due = since +
	    (int64_t)rank_of(board, number, self) * FL_DUTY_RANK_DELAY_MS;
	if (due > now_ms) {
		if (due < *next_ms)
			*next_ms = due;
		return CW_OK;
	}
	rec.kind = REC_DUTY;
	rec.body.duty.duty = number;
	rec.body.duty.owner = self;
	rec.body.duty.epoch = duty == NULL ? 0 : duty->epoch;
	return sink->propose(sink->ctx, &rec, NULL);
}

/*
 * Claims the duties whose holder is missing, suspect, dead or leaving. self is
 * this VM's incarnation, which must be an able member. Lowers *next_ms (ms) to
 * the time of the next claim. Returns the sink's status.
 */
int
fl_duty_decide(const struct bd_board *board, uint64_t self, int64_t now_ms,
    const struct st_sink *sink, int64_t *next_ms)
{
	uint64_t number;
	int code = CW_OK;

	assert(sink != NULL && next_ms != NULL);
	bd_read_begin();
	if (is_able(bd_member_lookup(board, self)))
		for (number = 1; number < BD_DUTY_LIMIT && code == CW_OK;
		     number++)
			code = decide_one(
			    board, number, self, now_ms, sink, next_ms);
	bd_read_end();
	return code;
}

/* Tells whether this VM holds a duty by the records applied so far. */
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
