#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"

/* Time-out of a stop that has to reach a worker before a late start does. */
#define REVOCATION_TIMEOUT_MS 450
/* A hold is a long poll: the worker answers at the next end of a run or after
 * this wait. The platform allows at most 2 s; the short wait is used while a
 * decision depends on the next list of runs. */
#define HOLD_WAIT_MS 2000
#define HOLD_WAIT_SHORT_MS 150
/* Concurrent orders to one worker in addition to the hold; each uses its own
 * connection. */
#define ORDERS_PER_WORKER_MAX 2
/* A start with a shorter lease would lapse before its worker is called again.
 */
#define START_LEASE_MIN_MS 1000

/* A new placer asks every worker for its list of runs. So many of these calls
 * may be unanswered at a time: 3,000 at once kept half a core busy for longer
 * than their time-out, and the store's answers waited behind them, so that the
 * placer lost its duty and the next one began anew. A call that takes longer
 * than FIRST_LIST_SLOW_MS counts as one to a silent worker. */
#define FIRST_LISTS_MAX 256
#define FIRST_LIST_SLOW_MS 900

static void on_report(void *ctx, const struct fw_report *report);
static struct fw_call *call_create(struct fw_placer *placer,
    const struct fw_worker_state *worker, enum fw_order_kind kind);
static bool send_order(struct fw_placer *placer, struct fw_call *call,
    const struct fw_order *order);
static void order_init(struct fw_placer *placer,
    const struct fw_worker_state *worker, struct fw_order *order);
static int64_t lease_left_ms(const struct fw_placer *placer, int64_t now_ms);
static int64_t lease_until(struct fw_placer *placer,
    const struct fw_worker_state *worker, int64_t now_ms);
static void send_start(struct fw_placer *placer, struct fw_run *run,
    const struct bd_flow *flow, int64_t now_ms);
static void send_stop(struct fw_placer *placer, struct fw_run *run);
static void send_run_order(
    struct fw_placer *placer, struct fw_run *run, struct fw_order *order);
static void send_hold(
    struct fw_placer *placer, struct fw_worker_state *worker, int64_t now_ms);
static bool has_room(struct fw_placer *placer, const struct fw_run *starting,
    const struct bd_flow *flow);
static bool has_room_beside_late(struct fw_placer *placer,
    const struct fw_run *starting, const struct bd_flow *flow, bool in_flight,
    int64_t now_ms);
static void stop_unwanted(
    struct fw_placer *placer, uint32_t handle, int64_t now_ms);
static void send_revocation(
    struct fw_placer *placer, struct fw_run *run, int64_t now_ms);
static void send_due_order(
    struct fw_placer *placer, struct fw_run *run, int64_t now_ms);
static bool hold_is_due(const struct fw_worker_state *worker, int64_t now_ms);
static uint32_t first_lists_left(
    const struct fw_tables *tables, int64_t now_ms);
static void send_holds(
    struct fw_placer *placer, bool with_runs, uint32_t *left, int64_t now_ms);

/* Runs on the platform's thread: queues the answer for the placer's next step.
 */
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
	placer->callbacks_pending--;
	pthread_mutex_unlock(&placer->lock);
	bd_notify(placer->parts.board);
}

/* Creates the context of an order. Returns NULL if out of memory. */
static struct fw_call *
call_create(struct fw_placer *placer, const struct fw_worker_state *worker,
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
	call->host = worker->host;
	return call;
}

/* Sends an order. Frees the call and returns false if that fails. */
static bool
send_order(struct fw_placer *placer, struct fw_call *call,
    const struct fw_order *order)
{
	fw_callbacks_add(placer, 1);
	if (placer->parts.workers.order(placer->parts.workers.ctx, order) ==
	    CW_OK)
		return true;
	fw_callbacks_add(placer, -1);
	free(call);
	return false;
}

/* Sets the fields that all kinds of orders have in common. */
static void
order_init(struct fw_placer *placer, const struct fw_worker_state *worker,
    struct fw_order *order)
{
	order->address = worker->address;
	order->host = worker->name;
	order->token = placer->term;
	order->timeout_ms = FW_ORDER_TIMEOUT_MS;
	order->checkpoint = "";
	order->done = on_report;
}

/* Completes an order with the run's identity and sends it. */
static void
send_run_order(
    struct fw_placer *placer, struct fw_run *run, struct fw_order *order)
{
	struct fw_worker_state *worker =
	    &placer->tables.worker_states[run->worker];
	struct fw_call *call = call_create(placer, worker, order->kind);

	if (call == NULL)
		return;
	order->task = run->task;
	order->run = run->run;
	order->ctx = call;
	call->flow = run->flow;
	call->index = run->index;
	call->run = run->run;
	call->sent_before = run->start_sent;
	call->until_ms = order->until_ms;
	if (!send_order(placer, call, order))
		return;
	run->order_in_flight = true;
	worker->orders_in_flight++;
}

