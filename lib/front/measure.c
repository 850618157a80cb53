#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "front_internal.h"

static int compare_times(const void *a, const void *b);
static size_t copy_times(
    const struct bd_board *board, int64_t *times, size_t room);

static int
compare_times(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return left < right ? -1 : left > right;
}

static size_t
copy_times(const struct bd_board *board, int64_t *times, size_t room)
{
	const struct bd_job *row;
	uint32_t cursor = 0;
	size_t count = 0;

	while (count < room && (row = bd_job_next(board, &cursor)) != NULL)
		if (row->state == BD_JOB_DONE)
			times[count++] = row->ended_ms - row->submitted_ms;
	return count;
}

/*
 * Computes the users' two measures: completion time, over the jobs that are
 * done and still kept, and fragmentation. Returns FR_ENOMEM.
 */
int
fr_measure(const struct bd_board *board, const struct fr_cells *cells,
    struct fr_measures *out)
{
	int64_t *times;
	size_t count;
	size_t room;
	double sum = 0;
	size_t i;

	assert(board != NULL && cells != NULL && out != NULL);
	memset(out, 0, sizeof(*out));
	out->fragmentation =
	    fr_fragmentation(cells, &out->free_accels, &out->largest_in_rack);
	bd_read_begin();
	room = (size_t)bd_row_count(board, BD_TABLE_job) + 1;
	times = malloc(room * sizeof(*times));
	count = times == NULL ? 0 : copy_times(board, times, room);
	bd_read_end();
	if (times == NULL)
		return FR_ENOMEM;
	qsort(times, count, sizeof(*times), compare_times);
	for (i = 0; i < count; i++)
		sum += (double)times[i];
	out->ended_jobs = (uint32_t)count;
	if (count > 0) {
		out->completion_mean_ms = (int64_t)(sum / (double)count);
		out->completion_p50_ms = times[count / 2];
		out->completion_p99_ms = times[count * 99 / 100];
	}
	free(times);
	return CW_OK;
}
