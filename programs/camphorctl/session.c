#include <assert.h>
#include <ctype.h>
#include <errno.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

static void append_escaped(struct cli_call *call, const char *text);

/* Prints a message for the user on standard error. */
void
ctl_message(const char *format, ...)
{
	va_list args;

	fputs("camphorctl: ", stderr);
	va_start(args, format);
	vfprintf(stderr, format, args);
	va_end(args);
	fputc('\n', stderr);
}

/* Reads a whole file; see ctl.h. */
bool
ctl_file_read(const char *path, size_t bytes_max, char **text, size_t *bytes)
{
	FILE *file = strcmp(path, "-") == 0 ? stdin : fopen(path, "rb");
	size_t capacity = 0;
	char *grown;

	*text = NULL;
	*bytes = 0;
	if (file == NULL) {
		ctl_message("%s: %s", path, strerror(errno));
		return false;
	}
	do {
		capacity = capacity == 0 ? 65536 : capacity * 2;
		grown = realloc(*text, capacity + 1);
		if (grown == NULL)
			break;
		*text = grown;
		*bytes += fread(*text + *bytes, 1, capacity - *bytes, file);
	} while (*bytes == capacity && *bytes <= bytes_max);
	if (grown == NULL || ferror(file) || *bytes > bytes_max) {
		ctl_message("%s: %s", path,
		    grown == NULL            ? "out of memory"
			: *bytes > bytes_max ? "the file is too large"
					     : "cannot be read");
		free(*text);
		*text = NULL;
	} else {
		(*text)[*bytes] = '\0';
	}
	if (file != stdin)
		fclose(file);
	return *text != NULL;
}

/* Appends text to the path and percent-encodes all but unreserved characters.
 */
static void
append_escaped(struct cli_call *call, const char *text)
{
	size_t at = strlen(call->path);

	for (; *text != '\0' && at + 4 < sizeof(call->path); text++) {
		unsigned char c = (unsigned char)*text;

		if (isalnum(c) || strchr("-._~", c) != NULL)
			call->path[at++] = *text;
		else
			at += (size_t)sprintf(call->path + at, "%%%02X", c);
	}
	call->path[at] = '\0';
}

/* Initializes a call; see ctl.h. */
void
ctl_call_init(const struct ctl_session *ctl, struct cli_call *call,
    const char *method, const char *path, ...)
{
	va_list args;

	memset(call, 0, sizeof(*call));
	call->method = method;
	call->timeout_ms = ctl->timeout_ms;
	call->is_read_only = strcmp(method, "GET") == 0;
	call->is_repeatable = call->is_read_only;
	va_start(args, path);
	vsnprintf(call->path, sizeof(call->path), path, args);
	va_end(args);
	/* Cannot fail: both were validated when they were read. */
	if (ctl->account[0] != '\0')
		cli_call_header_add(call, "X-Account", ctl->account);
	if (ctl->key[0] != '\0')
		cli_call_header_add(call, "X-Account-Key", ctl->key);
}

/* Adds a query parameter; NULL adds nothing. An empty name appends the escaped
 * value to the path itself. */
void
ctl_call_query(struct cli_call *call, const char *name, const char *value)
{
	size_t at = strlen(call->path);

	if (value == NULL)
		return;
	if (*name != '\0')
		snprintf(call->path + at, sizeof(call->path) - at,
		    "%c%s=", strchr(call->path, '?') == NULL ? '?' : '&', name);
	append_escaped(call, value);
}

/* Runs a call; see ctl.h. */
enum cli_exit
ctl_call_run(const struct ctl_session *ctl, const struct cli_call *call,
    struct cli_answer *answer)
{
	enum cli_exit code;

	cli_call_run(&ctl->transport, &ctl->servers, call, answer);
	code = cli_exit_from_answer(answer);
	if (code != CLI_EXIT_OK) {
		fputs("camphorctl: ", stderr);
		cli_answer_explain(answer, stderr);
		if (ctl->is_json)
			ctl_print_body(answer);
	}
	return code;
}

/* Prints a JSON body, followed by a newline if it has none. */
void
ctl_print_body(const struct cli_answer *answer)
{
	ctl_write_body(answer);
	if (answer->body_bytes > 0 &&
	    answer->body[answer->body_bytes - 1] != '\n')
		fputc('\n', stdout);
}

/* Writes the body unchanged to standard output. */
void
ctl_write_body(const struct cli_answer *answer)
{
	if (answer->body_bytes > 0)
		fwrite(answer->body, 1, answer->body_bytes, stdout);
}

/* Runs a call and prints its answer; see ctl.h. */
enum cli_exit
ctl_call_print(const struct ctl_session *ctl, const struct cli_call *call,
    void (*print)(const void *ctx, const json_t *answer), const void *ctx)
{
	struct cli_answer answer;
	enum cli_exit code = ctl_call_run(ctl, call, &answer);

	if (code == CLI_EXIT_OK && ctl->is_json)
		ctl_print_body(&answer);
	else if (code == CLI_EXIT_OK)
		print(ctx, answer.json);
	cli_answer_free(&answer);
	return code;
}

/* Copies the given Idempotency-Key, or generates one if it is NULL. Prints a
 * message and returns false on failure. */
bool
ctl_idempotency_key(const char *given, char idempotency_key[CW_NAME_BYTES])
{
	if (given == NULL) {
		if (cli_idempotency_key_generate(idempotency_key) == CW_OK)
			return true;
		ctl_message("%s", cw_error_last());
		return false;
	}
	if (*given == '\0' || strlen(given) >= CW_NAME_BYTES) {
		ctl_message("--key must have 1 to %d bytes", CW_NAME_BYTES - 1);
		return false;
	}
	cw_name_copy(idempotency_key, CW_NAME_BYTES, given);
	return true;
}
