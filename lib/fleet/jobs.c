#include <assert.h>
#include <stddef.h>

#include "fleet.h"

static bool is_active(const struct bd_job *job);
static int64_t owner_dead_since(
    const struct bd_board *board, const struct bd_member *self, uint64_t owner);
static uint64_t best_successor(
    const struct bd_board *board, uint64_t job, uint64_t except);
static int propose_owner(const struct bd_job *job, uint64_t owner,
    int64_t now_ms, const struct st_sink *sink, struct fl_claims *claims);
static bool has_expired_request(
    const struct bd_board *board, int64_t before_ms);
static bool has_expired_job(const struct bd_board *board, int64_t before_ms);

static bool
is_active(const struct bd_job *job)
{
	return job->state < BD_JOB_DONE;
}

/* Returns the time (ms) since which an owner has been dead, -1 where it is
 * not. An unknown owner counts as dead after FL_DEAD_AFTER_MS. */
static int64_t
owner_dead_since(
    const struct bd_board *board, const struct bd_member *self, uint64_t owner)
{
	const struct bd_member *member = bd_member_lookup(board, owner);

	if (member == NULL)
		return self->since_ms + FL_DEAD_AFTER_MS;
	return member->state == BD_MEMBER_DEAD ? member->since_ms : -1;
}

/* Returns the eligible member, other than except, that ranks first for a job by
 * rendezvous hashing; 0 where there is none. */
static uint64_t
best_successor(const struct bd_board *board, uint64_t job, uint64_t except)
{
	const struct bd_member *member;
	uint32_t cursor = 0;
	uint64_t best = 0;

	while ((member = bd_member_next(board, &cursor)) != NULL)
		if (member->id != except && fl_member_is_eligible(member) &&
		    (best == 0 ||
			cw_id_from_pair(job, member->id) >
			    cw_id_from_pair(job, best)))
			best = member->id;
	return best;
}

static int
propose_owner(const struct bd_job *job, uint64_t owner, int64_t now_ms,
    const struct st_sink *sink, struct fl_claims *claims)
{
	struct rec rec = {0};

	rec.kind = REC_JOB_OWNER;
	rec.body.job_owner.job = job->id;
	rec.body.job_owner.epoch = job->epoch;
	rec.body.job_owner.owner = owner;
	return fl_claim_propose(
	    claims, cw_id_from_pair(job->id, job->epoch), now_ms, sink, &rec);
}

/*
 * Claims the jobs whose owner is dead. They are spread over the eligible
 * members by rendezvous hash; a member of rank r waits r times
 * FL_DUTY_RANK_DELAY_MS. Lowers *next_ms (ms) to the time of the next claim.
 * Returns the sink's status; more jobs than FL_CLAIMS_MAX follow in later
 * calls.
 */
int
fl_jobs_decide(const struct bd_board *board, uint64_t self, int64_t now_ms,
    const struct st_sink *sink, struct fl_claims *claims, int64_t *next_ms)
{
	const struct bd_member *own;
	const struct bd_job *job;
	uint32_t cursor = 0;
	int code = CW_OK;

	assert(sink != NULL && claims != NULL && next_ms != NULL);
	bd_read_begin();
	own = bd_member_lookup(board, self);
	while (fl_member_is_eligible(own) && code == CW_OK &&
	    (job = bd_job_next(board, &cursor)) != NULL) {
		int64_t due;

		if (!is_active(job) || job->owner == self)
			continue;
		due = owner_dead_since(board, own, job->owner);
		if (due < 0)
			continue;
		due += (int64_t)fl_rendezvous_rank(board, job->id, self) *
		    FL_DUTY_RANK_DELAY_MS;
		if (due <= now_ms)
			code = propose_owner(job, self, now_ms, sink, claims);
		else if (due < *next_ms)
			*next_ms = due;
	}
	bd_read_end();
	return code == FL_EFULL ? CW_OK : code;
}

/*
 * Hands the jobs of a leaving VM over to the eligible members. Returns the
 * number of active jobs it still owns according to the records applied so far,
 * or the sink's error.
 */
int
fl_jobs_release(const struct bd_board *board, uint64_t self, int64_t now_ms,
    const struct st_sink *sink, struct fl_claims *claims)
{
	const struct bd_job *job;
	uint32_t cursor = 0;
	int owned = 0;
	int code = CW_OK;

	assert(sink != NULL && claims != NULL);
	bd_read_begin();
	while ((job = bd_job_next(board, &cursor)) != NULL) {
		uint64_t successor;

		if (!is_active(job) || job->owner != self)
			continue;
		owned++;
		successor = best_successor(board, job->id, self);
		if (successor != 0 && code == CW_OK)
			code =
			    propose_owner(job, successor, now_ms, sink, claims);
	}
	bd_read_end();
	return code == CW_OK || code == FL_EFULL ? owned : code;
}

static bool
has_expired_request(const struct bd_board *board, int64_t before_ms)
{
	const struct bd_request *request;
	uint32_t cursor = 0;

	while ((request = bd_request_next(board, &cursor)) != NULL)
		if (request->intent_ms < before_ms)
			return true;
	return false;
}

static bool
has_expired_job(const struct bd_board *board, int64_t before_ms)
{
	const struct bd_job *job;
	uint32_t cursor = 0;

	while ((job = bd_job_next(board, &cursor)) != NULL)
		if (!is_active(job) && job->ended_ms < before_ms)
			return true;
	return false;
}

/*
 * Proposes REQ_EXPIRE and JOB_EXPIRE where this VM holds BD_DUTY_EXPIRY and an
 * entry is older than request_keep_ms by the wall clock. Returns the sink's
 * status.
 */
int
fl_expiry_decide(const struct bd_board *board, uint64_t self, int64_t now_ms,
    int64_t wall_ms, const struct st_sink *sink, struct fl_claims *claims)
{
	const struct bd_config *config;
	struct rec rec = {0};
	int64_t before_ms = 0;
	bool requests = false;
	bool jobs = false;
	int code = CW_OK;

	if (!fl_duty_is_held(board, BD_DUTY_EXPIRY, self))
		return CW_OK;
	bd_read_begin();
	config = bd_config_lookup(board, BD_CONFIG_ID);
	if (config != NULL) {
		before_ms = wall_ms - config->request_keep_ms;
		requests = has_expired_request(board, before_ms);
		jobs = has_expired_job(board, before_ms);
	}
	bd_read_end();
	if (requests) {
		rec.kind = REC_REQ_EXPIRE;
		rec.body.req_expire.before_ms = before_ms;
		code = fl_claim_propose(claims,
		    cw_id_from_pair(REC_REQ_EXPIRE, (uint64_t)before_ms),
		    now_ms, sink, &rec);
	}
	if (jobs && code == CW_OK) {
		rec.kind = REC_JOB_EXPIRE;
		rec.body.job_expire.before_ms = before_ms;
		code = fl_claim_propose(claims,
		    cw_id_from_pair(REC_JOB_EXPIRE, (uint64_t)before_ms),
		    now_ms, sink, &rec);
	}
	return code;
}
