#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "daemon.h"

/* Accepted connections that wait for a server thread. */
#define CONNECTION_QUEUE_MAX 256

static bool is_ready(void *ctx);
static void start_drain(void *ctx);
static void log_state(void *ctx, struct fr_log_state *out);
static int explain(
    void *ctx, uint64_t job, int64_t now_ms, struct sch_explanation *out);
static void collect_platform_metrics(void *ctx, struct fr_metric_out *out);

static bool
is_ready(void *ctx)
{
	struct daemon *daemon = ctx;
	struct st_follower_status status;

	st_follower_status_get(daemon->follower, &status);
	return status.ready && !atomic_load(&daemon->stopping);
}

/* Signals the main thread, which runs the graceful shutdown. */
static void
start_drain(void *ctx)
{
	(void)ctx;
	kill(getpid(), SIGTERM);
}

static void
log_state(void *ctx, struct fr_log_state *out)
{
	struct daemon *daemon = ctx;
	struct st_follower_status status;

	st_follower_status_get(daemon->follower, &status);
	out->position = status.position;
	out->lag_ms = cw_clock_mono_ms() - status.last_contact_ms;
	out->reachable = !status.log_unreachable;
}

static int
explain(void *ctx, uint64_t job, int64_t now_ms, struct sch_explanation *out)
{
	struct daemon *daemon = ctx;
	int code;

	pthread_mutex_lock(&daemon->sched_lock);
	code = sch_explain(daemon->sched, job, now_ms, out);
	pthread_mutex_unlock(&daemon->sched_lock);
	return code;
}

/* Emits the samples of a metric family together, as the text format requires.
 */
static void
collect_platform_metrics(void *ctx, struct fr_metric_out *out)
{
	struct daemon *daemon = ctx;
	struct pf_traffic traffic[PF_TRAFFIC_KINDS];
	struct fr_metric metric = {
	    .kind = FR_METRIC_COUNTER,
	    .label_count = 1,
	    .labels = {{"kind", NULL}},
	};
	uint32_t kind;
	uint32_t family;

	pf_http_traffic(daemon->platform_http, traffic);
	for (family = 0; family < 3; family++)
		for (kind = 0; kind < PF_TRAFFIC_KINDS; kind++) {
			const struct pf_traffic *counters = &traffic[kind];
			const struct {
				const char *name;
				const char *help;
				uint64_t value;
			} families[] = {
			    {"platform_calls_total",
				"Calls to the platform, by kind.",
				counters->calls},
			    {"platform_sent_bytes_total",
				"Bytes sent to the platform, by kind.",
				counters->sent_bytes},
			    {"platform_received_bytes_total",
				"Bytes received from the platform, by kind.",
				counters->received_bytes},
			};

			metric.name = families[family].name;
			metric.help = families[family].help;
			metric.labels[0].value = pf_traffic_name(kind);
			metric.value = (double)families[family].value;
			out->emit(out->ctx, &metric);
		}
}

/* Creates the HTTP interface and starts its server. */
int
wire_front(struct daemon *daemon)
{
	struct lk_http_server_config server;
	struct lk_http_route routes[LK_HTTP_ROUTES_MAX];
	struct fr_options options;
	size_t count;
	int code;

	fr_options_default(&options);
	options.board = daemon->board;
	options.sink = daemon->sink;
	options.wall = daemon->wall;
	options.mono = daemon->mono;
	options.self = daemon->self;
	memcpy(options.vm, daemon->settings.name, CW_NAME_BYTES);
	options.hooks.guarantee_check = fr_guarantee_check;
	options.hooks.guarantee_check_ctx = daemon->board;
	options.hooks.explain = explain;
	options.hooks.explain_ctx = daemon;
	options.hooks.ready = is_ready;
	options.hooks.ready_ctx = daemon;
	options.hooks.drain = start_drain;
	options.hooks.drain_ctx = daemon;
	options.hooks.log_state = log_state;
	options.hooks.log_state_ctx = daemon;
	options.log = &daemon->platform.log;
	options.events = daemon->events;
	options.sources[options.source_count++] =
	    fr_metric_source_route(daemon->route);
	options.sources[options.source_count++] =
	    fr_metric_source_fleet(daemon->fleet);
	options.sources[options.source_count++] =
	    fr_metric_source_writer(daemon->writer);
	options.sources[options.source_count++] =
	    fr_metric_source_follower(daemon->follower);
	options.sources[options.source_count++] =
	    (struct fr_metric_source){collect_platform_metrics, daemon};
	options.waiters_max = daemon->settings.http_threads / 4 + 1;
	code = fr_create(&daemon->front, &options);
	if (code != CW_OK)
		return code;
	count = fr_routes(daemon->front, routes, LK_HTTP_ROUTES_MAX - 2);
	routes[count++] = (struct lk_http_route){"POST", FR_PROXY_SERVICES_PATH,
	    FR_PROXY_BODY_BYTES_MAX, fr_proxy_handle_post, daemon->proxy};
	routes[count++] = (struct lk_http_route){"GET", FR_PROXY_REQUESTS_PATH,
	    0, fr_proxy_handle_get, daemon->proxy};
	lk_http_server_config_default(&server);
	server.address = daemon->settings.http_address;
	server.tls_certificate = daemon->settings.tls_certificate;
	server.threads = daemon->settings.http_threads;
	server.queue = CONNECTION_QUEUE_MAX;
	server.routes = routes;
	server.route_count = count;
	return lk_http_server_start(&daemon->server, &server);
}
