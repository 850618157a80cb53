#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "platform_internal.h"

#define CONNECT_TIMEOUT_MS_DEFAULT 500
#define CALL_TIMEOUT_MS_DEFAULT 3000
#define LONG_CALL_MAX_MS 60000L
#define ANSWER_BYTES_MAX_DEFAULT (2 * 1024 * 1024)
#define ANSWER_CAPACITY_MIN 1024

static void global_init(void);
static CURL *handle_acquire(struct pf_http *http);
static void handle_release(struct pf_http *http, CURL *handle);
static bool may_issue(const struct pf_http_call *call);
static int on_prereq(
    void *arg, char *ip, char *local_ip, int port, int local_port);
static curl_socket_t on_open_socket(
    void *arg, curlsocktype purpose, struct curl_sockaddr *address);
static size_t on_body(char *data, size_t size, size_t count, void *arg);
static int on_progress(void *arg, curl_off_t down_total, curl_off_t down,
    curl_off_t up_total, curl_off_t up);
static void set_stall_timeout(
    const struct pf_http *http, struct pf_http_call *call, CURL *handle);
static CURL *prepare(struct pf_http *http, struct pf_http_call *call);
static void count_traffic(
    struct pf_http *http, const struct pf_http_call *call, CURL *handle);
static int classify_failure(CURL *handle, CURLcode code, bool is_change);
static bool rules_out_effect(long status);
static int classify_status(CURL *handle, const struct pf_http_call *call);

static pthread_once_t global_once = PTHREAD_ONCE_INIT;

static void
global_init(void)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
}

/*
 * Creates an adapter, which threads may share. Returns CW_EINVAL if
 * settings->address does not have the form "http://ip:port", or CW_ENOMEM.
 */
int
pf_http_create(struct pf_http **out, const struct pf_http_settings *settings)
{
	struct pf_http *http;

	assert(out != NULL && settings->address != NULL);
	if (strncmp(settings->address, "http://", 7) != 0)
		return cw_error_set(CW_EINVAL,
		    "platform address \"%.64s\" is not http://ip:port",
		    settings->address);
	pthread_once(&global_once, global_init);
	http = calloc(1, sizeof(*http));
	if (http == NULL)
		return CW_ENOMEM;
	if (cw_name_copy(http->base_url, sizeof(http->base_url),
		settings->address) != CW_OK) {
		free(http);
		return CW_EINVAL;
	}
	http->connect_timeout_ms = settings->connect_timeout_ms != 0
	    ? settings->connect_timeout_ms
	    : CONNECT_TIMEOUT_MS_DEFAULT;
	http->call_timeout_ms = settings->call_timeout_ms != 0
	    ? settings->call_timeout_ms
	    : CALL_TIMEOUT_MS_DEFAULT;
	http->answer_bytes_max = settings->answer_bytes_max != 0
	    ? settings->answer_bytes_max
	    : ANSWER_BYTES_MAX_DEFAULT;
	/* Removes headers that libcurl adds: "Expect" delays large bodies by a
	 * round trip; the others would be a third of the bytes of a renewal. */
	http->headers = curl_slist_append(NULL, "Expect:");
	http->headers = curl_slist_append(http->headers, "Accept:");
	http->headers = curl_slist_append(http->headers, "Content-Type:");
	pthread_mutex_init(&http->mutex, NULL);
	*out = http;
	return CW_OK;
}

/* Closes all connections. No call may be in flight. */
void
pf_http_destroy(struct pf_http *http)
{
	if (http == NULL)
		return;
	while (http->idle_count > 0)
		curl_easy_cleanup(http->idle[--http->idle_count]);
	curl_slist_free_all(http->headers);
	pthread_mutex_destroy(&http->mutex);
	free(http);
}

/* Fills in the callback tables, which are valid until pf_http_destroy. */
void
pf_http_platform(struct pf_http *http, struct pf_platform *out)
{
	assert(http != NULL && out != NULL);
	pf_http_log(http, &out->log);
	pf_http_vms(http, &out->vms);
	pf_http_tasks(http, &out->tasks);
}

/* Returns the handle that was released last, because its connection is the
 * least likely to have been closed as idle. Returns NULL if out of memory. */
static CURL *
handle_acquire(struct pf_http *http)
{
	CURL *handle = NULL;

	pthread_mutex_lock(&http->mutex);
	if (http->idle_count > 0)
		handle = http->idle[--http->idle_count];
	pthread_mutex_unlock(&http->mutex);
	if (handle != NULL)
		curl_easy_reset(handle);
	else
		handle = curl_easy_init();
	return handle;
}

static void
handle_release(struct pf_http *http, CURL *handle)
{
	pthread_mutex_lock(&http->mutex);
	if (http->idle_count < PF_HTTP_IDLE_MAX) {
		http->idle[http->idle_count++] = handle;
		handle = NULL;
	}
	pthread_mutex_unlock(&http->mutex);
	if (handle != NULL)
		curl_easy_cleanup(handle);
}

