#ifndef CAMPHOR_REPORT_INTERNAL_H
#define CAMPHOR_REPORT_INTERNAL_H

#include <stdio.h>

#include "report.h"

/* A job that has not ended, or whose gang still holds workers. */
struct rp_job {
	uint64_t id;
	uint64_t account;
	uint32_t accels;
	uint32_t guaranteed;
	int64_t waiting_since_ms; /* -1: not waiting */
	int64_t holding_since_ms; /* -1: holds no workers */
	int64_t started_ms;       /* of the current attempt, -1: not started */
	int64_t initial_progress_ms; /* checkpointed before the attempt */
	size_t preemption;           /* index of its open row, SIZE_MAX: none */
};

struct rp_builder {
	struct bd_board *board;
	struct st_state *state;
	struct rp_report report;
	int64_t now_ms;              /* greatest record time so far */
	int64_t promises_accrued_ms; /* promises are accrued up to here */
	size_t job_count;            /* sorted by id */
	size_t job_capacity;
	struct rp_job *jobs;
};

/* account.c */
struct rp_account *rp_account_find(struct rp_builder *builder, uint64_t id);
int rp_accounts_reload(struct rp_builder *builder);
void rp_promises_accrue(struct rp_builder *builder, int64_t time_ms);
int64_t rp_overlap(
    const struct rp_builder *builder, int64_t start_ms, int64_t end_ms);

/* job.c */
int rp_jobs_load(struct rp_builder *builder, int64_t time_ms);
int rp_jobs_update(struct rp_builder *builder, const struct rec *rec,
    uint64_t position, int64_t time_ms);
void rp_jobs_close(struct rp_builder *builder, int64_t time_ms);

/* builder.c */
void *rp_rows_reserve(
    struct rp_builder *builder, void *rows, size_t count, size_t row_bytes);

/* names.c */
const char *rp_account_name(const struct rp_report *report, uint64_t id);
void rp_time_format(int64_t time_ms, char text[32]);

#endif
