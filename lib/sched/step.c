#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "scheduler_internal.h"

/* Delay before the view is read again if records were applied while it was
 * being read: it may lack some members of a gang. */
#define STEP_RETRY_MS 5
/* Interval of the steps if the tables do not change: aging, hold times and
 * quarantines depend on time alone. */
#define STEP_INTERVAL_MS 1000
/* A proposal whose status has not arrived within this time is considered lost.
 * Proposing it again is safe because records carry epochs. */
#define STEP_STATUS_TIMEOUT_MS 15000

static void on_proposal_done(void *ctx, int status, uint64_t position);
static int alloc_tables(struct sch *sch);
static int alloc_scratch(struct sch *sch);
static int run_decision(
    struct sch *sch, int64_t now_ms, int (*decide)(struct sch *sch));
static void check_guarantees(struct sch *sch);
static bool has_pending_proposals(struct sch *sch, int64_t now_ms);

static void
on_proposal_done(void *ctx, int status, uint64_t position)
{
	struct sch *sch = ctx;

	(void)status;
	(void)position;
	atomic_fetch_sub(&sch->pending_proposals, 1);
}

/* Returns the message for a status code of this package. */
const char *
sch_status_name(int code)
{
	switch (code) {
	case SCH_ENOMEM:
		return "out of memory";
	case SCH_EINFEASIBLE:
		return "guaranteed shapes do not fit";
	case SCH_EGUARANTEE:
		return "guarantee invariant violated";
	case SCH_ENOTFOUND:
		return "no such job";
	default:
		return cw_status_name(code);
	}
}

/* Returns true if this step may propose more records. A step is limited to one
 * batch of the log, so that a burst does not delay other writers. */
bool
sch_has_budget(const struct sch *sch)
{
	return sch->proposed_count < SCH_PROPOSALS_MAX;
}

/* Passes a record to the sink and counts it as pending until its status is
 * known. Returns the sink's status. */
int
sch_propose(struct sch *sch, const struct rec *rec)
{
	struct st_completion done = {on_proposal_done, sch};
	int code;

	sch->proposed_count++;
	atomic_fetch_add(&sch->pending_proposals, 1);
	code = sch->spec.sink.propose(sch->spec.sink.ctx, rec, &done);
	if (code != CW_OK)
		atomic_fetch_sub(&sch->pending_proposals, 1);
	return code;
}

static int
alloc_tables(struct sch *sch)
{
	sch->workers = calloc(sch->limits.workers, sizeof(*sch->workers));
	sch->worker_rows =
	    calloc(sch->limits.workers, sizeof(const struct bd_worker *));
	sch->racks = calloc(sch->limits.workers, sizeof(*sch->racks));
	sch->jobs = calloc(sch->limits.jobs, sizeof(*sch->jobs));
	sch->tasks = calloc(sch->limits.tasks, sizeof(*sch->tasks));
	sch->promises = calloc(sch->limits.promises, sizeof(*sch->promises));
	sch->segments = calloc(sch->limits.segments, sizeof(*sch->segments));
	sch->accounts = calloc(sch->limits.accounts, sizeof(*sch->accounts));
	if (sch->workers == NULL || sch->worker_rows == NULL ||
	    sch->racks == NULL || sch->jobs == NULL || sch->tasks == NULL ||
	    sch->promises == NULL || sch->segments == NULL ||
	    sch->accounts == NULL)
		return SCH_ENOMEM;
	return CW_OK;
}

