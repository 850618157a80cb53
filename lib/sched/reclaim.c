#include <assert.h>
#include <string.h>

#include "scheduler_internal.h"

/* Work that breaking a gang costs besides its time since the checkpoint: the
 * start of its members. */
#define RECLAIM_BREAK_MS (30 * 1000)
/* A gang that ends this soon is stopped only where nothing else is left. */
#define RECLAIM_NEAR_END_MS (60 * 1000)
#define RECLAIM_NEAR_END_LOSS ((int64_t)1 << 40)

enum find_flags {
	FIND_MATCHING = 1,   /* plans that the job uses half of at least */
	FIND_DISPLACING = 2, /* other guaranteed jobs of the account give way */
};

/* One way to put a job into a plan. */
struct claim {
	int64_t loss;
	uint32_t promise;
	bool waits; /* for a victim, new or old */
	uint32_t victim_count;
	struct sch_spot spots[BD_GANG_MAX];
	uint32_t victims[BD_GANG_MAX * 4];
};

static void claim_victim(struct sch *sch, struct claim *claim, uint32_t job);
static uint32_t holder_of(const struct sch *sch, uint32_t worker, uint32_t bit);
static bool is_victim(const struct sch *sch, uint32_t job);
static uint32_t cheapest_accel(
    const struct sch *sch, uint32_t worker, uint32_t mask);
static bool take_accels(struct sch *sch, struct claim *claim,
    struct sch_cell *cell, const struct sch_need *need, uint32_t *mask);
static bool take_rest(struct sch *sch, struct claim *claim, uint32_t worker,
    const struct sch_need *need);
static uint32_t pick_cell(const struct sch *sch, const struct sch_cell *cells,
    uint32_t count, const struct sch_need *need);
static uint32_t displaceable(const struct sch *sch, uint32_t promise);
static uint32_t cells_members(
    const struct sch_cell *cells, uint32_t count, const struct sch_need *need);
static void displace(
    struct sch *sch, struct claim *claim, struct sch_cell *cells, uint32_t job);
static bool try_plan(struct sch *sch, uint32_t promise,
    const struct sch_need *need, bool urgent, struct claim *claim);
static void settle(struct sch *sch, uint32_t job, const struct claim *claim,
    const struct sch_need *need);
static int stop_victims(
    struct sch *sch, uint32_t job, const struct claim *claim);
static bool move_plan(struct sch *sch, uint32_t job, struct claim *claim,
    const struct sch_need *need, int *code);
static bool is_match(const struct sch_need *need, const struct bd_shape *shape);
static uint32_t claim_free(const struct sch *sch, const struct claim *claim,
    const struct sch_need *need);
static bool find_best(struct sch *sch, uint32_t job,
    const struct sch_need *need, uint32_t flags, struct claim *best);

/* Returns the work lost by stopping a job, in accelerator milliseconds. */
int64_t
sch_loss(const struct sch *sch, uint32_t job)
{
	const struct sch_job *entry = &sch->jobs[job];
	const struct bd_job *row = entry->row;
	int64_t since = row->started_ms;
	int64_t loss;

	if (row->checkpoint_ms > since)
		since = row->checkpoint_ms;
	loss = row->started_ms == 0 || since > sch->now_ms
	    ? 0
	    : sch->now_ms - since;
	loss = (loss + RECLAIM_BREAK_MS) * row->shape.members *
	    (row->shape.accels == 0 ? 1 : row->shape.accels);
	if (entry->end_ms - sch->now_ms < RECLAIM_NEAR_END_MS)
		loss += RECLAIM_NEAR_END_LOSS;
	return loss;
}

static bool
is_victim(const struct sch *sch, uint32_t job)
{
	return sch->jobs[job].victim || sch->jobs[job].mark == sch->mark;
}

/* Counts a job as stopped in this trial: what it holds is free again, but for
 * what another waiting job has claimed already. */
