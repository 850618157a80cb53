#include <assert.h>

#include "state_internal.h"

static uint64_t row_hash(
    enum bd_table_number table, const void *row, size_t bytes);
static uint64_t present_hash(
    struct st_state *state, enum bd_table_number table, uint64_t id);

/* Rows are plain bytes with unused ones zero, so the bytes are canonical. */
static uint64_t
row_hash(enum bd_table_number table, const void *row, size_t bytes)
{
	return cw_hash(row, bytes, (uint64_t)table + 1);
}

static uint64_t
present_hash(struct st_state *state, enum bd_table_number table, uint64_t id)
{
	const void *row;
	uint64_t hash = 0;

	bd_read_begin();
	row = bd_lookup(state->board, table, id, NULL);
	if (row != NULL)
		hash = row_hash(table, row, bd_row_bytes(row));
	bd_read_end();
	return hash;
}

/* Adds or replaces a row of a table that follows from the log. Returns
 * ST_EFULL or ST_ENOMEM. */
int
st_row_put(struct st_state *state, enum bd_table_number table, uint64_t id,
    const void *row, size_t bytes)
{
	uint64_t before = present_hash(state, table, id);
	int code =
	    bd_put(state->board, table, BD_WRITER_STATE, id, row, bytes, NULL);

	if (code == BD_EFULL)
		return ST_EFULL;
	if (code != CW_OK)
		return ST_ENOMEM;
	atomic_fetch_add(&state->digest, row_hash(table, row, bytes) - before);
	return CW_OK;
}

/* Removes a row of a table that follows from the log. Returns ST_EREJECTED
 * where there is none. */
int
st_row_remove(struct st_state *state, enum bd_table_number table, uint64_t id)
{
	uint64_t before = present_hash(state, table, id);

	if (bd_remove(state->board, table, BD_WRITER_STATE, id) != CW_OK)
		return ST_EREJECTED;
	atomic_fetch_sub(&state->digest, before);
	return CW_OK;
}
