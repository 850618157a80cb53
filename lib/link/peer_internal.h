#ifndef CAMPHOR_LINK_PEER_INTERNAL_H
#define CAMPHOR_LINK_PEER_INTERNAL_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>

#include "peer.h"

#define LK_PEER_KEY_RAW_BYTES 32

/* A message that waits for the thread. */
struct lk_peer_item {
	struct lk_peer_item *next;
	char address[LK_PEER_ADDRESS_BYTES];
	size_t bytes;
	unsigned char data[];
};

/* A DEALER that is connected to one address. Used by the thread only. */
struct lk_peer_link {
	char address[LK_PEER_ADDRESS_BYTES];
	void *dealer;
	uint64_t used; /* order of use */
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
	int wake; /* eventfd */
	pthread_t thread;
	atomic_bool stop;
	pthread_mutex_t lock; /* the queue */
	struct lk_peer_item *first;
	struct lk_peer_item **last;
	uint32_t queued;
	size_t queued_bytes;
	struct lk_peer_link links[LK_PEER_LINKS_MAX];
	uint32_t link_count;
	uint64_t uses;
	atomic_uint_least64_t sent;
	atomic_uint_least64_t sent_bytes;
	atomic_uint_least64_t received;
	atomic_uint_least64_t dropped;
	atomic_uint_least64_t strangers;
	unsigned char frame[LK_PEER_MESSAGE_BYTES_MAX];
};

/* Answers one request of the library's authentication protocol (ZAP). */
void lk_peer_authenticate(struct lk_peer *peer);

/* Returns the link to an address, connected at its first use; NULL where none
 * can be had. */
struct lk_peer_link *lk_peer_link_get(
    struct lk_peer *peer, const char *address);
void lk_peer_links_close(struct lk_peer *peer);
int lk_peer_set_limits(void *socket);

#endif
