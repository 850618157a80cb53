#include <assert.h>

#include "scheduler_internal.h"

/* Needs that are known to fit and spare searches for smaller ones. */
#define FITTING_NEEDS_MAX 16

static int64_t workers_changed_ms(const struct sch *sch);

/* Returns true if the job would fit on all known workers, including lost ones,
 * if they were idle and had all that they have had: one that has shrunk may
 * grow again. */
bool
sch_is_schedulable(struct sch *sch, const struct bd_job *job)
{
	struct sch_need need = sch_need_of(&job->shape);
	uint32_t w;

	for (w = 0; w < sch->worker_count; w++) {
		const struct bd_worker *row = sch->workers[w].row;
		struct sch_resources *most = &sch->available[w];

		*most = sch->workers[w].capacity;
		if (row->is_shrunk == 0)
			continue;
		most->mask = sch_mask_lowest(UINT32_MAX, row->most_accels);
		most->cores = row->most_cores_milli;
		most->memory = row->most_memory_mb;
	}
	return sch_region_fits(
	    sch, sch->available, &need, job->cross_region != 0);
}

/* Proposes to fail a waiting job. The token of the record is 0 because the job
 * is not placed. Returns the sink's status. */
int
sch_fail_waiting_job(
    struct sch *sch, const struct bd_job *job, enum bd_reason reason)
{
	struct rec rec = {.kind = REC_GANG_ENDED};

	assert(job->state == BD_JOB_WAITING);
	rec.body.gang_ended.job = job->id;
	rec.body.gang_ended.outcome = REC_OUTCOME_FAILED;
	rec.body.gang_ended.reason = reason;
	rec.body.gang_ended.progress_ms = job->progress_ms;
	return sch_propose(sch, &rec);
}

/* Returns when the facts of a worker last changed (ms). */
static int64_t
workers_changed_ms(const struct sch *sch)
{
	int64_t changed_ms = 0;
	uint32_t w;

	for (w = 0; w < sch->worker_count; w++)
		if (sch->workers[w].row->changed_ms > changed_ms)
			changed_ms = sch->workers[w].row->changed_ms;
	return changed_ms;
}

/* Proposes to fail the waiting jobs that are too large for all known workers. A
 * job that was placed before has fit and waits for the room to grow again. Jobs
 * no larger than one already found to fit are skipped, so a burst of jobs needs
 * few searches. Returns the sink's status. */
int
sch_unschedulable_run(struct sch *sch)
{
	struct sch_need fitting[FITTING_NEEDS_MAX];
	uint32_t count = 0;
	uint32_t i;
	int code = CW_OK;

	if (sch->now_ms - workers_changed_ms(sch) < SCH_UNSCHEDULABLE_GRACE_MS)
		return CW_OK;
	for (i = 0; i < sch->waiting_count && code == CW_OK; i++) {
		struct sch_job *job = &sch->jobs[sch->waiting[i]];
		struct sch_need need = sch_need_of(&job->row->shape);
		bool covered = false;
		uint32_t f;

		if (job->decided || sch->worker_count == 0 ||
		    job->row->attempts > 0 ||
		    sch->now_ms - job->row->submitted_ms <
			SCH_UNSCHEDULABLE_GRACE_MS)
			continue;
		for (f = 0; f < count && !covered; f++)
			covered = sch_need_covers(&fitting[f], &need);
		if (covered || !sch_has_budget(sch))
			continue;
		if (sch_is_schedulable(sch, job->row)) {
			if (count < FITTING_NEEDS_MAX &&
			    job->row->cross_region == 0)
				fitting[count++] = need;
			continue;
		}
		job->decided = true;
		code = sch_fail_waiting_job(
		    sch, job->row, BD_REASON_FITS_NO_WORKER);
	}
	return code;
}
