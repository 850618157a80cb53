#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>

#include "camphor_version.h"
#include "daemon.h"

/* Exit codes, see docs/man/camphord.8. */
#define EXIT_USAGE 2

/* A daemon that has not recovered its state from the log or a member by then
 * exits, so that its supervisor and the operator notice. */
#define READY_TIMEOUT_MS 15000
#define READY_POLL_MS 200

struct options {
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_lit *check;
	struct arg_lit *platform;
	struct arg_file *file;
	struct arg_end *end;
};

static void print_errors(const char *path, const struct cfg_errors *errors);
static void *exit_on_second_signal(void *arg);
static void block_signals(sigset_t *set);
static void reload(struct daemon *daemon, const char *path);
static bool wait_until_ready(
    struct daemon *daemon, const sigset_t *set, int *signal_number);
static int run(struct daemon *daemon, const char *path, const sigset_t *set);
static int serve(const char *path, bool check_only);
static int serve_platform(const char *path, bool check_only);

static void
print_errors(const char *path, const struct cfg_errors *errors)
{
	size_t i;

	for (i = 0; i < errors->count; i++) {
		const struct cfg_error *error = &errors->errors[i];

		if (error->line != 0)
			fprintf(stderr, "%s:%u:%u: %s\n", path, error->line,
			    error->column, error->text);
		else
			fprintf(stderr, "%s: %s\n", path, error->text);
	}
}

/* Exits at once on a second signal during the graceful shutdown and logs the
 * number of requests that are aborted. */
static void *
exit_on_second_signal(void *arg)
{
	struct daemon *daemon = arg;
	sigset_t set;
	int signal_number;

	block_signals(&set);
	sigdelset(&set, SIGHUP);
	sigwait(&set, &signal_number);
	ev_emit(EV_DAEMON_CUT, "signal=%d in_flight=%u", signal_number,
	    rt_in_flight(daemon->route));
	_exit(EXIT_FAILURE);
}

/* Blocks the signals that the main thread waits for. Threads created later
 * inherit the mask. */
static void
block_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	sigaddset(set, SIGHUP);
	pthread_sigmask(SIG_BLOCK, set, NULL);
}

/* Reloads the settings; invalid ones are logged and ignored. */
static void
reload(struct daemon *daemon, const char *path)
{
	static struct cfg_settings settings;
	static struct cfg_errors errors;

	errors.count = 0;
	if (cfg_settings_load(path, &settings, &errors) == CW_OK) {
		daemon_reload(daemon, &settings);
		return;
	}
	print_errors(path, &errors);
	ev_emit(
	    EV_DAEMON_RELOAD_FAILED, "file=%s errors=%zu", path, errors.count);
}

/* Waits until the state is recovered. Returns false after READY_TIMEOUT_MS.
 * Sets *signal_number to a termination signal that ended the wait, else to 0.
 */
static bool
wait_until_ready(struct daemon *daemon, const sigset_t *set, int *signal_number)
{
	struct timespec poll_interval = {0, READY_POLL_MS * 1000000L};
	int64_t until_ms = cw_clock_mono_ms() + READY_TIMEOUT_MS;
	struct st_follower_status status;

	*signal_number = 0;
	do {
		st_follower_status_get(daemon->follower, &status);
		if (status.ready) {
			ev_emit(EV_DAEMON_READY, "position=%llu",
			    (unsigned long long)status.position);
			return true;
		}
		*signal_number = sigtimedwait(set, NULL, &poll_interval);
		if (*signal_number == SIGTERM || *signal_number == SIGINT)
			return true;
		*signal_number = 0;
	} while (cw_clock_mono_ms() < until_ms);
	return false;
}

