#include "gang_internal.h"

static bool is_able(const struct bd_board *board, uint64_t vm);
static void propose_ended(struct gang_turn *turn);

static bool
is_able(const struct bd_board *board, uint64_t vm)
{
	const struct bd_member *member = bd_member_lookup(board, vm);

	return member != NULL &&
	    (member->state == BD_MEMBER_ALIVE ||
		member->state == BD_MEMBER_LEAVING);
}

/*
 * Tells whether this VM renews in the place of the job's owner: the owner is
 * suspect, dead or unknown, and no other live member goes before by rendezvous
 * hash. Two VMs that disagree both renew, which does no harm.
 */
bool
gang_is_standby(
    const struct bd_board *board, const struct bd_job *job, uint64_t self)
{
	uint64_t own = cw_id_from_pair(job->id, self);
	const struct bd_member *member;
	uint32_t cursor = 0;

	if (job->state != BD_JOB_PLACED && job->state != BD_JOB_RUNNING &&
	    job->state != BD_JOB_PREEMPTING)
		return false;
	if (job->owner == self || is_able(board, job->owner))
		return false;
	member = bd_member_lookup(board, self);
	if (member == NULL || member->state != BD_MEMBER_ALIVE)
		return false;
	while ((member = bd_member_next(board, &cursor)) != NULL)
		if (member->id != self && member->state == BD_MEMBER_ALIVE &&
		    cw_id_from_pair(job->id, member->id) > own)
			return false;
	return true;
}

/*
 * Renews by token for a missing owner, and does nothing else. The gang is
 * renewed only while reports show it whole: part of one that the owner left
 * half started, or that has lost a member, must lapse.
 */
void
gang_stand_by(struct gang_turn *turn)
{
	struct gang *gang = turn->gang;
	uint32_t answered = 0, whole = 0, i;

	if (turn->now_ms >= gang->report_ms) {
		gang->report_ms = turn->now_ms + turn->settings->renew_ms;
		gang->saving = true; /* a round is in progress */
		for (i = 0; i < gang->member_count; i++)
			gang->members[i].probed = GANG_PROBED_NOT;
	}
	gang_wake_at(turn, gang->report_ms);
	if (!gang->saving)
		return;
	for (i = 0; i < gang->member_count; i++) {
		struct gang_member *member = &gang->members[i];

		if (member->probed == GANG_PROBED_NOT &&
		    member->verb == GANG_NONE)
			gang_call_make(turn, i, GANG_REPORTS);
		answered += member->probed != GANG_PROBED_NOT;
		whole += member->probed == GANG_PROBED_ANSWERED &&
		    (member->report == PF_TASK_RUNNING ||
			member->report == PF_TASK_DONE);
	}
	if (answered < gang->member_count)
		return;
	gang->saving = false;
	if (whole < gang->member_count)
		return;
	for (i = 0; i < gang->member_count; i++)
		if (gang->members[i].report == PF_TASK_RUNNING)
			gang_call_make(turn, i, GANG_RENEW);
}

static void
propose_ended(struct gang_turn *turn)
{
	struct gang *gang = turn->gang;
	struct rec rec = {.kind = REC_GANG_ENDED};

	if (gang->propose_ms <= turn->now_ms) {
		rec.body.gang_ended.job = gang->job;
		rec.body.gang_ended.token = gang->token;
		rec.body.gang_ended.worker = gang->failed_worker;
		rec.body.gang_ended.outcome = gang->outcome;
		rec.body.gang_ended.reason = gang->reason;
		rec.body.gang_ended.progress_ms = gang->progress_ms;
		turn->out->sink.propose(turn->out->sink.ctx, &rec, NULL);
		gang->propose_ms = turn->now_ms + turn->settings->retry_ms;
	}
	gang_wake_at(turn, gang->propose_ms);
}

/*
 * Stops the members and records the end. A worker that does not answer within
 * the patience does not hold up the rest: its member lapses within its lease,
 * and its accelerators are fenced by the token. The stop is repeated until
 * then.
 */
void
gang_stop(struct gang_turn *turn)
{
	const struct gang_settings *set = turn->settings;
	struct gang *gang = turn->gang;
	int64_t patience_ms = gang->since_ms + set->patience_ms;
	uint32_t open = 0, reachable = 0, i;

	for (i = 0; i < gang->member_count; i++) {
		struct gang_member *member = &gang->members[i];

		if (member->stopped)
			continue;
		open++;
		reachable += !gang_worker_is_lost(turn->board, member->worker);
		if (member->verb == GANG_STOP)
			continue;
		if (member->due_ms <= turn->now_ms)
			gang_call_make(turn, i, GANG_STOP);
		else
			gang_wake_at(turn, member->due_ms);
	}
	if (turn->job == NULL) {
		if (open == 0 || turn->now_ms >= gang->since_ms + set->lease_ms)
			gang->phase = GANG_OVER;
		else
			gang_wake_at(turn, gang->since_ms + set->lease_ms);
	} else if (reachable == 0 || turn->now_ms >= patience_ms) {
		propose_ended(turn);
	} else {
		gang_wake_at(turn, patience_ms);
	}
}
