#ifndef CAMPHOR_BOARD_H
#define CAMPHOR_BOARD_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * 1. Handles and status codes
 */
enum bd_status {
	BD_ESTALE = CW_BASE_BOARD - 1, /* row of the handle was removed */
	BD_EFULL = CW_BASE_BOARD - 2,
	BD_EEXIST = CW_BASE_BOARD - 3,
	BD_ENOTFOUND = CW_BASE_BOARD - 4,
	BD_ENOMEM = CW_BASE_BOARD - 5,
};

const char *bd_status_name(int code);

/* Identifies a row of one table. Valid in this process only; log records
 * refer to rows by their 64-bit id. */
struct bd_handle {
	uint32_t index;
	uint32_t generation;
};

/* The controllers that write tables. */
enum bd_writer {
	BD_WRITER_STATE,
	BD_WRITER_MEMBERSHIP,
	BD_WRITER_HEALTH,
	BD_WRITER_LIMITS,
	BD_WRITER_USAGE,
	BD_WRITER_GANG,
	BD_WRITER_VM_LIST,
	BD_WRITER_FLOW,
};

/*
 * 2. Rows. All are plain bytes: unused bytes are zero, so that rows can be
 * compared and hashed. Rows of the state controller are equal on every VM that
 * has applied the same records.
 */
#define BD_GANG_MEMBERS_MAX 64
#define BD_WORKER_ACCELS_MAX 32
#define BD_JOB_INPUT_BYTES 160
#define BD_JOB_FAILED_WORKERS_MAX 4
#define BD_SERVICE_ACCOUNTS_MAX 64

/* Resources of one gang or of one copy of a guarantee: members × accels
 * accelerators. */
struct bd_shape {
	uint16_t members;
	uint16_t accels;      /* for each member */
	uint32_t cores_milli; /* for each member */
	uint32_t memory_mb;   /* for each member */
};

/* Accelerators of one worker, one bit each. */
struct bd_slot {
	uint64_t worker;
	uint32_t accel_mask;
	uint32_t reserved;
};

enum bd_class {
	BD_CLASS_URGENT,
	BD_CLASS_NORMAL,
	BD_CLASS_BATCH,
	BD_CLASS_COUNT,
};

enum bd_role {
	BD_ROLE_CALLER,
	BD_ROLE_OPERATOR,
};

/* Table "config", one row with id BD_CONFIG_ID. */
#define BD_CONFIG_ID 1
struct bd_config {
	uint64_t version; /* number of configuration texts accepted so far */
	uint64_t epoch;
	int64_t accepted_ms;
	char author[CW_NAME_BYTES];
	uint32_t fragmentation_weight_milli; /* 0 to 1000 */
	uint32_t reclaim_ms; /* from a preemption to its deadline */
	uint32_t checkpoint_ms;
	uint32_t entry_vms;
	uint32_t cross_region_bytes_per_s;
	uint32_t request_keep_ms; /* for answers and outcomes */
	uint32_t quarantine_cap_milli;
	uint32_t moves_per_hour;
	uint32_t text_bytes;
	uint32_t reserved;
	char text[];
};

struct bd_account {
	uint64_t id; /* cw_id_from_name(name) */
	char name[CW_NAME_BYTES];
	uint8_t key_salt[16];
	uint8_t key_hash[32]; /* SHA-256 of salt and key */
	uint32_t role;        /* enum bd_role */
	uint32_t quota_accels;
	uint32_t weight_milli;
	uint32_t rate_per_s;  /* 0: unlimited */
	uint32_t concurrency; /* 0: unlimited */
	uint32_t queue_max;
};

/* One copy of one shape that is guaranteed to an account. slots[] is the
 * planned hardware; slot_count is zero while none can be planned. */
struct bd_promise {
	uint64_t id;
	uint64_t account;
	uint64_t epoch;
	/* Since when no hardware can be planned, 0: it is planned. */
	int64_t short_since_ms;
	struct bd_shape shape;
	uint16_t number; /* of the shape in the account's list */
	uint16_t copy;
	uint16_t slot_count;
	uint16_t reserved;
	struct bd_slot slots[BD_GANG_MEMBERS_MAX];
};

struct bd_service {
	uint64_t id;
	char name[CW_NAME_BYTES];
	uint32_t class_default; /* enum bd_class */
	uint32_t timeout_ms;
	uint32_t body_max_bytes;
	uint32_t answer_max_bytes;
	uint32_t attempts_max; /* including the first */
	uint32_t account_count;
	uint64_t accounts[BD_SERVICE_ACCOUNTS_MAX];
};

