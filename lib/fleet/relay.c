#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"

/* Delay of the next decision while a member is ahead. */
#define FL_RELAY_RECHECK_MS 100

/* The answer to a TAIL_GET while entries are added to it. */
struct tail_out {
	const struct fl_tail_get *get;
	unsigned char *buffer;
	size_t bytes_left;
	struct fl_tail *tail;
};

static const struct fl_peer *best_peer(const struct fl_members *members,
    uint64_t position, uint64_t avoided, int64_t now_ms);
static bool is_request_due(struct fl_relay *relay, const struct fl_peer *best,
    const struct fl_relay_input *input, int64_t now_ms);
static int alloc_parts(struct fl_relay *relay, size_t total);
static int append_part(struct fl_relay *relay, size_t total, size_t start,
    const void *data, size_t bytes);
static int apply_entry(struct fl_relay *relay,
    const struct fl_tail_entry *entry, const struct fl_state_hooks *state);
static int serve_entry(
    void *ctx, uint64_t offset, const void *data, size_t bytes);

/* Returns the member with the highest position above this VM's that was heard
 * from within FL_SUSPECT_AFTER_MS; the avoided one only where there is no
 * other. */
static const struct fl_peer *
best_peer(const struct fl_members *members, uint64_t position, uint64_t avoided,
    int64_t now_ms)
{
	const struct fl_peer *best = NULL;
	uint32_t i;

	for (i = 0; i < members->count; i++) {
		const struct fl_peer *peer = &members->peers[i];

		if (peer->ended || peer->row.position <= position ||
		    now_ms - peer->row.heard_ms > FL_SUSPECT_AFTER_MS)
			continue;
		if (best == NULL || best->row.id == avoided ||
		    (peer->row.id != avoided &&
			peer->row.position > best->row.position))
			best = peer;
	}
	return best;
}

/* Returns whether records must be requested from a peer, and updates since when
 * this VM has been behind at its current position. */
static bool
is_request_due(struct fl_relay *relay, const struct fl_peer *best,
    const struct fl_relay_input *input, int64_t now_ms)
{
	if (best == NULL) {
		relay->behind_since_ms = 0;
		return false;
	}
	if (relay->behind_since_ms == 0 ||
	    relay->behind_position != input->position) {
		relay->behind_since_ms = now_ms;
		relay->behind_position = input->position;
	}
	return (input->unreachable_since_ms >= 0 &&
		   now_ms - input->unreachable_since_ms >=
		       FL_RELAY_UNREACHABLE_DELAY_MS) ||
	    now_ms - relay->behind_since_ms >= FL_RELAY_BEHIND_DELAY_MS;
}

/*
 * Decides whether to request records from a member: where the log has been
 * unreachable for FL_RELAY_UNREACHABLE_DELAY_MS, or this VM has been behind for
 * FL_RELAY_BEHIND_DELAY_MS. Returns true with *request filled for relay->peer.
 * Lowers *next_ms (ms) to the time of the next decision.
 */
bool
fl_relay_decide(struct fl_relay *relay, const struct fl_members *members,
    const struct fl_relay_input *input, int64_t now_ms, struct fl_msg *request,
    int64_t *next_ms)
{
	const struct fl_peer *best;

	if (relay->mode != FL_RELAY_IDLE) {
		int64_t due = relay->requested_ms + FL_RELAY_TIMEOUT_MS;

		if (due > now_ms) {
			if (due < *next_ms)
				*next_ms = due;
			return false;
		}
		relay->mode = FL_RELAY_IDLE;
		relay->avoided = relay->peer;
	}
	best = best_peer(members, input->position, relay->avoided, now_ms);
	if (!is_request_due(relay, best, input, now_ms)) {
		relay->start_logged &= best != NULL;
		if (best != NULL && now_ms + FL_RELAY_RECHECK_MS < *next_ms)
			*next_ms = now_ms + FL_RELAY_RECHECK_MS;
		return false;
	}
	if (!relay->start_logged)
		ev_emit(EV_RELAY_START, "peer=%016llx position=%llu",
		    (unsigned long long)best->row.id,
		    (unsigned long long)input->position);
	relay->start_logged = true;
	relay->peer = best->row.id;
	relay->requested_ms = now_ms;
	if (now_ms + FL_RELAY_TIMEOUT_MS < *next_ms)
		*next_ms = now_ms + FL_RELAY_TIMEOUT_MS;
	if (relay->needs_snapshot) {
		relay->mode = FL_RELAY_SNAP;
		request->kind = FL_MSG_SNAP_GET;
		request->body.snap_get.position = relay->position;
		request->body.snap_get.start = relay->received;
	} else {
		relay->mode = FL_RELAY_TAIL;
		request->kind = FL_MSG_TAIL_GET;
		request->body.tail_get.from = input->next_offset;
		request->body.tail_get.start =
		    relay->from == input->next_offset ? relay->received : 0;
	}
	return true;
}

/* Replaces the collected parts by an empty buffer of total bytes. */
static int
alloc_parts(struct fl_relay *relay, size_t total)
{
	free(relay->parts);
	relay->parts = malloc(total == 0 ? 1 : total);
	relay->total = total;
	relay->received = 0;
	return relay->parts == NULL ? FL_ENOMEM : CW_OK;
}

/* Appends the next part. One that starts at 0 discards the parts before it.
 * Returns CW_OK, FL_EEXPIRED for a part that does not follow, or FL_ENOMEM. */
