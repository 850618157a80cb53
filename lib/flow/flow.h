#ifndef CAMPHOR_FLOW_H
#define CAMPHOR_FLOW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "board.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * 1. Status codes, job descriptions, records and table rows.
 */
enum fw_status {
	FW_EBADJOB = CW_BASE_FLOW - 1,    /* the job's description is invalid */
	FW_EBADRECORD = CW_BASE_FLOW - 2, /* a record cannot be decoded */
	FW_ENOMEM = CW_BASE_FLOW - 3,
	FW_ESTORE = CW_BASE_FLOW - 4,   /* not stored, and will not be */
	FW_EUNKNOWN = CW_BASE_FLOW - 5, /* no answer: may be stored */
	FW_ENOJOB = CW_BASE_FLOW - 6,   /* the queue has no such job */
	FW_ESTALE = CW_BASE_FLOW - 7,   /* this VM's copy is out of date */
	FW_EFULL = CW_BASE_FLOW - 8,    /* no room for another job */
};

const char *fw_status_name(int code);
const char *fw_flow_state_name(uint32_t state);

#define FW_STEPS_MAX 64
/* Tasks of one job, summed over its occurrences. The progress of a job is a
 * single record of at most 256 KB, in which a task takes up to 85 bytes. */
#define FW_TASKS_MAX 3000
#define FW_TEXT_BYTES_MAX 4096

/* Description of a job, as submitted by a caller. */
struct fw_job_spec {
	const char *name; /* 16 hexadecimal digits */
	const struct bd_queue *queue;
	uint64_t client;      /* id of the client account */
	int64_t accepted_ms;  /* wall time */
	uint32_t occurrences; /* at least 1 */
	int64_t first_due_ms; /* wall time, 0: due at once */
	int64_t interval_ms;  /* between the due times of occurrences */
	const struct bd_flow_step *steps;
	uint32_t step_count;
	const char *text; /* opaque, passed to the tasks unchanged */
	uint32_t text_bytes;
};

int fw_flow_build(
    const struct fw_job_spec *spec, struct bd_flow **out, size_t *bytes);
bool fw_flow_id_parse(const char *name, uint64_t *id);
size_t fw_flow_bytes(const struct bd_flow *flow);
uint32_t fw_flow_task_count(const struct bd_flow *flow);
const struct bd_flow_step *fw_flow_steps(const struct bd_flow *flow);
struct bd_step_task *fw_flow_tasks(const struct bd_flow *flow);
const char *fw_flow_text(const struct bd_flow *flow);
const char *fw_task_checkpoint(
    const struct bd_flow *flow, const struct bd_step_task *task);
bool fw_flow_ended(const struct bd_flow *flow);
bool fw_flow_drained(const struct bd_flow *flow);
uint32_t fw_flow_public_state(const struct bd_flow *flow);
struct bd_flow *fw_flow_compact(const struct bd_flow *flow);

/* Identifies one task of a job. */
struct fw_task_ref {
	char job[BD_FLOW_NAME_BYTES];
	uint32_t occurrence;
	uint32_t step;
	uint32_t index; /* within the step */
};

bool fw_task_index(
    const struct bd_flow *flow, const struct fw_task_ref *ref, uint32_t *index);
void fw_task_ref_of(
    const struct bd_flow *flow, uint32_t index, struct fw_task_ref *ref);

/* The store's topics are logs with compaction: the latest record of each key is
 * the current state. Jobs, cancellations and the public states of jobs share
 * one topic, which every VM follows; progress has a topic of its own, which
 * only the placer follows. */
/* A key has up to 255 bytes, and a terminator here. */
#define FW_KEY_BYTES 256
/* A cursor of a snapshot is a key of up to 255 bytes, each written as "%XX". */
#define FW_CURSOR_BYTES 768
#define FW_RECORD_BYTES_MAX ((size_t)256 * 1024)
/* Length of a record, which precedes its key and value in an append. */
#define FW_RECORD_LENGTH_BYTES 4

