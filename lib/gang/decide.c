#include <assert.h>
#include <stdlib.h>

#include "gang_internal.h"

/* Workers drop reservations after 10 s. An attempt of which reserve, commit
 * or start takes longer than this is aborted and retried. */
#define START_PHASE_MAX_MS 8000
#define FAULTY_JOB_WORKERS_MIN 3
/* Interval at which a start that waits for the log is tried again. */
#define LOG_RETRY_MS 100

static bool worker_is_healthy(
    const struct bd_board *board, uint64_t worker, int64_t now_ms);
static bool job_is_faulty(const struct gang_step *step, uint64_t worker);
static void set_phase(struct gang_step *step, uint32_t phase);
static bool check_job_row(struct gang_step *step);
static bool may_have_started(
    const struct gang *gang, const struct gang_member *member);
static bool check_members(struct gang_step *step);
static bool was_started(const struct gang_member *member);
static void probe_members(struct gang_step *step);
static struct gang_log_status log_status(const struct gang_settings *settings);
static bool log_is_recent(struct gang_step *step);
static bool exceeds_capacity(const struct gang_step *step);
static bool advance_members(struct gang_step *step, uint32_t verb);
static bool may_start(struct gang_step *step);
static void run_phase(struct gang_step *step);
static void time_out_calls(struct gang_step *step);

/* Requests a step at at_ms, if none is due earlier. */
void
gang_wake_at(struct gang_step *step, int64_t at_ms)
{
	if (at_ms < step->next_ms)
		step->next_ms = at_ms;
}

/* Starts a call. Its answer arrives through gang_answer_apply; answers to
 * earlier calls to the same member are ignored from now on. */
void
gang_call_start(struct gang_step *step, uint32_t member, uint32_t verb)
{
	struct gang_call call = {step->gang, step->job, member, verb};

	step->gang->members[member].verb = (uint8_t)verb;
	step->gang->members[member].sequence++;
	step->gang->members[member].called_ms = step->now_ms;
	step->out->call(step->out->ctx, &call);
}

static void
set_phase(struct gang_step *step, uint32_t phase)
{
	step->gang->phase = phase;
	step->gang->phase_since_ms = step->now_ms;
}

/* Begins to stop all members. The outcome, with the worker that failed (0:
 * none), is recorded once they have answered or the stop has timed out. */
void
gang_stop_begin(
    struct gang_step *step, uint32_t outcome, uint32_t reason, uint64_t worker)
{
	struct gang *gang = step->gang;
	uint32_t i;

	if (gang->phase == GANG_PHASE_STOPPING)
		return;
	gang->stopped_phase = gang->phase;
	set_phase(step, GANG_PHASE_STOPPING);
	gang->outcome = outcome;
	gang->reason = reason;
	gang->failed_worker = worker;
	gang->next_proposal_ms = 0;
	for (i = 0; i < gang->member_count; i++) {
		gang->members[i].due_ms = step->now_ms;
		gang->members[i].stopped =
		    gang->members[i].reported_state == PF_TASK_DONE;
	}
}

static bool
worker_is_healthy(const struct bd_board *board, uint64_t worker, int64_t now_ms)
{
	const struct bd_worker *row = bd_worker_lookup(board, worker);

	return row != NULL && row->state == BD_WORKER_UP &&
	    row->quarantine_until_ms <= now_ms;
}

/* Returns whether the job itself is taken to be faulty: its tasks have failed
 * on FAULTY_JOB_WORKERS_MIN workers, worker included, that are up and not in
 * quarantine. */
static bool
job_is_faulty(const struct gang_step *step, uint64_t worker)
{
	uint32_t count = 0, i;

	if (step->job == NULL ||
	    step->job->failures + 1 < FAULTY_JOB_WORKERS_MIN)
		return false;
	if (worker_is_healthy(step->board, worker, step->now_ms))
		count++;
	for (i = 0; i < BD_JOB_FAILED_WORKERS_MAX; i++) {
		uint64_t other = step->job->failed_workers[i];

		if (other != 0 && other != worker &&
		    worker_is_healthy(step->board, other, step->now_ms))
			count++;
	}
	return count >= FAULTY_JOB_WORKERS_MIN;
}

/*
 * Ends the attempt because of a failed member, or of a timeout if member is
 * NULL. The whole gang is stopped and its job is queued again, unless the job's
 * tasks have failed on so many healthy workers that the job itself ends as
 * failed.
 */
void
gang_fail(
    struct gang_step *step, uint32_t reason, const struct gang_member *member)
{
	uint64_t worker = member == NULL ? 0 : member->worker;

