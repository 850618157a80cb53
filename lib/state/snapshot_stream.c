#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "state_internal.h"

/* Layout of a stream entry: [format, snapshot id, chunk index, number of
 * chunks, chunk]. */
#define CHUNK_FORMAT 1
#define CHUNK_ELEMENTS 5
#define CHUNK_HEADER_BYTES_MAX 32 /* all elements but the chunk itself */
#define CHUNKS_MAX 4096
#define CHUNK_ATTEMPTS_MAX 4
/* Incomplete snapshots that a reader collects at the same time, as the chunks
 * of VMs that write concurrently interleave. */
#define PARTIALS_MAX 4
/* The search starts with this many entries at the end of the stream; this
 * window grows by the factor until it holds a complete snapshot. */
#define WINDOW_INITIAL_ENTRIES 64
#define WINDOW_GROWTH_FACTOR 8

/* A snapshot of which the first chunks have been read. */
struct partial {
	uint64_t id;   /* 0: unused */
	uint64_t next; /* index of the chunk that is expected next */
	uint64_t count;
	char *data;
	size_t bytes;
};

struct reader {
	struct partial partials[PARTIALS_MAX];
	uint64_t offset;        /* of the next entry */
	uint64_t last_position; /* position of the image */
	void *image;            /* newest complete image, or NULL */
	size_t image_bytes;
	bool damaged; /* a complete image was not valid */
};

static int append_chunk(
    const struct pf_log *log, const msgpack_sbuffer *buffer);
static struct partial *partial_get(struct reader *reader, uint64_t id);
static void partial_complete(struct reader *reader, struct partial *partial);
static void add_chunk(struct reader *reader, const msgpack_object *chunk);
static int read_entry(
    void *ctx, uint64_t offset, const void *data, size_t bytes);
static void reader_free_partials(struct reader *reader);
static int read_window(const struct pf_log *log, struct reader *reader,
    uint64_t from, uint64_t next);

/* Appends a chunk and retries if the log's answer was lost. Readers ignore
 * duplicate chunks. Returns the status of the log. */
static int
append_chunk(const struct pf_log *log, const msgpack_sbuffer *buffer)
{
	uint64_t offset;
	int attempts;
	int code = PF_EUNKNOWN;

	for (attempts = 0; attempts < CHUNK_ATTEMPTS_MAX && code == PF_EUNKNOWN;
	     attempts++)
		code = log->append(log->ctx, ST_SNAPSHOT_STREAM, buffer->data,
		    buffer->size, &offset);
	return code;
}

/*
 * Appends an image in chunks of at most ST_SNAPSHOT_CHUNK_BYTES. id is a random
 * number that is new for each snapshot. Returns ST_EUNAVAILABLE if the log
 * did not accept all chunks; readers ignore an incomplete snapshot, so the
 * caller may retry. Returns ST_ETOOLARGE if the image needs more than
 * CHUNKS_MAX chunks.
 */
int
st_snapshot_write(
    const struct pf_log *log, uint64_t id, const void *image, size_t bytes)
{
	const size_t chunk_bytes =
	    ST_SNAPSHOT_CHUNK_BYTES - CHUNK_HEADER_BYTES_MAX;
	size_t count = (bytes + chunk_bytes - 1) / chunk_bytes;
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	size_t i;
	int code = CW_OK;

	if (count > CHUNKS_MAX)
		return ST_ETOOLARGE;
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	for (i = 0; i < count && code == CW_OK; i++) {
		size_t left = bytes - i * chunk_bytes;

		msgpack_sbuffer_clear(&buffer);
		msgpack_pack_array(&packer, CHUNK_ELEMENTS);
		msgpack_pack_uint32(&packer, CHUNK_FORMAT);
		msgpack_pack_uint64(&packer, id);
		msgpack_pack_uint64(&packer, i);
		msgpack_pack_uint64(&packer, count);
		msgpack_pack_bin_with_body(&packer,
		    (const char *)image + i * chunk_bytes,
		    left < chunk_bytes ? left : chunk_bytes);
		code = append_chunk(log, &buffer);
	}
	msgpack_sbuffer_destroy(&buffer);
	if (code != CW_OK)
		return cw_error_set(ST_EUNAVAILABLE,
		    "snapshot write stopped at chunk %zu of %zu: %s", i, count,
		    pf_status_name(code));
	return CW_OK;
}

/* Returns the partial snapshot with an id. Starts a new one if there is none,
 * which evicts the one that was started first if all are in use. */
static struct partial *
partial_get(struct reader *reader, uint64_t id)
{
	struct partial *partial = NULL;
	int i;

	for (i = 0; i < PARTIALS_MAX; i++)
		if (reader->partials[i].id == id)
			return &reader->partials[i];
	for (i = 0; i < PARTIALS_MAX && partial == NULL; i++)
		if (reader->partials[i].id == 0)
			partial = &reader->partials[i];
	if (partial == NULL) {
		partial = &reader->partials[0];
		free(partial->data);
		memmove(partial, partial + 1,
		    (PARTIALS_MAX - 1) * sizeof(*partial));
		partial = &reader->partials[PARTIALS_MAX - 1];
	}
	*partial = (struct partial){.id = id};
	return partial;
}

