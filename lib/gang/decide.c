#include <assert.h>
#include <stdlib.h>

#include "gang_internal.h"

/* Reservations lapse after 10 s; a phase that took longer starts over. */
#define STALE_RESERVE_MS 8000
#define JOB_FAILED_WORKERS_MAX 3

static bool worker_is_good(
    const struct bd_board *board, uint64_t worker, int64_t now_ms);
static bool job_is_bad(const struct gang_turn *turn, uint64_t worker);
static void phase_set(struct gang_turn *turn, uint32_t phase);
static bool check_row(struct gang_turn *turn);
static bool check_members(struct gang_turn *turn);
static void probe(struct gang_turn *turn);
static bool all_reach(struct gang_turn *turn, uint32_t verb);
static void act(struct gang_turn *turn);
static void give_up_calls(struct gang_turn *turn);

void
gang_wake_at(struct gang_turn *turn, int64_t at_ms)
{
	if (at_ms < turn->next_ms)
		turn->next_ms = at_ms;
}

/* Starts a call. Its answer comes through gang_answer_apply; answers to the
 * member's earlier calls are ignored from now on. */
void
gang_call_make(struct gang_turn *turn, uint32_t member, uint32_t verb)
{
	struct gang_call call = {turn->gang, turn->job, member, verb};

	turn->gang->members[member].verb = (uint8_t)verb;
	turn->gang->members[member].sequence++;
	turn->gang->members[member].called_ms = turn->now_ms;
	turn->out->call(turn->out->ctx, &call);
}

static void
phase_set(struct gang_turn *turn, uint32_t phase)
{
	turn->gang->phase = phase;
	turn->gang->since_ms = turn->now_ms;
}

/* Frees all members; the outcome is recorded when they have answered. */
void
gang_stop_begin(
    struct gang_turn *turn, uint32_t outcome, uint32_t reason, uint64_t worker)
{
	struct gang *gang = turn->gang;
	uint32_t i;

	if (gang->phase == GANG_STOPPING)
		return;
	phase_set(turn, GANG_STOPPING);
	gang->outcome = outcome;
	gang->reason = reason;
	gang->failed_worker = worker;
	gang->propose_ms = 0;
	for (i = 0; i < gang->member_count; i++) {
		gang->members[i].due_ms = turn->now_ms;
		gang->members[i].stopped =
		    gang->members[i].report == PF_TASK_DONE;
	}
}

static bool
worker_is_good(const struct bd_board *board, uint64_t worker, int64_t now_ms)
{
	const struct bd_worker *row = bd_worker_lookup(board, worker);

	return row != NULL && row->state == BD_WORKER_UP &&
	    row->quarantine_until_ms <= now_ms;
}

/* A job that fails on three workers of good standing is itself at fault. */
static bool
job_is_bad(const struct gang_turn *turn, uint64_t worker)
{
	uint32_t count = 0, i;

	if (turn->job == NULL)
		return false;
	if (worker_is_good(turn->board, worker, turn->now_ms))
		count++;
	for (i = 0; i < BD_JOB_FAILED_WORKERS; i++) {
		uint64_t other = turn->job->failed_workers[i];

		if (other != 0 && other != worker &&
		    worker_is_good(turn->board, other, turn->now_ms))
			count++;
	}
	return count >= JOB_FAILED_WORKERS_MAX;
}

/*
 * Ends the attempt because of one member (NULL: of time): the whole gang is
 * stopped and waits again, or the job ends if its tasks fail everywhere.
 */
void
gang_fail(
    struct gang_turn *turn, uint32_t reason, const struct gang_member *member)
{
	uint64_t worker = member == NULL ? 0 : member->worker;

	if (member != NULL && member->report == PF_TASK_FAILED &&
	    job_is_bad(turn, worker))
		gang_stop_begin(turn, REC_OUTCOME_FAILED,
		    BD_REASON_JOB_FAILED_REPEATEDLY, worker);
	else
		gang_stop_begin(turn, REC_OUTCOME_RETRY, reason, worker);
}

/*
 * Makes a gang start over from what can be proved, after this VM was paused: a
 * running one renews first, any other asks for reports again. Answers to calls
 * from before the pause are ignored.
 */
void
gang_pause_end(struct gang *gang, int64_t now_ms)
{
	uint32_t i;

	gang->proving_ms = now_ms;
	if (gang->phase > GANG_STARTING)
		return;
	gang->phase = GANG_PROBING;
	gang->since_ms = now_ms;
	for (i = 0; i < gang->member_count; i++) {
		gang->members[i].sequence++;
		gang->members[i].verb = GANG_NONE;
		gang->members[i].reached = 0;
		gang->members[i].probed = GANG_PROBED_NOT;
	}
}

