#include <assert.h>

#include "scheduler_internal.h"

static uint32_t cap_by_resource(uint32_t members, int64_t free, int64_t need);

/* Returns the lowest count set bits of mask, or all of them if there are
 * fewer. */
uint32_t
sch_mask_lowest(uint32_t mask, uint32_t count)
{
	uint32_t lowest = 0;

	while (mask != 0 && count > 0) {
		lowest |= mask & -mask;
		mask &= mask - 1;
		count--;
	}
	return lowest;
}

/* Caps a number of members by what fits into the free amount of one
 * resource. */
static uint32_t
cap_by_resource(uint32_t members, int64_t free, int64_t need)
{
	if (need == 0)
		return members;
	if (free < need)
		return 0;
	return free / need < members ? (uint32_t)(free / need) : members;
}

/* Returns how many members fit at the same time, at most need->members. */
uint32_t
sch_resources_fit_count(
    const struct sch_resources *resources, const struct sch_need *need)
{
	uint32_t members = need->members;

	members = cap_by_resource(members, __builtin_popcount(resources->mask),
	    (int64_t)need->accels);
	members = cap_by_resource(members, resources->cores, need->cores);
	return cap_by_resource(members, resources->memory, need->memory);
}

/* Allocates the resources of one member, which must fit. Returns its
 * accelerators. */
uint32_t
sch_resources_allocate(
    struct sch_resources *resources, const struct sch_need *need)
{
	uint32_t mask = sch_mask_lowest(resources->mask, need->accels);

	assert((uint32_t)__builtin_popcount(mask) == need->accels);
	resources->mask &= ~mask;
	resources->cores -= need->cores;
	resources->memory -= need->memory;
	return mask;
}

/*
 * Allocates all members in one rack: the worker that fits the most members
 * first, among equals the one with the fewest free accelerators, so that few
 * workers are used. available has one entry for each worker of the view and
 * stays unchanged if the members do not fit. Returns false in that case.
 */
bool
sch_rack_allocate(struct sch_resources *available, const struct sch_rack *rack,
    const struct sch_need *need, struct sch_assignment *assignments)
{
	uint32_t end = rack->first + rack->count;
	uint32_t sum = 0;
	uint32_t assigned = 0;
	uint32_t w;

	for (w = rack->first; w < end && sum < need->members; w++)
		sum += sch_resources_fit_count(&available[w], need);
	if (sum < need->members)
		return false;
	while (assigned < need->members) {
		uint32_t remaining = need->members - assigned;
		uint32_t best = SCH_NONE;
		uint32_t best_fit = 0;
		uint32_t best_free = 0;

		for (w = rack->first; w < end; w++) {
			uint32_t fit =
			    sch_resources_fit_count(&available[w], need);
			uint32_t free = __builtin_popcount(available[w].mask);

			if (fit > remaining)
				fit = remaining;
			if (fit > best_fit ||
			    (fit == best_fit && fit > 0 && free < best_free)) {
				best = w;
				best_fit = fit;
				best_free = free;
			}
		}
		for (; best_fit > 0; best_fit--) {
			assignments[assigned].worker = best;
			assignments[assigned].mask =
			    sch_resources_allocate(&available[best], need);
			assigned++;
		}
	}
	return true;
}

/* Returns true if all members fit in one region, or in all regions together if
 * cross_region is set. */
bool
sch_region_fits(struct sch *sch, const struct sch_resources *available,
    const struct sch_need *need, bool cross_region)
{
	uint32_t sum = 0;
	uint32_t r;
	uint32_t w;

	for (r = 0; r < sch->rack_count; r++) {
		const struct sch_rack *rack = &sch->racks[r];

		if (!cross_region && r > 0 &&
		    rack->region != sch->racks[r - 1].region)
			sum = 0;
		for (w = rack->first; w < rack->first + rack->count; w++)
			sum += sch_resources_fit_count(&available[w], need);
		if (sum >= need->members)
			return true;
	}
	return false;
}
