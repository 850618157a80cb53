#include <assert.h>
#include <stdlib.h>

#include "route_internal.h"

static struct rt_peer_loads *peer_of(
    struct rt_route *route, uint64_t peer, bool make);
static void set_load(struct rt_route *route, struct rt_peer_loads *loads,
    uint32_t index, uint16_t value);

static struct rt_peer_loads *
peer_of(struct rt_route *route, uint64_t peer, bool make)
{
	struct rt_peer_loads **place = NULL;
	uint32_t i;

	for (i = 0; i < RT_PEERS; i++) {
		if (route->peers[i] != NULL && route->peers[i]->peer == peer)
			return route->peers[i];
		if (route->peers[i] == NULL && place == NULL)
			place = &route->peers[i];
	}
	if (!make || place == NULL)
		return NULL;
	*place = calloc(1, sizeof(**place));
	if (*place != NULL)
		(*place)->peer = peer;
	return *place;
}

static void
set_load(struct rt_route *route, struct rt_peer_loads *loads, uint32_t index,
    uint16_t value)
{
	uint32_t change = (uint32_t)value - loads->load[index];

	loads->load[index] = value;
	/* Wraps, so that a falling load subtracts. */
	atomic_fetch_add(&route->gauges[index].peer_load, change);
}

/* Sets the requests in flight that another VM has on runners. */
void
rt_load_set(struct rt_route *route, uint64_t peer, const struct rt_load *loads,
    size_t count)
{
	struct rt_peer_loads *own;
	struct bd_handle handle;
	size_t i;

	pthread_mutex_lock(&route->fleet_lock);
	own = peer_of(route, peer, true);
	bd_read_begin();
	for (i = 0; own != NULL && i < count; i++) {
		uint32_t load =
		    loads[i].in_flight > 1000 ? 1000 : loads[i].in_flight;

		if (bd_lookup(route->board, BD_TABLE_runner, loads[i].runner,
			&handle) != NULL)
			set_load(route, own, handle.index, (uint16_t)load);
	}
	bd_read_end();
	pthread_mutex_unlock(&route->fleet_lock);
}

/* Forgets the loads of a VM that is dead or has left. */
void
rt_load_forget(struct rt_route *route, uint64_t peer)
{
	struct rt_peer_loads *own;
	uint32_t i;

	pthread_mutex_lock(&route->fleet_lock);
	own = peer_of(route, peer, false);
	for (i = 0; own != NULL && i < RT_RUNNERS; i++)
		if (own->load[i] != 0)
			set_load(route, own, i, 0);
	for (i = 0; own != NULL && i < RT_PEERS; i++)
		if (route->peers[i] == own)
			route->peers[i] = NULL;
	free(own);
	pthread_mutex_unlock(&route->fleet_lock);
}

/* Calls a function for every runner with the requests that this VM has in
 * flight on it. */
void
rt_load_each(struct rt_route *route,
    void (*each)(void *ctx, uint64_t runner, uint32_t in_flight), void *ctx)
{
	const struct bd_runner *row;
	struct bd_handle handle;
	uint32_t cursor = 0;

	bd_read_begin();
	while ((row = bd_next(
		    route->board, BD_TABLE_runner, &cursor, &handle)) != NULL)
		each(ctx, row->id,
		    atomic_load(&route->gauges[handle.index].in_flight));
	bd_read_end();
}
