#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <curl/curl.h>

#include "ctl.h"

#define ANSWER_BYTES_MAX CTL_FILE_BYTES_MAX
#define CONNECT_TIMEOUT_MS 3000

struct ctl_transport {
	CURL *curl;
	char ca_file[256];
};

struct response_sink {
	struct cli_answer *answer;
	size_t capacity;
};

static size_t receive_body(char *data, size_t size, size_t count, void *ctx);
static size_t receive_header(char *data, size_t size, size_t count, void *ctx);
static void copy_header_value(
    char *dst, size_t bytes, const char *value, size_t n);
static void set_options(CURL *curl, const struct ctl_transport *link,
    const struct cli_call *call, struct response_sink *response_sink);
static void set_outcome(
    CURL *curl, CURLcode code, const char *reason, struct cli_answer *answer);

/* Creates a link. ca_file has the certificate authority for TLS; "" or NULL
 * selects unencrypted HTTP. Returns CW_ENOMEM on failure. */
int
ctl_transport_create(struct ctl_transport **out, const char *ca_file)
{
	struct ctl_transport *link = calloc(1, sizeof(*link));

	if (link != NULL)
		link->curl = curl_easy_init();
	if (link == NULL || link->curl == NULL) {
		free(link);
		return cw_error_set(CW_ENOMEM, "out of memory");
	}
	snprintf(link->ca_file, sizeof(link->ca_file), "%s",
	    ca_file == NULL ? "" : ca_file);
	*out = link;
	return CW_OK;
}

/* Closes the connections and frees the link. */
void
ctl_transport_destroy(struct ctl_transport *link)
{
	if (link == NULL)
		return;
	curl_easy_cleanup(link->curl);
	free(link);
}

/* libcurl callback: appends to the body, up to ANSWER_BYTES_MAX. */
static size_t
receive_body(char *data, size_t size, size_t count, void *ctx)
{
	struct response_sink *response_sink = ctx;
	struct cli_answer *answer = response_sink->answer;
	size_t bytes = size * count;
	size_t capacity = response_sink->capacity;
	char *body;

	if (bytes > ANSWER_BYTES_MAX - answer->body_bytes)
		return 0;
	while (capacity < answer->body_bytes + bytes + 1)
		capacity = capacity == 0 ? 4096 : capacity * 2;
	if (capacity != response_sink->capacity) {
		body = realloc(answer->body, capacity);
		if (body == NULL)
			return 0;
		answer->body = body;
		response_sink->capacity = capacity;
	}
	memcpy(answer->body + answer->body_bytes, data, bytes);
	answer->body_bytes += bytes;
	answer->body[answer->body_bytes] = '\0';
	return bytes;
}

/* Copies a header's value without leading and trailing white space. */
static void
copy_header_value(char *dst, size_t bytes, const char *value, size_t n)
{
	while (n > 0 && (*value == ' ' || *value == '\t')) {
		value++;
		n--;
	}
	while (n > 0 && strchr("\r\n \t", value[n - 1]) != NULL)
		n--;
	snprintf(dst, bytes, "%.*s", (int)n, value);
}

/* libcurl callback: stores the headers that callers use. */
static size_t
receive_header(char *data, size_t size, size_t count, void *ctx)
{
	static const char id[] = "X-Request-Id:";
	static const char wait[] = "X-Wait:";
	struct cli_answer *answer = ((struct response_sink *)ctx)->answer;
	size_t bytes = size * count;
	char value[16];

	if (bytes >= sizeof(id) && strncasecmp(data, id, sizeof(id) - 1) == 0)
		copy_header_value(answer->request_id,
		    sizeof(answer->request_id), data + sizeof(id) - 1,
		    bytes - (sizeof(id) - 1));
	if (bytes >= sizeof(wait) &&
	    strncasecmp(data, wait, sizeof(wait) - 1) == 0) {
		copy_header_value(value, sizeof(value), data + sizeof(wait) - 1,
		    bytes - (sizeof(wait) - 1));
		answer->is_busy = strcmp(value, "busy") == 0;
	}
	return bytes;
}

/* Sets the options of a request except for URL and headers. */
static void
set_options(CURL *curl, const struct ctl_transport *link,
    const struct cli_call *call, struct response_sink *response_sink)
{
	long connect_ms = call->timeout_ms < CONNECT_TIMEOUT_MS
	    ? (long)call->timeout_ms
	    : CONNECT_TIMEOUT_MS;

	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(
	    curl, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, connect_ms);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)call->timeout_ms);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, receive_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, response_sink);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, receive_header);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, response_sink);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, call->method);
	if (call->body != NULL) {
		curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)call->body_bytes);
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, call->body);
	}
	if (link->ca_file[0] != '\0')
		curl_easy_setopt(curl, CURLOPT_CAINFO, link->ca_file);
	/* libcurl retries a request by itself if a reused connection turns out
	 * to be closed, so only calls that are safe to repeat may reuse one. */
	curl_easy_setopt(
	    curl, CURLOPT_FRESH_CONNECT, call->is_repeatable ? 0L : 1L);
}

/* Sets the outcome of an exchange: answered, lost or not started. */
static void
set_outcome(
    CURL *curl, CURLcode code, const char *reason, struct cli_answer *answer)
{
	long request_bytes = 0;
	long status = 0;

	curl_easy_getinfo(curl, CURLINFO_REQUEST_SIZE, &request_bytes);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	answer->status = (int)status;
	if (code == CURLE_OK && status > 0) {
		answer->outcome = CLI_ANSWERED;
		return;
	}
	answer->outcome = request_bytes > 0 ? CLI_ANSWER_LOST : CLI_NOT_SENT;
	snprintf(answer->detail, sizeof(answer->detail), "%s",
	    reason[0] != '\0' ? reason : curl_easy_strerror(code));
	free(answer->body);
	answer->body = NULL;
	answer->body_bytes = 0;
}

/* Sends a request to a server and receives the answer; ctx is the link. */
void
ctl_transport_exchange(void *ctx, const char *server,
    const struct cli_call *call, struct cli_answer *answer)
{
	struct ctl_transport *link = ctx;
	struct response_sink response_sink = {answer, 0};
	struct curl_slist *headers = NULL;
	struct curl_slist *grown = NULL;
	char reason[CURL_ERROR_SIZE] = "";
	char url[640];
	CURLcode code = CURLE_OUT_OF_MEMORY;
	size_t i;

	assert(call->path[0] == '/' && call->timeout_ms > 0);
	snprintf(url, sizeof(url), "%s://%s%s",
	    link->ca_file[0] != '\0' ? "https" : "http", server, call->path);
	curl_easy_reset(link->curl);
	set_options(link->curl, link, call, &response_sink);
	curl_easy_setopt(link->curl, CURLOPT_ERRORBUFFER, reason);
	curl_easy_setopt(link->curl, CURLOPT_URL, url);
	/* Prevents libcurl from waiting for 100-continue on long bodies. */
	headers = curl_slist_append(NULL, "Expect:");
	for (i = 0; headers != NULL && i < call->header_count; i++) {
		grown = curl_slist_append(headers, call->headers[i]);
		if (grown == NULL) {
			curl_slist_free_all(headers);
			headers = NULL;
		} else {
			headers = grown;
		}
	}
	if (headers != NULL) {
		curl_easy_setopt(link->curl, CURLOPT_HTTPHEADER, headers);
		code = curl_easy_perform(link->curl);
	}
	set_outcome(link->curl, code, reason, answer);
	curl_slist_free_all(headers);
	curl_easy_setopt(link->curl, CURLOPT_ERRORBUFFER, NULL);
}
