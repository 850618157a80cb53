#include <assert.h>
#include <string.h>

#include "route_internal.h"

/* Latency assumed for an upstream that has not answered yet. */
#define LATENCY_UNKNOWN_US 1000
/* Fraction of its weight that an upstream keeps for a while after a 429 or a
 * failure. */
#define DEPRIORITIZED_WEIGHT_FACTOR 0.25
#define FAILURE_DEPRIORITIZE_MS 500
/* One in this many picks ignores the scores, so that the latency of a slow
 * upstream is measured again; otherwise it would get no requests any more. */
#define EXPLORE_ONE_IN 64
#define PUSHBACK_DEFAULT_MS 1000 /* after a 429 without Retry-After */
#define PUSHBACK_MAX_MS 10000
/* Time without new requests after an answer that announces a shutdown. The VM
 * list, which lags by up to 30 s, shows the upstream as leaving by then. */
#define LEAVING_EXCLUSION_US (60 * 1000000LL)
#define CROSS_REGION_BURST_US 1000000LL
/* A timeout counts as a failure only from this multiple of the average latency
 * on, so that callers with short deadlines do not eject upstreams. */
#define TIMEOUT_LATENCY_FACTOR 4
#define CHOOSE_ATTEMPTS_MAX 3

static bool was_tried(
    const struct rt_pick_query *query, const struct rt_candidate *candidate);
static bool has_free_slot(const struct rt_upstream_stats *stats,
    const struct rt_candidate *candidate, int64_t now_us);
static double score_of(const struct rt_upstream_stats *stats,
    const struct rt_candidate *candidate, int64_t now_us);
static bool acquire_slot(
    struct rt_upstream_stats *stats, const struct rt_candidate *candidate);
static const struct rt_candidate *choose_once(const struct rt_router *route,
    const struct rt_index *index, const struct rt_group *group,
    const struct rt_pick_query *query, int64_t now_us);
static const struct rt_candidate *choose(struct rt_router *route,
    const struct rt_index *index, const struct rt_group *group,
    const struct rt_pick_query *query, int64_t now_us);
static const struct rt_candidate *choose_probe(struct rt_router *route,
    const struct rt_index *index, const struct rt_group *group, int64_t now_us);
static bool reserve_cross_region(struct rt_router *route,
    const struct rt_index *index, uint64_t bytes, int64_t now_us);
static void fill_pick(const struct rt_router *route, struct rt_pick *pick,
    const struct rt_candidate *candidate, uint64_t service);
static void update_average(atomic_uint *average, int64_t value_us);
static bool is_upstream_failure(const struct rt_upstream_stats *stats,
    const struct rt_outcome *outcome, int64_t elapsed_us);
static void apply_signals(struct rt_router *route,
    struct rt_upstream_stats *stats, const struct rt_outcome *outcome);

/* Resets the statistics for a new row at this index. in_flight stays, because
 * requests of the old row still end; loads reported by other VMs are discarded,
 * because they describe the old row. */
void
rt_upstream_stats_reset(
    struct rt_router *route, uint32_t index, uint32_t generation)
{
	struct rt_upstream_stats *stats = &route->upstream_stats[index];
	uint32_t i;

	pthread_mutex_lock(&route->peer_lock);
	for (i = 0; i < RT_PEERS_MAX; i++)
		if (route->peers[i] != NULL)
			route->peers[i]->load[index] = 0;
	atomic_store(&stats->peer_in_flight, 0);
	pthread_mutex_unlock(&route->peer_lock);
	atomic_store(&stats->latency_us, 0);
	atomic_store(&stats->consecutive_failures, 0);
	atomic_store(&stats->leaving_until_us, 0);
	atomic_store(&stats->deprioritized_until_us, 0);
	atomic_store(&stats->weight, RT_WEIGHT_FULL);
	atomic_store(&stats->probe_permits, 0);
	atomic_store(&stats->generation, generation);
}

static bool
was_tried(
    const struct rt_pick_query *query, const struct rt_candidate *candidate)
{
	uint32_t i;

	for (i = 0; i < query->tried_count; i++)
		if (query->tried[i].index == candidate->handle.index)
			return true;
	return false;
}

/* Requests of other VMs count against the upstream's slots. Their reports lag,
 * so an upstream may still be full and answer 429. */
