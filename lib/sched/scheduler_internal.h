#ifndef CAMPHOR_SCHED_INTERNAL_H
#define CAMPHOR_SCHED_INTERNAL_H

#include <stdatomic.h>

#include "scheduler.h"

/*
 * Terms:
 *
 * promise     a guaranteed shape of an account
 * plan        the workers and accelerators of one rack that are set aside for
 *             a promise; hardware outside all plans is unplanned
 * guaranteed  a job of the account that runs in a plan of the account
 * borrower    any other job; it may use idle hardware in plans as well, until
 *             the account reclaims that
 * suspect     a job under which a worker has crashed; it is placed apart, on
 *             workers without other tasks, so that a second crash tells whether
 *             it was the cause
 * claim       the placement of a waiting job in a plan of its account, with the
 *             preemptions that it requires
 * segment     the part of a plan that is on one worker
 * view        the arrays of struct sch, loaded from the tables
 * decision    one scheduling pass over a view of the tables; it applies its own
 *             proposals to the view as it goes
 *
 * Workers, racks, jobs, tasks, promises and accounts of a view are named by
 * their index in its arrays. row points to the row in the tables.
 */

/* Index of no row; end of a linked list. */
#define SCH_NONE UINT32_MAX

#define SCH_WORKERS_MAX 4096
#define SCH_JOBS_MAX 32768
#define SCH_TASKS_MAX 32768
#define SCH_PROMISES_MAX 1024
#define SCH_SEGMENTS_MAX (SCH_PROMISES_MAX * 16)
#define SCH_ACCOUNTS_MAX 256
#define SCH_FAILED_NEEDS_MAX 16
#define SCH_FAILED_CLAIMS_MAX 4
#define SCH_THROTTLES_MAX 256
#define SCH_MOVES_MAX 256
#define SCH_PROBATIONS_MAX 64
/* Largest part of the workers, in thousandths, that suspects are kept apart
 * on. One suspect is always placed. */
#define SCH_SUSPECTS_CAP_MILLI 250

/* A waiting job is raised by one priority level for each period of this
 * length. */
#define SCH_AGING_MS (60 * 60 * 1000)
/* A job that has waited this long is starving and may get the reservation. */
#define SCH_STARVATION_MS (10 * 60 * 1000)
/* Workers register one by one after a cold start, and may shrink for a while,
 * so a job is not rejected as unschedulable before it has waited this long and
 * the workers have not changed for as long. */
#define SCH_UNSCHEDULABLE_GRACE_MS (60 * 1000)
/* Assumed for a job that declares no run time. */
#define SCH_RUN_DEFAULT_MS (30 * 60 * 1000)
/* Proposals in one step: at most one batch of the log. */
#define SCH_PROPOSALS_MAX REC_BATCH_MAX

/* Resources of one worker, or a part of them. */
struct sch_resources {
	uint32_t mask;  /* accelerators */
	int64_t cores;  /* thousandths */
	int64_t memory; /* MB */
};

/* Resource request of a gang: its members, and what each of them needs. */
struct sch_need {
	uint32_t members;
	uint32_t accels;
	int64_t cores;  /* thousandths */
	int64_t memory; /* MB */
};

struct sch_worker {
	const struct bd_worker *row;
	uint32_t rack;
	uint32_t planned_accels; /* mask of accelerators in plans */
	uint32_t claimed_accels; /* mask claimed for waiting guaranteed jobs */
	uint32_t first_task;     /* list through next_on_worker */
	uint32_t first_segment;  /* list through next_on_worker */
	uint32_t quarantined;
	uint32_t usable;    /* accepts new tasks */
	uint32_t reserved;  /* for the starving gang */
	uint32_t probation; /* was quarantined, not yet proven healthy */
	uint32_t apart;     /* runs a suspect; gets no other tasks */
	struct sch_resources capacity;
	/* Held by no task. Claims are subtracted from cores and memory, which
	 * may become negative, but not from the mask. */
	struct sch_resources free;
	struct sch_resources planned; /* cores and memory of its segments */
	int64_t end_ms;               /* latest expected end of its tasks */
};

/* Workers are sorted by region, zone, rack and id, so each rack, zone and
 * region is a contiguous range. */
