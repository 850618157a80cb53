#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"

/* A job of lower priority may use workers reserved for priority 0 if its slack
 * is less than the first limit, or if it has waited for longer than the second
 * one while ample capacity is free. */
#define RESERVED_SLACK_MS 4000
#define RESERVED_WAIT_MS 1500

/* A group that has to run leaves its preferred rack after this wait, as late as
 * the 3 s within which it has to be started allow. */
#define SPREAD_WAIT_MS 2400

/* A worker on which runs fail is used for a group that has to run and has
 * waited for this long for another one. */
#define FAILING_WAIT_MS 1500

/* A worker that crashed under a task is not used for it again for this long,
 * unless the task has to run and fits on no other one. */
#define CRASHED_AVOID_MS 8000

/* Workers that a decision examines for some of the groups beyond
 * FW_HOSTS_SCANNED_MAX, which take turns. */
#define HOSTS_SCANNED_TURN 50000

static const struct bd_flow_step *step_of(
    const struct fw_view *view, const struct fw_group *group);
/* How a group may use a worker, the preferred ways first. */
enum company {
	COMPANY_NONE,   /* as any job, or apart from others if it is suspect */
	COMPANY_JOBS,   /* a suspect among other jobs */
	COMPANY_TRIALS, /* a suspect where another one is tried */
	COMPANY_AGAIN,  /* a suspect on the worker that crashed under it */
	COMPANY_REFUSED,
};

static bool has_to_run(const struct fw_group *group);
static enum company company_on(const struct fw_view *view,
    const struct fw_group *group, const struct bd_flow_step *step,
    uint32_t host);
static bool crashed_there(const struct fw_view *view,
    const struct bd_flow *flow, const struct fw_group *group,
    const struct fw_host_view *host);
static bool fits_elsewhere(const struct fw_view *view,
    const struct fw_group *group, const struct bd_flow_step *step);
static uint32_t best_host(
    struct fw_view *view, const struct fw_group *group, uint32_t rack);
static uint32_t bound_host(struct fw_view *view, const struct fw_group *group,
    uint32_t rack, const struct fw_view_bound *bound);
static uint32_t host_for(struct fw_view *view, const struct fw_group *group,
    uint32_t rack, const struct fw_view_bound *bound);
static bool fit_tasks(struct fw_view *view, const struct fw_group *group,
    uint32_t rack, bool bound_ones, uint32_t *hosts);
static bool fit_one_rack(
    struct fw_view *view, const struct fw_group *group, uint32_t *hosts);
static uint32_t place_range(struct fw_view *view,
    const struct fw_groups *groups, uint32_t first, uint32_t end,
    uint64_t hosts_max,
    void (*blocked)(
	void *ctx, struct fw_view *view, const struct fw_group *group),
    void *ctx, uint32_t *placed);
static bool rack_could_hold(const struct fw_view *view,
    const struct fw_group *group, const struct bd_flow_step *step);
static bool may_spread(const struct fw_view *view, const struct fw_group *group,
    const struct bd_flow_step *step);

/* Returns the step of a group. */
static const struct bd_flow_step *
step_of(const struct fw_view *view, const struct fw_group *group)
{
	return &fw_flow_steps(
	    fw_job_current(&view->jobs[group->job]))[group->step];
}

/* Counts, for each worker, the placed tasks of the group's step. */
void
fw_group_count_tasks(struct fw_view *view, const struct fw_group *group)
{
	const struct bd_flow *flow = fw_job_current(&view->jobs[group->job]);
	const struct bd_flow_step *step = step_of(view, group);
	const struct bd_step_task *tasks = fw_flow_tasks(flow);
	uint32_t occurrence = group->first / flow->step_tasks;
	uint32_t first = occurrence * flow->step_tasks + step->first_task;
	uint32_t i;

	if (step->host_max == 0)
		return;
	for (i = 0; i < view->host_count; i++)
		view->hosts[i].same_step_tasks = 0;
	for (i = first; i < first + step->count; i++) {
		uint32_t host;

		if (tasks[i].state != BD_STEP_TASK_PLACED)
			continue;
		host = fw_view_host_index(view, tasks[i].host);
		if (host != FW_NONE)
			view->hosts[host].same_step_tasks++;
	}
}

/* Returns whether a group may not wait for the sake of others. The platform
 * counts a job as lost that waits while half of its service is free, and a task
 * that lasts however full the service is. */
