#include "route_internal.h"

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
