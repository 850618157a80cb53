#include <assert.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "pool.h"

#define THREADS_MAX 64

/* One message to the platform. */
struct batch {
	struct batch *next;
	struct gang_pool *pool;
	size_t count;
	bool unresponsive; /* as in struct gang_member */
	int64_t queued_ms;
	struct gang_answer *answers; /* one for each item */
	struct gang_pool_item items[];
};

/*
 * A bounded pool of threads that wait on a condition variable. Messages to
 * workers that did not answer the previous call occupy at most half of the
 * threads, so that they cannot block all others.
 */
struct gang_pool {
	struct bd_board *board;
	const struct pf_tasks *tasks;
	struct ctl_clock clock;
	pthread_mutex_t mutex;
	pthread_cond_t cond;
	struct batch *queue;    /* by priority, then in order of arrival */
	struct batch *answered; /* not yet drained */
	uint32_t unresponsive_running;
	uint32_t thread_count;
	bool stop;
	pthread_t threads[THREADS_MAX];
};

static struct batch *dequeue_batch(struct gang_pool *pool);
static int store_report(void *ctx, const struct pf_task_report *report);
static int send_verb(struct gang_pool *pool, uint32_t verb,
    const struct pf_task *tasks, size_t count, int *results);
static void send_batch(struct batch *batch);
static void *run_pool_thread(void *arg);

/* Returns the priority of a verb, 0 the highest. Calls that keep or free
 * capacity are sent before those that take it. */
int
gang_pool_priority(uint32_t verb)
{
	static const int priorities[GANG_VERB_COUNT] = {
	    [GANG_VERB_RENEW] = 0,
	    [GANG_VERB_STOP] = 1,
	    [GANG_VERB_START] = 2,
	    [GANG_VERB_COMMIT] = 3,
	    [GANG_VERB_RESERVE] = 4,
	    [GANG_VERB_CHECKPOINT] = 5,
	    [GANG_VERB_REPORTS] = 6,
	};

	return priorities[verb];
}

/* Creates a pool of 2 to THREADS_MAX threads. board, tasks and the context of
 * clock must stay valid until it is destroyed. Returns GANG_ENOMEM or
 * GANG_ENOTHREAD. */
int
gang_pool_create(struct gang_pool **out, struct bd_board *board,
    const struct pf_tasks *tasks, const struct ctl_clock *clock,
    uint32_t threads)
{
	struct gang_pool *pool = calloc(1, sizeof(*pool));

	assert(threads >= 2 && threads <= THREADS_MAX);
	if (pool == NULL)
		return GANG_ENOMEM;
	pool->board = board;
	pool->tasks = tasks;
	pool->clock = *clock;
	pthread_mutex_init(&pool->mutex, NULL);
	pthread_cond_init(&pool->cond, NULL);
	for (; pool->thread_count < threads; pool->thread_count++)
		if (pthread_create(&pool->threads[pool->thread_count], NULL,
			run_pool_thread, pool) != 0) {
			gang_pool_destroy(pool);
			return cw_error_set(GANG_ENOTHREAD,
			    "cannot start the threads for gang calls");
		}
	*out = pool;
	return CW_OK;
}

/* Waits for the messages in progress; those not yet sent are discarded. */
void
gang_pool_destroy(struct gang_pool *pool)
{
	struct batch *batch;
	uint32_t i;

	pthread_mutex_lock(&pool->mutex);
	pool->stop = true;
	pthread_cond_broadcast(&pool->cond);
	pthread_mutex_unlock(&pool->mutex);
	for (i = 0; i < pool->thread_count; i++)
		pthread_join(pool->threads[i], NULL);
	while (
	    (batch = pool->queue) != NULL || (batch = pool->answered) != NULL) {
		if (batch == pool->queue)
			pool->queue = batch->next;
		else
			pool->answered = batch->next;
		free(batch->answers);
		free(batch);
	}
	pthread_cond_destroy(&pool->cond);
	pthread_mutex_destroy(&pool->mutex);
	free(pool);
}

/* Removes the first message that may be sent from the queue. The caller
 * holds the mutex. */
static struct batch *
dequeue_batch(struct gang_pool *pool)
{
	struct batch **link, *batch;

	for (link = &pool->queue; (batch = *link) != NULL;
	     link = &batch->next) {
		if (batch->unresponsive &&
		    pool->unresponsive_running >= pool->thread_count / 2)
			continue;
		*link = batch->next;
		pool->unresponsive_running += batch->unresponsive;
		return batch;
	}
	return NULL;
}

/* Stores a report in the answer to its member; others are ignored. */
static int
store_report(void *ctx, const struct pf_task_report *report)
{
	struct batch *batch = ctx;
	size_t i;

	for (i = 0; i < batch->count; i++) {
		struct gang_answer *answer = &batch->answers[i];

		if (answer->job == report->job &&
		    answer->token == report->token &&
		    answer->member == report->member) {
			answer->has_report = true;
			answer->report = *report;
		}
	}
	return CW_OK;
}

