#include <assert.h>
#include <string.h>

#include "scheduler_internal.h"

/* Racks that one decision may try to vacate. */
#define PLAN_RACK_TRIES_MAX 64
/* Plans that may be moved to make room for one promise. */
#define PLAN_MOVES_MAX 8

static bool larger_first(const void *ctx, uint32_t a, uint32_t b);
static void unlink_segment(struct sch *sch, uint32_t segment);
static void remove_plan(struct sch *sch, uint32_t promise_index);
static void add_segment(struct sch *sch, uint32_t promise_index,
    const struct sch_assignment *assignment, const struct bd_shape *shape);
static void add_plan(struct sch *sch, uint32_t promise_index,
    const struct sch_assignment *assignments, uint32_t count);
static uint32_t plan_assignments(const struct sch *sch, uint32_t promise_index,
    struct sch_assignment *assignments);
static int propose_short(
    struct sch *sch, uint32_t promise_index, int64_t since_ms);
static uint32_t smallest_idle_plan(const struct sch *sch, uint32_t r);
static uint32_t load_unplanned(struct sch *sch, uint32_t r,
    const struct sch_need *need, bool free_only, uint32_t *accels);
static bool vacate_rack(
    struct sch *sch, uint32_t promise_index, uint32_t r, int *code);
static int plan_by_moves(
    struct sch *sch, uint32_t promise_index, uint32_t *tries, bool *done);
static int plan_promise(
    struct sch *sch, uint32_t promise_index, uint32_t *tries);

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
unlink_segment(struct sch *sch, uint32_t segment)
{
	struct sch_worker *worker =
	    &sch->workers[sch->segments[segment].worker];
	uint32_t *link = &worker->first_segment;

	while (*link != segment)
		link = &sch->segments[*link].next_on_worker;
	*link = sch->segments[segment].next_on_worker;
}

/* Removes a plan from the view. Its segments are unlinked from the workers but
 * stay in the array, unless they are the last ones. */
static void
remove_plan(struct sch *sch, uint32_t promise_index)
{
	struct sch_promise *promise = &sch->promises[promise_index];
	const struct bd_shape *shape = &promise->row->shape;
	uint32_t i;

	for (i = 0; i < promise->segment_count; i++) {
		uint32_t s = promise->first_segment + i;
		struct sch_worker *worker =
		    &sch->workers[sch->segments[s].worker];

		unlink_segment(sch, s);
		worker->planned_accels &= ~sch->segments[s].mask;
		worker->planned.cores -=
		    (int64_t)sch->segments[s].members * shape->cores_milli;
		worker->planned.memory -=
		    (int64_t)sch->segments[s].members * shape->memory_mb;
	}
	if (promise->first_segment + promise->segment_count ==
	    sch->segment_count)
		sch->segment_count = promise->first_segment;
	promise->segment_count = 0;
}

/* Adds the assignment of one member to the plan of a promise. */
static void
add_segment(struct sch *sch, uint32_t promise_index,
    const struct sch_assignment *assignment, const struct bd_shape *shape)
{
	struct sch_promise *promise = &sch->promises[promise_index];
	struct sch_worker *worker = &sch->workers[assignment->worker];
	struct sch_segment *segment = NULL;
	uint32_t i;

	for (i = 0; i < promise->segment_count; i++)
		if (sch->segments[promise->first_segment + i].worker ==
		    assignment->worker)
			segment = &sch->segments[promise->first_segment + i];
	if (segment == NULL) {
		segment = &sch->segments[sch->segment_count];
		memset(segment, 0, sizeof(*segment));
		segment->promise = promise_index;
		segment->worker = assignment->worker;
		segment->next_on_worker = worker->first_segment;
		worker->first_segment = sch->segment_count++;
		promise->segment_count++;
	}
	segment->members++;
	segment->mask |= assignment->mask;
	segment->claimable.mask |= assignment->mask;
	segment->claimable.cores += shape->cores_milli;
	segment->claimable.memory += shape->memory_mb;
	worker->planned_accels |= assignment->mask;
	worker->planned.cores += shape->cores_milli;
	worker->planned.memory += shape->memory_mb;
}

