#include <assert.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "front_internal.h"

/* Rate limit of one event number: events written and suppressed in the current
 * window. */
struct rate_window {
	int64_t start_ms;
	uint32_t written;
	uint32_t suppressed;
};

struct fr_events {
	pthread_mutex_t lock;
	struct ev_sink sink; /* writes to this ring */
	const struct ev_sink *forward;
	struct ctl_clock wall;
	uint64_t sequence; /* of the latest event */
	uint64_t suppressed;
	struct rate_window rate_windows[EV_NUMBER_LIMIT];
	struct fr_event ring[FR_EVENT_RING_MAX];
};

static const struct {
	const char *name;
	enum ev_level level;
} event_names[EV_NUMBER_LIMIT] = {
#define EV(number, name, level, text) [number] = {#name, level},
#include "ev_list.h"
#undef EV
};

static void write_event(
    void *ctx, enum ev_number number, enum ev_level level, const char *line);
static void ring_append(struct fr_events *events, int64_t now_ms,
    enum ev_number number, enum ev_level level, const char *line);
static bool rate_window_roll(struct fr_events *events, uint32_t number,
    int64_t now_ms, char *line, size_t bytes);
static void forward_event(struct fr_events *events, enum ev_number number,
    enum ev_level level, const char *line);

/* Returns the symbolic name of an event, "" for an unknown number. */
const char *
fr_event_name(uint32_t number)
{
	if (number >= EV_NUMBER_LIMIT || event_names[number].name == NULL)
		return "";
	return event_names[number].name;
}

/* Returns the name of an enum ev_level. */
const char *
fr_event_level_name(uint32_t level)
{
	static const char *const names[] = {"error", "warn", "info", "debug"};

	return level <= EV_LEVEL_DEBUG ? names[level] : "unknown";
}

/* Must be called with the lock held. */
static void
ring_append(struct fr_events *events, int64_t now_ms, enum ev_number number,
    enum ev_level level, const char *line)
{
	struct fr_event *event =
	    &events->ring[events->sequence % FR_EVENT_RING_MAX];

	event->sequence = ++events->sequence;
	event->time_ms = now_ms;
	event->number = number;
	event->level = level;
	snprintf(event->line, sizeof(event->line), "%s", line);
}

/*
 * Starts a new window if the current one has ended or the clock was set back.
 * If events were suppressed in it, appends a line with their count to the ring,
 * stores the line in line and returns true. Must be called with the lock held.
 */
static bool
rate_window_roll(struct fr_events *events, uint32_t number, int64_t now_ms,
    char *line, size_t bytes)
{
	struct rate_window *rate_window = &events->rate_windows[number];
	uint32_t suppressed = rate_window->suppressed;

	if (now_ms >= rate_window->start_ms &&
	    now_ms < rate_window->start_ms + FR_EVENT_WINDOW_MS)
		return false;
	rate_window->start_ms = now_ms;
	rate_window->written = 0;
	rate_window->suppressed = 0;
	if (suppressed == 0)
		return false;
	snprintf(line, bytes,
	    "event=%d text=\"%s\" number=%u name=%s left_out=%u",
	    EV_FRONT_REPEATED, ev_text(EV_FRONT_REPEATED), number,
	    fr_event_name(number), suppressed);
	ring_append(events, now_ms, EV_FRONT_REPEATED, EV_LEVEL_WARN, line);
	return true;
}

static void
forward_event(struct fr_events *events, enum ev_number number,
    enum ev_level level, const char *line)
{
	if (events->forward != NULL)
		events->forward->write(
		    events->forward->ctx, number, level, line);
}

