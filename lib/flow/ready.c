#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"

/* Delay after the due time of an occurrence, as the clocks of VMs differ by
 * some tens of ms. */
#define DUE_MARGIN_MS 60

/* A task that lasts comes before all but priority 0 after this wait: it has to
 * run within 3 s however full its service is. */
#define LASTING_WAIT_MS 1500

static bool step_done(
    const struct bd_flow *flow, uint32_t occurrence, uint32_t step);
static uint64_t estimate_work(const struct bd_flow *flow);
static void set_time_limits(struct fw_group *group, const struct bd_flow *flow,
    const struct fw_settings *settings);
static int64_t turn_ms(
    const struct bd_flow *flow, const struct fw_group *group);
static bool is_storable(
    const struct bd_flow *flow, const struct fw_settings *settings);
static int add_step(struct fw_groups *groups, const struct fw_view *view,
    uint32_t job, uint32_t occurrence, uint32_t step, bool suspect);
static uint32_t rank(const struct fw_group *group);
static int compare_groups(const void *a, const void *b);

static bool
step_done(const struct bd_flow *flow, uint32_t occurrence, uint32_t step)
{
	const struct bd_flow_step *row = &fw_flow_steps(flow)[step];
	const struct bd_step_task *tasks = fw_flow_tasks(flow) +
	    occurrence * flow->step_tasks + row->first_task;
	uint32_t i;

	for (i = 0; i < row->count; i++)
		if (tasks[i].state != BD_STEP_TASK_DONE)
			return false;
	return true;
}

/* Returns whether an occurrence is due and the step's dependencies are done. */
bool
fw_step_ready(const struct bd_flow *flow, uint32_t occurrence, uint32_t step,
    int64_t wall_ms)
{
	uint64_t after = fw_flow_steps(flow)[step].after;
	uint32_t s;

	if (flow->first_due_ms > 0 &&
	    wall_ms < flow->first_due_ms +
		    (int64_t)occurrence * flow->interval_ms + DUE_MARGIN_MS)
		return false;
	for (s = 0; s < step; s++)
		if ((after >> s & 1) != 0 && !step_done(flow, occurrence, s))
			return false;
	return true;
}

/* Returns the estimated work of a job, in core-milliseconds. */
static uint64_t
estimate_work(const struct bd_flow *flow)
{
	const struct bd_flow_step *steps = fw_flow_steps(flow);
	uint64_t work = 0;
	uint32_t s;

	for (s = 0; s < flow->step_count; s++)
		work += (uint64_t)steps[s].count * (steps[s].estimate_ms + 1) *
		    fw_step_size(&steps[s]) / 1000;
	return work;
}

/* Returns the estimated run time of a job, in ms: the sum over its first step
 * and the steps with dependencies, as if these ran one after another. */
int64_t
fw_flow_run_ms(const struct bd_flow *flow)
{
	const struct bd_flow_step *steps = fw_flow_steps(flow);
	int64_t run_ms = 0;
	uint32_t s;

	for (s = 0; s < flow->step_count; s++)
		if (s == 0 || steps[s].after != 0)
			run_ms += steps[s].estimate_ms;
	return run_ms;
}

/* Returns the completion target of a job with this estimated run time, in ms.
 * Their product may have more than 64 bits. */
int64_t
fw_flow_target_ms(const struct bd_flow *flow, int64_t run_ms)
{
	return run_ms / 1000 * flow->stretch_milli +
	    run_ms % 1000 * flow->stretch_milli / 1000 + flow->target_ms;
}

/* Returns whether a job of this age would complete too late to be useful. None
 * counts as too late before twice the start limit of guaranteed jobs, as it may
 * have a guarantee until then. */
bool
fw_flow_too_late(int64_t age_ms, int64_t run_ms, int64_t target_ms,
    const struct fw_settings *settings)
{
	return age_ms + run_ms > target_ms * FW_USEFUL_TARGET_FACTOR &&
	    age_ms > (int64_t)settings->reclaim_ms * 2;
}

