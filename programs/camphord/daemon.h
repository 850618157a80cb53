#ifndef CAMPHORD_DAEMON_H
#define CAMPHORD_DAEMON_H

#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdbool.h>

#include "board.h"
#include "config.h"
#include "fleet.h"
#include "front.h"
#include "gang.h"
#include "http_client.h"
#include "http_server.h"
#include "peer.h"
#include "platform.h"
#include "proxy.h"
#include "route.h"
#include "scheduler.h"
#include "state.h"

#define DAEMON_CONTROLLERS_MAX 16

/* The snapshot image that a peer reads in chunks. */
struct daemon_image {
	pthread_mutex_t lock;
	void *data;
	size_t bytes;
	uint64_t position;
};

/* The components of one process, created in the order of the fields and
 * destroyed in reverse. */
struct daemon {
	struct cfg_settings settings;
	uint64_t self; /* incarnation of this process */
	struct ctl_clock wall;
	struct ctl_clock mono;
	struct fr_events *events;
	struct bd_board *board;
	struct pf_http *platform_http;
	struct pf_platform platform;
	struct st_state *state;
	struct st_follower *follower;
	struct st_writer *writer;
	struct st_sink sink;
	struct st_snapshotter snapshotter;
	struct daemon_image image;
	struct rt_router *route;
	struct lk_http_client *upstream_client;
	struct lk_peer *peer;       /* NULL while keys are reloaded */
	pthread_rwlock_t peer_lock; /* protects peer */
	struct fl_fleet *fleet;
	struct sch *sched;
	pthread_mutex_t sched_lock; /* serializes sch_step and sch_explain */
	struct gang_controller *gang;
	struct fr_proxy *proxy;
	struct fr_front *front;
	struct lk_http_server *server;
	struct ctl *controllers[DAEMON_CONTROLLERS_MAX];
	size_t controller_count;
	atomic_bool stopping;
};

int daemon_start(struct daemon *daemon);
int daemon_reload(struct daemon *daemon, const struct cfg_settings *settings);
void daemon_drain(struct daemon *daemon);
void daemon_stop(struct daemon *daemon);

/* wire_*.c: each creates a group of components and connects them. Returns the
 * error code of the component that failed. */
int wire_state(struct daemon *daemon);
int wire_fleet(struct daemon *daemon);
int wire_links(struct daemon *daemon);
int wire_sched(struct daemon *daemon);
int wire_requests(struct daemon *daemon);
int wire_front(struct daemon *daemon);
int wire_controllers(struct daemon *daemon);

int platform_main(const char *path, bool check_only, const sigset_t *set);

#endif
