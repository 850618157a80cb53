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
 * 1. Status codes. Job texts, records and rows.
 */
enum fw_status {
	FW_EBADJOB = CW_BASE_FLOW - 1,    /* the text of the job is wrong */
	FW_EBADRECORD = CW_BASE_FLOW - 2, /* a record cannot be read */
	FW_ENOMEM = CW_BASE_FLOW - 3,
	FW_ESTORE = CW_BASE_FLOW - 4,   /* not stored, and never will be */
	FW_EUNKNOWN = CW_BASE_FLOW - 5, /* it is not known whether it is */
	FW_ENOJOB = CW_BASE_FLOW - 6,
	FW_ESTALE = CW_BASE_FLOW - 7, /* this VM has not heard the store */
};

const char *fw_status_name(int code);
const char *fw_flow_state_name(uint32_t state);

#define FW_STEPS_MAX 64
/* Tasks of one job over all of its occurrences. Progress is one record of the
 * store, which holds 256 KB; a task takes up to 85 bytes of it. */
#define FW_TASKS_MAX 3000
#define FW_TEXT_BYTES_MAX 4096

/* A job as a caller describes it. */
struct fw_spec {
	const char *name; /* 16 hexadecimal digits */
	const struct bd_queue *queue;
	uint64_t client;
	int64_t accepted_ms; /* wall time */
	uint32_t occurrences;
	int64_t first_due_ms;
	int64_t interval_ms;
	const struct bd_flow_step *steps;
	uint32_t step_count;
	const char *text; /* passed to the tasks as it is */
	uint32_t text_bytes;
};

int fw_flow_build(
    const struct fw_spec *spec, struct bd_flow **out, size_t *bytes);
bool fw_flow_id(const char *name, uint64_t *id);
size_t fw_flow_bytes(const struct bd_flow *flow);
uint32_t fw_flow_task_count(const struct bd_flow *flow);
const struct bd_flow_step *fw_flow_steps(const struct bd_flow *flow);
struct bd_step_task *fw_flow_tasks(const struct bd_flow *flow);
const char *fw_flow_text(const struct bd_flow *flow);
bool fw_flow_ended(const struct bd_flow *flow);
bool fw_flow_settled(const struct bd_flow *flow);
uint32_t fw_flow_shown(const struct bd_flow *flow);
struct bd_flow *fw_flow_shrink(const struct bd_flow *flow);

/* Names one task of a job. */
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

/* Records are kept by key: the newest record of each key is the state. Jobs,
 * their cancels and the states that callers are told are in one topic, which
 * every VM follows; progress is in another, which the placer follows. */
#define FW_KEY_BYTES 32
#define FW_RECORD_BYTES_MAX ((size_t)256 * 1024)

enum fw_record_kind {
	FW_RECORD_JOB = 'j',
	FW_RECORD_PROGRESS = 'p',
	FW_RECORD_CANCEL = 'c',
	FW_RECORD_STATE = 's',
};

struct fw_record {
	char key[FW_KEY_BYTES];
	const void *value; /* NULL: the key is dropped */
	size_t value_bytes;
	uint64_t offset; /* in the log */
};

void fw_record_key(
    char key[FW_KEY_BYTES], enum fw_record_kind kind, const char *name);
int fw_job_encode(const struct bd_flow *flow, void **out, size_t *bytes);
int fw_job_decode(const void *data, size_t bytes, struct bd_flow **out);
int fw_progress_encode(const struct bd_flow *flow, void **out, size_t *bytes);
int fw_progress_decode(const void *data, size_t bytes, struct bd_flow *flow);
int fw_state_encode(const struct bd_flow *flow, void **out, size_t *bytes);
int fw_state_decode(const void *data, size_t bytes, struct bd_flow *flow);
int fw_apply(struct bd_board *board, const struct fw_record *record);

/* The rows that a reading of the newest records names; the others are gone. */
struct fw_seen {
	uint64_t *ids;
	size_t count;
	size_t room;
	bool noting;
	bool whole;
};

void fw_seen_begin(struct fw_seen *seen);
void fw_seen_add(struct fw_seen *seen, uint64_t id);
bool fw_seen_end(struct fw_seen *seen);
bool fw_seen_has(const struct fw_seen *seen, uint64_t id);
void fw_seen_free(struct fw_seen *seen);
void fw_progress_forget(struct bd_board *board, const struct fw_seen *seen);

