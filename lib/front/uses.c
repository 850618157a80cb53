#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "front_internal.h"

static int compare_names(const void *a, const void *b);
static struct fr_account_use *find_use(
    struct fr_account_use *uses, size_t count, uint64_t id);
static size_t copy_accounts(const struct bd_board *board, uint64_t account,
    struct fr_account_use *uses, size_t room);
static void add_promises(
    const struct bd_board *board, struct fr_account_use *uses, size_t count);
static void add_jobs(
    const struct bd_board *board, struct fr_account_use *uses, size_t count);
static void add_cells(
    const struct fr_cells *cells, struct fr_account_use *uses, size_t count);

static int
compare_names(const void *a, const void *b)
{
	return strcmp(((const struct fr_account_use *)a)->name,
	    ((const struct fr_account_use *)b)->name);
}

static struct fr_account_use *
find_use(struct fr_account_use *uses, size_t count, uint64_t id)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (uses[i].id == id)
			return &uses[i];
	return NULL;
}

static size_t
copy_accounts(const struct bd_board *board, uint64_t account,
    struct fr_account_use *uses, size_t room)
{
	const struct bd_account *row;
	const struct bd_share *share;
	struct fr_account_use *use;
	uint32_t cursor = 0;
	size_t count = 0;

	while (
	    count < room && (row = bd_account_next(board, &cursor)) != NULL) {
		if (account != 0 && row->id != account)
			continue;
		use = &uses[count++];
		use->id = row->id;
		memcpy(use->name, row->name, sizeof(use->name));
		use->role = row->role;
		use->quota = row->quota_accels;
		use->weight_milli = row->weight_milli;
		use->rate_per_s = row->rate_per_s;
		use->concurrency = row->concurrency;
		share = bd_share_lookup(board, row->id);
		if (share == NULL)
			continue;
		use->share_rate_per_s = share->rate_per_s;
		use->share_concurrency = share->concurrency;
	}
	return count;
}

static void
add_promises(
    const struct bd_board *board, struct fr_account_use *uses, size_t count)
{
	const struct bd_promise *row;
	struct fr_account_use *use;
	uint32_t cursor = 0;

	while ((row = bd_promise_next(board, &cursor)) != NULL) {
		use = find_use(uses, count, row->account);
		if (use == NULL)
			continue;
		use->promised +=
		    (uint32_t)row->shape.members * row->shape.accels;
		if (row->short_since_ms != 0 &&
		    (use->short_since_ms == 0 ||
			row->short_since_ms < use->short_since_ms))
			use->short_since_ms = row->short_since_ms;
	}
}

static void
add_jobs(
    const struct bd_board *board, struct fr_account_use *uses, size_t count)
{
	struct fr_account_use *use;
	const struct bd_job *row;
	uint32_t cursor = 0;

	while ((row = bd_job_next(board, &cursor)) != NULL) {
		use = find_use(uses, count, row->account);
		if (use == NULL)
			continue;
		if (row->state == BD_JOB_WAITING) {
			use->waiting_jobs++;
			use->waiting_accels +=
			    (uint32_t)row->shape.members * row->shape.accels;
		}
		if (row->token != 0)
			use->running_jobs++;
	}
}

static void
add_cells(
    const struct fr_cells *cells, struct fr_account_use *uses, size_t count)
{
	struct fr_account_use *use;
	const struct fr_cell *cell;
	uint32_t accel;
	size_t i;

	for (i = 0; i < cells->count; i++)
		for (accel = 0; accel < BD_WORKER_ACCELS_MAX; accel++) {
			cell = &cells->workers[i].cells[accel];
			use = cell->account == 0
			    ? NULL
			    : find_use(uses, count, cell->account);
			if (use == NULL)
				continue;
			if (cell->guaranteed) {
				use->used_guaranteed++;
				continue;
			}
			use->borrowed++;
			if (cell->planned != 0 &&
			    cell->planned != cell->account)
				use->reclaimable++;
		}
}

/*
 * Sums up what each account is promised, holds and waits for. account 0 gives
 * all of them. The caller frees *out. Returns FR_ENOMEM.
 */
int
fr_account_uses(const struct bd_board *board, const struct fr_cells *cells,
    uint64_t account, struct fr_account_use **out, size_t *count)
{
	struct fr_account_use *uses;
	size_t room;

	assert(board != NULL && cells != NULL);
	bd_read_begin();
	room = (size_t)bd_row_count(board, BD_TABLE_account) + 1;
	uses = calloc(room, sizeof(*uses));
	*count = 0;
	if (uses != NULL) {
		*count = copy_accounts(board, account, uses, room);
		add_promises(board, uses, *count);
		add_jobs(board, uses, *count);
	}
	bd_read_end();
	if (uses == NULL)
		return FR_ENOMEM;
	add_cells(cells, uses, *count);
	qsort(uses, *count, sizeof(*uses), compare_names);
	*out = uses;
	return CW_OK;
}
