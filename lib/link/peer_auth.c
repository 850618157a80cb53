#include <string.h>

#include <zmq.h>

#include "peer_internal.h"

#define ZAP_FRAMES 7
#define ZAP_FRAME_BYTES 256

enum zap_frame {
	ZAP_VERSION,
	ZAP_REQUEST_ID,
	ZAP_DOMAIN,
	ZAP_ADDRESS,
	ZAP_IDENTITY,
	ZAP_MECHANISM,
	ZAP_CREDENTIALS,
};

struct zap_request {
	unsigned char frames[ZAP_FRAMES][ZAP_FRAME_BYTES];
	size_t bytes[ZAP_FRAMES];
	uint32_t count;
	bool oversized;
};

static bool receive_request(void *socket, struct zap_request *request);
static bool is_authorized(
    const struct lk_peer *peer, const struct zap_request *request);

/* Reads every frame, because a REP socket can reply only then. Extra frames are
 * discarded. */
static bool
receive_request(void *socket, struct zap_request *request)
{
	int more = 1;

	memset(request, 0, sizeof(*request));
	while (more != 0) {
		unsigned char discarded[1];
		bool fits = request->count < ZAP_FRAMES;
		size_t size = sizeof(more);
		int bytes = zmq_recv(socket,
		    fits ? request->frames[request->count] : discarded,
		    fits ? ZAP_FRAME_BYTES : sizeof(discarded), ZMQ_DONTWAIT);

		if (bytes < 0)
			return false;
		if (!fits || bytes > ZAP_FRAME_BYTES)
			request->oversized = true;
		else
			request->bytes[request->count++] = (size_t)bytes;
		if (zmq_getsockopt(socket, ZMQ_RCVMORE, &more, &size) != 0)
			return false;
	}
	return true;
}

static bool
is_authorized(const struct lk_peer *peer, const struct zap_request *request)
{
	static const char mechanism[] = "CURVE";
	uint32_t i;

	if (request->oversized || request->count != ZAP_FRAMES ||
	    request->bytes[ZAP_MECHANISM] != sizeof(mechanism) - 1 ||
	    memcmp(request->frames[ZAP_MECHANISM], mechanism,
		sizeof(mechanism) - 1) != 0 ||
	    request->bytes[ZAP_CREDENTIALS] != LK_PEER_KEY_RAW_BYTES)
		return false;
	for (i = 0; i < peer->key_count; i++)
		if (memcmp(peer->keys[i], request->frames[ZAP_CREDENTIALS],
			LK_PEER_KEY_RAW_BYTES) == 0)
			return true;
	return false;
}

/*
 * Answers one request of the ZeroMQ Authentication Protocol (ZAP). A client
 * with an allowed public key is accepted, any other is refused before it can
 * send a message.
 */
void
lk_peer_authenticate(struct lk_peer *peer)
{
	struct zap_request request;
	const char *status;
	bool authorized;

	if (!receive_request(peer->zap, &request))
		return;
	authorized = is_authorized(peer, &request);
	status = authorized ? "200" : "400";
	if (!authorized) {
		atomic_fetch_add(&peer->auth_failures, 1);
		ev_emit(EV_PEER_STRANGER, "address=%.*s",
		    (int)request.bytes[ZAP_ADDRESS],
		    (const char *)request.frames[ZAP_ADDRESS]);
	}
	zmq_send(peer->zap, "1.0", 3, ZMQ_SNDMORE);
	zmq_send(peer->zap, request.frames[ZAP_REQUEST_ID],
	    request.bytes[ZAP_REQUEST_ID], ZMQ_SNDMORE);
	zmq_send(peer->zap, status, 3, ZMQ_SNDMORE);
	zmq_send(peer->zap, "", 0, ZMQ_SNDMORE);
	zmq_send(peer->zap, "", 0, ZMQ_SNDMORE);
	zmq_send(peer->zap, "", 0, 0);
}
