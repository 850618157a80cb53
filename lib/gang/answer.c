#include <assert.h>

#include "gang_internal.h"

static bool has_no_answer(int status);
static void take_progress(struct gang_member *member,
    const struct gang_answer *answer, const struct gang_settings *settings,
    int64_t now_ms);
static void take_renewal(struct gang_member *member,
    const struct gang_answer *answer, const struct gang_settings *settings,
    int64_t now_ms);
static void take_report(struct gang_member *member,
    const struct gang_answer *answer, const struct gang_settings *settings,
    int64_t now_ms);

static bool
has_no_answer(int status)
{
	return status != CW_OK && status != PF_EREFUSED;
}

/*
 * When to renew next. The times of all gangs on one rack fall together, so
 * that one message renews them all, and those of different racks do not.
 */
int64_t
gang_renew_due(const struct gang_member *member,
    const struct gang_settings *settings, int64_t now_ms)
{
	int64_t offset = (int64_t)(member->rack % (uint64_t)settings->renew_ms);

	return now_ms + settings->renew_ms -
	    (now_ms + offset) % settings->renew_ms;
}

/* Answers to reserve, commit and start. A worker that does not answer counts
 * as a failed member, so that it ends in quarantine if it stays silent. */
static void
take_progress(struct gang_member *member, const struct gang_answer *answer,
    const struct gang_settings *settings, int64_t now_ms)
{
	if (has_no_answer(answer->status)) {
		member->failure = BD_REASON_MEMBER_FAILED;
	} else if (answer->status != CW_OK) {
		member->failure = answer->verb == GANG_START
		    ? BD_REASON_LEASE_LAPSED
		    : BD_REASON_RESERVE_REFUSED;
	} else {
		member->reached = (uint8_t)answer->verb;
		if (answer->verb != GANG_RESERVE)
			member->leased_ms = answer->sent_ms;
		member->due_ms = gang_renew_due(member, settings, now_ms);
	}
}

static void
take_renewal(struct gang_member *member, const struct gang_answer *answer,
    const struct gang_settings *settings, int64_t now_ms)
{
	if (answer->status == CW_OK) {
		member->leased_ms = answer->sent_ms;
		member->due_ms = gang_renew_due(member, settings, now_ms);
	} else {
		member->doubted = answer->status == PF_EREFUSED;
		member->due_ms =
		    member->doubted ? now_ms : now_ms + settings->retry_ms;
	}
}

/* Only final states are relied on: reports may be stale. */
static void
take_report(struct gang_member *member, const struct gang_answer *answer,
    const struct gang_settings *settings, int64_t now_ms)
{
	const struct pf_task_report *report = &answer->report;

	if (answer->status != CW_OK) {
		member->probed = GANG_PROBED_FAILED;
		if (member->saved == GANG_SAVED_ASKED)
			member->saved = GANG_SAVED_FAILED;
		if (member->doubted)
			member->due_ms = now_ms + settings->retry_ms;
		return;
	}
	member->probed = GANG_PROBED_ANSWERED;
	if (answer->has_report) {
		member->report = (uint8_t)report->state;
		member->run_ms = report->run_ms;
		member->checkpoint_ms = report->checkpoint_ms;
		member->used_cores_milli = report->used_cores_milli;
		member->used_memory_mb = report->used_memory_mb;
	} else {
		member->report = PF_TASK_NONE;
	}
	if (member->saved == GANG_SAVED_ASKED)
		member->saved =
		    answer->has_report ? GANG_SAVED_READ : GANG_SAVED_FAILED;
	if (member->report == PF_TASK_FAILED)
		member->failure = BD_REASON_MEMBER_FAILED;
	else if (member->report == PF_TASK_LAPSED ||
	    member->report == PF_TASK_STOPPED ||
	    (member->doubted && member->report != PF_TASK_DONE))
		member->failure = BD_REASON_LEASE_LAPSED;
	member->doubted = 0;
}

/* Notes the answer to a call of this gang. Answers to calls that a stop has
 * overtaken are ignored. */
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
	member->verb = GANG_NONE;
	member->alone = has_no_answer(answer->status);
	switch (answer->verb) {
	case GANG_RESERVE:
	case GANG_COMMIT:
	case GANG_START:
		take_progress(member, answer, settings, now_ms);
		break;
	case GANG_RENEW:
		take_renewal(member, answer, settings, now_ms);
		break;
	case GANG_CHECKPOINT:
		member->saved = answer->status == CW_OK ? GANG_SAVED_ASKED
							: GANG_SAVED_FAILED;
		break;
	case GANG_STOP:
		/* Refused: the worker knows a higher token. */
		member->stopped = !has_no_answer(answer->status);
		member->due_ms = now_ms + settings->retry_ms;
		break;
	default:
		take_report(member, answer, settings, now_ms);
		gang->used = true;
	}
}
