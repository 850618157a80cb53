#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

/* A request path whose answer is a list of rows, and its columns. */
struct view {
	const char *path;
	const char *rows_key; /* key of the list in the answer */
	const struct cli_column *columns;
	size_t column_count;
};

static void print_view(const void *ctx, const json_t *answer);
static enum cli_exit run_view(const void *ctx, struct ctl_session *ctl);
static void print_events(const void *ctx, const json_t *answer);
static enum cli_exit run_events(const void *ctx, struct ctl_session *ctl);
static void print_drain(const void *ctx, const json_t *answer);
static enum cli_exit run_drain(const void *ctx, struct ctl_session *ctl);
static bool add_time(const struct ctl_session *ctl, struct cli_call *call,
    const char *option, const char *query, const char *default_text);
static enum cli_exit run_report(const void *ctx, struct ctl_session *ctl);

static const struct cli_column account_columns[] = {
    {"ACCOUNT", "name", CLI_CELL_TEXT},
    {"ROLE", "role", CLI_CELL_TEXT},
    {"QUOTA", "quota", CLI_CELL_NUMBER},
    {"WEIGHT", "weight", CLI_CELL_NUMBER},
    {"PROMISED", "promised", CLI_CELL_NUMBER},
    {"USED", "used_guaranteed", CLI_CELL_NUMBER},
    {"BORROWED", "borrowed", CLI_CELL_NUMBER},
    {"RECLAIMABLE", "reclaimable", CLI_CELL_NUMBER},
    {"RUNNING", "running_jobs", CLI_CELL_NUMBER},
    {"WAITING", "waiting_jobs", CLI_CELL_NUMBER},
    {"WANTED", "waiting_accelerators", CLI_CELL_NUMBER},
    {"RATE", "rate", CLI_CELL_NUMBER},
    {"CONCURRENCY", "concurrency", CLI_CELL_NUMBER},
    {"SHORT SINCE", "short_since_ms", CLI_CELL_TIME},
};
static const struct cli_column worker_columns[] = {
    {"WORKER", "name", CLI_CELL_TEXT},
    {"STATE", "state", CLI_CELL_TEXT},
    {"REGION", "region", CLI_CELL_TEXT},
    {"ZONE", "zone", CLI_CELL_TEXT},
    {"RACK", "rack", CLI_CELL_TEXT},
    {"ACCEL", "accelerators", CLI_CELL_NUMBER},
    {"USED", "used_mask", CLI_CELL_BITS},
    {"PLANNED", "planned_mask", CLI_CELL_BITS},
    {"CORES", "cores", CLI_CELL_NUMBER},
    {"USED", "used_cores", CLI_CELL_NUMBER},
    {"MEMORY MB", "memory_mb", CLI_CELL_NUMBER},
    {"USED", "used_memory_mb", CLI_CELL_NUMBER},
    {"FAILURES", "consecutive_failures", CLI_CELL_NUMBER},
    {"QUARANTINE UNTIL", "quarantine_until_ms", CLI_CELL_TIME},
};
static const struct cli_column upstream_columns[] = {
    {"SERVICE", "service", CLI_CELL_TEXT},
    {"ADDRESS", "address", CLI_CELL_TEXT},
    {"HEALTH", "health", CLI_CELL_TEXT},
    {"LEAVING", "leaving", CLI_CELL_FLAG},
    {"SLOTS", "slots", CLI_CELL_NUMBER},
    {"CONNECTIONS", "connections", CLI_CELL_NUMBER},
    {"EJECTIONS", "ejections", CLI_CELL_NUMBER},
    {"UNTIL", "until_ms", CLI_CELL_TIME},
};
static const struct cli_column member_columns[] = {
    {"MEMBER", "name", CLI_CELL_TEXT},
    {"SELF", "self", CLI_CELL_FLAG},
    {"STATE", "state", CLI_CELL_TEXT},
    {"HTTP", "http", CLI_CELL_TEXT},
    {"PEER", "peer", CLI_CELL_TEXT},
    {"CONFIG", "config_version", CLI_CELL_NUMBER},
    {"POSITION", "position", CLI_CELL_NUMBER},
    {"HEARD", "heard_ms", CLI_CELL_TIME},
    {"DIGEST", "digest", CLI_CELL_TEXT},
};
static const struct cli_column zone_columns[] = {
    {"ZONE", "name", CLI_CELL_TEXT},
    {"SINCE", "since_ms", CLI_CELL_TIME},
    {"WORKERS", "workers", CLI_CELL_NUMBER},
    {"RUNS", "runs", CLI_CELL_NUMBER},
};
static const struct cli_column event_columns[] = {
    {"SEQUENCE", "sequence", CLI_CELL_NUMBER},
    {"TIME", "time_ms", CLI_CELL_TIME},
    {"EVENT", "number", CLI_CELL_NUMBER},
    {"LEVEL", "level", CLI_CELL_TEXT},
    {"LINE", "line", CLI_CELL_TEXT},
};

