#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"

#define VERSION_LINE_FORMAT "# camphorctl: version %" PRId64 ","

static bool line_sets_key(const char *line, const char *key);

/* Returns whether a line sets the key, as in "key = ...". */
static bool
line_sets_key(const char *line, const char *key)
{
	size_t length = strlen(key);

	if (strncmp(line, key, length) != 0)
		return false;
	line += length;
	line += strspn(line, " \t");
	return *line == '=';
}

/*
 * Returns the kind of a file, from the first line that occurs in one kind only.
 * The text is not parsed as TOML, so that a file with a syntax error is
 * recognised too.
 */
enum cli_file_kind
cli_file_kind(const char *text)
{
	static const char *const settings_keys[] = {"http_address",
	    "peer_address", "platform_address", "peers", "http_threads",
	    "drain", "tls_certificate", "curve_public", "curve_secret",
	    "curve_peers"};
	static const char *const config_tables[] = {
	    "[fleet", "[[account", "[[service", "[account", "[service"};
	const char *line = text;
	size_t i;

	assert(text != NULL);
	/* No line of TOML begins with a brace. */
	if (text[strspn(text, " \t\r\n")] == '{')
		return CLI_FILE_OPERATOR;
	while (line != NULL && *line != '\0') {
		line += strspn(line, " \t");
		for (i = 0; i < sizeof(settings_keys) / sizeof(*settings_keys);
		     i++)
			if (line_sets_key(line, settings_keys[i]))
				return CLI_FILE_SETTINGS;
		for (i = 0; i < sizeof(config_tables) / sizeof(*config_tables);
		     i++)
			if (strncmp(line, config_tables[i],
				strlen(config_tables[i])) == 0)
				return CLI_FILE_CONFIG;
		line = strchr(line, '\n');
		line = line == NULL ? NULL : line + 1;
	}
	return CLI_FILE_UNKNOWN;
}

/* Prints the line that `show` puts before a configuration, from which
 * cli_version_line_parse() reads the version. */
void
cli_version_line_print(
    FILE *out, int64_t version, const char *author, int64_t accepted_ms)
{
	char time[CLI_TIME_BYTES];

	cli_time_format(accepted_ms, time);
	fprintf(out, VERSION_LINE_FORMAT " accepted %s, by ", version, time);
	cli_text_print_sanitized(out, author);
	fputc('\n', out);
}

/*
 * Reads the version that a file is based on from its first line, if `show`
 * printed it. Returns the text after that line. If there is no such line,
 * *version is -1 and the whole text is returned.
 */
const char *
cli_version_line_parse(const char *text, int64_t *version)
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
