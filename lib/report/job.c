#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "report_internal.h"

static struct rp_job *find_job(struct rp_builder *builder, uint64_t id);
static int add_job(
    struct rp_builder *builder, const struct bd_job *row, struct rp_job **out);
static int compare_jobs(const void *a, const void *b);
static void remove_job(struct rp_builder *builder, struct rp_job *job);
static void close_wait(
    struct rp_builder *builder, struct rp_job *job, int64_t time_ms);
static void close_hold(
    struct rp_builder *builder, struct rp_job *job, int64_t time_ms);
static bool is_in_period(const struct rp_builder *builder, int64_t time_ms);
static int record_submit(
    struct rp_builder *builder, uint64_t position, int64_t time_ms);
static void record_cancel(
    struct rp_builder *builder, uint64_t id, int64_t time_ms);
static void record_place(
    struct rp_builder *builder, const struct rec_place *body, int64_t time_ms);
static void record_preempt(struct rp_builder *builder,
    const struct rec_preempt *body, int64_t time_ms);
static void record_loss(struct rp_builder *builder, struct rp_job *job,
    const struct bd_job *row, const struct rec_gang_ended *body,
    int64_t time_ms);
static void record_gang_ended(struct rp_builder *builder,
    const struct rec_gang_ended *body, int64_t time_ms);

static bool
is_in_period(const struct rp_builder *builder, int64_t time_ms)
{
	return time_ms >= builder->report.from_ms &&
	    time_ms < builder->report.to_ms;
}

/* Binary search: ids are positions, so new jobs are appended in order. */
static struct rp_job *
find_job(struct rp_builder *builder, uint64_t id)
{
	size_t low = 0;
	size_t high = builder->job_count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (builder->jobs[middle].id < id)
			low = middle + 1;
		else
			high = middle;
	}
	if (low == builder->job_count || builder->jobs[low].id != id)
		return NULL;
	return &builder->jobs[low];
}

static int
add_job(
    struct rp_builder *builder, const struct bd_job *row, struct rp_job **out)
{
	struct rp_job *job;

	if (builder->job_count == builder->job_capacity) {
		size_t capacity = builder->job_capacity * 2 + 64;
		struct rp_job *grown =
		    realloc(builder->jobs, capacity * sizeof(*grown));

		if (grown == NULL)
			return RP_ENOMEM;
		builder->jobs = grown;
		builder->job_capacity = capacity;
	}
	job = &builder->jobs[builder->job_count++];
	memset(job, 0, sizeof(*job));
	job->id = row->id;
	job->account = row->account;
	job->accels = (uint32_t)row->shape.members * row->shape.accels;
	job->waiting_since_ms = -1;
	job->holding_since_ms = -1;
	job->started_ms = -1;
	job->preemption = SIZE_MAX;
	*out = job;
	return CW_OK;
}

static void
remove_job(struct rp_builder *builder, struct rp_job *job)
{
	size_t index = (size_t)(job - builder->jobs);

	builder->job_count--;
	memmove(job, job + 1, (builder->job_count - index) * sizeof(*job));
}

/* Ends the wait of a job, if any, and adds it to its account. */
static void
close_wait(struct rp_builder *builder, struct rp_job *job, int64_t time_ms)
{
	struct rp_account *account = rp_account_find(builder, job->account);
	int64_t ms;

	if (account == NULL || job->waiting_since_ms < 0)
		return;
	ms = rp_overlap(builder, job->waiting_since_ms, time_ms);
	account->waited_ms += ms;
	if (ms > account->wait_max_ms)
		account->wait_max_ms = ms;
	job->waiting_since_ms = -1;
}

/* Ends the use of workers by a job, if any, and adds the accelerator time to
 * its account. */
static void
close_hold(struct rp_builder *builder, struct rp_job *job, int64_t time_ms)
{
	struct rp_account *account = rp_account_find(builder, job->account);
	int64_t ms;

	if (account == NULL || job->holding_since_ms < 0)
		return;
	ms = rp_overlap(builder, job->holding_since_ms, time_ms) * job->accels;
	if (job->guaranteed)
		account->guaranteed_ms += ms;
	else
		account->borrowed_ms += ms;
	job->holding_since_ms = -1;
}

static int
compare_jobs(const void *a, const void *b)
{
	const struct rp_job *left = a;
	const struct rp_job *right = b;

	return left->id < right->id ? -1 : left->id > right->id;
}

