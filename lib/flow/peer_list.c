#include <inttypes.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "record_fields.h"
#include "relay.h"

/* Delay after an announcement that was not stored. */
#define RETRY_MS 5000
/* Time for one append. The store answers within a few hundred ms. */
#define APPEND_TIMEOUT_MS 2000

struct fw_announcer {
	struct fw_announcer_spec spec;
	atomic_bool stopped;
};

static void announce(void *ctx, int64_t now_ms);
static void on_announced(void *ctx, enum fw_result result, uint64_t end);
static bool is_address(const char *text);
static void next_text(struct fw_cursor *cursor, char *text, size_t capacity);

/* Encodes an announcement. The caller frees *out. */
int
fw_peer_encode(const struct bd_peer *peer, void **out, size_t *bytes)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 7);
	msgpack_pack_uint32(&packer, FW_LAYOUT_VERSION);
	fw_pack_text(&packer, peer->name, strlen(peer->name));
	fw_pack_text(&packer, peer->address, strlen(peer->address));
	fw_pack_text(&packer, peer->zone, strlen(peer->zone));
	fw_pack_text(&packer, peer->region, strlen(peer->region));
	msgpack_pack_uint64(&packer, peer->incarnation);
	msgpack_pack_uint64(&packer, (uint64_t)peer->wall_ms);
	fw_release_buffer(&buffer, out, bytes);
	if (*out == NULL)
		return cw_error_set(
		    FW_ENOMEM, "out of memory for an announcement");
	return CW_OK;
}

/* Returns whether a text has the form "ip:port". */
static bool
is_address(const char *text)
{
	const char *colon = strrchr(text, ':');

	return colon != NULL && colon != text && colon[1] != '\0' &&
	    strspn(colon + 1, "0123456789") == strlen(colon + 1) &&
	    strspn(text, "0123456789abcdefABCDEF.:[]") == strlen(text);
}

/* Reads a text. Nothing is left behind a terminator within it. */
static void
next_text(struct fw_cursor *cursor, char *text, size_t capacity)
{
	size_t bytes;

	fw_next_text(cursor, text, capacity);
	bytes = strnlen(text, capacity);
	memset(text + bytes, 0, capacity - bytes);
}

/* Decodes an announcement. Returns FW_EBADRECORD if it is malformed. */
int
fw_peer_decode(const void *data, size_t bytes, struct bd_peer *out)
{
	msgpack_unpacked unpacked;
	struct fw_cursor cursor;
	bool good;

	memset(out, 0, sizeof(*out));
	good = fw_open_record(&unpacked, data, bytes, &cursor) &&
	    fw_next_int(&cursor, UINT32_MAX) == FW_LAYOUT_VERSION;
	if (good) {
		next_text(&cursor, out->name, sizeof(out->name));
		next_text(&cursor, out->address, sizeof(out->address));
		next_text(&cursor, out->zone, sizeof(out->zone));
		next_text(&cursor, out->region, sizeof(out->region));
		out->incarnation = fw_next_id(&cursor);
		out->wall_ms = fw_next_int(&cursor, INT64_MAX / 4);
		good = !cursor.malformed && is_address(out->address);
		out->id = cw_id_from_name(out->name);
	}
	msgpack_unpacked_destroy(&unpacked);
	return good ? CW_OK
		    : cw_error_set(FW_EBADRECORD,
			  "the announcement of a VM cannot be decoded");
}

/* Applies an announcement or its deletion. It never makes the follower of the
 * jobs wait: without room for it, the VM is not used as a peer. */
int
fw_peer_apply(
    struct bd_board *board, const struct fw_record *record, uint64_t id)
{
	struct bd_peer row;
	int code;

	if (record->value == NULL) {
		bd_remove(board, BD_TABLE_peer, BD_WRITER_FLOW, id);
		return CW_OK;
	}
	code = fw_peer_decode(record->value, record->value_bytes, &row);
	if (code == CW_OK && row.id != id)
		code = cw_error_set(FW_EBADRECORD,
		    "the announcement of %s has another VM's key", row.name);
	if (code != CW_OK)
		return code;
	if (bd_put(board, BD_TABLE_peer, BD_WRITER_FLOW, id, &row, sizeof(row),
		NULL) != CW_OK)
		ev_emit(EV_RELAY_PEER_UNHELD, "vm=%s reason=\"%s\"", row.name,
		    cw_error_last());
	return CW_OK;
}

