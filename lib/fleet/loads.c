#include <assert.h>
#include <string.h>

#include "fleet.h"

/* No runner has this load: the entry was never sent. */
#define FL_LOAD_UNSENT UINT32_MAX

static void take_load(void *ctx, uint64_t runner, uint32_t in_flight);
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

/* Adds the loads that have changed since they were sent last, at most
 * FL_MSG_LOADS_MAX. */
void
fl_loads_fill(struct fl_loads *loads, struct fl_heartbeat *heartbeat)
{
	uint32_t i;

	heartbeat->load_count = 0;
	for (i = 0;
	     i < loads->count && heartbeat->load_count < FL_MSG_LOADS_MAX; i++)
		if (loads->runners[i].present != loads->runners[i].sent)
			add_load(heartbeat, &loads->runners[i]);
}

/* Sends every load again, for a member that knows none yet. */
void
fl_loads_resend(struct fl_loads *loads)
{
	uint32_t i;

	for (i = 0; i < loads->count; i++)
		loads->runners[i].sent = FL_LOAD_UNSENT;
}
