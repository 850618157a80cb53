#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "pool.h"

/* Calls of one step, before they are put together into messages. */
struct gang_runner {
	struct bd_board *board;
	struct gang_set *set;
	struct pool *pool;
	struct st_sink sink;
	struct gang_settings settings;
	struct pool_item *items;
	size_t count;
	size_t room;
	int64_t now_ms;
};

static void take_call(void *ctx, const struct gang_call *call);
static void take_answer(void *ctx, const struct gang_answer *answer);
static int compare(const void *a, const void *b);
static void send_all(struct gang_runner *runner);

/*
 * Creates the runner and its threads. tasks and clock are used until destroy;
 * the clock's times go into leases. Returns GANG_ENOMEM or GANG_ENOTHREAD.
 */
int
gang_runner_create(struct gang_runner **out, struct bd_board *board,
    const struct pf_tasks *tasks, const struct st_sink *sink, uint64_t self,
    const struct gang_settings *settings, const struct ctl_clock *clock)
{
	struct gang_runner *runner = calloc(1, sizeof(*runner));
	int code;

	if (runner == NULL)
		return GANG_ENOMEM;
	runner->board = board;
	runner->sink = *sink;
	runner->settings = *settings;
	code = gang_set_create(&runner->set, board, self, settings);
	if (code == CW_OK)
		code = pool_create(
		    &runner->pool, board, tasks, clock, settings->threads);
	if (code != CW_OK) {
		gang_set_destroy(runner->set);
		free(runner);
		return code;
	}
	*out = runner;
	return CW_OK;
}

void
gang_runner_destroy(struct gang_runner *runner)
{
	if (runner == NULL)
		return;
	pool_destroy(runner->pool);
	gang_set_destroy(runner->set);
	free(runner->items);
	free(runner);
}

/* Copies what the call needs; the rows may change before it is sent. A call
 * that is lost for want of memory counts as not answered. */
static void
take_call(void *ctx, const struct gang_call *call)
{
	struct gang_runner *runner = ctx;
	const struct gang *gang = call->gang;
	const struct gang_member *member = &gang->members[call->member];
	const struct bd_worker *worker =
	    bd_worker_lookup(runner->board, member->worker);
	struct pool_item *item;

	if (runner->count == runner->room) {
		size_t room = runner->room == 0 ? 64 : 2 * runner->room;

		item = realloc(runner->items, room * sizeof(*item));
		if (item == NULL)
			return;
		runner->items = item;
		runner->room = room;
	}
	item = &runner->items[runner->count++];
	memset(item, 0, sizeof(*item));
	item->verb = call->verb;
	item->sequence = member->sequence;
	item->alone = member->alone;
	item->group =
	    member->alone || member->rack == 0 ? member->worker : member->rack;
	item->task = (struct pf_task){
	    .worker = member->worker,
	    .job = gang->job,
	    .token = gang->token,
	    .member = call->member,
	    .accel_mask = member->accel_mask,
	    .lease_ms = runner->settings.lease_ms,
	};
	if (worker != NULL)
		memcpy(item->worker_name, worker->name, CW_NAME_BYTES);
	if (call->job != NULL &&
	    (call->verb == GANG_RESERVE || call->verb == GANG_START)) {
		item->task.cores_milli = call->job->shape.cores_milli;
		item->task.memory_mb = call->job->shape.memory_mb;
		item->task.resume_ms = call->job->progress_ms;
		memcpy(item->input, call->job->input, BD_JOB_INPUT_BYTES);
	}
}

static void
take_answer(void *ctx, const struct gang_answer *answer)
{
	struct gang_runner *runner = ctx;

	gang_set_answer(runner->set, answer, runner->now_ms);
}

/* Stops and renewals are sent first; then one message after another. */
static int
compare(const void *a, const void *b)
{
	const struct pool_item *x = a, *y = b;

	if (x->verb != y->verb)
		return pool_rank(x->verb) < pool_rank(y->verb) ? -1 : 1;
	if (x->group != y->group)
		return x->group < y->group ? -1 : 1;
	return (int)x->alone - (int)y->alone;
}

/* Puts the calls of one step with the same verb and rack into one message. */
static void
send_all(struct gang_runner *runner)
{
	size_t first = 0, next;

	if (runner->count == 0)
		return;
	qsort(runner->items, runner->count, sizeof(*runner->items), compare);
	for (next = 1; next <= runner->count; next++) {
		if (next < runner->count && next - first < PF_TASKS_MAX &&
		    compare(&runner->items[first], &runner->items[next]) == 0)
			continue;
		pool_send(runner->pool, &runner->items[first], next - first);
		first = next;
	}
	runner->count = 0;
}

/* Takes the answers that have come, decides, and hands new calls to the
 * pool. Never waits for a worker. */
int64_t
gang_runner_step(void *ctx, int64_t now_ms)
{
	struct gang_runner *runner = ctx;
	struct gang_out out = {take_call, runner, runner->sink};
	int64_t next_ms;

	runner->now_ms = now_ms;
	pool_take(runner->pool, take_answer, runner);
	next_ms = gang_set_step(runner->set, now_ms, &out);
	send_all(runner);
	return next_ms;
}
