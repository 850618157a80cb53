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
	RP_EUNAVAILABLE = CW_BASE_REPORT - 2, /* log out of reach */
	RP_EINVALID = CW_BASE_REPORT - 3,     /* the period is empty */
	RP_EMALFORMED = CW_BASE_REPORT - 4,   /* a snapshot cannot be read */
};

const char *rp_status_name(int code);

/*
 * 2. The report of a period. Products with accelerators are in accelerator
 * milliseconds; everything is clipped to the period.
 */
struct rp_account {
	uint64_t id;
	char name[CW_NAME_BYTES];
	int64_t promised_ms; /* accelerators guaranteed × time */
	int64_t short_ms;    /* of these, without hardware */
	int64_t asked_ms;    /* accelerators × declared time of its submits */
	int64_t guaranteed_ms;
	int64_t borrowed_ms;
	int64_t lost_ms;   /* work done again or thrown away */
	int64_t waited_ms; /* sum over its jobs, not times accelerators */
	int64_t wait_max_ms;
	uint32_t submitted;
	uint32_t done;
	uint32_t failed;
	uint32_t cancelled;
	uint32_t restarts;
	uint32_t reclaimed;  /* of its gangs, for others */
	uint32_t requests;   /* non-idempotent, recorded */
	uint32_t unanswered; /* of these, without an outcome at the end */
	/* While records are read. */
	uint32_t accels_promised;
	uint32_t accels_short;
};

/* A gang that had to give way. */
struct rp_preemption {
	uint64_t job;
	uint64_t account;
	uint64_t for_job;
	uint64_t for_account; /* 0: none */
	int64_t start_ms;
	int64_t duration_ms; /* until its workers were free, -1: still open */
	uint32_t reason;     /* enum bd_reason */
	uint32_t accels;
	char name[CW_NAME_BYTES]; /* of the job */
};

/* An attempt that ended without its result, or a job that failed. */
struct rp_loss {
	uint64_t job;
	uint64_t account;
	int64_t time_ms;
	int64_t lost_ms; /* accelerator ms since the last checkpoint */
	uint32_t reason; /* enum bd_reason */
	uint32_t ended;  /* 1: the job failed for good, 0: it waits again */
	char name[CW_NAME_BYTES];
	char worker[CW_NAME_BYTES]; /* at fault, "" for none */
};

struct rp_change {
	uint64_t version;
	int64_t time_ms;
	uint32_t bytes;
	uint32_t reserved;
	char author[CW_NAME_BYTES];
};

#define RP_ROWS_MAX 10000 /* of each list; more are counted */

struct rp_report {
	int64_t from_ms;
	int64_t to_ms;
	int64_t covered_from_ms; /* from_ms, or later where records are gone */
	size_t account_count;    /* sorted by name */
	struct rp_account *accounts;
	size_t preemption_count;
	struct rp_preemption *preemptions;
	size_t loss_count;
	struct rp_loss *losses;
	size_t change_count;
	struct rp_change *changes;
	uint64_t left_out; /* rows beyond RP_ROWS_MAX */
	uint64_t records;
	uint64_t rejected; /* by apply, such as stale ones */
};

/*
 * 3. Building a report from records, in the order of their positions from the
 * beginning or from a snapshot on. The builder applies them to tables of its
 * own, so that it counts exactly what every VM has accepted.
 */
struct rp_builder;

int rp_builder_create(struct rp_builder **out, int64_t from_ms, int64_t to_ms);
void rp_builder_destroy(struct rp_builder *builder);
int rp_builder_apply(
    struct rp_builder *builder, const struct rec *rec, uint64_t position);
/* Ends the report; it belongs to the builder. */
const struct rp_report *rp_builder_finish(struct rp_builder *builder);

/* Reads the records that the log still keeps, from a snapshot on where the
 * first ones are gone, into a new builder. It only reads the log. */
int rp_read(const struct pf_log *log, int64_t from_ms, int64_t to_ms,
    struct rp_builder **out);

/*
 * 4. Forms. Each returns text that the caller frees, NULL where memory is
 * short.
 */
char *rp_format_text(const struct rp_report *report, size_t *bytes);
char *rp_format_csv(const struct rp_report *report, size_t *bytes);
/* A gnuplot script with its data. */
char *rp_format_plot(const struct rp_report *report, size_t *bytes);

#ifdef __cplusplus
}
#endif

#endif
