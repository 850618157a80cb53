#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "state_internal.h"

static void encode_slots(
    msgpack_packer *packer, const struct bd_slot *slots, uint32_t count);
static void encode_field(msgpack_packer *packer, const struct wire_field *field,
    const unsigned char *base);
static bool decode_bytes(
    const msgpack_object *object, const char **data, uint32_t *bytes);
static bool decode_slots(const struct wire_field *field,
    const msgpack_object *object, unsigned char *base);
static bool decode_ids(const struct wire_field *field,
    const msgpack_object *object, unsigned char *base);
static bool decode_blob(const struct wire_field *field,
    const msgpack_object *object, unsigned char *base, size_t capacity,
    size_t *bytes);
static bool decode_field(const struct wire_field *field,
    const msgpack_object *object, unsigned char *base, size_t capacity,
    size_t *bytes);

/* Decodes the object at *offset and advances the offset past it. The objects
 * point into data. Returns CW_OK or ST_EMALFORMED. */
int
wire_unpack(
    msgpack_unpacked *unpacked, const void *data, size_t bytes, size_t *offset)
{
	const char *start = (const char *)data + *offset;
	size_t used;

	if (*offset >= bytes ||
	    !cw_msgpack_is_complete(start, bytes - *offset, &used) ||
	    msgpack_unpack_next(unpacked, data, bytes, offset) !=
		MSGPACK_UNPACK_SUCCESS)
		return ST_EMALFORMED;
	return CW_OK;
}

/* Decodes an unsigned integer. Returns false for other types and for values
 * above max. */
bool
wire_decode_uint(const msgpack_object *object, uint64_t max, uint64_t *value)
{
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    object->via.u64 > max)
		return false;
	*value = object->via.u64;
	return true;
}

/* Loads an unsigned integer of 1, 2, 4 or 8 bytes from a struct. */
uint64_t
wire_uint_load(const void *field, uint32_t bytes)
{
	uint64_t value = 0;

	/* Only little-endian targets are supported. */
	assert(bytes <= sizeof(value));
	memcpy(&value, field, bytes);
	return value;
}

/* Stores an unsigned integer of 1, 2, 4 or 8 bytes into a struct. */
void
wire_uint_store(void *field, uint32_t bytes, uint64_t value)
{
	assert(bytes <= sizeof(value));
	memcpy(field, &value, bytes);
}

/* Returns the number of elements in a field of ids or slots, or the length in
 * bytes of a blob or flexible array. */
uint32_t
wire_element_count(const struct wire_field *field, const void *base)
{
	if (field->count_bytes == 0)
		return field->bytes / (uint32_t)sizeof(uint64_t);
	return (uint32_t)wire_uint_load(
	    (const unsigned char *)base + field->count_offset,
	    field->count_bytes);
}

static void
encode_slots(
    msgpack_packer *packer, const struct bd_slot *slots, uint32_t count)
{
	uint32_t i;

	msgpack_pack_array(packer, 2 * (size_t)count);
	for (i = 0; i < count; i++) {
		msgpack_pack_uint64(packer, slots[i].worker);
		msgpack_pack_uint32(packer, slots[i].accel_mask);
	}
}

static void
encode_field(msgpack_packer *packer, const struct wire_field *field,
    const unsigned char *base)
{
	const unsigned char *source = base + field->offset;
	const uint64_t *ids = (const uint64_t *)(const void *)source;
	uint32_t count;
	uint32_t i;

	switch (field->type) {
	case WIRE_UINT:
		msgpack_pack_uint64(
		    packer, wire_uint_load(source, field->bytes));
		break;
	case WIRE_INT:
		msgpack_pack_int64(
		    packer, (int64_t)wire_uint_load(source, field->bytes));
		break;
	case WIRE_TEXT:
		msgpack_pack_str_with_body(packer, source,
		    strnlen((const char *)source, field->bytes - 1));
		break;
	case WIRE_BYTES:
		msgpack_pack_bin_with_body(packer, source, field->bytes);
		break;
	case WIRE_IDS:
		count = wire_element_count(field, base);
		msgpack_pack_array(packer, count);
		for (i = 0; i < count; i++)
			msgpack_pack_uint64(packer, ids[i]);
		break;
	case WIRE_SLOTS:
		encode_slots(packer,
		    (const struct bd_slot *)(const void *)source,
		    wire_element_count(field, base));
		break;
	case WIRE_BLOB:
		source = *(const unsigned char *const *)(const void *)source;
		/* fall through */
	case WIRE_FLEX_ARRAY:
		msgpack_pack_bin_with_body(
		    packer, source, wire_element_count(field, base));
		break;
	}
}

/* Encodes a struct as an array of the schema's fields. */
void
wire_encode(
    msgpack_packer *packer, const struct wire_schema *schema, const void *base)
{
	uint32_t i;

	msgpack_pack_array(packer, schema->field_count);
	for (i = 0; i < schema->field_count; i++)
		encode_field(packer, &schema->fields[i], base);
}

/* Stores the address and size of a string or binary object's contents. Returns
 * false for other types. */
