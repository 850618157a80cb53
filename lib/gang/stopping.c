#include <string.h>

#include "gang_internal.h"

/* The members that have not stopped. */
struct unstopped {
	uint32_t count;
	uint32_t reachable; /* on workers that are not lost */
	uint32_t crash_checks;
	int64_t may_run_until_ms; /* on workers that are not lost */
	int64_t check_until_ms;   /* see gang_crash_check_until */
};

static bool is_available(const struct bd_board *board, uint64_t vm);
static void propose_ended(struct gang_step *step);
static int64_t may_run_until(
    const struct gang_step *step, const struct gang_member *member);
static void call_unstopped(struct gang_step *step, struct unstopped *unstopped);
static bool is_reclaimed(const struct gang_step *step);
static int64_t end_deadline(
    const struct gang_step *step, const struct unstopped *unstopped);

/* Returns whether an entry VM can act for the jobs that it owns. */
static bool
is_available(const struct bd_board *board, uint64_t vm)
{
	const struct bd_member *member = bd_member_lookup(board, vm);

	return member != NULL &&
	    (member->state == BD_MEMBER_ALIVE ||
		member->state == BD_MEMBER_LEAVING);
}

/*
 * Returns whether this VM renews leases in place of the job's owner: the owner
 * is suspect, dead or unknown, and this VM has the highest rendezvous hash of
 * all live members. If membership views differ, two VMs may both renew, which
 * is harmless.
 */
bool
gang_is_standby(
    const struct bd_board *board, const struct bd_job *job, uint64_t self)
{
	uint64_t own_hash = cw_id_from_pair(job->id, self);
	const struct bd_member *member;
	uint32_t cursor = 0;

	if (job->state != BD_JOB_PLACED && job->state != BD_JOB_RUNNING &&
	    job->state != BD_JOB_PREEMPTING)
		return false;
	if (job->owner == self || is_available(board, job->owner))
		return false;
	member = bd_member_lookup(board, self);
	if (member == NULL || member->state != BD_MEMBER_ALIVE)
		return false;
	while ((member = bd_member_next(board, &cursor)) != NULL)
		if (member->id != self && member->state == BD_MEMBER_ALIVE &&
		    cw_id_from_pair(job->id, member->id) > own_hash)
			return false;
	return true;
}

/*
 * Renews leases for an unavailable owner and does nothing else. The gang is
 * renewed only while reports show all its members running or done: a gang that
 * the owner left half started, or that has lost a member, must expire.
 */
void
gang_standby_step(struct gang_step *step)
{
	struct gang *gang = step->gang;
	uint32_t answered = 0, intact = 0, i;

	if (step->now_ms >= gang->next_report_ms) {
		gang->next_report_ms =
		    step->now_ms + step->settings->renew_interval_ms;
		gang->round_active = true;
		for (i = 0; i < gang->member_count; i++)
			gang->members[i].probe_state = GANG_PROBE_PENDING;
	}
	gang_wake_at(step, gang->next_report_ms);
	if (!gang->round_active)
		return;
	for (i = 0; i < gang->member_count; i++) {
		struct gang_member *member = &gang->members[i];

		if (member->probe_state == GANG_PROBE_PENDING &&
		    member->verb == GANG_VERB_NONE)
			gang_call_start(step, i, GANG_VERB_REPORTS);
		answered += member->probe_state != GANG_PROBE_PENDING;
		intact += member->probe_state == GANG_PROBE_ANSWERED &&
		    (member->reported_state == PF_TASK_RUNNING ||
			member->reported_state == PF_TASK_DONE);
	}
	if (answered < gang->member_count)
		return;
	gang->round_active = false;
	if (intact < gang->member_count)
		return;
	for (i = 0; i < gang->member_count; i++)
		if (gang->members[i].reported_state == PF_TASK_RUNNING)
			gang_call_start(step, i, GANG_VERB_RENEW);
}

/* Proposes GANG_ENDED, every retry_ms while the job's row has this token. */
static void
propose_ended(struct gang_step *step)
{
	struct gang *gang = step->gang;
	struct rec rec = {.kind = REC_GANG_ENDED};

	if (gang->next_proposal_ms <= step->now_ms) {
		rec.body.gang_ended.job = gang->job;
		rec.body.gang_ended.token = gang->token;
		rec.body.gang_ended.worker = gang->failed_worker;
		rec.body.gang_ended.outcome = gang->outcome;
		rec.body.gang_ended.reason = gang->reason;
		rec.body.gang_ended.progress_ms = gang->progress_ms;
		step->out->sink.propose(step->out->sink.ctx, &rec, NULL);
		gang->next_proposal_ms =
		    step->now_ms + step->settings->retry_ms;
	}
	gang_wake_at(step, gang->next_proposal_ms);
}

