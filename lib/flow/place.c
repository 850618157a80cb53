#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"

/* A job of lower priority may use kept workers when it has less time than this
 * until its target is missed, and where there is room when it has waited for so
 * long. */
#define KEPT_SLACK_MS 4000
#define KEPT_WAIT_MS 1500

/* Workers that one decision looks at for tasks, some ms of processor time; the
 * groups behind wait for the next decision. */
#define EFFORT_MAX 150000

static const struct bd_flow_step *step_of(
    const struct fw_view *view, const struct fw_group *group);
static uint32_t best_host(
    struct fw_view *view, const struct fw_group *group, uint32_t rack);
static bool fit_one_rack(
    struct fw_view *view, const struct fw_group *group, uint32_t *hosts);
static bool leaves_promised(
    const struct fw_view *view, const struct fw_group *group);
static bool rack_holds(const struct fw_view *view, const struct fw_group *group,
    const struct bd_flow_step *step);
static bool may_spread(const struct fw_view *view, const struct fw_group *group,
    const struct bd_flow_step *step);

static const struct bd_flow_step *
step_of(const struct fw_view *view, const struct fw_group *group)
{
	return &fw_flow_steps(fw_job_now(&view->jobs[group->job]))[group->step];
}

/* Counts the tasks of the group's step that each worker has already. */
void
fw_group_count_taken(struct fw_view *view, const struct fw_group *group)
{
	const struct bd_flow *flow = fw_job_now(&view->jobs[group->job]);
	const struct bd_flow_step *step = step_of(view, group);
	const struct bd_step_task *tasks = fw_flow_tasks(flow);
	uint32_t k = group->first / flow->step_tasks;
	uint32_t first = k * flow->step_tasks + step->first_task;
	uint32_t i;

	if (step->host_max == 0)
		return;
	for (i = 0; i < view->host_count; i++)
		view->hosts[i].taken = 0;
	for (i = first; i < first + step->count; i++) {
		uint32_t host;

		if (tasks[i].state != BD_STEP_TASK_PLACED)
			continue;
		host = fw_view_host(view, tasks[i].host);
		if (host != FW_NONE)
			view->hosts[host].taken++;
	}
}

/* Kept workers are for jobs of priority 0, and for tasks whose data is there,
 * that are about to miss their target, or that wait while there is room. */
static bool
may_use(const struct fw_view *view, const struct fw_host_view *host,
    const struct fw_group *group, const struct bd_flow_step *step)
{
	return !host->urgent || group->priority == 0 ||
	    (view->roomy && group->age_ms > KEPT_WAIT_MS) ||
	    (group->slack_ms >= 0 && group->slack_ms < KEPT_SLACK_MS) ||
	    strcmp(step->data_rack, host->row->rack) == 0;
}

/* Tells whether a task is better placed on one worker than on another: suspect
 * workers come last, kept ones first for priority 0, and then the one that is
 * left with the fewest accelerators, so that whole workers stay free. */
static bool
better(const struct fw_host_view *a, const struct fw_host_view *b,
    uint32_t priority)
{
	if (a->suspect != b->suspect)
		return b->suspect;
	if (a->urgent != b->urgent)
		return a->urgent == (priority == 0);
	if (a->accels != b->accels)
		return a->accels < b->accels;
	return a->cores_milli < b->cores_milli;
}

/* Returns the best worker for one task, FW_NONE where none has room. */
static uint32_t
best_host(struct fw_view *view, const struct fw_group *group, uint32_t rack)
{
	const struct bd_flow *flow = fw_job_now(&view->jobs[group->job]);
	const struct bd_flow_step *step = step_of(view, group);
	uint32_t best = FW_NONE;
	uint32_t i;
	uint32_t end = fw_view_rack_hosts(view, rack, &i);

	view->effort += end - i;
	for (; i < end; i++) {
		struct fw_host_view *host = &view->hosts[i];

		if ((step->host_max > 0 && host->taken >= step->host_max) ||
		    !may_use(view, host, group, step) ||
		    !fw_host_fits(host, flow, step))
			continue;
		if (best == FW_NONE ||
		    better(host, &view->hosts[best], group->priority))
			best = i;
	}
	return best;
}

/* Tries to fit the whole group, within one rack or FW_ANY_RACK. Takes
 * the room from the workers only where all of it fits. */
bool
fw_group_fit_rack(struct fw_view *view, const struct fw_group *group,
    uint32_t rack, uint32_t *hosts)
{
	const struct bd_flow_step *step = step_of(view, group);
	uint32_t n;

	fw_group_count_taken(view, group);
	for (n = 0; n < group->count; n++) {
		hosts[n] = best_host(view, group, rack);
		if (hosts[n] == FW_NONE)
			break;
		fw_host_use(&view->hosts[hosts[n]], step, -1);
		view->hosts[hosts[n]].taken++;
	}
	if (n == group->count)
		return true;
	while (n > 0)
		fw_host_use(&view->hosts[hosts[--n]], step, 1);
	return false;
}

/* Tries the racks from the fullest on that has enough accelerators, so that
 * whole racks stay free. */
static bool
fit_one_rack(
    struct fw_view *view, const struct fw_group *group, uint32_t *hosts)
{
	int64_t need = (int64_t)group->count * step_of(view, group)->accels;
	int64_t *accels = calloc(view->rack_count + 1, sizeof(*accels));
	bool fits = false;
	uint32_t i;