	/* An unanswered call after the record of the start is no failure of
	 * the job. */
	if (reason == BD_REASON_MEMBER_FAILED && step->job != NULL &&
	    step->job->started_ms != 0 &&
	    member->reported_state != PF_TASK_FAILED)
		reason = BD_REASON_LEASE_EXPIRED;
	if (member != NULL && member->reported_state == PF_TASK_FAILED &&
	    job_is_faulty(step, worker))
		gang_stop_begin(step, REC_OUTCOME_FAILED,
		    BD_REASON_JOB_FAILED_REPEATEDLY, worker);
	else
		gang_stop_begin(step, REC_OUTCOME_RETRY, reason, worker);
}

/* Returns how recent this VM's copy of the log is. */
static struct gang_log_status
log_status(const struct gang_settings *settings)
{
	struct gang_log_status status = {0, UINT64_MAX};

	if (settings->log_status != NULL)
		settings->log_status(settings->log_ctx, &status);
	return status;
}

/*
 * Discards what was assumed about a gang before this VM was paused. A running
 * gang renews its leases before it does anything else; one that was still being
 * started asks all members for reports again, and goes on when the log has been
 * read. Answers to calls from before the pause are ignored.
 */
void
gang_resume_after_pause(
    struct gang *gang, const struct gang_settings *settings, int64_t now_ms)
{
	uint32_t i;

	gang->lease_valid_from_ms = now_ms;
	if (gang->phase > GANG_PHASE_STARTING)
		return;
	gang->start_unknown = gang->start_unknown || gang->was_started ||
	    gang->phase == GANG_PHASE_STARTING;
	gang->phase = GANG_PHASE_PROBING;
	gang->phase_since_ms = now_ms;
	/* One read may have been sent before the pause. */
	if (settings->log_status != NULL)
		gang->log_reads_min = log_status(settings).reads + 2;
	for (i = 0; i < gang->member_count; i++) {
		gang->members[i].sequence++;
		gang->members[i].verb = GANG_VERB_NONE;
		gang->members[i].completed_verb = 0;
		gang->members[i].probe_state = GANG_PROBE_PENDING;
	}
}

/* Returns whether a worker is recorded as lost or is unknown. */
bool
gang_worker_is_lost(const struct bd_board *board, uint64_t worker)
{
	const struct bd_worker *row = bd_worker_lookup(board, worker);

	return row == NULL || row->state == BD_WORKER_LOST;
}

/*
 * Creates the gang of a placed job. What an earlier owner has done is not
 * known: a gang that was recorded as started must have all its leases renewed
 * first, any other is asked for reports, as is that of a suspect, whose start
 * is recorded before it. Returns GANG_ENOMEM, or GANG_ENOTASK if the row of a
 * member is missing or has another token.
 */
int
gang_open(struct gang **out, const struct bd_board *board,
    const struct bd_job *job, uint64_t self, int64_t now_ms)
{
	uint32_t count = job->shape.members, i;
	struct gang *gang;

	assert(job->token != 0 && count <= BD_GANG_MEMBERS_MAX);
	gang = calloc(1, sizeof(*gang) + count * sizeof(gang->members[0]));
	if (gang == NULL)
		return GANG_ENOMEM;
	gang->job = job->id;
	gang->token = job->token;
	gang->attempt = job->attempts;
	gang->member_count = count;
	gang->phase_since_ms = gang->lease_valid_from_ms =
	    gang->next_report_ms = now_ms;
	gang->progress_ms = job->progress_ms;
	/* A change since the placement may be that of the owner. */
	gang->start_unknown = job->epoch != job->token;
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
		gang->phase = GANG_PHASE_STANDBY;
	else if (job->started_ms != 0 && job->crashes == 0)
		gang->phase = GANG_PHASE_RUNNING;
	else
		gang->phase = GANG_PHASE_PROBING;
	gang->was_started = job->started_ms != 0;
	*out = gang;
	return CW_OK;
}

/*
 * Compares the gang with the job's row, which reflects the order of the log.
 * Returns whether this VM still has anything to do for the gang.
 */
static bool
check_job_row(struct gang_step *step)
{
	struct gang *gang = step->gang;
	const struct bd_job *job = bd_job_lookup(step->board, gang->job);

	if (job != NULL && job->token == gang->token) {
		step->job = job;
		if (job->owner != step->self
			? gang->phase != GANG_PHASE_STANDBY ||
			    !gang_is_standby(step->board, job, step->self)
			: gang->phase == GANG_PHASE_STANDBY)
			gang->phase = GANG_PHASE_FINISHED;
		else if (job->state >= BD_JOB_DONE &&
		    gang->phase != GANG_PHASE_STANDBY)
			gang_stop_begin(
			    step, REC_OUTCOME_FAILED, BD_REASON_CANCELLED, 0);
	} else if (gang->phase == GANG_PHASE_STANDBY) {
		gang->phase = GANG_PHASE_FINISHED;
	} else {
		/* The log has ended this attempt; stop the members that
		 * still run. */
		gang_stop_begin(
		    step, REC_OUTCOME_RETRY, BD_REASON_LEASE_EXPIRED, 0);
	}
	return gang->phase != GANG_PHASE_FINISHED;
}

