#include <assert.h>
#include <string.h>

#include "route_internal.h"

/* A new runner counts with this latency until it has answered. */
#define LATENCY_UNKNOWN_US 1000
/* Share of its weight that a runner keeps for a while after a 429 or a
 * failure. */
#define AVOIDED_PART 0.25
#define FAILURE_AVOID_MS 500
/* One of so many choices takes the first runner seen, however slow it was: a
 * latency that is never measured again would keep it out for good. */
#define EXPLORE_ONE_IN 64
#define PUSHBACK_DEFAULT_MS 1000
#define PUSHBACK_MAX_MS 10000
/* Time without new work after an answer that says the runner is leaving. The
 * VM list, which lags by up to 30 s, names it by then. */
#define LEAVING_HOLD_US (60 * 1000000LL)
#define CROSS_BURST_US 1000000LL
/* A timeout tells about the runner only if it had this many times its usual
 * latency, so that callers with short deadlines do not eject runners. */
#define TIMEOUT_LATENCIES 4
#define CHOOSE_TRIES 3
#define QUEUE_SAMPLE_ONE_IN 8

static bool was_tried(
    const struct rt_pick_query *query, const struct rt_candidate *candidate);
static bool is_free(const struct rt_gauge *gauge,
    const struct rt_candidate *candidate, int64_t now_us);
static double score_of(const struct rt_gauge *gauge,
    const struct rt_candidate *candidate, int64_t now_us);
static bool take_place(
    struct rt_gauge *gauge, const struct rt_candidate *candidate);
static const struct rt_candidate *choose_once(const struct rt_route *route,
    const struct rt_index *index, const struct rt_group *group,
    const struct rt_pick_query *query, int64_t now_us);
static const struct rt_candidate *choose(struct rt_route *route,
    const struct rt_index *index, const struct rt_group *group,
    const struct rt_pick_query *query, int64_t now_us);
static const struct rt_candidate *choose_probe(struct rt_route *route,
    const struct rt_index *index, const struct rt_group *group, int64_t now_us);
static bool pay_crossing(struct rt_route *route, const struct rt_index *index,
    uint64_t bytes, int64_t now_us);
static void fill(const struct rt_route *route, struct rt_pick *pick,
    const struct rt_candidate *candidate, uint64_t service);
static void average(atomic_uint *gauge, int64_t value_us);
static bool is_failure(const struct rt_gauge *gauge,
    const struct rt_outcome *outcome, int64_t elapsed_us);
static void note_signals(struct rt_route *route, struct rt_gauge *gauge,
    const struct rt_outcome *outcome);

/* Makes a gauge count for a new row. Requests of the old row still leave, so
 * in_flight stays; what other VMs reported was of the old row. */
void
rt_gauge_init(struct rt_route *route, uint32_t index, uint32_t generation)
{
	struct rt_gauge *gauge = &route->gauges[index];
	uint32_t i;

	pthread_mutex_lock(&route->fleet_lock);
	for (i = 0; i < RT_PEERS; i++)
		if (route->peers[i] != NULL)
			route->peers[i]->load[index] = 0;
	atomic_store(&gauge->peer_load, 0);
	pthread_mutex_unlock(&route->fleet_lock);
	atomic_store(&gauge->latency_us, 0);
	atomic_store(&gauge->failures_in_row, 0);
	atomic_store(&gauge->leaving_until_us, 0);
	atomic_store(&gauge->avoid_until_us, 0);
	atomic_store(&gauge->weight, RT_WEIGHT_FULL);
	atomic_store(&gauge->probe_permits, 0);
	atomic_store(&gauge->generation, generation);
}

static bool
was_tried(
    const struct rt_pick_query *query, const struct rt_candidate *candidate)
{
	uint32_t i;

	for (i = 0; i < query->tried_count; i++)
		if (query->tried[i].index == candidate->runner.index)
			return true;
	return false;
}

/* Other VMs' requests count against the runner's slots; reports of them lag,
 * so the runner itself has the last word (429). */
