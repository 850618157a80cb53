#include <log4c.h>

#include "base.h"

static void write_line(
    void *ctx, enum ev_number number, enum ev_level level, const char *line);

static const struct ev_sink log4c_sink = {write_line, NULL};

static void
write_line(
    void *ctx, enum ev_number number, enum ev_level level, const char *line)
{
	static const int priorities[] = {
	    [EV_LEVEL_ERROR] = LOG4C_PRIORITY_ERROR,
	    [EV_LEVEL_WARN] = LOG4C_PRIORITY_WARN,
	    [EV_LEVEL_INFO] = LOG4C_PRIORITY_INFO,
	    [EV_LEVEL_DEBUG] = LOG4C_PRIORITY_DEBUG,
	};

	(void)ctx;
	(void)number;
	log4c_category_log(
	    log4c_category_get("camphor"), priorities[level], "%s", line);
}

/*
 * Writes events to log4c's category "camphor" on standard error. Returns CW_EIO
 * if log4c cannot be initialised.
 */
int
ev_open_log4c(void)
{
	log4c_category_t *category;

	if (log4c_init() != 0)
		return cw_error_set(CW_EIO, "log4c cannot be initialised");
	category = log4c_category_get("camphor");
	log4c_category_set_priority(category, LOG4C_PRIORITY_INFO);
	log4c_category_set_appender(category, log4c_appender_get("stderr"));
	ev_sink_set(&log4c_sink);
	return CW_OK;
}
