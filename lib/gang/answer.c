#include <assert.h>

#include "gang_internal.h"

static bool is_unanswered(int status);
static void apply_progress(struct gang_member *member,
    const struct gang_answer *answer, const struct gang_settings *settings,
    int64_t now_ms);
static void apply_renewal(struct gang_member *member,
    const struct gang_answer *answer, const struct gang_settings *settings,
    int64_t now_ms);
static void apply_crash_check(struct gang_member *member,
    const struct gang_answer *answer, const struct gang_settings *settings,
    int64_t now_ms);
static void apply_stop(struct gang_member *member,
    const struct gang_answer *answer, const struct gang_settings *settings,
    int64_t now_ms);
static void apply_report(struct gang_member *member,
    const struct gang_answer *answer, const struct gang_settings *settings,
    int64_t now_ms);

static bool
is_unanswered(int status)
{
	return status != CW_OK && status != PF_EREFUSED;
}

/*
 * Returns when to renew next. Renewals of all gangs on one rack are due at the
 * same time, so that one message carries them all; the offset by rack spreads
 * the racks over the renewal interval.
 */
int64_t
gang_renew_due(const struct gang_member *member,
    const struct gang_settings *settings, int64_t now_ms)
{
	int64_t offset =
	    (int64_t)(member->rack % (uint64_t)settings->renew_interval_ms);

	return now_ms + settings->renew_interval_ms -
	    (now_ms + offset) % settings->renew_interval_ms;
}

/* Applies the answer to reserve, commit or start. A worker that does not
 * answer counts as a failed member, so that it is quarantined if it stays
 * unresponsive. */
static void
apply_progress(struct gang_member *member, const struct gang_answer *answer,
    const struct gang_settings *settings, int64_t now_ms)
{
	if (is_unanswered(answer->status)) {
		member->failure = BD_REASON_MEMBER_FAILED;
	} else if (answer->status != CW_OK) {
		member->failure = answer->verb == GANG_VERB_START
		    ? BD_REASON_LEASE_EXPIRED
		    : BD_REASON_RESERVE_REFUSED;
	} else {
		member->completed_verb = (uint8_t)answer->verb;
		if (answer->verb != GANG_VERB_RESERVE)
			member->lease_set_ms = answer->sent_ms;
		member->due_ms = gang_renew_due(member, settings, now_ms);
	}
}

static void
apply_renewal(struct gang_member *member, const struct gang_answer *answer,
    const struct gang_settings *settings, int64_t now_ms)
{
	if (answer->status == CW_OK) {
		member->lease_set_ms = answer->sent_ms;
		member->due_ms = gang_renew_due(member, settings, now_ms);
	} else {
		member->renew_refused = answer->status == PF_EREFUSED;
		member->due_ms = member->renew_refused
		    ? now_ms
		    : now_ms + settings->retry_ms;
	}
}

/* Applies the report on a member whose worker may have crashed. A missing
 * report alone does not tell whether the worker was asked. */
static void
apply_crash_check(struct gang_member *member, const struct gang_answer *answer,
    const struct gang_settings *settings, int64_t now_ms)
{
	bool reported =
	    answer->has_report && answer->report.state != PF_TASK_NONE;

	member->due_ms = now_ms;
	if (answer->status == CW_OK && reported)
		member->crash_check = GANG_CRASH_NO;
	else if (!member->stopped)
		member->crash_check = GANG_CRASH_UNKNOWN;
	else if (answer->status == CW_OK)
		member->crash_check = GANG_CRASH_YES;
	else
		member->due_ms = now_ms + settings->retry_ms;
}

/* PF_EREFUSED: the worker knows a higher token, so the member counts as
 * stopped. */
static void
apply_stop(struct gang_member *member, const struct gang_answer *answer,
    const struct gang_settings *settings, int64_t now_ms)
{
	member->stopped = !is_unanswered(answer->status);
	member->due_ms = now_ms + settings->retry_ms;
	if (member->stopped) {
		member->stopped_ms = now_ms;
		member->due_ms = now_ms;
	}
	if (member->crash_check == GANG_CRASH_UNKNOWN)
		member->crash_check = GANG_CRASH_ASK;
}

/* Applies a report. Reports may be stale, so only final states are relied
 * on. */
static void
apply_report(struct gang_member *member, const struct gang_answer *answer,
    const struct gang_settings *settings, int64_t now_ms)
{
	const struct pf_task_report *report = &answer->report;

	if (member->crash_check == GANG_CRASH_ASK)
		apply_crash_check(member, answer, settings, now_ms);
	if (answer->status != CW_OK) {
		member->probe_state = GANG_PROBE_FAILED;
		if (member->checkpoint_state == GANG_CHECKPOINT_TAKEN)
			member->checkpoint_state = GANG_CHECKPOINT_FAILED;
		if (member->renew_refused)
			member->due_ms = now_ms + settings->retry_ms;
		return;
	}
	member->probe_state = GANG_PROBE_ANSWERED;
	if (answer->has_report) {
		member->reported_state = (uint8_t)report->state;
		member->run_ms = report->run_ms;
		member->checkpoint_ms = report->checkpoint_ms;
		member->used_cores_milli = report->used_cores_milli;
		member->used_memory_mb = report->used_memory_mb;
	} else {
		member->reported_state = PF_TASK_NONE;
	}
	if (member->checkpoint_state == GANG_CHECKPOINT_TAKEN)
		member->checkpoint_state = answer->has_report
		    ? GANG_CHECKPOINT_CONFIRMED
		    : GANG_CHECKPOINT_FAILED;
	if (member->reported_state == PF_TASK_FAILED)
		member->failure = BD_REASON_MEMBER_FAILED;
	else if (member->reported_state == PF_TASK_LEASE_EXPIRED ||
	    member->reported_state == PF_TASK_STOPPED ||
	    (member->renew_refused && member->reported_state != PF_TASK_DONE))
		member->failure = BD_REASON_LEASE_EXPIRED;
	if (member->reported_state == PF_TASK_NONE) {
		/* The worker has forgotten the task, unless the report is
		 * stale: a refused renewal tells. */
		if (member->renew_refused)
			member->crash_check = GANG_CRASH_YES;
		else
			member->due_ms = now_ms;
	}
	member->renew_refused = 0;
}

/* Applies the answer to one call of this gang. Answers to calls that a later
 * call, such as a stop, has superseded are ignored. */
void
gang_answer_apply(struct gang *gang, const struct gang_answer *answer,
    const struct gang_settings *settings, int64_t now_ms)
{
	struct gang_member *member;

	assert(gang->job == answer->job && gang->token == answer->token);
	assert(answer->member < gang->member_count);
	member = &gang->members[answer->member];
	if (member->verb != answer->verb ||
	    member->sequence != answer->sequence)
		return;
	member->verb = GANG_VERB_NONE;
	member->unresponsive = is_unanswered(answer->status);
	switch (answer->verb) {
	case GANG_VERB_RESERVE:
	case GANG_VERB_COMMIT:
	case GANG_VERB_START:
		apply_progress(member, answer, settings, now_ms);
		break;
	case GANG_VERB_RENEW:
		apply_renewal(member, answer, settings, now_ms);
		break;
	case GANG_VERB_CHECKPOINT:
		member->checkpoint_state = answer->status == CW_OK
		    ? GANG_CHECKPOINT_TAKEN
		    : GANG_CHECKPOINT_FAILED;
		break;
	case GANG_VERB_STOP:
		apply_stop(member, answer, settings, now_ms);
		break;
	default:
		apply_report(member, answer, settings, now_ms);
		gang->usage_changed = true;
	}
}
