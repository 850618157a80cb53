#ifndef CAMPHOR_FLOW_PLACER_H
#define CAMPHOR_FLOW_PLACER_H

/* Included by flow_internal.h only. */
#include "evacuation.h"

#include "stops.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * 4. The placer.
 */
enum fw_placer_state {
	FW_PLACER_IDLE,      /* does not hold the duty */
	FW_PLACER_FENCING,   /* appends fences with its term to both topics */
	FW_PLACER_READ_JOBS, /* reads the jobs topic up to the fence */
	FW_PLACER_READ_PROGRESS, /* reads the progress topic up to the fence */
	FW_PLACER_ACTIVE,        /* places jobs */
};

/* Writes the placer's records to one topic. At most one batch is in flight: it
 * stays open from the decision until its records have been read back. */
struct fw_writer {
	struct fw_placer *placer;
	enum fw_topic topic;
	struct fw_follower *follower; /* of the same topic */
	struct fw_record *records;
	size_t count;
	size_t capacity;
	size_t stored; /* records of the batch that are stored */
	size_t sent;   /* the next ones, in the append that was sent last */
	uint64_t sequence;
	uint64_t end;       /* offset after the batch, 0: not stored yet */
	bool fenced;        /* the store rejects earlier terms */
	uint64_t fence_end; /* offset after the fence */
	int64_t sent_ms;
	int64_t retry_ms; /* time of the next attempt, INT64_MAX: in flight */
	/* Protected by the placer's lock: */
	bool answered;
	uint64_t ticket; /* of the latest append; ignores older answers */
	enum fw_result answer_result;
	uint64_t answer_end;
};

/* All leases that a placer grants end within this time, on its clock, after its
 * placing duty was last confirmed. Outages of the store that are shorter lose
 * no work; a successor that cannot ask a worker waits for as long. */
#define FW_LEASES_UNCONFIRMED_MS 7500
/* Wall clocks of VMs differ by less. */
#define FW_CLOCK_SKEW_MAX_MS 2500

/* Time-out of an order. A worker answers within a few ms, plus 60 ms between
 * regions, but a start carries the text of its job: repeated each 450 ms,
 * starts kept a link of 2 Mbit/s full. An order that has timed out may still be
 * carried out. */
#define FW_ORDER_TIMEOUT_MS 1200
/* An order without an answer is carried out within this time, or never. */
#define FW_ORDER_LATE_MAX_MS 13000
/* A start is repeated for this long while its worker answers other calls: for
 * no shorter than its task would have to wait for it once it is given up. */
#define FW_START_REPEATED_MS FW_ORDER_LATE_MAX_MS

/* Context of an order in flight; its callback adds it to the placer's inbox. */
struct fw_call {
	struct fw_call *next;
	struct fw_placer *placer;
	enum fw_order_kind kind;
	uint64_t term;
	uint64_t host;  /* id of the worker */
	uint64_t flow;  /* start, stop: id of the job */
	uint32_t index; /* of the task in the job's row */
	uint32_t run;
	uint64_t end_ack; /* hold: the acknowledged ends */
	uint64_t hold;    /* hold: its number at this worker */
	bool sent_before; /* an earlier start may have been carried out */
	int64_t until_ms; /* end of the lease that it grants, 0: none */
	struct fw_report report;
};

/* Why the placer makes no decision. */
enum fw_obstacle {
	FW_OBSTACLE_NONE,
	FW_OBSTACLE_BATCH,    /* its batch has not been answered */
	FW_OBSTACLE_FOLLOWER, /* its follower is behind the end of the batch */
	FW_OBSTACLE_WORKERS,  /* the workers' entries may be too old */
	FW_OBSTACLE_JOBS,     /* its copy of the jobs is too old */
	FW_OBSTACLE_COUNT,
};

struct fw_undecided {
	int64_t since_ms; /* when it could last decide */
	int64_t noted_ms;
	int64_t ms[FW_OBSTACLE_COUNT]; /* time with each obstacle since then */
	bool logged;
};

/* The latest watermark of the placer. Times are monotonic. */
struct fw_watermark_writer {
	uint64_t position;
	int64_t settled_ms; /* as in struct bd_watermark */
	int64_t written_ms;
	bool is_urgent; /* the end of a lease is or will be stored behind it */
};

