#ifndef CAMPHOR_FLOW_ROWS_H
#define CAMPHOR_FLOW_ROWS_H

/* Included by board.h only. */
#include <assert.h>
#include <stdint.h>

#include "base.h"

/*
 * Rows of multi-step jobs and of what they run on. The flow controller writes
 * all of them, from the records of the platform's store.
 */
/* Labels are compared only. A text that does not fit stands as a digest. */
#define BD_LABEL_BYTES 24
/* The name of a worker is a key of the store, up to 255 bytes. */
#define BD_HOST_NAME_BYTES 256
/* "[ip]:port" at its longest has 53 characters. */
#define BD_HOST_ADDRESS_BYTES 56
#define BD_FLOW_NAME_BYTES 24
/* The name of a zone is a part of a key of the store, up to 255 bytes. */
#define BD_ZONE_NAME_BYTES 256

/* A text of any length among the texts of a row, which tells where they start.
 * It has no terminator, and may contain any bytes. */
struct bd_text {
	uint32_t at;
	uint32_t bytes; /* 0: empty */
};

/* A queue of jobs, selected by the host name and path prefix of a request. The
 * completion target of its jobs, from acceptance to completion, is
 * stretch_milli / 1000 times the estimated run time plus target_ms. */
struct bd_queue {
	uint64_t id; /* cw_id_from_name(name) */
	uint64_t pool;
	struct bd_text name; /* in its bd_setup, as are the next two */
	struct bd_text host;
	struct bd_text prefix;
	uint32_t priority;     /* 0: highest, may preempt the others */
	uint32_t attempts_max; /* per task, 0: unlimited */
	uint32_t stretch_milli;
	uint32_t target_ms;
	uint32_t timeout_ms;
	uint32_t auth_exempt; /* 1: requests need no access key */
};

/* A client account with its guarantee. */
struct bd_client {
	uint64_t id;                /* cw_id_from_name(name) */
	uint32_t guaranteed_accels; /* for its jobs of priority 0 */
	uint32_t reserved;
};

struct bd_access_key {
	uint64_t id; /* cw_id_from_name(key) */
	uint64_t client;
};

/* Table "setup", one row with id BD_CONFIG_ID: the whole active configuration,
 * so that readers see one version of it. data[] holds its queues, its clients
 * and its access keys, the latter two sorted by id, and the texts. */
struct bd_setup {
	uint64_t version;
	uint32_t body_bytes_max;
	uint32_t queue_count;
	uint32_t client_count;
	uint32_t key_count;
	uint32_t text_bytes;
	uint32_t reserved;
	unsigned char data[];
};

#define BD_CAUSE_BYTES 160

/* Table "setup_refused", one row with id BD_CONFIG_ID while the newest
 * configuration of the store is not in force on this VM, as it could not be
 * applied; row "setup" is an older one then, or missing. */
struct bd_setup_refused {
	uint64_t version; /* 0: it could not be read */
	uint64_t offset;  /* of its record in the log */
	int64_t since_ms; /* monotonic time at which it was refused */
	char cause[BD_CAUSE_BYTES];
};

static_assert(sizeof(struct bd_setup) % 8 == 0 &&
	sizeof(struct bd_queue) % 8 == 0 && sizeof(struct bd_client) % 8 == 0,
    "rows within bd_setup are aligned");

/* A worker, as registered by itself in the store. */
struct bd_host {
	uint64_t id; /* cw_id_from_name(name) */
	uint64_t pool;
	int64_t incarnation_ms; /* start of this incarnation, 0: not given */
	int64_t clock_ms;      /* the worker's clock when it wrote the record */
	int64_t heard_ms;      /* monotonic time at which the record was read */
	uint64_t zone;         /* cw_id_from_name(name of its zone) */
	int64_t cold_until_ms; /* monotonic: it is slow until then */
	char name[BD_HOST_NAME_BYTES];
	char address[BD_HOST_ADDRESS_BYTES];
	char kind[BD_LABEL_BYTES];
	char rack[BD_LABEL_BYTES];
	uint32_t cores_milli;
	uint32_t memory_mb;
	uint32_t accels;
	uint32_t leaving;   /* 1: is draining */
	uint32_t notice_ms; /* leaving: least stay after heard_ms */
	uint32_t reserved;
};

