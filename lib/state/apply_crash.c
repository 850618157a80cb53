#include "state_internal.h"

static bool is_demanded(
    const struct st_worker_demand *demands, uint32_t count, uint64_t worker);

/* Excludes the present and all earlier attempts of a job from its crashes. */
void
st_job_attempt_uncounted(struct bd_job *job)
{
	job->uncounted_attempts =
	    job->attempts < UINT16_MAX ? (uint16_t)job->attempts : UINT16_MAX;
}

static bool
is_demanded(
    const struct st_worker_demand *demands, uint32_t count, uint64_t worker)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		if (demands[i].worker == worker)
			return true;
	return false;
}

/*
 * Called before a gang is placed on workers. Stores whether one of them runs
 * tasks of other jobs, and ends the separation of suspects among these: if such
 * a worker crashes, that does not tell whose task did it. Linear in the tasks
 * if a suspect is placed and a worker is shared.
 */
int
st_workers_share(struct st_state *state, const struct st_worker_demand *demands,
    uint32_t count, bool *shared)
{
	const struct bd_worker *worker;
	const struct bd_task *task;
	struct bd_job job;
	uint32_t cursor = 0;
	uint32_t i;
	int code = CW_OK;

	*shared = false;
	bd_read_begin();
	for (i = 0; i < count; i++) {
		worker = bd_worker_lookup(state->board, demands[i].worker);
		*shared = *shared ||
		    (worker != NULL &&
			(worker->used_mask != 0 ||
			    worker->used_cores_milli != 0 ||
			    worker->used_memory_mb != 0));
	}
	while (*shared && state->suspects_placed > 0 && code == CW_OK &&
	    (task = bd_task_next(state->board, &cursor)) != NULL) {
		if (!is_demanded(demands, count, task->worker) ||
		    !st_row_copy(
			state, BD_TABLE_job, task->job, &job, sizeof(job)) ||
		    job.crashes == 0)
			continue;
		st_job_attempt_uncounted(&job);
		code =
		    st_row_put(state, BD_TABLE_job, job.id, &job, sizeof(job));
	}
	bd_read_end();
	return code;
}

/*
 * JOB_CRASH: a worker has crashed under an attempt of the job. The first crash
 * makes the job a suspect; from then on only attempts that share no worker are
 * counted, so that crashes caused by other jobs do not add up. The first crash
 * also counts against the worker, once for all jobs that ran there: the
 * worker's epoch is then later than their placements. Returns ST_ESTALE where
 * the attempt is not counted.
 */
int
st_apply_job_crash(
    struct st_state *state, const struct rec *rec, uint64_t position)
{
	const struct rec_job_crash *body = &rec->body.job_crash;
	struct bd_worker worker;
	struct bd_job row;
	bool first;
	int code = CW_OK;

	if (!st_row_copy(state, BD_TABLE_job, body->job, &row, sizeof(row)) ||
	    body->attempt == 0 || body->attempt > row.attempts)
		return ST_EREJECTED;
	if (row.state >= BD_JOB_DONE || body->attempt <= row.uncounted_attempts)
		return ST_ESTALE;
	first = row.crashes == 0;
	row.crashes++;
	st_job_attempt_uncounted(&row);
	st_job_failed_on(&row, body->worker);
	row.epoch = position;
	if (first &&
	    st_row_copy(state, BD_TABLE_worker, body->worker, &worker,
		sizeof(worker)) &&
	    worker.epoch < body->token)
		code = st_worker_failed(
		    state, body->worker, row.account, position);
	if (code == CW_OK)
		code =
		    st_row_put(state, BD_TABLE_job, row.id, &row, sizeof(row));
	return code;
}
