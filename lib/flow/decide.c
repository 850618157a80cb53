#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"

/* For this long after a crash or a failed run, a worker is used only as a last
 * resort, and if two runs in a row have failed only for groups that have to
 * run: the tasks may be the cause, and so of all workers of a service. */
#define SUSPECT_MS 8000
/* A worker that has not answered the repeated start of a run is used only as a
 * last resort for this long. The task itself waits for a part of that. */
#define UNANSWERED_AVOID_MS 30000
/* A new placer preempts nothing while it still waits for the first lists of
 * more than one worker in this many, which takes up to this time: urgent jobs
 * would find only the first workers, and stop what runs there. */
#define LISTS_MISSING_PART 10
#define LISTS_WAIT_MS 2000
/* If more than one worker in this many was silent repeatedly, the cause is
 * likely to be this VM or its network, and none is avoided for it. */
#define SILENT_COMMON_PART 4
/* Workers are reserved for jobs of priority 0 according to the moving average
 * of the demand of these jobs, plus a margin for the next ones. With this
 * averaging time the reserve follows a burst within some seconds. */
#define URGENT_AVERAGE_MS 8000
#define URGENT_MARGIN_MILLI 1200
#define URGENT_MIN_ACCELS 16
/* What is done for the groups that have to wait. */
struct waiting {
	struct fw_preempt preempt;
	struct fw_advance advance;
};

static void avoid_silent_hosts(
    const struct fw_placer *placer, struct fw_view *view);
static void exclude_failing_hosts(
    struct fw_placer *placer, struct fw_view *view);
static void reserve_urgent(struct fw_placer *placer, struct fw_view *view);
static void record_end(struct fw_placer *placer, const struct fw_run *run,
    enum fw_end end, int64_t now_ms);
static void log_given_up(const struct fw_run *run, const struct bd_flow *flow);
static void charge_crash(struct fw_placer *placer, const struct fw_run *run,
    struct bd_flow *flow, const struct fw_view *view);
static void apply_ends(struct fw_placer *placer, struct fw_view *view);
static void charge_late_crashes(struct fw_placer *placer, struct fw_view *view);
static void on_blocked(
    void *ctx, struct fw_view *view, const struct fw_group *group);
static void log_decision(const struct fw_job_view *job);
static void log_checkpoints(
    const struct fw_job_view *job, size_t record_bytes_max);
static bool fill_batch(struct fw_placer *placer, struct fw_view *view);

/* Marks the workers that were silent repeatedly as failing. */
static void
avoid_silent_hosts(const struct fw_placer *placer, struct fw_view *view)
{
	uint32_t i;

	for (i = 0; i < view->host_count; i++) {
		uint32_t found = fw_worker_state_find(
		    &placer->tables, view->hosts[i].row->id);

		if (found != FW_NONE &&
		    fw_silent_repeatedly(
			&placer->tables.worker_states[found].silences,
			view->now_ms))
			view->hosts[i].failing = true;
	}
}

/* Excludes all workers while the copy of the evacuations is too old: ends are
 * applied all the same. Excludes those that do not answer, have not listed
 * their runs in this term yet, or whose entry is of a former incarnation, and
 * marks those on which runs fail. */
static void
exclude_failing_hosts(struct fw_placer *placer, struct fw_view *view)
{
	uint32_t missing = 0;
	uint32_t repeated = 0;
	uint32_t i;

	view->zones_old = !fw_zones_recent(placer, view->now_ms);
	for (i = 0; i < view->host_count; i++) {
		struct fw_host_view *host = &view->hosts[i];
		uint32_t found =
		    fw_worker_state_find(&placer->tables, host->row->id);
		const struct fw_worker_state *worker;

		if (found == FW_NONE) {
			host->schedulable = false;
			continue;
		}
		worker = &placer->tables.worker_states[found];
		if (view->zones_old)
			host->schedulable = false;
		missing +=
		    !worker->reported && worker->unresponsive_since_ms == 0;
		if (!worker->reported || worker->unresponsive_since_ms != 0 ||
		    worker->misaddressed ||
		    worker->report.end_count > FW_ENDS_WAITING_MAX ||
		    fw_worker_state_entry_outdated(worker) ||
		    fw_former_ack_may_arrive(worker, view->now_ms) ||
		    worker->clock_read_ms == 0)
			host->schedulable = false;
		if (worker->crashed_ms != 0 &&
		    view->now_ms - worker->crashed_ms < SUSPECT_MS)
			host->suspect = true;
		if (worker->unanswered_ms != 0 &&
		    view->now_ms - worker->unanswered_ms < UNANSWERED_AVOID_MS)
			host->suspect = true;
		if (worker->failed_count > 0 &&
		    view->now_ms - worker->failed_ms < SUSPECT_MS) {
			host->suspect = true;
			host->failing = worker->failed_count > 1;
		}
		host->suspect |=
		    fw_silent_lately(&worker->silences, view->now_ms);
		repeated +=
		    fw_silent_repeatedly(&worker->silences, view->now_ms);
	}
	if (repeated * SILENT_COMMON_PART <= view->host_count)
		avoid_silent_hosts(placer, view);
	view->lists_pending = missing * LISTS_MISSING_PART > view->host_count &&
	    view->now_ms - placer->active_since_ms < LISTS_WAIT_MS;
}

