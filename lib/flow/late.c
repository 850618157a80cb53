#include <stdlib.h>

#include "flow_internal.h"

/* Starts that have no answer and may still be carried out. The incarnations of
 * their worker that have refused them carry none out; a later one may, and with
 * it a start of the next run if that has no answer either. */

/* A worker without an entry is gone after this time: the entries of those that
 * reach the store are back within two seconds. */
#define GONE_MS 2000

static enum fw_binding binding_of(
    const struct fw_tables *tables, const struct fw_run *run, int64_t now_ms);
static bool any_ended_run_holds(const struct fw_tables *tables, int64_t now_ms);
static void log_binding(const struct fw_tables *tables,
    const struct bd_flow *flow, struct fw_run *run, enum fw_binding binding,
    int64_t now_ms);
static uint32_t count_late(const struct fw_tables *tables, uint64_t flow,
    uint32_t index, int64_t now_ms);
static bool bind_task(struct fw_view *view, struct fw_tables *tables,
    struct fw_group *group, uint32_t index);
static bool is_held(struct fw_view *view, struct fw_tables *tables,
    struct fw_group *group, bool any_late);

/* Returns whether a start of a run has or may have had no answer, so that it
 * may not have been carried out yet. The only start of a run that has begun
 * has. */
bool
fw_run_has_unknown_start(const struct fw_run *run)
{
	if (run->starts == 1 && run->began)
		return false;
	return run->start_in_flight || run->start_uncertain ||
	    run->start_assumed;
}

/* Returns whether an unanswered start of a run may still reach its worker. */
bool
fw_run_may_arrive(const struct fw_run *run, int64_t now_ms)
{
	return fw_run_has_unknown_start(run) &&
	    (run->start_in_flight ||
		now_ms - run->uncertain_ms < FW_ORDER_LATE_MAX_MS);
}

/* Returns whether an ended run may still be started: the stop that revokes an
 * unanswered start of it has not been answered. */
bool
fw_run_is_pending_late(const struct fw_run *run)
{
	return run->used && run->stop_late_start && !run->stop_acked;
}

/* Returns whether a worker is gone for good: its entry is missing, it does not
 * answer, and all leases have expired. */
static bool
is_gone(const struct fw_worker_state *worker, int64_t now_ms)
{
	return !worker->registered && now_ms - worker->removed_ms >= GONE_MS &&
	    now_ms > worker->lease_end_ms &&
	    (worker->unresponsive_since_ms != 0 || worker->address[0] == '\0');
}

/*
 * Returns whether an unanswered start of a run may still be carried out, or may
 * have been carried out by an incarnation of its worker that has not listed its
 * runs since and whose leases may be valid. Runs of its task elsewhere have to
 * wait.
 */
bool
fw_run_holds_task(
    const struct fw_tables *tables, const struct fw_run *run, int64_t now_ms)
{
	const struct fw_worker_state *worker =
	    &tables->worker_states[run->worker];
	int64_t arrived_ms = run->uncertain_ms + FW_ORDER_LATE_MAX_MS;
	int64_t granted_ms = worker->grant_unknown_ms + FW_ORDER_LATE_MAX_MS;

	if (!fw_run_has_unknown_start(run))
		return false;
	if (fw_address_taken_over(worker, run) ||
	    (run->phase == FW_PHASE_ENDED &&
		run->over == FW_OVER_WORKER_GONE) ||
	    (!run->start_in_flight && is_gone(worker, now_ms)))
		return false;
	if (run->start_in_flight || now_ms < arrived_ms)
		return true;
	if (worker->report.sent_ms > arrived_ms || !worker->registered)
		return false;
	if (granted_ms < arrived_ms)
		granted_ms = arrived_ms;
	return now_ms <= granted_ms + tables->lease_max_ms;
}

/* Returns whether the present incarnation of a run's worker refuses the starts
 * of the run: it has listed the end, or has listed its runs after a stop. */
bool
fw_run_is_refused(const struct fw_tables *tables, const struct fw_run *run)
{
	const struct fw_worker_state *worker =
	    &tables->worker_states[run->worker];
	int64_t latest_ms = fw_worker_state_latest_ms(worker);

	if (run->start_in_flight || run->order_in_flight || latest_ms == 0 ||
	    worker->report.incarnation_ms != latest_ms ||
	    !fw_worker_list_is_current(worker))
		return false;
	if (run->end_incarnation_ms == latest_ms)
		return true;
	return run->stop_acked && run->stop_incarnation_ms == latest_ms &&
	    worker->report.sent_ms > run->listed_from_ms;
}

/* Returns where the next run of a task may be for the sake of an earlier one.
 * Where that one was refused, the next run is safe on the same worker: should
 * it start again, it loses this run before it carries out the earlier start. A
 * worker that answers no starts would leave both of them to its successor. */
static enum fw_binding
binding_of(
    const struct fw_tables *tables, const struct fw_run *run, int64_t now_ms)
{
	if (!fw_run_holds_task(tables, run, now_ms))
		return FW_BOUND_NOT;
	return !run->start_given_up && fw_run_is_refused(tables, run)
	    ? FW_BOUND_TO_WORKER
	    : FW_BOUND_TO_WAIT;
}

/* Returns where the next run of a task may be. Sets *run to the earlier one for
 * whose sake it is bound. */