/* Table "evacuation": an availability zone in which nothing is started, by
 * request of an operator. */
struct bd_evacuation {
	uint64_t id;      /* cw_id_from_name(zone) */
	uint64_t offset;  /* of its newest record in the log */
	int64_t since_ms; /* monotonic time at which this VM first read it */
	char zone[BD_ZONE_NAME_BYTES];
};

/* Table "departure": a worker whose entry was removed, as far as the store's
 * log was read back. */
struct bd_departure {
	uint64_t id;      /* cw_id_from_name(name) */
	uint64_t session; /* in which the log was read, see departures.c */
	/* Longest time from its last entry to the removal, INT64_MAX: unknown.
	 */
	int64_t silent_max_ms;
	uint32_t leaving; /* 1: that entry said that it drains */
	uint32_t reserved;
	char name[BD_HOST_NAME_BYTES];
	char address[BD_HOST_ADDRESS_BYTES];
};

/* Table "last_lease": a worker whose leases no placer renews before it has
 * deleted this row's record. */
struct bd_last_lease {
	uint64_t id;     /* cw_id_from_name(name) of the worker */
	uint64_t offset; /* of the record in the log */
	/* The last lease ends within this time after the record was stored, -1:
	 * not given. */
	int64_t left_ms;
};

/* The records of progress below an offset were stored by a time. */
struct bd_watermark {
	uint64_t position; /* that offset */
	int64_t stored_ms; /* that time, by this VM's clock, as read_ms */
};

/* First starts of what the placer of a term had placed by then are answered or
 * noted. */
struct bd_settled_term {
	uint64_t term;
	int64_t settled_ms; /* by that placer's clock, as bd_flow.stored_ms */
};

/* A placer writes up to three in a second. The oldest one kept is older than
 * any time that is looked up. */
#define BD_WATERMARKS_MAX 96
#define BD_SETTLED_TERMS_MAX 16

/* Table "watermarks", one row with id BD_CONFIG_ID: the latest ones, by rising
 * positions, and the latest terms. */
struct bd_watermarks {
	uint64_t id;
	uint32_t count;
	uint32_t term_count;
	struct bd_settled_term terms[BD_SETTLED_TERMS_MAX];
	struct bd_watermark items[BD_WATERMARKS_MAX];
};

/* Table "tombstone": a job that was cancelled when it was not known. */
struct bd_tombstone {
	uint64_t id;          /* of the job */
	uint64_t queue;       /* from which it was cancelled */
	int64_t cancelled_ms; /* wall time */
	uint64_t offset;      /* of its record in the log */
	int64_t read_ms;      /* when this VM received that, as ended_ms */
};

#define BD_PEER_TEXT_BYTES 64
#define BD_PEER_ADDRESS_BYTES 48

/* Table "peer": a VM of this deployment that serves calls which other VMs
 * forward, as it last announced itself. */
struct bd_peer {
	uint64_t id;          /* cw_id_from_name(name) */
	uint64_t incarnation; /* of its process */
	int64_t wall_ms;      /* time of the announcement */
	char name[BD_PEER_TEXT_BYTES];
	char address[BD_PEER_ADDRESS_BYTES]; /* "ip:port" of its peer link */
	char zone[BD_PEER_TEXT_BYTES];       /* availability zone */
	char region[BD_PEER_TEXT_BYTES];
};

enum bd_flow_state {
	BD_FLOW_QUEUED,
	BD_FLOW_RUNNING,
	BD_FLOW_COMPLETED,
	BD_FLOW_FAILED,
	BD_FLOW_CANCELLED,
};

enum bd_step_flag {
	BD_STEP_GANG = 1 << 0,
	BD_STEP_SAME_RACK = 1 << 1,
	BD_STEP_CHECKPOINTS = 1 << 2,
	BD_STEP_SPECULATIVE = 1 << 3,
	BD_STEP_LONG_RUNNING = 1 << 4, /* restarted until cancelled */
	BD_STEP_FILLS = 1 << 5,        /* uses idle cores only, reserves none */
};