static void
print_view(const void *ctx, const json_t *answer)
{
	const struct view *view = ctx;

	if (cli_table_print(json_object_get(answer, view->rows_key),
		view->columns, view->column_count, stdout) != CW_OK)
		ctl_message("%s", cw_error_last());
}

/* camphorctl accounts, workers, upstreams, members and zones; ctx is the view.
 */
static enum cli_exit
run_view(const void *ctx, struct ctl_session *ctl)
{
	const struct view *view = ctx;
	struct cli_call call;

	ctl_call_init(ctl, &call, "GET", "%s", view->path);
	return ctl_call_print(ctl, &call, print_view, view);
}

static void
print_events(const void *ctx, const json_t *answer)
{
	json_int_t lost = json_integer_value(json_object_get(answer, "lost"));

	(void)ctx;
	cli_table_print(json_object_get(answer, "events"), event_columns,
	    CTL_COUNT(event_columns), stdout);
	if (lost > 0)
		ctl_message("%" JSON_INTEGER_FORMAT
			    " earlier events are no longer kept",
		    lost);
}

/* camphorctl events [--after N] [--limit N] */
static enum cli_exit
run_events(const void *ctx, struct ctl_session *ctl)
{
	struct cli_call call;
	int64_t after = 0;
	int64_t limit = 1024;

	if (!ctl_args_number(ctl->args, "after", 0, INT64_MAX, &after) ||
	    !ctl_args_number(ctl->args, "limit", 1, 1024, &limit))
		return CLI_EXIT_USAGE;
	ctl_call_init(ctl, &call, "GET",
	    "/v1/events?after=%" PRId64 "&limit=%" PRId64, after, limit);
	return ctl_call_print(ctl, &call, print_events, ctx);
}

static void
print_drain(const void *ctx, const json_t *answer)
{
	(void)answer;
	printf("%s has started its graceful shutdown\n", (const char *)ctx);
}

/* camphorctl drain: needs one server, so that no other VM is drained instead.
 */
static enum cli_exit
run_drain(const void *ctx, struct ctl_session *ctl)
{
	struct cli_call call;

	(void)ctx;
	if (ctl->servers.count != 1) {
		ctl_message("drain needs exactly one --server, the VM to "
			    "shut down");
		return CLI_EXIT_USAGE;
	}
	ctl_call_init(ctl, &call, "POST", "/v1/drain");
	call.body = "";
	call.is_single_attempt = true;
	return ctl_call_print(ctl, &call, print_drain, ctl->servers.address[0]);
}

/* Adds the time given by an option, else by default_text, to the query. Prints
 * a message and returns false if it is invalid. */
static bool
add_time(const struct ctl_session *ctl, struct cli_call *call,
    const char *option, const char *query, const char *default_text)
{
	const char *text = ctl_args_text(ctl->args, option);
	char number[24];
	int64_t ms;

	if (cli_time_parse(text == NULL ? default_text : text,
		cw_clock_wall_ms(), &ms) != CW_OK) {
		ctl_message("--%s: %s", option, cw_error_last());
		return false;
	}
	snprintf(number, sizeof(number), "%" PRId64, ms);
	ctl_call_query(call, query, number);
	return true;
}

