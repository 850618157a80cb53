#include <assert.h>
#include <stdatomic.h>

#include "base.h"

static uint32_t bucket_of(uint64_t value);
static uint64_t bucket_upper(uint32_t bucket);

/* Values below HIST_SUB_COUNT have a bucket each. Above, every power of two is
 * divided into HIST_SUB_COUNT buckets, for a relative error of at most 1/16. */
static uint32_t
bucket_of(uint64_t value)
{
	uint32_t exponent;
	uint32_t sub;

	if (value < HIST_SUB_COUNT)
		return (uint32_t)value;
	exponent = 63 - (uint32_t)__builtin_clzll(value);
	sub = (uint32_t)(value >> (exponent - HIST_SUB_BITS)) &
	    (HIST_SUB_COUNT - 1);
	return (exponent - HIST_SUB_BITS + 1) * HIST_SUB_COUNT + sub;
}

static uint64_t
bucket_upper(uint32_t bucket)
{
	uint32_t exponent;
	uint64_t sub;

	if (bucket < HIST_SUB_COUNT)
		return bucket;
	exponent = bucket / HIST_SUB_COUNT + HIST_SUB_BITS - 1;
	sub = bucket % HIST_SUB_COUNT;
	return ((1ULL << exponent) | (sub << (exponent - HIST_SUB_BITS))) +
	    ((1ULL << (exponent - HIST_SUB_BITS)) - 1);
}

/* Records one value, in the unit that the histogram's owner chose. Lock-free;
 * any thread may call it. */
void
hist_record(struct hist *hist, uint64_t value)
{
	uint64_t max;

	assert(hist != NULL);
	atomic_fetch_add_explicit(
	    &hist->bucket[bucket_of(value)], 1, memory_order_relaxed);
	atomic_fetch_add_explicit(&hist->count, 1, memory_order_relaxed);
	atomic_fetch_add_explicit(&hist->sum, value, memory_order_relaxed);
	max = atomic_load_explicit(&hist->max, memory_order_relaxed);
	while (value > max &&
	    !atomic_compare_exchange_weak_explicit(&hist->max, &max, value,
		memory_order_relaxed, memory_order_relaxed))
		;
}

/* Returns the upper bound of the bucket that contains the quantile (0 to 1),
 * limited to the largest value recorded; 0 for an empty histogram. */
uint64_t
hist_quantile(const struct hist *hist, double quantile)
{
	uint64_t total = hist_count(hist);
	uint64_t max;
	uint64_t rank;
	uint64_t cumulative = 0;
	uint32_t i;

	assert(quantile >= 0 && quantile <= 1);
	if (total == 0)
		return 0;
	max = atomic_load_explicit(&hist->max, memory_order_relaxed);
	rank = (uint64_t)(quantile * (double)total);
	if (rank >= total)
		rank = total - 1;
	for (i = 0; i < HIST_BUCKETS; i++) {
		cumulative += atomic_load_explicit(
		    &hist->bucket[i], memory_order_relaxed);
		if (cumulative > rank)
			return bucket_upper(i) < max ? bucket_upper(i) : max;
	}
	return max;
}

uint64_t
hist_count(const struct hist *hist)
{
	return atomic_load_explicit(&hist->count, memory_order_relaxed);
}

/* Returns the mean of the recorded values, 0 for an empty histogram. */
double
hist_mean(const struct hist *hist)
{
	uint64_t total = hist_count(hist);

	if (total == 0)
		return 0;
	return (double)atomic_load_explicit(&hist->sum, memory_order_relaxed) /
	    (double)total;
}
