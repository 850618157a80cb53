#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "route_internal.h"

#define STEP_INTERVAL_MS 250
/* A step later than this means that the process was paused. The outcomes
 * that it then sees, such as timeouts and lost connections, were caused by the
 * pause and are discarded. */
#define PROCESS_PAUSE_MIN_MS 1000
/* Half-life of the window: about 5 s. */
#define WINDOW_DECAY_PER_STEP 0.966
#define WINDOW_REQUESTS_MIN 10
#define FAILED_RATIO_MIN 0.5
#define CONSECUTIVE_FAILURES_MIN 5
#define EJECTED_MAX_MILLI 300 /* of a service's upstreams */
#define EJECTION_BASE_MS 5000
#define EJECTION_MAX_MS 60000
#define PROBE_SUCCESSES_MIN 3
#define SLOW_START_MS 10000
#define SLOW_START_WEIGHT 100 /* initial, of RT_WEIGHT_FULL */
/* Time in state up after which an upstream's ejection time starts at the base
 * again. */
#define EJECTION_RESET_MS (5 * 60 * 1000)

/* Number of upstreams of one service during a step. */
struct service_tally {
	uint64_t service;
	uint32_t upstreams;
	uint32_t unavailable; /* ejected or half-open */
};

static bool is_unavailable(const struct rt_health_tracker *tracker);
static struct service_tally *find_tally(
    struct service_tally *tallies, uint32_t *count, uint64_t service);
static void update_window(struct rt_health_tracker *tracker,
    struct rt_upstream_stats *stats, bool paused);
static bool is_failing(const struct rt_health_tracker *tracker,
    const struct rt_upstream_stats *stats);
static void enter_state(struct rt_health_tracker *tracker,
    struct rt_upstream_stats *stats, uint32_t state, int64_t now_ms);
static void eject(struct rt_router *route, struct rt_health_tracker *tracker,
    struct rt_upstream_stats *stats, int64_t now_ms);
static void update_state(struct rt_router *route,
    struct rt_health_tracker *tracker, struct rt_upstream_stats *stats,
    struct service_tally *tally, int64_t now_ms);
static void write_row(struct rt_router *route,
    const struct rt_health_tracker *tracker, uint64_t upstream);

static bool
is_unavailable(const struct rt_health_tracker *tracker)
{
	return tracker->state == BD_HEALTH_EJECTED ||
	    tracker->state == BD_HEALTH_PROBING;
}

/* Returns the tally of a service, which is added at first use; the first one
 * if the array is full. */
static struct service_tally *
find_tally(struct service_tally *tallies, uint32_t *count, uint64_t service)
{
	uint32_t i;

	for (i = 0; i < *count; i++)
		if (tallies[i].service == service)
			return &tallies[i];
	if (*count == RT_SERVICES_MAX)
		return &tallies[0];
	tallies[i].service = service;
	(*count)++;
	return &tallies[i];
}

/* Adds the outcomes since the last step to the decaying window; discards the
 * window after a pause of the process. */
static void
update_window(struct rt_health_tracker *tracker,
    struct rt_upstream_stats *stats, bool paused)
{
	uint32_t ok = atomic_load(&stats->ok);
	uint32_t failed = atomic_load(&stats->failed);

	tracker->ok =
	    tracker->ok * WINDOW_DECAY_PER_STEP + (ok - tracker->last_ok);
	tracker->failed = tracker->failed * WINDOW_DECAY_PER_STEP +
	    (failed - tracker->last_failed);
	tracker->last_ok = ok;
	tracker->last_failed = failed;
	if (paused) {
		tracker->ok = tracker->failed = 0;
		atomic_store(&stats->consecutive_failures, 0);
	}
}

