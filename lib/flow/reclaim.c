#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"

/* End of the list of selected victims. */
#define NO_VICTIM UINT32_MAX
/* For a group of another priority than 0, a run of a late job costs this part:
 * such a group may stop little work that is in time, but late work, which earns
 * a quarter at most, up to what its own is worth. */
#define LATE_DIVISOR 40
/* Costs of a worker that was not searched yet, or on which no task fits. */
#define COST_UNKNOWN (UINT64_MAX - 1)
#define COST_NEVER UINT64_MAX

/* An entry in the victims' order by gang. */
struct victim_ref {
	struct fw_victim *victim;
};

/* The search for runs to preempt for one group. */
struct search {
	struct fw_view *view;
	const struct fw_group *group;
	const struct bd_flow *flow;
	const struct bd_flow_step *step;
	struct fw_victim *victims; /* sorted by worker */
	uint32_t count;
	uint32_t selected; /* first of the tentative victims, or NO_VICTIM */
	bool guaranteed;   /* no cost is too high */
	/* Cost of one task on each worker, or COST_UNKNOWN. A selection changes
	 * that of few workers; all others are not searched again. */
	uint64_t *costs;
};

static const struct bd_flow_step *victim_step(
    const struct fw_view *view, const struct fw_victim *victim);
static void select_gang(struct search *search, uint32_t one);
static void release_all(struct search *search);
static uint64_t weighted_cost(
    const struct search *search, const struct fw_victim *victim);
static uint64_t cost_on(struct search *search, uint32_t host);
static bool search_all(
    struct search *search, uint64_t cost_max, uint32_t *hosts);
static bool may_preempt(
    const struct search *search, const struct fw_victim *victim);
static bool clear_host(
    struct search *search, uint32_t host, bool mark, uint64_t *cost);
static bool clear_rack(
    struct search *search, uint32_t rack, uint32_t *hosts, uint64_t *cost);
static void revert(
    struct search *search, const uint32_t *hosts, uint32_t placed);
static int compare_hosts(const void *a, const void *b);
static int compare_gangs(const void *a, const void *b);
static bool index_victims(
    struct fw_view *view, struct fw_victim *victims, uint32_t count);
static uint32_t best_rack(struct search *search);

/* Returns the step of a victim's task. */
static const struct bd_flow_step *
victim_step(const struct fw_view *view, const struct fw_victim *victim)
{
	const struct bd_flow *flow = fw_job_current(&view->jobs[victim->job]);
	struct fw_task_ref ref;

	fw_task_ref_of(flow, victim->first, &ref);
	return &fw_flow_steps(flow)[ref.step];
}

/* Selects a run with its whole gang. The capacity of selected runs counts as
 * free in the view. */
static void
select_gang(struct search *search, uint32_t one)
{
	uint32_t i = one;

	do {
		struct fw_victim *victim = &search->victims[i];

		if (!victim->to_preempt && !victim->tentative) {
			victim->tentative = true;
			victim->selected_next = search->selected;
			search->selected = i;
			search->costs[victim->host] = COST_UNKNOWN;
			fw_host_adjust_free(&search->view->hosts[victim->host],
			    victim->step, 1);
		}
		i = victim->gang_next;
	} while (i != one);
}

/* Reverts the selection. */
static void
release_all(struct search *search)
{
	while (search->selected != NO_VICTIM) {
		struct fw_victim *victim = &search->victims[search->selected];

		search->selected = victim->selected_next;
		victim->tentative = false;
		search->costs[victim->host] = COST_UNKNOWN;
		fw_host_adjust_free(
		    &search->view->hosts[victim->host], victim->step, -1);
	}
}

/* Returns the cost of one task on a worker, COST_NEVER if it cannot fit. */
static uint64_t
cost_on(struct search *search, uint32_t host)
{
	uint64_t cost;

	if (search->costs[host] == COST_UNKNOWN)
		search->costs[host] =
		    clear_host(search, host, false, &cost) ? cost : COST_NEVER;
	return search->costs[host];
}

/* Returns the weighted cost of a preemption, 0 for a run that is being stopped
 * anyway. By what callers pay, a core-second of priority 1 is worth about twice
 * as much as one of a lower priority. */
static uint64_t
weighted_cost(const struct search *search, const struct fw_victim *victim)
{
	uint64_t cost = victim->cost;

	if (victim->stopping)
		return 0;
	if (search->group->priority != 0 && !victim->timely)
		cost /= LATE_DIVISOR;
	return cost * (victim->priority == 1 ? 2 : 1) + 1;
}

