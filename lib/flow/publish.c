#include <stdlib.h>

#include "flow_internal.h"
#include "relay.h"
#include "tombstone.h"
#include "watermark.h"

/* Time between two publications of newly running jobs; ended jobs are published
 * at once. Each batch ends the pending reads of all VMs. */
#define RUNNING_PUBLISH_MS 300
/* Largest number of ended jobs that one batch compacts or deletes. */
#define CLEANUP_MAX 16

static bool has_begun(
    const struct fw_tables *tables, const struct bd_flow *row);
static bool is_stale(
    const struct fw_tables *tables, const struct bd_flow *row, bool running);
static int add_state(struct fw_writer *writer, const struct bd_flow *row);
static int add_compacted(struct fw_writer *writer, const struct bd_flow *row);
static int add_deletion(struct fw_writer *writer, const struct bd_flow *row);
static bool was_restarted(const struct bd_flow *row);
static int add_cleanup(struct fw_placer *placer, const struct bd_flow *row,
    int64_t boot_ms, uint32_t *changes_left);

/* Returns whether a task of a job has begun, as far as is known: a worker has
 * accepted or listed a run of it, or it has ended by itself. */
static bool
has_begun(const struct fw_tables *tables, const struct bd_flow *row)
{
	const struct bd_step_task *tasks = fw_flow_tasks(row);
	uint32_t count = fw_flow_task_count(row);
	uint32_t i;

	for (i = 0; i < count; i++) {
		uint32_t found;

		if (tasks[i].state == BD_STEP_TASK_DONE ||
		    tasks[i].failures > 0)
			return true;
		if (tasks[i].run == 0)
			continue;
		found = fw_run_find(tables, row->id, i, tasks[i].run);
		if (found != FW_NONE &&
		    (tables->runs[found].phase == FW_PHASE_RUNNING ||
			tables->runs[found].last_listed_ms != 0))
			return true;
	}
	return false;
}

/* Returns whether the public state of a job has to be updated to the state that
 * is stored with its progress. A job that was placed is shown as running once a
 * task has begun. running: also if the job has not ended. */
static bool
is_stale(
    const struct fw_tables *tables, const struct bd_flow *row, bool running)
{
	if (row->cancelled != 0 || row->public_state >= BD_FLOW_COMPLETED ||
	    row->public_state == row->state)
		return false;
	return fw_flow_ended(row) || (running && has_begun(tables, row));
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

/* Adds the compacted record of an ended job, which replaces its record. */
static int
add_compacted(struct fw_writer *writer, const struct bd_flow *row)
{
	struct bd_flow *copy = fw_flow_compact(row);
	size_t bytes;
	void *value;
	int code;

	if (copy == NULL)
		return cw_error_set(
		    FW_ENOMEM, "out of memory while compacting a job");
	code = fw_job_encode(copy, &value, &bytes);
	free(copy);
	if (code != CW_OK)
		return code;
	return fw_writer_add(writer, FW_RECORD_JOB, row->name, value, bytes);
}

/* Adds the deletion of all records of a job in the jobs topic. */
static int
add_deletion(struct fw_writer *writer, const struct bd_flow *row)
{
	int code = fw_writer_add(writer, FW_RECORD_CANCEL, row->name, NULL, 0);

	if (code == CW_OK)
		code =
		    fw_writer_add(writer, FW_RECORD_STATE, row->name, NULL, 0);
	if (code == CW_OK)
		code = fw_writer_add(writer, FW_RECORD_JOB, row->name, NULL, 0);
	return code;
}

/* Returns whether a task of a job was placed more than once. */
static bool
was_restarted(const struct bd_flow *row)
{
	const struct bd_step_task *tasks = fw_flow_tasks(row);
	uint32_t count = fw_flow_task_count(row);
	uint32_t i;

	for (i = 0; i < count; i++)
		if (tasks[i].run > 1)
			return true;
	return false;
}

/* Compacts the record of an ended job once its last run is gone and no worker
 * lists one, and deletes it after the retention period. Where a task was
 * restarted, a worker that is cut off may still list the end of its former run,
 * which must not be acknowledged; only the whole record tells, so it is kept
 * longer. *changes_left limits the number of such changes.
 */
static int
add_cleanup(struct fw_placer *placer, const struct bd_flow *row,
    int64_t boot_ms, uint32_t *changes_left)
{
	struct fw_writer *writer = &placer->job_states;
	uint32_t retention_ms = placer->parts.settings.retention_ms;

	if (*changes_left == 0 ||
	    fw_flow_public_state(row) < BD_FLOW_COMPLETED ||
	    !fw_flow_drained(row))
		return CW_OK;
	if (row->compacted == 0) {
		if (was_restarted(row) &&
		    boot_ms - row->ended_ms <= (int64_t)retention_ms)
			return CW_OK;
		if (fw_flow_has_runs(&placer->tables, row))
			return CW_OK;
		--*changes_left;
		return add_compacted(writer, row);
	}
	if (row->epoch != 0 ||
	    boot_ms - row->ended_ms <=
		(int64_t)retention_ms + FW_RETENTION_MARGIN_MS)
		return CW_OK;
	--*changes_left;
	return add_deletion(writer, row);
}

/*
 * Publishes the states of jobs whose progress is stored, and cleans up the
 * records of ended jobs. Every VM follows the jobs topic, while only the placer
 * reads progress. Call within a read section, while the writer of the jobs
 * topic has no open batch.
 */
void
fw_publish_states(struct fw_placer *placer, int64_t now_ms)
{
	const struct fw_placer_parts *parts = &placer->parts;
	struct fw_writer *writer = &placer->job_states;
	bool running = now_ms - placer->published_ms >= RUNNING_PUBLISH_MS;
	int64_t wall_ms = parts->wall_ms(parts->ctx);
	uint32_t changes_left = CLEANUP_MAX;
	const struct bd_flow *row;
	uint32_t cursor = 0;
	int code = CW_OK;

	while (code == CW_OK &&
	    (row = bd_flow_next(parts->board, &cursor)) != NULL)
		code = is_stale(&placer->tables, row, running)
		    ? add_state(writer, row)
		    : add_cleanup(placer, row, placer->boot_ms, &changes_left);
	if (code == CW_OK)
		code = fw_peers_prune(writer, parts->board, wall_ms);
	if (code == CW_OK)
		code = fw_tombstones_prune(writer, parts->board,
		    placer->boot_ms, parts->settings.retention_ms);
	if (code == CW_OK)
		code = fw_watermark_add(placer, now_ms);
	if (code != CW_OK)
		ev_emit(EV_FLOW_NO_MEMORY, "what=state reason=\"%s\"",
		    cw_error_last());
	if (running)
		placer->published_ms = now_ms;
	if (writer->count > 0)
		fw_writer_send(writer, now_ms);
}
