/* Not named sched.h: with lib/sched on the include path that name would hide
 * the header of the C library. */
#ifndef CAMPHOR_SCHED_H
#define CAMPHOR_SCHED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "board.h"
#include "state.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * 1. Status codes
 */
enum sch_status {
	SCH_ENOMEM = CW_BASE_SCHED - 1,
	SCH_EUNFIT = CW_BASE_SCHED - 2,     /* guaranteed shapes do not fit */
	SCH_EGUARANTEE = CW_BASE_SCHED - 3, /* the condition is broken */
	SCH_ENOTFOUND = CW_BASE_SCHED - 4,
};

const char *sch_status_name(int code);

/*
 * 2. The scheduler as a controller. sch_step suits struct ctl_spec. It acts
 * only while may_act says so, and waits with new proposals until the status
 * of its last ones is known.
 */
enum sch_action_kind {
	SCH_ACTION_THROTTLE,   /* hold the tasks to the sizes below */
	SCH_ACTION_UNTHROTTLE, /* the limit is no longer needed */
};

/* A change of a running gang that needs no record. Sizes are for each member
 * of the gang. */
struct sch_action {
	uint32_t kind; /* enum sch_action_kind */
	uint32_t cores_milli;
	uint32_t memory_mb;
	uint32_t reserved;
	uint64_t job;
	uint64_t token;
};

struct sch_action_sink {
	int (*act)(void *ctx, const struct sch_action *action);
	void *ctx;
};

struct sch_spec {
	const struct bd_board *board;
	struct st_sink sink;
	struct sch_action_sink actions; /* act may be NULL */
	bool (*may_act)(void *ctx, int64_t now_ms);
	void *may_act_ctx;
};

struct sch;

int sch_create(struct sch **out, const struct sch_spec *spec);
void sch_destroy(struct sch *sch);
int64_t sch_step(void *ctx, int64_t now_ms);

/*
 * 3. The fit of guaranteed shapes, before a text is accepted.
 */
struct sch_fit {
	uint64_t account; /* of the first shape that cannot be planned */
	uint32_t promise; /* its index in the argument */
	uint16_t number;  /* of the shape in the account's list */
	uint16_t copy;
	struct bd_shape shape;
};

int sch_fit_check(const struct bd_worker *workers, size_t worker_count,
    const struct bd_promise *promises, size_t promise_count,
    struct sch_fit *unfit);

/*
 * 4. The guarantee condition over all tables, and the explanation of a job.
 */
int sch_guarantee_check(const struct bd_board *board);

enum sch_condition {
	SCH_CONDITION_UNKNOWN_JOB,
	SCH_CONDITION_ENDED,
	SCH_CONDITION_RUNNING,     /* or placed */
	SCH_CONDITION_PREEMPTING,  /* stops for another job */
	SCH_CONDITION_CAN_START,   /* is placed with the next decision */
	SCH_CONDITION_RECLAIMING,  /* its guaranteed plan is being cleared */
	SCH_CONDITION_HELD_BACK,   /* after a reclaim, until a time */
	SCH_CONDITION_QUOTA,       /* others below quota go first */
	SCH_CONDITION_RESERVED,    /* a starving gang holds a reservation */
	SCH_CONDITION_FRAGMENTED,  /* enough is free, but not together */
	SCH_CONDITION_NO_CAPACITY, /* other jobs hold what it needs */
	SCH_CONDITION_GUARANTEE_SHORT,
	SCH_CONDITION_FITS_NOWHERE,
	SCH_CONDITION_COUNT,
};

const char *sch_condition_name(uint32_t condition);

#define SCH_EXPLAIN_HOLDERS_MAX 8
#define SCH_EXPLAIN_BYTES 2000

struct sch_holder {
	uint64_t job;
	uint64_t account;
	char job_name[CW_NAME_BYTES];
	char account_name[CW_NAME_BYTES];
	uint32_t accels;
	uint32_t guaranteed;
	int64_t end_ms; /* expected */
};

struct sch_explanation {
	uint64_t job;
	uint32_t condition;
	uint32_t state;  /* enum bd_job_state */
	uint32_t reason; /* enum bd_reason of the job's last change */
	uint32_t need_accels;
	uint32_t free_accels;    /* on usable workers */
	uint32_t free_together;  /* accelerators, for members of its shape */
	uint32_t ahead;          /* jobs before it in the order */
	uint32_t account_accels; /* that its account holds */
	uint32_t account_quota;
	uint32_t holder_count; /* of all holders that matter */
	uint32_t reserved;
	struct sch_holder holders[SCH_EXPLAIN_HOLDERS_MAX];
	int64_t waited_ms;
	int64_t start_ms; /* estimate, 0: not known */
	int64_t until_ms; /* of a hold or a preemption */
	char name[CW_NAME_BYTES];
};

int sch_explain(
    struct sch *sch, uint64_t job, int64_t now_ms, struct sch_explanation *out);
size_t sch_explain_format(const struct sch_explanation *explanation,
    int64_t now_ms, char *buffer, size_t bytes);

/*
 * 5. Single decisions. Each reads the tables and hands records to the sink of
 * the spec; sch_step calls all of them. They return the sink's status. Only
 * one thread may use a struct sch at a time.
 */
int sch_plan_decide(struct sch *sch, int64_t now_ms);
int sch_place_decide(struct sch *sch, int64_t now_ms);
int sch_defrag_decide(struct sch *sch, int64_t now_ms);
int sch_overrun_decide(struct sch *sch, int64_t now_ms);
int sch_quarantine_decide(struct sch *sch, int64_t now_ms);
void sch_learn(struct sch *sch, int64_t now_ms);

/* Measured over declared, in thousandths, by account and class. */
struct sch_learned {
	uint32_t run_milli;
	uint32_t cores_milli;
	uint32_t memory_milli;
	uint32_t samples; /* jobs that ended */
};

void sch_learned_get(const struct sch *sch, uint64_t account,
    uint32_t class_number, struct sch_learned *out);
int64_t sch_expected_run_ms(const struct sch *sch, const struct bd_job *job);

#ifdef __cplusplus
}
#endif

#endif
