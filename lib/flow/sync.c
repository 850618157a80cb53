#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"

/* The entry of a silent worker is deleted after three heartbeats; a draining
 * worker writes its entry with each one. */
#define LEFT_HEARTBEATS_MAX 2
/* Interval at which workers' entries are read even if the topic's position has
 * not changed. */
#define HOSTS_SYNC_MS 500

static void sync_host(
    struct fw_placer *placer, const struct bd_host *row, int64_t now_ms);
static void sync_hosts(struct fw_placer *placer, int64_t now_ms);
static void sync_flow(
    struct fw_placer *placer, const struct bd_flow *flow, int64_t now_ms);
static bool may_start_late(const struct fw_run *run, int64_t incarnation_ms);
static bool revoke_late_start(
    struct fw_run *run, const struct fw_worker_state *worker, int64_t now_ms);
static bool leases_expired(
    const struct fw_worker_state *worker, int64_t now_ms);
static bool worker_gone(
    const struct fw_worker_state *worker, uint32_t heartbeat_ms);
static bool is_listed(const struct fw_run *run, const struct fw_report *report);
static void probe_after_late_start(
    struct fw_worker_state *worker, const struct fw_run *run, int64_t now_ms);
static void check_superseded(
    struct fw_placer *placer, uint32_t handle, int64_t now_ms);
static void settle_adopted(
    struct fw_placer *placer, struct fw_run *run, int64_t now_ms);
static void settle_restarted(
    struct fw_placer *placer, struct fw_run *run, int64_t now_ms);
static bool end_unlisted(
    struct fw_placer *placer, struct fw_run *run, int64_t now_ms);
static void end_without_worker(
    struct fw_placer *placer, struct fw_run *run, int64_t now_ms);
static void check_run(
    struct fw_placer *placer, uint32_t handle, int64_t now_ms);

/* Creates or updates a worker's state from its entry in the store. */
static void
sync_host(struct fw_placer *placer, const struct bd_host *row, int64_t now_ms)
{
	uint32_t handle = fw_worker_state_get(&placer->tables, row->id);
	struct fw_worker_state *worker;

	if (handle == FW_NONE) {
		ev_emit(EV_FLOW_NO_MEMORY, "what=link");
		return;
	}
	worker = &placer->tables.worker_states[handle];
	if (worker->entry.known &&
	    row->incarnation_ms != worker->entry.incarnation_ms)
		worker->replaced = false;
	fw_audit_entry(&placer->tables, placer->parts.board, handle, row);
	worker->registered = true;
	worker->departed = false;
	worker->leaving = row->leaving != 0;
	worker->zone = row->zone;
	if (worker->address[0] == '\0' || worker->misaddressed ||
	    (row->incarnation_ms != worker->incarnation_ms &&
		row->heard_ms > 0))
		fw_address_update(worker, row->name, row->address, now_ms);
	/* Workers without runs are not probed, so a restart shows here first.
	 */
	if (row->incarnation_ms > worker->announced_ms) {
		worker->probe_due = worker->announced_ms != 0;
		if (worker->announced_ms != 0)
			fw_worker_state_reborn(&placer->tables, worker, now_ms);
		if (row->incarnation_ms != worker->incarnation_ms)
			worker->list_from_ms = placer->last_step_ms;
		worker->announced_ms = row->incarnation_ms;
	}
	if (worker->incarnation_ms == 0)
		worker->incarnation_ms = row->incarnation_ms;
	if (worker->clock_read_ms == 0 && row->clock_ms > 0 &&
	    row->incarnation_ms == worker->incarnation_ms)
		fw_worker_state_set_clock(worker, row->clock_ms, row->heard_ms);
}

/* Updates the states of all workers from their entries. */
static void
sync_hosts(struct fw_placer *placer, int64_t now_ms)
{
	struct fw_tables *tables = &placer->tables;
	const struct bd_host *host;
	uint32_t cursor = 0;
	uint32_t i;

	for (i = 0; i < tables->worker_state_count; i++) {
		struct fw_worker_state *worker = &tables->worker_states[i];

		if (worker->registered)
			worker->removed_ms = now_ms;
		worker->registered = false;
	}
	while ((host = bd_host_next(placer->parts.board, &cursor)) != NULL)
		sync_host(placer, host, now_ms);
	fw_addresses_find_taken(tables);
}

