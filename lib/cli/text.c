#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"

#define BASE_FORMAT "# camphorctl: version %" PRId64 ","

static bool starts_with_key(const char *line, const char *key);

/* Tells whether a line sets the key, as in "key = ...". */
static bool
starts_with_key(const char *line, const char *key)
{
	size_t length = strlen(key);

	if (strncmp(line, key, length) != 0)
		return false;
	line += length;
	line += strspn(line, " \t");
	return *line == '=';
}

/*
 * Recognises a text by the first line that only one kind can have. Works on
 * lines, so that a text with a syntax error is recognised too.
 */
enum cli_text_kind
cli_text_kind(const char *text)
{
	static const char *const settings[] = {"http_address", "peer_address",
	    "platform_address", "peers", "http_threads", "drain",
	    "tls_certificate", "curve_public", "curve_secret", "curve_peers"};
	static const char *const operators[] = {
	    "[fleet", "[[account", "[[service", "[account", "[service"};
	const char *line = text;
	size_t i;

	assert(text != NULL);
	while (line != NULL && *line != '\0') {
		line += strspn(line, " \t");
		for (i = 0; i < sizeof(settings) / sizeof(*settings); i++)
			if (starts_with_key(line, settings[i]))
				return CLI_TEXT_SETTINGS;
		for (i = 0; i < sizeof(operators) / sizeof(*operators); i++)
			if (strncmp(line, operators[i], strlen(operators[i])) ==
			    0)
				return CLI_TEXT_OPERATORS;
		line = strchr(line, '\n');
		line = line == NULL ? NULL : line + 1;
	}
	return CLI_TEXT_UNKNOWN;
}

/* Prints the line that `show` puts before a text, for cli_base_parse(). */
void
cli_base_print(
    FILE *out, int64_t version, const char *author, int64_t accepted_ms)
{
	char time[CLI_TIME_BYTES];

	cli_time_format(accepted_ms, time);
	fprintf(out, BASE_FORMAT " accepted %s, by ", version, time);
	cli_text_print(out, author);
	fputc('\n', out);
}

/*
 * Reads the version that a text was made from, out of the first line that
 * `show` printed. Returns the text after that line; without such a line,
 * version is -1 and the text is returned as it is.
 */
const char *
cli_base_parse(const char *text, int64_t *version)
{
	const char *end = strchr(text, '\n');
	int64_t found = -1;

	*version = -1;
	if (end == NULL ||
	    sscanf(text, "# camphorctl: version %" SCNd64, &found) != 1 ||
	    found < 0)
		return text;
	*version = found;
	return end + 1;
}
