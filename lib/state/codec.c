#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "state_internal.h"

#define BATCH_FORMAT 1
#define RECORD_ELEMENTS 6

static bool decode_header(const msgpack_object *object, struct rec *rec);
static int decode_record(
    const msgpack_object *bin, msgpack_unpacked *unpacked, struct rec *rec);
static int decode_records(
    const msgpack_object *batch, const struct rec_sink *sink);

/*
 * Encodes one record. The caller frees *data. Returns CW_OK, ST_EUNKNOWNKIND,
 * ST_ETOOLARGE where a field exceeds what the decoder accepts, or ST_ENOMEM.
 */
int
rec_encode(const struct rec *rec, void **data, size_t *bytes)
{
	const struct wire_schema *schema = wire_schema_of_kind(rec->kind);
	const struct wire_field *field;
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	uint32_t i;

	if (schema == NULL)
		return ST_EUNKNOWNKIND;
	for (i = 0; i < schema->field_count; i++) {
		field = &schema->fields[i];
		if ((field->type == WIRE_SLOTS &&
			wire_element_count(field, &rec->body) >
			    BD_GANG_MEMBERS_MAX) ||
		    (field->type == WIRE_BLOB &&
			wire_element_count(field, &rec->body) > field->bytes))
			return cw_error_set(ST_ETOOLARGE,
			    "%s of record %s is too long", field->name,
			    rec_kind_name(rec->kind));
	}
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, RECORD_ELEMENTS);
	msgpack_pack_uint32(&packer, REC_VERSION);
	msgpack_pack_uint32(&packer, rec->kind);
	msgpack_pack_uint64(&packer, rec->writer);
	msgpack_pack_uint64(&packer, rec->sequence);
	msgpack_pack_int64(&packer, rec->time_ms);
	wire_encode(&packer, schema, &rec->body);
	*bytes = buffer.size;
	*data = msgpack_sbuffer_release(&buffer);
	return *data == NULL ? ST_ENOMEM : CW_OK;
}

/*
 * Encodes records, each encoded by rec_encode, as one entry of the log. Each is
 * framed separately, so that a malformed record does not affect the others. The
 * caller frees *data. Returns CW_OK or ST_ENOMEM.
 */
int
rec_batch_encode(
    const struct rec_encoded *records, size_t count, void **data, size_t *bytes)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	size_t i;

	assert(count > 0 && count <= REC_BATCH_MAX);
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_uint32(&packer, BATCH_FORMAT);
	msgpack_pack_array(&packer, count);
	for (i = 0; i < count; i++)
		msgpack_pack_bin_with_body(
		    &packer, records[i].data, records[i].bytes);
	*bytes = buffer.size;
	*data = msgpack_sbuffer_release(&buffer);
	return *data == NULL ? ST_ENOMEM : CW_OK;
}

/* Decodes version, kind, writer, sequence and time of a record. Returns whether
 * they are valid. */
static bool
decode_header(const msgpack_object *object, struct rec *rec)
{
	const msgpack_object *element;
	uint64_t version;
	uint64_t kind;
	uint64_t time_ms;

	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size < RECORD_ELEMENTS)
		return false;
	element = object->via.array.ptr;
	if (!wire_decode_uint(&element[0], UINT32_MAX, &version) ||
	    !wire_decode_uint(&element[1], UINT32_MAX, &kind) ||
	    !wire_decode_uint(&element[2], UINT64_MAX, &rec->writer) ||
	    !wire_decode_uint(&element[3], UINT64_MAX, &rec->sequence) ||
	    !wire_decode_uint(&element[4], INT64_MAX, &time_ms))
		return false;
	rec->version = (uint32_t)version;
	rec->kind = (uint32_t)kind;
	rec->time_ms = (int64_t)time_ms;
	return version > 0 && kind > 0 && rec->writer != 0;
}

/* Decodes one record; pointers in it refer to unpacked. Returns CW_OK,
 * ST_EMALFORMED or ST_EUNKNOWNKIND. */
static int
decode_record(
    const msgpack_object *bin, msgpack_unpacked *unpacked, struct rec *rec)
{
	const struct wire_schema *schema;
	size_t offset = 0;

	memset(rec, 0, sizeof(*rec));
	if (bin->type != MSGPACK_OBJECT_BIN ||
	    wire_unpack(unpacked, bin->via.bin.ptr, bin->via.bin.size,
		&offset) != CW_OK ||
	    offset != bin->via.bin.size || !decode_header(&unpacked->data, rec))
		return ST_EMALFORMED;
	schema = wire_schema_of_kind(rec->kind);
	if (rec->version > REC_VERSION || schema == NULL)
		return ST_EUNKNOWNKIND;
	return wire_decode(schema,
	    &unpacked->data.via.array.ptr[RECORD_ELEMENTS - 1], &rec->body,
	    sizeof(rec->body), NULL);
}

static int
decode_records(const msgpack_object *batch, const struct rec_sink *sink)
{
	const msgpack_object *records;
	msgpack_unpacked unpacked;
	struct rec rec;
	uint64_t format;
	uint32_t i;
	int code = CW_OK;

	if (batch->type != MSGPACK_OBJECT_ARRAY || batch->via.array.size < 2 ||
	    !wire_decode_uint(&batch->via.array.ptr[0], BATCH_FORMAT, &format))
		return ST_EMALFORMED;
	records = &batch->via.array.ptr[1];
	if (records->type != MSGPACK_OBJECT_ARRAY ||
	    records->via.array.size > REC_BATCH_MAX)
		return ST_EMALFORMED;
	msgpack_unpacked_init(&unpacked);
	for (i = 0; i < records->via.array.size && code == CW_OK; i++) {
		int status =
		    decode_record(&records->via.array.ptr[i], &unpacked, &rec);

		code = sink->rec(sink->ctx, i, status, &rec);
	}
	msgpack_unpacked_destroy(&unpacked);
	return code;
}

/*
 * Decodes one entry of the log and passes each record to the sink with CW_OK,
 * ST_EMALFORMED (the record is zero or partly decoded) or ST_EUNKNOWNKIND (only
 * its header is decoded). Returns ST_EMALFORMED where the entry itself cannot
 * be decoded, or the first status other than CW_OK from the sink.
 */
int
rec_batch_decode(const void *data, size_t bytes, const struct rec_sink *sink)
{
	msgpack_unpacked unpacked;
	size_t offset = 0;
	int code;

	msgpack_unpacked_init(&unpacked);
	code = wire_unpack(&unpacked, data, bytes, &offset);
	if (code == CW_OK && offset != bytes)
		code = ST_EMALFORMED;
	if (code == CW_OK)
		code = decode_records(&unpacked.data, sink);
	msgpack_unpacked_destroy(&unpacked);
	return code;
}
