#include <assert.h>
#include <string.h>

#include <msgpack.h>

#include "fleet.h"

/* Walks over the fields of a body; the first wrong field makes it bad. */
struct in {
	const msgpack_object *items;
	uint32_t count;
	uint32_t next;
	bool bad;
};

static uint64_t big_endian(const unsigned char *data, uint32_t bytes);
static bool are_counts_sane(const unsigned char *data, size_t bytes);
static const msgpack_object *take(struct in *in, msgpack_object_type type);
static uint64_t take_uint(struct in *in, uint64_t max);
static int64_t take_int(struct in *in);
static void take_text(struct in *in, char text[CW_NAME_BYTES]);
static const void *take_bin(struct in *in, size_t max, uint32_t *bytes);
static struct in take_array(struct in *in);
static void take_heartbeat(struct in *in, struct fl_heartbeat *body);
static void take_tail(struct in *in, struct fl_tail *body);
static void take_snap(struct in *in, struct fl_snap *body);
static void take_share(struct in *in, struct fl_share_list *body);
static void take_result(struct in *in, struct fl_result *body);
static void take_body(struct in *in, struct fl_msg *msg);

static uint64_t
big_endian(const unsigned char *data, uint32_t bytes)
{
	uint64_t value = 0;

	while (bytes-- > 0)
		value = value << 8 | *data++;
	return value;
}

/*
 * The library allocates what a container's header announces, so a header of 5
 * bytes can ask for gigabytes. Refuses containers with more items than bytes
 * follow; every item takes one byte at least.
 */
static bool
are_counts_sane(const unsigned char *data, size_t bytes)
{
	/* Bytes after the type byte, 0xc0 to 0xdf; size fields for the rest. */
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
				items = big_endian(data + at, size);
			else
				skip += big_endian(data + at, size);
			at += size;
		}
		if (skip > bytes - at || items > bytes - at)
			return false;
		at += skip;
	}
	return true;
}

static const msgpack_object *
take(struct in *in, msgpack_object_type type)
{
	const msgpack_object *item;

	if (in->bad || in->next >= in->count) {
		in->bad = true;
		return NULL;
	}
	item = &in->items[in->next++];
	if (item->type != type) {
		in->bad = true;
		return NULL;
	}
	return item;
}

static uint64_t
take_uint(struct in *in, uint64_t max)
{
	const msgpack_object *item = take(in, MSGPACK_OBJECT_POSITIVE_INTEGER);

	if (item == NULL)
		return 0;
	if (item->via.u64 > max)
		in->bad = true;
	return in->bad ? 0 : item->via.u64;
}

static int64_t
take_int(struct in *in)
{
	if (in->next < in->count &&
	    in->items[in->next].type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
		const msgpack_object *item =
		    take(in, MSGPACK_OBJECT_NEGATIVE_INTEGER);

		return item == NULL ? 0 : item->via.i64;
	}
	return (int64_t)take_uint(in, INT64_MAX);
}

static void
take_text(struct in *in, char text[CW_NAME_BYTES])
{
	const msgpack_object *item = take(in, MSGPACK_OBJECT_STR);

	if (item == NULL)
		return;
	if (item->via.str.size >= CW_NAME_BYTES ||
	    memchr(item->via.str.ptr, 0, item->via.str.size) != NULL) {
		in->bad = true;
		return;
	}
	memset(text, 0, CW_NAME_BYTES);
	memcpy(text, item->via.str.ptr, item->via.str.size);
}

static const void *
take_bin(struct in *in, size_t max, uint32_t *bytes)
{
	const msgpack_object *item = take(in, MSGPACK_OBJECT_BIN);

	*bytes = 0;
	if (item == NULL)
		return NULL;
	if (item->via.bin.size > max) {
		in->bad = true;
		return NULL;
	}
	*bytes = item->via.bin.size;
	return item->via.bin.ptr;
}

