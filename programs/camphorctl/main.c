#include <assert.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>

#include <curl/curl.h>

#include "camphor_version.h"
#include "config.h"
#include "ctl.h"

static void transport_pause(void *ctx, int64_t ms);
static void transport_note(void *ctx, const char *text);
static const struct ctl_command *find_command(const char *name);
static int command_index(int argc, char **argv);
static void print_usage(FILE *out);
static bool read_servers(struct ctl_session *ctl);
static bool read_key(struct ctl_session *ctl);
static bool read_globals(struct ctl_session *ctl);
static enum cli_exit run_command(
    const struct ctl_command *command, struct ctl_session *ctl);

const struct ctl_group *const ctl_groups[] = {&ctl_check_group,
    &ctl_config_group, &ctl_job_group, &ctl_request_group, &ctl_view_group,
    &ctl_key_group, &ctl_completion_group};
const size_t ctl_group_count = sizeof(ctl_groups) / sizeof(ctl_groups[0]);

const struct ctl_option ctl_global_options[] = {
    {"server", CTL_TEXTS, "IP:PORT",
	"entry VM; repeat to give alternatives for when one is unreachable "
	"(env CAMPHOR_SERVER, separated by commas)"},
    {"account", CTL_TEXT, "NAME", "client account (env CAMPHOR_ACCOUNT)"},
    {"key-file", CTL_TEXT, "FILE",
	"file with the account's key (env CAMPHOR_KEY has the key itself)"},
    {"ca", CTL_TEXT, "FILE",
	"use TLS and trust this certificate authority (env CAMPHOR_CA)"},
    {"json", CTL_FLAG, NULL, "print the server's answer as JSON"},
    {"timeout-ms", CTL_TEXT, "N", "timeout of one call (10000)"},
    {"help", CTL_FLAG, NULL, "print the usage and examples"},
    {"version", CTL_FLAG, NULL, "print the version"},
};
const size_t ctl_global_option_count = CTL_COUNT(ctl_global_options);

static void
transport_pause(void *ctx, int64_t ms)
{
	struct timespec time = {ms / 1000, ms % 1000 * 1000000};

	(void)ctx;
	while (nanosleep(&time, &time) != 0 && errno == EINTR)
		;
}

static void
transport_note(void *ctx, const char *text)
{
	(void)ctx;
	ctl_message("%s", text);
}

static const struct ctl_command *
find_command(const char *name)
{
	size_t g;
	size_t i;

	for (g = 0; g < ctl_group_count; g++)
		for (i = 0; i < ctl_groups[g]->count; i++)
			if (strcmp(ctl_groups[g]->commands[i].name, name) == 0)
				return &ctl_groups[g]->commands[i];
	return NULL;
}

/* Returns the index of the command's name: the first argument that is neither
 * a global option nor the value of one; argc if there is none. */
static int
command_index(int argc, char **argv)
{
	size_t k;
	int i;

	for (i = 1; i < argc && argv[i][0] == '-'; i++)
		for (k = 0; k < ctl_global_option_count; k++)
			if (ctl_global_options[k].kind != CTL_FLAG &&
			    strncmp(argv[i], "--", 2) == 0 &&
			    strcmp(argv[i] + 2, ctl_global_options[k].name) ==
				0) {
				i++;
				break;
			}
	return i < argc ? i : argc;
}

static void
print_usage(FILE *out)
{
	size_t g;
	size_t i;

	fprintf(out,
	    "Usage: camphorctl [GLOBAL OPTIONS] COMMAND [ARGUMENTS]\n"
	    "       camphorctl COMMAND --help\n\nCommands:\n");
	for (g = 0; g < ctl_group_count; g++)
		for (i = 0; i < ctl_groups[g]->count; i++)
			fprintf(out, "  %-12s %s\n",
			    ctl_groups[g]->commands[i].name,
			    ctl_groups[g]->commands[i].summary);
	fprintf(out, "\nGlobal options:\n");
	for (i = 0; i < ctl_global_option_count; i++)
		fprintf(out, "  --%-10s %-8s %s\n", ctl_global_options[i].name,
		    ctl_global_options[i].type == NULL
			? ""
			: ctl_global_options[i].type,
		    ctl_global_options[i].help);
	fprintf(out,
	    "\nExit codes: 0 done, 1 refused or failed, 2 usage, 3 no server "
	    "can be reached,\n4 conflict, 5 outcome unknown, 6 not "
	    "authorised. See camphorctl(1).\n");
}

/* Reads the servers from --server, else from CAMPHOR_SERVER. */
static bool
read_servers(struct ctl_session *ctl)
{
	const char *const *values;
	const char *env = getenv("CAMPHOR_SERVER");
	size_t count = ctl_args_texts(ctl->args, "server", &values);
	char address[CW_NAME_BYTES];
	size_t i;
	int code = CW_OK;

	for (i = 0; i < count && code == CW_OK; i++)
		code = cli_servers_add(&ctl->servers, values[i]);
	while (count == 0 && env != NULL && *env != '\0' && code == CW_OK) {
		size_t bytes = strcspn(env, ",");

		snprintf(address, sizeof(address), "%.*s", (int)bytes, env);
		code = cli_servers_add(&ctl->servers, address);
		env += bytes + (env[bytes] == ',');
	}
	if (code != CW_OK)
		ctl_message("%s", cw_error_last());
	return code == CW_OK;
}

