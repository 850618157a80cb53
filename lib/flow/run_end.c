#include <assert.h>
#include <string.h>

#include "flow_internal.h"

static bool all_done(const struct bd_flow *flow);

/* Finds the group of a task: its whole gang, or the task alone. Returns whether
 * it is a gang. */
bool
fw_group_of(const struct bd_flow *flow, uint32_t index, uint32_t *first,
    uint32_t *count)
{
	const struct bd_flow_step *steps = fw_flow_steps(flow);
	struct fw_task_ref ref;

	fw_task_ref_of(flow, index, &ref);
	if ((steps[ref.step].flags & BD_STEP_GANG) == 0) {
		*first = index;
		*count = 1;
		return false;
	}
	*first = index - ref.index;
	*count = steps[ref.step].count;
	return true;
}

/* Ends a job, in a copy of its row, unless it has ended before. */
void
fw_flow_end(struct bd_flow *flow, uint32_t state, int64_t wall_ms)
{
	if (fw_flow_ended(flow))
		return;
	flow->state = state;
	flow->changed_ms = wall_ms;
}

static bool
all_done(const struct bd_flow *flow)
{
	const struct bd_step_task *tasks = fw_flow_tasks(flow);
	uint32_t count = fw_flow_task_count(flow);
	uint32_t i;

	for (i = 0; i < count; i++)
		if (tasks[i].state != BD_STEP_TASK_DONE)
			return false;
	return true;
}

/*
 * Applies the end of a task's latest run to a copy of its job's row. If one
 * member of a gang is done, so are all; if members fail, each member counts one
 * failure of this run. Steps that run until the job is cancelled are never done
 * and count no failures. The job fails when a task has used all of its
 * attempts.
 */
void
fw_run_end_apply(
    struct bd_flow *flow, uint32_t index, enum fw_end end, int64_t wall_ms)
{
	struct bd_step_task *tasks = fw_flow_tasks(flow);
	const struct bd_flow_step *steps = fw_flow_steps(flow);
	struct fw_task_ref ref;
	uint32_t first;
	uint32_t count;
	uint32_t i;
	uint32_t run = tasks[index].run;
	bool long_running;

	assert(tasks[index].state == BD_STEP_TASK_PLACED ||
	    (tasks[index].state == BD_STEP_TASK_WAITING && end == FW_END_DONE));
	fw_task_ref_of(flow, index, &ref);
	fw_group_of(flow, index, &first, &count);
	long_running = (steps[ref.step].flags & BD_STEP_LONG_RUNNING) != 0;
	tasks[index].state = BD_STEP_TASK_WAITING;
	tasks[index].changed_ms = wall_ms;
	for (i = first; i < first + count; i++) {
		if (end == FW_END_DONE && !long_running &&
		    tasks[i].run == run) {
			tasks[i].state = BD_STEP_TASK_DONE;
			tasks[i].crashes = tasks[i].presumed_crashes = 0;
		}
		if (end == FW_END_FAILED && !long_running &&
		    tasks[i].failed_run != run) {
			tasks[i].failures++;
			tasks[i].failed_run = run;
		}
	}
	if (end == FW_END_DONE && all_done(flow))
		fw_flow_end(flow, BD_FLOW_COMPLETED, wall_ms);
	if (tasks[index].failures >= flow->attempts_max &&
	    flow->attempts_max > 0)
		fw_flow_end(flow, BD_FLOW_FAILED, wall_ms);
}