/* Returns whether a member may run on its worker. */
static bool
may_have_started(const struct gang *gang, const struct gang_member *member)
{
	return (gang->was_started || gang->phase >= GANG_PHASE_STARTING) &&
	    member->reported_state < PF_TASK_DONE;
}

/* Ends the attempt if a member or its worker has failed. If there are
 * several failures, that of a task is reported first. */
static bool
check_members(struct gang_step *step)
{
	struct gang *gang = step->gang;
	const struct gang_member *failed = NULL;
	uint32_t reason = BD_REASON_NONE, i;

	for (i = 0; i < gang->member_count; i++) {
		struct gang_member *member = &gang->members[i];
		uint32_t found = member->failure;

		if (found == BD_REASON_NONE &&
		    member->reported_state != PF_TASK_DONE &&
		    gang_worker_is_lost(step->board, member->worker))
			found = BD_REASON_WORKER_LOST;
		if (found != BD_REASON_NONE && may_have_started(gang, member) &&
		    member->crash_check == GANG_CRASH_NO)
			member->crash_check = GANG_CRASH_ASK;
		if (found != BD_REASON_NONE &&
		    (failed == NULL ||
			member->reported_state == PF_TASK_FAILED)) {
			failed = member;
			reason = found;
		}
	}
	if (failed != NULL)
		gang_fail(step, reason, failed);
	return failed == NULL;
}

/* Returns whether a report shows that the member was started. */
static bool
was_started(const struct gang_member *member)
{
	return member->reported_state >= PF_TASK_RUNNING;
}

/* Asks every worker what it holds under the token, and chooses the next
 * phase once all calls have ended. Members are started only after all of them
 * are committed. If one was started, a worker without a committed task has lost
 * it, and the task must not be reserved a second time under the same token: the
 * commit is refused, which ends the attempt. The same holds where one may have
 * been started on a worker that does not answer. */
static void
probe_members(struct gang_step *step)
{
	struct gang *gang = step->gang;
	uint32_t answered = 0, failed = 0, known = 0, started = 0, done = 0, i;

	for (i = 0; i < gang->member_count; i++) {
		if (gang->members[i].probe_state != GANG_PROBE_PENDING)
			answered++;
		else if (gang->members[i].verb == GANG_VERB_NONE)
			gang_call_start(step, i, GANG_VERB_REPORTS);
	}
	if (answered < gang->member_count)
		return;
	for (i = 0; i < gang->member_count; i++) {
		bool silent = gang->members[i].probe_state == GANG_PROBE_FAILED;
		uint32_t state = gang->members[i].reported_state;

		failed += silent;
		known +=
		    state >= PF_TASK_DONE || (!silent && state != PF_TASK_NONE);
		started += was_started(&gang->members[i]);
		done += state == PF_TASK_DONE;
	}
	gang->start_unknown = gang->start_unknown && known < gang->member_count;
	if (done == gang->member_count)
		set_phase(step, GANG_PHASE_RUNNING);
	gang->was_started = gang->was_started || started > 0;
	if (done < gang->member_count)
		set_phase(step,
		    gang->was_started || (gang->start_unknown && failed > 0)
			? GANG_PHASE_COMMITTING
			: GANG_PHASE_RESERVING);
}

/* Returns whether this VM's copy of the log is recent enough to rule out that
 * another owner has ended the attempt. Requests a step otherwise. */
static bool
log_is_recent(struct gang_step *step)
{
	struct gang_log_status status = log_status(step->settings);

	if (status.age_ms <= step->settings->log_age_max_ms &&
	    status.reads >= step->gang->log_reads_min)
		return true;
	gang_wake_at(step, step->now_ms + LOG_RETRY_MS);
	return false;
}

/* Returns whether a worker has become too small for what is placed on it since
 * the gang was placed. What runs, is being stopped or may have been started
 * there is included until its end is recorded. */
static bool
exceeds_capacity(const struct gang_step *step)
{
	const struct gang *gang = step->gang;
	uint32_t i;

	for (i = 0; i < gang->member_count; i++) {
		const struct gang_member *member = &gang->members[i];
		const struct bd_worker *row =
		    bd_worker_lookup(step->board, member->worker);

		if (row != NULL &&
		    ((uint64_t)member->accel_mask >> row->accels != 0 ||
			(uint32_t)__builtin_popcount(row->used_mask) >
			    row->accels ||
			row->used_cores_milli > row->cores_milli ||
			row->used_memory_mb > row->memory_mb))
			return true;
	}
	return false;
}

