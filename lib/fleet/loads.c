#include <assert.h>
#include <string.h>

#include "fleet.h"

/* No runner has this load: the entry was never sent. */
#define FL_LOAD_UNSENT UINT32_MAX

static void take_load(void *ctx, uint64_t runner, uint32_t in_flight);
static uint32_t change_of(const struct fl_load_sent *entry);
static void add_load(
    struct fl_heartbeat *heartbeat, struct fl_load_sent *entry);

/* The runners come in the same order as a rule, which makes the search one
 * comparison. */
static void
take_load(void *ctx, uint64_t runner, uint32_t in_flight)
{
	struct fl_loads *loads = ctx;
	struct fl_load_sent found = {runner, FL_LOAD_UNSENT, 0};
	uint32_t at = loads->taken;
	uint32_t i;

	if (at == FL_LOADS_MAX)
		return;
	for (i = at; i < loads->count && loads->runners[i].runner != runner;
	     i++)
		;
	if (i < loads->count)
		found = loads->runners[i];
	else if (loads->count < FL_LOADS_MAX)
		loads->count++;
	else
		i = loads->count - 1;
	if (i != at)
		loads->runners[i] = loads->runners[at];
	found.present = in_flight;
	loads->runners[at] = found;
	loads->taken++;
}

/* Reads the present loads of this VM's runners; those that are not told any
 * more are forgotten. */
void
fl_loads_take(struct fl_loads *loads, const struct fl_route_hooks *route)
{
	if (route->loads == NULL)
		return;
	loads->taken = 0;
	route->loads(route->ctx, take_load, loads);
	loads->count = loads->taken;
}

static void
add_load(struct fl_heartbeat *heartbeat, struct fl_load_sent *entry)
{
	struct fl_load *load = &heartbeat->loads[heartbeat->load_count++];

	load->runner = fl_short(entry->runner);
	load->in_flight = entry->present;
	entry->sent = entry->present;
}

static uint32_t
change_of(const struct fl_load_sent *entry)
{
	return entry->present > entry->sent ? entry->present - entry->sent
					    : entry->sent - entry->present;
}

/*
 * Adds the loads that differ most from what was sent last, at most
 * FL_LOADS_PER_HEARTBEAT, so that the bytes per second stay bounded however
 * fast loads change. One of them is the next in turn, changed or not, as
 * messages get lost; of equal changes the next in turn go first.
 */
void
fl_loads_fill(struct fl_loads *loads, struct fl_heartbeat *heartbeat)
{
	struct fl_load_sent *best[FL_LOADS_PER_HEARTBEAT];
	uint32_t count = 0;
	uint32_t i;
	uint32_t j;

	heartbeat->load_count = 0;
	if (loads->count == 0)
		return;
	loads->refresh = (loads->refresh + 1) % loads->count;
	add_load(heartbeat, &loads->runners[loads->refresh]);
	for (i = 0; i < loads->count; i++) {
		struct fl_load_sent *entry =
		    &loads->runners[(loads->refresh + i) % loads->count];
		uint32_t change = change_of(entry);

		if (change == 0 ||
		    (count == FL_LOADS_PER_HEARTBEAT - 1 &&
			change <= change_of(best[count - 1])))
			continue;
		if (count < FL_LOADS_PER_HEARTBEAT - 1)
			count++;
		for (j = count - 1; j > 0 && change > change_of(best[j - 1]);
		     j--)
			best[j] = best[j - 1];
		best[j] = entry;
	}
	for (i = 0; i < count; i++)
		add_load(heartbeat, best[i]);
}

/* Sends every load again, for a member that knows none yet. */
void
fl_loads_resend(struct fl_loads *loads)
{
	uint32_t i;

	for (i = 0; i < loads->count; i++)
		loads->runners[i].sent = FL_LOAD_UNSENT;
}
