#include <assert.h>

#include "route_internal.h"

/*
 * Takes amount from a bucket that fills at rate_per_s and holds burst_us of
 * it, at least one amount. Returns false and how long to wait (us) where it is
 * too empty. Takes no lock.
 */
bool
rt_bucket_take(struct rt_bucket *bucket, int64_t now_us, double rate_per_s,
    double amount, int64_t burst_us, int64_t *wait_us)
{
	int64_t cost_ns = (int64_t)(amount * 1e9 / rate_per_s);
	int64_t now_ns = now_us * 1000;
	int64_t burst_ns =
	    burst_us * 1000 > cost_ns ? burst_us * 1000 : cost_ns;
	int64_t paid_ns;
	int64_t next_ns;

	assert(rate_per_s > 0 && amount >= 0);
	paid_ns = atomic_load_explicit(&bucket->paid_ns, memory_order_relaxed);
	do {
		next_ns = (paid_ns > now_ns ? paid_ns : now_ns) + cost_ns;
		if (next_ns - now_ns > burst_ns) {
			*wait_us = (next_ns - now_ns - burst_ns) / 1000 + 1;
			return false;
		}
	} while (!atomic_compare_exchange_weak_explicit(&bucket->paid_ns,
	    &paid_ns, next_ns, memory_order_relaxed, memory_order_relaxed));
	*wait_us = 0;
	return true;
}

/* Charges an amount after the fact, however empty the bucket is. */
void
rt_bucket_charge(struct rt_bucket *bucket, double rate_per_s, double amount)
{
	assert(rate_per_s > 0);
	atomic_fetch_add_explicit(&bucket->paid_ns,
	    (int64_t)(amount * 1e9 / rate_per_s), memory_order_relaxed);
}
