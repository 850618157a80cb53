#ifndef CAMPHOR_RECORD_FIELDS_H
#define CAMPHOR_RECORD_FIELDS_H

#include <msgpack.h>

#include "flow_internal.h"

/* Version of the record layouts; records of other versions are rejected. */
#define FW_LAYOUT_VERSION 1

/* Reads the elements of one array in order. An element that is missing, out of
 * range or of a wrong type marks the cursor as malformed. */
struct fw_cursor {
	const msgpack_object *next;
	uint32_t remaining;
	bool malformed;
};

void fw_pack_text(msgpack_packer *packer, const char *text, size_t bytes);
void fw_release_buffer(msgpack_sbuffer *buffer, void **out, size_t *bytes);
bool fw_open_record(msgpack_unpacked *unpacked, const void *data, size_t bytes,
    struct fw_cursor *cursor);
const msgpack_object *fw_next_object(
    struct fw_cursor *cursor, msgpack_object_type type);
int64_t fw_next_int(struct fw_cursor *cursor, int64_t max);
uint64_t fw_next_id(struct fw_cursor *cursor);
void fw_next_text(struct fw_cursor *cursor, char *text, size_t capacity);
void fw_next_array(struct fw_cursor *cursor, struct fw_cursor *array);

#endif
