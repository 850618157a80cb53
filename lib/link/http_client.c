#include <assert.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include <curl/curl.h>

#include "http_client.h"
#include "http_transfer.h"

/* A connection that was idle for longer is not reused, because the upstream may
 * close it at the same moment; usual keep-alive timeouts are above 5 s. */
#define IDLE_CONNECTION_MAX_S 5L
/* A connection with data unacknowledged for this time is closed. */
#define UNACKED_TIMEOUT_MS 3000
#define KEEPALIVE_IDLE_S 3
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 3
#define BODY_CAPACITY_INITIAL 1024

/* One curl handle and its multi handle, which holds at most one connection. */
struct handle {
	CURL *curl;
	struct lk_transfer transfer;
	struct curl_slist headers[LK_HTTP_CALL_HEADERS_MAX + 1];
	int64_t last_used_ms; /* monotonic time of the last call */
	const struct lk_http_call *call;
	struct lk_http_answer *answer;
	size_t body_capacity;
	uint32_t requests_issued; /* by the present call */
	bool too_large;
	bool out_of_memory;
	bool body_is_delimited; /* Content-Length or Transfer-Encoding is set */
	bool connection_close;
	bool upstream_leaving;
};

struct pool {
	_Atomic(struct handle *) idle[LK_HTTP_IDLE_MAX];
};

struct lk_http_client {
	_Atomic(struct pool *) pools[LK_HTTP_POOLS];
};

static int on_prereq(
    void *ctx, char *ip, char *local_ip, int port, int local_port);
static curl_socket_t on_open_socket(
    void *ctx, curlsocktype purpose, struct curl_sockaddr *address);
static int on_sockopt(void *ctx, curl_socket_t fd, curlsocktype purpose);
static size_t on_body(char *data, size_t size, size_t count, void *ctx);
static size_t on_header(char *data, size_t size, size_t count, void *ctx);
static bool header_is(
    const char *line, size_t bytes, const char *name, const char **value);
static struct handle *handle_create(void);
static void handle_destroy(struct handle *handle);
static struct pool *pool_get(struct lk_http_client *client, uint32_t index);
static struct handle *pool_take(struct pool *pool, uint32_t idle_max);
static void pool_put(
    struct pool *pool, struct handle *handle, uint32_t idle_max);
static uint32_t thread_slot(uint32_t count);
static int prepare(struct handle *handle, const struct lk_http_call *call);
static enum lk_http_outcome classify(
    const struct handle *handle, CURLcode code);
static int client_call(
    void *ctx, const struct lk_http_call *call, struct lk_http_answer *answer);

/* Returns the name of an outcome for logs and metrics. */
const char *
lk_http_outcome_name(enum lk_http_outcome outcome)
{
	static const char *const names[] = {"whole", "not_started", "lost",
	    "truncated", "timeout", "too_large"};

	assert(outcome < LK_HTTP_OUTCOME_COUNT);
	return names[outcome];
}

/*
 * Limits a call to one request. libcurl retries a request when a reused
 * connection ends without an answer, but the upstream may have run it.
 */
static int
on_prereq(void *ctx, char *ip, char *local_ip, int port, int local_port)
{
	struct handle *handle = ctx;

	(void)ip;
	(void)local_ip;
	(void)port;
	(void)local_port;
	if (handle->requests_issued > 0)
		return CURL_PREREQFUNC_ABORT;
	handle->requests_issued++;
	return CURL_PREREQFUNC_OK;
}

/* Opens no connection for a retry that on_prereq would abort. */
static curl_socket_t
on_open_socket(void *ctx, curlsocktype purpose, struct curl_sockaddr *address)
{
	const struct handle *handle = ctx;

	(void)purpose;
	if (handle->requests_issued > 0)
		return CURL_SOCKET_BAD;
	return socket(address->family, address->socktype | SOCK_CLOEXEC,
	    address->protocol);
}

/* Lets the kernel detect a dead connection long before the call's deadline. */
static int
on_sockopt(void *ctx, curl_socket_t fd, curlsocktype purpose)
{
	static const struct {
		int level;
		int name;
		int value;
	} options[] = {
	    {IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS},
	    {SOL_SOCKET, SO_KEEPALIVE, 1},
	    {IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S},
	    {IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S},
	    {IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES},
	};
	size_t i;

	(void)ctx;
	(void)purpose;
	for (i = 0; i < sizeof(options) / sizeof(*options); i++)
		setsockopt(fd, options[i].level, options[i].name,
		    &options[i].value, sizeof(options[i].value));
	return CURL_SOCKOPT_OK;
}

