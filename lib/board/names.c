#include "board.h"

/* Returns the name of an enum bd_reason, as shown to clients and operators. */
const char *
bd_reason_name(uint32_t reason)
{
	static const char *const names[BD_REASON_COUNT] = {
	    [BD_REASON_NONE] = "none",
	    [BD_REASON_NO_CAPACITY] = "no_capacity",
	    [BD_REASON_QUOTA] = "quota",
	    [BD_REASON_RESERVED_FOR_GANG] = "reserved_for_gang",
	    [BD_REASON_RECLAIMED] = "reclaimed",
	    [BD_REASON_DEFRAGMENTED] = "defragmented",
	    [BD_REASON_OVERRUN] = "overrun",
	    [BD_REASON_RESERVE_REFUSED] = "reserve_refused",
	    [BD_REASON_MEMBER_FAILED] = "member_failed",
	    [BD_REASON_LEASE_EXPIRED] = "lease_lapsed",
	    [BD_REASON_WORKER_LOST] = "worker_lost",
	    [BD_REASON_JOB_FAILED_REPEATEDLY] = "job_failed_repeatedly",
	    [BD_REASON_FITS_NO_WORKER] = "fits_no_worker",
	    [BD_REASON_CANCELLED] = "cancelled",
	};

	return reason < BD_REASON_COUNT ? names[reason] : "unknown";
}

/* Returns the name of an enum bd_job_state. */
const char *
bd_job_state_name(uint32_t state)
{
	static const char *const names[] = {
	    [BD_JOB_WAITING] = "waiting",
	    [BD_JOB_PLACED] = "placed",
	    [BD_JOB_RUNNING] = "running",
	    [BD_JOB_PREEMPTING] = "preempting",
	    [BD_JOB_DONE] = "done",
	    [BD_JOB_FAILED] = "failed",
	    [BD_JOB_CANCELLED] = "cancelled",
	};

	return state <= BD_JOB_CANCELLED ? names[state] : "unknown";
}

/* Returns the name of an enum bd_class. */
const char *
bd_class_name(uint32_t class_number)
{
	static const char *const names[BD_CLASS_COUNT] = {
	    "urgent", "normal", "batch"};

	return class_number < BD_CLASS_COUNT ? names[class_number] : "unknown";
}