struct bd_flow_step {
	uint64_t after;      /* bit mask of the steps that it depends on */
	uint32_t count;      /* tasks in one occurrence */
	uint32_t first_task; /* index within one occurrence */
	uint32_t cores_milli;
	uint32_t memory_mb;
	uint32_t accels;
	uint32_t estimate_ms;
	uint32_t flags;                 /* enum bd_step_flag */
	uint32_t host_max;              /* tasks per worker, 0: unlimited */
	char label[BD_LABEL_BYTES];     /* required kind or rack, "": any */
	char data_rack[BD_LABEL_BYTES]; /* rack that has its data, "": none */
};

enum bd_step_task_state {
	BD_STEP_TASK_WAITING,
	BD_STEP_TASK_PLACED, /* may be running on its worker */
	BD_STEP_TASK_DONE,
};

/* Starts of a task that may be carried out late, bits. */
enum bd_late_start {
	/* The first one of the latest run, sent within a second; until a
	 * watermark tells that it is settled. */
	BD_LATE_FIRST = 1 << 0,
	BD_LATE_LATEST = 1 << 1, /* of the latest run, within late_ms */
	BD_LATE_BEFORE = 1 << 2, /* of one before it, within late_ms */
	/* late_ms counts from the record at late_offset, not from this one. */
	BD_LATE_SINCE = 1 << 3,
};

struct bd_step_task {
	uint64_t host;          /* id of the worker of the latest run */
	int64_t incarnation_ms; /* of that worker when it was placed there */
	int64_t changed_ms;     /* wall time of the latest change of state */
	uint32_t run;           /* number of the latest run, 0: none */
	uint16_t state;         /* enum bd_step_task_state */
	uint16_t failures;      /* runs that ended as failed */
	uint32_t failed_run;    /* latest run that was counted as failed */
	uint16_t crashes;       /* workers that crashed under it */
	/* Of these: the worker may have been cut off, or if the task lasts it
	 * is not the likely cause. */
	uint16_t presumed_crashes;
	/* Time after the record of its row was stored in which that worker may
	 * carry out an unanswered start. */
	uint16_t late_ms;
	uint16_t late; /* enum bd_late_start */
	uint32_t reserved;
	uint64_t late_offset; /* of the record that noted it first */
	/* The same as a wall time, for versions that go by it. */
	int64_t late_until_ms;
	uint64_t address; /* id of that worker's address, 0: unknown */
	/* Among the checkpoints of its row; bytes 0: there is none. */
	struct bd_text checkpoint;
};

/* A job. data[] holds its steps, its tasks (ordered by occurrence, then by
 * step), the text that is passed to the tasks, and their checkpoints. */
struct bd_flow {
	uint64_t id; /* value of its hexadecimal name */
	uint64_t queue;
	uint64_t pool;
	uint64_t client;
	uint64_t epoch; /* offset after its progress record, 0: none */
	uint64_t term;  /* of the placer that wrote it, 0: not given */
	/* When it did, by its clock, which counts time in suspension too. Such
	 * times are compared only with others of the same term. */
	int64_t stored_ms;
	int64_t accepted_ms; /* wall time */
	int64_t changed_ms;  /* wall time of the latest change of state */
	/* When this VM received its end, by the clock that counts suspension,
	 * 0: it has not. */
	int64_t ended_ms;
	int64_t first_due_ms; /* wall time, 0: due at once */
	int64_t interval_ms;  /* between the due times of occurrences */
	char name[BD_FLOW_NAME_BYTES];
	uint32_t state; /* enum bd_flow_state, as stored with its progress */
	uint32_t cancelled; /* 1: a cancellation was stored */
	uint32_t priority;
	uint32_t attempts_max;
	uint32_t stretch_milli;
	uint32_t target_ms;
	uint32_t occurrences; /* at least 1 */
	uint32_t step_count;
	uint32_t step_tasks; /* tasks of one occurrence */
	uint32_t text_bytes;
	uint32_t compacted;    /* 1: ended, reduced to a single step and task */
	uint32_t public_state; /* enum bd_flow_state, as reported to callers */
	uint32_t checkpoint_bytes;
	uint32_t reserved;
	uint64_t data[];
};

#endif