/* Updates the average demand of priority 0 and reserves workers for it. */
static void
reserve_urgent(struct fw_placer *placer, struct fw_view *view)
{
	int64_t passed_ms = view->now_ms - placer->urgent_average_ms;
	int64_t demand_milli = (int64_t)fw_view_urgent_demand(view) * 1000;
	int64_t average = (int64_t)placer->urgent_average_milli;

	if (passed_ms > URGENT_AVERAGE_MS)
		passed_ms = URGENT_AVERAGE_MS;
	average += (demand_milli - average) * passed_ms / URGENT_AVERAGE_MS;
	placer->urgent_average_milli = (uint64_t)average;
	placer->urgent_average_ms = view->now_ms;
	fw_view_reserve_urgent(view,
	    (uint64_t)average * URGENT_MARGIN_MILLI / 1000000 +
		URGENT_MIN_ACCELS);
}

/* Logs the end of a run and counts the failures of its worker. */
static void
record_end(struct fw_placer *placer, const struct fw_run *run, enum fw_end end,
    int64_t now_ms)
{
	struct fw_worker_state *worker =
	    &placer->tables.worker_states[run->worker];

	if (end == FW_END_FAILED) {
		worker->failed_count++;
		worker->failed_ms = now_ms;
	} else if (end == FW_END_DONE)
		worker->failed_count = 0;
	ev_emit(EV_FLOW_ENDED,
	    "job=%016llx task=%u run=%u worker=%s end=%s by=%s born=%lld "
	    "percent=%u ms=%lld",
	    (unsigned long long)run->flow, run->index, run->run, worker->name,
	    fw_end_name(end), fw_over_name(run->over),
	    (long long)run->incarnation_ms, run->percent,
	    (long long)(now_ms - run->placed_ms));
	if (run->over != FW_OVER_LISTED && run->over != FW_OVER_NOT_SENT)
		ev_emit(EV_FLOW_RUN_PRESUMED,
		    "job=%016llx task=%u run=%u worker=%s end=%s by=%s "
		    "born=%lld known=%lld started=%d uncertain=%d "
		    "stop_answered=%d listed_ms_ago=%lld report_ms_ago=%lld "
		    "lease_ms_left=%lld start_unknown_ms_ago=%lld "
		    "grant_unknown_ms_ago=%lld",
		    (unsigned long long)run->flow, run->index, run->run,
		    worker->name, fw_end_name(end), fw_over_name(run->over),
		    (long long)run->incarnation_ms,
		    (long long)worker->incarnation_ms, run->start_sent,
		    run->start_uncertain, run->stop_acked,
		    run->last_listed_ms == 0
			? -1LL
			: (long long)(now_ms - run->last_listed_ms),
		    worker->report.sent_ms == 0
			? -1LL
			: (long long)(now_ms - worker->report.sent_ms),
		    worker->lease_end_ms == 0
			? -1LL
			: (long long)(worker->lease_end_ms - now_ms),
		    run->uncertain_ms == 0
			? -1LL
			: (long long)(now_ms - run->uncertain_ms),
		    worker->grant_unknown_ms == 0
			? -1LL
			: (long long)(now_ms - worker->grant_unknown_ms));
}

/* Logs the end of a job that has failed by the crashes of a task. */
static void
log_given_up(const struct fw_run *run, const struct bd_flow *flow)
{
	if (fw_flow_ended(flow))
		ev_emit(EV_FLOW_GIVEN_UP,
		    "job=%s task=%u crashes=%u "
		    "reason=\"workers crash when they run it\"",
		    flow->name, run->index,
		    fw_flow_tasks(flow)[run->index].crashes);
}

/* Charges the crash of a run's worker to its task, and logs it. */
static void
charge_crash(struct fw_placer *placer, const struct fw_run *run,
    struct bd_flow *flow, const struct fw_view *view)
{
	const struct bd_step_task *task = &fw_flow_tasks(flow)[run->index];
	bool had_ended = fw_flow_ended(flow);
	struct fw_crash crash;