static bool
is_free(const struct rt_gauge *gauge, const struct rt_candidate *candidate,
    int64_t now_us)
{
	uint32_t own =
	    atomic_load_explicit(&gauge->in_flight, memory_order_relaxed);
	uint32_t others =
	    atomic_load_explicit(&gauge->peer_load, memory_order_relaxed);

	return own < candidate->cap && own + others < candidate->slots &&
	    atomic_load_explicit(
		&gauge->leaving_until_us, memory_order_relaxed) <= now_us;
}

/* The lower the better: load of the slots times latency, raised for runners in
 * slow start, after a 429 and after a failure. */
static double
score_of(const struct rt_gauge *gauge, const struct rt_candidate *candidate,
    int64_t now_us)
{
	uint32_t load =
	    atomic_load_explicit(&gauge->in_flight, memory_order_relaxed) +
	    atomic_load_explicit(&gauge->peer_load, memory_order_relaxed);
	uint32_t latency_us =
	    atomic_load_explicit(&gauge->latency_us, memory_order_relaxed);
	double weight =
	    atomic_load_explicit(&gauge->weight, memory_order_relaxed);

	if (atomic_load_explicit(&gauge->avoid_until_us, memory_order_relaxed) >
	    now_us)
		weight *= AVOIDED_PART;
	if (latency_us == 0)
		latency_us = LATENCY_UNKNOWN_US;
	return (load + 1) * (double)latency_us / (candidate->slots * weight);
}

/* The count is raised first and taken back where the runner was full: two
 * threads never share the last place. */
static bool
take_place(struct rt_gauge *gauge, const struct rt_candidate *candidate)
{
	uint32_t before = atomic_fetch_add(&gauge->in_flight, 1);

	if (before < candidate->cap &&
	    before +
		    atomic_load_explicit(
			&gauge->peer_load, memory_order_relaxed) <
		candidate->slots)
		return true;
	atomic_fetch_sub(&gauge->in_flight, 1);
	return false;
}

/* Power of two choices among the runners with a free place; where both of the
 * random ones are full, the next free one from a random place on. */
static const struct rt_candidate *
choose_once(const struct rt_route *route, const struct rt_index *index,
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
		uint32_t place =
		    i == 0 ? second : (first + i - 1) % group->count;
		const struct rt_candidate *candidate =
		    &index->candidates[group->first + place];
		const struct rt_gauge *gauge =
		    &route->gauges[candidate->runner.index];
		double score;

		if ((i > 0 && place == second) || was_tried(query, candidate) ||
		    !is_free(gauge, candidate, now_us))
			continue;
		seen++;
		if (explore)
			return candidate;
		score = score_of(gauge, candidate, now_us);
		if (best == NULL || score < best_score) {
			best = candidate;
			best_score = score;
		}
	}
	return best;
}

/* Another thread may take the last place between the choice and the taking. */
static const struct rt_candidate *
choose(struct rt_route *route, const struct rt_index *index,
    const struct rt_group *group, const struct rt_pick_query *query,
    int64_t now_us)
{
	const struct rt_candidate *best;
	int tries;

	for (tries = 0; tries < CHOOSE_TRIES; tries++) {
		best = choose_once(route, index, group, query, now_us);
		if (best == NULL ||
		    take_place(&route->gauges[best->runner.index], best))
			return best;
	}
	return NULL;
}

/* An ejected runner is tested by one idempotent request at a time. */
static const struct rt_candidate *
choose_probe(struct rt_route *route, const struct rt_index *index,
    const struct rt_group *group, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		const struct rt_candidate *candidate =
		    &index->candidates[group->first + i];
		struct rt_gauge *gauge =
		    &route->gauges[candidate->runner.index];
		uint32_t one = 1;

		if (atomic_load_explicit(
			&gauge->probe_permits, memory_order_relaxed) == 0 ||
		    !is_free(gauge, candidate, now_us) ||
		    !atomic_compare_exchange_strong(
			&gauge->probe_permits, &one, 0))
			continue;
		if (take_place(gauge, candidate))
			return candidate;
	}
	return NULL;
}

