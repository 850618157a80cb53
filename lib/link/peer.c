#include <assert.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <zmq.h>

#include "peer_internal.h"

/* Messages received before the other sockets are polled again. */
#define RECEIVE_BURST_MAX 64

static int decode_keys(struct lk_peer *peer);
static int open_router(struct lk_peer *peer);
static void free_peer(struct lk_peer *peer);
static void receive_all(struct lk_peer *peer);
static void send_all(struct lk_peer *peer);
static void *run_thread(void *arg);

/* Returns the name of a status code of this module. */
const char *
lk_peer_status_name(int code)
{
	switch (code) {
	case LK_PEER_EBIND:
		return "peer address cannot be bound";
	case LK_PEER_EKEY:
		return "not a CURVE key";
	case LK_PEER_EFULL:
		return "peer queue is full";
	case LK_PEER_ETOOLARGE:
		return "too large for a peer message";
	case LK_PEER_ENOMEM:
		return "out of memory";
	default:
		return cw_status_name(code);
	}
}

/* Decodes the public keys that may connect: this daemon's own, then the allowed
 * ones. */
static int
decode_keys(struct lk_peer *peer)
{
	const struct lk_peer_options *options = &peer->options;
	uint32_t i;

	peer->curve = options->public_key[0] != '\0';
	if (!peer->curve)
		return CW_OK;
	if (zmq_z85_decode(
		peer->keys[peer->key_count++], options->public_key) == NULL)
		return cw_error_set(LK_PEER_EKEY, "own public key");
	for (i = 0; i < options->allowed_count; i++)
		if (zmq_z85_decode(peer->keys[peer->key_count++],
			options->allowed[i]) == NULL)
			return cw_error_set(
			    LK_PEER_EKEY, "allowed public key %u", i);
	return CW_OK;
}

static int
open_router(struct lk_peer *peer)
{
	const struct lk_peer_options *options = &peer->options;
	char endpoint[LK_PEER_ADDRESS_BYTES + 8];
	size_t bytes = sizeof(endpoint);
	int server = 1;

	peer->zap = zmq_socket(peer->zmq, ZMQ_REP);
	peer->router = zmq_socket(peer->zmq, ZMQ_ROUTER);
	if (peer->zap == NULL || peer->router == NULL)
		return cw_error_set(LK_PEER_ENOMEM, "no ZeroMQ sockets");
	/* Authentication requests of libzmq arrive here. It refuses every
	 * client whose request is not answered. */
	if (lk_peer_set_limits(peer->zap) != 0 ||
	    lk_peer_set_limits(peer->router) != 0 ||
	    zmq_bind(peer->zap, "inproc://zeromq.zap.01") != 0)
		return cw_error_set(LK_PEER_EBIND, "%s", zmq_strerror(errno));
	if (peer->curve &&
	    (zmq_setsockopt(peer->router, ZMQ_ZAP_DOMAIN, "camphor", 7) != 0 ||
		zmq_setsockopt(peer->router, ZMQ_CURVE_SERVER, &server,
		    sizeof(server)) != 0 ||
		zmq_setsockopt(peer->router, ZMQ_CURVE_SECRETKEY,
		    options->secret_key, LK_PEER_KEY_BYTES) != 0))
		return cw_error_set(LK_PEER_EKEY, "%s", zmq_strerror(errno));
	snprintf(endpoint, sizeof(endpoint), "tcp://%s", options->bind);
	if (zmq_bind(peer->router, endpoint) != 0 ||
	    zmq_getsockopt(peer->router, ZMQ_LAST_ENDPOINT, endpoint, &bytes) !=
		0)
		return cw_error_set(LK_PEER_EBIND, "%s: %s", options->bind,
		    zmq_strerror(errno));
	return cw_name_copy(
	    peer->address, sizeof(peer->address), endpoint + strlen("tcp://"));
}

