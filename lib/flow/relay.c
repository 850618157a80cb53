#include <string.h>

#include "relay.h"

/* A peer gets this part of the time that the caller still waits, so that the
 * caller can still try another VM. */
#define SHARE_MILLI 450
/* A call with less time is not forwarded: a new link between regions takes
 * about 250 ms, four round trips of 60 ms. */
#define PATIENCE_MIN_MS 300
/* VMs tried for one call, while those before have certainly done nothing. With
 * a third of the VMs without the store, one call in 27 finds none. */
#define TRIES_MAX 3
/* A busy peer is not tried again for this time. Its threads serve a call in
 * about 10 ms. */
#define BUSY_AVOID_MS 500
/* Repeats of a call may still be in the buffers of a link for this time after
 * the origin has stopped waiting. */
#define REPEAT_MARGIN_MS 3000

static bool is_avoided(
    const struct fw_relay *relay, uint64_t peer, int64_t now_ms);
static uint32_t distance(
    const struct fw_relay_origin *origin, const struct bd_peer *peer);
static bool is_full(
    const struct fw_relay_calls *calls, int64_t now_ms, uint32_t *unused);

const char *
fw_relay_outcome_name(enum fw_relay_outcome outcome)
{
	static const char *const names[FW_RELAY_OUTCOMES] = {
	    [FW_RELAY_ANSWERED] = "answered",
	    [FW_RELAY_NO_ANSWER] = "no_answer",
	    [FW_RELAY_NOT_SENT] = "not_sent",
	    [FW_RELAY_BUSY] = "busy",
	    [FW_RELAY_NO_STORE] = "no_store",
	};

	return outcome < FW_RELAY_OUTCOMES ? names[outcome] : "unknown";
}

/* Returns whether a call that this VM cannot serve may be forwarded, and counts
 * it until fw_relay_end. patience_ms is the time that its caller still waits.
 * The bounds keep the memory of this VM and the links between VMs, 10 Mbit/s at
 * least, from being filled by the calls of an outage. */
bool
fw_relay_begin(struct fw_relay *relay, size_t body_bytes, int64_t patience_ms,
    int64_t now_ms)
{
	if (relay->calls >= FW_RELAY_CALLS_MAX ||
	    body_bytes > FW_RELAY_BODY_BYTES_MAX ||
	    patience_ms < PATIENCE_MIN_MS || now_ms < relay->no_store_until_ms)
		return false;
	relay->calls++;
	return true;
}

/* Ends a call for which fw_relay_begin has returned true. */
void
fw_relay_end(struct fw_relay *relay)
{
	relay->calls--;
}

static bool
is_avoided(const struct fw_relay *relay, uint64_t peer, int64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < FW_RELAY_AVOIDED_MAX; i++)
		if (relay->avoided[i].peer == peer &&
		    now_ms < relay->avoided[i].until_ms)
			return true;
	return false;
}

/* Returns 0 for a VM in the same availability zone, 1 in the same region, 2
 * otherwise. Bytes between zones and between regions are charged. */
static uint32_t
distance(const struct fw_relay_origin *origin, const struct bd_peer *peer)
{
	if (strcmp(origin->region, peer->region) != 0)
		return 2;
	return strcmp(origin->zone, peer->zone) == 0 ? 0 : 1;
}

/* Chooses the peer for a call: the nearest one that is not avoided. Calls are
 * spread over peers of the same distance by their ids. Returns false if there
 * is none. */
bool
fw_relay_choose(const struct fw_relay *relay, const struct bd_board *board,
    const struct fw_relay_origin *origin, uint64_t call, int64_t now_ms,
    int64_t wall_ms, struct bd_peer *out)
{
	const struct bd_peer *row;
	const struct bd_peer *best = NULL;
	uint32_t best_distance = 0;
	uint64_t best_hash = 0;
	uint32_t cursor = 0;

	bd_read_begin();
	while ((row = bd_peer_next(board, &cursor)) != NULL) {
		uint32_t far = distance(origin, row);
		uint64_t hash = cw_hash(&row->id, sizeof(row->id), call);

		if (row->id == origin->id || !fw_peer_usable(row, wall_ms) ||
		    is_avoided(relay, row->id, now_ms))
			continue;
		if (best != NULL &&
		    (far > best_distance ||
			(far == best_distance && hash >= best_hash)))
			continue;
		best = row;
		best_distance = far;
		best_hash = hash;
	}
	if (best != NULL)
		*out = *best;
	bd_read_end();
	return best != NULL;
}

/* Returns the time that the next peer gets for its answer. */
int64_t
fw_relay_share_ms(int64_t patience_ms)
{
	return patience_ms * SHARE_MILLI / 1000;
}

/* Notes the outcome of a try, so that a peer that was of no use is not tried
 * for some time. */
void
fw_relay_note(struct fw_relay *relay, uint64_t peer,
    enum fw_relay_outcome outcome, int64_t now_ms)
{
	struct fw_relay_avoided *entry = &relay->avoided[0];
	uint32_t i;