struct sch_rack {
	uint32_t first; /* worker */
	uint32_t count;
	uint64_t zone;
	uint64_t region;
};

struct sch_task {
	uint32_t job;
	uint32_t worker;
	uint32_t mask; /* accelerators */
	uint32_t next_on_worker;
	uint32_t next_in_job;
};

struct sch_job {
	const struct bd_job *row;
	uint32_t account;
	uint32_t first_task;
	uint32_t task_count;
	uint32_t promise; /* plan that holds all its tasks, or SCH_NONE */
	uint32_t victim;  /* being preempted, by a record or this decision */
	uint32_t priority_level; /* class less aging, 0 goes first */
	uint32_t decided;        /* placed, claimed or ended by this decision */
	uint32_t reclaim_pending; /* other jobs are being preempted for it */
	uint32_t trial_stamp;     /* stamp of the trial that last visited it */
	int64_t run_ms;           /* expected total run time */
	int64_t end_ms;           /* expected end of a placed job */
	int64_t response_ratio_milli; /* (wait + run) / run */
};

/* The part of a plan on one worker. */
struct sch_segment {
	uint32_t promise;
	uint32_t worker;
	uint32_t next_on_worker;
	uint32_t members; /* of the promise, on this worker */
	uint32_t mask;    /* accelerators */
	/* Neither held by a guaranteed job nor claimed; borrowers may hold
	 * it. */
	struct sch_resources claimable;
};

struct sch_promise {
	const struct bd_promise *row;
	uint32_t account;
	uint32_t first_segment; /* segments of a promise are a range */
	uint32_t segment_count;
	uint32_t guaranteed_jobs; /* that run in the plan */
	uint32_t valid;     /* the plan is complete and on usable workers */
	uint32_t replanned; /* given a new plan by this decision */
	int64_t claim_interval_ms; /* expected, INT64_MAX: not known */
	uint32_t next_in_account;
};

struct sch_account {
	uint64_t id;
	const struct bd_account *row; /* NULL: not in the configuration */
	uint64_t held_accels;         /* by its jobs */
	uint64_t held_cores;          /* by its jobs, thousandths */
	uint64_t promised_accels;     /* in its valid plans */
	/* Its jobs of the present level that are still to be returned by
	 * sch_order_next: the range waiting_next to waiting_end - 1 of
	 * waiting. */
	uint32_t waiting_next;
	uint32_t waiting_end;
	/* Dominant share above its quota, divided by its weight, millionths. */
	int64_t excess_share;
	uint32_t first_promise;
	/* Needs that could not be claimed in this decision: in matching plans
	 * (index 1), or in any plan (index 0). */
	uint32_t failed_claim_count[2];
	struct sch_need failed_claims[2][SCH_FAILED_CLAIMS_MAX];
	struct sch_usage_factors usage_factors[BD_CLASS_COUNT];
};

/* Hash table with linear probing that maps ids to indexes of rows in the view.
 * Entries of an older generation count as empty, so a reset clears no
 * memory. */
struct sch_index {
	struct sch_index_entry {
		uint64_t id;
		uint32_t value;
		uint32_t generation;
	} * entries;
	uint32_t mask; /* number of entries - 1 */
	uint32_t generation;
};

/* Worker and accelerators for one member of a gang or plan. */
struct sch_assignment {
	uint32_t worker;
	uint32_t mask; /* accelerators */
};

/* Workers kept for the job that has starved longest. */
struct sch_reservation {
	uint64_t job;     /* id, 0: none */
	int64_t start_ms; /* estimated start of the job */
	int64_t created_ms;
	uint32_t worker_count;
	uint64_t workers[BD_GANG_MEMBERS_MAX]; /* ids */
};

/* A running gang that is limited to its declared resources. */
struct sch_throttle {
	uint64_t job;   /* id */
	uint64_t token; /* of the running gang */
	int64_t since_ms;
};

/* Moving averages (EWMA) of measured over declared usage for one account and
 * class. published follows an average only when that differs clearly. */
struct sch_usage_ewma {
	uint64_t id; /* of the pair of account and class, 0: empty slot */
	double run;
	double cores;
	double memory;
	struct sch_usage_factors published;
};