/* Adds a run of a task on the worker that its row names. Returns its handle, or
 * FW_NONE if out of memory. Runs that are added when the placer becomes active
 * are adopted: an earlier placer has placed them. */
uint32_t
fw_add_run(struct fw_placer *placer, const struct bd_flow *flow, uint32_t index,
    uint32_t number, int64_t now_ms)
{
	const struct bd_step_task *task = &fw_flow_tasks(flow)[index];
	uint32_t worker = fw_worker_state_get(&placer->tables, task->host);
	uint32_t handle;
	struct fw_run *run;
	bool adopted = placer->active_since_ms == now_ms;

	handle = worker == FW_NONE
	    ? FW_NONE
	    : fw_run_add(&placer->tables, flow->id, index, number, worker);
	if (handle == FW_NONE) {
		ev_emit(EV_FLOW_NO_MEMORY, "what=run");
		return FW_NONE;
	}
	run = &placer->tables.runs[handle];
	fw_task_ref_of(flow, index, &run->task);
	run->phase = adopted ? FW_PHASE_ADOPTED : FW_PHASE_STARTING;
	run->start_sent = run->taken_over = adopted;
	run->start_incarnation_ms = task->incarnation_ms;
	run->placed_ms = now_ms;
	run->listed_from_ms = INT64_MAX;
	if (adopted) {
		fw_assume_late_start(placer, run, flow, now_ms);
		fw_address_expect(&placer->tables.worker_states[worker],
		    task->address, now_ms);
	}
	if (adopted)
		fw_adopt_leases(
		    placer, &placer->tables.worker_states[worker], now_ms);
	return handle;
}

/* Adds runs for the placed tasks of a job that have none yet, and in the first
 * step of a term the ended runs with late starts. */
static void
sync_flow(struct fw_placer *placer, const struct bd_flow *flow, int64_t now_ms)
{
	const struct bd_step_task *tasks = fw_flow_tasks(flow);
	uint32_t count = fw_flow_task_count(flow);
	bool first = placer->active_since_ms == now_ms;
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (tasks[i].state == BD_STEP_TASK_PLACED &&
		    fw_run_find(&placer->tables, flow->id, i, tasks[i].run) ==
			FW_NONE)
			fw_add_run(placer, flow, i, tasks[i].run, now_ms);
		if (first && tasks[i].late_ms > 0)
			fw_add_ended_run(placer, flow, i, now_ms);
	}
}

/* Requests the stop of a run and logs the reason, once. */
void
fw_run_stop(struct fw_placer *placer, struct fw_run *run, const char *reason)
{
	if (run->stop_requested)
		return;
	run->stop_requested = true;
	ev_emit(EV_FLOW_STOP,
	    "job=%016llx task=%u run=%u worker=%s reason=%s percent=%u",
	    (unsigned long long)run->flow, run->index, run->run,
	    placer->tables.worker_states[run->worker].name, reason,
	    run->percent);
}

/* Returns whether a report lists a run, as running or as ended. */
static bool
is_listed(const struct fw_run *run, const struct fw_report *report)
{
	return run->last_listed_ms != 0 &&
	    run->last_listed_ms == report->sent_ms;
}

/* Returns whether an unanswered start of a run may still be carried out by an
 * incarnation of its worker. It is not if that incarnation has listed the run
 * or has carried out its stop: it then refuses the run. An answer to a stop
 * does not name the incarnation, so the reports before and after it have to
 * name the same one. */
static bool
may_start_late(const struct fw_run *run, int64_t incarnation_ms)
{
	if (!fw_run_has_unknown_start(run) ||
	    run->incarnation_ms == incarnation_ms)
		return false;
	return !run->stop_acked || run->stop_incarnation_ms != incarnation_ms;
}

