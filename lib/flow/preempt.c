#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"

/* Delay before runs are preempted. Many runs end by themselves within this
 * time, which is short compared with the start limit of guaranteed jobs. */
#define PREEMPT_DELAY_MS 150
/* A job of priority 0 that exceeds its account's guarantee may preempt runs
 * whose loss is at most this share, in thousandths, of the job's own work. */
#define UNGUARANTEED_COST_MILLI 500
/* A group of priority 1 preempts only after this wait, in which the capacity
 * for it often becomes free by itself. */
#define MIDDLE_DELAY_MS 500
/* And only if its slack is at most this: with more of it there is time to wait
 * for runs to end, and in trials at most as much was gained by twice the stops.
 */
#define MIDDLE_SLACK_MS 2000
/* It may preempt runs whose cost is at most this share, in thousandths, of its
 * job's own work; late and useless ones are cheaper, see reclaim.c. */
#define MIDDLE_COST_MILLI 100
/* Largest number of groups of priority 1 for which one decision searches, of
 * which one at most preempts. */
#define MIDDLE_SEARCHES_MAX 2
/* Largest number of groups for which one decision searches runs to preempt: a
 * search visits all workers. The others follow in the next decisions. */
#define SEARCHES_MAX 8
/* In the price of lost work an accelerator counts as this many cores. */
#define ACCEL_CORES 8
/* Time from the order to stop a run to its end, without the run's own. */
#define STOP_TRANSIT_MS 100

static bool may_middle_search(const struct fw_preempt *preempt,
    const struct fw_view *view, const struct fw_group *group);
static void set_cost(const struct fw_placer *placer, const struct fw_view *view,
    const struct fw_run *run, uint32_t members, struct fw_victim *victim);
static void note_stop(struct fw_placer *placer, const struct fw_view *view,
    const struct fw_victim *victim, const struct bd_flow *by, bool guaranteed);
static void collect_victims(struct fw_preempt *preempt, struct fw_view *view);

/* Returns the size of a task of a step in thousandths of a core. */
uint64_t
fw_step_size(const struct bd_flow_step *step)
{
	uint64_t cores_milli =
	    (step->flags & BD_STEP_FILLS) != 0 ? 0 : step->cores_milli;

	return cores_milli + (uint64_t)step->accels * ACCEL_CORES * 1000;
}

/* Returns the work that is lost, in core-milliseconds, when a run of a step is
 * stopped after age_ms and its gang of `members` tasks ends with it. A run that
 * saves checkpoints also saves one when it is stopped, and loses the time of
 * its stop and of its restore. */
uint64_t
fw_run_loss(const struct bd_flow_step *step, int64_t age_ms, uint32_t members,
    const struct fw_settings *settings)
{
	int64_t saved_ms = (int64_t)settings->restore_ms + STOP_TRANSIT_MS;

	if (age_ms < 0)
		age_ms = 0;
	if ((step->flags & BD_STEP_CHECKPOINTS) != 0 && age_ms > saved_ms)
		age_ms = saved_ms;
	return (uint64_t)age_ms * members * fw_step_size(step) / 1000;
}

/*
 * Returns the largest cost, in core-milliseconds, at which runs may be
 * preempted for a waiting group; 0: none are. Within its account's guarantee a
 * job of priority 0 may preempt at any cost, otherwise only while it can still
 * meet its target, and only if little is lost. Load answered: bursts of urgent
 * jobs on a full deployment. The same holds for priority 1 after a longer wait
 * and at a lower cost: gangs of the middle kind missed their target behind long
 * runs of lower priority that were late already or had hardly begun.
 */
uint64_t
fw_preempt_cost_max(const struct fw_group *group, bool guaranteed)
{
	/* A suspect job would start among the runs that are left there. */
	if (group->priority > 1 || group->suspect ||
	    group->age_ms < PREEMPT_DELAY_MS)
		return 0;
	if (group->priority == 1)
		return group->waited_ms < MIDDLE_DELAY_MS ||
			group->slack_ms < 0 ||
			group->slack_ms > MIDDLE_SLACK_MS || group->too_late
		    ? 0
		    : group->work * MIDDLE_COST_MILLI / 1000;
	if (guaranteed)
		return UINT64_MAX;
	return group->slack_ms < 0
	    ? 0
	    : group->work * UNGUARANTEED_COST_MILLI / 1000;
}

/* Returns whether the decision may search runs to preempt for a group of
 * priority 1: none was preempted for another one yet, and no urgent group waits
 * for the same capacity. */
static bool
may_middle_search(const struct fw_preempt *preempt, const struct fw_view *view,
    const struct fw_group *group)
{
	return !preempt->middle_done &&
	    preempt->middle_searches < MIDDLE_SEARCHES_MAX &&
	    (view->settings->rules_off & FW_RULE_MIDDLE_PREEMPTS) == 0 &&
	    group->service != FW_NONE &&
	    view->services[group->service].urgent_backlog == 0;
}

