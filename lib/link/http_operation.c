#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include "http_async_internal.h"

#define CONNECT_TIMEOUT_MS 1500L
/* The largest answer is a page of the store: 1 MB, in base64. */
#define ANSWER_BYTES_MAX ((size_t)8 * 1024 * 1024)
#define ANSWER_CAPACITY_INITIAL 1024
/* A connection that was idle for longer is not reused. libcurl looks once a
 * second for connections that are too old or closed, and after each one that it
 * finds it tests all others anew: 1,500 that became too old at once, beside as
 * many others, kept the thread busy for 12 s. One that its peer has closed is
 * recognized when it is to be reused. */
#define IDLE_CONNECTION_MAX_S 110L

static bool may_issue(const struct lk_operation *operation);
static int on_prereq(
    void *ctx, char *ip, char *local_ip, int port, int local_port);
static curl_socket_t on_open_socket(
    void *ctx, curlsocktype purpose, struct curl_sockaddr *address);
static int on_sockopt(void *ctx, curl_socket_t fd, curlsocktype purpose);
static size_t on_body(char *data, size_t size, size_t count, void *ctx);

/* Returns whether libcurl may issue the request of a call. It repeats a request
 * by itself if an idle connection breaks before the answer. The first copy of a
 * POST may have been carried out by then, and the answer to the second would
 * tell nothing about it. */
static bool
may_issue(const struct lk_operation *operation)
{
	return !operation->post || operation->requests_issued == 0;
}

/* libcurl callback: called before each request is sent. */
static int
on_prereq(void *ctx, char *ip, char *local_ip, int port, int local_port)
{
	struct lk_operation *operation = ctx;

	(void)ip;
	(void)local_ip;
	(void)port;
	(void)local_port;
	if (!may_issue(operation))
		return CURL_PREREQFUNC_ABORT;
	operation->requests_issued++;
	return CURL_PREREQFUNC_OK;
}

/* libcurl callback: opens no connection for a request that on_prereq would
 * abort. */
static curl_socket_t
on_open_socket(void *ctx, curlsocktype purpose, struct curl_sockaddr *address)
{
	(void)purpose;
	if (!may_issue(ctx))
		return CURL_SOCKET_BAD;
	return socket(address->family, address->socktype | SOCK_CLOEXEC,
	    address->protocol);
}

/* Disables Nagle's algorithm for small messages. Dead connections need no TCP
 * keepalive: the timeout of the call closes its connection. */
static int
on_sockopt(void *ctx, curl_socket_t fd, curlsocktype purpose)
{
	atomic_uint_least64_t *connections = ctx;
	int on = 1;

	(void)purpose;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	atomic_fetch_add_explicit(connections, 1, memory_order_relaxed);
	return CURL_SOCKOPT_OK;
}

/* libcurl callback: appends to the answer. Returns 0, which makes libcurl fail
 * the call, if the answer is too large or memory is exhausted. */
static size_t
on_body(char *data, size_t size, size_t count, void *ctx)
{
	struct lk_operation *operation = ctx;
	size_t bytes = size * count;
	size_t capacity = operation->answer_capacity;
	char *grown;

	if (bytes > ANSWER_BYTES_MAX - operation->answer_bytes)
		return 0;
	/* One byte more for a terminator. */
	while (operation->answer_bytes + bytes + 1 > capacity)
		capacity =
		    capacity == 0 ? ANSWER_CAPACITY_INITIAL : capacity * 2;
	if (capacity > operation->answer_capacity) {
		grown = realloc(operation->answer, capacity);
		if (grown == NULL)
			return 0;
		operation->answer = grown;
		operation->answer_capacity = capacity;
	}
	memcpy(operation->answer + operation->answer_bytes, data, bytes);
	operation->answer_bytes += bytes;
	operation->answer[operation->answer_bytes] = '\0';
	if (operation->stall_ms > 0)
		operation->stall_due_ms =
		    cw_clock_mono_ms() + operation->stall_ms;
	return bytes;
}

/* Sets all options of the handle of a call, which may have had another call
 * before. connections counts the connections that it opens. */
void
lk_operation_set_options(
    struct lk_operation *operation, atomic_uint_least64_t *connections)
{
	CURL *curl = operation->curl;

	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(
	    curl, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(curl, CURLOPT_MAXAGE_CONN, IDLE_CONNECTION_MAX_S);
	curl_easy_setopt(curl, CURLOPT_BUFFERSIZE, 8192L);
	curl_easy_setopt(curl, CURLOPT_PREREQFUNCTION, on_prereq);
	curl_easy_setopt(curl, CURLOPT_PREREQDATA, operation);
	curl_easy_setopt(curl, CURLOPT_OPENSOCKETFUNCTION, on_open_socket);
	curl_easy_setopt(curl, CURLOPT_OPENSOCKETDATA, operation);
	curl_easy_setopt(curl, CURLOPT_SOCKOPTFUNCTION, on_sockopt);
	curl_easy_setopt(curl, CURLOPT_SOCKOPTDATA, connections);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, operation);
	curl_easy_setopt(curl, CURLOPT_PRIVATE, operation);
	curl_easy_setopt(curl, CURLOPT_URL, operation->url);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, operation->headers);
	if (operation->post) {
		curl_easy_setopt(curl, CURLOPT_POST, 1L);
		curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)operation->body_bytes);
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS,
		    operation->body != NULL ? operation->body : "");
	} else
		curl_easy_setopt(curl, CURLOPT_HTTPGET, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
	    operation->stall_ms > 0 ? (long)LK_ASYNC_CALL_MAX_MS
				    : (long)operation->timeout_ms);
	curl_easy_setopt(
	    curl, CURLOPT_FRESH_CONNECT, operation->new_connection ? 1L : 0L);
	curl_easy_setopt(curl, CURLOPT_FORBID_REUSE,
	    operation->last_on_connection ? 1L : 0L);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
	    operation->timeout_ms < CONNECT_TIMEOUT_MS
		? (long)operation->timeout_ms
		: CONNECT_TIMEOUT_MS);
}

/* Frees a call or a timer. Its handle is the client's. */
void
lk_operation_free(struct lk_operation *operation)
{
	curl_slist_free_all(operation->headers);
	free(operation->body);
	free(operation->answer);
	free(operation);
}
