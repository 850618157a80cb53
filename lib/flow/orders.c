#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"

/* A worker answers within some ms, 60 more between regions; a call without an
 * answer by then is taken as lost and may still be carried out. */
#define ORDER_TIMEOUT_MS 1200
/* A start is the same start however often it is sent, so it is repeated soon.
 */
#define START_TIMEOUT_MS 450
#define RETRY_MS 50
/* A hold waits for the next end. The platform allows 2 s; less while the next
 * list decides something. */
#define HOLD_WAIT_MS 2000
#define HOLD_WAIT_SHORT_MS 150
/* Pause between looks at a worker that does not answer: short while a lease may
 * still be renewed, longer once all of its runs are over. */
#define SILENT_RETRY_MS 400
#define SILENT_OVER_RETRY_MS 2000
/* Ends that are not stored yet make a hold return at once. */
#define HOLD_PAUSE_MS 500
/* Orders to one worker at a time, beside the hold: each is a connection. */
#define ORDERS_MAX 2
/* Leases are renewed for so long without a confirmed duty, which outlasts the
 * outages of the store that are borne without losing work. */
#define UNPROVEN_MAX_MS 10000

static void on_report(void *ctx, const struct fw_report *report);
static struct fw_call *call_new(struct fw_placer *placer,
    const struct fw_link *link, enum fw_order_kind kind);
static bool send(struct fw_placer *placer, struct fw_call *call,
    const struct fw_order *order);
static void prepare(struct fw_placer *placer, const struct fw_link *link,
    struct fw_order *order);
static void send_start(struct fw_placer *placer, struct fw_run *run,
    const struct bd_flow *flow, int64_t now_ms);
static void send_stop(
    struct fw_placer *placer, struct fw_run *run, const struct bd_flow *flow);
static void send_for_run(struct fw_placer *placer, struct fw_run *run,
    const struct bd_flow *flow, struct fw_order *order);
static void send_hold(
    struct fw_placer *placer, struct fw_link *link, int64_t now_ms);
static void send_run(
    struct fw_placer *placer, struct fw_run *run, int64_t now_ms);
static bool wants_hold(const struct fw_link *link, int64_t now_ms);
static void take_contact(struct fw_placer *placer, struct fw_link *link,
    const struct fw_report *report, bool is_hold, int64_t now_ms);
static void take_reborn(
    struct fw_placer *placer, uint32_t handle, int64_t born_ms);
static void take_start(
    struct fw_run *run, const struct fw_call *call, int64_t now_ms);
static void take_hold(
    struct fw_placer *placer, uint32_t handle, struct fw_call *call);
static void take_call(
    struct fw_placer *placer, struct fw_call *call, int64_t now_ms);

static void
on_report(void *ctx, const struct fw_report *report)
{
	struct fw_call *call = ctx;
	struct fw_placer *placer = call->placer;

	if (fw_report_copy(report, &call->report) != CW_OK)
		call->report.answer = FW_ANSWER_UNKNOWN;
	pthread_mutex_lock(&placer->lock);
	*placer->inbox_last = call;
	placer->inbox_last = &call->next;
	placer->open--;
	pthread_mutex_unlock(&placer->lock);
	bd_publish(placer->parts.board);
}

static struct fw_call *
call_new(struct fw_placer *placer, const struct fw_link *link,
    enum fw_order_kind kind)
{
	struct fw_call *call = calloc(1, sizeof(*call));

	if (call == NULL) {
		ev_emit(EV_FLOW_NO_MEMORY, "what=order");
		return NULL;
	}
	call->placer = placer;
	call->kind = kind;
	call->term = placer->term;
	call->host = link->host;
	return call;
}

static bool
send(struct fw_placer *placer, struct fw_call *call,
    const struct fw_order *order)
{
	fw_calls_open(placer, 1);
	if (placer->parts.workers.order(placer->parts.workers.ctx, order) ==
	    CW_OK)
		return true;
	fw_calls_open(placer, -1);
	free(call);
	return false;
}

static void
prepare(struct fw_placer *placer, const struct fw_link *link,
    struct fw_order *order)
{
	order->address = link->address;
	order->host = link->name;
	order->token = placer->term;
	order->timeout_ms = ORDER_TIMEOUT_MS;
	order->checkpoint = "";
	order->done = on_report;
}