static bool
has_free_slot(const struct rt_upstream_stats *stats,
    const struct rt_candidate *candidate, int64_t now_us)
{
	uint32_t own =
	    atomic_load_explicit(&stats->in_flight, memory_order_relaxed);
	uint32_t others =
	    atomic_load_explicit(&stats->peer_in_flight, memory_order_relaxed);

	return own < candidate->in_flight_max &&
	    own + others < candidate->slots &&
	    atomic_load_explicit(
		&stats->leaving_until_us, memory_order_relaxed) <= now_us;
}

/* Lower is better: load per slot times latency, divided by a weight that is
 * lower in slow start, after a 429 and after a failure. */
static double
score_of(const struct rt_upstream_stats *stats,
    const struct rt_candidate *candidate, int64_t now_us)
{
	uint32_t load =
	    atomic_load_explicit(&stats->in_flight, memory_order_relaxed) +
	    atomic_load_explicit(&stats->peer_in_flight, memory_order_relaxed);
	uint32_t latency_us =
	    atomic_load_explicit(&stats->latency_us, memory_order_relaxed);
	double weight =
	    atomic_load_explicit(&stats->weight, memory_order_relaxed);

	if (atomic_load_explicit(
		&stats->deprioritized_until_us, memory_order_relaxed) > now_us)
		weight *= DEPRIORITIZED_WEIGHT_FACTOR;
	if (latency_us == 0)
		latency_us = LATENCY_UNKNOWN_US;
	return (load + 1) * (double)latency_us / (candidate->slots * weight);
}

/* Increments first and reverts if the upstream was full, so that two threads
 * never acquire the last slot. */
static bool
acquire_slot(
    struct rt_upstream_stats *stats, const struct rt_candidate *candidate)
{
	uint32_t before = atomic_fetch_add(&stats->in_flight, 1);

	if (before < candidate->in_flight_max &&
	    before +
		    atomic_load_explicit(
			&stats->peer_in_flight, memory_order_relaxed) <
		candidate->slots)
		return true;
	atomic_fetch_sub(&stats->in_flight, 1);
	return false;
}

/* Power of two choices among the upstreams with a free slot. A random candidate
 * that is full is replaced by the next free one after a random offset. */
static const struct rt_candidate *
choose_once(const struct rt_router *route, const struct rt_index *index,
    const struct rt_group *group, const struct rt_pick_query *query,
    int64_t now_us)
{
	const struct rt_candidate *best = NULL;
	double best_score = 0;
	uint64_t random = cw_rng_next(rt_rng());
	uint32_t first = (uint32_t)((random & 0xffffffff) * group->count >> 32);
	uint32_t second = (uint32_t)((random >> 32) * group->count >> 32);
	bool explore = random % EXPLORE_ONE_IN == 0;
	uint32_t seen = 0;
	uint32_t i;

	for (i = 0; i <= group->count && seen < 2; i++) {
		uint32_t offset =
		    i == 0 ? second : (first + i - 1) % group->count;
		const struct rt_candidate *candidate =
		    &index->candidates[group->first + offset];
		const struct rt_upstream_stats *stats =
		    &route->upstream_stats[candidate->handle.index];
		double score;

		if ((i > 0 && offset == second) ||
		    was_tried(query, candidate) ||
		    !has_free_slot(stats, candidate, now_us))
			continue;
		seen++;
		if (explore)
			return candidate;
		score = score_of(stats, candidate, now_us);
		if (best == NULL || score < best_score) {
			best = candidate;
			best_score = score;
		}
	}
	return best;
}

/* Repeats the choice if another thread acquires the last slot in between. */
static const struct rt_candidate *
choose(struct rt_router *route, const struct rt_index *index,
    const struct rt_group *group, const struct rt_pick_query *query,
    int64_t now_us)
{
	const struct rt_candidate *best;
	int tries;

	for (tries = 0; tries < CHOOSE_ATTEMPTS_MAX; tries++) {
		best = choose_once(route, index, group, query, now_us);
		if (best == NULL ||
		    acquire_slot(
			&route->upstream_stats[best->handle.index], best))
			return best;
	}
	return NULL;
}

/* A half-open upstream is tested by one idempotent request at a time. */
static const struct rt_candidate *
choose_probe(struct rt_router *route, const struct rt_index *index,
    const struct rt_group *group, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		const struct rt_candidate *candidate =
		    &index->candidates[group->first + i];
		struct rt_upstream_stats *stats =
		    &route->upstream_stats[candidate->handle.index];
		uint32_t one = 1;

		if (atomic_load_explicit(
			&stats->probe_permits, memory_order_relaxed) == 0 ||
		    !has_free_slot(stats, candidate, now_us) ||
		    !atomic_compare_exchange_strong(
			&stats->probe_permits, &one, 0))
			continue;
		if (acquire_slot(stats, candidate))
			return candidate;
	}
	return NULL;
}