static bool
has_to_run(const struct fw_group *group)
{
	return group->lasts || group->ample;
}

/* Returns whether a group may use a worker. Reserved workers accept only jobs
 * of priority 0 and tasks whose data is on that rack, that are about to miss
 * their target, or that have waited for long and have to run. */
bool
fw_group_may_use(const struct fw_view *view, const struct fw_host_view *host,
    const struct fw_group *group)
{
	const struct bd_flow_step *step = step_of(view, group);

	if (host->failing &&
	    (group->waited_ms <= FAILING_WAIT_MS || !has_to_run(group)))
		return false;
	return !host->urgent || group->priority == 0 ||
	    (group->age_ms > RESERVED_WAIT_MS && has_to_run(group)) ||
	    (group->slack_ms >= 0 && group->slack_ms < RESERVED_SLACK_MS) ||
	    strcmp(step->data_rack, host->row->rack) == 0;
}

/* Returns whether worker a is preferred to worker b for a task. Suspect workers
 * come last, and cold ones before them; priority 0 prefers reserved workers,
 * other jobs the rest; then best fit: the fewest free accelerators, so that
 * whole workers stay free. */
static bool
is_preferred(const struct fw_host_view *a, const struct fw_host_view *b,
    uint32_t priority)
{
	if (a->suspect != b->suspect)
		return b->suspect;
	if (a->cold != b->cold)
		return b->cold;
	if (a->urgent != b->urgent)
		return a->urgent == (priority == 0);
	if (a->accels != b->accels)
		return a->accels < b->accels;
	return a->cores_milli < b->cores_milli;
}

/* Returns whether a suspect group may be tried on a worker: no other job has
 * runs there, and unless it is a gang its job is tried nowhere else. */
bool
fw_group_may_try_on(const struct fw_view *view, const struct fw_group *group,
    const struct bd_flow_step *step, uint32_t host)
{
	const struct fw_host_view *row = &view->hosts[host];
	const struct fw_job_view *job = &view->jobs[group->job];
	uint64_t id = job->row->id;

	if (row->shared || (row->tenant != 0 && row->tenant != id))
		return false;
	if (row->trial != id && !fw_view_may_try(view, group))
		return false;
	return (step->flags & BD_STEP_GANG) != 0 ||
	    job->trial_host == FW_NONE || job->trial_host == host;
}

/* Returns in which company a group would run on a worker, COMPANY_REFUSED if it
 * does not fit or may not. */
static enum company
company_on(const struct fw_view *view, const struct fw_group *group,
    const struct bd_flow_step *step, uint32_t host)
{
	const struct bd_flow *flow = fw_job_current(&view->jobs[group->job]);
	const struct fw_host_view *row = &view->hosts[host];

	if (fw_host_fits(row, flow, step)) {
		if (!group->suspect ||
		    fw_group_may_try_on(view, group, step, host))
			return COMPANY_NONE;
		if (group->shares)
			return COMPANY_JOBS;
	}
	return group->joins && fw_host_has_room(row, flow, step)
	    ? COMPANY_TRIALS
	    : COMPANY_REFUSED;
}

/* Returns whether a worker has crashed under a task of a group, in its latest
 * run and a short time ago. If the worker is the cause, the job must not be
 * blamed for its next crash. */
static bool
crashed_there(const struct fw_view *view, const struct bd_flow *flow,
    const struct fw_group *group, const struct fw_host_view *host)
{
	const struct bd_step_task *tasks = fw_flow_tasks(flow) + group->first;
	uint32_t n;

	for (n = 0; n < group->count; n++)
		if (tasks[n].crashes > 0 && tasks[n].host == host->row->id &&
		    view->wall_ms - tasks[n].changed_ms < CRASHED_AVOID_MS)
			return true;
	return false;
}

/* Returns whether a worker that has not crashed under a suspect group could
 * hold a task of it, as soon as it is empty. */
static bool
fits_elsewhere(const struct fw_view *view, const struct fw_group *group,
    const struct bd_flow_step *step)
{
	const struct bd_flow *flow = fw_job_current(&view->jobs[group->job]);
	uint32_t i;

	for (i = 0; i < view->host_count; i++)
		if (view->hosts[i].schedulable && !view->hosts[i].failing &&
		    !crashed_there(view, flow, group, &view->hosts[i]) &&
		    fw_host_task_capacity(&view->hosts[i], flow, step) > 0)
			return true;
	return false;
}

