#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"
#include "relay.h"
#include "tombstone.h"
#include "watermark.h"

static struct bd_flow *copy_row(const struct bd_board *board, uint64_t id);
static int put_row(
    struct bd_board *board, struct bd_flow *flow, int64_t read_ms);
static void apply_final_state(struct bd_flow *flow);
static int put_compacted(
    struct bd_board *board, const struct bd_flow *row, int64_t read_ms);
static int apply_job(struct bd_board *board, const struct fw_record *record);
static int apply_progress(
    struct bd_board *board, const struct fw_record *record, uint64_t id);
static int delete_progress(
    struct bd_board *board, const struct fw_record *record, uint64_t id);
static void cancel_row(struct bd_flow *flow, int64_t wall_ms);
static int apply_cancel(
    struct bd_board *board, const struct fw_record *record, uint64_t id);
static void cancel_if_tombstone(
    const struct bd_board *board, struct bd_flow *flow);
static int apply_tombstone(
    struct bd_board *board, const struct fw_record *record);
static int apply_state(
    struct bd_board *board, const struct fw_record *record, uint64_t id);
static int64_t read_time(const struct fw_record *record);
static int apply_lease(
    struct bd_board *board, const struct fw_record *record, uint64_t id);

/* Returns a copy of a job's row, which the caller frees, or NULL if there is no
 * such job or no memory. */
static struct bd_flow *
copy_row(const struct bd_board *board, uint64_t id)
{
	const struct bd_flow *row;
	struct bd_flow *copy = NULL;

	bd_read_begin();
	row = bd_flow_lookup(board, id);
	if (row != NULL) {
		copy = malloc(fw_flow_bytes(row));
		if (copy != NULL)
			memcpy(copy, row, fw_flow_bytes(row));
	}
	bd_read_end();
	return copy;
}

/* Writes a job's row after a record that was received at read_ms, from when on
 * an ended job is kept for its time. */
static int
put_row(struct bd_board *board, struct bd_flow *flow, int64_t read_ms)
{
	if (flow->ended_ms == 0 &&
	    fw_flow_public_state(flow) >= BD_FLOW_COMPLETED)
		flow->ended_ms = read_ms;
	return bd_put(board, BD_TABLE_flow, BD_WRITER_FLOW, flow->id, flow,
	    fw_flow_bytes(flow), NULL);
}

/* Makes a final public state the state that decisions use as well: an end that
 * callers have seen is not reverted, and neither is a cancellation that was
 * stored before the end. */
static void
apply_final_state(struct bd_flow *flow)
{
	if (fw_flow_public_state(flow) >= BD_FLOW_COMPLETED)
		flow->state = fw_flow_public_state(flow);
}

/* Replaces the row of an ended job by its compacted row. */
static int
put_compacted(
    struct bd_board *board, const struct bd_flow *row, int64_t read_ms)
{
	struct bd_flow *compacted = fw_flow_compact(row);
	int code;

	if (compacted == NULL)
		return cw_error_set(
		    FW_ENOMEM, "out of memory while compacting a job");
	code = put_row(board, compacted, read_ms);
	free(compacted);
	return code;
}

/* Applies the first record of a job; retries by callers may append duplicates,
 * which are ignored. A compacted record means that the job has ended and none
 * of its tasks is running. */
static int
apply_job(struct bd_board *board, const struct fw_record *record)
{
	struct bd_flow *known;
	struct bd_flow *flow;
	int code;

	code = fw_job_decode(record->value, record->value_bytes, &flow);
	if (code != CW_OK)
		return code;
	known = copy_row(board, flow->id);
	if (known == NULL) {
		cancel_if_tombstone(board, flow);
		code = put_row(board, flow, record->read_ms);
	} else if (flow->compacted != 0 && known->compacted == 0)
		code = put_compacted(board, known, record->read_ms);
	free(known);
	free(flow);
	return code;
}

/* Applies progress. Ignores records older than the row's progress, which are
 * delivered again when a topic is reloaded. */
static int
apply_progress(
    struct bd_board *board, const struct fw_record *record, uint64_t id)
{
	struct bd_flow *flow = copy_row(board, id);
	int code = CW_OK;

