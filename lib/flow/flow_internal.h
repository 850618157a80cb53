#ifndef CAMPHOR_FLOW_INTERNAL_H
#define CAMPHOR_FLOW_INTERNAL_H

#include "flow.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * 1. What the placer knows of workers and runs. Both live in tables of the
 * placer and are named by handles; only its controller writes them.
 */
#define FW_NONE UINT32_MAX

/* A worker that the placer talks to. */
struct fw_link {
	uint64_t host;
	char name[CW_NAME_BYTES];
	char address[CW_NAME_BYTES]; /* "": not known */
	int64_t born_ms;
	int64_t clock_ms;     /* the worker's clock when it was last read */
	int64_t clock_at_ms;  /* monotonic time of that reading */
	int64_t lease_end_ms; /* no run lives on without contact after this */
	int64_t hold_sent_ms;
	int64_t next_hold_ms;
	int64_t silent_ms;     /* first call without an answer, 0: answers */
	int64_t failed_ms;     /* time of the latest failed run */
	uint32_t failed_count; /* failed runs in a row */
	uint64_t ended_upto;   /* all ends up to this number are stored */
	uint64_t ended_told;   /* what the worker has been told of it */
	uint32_t run_count;
	uint32_t doubtful; /* runs whose fate the next report decides */
	uint32_t orders_busy;
	bool hold_busy;
	bool listed;       /* the store has its entry */
	bool leaving;      /* its latest entry says so */
	int64_t leave_ms;  /* leaving: it may be gone from then on */
	uint32_t refusals; /* calls in a row at which nothing listened */
	bool reported;     /* since this placer has the duty */
	bool fresh;        /* the report has not been looked at */
	struct fw_report report;
};

enum fw_phase {
	FW_PHASE_ADOPTED, /* placed by an earlier placer, not seen yet */
	FW_PHASE_NEW,     /* its start has not been answered */
	FW_PHASE_UP,      /* its start was answered or it is listed */
	FW_PHASE_ENDED,   /* see end */
};

/* One run of a task. */
struct fw_run {
	uint64_t flow;
	uint32_t index; /* task in the job's row */
	uint32_t run;
	uint32_t link;
	uint32_t next; /* in the same bucket */
	uint32_t percent;
	enum fw_phase phase;
	enum fw_end end;
	int64_t born_ms;     /* life of the worker that has it */
	int64_t placed_ms;   /* monotonic */
	int64_t retry_ms;    /* next order not before */
	int64_t sure_ms;     /* reports sent from then on list it if it lives */
	int64_t moved_ms;    /* percent has changed */
	int64_t seen_ms;     /* send time of the latest report that lists it */
	int64_t unplaced_ms; /* its job no longer has it as a present run */
	bool used;
	bool busy;    /* an order is open */
	bool sent;    /* a start may have been carried out */
	bool loose;   /* a start without an answer may still be */
	bool crossed; /* its worker started anew while an order was open */
	bool stop;    /* is to end */
	bool stopped; /* the stop was answered */
	/* Its worker lists it as done although it counts as lost. */
	bool done_late;
	char checkpoint[BD_CHECKPOINT_BYTES];
};

/*
 * 2. The view that decisions work on. Rows are read in place; a decision
 * changes copies, which become progress records.
 */
struct fw_host_view {
	const struct bd_host *row;
	int64_t cores_milli; /* free */
	int64_t memory_mb;
	int64_t accels;
	uint32_t rack;         /* in the view's list */
	uint32_t first_victim; /* see fw_reclaim */
	uint32_t victim_count;
	bool open;      /* may get new runs */
	bool suspect;   /* several runs failed there in a row */
	bool urgent;    /* kept for jobs of priority 0 */
	uint32_t taken; /* tasks of the group that is being placed */
};

struct fw_job_view {
	const struct bd_flow *row;
	struct bd_flow *copy; /* NULL: unchanged */
};

/* Ended jobs whose progress one decision drops. */
#define FW_SETTLED_MAX 16

struct fw_view {
	const struct bd_board *board;
	int64_t now_ms;
	int64_t wall_ms;
	const struct fw_settings *settings;
	struct fw_host_view *hosts;
	uint32_t host_count;
	const char **racks;   /* names, host_count at most */
	uint32_t *rack_first; /* hosts are in the order of their racks */
	uint64_t effort;      /* workers that were looked at for tasks */
	int64_t promised;     /* accelerators that urgent groups wait for */
	bool roomy;           /* kept workers may be used by what waits */
	uint32_t rack_count;
	struct fw_job_view *jobs;
	uint32_t job_count;
	const struct bd_flow *settled[FW_SETTLED_MAX];
	uint32_t settled_count;
	uint32_t *host_places; /* by index of the row's handle */
	uint32_t *job_places;
};