static int
alloc_scratch(struct sch *sch)
{
	sch->waiting = calloc(sch->limits.jobs, sizeof(*sch->waiting));
	sch->urgent = calloc(sch->limits.jobs, sizeof(*sch->urgent));
	sch->available = calloc(sch->limits.workers, sizeof(*sch->available));
	sch->worker_fit_counts =
	    calloc(sch->limits.workers, sizeof(*sch->worker_fit_counts));
	sch->rack_fit_counts =
	    calloc(sch->limits.workers, sizeof(*sch->rack_fit_counts));
	sch->sorted_indexes = calloc(sch->limits.workers + sch->limits.promises,
	    sizeof(*sch->sorted_indexes));
	sch->usage_ewma_table =
	    calloc(SCH_LEARN_SLOTS, sizeof(*sch->usage_ewma_table));
	sch->claim_stats_table =
	    calloc(SCH_CLAIM_STATS_SLOTS, sizeof(*sch->claim_stats_table));
	if (sch->waiting == NULL || sch->urgent == NULL ||
	    sch->available == NULL || sch->worker_fit_counts == NULL ||
	    sch->rack_fit_counts == NULL || sch->sorted_indexes == NULL ||
	    sch->usage_ewma_table == NULL || sch->claim_stats_table == NULL)
		return SCH_ENOMEM;
	if (sch_index_init(&sch->worker_index, sch->limits.workers) != CW_OK ||
	    sch_index_init(&sch->job_index, sch->limits.jobs) != CW_OK ||
	    sch_index_init(&sch->promise_index, sch->limits.promises) !=
		CW_OK ||
	    sch_index_init(&sch->account_index, sch->limits.accounts) != CW_OK)
		return SCH_ENOMEM;
	return CW_OK;
}

/* Creates a scheduler whose view holds the given numbers of rows. Returns
 * SCH_ENOMEM on allocation failure. */
int
sch_create_sized(struct sch **out, const struct sch_spec *spec,
    const struct sch_limits *limits)
{
	struct sch *sch = calloc(1, sizeof(*sch));

	assert(spec->board != NULL);
	if (sch == NULL)
		return cw_error_set(
		    SCH_ENOMEM, "out of memory while creating the scheduler");
	sch->spec = *spec;
	sch->limits = *limits;
	sch->config_default.fragmentation_weight_milli = 500;
	sch->config_default.reclaim_ms = 4000;
	sch->config_default.checkpoint_ms = 3000;
	sch->config_default.quarantine_cap_milli = 100;
	sch->config_default.moves_per_hour = 6;
	if (alloc_tables(sch) != CW_OK || alloc_scratch(sch) != CW_OK) {
		sch_destroy(sch);
		return cw_error_set(
		    SCH_ENOMEM, "out of memory while creating the scheduler");
	}
	*out = sch;
	return CW_OK;
}

/*
 * Creates a scheduler and allocates all memory that its decisions use. That is
 * about 10 MB, of which only the pages needed for the present rows are touched.
 * Returns SCH_ENOMEM on allocation failure.
 */
int
sch_create(struct sch **out, const struct sch_spec *spec)
{
	static const struct sch_limits limits = {SCH_WORKERS_MAX, SCH_JOBS_MAX,
	    SCH_TASKS_MAX, SCH_PROMISES_MAX, SCH_SEGMENTS_MAX,
	    SCH_ACCOUNTS_MAX};

	return sch_create_sized(out, spec, &limits);
}

/* Frees a scheduler. No proposal may be pending, because its completion uses
 * the scheduler. */
void
sch_destroy(struct sch *sch)
{
	free(sch->workers);
	free(sch->worker_rows);
	free(sch->racks);
	free(sch->jobs);
	free(sch->tasks);
	free(sch->promises);
	free(sch->segments);
	free(sch->accounts);
	free(sch->waiting);
	free(sch->urgent);
	free(sch->available);
	free(sch->worker_fit_counts);
	free(sch->rack_fit_counts);
	free(sch->sorted_indexes);
	free(sch->usage_ewma_table);
	free(sch->claim_stats_table);
	free(sch->worker_index.entries);
	free(sch->job_index.entries);
	free(sch->promise_index.entries);
	free(sch->account_index.entries);
	free(sch);
}

/* Runs one decision on a newly loaded view. */
static int
run_decision(struct sch *sch, int64_t now_ms, int (*decide)(struct sch *sch))
{
	int code;

	bd_read_begin();
	sch->proposed_count = 0;
	sch_view_load(sch, now_ms);
	code = decide(sch);
	bd_read_end();
	return code;
}

