#include <assert.h>
#include <string.h>

#include "scheduler_internal.h"

/* Failures in a row after which a worker may be faulty, and healthy workers
 * that a faulty job has failed on. */
#define QUARANTINE_FAILURES 3
/* Crashes of workers after which their job may be faulty. */
#define JOB_CRASHES_MAX 3
/* Duration of the first quarantine of a worker, and limit of the later ones. */
#define QUARANTINE_BASE_MS (60 * 1000)
#define QUARANTINE_MAX_MS (60 * 60 * 1000)
/* A task that has run for this long ends the probation of its worker, and shows
 * that its job is not faulty. The start of a suspect is recorded before it, so
 * only its checkpoint, which ends the suspicion, shows that it runs. */
#define QUARANTINE_PROBATION_RUN_MS (30 * 1000)
/* Probation of a worker without tasks ends after this time. */
#define QUARANTINE_PROBATION_IDLE_MS (10 * 60 * 1000)

static bool succeeded_elsewhere(const struct sch *sch, uint64_t worker);
static bool is_worker_faulty(
    const struct sch *sch, const struct sch_worker *worker);
static bool has_passed_probation(const struct sch *sch,
    const struct sch_worker *worker, const struct sch_probation *probation);
static void end_probation(struct sch *sch, struct sch_probation *probation);
static int start_probation(struct sch *sch, const struct sch_worker *worker);
static int drain_leaving_workers(struct sch *sch);
static int64_t backoff_ms(const struct bd_worker *row);
static int propose_quarantine(
    struct sch *sch, const struct sch_worker *worker, int64_t until_ms);
static int update_worker(
    struct sch *sch, struct sch_worker *worker, uint32_t *remaining);
static uint32_t count_healthy_workers(
    const struct sch *sch, const struct bd_job *job);
static bool is_job_faulty(const struct sch *sch, const struct bd_job *job);
static int fail_job(struct sch *sch, struct sch_job *job);

/* Returns true if some job that failed on the worker has since completed, or
 * run for a while, on others. */
static bool
succeeded_elsewhere(const struct sch *sch, uint64_t worker)
{
	const struct bd_job *job;
	uint32_t cursor = 0;
	uint32_t i;

	while ((job = bd_job_next(sch->spec.board, &cursor)) != NULL) {
		if (job->state != BD_JOB_DONE &&
		    (job->state != BD_JOB_RUNNING || job->crashes > 0 ||
			sch->now_ms - job->started_ms <
			    QUARANTINE_PROBATION_RUN_MS))
			continue;
		for (i = 0; i < BD_JOB_FAILED_WORKERS_MAX; i++)
			if (job->failed_workers[i] == worker)
				return true;
	}
	return false;
}

/* A worker is considered faulty if several jobs in a row failed on it and the
 * jobs are unlikely to be the cause: they belong to different accounts, or one
 * of them ran elsewhere. */
static bool
is_worker_faulty(const struct sch *sch, const struct sch_worker *worker)
{
	const struct bd_worker *row = worker->row;

	if (row->consecutive_failures < QUARANTINE_FAILURES)
		return false;
	if (row->failed_accounts[0] != 0 && row->failed_accounts[1] != 0 &&
	    row->failed_accounts[0] != row->failed_accounts[1])
		return true;
	return succeeded_elsewhere(sch, row->id);
}

/* Returns the probation entry of a worker, or NULL. */
struct sch_probation *
sch_probation_lookup(struct sch *sch, uint64_t worker)
{
	uint32_t i;

	for (i = 0; i < sch->probation_count; i++)
		if (sch->probations[i].worker == worker)
			return &sch->probations[i];
	return NULL;
}

/* A worker passes probation when a task has run on it for long enough, or after
 * an idle period. */
