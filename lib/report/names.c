#include <time.h>

#include "report_internal.h"

/* Returns a description of a status code of this package, "unknown status" for
 * any other code. */
const char *
rp_status_name(int code)
{
	switch (code) {
	case CW_OK:
		return "ok";
	case RP_ENOMEM:
		return "out of memory";
	case RP_EUNAVAILABLE:
		return "log unreachable";
	case RP_EINVALID:
		return "period is empty";
	case RP_EMALFORMED:
		return "snapshot cannot be read";
	default:
		return "unknown status";
	}
}

/* Returns the name of an account in the report, "-" if there is none. */
const char *
rp_account_name(const struct rp_report *report, uint64_t id)
{
	size_t i;

	for (i = 0; i < report->account_count; i++)
		if (report->accounts[i].id == id)
			return report->accounts[i].name;
	return "-";
}

/* Formats a time as in 2027-01-31T12:00:00Z. */
void
rp_time_format(int64_t time_ms, char text[32])
{
	time_t seconds = (time_t)(time_ms / 1000);
	struct tm parts;

	if (gmtime_r(&seconds, &parts) == NULL ||
	    strftime(text, 32, "%Y-%m-%dT%H:%M:%SZ", &parts) == 0)
		snprintf(text, 32, "-");
}
