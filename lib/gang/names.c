#include "gang.h"

static const char *const phase_names[] = {
    [GANG_PHASE_PROBING] = "probing",
    [GANG_PHASE_RESERVING] = "reserving",
    [GANG_PHASE_COMMITTING] = "committing",
    [GANG_PHASE_STARTING] = "starting",
    [GANG_PHASE_RUNNING] = "running",
    [GANG_PHASE_STOPPING] = "stopping",
    [GANG_PHASE_STANDBY] = "standby",
    [GANG_PHASE_FINISHED] = "over",
};

static const char *const verb_names[GANG_VERB_COUNT] = {
    [GANG_VERB_NONE] = "none",
    [GANG_VERB_RESERVE] = "reserve",
    [GANG_VERB_COMMIT] = "commit",
    [GANG_VERB_START] = "start",
    [GANG_VERB_RENEW] = "renew",
    [GANG_VERB_CHECKPOINT] = "checkpoint",
    [GANG_VERB_STOP] = "stop",
    [GANG_VERB_REPORTS] = "reports",
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
    .crash_timeout_ms = 10000,
    .threads = 8,
    .log_age_max_ms = 5000,
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
	if (phase < GANG_PHASE_PROBING || phase > GANG_PHASE_FINISHED)
		return "none";
	return phase_names[phase];
}

const char *
gang_verb_name(uint32_t verb)
{
	return verb < GANG_VERB_COUNT ? verb_names[verb] : "none";
}
