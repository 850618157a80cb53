#ifndef CAMPHOR_REPORT_INTERNAL_H
#define CAMPHOR_REPORT_INTERNAL_H

#include <stdio.h>

#include "report.h"

/* A job that has not ended, or whose gang still holds its workers. */
struct rp_job {
	uint64_t id;
	uint64_t account;
	uint32_t accels;
	uint32_t guaranteed;
	int64_t waiting_ms; /* since, -1: does not wait */
	int64_t holding_ms; /* since, -1: holds no workers */
	int64_t started_ms; /* of the present attempt, -1: not started */
	int64_t saved_ms;   /* progress at the start of the attempt */
	size_t preemption;  /* its open row, SIZE_MAX: none */
};

struct rp_builder {
	struct bd_board *board;
	struct st_state *state;
	struct rp_report report;
	int64_t now_ms;      /* time of the latest record, never less */
	int64_t promises_ms; /* until when the promises are summed up */
	size_t job_count;    /* sorted by id */
	size_t job_room;
	struct rp_job *jobs;
};

/* account.c */
struct rp_account *rp_account_find(struct rp_builder *builder, uint64_t id);
int rp_accounts_reload(struct rp_builder *builder);
void rp_promises_settle(struct rp_builder *builder, int64_t time_ms);
int64_t rp_overlap(
    const struct rp_builder *builder, int64_t start_ms, int64_t end_ms);

/* job.c */
int rp_jobs_load(struct rp_builder *builder, int64_t time_ms);
int rp_job_record(struct rp_builder *builder, const struct rec *rec,
    uint64_t position, int64_t time_ms);
void rp_jobs_settle(struct rp_builder *builder, int64_t time_ms);

/* builder.c */
void *rp_rows_grow(
    struct rp_builder *builder, void *rows, size_t count, size_t row_bytes);

/* names.c */
const char *rp_account_name(const struct rp_report *report, uint64_t id);
void rp_time_format(int64_t time_ms, char text[32]);

#endif
