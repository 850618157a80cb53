#include <assert.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "route_internal.h"

/* Queue limit of an account whose row sets none. */
#define ACCOUNT_QUEUE_MAX_DEFAULT 256
/* Attempt duration assumed before the first answer of a service. */
#define LATENCY_INITIAL_US 1000
#define RETRY_AFTER_MIN_MS 10
#define RETRY_AFTER_MAX_MS 10000
#define ACCOUNT_BUCKETS 64 /* of the estimate; accounts may share one */
/* Virtual time that one request takes at a weight of 0.001. */
#define VIRTUAL_TIME_PER_REQUEST 1000000000ULL

static int64_t latency_of(const struct rt_queue *queue);
static uint32_t slots_of(struct rt_router *route, uint64_t id);
static int64_t estimate_wait_us(struct rt_router *route,
    const struct rt_queue *queue, const struct rt_waiter *waiter,
    uint32_t *account_waiting);
static struct rt_waiter *next_waiter(struct rt_queue *queue);
static uint64_t virtual_start(
    const struct rt_queue *queue, const struct rt_waiter *waiter);
static void unlink_waiter(struct rt_queue *queue, struct rt_waiter *waiter);
static void finish_wait(
    struct rt_queue *queue, struct rt_waiter *waiter, int status);
static void dispatch_locked(
    struct rt_router *route, struct rt_queue *queue, int64_t now_us);
static void wait_for_status(
    struct rt_queue *queue, struct rt_waiter *waiter, int64_t wait_us);
static uint32_t account_queue_limit(
    struct rt_router *route, uint64_t account, uint32_t *weight_milli);

/* Returns the queue of a service, assigned at first use and never released. */
struct rt_queue *
rt_queue_get(struct rt_router *route, uint64_t service)
{
	uint32_t home = (uint32_t)(service % RT_SERVICES_MAX);
	uint32_t i;

	for (i = 0; i < RT_SERVICES_MAX; i++) {
		struct rt_queue *queue =
		    &route->queues[(home + i) % RT_SERVICES_MAX];
		uint64_t id =
		    atomic_load_explicit(&queue->service, memory_order_acquire);

		if (id == service)
			return queue;
		if (id == 0 &&
		    (atomic_compare_exchange_strong(
			 &queue->service, &id, service) ||
			id == service))
			return queue;
	}
	/* If all queues are assigned, services share one, which is fair but
	 * slower. */
	return &route->queues[home];
}

/* Returns the average duration of an attempt (us). */
static int64_t
latency_of(const struct rt_queue *queue)
{
	uint32_t latency_us = atomic_load_explicit(
	    &((struct rt_queue *)queue)->latency_us, memory_order_relaxed);

	return latency_us == 0 ? LATENCY_INITIAL_US : latency_us;
}

/* Returns the number of slots of a service on all its upstreams. */
static uint32_t
slots_of(struct rt_router *route, uint64_t id)
{
	const struct rt_index *index;
	const struct rt_service *service;
	uint32_t slots;

	bd_read_begin();
	index = rcu_dereference(route->index);
	if (index != NULL)
		CW_TSAN_ACQUIRE(index);
	service = rt_service_find(index, id);
	slots = service == NULL ? 0 : service->slots;
	bd_read_end();
	return slots;
}

/*
 * Estimates the queueing time of a new request (us): the number of requests
 * ahead of it divided by the slots, times the average duration of an attempt.
 * Within a class, fair queueing puts at most account_ahead + 1 requests of each
 * other account ahead of it, where account_ahead counts those of its own
 * account. Sets account_waiting to the number of queued requests of its
 * account.
 */
