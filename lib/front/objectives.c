#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "front_internal.h"

static int compare_durations(const void *a, const void *b);
static int64_t *read_completion_times(
    const struct bd_board *board, size_t *count);

static int
compare_durations(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return left < right ? -1 : left > right;
}

/* Reads the completion times of the jobs that are done. Returns NULL if out of
 * memory. */
static int64_t *
read_completion_times(const struct bd_board *board, size_t *count)
{
	int64_t *durations_ms;
	struct bd_rows rows;
	uint32_t i;

	*count = 0;
	if (bd_rows_collect(board, BD_TABLE_job, &rows) != CW_OK)
		return NULL;
	durations_ms = malloc((rows.count + 1) * sizeof(*durations_ms));
	for (i = 0; durations_ms != NULL && i < rows.count; i++) {
		const struct bd_job *row = rows.items[i].row;

		if (row->state == BD_JOB_DONE)
			durations_ms[(*count)++] =
			    row->ended_ms - row->submitted_ms;
	}
	bd_rows_free(&rows);
	return durations_ms;
}

/*
 * Computes the two objectives of the scheduler: the completion time, over the
 * jobs that are done and still in the table, and the fragmentation. Returns
 * FR_ENOMEM.
 */
int
fr_objectives_compute(const struct bd_board *board,
    const struct fr_placement *placement, struct fr_objectives *out)
{
	int64_t *durations_ms;
	size_t count;
	double sum = 0;
	size_t i;

	assert(board != NULL && placement != NULL && out != NULL);
	memset(out, 0, sizeof(*out));
	out->fragmentation = fr_fragmentation(
	    placement, &out->free_accels, &out->largest_free_in_rack);
	bd_read_begin();
	durations_ms = read_completion_times(board, &count);
	bd_read_end();
	if (durations_ms == NULL)
		return FR_ENOMEM;
	qsort(durations_ms, count, sizeof(*durations_ms), compare_durations);
	for (i = 0; i < count; i++)
		sum += (double)durations_ms[i];
	out->done_jobs = (uint32_t)count;
	if (count > 0) {
		out->completion_mean_ms = (int64_t)(sum / (double)count);
		out->completion_p50_ms = durations_ms[count / 2];
		out->completion_p99_ms = durations_ms[count * 99 / 100];
	}
	free(durations_ms);
	return CW_OK;
}
