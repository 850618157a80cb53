#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"

/* Upper limit of the share of accelerators reserved for priority 0: the rest
 * has to serve the other jobs even in a burst of urgent ones. */
#define RESERVE_MAX_MILLI 400
/* If more than this share of a service is free, its urgent jobs fit elsewhere
 * and waiting jobs may use reserved workers. The platform counts a job as lost
 * that waits while half of its service is free. */
#define AMPLE_FREE_MILLI 450

static uint32_t index_of(const struct fw_view *view, enum bd_table_number table,
    const uint32_t *map, uint64_t id);
static uint32_t *index_map_new(enum bd_table_number table);
static int compare_hosts(const void *a, const void *b);
static int copy_hosts(struct fw_view *view, const struct bd_board *board);
static uint32_t add_service(struct fw_view *view, uint64_t pool);
static int add_hosts(struct fw_view *view, const struct bd_board *board);
static int add_jobs(struct fw_view *view, const struct bd_board *board);
static void note_prunable(struct fw_view *view, const struct bd_flow *row);
static void subtract_placed(struct fw_view *view, uint32_t job);
static void sum_service(struct fw_view *view, uint32_t service);

/* Returns the current row of a job: the modified copy, if there is one. */
const struct bd_flow *
fw_job_current(const struct fw_job_view *job)
{
	return job->copy != NULL ? job->copy : job->row;
}

/* Returns the modifiable copy of a job's row, or NULL if out of memory. */
struct bd_flow *
fw_job_writable(struct fw_job_view *job)
{
	if (job->copy == NULL) {
		job->copy = malloc(fw_flow_bytes(job->row));
		if (job->copy != NULL)
			memcpy(job->copy, job->row, fw_flow_bytes(job->row));
	}
	return job->copy;
}

/* Allocates an empty map from handle index to view index. */
static uint32_t *
index_map_new(enum bd_table_number table)
{
	size_t bytes = bd_table_capacity(table) * sizeof(uint32_t);
	uint32_t *map = malloc(bytes);

	if (map != NULL)
		memset(map, 0xff, bytes);
	return map;
}

/* Orders by rack name, then id, so that the order is the same on every VM. */
static int
compare_hosts(const void *a, const void *b)
{
	const struct bd_host *x = ((const struct fw_host_view *)a)->row;
	const struct bd_host *y = ((const struct fw_host_view *)b)->row;
	int order = strcmp(x->rack, y->rack);

	return order != 0 ? order : (x->id > y->id) - (x->id < y->id);
}

/* Allocates the arrays that depend on the number of workers and copies the
 * rows. */
static int
copy_hosts(struct fw_view *view, const struct bd_board *board)
{
	struct bd_rows rows;
	uint32_t i;

	if (bd_rows_collect(board, BD_TABLE_host, &rows) != CW_OK)
		return FW_ENOMEM;
	view->hosts = calloc(rows.count + 1, sizeof(*view->hosts));
	view->services = calloc(rows.count + 1, sizeof(*view->services));
	view->racks = calloc(rows.count + 1, sizeof(*view->racks));
	view->rack_first = calloc(rows.count + 2, sizeof(*view->rack_first));
	if (view->hosts == NULL || view->services == NULL ||
	    view->racks == NULL || view->rack_first == NULL) {
		bd_rows_free(&rows);
		return FW_ENOMEM;
	}
	for (i = 0; i < rows.count; i++) {
		const struct bd_host *row = rows.items[i].row;

		fw_host_describe(&view->hosts[i], view, row);
	}
	view->host_count = rows.count;
	bd_rows_free(&rows);
	return CW_OK;
}

/* Returns the index of a service in the view, or FW_NONE if it has no workers.
 */
uint32_t
fw_view_service_index(const struct fw_view *view, uint64_t pool)
{
	uint32_t i;

	for (i = 0; i < view->service_count; i++)
		if (view->services[i].pool == pool)
			return i;
	return FW_NONE;
}

/* Returns the index of a service, which is added if needed. */
static uint32_t
add_service(struct fw_view *view, uint64_t pool)
{
	uint32_t found = fw_view_service_index(view, pool);

	if (found != FW_NONE)
		return found;
	view->services[view->service_count].pool = pool;
	return view->service_count++;
}

