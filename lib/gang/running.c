#include "gang_internal.h"

/* Time from the start of a suspect to its first checkpoint. */
#define SUSPECT_CHECKPOINT_MS (ST_CRASH_FREE_RUN_MS + 1000)

static bool is_done(const struct gang_member *member);
static bool renew_leases(struct gang_step *step);
static int64_t report_interval(const struct gang_step *step);
static void request_reports(struct gang_step *step);
static bool call_members_in_state(
    struct gang_step *step, uint32_t state, uint32_t verb);

static bool
is_done(const struct gang_member *member)
{
	return member->reported_state == PF_TASK_DONE;
}

/*
 * Renews the leases that are due and ends the attempt if one has expired.
 * Returns whether all leases are confirmed, that is, were set since the gang
 * was taken over or this VM was last paused.
 */
static bool
renew_leases(struct gang_step *step)
{
	const struct gang_settings *settings = step->settings;
	struct gang *gang = step->gang;
	bool confirmed = true;
	uint32_t i;

	for (i = 0; i < gang->member_count; i++) {
		struct gang_member *member = &gang->members[i];
		bool is_confirmed =
		    member->lease_set_ms >= gang->lease_valid_from_ms;
		/* An unconfirmed lease counts as set one renewal interval
		 * before lease_valid_from_ms. */
		int64_t expiry_ms = is_confirmed
		    ? member->lease_set_ms + settings->lease_ms
		    : gang->lease_valid_from_ms + settings->lease_ms -
			settings->renew_interval_ms;

		if (is_done(member))
			continue;
		if (step->now_ms >= expiry_ms) {
			gang_fail(step, BD_REASON_LEASE_EXPIRED, member);
			return false;
		}
		gang_wake_at(step, expiry_ms);
		if (!is_confirmed) {
			confirmed = false;
			if (member->verb == GANG_VERB_NONE &&
			    !member->renew_refused &&
			    member->due_ms > step->now_ms + settings->retry_ms)
				member->due_ms = step->now_ms;
		}
		if (member->verb != GANG_VERB_NONE)
			continue;
		if (member->due_ms <= step->now_ms)
			gang_call_start(step, i,
			    member->renew_refused ? GANG_VERB_REPORTS
						  : GANG_VERB_RENEW);
		else
			gang_wake_at(step, member->due_ms);
	}
	return confirmed;
}

/* Proposes GANG_STARTED, every retry_ms until the job's row shows the start. */
void
gang_propose_started(struct gang_step *step)
{
	struct gang *gang = step->gang;
	struct rec rec = {.kind = REC_GANG_STARTED};

	if (step->job->started_ms != 0)
		return;
	if (gang->next_proposal_ms <= step->now_ms) {
		rec.body.gang_started.job = gang->job;
		rec.body.gang_started.token = gang->token;
		step->out->sink.propose(step->out->sink.ctx, &rec, NULL);
		gang->next_proposal_ms =
		    step->now_ms + step->settings->retry_ms;
	}
	gang_wake_at(step, gang->next_proposal_ms);
}

/* Returns the interval between reports (ms): a sixteenth of the run time,
 * within the limits of the settings. The end of a short gang is thus noticed
 * soon, and reports on long ones stay a small part of the control traffic. */
static int64_t
report_interval(const struct gang_step *step)
{
	const struct gang_settings *settings = step->settings;
	int64_t interval = (step->now_ms - step->gang->phase_since_ms) / 16;

	if (interval < settings->report_interval_min_ms)
		interval = settings->report_interval_min_ms;
	return interval < settings->report_interval_max_ms
	    ? interval
	    : settings->report_interval_max_ms;
}

/* Asks for the reports that are due. */
static void
request_reports(struct gang_step *step)
{
	struct gang *gang = step->gang;
	uint32_t i;

	if (gang->next_report_ms <= step->now_ms) {
		for (i = 0; i < gang->member_count; i++)
			if (!is_done(&gang->members[i]) &&
			    gang->members[i].verb == GANG_VERB_NONE)
				gang_call_start(step, i, GANG_VERB_REPORTS);
		gang->next_report_ms = step->now_ms + report_interval(step);
	}
	gang_wake_at(step, gang->next_report_ms);
}

/* Begins a checkpoint of all members. */
void
gang_checkpoint_begin(struct gang *gang)
{
	uint32_t i;

	gang->round_active = true;
	for (i = 0; i < gang->member_count; i++)
		gang->members[i].checkpoint_state = GANG_CHECKPOINT_PENDING;
}

/* Calls each member that is in the checkpoint state; returns whether none is
 * left in it. */
