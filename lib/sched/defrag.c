#include <assert.h>
#include <string.h>

#include "scheduler_internal.h"

/* Jobs that one decision may move. */
#define DEFRAG_JOBS_MAX 4
#define DEFRAG_RATE_WINDOW_MS (60 * 60 * 1000)
/* Assumed time to checkpoint, stop and restart a moved gang. */
#define DEFRAG_MOVE_COST_MS (30 * 1000)
/* Jobs that started more recently are not moved: their placement already took
 * the waiting gang into account. */
#define DEFRAG_MIN_RUN_MS (2 * 60 * 1000)
/* The gain must exceed the cost by this factor because both are estimates. */
#define DEFRAG_MIN_GAIN_RATIO 2

/* Rack to make room in, and the jobs to move out of it. */
struct defrag_candidate {
	int64_t cost; /* accelerator-milliseconds */
	uint32_t rack;
	uint32_t count;
	uint32_t jobs[DEFRAG_JOBS_MAX];
};

static uint32_t remaining_moves(const struct sch *sch);
static void record_moves(struct sch *sch, uint32_t count);
static bool is_movable(const struct sch *sch, uint32_t job);
static void load_free_resources(struct sch *sch);
static void release_job(struct sch *sch, uint32_t job);
static uint32_t cheapest_movable_job(
    struct sch *sch, const struct sch_rack *rack);
static bool can_relocate(struct sch *sch,
    const struct defrag_candidate *candidate, const struct sch_need *need);
static bool evaluate_rack(struct sch *sch, uint32_t r,
    const struct sch_need *need, uint32_t limit,
    struct defrag_candidate *candidate);

/* Returns how many moves the hourly limit still allows. */
static uint32_t
remaining_moves(const struct sch *sch)
{
	uint32_t limit = sch->config->moves_per_hour;
	uint32_t used = 0;
	uint32_t i;

	if (limit > SCH_MOVES_MAX)
		limit = SCH_MOVES_MAX;
	for (i = 0; i < SCH_MOVES_MAX; i++)
		if (sch->move_times_ms[i] != 0 &&
		    sch->now_ms - sch->move_times_ms[i] < DEFRAG_RATE_WINDOW_MS)
			used++;
	return used < limit ? limit - used : 0;
}

/* Counts moves towards the hourly limit. */
static void
record_moves(struct sch *sch, uint32_t count)
{
	for (; count > 0; count--) {
		sch->move_times_ms[sch->move_times_next] = sch->now_ms;
		sch->move_times_next =
		    (sch->move_times_next + 1) % SCH_MOVES_MAX;
	}
}

/* Only borrowers that are not urgent and have run for a while may be moved.
 * Jobs with the present trial stamp are selected already. */
static bool
is_movable(const struct sch *sch, uint32_t job)
{
	const struct sch_job *entry = &sch->jobs[job];

	return !entry->victim && entry->promise == SCH_NONE &&
	    entry->trial_stamp != sch->trial_stamp &&
	    entry->row->state == BD_JOB_RUNNING &&
	    entry->row->class_number != BD_CLASS_URGENT &&
	    sch->now_ms - entry->row->started_ms >= DEFRAG_MIN_RUN_MS;
}

/* Loads into sch->available the free resources that a moved job or the gang may
 * use: not those of workers on probation, and not those claimed for waiting
 * guaranteed jobs. */
static void
load_free_resources(struct sch *sch)
{
	uint32_t w;

	for (w = 0; w < sch->worker_count; w++) {
		const struct sch_worker *worker = &sch->workers[w];
		struct sch_resources *resources = &sch->available[w];

		memset(resources, 0, sizeof(*resources));
		if (!worker->usable || worker->probation)
			continue;
		*resources = worker->free;
		resources->mask &= ~worker->claimed_accels;
	}
}

/* Selects a job to be moved: adds its resources to sch->available. */
static void
release_job(struct sch *sch, uint32_t job)
{
	struct sch_job *entry = &sch->jobs[job];
	uint32_t t;

	entry->trial_stamp = sch->trial_stamp;
	for (t = entry->first_task; t != SCH_NONE;
	     t = sch->tasks[t].next_in_job) {
		struct sch_resources *resources;

		if (sch->tasks[t].worker == SCH_NONE)
			continue;
		resources = &sch->available[sch->tasks[t].worker];
		resources->mask |= sch->tasks[t].mask;
		resources->cores += entry->row->shape.cores_milli;
		resources->memory += entry->row->shape.memory_mb;
	}
}

/* Returns the movable job of a rack with the lowest preemption cost, or
 * SCH_NONE. */
