#include <assert.h>
#include <stdlib.h>

#include "front_internal.h"
#include "scheduler.h"

static struct bd_worker *copy_workers(
    const struct bd_board *board, size_t *count);

static struct bd_worker *
copy_workers(const struct bd_board *board, size_t *count)
{
	const struct bd_worker *row;
	struct bd_worker *workers;
	uint32_t cursor = 0;
	size_t room;

	bd_read_begin();
	room = (size_t)bd_row_count(board, BD_TABLE_worker) + 1;
	workers = calloc(room, sizeof(*workers));
	*count = 0;
	while (workers != NULL && *count < room &&
	    (row = bd_worker_next(board, &cursor)) != NULL)
		workers[(*count)++] = *row;
	bd_read_end();
	return workers;
}

/*
 * The fit hook: checks the guaranteed shapes of a text on the workers of the
 * board ctx, and adds an error that names the shape that does not fit. Returns
 * the status of sch_fit_check. While no worker is known nothing is checked, so
 * that the first text can be accepted before the workers are recorded; the
 * promises are then short until there are workers.
 */
int
fr_fit_check(void *ctx, const struct cfg_text *text, struct cfg_errors *errors)
{
	struct sch_fit_failure unfit = {0};
	struct bd_worker *workers;
	const char *name = "";
	size_t count;
	size_t i;
	int code;

	assert(ctx != NULL && text != NULL && errors != NULL);
	workers = copy_workers(ctx, &count);
	if (workers == NULL)
		return FR_ENOMEM;
	code = count == 0 ? CW_OK
			  : sch_fit_check(workers, count, text->promises,
				text->promise_count, &unfit);
	free(workers);
	if (code != SCH_EINFEASIBLE)
		return code;
	for (i = 0; i < text->account_count; i++)
		if (text->accounts[i].id == unfit.account)
			name = text->accounts[i].name;
	cfg_errors_add(errors, 0, 0,
	    "guarantee %u of account \"%s\", copy %u: %u members with %u "
	    "accelerators, %g cores and %u MiB each fit no rack beside the "
	    "larger guarantees; reduce it or add workers",
	    unfit.number + 1u, name, unfit.copy + 1u, unfit.shape.members,
	    unfit.shape.accels, unfit.shape.cores_milli / 1000.0,
	    unfit.shape.memory_mb);
	return code;
}
