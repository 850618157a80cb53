#include <assert.h>
#include <string.h>

#include "scheduler_internal.h"

static void apply_placement(struct sch *sch, uint32_t job, uint32_t promise,
    const struct sch_assignment *assignments);
static bool is_known_failure(const struct sch *sch, uint32_t job);
static void remember_failure(struct sch *sch, uint32_t job);
static int claim_job(struct sch *sch, uint32_t job, bool matching);
static int claim_urgent(struct sch *sch, bool matching);
static int claim_others(struct sch *sch, bool matching);
static int claim_all(struct sch *sch);
static bool must_wait_as_suspect(const struct sch *sch, uint32_t job);
static int borrow_job(struct sch *sch, uint32_t job);
static int borrow_all(struct sch *sch, uint32_t *starving);
static bool starved_longer(const struct sch *sch, uint32_t job, uint32_t other);

/* Applies a placement to the view, for the rest of this decision and for the
 * later decisions of the step. */
static void
apply_placement(struct sch *sch, uint32_t job, uint32_t promise,
    const struct sch_assignment *assignments)
{
	struct sch_job *entry = &sch->jobs[job];
	const struct bd_shape *shape = &entry->row->shape;
	struct sch_account *account = &sch->accounts[entry->account];
	int64_t end_ms = sch->now_ms + entry->run_ms;
	uint32_t i;
	uint32_t s;

	entry->decided = true;
	entry->end_ms = end_ms;
	entry->promise = promise;
	for (i = 0; i < shape->members; i++) {
		struct sch_worker *worker =
		    &sch->workers[assignments[i].worker];
		struct sch_task *task;

		worker->free.mask &= ~assignments[i].mask;
		worker->free.cores -= shape->cores_milli;
		worker->free.memory -= shape->memory_mb;
		if (worker->end_ms < end_ms)
			worker->end_ms = end_ms;
		if (entry->row->crashes > 0 && !worker->apart) {
			worker->apart = true;
			sch->apart_count++;
		}
		for (s = promise == SCH_NONE ? SCH_NONE : worker->first_segment;
		     s != SCH_NONE; s = sch->segments[s].next_on_worker) {
			struct sch_segment *segment = &sch->segments[s];

			if (segment->promise != promise)
				continue;
			segment->claimable.mask &= ~assignments[i].mask;
			segment->claimable.cores -= shape->cores_milli;
			segment->claimable.memory -= shape->memory_mb;
		}
		if (sch->task_count == sch->limits.tasks)
			continue;
		task = &sch->tasks[sch->task_count];
		task->job = job;
		task->worker = assignments[i].worker;
		task->mask = assignments[i].mask;
		task->next_on_worker = worker->first_task;
		task->next_in_job = entry->first_task;
		worker->first_task = sch->task_count;
		entry->first_task = sch->task_count++;
		entry->task_count++;
	}
	if (promise != SCH_NONE)
		sch->promises[promise].guaranteed_jobs++;
	account->held_accels += (uint64_t)shape->members * shape->accels;
	account->held_cores += (uint64_t)shape->members * shape->cores_milli;
	sch_excess_share_update(sch, entry->account);
}

/* Proposes a placement and applies it to the view. The job is guaranteed in the
 * plan of a promise, or a borrower if promise is SCH_NONE. Returns the sink's
 * status. */
int
sch_place_propose(struct sch *sch, uint32_t job, uint32_t promise,
    const struct sch_assignment *assignments)
{
	const struct bd_job *row = sch->jobs[job].row;
	struct rec rec = {.kind = REC_PLACE};
	struct rec_place *body = &rec.body.place;
	uint32_t i;

	body->job = row->id;
	body->epoch = row->epoch;
	body->member_count = row->shape.members;
	if (promise != SCH_NONE)
		body->promise = sch->promises[promise].row->id;
	for (i = 0; i < row->shape.members; i++) {
		const struct sch_worker *worker =
		    &sch->workers[assignments[i].worker];

		/* Placements must not overlap or exceed the worker's free cores
		 * and memory. */
		assert((assignments[i].mask & ~worker->free.mask) == 0);
		assert(worker->free.cores >= row->shape.cores_milli);
		body->members[i].worker = worker->row->id;
		body->members[i].accel_mask = assignments[i].mask;
	}
	apply_placement(sch, job, promise, assignments);
	if (promise != SCH_NONE)
		sch_claim_stats_record(sch, promise);
	return sch_propose(sch, &rec);
}