static void
claim_victim(struct sch *sch, struct claim *claim, uint32_t job)
{
	struct sch_job *entry = &sch->jobs[job];
	uint32_t t;

	claim->waits = true;
	if (entry->mark == sch->mark)
		return;
	entry->mark = sch->mark;
	for (t = entry->first_task; t != SCH_NONE;
	     t = sch->tasks[t].next_of_job) {
		const struct sch_task *task = &sch->tasks[t];
		struct sch_room *room;

		if (task->worker == SCH_NONE)
			continue;
		room = &sch->rooms[task->worker];
		room->mask |= task->mask & ~sch->workers[task->worker].blocked;
		room->cores += entry->row->shape.cores_milli;
		room->memory += entry->row->shape.memory_mb;
	}
	if (entry->victim)
		return;
	if (claim->victim_count <
	    sizeof(claim->victims) / sizeof(*claim->victims))
		claim->victims[claim->victim_count++] = job;
	claim->loss += sch_loss(sch, job);
}

static uint32_t
holder_of(const struct sch *sch, uint32_t worker, uint32_t bit)
{
	uint32_t t;

	for (t = sch->workers[worker].first_task; t != SCH_NONE;
	     t = sch->tasks[t].next_of_worker)
		if ((sch->tasks[t].mask & bit) != 0)
			return sch->tasks[t].job;
	return SCH_NONE;
}

/* Returns the accelerator of mask that costs least to get: a free one, one of
 * a gang that is stopped already, else that of the least loss. */
static uint32_t
cheapest_accel(const struct sch *sch, uint32_t worker, uint32_t mask)
{
	uint32_t free = mask & sch->rooms[worker].mask;
	uint32_t best = 0;
	int64_t best_loss = INT64_MAX;

	if (free != 0)
		return free & -free;
	for (; mask != 0; mask &= mask - 1) {
		uint32_t bit = mask & -mask;
		uint32_t job = holder_of(sch, worker, bit);
		int64_t loss;

		/* Claimed by another waiting job, or placed just now. */
		if (job == SCH_NONE || sch->jobs[job].row->token == 0)
			continue;
		loss = is_victim(sch, job) ? -1 : sch_loss(sch, job);
		if (loss < best_loss) {
			best = bit;
			best_loss = loss;
		}
	}
	return best;
}

/* Takes the accelerators of one member out of a cell. */
static bool
take_accels(struct sch *sch, struct claim *claim, struct sch_cell *cell,
    const struct sch_need *need, uint32_t *mask)
{
	struct sch_room *room = &sch->rooms[cell->worker];
	uint32_t i;

	*mask = 0;
	for (i = 0; i < need->accels; i++) {
		uint32_t bit =
		    cheapest_accel(sch, cell->worker, cell->free.mask);

		if (bit == 0)
			return false;
		if ((room->mask & bit) == 0)
			claim_victim(
			    sch, claim, holder_of(sch, cell->worker, bit));
		room->mask &= ~bit;
		cell->free.mask &= ~bit;
		*mask |= bit;
	}
	return true;
}

/* Takes cores and memory for one member; borrowers anywhere on the worker have
 * to give way for these. */
static bool
take_rest(struct sch *sch, struct claim *claim, uint32_t worker,
    const struct sch_need *need)
{
	struct sch_room *room = &sch->rooms[worker];

	while (room->cores < need->cores || room->memory < need->memory) {
		uint32_t best = SCH_NONE;
		int64_t best_loss = INT64_MAX;
		uint32_t t;

		for (t = sch->workers[worker].first_task; t != SCH_NONE;
		     t = sch->tasks[t].next_of_worker) {
			uint32_t job = sch->tasks[t].job;
			int64_t loss;

			if (sch->jobs[job].promise != SCH_NONE ||
			    sch->jobs[job].row->token == 0 ||
			    sch->jobs[job].mark == sch->mark)
				continue;
			loss = sch->jobs[job].victim ? -1 : sch_loss(sch, job);
			if (loss < best_loss) {
				best = job;
				best_loss = loss;
			}
		}
		if (best == SCH_NONE)
			return false;
		claim_victim(sch, claim, best);
	}
	room->cores -= need->cores;
	room->memory -= need->memory;
	return true;
}

/* Returns the cell with room for one more member and the most free hardware,
 * or SCH_NONE. */
