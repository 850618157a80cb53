#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"
#include "ctl_config.h"

/* A configuration file. */
struct config_file {
	const char *path;
	char *contents;
	const char *text; /* contents after the version line of `show` */
	size_t bytes;     /* of text */
	int64_t base;     /* from the version line, -1: none */
};

static bool read_config_file(const struct ctl_session *ctl,
    struct config_file *config_file, enum cli_exit *code);
static void print_active_config(FILE *out, const char *heading,
    const struct ctl_active_config *active_config);
static enum cli_exit find_base(const struct ctl_session *ctl,
    const struct config_file *config_file, int64_t *base);
static enum cli_exit resolve_apply(const struct ctl_session *ctl,
    const struct config_file *config_file, int64_t base,
    const struct cli_answer *answer, enum cli_exit code);
static enum cli_exit run_apply(const void *ctx, struct ctl_session *ctl);
static enum cli_exit run_diff(const void *ctx, struct ctl_session *ctl);
static void print_history(const void *ctx, const json_t *answer);
static enum cli_exit run_history(const void *ctx, struct ctl_session *ctl);
static enum cli_exit run_show(const void *ctx, struct ctl_session *ctl);

/* Reads the file of apply or diff. The caller frees config_file->contents. On
 * failure prints a message, sets *code and returns false. */
static bool
read_config_file(const struct ctl_session *ctl, struct config_file *config_file,
    enum cli_exit *code)
{
	memset(config_file, 0, sizeof(*config_file));
	config_file->path = ctl_args_text(ctl->args, "file");
	*code = CLI_EXIT_USAGE;
	if (!ctl_file_read(config_file->path, CTL_CONFIG_BYTES_MAX + 256,
		&config_file->contents, &config_file->bytes))
		return false;
	if (strlen(config_file->contents) != config_file->bytes) {
		fprintf(stderr, "%s:1:1: the file has a NUL byte\n",
		    config_file->path);
		*code = CLI_EXIT_REFUSED;
		free(config_file->contents);
		return false;
	}
	config_file->text =
	    cli_version_line_parse(config_file->contents, &config_file->base);
	config_file->bytes -=
	    (size_t)(config_file->text - config_file->contents);
	return true;
}

static void
print_active_config(FILE *out, const char *heading,
    const struct ctl_active_config *active_config)
{
	char time[CLI_TIME_BYTES];

	cli_time_format(active_config->accepted_ms, time);
	fprintf(out, "%s %" PRId64 ", accepted %s, by ", heading,
	    active_config->version, time);
	cli_text_print_sanitized(out, active_config->author);
	fputc('\n', out);
}

/*
 * Determines the version that the file is based on: --base, else the version
 * line that `show` added, else the active version, which is printed together
 * with the number of lines that would change.
 */
static enum cli_exit
find_base(const struct ctl_session *ctl, const struct config_file *config_file,
    int64_t *base)
{
	struct cli_diff diff;
	struct ctl_active_config active_config;
	enum cli_exit code;

	*base = config_file->base;
	if (!ctl_args_number(ctl->args, "base", 0, INT64_MAX, base))
		return CLI_EXIT_USAGE;
	if (*base >= 0)
		return CLI_EXIT_OK;
	code = ctl_active_config(ctl, &active_config);
	if (code == CLI_EXIT_UNAUTHORISED) {
		/* Without a configuration no key is valid; if there is one,
		 * base 0 is refused. */
		ctl_message(
		    "cannot read the configuration; trying as the first one "
		    "(base 0)");
		*base = 0;
		code = CLI_EXIT_OK;
	} else if (code == CLI_EXIT_OK) {
		*base = active_config.version;
		print_active_config(
		    stderr, "base is the active version", &active_config);
		if (cli_diff_print(active_config.text, config_file->text, NULL,
			&diff) == CW_OK)
			fprintf(stderr, "%zu lines added, %zu removed\n",
			    diff.added, diff.removed);
	}
	cli_answer_free(&active_config.answer);
	return code;
}