static bool
decode_bytes(const msgpack_object *object, const char **data, uint32_t *bytes)
{
	if (object->type == MSGPACK_OBJECT_STR) {
		*data = object->via.str.ptr;
		*bytes = object->via.str.size;
		return true;
	}
	if (object->type == MSGPACK_OBJECT_BIN) {
		*data = object->via.bin.ptr;
		*bytes = object->via.bin.size;
		return true;
	}
	return false;
}

static bool
decode_slots(const struct wire_field *field, const msgpack_object *object,
    unsigned char *base)
{
	struct bd_slot *slots =
	    (struct bd_slot *)(void *)(base + field->offset);
	const msgpack_object *element;
	uint64_t mask;
	uint32_t count;
	uint32_t i;

	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size % 2 != 0 ||
	    object->via.array.size / 2 > field->bytes / sizeof(*slots))
		return false;
	count = object->via.array.size / 2;
	element = object->via.array.ptr;
	for (i = 0; i < count; i++, element += 2) {
		if (!wire_decode_uint(element, UINT64_MAX, &slots[i].worker) ||
		    !wire_decode_uint(element + 1, UINT32_MAX, &mask))
			return false;
		slots[i].accel_mask = (uint32_t)mask;
	}
	wire_uint_store(base + field->count_offset, field->count_bytes, count);
	return true;
}

static bool
decode_ids(const struct wire_field *field, const msgpack_object *object,
    unsigned char *base)
{
	uint64_t *ids = (uint64_t *)(void *)(base + field->offset);
	uint32_t max = field->bytes / (uint32_t)sizeof(*ids);
	uint32_t count;
	uint32_t i;

	if (object->type != MSGPACK_OBJECT_ARRAY)
		return false;
	count = object->via.array.size;
	if (count > max || (field->count_bytes == 0 && count != max))
		return false;
	for (i = 0; i < count; i++)
		if (!wire_decode_uint(
			&object->via.array.ptr[i], UINT64_MAX, &ids[i]))
			return false;
	if (field->count_bytes != 0)
		wire_uint_store(
		    base + field->count_offset, field->count_bytes, count);
	return true;
}

static bool
decode_blob(const struct wire_field *field, const msgpack_object *object,
    unsigned char *base, size_t capacity, size_t *bytes)
{
	const char *data;
	uint32_t size;

	if (!decode_bytes(object, &data, &size) || size > field->bytes)
		return false;
	wire_uint_store(base + field->count_offset, field->count_bytes, size);
	if (field->type == WIRE_BLOB) {
		memcpy(base + field->offset, &data, sizeof(data));
		return true;
	}
	if (size > capacity - field->offset)
		return false;
	memcpy(base + field->offset, data, size);
	*bytes += size;
	return true;
}

static bool
decode_field(const struct wire_field *field, const msgpack_object *object,
    unsigned char *base, size_t capacity, size_t *bytes)
{
	unsigned char *dest = base + field->offset;
	const char *data;
	uint64_t value;
	uint32_t size;

	switch (field->type) {
	case WIRE_UINT:
		if (!wire_decode_uint(
			object, UINT64_MAX >> (64 - 8 * field->bytes), &value))
			return false;
		wire_uint_store(dest, field->bytes, value);
		return true;
	case WIRE_INT:
		if (object->type != MSGPACK_OBJECT_NEGATIVE_INTEGER &&
		    !wire_decode_uint(object, INT64_MAX, &value))
			return false;
		wire_uint_store(dest, field->bytes, object->via.u64);
		return true;
	case WIRE_TEXT:
		if (!decode_bytes(object, &data, &size) ||
		    size >= field->bytes || memchr(data, 0, size) != NULL)
			return false;
		memcpy(dest, data, size);
		return true;
	case WIRE_BYTES:
		if (!decode_bytes(object, &data, &size) || size != field->bytes)
			return false;
		memcpy(dest, data, size);
		return true;
	case WIRE_IDS:
		return decode_ids(field, object, base);
	case WIRE_SLOTS:
		return decode_slots(field, object, base);
	case WIRE_BLOB:
	case WIRE_FLEX_ARRAY:
		return decode_blob(field, object, base, capacity, bytes);
	}
	return false;
}

/*
 * Decodes an array of fields into a struct of up to capacity bytes and zeroes
 * the struct's other bytes, among them fields that an earlier version has not
 * written. Elements after the known ones come from a newer version and are
 * ignored. Stores the struct's size including its flexible
 * array in *bytes where that is not NULL. Returns CW_OK or ST_EMALFORMED.
 */
int
wire_decode(const struct wire_schema *schema, const msgpack_object *object,
    void *base, size_t capacity, size_t *bytes)
{
	size_t size = schema->bytes;
	uint32_t count = schema->field_count;
	uint32_t i;

	assert(capacity >= schema->bytes);
	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size < count - schema->added_count)
		return ST_EMALFORMED;
	if (object->via.array.size < count)
		count = object->via.array.size;
	memset(base, 0, schema->bytes);
	for (i = 0; i < count; i++)
		if (!decode_field(&schema->fields[i], &object->via.array.ptr[i],
			base, capacity, &size))
			return ST_EMALFORMED;
	if (bytes != NULL)
		*bytes = size;
	return CW_OK;
}