static void
free_peer(struct lk_peer *peer)
{
	while (peer->queue_head != NULL) {
		struct lk_peer_message *message = peer->queue_head;

		peer->queue_head = message->next;
		free(message);
	}
	lk_peer_links_close(peer);
	if (peer->router != NULL)
		zmq_close(peer->router);
	if (peer->zap != NULL)
		zmq_close(peer->zap);
	if (peer->zmq != NULL)
		zmq_ctx_term(peer->zmq);
	if (peer->wake_fd >= 0)
		close(peer->wake_fd);
	pthread_mutex_destroy(&peer->lock);
	free(peer);
}

/* Delivers up to RECEIVE_BURST_MAX messages. A valid message has two frames:
 * the connection's id and the payload. */
static void
receive_all(struct lk_peer *peer)
{
	int burst;

	for (burst = 0; burst < RECEIVE_BURST_MAX; burst++) {
		int frames = 0;
		int bytes = 0;
		int more = 1;

		while (more != 0) {
			size_t size = sizeof(more);

			bytes = zmq_recv(peer->router, peer->receive_buffer,
			    sizeof(peer->receive_buffer), ZMQ_DONTWAIT);
			if (bytes < 0)
				return;
			frames++;
			if (zmq_getsockopt(
				peer->router, ZMQ_RCVMORE, &more, &size) != 0)
				return;
		}
		if (frames != 2 || (size_t)bytes > sizeof(peer->receive_buffer))
			continue;
		atomic_fetch_add(&peer->received, 1);
		peer->options.receive(
		    peer->options.ctx, peer->receive_buffer, (size_t)bytes);
	}
}

static void
send_all(struct lk_peer *peer)
{
	struct lk_peer_message *message;

	pthread_mutex_lock(&peer->lock);
	message = peer->queue_head;
	peer->queue_head = NULL;
	peer->queue_tail = &peer->queue_head;
	peer->queue_length = 0;
	peer->queue_bytes = 0;
	pthread_mutex_unlock(&peer->lock);
	while (message != NULL) {
		struct lk_peer_message *next = message->next;
		struct lk_peer_link *link =
		    lk_peer_link_get(peer, message->address);

		if (link != NULL &&
		    zmq_send(link->dealer, message->data, message->bytes,
			ZMQ_DONTWAIT) >= 0) {
			atomic_fetch_add(&peer->sent, 1);
			atomic_fetch_add(&peer->sent_bytes, message->bytes);
		} else {
			atomic_fetch_add(&peer->dropped, 1);
			if (peer->options.dropped != NULL)
				peer->options.dropped(peer->options.ctx,
				    message->data, message->bytes);
		}
		free(message);
		message = next;
	}
}

static void *
run_thread(void *arg)
{
	struct lk_peer *peer = arg;

	for (;;) {
		bool stop = atomic_load(&peer->stop);
		zmq_pollitem_t poll_items[] = {
		    {peer->router, 0, ZMQ_POLLIN, 0},
		    {peer->zap, 0, ZMQ_POLLIN, 0},
		    {NULL, peer->wake_fd, ZMQ_POLLIN, 0},
		};
		uint64_t wake_count;
		long wait_ms;

		if (stop)
			break;
		wait_ms =
		    (long)lk_peer_links_close_idle(peer, cw_clock_mono_ms());
		atomic_store(&peer->links_kept, peer->link_count);
		if (zmq_poll(poll_items, 3, wait_ms) < 0 && errno != EINTR)
			break;
		if ((poll_items[1].revents & ZMQ_POLLIN) != 0)
			lk_peer_authenticate(peer);
		if ((poll_items[0].revents & ZMQ_POLLIN) != 0)
			receive_all(peer);
		if ((poll_items[2].revents & ZMQ_POLLIN) != 0 &&
		    read(peer->wake_fd, &wake_count, sizeof(wake_count)) > 0)
			send_all(peer);
	}
	send_all(peer);
	return NULL;
}

/*
 * Binds the address and starts the thread that sends and receives. Copies the
 * options. Returns LK_PEER_EBIND, LK_PEER_EKEY or LK_PEER_ENOMEM.
 */
