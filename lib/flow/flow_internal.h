#ifndef CAMPHOR_FLOW_INTERNAL_H
#define CAMPHOR_FLOW_INTERNAL_H

#include "caller_cost.h"
#include "flow.h"
#include "silences.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * 1. The placer's state of workers and runs. Both are kept in tables of the
 * placer and referred to by handles; only its controller writes them.
 */
#define FW_NONE UINT32_MAX

/* By which rule a run counts as over. */
enum fw_over {
	FW_OVER_LISTED,        /* its worker has listed its end */
	FW_OVER_NOT_LISTED,    /* a later report lists it nowhere */
	FW_OVER_RESTARTED,     /* another incarnation of its worker answers */
	FW_OVER_LEASE_EXPIRED, /* all leases have expired */
	FW_OVER_WORKER_GONE,   /* its worker was leaving and is gone */
	FW_OVER_NOT_SENT,      /* no start was sent */
};

const char *fw_over_name(enum fw_over over);

/* Runs whose sighting a worker's state remembers, see audit.c. */
#define FW_STRAYS_MAX 16

/* A worker that lists more ends than this gets no runs: an end that must not be
 * acknowledged holds up those behind it, and a list has room for 500. */
#define FW_ENDS_WAITING_MAX 250

/* What a worker's entry in the store said when it was last read. */
struct fw_entry {
	bool known;
	int64_t incarnation_ms;
	int64_t since_ms; /* when that incarnation was first read there */
	int64_t clock_ms; /* the worker's clock when it wrote it, 0: unknown */
	int64_t heard_ms; /* monotonic time at which it was read */
	uint32_t cores_milli;
	uint32_t memory_mb;
	uint32_t accels;
};

/* Resources in use or offered by a worker. */
struct fw_room {
	int64_t cores_milli;
	int64_t memory_mb;
	int64_t accels;
	bool unknown; /* in use: by runs whose needs are not known as well */
};

/* State of a worker at the placer. Times are monotonic unless said otherwise.
 */
struct fw_worker_state {
	uint64_t host; /* id of the worker */
	uint32_t next; /* next in the bucket */
	char name[BD_HOST_NAME_BYTES];
	char address[BD_HOST_ADDRESS_BYTES]; /* "": unknown */
	int64_t incarnation_ms; /* start of the incarnation, 0: unknown */
	int64_t clock_ms;       /* the worker's clock when it was last read */
	int64_t clock_read_ms;  /* monotonic time of that reading, 0: none */
	int64_t lease_end_ms;   /* all leases have expired after this time */
	int64_t hold_sent_ms;
	int64_t next_hold_ms;
	int64_t unresponsive_since_ms; /* first unanswered call, 0: answers */
	struct fw_silences silences;
	int64_t failed_ms;     /* latest failure of a run */
	uint32_t failed_count; /* consecutive failed runs */
	int64_t crashed_ms;    /* latest crash, 0: none */
	int64_t unanswered_ms; /* when a start was given up, 0: never */
	int64_t reborn_ms;  /* when another incarnation was first heard, or 0 */
	int64_t moved_ms;   /* latest progress of a run there, 0: none */
	int64_t stalled_ms; /* when it was found to stand still, 0: never */
	int64_t grant_unknown_ms; /* latest grant without an answer, 0: none */
	int64_t ack_unknown_ms;   /* the same of acknowledgements of ends */
	int64_t ack_sent_ms;      /* latest acknowledgement */
	uint32_t acks_in_flight;
	int64_t crash_incarnation_ms; /* known one when that was found */
	uint64_t end_ack;      /* ends up to this number may be acknowledged */
	uint64_t end_ack_sent; /* ends up to this number were acknowledged */
	uint64_t void_end;     /* the lease has lapsed after these ends */
	int64_t first_list_ms; /* first list of this incarnation, 0: none */
	int64_t list_from_ms; /* lists asked for later are of its incarnation */
	uint32_t run_count;
	uint32_t first_run;       /* of its runs, or FW_NONE */
	uint32_t unresolved_runs; /* the next report decides their state */
	uint32_t orders_in_flight;
	uint64_t hold; /* number of the latest hold */
	bool hold_in_flight;
	bool registered;      /* has a record in the store */
	bool leaving;         /* as announced in the worker's record */
	uint64_t zone;        /* by its latest entry, 0: unknown */
	bool departed;        /* has left, by the store's log */
	int64_t removed_ms;   /* not registered: when its entry was missed */
	uint32_t refusals;    /* consecutive refused connections */
	bool replaced;        /* another worker has its address */
	bool misaddressed;    /* it had once, and this one has not answered */
	uint64_t address_id;  /* of the address that a row tells, 0: unknown */
	bool confirmed;       /* has answered at its address */
	int64_t address_ms;   /* when its address changed */
	bool reported;        /* has answered a hold in this term */
	int64_t announced_ms; /* incarnation that its latest entry names */
	bool probe_due;       /* its entry names another incarnation */
	bool revoking;        /* late starts of ended runs are being stopped */
	bool report_unread;   /* the report has not been processed */
	bool held_up;         /* by an end that may not be acknowledged */
	bool put_off;         /* an end is, as a start may follow it */
	bool overfull;        /* the last report lists more than its capacity */
	uint32_t unread_logged; /* rows that could not be read, as logged */
	/* The end of its last lease is being stored: none is granted. */
	bool lease_end_due;
	uint32_t listed_checked; /* runs of the report checked for stops */
	uint32_t stray_next;
	uint64_t strays[FW_STRAYS_MAX]; /* runs that were logged as strays */
	struct fw_entry entry;
	struct fw_report report;
};

