#include <assert.h>

#include "state_internal.h"

/* For this long, a reclaimed job does not borrow capacity that is planned for a
 * promise, so that it is not reclaimed again immediately. */
#define RECLAIM_HOLD_MS 60000

static bool find_job_by_token(
    struct st_state *state, uint64_t job, uint64_t token, struct bd_job *row);
static void collect_members(
    struct st_state *state, const struct bd_job *job, struct bd_slot *members);
static int clear_worker_failures(struct st_state *state,
    const struct bd_slot *members, uint32_t count, uint64_t position);
static int record_outcome(struct st_state *state, struct bd_job *job,
    const struct rec_gang_ended *body, const struct bd_slot *members,
    uint64_t position);
static void end_attempt(struct bd_job *job, const struct rec *rec);
static int fail_waiting_job(
    struct st_state *state, const struct rec *rec, uint64_t position);
static bool may_reclaim(
    struct st_state *state, const struct bd_job *victim, uint64_t for_job);

/* Copies the row of a job whose current placement has the fencing token.
 * Returns whether there is one. */
static bool
find_job_by_token(
    struct st_state *state, uint64_t job, uint64_t token, struct bd_job *row)
{
	return st_row_copy(state, BD_TABLE_job, job, row, sizeof(*row)) &&
	    token != 0 && row->token == token;
}

/* GANG_STARTED: all members are running. A gang that is being preempted stays
 * in that state. */
int
st_apply_gang_started(
    struct st_state *state, const struct rec *rec, uint64_t position)
{
	const struct rec_gang_started *body = &rec->body.gang_started;
	struct bd_job row;

	if (!find_job_by_token(state, body->job, body->token, &row) ||
	    (row.state != BD_JOB_PLACED && row.state != BD_JOB_PREEMPTING) ||
	    row.started_ms != 0)
		return ST_ESTALE;
	if (row.state == BD_JOB_PLACED)
		row.state = BD_JOB_RUNNING;
	row.started_ms = rec->time_ms;
	row.epoch = position;
	return st_row_put(state, BD_TABLE_job, row.id, &row, sizeof(row));
}

/* Copies the slots of a placed job's members from its tasks. */
static void
collect_members(
    struct st_state *state, const struct bd_job *job, struct bd_slot *members)
{
	struct bd_task task;
	uint32_t i;
	bool found;

	for (i = 0; i < job->shape.members; i++) {
		found = st_row_copy(state, BD_TABLE_task,
		    cw_id_from_pair(job->id, i), &task, sizeof(task));
		assert(found);
		members[i] = (struct bd_slot){
		    .worker = task.worker, .accel_mask = task.accel_mask};
	}
}

/* Stores a worker among those that the job has recently failed on. Returns
 * whether it was not among them before. */
bool
st_job_failed_on(struct bd_job *job, uint64_t worker)
{
	int i;

	for (i = 0; i < BD_JOB_FAILED_WORKERS_MAX; i++)
		if (job->failed_workers[i] == worker)
			return false;
	for (i = BD_JOB_FAILED_WORKERS_MAX - 1; i > 0; i--)
		job->failed_workers[i] = job->failed_workers[i - 1];
	job->failed_workers[0] = worker;
	return true;
}

/* Counts a failure of a known worker, with the account of the job. */
int
st_worker_failed(struct st_state *state, uint64_t worker, uint64_t account,
    uint64_t position)
{
	struct bd_worker row;

	st_row_copy(state, BD_TABLE_worker, worker, &row, sizeof(row));
	row.consecutive_failures++;
	row.failed_accounts[1] = row.failed_accounts[0];
	row.failed_accounts[0] = account;
	row.epoch = position;
	return st_row_put(state, BD_TABLE_worker, worker, &row, sizeof(row));
}

static int
clear_worker_failures(struct st_state *state, const struct bd_slot *members,
    uint32_t count, uint64_t position)
{
	struct bd_worker row;
	uint32_t i;
	int code = CW_OK;

	for (i = 0; i < count && code == CW_OK; i++) {
		if (!st_row_copy(state, BD_TABLE_worker, members[i].worker,
			&row, sizeof(row)) ||
		    row.consecutive_failures == 0)
			continue;
		row.consecutive_failures = 0;
		row.failed_accounts[0] = 0;
		row.failed_accounts[1] = 0;
		row.epoch = position;
		code = st_row_put(
		    state, BD_TABLE_worker, row.id, &row, sizeof(row));
	}
	return code;
}

/* Updates the failure counts of the job and of the gang's workers. An attempt
 * that was never recorded as started has failed because a worker did not
 * answer, which is no failure of the job. A job that fails again on the same
 * worker is not counted against the worker a second time, since it tells
 * nothing new about the worker. */
static int
record_outcome(struct st_state *state, struct bd_job *job,
    const struct rec_gang_ended *body, const struct bd_slot *members,
    uint64_t position)
{
	if (body->outcome == REC_OUTCOME_DONE)
		return clear_worker_failures(
		    state, members, job->shape.members, position);
	if (body->reason != BD_REASON_MEMBER_FAILED ||
	    st_slot_find(members, job->shape.members, body->worker) < 0)
		return CW_OK;
	if (job->started_ms != 0)
		job->failures++;
	if (!st_job_failed_on(job, body->worker))
		return CW_OK;
	return st_worker_failed(state, body->worker, job->account, position);
}

