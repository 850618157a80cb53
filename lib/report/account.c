#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "report_internal.h"

static int add_account(
    struct rp_builder *builder, const struct bd_account *row);
static void load_promises(struct rp_builder *builder);

/* Returns the length (ms) of the part of an interval within the period. */
int64_t
rp_overlap(const struct rp_builder *builder, int64_t start_ms, int64_t end_ms)
{
	const struct rp_report *report = &builder->report;

	if (start_ms < report->from_ms)
		start_ms = report->from_ms;
	if (end_ms > report->to_ms)
		end_ms = report->to_ms;
	return end_ms > start_ms ? end_ms - start_ms : 0;
}

/* Returns the report row of an account, NULL if there is none. */
struct rp_account *
rp_account_find(struct rp_builder *builder, uint64_t id)
{
	size_t i;

	for (i = 0; i < builder->report.account_count; i++)
		if (builder->report.accounts[i].id == id)
			return &builder->report.accounts[i];
	return NULL;
}

static int
add_account(struct rp_builder *builder, const struct bd_account *row)
{
	struct rp_report *report = &builder->report;
	struct rp_account *grown;

	if (rp_account_find(builder, row->id) != NULL)
		return CW_OK;
	grown = realloc(
	    report->accounts, (report->account_count + 1) * sizeof(*grown));
	if (grown == NULL)
		return RP_ENOMEM;
	report->accounts = grown;
	grown += report->account_count++;
	memset(grown, 0, sizeof(*grown));
	grown->id = row->id;
	memcpy(grown->name, row->name, sizeof(grown->name));
	return CW_OK;
}

/* Updates the accelerators that each account is currently promised and short
 * of. */
static void
load_promises(struct rp_builder *builder)
{
	struct rp_report *report = &builder->report;
	const struct bd_promise *promise;
	struct rp_account *account;
	uint32_t cursor = 0;
	uint32_t accels;
	size_t i;

	for (i = 0; i < report->account_count; i++) {
		report->accounts[i].accels_promised = 0;
		report->accounts[i].accels_short = 0;
	}
	while ((promise = bd_promise_next(builder->board, &cursor)) != NULL) {
		account = rp_account_find(builder, promise->account);
		if (account == NULL)
			continue;
		accels =
		    (uint32_t)promise->shape.members * promise->shape.accels;
		account->accels_promised += accels;
		if (promise->short_since_ms != 0)
			account->accels_short += accels;
	}
}

/* Adds new accounts from the tables and updates the promises of all. Removed
 * accounts stay in the report. Returns RP_ENOMEM on failure. */
int
rp_accounts_reload(struct rp_builder *builder)
{
	const struct bd_account *row;
	uint32_t cursor = 0;
	int code = CW_OK;

	bd_read_begin();
	while (code == CW_OK &&
	    (row = bd_account_next(builder->board, &cursor)) != NULL)
		code = add_account(builder, row);
	load_promises(builder);
	bd_read_end();
	return code;
}

/* Accrues the promised and short accelerator time since the last call. */
void
rp_promises_accrue(struct rp_builder *builder, int64_t time_ms)
{
	struct rp_report *report = &builder->report;
	int64_t ms = rp_overlap(builder, builder->promises_accrued_ms, time_ms);
	size_t i;

	for (i = 0; i < report->account_count; i++) {
		report->accounts[i].promised_ms +=
		    ms * report->accounts[i].accels_promised;
		report->accounts[i].short_ms +=
		    ms * report->accounts[i].accels_short;
	}
	builder->promises_accrued_ms = time_ms;
}
