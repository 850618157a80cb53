#include <assert.h>
#include <stdarg.h>
#include <stdio.h>

#include "base.h"

static _Thread_local char last_error[CW_ERROR_BYTES];

/* Returns whether a status code of any package is an error. */
bool
cw_is_error(int code)
{
	return code < 0;
}

/* Returns the name of a status code of this package, "unknown status" for any
 * other code. */
const char *
cw_status_name(int code)
{
	switch (code) {
	case CW_OK:
		return "ok";
	case CW_ENOMEM:
		return "out of memory";
	case CW_EINVAL:
		return "invalid argument";
	case CW_ERANGE:
		return "out of range";
	case CW_EIO:
		return "input or output error";
	default:
		return "unknown status";
	}
}

/*
 * Stores an error message for the calling thread and returns code, so that a
 * failing function can return the result. The message is truncated to
 * CW_ERROR_BYTES with its terminator.
 */
int
cw_error_set(int code, const char *format, ...)
{
	va_list args;

	assert(format != NULL);
	va_start(args, format);
	vsnprintf(last_error, sizeof(last_error), format, args);
	va_end(args);
	return code;
}

/* Returns the calling thread's last error message, "" if there was none. */
const char *
cw_error_last(void)
{
	return last_error;
}
