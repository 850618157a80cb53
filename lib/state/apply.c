#include <assert.h>
#include <stdlib.h>

#include "state_internal.h"

static int check_sequence(struct st_state *state, const struct rec *rec);
static int apply_batch_record(
    void *ctx, uint32_t index, int status, const struct rec *rec);

static int (*const apply_table[])(
    struct st_state *state, const struct rec *rec, uint64_t position) = {
    [REC_CONFIG] = st_apply_config,
    [REC_WORKER] = st_apply_worker,
    [REC_JOB_SUBMIT] = st_apply_job_submit,
    [REC_JOB_CANCEL] = st_apply_job_cancel,
    [REC_JOB_OWNER] = st_apply_job_owner,
    [REC_PLACE] = st_apply_place,
    [REC_GANG_STARTED] = st_apply_gang_started,
    [REC_GANG_ENDED] = st_apply_gang_ended,
    [REC_PREEMPT] = st_apply_preempt,
    [REC_CHECKPOINT] = st_apply_checkpoint,
    [REC_PLAN] = st_apply_plan,
    [REC_SHORT] = st_apply_short,
    [REC_DUTY] = st_apply_duty,
    [REC_QUARANTINE] = st_apply_quarantine,
    [REC_REQ_INTENT] = st_apply_req_intent,
    [REC_REQ_OUTCOME] = st_apply_req_outcome,
    [REC_REQ_EXPIRE] = st_apply_req_expire,
    [REC_JOB_EXPIRE] = st_apply_job_expire,
    [REC_JOB_CRASH] = st_apply_job_crash,
};

/*
 * Rejects a record that its writer has appended before (ST_EREPEATED) and
 * stores the sequence otherwise. A writer appends in order with one batch in
 * flight, so a lower or equal sequence is always a duplicate from a retried
 * append.
 */
static int
check_sequence(struct st_state *state, const struct rec *rec)
{
	struct bd_log_writer row = {0};

	if (st_row_copy(
		state, BD_TABLE_log_writer, rec->writer, &row, sizeof(row)) &&
	    rec->sequence <= row.sequence)
		return ST_EREPEATED;
	row.id = rec->writer;
	row.sequence = rec->sequence;
	row.last_ms = rec->time_ms;
	return st_row_put(
	    state, BD_TABLE_log_writer, row.id, &row, sizeof(row));
}

/* Creates a state on top of a board with empty tables. Returns CW_OK or
 * ST_ENOMEM. */
int
st_create(struct st_state **out, struct bd_board *board)
{
	struct st_state *state = calloc(1, sizeof(*state));

	assert(board != NULL);
	if (state == NULL)
		return cw_error_set(
		    ST_ENOMEM, "out of memory while creating the state");
	state->board = board;
	if (st_index_create(state) != CW_OK) {
		st_destroy(state);
		return cw_error_set(ST_ENOMEM,
		    "out of memory while creating the state's indexes");
	}
	*out = state;
	return CW_OK;
}

/* Frees the state but not its board. */
void
st_destroy(struct st_state *state)
{
	st_index_destroy(state);
	free(state);
}

/*
 * Applies one record. Returns CW_OK where it took effect, otherwise the reason
 * why it did not (ST_EREPEATED, ST_ESTALE, ST_EUNKNOWNKIND, ...), which is the
 * same on every VM.
 */
int
st_apply(struct st_state *state, const struct rec *rec, uint64_t position)
{
	int code;

	assert(position > atomic_load(&state->position));
	state->result_id = 0;
	code = check_sequence(state, rec);
	if (code == CW_OK) {
		state->result_id = position;
		if (rec->version > REC_VERSION ||
		    rec->kind >= sizeof(apply_table) / sizeof(*apply_table) ||
		    apply_table[rec->kind] == NULL) {
			atomic_fetch_add(&state->unknown_kinds, 1);
			code = ST_EUNKNOWNKIND;
		} else {
			bd_change_begin(state->board);
			code = apply_table[rec->kind](state, rec, position);
			bd_change_end(state->board);
		}
	}
	atomic_store(&state->position, position);
	return code;
}