static bool
call_members_in_state(struct gang_step *step, uint32_t state, uint32_t verb)
{
	struct gang *gang = step->gang;
	bool none_left = true;
	uint32_t i;

	for (i = 0; i < gang->member_count; i++) {
		if (is_done(&gang->members[i]) ||
		    gang->members[i].checkpoint_state != state)
			continue;
		none_left = false;
		if (gang->members[i].verb == GANG_VERB_NONE)
			gang_call_start(step, i, verb);
	}
	return none_left;
}

/*
 * Continues a checkpoint: every worker makes one, then reports give the
 * progress that each covers, and the smallest is recorded. Returns whether the
 * checkpoint is complete; if a member could not make one, the checkpoint is
 * repeated after retry_ms.
 */
bool
gang_checkpoint_step(struct gang_step *step)
{
	struct gang *gang = step->gang;
	struct rec rec = {.kind = REC_CHECKPOINT};
	int64_t progress_ms = INT64_MAX;
	bool complete = true;
	uint32_t i;

	if (!call_members_in_state(
		step, GANG_CHECKPOINT_PENDING, GANG_VERB_CHECKPOINT) ||
	    !call_members_in_state(
		step, GANG_CHECKPOINT_TAKEN, GANG_VERB_REPORTS))
		return false;
	gang->round_active = false;
	for (i = 0; i < gang->member_count; i++) {
		const struct gang_member *member = &gang->members[i];

		if (is_done(member))
			continue;
		complete = complete &&
		    member->checkpoint_state == GANG_CHECKPOINT_CONFIRMED;
		if (member->checkpoint_ms < progress_ms)
			progress_ms = member->checkpoint_ms;
	}
	gang->next_checkpoint_ms = step->now_ms +
	    (complete ? step->settings->checkpoint_interval_ms
		      : step->settings->retry_ms);
	if (!complete || progress_ms == INT64_MAX ||
	    progress_ms <= gang->progress_ms)
		return complete;
	gang->progress_ms = progress_ms;
	rec.body.checkpoint.job = gang->job;
	rec.body.checkpoint.token = gang->token;
	rec.body.checkpoint.progress_ms = progress_ms;
	step->out->sink.propose(step->out->sink.ctx, &rec, NULL);
	return true;
}

/*
 * Handles a running gang. Nothing is done before all leases are confirmed,
 * except that the end of all tasks is noticed and a preemption takes effect at
 * its deadline.
 */
void
gang_running_step(struct gang_step *step)
{
	struct gang *gang = step->gang;
	const struct bd_job *job = step->job;
	bool preempt = job->state == BD_JOB_PREEMPTING;
	uint32_t done = 0, i;
	bool confirmed;

	if (gang->next_checkpoint_ms == 0)
		gang->next_checkpoint_ms =
		    step->now_ms + step->settings->checkpoint_interval_ms;
	for (i = 0; i < gang->member_count; i++)
		done += is_done(&gang->members[i]);
	if (done == gang->member_count) {
		gang_stop_begin(step, REC_OUTCOME_DONE, BD_REASON_NONE, 0);
		return;
	}
	if (preempt && job->preempt_deadline_ms <= step->now_ms) {
		gang_stop_begin(step, REC_OUTCOME_RETRY, job->reason, 0);
		return;
	}
	if (preempt)
		gang_wake_at(step, job->preempt_deadline_ms);
	confirmed = renew_leases(step);
	if (gang->phase != GANG_PHASE_RUNNING || !confirmed)
		return;
	gang_propose_started(step);
	/* The checkpoint of a suspect ends the suspicion. */
	if (job->crashes > 0 && job->started_ms != 0 &&
	    gang->next_checkpoint_ms >
		gang->phase_since_ms + SUSPECT_CHECKPOINT_MS &&
	    !gang->suspect_checked) {
		gang->suspect_checked = true;
		gang->next_checkpoint_ms =
		    gang->phase_since_ms + SUSPECT_CHECKPOINT_MS;
	}
	if (!gang->round_active &&
	    (gang->next_checkpoint_ms <= step->now_ms ||
		(preempt && !gang->preempt_checkpoint_begun))) {
		gang->preempt_checkpoint_begun = preempt;
		gang_checkpoint_begin(gang);
	}
	if (gang->round_active && gang_checkpoint_step(step) && preempt) {
		gang_stop_begin(step, REC_OUTCOME_RETRY, job->reason, 0);
		return;
	}
	gang_wake_at(step, gang->next_checkpoint_ms);
	request_reports(step);
}
