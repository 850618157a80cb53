#ifndef CAMPHOR_STATE_H
#define CAMPHOR_STATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "board.h"
#include "platform.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * 1. Status codes
 */
enum st_status {
	ST_EMALFORMED = CW_BASE_STATE - 1,   /* record cannot be decoded */
	ST_ESTALE = CW_BASE_STATE - 2,       /* epoch, token or image is old */
	ST_EREPEATED = CW_BASE_STATE - 3,    /* duplicate record or submit */
	ST_EUNKNOWNKIND = CW_BASE_STATE - 4, /* newer kind or version */
	ST_ECONFLICT = CW_BASE_STATE - 5,    /* configuration or key */
	ST_EREJECTED = CW_BASE_STATE - 6,    /* violates a validation rule */
	ST_ENOTREADY = CW_BASE_STATE - 7,    /* earlier entries are missing */
	ST_EUNAVAILABLE = CW_BASE_STATE - 8, /* log unreachable, not appended */
	ST_EUNKNOWN = CW_BASE_STATE - 9,     /* may or may not be appended */
	ST_ENOMEM = CW_BASE_STATE - 10,
	ST_EFULL = CW_BASE_STATE - 11, /* table or queue at its capacity */
	ST_ETOOLARGE = CW_BASE_STATE - 12,
};

const char *st_status_name(int code);

/*
 * 2. Records. The log orders them by position, which is
 * log offset << REC_POSITION_INDEX_BITS | index in the batch. The index counts
 * from 1; position 0 precedes every record.
 */
#define REC_VERSION 1
#define REC_BATCH_MAX 256
#define REC_POSITION_INDEX_BITS 12
#define REC_POSITION_INDEX_END 0xfff /* after all records of an entry */
#define REC_CONFIG_TEXT_BYTES_MAX (256 * 1024)
#define REC_ANSWER_BYTES_MAX (64 * 1024)

enum rec_kind {
	REC_CONFIG = 1,
	REC_WORKER = 2,
	REC_JOB_SUBMIT = 3,
	REC_JOB_CANCEL = 4,
	REC_JOB_OWNER = 5,
	REC_PLACE = 6,
	REC_GANG_STARTED = 7,
	REC_GANG_ENDED = 8,
	REC_PREEMPT = 9,
	REC_CHECKPOINT = 10,
	REC_PLAN = 11,
	REC_SHORT = 12,
	REC_DUTY = 13,
	REC_QUARANTINE = 14,
	REC_REQ_INTENT = 15,
	REC_REQ_OUTCOME = 16,
	REC_REQ_EXPIRE = 17,
	REC_JOB_EXPIRE = 18,
	REC_JOB_CRASH = 19,
};

const char *rec_kind_name(uint32_t kind);

struct rec_config {
	uint64_t base_version;
	char author[CW_NAME_BYTES];
	const char *text; /* not NUL-terminated */
	uint32_t text_bytes;
};

/* The name, location, size and state of a worker. epoch is that of the row to
 * be changed, 0 for a new worker. */
struct rec_worker {
	uint64_t epoch;
	struct bd_worker facts; /* id, location, names, sizes and state */
};

struct rec_job_submit {
	uint64_t account;
	uint64_t owner;
	struct bd_shape shape;
	uint32_t class_number;
	uint32_t cross_region;
	int64_t declared_ms;
	char name[CW_NAME_BYTES];
	char submit_key[CW_NAME_BYTES];
	char input[BD_JOB_INPUT_BYTES];
};

/* JOB_CANCEL needs no epoch: where a job ends and is cancelled at the same
 * time, the record that comes first in the log wins. */
struct rec_job_cancel {
	uint64_t job;
};

struct rec_job_owner {
	uint64_t job;
	uint64_t epoch;
	uint64_t owner;
};

/* Members by index; several may be placed on one worker. */
struct rec_place {
	uint64_t job;
	uint64_t epoch;
	uint64_t promise; /* 0: on borrowed capacity */
	uint32_t member_count;
	struct bd_slot members[BD_GANG_MEMBERS_MAX];
};

