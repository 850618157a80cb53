#include <assert.h>
#include <string.h>

#include <msgpack.h>

#include "fleet.h"

/* Reads the fields of an array in order; the first invalid field sets
 * malformed, after which all reads fail. */
struct reader {
	const msgpack_object *items;
	uint32_t count;
	uint32_t next;
	bool malformed;
};

static uint64_t load_big_endian(const unsigned char *data, uint32_t bytes);
static bool are_counts_bounded(const unsigned char *data, size_t bytes);
static const msgpack_object *read_item(
    struct reader *reader, msgpack_object_type type);
static uint64_t read_uint(struct reader *reader, uint64_t max);
static int64_t read_int(struct reader *reader);
static void read_text(struct reader *reader, char text[CW_NAME_BYTES]);
static const void *read_bin(struct reader *reader, size_t max, uint32_t *bytes);
static struct reader read_array(struct reader *reader);
static void read_heartbeat(struct reader *reader, struct fl_heartbeat *body);
static void read_tail(struct reader *reader, struct fl_tail *body);
static void read_snap(struct reader *reader, struct fl_snap *body);
static void read_share(struct reader *reader, struct fl_share_list *body);
static void read_result(struct reader *reader, struct fl_result *body);
static void read_body(struct reader *reader, struct fl_msg *msg);

/* Loads a big-endian unsigned integer. */
static uint64_t
load_big_endian(const unsigned char *data, uint32_t bytes)
{
	uint64_t value = 0;

	while (bytes-- > 0)
		value = value << 8 | *data++;
	return value;
}

/*
 * Returns whether no container declares more items than bytes follow; every
 * item takes at least one byte. Checked before decoding, because the
 * MessagePack library allocates the size that a container's header declares, so
 * that a header of 5 bytes can cause an allocation of gigabytes.
 */
static bool
are_counts_bounded(const unsigned char *data, size_t bytes)
{
	/* For the types 0xc0 to 0xdf: fixed payload bytes, and the width of the
	 * length field. */
	static const unsigned char fixed[32] = {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 4,
	    8, 1, 2, 4, 8, 1, 2, 4, 8, 2, 3, 5, 9, 17, 0, 0, 0, 0, 0, 0, 0};
	static const unsigned char width[32] = {0, 0, 0, 0, 1, 2, 4, 1, 2, 4, 0,
	    0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 2, 4, 2, 4, 2, 4};
	size_t at = 0;

	while (at < bytes) {
		unsigned char type = data[at++];
		uint64_t skip = 0;
		uint64_t items = 0;

		if (type >= 0x80 && type <= 0x9f) {
			items = type & 0x0f;
		} else if (type >= 0xa0 && type <= 0xbf) {
			skip = type & 0x1f;
		} else if (type >= 0xc0 && type <= 0xdf) {
			uint32_t size = width[type - 0xc0];

			if (bytes - at < size)
				return false;
			skip = fixed[type - 0xc0] +
			    (type >= 0xc7 &&
				type <= 0xc9); /* the extension's type */
			if (type >= 0xdc)
				items = load_big_endian(data + at, size);
			else
				skip += load_big_endian(data + at, size);
			at += size;
		}
		if (skip > bytes - at || items > bytes - at)
			return false;
		at += skip;
	}
	return true;
}

/* Returns the next field, NULL where there is none or its type differs. */
static const msgpack_object *
read_item(struct reader *reader, msgpack_object_type type)
{
	const msgpack_object *item;

	if (reader->malformed || reader->next >= reader->count) {
		reader->malformed = true;
		return NULL;
	}
	item = &reader->items[reader->next++];
	if (item->type != type) {
		reader->malformed = true;
		return NULL;
	}
	return item;
}

static uint64_t
read_uint(struct reader *reader, uint64_t max)
{
	const msgpack_object *item =
	    read_item(reader, MSGPACK_OBJECT_POSITIVE_INTEGER);

	if (item == NULL)
		return 0;
	if (item->via.u64 > max)
		reader->malformed = true;
	return reader->malformed ? 0 : item->via.u64;
}

static int64_t
read_int(struct reader *reader)
{
	if (reader->next < reader->count &&
	    reader->items[reader->next].type ==
		MSGPACK_OBJECT_NEGATIVE_INTEGER) {
		const msgpack_object *item =
		    read_item(reader, MSGPACK_OBJECT_NEGATIVE_INTEGER);

		return item == NULL ? 0 : item->via.i64;
	}
	return (int64_t)read_uint(reader, INT64_MAX);
}

