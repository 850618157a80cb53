#include <assert.h>

#include "state_internal.h"

static bool members_fit_shape(
    const struct rec_place *body, const struct bd_shape *shape);
static bool workers_have_room(struct st_state *state, const struct bd_job *job,
    const struct st_load *loads, uint32_t count);
static bool promise_has_room(struct st_state *state,
    const struct rec_place *body, const struct bd_job *job,
    const struct st_load *loads, uint32_t count);
static int put_tasks(
    struct st_state *state, const struct rec_place *body, uint64_t position);

static bool
members_fit_shape(const struct rec_place *body, const struct bd_shape *shape)
{
	uint32_t i;

	if (body->member_count != shape->members)
		return false;
	for (i = 0; i < body->member_count; i++)
		if (__builtin_popcount(body->members[i].accel_mask) !=
		    shape->accels)
			return false;
	return true;
}

/* Every worker is in service, the accelerators exist and are free, and cores
 * and memory suffice for all members on it. */
static bool
workers_have_room(struct st_state *state, const struct bd_job *job,
    const struct st_load *loads, uint32_t count)
{
	const struct bd_worker *worker;
	uint64_t region = 0;
	bool fits = true;
	uint32_t i;

	bd_read_begin();
	for (i = 0; i < count && fits; i++) {
		worker = bd_worker_lookup(state->board, loads[i].worker);
		if (worker == NULL) {
			fits = false;
			break;
		}
		if (i == 0)
			region = worker->region;
		fits = worker->state == BD_WORKER_UP &&
		    worker->quarantine_until_ms == 0 && !loads[i].overlap &&
		    (uint64_t)loads[i].mask >> worker->accels == 0 &&
		    (loads[i].mask & worker->used_mask) == 0 &&
		    worker->used_cores_milli +
			    (uint64_t)loads[i].members *
				job->shape.cores_milli <=
			worker->cores_milli &&
		    worker->used_memory_mb +
			    (uint64_t)loads[i].members * job->shape.memory_mb <=
			worker->memory_mb &&
		    (job->cross_region != 0 || worker->region == region);
	}
	bd_read_end();
	return fits;
}

/* A guaranteed gang lies wholly inside the plan of a promise to its account,
 * next to the other guaranteed gangs in it. */
static bool
promise_has_room(struct st_state *state, const struct rec_place *body,
    const struct bd_job *job, const struct st_load *loads, uint32_t count)
{
	struct st_load plan[BD_GANG_MEMBERS_MAX];
	struct bd_promise promise;
	struct st_promise_use *use;
	uint32_t plan_count;
	uint32_t i;
	uint32_t at;
	int slot;

	if (!st_row_copy(state, BD_TABLE_promise, body->promise, &promise,
		sizeof(promise)) ||
	    promise.account != job->account)
		return false;
	use = st_index_promise_use(state, body->promise);
	plan_count = st_load_sum(promise.slots, promise.slot_count, plan);
	for (i = 0; i < count; i++) {
		for (at = 0; at < plan_count; at++)
			if (plan[at].worker == loads[i].worker)
				break;
		slot = st_slot_find(
		    promise.slots, promise.slot_count, loads[i].worker);
		if (at == plan_count || slot < 0 ||
		    (loads[i].mask & ~plan[at].mask) != 0 ||
		    use->cores_milli[slot] +
			    (uint64_t)loads[i].members *
				job->shape.cores_milli >
			(uint64_t)plan[at].members *
			    promise.shape.cores_milli ||
		    use->memory_mb[slot] +
			    (uint64_t)loads[i].members * job->shape.memory_mb >
			(uint64_t)plan[at].members * promise.shape.memory_mb)
			return false;
	}
	return true;
}

static int
put_tasks(
    struct st_state *state, const struct rec_place *body, uint64_t position)
{
	uint32_t i;
	int code = CW_OK;

