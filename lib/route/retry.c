#include <assert.h>

#include "route_internal.h"

/* In tenths of a retry. The budget starts empty, so that retries never exceed a
 * tenth of the first attempts. */
#define FIRST_ATTEMPT_TENTHS 1
#define RETRY_TENTHS 10
#define BUDGET_MAX_TENTHS 1000
#define BACKOFF_BASE_US 5000
#define BACKOFF_MAX_US 500000
/* Minimum time that must be left for an attempt. */
#define ATTEMPT_DURATION_MIN_US 1000

static bool is_retryable(const struct rt_retry_query *query);
static bool consume_budget(struct rt_router *route);

/* Counts a first attempt, which adds a tenth of a retry to the budget. */
void
rt_retry_first_attempt(struct rt_router *route)
{
	int budget = atomic_load_explicit(
	    &route->retry_budget_tenths, memory_order_relaxed);

	rt_counter_add(route, RT_COUNT_REQUESTS, 1);
	rt_counter_add(route, RT_COUNT_ATTEMPTS, 1);
	if (budget < BUDGET_MAX_TENTHS)
		atomic_fetch_add_explicit(&route->retry_budget_tenths,
		    FIRST_ATTEMPT_TENTHS, memory_order_relaxed);
}

/* Returns whether the budget allows a retry now. */
bool
rt_retry_has_budget(const struct rt_router *route)
{
	return atomic_load_explicit(
		   &((struct rt_router *)route)->retry_budget_tenths,
		   memory_order_relaxed) >= RETRY_TENTHS;
}

static bool
consume_budget(struct rt_router *route)
{
	int budget = atomic_load_explicit(
	    &route->retry_budget_tenths, memory_order_relaxed);

	while (budget >= RETRY_TENTHS)
		if (atomic_compare_exchange_weak_explicit(
			&route->retry_budget_tenths, &budget,
			budget - RETRY_TENTHS, memory_order_relaxed,
			memory_order_relaxed))
			return true;
	return false;
}

/* Status 500 is an answer of the service itself and is passed on; 502, 503 and
 * 504 come from proxies and infrastructure. */
static bool
is_retryable(const struct rt_retry_query *query)
{
	if (query->outcome == RT_OUTCOME_OK)
		return false;
	if (query->outcome == RT_OUTCOME_ERROR)
		return query->http_status >= 502 && query->http_status <= 504;
	return true;
}

/*
 * Decides on a further attempt. Only a request that is idempotent, or of which
 * no byte was sent, is retried. The delay is an exponential backoff with full
 * jitter, derived from the random number given; time for the attempt must be
 * left before the deadline.
 */
struct rt_retry_decision
rt_retry_decide(struct rt_router *route, const struct rt_retry_query *query,
    int64_t now_us, uint64_t random)
{
	struct rt_retry_decision retry = {RT_VERDICT_FINAL, 0};
	uint32_t doublings = query->attempt < 8 ? query->attempt - 1 : 7;
	int64_t backoff_us = (int64_t)BACKOFF_BASE_US << doublings;

	assert(query->attempt >= 1);
	if (!is_retryable(query))
		return retry;
	if (backoff_us > BACKOFF_MAX_US)
		backoff_us = BACKOFF_MAX_US;
	retry.delay_us = (int64_t)(random % (uint64_t)(backoff_us + 1));
	if (!query->idempotent && query->started)
		retry.verdict = RT_VERDICT_UNSAFE;
	else if (query->attempt >= query->attempts_max)
		retry.verdict = RT_VERDICT_NO_ATTEMPTS_LEFT;
	else if (now_us + retry.delay_us + ATTEMPT_DURATION_MIN_US >=
	    query->deadline_us)
		retry.verdict = RT_VERDICT_NO_TIME;
	else if (!consume_budget(route)) {
		rt_counter_add(route, RT_COUNT_RETRIES_DENIED, 1);
		retry.verdict = RT_VERDICT_NO_BUDGET;
	} else {
		rt_counter_add(route, RT_COUNT_RETRIES, 1);
		rt_counter_add(route, RT_COUNT_ATTEMPTS, 1);
		retry.verdict = RT_VERDICT_RETRY;
	}
	return retry;
}