/* libcurl callback: appends to the body. Returns 0, which makes libcurl fail
 * the call, if the body is too large or memory is exhausted. */
static size_t
on_body(char *data, size_t size, size_t count, void *ctx)
{
	struct handle *handle = ctx;
	struct lk_http_answer *answer = handle->answer;
	size_t bytes = size * count;
	size_t body_capacity = handle->body_capacity;
	void *grown;

	if (bytes > handle->call->answer_bytes_max - answer->body_bytes) {
		handle->too_large = true;
		return 0;
	}
	while (answer->body_bytes + bytes > body_capacity)
		body_capacity = body_capacity == 0 ? BODY_CAPACITY_INITIAL
						   : body_capacity * 2;
	if (body_capacity > handle->body_capacity) {
		grown = realloc(answer->body, body_capacity);
		if (grown == NULL) {
			handle->out_of_memory = true;
			return 0;
		}
		answer->body = grown;
		handle->body_capacity = body_capacity;
	}
	memcpy((char *)answer->body + answer->body_bytes, data, bytes);
	answer->body_bytes += bytes;
	return bytes;
}

/* Stores the value of a header line; returns false if its name differs. */
static bool
header_is(const char *line, size_t bytes, const char *name, const char **value)
{
	size_t length = strlen(name);

	if (bytes <= length || line[length] != ':' ||
	    strncasecmp(line, name, length) != 0)
		return false;
	*value = line + length + 1;
	while (**value == ' ' || **value == '\t')
		(*value)++;
	return true;
}

/* libcurl callback: evaluates the headers that the client uses. A status line
 * resets those of an interim response. */
static size_t
on_header(char *data, size_t size, size_t count, void *ctx)
{
	struct handle *handle = ctx;
	struct lk_http_answer *answer = handle->answer;
	size_t bytes = size * count;
	char line[256];
	size_t n = bytes < sizeof(line) - 1 ? bytes : sizeof(line) - 1;
	const char *value;

	memcpy(line, data, n);
	while (n > 0 && (line[n - 1] == '\r' || line[n - 1] == '\n'))
		n--;
	line[n] = '\0';
	if (strncmp(line, "HTTP/", 5) == 0) {
		handle->body_is_delimited = false;
		handle->connection_close = false;
	} else if (header_is(line, n, "Content-Length", &value) ||
	    header_is(line, n, "Transfer-Encoding", &value))
		handle->body_is_delimited = true;
	else if (header_is(line, n, "Connection", &value))
		handle->connection_close = strcasecmp(value, "close") == 0;
	else if (header_is(line, n, "X-Upstream-Leaving", &value))
		handle->upstream_leaving = strcmp(value, "1") == 0;
	else if (header_is(line, n, "Retry-After", &value)) {
		long seconds = strtol(value, NULL, 10);

		answer->retry_after_ms = seconds >= 0 && seconds <= 3600
		    ? (int32_t)seconds * 1000
		    : -1;
	} else if (header_is(line, n, "Content-Type", &value))
		snprintf(answer->content_type, sizeof(answer->content_type),
		    "%s", value);
	return bytes;
}

/* Creates a handle without a connection; NULL if out of memory. */
static struct handle *
handle_create(void)
{
	struct handle *handle = calloc(1, sizeof(*handle));
	CURL *curl;

	if (handle == NULL)
		return NULL;
	handle->curl = curl = curl_easy_init();
	if (curl == NULL || !lk_transfer_init(&handle->transfer)) {
		handle_destroy(handle);
		return NULL;
	}
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(
	    curl, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(curl, CURLOPT_MAXAGE_CONN, IDLE_CONNECTION_MAX_S);
	curl_easy_setopt(curl, CURLOPT_PREREQFUNCTION, on_prereq);
	curl_easy_setopt(curl, CURLOPT_PREREQDATA, handle);
	curl_easy_setopt(curl, CURLOPT_OPENSOCKETFUNCTION, on_open_socket);
	curl_easy_setopt(curl, CURLOPT_OPENSOCKETDATA, handle);
	curl_easy_setopt(curl, CURLOPT_SOCKOPTFUNCTION, on_sockopt);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, handle);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, handle);
	return handle;
}

static void
handle_destroy(struct handle *handle)
{
	curl_easy_cleanup(handle->curl);
	curl_multi_cleanup(handle->transfer.multi);
	free(handle);
}

