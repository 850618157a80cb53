#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"

/* An append without an answer may be carried out seconds later. */
#define IN_DOUBT_MS 10000
/* Bounds of Retry-After, and the time for which a count of rows is used. */
#define RETRY_MIN_S 1
#define RETRY_MAX_S 60
#define COUNT_MS 1000

/* A job that this VM has handed to the store and may not have read back. */
struct pending_job {
	uint64_t id;
	uint32_t calls;    /* that are storing it now */
	bool maybe_stored; /* a call has ended without a refusal */
	/* Once the copy of the topic is newer, the job is on the board, or it
	 * was deleted again, or it was never stored. */
	int64_t until_ms;
};

struct fw_admission {
	const struct bd_board *board;
	const struct fw_follower *jobs;
	uint32_t rows_max;
	uint32_t copy_age_max_ms;
	uint32_t retention_ms;
	pthread_mutex_t lock; /* of all that follows */
	uint32_t pending_count;
	struct pending_job pending[FW_PENDING_MAX];
	int64_t counted_ms;       /* wall time of the count of rows */
	uint32_t refused_counted; /* refusals between the last two counts */
	uint32_t refused;         /* refusals since the count */
	/* Rows that become free within so many seconds of the count. */
	uint32_t free_within_s[RETRY_MAX_S + 1];
};

static bool on_board(const struct fw_admission *admission, uint64_t id);
static struct pending_job *find_pending(
    struct fw_admission *admission, uint64_t id);
static void remove_pending(
    struct fw_admission *admission, struct pending_job *job);
static void release_pending(struct fw_admission *admission, int64_t now_ms);
static bool has_room(const struct fw_admission *admission);
static int check_room(struct fw_admission *admission, int64_t now_ms);
static void count_free_rows(struct fw_admission *admission, int64_t boot_ms);

static bool
on_board(const struct fw_admission *admission, uint64_t id)
{
	bool found;

	bd_read_begin();
	found = bd_flow_lookup(admission->board, id) != NULL;
	bd_read_end();
	return found;
}

static struct pending_job *
find_pending(struct fw_admission *admission, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < admission->pending_count; i++)
		if (admission->pending[i].id == id)
			return &admission->pending[i];
	return NULL;
}

static void
remove_pending(struct fw_admission *admission, struct pending_job *job)
{
	*job = admission->pending[--admission->pending_count];
}

/* Releases the reservations of jobs that were read back, and of those that are
 * not stored and will not be. */
static void
release_pending(struct fw_admission *admission, int64_t now_ms)
{
	int64_t synced_ms =
	    now_ms - fw_follower_age_ms(admission->jobs, now_ms);
	uint32_t i;

	for (i = admission->pending_count; i-- > 0;) {
		struct pending_job *job = &admission->pending[i];

		if (on_board(admission, job->id) ||
		    (job->calls == 0 && synced_ms > job->until_ms))
			remove_pending(admission, job);
	}
}

static bool
has_room(const struct fw_admission *admission)
{
	return admission->pending_count < FW_PENDING_MAX &&
	    bd_row_count(admission->board, BD_TABLE_flow) +
		admission->pending_count <
	    admission->rows_max;
}

static int
check_room(struct fw_admission *admission, int64_t now_ms)
{
	if (!has_room(admission)) {
		release_pending(admission, now_ms);
		if (!has_room(admission))
			return cw_error_set(FW_EFULL,
			    "no room for another job; nothing was run");
	}
	if (bd_row_count(admission->board, BD_TABLE_flow) >=
		admission->rows_max / 2 &&
	    fw_follower_age_ms(admission->jobs, now_ms) >
		(int64_t)admission->copy_age_max_ms)
		return cw_error_set(FW_ESTORE, "the store is out of reach");
	return CW_OK;
}

/* Creates the bookkeeping of the rows for jobs that are being accepted, up to
 * rows_max rows. With half of them in use, no job is accepted by a copy of the
 * topic that is older than copy_age_max_ms. Returns FW_ENOMEM. */
int
fw_admission_create(struct fw_admission **out, const struct bd_board *board,
    const struct fw_follower *jobs, uint32_t rows_max, uint32_t copy_age_max_ms,
    uint32_t retention_ms)
{
	struct fw_admission *admission = calloc(1, sizeof(*admission));

	if (admission == NULL)
		return cw_error_set(FW_ENOMEM, "no memory for admission");
	admission->board = board;
	admission->jobs = jobs;
	admission->rows_max = rows_max;
	admission->copy_age_max_ms = copy_age_max_ms;
	admission->retention_ms = retention_ms;
	pthread_mutex_init(&admission->lock, NULL);
	*out = admission;
	return CW_OK;
}