/* Proposes PLAN and SHORT records for promises without a usable plan. */
int
sch_plan_decide(struct sch *sch, int64_t now_ms)
{
	return run_decision(sch, now_ms, sch_plan_run);
}

/* Proposes PLACE and PREEMPT records for waiting jobs, and fails the jobs that
 * can never run. */
int
sch_place_decide(struct sch *sch, int64_t now_ms)
{
	return run_decision(sch, now_ms, sch_place_run);
}

/* Moves a limited number of jobs to make room for the gang that holds the
 * reservation. */
int
sch_defrag_decide(struct sch *sch, int64_t now_ms)
{
	return run_decision(sch, now_ms, sch_defrag_run);
}

/* Throttles gangs that use more than they declared, and preempts them if that
 * does not help. */
int
sch_overrun_decide(struct sch *sch, int64_t now_ms)
{
	return run_decision(sch, now_ms, sch_overrun_run);
}

/* Proposes QUARANTINE records for faulty workers, and fails faulty jobs. */
int
sch_quarantine_decide(struct sch *sch, int64_t now_ms)
{
	return run_decision(sch, now_ms, sch_quarantine_run);
}

/* Updates the learned run times and resource usage. */
void
sch_learn(struct sch *sch, int64_t now_ms)
{
	bd_read_begin();
	sch->now_ms = now_ms;
	sch_learn_run(sch);
	bd_read_end();
}

/* Returns true while the status of an earlier proposal is awaited. */
static bool
has_pending_proposals(struct sch *sch, int64_t now_ms)
{
	if (atomic_load(&sch->pending_proposals) <= 0)
		return false;
	if (now_ms - sch->pending_since_ms < STEP_STATUS_TIMEOUT_MS)
		return true;
	return false;
}

/* Emits an event when the guarantee invariant becomes violated. lib/state
 * enforces it too, so a violation is a bug there or in the scheduler. Decisions
 * continue, since they can only restore the invariant. */
static void
check_guarantees(struct sch *sch)
{
	bool violated = sch_guarantee_check_view(sch) != CW_OK;

	if (violated && !sch->invariant_violated)
		ev_emit(EV_SCHED_GUARANTEE, "message=\"%s\"", cw_error_last());
	sch->invariant_violated = violated;
}

/*
 * Runs one step of the controller; ctx is a struct sch, as for ctl_start.
 * Returns the time (ms) of the next step. Every VM updates its learned values;
 * only the VM that holds the placement duty (may_act) makes decisions.
 */
int64_t
sch_step(void *ctx, int64_t now_ms)
{
	static int (*const decisions[])(struct sch * sch) = {sch_quarantine_run,
	    sch_plan_run, sch_place_run, sch_defrag_run, sch_overrun_run};
	struct sch *sch = ctx;
	uint64_t changes;
	size_t i;
	int code = CW_OK;

	if (has_pending_proposals(sch, now_ms))
		return now_ms + STEP_INTERVAL_MS;
	sch_learn(sch, now_ms);
	if (!sch->spec.may_act(sch->spec.may_act_ctx, now_ms))
		return now_ms + STEP_INTERVAL_MS;
	bd_read_begin();
	sch->proposed_count = 0;
	sch->pending_since_ms = now_ms;
	changes = bd_change_count(sch->spec.board);
	sch_view_load(sch, now_ms);
	if (changes % 2 != 0 || bd_change_count(sch->spec.board) != changes) {
		bd_read_end();
		return now_ms + STEP_RETRY_MS;
	}
	check_guarantees(sch);
	for (i = 0; i < sizeof(decisions) / sizeof(*decisions) &&
	     code == CW_OK && sch_has_budget(sch);
	     i++)
		code = decisions[i](sch);
	bd_read_end();
	return now_ms + STEP_INTERVAL_MS;
}
