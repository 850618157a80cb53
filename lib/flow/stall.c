#include "flow_internal.h"

/* A run may stand still for the longer of a time and a part of its estimate.
 * The time exceeds the pauses of a worker; the part corresponds to several
 * percent. Without an estimate the time is longer. */
#define STALL_MIN_MS 2500
#define STALL_ESTIMATE_MILLI 250
#define STALL_NO_ESTIMATE_MS 10000
/* Percentages are whole numbers: a run that takes long stands still between
 * them. One that has moved stands still for this many times as long as it took
 * for a percent so far, before its worker is taken to be the cause. */
#define STALL_PACES 10
/* The same on a worker that was found to stand still before. */
#define STALL_PACES_KNOWN 2
/* A worker that was found to stand still, and on which nothing has moved since,
 * counts as such for this long. */
#define STALL_KNOWN_MS 30000
/* Tasks of its step that are looked at for the pace of a run. */
#define STALL_PEERS_MAX 64

static int64_t pace_ms(const struct fw_run *run);
static int64_t peers_pace_ms(const struct fw_tables *tables,
    const struct bd_flow *flow, const struct fw_run *run);

/* Notes how fast a run moves, and that its worker does. The first percentage of
 * a run that was resumed or taken over says nothing of its pace. */
void
fw_run_note_pace(
    struct fw_tables *tables, const struct bd_flow *flow, struct fw_run *run)
{
	const struct bd_step_task *task = &fw_flow_tasks(flow)[run->index];

	if (run->phase != FW_PHASE_RUNNING || run->last_listed_ms == 0)
		return;
	if (run->pace_from_ms == 0) {
		bool whole = !run->taken_over && task->checkpoint.bytes == 0;

		run->pace_from_ms = whole ? run->placed_ms : run->progressed_ms;
		run->pace_from_percent = whole ? 0 : run->percent;
		run->pace_percent = run->pace_from_percent;
	}
	if (run->percent != run->pace_percent) {
		run->pace_percent = run->percent;
		tables->worker_states[run->worker].moved_ms =
		    run->progressed_ms;
	}
}

/* Returns how long a run has taken for a percent, 0 if it has not moved. */
static int64_t
pace_ms(const struct fw_run *run)
{
	int64_t pace;

	if (run->pace_from_ms == 0 || run->percent <= run->pace_from_percent)
		return 0;
	pace = (run->progressed_ms - run->pace_from_ms) /
	    (int64_t)(run->percent - run->pace_from_percent);
	return pace > 0 ? pace : 1;
}

/* Returns the pace of the slowest run of a run's step that has moved on another
 * worker, 0 if there is none. */
static int64_t
peers_pace_ms(const struct fw_tables *tables, const struct bd_flow *flow,
    const struct fw_run *run)
{
	const struct bd_step_task *tasks = fw_flow_tasks(flow);
	uint32_t count = fw_flow_steps(flow)[run->task.step].count;
	uint32_t first = run->index - run->task.index;
	int64_t slowest = 0;
	uint32_t i;

	for (i = first; i < first + count && i < first + STALL_PEERS_MAX; i++) {
		uint32_t found = fw_run_find(tables, flow->id, i, tasks[i].run);
		int64_t pace;

		if (found == FW_NONE ||
		    tables->runs[found].worker == run->worker)
			continue;
		pace = pace_ms(&tables->runs[found]);
		if (pace > slowest)
			slowest = pace;
	}
	return slowest;
}

/*
 * Returns whether a run makes no progress because its worker stands still. The
 * estimate alone does not tell, as a task may take any time. What tells is that
 * the run has moved before, much faster, or that others of its step do; or that
 * the worker was found to stand still a short time ago. A run on a worker on
 * which another one moves meanwhile goes on, as do steps that run until the job
 * is cancelled.
 */
bool
fw_run_stalled(struct fw_tables *tables, const struct bd_flow *flow,
    const struct fw_run *run)
{
	struct fw_worker_state *worker = &tables->worker_states[run->worker];
	const struct bd_flow_step *step = &fw_flow_steps(flow)[run->task.step];
	int64_t still_ms = run->last_listed_ms - run->progressed_ms;
	int64_t limit_ms =
	    (int64_t)step->estimate_ms * STALL_ESTIMATE_MILLI / 1000;
	int64_t pace = pace_ms(run);

	if (run->phase != FW_PHASE_RUNNING || run->percent >= 100 ||
	    (step->flags & BD_STEP_LONG_RUNNING) != 0)
		return false;
	if (step->estimate_ms == 0)
		limit_ms = STALL_NO_ESTIMATE_MS;
	else if (limit_ms < STALL_MIN_MS)
		limit_ms = STALL_MIN_MS;
	if (still_ms <= limit_ms ||
	    (worker->moved_ms > run->progressed_ms + STALL_MIN_MS &&
		run->last_listed_ms - worker->moved_ms <= limit_ms))
		return false;
	if (worker->stalled_ms > worker->moved_ms &&
	    run->last_listed_ms - worker->stalled_ms < STALL_KNOWN_MS)
		return still_ms > pace * STALL_PACES_KNOWN;
	if (pace == 0)
		pace = peers_pace_ms(tables, flow, run);
	if (pace == 0 || still_ms <= pace * STALL_PACES)
		return false;
	worker->stalled_ms = run->last_listed_ms;
	return true;
}
