#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"

/* A worker on which the latest runs have failed is chosen last for this long,
 * and not at all after two failures in a row. */
#define SUSPECT_MS 8000
/* Work of lower priority may be stopped for a job of priority 0 without a
 * guarantee where that throws away at most this much of the job's own work. */
#define BORROWED_COST_MILLI 500
/* Many runs end by themselves within this time, which is small against the time
 * in which guaranteed jobs have to begin. */
#define RECLAIM_PATIENCE_MS 150
/* Workers are kept for jobs of priority 0 by what these have used lately, with
 * a margin for the next ones; the average follows a burst within some seconds.
 */
#define URGENT_AVERAGE_MS 8000
#define URGENT_MARGIN_MILLI 1200
#define URGENT_LEAST 16 /* accelerators */
/* A stop loses the work since the last checkpoint; half of a period, restore
 * included, is taken for it. */
#define CHECKPOINT_LOSS_MS 1500

struct blocked {
	struct fw_placer *placer;
	struct fw_victim *victims;
	uint32_t count;
};

static void judge_hosts(struct fw_placer *placer, struct fw_view *view);
static void keep_urgent(struct fw_placer *placer, struct fw_view *view);
static void note_end(struct fw_placer *placer, const struct fw_run *run,
    enum fw_end end, int64_t now_ms);
static void apply_ends(struct fw_placer *placer, struct fw_view *view);
static void collect_victims(
    struct fw_placer *placer, struct fw_view *view, struct blocked *blocked);
static void on_blocked(
    void *ctx, struct fw_view *view, const struct fw_group *group);
static void log_change(const struct fw_job_view *job);
static bool fill_batch(struct fw_placer *placer, struct fw_view *view);

/* Closes workers that do not answer or that fail what they run. */
static void
judge_hosts(struct fw_placer *placer, struct fw_view *view)
{
	uint32_t i;

	for (i = 0; i < view->host_count; i++) {
		struct fw_host_view *host = &view->hosts[i];
		uint32_t found = fw_link_find(&placer->tables, host->row->id);
		const struct fw_link *link;

		if (found == FW_NONE)
			continue;
		link = &placer->tables.links[found];
		if (link->silent_ms != 0 || link->clock_at_ms == 0)
			host->open = false;
		if (link->failed_count > 0 &&
		    view->now_ms - link->failed_ms < SUSPECT_MS) {
			host->suspect = true;
			if (link->failed_count > 1)
				host->open = false;
		}
	}
}

static void
keep_urgent(struct fw_placer *placer, struct fw_view *view)
{
	int64_t passed_ms = view->now_ms - placer->urgent_ms;
	int64_t use_milli = (int64_t)fw_view_urgent_use(view) * 1000;
	int64_t average = (int64_t)placer->urgent_milli;

	if (passed_ms > URGENT_AVERAGE_MS)
		passed_ms = URGENT_AVERAGE_MS;
	average += (use_milli - average) * passed_ms / URGENT_AVERAGE_MS;
	placer->urgent_milli = (uint64_t)average;
	placer->urgent_ms = view->now_ms;
	fw_view_keep_urgent(view,
	    (uint64_t)average * URGENT_MARGIN_MILLI / 1000000 + URGENT_LEAST);
}

static void
note_end(struct fw_placer *placer, const struct fw_run *run, enum fw_end end,
    int64_t now_ms)
{
	struct fw_link *link = &placer->tables.links[run->link];

	if (end == FW_END_FAILED) {
		link->failed_count++;
		link->failed_ms = now_ms;
	} else if (end == FW_END_DONE)
		link->failed_count = 0;
	ev_emit(EV_FLOW_ENDED,
	    "job=%016llx task=%u run=%u worker=%s end=%s percent=%u ms=%lld",
	    (unsigned long long)run->flow, run->index, run->run, link->name,
	    fw_end_name(end), run->percent,
	    (long long)(now_ms - run->placed_ms));
}

/* Puts the ends that were reported into their jobs. A run that counts as lost
 * may be done after all, as long as no other one was placed. */
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
		    (run->unplaced_ms != 0 && !run->done_late))
			continue;
		job = fw_view_job(view, run->flow);
		if (job == FW_NONE)
			continue;
		task = &fw_flow_tasks(fw_job_now(&view->jobs[job]))[run->index];
		if (task->run != run->run ||
		    task->state !=
			(run->done_late ? BD_STEP_TASK_WAITING
					: BD_STEP_TASK_PLACED))
			continue;
		copy = fw_job_change(&view->jobs[job]);
		if (copy == NULL) {
			ev_emit(EV_FLOW_NO_MEMORY, "what=job");
			continue;
		}
		end = run->done_late ? FW_END_DONE : run->end;
		note_end(placer, run, end, view->now_ms);
		fw_fate_apply(
		    copy, run->index, end, run->checkpoint, view->wall_ms);
	}
}

/* Collects the runs of lower priority with what their stop would lose. */
static void
collect_victims(
    struct fw_placer *placer, struct fw_view *view, struct blocked *blocked)
{
	uint32_t i;