	if (outcome == FW_RELAY_ANSWERED)
		return;
	for (i = 0; i < FW_RELAY_AVOIDED_MAX; i++) {
		if (relay->avoided[i].peer == peer) {
			entry = &relay->avoided[i];
			break;
		}
		if (relay->avoided[i].until_ms < entry->until_ms)
			entry = &relay->avoided[i];
	}
	entry->peer = peer;
	entry->until_ms = now_ms +
	    (outcome == FW_RELAY_BUSY ? BUSY_AVOID_MS : FW_RELAY_AVOID_MS);
}

/* Notes that no peer that was tried for a call has the store: the outage is not
 * this VM's alone. */
void
fw_relay_note_no_store(struct fw_relay *relay, int64_t now_ms)
{
	relay->no_store_until_ms = now_ms + FW_RELAY_NO_STORE_MS;
}

/* Returns what the answer of a peer, or NULL, means for a request that was sent
 * to the process with this incarnation; sent is the number of its copies that
 * may have left this VM. Another process tells about the copy that has reached
 * it only: an earlier copy may have been served before the restart. */
enum fw_relay_outcome
fw_relay_outcome_of(
    const struct fw_relay_message *answer, uint64_t incarnation, uint32_t sent)
{
	if (answer == NULL)
		return sent == 0 ? FW_RELAY_NOT_SENT : FW_RELAY_NO_ANSWER;
	if (answer->kind == FW_RELAY_ANSWER)
		return FW_RELAY_ANSWERED;
	if (answer->incarnation != incarnation && sent > 1)
		return FW_RELAY_NO_ANSWER;
	return answer->kind == FW_RELAY_ANSWER_BUSY ? FW_RELAY_BUSY
						    : FW_RELAY_NO_STORE;
}

/* Returns whether another peer may be tried after so many tries: not if the
 * last one may have served the call. */
bool
fw_relay_tries_another(enum fw_relay_outcome outcome, uint32_t tries)
{
	return outcome != FW_RELAY_ANSWERED && outcome != FW_RELAY_NO_ANSWER &&
	    tries < TRIES_MAX;
}

/* Returns the status for the caller. status is that of the peer's answer, if
 * there is one; appended_unknown: this VM itself has sent an append for the
 * call that was not answered. The job may then be stored, whatever a peer that
 * has not stored it answers. */
int
fw_relay_status(enum fw_relay_outcome outcome, int status, bool lookup,
    bool appended_unknown)
{
	if (outcome == FW_RELAY_ANSWERED)
		return appended_unknown && status != 200 ? 504 : status;
	if (outcome == FW_RELAY_NO_ANSWER && !lookup)
		return 504;
	return appended_unknown ? 504 : 503;
}

/* Sets *unused to an entry that is free or whose call is over. Returns whether
 * there is none. */
static bool
is_full(const struct fw_relay_calls *calls, int64_t now_ms, uint32_t *unused)
{
	uint32_t i;

	for (i = 0; i < FW_RELAY_SEEN_MAX; i++) {
		const struct fw_relay_seen *seen = &calls->seen[i];

		if (seen->call == 0 ||
		    (seen->verdict != FW_RELAY_IN_PROGRESS &&
			now_ms > seen->until_ms)) {
			*unused = i;
			return false;
		}
	}
	return true;
}

/* Returns whether a call was received before, and sets *index to its entry. */
bool
fw_relay_find(
    const struct fw_relay_calls *calls, uint64_t call, uint32_t *index)
{
	uint32_t i;

	for (i = 0; i < FW_RELAY_SEEN_MAX; i++)
		if (call != 0 && calls->seen[i].call == call) {
			*index = i;
			return true;
		}
	return false;
}

/*
 * Decides about a request, and sets *index to the entry of its call unless the
 * verdict is FW_RELAY_IGNORE. The origin repeats a request whose
 * acknowledgement is missing. Each repeat gets the first verdict again: after
 * an answer that the call was not served, no repeat of it may be served.
 */
enum fw_relay_verdict
fw_relay_receive(struct fw_relay_calls *calls,
    const struct fw_relay_offer *offer, int64_t now_ms, uint32_t *index)
{
	enum fw_relay_verdict verdict = FW_RELAY_SERVE;
	struct fw_relay_seen *seen;

	if (fw_relay_find(calls, offer->call, index))
		return calls->seen[*index].verdict;
	if (offer->call == 0 || is_full(calls, now_ms, index))
		return FW_RELAY_IGNORE;
	/* A third of the threads remains for this VM's own callers. */
	if (!offer->accepts || calls->serving >= FW_RELAY_SERVED_CALLS_MAX ||
	    offer->own_calls * 3 >= offer->own_calls_max * 2)
		verdict = FW_RELAY_SAY_BUSY;
	if (!offer->has_store)
		verdict = FW_RELAY_SAY_NO_STORE;
	seen = &calls->seen[*index];
	seen->call = offer->call;
	seen->until_ms = now_ms + offer->left_ms + REPEAT_MARGIN_MS;
	seen->verdict = verdict;
	if (verdict == FW_RELAY_SERVE) {
		seen->verdict = FW_RELAY_IN_PROGRESS;
		calls->serving++;
	}
	return verdict;
}

/* Notes that a call has been served; repeats get its answer. */
void
fw_relay_served(struct fw_relay_calls *calls, uint32_t index)
{
	calls->seen[index].verdict = FW_RELAY_REPEAT;
	calls->serving--;
}
