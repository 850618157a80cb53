#include <assert.h>
#include <stdlib.h>

#include "route_internal.h"

static struct rt_stripe *own_stripe(struct rt_route *route);

/* Returns the name of a counter, as the metrics page shows it. */
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

/* Returns the name of a histogram, as the metrics page shows it. */
const char *
rt_hist_name(enum rt_hist_kind kind)
{
	static const char *const names[RT_HIST_COUNT] = {
	    "queue", "upstream", "total"};

	assert(kind < RT_HIST_COUNT);
	return names[kind];
}

/* Returns the name of an outcome of an attempt. */
const char *
rt_outcome_name(enum rt_outcome_kind kind)
{
	static const char *const names[RT_OUTCOME_COUNT] = {"ok", "pushback",
	    "error", "not_started", "lost", "truncated", "timeout", "silent",
	    "unused"};

	assert(kind < RT_OUTCOME_COUNT);
	return names[kind];
}

/* Threads count in stripes of their own, as shared cache lines cost more than
 * the rest of a routing decision. */
static struct rt_stripe *
own_stripe(struct rt_route *route)
{
	static atomic_uint threads;
	static _Thread_local uint32_t number = UINT32_MAX;

	if (number == UINT32_MAX)
		number = atomic_fetch_add(&threads, 1) % RT_STRIPES;
	return &route->stripes[number];
}

/* Adds n to a counter; any thread may call it. */
void
rt_count(struct rt_route *route, enum rt_counter counter, uint64_t n)
{
	atomic_fetch_add_explicit(
	    &own_stripe(route)->counters[counter], n, memory_order_relaxed);
}

/* Returns the value of a counter since start. */
uint64_t
rt_counter_read(const struct rt_route *route, enum rt_counter counter)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < RT_STRIPES; i++)
		sum += atomic_load_explicit(
		    &route->stripes[i].counters[counter], memory_order_relaxed);
	return sum;
}

/* Counts the outcome of an attempt. */
void
rt_outcome_count(struct rt_route *route, enum rt_outcome_kind kind)
{
	atomic_fetch_add_explicit(
	    &own_stripe(route)->outcomes[kind], 1, memory_order_relaxed);
}

/* Returns how many attempts ended with an outcome since start. */
uint64_t
rt_outcome_read(const struct rt_route *route, enum rt_outcome_kind kind)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < RT_STRIPES; i++)
		sum += atomic_load_explicit(
		    &route->stripes[i].outcomes[kind], memory_order_relaxed);
	return sum;
}

/* Records a time in microseconds; negative ones count as 0. The histograms of
 * an account and class are made at their first use. */
void
rt_time(struct rt_route *route, uint64_t account, uint32_t class_number,
    enum rt_hist_kind kind, int64_t us)
{
	_Atomic(struct rt_hists *) *place;
	struct rt_hists *hists;
	struct rt_hists *fresh;

	assert(class_number < BD_CLASS_COUNT && kind < RT_HIST_COUNT);
	place = &route->accounts[rt_account_slot(route, account)]
		     .hists[class_number];
	hists = atomic_load_explicit(place, memory_order_acquire);
	if (hists == NULL) {
		fresh = calloc(1, sizeof(*fresh));
		if (fresh == NULL)
			return;
		if (atomic_compare_exchange_strong(place, &hists, fresh))
			hists = fresh;
		else
			free(fresh);
	}
	hist_record(&hists->kinds[kind], us > 0 ? (uint64_t)us : 0);
}

/* Shows every histogram that has values. */
void
rt_hist_read(const struct rt_route *route, const struct rt_hist_reader *reader)
{
	uint32_t i;
	uint32_t k;
	uint32_t kind;

	for (i = 0; i < RT_ACCOUNTS; i++)
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
