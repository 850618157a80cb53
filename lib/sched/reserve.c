#include <assert.h>
#include <string.h>

#include "scheduler_internal.h"

/* A backfilling job may end this much after the start estimate, as a part of
 * its run time in thousandths: none. Estimates are learned, so a job that is
 * expected to end in time mostly does. */
#define RESERVE_SEARCH_STEPS 24

static void rooms_at(struct sch *sch, int64_t at_ms);
static bool collect(struct sch *sch, uint32_t first, uint32_t limit,
    const struct sch_need *need, struct sch_spot *spots);
static bool fits_rack_at(struct sch *sch, const struct sch_need *need,
    int64_t at_ms, struct sch_spot *spots);
static bool fits_at(struct sch *sch, const struct bd_job *row, int64_t at_ms,
    struct sch_spot *spots);

/* Fills the rooms with what is expected to be free at a time, leaving out
 * what is claimed for guarantees. */
static void
rooms_at(struct sch *sch, int64_t at_ms)
{
	uint32_t w;
	uint32_t t;

	for (w = 0; w < sch->worker_count; w++) {
		const struct sch_worker *worker = &sch->workers[w];
		struct sch_room *room = &sch->rooms[w];

		memset(room, 0, sizeof(*room));
		if (!worker->usable || worker->probation)
			continue;
		*room = worker->all;
		if (at_ms <= sch->now_ms)
			room->mask &= ~worker->blocked;
		for (t = worker->first_task; t != SCH_NONE;
		     t = sch->tasks[t].next_of_worker) {
			const struct sch_job *job =
			    &sch->jobs[sch->tasks[t].job];

			if (job->end_ms <= at_ms)
				continue;
			room->mask &= ~sch->tasks[t].mask;
			room->cores -= job->row->shape.cores_milli;
			room->memory -= job->row->shape.memory_mb;
		}
	}
}

/* Takes all members from the racks of a range, if they fit together. */
static bool
collect(struct sch *sch, uint32_t first, uint32_t limit,
    const struct sch_need *need, struct sch_spot *spots)
{
	struct sch_need rest = *need;
	uint32_t taken = 0;
	uint32_t r;
	uint32_t w;

	for (r = first; r < limit; r++) {
		const struct sch_rack *rack = &sch->racks[r];

		for (w = rack->first;
		     w < rack->first + rack->count && rest.members > 0; w++) {
			uint32_t fit = sch_room_members(&sch->rooms[w], &rest);

			for (; fit > 0; fit--) {
				spots[taken].worker = w;
				spots[taken++].mask =
				    sch_room_take(&sch->rooms[w], &rest);
				rest.members--;
			}
		}
	}
	return rest.members == 0;
}

static bool
fits_rack_at(struct sch *sch, const struct sch_need *need, int64_t at_ms,
    struct sch_spot *spots)
{
	uint32_t r;

	rooms_at(sch, at_ms);
	for (r = 0; r < sch->rack_count; r++)
		if (sch_rack_take(sch->rooms, &sch->racks[r], need, spots))
			return true;
	return false;
}

/* Tells whether the job is expected to fit at a time, in a rack or else in a
 * region, and where. */
static bool
fits_at(struct sch *sch, const struct bd_job *row, int64_t at_ms,
    struct sch_spot *spots)
{
	struct sch_need need = sch_need_of(&row->shape);
	uint32_t first = 0;

	if (fits_rack_at(sch, &need, at_ms, spots))
		return true;
	while (first < sch->rack_count) {
		uint32_t limit = first;

		while (limit < sch->rack_count &&
		    (row->cross_region != 0 ||
			sch->racks[limit].region == sch->racks[first].region))
			limit++;
		rooms_at(sch, at_ms);
		if (collect(sch, first, limit, &need, spots))
			return true;
		first = limit;
	}
	return false;
}

/*
 * Estimates when a job could start if nothing else were placed, and where.
 * Returns 0 where it does not fit the usable workers at all. The estimate is
 * as good as the expected run times.
 */
int64_t
sch_start_estimate(struct sch *sch, const struct bd_job *row,
    struct sch_spot *spots, uint32_t *spot_count)
{
	int64_t low = sch->now_ms;
	int64_t high = sch->now_ms;
	uint32_t w;
	int i;

	for (w = 0; w < sch->worker_count; w++)
		if (sch->workers[w].end_ms > high)
			high = sch->workers[w].end_ms;
	*spot_count = 0;
	if (!fits_at(sch, row, high, spots))
		return 0;
	for (i = 0; i < RESERVE_SEARCH_STEPS && low < high; i++) {
		int64_t middle = low + (high - low) / 2;

		if (fits_at(sch, row, middle, spots))
			high = middle;
		else
			low = middle + 1;
	}
	if (!fits_at(sch, row, high, spots))
		return 0;
	*spot_count = row->shape.members;
	return high;
}

/* Reserves the workers of these spots for a job until it has been placed. */
void
sch_reserve_pin(struct sch *sch, uint32_t job, int64_t start_ms,
    const struct sch_spot *spots, uint32_t count)
{
	struct sch_reservation *reservation = &sch->reservation;
	uint32_t i;

	memset(reservation, 0, sizeof(*reservation));
	reservation->job = sch->jobs[job].row->id;
	reservation->start_ms = start_ms;
	reservation->made_ms = sch->now_ms;
	for (i = 0; i < count; i++) {
		struct sch_worker *worker = &sch->workers[spots[i].worker];

		if (worker->reserved)
			continue;
		worker->reserved = true;
		reservation->workers[reservation->count++] = worker->row->id;
	}
}

/* Makes the reservation for a starving job where it fits at all. */
void
sch_reserve_make(struct sch *sch, uint32_t job)
{
	struct sch_spot spots[BD_GANG_MAX];
	uint32_t count;
	int64_t start_ms =
	    sch_start_estimate(sch, sch->jobs[job].row, spots, &count);

	if (start_ms != 0)
		sch_reserve_pin(sch, job, start_ms, spots, count);
}

/* Marks the reserved workers in a new view. Gives the reservation up when the
 * job no longer waits or one of the workers is gone; the next decision makes a
 * new one. */
void
sch_reserve_refresh(struct sch *sch)
{
	struct sch_reservation *reservation = &sch->reservation;
	uint32_t job = sch_index_get(&sch->job_index, reservation->job);
	uint32_t i;

	if (reservation->job == 0)
		return;
	if (job == SCH_NONE || sch->jobs[job].row->state != BD_JOB_WAITING) {
		reservation->job = 0;
		return;
	}
	for (i = 0; i < reservation->count; i++) {
		uint32_t w =
		    sch_index_get(&sch->worker_index, reservation->workers[i]);

		if (w == SCH_NONE || !sch->workers[w].usable) {
			reservation->job = 0;
			break;
		}
		sch->workers[w].reserved = true;
	}
	if (reservation->job == 0)
		for (i = 0; i < sch->worker_count; i++)
			sch->workers[i].reserved = false;
}

/* Tells whether a worker is kept from a job: small jobs backfill a reserved
 * worker only where they are expected to end before the gang starts. */
bool
sch_reserve_blocks(
    const struct sch *sch, uint32_t worker, const struct sch_job *job)
{
	if (!sch->workers[worker].reserved ||
	    job->row->id == sch->reservation.job)
		return false;
	return sch->now_ms + job->run_ms > sch->reservation.start_ms;
}
