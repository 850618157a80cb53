#include "flow_internal.h"

/*
 * What the record of a job's progress tells successors of starts that have no
 * answer and may be carried out late: for how long after the record was stored.
 * The placer sends no start of which a successor would not know.
 */

/* Longest time until the answer to a first start, after its placement. */
#define FIRST_ANSWER_MAX_MS (FW_FIRST_START_MAX_MS + FW_ORDER_TIMEOUT_MS)
/* A row is not stored again for less. */
#define NOISE_MS 100

_Static_assert(FW_LATE_NOTED_MAX_MS <= UINT16_MAX,
    "the time of a late start fits its field");

static bool is_first_start(const struct fw_placer *placer,
    const struct bd_flow *flow, const struct fw_run *run);
static bool is_late_run(
    const struct fw_tables *tables, const struct fw_run *run);
static int64_t known_until_ms(const struct fw_placer *placer,
    const struct bd_flow *flow, const struct fw_run *run);
static int64_t late_for_ms(
    const struct fw_placer *placer, const struct fw_run *run, int64_t now_ms);
static bool needs_note(const struct fw_placer *placer,
    const struct bd_flow *flow, const struct fw_run *run, int64_t now_ms);
static int64_t note_for_ms(const struct fw_placer *placer,
    const struct bd_flow *flow, const struct fw_run *run, int64_t now_ms);
static bool is_first_start_open(const struct fw_placer *placer,
    const struct bd_flow *flow, const struct fw_run *run);
static bool is_inherited(
    const struct fw_placer *placer, const struct fw_run *run);
static void describe_task(struct fw_placer *placer, struct bd_flow *flow,
    uint32_t index, const struct fw_view *view);

/* Returns whether a run has had no start, or waits for the answer to its first
 * one for no longer than that may take. */
static bool
is_first_start(const struct fw_placer *placer, const struct bd_flow *flow,
    const struct fw_run *run)
{
	const struct bd_step_task *task = &fw_flow_tasks(flow)[run->index];

	return run->phase == FW_PHASE_STARTING && run->starts <= 1 &&
	    !run->start_uncertain && !run->taken_over && !run->note_due &&
	    (!run->start_in_flight || flow->term != placer->term ||
		(task->late & BD_LATE_FIRST) == 0 ||
		placer->boot_ms - flow->stored_ms < FIRST_ANSWER_MAX_MS);
}

/* Returns whether a worker lists a run as running that counts as ended: its
 * start was carried out late. */
static bool
is_late_run(const struct fw_tables *tables, const struct fw_run *run)
{
	return run->phase == FW_PHASE_ENDED && run->start_uncertain &&
	    run->end_listed_ms == 0 && run->last_listed_ms != 0 &&
	    run->last_listed_ms ==
	    tables->worker_states[run->worker].report.sent_ms;
}

/* Returns until when successors expect a late start of a run by its job's row,
 * as bd_flow.stored_ms, or 0 if they do not. The row of an earlier placer has
 * another clock. */
static int64_t
known_until_ms(const struct fw_placer *placer, const struct bd_flow *flow,
    const struct fw_run *run)
{
	const struct bd_step_task *task = &fw_flow_tasks(flow)[run->index];
	bool latest = task->run == run->run;
	uint32_t bit = latest ? BD_LATE_LATEST : BD_LATE_BEFORE;

	if (flow->term != placer->term || (task->late & BD_LATE_SINCE) != 0)
		return 0;
	if ((task->late & bit) != 0)
		return flow->stored_ms + task->late_ms;
	return latest && !run->start_sent && (task->late & BD_LATE_FIRST) != 0
	    ? flow->stored_ms + FW_FIRST_START_MAX_MS + FW_ORDER_LATE_MAX_MS
	    : 0;
}

/* Returns whether a successor would know of a start of a run that is sent now
 * and not answered. */
bool
fw_start_is_covered(const struct fw_placer *placer, const struct bd_flow *flow,
    const struct fw_run *run)
{
	return placer->boot_ms + FW_ORDER_LATE_MAX_MS <=
	    known_until_ms(placer, flow, run);
}

/* Returns for how long a start of a run may be carried out late: an unanswered
 * one, the next one of a run that waits to be covered, or one that was carried
 * out after its run had ended. At most 0: there is none. */
static int64_t
late_for_ms(
    const struct fw_placer *placer, const struct fw_run *run, int64_t now_ms)
{
	if (is_late_run(&placer->tables, run) ||
	    (run->note_due && run->phase != FW_PHASE_ENDED))
		return FW_ORDER_LATE_MAX_MS;
	if (!fw_run_has_unknown_start(run))
		return 0;
	return run->start_in_flight
	    ? FW_ORDER_LATE_MAX_MS
	    : run->uncertain_ms + FW_ORDER_LATE_MAX_MS - now_ms;
}

/* Returns whether the row of a run's job has to be stored, as it does not tell
 * of a late start of the run yet. What an earlier placer has stored stands, and
 * so does what covered a start when it was sent. */
static bool
needs_note(const struct fw_placer *placer, const struct bd_flow *flow,
    const struct fw_run *run, int64_t now_ms)
{
	int64_t late_ms = late_for_ms(placer, run, now_ms);

	if (late_ms <= 0 || is_first_start(placer, flow, run) ||
	    (run->start_assumed && !run->note_due) ||
	    (run->start_in_flight && run->starts > 1))
		return false;
	return known_until_ms(placer, flow, run) + NOISE_MS <
	    placer->boot_ms + late_ms;
}

/* Adds the jobs to a decision whose rows do not tell successors of a late start
 * yet. */
