#include <stdlib.h>
#include <string.h>

#include "daemon.h"

static void read_position_digest(
    void *ctx, uint64_t *position, uint64_t *digest);
static uint64_t next_offset(void *ctx);
static int64_t read_unreachable_since_ms(void *ctx);
static int64_t read_confirmed_ms(void *ctx);
static int read_tail(void *ctx, uint64_t from, const struct pf_log_sink *sink);
static int apply_entry(
    void *ctx, uint64_t offset, const void *data, size_t bytes);
static int read_snapshot(void *ctx, uint64_t start, void *buffer,
    size_t bytes_max, size_t *bytes, uint64_t *total, uint64_t *position);
static int load_snapshot(
    void *ctx, uint64_t position, const void *data, size_t bytes);
static void request_rebuild(void *ctx, uint64_t position);
static void each_load(void *ctx,
    void (*each)(void *each_ctx, uint64_t upstream, uint32_t in_flight),
    void *each_ctx);
static void set_peer_load(
    void *ctx, uint64_t member, uint32_t upstream_short_id, uint32_t load);
static void remove_peer_loads(void *ctx, uint64_t member);
static void read_demand(
    void *ctx, uint64_t account, uint32_t *rate_per_s, uint32_t *concurrency);
static int encode_result(void *ctx, uint64_t request_id, uint32_t *http_status,
    void *buffer, size_t bytes_max, size_t *bytes);
static int send_message(
    void *ctx, const char *address, const void *data, size_t bytes);
static int find_peer_key(
    void *ctx, const char *address, char key[LK_PEER_KEY_BYTES]);
static void receive_message(void *ctx, const void *data, size_t bytes);

static void
read_position_digest(void *ctx, uint64_t *position, uint64_t *digest)
{
	struct daemon *daemon = ctx;
	struct st_follower_status status;

	st_follower_status_get(daemon->follower, &status);
	*position = status.position;
	*digest = status.digest;
}

static uint64_t
next_offset(void *ctx)
{
	struct daemon *daemon = ctx;

	return st_next_offset(daemon->state);
}

/* Returns the time of the last contact with the log (monotonic ms) if the log
 * is unreachable, else -1. */
static int64_t
read_unreachable_since_ms(void *ctx)
{
	struct daemon *daemon = ctx;
	struct st_follower_status status;

	st_follower_status_get(daemon->follower, &status);
	return status.log_unreachable ? status.last_contact_ms : -1;
}

static int64_t
read_confirmed_ms(void *ctx)
{
	struct daemon *daemon = ctx;
	struct st_follower_status status;

	st_follower_status_get(daemon->follower, &status);
	return status.confirmed_ms;
}

/* Reads recent log entries; every failure is reported as FL_EEXPIRED. */
static int
read_tail(void *ctx, uint64_t from, const struct pf_log_sink *sink)
{
	struct daemon *daemon = ctx;

	if (cw_is_error(st_follower_tail_read(
		daemon->follower, from, ST_TAIL_BYTES_MAX, sink)))
		return FL_EEXPIRED;
	return CW_OK;
}

static int
apply_entry(void *ctx, uint64_t offset, const void *data, size_t bytes)
{
	struct daemon *daemon = ctx;

	return st_follower_entry_apply(daemon->follower, offset, data, bytes);
}

/* Copies a chunk of a snapshot image for a peer. A read at offset 0 encodes a
 * new image; reads at other offsets continue it. Chunks of the same image have
 * the same position. */