/* Adds a plan to the view for a promise that has none. */
static void
add_plan(struct sch *sch, uint32_t promise_index,
    const struct sch_assignment *assignments, uint32_t count)
{
	struct sch_promise *promise = &sch->promises[promise_index];
	uint32_t i;

	assert(promise->segment_count == 0);
	promise->first_segment = sch->segment_count;
	for (i = 0; i < count; i++)
		add_segment(
		    sch, promise_index, &assignments[i], &promise->row->shape);
}

/* Stores the present plan as one assignment per member and returns their count.
 * Members on workers that are no longer known are left out. */
static uint32_t
plan_assignments(const struct sch *sch, uint32_t promise_index,
    struct sch_assignment *assignments)
{
	const struct bd_promise *row = sch->promises[promise_index].row;
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < row->slot_count; i++) {
		assignments[count].worker =
		    sch_index_get(&sch->worker_index, row->slots[i].worker);
		assignments[count].mask = row->slots[i].accel_mask;
		if (assignments[count].worker != SCH_NONE)
			count++;
	}
	return count;
}

/*
 * Finds unplanned hardware for a shape in one rack other than avoid; with
 * free_only, only hardware that is neither held by a job nor claimed for one.
 * Best fit: takes the rack with the least unplanned hardware that suffices, so
 * that whole racks stay unplanned. avoid may be SCH_NONE. Returns false if no
 * rack suffices.
 */
bool
sch_plan_find(struct sch *sch, const struct sch_need *need, bool free_only,
    uint32_t avoid, struct sch_assignment *assignments)
{
	uint32_t best = SCH_NONE;
	uint32_t best_accels = UINT32_MAX;
	uint32_t accels;
	uint32_t r;

	for (r = 0; r < sch->rack_count; r++) {
		if (r == avoid ||
		    load_unplanned(sch, r, need, free_only, &accels) <
			need->members ||
		    accels >= best_accels)
			continue;
		best = r;
		best_accels = accels;
	}
	return best != SCH_NONE &&
	    sch_rack_allocate(
		sch->available, &sch->racks[best], need, assignments);
}

/* Proposes a plan for a promise and updates the view. A count of 0 withdraws
 * the plan. Does nothing if the view is full. Returns the sink's status. */
int
sch_plan_propose(struct sch *sch, uint32_t promise,
    const struct sch_assignment *assignments, uint32_t count)
{
	struct sch_promise *entry = &sch->promises[promise];
	struct rec rec = {.kind = REC_PLAN};
	struct rec_plan *body = &rec.body.plan;
	uint32_t i;

	if (sch->segment_count + count > sch->limits.segments)
		return CW_OK;
	remove_plan(sch, promise);
	add_plan(sch, promise, assignments, count);
	entry->valid = true;
	entry->replanned = true;
	entry->guaranteed_jobs = 0;
	body->promise = entry->row->id;
	body->epoch = entry->row->epoch;
	body->slot_count = count;
	for (i = 0; i < count; i++) {
		body->slots[i].worker =
		    sch->workers[assignments[i].worker].row->id;
		body->slots[i].accel_mask = assignments[i].mask;
	}
	return sch_propose(sch, &rec);
}

/* Proposes to record that a promise has been short of hardware since since_ms,
 * or that it is no longer short if since_ms is 0. */
static int
propose_short(struct sch *sch, uint32_t promise_index, int64_t since_ms)
{
	struct rec rec = {.kind = REC_SHORT};

	rec.body.short_since.promise = sch->promises[promise_index].row->id;
	rec.body.short_since.epoch = sch->promises[promise_index].row->epoch;
	rec.body.short_since.since_ms = since_ms;
	return sch_propose(sch, &rec);
}

/* Returns the smallest idle plan in a rack, or SCH_NONE. A plan is idle while
 * it has no guaranteed jobs. Plans that this decision has changed are left
 * out. */