enum fw_phase {
	FW_PHASE_ADOPTED,  /* placed in an earlier term, not yet confirmed */
	FW_PHASE_STARTING, /* its start is unanswered */
	FW_PHASE_RUNNING,  /* its start was answered, or a report lists it */
	FW_PHASE_ENDED,    /* end says how */
};

/* One run of a task. Times are monotonic unless said otherwise. */
struct fw_run {
	uint64_t flow;  /* id of the job */
	uint32_t index; /* of the task in the job's row */
	struct fw_task_ref task;
	uint32_t run;         /* its number */
	uint32_t worker;      /* handle of the worker's state */
	uint32_t worker_next; /* next run of the worker, or FW_NONE */
	uint32_t next;        /* next in the bucket, or on the free list */
	uint32_t percent;
	enum fw_phase phase;
	enum fw_end end;
	enum fw_over over;      /* once it has ended */
	int64_t incarnation_ms; /* of the worker when it listed the run, or 0 */
	int64_t end_incarnation_ms;   /* of the worker when it listed the end */
	int64_t start_incarnation_ms; /* latest known one before its start */
	int64_t stop_incarnation_ms;  /* latest known one before its stop */
	int64_t placed_ms;
	int64_t retry_ms;       /* earliest time of the next order */
	int64_t listed_from_ms; /* reports sent later list it until it ends */
	uint32_t starts;        /* sent, 2: or more */
	bool began;             /* listed by its worker, not only as stopped */
	int64_t uncertain_ms;   /* latest time at which such a start was sent */
	/* start_assumed: what the record at this offset told of it. */
	uint64_t noted_offset;
	uint16_t noted_ms;
	int64_t progressed_ms;      /* time of the latest change of percent */
	int64_t pace_from_ms;       /* its pace is measured since, 0: not yet */
	uint32_t pace_from_percent; /* its percentage at that time */
	uint32_t pace_percent;      /* its percentage when last looked at */
	int64_t end_listed_ms;  /* time at which its end was first listed, 0 */
	int64_t last_listed_ms; /* send time of the last report listing it */
	int64_t
	    superseded_since_ms; /* since when it is not current, 0: it is */
	bool used;
	bool order_in_flight;
	bool start_in_flight; /* that order is a start */
	bool taken_over;      /* an earlier placer has placed it */
	bool start_sent;      /* a start may have been carried out */
	bool start_uncertain; /* an unanswered start may still be carried out */
	bool start_assumed;   /* by an earlier placer, as far as rows tell */
	bool start_silent;    /* its last start timed out; it may be cut off */
	bool start_given_up;  /* no start was answered for long */
	bool stop_late_start; /* has ended; an unanswered start is revoked */
	bool stop_requested;  /* is to be stopped */
	bool stop_acked;      /* the worker has answered the stop */
	/* Its worker has refused a repeated start, as the run is over there. */
	bool refused_as_over;
	int64_t ask_ms; /* a list may hide it: ask for it then, 0: none does */
	bool wait_logged; /* its task waits for a late start */
	bool note_due; /* its next start has to be covered by its job's row */
	/* Reported as done after it was declared lost. */
	bool done_late;
	/* Time at which its worker was found to have crashed while the run was
	 * there or was being started, 0: it has not. */
	int64_t crashed_ms;
	bool crash_presumed; /* it may have been cut off instead */
	/* Time at which its leases expired while its worker was silent, until
	 * it is known whether the worker has crashed; 0: is known. */
	int64_t silent_loss_ms;
	bool crash_uncharged; /* the crash was found after the run had ended */
	char *checkpoint; /* latest one that its worker listed, no terminator */
	uint32_t checkpoint_bytes;
};