static int
read_snapshot(void *ctx, uint64_t start, void *buffer, size_t bytes_max,
    size_t *bytes, uint64_t *total, uint64_t *position)
{
	struct daemon *daemon = ctx;
	struct daemon_image *image = &daemon->image;
	struct st_image header;
	int code = CW_OK;

	pthread_mutex_lock(&image->lock);
	if (start == 0 || image->data == NULL) {
		free(image->data);
		image->data = NULL;
		code = st_follower_image_encode(
		    daemon->follower, &image->data, &image->bytes);
		if (code == CW_OK)
			code =
			    st_image_header(image->data, image->bytes, &header);
		if (code == CW_OK)
			image->position = header.last_position;
	}
	if (code == CW_OK && start > image->bytes)
		code = FL_EEXPIRED;
	if (code == CW_OK) {
		*bytes = image->bytes - start;
		if (*bytes > bytes_max)
			*bytes = bytes_max;
		memcpy(buffer, (char *)image->data + start, *bytes);
		*total = image->bytes;
		*position = image->position;
	}
	pthread_mutex_unlock(&image->lock);
	return code;
}

static int
load_snapshot(void *ctx, uint64_t position, const void *data, size_t bytes)
{
	struct daemon *daemon = ctx;

	(void)position;
	return st_follower_image_load(daemon->follower, data, bytes);
}

static void
request_rebuild(void *ctx, uint64_t position)
{
	struct daemon *daemon = ctx;

	(void)position;
	st_follower_rebuild_request(daemon->follower);
}

static void
each_load(void *ctx,
    void (*each)(void *each_ctx, uint64_t upstream, uint32_t in_flight),
    void *each_ctx)
{
	struct daemon *daemon = ctx;

	rt_load_each(daemon->route, each, each_ctx);
}

/* Stores the load that a member reports for an upstream. A short id without an
 * upstream is ignored. */
static void
set_peer_load(
    void *ctx, uint64_t member, uint32_t upstream_short_id, uint32_t load)
{
	struct daemon *daemon = ctx;
	const struct bd_runner *upstream;
	struct rt_upstream_load peer_load = {.in_flight = load};
	uint32_t cursor = 0;

	bd_read_begin();
	while ((upstream = bd_runner_next(daemon->board, &cursor)) != NULL)
		if (fl_short_id(upstream->id) == upstream_short_id) {
			peer_load.upstream_id = upstream->id;
			break;
		}
	bd_read_end();
	if (peer_load.upstream_id != 0)
		rt_peer_load_set(daemon->route, member, &peer_load, 1);
}

static void
remove_peer_loads(void *ctx, uint64_t member)
{
	struct daemon *daemon = ctx;

	rt_peer_load_remove(daemon->route, member);
}

/* Returns the demand of an account. The fleet queries all accounts in turn, so
 * the demands of all are read from the router once and cached for half of
 * FL_SHARE_REQUEST_INTERVAL_MS. */
static void
read_demand(
    void *ctx, uint64_t account, uint32_t *rate_per_s, uint32_t *concurrency)
{
	struct daemon *daemon = ctx;
	static _Thread_local struct rt_demand demands[FL_ACCOUNTS_MAX];
	static _Thread_local size_t count;
	static _Thread_local int64_t read_ms;
	int64_t now_ms = cw_clock_mono_ms();
	size_t i;

	if (now_ms - read_ms >= FL_SHARE_REQUEST_INTERVAL_MS / 2) {
		count = rt_demand_read(daemon->route, demands, FL_ACCOUNTS_MAX);
		read_ms = now_ms;
	}
	*rate_per_s = 0;
	*concurrency = 0;
	for (i = 0; i < count; i++)
		if (demands[i].account == account) {
			*rate_per_s = demands[i].rate_per_s;
			*concurrency = demands[i].concurrency;
		}
}

static int
encode_result(void *ctx, uint64_t request_id, uint32_t *http_status,
    void *buffer, size_t bytes_max, size_t *bytes)
{
	struct daemon *daemon = ctx;

	return fr_proxy_result_encode(
	    daemon->route, request_id, http_status, buffer, bytes_max, bytes);
}

