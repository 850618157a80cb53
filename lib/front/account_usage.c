#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "front_internal.h"

static int compare_names(const void *a, const void *b);
static struct fr_account_usage *find_usage(
    struct fr_account_usage *usage, size_t count, uint64_t id);
static size_t copy_accounts(const struct bd_board *board, uint64_t account,
    const struct bd_rows *rows, struct fr_account_usage *usage);
static void add_guarantees(
    const struct bd_board *board, struct fr_account_usage *usage, size_t count);
static void add_jobs(
    const struct bd_board *board, struct fr_account_usage *usage, size_t count);
static void add_allocated(const struct fr_placement *placement,
    struct fr_account_usage *usage, size_t count);

static int
compare_names(const void *a, const void *b)
{
	return strcmp(((const struct fr_account_usage *)a)->name,
	    ((const struct fr_account_usage *)b)->name);
}

static struct fr_account_usage *
find_usage(struct fr_account_usage *usage, size_t count, uint64_t id)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (usage[i].id == id)
			return &usage[i];
	return NULL;
}

static size_t
copy_accounts(const struct bd_board *board, uint64_t account,
    const struct bd_rows *rows, struct fr_account_usage *usage)
{
	const struct bd_share *share;
	struct fr_account_usage *usage_row;
	size_t count = 0;
	uint32_t i;

	for (i = 0; i < rows->count; i++) {
		const struct bd_account *row = rows->items[i].row;

		if (account != 0 && row->id != account)
			continue;
		usage_row = &usage[count++];
		usage_row->id = row->id;
		memcpy(usage_row->name, row->name, sizeof(usage_row->name));
		usage_row->role = row->role;
		usage_row->quota = row->quota_accels;
		usage_row->weight_milli = row->weight_milli;
		usage_row->rate_per_s = row->rate_per_s;
		usage_row->concurrency = row->concurrency;
		share = bd_share_lookup(board, row->id);
		if (share == NULL)
			continue;
		usage_row->share_rate_per_s = share->rate_per_s;
		usage_row->share_concurrency = share->concurrency;
	}
	return count;
}

static void
add_guarantees(
    const struct bd_board *board, struct fr_account_usage *usage, size_t count)
{
	const struct bd_promise *row;
	struct fr_account_usage *usage_row;
	uint32_t cursor = 0;

	while ((row = bd_promise_next(board, &cursor)) != NULL) {
		usage_row = find_usage(usage, count, row->account);
		if (usage_row == NULL)
			continue;
		usage_row->guarantee_accels +=
		    (uint32_t)row->shape.members * row->shape.accels;
		if (row->short_since_ms != 0 &&
		    (usage_row->short_since_ms == 0 ||
			row->short_since_ms < usage_row->short_since_ms))
			usage_row->short_since_ms = row->short_since_ms;
	}
}

static void
add_jobs(
    const struct bd_board *board, struct fr_account_usage *usage, size_t count)
{
	struct fr_account_usage *usage_row;
	const struct bd_job *row;
	uint32_t cursor = 0;

	while ((row = bd_job_next(board, &cursor)) != NULL) {
		usage_row = find_usage(usage, count, row->account);
		if (usage_row == NULL)
			continue;
		if (row->state == BD_JOB_WAITING) {
			usage_row->waiting_jobs++;
			usage_row->waiting_accels +=
			    (uint32_t)row->shape.members * row->shape.accels;
		}
		if (row->token != 0)
			usage_row->running_jobs++;
	}
}

static void
add_allocated(const struct fr_placement *placement,
    struct fr_account_usage *usage, size_t count)
{
	struct fr_account_usage *usage_row;
	const struct fr_accel_state *accel_state;
	uint32_t accel;
	size_t i;

	for (i = 0; i < placement->count; i++)
		for (accel = 0; accel < BD_WORKER_ACCELS_MAX; accel++) {
			accel_state = &placement->workers[i].accels[accel];
			usage_row = accel_state->account == 0
			    ? NULL
			    : find_usage(usage, count, accel_state->account);
			if (usage_row == NULL)
				continue;
			if (accel_state->guaranteed) {
				usage_row->used_guaranteed++;
				continue;
			}
			usage_row->borrowed++;
			if (accel_state->reserved_for != 0 &&
			    accel_state->reserved_for != accel_state->account)
				usage_row->reclaimable++;
		}
}

/*
 * Sums up the guarantees, the accelerators in use and the waiting jobs of each
 * account. account 0 selects all accounts. The caller frees *out. Returns
 * FR_ENOMEM.
 */
int
fr_account_usage_collect(const struct bd_board *board,
    const struct fr_placement *placement, uint64_t account,
    struct fr_account_usage **out, size_t *count)
{
	struct fr_account_usage *usage = NULL;
	struct bd_rows rows;

	assert(board != NULL && placement != NULL);
	bd_read_begin();
	if (bd_rows_collect(board, BD_TABLE_account, &rows) == CW_OK)
		usage = calloc((size_t)rows.count + 1, sizeof(*usage));
	*count = 0;
	if (usage != NULL) {
		*count = copy_accounts(board, account, &rows, usage);
		add_guarantees(board, usage, *count);
		add_jobs(board, usage, *count);
	}
	bd_rows_free(&rows);
	bd_read_end();
	if (usage == NULL)
		return FR_ENOMEM;
	add_allocated(placement, usage, *count);
	qsort(usage, *count, sizeof(*usage), compare_names);
	*out = usage;
	return CW_OK;
}
