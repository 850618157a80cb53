#include "base.h"

/* Layout of the MessagePack types from 0xc0 on: the type byte is followed by a
 * length field of length_bytes and a value of fixed size. */
struct header {
	uint8_t length_bytes;
	uint8_t value_bytes;
	/* Objects for each unit of the length; 0: the length is in bytes. */
	uint8_t elements_per_unit;
	bool invalid;
};

static const struct header headers[64] = {
    [0xc1 - 0xc0] = {0, 0, 0, true},
    [0xc4 - 0xc0] = {1, 0, 0, false}, /* bin */
    [0xc5 - 0xc0] = {2, 0, 0, false},
    [0xc6 - 0xc0] = {4, 0, 0, false},
    [0xc7 - 0xc0] = {1, 1, 0, false}, /* ext: length, type */
    [0xc8 - 0xc0] = {2, 1, 0, false},
    [0xc9 - 0xc0] = {4, 1, 0, false},
    [0xca - 0xc0] = {0, 4, 0, false}, /* float */
    [0xcb - 0xc0] = {0, 8, 0, false},
    [0xcc - 0xc0] = {0, 1, 0, false}, /* uint */
    [0xcd - 0xc0] = {0, 2, 0, false},
    [0xce - 0xc0] = {0, 4, 0, false},
    [0xcf - 0xc0] = {0, 8, 0, false},
    [0xd0 - 0xc0] = {0, 1, 0, false}, /* int */
    [0xd1 - 0xc0] = {0, 2, 0, false},
    [0xd2 - 0xc0] = {0, 4, 0, false},
    [0xd3 - 0xc0] = {0, 8, 0, false},
    [0xd4 - 0xc0] = {0, 2, 0, false}, /* fixext: type, data */
    [0xd5 - 0xc0] = {0, 3, 0, false},
    [0xd6 - 0xc0] = {0, 5, 0, false},
    [0xd7 - 0xc0] = {0, 9, 0, false},
    [0xd8 - 0xc0] = {0, 17, 0, false},
    [0xd9 - 0xc0] = {1, 0, 0, false}, /* str */
    [0xda - 0xc0] = {2, 0, 0, false},
    [0xdb - 0xc0] = {4, 0, 0, false},
    [0xdc - 0xc0] = {2, 0, 1, false}, /* array */
    [0xdd - 0xc0] = {4, 0, 1, false},
    [0xde - 0xc0] = {2, 0, 2, false}, /* map */
    [0xdf - 0xc0] = {4, 0, 2, false},
};

static bool check_object(
    const uint8_t *data, size_t bytes, size_t *offset, uint64_t *outstanding);

/* Skips the header of one object and its data, and adds the elements of an
 * array or map to *outstanding. Returns false if the object is invalid or
 * truncated. */
static bool
check_object(
    const uint8_t *data, size_t bytes, size_t *offset, uint64_t *outstanding)
{
	uint8_t type = data[(*offset)++];
	struct header header;
	uint64_t length = 0;
	uint64_t skip;
	int i;

	if (type < 0x80 || type >= 0xe0)
		return true;
	if (type < 0x90)
		*outstanding += 2 * (uint64_t)(type & 0x0f);
	else if (type < 0xa0)
		*outstanding += type & 0x0f;
	else if (type < 0xc0) {
		*offset += type & 0x1f;
		return *offset <= bytes;
	}
	if (type < 0xc0)
		return true;
	header = headers[type - 0xc0];
	if (header.invalid || bytes - *offset < header.length_bytes)
		return false;
	for (i = 0; i < header.length_bytes; i++)
		length = length << 8 | data[(*offset)++];
	skip = header.value_bytes;
	if (header.elements_per_unit != 0)
		*outstanding += length * header.elements_per_unit;
	else
		skip += length;
	if (skip > bytes - *offset)
		return false;
	*offset += skip;
	return true;
}

/*
 * Checks the framing of one object without allocating. The MessagePack library
 * allocates by the length in a header, before it has read the elements. Stores
 * the object's size in bytes. Returns false if the object is invalid or
 * truncated.
 */
bool
cw_msgpack_is_complete(const void *data, size_t bytes, size_t *used)
{
	uint64_t outstanding = 1;
	size_t offset = 0;

	while (outstanding > 0) {
		if (outstanding > bytes - offset)
			return false;
		outstanding--;
		if (!check_object(data, bytes, &offset, &outstanding))
			return false;
	}
	*used = offset;
	return true;
}