static bool
reserve_cross_region(struct rt_router *route, const struct rt_index *index,
    uint64_t bytes, int64_t now_us)
{
	int64_t wait_us;

	if (index->cross_region_bytes_per_s > 0 &&
	    rt_bucket_take(&route->cross_region_bucket, now_us,
		(double)index->cross_region_bytes_per_s, (double)bytes,
		CROSS_REGION_BURST_US, &wait_us))
		return true;
	rt_counter_add(route, RT_COUNT_CROSS_REGION_REFUSED, 1);
	return false;
}

static void
fill_pick(const struct rt_router *route, struct rt_pick *pick,
    const struct rt_candidate *candidate, uint64_t service)
{
	pick->latency_us = atomic_load_explicit(
	    &route->upstream_stats[candidate->handle.index].latency_us,
	    memory_order_relaxed);
	pick->upstream_handle = candidate->handle;
	pick->upstream_id = candidate->id;
	pick->service = service;
	pick->in_flight_max = candidate->in_flight_max;
	pick->locality = candidate->locality;
	pick->probe = false;
	pick->bytes_reserved = 0;
	memcpy(pick->address, candidate->address, sizeof(pick->address));
}

/*
 * Acquires a slot on an upstream: in the local zone, else in the local region,
 * else in another region within the byte budget. Takes no lock and allocates no
 * memory. Returns RT_ENOUPSTREAM if the service has no available upstream,
 * RT_EBUSY if none has a free slot.
 */
int
rt_pick_take(struct rt_router *route, const struct rt_pick_query *query,
    int64_t now_us, struct rt_pick *pick)
{
	const struct rt_admission *admission = query->admission;
	const struct rt_candidate *found = NULL;
	const struct rt_service *service;
	const struct rt_index *index;
	int code = RT_ENOUPSTREAM;
	uint32_t k;

	bd_read_begin();
	index = rcu_dereference(route->index);
	if (index != NULL)
		CW_TSAN_ACQUIRE(index);
	service = rt_service_find(index, admission->service);
	if (service != NULL && service->probes.count > 0) {
		code = RT_EBUSY;
		if (admission->idempotent && query->tried_count == 0)
			found = choose_probe(
			    route, index, &service->probes, now_us);
		if (found != NULL) {
			fill_pick(route, pick, found, admission->service);
			pick->probe = true;
		}
	}
	for (k = 0; service != NULL && found == NULL && k < RT_LOCALITY_COUNT;
	     k++) {
		const struct rt_group *group = &service->groups[k];
		bool crosses_region = k == RT_OTHER_REGION;

		if (group->count == 0)
			continue;
		code = RT_EBUSY;
		if (crosses_region &&
		    !reserve_cross_region(
			route, index, admission->bytes_estimate, now_us))
			continue;
		found = choose(route, index, group, query, now_us);
		if (found != NULL)
			fill_pick(route, pick, found, admission->service);
		if (found != NULL && crosses_region)
			pick->bytes_reserved = admission->bytes_estimate;
		else if (crosses_region)
			rt_bucket_charge(&route->cross_region_bucket,
			    (double)index->cross_region_bytes_per_s,
			    -(double)admission->bytes_estimate);
	}
	bd_read_end();
	return found != NULL ? CW_OK : code;
}

/* Exponential moving average with weight 1/8. Concurrent updates may lose a
 * value. */
static void
update_average(atomic_uint *average, int64_t value_us)
{
	uint32_t old = atomic_load_explicit(average, memory_order_relaxed);
	int64_t value = value_us < 1 ? 1 : value_us;

	if (value > UINT32_MAX / 2)
		value = UINT32_MAX / 2;
	if (old != 0)
		value = old + (value - (int64_t)old) / 8;
	if (value < 1)
		value = 1;
	if (value != (int64_t)old)
		atomic_store_explicit(
		    average, (uint32_t)value, memory_order_relaxed);
}

/* Status 429 and silent reused connections are no failures of the upstream. */
static bool
is_upstream_failure(const struct rt_upstream_stats *stats,
    const struct rt_outcome *outcome, int64_t elapsed_us)
{
	switch (outcome->kind) {
	case RT_OUTCOME_ERROR:
	case RT_OUTCOME_NOT_STARTED:
	case RT_OUTCOME_LOST:
	case RT_OUTCOME_TRUNCATED:
		return !outcome->leaving;
	case RT_OUTCOME_TIMEOUT:
		return elapsed_us >= (int64_t)TIMEOUT_LATENCY_FACTOR *
		    atomic_load_explicit(
			&stats->latency_us, memory_order_relaxed);
	default:
		return false;
	}
}