struct rec_gang_started {
	uint64_t job;
	uint64_t token;
};

enum rec_outcome {
	REC_OUTCOME_DONE,
	REC_OUTCOME_FAILED, /* the job ends with the reason */
	REC_OUTCOME_RETRY,  /* queued again, resumes from its checkpoint */
};

struct rec_gang_ended {
	uint64_t job;
	uint64_t token;
	uint64_t worker; /* the one that failed, 0: none */
	uint32_t outcome;
	uint32_t reason;
	int64_t progress_ms; /* run time saved in the last checkpoint */
};

struct rec_preempt {
	uint64_t job;
	uint64_t token;
	uint64_t for_job; /* the job that gets the capacity, 0: none */
	uint32_t reason;  /* enum bd_reason */
	uint32_t reserved;
	int64_t deadline_ms;
};

/* Stores the run time up to which a restart can resume. */
struct rec_checkpoint {
	uint64_t job;
	uint64_t token;
	int64_t progress_ms;
};

/* Sets the slots reserved for a promise. slot_count 0 removes the plan. */
struct rec_plan {
	uint64_t promise;
	uint64_t epoch;
	uint32_t slot_count;
	struct bd_slot slots[BD_GANG_MEMBERS_MAX];
};

/* Sets since when there is not enough hardware for a promise. */
struct rec_short {
	uint64_t promise;
	uint64_t epoch;
	int64_t since_ms; /* 0: no longer short of hardware */
};

struct rec_duty {
	uint64_t duty;
	uint64_t epoch; /* 0: never held */
	uint64_t owner; /* incarnation, 0: released */
};

struct rec_quarantine {
	uint64_t worker;
	uint64_t epoch;
	int64_t until_ms; /* 0: back in service */
};

struct rec_req_intent {
	uint64_t id; /* cw_id_from_pair(account, hash of the idempotency key) */
	uint64_t request_id;
	uint64_t account;
	uint64_t service;
	uint64_t owner;
	uint64_t body_hash;
};

struct rec_req_outcome {
	uint64_t id;
	uint64_t request_id;
	uint32_t http_status; /* 0: not executed, the entry is removed */
	uint32_t answer_bytes;
	const char *answer;
};

/* Removes at-most-once entries whose intent is older than before_ms, and log
 * writers without a record since then. */
struct rec_req_expire {
	int64_t before_ms;
};

/* Removes jobs that ended and workers that were lost before before_ms, and log
 * writers without a record since then. */
struct rec_job_expire {
	int64_t before_ms;
};

/* A worker has crashed while it ran a member of the job: it answers and does
 * not know the member, or it was lost without a notice of leaving. */
struct rec_job_crash {
	uint64_t job;
	uint64_t token; /* of the attempt */
	uint64_t worker;
	uint32_t attempt; /* number of the attempt */
};

/* One record. Pointers in the body are borrowed: from the buffer that the
 * record was decoded from, or from the caller that proposes it. */
struct rec {
	uint32_t version;
	uint32_t kind;
	uint64_t writer;   /* incarnation */
	uint64_t sequence; /* increases by one with each record of a writer */
	int64_t time_ms;
	union {
		struct rec_config config;
		struct rec_worker worker;
		struct rec_job_submit job_submit;
		struct rec_job_cancel job_cancel;
		struct rec_job_owner job_owner;
		struct rec_place place;
		struct rec_gang_started gang_started;
		struct rec_gang_ended gang_ended;
		struct rec_preempt preempt;
		struct rec_checkpoint checkpoint;
		struct rec_plan plan;
		struct rec_short short_since;
		struct rec_duty duty;
		struct rec_quarantine quarantine;
		struct rec_req_intent req_intent;
		struct rec_req_outcome req_outcome;
		struct rec_req_expire req_expire;
		struct rec_job_expire job_expire;
		struct rec_job_crash job_crash;
	} body;
};

/* A job that has run for this long without a crash of its workers is no longer
 * suspected of crashing them. */
#define ST_CRASH_FREE_RUN_MS 30000

