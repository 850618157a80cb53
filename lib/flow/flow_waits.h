#ifndef CAMPHOR_FLOW_WAITS_H
#define CAMPHOR_FLOW_WAITS_H

/* Included by flow_internal.h only. */

#ifdef __cplusplus
extern "C" {
#endif

/*
 * 4. What the log tells of tasks that wait. No decision depends on it.
 */

/* Why a group that is ready is not placed. Lines are written in this order:
 * rules that hold a few groups back come before want of capacity. */
enum fw_wait {
	FW_WAIT_UNKNOWN,        /* none of the rules below */
	FW_WAIT_LATE_START,     /* an earlier start may still arrive */
	FW_WAIT_BOUND,          /* bound to a worker by such a start */
	FW_WAIT_LOSS_UNDECIDED, /* whether its lost run crashed its worker */
	FW_WAIT_CRASH_PAUSE,    /* its lasting task pauses after crashes */
	FW_WAIT_RUN_LISTED,     /* a worker still lists a run of it */
	FW_WAIT_GANG_ENDS,      /* members of the gang's last run have not ended
				 */
	FW_WAIT_RESERVATION,    /* capacity is being freed for it */
	FW_WAIT_NO_WORKER,      /* it fits on no worker, not even an idle one */
	FW_WAIT_WORKERS_SILENT, /* only on workers that get no runs now */
	FW_WAIT_ZONE,           /* only in zones that are evacuated */
	FW_WAIT_ZONES_OLD,      /* evacuations may be unknown */
	FW_WAIT_LATE_ROOM,      /* only in room kept for late starts */
	FW_WAIT_KEPT,           /* only in room kept for other groups */
	FW_WAIT_TRIAL,          /* trials of suspects refuse the workers */
	FW_WAIT_RESERVED,       /* only on workers reserved for priority 0 */
	FW_WAIT_WORKER_LIMIT,   /* the step's tasks on a worker are limited */
	FW_WAIT_RACK,           /* it fits, but not on the rack that it needs */
	FW_WAIT_SCAN_LIMIT,     /* decisions ended before its turn */
	FW_WAIT_URGENT_BACKLOG, /* what is free is left for priority 0 */
	FW_WAIT_NO_ROOM,        /* too little is free */
	FW_WAIT_UNDECIDED,      /* the placer made no decisions */
	FW_WAIT_COUNT,
};

struct fw_wait_cause {
	enum fw_wait reason;
	uint32_t run;    /* that holds the group back, 0: none */
	uint32_t worker; /* handle of the worker's state, or FW_NONE */
};

/* The wait of a group. Times are monotonic. */
struct fw_wait_entry {
	uint64_t flow;
	uint32_t first; /* index of its first task */
	uint32_t next;  /* next in the bucket, or FW_NONE */
	uint32_t round; /* of the last decision that has seen it */
	bool explained; /* the cause is known */
	bool over;      /* is kept until that is logged */
	bool logged;    /* or, once it is over: its end is to be logged */
	int64_t since_ms;
	int64_t until_ms; /* once it is over */
	int64_t part_ms;  /* since when the reason holds */
	int64_t look_ms;  /* time of the next look for the cause */
	int64_t logged_ms;
	int64_t longest_ms; /* longest part so far, and its reason */
	enum fw_wait longest;
	enum fw_wait logged_reason;
	const char *outcome; /* once it is over */
	uint64_t host;       /* it was placed there, 0: it was not */
	struct fw_wait_cause cause;
};

/* A wait is logged once it is this long: tasks that are ready have to be
 * started within 3 s. */
#define FW_WAIT_LOGGED_MS 1000

/* Entries of the table; further groups that wait are only counted. */
#define FW_WAITS_MAX 16384

struct fw_waits {
	struct fw_wait_entry *entries;
	uint32_t count;
	uint32_t capacity;
	uint32_t *buckets;
	uint32_t round;
	uint32_t untracked; /* groups without an entry */
	uint64_t looked;    /* workers looked at in this decision */
	bool cut;           /* not all causes could be looked for in it */
	uint32_t first_job; /* index in the view: the next one begins there */
	int64_t noted_ms;   /* time of the last decision, 0: none */
	int64_t flushed_ms;
};

struct fw_view;
struct fw_group;
struct fw_tables;
struct fw_reservation;

const char *fw_wait_name(enum fw_wait reason);
enum fw_wait fw_wait_for_room(
    struct fw_view *view, const struct fw_group *group);
bool fw_wait_find_rule(const struct fw_view *view, const struct fw_group *group,
    const struct fw_tables *tables, const struct fw_reservation *reservations,
    struct fw_wait_cause *cause);
void fw_waits_note(struct fw_waits *waits, struct fw_view *view,
    const struct fw_tables *tables, const struct fw_reservation *reservations,
    uint64_t term);
void fw_waits_clear(struct fw_waits *waits);
void fw_waits_log_waiting(struct fw_waits *waits,
    const struct fw_tables *tables, uint64_t term, int64_t now_ms);
void fw_waits_log_over(
    struct fw_waits *waits, const struct fw_tables *tables, uint64_t term);

#ifdef __cplusplus
}
#endif

#endif
