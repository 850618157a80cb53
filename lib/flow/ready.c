#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"

/* Occurrences start this much after they are due, as the clocks of VMs differ
 * by some tens of ms. */
#define DUE_MARGIN_MS 60

/* A caller is served late up to this many times the completion target, and not
 * at all afterwards. */
#define USEFUL_TARGETS 3

static bool step_done(const struct bd_flow *flow, uint32_t k, uint32_t step);
static bool step_ready(
    const struct bd_flow *flow, uint32_t k, uint32_t step, int64_t wall_ms);
static uint64_t work_of(const struct bd_flow *flow);
static int64_t chain_of(const struct bd_flow *flow);
static void judge_time(struct fw_group *group, const struct bd_flow *flow,
    const struct fw_settings *settings);
static int add_step(struct fw_groups *groups, const struct fw_view *view,
    uint32_t job, uint32_t k, uint32_t step);
static int compare(const void *a, const void *b);

static bool
step_done(const struct bd_flow *flow, uint32_t k, uint32_t step)
{
	const struct bd_flow_step *row = &fw_flow_steps(flow)[step];
	const struct bd_step_task *tasks =
	    fw_flow_tasks(flow) + k * flow->step_tasks + row->first_task;
	uint32_t i;

	for (i = 0; i < row->count; i++)
		if (tasks[i].state != BD_STEP_TASK_DONE)
			return false;
	return true;
}

static bool
step_ready(
    const struct bd_flow *flow, uint32_t k, uint32_t step, int64_t wall_ms)
{
	uint64_t after = fw_flow_steps(flow)[step].after;
	uint32_t s;

	if (flow->first_due_ms > 0 &&
	    wall_ms < flow->first_due_ms + (int64_t)k * flow->interval_ms +
		    DUE_MARGIN_MS)
		return false;
	for (s = 0; s < step; s++)
		if ((after >> s & 1) != 0 && !step_done(flow, k, s))
			return false;
	return true;
}

/* Returns the accelerator time that a job asks for, in ms, by its estimates. A
 * task without accelerators counts as an eighth of one. */
static uint64_t
work_of(const struct bd_flow *flow)
{
	const struct bd_flow_step *steps = fw_flow_steps(flow);
	uint64_t work = 0;
	uint32_t s;

	for (s = 0; s < flow->step_count; s++)
		work += (uint64_t)steps[s].count * (steps[s].estimate_ms + 1) *
		    (steps[s].accels > 0 ? steps[s].accels * 8U : 1U) / 8;
	return work;
}

/* Returns the estimated run time of the steps of a job that wait for others. */
static int64_t
chain_of(const struct bd_flow *flow)
{
	const struct bd_flow_step *steps = fw_flow_steps(flow);
	int64_t chain_ms = 0;
	uint32_t s;

	for (s = 0; s < flow->step_count; s++)
		if (s == 0 || steps[s].after != 0)
			chain_ms += steps[s].estimate_ms;
	return chain_ms;
}

/* Finds out how long a job can still wait and meet its completion target, and
 * whether it is so late that nobody waits for it any more. A job that may be
 * guaranteed is not given up while its guarantee counts. */
static void
judge_time(struct fw_group *group, const struct bd_flow *flow,
    const struct fw_settings *settings)
{
	int64_t chain_ms = chain_of(flow);
	int64_t target_ms =
	    chain_ms * flow->stretch_milli / 1000 + flow->target_ms;

	group->slack_ms = target_ms - chain_ms - group->age_ms;
	group->hopeless =
	    group->age_ms + chain_ms > target_ms * USEFUL_TARGETS &&
	    group->age_ms > (int64_t)settings->reclaim_ms * 2;
}

static int
add_step(struct fw_groups *groups, const struct fw_view *view, uint32_t job,
    uint32_t k, uint32_t step)
{
	const struct bd_flow *flow = fw_job_now(&view->jobs[job]);
	const struct bd_flow_step *row = &fw_flow_steps(flow)[step];
	const struct bd_step_task *tasks = fw_flow_tasks(flow);
	bool gang = (row->flags & BD_STEP_GANG) != 0;
	uint32_t first = k * flow->step_tasks + row->first_task;
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
		if (waiting < group.count)
			continue;
		if (groups->count == groups->room) {
			uint32_t room =
			    groups->room == 0 ? 64 : groups->room * 2;
			struct fw_group *grown =
			    realloc(groups->items, room * sizeof(*grown));

			if (grown == NULL)
				return FW_ENOMEM;
			groups->items = grown;
			groups->room = room;
		}
		group.age_ms = view->wall_ms - flow->accepted_ms;
		if (group.age_ms < 0)
			group.age_ms = 0;
		judge_time(&group, flow, view->settings);
		group.work = work_of(flow);
		groups->items[groups->count++] = group;
	}
	return CW_OK;
}

/* Collects the groups whose turn has come and that wait as a whole. Returns
 * FW_ENOMEM. */
int
fw_groups_ready(struct fw_groups *groups, const struct fw_view *view)
{
	uint32_t job;
	uint32_t k;
	uint32_t s;

	memset(groups, 0, sizeof(*groups));
	for (job = 0; job < view->job_count; job++) {
		const struct bd_flow *flow = fw_job_now(&view->jobs[job]);

		if (fw_flow_ended(flow) || flow->cancelled != 0)
			continue;
		for (k = 0; k < flow->occurrences; k++)
			for (s = 0; s < flow->step_count; s++) {
				if (!step_ready(flow, k, s, view->wall_ms))
					continue;
				if (add_step(groups, view, job, k, s) !=
				    CW_OK) {
					fw_groups_free(groups);
					return FW_ENOMEM;
				}
			}
	}
	return CW_OK;
}

/*
 * Jobs that are too late to be of use come last of all. Then by priority; then
 * jobs that can still meet their target before those that cannot, and the least
 * slack first. With more load than room this serves the most jobs in time
 * within a priority.
 */
static int
compare(const void *a, const void *b)
{
	const struct fw_group *x = a;
	const struct fw_group *y = b;

	if (x->hopeless != y->hopeless)
		return x->hopeless ? 1 : -1;
	if (x->priority != y->priority)
		return x->priority < y->priority ? -1 : 1;
	if ((x->slack_ms < 0) != (y->slack_ms < 0))
		return x->slack_ms < 0 ? 1 : -1;
	if (x->slack_ms != y->slack_ms)
		return x->slack_ms < y->slack_ms ? -1 : 1;
	if (x->job != y->job)
		return x->job < y->job ? -1 : 1;
	return (x->first > y->first) - (x->first < y->first);
}

/* Sorts groups into the order in which they are placed. */
void
fw_groups_order(struct fw_groups *groups)
{
	if (groups->count > 1)
		qsort(groups->items, groups->count, sizeof(*groups->items),
		    compare);
}

/* Frees the groups. */
void
fw_groups_free(struct fw_groups *groups)
{
	free(groups->items);
	memset(groups, 0, sizeof(*groups));
}
