#include "flow_internal.h"

/* At most one worker in this many is kept for trials of suspect jobs, unless
 * ample capacity is free. */
#define TRIAL_WORKERS_PART 4

/* A suspect that has waited for this long for a worker without other jobs uses
 * one of them while ample capacity is free, or if it lasts: a task that is
 * ready has to be started within 3 s. */
#define TRIAL_WAIT_MAX_MS 1500
/* A task with more crashes than this waits for longer: its next crash in any
 * company fails its job, or tells nothing if the task lasts. */
#define SHARING_CRASHES_MAX 2
#define TRIAL_WAIT_LAST_MS 2400

static uint32_t best_to_hold(const struct fw_view *view,
    const struct fw_group *group, const struct bd_flow_step *step);

/* Returns whether another worker may be kept for the trial of a suspect job.
 * After a failure that many workers have in common, most jobs are suspect. */
bool
fw_view_may_try(const struct fw_view *view, const struct fw_group *group)
{
	uint32_t most = view->host_count / TRIAL_WORKERS_PART;

	return group->ample || view->trial_count < (most > 0 ? most : 1);
}

/* Returns whether worker a is likely to be without runs sooner than worker b.
 */
bool
fw_host_is_emptier(const struct fw_host_view *a, const struct fw_host_view *b)
{
	if ((a->tenant == 0) != (b->tenant == 0))
		return a->tenant == 0;
	if (a->urgent != b->urgent)
		return b->urgent;
	if (a->accels != b->accels)
		return a->accels > b->accels;
	return a->cores_milli > b->cores_milli;
}

/* Returns the worker to keep for the trial of a group's tasks, or FW_NONE.
 * Workers that are reserved for priority 0 are of no use to others. */
static uint32_t
best_to_hold(const struct fw_view *view, const struct fw_group *group,
    const struct bd_flow_step *step)
{
	const struct bd_flow *flow = fw_job_current(&view->jobs[group->job]);
	uint32_t best = FW_NONE;
	uint32_t i;

	for (i = 0; i < view->host_count; i++) {
		const struct fw_host_view *host = &view->hosts[i];

		if (!host->schedulable || host->failing || host->suspect ||
		    host->trial != 0 ||
		    (host->urgent && group->priority != 0) ||
		    fw_host_task_capacity(host, flow, step) == 0)
			continue;
		if (best == FW_NONE ||
		    fw_host_is_emptier(host, &view->hosts[best]))
			best = i;
	}
	return best;
}

/*
 * Keeps a worker for each suspect job that waits and is not being tried, so
 * that it is empty some time: packing fills each gap on workers in use. A gang
 * needs as many workers as its tasks fill. Call after the groups are sorted.
 */
void
fw_trials_hold(struct fw_view *view, const struct fw_groups *groups)
{
	uint32_t i;

	for (i = 0; i < groups->count; i++) {
		const struct fw_group *group = &groups->items[i];
		struct fw_job_view *job = &view->jobs[group->job];
		const struct bd_flow *flow = fw_job_current(job);
		const struct bd_flow_step *step =
		    &fw_flow_steps(flow)[group->step];
		uint32_t held = 0;

		if (!group->suspect || job->trial_held ||
		    job->trial_host != FW_NONE)
			continue;
		job->trial_held = true;
		while (held < group->count && fw_view_may_try(view, group)) {
			uint32_t host = best_to_hold(view, group, step);

			if (host == FW_NONE)
				break;
			fw_view_hold(view, group->job, host);
			held += fw_host_task_capacity(
			    &view->hosts[host], flow, step);
		}
	}
}

/* Decides whether a group that has to run has waited for so long that it may
 * use workers on which suspects are tried, and a suspect those of other jobs.
 * Each such crash is charged to all of them, so only the first ones of a
 * suspect may happen in company. */
void
fw_group_set_trial(struct fw_group *group, const struct bd_flow *flow)
{
	const struct bd_step_task *tasks = fw_flow_tasks(flow);
	uint32_t crashes = 0;
	uint32_t i;

	if (!group->ample && !group->lasts)
		return;
	if (!group->suspect) {
		group->joins = group->waited_ms > TRIAL_WAIT_MAX_MS;
		return;
	}
	for (i = group->first; i < group->first + group->count; i++)
		if (tasks[i].crashes > crashes)
			crashes = tasks[i].crashes;
	group->shares = group->waited_ms > (crashes <= SHARING_CRASHES_MAX
						   ? TRIAL_WAIT_MAX_MS
						   : TRIAL_WAIT_LAST_MS);
	group->joins = group->shares && crashes < SHARING_CRASHES_MAX;
}
