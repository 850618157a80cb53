#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "report_internal.h"

#define ROWS_CAPACITY_MIN 64

static void record_change(
    struct rp_builder *builder, const struct rec *rec, int64_t time_ms);
static void record_intent(
    struct rp_builder *builder, uint64_t account_id, int64_t time_ms);
static struct rp_account *find_request_account(
    struct rp_builder *builder, const struct rec *rec);
static int count_record(struct rp_builder *builder, const struct rec *rec,
    uint64_t position, int64_t time_ms);
static int compare_names(const void *a, const void *b);

/*
 * Creates a builder with empty tables for the period from from_ms up to but not
 * including to_ms. Returns RP_EINVALID if the period is empty, or RP_ENOMEM.
 */
int
rp_builder_create(struct rp_builder **out, int64_t from_ms, int64_t to_ms)
{
	struct rp_builder *builder;

	assert(out != NULL);
	if (from_ms < 0 || to_ms <= from_ms)
		return cw_error_set(RP_EINVALID, "the period is empty");
	builder = calloc(1, sizeof(*builder));
	if (builder == NULL || bd_board_create(&builder->board) != CW_OK ||
	    st_create(&builder->state, builder->board) != CW_OK) {
		rp_builder_destroy(builder);
		return cw_error_set(
		    RP_ENOMEM, "out of memory while creating a report");
	}
	builder->report.from_ms = from_ms;
	builder->report.to_ms = to_ms;
	builder->report.covered_from_ms = from_ms;
	*out = builder;
	return CW_OK;
}

/* Frees the builder and its report. */
void
rp_builder_destroy(struct rp_builder *builder)
{
	if (builder == NULL)
		return;
	free(builder->report.accounts);
	free(builder->report.preemptions);
	free(builder->report.losses);
	free(builder->report.changes);
	free(builder->jobs);
	if (builder->state != NULL)
		st_destroy(builder->state);
	if (builder->board != NULL)
		bd_board_destroy(builder->board);
	free(builder);
}

/* Reserves a zeroed row at the end of a list and returns the list, which may
 * have moved. If the list has RP_ROWS_MAX rows or memory is exhausted, leaves
 * the list unchanged, counts the row as left out and returns NULL. */
void *
rp_rows_reserve(
    struct rp_builder *builder, void *rows, size_t count, size_t row_bytes)
{
	void *grown = rows;

	/* The capacity doubles whenever count reaches a power of two. */
	if ((count & (count - 1)) == 0 &&
	    (count == 0 || count >= ROWS_CAPACITY_MIN))
		grown = count >= RP_ROWS_MAX
		    ? NULL
		    : realloc(rows,
			  (count == 0 ? ROWS_CAPACITY_MIN : count * 2) *
			      row_bytes);
	if (grown == NULL || count >= RP_ROWS_MAX) {
		builder->report.left_out++;
		return NULL;
	}
	memset((char *)grown + count * row_bytes, 0, row_bytes);
	return grown;
}

static void
record_change(
    struct rp_builder *builder, const struct rec *rec, int64_t time_ms)
{
	struct rp_report *report = &builder->report;
	struct rp_change *added;
	struct rp_change *grown;

	if (time_ms < report->from_ms || time_ms >= report->to_ms)
		return;
	grown = rp_rows_reserve(
	    builder, report->changes, report->change_count, sizeof(*grown));
	if (grown == NULL)
		return;
	report->changes = grown;
	added = &grown[report->change_count++];
	added->version = rec->body.config.base_version + 1;
	added->time_ms = time_ms;
	added->bytes = rec->body.config.text_bytes;
	memcpy(added->author, rec->body.config.author, sizeof(added->author));
}

static void
record_intent(struct rp_builder *builder, uint64_t account_id, int64_t time_ms)
{
	struct rp_account *account = rp_account_find(builder, account_id);

	if (account == NULL || time_ms < builder->report.from_ms ||
	    time_ms >= builder->report.to_ms)
		return;
	account->requests++;
	account->unanswered++;
}

/* Returns the account of the request that a REQ_OUTCOME record completes, if
 * its intent lies in the period, else NULL. Must be called before the record is
 * applied, which may remove the request's row. */
static struct rp_account *
find_request_account(struct rp_builder *builder, const struct rec *rec)
{
	const struct bd_request *row;
	struct rp_account *account = NULL;

	if (rec->kind != REC_REQ_OUTCOME)
		return NULL;
	bd_read_begin();
	row = bd_request_lookup(builder->board, rec->body.req_outcome.id);
	if (row != NULL && row->intent_ms >= builder->report.from_ms)
		account = rp_account_find(builder, row->account);
	bd_read_end();
	return account;
}

/* Counts a record that was applied. Returns RP_ENOMEM on failure. */
static int
count_record(struct rp_builder *builder, const struct rec *rec,
    uint64_t position, int64_t time_ms)
{
	switch (rec->kind) {
	case REC_CONFIG:
		record_change(builder, rec, time_ms);
		return rp_accounts_reload(builder);
	case REC_PLAN:
	case REC_SHORT:
		return rp_accounts_reload(builder);
	case REC_REQ_INTENT:
		record_intent(builder, rec->body.req_intent.account, time_ms);
		return CW_OK;
	default:
		return rp_jobs_update(builder, rec, position, time_ms);
	}
}

/*
 * Applies one record and, if it was accepted, counts it. Records after the
 * period are ignored. Because VM clocks differ, the time of a record is taken
 * to be at least that of every earlier record. Returns RP_ENOMEM on failure.
 */
int
rp_builder_apply(
    struct rp_builder *builder, const struct rec *rec, uint64_t position)
{
	int64_t time_ms = rec->time_ms;
	struct rp_account *answered;
	int code;

	assert(builder != NULL && rec != NULL);
	if (time_ms < builder->now_ms)
		time_ms = builder->now_ms;
	if (time_ms >= builder->report.to_ms)
		return CW_OK;
	builder->now_ms = time_ms;
	builder->report.records++;
	if (rec->kind == REC_CONFIG || rec->kind == REC_PLAN ||
	    rec->kind == REC_SHORT)
		rp_promises_accrue(builder, time_ms);
	answered = find_request_account(builder, rec);
	code = st_apply(builder->state, rec, position);
	if (code != CW_OK) {
		builder->report.rejected++;
		return CW_OK;
	}
	if (answered != NULL && answered->unanswered > 0)
		answered->unanswered--;
	bd_read_begin();
	code = count_record(builder, rec, position, time_ms);
	bd_read_end();
	return code;
}

static int
compare_names(const void *a, const void *b)
{
	return strcmp(((const struct rp_account *)a)->name,
	    ((const struct rp_account *)b)->name);
}

/* Accounts for the time up to the end of the period and sorts the accounts by
 * name. No record may be applied afterwards. */
const struct rp_report *
rp_builder_finish(struct rp_builder *builder)
{
	struct rp_report *report = &builder->report;

	rp_promises_accrue(builder, report->to_ms);
	rp_jobs_close(builder, report->to_ms);
	if (report->account_count > 0)
		qsort(report->accounts, report->account_count,
		    sizeof(*report->accounts), compare_names);
	return report;
}
