#include "state.h"

/* Returns the description of a status code of this package or of base. */
const char *
st_status_name(int code)
{
	switch (code) {
	case ST_EMALFORMED:
		return "malformed record";
	case ST_ESTALE:
		return "stale epoch";
	case ST_EREPEATED:
		return "applied before";
	case ST_EUNKNOWNKIND:
		return "unknown kind of record";
	case ST_ECONFLICT:
		return "conflict";
	case ST_EREJECTED:
		return "rejected";
	case ST_ENOTREADY:
		return "not ready";
	case ST_EUNAVAILABLE:
		return "log unavailable, not appended";
	case ST_EUNKNOWN:
		return "log answer lost, perhaps appended";
	case ST_ENOMEM:
		return "out of memory";
	case ST_EFULL:
		return "table is full";
	case ST_ETOOLARGE:
		return "too large";
	default:
		return cw_status_name(code);
	}
}

/* Returns the name of an enum rec_kind, as in docs/design.md, or "UNKNOWN". */
const char *
rec_kind_name(uint32_t kind)
{
	static const char *const names[] = {
	    [REC_CONFIG] = "CONFIG",
	    [REC_WORKER] = "WORKER",
	    [REC_JOB_SUBMIT] = "JOB_SUBMIT",
	    [REC_JOB_CANCEL] = "JOB_CANCEL",
	    [REC_JOB_OWNER] = "JOB_OWNER",
	    [REC_PLACE] = "PLACE",
	    [REC_GANG_STARTED] = "GANG_STARTED",
	    [REC_GANG_ENDED] = "GANG_ENDED",
	    [REC_PREEMPT] = "PREEMPT",
	    [REC_CHECKPOINT] = "CHECKPOINT",
	    [REC_PLAN] = "PLAN",
	    [REC_SHORT] = "SHORT",
	    [REC_DUTY] = "DUTY",
	    [REC_QUARANTINE] = "QUARANTINE",
	    [REC_REQ_INTENT] = "REQ_INTENT",
	    [REC_REQ_OUTCOME] = "REQ_OUTCOME",
	    [REC_REQ_EXPIRE] = "REQ_EXPIRE",
	    [REC_JOB_EXPIRE] = "JOB_EXPIRE",
	    [REC_JOB_CRASH] = "JOB_CRASH",
	};

	if (kind == 0 || kind >= sizeof(names) / sizeof(*names))
		return "UNKNOWN";
	return names[kind];
}