void
fw_admission_free(struct fw_admission *admission)
{
	if (admission == NULL)
		return;
	pthread_mutex_destroy(&admission->lock);
	free(admission);
}

/*
 * Reserves the row of a job before its record is sent. Returns FW_EFULL, or
 * FW_ESTORE if this VM cannot tell how many rows are left. Call
 * fw_admission_settle with the outcome of the append.
 *
 * A record in the log is applied by every VM, so no VM may run out of rows. Let
 * the rows pass rows_max at a position of the log: a VM that has read up to
 * there accepts nothing, so what each VM adds behind it was accepted before the
 * VM read up to it, and was still reserved there. That is FW_PENDING_MAX rows a
 * VM at most, for which the table has room beyond rows_max.
 */
int
fw_admission_reserve(
    struct fw_admission *admission, uint64_t id, int64_t now_ms)
{
	struct pending_job *job;
	int code = CW_OK;

	pthread_mutex_lock(&admission->lock);
	job = find_pending(admission, id);
	if (job == NULL)
		code = check_room(admission, now_ms);
	if (job == NULL && code == CW_OK) {
		job = &admission->pending[admission->pending_count++];
		memset(job, 0, sizeof(*job));
		job->id = id;
	}
	if (code == CW_OK)
		job->calls++;
	pthread_mutex_unlock(&admission->lock);
	return code;
}

/* Ends a call that has reserved a row. code is the outcome of its append:
 * CW_OK, FW_EUNKNOWN if it may be stored yet, or that it never will be. */
void
fw_admission_settle(
    struct fw_admission *admission, uint64_t id, int code, int64_t now_ms)
{
	struct pending_job *job;
	int64_t until_ms = now_ms + (code == CW_OK ? 0 : IN_DOUBT_MS);

	pthread_mutex_lock(&admission->lock);
	job = find_pending(admission, id);
	/* It is released early if its row was read back meanwhile. */
	if (job != NULL) {
		if (job->calls > 0)
			job->calls--;
		if (code == CW_OK || code == FW_EUNKNOWN) {
			job->maybe_stored = true;
			if (until_ms > job->until_ms)
				job->until_ms = until_ms;
		}
		if (job->calls == 0 && !job->maybe_stored)
			remove_pending(admission, job);
	}
	pthread_mutex_unlock(&admission->lock);
}

/* Counts the rows of ended jobs by the time at which they are deleted. */
static void
count_free_rows(struct fw_admission *admission, int64_t boot_ms)
{
	const struct bd_flow *row;
	uint32_t cursor = 0;
	uint32_t s;

	memset(admission->free_within_s, 0, sizeof(admission->free_within_s));
	bd_read_begin();
	while ((row = bd_flow_next(admission->board, &cursor)) != NULL) {
		int64_t left_ms = row->ended_ms +
		    (int64_t)admission->retention_ms + FW_RETENTION_MARGIN_MS -
		    boot_ms;

		if (fw_flow_public_state(row) < BD_FLOW_COMPLETED ||
		    left_ms >= RETRY_MAX_S * 1000)
			continue;
		s = left_ms < RETRY_MIN_S * 1000
		    ? RETRY_MIN_S
		    : (uint32_t)(left_ms / 1000) + 1;
		admission->free_within_s[s]++;
	}
	bd_read_end();
	for (s = 1; s <= RETRY_MAX_S; s++)
		admission->free_within_s[s] += admission->free_within_s[s - 1];
	admission->counted_ms = boot_ms;
	admission->refused_counted = admission->refused;
	admission->refused = 0;
}

/* Returns the time in s after which a caller that was refused for want of room
 * should try again: by then a row is free for each caller that was refused
 * lately. */
uint32_t
fw_admission_retry_after_s(struct fw_admission *admission, int64_t boot_ms)
{
	int64_t elapsed_ms;
	uint32_t callers;
	uint32_t s = RETRY_MIN_S;

	pthread_mutex_lock(&admission->lock);
	elapsed_ms = boot_ms - admission->counted_ms;
	if (elapsed_ms < 0 || elapsed_ms >= COUNT_MS)
		count_free_rows(admission, boot_ms);
	admission->refused++;
	callers = admission->refused_counted + admission->refused;
	while (s < RETRY_MAX_S && admission->free_within_s[s] < callers)
		s++;
	pthread_mutex_unlock(&admission->lock);
	return s;
}