enum fw_record_kind {
	FW_RECORD_JOB = 'j',
	FW_RECORD_PROGRESS = 'p',
	FW_RECORD_CANCEL = 'c',
	FW_RECORD_STATE = 's',
	FW_RECORD_LEASE = 'l',     /* named by the id of a worker */
	FW_RECORD_PEER = 'v',      /* named by the id of a VM */
	FW_RECORD_TOMBSTONE = 't', /* a cancellation of an unknown job */
	FW_RECORD_WATERMARK = 'w', /* dates the records of progress */
};

struct fw_record {
	char key[FW_KEY_BYTES];
	const void *value; /* NULL: deletes the key */
	size_t value_bytes;
	uint64_t offset; /* in the log */
	/* Time at which this VM received it, by the clock that counts
	 * suspension (cw_clock_boot_ms). */
	int64_t read_ms;
	/* In a snapshot: opaque text with which to read on after this record;
	 * NULL: its key. Valid during the callback. */
	const char *cursor;
};

void fw_record_key(
    char key[FW_KEY_BYTES], enum fw_record_kind kind, const char *name);
size_t fw_record_bytes(const char *name, size_t value_bytes);
size_t fw_progress_bytes_max(const struct bd_flow *flow);
int fw_job_encode(const struct bd_flow *flow, void **out, size_t *bytes);
int fw_job_decode(const void *data, size_t bytes, struct bd_flow **out);
int fw_progress_encode(const struct bd_flow *flow, size_t record_bytes_max,
    void **out, size_t *bytes);
int fw_progress_decode(const void *data, size_t bytes, struct bd_flow **flow);
uint32_t fw_checkpoints_left_out(
    const struct bd_flow *flow, size_t record_bytes_max);
int fw_state_encode(const struct bd_flow *flow, void **out, size_t *bytes);
int fw_state_decode(const void *data, size_t bytes, struct bd_flow *flow);
int fw_record_apply(struct bd_board *board, const struct fw_record *record);

size_t fw_setup_bytes(const struct bd_setup *setup);
struct bd_queue *fw_setup_queues(const struct bd_setup *setup);
struct bd_client *fw_setup_clients(const struct bd_setup *setup);
struct bd_access_key *fw_setup_keys(const struct bd_setup *setup);
char *fw_setup_texts(const struct bd_setup *setup);
const char *fw_setup_text(
    const struct bd_setup *setup, const struct bd_text *text);
void fw_setup_sort(struct bd_setup *setup);
const struct bd_setup *fw_setup(const struct bd_board *board);
int fw_setup_refuse(struct bd_board *board, const struct fw_record *record,
    uint64_t version, const char *cause, int64_t now_ms);
void fw_setup_accept(struct bd_board *board, const struct fw_record *record);
bool fw_setup_refused(
    const struct bd_board *board, struct bd_setup_refused *out);
const struct bd_queue *fw_queue_find(
    const struct bd_setup *setup, const char *host, const char *path);
const struct bd_client *fw_client_find(
    const struct bd_setup *setup, uint64_t id);
const struct bd_access_key *fw_access_key_find(
    const struct bd_setup *setup, uint64_t id);

/* Ids of the rows that a snapshot of a topic contains. A snapshot consists of
 * the latest record of each key; rows that it lacks have been deleted. */
struct fw_snapshot_ids {
	uint64_t *ids;
	size_t count;
	size_t capacity;
	bool recording; /* a snapshot is being read */
	bool complete;  /* no id was left out for lack of memory */
};

void fw_snapshot_ids_begin(struct fw_snapshot_ids *snapshot);
void fw_snapshot_ids_add(struct fw_snapshot_ids *snapshot, uint64_t id);
bool fw_snapshot_ids_end(struct fw_snapshot_ids *snapshot);
bool fw_snapshot_ids_contain(
    const struct fw_snapshot_ids *snapshot, uint64_t id);
void fw_snapshot_ids_free(struct fw_snapshot_ids *snapshot);
void fw_progress_reset_missing(
    struct bd_board *board, const struct fw_snapshot_ids *snapshot);
void fw_leases_reset_missing(
    struct bd_board *board, const struct fw_snapshot_ids *snapshot);