static struct in
take_array(struct in *in)
{
	const msgpack_object *item = take(in, MSGPACK_OBJECT_ARRAY);
	struct in inner = {0};

	if (item == NULL) {
		inner.bad = true;
		return inner;
	}
	inner.items = item->via.array.ptr;
	inner.count = item->via.array.size;
	return inner;
}

static void
take_heartbeat(struct in *in, struct fl_heartbeat *body)
{
	const unsigned char *packed;
	struct in part;
	uint32_t bytes;
	uint32_t i;

	memset(body, 0, sizeof(*body));
	body->position = take_uint(in, UINT64_MAX);
	body->digest = take_uint(in, UINT64_MAX);
	body->config_version = take_uint(in, UINT64_MAX);
	body->leaving = (uint32_t)take_uint(in, 1);
	part = take_array(in);
	if (part.count != 0) {
		body->identified = 1;
		body->started_ms = take_int(&part);
		body->zone = take_uint(&part, UINT64_MAX);
		body->region = take_uint(&part, UINT64_MAX);
		take_text(&part, body->name);
		take_text(&part, body->peer_address);
		take_text(&part, body->http_address);
	}
	in->bad |= part.bad;
	packed = take_bin(in, FL_MEMBERS_MAX * FL_SHORT_BYTES, &bytes);
	if (in->bad || bytes % FL_SHORT_BYTES != 0) {
		in->bad = true;
		return;
	}
	body->heard_count = bytes / FL_SHORT_BYTES;
	for (i = 0; i < body->heard_count; i++)
		body->heard[i] = (uint32_t)big_endian(
		    packed + (size_t)i * FL_SHORT_BYTES, FL_SHORT_BYTES);
	packed = take_bin(in, FL_MSG_LOADS_MAX * (FL_SHORT_BYTES + 1), &bytes);
	if (in->bad || bytes % (FL_SHORT_BYTES + 1) != 0) {
		in->bad = true;
		return;
	}
	body->load_count = bytes / (FL_SHORT_BYTES + 1);
	for (i = 0; i < body->load_count; i++) {
		body->loads[i].runner =
		    (uint32_t)big_endian(packed, FL_SHORT_BYTES);
		body->loads[i].in_flight = packed[FL_SHORT_BYTES];
		packed += FL_SHORT_BYTES + 1;
	}
}

static void
take_tail(struct in *in, struct fl_tail *body)
{
	size_t room = FL_MSG_DATA_BYTES_MAX;
	uint32_t i;

	body->expired = (uint32_t)take_uint(in, 1);
	body->count = (in->count - in->next) / 4;
	if (in->bad || body->count > FL_MSG_ENTRIES_MAX) {
		in->bad = true;
		return;
	}
	for (i = 0; i < body->count && !in->bad; i++) {
		struct fl_tail_entry *entry = &body->entries[i];

		entry->offset = take_uint(in, UINT64_MAX);
		entry->total = (uint32_t)take_uint(in, PF_LOG_ENTRY_BYTES_MAX);
		entry->start = (uint32_t)take_uint(in, PF_LOG_ENTRY_BYTES_MAX);
		entry->data = take_bin(in, room, &entry->bytes);
		room -= entry->bytes;
		if (entry->start > entry->total ||
		    entry->bytes > entry->total - entry->start)
			in->bad = true;
	}
}

static void
take_snap(struct in *in, struct fl_snap *body)
{
	body->position = take_uint(in, UINT64_MAX);
	body->total = take_uint(in, FL_SNAP_BYTES_MAX);
	body->start = take_uint(in, FL_SNAP_BYTES_MAX);
	body->data = take_bin(in, FL_MSG_DATA_BYTES_MAX, &body->bytes);
	if (body->start > body->total ||
	    body->bytes > body->total - body->start)
		in->bad = true;
}

