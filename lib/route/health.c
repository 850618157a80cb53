#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "route_internal.h"

#define STEP_INTERVAL_MS 250
/* A step this late means that the process was paused: what it then sees of
 * timeouts and lost connections is its own fault. */
#define PAUSE_MS 1000
/* Counts halve in about 5 s. */
#define DECAY_PER_STEP 0.966
#define REQUESTS_MIN 10
#define FAILED_PART_MIN 0.5
#define FAILURES_IN_ROW 5
#define EJECTED_PART_MAX_MILLI 300
#define EJECT_FIRST_MS 5000
#define EJECT_MAX_MS 60000
#define PROBES_NEEDED 3
#define SLOW_START_MS 10000
#define SLOW_START_WEIGHT 100
#define FORGET_MS (5 * 60 * 1000)

/* Runners of one service in a step. */
struct tally {
	uint64_t service;
	uint32_t runners;
	uint32_t out; /* ejected or under test */
};

static bool is_out(const struct rt_watch *watch);
static struct tally *tally_of(
    struct tally *tallies, uint32_t *count, uint64_t service);
static void read_gauge(
    struct rt_watch *watch, struct rt_gauge *gauge, bool paused);
static bool is_bad(const struct rt_watch *watch, const struct rt_gauge *gauge);
static void enter_state(struct rt_watch *watch, struct rt_gauge *gauge,
    uint32_t state, int64_t now_ms);
static void eject(struct rt_route *route, struct rt_watch *watch,
    struct rt_gauge *gauge, int64_t now_ms);
static void decide(struct rt_route *route, struct rt_watch *watch,
    struct rt_gauge *gauge, struct tally *tally, int64_t now_ms);
static void write_row(
    struct rt_route *route, const struct rt_watch *watch, uint64_t runner);

static bool
is_out(const struct rt_watch *watch)
{
	return watch->state == BD_HEALTH_EJECTED ||
	    watch->state == BD_HEALTH_PROBING;
}

static struct tally *
tally_of(struct tally *tallies, uint32_t *count, uint64_t service)
{
	uint32_t i;

	for (i = 0; i < *count; i++)
		if (tallies[i].service == service)
			return &tallies[i];
	if (*count == RT_SERVICES)
		return &tallies[0];
	tallies[i].service = service;
	(*count)++;
	return &tallies[i];
}

/* Adds what happened since the last step to the decaying window. */
static void
read_gauge(struct rt_watch *watch, struct rt_gauge *gauge, bool paused)
{
	uint32_t ok = atomic_load(&gauge->ok);
	uint32_t failed = atomic_load(&gauge->failed);

	watch->ok = watch->ok * DECAY_PER_STEP + (ok - watch->seen_ok);
	watch->failed =
	    watch->failed * DECAY_PER_STEP + (failed - watch->seen_failed);
	watch->seen_ok = ok;
	watch->seen_failed = failed;
	if (paused) {
		watch->ok = watch->failed = 0;
		atomic_store(&gauge->failures_in_row, 0);
	}
}

static bool
is_bad(const struct rt_watch *watch, const struct rt_gauge *gauge)
{
	double all = watch->ok + watch->failed;

	return atomic_load(&((struct rt_gauge *)gauge)->failures_in_row) >=
	    FAILURES_IN_ROW ||
	    (all >= REQUESTS_MIN && watch->failed / all >= FAILED_PART_MIN);
}

static void
enter_state(struct rt_watch *watch, struct rt_gauge *gauge, uint32_t state,
    int64_t now_ms)
{
	watch->state = state;
	watch->since_ms = now_ms;
	watch->until_ms = 0;
	watch->ok = watch->failed = 0;
	atomic_store(&gauge->failures_in_row, 0);
	atomic_store(&gauge->probe_permits, state == BD_HEALTH_PROBING);
	atomic_store(&gauge->weight,
	    state == BD_HEALTH_SLOW_START ? SLOW_START_WEIGHT : RT_WEIGHT_FULL);
}

static void
eject(struct rt_route *route, struct rt_watch *watch, struct rt_gauge *gauge,
    int64_t now_ms)
{
	uint32_t doublings = watch->ejections < 4 ? watch->ejections : 4;
	int64_t hold_ms = (int64_t)EJECT_FIRST_MS << doublings;

	enter_state(watch, gauge, BD_HEALTH_EJECTED, now_ms);
	watch->until_ms =
	    now_ms + (hold_ms > EJECT_MAX_MS ? EJECT_MAX_MS : hold_ms);
	watch->ejections++;
	rt_count(route, RT_COUNT_EJECTIONS, 1);
}

/* One step of one runner's state. An ejection that would pass the cap of the
 * service does not happen: a part of the runners that fails must not take
 * down the rest by overload. */
static void
decide(struct rt_route *route, struct rt_watch *watch, struct rt_gauge *gauge,
    struct tally *tally, int64_t now_ms)
{
	bool leaving = atomic_load(&gauge->leaving_until_us) > now_ms * 1000;
	uint32_t cap = tally->runners * EJECTED_PART_MAX_MILLI / 1000;

