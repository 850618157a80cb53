#include "state_internal.h"

/* DUTY: takes, moves or gives up a duty. Stale where the duty has changed
 * hands since the record was decided. */
int
st_apply_duty(struct st_state *state, const struct rec *rec, uint64_t position)
{
	const struct rec_duty *body = &rec->body.duty;
	const struct bd_duty *present;
	struct bd_duty row = {0};

	if (body->duty == 0 || body->duty >= BD_DUTY_LIMIT)
		return ST_EREJECTED;
	bd_read_begin();
	present = bd_duty_lookup(state->board, body->duty);
	if (present != NULL)
		row = *present;
	bd_read_end();
	if (row.epoch != body->epoch)
		return ST_ESTALE;
	row.id = body->duty;
	row.owner = body->owner;
	row.epoch = position;
	row.since_ms = rec->time_ms;
	return st_row_put(state, BD_TABLE_duty, row.id, &row, sizeof(row));
}
