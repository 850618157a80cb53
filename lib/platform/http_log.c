#include <assert.h>
#include <endian.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform_internal.h"

/* An entry's offset (8 bytes) and length (4 bytes), big endian. */
#define FRAME_HEADER_BYTES 12
#define READ_BYTES_MAX (256 * 1024)

static int append(void *ctx, const char *stream, const void *data, size_t bytes,
    uint64_t *offset);
static bool frame_next(const struct pf_http_call *call, size_t *at,
    uint64_t *offset, size_t *bytes);
static int read_entries(void *ctx, const char *stream, uint64_t from,
    uint32_t wait_ms, const struct pf_log_sink *sink);
static int read_range(
    void *ctx, const char *stream, struct pf_log_range *range);

static int
append(void *ctx, const char *stream, const void *data, size_t bytes,
    uint64_t *offset)
{
	char path[128];
	struct pf_http_call call = {
	    .kind = PF_TRAFFIC_LOG,
	    .method = "POST",
	    .path = path,
	    .body = data,
	    .body_bytes = bytes,
	    .is_change = true,
	};
	json_int_t value = -1;
	json_t *json;
	int code;

	if (bytes > PF_LOG_ENTRY_BYTES_MAX)
		return PF_ETOOLARGE;
	snprintf(path, sizeof(path), "/log/%s", stream);
	code = pf_http_call_json(ctx, &call, &json);
	if (code != CW_OK)
		return code;
	if (json_unpack(json, "{s:I}", "offset", &value) != 0 || value < 0)
		code = cw_error_set(PF_EUNKNOWN, "append without an offset");
	else
		*offset = (uint64_t)value;
	json_decref(json);
	return code;
}

/* Reads the frame at *at and advances *at past it. Returns false if the frame
 * is truncated. */
static bool
frame_next(const struct pf_http_call *call, size_t *at, uint64_t *offset,
    size_t *bytes)
{
	uint64_t offset_be;
	uint32_t length_be;

	if (call->answer_bytes - *at < FRAME_HEADER_BYTES)
		return false;
	memcpy(&offset_be, call->answer + *at, sizeof(offset_be));
	memcpy(&length_be, call->answer + *at + 8, sizeof(length_be));
	*at += FRAME_HEADER_BYTES;
	*offset = be64toh(offset_be);
	*bytes = be32toh(length_be);
	if (*bytes > PF_LOG_ENTRY_BYTES_MAX ||
	    *bytes > call->answer_bytes - *at)
		return false;
	*at += *bytes;
	return true;
}

/* Delivers no entry unless all frames are valid and consecutive. */
static int
read_entries(void *ctx, const char *stream, uint64_t from, uint32_t wait_ms,
    const struct pf_log_sink *sink)
{
	char path[160];
	struct pf_http_call call = {.kind = PF_TRAFFIC_LOG,
	    .method = "GET",
	    .path = path,
	    .wait_ms = wait_ms,
	    .is_long = true};
	uint64_t offset, expected;
	size_t at, bytes;
	int code;

	snprintf(path, sizeof(path),
	    "/log/%s?from=%llu&wait_ms=%u&max_bytes=%d", stream,
	    (unsigned long long)from, wait_ms, READ_BYTES_MAX);
	code = pf_http_call(ctx, &call);
	if (code != CW_OK)
		return code;
	expected = from;
	for (at = 0; at < call.answer_bytes; expected++)
		if (!frame_next(&call, &at, &offset, &bytes) ||
		    offset != expected) {
			free(call.answer);
			return cw_error_set(PF_EMALFORMED,
			    "frame of offset %llu in stream %.32s",
			    (unsigned long long)expected, stream);
		}
	for (at = 0; code == CW_OK && at < call.answer_bytes;) {
		frame_next(&call, &at, &offset, &bytes);
		code = sink->entry(
		    sink->ctx, offset, call.answer + at - bytes, bytes);
	}
	free(call.answer);
	return code;
}

static int
read_range(void *ctx, const char *stream, struct pf_log_range *range)
{
	char path[128];
	struct pf_http_call call = {
	    .kind = PF_TRAFFIC_LOG, .method = "GET", .path = path};
	json_int_t first = -1, next = -1;
	json_t *json;
	int code;

	snprintf(path, sizeof(path), "/log/%s/range", stream);
	code = pf_http_call_json(ctx, &call, &json);
	if (code != CW_OK)
		return code;
	if (json_unpack(json, "{s:I, s:I}", "first", &first, "next", &next) !=
		0 ||
	    first < 0 || next < first) {
		code = cw_error_set(
		    PF_EMALFORMED, "range of stream %.32s", stream);
	} else {
		range->first = (uint64_t)first;
		range->next = (uint64_t)next;
	}
	json_decref(json);
	return code;
}

void
pf_http_log(struct pf_http *http, struct pf_log *out)
{
	out->append = append;
	out->read = read_entries;
	out->range = read_range;
	out->ctx = http;
}