/* Keeps the image of a complete snapshot if it is valid and the newest. */
static void
partial_complete(struct reader *reader, struct partial *partial)
{
	struct st_image image;

	if (st_image_header(partial->data, partial->bytes, &image) != CW_OK) {
		reader->damaged = true;
		free(partial->data);
	} else if (reader->image != NULL &&
	    image.last_position <= reader->last_position)
		free(partial->data);
	else {
		free(reader->image);
		reader->image = partial->data;
		reader->image_bytes = partial->bytes;
		reader->last_position = image.last_position;
	}
	*partial = (struct partial){0};
}

/* Adds a chunk to its snapshot. Malformed chunks, duplicates and chunks out of
 * order are ignored. */
static void
add_chunk(struct reader *reader, const msgpack_object *chunk)
{
	const msgpack_object *element = chunk->via.array.ptr;
	struct partial *partial;
	uint64_t format;
	uint64_t id;
	uint64_t index;
	uint64_t count;
	char *grown;

	if (chunk->type != MSGPACK_OBJECT_ARRAY ||
	    chunk->via.array.size != CHUNK_ELEMENTS ||
	    !wire_decode_uint(&element[0], CHUNK_FORMAT, &format) ||
	    !wire_decode_uint(&element[1], UINT64_MAX, &id) || id == 0 ||
	    !wire_decode_uint(&element[3], CHUNKS_MAX, &count) || count == 0 ||
	    !wire_decode_uint(&element[2], count - 1, &index) ||
	    element[4].type != MSGPACK_OBJECT_BIN ||
	    element[4].via.bin.size > ST_SNAPSHOT_CHUNK_BYTES)
		return;
	partial = partial_get(reader, id);
	if (index != partial->next || (index > 0 && count != partial->count))
		return;
	grown = realloc(
	    partial->data, partial->bytes + element[4].via.bin.size + 1);
	if (grown == NULL)
		return;
	memcpy(grown + partial->bytes, element[4].via.bin.ptr,
	    element[4].via.bin.size);
	partial->data = grown;
	partial->bytes += element[4].via.bin.size;
	partial->count = count;
	partial->next++;
	if (partial->next == count)
		partial_complete(reader, partial);
}

/* Adds the chunk in an entry of the stream; malformed entries are skipped. */
static int
read_entry(void *ctx, uint64_t offset, const void *data, size_t bytes)
{
	struct reader *reader = ctx;
	msgpack_unpacked unpacked;
	size_t used = 0;

	reader->offset = offset + 1;
	msgpack_unpacked_init(&unpacked);
	if (wire_unpack(&unpacked, data, bytes, &used) == CW_OK)
		add_chunk(reader, &unpacked.data);
	msgpack_unpacked_destroy(&unpacked);
	return CW_OK;
}

static void
reader_free_partials(struct reader *reader)
{
	int i;

	for (i = 0; i < PARTIALS_MAX; i++)
		free(reader->partials[i].data);
	memset(reader->partials, 0, sizeof(reader->partials));
}

/* Reads the stream entries [from, next). Returns the status of the log,
 * PF_EUNREACHABLE if it returns no entries. */
static int
read_window(const struct pf_log *log, struct reader *reader, uint64_t from,
    uint64_t next)
{
	struct pf_log_sink sink = {read_entry, reader};
	int code = CW_OK;

	reader->offset = from;
	while (code == CW_OK && reader->offset < next) {
		uint64_t before = reader->offset;

		code =
		    log->read(log->ctx, ST_SNAPSHOT_STREAM, before, 0, &sink);
		if (code == CW_OK && reader->offset == before)
			code = PF_EUNREACHABLE;
	}
	return code;
}

/*
 * Reads the newest complete image of the snapshot stream, skipping incomplete
 * and damaged ones. The caller frees *image, which is NULL if there is none.
 * Returns ST_EUNAVAILABLE if the log is unreachable.
 */
int
st_snapshot_read(const struct pf_log *log, void **image, size_t *bytes)
{
	struct reader reader = {0};
	struct pf_log_range range;
	uint64_t window = WINDOW_INITIAL_ENTRIES;
	uint64_t from;
	int code = log->range(log->ctx, ST_SNAPSHOT_STREAM, &range);

	do {
		from = range.first;
		if (code == CW_OK && range.next - range.first > window)
			from = range.next - window;
		if (code == CW_OK)
			code = read_window(log, &reader, from, range.next);
		reader_free_partials(&reader);
		window *= WINDOW_GROWTH_FACTOR;
	} while (code == CW_OK && reader.image == NULL && from > range.first);
	if (reader.damaged)
		ev_emit(EV_STATE_SNAPSHOT_BAD, "reason=damaged");
	*image = reader.image;
	*bytes = reader.image_bytes;
	if (code == CW_OK || reader.image != NULL)
		return CW_OK;
	return cw_error_set(ST_EUNAVAILABLE,
	    "cannot read the snapshot stream: %s", pf_status_name(code));
}
