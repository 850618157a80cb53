#include "state_internal.h"

static bool writer_is_expired(const void *row, int64_t before_ms);

static bool
writer_is_expired(const void *row, int64_t before_ms)
{
	return ((const struct bd_log_writer *)row)->last_ms < before_ms;
}

/* Removes the sequences of writers without a record since before_ms. This is
 * safe because a restarted VM draws a new incarnation, so that an old writer
 * does not return. */
void
st_expire_writers(struct st_state *state, int64_t before_ms)
{
	st_expire_rows(
	    state, BD_TABLE_log_writer, writer_is_expired, before_ms);
}

/* DUTY: acquires, transfers or releases a duty. Returns ST_ESTALE where the
 * owner has changed since the record was proposed. */
int
st_apply_duty(struct st_state *state, const struct rec *rec, uint64_t position)
{
	const struct rec_duty *body = &rec->body.duty;
	struct bd_duty row = {0};

	if (body->duty == 0 || body->duty >= BD_DUTY_END)
		return ST_EREJECTED;
	st_row_copy(state, BD_TABLE_duty, body->duty, &row, sizeof(row));
	if (row.epoch != body->epoch)
		return ST_ESTALE;
	row.id = body->duty;
	row.owner = body->owner;
	row.epoch = position;
	row.since_ms = rec->time_ms;
	return st_row_put(state, BD_TABLE_duty, row.id, &row, sizeof(row));
}
