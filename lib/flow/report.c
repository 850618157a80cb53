#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"

static uint32_t find_run(const struct fw_tables *tables,
    const struct bd_board *board, const struct fw_task_ref *ref, uint32_t run,
    uint32_t worker);
static void update_run(struct fw_run *run, const struct fw_report *report,
    const struct fw_listed_run *listed, int64_t now_ms);
static const struct bd_flow *row_of_end(const struct bd_board *board,
    const struct fw_listed_end *end, uint32_t *index);
static bool done_in_row(const struct bd_board *board,
    const struct fw_listed_end *end, bool if_unknown);
static bool forbids_starts(const struct fw_listed_end *end);
static bool any_start_may_arrive(const struct fw_tables *tables, uint64_t flow,
    uint32_t index, uint32_t run, int64_t now_ms);
static bool start_may_follow(const struct fw_tables *tables,
    const struct bd_board *board, const struct fw_run *run,
    const struct fw_listed_end *end, int64_t now_ms);
static bool failure_in_row(
    const struct bd_board *board, const struct fw_listed_end *end);
static void apply_end(struct fw_tables *tables, const struct bd_board *board,
    uint32_t handle, const struct fw_listed_end *end, int64_t now_ms);
static bool holds_up(const struct fw_tables *tables,
    const struct bd_board *board, uint32_t handle,
    const struct fw_listed_end *end, int64_t now_ms);
static bool is_put_off(const struct fw_tables *tables,
    const struct bd_board *board, uint32_t handle,
    const struct fw_listed_end *end, int64_t now_ms);
static void log_late_ack(const struct fw_tables *tables,
    const struct bd_board *board, uint32_t handle,
    const struct fw_listed_end *end, int64_t now_ms);
static void advance_end_ack(struct fw_tables *tables,
    const struct bd_board *board, uint32_t handle, int64_t now_ms);
static bool may_acknowledge(const struct fw_tables *tables,
    const struct bd_board *board, const struct fw_listed_end *end,
    uint32_t worker, bool is_void, int64_t now_ms);

/* Makes a deep copy of a report. Returns FW_ENOMEM. */
int
fw_report_copy(const struct fw_report *from, struct fw_report *to)
{
	*to = *from;
	to->runs = NULL;
	to->ends = NULL;
	to->texts = NULL;
	if (from->run_count > 0) {
		to->runs = malloc(from->run_count * sizeof(*to->runs));
		if (to->runs == NULL)
			return FW_ENOMEM;
		memcpy(
		    to->runs, from->runs, from->run_count * sizeof(*to->runs));
	}
	if (from->end_count > 0) {
		to->ends = malloc(from->end_count * sizeof(*to->ends));
		if (to->ends == NULL) {
			fw_report_free(to);
			return FW_ENOMEM;
		}
		memcpy(
		    to->ends, from->ends, from->end_count * sizeof(*to->ends));
	}
	if (from->text_bytes > 0) {
		to->texts = malloc(from->text_bytes);
		if (to->texts == NULL) {
			fw_report_free(to);
			return FW_ENOMEM;
		}
		memcpy(to->texts, from->texts, from->text_bytes);
	}
	return CW_OK;
}

/* Frees the lists of a report and leaves them empty. */
void
fw_report_free(struct fw_report *report)
{
	free(report->runs);
	free(report->ends);
	free(report->texts);
	report->runs = NULL;
	report->ends = NULL;
	report->texts = NULL;
	report->text_bytes = 0;
	report->run_count = report->end_count = 0;
	report->unread_rows = 0;
	report->unread = NULL;
}

/* Returns the handle of a run that a worker lists, or FW_NONE if the placer has
 * no such run on this worker. */
static uint32_t
find_run(const struct fw_tables *tables, const struct bd_board *board,
    const struct fw_task_ref *ref, uint32_t run, uint32_t worker)
{
	const struct bd_flow *flow;
	uint32_t index;
	uint32_t found;

	flow = fw_task_lookup(board, ref, &index);
	if (flow == NULL)
		return FW_NONE;
	found = fw_run_find(tables, flow->id, index, run);
	if (found == FW_NONE || tables->runs[found].worker != worker)
		return FW_NONE;
	return found;
}