/* Decides whether an ended run has to be stopped: an unanswered start of it may
 * be carried out by an incarnation that has not refused it yet, such as the one
 * that will answer next at a worker that does not. Returns whether the run has
 * to be kept for that. */
static bool
revoke_late_start(
    struct fw_run *run, const struct fw_worker_state *worker, int64_t now_ms)
{
	bool keep = !fw_address_taken_over(worker, run) &&
	    fw_run_may_arrive(run, now_ms);

	run->stop_late_start = keep && !worker->replaced &&
	    (worker->unresponsive_since_ms != 0 ||
		may_start_late(run, fw_worker_state_latest_ms(worker)));
	if (run->stop_late_start)
		run->stop_acked = false;
	return keep;
}

/* Returns whether all leases of a worker that does not answer have expired, so
 * that none of its runs is alive. The answer to a hold that was sent before the
 * leases expired is awaited first: it may list runs that are done. */
static bool
leases_expired(const struct fw_worker_state *worker, int64_t now_ms)
{
	if (worker->lease_end_ms == 0 || now_ms <= worker->lease_end_ms)
		return false;
	if (worker->address[0] == '\0' || worker->replaced)
		return true;
	return worker->unresponsive_since_ms != 0 &&
	    !(worker->hold_in_flight &&
		worker->hold_sent_ms <= worker->lease_end_ms);
}

/* Returns whether a leaving worker is gone, and its runs with it: its address
 * refuses connections, and its entry was deleted sooner than for silence. A
 * refused connection alone may be a cut link: its runs go on for as long as
 * their leases, and it may stay for long after its notice. */
static bool
worker_gone(const struct fw_worker_state *worker, uint32_t heartbeat_ms)
{
	int64_t written_ms;

	return worker->leaving && !worker->registered && worker->refusals > 0 &&
	    fw_worker_state_entry_written(worker, &written_ms) &&
	    worker->removed_ms - written_ms <
	    (int64_t)heartbeat_ms * LEFT_HEARTBEATS_MAX;
}

/* Asks a worker for a list as soon as a late start is refused or can no longer
 * arrive there. The answer to a long poll may take some seconds more. */
static void
probe_after_late_start(
    struct fw_worker_state *worker, const struct fw_run *run, int64_t now_ms)
{
	int64_t arrived_ms = run->uncertain_ms + FW_ORDER_LATE_MAX_MS;
	int64_t since_ms = run->stop_acked && now_ms <= arrived_ms
	    ? run->listed_from_ms
	    : arrived_ms;

	if (now_ms > since_ms && worker->hold_sent_ms <= since_ms &&
	    worker->unresponsive_since_ms == 0)
		worker->probe_due = true;
}

/* Removes a run that is no longer current once its worker has it no longer. */
static void
check_superseded(struct fw_placer *placer, uint32_t handle, int64_t now_ms)
{
	struct fw_run *run = &placer->tables.runs[handle];
	struct fw_worker_state *worker =
	    &placer->tables.worker_states[run->worker];
	bool unlisted = worker->reported && !worker->report.partial &&
	    !is_listed(run, &worker->report) &&
	    !fw_run_is_hidden(run, &worker->report);
	bool taken_over = fw_address_taken_over(worker, run);
	bool keep;

	if (run->superseded_since_ms == 0)
		run->superseded_since_ms = now_ms;
	keep = revoke_late_start(run, worker, now_ms);
	if (fw_run_holds_task(&placer->tables, run, now_ms)) {
		keep = true;
		probe_after_late_start(worker, run, now_ms);
	}
	if (fw_silent_loss_decide(&placer->tables, run, now_ms)) {
		worker->unresolved_runs++;
		keep = true;
	}
	if (keep || run->order_in_flight || run->crash_uncharged)
		return;
	if (taken_over ||
	    (unlisted && worker->report.sent_ms > run->superseded_since_ms) ||
	    ((!worker->registered || worker->replaced) &&
		now_ms > worker->lease_end_ms))
		fw_run_remove(&placer->tables, handle);
}

