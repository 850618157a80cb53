#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"

/* Least time between two sums, and between two records. */
#define SUM_GAP_MS 500
/* While work waits, a record follows after this time though nothing changes, as
 * readers use none that is older than 5 s. */
#define REPEAT_MS 2000
/* Sums that are older are not published: the placer makes no decisions. */
#define SUM_AGE_MAX_MS 1000
#define LEDGER_NAME "0000000000000000"

static bool is_due(const struct fw_placer *placer, const struct bd_ledger *last,
    int64_t now_ms);
static void log_change(
    const struct bd_ledger *ledger, const struct bd_ledger *last);

/* Returns whether jobs of a configuration are subject to admission by work:
 * some queue has a priority above 0, and some has a completion target. */
bool
fw_ledger_enabled(const struct bd_setup *setup)
{
	const struct bd_queue *queues;
	bool priorities = false;
	bool targets = false;
	uint32_t i;

	if (setup == NULL)
		return false;
	queues = fw_setup_queues(setup);
	for (i = 0; i < setup->queue_count; i++) {
		priorities |= queues[i].priority > 0;
		targets |=
		    queues[i].target_ms > 0 || queues[i].stretch_milli > 0;
	}
	return priorities && targets;
}

/* Notes the ratio of run time to estimate of a run that is done. The first run
 * of a task only: a later one may have resumed from a checkpoint. */
void
fw_ledger_note_end(struct fw_placer *placer, const struct bd_flow *flow,
    const struct fw_run *run, int64_t now_ms)
{
	struct fw_task_ref ref;

	if (run->run != 1 || run->taken_over || run->over != FW_OVER_LISTED ||
	    run->end != FW_END_DONE)
		return;
	fw_task_ref_of(flow, run->index, &ref);
	fw_ratios_note(&placer->ledger.ratios, flow->queue,
	    fw_flow_steps(flow)[ref.step].estimate_ms, now_ms - run->placed_ms);
}

/* Makes the sums anew, at most every 500 ms, from a view after its placements.
 * Call within a read section. */
void
fw_ledger_update(struct fw_placer *placer, const struct fw_view *view)
{
	struct fw_ledger_book *book = &placer->ledger;

	if (!fw_ledger_enabled(fw_setup(view->board))) {
		book->summed_ms = 0;
		return;
	}
	if (book->summed_ms != 0 && view->now_ms >= book->summed_ms &&
	    view->now_ms - book->summed_ms < SUM_GAP_MS)
		return;
	if (fw_ledger_sum(&book->latest, view, &book->ratios) != CW_OK) {
		book->summed_ms = 0;
		ev_emit(EV_FLOW_NO_MEMORY, "what=ledger");
		return;
	}
	book->latest.term = placer->term;
	book->summed_ms = view->now_ms;
	book->sums++;
}

/* Returns whether the latest sums have to be published: work waits and they
 * have changed, or the last record is old; or nothing waits any more. */
static bool
is_due(const struct fw_placer *placer, const struct bd_ledger *last,
    int64_t now_ms)
{
	const struct fw_ledger_book *book = &placer->ledger;

	if (book->summed_ms == 0 || now_ms - book->summed_ms > SUM_AGE_MAX_MS ||
	    now_ms - book->published_ms < SUM_GAP_MS ||
	    (last != NULL && last->term == book->latest.term &&
		last->at_ms == book->latest.at_ms))
		return false;
	if (book->latest.pool_count == 0)
		return last != NULL && last->pool_count > 0;
	return last == NULL || last->term != book->latest.term ||
	    now_ms - book->published_ms >= REPEAT_MS ||
	    fw_ledger_differs(&book->latest, last);
}

/* Logs that work begins or ceases to wait for capacity. */
static void
log_change(const struct bd_ledger *ledger, const struct bd_ledger *last)
{
	uint32_t before = last != NULL ? last->pool_count : 0;
	uint32_t i;

	if (ledger->pool_count == 0 && before > 0)
		ev_emit(EV_FLOW_LEDGER_CLEAR, "term=%llu late_jobs=%llu",
		    (unsigned long long)ledger->term,
		    (unsigned long long)ledger->late_jobs);
	for (i = 0; before == 0 && i < ledger->pool_count; i++) {
		const struct bd_ledger_pool *pool = &ledger->pools[i];
		struct bd_work total = fw_ledger_total(pool);

		ev_emit(EV_FLOW_LEDGER_WAITS,
		    "service=%016llx accel_ms=%llu core_ms=%llu accels=%llu "
		    "returning=%llu leaving=%llu late_jobs=%llu",
		    (unsigned long long)pool->id,
		    (unsigned long long)total.accel_ms,
		    (unsigned long long)total.core_ms,
		    (unsigned long long)pool->present.accels,
		    (unsigned long long)pool->returning.accels,
		    (unsigned long long)pool->leaving.accels,
		    (unsigned long long)ledger->late_jobs);
	}
	if (ledger->left_out != 0 && (last == NULL || last->left_out == 0))
		ev_emit(EV_FLOW_LEDGER_LEFT_OUT, "services=%u accounts=%u",
		    ledger->pool_count, ledger->account_count);
}

/* Adds the ledger to the open batch of the jobs topic if it is due. One that
 * the store would refuse is left out. Call within a read section. Returns
 * FW_ENOMEM. */
int
fw_ledger_publish(struct fw_placer *placer, int64_t now_ms)
{
	struct fw_ledger_book *book = &placer->ledger;
	const struct bd_ledger *last =
	    bd_ledger_lookup(placer->parts.board, BD_CONFIG_ID);
	size_t bytes;
	void *value;
	int code;

	if (!is_due(placer, last, now_ms))
		return CW_OK;
	code = fw_ledger_encode(&book->latest, &value, &bytes);
	if (code != CW_OK)
		return code;
	book->published_ms = now_ms;
	if (fw_record_bytes(LEDGER_NAME, bytes) >
	    placer->parts.settings.record_bytes) {
		free(value);
		return CW_OK;
	}
	log_change(&book->latest, last);
	return fw_writer_add(
	    &placer->job_states, FW_RECORD_LEDGER, LEDGER_NAME, value, bytes);
}