/*
 * 3. Codec. An entry of the log is a batch of records in MessagePack.
 */

/* One encoded record. */
struct rec_encoded {
	const void *data;
	size_t bytes;
};

/* Receives the records of a batch in order. A status other than CW_OK from
 * rec ends the decoding. */
struct rec_sink {
	int (*rec)(
	    void *ctx, uint32_t index, int status, const struct rec *rec);
	void *ctx;
};

int rec_encode(const struct rec *rec, void **data, size_t *bytes);
int rec_batch_encode(const struct rec_encoded *records, size_t count,
    void **data, size_t *bytes);
int rec_batch_decode(
    const void *data, size_t bytes, const struct rec_sink *sink);

/*
 * 4. The replicated state machine. One thread at a time applies records in the
 * order of their positions. Applying is deterministic: the same records give
 * the same tables on every VM.
 */
struct st_state;

/* Is notified of each record after it was applied, with the status of st_apply
 * and the value of st_result_id. Callbacks must not block. */
struct st_observer {
	void (*applied)(void *ctx, const struct rec *rec, int status,
	    uint64_t position, uint64_t result_id);
	void *ctx;
};

int st_create(struct st_state **out, struct bd_board *board);
void st_destroy(struct st_state *state);
int st_apply(struct st_state *state, const struct rec *rec, uint64_t position);
uint64_t st_position(const struct st_state *state);
uint64_t st_digest(const struct st_state *state);
uint64_t st_result_id(const struct st_state *state);
uint64_t st_malformed_count(const struct st_state *state);
uint64_t st_unknown_kind_count(const struct st_state *state);
uint64_t st_job_by_key(
    struct st_state *state, uint64_t account, const char *submit_key);

/* Applies one entry of the log, which must be the next one. */
void st_apply_entry(struct st_state *state, uint64_t offset, const void *data,
    size_t bytes, const struct st_observer *observer);
uint64_t st_position_make(uint64_t offset, uint32_t index);
uint64_t st_next_offset(const struct st_state *state);

/*
 * 5. Proposing. Components hand records to a sink, which fills in writer,
 * sequence and time_ms and copies the data that pointers refer to. Unless
 * propose fails, done is called exactly once where it is not NULL: by the
 * thread that applies the record, with the status of st_apply (CW_OK,
 * ST_ESTALE, ...) and the value of st_result_id (the record's position; for a
 * repeated submit the first job), or by the writer's thread with
 * ST_EUNAVAILABLE or ST_EUNKNOWN. It must not block but may propose records.
 */
struct st_completion {
	void (*call)(void *ctx, int status, uint64_t position);
	void *ctx;
};

struct st_sink {
	int (*propose)(
	    void *ctx, const struct rec *rec, const struct st_completion *done);
	void *ctx;
};

/*
 * 6. Snapshots. An image is a serialized copy of all tables that are derived
 * from the log. The snapshot stream stores images in chunks.
 */
#define ST_RECORD_STREAM "state"
#define ST_SNAPSHOT_STREAM "snap"
#define ST_SNAPSHOT_CHUNK_BYTES (64 * 1024)

struct st_image {
	uint64_t last_position; /* position of the last record included */
	uint64_t digest;
	size_t rows_offset; /* size of the header, bytes */
};

int st_image_encode(struct st_state *state, void **data, size_t *bytes);
int st_image_header(const void *data, size_t bytes, struct st_image *image);
int st_image_load(struct st_state *state, const void *data, size_t bytes,
    bool allow_same_position);
int st_snapshot_write(
    const struct pf_log *log, uint64_t id, const void *image, size_t bytes);
int st_snapshot_read(const struct pf_log *log, void **image, size_t *bytes);

/*
 * 7. Group commit. The writer appends the records of its sink in batches, with
 * one batch in flight, and learns their outcome from the follower.
 */
struct st_writer_options {
	uint64_t incarnation; /* random per process start, not 0 */
	/* Longest time from the proposal of a record to its outcome. */
	int64_t outcome_timeout_ms;
};

