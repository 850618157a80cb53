#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "config.h"
#include "ctl.h"

/* As the server accepts; docs/api.md. */
#define TEXT_BYTES_MAX (256UL * 1024)

/* The configuration in force. */
struct force {
	struct cli_answer answer; /* holds the texts below */
	int64_t version;
	const char *author;
	int64_t accepted_ms;
	const char *text;
};

/* A file to be applied, without the line that `show` put before it. */
struct source {
	const char *path;
	char *file;
	const char *text;
	size_t bytes;
	int64_t base; /* -1: the file does not say */
};

static void print_errors(
    const char *path, const struct cfg_errors *errors, int64_t offset);
static bool has_operator(const struct cfg_text *text);
static enum cli_exit check_text(const char *path, const char *text,
    size_t bytes, int64_t offset, bool is_quiet);
static enum cli_exit check_settings(
    const char *path, const char *text, size_t bytes);
static enum cli_exit run_check(const void *ctx, struct ctl *ctl);
static bool read_source(
    const struct ctl *ctl, struct source *source, enum cli_exit *code);
static enum cli_exit fetch_force(const struct ctl *ctl, struct force *force);
static void print_force(
    FILE *out, const char *words, const struct force *force);
static enum cli_exit find_base(
    const struct ctl *ctl, const struct source *source, int64_t *base);
static enum cli_exit settle(const struct ctl *ctl, const struct source *source,
    int64_t base, const struct cli_answer *answer, enum cli_exit code);
static enum cli_exit run_apply(const void *ctx, struct ctl *ctl);
static enum cli_exit run_diff(const void *ctx, struct ctl *ctl);
static void print_history(const void *ctx, const json_t *answer);
static enum cli_exit run_history(const void *ctx, struct ctl *ctl);
static enum cli_exit run_show(const void *ctx, struct ctl *ctl);

/* Prints errors that were found here as FILE:LINE:COLUMN: text. */
static void
print_errors(const char *path, const struct cfg_errors *errors, int64_t offset)
{
	size_t i;

	for (i = 0; i < errors->count; i++) {
		const struct cfg_error *error = &errors->errors[i];

		fprintf(stderr, "%s:%" PRId64 ":%" PRIu32 ": ", path,
		    error->line == 0 ? 1 : error->line + offset,
		    error->column == 0 ? 1 : error->column);
		cli_text_print(stderr, error->text);
		fputc('\n', stderr);
	}
}

static bool
has_operator(const struct cfg_text *text)
{
	size_t i;

	for (i = 0; i < text->account_count; i++)
		if (text->accounts[i].role == BD_ROLE_OPERATOR)
			return true;
	return false;
}

/* Checks an operators' text and prints its errors. offset is the number of
 * lines before it in the file. */
static enum cli_exit
check_text(const char *path, const char *text, size_t bytes, int64_t offset,
    bool is_quiet)
{
	struct cfg_errors errors = {0};
	struct cfg_text *parsed = NULL;

	if (cfg_text_parse(text, bytes, &parsed, &errors) != CW_OK) {
		print_errors(path, &errors, offset);
		if (errors.count == 0)
			ctl_note("%s: %s", path, cw_error_last());
		return CLI_EXIT_REFUSED;
	}
	/* Without an operator nobody could change the text again. */
	if (!has_operator(parsed)) {
		fprintf(stderr,
		    "%s:1:1: no account has role = \"operator\"; nobody could "
		    "change the text afterwards\n",
		    path);
		cfg_text_free(parsed);
		return CLI_EXIT_REFUSED;
	}
	if (!is_quiet)
		printf("%s: operators' text, %zu accounts, %zu guaranteed "
		       "shapes, %zu services, %zu upstreams\n",
		    path, parsed->account_count, parsed->promise_count,
		    parsed->service_count, parsed->runner_count);
	cfg_text_free(parsed);
	return CLI_EXIT_OK;
}

