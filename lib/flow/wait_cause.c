#include "flow_internal.h"

/* What keeps tasks of a group from a worker. Workers are counted up in this
 * order until the group would fit. */
enum barrier {
	BARRIER_NONE,
	BARRIER_RESERVED,
	BARRIER_TRIAL,
	BARRIER_LATE_ROOM,
	BARRIER_KEPT,
	BARRIER_LIMIT,
	BARRIER_SILENT,
	BARRIER_ZONE, /* an evacuated one that has room */
	BARRIER_FULL,
	BARRIER_ZONE_FULL,
	BARRIER_COUNT,
};

static uint32_t count_fitting(const struct fw_host_view *host,
    const struct bd_flow *flow, const struct bd_flow_step *step, uint32_t most);
static enum barrier find_barrier(const struct fw_view *view,
    const struct fw_group *group, uint32_t index, uint32_t *fitting);
static bool find_holder(const struct fw_view *view,
    const struct fw_group *group, const struct fw_tables *tables,
    struct fw_wait_cause *cause);
static bool find_reservation(const struct fw_view *view,
    const struct fw_group *group, const struct fw_tables *tables,
    const struct fw_reservation *reservations, struct fw_wait_cause *cause);
static bool has_placed(
    const struct fw_view *view, const struct fw_group *group);

/* Returns the name of a reason in the log. */
const char *
fw_wait_name(enum fw_wait reason)
{
	static const char *const names[FW_WAIT_COUNT] = {
	    [FW_WAIT_UNKNOWN] = "unknown",
	    [FW_WAIT_LATE_START] = "late_start",
	    [FW_WAIT_BOUND] = "bound",
	    [FW_WAIT_LOSS_UNDECIDED] = "loss_undecided",
	    [FW_WAIT_CRASH_PAUSE] = "crash_pause",
	    [FW_WAIT_RUN_LISTED] = "run_listed",
	    [FW_WAIT_GANG_ENDS] = "gang_ends",
	    [FW_WAIT_RESERVATION] = "reservation",
	    [FW_WAIT_NO_WORKER] = "no_worker",
	    [FW_WAIT_WORKERS_SILENT] = "workers_silent",
	    [FW_WAIT_ZONE] = "zone_evacuated",
	    [FW_WAIT_ZONES_OLD] = "zones_old",
	    [FW_WAIT_LATE_ROOM] = "late_room",
	    [FW_WAIT_KEPT] = "kept",
	    [FW_WAIT_TRIAL] = "trial",
	    [FW_WAIT_RESERVED] = "reserved",
	    [FW_WAIT_WORKER_LIMIT] = "worker_limit",
	    [FW_WAIT_RACK] = "rack",
	    [FW_WAIT_SCAN_LIMIT] = "scan_limit",
	    [FW_WAIT_URGENT_BACKLOG] = "urgent_backlog",
	    [FW_WAIT_NO_ROOM] = "no_room",
	    [FW_WAIT_UNDECIDED] = "undecided",
	};

	return names[reason];
}

/* Returns how many tasks of a step fit into the room of a worker, up to most.
 */
static uint32_t
count_fitting(const struct fw_host_view *host, const struct bd_flow *flow,
    const struct bd_flow_step *step, uint32_t most)
{
	struct fw_host_view rest = *host;
	uint32_t n = 0;

	while (n < most && fw_host_has_room(&rest, flow, step)) {
		fw_host_adjust_free(&rest, step, -1);
		n++;
	}
	return n;
}

/* Returns what keeps a group's tasks from a worker, and in *fitting how many
 * would fit there without that. */