/*
 * 2. The platform, as callbacks. Calls do not block; the callback of a call
 * runs later on the platform's thread.
 */
enum fw_topic {
	FW_TOPIC_JOBS,
	FW_TOPIC_CONFIG,
	FW_TOPIC_WORKERS,
	FW_TOPIC_PROGRESS,
	FW_TOPIC_COUNT,
};

enum fw_result {
	FW_RESULT_DONE,
	FW_RESULT_NOT_DONE, /* had no effect and will have none */
	FW_RESULT_UNKNOWN,  /* no answer; may still take effect */
	FW_RESULT_FENCED,   /* a writer with a higher term has written */
	FW_RESULT_EXPIRED,  /* read: the log no longer holds the offset */
};

struct fw_append {
	enum fw_topic topic;
	const struct fw_record *records;
	size_t count;
	uint64_t term;     /* fencing token, 0: not fenced */
	uint64_t sequence; /* the same in each retry; drops duplicates */
	uint32_t timeout_ms;
	/* end: offset after the last appended record, if done. */
	void (*done)(void *ctx, enum fw_result result, uint64_t end);
	void *ctx;
};

struct fw_read {
	enum fw_topic topic;
	bool newest;                 /* read a snapshot, page by page */
	char after[FW_CURSOR_BYTES]; /* newest: cursor of the last record */
	bool end_only;    /* return the end of the log and no records */
	uint64_t from;    /* otherwise: return records from this offset */
	uint32_t wait_ms; /* long poll: wait for a record */
	bool unanswered;  /* the read before this one got no answer */
	/* Set by the store: time at which the answer was received, which its
	 * records carry as read_ms. */
	int64_t answered_ms;
	/* record is called for each record, then done once. more: the snapshot
	 * has further pages; end: offset after the last record of the log. */
	void (*record)(void *ctx, const struct fw_record *record);
	void (*done)(void *ctx, enum fw_result result, bool more, uint64_t end,
	    int64_t sent_ms, int64_t now_ms);
	void *ctx;
};

struct fw_join {
	uint64_t generation; /* from the last answer */
	uint32_t ttl_ms;
	bool leave;
	bool query_only; /* only asks whether another member has the duty */
	/* has_duty: this process has the placing duty; in a query: another
	 * member has it. */
	void (*done)(void *ctx, enum fw_result result, uint64_t generation,
	    bool has_duty, int64_t sent_ms, int64_t now_ms);
	void *ctx;
};

/* append, read and join start a call; after calls run once the delay has
 * passed. Each returns CW_OK, or another status code, after which its callback
 * is never called. */
struct fw_store {
	int (*append)(void *ctx, const struct fw_append *append);
	int (*read)(void *ctx, const struct fw_read *read);
	int (*join)(void *ctx, const struct fw_join *join);
	int (*after)(void *ctx, uint32_t delay_ms,
	    void (*run)(void *ctx, int64_t now_ms), void *run_ctx);
	void *ctx;
};

enum fw_answer {
	FW_ANSWER_DONE,
	FW_ANSWER_BUSY,          /* had no effect; retry */
	FW_ANSWER_FENCED,        /* the worker has seen a higher token */
	FW_ANSWER_RUN_OVER,      /* start: the run has ended or was stopped */
	FW_ANSWER_LEASE_EXPIRED, /* start: the lease had expired on arrival */
	FW_ANSWER_NO_CAPACITY,   /* start: not enough free capacity */
	FW_ANSWER_RESTARTED,    /* another incarnation of the worker answered */
	FW_ANSWER_REJECTED,     /* for another reason; had no effect */
	FW_ANSWER_CONN_REFUSED, /* connection refused: no process listens */
	FW_ANSWER_NOT_SENT,     /* failed before the order was sent */
	FW_ANSWER_UNKNOWN, /* may have been carried out, or still will be */
};

const char *fw_answer_name(enum fw_answer answer);

/* An entry in a worker's list of its current runs. What could not be read of it
 * is empty or 0, and then it may be the entry of any run, or of any of its
 * task.
 */