/* Checks the settings of one camphord and prints their errors. */
static enum cli_exit
check_settings(const char *path, const char *text, size_t bytes)
{
	struct cfg_settings settings;
	struct cfg_errors errors = {0};

	if (cfg_settings_parse(text, bytes, &settings, &errors) != CW_OK) {
		print_errors(path, &errors, 0);
		return CLI_EXIT_REFUSED;
	}
	printf("%s: settings of camphord \"%s\", HTTP on %s%s, %" PRIu32
	       " peers%s\n",
	    path, settings.name, settings.http_address,
	    settings.tls_certificate[0] == '\0' ? " in the clear" : " with TLS",
	    settings.peer_count,
	    settings.curve_public[0] == '\0' ? " in the clear" : " with CURVE");
	return CLI_EXIT_OK;
}

/* camphorctl check FILE */
static enum cli_exit
run_check(const void *ctx, struct ctl *ctl)
{
	const char *path = ctl_args_text(ctl->args, "file");
	enum cli_exit code = CLI_EXIT_REFUSED;
	char *text;
	size_t bytes;

	(void)ctx;
	if (!ctl_file_read(path, TEXT_BYTES_MAX, &text, &bytes))
		return CLI_EXIT_USAGE;
	switch (cli_text_kind(text)) {
	case CLI_TEXT_SETTINGS:
		code = check_settings(path, text, bytes);
		break;
	case CLI_TEXT_OPERATORS:
		code = check_text(path, text, bytes, 0, false);
		break;
	case CLI_TEXT_UNKNOWN:
	default:
		fprintf(stderr,
		    "%s:1:1: neither the settings of a camphord (with "
		    "http_address, peer_address, ...) nor an operators' text "
		    "(with [fleet], [[account]], [[service]])\n",
		    path);
	}
	free(text);
	return code;
}

/* Reads and checks the file of apply or diff. The caller frees source->file.
 * Returns false with the exit code. */
static bool
read_source(const struct ctl *ctl, struct source *source, enum cli_exit *code)
{
	memset(source, 0, sizeof(*source));
	source->path = ctl_args_text(ctl->args, "file");
	*code = CLI_EXIT_USAGE;
	if (!ctl_file_read(source->path, TEXT_BYTES_MAX + 256, &source->file,
		&source->bytes))
		return false;
	if (strlen(source->file) != source->bytes) {
		fprintf(
		    stderr, "%s:1:1: the text has a zero byte\n", source->path);
		*code = CLI_EXIT_REFUSED;
		free(source->file);
		return false;
	}
	source->text = cli_base_parse(source->file, &source->base);
	source->bytes -= (size_t)(source->text - source->file);
	return true;
}

/* Reads the configuration in force. The caller frees force->answer. */
static enum cli_exit
fetch_force(const struct ctl *ctl, struct force *force)
{
	struct cli_call call;
	enum cli_exit code;
	const json_t *text;
	const json_t *author;

	memset(force, 0, sizeof(*force));
	ctl_call_init(ctl, &call, "GET", "/v1/config");
	code = ctl_call_run(ctl, &call, &force->answer);
	if (code != CLI_EXIT_OK)
		return code;
	text = json_object_get(force->answer.json, "text");
	author = json_object_get(force->answer.json, "author");
	if (!json_is_string(text) || !json_is_string(author)) {
		ctl_note("%s gave no configuration", force->answer.server);
		return CLI_EXIT_REFUSED;
	}
	force->text = json_string_value(text);
	force->author = json_string_value(author);
	force->version =
	    json_integer_value(json_object_get(force->answer.json, "version"));
	force->accepted_ms = json_integer_value(
	    json_object_get(force->answer.json, "accepted_ms"));
	return CLI_EXIT_OK;
}

static void
print_force(FILE *out, const char *words, const struct force *force)
{
	char time[CLI_TIME_BYTES];

	cli_time_format(force->accepted_ms, time);
	fprintf(out, "%s %" PRId64 ", accepted %s, by ", words, force->version,
	    time);
	cli_text_print(out, force->author);
	fputc('\n', out);
}

/*
 * Finds the version that the file was made from: --base, else the line that
 * `show` put into the file, else the version in force, which is shown together
 * with the number of lines that would change.
 */
