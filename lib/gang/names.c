#include "gang.h"

static const char *const phase_names[] = {
    [GANG_PROBING] = "probing",
    [GANG_RESERVING] = "reserving",
    [GANG_COMMITTING] = "committing",
    [GANG_STARTING] = "starting",
    [GANG_RUNNING] = "running",
    [GANG_STOPPING] = "stopping",
    [GANG_STANDBY] = "standby",
    [GANG_FINISHED] = "over",
};

static const char *const verb_names[GANG_VERB_COUNT] = {
    [GANG_VERB_NONE] = "none",
    [GANG_RESERVE] = "reserve",
    [GANG_COMMIT] = "commit",
    [GANG_START] = "start",
    [GANG_RENEW] = "renew",
    [GANG_CHECKPOINT] = "checkpoint",
    [GANG_STOP] = "stop",
    [GANG_REPORTS] = "reports",
};

const struct gang_settings gang_settings_default = {
    .lease_ms = 120000,
    .renew_interval_ms = 40000,
    .retry_ms = 2000,
    .checkpoint_interval_ms = 600000,
    .report_interval_min_ms = 500,
    .report_interval_max_ms = 40000,
    .pause_threshold_ms = 1000,
    .stop_timeout_ms = 4000,
    .threads = 8,
};

/* Returns the text of a status code of this module or of lib/base. */
const char *
gang_status_name(int code)
{
	switch (code) {
	case GANG_ENOMEM:
		return "out of memory";
	case GANG_ENOTASK:
		return "row of a gang member is missing";
	case GANG_ENOTHREAD:
		return "cannot start thread";
	default:
		return cw_status_name(code);
	}
}

const char *
gang_phase_name(uint32_t phase)
{
	if (phase < GANG_PROBING || phase > GANG_FINISHED)
		return "none";
	return phase_names[phase];
}

const char *
gang_verb_name(uint32_t verb)
{
	return verb < GANG_VERB_COUNT ? verb_names[verb] : "none";
}