	for (i = 0; i < body->member_count && code == CW_OK; i++) {
		struct bd_task task = {0};

		task.id = cw_id_from_pair(body->job, i);
		task.job = body->job;
		task.worker = body->members[i].worker;
		task.token = position;
		task.member = i;
		task.accel_mask = body->members[i].accel_mask;
		code = st_row_put(
		    state, BD_TABLE_task, task.id, &task, sizeof(task));
	}
	return code;
}

/* Adds (sign 1) or takes away (sign -1) what a gang uses of its workers, and
 * of the promise that it runs in. */
int
st_gang_use(struct st_state *state, const struct bd_job *job,
    const struct bd_slot *members, int sign)
{
	struct st_load loads[BD_GANG_MEMBERS_MAX];
	struct st_promise_use *use = NULL;
	struct bd_promise promise;
	struct bd_worker worker;
	uint32_t count = st_load_sum(members, job->shape.members, loads);
	uint32_t i;
	int code = CW_OK;
	int slot;

	if (job->promise != 0 &&
	    st_row_copy(state, BD_TABLE_promise, job->promise, &promise,
		sizeof(promise)))
		use = st_index_promise_use(state, job->promise);
	for (i = 0; i < count && code == CW_OK; i++) {
		uint32_t times = (uint32_t)sign * loads[i].members;

		if (!st_row_copy(state, BD_TABLE_worker, loads[i].worker,
			&worker, sizeof(worker)))
			continue;
		worker.used_mask ^= loads[i].mask;
		worker.used_cores_milli += times * job->shape.cores_milli;
		worker.used_memory_mb += times * job->shape.memory_mb;
		code = st_row_put(
		    state, BD_TABLE_worker, worker.id, &worker, sizeof(worker));
		if (use == NULL)
			continue;
		slot =
		    st_slot_find(promise.slots, promise.slot_count, worker.id);
		assert(slot >= 0);
		use->mask[slot] ^= loads[i].mask;
		use->cores_milli[slot] += times * job->shape.cores_milli;
		use->memory_mb[slot] += times * job->shape.memory_mb;
	}
	return code;
}

/*
 * PLACE: gives a waiting job its workers. Rejected where they lack room or are
 * out of service, and where a guaranteed gang would leave its account's plan.
 * A borrowed gang may use whatever is free, since its accelerators can always
 * be reclaimed. Quotas are an order among waiting jobs, so they are left to
 * scheduling.
 */
int
st_apply_place(struct st_state *state, const struct rec *rec, uint64_t position)
{
	const struct rec_place *body = &rec->body.place;
	struct st_load loads[BD_GANG_MEMBERS_MAX];
	struct bd_job job;
	uint32_t count;
	int code;

	if (!st_row_copy(state, BD_TABLE_job, body->job, &job, sizeof(job)))
		return ST_EREJECTED;
	if (job.epoch != body->epoch || job.state != BD_JOB_WAITING)
		return ST_ESTALE;
	if (!members_fit_shape(body, &job.shape))
		return ST_EREJECTED;
	count = st_load_sum(body->members, body->member_count, loads);
	if (!workers_have_room(state, &job, loads, count) ||
	    (body->promise != 0 &&
		!promise_has_room(state, body, &job, loads, count)))
		return ST_EREJECTED;
	if (bd_row_count(state->board, BD_TABLE_task) + body->member_count >
	    bd_table_capacity(BD_TABLE_task))
		return ST_EFULL;
	job.promise = body->promise;
	code = st_gang_use(state, &job, body->members, 1);
	if (code == CW_OK)
		code = put_tasks(state, body, position);
	if (code != CW_OK)
		return code;
	job.token = position;
	job.epoch = position;
	job.state = BD_JOB_PLACED;
	job.reason = BD_REASON_NONE;
	job.attempts++;
	job.started_ms = 0;
	job.preempt_deadline_ms = 0;
	job.preempted_for = 0;
	return st_row_put(state, BD_TABLE_job, job.id, &job, sizeof(job));
}
