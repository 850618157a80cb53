#include <assert.h>
#include <string.h>

#include "scheduler_internal.h"

/* Assumed time to restart a preempted gang, which it loses in addition to the
 * work since its checkpoint. */
#define RECLAIM_RESTART_MS (30 * 1000)
/* A gang that is expected to end within this time is preempted only if nothing
 * else suffices: the added cost exceeds the preemption cost of almost any other
 * gang. */
#define RECLAIM_NEAR_END_MS (60 * 1000)
#define RECLAIM_NEAR_END_COST ((int64_t)1 << 40)

enum find_flags {
	FIND_MATCHING = 1, /* only plans of which the job uses at least half */
	FIND_DISPLACING = 2, /* may preempt guaranteed jobs of the account */
};

/* Candidate placement of a job in a plan of its account. */
struct claim {
	int64_t cost; /* of preempting victims, accelerator-milliseconds */
	uint32_t promise;
	bool waits_for_victims; /* in victims, or preempted earlier */
	uint32_t victim_count;
	struct sch_assignment assignments[BD_GANG_MEMBERS_MAX];
	uint32_t victims[BD_GANG_MEMBERS_MAX * 4];
};

static void add_victim(struct sch *sch, struct claim *claim, uint32_t job);
static uint32_t beyond_holder(
    const struct sch *sch, const struct sch_worker *worker);
static uint32_t accel_holder(
    const struct sch *sch, uint32_t worker, uint32_t bit);
static bool is_trial_victim(const struct sch *sch, uint32_t job);
static uint32_t cheapest_accel(
    const struct sch *sch, uint32_t worker, uint32_t mask);
static bool allocate_accels(struct sch *sch, struct claim *claim,
    struct sch_segment *segment, const struct sch_need *need, uint32_t *mask);
static bool allocate_cores_memory(struct sch *sch, struct claim *claim,
    uint32_t worker, const struct sch_need *need);
static uint32_t pick_segment(const struct sch *sch,
    const struct sch_segment *segments, uint32_t count,
    const struct sch_need *need);
static uint32_t cheapest_displaceable(const struct sch *sch, uint32_t promise);
static uint32_t segments_fit_count(const struct sch_segment *segments,
    uint32_t count, const struct sch_need *need);
static void displace_job(struct sch *sch, struct claim *claim,
    struct sch_segment *segments, uint32_t job);
static bool try_plan(struct sch *sch, uint32_t promise,
    const struct sch_need *need, bool urgent, struct claim *claim);
static void commit_claim(struct sch *sch, uint32_t job,
    const struct claim *claim, const struct sch_need *need);
static int preempt_victims(
    struct sch *sch, uint32_t job, const struct claim *claim);
static bool move_idle_plan(struct sch *sch, uint32_t job, struct claim *claim,
    const struct sch_need *need, int *code);
static bool is_matching_plan(
    const struct sch_need *need, const struct bd_shape *shape);
static uint32_t claim_free_accels(const struct sch *sch,
    const struct claim *claim, const struct sch_need *need);
static bool find_best_claim(struct sch *sch, uint32_t job,
    const struct sch_need *need, uint32_t flags, struct claim *best);

/* Returns the cost of preempting a job in accelerator-milliseconds: the work
 * since its last checkpoint and the restart. A member without accelerators is
 * counted as one accelerator. */
int64_t
sch_preemption_cost(const struct sch *sch, uint32_t job)
{
	const struct sch_job *entry = &sch->jobs[job];
	const struct bd_job *row = entry->row;
	int64_t since = row->started_ms;
	int64_t cost;

	if (row->checkpoint_ms > since)
		since = row->checkpoint_ms;
	cost = row->started_ms == 0 || since > sch->now_ms
	    ? 0
	    : sch->now_ms - since;
	cost = (cost + RECLAIM_RESTART_MS) * row->shape.members *
	    (row->shape.accels == 0 ? 1 : row->shape.accels);
	if (entry->end_ms - sch->now_ms < RECLAIM_NEAR_END_MS)
		cost += RECLAIM_NEAR_END_COST;
	return cost;
}