/* Tasks that are placed together: a gang, or one task. */
struct fw_group {
	uint32_t job; /* in the view */
	uint32_t step;
	uint32_t first; /* task */
	uint32_t count;
	uint32_t priority;
	int64_t age_ms;
	int64_t slack_ms; /* until its completion target cannot be met */
	bool hopeless;    /* too late to be of use to its caller */
	uint64_t work;    /* accelerator-milliseconds of the job */
};

struct fw_groups {
	struct fw_group *items;
	uint32_t count;
	uint32_t room;
};

const struct bd_flow *fw_job_now(const struct fw_job_view *job);
struct bd_flow *fw_job_change(struct fw_job_view *job);
int fw_view_build(struct fw_view *view, const struct bd_board *board,
    const struct fw_settings *settings, int64_t now_ms, int64_t wall_ms);
void fw_view_free(struct fw_view *view);
uint32_t fw_view_host(const struct fw_view *view, uint64_t id);
uint32_t fw_view_job(const struct fw_view *view, uint64_t id);
void fw_host_use(
    struct fw_host_view *host, const struct bd_flow_step *step, int sign);
bool fw_host_fits(const struct fw_host_view *host, const struct bd_flow *flow,
    const struct bd_flow_step *step);
uint32_t fw_host_holds(const struct bd_host *row, const struct bd_flow *flow,
    const struct bd_flow_step *step);

/* Racks are named by their place in the view's list. */
#define FW_ANY_RACK FW_NONE
#define FW_NO_RACK (FW_NONE - 1)

uint32_t fw_view_rack(const struct fw_view *view, const char *name);
uint32_t fw_view_rack_hosts(
    const struct fw_view *view, uint32_t rack, uint32_t *first);
uint64_t fw_view_urgent_use(const struct fw_view *view);
void fw_view_keep_urgent(struct fw_view *view, uint64_t accels);
int64_t fw_view_free_accels(const struct fw_view *view);

int fw_groups_ready(struct fw_groups *groups, const struct fw_view *view);
void fw_groups_order(struct fw_groups *groups);
void fw_groups_free(struct fw_groups *groups);

/* Where the tasks of a group go: an index of a host each. */
void fw_group_count_taken(struct fw_view *view, const struct fw_group *group);
bool fw_group_fit_rack(struct fw_view *view, const struct fw_group *group,
    uint32_t rack, uint32_t *hosts);
bool fw_group_fit(struct fw_view *view, const struct fw_group *group,
    uint32_t *hosts, bool spread);
void fw_group_place(
    struct fw_view *view, const struct fw_group *group, const uint32_t *hosts);
uint32_t fw_place(struct fw_view *view, const struct fw_groups *groups,
    void (*blocked)(
	void *ctx, struct fw_view *view, const struct fw_group *group),
    void *ctx);

/* A run that may be stopped for a job of priority 0. */
struct fw_victim {
	uint32_t run;   /* in the placer's table */
	uint32_t job;   /* in the view */
	uint32_t first; /* task; the same for all members of a gang */
	uint32_t host;  /* in the view */
	uint32_t priority;
	uint64_t cost; /* accelerator-milliseconds that the whole gang loses */
	bool stopping; /* its room comes free anyway */
	bool chosen;   /* while a plan is made */
	bool taken;    /* is to be stopped */
};

bool fw_reclaim(struct fw_view *view, const struct fw_group *group,
    struct fw_victim *victims, uint32_t count, uint64_t cost_max,
    uint32_t *hosts);
bool fw_guaranteed(const struct fw_view *view, const struct bd_board *board,
    const struct bd_flow *flow);

/* The effect of the end of one run on its job. */
void fw_fate_apply(struct bd_flow *flow, uint32_t index, enum fw_end end,
    const char *checkpoint, int64_t wall_ms);
bool fw_group_of(const struct bd_flow *flow, uint32_t index, uint32_t *first,
    uint32_t *count);

/* A plan for a group: the workers that are kept for it while victims end. */
struct fw_plan {
	struct fw_plan *next;
	uint64_t flow;
	uint32_t first; /* task */
	uint32_t count;
	int64_t made_ms;
	uint64_t hosts[];
};

int fw_plan_add(struct fw_plan **plans, const struct fw_view *view,
    const struct fw_group *group, const uint32_t *hosts);
void fw_plans_apply(
    struct fw_plan **plans, struct fw_view *view, struct fw_groups *groups);
void fw_plans_clear(struct fw_plan **plans);

/*
 * 3. Tables of links and runs.
 */
struct fw_tables {
	struct fw_link *links;
	uint32_t link_count;
	uint32_t link_room;
	struct fw_run *runs;
	uint32_t run_count; /* used or not */
	uint32_t run_room;
	uint32_t run_free; /* first free entry, FW_NONE */
	uint32_t *buckets;
};