/* Returns whether an announcement is recent. One from the future is not, as it
 * would never become old. */
bool
fw_peer_usable(const struct bd_peer *peer, int64_t wall_ms)
{
	return wall_ms - peer->wall_ms <= FW_PEER_AGE_MAX_MS &&
	    peer->wall_ms - wall_ms <= FW_PEER_AGE_MAX_MS;
}

/* Returns whether a VM with this peer address has announced itself. */
bool
fw_peer_known(
    const struct bd_board *board, const char *address, int64_t wall_ms)
{
	const struct bd_peer *row;
	uint32_t cursor = 0;
	bool known = false;

	bd_read_begin();
	while (!known && (row = bd_peer_next(board, &cursor)) != NULL)
		known = strcmp(row->address, address) == 0 &&
		    fw_peer_usable(row, wall_ms);
	bd_read_end();
	return known;
}

/* Adds the deletions of old announcements to the open batch of the placer. Call
 * within a read section. */
int
fw_peers_prune(
    struct fw_writer *writer, const struct bd_board *board, int64_t wall_ms)
{
	const struct bd_peer *row;
	uint32_t cursor = 0;
	int code = CW_OK;
	char name[BD_FLOW_NAME_BYTES];

	while (code == CW_OK && (row = bd_peer_next(board, &cursor)) != NULL) {
		if (fw_peer_usable(row, wall_ms))
			continue;
		snprintf(name, sizeof(name), "%016" PRIx64, row->id);
		code = fw_writer_add(writer, FW_RECORD_PEER, name, NULL, 0);
	}
	return code;
}

/* Appends the announcement, and schedules the next one. */
static void
announce(void *ctx, int64_t now_ms)
{
	struct fw_announcer *announcer = ctx;
	struct fw_store *store = &announcer->spec.store;
	struct fw_record record = {0};
	struct fw_append append = {.topic = FW_TOPIC_JOBS,
	    .records = &record,
	    .count = 1,
	    .timeout_ms = APPEND_TIMEOUT_MS,
	    .done = on_announced,
	    .ctx = announcer};
	char name[BD_FLOW_NAME_BYTES];
	void *value = NULL;
	int code;

	(void)now_ms;
	if (atomic_load(&announcer->stopped))
		return;
	announcer->spec.self.wall_ms =
	    announcer->spec.wall_ms(announcer->spec.ctx);
	code =
	    fw_peer_encode(&announcer->spec.self, &value, &record.value_bytes);
	if (code == CW_OK) {
		snprintf(
		    name, sizeof(name), "%016" PRIx64, announcer->spec.self.id);
		fw_record_key(record.key, FW_RECORD_PEER, name);
		record.value = value;
		code = store->append(store->ctx, &append);
	}
	free(value);
	if (code != CW_OK)
		store->after(store->ctx, RETRY_MS, announce, announcer);
}

static void
on_announced(void *ctx, enum fw_result result, uint64_t end)
{
	struct fw_announcer *announcer = ctx;
	struct fw_store *store = &announcer->spec.store;

	(void)end;
	if (atomic_load(&announcer->stopped))
		return;
	if (result == FW_RESULT_DONE)
		ev_emit(EV_RELAY_ANNOUNCED, "vm=%s address=%s",
		    announcer->spec.self.name, announcer->spec.self.address);
	store->after(store->ctx,
	    result == FW_RESULT_DONE ? FW_PEER_ANNOUNCE_MS : RETRY_MS, announce,
	    announcer);
}

/* Announces this VM now and from time to time, on the platform's thread. */
int
fw_announcer_start(
    struct fw_announcer **out, const struct fw_announcer_spec *spec)
{
	struct fw_announcer *announcer = calloc(1, sizeof(*announcer));
	int code;

	if (announcer == NULL)
		return cw_error_set(FW_ENOMEM, "no memory for announcements");
	announcer->spec = *spec;
	code = spec->store.after(spec->store.ctx, 0, announce, announcer);
	if (code != CW_OK) {
		free(announcer);
		return code;
	}
	*out = announcer;
	return CW_OK;
}

/* Ends the announcements. Free the announcer once no callback of the store runs
 * any more. */
void
fw_announcer_stop(struct fw_announcer *announcer)
{
	atomic_store(&announcer->stopped, true);
}

void
fw_announcer_free(struct fw_announcer *announcer)
{
	free(announcer);
}