enum fw_binding
fw_task_binding(const struct fw_tables *tables, uint64_t flow, uint32_t index,
    int64_t now_ms, uint32_t *run)
{
	enum fw_binding strictest = FW_BOUND_NOT;
	uint32_t i = fw_run_first(tables, flow, index);

	*run = FW_NONE;
	for (; i != FW_NONE; i = tables->runs[i].next) {
		enum fw_binding binding;

		if (tables->runs[i].flow != flow ||
		    tables->runs[i].index != index)
			continue;
		binding = binding_of(tables, &tables->runs[i], now_ms);
		if (binding == FW_BOUND_TO_WORKER && *run != FW_NONE &&
		    tables->runs[*run].worker != tables->runs[i].worker)
			binding = FW_BOUND_TO_WAIT;
		if (binding > strictest) {
			strictest = binding;
			*run = i;
		}
	}
	return strictest;
}

/* Returns whether several runs of a task of a step may go on at a time. */
bool
fw_step_may_run_twice(const struct bd_flow *flow, uint32_t step)
{
	return (fw_flow_steps(flow)[step].flags & BD_STEP_SPECULATIVE) != 0;
}

/* Returns whether a start of a run may be sent: its worker refuses the starts
 * of all earlier runs of the task that may still arrive. */
bool
fw_start_is_alone(
    const struct fw_tables *tables, const struct fw_run *run, int64_t now_ms)
{
	uint32_t i = fw_run_first(tables, run->flow, run->index);

	for (; i != FW_NONE; i = tables->runs[i].next) {
		const struct fw_run *other = &tables->runs[i];

		if (other != run && other->flow == run->flow &&
		    other->index == run->index &&
		    fw_run_holds_task(tables, other, now_ms) &&
		    !(other->worker == run->worker &&
			fw_run_is_refused(tables, other)))
			return false;
	}
	return true;
}

/* Returns whether any task may be bound by an earlier run. */
static bool
any_ended_run_holds(const struct fw_tables *tables, int64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < tables->run_count; i++) {
		const struct fw_run *run = &tables->runs[i];

		if (run->used &&
		    (run->phase == FW_PHASE_ENDED ||
			run->superseded_since_ms != 0) &&
		    fw_run_holds_task(tables, run, now_ms))
			return true;
	}
	return false;
}

/* Logs, once a run, that the next run of its task waits. */
static void
log_binding(const struct fw_tables *tables, const struct bd_flow *flow,
    struct fw_run *run, enum fw_binding binding, int64_t now_ms)
{
	const struct fw_worker_state *worker =
	    &tables->worker_states[run->worker];

	if (run->wait_logged || binding != FW_BOUND_TO_WAIT)
		return;
	run->wait_logged = true;
	ev_emit(EV_FLOW_START_AWAITED,
	    "job=%s task=%u run=%u worker=%s start_unknown_ms_ago=%lld "
	    "assumed=%d registered=%d silent_ms=%lld stop_answered=%d",
	    flow->name, run->index, run->run, worker->name,
	    (long long)(now_ms - run->uncertain_ms), run->start_assumed,
	    worker->registered,
	    worker->unresponsive_since_ms == 0
		? 0LL
		: (long long)(now_ms - worker->unresponsive_since_ms),
	    run->stop_acked);
}

/* Returns how many runs of a task are among the late needs of its worker. */
static uint32_t
count_late(const struct fw_tables *tables, uint64_t flow, uint32_t index,
    int64_t now_ms)
{
	uint32_t i = fw_run_first(tables, flow, index);
	uint32_t count = 0;

	for (; i != FW_NONE; i = tables->runs[i].next)
		count += tables->runs[i].flow == flow &&
		    tables->runs[i].index == index &&
		    fw_run_meets_late(&tables->runs[i], now_ms);
	return count;
}

/* Binds a task of a group to the worker of an earlier run if it has to be.
 * Returns false if the task has to wait. */
static bool
bind_task(struct fw_view *view, struct fw_tables *tables,
    struct fw_group *group, uint32_t index)
{
	const struct bd_flow *flow = fw_job_current(&view->jobs[group->job]);
	enum fw_binding binding;
	uint32_t found;
	uint32_t host;

	binding =
	    fw_task_binding(tables, flow->id, index, view->now_ms, &found);
	if (binding == FW_BOUND_NOT)
		return true;
	log_binding(tables, flow, &tables->runs[found], binding, view->now_ms);
	if (binding == FW_BOUND_TO_WAIT)
		return false;
	host = fw_view_host_index(
	    view, tables->worker_states[tables->runs[found].worker].host);
	group->bound = true;
	return host != FW_NONE &&
	    fw_view_bind(view, group->job, index, host,
		count_late(tables, flow->id, index, view->now_ms));
}

/* Returns whether a group is not to be placed now. */
static bool
is_held(struct fw_view *view, struct fw_tables *tables, struct fw_group *group,
    bool any_late)
{
	const struct bd_flow *flow = fw_job_current(&view->jobs[group->job]);
	bool may_run_twice = fw_step_may_run_twice(flow, group->step);
	uint32_t i;

	for (i = group->first; i < group->first + group->count; i++)
		if ((any_late && !may_run_twice &&
			!bind_task(view, tables, group, i)) ||
		    (group->suspect &&
			fw_task_undecided(tables, flow, i, view->now_ms)))
			return true;
	return false;
}

/*
 * Leaves out the groups of which an earlier run may still be started, and those
 * of suspect jobs whose last loss is undecided: the crash, if it was one, has
 * to be counted before the next start. Binds the tasks of the others to the
 * worker that has refused an earlier start.
 */
void
fw_groups_defer(
    struct fw_groups *groups, struct fw_view *view, struct fw_tables *tables)
{
	bool any_late = any_ended_run_holds(tables, view->now_ms);
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < groups->count; i++)
		if (!is_held(view, tables, &groups->items[i], any_late))
			groups->items[kept++] = groups->items[i];
	groups->count = kept;
}
