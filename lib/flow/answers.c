#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"

/* Pause before an order that was not carried out is repeated. */
#define RETRY_MS 50
/* Interval between holds to a worker that does not answer: short while one of
 * its leases may still be valid, its answer decides about runs, or it may be
 * cut off and is wanted back soon; longer once it has been silent for long. */
#define SILENT_RETRY_MS 400
#define SILENT_EXPIRED_RETRY_MS 2000
#define SILENT_LONG_MS 15000
/* A hold returns at once while the worker lists ends that have not been
 * acknowledged; the pause avoids polling in a busy loop. */
#define HOLD_ENDS_PAUSE_MS 500

static void update_liveness(struct fw_placer *placer, uint32_t handle,
    const struct fw_report *report, bool is_hold, int64_t now_ms);
static void handle_replacement(
    struct fw_placer *placer, uint32_t handle, int64_t now_ms);
static uint32_t count_late_starts(
    const struct fw_tables *tables, uint32_t worker, int64_t now_ms);
static void begin_incarnation(struct fw_placer *placer, uint32_t handle,
    int64_t incarnation_ms, int64_t now_ms);
static void handle_start_answer(
    struct fw_run *run, const struct fw_call *call, int64_t now_ms);
static void handle_hold_answer(
    struct fw_placer *placer, uint32_t handle, struct fw_call *call);
static void note_grant(const struct fw_tables *tables,
    struct fw_worker_state *worker, const struct fw_call *call);
static void note_ack(
    struct fw_worker_state *worker, const struct fw_report *report);
static void handle_answer(
    struct fw_placer *placer, struct fw_call *call, int64_t now_ms);

/* Handles an answer of another worker at a worker's address: it is gone with
 * all of its runs, although its entry may stay in the store for some
 * heartbeats, unless the address is wrong. fw_runs_sync ends its runs once no
 * order is in flight, or once their leases have expired. */
static void
handle_replacement(struct fw_placer *placer, uint32_t handle, int64_t now_ms)
{
	struct fw_worker_state *worker = &placer->tables.worker_states[handle];

	if (worker->replaced)
		return;
	begin_incarnation(placer, handle, 0, now_ms);
	worker->replaced = true;
	worker->clock_read_ms = 0;
	/* The last report of the worker may list ends that still count. */
	if (!worker->report_unread)
		fw_report_free(&worker->report);
}

/* Returns the number of runs of a worker of which a start may still arrive. */
static uint32_t
count_late_starts(
    const struct fw_tables *tables, uint32_t worker, int64_t now_ms)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = tables->worker_states[worker].first_run; i != FW_NONE;
	     i = tables->runs[i].worker_next)
		count += fw_run_may_arrive(&tables->runs[i], now_ms);
	return count;
}

/* Discards what belongs to the former incarnation of a worker. Its runs are not
 * ended here: the new one may have accepted their starts, since answers to
 * starts do not name the incarnation. 0: the new incarnation is unknown. */
static void
begin_incarnation(struct fw_placer *placer, uint32_t handle,
    int64_t incarnation_ms, int64_t now_ms)
{
	struct fw_worker_state *worker = &placer->tables.worker_states[handle];

	if (worker->incarnation_ms != 0)
		ev_emit(EV_FLOW_HOST_REBORN,
		    "worker=%s born=%lld before=%lld runs=%u late_starts=%u "
		    "grant_unknown_ms_ago=%lld",
		    worker->name, (long long)incarnation_ms,
		    (long long)worker->incarnation_ms, worker->run_count,
		    count_late_starts(&placer->tables, handle, now_ms),
		    worker->grant_unknown_ms == 0
			? -1LL
			: (long long)(now_ms - worker->grant_unknown_ms));
	if (worker->incarnation_ms != 0)
		fw_worker_state_reborn(&placer->tables, worker, now_ms);
	worker->incarnation_ms = incarnation_ms;
	worker->end_ack = worker->end_ack_sent = worker->void_end = 0;
	worker->first_list_ms = 0;
	worker->failed_count = 0;
}

/* Updates from an answer whether the worker responds, and its clock. A single
 * order may time out on a healthy worker, so time-outs count for holds only; a
 * refused connection counts for any order. */
