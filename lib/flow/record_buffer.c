#include <stdlib.h>
#include <string.h>

#include "record_buffer.h"

#define RECORDS_INITIAL 64

static int compare_records(const void *a, const void *b);

/* Adds a copy of a record that has a value. Returns false when out of memory.
 */
bool
fw_record_buffer_add(
    struct fw_record_buffer *buffer, const struct fw_record *record)
{
	size_t key_bytes = strlen(record->key) + 1;
	char *key;

	if (buffer->count == buffer->capacity) {
		size_t capacity = buffer->capacity == 0 ? RECORDS_INITIAL
							: buffer->capacity * 2;
		struct fw_buffered_record *grown =
		    realloc(buffer->records, capacity * sizeof(*grown));

		if (grown == NULL)
			return false;
		buffer->records = grown;
		buffer->capacity = capacity;
	}
	key = malloc(key_bytes + record->value_bytes);
	if (key == NULL)
		return false;
	memcpy(key, record->key, key_bytes);
	memcpy(key + key_bytes, record->value, record->value_bytes);
	buffer->records[buffer->count++] =
	    (struct fw_buffered_record){.key = key,
		.value_bytes = record->value_bytes,
		.offset = record->offset};
	return true;
}

/* Sets *out to a record of the buffer; its value stays the buffer's. */
void
fw_record_buffer_get(
    const struct fw_record_buffer *buffer, size_t index, struct fw_record *out)
{
	const struct fw_buffered_record *record = &buffer->records[index];
	size_t key_bytes = strlen(record->key) + 1;

	memcpy(out->key, record->key, key_bytes);
	out->value = record->key + key_bytes;
	out->value_bytes = record->value_bytes;
	out->offset = record->offset;
	out->cursor = NULL;
}

/* Orders the records of jobs before the records that refer to them, and
 * otherwise by offset. */
static int
compare_records(const void *a, const void *b)
{
	const struct fw_buffered_record *x = a;
	const struct fw_buffered_record *y = b;
	bool x_job = x->key[0] == FW_RECORD_JOB;
	bool y_job = y->key[0] == FW_RECORD_JOB;

	if (x_job != y_job)
		return x_job ? -1 : 1;
	return (x->offset > y->offset) - (x->offset < y->offset);
}

/* Sorts the records in the order in which they are applied. */
void
fw_record_buffer_sort(struct fw_record_buffer *buffer)
{
	if (buffer->count > 0)
		qsort(buffer->records, buffer->count, sizeof(*buffer->records),
		    compare_records);
}

/* Frees the records; the buffer is empty afterwards. */
void
fw_record_buffer_clear(struct fw_record_buffer *buffer)
{
	size_t i;

	for (i = 0; i < buffer->count; i++)
		free(buffer->records[i].key);
	buffer->count = 0;
}

void
fw_record_buffer_free(struct fw_record_buffer *buffer)
{
	fw_record_buffer_clear(buffer);
	free(buffer->records);
	buffer->records = NULL;
	buffer->capacity = 0;
}
