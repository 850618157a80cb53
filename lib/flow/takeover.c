#include "flow_internal.h"
#include "watermark.h"

static bool first_start_is_settled(
    const struct bd_board *board, const struct bd_flow *flow);
static void assume_sent(const struct fw_placer *placer,
    const struct bd_flow *flow, struct fw_run *run, uint32_t starts,
    int64_t now_ms);

/* Returns whether the first starts of the runs that were placed with a job's
 * row have been answered. */
static bool
first_start_is_settled(const struct bd_board *board, const struct bd_flow *flow)
{
	return flow->stored_ms <= fw_settled_ms(board, flow->term);
}

/* Notes that an earlier placer may have had no answer to a start of a run, by
 * what the row of its job tells. It was sent before that placer's term ended.
 */
static void
assume_sent(const struct fw_placer *placer, const struct bd_flow *flow,
    struct fw_run *run, uint32_t starts, int64_t now_ms)
{
	const struct bd_step_task *task = &fw_flow_tasks(flow)[run->index];
	int64_t sent_ms;

	run->noted_offset = (task->late & BD_LATE_SINCE) != 0
	    ? task->late_offset
	    : flow->epoch - 1;
	run->noted_ms = starts > 1
	    ? task->late_ms
	    : FW_FIRST_START_MAX_MS + FW_ORDER_LATE_MAX_MS;
	sent_ms = now_ms -
	    fw_record_age_ms(
		placer->parts.board, run->noted_offset, placer->boot_ms) +
	    run->noted_ms - FW_ORDER_LATE_MAX_MS;
	run->starts = starts;
	run->start_assumed = true;
	run->uncertain_ms = sent_ms < now_ms ? sent_ms : now_ms;
}

/*
 * Notes that an earlier placer may have had no answer to a start of the latest
 * run of a task, as far as its row tells: such a start was noted, or the run
 * was placed so late in the term of its placer that its first start may not
 * have been. It was sent once in that case.
 */
void
fw_assume_late_start(struct fw_placer *placer, struct fw_run *run,
    const struct bd_flow *flow, int64_t now_ms)
{
	const struct bd_board *board = placer->parts.board;
	const struct bd_step_task *task = &fw_flow_tasks(flow)[run->index];

	run->starts = 1;
	if ((task->late & BD_LATE_LATEST) != 0)
		assume_sent(placer, flow, run, 2, now_ms);
	else if ((task->late & BD_LATE_FIRST) != 0 &&
	    !first_start_is_settled(board, flow))
		assume_sent(placer, flow, run, 1, now_ms);
}

/* Adds the run of a task that an earlier placer had no answer to a start of, if
 * that has ended and may be carried out late: the latest one if the task waits
 * or is done, else the one before. The run is on the same worker in each case.
 */
void
fw_add_ended_run(struct fw_placer *placer, const struct bd_flow *flow,
    uint32_t index, int64_t now_ms)
{
	const struct bd_step_task *task = &fw_flow_tasks(flow)[index];
	bool placed = task->state == BD_STEP_TASK_PLACED;
	uint32_t bit = placed ? BD_LATE_BEFORE : BD_LATE_LATEST;
	uint32_t number = placed ? task->run - 1 : task->run;
	uint32_t handle;
	struct fw_run *run;

	if ((task->late & bit) == 0 || task->run == 0 || number == 0)
		return;
	handle = fw_add_run(placer, flow, index, number, now_ms);
	if (handle == FW_NONE)
		return;
	run = &placer->tables.runs[handle];
	assume_sent(placer, flow, run, 2, now_ms);
	fw_run_mark_ended(run,
	    task->state == BD_STEP_TASK_DONE ? FW_END_DONE : FW_END_LOST,
	    FW_OVER_NOT_LISTED);
	if (!fw_run_holds_task(&placer->tables, run, now_ms))
		fw_run_remove(&placer->tables, handle);
}