/* Calls every member that has not completed the verb yet; returns whether
 * all have. A member whose task is known to be done needs no call. */
static bool
advance_members(struct gang_step *step, uint32_t verb)
{
	struct gang *gang = step->gang;
	uint32_t count = 0, i;

	if (!log_is_recent(step))
		return false;
	if (exceeds_capacity(step)) {
		gang_stop_begin(
		    step, REC_OUTCOME_RETRY, BD_REASON_NO_CAPACITY, 0);
		return false;
	}
	for (i = 0; i < gang->member_count; i++) {
		struct gang_member *member = &gang->members[i];

		if (member->completed_verb >= verb ||
		    member->reported_state == PF_TASK_DONE)
			count++;
		else if (member->verb == GANG_VERB_NONE)
			gang_call_start(step, i, verb);
	}
	return count == gang->member_count;
}

/* Returns whether the members may be started. The start of a suspect is
 * recorded before, so that a crash of its workers is counted by any later
 * owner. */
static bool
may_start(struct gang_step *step)
{
	if (step->job->crashes > 0)
		gang_propose_started(step);
	return step->job->crashes == 0 || step->job->started_ms != 0;
}

static void
run_phase(struct gang_step *step)
{
	struct gang *gang = step->gang;

	if (gang->phase <= GANG_PHASE_STARTING) {
		if (step->job->state == BD_JOB_PREEMPTING)
			gang_stop_begin(
			    step, REC_OUTCOME_RETRY, step->job->reason, 0);
		else if (gang->phase != GANG_PHASE_PROBING &&
		    step->now_ms - gang->phase_since_ms > START_PHASE_MAX_MS)
			gang_fail(step, BD_REASON_LEASE_EXPIRED, NULL);
	}
	if (gang->phase == GANG_PHASE_PROBING)
		probe_members(step);
	if (gang->phase == GANG_PHASE_RESERVING &&
	    advance_members(step, GANG_VERB_RESERVE))
		set_phase(step, GANG_PHASE_COMMITTING);
	if (gang->phase == GANG_PHASE_COMMITTING &&
	    advance_members(step, GANG_VERB_COMMIT) && may_start(step))
		set_phase(step, GANG_PHASE_STARTING);
	if (gang->phase == GANG_PHASE_STARTING &&
	    advance_members(step, GANG_VERB_START)) {
		set_phase(step, GANG_PHASE_RUNNING);
		gang->next_report_ms =
		    step->now_ms + step->settings->report_interval_min_ms;
		gang->next_checkpoint_ms =
		    step->now_ms + step->settings->checkpoint_interval_ms;
	}
	if (gang->phase == GANG_PHASE_RUNNING)
		gang_running_step(step);
	else if (gang->phase == GANG_PHASE_STANDBY)
		gang_standby_step(step);
	if (gang->phase == GANG_PHASE_STOPPING)
		gang_stopping_step(step);
}

/* Treats calls whose answer was lost inside this process as unanswered. */
static void
time_out_calls(struct gang_step *step)
{
	struct gang *gang = step->gang;
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

		if (member->verb == GANG_VERB_NONE)
			continue;
		if (step->now_ms - member->called_ms > GANG_CALL_TIMEOUT_MS)
			gang_answer_apply(
			    gang, &answer, step->settings, step->now_ms);
		else
			gang_wake_at(
			    step, member->called_ms + GANG_CALL_TIMEOUT_MS + 1);
	}
}

/*
 * Decides for one gang from the rows of the job and the workers, the answers
 * applied so far and the present time (ms). Calls and records go to out.
 * Returns the time (ms) by which it must be called again, or INT64_MAX; a gang
 * in phase GANG_PHASE_FINISHED needs no further call. The caller is in a read
 * section.
 */
int64_t
gang_decide(const struct bd_board *board, struct gang *gang,
    const struct gang_settings *settings, uint64_t self, int64_t now_ms,
    const struct gang_output *out)
{
	struct gang_step step = {
	    .board = board,
	    .gang = gang,
	    .settings = settings,
	    .out = out,
	    .self = self,
	    .now_ms = now_ms,
	    .next_ms = INT64_MAX,
	};

	assert(gang->member_count > 0);
	time_out_calls(&step);
	if (!check_job_row(&step))
		return INT64_MAX;
	if (gang->phase != GANG_PHASE_STOPPING &&
	    gang->phase != GANG_PHASE_STANDBY)
		check_members(&step);
	run_phase(&step);
	return step.next_ms;
}