static enum barrier
find_barrier(const struct fw_view *view, const struct fw_group *group,
    uint32_t index, uint32_t *fitting)
{
	const struct bd_flow *flow = fw_job_current(&view->jobs[group->job]);
	const struct bd_flow_step *step = &fw_flow_steps(flow)[group->step];
	const struct fw_host_view *host = &view->hosts[index];
	struct fw_host_view free_host = *host;
	uint32_t most = group->count;
	uint32_t fit;

	*fitting = 0;
	if (host->row->leaving != 0)
		return BARRIER_FULL;
	/* As if it took runs, and without what is kept there. */
	free_host.schedulable = true;
	free_host.late = (struct fw_room){0};
	free_host.cores_milli += host->kept.cores_milli;
	free_host.memory_mb += host->kept.memory_mb;
	free_host.accels += host->kept.accels;
	*fitting = count_fitting(&free_host, flow, step, most);
	if (*fitting == 0) {
		free_host.evacuated = false;
		*fitting = fw_host_task_capacity(&free_host, flow, step);
		return host->evacuated ? BARRIER_ZONE_FULL : BARRIER_FULL;
	}
	if (host->evacuated)
		return BARRIER_ZONE;
	if (!host->schedulable || host->failing)
		return BARRIER_SILENT;
	if (step->host_max > 0) {
		if (host->same_step_tasks >= step->host_max)
			return BARRIER_LIMIT;
		if (most > step->host_max - host->same_step_tasks)
			most = step->host_max - host->same_step_tasks;
		if (*fitting > most)
			*fitting = most;
	}
	free_host.cores_milli = host->cores_milli;
	free_host.memory_mb = host->memory_mb;
	free_host.accels = host->accels;
	fit = count_fitting(&free_host, flow, step, most);
	if (fit == 0)
		return BARRIER_KEPT;
	*fitting = fit;
	fit = count_fitting(host, flow, step, most);
	if (fit == 0)
		return BARRIER_LATE_ROOM;
	*fitting = fit;
	if (group->suspect ? !group->joins && !group->shares &&
		    !fw_group_may_try_on(view, group, step, index)
			   : !group->joins && !fw_host_fits(host, flow, step))
		return BARRIER_TRIAL;
	return fw_group_may_use(view, host, group) ? BARRIER_NONE
						   : BARRIER_RESERVED;
}

/* Returns why a group that no rule holds back was not placed, by what is left
 * of the capacity after the decision. */
enum fw_wait
fw_wait_for_room(struct fw_view *view, const struct fw_group *group)
{
	static const enum fw_wait reasons[BARRIER_COUNT] = {
	    [BARRIER_RESERVED] = FW_WAIT_RESERVED,
	    [BARRIER_TRIAL] = FW_WAIT_TRIAL,
	    [BARRIER_LATE_ROOM] = FW_WAIT_LATE_ROOM,
	    [BARRIER_KEPT] = FW_WAIT_KEPT,
	    [BARRIER_LIMIT] = FW_WAIT_WORKER_LIMIT,
	    [BARRIER_SILENT] = FW_WAIT_WORKERS_SILENT,
	    [BARRIER_ZONE] = FW_WAIT_ZONE,
	    [BARRIER_ZONE_FULL] = FW_WAIT_ZONE,
	    [BARRIER_FULL] = FW_WAIT_NO_ROOM};
	const struct bd_flow_step *step = &fw_flow_steps(
	    fw_job_current(&view->jobs[group->job]))[group->step];
	uint64_t fitting[BARRIER_COUNT] = {0};
	uint64_t sum = 0;
	uint32_t i;

	if (view->zones_old)
		return FW_WAIT_ZONES_OLD;
	fw_group_count_tasks(view, group);
	for (i = 0; i < view->host_count; i++) {
		uint32_t fits;
		enum barrier barrier = find_barrier(view, group, i, &fits);

		fitting[barrier] += fits;
	}
	for (i = BARRIER_NONE; i < BARRIER_COUNT; i++) {
		sum += fitting[i];
		if (sum >= group->count)
			break;
	}
	if (i == BARRIER_COUNT)
		return FW_WAIT_NO_WORKER;
	if (i != BARRIER_NONE)
		return reasons[i];
	if (group->priority != 0 && !fw_group_leaves_backlog(view, group))
		return FW_WAIT_URGENT_BACKLOG;
	if (view->hosts_scanned >= FW_HOSTS_SCANNED_MAX)
		return FW_WAIT_SCAN_LIMIT;
	if (step->data_rack[0] != '\0' ||
	    (step->flags & BD_STEP_SAME_RACK) != 0)
		return FW_WAIT_RACK;
	return group->suspect ? FW_WAIT_TRIAL : FW_WAIT_UNKNOWN;
}

