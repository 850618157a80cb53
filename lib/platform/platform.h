#ifndef CAMPHOR_PLATFORM_H
#define CAMPHOR_PLATFORM_H

#include <stddef.h>
#include <stdint.h>

#include "base.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * 1. Status codes, returned by every callback. They tell whether a change took
 * effect; with PF_EUNKNOWN it may or may not have.
 */
enum pf_status {
	PF_EUNREACHABLE = CW_BASE_PLATFORM - 1, /* not sent: no effect */
	PF_EUNKNOWN = CW_BASE_PLATFORM - 2,     /* sent, no answer */
	PF_EREFUSED = CW_BASE_PLATFORM - 3,     /* answered: no effect */
	PF_EEXPIRED = CW_BASE_PLATFORM - 4,     /* records already discarded */
	PF_EMALFORMED = CW_BASE_PLATFORM - 5,   /* answer cannot be read */
	PF_ETOOLARGE = CW_BASE_PLATFORM - 6,
	PF_UNCHANGED = 1, /* success: the list has the known version */
};

const char *pf_status_name(int code);

/*
 * 2. The append-only log. Each append creates one entry; the offsets of a
 * stream are consecutive.
 */
#define PF_LOG_ENTRY_BYTES_MAX (1024 * 1024)

/* Receives entries in the order of their offsets; data is valid during the call
 * only. */
struct pf_log_sink {
	int (*entry)(
	    void *ctx, uint64_t offset, const void *data, size_t bytes);
	void *ctx;
};

struct pf_log_range {
	uint64_t first; /* oldest retained offset */
	uint64_t next;  /* offset of the next append */
};

struct pf_log {
	int (*append)(void *ctx, const char *stream, const void *data,
	    size_t bytes, uint64_t *offset);
	/* Delivers entries from an offset on; waits up to wait_ms for the
	 * first. Delivering none is a success. Returns PF_EEXPIRED if the
	 * entry at from is no longer retained. */
	int (*read)(void *ctx, const char *stream, uint64_t from,
	    uint32_t wait_ms, const struct pf_log_sink *sink);
	int (*range)(void *ctx, const char *stream, struct pf_log_range *range);
	void *ctx;
};

/*
 * 3. The list of VMs: entry VMs, workers and upstreams. It lags behind the
 * actual state.
 */
enum pf_vm_kind {
	PF_VM_ENTRY,
	PF_VM_WORKER,
	PF_VM_UPSTREAM,
};

enum pf_vm_state {
	PF_VM_LIVE,
	PF_VM_LEAVING,
};

struct pf_vm {
	uint64_t id; /* cw_id_from_name(name) */
	char name[CW_NAME_BYTES];
	char address[CW_NAME_BYTES]; /* "ip:port" */
	char region[24];
	char zone[24];
	char rack[24];  /* workers only */
	uint32_t kind;  /* enum pf_vm_kind */
	uint32_t state; /* enum pf_vm_state */
	uint32_t cores_milli;
	uint32_t memory_mb;
	uint32_t accels;
	uint32_t reserved;
};

struct pf_vm_sink {
	int (*vm)(void *ctx, const struct pf_vm *vm);
	void *ctx;
};

struct pf_vm_list {
	/* Delivers all VMs and sets *version to that of the list, 0 if it has
	 * none. If *version is not 0 and still current, delivers none and
	 * returns PF_UNCHANGED. */
	int (*list)(
	    void *ctx, uint64_t *version, const struct pf_vm_sink *sink);
	void *ctx;
	/* Registers this entry VM, or reports that it is leaving, by
	 * self->state. NULL if the platform registers VMs itself. */
	int (*announce)(void *ctx, const struct pf_vm *self);
};

/*
 * 4. Tasks on workers. A worker stores, for each accelerator, the highest
 * fencing token received and refuses lower ones with PF_EREFUSED.
 */