	if (cap == 0 && tally->runners > 1)
		cap = 1;
	if (leaving && watch->state != BD_HEALTH_LEAVING)
		enter_state(watch, gauge, BD_HEALTH_LEAVING, now_ms);
	switch (watch->state) {
	case BD_HEALTH_LEAVING:
		if (!leaving)
			enter_state(watch, gauge, BD_HEALTH_PROBING, now_ms);
		break;
	case BD_HEALTH_EJECTED:
		if (now_ms >= watch->until_ms)
			enter_state(watch, gauge, BD_HEALTH_PROBING, now_ms);
		break;
	case BD_HEALTH_PROBING:
		if (atomic_load(&gauge->failures_in_row) > 0)
			eject(route, watch, gauge, now_ms);
		else if (watch->ok >= PROBES_NEEDED * DECAY_PER_STEP)
			enter_state(watch, gauge, BD_HEALTH_SLOW_START, now_ms);
		else if (atomic_load(&gauge->in_flight) == 0)
			atomic_store(&gauge->probe_permits, 1);
		break;
	default:
		if (is_bad(watch, gauge) && tally->out < cap) {
			tally->out++;
			eject(route, watch, gauge, now_ms);
		} else if (watch->state == BD_HEALTH_SLOW_START) {
			int64_t age_ms = now_ms - watch->since_ms;

			if (age_ms >= SLOW_START_MS)
				enter_state(watch, gauge, BD_HEALTH_UP, now_ms);
			else
				atomic_store(&gauge->weight,
				    SLOW_START_WEIGHT +
					(uint32_t)(age_ms *
					    (RT_WEIGHT_FULL -
						SLOW_START_WEIGHT) /
					    SLOW_START_MS));
		} else if (now_ms - watch->since_ms >= FORGET_MS)
			watch->ejections = 0;
		break;
	}
}

/* Runners that are up have no row. */
static void
write_row(struct rt_route *route, const struct rt_watch *watch, uint64_t runner)
{
	const struct bd_health *old = bd_health_lookup(route->board, runner);
	struct bd_health row = {0};

	if (watch->state == BD_HEALTH_UP) {
		if (old != NULL)
			bd_remove(route->board, BD_TABLE_health,
			    BD_WRITER_HEALTH, runner);
		return;
	}
	row.id = runner;
	row.state = watch->state;
	row.ejections = watch->ejections;
	row.until_ms = watch->until_ms;
	row.since_ms = watch->since_ms;
	if (old == NULL || memcmp(old, &row, sizeof(row)) != 0)
		bd_put(route->board, BD_TABLE_health, BD_WRITER_HEALTH, runner,
		    &row, sizeof(row), NULL);
}

/* Decides which runners are ejected, under test, in slow start or leaving, and
 * writes the table health. Returns when to run again (ms). */
int64_t
rt_health_step(struct rt_route *route, int64_t now_ms)
{
	struct tally *tallies;
	const struct bd_runner *runner;
	const struct bd_health *health;
	struct bd_handle handle;
	uint32_t tally_count = 0;
	uint32_t cursor;
	bool paused;

	if (route->health_step_ms >= 0 &&
	    now_ms - route->health_step_ms < STEP_INTERVAL_MS)
		return route->health_step_ms + STEP_INTERVAL_MS;
	paused = route->health_step_ms >= 0 &&
	    now_ms - route->health_step_ms > STEP_INTERVAL_MS + PAUSE_MS;
	route->health_step_ms = now_ms;
	tallies = calloc(RT_SERVICES, sizeof(*tallies));
	if (tallies == NULL)
		return now_ms + STEP_INTERVAL_MS;
	bd_read_begin();
	for (cursor = 0; (runner = bd_next(route->board, BD_TABLE_runner,
			      &cursor, &handle)) != NULL;) {
		struct rt_watch *watch = &route->watches[handle.index];
		struct tally *tally =
		    tally_of(tallies, &tally_count, runner->service);

		if (watch->generation != handle.generation + 1) {
			memset(watch, 0, sizeof(*watch));
			watch->generation = handle.generation + 1;
			watch->seen_ok =
			    atomic_load(&route->gauges[handle.index].ok);
			watch->seen_failed =
			    atomic_load(&route->gauges[handle.index].failed);
		}
		read_gauge(watch, &route->gauges[handle.index], paused);
		tally->runners++;
		tally->out += is_out(watch);
	}
	for (cursor = 0; (runner = bd_next(route->board, BD_TABLE_runner,
			      &cursor, &handle)) != NULL;) {
		struct rt_watch *watch = &route->watches[handle.index];

		if (watch->generation != handle.generation + 1)
			continue;
		decide(route, watch, &route->gauges[handle.index],
		    tally_of(tallies, &tally_count, runner->service), now_ms);
		write_row(route, watch, runner->id);
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