/* Returns how long a lease that is granted now lasts: as long as workers allow,
 * unless the placing duty was not confirmed for long. At most 0: none is
 * granted.
 */
static int64_t
lease_left_ms(const struct fw_placer *placer, int64_t now_ms)
{
	int64_t left_ms =
	    placer->duty_confirmed_ms + FW_LEASES_UNCONFIRMED_MS - now_ms;

	return left_ms < placer->parts.settings.lease_ms
	    ? left_ms
	    : placer->parts.settings.lease_ms;
}

/* Returns the end of a lease that is granted now, on the worker's clock, or 0
 * if none is. */
static int64_t
lease_until(struct fw_placer *placer, const struct fw_worker_state *worker,
    int64_t now_ms)
{
	int64_t left_ms = lease_left_ms(placer, now_ms);

	return left_ms <= 0
	    ? 0
	    : fw_worker_state_lease_until(worker, now_ms, (uint32_t)left_ms);
}

static void
send_start(struct fw_placer *placer, struct fw_run *run,
    const struct bd_flow *flow, int64_t now_ms)
{
	struct fw_worker_state *worker =
	    &placer->tables.worker_states[run->worker];
	const struct bd_step_task *task = &fw_flow_tasks(flow)[run->index];
	struct fw_order order = {.kind = FW_ORDER_START};

	order_init(placer, worker, &order);
	order.until_ms = lease_until(placer, worker, now_ms);
	order.text = fw_flow_text(flow);
	order.text_bytes = flow->text_bytes;
	order.checkpoint = fw_task_checkpoint(flow, task);
	order.checkpoint_bytes = task->checkpoint.bytes;
	send_run_order(placer, run, &order);
	if (!run->order_in_flight)
		return;
	run->start_in_flight = true;
	run->refused_as_over = false;
	run->starts += run->starts < 2;
	fw_worker_state_lease_granted(worker, order.until_ms);
	if (!run->start_sent && worker->incarnation_ms != 0)
		run->start_incarnation_ms = worker->incarnation_ms;
	run->start_sent = true;
}

static void
send_stop(struct fw_placer *placer, struct fw_run *run)
{
	struct fw_order order = {.kind = FW_ORDER_STOP};

	order_init(placer, &placer->tables.worker_states[run->worker], &order);
	if (run->stop_late_start)
		order.timeout_ms = REVOCATION_TIMEOUT_MS;
	send_run_order(placer, run, &order);
	run->stop_incarnation_ms = fw_worker_state_latest_ms(
	    &placer->tables.worker_states[run->worker]);
}

/* Returns whether a worker has room for a start by its latest entry, beside the
 * runs there that may have started or that it lists. Its room may have shrunk
 * since the run was placed, by an earlier placer even. */
static bool
has_room(struct fw_placer *placer, const struct fw_run *starting,
    const struct bd_flow *flow)
{
	const struct bd_board *board = placer->parts.board;
	const struct fw_tables *tables = &placer->tables;
	struct fw_room offered;
	struct fw_room used;

	fw_room_offered(tables, board, starting->worker, &offered);
	fw_room_used(tables, board, starting->worker, &used);
	if (!starting->start_sent)
		fw_room_add(&used, flow, starting->index);
	return !fw_room_exceeds(&used, &offered);
}

/* Returns whether a start fits on a worker that has started again, beside all
 * earlier starts that this incarnation may still carry out. in_flight: also
 * beside those that are being sent. */
static bool
has_room_beside_late(struct fw_placer *placer, const struct fw_run *starting,
    const struct bd_flow *flow, bool in_flight, int64_t now_ms)
{
	const struct bd_board *board = placer->parts.board;
	struct fw_room offered;
	struct fw_room late;

	fw_room_offered(&placer->tables, board, starting->worker, &offered);
	fw_room_late(
	    &placer->tables, board, starting, in_flight, now_ms, &late);
	fw_room_add(&late, flow, starting->index);
	return !fw_room_exceeds(&late, &offered);
}

/* Stops the listed runs of a worker that must not go on. Each one is considered
 * once in a report, so a stop without an answer is repeated after the next one.
 */