static int
send_verb(struct gang_pool *pool, uint32_t verb, const struct pf_task *tasks,
    size_t count, int *results)
{
	const struct pf_tasks *adapter = pool->tasks;

	switch (verb) {
	case GANG_VERB_RESERVE:
		return adapter->reserve(adapter->ctx, tasks, count, results);
	case GANG_VERB_COMMIT:
		return adapter->commit(adapter->ctx, tasks, count, results);
	case GANG_VERB_START:
		return adapter->start(adapter->ctx, tasks, count, results);
	case GANG_VERB_RENEW:
		return adapter->renew(adapter->ctx, tasks, count, results);
	case GANG_VERB_CHECKPOINT:
		return adapter->checkpoint(adapter->ctx, tasks, count, results);
	default:
		assert(verb == GANG_VERB_STOP);
		return adapter->stop(adapter->ctx, tasks, count, results);
	}
}

/* Sends one message and stores an answer for each item. */
static void
send_batch(struct batch *batch)
{
	struct gang_pool *pool = batch->pool;
	struct pf_task tasks[PF_TASKS_MAX];
	int results[PF_TASKS_MAX] = {0}, status;
	uint32_t verb = batch->items[0].verb;
	int64_t sent_ms = pool->clock.now_ms(pool->clock.ctx);
	size_t i;

	for (i = 0; i < batch->count; i++) {
		tasks[i] = batch->items[i].task;
		tasks[i].worker_name = batch->items[i].worker_name;
		tasks[i].input = batch->items[i].input;
		results[i] = PF_EUNKNOWN;
	}
	/* The gangs have already counted these calls as unanswered. If they
	 * were still sent, the queue of calls to unresponsive workers could
	 * grow without bound. */
	if (sent_ms - batch->queued_ms > GANG_CALL_TIMEOUT_MS) {
		status = PF_EUNREACHABLE;
	} else if (verb == GANG_VERB_REPORTS) {
		struct pf_report_sink sink = {store_report, batch};

		status = pool->tasks->reports(
		    pool->tasks->ctx, tasks, batch->count, &sink);
		for (i = 0; i < batch->count; i++)
			results[i] = status;
	} else {
		status = send_verb(pool, verb, tasks, batch->count, results);
	}
	if (status != CW_OK)
		ev_emit(EV_GANG_CALL, "verb=%s tasks=%zu worker=%s status=%s",
		    gang_verb_name(verb), batch->count,
		    batch->items[0].worker_name, pf_status_name(status));
	for (i = 0; i < batch->count; i++) {
		batch->answers[i].status = results[i];
		batch->answers[i].sent_ms = sent_ms;
	}
}

static void *
run_pool_thread(void *arg)
{
	struct gang_pool *pool = arg;
	struct batch *batch;

	pthread_mutex_lock(&pool->mutex);
	while (!pool->stop) {
		batch = dequeue_batch(pool);
		if (batch == NULL) {
			pthread_cond_wait(&pool->cond, &pool->mutex);
			continue;
		}
		pthread_mutex_unlock(&pool->mutex);
		send_batch(batch);
		pthread_mutex_lock(&pool->mutex);
		if (batch->unresponsive) {
			pool->unresponsive_running--;
			pthread_cond_signal(&pool->cond);
		}
		batch->next = pool->answered;
		pool->answered = batch;
		bd_notify(pool->board);
	}
	pthread_mutex_unlock(&pool->mutex);
	return NULL;
}

/* Queues one message. If memory runs out it is dropped, and its calls count
 * as unanswered after GANG_CALL_TIMEOUT_MS. */
void
gang_pool_enqueue(
    struct gang_pool *pool, const struct gang_pool_item *items, size_t count)
{
	struct batch *batch =
	    calloc(1, sizeof(*batch) + count * sizeof(batch->items[0]));
	struct batch **link;
	size_t i;

	assert(count > 0 && count <= PF_TASKS_MAX);
	if (batch != NULL)
		batch->answers = calloc(count, sizeof(batch->answers[0]));
	if (batch == NULL || batch->answers == NULL) {
		free(batch);
		return;
	}
	batch->pool = pool;
	batch->count = count;
	batch->unresponsive = items[0].unresponsive;
	batch->queued_ms = pool->clock.now_ms(pool->clock.ctx);
	memcpy(batch->items, items, count * sizeof(*items));
	for (i = 0; i < count; i++) {
		batch->answers[i].job = items[i].task.job;
		batch->answers[i].token = items[i].task.token;
		batch->answers[i].member = items[i].task.member;
		batch->answers[i].verb = items[i].verb;
		batch->answers[i].sequence = items[i].sequence;
	}
	pthread_mutex_lock(&pool->mutex);
	for (link = &pool->queue; *link != NULL; link = &(*link)->next)
		if (gang_pool_priority((*link)->items[0].verb) >
		    gang_pool_priority(items[0].verb))
			break;
	batch->next = *link;
	*link = batch;
	pthread_cond_signal(&pool->cond);
	pthread_mutex_unlock(&pool->mutex);
}

/* Passes all available answers to take and frees their messages. */
void
gang_pool_drain(struct gang_pool *pool,
    void (*take)(void *ctx, const struct gang_answer *answer), void *ctx)
{
	struct batch *batch, *next;
	size_t i;

	pthread_mutex_lock(&pool->mutex);
	batch = pool->answered;
	pool->answered = NULL;
	pthread_mutex_unlock(&pool->mutex);
	for (; batch != NULL; batch = next) {
		next = batch->next;
		for (i = 0; i < batch->count; i++)
			take(ctx, &batch->answers[i]);
		free(batch->answers);
		free(batch);
	}
}
