#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "scheduler_internal.h"

static int check_accelerators(struct sch *sch);
static int check_plans(struct sch *sch);
static int check_guaranteed(struct sch *sch);
static int check_gangs(struct sch *sch);

/* Each accelerator is held by at most one task, and tasks hold only
 * accelerators that exist. */
static int
check_accelerators(struct sch *sch)
{
	uint32_t w;
	uint32_t t;

	for (w = 0; w < sch->worker_count; w++) {
		const struct sch_worker *worker = &sch->workers[w];
		uint32_t held = 0;

		for (t = worker->first_task; t != SCH_NONE;
		     t = sch->tasks[t].next_on_worker) {
			uint32_t mask = sch->tasks[t].mask;

			if ((mask & held) != 0 ||
			    (mask & ~worker->capacity.mask) != 0)
				return cw_error_set(SCH_EGUARANTEE,
				    "worker %s: accelerators %#x are held "
				    "twice or do not exist",
				    worker->row->name, mask);
			held |= mask;
		}
	}
	return CW_OK;
}

/* Plans are disjoint, and the plans on a worker that is up do not exceed its
 * cores and memory. */
static int
check_plans(struct sch *sch)
{
	uint32_t w;
	uint32_t s;

	for (w = 0; w < sch->worker_count; w++) {
		const struct sch_worker *worker = &sch->workers[w];
		uint32_t planned = 0;

		for (s = worker->first_segment; s != SCH_NONE;
		     s = sch->segments[s].next_on_worker) {
			if ((sch->segments[s].mask & planned) != 0)
				return cw_error_set(SCH_EGUARANTEE,
				    "worker %s: accelerators %#x are in two "
				    "plans",
				    worker->row->name,
				    sch->segments[s].mask & planned);
			planned |= sch->segments[s].mask;
		}
		if (worker->row->state == BD_WORKER_UP &&
		    (worker->planned.cores > worker->capacity.cores ||
			worker->planned.memory > worker->capacity.memory))
			return cw_error_set(SCH_EGUARANTEE,
			    "worker %s: plans ask for more cores or memory "
			    "than it has",
			    worker->row->name);
	}
	return CW_OK;
}

/* Guaranteed jobs belong to the promise's account and do not exceed the plan.
 * Every other job in a plan is therefore a borrower, which can be preempted. */
static int
check_guaranteed(struct sch *sch)
{
	uint32_t s;
	uint32_t j;

	for (j = 0; j < sch->job_count; j++) {
		const struct bd_job *row = sch->jobs[j].row;
		uint32_t p;

		if (row->promise == 0 || sch->jobs[j].first_task == SCH_NONE)
			continue;
		p = sch_index_get(&sch->promise_index, row->promise);
		if (p != SCH_NONE &&
		    sch->promises[p].row->account != row->account)
			return cw_error_set(SCH_EGUARANTEE,
			    "job %llx is guaranteed in the plan of another "
			    "account",
			    (unsigned long long)row->id);
	}
	for (s = 0; s < sch->segment_count; s++)
		if (sch->segments[s].claimable.cores < 0 ||
		    sch->segments[s].claimable.memory < 0)
			return cw_error_set(SCH_EGUARANTEE,
			    "worker %s: guaranteed jobs hold more of a plan "
			    "than it has",
			    sch->workers[sch->segments[s].worker].row->name);
	return CW_OK;
}

/* A gang has all of its members placed, or none while it waits. */
static int
check_gangs(struct sch *sch)
{
	uint32_t j;

	for (j = 0; j < sch->job_count; j++) {
		const struct sch_job *job = &sch->jobs[j];
		uint32_t want = job->row->state == BD_JOB_WAITING
		    ? 0
		    : job->row->shape.members;

		if (job->task_count != want)
			return cw_error_set(SCH_EGUARANTEE,
			    "job %llx has %u of %u members placed",
			    (unsigned long long)job->row->id, job->task_count,
			    want);
	}
	return CW_OK;
}

/* Checks the loaded view. See sch_guarantee_check. */
int
sch_guarantee_check_view(struct sch *sch)
{
	int code = check_accelerators(sch);

	if (code == CW_OK)
		code = check_plans(sch);
	if (code == CW_OK)
		code = check_guaranteed(sch);
	if (code == CW_OK)
		code = check_gangs(sch);
	return code;
}

/*
 * Verifies the guarantee invariant over all tables: no accelerator is held by
 * two tasks, plans are disjoint and within the size of their workers,
 * guaranteed jobs belong to the account of their plan and fit in it, and every
 * gang is complete. Returns CW_OK, SCH_EGUARANTEE with a message that names the
 * first violation, or SCH_ENOMEM. Must not be called while another thread
 * changes the tables.
 */
int
sch_guarantee_check(const struct bd_board *board)
{
	struct sch_spec spec = {.board = board};
	struct sch_limits limits = {
	    .workers = bd_row_count(board, BD_TABLE_worker) + 1,
	    .jobs = bd_row_count(board, BD_TABLE_job) + 1,
	    .tasks = bd_row_count(board, BD_TABLE_task) + 1,
	    .promises = bd_row_count(board, BD_TABLE_promise) + 1,
	    .segments =
		bd_row_count(board, BD_TABLE_promise) * BD_GANG_MEMBERS_MAX + 1,
	    .accounts = SCH_ACCOUNTS_MAX,
	};
	struct sch *sch;
	int code = sch_create_sized(&sch, &spec, &limits);

	if (code != CW_OK)
		return code;
	bd_read_begin();
	sch_view_load(sch, 0);
	code = sch_guarantee_check_view(sch);
	bd_read_end();
	sch_destroy(sch);
	return code;
}