static int
append_part(struct fl_relay *relay, size_t total, size_t start,
    const void *data, size_t bytes)
{
	if (start == 0 && cw_is_error(alloc_parts(relay, total)))
		return FL_ENOMEM;
	if (relay->parts == NULL || start != relay->received ||
	    total != relay->total || bytes > total - start)
		return FL_EEXPIRED;
	if (bytes != 0)
		memcpy(relay->parts + start, data, bytes);
	relay->received += bytes;
	return CW_OK;
}

/* Applies a complete entry, or adds a part of a large one and applies the entry
 * with its last part. */
static int
apply_entry(struct fl_relay *relay, const struct fl_tail_entry *entry,
    const struct fl_state_hooks *state)
{
	int code;

	if (entry->start == 0 && entry->bytes == entry->total)
		return state->apply_entry(
		    state->ctx, entry->offset, entry->data, entry->bytes);
	if (entry->start != 0 && relay->from != entry->offset)
		return FL_EEXPIRED;
	relay->from = entry->offset;
	code = append_part(
	    relay, entry->total, entry->start, entry->data, entry->bytes);
	if (code != CW_OK || relay->received < relay->total)
		return code;
	code = state->apply_entry(
	    state->ctx, entry->offset, relay->parts, relay->total);
	fl_relay_free(relay);
	return code;
}

/*
 * Handles the answer to TAIL_GET and applies complete entries in order. Returns
 * FL_EEXPIRED for an answer that was not requested or a part that does not
 * follow, FL_ENOMEM, or the error of the state.
 */
int
fl_relay_tail(struct fl_relay *relay, uint64_t sender,
    const struct fl_tail *tail, const struct fl_state_hooks *state)
{
	uint32_t i;
	int code = CW_OK;

	if (relay->mode != FL_RELAY_TAIL || sender != relay->peer)
		return FL_EEXPIRED;
	relay->mode = FL_RELAY_IDLE;
	relay->avoided = 0;
	if (tail->expired != 0) {
		relay->needs_snapshot = true;
		relay->position = 0;
		fl_relay_free(relay);
		return CW_OK;
	}
	if (tail->count == 0)
		relay->avoided = sender;
	for (i = 0; i < tail->count && code == CW_OK; i++) {
		uint64_t next = state->next_offset(state->ctx);

		if (tail->entries[i].offset > next)
			break;
		if (tail->entries[i].offset == next)
			code = apply_entry(relay, &tail->entries[i], state);
	}
	return code;
}

/*
 * Handles the answer to SNAP_GET and installs the image once its last part has
 * arrived. Where the position of the image changes, reading restarts at its
 * first part. Returns the same errors as fl_relay_tail.
 */
int
fl_relay_snap(struct fl_relay *relay, uint64_t sender,
    const struct fl_snap *snap, const struct fl_state_hooks *state)
{
	int code;

	if (relay->mode != FL_RELAY_SNAP || sender != relay->peer)
		return FL_EEXPIRED;
	relay->mode = FL_RELAY_IDLE;
	if (snap->total == 0) {
		relay->avoided = sender;
		return CW_OK;
	}
	if (snap->position != relay->position && snap->start != 0) {
		relay->position = 0;
		fl_relay_free(relay);
		return CW_OK;
	}
	relay->position = snap->position;
	code = append_part(
	    relay, snap->total, snap->start, snap->data, snap->bytes);
	if (code != CW_OK || relay->received < relay->total)
		return code;
	ev_emit(EV_RELAY_SNAPSHOT, "peer=%016llx position=%llu bytes=%zu",
	    (unsigned long long)sender, (unsigned long long)snap->position,
	    relay->total);
	code = state->snap_install(
	    state->ctx, snap->position, relay->parts, relay->total);
	relay->needs_snapshot = false;
	fl_relay_free(relay);
	return code;
}

/* Adds one entry to an answer; a large one is sent in parts, one part per
 * answer. Returns FL_EFULL where no further entry fits. */
static int
serve_entry(void *ctx, uint64_t offset, const void *data, size_t bytes)
{
	struct tail_out *out = ctx;
	struct fl_tail_entry *entry = &out->tail->entries[out->tail->count];
	size_t start = offset == out->get->from ? out->get->start : 0;
	size_t part;

	if (out->tail->count == FL_MSG_ENTRIES_MAX ||
	    bytes > PF_LOG_ENTRY_BYTES_MAX || start > bytes)
		return FL_EFULL;
	part = bytes - start;
	if (part > out->bytes_left) {
		if (out->tail->count != 0)
			return FL_EFULL;
		part = out->bytes_left;
	}
	memcpy(out->buffer, (const unsigned char *)data + start, part);
	entry->offset = offset;
	entry->total = (uint32_t)bytes;
	entry->start = (uint32_t)start;
	entry->bytes = (uint32_t)part;
	entry->data = out->buffer;
	out->buffer += part;
	out->bytes_left -= part;
	out->tail->count++;
	return start + part < bytes ? FL_EFULL : CW_OK;
}

/* Answers TAIL_GET from the entries that the state retains. buffer holds
 * FL_MSG_DATA_BYTES_MAX bytes and must outlive the answer. */
void
fl_relay_serve_tail(const struct fl_state_hooks *state,
    const struct fl_tail_get *get, unsigned char *buffer, struct fl_tail *tail)
{
	struct tail_out out = {get, buffer, FL_MSG_DATA_BYTES_MAX, tail};
	struct pf_log_sink sink = {serve_entry, &out};
	int code;

	tail->count = 0;
	code = state->read_entries(state->ctx, get->from, &sink);
	tail->expired = code == FL_EEXPIRED;
	if (tail->expired != 0)
		tail->count = 0;
}

/* Frees the parts collected so far. */
void
fl_relay_free(struct fl_relay *relay)
{
	free(relay->parts);
	relay->parts = NULL;
	relay->total = 0;
	relay->received = 0;
}