struct fw_listed_run {
	struct fw_task_ref task;   /* its job is "": not read */
	uint32_t run;              /* 0: not read */
	uint32_t percent;          /* progress of the run, 0 to 100 */
	struct bd_text checkpoint; /* in the report */
};

enum fw_end {
	FW_END_DONE,
	FW_END_FAILED,
	FW_END_STOPPED,
	FW_END_LEASE_EXPIRED,   /* its lease expired before it was done */
	FW_END_MEMBER_ENDED,    /* another member of its gang has ended */
	FW_END_GANG_INCOMPLETE, /* its gang was not complete in time */
	/* Its worker is gone, or lists an end that cannot be read. */
	FW_END_LOST,
};

const char *fw_end_name(enum fw_end end);

/* An entry in a worker's list of ended runs, which the worker keeps until it is
 * acknowledged. */
struct fw_listed_end {
	uint64_t number; /* ascending within one incarnation, 0: not read */
	struct fw_task_ref task;   /* its job is "": not read */
	uint32_t run;              /* 0: not read */
	enum fw_end end;           /* FW_END_LOST: not read */
	struct bd_text checkpoint; /* in the report */
};

/* Answer of a worker. Only the answer to a hold carries the lists. */
struct fw_report {
	enum fw_answer answer;
	int64_t sent_ms;        /* monotonic time of sending the order */
	int64_t now_ms;         /* monotonic time of receiving the answer */
	int64_t clock_ms;       /* the worker's clock, 0: not given */
	int64_t incarnation_ms; /* start of the incarnation, 0: not given */
	bool partial;           /* not all ends fit into the list */
	uint32_t unread_rows;   /* rows that could not be read as a whole */
	const char *unread; /* what could not be read in the first of them */
	uint32_t run_count;
	uint32_t end_count;
	struct fw_listed_run *runs;
	struct fw_listed_end *ends;
	char *texts; /* that the lists refer to */
	size_t text_bytes;
};

const char *fw_report_text(
    const struct fw_report *report, const struct bd_text *text);
int fw_report_copy(const struct fw_report *from, struct fw_report *to);
void fw_report_free(struct fw_report *report);

enum fw_order_kind {
	FW_ORDER_START,
	FW_ORDER_STOP,
	FW_ORDER_HOLD, /* renews the lease and returns the lists of runs */
};

struct fw_order {
	enum fw_order_kind kind;
	const char *address;
	const char *host; /* name of the worker; any other one refuses */
	uint64_t token;   /* fencing token */
	int64_t until_ms; /* end of the lease on the worker's clock, 0: none */
	uint64_t end_ack; /* hold: acknowledges ends up to this number */
	uint32_t wait_ms; /* hold: long poll, waits this long for an end */
	uint32_t timeout_ms;
	struct fw_task_ref task;
	uint32_t run;
	const char *text; /* start only, as are the next two */
	uint32_t text_bytes;
	const char *checkpoint; /* to resume from */
	uint32_t checkpoint_bytes;
	bool last; /* hold: no further order is expected soon */
	void (*done)(void *ctx, const struct fw_report *report);
	void *ctx;
};

struct fw_workers {
	int (*order)(void *ctx, const struct fw_order *order);
	void *ctx;
};

/*
 * 3. Settings. Times in ms.
 */
struct fw_settings {
	uint32_t lease_ms;        /* longest lease that a worker grants */
	uint32_t stop_timeout_ms; /* a stop completes within this time */
	uint32_t restore_ms;      /* a start from a checkpoint takes longer */
	uint32_t gang_timeout_ms; /* a gang must be complete within this time */
	uint32_t reclaim_ms;      /* guaranteed jobs start within this time */
	uint32_t ack_timeout_ms;  /* listed ends are acknowledged by then */
	uint32_t cancel_ms; /* no task of a cancelled job starts after it */
	/* No task starts in an evacuated zone after it, 0: without a bound. */
	uint32_t evacuate_ms;
	/* Run time of a task on a cold worker, by that on others. */
	uint32_t cold_overage_milli;
	uint32_t remote_factor; /* factor of the run time on other racks */
	uint32_t retention_ms;  /* retention period of ended jobs */
	uint32_t join_ttl_ms;
	uint32_t join_delay_ms; /* a VM joins this much later, to join alone */
	uint32_t heartbeat_ms;  /* workers write their entries this often */
	uint32_t record_bytes;  /* largest record of the store */
	uint32_t request_bytes; /* most bytes of records in one append */
	bool
	    fallback_only; /* takes the placing duty only if no other VM does */
	uint32_t rules_off; /* of enum fw_cost_rule: decided as without them */
};

