#ifndef CAMPHOR_GANG_H
#define CAMPHOR_GANG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "board.h"
#include "platform.h"
#include "state.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * 1. Status codes and names
 */
enum gang_status {
	GANG_ENOMEM = CW_BASE_GANG - 1,
	GANG_ENOTASK = CW_BASE_GANG - 2,   /* row of a member missing or old */
	GANG_ENOTHREAD = CW_BASE_GANG - 3, /* a thread cannot be started */
};

/* What this VM does for a gang; also in table "lease". */
enum gang_phase {
	GANG_PHASE_PROBING =
	    1, /* asks the workers what an earlier owner has done */
	GANG_PHASE_RESERVING,
	GANG_PHASE_COMMITTING,
	GANG_PHASE_STARTING,
	GANG_PHASE_RUNNING,
	GANG_PHASE_STOPPING,
	GANG_PHASE_STANDBY, /* renews leases in place of an unavailable owner */
	GANG_PHASE_FINISHED,
};

enum gang_verb {
	GANG_VERB_NONE,
	GANG_VERB_RESERVE,
	GANG_VERB_COMMIT,
	GANG_VERB_START,
	GANG_VERB_RENEW,
	GANG_VERB_CHECKPOINT,
	GANG_VERB_STOP,
	GANG_VERB_REPORTS,
	GANG_VERB_COUNT,
};

const char *gang_status_name(int code);
const char *gang_phase_name(uint32_t phase);
const char *gang_verb_name(uint32_t verb);

/*
 * 2. The controller. It acts for the jobs that this VM owns, writes the tables
 * lease and usage, and calls workers from its own bounded pool of threads.
 */
struct gang_log_status {
	int64_t age_ms; /* since the last read that reached its end was sent */
	uint64_t reads; /* that reached its end */
};

struct gang_settings {
	int64_t lease_ms;
	int64_t renew_interval_ms;
	int64_t retry_ms; /* between repetitions of a call or proposal */
	int64_t checkpoint_interval_ms;
	/* The interval between reports grows with the run time of a gang. */
	int64_t report_interval_min_ms;
	int64_t report_interval_max_ms;
	/* A step that is late by this much counts as a pause of this VM. */
	int64_t pause_threshold_ms;
	/* After this time the end of an attempt is recorded although some
	 * workers have not answered the call to stop. */
	int64_t stop_timeout_ms;
	/* The same, where a worker may have crashed: it is to be known before
	 * the next start. */
	int64_t crash_timeout_ms;
	uint32_t threads;
	/* No member is reserved, committed or started while this VM's copy of
	 * the log is older: another owner may have ended the attempt. */
	int64_t log_age_max_ms;
	/* NULL: the copy is always recent. */
	void (*log_status)(void *ctx, struct gang_log_status *status);
	void *log_ctx;
};

/* lease 120 s, renewal 40 s, retry 2 s, checkpoint 10 min, reports 0.5 s to
 * 40 s, pause 1 s, stop timeout 4 s, crash timeout 10 s, 8 threads, age of the
 * log 5 s. */
extern const struct gang_settings gang_settings_default;

struct gang_controller;

int gang_controller_create(struct gang_controller **out, struct bd_board *board,
    const struct pf_tasks *tasks, const struct st_sink *sink, uint64_t self,
    const struct gang_settings *settings, const struct ctl_clock *clock);
/* Step function for ctl_start, with the controller as context. */
int64_t gang_controller_step(void *ctx, int64_t now_ms);
/* Waits for calls in progress. Must be called after ctl_stop. */
void gang_controller_destroy(struct gang_controller *controller);

/*
 * 3. The state machine of one gang. Its only effects are calls and proposed
 * records.
 */
struct gang_member {
	uint64_t worker;
	uint64_t rack;
	uint32_t accel_mask;
	/* Number of the latest call. Answers to earlier calls are ignored. */
	uint32_t sequence;
	uint8_t verb;           /* of the call in progress, or GANG_VERB_NONE */
	uint8_t completed_verb; /* latest of reserve, commit, start; 0: none */
	uint8_t stopped;        /* stop was answered, or the task is done */
	uint8_t reported_state; /* enum pf_task_state of the last report */
	uint8_t probe_state;    /* enum gang_probe_state, of this round */
	/* A renewal was refused. A report must tell whether the task is done
	 * or its lease has expired. */
	uint8_t renew_refused;
	uint8_t checkpoint_state; /* enum gang_checkpoint_state */
	/* The latest call was not answered. The next one is not batched with
	 * those to the rest of the rack. */
	uint8_t unresponsive;
	uint8_t crash_check; /* enum gang_crash_check */
	uint32_t failure;    /* enum bd_reason */
	uint32_t used_cores_milli;
	uint32_t used_memory_mb;
	int64_t lease_set_ms; /* when the call that set the lease was sent */
	int64_t called_ms;    /* when the call in progress was made */
	int64_t due_ms;       /* next renewal or repeated stop */
	int64_t run_ms;
	int64_t checkpoint_ms; /* run time that its last checkpoint covers */
	int64_t stopped_ms;    /* when stop was answered */
	int64_t lost_ms;       /* when its worker was seen to be lost */
};

