#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"
#include "config.h"
#include "config_check.h"
#include "ctl.h"
#include "ctl_config.h"

/* A record of the users' store is smaller. */
#define FILE_BYTES_MAX (4UL * 1024 * 1024)

/* A file that is checked. */
struct checked_file {
	const char *path;
	char *contents;
	const char *text; /* contents after the version line of `show` */
	size_t bytes;     /* of text */
	int64_t base;     /* from the version line, -1: none */
	int64_t version;  /* of an operator's configuration */
	enum cli_file_kind kind;
};

static bool has_operator(const struct cfg_config *config);
static void check_config(
    const char *text, size_t bytes, uint32_t accels, struct cli_check *check);
static void check_settings(
    const char *text, size_t bytes, struct cli_check *check);
static void check_operator(
    const struct checked_file *file, uint32_t accels, struct cli_check *check);
static void check_unknown(
    const char *text, size_t bytes, struct cli_check *check);
static bool read_file(const char *path, struct checked_file *file);
static int64_t version_of(const struct checked_file *file);
static enum cli_exit compare_operator(struct cli_check *check,
    const struct checked_file *file, const struct checked_file *other);
static enum cli_exit compare_file(
    struct cli_check *check, const struct checked_file *file, const char *path);
static void add_server_errors(struct cli_check *check, const json_t *answer);
static enum cli_exit compare_active(const struct ctl_session *ctl,
    struct cli_check *check, const struct checked_file *file);
static enum cli_exit compare(const struct ctl_session *ctl,
    struct cli_check *check, const struct checked_file *file);
static void check_file(
    const struct checked_file *file, uint32_t accels, struct cli_check *check);
static enum cli_exit run_check(const void *ctx, struct ctl_session *ctl);

static bool
has_operator(const struct cfg_config *config)
{
	size_t i;

	for (i = 0; i < config->account_count; i++)
		if (config->accounts[i].role == BD_ROLE_OPERATOR)
			return true;
	return false;
}

/* Checks a configuration of the product. */
static void
check_config(
    const char *text, size_t bytes, uint32_t accels, struct cli_check *check)
{
	struct cfg_config *parsed = NULL;
	int code = cfg_config_parse(text, bytes, &parsed, &check->errors);

	check->kind = "configuration";
	if (code != CW_OK) {
		if (check->errors.count == 0)
			cfg_errors_add(
			    &check->errors, 0, 0, "%s", cfg_status_name(code));
		return;
	}
	/* Without an operator account the configuration can no longer be
	 * changed. */
	if (!has_operator(parsed))
		cfg_errors_add(&check->errors, 0, 0,
		    "no account has role = \"operator\"; nobody could change "
		    "the configuration afterwards");
	code = cfg_config_warn(text, bytes, parsed, accels, &check->warnings);
	if (code != CW_OK)
		cfg_errors_add(
		    &check->errors, 0, 0, "%s", cfg_status_name(code));
	snprintf(check->summary, sizeof(check->summary),
	    "configuration, %zu accounts, %zu guaranteed shapes, %zu "
	    "services, %zu upstreams",
	    parsed->account_count, parsed->promise_count, parsed->service_count,
	    parsed->runner_count);
	cfg_config_free(parsed);
}

/* Checks the settings of one camphord. */
static void
check_settings(const char *text, size_t bytes, struct cli_check *check)
{
	struct cfg_settings settings;

	check->kind = "settings";
	if (cfg_settings_parse(text, bytes, &settings, &check->errors) != CW_OK)
		return;
	snprintf(check->summary, sizeof(check->summary),
	    "settings of camphord \"%s\", HTTP on %s%s, %" PRIu32 " peers%s",
	    settings.name, settings.http_address,
	    settings.tls_certificate[0] == '\0' ? " without encryption"
						: " with TLS",
	    settings.peer_count,
	    settings.curve_public[0] == '\0' ? " without encryption"
					     : " with CURVE");
}