static uint32_t
smallest_idle_plan(const struct sch *sch, uint32_t r)
{
	uint32_t best = SCH_NONE;
	uint32_t best_size = UINT32_MAX;
	uint32_t p;

	for (p = 0; p < sch->promise_count; p++) {
		const struct sch_promise *entry = &sch->promises[p];
		const struct bd_shape *shape = &entry->row->shape;
		uint32_t size = (uint32_t)shape->members * shape->accels;

		if (!entry->valid || entry->guaranteed_jobs > 0 ||
		    entry->replanned || entry->segment_count == 0 ||
		    size >= best_size ||
		    sch->workers[sch->segments[entry->first_segment].worker]
			    .rack != r)
			continue;
		best = p;
		best_size = size;
	}
	return best;
}

/* Loads into sch->available the unplanned resources of a rack, with free_only
 * only the free ones. Returns how many members fit and stores the number of
 * accelerators loaded. */
static uint32_t
load_unplanned(struct sch *sch, uint32_t r, const struct sch_need *need,
    bool free_only, uint32_t *accels)
{
	const struct sch_rack *rack = &sch->racks[r];
	uint32_t members = 0;
	uint32_t w;

	*accels = 0;
	for (w = rack->first; w < rack->first + rack->count; w++) {
		const struct sch_worker *worker = &sch->workers[w];
		struct sch_resources *resources = &sch->available[w];

		memset(resources, 0, sizeof(*resources));
		if (!worker->usable || worker->probation)
			continue;
		resources->mask =
		    worker->capacity.mask & ~worker->planned_accels;
		resources->cores =
		    worker->capacity.cores - worker->planned.cores;
		resources->memory =
		    worker->capacity.memory - worker->planned.memory;
		if (free_only) {
			resources->mask &=
			    worker->free.mask & ~worker->claimed_accels;
			if (resources->cores > worker->free.cores)
				resources->cores = worker->free.cores;
			if (resources->memory > worker->free.memory)
				resources->memory = worker->free.memory;
		}
		members += sch_resources_fit_count(resources, need);
		*accels += (uint32_t)__builtin_popcount(resources->mask);
	}
	return members;
}

/* Plans a promise in one rack by moving idle plans out of it. These move to
 * other racks, and their records are proposed first, because plans have to be
 * disjoint after each applied record. Returns false, with the view unchanged,
 * if that is not possible; otherwise stores the sink's status in *code. */
static bool
vacate_rack(struct sch *sch, uint32_t promise_index, uint32_t r, int *code)
{
	struct sch_need need =
	    sch_need_of(&sch->promises[promise_index].row->shape);
	struct sch_assignment old[PLAN_MOVES_MAX][BD_GANG_MEMBERS_MAX];
	struct sch_assignment new[PLAN_MOVES_MAX][BD_GANG_MEMBERS_MAX];
	struct sch_assignment target[BD_GANG_MEMBERS_MAX];
	uint32_t moved[PLAN_MOVES_MAX];
	uint32_t count = 0;
	uint32_t placed = 0;
	uint32_t accels;
	uint32_t i;

	while (load_unplanned(sch, r, &need, false, &accels) < need.members) {
		uint32_t idle = count < PLAN_MOVES_MAX
		    ? smallest_idle_plan(sch, r)
		    : SCH_NONE;

		if (idle == SCH_NONE)
			break;
		plan_assignments(sch, idle, old[count]);
		remove_plan(sch, idle);
		moved[count++] = idle;
	}
	if (count > 0 &&
	    sch_rack_allocate(sch->available, &sch->racks[r], &need, target)) {
		for (; placed < count; placed++) {
			struct sch_need other = sch_need_of(
			    &sch->promises[moved[placed]].row->shape);

			if (!sch_plan_find(sch, &other, false, r, new[placed]))
				break;
			add_plan(
			    sch, moved[placed], new[placed], other.members);
		}
	}
	for (i = 0; i < count; i++) {
		remove_plan(sch, moved[i]);
		add_plan(sch, moved[i], old[i],
		    sch->promises[moved[i]].row->shape.members);
	}
	if (count == 0 || placed < count)
		return false;
	*code = CW_OK;
	for (i = 0; i < count && *code == CW_OK; i++)
		*code = sch_plan_propose(sch, moved[i], new[i],
		    sch->promises[moved[i]].row->shape.members);
	if (*code == CW_OK)
		*code =
		    sch_plan_propose(sch, promise_index, target, need.members);
	return true;
}

