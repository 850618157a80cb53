#include <assert.h>
#include <stdlib.h>

#include "route_internal.h"

static struct rt_stripe *thread_stripe(struct rt_router *route);

/* Returns the name under which a counter is exported. */
const char *
rt_counter_name(enum rt_counter counter)
{
	static const char *const names[RT_COUNTERS] = {
	    "requests",
	    "attempts",
	    "retries",
	    "retries_denied",
	    "queued",
	    "refused_limit",
	    "refused_queue",
	    "refused_late",
	    "refused_other",
	    "ejections",
	    "leaving_signals",
	    "cross_region_request_bytes",
	    "cross_region_answer_bytes",
	    "cross_region_refused",
	    "once_repeats",
	    "once_conflicts",
	    "answers_evicted",
	};

	assert(counter < RT_COUNTERS);
	return names[counter];
}

/* Returns the name under which a histogram is exported. */
const char *
rt_hist_name(enum rt_hist_kind kind)
{
	static const char *const names[RT_HIST_COUNT] = {
	    "queue", "upstream", "total"};

	assert(kind < RT_HIST_COUNT);
	return names[kind];
}

/* Returns the name under which an outcome of attempts is exported. */
const char *
rt_outcome_name(enum rt_outcome_kind kind)
{
	static const char *const names[RT_OUTCOME_COUNT] = {"ok", "pushback",
	    "error", "not_started", "lost", "truncated", "timeout", "silent",
	    "unused"};

	assert(kind < RT_OUTCOME_COUNT);
	return names[kind];
}

/* Counters are striped over threads, because contention for shared cache lines
 * costs more than the rest of a routing decision. */
static struct rt_stripe *
thread_stripe(struct rt_router *route)
{
	static atomic_uint threads;
	static _Thread_local uint32_t stripe = UINT32_MAX;

	if (stripe == UINT32_MAX)
		stripe = atomic_fetch_add(&threads, 1) % RT_COUNTER_STRIPES;
	return &route->stripes[stripe];
}

/* Adds n to a counter. Safe to call from any thread. */
void
rt_counter_add(struct rt_router *route, enum rt_counter counter, uint64_t n)
{
	atomic_fetch_add_explicit(
	    &thread_stripe(route)->counters[counter], n, memory_order_relaxed);
}

/* Returns the value of a counter since start, summed over all stripes. */
uint64_t
rt_counter_read(const struct rt_router *route, enum rt_counter counter)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < RT_COUNTER_STRIPES; i++)
		sum += atomic_load_explicit(
		    &route->stripes[i].counters[counter], memory_order_relaxed);
	return sum;
}

/* Counts the outcome of an attempt. */
void
rt_outcome_counter_add(struct rt_router *route, enum rt_outcome_kind kind)
{
	atomic_fetch_add_explicit(
	    &thread_stripe(route)->outcomes[kind], 1, memory_order_relaxed);
}

/* Returns how many attempts ended with an outcome since start. */
uint64_t
rt_outcome_read(const struct rt_router *route, enum rt_outcome_kind kind)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < RT_COUNTER_STRIPES; i++)
		sum += atomic_load_explicit(
		    &route->stripes[i].outcomes[kind], memory_order_relaxed);
	return sum;
}

/* Records a duration in microseconds; negative values count as 0. The
 * histograms of an account and class are allocated at first use; without memory
 * the value is dropped. */
void
rt_hist_record(struct rt_router *route, uint64_t account, uint32_t class_number,
    enum rt_hist_kind kind, int64_t us)
{
	_Atomic(struct rt_hists *) *slot;
	struct rt_hists *hists;
	struct rt_hists *created;

	assert(class_number < BD_CLASS_COUNT && kind < RT_HIST_COUNT);
	slot = &route->accounts[rt_account_index(route, account)]
		    .hists[class_number];
	hists = atomic_load_explicit(slot, memory_order_acquire);
	if (hists == NULL) {
		created = calloc(1, sizeof(*created));
		if (created == NULL)
			return;
		if (atomic_compare_exchange_strong(slot, &hists, created))
			hists = created;
		else
			free(created);
	}
	hist_record(&hists->kinds[kind], us > 0 ? (uint64_t)us : 0);
}

/* Passes every allocated histogram to the reader. */
void
rt_hist_read(const struct rt_router *route, const struct rt_hist_reader *reader)
{
	uint32_t i;
	uint32_t k;
	uint32_t kind;

	for (i = 0; i < RT_ACCOUNTS_MAX; i++)
		for (k = 0; k < BD_CLASS_COUNT; k++) {
			struct rt_hists *hists = atomic_load_explicit(
			    &route->accounts[i].hists[k], memory_order_acquire);

			for (kind = 0; hists != NULL && kind < RT_HIST_COUNT;
			     kind++)
				reader->hist(reader->ctx,
				    atomic_load(&route->accounts[i].id), k,
				    kind, &hists->kinds[kind]);
		}
}