static enum cli_exit
find_base(const struct ctl *ctl, const struct source *source, int64_t *base)
{
	struct cli_diff diff;
	struct force force;
	enum cli_exit code;

	*base = source->base;
	if (!ctl_args_number(ctl->args, "base", 0, INT64_MAX, base))
		return CLI_EXIT_USAGE;
	if (*base >= 0)
		return CLI_EXIT_OK;
	code = fetch_force(ctl, &force);
	if (code == CLI_EXIT_UNAUTHORISED) {
		/* Before the first text no key is known; if there is a text,
		 * base 0 is refused. */
		ctl_note("no text can be read; trying as the first one "
			 "(base 0)");
		*base = 0;
		code = CLI_EXIT_OK;
	} else if (code == CLI_EXIT_OK) {
		*base = force.version;
		print_force(stderr, "base is the version in force,", &force);
		if (cli_diff_print(force.text, source->text, NULL, &diff) ==
		    CW_OK)
			fprintf(stderr, "%zu lines added, %zu removed\n",
			    diff.added, diff.removed);
	}
	cli_answer_free(&force.answer);
	return code;
}

/*
 * Settles an apply that was not simply accepted: a conflict names the winner,
 * unless the winner is this text after a lost answer.
 */
static enum cli_exit
settle(const struct ctl *ctl, const struct source *source, int64_t base,
    const struct cli_answer *answer, enum cli_exit code)
{
	struct force force;
	bool is_ours;

	if (code != CLI_EXIT_CONFLICT && code != CLI_EXIT_UNKNOWN)
		return code;
	if (fetch_force(ctl, &force) != CLI_EXIT_OK) {
		cli_answer_free(&force.answer);
		return code;
	}
	is_ours = answer->maybe_ran && force.version == base + 1 &&
	    strcmp(force.text, source->text) == 0;
	if (is_ours) {
		printf("version %" PRId64
		       " is accepted (its answer was lost)\n",
		    force.version);
		code = CLI_EXIT_OK;
	} else if (code == CLI_EXIT_CONFLICT) {
		print_force(stderr, "conflict with version", &force);
		fprintf(stderr,
		    "Compare with \"camphorctl diff %s\", merge, and apply "
		    "with --base %" PRId64 ".\n",
		    source->path, force.version);
	} else {
		print_force(stderr, "in force is version", &force);
	}
	cli_answer_free(&force.answer);
	return code;
}

/* camphorctl apply FILE [--base N] [--check] */
static enum cli_exit
run_apply(const void *ctx, struct ctl *ctl)
{
	bool is_check = ctl_args_flag(ctl->args, "check");
	struct source source;
	struct cli_call call;
	struct cli_answer answer = {0};
	enum cli_exit code;
	int64_t offset;
	int64_t base = 0;

	(void)ctx;
	if (!read_source(ctl, &source, &code))
		return code;
	offset = source.text != source.file;
	code = check_text(source.path, source.text, source.bytes, offset, true);
	if (code == CLI_EXIT_OK && !is_check)
		code = find_base(ctl, &source, &base);
	if (code != CLI_EXIT_OK) {
		free(source.file);
		return code;
	}
	if (is_check)
		ctl_call_init(ctl, &call, "POST", "/v1/config/check");
	else
		ctl_call_init(
		    ctl, &call, "PUT", "/v1/config?base=%" PRId64, base);
	cli_call_header(&call, "Content-Type", "application/toml");
	call.body = source.text;
	call.body_bytes = source.bytes;
	/* A repeat finds its base stale, or checks once more. */
	call.is_safe = true;
	code = ctl_call_run(ctl, &call, &answer);
	cli_errors_print(answer.json, source.path, offset, stderr);
	if (code == CLI_EXIT_OK && ctl->is_json)
		ctl_print_body(&answer);
	else if (code == CLI_EXIT_OK && is_check)
		printf("%s would be accepted\n", source.path);
	else if (code == CLI_EXIT_OK)
		printf("version %" JSON_INTEGER_FORMAT " is accepted; it is in "
		       "force on every VM within 4 s\n",
		    json_integer_value(
			json_object_get(answer.json, "version")));
	else if (!is_check)
		code = settle(ctl, &source, base, &answer, code);
	cli_answer_free(&answer);
	free(source.file);
	return code;
}

