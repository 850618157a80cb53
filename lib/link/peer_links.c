#include <stdio.h>
#include <string.h>

#include <zmq.h>

#include "peer_internal.h"

/* The connecting side pings every PING_INTERVAL_MS and closes the connection if
 * the answer takes longer than PING_TIMEOUT_MS; the accepting side closes it if
 * no ping arrives within PING_TTL_MS. Pings every 5 s from both sides would
 * cost 620 B/s with packet overhead. */
#define PING_INTERVAL_MS 10000
#define PING_TIMEOUT_MS 3000
#define PING_TTL_MS 30000
#define RECONNECT_MIN_MS 100
#define RECONNECT_MAX_MS 1000
#define HANDSHAKE_TIMEOUT_MS 2000
/* Time for which closing a socket still sends its queued messages. */
#define LINGER_MS 300

static int set_int(void *socket, int option, int value);
static int set_client_keys(
    const struct lk_peer *peer, const char *address, void *dealer);
static void *connect_dealer(const struct lk_peer *peer, const char *address);
static struct lk_peer_link *allocate_link(struct lk_peer *peer);

static int
set_int(void *socket, int option, int value)
{
	return zmq_setsockopt(socket, option, &value, sizeof(value));
}

/* Sets the queue limits and timeouts of a socket. Returns 0, or -1 if libzmq
 * refuses an option. */
int
lk_peer_set_limits(void *socket)
{
	static const int options[][2] = {
	    {ZMQ_LINGER, LINGER_MS},
	    {ZMQ_SNDHWM, LK_PEER_LINK_QUEUE_MAX},
	    {ZMQ_RCVHWM, LK_PEER_QUEUE_MAX},
	    {ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS},
	    {ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS},
	    {ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS},
	};
	int64_t bytes_max = (int64_t)LK_PEER_MESSAGE_BYTES_MAX;
	size_t i;

	for (i = 0; i < sizeof(options) / sizeof(*options); i++)
		if (set_int(socket, options[i][0], options[i][1]) != 0)
			return -1;
	return zmq_setsockopt(
	    socket, ZMQ_MAXMSGSIZE, &bytes_max, sizeof(bytes_max));
}

static int
set_client_keys(const struct lk_peer *peer, const char *address, void *dealer)
{
	const struct lk_peer_options *options = &peer->options;
	char server_key[LK_PEER_KEY_BYTES];

	if (!peer->curve)
		return 0;
	memcpy(server_key, options->public_key, sizeof(server_key));
	if (options->lookup_key != NULL &&
	    options->lookup_key(options->ctx, address, server_key) != CW_OK)
		return -1;
	if (zmq_setsockopt(dealer, ZMQ_CURVE_SERVERKEY, server_key,
		sizeof(server_key)) != 0 ||
	    zmq_setsockopt(dealer, ZMQ_CURVE_PUBLICKEY, options->public_key,
		LK_PEER_KEY_BYTES) != 0 ||
	    zmq_setsockopt(dealer, ZMQ_CURVE_SECRETKEY, options->secret_key,
		LK_PEER_KEY_BYTES) != 0)
		return -1;
	return 0;
}

static void *
connect_dealer(const struct lk_peer *peer, const char *address)
{
	char endpoint[LK_PEER_ADDRESS_BYTES + 8];
	void *dealer = zmq_socket(peer->zmq, ZMQ_DEALER);

	if (dealer == NULL)
		return NULL;
	snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
	/* ZMQ_IMMEDIATE: messages are queued only for a completed connection. A
	 * heartbeat that is delivered late would be worse than none. */
	if (lk_peer_set_limits(dealer) != 0 ||
	    set_int(dealer, ZMQ_IMMEDIATE, 1) != 0 ||
	    set_int(dealer, ZMQ_HEARTBEAT_IVL, PING_INTERVAL_MS) != 0 ||
	    set_int(dealer, ZMQ_HEARTBEAT_TIMEOUT, PING_TIMEOUT_MS) != 0 ||
	    set_int(dealer, ZMQ_HEARTBEAT_TTL, PING_TTL_MS) != 0 ||
	    set_client_keys(peer, address, dealer) != 0 ||
	    zmq_connect(dealer, endpoint) != 0) {
		zmq_close(dealer);
		return NULL;
	}
	return dealer;
}

/* Returns an unused entry, or the least recently used one after closing its
 * socket. */
static struct lk_peer_link *
allocate_link(struct lk_peer *peer)
{
	struct lk_peer_link *least_recent = &peer->links[0];
	uint32_t i;

	if (peer->link_count < LK_PEER_LINKS_MAX)
		return &peer->links[peer->link_count++];
	for (i = 1; i < peer->link_count; i++)
		if (peer->links[i].last_use < least_recent->last_use)
			least_recent = &peer->links[i];
	zmq_close(least_recent->dealer);
	return least_recent;
}

/* Returns the link to an address, connected at its first use; NULL if the
 * address is invalid or its key is unknown. */
struct lk_peer_link *
lk_peer_link_get(struct lk_peer *peer, const char *address)
{
	struct lk_peer_link *link;
	void *dealer;
	uint32_t i;

	for (i = 0; i < peer->link_count; i++)
		if (strcmp(peer->links[i].address, address) == 0) {
			peer->links[i].last_use = ++peer->use_counter;
			peer->links[i].used_ms = cw_clock_mono_ms();
			return &peer->links[i];
		}
	dealer = connect_dealer(peer, address);
	if (dealer == NULL)
		return NULL;
	link = allocate_link(peer);
	memcpy(link->address, address, strlen(address) + 1);
	link->dealer = dealer;
	link->last_use = ++peer->use_counter;
	link->used_ms = cw_clock_mono_ms();
	return link;
}

/* Closes the links that have been idle for too long. Returns the time until the
 * next one may have to be closed, -1 if there is none. */
int64_t
lk_peer_links_close_idle(struct lk_peer *peer, int64_t now_ms)
{
	int64_t next_ms = -1;
	uint32_t i = 0;

	if (peer->options.idle_close_ms == 0)
		return -1;
	while (i < peer->link_count) {
		int64_t left_ms = peer->links[i].used_ms +
		    (int64_t)peer->options.idle_close_ms - now_ms;

		if (left_ms <= 0) {
			zmq_close(peer->links[i].dealer);
			peer->links[i] = peer->links[--peer->link_count];
			continue;
		}
		if (next_ms < 0 || left_ms < next_ms)
			next_ms = left_ms;
		i++;
	}
	return next_ms;
}

/* Closes every link; queued messages are sent for up to LINGER_MS. */
void
lk_peer_links_close(struct lk_peer *peer)
{
	while (peer->link_count > 0)
		zmq_close(peer->links[--peer->link_count].dealer);
}
