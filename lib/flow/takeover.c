#include "flow_internal.h"

/* The first start of a run is sent within this time after its placement, unless
 * the job's row covers it. */
#define FIRST_START_MAX_MS 1000
/* A first start without an answer is noted in the job's row within this time
 * after the placement. */
#define START_NOTED_MS (FIRST_START_MAX_MS + FW_ORDER_TIMEOUT_MS + 500)
/* Wall clocks of VMs differ by less. */
#define CLOCK_SKEW_MAX_MS 2500

/* Returns whether a successor would know of a start of a run that is sent now
 * and not answered: from the end of late starts in the job's row, or from the
 * time of the placement. */
bool
fw_start_is_covered(
    const struct bd_flow *flow, const struct fw_run *run, int64_t wall_ms)
{
	int64_t placed_ms = fw_flow_tasks(flow)[run->index].changed_ms;

	if (!run->start_sent && wall_ms >= placed_ms &&
	    wall_ms <= placed_ms + FIRST_START_MAX_MS)
		return true;
	return wall_ms + FW_ORDER_LATE_MAX_MS <= flow->late_until_ms;
}

/*
 * Notes that an earlier placer may have had no answer to a start of a run, as
 * far as its job's row tells: late starts were stored after the placement, or
 * the run was placed so soon before the latest record that its first start may
 * not have been noted. It was sent once in that case.
 */
void
fw_assume_late_start(struct fw_placer *placer, struct fw_run *run,
    const struct bd_flow *flow, int64_t now_ms)
{
	const struct bd_step_task *task = &fw_flow_tasks(flow)[run->index];
	bool placed = task->state == BD_STEP_TASK_PLACED;
	int64_t sent_ms = flow->late_until_ms - FW_ORDER_LATE_MAX_MS;
	bool noted = !placed || sent_ms >= task->changed_ms;
	int64_t ago_ms;

	run->starts = noted ? 2 : 1;
	if (!noted)
		sent_ms =
		    placer->last_placed_ms - task->changed_ms < START_NOTED_MS
		    ? task->changed_ms + FIRST_START_MAX_MS
		    : 0;
	ago_ms = placer->parts.wall_ms(placer->parts.ctx) - sent_ms -
	    CLOCK_SKEW_MAX_MS;
	run->start_assumed = sent_ms > 0;
	run->uncertain_ms = ago_ms > 0 ? now_ms - ago_ms : now_ms;
}

/* Adds the ended run of a task that waits, if a start of it by an earlier
 * placer may be carried out late. */
void
fw_add_ended_run(struct fw_placer *placer, const struct bd_flow *flow,
    uint32_t index, int64_t now_ms)
{
	const struct bd_step_task *task = &fw_flow_tasks(flow)[index];
	uint32_t handle;

	if (task->run == 0 || flow->late_until_ms == 0)
		return;
	handle = fw_add_run(placer, flow, index, now_ms);
	if (handle == FW_NONE)
		return;
	fw_run_mark_ended(
	    &placer->tables.runs[handle], FW_END_LOST, FW_OVER_NOT_LISTED);
	if (!fw_run_holds_task(
		&placer->tables, &placer->tables.runs[handle], now_ms))
		fw_run_remove(&placer->tables, handle);
}

/* Returns the wall time of the latest placement in the rows of all jobs. */
int64_t
fw_last_placed_ms(const struct bd_board *board)
{
	const struct bd_flow *flow;
	uint32_t cursor = 0;
	int64_t latest_ms = 0;
	uint32_t i;

	while ((flow = bd_flow_next(board, &cursor)) != NULL) {
		const struct bd_step_task *tasks = fw_flow_tasks(flow);
		uint32_t count = fw_flow_task_count(flow);

		for (i = 0; i < count; i++)
			if (tasks[i].changed_ms > latest_ms)
				latest_ms = tasks[i].changed_ms;
	}
	return latest_ms;
}
