#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"

static const struct bd_flow_step *victim_step(
    const struct fw_view *view, const struct fw_victim *victim);
static void set_tentative(struct fw_view *view, struct fw_victim *victims,
    uint32_t count, const struct fw_victim *one, bool tentative);
static uint64_t weighted_cost(const struct fw_victim *victim);
static bool clear_host(struct fw_view *view, const struct fw_group *group,
    struct fw_victim *victims, uint32_t count, uint32_t host, bool mark,
    uint64_t *cost);
static bool clear_rack(struct fw_view *view, const struct fw_group *group,
    uint32_t rack, struct fw_victim *victims, uint32_t count, uint32_t *hosts,
    uint64_t *cost);
static void revert(struct fw_view *view, const struct fw_group *group,
    struct fw_victim *victims, uint32_t count, const uint32_t *hosts,
    uint32_t placed);
static int compare_hosts(const void *a, const void *b);
static void sort_victims(
    struct fw_view *view, struct fw_victim *victims, uint32_t count);
static uint32_t best_rack(struct fw_view *view, const struct fw_group *group,
    struct fw_victim *victims, uint32_t count);

/* Returns the step of a victim's task. */
static const struct bd_flow_step *
victim_step(const struct fw_view *view, const struct fw_victim *victim)
{
	const struct bd_flow *flow = fw_job_current(&view->jobs[victim->job]);
	struct fw_task_ref ref;

	fw_task_ref_of(flow, victim->first, &ref);
	return &fw_flow_steps(flow)[ref.step];
}

/* Selects a run with its whole gang, or reverts the selection. The capacity of
 * selected runs counts as free in the view. */
static void
set_tentative(struct fw_view *view, struct fw_victim *victims, uint32_t count,
    const struct fw_victim *one, bool tentative)
{
	uint32_t job = one->job;
	uint32_t first = one->first;
	uint32_t i;

	for (i = 0; i < count; i++) {
		struct fw_victim *victim = &victims[i];

		if (victim->job != job || victim->first != first ||
		    victim->to_preempt || victim->tentative == tentative)
			continue;
		victim->tentative = tentative;
		fw_host_adjust_free(&view->hosts[victim->host],
		    victim_step(view, victim), tentative ? 1 : -1);
	}
}

/* Returns the weighted cost of a preemption, 0 for a run that is being stopped
 * anyway. By what callers pay, an accelerator-second of priority 1 is worth
 * about twice as much as one of a lower priority. */
static uint64_t
weighted_cost(const struct fw_victim *victim)
{
	if (victim->stopping)
		return 0;
	return victim->cost * (victim->priority == 1 ? 2 : 1) + 1;
}

/* Finds the cheapest runs on one worker whose preemption lets one task of the
 * group fit there, and marks them as tentative if mark is set. *cost is their
 * total weighted cost. Returns false if the task cannot fit. */
static bool
clear_host(struct fw_view *view, const struct fw_group *group,
    struct fw_victim *victims, uint32_t count, uint32_t host, bool mark,
    uint64_t *cost)
{
	const struct bd_flow *flow = fw_job_current(&view->jobs[group->job]);
	const struct bd_flow_step *step = &fw_flow_steps(flow)[group->step];
	struct fw_host_view trial = view->hosts[host];
	uint32_t end = trial.first_victim + trial.victim_count;
	uint64_t least = 0;
	uint32_t i;

	*cost = 0;
	/* By ascending cost; runs of equal cost are handled together. */
	while (!fw_host_fits(&trial, flow, step)) {
		uint64_t next = UINT64_MAX;

		for (i = trial.first_victim; i < end; i++) {
			const struct fw_victim *victim = &victims[i];
			uint64_t own = weighted_cost(victim) + 1;

			if (!victim->tentative && !victim->to_preempt &&
			    own > least && own < next)
				next = own;
		}
		if (next == UINT64_MAX)
			return false;
		least = next;
		for (i = trial.first_victim; i < end; i++) {
			struct fw_victim *victim = &victims[i];

			if (victim->tentative || victim->to_preempt ||
			    weighted_cost(victim) + 1 != next ||
			    fw_host_fits(&trial, flow, step))
				continue;
			*cost += next - 1;
			fw_host_adjust_free(
			    &trial, victim_step(view, victim), 1);
			if (mark)
				set_tentative(
				    view, victims, count, victim, true);
		}
	}
	return true;
}

/* Selects runs so that a whole group fits within a rack: for each task on the
 * worker with the lowest cost, and among equal ones on the one with the fewest
 * free accelerators. Changes nothing and returns false if a task does not fit.
 */
static bool
clear_rack(struct fw_view *view, const struct fw_group *group, uint32_t rack,
    struct fw_victim *victims, uint32_t count, uint32_t *hosts, uint64_t *cost)
{
	const struct bd_flow_step *step = &fw_flow_steps(
	    fw_job_current(&view->jobs[group->job]))[group->step];
	uint64_t own;
	uint32_t n;
	uint32_t i;