/* Runs the daemon until a termination signal. Returns the exit code. */
static int
run(struct daemon *daemon, const char *path, const sigset_t *set)
{
	pthread_t exit_thread;
	int signal_number;

	if (daemon_start(daemon) != CW_OK) {
		fprintf(stderr, "camphord: %s\n", cw_error_last());
		return EXIT_FAILURE;
	}
	ev_emit(EV_DAEMON_START, "name=%s version=%s http=%s peer=%s",
	    daemon->settings.name, CAMPHOR_VERSION,
	    daemon->settings.http_address, daemon->settings.peer_address);
	if (!wait_until_ready(daemon, set, &signal_number)) {
		fprintf(stderr,
		    "camphord: cannot recover the state: the log at %s is "
		    "unreachable and no member provides a snapshot; check "
		    "platform_address and peers\n",
		    daemon->settings.platform_address);
		daemon_stop(daemon);
		return EXIT_FAILURE;
	}
	while (signal_number == 0 && sigwait(set, &signal_number) == 0 &&
	    signal_number == SIGHUP) {
		signal_number = 0;
		reload(daemon, path);
	}
	if (pthread_create(&exit_thread, NULL, exit_on_second_signal, daemon) ==
	    0)
		pthread_detach(exit_thread);
	daemon_drain(daemon);
	ev_emit(EV_DAEMON_STOP, "in_flight=%u", rt_in_flight(daemon->route));
	daemon_stop(daemon);
	return EXIT_SUCCESS;
}

static int
serve(const char *path, bool check_only)
{
	static struct cfg_errors errors;
	struct daemon *daemon;
	sigset_t set;
	int result;

	daemon = calloc(1, sizeof(*daemon));
	if (daemon == NULL)
		return EXIT_FAILURE;
	if (cfg_settings_load(path, &daemon->settings, &errors) != CW_OK) {
		print_errors(path, &errors);
		free(daemon);
		return EXIT_USAGE;
	}
	if (check_only) {
		printf("%s: valid settings of VM %s\n", path,
		    daemon->settings.name);
		free(daemon);
		return EXIT_SUCCESS;
	}
	signal(SIGPIPE, SIG_IGN);
	block_signals(&set);
	if (ev_open_log4c() != CW_OK) {
		fprintf(stderr, "camphord: %s\n", cw_error_last());
		free(daemon);
		return EXIT_FAILURE;
	}
	result = run(daemon, path, &set);
	free(daemon);
	return result;
}

/* On the platform all log output goes to standard output, and an unreachable
 * store does not end the process. */
static int
serve_platform(const char *path, bool check_only)
{
	sigset_t set;

	signal(SIGPIPE, SIG_IGN);
	block_signals(&set);
	if (!check_only && ev_open_stdout() != CW_OK) {
		fprintf(stderr, "camphord: %s\n", cw_error_last());
		return EXIT_FAILURE;
	}
	return platform_main(path, check_only, &set);
}

int
main(int argc, char **argv)
{
	struct options options = {
	    .help = arg_lit0("h", "help", "print this help and exit"),
	    .version = arg_lit0("V", "version", "print the version and exit"),
	    .check = arg_lit0(NULL, "check", "check the settings and exit"),
	    .platform = arg_lit0(NULL, "platform",
		"run on the platform with the settings file that it provides"),
	    .file = arg_file0(NULL, NULL, "FILE", "settings file (TOML)"),
	    .end = arg_end(8),
	};
	void *table[] = {options.help, options.version, options.check,
	    options.platform, options.file, options.end};
	int errors = arg_parse(argc, argv, table);
	int result = EXIT_USAGE;

	if (options.help->count > 0) {
		printf("usage: camphord");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-20s %s\n");
		printf("example: camphord /etc/camphor/camphord.toml\n");
		result = EXIT_SUCCESS;
	} else if (options.version->count > 0) {
		printf("camphord %s\n", CAMPHOR_VERSION);
		result = EXIT_SUCCESS;
	} else if (errors > 0) {
		arg_print_errors(stderr, options.end, "camphord");
	} else if (options.platform->count > 0) {
		result = serve_platform(
		    options.file->count > 0 ? options.file->filename[0] : NULL,
		    options.check->count > 0);
	} else if (options.file->count == 0) {
		fprintf(stderr,
		    "camphord: missing settings file; see camphord --help\n");
	} else {
		result =
		    serve(options.file->filename[0], options.check->count > 0);
	}
	arg_freetable(table, sizeof(table) / sizeof(*table));
	return result;
}