static void
update_run(struct fw_run *run, const struct fw_report *report,
    const struct fw_listed_run *listed, int64_t now_ms)
{
	if (run->phase == FW_PHASE_ENDED)
		return;
	if (run->phase != FW_PHASE_RUNNING) {
		run->phase = FW_PHASE_RUNNING;
		run->progressed_ms = now_ms;
	}
	if (listed->percent != run->percent) {
		run->percent = listed->percent;
		run->progressed_ms = now_ms;
	}
	fw_run_keep_checkpoint(run, report, &listed->checkpoint);
}

/* Returns the row of an end's job and sets *index to its task, or returns NULL
 * if the row is gone or has been compacted. */
static const struct bd_flow *
row_of_end(const struct bd_board *board, const struct fw_listed_end *end,
    uint32_t *index)
{
	const struct bd_flow *flow;
	uint64_t id;

	if (!fw_flow_id_parse(end->task.job, &id))
		return NULL;
	flow = bd_flow_lookup(board, id);
	return flow != NULL && flow->compacted == 0 &&
		fw_task_index(flow, &end->task, index)
	    ? flow
	    : NULL;
}

/* Returns whether the run has completed its task by the job's row, or
 * if_unknown if the row is gone or has been compacted. */
static bool
done_in_row(const struct bd_board *board, const struct fw_listed_end *end,
    bool if_unknown)
{
	const struct bd_step_task *task;
	const struct bd_flow *flow;
	uint32_t index;

	flow = row_of_end(board, end, &index);
	if (flow == NULL)
		return if_unknown;
	task = &fw_flow_tasks(flow)[index];
	return task->state == BD_STEP_TASK_DONE && task->run == end->run;
}

/* Returns whether no run of a task may start after an end of it has been
 * acknowledged: it is done, or counts as a failed attempt. An end that cannot
 * be read may be either. */
static bool
forbids_starts(const struct fw_listed_end *end)
{
	return end->end == FW_END_DONE || end->end == FW_END_FAILED ||
	    end->end == FW_END_LOST;
}

/* Returns whether an unanswered start of a task may still be carried out, of a
 * run up to the given number. */
static bool
any_start_may_arrive(const struct fw_tables *tables, uint64_t flow,
    uint32_t index, uint32_t run, int64_t now_ms)
{
	uint32_t i = fw_run_first(tables, flow, index);

	for (; i != FW_NONE; i = tables->runs[i].next) {
		const struct fw_run *other = &tables->runs[i];

		if (other->flow == flow && other->index == index &&
		    other->run <= run && fw_run_may_arrive(other, now_ms))
			return true;
	}
	return false;
}

/*
 * Returns whether the acknowledgement of an end is put off: should its worker
 * start again, an unanswered start of the run, or of an earlier one that it was
 * bound by, may be carried out there, which must not happen after the
 * acknowledgement. That of one member of a gang stands for all. An incarnation
 * that knows nothing cannot refuse a start, so only the time within which an
 * order is carried out bounds this. It exceeds AckTimeoutMs, so that a small
 * part of the ends is acknowledged later.
 */
static bool
start_may_follow(const struct fw_tables *tables, const struct bd_board *board,
    const struct fw_run *run, const struct fw_listed_end *end, int64_t now_ms)
{
	const struct bd_flow *flow = bd_flow_lookup(board, run->flow);
	uint32_t first = run->index;
	uint32_t count = 1;
	uint32_t i;

	if (!forbids_starts(end))
		return false;
	if (flow != NULL && flow->compacted == 0)
		fw_group_of(flow, run->index, &first, &count);
	for (i = first; i < first + count; i++)
		if (any_start_may_arrive(
			tables, run->flow, i, run->run, now_ms))
			return true;
	return false;
}

/*
 * Returns whether a failed run is certain to be among the failures of its task
 * in the job's row, or need not be: failures are not limited, the job has ended
 * and its task had no more runs than it may have failures, or the row is gone
 * or has been compacted. The row tells it of the latest run that was counted,
 * and of the runs before if all of them were.
 */