/* Returns true if a search for a job is known to fail, because it has failed
 * for a job that needs no more and runs no longer. Free capacity only shrinks
 * within a decision, and a reservation that blocks a job blocks every longer
 * one. */
static bool
is_known_failure(const struct sch *sch, uint32_t job)
{
	const struct sch_job *entry = &sch->jobs[job];
	struct sch_need need = sch_need_of(&entry->row->shape);
	uint32_t i;

	if (entry->row->cross_region != 0)
		return false;
	for (i = 0; i < sch->failed_need_count; i++)
		if (sch_need_covers(&need, &sch->failed_needs[i]) &&
		    entry->run_ms >= sch->failed_need_run_ms[i])
			return true;
	return false;
}

/* Records that the search for a job has failed. A job on hold, or that has
 * failed on workers, may use fewer workers than others, so it is not
 * recorded. */
static void
remember_failure(struct sch *sch, uint32_t job)
{
	const struct sch_job *entry = &sch->jobs[job];

	if (entry->row->hold_until_ms > sch->now_ms ||
	    entry->row->failed_workers[0] != 0 ||
	    sch->failed_need_count == SCH_FAILED_NEEDS_MAX)
		return;
	sch->failed_needs[sch->failed_need_count] =
	    sch_need_of(&entry->row->shape);
	sch->failed_need_run_ms[sch->failed_need_count] = entry->run_ms;
	sch->failed_need_count++;
}

/*
 * Claims a guarantee for one job. With matching, only plans of which it uses at
 * least half are considered. A job that uses less should borrow, because it
 * would fragment a larger plan. While its account holds no more than it is
 * promised, such a job tries to borrow first, and only then to claim a plan.
 */
static int
claim_job(struct sch *sch, uint32_t job, bool matching)
{
	const struct sch_job *entry = &sch->jobs[job];
	const struct sch_account *account = &sch->accounts[entry->account];
	struct sch_assignment assignments[BD_GANG_MEMBERS_MAX];
	bool done;

	/* A plan may be shared, a suspect has to be apart. */
	if (entry->decided || account->first_promise == SCH_NONE ||
	    entry->row->crashes > 0)
		return CW_OK;
	if (!matching && !entry->reclaim_pending &&
	    !is_known_failure(sch, job) &&
	    account->held_accels +
		    (uint64_t)entry->row->shape.members *
			entry->row->shape.accels <=
		account->promised_accels) {
		if (sch_placement_search(sch, job, assignments))
			return sch_place_propose(
			    sch, job, SCH_NONE, assignments);
		remember_failure(sch, job);
	}
	return sch_claim_guarantee(sch, job, matching, &done);
}

static int
claim_urgent(struct sch *sch, bool matching)
{
	uint32_t i;
	int code = CW_OK;

	for (i = 0;
	     i < sch->urgent_count && code == CW_OK && sch_has_budget(sch); i++)
		code = claim_job(sch, sch->urgent[i], matching);
	return code;
}

static int
claim_others(struct sch *sch, bool matching)
{
	uint32_t job;
	int code = CW_OK;

	sch_order_rewind(sch);
	while (code == CW_OK && sch_has_budget(sch) &&
	    (job = sch_order_next(sch)) != SCH_NONE)
		if (sch->jobs[job].row->class_number != BD_CLASS_URGENT)
			code = claim_job(sch, job, matching);
	return code;
}

