#include <assert.h>
#include <string.h>

#include "scheduler_internal.h"

/* Limits the binary search for the start time. */
#define RESERVE_SEARCH_STEPS_MAX 24

static void load_resources_at(struct sch *sch, int64_t at_ms, bool idle_only);
static bool assign_in_range(struct sch *sch, uint32_t first, uint32_t end,
    const struct sch_need *need, struct sch_assignment *assignments);
static bool fits_in_rack_at(struct sch *sch, const struct bd_job *row,
    int64_t at_ms, struct sch_assignment *assignments);
static bool fits_at(struct sch *sch, const struct bd_job *row, int64_t at_ms,
    struct sch_assignment *assignments);

/* Loads into sch->available the resources that are expected to be free at a
 * time, with idle_only those of workers without tasks. Accelerators that are
 * claimed for guarantees are excluded only at the present time. */
static void
load_resources_at(struct sch *sch, int64_t at_ms, bool idle_only)
{
	uint32_t w;
	uint32_t t;

	for (w = 0; w < sch->worker_count; w++) {
		const struct sch_worker *worker = &sch->workers[w];
		struct sch_resources *resources = &sch->available[w];

		memset(resources, 0, sizeof(*resources));
		if (!worker->usable || worker->probation)
			continue;
		*resources = worker->capacity;
		if (at_ms <= sch->now_ms)
			resources->mask &= ~worker->claimed_accels;
		for (t = worker->first_task; t != SCH_NONE;
		     t = sch->tasks[t].next_on_worker) {
			const struct sch_job *job =
			    &sch->jobs[sch->tasks[t].job];

			if (job->end_ms <= at_ms)
				continue;
			if (idle_only) {
				memset(resources, 0, sizeof(*resources));
				break;
			}
			resources->mask &= ~sch->tasks[t].mask;
			resources->cores -= job->row->shape.cores_milli;
			resources->memory -= job->row->shape.memory_mb;
		}
	}
}

/* Assigns all members to the racks first to end - 1, first fit. Returns false
 * if they do not fit. */
static bool
assign_in_range(struct sch *sch, uint32_t first, uint32_t end,
    const struct sch_need *need, struct sch_assignment *assignments)
{
	struct sch_need remaining = *need;
	uint32_t assigned = 0;
	uint32_t r;
	uint32_t w;

	for (r = first; r < end; r++) {
		const struct sch_rack *rack = &sch->racks[r];

		for (w = rack->first;
		     w < rack->first + rack->count && remaining.members > 0;
		     w++) {
			uint32_t fit = sch_resources_fit_count(
			    &sch->available[w], &remaining);

			for (; fit > 0; fit--) {
				assignments[assigned].worker = w;
				assignments[assigned++].mask =
				    sch_resources_allocate(
					&sch->available[w], &remaining);
				remaining.members--;
			}
		}
	}
	return remaining.members == 0;
}

static bool
fits_in_rack_at(struct sch *sch, const struct bd_job *row, int64_t at_ms,
    struct sch_assignment *assignments)
{
	struct sch_need need = sch_need_of(&row->shape);
	uint32_t r;

	load_resources_at(sch, at_ms, row->crashes > 0);
	for (r = 0; r < sch->rack_count; r++)
		if (sch_rack_allocate(
			sch->available, &sch->racks[r], &need, assignments))
			return true;
	return false;
}

/* Returns true if the job is expected to fit at a time in one rack, or else in
 * one region (in all of them if it allows that), and stores where. */
static bool
fits_at(struct sch *sch, const struct bd_job *row, int64_t at_ms,
    struct sch_assignment *assignments)
{
	struct sch_need need = sch_need_of(&row->shape);
	uint32_t first = 0;

	if (fits_in_rack_at(sch, row, at_ms, assignments))
		return true;
	while (first < sch->rack_count) {
		uint32_t end = first;

		while (end < sch->rack_count &&
		    (row->cross_region != 0 ||
			sch->racks[end].region == sch->racks[first].region))
			end++;
		load_resources_at(sch, at_ms, row->crashes > 0);
		if (assign_in_range(sch, first, end, &need, assignments))
			return true;
		first = end;
	}
	return false;
}

