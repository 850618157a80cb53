#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "cli.h"

/* Formats a time, in milliseconds since 1970, as 2027-01-31T08:00:00Z; 0 and
 * negative times give "-". */
void
cli_time_format(int64_t ms, char text[CLI_TIME_BYTES])
{
	time_t seconds = ms / 1000;
	struct tm parts;

	if (ms <= 0 || gmtime_r(&seconds, &parts) == NULL ||
	    strftime(text, CLI_TIME_BYTES, "%Y-%m-%dT%H:%M:%SZ", &parts) == 0)
		memcpy(text, "-", 2);
}

/*
 * Parses a time: "now", "-24h" (s, m, h or d before now), 2027-01-31,
 * 2027-01-31T08:00[:00][Z] (always UTC), or milliseconds since 1970. Returns
 * CW_EINVAL if the text is none of these.
 */
int
cli_time_parse(const char *text, int64_t now_ms, int64_t *ms)
{
	static const char *const formats[] = {
	    "%Y-%m-%d", "%Y-%m-%dT%H:%M", "%Y-%m-%dT%H:%M:%S"};
	static const char units[] = "smhd";
	static const int64_t unit_ms[] = {1000, 60000, 3600000, 86400000};
	const char *unit;
	char *end;
	size_t i;
	int64_t number;

	assert(text != NULL && ms != NULL);
	if (strcmp(text, "now") == 0) {
		*ms = now_ms;
		return CW_OK;
	}
	number = strtoll(text, &end, 10);
	unit = *end == '\0' ? NULL : strchr(units, *end);
	if (*text == '-' && end > text + 1 && unit != NULL && end[1] == '\0' &&
	    number > -100000) {
		*ms = now_ms + number * unit_ms[unit - units];
		return CW_OK;
	}
	if (*text != '-' && end > text && *end == '\0') {
		*ms = number;
		return CW_OK;
	}
	for (i = 0; i < sizeof(formats) / sizeof(*formats); i++) {
		struct tm parts = {0};
		const char *rest = strptime(text, formats[i], &parts);

		if (rest != NULL && (*rest == '\0' || strcmp(rest, "Z") == 0)) {
			*ms = (int64_t)timegm(&parts) * 1000;
			return CW_OK;
		}
	}
	return cw_error_set(CW_EINVAL,
	    "\"%.60s\" is not a time; write 2027-01-31, 2027-01-31T08:00, "
	    "-24h or now (UTC)",
	    text);
}
