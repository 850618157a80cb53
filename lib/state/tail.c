#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "follower_internal.h"

static void drop_first(struct st_tail *tail);

static void
drop_first(struct st_tail *tail)
{
	struct st_kept *kept = &tail->ring[tail->first];

	assert(tail->count > 0);
	tail->bytes -= kept->bytes;
	free(kept->data);
	kept->data = NULL;
	tail->first = (tail->first + 1) % ST_KEPT_MAX;
	tail->count--;
}

/* Keeps a copy of an entry, and of those before it up to ST_TAIL_BYTES; the
 * latest is kept at any size. */
void
st_tail_add(
    struct st_tail *tail, uint64_t offset, const void *data, size_t bytes)
{
	struct st_kept *kept;
	unsigned char *copy = malloc(bytes + 1);

	if (copy == NULL) {
		/* A gap would be served as if it were whole. */
		st_tail_clear(tail);
		return;
	}
	memcpy(copy, data, bytes);
	while (tail->count == ST_KEPT_MAX ||
	    (tail->count > 0 && tail->bytes + bytes > ST_TAIL_BYTES))
		drop_first(tail);
	kept = &tail->ring[(tail->first + tail->count) % ST_KEPT_MAX];
	*kept = (struct st_kept){offset, bytes, copy};
	tail->bytes += bytes;
	tail->count++;
}

/* Forgets all entries. */
void
st_tail_clear(struct st_tail *tail)
{
	while (tail->count > 0)
		drop_first(tail);
}

/*
 * Hands the entries from an offset on to the sink, at least one and at most
 * bytes_max bytes. Returns ST_ENOTREADY where the offset is older than what is
 * kept, or the sink's status.
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
		const struct st_kept *kept =
		    &tail->ring[(tail->first + i) % ST_KEPT_MAX];

		if (kept->offset < from)
			continue;
		if (bytes > 0 && bytes + kept->bytes > bytes_max)
			break;
		bytes += kept->bytes;
		code = sink->entry(
		    sink->ctx, kept->offset, kept->data, kept->bytes);
	}
	return code;
}