/* Checks the configuration of the users' operator, as the VMs do. */
static void
check_operator(
    const struct checked_file *file, uint32_t accels, struct cli_check *check)
{
	struct pl_config_review review;
	int code = pl_config_check(file->text, file->bytes, accels, &review);

	check->kind = "operator";
	check->errors = review.errors;
	check->warnings = review.warnings;
	if (code != CW_OK && check->errors.count == 0)
		cfg_errors_add(&check->errors, 0, 0, "%s", cw_error_last());
	snprintf(check->summary, sizeof(check->summary),
	    "operator's configuration, version %" PRIu64 ", %" PRIu32
	    " routes, %" PRIu32 " tenants, %" PRIu32 " keys",
	    review.version, review.queues, review.clients, review.keys);
}

/* Says that the kind of a file is unknown: a syntax error may be why. */
static void
check_unknown(const char *text, size_t bytes, struct cli_check *check)
{
	static struct cfg_settings settings;

	check->kind = "unknown";
	if (cfg_settings_parse(text, bytes, &settings, &check->errors) !=
	    CFG_ESYNTAX)
		check->errors.count = 0;
	cfg_errors_add(&check->errors, 0, 0,
	    "neither the settings of a camphord (with http_address, "
	    "peer_address, ...) nor a configuration (with [fleet], "
	    "[[account]], [[service]]) nor an operator's one (JSON)");
}

/* Reads a file and recognises its kind. Prints a message and returns false on
 * failure. The caller frees file->contents. */
static bool
read_file(const char *path, struct checked_file *file)
{
	size_t bytes;

	memset(file, 0, sizeof(*file));
	file->path = path;
	if (!ctl_file_read(path, FILE_BYTES_MAX, &file->contents, &bytes))
		return false;
	file->kind = cli_file_kind(file->contents);
	if (file->kind != CLI_FILE_OPERATOR &&
	    bytes > CTL_CONFIG_BYTES_MAX + 256) {
		ctl_message("%s: more than %lu bytes", path,
		    CTL_CONFIG_BYTES_MAX + 256);
		free(file->contents);
		return false;
	}
	file->text = cli_version_line_parse(file->contents, &file->base);
	file->bytes = bytes - (size_t)(file->text - file->contents);
	return true;
}

/* Returns the version in an operator's configuration, 0 if it has none. */
static int64_t
version_of(const struct checked_file *file)
{
	struct pl_config_review review;

	pl_config_check(file->text, file->bytes, 0, &review);
	return (int64_t)review.version;
}

/* Compares configurations of the users' operator member by member. */
static enum cli_exit
compare_operator(struct cli_check *check, const struct checked_file *file,
    const struct checked_file *other)
{
	char *old_text = pl_config_canonical(other->text, other->bytes);
	char *new_text = pl_config_canonical(file->text, file->bytes);
	int64_t old_version = version_of(other);
	int64_t new_version = version_of(file);
	enum cli_exit code = CLI_EXIT_OK;

	if (old_text == NULL) {
		ctl_message("%s is no JSON object", other->path);
		code = CLI_EXIT_USAGE;
	} else if (new_text != NULL &&
	    cli_check_compare(check, old_text, new_text) != CW_OK) {
		ctl_message("%s", cw_error_last());
		code = CLI_EXIT_USAGE;
	}
	if (code == CLI_EXIT_OK && new_version > 0 && new_version < old_version)
		cfg_errors_add(&check->warnings, 0, 0,
		    "version %" PRId64 " is older than %" PRId64
		    " of %.80s: VMs that have that one ignore this one",
		    new_version, old_version, other->path);
	else if (code == CLI_EXIT_OK && new_version > 0 &&
	    new_version == old_version &&
	    check->diff.added + check->diff.removed > 0)
		cfg_errors_add(&check->warnings, 0, 0,
		    "version %" PRId64 " is that of %.80s, with another text",
		    new_version, other->path);
	free(old_text);
	free(new_text);
	return code;
}

