#include <string.h>

#include "flow_internal.h"

static void audit_incarnation(const struct fw_worker_state *worker,
    const struct fw_run *run, int64_t placed_on_ms);
static bool first_sighting(struct fw_worker_state *worker, uint64_t id);
static void audit_stray(struct fw_worker_state *worker,
    const struct fw_listed_run *listed, const struct fw_run *run,
    const char *state, const char *over);
static void audit_listed(struct fw_tables *tables, const struct bd_board *board,
    uint32_t handle, const struct fw_listed_run *listed);

/* Reports a run that another incarnation of its worker lists than before, or
 * than it was placed on. placed_on_ms: incarnation in the worker's entry then.
 */
static void
audit_incarnation(const struct fw_worker_state *worker,
    const struct fw_run *run, int64_t placed_on_ms)
{
	int64_t incarnation_ms = worker->report.incarnation_ms;
	int64_t before_ms =
	    run->incarnation_ms != 0 ? run->incarnation_ms : placed_on_ms;

	if (incarnation_ms == 0 || before_ms == incarnation_ms)
		return;
	ev_emit(EV_FLOW_RUN_INCARNATION,
	    "job=%016llx task=%u run=%u worker=%s born=%lld before=%lld "
	    "over=%s",
	    (unsigned long long)run->flow, run->index, run->run, worker->name,
	    (long long)incarnation_ms, (long long)before_ms,
	    run->phase == FW_PHASE_ENDED ? fw_over_name(run->over) : "no");
}

/* Returns whether a run is not among the latest strays of its worker, and adds
 * it to them. */
static bool
first_sighting(struct fw_worker_state *worker, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < FW_STRAYS_MAX; i++)
		if (worker->strays[i] == id)
			return false;
	worker->strays[worker->stray_next] = id;
	worker->stray_next = (worker->stray_next + 1) % FW_STRAYS_MAX;
	return true;
}

/* Reports a run that a worker lists as running though the placer does not have
 * it, or counts it as over. run: the placer's run on this worker, or NULL. */
static void
audit_stray(struct fw_worker_state *worker, const struct fw_listed_run *listed,
    const struct fw_run *run, const char *state, const char *over)
{
	uint64_t id = cw_hash(&listed->task, sizeof(listed->task), listed->run);
	int64_t unknown_ms = run != NULL ? run->uncertain_ms : 0;

	if (!first_sighting(worker, id))
		return;
	ev_emit(EV_FLOW_RUN_STRAY,
	    "task=%s.%u.%u.%u run=%u worker=%s born=%lld state=%s over=%s "
	    "start_unknown_ms_ago=%lld",
	    listed->task.job, listed->task.occurrence, listed->task.step,
	    listed->task.index, listed->run, worker->name,
	    (long long)worker->report.incarnation_ms, state, over,
	    unknown_ms == 0 ? -1LL
			    : (long long)(worker->report.now_ms - unknown_ms));
}

static void
audit_listed(struct fw_tables *tables, const struct bd_board *board,
    uint32_t handle, const struct fw_listed_run *listed)
{
	struct fw_worker_state *worker = &tables->worker_states[handle];
	const struct bd_flow *flow;
	const struct fw_run *run;
	uint32_t index;
	uint32_t found;

	if (listed->run == 0 || listed->task.job[0] == '\0')
		return;
	flow = fw_task_lookup(board, &listed->task, &index);
	if (flow == NULL) {
		audit_stray(worker, listed, NULL, "no_job", "no");
		return;
	}
	found = fw_run_find(tables, flow->id, index, listed->run);
	if (found == FW_NONE) {
		audit_stray(worker, listed, NULL, "no_run", "no");
		return;
	}
	run = &tables->runs[found];
	if (run->worker != handle)
		audit_stray(worker, listed, NULL, "other_worker", "no");
	else if (run->phase == FW_PHASE_ENDED)
		audit_stray(
		    worker, listed, run, "ended", fw_over_name(run->over));
	else if (run->superseded_since_ms != 0)
		audit_stray(worker, listed, run, "superseded", "no");
	if (run->worker == handle)
		audit_incarnation(
		    worker, run, fw_flow_tasks(flow)[index].incarnation_ms);
}