/* Tries to vacate racks for a promise in turn. The next decision continues
 * where this one stopped, so that all racks are tried eventually. Sets *done if
 * the promise was planned. */
static int
plan_by_moves(
    struct sch *sch, uint32_t promise_index, uint32_t *tries, bool *done)
{
	uint32_t i;
	int code = CW_OK;

	for (i = 0; i < sch->rack_count && *tries < PLAN_RACK_TRIES_MAX; i++) {
		uint32_t r = sch->vacate_next_rack++ % sch->rack_count;

		if (sch->segment_count +
			4 * PLAN_MOVES_MAX * BD_GANG_MEMBERS_MAX >
		    sch->limits.segments)
			break;
		(*tries)++;
		if (vacate_rack(sch, promise_index, r, &code)) {
			*done = true;
			break;
		}
	}
	return code;
}

/* Plans one promise: on free hardware, on hardware that borrowers hold, or by
 * moving idle plans. The remains of an unusable plan are withdrawn one decision
 * before plans are moved, because lib/state rejects plans that overlap them. */
static int
plan_promise(struct sch *sch, uint32_t promise_index, uint32_t *tries)
{
	const struct bd_promise *row = sch->promises[promise_index].row;
	struct sch_need need = sch_need_of(&row->shape);
	struct sch_assignment assignments[BD_GANG_MEMBERS_MAX];
	struct sch_assignment old[BD_GANG_MEMBERS_MAX];
	uint32_t old_count = plan_assignments(sch, promise_index, old);
	bool done = false;
	int code;

	remove_plan(sch, promise_index);
	if (sch_plan_find(sch, &need, true, SCH_NONE, assignments) ||
	    sch_plan_find(sch, &need, false, SCH_NONE, assignments))
		return sch_plan_propose(
		    sch, promise_index, assignments, need.members);
	if (row->slot_count > 0) {
		code = sch_plan_propose(sch, promise_index, assignments, 0);
		sch->promises[promise_index].valid = false;
		add_plan(sch, promise_index, old, old_count);
		return code;
	}
	code = plan_by_moves(sch, promise_index, tries, &done);
	if (code == CW_OK && !done && row->short_since_ms == 0)
		code = propose_short(sch, promise_index, sch->now_ms);
	return code;
}

/* Plans every promise without a usable plan, largest first. Proposes to record
 * which promises are short of hardware, and which no longer are. Plans in use
 * are not moved. Returns the sink's status. */
int
sch_plan_run(struct sch *sch)
{
	uint32_t tries = 0;
	uint32_t i;
	int code = CW_OK;

	for (i = 0; i < sch->promise_count; i++)
		sch->sorted_indexes[i] = i;
	sch_sort(sch->sorted_indexes, sch->promise_count, larger_first, sch);
	for (i = 0; i < sch->promise_count && code == CW_OK; i++) {
		const struct sch_promise *entry =
		    &sch->promises[sch->sorted_indexes[i]];

		if (!sch_has_budget(sch))
			break;
		/* lib/state rejects a move of a plan away from its guaranteed
		 * gangs. A plan on lost hardware is moved when these have
		 * ended. */
		if (entry->replanned ||
		    (!entry->valid && entry->guaranteed_jobs > 0))
			continue;
		if (!entry->valid)
			code =
			    plan_promise(sch, sch->sorted_indexes[i], &tries);
		else if (entry->row->short_since_ms != 0)
			code = propose_short(sch, sch->sorted_indexes[i], 0);
	}
	return code;
}
