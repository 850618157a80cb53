#include <assert.h>

#include "scheduler_internal.h"

static bool job_precedes(const void *ctx, uint32_t a, uint32_t b);
static bool waited_longer(const void *ctx, uint32_t a, uint32_t b);
static void advance_level(struct sch *sch);

/* Recomputes an account's dominant share above its quota, divided by its
 * weight, in millionths; 0 if the account is within its quota. */
void
sch_excess_share_update(struct sch *sch, uint32_t account)
{
	struct sch_account *entry = &sch->accounts[account];
	double quota = 0;
	double weight = 1;
	double share = 0;
	double cores = 0;

	if (sch->total_accels > 0)
		share = (double)entry->held_accels / (double)sch->total_accels;
	if (sch->total_cores > 0)
		cores = (double)entry->held_cores / (double)sch->total_cores;
	if (cores > share)
		share = cores;
	if (entry->row != NULL) {
		if (sch->total_accels > 0)
			quota = (double)entry->row->quota_accels /
			    (double)sch->total_accels;
		if (entry->row->weight_milli > 0)
			weight = (double)entry->row->weight_milli / 1000;
	}
	share = share > quota ? (share - quota) / weight : 0;
	entry->excess_share = (int64_t)(share * 1e6);
}

static bool
job_precedes(const void *ctx, uint32_t a, uint32_t b)
{
	const struct sch *sch = ctx;
	const struct sch_job *x = &sch->jobs[a];
	const struct sch_job *y = &sch->jobs[b];

	if (x->priority_level != y->priority_level)
		return x->priority_level < y->priority_level;
	if (x->account != y->account)
		return x->account < y->account;
	if (x->response_ratio_milli != y->response_ratio_milli)
		return x->response_ratio_milli > y->response_ratio_milli;
	return x->row->id < y->row->id;
}

static bool
waited_longer(const void *ctx, uint32_t a, uint32_t b)
{
	const struct sch *sch = ctx;
	const struct bd_job *x = sch->jobs[a].row;
	const struct bd_job *y = sch->jobs[b].row;

	if (x->waiting_since_ms != y->waiting_since_ms)
		return x->waiting_since_ms < y->waiting_since_ms;
	return x->id < y->id;
}

/*
 * Sorts the waiting jobs by priority level and account and, within these, by
 * response ratio: (wait + run) / run. A short job thus does not wait for a long
 * one submitted just before it, and no job starves because every ratio grows
 * over time. Urgent jobs are also listed by waiting time alone: a later urgent
 * job must not take the plan that is being cleared for an earlier one, which
 * would restart the bounded wait of the earlier job.
 */
void
sch_order_build(struct sch *sch)
{
	uint32_t i;

	sch->urgent_count = 0;
	for (i = 0; i < sch->waiting_count; i++) {
		struct sch_job *job = &sch->jobs[sch->waiting[i]];
		int64_t wait = sch->now_ms - job->row->waiting_since_ms;
		int64_t promoted;

		if (wait < 0)
			wait = 0;
		promoted = wait / SCH_AGING_MS;
		job->priority_level = job->row->class_number > promoted
		    ? job->row->class_number - (uint32_t)promoted
		    : 0;
		job->response_ratio_milli =
		    1000 * (wait + job->run_ms) / job->run_ms;
		if (job->row->class_number == BD_CLASS_URGENT)
			sch->urgent[sch->urgent_count++] = sch->waiting[i];
	}
	sch_sort(sch->waiting, sch->waiting_count, job_precedes, sch);
	sch_sort(sch->urgent, sch->urgent_count, waited_longer, sch);
	sch_order_rewind(sch);
}

/* Resets the iteration of sch_order_next over the waiting jobs. */
void
sch_order_rewind(struct sch *sch)
{
	uint32_t i;

	sch->next_level_start = 0;
	for (i = 0; i < sch->account_count; i++) {
		sch->accounts[i].waiting_next = 0;
		sch->accounts[i].waiting_end = 0;
	}
}

/* Sets waiting_next and waiting_end of each account to its range of jobs of the
 * next level. */
static void
advance_level(struct sch *sch)
{
	uint32_t level =
	    sch->jobs[sch->waiting[sch->next_level_start]].priority_level;
	uint32_t i = sch->next_level_start;

	while (i < sch->waiting_count &&
	    sch->jobs[sch->waiting[i]].priority_level == level) {
		struct sch_account *account =
		    &sch->accounts[sch->jobs[sch->waiting[i]].account];

		if (account->waiting_end <= sch->next_level_start)
			account->waiting_next = i;
		account->waiting_end = ++i;
	}
	sch->next_level_start = i;
}

/*
 * Returns the next waiting job: of the most urgent level left, the first job of
 * the account with the lowest share above quota at this moment, so that each
 * placement affects the choice of the next job. Returns SCH_NONE after the last
 * job.
 */
uint32_t
sch_order_next(struct sch *sch)
{
	for (;;) {
		struct sch_account *best = NULL;
		int64_t best_ratio = 0;
		uint32_t i;

		for (i = 0; i < sch->account_count; i++) {
			struct sch_account *account = &sch->accounts[i];
			int64_t ratio;

			if (account->waiting_next >= account->waiting_end)
				continue;
			ratio = sch->jobs[sch->waiting[account->waiting_next]]
				    .response_ratio_milli;
			if (best == NULL ||
			    account->excess_share < best->excess_share ||
			    (account->excess_share == best->excess_share &&
				ratio > best_ratio)) {
				best = account;
				best_ratio = ratio;
			}
		}
		if (best != NULL)
			return sch->waiting[best->waiting_next++];
		if (sch->next_level_start >= sch->waiting_count)
			return SCH_NONE;
		advance_level(sch);
	}
}
