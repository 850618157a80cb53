#include <assert.h>
#include <string.h>

#include "fleet_internal.h"

static void check_digest(
    struct fl_fleet *fleet, const struct fl_heartbeat *heartbeat);
static void handle_heartbeat(struct fl_fleet *fleet, int64_t now_ms);
static void handle_leave(struct fl_fleet *fleet, int64_t now_ms);
static void serve_snap(struct fl_fleet *fleet);
static void serve_result(struct fl_fleet *fleet);
static void handle_result(struct fl_fleet *fleet);
static void dispatch(struct fl_fleet *fleet, int64_t now_ms);

/*
 * Compares the sender's digest with this VM's at the same position. This VM
 * rebuilds only where the members that differ from it outnumber those that
 * agree with it (itself included), so that one faulty VM does not make the
 * others rebuild. In a fleet of two VMs both rebuild. At most one rebuild is
 * requested for a position.
 */
static void
check_digest(struct fl_fleet *fleet, const struct fl_heartbeat *heartbeat)
{
	const struct fl_state_hooks *state = &fleet->options.state;
	uint32_t differ = 0;
	uint32_t agree = 1;
	uint64_t position;
	uint64_t digest;
	uint32_t i;

	state->get_position(state->ctx, &position, &digest);
	if (heartbeat->position != position || heartbeat->digest == digest ||
	    position == 0 || position == fleet->mismatch_position)
		return;
	for (i = 0; i < fleet->members.count; i++) {
		const struct fl_peer *peer = &fleet->members.peers[i];

		if (peer->ended || peer->row.position != position)
			continue;
		if (peer->row.digest == digest)
			agree++;
		else
			differ++;
	}
	ev_emit(EV_DIGEST_MISMATCH,
	    "peer=%016llx position=%llu differ=%u agree=%u",
	    (unsigned long long)fleet->incoming.sender,
	    (unsigned long long)position, differ, agree);
	if (differ <= agree && fleet->members.count != 1)
		return;
	fleet->mismatch_position = position;
	state->rebuild(state->ctx, position);
}

static void
handle_heartbeat(struct fl_fleet *fleet, int64_t now_ms)
{
	const struct fl_heartbeat *heartbeat = &fleet->incoming.body.heartbeat;
	const struct fl_route_hooks *route = &fleet->options.route;
	uint32_t count = fleet->members.count;
	uint32_t i;

	if (fl_members_heartbeat(&fleet->members, fleet->incoming.sender,
		heartbeat, now_ms) != CW_OK)
		return;
	if (fleet->members.count != count)
		fl_loads_resend(&fleet->loads);
	for (i = 0; i < heartbeat->load_count && route->set_peer_load != NULL;
	     i++)
		route->set_peer_load(route->ctx, fleet->incoming.sender,
		    heartbeat->loads[i].upstream,
		    heartbeat->loads[i].in_flight);
	check_digest(fleet, heartbeat);
	fl_publish_members(fleet);
}

static void
handle_leave(struct fl_fleet *fleet, int64_t now_ms)
{
	fl_members_leave(&fleet->members, fleet->incoming.sender,
	    fleet->incoming.body.leave.gone != 0, now_ms);
	fl_publish_members(fleet);
}

/* Answers SNAP_GET with a part of the image; total 0 where there is none to
 * send. */
static void
serve_snap(struct fl_fleet *fleet)
{
	const struct fl_state_hooks *state = &fleet->options.state;
	const struct fl_snap_get *get = &fleet->incoming.body.snap_get;
	struct fl_snap *snap = &fleet->outgoing.body.snap;
	size_t bytes = 0;

	memset(snap, 0, sizeof(*snap));
	fleet->outgoing.kind = FL_MSG_SNAP;
	snap->start = get->start;
	if (cw_is_error(state->snap_read(state->ctx, get->start, fleet->data,
		sizeof(fleet->data), &bytes, &snap->total, &snap->position)) ||
	    snap->total > FL_SNAP_BYTES_MAX) {
		snap->total = 0;
		snap->start = 0;
		bytes = 0;
	}
	snap->bytes = (uint32_t)bytes;
	snap->data = fleet->data;
	(void)fl_send_member(fleet, fleet->incoming.sender);
}

