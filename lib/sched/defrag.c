#include <assert.h>
#include <string.h>

#include "scheduler_internal.h"

#define DEFRAG_JOBS_MAX 4
#define DEFRAG_WINDOW_MS (60 * 60 * 1000)
/* Checkpoint, stop and start of a gang that moves. */
#define DEFRAG_MOVE_MS (30 * 1000)
/* A job that has just started is not moved: its place was chosen with the
 * waiting gang in view. */
#define DEFRAG_SETTLED_MS (2 * 60 * 1000)
/* The gain has to be this many times the cost, for it rests on estimates. */
#define DEFRAG_GAIN_FACTOR 2

struct defrag {
	int64_t cost;
	uint32_t rack;
	uint32_t count;
	uint32_t jobs[DEFRAG_JOBS_MAX];
};

static uint32_t moves_left(const struct sch *sch);
static void note_moves(struct sch *sch, uint32_t count);
static bool is_movable(const struct sch *sch, uint32_t job);
static void free_rooms(struct sch *sch);
static void give_back(struct sch *sch, uint32_t job);
static uint32_t cheapest_in(struct sch *sch, const struct sch_rack *rack);
static bool moved_fit(
    struct sch *sch, const struct defrag *move, const struct sch_need *need);
static bool try_rack(struct sch *sch, uint32_t r, const struct sch_need *need,
    uint32_t limit, struct defrag *move);

/* Returns how many moves this hour still allows. */
static uint32_t
moves_left(const struct sch *sch)
{
	uint32_t limit = sch->config->moves_per_hour;
	uint32_t used = 0;
	uint32_t i;

	if (limit > SCH_MOVES_MAX)
		limit = SCH_MOVES_MAX;
	for (i = 0; i < SCH_MOVES_MAX; i++)
		if (sch->moves_ms[i] != 0 &&
		    sch->now_ms - sch->moves_ms[i] < DEFRAG_WINDOW_MS)
			used++;
	return used < limit ? limit - used : 0;
}

static void
note_moves(struct sch *sch, uint32_t count)
{
	for (; count > 0; count--) {
		sch->moves_ms[sch->move_next] = sch->now_ms;
		sch->move_next = (sch->move_next + 1) % SCH_MOVES_MAX;
	}
}

static bool
is_movable(const struct sch *sch, uint32_t job)
{
	const struct sch_job *entry = &sch->jobs[job];

	return !entry->victim && entry->promise == SCH_NONE &&
	    entry->mark != sch->mark && entry->row->state == BD_JOB_RUNNING &&
	    entry->row->class_number != BD_CLASS_URGENT &&
	    sch->now_ms - entry->row->started_ms >= DEFRAG_SETTLED_MS;
}

static void
free_rooms(struct sch *sch)
{
	uint32_t w;

	for (w = 0; w < sch->worker_count; w++) {
		const struct sch_worker *worker = &sch->workers[w];
		struct sch_room *room = &sch->rooms[w];

		memset(room, 0, sizeof(*room));
		if (!worker->usable || worker->probation)
			continue;
		*room = worker->free;
		room->mask &= ~worker->blocked;
	}
}

static void
give_back(struct sch *sch, uint32_t job)
{
	struct sch_job *entry = &sch->jobs[job];
	uint32_t t;

	entry->mark = sch->mark;
	for (t = entry->first_task; t != SCH_NONE;
	     t = sch->tasks[t].next_of_job) {
		struct sch_room *room;

		if (sch->tasks[t].worker == SCH_NONE)
			continue;
		room = &sch->rooms[sch->tasks[t].worker];
		room->mask |= sch->tasks[t].mask;
		room->cores += entry->row->shape.cores_milli;
		room->memory += entry->row->shape.memory_mb;
	}
}

static uint32_t
cheapest_in(struct sch *sch, const struct sch_rack *rack)
{
	uint32_t best = SCH_NONE;
	int64_t best_loss = INT64_MAX;
	uint32_t w;
	uint32_t t;

	for (w = rack->first; w < rack->first + rack->count; w++) {
		if (!sch->workers[w].usable)
			continue;
		for (t = sch->workers[w].first_task; t != SCH_NONE;
		     t = sch->tasks[t].next_of_worker) {
			uint32_t job = sch->tasks[t].job;
			int64_t loss;

			if (!is_movable(sch, job))
				continue;
			loss = sch_loss(sch, job);
			if (loss < best_loss) {
				best = job;
				best_loss = loss;
			}
		}
	}
	return best;
}