/*
 * 2. The platform, as callbacks. Each call returns at once; its callback runs
 * later on the platform's thread.
 */
enum fw_topic {
	FW_TOPIC_JOBS,
	FW_TOPIC_CONFIG,
	FW_TOPIC_WORKERS,
	FW_TOPIC_PROGRESS,
	FW_TOPIC_COUNT,
};

enum fw_fate {
	FW_FATE_DONE,
	FW_FATE_NOT_DONE, /* and never will be */
	FW_FATE_UNKNOWN,  /* no answer; it may still take effect */
	FW_FATE_FENCED,   /* a writer with a higher term has written */
	FW_FATE_EXPIRED,  /* reading: the records are gone */
};

struct fw_append {
	enum fw_topic topic;
	const struct fw_record *records;
	size_t count;
	uint64_t term; /* 0: not fenced */
	uint64_t sequence;
	uint32_t timeout_ms;
	void (*done)(void *ctx, enum fw_fate fate, uint64_t end);
	void *ctx;
};

struct fw_read {
	enum fw_topic topic;
	bool newest;              /* the newest record of each key, by pages */
	char after[FW_KEY_BYTES]; /* newest: continue behind this key */
	uint64_t from;            /* otherwise: from this offset */
	uint32_t wait_ms;
	/* Called for each record, then done once. more: there is another
	 * page; end: offset behind the last record of the log. */
	void (*record)(void *ctx, const struct fw_record *record);
	void (*done)(void *ctx, enum fw_fate fate, bool more, uint64_t end,
	    int64_t sent_ms, int64_t now_ms);
	void *ctx;
};

struct fw_join {
	uint64_t generation; /* of the last answer */
	uint32_t ttl_ms;
	bool leave;
	bool look; /* only look whether a member has the duty */
	/* holds: this process has the placing duty; of a look: anyone has. */
	void (*done)(void *ctx, enum fw_fate fate, uint64_t generation,
	    bool holds, int64_t sent_ms, int64_t now_ms);
	void *ctx;
};

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
	FW_ANSWER_BUSY,   /* did nothing; try again */
	FW_ANSWER_FENCED, /* the worker knows a higher token */
	FW_ANSWER_OLD,    /* start: this run has ended or was stopped */
	FW_ANSWER_LATE,   /* start: the lease was over on arrival */
	FW_ANSWER_ROOM,   /* start: no room */
	FW_ANSWER_REBORN, /* another life of the worker answers */
	FW_ANSWER_REJECTED,
	FW_ANSWER_REFUSED, /* no process listens there */
	FW_ANSWER_NOT_SENT,
	FW_ANSWER_UNKNOWN, /* it may have run, or run later */
};

const char *fw_answer_name(enum fw_answer answer);

/* One run as a worker lists it. */
struct fw_listed_run {
	struct fw_task_ref task;
	uint32_t run;
	uint32_t percent; /* of its work */
	char checkpoint[BD_CHECKPOINT_BYTES];
};

enum fw_end {
	FW_END_DONE,
	FW_END_FAILED,
	FW_END_STOPPED,
	FW_END_LAPSED,
	FW_END_BROKEN, /* another member of its gang has ended */
	FW_END_ALONE,  /* the gang did not come together in time */
	FW_END_LOST,   /* its worker is gone; not listed by a worker */
};

const char *fw_end_name(enum fw_end end);

struct fw_listed_end {
	uint64_t number;
	struct fw_task_ref task;
	uint32_t run;
	enum fw_end end;
	char checkpoint[BD_CHECKPOINT_BYTES];
};

/* What a worker answers. Lists come with the answer of a hold only. */
struct fw_report {
	enum fw_answer answer;
	int64_t sent_ms;
	int64_t now_ms;
	int64_t clock_ms; /* the worker's clock, 0: not told */
	int64_t born_ms;  /* 0: not told */
	uint32_t run_count;
	uint32_t end_count;
	struct fw_listed_run *runs;
	struct fw_listed_end *ends;
};

