#ifndef CAMPHOR_REPORT_H
#define CAMPHOR_REPORT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "board.h"
#include "platform.h"
#include "state.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * 1. Status codes
 */
enum rp_status {
	RP_ENOMEM = CW_BASE_REPORT - 1,
	RP_EUNAVAILABLE = CW_BASE_REPORT - 2, /* log unreachable or gap */
	RP_EINVALID = CW_BASE_REPORT - 3,     /* the period is empty */
	RP_EMALFORMED = CW_BASE_REPORT - 4,   /* snapshot cannot be loaded */
};

const char *rp_status_name(int code);

/*
 * 2. The report of the period from from_ms up to but not including to_ms.
 * promised_ms to lost_ms are in accelerator-milliseconds. Intervals are clipped
 * to the period.
 */
struct rp_account {
	uint64_t id;
	char name[CW_NAME_BYTES];
	int64_t promised_ms;   /* guaranteed accelerators × time */
	int64_t short_ms;      /* part of promised_ms that lacked hardware */
	int64_t asked_ms;      /* accelerators × declared run time of jobs */
	int64_t guaranteed_ms; /* used within the guarantee */
	int64_t borrowed_ms;   /* used beyond the guarantee */
	int64_t lost_ms;       /* work repeated or discarded */
	int64_t waited_ms;     /* ms, sum over jobs, not × accelerators */
	int64_t wait_max_ms;   /* longest single wait */
	uint32_t submitted;
	uint32_t done;
	uint32_t failed;
	uint32_t cancelled;
	uint32_t restarts;
	uint32_t reclaimed;  /* gangs preempted for others' guarantees */
	uint32_t requests;   /* non-idempotent, recorded */
	uint32_t unanswered; /* requests without an outcome at the end */
	/* Current values while records are applied. */
	uint32_t accels_promised;
	uint32_t accels_short;
};

/* A preemption of a gang. */
struct rp_preemption {
	uint64_t job;
	uint64_t account;
	uint64_t for_job;
	uint64_t for_account; /* 0: none */
	int64_t start_ms;
	int64_t duration_ms; /* until its workers were released, -1: not yet */
	uint32_t reason;     /* enum bd_reason */
	uint32_t accels;
	char name[CW_NAME_BYTES]; /* of the job */
};

/* An attempt that ended without a result, or a job that failed. */
struct rp_loss {
	uint64_t job;
	uint64_t account;
	int64_t time_ms;
	int64_t lost_ms; /* accelerator-ms of work that is lost */
	uint32_t reason; /* enum bd_reason */
	uint32_t ended;  /* 1: the job has failed, 0: it is queued again */
	char name[CW_NAME_BYTES];
	char worker[CW_NAME_BYTES]; /* that failed, "": none */
};

/* An accepted configuration. */
struct rp_change {
	uint64_t version;
	int64_t time_ms;
	uint32_t bytes;
	uint32_t reserved;
	char author[CW_NAME_BYTES];
};

#define RP_ROWS_MAX 10000 /* per list; further rows are only counted */

struct rp_report {
	int64_t from_ms;
	int64_t to_ms;
	int64_t covered_from_ms; /* later than from_ms if records expired */
	size_t account_count;    /* sorted by name */
	struct rp_account *accounts;
	size_t preemption_count;
	struct rp_preemption *preemptions;
	size_t loss_count;
	struct rp_loss *losses;
	size_t change_count;
	struct rp_change *changes;
	uint64_t left_out; /* rows beyond RP_ROWS_MAX or available memory */
	uint64_t records;
	uint64_t rejected; /* records that st_apply() rejected, e.g. stale */
};

/*
 * 3. Building a report from records in position order, starting at the
 * beginning of the log or after a snapshot. The builder applies them to its own
 * tables, so that it counts exactly the records that every VM accepted.
 */
struct rp_builder;

int rp_builder_create(struct rp_builder **out, int64_t from_ms, int64_t to_ms);
void rp_builder_destroy(struct rp_builder *builder);
int rp_builder_apply(
    struct rp_builder *builder, const struct rec *rec, uint64_t position);
/* Completes the report, which the builder owns. */
const struct rp_report *rp_builder_finish(struct rp_builder *builder);

/* Builds a report from the records in the log, starting at a snapshot if the
 * first records have expired. Does not write to the log. */
int rp_log_read(const struct pf_log *log, int64_t from_ms, int64_t to_ms,
    struct rp_builder **out);

/*
 * 4. Output formats. Each function returns text that the caller frees, or NULL
 * if out of memory.
 */
char *rp_format_text(const struct rp_report *report, size_t *bytes);
char *rp_format_csv(const struct rp_report *report, size_t *bytes);
/* A gnuplot script that contains its data. */
char *rp_format_plot(const struct rp_report *report, size_t *bytes);

#ifdef __cplusplus
}
#endif

#endif