	if (flow == NULL || record->offset + 1 < flow->epoch) {
		free(flow);
		return CW_OK;
	}
	if (flow->compacted == 0)
		code = fw_progress_decode(
		    record->value, record->value_bytes, &flow);
	flow->epoch = record->offset + 1;
	apply_final_state(flow);
	if (code == CW_OK)
		code = put_row(board, flow, record->read_ms);
	free(flow);
	return code;
}

/* Notes that the progress record of a job, whose job record has been compacted,
 * is deleted. */
static int
delete_progress(
    struct bd_board *board, const struct fw_record *record, uint64_t id)
{
	struct bd_flow *flow = copy_row(board, id);
	int code = CW_OK;

	if (flow != NULL) {
		flow->epoch = 0;
		code = put_row(board, flow, record->read_ms);
	}
	free(flow);
	return code;
}

/* Returns the wall time in ms that a record has as decimal text, 0: none. */
static int64_t
read_time(const struct fw_record *record)
{
	char text[24] = "";

	if (record->value_bytes < sizeof(text))
		memcpy(text, record->value, record->value_bytes);
	return strtoll(text, NULL, 10);
}

/* Cancels a job in a copy of its row. */
static void
cancel_row(struct bd_flow *flow, int64_t wall_ms)
{
	flow->cancelled = 1;
	if (flow->public_state < BD_FLOW_COMPLETED &&
	    wall_ms > flow->changed_ms)
		flow->changed_ms = wall_ms;
	apply_final_state(flow);
}

/* Applies a cancellation. Its value is its wall time in ms as decimal text. */
static int
apply_cancel(
    struct bd_board *board, const struct fw_record *record, uint64_t id)
{
	struct bd_flow *flow = copy_row(board, id);
	int64_t wall_ms = read_time(record);
	int code = CW_OK;

	if (flow != NULL && flow->cancelled == 0) {
		cancel_row(flow, wall_ms);
		code = put_row(board, flow, record->read_ms);
	}
	free(flow);
	return code;
}

/* Cancels a new job that has a tombstone. */
static void
cancel_if_tombstone(const struct bd_board *board, struct bd_flow *flow)
{
	const struct bd_tombstone *row;

	bd_read_begin();
	row = fw_tombstone_of(board, flow->id, flow->queue);
	if (row != NULL)
		cancel_row(flow, row->cancelled_ms);
	bd_read_end();
}

/* Applies a tombstone. Its job may have been stored just before it. */
static int
apply_tombstone(struct bd_board *board, const struct fw_record *record)
{
	const struct bd_tombstone *known;
	struct bd_tombstone row;
	struct bd_flow *flow;
	int code = fw_tombstone_parse(record, &row);

	if (code != CW_OK)
		return code;
	bd_read_begin();
	known = bd_tombstone_lookup(board, row.id);
	if (known != NULL && known->offset == row.offset)
		row.read_ms = known->read_ms;
	bd_read_end();
	code = bd_put(board, BD_TABLE_tombstone, BD_WRITER_FLOW, row.id, &row,
	    sizeof(row), NULL);
	if (code != CW_OK)
		return code;
	flow = copy_row(board, row.id);
	if (flow != NULL && flow->queue == row.queue && flow->cancelled == 0) {
		cancel_row(flow, row.cancelled_ms);
		code = put_row(board, flow, record->read_ms);
	}
	free(flow);
	return code;
}

/* Applies a public state, which only advances. A cancellation that was stored
 * before the end of the job takes precedence over the end. */
static int
apply_state(struct bd_board *board, const struct fw_record *record, uint64_t id)
{
	struct bd_flow *flow = copy_row(board, id);
	uint32_t before;
	int code;

	if (flow == NULL || fw_flow_public_state(flow) >= BD_FLOW_COMPLETED) {
		free(flow);
		return CW_OK;
	}
	before = flow->public_state;
	code = fw_state_decode(record->value, record->value_bytes, flow);
	apply_final_state(flow);
	if (code == CW_OK && flow->public_state > before)
		code = put_row(board, flow, record->read_ms);
	free(flow);
	return code;
}

/*
 * Resets the progress of jobs that have no record in a complete load of the
 * progress topic: this VM read their progress while it was the placer before,
 * and the records have been deleted since. Call after fw_snapshot_ids_end.
 */