static void
read_text(struct reader *reader, char text[CW_NAME_BYTES])
{
	const msgpack_object *item = read_item(reader, MSGPACK_OBJECT_STR);

	if (item == NULL)
		return;
	/* msgpack gives no address for an empty text at the end. */
	if (item->via.str.size == 0) {
		memset(text, 0, CW_NAME_BYTES);
		return;
	}
	if (item->via.str.size >= CW_NAME_BYTES ||
	    memchr(item->via.str.ptr, 0, item->via.str.size) != NULL) {
		reader->malformed = true;
		return;
	}
	memset(text, 0, CW_NAME_BYTES);
	memcpy(text, item->via.str.ptr, item->via.str.size);
}

static const void *
read_bin(struct reader *reader, size_t max, uint32_t *bytes)
{
	const msgpack_object *item = read_item(reader, MSGPACK_OBJECT_BIN);

	*bytes = 0;
	if (item == NULL)
		return NULL;
	if (item->via.bin.size > max) {
		reader->malformed = true;
		return NULL;
	}
	*bytes = item->via.bin.size;
	return item->via.bin.ptr;
}

static struct reader
read_array(struct reader *reader)
{
	const msgpack_object *item = read_item(reader, MSGPACK_OBJECT_ARRAY);
	struct reader inner = {0};

	if (item == NULL) {
		inner.malformed = true;
		return inner;
	}
	inner.items = item->via.array.ptr;
	inner.count = item->via.array.size;
	return inner;
}

static void
read_heartbeat(struct reader *reader, struct fl_heartbeat *body)
{
	const unsigned char *packed;
	struct reader part;
	uint32_t bytes;
	uint32_t i;

	memset(body, 0, sizeof(*body));
	body->position = read_uint(reader, UINT64_MAX);
	body->digest = read_uint(reader, UINT64_MAX);
	body->config_version = read_uint(reader, UINT64_MAX);
	body->leaving = (uint32_t)read_uint(reader, 1);
	part = read_array(reader);
	if (part.count != 0) {
		body->has_identity = 1;
		body->started_ms = read_int(&part);
		body->zone = read_uint(&part, UINT64_MAX);
		body->region = read_uint(&part, UINT64_MAX);
		read_text(&part, body->name);
		read_text(&part, body->peer_address);
		read_text(&part, body->http_address);
	}
	reader->malformed |= part.malformed;
	packed = read_bin(reader, FL_MEMBERS_MAX * FL_SHORT_ID_BYTES, &bytes);
	if (reader->malformed || bytes % FL_SHORT_ID_BYTES != 0) {
		reader->malformed = true;
		return;
	}
	body->heard_count = bytes / FL_SHORT_ID_BYTES;
	for (i = 0; i < body->heard_count; i++)
		body->heard[i] = (uint32_t)load_big_endian(
		    packed + (size_t)i * FL_SHORT_ID_BYTES, FL_SHORT_ID_BYTES);
	packed = read_bin(
	    reader, FL_MSG_LOADS_MAX * (FL_SHORT_ID_BYTES + 1), &bytes);
	if (reader->malformed || bytes % (FL_SHORT_ID_BYTES + 1) != 0) {
		reader->malformed = true;
		return;
	}
	body->load_count = bytes / (FL_SHORT_ID_BYTES + 1);
	for (i = 0; i < body->load_count; i++) {
		body->loads[i].upstream =
		    (uint32_t)load_big_endian(packed, FL_SHORT_ID_BYTES);
		body->loads[i].in_flight = packed[FL_SHORT_ID_BYTES];
		packed += FL_SHORT_ID_BYTES + 1;
	}
}

static void
read_tail(struct reader *reader, struct fl_tail *body)
{
	size_t bytes_left = FL_MSG_DATA_BYTES_MAX;
	uint32_t i;

	body->expired = (uint32_t)read_uint(reader, 1);
	body->count = (reader->count - reader->next) / 4;
	if (reader->malformed || body->count > FL_MSG_ENTRIES_MAX) {
		reader->malformed = true;
		return;
	}
	for (i = 0; i < body->count && !reader->malformed; i++) {
		struct fl_tail_entry *entry = &body->entries[i];

		entry->offset = read_uint(reader, UINT64_MAX);
		entry->total =
		    (uint32_t)read_uint(reader, PF_LOG_ENTRY_BYTES_MAX);
		entry->start =
		    (uint32_t)read_uint(reader, PF_LOG_ENTRY_BYTES_MAX);
		entry->data = read_bin(reader, bytes_left, &entry->bytes);
		bytes_left -= entry->bytes;
		if (entry->start > entry->total ||
		    entry->bytes > entry->total - entry->start)
			reader->malformed = true;
	}
}