/* Decides on a run of an earlier placer that the first report does not list: it
 * is started, unless its worker has started again since it was. A start would
 * then be one more of a task that may have crashed the worker. */
static void
settle_adopted(struct fw_placer *placer, struct fw_run *run, int64_t now_ms)
{
	const struct fw_worker_state *worker =
	    &placer->tables.worker_states[run->worker];

	if (run->phase != FW_PHASE_ADOPTED || !worker->reported ||
	    worker->report.sent_ms < placer->active_since_ms ||
	    is_listed(run, &worker->report))
		return;
	if (fw_restarted_since_start(run, &worker->report)) {
		fw_worker_crashed(&placer->tables, run, now_ms);
		run->start_uncertain = true;
		fw_run_stop(placer, run, "worker_restarted");
	}
	run->phase = FW_PHASE_STARTING;
}

/* Stops a run whose start was not answered and whose worker has started again
 * since: one more start may crash it again. */
static void
settle_restarted(struct fw_placer *placer, struct fw_run *run, int64_t now_ms)
{
	const struct fw_report *report =
	    &placer->tables.worker_states[run->worker].report;

	if (run->phase != FW_PHASE_STARTING || !run->start_uncertain ||
	    run->stop_requested || report->sent_ms <= run->uncertain_ms ||
	    is_listed(run, report) || !fw_restarted_since_start(run, report))
		return;
	fw_worker_crashed(&placer->tables, run, now_ms);
	fw_run_stop(placer, run, "worker_restarted");
}

/* Ends a run that the latest report would list if it were alive. Returns
 * whether it has ended. A run that may still start late is stopped first. */
static bool
end_unlisted(struct fw_placer *placer, struct fw_run *run, int64_t now_ms)
{
	struct fw_worker_state *worker =
	    &placer->tables.worker_states[run->worker];
	const struct fw_report *report = &worker->report;

	if (report->sent_ms <= run->listed_from_ms || report->partial)
		return false;
	if (is_listed(run, report)) {
		run->ask_ms = 0;
		return false;
	}
	if (fw_restarted_since_start(run, report))
		fw_worker_crashed(&placer->tables, run, now_ms);
	if (may_start_late(run, report->incarnation_ms)) {
		fw_run_stop(placer, run, "start_unanswered");
		run->stop_acked = false;
		return false;
	}
	if (!fw_restarted_since_start(run, report) &&
	    fw_run_is_hidden(run, report)) {
		fw_run_note_hidden(run, now_ms);
		return false;
	}
	/* Its next run would be hidden there as well. */
	if (run->refused_as_over && fw_report_may_hide(report, &run->task)) {
		worker->failed_count += 2;
		worker->failed_ms = now_ms;
	}
	fw_run_mark_ended(run, run->stop_acked ? FW_END_STOPPED : FW_END_LOST,
	    FW_OVER_NOT_LISTED);
	return true;
}

/* Ends a run whose worker is gone, or cannot have kept it alive. */
static void
end_without_worker(struct fw_placer *placer, struct fw_run *run, int64_t now_ms)
{
	const struct fw_worker_state *worker =
	    &placer->tables.worker_states[run->worker];

	if (fw_has_departed(worker))
		fw_run_mark_ended(run, FW_END_LOST, FW_OVER_WORKER_GONE);
	else if (leases_expired(worker, now_ms)) {
		/* The entry had gone before this placer took over, so nobody
		 * can ask the worker. */
		if (worker->address[0] == '\0' &&
		    run->phase == FW_PHASE_ADOPTED) {
			fw_worker_crashed(&placer->tables, run, now_ms);
			run->crash_presumed = true;
		} else if (worker->address[0] != '\0')
			run->silent_loss_ms = now_ms;
		fw_run_mark_ended(run, FW_END_LOST, FW_OVER_LEASE_EXPIRED);
	} else if (worker_gone(worker, placer->parts.settings.heartbeat_ms))
		fw_run_mark_ended(run, FW_END_LOST, FW_OVER_WORKER_GONE);
}

/* Detects the end of a run whose end is not listed by its worker, and removes a
 * run that neither its job nor its worker has any longer. */