/*
 * 4. Controllers: the follower of a topic; the election of the placer, the one
 * process with the placing duty; the placer, which assigns tasks to workers.
 */
struct fw_follower;

struct fw_follow_spec {
	enum fw_topic topic;
	bool paused; /* does not read until fw_follower_resume */
	/* The newest record of a key replaces the earlier ones, which may be
	 * skipped: if the follower is more than one record behind, it reads
	 * the newest record of each key. */
	bool newest_suffices;
	uint32_t read_interval_ms; /* minimum time between two reads */
	uint32_t wait_ms; /* longest time for which a read waits for a record */
	/* record applies a record and returns CW_OK, or another status code
	 * if it has to be applied later; first is called before the records of
	 * a snapshot are applied, and last after all of them are. */
	void (*first)(void *ctx);
	int (*record)(
	    void *ctx, const struct fw_record *record, int64_t now_ms);
	void (*last)(void *ctx);
	void *ctx;
};

int fw_follower_start(struct fw_follower **out, struct bd_board *board,
    const struct fw_store *store, const struct fw_follow_spec *spec);
void fw_follower_stop(struct fw_follower *follower);
void fw_follower_free(struct fw_follower *follower);
void fw_follower_pause(struct fw_follower *follower);
void fw_follower_resume(struct fw_follower *follower);
void fw_follower_set_read_interval(
    struct fw_follower *follower, uint32_t read_interval_ms);
void fw_follower_catch_up(struct fw_follower *follower, uint64_t end);
void fw_follower_refresh(struct fw_follower *follower);
bool fw_follower_loaded(const struct fw_follower *follower);
uint64_t fw_follower_position(const struct fw_follower *follower);
bool fw_follower_stalled(const struct fw_follower *follower, int64_t now_ms);
int64_t fw_follower_age_ms(const struct fw_follower *follower, int64_t now_ms);
int64_t fw_age_shown_ms(int64_t age_ms);

struct fw_duty;

int fw_duty_start(struct fw_duty **out, struct bd_board *board,
    const struct fw_store *store, const struct fw_settings *settings);
void fw_duty_release(struct fw_duty *duty);
void fw_duty_free(struct fw_duty *duty);
uint64_t fw_duty_term(const struct fw_duty *duty, int64_t *duty_confirmed_ms);
int64_t fw_duty_gained_ms(const struct fw_duty *duty);
void fw_duty_fenced(struct fw_duty *duty, uint64_t term);

struct fw_placer;

/* Reads the past of the workers' entries. */
struct fw_departures;

struct fw_departures_spec {
	struct bd_board *board;
	struct fw_store store;
	/* Decodes a record of a worker. Returns CW_OK, or another status code
	 * for one that names no worker to use. */
	int (*decode)(
	    void *ctx, const struct fw_record *record, struct bd_host *entry);
	void *ctx;
};

int fw_departures_create(
    struct fw_departures **out, const struct fw_departures_spec *spec);
uint64_t fw_departures_want(struct fw_departures *past, uint64_t to);
void fw_departures_end(struct fw_departures *past);
void fw_departures_stop(struct fw_departures *past);
void fw_departures_free(struct fw_departures *past);

struct fw_placer_parts {
	struct bd_board *board;
	struct fw_store store;
	struct fw_workers workers;
	struct fw_follower *jobs;
	struct fw_follower *progress;
	struct fw_follower *hosts;
	struct fw_follower *config; /* of evacuations, NULL: without a bound */
	struct fw_departures *departures;
	struct fw_duty *duty;
	struct fw_settings settings;
	int64_t (*wall_ms)(void *ctx); /* returns the wall time in ms */
	/* Returns a monotonic time in ms that counts suspension too. */
	int64_t (*boot_ms)(void *ctx);
	void *ctx;
};

