#include <assert.h>

#include "scheduler_internal.h"

/* Weight of a new interval in the moving average. */
#define CLAIM_EWMA_ALPHA 0.2

static struct sch_claim_stats *find_slot(
    const struct sch *sch, uint64_t promise, bool create);

/* Returns the entry of a promise in the hash table (linear probing), creating
 * it if create is set. Returns NULL if it does not exist or the table is
 * full. */
static struct sch_claim_stats *
find_slot(const struct sch *sch, uint64_t promise, bool create)
{
	uint32_t i;

	for (i = 0; i < SCH_CLAIM_STATS_SLOTS; i++) {
		struct sch_claim_stats *slot =
		    &sch->claim_stats_table[(promise + i) %
			SCH_CLAIM_STATS_SLOTS];

		if (slot->promise == promise)
			return slot;
		if (slot->promise != 0)
			continue;
		if (!create)
			return NULL;
		slot->promise = promise;
		return slot;
	}
	return NULL;
}

/* Records that a guaranteed job is placed in the plan of a promise now. Does
 * nothing if the table is full. */
void
sch_claim_stats_record(struct sch *sch, uint32_t promise)
{
	struct sch_claim_stats *slot =
	    find_slot(sch, sch->promises[promise].row->id, true);
	int64_t interval;

	if (slot == NULL)
		return;
	interval = sch->now_ms - slot->last_claim_ms;
	if (slot->last_claim_ms != 0 && slot->interval_ms == 0)
		slot->interval_ms = interval;
	else if (slot->last_claim_ms != 0)
		slot->interval_ms += (int64_t)(CLAIM_EWMA_ALPHA *
		    (double)(interval - slot->interval_ms));
	slot->last_claim_ms = sch->now_ms;
}

/* Returns the expected time (ms) until the plan of a promise is claimed: the
 * average interval, or the time since the last claim if that is longer. Returns
 * INT64_MAX if no interval is known. */
int64_t
sch_claim_interval_ms(const struct sch *sch, uint64_t promise)
{
	const struct sch_claim_stats *slot = find_slot(sch, promise, false);
	int64_t since;

	if (slot == NULL || slot->interval_ms == 0)
		return INT64_MAX;
	since = sch->now_ms - slot->last_claim_ms;
	return since > slot->interval_ms ? since : slot->interval_ms;
}

/* Returns a mask of the accelerators of a worker that are likely to be
 * reclaimed from a job of this run time (ms) before it ends. */
uint32_t
sch_reclaim_risk_mask(const struct sch *sch, uint32_t worker, int64_t run_ms)
{
	uint32_t mask = 0;
	uint32_t s;

	for (s = sch->workers[worker].first_segment; s != SCH_NONE;
	     s = sch->segments[s].next_on_worker)
		if (sch->promises[sch->segments[s].promise].claim_interval_ms <
		    run_ms)
			mask |= sch->segments[s].mask;
	return mask;
}

/* Estimates the probability, 0 to 1, that accelerators in the plans of a worker
 * are reclaimed from a job of this run time (ms) before it ends. */
double
sch_reclaim_risk(const struct sch *sch, uint32_t worker, int64_t run_ms)
{
	double risk = 0;
	uint32_t s;

	for (s = sch->workers[worker].first_segment; s != SCH_NONE;
	     s = sch->segments[s].next_on_worker) {
		int64_t interval =
		    sch->promises[sch->segments[s].promise].claim_interval_ms;
		double probability =
		    (double)run_ms / ((double)run_ms + (double)interval);

		if (probability > risk)
			risk = probability;
	}
	return risk;
}