	blocked->victims =
	    calloc(placer->tables.run_count + 1, sizeof(*blocked->victims));
	if (blocked->victims == NULL)
		return;
	for (i = 0; i < placer->tables.run_count; i++) {
		const struct fw_run *run = &placer->tables.runs[i];
		struct fw_victim *victim = &blocked->victims[blocked->count];
		const struct bd_flow_step *step;
		const struct bd_flow *flow;
		struct fw_task_ref ref;
		int64_t loss_ms = view->now_ms - run->placed_ms;
		uint32_t members;

		if (!run->used || run->unplaced_ms != 0 ||
		    run->phase == FW_PHASE_ENDED)
			continue;
		victim->run = i;
		victim->job = fw_view_job(view, run->flow);
		victim->host =
		    fw_view_host(view, placer->tables.links[run->link].host);
		if (victim->job == FW_NONE || victim->host == FW_NONE)
			continue;
		flow = fw_job_now(&view->jobs[victim->job]);
		if (flow->priority == 0 && !run->stop)
			continue;
		fw_task_ref_of(flow, run->index, &ref);
		step = &fw_flow_steps(flow)[ref.step];
		fw_group_of(flow, run->index, &victim->first, &members);
		if ((step->flags & BD_STEP_CHECKPOINTS) != 0 &&
		    loss_ms > CHECKPOINT_LOSS_MS)
			loss_ms = CHECKPOINT_LOSS_MS;
		victim->priority = flow->priority;
		victim->stopping = run->stop;
		victim->cost = (uint64_t)loss_ms * members *
		    (step->accels > 0 ? step->accels : 1);
		blocked->count++;
	}
}

/* A job of priority 0 that finds no room gets it from others: always within its
 * account's guarantee, beyond it where little work is lost. */
static void
on_blocked(void *ctx, struct fw_view *view, const struct fw_group *group)
{
	struct blocked *blocked = ctx;
	struct fw_placer *placer = blocked->placer;
	const struct bd_flow *flow = fw_job_now(&view->jobs[group->job]);
	uint64_t cost_max = UINT64_MAX;
	uint32_t hosts[FW_TASKS_MAX];
	uint32_t i;

	if (group->priority != 0 || group->age_ms < RECLAIM_PATIENCE_MS)
		return;
	if (!fw_guaranteed(view, placer->parts.board, flow)) {
		if (group->slack_ms < 0)
			return;
		cost_max = group->work * BORROWED_COST_MILLI / 1000;
	}
	if (blocked->victims == NULL)
		collect_victims(placer, view, blocked);
	if (!fw_reclaim(
		view, group, blocked->victims, blocked->count, cost_max, hosts))
		return;
	if (fw_plan_add(&placer->plans, view, group, hosts) != CW_OK)
		ev_emit(EV_FLOW_NO_MEMORY, "what=plan");
	for (i = 0; i < blocked->count; i++) {
		struct fw_run *run =
		    &placer->tables.runs[blocked->victims[i].run];

		if (!blocked->victims[i].taken || run->stop)
			continue;
		run->stop = true;
		ev_emit(EV_FLOW_STOP,
		    "job=%016llx task=%u run=%u worker=%s reason=reclaimed "
		    "for=%s percent=%u",
		    (unsigned long long)run->flow, run->index, run->run,
		    placer->tables.links[run->link].name, flow->name,
		    run->percent);
	}
}

static void
log_change(const struct fw_job_view *job)
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
		code = fw_progress_encode(job->copy, &value, &bytes);
		if (code != CW_OK)
			break;
		log_change(job);
		code = fw_writer_add(
		    writer, FW_RECORD_PROGRESS, job->copy->name, value, bytes);
	}
	for (i = 0; i < view->settled_count && code == CW_OK; i++)
		code = fw_writer_add(writer, FW_RECORD_PROGRESS,
		    view->settled[i]->name, NULL, 0);
	if (code != CW_OK)
		ev_emit(EV_FLOW_NO_MEMORY, "what=batch");
	return writer->count > 0;
}

/*
 * Decides the next progress of all jobs: ends that were reported, then new
 * placements. Fills the placer's batch and returns whether there is anything to
 * store. Call within a read section, with no batch open.
 */
bool
fw_decide(struct fw_placer *placer, int64_t now_ms)
{
	struct blocked blocked = {placer, NULL, 0};
	struct fw_groups groups;
	struct fw_view view;
	bool any = false;

	if (fw_view_build(&view, placer->parts.board, &placer->parts.settings,
		now_ms, placer->parts.wall_ms(placer->parts.ctx)) != CW_OK) {
		ev_emit(EV_FLOW_NO_MEMORY, "what=view");
		return false;
	}
	judge_hosts(placer, &view);
	keep_urgent(placer, &view);
	apply_ends(placer, &view);
	if (fw_groups_ready(&groups, &view) == CW_OK) {
		fw_plans_apply(&placer->plans, &view, &groups);
		fw_groups_order(&groups);
		fw_place(&view, &groups, on_blocked, &blocked);
		fw_groups_free(&groups);
	} else
		ev_emit(EV_FLOW_NO_MEMORY, "what=groups");
	any = fill_batch(placer, &view);
	free(blocked.victims);
	fw_view_free(&view);
	return any;
}
