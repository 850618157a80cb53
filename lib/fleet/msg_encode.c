#include <assert.h>
#include <string.h>

#include <msgpack.h>

#include "fleet.h"

/* The caller's buffer for an encoded message. */
struct writer {
	unsigned char *data;
	size_t bytes; /* written so far */
	size_t bytes_max;
	bool overflow; /* the message does not fit */
};

static int write_bytes(void *ctx, const char *data, size_t bytes);
static void pack_text(msgpack_packer *pk, const char *text);
static void pack_bin(msgpack_packer *pk, const void *data, size_t bytes);
static void put_short_id(unsigned char *at, uint32_t short_id);
static void pack_heartbeat(msgpack_packer *pk, const struct fl_heartbeat *body);
static void pack_tail(msgpack_packer *pk, const struct fl_tail *body);
static void pack_snap(msgpack_packer *pk, const struct fl_snap *body);
static void pack_share(msgpack_packer *pk, const struct fl_share_list *body);
static void pack_result(msgpack_packer *pk, const struct fl_result *body);
static void pack_body(msgpack_packer *pk, const struct fl_msg *msg);

/* Output callback of the MessagePack packer. Returns -1 where the buffer is too
 * small. */
static int
write_bytes(void *ctx, const char *data, size_t bytes)
{
	struct writer *writer = ctx;

	if (writer->overflow || bytes > writer->bytes_max - writer->bytes) {
		writer->overflow = true;
		return -1;
	}
	memcpy(writer->data + writer->bytes, data, bytes);
	writer->bytes += bytes;
	return 0;
}

static void
pack_text(msgpack_packer *pk, const char *text)
{
	size_t bytes = strnlen(text, CW_NAME_BYTES - 1);

	msgpack_pack_str(pk, bytes);
	msgpack_pack_str_body(pk, text, bytes);
}

static void
pack_bin(msgpack_packer *pk, const void *data, size_t bytes)
{
	msgpack_pack_bin(pk, bytes);
	if (bytes != 0)
		msgpack_pack_bin_body(pk, data, bytes);
}

static void
put_short_id(unsigned char *at, uint32_t short_id)
{
	at[0] = (unsigned char)(short_id >> 16);
	at[1] = (unsigned char)(short_id >> 8);
	at[2] = (unsigned char)short_id;
}

static void
pack_heartbeat(msgpack_packer *pk, const struct fl_heartbeat *body)
{
	unsigned char heard[FL_MEMBERS_MAX * FL_SHORT_ID_BYTES];
	unsigned char loads[FL_MSG_LOADS_MAX * (FL_SHORT_ID_BYTES + 1)];
	unsigned char *at = loads;
	uint32_t i;

	assert(body->heard_count <= FL_MEMBERS_MAX);
	assert(body->load_count <= FL_MSG_LOADS_MAX);
	msgpack_pack_array(pk, 7);
	msgpack_pack_uint64(pk, body->position);
	msgpack_pack_uint64(pk, body->digest);
	msgpack_pack_uint64(pk, body->config_version);
	msgpack_pack_uint32(pk, body->leaving);
	msgpack_pack_array(pk, body->has_identity != 0 ? 6 : 0);
	if (body->has_identity != 0) {
		msgpack_pack_int64(pk, body->started_ms);
		msgpack_pack_uint64(pk, body->zone);
		msgpack_pack_uint64(pk, body->region);
		pack_text(pk, body->name);
		pack_text(pk, body->peer_address);
		pack_text(pk, body->http_address);
	}
	for (i = 0; i < body->heard_count; i++)
		put_short_id(
		    heard + (size_t)i * FL_SHORT_ID_BYTES, body->heard[i]);
	pack_bin(pk, heard, (size_t)body->heard_count * FL_SHORT_ID_BYTES);
	for (i = 0; i < body->load_count; i++) {
		uint32_t load = body->loads[i].in_flight;

		put_short_id(at, body->loads[i].upstream);
		at[FL_SHORT_ID_BYTES] =
		    (unsigned char)(load < UINT8_MAX ? load : UINT8_MAX);
		at += FL_SHORT_ID_BYTES + 1;
	}
	pack_bin(pk, loads, (size_t)(at - loads));
}

