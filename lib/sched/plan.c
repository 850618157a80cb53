#include <assert.h>
#include <string.h>

#include "scheduler_internal.h"

/* Idle plans that one decision may try to move for the sake of others. */
#define PLAN_SWAPS_MAX 64

static bool larger_first(const void *ctx, uint32_t a, uint32_t b);
static void unlink_cell(struct sch *sch, uint32_t number);
static void release_plan(struct sch *sch, uint32_t number);
static void add_cell(struct sch *sch, uint32_t number,
    const struct sch_spot *spot, const struct bd_shape *shape);
static void hold_plan(struct sch *sch, uint32_t number,
    const struct sch_spot *spots, uint32_t count);
static uint32_t spots_of(
    const struct sch *sch, uint32_t number, struct sch_spot *spots);
static int propose_short(struct sch *sch, uint32_t number, int64_t since_ms);
static int plan_by_swap(
    struct sch *sch, uint32_t number, uint32_t *swaps, bool *done);
static int plan_one(struct sch *sch, uint32_t number, uint32_t *swaps);

static bool
larger_first(const void *ctx, uint32_t a, uint32_t b)
{
	const struct sch *sch = ctx;
	const struct bd_promise *x = sch->promises[a].row;
	const struct bd_promise *y = sch->promises[b].row;
	uint32_t size_x = (uint32_t)x->shape.members * x->shape.accels;
	uint32_t size_y = (uint32_t)y->shape.members * y->shape.accels;

	if (size_x != size_y)
		return size_x > size_y;
	if (x->shape.accels != y->shape.accels)
		return x->shape.accels > y->shape.accels;
	return x->id < y->id;
}

static void
unlink_cell(struct sch *sch, uint32_t number)
{
	struct sch_worker *worker = &sch->workers[sch->cells[number].worker];
	uint32_t *link = &worker->first_cell;

	while (*link != number)
		link = &sch->cells[*link].next_of_worker;
	*link = sch->cells[number].next_of_worker;
}

/* Takes a plan out of the view; its cells stay in the array, unlinked. */
static void
release_plan(struct sch *sch, uint32_t number)
{
	struct sch_promise *promise = &sch->promises[number];
	const struct bd_shape *shape = &promise->row->shape;
	uint32_t i;

	for (i = 0; i < promise->cell_count; i++) {
		uint32_t c = promise->first_cell + i;
		struct sch_worker *worker = &sch->workers[sch->cells[c].worker];

		unlink_cell(sch, c);
		worker->planned &= ~sch->cells[c].mask;
		worker->plans.cores -=
		    (int64_t)sch->cells[c].members * shape->cores_milli;
		worker->plans.memory -=
		    (int64_t)sch->cells[c].members * shape->memory_mb;
	}
	if (promise->first_cell + promise->cell_count == sch->cell_count)
		sch->cell_count = promise->first_cell;
	promise->cell_count = 0;
}

static void
add_cell(struct sch *sch, uint32_t number, const struct sch_spot *spot,
    const struct bd_shape *shape)
{
	struct sch_promise *promise = &sch->promises[number];
	struct sch_worker *worker = &sch->workers[spot->worker];
	struct sch_cell *cell = NULL;
	uint32_t i;

	for (i = 0; i < promise->cell_count; i++)
		if (sch->cells[promise->first_cell + i].worker == spot->worker)
			cell = &sch->cells[promise->first_cell + i];
	if (cell == NULL) {
		cell = &sch->cells[sch->cell_count];
		memset(cell, 0, sizeof(*cell));
		cell->promise = number;
		cell->worker = spot->worker;
		cell->next_of_worker = worker->first_cell;
		worker->first_cell = sch->cell_count++;
		promise->cell_count++;
	}
	cell->members++;
	cell->mask |= spot->mask;
	cell->free.mask |= spot->mask;
	cell->free.cores += shape->cores_milli;
	cell->free.memory += shape->memory_mb;
	worker->planned |= spot->mask;
	worker->plans.cores += shape->cores_milli;
	worker->plans.memory += shape->memory_mb;
}

