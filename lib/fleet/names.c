#include "fleet.h"

/* Returns the description of a status code of this package or of base. */
const char *
fl_status_name(int code)
{
	switch (code) {
	case FL_EMALFORMED:
		return "malformed peer message";
	case FL_ETOOLARGE:
		return "too large for a peer message";
	case FL_EUNREACHABLE:
		return "peer unreachable";
	case FL_ETIMEOUT:
		return "peer did not answer in time";
	case FL_ENOTFOUND:
		return "not found at the peer";
	case FL_EEXPIRED:
		return "entries no longer retained";
	case FL_EFULL:
		return "capacity exhausted";
	case FL_ENOMEM:
		return "out of memory";
	case FL_EBUFFER:
		return "buffer too small for the message";
	default:
		return cw_status_name(code);
	}
}

/* Returns the name of a message kind, as in metrics; "unknown" for others. */
const char *
fl_msg_kind_name(uint32_t kind)
{
	static const char *const names[FL_MSG_KIND_LIMIT] = {"unknown",
	    "heartbeat", "leave", "tail_get", "tail", "snap_get", "snap",
	    "share_ask", "share", "result_get", "result"};

	return kind < FL_MSG_KIND_LIMIT ? names[kind] : names[0];
}

/* Returns 24 bits of an id. The probability that any two of 9 members collide
 * is 2e-6, and 3e-4 for 100 upstreams. A collision makes a load inaccurate or
 * delays a suspicion. */
uint32_t
fl_short_id(uint64_t id)
{
	return (uint32_t)(id >> 40);
}

/* Returns the upper half of an account's id. No shares are requested for
 * accounts that collide. */
uint32_t
fl_account_short_id(uint64_t id)
{
	return (uint32_t)(id >> 32);
}
