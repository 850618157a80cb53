#include <string.h>

#include "state_internal.h"

static bool shape_is_valid(const struct bd_shape *shape);
static bool is_same_submit(
    const struct bd_job *job, const struct rec_job_submit *body);
static bool job_is_expired(const void *row, int64_t before_ms);
static bool worker_is_expired(const void *row, int64_t before_ms);

static bool
shape_is_valid(const struct bd_shape *shape)
{
	return shape->members > 0 && shape->members <= BD_GANG_MEMBERS_MAX &&
	    shape->accels <= BD_WORKER_ACCELS_MAX &&
	    (shape->accels > 0 || shape->cores_milli > 0 ||
		shape->memory_mb > 0);
}

/* Returns whether a submit repeats that of a job: shape, class, name and input
 * are equal. */
static bool
is_same_submit(const struct bd_job *job, const struct rec_job_submit *body)
{
	return memcmp(&job->shape, &body->shape, sizeof(job->shape)) == 0 &&
	    job->class_number == body->class_number &&
	    strcmp(job->name, body->name) == 0 &&
	    strcmp(job->input, body->input) == 0;
}

/*
 * JOB_SUBMIT: adds a waiting job whose id is the record's position. Where the
 * account already has a job with the submit key, no job is added and
 * st_result_id returns that job. Returns ST_EREPEATED where both submits are
 * equal, ST_ECONFLICT where they differ.
 */
int
st_apply_job_submit(
    struct st_state *state, const struct rec *rec, uint64_t position)
{
	const struct rec_job_submit *body = &rec->body.job_submit;
	struct bd_account account;
	struct bd_job row = {0};
	uint64_t first;

	if (!shape_is_valid(&body->shape) ||
	    body->class_number >= BD_CLASS_COUNT || body->cross_region > 1 ||
	    body->declared_ms < 0 ||
	    !st_row_copy(state, BD_TABLE_account, body->account, &account,
		sizeof(account)))
		return ST_EREJECTED;
	first = body->submit_key[0] == '\0'
	    ? 0
	    : st_index_job_by_key(state, body->account, body->submit_key);
	if (first != 0) {
		state->result_id = first;
		st_row_copy(state, BD_TABLE_job, first, &row, sizeof(row));
		return is_same_submit(&row, body) ? ST_EREPEATED : ST_ECONFLICT;
	}
	row.id = position;
	row.epoch = position;
	row.account = body->account;
	row.owner = body->owner;
	row.shape = body->shape;
	row.class_number = body->class_number;
	row.state = BD_JOB_WAITING;
	row.cross_region = body->cross_region;
	row.declared_ms = body->declared_ms;
	row.submitted_ms = rec->time_ms;
	row.waiting_since_ms = rec->time_ms;
	if (cw_name_copy(row.name, sizeof(row.name), body->name) != CW_OK ||
	    cw_name_copy(row.submit_key, sizeof(row.submit_key),
		body->submit_key) != CW_OK ||
	    cw_name_copy(row.input, sizeof(row.input), body->input) != CW_OK)
		return ST_EREJECTED;
	return st_row_put(state, BD_TABLE_job, row.id, &row, sizeof(row));
}

/*
 * JOB_CANCEL: ends a job. A placed job keeps its token and tasks until
 * GANG_ENDED, since its gang must be stopped first. Returns ST_EREJECTED where
 * the job has ended.
 */
int
st_apply_job_cancel(
    struct st_state *state, const struct rec *rec, uint64_t position)
{
	struct bd_job row;

	if (!st_row_copy(state, BD_TABLE_job, rec->body.job_cancel.job, &row,
		sizeof(row)) ||
	    row.state >= BD_JOB_DONE)
		return ST_EREJECTED;
	row.state = BD_JOB_CANCELLED;
	row.reason = BD_REASON_CANCELLED;
	row.ended_ms = rec->time_ms;
	row.epoch = position;
	return st_row_put(state, BD_TABLE_job, row.id, &row, sizeof(row));
}

/* JOB_OWNER: makes another VM responsible for a job that has not ended or whose
 * gang has not been stopped yet. */
int
st_apply_job_owner(
    struct st_state *state, const struct rec *rec, uint64_t position)
{
	const struct rec_job_owner *body = &rec->body.job_owner;
	struct bd_job row;

	if (!st_row_copy(state, BD_TABLE_job, body->job, &row, sizeof(row)) ||
	    (row.state >= BD_JOB_DONE && row.token == 0))
		return ST_EREJECTED;
	if (row.epoch != body->epoch)
		return ST_ESTALE;
	row.owner = body->owner;
	row.epoch = position;
	return st_row_put(state, BD_TABLE_job, row.id, &row, sizeof(row));
}

static bool
job_is_expired(const void *row, int64_t before_ms)
{
	const struct bd_job *job = row;

	return job->state >= BD_JOB_DONE && job->token == 0 &&
	    job->ended_ms < before_ms;
}

static bool
worker_is_expired(const void *row, int64_t before_ms)
{
	const struct bd_worker *worker = row;

	return worker->state == BD_WORKER_LOST &&
	    worker->changed_ms < before_ms && worker->used_mask == 0 &&
	    worker->used_cores_milli == 0 && worker->used_memory_mb == 0 &&
	    worker->planned_mask == 0 && worker->planned_cores_milli == 0 &&
	    worker->planned_memory_mb == 0;
}

/* JOB_EXPIRE: removes jobs that ended and workers that were lost before
 * before_ms, and writers without a record since then. Linear in the tables. */
int
st_apply_job_expire(
    struct st_state *state, const struct rec *rec, uint64_t position)
{
	int64_t before_ms = rec->body.job_expire.before_ms;

	(void)position;
	st_expire_rows(state, BD_TABLE_job, job_is_expired, before_ms);
	st_expire_rows(state, BD_TABLE_worker, worker_is_expired, before_ms);
	st_expire_writers(state, before_ms);
	return CW_OK;
}
