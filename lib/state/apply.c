#include <assert.h>
#include <stdlib.h>

#include "state_internal.h"

static int check_sequence(struct st_state *state, const struct rec *rec);

static int (*const apply_table[])(
    struct st_state *state, const struct rec *rec, uint64_t position) = {
    [REC_DUTY] = st_apply_duty,
};

/*
 * Refuses a record that its writer has appended before and remembers the
 * sequence otherwise. A writer appends in order with one batch in flight, so a
 * lower or equal sequence is always a repetition.
 */
static int
check_sequence(struct st_state *state, const struct rec *rec)
{
	const struct bd_log_writer *known;
	struct bd_log_writer row = {0};

	bd_read_begin();
	known = bd_log_writer_lookup(state->board, rec->writer);
	if (known != NULL)
		row = *known;
	bd_read_end();
	if (known != NULL && rec->sequence <= row.sequence)
		return ST_EREPEATED;
	row.id = rec->writer;
	row.sequence = rec->sequence;
	row.last_ms = rec->time_ms;
	return st_row_put(
	    state, BD_TABLE_log_writer, row.id, &row, sizeof(row));
}

/* Creates the state over a board whose tables are empty. */
int
st_create(struct st_state **out, struct bd_board *board)
{
	struct st_state *state = calloc(1, sizeof(*state));

	assert(board != NULL);
	if (state == NULL)
		return cw_error_set(ST_ENOMEM, "no memory for the state");
	state->board = board;
	*out = state;
	return CW_OK;
}

/* Frees the state; the board stays. */
void
st_destroy(struct st_state *state)
{
	free(state);
}

/*
 * Applies one record. Returns CW_OK where it took effect, otherwise why it did
 * not (ST_EREPEATED, ST_ESTALE, ST_EUNKNOWNKIND, ...): every VM comes to the
 * same answer.
 */
int
st_apply(struct st_state *state, const struct rec *rec, uint64_t position)
{
	int code;

	assert(position > atomic_load(&state->position));
	code = check_sequence(state, rec);
	if (code == CW_OK) {
		if (rec->kind >= sizeof(apply_table) / sizeof(*apply_table) ||
		    apply_table[rec->kind] == NULL)
			code = ST_EUNKNOWNKIND;
		else
			code = apply_table[rec->kind](state, rec, position);
	}
	atomic_store(&state->position, position);
	return code;
}

/* Returns the position of the last record applied or rejected. */
uint64_t
st_position(const struct st_state *state)
{
	return atomic_load(&((struct st_state *)state)->position);
}

/* Returns the digest of all tables that follow from the log. */
uint64_t
st_digest(const struct st_state *state)
{
	return atomic_load(&((struct st_state *)state)->digest);
}