/*
 * Resolves an apply that failed with a conflict or an unknown outcome. If the
 * active configuration is the applied one, the answer was lost and the apply
 * has succeeded; else prints the active version.
 */
static enum cli_exit
resolve_apply(const struct ctl_session *ctl,
    const struct config_file *config_file, int64_t base,
    const struct cli_answer *answer, enum cli_exit code)
{
	struct ctl_active_config active_config;
	bool is_applied;

	if (code != CLI_EXIT_CONFLICT && code != CLI_EXIT_UNKNOWN)
		return code;
	if (ctl_active_config(ctl, &active_config) != CLI_EXIT_OK) {
		cli_answer_free(&active_config.answer);
		return code;
	}
	is_applied = answer->maybe_ran && active_config.version == base + 1 &&
	    strcmp(active_config.text, config_file->text) == 0;
	if (is_applied) {
		printf("version %" PRId64
		       " is accepted (its answer was lost)\n",
		    active_config.version);
		code = CLI_EXIT_OK;
	} else if (code == CLI_EXIT_CONFLICT) {
		print_active_config(
		    stderr, "conflict with version", &active_config);
		fprintf(stderr,
		    "Compare with \"camphorctl diff %s\", merge, and apply "
		    "with --base %" PRId64 ".\n",
		    config_file->path, active_config.version);
	} else {
		print_active_config(
		    stderr, "the active version is", &active_config);
	}
	cli_answer_free(&active_config.answer);
	return code;
}

/* camphorctl apply FILE [--base N] [--check] */
static enum cli_exit
run_apply(const void *ctx, struct ctl_session *ctl)
{
	bool is_check = ctl_args_flag(ctl->args, "check");
	struct config_file config_file;
	struct cli_call call;
	struct cli_answer answer = {0};
	enum cli_exit code;
	int64_t line_offset;
	int64_t base = 0;

	(void)ctx;
	if (!read_config_file(ctl, &config_file, &code))
		return code;
	line_offset = config_file.text != config_file.contents;
	code = ctl_check_config(
	    config_file.path, config_file.text, config_file.bytes, line_offset);
	if (code == CLI_EXIT_OK && !is_check)
		code = find_base(ctl, &config_file, &base);
	if (code != CLI_EXIT_OK) {
		free(config_file.contents);
		return code;
	}
	if (is_check)
		ctl_call_init(ctl, &call, "POST", "/v1/config/check");
	else
		ctl_call_init(
		    ctl, &call, "PUT", "/v1/config?base=%" PRId64, base);
	cli_call_header_add(&call, "Content-Type", "application/toml");
	call.body = config_file.text;
	call.body_bytes = config_file.bytes;
	call.is_read_only = is_check;
	/* Safe to repeat: a second PUT conflicts with the first, and a check
	 * has no effect. */
	call.is_repeatable = true;
	code = ctl_call_run(ctl, &call, &answer);
	cli_errors_print(answer.json, config_file.path, line_offset, stderr);
	if (code == CLI_EXIT_OK && ctl->is_json)
		ctl_print_body(&answer);
	else if (code == CLI_EXIT_OK && is_check)
		printf("%s would be accepted\n", config_file.path);
	else if (code == CLI_EXIT_OK)
		printf("version %" JSON_INTEGER_FORMAT " is accepted and takes "
		       "effect on every VM within 4 s\n",
		    json_integer_value(
			json_object_get(answer.json, "version")));
	else if (!is_check)
		code = resolve_apply(ctl, &config_file, base, &answer, code);
	cli_answer_free(&answer);
	free(config_file.contents);
	return code;
}