/* Answers RESULT_GET with the stored answer or the status of the lookup. */
static void
serve_result(struct fl_fleet *fleet)
{
	const struct fl_route_hooks *route = &fleet->options.route;
	const struct fl_result_get_msg *request =
	    &fleet->incoming.body.result_get;
	struct fl_result *result = &fleet->outgoing.body.result;
	size_t bytes = 0;

	memset(result, 0, sizeof(*result));
	fleet->outgoing.kind = FL_MSG_RESULT;
	result->ticket = request->ticket;
	result->status = FL_ENOTFOUND;
	if (route->result != NULL)
		result->status = route->result(route->ctx, request->request_id,
		    &result->http_status, fleet->data, sizeof(fleet->data),
		    &bytes);
	if (cw_is_error(result->status))
		bytes = 0;
	result->bytes = (uint32_t)bytes;
	result->data = fleet->data;
	(void)fl_send_member(fleet, fleet->incoming.sender);
}

/* Completes the pending result that a RESULT belongs to. One that is late or
 * from another sender is ignored. */
static void
handle_result(struct fl_fleet *fleet)
{
	const struct fl_result *result = &fleet->incoming.body.result;
	struct fl_pending_result *pending =
	    &fleet->pending_results[result->ticket % FL_PENDING_RESULTS_MAX];

	if (result->ticket == 0 || pending->ticket != result->ticket ||
	    pending->owner != fleet->incoming.sender)
		return;
	fl_complete_result(pending, result->status, result->http_status,
	    result->data, result->bytes);
}

static void
dispatch(struct fl_fleet *fleet, int64_t now_ms)
{
	const struct fl_state_hooks *state = &fleet->options.state;
	int64_t next_ms = INT64_MAX;
	bool granted = false;

	switch (fleet->incoming.kind) {
	case FL_MSG_HEARTBEAT:
		handle_heartbeat(fleet, now_ms);
		break;
	case FL_MSG_LEAVE:
		handle_leave(fleet, now_ms);
		break;
	case FL_MSG_TAIL_GET:
		fleet->outgoing.kind = FL_MSG_TAIL;
		fl_relay_serve_tail(state, &fleet->incoming.body.tail_get,
		    fleet->data, &fleet->outgoing.body.tail);
		(void)fl_send_member(fleet, fleet->incoming.sender);
		break;
	case FL_MSG_TAIL:
		(void)fl_relay_tail(&fleet->relay, fleet->incoming.sender,
		    &fleet->incoming.body.tail, state);
		fl_run_relay(fleet, now_ms, &next_ms);
		break;
	case FL_MSG_SNAP_GET:
		serve_snap(fleet);
		break;
	case FL_MSG_SNAP:
		(void)fl_relay_snap(&fleet->relay, fleet->incoming.sender,
		    &fleet->incoming.body.snap, state);
		fl_run_relay(fleet, now_ms, &next_ms);
		break;
	case FL_MSG_SHARE_ASK:
		fl_serve_share_request(fleet, fleet->incoming.sender,
		    &fleet->incoming.body.share, now_ms,
		    &fleet->outgoing.body.share, &granted);
		fleet->outgoing.kind = FL_MSG_SHARE;
		if (granted)
			(void)fl_send_member(fleet, fleet->incoming.sender);
		break;
	case FL_MSG_SHARE:
		if (fl_holder_grant(&fleet->holder, &fleet->incoming.body.share,
			now_ms) == CW_OK)
			(void)fl_holder_apply(
			    &fleet->holder, fleet->options.board);
		break;
	case FL_MSG_RESULT_GET:
		serve_result(fleet);
		break;
	default:
		handle_result(fleet);
		break;
	}
}

/* Handles one message from the transport, on any thread. A message that cannot
 * be decoded is counted and dropped. */
void
fl_receive(
    struct fl_fleet *fleet, const void *data, size_t bytes, int64_t now_ms)
{
	int code;

	pthread_mutex_lock(&fleet->lock);
	code = fl_msg_decode(data, bytes, &fleet->incoming);
	if (code == CW_OK) {
		fleet->traffic.received_bytes[fleet->incoming.kind] += bytes;
		dispatch(fleet, now_ms);
	} else {
		fleet->traffic.malformed++;
		ev_emit(EV_PEER_MALFORMED, "code=%d bytes=%zu", code, bytes);
	}
	pthread_mutex_unlock(&fleet->lock);
}