/* Sends an order about one run. */
static void
send_for_run(struct fw_placer *placer, struct fw_run *run,
    const struct bd_flow *flow, struct fw_order *order)
{
	struct fw_link *link = &placer->tables.links[run->link];
	struct fw_call *call = call_new(placer, link, order->kind);

	if (call == NULL)
		return;
	fw_task_ref_of(flow, run->index, &order->task);
	order->run = run->run;
	order->ctx = call;
	call->flow = run->flow;
	call->index = run->index;
	call->run = run->run;
	call->sent_before = run->sent;
	if (!send(placer, call, order))
		return;
	run->busy = true;
	link->orders_busy++;
}

static void
send_start(struct fw_placer *placer, struct fw_run *run,
    const struct bd_flow *flow, int64_t now_ms)
{
	struct fw_link *link = &placer->tables.links[run->link];
	struct fw_order order = {.kind = FW_ORDER_START};

	prepare(placer, link, &order);
	order.timeout_ms = START_TIMEOUT_MS;
	order.until_ms =
	    fw_link_until(link, now_ms, placer->parts.settings.lease_ms);
	order.text = fw_flow_text(flow);
	order.text_bytes = flow->text_bytes;
	order.checkpoint = fw_flow_tasks(flow)[run->index].checkpoint;
	send_for_run(placer, run, flow, &order);
	if (!run->busy)
		return;
	fw_link_granted(link, order.until_ms);
	run->sent = true;
}

static void
send_stop(
    struct fw_placer *placer, struct fw_run *run, const struct bd_flow *flow)
{
	struct fw_order order = {.kind = FW_ORDER_STOP};

	prepare(placer, &placer->tables.links[run->link], &order);
	send_for_run(placer, run, flow, &order);
}

/* Decides what a run needs next: its start, its stop, or nothing. */
static void
send_run(struct fw_placer *placer, struct fw_run *run, int64_t now_ms)
{
	struct fw_link *link = &placer->tables.links[run->link];
	const struct bd_flow *flow =
	    bd_flow_lookup(placer->parts.board, run->flow);

	/* A silent worker is only looked at: orders to 49 workers that had gone
	 * were 900 refused connections a second. */
	if (flow == NULL || run->busy || now_ms < run->retry_ms ||
	    link->address[0] == '\0' || link->silent_ms != 0 ||
	    link->orders_busy >= ORDERS_MAX || run->phase == FW_PHASE_ENDED ||
	    run->unplaced_ms != 0)
		return;
	if (run->stop) {
		if (!run->stopped)
			send_stop(placer, run, flow);
		return;
	}
	if (run->phase == FW_PHASE_NEW && link->clock_at_ms != 0)
		send_start(placer, run, flow, now_ms);
}

static bool
wants_hold(const struct fw_link *link, int64_t now_ms)
{
	if (link->address[0] == '\0' || link->hold_busy ||
	    now_ms < link->next_hold_ms)
		return false;
	if (!link->listed && link->run_count == 0)
		return false;
	return !link->reported || link->run_count > 0 || link->silent_ms != 0 ||
	    link->ended_told < link->ended_upto;
}

static void
send_hold(struct fw_placer *placer, struct fw_link *link, int64_t now_ms)
{
	struct fw_call *call = call_new(placer, link, FW_ORDER_HOLD);
	struct fw_order order = {.kind = FW_ORDER_HOLD};
	bool quick = !link->reported || link->doubtful > 0 ||
	    link->run_count == 0 || link->silent_ms != 0;

	if (call == NULL)
		return;
	prepare(placer, link, &order);
	/* A worker that does not answer is only looked at: each lease that may
	 * have been granted puts off the time at which its runs are lost. */
	if (link->run_count > 0 && link->clock_at_ms != 0 &&
	    link->silent_ms == 0)
		order.until_ms = fw_link_until(
		    link, now_ms, placer->parts.settings.lease_ms);
	order.ended_upto = link->ended_upto;
	order.wait_ms =
	    !link->reported || link->run_count == 0 || link->silent_ms != 0 ? 0
	    : quick ? HOLD_WAIT_SHORT_MS
		    : HOLD_WAIT_MS;
	order.timeout_ms = ORDER_TIMEOUT_MS + order.wait_ms;
	order.ctx = call;
	call->ended_upto = link->ended_upto;
	if (!send(placer, call, &order))
		return;
	if (order.until_ms > 0)
		fw_link_granted(link, order.until_ms);
	link->hold_busy = true;
	link->hold_sent_ms = now_ms;
}

