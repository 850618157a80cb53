#include "flow_internal.h"
#include "watermark.h"

static bool first_start_is_settled(
    const struct bd_board *board, const struct bd_flow *flow);
static int64_t row_age_ms(
    const struct fw_placer *placer, const struct bd_flow *flow);
static int64_t noted_sent_ms(const struct fw_placer *placer,
    const struct bd_flow *flow, const struct bd_step_task *task,
    int64_t now_ms);
static void assume_sent(
    struct fw_run *run, uint32_t starts, int64_t sent_ms, int64_t now_ms);

/* Returns whether the first starts of the runs that were placed with a job's
 * row have been answered. */
static bool
first_start_is_settled(const struct bd_board *board, const struct bd_flow *flow)
{
	return flow->stored_ms <= fw_settled_ms(board, flow->term);
}

/* Returns the time for which a job's progress record has been stored at least.
 */
static int64_t
row_age_ms(const struct fw_placer *placer, const struct bd_flow *flow)
{
	return fw_record_age_ms(
	    placer->parts.board, flow->epoch - 1, placer->boot_ms);
}

/* Returns the latest time at which the late start was sent that a task's row
 * tells of. */
static int64_t
noted_sent_ms(const struct fw_placer *placer, const struct bd_flow *flow,
    const struct bd_step_task *task, int64_t now_ms)
{
	return now_ms - row_age_ms(placer, flow) + task->late_ms -
	    FW_ORDER_LATE_MAX_MS;
}

/* Notes that an earlier placer may have had no answer to a start of a run,
 * which it sent before its term ended. */
static void
assume_sent(
    struct fw_run *run, uint32_t starts, int64_t sent_ms, int64_t now_ms)
{
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
		assume_sent(
		    run, 2, noted_sent_ms(placer, flow, task, now_ms), now_ms);
	else if ((task->late & BD_LATE_FIRST) != 0 &&
	    !first_start_is_settled(board, flow))
		assume_sent(run, 1,
		    now_ms - row_age_ms(placer, flow) + FW_FIRST_START_MAX_MS,
		    now_ms);
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
	assume_sent(run, 2, noted_sent_ms(placer, flow, task, now_ms), now_ms);
	fw_run_mark_ended(run,
	    task->state == BD_STEP_TASK_DONE ? FW_END_DONE : FW_END_LOST,
	    FW_OVER_NOT_LISTED);
	if (!fw_run_holds_task(&placer->tables, run, now_ms))
		fw_run_remove(&placer->tables, handle);
}