/* Computes how long a job can wait and still meet its completion target, and
 * whether it is too late to be useful; one that lasts never is. */
static void
set_time_limits(struct fw_group *group, const struct bd_flow *flow,
    const struct fw_settings *settings)
{
	int64_t run_ms = fw_flow_run_ms(flow);
	int64_t target_ms = fw_flow_target_ms(flow, run_ms);

	group->slack_ms = target_ms - run_ms - group->age_ms;
	group->too_late = !group->lasts &&
	    fw_flow_too_late(group->age_ms, run_ms, target_ms, settings);
}

/* Returns the wall time at which the turn of a group came: its job was accepted
 * and due, the steps before were done, and its latest runs had ended. */
static int64_t
turn_ms(const struct bd_flow *flow, const struct fw_group *group)
{
	const struct bd_flow_step *steps = fw_flow_steps(flow);
	const struct bd_step_task *tasks = fw_flow_tasks(flow);
	uint32_t occurrence = group->first / flow->step_tasks;
	int64_t latest_ms = flow->accepted_ms;
	int64_t due_ms =
	    flow->first_due_ms + (int64_t)occurrence * flow->interval_ms;
	uint32_t s;
	uint32_t i;

	if (flow->first_due_ms > 0 && due_ms > latest_ms)
		latest_ms = due_ms;
	for (s = 0; s < group->step; s++) {
		uint32_t first =
		    occurrence * flow->step_tasks + steps[s].first_task;

		if ((steps[group->step].after >> s & 1) == 0)
			continue;
		for (i = first; i < first + steps[s].count; i++)
			if (tasks[i].changed_ms > latest_ms)
				latest_ms = tasks[i].changed_ms;
	}
	for (i = group->first; i < group->first + group->count; i++)
		if (tasks[i].changed_ms > latest_ms)
			latest_ms = tasks[i].changed_ms;
	return latest_ms;
}

/* Sets what the placement of a group depends on besides its tasks. */
void
fw_group_describe(
    struct fw_group *group, const struct fw_view *view, bool suspect)
{
	const struct bd_flow *flow = fw_job_current(&view->jobs[group->job]);
	const struct bd_flow_step *step = &fw_flow_steps(flow)[group->step];

	group->age_ms = view->wall_ms - flow->accepted_ms;
	if (group->age_ms < 0)
		group->age_ms = 0;
	group->waited_ms = view->wall_ms - turn_ms(flow, group);
	group->service = fw_view_service_index(view, flow->pool);
	group->ample = fw_view_ample(view, group->service, step->accels);
	group->lasts = (step->flags & BD_STEP_LONG_RUNNING) != 0;
	set_time_limits(group, flow, view->settings);
	group->work = estimate_work(flow);
	group->suspect = suspect;
	fw_group_set_trial(group, flow);
}

/* Adds the groups of one step of an occurrence whose tasks all wait, do not
 * pause and have no run that a worker lists. */
static int
add_step(struct fw_groups *groups, const struct fw_view *view, uint32_t job,
    uint32_t occurrence, uint32_t step, bool suspect)
{
	const struct bd_flow *flow = fw_job_current(&view->jobs[job]);
	const struct bd_flow_step *row = &fw_flow_steps(flow)[step];
	const struct bd_step_task *tasks = fw_flow_tasks(flow);
	bool gang = (row->flags & BD_STEP_GANG) != 0;
	uint32_t first = occurrence * flow->step_tasks + row->first_task;
	uint32_t i;

	for (i = 0; i < row->count; i += gang ? row->count : 1) {
		struct fw_group group = {.job = job,
		    .step = step,
		    .first = first + i,
		    .count = gang ? row->count : 1,
		    .priority = flow->priority};
		uint32_t waiting = 0;
		uint32_t n;

		for (n = 0; n < group.count; n++)
			waiting += tasks[group.first + n].state ==
			    BD_STEP_TASK_WAITING;
		if (waiting < group.count ||
		    fw_tasks_pause(
			flow, group.first, group.count, view->wall_ms) ||
		    fw_view_any_alive(view, job, group.first, group.count))
			continue;
		if (groups->count == groups->capacity) {
			uint32_t capacity =
			    groups->capacity == 0 ? 64 : groups->capacity * 2;
			struct fw_group *grown =
			    realloc(groups->items, capacity * sizeof(*grown));

			if (grown == NULL)
				return FW_ENOMEM;
			groups->items = grown;
			groups->capacity = capacity;
		}
		fw_group_describe(&group, view, suspect);
		groups->items[groups->count++] = group;
	}
	return CW_OK;
}