static int
send_message(void *ctx, const char *address, const void *data, size_t bytes)
{
	struct daemon *daemon = ctx;
	int code = FL_EUNREACHABLE;

	pthread_rwlock_rdlock(&daemon->peer_lock);
	if (daemon->peer != NULL)
		code = lk_peer_send(daemon->peer, address, data, bytes);
	pthread_rwlock_unlock(&daemon->peer_lock);
	return code;
}

/* Returns the public CURVE key of the daemon at an address. curve_peers lists
 * the keys of the daemons in peers, in the same order; all others have the same
 * key pair as this one. */
static int
find_peer_key(void *ctx, const char *address, char key[LK_PEER_KEY_BYTES])
{
	struct daemon *daemon = ctx;
	const struct cfg_settings *settings = &daemon->settings;
	uint32_t i;

	memcpy(key, settings->curve_public, LK_PEER_KEY_BYTES);
	for (i = 0; i < settings->curve_peer_count; i++)
		if (strcmp(settings->peers[i], address) == 0)
			memcpy(
			    key, settings->curve_peers[i], LK_PEER_KEY_BYTES);
	return CW_OK;
}

static void
receive_message(void *ctx, const void *data, size_t bytes)
{
	struct daemon *daemon = ctx;

	fl_receive(daemon->fleet, data, bytes, cw_clock_mono_ms());
}

/* Creates the fleet and its peer links. */
int
wire_fleet(struct daemon *daemon)
{
	const struct cfg_settings *settings = &daemon->settings;
	struct fl_options *options = calloc(1, sizeof(*options));
	int code;

	if (options == NULL)
		return CW_ENOMEM;
	options->board = daemon->board;
	options->self.id = daemon->self;
	options->self.zone = cw_id_from_name(settings->zone);
	options->self.region = cw_id_from_name(settings->region);
	memcpy(options->self.name, settings->name, CW_NAME_BYTES);
	memcpy(
	    options->self.peer_address, settings->peer_address, CW_NAME_BYTES);
	memcpy(
	    options->self.http_address, settings->http_address, CW_NAME_BYTES);
	options->started_ms = cw_clock_wall_ms();
	options->seed_count = settings->peer_count;
	memcpy(options->seeds, settings->peers, sizeof(settings->peers));
	options->sink = daemon->sink;
	options->transport.send = send_message;
	options->transport.ctx = daemon;
	options->state = (struct fl_state_hooks){read_position_digest,
	    next_offset, read_unreachable_since_ms, read_confirmed_ms,
	    read_tail, apply_entry, read_snapshot, load_snapshot,
	    request_rebuild, daemon};
	options->route = (struct fl_route_hooks){each_load, set_peer_load,
	    remove_peer_loads, read_demand, encode_result, NULL, daemon};
	options->vms = daemon->platform.vms;
	options->wall = daemon->wall;
	code = fl_create(&daemon->fleet, options, cw_clock_mono_ms());
	free(options);
	if (code != CW_OK)
		return code;
	return wire_links(daemon);
}

/* Opens the links to the other daemons with the CURVE keys in the settings.
 * Returns the error code of lk_peer_start(). */
int
wire_links(struct daemon *daemon)
{
	const struct cfg_settings *settings = &daemon->settings;
	struct lk_peer_options links = {
	    .bind = settings->peer_address,
	    .lookup_key = find_peer_key,
	    .receive = receive_message,
	    .ctx = daemon,
	};
	struct lk_peer *peer;
	int code;

	memcpy(links.public_key, settings->curve_public, LK_PEER_KEY_BYTES);
	memcpy(links.secret_key, settings->curve_secret, LK_PEER_KEY_BYTES);
	links.allowed_count = settings->curve_peer_count;
	memcpy(links.allowed, settings->curve_peers,
	    sizeof(settings->curve_peers));
	code = lk_peer_start(&peer, &links);
	if (code != CW_OK)
		return code;
	pthread_rwlock_wrlock(&daemon->peer_lock);
	daemon->peer = peer;
	pthread_rwlock_unlock(&daemon->peer_lock);
	return CW_OK;
}
