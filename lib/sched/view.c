#include <assert.h>
#include <string.h>

#include "scheduler_internal.h"

static bool worker_precedes(const void *ctx, uint32_t a, uint32_t b);
static void load_workers(struct sch *sch);
static void load_racks(struct sch *sch);
static uint32_t find_or_add_account(struct sch *sch, uint64_t id);
static void load_accounts(struct sch *sch);
static void load_promises(struct sch *sch);
static void load_segments(struct sch *sch, uint32_t p);
static uint32_t find_or_add_segment(
    struct sch *sch, uint32_t p, uint32_t worker);
static void load_jobs(struct sch *sch);
static void load_tasks(struct sch *sch);
static void limit_free_accels(struct sch *sch);
static void load_expected_ends(struct sch *sch);
static void allocate_segments(struct sch *sch, uint32_t j);
static int64_t expected_end(const struct sch *sch, const struct sch_job *job);

/* Converts the shape of a job or promise to a resource request. */
struct sch_need
sch_need_of(const struct bd_shape *shape)
{
	struct sch_need need = {shape->members, shape->accels,
	    shape->cores_milli, shape->memory_mb};

	return need;
}

/* Returns true if a is at least as large as b in every resource. */
bool
sch_need_covers(const struct sch_need *a, const struct sch_need *b)
{
	return a->members >= b->members && a->accels >= b->accels &&
	    a->cores >= b->cores && a->memory >= b->memory;
}

static bool
worker_precedes(const void *ctx, uint32_t a, uint32_t b)
{
	const struct sch *sch = ctx;
	const struct bd_worker *x = sch->workers[a].row;
	const struct bd_worker *y = sch->workers[b].row;

	if (x->region != y->region)
		return x->region < y->region;
	if (x->zone != y->zone)
		return x->zone < y->zone;
	if (x->rack != y->rack)
		return x->rack < y->rack;
	return x->id < y->id;
}

/* Loads the worker rows and sorts them: the order of the table differs between
 * VMs, the sorted order does not. */
static void
load_workers(struct sch *sch)
{
	const struct bd_worker *row;
	uint32_t cursor = 0;
	uint32_t count = 0;
	uint32_t i;

	while (count < sch->limits.workers &&
	    (row = bd_worker_next(sch->spec.board, &cursor)) != NULL) {
		sch->workers[count].row = row;
		sch->sorted_indexes[count] = count;
		count++;
	}
	sch_sort(sch->sorted_indexes, count, worker_precedes, sch);
	for (i = 0; i < count; i++)
		sch->worker_rows[i] = sch->workers[sch->sorted_indexes[i]].row;
	sch->worker_count = count;
	sch->total_accels = 0;
	sch->total_cores = 0;
	for (i = 0; i < count; i++) {
		struct sch_worker *worker = &sch->workers[i];

		row = sch->worker_rows[i];
		memset(worker, 0, sizeof(*worker));
		worker->row = row;
		worker->first_task = SCH_NONE;
		worker->first_segment = SCH_NONE;
		worker->capacity.mask =
		    sch_mask_lowest(UINT32_MAX, row->accels);
		worker->capacity.cores = row->cores_milli;
		worker->capacity.memory = row->memory_mb;
		worker->free = worker->capacity;
		/* Placements are rejected until a QUARANTINE record ends the
		 * quarantine, even after its expiry time. */
		worker->quarantined = row->quarantine_until_ms != 0;
		worker->probation = sch_probation_lookup(sch, row->id) != NULL;
		worker->usable =
		    row->state == BD_WORKER_UP && !worker->quarantined;
		sch_index_put(&sch->worker_index, row->id, i);
		if (row->state == BD_WORKER_UP) {
			sch->total_accels += row->accels;
			sch->total_cores += row->cores_milli;
		}
	}
}

static void
load_racks(struct sch *sch)
{
	struct sch_rack *rack = NULL;
	uint32_t i;

	sch->rack_count = 0;
	for (i = 0; i < sch->worker_count; i++) {
		const struct bd_worker *row = sch->workers[i].row;
		const struct bd_worker *last =
		    i == 0 ? NULL : sch->workers[i - 1].row;

		if (last == NULL || last->rack != row->rack ||
		    last->zone != row->zone || last->region != row->region) {
			rack = &sch->racks[sch->rack_count++];
			rack->first = i;
			rack->count = 0;
			rack->zone = row->zone;
			rack->region = row->region;
		}
		rack->count++;
		sch->workers[i].rack = sch->rack_count - 1;
	}
}