/* Returns the best worker for one task, or FW_NONE if it fits on none. */
static uint32_t
best_host(struct fw_view *view, const struct fw_group *group, uint32_t rack)
{
	const struct bd_flow *flow = fw_job_current(&view->jobs[group->job]);
	const struct bd_flow_step *step = step_of(view, group);
	enum company best_company = COMPANY_REFUSED;
	uint32_t best = FW_NONE;
	bool avoid = group->suspect && fits_elsewhere(view, group, step);
	uint32_t i;
	uint32_t end = fw_view_rack_hosts(view, rack, &i);

	view->hosts_scanned += end - i;
	for (; i < end; i++) {
		struct fw_host_view *host = &view->hosts[i];
		enum company company;

		if ((step->host_max > 0 &&
			host->same_step_tasks >= step->host_max) ||
		    !fw_group_may_use(view, host, group))
			continue;
		company = company_on(view, group, step, i);
		if (avoid && company != COMPANY_REFUSED &&
		    crashed_there(view, flow, group, host))
			company =
			    group->shares ? COMPANY_AGAIN : COMPANY_REFUSED;
		if (company == COMPANY_REFUSED || company > best_company)
			continue;
		if (company < best_company ||
		    (company == COMPANY_NONE
			    ? is_preferred(
				  host, &view->hosts[best], group->priority)
			    : fw_host_is_emptier(host, &view->hosts[best]))) {
			best = i;
			best_company = company;
		}
	}
	return best;
}

/* Returns the worker to which a task is bound, or FW_NONE if the task does not
 * fit there now or it is not on the rack. The needs of earlier runs of the
 * task that may be late are those of the task itself. Neither failures there
 * nor the reserve for priority 0 keep the task from its only worker. */
static uint32_t
bound_host(struct fw_view *view, const struct fw_group *group, uint32_t rack,
    const struct fw_view_bound *bound)
{
	const struct bd_flow_step *step = step_of(view, group);
	struct fw_host_view *host = &view->hosts[bound->host];
	struct fw_host_view saved = *host;
	enum company company;
	uint32_t first;
	uint32_t end = fw_view_rack_hosts(view, rack, &first);

	if (bound->host < first || bound->host >= end ||
	    (step->host_max > 0 && host->same_step_tasks >= step->host_max))
		return FW_NONE;
	host->late.memory_mb -= (int64_t)bound->late * step->memory_mb;
	host->late.accels -= (int64_t)bound->late * step->accels;
	if ((step->flags & BD_STEP_FILLS) == 0)
		host->late.cores_milli -=
		    (int64_t)bound->late * step->cores_milli;
	company = company_on(view, group, step, bound->host);
	*host = saved;
	return company == COMPANY_REFUSED ? FW_NONE : bound->host;
}

/* Returns the worker for one task of a group, or FW_NONE if it fits on none. */
static uint32_t
host_for(struct fw_view *view, const struct fw_group *group, uint32_t rack,
    const struct fw_view_bound *bound)
{
	return bound != NULL ? bound_host(view, group, rack, bound)
			     : best_host(view, group, rack);
}

/* Finds workers for the tasks of a group that are bound to one, or for the
 * others, and subtracts what they need. Stops and returns false at the first
 * task that does not fit. */
static bool
fit_tasks(struct fw_view *view, const struct fw_group *group, uint32_t rack,
    bool bound_ones, uint32_t *hosts)
{
	const struct bd_flow_step *step = step_of(view, group);
	uint32_t n;

	for (n = 0; n < group->count; n++) {
		const struct fw_view_bound *bound = group->bound
		    ? fw_view_bound_of(view, group->job, group->first + n)
		    : NULL;

		if ((bound != NULL) != bound_ones)
			continue;
		hosts[n] = host_for(view, group, rack, bound);
		if (hosts[n] == FW_NONE)
			return false;
		fw_host_adjust_free(&view->hosts[hosts[n]], step, -1);
		view->hosts[hosts[n]].same_step_tasks++;
	}
	return true;
}

/* Tries to fit a whole group into one rack, or anywhere with FW_ANY_RACK, the
 * tasks that are bound to a worker first. Subtracts its capacity from the
 * workers only if all tasks fit. */
