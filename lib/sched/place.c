#include <assert.h>
#include <string.h>

#include "scheduler_internal.h"

static void hold_room(struct sch *sch, uint32_t job, uint32_t promise,
    const struct sch_spot *spots);
static bool is_known_failure(const struct sch *sch, uint32_t job);
static void remember_failure(struct sch *sch, uint32_t job);
static int claim_one(struct sch *sch, uint32_t job, bool matching);
static int claim_urgent(struct sch *sch, bool matching);
static int claim_others(struct sch *sch, bool matching);
static int claim_all(struct sch *sch);
static int borrow_one(struct sch *sch, uint32_t job);
static int borrow_all(struct sch *sch, uint32_t *starving);
static bool starves_more(const struct sch *sch, uint32_t job, uint32_t than);

/* Takes the place of a gang in the view, for the decisions that follow. */
static void
hold_room(struct sch *sch, uint32_t job, uint32_t promise,
    const struct sch_spot *spots)
{
	struct sch_job *entry = &sch->jobs[job];
	const struct bd_shape *shape = &entry->row->shape;
	struct sch_account *account = &sch->accounts[entry->account];
	int64_t end_ms = sch->now_ms + entry->run_ms;
	uint32_t i;
	uint32_t c;

	entry->settled = true;
	entry->end_ms = end_ms;
	entry->promise = promise;
	for (i = 0; i < shape->members; i++) {
		struct sch_worker *worker = &sch->workers[spots[i].worker];
		struct sch_task *task;

		worker->free.mask &= ~spots[i].mask;
		worker->free.cores -= shape->cores_milli;
		worker->free.memory -= shape->memory_mb;
		if (worker->end_ms < end_ms)
			worker->end_ms = end_ms;
		for (c = promise == SCH_NONE ? SCH_NONE : worker->first_cell;
		     c != SCH_NONE; c = sch->cells[c].next_of_worker) {
			struct sch_cell *cell = &sch->cells[c];

			if (cell->promise != promise)
				continue;
			cell->free.mask &= ~spots[i].mask;
			cell->free.cores -= shape->cores_milli;
			cell->free.memory -= shape->memory_mb;
		}
		if (sch->task_count == sch->limits.tasks)
			continue;
		task = &sch->tasks[sch->task_count];
		task->job = job;
		task->worker = spots[i].worker;
		task->mask = spots[i].mask;
		task->next_of_worker = worker->first_task;
		task->next_of_job = entry->first_task;
		worker->first_task = sch->task_count;
		entry->first_task = sch->task_count++;
		entry->task_count++;
	}
	if (promise != SCH_NONE)
		sch->promises[promise].jobs++;
	account->accels += (uint64_t)shape->members * shape->accels;
	account->cores += (uint64_t)shape->members * shape->cores_milli;
	sch_share_update(sch, entry->account);
}

/* Proposes a placement, guaranteed in a promise's plan or borrowed where
 * promise is SCH_NONE, and takes the place in the view. */
int
sch_place_propose(struct sch *sch, uint32_t job, uint32_t promise,
    const struct sch_spot *spots)
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
		    &sch->workers[spots[i].worker];

		/* No decision may take what another one holds, or more cores
		 * or memory than there are. */
		assert((spots[i].mask & ~worker->free.mask) == 0);
		assert(worker->free.cores >= row->shape.cores_milli);
		body->members[i].worker = worker->row->id;
		body->members[i].accel_mask = spots[i].mask;
	}
	hold_room(sch, job, promise, spots);
	if (promise != SCH_NONE)
		sch_heat_note(sch, promise);
	return sch_propose(sch, &rec);
}

/* Room only shrinks within a decision, so a job fails at once where one that
 * needs no more, and that every reservation lets pass as well, has failed. */
static bool
is_known_failure(const struct sch *sch, uint32_t job)
{
	const struct sch_job *entry = &sch->jobs[job];
	struct sch_need need = sch_need_of(&entry->row->shape);
	uint32_t i;

	if (entry->row->cross_region != 0)
		return false;
	for (i = 0; i < sch->failed_count; i++)
		if (sch_need_covers(&need, &sch->failed[i]) &&
		    entry->run_ms >= sch->failed_run_ms[i])
			return true;
	return false;
}

static void
remember_failure(struct sch *sch, uint32_t job)
{
	const struct sch_job *entry = &sch->jobs[job];

	if (entry->row->hold_until_ms > sch->now_ms ||
	    entry->row->failures > 0 ||
	    sch->failed_count == SCH_FAILED_SHAPES_MAX)
		return;
	sch->failed[sch->failed_count] = sch_need_of(&entry->row->shape);
	sch->failed_run_ms[sch->failed_count] = entry->run_ms;
	sch->failed_count++;
}