/* Tells whether the jobs that would move have room in other racks. */
static bool
moved_fit(
    struct sch *sch, const struct defrag *move, const struct sch_need *need)
{
	struct sch_spot spots[BD_GANG_MAX];
	uint32_t i;
	uint32_t r;

	/* The gang takes its place first. */
	if (!sch_rack_take(sch->rooms, &sch->racks[move->rack], need, spots))
		return false;
	for (i = 0; i < move->count; i++) {
		struct sch_need one =
		    sch_need_of(&sch->jobs[move->jobs[i]].row->shape);

		for (r = 0; r < sch->rack_count; r++)
			if (sch_rack_take(
				sch->rooms, &sch->racks[r], &one, spots))
				break;
		if (r == sch->rack_count)
			return false;
	}
	return true;
}

/* Moves the cheapest jobs out of a rack until the gang fits there. */
static bool
try_rack(struct sch *sch, uint32_t r, const struct sch_need *need,
    uint32_t limit, struct defrag *move)
{
	const struct sch_rack *rack = &sch->racks[r];

	memset(move, 0, sizeof(*move));
	move->rack = r;
	sch->mark++;
	free_rooms(sch);
	for (;;) {
		uint32_t members = 0;
		uint32_t job;
		uint32_t w;

		for (w = rack->first; w < rack->first + rack->count; w++)
			members += sch_room_members(&sch->rooms[w], need);
		if (members >= need->members)
			return move->count > 0 && moved_fit(sch, move, need);
		if (move->count == limit)
			return false;
		job = cheapest_in(sch, rack);
		if (job == SCH_NONE)
			return false;
		give_back(sch, job);
		move->jobs[move->count++] = job;
		move->cost += sch_loss(sch, job) +
		    (int64_t)DEFRAG_MOVE_MS *
			sch->jobs[job].row->shape.members *
			(sch->jobs[job].row->shape.accels + 1);
	}
}

/*
 * Moves a few running jobs together where the gang that holds the reservation
 * gains clearly more by it than the moves cost, both in accelerator
 * milliseconds. The vacated rack is then reserved for the gang.
 */
int
sch_defrag_run(struct sch *sch)
{
	uint32_t job = sch_index_get(&sch->job_index, sch->reservation.job);
	uint32_t limit = moves_left(sch);
	struct sch_spot spots[BD_GANG_MAX];
	struct defrag best = {.cost = INT64_MAX};
	struct defrag move;
	struct sch_need need;
	int64_t gain;
	uint32_t i;
	uint32_t r;
	int code = CW_OK;

	if (limit > DEFRAG_JOBS_MAX)
		limit = DEFRAG_JOBS_MAX;
	if (sch->reservation.job == 0 || job == SCH_NONE || limit == 0 ||
	    sch->jobs[job].settled)
		return CW_OK;
	need = sch_need_of(&sch->jobs[job].row->shape);
	gain = (sch->reservation.start_ms - sch->now_ms) * need.members *
	    need.accels;
	for (r = 0; r < sch->rack_count; r++)
		if (try_rack(sch, r, &need, limit, &move) &&
		    move.cost < best.cost)
			best = move;
	if (best.cost == INT64_MAX || gain / DEFRAG_GAIN_FACTOR < best.cost)
		return CW_OK;
	for (i = 0; i < best.count && code == CW_OK; i++)
		code =
		    sch_preempt(sch, best.jobs[i], job, BD_REASON_DEFRAGMENTED);
	note_moves(sch, best.count);
	sch->mark++;
	free_rooms(sch);
	for (i = 0; i < best.count; i++)
		give_back(sch, best.jobs[i]);
	for (i = 0; i < sch->worker_count; i++)
		sch->workers[i].reserved = false;
	if (sch_rack_take(sch->rooms, &sch->racks[best.rack], &need, spots))
		sch_reserve_pin(sch, job, sch->now_ms + sch->config->reclaim_ms,
		    spots, need.members);
	return code;
}
