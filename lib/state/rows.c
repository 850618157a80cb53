#include <assert.h>
#include <string.h>

#include "state_internal.h"

/* Returns a row's contribution to the digest. Unused bytes and padding of rows
 * are zero, so equal rows have equal bytes. A worker that has not shrunk has
 * the hash of earlier versions, whose rows end before most_cores_milli. */
uint64_t
st_row_hash(enum bd_table_number table, const void *row, size_t bytes)
{
	const struct bd_worker *worker = row;

	if (table == BD_TABLE_worker && worker->is_shrunk == 0)
		bytes = offsetof(struct bd_worker, most_cores_milli);
	return cw_hash(row, bytes, (uint64_t)table + 1);
}

/* Copies the first bytes of a row, without its flexible array. Returns whether
 * the row exists. */
bool
st_row_copy(struct st_state *state, enum bd_table_number table, uint64_t id,
    void *row, size_t bytes)
{
	const void *current;

	bd_read_begin();
	current = bd_lookup(state->board, table, id, NULL);
	if (current != NULL)
		memcpy(row, current, bytes);
	bd_read_end();
	return current != NULL;
}

/* Adds or replaces a row of a table that is derived from the log. Returns
 * CW_OK, ST_EFULL or ST_ENOMEM. */
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

/* Removes a row of a table that is derived from the log. Returns ST_EREJECTED
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

/* Removes the rows of a table for which is_expired returns true. Linear in the
 * table. */
void
st_expire_rows(struct st_state *state, enum bd_table_number table,
    bool (*is_expired)(const void *row, int64_t before_ms), int64_t before_ms)
{
	const void *row;
	uint32_t cursor = 0;

	bd_read_begin();
	while ((row = bd_next(state->board, table, &cursor, NULL)) != NULL)
		if (is_expired(row, before_ms))
			/* Each row type of these tables starts with its id. */
			st_row_remove(state, table, *(const uint64_t *)row);
	bd_read_end();
}
