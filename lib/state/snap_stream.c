#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "state_internal.h"

/* An entry of the stream is [format, snapshot, index, count, bytes]. */
#define CHUNK_FORMAT 1
#define CHUNK_ELEMENTS 5
#define CHUNK_HEADER_BYTES_MAX 32
#define CHUNKS_MAX 4096
#define CHUNK_TRIES 4
/* Snapshots that several VMs write at the same time are told apart. */
#define PARTS_MAX 4
/* The newest entries are looked at first, then ever more of them. */
#define WINDOW_FIRST 64
#define WINDOW_GROWTH 8

/* A snapshot of which next chunks have been read. */
struct part {
	uint64_t id;
	uint64_t next;
	uint64_t count;
	char *data;
	size_t bytes;
};

struct reader {
	struct part parts[PARTS_MAX];
	uint64_t offset; /* of the next entry */
	uint64_t basis;
	void *image; /* newest complete one, or NULL */
	size_t image_bytes;
	bool damaged;
};

static int append_chunk(
    const struct pf_log *log, const msgpack_sbuffer *buffer);
static struct part *part_of(struct reader *reader, uint64_t id);
static void part_end(struct reader *reader, struct part *part);
static void take_chunk(struct reader *reader, const msgpack_object *chunk);
static int take_entry(
    void *ctx, uint64_t offset, const void *data, size_t bytes);
static void reader_clear(struct reader *reader);
static int read_window(const struct pf_log *log, struct reader *reader,
    uint64_t from, uint64_t next);

/* Repeats a chunk whose answer was lost; a second copy does no harm. */
static int
append_chunk(const struct pf_log *log, const msgpack_sbuffer *buffer)
{
	uint64_t offset;
	int tries;
	int code = PF_EUNKNOWN;

	for (tries = 0; tries < CHUNK_TRIES && code == PF_EUNKNOWN; tries++)
		code = log->append(log->ctx, ST_SNAPSHOT_STREAM, buffer->data,
		    buffer->size, &offset);
	return code;
}

/*
 * Appends an image in chunks of at most ST_SNAPSHOT_CHUNK_BYTES. id is drawn
 * anew for each snapshot. Returns ST_EUNAVAILABLE where the log did not take
 * all of them; readers ignore the rest, so that the caller may start again.
 */
int
st_snapshot_write(
    const struct pf_log *log, uint64_t id, const void *image, size_t bytes)
{
	const size_t slice = ST_SNAPSHOT_CHUNK_BYTES - CHUNK_HEADER_BYTES_MAX;
	size_t count = (bytes + slice - 1) / slice;
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	size_t i;
	int code = CW_OK;

	if (count > CHUNKS_MAX)
		return ST_ETOOLARGE;
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	for (i = 0; i < count && code == CW_OK; i++) {
		size_t left = bytes - i * slice;

		msgpack_sbuffer_clear(&buffer);
		msgpack_pack_array(&packer, CHUNK_ELEMENTS);
		msgpack_pack_uint32(&packer, CHUNK_FORMAT);
		msgpack_pack_uint64(&packer, id);
		msgpack_pack_uint64(&packer, i);
		msgpack_pack_uint64(&packer, count);
		msgpack_pack_bin_with_body(&packer,
		    (const char *)image + i * slice,
		    left < slice ? left : slice);
		code = append_chunk(log, &buffer);
	}
	msgpack_sbuffer_destroy(&buffer);
	if (code != CW_OK)
		return cw_error_set(ST_EUNAVAILABLE,
		    "snapshot cut off after %zu of %zu chunks: %s", i, count,
		    pf_status_name(code));
	return CW_OK;
}

/* Finds the snapshot with an id, or a free place, or drops one. */
static struct part *
part_of(struct reader *reader, uint64_t id)
{
	struct part *part = NULL;
	int i;

	for (i = 0; i < PARTS_MAX; i++)
		if (reader->parts[i].id == id)
			return &reader->parts[i];
	for (i = 0; i < PARTS_MAX && part == NULL; i++)
		if (reader->parts[i].id == 0)
			part = &reader->parts[i];
	if (part == NULL) {
		part = &reader->parts[0];
		free(part->data);
		memmove(part, part + 1, (PARTS_MAX - 1) * sizeof(*part));
		part = &reader->parts[PARTS_MAX - 1];
	}
	*part = (struct part){.id = id};
	return part;
}