#define SCH_LEARN_SLOTS 2048
#define SCH_CLAIM_STATS_SLOTS 2048

/* How often a promise is claimed. Long jobs do not borrow from plans that are
 * claimed often. */
struct sch_claim_stats {
	uint64_t promise; /* id, 0: empty slot */
	int64_t last_claim_ms;
	int64_t interval_ms; /* moving average, 0: claimed at most once */
};

/* Worker that was released from quarantine and has not yet proven healthy. */
struct sch_probation {
	uint64_t worker; /* id */
	int64_t since_ms;
};

/* Capacity of a view, in rows. */
struct sch_limits {
	uint32_t workers;
	uint32_t jobs;
	uint32_t tasks;
	uint32_t promises;
	uint32_t segments;
	uint32_t accounts;
};

struct sch {
	struct sch_spec spec;
	struct sch_limits limits;
	const struct bd_config *config;
	int64_t now_ms;
	int64_t pending_since_ms; /* start of the last deciding step */
	uint64_t total_accels;    /* of the workers that are up */
	uint64_t total_cores;     /* of the workers that are up, thousandths */

	/* The view, allocated once for the largest tables. */
	struct sch_worker *workers;
	const struct bd_worker **worker_rows; /* scratch for sorting workers */
	struct sch_rack *racks;
	struct sch_job *jobs;
	struct sch_task *tasks;
	struct sch_promise *promises;
	struct sch_segment *segments;
	struct sch_account *accounts;
	struct sch_index worker_index;
	struct sch_index job_index;
	struct sch_index promise_index;
	struct sch_index account_index;
	uint32_t *waiting; /* jobs, see sch_order_build */
	uint32_t *urgent;  /* jobs of the urgent class, longest wait first */

	/* Scratch memory for one search. available holds the resources of each
	 * worker that the search may use. */
	struct sch_resources *available;
	uint32_t *worker_fit_counts; /* members that fit on each worker */
	uint32_t *rack_fit_counts;   /* members that fit in each rack */
	uint32_t *sorted_indexes;    /* promises or workers */

	/* Needs that could not be placed in this decision, and the expected run
	 * times of their jobs. */
	struct sch_need failed_needs[SCH_FAILED_NEEDS_MAX];
	int64_t failed_need_run_ms[SCH_FAILED_NEEDS_MAX];

	/* Soft state that outlives a decision. Losing it with the VM is
	 * tolerable. */
	struct sch_reservation reservation;
	struct sch_throttle throttles[SCH_THROTTLES_MAX];
	struct sch_probation probations[SCH_PROBATIONS_MAX];
	int64_t move_times_ms[SCH_MOVES_MAX]; /* times of past moves, a ring */
	struct sch_claim_stats *claim_stats_table; /* hash table */
	struct sch_usage_ewma *usage_ewma_table;   /* hash table */
	uint64_t learned_job_epoch; /* latest job epoch learned from */
	int64_t learned_report_ms;  /* time of the latest report learned from */

	uint32_t worker_count;
	uint32_t rack_count;
	uint32_t job_count;
	uint32_t task_count;
	uint32_t promise_count;
	uint32_t segment_count;
	uint32_t account_count;
	uint32_t waiting_count;
	uint32_t urgent_count;
	uint32_t apart_count; /* workers that run suspects */
	uint32_t failed_need_count;
	uint32_t throttle_count;
	uint32_t probation_count;
	uint32_t move_times_next; /* entry of move_times_ms to overwrite next */
	uint32_t trial_stamp;     /* stamp of the present trial */
	uint32_t next_level_start;    /* start of the next level in waiting */
	uint32_t vacate_next_rack;    /* where plan.c resumes its search */
	uint32_t proposed_count;      /* records proposed in this step */
	atomic_int pending_proposals; /* proposals whose status is not known */
	uint32_t invariant_violated;  /* as found at the last check */

	/* Used while the board has no configuration. Has to be the last member
	 * because it ends in a flexible array. */
	struct bd_config config_default;
};