/*
 * 2. The view on which a scheduling decision is made. Rows are read in place;
 * a decision changes copies of job rows, which become progress records.
 */
struct fw_host_view {
	const struct bd_host *row;
	int64_t cores_milli; /* free, as are the next two; < 0: overcommitted */
	int64_t memory_mb;
	int64_t accels;
	uint32_t rack;         /* index in the view */
	uint32_t service;      /* index in the view */
	uint32_t first_victim; /* range in the victims of fw_reclaim */
	uint32_t victim_count;
	struct fw_room late;      /* needed by starts that may still arrive */
	struct fw_room kept;      /* not free, but kept for waiting groups */
	bool schedulable;         /* may be given new runs */
	bool evacuated;           /* its zone is */
	bool cold;                /* runs tasks more slowly for now */
	bool suspect;             /* a run failed there recently */
	bool failing;             /* several in a row did */
	bool urgent;              /* reserved for jobs of priority 0 */
	uint32_t same_step_tasks; /* placed tasks of the current group's step */
	uint64_t tenant; /* id of the job whose tasks it has, 0: none */
	bool shared;     /* has tasks of several jobs */
	uint64_t trial; /* id of the suspect job that is tried there, 0: none */
};

struct fw_job_view {
	const struct bd_flow *row;
	struct bd_flow *copy; /* NULL: not modified */
	uint32_t trial_host;  /* worker on which it is tried, or FW_NONE */
	bool trial_held;      /* workers are kept for its trial */
	bool in_trial;        /* a suspect task of it has started recently */
};

/* A task by its job's index in the view and its index in the job's row. */
struct fw_view_task {
	uint32_t job;
	uint32_t index;
};

/* A task that may use one worker only, by indexes in the view. */
struct fw_view_bound {
	uint32_t job;
	uint32_t index;
	uint32_t host;
	uint32_t late; /* runs of it that are among the worker's late needs */
};

/* Where the next run of a task may be, the strictest last. */
enum fw_binding {
	FW_BOUND_NOT,       /* anywhere */
	FW_BOUND_TO_WORKER, /* on the worker of an earlier run */
	FW_BOUND_TO_WAIT,   /* nowhere yet */
};

/* The workers of one service and what its groups need. */
struct fw_service_view {
	uint64_t pool;
	uint64_t accel_total;   /* of workers that may be given new runs */
	bool ample_accels;      /* most of its accelerators are free */
	bool ample_cores;       /* most of its cores are free */
	int64_t urgent_backlog; /* accelerators that urgent groups wait for */
	/* The same by priority, of groups that can still meet their target. */
	int64_t timely_backlog[FW_PRIORITY_LEVELS];
};

/* Ended jobs whose progress records one decision deletes. */
#define FW_PRUNE_MAX 16

struct fw_groups;
struct fw_tables;
struct fw_victim;