/* Puts a plan for a promise that has none into the view. */
static void
hold_plan(struct sch *sch, uint32_t number, const struct sch_spot *spots,
    uint32_t count)
{
	struct sch_promise *promise = &sch->promises[number];
	uint32_t i;

	assert(promise->cell_count == 0);
	promise->first_cell = sch->cell_count;
	for (i = 0; i < count; i++)
		add_cell(sch, number, &spots[i], &promise->row->shape);
}

/* Stores the present plan, one spot a member, and returns their number.
 * Members on workers that are no longer known are left out. */
static uint32_t
spots_of(const struct sch *sch, uint32_t number, struct sch_spot *spots)
{
	const struct bd_promise *row = sch->promises[number].row;
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < row->slot_count; i++) {
		spots[count].worker =
		    sch_index_get(&sch->worker_index, row->slots[i].worker);
		spots[count].mask = row->slots[i].accel_mask;
		if (spots[count].worker != SCH_NONE)
			count++;
	}
	return count;
}

/*
 * Finds a place for a shape in one rack, outside all plans; with free_only on
 * hardware that no job holds or claims. The rack with the least unplanned
 * hardware that suffices is taken, so that whole racks stay unplanned.
 */
bool
sch_plan_find(struct sch *sch, const struct sch_need *need, bool free_only,
    struct sch_spot *spots)
{
	uint32_t best = SCH_NONE;
	uint32_t best_free = UINT32_MAX;
	uint32_t r;
	uint32_t w;

	for (r = 0; r < sch->rack_count; r++) {
		const struct sch_rack *rack = &sch->racks[r];
		uint32_t members = 0;
		uint32_t free = 0;

		for (w = rack->first; w < rack->first + rack->count; w++) {
			const struct sch_worker *worker = &sch->workers[w];
			struct sch_room *room = &sch->rooms[w];

			memset(room, 0, sizeof(*room));
			if (!worker->usable || worker->probation)
				continue;
			room->mask = worker->all.mask & ~worker->planned;
			room->cores = worker->all.cores - worker->plans.cores;
			room->memory =
			    worker->all.memory - worker->plans.memory;
			if (free_only) {
				room->mask &=
				    worker->free.mask & ~worker->blocked;
				if (room->cores > worker->free.cores)
					room->cores = worker->free.cores;
				if (room->memory > worker->free.memory)
					room->memory = worker->free.memory;
			}
			members += sch_room_members(room, need);
			free += (uint32_t)__builtin_popcount(room->mask);
		}
		if (members >= need->members && free < best_free) {
			best = r;
			best_free = free;
		}
	}
	return best != SCH_NONE &&
	    sch_rack_take(sch->rooms, &sch->racks[best], need, spots);
}

/* Proposes a plan for a promise and changes the view accordingly. */
int
sch_plan_propose(struct sch *sch, uint32_t promise,
    const struct sch_spot *spots, uint32_t count)
{
	struct sch_promise *entry = &sch->promises[promise];
	struct rec rec = {.kind = REC_PLAN};
	struct rec_plan *body = &rec.body.plan;
	uint32_t i;

	if (sch->cell_count + count > SCH_CELLS_MAX)
		return CW_OK;
	release_plan(sch, promise);
	hold_plan(sch, promise, spots, count);
	entry->valid = true;
	entry->moved = true;
	entry->jobs = 0;
	body->promise = entry->row->id;
	body->epoch = entry->row->epoch;
	body->slot_count = count;
	for (i = 0; i < count; i++) {
		body->slots[i].worker = sch->workers[spots[i].worker].row->id;
		body->slots[i].accel_mask = spots[i].mask;
	}
	return sch_propose(sch, &rec);
}