struct st_writer_status {
	uint64_t records;        /* proposed */
	uint64_t batches;        /* appended */
	uint64_t append_retries; /* appends retried for lack of an answer */
	uint64_t unavailable;    /* records that ended with ST_EUNAVAILABLE */
	uint64_t unknown;        /* records that ended with ST_EUNKNOWN */
	uint32_t pending;        /* records without an outcome yet */
};

struct st_writer;

int st_writer_create(struct st_writer **out, const struct pf_log *log,
    const struct ctl_clock *clock, const struct st_writer_options *options);
void st_writer_close(struct st_writer *writer);
void st_writer_destroy(struct st_writer *writer);
struct st_sink st_writer_sink(struct st_writer *writer);
struct st_observer st_writer_observer(struct st_writer *writer);
void st_writer_status_get(
    struct st_writer *writer, struct st_writer_status *status);
int st_writer_start(struct st_writer *writer);
void st_writer_stop(struct st_writer *writer);
/* Runs one iteration in the calling thread, for use without st_writer_start.
 * Makes at most one append. Returns the time (ms) of the next iteration. */
int64_t st_writer_step(struct st_writer *writer, int64_t now_ms);

/*
 * 8. Following the log. The follower owns the state: it applies entries that it
 * reads from the log or receives from peers, notifies observers and publishes
 * the board.
 */
#define ST_TAIL_BYTES_MAX (256 * 1024) /* recent entries kept for peers */
#define ST_OBSERVERS_MAX 8

struct st_follower_options {
	uint32_t poll_ms; /* longest time that one read waits for entries */
	/* A snapshot is written when the entries since the last one span this
	 * time, which is half of the log's retention period, or this many
	 * bytes. */
	int64_t snapshot_age_ms;
	uint64_t snapshot_bytes;
};

struct st_follower_status {
	uint64_t position;
	uint64_t digest;
	int64_t last_contact_ms; /* last contact with the log */
	int64_t confirmed_ms; /* when the last read that reached the end of the
			       * log was sent */
	uint64_t confirmed_reads; /* that reached the end of the log */
	bool log_unreachable;     /* the latest read failed */
	bool ready; /* has caught up with the log or a peer once */
	uint64_t malformed;
	uint64_t unknown_kinds;
	uint64_t rebuilds;
	uint64_t
	    bytes_since_snapshot; /* applied since the last known snapshot */
};

struct st_follower;

int st_follower_create(struct st_follower **out, struct st_state *state,
    const struct pf_log *log, const struct ctl_clock *clock,
    const struct st_follower_options *options);
void st_follower_destroy(struct st_follower *follower);
void st_follower_observer_add(
    struct st_follower *follower, const struct st_observer *observer);
int st_follower_recover(struct st_follower *follower);
int st_follower_start(struct st_follower *follower);
void st_follower_stop(struct st_follower *follower);
void st_follower_status_get(
    struct st_follower *follower, struct st_follower_status *status);

/* Exchange of entries, images and digests with peers. */
int st_follower_tail_read(struct st_follower *follower, uint64_t from,
    size_t bytes_max, const struct pf_log_sink *sink);
int st_follower_entry_apply(struct st_follower *follower, uint64_t offset,
    const void *data, size_t bytes);
int st_follower_image_encode(
    struct st_follower *follower, void **data, size_t *bytes);
int st_follower_image_load(
    struct st_follower *follower, const void *data, size_t bytes);
void st_follower_rebuild_request(struct st_follower *follower);
void st_follower_digest_compare(
    struct st_follower *follower, uint64_t position, uint64_t digest);

/* Controller of the snapshot duty, the ctx of st_snapshot_step; see struct
 * ctl_spec. */
struct st_snapshotter {
	struct st_follower *follower;
	uint64_t self; /* incarnation */
};

int64_t st_snapshot_step(void *ctx, int64_t now_ms);

/* Runs one iteration in the calling thread, for use without st_follower_start.
 * Returns the delay (ms) until the next iteration. */
int64_t st_follower_step(struct st_follower *follower, uint32_t wait_ms);

#ifdef __cplusplus
}
#endif

#endif
