#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "front_internal.h"

static bool can_access(
    const struct fr_caller *caller, const struct bd_job *row);
static int set_not_found(uint64_t id, struct fr_error *error);
static void copy_job(
    const struct bd_board *board, const struct bd_job *row, struct fr_job *out);
static void copy_tasks(const struct bd_board *board, struct fr_job_detail *out);
static bool is_same_job(
    const struct bd_job *row, const struct rec_job_submit *submit);
static bool find_by_key(const struct bd_board *board,
    const struct rec_job_submit *submit, uint64_t *id, bool *is_same);
static int compare_ids(const void *a, const void *b);
static int set_existing_job(uint64_t existing_id, bool is_same, uint64_t *id,
    bool *repeated, struct fr_error *error);

static bool
can_access(const struct fr_caller *caller, const struct bd_job *row)
{
	return caller->role == BD_ROLE_OPERATOR ||
	    row->account == caller->account;
}

static int
set_not_found(uint64_t id, struct fr_error *error)
{
	return fr_error_set(error, FR_ENOTFOUND, NULL,
	    "no job %llu of this account", (unsigned long long)id);
}

static void
copy_job(
    const struct bd_board *board, const struct bd_job *row, struct fr_job *out)
{
	const struct bd_account *account;

	out->row = *row;
	account = bd_account_lookup(board, row->account);
	memset(out->account, 0, sizeof(out->account));
	if (account != NULL)
		memcpy(out->account, account->name, sizeof(out->account));
}

static void
copy_tasks(const struct bd_board *board, struct fr_job_detail *out)
{
	const struct bd_job *row = &out->job.row;
	const struct bd_worker *worker;
	struct fr_job_task *copy;
	const struct bd_task *task;
	uint32_t i;

	out->task_count = 0;
	for (i = 0; i < row->shape.members && i < BD_GANG_MEMBERS_MAX; i++) {
		task = bd_task_lookup(board, cw_id_from_pair(row->id, i));
		if (task == NULL || task->job != row->id)
			continue;
		copy = &out->tasks[out->task_count++];
		memset(copy, 0, sizeof(*copy));
		copy->member = task->member;
		copy->accel_mask = task->accel_mask;
		worker = bd_worker_lookup(board, task->worker);
		if (worker == NULL)
			continue;
		memcpy(copy->worker, worker->name, sizeof(copy->worker));
		memcpy(copy->rack, worker->rack_name, sizeof(copy->rack));
	}
}

static bool
is_same_job(const struct bd_job *row, const struct rec_job_submit *submit)
{
	return memcmp(&row->shape, &submit->shape, sizeof(row->shape)) == 0 &&
	    row->class_number == submit->class_number &&
	    strcmp(row->name, submit->name) == 0 &&
	    strcmp(row->input, submit->input) == 0;
}

/* Finds the job that the account submitted with this idempotency key; *is_same
 * tells whether it was submitted with the same contents. The scan is linear in
 * the retained jobs, which is cheap enough for a few hundred submissions a day.
 */
static bool
find_by_key(const struct bd_board *board, const struct rec_job_submit *submit,
    uint64_t *id, bool *is_same)
{
	const struct bd_job *row;
	uint32_t cursor = 0;
	bool found = false;

	if (submit->submit_key[0] == '\0')
		return false;
	bd_read_begin();
	while (!found && (row = bd_job_next(board, &cursor)) != NULL)
		if (row->account == submit->account &&
		    strcmp(row->submit_key, submit->submit_key) == 0) {
			*id = row->id;
			*is_same = is_same_job(row, submit);
			found = true;
		}
	bd_read_end();
	return found;
}

/* Returns the job of a repeated key, or FR_ECONFLICT if its contents differ. */
static int
set_existing_job(uint64_t existing_id, bool is_same, uint64_t *id,
    bool *repeated, struct fr_error *error)
{
	if (!is_same)
		return fr_error_set(error, FR_ECONFLICT, "Idempotency-Key",
		    "the key was used for the different job %llu",
		    (unsigned long long)existing_id);
	*id = existing_id;
	*repeated = true;
	return CW_OK;
}

