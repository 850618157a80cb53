#include "flow_internal.h"

/* Members of a gang that is done end by themselves, all at the same time. One
 * that is listed for longer than this is stopped. */
#define DONE_LISTED_MAX_MS 1000

static void add_task(struct fw_room *room, const struct bd_board *board,
    const struct fw_task_ref *ref);
static bool may_run(const struct fw_run *run);
static bool is_counted(const struct fw_tables *tables,
    const struct bd_board *board, uint32_t worker,
    const struct fw_listed_run *listed);

/* Adds what a task of a job needs to a sum. */
void
fw_room_add(struct fw_room *room, const struct bd_flow *flow, uint32_t index)
{
	const struct bd_flow_step *step;
	struct fw_task_ref ref;

	if (index >= fw_flow_task_count(flow))
		return;
	fw_task_ref_of(flow, index, &ref);
	step = &fw_flow_steps(flow)[ref.step];
	if ((step->flags & BD_STEP_FILLS) == 0)
		room->cores_milli += step->cores_milli;
	room->memory_mb += step->memory_mb;
	room->accels += step->accels;
}

/* Adds what a task needs to a sum; it is not known if the job's row is gone or
 * has been compacted. */
static void
add_task(struct fw_room *room, const struct bd_board *board,
    const struct fw_task_ref *ref)
{
	const struct bd_flow *flow;
	uint32_t index;

	flow = fw_task_lookup(board, ref, &index);
	if (flow == NULL || flow->compacted != 0)
		room->unknown = true;
	else
		fw_room_add(room, flow, index);
}

/* Sets what a worker offers by its latest entry, or by the last one that it had
 * if there is none now. Call within a read section. */
void
fw_room_offered(const struct fw_tables *tables, const struct bd_board *board,
    uint32_t worker, struct fw_room *offered)
{
	const struct fw_worker_state *state = &tables->worker_states[worker];
	const struct bd_host *row = bd_host_lookup(board, state->host);

	*offered = (struct fw_room){0};
	offered->cores_milli =
	    row != NULL ? row->cores_milli : state->entry.cores_milli;
	offered->memory_mb =
	    row != NULL ? row->memory_mb : state->entry.memory_mb;
	offered->accels = row != NULL ? row->accels : state->entry.accels;
}

/* Returns whether what is in use is or may be more than what is offered. */
bool
fw_room_exceeds(const struct fw_room *used, const struct fw_room *offered)
{
	return used->unknown || used->cores_milli > offered->cores_milli ||
	    used->memory_mb > offered->memory_mb ||
	    used->accels > offered->accels;
}

/* Returns whether a run has or may have been started and has not ended, or may
 * be started though it has ended. */
static bool
may_run(const struct fw_run *run)
{
	return fw_run_is_pending_late(run) ||
	    (run->used && run->superseded_since_ms == 0 && run->start_sent &&
		run->phase != FW_PHASE_ENDED);
}

/* Returns whether may_run holds for a listed run of a worker. */
static bool
is_counted(const struct fw_tables *tables, const struct bd_board *board,
    uint32_t worker, const struct fw_listed_run *listed)
{
	const struct bd_flow *flow;
	uint32_t index;
	uint32_t found;

	flow = fw_task_lookup(board, &listed->task, &index);
	if (flow == NULL)
		return false;
	found = fw_run_find(tables, flow->id, index, listed->run);
	return found != FW_NONE && tables->runs[found].worker == worker &&
	    may_run(&tables->runs[found]);
}

/* Sums up what the runs on a worker need that have or may have been started and
 * have not ended, among them those that are being stopped, and all runs that
 * its latest report lists. Call within a read section. */
void
fw_room_used(const struct fw_tables *tables, const struct bd_board *board,
    uint32_t worker, struct fw_room *used)
{
	const struct fw_report *report = &tables->worker_states[worker].report;
	uint32_t i;

	*used = (struct fw_room){0};
	for (i = tables->worker_states[worker].first_run; i != FW_NONE;
	     i = tables->runs[i].worker_next)
		if (may_run(&tables->runs[i]))
			add_task(used, board, &tables->runs[i].task);
	for (i = 0; i < report->run_count; i++)
		if (!is_counted(tables, board, worker, &report->runs[i]))
			add_task(used, board, &report->runs[i].task);
}

/* Returns whether a run may be started by an incarnation of its worker that has
 * not listed its runs yet, beside late starts: its start has no answer, or was
 * answered and the run has not been listed. */
bool
fw_run_meets_late(const struct fw_run *run, int64_t now_ms)
{
	return run->used && !run->start_assumed &&
	    (fw_run_may_arrive(run, now_ms) ||
		(run->phase == FW_PHASE_RUNNING && run->last_listed_ms == 0));
}

/* Sums up what runs of other tasks than starting need that an incarnation of
 * their worker may start that has not listed its runs yet; in_flight: also
 * those whose start is being sent. Call within a read section. */
void
fw_room_late(const struct fw_tables *tables, const struct bd_board *board,
    const struct fw_run *starting, bool in_flight, int64_t now_ms,
    struct fw_room *late)
{
	uint32_t i = tables->worker_states[starting->worker].first_run;

	*late = (struct fw_room){0};
	for (; i != FW_NONE; i = tables->runs[i].worker_next) {
		const struct fw_run *run = &tables->runs[i];

		if (!(run->flow == starting->flow &&
			run->index == starting->index) &&
		    fw_run_meets_late(run, now_ms) &&
		    (in_flight || !run->start_in_flight))
			add_task(late, board, &run->task);
	}
}

/*
 * Returns whether a run that a worker lists must not go on for certain: its job
 * has ended or was cancelled, its task is done, a later run of its task was
 * placed, or its task waits and the end of this run would not complete it.
 * False for a run that its job's row shows as placed there, which is stopped as
 * such, and where the row does not tell. Call within a read section.
 */
bool
fw_listed_unwanted(const struct fw_tables *tables, const struct bd_board *board,
    uint32_t worker, const struct fw_listed_run *listed, int64_t now_ms)
{
	const struct bd_step_task *task;
	const struct bd_flow *flow;
	uint32_t index;
	uint32_t found;
	uint64_t id;

	if (listed->run == 0 || !fw_flow_id_parse(listed->task.job, &id))
		return false;
	flow = bd_flow_lookup(board, id);
	if (flow == NULL || flow->compacted != 0)
		return flow != NULL;
	if (!fw_task_index(flow, &listed->task, &index))
		return false;
	task = &fw_flow_tasks(flow)[index];
	if (task->state == BD_STEP_TASK_PLACED && task->run == listed->run &&
	    task->host == tables->worker_states[worker].host)
		return false;
	found = fw_run_find(tables, id, index, listed->run);
	if (task->state == BD_STEP_TASK_DONE && task->run == listed->run) {
		return found == FW_NONE ||
		    (tables->runs[found].superseded_since_ms != 0 &&
			now_ms - tables->runs[found].superseded_since_ms >
			    DONE_LISTED_MAX_MS);
	}
	if (fw_flow_ended(flow) || flow->cancelled != 0 ||
	    task->run > listed->run)
		return true;
	return task->state == BD_STEP_TASK_WAITING &&
	    task->run == listed->run &&
	    (found == FW_NONE ||
		(fw_flow_steps(flow)[listed->task.step].flags &
		    (BD_STEP_GANG | BD_STEP_LONG_RUNNING)) != 0);
}