/* Returns the pool of an upstream, created at the first use; NULL if out of
 * memory. */
static struct pool *
pool_get(struct lk_http_client *client, uint32_t index)
{
	_Atomic(struct pool *) *slot = &client->pools[index % LK_HTTP_POOLS];
	struct pool *pool = atomic_load(slot);
	struct pool *created;

	if (pool != NULL)
		return pool;
	created = calloc(1, sizeof(*created));
	if (created == NULL)
		return NULL;
	if (atomic_compare_exchange_strong(slot, &pool, created))
		return created;
	free(created);
	return pool;
}

/* Returns the slot at which the calling thread starts its search, so that
 * threads are spread over the slots of a pool. */
static uint32_t
thread_slot(uint32_t count)
{
	static atomic_uint threads;
	static _Thread_local uint32_t number = UINT32_MAX;

	if (number == UINT32_MAX)
		number = atomic_fetch_add(&threads, 1) & 0xffff;
	return number % count;
}

/* Takes an idle handle from a pool or creates one; NULL if out of memory. */
static struct handle *
pool_take(struct pool *pool, uint32_t idle_max)
{
	uint32_t first = thread_slot(idle_max);
	struct handle *handle;
	uint32_t i;

	for (i = 0; i < idle_max; i++) {
		_Atomic(struct handle *) *slot =
		    &pool->idle[(first + i) % idle_max];

		if (atomic_load_explicit(slot, memory_order_relaxed) == NULL)
			continue;
		handle = atomic_exchange(slot, NULL);
		if (handle != NULL)
			return handle;
	}
	return handle_create();
}

/* Returns a handle to its pool, or destroys it if idle_max handles are idle. */
static void
pool_put(struct pool *pool, struct handle *handle, uint32_t idle_max)
{
	uint32_t first = thread_slot(idle_max);
	uint32_t i;

	for (i = 0; i < idle_max; i++) {
		struct handle *expected = NULL;

		if (atomic_compare_exchange_strong(
			&pool->idle[(first + i) % idle_max], &expected, handle))
			return;
	}
	handle_destroy(handle);
}

/* Sets the options of a call. Returns CW_EINVAL if the URL is too long. */
static int
prepare(struct handle *handle, const struct lk_http_call *call)
{
	char url[1024];
	CURL *curl = handle->curl;
	size_t i;

	if ((size_t)snprintf(url, sizeof(url), "http://%s%s", call->address,
		call->path) >= sizeof(url))
		return CW_EINVAL;
	assert(call->header_count <= LK_HTTP_CALL_HEADERS_MAX);
	/* libcurl only reads the list, and only during the call. */
	handle->headers[0].data = (char *)(uintptr_t) "Expect:";
	handle->headers[0].next = NULL;
	for (i = 0; i < call->header_count; i++) {
		handle->headers[i].next = &handle->headers[i + 1];
		handle->headers[i + 1].data =
		    (char *)(uintptr_t)call->headers[i];
		handle->headers[i + 1].next = NULL;
	}
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, handle->headers);
	curl_easy_setopt(
	    curl, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)call->body_bytes);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS,
	    call->body != NULL ? (const char *)call->body : "");
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)call->timeout_ms);
	curl_easy_setopt(
	    curl, CURLOPT_CONNECTTIMEOUT_MS, (long)call->connect_timeout_ms);
	curl_easy_setopt(
	    curl, CURLOPT_FRESH_CONNECT, call->new_connection ? 1L : 0L);
	return CW_OK;
}

/* Returns the outcome of a finished transfer. */
static enum lk_http_outcome
classify(const struct handle *handle, CURLcode code)
{
	const struct lk_http_answer *answer = handle->answer;
	bool has_body = answer->status != 204 && answer->status != 304;

	if (code == CURLE_OK)
		return handle->body_is_delimited || !has_body
		    ? LK_HTTP_COMPLETE
		    : LK_HTTP_TRUNCATED;
	if (handle->requests_issued == 0)
		return LK_HTTP_NOT_STARTED;
	if (handle->too_large)
		return LK_HTTP_TOO_LARGE;
	if (code == CURLE_OPERATION_TIMEDOUT)
		return LK_HTTP_TIMEOUT;
	return answer->status == 0 ? LK_HTTP_LOST : LK_HTTP_TRUNCATED;
}

