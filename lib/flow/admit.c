#include <string.h>

#include "admit.h"
#include "flow_internal.h"

/* A ledger that says that work waits is repeated every 2 s. Two records may be
 * lost. */
#define STALE_MS 5000
/* A job is rejected if it is expected later than this multiple, in thousandths,
 * of the time from which it is useless: estimates may be off by 0.9. */
#define LIMIT_MARGIN_MILLI 1500
#define RETRY_MIN_S 1
#define RETRY_MAX_S 60
/* Longer waits are not told apart. */
#define EXPECTED_MAX_MS 86400000

/* The time that work needs on the capacity of one resource. */
struct queue_wait {
	int64_t all_ms;    /* all that is ahead of the job */
	int64_t sooner_ms; /* that of it with less slack than the job */
	int64_t own_ms;    /* the account's own work on its share alone */
};

static uint64_t accels_of(const struct bd_work *work);
static uint64_t cores_of(const struct bd_work *work);
static const struct bd_ledger_pool *find_pool(
    const struct bd_ledger *ledger, uint64_t id);
static uint32_t find_account(const struct bd_ledger *ledger, uint64_t id);
static uint32_t active_accounts(const struct bd_ledger *ledger,
    const struct bd_ledger_pool *pool, uint32_t account);
static bool fits_beside(
    const struct bd_ledger_pool *pool, const struct fw_need *need);
static int64_t time_for(uint64_t work_ms, uint64_t capacity_milli);
static bool sum_waits(const struct bd_ledger *ledger,
    const struct bd_ledger_pool *pool, const struct fw_need *need,
    bool of_accels, struct queue_wait *wait);
static uint32_t retry_after_s(uint64_t id, int64_t excess_ms);
static int64_t corrected_run_ms(
    const struct bd_ledger *ledger, const struct fw_need *need);
static void decide(const struct bd_ledger *ledger,
    const struct bd_ledger_pool *pool, const struct fw_need *need,
    struct fw_verdict *verdict);

/* Returns the name of a reason, for metrics and the log. */
const char *
fw_verdict_name(enum fw_verdict_reason reason)
{
	static const char *const names[FW_VERDICT_COUNT] = {
	    [FW_ACCEPT_NOTHING_WAITS] = "nothing_waits",
	    [FW_ACCEPT_NO_LEDGER] = "no_ledger",
	    [FW_ACCEPT_NO_TARGET] = "no_target",
	    [FW_ACCEPT_GUARANTEED] = "guaranteed",
	    [FW_ACCEPT_FITS] = "fits",
	    [FW_ACCEPT_IN_TIME] = "in_time",
	    [FW_ACCEPT_FAIR_SHARE] = "fair_share",
	    [FW_ACCEPT_MAYBE_STORED] = "maybe_stored",
	    [FW_ACCEPT_UNCONFIRMED] = "unconfirmed",
	    [FW_REJECT_ACCELS] = "accels",
	    [FW_REJECT_CORES] = "cores"};

	return reason < FW_VERDICT_COUNT ? names[reason] : "unknown";
}

bool
fw_verdict_rejects(const struct fw_verdict *verdict)
{
	return verdict->reason == FW_REJECT_ACCELS ||
	    verdict->reason == FW_REJECT_CORES;
}

/* Describes what a job asks for, but for the guarantee of its account. */
void
fw_need_of(const struct bd_flow *flow, struct fw_need *need)
{
	const struct bd_flow_step *steps = fw_flow_steps(flow);
	uint32_t s;

	memset(need, 0, sizeof(*need));
	need->id = flow->id;
	need->queue = flow->queue;
	need->pool = flow->pool;
	need->account = flow->client;
	need->priority = flow->priority;
	need->run_ms = fw_flow_run_ms(flow);
	need->target_ms = fw_flow_target_ms(flow, need->run_ms);
	need->deferred = flow->first_due_ms > 0 || flow->occurrences > 1;
	for (s = 0; s < flow->step_count; s++) {
		const struct bd_flow_step *step = &steps[s];
		uint64_t cores_milli =
		    (step->flags & BD_STEP_FILLS) != 0 ? 0 : step->cores_milli;
		uint64_t ms = (uint64_t)step->count * step->estimate_ms;

		need->lasts |= (step->flags & BD_STEP_LONG_RUNNING) != 0;
		need->work.accel_ms += ms * step->accels;
		need->work.core_ms += ms * cores_milli / 1000;
		if (fw_step_group_accels(step) > need->group_accels)
			need->group_accels = fw_step_group_accels(step);
		if (s > 0)
			continue;
		need->widest.accels = step->accels;
		need->widest.cores_milli = cores_milli;
		need->first.accels = (uint64_t)step->count * step->accels;
		need->first.cores_milli = step->count * cores_milli;
	}
}

/* Returns whether a ledger is too old to act on, or from the future by more
 * than the clocks of VMs differ. */
