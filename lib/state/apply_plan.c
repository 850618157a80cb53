#include <string.h>

#include "state_internal.h"

static bool slots_fit_shape(
    const struct rec_plan *body, const struct bd_promise *promise);
static bool plan_fits_workers(struct st_state *state,
    const struct bd_promise *promise, const struct st_worker_demand *old,
    uint32_t old_count, const struct st_worker_demand *new, uint32_t new_count);
static bool keeps_guaranteed_gangs(const struct bd_promise *promise,
    const struct st_promise_usage *usage, const struct st_worker_demand *new,
    uint32_t new_count);
static const struct st_worker_demand *find_demand(
    const struct st_worker_demand *demands, uint32_t count, uint64_t worker);
static void remap_usage(const struct bd_promise *before,
    const struct bd_promise *after, struct st_promise_usage *usage);

static const struct st_worker_demand *
find_demand(
    const struct st_worker_demand *demands, uint32_t count, uint64_t worker)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		if (demands[i].worker == worker)
			return &demands[i];
	return NULL;
}

static bool
slots_fit_shape(const struct rec_plan *body, const struct bd_promise *promise)
{
	uint32_t i;

	if (body->slot_count == 0)
		return true;
	if (body->slot_count != promise->shape.members)
		return false;
	for (i = 0; i < body->slot_count; i++)
		if (__builtin_popcount(body->slots[i].accel_mask) !=
		    promise->shape.accels)
			return false;
	return true;
}

/* Checks that the workers are in one rack and fit the shape beside all other
 * plans. Workers that are not in the old plan must be in service. */
static bool
plan_fits_workers(struct st_state *state, const struct bd_promise *promise,
    const struct st_worker_demand *old, uint32_t old_count,
    const struct st_worker_demand *new, uint32_t new_count)
{
	const struct bd_worker *worker;
	const struct bd_worker *first = NULL;
	bool fits = true;
	uint32_t i;

	bd_read_begin();
	for (i = 0; i < new_count && fits; i++) {
		const struct st_worker_demand *old_demand =
		    find_demand(old, old_count, new[i].worker);
		int64_t members = (int64_t) new[i].members -
		    (old_demand == NULL ? 0 : (int64_t)old_demand->members);

		worker = bd_worker_lookup(state->board, new[i].worker);
		if (worker == NULL) {
			fits = false;
			break;
		}
		if (first == NULL)
			first = worker;
		fits = (old_demand != NULL ||
			   (worker->state == BD_WORKER_UP &&
			       worker->quarantine_until_ms == 0)) &&
		    worker->rack == first->rack &&
		    worker->zone == first->zone && !new[i].overlap &&
		    (uint64_t) new[i].accel_mask >> worker->accels == 0 &&
		    (new[i].accel_mask & worker->planned_mask &
			~(old_demand == NULL ? 0 : old_demand->accel_mask)) ==
			0 &&
		    worker->planned_cores_milli +
			    members * promise->shape.cores_milli <=
			worker->cores_milli &&
		    worker->planned_memory_mb +
			    members * promise->shape.memory_mb <=
			worker->memory_mb;
	}
	bd_read_end();
	return fits;
}

/* Checks that the new plan covers what guaranteed gangs of the promise use. A
 * gang outside of the plan would lose its guarantee. */
static bool
keeps_guaranteed_gangs(const struct bd_promise *promise,
    const struct st_promise_usage *usage, const struct st_worker_demand *new,
    uint32_t new_count)
{
	uint32_t i;

	for (i = 0; i < promise->slot_count; i++) {
		const struct st_worker_demand *demand =
		    find_demand(new, new_count, promise->slots[i].worker);
		uint64_t members = demand == NULL ? 0 : demand->members;
		uint32_t accel_mask = demand == NULL ? 0 : demand->accel_mask;

		if ((usage->accel_mask[i] & ~accel_mask) != 0 ||
		    usage->cores_milli[i] >
			members * promise->shape.cores_milli ||
		    usage->memory_mb[i] > members * promise->shape.memory_mb)
			return false;
	}
	return true;
}

/* Moves the usage of each worker to the worker's first slot in the new plan. */
static void
remap_usage(const struct bd_promise *before, const struct bd_promise *after,
    struct st_promise_usage *usage)
{
	struct st_promise_usage old = *usage;
	uint32_t i;
	int slot;