int
lk_peer_start(struct lk_peer **out, const struct lk_peer_options *options)
{
	struct lk_peer *peer = calloc(1, sizeof(*peer));
	int code = CW_OK;

	assert(options->bind != NULL && options->receive != NULL);
	assert(options->allowed_count <= LK_PEER_KEYS_MAX);
	if (peer == NULL)
		return cw_error_set(LK_PEER_ENOMEM, "no memory for links");
	peer->options = *options;
	peer->queue_tail = &peer->queue_head;
	pthread_mutex_init(&peer->lock, NULL);
	peer->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	peer->zmq = zmq_ctx_new();
	if (peer->zmq == NULL || peer->wake_fd < 0)
		code = cw_error_set(LK_PEER_ENOMEM, "no ZeroMQ context");
	if (code == CW_OK)
		code = decode_keys(peer);
	if (code == CW_OK)
		code = open_router(peer);
	if (code == CW_OK &&
	    pthread_create(&peer->thread, NULL, run_thread, peer) != 0)
		code = cw_error_set(LK_PEER_ENOMEM, "no thread for links");
	if (code != CW_OK) {
		free_peer(peer);
		return code;
	}
	*out = peer;
	return CW_OK;
}

/*
 * Queues a message for an address ("ip:port"). Any thread may call this; it
 * does not block. A message is dropped later if the peer has no connection.
 * Returns LK_PEER_EFULL, LK_PEER_ETOOLARGE or LK_PEER_ENOMEM if it was not
 * queued.
 */
int
lk_peer_send(
    struct lk_peer *peer, const char *address, const void *data, size_t bytes)
{
	static const uint64_t one = 1;
	struct lk_peer_message *message;
	bool full;

	if (bytes > LK_PEER_MESSAGE_BYTES_MAX)
		return LK_PEER_ETOOLARGE;
	message = malloc(sizeof(*message) + bytes);
	if (message == NULL)
		return LK_PEER_ENOMEM;
	message->next = NULL;
	message->bytes = bytes;
	memcpy(message->data, data, bytes);
	if (cw_name_copy(message->address, sizeof(message->address), address) !=
	    CW_OK) {
		free(message);
		return LK_PEER_ETOOLARGE;
	}
	pthread_mutex_lock(&peer->lock);
	full = peer->queue_length == LK_PEER_QUEUE_MAX ||
	    peer->queue_bytes + bytes > LK_PEER_QUEUE_BYTES_MAX;
	if (!full) {
		*peer->queue_tail = message;
		peer->queue_tail = &message->next;
		peer->queue_length++;
		peer->queue_bytes += bytes;
	}
	pthread_mutex_unlock(&peer->lock);
	if (full) {
		atomic_fetch_add(&peer->dropped, 1);
		free(message);
		return LK_PEER_EFULL;
	}
	/* Fails only if the counter is at its maximum; a wake-up is then
	 * pending anyway. */
	(void)!write(peer->wake_fd, &one, sizeof(one));
	return CW_OK;
}

/* Sends the queued messages, ends the thread and closes all connections. */
void
lk_peer_stop(struct lk_peer *peer)
{
	static const uint64_t one = 1;

	atomic_store(&peer->stop, true);
	(void)!write(peer->wake_fd, &one, sizeof(one));
	pthread_join(peer->thread, NULL);
	free_peer(peer);
}

/* Returns the bound address, "ip:port". */
const char *
lk_peer_address(const struct lk_peer *peer)
{
	return peer->address;
}

void
lk_peer_counters(struct lk_peer *peer, struct lk_peer_counts *counters)
{
	counters->sent = atomic_load(&peer->sent);
	counters->sent_bytes = atomic_load(&peer->sent_bytes);
	counters->links = atomic_load(&peer->links_kept);
	counters->received = atomic_load(&peer->received);
	counters->dropped = atomic_load(&peer->dropped);
	counters->auth_failures = atomic_load(&peer->auth_failures);
}