/* Returns whether libcurl may issue the request of a call. It repeats a request
 * by itself if an idle connection breaks before the answer. The first copy of a
 * change may have taken effect by then, and the answer to the second would tell
 * nothing about it. */
static bool
may_issue(const struct pf_http_call *call)
{
	return !call->is_change || call->requests_issued == 0;
}

/* libcurl callback: called before each request is sent. */
static int
on_prereq(void *arg, char *ip, char *local_ip, int port, int local_port)
{
	struct pf_http_call *call = arg;

	(void)ip;
	(void)local_ip;
	(void)port;
	(void)local_port;
	if (!may_issue(call))
		return CURL_PREREQFUNC_ABORT;
	call->requests_issued++;
	return CURL_PREREQFUNC_OK;
}

/* libcurl callback: opens no connection for a request that on_prereq would
 * abort. */
static curl_socket_t
on_open_socket(void *arg, curlsocktype purpose, struct curl_sockaddr *address)
{
	(void)purpose;
	if (!may_issue(arg))
		return CURL_SOCKET_BAD;
	return socket(address->family, address->socktype | SOCK_CLOEXEC,
	    address->protocol);
}

/* Appends to the answer. Returns 0, which makes libcurl fail the call, if the
 * answer is too large or memory is exhausted. */
static size_t
on_body(char *data, size_t size, size_t count, void *arg)
{
	struct pf_http_call *call = arg;
	size_t bytes = size * count, capacity = ANSWER_CAPACITY_MIN;
	char *grown;

	if (bytes > call->answer_bytes_max - call->answer_bytes)
		return 0;
	while (capacity < call->answer_bytes + bytes + 1)
		capacity *= 2;
	if (call->answer == NULL || capacity > ANSWER_CAPACITY_MIN) {
		grown = realloc(call->answer, capacity);
		if (grown == NULL)
			return 0;
		call->answer = grown;
	}
	memcpy(call->answer + call->answer_bytes, data, bytes);
	call->answer_bytes += bytes;
	call->answer[call->answer_bytes] = '\0';
	call->stall_due_ms = cw_clock_mono_ms() + call->stall_ms;
	return bytes;
}

/* libcurl callback, called at least once a second. Returns 1, which aborts the
 * call, if the answer has stalled. */
static int
on_progress(void *arg, curl_off_t down_total, curl_off_t down,
    curl_off_t up_total, curl_off_t up)
{
	const struct pf_http_call *call = arg;

	(void)down_total;
	(void)down;
	(void)up_total;
	(void)up;
	return cw_clock_mono_ms() >= call->stall_due_ms;
}

/* Lets a call take as long as its answer keeps arriving: a call that is
 * repeated starts from the first byte again, and on a full link it would never
 * be complete. */
static void
set_stall_timeout(
    const struct pf_http *http, struct pf_http_call *call, CURL *handle)
{
	call->stall_ms = http->call_timeout_ms;
	call->stall_due_ms =
	    cw_clock_mono_ms() + call->stall_ms + call->wait_ms;
	curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, LONG_CALL_MAX_MS);
	curl_easy_setopt(handle, CURLOPT_NOPROGRESS, 0L);
	curl_easy_setopt(handle, CURLOPT_XFERINFOFUNCTION, on_progress);
	curl_easy_setopt(handle, CURLOPT_XFERINFODATA, call);
}

/* Takes a handle and sets the options of a call; NULL if out of memory. */
static CURL *
prepare(struct pf_http *http, struct pf_http_call *call)
{
	CURL *handle = handle_acquire(http);
	char url[256];

	if (handle == NULL)
		return NULL;
	snprintf(url, sizeof(url), "%s%s", http->base_url, call->path);
	curl_easy_setopt(handle, CURLOPT_URL, url);
	curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(handle, CURLOPT_PROXY, "");
	curl_easy_setopt(handle, CURLOPT_HTTPHEADER, http->headers);
	curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call->method);
	curl_easy_setopt(
	    handle, CURLOPT_CONNECTTIMEOUT_MS, (long)http->connect_timeout_ms);
	curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
	    (long)http->call_timeout_ms + (long)call->wait_ms);
	if (call->is_long)
		set_stall_timeout(http, call, handle);
	curl_easy_setopt(handle, CURLOPT_MAXCONNECTS, 1L);
	curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, on_prereq);
	curl_easy_setopt(handle, CURLOPT_PREREQDATA, call);
	curl_easy_setopt(handle, CURLOPT_OPENSOCKETFUNCTION, on_open_socket);
	curl_easy_setopt(handle, CURLOPT_OPENSOCKETDATA, call);
	curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(handle, CURLOPT_WRITEDATA, call);
	if (call->body != NULL) {
		curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)call->body_bytes);
		curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call->body);
	}
	return handle;
}

/* libcurl's request size includes a body that was sent together with the
 * headers, as bodies below 64 KiB are. A larger body is sent separately and
 * exceeds the size of the headers, so it is added. */
