#include "flow_internal.h"

/* A task is given up after this many crashes, without presumed ones, if the
 * last one happened while its job was tried apart from others. All but the
 * first do, as a rule: a worker that crashes by itself during a trial does not
 * fail the job. */
#define CRASHES_APART_MAX 3
/* A task is given up after this many crashes in any case. The platform allows
 * two more starts after three crashes. */
#define CRASHES_ANY_MAX 4
/* For this long after its start a run of a suspect task shares its worker with
 * no other job. Tasks that crash their workers do so soon after the start. */
#define TRIAL_MS 5000
/* A crash later after the placement does not tell that the task is the cause.
 * A crash is found with the worker's return, some seconds later. */
#define CONCLUSIVE_RUN_MS 20000
/* Clocks of VMs differ by less; a start further in the future is due to a clock
 * that was set back. */
#define CLOCK_SKEW_MS 1000
/* Crashes before a run of this length have nothing to do with the one that
 * ended it. */
#define CRASH_FORGET_MS 600000
/* The same for a task that lasts: a crash that is presumed is found later. */
#define LASTING_FORGET_MS CONCLUSIVE_RUN_MS
#define LASTING_FORGET_PRESUMED_MS 60000
/* A task that lasts waits after this many crashes of which it is the likely
 * cause, twice as long after each further one. It has to run again within 9 s
 * of its last run, whose end may be found only once all leases are over, after
 * 6.4 s. */
#define LASTING_PAUSE_CRASHES 3
#define LASTING_PAUSE_MIN_MS 500
#define LASTING_PAUSE_MAX_MS 2000
/* Workers that crash within this time of each other may have a common cause,
 * such as the power of a rack, if there are this many besides those of the
 * job. */
#define COMMON_CAUSE_MS 3000
#define COMMON_CAUSE_WORKERS 3

/* A crash is found at once for most runs of a worker, and for the others when
 * the orders in flight are answered. A worker that crashes again takes longer
 * to start. */
#define SAME_CRASH_MS 2000

/* Connections refused in a row after which a worker has crashed rather than
 * been cut off; a single one may have been reset. */
#define REFUSALS_MIN 2
/* A worker that crashes is back after some seconds. One that is silent for
 * longer is taken for cut off, one that refuses connections for crashed. */
#define SILENT_LOSS_MAX_MS 10000
#define REFUSED_LOSS_MAX_MS 4000
/* For this long a suspect waits for the cause of its last loss, if one more
 * crash may fail its job. A task that is ready has to be started within 3 s. */
#define SILENT_LOSS_WAIT_MS 2000

static bool task_lasts(const struct bd_flow *flow, uint32_t index);
static int64_t lasting_pause_ms(const struct bd_step_task *task);
static void lasting_task_crashed(
    struct bd_step_task *task, const struct fw_crash *crash, bool conclusive);
static void note_crash(struct fw_worker_state *state, int64_t now_ms);
static bool crashed_under(
    const struct fw_tables *tables, uint32_t worker, uint64_t flow);

/* Returns whether a run of a suspect task has started so recently that no other
 * job may use its worker. */
bool
fw_task_in_trial(const struct bd_step_task *task, int64_t wall_ms)
{
	int64_t run_ms = wall_ms - task->changed_ms;

	return task->state == BD_STEP_TASK_PLACED && task->crashes > 0 &&
	    run_ms > -CLOCK_SKEW_MS && run_ms < TRIAL_MS;
}

/* Returns whether a job may be one that crashes workers: a worker has crashed
 * under one of its tasks, and no later run of this task has outlasted a trial.
 */
bool
fw_flow_suspect(const struct bd_flow *flow, int64_t wall_ms)
{
	const struct bd_step_task *tasks = fw_flow_tasks(flow);
	uint32_t count = fw_flow_task_count(flow);
	uint32_t i;

	for (i = 0; i < count; i++)
		if (tasks[i].crashes > 0 &&
		    (tasks[i].state == BD_STEP_TASK_WAITING ||
			fw_task_in_trial(&tasks[i], wall_ms)))
			return true;
	return false;
}

/* Returns whether a task runs until its job is cancelled. */
static bool
task_lasts(const struct bd_flow *flow, uint32_t index)
{
	struct fw_task_ref ref;

	fw_task_ref_of(flow, index, &ref);
	return (fw_flow_steps(flow)[ref.step].flags & BD_STEP_LONG_RUNNING) !=
	    0;
}

/* Returns for how long a task that lasts waits after its latest run. */
static int64_t
lasting_pause_ms(const struct bd_step_task *task)
{
	int64_t pause_ms = LASTING_PAUSE_MIN_MS;
	int clear = task->crashes - task->presumed_crashes;

	if (clear < LASTING_PAUSE_CRASHES)
		return 0;
	for (; clear > LASTING_PAUSE_CRASHES && pause_ms < LASTING_PAUSE_MAX_MS;
	     clear--)
		pause_ms *= 2;
	return pause_ms < LASTING_PAUSE_MAX_MS ? pause_ms
					       : LASTING_PAUSE_MAX_MS;
}

