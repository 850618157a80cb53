#include <assert.h>

#include "route_internal.h"

#define RATE_BURST_US 250000
#define CONCURRENCY_RETRY_MS 100
#define UNAVAILABLE_RETRY_MS 1000
#define DRAIN_RETRY_MS 1000

/* Current limits of an account on this VM; UINT32_MAX: unlimited. */
struct allowance {
	uint32_t rate_per_s;
	uint32_t concurrency;
};

static struct allowance allowance_of(
    struct rt_router *route, uint64_t account, int64_t now_ms);
static void update_peak(struct rt_account *account, uint32_t value);
static void release_in_flight(struct rt_router *route);
static uint32_t add_lease(uint32_t floor, uint32_t leased);

/* Returns the index of an account in accounts. Entries are never released; once
 * all are used, further accounts share the entry at their hash position. */
uint32_t
rt_account_index(struct rt_router *route, uint64_t account)
{
	uint32_t home = (uint32_t)(account % RT_ACCOUNTS_MAX);
	uint32_t i;

	for (i = 0; i < RT_ACCOUNTS_MAX; i++) {
		uint32_t slot = (home + i) % RT_ACCOUNTS_MAX;
		atomic_uint_least64_t *cell = &route->accounts[slot].id;
		uint64_t id = atomic_load_explicit(cell, memory_order_acquire);

		if (id == account)
			return slot;
		if (id == 0 &&
		    (atomic_compare_exchange_strong(cell, &id, account) ||
			id == account))
			return slot;
	}
	return home;
}

static uint32_t
add_lease(uint32_t floor, uint32_t leased)
{
	return leased > UINT32_MAX - floor ? UINT32_MAX : floor + leased;
}

/* The allowance is the floor plus the unexpired lease. Until the fleet has
 * written a share, each VM uses its floor, which needs neither the log nor
 * another VM; the sum of all floors is within the limit. */
static struct allowance
allowance_of(struct rt_router *route, uint64_t account, int64_t now_ms)
{
	struct allowance allowance = {UINT32_MAX, UINT32_MAX};
	const struct bd_account *row;
	const struct bd_config *config;
	const struct bd_share *share;
	struct bd_share floors = {0};
	uint32_t entry_vms;
	bool leased;

	bd_read_begin();
	row = bd_account_lookup(route->board, account);
	share = bd_share_lookup(route->board, account);
	if (row != NULL && share == NULL) {
		config = bd_config_lookup(route->board, BD_CONFIG_ID);
		entry_vms = config == NULL ? 1 : config->entry_vms;
		floors.rate_per_s = bd_share_floor(row->rate_per_s, entry_vms);
		floors.concurrency =
		    bd_share_floor(row->concurrency, entry_vms);
		share = &floors;
	}
	leased = share != NULL && share->lease_until_ms > now_ms;
	if (row != NULL && row->rate_per_s > 0)
		allowance.rate_per_s = add_lease(
		    share->rate_per_s, leased ? share->leased_rate_per_s : 0);
	if (row != NULL && row->concurrency > 0)
		allowance.concurrency = add_lease(
		    share->concurrency, leased ? share->leased_concurrency : 0);
	bd_read_end();
	return allowance;
}

static void
update_peak(struct rt_account *account, uint32_t value)
{
	uint32_t peak_concurrency = atomic_load_explicit(
	    &account->peak_concurrency, memory_order_relaxed);

	while (value > peak_concurrency &&
	    !atomic_compare_exchange_weak_explicit(&account->peak_concurrency,
		&peak_concurrency, value, memory_order_relaxed,
		memory_order_relaxed))
		;
}

static void
release_in_flight(struct rt_router *route)
{
	if (atomic_fetch_sub(&route->in_flight, 1) != 1 ||
	    !atomic_load(&route->draining))
		return;
	pthread_mutex_lock(&route->drain_lock);
	pthread_cond_broadcast(&route->drained);
	pthread_mutex_unlock(&route->drain_lock);
}

/*
 * Accepts a request within this VM's share of its account's limits; each
 * success must be paired with rt_request_end. Otherwise sets refusal and
 * returns RT_EDRAINING, RT_ERATE or RT_ECONCURRENCY. Takes no lock.
 */