static bool
is_failing(const struct rt_health_tracker *tracker,
    const struct rt_upstream_stats *stats)
{
	double total = tracker->ok + tracker->failed;

	return atomic_load(&((struct rt_upstream_stats *)stats)
				->consecutive_failures) >=
	    CONSECUTIVE_FAILURES_MIN ||
	    (total >= WINDOW_REQUESTS_MIN &&
		tracker->failed / total >= FAILED_RATIO_MIN);
}

static void
enter_state(struct rt_health_tracker *tracker, struct rt_upstream_stats *stats,
    uint32_t state, int64_t now_ms)
{
	tracker->state = state;
	tracker->since_ms = now_ms;
	tracker->until_ms = 0;
	tracker->ok = tracker->failed = 0;
	atomic_store(&stats->consecutive_failures, 0);
	atomic_store(&stats->probe_permits, state == BD_HEALTH_PROBING);
	atomic_store(&stats->weight,
	    state == BD_HEALTH_SLOW_START ? SLOW_START_WEIGHT : RT_WEIGHT_FULL);
}

static void
eject(struct rt_router *route, struct rt_health_tracker *tracker,
    struct rt_upstream_stats *stats, int64_t now_ms)
{
	uint32_t doublings = tracker->ejections < 4 ? tracker->ejections : 4;
	int64_t ejection_ms = (int64_t)EJECTION_BASE_MS << doublings;

	enter_state(tracker, stats, BD_HEALTH_EJECTED, now_ms);
	tracker->until_ms = now_ms +
	    (ejection_ms > EJECTION_MAX_MS ? EJECTION_MAX_MS : ejection_ms);
	tracker->ejections++;
	rt_counter_add(route, RT_COUNT_EJECTIONS, 1);
}

/* Advances the state of one upstream. No upstream that is up or in slow start
 * is ejected if EJECTED_MAX_MILLI of its service's upstreams (1 of 2 or 3) are
 * ejected or half-open already: their traffic could overload the rest. The only
 * upstream of a service is not ejected. */
static void
update_state(struct rt_router *route, struct rt_health_tracker *tracker,
    struct rt_upstream_stats *stats, struct service_tally *tally,
    int64_t now_ms)
{
	bool leaving = atomic_load(&stats->leaving_until_us) > now_ms * 1000;
	uint32_t ejected_max = tally->upstreams * EJECTED_MAX_MILLI / 1000;

	if (ejected_max == 0 && tally->upstreams > 1)
		ejected_max = 1;
	if (leaving && tracker->state != BD_HEALTH_LEAVING)
		enter_state(tracker, stats, BD_HEALTH_LEAVING, now_ms);
	switch (tracker->state) {
	case BD_HEALTH_LEAVING:
		if (!leaving)
			enter_state(tracker, stats, BD_HEALTH_PROBING, now_ms);
		break;
	case BD_HEALTH_EJECTED:
		if (now_ms >= tracker->until_ms)
			enter_state(tracker, stats, BD_HEALTH_PROBING, now_ms);
		break;
	case BD_HEALTH_PROBING:
		if (atomic_load(&stats->consecutive_failures) > 0)
			eject(route, tracker, stats, now_ms);
		else if (tracker->ok >=
		    PROBE_SUCCESSES_MIN * WINDOW_DECAY_PER_STEP)
			enter_state(
			    tracker, stats, BD_HEALTH_SLOW_START, now_ms);
		else if (atomic_load(&stats->in_flight) == 0)
			atomic_store(&stats->probe_permits, 1);
		break;
	default:
		if (is_failing(tracker, stats) &&
		    tally->unavailable < ejected_max) {
			tally->unavailable++;
			eject(route, tracker, stats, now_ms);
		} else if (tracker->state == BD_HEALTH_SLOW_START) {
			int64_t age_ms = now_ms - tracker->since_ms;

			if (age_ms >= SLOW_START_MS)
				enter_state(
				    tracker, stats, BD_HEALTH_UP, now_ms);
			else
				atomic_store(&stats->weight,
				    SLOW_START_WEIGHT +
					(uint32_t)(age_ms *
					    (RT_WEIGHT_FULL -
						SLOW_START_WEIGHT) /
					    SLOW_START_MS));
		} else if (now_ms - tracker->since_ms >= EJECTION_RESET_MS)
			tracker->ejections = 0;
		break;
	}
}