enum pf_task_state {
	PF_TASK_NONE,
	PF_TASK_RESERVED,
	PF_TASK_COMMITTED,
	PF_TASK_RUNNING,
	PF_TASK_DONE,
	PF_TASK_FAILED,
	PF_TASK_STOPPED,
	PF_TASK_LEASE_EXPIRED,
};

struct pf_task {
	uint64_t worker; /* cw_id_from_name(worker_name) */
	uint64_t job;
	uint64_t token; /* fencing token */
	uint32_t member;
	uint32_t accel_mask; /* accelerators of the worker, as bits */
	uint32_t cores_milli;
	uint32_t memory_mb;
	int64_t lease_ms;  /* duration of the lease */
	int64_t resume_ms; /* run time stored in the last checkpoint */
	const char *worker_name;
	const char *input; /* passed to the task: JSON text from the caller */
};

/* A worker's report on one task. Resource usage lags behind. */
struct pf_task_report {
	uint64_t worker;
	uint64_t job;
	uint64_t token;
	uint32_t member;
	uint32_t state; /* enum pf_task_state */
	uint32_t used_cores_milli;
	uint32_t used_memory_mb;
	int64_t run_ms;        /* run time so far, including resume_ms */
	int64_t checkpoint_ms; /* run_ms stored in the last checkpoint */
	char message[64];      /* reason of a failure */
};

struct pf_report_sink {
	int (*report)(void *ctx, const struct pf_task_report *report);
	void *ctx;
};

#define PF_TASKS_MAX 256 /* in one message */

/* Each function sends several tasks of one rack in one message and stores a
 * status for each in results. The return value is the status of the message. */
struct pf_tasks {
	int (*reserve)(
	    void *ctx, const struct pf_task *tasks, size_t count, int *results);
	int (*commit)(
	    void *ctx, const struct pf_task *tasks, size_t count, int *results);
	int (*start)(
	    void *ctx, const struct pf_task *tasks, size_t count, int *results);
	int (*renew)(
	    void *ctx, const struct pf_task *tasks, size_t count, int *results);
	int (*checkpoint)(
	    void *ctx, const struct pf_task *tasks, size_t count, int *results);
	int (*throttle)(
	    void *ctx, const struct pf_task *tasks, size_t count, int *results);
	int (*stop)(
	    void *ctx, const struct pf_task *tasks, size_t count, int *results);
	/* Delivers reports on the given tasks; they may be stale. */
	int (*reports)(void *ctx, const struct pf_task *tasks, size_t count,
	    const struct pf_report_sink *sink);
	void *ctx;
};

/*
 * 5. The callbacks of the platform, and the HTTP adapter that implements them.
 */
struct pf_platform {
	struct pf_log log;
	struct pf_vm_list vms;
	struct pf_tasks tasks;
};

/* 0 selects the default given with each field. */
struct pf_http_settings {
	const char *address;         /* "http://ip:port" */
	uint32_t connect_timeout_ms; /* 500 */
	/* 3000, for one call; a long poll adds its wait. In a read of the log,
	 * until the answer begins, and between two parts of it. */
	uint32_t call_timeout_ms;
	uint32_t answer_bytes_max; /* 2 MiB */
};

/* Calls and bytes since the adapter was created, failed calls included. Bytes
 * include HTTP headers, but not those of TCP and IP. */
enum pf_traffic_kind {
	PF_TRAFFIC_LOG,
	PF_TRAFFIC_VMS,
	PF_TRAFFIC_TASKS,
	PF_TRAFFIC_KINDS
};

struct pf_traffic {
	uint64_t calls;
	uint64_t sent_bytes;
	uint64_t received_bytes;
};

struct pf_http;

const char *pf_traffic_name(uint32_t kind);
int pf_http_create(
    struct pf_http **out, const struct pf_http_settings *settings);
void pf_http_destroy(struct pf_http *http);
void pf_http_platform(struct pf_http *http, struct pf_platform *out);
void pf_http_traffic(
    struct pf_http *http, struct pf_traffic out[PF_TRAFFIC_KINDS]);

#ifdef __cplusplus
}
#endif

#endif