/* Returns whether a task of a group that waits is one that lasts and pauses
 * after crashes of its workers. */
bool
fw_tasks_pause(
    const struct bd_flow *flow, uint32_t first, uint32_t count, int64_t wall_ms)
{
	const struct bd_step_task *tasks = fw_flow_tasks(flow);
	uint32_t i;

	for (i = first; i < first + count; i++) {
		int64_t waited_ms = wall_ms - tasks[i].changed_ms;

		if (tasks[i].crashes > 0 && waited_ms > -CLOCK_SKEW_MS &&
		    task_lasts(flow, i) &&
		    waited_ms < lasting_pause_ms(&tasks[i]))
			return true;
	}
	return false;
}

/* Counts a crash of a task that lasts. Unless the task is the likely cause it
 * counts as presumed, and only makes the job suspect. */
static void
lasting_task_crashed(
    struct bd_step_task *task, const struct fw_crash *crash, bool conclusive)
{
	if (crash->run_ms >
	    (crash->presumed ? LASTING_FORGET_PRESUMED_MS : LASTING_FORGET_MS))
		task->crashes = task->presumed_crashes = 0;
	if (task->crashes < FW_CRASHES_MAX) {
		task->crashes++;
		task->presumed_crashes += !conclusive;
	}
}

/*
 * Charges the crash of a worker to a task that ran there, in a copy of its
 * job's row. The job fails once it is clear that the task is the cause, or
 * after CRASHES_ANY_MAX crashes. A single crash only makes the job suspect:
 * each run on the worker is charged with it, and all but one are innocent. A
 * task that lasts does not fail its job: it pauses.
 */
void
fw_task_crashed(struct bd_flow *flow, uint32_t index,
    const struct fw_crash *crash, int64_t wall_ms)
{
	struct bd_step_task *task = &fw_flow_tasks(flow)[index];
	bool conclusive = crash->apart && !crash->common_cause &&
	    !crash->presumed && crash->run_ms <= CONCLUSIVE_RUN_MS;

	if (task_lasts(flow, index)) {
		lasting_task_crashed(task, crash, conclusive);
		return;
	}
	if (crash->run_ms > CRASH_FORGET_MS)
		task->crashes = task->presumed_crashes = 0;
	if (task->crashes < FW_CRASHES_MAX) {
		task->crashes++;
		task->presumed_crashes += crash->presumed;
	}
	/* A task that runs again meanwhile may be done this time. */
	if (task->state == BD_STEP_TASK_WAITING &&
	    (task->crashes >= CRASHES_ANY_MAX ||
		(conclusive &&
		    task->crashes - task->presumed_crashes >=
			CRASHES_APART_MAX)))
		fw_flow_end(flow, BD_FLOW_FAILED, wall_ms);
}

/* Ends a job, in a copy of its row, whose task has lost a run although it has
 * reached the limit of crashes: the last crash was found during this run. */
void
fw_task_lost(
    struct bd_flow *flow, uint32_t index, int64_t run_ms, int64_t wall_ms)
{
	if (!task_lasts(flow, index) &&
	    fw_flow_tasks(flow)[index].crashes >= CRASHES_ANY_MAX &&
	    run_ms <= CONCLUSIVE_RUN_MS)
		fw_flow_end(flow, BD_FLOW_FAILED, wall_ms);
}

/* Returns whether the worker of a report has started again since it had a run,
 * or since the run was first sent to it. */
bool
fw_restarted_since_start(
    const struct fw_run *run, const struct fw_report *report)
{
	int64_t before_ms = run->incarnation_ms != 0
	    ? run->incarnation_ms
	    : run->start_incarnation_ms;

	return before_ms != 0 && report->incarnation_ms != 0 &&
	    before_ms != report->incarnation_ms;
}

/* Notes the time of a worker's crash, unless it is the one noted before. */
static void
note_crash(struct fw_worker_state *state, int64_t now_ms)
{
	if (state->crashed_ms != 0 &&
	    now_ms - state->crashed_ms <= SAME_CRASH_MS &&
	    state->incarnation_ms == state->crash_incarnation_ms)
		return;
	state->crashed_ms = now_ms;
	state->crash_incarnation_ms = state->incarnation_ms;
}

/* Notes that a worker has crashed while it had a run, or while the run was
 * being started. The end of a worker that was leaving is no crash. */