static void
update_liveness(struct fw_placer *placer, uint32_t handle,
    const struct fw_report *report, bool is_hold, int64_t now_ms)
{
	struct fw_worker_state *worker = &placer->tables.worker_states[handle];
	bool no_answer = report->answer >= FW_ANSWER_CONN_REFUSED;
	bool refused = report->answer == FW_ANSWER_CONN_REFUSED;

	worker->refusals = refused ? worker->refusals + 1 : 0;
	if (no_answer && (is_hold || refused) &&
	    worker->unresponsive_since_ms == 0) {
		worker->unresponsive_since_ms = now_ms;
		fw_silence_began(&worker->silences, now_ms);
		ev_emit(EV_FLOW_HOST_SILENT, "worker=%s answer=%s runs=%u",
		    worker->name, fw_answer_name(report->answer),
		    worker->run_count);
	} else if (!no_answer && worker->unresponsive_since_ms != 0) {
		ev_emit(EV_FLOW_HOST_BACK, "worker=%s silent_ms=%lld",
		    worker->name,
		    (long long)(now_ms - worker->unresponsive_since_ms));
		worker->unresponsive_since_ms = 0;
		fw_silence_ended(&worker->silences, now_ms);
		worker->next_hold_ms = 0;
	}
	if (fw_address_answered(worker, report))
		handle_replacement(placer, handle, now_ms);
	if (report->answer == FW_ANSWER_RESTARTED)
		return;
	if (fw_worker_state_clock_is_back(worker, report)) {
		fw_worker_state_reborn(&placer->tables, worker, now_ms);
		worker->list_from_ms = now_ms;
		worker->probe_due = true;
		worker->next_hold_ms = 0;
	}
	if (report->clock_ms > 0)
		fw_worker_state_set_clock(
		    worker, report->clock_ms, report->now_ms);
	if (report->answer == FW_ANSWER_FENCED)
		fw_duty_fenced(placer->parts.duty, placer->term);
}

/* Handles the answer to a start. An answer that rules out that this start was
 * carried out resets start_sent to its value before the start. */
static void
handle_start_answer(
    struct fw_run *run, const struct fw_call *call, int64_t now_ms)
{
	const struct fw_report *report = &call->report;

	switch (report->answer) {
	case FW_ANSWER_DONE:
		run->ask_ms = 0;
		if (run->phase != FW_PHASE_ENDED) {
			run->phase = FW_PHASE_RUNNING;
			run->listed_from_ms = now_ms;
			run->progressed_ms = now_ms;
		}
		return;
	case FW_ANSWER_RUN_OVER:
		/* An earlier start was carried out and the run has ended: the
		 * next report lists its end, or the run is lost. */
		run->listed_from_ms = now_ms;
		run->refused_as_over = true;
		run->ask_ms = 0;
		if (run->phase != FW_PHASE_ENDED)
			run->phase = FW_PHASE_RUNNING;
		return;
	case FW_ANSWER_NO_CAPACITY:
	case FW_ANSWER_REJECTED:
		run->stop_requested = true;
		run->start_sent = call->sent_before;
		break;
	case FW_ANSWER_LEASE_EXPIRED:
		run->retry_ms = now_ms;
		run->start_sent = call->sent_before;
		break;
	case FW_ANSWER_BUSY:
	case FW_ANSWER_CONN_REFUSED:
	case FW_ANSWER_NOT_SENT:
	case FW_ANSWER_RESTARTED:
		run->retry_ms = now_ms + RETRY_MS;
		run->start_sent = call->sent_before;
		break;
	default:
		run->retry_ms = now_ms + RETRY_MS;
		run->start_uncertain = true;
		run->start_assumed = false;
		run->start_silent =
		    report->now_ms - report->sent_ms >= FW_ORDER_TIMEOUT_MS;
		run->uncertain_ms = report->sent_ms;
		break;
	}
	ev_emit(EV_FLOW_START_FAILED, "job=%016llx task=%u run=%u answer=%s",
	    (unsigned long long)run->flow, run->index, run->run,
	    fw_answer_name(report->answer));
}

/* Keeps the report for fw_runs_sync, unless a later one is already there. */
static void
handle_hold_answer(
    struct fw_placer *placer, uint32_t handle, struct fw_call *call)
{
	struct fw_worker_state *worker = &placer->tables.worker_states[handle];
	const struct fw_report *report = &call->report;
	bool is_latest = call->hold == worker->hold;