/* Returns the index of an account. An account that was removed from the
 * configuration but still has jobs gets an entry without a row. Returns 0 if
 * the view is full. */
static uint32_t
find_or_add_account(struct sch *sch, uint64_t id)
{
	uint32_t index = sch_index_get(&sch->account_index, id);
	struct sch_account *account;
	uint32_t i;

	if (index != SCH_NONE)
		return index;
	if (sch->account_count == sch->limits.accounts)
		return 0;
	index = sch->account_count++;
	account = &sch->accounts[index];
	memset(account, 0, sizeof(*account));
	account->id = id;
	account->first_promise = SCH_NONE;
	for (i = 0; i < BD_CLASS_COUNT; i++)
		sch_usage_factors_get(sch, id, i, &account->usage_factors[i]);
	sch_index_put(&sch->account_index, id, index);
	return index;
}

static void
load_accounts(struct sch *sch)
{
	const struct bd_account *row;
	uint32_t cursor = 0;

	sch->account_count = 0;
	while ((row = bd_account_next(sch->spec.board, &cursor)) != NULL)
		sch->accounts[find_or_add_account(sch, row->id)].row = row;
}

/* Returns the segment of a promise on a worker, or SCH_NONE if the view is
 * full. */
static uint32_t
find_or_add_segment(struct sch *sch, uint32_t p, uint32_t worker)
{
	struct sch_promise *promise = &sch->promises[p];
	struct sch_segment *segment;
	uint32_t i;

	for (i = 0; i < promise->segment_count; i++)
		if (sch->segments[promise->first_segment + i].worker == worker)
			return promise->first_segment + i;
	if (sch->segment_count == sch->limits.segments)
		return SCH_NONE;
	i = sch->segment_count++;
	segment = &sch->segments[i];
	memset(segment, 0, sizeof(*segment));
	segment->promise = p;
	segment->worker = worker;
	segment->next_on_worker = sch->workers[worker].first_segment;
	sch->workers[worker].first_segment = i;
	promise->segment_count++;
	return i;
}

/* Merges the slots of a plan (one per member) into one segment per worker, and
 * marks the plan valid if every slot can be used as planned. */
static void
load_segments(struct sch *sch, uint32_t p)
{
	struct sch_promise *promise = &sch->promises[p];
	const struct bd_promise *row = promise->row;
	uint32_t i;

	promise->first_segment = sch->segment_count;
	promise->valid = row->slot_count == row->shape.members;
	for (i = 0; i < row->slot_count; i++) {
		const struct bd_slot *slot = &row->slots[i];
		uint32_t w = sch_index_get(&sch->worker_index, slot->worker);
		struct sch_worker *worker;
		struct sch_segment *segment;
		uint32_t s;

		if (w == SCH_NONE ||
		    (s = find_or_add_segment(sch, p, w)) == SCH_NONE) {
			promise->valid = false;
			continue;
		}
		worker = &sch->workers[w];
		segment = &sch->segments[s];
		if (!worker->usable ||
		    (slot->accel_mask & ~worker->capacity.mask) != 0 ||
		    (uint32_t)__builtin_popcount(slot->accel_mask) !=
			row->shape.accels)
			promise->valid = false;
		segment->members++;
		segment->mask |= slot->accel_mask;
		segment->claimable.mask |= slot->accel_mask;
		segment->claimable.cores += row->shape.cores_milli;
		segment->claimable.memory += row->shape.memory_mb;
		worker->planned_accels |= slot->accel_mask;
		worker->planned.cores += row->shape.cores_milli;
		worker->planned.memory += row->shape.memory_mb;
		if (worker->planned.cores > worker->capacity.cores ||
		    worker->planned.memory > worker->capacity.memory)
			promise->valid = false;
	}
}

