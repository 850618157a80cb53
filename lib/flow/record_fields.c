#include <string.h>

#include "record_fields.h"

/* Packs a text, of any bytes. */
void
fw_pack_text(msgpack_packer *packer, const char *text, size_t bytes)
{
	msgpack_pack_bin(packer, bytes);
	msgpack_pack_bin_body(packer, text, bytes);
}

/* Takes what was packed out of a buffer; the caller frees *out, NULL if memory
 * was exhausted. */
void
fw_release_buffer(msgpack_sbuffer *buffer, void **out, size_t *bytes)
{
	*bytes = buffer->size;
	*out = msgpack_sbuffer_release(buffer);
}

/* Unpacks a record, which is one array, and sets the cursor to its first
 * element. Returns false if it is malformed; the caller destroys unpacked in
 * both cases. */
bool
fw_open_record(msgpack_unpacked *unpacked, const void *data, size_t bytes,
    struct fw_cursor *cursor)
{
	size_t used;

	msgpack_unpacked_init(unpacked);
	if (!cw_msgpack_is_complete(data, bytes, &used) ||
	    msgpack_unpack_next(unpacked, data, bytes, NULL) !=
		MSGPACK_UNPACK_SUCCESS ||
	    unpacked->data.type != MSGPACK_OBJECT_ARRAY)
		return false;
	cursor->malformed = false;
	cursor->next = unpacked->data.via.array.ptr;
	cursor->remaining = unpacked->data.via.array.size;
	return true;
}

/* Returns the next element, or NULL if it is of another type or missing. */
const msgpack_object *
fw_next_object(struct fw_cursor *cursor, msgpack_object_type type)
{
	const msgpack_object *object = cursor->next;

	if (cursor->malformed || cursor->remaining == 0 ||
	    object->type != type) {
		cursor->malformed = true;
		return NULL;
	}
	cursor->next++;
	cursor->remaining--;
	return object;
}

/* Reads an integer from 0 to max. */
int64_t
fw_next_int(struct fw_cursor *cursor, int64_t max)
{
	const msgpack_object *object =
	    fw_next_object(cursor, MSGPACK_OBJECT_POSITIVE_INTEGER);

	if (object == NULL || object->via.u64 > (uint64_t)max) {
		cursor->malformed = true;
		return 0;
	}
	return (int64_t)object->via.u64;
}

/* Reads an id, any number of 64 bits. */
uint64_t
fw_next_id(struct fw_cursor *cursor)
{
	const msgpack_object *object =
	    fw_next_object(cursor, MSGPACK_OBJECT_POSITIVE_INTEGER);

	return object != NULL ? object->via.u64 : 0;
}

/* Reads a text into an array, with a terminator. */
void
fw_next_text(struct fw_cursor *cursor, char *text, size_t capacity)
{
	const msgpack_object *object =
	    fw_next_object(cursor, MSGPACK_OBJECT_BIN);

	if (object == NULL || object->via.bin.size >= capacity) {
		cursor->malformed = true;
		return;
	}
	if (object->via.bin.size > 0)
		memcpy(text, object->via.bin.ptr, object->via.bin.size);
	text[object->via.bin.size] = '\0';
}

/* Sets *array to the elements of the next array. */
void
fw_next_array(struct fw_cursor *cursor, struct fw_cursor *array)
{
	const msgpack_object *object =
	    fw_next_object(cursor, MSGPACK_OBJECT_ARRAY);

	array->malformed = object == NULL;
	array->next = object != NULL ? object->via.array.ptr : NULL;
	array->remaining = object != NULL ? object->via.array.size : 0;
}
