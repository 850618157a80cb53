#include <assert.h>
#include <string.h>

#include "scheduler_internal.h"

/* State of one search. */
struct search {
	struct sch *sch;
	const struct sch_job *job;
	struct sch_need need;
	double fragmentation_weight; /* 0 to 1; the rest weighs reclaim risk */
	struct sch_assignment *assignments; /* result, one for each member */
	uint32_t assigned;                  /* members placed so far */
	bool unplanned;    /* only unplanned hardware of one rack */
	bool avoid_failed; /* skip workers that the job failed on */
};

/* Racks first to end - 1. */
struct rack_range {
	uint32_t first;
	uint32_t end;
};

static bool has_failed_on(const struct bd_job *job, uint64_t worker);
static void load_resources(struct search *search, uint32_t w);
static bool load_cluster(struct search *search);
static double stranded_fraction(const struct sch_worker *worker,
    const struct sch_resources *resources, const struct sch_need *need,
    uint32_t members);
static double end_delay(
    const struct search *search, const struct sch_worker *worker);
static double worker_cost(
    const struct search *search, uint32_t w, uint32_t members);
static void assign_members(struct search *search, uint32_t w, uint32_t members);
static bool place_on_worker(struct search *search);
static void assign_in_rack(struct search *search, uint32_t r, uint32_t limit);
static bool place_in_rack(struct search *search);
static bool place_in_range(struct search *search, struct rack_range range);
static bool place_in_zone_or_region(struct search *search, bool zone);
static bool search_once(struct search *search);
static bool search_job(struct search *search, uint32_t job);

static bool
has_failed_on(const struct bd_job *job, uint64_t worker)
{
	uint32_t i;

	for (i = 0; i < BD_JOB_FAILED_WORKERS_MAX; i++)
		if (job->failed_workers[i] == worker)
			return true;
	return false;
}

/* Loads into sch->available the resources that the job may use on a worker. */
static void
load_resources(struct search *search, uint32_t w)
{
	const struct sch *sch = search->sch;
	const struct sch_worker *worker = &sch->workers[w];
	const struct bd_job *row = search->job->row;
	struct sch_resources *resources = &sch->available[w];

	memset(resources, 0, sizeof(*resources));
	if (!worker->usable ||
	    (row->crashes > 0 ? worker->first_task != SCH_NONE
			      : worker->apart) ||
	    (search->avoid_failed && has_failed_on(row, worker->row->id)) ||
	    sch_reserve_blocks(sch, w, search->job))
		return;
	/* After quarantine a worker runs one single-member job at a time, not
	 * an urgent one, until it has proven healthy. */
	if (worker->probation &&
	    (row->shape.members > 1 || worker->first_task != SCH_NONE ||
		row->class_number == BD_CLASS_URGENT))
		return;
	*resources = worker->free;
	resources->mask &= ~worker->claimed_accels;
	if (search->unplanned || row->hold_until_ms > sch->now_ms)
		resources->mask &= ~worker->planned_accels;
	else if (sch->now_ms - row->waiting_since_ms < SCH_STARVATION_MS)
		resources->mask &=
		    ~sch_reclaim_risk_mask(sch, w, search->job->run_ms);
}

/* Loads the resources of all workers and counts the members that fit on each
 * worker and in each rack. Returns false if all workers together fit too few
 * members. */
static bool
load_cluster(struct search *search)
{
	struct sch *sch = search->sch;
	uint64_t sum = 0;
	uint32_t w;

	memset(sch->rack_fit_counts, 0,
	    sch->rack_count * sizeof(*sch->rack_fit_counts));
	for (w = 0; w < sch->worker_count; w++) {
		load_resources(search, w);
		sch->worker_fit_counts[w] =
		    sch_resources_fit_count(&sch->available[w], &search->need);
		sch->rack_fit_counts[sch->workers[w].rack] +=
		    sch->worker_fit_counts[w];
		sum += sch->worker_fit_counts[w];
	}
	return sum >= search->need.members;
}

/* Returns the fraction of the worker's accelerators that would be stranded:
 * free but unusable for lack of free cores. */
static double
stranded_fraction(const struct sch_worker *worker,
    const struct sch_resources *resources, const struct sch_need *need,
    uint32_t members)
{
	uint32_t accels = worker->row->accels;
	double free;
	double cores;

	if (accels == 0 || worker->capacity.cores == 0)
		return 0;
	free = __builtin_popcount(worker->free.mask) -
	    (double)members * need->accels;
	cores = (double)(resources->cores - members * need->cores) * accels /
	    (double)worker->capacity.cores;
	/* Assumes that an accelerator is usable with half of its proportional
	 * share of the cores. */
	return cores * 2 < free ? (free - cores * 2) / accels : 0;
}

/* Returns by how much the job delays the time at which the worker is idle
 * again, as a fraction of the job's run time, at most 1. */
static double
end_delay(const struct search *search, const struct sch_worker *worker)
{
	int64_t end = search->sch->now_ms + search->job->run_ms;

	if (worker->first_task == SCH_NONE || end <= worker->end_ms)
		return 0;
	return (double)(end - worker->end_ms) / (double)search->job->run_ms;
}

