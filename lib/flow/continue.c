#include "flow_internal.h"

/* Which runs go on, and which are stopped. */

/* A gang that is not complete within this part of gang_timeout_ms is stopped as
 * a whole, before its workers give up on it. */
#define GANG_START_MILLI 600
/* A worker that has left a start unanswered for this long is avoided. */
#define START_SLOW_MS 2500
/* Draining workers continue for some seconds after the notice that they
 * announce; workers that are removed do not. */
#define DRAIN_EXTRA_MS 4000

static bool gang_intact(struct fw_placer *placer, const struct bd_flow *flow,
    const struct fw_run *run, int64_t now_ms);
static bool lasts(const struct bd_flow *flow, const struct fw_run *run);
static bool should_migrate(const struct bd_flow *flow, const struct fw_run *run,
    const struct bd_host *host, int64_t now_ms);

/* Returns whether a gang may continue. A gang cannot run without one of its
 * members, so it is stopped as a whole if one has ended or does not start in
 * time. Once one member is done, all are. */
static bool
gang_intact(struct fw_placer *placer, const struct bd_flow *flow,
    const struct fw_run *run, int64_t now_ms)
{
	const struct bd_step_task *tasks = fw_flow_tasks(flow);
	int64_t start_limit_ms =
	    (int64_t)placer->parts.settings.gang_timeout_ms * GANG_START_MILLI /
	    1000;
	uint32_t first;
	uint32_t count;
	bool intact = true;
	uint32_t i;

	if (!fw_group_of(flow, run->index, &first, &count))
		return true;
	for (i = first; i < first + count; i++) {
		const struct fw_run *member;
		uint32_t found;

		if (tasks[i].state != BD_STEP_TASK_PLACED ||
		    tasks[i].run != run->run) {
			intact = false;
			continue;
		}
		found = fw_run_find(&placer->tables, flow->id, i, tasks[i].run);
		if (found == FW_NONE)
			continue;
		member = &placer->tables.runs[found];
		if (member->phase == FW_PHASE_ENDED &&
		    member->end == FW_END_DONE)
			return true;
		if (member->stop_requested || member->phase == FW_PHASE_ENDED ||
		    (member->phase == FW_PHASE_STARTING &&
			now_ms - member->placed_ms > start_limit_ms))
			intact = false;
	}
	return intact;
}

/* Returns whether a run is of a step that runs until its job is cancelled. */
static bool
lasts(const struct bd_flow *flow, const struct fw_run *run)
{
	struct fw_task_ref ref;

	fw_task_ref_of(flow, run->index, &ref);
	return (fw_flow_steps(flow)[ref.step].flags & BD_STEP_LONG_RUNNING) !=
	    0;
}

/* Returns whether a run should migrate from a leaving worker because it would
 * not complete in time. A run without checkpoints loses its work by migrating,
 * so it stays if it may complete before a draining worker ends. */
static bool
should_migrate(const struct bd_flow *flow, const struct fw_run *run,
    const struct bd_host *host, int64_t now_ms)
{
	int64_t remaining_ms = host->heard_ms + host->notice_ms - now_ms;
	const struct bd_flow_step *step;
	struct fw_task_ref ref;

	fw_task_ref_of(flow, run->index, &ref);
	step = &fw_flow_steps(flow)[ref.step];
	if ((step->flags & BD_STEP_CHECKPOINTS) == 0)
		remaining_ms += DRAIN_EXTRA_MS;
	return (int64_t)step->estimate_ms * (100 - (int64_t)run->percent) /
	    100 >
	    remaining_ms;
}

/* Returns whether a run is to continue; requests its stop if not. A start that
 * is on its way to an evacuated zone was sent in time: it stays if it is
 * answered, and is stopped if not. Call within a read section. */
bool
fw_run_continues(struct fw_placer *placer, struct fw_run *run, int64_t now_ms)
{
	const struct bd_flow *flow =
	    bd_flow_lookup(placer->parts.board, run->flow);
	struct fw_worker_state *worker =
	    &placer->tables.worker_states[run->worker];
	const struct bd_host *host =
	    bd_host_lookup(placer->parts.board, worker->host);

	if (flow == NULL || run->stop_requested)
		return false;
	fw_run_note_pace(&placer->tables, flow, run);
	if (run->phase == FW_PHASE_STARTING && run->start_uncertain &&
	    now_ms - run->placed_ms > START_SLOW_MS)
		worker->unanswered_ms = now_ms;
	if (fw_flow_ended(flow) || flow->cancelled != 0)
		fw_run_stop(placer, run, "job_ended");
	else if (!gang_intact(placer, flow, run, now_ms))
		fw_run_stop(placer, run, "gang_incomplete");
	else if (run->phase == FW_PHASE_STARTING &&
	    now_ms - run->placed_ms > FW_START_REPEATED_MS) {
		fw_run_stop(placer, run, "start_unanswered");
		run->start_given_up = true;
	} else if (host != NULL && host->leaving != 0 &&
	    (run->phase == FW_PHASE_STARTING ||
		should_migrate(flow, run, host, now_ms)))
		fw_run_stop(placer, run, "worker_leaving");
	else if (run->phase == FW_PHASE_STARTING && !run->start_in_flight &&
	    !fw_may_start_on(placer, worker))
		fw_run_stop(placer, run, "zone_evacuated");
	else if (run->phase == FW_PHASE_STARTING && !run->start_sent &&
	    (worker->unresponsive_since_ms != 0 || worker->misaddressed))
		fw_run_stop(placer, run, "worker_silent");
	else if (fw_ends_need_lapse(worker) && lasts(flow, run))
		fw_run_stop(placer, run, "ends_held_up");
	else if (fw_run_stalled(&placer->tables, flow, run)) {
		fw_run_stop(placer, run, "no_progress");
		worker->failed_count += 2;
		worker->failed_ms = now_ms;
	}
	return !run->stop_requested;
}
