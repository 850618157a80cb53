#include <assert.h>

#include "daemon.h"

/* Upstream connections are closed after being idle for this long. */
#define CLIENT_IDLE_TIMEOUT_MS 60000
#define CLIENT_SWEEP_INTERVAL_MS 10000

static int64_t step_sched(void *ctx, int64_t now_ms);
static int64_t step_index(void *ctx, int64_t now_ms);
static int64_t step_health(void *ctx, int64_t now_ms);
static int64_t step_answers(void *ctx, int64_t now_ms);
static int64_t step_idempotency(void *ctx, int64_t now_ms);
static int64_t step_client(void *ctx, int64_t now_ms);
static int start_controller(struct daemon *daemon,
    const struct ctl_clock *clock, const char *name,
    int64_t (*step)(void *ctx, int64_t now_ms), void *ctx);

static int64_t
step_sched(void *ctx, int64_t now_ms)
{
	struct daemon *daemon = ctx;
	int64_t next_ms;

	pthread_mutex_lock(&daemon->sched_lock);
	next_ms = sch_step(daemon->sched, now_ms);
	pthread_mutex_unlock(&daemon->sched_lock);
	return next_ms;
}

static int64_t
step_index(void *ctx, int64_t now_ms)
{
	struct daemon *daemon = ctx;

	return rt_index_step(daemon->route, now_ms);
}

static int64_t
step_health(void *ctx, int64_t now_ms)
{
	struct daemon *daemon = ctx;

	return rt_health_step(daemon->route, now_ms);
}

static int64_t
step_answers(void *ctx, int64_t now_ms)
{
	struct daemon *daemon = ctx;

	return rt_answer_step(daemon->route, now_ms);
}

static int64_t
step_idempotency(void *ctx, int64_t now_ms)
{
	struct daemon *daemon = ctx;

	return rt_idempotency_step(daemon->route, &daemon->sink, now_ms);
}

static int64_t
step_client(void *ctx, int64_t now_ms)
{
	struct daemon *daemon = ctx;

	lk_http_client_close_idle(
	    daemon->upstream_client, now_ms, CLIENT_IDLE_TIMEOUT_MS);
	return now_ms + CLIENT_SWEEP_INTERVAL_MS;
}

static int
start_controller(struct daemon *daemon, const struct ctl_clock *clock,
    const char *name, int64_t (*step)(void *ctx, int64_t now_ms), void *ctx)
{
	struct ctl_spec spec = {name, step, ctx};
	int code;

	assert(daemon->controller_count < DAEMON_CONTROLLERS_MAX);
	code = ctl_start(&daemon->controllers[daemon->controller_count],
	    daemon->board, &spec, clock);
	if (code == CW_OK)
		daemon->controller_count++;
	return code;
}

/* Starts a thread for each controller. Scheduler and gang controller use the
 * wall clock, whose times are stored in records, the others the monotonic
 * clock. */
int
wire_controllers(struct daemon *daemon)
{
	const struct {
		const struct ctl_clock *clock;
		const char *name;
		int64_t (*step)(void *ctx, int64_t now_ms);
		void *ctx;
	} list[] = {
	    {&daemon->mono, "fleet", fl_step, daemon->fleet},
	    {&daemon->mono, "vms", fl_vms_step, daemon->fleet},
	    {&daemon->mono, "snapshot", st_snapshot_step, &daemon->snapshotter},
	    {&daemon->wall, "sched", step_sched, daemon},
	    {&daemon->wall, "gang", gang_controller_step, daemon->gang},
	    {&daemon->mono, "index", step_index, daemon},
	    {&daemon->mono, "health", step_health, daemon},
	    {&daemon->mono, "answers", step_answers, daemon},
	    {&daemon->mono, "once", step_idempotency, daemon},
	    {&daemon->mono, "client", step_client, daemon},
	    {&daemon->mono, "events", fr_events_step, daemon->events},
	};
	size_t i;
	int code = CW_OK;

	for (i = 0; i < sizeof(list) / sizeof(*list) && code == CW_OK; i++)
		code = start_controller(daemon, list[i].clock, list[i].name,
		    list[i].step, list[i].ctx);
	return code;
}
