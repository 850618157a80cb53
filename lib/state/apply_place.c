#include <assert.h>

#include "state_internal.h"

static bool members_fit_shape(
    const struct rec_place *body, const struct bd_shape *shape);
static bool workers_have_capacity(struct st_state *state,
    const struct bd_job *job, const struct st_worker_demand *demands,
    uint32_t count);
static bool plan_has_capacity(struct st_state *state,
    const struct rec_place *body, const struct bd_job *job,
    const struct st_worker_demand *demands, uint32_t count);
static int put_tasks(
    struct st_state *state, const struct rec_place *body, uint64_t position);

/* Checks the number of members and of their accelerators. */
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

/* Checks that each worker is in service, that the accelerators exist and are
 * free, and that cores and memory suffice for all members on the worker. On a
 * worker that has shrunk, accelerators in use beyond its present number stand
 * for others that exist. A job
 * without cross_region must be placed in a single region. */
static bool
workers_have_capacity(struct st_state *state, const struct bd_job *job,
    const struct st_worker_demand *demands, uint32_t count)
{
	const struct bd_worker *worker;
	uint64_t region = 0;
	bool fits = true;
	uint32_t i;

	bd_read_begin();
	for (i = 0; i < count && fits; i++) {
		worker = bd_worker_lookup(state->board, demands[i].worker);
		if (worker == NULL) {
			fits = false;
			break;
		}
		if (i == 0)
			region = worker->region;
		fits = worker->state == BD_WORKER_UP &&
		    worker->quarantine_until_ms == 0 && !demands[i].overlap &&
		    (uint64_t)demands[i].accel_mask >> worker->accels == 0 &&
		    (demands[i].accel_mask & worker->used_mask) == 0 &&
		    (uint32_t)__builtin_popcount(demands[i].accel_mask |
			worker->used_mask) <= worker->accels &&
		    worker->used_cores_milli +
			    (uint64_t)demands[i].members *
				job->shape.cores_milli <=
			worker->cores_milli &&
		    worker->used_memory_mb +
			    (uint64_t)demands[i].members *
				job->shape.memory_mb <=
			worker->memory_mb &&
		    (job->cross_region != 0 || worker->region == region);
	}
	bd_read_end();
	return fits;
}

/* Checks that a guaranteed gang fits completely into the plan of a promise to
 * its account, beside the guaranteed gangs that already run there. */
