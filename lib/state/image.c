#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "state_internal.h"

/*
 * Layout of an image: a header [format, position, digest, bytes, hash],
 * followed by `bytes` bytes of rows, each [table, [fields]]. position is that
 * of the last record included. The hash covers the rows, position and digest.
 */
#define IMAGE_FORMAT 1
#define IMAGE_HEADER_ELEMENTS 5
#define ROW_BYTES_MAX (sizeof(struct bd_config) + REC_CONFIG_TEXT_BYTES_MAX)

struct row_key {
	uint32_t table; /* enum bd_table_number */
	uint64_t id;
};

/* Context of a walk over the rows of an image: keys and digest of the rows seen
 * so far. */
struct walk {
	struct st_state *state;
	struct row_key *keys;
	size_t count;
	size_t capacity;
	uint64_t digest;
};

static uint64_t row_id(const struct wire_schema *schema, const void *row);
static int compare_keys(const void *a, const void *b);
static int collect_row(struct walk *walk, const struct wire_schema *schema,
    const void *row, size_t bytes);
static int put_row(struct walk *walk, const struct wire_schema *schema,
    const void *row, size_t bytes);
static int walk_rows(const void *data, size_t bytes, struct walk *walk,
    int (*visit)(struct walk *walk, const struct wire_schema *schema,
	const void *row, size_t bytes));
static int check_keys(struct walk *walk);
static void remove_absent_rows(struct st_state *state, const struct walk *walk);

/* Returns the id of a row. Rows start with it, except for the single row of
 * table config. */
static uint64_t
row_id(const struct wire_schema *schema, const void *row)
{
	uint64_t id = BD_CONFIG_ID;

	if (schema->table != BD_TABLE_config)
		memcpy(&id, row, sizeof(id));
	return id;
}

static int
compare_keys(const void *a, const void *b)
{
	const struct row_key *left = a;
	const struct row_key *right = b;

	if (left->table != right->table)
		return left->table < right->table ? -1 : 1;
	return left->id < right->id ? -1 : left->id > right->id;
}

/*
 * Encodes all tables that are derived from the log. Call from the thread that
 * applies records. The caller frees *data. Returns CW_OK or ST_ENOMEM.
 */
int
st_image_encode(struct st_state *state, void **data, size_t *bytes)
{
	const struct wire_schema *schema;
	msgpack_sbuffer rows;
	msgpack_sbuffer image;
	msgpack_packer packer;
	const void *row;
	uint32_t cursor;
	uint32_t i;

	msgpack_sbuffer_init(&rows);
	msgpack_packer_init(&packer, &rows, msgpack_sbuffer_write);
	bd_read_begin();
	for (i = 0; (schema = wire_schema_table_at(i)) != NULL; i++) {
		cursor = 0;
		while ((row = bd_next(state->board, schema->table, &cursor,
			    NULL)) != NULL) {
			msgpack_pack_array(&packer, 2);
			msgpack_pack_uint32(&packer, schema->number);
			wire_encode(&packer, schema, row);
		}
	}
	bd_read_end();
	msgpack_sbuffer_init(&image);
	msgpack_packer_init(&packer, &image, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, IMAGE_HEADER_ELEMENTS);
	msgpack_pack_uint32(&packer, IMAGE_FORMAT);
	msgpack_pack_uint64(&packer, st_position(state));
	msgpack_pack_uint64(&packer, st_digest(state));
	msgpack_pack_uint64(&packer, rows.size);
	msgpack_pack_uint64(&packer,
	    cw_hash(rows.data, rows.size,
		cw_id_from_pair(st_position(state), st_digest(state))));
	if (rows.size > 0)
		msgpack_sbuffer_write(&image, rows.data, rows.size);
	msgpack_sbuffer_destroy(&rows);
	*bytes = image.size;
	*data = msgpack_sbuffer_release(&image);
	return *data == NULL ? ST_ENOMEM : CW_OK;
}

/* Decodes the header of an image and verifies the hash. Returns ST_EMALFORMED
 * if the image is truncated, damaged or of another format. */
int
st_image_header(const void *data, size_t bytes, struct st_image *image)
{
	const msgpack_object *element;
	msgpack_unpacked unpacked;
	uint64_t format;
	uint64_t size;
	uint64_t hash;
	size_t offset = 0;
	int code;

	msgpack_unpacked_init(&unpacked);
	code = wire_unpack(&unpacked, data, bytes, &offset);
	element = unpacked.data.via.array.ptr;
	if (code == CW_OK &&
	    (unpacked.data.type != MSGPACK_OBJECT_ARRAY ||
		unpacked.data.via.array.size != IMAGE_HEADER_ELEMENTS ||
		!wire_decode_uint(&element[0], UINT32_MAX, &format) ||
		format != IMAGE_FORMAT ||
		!wire_decode_uint(
		    &element[1], UINT64_MAX, &image->last_position) ||
		!wire_decode_uint(&element[2], UINT64_MAX, &image->digest) ||
		!wire_decode_uint(&element[3], UINT64_MAX, &size) ||
		!wire_decode_uint(&element[4], UINT64_MAX, &hash) ||
		size != bytes - offset ||
		cw_hash((const char *)data + offset, size,
		    cw_id_from_pair(image->last_position, image->digest)) !=
		    hash))
		code = ST_EMALFORMED;
	msgpack_unpacked_destroy(&unpacked);
	image->rows_offset = offset;
	return code;
}

/* Adds the key and the hash of a row to the walk. Rejects jobs whose member
 * count is out of range. */
