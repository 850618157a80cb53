#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"

static struct bd_flow *copy_row(const struct bd_board *board, uint64_t id);
static int put(struct bd_board *board, const struct bd_flow *flow);
static void settle_state(struct bd_flow *flow);
static int shrink(struct bd_board *board, const struct bd_flow *row);
static int apply_job(struct bd_board *board, const struct fw_record *record);
static int apply_progress(
    struct bd_board *board, const struct fw_record *record, uint64_t id);
static int drop_progress(struct bd_board *board, uint64_t id);
static int apply_cancel(
    struct bd_board *board, const struct fw_record *record, uint64_t id);
static int apply_state(
    struct bd_board *board, const struct fw_record *record, uint64_t id);

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

static int
put(struct bd_board *board, const struct bd_flow *flow)
{
	return bd_put(board, BD_TABLE_flow, BD_WRITER_FLOW, flow->id, flow,
	    fw_flow_bytes(flow), NULL);
}

/* What callers are told holds for decisions as well: an end that was shown is
 * final, and so is a cancel that was stored before. */
static void
settle_state(struct bd_flow *flow)
{
	if (fw_flow_shown(flow) >= BD_FLOW_COMPLETED)
		flow->state = fw_flow_shown(flow);
}

static int
shrink(struct bd_board *board, const struct bd_flow *row)
{
	struct bd_flow *small = fw_flow_shrink(row);
	int code;

	if (small == NULL)
		return cw_error_set(FW_ENOMEM, "no memory for a small job");
	code = put(board, small);
	free(small);
	return code;
}

/* The first record of a job counts; a caller's repetition may add others. A
 * small one says that the job has ended and nothing of it runs. */
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
	if (known == NULL)
		code = put(board, flow);
	else if (flow->shrunk != 0 && known->shrunk == 0)
		code = shrink(board, known);
	free(known);
	free(flow);
	return code;
}

/* Older progress than the row has may come again when a topic is read anew. */
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
	if (flow->shrunk == 0)
		code = fw_progress_decode(
		    record->value, record->value_bytes, flow);
	flow->epoch = record->offset + 1;
	settle_state(flow);
	if (code == CW_OK)
		code = put(board, flow);
	free(flow);
	return code;
}

/* Progress is dropped once the job's record is small. */
static int
drop_progress(struct bd_board *board, uint64_t id)
{
	struct bd_flow *flow = copy_row(board, id);
	int code = CW_OK;

	if (flow != NULL) {
		flow->epoch = 0;
		code = put(board, flow);
	}
	free(flow);
	return code;
}

static int
apply_cancel(
    struct bd_board *board, const struct fw_record *record, uint64_t id)
{
	struct bd_flow *flow = copy_row(board, id);
	char text[24] = "";
	int64_t wall_ms;
	int code = CW_OK;

	if (record->value_bytes < sizeof(text))
		memcpy(text, record->value, record->value_bytes);
	wall_ms = strtoll(text, NULL, 10);
	if (flow != NULL && flow->cancelled == 0) {
		flow->cancelled = 1;
		if (flow->shown < BD_FLOW_COMPLETED &&
		    wall_ms > flow->changed_ms)
			flow->changed_ms = wall_ms;
		settle_state(flow);
		code = put(board, flow);
	}
	free(flow);
	return code;
}

/* States only go on; a cancel that was stored first keeps its outcome. */
static int
apply_state(struct bd_board *board, const struct fw_record *record, uint64_t id)
{
	struct bd_flow *flow = copy_row(board, id);
	uint32_t before;
	int code;

	if (flow == NULL || fw_flow_shown(flow) >= BD_FLOW_COMPLETED) {
		free(flow);
		return CW_OK;
	}
	before = flow->shown;
	code = fw_state_decode(record->value, record->value_bytes, flow);
	settle_state(flow);
	if (code == CW_OK && flow->shown > before)
		code = put(board, flow);
	free(flow);
	return code;
}

/*
 * Takes back the progress of jobs that a reading of the newest progress does
 * not name: this VM had read it while it placed earlier, and it was dropped
 * since. Call after fw_seen_end.
 */
void
fw_progress_forget(struct bd_board *board, const struct fw_seen *seen)
{
	const struct bd_flow *row;
	uint32_t cursor = 0;

	bd_read_begin();
	while ((row = bd_flow_next(board, &cursor)) != NULL) {
		struct bd_flow *copy;

		if (row->epoch == 0 || fw_seen_has(seen, row->id))
			continue;
		copy = copy_row(board, row->id);
		if (copy == NULL) {
			ev_emit(EV_FLOW_NO_MEMORY, "what=job");
			continue;
		}
		memset(fw_flow_tasks(copy), 0,
		    fw_flow_task_count(copy) * sizeof(struct bd_step_task));
		copy->epoch = 0;
		copy->state = fw_flow_shown(copy);
		if (put(board, copy) != CW_OK)
			ev_emit(EV_FLOW_RECORD_BAD, "key=p/%s reason=\"%s\"",
			    copy->name, cw_error_last());
		free(copy);
	}
	bd_read_end();
}

/*
 * Applies one record about a job to the table of jobs. Records that come again
 * change nothing. Returns FW_EBADRECORD for a record that cannot be read, which
 * changes nothing, or a code of the board.
 */
int
fw_apply(struct bd_board *board, const struct fw_record *record)
{
	bool dropped = record->value == NULL;
	uint64_t id;

	if (record->key[0] == '\0' || record->key[1] != '/' ||
	    !fw_flow_id(record->key + 2, &id))
		return cw_error_set(
		    FW_EBADRECORD, "key %s names no job", record->key);
	switch (record->key[0]) {
	case FW_RECORD_JOB:
		if (!dropped)
			return apply_job(board, record);
		bd_remove(board, BD_TABLE_flow, BD_WRITER_FLOW, id);
		return CW_OK;
	case FW_RECORD_PROGRESS:
		return dropped ? drop_progress(board, id)
			       : apply_progress(board, record, id);
	case FW_RECORD_CANCEL:
		return dropped ? CW_OK : apply_cancel(board, record, id);
	case FW_RECORD_STATE:
		return dropped ? CW_OK : apply_state(board, record, id);
	default:
		return cw_error_set(
		    FW_EBADRECORD, "key %s has an unknown kind", record->key);
	}
}
