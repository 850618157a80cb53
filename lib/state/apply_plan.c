#include <string.h>

#include "state_internal.h"

static bool slots_fit_shape(
    const struct rec_plan *body, const struct bd_promise *promise);
static bool workers_can_hold(struct st_state *state,
    const struct bd_promise *promise, const struct st_load *old,
    uint32_t old_count, const struct st_load *new, uint32_t new_count);
static bool keeps_guaranteed_gangs(const struct bd_promise *promise,
    const struct st_promise_use *use, const struct st_load *new,
    uint32_t new_count);
static const struct st_load *find_load(
    const struct st_load *loads, uint32_t count, uint64_t worker);
static void move_use(const struct bd_promise *before,
    const struct bd_promise *after, struct st_promise_use *use);

static const struct st_load *
find_load(const struct st_load *loads, uint32_t count, uint64_t worker)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		if (loads[i].worker == worker)
			return &loads[i];
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

/* The workers stand in one rack and hold the shape next to all other plans.
 * Workers that the plan did not use before must be in service. */
static bool
workers_can_hold(struct st_state *state, const struct bd_promise *promise,
    const struct st_load *old, uint32_t old_count, const struct st_load *new,
    uint32_t new_count)
{
	const struct bd_worker *worker;
	const struct bd_worker *first = NULL;
	bool fits = true;
	uint32_t i;

	bd_read_begin();
	for (i = 0; i < new_count && fits; i++) {
		const struct st_load *own =
		    find_load(old, old_count, new[i].worker);
		int64_t members = (int64_t) new[i].members -
		    (own == NULL ? 0 : (int64_t)own->members);

		worker = bd_worker_lookup(state->board, new[i].worker);
		if (worker == NULL) {
			fits = false;
			break;
		}
		if (first == NULL)
			first = worker;
		fits = (own != NULL ||
			   (worker->state == BD_WORKER_UP &&
			       worker->quarantine_until_ms == 0)) &&
		    worker->rack == first->rack &&
		    worker->zone == first->zone && !new[i].overlap &&
		    (uint64_t) new[i].mask >> worker->accels == 0 &&
		    (new[i].mask & worker->planned_mask &
			~(own == NULL ? 0 : own->mask)) == 0 &&
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

/* A guaranteed gang would lose its guarantee outside of the plan. */
static bool
keeps_guaranteed_gangs(const struct bd_promise *promise,
    const struct st_promise_use *use, const struct st_load *new,
    uint32_t new_count)
{
	uint32_t i;

	for (i = 0; i < promise->slot_count; i++) {
		const struct st_load *load =
		    find_load(new, new_count, promise->slots[i].worker);
		uint64_t members = load == NULL ? 0 : load->members;
		uint32_t mask = load == NULL ? 0 : load->mask;

		if ((use->mask[i] & ~mask) != 0 ||
		    use->cores_milli[i] >
			members * promise->shape.cores_milli ||
		    use->memory_mb[i] > members * promise->shape.memory_mb)
			return false;
	}
	return true;
}

/* Puts what the gangs use at the first slot on the same worker. */
static void
move_use(const struct bd_promise *before, const struct bd_promise *after,
    struct st_promise_use *use)
{
	struct st_promise_use old = *use;
	uint32_t i;
	int slot;

	memset(use, 0, sizeof(*use));
	for (i = 0; i < before->slot_count; i++) {
		if (old.mask[i] == 0 && old.cores_milli[i] == 0 &&
		    old.memory_mb[i] == 0)
			continue;
		slot = st_slot_find(
		    after->slots, after->slot_count, before->slots[i].worker);
		if (slot < 0)
			continue;
		use->mask[slot] = old.mask[i];
		use->cores_milli[slot] = old.cores_milli[i];
		use->memory_mb[slot] = old.memory_mb[i];
	}
}

/* Adds (sign 1) or takes away (sign -1) a promise's plan in its workers. */
int
st_plan_use(struct st_state *state, const struct bd_promise *promise, int sign)
{
	struct st_load loads[BD_GANG_MEMBERS_MAX];
	struct bd_worker worker;
	uint32_t count =
	    st_load_sum(promise->slots, promise->slot_count, loads);
	uint32_t i;
	int code = CW_OK;

	for (i = 0; i < count && code == CW_OK; i++) {
		uint32_t times = (uint32_t)sign * loads[i].members;

		if (!st_row_copy(state, BD_TABLE_worker, loads[i].worker,
			&worker, sizeof(worker)))
			continue;
		worker.planned_mask ^= loads[i].mask;
		worker.planned_cores_milli +=
		    times * promise->shape.cores_milli;
		worker.planned_memory_mb += times * promise->shape.memory_mb;
		code = st_row_put(
		    state, BD_TABLE_worker, worker.id, &worker, sizeof(worker));
	}
	return code;
}

/*
 * PLAN: moves, sets or takes away the plan of a promise. Rejected where the
 * slots do not have the promise's shape in one rack, overlap another plan, or
 * would leave a guaranteed gang of the promise outside. Borrowed gangs may run
 * on the accelerators.
 */
int
st_apply_plan(struct st_state *state, const struct rec *rec, uint64_t position)
{
	const struct rec_plan *body = &rec->body.plan;
	struct st_load old[BD_GANG_MEMBERS_MAX];
	struct st_load new[BD_GANG_MEMBERS_MAX];
	struct st_promise_use *use;
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
	use = st_index_promise_use(state, body->promise);
	old_count = st_load_sum(row.slots, row.slot_count, old);
	new_count = st_load_sum(body->slots, body->slot_count, new);
	if (!workers_can_hold(state, &row, old, old_count, new, new_count) ||
	    !keeps_guaranteed_gangs(&row, use, new, new_count))
		return ST_EREJECTED;
	before = row;
	memset(row.slots, 0, sizeof(row.slots));
	memcpy(row.slots, body->slots, body->slot_count * sizeof(*body->slots));
	row.slot_count = (uint16_t)body->slot_count;
	row.epoch = position;
	if (row.slot_count > 0)
		row.short_since_ms = 0;
	move_use(&before, &row, use);
	code = st_plan_use(state, &before, -1);
	if (code == CW_OK)
		code = st_plan_use(state, &row, 1);
	if (code == CW_OK)
		code = st_row_put(
		    state, BD_TABLE_promise, row.id, &row, sizeof(row));
	return code;
}

/* SHORT: since when no hardware is left for a promise; 0 ends it. */
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