static void
stop_unwanted(struct fw_placer *placer, uint32_t handle, int64_t now_ms)
{
	struct fw_worker_state *worker = &placer->tables.worker_states[handle];

	while (worker->listed_checked < worker->report.run_count &&
	    worker->orders_in_flight < ORDERS_PER_WORKER_MAX &&
	    worker->unresponsive_since_ms == 0 && !worker->replaced) {
		const struct fw_listed_run *listed =
		    &worker->report.runs[worker->listed_checked++];
		struct fw_order order = {.kind = FW_ORDER_STOP};
		struct fw_call *call;

		if (!fw_listed_unwanted(&placer->tables, placer->parts.board,
			handle, listed, now_ms))
			continue;
		call = call_create(placer, worker, FW_ORDER_STOP);
		if (call == NULL)
			return;
		order_init(placer, worker, &order);
		order.task = listed->task;
		order.run = listed->run;
		order.ctx = call;
		call->index = FW_NONE;
		if (!send_order(placer, call, &order))
			return;
		worker->orders_in_flight++;
		ev_emit(EV_FLOW_STOP,
		    "job=%s task=%u.%u.%u run=%u worker=%s reason=unwanted "
		    "percent=%u",
		    listed->task.job, listed->task.occurrence,
		    listed->task.step, listed->task.index, listed->run,
		    worker->name, listed->percent);
	}
}

/* Sends the stop that revokes a late start of an ended run if one is due. A
 * worker that does not answer may have started again: the first calls that it
 * gets should be these, for all of its runs at once. */
static void
send_revocation(struct fw_placer *placer, struct fw_run *run, int64_t now_ms)
{
	struct fw_worker_state *worker =
	    &placer->tables.worker_states[run->worker];

	if (!run->stop_late_start || run->stop_acked || worker->replaced ||
	    worker->address[0] == '\0')
		return;
	worker->revoking = true;
	if (!run->order_in_flight && now_ms >= run->retry_ms)
		send_stop(placer, run);
}

/* Sends the start or the stop of a run if one is due. */
static void
send_due_order(struct fw_placer *placer, struct fw_run *run, int64_t now_ms)
{
	struct fw_worker_state *worker =
	    &placer->tables.worker_states[run->worker];
	const struct bd_flow *flow =
	    bd_flow_lookup(placer->parts.board, run->flow);

	/* A worker that does not answer gets holds only: orders to 49 workers
	 * that were gone caused 900 refused connections per second. */
	if (run->order_in_flight || now_ms < run->retry_ms ||
	    worker->replaced || worker->address[0] == '\0' ||
	    worker->unresponsive_since_ms != 0 ||
	    worker->orders_in_flight >= ORDERS_PER_WORKER_MAX)
		return;
	if (run->stop_late_start || flow == NULL ||
	    run->phase == FW_PHASE_ENDED || run->superseded_since_ms != 0)
		return;
	if (run->stop_requested) {
		if (!run->stop_acked)
			send_stop(placer, run);
		return;
	}
	if ((run->phase != FW_PHASE_STARTING &&
		!fw_run_is_asked_for(run, now_ms)) ||
	    worker->clock_read_ms == 0 ||
	    lease_left_ms(placer, now_ms) < START_LEASE_MIN_MS ||
	    fw_lease_end_is_noted(placer->parts.board, worker) ||
	    fw_worker_state_entry_outdated(worker) ||
	    !fw_jobs_recent(placer, now_ms) ||
	    !fw_zones_recent(placer, now_ms) ||
	    !(fw_step_may_run_twice(flow, run->task.step) ||
		fw_start_is_alone(&placer->tables, run, now_ms)))
		return;
	if (!fw_may_start_on(placer, worker) ||
	    fw_former_ack_may_arrive(worker, now_ms)) {
		if (run->phase == FW_PHASE_STARTING)
			fw_run_stop(placer, run,
			    fw_former_ack_may_arrive(worker, now_ms)
				? "ack_may_arrive"
				: "zone_evacuated");
		return;
	}
	if (!fw_start_is_covered(placer, flow, run)) {
		run->note_due = placer->decision_due = true;
		return;
	}
	/* It is there, or was: its room is not needed anew. */
	if (fw_run_is_asked_for(run, now_ms))
		send_start(placer, run, flow, now_ms);
	else if (!has_room(placer, run, flow) ||
	    !has_room_beside_late(placer, run, flow, false, now_ms))
		fw_run_stop(placer, run, "no_room");
	else if (has_room_beside_late(placer, run, flow, true, now_ms))
		send_start(placer, run, flow, now_ms);
}

/* Returns whether a hold to a worker is due: to get its first list of runs, to
 * renew their leases, to wait for the end of a listed run that the placer does
 * not have, to check whether it answers again, or to acknowledge ends. The
 * answer to an earlier one is not awaited if the worker's entry has named
 * another incarnation since, which may have to refuse late starts.
 */
static bool
hold_is_due(const struct fw_worker_state *worker, int64_t now_ms)
{
	if (worker->address[0] == '\0' || worker->replaced)
		return false;
	if (!worker->probe_due &&
	    (worker->hold_in_flight || now_ms < worker->next_hold_ms))
		return false;
	/* The answer to a stop tells as well that it answers again. */
	if (worker->revoking && worker->unresponsive_since_ms != 0)
		return false;
	if (!worker->registered && worker->run_count == 0)
		return false;
	return !worker->reported || worker->probe_due || worker->misaddressed ||
	    worker->run_count > 0 || worker->report.run_count > 0 ||
	    worker->unresponsive_since_ms != 0 ||
	    worker->end_ack_sent < worker->end_ack;
}