static bool
has_passed_probation(const struct sch *sch, const struct sch_worker *worker,
    const struct sch_probation *probation)
{
	uint32_t t;

	for (t = worker->first_task; t != SCH_NONE;
	     t = sch->tasks[t].next_on_worker) {
		const struct bd_job *job = sch->jobs[sch->tasks[t].job].row;

		if (job->state == BD_JOB_RUNNING && job->crashes == 0 &&
		    job->started_ms >= probation->since_ms &&
		    sch->now_ms - job->started_ms >=
			QUARANTINE_PROBATION_RUN_MS)
			return true;
	}
	return worker->first_task == SCH_NONE &&
	    sch->now_ms - probation->since_ms >= QUARANTINE_PROBATION_IDLE_MS;
}

static void
end_probation(struct sch *sch, struct sch_probation *probation)
{
	*probation = sch->probations[--sch->probation_count];
}

/* Returns the duration (ms) of the next quarantine of a worker; it doubles with
 * each quarantine. */
static int64_t
backoff_ms(const struct bd_worker *row)
{
	uint32_t doublings =
	    row->quarantine_count < 10 ? row->quarantine_count : 10;
	int64_t backoff = (int64_t)QUARANTINE_BASE_MS << doublings;

	return backoff < QUARANTINE_MAX_MS ? backoff : QUARANTINE_MAX_MS;
}

/* Proposes a quarantine of a worker until a time, or its end if until_ms is
 * 0. */
static int
propose_quarantine(
    struct sch *sch, const struct sch_worker *worker, int64_t until_ms)
{
	struct rec rec = {.kind = REC_QUARANTINE};

	rec.body.quarantine.worker = worker->row->id;
	rec.body.quarantine.epoch = worker->row->epoch;
	rec.body.quarantine.until_ms = until_ms;
	return sch_propose(sch, &rec);
}

/* Proposes to end the quarantine of a worker and puts it on probation, unless
 * the table of probations is full. */
static int
start_probation(struct sch *sch, const struct sch_worker *worker)
{
	struct sch_probation *probation;

	if (sch->probation_count < SCH_PROBATIONS_MAX) {
		probation = &sch->probations[sch->probation_count++];
		probation->worker = worker->row->id;
		probation->since_ms = sch->now_ms;
	}
	return propose_quarantine(sch, worker, 0);
}

/* Quarantines a faulty worker if the cap allows it, or ends its quarantine or
 * probation. A failure during probation starts a longer quarantine. *remaining
 * is the number of workers that may still be quarantined. */
static int
update_worker(struct sch *sch, struct sch_worker *worker, uint32_t *remaining)
{
	const struct bd_worker *row = worker->row;
	struct sch_probation *probation = sch_probation_lookup(sch, row->id);
	bool failed = probation != NULL && row->consecutive_failures > 0;
	uint32_t s;

	if (row->state != BD_WORKER_UP)
		return CW_OK;
	if (worker->quarantined) {
		if (row->quarantine_until_ms > sch->now_ms)
			return CW_OK;
		return start_probation(sch, worker);
	}
	if (!failed && !is_worker_faulty(sch, worker)) {
		if (probation != NULL &&
		    has_passed_probation(sch, worker, probation))
			end_probation(sch, probation);
		return CW_OK;
	}
	if (*remaining == 0)
		return CW_OK;
	(*remaining)--;
	if (probation != NULL)
		end_probation(sch, probation);
	worker->usable = false;
	worker->quarantined = true;
	for (s = worker->first_segment; s != SCH_NONE;
	     s = sch->segments[s].next_on_worker)
		sch->promises[sch->segments[s].promise].valid = false;
	return propose_quarantine(sch, worker, sch->now_ms + backoff_ms(row));
}

/* Preempts the gangs on leaving workers, so that they are checkpointed and
 * moved while the worker still runs. */