/* Whether the worker has crashed under a started member that has failed without
 * a final state. It has if it answers the call to stop and then does not report
 * the member, or if it is lost; see gang_crash_record. */
enum gang_crash_check {
	GANG_CRASH_NO,
	GANG_CRASH_ASK,     /* a report is due */
	GANG_CRASH_UNKNOWN, /* no report: stop the member, then ask again */
	GANG_CRASH_YES,
};

enum gang_probe_state {
	GANG_PROBE_PENDING,
	GANG_PROBE_ANSWERED,
	GANG_PROBE_FAILED,
};

enum gang_checkpoint_state {
	GANG_CHECKPOINT_PENDING,
	GANG_CHECKPOINT_TAKEN, /* by the worker; its progress is not yet read */
	GANG_CHECKPOINT_CONFIRMED,
	GANG_CHECKPOINT_FAILED,
};

struct gang {
	uint64_t job;
	uint64_t token;
	uint32_t attempt;       /* number of the job's attempt */
	uint32_t phase;         /* enum gang_phase */
	uint32_t stopped_phase; /* enum gang_phase, before stopping */
	uint32_t outcome;       /* enum rec_outcome, while stopping */
	uint32_t reason;        /* enum bd_reason, while stopping */
	/* A checkpoint, or a round of standby reports, is in progress. */
	bool round_active;
	bool was_started; /* an earlier owner has started members */
	/* An earlier owner, or this one before a pause, may have started
	 * members, and no report tells. */
	bool start_unknown;
	bool preempt_checkpoint_begun;
	bool crash_logged;
	bool suspect_checked;   /* the first checkpoint of a suspect is set */
	bool usage_changed;     /* usage is to be written to its table */
	uint64_t failed_worker; /* 0: none */
	uint64_t crashed_worker;
	int64_t phase_since_ms;
	int64_t lease_valid_from_ms; /* leases set before are not relied on */
	uint64_t log_reads_min;      /* reads of the log before a start */
	int64_t next_proposal_ms;
	int64_t next_crash_ms; /* next proposal of JOB_CRASH */
	int64_t next_report_ms;
	int64_t next_checkpoint_ms;
	/* Run time covered by the last checkpoint that all members made. */
	int64_t progress_ms;
	uint32_t member_count;
	struct gang_member members[];
};

/* One call to one member. */
struct gang_call {
	const struct gang *gang;
	const struct bd_job *job; /* NULL if the job no longer exists */
	uint32_t member;
	uint32_t verb;
};

/* Receives the calls and the records of a decision. */
struct gang_output {
	void (*call)(void *ctx, const struct gang_call *call);
	void *ctx;
	struct st_sink sink;
};

/* The answer to one call. */
struct gang_answer {
	uint64_t job;
	uint64_t token;
	uint32_t member;
	uint32_t verb;
	uint32_t sequence;
	int status; /* enum pf_status */
	int64_t sent_ms;
	bool has_report;
	struct pf_task_report report;
};

int gang_open(struct gang **out, const struct bd_board *board,
    const struct bd_job *job, uint64_t self, int64_t now_ms);
void gang_answer_apply(struct gang *gang, const struct gang_answer *answer,
    const struct gang_settings *settings, int64_t now_ms);
int64_t gang_decide(const struct bd_board *board, struct gang *gang,
    const struct gang_settings *settings, uint64_t self, int64_t now_ms,
    const struct gang_output *out);

/*
 * 4. All gangs of this VM, without threads.
 */
struct gang_set;

int gang_set_create(struct gang_set **out, struct bd_board *board,
    uint64_t self, const struct gang_settings *settings);
void gang_set_destroy(struct gang_set *set);
void gang_set_answer(
    struct gang_set *set, const struct gang_answer *answer, int64_t now_ms);
int64_t gang_set_step(
    struct gang_set *set, int64_t now_ms, const struct gang_output *out);
size_t gang_set_count(const struct gang_set *set);

#ifdef __cplusplus
}
#endif

#endif