/* An upstream, that is, one instance of a service. */
struct bd_runner {
	uint64_t id;
	uint64_t service;
	uint64_t region;
	uint64_t zone;
	char address[CW_NAME_BYTES]; /* "ip:port" */
	uint32_t slots;              /* requests at a time */
	uint32_t connections; /* of all entry VMs, each with an equal part */
	uint32_t leaving;     /* 1: gets no new requests */
	uint32_t reserved;
};

enum bd_worker_state {
	BD_WORKER_UP,
	BD_WORKER_LEAVING,
	BD_WORKER_LOST,
};

struct bd_worker {
	uint64_t id;
	uint64_t epoch;
	uint64_t region;
	uint64_t zone;
	uint64_t rack;
	char name[CW_NAME_BYTES];
	char region_name[24];
	char zone_name[24];
	char rack_name[24];
	uint32_t cores_milli;
	uint32_t memory_mb;
	uint32_t accels;
	uint32_t state;              /* enum bd_worker_state */
	int64_t quarantine_until_ms; /* 0: not in quarantine */
	uint16_t quarantine_count;
	uint16_t was_leaving; /* 1: recorded as leaving since it was up */
	uint32_t consecutive_failures;
	uint64_t failed_accounts[2]; /* of its latest consecutive failures */
	/* Resources used by its tasks, and resources of the guarantees that
	 * are planned on it. They change without a new epoch. */
	uint32_t used_mask;
	uint32_t used_cores_milli;
	uint32_t used_memory_mb;
	uint32_t planned_mask;
	uint32_t planned_cores_milli;
	uint32_t planned_memory_mb;
	int64_t changed_ms; /* time of its latest WORKER record */
	/* Where is_shrunk is 1: the most that it has had since it was last
	 * lost; otherwise 0. */
	uint32_t most_cores_milli;
	uint32_t most_memory_mb;
	uint32_t most_accels;
	uint32_t is_shrunk;
};

/* A job that is cancelled after it was placed keeps its token and its tasks
 * until GANG_ENDED, as its gang must still be stopped. */
enum bd_job_state {
	BD_JOB_WAITING,
	BD_JOB_PLACED,
	BD_JOB_RUNNING,
	BD_JOB_PREEMPTING,
	BD_JOB_DONE,
	BD_JOB_FAILED,
	BD_JOB_CANCELLED,
};

/* Why a job is queued, was rescheduled or has ended. */
enum bd_reason {
	BD_REASON_NONE,
	BD_REASON_NO_CAPACITY,
	BD_REASON_QUOTA,
	BD_REASON_RESERVED_FOR_GANG,
	BD_REASON_RECLAIMED,
	BD_REASON_DEFRAGMENTED,
	BD_REASON_OVERRUN,
	BD_REASON_RESERVE_REFUSED,
	BD_REASON_MEMBER_FAILED,
	BD_REASON_LEASE_EXPIRED,
	BD_REASON_WORKER_LOST,
	BD_REASON_JOB_FAILED_REPEATEDLY,
	BD_REASON_FITS_NO_WORKER,
	BD_REASON_CANCELLED,
	BD_REASON_COUNT,
};

const char *bd_reason_name(uint32_t reason);
const char *bd_job_state_name(uint32_t state);
const char *bd_class_name(uint32_t class_number);

struct bd_job {
	uint64_t id; /* position of its JOB_SUBMIT record */
	uint64_t epoch;
	uint64_t account;
	uint64_t owner;   /* incarnation of an entry VM */
	uint64_t token;   /* position of its PLACE record, 0: not placed */
	uint64_t promise; /* guarantee that it uses, 0: borrowed capacity */
	struct bd_shape shape;
	uint32_t class_number; /* enum bd_class */
	uint32_t state;        /* enum bd_job_state */
	uint32_t reason;       /* enum bd_reason of the last change */
	uint32_t attempts;     /* placements so far */
	uint32_t failures;     /* attempts that ended in MEMBER_FAILED */
	uint32_t cross_region; /* 1: members may be in several regions */
	/* Workers that have crashed under it since it last ran for a while. A
	 * job with crashes is placed apart from others. */
	uint16_t crashes;
	/* Crashes in the first attempts, up to this one, are not counted: one
	 * was, or the attempt shared a worker. */
	uint16_t uncounted_attempts;
	int64_t declared_ms; /* run time that the client declared */
	int64_t submitted_ms;
	int64_t waiting_since_ms;
	int64_t started_ms; /* start of the present attempt */
	int64_t ended_ms;
	int64_t checkpoint_ms; /* when last checkpointed, 0: never */
	int64_t progress_ms;   /* run time that the checkpoint covers */
	int64_t preempt_deadline_ms;
	/* Before this time the job may not borrow capacity that is planned for
	 * a guarantee. */
	int64_t hold_until_ms;
	uint64_t preempted_for; /* job */
	uint64_t failed_workers[BD_JOB_FAILED_WORKERS_MAX];
	char name[CW_NAME_BYTES];
	/* Idempotency key: a submit repeated with it gives the same job. */
	char submit_key[CW_NAME_BYTES];
	char input[BD_JOB_INPUT_BYTES]; /* passed to the tasks unchanged */
};