/*
 * Compares the latest report of a worker with the placer's runs and with the
 * worker's capacity, and logs what differs. Changes nothing else. Call before
 * the report is applied, within a read section.
 */
void
fw_audit_report(
    struct fw_tables *tables, const struct bd_board *board, uint32_t handle)
{
	struct fw_worker_state *worker = &tables->worker_states[handle];
	const struct fw_report *report = &worker->report;
	const struct bd_host *row = bd_host_lookup(board, worker->host);
	struct fw_room used = {0};
	struct fw_room offered;
	bool overfull;
	uint32_t i;

	if (report->unread_rows != worker->unread_logged) {
		worker->unread_logged = report->unread_rows;
		ev_emit(EV_FLOW_ROW_BAD,
		    "worker=%s born=%lld rows=%u of=%u reason=\"%s\"",
		    worker->name, (long long)report->incarnation_ms,
		    report->unread_rows, report->run_count + report->end_count,
		    report->unread_rows > 0 ? report->unread : "none");
	}
	for (i = 0; i < report->run_count; i++) {
		const struct fw_task_ref *ref = &report->runs[i].task;
		const struct bd_flow *flow;
		uint32_t index;

		audit_listed(tables, board, handle, &report->runs[i]);
		flow = fw_task_lookup(board, ref, &index);
		if (flow != NULL)
			fw_room_add(&used, flow, index);
	}
	fw_room_offered(tables, board, handle, &offered);
	overfull = row != NULL && fw_room_exceeds(&used, &offered);
	if (overfull && !worker->overfull)
		ev_emit(EV_FLOW_HOST_OVERFULL,
		    "worker=%s born=%lld entry_born=%lld runs=%u cores=%lld/%u "
		    "memory=%lld/%u accels=%lld/%u",
		    worker->name, (long long)report->incarnation_ms,
		    (long long)row->incarnation_ms, report->run_count,
		    (long long)used.cores_milli, row->cores_milli,
		    (long long)used.memory_mb, row->memory_mb,
		    (long long)used.accels, row->accels);
	worker->overfull = overfull;
}

/*
 * Logs a change of the capacity or the incarnation in a worker's entry, with
 * what the placer's runs on it need. Call within a read section, before the
 * entry is applied.
 */
void
fw_audit_entry(struct fw_tables *tables, const struct bd_board *board,
    uint32_t handle, const struct bd_host *row)
{
	struct fw_worker_state *worker = &tables->worker_states[handle];
	struct fw_entry before = worker->entry;
	struct fw_room used;

	worker->entry = (struct fw_entry){true, row->incarnation_ms,
	    before.known && before.incarnation_ms == row->incarnation_ms
		? before.since_ms
		: row->heard_ms,
	    row->clock_ms, row->heard_ms, row->cores_milli, row->memory_mb,
	    row->accels};
	if (!before.known ||
	    (before.incarnation_ms == row->incarnation_ms &&
		before.cores_milli == row->cores_milli &&
		before.memory_mb == row->memory_mb &&
		before.accels == row->accels))
		return;
	fw_room_used(tables, board, handle, &used);
	ev_emit(EV_FLOW_HOST_CHANGED,
	    "worker=%s born=%lld before=%lld known=%lld runs=%u cores=%u "
	    "before_cores=%u used_cores=%lld memory=%u before_memory=%u "
	    "used_memory=%lld accels=%u before_accels=%u used_accels=%lld",
	    row->name, (long long)row->incarnation_ms,
	    (long long)before.incarnation_ms, (long long)worker->incarnation_ms,
	    worker->run_count, row->cores_milli, before.cores_milli,
	    (long long)used.cores_milli, row->memory_mb, before.memory_mb,
	    (long long)used.memory_mb, row->accels, before.accels,
	    (long long)used.accels);
}