static void
load_promises(struct sch *sch)
{
	const struct bd_promise *row;
	uint32_t cursor = 0;

	sch->promise_count = 0;
	sch->segment_count = 0;
	while (sch->promise_count < sch->limits.promises &&
	    (row = bd_promise_next(sch->spec.board, &cursor)) != NULL) {
		uint32_t p = sch->promise_count++;
		struct sch_promise *promise = &sch->promises[p];
		struct sch_account *account;

		memset(promise, 0, sizeof(*promise));
		promise->row = row;
		promise->account = find_or_add_account(sch, row->account);
		account = &sch->accounts[promise->account];
		promise->next_in_account = account->first_promise;
		account->first_promise = p;
		promise->claim_interval_ms =
		    sch_claim_interval_ms(sch, row->id);
		load_segments(sch, p);
		if (promise->valid)
			account->promised_accels +=
			    (uint64_t)row->shape.members * row->shape.accels;
		sch_index_put(&sch->promise_index, row->id, p);
	}
}

static void
load_jobs(struct sch *sch)
{
	const struct bd_job *row;
	uint32_t cursor = 0;

	sch->job_count = 0;
	sch->waiting_count = 0;
	while (sch->job_count < sch->limits.jobs &&
	    (row = bd_job_next(sch->spec.board, &cursor)) != NULL) {
		struct sch_job *job = &sch->jobs[sch->job_count];

		/* A cancelled job holds its resources until its gang has
		 * stopped. */
		if (row->state >= BD_JOB_DONE && row->token == 0)
			continue;
		memset(job, 0, sizeof(*job));
		job->row = row;
		job->account = find_or_add_account(sch, row->account);
		job->first_task = SCH_NONE;
		job->promise = SCH_NONE;
		job->victim = row->state == BD_JOB_PREEMPTING ||
		    row->state >= BD_JOB_DONE;
		job->run_ms = sch_expected_run_ms(sch, row);
		if (row->state == BD_JOB_WAITING)
			sch->waiting[sch->waiting_count++] = sch->job_count;
		sch_index_put(&sch->job_index, row->id, sch->job_count);
		sch->job_count++;
	}
}

/* Loads the tasks and subtracts their resources from the workers. A task whose
 * worker is unknown still counts towards its job. */
static void
load_tasks(struct sch *sch)
{
	const struct bd_task *row;
	uint32_t cursor = 0;

	sch->task_count = 0;
	sch->apart_count = 0;
	while (sch->task_count < sch->limits.tasks &&
	    (row = bd_task_next(sch->spec.board, &cursor)) != NULL) {
		uint32_t j = sch_index_get(&sch->job_index, row->job);
		uint32_t w = sch_index_get(&sch->worker_index, row->worker);
		struct sch_task *task = &sch->tasks[sch->task_count];
		struct sch_job *job;

		if (j == SCH_NONE)
			continue;
		job = &sch->jobs[j];
		if (job->row->crashes > 0 && w != SCH_NONE &&
		    !sch->workers[w].apart) {
			sch->workers[w].apart = true;
			sch->apart_count++;
		}
		task->job = j;
		task->worker = w;
		task->mask = row->accel_mask;
		task->next_in_job = job->first_task;
		task->next_on_worker = SCH_NONE;
		job->first_task = sch->task_count;
		job->task_count++;
		if (w != SCH_NONE) {
			struct sch_worker *worker = &sch->workers[w];

			task->next_on_worker = worker->first_task;
			worker->first_task = sch->task_count;
			worker->free.mask &= ~row->accel_mask;
			worker->free.cores -= job->row->shape.cores_milli;
			worker->free.memory -= job->row->shape.memory_mb;
		}
		sch->accounts[job->account].held_accels +=
		    job->row->shape.accels;
		sch->accounts[job->account].held_cores +=
		    job->row->shape.cores_milli;
		sch->task_count++;
	}
}

/* On a worker that has shrunk, accelerators in use beyond its present number
 * stand for others that exist: as many fewer are free. */
static void
limit_free_accels(struct sch *sch)
{
	uint32_t i;

	for (i = 0; i < sch->worker_count; i++) {
		struct sch_worker *worker = &sch->workers[i];
		uint32_t free = (uint32_t)__builtin_popcount(worker->free.mask);
		uint32_t beyond = (uint32_t)__builtin_popcount(
		    worker->row->used_mask & ~worker->capacity.mask);

		if (beyond > 0)
			worker->free.mask = sch_mask_lowest(worker->free.mask,
			    free > beyond ? free - beyond : 0);
	}
}