/* Finds a run for the sake of which a group has to wait. */
static bool
find_holder(const struct fw_view *view, const struct fw_group *group,
    const struct fw_tables *tables, struct fw_wait_cause *cause)
{
	const struct bd_flow *flow = fw_job_current(&view->jobs[group->job]);
	const struct bd_step_task *tasks = fw_flow_tasks(flow);
	bool any_alive = view->alive_count > 0 &&
	    fw_view_any_alive(view, group->job, group->first, group->count);
	uint32_t i;

	for (i = group->first; i < group->first + group->count; i++) {
		uint32_t found;
		enum fw_binding binding =
		    fw_task_binding(tables, flow->id, i, view->now_ms, &found);

		if (fw_step_may_run_twice(flow, group->step)) {
			binding = FW_BOUND_NOT;
			found = FW_NONE;
		}
		if (binding == FW_BOUND_TO_WAIT)
			cause->reason = FW_WAIT_LATE_START;
		else if (binding == FW_BOUND_TO_WORKER)
			cause->reason = FW_WAIT_BOUND;
		else if (group->suspect &&
		    fw_task_undecided(tables, flow, i, view->now_ms))
			cause->reason = FW_WAIT_LOSS_UNDECIDED;
		else if (any_alive && fw_view_any_alive(view, group->job, i, 1))
			cause->reason = FW_WAIT_RUN_LISTED;
		else
			continue;
		if (found == FW_NONE)
			found = fw_run_find(tables, flow->id, i, tasks[i].run);
		cause->run = tasks[i].run;
		if (found != FW_NONE) {
			cause->run = tables->runs[found].run;
			cause->worker = tables->runs[found].worker;
		}
		return true;
	}
	return false;
}

/* Finds a worker on which capacity is being freed for a group. */
static bool
find_reservation(const struct fw_view *view, const struct fw_group *group,
    const struct fw_tables *tables, const struct fw_reservation *reservations,
    struct fw_wait_cause *cause)
{
	uint64_t id = view->jobs[group->job].row->id;

	for (; reservations != NULL; reservations = reservations->next)
		if (reservations->flow == id &&
		    reservations->first == group->first) {
			cause->reason = FW_WAIT_RESERVATION;
			cause->worker = fw_worker_state_find(
			    tables, reservations->hosts[0]);
			return true;
		}
	return false;
}

/* Returns whether members of a group still count as placed. */
static bool
has_placed(const struct fw_view *view, const struct fw_group *group)
{
	const struct bd_step_task *tasks =
	    fw_flow_tasks(fw_job_current(&view->jobs[group->job]));
	uint32_t i;

	for (i = group->first; i < group->first + group->count; i++)
		if (tasks[i].state == BD_STEP_TASK_PLACED)
			return true;
	return false;
}

/* Finds the rule that holds back a group whose step is ready, by the view after
 * the decision. Returns false if there is none: see fw_wait_for_room. */
bool
fw_wait_find_rule(const struct fw_view *view, const struct fw_group *group,
    const struct fw_tables *tables, const struct fw_reservation *reservations,
    struct fw_wait_cause *cause)
{
	*cause = (struct fw_wait_cause){.worker = FW_NONE};
	if (has_placed(view, group))
		cause->reason = FW_WAIT_GANG_ENDS;
	else if (fw_tasks_pause(fw_job_current(&view->jobs[group->job]),
		     group->first, group->count, view->wall_ms))
		cause->reason = FW_WAIT_CRASH_PAUSE;
	else
		return find_holder(view, group, tables, cause) ||
		    find_reservation(view, group, tables, reservations, cause);
	return true;
}
