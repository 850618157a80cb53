#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "front_internal.h"

static int compare_ids(const void *a, const void *b);
static int compare_locations(const void *a, const void *b);
static struct fr_worker_placement *find_worker(
    struct fr_placement *placement, uint64_t id);
static int copy_workers(const struct bd_board *board, struct fr_placement *out);
static void mark_reserved(
    const struct bd_board *board, struct fr_placement *placement);
static void mark_tasks(
    const struct bd_board *board, struct fr_placement *placement);
static bool is_usable(const struct bd_worker *worker);

static int
compare_ids(const void *a, const void *b)
{
	const struct fr_worker_placement *left = a;
	const struct fr_worker_placement *right = b;

	return left->row.id < right->row.id ? -1 : left->row.id > right->row.id;
}

static int
compare_locations(const void *a, const void *b)
{
	const struct bd_worker *left =
	    &((const struct fr_worker_placement *)a)->row;
	const struct bd_worker *right =
	    &((const struct fr_worker_placement *)b)->row;
	int order = strcmp(left->region_name, right->region_name);

	if (order == 0)
		order = strcmp(left->zone_name, right->zone_name);
	if (order == 0)
		order = strcmp(left->rack_name, right->rack_name);
	return order != 0 ? order : strcmp(left->name, right->name);
}

static struct fr_worker_placement *
find_worker(struct fr_placement *placement, uint64_t id)
{
	struct fr_worker_placement key;

	key.row.id = id;
	return bsearch(&key, placement->workers, placement->count,
	    sizeof(*placement->workers), compare_ids);
}

/* Returns FR_ENOMEM. */
static int
copy_workers(const struct bd_board *board, struct fr_placement *out)
{
	struct bd_rows rows;

	if (bd_rows_collect(board, BD_TABLE_worker, &rows) != CW_OK)
		return FR_ENOMEM;
	out->workers = calloc((size_t)rows.count + 1, sizeof(*out->workers));
	for (; out->workers != NULL && out->count < rows.count; out->count++)
		out->workers[out->count].row =
		    *(const struct bd_worker *)rows.items[out->count].row;
	bd_rows_free(&rows);
	return out->workers == NULL ? FR_ENOMEM : CW_OK;
}

static void
mark_reserved(const struct bd_board *board, struct fr_placement *placement)
{
	const struct bd_promise *promise;
	struct fr_worker_placement *worker;
	uint32_t cursor = 0;
	uint32_t accel;
	uint16_t i;

	while ((promise = bd_promise_next(board, &cursor)) != NULL)
		for (i = 0; i < promise->slot_count && i < BD_GANG_MEMBERS_MAX;
		     i++) {
			worker =
			    find_worker(placement, promise->slots[i].worker);
			if (worker == NULL)
				continue;
			for (accel = 0; accel < BD_WORKER_ACCELS_MAX; accel++)
				if (promise->slots[i].accel_mask >> accel & 1)
					worker->accels[accel].reserved_for =
					    promise->account;
		}
}

static void
mark_tasks(const struct bd_board *board, struct fr_placement *placement)
{
	struct fr_worker_placement *worker;
	const struct bd_task *task;
	const struct bd_job *job;
	uint32_t cursor = 0;
	uint32_t accel;

	while ((task = bd_task_next(board, &cursor)) != NULL) {
		job = bd_job_lookup(board, task->job);
		worker = find_worker(placement, task->worker);
		if (job == NULL || worker == NULL)
			continue;
		for (accel = 0; accel < BD_WORKER_ACCELS_MAX; accel++)
			if (task->accel_mask >> accel & 1) {
				worker->accels[accel].account = job->account;
				worker->accels[accel].guaranteed =
				    job->promise != 0;
			}
	}
}

/*
 * Copies the workers, with the account that uses each accelerator and the
 * account that it is reserved for. Returns FR_ENOMEM. The caller frees them
 * with fr_placement_free.
 */
int
fr_placement_build(const struct bd_board *board, struct fr_placement *out)
{
	int code;

	assert(board != NULL && out != NULL);
	memset(out, 0, sizeof(*out));
	bd_read_begin();
	code = copy_workers(board, out);
	if (code == CW_OK) {
		qsort(out->workers, out->count, sizeof(*out->workers),
		    compare_ids);
		mark_reserved(board, out);
		mark_tasks(board, out);
		qsort(out->workers, out->count, sizeof(*out->workers),
		    compare_locations);
	}
	bd_read_end();
	return code;
}

/* Frees the workers. May be called again, and on a zeroed struct. */
void
fr_placement_free(struct fr_placement *placement)
{
	free(placement->workers);
	memset(placement, 0, sizeof(*placement));
}

static bool
is_usable(const struct bd_worker *worker)
{
	return worker->state == BD_WORKER_UP &&
	    worker->quarantine_until_ms == 0;
}

/*
 * Returns the fraction of the free accelerators that are on partly used
 * workers, where gangs that need whole workers cannot use them: 0 if all free
 * accelerators are on wholly free workers or none is free, 1 if no worker is
 * wholly free. Stores the number of free accelerators on usable workers, and
 * the largest number on wholly free workers of one rack, which is the size of
 * the largest gang that fits into a rack. The workers must be sorted as by
 * fr_placement_build.
 */
double
fr_fragmentation(const struct fr_placement *placement, uint32_t *free_accels,
    uint32_t *largest_free_in_rack)
{
	uint64_t rack = 0;
	uint32_t wholly_free = 0;
	uint32_t in_rack = 0;
	uint32_t used;
	uint32_t accel;
	size_t i;

	*free_accels = 0;
	*largest_free_in_rack = 0;
	for (i = 0; i < placement->count; i++) {
		const struct fr_worker_placement *worker =
		    &placement->workers[i];

		if (i == 0 || worker->row.rack != rack)
			in_rack = 0;
		rack = worker->row.rack;
		if (!is_usable(&worker->row))
			continue;
		used = 0;
		for (accel = 0; accel < worker->row.accels; accel++)
			used += worker->accels[accel].account != 0;
		*free_accels += worker->row.accels - used;
		if (used > 0)
			continue;
		wholly_free += worker->row.accels;
		in_rack += worker->row.accels;
		if (in_rack > *largest_free_in_rack)
			*largest_free_in_rack = in_rack;
	}
	return *free_accels == 0 ? 0.0
				 : 1.0 - (double)wholly_free / *free_accels;
}
