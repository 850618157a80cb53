#include <assert.h>
#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include <zmq.h>

#include "config.h"
#include "ctl.h"

static bool write_key(const char *path, const char *key);
static bool check_account_lines(const char *lines);
static enum cli_exit run_key(const void *ctx, struct ctl_session *ctl);
static enum cli_exit run_curve_key(const void *ctx, struct ctl_session *ctl);

/* Writes a key to a new file that only its owner can access. Prints a message
 * and returns false on failure. */
static bool
write_key(const char *path, const char *key)
{
	int fd = open(path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600);
	bool is_written = fd >= 0 && dprintf(fd, "%s\n", key) > 0;

	if (fd >= 0 && close(fd) != 0)
		is_written = false;
	if (!is_written)
		ctl_message("%s: %s", path, strerror(errno));
	return is_written;
}

/* Checks the lines of an account as part of a configuration, so that an invalid
 * name is refused here. Prints a message and returns false on failure. */
static bool
check_account_lines(const char *lines)
{
	struct cfg_errors errors = {0};
	struct cfg_config *parsed = NULL;
	char text[600];
	int n;

	n = snprintf(text, sizeof(text), "[fleet]\nentry_vms = 1\n%s", lines);
	if (n >= (int)sizeof(text) ||
	    cfg_config_parse(text, (size_t)n, &parsed, &errors) != CW_OK) {
		ctl_message("%s",
		    errors.count > 0 ? errors.errors[0].text
				     : "the name is too long");
		return false;
	}
	cfg_config_free(parsed);
	return true;
}

/*
 * camphorctl key [NAME]: prints the lines for the configuration on standard
 * output and the key to a file or standard error, so that the key does not end
 * up in the configuration.
 */
static enum cli_exit
run_key(const void *ctx, struct ctl_session *ctl)
{
	const char *name = ctl_args_text(ctl->args, "name");
	const char *path = ctl_args_text(ctl->args, "out");
	bool is_operator = ctl_args_flag(ctl->args, "operator");
	struct cli_key key;
	char lines[512];

	(void)ctx;
	if (name == NULL)
		name = "NAME";
	if (cli_key_generate(&key) != CW_OK) {
		ctl_message("%s", cw_error_last());
		return CLI_EXIT_REFUSED;
	}
	snprintf(lines, sizeof(lines),
	    "[[account]]\nname = \"%s\"\nkey_salt = \"%s\"\n"
	    "key_sha256 = \"%s\"\n%s",
	    name, key.salt_hex, key.hash_hex,
	    is_operator ? "role = \"operator\"\n" : "");
	if (!check_account_lines(lines))
		return CLI_EXIT_USAGE;
	if (path != NULL && !write_key(path, key.key))
		return CLI_EXIT_USAGE;
	if (ctl->is_json) {
		json_t *row =
		    json_pack("{s:s,s:s,s:s,s:s}", "name", name, "key", key.key,
			"key_salt", key.salt_hex, "key_sha256", key.hash_hex);

		json_dumpf(row, stdout, JSON_COMPACT);
		fputc('\n', stdout);
		json_decref(row);
		return CLI_EXIT_OK;
	}
	if (path == NULL)
		fprintf(stderr, "key of \"%s\", shown only now: %s\n", name,
		    key.key);
	fputs(lines, stdout);
	return CLI_EXIT_OK;
}

/* camphorctl curve-key */
static enum cli_exit
run_curve_key(const void *ctx, struct ctl_session *ctl)
{
	char public_key[41];
	char secret_key[41];

	(void)ctx;
	if (zmq_curve_keypair(public_key, secret_key) != 0) {
		ctl_message(
		    "cannot create a CURVE key pair: %s", zmq_strerror(errno));
		return CLI_EXIT_REFUSED;
	}
	if (ctl->is_json)
		printf("{\"curve_public\":\"%s\",\"curve_secret\":\"%s\"}\n",
		    public_key, secret_key);
	else
		printf("curve_public = '%s'\ncurve_secret = '%s'\n", public_key,
		    secret_key);
	return CLI_EXIT_OK;
}

static const struct ctl_option key_options[] = {
    {"name", CTL_OPERAND_OPTIONAL, "NAME", "name of the account"},
    {"operator", CTL_FLAG, NULL, "create an operator account"},
    {"out", CTL_TEXT, "FILE",
	"write the key to this new file (mode 600), for --key-file"},
};

static const struct ctl_command commands[] = {
    {"key", "create an account's key and its lines for the configuration",
	"  camphorctl key hotels --out hotels.key >>config.toml\n"
	"  camphorctl key operators --operator\n",
	CTL_OPTIONS(key_options), run_key, NULL, true},
    {"curve-key", "create a CURVE key pair for the settings of one camphord",
	"  camphorctl curve-key >>camphord.toml\n", NULL, 0, run_curve_key,
	NULL, true},
};
const struct ctl_group ctl_key_group = {CTL_OPTIONS(commands)};