/* Compares with a saved file of the same kind. */
static enum cli_exit
compare_file(
    struct cli_check *check, const struct checked_file *file, const char *path)
{
	struct checked_file other;
	enum cli_exit code = CLI_EXIT_OK;

	if (!read_file(path, &other))
		return CLI_EXIT_USAGE;
	snprintf(
	    check->against, sizeof(check->against), "against %.256s", path);
	if (other.kind != file->kind) {
		ctl_message(
		    "%s and %s are files of different kinds", file->path, path);
		code = CLI_EXIT_USAGE;
	} else if (file->kind == CLI_FILE_OPERATOR) {
		code = compare_operator(check, file, &other);
	} else if (cli_check_compare(check, other.text, file->text) != CW_OK) {
		ctl_message("%s", cw_error_last());
		code = CLI_EXIT_USAGE;
	}
	free(other.contents);
	return code;
}

/* Adds the errors that a server listed. */
static void
add_server_errors(struct cli_check *check, const json_t *answer)
{
	const json_t *error;
	size_t i;

	json_array_foreach(json_object_get(answer, "errors"), i, error)
	{
		const char *text =
		    json_string_value(json_object_get(error, "text"));
		int64_t line =
		    json_integer_value(json_object_get(error, "line"));
		int64_t column =
		    json_integer_value(json_object_get(error, "column"));

		cfg_errors_add(&check->errors,
		    line > 0 && line <= UINT32_MAX ? (uint32_t)line : 0,
		    column > 0 && column <= UINT32_MAX ? (uint32_t)column : 0,
		    "server: %s", text == NULL ? "no reason given" : text);
	}
}

/* Compares with the configuration in force and, if the file has no error, lets
 * the server check it: whether its guarantees fit the workers. */
static enum cli_exit
compare_active(const struct ctl_session *ctl, struct cli_check *check,
    const struct checked_file *file)
{
	struct ctl_active_config active;
	struct cli_answer answer = {0};
	struct cli_call call;
	enum cli_exit code = ctl_active_config(ctl, &active);

	if (code == CLI_EXIT_OK) {
		snprintf(check->against, sizeof(check->against),
		    "against version %" PRId64 " in force, by %.80s",
		    active.version, active.author);
		if (cli_check_compare(check, active.text, file->text) !=
		    CW_OK) {
			ctl_message("%s", cw_error_last());
			code = CLI_EXIT_USAGE;
		}
		if (file->base >= 0 && file->base != active.version)
			cfg_errors_add(&check->warnings, 0, 0,
			    "the file is based on version %" PRId64
			    ", version %" PRId64 " is in force",
			    file->base, active.version);
	}
	cli_answer_free(&active.answer);
	if (code != CLI_EXIT_OK || check->errors.count > 0)
		return code;
	ctl_call_init(ctl, &call, "POST", "/v1/config/check");
	cli_call_header_add(&call, "Content-Type", "application/toml");
	call.body = file->text;
	call.body_bytes = file->bytes;
	call.is_read_only = true;
	call.is_repeatable = true;
	code = ctl_call_run(ctl, &call, &answer);
	add_server_errors(check, answer.json);
	cli_answer_free(&answer);
	return code;
}

/* Compares a file as --against says. */
static enum cli_exit
compare(const struct ctl_session *ctl, struct cli_check *check,
    const struct checked_file *file)
{
	const char *against = ctl_args_text(ctl->args, "against");

	if (against == NULL)
		return CLI_EXIT_OK;
	if (file->kind == CLI_FILE_UNKNOWN) {
		ctl_message("%s: nothing to compare", file->path);
		return CLI_EXIT_REFUSED;
	}
	if (strcmp(against, "in-force") != 0) {
		enum cli_exit code = compare_file(check, file, against);

		if (check->changes == NULL)
			check->against[0] = '\0';
		return code;
	}
	if (file->kind != CLI_FILE_CONFIG) {
		ctl_message("the servers return the text in force for a "
			    "configuration of the product only; give the file "
			    "that was sent last");
		return CLI_EXIT_USAGE;
	}
	if (ctl->servers.count == 0) {
		ctl_message("no server: give --server IP:PORT or set "
			    "CAMPHOR_SERVER");
		return CLI_EXIT_USAGE;
	}
	return compare_active(ctl, check, file);
}

