#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "follower_internal.h"

static void evict_oldest(struct st_tail *tail);

static void
evict_oldest(struct st_tail *tail)
{
	struct st_tail_entry *entry = &tail->ring[tail->first];

	assert(tail->count > 0);
	tail->bytes -= entry->bytes;
	free(entry->data);
	entry->data = NULL;
	tail->first = (tail->first + 1) % ST_TAIL_ENTRIES_MAX;
	tail->count--;
}

/* Appends a copy of an entry and evicts the oldest ones so that the tail holds
 * at most ST_TAIL_BYTES_MAX. The latest entry is kept whatever its size. Clears
 * the tail if memory runs out. */
void
st_tail_add(
    struct st_tail *tail, uint64_t offset, const void *data, size_t bytes)
{
	struct st_tail_entry *entry;
	unsigned char *copy = malloc(bytes + 1);

	if (copy == NULL) {
		/* Without this entry the tail would have a gap that peers
		 * cannot detect. */
		st_tail_clear(tail);
		return;
	}
	memcpy(copy, data, bytes);
	while (tail->count == ST_TAIL_ENTRIES_MAX ||
	    (tail->count > 0 && tail->bytes + bytes > ST_TAIL_BYTES_MAX))
		evict_oldest(tail);
	entry = &tail->ring[(tail->first + tail->count) % ST_TAIL_ENTRIES_MAX];
	*entry = (struct st_tail_entry){offset, bytes, copy};
	tail->bytes += bytes;
	tail->count++;
}

/* Removes and frees all entries. */
void
st_tail_clear(struct st_tail *tail)
{
	while (tail->count > 0)
		evict_oldest(tail);
}

/*
 * Passes the entries from an offset on to the sink: at most bytes_max bytes,
 * but at least one entry if there is any. Returns ST_ENOTREADY if the offset
 * is older than the oldest entry, or else the sink's status.
 */
int
st_tail_read(const struct st_tail *tail, uint64_t from, size_t bytes_max,
    const struct pf_log_sink *sink)
{
	size_t bytes = 0;
	uint32_t i;
	int code = CW_OK;

	if (tail->count == 0 || from < tail->ring[tail->first].offset)
		return ST_ENOTREADY;
	for (i = 0; i < tail->count && code == CW_OK; i++) {
		const struct st_tail_entry *entry =
		    &tail->ring[(tail->first + i) % ST_TAIL_ENTRIES_MAX];

		if (entry->offset < from)
			continue;
		if (bytes > 0 && bytes + entry->bytes > bytes_max)
			break;
		bytes += entry->bytes;
		code = sink->entry(
		    sink->ctx, entry->offset, entry->data, entry->bytes);
	}
	return code;
}