static void
pack_tail(msgpack_packer *pk, const struct fl_tail *body)
{
	uint32_t i;

	assert(body->count <= FL_MSG_ENTRIES_MAX);
	msgpack_pack_array(pk, 1 + (size_t)body->count * 4);
	msgpack_pack_uint32(pk, body->expired);
	for (i = 0; i < body->count; i++) {
		msgpack_pack_uint64(pk, body->entries[i].offset);
		msgpack_pack_uint32(pk, body->entries[i].total);
		msgpack_pack_uint32(pk, body->entries[i].start);
		pack_bin(pk, body->entries[i].data, body->entries[i].bytes);
	}
}

static void
pack_snap(msgpack_packer *pk, const struct fl_snap *body)
{
	msgpack_pack_array(pk, 4);
	msgpack_pack_uint64(pk, body->position);
	msgpack_pack_uint64(pk, body->total);
	msgpack_pack_uint64(pk, body->start);
	pack_bin(pk, body->data, body->bytes);
}

static void
pack_share(msgpack_packer *pk, const struct fl_share_list *body)
{
	uint32_t i;

	assert(body->count <= FL_ACCOUNTS_MAX);
	msgpack_pack_array(pk, 2 + (size_t)body->count * 3);
	msgpack_pack_uint64(pk, body->sequence);
	msgpack_pack_uint64(pk, body->base);
	for (i = 0; i < body->count; i++) {
		msgpack_pack_uint32(pk, body->entries[i].account);
		msgpack_pack_uint32(pk, body->entries[i].rate_per_s);
		msgpack_pack_uint32(pk, body->entries[i].concurrency);
	}
}

static void
pack_result(msgpack_packer *pk, const struct fl_result *body)
{
	msgpack_pack_array(pk, 4);
	msgpack_pack_uint64(pk, body->ticket);
	msgpack_pack_int32(pk, body->status);
	msgpack_pack_uint32(pk, body->http_status);
	pack_bin(pk, body->data, body->bytes);
}

static void
pack_body(msgpack_packer *pk, const struct fl_msg *msg)
{
	switch (msg->kind) {
	case FL_MSG_HEARTBEAT:
		pack_heartbeat(pk, &msg->body.heartbeat);
		break;
	case FL_MSG_LEAVE:
		msgpack_pack_array(pk, 1);
		msgpack_pack_uint32(pk, msg->body.leave.gone);
		break;
	case FL_MSG_TAIL_GET:
		msgpack_pack_array(pk, 2);
		msgpack_pack_uint64(pk, msg->body.tail_get.from);
		msgpack_pack_uint64(pk, msg->body.tail_get.start);
		break;
	case FL_MSG_TAIL:
		pack_tail(pk, &msg->body.tail);
		break;
	case FL_MSG_SNAP_GET:
		msgpack_pack_array(pk, 2);
		msgpack_pack_uint64(pk, msg->body.snap_get.position);
		msgpack_pack_uint64(pk, msg->body.snap_get.start);
		break;
	case FL_MSG_SNAP:
		pack_snap(pk, &msg->body.snap);
		break;
	case FL_MSG_SHARE_ASK:
	case FL_MSG_SHARE:
		pack_share(pk, &msg->body.share);
		break;
	case FL_MSG_RESULT_GET:
		msgpack_pack_array(pk, 2);
		msgpack_pack_uint64(pk, msg->body.result_get.request_id);
		msgpack_pack_uint64(pk, msg->body.result_get.ticket);
		break;
	default:
		pack_result(pk, &msg->body.result);
		break;
	}
}

/*
 * Encodes a message as the array [version, kind, sender, body]; the fields of
 * the body are identified by their position in an array. Stores the size in
 * *bytes. Returns FL_EBUFFER where the message does not fit; FL_MSG_BYTES_MAX
 * holds every message within bounds.
 */
int
fl_msg_encode(
    const struct fl_msg *msg, void *buffer, size_t bytes_max, size_t *bytes)
{
	struct writer writer = {buffer, 0, bytes_max, false};
	msgpack_packer pk;

	assert(msg->kind > 0 && msg->kind < FL_MSG_KIND_LIMIT);
	msgpack_packer_init(&pk, &writer, write_bytes);
	msgpack_pack_array(&pk, 4);
	msgpack_pack_uint32(&pk, FL_MSG_VERSION);
	msgpack_pack_uint32(&pk, msg->kind);
	msgpack_pack_uint64(&pk, msg->sender);
	pack_body(&pk, msg);
	*bytes = writer.bytes;
	return writer.overflow ? FL_EBUFFER : CW_OK;
}