bool
gang_worker_is_lost(const struct bd_board *board, uint64_t worker)
{
	const struct bd_worker *row = bd_worker_lookup(board, worker);

	return row == NULL || row->state == BD_WORKER_LOST;
}

/*
 * Opens the gang of a placed job. What an earlier owner has done is not known:
 * a gang that was recorded as started must be proved by renewals first, any
 * other is asked for reports. Returns GANG_ENOTASK where a member's row is
 * missing.
 */
int
gang_open(struct gang **out, const struct bd_board *board,
    const struct bd_job *job, uint64_t self, int64_t now_ms)
{
	uint32_t count = job->shape.members, i;
	struct gang *gang;

	assert(job->token != 0 && count <= BD_GANG_MAX);
	gang = calloc(1, sizeof(*gang) + count * sizeof(gang->members[0]));
	if (gang == NULL)
		return GANG_ENOMEM;
	gang->job = job->id;
	gang->token = job->token;
	gang->member_count = count;
	gang->since_ms = gang->proving_ms = gang->report_ms = now_ms;
	gang->progress_ms = job->progress_ms;
	for (i = 0; i < count; i++) {
		const struct bd_task *task =
		    bd_task_lookup(board, cw_id_from_pair(job->id, i));
		const struct bd_worker *worker =
		    task == NULL ? NULL : bd_worker_lookup(board, task->worker);

		if (task == NULL || task->token != job->token) {
			free(gang);
			return GANG_ENOTASK;
		}
		gang->members[i].worker = task->worker;
		gang->members[i].rack = worker == NULL ? 0 : worker->rack;
		gang->members[i].accel_mask = task->accel_mask;
		gang->members[i].due_ms = now_ms;
	}
	if (job->owner != self)
		gang->phase = GANG_STANDBY;
	else if (job->started_ms != 0)
		gang->phase = GANG_RUNNING;
	else
		gang->phase = GANG_PROBING;
	*out = gang;
	return CW_OK;
}

/*
 * Compares the gang with the job's row, which the log's order has settled.
 * Returns whether this VM has anything to do for it.
 */
static bool
check_row(struct gang_turn *turn)
{
	struct gang *gang = turn->gang;
	const struct bd_job *job = bd_job_lookup(turn->board, gang->job);

	if (job != NULL && job->token == gang->token) {
		turn->job = job;
		if (job->owner != turn->self ? gang->phase != GANG_STANDBY ||
			    !gang_is_standby(turn->board, job, turn->self)
					     : gang->phase == GANG_STANDBY)
			gang->phase = GANG_OVER;
		else if (job->state >= BD_JOB_DONE &&
		    gang->phase != GANG_STANDBY)
			gang_stop_begin(
			    turn, REC_OUTCOME_FAILED, BD_REASON_CANCELLED, 0);
	} else if (gang->phase == GANG_STANDBY) {
		gang->phase = GANG_OVER;
	} else {
		/* Ended by record; what still runs is stopped. */
		gang_stop_begin(
		    turn, REC_OUTCOME_RETRY, BD_REASON_LEASE_LAPSED, 0);
	}
	return gang->phase != GANG_OVER;
}

/* Ends the attempt where a member or its worker has failed. A failure of the
 * task itself goes before what else was noticed. */
static bool
check_members(struct gang_turn *turn)
{
	struct gang *gang = turn->gang;
	const struct gang_member *failed = NULL;
	uint32_t reason = BD_REASON_NONE, i;

	for (i = 0; i < gang->member_count; i++) {
		const struct gang_member *member = &gang->members[i];
		uint32_t found = member->failure;

		if (found == BD_REASON_NONE && member->report != PF_TASK_DONE &&
		    gang_worker_is_lost(turn->board, member->worker))
			found = BD_REASON_WORKER_LOST;
		if (found != BD_REASON_NONE &&
		    (failed == NULL || member->report == PF_TASK_FAILED)) {
			failed = member;
			reason = found;
		}
	}
	if (failed != NULL)
		gang_fail(turn, reason, failed);
	return failed == NULL;
}