/*
 * Returns the cost of placing members on a worker, lower is better: the
 * weighted sum of the fragmentation that this leaves and the risk that the job
 * is preempted because a plan is reclaimed.
 */
static double
worker_cost(const struct search *search, uint32_t w, uint32_t members)
{
	const struct sch_worker *worker = &search->sch->workers[w];
	const struct sch_resources *resources = &search->sch->available[w];
	uint32_t accels = worker->row->accels;
	uint32_t free = (uint32_t)__builtin_popcount(worker->free.mask);
	uint32_t unplanned = (uint32_t)__builtin_popcount(
	    resources->mask & ~worker->planned_accels);
	uint32_t used = members * search->need.accels;
	double fragmentation = 0;
	double risk = 0;

	if (used > 0) {
		fragmentation = (double)(free - used) / accels;
		if (worker->first_task == SCH_NONE && used < accels)
			fragmentation += 1;
		if (used > unplanned)
			risk = (double)(used - unplanned) / used *
			    sch_reclaim_risk(
				search->sch, w, search->job->run_ms);
	} else if (accels > 0) {
		fragmentation = 0.5;
	}
	fragmentation +=
	    stranded_fraction(worker, resources, &search->need, members);
	fragmentation += 0.5 * end_delay(search, worker);
	return search->fragmentation_weight * fragmentation +
	    (1 - search->fragmentation_weight) * risk;
}

/* Assigns members to a worker, using unplanned accelerators first. */
static void
assign_members(struct search *search, uint32_t w, uint32_t members)
{
	struct sch *sch = search->sch;
	struct sch_resources *resources = &sch->available[w];
	uint32_t unplanned = ~sch->workers[w].planned_accels;

	for (; members > 0; members--) {
		uint32_t mask = sch_mask_lowest(
		    resources->mask & unplanned, search->need.accels);
		uint32_t more =
		    search->need.accels - (uint32_t)__builtin_popcount(mask);

		mask |= sch_mask_lowest(resources->mask & ~unplanned, more);
		resources->mask &= ~mask;
		resources->cores -= search->need.cores;
		resources->memory -= search->need.memory;
		search->assignments[search->assigned].worker = w;
		search->assignments[search->assigned].mask = mask;
		search->assigned++;
		sch->worker_fit_counts[w]--;
		sch->rack_fit_counts[sch->workers[w].rack]--;
	}
}

/* Places the whole gang on the worker with the lowest cost. */
static bool
place_on_worker(struct search *search)
{
	struct sch *sch = search->sch;
	uint32_t best = SCH_NONE;
	double best_cost = 0;
	uint32_t w;

	for (w = 0; w < sch->worker_count; w++) {
		double cost;

		if (sch->worker_fit_counts[w] < search->need.members)
			continue;
		cost = worker_cost(search, w, search->need.members);
		if (best == SCH_NONE || cost < best_cost) {
			best = w;
			best_cost = cost;
		}
	}
	if (best == SCH_NONE)
		return false;
	assign_members(search, best, search->need.members);
	return true;
}

/* Assigns up to limit members to a rack, on the worker with the lowest cost
 * first. */
static void
assign_in_rack(struct search *search, uint32_t r, uint32_t limit)
{
	struct sch *sch = search->sch;
	const struct sch_rack *rack = &sch->racks[r];

	while (limit > 0 && sch->rack_fit_counts[r] > 0) {
		uint32_t best = SCH_NONE;
		uint32_t best_fit = 0;
		double best_cost = 0;
		uint32_t w;

		for (w = rack->first; w < rack->first + rack->count; w++) {
			uint32_t fit = sch->worker_fit_counts[w];
			double cost;

			if (fit == 0)
				continue;
			if (fit > limit)
				fit = limit;
			/* A gang runs better on few workers. */
			cost = worker_cost(search, w, fit) +
			    0.5 * (1 - (double)fit / limit);
			if (best == SCH_NONE || cost < best_cost) {
				best = w;
				best_fit = fit;
				best_cost = cost;
			}
		}
		assign_members(search, best, best_fit);
		limit -= best_fit;
	}
}

/* Best fit: places the gang in the rack with the least capacity left over,
 * avoiding idle racks and hardware in plans. */
static bool
place_in_rack(struct search *search)
{
	struct sch *sch = search->sch;
	uint32_t best = SCH_NONE;
	double best_cost = 0;
	uint32_t r;
	uint32_t w;

	for (r = 0; r < sch->rack_count; r++) {
		const struct sch_rack *rack = &sch->racks[r];
		uint32_t members = sch->rack_fit_counts[r];
		double unplanned = 0;
		double cost;
		bool idle = true;

		if (members < search->need.members)
			continue;
		for (w = rack->first; w < rack->first + rack->count; w++) {
			const struct sch_worker *worker = &sch->workers[w];

			idle = idle && worker->first_task == SCH_NONE;
			unplanned += __builtin_popcount(
			    sch->available[w].mask & ~worker->planned_accels);
		}
		cost = search->fragmentation_weight *
		    ((double)(members - search->need.members) /
			    search->need.members / 8 +
			(idle ? 1 : 0));
		if (unplanned <
		    (double)search->need.members * search->need.accels)
			cost += (1 - search->fragmentation_weight) *
			    (1 -
				unplanned / search->need.members /
				    search->need.accels);
		if (best == SCH_NONE || cost < best_cost) {
			best = r;
			best_cost = cost;
		}
	}
	if (best == SCH_NONE)
		return false;
	assign_in_rack(search, best, search->need.members);
	return true;
}

