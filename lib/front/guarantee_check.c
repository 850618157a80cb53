#include <assert.h>
#include <stdlib.h>

#include "front_internal.h"
#include "scheduler.h"

static struct bd_worker *copy_workers(
    const struct bd_board *board, size_t *count);

static struct bd_worker *
copy_workers(const struct bd_board *board, size_t *count)
{
	struct bd_worker *workers = NULL;
	struct bd_rows rows;

	*count = 0;
	bd_read_begin();
	if (bd_rows_collect(board, BD_TABLE_worker, &rows) == CW_OK)
		workers = calloc((size_t)rows.count + 1, sizeof(*workers));
	for (; workers != NULL && *count < rows.count; (*count)++)
		workers[*count] =
		    *(const struct bd_worker *)rows.items[*count].row;
	bd_rows_free(&rows);
	bd_read_end();
	return workers;
}

/*
 * Checks that the guaranteed shapes of a configuration can be placed on the
 * workers of the board ctx, and otherwise adds an error that names a shape that
 * cannot. Returns the status of sch_fit_check, or FR_ENOMEM. The check is
 * skipped while no worker is known, so that the first configuration can be
 * accepted before workers register; the guarantees then have no reservations
 * until there are workers.
 */
int
fr_guarantee_check(
    void *ctx, const struct cfg_config *config, struct cfg_errors *errors)
{
	struct sch_fit_failure failure = {0};
	struct bd_worker *workers;
	const char *name = "";
	size_t count;
	size_t i;
	int code;

	assert(ctx != NULL && config != NULL && errors != NULL);
	workers = copy_workers(ctx, &count);
	if (workers == NULL)
		return FR_ENOMEM;
	code = count == 0 ? CW_OK
			  : sch_fit_check(workers, count, config->promises,
				config->promise_count, &failure);
	free(workers);
	if (code != SCH_EINFEASIBLE)
		return code;
	for (i = 0; i < config->account_count; i++)
		if (config->accounts[i].id == failure.account)
			name = config->accounts[i].name;
	cfg_errors_add(errors, 0, 0,
	    "guarantee %u of account \"%s\", copy %u: %u members with %u "
	    "accelerators, %g cores and %u MiB each fit no rack beside the "
	    "larger guarantees; reduce it or add workers",
	    failure.number + 1u, name, failure.copy + 1u, failure.shape.members,
	    failure.shape.accels, failure.shape.cores_milli / 1000.0,
	    failure.shape.memory_mb);
	return code;
}