static int64_t
estimate_wait_us(struct rt_router *route, const struct rt_queue *queue,
    const struct rt_waiter *waiter, uint32_t *account_waiting)
{
	const struct rt_admission *admission = waiter->admission;
	uint32_t slots = slots_of(route, admission->service);
	uint32_t other_accounts[ACCOUNT_BUCKETS] = {0};
	uint32_t ahead = 0;
	uint32_t account_ahead = 0;
	const struct rt_waiter *w;
	uint32_t i;

	*account_waiting = 0;
	for (w = queue->head; w != NULL; w = w->next) {
		bool same = w->account == waiter->account;

		*account_waiting += same;
		if (w->admission->class_number > admission->class_number)
			continue;
		if (w->admission->class_number < admission->class_number)
			ahead++;
		else if (!same)
			other_accounts[w->account % ACCOUNT_BUCKETS]++;
		else if (w->admission->deadline_us <= admission->deadline_us)
			account_ahead++;
	}
	for (i = 0; i < ACCOUNT_BUCKETS; i++)
		ahead += other_accounts[i] < account_ahead + 1
		    ? other_accounts[i]
		    : account_ahead + 1;
	ahead += account_ahead;
	return (int64_t)(ahead + 1) * latency_of(queue) /
	    (slots == 0 ? 1 : slots);
}

/* Returns the virtual time at which the next request of an account starts. */
static uint64_t
virtual_start(const struct rt_queue *queue, const struct rt_waiter *waiter)
{
	uint64_t finish = queue->virtual_finish[waiter->account];

	return finish > queue->virtual_time ? finish : queue->virtual_time;
}

/* Order: class, then weighted fair queueing by account (earliest virtual start
 * time first), then deadline. */
static struct rt_waiter *
next_waiter(struct rt_queue *queue)
{
	struct rt_waiter *best = NULL;
	struct rt_waiter *w;

	for (w = queue->head; w != NULL; w = w->next) {
		const struct rt_admission *a = w->admission;
		const struct rt_admission *b;
		uint64_t start;
		uint64_t best_start;

		if (best == NULL) {
			best = w;
			continue;
		}
		b = best->admission;
		start = virtual_start(queue, w);
		best_start = virtual_start(queue, best);
		if (a->class_number != b->class_number) {
			if (a->class_number < b->class_number)
				best = w;
		} else if (start != best_start) {
			if (start < best_start)
				best = w;
		} else if (a->deadline_us <= b->deadline_us) /* FIFO on ties */
			best = w;
	}
	return best;
}

static void
unlink_waiter(struct rt_queue *queue, struct rt_waiter *waiter)
{
	struct rt_waiter **link = &queue->head;

	while (*link != waiter)
		link = &(*link)->next;
	*link = waiter->next;
	atomic_fetch_sub(&queue->waiting, 1);
}

/* Removes a waiter from the queue and wakes its thread with the status. */
static void
finish_wait(struct rt_queue *queue, struct rt_waiter *waiter, int status)
{
	unlink_waiter(queue, waiter);
	waiter->status = status;
	pthread_cond_signal(&waiter->wake);
}

/* Assigns free slots to queued requests. A request whose deadline would pass
 * during the attempt is refused, so that no slot is spent on a late answer. */
static void
dispatch_locked(struct rt_router *route, struct rt_queue *queue, int64_t now_us)
{
	struct rt_waiter *waiter;

	while ((waiter = next_waiter(queue)) != NULL) {
		struct rt_pick_query query = {waiter->admission, NULL, 0};
		uint64_t start = virtual_start(queue, waiter);
		int code;

		if (waiter->admission->deadline_us - now_us <
		    latency_of(queue)) {
			finish_wait(queue, waiter, RT_EDEADLINE);
			continue;
		}
		code = rt_pick_take(route, &query, now_us, waiter->pick);
		if (code == RT_EBUSY)
			break;
		if (code == CW_OK) {
			queue->virtual_time = start;
			queue->virtual_finish[waiter->account] = start +
			    VIRTUAL_TIME_PER_REQUEST / waiter->weight_milli;
		}
		finish_wait(queue, waiter, code);
	}
}

/* Assigns the free slots of a service to queued requests. */
void
rt_queue_dispatch(
    struct rt_router *route, struct rt_queue *queue, int64_t now_us)
{
	pthread_mutex_lock(&queue->lock);
	dispatch_locked(route, queue, now_us);
	pthread_mutex_unlock(&queue->lock);
}