/* Implements the write function of the event sink. */
static void
write_event(
    void *ctx, enum ev_number number, enum ev_level level, const char *line)
{
	struct fr_events *events = ctx;
	int64_t now_ms = events->wall.now_ms(events->wall.ctx);
	char summary[FR_EVENT_LINE_BYTES];
	struct rate_window *rate_window = &events->rate_windows[number];
	bool is_written;
	bool has_summary;

	pthread_mutex_lock(&events->lock);
	has_summary = rate_window_roll(
	    events, (uint32_t)number, now_ms, summary, sizeof(summary));
	is_written = rate_window->written < FR_EVENT_BURST;
	if (is_written) {
		rate_window->written++;
		ring_append(events, now_ms, number, level, line);
	} else {
		rate_window->suppressed++;
		events->suppressed++;
	}
	pthread_mutex_unlock(&events->lock);
	if (has_summary)
		forward_event(
		    events, EV_FRONT_REPEATED, EV_LEVEL_WARN, summary);
	if (is_written)
		forward_event(events, number, level, line);
}

/* Creates an empty ring. Returns FR_ENOMEM. */
int
fr_events_create(struct fr_events **out, const struct ev_sink *forward,
    const struct ctl_clock *wall)
{
	struct fr_events *events = calloc(1, sizeof(*events));

	assert(out != NULL && wall != NULL);
	if (events == NULL)
		return cw_error_set(FR_ENOMEM, "no memory for the events");
	pthread_mutex_init(&events->lock, NULL);
	events->forward = forward;
	events->wall = *wall;
	events->sink.write = write_event;
	events->sink.ctx = events;
	*out = events;
	return CW_OK;
}

/* Frees the ring. It must no longer be in use as an event sink. */
void
fr_events_destroy(struct fr_events *events)
{
	pthread_mutex_destroy(&events->lock);
	free(events);
}

/* Returns the sink to pass to ev_sink_set. */
const struct ev_sink *
fr_events_sink(struct fr_events *events)
{
	return &events->sink;
}

/* Writes the counts of suppressed events of windows that have ended. Returns
 * the time of the next call (ms). */
int64_t
fr_events_step(void *ctx, int64_t now_ms)
{
	struct fr_events *events = ctx;
	char line[FR_EVENT_LINE_BYTES];
	int64_t wall = events->wall.now_ms(events->wall.ctx);
	uint32_t number;
	bool has_summary;

	for (number = 1; number < EV_NUMBER_LIMIT; number++) {
		pthread_mutex_lock(&events->lock);
		has_summary = events->rate_windows[number].suppressed > 0 &&
		    rate_window_roll(events, number, wall, line, sizeof(line));
		pthread_mutex_unlock(&events->lock);
		if (has_summary)
			forward_event(
			    events, EV_FRONT_REPEATED, EV_LEVEL_WARN, line);
	}
	return now_ms + FR_EVENT_WINDOW_MS;
}

/*
 * Copies up to count_max events that follow the sequence number after, oldest
 * first, and returns their number. Stores in *lost how many of the events after
 * it have been overwritten, and in *next the value of after for the next call.
 * An after beyond the latest event counts as 0.
 */
size_t
fr_events_read(struct fr_events *events, uint64_t after, struct fr_event *out,
    size_t count_max, uint64_t *lost, uint64_t *next)
{
	uint64_t first;
	size_t count = 0;

	pthread_mutex_lock(&events->lock);
	first = events->sequence > FR_EVENT_RING_MAX
	    ? events->sequence - FR_EVENT_RING_MAX
	    : 0;
	if (after > events->sequence) /* from before a restart */
		after = 0;
	*lost = after < first ? first - after : 0;
	if (after < first)
		after = first;
	while (count < count_max && after < events->sequence)
		out[count++] = events->ring[after++ % FR_EVENT_RING_MAX];
	*next = after;
	pthread_mutex_unlock(&events->lock);
	return count;
}

/* Returns the number of events suppressed since the process started. */
uint64_t
fr_events_suppressed(struct fr_events *events)
{
	uint64_t suppressed;

	pthread_mutex_lock(&events->lock);
	suppressed = events->suppressed;
	pthread_mutex_unlock(&events->lock);
	return suppressed;
}