int fw_placer_create(
    struct fw_placer **out, const struct fw_placer_parts *parts);
int64_t fw_placer_step(void *ctx, int64_t now_ms);
void fw_placer_free(struct fw_placer *placer);
bool fw_placer_active(const struct fw_placer *placer);

/*
 * 5. Requests of callers. These functions block until the outcome is known or
 * the deadline (monotonic ms) has passed.
 */

/* Rows of the table of jobs up to which VMs accept jobs. The rest of the table
 * is for what all VMs accept before they have read of each other's jobs: up to
 * FW_PENDING_MAX jobs each. */
#define FW_ROWS_MAX 32768
#define FW_PENDING_MAX 256

struct fw_admission;

int fw_admission_create(struct fw_admission **out, const struct bd_board *board,
    const struct fw_follower *jobs, uint32_t rows_max, uint32_t copy_age_max_ms,
    uint32_t retention_ms);
void fw_admission_free(struct fw_admission *admission);
int fw_admission_reserve(
    struct fw_admission *admission, uint64_t id, int64_t now_ms);
void fw_admission_settle(
    struct fw_admission *admission, uint64_t id, int code, int64_t now_ms);
uint32_t fw_admission_retry_after_s(
    struct fw_admission *admission, int64_t boot_ms);

/* What the functions below work on. */
struct fw_front {
	struct bd_board *board;
	struct fw_admission *admission;
	struct fw_store store;
	struct fw_follower *jobs;
	struct fw_follower *config;
	uint32_t config_age_max_ms; /* a change is in force within this time */
	uint32_t held_max;          /* most calls that are held at a time */
	uint32_t record_bytes;      /* largest record of the store */
	CW_ATOMIC(uint32_t) held;
};

/* What keeps a VM from being ready for callers. */
enum fw_unready {
	FW_READY,
	FW_UNREADY_DRAINING,
	FW_UNREADY_CONFIG_UNREAD,
	FW_UNREADY_CONFIG_REFUSED, /* the newest one could not be applied */
	FW_UNREADY_CONFIG_OLD,     /* it may not be the newest one */
	FW_UNREADY_JOBS_UNREAD,
	FW_UNREADY_STORE_SILENT,
};

enum fw_unready fw_config_unready(const struct fw_front *front, int64_t now_ms);
enum fw_unready fw_front_unready(
    const struct fw_front *front, bool draining, int64_t now_ms);
const char *fw_unready_text(enum fw_unready unready);
bool fw_config_in_force(const struct fw_front *front, int64_t now_ms);

/* The latest unready, for the log. Any thread may note one. */
struct fw_readiness {
	pthread_mutex_t lock;
	bool noted;
	enum fw_unready unready;
	int64_t since_ms;
	int64_t logged_ms;
};

void fw_readiness_init(struct fw_readiness *readiness);
void fw_readiness_destroy(struct fw_readiness *readiness);
bool fw_readiness_note(struct fw_readiness *readiness, enum fw_unready unready,
    int64_t now_ms, int64_t *lasted_ms);

int64_t fw_hold_ms(
    int64_t patience_ms, int64_t outage_ms, uint32_t held, uint32_t held_max);
uint32_t fw_retry_after_s(int64_t outage_ms);
void fw_front_hold(struct fw_front *front, int64_t deadline_ms);
uint32_t fw_front_retry_after_s(const struct fw_front *front, int64_t now_ms);
int fw_submit(const struct fw_front *front, const struct fw_job_spec *spec,
    int64_t deadline_ms);
int fw_cancel(struct fw_front *front, uint64_t queue, const char *name,
    int64_t wall_ms, int64_t deadline_ms);
int fw_job_state(struct fw_front *front, uint64_t queue, const char *name,
    int64_t deadline_ms, uint32_t *state);
int fw_pending_jobs(const struct fw_front *front, uint64_t queue,
    int64_t now_ms, uint32_t *count);

#ifdef __cplusplus
}
#endif

#endif
