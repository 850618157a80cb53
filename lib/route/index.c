#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "route_internal.h"

/* The controller is called at each change of the published state. A scan of the
 * largest tables costs 0.1 ms, so 20 scans a second stay below 1% of a core. A
 * leaving upstream must get no new requests after 3 s. */
#define SCAN_INTERVAL_MS 50

/* Sorted ids for binary search. */
struct id_set {
	size_t count;
	uint64_t *ids;
};

/* Copy of an upstream's row and its eligibility. */
struct upstream_view {
	struct bd_runner row;
	struct bd_handle handle;
	bool usable;
	bool probe; /* half-open */
};

/* Copies of all upstreams, as the tables may change while an index is built. */
struct upstream_scan {
	struct id_set leaving; /* hashed addresses of VMs */
	uint32_t count;
	struct upstream_view *upstreams;
};

static int compare_ids(const void *a, const void *b);
static bool id_set_contains(const struct id_set *set, uint64_t id);
static int collect_leaving_vms(
    const struct bd_board *board, struct id_set *set);
static void inspect_upstream(struct rt_router *route,
    const struct upstream_scan *scan, int64_t now_ms,
    struct upstream_view *view);
static int scan_upstreams(
    struct rt_router *route, int64_t now_ms, struct upstream_scan *scan);
static uint64_t hash_mix(uint64_t hash, uint64_t value);
static uint64_t fingerprint_of(
    const struct rt_router *route, const struct upstream_scan *scan);
static void build_index(const struct rt_router *route,
    const struct upstream_scan *scan, struct rt_index *index);
static void add_service(struct rt_index *index, uint64_t id);
static void assign_groups(struct rt_index *index);
static void add_candidate(struct rt_index *index, struct rt_group *group,
    const struct upstream_view *view, uint32_t entry_vms);
static enum rt_locality locality_of(
    const struct rt_router *route, const struct bd_runner *row);
static struct rt_group *group_of(const struct rt_router *route,
    struct rt_index *index, const struct upstream_view *view);
static uint32_t entry_vms_of(const struct bd_config *config);
static void free_index(struct rcu_head *head);

