#ifndef CAMPHOR_LINK_PEER_INTERNAL_H
#define CAMPHOR_LINK_PEER_INTERNAL_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>

#include "peer.h"

#define LK_PEER_KEY_RAW_BYTES 32

/* A message queued for the link's thread. */
struct lk_peer_message {
	struct lk_peer_message *next;
	char address[LK_PEER_ADDRESS_BYTES];
	size_t bytes;
	unsigned char data[];
};

/* A DEALER socket connected to one address. Used by the link's thread only. */
struct lk_peer_link {
	char address[LK_PEER_ADDRESS_BYTES];
	void *dealer;
	uint64_t last_use; /* value of use_counter at the last use */
	int64_t used_ms;   /* monotonic time of the last use */
};

struct lk_peer {
	struct lk_peer_options options;
	char address[LK_PEER_ADDRESS_BYTES];
	bool curve;
	uint8_t keys[LK_PEER_KEYS_MAX + 1][LK_PEER_KEY_RAW_BYTES];
	uint32_t key_count;
	void *zmq;
	void *router;
	void *zap;
	int wake_fd; /* eventfd */
	pthread_t thread;
	atomic_bool stop;
	pthread_mutex_t lock; /* protects the queue_ fields */
	struct lk_peer_message *queue_head;
	struct lk_peer_message **queue_tail;
	uint32_t queue_length;
	size_t queue_bytes;
	struct lk_peer_link links[LK_PEER_LINKS_MAX];
	uint32_t link_count;
	uint64_t use_counter;
	atomic_uint_least64_t sent;
	atomic_uint_least64_t sent_bytes;
	atomic_uint_least64_t received;
	atomic_uint_least64_t dropped;
	atomic_uint_least64_t auth_failures;
	atomic_uint links_kept; /* link_count, for other threads */
	unsigned char receive_buffer[LK_PEER_MESSAGE_BYTES_MAX];
};

void lk_peer_authenticate(struct lk_peer *peer);

struct lk_peer_link *lk_peer_link_get(
    struct lk_peer *peer, const char *address);
void lk_peer_links_close(struct lk_peer *peer);
int64_t lk_peer_links_close_idle(struct lk_peer *peer, int64_t now_ms);
int lk_peer_set_limits(void *socket);

#endif