/* Returns true if a job is being preempted, or is treated so in this trial. */
static bool
is_trial_victim(const struct sch *sch, uint32_t job)
{
	return sch->jobs[job].victim ||
	    sch->jobs[job].trial_stamp == sch->trial_stamp;
}

/* Adds a job as a victim: treats it as preempted in this trial and frees what
 * it holds, except what is claimed for another waiting job. */
static void
add_victim(struct sch *sch, struct claim *claim, uint32_t job)
{
	struct sch_job *entry = &sch->jobs[job];
	uint32_t t;

	claim->waits_for_victims = true;
	if (entry->trial_stamp == sch->trial_stamp)
		return;
	entry->trial_stamp = sch->trial_stamp;
	for (t = entry->first_task; t != SCH_NONE;
	     t = sch->tasks[t].next_in_job) {
		const struct sch_task *task = &sch->tasks[t];
		struct sch_resources *resources;

		if (task->worker == SCH_NONE)
			continue;
		resources = &sch->available[task->worker];
		resources->mask |=
		    task->mask & ~sch->workers[task->worker].claimed_accels;
		resources->cores += entry->row->shape.cores_milli;
		resources->memory += entry->row->shape.memory_mb;
	}
	if (entry->victim)
		return;
	if (claim->victim_count <
	    sizeof(claim->victims) / sizeof(*claim->victims))
		claim->victims[claim->victim_count++] = job;
	claim->cost += sch_preemption_cost(sch, job);
}

/* Returns the borrower with the lowest preemption cost that holds accelerators
 * beyond the present number of a worker that has shrunk, or SCH_NONE. */
static uint32_t
beyond_holder(const struct sch *sch, const struct sch_worker *worker)
{
	uint32_t best = SCH_NONE;
	int64_t best_cost = INT64_MAX;
	uint32_t t;

	for (t = worker->first_task; t != SCH_NONE;
	     t = sch->tasks[t].next_on_worker) {
		uint32_t job = sch->tasks[t].job;
		int64_t cost;

		if ((sch->tasks[t].mask & ~worker->capacity.mask) == 0 ||
		    sch->jobs[job].promise != SCH_NONE)
			continue;
		cost = is_trial_victim(sch, job)
		    ? -1
		    : sch_preemption_cost(sch, job);
		if (cost < best_cost) {
			best = job;
			best_cost = cost;
		}
	}
	return best;
}

/* Returns the job that holds one accelerator of a worker, or SCH_NONE. One that
 * no task holds is not free where tasks hold others beyond the worker's present
 * number: one of these stands for it. */
static uint32_t
accel_holder(const struct sch *sch, uint32_t worker, uint32_t bit)
{
	const struct sch_worker *entry = &sch->workers[worker];
	uint32_t t;

	for (t = entry->first_task; t != SCH_NONE;
	     t = sch->tasks[t].next_on_worker)
		if ((sch->tasks[t].mask & bit) != 0)
			return sch->tasks[t].job;
	return (entry->free.mask & bit) == 0 ? beyond_holder(sch, entry)
					     : SCH_NONE;
}

/* Returns the accelerator of mask that is cheapest to obtain: a free one, else
 * one of a gang that is being preempted already, else one of the gang with the
 * lowest preemption cost. Returns 0 if none can be obtained. */