/* view.c, index.c: the view of the tables, valid within one read section. */
void sch_view_load(struct sch *sch, int64_t now_ms);
int sch_index_init(struct sch_index *index, uint32_t capacity);
void sch_index_reset(struct sch_index *index);
void sch_index_put(struct sch_index *index, uint64_t id, uint32_t value);
uint32_t sch_index_get(const struct sch_index *index, uint64_t id);
void sch_sort(uint32_t *items, uint32_t count,
    bool (*before)(const void *ctx, uint32_t a, uint32_t b), const void *ctx);
struct sch_need sch_need_of(const struct bd_shape *shape);
bool sch_need_covers(const struct sch_need *a, const struct sch_need *b);

/* resources.c: allocation of gang members to resources. */
uint32_t sch_resources_fit_count(
    const struct sch_resources *resources, const struct sch_need *need);
uint32_t sch_resources_allocate(
    struct sch_resources *resources, const struct sch_need *need);
uint32_t sch_mask_lowest(uint32_t mask, uint32_t count);
bool sch_rack_allocate(struct sch_resources *available,
    const struct sch_rack *rack, const struct sch_need *need,
    struct sch_assignment *assignments);
bool sch_region_fits(struct sch *sch, const struct sch_resources *available,
    const struct sch_need *need, bool cross_region);

/* plan.c */
bool sch_plan_find(struct sch *sch, const struct sch_need *need, bool free_only,
    uint32_t avoid, struct sch_assignment *assignments);
int sch_plan_propose(struct sch *sch, uint32_t promise,
    const struct sch_assignment *assignments, uint32_t count);
int sch_plan_run(struct sch *sch);

/* job_order.c */
void sch_order_build(struct sch *sch);
void sch_excess_share_update(struct sch *sch, uint32_t account);
uint32_t sch_order_next(struct sch *sch);
void sch_order_rewind(struct sch *sch);

/* place.c, placement_search.c, reclaim.c, reserve.c */
int sch_place_run(struct sch *sch);
int sch_place_propose(struct sch *sch, uint32_t job, uint32_t promise,
    const struct sch_assignment *assignments);
bool sch_placement_search(
    struct sch *sch, uint32_t job, struct sch_assignment *assignments);
bool sch_placement_search_unplanned(
    struct sch *sch, uint32_t job, struct sch_assignment *assignments);
int sch_claim_guarantee(
    struct sch *sch, uint32_t job, bool matching, bool *done);
int64_t sch_preemption_cost(const struct sch *sch, uint32_t job);
int sch_preempt(
    struct sch *sch, uint32_t victim, uint32_t for_job, enum bd_reason reason);
void sch_reserve_refresh(struct sch *sch);
void sch_reserve_create(struct sch *sch, uint32_t job);
void sch_reserve_workers(struct sch *sch, uint32_t job, int64_t start_ms,
    const struct sch_assignment *assignments, uint32_t count);
bool sch_reserve_blocks(
    const struct sch *sch, uint32_t worker, const struct sch_job *job);
int64_t sch_start_estimate(struct sch *sch, const struct bd_job *row,
    struct sch_assignment *assignments, uint32_t *assignment_count);

/* claim_stats.c */
void sch_claim_stats_record(struct sch *sch, uint32_t promise);
int64_t sch_claim_interval_ms(const struct sch *sch, uint64_t promise);
double sch_reclaim_risk(const struct sch *sch, uint32_t worker, int64_t run_ms);
uint32_t sch_reclaim_risk_mask(
    const struct sch *sch, uint32_t worker, int64_t run_ms);

/* guarantee.c, defrag.c, overrun.c, quarantine.c, learn.c, unschedulable.c,
 * step.c */
int sch_guarantee_check_view(struct sch *sch);
int sch_defrag_run(struct sch *sch);
int sch_overrun_run(struct sch *sch);
int sch_quarantine_run(struct sch *sch);
struct sch_probation *sch_probation_lookup(struct sch *sch, uint64_t worker);
void sch_learn_run(struct sch *sch);
int sch_unschedulable_run(struct sch *sch);
bool sch_is_schedulable(struct sch *sch, const struct bd_job *job);
int sch_fail_waiting_job(
    struct sch *sch, const struct bd_job *job, enum bd_reason reason);
int sch_create_sized(struct sch **out, const struct sch_spec *spec,
    const struct sch_limits *limits);
int sch_propose(struct sch *sch, const struct rec *rec);
bool sch_has_budget(const struct sch *sch);

#endif