static int
add_hosts(struct fw_view *view, const struct bd_board *board)
{
	const struct bd_host *row;
	struct bd_handle handle;
	uint32_t i;

	view->host_positions = index_map_new(BD_TABLE_host);
	if (view->host_positions == NULL || copy_hosts(view, board) != CW_OK)
		return FW_ENOMEM;
	if (view->host_count > 1)
		qsort(view->hosts, view->host_count, sizeof(*view->hosts),
		    compare_hosts);
	for (i = 0; i < view->host_count; i++) {
		row = view->hosts[i].row;
		assert(row != NULL);
		if (i == 0 ||
		    strcmp(row->rack, view->hosts[i - 1].row->rack) != 0) {
			view->racks[view->rack_count] = row->rack;
			view->rack_first[view->rack_count++] = i;
		}
		view->hosts[i].rack = view->rack_count - 1;
		view->hosts[i].service = add_service(view, row->pool);
		if (bd_lookup(board, BD_TABLE_host, row->id, &handle) != NULL)
			view->host_positions[handle.index] = i;
	}
	view->rack_first[view->rack_count] = view->host_count;
	return CW_OK;
}

/* Notes a job whose record has been compacted: its progress is no longer
 * needed.
 */
static void
note_prunable(struct fw_view *view, const struct bd_flow *row)
{
	if (row->compacted != 0 && row->epoch != 0 &&
	    view->prunable_count < FW_PRUNE_MAX)
		view->prunable[view->prunable_count++] = row;
}

/* Notes that a worker has a task of a job. */
void
fw_view_add_tenant(struct fw_view *view, uint32_t job, uint32_t host)
{
	fw_host_add_tenant(&view->hosts[host], view->jobs[job].row->id);
}

/* Keeps a worker for a suspect job, so that no other job uses it. */
void
fw_view_hold(struct fw_view *view, uint32_t job, uint32_t host)
{
	if (view->hosts[host].trial == 0)
		view->trial_count++;
	view->hosts[host].trial = view->jobs[job].row->id;
}

/* Notes that a suspect job is tried on a worker. */
void
fw_view_try_apart(struct fw_view *view, uint32_t job, uint32_t host)
{
	fw_view_hold(view, job, host);
	view->jobs[job].trial_host = host;
}

/* Subtracts the placed tasks of a job from the free capacity. */
static void
subtract_placed(struct fw_view *view, uint32_t job)
{
	const struct bd_flow *flow = view->jobs[job].row;
	const struct bd_flow_step *steps = fw_flow_steps(flow);
	const struct bd_step_task *tasks = fw_flow_tasks(flow);
	uint32_t k;
	uint32_t s;
	uint32_t i;

	for (k = 0; k < flow->occurrences; k++)
		for (s = 0; s < flow->step_count; s++)
			for (i = 0; i < steps[s].count; i++) {
				const struct bd_step_task *task =
				    &tasks[k * flow->step_tasks +
					steps[s].first_task + i];
				uint32_t host;

				if (task->state != BD_STEP_TASK_PLACED)
					continue;
				host = fw_view_host_index(view, task->host);
				if (host == FW_NONE)
					continue;
				fw_host_adjust_free(
				    &view->hosts[host], &steps[s], -1);
				fw_view_add_tenant(view, job, host);
				if (fw_task_in_trial(task, view->wall_ms))
					view->jobs[job].in_trial = true;
			}
}

/* Keeps the workers on which a job is tried. One that it shares with another
 * job is not kept. Call after the placed tasks of all jobs are subtracted. */
static void
keep_trial_hosts(struct fw_view *view, uint32_t job)
{
	const struct bd_flow *flow = view->jobs[job].row;
	const struct bd_step_task *tasks = fw_flow_tasks(flow);
	uint32_t count = fw_flow_task_count(flow);
	uint32_t i;

	for (i = 0; i < count; i++) {
		uint32_t host;

		if (!fw_task_in_trial(&tasks[i], view->wall_ms))
			continue;
		host = fw_view_host_index(view, tasks[i].host);
		if (host != FW_NONE && !view->hosts[host].shared)
			fw_view_try_apart(view, job, host);
	}
}

static int
add_jobs(struct fw_view *view, const struct bd_board *board)
{
	struct bd_rows rows;
	uint32_t i;

	view->job_positions = index_map_new(BD_TABLE_flow);
	if (view->job_positions == NULL ||
	    bd_rows_collect(board, BD_TABLE_flow, &rows) != CW_OK)
		return FW_ENOMEM;
	view->jobs = calloc(rows.count + 1, sizeof(*view->jobs));
	if (view->jobs == NULL) {
		bd_rows_free(&rows);
		return FW_ENOMEM;
	}
	for (i = 0; i < rows.count; i++) {
		const struct bd_flow *row = rows.items[i].row;

		if (fw_flow_drained(row)) {
			note_prunable(view, row);
			continue;
		}
		view->job_positions[rows.items[i].handle.index] =
		    view->job_count;
		view->jobs[view->job_count].row = row;
		view->jobs[view->job_count].trial_host = FW_NONE;
		subtract_placed(view, view->job_count++);
	}
	bd_rows_free(&rows);
	for (i = 0; i < view->job_count; i++)
		if (view->jobs[i].in_trial)
			keep_trial_hosts(view, i);
	return CW_OK;
}