static int
client_call(
    void *ctx, const struct lk_http_call *call, struct lk_http_answer *answer)
{
	uint32_t idle_max = call->idle_max == 0 ? 1 : call->idle_max;
	struct pool *pool = pool_get(ctx, call->pool);
	struct handle *handle;
	curl_off_t bytes = 0;
	long value = 0;
	CURLcode code;
	int status;

	assert(call->timeout_ms > 0);
	memset(answer, 0, sizeof(*answer));
	answer->retry_after_ms = -1;
	answer->outcome = LK_HTTP_NOT_STARTED;
	if (idle_max > LK_HTTP_IDLE_MAX)
		idle_max = LK_HTTP_IDLE_MAX;
	handle = pool == NULL ? NULL : pool_take(pool, idle_max);
	if (handle == NULL)
		return cw_error_set(CW_ENOMEM, "no memory for a connection");
	handle->call = call;
	handle->answer = answer;
	handle->body_capacity = 0;
	handle->requests_issued = 0;
	handle->too_large = handle->out_of_memory = false;
	handle->body_is_delimited = handle->connection_close =
	    handle->upstream_leaving = false;
	status = prepare(handle, call);
	if (status != CW_OK) {
		handle_destroy(handle);
		return cw_error_set(
		    status, "call of %s cannot be prepared", call->address);
	}
	code = lk_transfer_run(&handle->transfer, handle->curl);
	curl_easy_getinfo(handle->curl, CURLINFO_RESPONSE_CODE, &value);
	answer->status = (int)value;
	curl_easy_getinfo(handle->curl, CURLINFO_NUM_CONNECTS, &value);
	answer->pooled = value == 0;
	curl_easy_getinfo(handle->curl, CURLINFO_REQUEST_SIZE, &value);
	answer->bytes_out = (uint64_t)value;
	curl_easy_getinfo(handle->curl, CURLINFO_HEADER_SIZE, &value);
	curl_easy_getinfo(handle->curl, CURLINFO_SIZE_DOWNLOAD_T, &bytes);
	answer->bytes_in = (uint64_t)value + (uint64_t)bytes;
	answer->outcome = classify(handle, code);
	answer->leaving = handle->upstream_leaving ||
	    (answer->status == 503 && handle->connection_close);
	if (answer->outcome != LK_HTTP_COMPLETE) {
		free(answer->body);
		answer->body = NULL;
		answer->body_bytes = 0;
	}
	handle->last_used_ms = cw_clock_mono_ms();
	/* After a failure neither the handle nor its connection is reused. */
	if (code == CURLE_OK)
		pool_put(pool, handle, idle_max);
	else
		handle_destroy(handle);
	return CW_OK;
}

/* Creates a client without connections. Returns CW_ENOMEM. */
int
lk_http_client_create(struct lk_http_client **out)
{
	struct lk_http_client *client = calloc(1, sizeof(*client));

	if (client == NULL || curl_global_init(CURL_GLOBAL_DEFAULT) != 0) {
		free(client);
		return cw_error_set(
		    CW_ENOMEM, "out of memory while creating the HTTP client");
	}
	*out = client;
	return CW_OK;
}

/* Closes all connections and frees the client; no call may be in flight. */
void
lk_http_client_destroy(struct lk_http_client *client)
{
	uint32_t i;

	lk_http_client_close_idle(client, INT64_MAX, 0);
	for (i = 0; i < LK_HTTP_POOLS; i++)
		free(atomic_load(&client->pools[i]));
	free(client);
	curl_global_cleanup();
}

/* Returns the callback that makes calls with this client. */
struct lk_http_caller
lk_http_client_caller(struct lk_http_client *client)
{
	struct lk_http_caller caller = {client_call, client};

	return caller;
}

/* Closes pooled connections that were idle for at least idle_ms and returns
 * their number. now_ms is monotonic time. */
uint32_t
lk_http_client_close_idle(
    struct lk_http_client *client, int64_t now_ms, int64_t idle_ms)
{
	uint32_t closed = 0;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < LK_HTTP_POOLS; i++) {
		struct pool *pool = atomic_load(&client->pools[i]);

		for (k = 0; pool != NULL && k < LK_HTTP_IDLE_MAX; k++) {
			struct handle *handle =
			    atomic_exchange(&pool->idle[k], NULL);
			struct handle *empty = NULL;

			if (handle == NULL)
				continue;
			if (now_ms - handle->last_used_ms < idle_ms &&
			    atomic_compare_exchange_strong(
				&pool->idle[k], &empty, handle))
				continue;
			handle_destroy(handle);
			closed++;
		}
	}
	return closed;
}
