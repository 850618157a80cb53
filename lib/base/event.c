#include <assert.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>

#include "base.h"

#define EV_LINE_BYTES 1024

struct event_info {
	enum ev_level level;
	const char *text;
};

static const struct event_info event_table[EV_NUMBER_LIMIT] = {
#define EV(number, name, level, text) [number] = {level, text},
#include "ev_list.h"
#undef EV
};

static atomic_uint_least64_t event_counts[EV_NUMBER_LIMIT];
static _Atomic(const struct ev_sink *) event_sink;

/* Sets the sink, which must outlive every event that is emitted later. With
 * NULL, events are counted and their lines discarded. */
void
ev_sink_set(const struct ev_sink *sink)
{
	atomic_store(&event_sink, sink);
}

/* Returns the present sink, so that a new sink can forward to it. */
const struct ev_sink *
ev_sink_get(void)
{
	return atomic_load(&event_sink);
}

/* Counts one event and logs it with its key=value fields, which are truncated
 * to EV_LINE_BYTES. */
void
ev_emit(enum ev_number number, const char *format, ...)
{
	const struct event_info *info;
	const struct ev_sink *sink;
	char fields[EV_LINE_BYTES];
	char line[EV_LINE_BYTES + 128];
	va_list args;

	assert(number > 0 && number < EV_NUMBER_LIMIT);
	info = &event_table[number];
	assert(info->text != NULL);
	atomic_fetch_add_explicit(
	    &event_counts[number], 1, memory_order_relaxed);
	sink = atomic_load(&event_sink);
	if (sink == NULL)
		return;
	va_start(args, format);
	vsnprintf(fields, sizeof(fields), format, args);
	va_end(args);
	snprintf(line, sizeof(line), "event=%d text=\"%s\" %s", (int)number,
	    info->text, fields);
	sink->write(sink->ctx, number, info->level, line);
}

/* Returns the number of times an event was emitted since process start. */
uint64_t
ev_count(enum ev_number number)
{
	assert(number > 0 && number < EV_NUMBER_LIMIT);
	return atomic_load_explicit(
	    &event_counts[number], memory_order_relaxed);
}

/* Returns the fixed text of an event, NULL for an unknown number. */
const char *
ev_text(enum ev_number number)
{
	if (number <= 0 || number >= EV_NUMBER_LIMIT)
		return NULL;
	return event_table[number].text;
}
