#include <assert.h>
#include <string.h>

#include "scheduler_internal.h"

/* Members of one attempt still to be placed, and where to put them. */
struct embed {
	struct sch *sch;
	const struct sch_job *job;
	struct sch_need need;
	double weight; /* of fragmentation, 0 to 1 */
	struct sch_spot *spots;
	uint32_t taken;
	bool unplanned; /* only, and in one rack */
	bool avoid_failed;
};

struct range {
	uint32_t first; /* rack */
	uint32_t limit;
};

static bool has_failed_on(const struct bd_job *job, uint64_t worker);
static void load_room(struct embed *embed, uint32_t w);
static bool load_rooms(struct embed *embed);
static double stranded(const struct sch_worker *worker,
    const struct sch_room *room, const struct sch_need *need, uint32_t members);
static double late_end(
    const struct embed *embed, const struct sch_worker *worker);
static double worker_cost(
    const struct embed *embed, uint32_t w, uint32_t members);
static void take(struct embed *embed, uint32_t w, uint32_t members);
static bool on_worker(struct embed *embed);
static void take_in_rack(struct embed *embed, uint32_t r, uint32_t limit);
static bool on_rack(struct embed *embed);
static bool on_range(struct embed *embed, struct range range);
static bool on_zone_or_region(struct embed *embed, bool zone);
static bool embed_once(struct embed *embed);
static bool embed_job(struct embed *embed, uint32_t job);

static bool
has_failed_on(const struct bd_job *job, uint64_t worker)
{
	uint32_t i;

	for (i = 0; i < BD_JOB_FAILED_WORKERS; i++)
		if (job->failed_workers[i] == worker)
			return true;
	return false;
}

/* What the job may use of a worker. */
static void
load_room(struct embed *embed, uint32_t w)
{
	const struct sch *sch = embed->sch;
	const struct sch_worker *worker = &sch->workers[w];
	const struct bd_job *row = embed->job->row;
	struct sch_room *room = &sch->rooms[w];

	memset(room, 0, sizeof(*room));
	if (!worker->usable ||
	    (embed->avoid_failed && has_failed_on(row, worker->row->id)) ||
	    sch_reserve_blocks(sch, w, embed->job))
		return;
	/* One small job at a time proves a worker that was in quarantine. */
	if (worker->probation &&
	    (row->shape.members > 1 || worker->first_task != SCH_NONE ||
		row->class_number == BD_CLASS_URGENT))
		return;
	*room = worker->free;
	room->mask &= ~worker->blocked;
	if (embed->unplanned || row->hold_until_ms > sch->now_ms)
		room->mask &= ~worker->planned;
	else if (sch->now_ms - row->waiting_since_ms < SCH_STARVE_MS)
		room->mask &= ~sch_heat_mask(sch, w, embed->job->run_ms);
}

/* Counts the members that each worker and rack has room for. Returns false
 * where all together are too few. */
static bool
load_rooms(struct embed *embed)
{
	struct sch *sch = embed->sch;
	uint64_t sum = 0;
	uint32_t w;

	memset(
	    sch->rack_counts, 0, sch->rack_count * sizeof(*sch->rack_counts));
	for (w = 0; w < sch->worker_count; w++) {
		load_room(embed, w);
		sch->counts[w] = sch_room_members(&sch->rooms[w], &embed->need);
		sch->rack_counts[sch->workers[w].rack] += sch->counts[w];
		sum += sch->counts[w];
	}
	return sum >= embed->need.members;
}

/* Returns the part of the worker's accelerators that would stay free but have
 * too few cores beside them to be of use. */
static double
stranded(const struct sch_worker *worker, const struct sch_room *room,
    const struct sch_need *need, uint32_t members)
{
	uint32_t accels = worker->row->accels;
	double free;
	double cores;

	if (accels == 0 || worker->all.cores == 0)
		return 0;
	free = __builtin_popcount(worker->free.mask) -
	    (double)members * need->accels;
	cores = (double)(room->cores - members * need->cores) * accels /
	    (double)worker->all.cores;
	/* Half of an accelerator's part of the cores is taken to suffice. */
	return cores * 2 < free ? (free - cores * 2) / accels : 0;
}

/* Returns how much longer the job keeps the worker from being whole again
 * than the jobs on it do, as a part of its run time, at most 1. */
static double
late_end(const struct embed *embed, const struct sch_worker *worker)
{
	int64_t end = embed->sch->now_ms + embed->job->run_ms;

	if (worker->first_task == SCH_NONE || end <= worker->end_ms)
		return 0;
	return (double)(end - worker->end_ms) / (double)embed->job->run_ms;
}