static void
apply_signals(struct rt_router *route, struct rt_upstream_stats *stats,
    const struct rt_outcome *outcome)
{
	int64_t deprioritize_ms = outcome->retry_after_ms;

	if (outcome->leaving) {
		if (atomic_load(&stats->leaving_until_us) <= outcome->ended_us)
			rt_counter_add(route, RT_COUNT_LEAVING_SIGNALS, 1);
		atomic_store(&stats->leaving_until_us,
		    outcome->ended_us + LEAVING_EXCLUSION_US);
	}
	if (outcome->kind != RT_OUTCOME_PUSHBACK)
		return;
	if (deprioritize_ms < 0)
		deprioritize_ms = PUSHBACK_DEFAULT_MS;
	if (deprioritize_ms > PUSHBACK_MAX_MS)
		deprioritize_ms = PUSHBACK_MAX_MS;
	atomic_store_explicit(&stats->deprioritized_until_us,
	    outcome->ended_us + deprioritize_ms * 1000, memory_order_relaxed);
}

/* Releases the slot and updates the statistics with the outcome of an attempt.
 * Must be called exactly once for each pick. */
void
rt_attempt_done(struct rt_router *route, const struct rt_pick *pick,
    const struct rt_outcome *outcome)
{
	struct rt_upstream_stats *stats =
	    &route->upstream_stats[pick->upstream_handle.index];
	struct rt_queue *queue = rt_queue_get(route, pick->service);
	int64_t elapsed_us = outcome->ended_us - outcome->started_us;
	uint64_t bytes = outcome->bytes_out + outcome->bytes_in;
	bool same_row =
	    atomic_load_explicit(&stats->generation, memory_order_relaxed) ==
	    pick->upstream_handle.generation + 1;

	if (same_row) {
		apply_signals(route, stats, outcome);
		if (outcome->kind == RT_OUTCOME_OK) {
			atomic_store_explicit(&stats->consecutive_failures, 0,
			    memory_order_relaxed);
			atomic_fetch_add_explicit(
			    &stats->ok, 1, memory_order_relaxed);
			update_average(&stats->latency_us, elapsed_us);
			update_average(&queue->latency_us, elapsed_us);
		} else if (is_upstream_failure(stats, outcome, elapsed_us)) {
			atomic_fetch_add_explicit(&stats->consecutive_failures,
			    1, memory_order_relaxed);
			atomic_fetch_add_explicit(
			    &stats->failed, 1, memory_order_relaxed);
			atomic_store_explicit(&stats->deprioritized_until_us,
			    outcome->ended_us + FAILURE_DEPRIORITIZE_MS * 1000,
			    memory_order_relaxed);
		}
	}
	rt_outcome_counter_add(route, outcome->kind);
	if (pick->locality == RT_OTHER_REGION) {
		const struct rt_index *index;

		rt_counter_add(route, RT_COUNT_CROSS_REGION_REQUEST_BYTES,
		    outcome->bytes_out);
		rt_counter_add(route, RT_COUNT_CROSS_REGION_ANSWER_BYTES,
		    outcome->bytes_in);
		bd_read_begin();
		index = rcu_dereference(route->index);
		if (index != NULL)
			CW_TSAN_ACQUIRE(index);
		if (index != NULL && index->cross_region_bytes_per_s > 0)
			rt_bucket_charge(&route->cross_region_bucket,
			    (double)index->cross_region_bytes_per_s,
			    (double)bytes - (double)pick->bytes_reserved);
		bd_read_end();
	}
	atomic_fetch_sub(&stats->in_flight, 1);
	if (atomic_load(&queue->waiting) > 0)
		rt_queue_dispatch(route, queue, outcome->ended_us);
}

/* Acquires a slot for a further attempt, preferably on an upstream that was not
 * tried before. Returns RT_EBUSY or RT_ENOUPSTREAM. */
int
rt_repick(struct rt_router *route, const struct rt_pick_query *query,
    int64_t now_us, struct rt_pick *pick)
{
	struct rt_pick_query again = *query;
	int code = rt_pick_take(route, query, now_us, pick);

	if (code == CW_OK || query->tried_count == 0)
		return code;
	again.tried_count = 0;
	return rt_pick_take(route, &again, now_us, pick);
}
