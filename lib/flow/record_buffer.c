#include <stdlib.h>
#include <string.h>

#include "record_buffer.h"

#define RECORDS_INITIAL 64

static int compare_records(const void *a, const void *b);

/* Adds a copy of a record. Returns false when out of memory. */
bool
fw_record_buffer_add(
    struct fw_record_buffer *buffer, const struct fw_record *record)
{
	struct fw_record *copy;
	char *value;

	if (buffer->count == buffer->capacity) {
		size_t capacity = buffer->capacity == 0 ? RECORDS_INITIAL
							: buffer->capacity * 2;
		struct fw_record *grown =
		    realloc(buffer->records, capacity * sizeof(*grown));

		if (grown == NULL)
			return false;
		buffer->records = grown;
		buffer->capacity = capacity;
	}
	value = malloc(record->value_bytes + 1);
	if (value == NULL)
		return false;
	memcpy(value, record->value, record->value_bytes);
	copy = &buffer->records[buffer->count++];
	*copy = *record;
	copy->cursor = NULL;
	copy->value = value;
	return true;
}

/* Orders the records of jobs before the records that refer to them, and
 * otherwise by offset. */
static int
compare_records(const void *a, const void *b)
{
	const struct fw_record *x = a;
	const struct fw_record *y = b;
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
		free((void *)(uintptr_t)buffer->records[i].value);
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