static bool
pay_crossing(struct rt_route *route, const struct rt_index *index,
    uint64_t bytes, int64_t now_us)
{
	int64_t wait_us;

	if (index->cross_bytes_per_s > 0 &&
	    rt_bucket_take(&route->cross, now_us,
		(double)index->cross_bytes_per_s, (double)bytes, CROSS_BURST_US,
		&wait_us))
		return true;
	rt_count(route, RT_COUNT_CROSS_REFUSED, 1);
	return false;
}

static void
fill(const struct rt_route *route, struct rt_pick *pick,
    const struct rt_candidate *candidate, uint64_t service)
{
	pick->latency_us = atomic_load_explicit(
	    &route->gauges[candidate->runner.index].latency_us,
	    memory_order_relaxed);
	pick->runner = candidate->runner;
	pick->runner_id = candidate->id;
	pick->service = service;
	pick->cap = candidate->cap;
	pick->distance = candidate->distance;
	pick->probe = false;
	pick->bytes_reserved = 0;
	memcpy(pick->address, candidate->address, sizeof(pick->address));
}

/*
 * Takes a place on a runner: in the own zone, else in the own region, else in
 * another region within the byte budget. Takes no lock and allocates nothing.
 * Returns RT_ENORUNNER where the service has no runner in service, RT_EBUSY
 * where none has a place free.
 */
int
rt_pick_take(struct rt_route *route, const struct rt_pick_query *query,
    int64_t now_us, struct rt_pick *pick)
{
	const struct rt_admission *admission = query->admission;
	const struct rt_candidate *found = NULL;
	const struct rt_service *service;
	const struct rt_index *index;
	int code = RT_ENORUNNER;
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
			fill(route, pick, found, admission->service);
			pick->probe = true;
		}
	}
	for (k = 0; service != NULL && found == NULL && k < RT_DISTANCE_COUNT;
	     k++) {
		const struct rt_group *group = &service->groups[k];
		bool pays = k == RT_OTHER_REGION;

		if (group->count == 0)
			continue;
		code = RT_EBUSY;
		if (pays &&
		    !pay_crossing(
			route, index, admission->bytes_estimate, now_us))
			continue;
		found = choose(route, index, group, query, now_us);
		if (found != NULL)
			fill(route, pick, found, admission->service);
		if (found != NULL && pays)
			pick->bytes_reserved = admission->bytes_estimate;
		else if (pays)
			rt_bucket_charge(&route->cross,
			    (double)index->cross_bytes_per_s,
			    -(double)admission->bytes_estimate);
	}
	bd_read_end();
	return found != NULL ? CW_OK : code;
}

/* Moving average with weight 1/8. Concurrent updates may lose one value. */
static void
average(atomic_uint *gauge, int64_t value_us)
{
	uint32_t old = atomic_load_explicit(gauge, memory_order_relaxed);
	int64_t value = value_us < 1 ? 1 : value_us;

	if (value > UINT32_MAX / 2)
		value = UINT32_MAX / 2;
	if (old != 0)
		value = old + (value - (int64_t)old) / 8;
	if (value < 1)
		value = 1;
	if (value != (int64_t)old)
		atomic_store_explicit(
		    gauge, (uint32_t)value, memory_order_relaxed);
}

/* 429 and silent kept connections say nothing against the runner. */
static bool
is_failure(const struct rt_gauge *gauge, const struct rt_outcome *outcome,
    int64_t elapsed_us)
{
	switch (outcome->kind) {
	case RT_OUTCOME_ERROR:
	case RT_OUTCOME_NOT_STARTED:
	case RT_OUTCOME_LOST:
	case RT_OUTCOME_TRUNCATED:
		return !outcome->leaving;
	case RT_OUTCOME_TIMEOUT:
		return elapsed_us >= (int64_t)TIMEOUT_LATENCIES *
		    atomic_load_explicit(
			&gauge->latency_us, memory_order_relaxed);
	default:
		return false;
	}
}