void
fw_late_starts_note(struct fw_placer *placer, struct fw_view *view)
{
	uint32_t i;

	for (i = 0; i < placer->tables.run_count; i++) {
		const struct fw_run *run = &placer->tables.runs[i];
		uint32_t job;

		if (!run->used)
			continue;
		job = fw_view_job_index(view, run->flow);
		if (job != FW_NONE &&
		    needs_note(
			placer, view->jobs[job].row, run, view->now_ms) &&
		    fw_job_writable(&view->jobs[job]) == NULL)
			ev_emit(EV_FLOW_NO_MEMORY, "what=job");
	}
}

/* Returns the time that is noted for a run. Where more starts are to follow it
 * covers some time of these, so that the row is not stored for each of them. */
static int64_t
note_for_ms(const struct fw_placer *placer, const struct bd_flow *flow,
    const struct fw_run *run, int64_t now_ms)
{
	int64_t late_ms = late_for_ms(placer, run, now_ms);
	int64_t known_ms = known_until_ms(placer, flow, run) - placer->boot_ms;

	if (late_ms <= 0)
		return 0;
	if (run->note_due || is_late_run(&placer->tables, run))
		return FW_LATE_NOTED_MAX_MS;
	return run->phase == FW_PHASE_STARTING && known_ms > late_ms ? known_ms
								     : late_ms;
}

/* Returns whether all that is known of a late start is what an earlier placer
 * has noted. It is passed on as it is: counted anew by each placer, its time
 * would grow by what each one does not know of the age of the record. */
static bool
is_inherited(const struct fw_placer *placer, const struct fw_run *run)
{
	return run->start_assumed && !run->note_due && !run->start_in_flight &&
	    !is_late_run(&placer->tables, run);
}

/* Sets what the row of a task tells of late starts. */
static void
describe_task(struct fw_placer *placer, struct bd_flow *flow, uint32_t index,
    const struct fw_view *view)
{
	struct bd_step_task *task = &fw_flow_tasks(flow)[index];
	uint32_t i = fw_run_first(&placer->tables, flow->id, index);
	bool placed_now = task->state == BD_STEP_TASK_PLACED;
	const struct fw_run *longest = NULL;
	bool all_inherited = true;
	int64_t longest_ms = 0;
	uint32_t late = 0;

	for (; i != FW_NONE; i = placer->tables.runs[i].next) {
		const struct fw_run *run = &placer->tables.runs[i];
		bool latest = run->run == task->run;
		int64_t late_ms;

		if (run->flow != flow->id || run->index != index ||
		    placer->tables.worker_states[run->worker].host !=
			task->host)
			continue;
		placed_now &= !latest;
		if (latest && is_first_start(placer, flow, run)) {
			late |= BD_LATE_FIRST;
			continue;
		}
		late_ms = note_for_ms(placer, flow, run, view->now_ms);
		if (late_ms <= 0)
			continue;
		late |= latest ? BD_LATE_LATEST : BD_LATE_BEFORE;
		all_inherited &= is_inherited(placer, run);
		if (late_ms > longest_ms) {
			longest_ms = late_ms;
			longest = run;
		}
	}
	if (placed_now)
		late |= BD_LATE_FIRST;
	task->late_until_ms = longest_ms > 0 ? view->wall_ms + longest_ms : 0;
	task->late_offset = 0;
	if (longest != NULL && all_inherited) {
		late |= BD_LATE_SINCE;
		longest_ms = longest->noted_ms;
		task->late_offset = longest->noted_offset;
	}
	task->late = (uint16_t)late;
	task->late_ms = (uint16_t)longest_ms;
}

/* Sets what the row of a job tells of late starts, before it is stored. */
void
fw_late_starts_describe(
    struct fw_placer *placer, struct bd_flow *flow, const struct fw_view *view)
{
	uint32_t count = fw_flow_task_count(flow);
	uint32_t i;

	for (i = 0; i < count; i++)
		if (fw_flow_tasks(flow)[i].run > 0)
			describe_task(placer, flow, i, view);
	flow->term = placer->term;
	flow->stored_ms = placer->boot_ms;
}

/* Returns whether the row of a run's job tells that its first start may be on
 * its way, and this placer cannot rule that out yet. */
static bool
is_first_start_open(const struct fw_placer *placer, const struct bd_flow *flow,
    const struct fw_run *run)
{
	const struct bd_step_task *task = &fw_flow_tasks(flow)[run->index];

	if (flow->term != placer->term || task->run != run->run ||
	    (task->late & BD_LATE_FIRST) == 0)
		return false;
	if (!run->start_sent)
		return placer->boot_ms <=
		    flow->stored_ms + FW_FIRST_START_MAX_MS;
	return fw_run_has_unknown_start(run);
}

/* Returns the time, as bd_flow.stored_ms, up to which all decisions are stored
 * and the first starts of the runs that they placed are answered or noted. Call
 * within a read section, after the runs were updated from the rows. */
int64_t
fw_first_starts_settled_ms(const struct fw_placer *placer)
{
	int64_t settled_ms = placer->settled_ms;
	uint32_t i;

	for (i = 0; i < placer->tables.run_count; i++) {
		const struct fw_run *run = &placer->tables.runs[i];
		const struct bd_flow *flow;

		if (!run->used || run->taken_over)
			continue;
		flow = bd_flow_lookup(placer->parts.board, run->flow);
		if (flow != NULL && flow->compacted == 0 &&
		    flow->stored_ms <= settled_ms &&
		    is_first_start_open(placer, flow, run))
			settled_ms = flow->stored_ms - 1;
	}
	return settled_ms;
}

/* Ends a decision, by which the starts that had to be noted are. */
void
fw_late_starts_noted(struct fw_placer *placer)
{
	uint32_t i;

	for (i = 0; i < placer->tables.run_count; i++)
		placer->tables.runs[i].note_due = false;
}