/* Subtracts the resources of a guaranteed job from the segments of its plan. A
 * job with tasks outside the plan, for example after the plan was moved, counts
 * as a borrower. */
static void
allocate_segments(struct sch *sch, uint32_t j)
{
	struct sch_job *job = &sch->jobs[j];
	uint32_t p = sch_index_get(&sch->promise_index, job->row->promise);
	uint32_t pass;
	uint32_t t;

	if (p == SCH_NONE || job->row->account != sch->promises[p].row->account)
		return;
	for (pass = 0; pass < 2; pass++)
		for (t = job->first_task; t != SCH_NONE;
		     t = sch->tasks[t].next_in_job) {
			const struct sch_task *task = &sch->tasks[t];
			struct sch_segment *segment = NULL;
			uint32_t s;

			for (s = 0; s < sch->promises[p].segment_count; s++) {
				segment =
				    &sch->segments
					 [sch->promises[p].first_segment + s];
				if (segment->worker == task->worker)
					break;
			}
			if (s == sch->promises[p].segment_count ||
			    (task->mask & ~segment->mask) != 0)
				return;
			if (pass == 0)
				continue;
			segment->claimable.mask &= ~task->mask;
			segment->claimable.cores -= job->row->shape.cores_milli;
			segment->claimable.memory -= job->row->shape.memory_mb;
		}
	job->promise = p;
	sch->promises[p].guaranteed_jobs++;
}

/* Estimates when a job ends (ms). A job past its estimate is assumed to need
 * another quarter of the time that it has run so far. */
static int64_t
expected_end(const struct sch *sch, const struct sch_job *job)
{
	int64_t started = job->row->started_ms;
	int64_t end;

	if (started == 0)
		started = sch->now_ms;
	else if (job->row->checkpoint_ms > started)
		started = job->row->checkpoint_ms;
	end = started + job->run_ms - job->row->progress_ms;
	if (end < sch->now_ms)
		end = sch->now_ms + (sch->now_ms - started) / 4 + 1000;
	return end;
}

/* Estimates the ends of placed jobs and workers, and marks the jobs that others
 * are being preempted for. */
static void
load_expected_ends(struct sch *sch)
{
	uint32_t j;
	uint32_t t;

	for (j = 0; j < sch->job_count; j++) {
		struct sch_job *job = &sch->jobs[j];

		if (job->first_task == SCH_NONE)
			continue;
		if (job->row->promise != 0)
			allocate_segments(sch, j);
		job->end_ms = expected_end(sch, job);
		if (job->row->state == BD_JOB_PREEMPTING &&
		    job->row->reason == BD_REASON_RECLAIMED) {
			uint32_t other = sch_index_get(
			    &sch->job_index, job->row->preempted_for);

			if (other != SCH_NONE)
				sch->jobs[other].reclaim_pending = true;
		}
		for (t = job->first_task; t != SCH_NONE;
		     t = sch->tasks[t].next_in_job) {
			struct sch_worker *worker;

			if (sch->tasks[t].worker == SCH_NONE)
				continue;
			worker = &sch->workers[sch->tasks[t].worker];
			if (worker->end_ms < job->end_ms)
				worker->end_ms = job->end_ms;
		}
	}
}

/*
 * Loads the view of the tables that scheduling decisions use. Must be called
 * within a read section; the view is valid until that section ends. Makes one
 * pass over each table. Workers, promises, jobs and tasks beyond the limits of
 * the view are left out.
 */
void
sch_view_load(struct sch *sch, int64_t now_ms)
{
	const struct bd_config *config =
	    bd_config_lookup(sch->spec.board, BD_CONFIG_ID);
	uint32_t i;

	sch->now_ms = now_ms;
	sch->config = config == NULL ? &sch->config_default : config;
	sch_index_reset(&sch->worker_index);
	sch_index_reset(&sch->job_index);
	sch_index_reset(&sch->promise_index);
	sch_index_reset(&sch->account_index);
	load_workers(sch);
	load_racks(sch);
	load_accounts(sch);
	load_promises(sch);
	load_jobs(sch);
	load_tasks(sch);
	limit_free_accels(sch);
	load_expected_ends(sch);
	for (i = 0; i < sch->account_count; i++)
		sch_excess_share_update(sch, i);
	sch->failed_need_count = 0;
}