/* Reads the key from --key-file, else from CAMPHOR_KEY. */
static bool
read_key(struct ctl_session *ctl)
{
	const char *path = ctl_args_text(ctl->args, "key-file");
	const char *key = getenv("CAMPHOR_KEY");
	struct cli_call probe = {0};
	struct stat file_stat;
	char *text = NULL;
	size_t bytes;
	bool is_valid;

	if (path != NULL) {
		if (!ctl_file_read(path, 4096, &text, &bytes))
			return false;
		text[strcspn(text, "\r\n")] = '\0';
		key = text;
		if (stat(path, &file_stat) == 0 && S_ISREG(file_stat.st_mode) &&
		    (file_stat.st_mode & (S_IRGRP | S_IROTH)) != 0)
			ctl_message("warning: %s can be read by others; use "
				    "chmod 600",
			    path);
	}
	if (key == NULL)
		key = "";
	is_valid = strlen(key) <= CFG_KEY_BYTES_MAX &&
	    cli_call_header_add(&probe, "X-Account-Key", key) == CW_OK;
	if (is_valid)
		snprintf(ctl->key, sizeof(ctl->key), "%s", key);
	else
		ctl_message("the key must have at most %d bytes and no control "
			    "characters",
		    CFG_KEY_BYTES_MAX);
	free(text);
	return is_valid;
}

/* Reads the global options. */
static bool
read_globals(struct ctl_session *ctl)
{
	const char *account = ctl_args_text(ctl->args, "account");
	struct cli_call probe = {0};
	int64_t timeout_ms = CTL_TIMEOUT_MS;

	ctl->is_json = ctl_args_flag(ctl->args, "json");
	ctl->is_timeout_given = ctl_args_text(ctl->args, "timeout-ms") != NULL;
	if (!ctl_args_number(ctl->args, "timeout-ms", 1, 3600000, &timeout_ms))
		return false;
	ctl->timeout_ms = (uint32_t)timeout_ms;
	if (account == NULL)
		account = getenv("CAMPHOR_ACCOUNT");
	if (account != NULL &&
	    (cw_name_copy(ctl->account, sizeof(ctl->account), account) !=
		    CW_OK ||
		cli_call_header_add(&probe, "X-Account", account) != CW_OK)) {
		ctl_message(
		    "\"%.80s\" cannot be the name of an account", account);
		return false;
	}
	return read_servers(ctl) && read_key(ctl);
}

/* Creates the link to the servers and runs the command. */
static enum cli_exit
run_command(const struct ctl_command *command, struct ctl_session *ctl)
{
	const char *ca = ctl_args_text(ctl->args, "ca");
	struct ctl_transport *link = NULL;
	enum cli_exit code;

	if (!read_globals(ctl))
		return CLI_EXIT_USAGE;
	if (!command->is_offline && ctl->servers.count == 0) {
		ctl_message("no server: give --server IP:PORT or set "
			    "CAMPHOR_SERVER");
		return CLI_EXIT_USAGE;
	}
	if (ca == NULL)
		ca = getenv("CAMPHOR_CA");
	if (ctl_transport_create(&link, ca) != CW_OK) {
		ctl_message("%s", cw_error_last());
		return CLI_EXIT_REFUSED;
	}
	ctl->transport = (struct cli_transport){
	    ctl_transport_exchange, transport_pause, transport_note, link};
	code = command->run(command->ctx, ctl);
	ctl_transport_destroy(link);
	return code;
}

int
main(int argc, char **argv)
{
	const struct ctl_command *command;
	struct ctl_args *args = NULL;
	struct ctl_session ctl = {0};
	enum cli_exit code = CLI_EXIT_USAGE;
	int command_at = command_index(argc, argv);
	int i;

	for (i = 1; i < argc && command_at == argc; i++) {
		if (strcmp(argv[i], "--version") == 0) {
			printf("camphorctl %s\n", CAMPHOR_VERSION);
			return CLI_EXIT_OK;
		}
		if (strcmp(argv[i], "--help") == 0) {
			print_usage(stdout);
			return CLI_EXIT_OK;
		}
	}
	command = command_at == argc ? NULL : find_command(argv[command_at]);
	if (command == NULL) {
		if (command_at < argc)
			ctl_message("there is no command \"%s\"; try "
				    "\"camphorctl --help\"",
			    argv[command_at]);
		else
			print_usage(stderr);
		return CLI_EXIT_USAGE;
	}
	for (i = command_at; i + 1 < argc; i++)
		argv[i] = argv[i + 1];
	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (ctl_args_create(&args, command) != CW_OK) {
		ctl_message("%s", cw_error_last());
		return CLI_EXIT_REFUSED;
	}
	ctl.args = args;
	switch (ctl_args_parse(args, argc - 1, argv)) {
	case CTL_PARSE_OK:
		code = run_command(command, &ctl);
		break;
	case CTL_PARSE_HELP:
		ctl_args_help(args, stdout);
		code = CLI_EXIT_OK;
		break;
	case CTL_PARSE_VERSION:
		printf("camphorctl %s\n", CAMPHOR_VERSION);
		code = CLI_EXIT_OK;
		break;
	case CTL_PARSE_BAD:
	default:
		break;
	}
	ctl_args_destroy(args);
	curl_global_cleanup();
	explicit_bzero(ctl.key, sizeof(ctl.key));
	if (fflush(stdout) != 0 && code == CLI_EXIT_OK) {
		ctl_message("standard output: %s", strerror(errno));
		code = CLI_EXIT_REFUSED;
	}
	return (int)code;
}
