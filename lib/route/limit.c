#include <assert.h>

#include "route_internal.h"

#define BURST_US 250000
#define CONCURRENCY_RETRY_MS 100
#define NO_SHARE_RETRY_MS 1000
#define DRAIN_RETRY_MS 1000

/* What this VM may let in of an account now; UINT32_MAX: unlimited. */
struct allowance {
	uint32_t rate_per_s;
	uint32_t concurrency;
};

static struct allowance allowance_of(
    struct rt_route *route, uint64_t account, int64_t now_ms);
static void raise_peak(struct rt_account *account, uint32_t value);
static void give_back(struct rt_route *route);
static uint32_t in_force(uint32_t floor, uint32_t leased);

/* Returns the place of an account's gauges. Ids that were used once keep
 * theirs; when there are more than places, accounts share one. */
uint32_t
rt_account_slot(struct rt_route *route, uint64_t account)
{
	uint32_t place = (uint32_t)(account % RT_ACCOUNTS);
	uint32_t i;

	for (i = 0; i < RT_ACCOUNTS; i++) {
		uint32_t slot = (place + i) % RT_ACCOUNTS;
		atomic_uint_least64_t *cell = &route->accounts[slot].id;
		uint64_t id = atomic_load_explicit(cell, memory_order_acquire);

		if (id == account)
			return slot;
		if (id == 0 &&
		    (atomic_compare_exchange_strong(cell, &id, account) ||
			id == account))
			return slot;
	}
	return place;
}

static uint32_t
in_force(uint32_t floor, uint32_t leased)
{
	return leased > UINT32_MAX - floor ? UINT32_MAX : floor + leased;
}

/* Until the fleet has written a share, the floors hold: they need neither the
 * log nor another VM, and their sum stays within the limit. */
static struct allowance
allowance_of(struct rt_route *route, uint64_t account, int64_t now_ms)
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
		allowance.rate_per_s = in_force(
		    share->rate_per_s, leased ? share->leased_rate_per_s : 0);
	if (row != NULL && row->concurrency > 0)
		allowance.concurrency = in_force(
		    share->concurrency, leased ? share->leased_concurrency : 0);
	bd_read_end();
	return allowance;
}

static void
raise_peak(struct rt_account *account, uint32_t value)
{
	uint32_t peak =
	    atomic_load_explicit(&account->peak, memory_order_relaxed);

	while (value > peak &&
	    !atomic_compare_exchange_weak_explicit(&account->peak, &peak, value,
		memory_order_relaxed, memory_order_relaxed))
		;
}

static void
give_back(struct rt_route *route)
{
	if (atomic_fetch_sub(&route->in_flight, 1) != 1 ||
	    !atomic_load(&route->draining))
		return;
	pthread_mutex_lock(&route->drain_lock);
	pthread_cond_broadcast(&route->drained);
	pthread_mutex_unlock(&route->drain_lock);
}

/*
 * Lets a request of an account in, within this VM's share of its limits; pair
 * it with rt_leave. Returns RT_EDRAINING, RT_ERATE or RT_ECONCURRENCY, and
 * when to try again. Takes no lock.
 */
int
rt_enter(struct rt_route *route, uint64_t account, int64_t now_us,
    struct rt_refusal *refusal)
{
	struct rt_account *gauge =
	    &route->accounts[rt_account_slot(route, account)];
	struct allowance allowance;
	int64_t wait_us = 0;
	uint32_t before;
	int code = CW_OK;

	refusal->retry_after_ms = DRAIN_RETRY_MS;
	atomic_fetch_add(&route->in_flight, 1);
	if (atomic_load(&route->draining)) {
		give_back(route);
		return RT_EDRAINING;
	}
	allowance = allowance_of(route, account, now_us / 1000);
	atomic_fetch_add_explicit(&gauge->asked, 1, memory_order_relaxed);
	before = atomic_fetch_add_explicit(
	    &gauge->concurrency, 1, memory_order_relaxed);
	raise_peak(gauge, before + 1);
	if (before >= allowance.concurrency) {
		refusal->retry_after_ms = CONCURRENCY_RETRY_MS;
		code = RT_ECONCURRENCY;
	} else if (allowance.rate_per_s == 0) {
		refusal->retry_after_ms = NO_SHARE_RETRY_MS;
		code = RT_ERATE;
	} else if (allowance.rate_per_s != UINT32_MAX &&
	    !rt_bucket_take(&gauge->rate, now_us, allowance.rate_per_s, 1,
		BURST_US, &wait_us)) {
		refusal->retry_after_ms = (uint32_t)(wait_us / 1000) + 1;
		code = RT_ERATE;
	}
	if (code == CW_OK)
		return CW_OK;
	atomic_fetch_sub_explicit(&gauge->concurrency, 1, memory_order_relaxed);
	give_back(route);
	rt_count(route, RT_COUNT_REFUSED_LIMIT, 1);
	return code;
}

/* Ends what rt_enter began, once the caller has its answer. */
void
rt_leave(struct rt_route *route, uint64_t account)
{
	atomic_fetch_sub_explicit(
	    &route->accounts[rt_account_slot(route, account)].concurrency, 1,
	    memory_order_relaxed);
	give_back(route);
}

/*
 * Takes a place on a runner for the first attempt; waits for one in the queue
 * of the service up to the deadline. Returns RT_ENORUNNER, RT_EQUEUEFULL or
 * RT_ETOOLATE, and when to try again.
 */
int
rt_admit(struct rt_route *route, const struct rt_admission *admission,
    int64_t now_us, struct rt_pick *pick, struct rt_refusal *refusal)
{
	struct rt_queue *queue = rt_queue_get(route, admission->service);
	struct rt_pick_query query = {admission, NULL, 0};
	int code = RT_EBUSY;

	assert(admission->class_number < BD_CLASS_COUNT);
	/* Who waits already goes first. */
	if (atomic_load(&queue->waiting) == 0)
		code = rt_pick_take(route, &query, now_us, pick);
	if (code == RT_EBUSY)
		code = rt_queue_wait(
		    route, queue, admission, now_us, pick, refusal);
	if (code == RT_EQUEUEFULL)
		rt_count(route, RT_COUNT_REFUSED_QUEUE, 1);
	else if (code == RT_ETOOLATE)
		rt_count(route, RT_COUNT_REFUSED_LATE, 1);
	else if (code != CW_OK) {
		refusal->retry_after_ms = NO_SHARE_RETRY_MS;
		rt_count(route, RT_COUNT_REFUSED_OTHER, 1);
	}
	return code;
}

/* Tells what the accounts asked for since the last call, at most max of them;
 * call it once a second from one thread. Returns the count. */
size_t
rt_demand_read(struct rt_route *route, struct rt_demand *out, size_t max)
{
	size_t count = 0;
	uint32_t i;

	for (i = 0; i < RT_ACCOUNTS && count < max; i++) {
		struct rt_account *gauge = &route->accounts[i];
		uint32_t peak = atomic_exchange(
		    &gauge->peak, atomic_load(&gauge->concurrency));
		uint32_t asked = atomic_exchange(&gauge->asked, 0);

		if (peak == 0 && asked == 0)
			continue;
		out[count].account = atomic_load(&gauge->id);
		out[count].rate_per_s = asked;
		out[count].concurrency = peak;
		count++;
	}
	return count;
}
