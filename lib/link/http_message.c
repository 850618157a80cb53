#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http_server.h"

/* Adds a header to a response. Headers beyond LK_HTTP_HEADERS_MAX and values
 * with line breaks are dropped; long names and values are truncated. */
void
lk_http_response_header_add(
    struct lk_http_response *response, const char *name, const char *value)
{
	uint32_t i = response->header_count;

	assert(name != NULL && value != NULL);
	if (i >= LK_HTTP_HEADERS_MAX || strpbrk(value, "\r\n") != NULL)
		return;
	snprintf(
	    response->headers[i].name, LK_HTTP_HEADER_NAME_BYTES, "%s", name);
	snprintf(response->headers[i].value, LK_HTTP_HEADER_VALUE_BYTES, "%s",
	    value);
	response->header_count++;
}

/* Copies the type of the body. A type that is too long or contains line breaks
 * is ignored. */
void
lk_http_response_type_set(
    struct lk_http_response *response, const char *content_type)
{
	size_t bytes = strlen(content_type) + 1;

	if (bytes > sizeof(response->content_type_copy) ||
	    strpbrk(content_type, "\r\n") != NULL)
		return;
	memcpy(response->content_type_copy, content_type, bytes);
	response->content_type = response->content_type_copy;
}

/* Sets the status and a copy of the body. Returns CW_ENOMEM, with the response
 * set to 500 without a body. */
int
lk_http_response_copy(struct lk_http_response *response, int status,
    const void *body, size_t bytes)
{
	void *copy = malloc(bytes + 1);

	if (copy == NULL) {
		lk_http_response_static(response, 500, "");
		return CW_ENOMEM;
	}
	if (bytes > 0)
		memcpy(copy, body, bytes);
	lk_http_response_take(response, status, copy, bytes, free);
	return CW_OK;
}

/* Sets the status and takes ownership of a body, which the server frees with
 * body_free after it was sent. */
void
lk_http_response_take(struct lk_http_response *response, int status, void *body,
    size_t bytes, void (*body_free)(void *body))
{
	if (response->body_free != NULL)
		response->body_free(response->body);
	response->status = status;
	response->body = body;
	response->body_bytes = bytes;
	response->body_free = body_free;
}

/* Sets the status and a body that outlives the response. */
void
lk_http_response_static(
    struct lk_http_response *response, int status, const char *text)
{
	lk_http_response_take(
	    response, status, (void *)text, strlen(text), NULL);
}

/* Fills in the default limits, meant for an entry VM. */
void
lk_http_server_config_default(struct lk_http_server_config *config)
{
	memset(config, 0, sizeof(*config));
	config->threads = 64;
	config->queue = 256;
	config->header_bytes_max = 16 * 1024;
	config->request_timeout_ms = 30000;
	config->idle_timeout_ms = 30000;
}