static uint32_t
cheapest_accel(const struct sch *sch, uint32_t worker, uint32_t mask)
{
	uint32_t free = mask & sch->available[worker].mask;
	uint32_t best = 0;
	int64_t best_cost = INT64_MAX;

	if (free != 0)
		return free & -free;
	for (; mask != 0; mask &= mask - 1) {
		uint32_t bit = mask & -mask;
		uint32_t job = accel_holder(sch, worker, bit);
		int64_t cost;

		/* Claimed for another waiting job, or placed by this
		 * decision. */
		if (job == SCH_NONE || sch->jobs[job].row->token == 0)
			continue;
		cost = is_trial_victim(sch, job)
		    ? -1
		    : sch_preemption_cost(sch, job);
		if (cost < best_cost) {
			best = bit;
			best_cost = cost;
		}
	}
	return best;
}

/* Allocates the accelerators of one member from a segment and adds their
 * holders as victims. Returns false if the segment has too few that can be
 * obtained. */
static bool
allocate_accels(struct sch *sch, struct claim *claim,
    struct sch_segment *segment, const struct sch_need *need, uint32_t *mask)
{
	struct sch_resources *resources = &sch->available[segment->worker];
	uint32_t i;

	*mask = 0;
	for (i = 0; i < need->accels; i++) {
		uint32_t bit = cheapest_accel(
		    sch, segment->worker, segment->claimable.mask);

		if (bit == 0)
			return false;
		if ((resources->mask & bit) == 0)
			add_victim(sch, claim,
			    accel_holder(sch, segment->worker, bit));
		resources->mask &= ~bit;
		segment->claimable.mask &= ~bit;
		*mask |= bit;
	}
	return true;
}

/* Allocates cores and memory for one member. Adds borrowers anywhere on the
 * worker as victims if necessary, cheapest first. Returns false if these hold
 * too little. */
static bool
allocate_cores_memory(struct sch *sch, struct claim *claim, uint32_t worker,
    const struct sch_need *need)
{
	struct sch_resources *resources = &sch->available[worker];

	while (resources->cores < need->cores ||
	    resources->memory < need->memory) {
		uint32_t best = SCH_NONE;
		int64_t best_cost = INT64_MAX;
		uint32_t t;

		for (t = sch->workers[worker].first_task; t != SCH_NONE;
		     t = sch->tasks[t].next_on_worker) {
			uint32_t job = sch->tasks[t].job;
			int64_t cost;

			if (sch->jobs[job].promise != SCH_NONE ||
			    sch->jobs[job].row->token == 0 ||
			    sch->jobs[job].trial_stamp == sch->trial_stamp)
				continue;
			cost = sch->jobs[job].victim
			    ? -1
			    : sch_preemption_cost(sch, job);
			if (cost < best_cost) {
				best = job;
				best_cost = cost;
			}
		}
		if (best == SCH_NONE)
			return false;
		add_victim(sch, claim, best);
	}
	resources->cores -= need->cores;
	resources->memory -= need->memory;
	return true;
}

/* Returns the segment of a plan that fits one more member and has the most free
 * hardware, or SCH_NONE. */
static uint32_t
pick_segment(const struct sch *sch, const struct sch_segment *segments,
    uint32_t count, const struct sch_need *need)
{
	uint32_t best = SCH_NONE;
	int64_t best_score = -1;
	uint32_t i;

	for (i = 0; i < count; i++) {
		const struct sch_resources *resources =
		    &sch->available[segments[i].worker];
		int64_t score;

		if (sch_resources_fit_count(&segments[i].claimable, need) == 0)
			continue;
		score = __builtin_popcount(
		    segments[i].claimable.mask & resources->mask);
		if (score > need->accels)
			score = need->accels;
		score *= 2;
		if (resources->cores >= need->cores &&
		    resources->memory >= need->memory)
			score++;
		if (score > best_score) {
			best = i;
			best_score = score;
		}
	}
	return best;
}

/* Returns the non-urgent guaranteed job of the plan with the lowest preemption
 * cost, or SCH_NONE. */