/* Returns whether the store takes the progress of a job. Another VM may have
 * accepted one with a higher limit; its placements would be lost, decision
 * after decision, and keep room from others. */
static bool
is_storable(const struct bd_flow *flow, const struct fw_settings *settings)
{
	return fw_record_bytes(flow->name, fw_progress_bytes_max(flow)) <=
	    settings->record_bytes;
}

/* Collects the groups that are ready to be placed: their step is ready and all
 * of their tasks wait. Returns FW_ENOMEM. */
int
fw_groups_ready(struct fw_groups *groups, const struct fw_view *view)
{
	uint32_t job;
	uint32_t occurrence;
	uint32_t s;

	memset(groups, 0, sizeof(*groups));
	for (job = 0; job < view->job_count; job++) {
		const struct bd_flow *flow = fw_job_current(&view->jobs[job]);
		bool suspect;

		if (fw_flow_ended(flow) || flow->cancelled != 0 ||
		    !is_storable(flow, view->settings))
			continue;
		suspect = fw_flow_suspect(flow, view->wall_ms);
		for (occurrence = 0; occurrence < flow->occurrences;
		     occurrence++)
			for (s = 0; s < flow->step_count; s++) {
				if (!fw_step_ready(
					flow, occurrence, s, view->wall_ms))
					continue;
				if (add_step(groups, view, job, occurrence, s,
					suspect) != CW_OK) {
					fw_groups_free(groups);
					return FW_ENOMEM;
				}
			}
	}
	return CW_OK;
}

/* Returns the priority of a group in the placement order: 0, then tasks that
 * last and have waited for long, then the others. */
static uint32_t
rank(const struct fw_group *group)
{
	if (group->priority == 0)
		return 0;
	if (group->lasts && group->waited_ms > LASTING_WAIT_MS)
		return 1;
	return group->priority + 1;
}

/*
 * Placement order. Jobs that are too late to be useful come last. The others
 * are ordered by rank; then jobs that can still meet their target come
 * before those that cannot; then by least slack. Under overload this completes
 * the most jobs of a priority in time.
 */
static int
compare_groups(const void *a, const void *b)
{
	const struct fw_group *x = a;
	const struct fw_group *y = b;

	if (x->too_late != y->too_late)
		return x->too_late ? 1 : -1;
	if (rank(x) != rank(y))
		return rank(x) < rank(y) ? -1 : 1;
	if ((x->slack_ms < 0) != (y->slack_ms < 0))
		return x->slack_ms < 0 ? 1 : -1;
	if (x->slack_ms != y->slack_ms)
		return x->slack_ms < y->slack_ms ? -1 : 1;
	if (x->job != y->job)
		return x->job < y->job ? -1 : 1;
	return (x->first > y->first) - (x->first < y->first);
}

/* Sorts groups into placement order. */
void
fw_groups_sort(struct fw_groups *groups)
{
	if (groups->count > 1)
		qsort(groups->items, groups->count, sizeof(*groups->items),
		    compare_groups);
}

void
fw_groups_free(struct fw_groups *groups)
{
	free(groups->items);
	memset(groups, 0, sizeof(*groups));
}
