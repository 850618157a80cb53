#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <msgpack.h>

#include "fleet.h"
#include "proxy.h"

/* MessagePack array: account, running, ran, content type, body */
#define RESULT_FIELDS 5

static void pack_answer(msgpack_packer *packer, const struct rt_answer *answer);
static bool unpack_answer(const msgpack_object *object, struct rt_answer *out);

static void
pack_answer(msgpack_packer *packer, const struct rt_answer *answer)
{
	size_t type_bytes = strlen(answer->content_type);

	msgpack_pack_array(packer, RESULT_FIELDS);
	msgpack_pack_uint64(packer, answer->account);
	msgpack_pack_uint32(packer, answer->running);
	msgpack_pack_uint32(packer, (uint32_t)answer->ran);
	msgpack_pack_str(packer, type_bytes);
	msgpack_pack_str_body(packer, answer->content_type, type_bytes);
	msgpack_pack_bin(packer, answer->body_bytes);
	msgpack_pack_bin_body(packer, answer->body, answer->body_bytes);
}

/*
 * Encodes a stored answer of this VM for another entry VM. Returns FL_ENOTFOUND
 * if it is not or no longer stored, FL_ETOOLARGE if its encoding exceeds
 * bytes_max.
 */
int
fr_proxy_result_encode(struct rt_router *route, uint64_t request,
    uint32_t *http_status, void *buffer, size_t bytes_max, size_t *bytes)
{
	struct rt_answer answer = {0};
	msgpack_sbuffer packed;
	msgpack_packer packer;
	int code = CW_OK;

	assert(http_status != NULL && bytes != NULL);
	if (rt_answer_get(route, request, &answer) != CW_OK)
		return FL_ENOTFOUND;
	msgpack_sbuffer_init(&packed);
	msgpack_packer_init(&packer, &packed, msgpack_sbuffer_write);
	pack_answer(&packer, &answer);
	*http_status = (uint32_t)answer.http_status;
	if (packed.size > bytes_max) {
		code = FL_ETOOLARGE;
	} else {
		memcpy(buffer, packed.data, packed.size);
		*bytes = packed.size;
	}
	msgpack_sbuffer_destroy(&packed);
	free(answer.body);
	return code;
}

static bool
unpack_answer(const msgpack_object *object, struct rt_answer *out)
{
	const msgpack_object *field;
	size_t type_bytes;

	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size != RESULT_FIELDS)
		return false;
	field = object->via.array.ptr;
	if (field[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    field[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    field[2].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    field[2].via.u64 > RT_RAN_YES ||
	    field[3].type != MSGPACK_OBJECT_STR ||
	    field[4].type != MSGPACK_OBJECT_BIN)
		return false;
	type_bytes = field[3].via.str.size;
	if (type_bytes >= sizeof(out->content_type))
		return false;
	out->account = field[0].via.u64;
	out->running = field[1].via.u64 != 0;
	out->ran = (enum rt_ran)field[2].via.u64;
	memcpy(out->content_type, field[3].via.str.ptr, type_bytes);
	out->content_type[type_bytes] = '\0';
	out->body_bytes = field[4].via.bin.size;
	out->body = malloc(out->body_bytes + 1);
	if (out->body == NULL)
		return false;
	memcpy(out->body, field[4].via.bin.ptr, out->body_bytes);
	out->body[out->body_bytes] = '\0';
	return true;
}

/* Decodes an answer from the VM that owns it. The caller frees out->body.
 * Returns RT_EPEER if the data is malformed or memory is exhausted. */
int
fr_proxy_result_decode(uint64_t owner, uint64_t request, uint32_t http_status,
    const void *data, size_t bytes, struct rt_answer *out)
{
	msgpack_unpacked unpacked;
	size_t offset = 0;
	int code = RT_EPEER;

	memset(out, 0, sizeof(*out));
	out->owner = owner;
	out->request = request;
	out->http_status = (int)http_status;
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, data, bytes, &offset) ==
		MSGPACK_UNPACK_SUCCESS &&
	    unpack_answer(&unpacked.data, out))
		code = CW_OK;
	msgpack_unpacked_destroy(&unpacked);
	return code;
}
