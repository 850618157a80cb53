#include <stdlib.h>
#include <string.h>

#include "config.h"
#include "state_internal.h"

static int compare_ids(const void *a, const void *b);
static int replace_rows(struct st_state *state, enum bd_table_number table,
    const void *rows, size_t count, size_t bytes);
static int put_config(struct st_state *state, const struct rec *rec,
    uint64_t position, const struct bd_config *global);

static int
compare_ids(const void *a, const void *b)
{
	uint64_t left = *(const uint64_t *)a;
	uint64_t right = *(const uint64_t *)b;

	return left < right ? -1 : left > right;
}

/* Replaces the contents of a table by the given rows, each of which starts with
 * its id. Unchanged rows are not written. */
static int
replace_rows(struct st_state *state, enum bd_table_number table,
    const void *rows, size_t count, size_t bytes)
{
	uint64_t *ids = malloc((count + 1) * sizeof(*ids));
	const char *row = rows;
	const void *current;
	uint32_t cursor = 0;
	size_t i;
	int code = CW_OK;

	if (ids == NULL)
		return ST_ENOMEM;
	for (i = 0; i < count; i++)
		memcpy(&ids[i], row + i * bytes, sizeof(*ids));
	qsort(ids, count, sizeof(*ids), compare_ids);
	bd_read_begin();
	while (
	    (current = bd_next(state->board, table, &cursor, NULL)) != NULL) {
		uint64_t id = *(const uint64_t *)current;

		if (bsearch(&id, ids, count, sizeof(*ids), compare_ids) == NULL)
			st_row_remove(state, table, id);
	}
	for (i = 0; i < count && code == CW_OK; i++, row += bytes) {
		uint64_t id;

		memcpy(&id, row, sizeof(id));
		current = bd_lookup(state->board, table, id, NULL);
		if (current == NULL || memcmp(current, row, bytes) != 0)
			code = st_row_put(state, table, id, row, bytes);
	}
	bd_read_end();
	free(ids);
	return code;
}

/* Writes the row of table config: the global settings of a parsed text, and the
 * text itself. */
static int
put_config(struct st_state *state, const struct rec *rec, uint64_t position,
    const struct bd_config *global)
{
	const struct rec_config *body = &rec->body.config;
	size_t bytes = sizeof(struct bd_config) + body->text_bytes;
	struct bd_config *row = malloc(bytes);
	int code;

	if (row == NULL)
		return ST_ENOMEM;
	*row = *global;
	row->version = body->base_version + 1;
	row->epoch = position;
	row->accepted_ms = rec->time_ms;
	memset(row->author, 0, sizeof(row->author));
	memcpy(row->author, body->author,
	    strnlen(body->author, sizeof(row->author) - 1));
	row->text_bytes = body->text_bytes;
	memcpy(row->text, body->text, body->text_bytes);
	code = st_row_put(state, BD_TABLE_config, BD_CONFIG_ID, row, bytes);
	free(row);
	return code;
}

/*
 * CONFIG: activates a configuration text. Returns ST_ECONFLICT where it is
 * based on another version than the active one, ST_EREJECTED where it cannot be
 * parsed. The sender has validated it, and parsing gives the same result on
 * every VM.
 */
int
st_apply_config(
    struct st_state *state, const struct rec *rec, uint64_t position)
{
	const struct rec_config *body = &rec->body.config;
	struct cfg_errors errors = {0};
	struct cfg_config *text = NULL;
	struct bd_config current = {0};
	int code;

	st_row_copy(
	    state, BD_TABLE_config, BD_CONFIG_ID, &current, sizeof(current));
	if (current.version != body->base_version)
		return ST_ECONFLICT;
	if (body->text_bytes > REC_CONFIG_TEXT_BYTES_MAX ||
	    cfg_config_parse(body->text, body->text_bytes, &text, &errors) !=
		CW_OK)
		return ST_EREJECTED;
	code = replace_rows(state, BD_TABLE_account, text->accounts,
	    text->account_count, sizeof(*text->accounts));
	if (code == CW_OK)
		code = replace_rows(state, BD_TABLE_service, text->services,
		    text->service_count, sizeof(*text->services));
	if (code == CW_OK)
		code = replace_rows(state, BD_TABLE_runner, text->runners,
		    text->runner_count, sizeof(*text->runners));
	if (code == CW_OK)
		code = st_promises_reconcile(
		    state, text->promises, text->promise_count, position);
	if (code == CW_OK)
		code = put_config(state, rec, position, &text->global);
	cfg_config_free(text);
	return code;
}