/* Dispatches the queues of all services. Slots also become free without the end
 * of a request: when an upstream is added or recovers. */
void
rt_queue_dispatch_all(struct rt_router *route, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < RT_SERVICES_MAX; i++)
		if (atomic_load(&route->queues[i].waiting) > 0)
			rt_queue_dispatch(route, &route->queues[i], now_us);
}

/* Returns the queue limit of an account and sets its weight (thousandths). */
static uint32_t
account_queue_limit(
    struct rt_router *route, uint64_t account, uint32_t *weight_milli)
{
	const struct bd_account *row;
	uint32_t max = ACCOUNT_QUEUE_MAX_DEFAULT;

	*weight_milli = 1000;
	bd_read_begin();
	row = bd_account_lookup(route->board, account);
	if (row != NULL && row->queue_max > 0)
		max = row->queue_max;
	if (row != NULL && row->weight_milli > 0)
		*weight_milli = row->weight_milli;
	bd_read_end();
	return max;
}

/* Waits until the waiter is given a status or wait_us have passed. The caller
 * holds the lock of the queue. */
static void
wait_for_status(
    struct rt_queue *queue, struct rt_waiter *waiter, int64_t wait_us)
{
	struct timespec until = rt_deadline_after(wait_us);

	while (waiter->status == RT_EBUSY &&
	    pthread_cond_timedwait(&waiter->wake, &queue->lock, &until) !=
		ETIMEDOUT)
		;
}

/*
 * Waits in the queue of a service for a slot. Returns RT_EQUEUEFULL at once if
 * a queue limit is reached; RT_EDEADLINE if the deadline passes, or at once if
 * the estimated wait would exceed it; RT_ENOUPSTREAM if the service has no
 * available upstream. Sets refusal to the estimated wait in any case.
 */
int
rt_queue_wait(struct rt_router *route, struct rt_queue *queue,
    const struct rt_admission *admission, int64_t now_us, struct rt_pick *pick,
    struct rt_refusal *refusal)
{
	struct rt_waiter waiter = {0};
	pthread_condattr_t attr;
	uint32_t account_waiting_max;
	uint32_t account_waiting;
	int64_t wait_us;

	waiter.admission = admission;
	waiter.pick = pick;
	waiter.account = rt_account_index(route, admission->account);
	waiter.status = RT_EBUSY;
	account_waiting_max = account_queue_limit(
	    route, admission->account, &waiter.weight_milli);
	pthread_mutex_lock(&queue->lock);
	wait_us = estimate_wait_us(route, queue, &waiter, &account_waiting);
	refusal->retry_after_ms = wait_us / 1000 < RETRY_AFTER_MIN_MS
	    ? RETRY_AFTER_MIN_MS
	    : wait_us / 1000 > RETRY_AFTER_MAX_MS ? RETRY_AFTER_MAX_MS
						  : (uint32_t)(wait_us / 1000);
	if (account_waiting >= account_waiting_max ||
	    atomic_load(&queue->waiting) >= route->settings.queue_max)
		waiter.status = RT_EQUEUEFULL;
	else if (now_us + wait_us + latency_of(queue) > admission->deadline_us)
		waiter.status = RT_EDEADLINE;
	if (waiter.status == RT_EBUSY) {
		pthread_condattr_init(&attr);
		pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
		pthread_cond_init(&waiter.wake, &attr);
		pthread_condattr_destroy(&attr);
		waiter.next = queue->head;
		queue->head = &waiter;
		atomic_fetch_add(&queue->waiting, 1);
		rt_counter_add(route, RT_COUNT_QUEUED, 1);
		/* A slot may have become free before this waiter was
		 * visible. */
		dispatch_locked(route, queue, now_us);
		if (waiter.status == RT_EBUSY)
			wait_for_status(
			    queue, &waiter, admission->deadline_us - now_us);
		if (waiter.status == RT_EBUSY) {
			unlink_waiter(queue, &waiter);
			waiter.status = RT_EDEADLINE;
		}
		pthread_cond_destroy(&waiter.wake);
	}
	pthread_mutex_unlock(&queue->lock);
	return waiter.status;
}
