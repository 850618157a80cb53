#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "pool.h"

struct gang_controller {
	struct bd_board *board;
	struct gang_set *set;
	struct gang_pool *pool;
	struct st_sink sink;
	struct gang_settings settings;
	/* Calls of the present step, before they are batched into messages. */
	struct gang_pool_item *items;
	size_t count;
	size_t capacity;
	int64_t now_ms;
};

static void queue_call(void *ctx, const struct gang_call *call);
static void apply_answer(void *ctx, const struct gang_answer *answer);
static int compare_calls(const void *a, const void *b);
static void send_calls(struct gang_controller *controller);

/*
 * Creates the controller and its threads. tasks and clock must stay valid until
 * it is destroyed; leases are set with the clock's times. Returns GANG_ENOMEM
 * or GANG_ENOTHREAD.
 */
int
gang_controller_create(struct gang_controller **out, struct bd_board *board,
    const struct pf_tasks *tasks, const struct st_sink *sink, uint64_t self,
    const struct gang_settings *settings, const struct ctl_clock *clock)
{
	struct gang_controller *controller = calloc(1, sizeof(*controller));
	int code;

	if (controller == NULL)
		return GANG_ENOMEM;
	controller->board = board;
	controller->sink = *sink;
	controller->settings = *settings;
	code = gang_set_create(&controller->set, board, self, settings);
	if (code == CW_OK)
		code = gang_pool_create(
		    &controller->pool, board, tasks, clock, settings->threads);
	if (code != CW_OK) {
		gang_set_destroy(controller->set);
		free(controller);
		return code;
	}
	*out = controller;
	return CW_OK;
}

void
gang_controller_destroy(struct gang_controller *controller)
{
	if (controller == NULL)
		return;
	gang_pool_destroy(controller->pool);
	gang_set_destroy(controller->set);
	free(controller->items);
	free(controller);
}

/* Copies what the call needs, as the rows may change before it is sent. If
 * memory runs out the call is dropped and counts as unanswered. */
static void
queue_call(void *ctx, const struct gang_call *call)
{
	struct gang_controller *controller = ctx;
	const struct gang *gang = call->gang;
	const struct gang_member *member = &gang->members[call->member];
	const struct bd_worker *worker =
	    bd_worker_lookup(controller->board, member->worker);
	struct gang_pool_item *item;

	if (controller->count == controller->capacity) {
		size_t capacity =
		    controller->capacity == 0 ? 64 : 2 * controller->capacity;

		item = realloc(controller->items, capacity * sizeof(*item));
		if (item == NULL)
			return;
		controller->items = item;
		controller->capacity = capacity;
	}
	item = &controller->items[controller->count++];
	memset(item, 0, sizeof(*item));
	item->verb = call->verb;
	item->sequence = member->sequence;
	item->unresponsive = member->unresponsive;
	item->group = member->unresponsive || member->rack == 0 ? member->worker
								: member->rack;
	item->task = (struct pf_task){
	    .worker = member->worker,
	    .job = gang->job,
	    .token = gang->token,
	    .member = call->member,
	    .accel_mask = member->accel_mask,
	    .lease_ms = controller->settings.lease_ms,
	};
	if (worker != NULL)
		memcpy(item->worker_name, worker->name, CW_NAME_BYTES);
	if (call->job != NULL &&
	    (call->verb == GANG_VERB_RESERVE ||
		call->verb == GANG_VERB_START)) {
		item->task.cores_milli = call->job->shape.cores_milli;
		item->task.memory_mb = call->job->shape.memory_mb;
		item->task.resume_ms = call->job->progress_ms;
		memcpy(item->input, call->job->input, BD_JOB_INPUT_BYTES);
	}
}

static void
apply_answer(void *ctx, const struct gang_answer *answer)
{
	struct gang_controller *controller = ctx;

	gang_set_answer(controller->set, answer, controller->now_ms);
}

/* Orders calls by priority and groups those that share a message. */
static int
compare_calls(const void *a, const void *b)
{
	const struct gang_pool_item *x = a, *y = b;

	if (x->verb != y->verb)
		return gang_pool_priority(x->verb) < gang_pool_priority(y->verb)
		    ? -1
		    : 1;
	if (x->group != y->group)
		return x->group < y->group ? -1 : 1;
	return (int)x->unresponsive - (int)y->unresponsive;
}

/* Batches the calls of one step with the same verb and group into messages. */
static void
send_calls(struct gang_controller *controller)
{
	size_t first = 0, next;

	if (controller->count == 0)
		return;
	qsort(controller->items, controller->count, sizeof(*controller->items),
	    compare_calls);
	for (next = 1; next <= controller->count; next++) {
		if (next < controller->count && next - first < PF_TASKS_MAX &&
		    compare_calls(&controller->items[first],
			&controller->items[next]) == 0)
			continue;
		gang_pool_enqueue(
		    controller->pool, &controller->items[first], next - first);
		first = next;
	}
	controller->count = 0;
}

/* Applies the available answers, decides for each gang, and queues new calls
 * in the pool. Never waits for a worker. Returns the time (ms) of the next
 * step. */
int64_t
gang_controller_step(void *ctx, int64_t now_ms)
{
	struct gang_controller *controller = ctx;
	struct gang_output out = {queue_call, controller, controller->sink};
	int64_t next_ms;

	controller->now_ms = now_ms;
	gang_pool_drain(controller->pool, apply_answer, controller);
	next_ms = gang_set_step(controller->set, now_ms, &out);
	send_calls(controller);
	return next_ms;
}