/*
 * Submits a job for the caller's account and waits until its record has been
 * applied. Sets *repeated if an earlier submission with the same idempotency
 * key created the job. Returns FR_ECONFLICT if the key belongs to a different
 * job. After FR_EUNKNOWN it is safe to retry with the same key.
 */
int
fr_job_submit(struct fr_front *front, const struct fr_caller *caller,
    const struct rec_job_submit *submit, uint64_t *id, bool *repeated,
    struct fr_error *error)
{
	const struct bd_board *board = front->options.board;
	struct rec rec = {0};
	uint64_t existing_id;
	bool is_same;
	int code;
	int state_code;

	assert(caller != NULL && submit != NULL);
	*id = 0;
	*repeated = false;
	rec.version = REC_VERSION;
	rec.kind = REC_JOB_SUBMIT;
	rec.body.job_submit = *submit;
	rec.body.job_submit.account = caller->account;
	rec.body.job_submit.owner = front->options.self;
	/* Resolves a repeated key even while the log is unreachable. */
	if (find_by_key(board, &rec.body.job_submit, &existing_id, &is_same))
		return set_existing_job(
		    existing_id, is_same, id, repeated, error);
	code = fr_propose(front, &rec, id, error, &state_code);
	if ((state_code == ST_EREPEATED || state_code == ST_ECONFLICT) &&
	    find_by_key(board, &rec.body.job_submit, &existing_id, &is_same))
		return set_existing_job(
		    existing_id, is_same, id, repeated, error);
	return code;
}

/* Copies a job with its tasks. Returns FR_ENOTFOUND also for a job of another
 * account, so that callers cannot probe for the ids of others. */
int
fr_job_get(struct fr_front *front, const struct fr_caller *caller, uint64_t id,
    struct fr_job_detail *out, struct fr_error *error)
{
	const struct bd_board *board = front->options.board;
	const struct bd_job *row;
	bool found;

	bd_read_begin();
	row = bd_job_lookup(board, id);
	found = row != NULL && can_access(caller, row);
	if (found) {
		copy_job(board, row, &out->job);
		copy_tasks(board, out);
	}
	bd_read_end();
	return found ? CW_OK : set_not_found(id, error);
}

static int
compare_ids(const void *a, const void *b)
{
	uint64_t left = *(const uint64_t *)a;
	uint64_t right = *(const uint64_t *)b;

	return left < right ? -1 : left > right;
}

/* Lists jobs in the order of their ids; a caller who is not an operator gets
 * the jobs of its own account only. Returns FR_ENOMEM. */
int
fr_job_list(struct fr_front *front, const struct fr_caller *caller,
    const struct fr_job_filter *filter, struct fr_jobs *out,
    struct fr_error *error)
{
	const struct bd_board *board = front->options.board;
	uint32_t capacity = bd_table_capacity(BD_TABLE_job);
	uint64_t *ids = malloc(capacity * sizeof(*ids));
	const struct bd_job *row;
	uint32_t cursor = 0;
	size_t found = 0;
	size_t i;

	assert(filter->limit >= 1 && filter->limit <= FR_JOB_LIST_MAX);
	memset(out, 0, sizeof(*out));
	out->jobs = calloc(filter->limit, sizeof(*out->jobs));
	if (ids == NULL || out->jobs == NULL) {
		free(ids);
		free(out->jobs);
		out->jobs = NULL;
		return fr_error_set(
		    error, FR_ENOMEM, NULL, "no memory for the list");
	}
	bd_read_begin();
	while (found < capacity && (row = bd_job_next(board, &cursor)) != NULL)
		if (can_access(caller, row) && row->id > filter->after &&
		    (filter->account == 0 || row->account == filter->account) &&
		    (filter->state == FR_JOB_STATE_ANY ||
			row->state == filter->state))
			ids[found++] = row->id;
	qsort(ids, found, sizeof(*ids), compare_ids);
	for (i = 0; i < found && out->count < filter->limit; i++) {
		row = bd_job_lookup(board, ids[i]);
		if (row != NULL)
			copy_job(board, row, &out->jobs[out->count++]);
	}
	bd_read_end();
	out->more = i < found;
	free(ids);
	return CW_OK;
}