/* Returns whether a run may be selected: it is being stopped, or it has a lower
 * priority than the group and was not stopped too often before. */
static bool
may_preempt(const struct search *search, const struct fw_victim *victim)
{
	return !victim->tentative && !victim->to_preempt &&
	    (victim->stopping ||
		(victim->priority > search->group->priority &&
		    (!victim->spared || search->guaranteed)));
}

/* Finds the cheapest runs on one worker whose preemption lets one task of the
 * group fit there, and selects them if mark is set. *cost is their total
 * weighted cost. Returns false if the task cannot fit. */
static bool
clear_host(struct search *search, uint32_t host, bool mark, uint64_t *cost)
{
	struct fw_host_view trial = search->view->hosts[host];
	uint32_t end = trial.first_victim + trial.victim_count;
	uint64_t least = 0;
	uint32_t i;

	*cost = 0;
	/* By ascending cost; runs of equal cost are handled together. */
	while (!fw_host_fits(&trial, search->flow, search->step)) {
		uint64_t next = UINT64_MAX;

		for (i = trial.first_victim; i < end; i++) {
			const struct fw_victim *victim = &search->victims[i];
			uint64_t own = weighted_cost(search, victim) + 1;

			if (may_preempt(search, victim) && own > least &&
			    own < next)
				next = own;
		}
		if (next == UINT64_MAX)
			return false;
		least = next;
		for (i = trial.first_victim; i < end; i++) {
			const struct fw_victim *victim = &search->victims[i];

			if (!may_preempt(search, victim) ||
			    weighted_cost(search, victim) + 1 != next ||
			    fw_host_fits(&trial, search->flow, search->step))
				continue;
			*cost += next - 1;
			fw_host_adjust_free(&trial, victim->step, 1);
			if (mark)
				select_gang(search, i);
		}
	}
	return true;
}

/* Selects runs so that a whole group fits within a rack: for each task on the
 * worker with the lowest cost, and among equal ones on the one with the fewest
 * free accelerators. Changes nothing and returns false if a task does not fit.
 */
static bool
clear_rack(
    struct search *search, uint32_t rack, uint32_t *hosts, uint64_t *cost)
{
	struct fw_view *view = search->view;
	const struct bd_flow_step *step = search->step;
	uint64_t own;
	uint32_t n;
	uint32_t i;

	*cost = 0;
	fw_group_count_tasks(view, search->group);
	for (n = 0; n < search->group->count; n++) {
		uint64_t best_cost = COST_NEVER;
		uint32_t best = FW_NONE;
		uint32_t end = fw_view_rack_hosts(view, rack, &i);

		view->hosts_scanned += end - i;
		for (; i < end; i++) {
			const struct fw_host_view *host = &view->hosts[i];

			if (host->failing ||
			    (search->group->priority != 0 &&
				!fw_group_may_use(view, host, search->group)) ||
			    (step->host_max > 0 &&
				host->same_step_tasks >= step->host_max))
				continue;
			own = cost_on(search, i);
			if (own == COST_NEVER || own > best_cost ||
			    (own == best_cost &&
				host->accels >= view->hosts[best].accels))
				continue;
			best = i;
			best_cost = own;
		}
		if (best == FW_NONE) {
			revert(search, hosts, n);
			return false;
		}
		clear_host(search, best, true, &own);
		*cost += own;
		fw_host_adjust_free(&view->hosts[best], step, -1);
		view->hosts[best].same_step_tasks++;
		search->costs[best] = COST_UNKNOWN;
		hosts[n] = best;
	}
	return true;
}

/* Reverts clear_rack, which has found workers for `placed` tasks. */
static void
revert(struct search *search, const uint32_t *hosts, uint32_t placed)
{
	uint32_t i;

	for (i = 0; i < placed; i++) {
		fw_host_adjust_free(
		    &search->view->hosts[hosts[i]], search->step, 1);
		search->costs[hosts[i]] = COST_UNKNOWN;
	}
	release_all(search);
}

static int
compare_hosts(const void *a, const void *b)
{
	const struct fw_victim *x = a;
	const struct fw_victim *y = b;

	return (x->host > y->host) - (x->host < y->host);
}

/* Orders victims by job and gang. */
static int
compare_gangs(const void *a, const void *b)
{
	const struct fw_victim *x = ((const struct victim_ref *)a)->victim;
	const struct fw_victim *y = ((const struct victim_ref *)b)->victim;

	if (x->job != y->job)
		return x->job < y->job ? -1 : 1;
	return (x->first > y->first) - (x->first < y->first);
}

