/* Not named sched.h: with lib/sched on the include path, that name would hide
 * <sched.h> of the C library. */
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
	SCH_EINFEASIBLE = CW_BASE_SCHED - 2, /* guaranteed shapes do not fit */
	SCH_EGUARANTEE = CW_BASE_SCHED - 3,  /* guarantee invariant violated */
	SCH_ENOTFOUND = CW_BASE_SCHED - 4,   /* no such job */
};

const char *sch_status_name(int code);

/*
 * 2. The scheduler as a controller. sch_step is the step function of a struct
 * ctl_spec. It proposes records only while may_act returns true, and makes no
 * new proposals until the status of the previous ones is known.
 */
enum sch_action_kind {
	SCH_ACTION_THROTTLE,   /* limit the tasks to the sizes below */
	SCH_ACTION_UNTHROTTLE, /* remove the limit */
};

/* A change to a running gang that is not written to the log. Sizes are for each
 * member of the gang. */
struct sch_action {
	uint32_t kind; /* enum sch_action_kind */
	uint32_t cores_milli;
	uint32_t memory_mb;
	uint32_t reserved; /* padding */
	uint64_t job;
	uint64_t token; /* of the running gang */
};

struct sch_action_sink {
	int (*act)(void *ctx, const struct sch_action *action);
	void *ctx;
};

struct sch_spec {
	const struct bd_board *board;
	struct st_sink sink;
	struct sch_action_sink actions; /* act may be NULL */
	/* Returns true while this VM holds the placement duty. */
	bool (*may_act)(void *ctx, int64_t now_ms);
	void *may_act_ctx;
};

struct sch;

int sch_create(struct sch **out, const struct sch_spec *spec);
void sch_destroy(struct sch *sch);
int64_t sch_step(void *ctx, int64_t now_ms);

/*
 * 3. Feasibility of guaranteed shapes, checked before a configuration is
 * accepted. struct sch_fit_failure describes the first shape that does not fit.
 */
struct sch_fit_failure {
	uint64_t account; /* owner of the shape */
	uint32_t promise; /* index of the shape in promises */
	uint16_t number;  /* position in the account's list of shapes */
	uint16_t copy;    /* index among identical copies of the shape */
	struct bd_shape shape;
};

int sch_fit_check(const struct bd_worker *workers, size_t worker_count,
    const struct bd_promise *promises, size_t promise_count,
    struct sch_fit_failure *failure);

/*
 * 4. The guarantee invariant, which spans all tables, and the explanation of
 * why a job is in its present state.
 */
int sch_guarantee_check(const struct bd_board *board);

enum sch_condition {
	SCH_CONDITION_UNKNOWN_JOB,
	SCH_CONDITION_ENDED,
	SCH_CONDITION_RUNNING,         /* or placed and starting */
	SCH_CONDITION_PREEMPTING,      /* being stopped for another job */
	SCH_CONDITION_CAN_START,       /* the next decision places it */
	SCH_CONDITION_RECLAIMING,      /* borrowers leave its guaranteed plan */
	SCH_CONDITION_ON_HOLD,         /* was reclaimed, hold time not over */
	SCH_CONDITION_QUOTA,           /* its account is above its quota */
	SCH_CONDITION_RESERVED,        /* a starving gang holds a reservation */
	SCH_CONDITION_FRAGMENTED,      /* enough is free, but not in one rack */
	SCH_CONDITION_NO_CAPACITY,     /* other jobs hold what it needs */
	SCH_CONDITION_GUARANTEE_SHORT, /* no hardware for its guarantee */
	SCH_CONDITION_UNSCHEDULABLE,   /* too large even for idle workers */
	SCH_CONDITION_SUSPECT,         /* waits for workers of its own */
	SCH_CONDITION_COUNT,
};

const char *sch_condition_name(uint32_t condition);

#define SCH_EXPLAIN_HOLDERS_MAX 8
#define SCH_EXPLAIN_BYTES 2000 /* buffer for sch_explain_format */

/* A running job that holds accelerators which the explained job needs. */
struct sch_holder {
	uint64_t job;
	uint64_t account;
	char job_name[CW_NAME_BYTES];
	char account_name[CW_NAME_BYTES];
	uint32_t accels;
	uint32_t guaranteed; /* 0: borrowed */
	int64_t end_ms;      /* expected */
};

struct sch_explanation {
	uint64_t job;
	uint32_t condition; /* enum sch_condition */
	uint32_t state;     /* enum bd_job_state */
	uint32_t reason;    /* enum bd_reason of the job's last change */
	uint32_t need_accels;
	uint32_t free_accels;   /* on usable workers */
	uint32_t free_together; /* most that its members fit into in one rack */
	uint32_t ahead;         /* waiting jobs that go first */
	uint32_t account_accels; /* held by its account */
	uint32_t account_quota;  /* accelerators */
	uint32_t holder_count;   /* may exceed the size of holders */
	uint32_t reserved;       /* padding */
	struct sch_holder holders[SCH_EXPLAIN_HOLDERS_MAX];
	int64_t waited_ms; /* 0: not waiting */
	int64_t start_ms;  /* estimate, 0: not known */
	int64_t until_ms;  /* end of the condition where known, else 0 */
	char name[CW_NAME_BYTES];
};

int sch_explain(
    struct sch *sch, uint64_t job, int64_t now_ms, struct sch_explanation *out);
size_t sch_explain_format(const struct sch_explanation *explanation,
    int64_t now_ms, char *buffer, size_t bytes);

/*
 * 5. Single decisions, each one scheduling pass of its kind. Each reads the
 * tables, hands records to the sink of the spec and returns the sink's status;
 * sch_step runs all of them. sch_learn updates the learned usage factors and
 * proposes nothing. Only one thread may use a struct sch at a time.
 */
int sch_plan_decide(struct sch *sch, int64_t now_ms);
int sch_place_decide(struct sch *sch, int64_t now_ms);
int sch_defrag_decide(struct sch *sch, int64_t now_ms);
int sch_overrun_decide(struct sch *sch, int64_t now_ms);
int sch_quarantine_decide(struct sch *sch, int64_t now_ms);
void sch_learn(struct sch *sch, int64_t now_ms);

/* Ratios of measured to declared usage for the jobs of one account and class,
 * in thousandths. */
struct sch_usage_factors {
	uint32_t run_milli;
	uint32_t cores_milli;
	uint32_t memory_milli;
	uint32_t samples; /* completed jobs averaged in run_milli */
};

void sch_usage_factors_get(const struct sch *sch, uint64_t account,
    uint32_t class_number, struct sch_usage_factors *out);
int64_t sch_expected_run_ms(const struct sch *sch, const struct bd_job *job);

#ifdef __cplusplus
}
#endif

#endif
