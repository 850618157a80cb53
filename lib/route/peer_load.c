#include <assert.h>
#include <stdlib.h>

#include "route_internal.h"

#define PEER_LOAD_MAX 1000 /* on one upstream */

static struct rt_peer_loads *find_peer(
    struct rt_router *route, uint64_t peer, bool create);
static void set_load(struct rt_router *route, struct rt_peer_loads *loads,
    uint32_t index, uint16_t value);

/* Returns the loads of a VM; creates them if create is set. Returns NULL if
 * there are none, or no room or memory for them. */
static struct rt_peer_loads *
find_peer(struct rt_router *route, uint64_t peer, bool create)
{
	struct rt_peer_loads **free_slot = NULL;
	uint32_t i;

	for (i = 0; i < RT_PEERS_MAX; i++) {
		if (route->peers[i] != NULL && route->peers[i]->peer == peer)
			return route->peers[i];
		if (route->peers[i] == NULL && free_slot == NULL)
			free_slot = &route->peers[i];
	}
	if (!create || free_slot == NULL)
		return NULL;
	*free_slot = calloc(1, sizeof(**free_slot));
	if (*free_slot != NULL)
		(*free_slot)->peer = peer;
	return *free_slot;
}

static void
set_load(struct rt_router *route, struct rt_peer_loads *loads, uint32_t index,
    uint16_t value)
{
	uint32_t delta = (uint32_t)value - loads->load[index];

	loads->load[index] = value;
	/* Relies on unsigned wrap-around where the load decreases. */
	atomic_fetch_add(&route->upstream_stats[index].peer_in_flight, delta);
}

/* Sets the number of requests that another VM has in flight on each of the
 * upstreams given; unknown upstreams are ignored. */
void
rt_peer_load_set(struct rt_router *route, uint64_t peer,
    const struct rt_upstream_load *loads, size_t count)
{
	struct rt_peer_loads *peer_loads;
	struct bd_handle handle;
	size_t i;

	pthread_mutex_lock(&route->peer_lock);
	peer_loads = find_peer(route, peer, true);
	bd_read_begin();
	for (i = 0; peer_loads != NULL && i < count; i++) {
		uint32_t load = loads[i].in_flight > PEER_LOAD_MAX
		    ? PEER_LOAD_MAX
		    : loads[i].in_flight;

		if (bd_lookup(route->board, BD_TABLE_runner,
			loads[i].upstream_id, &handle) != NULL)
			set_load(
			    route, peer_loads, handle.index, (uint16_t)load);
	}
	bd_read_end();
	pthread_mutex_unlock(&route->peer_lock);
}

/* Removes the loads of a VM that is dead or has left. */
void
rt_peer_load_remove(struct rt_router *route, uint64_t peer)
{
	struct rt_peer_loads *peer_loads;
	uint32_t i;

	pthread_mutex_lock(&route->peer_lock);
	peer_loads = find_peer(route, peer, false);
	for (i = 0; peer_loads != NULL && i < RT_UPSTREAMS_MAX; i++)
		if (peer_loads->load[i] != 0)
			set_load(route, peer_loads, i, 0);
	for (i = 0; peer_loads != NULL && i < RT_PEERS_MAX; i++)
		if (route->peers[i] == peer_loads)
			route->peers[i] = NULL;
	free(peer_loads);
	pthread_mutex_unlock(&route->peer_lock);
}

/* Calls a function for each upstream with the number of requests that this VM
 * has in flight on it. */
void
rt_load_each(struct rt_router *route,
    void (*callback)(void *ctx, uint64_t upstream, uint32_t in_flight),
    void *ctx)
{
	const struct bd_runner *row;
	struct bd_handle handle;
	uint32_t cursor = 0;

	bd_read_begin();
	while ((row = bd_next(
		    route->board, BD_TABLE_runner, &cursor, &handle)) != NULL)
		callback(ctx, row->id,
		    atomic_load(
			&route->upstream_stats[handle.index].in_flight));
	bd_read_end();
}