/* Sends a hold, which renews the leases of all runs of a worker that answers.
 */
static void
send_hold(
    struct fw_placer *placer, struct fw_worker_state *worker, int64_t now_ms)
{
	struct fw_call *call = call_create(placer, worker, FW_ORDER_HOLD);
	struct fw_order order = {.kind = FW_ORDER_HOLD};
	bool idle = worker->run_count == 0 && worker->report.run_count == 0;

	if (call == NULL)
		return;
	order_init(placer, worker, &order);
	/* Holds to a worker that does not answer grant no lease: each lease
	 * that may have been granted delays the time at which its runs count as
	 * lost. */
	if (!fw_lease_end_is_noted(placer->parts.board, worker) &&
	    fw_worker_renews(&placer->tables,
		(uint32_t)(worker - placer->tables.worker_states)))
		order.until_ms = lease_until(placer, worker, now_ms);
	if (worker->end_ack_sent < worker->end_ack &&
	    fw_worker_list_is_current(worker))
		order.end_ack = worker->end_ack;
	order.wait_ms = !worker->reported || idle || worker->probe_due ||
		!fw_worker_list_is_current(worker)
	    ? 0
	    : worker->unresolved_runs > 0 ? HOLD_WAIT_SHORT_MS
					  : HOLD_WAIT_MS;
	order.timeout_ms = FW_ORDER_TIMEOUT_MS + order.wait_ms;
	order.last = idle && !worker->reported;
	order.ctx = call;
	call->end_ack = order.end_ack;
	call->until_ms = order.until_ms;
	call->hold = worker->hold + 1;
	if (!send_order(placer, call, &order))
		return;
	if (order.until_ms > 0)
		fw_worker_state_lease_granted(worker, order.until_ms);
	if (order.end_ack > 0) {
		worker->acks_in_flight++;
		worker->ack_sent_ms = now_ms;
	}
	worker->probe_due = false;
	worker->hold++;
	worker->hold_in_flight = true;
	worker->hold_sent_ms = now_ms;
}

/* Returns how many more workers may be asked for their first list now. */
static uint32_t
first_lists_left(const struct fw_tables *tables, int64_t now_ms)
{
	uint32_t waiting = 0;
	uint32_t i;

	for (i = 0; i < tables->worker_state_count; i++) {
		const struct fw_worker_state *worker =
		    &tables->worker_states[i];

		waiting += !worker->reported && worker->hold_in_flight &&
		    now_ms - worker->hold_sent_ms < FIRST_LIST_SLOW_MS;
	}
	return waiting < FIRST_LISTS_MAX ? FIRST_LISTS_MAX - waiting : 0;
}

/* Sends the holds that are due, to the workers with or without runs. *left is
 * the number of first lists that may still be asked for. */
static void
send_holds(
    struct fw_placer *placer, bool with_runs, uint32_t *left, int64_t now_ms)
{
	struct fw_tables *tables = &placer->tables;
	uint32_t i;

	for (i = 0; i < tables->worker_state_count; i++) {
		struct fw_worker_state *worker = &tables->worker_states[i];

		if ((worker->run_count > 0) != with_runs ||
		    (!worker->reported && *left == 0) ||
		    !hold_is_due(worker, now_ms))
			continue;
		*left -= !worker->reported;
		send_hold(placer, worker, now_ms);
	}
}

/*
 * Sends the orders that are due: first the stops that revoke late starts, then
 * a start for each new run, a stop for each run that is to end, and a hold for
 * each worker with runs. No holds are sent once no lease may be granted. Call
 * within a read section.
 */
void
fw_orders_send(struct fw_placer *placer, int64_t now_ms)
{
	struct fw_tables *tables = &placer->tables;
	uint32_t first_lists;
	uint32_t i;

	for (i = 0; i < tables->worker_state_count; i++)
		tables->worker_states[i].revoking = false;
	for (i = 0; i < tables->run_count; i++)
		if (tables->runs[i].used)
			send_revocation(placer, &tables->runs[i], now_ms);
	for (i = 0; i < tables->run_count; i++)
		if (tables->runs[i].used)
			send_due_order(placer, &tables->runs[i], now_ms);
	for (i = 0; i < tables->worker_state_count; i++)
		stop_unwanted(placer, i, now_ms);
	if (lease_left_ms(placer, now_ms) <= 0)
		return;
	first_lists = first_lists_left(tables, now_ms);
	/* Leases of an earlier placer run out. */
	send_holds(placer, true, &first_lists, now_ms);
	send_holds(placer, false, &first_lists, now_ms);
}
