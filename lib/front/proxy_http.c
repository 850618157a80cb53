#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "front.h"
#include "proxy_internal.h"

#define ERROR_BYTES 512

static bool authenticate(struct fr_proxy *proxy,
    const struct lk_http_request *request, uint64_t *account,
    struct fr_proxy_answer *answer);
static bool read_headers(const struct lk_http_request *http,
    struct fr_proxy_request *request, struct fr_proxy_answer *answer);
static void write_response(
    struct fr_proxy_answer *answer, struct lk_http_response *response);

/* Checks the key of the account. Returns false with a 401 if it is wrong. */
static bool
authenticate(struct fr_proxy *proxy, const struct lk_http_request *request,
    uint64_t *account, struct fr_proxy_answer *answer)
{
	struct fr_caller caller;

	if (fr_auth_check(fr_proxy_board(proxy),
		lk_http_request_header(request, "X-Account"),
		lk_http_request_header(request, "X-Account-Key"),
		FR_PERMISSION_CALLER, &caller) != CW_OK) {
		fr_answer_error(answer, 401, RT_RAN_NOT, 0,
		    "X-Account-Key is missing or wrong");
		return false;
	}
	*account = caller.account;
	return true;
}

/* Reads the request headers. Returns false with a 400 if one is invalid: a
 * misread deadline or key could change how often the request runs. */
static bool
read_headers(const struct lk_http_request *http,
    struct fr_proxy_request *request, struct fr_proxy_answer *answer)
{
	const char *deadline = lk_http_request_header(http, "X-Deadline-Ms");
	const char *non_idempotent =
	    lk_http_request_header(http, "X-Non-Idempotent");
	const char *prefer = lk_http_request_header(http, "Prefer");
	char *end;

	request->key = lk_http_request_header(http, "Idempotency-Key");
	request->class_name = lk_http_request_header(http, "X-Class");
	request->content_type = lk_http_request_header(http, "Content-Type");
	request->non_idempotent =
	    non_idempotent != NULL && strcmp(non_idempotent, "0") != 0;
	request->respond_async =
	    prefer != NULL && strcasestr(prefer, "respond-async") != NULL;
	if (request->key != NULL &&
	    (*request->key == '\0' ||
		strlen(request->key) > FR_PROXY_KEY_BYTES_MAX)) {
		fr_answer_error(answer, 400, RT_RAN_NOT, 0,
		    "Idempotency-Key must have 1 to 128 bytes");
		return false;
	}
	if (request->content_type != NULL &&
	    strlen(request->content_type) >= RT_CONTENT_TYPE_BYTES) {
		fr_answer_error(
		    answer, 400, RT_RAN_NOT, 0, "Content-Type is too long");
		return false;
	}
	if (deadline == NULL)
		return true;
	request->deadline_ms = strtoll(deadline, &end, 10);
	if (*end != '\0' || request->deadline_ms < 1 ||
	    request->deadline_ms > 3600000) {
		fr_answer_error(answer, 400, RT_RAN_NOT, 0,
		    "X-Deadline-Ms must be from 1 to 3600000");
		return false;
	}
	return true;
}

/* Writes an answer as the HTTP response; takes ownership of its body. */
static void
write_response(
    struct fr_proxy_answer *answer, struct lk_http_response *response)
{
	char text[ERROR_BYTES];
	char seconds[16];
	size_t used;

	if (answer->id[0] != '\0')
		lk_http_response_header_add(
		    response, "X-Request-Id", answer->id);
	lk_http_response_header_add(
	    response, "X-Ran", rt_ran_name(answer->ran));
	if (answer->repeated)
		lk_http_response_header_add(response, "X-Repeated", "1");
	if (!answer->is_error && answer->state == NULL) {
		/* Copies the content type, as answer ends with this call. */
		if (answer->content_type[0] != '\0')
			lk_http_response_type_set(
			    response, answer->content_type);
		lk_http_response_take(response, answer->status, answer->body,
		    answer->body_bytes, free);
		return;
	}
	used = (size_t)snprintf(
	    text, sizeof(text), "{\"ran\":\"%s\"", rt_ran_name(answer->ran));
	if (answer->is_error)
		used += (size_t)snprintf(text + used, sizeof(text) - used,
		    ",\"error\":\"%s\"", answer->text);
	if (answer->is_error && answer->ran == RT_RAN_NOT)
		used += (size_t)snprintf(text + used, sizeof(text) - used,
		    ",\"retry_after_ms\":%u", answer->retry_after_ms);
	if (answer->state != NULL)
		used += (size_t)snprintf(text + used, sizeof(text) - used,
		    ",\"state\":\"%s\"", answer->state);
	if (answer->id[0] != '\0')
		used += (size_t)snprintf(text + used, sizeof(text) - used,
		    ",\"request\":\"%s\"", answer->id);
	used += (size_t)snprintf(text + used, sizeof(text) - used, "}");
	assert(used < sizeof(text));
	if (answer->ran == RT_RAN_NOT && answer->retry_after_ms > 0) {
		snprintf(seconds, sizeof(seconds), "%u",
		    (answer->retry_after_ms + 999) / 1000);
		lk_http_response_header_add(response, "Retry-After", seconds);
	}
	lk_http_response_copy(response, answer->status, text, used);
}

/* Serves POST /v1/services/{service}. */
void
fr_proxy_handle_post(void *ctx, const struct lk_http_request *request,
    struct lk_http_response *response)
{
	struct fr_proxy_request proxy_request = {0};
	struct fr_proxy_answer answer = {0};

	assert(strncmp(request->path, FR_PROXY_SERVICES_PATH,
		   sizeof(FR_PROXY_SERVICES_PATH) - 1) == 0);
	proxy_request.service =
	    request->path + sizeof(FR_PROXY_SERVICES_PATH) - 1;
	proxy_request.body = request->body;
	proxy_request.body_bytes = request->body_bytes;
	if (authenticate(ctx, request, &proxy_request.account, &answer) &&
	    read_headers(request, &proxy_request, &answer))
		fr_proxy_run(ctx, &proxy_request, &answer);
	write_response(&answer, response);
}

/* Serves GET /v1/requests/{id}. */
void
fr_proxy_handle_get(void *ctx, const struct lk_http_request *request,
    struct lk_http_response *response)
{
	struct fr_proxy_answer answer = {0};
	uint64_t account;

	assert(strncmp(request->path, FR_PROXY_REQUESTS_PATH,
		   sizeof(FR_PROXY_REQUESTS_PATH) - 1) == 0);
	if (authenticate(ctx, request, &account, &answer))
		fr_proxy_fetch(ctx, account,
		    request->path + sizeof(FR_PROXY_REQUESTS_PATH) - 1,
		    &answer);
	write_response(&answer, response);
}