/*
 * Cost of so many members on a worker, lower is better: the fragmentation that
 * it leaves against the time it is likely to cost, which is that of being
 * reclaimed from other accounts' plans.
 */
static double
worker_cost(const struct embed *embed, uint32_t w, uint32_t members)
{
	const struct sch_worker *worker = &embed->sch->workers[w];
	const struct sch_room *room = &embed->sch->rooms[w];
	uint32_t all = worker->row->accels;
	uint32_t free = (uint32_t)__builtin_popcount(worker->free.mask);
	uint32_t unplanned =
	    (uint32_t)__builtin_popcount(room->mask & ~worker->planned);
	uint32_t used = members * embed->need.accels;
	double fragments = 0;
	double time = 0;

	if (used > 0) {
		fragments = (double)(free - used) / all;
		if (worker->first_task == SCH_NONE && used < all)
			fragments += 1;
		if (used > unplanned)
			time = (double)(used - unplanned) / used *
			    sch_heat_risk(embed->sch, w, embed->job->run_ms);
	} else if (all > 0) {
		fragments = 0.5;
	}
	fragments += stranded(worker, room, &embed->need, members);
	fragments += 0.5 * late_end(embed, worker);
	return embed->weight * fragments + (1 - embed->weight) * time;
}

/* Puts members on a worker, on unplanned accelerators first. */
static void
take(struct embed *embed, uint32_t w, uint32_t members)
{
	struct sch *sch = embed->sch;
	struct sch_room *room = &sch->rooms[w];
	uint32_t unplanned = ~sch->workers[w].planned;

	for (; members > 0; members--) {
		uint32_t mask =
		    sch_mask_lowest(room->mask & unplanned, embed->need.accels);
		uint32_t more =
		    embed->need.accels - (uint32_t)__builtin_popcount(mask);

		mask |= sch_mask_lowest(room->mask & ~unplanned, more);
		room->mask &= ~mask;
		room->cores -= embed->need.cores;
		room->memory -= embed->need.memory;
		embed->spots[embed->taken].worker = w;
		embed->spots[embed->taken].mask = mask;
		embed->taken++;
		sch->counts[w]--;
		sch->rack_counts[sch->workers[w].rack]--;
	}
}

static bool
on_worker(struct embed *embed)
{
	struct sch *sch = embed->sch;
	uint32_t best = SCH_NONE;
	double best_cost = 0;
	uint32_t w;

	for (w = 0; w < sch->worker_count; w++) {
		double cost;

		if (sch->counts[w] < embed->need.members)
			continue;
		cost = worker_cost(embed, w, embed->need.members);
		if (best == SCH_NONE || cost < best_cost) {
			best = w;
			best_cost = cost;
		}
	}
	if (best == SCH_NONE)
		return false;
	take(embed, best, embed->need.members);
	return true;
}

/* Puts up to limit members into a rack: the cheapest worker first, counted
 * for each member. */
static void
take_in_rack(struct embed *embed, uint32_t r, uint32_t limit)
{
	struct sch *sch = embed->sch;
	const struct sch_rack *rack = &sch->racks[r];

	while (limit > 0 && sch->rack_counts[r] > 0) {
		uint32_t best = SCH_NONE;
		uint32_t best_fit = 0;
		double best_cost = 0;
		uint32_t w;

		for (w = rack->first; w < rack->first + rack->count; w++) {
			uint32_t fit = sch->counts[w];
			double cost;

			if (fit == 0)
				continue;
			if (fit > limit)
				fit = limit;
			/* Fewer workers are better for the gang itself. */
			cost = worker_cost(embed, w, fit) +
			    0.5 * (1 - (double)fit / limit);
			if (best == SCH_NONE || cost < best_cost) {
				best = w;
				best_fit = fit;
				best_cost = cost;
			}
		}
		take(embed, best, best_fit);
		limit -= best_fit;
	}
}

/* Chooses the rack with the least left over, and among whole racks none where
 * another one suffices. */
static bool
on_rack(struct embed *embed)
{
	struct sch *sch = embed->sch;
	uint32_t best = SCH_NONE;
	double best_cost = 0;
	uint32_t r;
	uint32_t w;

	for (r = 0; r < sch->rack_count; r++) {
		const struct sch_rack *rack = &sch->racks[r];
		uint32_t members = sch->rack_counts[r];
		double unplanned = 0;
		double cost;
		bool whole = true;

		if (members < embed->need.members)
			continue;
		for (w = rack->first; w < rack->first + rack->count; w++) {
			const struct sch_worker *worker = &sch->workers[w];

			whole = whole && worker->first_task == SCH_NONE;
			unplanned += __builtin_popcount(
			    sch->rooms[w].mask & ~worker->planned);
		}
		cost = embed->weight *
		    ((double)(members - embed->need.members) /
			    embed->need.members / 8 +
			(whole ? 1 : 0));
		if (unplanned <
		    (double)embed->need.members * embed->need.accels)
			cost += (1 - embed->weight) *
			    (1 -
				unplanned / embed->need.members /
				    embed->need.accels);
		if (best == SCH_NONE || cost < best_cost) {
			best = r;
			best_cost = cost;
		}
	}
	if (best == SCH_NONE)
		return false;
	take_in_rack(embed, best, embed->need.members);
	return true;
}