static int
drain_leaving_workers(struct sch *sch)
{
	uint32_t w;
	uint32_t t;
	int code = CW_OK;

	for (w = 0; w < sch->worker_count; w++) {
		if (sch->workers[w].row->state != BD_WORKER_LEAVING)
			continue;
		for (t = sch->workers[w].first_task;
		     t != SCH_NONE && code == CW_OK && sch_has_budget(sch);
		     t = sch->tasks[t].next_on_worker)
			if (!sch->jobs[sch->tasks[t].job].victim)
				code = sch_preempt(sch, sch->tasks[t].job,
				    SCH_NONE, BD_REASON_WORKER_LOST);
	}
	return code;
}

/* Returns on how many workers a job has failed that are not faulty
 * themselves. */
static uint32_t
count_healthy_workers(const struct sch *sch, const struct bd_job *job)
{
	uint32_t healthy_count = 0;
	uint32_t i;

	for (i = 0; i < BD_JOB_FAILED_WORKERS_MAX; i++) {
		uint32_t w = job->failed_workers[i] == 0
		    ? SCH_NONE
		    : sch_index_get(&sch->worker_index, job->failed_workers[i]);

		if (w != SCH_NONE && !sch->workers[w].quarantined &&
		    !sch->workers[w].probation &&
		    !is_worker_faulty(sch, &sch->workers[w]))
			healthy_count++;
	}
	return healthy_count;
}

/* A job is considered faulty if it failed on several healthy workers, or if its
 * workers crashed once and then twice while it was apart from others. Where the
 * workers may be the cause, it gets two more attempts. */
static bool
is_job_faulty(const struct sch *sch, const struct bd_job *job)
{
	if (job->crashes >= JOB_CRASHES_MAX)
		return job->crashes >= JOB_CRASHES_MAX + 2 ||
		    count_healthy_workers(sch, job) >= JOB_CRASHES_MAX - 1;
	return job->failures >= QUARANTINE_FAILURES &&
	    count_healthy_workers(sch, job) >= QUARANTINE_FAILURES;
}

static int
fail_job(struct sch *sch, struct sch_job *job)
{
	const struct bd_job *row = job->row;

	job->decided = true;
	if (row->crashes >= JOB_CRASHES_MAX)
		ev_emit(EV_SCHED_JOB_CRASHES,
		    "job=%llu worker=%016llx crashes=%u attempts=%u",
		    (unsigned long long)row->id,
		    (unsigned long long)row->failed_workers[0], row->crashes,
		    row->attempts);
	return sch_fail_waiting_job(sch, row, BD_REASON_JOB_FAILED_REPEATEDLY);
}

/*
 * Quarantines faulty workers and fails faulty jobs. Workers are checked first,
 * so that a failure on a worker quarantined by the same decision is not
 * attributed to the job. At most the configured fraction of all workers is
 * quarantined at a time, but with four or more workers at least one may be,
 * unless the fraction is 0. Returns the sink's status.
 */
int
sch_quarantine_run(struct sch *sch)
{
	uint32_t limit = (uint32_t)((uint64_t)sch->worker_count *
	    sch->config->quarantine_cap_milli / 1000);
	uint32_t used = 0;
	uint32_t remaining;
	uint32_t i;
	int code = CW_OK;

	if (limit == 0 && sch->worker_count >= 4 &&
	    sch->config->quarantine_cap_milli > 0)
		limit = 1;
	for (i = 0; i < sch->worker_count; i++)
		used += sch->workers[i].quarantined;
	remaining = used < limit ? limit - used : 0;
	for (i = 0; i < sch->worker_count && code == CW_OK; i++)
		if (sch_has_budget(sch))
			code = update_worker(sch, &sch->workers[i], &remaining);
	if (code == CW_OK)
		code = drain_leaving_workers(sch);
	for (i = 0; i < sch->waiting_count && code == CW_OK; i++) {
		struct sch_job *job = &sch->jobs[sch->waiting[i]];

		if (!sch_has_budget(sch) || !is_job_faulty(sch, job->row))
			continue;
		code = fail_job(sch, job);
	}
	return code;
}
