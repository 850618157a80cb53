#ifndef CAMPHOR_ADMIT_H
#define CAMPHOR_ADMIT_H

#include "flow.h"

#ifdef __cplusplus
extern "C" {
#endif

/* What a new job asks for. */
struct fw_need {
	uint64_t id;
	uint64_t queue;
	uint64_t pool;
	uint64_t account;
	uint32_t priority;
	int64_t run_ms; /* estimated, as are the next ones */
	int64_t target_ms;
	struct bd_room first;  /* of all tasks of its first step */
	struct bd_room widest; /* of the largest task of that step */
	uint64_t group_accels; /* of its largest group of tasks */
	struct bd_work work;
	bool lasts;      /* runs until it is cancelled */
	bool deferred;   /* due later, or several times */
	bool guaranteed; /* within its account's guarantee */
};

/* Why a job is accepted or rejected. */
enum fw_verdict_reason {
	FW_ACCEPT_NOTHING_WAITS, /* as far as the ledger tells */
	FW_ACCEPT_NO_LEDGER,     /* there is none, or it is stale */
	FW_ACCEPT_NO_TARGET,     /* no time is too late for the job */
	FW_ACCEPT_GUARANTEED,
	FW_ACCEPT_FITS,         /* beside what runs */
	FW_ACCEPT_IN_TIME,      /* it can be done within the limit */
	FW_ACCEPT_FAIR_SHARE,   /* its account uses less than its share */
	FW_ACCEPT_MAYBE_STORED, /* an attempt may have been stored */
	FW_ACCEPT_UNCONFIRMED,  /* no recent copy of the jobs */
	FW_REJECT_ACCELS,       /* it would be too late for want of these */
	FW_REJECT_CORES,
	FW_VERDICT_COUNT,
};

struct fw_verdict {
	enum fw_verdict_reason reason;
	int64_t expected_ms; /* time to its completion, 0: not computed */
	int64_t limit_ms;    /* longest such time that is accepted */
	uint32_t retry_after_s;
};

const char *fw_verdict_name(enum fw_verdict_reason reason);
bool fw_verdict_rejects(const struct fw_verdict *verdict);

void fw_need_of(const struct bd_flow *flow, struct fw_need *need);
bool fw_ledger_stale(const struct bd_ledger *ledger, int64_t wall_ms);
void fw_admit(const struct bd_ledger *ledger, const struct fw_need *need,
    int64_t wall_ms, struct fw_verdict *verdict);

#ifdef __cplusplus
}
#endif

#endif