struct fw_view {
	const struct bd_board *board;
	int64_t now_ms;
	int64_t wall_ms;
	const struct fw_settings *settings;
	struct fw_host_view *hosts; /* sorted by rack */
	uint32_t host_count;
	const char **racks;     /* names */
	uint32_t *rack_first;   /* index of the first worker of each rack */
	uint64_t hosts_scanned; /* workers examined so far in this decision */
	uint32_t turn; /* first of the groups that take turns, see fw_place */
	struct fw_service_view *services;
	uint32_t service_count;
	bool lists_pending;   /* first lists of many workers are missing */
	bool zones_old;       /* it is not known which zones are evacuated */
	uint32_t trial_count; /* workers that are kept for a suspect job */
	uint32_t rack_count;
	struct fw_job_view *jobs;
	uint32_t job_count;
	const struct bd_flow *prunable[FW_PRUNE_MAX];
	uint32_t prunable_count;
	struct fw_view_task *alive; /* wait, but a worker lists a run */
	uint32_t alive_count;
	uint32_t alive_capacity;
	struct fw_view_bound *bound;
	uint32_t bound_count;
	uint32_t bound_capacity;
	const struct fw_victim *indexed_victims; /* by fw_reclaim, or NULL */
	uint32_t *host_positions; /* index in hosts by handle index */
	uint32_t *job_positions;  /* index in jobs by handle index */
};

/* Largest number of workers that one decision examines, summed over its groups,
 * which takes some ms of processor time; the remaining groups wait for the next
 * decision. */
#define FW_HOSTS_SCANNED_MAX 150000

/* Tasks that are placed together: a gang, or a single task. */
struct fw_group {
	uint32_t job; /* index in the view */
	uint32_t step;
	uint32_t first; /* index of the first task */
	uint32_t count;
	uint32_t priority;
	int64_t age_ms;    /* since the job was accepted */
	int64_t waited_ms; /* since its turn came */
	int64_t slack_ms;  /* time it can wait and still meet its target */
	int64_t saved_ms;  /* work of its job that is done and saved */
	bool too_late;     /* too late to be useful to its caller */
	bool aged;         /* was passed over for long and comes first now */
	uint32_t service;  /* index in the view, or FW_NONE */
	bool ample;        /* most of its service is free */
	bool lasts;        /* runs until its job is cancelled */
	bool suspect;      /* its job may crash workers: it is tried apart */
	bool shares;       /* a suspect that may use workers of other jobs */
	bool joins;        /* it may use workers on which others are tried */
	bool bound;        /* some of its tasks may use one worker only */
	uint64_t work;     /* of the whole job, in core-milliseconds */
};

struct fw_groups {
	struct fw_group *items;
	uint32_t count;
	uint32_t capacity;
};

const struct bd_flow *fw_job_current(const struct fw_job_view *job);
struct bd_flow *fw_job_writable(struct fw_job_view *job);
int fw_view_build(struct fw_view *view, const struct bd_board *board,
    const struct fw_settings *settings, int64_t now_ms, int64_t wall_ms);
void fw_view_free(struct fw_view *view);
void fw_view_subtract_listed(
    struct fw_view *view, const struct fw_tables *tables);
bool fw_view_any_alive(
    const struct fw_view *view, uint32_t job, uint32_t first, uint32_t count);
bool fw_view_bind(struct fw_view *view, uint32_t job, uint32_t index,
    uint32_t host, uint32_t late);
const struct fw_view_bound *fw_view_bound_of(
    const struct fw_view *view, uint32_t job, uint32_t index);
uint32_t fw_view_host_index(const struct fw_view *view, uint64_t id);
uint32_t fw_view_job_index(const struct fw_view *view, uint64_t id);
void fw_host_note_kept(
    struct fw_host_view *host, const struct bd_flow_step *step);
void fw_host_adjust_free(
    struct fw_host_view *host, const struct bd_flow_step *step, int sign);
bool fw_host_has_room(const struct fw_host_view *host,
    const struct bd_flow *flow, const struct bd_flow_step *step);
bool fw_host_fits(const struct fw_host_view *host, const struct bd_flow *flow,
    const struct bd_flow_step *step);
bool fw_host_is_emptier(
    const struct fw_host_view *a, const struct fw_host_view *b);
uint32_t fw_host_task_capacity(const struct fw_host_view *host,
    const struct bd_flow *flow, const struct bd_flow_step *step);
void fw_host_describe(struct fw_host_view *host, const struct fw_view *view,
    const struct bd_host *row);

/* Racks are referred to by their index in the view. */
#define FW_ANY_RACK FW_NONE
#define FW_NO_RACK (FW_NONE - 1)

uint32_t fw_view_rack_index(const struct fw_view *view, const char *name);
uint32_t fw_view_rack_hosts(
    const struct fw_view *view, uint32_t rack, uint32_t *first);