static uint32_t
cheapest_displaceable(const struct sch *sch, uint32_t promise)
{
	const struct sch_promise *entry = &sch->promises[promise];
	uint32_t best = SCH_NONE;
	int64_t best_cost = INT64_MAX;
	uint32_t i;
	uint32_t t;

	for (i = 0; i < entry->segment_count; i++) {
		uint32_t w = sch->segments[entry->first_segment + i].worker;

		for (t = sch->workers[w].first_task; t != SCH_NONE;
		     t = sch->tasks[t].next_on_worker) {
			uint32_t j = sch->tasks[t].job;
			const struct sch_job *job = &sch->jobs[j];
			int64_t cost;

			if (job->promise != promise ||
			    job->trial_stamp == sch->trial_stamp ||
			    job->row->token == 0 ||
			    job->row->class_number == BD_CLASS_URGENT)
				continue;
			cost = job->victim ? -1 : sch_preemption_cost(sch, j);
			if (cost < best_cost) {
				best = j;
				best_cost = cost;
			}
		}
	}
	return best;
}

/* Returns how many members fit into the segments of a plan together. */
static uint32_t
segments_fit_count(const struct sch_segment *segments, uint32_t count,
    const struct sch_need *need)
{
	uint32_t members = 0;
	uint32_t i;

	for (i = 0; i < count; i++)
		members +=
		    sch_resources_fit_count(&segments[i].claimable, need);
	return members;
}

/* Adds a guaranteed job as a victim and frees its part of the plan, except what
 * is claimed for another waiting job. */
static void
displace_job(struct sch *sch, struct claim *claim, struct sch_segment *segments,
    uint32_t job)
{
	const struct sch_promise *entry = &sch->promises[claim->promise];
	const struct bd_shape *shape = &sch->jobs[job].row->shape;
	uint32_t i;
	uint32_t t;

	add_victim(sch, claim, job);
	for (t = sch->jobs[job].first_task; t != SCH_NONE;
	     t = sch->tasks[t].next_in_job)
		for (i = 0; i < entry->segment_count; i++) {
			if (segments[i].worker != sch->tasks[t].worker)
				continue;
			segments[i].claimable.mask |= sch->tasks[t].mask &
			    ~sch->workers[segments[i].worker].claimed_accels;
			segments[i].claimable.cores += shape->cores_milli;
			segments[i].claimable.memory += shape->memory_mb;
		}
}

/* Tries to place all members in one plan, and stores how. An urgent job
 * preempts other guaranteed jobs of its account if the plan is full. Returns
 * false if the members do not fit. */
static bool
try_plan(struct sch *sch, uint32_t promise, const struct sch_need *need,
    bool urgent, struct claim *claim)
{
	const struct sch_promise *entry = &sch->promises[promise];
	struct sch_segment segments[BD_GANG_MEMBERS_MAX];
	uint32_t i;

	memset(claim, 0, offsetof(struct claim, victims));
	claim->promise = promise;
	sch->trial_stamp++;
	for (i = 0; i < entry->segment_count; i++) {
		uint32_t w;

		segments[i] = sch->segments[entry->first_segment + i];
		w = segments[i].worker;
		sch->available[w] = sch->workers[w].free;
		sch->available[w].mask &= ~sch->workers[w].claimed_accels;
	}
	while (segments_fit_count(segments, entry->segment_count, need) <
	    need->members) {
		uint32_t job =
		    urgent ? cheapest_displaceable(sch, promise) : SCH_NONE;

		if (job == SCH_NONE)
			return false;
		displace_job(sch, claim, segments, job);
	}
	for (i = 0; i < need->members; i++) {
		uint32_t s =
		    pick_segment(sch, segments, entry->segment_count, need);
		struct sch_assignment *assignment = &claim->assignments[i];

		if (s == SCH_NONE)
			return false;
		assignment->worker = segments[s].worker;
		if (!allocate_accels(
			sch, claim, &segments[s], need, &assignment->mask) ||
		    !allocate_cores_memory(
			sch, claim, assignment->worker, need))
			return false;
		segments[s].claimable.cores -= need->cores;
		segments[s].claimable.memory -= need->memory;
	}
	return true;
}

