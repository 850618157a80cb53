#include <assert.h>
#include <stdarg.h>
#include <stdio.h>

#include "config.h"

/* Returns a description of a status code; codes of other packages are passed
 * on to cw_status_name(). */
const char *
cfg_status_name(int code)
{
	switch (code) {
	case CFG_ESYNTAX:
		return "syntax error";
	case CFG_EINVALID:
		return "invalid configuration";
	case CFG_EFILE:
		return "file cannot be read";
	case CFG_EINFEASIBLE:
		return "guaranteed shapes do not fit";
	case CFG_ENOMEM:
		return "out of memory";
	default:
		return cw_status_name(code);
	}
}

/*
 * Appends one error. line and column count from 1; 0 means that the error
 * concerns the whole file. If the list is full, the error is dropped and the
 * last entry is replaced by a note that further errors are not listed.
 */
void
cfg_errors_add(struct cfg_errors *errors, uint32_t line, uint32_t column,
    const char *format, ...)
{
	struct cfg_error *error;
	va_list args;

	assert(errors != NULL);
	if (errors->count == CFG_ERRORS_MAX) {
		error = &errors->errors[CFG_ERRORS_MAX - 1];
		error->line = 0;
		snprintf(error->text, sizeof(error->text),
		    "further errors are not listed; mend these first");
		return;
	}
	error = &errors->errors[errors->count++];
	error->line = line;
	error->column = column;
	va_start(args, format);
	vsnprintf(error->text, sizeof(error->text), format, args);
	va_end(args);
}
