#include <stdlib.h>

#include "flow_internal.h"

/* A job that has begun is shown as running within this; one that has ended, at
 * once. Each batch wakes the reads of all VMs. */
#define RUNNING_SHOWN_MS 300
/* Records of ended jobs that one batch makes small or drops. */
#define SETTLED_MAX 16
/* Ended jobs are known for this much longer than promised, as clocks differ. */
#define KEEP_MARGIN_MS 60000

static bool is_due(const struct bd_flow *row, bool running);
static int add_state(struct fw_writer *writer, const struct bd_flow *row);
static int add_small(struct fw_writer *writer, const struct bd_flow *row);
static int add_drop(struct fw_writer *writer, const struct bd_flow *row);
static int add_settled(struct fw_writer *writer, const struct bd_flow *row,
    int64_t wall_ms, uint32_t keep_ms, uint32_t *left);

/* Tells whether callers are told another state than the one that is stored with
 * the job's progress. */
static bool
is_due(const struct bd_flow *row, bool running)
{
	if (row->cancelled != 0 || row->shown >= BD_FLOW_COMPLETED ||
	    row->shown == row->state)
		return false;
	return running || fw_flow_ended(row);
}

static int
add_state(struct fw_writer *writer, const struct bd_flow *row)
{
	size_t bytes;
	void *value;
	int code = fw_state_encode(row, &value, &bytes);

	if (code != CW_OK)
		return code;
	return fw_writer_add(writer, FW_RECORD_STATE, row->name, value, bytes);
}

/* Replaces the record of a job that has ended by a small one. */
static int
add_small(struct fw_writer *writer, const struct bd_flow *row)
{
	struct bd_flow *small = fw_flow_shrink(row);
	size_t bytes;
	void *value;
	int code;

	if (small == NULL)
		return cw_error_set(FW_ENOMEM, "no memory for a small job");
	code = fw_job_encode(small, &value, &bytes);
	free(small);
	if (code != CW_OK)
		return code;
	return fw_writer_add(writer, FW_RECORD_JOB, row->name, value, bytes);
}

static int
add_drop(struct fw_writer *writer, const struct bd_flow *row)
{
	int code = fw_writer_add(writer, FW_RECORD_CANCEL, row->name, NULL, 0);

	if (code == CW_OK)
		code =
		    fw_writer_add(writer, FW_RECORD_STATE, row->name, NULL, 0);
	if (code == CW_OK)
		code = fw_writer_add(writer, FW_RECORD_JOB, row->name, NULL, 0);
	return code;
}

/* A job that has ended is kept whole until its last run is gone. Then its
 * record is made small, and dropped once nobody may ask for it. */
static int
add_settled(struct fw_writer *writer, const struct bd_flow *row,
    int64_t wall_ms, uint32_t keep_ms, uint32_t *left)
{
	if (*left == 0 || fw_flow_shown(row) < BD_FLOW_COMPLETED ||
	    !fw_flow_settled(row))
		return CW_OK;
	if (row->shrunk == 0) {
		--*left;
		return add_small(writer, row);
	}
	if (row->epoch != 0 ||
	    wall_ms - row->changed_ms <= (int64_t)keep_ms + KEEP_MARGIN_MS)
		return CW_OK;
	--*left;
	return add_drop(writer, row);
}

/*
 * Writes what callers are told of jobs whose progress is stored, and makes the
 * records of ended ones small. Every VM reads these; progress is read by the
 * placer only. Call within a read section, with no batch of jobs open.
 */
void
fw_show(struct fw_placer *placer, int64_t now_ms)
{
	const struct fw_placer_parts *parts = &placer->parts;
	struct fw_writer *writer = &placer->shown;
	bool running = now_ms - placer->shown_ms >= RUNNING_SHOWN_MS;
	int64_t wall_ms = parts->wall_ms(parts->ctx);
	uint32_t left = SETTLED_MAX;
	const struct bd_flow *row;
	uint32_t cursor = 0;
	int code = CW_OK;

	while (code == CW_OK &&
	    (row = bd_flow_next(parts->board, &cursor)) != NULL)
		code = is_due(row, running)
		    ? add_state(writer, row)
		    : add_settled(
			  writer, row, wall_ms, parts->settings.keep_ms, &left);
	if (code != CW_OK)
		ev_emit(EV_FLOW_NO_MEMORY, "what=state reason=\"%s\"",
		    cw_error_last());
	if (running)
		placer->shown_ms = now_ms;
	if (writer->count > 0)
		fw_writer_send(writer, now_ms);
}