/* Withholds the resources of a claim from the other jobs of the decision. */
static void
commit_claim(struct sch *sch, uint32_t job, const struct claim *claim,
    const struct sch_need *need)
{
	uint32_t i;

	sch->jobs[job].decided = true;
	for (i = 0; i < need->members; i++) {
		struct sch_worker *worker =
		    &sch->workers[claim->assignments[i].worker];
		uint32_t s;

		worker->claimed_accels |= claim->assignments[i].mask;
		worker->free.cores -= need->cores;
		worker->free.memory -= need->memory;
		for (s = worker->first_segment; s != SCH_NONE;
		     s = sch->segments[s].next_on_worker) {
			struct sch_segment *segment = &sch->segments[s];

			if (segment->promise != claim->promise)
				continue;
			segment->claimable.mask &= ~claim->assignments[i].mask;
			segment->claimable.cores -= need->cores;
			segment->claimable.memory -= need->memory;
		}
	}
}

/* Proposes to preempt a gang, which has to stop by the reclaim deadline.
 * for_job may be SCH_NONE. Returns the sink's status. */
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

/* Proposes to preempt the victims of a claim. Returns the sink's status. */
static int
preempt_victims(struct sch *sch, uint32_t job, const struct claim *claim)
{
	uint32_t i;
	int code = CW_OK;

	for (i = 0; i < claim->victim_count && code == CW_OK; i++)
		code = sch_preempt(
		    sch, claim->victims[i], job, BD_REASON_RECLAIMED);
	return code;
}

/* Moves an idle plan to free hardware, which preempts nobody, and places the
 * job there. The records are applied in this order. Returns true and stores the
 * sink's status in *code if the plan was moved. */
static bool
move_idle_plan(struct sch *sch, uint32_t job, struct claim *claim,
    const struct sch_need *need, int *code)
{
	const struct sch_promise *entry = &sch->promises[claim->promise];
	struct sch_need plan_need = sch_need_of(&entry->row->shape);
	struct sch_assignment assignments[BD_GANG_MEMBERS_MAX];

	if (entry->guaranteed_jobs > 0 || entry->replanned ||
	    !sch_plan_find(sch, &plan_need, true, SCH_NONE, assignments))
		return false;
	*code = sch_plan_propose(
	    sch, claim->promise, assignments, plan_need.members);
	if (*code == CW_OK &&
	    try_plan(sch, claim->promise, need, false, claim) &&
	    !claim->waits_for_victims)
		*code = sch_place_propose(
		    sch, job, claim->promise, claim->assignments);
	return true;
}

/* Returns true if a gang uses at least half of a plan: of its accelerators, or
 * of its cores if it has no accelerators. */
static bool
is_matching_plan(const struct sch_need *need, const struct bd_shape *shape)
{
	if (shape->accels > 0)
		return 2 * need->members * need->accels >=
		    (uint32_t)shape->members * shape->accels;
	return 2 * need->members * need->cores >=
	    (int64_t)shape->members * shape->cores_milli;
}

/* Returns the number of free accelerators on the workers that a claim uses. A
 * worker counts once for each member on it. */
static uint32_t
claim_free_accels(const struct sch *sch, const struct claim *claim,
    const struct sch_need *need)
{
	uint32_t free = 0;
	uint32_t i;

	for (i = 0; i < need->members; i++)
		free += (uint32_t)__builtin_popcount(
		    sch->workers[claim->assignments[i].worker].free.mask);
	return free;
}

/* Finds the best plan of the account for a job (flags: enum find_flags): one
 * that needs no preemption, else the one with the lowest preemption cost; among
 * equals the smallest, then the one on the fullest workers, so that idle plans
 * keep whole workers free. */
