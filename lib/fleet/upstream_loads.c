#include <assert.h>
#include <string.h>

#include "fleet.h"

/* Not a valid load: marks an entry that has not been sent yet. */
#define FL_LOAD_UNSENT UINT32_MAX

static void update_load(void *ctx, uint64_t upstream, uint32_t in_flight);
static uint32_t load_change(const struct fl_load_sent *entry);
static void add_load(
    struct fl_heartbeat *heartbeat, struct fl_load_sent *entry);

/* Stores the load of the next upstream in turn at index loads->visited; the
 * entry there moves to this upstream's previous index. The upstreams usually
 * come in the same order, so that the search ends at its first comparison.
 * Upstreams beyond FL_LOADS_MAX are ignored. */
static void
update_load(void *ctx, uint64_t upstream, uint32_t in_flight)
{
	struct fl_loads *loads = ctx;
	struct fl_load_sent found = {upstream, FL_LOAD_UNSENT, 0};
	uint32_t index = loads->visited;
	uint32_t i;

	if (index == FL_LOADS_MAX)
		return;
	for (i = index;
	     i < loads->count && loads->upstreams[i].upstream != upstream; i++)
		;
	if (i < loads->count)
		found = loads->upstreams[i];
	else if (loads->count < FL_LOADS_MAX)
		loads->count++;
	else
		i = loads->count - 1;
	if (i != index)
		loads->upstreams[i] = loads->upstreams[index];
	found.current = in_flight;
	loads->upstreams[index] = found;
	loads->visited++;
}

/* Reads the current loads of this VM's upstreams; upstreams that are no longer
 * reported are removed. */
void
fl_loads_read(struct fl_loads *loads, const struct fl_route_hooks *route)
{
	if (route->each_load == NULL)
		return;
	loads->visited = 0;
	route->each_load(route->ctx, update_load, loads);
	loads->count = loads->visited;
}

/* Adds a load to a heartbeat and marks it as sent. */
static void
add_load(struct fl_heartbeat *heartbeat, struct fl_load_sent *entry)
{
	struct fl_load *load = &heartbeat->loads[heartbeat->load_count++];

	load->upstream = fl_short_id(entry->upstream);
	load->in_flight = entry->current;
	entry->sent = entry->current;
}

/* Returns the difference between the current load and the one sent last. */
static uint32_t
load_change(const struct fl_load_sent *entry)
{
	return entry->current > entry->sent ? entry->current - entry->sent
					    : entry->sent - entry->current;
}

/*
 * Adds the loads that differ most from the values sent last, at most
 * FL_LOADS_PER_HEARTBEAT, so that the traffic stays bounded however fast loads
 * change. One of them is chosen round-robin, changed or not, because messages
 * get lost; ties are broken in the same round-robin order.
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
	add_load(heartbeat, &loads->upstreams[loads->refresh]);
	for (i = 0; i < loads->count; i++) {
		struct fl_load_sent *entry =
		    &loads->upstreams[(loads->refresh + i) % loads->count];
		uint32_t change = load_change(entry);

		if (change == 0 ||
		    (count == FL_LOADS_PER_HEARTBEAT - 1 &&
			change <= load_change(best[count - 1])))
			continue;
		if (count < FL_LOADS_PER_HEARTBEAT - 1)
			count++;
		for (j = count - 1; j > 0 && change > load_change(best[j - 1]);
		     j--)
			best[j] = best[j - 1];
		best[j] = entry;
	}
	for (i = 0; i < count; i++)
		add_load(heartbeat, best[i]);
}

/* Marks every load as not sent, since a new member knows none of them. */
void
fl_loads_resend(struct fl_loads *loads)
{
	uint32_t i;

	for (i = 0; i < loads->count; i++)
		loads->upstreams[i].sent = FL_LOAD_UNSENT;
}