static void
note_signals(struct rt_route *route, struct rt_gauge *gauge,
    const struct rt_outcome *outcome)
{
	int64_t hold_ms = outcome->retry_after_ms;

	if (outcome->leaving) {
		if (atomic_load(&gauge->leaving_until_us) <= outcome->ended_us)
			rt_count(route, RT_COUNT_LEAVING_SIGNALS, 1);
		atomic_store(&gauge->leaving_until_us,
		    outcome->ended_us + LEAVING_HOLD_US);
	}
	if (outcome->kind != RT_OUTCOME_PUSHBACK)
		return;
	if (hold_ms < 0)
		hold_ms = PUSHBACK_DEFAULT_MS;
	if (hold_ms > PUSHBACK_MAX_MS)
		hold_ms = PUSHBACK_MAX_MS;
	atomic_store_explicit(&gauge->avoid_until_us,
	    outcome->ended_us + hold_ms * 1000, memory_order_relaxed);
}

/* Gives the place back and learns from the outcome of an attempt. Every pick
 * ends with exactly one call. */
void
rt_attempt_done(struct rt_route *route, const struct rt_pick *pick,
    const struct rt_outcome *outcome)
{
	struct rt_gauge *gauge = &route->gauges[pick->runner.index];
	struct rt_queue *queue = rt_queue_get(route, pick->service);
	int64_t elapsed_us = outcome->ended_us - outcome->started_us;
	uint64_t bytes = outcome->bytes_out + outcome->bytes_in;
	bool same_row =
	    atomic_load_explicit(&gauge->generation, memory_order_relaxed) ==
	    pick->runner.generation + 1;

	if (same_row) {
		note_signals(route, gauge, outcome);
		if (outcome->kind == RT_OUTCOME_OK) {
			atomic_store_explicit(
			    &gauge->failures_in_row, 0, memory_order_relaxed);
			atomic_fetch_add_explicit(
			    &gauge->ok, 1, memory_order_relaxed);
			average(&gauge->latency_us, elapsed_us);
			average(&queue->latency_us, elapsed_us);
		} else if (is_failure(gauge, outcome, elapsed_us)) {
			atomic_fetch_add_explicit(
			    &gauge->failures_in_row, 1, memory_order_relaxed);
			atomic_fetch_add_explicit(
			    &gauge->failed, 1, memory_order_relaxed);
			atomic_store_explicit(&gauge->avoid_until_us,
			    outcome->ended_us + FAILURE_AVOID_MS * 1000,
			    memory_order_relaxed);
		}
	}
	rt_outcome_count(route, outcome->kind);
	if (pick->distance == RT_OTHER_REGION) {
		const struct rt_index *index;

		rt_count(
		    route, RT_COUNT_CROSS_REQUEST_BYTES, outcome->bytes_out);
		rt_count(route, RT_COUNT_CROSS_ANSWER_BYTES, outcome->bytes_in);
		bd_read_begin();
		index = rcu_dereference(route->index);
		if (index != NULL)
			CW_TSAN_ACQUIRE(index);
		if (index != NULL && index->cross_bytes_per_s > 0)
			rt_bucket_charge(&route->cross,
			    (double)index->cross_bytes_per_s,
			    (double)bytes - (double)pick->bytes_reserved);
		bd_read_end();
	}
	atomic_fetch_sub(&gauge->in_flight, 1);
	if (atomic_load(&queue->waiting) > 0)
		rt_queue_dispatch(route, queue, outcome->ended_us);
}

/* Takes a place for a further attempt, on a runner not tried before if one has
 * a place free. Returns RT_EBUSY or RT_ENORUNNER. */
int
rt_repick(struct rt_route *route, const struct rt_pick_query *query,
    int64_t now_us, struct rt_pick *pick)
{
	struct rt_pick_query again = *query;
	int code = rt_pick_take(route, query, now_us, pick);

	if (code == CW_OK || query->tried_count == 0)
		return code;
	again.tried_count = 0;
	return rt_pick_take(route, &again, now_us, pick);
}