static void
check_run(struct fw_placer *placer, uint32_t handle, int64_t now_ms)
{
	struct fw_run *run = &placer->tables.runs[handle];
	struct fw_worker_state *worker =
	    &placer->tables.worker_states[run->worker];

	if (!fw_run_is_current(placer->parts.board, run)) {
		check_superseded(placer, handle, now_ms);
		return;
	}
	if (run->phase == FW_PHASE_ENDED) {
		revoke_late_start(run, worker, now_ms);
		return;
	}
	if (fw_address_taken_over(worker, run)) {
		if (run->order_in_flight)
			return;
		fw_worker_crashed(&placer->tables, run, now_ms);
		/* Its entry had gone before this placer took over: the run may
		 * have ended long before. */
		if (!worker->entry.known)
			run->crash_presumed = true;
		fw_run_mark_ended(run, FW_END_LOST, FW_OVER_RESTARTED);
		return;
	}
	settle_adopted(placer, run, now_ms);
	settle_restarted(placer, run, now_ms);
	if (!fw_run_continues(placer, run, now_ms) && !run->start_sent &&
	    !run->order_in_flight) {
		fw_run_mark_ended(run, FW_END_STOPPED, FW_OVER_NOT_SENT);
		return;
	}
	if (end_unlisted(placer, run, now_ms))
		return;
	end_without_worker(placer, run, now_ms);
	if (run->stop_acked || run->phase == FW_PHASE_ADOPTED)
		worker->unresolved_runs++;
}

/*
 * Updates the placer's runs and worker states from the board and from the
 * latest reports: adds a run for each new placement, ends the runs whose ends
 * are listed, and requests the stop of runs that are not to continue. Reads
 * only what has changed since the last call, and returns whether anything has.
 * Call within a read section.
 */
bool
fw_runs_sync(struct fw_placer *placer, int64_t now_ms)
{
	struct fw_tables *tables = &placer->tables;
	const struct bd_board *board = placer->parts.board;
	uint64_t jobs = fw_follower_position(placer->parts.jobs);
	uint64_t progress = fw_follower_position(placer->parts.progress);
	uint64_t hosts = fw_follower_position(placer->parts.hosts);
	bool first = placer->active_since_ms == now_ms;
	bool jobs_changed = first || jobs != placer->jobs_position ||
	    progress != placer->progress_position;
	bool changed = jobs_changed || first || hosts != placer->hosts_position;
	const struct bd_flow *flow;
	uint32_t cursor = 0;
	uint32_t i;

	/* A reload of the topic may change entries without a change of its
	 * position. */
	if (changed || now_ms - placer->hosts_synced_ms > HOSTS_SYNC_MS) {
		sync_hosts(placer, now_ms);
		placer->hosts_synced_ms = now_ms;
	}
	while (jobs_changed && (flow = bd_flow_next(board, &cursor)) != NULL)
		sync_flow(placer, flow, now_ms);
	placer->jobs_position = jobs;
	placer->progress_position = progress;
	placer->hosts_position = hosts;
	changed = fw_departures_sync(placer, now_ms) || changed;
	for (i = 0; i < tables->worker_state_count; i++) {
		struct fw_worker_state *worker = &tables->worker_states[i];
		const struct fw_report *report = &worker->report;

		worker->unresolved_runs = 0;
		if (!worker->report_unread &&
		    (!jobs_changed || report->end_count == 0) &&
		    !fw_ends_become_void(tables, worker, now_ms))
			continue;
		changed = true;
		if (worker->report_unread)
			fw_audit_report(tables, board, i);
		worker->report_unread = false;
		fw_report_apply(tables, board, i, now_ms);
		if (report->end_count > 0 &&
		    worker->unresponsive_since_ms == 0 &&
		    worker->end_ack >= fw_report_last_number(report))
			worker->next_hold_ms = 0;
	}
	for (i = 0; i < tables->run_count; i++)
		if (tables->runs[i].used)
			check_run(placer, i, now_ms);
	return changed;
}
