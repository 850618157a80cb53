#include "flow_internal.h"
#include "rejections.h"

/* A job is rejected only after a read of the topic that was sent after the
 * call, which takes some ms, or some 70 ms from the other region. A call that
 * waits longer is accepted. */
#define CONFIRM_WAIT_MS 300

static bool is_on_board(const struct bd_board *board, uint64_t id);
static bool is_absent(
    const struct fw_front *front, uint64_t id, int64_t deadline_ms);
static void consult_ledger(const struct fw_front *front,
    const struct bd_flow *flow, const struct fw_need *need, int64_t wall_ms,
    struct fw_verdict *verdict, int64_t *age_ms);

/*
 * Returns whether the live jobs of priority 0 of a job's account, with this
 * job, need no more than the account's guaranteed accelerators. The VM knows
 * the end of a job once the placer has published it, so the lower one of this
 * VM's sum and the ledger's counts.
 */
bool
fw_guarantee_covers(const struct bd_board *board, const struct bd_flow *flow)
{
	const struct bd_setup *setup = fw_setup(board);
	const struct bd_client *client =
	    setup != NULL ? fw_client_find(setup, flow->client) : NULL;
	const struct bd_ledger *ledger = bd_ledger_lookup(board, BD_CONFIG_ID);
	const struct bd_flow_step *steps;
	const struct bd_flow *row;
	uint64_t need = 0;
	uint64_t own = 0;
	uint32_t cursor = 0;
	uint32_t i;

	if (client == NULL || flow->priority != 0)
		return false;
	steps = fw_flow_steps(flow);
	for (i = 0; i < flow->step_count; i++)
		own += (uint64_t)steps[i].count * steps[i].accels;
	while ((row = bd_flow_next(board, &cursor)) != NULL) {
		if (row->client != flow->client || row->priority != 0 ||
		    row->id == flow->id || fw_flow_ended(row))
			continue;
		steps = fw_flow_steps(row);
		for (i = 0; i < row->step_count; i++)
			need += (uint64_t)steps[i].count * steps[i].accels;
	}
	for (i = 0; ledger != NULL && i < ledger->account_count; i++)
		if (ledger->accounts[i].id == flow->client &&
		    ledger->accounts[i].urgent_accels < need)
			need = ledger->accounts[i].urgent_accels;
	return need + own <= client->guaranteed_accels;
}

static bool
is_on_board(const struct bd_board *board, uint64_t id)
{
	bool found;

	bd_read_begin();
	found = bd_flow_lookup(board, id) != NULL;
	bd_read_end();
	return found;
}

/* Returns whether a job is missing in a copy of the jobs that was read after
 * this call. Another VM may have stored it just before. */
static bool
is_absent(const struct fw_front *front, uint64_t id, int64_t deadline_ms)
{
	int64_t start_ms = cw_clock_mono_ms();
	int64_t until_ms = start_ms + CONFIRM_WAIT_MS;

	if (until_ms > deadline_ms)
		until_ms = deadline_ms;
	for (;;) {
		uint64_t seen = bd_notify_count(front->board);
		int64_t left_ms = until_ms - cw_clock_mono_ms();
		bool complete = fw_follower_age_ms(front->jobs, start_ms) < 0;

		if (is_on_board(front->board, id))
			return false;
		if (complete)
			return true;
		if (left_ms <= 0)
			return false;
		fw_follower_refresh(front->jobs);
		bd_wait(front->board, seen, left_ms);
	}
}

/* Decides on a job by the ledger of this VM's board. */
static void
consult_ledger(const struct fw_front *front, const struct bd_flow *flow,
    const struct fw_need *need, int64_t wall_ms, struct fw_verdict *verdict,
    int64_t *age_ms)
{
	const struct bd_ledger *ledger;

	bd_read_begin();
	ledger = bd_ledger_lookup(front->board, BD_CONFIG_ID);
	*age_ms = ledger != NULL ? wall_ms - ledger->at_ms : -1;
	if (!fw_ledger_enabled(fw_setup(front->board)))
		ledger = NULL;
	fw_admit(ledger, need, wall_ms, verdict);
	/* All jobs are visited, so only for one that would be rejected. */
	if (fw_verdict_rejects(verdict) &&
	    fw_guarantee_covers(front->board, flow))
		verdict->reason = FW_ACCEPT_GUARANTEED;
	bd_read_end();
}

/*
 * Returns FW_EOVERLOAD if a new job is rejected, as by the ledger it would
 * complete too late. Nothing was stored by this VM then, nor by another one as
 * far as a read after the call tells; an attempt that may be stored is never
 * rejected.
 */
int
fw_overload_check(const struct fw_front *front, const struct bd_flow *flow,
    int64_t wall_ms, int64_t deadline_ms)
{
	struct fw_verdict verdict;
	struct fw_need need;
	int64_t age_ms;

	if (front->rejections == NULL)
		return CW_OK;
	fw_need_of(flow, &need);
	consult_ledger(front, flow, &need, wall_ms, &verdict, &age_ms);
	if (fw_verdict_rejects(&verdict) &&
	    fw_admission_is_pending(front->admission, flow->id))
		verdict.reason = FW_ACCEPT_MAYBE_STORED;
	if (fw_verdict_rejects(&verdict) &&
	    !is_absent(front, flow->id, deadline_ms))
		verdict.reason = is_on_board(front->board, flow->id)
		    ? FW_ACCEPT_MAYBE_STORED
		    : FW_ACCEPT_UNCONFIRMED;
	fw_rejections_note(front->rejections, &need, &verdict, wall_ms);
	fw_rejections_find_early(front->rejections, front->board);
	if (!fw_verdict_rejects(&verdict))
		return CW_OK;
	ev_emit(EV_FLOW_REJECTED,
	    "job=%s service=%016llx account=%016llx priority=%u "
	    "expected_ms=%lld limit_ms=%lld reason=%s retry_after_s=%u "
	    "ledger_age_ms=%lld",
	    flow->name, (unsigned long long)need.pool,
	    (unsigned long long)need.account, need.priority,
	    (long long)verdict.expected_ms, (long long)verdict.limit_ms,
	    fw_verdict_name(verdict.reason), verdict.retry_after_s,
	    (long long)age_ms);
	return cw_error_set(FW_EOVERLOAD,
	    "the job would complete too late to be useful; nothing was run");
}