static bool
find_best_claim(struct sch *sch, uint32_t job, const struct sch_need *need,
    uint32_t flags, struct claim *best)
{
	const struct sch_account *account =
	    &sch->accounts[sch->jobs[job].account];
	struct claim claim;
	uint32_t best_size = 0;
	uint32_t best_free_accels = 0;
	bool found = false;
	uint32_t p;

	for (p = account->first_promise; p != SCH_NONE;
	     p = sch->promises[p].next_in_account) {
		const struct bd_shape *shape = &sch->promises[p].row->shape;
		uint32_t size = (uint32_t)shape->members * shape->accels;
		uint32_t free;

		if (!sch->promises[p].valid ||
		    ((flags & FIND_MATCHING) != 0 &&
			!is_matching_plan(need, shape)) ||
		    !try_plan(
			sch, p, need, (flags & FIND_DISPLACING) != 0, &claim))
			continue;
		free = claim_free_accels(sch, &claim, need);
		if (found &&
		    (claim.waits_for_victims != best->waits_for_victims
			    ? claim.waits_for_victims
			    : claim.cost != best->cost ? claim.cost > best->cost
			    : size != best_size        ? size > best_size
						: free >= best_free_accels))
			continue;
		*best = claim;
		best_size = size;
		best_free_accels = free;
		found = true;
	}
	return found;
}

/*
 * Claims a guarantee of its account for a waiting job: places the job in a free
 * plan, moves an idle plan to free hardware, places the job on unplanned
 * hardware of one rack, or preempts the borrowers in a plan and keeps that plan
 * for the job until they have stopped. A job that was itself reclaimed preempts
 * no others before its hold time ends, so that reclaims do not cascade. With
 * matching, only plans of which the job uses at least half are considered.
 * Stores in *done whether the job was placed, got a claim or had a plan moved
 * for it, and returns the sink's status.
 */
int
sch_claim_guarantee(struct sch *sch, uint32_t job, bool matching, bool *done)
{
	struct sch_job *entry = &sch->jobs[job];
	struct sch_account *account = &sch->accounts[entry->account];
	struct sch_need need = sch_need_of(&entry->row->shape);
	struct sch_assignment assignments[BD_GANG_MEMBERS_MAX];
	struct claim claim;
	bool urgent;
	uint32_t flags;
	uint32_t i;
	int code = CW_OK;

	*done = false;
	/* Urgent jobs claim first and may displace others, so a need that
	 * failed for one of them fails for every later job. A larger need
	 * matches more plans, so with matching only an equal need is known to
	 * fail. */
	for (i = 0; i < account->failed_claim_count[matching]; i++)
		if (sch_need_covers(
			&need, &account->failed_claims[matching][i]) &&
		    (!matching ||
			sch_need_covers(
			    &account->failed_claims[matching][i], &need)))
			return CW_OK;
	urgent = entry->row->class_number == BD_CLASS_URGENT;
	flags = matching ? FIND_MATCHING : 0;
	if (!find_best_claim(sch, job, &need, flags, &claim) &&
	    !(urgent &&
		find_best_claim(
		    sch, job, &need, flags | FIND_DISPLACING, &claim))) {
		i = account->failed_claim_count[matching];
		if (i < SCH_FAILED_CLAIMS_MAX) {
			account->failed_claims[matching][i] = need;
			account->failed_claim_count[matching]++;
		}
		return CW_OK;
	}
	*done = true;
	if (!claim.waits_for_victims)
		return sch_place_propose(
		    sch, job, claim.promise, claim.assignments);
	if (claim.victim_count > 0) {
		if (move_idle_plan(sch, job, &claim, &need, &code))
			return code;
		if (sch_placement_search_unplanned(sch, job, assignments))
			return sch_place_propose(
			    sch, job, SCH_NONE, assignments);
		if (entry->row->hold_until_ms > sch->now_ms) {
			*done = false;
			return CW_OK;
		}
		code = preempt_victims(sch, job, &claim);
	}
	commit_claim(sch, job, &claim, &need);
	return code;
}