/* camphorctl diff FILE */
static enum cli_exit
run_diff(const void *ctx, struct ctl *ctl)
{
	struct source source;
	struct force force;
	struct cli_diff diff = {0};
	enum cli_exit code;

	(void)ctx;
	if (!read_source(ctl, &source, &code))
		return code;
	code = fetch_force(ctl, &force);
	if (code == CLI_EXIT_OK) {
		print_force(stdout, "--- version", &force);
		printf("+++ %s\n", source.path);
		if (cli_diff_print(force.text, source.text, stdout, &diff) !=
		    CW_OK)
			ctl_note("%s", cw_error_last());
		if (diff.added + diff.removed > 0)
			code = CLI_EXIT_REFUSED;
	}
	cli_answer_free(&force.answer);
	free(source.file);
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
		ctl_note("older changes are no longer in the log");
}

/* camphorctl history */
static enum cli_exit
run_history(const void *ctx, struct ctl *ctl)
{
	struct cli_call call;

	ctl_call_init(ctl, &call, "GET", "/v1/config/history");
	return ctl_call_print(ctl, &call, print_history, ctx);
}

/* camphorctl show [--raw] */
static enum cli_exit
run_show(const void *ctx, struct ctl *ctl)
{
	struct force force;
	enum cli_exit code = fetch_force(ctl, &force);

	(void)ctx;
	if (code == CLI_EXIT_OK && ctl->is_json) {
		ctl_print_body(&force.answer);
	} else if (code == CLI_EXIT_OK) {
		if (!ctl_args_flag(ctl->args, "raw"))
			cli_base_print(stdout, force.version, force.author,
			    force.accepted_ms);
		fputs(force.text, stdout);
	}
	cli_answer_free(&force.answer);
	return code;
}

static const struct ctl_option check_options[] = {
    {"file", CTL_OPERAND, "FILE", "settings or operators' text"},
};
static const struct ctl_option apply_options[] = {
    {"file", CTL_OPERAND, "FILE", "operators' text"},
    {"base", CTL_TEXT, "N",
	"version that the text was made from (default: the one that `show` "
	"put into the file, else the version in force)"},
    {"check", CTL_FLAG, NULL,
	"let the server check the text and the fit of the guarantees; change "
	"nothing"},
};
static const struct ctl_option diff_options[] = {
    {"file", CTL_OPERAND, "FILE", "operators' text"},
};
static const struct ctl_option show_options[] = {
    {"raw", CTL_FLAG, NULL, "without the line that names the version"},
};

static const struct ctl_command commands[] = {
    {"check", "check a settings file or an operators' text, without a server",
	"  camphorctl check /etc/camphor/camphord.toml\n"
	"  camphorctl check examples/himal.toml\n",
	CTL_OPTIONS(check_options), run_check, NULL, true},
    {"apply", "put an operators' text in force",
	"  camphorctl show >text.toml; $EDITOR text.toml\n"
	"  camphorctl apply text.toml\n"
	"  camphorctl apply text.toml --check\n"
	"  camphorctl apply text.toml --base 7\n",
	CTL_OPTIONS(apply_options), run_apply, NULL, false},
    {"diff", "compare a file with the text in force; exit code 1: they differ",
	"  camphorctl diff text.toml\n", CTL_OPTIONS(diff_options), run_diff,
	NULL, false},
    {"history", "list the accepted texts, their times and authors",
	"  camphorctl history\n", NULL, 0, run_history, NULL, false},
    {"show", "print the text in force",
	"  camphorctl show >text.toml\n  camphorctl show --raw | sha256sum\n",
	CTL_OPTIONS(show_options), run_show, NULL, false},
};
const struct ctl_group ctl_config_group = {CTL_OPTIONS(commands)};
