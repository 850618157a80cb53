#include <stdlib.h>

#include "flow_internal.h"

static void subtract_task(struct fw_host_view *host, const struct bd_flow *flow,
    const struct fw_task_ref *ref);
static void add_alive(struct fw_view *view, uint32_t job, uint32_t index);
static bool listed_may_run(const struct fw_tables *tables,
    const struct fw_worker_state *worker, int64_t now_ms);
static const struct bd_flow *find_needs(struct fw_view *view,
    const struct fw_tables *tables, const struct fw_run *run,
    struct fw_host_view **host, uint32_t *index);
static void subtract_pending(struct fw_view *view,
    const struct fw_tables *tables, const struct fw_run *run);
static void note_late_needs(struct fw_view *view,
    const struct fw_tables *tables, const struct fw_run *run);
static void subtract_stray(struct fw_view *view, struct fw_host_view *host,
    const struct fw_listed_run *listed, bool may_run);

/* Subtracts what a task needs from the free capacity of a worker. */
static void
subtract_task(struct fw_host_view *host, const struct bd_flow *flow,
    const struct fw_task_ref *ref)
{
	fw_host_adjust_free(host, &fw_flow_steps(flow)[ref->step], -1);
	fw_host_add_tenant(host, flow->id);
}

static void
add_alive(struct fw_view *view, uint32_t job, uint32_t index)
{
	if (view->alive_count == view->alive_capacity) {
		uint32_t capacity =
		    view->alive_capacity == 0 ? 16 : view->alive_capacity * 2;
		struct fw_view_task *grown =
		    realloc(view->alive, capacity * sizeof(*grown));

		if (grown == NULL) {
			ev_emit(EV_FLOW_NO_MEMORY, "what=view");
			return;
		}
		view->alive = grown;
		view->alive_capacity = capacity;
	}
	view->alive[view->alive_count++] = (struct fw_view_task){job, index};
}

/* Returns whether a worker has listed a run of any of these tasks that may go
 * on, though they wait. */
bool
fw_view_any_alive(
    const struct fw_view *view, uint32_t job, uint32_t first, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < view->alive_count; i++)
		if (view->alive[i].job == job &&
		    view->alive[i].index >= first &&
		    view->alive[i].index - first < count)
			return true;
	return false;
}

/* Subtracts what a listed run needs, unless its job's row shows it as placed on
 * this worker. Notes its task as alive if it waits. may_run: the run may go on
 * by now. */
static void
subtract_stray(struct fw_view *view, struct fw_host_view *host,
    const struct fw_listed_run *listed, bool may_run)
{
	const struct bd_step_task *task;
	const struct bd_flow *flow;
	uint32_t index;

	flow = fw_task_lookup(view->board, &listed->task, &index);
	if (flow == NULL || flow->compacted != 0) {
		host->schedulable = false;
		return;
	}
	task = &fw_flow_tasks(flow)[index];
	if (task->state != BD_STEP_TASK_PLACED || task->run != listed->run ||
	    task->host != host->row->id)
		subtract_task(host, flow, &listed->task);
	if (may_run && task->state == BD_STEP_TASK_WAITING &&
	    fw_view_job_index(view, flow->id) != FW_NONE)
		add_alive(view, fw_view_job_index(view, flow->id), index);
}

/* Returns the row of a run's job and sets *host and *index to its worker in the
 * view and its task. Returns NULL if the worker is not in the view, or if the
 * needs of the run are not known: its worker gets no runs then. */
static const struct bd_flow *
find_needs(struct fw_view *view, const struct fw_tables *tables,
    const struct fw_run *run, struct fw_host_view **host, uint32_t *index)
{
	uint32_t found =
	    fw_view_host_index(view, tables->worker_states[run->worker].host);
	const struct bd_flow *flow;

	if (found == FW_NONE)
		return NULL;
	*host = &view->hosts[found];
	flow = fw_task_lookup(view->board, &run->task, index);
	if (flow != NULL && flow->compacted == 0)
		return flow;
	(*host)->schedulable = false;
	return NULL;
}

/* Subtracts what an ended run needs that may still be started. */
static void
subtract_pending(struct fw_view *view, const struct fw_tables *tables,
    const struct fw_run *run)
{
	const struct bd_flow *flow;
	struct fw_host_view *host;
	uint32_t index;

	if (!fw_run_is_pending_late(run))
		return;
	flow = find_needs(view, tables, run, &host, &index);
	if (flow != NULL)
		subtract_task(host, flow, &run->task);
}

/* Notes what a start needs that may be carried out once its worker has started
 * again. */
static void
note_late_needs(struct fw_view *view, const struct fw_tables *tables,
    const struct fw_run *run)
{
	const struct bd_flow *flow;
	struct fw_host_view *host;
	uint32_t index;

	if (!fw_run_meets_late(run, view->now_ms))
		return;
	flow = find_needs(view, tables, run, &host, &index);
	if (flow != NULL)
		fw_room_add(&host->late, flow, index);
}

/* Returns whether the runs of a worker's latest list may go on: it answers, or
 * a lease that it had at that time or has got since may be valid. One that was
 * leaving and is silent now is taken to be gone. */
static bool
listed_may_run(const struct fw_tables *tables,
    const struct fw_worker_state *worker, int64_t now_ms)
{
	if (worker->leaving && !worker->registered &&
	    worker->unresponsive_since_ms != 0)
		return false;
	return !worker->replaced &&
	    (worker->unresponsive_since_ms == 0 ||
		now_ms <= worker->lease_end_ms ||
		now_ms <= worker->report.now_ms + tables->lease_max_ms);
}

/*
 * Subtracts what runs need that workers have or may get though no row shows
 * them as placed there: those of the latest reports, and ended ones that may
 * still be started; and what starts need that may be late. A worker is not
 * schedulable while it has one whose needs are not known. Notes the waiting
 * tasks that have a listed run. Call right after fw_view_build.
 */
void
fw_view_subtract_listed(struct fw_view *view, const struct fw_tables *tables)
{
	uint32_t host;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < tables->worker_state_count; i++) {
		const struct fw_worker_state *worker =
		    &tables->worker_states[i];
		const struct fw_report *report = &worker->report;

		host = report->run_count == 0
		    ? FW_NONE
		    : fw_view_host_index(view, worker->host);
		for (k = 0; host != FW_NONE && k < report->run_count; k++)
			subtract_stray(view, &view->hosts[host],
			    &report->runs[k],
			    listed_may_run(tables, worker, view->now_ms));
	}
	for (i = 0; i < tables->run_count; i++)
		if (tables->runs[i].used) {
			subtract_pending(view, tables, &tables->runs[i]);
			note_late_needs(view, tables, &tables->runs[i]);
		}
}
