#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "adapter.h"
#include "camphor_version.h"
#include "daemon.h"

#define SETTINGS_VARIABLE "CAMPHORWORKS_SETTINGS"

static void reload(struct pl_system *system, const char *path);

static void
reload(struct pl_system *system, const char *path)
{
	struct pl_settings settings;

	if (pl_settings_load(path, &settings) == CW_OK)
		pl_system_reload(system, &settings);
	else
		ev_emit(EV_DAEMON_RELOAD_FAILED, "file=%s reason=\"%s\"", path,
		    cw_error_last());
}

/*
 * Runs the daemon on the platform until SIGTERM or SIGINT; SIGHUP reloads the
 * settings. path is the settings file, or NULL for the one that the environment
 * variable SETTINGS_VARIABLE names. check_only only checks the settings. The
 * signals in set must be blocked in all threads. Returns the exit code.
 */
int
platform_main(const char *path, bool check_only, const sigset_t *set)
{
	struct pl_settings settings;
	struct pl_system *system;
	int signal_number = 0;

	if (path == NULL)
		path = getenv(SETTINGS_VARIABLE);
	if (path == NULL) {
		fprintf(stderr, "camphord: %s is not set\n", SETTINGS_VARIABLE);
		return EXIT_FAILURE;
	}
	if (pl_settings_load(path, &settings) != CW_OK) {
		fprintf(stderr, "camphord: %s: %s\n", path, cw_error_last());
		return EXIT_FAILURE;
	}
	if (check_only) {
		printf("%s: valid settings of VM %s\n"
		       "threads for clients: %u\n"
		       "connections kept: %u\n"
		       "places jobs: %s\n",
		    path, settings.node, settings.front_threads,
		    settings.connections_max,
		    settings.flow.fallback_only ? "only if no other VM does"
						: "yes");
		return EXIT_SUCCESS;
	}
	if (pl_system_start(&system, &settings) != CW_OK) {
		fprintf(stderr, "camphord: %s\n", cw_error_last());
		return EXIT_FAILURE;
	}
	ev_emit(EV_DAEMON_START, "name=%s version=%s http=%s zone=%s",
	    settings.node, CAMPHOR_VERSION, settings.front_address,
	    settings.zone);
	while (sigwait(set, &signal_number) == 0 && signal_number == SIGHUP)
		reload(system, path);
	ev_emit(EV_DAEMON_DRAIN, "signal=%d", signal_number);
	pl_system_drain(system);
	ev_emit(EV_DAEMON_STOP, "signal=%d", signal_number);
	/* Skips the cleanup: no resource outlives the process, and stopping the
	 * servers waits for idle connections, longer than the platform allows
	 * before it kills the process. */
	_exit(EXIT_SUCCESS);
}
