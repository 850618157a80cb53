#include <assert.h>

#include "fleet.h"

static void complete_claim(void *ctx, int status, uint64_t position);
static bool is_reusable(struct fl_claim *claim, int64_t now_ms);

/* Stores the outcome of a proposal. Runs on the thread of the log follower or
 * writer. */
static void
complete_claim(void *ctx, int status, uint64_t position)
{
	struct fl_claim *claim = ctx;

	(void)position;
	claim->phase = status == CW_OK || status == ST_ESTALE ? FL_CLAIM_DECIDED
							      : FL_CLAIM_FAILED;
}

/* Returns whether a claim may be proposed again or replaced by another one: it
 * is unused, was decided, or its time-out has passed. */
static bool
is_reusable(struct fl_claim *claim, int64_t now_ms)
{
	uint32_t phase = claim->phase;
	int64_t timeout_ms =
	    phase == FL_CLAIM_PENDING ? FL_CLAIM_PENDING_MS : FL_CLAIM_RETRY_MS;

	return claim->id == 0 || phase == FL_CLAIM_DECIDED ||
	    now_ms - claim->proposed_ms >= timeout_ms;
}

/*
 * Proposes a record unless the claim with this id is pending, or has failed and
 * was proposed less than FL_CLAIM_RETRY_MS ago. A claim counts as pending for
 * FL_CLAIM_PENDING_MS at most. An id identifies one row at one epoch. Returns
 * the sink's status, CW_OK where nothing was proposed, and FL_EFULL where no
 * claim can be reused. The claims must outlive the sink.
 */
int
fl_claim_propose(struct fl_claims *claims, uint64_t id, int64_t now_ms,
    const struct st_sink *sink, const struct rec *rec)
{
	struct fl_claim *claim = NULL;
	struct st_completion done;
	uint32_t i;
	int code;

	assert(id != 0);
	for (i = 0; i < FL_CLAIMS_MAX; i++)
		if (claims->claims[i].id == id) {
			claim = &claims->claims[i];
			if (!is_reusable(claim, now_ms))
				return CW_OK;
		}
	for (i = 0; i < FL_CLAIMS_MAX && claim == NULL; i++)
		if (is_reusable(&claims->claims[i], now_ms))
			claim = &claims->claims[i];
	if (claim == NULL)
		return FL_EFULL;
	claim->id = id;
	claim->proposed_ms = now_ms;
	claim->phase = FL_CLAIM_PENDING;
	done.call = complete_claim;
	done.ctx = claim;
	code = sink->propose(sink->ctx, rec, &done);
	if (cw_is_error(code))
		claim->phase = FL_CLAIM_FAILED;
	return code;
}