/* Loads the jobs of a snapshot whose latest record has the time time_ms. The
 * rows do not have the time at which a job was placed: its use of workers is
 * counted from its start, or from time_ms if it has not started. Returns
 * RP_ENOMEM on failure. */
int
rp_jobs_load(struct rp_builder *builder, int64_t time_ms)
{
	const struct bd_job *row;
	struct rp_job *job;
	uint32_t cursor = 0;
	int code = CW_OK;

	bd_read_begin();
	while (code == CW_OK &&
	    (row = bd_job_next(builder->board, &cursor)) != NULL) {
		if (row->state != BD_JOB_WAITING && row->token == 0)
			continue;
		code = add_job(builder, row, &job);
		if (code != CW_OK)
			break;
		job->guaranteed = row->promise != 0;
		job->initial_progress_ms = row->progress_ms;
		if (row->token == 0)
			job->waiting_since_ms = row->waiting_since_ms;
		else
			job->holding_since_ms =
			    row->started_ms != 0 ? row->started_ms : time_ms;
		if (row->token != 0 && row->started_ms != 0)
			job->started_ms = row->started_ms;
	}
	bd_read_end();
	if (builder->job_count > 0)
		qsort(builder->jobs, builder->job_count, sizeof(*builder->jobs),
		    compare_jobs);
	return code;
}

static int
record_submit(struct rp_builder *builder, uint64_t position, int64_t time_ms)
{
	const struct bd_job *row = bd_job_lookup(builder->board, position);
	struct rp_account *account;
	struct rp_job *job;

	if (row == NULL || add_job(builder, row, &job) != CW_OK)
		return RP_ENOMEM;
	job->waiting_since_ms = time_ms;
	account = rp_account_find(builder, row->account);
	if (account == NULL || !is_in_period(builder, time_ms))
		return CW_OK;
	account->submitted++;
	account->asked_ms += row->declared_ms * job->accels;
	return CW_OK;
}

/* A cancelled job that holds workers keeps them until its gang has ended. */
static void
record_cancel(struct rp_builder *builder, uint64_t id, int64_t time_ms)
{
	struct rp_job *job = find_job(builder, id);
	struct rp_account *account;

	if (job == NULL)
		return;
	account = rp_account_find(builder, job->account);
	if (account != NULL && is_in_period(builder, time_ms))
		account->cancelled++;
	close_wait(builder, job, time_ms);
	if (job->holding_since_ms < 0)
		remove_job(builder, job);
}

static void
record_place(
    struct rp_builder *builder, const struct rec_place *body, int64_t time_ms)
{
	struct rp_job *job = find_job(builder, body->job);

	if (job == NULL)
		return;
	close_wait(builder, job, time_ms);
	job->holding_since_ms = time_ms;
	job->guaranteed = body->promise != 0;
	job->started_ms = -1;
}

static void
record_preempt(
    struct rp_builder *builder, const struct rec_preempt *body, int64_t time_ms)
{
	struct rp_report *report = &builder->report;
	struct rp_job *job = find_job(builder, body->job);
	const struct bd_job *row = bd_job_lookup(builder->board, body->job);
	const struct bd_job *other =
	    bd_job_lookup(builder->board, body->for_job);
	struct rp_account *account;
	struct rp_preemption *added;
	struct rp_preemption *grown;

	if (job == NULL || row == NULL || !is_in_period(builder, time_ms))
		return;
	account = rp_account_find(builder, job->account);
	if (account != NULL && body->reason == BD_REASON_RECLAIMED)
		account->reclaimed++;
	grown = rp_rows_reserve(builder, report->preemptions,
	    report->preemption_count, sizeof(*grown));
	if (grown == NULL)
		return;
	report->preemptions = grown;
	added = &grown[report->preemption_count++];
	job->preemption = report->preemption_count - 1;
	added->job = body->job;
	added->account = job->account;
	added->for_job = body->for_job;
	added->for_account = other == NULL ? 0 : other->account;
	added->start_ms = time_ms;
	added->duration_ms = -1;
	added->reason = body->reason;
	added->accels = job->accels;
	memcpy(added->name, row->name, sizeof(added->name));
}