/*
 * Builds a view of the workers, their free capacity, and the live jobs. Tasks
 * that may still be running count as used capacity. Call this and use the view
 * within one read section. Returns FW_ENOMEM.
 */
int
fw_view_build(struct fw_view *view, const struct bd_board *board,
    const struct fw_settings *settings, int64_t now_ms, int64_t wall_ms)
{
	int code;

	memset(view, 0, sizeof(*view));
	view->board = board;
	view->settings = settings;
	view->now_ms = now_ms;
	view->wall_ms = wall_ms;
	code = add_hosts(view, board);
	if (code == CW_OK)
		code = add_jobs(view, board);
	if (code != CW_OK)
		fw_view_free(view);
	return code;
}

/* Frees a view and its copies of job rows. */
void
fw_view_free(struct fw_view *view)
{
	uint32_t i;

	for (i = 0; i < view->job_count; i++)
		free(view->jobs[i].copy);
	free(view->jobs);
	free(view->alive);
	free(view->bound);
	free(view->hosts);
	free(view->services);
	free(view->host_positions);
	free((void *)view->racks);
	free(view->rack_first);
	free(view->job_positions);
	view->jobs = NULL;
	view->alive = NULL;
	view->bound = NULL;
	view->alive_count = view->alive_capacity = 0;
	view->bound_count = view->bound_capacity = 0;
	view->hosts = NULL;
	view->services = NULL;
	view->service_count = 0;
	view->host_positions = view->job_positions = NULL;
	view->racks = NULL;
	view->rack_first = NULL;
	view->job_count = view->host_count = 0;
}

/* Returns the view index of the entry in which the row with an id is now, or
 * FW_NONE. The entry may have been another row's when the view was built. */
static uint32_t
index_of(const struct fw_view *view, enum bd_table_number table,
    const uint32_t *map, uint64_t id)
{
	struct bd_handle handle;

	if (bd_lookup(view->board, table, id, &handle) == NULL)
		return FW_NONE;
	return map[handle.index];
}

/* Binds a task to a worker. Returns false if out of memory. */
bool
fw_view_bind(struct fw_view *view, uint32_t job, uint32_t index, uint32_t host,
    uint32_t late)
{
	if (view->bound_count == view->bound_capacity) {
		uint32_t capacity =
		    view->bound_capacity == 0 ? 16 : view->bound_capacity * 2;
		struct fw_view_bound *grown =
		    realloc(view->bound, capacity * sizeof(*grown));

		if (grown == NULL) {
			ev_emit(EV_FLOW_NO_MEMORY, "what=view");
			return false;
		}
		view->bound = grown;
		view->bound_capacity = capacity;
	}
	view->bound[view->bound_count++] =
	    (struct fw_view_bound){job, index, host, late};
	return true;
}

/* Returns to which worker a task is bound, or NULL if to none. */
const struct fw_view_bound *
fw_view_bound_of(const struct fw_view *view, uint32_t job, uint32_t index)
{
	uint32_t i;

	for (i = 0; i < view->bound_count; i++)
		if (view->bound[i].job == job && view->bound[i].index == index)
			return &view->bound[i];
	return NULL;
}

/* Returns the index of a worker in the view, or FW_NONE. */
uint32_t
fw_view_host_index(const struct fw_view *view, uint64_t id)
{
	uint32_t index =
	    index_of(view, BD_TABLE_host, view->host_positions, id);

	if (index == FW_NONE)
		return FW_NONE;
	assert(index < view->host_count);
	return view->hosts[index].row->id == id ? index : FW_NONE;
}

/* Returns the index of a job in the view, or FW_NONE. */
uint32_t
fw_view_job_index(const struct fw_view *view, uint64_t id)
{
	uint32_t index = index_of(view, BD_TABLE_flow, view->job_positions, id);

	if (index == FW_NONE)
		return FW_NONE;
	assert(index < view->job_count);
	return view->jobs[index].row->id == id ? index : FW_NONE;
}

/* Returns the index of a rack in the view, or FW_NO_RACK if it has no workers.
 */
uint32_t
fw_view_rack_index(const struct fw_view *view, const char *name)
{
	uint32_t i;

	for (i = 0; i < view->rack_count; i++)
		if (strcmp(view->racks[i], name) == 0)
			return i;
	return FW_NO_RACK;
}

