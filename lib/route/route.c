#include <assert.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "route_internal.h"

#define QUEUE_MAX_DEFAULT 1024
#define ANSWER_BYTES_DEFAULT (32u * 1024 * 1024)
#define REQUEST_START_MASK 0x3fffffffff000000ULL

static _Thread_local struct cw_rng thread_rng;
static _Thread_local bool thread_seeded;

static int allocate(struct rt_router *route);

/* Returns the text of a status code of this module. */
const char *
rt_status_name(int code)
{
	static const char *const names[] = {
	    "this VM is shutting down",
	    "above the account's rate",
	    "above the account's concurrency",
	    "queue is full",
	    "would wait beyond the deadline",
	    "no upstream in service",
	    "all upstreams are full",
	    "out of memory",
	    "not found",
	    "in progress",
	    "repeated",
	    "key was used with another body",
	    "log is out of reach",
	    "owner does not answer",
	};
	int number = CW_BASE_ROUTE - 1 - code;

	if (number < 0 || number >= (int)(sizeof(names) / sizeof(*names)))
		return cw_status_name(code);
	return names[number];
}

/* Sets the defaults for one entry VM; self, zone and region are 0. */
void
rt_settings_default(struct rt_settings *settings)
{
	memset(settings, 0, sizeof(*settings));
	settings->queue_max = QUEUE_MAX_DEFAULT;
	settings->answer_bytes_max = ANSWER_BYTES_DEFAULT;
}

static int
allocate(struct rt_router *route)
{
	uint32_t i;

	route->upstream_stats = aligned_alloc(
	    64, RT_UPSTREAMS_MAX * sizeof(*route->upstream_stats));
	route->accounts =
	    aligned_alloc(64, RT_ACCOUNTS_MAX * sizeof(*route->accounts));
	route->queues =
	    aligned_alloc(64, RT_SERVICES_MAX * sizeof(*route->queues));
	route->stripes =
	    aligned_alloc(64, RT_COUNTER_STRIPES * sizeof(*route->stripes));
	route->trackers = calloc(RT_UPSTREAMS_MAX, sizeof(*route->trackers));
	route->answer_ring =
	    calloc(RT_ANSWER_RING_SIZE, sizeof(*route->answer_ring));
	if (route->upstream_stats == NULL || route->accounts == NULL ||
	    route->queues == NULL || route->stripes == NULL ||
	    route->trackers == NULL || route->answer_ring == NULL)
		return RT_ENOMEM;
	memset(route->upstream_stats, 0,
	    RT_UPSTREAMS_MAX * sizeof(*route->upstream_stats));
	memset(route->accounts, 0, RT_ACCOUNTS_MAX * sizeof(*route->accounts));
	memset(route->queues, 0, RT_SERVICES_MAX * sizeof(*route->queues));
	memset(route->stripes, 0, RT_COUNTER_STRIPES * sizeof(*route->stripes));
	for (i = 0; i < RT_SERVICES_MAX; i++)
		pthread_mutex_init(&route->queues[i].lock, NULL);
	return CW_OK;
}

/* Creates a router over the published state. It has no upstreams before the
 * first call of rt_index_step. Returns RT_ENOMEM. */
int
rt_create(struct rt_router **out, struct bd_board *board,
    const struct rt_settings *settings)
{
	struct rt_router *route = calloc(1, sizeof(*route));
	pthread_condattr_t attr;

	assert(board != NULL && settings->self != 0);
	if (route == NULL)
		return cw_error_set(
		    RT_ENOMEM, "out of memory while creating the router");
	route->board = board;
	route->settings = *settings;
	route->index_scan_ms = INT64_MIN / 2;
	route->health_step_ms = -1;
	/* Start at random, so that request numbers of several VMs do not
	 * collide in the records of one key. */
	atomic_store(
	    &route->last_request, cw_rng_entropy() & REQUEST_START_MASK);
	atomic_store(
	    &route->answer_ring_tail, atomic_load(&route->last_request));
	pthread_mutex_init(&route->drain_lock, NULL);
	pthread_mutex_init(&route->peer_lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&route->drained, &attr);
	pthread_condattr_destroy(&attr);
	if (allocate(route) != CW_OK) {
		rt_destroy(route);
		return cw_error_set(
		    RT_ENOMEM, "out of memory while creating the router");
	}
	*out = route;
	return CW_OK;
}

/* Frees a router. No other thread may use it any more. */
void
rt_destroy(struct rt_router *route)
{
	uint32_t i;
	uint32_t k;

	rt_idempotency_destroy(route);
	if (route->answer_ring != NULL)
		rt_answers_destroy(route);
	urcu_bp_barrier();
	for (i = 0; i < RT_ACCOUNTS_MAX && route->accounts != NULL; i++)
		for (k = 0; k < BD_CLASS_COUNT; k++)
			free(atomic_load(&route->accounts[i].hists[k]));
	for (i = 0; i < RT_PEERS_MAX; i++)
		free(route->peers[i]);
	free(route->index);
	free(route->upstream_stats);
	free(route->accounts);
	free(route->queues);
	free(route->stripes);
	free(route->trackers);
	free(route->answer_ring);
	pthread_cond_destroy(&route->drained);
	pthread_mutex_destroy(&route->drain_lock);
	pthread_mutex_destroy(&route->peer_lock);
	free(route);
}

/* Returns the random number generator of the calling thread. */
struct cw_rng *
rt_rng(void)
{
	if (!thread_seeded)
		rt_rng_seed(cw_rng_entropy());
	return &thread_rng;
}

/* Seeds the random number generator of the calling thread, for reproducible
 * runs. */
void
rt_rng_seed(uint64_t seed)
{
	cw_rng_seed(&thread_rng, seed);
	thread_seeded = true;
}

/* Returns the CLOCK_MONOTONIC time in wait_us from now, for timed waits. */
struct timespec
rt_deadline_after(int64_t wait_us)
{
	struct timespec time;

	clock_gettime(CLOCK_MONOTONIC, &time);
	time.tv_sec += wait_us / 1000000;
	time.tv_nsec += wait_us % 1000000 * 1000;
	if (time.tv_nsec >= 1000000000) {
		time.tv_sec++;
		time.tv_nsec -= 1000000000;
	}
	return time;
}

/* Refuses new requests from now on; requests in flight continue. */
void
rt_drain(struct rt_router *route)
{
	atomic_store(&route->draining, true);
}

/* Returns whether rt_drain was called. */
bool
rt_is_draining(const struct rt_router *route)
{
	return atomic_load(&((struct rt_router *)route)->draining);
}

/* Returns the number of accepted requests that have not ended. */
uint32_t
rt_in_flight(const struct rt_router *route)
{
	return atomic_load(&((struct rt_router *)route)->in_flight);
}

/* Waits up to timeout_ms until no request is in flight. Requires rt_drain.
 * Returns false if requests are left. */
bool
rt_drain_wait(struct rt_router *route, int64_t timeout_ms)
{
	struct timespec until = rt_deadline_after(timeout_ms * 1000);
	bool empty;

	assert(rt_is_draining(route));
	pthread_mutex_lock(&route->drain_lock);
	while (!(empty = rt_in_flight(route) == 0))
		if (pthread_cond_timedwait(&route->drained, &route->drain_lock,
			&until) == ETIMEDOUT) {
			empty = rt_in_flight(route) == 0;
			break;
		}
	pthread_mutex_unlock(&route->drain_lock);
	return empty;
}