int fw_report_copy(const struct fw_report *from, struct fw_report *to);
void fw_report_free(struct fw_report *report);

enum fw_order_kind {
	FW_ORDER_START,
	FW_ORDER_STOP,
	FW_ORDER_HOLD,
};

struct fw_order {
	enum fw_order_kind kind;
	const char *address;
	const char *host; /* name of the life that is meant */
	uint64_t token;
	int64_t until_ms; /* end of the lease on the worker's clock, 0: none */
	uint64_t ended_upto; /* hold: ends up to this number are stored */
	uint32_t wait_ms;    /* hold: wait so long for an end */
	uint32_t timeout_ms;
	struct fw_task_ref task;
	uint32_t run;
	const char *text; /* start */
	uint32_t text_bytes;
	const char *checkpoint;
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
	uint32_t lease_ms;      /* longest lease that a worker grants */
	uint32_t stop_ms;       /* a stop takes at most this */
	uint32_t gang_ms;       /* a gang has to be complete within this */
	uint32_t reclaim_ms;    /* guaranteed jobs begin within this */
	uint32_t remote_factor; /* run time away from its data or rack */
	uint32_t keep_ms;       /* ended jobs are known for this long */
	uint32_t join_ttl_ms;
	bool yields; /* places only where no other VM does */
};

/*
 * 4. Controllers: the follower of a topic, the placing duty, the placer.
 */
struct fw_follower;

struct fw_follow_spec {
	enum fw_topic topic;
	bool paused;      /* reads nothing before fw_follower_resume */
	uint32_t gap_ms;  /* shortest time between two reads */
	uint32_t wait_ms; /* longest time that a read waits for a record */
	/* Applies a record; first is called before and last after a reading
	 * of the newest records. */
	void (*first)(void *ctx);
	void (*record)(
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
void fw_follower_gap(struct fw_follower *follower, uint32_t gap_ms);
void fw_follower_catch_up(struct fw_follower *follower, uint64_t end);
bool fw_follower_loaded(const struct fw_follower *follower);
uint64_t fw_follower_position(const struct fw_follower *follower);
bool fw_follower_silent(const struct fw_follower *follower, int64_t now_ms);
int64_t fw_follower_age_ms(const struct fw_follower *follower, int64_t now_ms);

struct fw_duty;

int fw_duty_start(struct fw_duty **out, struct bd_board *board,
    const struct fw_store *store, const struct fw_settings *settings);
void fw_duty_leave(struct fw_duty *duty);
void fw_duty_free(struct fw_duty *duty);
uint64_t fw_duty_term(const struct fw_duty *duty, int64_t *proven_ms);
void fw_duty_superseded(struct fw_duty *duty, uint64_t term);

struct fw_placer;

struct fw_placer_parts {
	struct bd_board *board;
	struct fw_store store;
	struct fw_workers workers;
	struct fw_follower *jobs;
	struct fw_follower *progress;
	struct fw_follower *hosts;
	struct fw_duty *duty;
	struct fw_settings settings;
	int64_t (*wall_ms)(void *ctx);
	void *ctx;
};

int fw_placer_create(
    struct fw_placer **out, const struct fw_placer_parts *parts);
int64_t fw_placer_step(void *ctx, int64_t now_ms);
void fw_placer_free(struct fw_placer *placer);
bool fw_placer_active(const struct fw_placer *placer);

/*
 * 5. Requests of callers. Calls block until the outcome is known or the
 * deadline (monotonic ms) has passed.
 */
struct fw_front {
	struct bd_board *board;
	struct fw_store store;
	struct fw_follower *jobs;
	struct fw_follower *config;
};

int fw_submit(const struct fw_front *front, const struct fw_spec *spec,
    int64_t deadline_ms);
int fw_cancel(const struct fw_front *front, uint64_t queue, const char *name,
    int64_t wall_ms, int64_t deadline_ms);
int fw_state(const struct fw_front *front, uint64_t queue, const char *name,
    int64_t deadline_ms, uint32_t *state);
uint32_t fw_pending(const struct bd_board *board, uint64_t queue);
const struct bd_queue *fw_queue_find(
    const struct bd_board *board, const char *host, const char *path);

#ifdef __cplusplus
}
#endif

#endif