bool
fw_group_fit_rack(struct fw_view *view, const struct fw_group *group,
    uint32_t rack, uint32_t *hosts)
{
	const struct bd_flow_step *step = step_of(view, group);
	uint32_t n;

	fw_group_count_tasks(view, group);
	for (n = 0; n < group->count; n++)
		hosts[n] = FW_NONE;
	if ((!group->bound || fit_tasks(view, group, rack, true, hosts)) &&
	    fit_tasks(view, group, rack, false, hosts))
		return true;
	for (n = 0; n < group->count; n++)
		if (hosts[n] != FW_NONE)
			fw_host_adjust_free(&view->hosts[hosts[n]], step, 1);
	return false;
}

/* Tries the racks with enough free accelerators, the fullest one first, so that
 * whole racks stay free; those with cold workers come last. */
static bool
fit_one_rack(
    struct fw_view *view, const struct fw_group *group, uint32_t *hosts)
{
	int64_t need = (int64_t)group->count * step_of(view, group)->accels;
	int64_t *accels = calloc(2UL * view->rack_count + 1, sizeof(*accels));
	int64_t *cold = accels + view->rack_count; /* workers */
	bool fits = false;
	uint32_t i;

	if (accels == NULL)
		return false;
	for (i = 0; i < view->host_count; i++) {
		accels[view->hosts[i].rack] += view->hosts[i].accels;
		cold[view->hosts[i].rack] += view->hosts[i].cold;
	}
	while (!fits) {
		uint32_t next = FW_NO_RACK;

		for (i = 0; i < view->rack_count; i++)
			if (accels[i] >= need &&
			    (next == FW_NO_RACK ||
				(cold[i] != cold[next]
					? cold[i] < cold[next]
					: accels[i] < accels[next])))
				next = i;
		if (next == FW_NO_RACK)
			break;
		fits = fw_group_fit_rack(view, group, next, hosts);
		accels[next] = INT64_MIN;
	}
	free(accels);
	return fits;
}

/* Returns whether any rack could hold a group if it were idle. */
static bool
rack_could_hold(const struct fw_view *view, const struct fw_group *group,
    const struct bd_flow_step *step)
{
	const struct bd_flow *flow = fw_job_current(&view->jobs[group->job]);
	uint32_t rack;
	uint32_t i;

	for (rack = 0; rack < view->rack_count; rack++) {
		uint32_t end = fw_view_rack_hosts(view, rack, &i);
		uint64_t count = 0;

		for (; i < end; i++)
			count +=
			    fw_host_task_capacity(&view->hosts[i], flow, step);
		if (count >= group->count)
			return true;
	}
	return false;
}

/* Returns whether a group may leave its preferred rack. Elsewhere a task runs
 * remote_factor times as long, so a group waits for the rack until it has
 * waited longer than the additional run time, or for SPREAD_WAIT_MS if it has
 * to run. */
static bool
may_spread(const struct fw_view *view, const struct fw_group *group,
    const struct bd_flow_step *step)
{
	int64_t longer_ms = (int64_t)step->estimate_ms *
	    ((int64_t)view->settings->remote_factor - 1);

	return group->age_ms > longer_ms ||
	    (group->waited_ms > SPREAD_WAIT_MS && has_to_run(group)) ||
	    (step->data_rack[0] == '\0' && !rack_could_hold(view, group, step));
}

/*
 * Finds a worker for every task of a group, as indexes into the view in
 * hosts[], and subtracts the capacity of the group. A gang that asks for one
 * rack, or a task with data on a rack, is placed there. Other racks are used
 * only if spread is set, if the group has waited longer than the additional run
 * time there, or if no rack could hold the gang. Returns false if the group
 * does not fit.
 */