static void
read_snap(struct reader *reader, struct fl_snap *body)
{
	body->position = read_uint(reader, UINT64_MAX);
	body->total = read_uint(reader, FL_SNAP_BYTES_MAX);
	body->start = read_uint(reader, FL_SNAP_BYTES_MAX);
	body->data = read_bin(reader, FL_MSG_DATA_BYTES_MAX, &body->bytes);
	if (body->start > body->total ||
	    body->bytes > body->total - body->start)
		reader->malformed = true;
}

static void
read_share(struct reader *reader, struct fl_share_list *body)
{
	uint32_t i;

	body->sequence = read_uint(reader, UINT64_MAX);
	body->base = read_uint(reader, UINT64_MAX);
	body->count = (reader->count - reader->next) / 3;
	if (reader->malformed || body->count > FL_ACCOUNTS_MAX) {
		reader->malformed = true;
		return;
	}
	for (i = 0; i < body->count; i++) {
		struct fl_share_entry *entry = &body->entries[i];

		entry->account = (uint32_t)read_uint(reader, UINT32_MAX);
		entry->rate_per_s = (uint32_t)read_uint(reader, UINT32_MAX);
		entry->concurrency = (uint32_t)read_uint(reader, UINT32_MAX);
	}
}

static void
read_result(struct reader *reader, struct fl_result *body)
{
	int64_t status;

	body->ticket = read_uint(reader, UINT64_MAX);
	status = read_int(reader);
	if (status < INT32_MIN || status > 0)
		reader->malformed = true;
	body->status = (int32_t)status;
	body->http_status = (uint32_t)read_uint(reader, 999);
	body->data = read_bin(reader, FL_MSG_DATA_BYTES_MAX, &body->bytes);
}

static void
read_body(struct reader *reader, struct fl_msg *msg)
{
	switch (msg->kind) {
	case FL_MSG_HEARTBEAT:
		read_heartbeat(reader, &msg->body.heartbeat);
		break;
	case FL_MSG_LEAVE:
		msg->body.leave.gone = (uint32_t)read_uint(reader, 1);
		break;
	case FL_MSG_TAIL_GET:
		msg->body.tail_get.from = read_uint(reader, UINT64_MAX);
		msg->body.tail_get.start =
		    read_uint(reader, PF_LOG_ENTRY_BYTES_MAX);
		break;
	case FL_MSG_TAIL:
		read_tail(reader, &msg->body.tail);
		break;
	case FL_MSG_SNAP_GET:
		msg->body.snap_get.position = read_uint(reader, UINT64_MAX);
		msg->body.snap_get.start = read_uint(reader, FL_SNAP_BYTES_MAX);
		break;
	case FL_MSG_SNAP:
		read_snap(reader, &msg->body.snap);
		break;
	case FL_MSG_SHARE_ASK:
	case FL_MSG_SHARE:
		read_share(reader, &msg->body.share);
		break;
	case FL_MSG_RESULT_GET:
		msg->body.result_get.request_id = read_uint(reader, UINT64_MAX);
		msg->body.result_get.ticket = read_uint(reader, UINT64_MAX);
		break;
	default:
		read_result(reader, &msg->body.result);
		break;
	}
}

/*
 * Decodes one message; pointers in it refer to data. Extra fields at the end
 * of a body are ignored, so that a later version can add some. Returns
 * FL_EMALFORMED for any message that is invalid or exceeds a bound, and
 * FL_ETOOLARGE above FL_MSG_BYTES_MAX.
 */
int
fl_msg_decode(const void *data, size_t bytes, struct fl_msg *msg)
{
	msgpack_unpacked unpacked;
	struct reader reader = {0};
	struct reader body;

	assert(msg != NULL);
	if (bytes > FL_MSG_BYTES_MAX)
		return FL_ETOOLARGE;
	if (bytes == 0 || !are_counts_bounded(data, bytes))
		return FL_EMALFORMED;
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, data, bytes, NULL) ==
		MSGPACK_UNPACK_SUCCESS &&
	    unpacked.data.type == MSGPACK_OBJECT_ARRAY) {
		reader.items = unpacked.data.via.array.ptr;
		reader.count = unpacked.data.via.array.size;
	}
	if (read_uint(&reader, FL_MSG_VERSION) != FL_MSG_VERSION)
		reader.malformed = true;
	msg->kind = (uint32_t)read_uint(&reader, FL_MSG_KIND_LIMIT - 1);
	msg->sender = read_uint(&reader, UINT64_MAX);
	body = read_array(&reader);
	if (!reader.malformed && msg->kind != 0 && msg->sender != 0)
		read_body(&body, msg);
	else
		body.malformed = true;
	msgpack_unpacked_destroy(&unpacked);
	return body.malformed ? FL_EMALFORMED : CW_OK;
}