/* Places the gang in a range of racks, in which it must fit. Fills the rack
 * with the most capacity first, so that the gang uses few racks; the last rack
 * is the tightest that fits the remaining members. Always returns true. */
static bool
place_in_range(struct search *search, struct rack_range range)
{
	struct sch *sch = search->sch;

	while (search->assigned < search->need.members) {
		uint32_t remaining = search->need.members - search->assigned;
		uint32_t best = SCH_NONE;
		uint32_t r;

		for (r = range.first; r < range.end; r++) {
			uint32_t count = sch->rack_fit_counts[r];
			uint32_t best_count =
			    best == SCH_NONE ? 0 : sch->rack_fit_counts[best];

			if (count >= remaining
				? (best_count < remaining || count < best_count)
				: count > best_count)
				best = r;
		}
		assert(best != SCH_NONE);
		assign_in_rack(search, best, remaining);
	}
	return true;
}

/* Places the gang in the zone or region with the least sufficient capacity. */
static bool
place_in_zone_or_region(struct search *search, bool zone)
{
	struct sch *sch = search->sch;
	struct rack_range best = {0, 0};
	struct rack_range range = {0, 0};
	uint32_t best_count = UINT32_MAX;

	while (range.first < sch->rack_count) {
		const struct sch_rack *first = &sch->racks[range.first];
		uint32_t count = 0;

		range.end = range.first;
		while (range.end < sch->rack_count &&
		    sch->racks[range.end].region == first->region &&
		    (!zone || sch->racks[range.end].zone == first->zone))
			count += sch->rack_fit_counts[range.end++];
		if (count >= search->need.members && count < best_count) {
			best = range;
			best_count = count;
		}
		range.first = range.end;
	}
	return best_count != UINT32_MAX && place_in_range(search, best);
}

/* Searches once, with the present need and flags. */
static bool
search_once(struct search *search)
{
	struct rack_range all = {0, search->sch->rack_count};

	search->assigned = 0;
	if (!load_cluster(search))
		return false;
	if (place_on_worker(search) || place_in_rack(search))
		return true;
	if (search->unplanned)
		return false;
	return place_in_zone_or_region(search, true) ||
	    place_in_zone_or_region(search, false) ||
	    (search->job->row->cross_region != 0 &&
		place_in_range(search, all));
}

/* Searches with the resources that jobs of this account and class were measured
 * to use, if these are larger than declared, then with the declared resources.
 * Workers that the job has failed on are tried last; a suspect waits for others
 * as long as it does not starve. */
static bool
search_job(struct search *search, uint32_t job)
{
	struct sch *sch = search->sch;
	const struct sch_job *entry = &sch->jobs[job];
	const struct sch_usage_factors *factors =
	    &sch->accounts[entry->account]
		 .usage_factors[entry->row->class_number % BD_CLASS_COUNT];
	struct sch_need declared = sch_need_of(&entry->row->shape);

	search->job = entry;
	search->fragmentation_weight =
	    sch->config->fragmentation_weight_milli / 1000.0;
	search->need = declared;
	search->avoid_failed = true;
	if (factors->cores_milli > 1000)
		search->need.cores =
		    declared.cores * factors->cores_milli / 1000;
	if (factors->memory_milli > 1000)
		search->need.memory =
		    declared.memory * factors->memory_milli / 1000;
	if (factors->cores_milli > 1000 || factors->memory_milli > 1000)
		if (search_once(search))
			return true;
	search->need = declared;
	if (search_once(search))
		return true;
	if (entry->row->failed_workers[0] == 0 ||
	    (entry->row->crashes > 0 &&
		sch->now_ms - entry->row->waiting_since_ms < SCH_STARVATION_MS))
		return false;
	search->avoid_failed = false;
	return search_once(search);
}

/*
 * Finds a placement for a waiting job as a borrower in the smallest topology
 * domain that it fits in: one worker, rack, zone or region, or several regions
 * if the job allows that. Stores the worker and accelerators of each member.
 * Returns false if the job does not fit.
 */
bool
sch_placement_search(
    struct sch *sch, uint32_t job, struct sch_assignment *assignments)
{
	struct search search = {.sch = sch, .assignments = assignments};

	return search_job(&search, job);
}

/* Like sch_placement_search, but only on unplanned hardware of one rack: there
 * the job is as close together as in a plan, and is never reclaimed. */
bool
sch_placement_search_unplanned(
    struct sch *sch, uint32_t job, struct sch_assignment *assignments)
{
	struct search search = {
	    .sch = sch, .assignments = assignments, .unplanned = true};

	return search_job(&search, job);
}