	memset(usage, 0, sizeof(*usage));
	for (i = 0; i < before->slot_count; i++) {
		if (old.accel_mask[i] == 0 && old.cores_milli[i] == 0 &&
		    old.memory_mb[i] == 0)
			continue;
		slot = st_slot_find(
		    after->slots, after->slot_count, before->slots[i].worker);
		if (slot < 0)
			continue;
		usage->accel_mask[slot] = old.accel_mask[i];
		usage->cores_milli[slot] = old.cores_milli[i];
		usage->memory_mb[slot] = old.memory_mb[i];
	}
}

/* Adds (sign 1) or subtracts (sign -1) what a promise's plan reserves on its
 * workers. */
int
st_plan_usage_add(
    struct st_state *state, const struct bd_promise *promise, int sign)
{
	struct st_worker_demand demands[BD_GANG_MEMBERS_MAX];
	struct bd_worker worker;
	uint32_t count =
	    st_worker_demand_sum(promise->slots, promise->slot_count, demands);
	uint32_t i;
	int code = CW_OK;

	for (i = 0; i < count && code == CW_OK; i++) {
		uint32_t member_delta = (uint32_t)sign * demands[i].members;

		if (!st_row_copy(state, BD_TABLE_worker, demands[i].worker,
			&worker, sizeof(worker)))
			continue;
		worker.planned_mask ^= demands[i].accel_mask;
		worker.planned_cores_milli +=
		    member_delta * promise->shape.cores_milli;
		worker.planned_memory_mb +=
		    member_delta * promise->shape.memory_mb;
		code = st_row_put(
		    state, BD_TABLE_worker, worker.id, &worker, sizeof(worker));
	}
	return code;
}

/*
 * PLAN: sets, moves or removes the plan of a promise. Returns ST_EREJECTED
 * where the slots do not have the promise's shape within one rack, overlap
 * another plan, or do not cover a running guaranteed gang of the promise. Gangs
 * on borrowed capacity may be running on the accelerators.
 */
int
st_apply_plan(struct st_state *state, const struct rec *rec, uint64_t position)
{
	const struct rec_plan *body = &rec->body.plan;
	struct st_worker_demand old[BD_GANG_MEMBERS_MAX];
	struct st_worker_demand new[BD_GANG_MEMBERS_MAX];
	struct st_promise_usage *usage;
	struct bd_promise before;
	struct bd_promise row;
	uint32_t old_count;
	uint32_t new_count;
	int code;

	if (!st_row_copy(
		state, BD_TABLE_promise, body->promise, &row, sizeof(row)))
		return ST_EREJECTED;
	if (row.epoch != body->epoch)
		return ST_ESTALE;
	if (!slots_fit_shape(body, &row))
		return ST_EREJECTED;
	usage = st_index_promise_usage(state, body->promise);
	old_count = st_worker_demand_sum(row.slots, row.slot_count, old);
	new_count = st_worker_demand_sum(body->slots, body->slot_count, new);
	if (!plan_fits_workers(state, &row, old, old_count, new, new_count) ||
	    !keeps_guaranteed_gangs(&row, usage, new, new_count))
		return ST_EREJECTED;
	before = row;
	memset(row.slots, 0, sizeof(row.slots));
	memcpy(row.slots, body->slots, body->slot_count * sizeof(*body->slots));
	row.slot_count = (uint16_t)body->slot_count;
	row.epoch = position;
	if (row.slot_count > 0)
		row.short_since_ms = 0;
	remap_usage(&before, &row, usage);
	code = st_plan_usage_add(state, &before, -1);
	if (code == CW_OK)
		code = st_plan_usage_add(state, &row, 1);
	if (code == CW_OK)
		code = st_row_put(
		    state, BD_TABLE_promise, row.id, &row, sizeof(row));
	return code;
}

/* SHORT: stores since when there is not enough hardware for a promise; 0: there
 * is enough again. */
int
st_apply_short(struct st_state *state, const struct rec *rec, uint64_t position)
{
	const struct rec_short *body = &rec->body.short_since;
	struct bd_promise row;

	if (body->since_ms < 0 ||
	    !st_row_copy(
		state, BD_TABLE_promise, body->promise, &row, sizeof(row)))
		return ST_EREJECTED;
	if (row.epoch != body->epoch)
		return ST_ESTALE;
	row.short_since_ms = body->since_ms;
	row.epoch = position;
	return st_row_put(state, BD_TABLE_promise, row.id, &row, sizeof(row));
}