void
fw_progress_reset_missing(
    struct bd_board *board, const struct fw_snapshot_ids *snapshot)
{
	const struct bd_flow *row;
	uint32_t cursor = 0;

	bd_read_begin();
	while ((row = bd_flow_next(board, &cursor)) != NULL) {
		struct bd_flow *copy;

		if (row->epoch == 0 ||
		    fw_snapshot_ids_contain(snapshot, row->id))
			continue;
		copy = copy_row(board, row->id);
		if (copy == NULL) {
			ev_emit(EV_FLOW_NO_MEMORY, "what=job");
			continue;
		}
		memset(fw_flow_tasks(copy), 0,
		    fw_flow_task_count(copy) * sizeof(struct bd_step_task));
		copy->checkpoint_bytes = 0;
		copy->epoch = 0;
		copy->state = fw_flow_public_state(copy);
		if (put_row(board, copy, 0) != CW_OK)
			ev_emit(EV_FLOW_RECORD_BAD, "key=p/%s reason=\"%s\"",
			    copy->name, cw_error_last());
		free(copy);
	}
	bd_read_end();
}

/* Applies the end of a worker's last lease, see last_lease.c. */
static int
apply_lease(struct bd_board *board, const struct fw_record *record, uint64_t id)
{
	struct bd_last_lease row = {.id = id,
	    .offset = record->offset,
	    .left_ms = fw_lease_record_left_ms(record)};

	return bd_put(board, BD_TABLE_last_lease, BD_WRITER_FLOW, id, &row,
	    sizeof(row), NULL);
}

/* Removes the ends of leases that have no record in a complete load of the
 * progress topic. Call after fw_snapshot_ids_end. */
void
fw_leases_reset_missing(
    struct bd_board *board, const struct fw_snapshot_ids *snapshot)
{
	const struct bd_last_lease *row;
	uint32_t cursor = 0;

	bd_read_begin();
	while ((row = bd_last_lease_next(board, &cursor)) != NULL)
		if (!fw_snapshot_ids_contain(snapshot, row->id))
			bd_remove(board, BD_TABLE_last_lease, BD_WRITER_FLOW,
			    row->id);
	bd_read_end();
}

/*
 * Applies one record to the tables of jobs, of tombstones, of the ends of
 * leases, of watermarks or of VMs; applying it again has no effect. Returns
 * FW_EBADRECORD for a malformed record, in which case the table is unchanged,
 * or a status code of the board.
 */
int
fw_record_apply(struct bd_board *board, const struct fw_record *record)
{
	bool deleted = record->value == NULL;
	uint64_t id;

	if (record->key[0] == '\0' || record->key[1] != '/' ||
	    !fw_flow_id_parse(record->key + 2, &id))
		return cw_error_set(FW_EBADRECORD,
		    "key %s contains no valid job name", record->key);
	switch (record->key[0]) {
	case FW_RECORD_JOB:
		if (!deleted)
			return apply_job(board, record);
		bd_remove(board, BD_TABLE_flow, BD_WRITER_FLOW, id);
		return CW_OK;
	case FW_RECORD_PROGRESS:
		return deleted ? delete_progress(board, record, id)
			       : apply_progress(board, record, id);
	case FW_RECORD_CANCEL:
		return deleted ? CW_OK : apply_cancel(board, record, id);
	case FW_RECORD_STATE:
		return deleted ? CW_OK : apply_state(board, record, id);
	case FW_RECORD_LEASE:
		if (!deleted)
			return apply_lease(board, record, id);
		bd_remove(board, BD_TABLE_last_lease, BD_WRITER_FLOW, id);
		return CW_OK;
	case FW_RECORD_TOMBSTONE:
		if (!deleted)
			return apply_tombstone(board, record);
		bd_remove(board, BD_TABLE_tombstone, BD_WRITER_FLOW, id);
		return CW_OK;
	case FW_RECORD_WATERMARK:
		return deleted ? CW_OK : fw_watermark_apply(board, record);
	case FW_RECORD_PEER:
		return fw_peer_apply(board, record, id);
	default:
		return cw_error_set(FW_EBADRECORD,
		    "key %s has an unknown record kind", record->key);
	}
}