bool
fw_ledger_stale(const struct bd_ledger *ledger, int64_t wall_ms)
{
	return wall_ms - ledger->at_ms > STALE_MS ||
	    ledger->at_ms - wall_ms > FW_CLOCK_SKEW_MAX_MS;
}

static uint64_t
accels_of(const struct bd_work *work)
{
	return work->accel_ms;
}

static uint64_t
cores_of(const struct bd_work *work)
{
	return work->core_ms;
}

static const struct bd_ledger_pool *
find_pool(const struct bd_ledger *ledger, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < ledger->pool_count; i++)
		if (ledger->pools[i].id == id)
			return &ledger->pools[i];
	return NULL;
}

static uint32_t
find_account(const struct bd_ledger *ledger, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < ledger->account_count; i++)
		if (ledger->accounts[i].id == id)
			return i;
	return FW_NONE;
}

/* Returns the number of accounts that have work in a service, or are about to:
 * account, FW_NONE for one that the ledger does not name. */
static uint32_t
active_accounts(const struct bd_ledger *ledger,
    const struct bd_ledger_pool *pool, uint32_t account)
{
	uint32_t active = account == FW_NONE;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < ledger->account_count; i++) {
		uint64_t work = 0;

		for (k = 0; k < BD_LEDGER_LEVELS; k++)
			work += pool->accounts[i][k].accel_ms +
			    pool->accounts[i][k].core_ms;
		active += work > 0 || i == account;
	}
	return active;
}

/* Returns whether the first step of a job may fit into what is free. */
static bool
fits_beside(const struct bd_ledger_pool *pool, const struct fw_need *need)
{
	uint32_t kind = need->priority == 0 ? 0 : 1;
	const struct bd_room *free = &pool->free[kind];
	const struct bd_room *widest = &pool->free_widest[kind];

	return need->first.accels <= free->accels &&
	    need->first.cores_milli <= free->cores_milli &&
	    need->widest.accels <= widest->accels &&
	    need->widest.cores_milli <= widest->cores_milli;
}

/* Returns the time in ms that work needs on a capacity in thousandths. */
static int64_t
time_for(uint64_t work_ms, uint64_t capacity_milli)
{
	if (work_ms / capacity_milli >= EXPECTED_MAX_MS / 1000)
		return EXPECTED_MAX_MS;
	return (int64_t)(work_ms * 1000 / capacity_milli);
}

/* Computes how long a job waits for one resource. Work of higher priorities is
 * ahead of it, and that of its own, but for groups that need more accelerators
 * at once: with these, a quarter of the rejected jobs in the plays of
 * test_flow_admit_load could have been done. What runs of lower priorities is
 * not ahead, as it yields or ends soon. Returns false if the capacity is not
 * known. */
static bool
sum_waits(const struct bd_ledger *ledger, const struct bd_ledger_pool *pool,
    const struct fw_need *need, bool of_accels, struct queue_wait *wait)
{
	uint64_t (*of)(const struct bd_work *) =
	    of_accels ? accels_of : cores_of;
	uint64_t total = of_accels
	    ? 1000 * (pool->present.accels + pool->returning.accels)
	    : pool->present.cores_milli + pool->returning.cores_milli;
	uint64_t held =
	    of_accels ? 1000 * pool->held.accels : pool->held.cores_milli;
	uint32_t account = find_account(ledger, need->account);
	uint32_t level = fw_ledger_level(need->priority);
	uint32_t slack = fw_ledger_slack_class(need->target_ms - need->run_ms);
	uint32_t size = fw_ledger_size_class(need->group_accels);
	uint32_t shares = active_accounts(ledger, pool, account);
	uint64_t all = 0;
	uint64_t sooner = 0;
	uint64_t own = of(&need->work);
	uint32_t i;
	uint32_t k;

	if (total <= held || total / 1000 == 0)
		return false;
	for (i = 0; i <= level; i++) {
		all += of(&pool->levels[i].running);
		sooner += of(&pool->levels[i].running);
		for (k = 0; k < BD_LEDGER_SLACKS; k++)
			/* Late jobs come after those that can be in time. Of
			 * those in its own class, half have less slack. */
			if (i < level || (k > 0 && k < slack))
				sooner += of(&pool->levels[i].by_slack[k]);
			else if (k == slack)
				sooner += of(&pool->levels[i].by_slack[k]) / 2;
		/* A larger group waits for room that a smaller one uses
		 * before it, so it is ahead of none. */
		for (k = 0; k <= size; k++)
			all += of(&pool->levels[i].by_size[k]);
		if (account != FW_NONE)
			own += of(&pool->accounts[account][i]);
	}
	wait->all_ms = time_for(all, total - held);
	wait->sooner_ms = time_for(sooner, total - held);
	wait->own_ms = time_for(own * shares, total - held);
	return true;
}