/*
 * Sends the orders that are due: a start for each new run, a stop for each run
 * that is to end, and a hold for each worker with runs. proven_ms is when the
 * duty was last confirmed; without confirmation leases are not renewed for
 * ever. Call within a read section.
 */
void
fw_orders_send(struct fw_placer *placer, int64_t now_ms, int64_t proven_ms)
{
	struct fw_tables *tables = &placer->tables;
	uint32_t i;

	for (i = 0; i < tables->run_count; i++)
		if (tables->runs[i].used)
			send_run(placer, &tables->runs[i], now_ms);
	if (now_ms - proven_ms > UNPROVEN_MAX_MS)
		return;
	for (i = 0; i < tables->link_count; i++)
		if (wants_hold(&tables->links[i], now_ms))
			send_hold(placer, &tables->links[i], now_ms);
}

/* A worker that has started anew knows none of the runs of its former life. It
 * may have taken, or may still take, a start whose answer does not tell its
 * life; such a run is stopped there, which keeps later starts out. The answer
 * to an open order is waited for. */
static void
take_reborn(struct fw_placer *placer, uint32_t handle, int64_t born_ms)
{
	struct fw_tables *tables = &placer->tables;
	struct fw_link *link = &tables->links[handle];
	uint32_t i;

	ev_emit(EV_FLOW_HOST_REBORN, "worker=%s born=%lld before=%lld",
	    link->name, (long long)born_ms, (long long)link->born_ms);
	for (i = 0; i < tables->run_count; i++) {
		struct fw_run *run = &tables->runs[i];

		if (!run->used || run->link != handle ||
		    (born_ms != 0 && run->born_ms == born_ms))
			continue;
		if (born_ms == 0)
			fw_run_end(run, FW_END_LOST);
		else if (run->busy)
			run->crossed = true;
		else if (run->loose || run->phase == FW_PHASE_ADOPTED)
			run->stop = true;
		else
			fw_run_end(run, FW_END_LOST);
	}
	link->born_ms = born_ms;
	link->ended_upto = link->ended_told = 0;
	link->clock_at_ms = 0;
	link->failed_count = 0;
	fw_report_free(&link->report);
}

/* Notes whether a worker answers its holds, its clock and its life. Single
 * orders may stay unanswered on a sound worker, but none is refused there. */
static void
take_contact(struct fw_placer *placer, struct fw_link *link,
    const struct fw_report *report, bool is_hold, int64_t now_ms)
{
	bool silent = report->answer >= FW_ANSWER_REFUSED;
	bool refused = report->answer == FW_ANSWER_REFUSED;
	uint32_t handle = (uint32_t)(link - placer->tables.links);

	link->refusals = refused ? link->refusals + 1 : 0;
	if (silent && (is_hold || refused) && link->silent_ms == 0) {
		link->silent_ms = now_ms;
		ev_emit(EV_FLOW_HOST_SILENT, "worker=%s answer=%s runs=%u",
		    link->name, fw_answer_name(report->answer),
		    link->run_count);
	} else if (!silent && link->silent_ms != 0) {
		ev_emit(EV_FLOW_HOST_BACK, "worker=%s silent_ms=%lld",
		    link->name, (long long)(now_ms - link->silent_ms));
		link->silent_ms = 0;
	}
	if (report->answer == FW_ANSWER_REBORN)
		take_reborn(placer, handle, 0);
	else if (report->born_ms != 0 && link->born_ms != report->born_ms) {
		if (link->born_ms != 0)
			take_reborn(placer, handle, report->born_ms);
		link->born_ms = report->born_ms;
	}
	if (report->clock_ms > 0)
		fw_link_clock(link, report->clock_ms, report->now_ms);
	if (report->answer == FW_ANSWER_FENCED)
		fw_duty_superseded(placer->parts.duty, placer->term);
}

