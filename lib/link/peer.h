#ifndef CAMPHOR_LINK_PEER_H
#define CAMPHOR_LINK_PEER_H

#include <stddef.h>
#include <stdint.h>

#include "base.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * 1. Status codes and limits
 */
enum lk_peer_status {
	LK_PEER_EBIND = CW_BASE_LINK - 51,
	LK_PEER_EKEY = CW_BASE_LINK - 52,  /* invalid CURVE key */
	LK_PEER_EFULL = CW_BASE_LINK - 53, /* queue is full: not sent */
	LK_PEER_ETOOLARGE = CW_BASE_LINK - 54,
	LK_PEER_ENOMEM = CW_BASE_LINK - 55,
};

const char *lk_peer_status_name(int code);

#define LK_PEER_KEY_BYTES 41 /* Z85 text with terminator */
#define LK_PEER_ADDRESS_BYTES 48
#define LK_PEER_MESSAGE_BYTES_MAX ((size_t)128 * 1024)
#define LK_PEER_KEYS_MAX 64
#define LK_PEER_LINKS_MAX 96
#define LK_PEER_QUEUE_MAX 512
#define LK_PEER_QUEUE_BYTES_MAX ((size_t)4 * 1024 * 1024)
/* High-water mark of a connection: messages queued for one peer. */
#define LK_PEER_LINK_QUEUE_MAX 64

/*
 * 2. Messages between daemons. A ROUTER socket receives; a DEALER socket for
 * each peer sends. An answer is sent over the answering daemon's own DEALER.
 */
struct lk_peer_options {
	const char *bind; /* "ip:port"; port * for any */
	/* CURVE key pair of this daemon; "": no encryption. */
	char public_key[LK_PEER_KEY_BYTES];
	char secret_key[LK_PEER_KEY_BYTES];
	/* Public keys that may connect, besides its own. */
	uint32_t allowed_count;
	char allowed[LK_PEER_KEYS_MAX][LK_PEER_KEY_BYTES];
	/* Looks up the public key of the daemon at an address; NULL if all
	 * daemons share one key pair. */
	int (*lookup_key)(
	    void *ctx, const char *address, char key[LK_PEER_KEY_BYTES]);
	/* Receives one message, on the link's thread; data is valid during the
	 * call only. */
	void (*receive)(void *ctx, const void *data, size_t bytes);
	/* Learns of a message that lk_peer_send has queued and of which no part
	 * was sent, on the link's thread; NULL: not wanted. */
	void (*dropped)(void *ctx, const void *data, size_t bytes);
	/* A connection to a peer is closed once nothing was sent over it for
	 * this time; 0: never. */
	uint32_t idle_close_ms;
	void *ctx;
};

struct lk_peer;

int lk_peer_start(struct lk_peer **out, const struct lk_peer_options *options);
int lk_peer_send(
    struct lk_peer *peer, const char *address, const void *data, size_t bytes);
void lk_peer_stop(struct lk_peer *peer);
const char *lk_peer_address(const struct lk_peer *peer);

/*
 * 3. Counters
 */
struct lk_peer_counts {
	uint64_t sent;
	uint64_t sent_bytes;
	uint64_t received;
	uint64_t dropped;       /* no connection, or a queue was full */
	uint64_t auth_failures; /* clients refused for an unknown key */
	uint32_t links;         /* connections to peers that are kept */
};

void lk_peer_counters(struct lk_peer *peer, struct lk_peer_counts *counters);

#ifdef __cplusplus
}
#endif

#endif