/* Sorts victims by worker, sets each worker's range of victims, and links the
 * members of each gang to a ring. Done once for the victims of a decision: each
 * selection would otherwise visit all of them. Returns false if out of memory.
 */
static bool
index_victims(struct fw_view *view, struct fw_victim *victims, uint32_t count)
{
	struct victim_ref *order;
	uint32_t i;

	if (view->indexed_victims == victims)
		return true;
	order = calloc(count + 1, sizeof(*order));
	if (order == NULL)
		return false;
	if (count > 1)
		qsort(victims, count, sizeof(*victims), compare_hosts);
	for (i = 0; i < view->host_count; i++)
		view->hosts[i].victim_count = 0;
	for (i = 0; i < count; i++) {
		struct fw_host_view *host = &view->hosts[victims[i].host];

		if (host->victim_count++ == 0)
			host->first_victim = i;
		victims[i].step = victim_step(view, &victims[i]);
		order[i].victim = &victims[i];
	}
	if (count > 1)
		qsort(order, count, sizeof(*order), compare_gangs);
	for (i = 0; i < count;) {
		uint32_t first = i;

		for (;
		     i < count && compare_gangs(&order[first], &order[i]) == 0;
		     i++)
			if (i > first)
				order[i - 1].victim->gang_next =
				    (uint32_t)(order[i].victim - victims);
		order[i - 1].victim->gang_next =
		    (uint32_t)(order[first].victim - victims);
	}
	free(order);
	view->indexed_victims = victims;
	return true;
}

/* Returns the rack with the lowest cost for a group, or FW_NO_RACK. */
static uint32_t
best_rack(struct search *search)
{
	uint32_t hosts[FW_TASKS_MAX];
	uint32_t best = FW_NO_RACK;
	uint64_t best_cost = UINT64_MAX;
	uint64_t cost;
	uint32_t i;

	for (i = 0; i < search->view->rack_count; i++) {
		if (!clear_rack(search, i, hosts, &cost))
			continue;
		revert(search, hosts, search->group->count);
		if (cost < best_cost) {
			best = i;
			best_cost = cost;
		}
	}
	return best;
}

/* Searches the preferred rack, then all workers. Returns whether the group fits
 * at a cost of at most cost_max, with the victims selected. */
static bool
search_all(struct search *search, uint64_t cost_max, uint32_t *hosts)
{
	uint32_t rack = FW_ANY_RACK;
	uint64_t cost;

	if (search->step->data_rack[0] != '\0')
		rack =
		    fw_view_rack_index(search->view, search->step->data_rack);
	else if ((search->step->flags & BD_STEP_SAME_RACK) != 0)
		rack = best_rack(search);
	if (!clear_rack(search, rack, hosts, &cost) &&
	    (rack == FW_ANY_RACK ||
		!clear_rack(search, FW_ANY_RACK, hosts, &cost)))
		return false;
	if (cost <= cost_max)
		return true;
	revert(search, hosts, search->group->count);
	return false;
}

/*
 * Selects runs of lower priority than a group whose preemption lets the group
 * fit, at a weighted cost of at most cost_max, and marks them as to be
 * preempted. hosts[] receives the worker of each task. The group's capacity is
 * subtracted from the view at once, while the victims keep theirs until they
 * have ended, so the free capacity of these workers may be negative. Returns
 * false, without a change, if there is no such selection or memory is
 * exhausted. The victims must stay the same array for all calls with one view.
 */
bool
fw_reclaim(struct fw_view *view, const struct fw_group *group,
    struct fw_victim *victims, uint32_t count, uint64_t cost_max,
    uint32_t *hosts)
{
	struct search search = {.view = view,
	    .group = group,
	    .flow = fw_job_current(&view->jobs[group->job]),
	    .victims = victims,
	    .count = count,
	    .selected = NO_VICTIM,
	    .guaranteed = cost_max == UINT64_MAX};
	bool found;
	uint32_t i;

	search.step = &fw_flow_steps(search.flow)[group->step];
	search.costs = malloc((view->host_count + 1) * sizeof(*search.costs));
	if (search.costs == NULL || !index_victims(view, victims, count)) {
		free(search.costs);
		return false;
	}
	for (i = 0; i < view->host_count; i++)
		search.costs[i] = COST_UNKNOWN;
	found = search_all(&search, cost_max, hosts);
	while (found && search.selected != NO_VICTIM) {
		struct fw_victim *victim = &victims[search.selected];

		search.selected = victim->selected_next;
		fw_host_adjust_free(
		    &view->hosts[victim->host], victim->step, -1);
		victim->to_preempt = true;
		victim->tentative = false;
	}
	free(search.costs);
	return found;
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