static bool
failure_in_row(const struct bd_board *board, const struct fw_listed_end *end)
{
	const struct bd_step_task *task;
	const struct bd_flow *flow;
	struct fw_task_ref ref;
	uint32_t index;

	flow = row_of_end(board, end, &index);
	if (flow == NULL || flow->attempts_max == 0)
		return true;
	task = &fw_flow_tasks(flow)[index];
	fw_task_ref_of(flow, index, &ref);
	if ((fw_flow_steps(flow)[ref.step].flags & BD_STEP_LONG_RUNNING) != 0 ||
	    (fw_flow_ended(flow) && task->run <= flow->attempts_max))
		return true;
	return end->run == task->failed_run ||
	    (end->run < task->failed_run && task->failures == task->failed_run);
}

/*
 * Returns whether an end may be acknowledged: its run is no longer the current
 * one of its task, and the job's row reflects this end. The end of a run that
 * counted as lost and was replaced, but is listed as done or failed later, is
 * acknowledged once it is void only: its task would count as started again
 * after its end. is_void: the lease of the worker has lapsed since. An end that
 * cannot be read may be that of any run, and done.
 */
static bool
may_acknowledge(const struct fw_tables *tables, const struct bd_board *board,
    const struct fw_listed_end *end, uint32_t worker, bool is_void,
    int64_t now_ms)
{
	uint32_t found = find_run(tables, board, &end->task, end->run, worker);
	const struct fw_run *run;

	if (end->number == 0)
		return false;
	if (found == FW_NONE && end->end == FW_END_LOST)
		return is_void;
	if (found == FW_NONE)
		return is_void ||
		    (end->end == FW_END_DONE ? done_in_row(board, end, true)
			    : end->end == FW_END_FAILED
			    ? failure_in_row(board, end)
			    : true);
	run = &tables->runs[found];
	if (fw_run_is_current(board, run))
		return false;
	if (is_void)
		return true;
	if (start_may_follow(tables, board, run, end, now_ms))
		return false;
	if (end->end == FW_END_LOST)
		return done_in_row(board, end, false);
	if (end->end == FW_END_DONE)
		return run->end == FW_END_DONE ||
		    done_in_row(board, end, false);
	return end->end != FW_END_FAILED || run->end == FW_END_FAILED ||
	    failure_in_row(board, end);
}

/* Applies a listed end to its run, if the placer has it. */
static void
apply_end(struct fw_tables *tables, const struct bd_board *board,
    uint32_t handle, const struct fw_listed_end *end, int64_t now_ms)
{
	struct fw_worker_state *worker = &tables->worker_states[handle];
	uint32_t found = find_run(tables, board, &end->task, end->run, handle);
	struct fw_run *run;

	if (found == FW_NONE)
		return;
	run = &tables->runs[found];
	fw_run_keep_checkpoint(run, &worker->report, &end->checkpoint);
	if (run->end_listed_ms == 0)
		run->end_listed_ms = now_ms;
	run->last_listed_ms = worker->report.sent_ms;
	run->began = run->began || end->end != FW_END_STOPPED;
	run->incarnation_ms = worker->report.incarnation_ms;
	run->end_incarnation_ms = worker->report.incarnation_ms;
	run->done_late = run->phase == FW_PHASE_ENDED &&
	    run->end != FW_END_DONE && end->end == FW_END_DONE;
	fw_run_mark_ended(run, end->end, FW_OVER_LISTED);
	fw_void_end_note(worker, run, end);
}

/* Returns whether an end that may not be acknowledged may remain so for good:
 * its run is neither current nor may start late. */
static bool
holds_up(const struct fw_tables *tables, const struct bd_board *board,
    uint32_t handle, const struct fw_listed_end *end, int64_t now_ms)
{
	uint32_t found = find_run(tables, board, &end->task, end->run, handle);

	return found == FW_NONE ||
	    (!fw_run_is_current(board, &tables->runs[found]) &&
		!start_may_follow(
		    tables, board, &tables->runs[found], end, now_ms));
}

/* Returns whether the acknowledgement of an end is put off, and not because its
 * run is current. */
static bool
is_put_off(const struct fw_tables *tables, const struct bd_board *board,
    uint32_t handle, const struct fw_listed_end *end, int64_t now_ms)
{
	uint32_t found = find_run(tables, board, &end->task, end->run, handle);

	return found != FW_NONE &&
	    !fw_run_is_current(board, &tables->runs[found]) &&
	    start_may_follow(tables, board, &tables->runs[found], end, now_ms);
}

