#include "flow_internal.h"

static bool over_by_lease(const struct fw_run *run, int64_t incarnation_ms);

/*
 * Returns whether leases are renewed with the holds to a worker: it answers,
 * and a run of it may be alive, or an end waits until no start can follow it.
 * The lease of a worker without runs has to lapse, as that alone voids an end
 * that must not be acknowledged.
 */
bool
fw_worker_renews(const struct fw_tables *tables, uint32_t handle)
{
	const struct fw_worker_state *worker = &tables->worker_states[handle];

	if (worker->clock_read_ms == 0 || worker->unresponsive_since_ms != 0 ||
	    worker->run_count == 0)
		return false;
	return worker->report.run_count > 0 || worker->put_off ||
	    fw_worker_has_open_run(tables, worker);
}

/*
 * Returns whether the lease of a worker is certain to have lapsed after all
 * ends of its latest report: each lease that may have been granted is over, on
 * the slowest permitted clock, by whichever answer and however late its order
 * was carried out. Orders of earlier placers, and those with a time on the
 * clock of an earlier incarnation, may be carried out for FW_ORDER_LATE_MAX_MS
 * after the first list of this one.
 */
bool
fw_lapse_is_certain(const struct fw_tables *tables,
    const struct fw_worker_state *worker, int64_t now_ms)
{
	return worker->first_list_ms != 0 && now_ms > worker->lease_end_ms &&
	    now_ms >
	    worker->first_list_ms + FW_ORDER_LATE_MAX_MS + tables->lease_max_ms;
}

/* Returns whether there are listed ends that have become void since the latest
 * report was applied. */
bool
fw_ends_become_void(const struct fw_tables *tables,
    const struct fw_worker_state *worker, int64_t now_ms)
{
	const struct fw_report *report = &worker->report;

	return report->end_count > 0 &&
	    worker->void_end < fw_report_last_number(report) &&
	    fw_lapse_is_certain(tables, worker, now_ms);
}

/* Returns whether a worker gets no runs until its lease has lapsed: it lists
 * too many ends behind one that is held up, not just by being stored. */
bool
fw_ends_need_lapse(const struct fw_worker_state *worker)
{
	return worker->held_up &&
	    worker->report.end_count > FW_ENDS_WAITING_MAX;
}

/* Returns whether a run counted as over because all leases had expired, on the
 * incarnation that lists its end now: it ended before they did. Another
 * incarnation may have carried out a late start of it. */
static bool
over_by_lease(const struct fw_run *run, int64_t incarnation_ms)
{
	return run->phase == FW_PHASE_ENDED &&
	    run->over == FW_OVER_LEASE_EXPIRED && incarnation_ms != 0 &&
	    run->start_incarnation_ms == incarnation_ms;
}

/* Notes that an end is void, and all ends before it, if it is the end of a run
 * that was over by the lease. */
void
fw_void_end_note(struct fw_worker_state *worker, const struct fw_run *run,
    const struct fw_listed_end *end)
{
	if (end->number > worker->void_end &&
	    over_by_lease(run, worker->report.incarnation_ms))
		worker->void_end = end->number;
}

/* Notes the ends that are void as a lease has lapsed after them: those before
 * the latest end by an expired lease, and all if the lease has lapsed since. */
void
fw_void_ends_find(const struct fw_tables *tables,
    struct fw_worker_state *worker, int64_t now_ms)
{
	const struct fw_report *report = &worker->report;
	uint32_t i = report->end_count;

	if (fw_ends_become_void(tables, worker, now_ms)) {
		worker->void_end = fw_report_last_number(report);
		return;
	}
	while (i > 0)
		if (report->ends[--i].end == FW_END_LEASE_EXPIRED) {
			if (report->ends[i].number > worker->void_end + 1)
				worker->void_end = report->ends[i].number - 1;
			return;
		}
}
