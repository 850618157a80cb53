#include <stdlib.h>
#include <string.h>

#include "record_fields.h"
#include "relay.h"

#define FIELDS 14
/* A caller waits 60 s at most. */
#define LEFT_MAX_MS 60000

static void pack_text(msgpack_packer *packer, const char *text);
static const char *copy_text(struct fw_cursor *cursor, char **at);

static void
pack_text(msgpack_packer *packer, const char *text)
{
	fw_pack_text(
	    packer, text != NULL ? text : "", text != NULL ? strlen(text) : 0);
}

/* Encodes a message. The caller frees *out. */
int
fw_relay_encode(
    const struct fw_relay_message *message, void **out, size_t *bytes)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, FIELDS);
	msgpack_pack_uint32(&packer, FW_LAYOUT_VERSION);
	msgpack_pack_uint32(&packer, message->kind);
	msgpack_pack_uint64(&packer, message->call);
	pack_text(&packer, message->from);
	msgpack_pack_uint64(&packer, message->incarnation);
	msgpack_pack_uint64(&packer, message->version);
	msgpack_pack_uint32(&packer, message->left_ms);
	msgpack_pack_uint32(&packer, message->status);
	msgpack_pack_uint32(&packer, message->retry_after_s);
	pack_text(&packer, message->method);
	pack_text(&packer, message->host);
	pack_text(&packer, message->path);
	pack_text(&packer, message->authorization);
	fw_pack_text(&packer, message->body, message->body_bytes);
	fw_release_buffer(&buffer, out, bytes);
	if (*out == NULL)
		return cw_error_set(FW_ENOMEM, "out of memory for a message");
	return CW_OK;
}

/* Copies the next text to *at, with a terminator, and moves *at behind it. A
 * text that has a terminator within is malformed. */
static const char *
copy_text(struct fw_cursor *cursor, char **at)
{
	const msgpack_object *object =
	    fw_next_object(cursor, MSGPACK_OBJECT_BIN);
	char *text = *at;
	size_t bytes = object != NULL ? object->via.bin.size : 0;

	if (bytes > 0) {
		memcpy(text, object->via.bin.ptr, bytes);
		cursor->malformed |= memchr(text, '\0', bytes) != NULL;
	}
	text[bytes] = '\0';
	*at = text + bytes + 1;
	return text;
}

/* Decodes a message into one block, which the caller frees. Returns
 * FW_EBADRECORD or FW_ENOMEM. */
int
fw_relay_decode(const void *data, size_t bytes, struct fw_relay_message **out)
{
	/* The texts, a terminator for each, and the body fit after it. */
	struct fw_relay_message *message =
	    calloc(1, sizeof(*message) + bytes + FIELDS);
	const msgpack_object *body;
	msgpack_unpacked unpacked;
	struct fw_cursor cursor;
	char *at;
	bool good;

	if (message == NULL)
		return cw_error_set(FW_ENOMEM, "out of memory for a message");
	at = (char *)(message + 1);
	good = fw_open_record(&unpacked, data, bytes, &cursor) &&
	    fw_next_int(&cursor, UINT32_MAX) == FW_LAYOUT_VERSION;
	if (good) {
		message->kind = (enum fw_relay_kind)fw_next_int(
		    &cursor, FW_RELAY_ANSWER_NO_STORE);
		message->call = fw_next_id(&cursor);
		message->from = copy_text(&cursor, &at);
		message->incarnation = fw_next_id(&cursor);
		message->version = fw_next_id(&cursor);
		message->left_ms = (uint32_t)fw_next_int(&cursor, LEFT_MAX_MS);
		message->status = (uint32_t)fw_next_int(&cursor, 599);
		message->retry_after_s =
		    (uint32_t)fw_next_int(&cursor, UINT32_MAX);
		message->method = copy_text(&cursor, &at);
		message->host = copy_text(&cursor, &at);
		message->path = copy_text(&cursor, &at);
		message->authorization = copy_text(&cursor, &at);
		body = fw_next_object(&cursor, MSGPACK_OBJECT_BIN);
		if (body != NULL && body->via.bin.size > 0) {
			memcpy(at, body->via.bin.ptr, body->via.bin.size);
			message->body_bytes = body->via.bin.size;
		}
		message->body = at;
		good = !cursor.malformed && message->kind != 0 &&
		    message->call != 0 &&
		    (message->kind != FW_RELAY_ANSWER ||
			message->status >= 200);
	}
	msgpack_unpacked_destroy(&unpacked);
	if (!good) {
		free(message);
		return cw_error_set(FW_EBADRECORD, "malformed message");
	}
	*out = message;
	return CW_OK;
}