/* Updates the row of an upstream in table health. Upstreams that are up have
 * none. */
static void
write_row(struct rt_router *route, const struct rt_health_tracker *tracker,
    uint64_t upstream)
{
	const struct bd_health *old = bd_health_lookup(route->board, upstream);
	struct bd_health row = {0};

	if (tracker->state == BD_HEALTH_UP) {
		if (old != NULL)
			bd_remove(route->board, BD_TABLE_health,
			    BD_WRITER_HEALTH, upstream);
		return;
	}
	row.id = upstream;
	row.state = tracker->state;
	row.ejections = tracker->ejections;
	row.until_ms = tracker->until_ms;
	row.since_ms = tracker->since_ms;
	if (old == NULL || memcmp(old, &row, sizeof(row)) != 0)
		bd_put(route->board, BD_TABLE_health, BD_WRITER_HEALTH,
		    upstream, &row, sizeof(row), NULL);
}

/* Runs outlier detection: decides which upstreams are ejected, probed, in slow
 * start or leaving, and updates table health. Returns the time of the next call
 * (ms). */
int64_t
rt_health_step(struct rt_router *route, int64_t now_ms)
{
	struct service_tally *tallies;
	const struct bd_runner *upstream;
	const struct bd_health *health;
	struct bd_handle handle;
	uint32_t tally_count = 0;
	uint32_t cursor;
	bool paused;

	if (route->health_step_ms >= 0 &&
	    now_ms - route->health_step_ms < STEP_INTERVAL_MS)
		return route->health_step_ms + STEP_INTERVAL_MS;
	paused = route->health_step_ms >= 0 &&
	    now_ms - route->health_step_ms >
		STEP_INTERVAL_MS + PROCESS_PAUSE_MIN_MS;
	route->health_step_ms = now_ms;
	tallies = calloc(RT_SERVICES_MAX, sizeof(*tallies));
	if (tallies == NULL)
		return now_ms + STEP_INTERVAL_MS;
	bd_read_begin();
	for (cursor = 0; (upstream = bd_next(route->board, BD_TABLE_runner,
			      &cursor, &handle)) != NULL;) {
		struct rt_health_tracker *tracker =
		    &route->trackers[handle.index];
		struct service_tally *tally =
		    find_tally(tallies, &tally_count, upstream->service);

		if (tracker->generation != handle.generation + 1) {
			memset(tracker, 0, sizeof(*tracker));
			tracker->generation = handle.generation + 1;
			tracker->last_ok = atomic_load(
			    &route->upstream_stats[handle.index].ok);
			tracker->last_failed = atomic_load(
			    &route->upstream_stats[handle.index].failed);
		}
		update_window(
		    tracker, &route->upstream_stats[handle.index], paused);
		tally->upstreams++;
		tally->unavailable += is_unavailable(tracker);
	}
	for (cursor = 0; (upstream = bd_next(route->board, BD_TABLE_runner,
			      &cursor, &handle)) != NULL;) {
		struct rt_health_tracker *tracker =
		    &route->trackers[handle.index];

		if (tracker->generation != handle.generation + 1)
			continue;
		update_state(route, tracker,
		    &route->upstream_stats[handle.index],
		    find_tally(tallies, &tally_count, upstream->service),
		    now_ms);
		write_row(route, tracker, upstream->id);
	}
	for (cursor = 0;
	     (health = bd_health_next(route->board, &cursor)) != NULL;)
		if (bd_runner_lookup(route->board, health->id) == NULL)
			bd_remove(route->board, BD_TABLE_health,
			    BD_WRITER_HEALTH, health->id);
	bd_read_end();
	free(tallies);
	return now_ms + STEP_INTERVAL_MS;
}