	fw_crash_describe(&placer->tables, run, run->crashed_ms, &crash);
	fw_task_crashed(flow, run->index, &crash, view->wall_ms);
	ev_emit(EV_FLOW_CRASHED,
	    "job=%s task=%u run=%u worker=%s crashes=%u clear=%u apart=%d "
	    "common_cause=%d presumed=%d ms=%lld",
	    flow->name, run->index, run->run,
	    placer->tables.worker_states[run->worker].name, task->crashes,
	    task->crashes - task->presumed_crashes, crash.apart,
	    crash.common_cause, crash.presumed, (long long)crash.run_ms);
	if (!had_ended)
		log_given_up(run, flow);
}

/* Applies the reported ends of runs to their jobs. A run that was declared lost
 * but is reported as done still counts, unless its task was placed again. */
static void
apply_ends(struct fw_placer *placer, struct fw_view *view)
{
	uint32_t i;

	for (i = 0; i < placer->tables.run_count; i++) {
		const struct fw_run *run = &placer->tables.runs[i];
		struct bd_flow *copy;
		uint32_t job;
		const struct bd_step_task *task;
		enum fw_end end;

		if (!run->used || run->phase != FW_PHASE_ENDED ||
		    (run->superseded_since_ms != 0 && !run->done_late))
			continue;
		job = fw_view_job_index(view, run->flow);
		if (job == FW_NONE)
			continue;
		task = &fw_flow_tasks(
		    fw_job_current(&view->jobs[job]))[run->index];
		if (task->run != run->run ||
		    (task->state != BD_STEP_TASK_PLACED &&
			!(run->done_late &&
			    task->state == BD_STEP_TASK_WAITING)))
			continue;
		copy = fw_job_writable(&view->jobs[job]);
		if (copy == NULL) {
			ev_emit(EV_FLOW_NO_MEMORY, "what=job");
			continue;
		}
		end = run->done_late ? FW_END_DONE : run->end;
		record_end(placer, run, end, view->now_ms);
		if (fw_checkpoint_note(&view->jobs[job].copy, run->index,
			run->checkpoint, run->checkpoint_bytes) != CW_OK)
			ev_emit(EV_FLOW_NO_MEMORY, "what=checkpoint");
		copy = view->jobs[job].copy;
		fw_run_end_apply(copy, run->index, end, view->wall_ms);
		if (run->crashed_ms != 0 &&
		    (end == FW_END_LOST || end == FW_END_STOPPED))
			charge_crash(placer, run, copy, view);
		else if (end == FW_END_LOST && !fw_flow_ended(copy)) {
			fw_task_lost(copy, run->index,
			    view->now_ms - run->placed_ms, view->wall_ms);
			log_given_up(run, copy);
		}
	}
}

/* Charges the crashes that were found after their runs had ended as lost, of
 * tasks that are not done by now. */
static void
charge_late_crashes(struct fw_placer *placer, struct fw_view *view)
{
	uint32_t i;

	for (i = 0; i < placer->tables.run_count; i++) {
		struct fw_run *run = &placer->tables.runs[i];
		const struct bd_flow *flow;
		struct bd_flow *copy;
		uint32_t job;

		if (!run->used || !run->crash_uncharged)
			continue;
		run->crash_uncharged = false;
		job = fw_view_job_index(view, run->flow);
		if (job == FW_NONE)
			continue;
		flow = fw_job_current(&view->jobs[job]);
		if (fw_flow_ended(flow) ||
		    fw_flow_tasks(flow)[run->index].state == BD_STEP_TASK_DONE)
			continue;
		copy = fw_job_writable(&view->jobs[job]);
		if (copy == NULL)
			ev_emit(EV_FLOW_NO_MEMORY, "what=job");
		else
			charge_crash(placer, run, copy, view);
	}
}

/* Logs the tasks that a decision places and the end that it sets for a job. */
static void
log_decision(const struct fw_job_view *job)
{
	const struct bd_step_task *tasks = fw_flow_tasks(job->copy);
	const struct bd_step_task *before = fw_flow_tasks(job->row);
	uint32_t count = fw_flow_task_count(job->copy);
	uint32_t placed = 0;
	uint32_t first = FW_NONE;
	uint32_t i;

	for (i = 0; i < count; i++)
		if (tasks[i].run != before[i].run) {
			placed++;
			if (first == FW_NONE)
				first = i;
		}
	if (placed > 0)
		ev_emit(EV_FLOW_PLACED,
		    "job=%s priority=%u tasks=%u first=%u run=%u age_ms=%lld "
		    "progress=%llu",
		    job->copy->name, job->copy->priority, placed, first,
		    tasks[first].run,
		    (long long)(tasks[first].changed_ms -
			job->copy->accepted_ms),
		    (unsigned long long)job->row->epoch);
	if (fw_flow_ended(job->copy) && !fw_flow_ended(job->row))
		ev_emit(EV_FLOW_STATE, "job=%s state=%s age_ms=%lld",
		    job->copy->name, fw_flow_state_name(job->copy->state),
		    (long long)(job->copy->changed_ms -
			job->copy->accepted_ms));
}