/* Returns until when a member that has not stopped may run (ms), 0: it was not
 * started. An earlier owner may have set its lease until this VM took over. */
static int64_t
may_run_until(const struct gang_step *step, const struct gang_member *member)
{
	const struct gang *gang = step->gang;

	if (gang->stopped_phase == GANG_PHASE_RUNNING)
		return step->settings->lease_ms +
		    (member->lease_set_ms > gang->lease_valid_from_ms
			    ? member->lease_set_ms
			    : gang->lease_valid_from_ms);
	if (gang->was_started || gang->start_unknown ||
	    gang->stopped_phase == GANG_PHASE_STARTING)
		return gang->phase_since_ms + step->settings->lease_ms;
	return 0;
}

/* Calls the members that have not stopped. A member whose worker may have
 * crashed is asked for a report before and after the call to stop. */
static void
call_unstopped(struct gang_step *step, struct unstopped *unstopped)
{
	struct gang *gang = step->gang;
	uint32_t i;

	memset(unstopped, 0, sizeof(*unstopped));
	for (i = 0; i < gang->member_count; i++) {
		struct gang_member *member = &gang->members[i];
		bool ask = member->crash_check == GANG_CRASH_ASK;
		int64_t until_ms;

		gang_crash_note_loss(step, member);
		until_ms = gang_crash_check_until(step, member);
		if (until_ms > unstopped->check_until_ms)
			unstopped->check_until_ms = until_ms;
		if (member->stopped && !ask)
			continue;
		unstopped->count += !member->stopped;
		if (!member->stopped &&
		    !gang_worker_is_lost(step->board, member->worker)) {
			unstopped->reachable++;
			until_ms = may_run_until(step, member);
			if (until_ms > unstopped->may_run_until_ms)
				unstopped->may_run_until_ms = until_ms;
		}
		unstopped->crash_checks += !member->stopped &&
		    (ask || member->crash_check == GANG_CRASH_UNKNOWN);
		if (member->verb == GANG_VERB_STOP ||
		    (ask && member->verb == GANG_VERB_REPORTS))
			continue;
		if (member->due_ms <= step->now_ms)
			gang_call_start(
			    step, i, ask ? GANG_VERB_REPORTS : GANG_VERB_STOP);
		else
			gang_wake_at(step, member->due_ms);
	}
}

/* Returns whether the attempt ends for a reclaim, which has a bound. */
static bool
is_reclaimed(const struct gang_step *step)
{
	return step->job != NULL && step->job->state == BD_JOB_PREEMPTING &&
	    step->job->reason == BD_REASON_RECLAIMED;
}

/* Returns when the end of the attempt is recorded at the latest (ms), apart
 * from checks of workers that are lost or have stopped the member. */
static int64_t
end_deadline(const struct gang_step *step, const struct unstopped *unstopped)
{
	const struct gang_settings *settings = step->settings;
	int64_t deadline_ms = step->gang->phase_since_ms +
	    (unstopped->crash_checks > 0 ? settings->crash_timeout_ms
					 : settings->stop_timeout_ms);

	if (is_reclaimed(step))
		return step->gang->phase_since_ms + settings->stop_timeout_ms;
	return deadline_ms > unstopped->may_run_until_ms
	    ? deadline_ms
	    : unstopped->may_run_until_ms;
}

/*
 * Stops the members and records the end of the attempt, after a crash of one of
 * its workers. Before that, workers that do not answer are given
 * stop_timeout_ms, and until the leases of members that may still run have
 * expired: the job must not run a second time beside these. For a reclaim,
 * which has a bound, stop_timeout_ms is all, as tokens fence the accelerators.
 * The stop is repeated until every worker has answered or lease_ms has passed.
 */
void
gang_stopping_step(struct gang_step *step)
{
	const struct gang_settings *settings = step->settings;
	struct gang *gang = step->gang;
	struct unstopped unstopped;
	bool recorded;

	call_unstopped(step, &unstopped);
	recorded = gang_crash_record(step);
	if (unstopped.check_until_ms > step->now_ms && !is_reclaimed(step)) {
		gang_wake_at(step, unstopped.check_until_ms);
		recorded = false;
	}
	if (step->job == NULL) {
		if ((unstopped.count == 0 && recorded) ||
		    step->now_ms >= gang->phase_since_ms + settings->lease_ms)
			gang->phase = GANG_PHASE_FINISHED;
		else
			gang_wake_at(
			    step, gang->phase_since_ms + settings->lease_ms);
	} else if (unstopped.reachable == 0 ||
	    step->now_ms >= end_deadline(step, &unstopped)) {
		if (recorded)
			propose_ended(step);
	} else {
		gang_wake_at(step, end_deadline(step, &unstopped));
	}
}