static uint32_t
pick_cell(const struct sch *sch, const struct sch_cell *cells, uint32_t count,
    const struct sch_need *need)
{
	uint32_t best = SCH_NONE;
	int64_t best_free = -1;
	uint32_t i;

	for (i = 0; i < count; i++) {
		const struct sch_room *room = &sch->rooms[cells[i].worker];
		int64_t free;

		if (sch_room_members(&cells[i].free, need) == 0)
			continue;
		free = __builtin_popcount(cells[i].free.mask & room->mask);
		if (free > need->accels)
			free = need->accels;
		free *= 2;
		if (room->cores >= need->cores && room->memory >= need->memory)
			free++;
		if (free > best_free) {
			best = i;
			best_free = free;
		}
	}
	return best;
}

/* Returns the guaranteed job of the plan that loses least and is not urgent,
 * or SCH_NONE. */
static uint32_t
displaceable(const struct sch *sch, uint32_t promise)
{
	const struct sch_promise *entry = &sch->promises[promise];
	uint32_t best = SCH_NONE;
	int64_t best_loss = INT64_MAX;
	uint32_t i;
	uint32_t t;

	for (i = 0; i < entry->cell_count; i++) {
		uint32_t w = sch->cells[entry->first_cell + i].worker;

		for (t = sch->workers[w].first_task; t != SCH_NONE;
		     t = sch->tasks[t].next_of_worker) {
			uint32_t j = sch->tasks[t].job;
			const struct sch_job *job = &sch->jobs[j];
			int64_t loss;

			if (job->promise != promise || job->mark == sch->mark ||
			    job->row->token == 0 ||
			    job->row->class_number == BD_CLASS_URGENT)
				continue;
			loss = job->victim ? -1 : sch_loss(sch, j);
			if (loss < best_loss) {
				best = j;
				best_loss = loss;
			}
		}
	}
	return best;
}

static uint32_t
cells_members(
    const struct sch_cell *cells, uint32_t count, const struct sch_need *need)
{
	uint32_t members = 0;
	uint32_t i;

	for (i = 0; i < count; i++)
		members += sch_room_members(&cells[i].free, need);
	return members;
}

/* Counts a guaranteed job as stopped and gives its part of the plan back, but
 * for what another waiting job has claimed already. */
static void
displace(
    struct sch *sch, struct claim *claim, struct sch_cell *cells, uint32_t job)
{
	const struct sch_promise *entry = &sch->promises[claim->promise];
	const struct bd_shape *shape = &sch->jobs[job].row->shape;
	uint32_t i;
	uint32_t t;

	claim_victim(sch, claim, job);
	for (t = sch->jobs[job].first_task; t != SCH_NONE;
	     t = sch->tasks[t].next_of_job)
		for (i = 0; i < entry->cell_count; i++) {
			if (cells[i].worker != sch->tasks[t].worker)
				continue;
			cells[i].free.mask |= sch->tasks[t].mask &
			    ~sch->workers[cells[i].worker].blocked;
			cells[i].free.cores += shape->cores_milli;
			cells[i].free.memory += shape->memory_mb;
		}
}

/* Tries to put all members into one plan. Urgent jobs displace other
 * guaranteed jobs of their account where the plan is full. */
static bool
try_plan(struct sch *sch, uint32_t promise, const struct sch_need *need,
    bool urgent, struct claim *claim)
{
	const struct sch_promise *entry = &sch->promises[promise];
	struct sch_cell cells[BD_GANG_MAX];
	uint32_t i;

	memset(claim, 0, offsetof(struct claim, victims));
	claim->promise = promise;
	sch->mark++;
	for (i = 0; i < entry->cell_count; i++) {
		uint32_t w;

		cells[i] = sch->cells[entry->first_cell + i];
		w = cells[i].worker;
		sch->rooms[w] = sch->workers[w].free;
		sch->rooms[w].mask &= ~sch->workers[w].blocked;
	}
	while (cells_members(cells, entry->cell_count, need) < need->members) {
		uint32_t job = urgent ? displaceable(sch, promise) : SCH_NONE;

		if (job == SCH_NONE)
			return false;
		displace(sch, claim, cells, job);
	}
	for (i = 0; i < need->members; i++) {
		uint32_t c = pick_cell(sch, cells, entry->cell_count, need);
		struct sch_spot *spot = &claim->spots[i];

		if (c == SCH_NONE)
			return false;
		spot->worker = cells[c].worker;
		if (!take_accels(sch, claim, &cells[c], need, &spot->mask) ||
		    !take_rest(sch, claim, spot->worker, need))
			return false;
		cells[c].free.cores -= need->cores;
		cells[c].free.memory -= need->memory;
	}
	return true;
}