/* Logs new checkpoints that the record of a job's progress has no room for. */
static void
log_checkpoints(const struct fw_job_view *job, size_t record_bytes_max)
{
	uint32_t left_out;

	if (job->copy->checkpoint_bytes <= job->row->checkpoint_bytes)
		return;
	left_out = fw_checkpoints_left_out(job->copy, record_bytes_max);
	if (left_out > 0)
		ev_emit(EV_FLOW_CHECKPOINT_LONG,
		    "job=%s tasks=%u bytes=%u record_bytes=%zu",
		    job->copy->name, left_out, job->copy->checkpoint_bytes,
		    record_bytes_max);
}

/* Fills the writer's batch with the progress of the changed jobs, with the ends
 * of leases that successors have to know, and with the deletion of progress
 * that is no longer needed. Returns whether the batch has any records. */
static bool
fill_batch(struct fw_placer *placer, struct fw_view *view)
{
	struct fw_writer *writer = &placer->progress;
	int code = CW_OK;
	uint32_t i;

	for (i = 0; i < view->job_count && code == CW_OK; i++) {
		const struct fw_job_view *job = &view->jobs[i];
		void *value;
		size_t bytes;

		if (job->copy == NULL)
			continue;
		fw_late_starts_describe(placer, job->copy, view);
		code = fw_progress_encode(job->copy,
		    placer->parts.settings.record_bytes, &value, &bytes);
		if (code != CW_OK)
			break;
		log_decision(job);
		log_checkpoints(job, placer->parts.settings.record_bytes);
		code = fw_writer_add(
		    writer, FW_RECORD_PROGRESS, job->copy->name, value, bytes);
	}
	if (code == CW_OK)
		code = fw_note_leases(placer, view->now_ms, view->wall_ms);
	for (i = 0; i < view->prunable_count && code == CW_OK; i++)
		code = fw_writer_add(writer, FW_RECORD_PROGRESS,
		    view->prunable[i]->name, NULL, 0);
	if (code != CW_OK)
		ev_emit(EV_FLOW_NO_MEMORY, "what=batch");
	return writer->count > 0;
}

/* Handles a group that does not fit now. ctx is a struct waiting. */
static void
on_blocked(void *ctx, struct fw_view *view, const struct fw_group *group)
{
	struct waiting *waiting = ctx;

	if (group->bound)
		return;
	if (!fw_preempt_for_group(&waiting->preempt, view, group) &&
	    group->priority != 0)
		fw_advance_for_group(&waiting->advance, view, group);
}

/*
 * Makes one scheduling decision for all jobs: applies the ends that workers
 * have reported, then places waiting groups. Fills the progress writer's batch
 * and returns whether it has any records. Call within a read section, while the
 * writer has no open batch.
 */
bool
fw_decide(struct fw_placer *placer, int64_t now_ms)
{
	struct waiting waiting = {
	    .preempt.placer = placer, .advance.placer = placer};
	struct fw_groups groups;
	struct fw_view view;
	bool any = false;

	if (fw_view_build(&view, placer->parts.board, &placer->parts.settings,
		now_ms, placer->parts.wall_ms(placer->parts.ctx)) != CW_OK) {
		ev_emit(EV_FLOW_NO_MEMORY, "what=view");
		return false;
	}
	fw_view_subtract_listed(&view, &placer->tables);
	exclude_failing_hosts(placer, &view);
	reserve_urgent(placer, &view);
	apply_ends(placer, &view);
	charge_late_crashes(placer, &view);
	fw_late_starts_note(placer, &view);
	if (fw_groups_ready(&groups, &view) == CW_OK) {
		fw_groups_defer(&groups, &view, &placer->tables);
		fw_reservations_apply(&placer->reservations, &view, &groups);
		fw_groups_sort(&groups);
		fw_trials_hold(&view, &groups);
		view.turn = placer->turn;
		fw_place(&view, &groups, on_blocked, &waiting);
		placer->turn = view.turn;
		fw_waits_note(&placer->waits, &view, &placer->tables,
		    placer->reservations, placer->term);
		fw_groups_free(&groups);
	} else
		ev_emit(EV_FLOW_NO_MEMORY, "what=groups");
	any = fill_batch(placer, &view);
	fw_late_starts_noted(placer);
	fw_preempt_end(&waiting.preempt);
	fw_advance_end(&waiting.advance);
	fw_view_free(&view);
	return any;
}