/* camphorctl diff FILE */
static enum cli_exit
run_diff(const void *ctx, struct ctl_session *ctl)
{
	struct config_file config_file;
	struct ctl_active_config active_config;
	struct cli_diff diff = {0};
	enum cli_exit code;

	(void)ctx;
	if (!read_config_file(ctl, &config_file, &code))
		return code;
	code = ctl_active_config(ctl, &active_config);
	if (code == CLI_EXIT_OK) {
		print_active_config(stdout, "--- version", &active_config);
		printf("+++ %s\n", config_file.path);
		if (cli_diff_print(active_config.text, config_file.text, stdout,
			&diff) != CW_OK)
			ctl_message("%s", cw_error_last());
		if (diff.added + diff.removed > 0)
			code = CLI_EXIT_REFUSED;
	}
	cli_answer_free(&active_config.answer);
	free(config_file.contents);
	return code;
}

static void
print_history(const void *ctx, const json_t *answer)
{
	static const struct cli_column columns[] = {
	    {"VERSION", "version", CLI_CELL_NUMBER},
	    {"ACCEPTED", "time_ms", CLI_CELL_TIME},
	    {"BYTES", "bytes", CLI_CELL_NUMBER},
	    {"AUTHOR", "author", CLI_CELL_TEXT},
	};

	(void)ctx;
	cli_table_print(json_object_get(answer, "changes"), columns,
	    CTL_COUNT(columns), stdout);
	if (!json_is_true(json_object_get(answer, "complete")))
		ctl_message("older changes are no longer in the log");
}

/* camphorctl history */
static enum cli_exit
run_history(const void *ctx, struct ctl_session *ctl)
{
	struct cli_call call;

	ctl_call_init(ctl, &call, "GET", "/v1/config/history");
	return ctl_call_print(ctl, &call, print_history, ctx);
}

/* camphorctl show [--raw] */
static enum cli_exit
run_show(const void *ctx, struct ctl_session *ctl)
{
	struct ctl_active_config active_config;
	enum cli_exit code = ctl_active_config(ctl, &active_config);

	(void)ctx;
	if (code == CLI_EXIT_OK && ctl->is_json) {
		ctl_print_body(&active_config.answer);
	} else if (code == CLI_EXIT_OK) {
		if (!ctl_args_flag(ctl->args, "raw"))
			cli_version_line_print(stdout, active_config.version,
			    active_config.author, active_config.accepted_ms);
		fputs(active_config.text, stdout);
	}
	cli_answer_free(&active_config.answer);
	return code;
}

static const struct ctl_option apply_options[] = {
    {"file", CTL_OPERAND, "FILE", "configuration file"},
    {"base", CTL_TEXT, "N",
	"version that the file is based on (default: the one in the line that "
	"`show` adds, else the active version)"},
    {"check", CTL_FLAG, NULL,
	"let the server check the configuration and whether its guarantees "
	"fit; change nothing"},
};
static const struct ctl_option diff_options[] = {
    {"file", CTL_OPERAND, "FILE", "configuration file"},
};
static const struct ctl_option show_options[] = {
    {"raw", CTL_FLAG, NULL, "omit the line with the version"},
};

static const struct ctl_command commands[] = {
    {"apply", "replace the active configuration",
	"  camphorctl show >config.toml; $EDITOR config.toml\n"
	"  camphorctl apply config.toml\n"
	"  camphorctl apply config.toml --check\n"
	"  camphorctl apply config.toml --base 7\n",
	CTL_OPTIONS(apply_options), run_apply, NULL, false},
    {"diff",
	"compare a file with the active configuration; exit code 1: they "
	"differ",
	"  camphorctl diff config.toml\n", CTL_OPTIONS(diff_options), run_diff,
	NULL, false},
    {"history", "list accepted configurations, their times and authors",
	"  camphorctl history\n", NULL, 0, run_history, NULL, false},
    {"show", "print the active configuration",
	"  camphorctl show >config.toml\n  camphorctl show --raw | sha256sum\n",
	CTL_OPTIONS(show_options), run_show, NULL, false},
};
const struct ctl_group ctl_config_group = {CTL_OPTIONS(commands)};
