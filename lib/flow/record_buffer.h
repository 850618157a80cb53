#ifndef CAMPHOR_RECORD_BUFFER_H
#define CAMPHOR_RECORD_BUFFER_H

#include "flow.h"

/* A record whose key and value take no more room than they need. */
struct fw_buffered_record {
	char *key; /* its value follows the terminator */
	size_t value_bytes;
	uint64_t offset;
};

/* Copies of the records of a snapshot, which are not applied before all of its
 * pages have been read. */
struct fw_record_buffer {
	struct fw_buffered_record *records;
	size_t count;
	size_t capacity;
};

bool fw_record_buffer_add(
    struct fw_record_buffer *buffer, const struct fw_record *record);
void fw_record_buffer_get(
    const struct fw_record_buffer *buffer, size_t index, struct fw_record *out);
void fw_record_buffer_sort(struct fw_record_buffer *buffer);
void fw_record_buffer_clear(struct fw_record_buffer *buffer);
void fw_record_buffer_free(struct fw_record_buffer *buffer);

#endif
