#include <assert.h>

#include "scheduler_internal.h"

static uint32_t limit_by(uint32_t members, int64_t room, int64_t need);

/* Returns the lowest count bits that are set in mask, all where there are
 * fewer. */
uint32_t
sch_mask_lowest(uint32_t mask, uint32_t count)
{
	uint32_t taken = 0;

	while (mask != 0 && count > 0) {
		taken |= mask & -mask;
		mask &= mask - 1;
		count--;
	}
	return taken;
}

static uint32_t
limit_by(uint32_t members, int64_t room, int64_t need)
{
	if (need == 0)
		return members;
	if (room < need)
		return 0;
	return room / need < members ? (uint32_t)(room / need) : members;
}

/* Returns how many members have room together, at most need->members. */
uint32_t
sch_room_members(const struct sch_room *room, const struct sch_need *need)
{
	uint32_t members = need->members;

	members = limit_by(
	    members, __builtin_popcount(room->mask), (int64_t)need->accels);
	members = limit_by(members, room->cores, need->cores);
	return limit_by(members, room->memory, need->memory);
}

/* Takes one member, which must have room. Returns its accelerators. */
uint32_t
sch_room_take(struct sch_room *room, const struct sch_need *need)
{
	uint32_t mask = sch_mask_lowest(room->mask, need->accels);

	assert((uint32_t)__builtin_popcount(mask) == need->accels);
	room->mask &= ~mask;
	room->cores -= need->cores;
	room->memory -= need->memory;
	return mask;
}

/*
 * Takes all members from the workers of one rack: the worker that holds the
 * most members first and the tightest one for the rest, so that few workers
 * are touched. rooms has one entry a worker of the whole view. Returns false
 * where they do not fit; the rooms are then unchanged.
 */
bool
sch_rack_take(struct sch_room *rooms, const struct sch_rack *rack,
    const struct sch_need *need, struct sch_spot *spots)
{
	uint32_t end = rack->first + rack->count;
	uint32_t sum = 0;
	uint32_t taken = 0;
	uint32_t w;

	for (w = rack->first; w < end && sum < need->members; w++)
		sum += sch_room_members(&rooms[w], need);
	if (sum < need->members)
		return false;
	while (taken < need->members) {
		uint32_t rest = need->members - taken;
		uint32_t best = SCH_NONE;
		uint32_t best_fit = 0;
		uint32_t best_free = 0;

		for (w = rack->first; w < end; w++) {
			uint32_t fit = sch_room_members(&rooms[w], need);
			uint32_t free = __builtin_popcount(rooms[w].mask);

			if (fit > rest)
				fit = rest;
			if (fit > best_fit ||
			    (fit == best_fit && fit > 0 && free < best_free)) {
				best = w;
				best_fit = fit;
				best_free = free;
			}
		}
		for (; best_fit > 0; best_fit--) {
			spots[taken].worker = best;
			spots[taken].mask = sch_room_take(&rooms[best], need);
			taken++;
		}
	}
	return true;
}

/* Tells whether all members have room in one region, or in all regions
 * together where cross_region is set. */
bool
sch_rooms_fit(struct sch *sch, const struct sch_room *rooms,
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
			sum += sch_room_members(&rooms[w], need);
		if (sum >= need->members)
			return true;
	}
	return false;
}