/*
 * Estimates the time (ms) at which a job could start if no other job were
 * placed, and where. Returns 0 if it does not fit on the usable workers even
 * when they are idle. The estimate is as accurate as the expected run times.
 */
int64_t
sch_start_estimate(struct sch *sch, const struct bd_job *row,
    struct sch_assignment *assignments, uint32_t *assignment_count)
{
	int64_t low = sch->now_ms;
	int64_t high = sch->now_ms;
	uint32_t w;
	int i;

	for (w = 0; w < sch->worker_count; w++)
		if (sch->workers[w].end_ms > high)
			high = sch->workers[w].end_ms;
	*assignment_count = 0;
	if (!fits_at(sch, row, high, assignments))
		return 0;
	for (i = 0; i < RESERVE_SEARCH_STEPS_MAX && low < high; i++) {
		int64_t middle = low + (high - low) / 2;

		if (fits_at(sch, row, middle, assignments))
			high = middle;
		else
			low = middle + 1;
	}
	if (!fits_at(sch, row, high, assignments))
		return 0;
	*assignment_count = row->shape.members;
	return high;
}

/* Reserves the workers in assignments for a job until it is placed. */
void
sch_reserve_workers(struct sch *sch, uint32_t job, int64_t start_ms,
    const struct sch_assignment *assignments, uint32_t count)
{
	struct sch_reservation *reservation = &sch->reservation;
	uint32_t i;

	memset(reservation, 0, sizeof(*reservation));
	reservation->job = sch->jobs[job].row->id;
	reservation->start_ms = start_ms;
	reservation->created_ms = sch->now_ms;
	for (i = 0; i < count; i++) {
		struct sch_worker *worker =
		    &sch->workers[assignments[i].worker];

		if (worker->reserved)
			continue;
		worker->reserved = true;
		reservation->workers[reservation->worker_count++] =
		    worker->row->id;
	}
}

/* Creates the reservation for a starving job, if it fits on the usable workers
 * at all. */
void
sch_reserve_create(struct sch *sch, uint32_t job)
{
	struct sch_assignment assignments[BD_GANG_MEMBERS_MAX];
	uint32_t count;
	int64_t start_ms =
	    sch_start_estimate(sch, sch->jobs[job].row, assignments, &count);

	if (start_ms != 0)
		sch_reserve_workers(sch, job, start_ms, assignments, count);
}

/* Marks the reserved workers in a new view. Drops the reservation when the job
 * no longer waits, one of the workers is unusable, or they have become too
 * small for the job; the decision may then create a new one. */
void
sch_reserve_refresh(struct sch *sch)
{
	struct sch_reservation *reservation = &sch->reservation;
	uint32_t job = sch_index_get(&sch->job_index, reservation->job);
	struct sch_need need;
	uint32_t fit = 0;
	uint32_t i;

	if (reservation->job == 0)
		return;
	if (job == SCH_NONE || sch->jobs[job].row->state != BD_JOB_WAITING) {
		reservation->job = 0;
		return;
	}
	need = sch_need_of(&sch->jobs[job].row->shape);
	for (i = 0; i < reservation->worker_count; i++) {
		uint32_t w =
		    sch_index_get(&sch->worker_index, reservation->workers[i]);

		if (w == SCH_NONE || !sch->workers[w].usable) {
			reservation->job = 0;
			break;
		}
		sch->workers[w].reserved = true;
		fit +=
		    sch_resources_fit_count(&sch->workers[w].capacity, &need);
	}
	if (fit < need.members)
		reservation->job = 0;
	if (reservation->job == 0)
		for (i = 0; i < sch->worker_count; i++)
			sch->workers[i].reserved = false;
}

/* Returns true if a reservation withholds a worker from a job. Other jobs may
 * backfill a reserved worker only if they are expected to end by the estimated
 * start. No tolerance is added: run times are learned, so such jobs mostly end
 * on time. */
bool
sch_reserve_blocks(
    const struct sch *sch, uint32_t worker, const struct sch_job *job)
{
	if (!sch->workers[worker].reserved ||
	    job->row->id == sch->reservation.job)
		return false;
	return sch->now_ms + job->run_ms > sch->reservation.start_ms;
}
