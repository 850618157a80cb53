#include <assert.h>

#include "scheduler_internal.h"

/* Weight of a new interval in the average. */
#define HEAT_ALPHA 0.2

static struct sch_heat *slot_of(
    const struct sch *sch, uint64_t promise, bool make);

static struct sch_heat *
slot_of(const struct sch *sch, uint64_t promise, bool make)
{
	uint32_t i;

	for (i = 0; i < SCH_HEAT_SLOTS; i++) {
		struct sch_heat *slot =
		    &sch->heats[(promise + i) % SCH_HEAT_SLOTS];

		if (slot->promise == promise)
			return slot;
		if (slot->promise != 0)
			continue;
		if (!make)
			return NULL;
		slot->promise = promise;
		return slot;
	}
	return NULL;
}

/* Notes that a guaranteed job was placed in a promise's plan now. */
void
sch_heat_note(struct sch *sch, uint32_t promise)
{
	struct sch_heat *slot =
	    slot_of(sch, sch->promises[promise].row->id, true);
	int64_t interval;

	if (slot == NULL)
		return;
	interval = sch->now_ms - slot->last_ms;
	if (slot->last_ms != 0 && slot->interval_ms == 0)
		slot->interval_ms = interval;
	else if (slot->last_ms != 0)
		slot->interval_ms += (int64_t)(HEAT_ALPHA *
		    (double)(interval - slot->interval_ms));
	slot->last_ms = sch->now_ms;
}

/* Returns how long (ms) a promise's plan is expected to stay unclaimed: the
 * average interval, or the time since the last claim where that is longer. */
int64_t
sch_heat_interval_ms(const struct sch *sch, uint64_t promise)
{
	const struct sch_heat *slot = slot_of(sch, promise, false);
	int64_t since;

	if (slot == NULL || slot->interval_ms == 0)
		return INT64_MAX;
	since = sch->now_ms - slot->last_ms;
	return since > slot->interval_ms ? since : slot->interval_ms;
}

/* Returns the accelerators of a worker that a job of this run time (ms) would
 * most likely have to give back before it ends. */
uint32_t
sch_heat_mask(const struct sch *sch, uint32_t worker, int64_t run_ms)
{
	uint32_t mask = 0;
	uint32_t c;

	for (c = sch->workers[worker].first_cell; c != SCH_NONE;
	     c = sch->cells[c].next_of_worker)
		if (sch->promises[sch->cells[c].promise].interval_ms < run_ms)
			mask |= sch->cells[c].mask;
	return mask;
}

/* Returns the chance, from 0 to 1, that a job of this run time (ms) has to give
 * planned accelerators of a worker back before it ends. */
double
sch_heat_risk(const struct sch *sch, uint32_t worker, int64_t run_ms)
{
	double risk = 0;
	uint32_t c;

	for (c = sch->workers[worker].first_cell; c != SCH_NONE;
	     c = sch->cells[c].next_of_worker) {
		int64_t interval =
		    sch->promises[sch->cells[c].promise].interval_ms;
		double one =
		    (double)run_ms / ((double)run_ms + (double)interval);

		if (one > risk)
			risk = one;
	}
	return risk;
}