	if (is_latest)
		worker->hold_in_flight = false;
	if (report->answer != FW_ANSWER_DONE && !is_latest)
		return;
	if (report->answer != FW_ANSWER_DONE) {
		worker->list_from_ms = report->now_ms;
		worker->next_hold_ms = report->now_ms +
		    (report->now_ms > worker->lease_end_ms &&
				worker->unresolved_runs == 0 &&
				report->now_ms - worker->unresponsive_since_ms >
				    SILENT_LONG_MS
			    ? SILENT_EXPIRED_RETRY_MS
			    : SILENT_RETRY_MS);
		return;
	}
	if (!worker->reported)
		fw_first_list_leases(placer, worker, report);
	worker->reported = true;
	if (report->sent_ms < worker->report.sent_ms) {
		if (report->incarnation_ms != worker->incarnation_ms)
			ev_emit(EV_FLOW_HOST_OLD,
			    "worker=%s born=%lld known=%lld "
			    "sent_ms_ago=%lld",
			    worker->name, (long long)report->incarnation_ms,
			    (long long)worker->incarnation_ms,
			    (long long)(report->now_ms - report->sent_ms));
		return;
	}
	if (report->incarnation_ms != 0 &&
	    report->incarnation_ms != worker->incarnation_ms)
		begin_incarnation(
		    placer, handle, report->incarnation_ms, report->now_ms);
	else if (call->end_ack > worker->end_ack_sent)
		worker->end_ack_sent = call->end_ack;
	fw_report_free(&worker->report);
	worker->report = *report;
	if (worker->first_list_ms == 0)
		worker->first_list_ms = report->now_ms;
	worker->report_unread = true;
	worker->listed_checked = 0;
	memset(&call->report, 0, sizeof(call->report));
	worker->next_hold_ms = worker->report.end_count > 0
	    ? worker->report.now_ms + HOLD_ENDS_PAUSE_MS
	    : 0;
}

/* Notes what is known of the lease that an order grants from its answer, or
 * that there was none. */
static void
note_grant(const struct fw_tables *tables, struct fw_worker_state *worker,
    const struct fw_call *call)
{
	const struct fw_report *report = &call->report;

	switch (report->answer) {
	case FW_ANSWER_DONE:
	case FW_ANSWER_RUN_OVER:
	case FW_ANSWER_NO_CAPACITY:
		fw_worker_state_lease_answered(
		    tables, worker, call->until_ms, report);
		break;
	case FW_ANSWER_UNKNOWN:
		if (report->sent_ms <= worker->grant_unknown_ms)
			break;
		worker->grant_unknown_ms = report->sent_ms;
		fw_worker_state_expect_late_grant(tables, worker);
		break;
	default:
		break;
	}
}

/* Notes the answer to a hold that acknowledges ends, or that it had none. */
static void
note_ack(struct fw_worker_state *worker, const struct fw_report *report)
{
	assert(worker->acks_in_flight > 0);
	worker->acks_in_flight--;
	if (report->answer == FW_ANSWER_UNKNOWN &&
	    report->sent_ms > worker->ack_unknown_ms)
		worker->ack_unknown_ms = report->sent_ms;
}

static void
handle_answer(struct fw_placer *placer, struct fw_call *call, int64_t now_ms)
{
	uint32_t handle = fw_worker_state_find(&placer->tables, call->host);
	uint32_t run_handle;
	struct fw_worker_state *worker;
	struct fw_run *run;

	if (call->term != placer->term || handle == FW_NONE)
		return;
	worker = &placer->tables.worker_states[handle];
	run_handle = FW_NONE;
	if (call->kind != FW_ORDER_HOLD)
		run_handle = fw_run_find(
		    &placer->tables, call->flow, call->index, call->run);
	if (call->until_ms > 0)
		note_grant(&placer->tables, worker, call);
	update_liveness(placer, handle, &call->report,
	    call->kind == FW_ORDER_HOLD && call->hold == worker->hold, now_ms);
	if (call->kind == FW_ORDER_HOLD) {
		if (call->end_ack > 0)
			note_ack(worker, &call->report);
		handle_hold_answer(placer, handle, call);
		return;
	}
	assert(worker->orders_in_flight > 0);
	worker->orders_in_flight--;
	if (run_handle == FW_NONE)
		return;
	run = &placer->tables.runs[run_handle];
	run->order_in_flight = false;
	if (call->kind == FW_ORDER_START) {
		run->start_in_flight = false;
		if (call->report.answer == FW_ANSWER_UNKNOWN)
			worker->list_from_ms = now_ms;
		handle_start_answer(run, call, now_ms);
	} else if (call->report.answer == FW_ANSWER_DONE) {
		run->stop_acked = true;
		run->listed_from_ms = now_ms;
	} else
		run->retry_ms = now_ms +
		    (worker->unresponsive_since_ms != 0 ? SILENT_RETRY_MS
							: RETRY_MS);
}

/* Handles the answers that have arrived since the last call. */
void
fw_answers_handle(struct fw_placer *placer, int64_t now_ms)
{
	struct fw_call *call;
	struct fw_call *next;

	pthread_mutex_lock(&placer->lock);
	call = placer->inbox;
	placer->inbox = NULL;
	placer->inbox_last = &placer->inbox;
	pthread_mutex_unlock(&placer->lock);
	for (; call != NULL; call = next) {
		next = call->next;
		handle_answer(placer, call, now_ms);
		fw_report_free(&call->report);
		free(call);
	}
}