/*
 * Returns the id that the outcome of the last record refers to: the record's
 * position; for a JOB_SUBMIT whose key is in use the id of the job that was
 * submitted first; 0 for a record that its writer had appended before.
 */
uint64_t
st_result_id(const struct st_state *state)
{
	return state->result_id;
}

/* The entry of the log whose records are being applied. */
struct entry_context {
	struct st_state *state;
	uint64_t offset;
	const struct st_observer *observer;
};

static int
apply_batch_record(void *ctx, uint32_t index, int status, const struct rec *rec)
{
	struct entry_context *entry = ctx;
	struct st_state *state = entry->state;
	uint64_t position = st_position_make(entry->offset, index + 1);

	if (status == ST_EMALFORMED) {
		atomic_fetch_add(&state->malformed, 1);
		atomic_store(&state->position, position);
		ev_emit(EV_STATE_RECORD_MALFORMED, "offset=%llu index=%u",
		    (unsigned long long)entry->offset, index);
		return CW_OK;
	}
	status = st_apply(state, rec, position);
	if (status == ST_EUNKNOWNKIND)
		ev_emit(EV_STATE_KIND_UNKNOWN,
		    "offset=%llu index=%u kind=%u version=%u",
		    (unsigned long long)entry->offset, index, rec->kind,
		    rec->version);
	if (entry->observer != NULL)
		entry->observer->applied(entry->observer->ctx, rec, status,
		    position, state->result_id);
	return CW_OK;
}

/*
 * Applies one entry of the log, which must be the next one. Malformed records
 * are counted and skipped. observer may be NULL.
 */
void
st_apply_entry(struct st_state *state, uint64_t offset, const void *data,
    size_t bytes, const struct st_observer *observer)
{
	struct entry_context entry = {state, offset, observer};
	struct rec_sink sink = {apply_batch_record, &entry};

	assert(offset == st_next_offset(state));
	if (rec_batch_decode(data, bytes, &sink) != CW_OK) {
		atomic_fetch_add(&state->malformed, 1);
		ev_emit(EV_STATE_RECORD_MALFORMED, "offset=%llu bytes=%zu",
		    (unsigned long long)offset, bytes);
	}
	atomic_store(
	    &state->position, st_position_make(offset, REC_POSITION_INDEX_END));
}

/* Returns the position of a record; index counts from 1. */
uint64_t
st_position_make(uint64_t offset, uint32_t index)
{
	return offset << REC_POSITION_INDEX_BITS | index;
}

/* Returns the offset of the first entry of the log that was not applied yet. */
uint64_t
st_next_offset(const struct st_state *state)
{
	uint64_t position = st_position(state);

	return position == 0 ? 0 : (position >> REC_POSITION_INDEX_BITS) + 1;
}

/* Returns the position of the last record processed. After an entry was applied
 * this is the last position possible in it. */
uint64_t
st_position(const struct st_state *state)
{
	return atomic_load(&((struct st_state *)state)->position);
}

/* Returns the digest of all tables that are derived from the log. */
uint64_t
st_digest(const struct st_state *state)
{
	return atomic_load(&((struct st_state *)state)->digest);
}

/* Returns the number of records and entries skipped as malformed. */
uint64_t
st_malformed_count(const struct st_state *state)
{
	return atomic_load(&((struct st_state *)state)->malformed);
}

/* Returns the number of records skipped for an unknown kind or version. */
uint64_t
st_unknown_kind_count(const struct st_state *state)
{
	return atomic_load(&((struct st_state *)state)->unknown_kinds);
}

/* Returns the job that an account submitted with a key, 0 where there is none.
 * Must be called by the thread that applies records. */
uint64_t
st_job_by_key(struct st_state *state, uint64_t account, const char *submit_key)
{
	return st_index_job_by_key(state, account, submit_key);
}