/* Keeps the claimed part of the plan from every other job of this decision. */
static void
settle(struct sch *sch, uint32_t job, const struct claim *claim,
    const struct sch_need *need)
{
	uint32_t i;

	sch->jobs[job].settled = true;
	for (i = 0; i < need->members; i++) {
		struct sch_worker *worker =
		    &sch->workers[claim->spots[i].worker];
		uint32_t c;

		worker->blocked |= claim->spots[i].mask;
		worker->free.cores -= need->cores;
		worker->free.memory -= need->memory;
		for (c = worker->first_cell; c != SCH_NONE;
		     c = sch->cells[c].next_of_worker) {
			struct sch_cell *cell = &sch->cells[c];

			if (cell->promise != claim->promise)
				continue;
			cell->free.mask &= ~claim->spots[i].mask;
			cell->free.cores -= need->cores;
			cell->free.memory -= need->memory;
		}
	}
}

/* Proposes to stop a gang by the reclaim deadline. */
int
sch_preempt(
    struct sch *sch, uint32_t victim, uint32_t for_job, enum bd_reason reason)
{
	struct sch_job *entry = &sch->jobs[victim];
	struct rec rec = {.kind = REC_PREEMPT};

	assert(!entry->victim);
	entry->victim = true;
	rec.body.preempt.job = entry->row->id;
	rec.body.preempt.token = entry->row->token;
	if (for_job != SCH_NONE)
		rec.body.preempt.for_job = sch->jobs[for_job].row->id;
	rec.body.preempt.reason = reason;
	rec.body.preempt.deadline_ms = sch->now_ms + sch->config->reclaim_ms;
	return sch_propose(sch, &rec);
}

static int
stop_victims(struct sch *sch, uint32_t job, const struct claim *claim)
{
	uint32_t i;
	int code = CW_OK;

	for (i = 0; i < claim->victim_count && code == CW_OK; i++)
		code = sch_preempt(
		    sch, claim->victims[i], job, BD_REASON_RECLAIMED);
	return code;
}

/* Moves an idle plan to free hardware, which loses no work, and places the job
 * there. Apply takes the two records in this order. */
static bool
move_plan(struct sch *sch, uint32_t job, struct claim *claim,
    const struct sch_need *need, int *code)
{
	const struct sch_promise *entry = &sch->promises[claim->promise];
	struct sch_need whole = sch_need_of(&entry->row->shape);
	struct sch_spot spots[BD_GANG_MAX];

	if (entry->jobs > 0 || entry->moved ||
	    !sch_plan_find(sch, &whole, true, SCH_NONE, spots))
		return false;
	*code = sch_plan_propose(sch, claim->promise, spots, whole.members);
	if (*code == CW_OK &&
	    try_plan(sch, claim->promise, need, false, claim) && !claim->waits)
		*code =
		    sch_place_propose(sch, job, claim->promise, claim->spots);
	return true;
}

/* Tells whether a gang uses at least half of a plan. */
static bool
is_match(const struct sch_need *need, const struct bd_shape *shape)
{
	if (shape->accels > 0)
		return 2 * need->members * need->accels >=
		    (uint32_t)shape->members * shape->accels;
	return 2 * need->members * need->cores >=
	    (int64_t)shape->members * shape->cores_milli;
}

/* Returns the free accelerators of the workers that a claim uses, counted for
 * each member. */