/* Logs the end of a run that is acknowledged later than AckTimeoutMs after it
 * was listed: a start of the run may have followed, or of one that is listed
 * before it. */
static void
log_late_ack(const struct fw_tables *tables, const struct bd_board *board,
    uint32_t handle, const struct fw_listed_end *end, int64_t now_ms)
{
	uint32_t found = find_run(tables, board, &end->task, end->run, handle);
	const struct fw_run *run;

	if (found == FW_NONE)
		return;
	run = &tables->runs[found];
	if (now_ms - run->end_listed_ms <= tables->ack_timeout_ms)
		return;
	ev_emit(EV_FLOW_END_PUT_OFF,
	    "job=%s task=%u.%u.%u run=%u worker=%s end=%s ms=%lld "
	    "start_unknown=%d",
	    end->task.job, end->task.occurrence, end->task.step,
	    end->task.index, end->run, tables->worker_states[handle].name,
	    fw_end_name(end->end), (long long)(now_ms - run->end_listed_ms),
	    fw_run_has_unknown_start(run));
}

/* Advances end_ack up to the first listed end that must not be acknowledged. */
static void
advance_end_ack(struct fw_tables *tables, const struct bd_board *board,
    uint32_t handle, int64_t now_ms)
{
	struct fw_worker_state *worker = &tables->worker_states[handle];
	const struct fw_report *report = &worker->report;
	uint32_t i;

	worker->held_up = worker->put_off = false;
	for (i = 0; i < report->end_count; i++) {
		const struct fw_listed_end *end = &report->ends[i];
		bool counts =
		    may_acknowledge(tables, board, end, handle, false, now_ms);

		if (end->number == 0 &&
		    fw_report_is_before(report, i, worker->void_end))
			continue;
		if (!counts &&
		    (end->number > worker->void_end ||
			!may_acknowledge(
			    tables, board, end, handle, true, now_ms))) {
			worker->held_up =
			    holds_up(tables, board, handle, end, now_ms);
			worker->put_off =
			    is_put_off(tables, board, handle, end, now_ms);
			return;
		}
		if (end->number <= worker->end_ack)
			continue;
		worker->end_ack = end->number;
		log_late_ack(tables, board, handle, end, now_ms);
		if (!counts)
			ev_emit(EV_FLOW_END_VOID,
			    "job=%s task=%u.%u.%u run=%u worker=%s number=%llu",
			    end->task.job, end->task.occurrence, end->task.step,
			    end->task.index, end->run, worker->name,
			    (unsigned long long)end->number);
	}
}

/*
 * Applies the latest report of a worker to the placer's runs: listed runs are
 * running, listed ends end their runs. Advances end_ack, the number up to which
 * all listed ends may be acknowledged. Call again after the jobs' rows have
 * changed, or ends have become void. Call within a read section.
 */
void
fw_report_apply(struct fw_tables *tables, const struct bd_board *board,
    uint32_t handle, int64_t now_ms)
{
	struct fw_worker_state *worker = &tables->worker_states[handle];
	const struct fw_report *report = &worker->report;
	uint32_t i;

	for (i = 0; i < report->run_count; i++) {
		uint32_t found = find_run(tables, board, &report->runs[i].task,
		    report->runs[i].run, handle);

		if (found == FW_NONE)
			continue;
		update_run(
		    &tables->runs[found], report, &report->runs[i], now_ms);
		tables->runs[found].incarnation_ms = report->incarnation_ms;
		/* A list is made when a long poll ends: one that was asked for
		 * later may have been made earlier. */
		if (tables->runs[found].listed_from_ms == INT64_MAX ||
		    tables->runs[found].listed_from_ms < report->now_ms - 1)
			tables->runs[found].listed_from_ms = report->now_ms - 1;
		tables->runs[found].last_listed_ms = report->sent_ms;
		tables->runs[found].began = true;
	}
	for (i = 0; i < report->end_count; i++)
		apply_end(tables, board, handle, &report->ends[i], now_ms);
	fw_void_ends_find(tables, worker, now_ms);
	advance_end_ack(tables, board, handle, now_ms);
}