struct bd_task {
	uint64_t id; /* cw_id_from_pair(job, member) */
	uint64_t job;
	uint64_t worker;
	uint64_t token;
	uint32_t member;
	uint32_t accel_mask;
};

enum bd_request_state {
	BD_REQUEST_INTENT,
	BD_REQUEST_DONE,
};

/* Entry of one at-most-once request; id = cw_id_from_pair(account, key
 * hash). */
struct bd_request {
	uint64_t id;
	uint64_t request_id;
	uint64_t account;
	uint64_t service;
	uint64_t owner;
	uint64_t epoch;
	int64_t intent_ms;
	uint64_t body_hash; /* hash of the client's request body */
	uint32_t state;     /* enum bd_request_state */
	uint32_t http_status;
	uint32_t answer_bytes;
	/* 1: not kept, as the stored answers would exceed their total limit. */
	uint32_t answer_dropped;
	char answer[];
};

/* Duties, each held by one VM at a time. Correctness rests on epochs; a duty
 * only avoids redundant proposals. */
enum bd_duty_id {
	BD_DUTY_PLACEMENT = 1,
	BD_DUTY_SNAPSHOT,
	BD_DUTY_WORKERS,
	BD_DUTY_LIMITS,
	BD_DUTY_EXPIRY,
	BD_DUTY_END,
};

struct bd_duty {
	uint64_t id; /* enum bd_duty_id */
	uint64_t owner;
	uint64_t epoch;
	int64_t since_ms;
};

/* Last record applied from one writer of the log; detects repeated appends. */
struct bd_log_writer {
	uint64_t id; /* incarnation */
	uint64_t sequence;
	int64_t last_ms;
};

enum bd_member_state {
	BD_MEMBER_ALIVE,
	BD_MEMBER_SUSPECT,
	BD_MEMBER_DEAD,
	BD_MEMBER_LEAVING,
};

/* An entry VM, this one included. Written by membership. */
struct bd_member {
	uint64_t id; /* incarnation */
	uint64_t zone;
	uint64_t region;
	char name[CW_NAME_BYTES];
	char peer_address[CW_NAME_BYTES];
	char http_address[CW_NAME_BYTES];
	uint32_t state; /* enum bd_member_state */
	uint32_t self;  /* 1: this VM */
	int64_t heard_ms;
	/* Start of this state; for this VM: start or end of its pause. */
	int64_t since_ms;
	uint64_t position; /* of the last log record applied */
	uint64_t digest;   /* of its replicated state at the position */
	uint64_t config_version;
};

enum bd_health_state {
	BD_HEALTH_UP,
	BD_HEALTH_EJECTED,
	BD_HEALTH_PROBING,
	BD_HEALTH_SLOW_START,
	BD_HEALTH_LEAVING,
};

enum bd_vm_kind {
	BD_VM_ENTRY,
	BD_VM_WORKER,
	BD_VM_UPSTREAM,
};

enum bd_vm_state {
	BD_VM_LIVE,
	BD_VM_LEAVING,
	BD_VM_GONE, /* no longer on the platform's list */
};

/* Latest copy of the platform's list of VMs, which lags. Written by the VM
 * list controller. */
struct bd_vm {
	uint64_t id; /* cw_id_from_name(name) */
	char name[CW_NAME_BYTES];
	char address[CW_NAME_BYTES]; /* "ip:port" */
	char region[24];
	char zone[24];
	char rack[24];
	uint32_t kind;  /* enum bd_vm_kind */
	uint32_t state; /* enum bd_vm_state */
	uint32_t cores_milli;
	uint32_t memory_mb;
	uint32_t accels;
	uint32_t was_leaving; /* 1: was leaving when it was last listed */
	int64_t changed_ms;
};