/* Returns the time in s after which a rejected caller should try again: once
 * its job would be accepted, if nothing else came. Callers are spread over half
 * of that time again, and the same job always gets the same part of it. */
static uint32_t
retry_after_s(uint64_t id, int64_t excess_ms)
{
	uint64_t mixed = (id ^ id >> 31) * 0x9e3779b97f4a7c15ULL;
	int64_t base_s = excess_ms / 1000 + RETRY_MIN_S;
	int64_t spread_s;

	if (base_s > RETRY_MAX_S * 2 / 3)
		base_s = RETRY_MAX_S * 2 / 3;
	spread_s = base_s / 2 + 2;
	base_s += (int64_t)((mixed >> 33) % (uint64_t)spread_s);
	return base_s > RETRY_MAX_S ? RETRY_MAX_S : (uint32_t)base_s;
}

/* Returns the run time of a job, corrected by those of its queue. */
static int64_t
corrected_run_ms(const struct bd_ledger *ledger, const struct fw_need *need)
{
	uint32_t i;

	for (i = 0; i < ledger->queue_count; i++)
		if (ledger->queues[i].id == need->queue)
			return need->run_ms *
			    (int64_t)ledger->queues[i].ratio_milli / 1000;
	return need->run_ms;
}

/* Decides on a job of a service in which work waits. */
static void
decide(const struct bd_ledger *ledger, const struct bd_ledger_pool *pool,
    const struct fw_need *need, struct fw_verdict *verdict)
{
	int64_t run_ms = corrected_run_ms(ledger, need);
	int64_t slack_ms = need->target_ms - need->run_ms;
	bool sooner_fits = true;
	bool fair = true;
	bool known = true;
	uint32_t i;

	verdict->limit_ms = need->target_ms * FW_USEFUL_TARGET_FACTOR *
	    LIMIT_MARGIN_MILLI / 1000;
	verdict->expected_ms = run_ms;
	verdict->reason = FW_ACCEPT_IN_TIME;
	for (i = 0; i < 2; i++) {
		bool of_accels = i == 0;
		struct queue_wait wait;

		if ((of_accels ? need->work.accel_ms : need->work.core_ms) == 0)
			continue;
		if (!sum_waits(ledger, pool, need, of_accels, &wait)) {
			known = false;
			continue;
		}
		sooner_fits &= wait.sooner_ms <= slack_ms;
		if (run_ms + wait.all_ms > verdict->limit_ms)
			fair &= run_ms + wait.own_ms <= verdict->limit_ms;
		if (run_ms + wait.all_ms <= verdict->expected_ms)
			continue;
		verdict->expected_ms = run_ms + wait.all_ms;
		if (verdict->expected_ms > verdict->limit_ms)
			verdict->reason =
			    of_accels ? FW_REJECT_ACCELS : FW_REJECT_CORES;
	}
	if (!fw_verdict_rejects(verdict))
		return;
	if (!known || sooner_fits)
		verdict->reason = FW_ACCEPT_IN_TIME;
	else if (fair)
		verdict->reason = FW_ACCEPT_FAIR_SHARE;
	else
		verdict->retry_after_s = retry_after_s(
		    need->id, verdict->expected_ms - verdict->limit_ms);
}

/*
 * Decides whether a new job is accepted. ledger may be NULL. Load answered:
 * more work is committed than can be done while it is useful, by bursts or lost
 * workers; accepting more of it makes callers wait in vain, instead of trying
 * later. A job is rejected only if it is expected beyond 4.5 times its
 * completion target, its account has no share left, and it does not fit beside
 * what runs. In doubt it is accepted.
 */
void
fw_admit(const struct bd_ledger *ledger, const struct fw_need *need,
    int64_t wall_ms, struct fw_verdict *verdict)
{
	const struct bd_ledger_pool *pool;

	memset(verdict, 0, sizeof(*verdict));
	if (ledger != NULL && ledger->pool_count == 0)
		verdict->reason = FW_ACCEPT_NOTHING_WAITS;
	else if (ledger == NULL || fw_ledger_stale(ledger, wall_ms))
		verdict->reason = FW_ACCEPT_NO_LEDGER;
	else if (need->lasts || need->deferred || need->target_ms <= 0)
		verdict->reason = FW_ACCEPT_NO_TARGET;
	else if ((pool = find_pool(ledger, need->pool)) == NULL)
		verdict->reason = FW_ACCEPT_NOTHING_WAITS;
	else if (need->guaranteed)
		verdict->reason = FW_ACCEPT_GUARANTEED;
	else if (fits_beside(pool, need))
		verdict->reason = FW_ACCEPT_FITS;
	else if (ledger->left_out != 0 &&
	    find_account(ledger, need->account) == FW_NONE)
		verdict->reason = FW_ACCEPT_FAIR_SHARE;
	else
		decide(ledger, pool, need, verdict);
}