/* Claims guarantees for all waiting jobs, before borrowers are placed in order.
 * Plans of different accounts are disjoint, so only the order within an account
 * matters here. Jobs of the urgent class go before jobs that aging has raised
 * to the same level, because they may displace these. Matching plans are
 * claimed for all jobs before any job borrows: a borrower could take the plan
 * that was just cleared for a job later in the order. */
static int
claim_all(struct sch *sch)
{
	int code = claim_urgent(sch, true);

	if (code == CW_OK)
		code = claim_urgent(sch, false);
	if (code == CW_OK)
		code = claim_others(sch, true);
	if (code == CW_OK)
		code = claim_others(sch, false);
	return code;
}

/* Returns true for a suspect if the others use all workers that may be kept for
 * suspects. */
static bool
must_wait_as_suspect(const struct sch *sch, uint32_t job)
{
	uint64_t limit =
	    (uint64_t)sch->worker_count * SCH_SUSPECTS_CAP_MILLI / 1000;

	return sch->jobs[job].row->crashes > 0 && sch->apart_count > 0 &&
	    sch->apart_count + sch->jobs[job].row->shape.members > limit;
}

/* Places a waiting job as a borrower if it fits. Returns the sink's status. */
static int
borrow_job(struct sch *sch, uint32_t job)
{
	struct sch_assignment assignments[BD_GANG_MEMBERS_MAX];

	if (is_known_failure(sch, job) || must_wait_as_suspect(sch, job))
		return CW_OK;
	if (!sch_placement_search(sch, job, assignments)) {
		remember_failure(sch, job);
		return CW_OK;
	}
	return sch_place_propose(sch, job, SCH_NONE, assignments);
}

/* Returns true if a job is starving and has waited longer than other, which may
 * be SCH_NONE. */
static bool
starved_longer(const struct sch *sch, uint32_t job, uint32_t other)
{
	const struct bd_job *row = sch->jobs[job].row;
	const struct bd_job *other_row;

	if (sch->now_ms - row->waiting_since_ms < SCH_STARVATION_MS)
		return false;
	if (other == SCH_NONE)
		return true;
	other_row = sch->jobs[other].row;
	if (row->waiting_since_ms != other_row->waiting_since_ms)
		return row->waiting_since_ms < other_row->waiting_since_ms;
	return row->id < other_row->id;
}

/* Places waiting jobs as borrowers in order. Stores in *starving the starving
 * job that has waited longest among those left waiting, if any. */
static int
borrow_all(struct sch *sch, uint32_t *starving)
{
	uint32_t job;
	int code = CW_OK;

	sch_order_rewind(sch);
	while (code == CW_OK && sch_has_budget(sch) &&
	    (job = sch_order_next(sch)) != SCH_NONE) {
		if (sch->jobs[job].decided)
			continue;
		code = borrow_job(sch, job);
		if (!sch->jobs[job].decided &&
		    starved_longer(sch, job, *starving))
			*starving = job;
	}
	return code;
}

/* Places waiting jobs: first those that can claim a guarantee, then the job
 * that holds the reservation, then all others as borrowers in order. Without a
 * reservation, creates one for the job that has starved longest. Returns the
 * sink's status. */
int
sch_place_run(struct sch *sch)
{
	uint32_t starving = SCH_NONE;
	uint32_t job;
	int code;

	code = sch_unschedulable_run(sch);
	sch_reserve_refresh(sch);
	sch_order_build(sch);
	if (code == CW_OK)
		code = claim_all(sch);
	job = sch_index_get(&sch->job_index, sch->reservation.job);
	if (code == CW_OK && sch->reservation.job != 0 && job != SCH_NONE &&
	    !sch->jobs[job].decided && sch_has_budget(sch))
		code = borrow_job(sch, job);
	if (code == CW_OK)
		code = borrow_all(sch, &starving);
	if (code == CW_OK && sch->reservation.job == 0 && starving != SCH_NONE)
		sch_reserve_create(sch, starving);
	return code;
}