static int
propose_short(struct sch *sch, uint32_t number, int64_t since_ms)
{
	struct rec rec = {.kind = REC_SHORT};

	rec.body.short_since.promise = sch->promises[number].row->id;
	rec.body.short_since.epoch = sch->promises[number].row->epoch;
	rec.body.short_since.since_ms = since_ms;
	return sch_propose(sch, &rec);
}

/* Looks for an idle plan that can move elsewhere and thereby make room. The
 * record of the plan that moves goes first, so apply finds the plans disjoint
 * at each step. */
static int
plan_by_swap(struct sch *sch, uint32_t number, uint32_t *swaps, bool *done)
{
	struct sch_need need = sch_need_of(&sch->promises[number].row->shape);
	struct sch_spot old[BD_GANG_MAX];
	struct sch_spot mine[BD_GANG_MAX];
	struct sch_spot other[BD_GANG_MAX];
	uint32_t i;
	int code;

	for (i = 0; i < sch->promise_count && *swaps < PLAN_SWAPS_MAX; i++) {
		uint32_t q = sch->swap_next++ % sch->promise_count;
		struct sch_promise *entry = &sch->promises[q];
		struct sch_need moved = sch_need_of(&entry->row->shape);
		bool found;

		if (q == number || !entry->valid || entry->jobs > 0 ||
		    entry->moved ||
		    sch->cell_count + 4 * BD_GANG_MAX > SCH_CELLS_MAX)
			continue;
		(*swaps)++;
		spots_of(sch, q, old);
		release_plan(sch, q);
		found = sch_plan_find(sch, &need, false, mine);
		if (found) {
			hold_plan(sch, number, mine, need.members);
			found = sch_plan_find(sch, &moved, false, other);
			release_plan(sch, number);
		}
		hold_plan(sch, q, old, moved.members);
		if (!found)
			continue;
		*done = true;
		code = sch_plan_propose(sch, q, other, moved.members);
		if (code == CW_OK)
			code =
			    sch_plan_propose(sch, number, mine, need.members);
		return code;
	}
	return CW_OK;
}

static int
plan_one(struct sch *sch, uint32_t number, uint32_t *swaps)
{
	const struct bd_promise *row = sch->promises[number].row;
	struct sch_need need = sch_need_of(&row->shape);
	struct sch_spot spots[BD_GANG_MAX];
	struct sch_spot old[BD_GANG_MAX];
	uint32_t old_count = spots_of(sch, number, old);
	bool done = false;
	int code;

	release_plan(sch, number);
	if (sch_plan_find(sch, &need, true, spots) ||
	    sch_plan_find(sch, &need, false, spots))
		return sch_plan_propose(sch, number, spots, need.members);
	code = plan_by_swap(sch, number, swaps, &done);
	if (done || code != CW_OK)
		return code;
	/* The plan that is left still counts, for its hardware may return. */
	hold_plan(sch, number, old, old_count);
	if (row->short_since_ms == 0)
		code = propose_short(sch, number, sch->now_ms);
	return code;
}

/* Plans every promise without a usable plan, largest first; marks those that
 * no hardware is left for, and those that have theirs back. Plans in use stay
 * where they are. */
int
sch_plan_run(struct sch *sch)
{
	uint32_t swaps = 0;
	uint32_t i;
	int code = CW_OK;

	for (i = 0; i < sch->promise_count; i++)
		sch->order[i] = i;
	sch_sort(sch->order, sch->promise_count, larger_first, sch);
	for (i = 0; i < sch->promise_count && code == CW_OK; i++) {
		const struct sch_promise *entry = &sch->promises[sch->order[i]];

		if (!sch_has_budget(sch))
			break;
		if (entry->moved)
			continue;
		if (!entry->valid)
			code = plan_one(sch, sch->order[i], &swaps);
		else if (entry->row->short_since_ms != 0)
			code = propose_short(sch, sch->order[i], 0);
	}
	return code;
}