int fw_tables_init(struct fw_tables *tables);
void fw_tables_clear(struct fw_tables *tables);
void fw_tables_free(struct fw_tables *tables);
uint32_t fw_link_find(const struct fw_tables *tables, uint64_t host);
uint32_t fw_link_get(struct fw_tables *tables, uint64_t host);
uint32_t fw_run_find(const struct fw_tables *tables, uint64_t flow,
    uint32_t index, uint32_t run);
uint32_t fw_run_add(struct fw_tables *tables, uint64_t flow, uint32_t index,
    uint32_t run, uint32_t link);
void fw_run_remove(struct fw_tables *tables, uint32_t handle);
void fw_run_end(struct fw_run *run, enum fw_end end);

/* Lease arithmetic on a worker's clock. */
int64_t fw_link_until(
    const struct fw_link *link, int64_t now_ms, uint32_t lease_ms);
void fw_link_clock(struct fw_link *link, int64_t clock_ms, int64_t now_ms);
void fw_link_granted(struct fw_link *link, int64_t until_ms);

/* What a report says of the runs on its worker. */
void fw_report_take(struct fw_tables *tables, const struct bd_board *board,
    uint32_t handle, int64_t now_ms);
bool fw_run_placed(const struct bd_board *board, const struct fw_run *run);

/*
 * 4. The placer.
 */
enum fw_placer_state {
	FW_PLACER_IDLE,    /* another process has the duty */
	FW_PLACER_FENCING, /* the term is being made known to the store */
	FW_PLACER_JOBS,    /* jobs are read up to that */
	FW_PLACER_LOADING, /* progress by earlier placers is being read */
	FW_PLACER_ACTIVE,
};

/* The placer's appends to one topic, one at a time: a batch of records that are
 * decided and not yet seen in the log. */
struct fw_writer {
	struct fw_placer *placer;
	enum fw_topic topic;
	struct fw_follower *follower; /* of the same topic */
	struct fw_record *records;
	size_t count;
	size_t room;
	uint64_t sequence;
	uint64_t end; /* of the log behind the batch, 0: not stored yet */
	bool fenced;  /* the store knows the term */
	uint64_t fence_end;
	int64_t sent_ms;
	int64_t retry_ms; /* when to repeat, INT64_MAX: an append is open */
	/* Under the placer's lock: */
	bool answered;
	uint64_t ticket; /* of the append that counts */
	enum fw_fate answer_fate;
	uint64_t answer_end;
};

/* One open order; its callback puts it into the placer's inbox. */
struct fw_call {
	struct fw_call *next;
	struct fw_placer *placer;
	enum fw_order_kind kind;
	uint64_t term;
	uint64_t host;
	uint64_t flow;
	uint32_t index;
	uint32_t run;
	uint64_t ended_upto;
	bool sent_before; /* an earlier start may have been carried out */
	struct fw_report report;
};

struct fw_placer {
	struct fw_placer_parts parts;
	struct fw_tables tables;
	CW_ATOMIC(uint32_t) state; /* enum fw_placer_state */
	uint64_t term;
	int64_t active_ms;
	int64_t worked_ms;  /* last step as the placer */
	uint64_t jobs_seen; /* positions of the topics at that step */
	uint64_t progress_seen;
	uint64_t hosts_seen;
	int64_t hosts_ms;
	int64_t decided_ms;
	bool pending;     /* something has changed since then */
	int64_t shown_ms; /* last time that running jobs were shown */
	struct fw_writer progress;
	struct fw_writer shown;
	struct fw_plan *plans;
	uint64_t urgent_milli; /* accelerators in use by priority 0, averaged */
	int64_t urgent_ms;     /* time of the average */
	pthread_mutex_t lock;  /* the fields below, answers of writers */
	struct fw_call *inbox;
	struct fw_call **inbox_last;
	uint32_t open; /* callbacks that are to come */
};

void fw_calls_open(struct fw_placer *placer, int added);
void fw_orders_send(
    struct fw_placer *placer, int64_t now_ms, int64_t proven_ms);
void fw_orders_take(struct fw_placer *placer, int64_t now_ms);
bool fw_runs_sync(struct fw_placer *placer, int64_t now_ms);
bool fw_decide(struct fw_placer *placer, int64_t now_ms);
void fw_show(struct fw_placer *placer, int64_t now_ms);

void fw_writer_reset(struct fw_writer *writer);
bool fw_writer_fence(struct fw_writer *writer, int64_t now_ms);
int fw_writer_add(struct fw_writer *writer, enum fw_record_kind kind,
    const char *name, void *value, size_t bytes);
void fw_writer_clear(struct fw_writer *writer);
void fw_writer_send(struct fw_writer *writer, int64_t now_ms);
bool fw_writer_settled(struct fw_writer *writer, int64_t now_ms);
void fw_writer_free(struct fw_writer *writer);

#ifdef __cplusplus
}
#endif

#endif