	if (accels == NULL)
		return false;
	for (i = 0; i < view->host_count; i++)
		accels[view->hosts[i].rack] += view->hosts[i].accels;
	while (!fits) {
		uint32_t next = FW_NO_RACK;

		for (i = 0; i < view->rack_count; i++)
			if (accels[i] >= need &&
			    (next == FW_NO_RACK || accels[i] < accels[next]))
				next = i;
		if (next == FW_NO_RACK)
			break;
		fits = fw_group_fit_rack(view, group, next, hosts);
		accels[next] = INT64_MIN;
	}
	free(accels);
	return fits;
}

/* Tells whether an idle rack would hold a group. */
static bool
rack_holds(const struct fw_view *view, const struct fw_group *group,
    const struct bd_flow_step *step)
{
	const struct bd_flow *flow = fw_job_now(&view->jobs[group->job]);
	uint32_t rack;
	uint32_t i;

	for (rack = 0; rack < view->rack_count; rack++) {
		uint32_t end = fw_view_rack_hosts(view, rack, &i);
		uint64_t count = 0;

		for (; i < end; i++)
			count += fw_host_holds(view->hosts[i].row, flow, step);
		if (count >= group->count)
			return true;
	}
	return false;
}

/* Away from its rack a task takes remote_factor times as long, so a job waits
 * for the rack as long as that is the shorter way. */
static bool
may_spread(const struct fw_view *view, const struct fw_group *group,
    const struct bd_flow_step *step)
{
	int64_t longer_ms = (int64_t)step->estimate_ms *
	    ((int64_t)view->settings->remote_factor - 1);

	return group->age_ms > longer_ms ||
	    (step->data_rack[0] == '\0' && !rack_holds(view, group, step));
}

/*
 * Finds room for every task of a group, hosts[] being indexes of the view, and
 * takes it. A gang that asks for one rack and a task with data on a rack go
 * there; elsewhere only with spread, once waiting has cost more than the longer
 * run time, or where no rack would hold the gang. Returns false where it does
 * not fit.
 */
bool
fw_group_fit(struct fw_view *view, const struct fw_group *group,
    uint32_t *hosts, bool spread)
{
	const struct bd_flow_step *step = step_of(view, group);

	if (step->data_rack[0] != '\0') {
		if (fw_group_fit_rack(view, group,
			fw_view_rack(view, step->data_rack), hosts))
			return true;
		if (!spread && !may_spread(view, group, step))
			return false;
	} else if ((step->flags & BD_STEP_SAME_RACK) != 0) {
		if (fit_one_rack(view, group, hosts))
			return true;
		if (!spread && !may_spread(view, group, step))
			return false;
	}
	return fw_group_fit_rack(view, group, FW_ANY_RACK, hosts);
}

/* Notes the next run of each task of a group on its worker. */
void
fw_group_place(
    struct fw_view *view, const struct fw_group *group, const uint32_t *hosts)
{
	struct bd_flow *flow = fw_job_change(&view->jobs[group->job]);
	struct bd_step_task *tasks;
	uint32_t run = 0;
	uint32_t n;

	if (flow == NULL)
		return;
	tasks = fw_flow_tasks(flow) + group->first;
	for (n = 0; n < group->count; n++)
		if (tasks[n].run > run)
			run = tasks[n].run;
	for (n = 0; n < group->count; n++) {
		const struct bd_host *host = view->hosts[hosts[n]].row;

		assert(tasks[n].state == BD_STEP_TASK_WAITING);
		tasks[n].state = BD_STEP_TASK_PLACED;
		tasks[n].run = run + 1;
		tasks[n].host = host->id;
		tasks[n].born_ms = host->born_ms;
		tasks[n].changed_ms = view->wall_ms;
	}
	if (flow->state == BD_FLOW_QUEUED) {
		flow->state = BD_FLOW_RUNNING;
		flow->changed_ms = view->wall_ms;
	}
}

/* Tells whether enough accelerators stay free for the urgent groups that wait.
 * Load answered: bursts of urgent jobs on a full deployment, where small tasks
 * of lower priority took each accelerator that came free. */
static bool
leaves_promised(const struct fw_view *view, const struct fw_group *group)
{
	int64_t need = (int64_t)group->count * step_of(view, group)->accels;

	return view->promised == 0 || need == 0 ||
	    fw_view_free_accels(view) >= need + view->promised;
}

/*
 * Places groups in their order; what does not fit waits while smaller ones go
 * ahead, but for what urgent groups wait for. blocked is called for each group
 * that waits and may close workers to the groups behind it. Returns how many
 * were placed.
 */
uint32_t
fw_place(struct fw_view *view, const struct fw_groups *groups,
    void (*blocked)(
	void *ctx, struct fw_view *view, const struct fw_group *group),
    void *ctx)
{
	uint32_t hosts[FW_TASKS_MAX];
	uint32_t placed = 0;
	bool last_failed = false;
	uint32_t i;

	for (i = 0; i < groups->count && view->effort < EFFORT_MAX; i++) {
		const struct fw_group *group = &groups->items[i];

		/* Tasks of one step are alike: where one finds no room, the
		 * next finds none. */
		if (i > 0 && last_failed && group->job == group[-1].job &&
		    group->step == group[-1].step && group->count == 1)
			continue;
		last_failed = false;
		if ((group->priority == 0 || leaves_promised(view, group)) &&
		    fw_group_fit(view, group, hosts, false)) {
			fw_group_place(view, group, hosts);
			placed++;
			continue;
		}
		last_failed = true;
		if (group->priority == 0 && !group->hopeless)
			view->promised += (int64_t)group->count *
			    step_of(view, group)->accels;
		if (blocked != NULL)
			blocked(ctx, view, group);
	}
	return placed;
}