bool
fw_group_fit(struct fw_view *view, const struct fw_group *group,
    uint32_t *hosts, bool spread)
{
	const struct bd_flow_step *step = step_of(view, group);

	if (step->data_rack[0] != '\0') {
		if (fw_group_fit_rack(view, group,
			fw_view_rack_index(view, step->data_rack), hosts))
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

/* Notes that the capacity which has been subtracted for a group is kept for it.
 */
void
fw_group_note_kept(
    struct fw_view *view, const struct fw_group *group, const uint32_t *hosts)
{
	uint32_t n;

	for (n = 0; n < group->count; n++)
		fw_host_note_kept(&view->hosts[hosts[n]], step_of(view, group));
}

/* Records a new run of each task of a group on its worker in the job's copy. */
void
fw_group_place(
    struct fw_view *view, const struct fw_group *group, const uint32_t *hosts)
{
	struct bd_flow *flow = fw_job_writable(&view->jobs[group->job]);
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
		tasks[n].incarnation_ms = host->incarnation_ms;
		tasks[n].address = cw_id_from_name(host->address);
		tasks[n].changed_ms = view->wall_ms;
		fw_view_add_tenant(view, group->job, hosts[n]);
		if (group->suspect && !view->hosts[hosts[n]].shared)
			fw_view_try_apart(view, group->job, hosts[n]);
	}
	if (flow->state == BD_FLOW_QUEUED) {
		flow->state = BD_FLOW_RUNNING;
		flow->changed_ms = view->wall_ms;
	}
}

/* Returns whether a group may be placed beside the waiting groups that come
 * before it in its service: enough accelerators stay free for them, or it has
 * waited for long and has to run. */
bool
fw_group_leaves_backlog(
    const struct fw_view *view, const struct fw_group *group)
{
	int64_t need = (int64_t)group->count * step_of(view, group)->accels;
	int64_t backlog;

	if (group->service == FW_NONE || need == 0)
		return true;
	backlog = fw_backlog_before(&view->services[group->service], group);
	return backlog == 0 ||
	    (group->waited_ms > RESERVED_WAIT_MS && has_to_run(group)) ||
	    fw_view_free_accels(view, group->service) >= need + backlog;
}

/* Places groups from first to end - 1 until hosts_max workers have been
 * examined in all, and adds their number to *placed. Returns the index of the
 * group after the last one that had its turn. */
static uint32_t
place_range(struct fw_view *view, const struct fw_groups *groups,
    uint32_t first, uint32_t end, uint64_t hosts_max,
    void (*blocked)(
	void *ctx, struct fw_view *view, const struct fw_group *group),
    void *ctx, uint32_t *placed)
{
	uint32_t hosts[FW_TASKS_MAX];
	bool last_failed = false;
	uint32_t i;

	for (i = first; i < end && view->hosts_scanned < hosts_max; i++) {
		const struct fw_group *group = &groups->items[i];

		/* Tasks of a step have equal requirements: if one does not
		 * fit, neither does the next. */
		if (last_failed && group->job == group[-1].job &&
		    group->step == group[-1].step && group->count == 1 &&
		    !group->bound && !group[-1].bound &&
		    group->shares == group[-1].shares &&
		    group->joins == group[-1].joins)
			continue;
		last_failed = false;
		if ((group->priority == 0 ||
			fw_group_leaves_backlog(view, group)) &&
		    fw_group_fit(view, group, hosts, false)) {
			fw_group_place(view, group, hosts);
			(*placed)++;
			continue;
		}
		last_failed = true;
		if (group->service != FW_NONE)
			fw_backlog_add(&view->services[group->service], group,
			    (int64_t)group->count *
				step_of(view, group)->accels,
			    view->settings->rules_off);
		if (blocked != NULL)
			blocked(ctx, view, group);
	}
	return i;
}

/*
 * Places groups in the given order, with backfilling: a group may overtake one
 * that does not fit, but may not use the accelerators that waiting groups of
 * higher priority need (fw_backlog_before). blocked is called for each group
 * that does not fit and may withhold capacity from the groups after it. Those
 * that are not reached have their turn in later decisions, some of them in
 * each. Returns the number of groups placed.
 */
uint32_t
fw_place(struct fw_view *view, const struct fw_groups *groups,
    void (*blocked)(
	void *ctx, struct fw_view *view, const struct fw_group *group),
    void *ctx)
{
	uint64_t hosts_max = FW_HOSTS_SCANNED_MAX + HOSTS_SCANNED_TURN;
	uint32_t placed = 0;
	uint32_t first = place_range(view, groups, 0, groups->count,
	    FW_HOSTS_SCANNED_MAX, blocked, ctx, &placed);
	uint32_t turn;
	uint32_t next;

	if (first == groups->count) {
		view->turn = 0;
		return placed;
	}
	turn = first + view->turn % (groups->count - first);
	next = place_range(view, groups, turn, groups->count, hosts_max,
	    blocked, ctx, &placed);
	if (next == groups->count)
		next = place_range(view, groups, first, turn, hosts_max,
		    blocked, ctx, &placed);
	view->turn = next - first;
	return placed;
}
