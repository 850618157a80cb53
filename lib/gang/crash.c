#include "gang_internal.h"

/* Workers that are lost within this time of each other may have a common cause,
 * such as the power of a rack. */
#define COMMON_CAUSE_MS 10000
#define COMMON_CAUSE_WORKERS 3
/* The records of a common loss are applied within this time. */
#define LOSS_SETTLE_MS 500

static bool runs_on(const struct gang *gang, uint64_t worker);
static bool has_common_cause(
    const struct gang_step *step, const struct bd_worker *lost);
static bool is_lost_without_notice(const struct bd_worker *row);
static bool has_crashed(
    const struct gang_step *step, const struct gang_member *member);

/* Returns whether a member of the gang is placed on a worker. */
static bool
runs_on(const struct gang *gang, uint64_t worker)
{
	uint32_t i;

	for (i = 0; i < gang->member_count; i++)
		if (gang->members[i].worker == worker)
			return true;
	return false;
}

/* Returns whether other workers, which the gang does not use, were lost at the
 * same time. Linear in the workers. */
static bool
has_common_cause(const struct gang_step *step, const struct bd_worker *lost)
{
	const struct bd_worker *row;
	uint32_t cursor = 0, others = 0;

	while (others < COMMON_CAUSE_WORKERS &&
	    (row = bd_worker_next(step->board, &cursor)) != NULL)
		others += row->state == BD_WORKER_LOST &&
		    row->was_leaving == 0 &&
		    row->changed_ms - lost->changed_ms < COMMON_CAUSE_MS &&
		    lost->changed_ms - row->changed_ms < COMMON_CAUSE_MS &&
		    !runs_on(step->gang, row->id);
	return others >= COMMON_CAUSE_WORKERS;
}

static bool
is_lost_without_notice(const struct bd_worker *row)
{
	return row != NULL && row->state == BD_WORKER_LOST &&
	    row->was_leaving == 0;
}

/* Notes when the worker of a member is first seen to be lost. */
void
gang_crash_note_loss(struct gang_step *step, struct gang_member *member)
{
	if (member->lost_ms == 0 &&
	    gang_worker_is_lost(step->board, member->worker))
		member->lost_ms = step->now_ms;
}

/*
 * Returns until when the check of a member may hold up the record of the end
 * (ms), 0: it does not. A worker that is lost is asked once, and one that has
 * answered the call to stop is asked again.
 */
int64_t
gang_crash_check_until(
    const struct gang_step *step, const struct gang_member *member)
{
	const struct gang_settings *settings = step->settings;

	if (member->crash_check != GANG_CRASH_ASK &&
	    member->crash_check != GANG_CRASH_UNKNOWN)
		return 0;
	if (member->stopped)
		return member->crash_check == GANG_CRASH_ASK
		    ? member->stopped_ms + settings->stop_timeout_ms
		    : 0;
	if (!is_lost_without_notice(
		bd_worker_lookup(step->board, member->worker)))
		return 0;
	if (member->crash_check == GANG_CRASH_ASK && !member->unresponsive)
		return member->lost_ms + settings->stop_timeout_ms;
	return member->lost_ms + LOSS_SETTLE_MS;
}

/*
 * Returns whether a member's worker has crashed: it answers and does not know
 * the member, or it has been recorded as lost, without a notice that it was
 * leaving, and has not answered since the member failed. The platform's list
 * names a worker whose link is cut.
 */
static bool
has_crashed(const struct gang_step *step, const struct gang_member *member)
{
	const struct bd_worker *row =
	    bd_worker_lookup(step->board, member->worker);

	if (row != NULL && row->was_leaving != 0)
		return false;
	if (member->crash_check == GANG_CRASH_YES)
		return true;
	return is_lost_without_notice(row) && !member->stopped &&
	    (member->crash_check == GANG_CRASH_UNKNOWN ||
		(member->crash_check == GANG_CRASH_ASK &&
		    member->unresponsive)) &&
	    step->now_ms >= member->lost_ms + LOSS_SETTLE_MS &&
	    !has_common_cause(step, row);
}

/*
 * Proposes JOB_CRASH, every retry_ms, if a worker has crashed under the attempt
 * and the job's row does not show that yet. Returns whether nothing is left to
 * record.
 */
bool
gang_crash_record(struct gang_step *step)
{
	struct gang *gang = step->gang;
	const struct bd_job *job = bd_job_lookup(step->board, gang->job);
	struct rec rec = {.kind = REC_JOB_CRASH};
	uint32_t i;

	if (job == NULL || job->state >= BD_JOB_DONE ||
	    job->uncounted_attempts >= gang->attempt)
		return true;
	for (i = 0; i < gang->member_count; i++)
		if (has_crashed(step, &gang->members[i]))
			break;
	if (i == gang->member_count)
		return true;
	gang->crashed_worker = gang->members[i].worker;
	if (gang->next_crash_ms <= step->now_ms) {
		rec.body.job_crash.job = gang->job;
		rec.body.job_crash.token = gang->token;
		rec.body.job_crash.worker = gang->crashed_worker;
		rec.body.job_crash.attempt = gang->attempt;
		step->out->sink.propose(step->out->sink.ctx, &rec, NULL);
		gang->next_crash_ms = step->now_ms + step->settings->retry_ms;
	}
	gang_wake_at(step, gang->next_crash_ms);
	return false;
}
