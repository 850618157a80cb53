#include "platform.h"

/* Returns the name of a status code of this package or of lib/base. */
const char *
pf_status_name(int code)
{
	switch (code) {
	case PF_EUNREACHABLE:
		return "unreachable";
	case PF_EUNKNOWN:
		return "effect unknown";
	case PF_EREFUSED:
		return "refused";
	case PF_EEXPIRED:
		return "expired";
	case PF_EMALFORMED:
		return "malformed";
	case PF_ETOOLARGE:
		return "too large";
	default:
		return cw_status_name(code);
	}
}

/* Returns the name of a kind of traffic, as used in metrics. */
const char *
pf_traffic_name(uint32_t kind)
{
	static const char *const names[PF_TRAFFIC_KINDS] = {
	    [PF_TRAFFIC_LOG] = "log",
	    [PF_TRAFFIC_VMS] = "vms",
	    [PF_TRAFFIC_TASKS] = "tasks",
	};

	return kind < PF_TRAFFIC_KINDS ? names[kind] : "unknown";
}
