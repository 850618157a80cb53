#include <assert.h>

#include "flow_internal.h"

/* Returns the text for a status code, including those of lower layers. */
const char *
fw_status_name(int code)
{
	switch (code) {
	case FW_EBADJOB:
		return "bad job";
	case FW_EBADRECORD:
		return "bad record";
	case FW_ENOMEM:
		return "out of memory";
	case FW_ESTORE:
		return "not stored";
	case FW_EUNKNOWN:
		return "unknown whether stored";
	case FW_ENOJOB:
		return "no such job";
	case FW_ESTALE:
		return "store not heard";
	case FW_EFULL:
		return "no room for another job";
	case FW_EOVERLOAD:
		return "it would complete too late";
	default:
		return cw_status_name(code);
	}
}

/* Returns the name of a job's state, as used in logs and on the wire. */
const char *
fw_flow_state_name(uint32_t state)
{
	static const char *const names[] = {
	    "queued", "running", "completed", "failed", "cancelled"};

	assert(state < sizeof(names) / sizeof(*names));
	return names[state];
}

/* Returns the name of a kind of end, as used in logs. */
const char *
fw_end_name(enum fw_end end)
{
	static const char *const names[] = {
	    "done", "failed", "stopped", "lapsed", "broken", "alone", "lost"};

	assert((size_t)end < sizeof(names) / sizeof(*names));
	return names[end];
}

/* Returns the name of the rule by which a run counts as over, as used in logs.
 */
const char *
fw_over_name(enum fw_over over)
{
	static const char *const names[] = {"listed", "not_listed", "restarted",
	    "lease_expired", "worker_gone", "not_sent"};

	assert((size_t)over < sizeof(names) / sizeof(*names));
	return names[over];
}

/* Returns the name of a worker's answer, as used in logs. */
const char *
fw_answer_name(enum fw_answer answer)
{
	static const char *const names[] = {"done", "busy", "fenced", "old",
	    "late", "room", "reborn", "rejected", "refused", "not_sent",
	    "unknown"};

	assert((size_t)answer < sizeof(names) / sizeof(*names));
	return names[answer];
}