static uint32_t
cheapest_movable_job(struct sch *sch, const struct sch_rack *rack)
{
	uint32_t best = SCH_NONE;
	int64_t best_cost = INT64_MAX;
	uint32_t w;
	uint32_t t;

	for (w = rack->first; w < rack->first + rack->count; w++) {
		if (!sch->workers[w].usable)
			continue;
		for (t = sch->workers[w].first_task; t != SCH_NONE;
		     t = sch->tasks[t].next_on_worker) {
			uint32_t job = sch->tasks[t].job;
			int64_t cost;

			if (!is_movable(sch, job))
				continue;
			cost = sch_preemption_cost(sch, job);
			if (cost < best_cost) {
				best = job;
				best_cost = cost;
			}
		}
	}
	return best;
}

/* Returns true if the jobs to be moved still fit somewhere once the gang is
 * placed in the candidate rack. */
static bool
can_relocate(struct sch *sch, const struct defrag_candidate *candidate,
    const struct sch_need *need)
{
	struct sch_assignment assignments[BD_GANG_MEMBERS_MAX];
	uint32_t i;
	uint32_t r;

	if (!sch_rack_allocate(sch->available, &sch->racks[candidate->rack],
		need, assignments))
		return false;
	for (i = 0; i < candidate->count; i++) {
		struct sch_need job_need =
		    sch_need_of(&sch->jobs[candidate->jobs[i]].row->shape);

		for (r = 0; r < sch->rack_count; r++)
			if (sch_rack_allocate(sch->available, &sch->racks[r],
				&job_need, assignments))
				break;
		if (r == sch->rack_count)
			return false;
	}
	return true;
}

/* Selects the cheapest jobs to move out of a rack so that the gang fits there.
 * Returns false if that takes no move or more than limit moves, or if the
 * selected jobs do not fit elsewhere. */
static bool
evaluate_rack(struct sch *sch, uint32_t r, const struct sch_need *need,
    uint32_t limit, struct defrag_candidate *candidate)
{
	const struct sch_rack *rack = &sch->racks[r];

	memset(candidate, 0, sizeof(*candidate));
	candidate->rack = r;
	sch->trial_stamp++;
	load_free_resources(sch);
	for (;;) {
		uint32_t members = 0;
		uint32_t job;
		uint32_t w;

		for (w = rack->first; w < rack->first + rack->count; w++)
			members +=
			    sch_resources_fit_count(&sch->available[w], need);
		if (members >= need->members)
			return candidate->count > 0 &&
			    can_relocate(sch, candidate, need);
		if (candidate->count == limit)
			return false;
		job = cheapest_movable_job(sch, rack);
		if (job == SCH_NONE)
			return false;
		release_job(sch, job);
		candidate->jobs[candidate->count++] = job;
		candidate->cost += sch_preemption_cost(sch, job) +
		    (int64_t)DEFRAG_MOVE_COST_MS *
			sch->jobs[job].row->shape.members *
			(sch->jobs[job].row->shape.accels + 1);
	}
}

/*
 * Moves a few running jobs to make room in one rack for the gang that holds the
 * reservation, if the gang gains clearly more than the moves cost (both in
 * accelerator-milliseconds). The freed capacity is then reserved for the gang.
 * Returns the sink's status.
 */
int
sch_defrag_run(struct sch *sch)
{
	uint32_t job = sch_index_get(&sch->job_index, sch->reservation.job);
	uint32_t limit = remaining_moves(sch);
	struct sch_assignment assignments[BD_GANG_MEMBERS_MAX];
	struct defrag_candidate best = {.cost = INT64_MAX};
	struct defrag_candidate candidate;
	struct sch_need need;
	int64_t gain;
	uint32_t i;
	uint32_t r;
	int code = CW_OK;

	if (limit > DEFRAG_JOBS_MAX)
		limit = DEFRAG_JOBS_MAX;
	if (sch->reservation.job == 0 || job == SCH_NONE || limit == 0 ||
	    sch->jobs[job].decided)
		return CW_OK;
	need = sch_need_of(&sch->jobs[job].row->shape);
	gain = (sch->reservation.start_ms - sch->now_ms) * need.members *
	    need.accels;
	for (r = 0; r < sch->rack_count; r++)
		if (evaluate_rack(sch, r, &need, limit, &candidate) &&
		    candidate.cost < best.cost)
			best = candidate;
	if (best.cost == INT64_MAX || gain / DEFRAG_MIN_GAIN_RATIO < best.cost)
		return CW_OK;
	for (i = 0; i < best.count && code == CW_OK; i++)
		code =
		    sch_preempt(sch, best.jobs[i], job, BD_REASON_DEFRAGMENTED);
	record_moves(sch, best.count);
	sch->trial_stamp++;
	load_free_resources(sch);
	for (i = 0; i < best.count; i++)
		release_job(sch, best.jobs[i]);
	for (i = 0; i < sch->worker_count; i++)
		sch->workers[i].reserved = false;
	if (sch_rack_allocate(
		sch->available, &sch->racks[best.rack], &need, assignments))
		sch_reserve_workers(sch, job,
		    sch->now_ms + sch->config->reclaim_ms, assignments,
		    need.members);
	return code;
}