static uint32_t
claim_free(const struct sch *sch, const struct claim *claim,
    const struct sch_need *need)
{
	uint32_t free = 0;
	uint32_t i;

	for (i = 0; i < need->members; i++)
		free += (uint32_t)__builtin_popcount(
		    sch->workers[claim->spots[i].worker].free.mask);
	return free;
}

/* Finds the plan of the account that can be had at once, else the one that
 * loses least; among equals the smallest one, then the one on the fullest
 * workers, so that idle plans leave whole workers free. */
static bool
find_best(struct sch *sch, uint32_t job, const struct sch_need *need,
    uint32_t flags, struct claim *best)
{
	const struct sch_account *account =
	    &sch->accounts[sch->jobs[job].account];
	struct claim claim;
	uint32_t best_size = 0;
	uint32_t best_free = 0;
	bool found = false;
	uint32_t p;

	for (p = account->first_promise; p != SCH_NONE;
	     p = sch->promises[p].next_of_account) {
		const struct bd_shape *shape = &sch->promises[p].row->shape;
		uint32_t size = (uint32_t)shape->members * shape->accels;
		uint32_t free;

		if (!sch->promises[p].valid ||
		    ((flags & FIND_MATCHING) != 0 && !is_match(need, shape)) ||
		    !try_plan(
			sch, p, need, (flags & FIND_DISPLACING) != 0, &claim))
			continue;
		free = claim_free(sch, &claim, need);
		if (found &&
		    (claim.waits != best->waits        ? claim.waits
			    : claim.loss != best->loss ? claim.loss > best->loss
			    : size != best_size        ? size > best_size
						       : free >= best_free))
			continue;
		*best = claim;
		best_size = size;
		best_free = free;
		found = true;
	}
	return found;
}

/*
 * Gives a waiting job its account's guarantee where it fits: places it in a
 * plan that is free, moves an idle plan to free hardware, or stops the
 * borrowers inside a plan and keeps that plan for the job until they are gone.
 * A job that was itself reclaimed stops no others before its hold time ends,
 * so that one reclaim never leads to the next. With matching only plans that
 * the job mostly fills count. *done tells whether the job is settled for this
 * decision.
 */
int
sch_claim(struct sch *sch, uint32_t job, bool matching, bool *done)
{
	struct sch_job *entry = &sch->jobs[job];
	struct sch_account *account = &sch->accounts[entry->account];
	struct sch_need need = sch_need_of(&entry->row->shape);
	struct sch_spot spots[BD_GANG_MAX];
	struct claim claim;
	bool urgent;
	uint32_t flags;
	uint32_t i;
	int code = CW_OK;

	*done = false;
	/* Urgent jobs come first, so a memo of one holds for all later. A
	 * larger need matches more plans, so there only an equal need is known.
	 */
	for (i = 0; i < account->failed_count[matching]; i++)
		if (sch_need_covers(&need, &account->failed[matching][i]) &&
		    (!matching ||
			sch_need_covers(&account->failed[matching][i], &need)))
			return CW_OK;
	urgent = entry->row->class_number == BD_CLASS_URGENT;
	flags = matching ? FIND_MATCHING : 0;
	if (!find_best(sch, job, &need, flags, &claim) &&
	    !(urgent &&
		find_best(sch, job, &need, flags | FIND_DISPLACING, &claim))) {
		i = account->failed_count[matching];
		if (i < SCH_FAILED_CLAIMS_MAX) {
			account->failed[matching][i] = need;
			account->failed_count[matching]++;
		}
		return CW_OK;
	}
	*done = true;
	if (!claim.waits)
		return sch_place_propose(sch, job, claim.promise, claim.spots);
	if (claim.victim_count > 0) {
		if (move_plan(sch, job, &claim, &need, &code))
			return code;
		if (sch_embed_unplanned(sch, job, spots))
			return sch_place_propose(sch, job, SCH_NONE, spots);
		if (entry->row->hold_until_ms > sch->now_ms) {
			*done = false;
			return CW_OK;
		}
		code = stop_victims(sch, job, &claim);
	}
	settle(sch, job, &claim, &need);
	return code;
}