/*
 * Waits until the job's epoch differs from known_epoch, at most timeout_ms, and
 * copies the job. known_epoch 0 stands for the epoch at the time of the call.
 * Sets *busy if options.waiters_max calls wait already; the call then copies
 * the job without waiting. Returns FR_ENOTFOUND.
 */
int
fr_job_wait(struct fr_front *front, const struct fr_caller *caller, uint64_t id,
    uint64_t known_epoch, uint32_t timeout_ms, bool *busy,
    struct fr_job_detail *out, struct fr_error *error)
{
	const struct ctl_clock *clock = &front->options.mono;
	struct bd_board *board = front->options.board;
	int64_t deadline_ms = clock->now_ms(clock->ctx) + timeout_ms;
	uint64_t notify_count = bd_notify_count(board);
	int64_t remaining_ms;
	int code;

	*busy =
	    atomic_fetch_add(&front->waiters, 1) >= front->options.waiters_max;
	for (;;) {
		code = fr_job_get(front, caller, id, out, error);
		if (code != CW_OK || *busy)
			break;
		if (known_epoch == 0)
			known_epoch = out->job.row.epoch;
		remaining_ms = deadline_ms - clock->now_ms(clock->ctx);
		if (out->job.row.epoch != known_epoch || remaining_ms <= 0 ||
		    atomic_load(&front->draining))
			break;
		notify_count = bd_wait(board, notify_count,
		    remaining_ms < FR_WAIT_POLL_MS ? remaining_ms
						   : FR_WAIT_POLL_MS);
	}
	atomic_fetch_sub(&front->waiters, 1);
	return code;
}

/* Cancels a job and waits until the record has been applied. Returns
 * FR_ENOTFOUND, FR_ECONFLICT if the job has ended, and the errors of
 * fr_propose. Cancelling a cancelled job succeeds. */
int
fr_job_cancel(struct fr_front *front, const struct fr_caller *caller,
    uint64_t id, struct fr_error *error)
{
	const struct bd_board *board = front->options.board;
	const struct bd_job *row;
	struct rec rec = {0};
	uint64_t position;
	uint32_t state = 0;
	int state_code;
	bool found;
	int code;

	bd_read_begin();
	row = bd_job_lookup(board, id);
	found = row != NULL && can_access(caller, row);
	if (found)
		state = row->state;
	bd_read_end();
	if (!found)
		return set_not_found(id, error);
	if (state == BD_JOB_CANCELLED)
		return CW_OK;
	if (state >= BD_JOB_DONE)
		return fr_error_set(error, FR_ECONFLICT, NULL,
		    "job %llu has ended: %s", (unsigned long long)id,
		    bd_job_state_name(state));
	rec.version = REC_VERSION;
	rec.kind = REC_JOB_CANCEL;
	rec.body.job_cancel.job = id;
	code = fr_propose(front, &rec, &position, error, &state_code);
	if (code == FR_ECONFLICT)
		return fr_error_set(error, FR_ECONFLICT, NULL,
		    "job %llu has ended", (unsigned long long)id);
	return code;
}

/* Gets the scheduler's explanation of why a job waits or what it does. Returns
 * FR_ENOTFOUND, or FR_EUNAVAILABLE if the hook is missing or fails. */
int
fr_job_explain(struct fr_front *front, const struct fr_caller *caller,
    uint64_t id, struct sch_explanation *out, struct fr_error *error)
{
	const struct fr_hooks *hooks = &front->options.hooks;
	const struct ctl_clock *clock = &front->options.wall;
	const struct bd_job *row;
	bool found;

	bd_read_begin();
	row = bd_job_lookup(front->options.board, id);
	found = row != NULL && can_access(caller, row);
	bd_read_end();
	if (!found)
		return set_not_found(id, error);
	if (hooks->explain == NULL ||
	    cw_is_error(hooks->explain(
		hooks->explain_ctx, id, clock->now_ms(clock->ctx), out)))
		return fr_error_set(error, FR_EUNAVAILABLE, NULL,
		    "the scheduler gives no explanation now");
	return CW_OK;
}