uint64_t fw_view_urgent_demand(const struct fw_view *view);
void fw_view_reserve_urgent(struct fw_view *view, uint64_t accels);
void fw_host_add_tenant(struct fw_host_view *host, uint64_t job);
void fw_view_add_tenant(struct fw_view *view, uint32_t job, uint32_t host);
void fw_view_hold(struct fw_view *view, uint32_t job, uint32_t host);
void fw_view_try_apart(struct fw_view *view, uint32_t job, uint32_t host);
bool fw_view_may_try(const struct fw_view *view, const struct fw_group *group);
void fw_group_set_trial(struct fw_group *group, const struct bd_flow *flow);
void fw_trials_hold(struct fw_view *view, const struct fw_groups *groups);
int64_t fw_view_free_accels(const struct fw_view *view, uint32_t service);
uint32_t fw_view_service_index(const struct fw_view *view, uint64_t pool);
bool fw_view_ample(
    const struct fw_view *view, uint32_t service, uint32_t accels);

bool fw_step_ready(const struct bd_flow *flow, uint32_t occurrence,
    uint32_t step, int64_t wall_ms);
void fw_group_describe(
    struct fw_group *group, const struct fw_view *view, bool suspect);
int fw_groups_ready(struct fw_groups *groups, const struct fw_view *view);
void fw_groups_defer(
    struct fw_groups *groups, struct fw_view *view, struct fw_tables *tables);
void fw_groups_sort(struct fw_groups *groups);
void fw_groups_free(struct fw_groups *groups);

/* hosts[] holds, for each task of a group, the index of a worker in the view.
 */
bool fw_group_may_use(const struct fw_view *view,
    const struct fw_host_view *host, const struct fw_group *group);
bool fw_group_may_try_on(const struct fw_view *view,
    const struct fw_group *group, const struct bd_flow_step *step,
    uint32_t host);
bool fw_group_leaves_backlog(
    const struct fw_view *view, const struct fw_group *group);
void fw_group_count_tasks(struct fw_view *view, const struct fw_group *group);
bool fw_group_fit_rack(struct fw_view *view, const struct fw_group *group,
    uint32_t rack, uint32_t *hosts);
bool fw_group_fit(struct fw_view *view, const struct fw_group *group,
    uint32_t *hosts, bool spread);
void fw_group_note_kept(
    struct fw_view *view, const struct fw_group *group, const uint32_t *hosts);
void fw_group_place(
    struct fw_view *view, const struct fw_group *group, const uint32_t *hosts);
uint32_t fw_place(struct fw_view *view, const struct fw_groups *groups,
    void (*blocked)(
	void *ctx, struct fw_view *view, const struct fw_group *group),
    void *ctx);

void fw_run_end_apply(
    struct bd_flow *flow, uint32_t index, enum fw_end end, int64_t wall_ms);
void fw_checkpoints_clear(struct bd_flow *flow);
struct bd_text fw_checkpoint_append(struct bd_flow *flow,
    const struct bd_text *last, const char *text, uint32_t bytes);
int fw_checkpoints_reserve(struct bd_flow **flow, size_t bytes);
int fw_checkpoint_note(
    struct bd_flow **flow, uint32_t index, const char *text, uint32_t bytes);
void fw_run_keep_checkpoint(struct fw_run *run, const struct fw_report *report,
    const struct bd_text *listed);
void fw_run_drop_checkpoint(struct fw_run *run);
bool fw_group_of(const struct bd_flow *flow, uint32_t index, uint32_t *first,
    uint32_t *count);
void fw_flow_end(struct bd_flow *flow, uint32_t state, int64_t wall_ms);

/* Circumstances of a worker's crash under a run. */
struct fw_crash {
	bool apart;        /* no other job had a run on the worker */
	bool common_cause; /* workers without this job crashed as well */
	bool presumed;     /* the worker may have been cut off instead */
	int64_t run_ms;    /* from the placement of the run to the crash */
};

/* Largest number of crashes that is recorded; larger ones count as this one.
 * Up to this number the field takes one byte of the record. */
#define FW_CRASHES_MAX 127