static void
take_start(struct fw_run *run, const struct fw_call *call, int64_t now_ms)
{
	const struct fw_report *report = &call->report;

	switch (report->answer) {
	case FW_ANSWER_DONE:
		if (run->phase != FW_PHASE_ENDED) {
			run->phase = FW_PHASE_UP;
			run->sure_ms = now_ms;
			run->moved_ms = now_ms;
		}
		return;
	case FW_ANSWER_OLD:
		/* An earlier start was carried out and the run has ended: the
		 * next list has its end, or it is gone. */
		run->sure_ms = now_ms;
		if (run->phase != FW_PHASE_ENDED)
			run->phase = FW_PHASE_UP;
		return;
	case FW_ANSWER_ROOM:
	case FW_ANSWER_REJECTED:
		run->stop = true;
		run->sent = call->sent_before;
		break;
	case FW_ANSWER_LATE:
		run->retry_ms = now_ms;
		run->sent = call->sent_before;
		break;
	case FW_ANSWER_BUSY:
	case FW_ANSWER_REFUSED:
	case FW_ANSWER_NOT_SENT:
		run->retry_ms = now_ms + RETRY_MS;
		run->sent = call->sent_before;
		break;
	default:
		run->retry_ms = now_ms + RETRY_MS;
		run->loose = true;
		break;
	}
	ev_emit(EV_FLOW_START_FAILED, "job=%016llx task=%u run=%u answer=%s",
	    (unsigned long long)run->flow, run->index, run->run,
	    fw_answer_name(report->answer));
}

static void
take_hold(struct fw_placer *placer, uint32_t handle, struct fw_call *call)
{
	struct fw_link *link = &placer->tables.links[handle];
	const struct fw_report *report = &call->report;

	link->hold_busy = false;
	if (report->answer != FW_ANSWER_DONE) {
		link->next_hold_ms = report->now_ms +
		    (report->now_ms > link->lease_end_ms ? SILENT_OVER_RETRY_MS
							 : SILENT_RETRY_MS);
		return;
	}
	link->reported = true;
	if (call->ended_upto > link->ended_told)
		link->ended_told = call->ended_upto;
	if (report->sent_ms < link->report.sent_ms)
		return;
	fw_report_free(&link->report);
	link->report = *report;
	link->fresh = true;
	memset(&call->report, 0, sizeof(call->report));
	link->next_hold_ms = link->report.end_count > 0
	    ? link->report.now_ms + HOLD_PAUSE_MS
	    : 0;
}

static void
take_call(struct fw_placer *placer, struct fw_call *call, int64_t now_ms)
{
	uint32_t handle = fw_link_find(&placer->tables, call->host);
	uint32_t found;
	struct fw_link *link;
	struct fw_run *run;

	if (call->term != placer->term || handle == FW_NONE)
		return;
	link = &placer->tables.links[handle];
	found = FW_NONE;
	if (call->kind != FW_ORDER_HOLD)
		found = fw_run_find(
		    &placer->tables, call->flow, call->index, call->run);
	/* The life that answers a start has the run, whatever the entry said
	 * when it was placed. */
	if (found != FW_NONE && call->kind == FW_ORDER_START &&
	    call->report.answer == FW_ANSWER_DONE && call->report.born_ms != 0)
		placer->tables.runs[found].born_ms = call->report.born_ms;
	take_contact(
	    placer, link, &call->report, call->kind == FW_ORDER_HOLD, now_ms);
	if (call->kind == FW_ORDER_HOLD) {
		take_hold(placer, handle, call);
		return;
	}
	assert(link->orders_busy > 0);
	link->orders_busy--;
	if (found == FW_NONE)
		return;
	run = &placer->tables.runs[found];
	run->busy = false;
	if (run->crossed && run->born_ms != link->born_ms)
		run->stop = true;
	run->crossed = false;
	if (call->kind == FW_ORDER_START)
		take_start(run, call, now_ms);
	else if (call->report.answer == FW_ANSWER_DONE) {
		run->stopped = true;
		run->sure_ms = now_ms;
	} else
		run->retry_ms = now_ms + RETRY_MS;
}

/* Takes the answers that have come in. */
void
fw_orders_take(struct fw_placer *placer, int64_t now_ms)
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
		take_call(placer, call, now_ms);
		fw_report_free(&call->report);
		free(call);
	}
}