/* Sets the fields of a job whose gang has ended. */
static void
end_attempt(struct bd_job *job, const struct rec *rec)
{
	const struct rec_gang_ended *body = &rec->body.gang_ended;
	bool reclaimed = job->state == BD_JOB_PREEMPTING &&
	    job->reason == BD_REASON_RECLAIMED;

	job->token = 0;
	job->promise = 0;
	job->preempt_deadline_ms = 0;
	if (body->progress_ms > job->progress_ms)
		job->progress_ms = body->progress_ms;
	if (job->state == BD_JOB_CANCELLED)
		return;
	job->reason = body->reason;
	if (body->outcome == REC_OUTCOME_RETRY) {
		job->state = BD_JOB_WAITING;
		job->waiting_since_ms = rec->time_ms;
		if (reclaimed)
			job->hold_until_ms = rec->time_ms + RECLAIM_HOLD_MS;
		return;
	}
	job->state =
	    body->outcome == REC_OUTCOME_DONE ? BD_JOB_DONE : BD_JOB_FAILED;
	job->ended_ms = rec->time_ms;
}

/* Ends a waiting job that can never run. It has no workers to free. */
static int
fail_waiting_job(
    struct st_state *state, const struct rec *rec, uint64_t position)
{
	const struct rec_gang_ended *body = &rec->body.gang_ended;
	struct bd_job row;

	if (body->outcome != REC_OUTCOME_FAILED)
		return ST_EREJECTED;
	if (!st_row_copy(state, BD_TABLE_job, body->job, &row, sizeof(row)) ||
	    row.state != BD_JOB_WAITING)
		return ST_ESTALE;
	end_attempt(&row, rec);
	row.epoch = position;
	return st_row_put(state, BD_TABLE_job, row.id, &row, sizeof(row));
}

/*
 * GANG_ENDED: all members have stopped; frees the workers. The job is done, has
 * failed or returns to the queue. A cancelled job stays cancelled.
 */
int
st_apply_gang_ended(
    struct st_state *state, const struct rec *rec, uint64_t position)
{
	const struct rec_gang_ended *body = &rec->body.gang_ended;
	struct bd_slot members[BD_GANG_MEMBERS_MAX];
	struct bd_job row;
	uint32_t i;
	int code;

	if (body->outcome > REC_OUTCOME_RETRY ||
	    body->reason >= BD_REASON_COUNT)
		return ST_EREJECTED;
	if (body->token == 0)
		return fail_waiting_job(state, rec, position);
	if (!find_job_by_token(state, body->job, body->token, &row))
		return ST_ESTALE;
	collect_members(state, &row, members);
	code = st_gang_usage_add(state, &row, members, -1);
	if (code == CW_OK)
		code = record_outcome(state, &row, body, members, position);
	for (i = 0; i < row.shape.members && code == CW_OK; i++)
		code = st_row_remove(
		    state, BD_TABLE_task, cw_id_from_pair(row.id, i));
	if (code != CW_OK)
		return code;
	end_attempt(&row, rec);
	row.epoch = position;
	return st_row_put(state, BD_TABLE_job, row.id, &row, sizeof(row));
}

/* A guaranteed gang may only be reclaimed for an urgent job of its own account,
 * which is covered by the same guarantee. */
static bool
may_reclaim(
    struct st_state *state, const struct bd_job *victim, uint64_t for_job)
{
	struct bd_job row;

	if (victim->promise == 0)
		return true;
	return st_row_copy(state, BD_TABLE_job, for_job, &row, sizeof(row)) &&
	    row.account == victim->account &&
	    row.class_number == BD_CLASS_URGENT &&
	    victim->class_number != BD_CLASS_URGENT;
}

/* PREEMPT: requests that the gang is checkpointed and stopped by the deadline.
 * Returns ST_EREJECTED where a guaranteed gang would be reclaimed for another
 * account. */
int
st_apply_preempt(
    struct st_state *state, const struct rec *rec, uint64_t position)
{
	const struct rec_preempt *body = &rec->body.preempt;
	struct bd_job row;

	if (body->reason >= BD_REASON_COUNT)
		return ST_EREJECTED;
	if (!find_job_by_token(state, body->job, body->token, &row) ||
	    (row.state != BD_JOB_PLACED && row.state != BD_JOB_RUNNING))
		return ST_ESTALE;
	if (body->reason == BD_REASON_RECLAIMED &&
	    !may_reclaim(state, &row, body->for_job))
		return ST_EREJECTED;
	row.state = BD_JOB_PREEMPTING;
	row.reason = body->reason;
	row.preempt_deadline_ms = body->deadline_ms;
	row.preempted_for = body->for_job;
	row.epoch = position;
	return st_row_put(state, BD_TABLE_job, row.id, &row, sizeof(row));
}

/* CHECKPOINT: stores the run time that a restart resumes from. It may not
 * decrease. A job that has run for a while no longer counts as one that crashes
 * its workers. */
int
st_apply_checkpoint(
    struct st_state *state, const struct rec *rec, uint64_t position)
{
	const struct rec_checkpoint *body = &rec->body.checkpoint;
	struct bd_job row;

	if (!find_job_by_token(state, body->job, body->token, &row))
		return ST_ESTALE;
	if (body->progress_ms < row.progress_ms)
		return ST_EREJECTED;
	if (body->progress_ms - row.progress_ms >= ST_CRASH_FREE_RUN_MS)
		row.crashes = 0;
	row.progress_ms = body->progress_ms;
	row.checkpoint_ms = rec->time_ms;
	row.epoch = position;
	return st_row_put(state, BD_TABLE_job, row.id, &row, sizeof(row));
}