/* Fills racks of a range, which has enough room, the roomiest first, so that
 * the gang stands in few racks; the last one is the tightest that suffices. */
static bool
on_range(struct embed *embed, struct range range)
{
	struct sch *sch = embed->sch;

	while (embed->taken < embed->need.members) {
		uint32_t rest = embed->need.members - embed->taken;
		uint32_t best = SCH_NONE;
		uint32_t r;

		for (r = range.first; r < range.limit; r++) {
			uint32_t count = sch->rack_counts[r];
			uint32_t held =
			    best == SCH_NONE ? 0 : sch->rack_counts[best];

			if (count >= rest ? (held < rest || count < held)
					  : count > held)
				best = r;
		}
		assert(best != SCH_NONE);
		take_in_rack(embed, best, rest);
	}
	return true;
}

static bool
on_zone_or_region(struct embed *embed, bool zone)
{
	struct sch *sch = embed->sch;
	struct range best = {0, 0};
	struct range range = {0, 0};
	uint32_t best_count = UINT32_MAX;

	while (range.first < sch->rack_count) {
		const struct sch_rack *first = &sch->racks[range.first];
		uint32_t count = 0;

		range.limit = range.first;
		while (range.limit < sch->rack_count &&
		    sch->racks[range.limit].region == first->region &&
		    (!zone || sch->racks[range.limit].zone == first->zone))
			count += sch->rack_counts[range.limit++];
		if (count >= embed->need.members && count < best_count) {
			best = range;
			best_count = count;
		}
		range.first = range.limit;
	}
	return best_count != UINT32_MAX && on_range(embed, best);
}

static bool
embed_once(struct embed *embed)
{
	struct range all = {0, embed->sch->rack_count};

	embed->taken = 0;
	if (!load_rooms(embed))
		return false;
	if (on_worker(embed) || on_rack(embed))
		return true;
	if (embed->unplanned)
		return false;
	return on_zone_or_region(embed, true) ||
	    on_zone_or_region(embed, false) ||
	    (embed->job->row->cross_region != 0 && on_range(embed, all));
}

/* Sizes that the account and class have been found to use are preferred over
 * the declared ones where there is room. Workers that the job has failed on
 * are the last choice. */
static bool
embed_job(struct embed *embed, uint32_t job)
{
	struct sch *sch = embed->sch;
	const struct sch_job *entry = &sch->jobs[job];
	const struct sch_learned *learned =
	    &sch->accounts[entry->account]
		 .learned[entry->row->class_number % BD_CLASS_COUNT];
	struct sch_need declared = sch_need_of(&entry->row->shape);

	embed->job = entry;
	embed->weight = sch->config->fragmentation_weight_milli / 1000.0;
	embed->need = declared;
	embed->avoid_failed = true;
	if (learned->cores_milli > 1000)
		embed->need.cores =
		    declared.cores * learned->cores_milli / 1000;
	if (learned->memory_milli > 1000)
		embed->need.memory =
		    declared.memory * learned->memory_milli / 1000;
	if (learned->cores_milli > 1000 || learned->memory_milli > 1000)
		if (embed_once(embed))
			return true;
	embed->need = declared;
	if (embed_once(embed))
		return true;
	embed->avoid_failed = false;
	return entry->row->failures > 0 && embed_once(embed);
}

/*
 * Finds a place for a waiting job as a borrower, as close together as can be:
 * one worker, one rack, one zone, one region, and several regions only where
 * the job allows it. Stores a spot for each member.
 */
bool
sch_embed(struct sch *sch, uint32_t job, struct sch_spot *spots)
{
	struct embed embed = {.sch = sch, .spots = spots};

	return embed_job(&embed, job);
}

/* Like sch_embed, but in one rack and outside all plans: there the job is as
 * close together as in a plan, and nobody reclaims the place. */
bool
sch_embed_unplanned(struct sch *sch, uint32_t job, struct sch_spot *spots)
{
	struct embed embed = {.sch = sch, .spots = spots, .unplanned = true};

	return embed_job(&embed, job);
}
