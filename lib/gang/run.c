#include "gang_internal.h"

static bool is_done(const struct gang_member *member);
static bool renew_due(struct gang_turn *turn);
static void propose_started(struct gang_turn *turn);
static int64_t report_interval(const struct gang_turn *turn);
static void ask_reports(struct gang_turn *turn);
static bool save_step(struct gang_turn *turn, uint32_t state, uint32_t verb);

static bool
is_done(const struct gang_member *member)
{
	return member->report == PF_TASK_DONE;
}

/*
 * Renews what is due and ends the attempt where a lease has lapsed. Returns
 * whether all leases are proved, that is, were set since the gang was taken
 * over or this VM was last paused.
 */
static bool
renew_due(struct gang_turn *turn)
{
	const struct gang_settings *set = turn->settings;
	struct gang *gang = turn->gang;
	bool proved = true;
	uint32_t i;

	for (i = 0; i < gang->member_count; i++) {
		struct gang_member *member = &gang->members[i];
		bool is_proved = member->leased_ms >= gang->proving_ms;
		int64_t lapse_ms = is_proved
		    ? member->leased_ms + set->lease_ms
		    : gang->proving_ms + set->lease_ms - set->renew_ms;

		if (is_done(member))
			continue;
		if (turn->now_ms >= lapse_ms) {
			gang_fail(turn, BD_REASON_LEASE_LAPSED, member);
			return false;
		}
		gang_wake_at(turn, lapse_ms);
		if (!is_proved) {
			proved = false;
			if (member->verb == GANG_NONE && !member->doubted &&
			    member->due_ms > turn->now_ms + set->retry_ms)
				member->due_ms = turn->now_ms;
		}
		if (member->verb != GANG_NONE)
			continue;
		if (member->due_ms <= turn->now_ms)
			gang_call_make(turn, i,
			    member->doubted ? GANG_REPORTS : GANG_RENEW);
		else
			gang_wake_at(turn, member->due_ms);
	}
	return proved;
}

static void
propose_started(struct gang_turn *turn)
{
	struct gang *gang = turn->gang;
	struct rec rec = {.kind = REC_GANG_STARTED};

	if (turn->job->started_ms != 0)
		return;
	if (gang->propose_ms <= turn->now_ms) {
		rec.body.gang_started.job = gang->job;
		rec.body.gang_started.token = gang->token;
		turn->out->sink.propose(turn->out->sink.ctx, &rec, NULL);
		gang->propose_ms = turn->now_ms + turn->settings->retry_ms;
	}
	gang_wake_at(turn, gang->propose_ms);
}

/* Short gangs are asked often, so that their end is seen soon; long ones
 * seldom, so that reports stay a small part of the control traffic. */
static int64_t
report_interval(const struct gang_turn *turn)
{
	const struct gang_settings *set = turn->settings;
	int64_t interval = (turn->now_ms - turn->gang->since_ms) / 16;

	if (interval < set->report_min_ms)
		interval = set->report_min_ms;
	return interval < set->report_max_ms ? interval : set->report_max_ms;
}

static void
ask_reports(struct gang_turn *turn)
{
	struct gang *gang = turn->gang;
	uint32_t i;

	if (gang->report_ms <= turn->now_ms) {
		for (i = 0; i < gang->member_count; i++)
			if (!is_done(&gang->members[i]) &&
			    gang->members[i].verb == GANG_NONE)
				gang_call_make(turn, i, GANG_REPORTS);
		gang->report_ms = turn->now_ms + report_interval(turn);
	}
	gang_wake_at(turn, gang->report_ms);
}

/* Starts a checkpoint of all members. */
void
gang_save_begin(struct gang *gang)
{
	uint32_t i;

	gang->saving = true;
	for (i = 0; i < gang->member_count; i++)
		gang->members[i].saved = GANG_SAVED_NOT;
}

/* Calls each member in the state; returns whether none is left in it. */
static bool
save_step(struct gang_turn *turn, uint32_t state, uint32_t verb)
{
	struct gang *gang = turn->gang;
	bool none = true;
	uint32_t i;

	for (i = 0; i < gang->member_count; i++) {
		if (is_done(&gang->members[i]) ||
		    gang->members[i].saved != state)
			continue;
		none = false;
		if (gang->members[i].verb == GANG_NONE)
			gang_call_make(turn, i, verb);
	}
	return none;
}

/*
 * Goes on with a checkpoint: every worker saves, then the reports tell what
 * was saved, and the least of it is recorded. Returns whether the checkpoint
 * is complete; one that a member could not make is tried again.
 */
bool
gang_save_go_on(struct gang_turn *turn)
{
	struct gang *gang = turn->gang;
	struct rec rec = {.kind = REC_CHECKPOINT};
	int64_t progress_ms = INT64_MAX;
	bool whole = true;
	uint32_t i;

	if (!save_step(turn, GANG_SAVED_NOT, GANG_CHECKPOINT) ||
	    !save_step(turn, GANG_SAVED_ASKED, GANG_REPORTS))
		return false;
	gang->saving = false;
	for (i = 0; i < gang->member_count; i++) {
		const struct gang_member *member = &gang->members[i];

		if (is_done(member))
			continue;
		whole = whole && member->saved == GANG_SAVED_READ;
		if (member->checkpoint_ms < progress_ms)
			progress_ms = member->checkpoint_ms;
	}
	gang->save_ms = turn->now_ms +
	    (whole ? turn->settings->checkpoint_ms : turn->settings->retry_ms);
	if (!whole || progress_ms == INT64_MAX ||
	    progress_ms <= gang->progress_ms)
		return whole;
	gang->progress_ms = progress_ms;
	rec.body.checkpoint.job = gang->job;
	rec.body.checkpoint.token = gang->token;
	rec.body.checkpoint.progress_ms = progress_ms;
	turn->out->sink.propose(turn->out->sink.ctx, &rec, NULL);
	return true;
}

/*
 * A running gang: leases first. Nothing else is done before they are proved,
 * except that a preemption is obeyed at its deadline.
 */
void
gang_run(struct gang_turn *turn)
{
	struct gang *gang = turn->gang;
	const struct bd_job *job = turn->job;
	bool preempt = job->state == BD_JOB_PREEMPTING;
	uint32_t done = 0, i;
	bool proved;

	if (gang->save_ms == 0)
		gang->save_ms = turn->now_ms + turn->settings->checkpoint_ms;
	for (i = 0; i < gang->member_count; i++)
		done += is_done(&gang->members[i]);
	if (done == gang->member_count) {
		gang_stop_begin(turn, REC_OUTCOME_DONE, BD_REASON_NONE, 0);
		return;
	}
	if (preempt && job->preempt_deadline_ms <= turn->now_ms) {
		gang_stop_begin(turn, REC_OUTCOME_RETRY, job->reason, 0);
		return;
	}
	if (preempt)
		gang_wake_at(turn, job->preempt_deadline_ms);
	proved = renew_due(turn);
	if (gang->phase != GANG_RUNNING || !proved)
		return;
	propose_started(turn);
	if (!gang->saving &&
	    (gang->save_ms <= turn->now_ms || (preempt && !gang->preempted))) {
		gang->preempted = preempt;
		gang_save_begin(gang);
	}
	if (gang->saving && gang_save_go_on(turn) && preempt) {
		gang_stop_begin(turn, REC_OUTCOME_RETRY, job->reason, 0);
		return;
	}
	gang_wake_at(turn, gang->save_ms);
	ask_reports(turn);
}
