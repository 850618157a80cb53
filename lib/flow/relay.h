#ifndef CAMPHOR_FLOW_RELAY_H
#define CAMPHOR_FLOW_RELAY_H

#include "flow.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Calls that a VM without access to the store forwards to a VM that has it,
 * docs/design/store-access-through-a-peer.md. Times are in ms; now_ms is a
 * monotonic time, wall_ms a wall time.
 */

/*
 * 1. The VMs of the deployment, each of which announces itself in the jobs
 * topic.
 */
#define FW_PEER_ANNOUNCE_MS (5 * 60 * 1000)
/* An announcement that is older is not used, and is deleted by the placer. */
#define FW_PEER_AGE_MAX_MS (15 * 60 * 1000)

struct fw_writer;

int fw_peer_encode(const struct bd_peer *peer, void **out, size_t *bytes);
int fw_peer_decode(const void *data, size_t bytes, struct bd_peer *out);
int fw_peer_apply(
    struct bd_board *board, const struct fw_record *record, uint64_t id);
bool fw_peer_usable(const struct bd_peer *peer, int64_t wall_ms);
bool fw_peer_known(
    const struct bd_board *board, const char *address, int64_t wall_ms);
int fw_peers_prune(
    struct fw_writer *writer, const struct bd_board *board, int64_t wall_ms);

/* Writes the announcement of this VM. */
struct fw_announcer;

struct fw_announcer_spec {
	struct fw_store store;
	struct bd_peer self; /* wall_ms is set for each announcement */
	int64_t (*wall_ms)(void *ctx);
	void *ctx;
};

int fw_announcer_start(
    struct fw_announcer **out, const struct fw_announcer_spec *spec);
void fw_announcer_stop(struct fw_announcer *announcer);
void fw_announcer_free(struct fw_announcer *announcer);

/*
 * 2. Decisions of the VM that forwards, the origin. The caller serializes the
 * functions that take a struct fw_relay.
 */
#define FW_RELAY_CALLS_MAX 16
#define FW_RELAY_BODY_BYTES_MAX ((size_t)96 * 1024)
/* A peer that has failed or has no store is not tried again for this time. */
#define FW_RELAY_AVOID_MS 3000
/* Once all peers that were tried have had no store, calls are not forwarded for
 * this time. */
#define FW_RELAY_NO_STORE_MS 1000
#define FW_RELAY_AVOIDED_MAX 64

enum fw_relay_outcome {
	FW_RELAY_ANSWERED,
	FW_RELAY_NO_ANSWER, /* was sent; the peer may have served it */
	FW_RELAY_NOT_SENT,  /* no part of the call has left this VM */
	FW_RELAY_BUSY,      /* the peer did nothing, as for the next one */
	FW_RELAY_NO_STORE,
	FW_RELAY_OUTCOMES,
};

const char *fw_relay_outcome_name(enum fw_relay_outcome outcome);

struct fw_relay_avoided {
	uint64_t peer; /* id, 0: not in use */
	int64_t until_ms;
};

struct fw_relay {
	uint32_t calls; /* in flight */
	int64_t no_store_until_ms;
	struct fw_relay_avoided avoided[FW_RELAY_AVOIDED_MAX];
};

/* Where this VM is. */
struct fw_relay_origin {
	uint64_t id;
	const char *zone;
	const char *region;
};

bool fw_front_has_store(const struct fw_front *front, int64_t now_ms);
bool fw_relay_begin(struct fw_relay *relay, size_t body_bytes,
    int64_t patience_ms, int64_t now_ms);
void fw_relay_end(struct fw_relay *relay);
bool fw_relay_choose(const struct fw_relay *relay, const struct bd_board *board,
    const struct fw_relay_origin *origin, uint64_t call, int64_t now_ms,
    int64_t wall_ms, struct bd_peer *out);
int64_t fw_relay_share_ms(int64_t patience_ms);
void fw_relay_note(struct fw_relay *relay, uint64_t peer,
    enum fw_relay_outcome outcome, int64_t now_ms);
void fw_relay_note_no_store(struct fw_relay *relay, int64_t now_ms);
bool fw_relay_tries_another(enum fw_relay_outcome outcome, uint32_t tries);
int fw_relay_status(enum fw_relay_outcome outcome, int status, bool lookup,
    bool appended_unknown);

/*
 * 3. Decisions of the VM that serves a forwarded call, the peer. The caller
 * serializes them.
 */
#define FW_RELAY_SERVED_CALLS_MAX 8
/* Calls whose repeats are recognised. */
#define FW_RELAY_SEEN_MAX 256

enum fw_relay_verdict {
	FW_RELAY_SERVE,
	FW_RELAY_IN_PROGRESS, /* a repeat of a call that is being served */
	FW_RELAY_REPEAT,      /* a repeat: send its answer again */
	FW_RELAY_SAY_BUSY,
	FW_RELAY_SAY_NO_STORE,
	FW_RELAY_IGNORE, /* no room to recognise its repeats */
};

/* A call that was received. */
struct fw_relay_seen {
	uint64_t call;                 /* 0: not in use */
	int64_t until_ms;              /* repeats may arrive until then */
	enum fw_relay_verdict verdict; /* on its next repeat */
};

struct fw_relay_calls {
	uint32_t serving;
	struct fw_relay_seen seen[FW_RELAY_SEEN_MAX];
};

struct fw_relay_offer {
	uint64_t call;
	int64_t left_ms; /* the origin waits so long */
	/* This process takes calls of others, and its configuration is recent
	 * enough for this one. */
	bool accepts;
	bool has_store;     /* see fw_front_has_store */
	uint32_t own_calls; /* of this VM's callers, being served */
	uint32_t own_calls_max;
};

enum fw_relay_verdict fw_relay_receive(struct fw_relay_calls *calls,
    const struct fw_relay_offer *offer, int64_t now_ms, uint32_t *index);
bool fw_relay_find(
    const struct fw_relay_calls *calls, uint64_t call, uint32_t *index);
void fw_relay_served(struct fw_relay_calls *calls, uint32_t index);

/*
 * 4. Messages between VMs.
 */
enum fw_relay_kind {
	FW_RELAY_REQUEST = 1,
	FW_RELAY_QUERY, /* asks for the answer to a request */
	FW_RELAY_ACK,   /* the request has arrived and is being served */
	FW_RELAY_ANSWER,
	FW_RELAY_ANSWER_BUSY,
	FW_RELAY_ANSWER_NO_STORE,
};

struct fw_relay_message {
	enum fw_relay_kind kind;
	uint64_t call;    /* random, not 0 */
	const char *from; /* peer address of the sender */
	/* Of the process that a request or a query is for, or that answers. */
	uint64_t incarnation;
	/* Request: oldest version of the configuration that may decide it, as a
	 * caller of the origin was answered from it. Answer: newest one that
	 * may have decided it. */
	uint64_t version;
	uint32_t left_ms; /* request: the origin waits so long */
	uint32_t status;  /* answer, as the next one */
	uint32_t retry_after_s;
	const char *method; /* request, as the next three */
	const char *host;
	const char *path;
	const char *authorization;
	const void *body; /* of the request or of the answer */
	size_t body_bytes;
};

int fw_relay_encode(
    const struct fw_relay_message *message, void **out, size_t *bytes);
int fw_relay_decode(
    const void *data, size_t bytes, struct fw_relay_message **out);
enum fw_relay_outcome fw_relay_outcome_of(
    const struct fw_relay_message *answer, uint64_t incarnation, uint32_t sent);

#ifdef __cplusplus
}
#endif

#endif