/* Counts the work since the last checkpoint as lost. */
static void
record_loss(struct rp_builder *builder, struct rp_job *job,
    const struct bd_job *row, const struct rec_gang_ended *body,
    int64_t time_ms)
{
	struct rp_report *report = &builder->report;
	struct rp_account *account = rp_account_find(builder, job->account);
	const struct bd_worker *worker =
	    bd_worker_lookup(builder->board, body->worker);
	struct rp_loss *added;
	struct rp_loss *grown;
	int64_t run_ms;
	int64_t lost_ms;

	run_ms = job->started_ms < 0 ? 0 : time_ms - job->started_ms;
	lost_ms = run_ms - (row->progress_ms - job->initial_progress_ms);
	if (lost_ms < 0)
		lost_ms = 0;
	/* A failed job also loses the work in its checkpoint. */
	if (body->outcome == REC_OUTCOME_FAILED)
		lost_ms = run_ms + job->initial_progress_ms;
	lost_ms *= job->accels;
	if (account != NULL) {
		account->lost_ms += lost_ms;
		account->restarts += body->outcome == REC_OUTCOME_RETRY;
		account->failed += body->outcome == REC_OUTCOME_FAILED;
	}
	grown = rp_rows_reserve(
	    builder, report->losses, report->loss_count, sizeof(*grown));
	if (grown == NULL)
		return;
	report->losses = grown;
	added = &grown[report->loss_count++];
	added->job = job->id;
	added->account = job->account;
	added->time_ms = time_ms;
	added->lost_ms = lost_ms;
	added->reason = body->reason;
	added->ended = body->outcome == REC_OUTCOME_FAILED;
	memcpy(added->name, row->name, sizeof(added->name));
	if (worker != NULL)
		memcpy(added->worker, worker->name, sizeof(added->worker));
}

static void
record_gang_ended(struct rp_builder *builder, const struct rec_gang_ended *body,
    int64_t time_ms)
{
	const struct bd_job *row = bd_job_lookup(builder->board, body->job);
	struct rp_job *job = find_job(builder, body->job);
	struct rp_account *account;
	struct rp_preemption *preemption;

	if (job == NULL || row == NULL)
		return;
	close_hold(builder, job, time_ms);
	if (job->preemption != SIZE_MAX) {
		preemption = &builder->report.preemptions[job->preemption];
		preemption->duration_ms = time_ms - preemption->start_ms;
		job->preemption = SIZE_MAX;
	}
	account = rp_account_find(builder, job->account);
	if (row->state != BD_JOB_CANCELLED && is_in_period(builder, time_ms)) {
		if (body->outcome != REC_OUTCOME_DONE)
			record_loss(builder, job, row, body, time_ms);
		else if (account != NULL)
			account->done++;
	}
	job->initial_progress_ms = row->progress_ms;
	if (row->state == BD_JOB_WAITING)
		job->waiting_since_ms = time_ms;
	else
		remove_job(builder, job);
}

/* Updates jobs and accounts after a record was applied. Must be called within a
 * read section. Returns RP_ENOMEM on failure. */
int
rp_jobs_update(struct rp_builder *builder, const struct rec *rec,
    uint64_t position, int64_t time_ms)
{
	struct rp_job *job;

	switch (rec->kind) {
	case REC_JOB_SUBMIT:
		return record_submit(builder, position, time_ms);
	case REC_JOB_CANCEL:
		record_cancel(builder, rec->body.job_cancel.job, time_ms);
		break;
	case REC_PLACE:
		record_place(builder, &rec->body.place, time_ms);
		break;
	case REC_GANG_STARTED:
		job = find_job(builder, rec->body.gang_started.job);
		if (job != NULL)
			job->started_ms = time_ms;
		break;
	case REC_PREEMPT:
		record_preempt(builder, &rec->body.preempt, time_ms);
		break;
	case REC_GANG_ENDED:
		record_gang_ended(builder, &rec->body.gang_ended, time_ms);
		break;
	default:
		break;
	}
	return CW_OK;
}

/* Accounts for all jobs that still wait or hold workers at time_ms. */
void
rp_jobs_close(struct rp_builder *builder, int64_t time_ms)
{
	size_t i;

	for (i = 0; i < builder->job_count; i++) {
		close_wait(builder, &builder->jobs[i], time_ms);
		close_hold(builder, &builder->jobs[i], time_ms);
	}
}