	*cost = 0;
	fw_group_count_tasks(view, group);
	for (n = 0; n < group->count; n++) {
		uint64_t best_cost = UINT64_MAX;
		uint32_t best = FW_NONE;
		uint32_t end = fw_view_rack_hosts(view, rack, &i);

		view->hosts_scanned += end - i;
		for (; i < end; i++) {
			const struct fw_host_view *host = &view->hosts[i];

			if ((step->host_max > 0 &&
				host->same_step_tasks >= step->host_max) ||
			    !clear_host(
				view, group, victims, count, i, false, &own) ||
			    own > best_cost ||
			    (own == best_cost &&
				host->accels >= view->hosts[best].accels))
				continue;
			best = i;
			best_cost = own;
		}
		if (best == FW_NONE) {
			revert(view, group, victims, count, hosts, n);
			return false;
		}
		clear_host(view, group, victims, count, best, true, &own);
		*cost += own;
		fw_host_adjust_free(&view->hosts[best], step, -1);
		view->hosts[best].same_step_tasks++;
		hosts[n] = best;
	}
	return true;
}

/* Reverts clear_rack, which has found workers for `placed` tasks. */
static void
revert(struct fw_view *view, const struct fw_group *group,
    struct fw_victim *victims, uint32_t count, const uint32_t *hosts,
    uint32_t placed)
{
	const struct bd_flow_step *step = &fw_flow_steps(
	    fw_job_current(&view->jobs[group->job]))[group->step];
	uint32_t i;

	for (i = 0; i < placed; i++)
		fw_host_adjust_free(&view->hosts[hosts[i]], step, 1);
	for (i = 0; i < count; i++)
		if (victims[i].tentative)
			set_tentative(view, victims, count, &victims[i], false);
}

static int
compare_hosts(const void *a, const void *b)
{
	const struct fw_victim *x = a;
	const struct fw_victim *y = b;

	return (x->host > y->host) - (x->host < y->host);
}

/* Sorts victims by worker and sets each worker's range of victims. */
static void
sort_victims(struct fw_view *view, struct fw_victim *victims, uint32_t count)
{
	uint32_t i;

	if (count > 1)
		qsort(victims, count, sizeof(*victims), compare_hosts);
	for (i = 0; i < view->host_count; i++)
		view->hosts[i].victim_count = 0;
	for (i = 0; i < count; i++) {
		struct fw_host_view *host = &view->hosts[victims[i].host];

		if (host->victim_count++ == 0)
			host->first_victim = i;
	}
}

/* Returns the rack with the lowest cost for a group, or FW_NO_RACK. */
static uint32_t
best_rack(struct fw_view *view, const struct fw_group *group,
    struct fw_victim *victims, uint32_t count)
{
	uint32_t hosts[FW_TASKS_MAX];
	uint32_t best = FW_NO_RACK;
	uint64_t best_cost = UINT64_MAX;
	uint64_t cost;
	uint32_t i;

	for (i = 0; i < view->rack_count; i++) {
		if (!clear_rack(view, group, i, victims, count, hosts, &cost))
			continue;
		revert(view, group, victims, count, hosts, group->count);
		if (cost < best_cost) {
			best = i;
			best_cost = cost;
		}
	}
	return best;
}

/*
 * Selects runs of lower priority whose preemption lets a group of priority 0
 * fit, at a weighted cost of at most cost_max, and marks them as to be
 * preempted. hosts[] receives the worker of each task. The group's capacity is
 * subtracted from the view at once, while the victims keep theirs until they
 * have ended, so the free capacity of these workers may be negative. Returns
 * false, without a change, if there is no such selection.
 */
bool
fw_reclaim(struct fw_view *view, const struct fw_group *group,
    struct fw_victim *victims, uint32_t count, uint64_t cost_max,
    uint32_t *hosts)
{
	const struct bd_flow_step *step = &fw_flow_steps(
	    fw_job_current(&view->jobs[group->job]))[group->step];
	uint32_t rack = FW_ANY_RACK;
	uint64_t cost;
	uint32_t i;

	sort_victims(view, victims, count);
	if (step->data_rack[0] != '\0')
		rack = fw_view_rack_index(view, step->data_rack);
	else if ((step->flags & BD_STEP_SAME_RACK) != 0)
		rack = best_rack(view, group, victims, count);
	if (!clear_rack(view, group, rack, victims, count, hosts, &cost) &&
	    (rack == FW_ANY_RACK ||
		!clear_rack(
		    view, group, FW_ANY_RACK, victims, count, hosts, &cost)))
		return false;
	if (cost > cost_max) {
		revert(view, group, victims, count, hosts, group->count);
		return false;
	}
	for (i = 0; i < count; i++) {
		if (!victims[i].tentative)
			continue;
		fw_host_adjust_free(&view->hosts[victims[i].host],
		    victim_step(view, &victims[i]), -1);
		victims[i].to_preempt = true;
		victims[i].tentative = false;
	}
	return true;
}

/*
 * Returns whether the account of a job is within its guarantee: its live jobs
 * of priority 0 together need at most the guaranteed number of accelerators.
 */
bool
fw_within_guarantee(const struct fw_view *view, const struct bd_board *board,
    const struct bd_flow *flow)
{
	const struct bd_setup *setup = fw_setup(board);
	const struct bd_client *client =
	    setup != NULL ? fw_client_find(setup, flow->client) : NULL;
	uint64_t need = 0;
	uint32_t i;
	uint32_t s;

	if (client == NULL || flow->priority != 0)
		return false;
	for (i = 0; i < view->job_count; i++) {
		const struct bd_flow *other = fw_job_current(&view->jobs[i]);
		const struct bd_flow_step *steps = fw_flow_steps(other);

		if (other->client != flow->client || other->priority != 0 ||
		    fw_flow_ended(other))
			continue;
		for (s = 0; s < other->step_count; s++)
			need += (uint64_t)steps[s].count * steps[s].accels;
	}
	return need <= client->guaranteed_accels;
}