/* Health of an upstream as this VM sees it. Written by health. */
struct bd_health {
	uint64_t id;    /* of the upstream's row in table runner */
	uint32_t state; /* enum bd_health_state */
	uint32_t ejections;
	int64_t until_ms;
	int64_t since_ms;
};

/* This VM's share of an account's limits, UINT32_MAX: unlimited. Written by
 * limits. */
struct bd_share {
	uint64_t id; /* account */
	uint32_t rate_per_s;
	uint32_t concurrency;
	uint32_t leased_rate_per_s;
	uint32_t leased_concurrency;
	int64_t lease_until_ms; /* on the monotonic clock */
};

uint32_t bd_share_floor(uint32_t limit, uint32_t entry_vms);

/* Latest usage of a job: cores and memory of the member that uses most, to
 * be compared with the shape. Written by usage. */
struct bd_usage {
	uint64_t id; /* job */
	uint32_t cores_milli;
	uint32_t memory_mb;
	int64_t reported_ms;
	int64_t run_ms;
};

/* Lease of a gang that this VM renews. Written by gang. */
struct bd_lease {
	uint64_t id; /* job */
	uint64_t token;
	uint32_t phase; /* enum gang_phase */
	uint32_t reserved;
	int64_t until_ms;
	int64_t renewed_ms;
};

#include "flow_rows.h"

/*
 * 3. Reading. bd_board is the state that controllers publish to each other: one
 * table for each type of row. Readers take no lock (RCU): between bd_read_begin
 * and bd_read_end a row pointer stays valid and its row unchanged.
 */
struct bd_board;

/* The tables: BD_TABLE(name, row type, writer, capacity in rows). The
 * capacities are at least twice the target size; unused rows take no memory.
 * What happens when a table is full: docs/design.md, 6.1. */
#define BD_TABLES(BD_TABLE)                                                 \
	BD_TABLE(config, struct bd_config, BD_WRITER_STATE, 1)              \
	BD_TABLE(account, struct bd_account, BD_WRITER_STATE, 256)          \
	BD_TABLE(promise, struct bd_promise, BD_WRITER_STATE, 1024)         \
	BD_TABLE(service, struct bd_service, BD_WRITER_STATE, 256)          \
	BD_TABLE(runner, struct bd_runner, BD_WRITER_STATE, 4096)           \
	BD_TABLE(worker, struct bd_worker, BD_WRITER_STATE, 4096)           \
	BD_TABLE(job, struct bd_job, BD_WRITER_STATE, 32768)                \
	BD_TABLE(task, struct bd_task, BD_WRITER_STATE, 32768)              \
	BD_TABLE(request, struct bd_request, BD_WRITER_STATE, 131072)       \
	BD_TABLE(duty, struct bd_duty, BD_WRITER_STATE, 64)                 \
	BD_TABLE(log_writer, struct bd_log_writer, BD_WRITER_STATE, 8192)   \
	BD_TABLE(vm, struct bd_vm, BD_WRITER_VM_LIST, 8192)                 \
	BD_TABLE(member, struct bd_member, BD_WRITER_MEMBERSHIP, 256)       \
	BD_TABLE(health, struct bd_health, BD_WRITER_HEALTH, 4096)          \
	BD_TABLE(share, struct bd_share, BD_WRITER_LIMITS, 256)             \
	BD_TABLE(usage, struct bd_usage, BD_WRITER_USAGE, 32768)            \
	BD_TABLE(lease, struct bd_lease, BD_WRITER_GANG, 32768)             \
	BD_TABLE(setup, struct bd_setup, BD_WRITER_FLOW, 1)                 \
	BD_TABLE(setup_refused, struct bd_setup_refused, BD_WRITER_FLOW, 1) \
	BD_TABLE(host, struct bd_host, BD_WRITER_FLOW, 4096)                \
	BD_TABLE(departure, struct bd_departure, BD_WRITER_FLOW, 4096)      \
	BD_TABLE(evacuation, struct bd_evacuation, BD_WRITER_FLOW, 256)     \
	BD_TABLE(last_lease, struct bd_last_lease, BD_WRITER_FLOW, 8192)    \
	BD_TABLE(watermarks, struct bd_watermarks, BD_WRITER_FLOW, 1)       \
	BD_TABLE(peer, struct bd_peer, BD_WRITER_FLOW, 1024)                \
	BD_TABLE(tombstone, struct bd_tombstone, BD_WRITER_FLOW, 16384)     \
	BD_TABLE(flow, struct bd_flow, BD_WRITER_FLOW, 98304)