/*
 * Claims a guarantee for one job. With matching only plans that it mostly
 * fills count. A job that fills little of its account's plans is better off as
 * a borrower, for inside a plan it would break a larger place. While the
 * account holds less than it is promised, such a job borrows at once and
 * claims only where there is nothing to borrow.
 */
static int
claim_one(struct sch *sch, uint32_t job, bool matching)
{
	const struct sch_job *entry = &sch->jobs[job];
	const struct sch_account *account = &sch->accounts[entry->account];
	struct sch_spot spots[BD_GANG_MAX];
	bool done;

	if (entry->settled || account->first_promise == SCH_NONE)
		return CW_OK;
	if (!matching && !entry->claims && !is_known_failure(sch, job) &&
	    account->accels +
		    (uint64_t)entry->row->shape.members *
			entry->row->shape.accels <=
		account->promised) {
		if (sch_embed(sch, job, spots))
			return sch_place_propose(sch, job, SCH_NONE, spots);
		remember_failure(sch, job);
	}
	return sch_claim(sch, job, matching, &done);
}

static int
claim_urgent(struct sch *sch, bool matching)
{
	uint32_t i;
	int code = CW_OK;

	for (i = 0;
	     i < sch->urgent_count && code == CW_OK && sch_has_budget(sch); i++)
		code = claim_one(sch, sch->urgent[i], matching);
	return code;
}

static int
claim_others(struct sch *sch, bool matching)
{
	uint32_t job;
	int code = CW_OK;

	sch_order_start(sch);
	while (code == CW_OK && sch_has_budget(sch) &&
	    (job = sch_order_pick(sch)) != SCH_NONE)
		if (sch->jobs[job].row->class_number != BD_CLASS_URGENT)
			code = claim_one(sch, job, matching);
	return code;
}

/* Guarantees come before all borrowing; plans of different accounts are
 * disjoint, so only the order within an account matters here. Jobs declared
 * urgent come before those that age has raised, which they may displace.
 * Matching plans are claimed for all jobs before one borrows: a borrower would
 * take the plan that was just cleared for a job later in the order. */
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

static int
borrow_one(struct sch *sch, uint32_t job)
{
	struct sch_spot spots[BD_GANG_MAX];

	if (is_known_failure(sch, job))
		return CW_OK;
	if (!sch_embed(sch, job, spots)) {
		remember_failure(sch, job);
		return CW_OK;
	}
	return sch_place_propose(sch, job, SCH_NONE, spots);
}

static bool
starves_more(const struct sch *sch, uint32_t job, uint32_t than)
{
	const struct bd_job *row = sch->jobs[job].row;
	const struct bd_job *other;

	if (sch->now_ms - row->waiting_since_ms < SCH_STARVE_MS)
		return false;
	if (than == SCH_NONE)
		return true;
	other = sch->jobs[than].row;
	if (row->waiting_since_ms != other->waiting_since_ms)
		return row->waiting_since_ms < other->waiting_since_ms;
	return row->id < other->id;
}

static int
borrow_all(struct sch *sch, uint32_t *starving)
{
	uint32_t job;
	int code = CW_OK;

	sch_order_start(sch);
	while (code == CW_OK && sch_has_budget(sch) &&
	    (job = sch_order_pick(sch)) != SCH_NONE) {
		if (sch->jobs[job].settled)
			continue;
		code = borrow_one(sch, job);
		if (!sch->jobs[job].settled &&
		    starves_more(sch, job, *starving))
			*starving = job;
	}
	return code;
}

/* Places waiting jobs: guarantees, then the gang that holds the reservation,
 * then all others in order. The job that has starved longest gets the
 * reservation when it is free. */
int
sch_place_run(struct sch *sch)
{
	uint32_t starving = SCH_NONE;
	uint32_t job;
	int code;

	code = sch_unfit_run(sch);
	sch_reserve_refresh(sch);
	sch_order_build(sch);
	if (code == CW_OK)
		code = claim_all(sch);
	job = sch_index_get(&sch->job_index, sch->reservation.job);
	if (code == CW_OK && sch->reservation.job != 0 && job != SCH_NONE &&
	    !sch->jobs[job].settled && sch_has_budget(sch))
		code = borrow_one(sch, job);
	if (code == CW_OK)
		code = borrow_all(sch, &starving);
	if (code == CW_OK && sch->reservation.job == 0 && starving != SCH_NONE)
		sch_reserve_make(sch, starving);
	return code;
}
