#include <stdlib.h>
#include <string.h>

#include "state_internal.h"

/* Limit on the size of all stored answers, since a daemon may use 64 MB of
 * memory. Beyond it, outcomes are stored without their answer. */
#define ANSWERS_BYTES_MAX (16 * 1024 * 1024)

static bool request_is_expired(const void *row, int64_t before_ms);

/* REQ_INTENT: the first intent in the log may execute the request, later ones
 * get ST_ECONFLICT. */
int
st_apply_req_intent(
    struct st_state *state, const struct rec *rec, uint64_t position)
{
	const struct rec_req_intent *body = &rec->body.req_intent;
	struct bd_request row = {0};
	struct bd_account account;

	if (body->id == 0 || body->request_id == 0 ||
	    !st_row_copy(state, BD_TABLE_account, body->account, &account,
		sizeof(account)))
		return ST_EREJECTED;
	if (st_row_copy(state, BD_TABLE_request, body->id, &row, sizeof(row)))
		return ST_ECONFLICT;
	row.id = body->id;
	row.request_id = body->request_id;
	row.account = body->account;
	row.service = body->service;
	row.owner = body->owner;
	row.epoch = position;
	row.intent_ms = rec->time_ms;
	row.body_hash = body->body_hash;
	row.state = BD_REQUEST_INTENT;
	return st_row_put(state, BD_TABLE_request, row.id, &row, sizeof(row));
}

/*
 * REQ_OUTCOME: stores the answer of the request that holds the intent. Returns
 * ST_ESTALE for any other request id and after the first outcome. http_status 0
 * means that the request was not executed: its key may be used again.
 */
int
st_apply_req_outcome(
    struct st_state *state, const struct rec *rec, uint64_t position)
{
	const struct rec_req_outcome *body = &rec->body.req_outcome;
	struct bd_request *row;
	struct bd_request current;
	uint32_t kept_bytes = body->answer_bytes;
	int code;

	if (kept_bytes > REC_ANSWER_BYTES_MAX)
		return ST_EREJECTED;
	if (!st_row_copy(
		state, BD_TABLE_request, body->id, &current, sizeof(current)) ||
	    current.request_id != body->request_id ||
	    current.state != BD_REQUEST_INTENT)
		return ST_ESTALE;
	if (body->http_status == 0)
		return st_row_remove(state, BD_TABLE_request, body->id);
	if (state->total_answer_bytes + kept_bytes > ANSWERS_BYTES_MAX)
		kept_bytes = 0;
	row = malloc(sizeof(*row) + kept_bytes);
	if (row == NULL)
		return ST_ENOMEM;
	*row = current;
	row->epoch = position;
	row->state = BD_REQUEST_DONE;
	row->http_status = body->http_status;
	row->answer_bytes = kept_bytes;
	row->answer_dropped = kept_bytes != body->answer_bytes;
	if (kept_bytes > 0)
		memcpy(row->answer, body->answer, kept_bytes);
	code = st_row_put(
	    state, BD_TABLE_request, row->id, row, sizeof(*row) + kept_bytes);
	free(row);
	return code;
}

static bool
request_is_expired(const void *row, int64_t before_ms)
{
	return ((const struct bd_request *)row)->intent_ms < before_ms;
}

/* REQ_EXPIRE: removes at-most-once entries whose intent is older than
 * before_ms, and writers without a record since then. Linear in the tables. */
int
st_apply_req_expire(
    struct st_state *state, const struct rec *rec, uint64_t position)
{
	(void)position;
	st_expire_rows(state, BD_TABLE_request, request_is_expired,
	    rec->body.req_expire.before_ms);
	st_expire_writers(state, rec->body.req_expire.before_ms);
	return CW_OK;
}