static bool
plan_has_capacity(struct st_state *state, const struct rec_place *body,
    const struct bd_job *job, const struct st_worker_demand *demands,
    uint32_t count)
{
	struct st_worker_demand plan[BD_GANG_MEMBERS_MAX];
	struct bd_promise promise;
	struct st_promise_usage *usage;
	uint32_t plan_count;
	uint32_t i;
	uint32_t plan_index;
	int slot;

	if (!st_row_copy(state, BD_TABLE_promise, body->promise, &promise,
		sizeof(promise)) ||
	    promise.account != job->account)
		return false;
	usage = st_index_promise_usage(state, body->promise);
	plan_count =
	    st_worker_demand_sum(promise.slots, promise.slot_count, plan);
	for (i = 0; i < count; i++) {
		for (plan_index = 0; plan_index < plan_count; plan_index++)
			if (plan[plan_index].worker == demands[i].worker)
				break;
		slot = st_slot_find(
		    promise.slots, promise.slot_count, demands[i].worker);
		if (plan_index == plan_count || slot < 0 ||
		    (demands[i].accel_mask & ~plan[plan_index].accel_mask) !=
			0 ||
		    usage->cores_milli[slot] +
			    (uint64_t)demands[i].members *
				job->shape.cores_milli >
			(uint64_t)plan[plan_index].members *
			    promise.shape.cores_milli ||
		    usage->memory_mb[slot] +
			    (uint64_t)demands[i].members *
				job->shape.memory_mb >
			(uint64_t)plan[plan_index].members *
			    promise.shape.memory_mb)
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

/* Adds (sign 1) or subtracts (sign -1) what a gang uses of its workers and of
 * the promise that it runs in. */
int
st_gang_usage_add(struct st_state *state, const struct bd_job *job,
    const struct bd_slot *members, int sign)
{
	struct st_worker_demand demands[BD_GANG_MEMBERS_MAX];
	struct st_promise_usage *usage = NULL;
	struct bd_promise promise;
	struct bd_worker worker;
	uint32_t count =
	    st_worker_demand_sum(members, job->shape.members, demands);
	uint32_t i;
	int code = CW_OK;
	int slot;

	if (job->promise != 0 &&
	    st_row_copy(state, BD_TABLE_promise, job->promise, &promise,
		sizeof(promise)))
		usage = st_index_promise_usage(state, job->promise);
	for (i = 0; i < count && code == CW_OK; i++) {
		uint32_t member_delta = (uint32_t)sign * demands[i].members;

		if (!st_row_copy(state, BD_TABLE_worker, demands[i].worker,
			&worker, sizeof(worker)))
			continue;
		worker.used_mask ^= demands[i].accel_mask;
		worker.used_cores_milli +=
		    member_delta * job->shape.cores_milli;
		worker.used_memory_mb += member_delta * job->shape.memory_mb;
		code = st_row_put(
		    state, BD_TABLE_worker, worker.id, &worker, sizeof(worker));
		if (usage == NULL)
			continue;
		slot =
		    st_slot_find(promise.slots, promise.slot_count, worker.id);
		assert(slot >= 0);
		usage->accel_mask[slot] ^= demands[i].accel_mask;
		usage->cores_milli[slot] +=
		    member_delta * job->shape.cores_milli;
		usage->memory_mb[slot] += member_delta * job->shape.memory_mb;
	}
	return code;
}

/*
 * PLACE: assigns workers to a waiting job. Returns ST_EREJECTED where they are
 * out of service or lack capacity, and where a guaranteed gang would not fit
 * into its account's plan. A gang on borrowed capacity may use all that is
 * free, since its accelerators can be reclaimed at any time. Quotas are not
 * checked here: they only order the waiting jobs, which is up to the scheduler.
 */
int
st_apply_place(struct st_state *state, const struct rec *rec, uint64_t position)
{
	const struct rec_place *body = &rec->body.place;
	struct st_worker_demand demands[BD_GANG_MEMBERS_MAX];
	struct bd_job job;
	uint32_t count;
	bool shared;
	int code;

	if (!st_row_copy(state, BD_TABLE_job, body->job, &job, sizeof(job)))
		return ST_EREJECTED;
	if (job.epoch != body->epoch || job.state != BD_JOB_WAITING)
		return ST_ESTALE;
	if (!members_fit_shape(body, &job.shape))
		return ST_EREJECTED;
	count =
	    st_worker_demand_sum(body->members, body->member_count, demands);
	if (!workers_have_capacity(state, &job, demands, count) ||
	    (body->promise != 0 &&
		!plan_has_capacity(state, body, &job, demands, count)))
		return ST_EREJECTED;
	if (bd_row_count(state->board, BD_TABLE_task) + body->member_count >
	    bd_table_capacity(BD_TABLE_task))
		return ST_EFULL;
	job.promise = body->promise;
	code = st_workers_share(state, demands, count, &shared);
	if (code == CW_OK)
		code = st_gang_usage_add(state, &job, body->members, 1);
	if (code == CW_OK)
		code = put_tasks(state, body, position);
	if (code != CW_OK)
		return code;
	job.token = position;
	job.epoch = position;
	job.state = BD_JOB_PLACED;
	job.reason = BD_REASON_NONE;
	job.attempts++;
	if (job.crashes > 0 && shared)
		st_job_attempt_uncounted(&job);
	job.started_ms = 0;
	job.preempt_deadline_ms = 0;
	job.preempted_for = 0;
	return st_row_put(state, BD_TABLE_job, job.id, &job, sizeof(job));
}