/* camphorctl report [--from T] [--to T] [--format F] */
static enum cli_exit
run_report(const void *ctx, struct ctl_session *ctl)
{
	const char *format = ctl_args_text(ctl->args, "format");
	struct cli_answer answer;
	struct cli_call call;
	enum cli_exit code;

	(void)ctx;
	if (format == NULL)
		format = "text";
	if (strcmp(format, "text") != 0 && strcmp(format, "csv") != 0 &&
	    strcmp(format, "plot") != 0) {
		ctl_message("--format must be text, csv or plot");
		return CLI_EXIT_USAGE;
	}
	ctl_call_init(ctl, &call, "GET", "/v1/report");
	if (!add_time(ctl, &call, "from", "from_ms", "-24h") ||
	    !add_time(ctl, &call, "to", "to_ms", "now"))
		return CLI_EXIT_USAGE;
	ctl_call_query(&call, "format", format);
	/* The server has to read the log for the whole period. */
	if (!ctl->is_timeout_given)
		call.timeout_ms = 60000;
	code = ctl_call_run(ctl, &call, &answer);
	if (code == CLI_EXIT_OK)
		ctl_write_body(&answer);
	cli_answer_free(&answer);
	return code;
}

static const struct view accounts = {
    "/v1/accounts", "accounts", CTL_OPTIONS(account_columns)};
static const struct view workers = {
    "/v1/workers", "workers", CTL_OPTIONS(worker_columns)};
static const struct view upstreams = {
    "/v1/upstreams", "upstreams", CTL_OPTIONS(upstream_columns)};
static const struct view members = {
    "/v1/members", "members", CTL_OPTIONS(member_columns)};

static const struct view zones = {"/zones", "zones", CTL_OPTIONS(zone_columns)};

static const struct ctl_option event_options[] = {
    {"after", CTL_TEXT, "N", "events after this sequence number (0)"},
    {"limit", CTL_TEXT, "N", "number of events, 1 to 1024 (1024)"},
};
static const struct ctl_option report_options[] = {
    {"from", CTL_TEXT, "TIME",
	"2027-01-31, 2027-01-31T08:00, -24h or milliseconds; UTC (-24h)"},
    {"to", CTL_TEXT, "TIME", "end of the period (now)"},
    {"format", CTL_TEXT, "FORMAT", "text, csv or plot (text)"},
};

static const struct ctl_command commands[] = {
    {"accounts", "show guarantees, use and waiting jobs of each account",
	"  camphorctl accounts\n", NULL, 0, run_view, &accounts, false},
    {"workers", "list workers with their use, plans and quarantine",
	"  camphorctl workers\n", NULL, 0, run_view, &workers, false},
    {"upstreams", "list upstreams of the services and their health",
	"  camphorctl upstreams --server 10.1.1.1:8080\n", NULL, 0, run_view,
	&upstreams, false},
    {"members", "list entry VMs as seen by the queried one",
	"  camphorctl members\n", NULL, 0, run_view, &members, false},
    {"zones", "list evacuated zones, by a metrics port of camphord --platform",
	"  camphorctl zones --server 10.1.1.1:7000\n", NULL, 0, run_view,
	&zones, false},
    {"events", "print the latest events of a VM, see docs/events.md",
	"  camphorctl events --server 10.1.1.1:8080 --limit 50\n",
	CTL_OPTIONS(event_options), run_events, NULL, false},
    {"drain", "start the graceful shutdown of one entry VM",
	"  camphorctl drain --server 10.1.1.1:8080\n", NULL, 0, run_drain, NULL,
	false},
    {"report", "report promised, requested, used and lost time by account",
	"  camphorctl report --from 2027-01-01 --to 2027-02-01\n"
	"  camphorctl report --from -7d --format csv >week.csv\n"
	"  camphorctl report --format plot | gnuplot -p\n",
	CTL_OPTIONS(report_options), run_report, NULL, false},
};
const struct ctl_group ctl_view_group = {CTL_OPTIONS(commands)};
