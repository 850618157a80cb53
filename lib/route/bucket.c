#include <assert.h>

#include "route_internal.h"

/*
 * Takes amount from a bucket that is refilled at rate_per_s and holds the
 * refill of burst_us, but at least amount. Returns false and the time until
 * enough is available (us) if the bucket holds too little. Takes no lock.
 */
bool
rt_bucket_take(struct rt_bucket *bucket, int64_t now_us, double rate_per_s,
    double amount, int64_t burst_us, int64_t *wait_us)
{
	int64_t cost_ns = (int64_t)(amount * 1e9 / rate_per_s);
	int64_t now_ns = now_us * 1000;
	int64_t burst_ns =
	    burst_us * 1000 > cost_ns ? burst_us * 1000 : cost_ns;
	int64_t tat_ns;
	int64_t next_ns;

	assert(rate_per_s > 0 && amount >= 0);
	tat_ns = atomic_load_explicit(&bucket->tat_ns, memory_order_relaxed);
	do {
		next_ns = (tat_ns > now_ns ? tat_ns : now_ns) + cost_ns;
		if (next_ns - now_ns > burst_ns) {
			*wait_us = (next_ns - now_ns - burst_ns) / 1000 + 1;
			return false;
		}
	} while (!atomic_compare_exchange_weak_explicit(&bucket->tat_ns,
	    &tat_ns, next_ns, memory_order_relaxed, memory_order_relaxed));
	*wait_us = 0;
	return true;
}

/* Charges an amount unconditionally; the bucket may go into debt. A negative
 * amount is a refund. */
void
rt_bucket_charge(struct rt_bucket *bucket, double rate_per_s, double amount)
{
	assert(rate_per_s > 0);
	atomic_fetch_add_explicit(&bucket->tat_ns,
	    (int64_t)(amount * 1e9 / rate_per_s), memory_order_relaxed);
}