void
fw_worker_crashed(struct fw_tables *tables, struct fw_run *run, int64_t now_ms)
{
	struct fw_worker_state *state = &tables->worker_states[run->worker];

	if (state->leaving || !run->start_sent || run->crashed_ms != 0 ||
	    run->superseded_since_ms != 0 || run->phase == FW_PHASE_ENDED)
		return;
	note_crash(state, now_ms);
	run->crashed_ms = state->crashed_ms;
}

/*
 * Decides whether a worker crashed that was silent until the leases of a run
 * had expired, once that is known. It did if another worker has its address, if
 * another incarnation of it answers, or if it goes on refusing connections; the
 * crash is then to be charged to the run's task. It did not if the same
 * incarnation answers. Returns whether it is still open.
 */
bool
fw_silent_loss_decide(
    struct fw_tables *tables, struct fw_run *run, int64_t now_ms)
{
	struct fw_worker_state *state = &tables->worker_states[run->worker];
	int64_t silent_ms = now_ms - run->silent_loss_ms;
	bool answers = state->report.sent_ms > run->silent_loss_ms;
	bool taken_over = fw_address_taken_over(state, run);
	bool gone =
	    state->refusals >= REFUSALS_MIN && silent_ms >= REFUSED_LOSS_MAX_MS;

	if (run->silent_loss_ms == 0)
		return false;
	if (!taken_over && !answers && !state->leaving && !gone &&
	    silent_ms < SILENT_LOSS_MAX_MS)
		return true;
	run->silent_loss_ms = 0;
	if (!run->start_sent || state->leaving ||
	    !(taken_over || gone ||
		(answers && fw_restarted_since_start(run, &state->report))))
		return false;
	note_crash(state, now_ms);
	run->crashed_ms = state->crashed_ms;
	run->crash_presumed = run->crash_uncharged = true;
	return false;
}

/* Returns whether a task that one more crash may fail has lost its last run on
 * a worker that was silent, of which it may soon be known if it crashed. */
bool
fw_task_undecided(const struct fw_tables *tables, const struct bd_flow *flow,
    uint32_t index, int64_t now_ms)
{
	const struct bd_step_task *task = &fw_flow_tasks(flow)[index];
	uint32_t found;

	if (task->crashes < CRASHES_APART_MAX - 1 || task_lasts(flow, index))
		return false;
	found = fw_run_find(tables, flow->id, index, task->run);
	return found != FW_NONE && tables->runs[found].silent_loss_ms != 0 &&
	    now_ms - tables->runs[found].silent_loss_ms < SILENT_LOSS_WAIT_MS;
}

/* Returns whether a worker crashed under a run of a job. */
static bool
crashed_under(const struct fw_tables *tables, uint32_t worker, uint64_t flow)
{
	uint32_t i;

	for (i = 0; i < tables->run_count; i++) {
		const struct fw_run *run = &tables->runs[i];

		if (run->used && run->worker == worker && run->flow == flow &&
		    run->crashed_ms == tables->worker_states[worker].crashed_ms)
			return true;
	}
	return false;
}

/* Returns whether a worker has crashed under an earlier run of a run's task:
 * the task was bound to it, so that the worker may be the cause. */
static bool
crashed_before(const struct fw_tables *tables, const struct fw_run *run)
{
	uint32_t i = fw_run_first(tables, run->flow, run->index);

	for (; i != FW_NONE; i = tables->runs[i].next) {
		const struct fw_run *other = &tables->runs[i];

		if (other->flow == run->flow && other->index == run->index &&
		    other->run < run->run && other->worker == run->worker &&
		    other->crashed_ms != 0)
			return true;
	}
	return false;
}

/* Describes the crash of a run's worker. */
void
fw_crash_describe(const struct fw_tables *tables, const struct fw_run *run,
    int64_t now_ms, struct fw_crash *crash)
{
	uint32_t others = 0;
	uint32_t i;

	crash->apart = true;
	for (i = 0; i < tables->run_count; i++) {
		const struct fw_run *other = &tables->runs[i];

		if (other->used && other->worker == run->worker &&
		    other->flow != run->flow && other->start_sent &&
		    (other->crashed_ms == run->crashed_ms ||
			other->phase != FW_PHASE_ENDED))
			crash->apart = false;
	}
	for (i = 0;
	     i < tables->worker_state_count && others < COMMON_CAUSE_WORKERS;
	     i++)
		if (i != run->worker &&
		    tables->worker_states[i].crashed_ms != 0 &&
		    now_ms - tables->worker_states[i].crashed_ms <
			COMMON_CAUSE_MS &&
		    !crashed_under(tables, i, run->flow))
			others++;
	crash->common_cause = others >= COMMON_CAUSE_WORKERS;
	/* A worker that crashes under a start breaks the connection; one that
	 * was cut off before leaves the start unanswered. */
	crash->presumed = run->crash_presumed || crashed_before(tables, run) ||
	    (run->start_silent && run->incarnation_ms == 0);
	crash->run_ms = now_ms - run->placed_ms;
}