/* Sets what the stop of a run costs its callers. */
static void
set_cost(const struct fw_placer *placer, const struct fw_view *view,
    const struct fw_run *run, uint32_t members, struct fw_victim *victim)
{
	const struct bd_flow *flow = fw_job_current(&view->jobs[victim->job]);
	const struct bd_flow_step *step;
	struct fw_task_ref ref;
	enum fw_earning earning;

	fw_task_ref_of(flow, run->index, &ref);
	step = &fw_flow_steps(flow)[ref.step];
	victim->loss = fw_run_loss(
	    step, view->now_ms - run->placed_ms, members, view->settings);
	victim->cost = victim->loss;
	victim->timely = true;
	if ((view->settings->rules_off & FW_RULE_STOP_COST) != 0)
		return;
	earning = fw_flow_earning(flow, run->index,
	    fw_run_left_ms(run, step, view->now_ms), view->wall_ms,
	    view->settings);
	victim->stops = fw_stops_of(&placer->stops, flow, victim->first,
	    members, view->wall_ms - (view->now_ms - placer->active_since_ms));
	victim->spared = victim->stops >= FW_STOPS_FOR_OTHERS_MAX;
	victim->timely = earning == FW_EARNS_FULLY;
	victim->cost = fw_stop_cost(victim->loss, victim->stops);
}

/* Collects the runs that may be preempted, with the work that each would lose:
 * those of another priority than 0, and those that are being stopped already.
 */
static void
collect_victims(struct fw_preempt *preempt, struct fw_view *view)
{
	struct fw_placer *placer = preempt->placer;
	uint32_t i;

	preempt->victims =
	    calloc(placer->tables.run_count + 1, sizeof(*preempt->victims));
	if (preempt->victims == NULL)
		return;
	for (i = 0; i < placer->tables.run_count; i++) {
		const struct fw_run *run = &placer->tables.runs[i];
		struct fw_victim *victim = &preempt->victims[preempt->count];
		const struct bd_flow *flow;
		uint32_t members;

		if (!run->used || run->superseded_since_ms != 0 ||
		    run->phase == FW_PHASE_ENDED)
			continue;
		victim->run = i;
		victim->job = fw_view_job_index(view, run->flow);
		victim->host = fw_view_host_index(
		    view, placer->tables.worker_states[run->worker].host);
		if (victim->job == FW_NONE || victim->host == FW_NONE)
			continue;
		flow = fw_job_current(&view->jobs[victim->job]);
		if (flow->priority == 0 && !run->stop_requested)
			continue;
		fw_group_of(flow, run->index, &victim->first, &members);
		victim->priority = flow->priority;
		victim->stopping = run->stop_requested;
		set_cost(placer, view, run, members, victim);
		preempt->count++;
	}
}

/* Counts the stop of a run for another job, and logs it once for its group. */
static void
note_stop(struct fw_placer *placer, const struct fw_view *view,
    const struct fw_victim *victim, const struct bd_flow *by, bool guaranteed)
{
	const struct bd_flow *flow = fw_job_current(&view->jobs[victim->job]);
	const struct fw_stop *before =
	    fw_stops_find(&placer->stops, flow->id, victim->first);
	struct fw_stop stop = {.flow = flow->id,
	    .first = victim->first,
	    .cost = victim->loss,
	    .at_ms = view->now_ms};

	if (before != NULL && before->at_ms == view->now_ms)
		return;
	memcpy(stop.by, by->name, sizeof(stop.by));
	fw_stops_note(&placer->stops, placer->parts.board, &stop);
	ev_emit(EV_FLOW_STOP_COST,
	    "job=%s task=%u priority=%u for=%s for_priority=%u guaranteed=%d "
	    "stop=%u lost_core_ms=%llu cost=%llu in_time=%d",
	    flow->name, victim->first, victim->priority, by->name, by->priority,
	    guaranteed, victim->stops + 1, (unsigned long long)victim->loss,
	    (unsigned long long)victim->cost, victim->timely);
}

/* Preempts runs for a group that does not fit, and reserves their capacity for
 * it. Returns whether it did. */
bool
fw_preempt_for_group(struct fw_preempt *preempt, struct fw_view *view,
    const struct fw_group *group)
{
	struct fw_placer *placer = preempt->placer;
	const struct bd_flow *flow = fw_job_current(&view->jobs[group->job]);
	uint64_t cost_max = fw_preempt_cost_max(group,
	    group->priority == 0 &&
		fw_within_guarantee(view, placer->parts.board, flow));
	uint32_t hosts[FW_TASKS_MAX];
	uint32_t i;

	if (cost_max == 0 || view->lists_pending ||
	    preempt->searches >= SEARCHES_MAX ||
	    (group->priority == 1 && !may_middle_search(preempt, view, group)))
		return false;
	preempt->searches++;
	preempt->middle_searches += group->priority == 1;
	if (preempt->victims == NULL)
		collect_victims(preempt, view);
	if (preempt->victims == NULL ||
	    !fw_reclaim(
		view, group, preempt->victims, preempt->count, cost_max, hosts))
		return false;
	preempt->middle_done |= group->priority == 1;
	if (fw_reservation_add(&placer->reservations, view, group, hosts) !=
	    CW_OK)
		ev_emit(EV_FLOW_NO_MEMORY, "what=plan");
	fw_group_note_kept(view, group, hosts);
	for (i = 0; i < preempt->count; i++) {
		struct fw_run *run =
		    &placer->tables.runs[preempt->victims[i].run];

		if (!preempt->victims[i].to_preempt || run->stop_requested)
			continue;
		run->stop_requested = true;
		note_stop(placer, view, &preempt->victims[i], flow,
		    cost_max == UINT64_MAX);
		ev_emit(EV_FLOW_STOP,
		    "job=%016llx task=%u run=%u worker=%s reason=reclaimed "
		    "for=%s percent=%u",
		    (unsigned long long)run->flow, run->index, run->run,
		    placer->tables.worker_states[run->worker].name, flow->name,
		    run->percent);
	}
	return true;
}

/* Frees what the decision has collected. */
void
fw_preempt_end(struct fw_preempt *preempt)
{
	free(preempt->victims);
	preempt->victims = NULL;
	preempt->count = 0;
}