int
rt_request_begin(struct rt_router *route, uint64_t account, int64_t now_us,
    struct rt_refusal *refusal)
{
	struct rt_account *usage =
	    &route->accounts[rt_account_index(route, account)];
	struct allowance allowance;
	int64_t wait_us = 0;
	uint32_t before;
	int code = CW_OK;

	refusal->retry_after_ms = DRAIN_RETRY_MS;
	atomic_fetch_add(&route->in_flight, 1);
	if (atomic_load(&route->draining)) {
		release_in_flight(route);
		return RT_EDRAINING;
	}
	allowance = allowance_of(route, account, now_us / 1000);
	atomic_fetch_add_explicit(&usage->requested, 1, memory_order_relaxed);
	before = atomic_fetch_add_explicit(
	    &usage->concurrency, 1, memory_order_relaxed);
	update_peak(usage, before + 1);
	if (before >= allowance.concurrency) {
		refusal->retry_after_ms = CONCURRENCY_RETRY_MS;
		code = RT_ECONCURRENCY;
	} else if (allowance.rate_per_s == 0) {
		refusal->retry_after_ms = UNAVAILABLE_RETRY_MS;
		code = RT_ERATE;
	} else if (allowance.rate_per_s != UINT32_MAX &&
	    !rt_bucket_take(&usage->rate_bucket, now_us, allowance.rate_per_s,
		1, RATE_BURST_US, &wait_us)) {
		refusal->retry_after_ms = (uint32_t)(wait_us / 1000) + 1;
		code = RT_ERATE;
	}
	if (code == CW_OK)
		return CW_OK;
	atomic_fetch_sub_explicit(&usage->concurrency, 1, memory_order_relaxed);
	release_in_flight(route);
	rt_counter_add(route, RT_COUNT_REFUSED_LIMIT, 1);
	return code;
}

/* Ends a request that rt_request_begin accepted, after its answer was sent. */
void
rt_request_end(struct rt_router *route, uint64_t account)
{
	atomic_fetch_sub_explicit(
	    &route->accounts[rt_account_index(route, account)].concurrency, 1,
	    memory_order_relaxed);
	release_in_flight(route);
}

/*
 * Acquires a slot on an upstream for the first attempt; waits for one in the
 * queue of the service up to the deadline. If there is none, sets refusal and
 * returns RT_ENOUPSTREAM, RT_EQUEUEFULL or RT_EDEADLINE.
 */
int
rt_admit(struct rt_router *route, const struct rt_admission *admission,
    int64_t now_us, struct rt_pick *pick, struct rt_refusal *refusal)
{
	struct rt_queue *queue = rt_queue_get(route, admission->service);
	struct rt_pick_query query = {admission, NULL, 0};
	int code = RT_EBUSY;

	assert(admission->class_number < BD_CLASS_COUNT);
	/* Do not overtake queued requests. */
	if (atomic_load(&queue->waiting) == 0)
		code = rt_pick_take(route, &query, now_us, pick);
	if (code == RT_EBUSY)
		code = rt_queue_wait(
		    route, queue, admission, now_us, pick, refusal);
	if (code == RT_EQUEUEFULL)
		rt_counter_add(route, RT_COUNT_REFUSED_QUEUE, 1);
	else if (code == RT_EDEADLINE)
		rt_counter_add(route, RT_COUNT_REFUSED_LATE, 1);
	else if (code != CW_OK) {
		refusal->retry_after_ms = UNAVAILABLE_RETRY_MS;
		rt_counter_add(route, RT_COUNT_REFUSED_OTHER, 1);
	}
	return code;
}

/* Reads and resets the demand of up to max accounts since the last call. Must
 * be called once a second, as rate_per_s counts all requests since then, and
 * from one thread. Returns the number of accounts. */
size_t
rt_demand_read(struct rt_router *route, struct rt_demand *out, size_t max)
{
	size_t count = 0;
	uint32_t i;

	for (i = 0; i < RT_ACCOUNTS_MAX && count < max; i++) {
		struct rt_account *usage = &route->accounts[i];
		uint32_t peak_concurrency = atomic_exchange(
		    &usage->peak_concurrency, atomic_load(&usage->concurrency));
		uint32_t requested = atomic_exchange(&usage->requested, 0);

		if (peak_concurrency == 0 && requested == 0)
			continue;
		out[count].account = atomic_load(&usage->id);
		out[count].rate_per_s = requested;
		out[count].concurrency = peak_concurrency;
		count++;
	}
	return count;
}