static void
take_share(struct in *in, struct fl_share_list *body)
{
	uint32_t i;

	body->sequence = take_uint(in, UINT64_MAX);
	body->base = take_uint(in, UINT64_MAX);
	body->count = (in->count - in->next) / 3;
	if (in->bad || body->count > FL_ACCOUNTS_MAX) {
		in->bad = true;
		return;
	}
	for (i = 0; i < body->count; i++) {
		struct fl_share_entry *entry = &body->entries[i];

		entry->account = (uint32_t)take_uint(in, UINT32_MAX);
		entry->rate_per_s = (uint32_t)take_uint(in, UINT32_MAX);
		entry->concurrency = (uint32_t)take_uint(in, UINT32_MAX);
	}
}

static void
take_result(struct in *in, struct fl_result *body)
{
	int64_t status;

	body->ticket = take_uint(in, UINT64_MAX);
	status = take_int(in);
	if (status < INT32_MIN || status > 0)
		in->bad = true;
	body->status = (int32_t)status;
	body->http_status = (uint32_t)take_uint(in, 999);
	body->data = take_bin(in, FL_MSG_DATA_BYTES_MAX, &body->bytes);
}

static void
take_body(struct in *in, struct fl_msg *msg)
{
	switch (msg->kind) {
	case FL_MSG_HEARTBEAT:
		take_heartbeat(in, &msg->body.heartbeat);
		break;
	case FL_MSG_LEAVE:
		msg->body.leave.gone = (uint32_t)take_uint(in, 1);
		break;
	case FL_MSG_TAIL_GET:
		msg->body.tail_get.from = take_uint(in, UINT64_MAX);
		msg->body.tail_get.start =
		    take_uint(in, PF_LOG_ENTRY_BYTES_MAX);
		break;
	case FL_MSG_TAIL:
		take_tail(in, &msg->body.tail);
		break;
	case FL_MSG_SNAP_GET:
		msg->body.snap_get.position = take_uint(in, UINT64_MAX);
		msg->body.snap_get.start = take_uint(in, FL_SNAP_BYTES_MAX);
		break;
	case FL_MSG_SNAP:
		take_snap(in, &msg->body.snap);
		break;
	case FL_MSG_SHARE_ASK:
	case FL_MSG_SHARE:
		take_share(in, &msg->body.share);
		break;
	case FL_MSG_RESULT_GET:
		msg->body.result_get.request_id = take_uint(in, UINT64_MAX);
		msg->body.result_get.ticket = take_uint(in, UINT64_MAX);
		break;
	default:
		take_result(in, &msg->body.result);
		break;
	}
}

/*
 * Decodes one message; pointers in it refer to data. Extra fields at the end
 * of a body are ignored, so that a later version can add some. Returns
 * FL_EMALFORMED for everything that breaks a bound, and FL_ETOOLARGE.
 */
int
fl_msg_decode(const void *data, size_t bytes, struct fl_msg *msg)
{
	msgpack_unpacked unpacked;
	struct in in = {0};
	struct in body;

	assert(msg != NULL);
	if (bytes > FL_MSG_BYTES_MAX)
		return FL_ETOOLARGE;
	if (bytes == 0 || !are_counts_sane(data, bytes))
		return FL_EMALFORMED;
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, data, bytes, NULL) ==
		MSGPACK_UNPACK_SUCCESS &&
	    unpacked.data.type == MSGPACK_OBJECT_ARRAY) {
		in.items = unpacked.data.via.array.ptr;
		in.count = unpacked.data.via.array.size;
	}
	if (take_uint(&in, FL_MSG_VERSION) != FL_MSG_VERSION)
		in.bad = true;
	msg->kind = (uint32_t)take_uint(&in, FL_MSG_KIND_LIMIT - 1);
	msg->sender = take_uint(&in, UINT64_MAX);
	body = take_array(&in);
	if (!in.bad && msg->kind != 0 && msg->sender != 0)
		take_body(&body, msg);
	else
		body.bad = true;
	msgpack_unpacked_destroy(&unpacked);
	return body.bad ? FL_EMALFORMED : CW_OK;
}