static int
collect_row(struct walk *walk, const struct wire_schema *schema,
    const void *row, size_t bytes)
{
	const struct bd_job *job = row;
	struct row_key *keys;

	if (schema->table == BD_TABLE_job &&
	    (job->shape.members == 0 ||
		job->shape.members > BD_GANG_MEMBERS_MAX))
		return ST_EMALFORMED;
	if (walk->count == walk->capacity) {
		walk->capacity = 2 * walk->capacity + 1024;
		keys = realloc(walk->keys, walk->capacity * sizeof(*keys));
		if (keys == NULL)
			return ST_ENOMEM;
		walk->keys = keys;
	}
	walk->keys[walk->count++] =
	    (struct row_key){schema->table, row_id(schema, row)};
	walk->digest += st_row_hash(schema->table, row, bytes);
	return CW_OK;
}

/* Writes a row of the image to its table. */
static int
put_row(struct walk *walk, const struct wire_schema *schema, const void *row,
    size_t bytes)
{
	return st_row_put(
	    walk->state, schema->table, row_id(schema, row), row, bytes);
}

/* Decodes the rows in order and passes each to visit. Returns ST_EMALFORMED,
 * ST_ENOMEM, or the first status other than CW_OK of visit. */
static int
walk_rows(const void *data, size_t bytes, struct walk *walk,
    int (*visit)(struct walk *walk, const struct wire_schema *schema,
	const void *row, size_t bytes))
{
	const struct wire_schema *schema;
	msgpack_unpacked unpacked;
	void *row = malloc(ROW_BYTES_MAX);
	uint64_t number;
	size_t row_bytes;
	size_t offset = 0;
	int code = row == NULL ? ST_ENOMEM : CW_OK;

	msgpack_unpacked_init(&unpacked);
	while (code == CW_OK && offset < bytes) {
		const msgpack_object *pair = &unpacked.data;

		code = wire_unpack(&unpacked, data, bytes, &offset);
		if (code != CW_OK)
			break;
		code = ST_EMALFORMED;
		if (pair->type != MSGPACK_OBJECT_ARRAY ||
		    pair->via.array.size != 2 ||
		    !wire_decode_uint(
			&pair->via.array.ptr[0], UINT32_MAX, &number))
			break;
		schema = wire_schema_of_table((uint32_t)number);
		if (schema == NULL ||
		    wire_decode(schema, &pair->via.array.ptr[1], row,
			ROW_BYTES_MAX, &row_bytes) != CW_OK)
			break;
		code = visit(walk, schema, row, row_bytes);
	}
	msgpack_unpacked_destroy(&unpacked);
	free(row);
	return code;
}

/* Sorts the keys. Returns ST_EMALFORMED if a key occurs twice or a table
 * would exceed its capacity. */
static int
check_keys(struct walk *walk)
{
	uint32_t rows[BD_TABLE_COUNT] = {0};
	size_t i;

	qsort(walk->keys, walk->count, sizeof(*walk->keys), compare_keys);
	for (i = 0; i < walk->count; i++) {
		uint32_t table = walk->keys[i].table;

		if ((i > 0 &&
			compare_keys(&walk->keys[i - 1], &walk->keys[i]) ==
			    0) ||
		    ++rows[table] > bd_table_capacity(table))
			return ST_EMALFORMED;
	}
	return CW_OK;
}

/* Removes the rows that the image does not contain. Requires sorted keys. */
static void
remove_absent_rows(struct st_state *state, const struct walk *walk)
{
	const struct wire_schema *schema;
	struct row_key key;
	const void *row;
	uint32_t cursor;
	uint32_t i;

	bd_read_begin();
	for (i = 0; (schema = wire_schema_table_at(i)) != NULL; i++) {
		cursor = 0;
		while ((row = bd_next(state->board, schema->table, &cursor,
			    NULL)) != NULL) {
			key = (struct row_key){
			    schema->table, row_id(schema, row)};
			if (bsearch(&key, walk->keys, walk->count, sizeof(key),
				compare_keys) == NULL)
				st_row_remove(state, key.table, key.id);
		}
	}
	bd_read_end();
}

/*
 * Replaces the tables by those of an image whose position is later than the
 * current one, or equal to it if allow_same_position is set. The tables
 * are unchanged if the image is damaged (ST_EMALFORMED), older (ST_ESTALE) or
 * there is not enough memory for its keys (ST_ENOMEM). Call from the thread
 * that applies records.
 */
int
st_image_load(struct st_state *state, const void *data, size_t bytes,
    bool allow_same_position)
{
	struct walk walk = {.state = state};
	struct st_image image;
	uint64_t position = st_position(state);
	const char *rows;
	size_t rows_bytes;
	int code;

	code = st_image_header(data, bytes, &image);
	if (code != CW_OK)
		return code;
	if (image.last_position < position ||
	    (image.last_position == position && !allow_same_position))
		return ST_ESTALE;
	rows = (const char *)data + image.rows_offset;
	rows_bytes = bytes - image.rows_offset;
	code = walk_rows(rows, rows_bytes, &walk, collect_row);
	if (code == CW_OK)
		code = check_keys(&walk);
	if (code == CW_OK && walk.digest != image.digest)
		code = ST_EMALFORMED;
	if (code == CW_OK) {
		bd_change_begin(state->board);
		remove_absent_rows(state, &walk);
		code = walk_rows(rows, rows_bytes, &walk, put_row);
		st_index_rebuild(state);
		bd_change_end(state->board);
		atomic_store(&state->position, image.last_position);
		assert(code != CW_OK || st_digest(state) == image.digest);
	}
	free(walk.keys);
	return code;
}