struct fw_placer {
	struct fw_placer_parts parts;
	struct fw_tables tables;
	CW_ATOMIC(uint32_t) state; /* enum fw_placer_state */
	uint64_t term;
	int64_t active_since_ms;
	/* These three as bd_flow.stored_ms. */
	int64_t boot_ms;      /* time of the present step */
	int64_t decided_ms;   /* time of the latest decision with records */
	int64_t settled_ms;   /* all that was decided by then is stored */
	int64_t last_step_ms; /* time of the last step while active */
	int64_t duty_confirmed_ms; /* when the duty was last confirmed */
	/* All leases of earlier placers are over after this time. */
	int64_t earlier_leases_end_ms;
	uint64_t jobs_position; /* positions of the topics at the last sync */
	uint64_t progress_position;
	uint64_t hosts_position;
	int64_t hosts_synced_ms; /* time of the last sync of the workers */
	int64_t last_decision_ms;
	uint32_t turn;     /* of the groups that decisions do not reach */
	bool decision_due; /* something has changed since the last decision */
	int64_t published_ms; /* time of the last publication of running jobs */
	struct fw_writer progress;
	struct fw_writer job_states; /* jobs topic: public states, clean-up */
	struct fw_reservation *reservations;
	struct fw_stops stops; /* for the sake of others, in this term */
	struct fw_waits waits; /* for the log */
	struct fw_undecided undecided;
	struct fw_watermark_writer watermark;
	struct fw_freeze freeze;
	/* Average demand of priority 0, in thousandths of an accelerator, and
	 * the time of its last update. */
	uint64_t urgent_average_milli;
	int64_t urgent_average_ms;
	pthread_mutex_t lock; /* of the fields below and writers' answers */
	struct fw_call *inbox;
	struct fw_call **inbox_last;
	uint32_t callbacks_pending; /* of calls to the store and to workers */
};

/* The first start of a run is sent within this time after its placement, unless
 * the job's row covers it. */
#define FW_FIRST_START_MAX_MS 1000
/* Longest time that is noted for a late start: one that is sent within 3 s. */
#define FW_LATE_NOTED_MAX_MS (FW_ORDER_LATE_MAX_MS + 3000)

/* Added to the retention period of ended jobs, as VMs receive the end of a job
 * at different times. */
#define FW_RETENTION_MARGIN_MS 60000

/* Nothing is placed while the records of the workers may be older than this. */
#define FW_HOSTS_AGE_MAX_MS 3000

bool fw_jobs_recent(const struct fw_placer *placer, int64_t now_ms);
bool fw_zones_recent(const struct fw_placer *placer, int64_t now_ms);
bool fw_may_start_on(
    const struct fw_placer *placer, const struct fw_worker_state *worker);
bool fw_run_continues(
    struct fw_placer *placer, struct fw_run *run, int64_t now_ms);
void fw_callbacks_add(struct fw_placer *placer, int added);
void fw_orders_send(struct fw_placer *placer, int64_t now_ms);
void fw_answers_handle(struct fw_placer *placer, int64_t now_ms);
void fw_run_note_pace(
    struct fw_tables *tables, const struct bd_flow *flow, struct fw_run *run);
bool fw_run_stalled(struct fw_tables *tables, const struct bd_flow *flow,
    const struct fw_run *run);
void fw_run_stop(
    struct fw_placer *placer, struct fw_run *run, const char *reason);
bool fw_runs_sync(struct fw_placer *placer, int64_t now_ms);
uint32_t fw_add_run(struct fw_placer *placer, const struct bd_flow *flow,
    uint32_t index, uint32_t number, int64_t now_ms);

/* The ends of leases that placers store for their successors. */
void fw_adopt_leases(
    struct fw_placer *placer, struct fw_worker_state *worker, int64_t now_ms);
void fw_first_list_leases(struct fw_placer *placer,
    struct fw_worker_state *worker, const struct fw_report *report);
int fw_note_leases(struct fw_placer *placer, int64_t now_ms, int64_t wall_ms);

/* Workers that have left, by the store's log. */
bool fw_has_departed(const struct fw_worker_state *worker);
bool fw_departures_sync(struct fw_placer *placer, int64_t now_ms);

/* What a placer stores of late starts for its successors, see late_notes.c. */
bool fw_start_is_covered(const struct fw_placer *placer,
    const struct bd_flow *flow, const struct fw_run *run);
void fw_late_starts_note(struct fw_placer *placer, struct fw_view *view);
void fw_late_starts_describe(
    struct fw_placer *placer, struct bd_flow *flow, const struct fw_view *view);
void fw_late_starts_noted(struct fw_placer *placer);
int64_t fw_first_starts_settled_ms(const struct fw_placer *placer);

/* What a successor takes over from earlier placers by the jobs' rows. */
void fw_assume_late_start(struct fw_placer *placer, struct fw_run *run,
    const struct bd_flow *flow, int64_t now_ms);
void fw_add_ended_run(struct fw_placer *placer, const struct bd_flow *flow,
    uint32_t index, int64_t now_ms);
bool fw_decide(struct fw_placer *placer, int64_t now_ms);
enum fw_obstacle fw_placer_obstacle(
    const struct fw_placer *placer, bool progress_idle, int64_t now_ms);
void fw_undecided_note(
    struct fw_placer *placer, enum fw_obstacle obstacle, int64_t now_ms);
void fw_undecided_end(struct fw_placer *placer, const char *by, int64_t now_ms);
void fw_publish_states(struct fw_placer *placer, int64_t now_ms);

void fw_writer_reset(struct fw_writer *writer);
bool fw_writer_fence(struct fw_writer *writer, int64_t now_ms);
int fw_writer_add(struct fw_writer *writer, enum fw_record_kind kind,
    const char *name, void *value, size_t bytes);
void fw_writer_clear(struct fw_writer *writer);
void fw_writer_send(struct fw_writer *writer, int64_t now_ms);
bool fw_writer_idle(struct fw_writer *writer, int64_t now_ms);
void fw_writer_free(struct fw_writer *writer);

#ifdef __cplusplus
}
#endif

#endif