static int
compare_ids(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

static bool
id_set_contains(const struct id_set *set, uint64_t id)
{
	return set->count > 0 &&
	    bsearch(&id, set->ids, set->count, sizeof(id), compare_ids) != NULL;
}

/* Collects the hashed addresses of upstream VMs that are not live. Returns
 * RT_ENOMEM. */
static int
collect_leaving_vms(const struct bd_board *board, struct id_set *set)
{
	struct bd_rows rows;
	uint32_t i;

	set->count = 0;
	if (bd_rows_collect(board, BD_TABLE_vm, &rows) != CW_OK)
		return RT_ENOMEM;
	set->ids = malloc((rows.count + 1) * sizeof(*set->ids));
	if (set->ids == NULL) {
		bd_rows_free(&rows);
		return RT_ENOMEM;
	}
	for (i = 0; i < rows.count; i++) {
		const struct bd_vm *vm = rows.items[i].row;

		if (vm->kind == BD_VM_UPSTREAM && vm->state != BD_VM_LIVE)
			set->ids[set->count++] = cw_id_from_name(vm->address);
	}
	bd_rows_free(&rows);
	qsort(set->ids, set->count, sizeof(*set->ids), compare_ids);
	return CW_OK;
}

/* Decides whether an upstream may get requests, from the configuration, the VM
 * list and its health. */
static void
inspect_upstream(struct rt_router *route, const struct upstream_scan *scan,
    int64_t now_ms, struct upstream_view *view)
{
	struct rt_upstream_stats *stats =
	    &route->upstream_stats[view->handle.index];
	const struct bd_health *health =
	    bd_health_lookup(route->board, view->row.id);
	uint32_t state = health == NULL ? BD_HEALTH_UP : health->state;

	if (atomic_load(&stats->generation) != view->handle.generation + 1)
		rt_upstream_stats_reset(
		    route, view->handle.index, view->handle.generation + 1);
	view->probe = state == BD_HEALTH_PROBING;
	view->usable = view->row.leaving == 0 && state != BD_HEALTH_EJECTED &&
	    state != BD_HEALTH_LEAVING &&
	    atomic_load(&stats->leaving_until_us) <= now_ms * 1000 &&
	    !id_set_contains(
		&scan->leaving, cw_id_from_name(view->row.address));
}

static int
scan_upstreams(
    struct rt_router *route, int64_t now_ms, struct upstream_scan *scan)
{
	struct bd_rows rows;

	memset(scan, 0, sizeof(*scan));
	if (collect_leaving_vms(route->board, &scan->leaving) != CW_OK)
		return RT_ENOMEM;
	if (bd_rows_collect(route->board, BD_TABLE_runner, &rows) != CW_OK)
		return RT_ENOMEM;
	scan->upstreams = malloc((rows.count + 1) * sizeof(*scan->upstreams));
	if (scan->upstreams == NULL) {
		bd_rows_free(&rows);
		return RT_ENOMEM;
	}
	for (; scan->count < rows.count; scan->count++) {
		struct upstream_view *view = &scan->upstreams[scan->count];

		view->row =
		    *(const struct bd_runner *)rows.items[scan->count].row;
		view->handle = rows.items[scan->count].handle;
		inspect_upstream(route, scan, now_ms, view);
	}
	bd_rows_free(&rows);
	return CW_OK;
}

static uint64_t
hash_mix(uint64_t hash, uint64_t value)
{
	return (hash ^ value) * 0x9e3779b97f4a7c15ULL + (hash >> 29);
}

/* Hashes all inputs of an index, so that it is rebuilt only after a change. */
static uint64_t
fingerprint_of(const struct rt_router *route, const struct upstream_scan *scan)
{
	const struct bd_config *config =
	    bd_config_lookup(route->board, BD_CONFIG_ID);
	const struct bd_service *service;
	uint64_t hash = 1;
	uint32_t cursor = 0;
	uint32_t i;

	if (config != NULL)
		hash = hash_mix(hash_mix(hash, config->entry_vms),
		    config->cross_region_bytes_per_s);
	while ((service = bd_service_next(route->board, &cursor)) != NULL)
		hash = hash_mix(hash, service->id);
	for (i = 0; i < scan->count; i++) {
		const struct upstream_view *view = &scan->upstreams[i];

		hash = hash_mix(hash, view->row.id);
		hash = hash_mix(hash, view->row.service);
		hash = hash_mix(hash,
		    (uint64_t)view->handle.index << 32 |
			view->handle.generation);
		hash = hash_mix(hash, view->row.zone ^ view->row.region);
		hash = hash_mix(hash,
		    (uint64_t)view->row.slots << 32 | view->row.connections);
		hash =
		    hash_mix(hash, (uint64_t)view->usable << 1 | view->probe);
	}
	return hash;
}

static void
add_service(struct rt_index *index, uint64_t id)
{
	uint32_t slot = (uint32_t)(id % RT_SERVICES_MAX);

	while (index->service_table[slot] != 0)
		slot = (slot + 1) % RT_SERVICES_MAX;
	index->services[index->service_count].id = id;
	index->service_table[slot] = ++index->service_count;
}

/* Returns a service's candidates, or NULL for an unknown service. */
const struct rt_service *
rt_service_find(const struct rt_index *index, uint64_t service)
{
	uint32_t slot = (uint32_t)(service % RT_SERVICES_MAX);

	for (; index != NULL && index->service_table[slot] != 0;
	     slot = (slot + 1) % RT_SERVICES_MAX) {
		const struct rt_service *found =
		    &index->services[index->service_table[slot] - 1];

		if (found->id == service)
			return found;
	}
	return NULL;
}

static uint32_t
entry_vms_of(const struct bd_config *config)
{
	return config != NULL && config->entry_vms > 0 ? config->entry_vms : 1;
}

static enum rt_locality
locality_of(const struct rt_router *route, const struct bd_runner *row)
{
	if (row->zone == route->settings.zone)
		return RT_SAME_ZONE;
	if (row->region == route->settings.region)
		return RT_SAME_REGION;
	return RT_OTHER_REGION;
}

/* Returns the group that an upstream belongs to, NULL if it gets no
 * requests. */
static struct rt_group *
group_of(const struct rt_router *route, struct rt_index *index,
    const struct upstream_view *view)
{
	struct rt_service *service =
	    (struct rt_service *)rt_service_find(index, view->row.service);

	if (service == NULL || !view->usable)
		return NULL;
	if (view->probe)
		return &service->probes;
	return &service->groups[locality_of(route, &view->row)];
}

/* Assigns each group its range of the candidate array and resets its count. */
static void
assign_groups(struct rt_index *index)
{
	uint32_t used = 0;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < index->service_count; i++) {
		struct rt_service *service = &index->services[i];

		for (k = 0; k <= RT_LOCALITY_COUNT; k++) {
			struct rt_group *group = k == RT_LOCALITY_COUNT
			    ? &service->probes
			    : &service->groups[k];

			group->first = used;
			used += group->count;
			group->count = 0;
		}
	}
	index->candidate_count = used;
}