static void
count_traffic(
    struct pf_http *http, const struct pf_http_call *call, CURL *handle)
{
	curl_off_t up = 0, down = 0;
	long request = 0, header = 0;

	curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &request);
	curl_easy_getinfo(handle, CURLINFO_SIZE_UPLOAD_T, &up);
	curl_easy_getinfo(handle, CURLINFO_HEADER_SIZE, &header);
	curl_easy_getinfo(handle, CURLINFO_SIZE_DOWNLOAD_T, &down);
	atomic_fetch_add(&http->traffic[call->kind].calls, 1);
	atomic_fetch_add(&http->traffic[call->kind].sent,
	    (unsigned long long)(request > up ? request : request + up));
	atomic_fetch_add(&http->traffic[call->kind].received,
	    (unsigned long long)header + (unsigned long long)down);
}

/* Fills in the traffic of each kind of call so far. */
void
pf_http_traffic(struct pf_http *http, struct pf_traffic out[PF_TRAFFIC_KINDS])
{
	uint32_t i;

	assert(http != NULL && out != NULL);
	for (i = 0; i < PF_TRAFFIC_KINDS; i++) {
		out[i].calls = atomic_load(&http->traffic[i].calls);
		out[i].sent_bytes = atomic_load(&http->traffic[i].sent);
		out[i].received_bytes = atomic_load(&http->traffic[i].received);
	}
}

/* Returns the status of a call that got no complete answer. */
static int
classify_failure(CURL *handle, CURLcode code, bool is_change)
{
	long sent = 0;
	int status = PF_EUNKNOWN;

	curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &sent);
	if (sent == 0)
		status = PF_EUNREACHABLE;
	else if (code == CURLE_WRITE_ERROR && !is_change)
		status = PF_ETOOLARGE;
	return cw_error_set(status, "platform: %s", curl_easy_strerror(code));
}

/* Returns whether an HTTP status tells that the call had no effect. Any other
 * one may come from a proxy whose call to the platform was carried out. */
static bool
rules_out_effect(long status)
{
	return (status >= 400 && status < 500 && status != 408) ||
	    status == 503;
}

/* Returns the status for the HTTP status of a complete answer. */
static int
classify_status(CURL *handle, const struct pf_http_call *call)
{
	long status = 0;

	curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
	switch (status) {
	case 200:
		return CW_OK;
	case 304:
		if (call->may_be_unchanged)
			return PF_UNCHANGED;
		return cw_error_set(
		    PF_EREFUSED, "platform answered 304 to %.64s", call->path);
	case 410:
		return PF_EEXPIRED;
	case 413:
		return PF_ETOOLARGE;
	default:
		return cw_error_set(
		    rules_out_effect(status) ? PF_EREFUSED : PF_EUNKNOWN,
		    "platform answered %ld to %.64s", status, call->path);
	}
}

/*
 * Makes one call, on an idle connection if there is one. A connection whose
 * call failed is closed. Returns CW_OK, PF_UNCHANGED or an error of enum
 * pf_status. On CW_OK call->answer is not NULL and the caller frees it.
 */
int
pf_http_call(struct pf_http *http, struct pf_http_call *call)
{
	CURL *handle;
	CURLcode result;
	int code;

	call->answer = NULL;
	call->answer_bytes = 0;
	call->requests_issued = 0;
	call->answer_bytes_max = http->answer_bytes_max;
	handle = prepare(http, call);
	if (handle == NULL)
		return cw_error_set(PF_EUNREACHABLE, "no memory for a call");
	result = curl_easy_perform(handle);
	count_traffic(http, call, handle);
	if (result != CURLE_OK) {
		code = classify_failure(handle, result, call->is_change);
		curl_easy_cleanup(handle);
	} else {
		code = classify_status(handle, call);
		handle_release(http, handle);
	}
	if (code == CW_OK && call->answer == NULL) {
		call->answer = calloc(1, 1);
		if (call->answer == NULL)
			code = PF_EUNKNOWN;
	}
	if (code != CW_OK) {
		free(call->answer);
		call->answer = NULL;
	}
	return code;
}

/* Like pf_http_call, for an answer that must be a JSON object; the caller
 * releases the reference to it. */
int
pf_http_call_json(
    struct pf_http *http, struct pf_http_call *call, json_t **json)
{
	json_error_t error;
	int code = pf_http_call(http, call);

	if (code != CW_OK)
		return code;
	*json = NULL;
	if (cw_json_is_shallow(
		call->answer, call->answer_bytes, CW_JSON_DEPTH_MAX))
		*json = json_loadb(call->answer, call->answer_bytes,
		    JSON_REJECT_DUPLICATES, &error);
	free(call->answer);
	call->answer = NULL;
	if (json_is_object(*json))
		return CW_OK;
	json_decref(*json);
	*json = NULL;
	ev_emit(EV_PLATFORM_BAD_ANSWER, "path=%.64s", call->path);
	return cw_error_set(call->is_change ? PF_EUNKNOWN : PF_EMALFORMED,
	    "answer to %.64s is not a JSON object", call->path);
}