/* Asks every worker what it holds under the token. */
static void
probe(struct gang_turn *turn)
{
	struct gang *gang = turn->gang;
	uint32_t answered = 0, i;

	for (i = 0; i < gang->member_count; i++) {
		if (gang->members[i].probed != GANG_PROBED_NOT)
			answered++;
		else if (gang->members[i].verb == GANG_NONE)
			gang_call_make(turn, i, GANG_REPORTS);
	}
	if (answered < gang->member_count)
		return;
	for (i = 0; i < gang->member_count; i++)
		if (gang->members[i].report != PF_TASK_DONE)
			break;
	if (i == gang->member_count)
		phase_set(turn, GANG_RUNNING);
	else
		phase_set(turn, GANG_RESERVING);
}

/* Calls every member that has not been through the verb yet. A member that is
 * known to be done needs no call. */
static bool
all_reach(struct gang_turn *turn, uint32_t verb)
{
	struct gang *gang = turn->gang;
	uint32_t count = 0, i;

	for (i = 0; i < gang->member_count; i++) {
		struct gang_member *member = &gang->members[i];

		if (member->reached >= verb || member->report == PF_TASK_DONE)
			count++;
		else if (member->verb == GANG_NONE)
			gang_call_make(turn, i, verb);
	}
	return count == gang->member_count;
}

static void
act(struct gang_turn *turn)
{
	struct gang *gang = turn->gang;

	if (gang->phase <= GANG_STARTING) {
		if (turn->job->state == BD_JOB_PREEMPTING)
			gang_stop_begin(
			    turn, REC_OUTCOME_RETRY, turn->job->reason, 0);
		else if (gang->phase != GANG_PROBING &&
		    turn->now_ms - gang->since_ms > STALE_RESERVE_MS)
			gang_fail(turn, BD_REASON_LEASE_LAPSED, NULL);
	}
	if (gang->phase == GANG_PROBING)
		probe(turn);
	if (gang->phase == GANG_RESERVING && all_reach(turn, GANG_RESERVE))
		phase_set(turn, GANG_COMMITTING);
	if (gang->phase == GANG_COMMITTING && all_reach(turn, GANG_COMMIT))
		phase_set(turn, GANG_STARTING);
	if (gang->phase == GANG_STARTING && all_reach(turn, GANG_START)) {
		phase_set(turn, GANG_RUNNING);
		gang->report_ms = turn->now_ms + turn->settings->report_min_ms;
		gang->save_ms = turn->now_ms + turn->settings->checkpoint_ms;
	}
	if (gang->phase == GANG_RUNNING)
		gang_run(turn);
	else if (gang->phase == GANG_STANDBY)
		gang_stand_by(turn);
	if (gang->phase == GANG_STOPPING)
		gang_stop(turn);
}

/* Takes calls whose answer was lost inside this process for not answered. */
static void
give_up_calls(struct gang_turn *turn)
{
	struct gang *gang = turn->gang;
	uint32_t i;

	for (i = 0; i < gang->member_count; i++) {
		const struct gang_member *member = &gang->members[i];
		struct gang_answer answer = {.job = gang->job,
		    .token = gang->token,
		    .member = i,
		    .verb = member->verb,
		    .sequence = member->sequence,
		    .status = PF_EUNKNOWN,
		    .sent_ms = member->called_ms};

		if (member->verb == GANG_NONE)
			continue;
		if (turn->now_ms - member->called_ms > GANG_CALL_MAX_MS)
			gang_answer_apply(
			    gang, &answer, turn->settings, turn->now_ms);
		else
			gang_wake_at(
			    turn, member->called_ms + GANG_CALL_MAX_MS + 1);
	}
}

/*
 * Decides for one gang from the job's and the workers' rows, the answers noted
 * and the present time (ms). Calls and records go to out. Returns when it
 * wants to be asked again at the latest; phase GANG_OVER means never. The
 * caller holds the read side of the board.
 */
int64_t
gang_decide(const struct bd_board *board, struct gang *gang,
    const struct gang_settings *settings, uint64_t self, int64_t now_ms,
    const struct gang_out *out)
{
	struct gang_turn turn = {
	    .board = board,
	    .gang = gang,
	    .settings = settings,
	    .out = out,
	    .self = self,
	    .now_ms = now_ms,
	    .next_ms = INT64_MAX,
	};

	assert(gang->member_count > 0);
	give_up_calls(&turn);
	if (!check_row(&turn))
		return INT64_MAX;
	if (gang->phase != GANG_STOPPING && gang->phase != GANG_STANDBY)
		check_members(&turn);
	act(&turn);
	return turn.next_ms;
}
