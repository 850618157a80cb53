#include <assert.h>
#include <stdarg.h>
#include <stdio.h>

#include "front.h"

/* Returns the name of a status code of this package. */
const char *
fr_status_name(int code)
{
	switch (code) {
	case CW_OK:
		return "ok";
	case FR_ESYNTAX:
		return "request cannot be read";
	case FR_EUNAUTHENTICATED:
		return "no valid key";
	case FR_EFORBIDDEN:
		return "not allowed";
	case FR_ENOTFOUND:
		return "not found";
	case FR_ECONFLICT:
		return "conflict";
	case FR_EINVALID:
		return "invalid value";
	case FR_EUNAVAILABLE:
		return "not available";
	case FR_EUNKNOWN:
		return "effect unknown";
	case FR_ENOMEM:
		return "out of memory";
	case FR_EINTERNAL:
		return "internal fault";
	case FR_ETOOLARGE:
		return "too large";
	default:
		return "unknown status";
	}
}

/*
 * Fills in an error and returns its code. field is "" or NULL if the error does
 * not concern a field. Transient errors get a retry interval of 1 s.
 */
int
fr_error_set(struct fr_error *error, int code, const char *field,
    const char *format, ...)
{
	va_list args;

	assert(error != NULL && format != NULL);
	error->code = code;
	error->version = 0;
	error->retry_after_ms =
	    code == FR_EUNAVAILABLE || code == FR_ENOMEM ? 1000 : 0;
	snprintf(error->field, sizeof(error->field), "%s",
	    field == NULL ? "" : field);
	va_start(args, format);
	vsnprintf(error->text, sizeof(error->text), format, args);
	va_end(args);
	return code;
}
