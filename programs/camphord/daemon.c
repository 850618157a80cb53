#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "daemon.h"

/* Time of a drain in which the controllers release duties. */
#define DUTY_RELEASE_MS 1500

static int64_t wall_now(void *ctx);
static int64_t mono_now(void *ctx);
static int start_components(struct daemon *daemon);
static void stop_front(struct daemon *daemon);
static void stop_components(struct daemon *daemon);

static int64_t
wall_now(void *ctx)
{
	(void)ctx;
	return cw_clock_wall_ms();
}

static int64_t
mono_now(void *ctx)
{
	(void)ctx;
	return cw_clock_mono_ms();
}

static int
start_components(struct daemon *daemon)
{
	char url[CW_NAME_BYTES + 8];
	struct pf_http_settings http = {.address = url};
	int code;

	snprintf(
	    url, sizeof(url), "http://%s", daemon->settings.platform_address);
	code = pf_http_create(&daemon->platform_http, &http);
	if (code != CW_OK)
		return code;
	pf_http_platform(daemon->platform_http, &daemon->platform);
	code = wire_state(daemon);
	if (code == CW_OK)
		code = wire_requests(daemon);
	if (code == CW_OK)
		code = wire_fleet(daemon);
	if (code == CW_OK)
		code = wire_sched(daemon);
	if (code == CW_OK)
		code = wire_front(daemon);
	if (code == CW_OK)
		code = wire_controllers(daemon);
	return code;
}

/*
 * Starts all components with daemon->settings, which the caller has filled in;
 * all other fields must be zero. On failure, stops the components that were
 * started; cw_error_last() describes the error.
 */
int
daemon_start(struct daemon *daemon)
{
	int code;

	daemon->self = cw_rng_entropy() >> 1;
	daemon->wall.now_ms = wall_now;
	daemon->mono.now_ms = mono_now;
	pthread_mutex_init(&daemon->image.lock, NULL);
	pthread_mutex_init(&daemon->sched_lock, NULL);
	pthread_rwlock_init(&daemon->peer_lock, NULL);
	rt_rng_seed(daemon->self);
	code = fr_events_create(&daemon->events, ev_sink_get(), &daemon->wall);
	if (code == CW_OK) {
		ev_sink_set(fr_events_sink(daemon->events));
		code = start_components(daemon);
	}
	if (code != CW_OK)
		daemon_stop(daemon);
	return code;
}

/*
 * Applies the CURVE keys and peers of new settings; all else needs a restart,
 * except for the TLS certificate, which the server reloads itself. Messages are
 * lost in the few milliseconds in which the peer links are closed; heartbeats
 * and retries make up for them. On failure returns the error code and leaves
 * the daemon without peer links until the next reload.
 */
int
daemon_reload(struct daemon *daemon, const struct cfg_settings *settings)
{
	struct cfg_settings *own = &daemon->settings;
	struct lk_peer *old_peer;
	int code;

	pthread_rwlock_wrlock(&daemon->peer_lock);
	old_peer = daemon->peer;
	daemon->peer = NULL;
	pthread_rwlock_unlock(&daemon->peer_lock);
	if (old_peer != NULL)
		lk_peer_stop(old_peer);
	memcpy(own->curve_public, settings->curve_public,
	    sizeof(own->curve_public));
	memcpy(own->curve_secret, settings->curve_secret,
	    sizeof(own->curve_secret));
	memcpy(
	    own->curve_peers, settings->curve_peers, sizeof(own->curve_peers));
	memcpy(own->peers, settings->peers, sizeof(own->peers));
	own->curve_peer_count = settings->curve_peer_count;
	own->peer_count = settings->peer_count;
	code = wire_links(daemon);
	if (code != CW_OK)
		ev_emit(
		    EV_DAEMON_RELOAD_FAILED, "error=\"%s\"", cw_error_last());
	else
		ev_emit(EV_DAEMON_RELOADED, "curve_peers=%u",
		    own->curve_peer_count);
	return code;
}

/*
 * Shuts down gracefully: refuses new work, informs load balancer and members,
 * releases duties and waits for requests in flight, at most settings.drain_ms.
 */
void
daemon_drain(struct daemon *daemon)
{
	int64_t until_ms = cw_clock_mono_ms() + daemon->settings.drain_ms;
	uint64_t version = bd_notify_count(daemon->board);

	atomic_store(&daemon->stopping, true);
	fr_drain(daemon->front);
	rt_drain(daemon->route);
	fl_leave(daemon->fleet, false, cw_clock_mono_ms());
	ev_emit(EV_DAEMON_DRAIN, "in_flight=%u", rt_in_flight(daemon->route));
	/* Wakes the fleet controller, which proposes to release duties and
	 * jobs. */
	bd_notify(daemon->board);
	until_ms -= DUTY_RELEASE_MS;
	rt_drain_wait(daemon->route, until_ms - cw_clock_mono_ms());
	until_ms = cw_clock_mono_ms() + DUTY_RELEASE_MS;
	while (cw_clock_mono_ms() < until_ms)
		version = bd_wait(
		    daemon->board, version, until_ms - cw_clock_mono_ms());
	lk_http_server_drain(daemon->server);
	fl_leave(daemon->fleet, true, cw_clock_mono_ms());
}

static void
stop_front(struct daemon *daemon)
{
	if (daemon->server != NULL)
		lk_http_server_stop(daemon->server);
	if (daemon->front != NULL)
		fr_destroy(daemon->front);
	while (daemon->controller_count > 0)
		ctl_stop(daemon->controllers[--daemon->controller_count]);
}

static void
stop_components(struct daemon *daemon)
{
	/* Pending proposals call back into components that are freed below. */
	if (daemon->writer != NULL)
		st_writer_stop(daemon->writer);
	if (daemon->follower != NULL)
		st_follower_stop(daemon->follower);
	if (daemon->writer != NULL)
		st_writer_close(daemon->writer);
	if (daemon->gang != NULL)
		gang_controller_destroy(daemon->gang);
	if (daemon->sched != NULL)
		sch_destroy(daemon->sched);
	if (daemon->peer != NULL)
		lk_peer_stop(daemon->peer);
	if (daemon->proxy != NULL)
		fr_proxy_destroy(daemon->proxy);
	if (daemon->fleet != NULL)
		fl_destroy(daemon->fleet);
	if (daemon->upstream_client != NULL)
		lk_http_client_destroy(daemon->upstream_client);
	if (daemon->route != NULL)
		rt_destroy(daemon->route);
	if (daemon->follower != NULL)
		st_follower_destroy(daemon->follower);
	if (daemon->writer != NULL)
		st_writer_destroy(daemon->writer);
	if (daemon->state != NULL)
		st_destroy(daemon->state);
	if (daemon->board != NULL)
		bd_board_destroy(daemon->board);
	if (daemon->platform_http != NULL)
		pf_http_destroy(daemon->platform_http);
}

/* Stops all components that were started, in reverse order. */
void
daemon_stop(struct daemon *daemon)
{
	atomic_store(&daemon->stopping, true);
	stop_front(daemon);
	stop_components(daemon);
	free(daemon->image.data);
	ev_sink_set(NULL);
	if (daemon->events != NULL)
		fr_events_destroy(daemon->events);
	pthread_rwlock_destroy(&daemon->peer_lock);
	pthread_mutex_destroy(&daemon->sched_lock);
	pthread_mutex_destroy(&daemon->image.lock);
}
