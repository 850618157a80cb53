#include <assert.h>
#include <string.h>

#include "state_internal.h"

/* Returns a row's part of the digest. Rows are plain bytes with unused ones
 * zero, so the bytes are canonical. */
uint64_t
st_row_hash(enum bd_table_number table, const void *row, size_t bytes)
{
	return cw_hash(row, bytes, (uint64_t)table + 1);
}

/* Copies the fixed part of a row. Returns whether there is one. */
bool
st_row_copy(struct st_state *state, enum bd_table_number table, uint64_t id,
    void *row, size_t bytes)
{
	const void *present;

	bd_read_begin();
	present = bd_lookup(state->board, table, id, NULL);
	if (present != NULL)
		memcpy(row, present, bytes);
	bd_read_end();
	return present != NULL;
}

/* Adds or replaces a row of a table that follows from the log. Returns
 * ST_EFULL or ST_ENOMEM. */
int
st_row_put(struct st_state *state, enum bd_table_number table, uint64_t id,
    const void *row, size_t bytes)
{
	struct bd_handle handle;
	const void *before;
	uint64_t change;
	int code;

	bd_read_begin();
	before = bd_lookup(state->board, table, id, NULL);
	code = bd_put(
	    state->board, table, BD_WRITER_STATE, id, row, bytes, &handle);
	if (code == CW_OK) {
		change = st_row_hash(table, row, bytes);
		if (before != NULL)
			change -=
			    st_row_hash(table, before, bd_row_bytes(before));
		atomic_fetch_add(&state->digest, change);
		st_index_row_changed(state, table, before, row, handle.index);
	}
	bd_read_end();
	if (code == BD_EFULL)
		return ST_EFULL;
	return code == CW_OK ? CW_OK : ST_ENOMEM;
}

/* Removes a row of a table that follows from the log. Returns ST_EREJECTED
 * where there is none. */
int
st_row_remove(struct st_state *state, enum bd_table_number table, uint64_t id)
{
	struct bd_handle handle;
	const void *before;

	bd_read_begin();
	before = bd_lookup(state->board, table, id, &handle);
	if (before != NULL) {
		bd_remove(state->board, table, BD_WRITER_STATE, id);
		atomic_fetch_sub(&state->digest,
		    st_row_hash(table, before, bd_row_bytes(before)));
		st_index_row_changed(state, table, before, NULL, handle.index);
	}
	bd_read_end();
	return before == NULL ? ST_EREJECTED : CW_OK;
}

/* Removes the rows of a table for which is_old holds. Linear in the table. */
void
st_expire_rows(struct st_state *state, enum bd_table_number table,
    bool (*is_old)(const void *row, int64_t before_ms), int64_t before_ms)
{
	const void *row;
	uint32_t cursor = 0;

	bd_read_begin();
	while ((row = bd_next(state->board, table, &cursor, NULL)) != NULL)
		if (is_old(row, before_ms))
			/* Each row type of these tables starts with its id. */
			st_row_remove(state, table, *(const uint64_t *)row);
	bd_read_end();
}