enum bd_table_number {
#define BD_TABLE(name, type, writer, capacity) BD_TABLE_##name,
	BD_TABLES(BD_TABLE)
#undef BD_TABLE
	BD_TABLE_COUNT,
};

int bd_board_create(struct bd_board **out);
void bd_board_destroy(struct bd_board *board);

void bd_read_begin(void);
void bd_read_end(void);
void bd_grace_period_ended(void);

const void *bd_get(const struct bd_board *board, enum bd_table_number number,
    struct bd_handle handle, int *status);
const void *bd_lookup(const struct bd_board *board, enum bd_table_number number,
    uint64_t id, struct bd_handle *handle);
const void *bd_next(const struct bd_board *board, enum bd_table_number number,
    uint32_t *cursor, struct bd_handle *handle);
uint32_t bd_row_count(
    const struct bd_board *board, enum bd_table_number number);

/* The rows of a table at one moment, each id once. */
struct bd_found_row {
	const void *row;
	struct bd_handle handle;
};

struct bd_rows {
	struct bd_found_row *items;
	uint32_t count;
};

int bd_rows_collect(const struct bd_board *board, enum bd_table_number number,
    struct bd_rows *out);
void bd_rows_free(struct bd_rows *rows);
uint32_t bd_table_capacity(enum bd_table_number number);
size_t bd_row_bytes(const void *row);
const char *bd_table_name(enum bd_table_number number);

/* Typed readers: bd_job_get, bd_job_lookup, bd_job_next and so on. */
#define BD_TABLE(name, type, writer, capacity)                     \
	static inline const type *bd_##name##_get(                 \
	    const struct bd_board *board, struct bd_handle handle) \
	{                                                          \
		return (const type *)bd_get(                       \
		    board, BD_TABLE_##name, handle, NULL);         \
	}                                                          \
	static inline const type *bd_##name##_lookup(              \
	    const struct bd_board *board, uint64_t id)             \
	{                                                          \
		return (const type *)bd_lookup(                    \
		    board, BD_TABLE_##name, id, NULL);             \
	}                                                          \
	static inline const type *bd_##name##_next(                \
	    const struct bd_board *board, uint32_t *cursor)        \
	{                                                          \
		return (const type *)bd_next(                      \
		    board, BD_TABLE_##name, cursor, NULL);         \
	}
BD_TABLES(BD_TABLE)
#undef BD_TABLE

/*
 * 4. Writing. Only the thread of the table's controller may call these; the
 * writer is asserted.
 */
int bd_put(struct bd_board *board, enum bd_table_number number,
    enum bd_writer writer, uint64_t id, const void *row, size_t bytes,
    struct bd_handle *handle);
int bd_remove(struct bd_board *board, enum bd_table_number number,
    enum bd_writer writer, uint64_t id);
void bd_clear(
    struct bd_board *board, enum bd_table_number number, enum bd_writer writer);

/* A change of several rows that belong together. The count is odd while one
 * is in progress, as in a seqlock: a reader of several rows that finds it
 * odd, or different afterwards, has seen an inconsistent state and must read
 * again later. */
void bd_change_begin(struct bd_board *board);
void bd_change_end(struct bd_board *board);
uint64_t bd_change_count(const struct bd_board *board);

/* Wakes the controllers that wait for changes of tables. */
void bd_notify(struct bd_board *board);
uint64_t bd_notify_count(const struct bd_board *board);
uint64_t bd_wait(struct bd_board *board, uint64_t seen, int64_t timeout_ms);

/*
 * 5. Controllers. A thread calls step, which decides and applies, and then
 * waits until tables have changed or the returned time (ms, on ctl_clock) has
 * come.
 */
struct ctl_clock {
	int64_t (*now_ms)(void *ctx);
	void *ctx;
};

struct ctl_spec {
	const char *name;
	int64_t (*step)(void *ctx, int64_t now_ms);
	void *ctx;
};

struct ctl;

int ctl_start(struct ctl **out, struct bd_board *board,
    const struct ctl_spec *spec, const struct ctl_clock *clock);
void ctl_stop(struct ctl *ctl);

#ifdef __cplusplus
}
#endif

#endif