static void
add_candidate(struct rt_index *index, struct rt_group *group,
    const struct upstream_view *view, uint32_t entry_vms)
{
	struct rt_candidate *candidate =
	    &index->candidates[group->first + group->count++];
	uint32_t share = view->row.connections / entry_vms;

	candidate->handle = view->handle;
	candidate->id = view->row.id;
	candidate->slots = view->row.slots > 0 ? view->row.slots : 1;
	if (share == 0)
		share = 1;
	candidate->in_flight_max =
	    candidate->slots < share ? candidate->slots : share;
	memcpy(
	    candidate->address, view->row.address, sizeof(candidate->address));
}

/* Fills an index in two passes: sizes of the groups, then the candidates. */
static void
build_index(const struct rt_router *route, const struct upstream_scan *scan,
    struct rt_index *index)
{
	const struct bd_config *config =
	    bd_config_lookup(route->board, BD_CONFIG_ID);
	uint32_t entry_vms = entry_vms_of(config);
	const struct bd_service *row;
	struct rt_group *group;
	uint32_t cursor = 0;
	uint32_t i;

	if (config != NULL)
		index->cross_region_bytes_per_s =
		    config->cross_region_bytes_per_s / entry_vms;
	while ((row = bd_service_next(route->board, &cursor)) != NULL &&
	    index->service_count < bd_table_capacity(BD_TABLE_service))
		add_service(index, row->id);
	for (i = 0; i < scan->count; i++)
		if ((group = group_of(route, index, &scan->upstreams[i])) !=
		    NULL)
			group->count++;
	assign_groups(index);
	for (i = 0; i < scan->count; i++) {
		const struct upstream_view *view = &scan->upstreams[i];
		struct rt_service *service;

		if ((group = group_of(route, index, view)) == NULL)
			continue;
		add_candidate(index, group, view, entry_vms);
		index->candidates[group->first + group->count - 1].locality =
		    locality_of(route, &view->row);
		service = (struct rt_service *)rt_service_find(
		    index, view->row.service);
		service->slots += view->row.slots > 0 ? view->row.slots : 1;
	}
}

static void
free_index(struct rcu_head *head)
{
	bd_grace_period_ended();
	free(caa_container_of(head, struct rt_index, rcu));
}

/*
 * Rebuilds and publishes the index if its inputs have changed. Returns the time
 * of the next call (ms); a change of the published state triggers one earlier.
 */
int64_t
rt_index_step(struct rt_router *route, int64_t now_ms)
{
	struct rt_index *old = route->index;
	struct rt_index *index = NULL;
	struct upstream_scan scan;
	uint64_t fingerprint;

	if (now_ms - route->index_scan_ms < SCAN_INTERVAL_MS)
		return route->index_scan_ms + SCAN_INTERVAL_MS;
	route->index_scan_ms = now_ms;
	bd_read_begin();
	if (scan_upstreams(route, now_ms, &scan) == CW_OK) {
		fingerprint = fingerprint_of(route, &scan);
		if (old == NULL || old->fingerprint != fingerprint)
			index = calloc(1,
			    sizeof(*index) +
				bd_table_capacity(BD_TABLE_service) *
				    sizeof(struct rt_service) +
				scan.count * sizeof(struct rt_candidate));
	}
	if (index != NULL) {
		index->fingerprint = fingerprint;
		index->services = (struct rt_service *)(index + 1);
		index->candidates = (struct rt_candidate *)(index->services +
		    bd_table_capacity(BD_TABLE_service));
		build_index(route, &scan, index);
		CW_TSAN_RELEASE(index);
		rcu_set_pointer(&route->index, index);
		if (old != NULL)
			urcu_bp_call_rcu(&old->rcu, free_index);
	}
	bd_read_end();
	free(scan.upstreams);
	free(scan.leaving.ids);
	rt_queue_dispatch_all(route, now_ms * 1000);
	/* An upstream that announces its shutdown in an answer changes its
	 * statistics only, so the index is also checked periodically. */
	return now_ms + 4 * SCAN_INTERVAL_MS;
}