/* Returns the index after the last worker of a rack and sets *first to the
 * index of the first one. FW_ANY_RACK: all workers; FW_NO_RACK: an empty range.
 */
uint32_t
fw_view_rack_hosts(const struct fw_view *view, uint32_t rack, uint32_t *first)
{
	*first = 0;
	if (rack == FW_ANY_RACK)
		return view->host_count;
	if (rack == FW_NO_RACK)
		return 0;
	*first = view->rack_first[rack];
	return view->rack_first[rack + 1];
}

/* Returns how many accelerators the jobs of priority 0 hold or wait for. */
uint64_t
fw_view_urgent_demand(const struct fw_view *view)
{
	uint64_t demand = 0;
	uint32_t i;
	uint32_t n;
	uint32_t k;

	for (i = 0; i < view->job_count; i++) {
		const struct bd_flow *flow = fw_job_current(&view->jobs[i]);
		const struct bd_flow_step *steps = fw_flow_steps(flow);
		const struct bd_step_task *tasks = fw_flow_tasks(flow);

		if (flow->priority != 0 || fw_flow_ended(flow))
			continue;
		for (n = 0; n < flow->step_count; n++)
			for (k = 0; k < steps[n].count; k++)
				if (tasks[steps[n].first_task + k].state !=
				    BD_STEP_TASK_DONE)
					demand += steps[n].accels;
	}
	return demand;
}

/* Returns how many accelerators are free on workers of a service that may be
 * given new runs of any job. */
int64_t
fw_view_free_accels(const struct fw_view *view, uint32_t service)
{
	int64_t count = 0;
	uint32_t i;

	for (i = 0; i < view->host_count; i++)
		if (view->hosts[i].schedulable && !view->hosts[i].failing &&
		    view->hosts[i].trial == 0 &&
		    view->hosts[i].service == service &&
		    view->hosts[i].accels > 0)
			count += view->hosts[i].accels;
	return count;
}

/* Sums up the capacity of a service and finds whether most of it is free.
 * Workers on which suspect jobs are tried count as well: many trials must not
 * be a reason for fewer of them. */
static void
sum_service(struct fw_view *view, uint32_t service)
{
	struct fw_service_view *sums = &view->services[service];
	int64_t accels_free = 0;
	int64_t cores_total = 0;
	int64_t cores_free = 0;
	uint32_t i;

	sums->accel_total = 0;
	for (i = 0; i < view->host_count; i++) {
		const struct fw_host_view *host = &view->hosts[i];

		if (!host->schedulable || host->service != service)
			continue;
		sums->accel_total += host->row->accels;
		accels_free += host->accels > 0 ? host->accels : 0;
		cores_total += host->row->cores_milli;
		cores_free += host->cores_milli > 0 ? host->cores_milli : 0;
	}
	sums->ample_accels =
	    accels_free * 1000 > (int64_t)sums->accel_total * AMPLE_FREE_MILLI;
	sums->ample_cores = cores_free * 1000 > cores_total * AMPLE_FREE_MILLI;
}

/* Returns whether most of a service is free: its accelerators, or its cores for
 * tasks that need no accelerators. Call after fw_view_reserve_urgent. */
bool
fw_view_ample(const struct fw_view *view, uint32_t service, uint32_t accels)
{
	if (service == FW_NONE)
		return false;
	return accels > 0 ? view->services[service].ample_accels
			  : view->services[service].ample_cores;
}

/*
 * Reserves workers for jobs of priority 0 until they have this many
 * accelerators, but at most RESERVE_MAX_MILLI of all accelerators, so none in a
 * very small deployment.
 * Workers are reserved rack by rack, as most urgent gangs ask for one rack, and
 * always in the same order, so that little else runs there when an urgent job
 * arrives.
 */
void
fw_view_reserve_urgent(struct fw_view *view, uint64_t accels)
{
	uint64_t reserved = 0;
	uint64_t total = 0;
	uint32_t i;

	for (i = 0; i < view->host_count; i++)
		if (view->hosts[i].schedulable && !view->hosts[i].failing)
			total += view->hosts[i].row->accels;
	for (i = 0; i < view->service_count; i++)
		sum_service(view, i);
	for (i = 0; i < view->host_count && reserved < accels; i++) {
		struct fw_host_view *host = &view->hosts[i];

		if (!host->schedulable || host->failing)
			continue;
		if (reserved + host->row->accels >
		    total * RESERVE_MAX_MILLI / 1000)
			return;
		host->urgent = true;
		reserved += host->row->accels;
	}
}