/* Keeps the image where it is sound and the newest. */
static void
part_end(struct reader *reader, struct part *part)
{
	struct st_image image;

	if (st_image_header(part->data, part->bytes, &image) != CW_OK) {
		reader->damaged = true;
		free(part->data);
	} else if (reader->image != NULL && image.basis <= reader->basis)
		free(part->data);
	else {
		free(reader->image);
		reader->image = part->data;
		reader->image_bytes = part->bytes;
		reader->basis = image.basis;
	}
	*part = (struct part){0};
}

static void
take_chunk(struct reader *reader, const msgpack_object *chunk)
{
	const msgpack_object *element = chunk->via.array.ptr;
	struct part *part;
	uint64_t format;
	uint64_t id;
	uint64_t index;
	uint64_t count;
	char *grown;

	if (chunk->type != MSGPACK_OBJECT_ARRAY ||
	    chunk->via.array.size != CHUNK_ELEMENTS ||
	    !wire_get_uint(&element[0], CHUNK_FORMAT, &format) ||
	    !wire_get_uint(&element[1], UINT64_MAX, &id) || id == 0 ||
	    !wire_get_uint(&element[3], CHUNKS_MAX, &count) || count == 0 ||
	    !wire_get_uint(&element[2], count - 1, &index) ||
	    element[4].type != MSGPACK_OBJECT_BIN ||
	    element[4].via.bin.size > ST_SNAPSHOT_CHUNK_BYTES)
		return;
	part = part_of(reader, id);
	if (index != part->next || (index > 0 && count != part->count))
		return;
	grown = realloc(part->data, part->bytes + element[4].via.bin.size + 1);
	if (grown == NULL)
		return;
	memcpy(grown + part->bytes, element[4].via.bin.ptr,
	    element[4].via.bin.size);
	part->data = grown;
	part->bytes += element[4].via.bin.size;
	part->count = count;
	part->next++;
	if (part->next == count)
		part_end(reader, part);
}

static int
take_entry(void *ctx, uint64_t offset, const void *data, size_t bytes)
{
	struct reader *reader = ctx;
	msgpack_unpacked unpacked;
	size_t used = 0;

	reader->offset = offset + 1;
	msgpack_unpacked_init(&unpacked);
	if (wire_unpack(&unpacked, data, bytes, &used) == CW_OK)
		take_chunk(reader, &unpacked.data);
	msgpack_unpacked_destroy(&unpacked);
	return CW_OK;
}

static void
reader_clear(struct reader *reader)
{
	int i;

	for (i = 0; i < PARTS_MAX; i++)
		free(reader->parts[i].data);
	memset(reader->parts, 0, sizeof(reader->parts));
}

static int
read_window(const struct pf_log *log, struct reader *reader, uint64_t from,
    uint64_t next)
{
	struct pf_log_sink sink = {take_entry, reader};
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
 * Reads the newest complete image of the snapshot stream; interrupted and
 * damaged ones are passed over. The caller frees *image, which is NULL where
 * there is none. Returns ST_EUNAVAILABLE where the log is out of reach.
 */
int
st_snapshot_read(const struct pf_log *log, void **image, size_t *bytes)
{
	struct reader reader = {0};
	struct pf_log_range range;
	uint64_t window = WINDOW_FIRST;
	uint64_t from;
	int code = log->range(log->ctx, ST_SNAPSHOT_STREAM, &range);

	do {
		from = range.first;
		if (code == CW_OK && range.next - range.first > window)
			from = range.next - window;
		if (code == CW_OK)
			code = read_window(log, &reader, from, range.next);
		reader_clear(&reader);
		window *= WINDOW_GROWTH;
	} while (code == CW_OK && reader.image == NULL && from > range.first);
	if (reader.damaged)
		ev_emit(EV_STATE_SNAPSHOT_BAD, "reason=damaged");
	*image = reader.image;
	*bytes = reader.image_bytes;
	if (code == CW_OK || reader.image != NULL)
		return CW_OK;
	return cw_error_set(
	    ST_EUNAVAILABLE, "cannot read snapshots: %s", pf_status_name(code));
}
