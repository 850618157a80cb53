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
	GANG_ENOTASK = CW_BASE_GANG - 2, /* the job has no placed members */
	GANG_ENOTHREAD = CW_BASE_GANG - 3,
};

/* What this VM does for a gang; also in table "lease". */
enum gang_phase {
	GANG_PROBING = 1, /* asks what an earlier owner has done */
	GANG_RESERVING,
	GANG_COMMITTING,
	GANG_STARTING,
	GANG_RUNNING,
	GANG_STOPPING,
	GANG_STANDBY, /* renews for an owner that is missing */
	GANG_OVER,
};

enum gang_verb {
	GANG_NONE,
	GANG_RESERVE,
	GANG_COMMIT,
	GANG_START,
	GANG_RENEW,
	GANG_CHECKPOINT,
	GANG_STOP,
	GANG_REPORTS,
	GANG_VERB_COUNT,
};

const char *gang_status_name(int code);
const char *gang_phase_name(uint32_t phase);
const char *gang_verb_name(uint32_t verb);

/*
 * 2. The controller. It acts for the jobs that this VM owns, writes the tables
 * lease and usage, and calls workers from its own bounded pool of threads.
 */
struct gang_settings {
	int64_t lease_ms;
	int64_t renew_ms;
	int64_t retry_ms;      /* after a call or proposal without effect */
	int64_t checkpoint_ms; /* between checkpoints of a running gang */
	int64_t report_min_ms; /* between reports, of a young gang */
	int64_t report_max_ms; /* and of one that runs for long */
	int64_t pause_ms;      /* a step that is later was a pause */
	int64_t patience_ms;   /* for the answers to stop */
	uint32_t threads;
};

/* lease 120 s, renewal 40 s, retry 2 s, checkpoint 10 min, reports 0.5 s to
 * 40 s, pause 1 s, patience 4 s, 8 threads. */
extern const struct gang_settings gang_settings_default;

struct gang_runner;

int gang_runner_create(struct gang_runner **out, struct bd_board *board,
    const struct pf_tasks *tasks, const struct st_sink *sink, uint64_t self,
    const struct gang_settings *settings, const struct ctl_clock *clock);
/* For ctl_start with the runner as context. */
int64_t gang_runner_step(void *ctx, int64_t now_ms);
/* Waits for calls in progress; the controller must have been stopped. */
void gang_runner_destroy(struct gang_runner *runner);

/*
 * 3. The decision for one gang. Only calls and records leave it.
 */
struct gang_member {
	uint64_t worker;
	uint64_t rack;
	uint32_t accel_mask;
	uint32_t sequence; /* of the latest call; answers to others are late */
	uint8_t verb;      /* in progress, GANG_NONE: none */
	uint8_t reached;   /* highest of RESERVE, COMMIT, START done */
	uint8_t stopped;   /* stop was answered */
	uint8_t report;    /* enum pf_task_state last reported */
	uint8_t probed;    /* enum gang_probed, of the present round */
	uint8_t doubted;   /* a renewal was refused: done, or lapsed? */
	uint8_t saved;     /* enum gang_saved, of the present checkpoint */
	uint8_t alone;     /* no answer before: called apart from its rack */
	uint32_t failure;  /* enum bd_reason */
	uint32_t used_cores_milli;
	uint32_t used_memory_mb;
	int64_t leased_ms; /* when the call was sent that set the lease */
	int64_t called_ms; /* when the call in progress was made */
	int64_t due_ms;    /* next renewal or repetition */
	int64_t run_ms;
	int64_t checkpoint_ms;
};

enum gang_probed {
	GANG_PROBED_NOT,
	GANG_PROBED_ANSWERED,
	GANG_PROBED_FAILED,
};

enum gang_saved {
	GANG_SAVED_NOT,
	GANG_SAVED_ASKED, /* done by the worker, its progress is not yet read */
	GANG_SAVED_READ,
	GANG_SAVED_FAILED,
};

struct gang {
	uint64_t job;
	uint64_t token;
	uint32_t phase;   /* enum gang_phase */
	uint32_t outcome; /* enum rec_outcome, while stopping */
	uint32_t reason;  /* enum bd_reason, while stopping */
	bool saving;      /* a checkpoint or a standby round is in progress */
	bool preempted;   /* the checkpoint before a preemption was begun */
	bool used;        /* new usage is to be published */
	uint64_t failed_worker;
	int64_t since_ms;    /* start of the phase */
	int64_t proving_ms;  /* leases set before this are not relied on */
	int64_t propose_ms;  /* no proposal before */
	int64_t report_ms;   /* next report */
	int64_t save_ms;     /* next checkpoint */
	int64_t progress_ms; /* run time held by the last whole checkpoint */
	uint32_t member_count;
	struct gang_member members[];
};

struct gang_call {
	const struct gang *gang;
	const struct bd_job *job; /* NULL for a job that is gone */
	uint32_t member;
	uint32_t verb;
};

struct gang_out {
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
    const struct gang_out *out);

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
    struct gang_set *set, int64_t now_ms, const struct gang_out *out);
size_t gang_set_count(const struct gang_set *set);

#ifdef __cplusplus
}
#endif

#endif