bool fw_task_in_trial(const struct bd_step_task *task, int64_t wall_ms);
bool fw_flow_suspect(const struct bd_flow *flow, int64_t wall_ms);
bool fw_tasks_pause(const struct bd_flow *flow, uint32_t first, uint32_t count,
    int64_t wall_ms);
bool fw_task_undecided(const struct fw_tables *tables,
    const struct bd_flow *flow, uint32_t index, int64_t now_ms);
void fw_task_crashed(struct bd_flow *flow, uint32_t index,
    const struct fw_crash *crash, int64_t wall_ms);
void fw_task_lost(
    struct bd_flow *flow, uint32_t index, int64_t run_ms, int64_t wall_ms);

/* The workers reserved for a group while the preempted runs on them end. */
struct fw_reservation {
	struct fw_reservation *next;
	uint64_t flow;
	uint32_t first; /* index of the first task */
	uint32_t count;
	int64_t created_ms; /* monotonic */
	uint64_t hosts[];   /* id of a worker for each task */
};

int fw_reservation_add(struct fw_reservation **reservations,
    const struct fw_view *view, const struct fw_group *group,
    const uint32_t *hosts);
void fw_reservations_apply(struct fw_reservation **reservations,
    struct fw_view *view, struct fw_groups *groups);
void fw_reservations_clear(struct fw_reservation **reservations);

/*
 * 3. Tables of workers and runs.
 */
struct fw_tables {
	struct fw_worker_state *worker_states;
	uint32_t worker_state_count;
	uint32_t worker_state_capacity;
	struct fw_run *runs;
	uint32_t run_count; /* entries, in use or free */
	uint32_t run_capacity;
	uint32_t run_free;        /* first free entry, or FW_NONE */
	uint32_t *buckets;        /* hash table of the runs by job and task */
	uint32_t *worker_buckets; /* hash table of the workers by id */
	int64_t ack_timeout_ms;   /* ends acknowledged later are logged */
	int64_t lease_max_ms;     /* longest lease, on the slowest clock */
};

int fw_tables_init(struct fw_tables *tables);
void fw_tables_clear(struct fw_tables *tables);
void fw_tables_free(struct fw_tables *tables);
uint32_t fw_worker_state_find(const struct fw_tables *tables, uint64_t host);
uint32_t fw_worker_state_get(struct fw_tables *tables, uint64_t host);
uint32_t fw_run_first(
    const struct fw_tables *tables, uint64_t flow, uint32_t index);
uint32_t fw_run_find(const struct fw_tables *tables, uint64_t flow,
    uint32_t index, uint32_t run);
uint32_t fw_run_add(struct fw_tables *tables, uint64_t flow, uint32_t index,
    uint32_t run, uint32_t worker);
void fw_run_remove(struct fw_tables *tables, uint32_t handle);
bool fw_worker_has_open_run(
    const struct fw_tables *tables, const struct fw_worker_state *worker);
void fw_run_mark_ended(struct fw_run *run, enum fw_end end, enum fw_over over);
void fw_worker_crashed(
    struct fw_tables *tables, struct fw_run *run, int64_t now_ms);
bool fw_restarted_since_start(
    const struct fw_run *run, const struct fw_report *report);
bool fw_silent_loss_decide(
    struct fw_tables *tables, struct fw_run *run, int64_t now_ms);
void fw_crash_describe(const struct fw_tables *tables, const struct fw_run *run,
    int64_t now_ms, struct fw_crash *crash);

void fw_room_add(
    struct fw_room *room, const struct bd_flow *flow, uint32_t index);
void fw_room_offered(const struct fw_tables *tables,
    const struct bd_board *board, uint32_t worker, struct fw_room *offered);
bool fw_room_exceeds(const struct fw_room *used, const struct fw_room *offered);
void fw_room_used(const struct fw_tables *tables, const struct bd_board *board,
    uint32_t worker, struct fw_room *used);
bool fw_run_meets_late(const struct fw_run *run, int64_t now_ms);
void fw_room_late(const struct fw_tables *tables, const struct bd_board *board,
    const struct fw_run *starting, bool in_flight, int64_t now_ms,
    struct fw_room *late);

#ifdef __cplusplus
}
#endif

#include "flow_runs.h"

#include "flow_waits.h"

#include "flow_preempt.h"

#include "flow_placer.h"

#endif