static void
check_file(
    const struct checked_file *file, uint32_t accels, struct cli_check *check)
{
	check->path = file->path;
	check->line_offset = file->text != file->contents;
	switch (file->kind) {
	case CLI_FILE_SETTINGS:
		check_settings(file->text, file->bytes, check);
		break;
	case CLI_FILE_CONFIG:
		check_config(file->text, file->bytes, accels, check);
		break;
	case CLI_FILE_OPERATOR:
		check_operator(file, accels, check);
		break;
	case CLI_FILE_UNKNOWN:
	default:
		check_unknown(file->text, file->bytes, check);
	}
}

/* Checks a configuration that is about to be sent: errors and warnings go to
 * standard error. */
enum cli_exit
ctl_check_config(
    const char *path, const char *text, size_t bytes, int64_t line_offset)
{
	struct cli_check *check = calloc(1, sizeof(*check));
	enum cli_exit code;

	if (check == NULL) {
		ctl_message("out of memory");
		return CLI_EXIT_REFUSED;
	}
	check->path = path;
	check->line_offset = line_offset;
	check_config(text, bytes, 0, check);
	check->summary[0] = '\0';
	cli_check_sort(check);
	cli_check_print(check, stdout, stderr);
	code = cli_check_exit(check, false);
	free(check);
	return code;
}

/* camphorctl check FILE [--against FILE|in-force] [--accelerators N]
 * [--strict] */
static enum cli_exit
run_check(const void *ctx, struct ctl_session *ctl)
{
	struct cli_check *check;
	struct checked_file file;
	int64_t accels = 0;
	enum cli_exit code;
	enum cli_exit compared;

	(void)ctx;
	if (!ctl_args_number(
		ctl->args, "accelerators", 1, UINT32_MAX, &accels) ||
	    !read_file(ctl_args_text(ctl->args, "file"), &file))
		return CLI_EXIT_USAGE;
	check = calloc(1, sizeof(*check));
	if (check == NULL) {
		ctl_message("out of memory");
		free(file.contents);
		return CLI_EXIT_REFUSED;
	}
	check_file(&file, (uint32_t)accels, check);
	compared = compare(ctl, check, &file);
	cli_check_sort(check);
	if (!ctl->is_json)
		cli_check_print(check, stdout, stderr);
	else if (cli_check_print_json(check, stdout) != CW_OK)
		ctl_message("%s", cw_error_last());
	code = cli_check_exit(check, ctl_args_flag(ctl->args, "strict"));
	cli_check_free(check);
	free(check);
	free(file.contents);
	/* Errors of the file say more than a failed comparison. */
	return code != CLI_EXIT_OK ? code : compared;
}

static const struct ctl_option options[] = {
    {"file", CTL_OPERAND, "FILE",
	"settings, configuration, or operator's configuration (JSON)"},
    {"against", CTL_TEXT, "FILE|in-force",
	"also show what has changed since a saved version, or since the "
	"active one; the server then checks the file too"},
    {"accelerators", CTL_TEXT, "N",
	"accelerators of the deployment: warn of guarantees beyond them"},
    {"strict", CTL_FLAG, NULL, "exit with 1 if there are warnings"},
};

static const struct ctl_command commands[] = {
    {"check",
	"check a settings or configuration file, without a server unless "
	"--against in-force is given",
	"  camphorctl check /etc/camphor/camphord.toml\n"
	"  camphorctl check examples/himal.toml --accelerators 512\n"
	"  camphorctl check config.toml --against in-force --strict\n"
	"  camphorctl check next.json --against sent.json --json\n",
	CTL_OPTIONS(options), run_check, NULL, true},
};
const struct ctl_group ctl_check_group = {CTL_OPTIONS(commands)};
