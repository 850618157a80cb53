#include <assert.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <civetweb.h>

#include "http_server.h"

/* Bodies up to this size are sent with the header in one write, which saves a
 * packet. */
#define SINGLE_WRITE_BYTES_MAX 8192
#define HEAD_BYTES 2560
/* "[ip]:port" at its longest has 53 characters. */
#define ADDRESS_BYTES 56
/* One thread in this many, and at least one, is reserved: keep-alive
 * connections cannot occupy it. */
#define KEEPALIVE_RESERVE_DIVISOR 8

struct lk_http_server {
	struct mg_context *context;
	struct lk_http_route routes[LK_HTTP_ROUTES_MAX];
	size_t route_count;
	uint16_t port;
	atomic_bool draining;
	uint32_t keepalive_max;
	atomic_uint connections; /* being served by a thread */
};

static int on_connection(
    const struct mg_connection *connection, void **connection_data);
static void on_close(const struct mg_connection *connection);
static int on_request(struct mg_connection *connection);
static int on_error(
    struct mg_connection *connection, int status, const char *message);
static int on_log_message(
    const struct mg_connection *connection, const char *message);
static const struct lk_http_route *find_route(
    const struct lk_http_server *server, const char *method, const char *path,
    bool *path_known);
static int read_body(struct mg_connection *connection,
    const struct mg_request_info *info, size_t bytes_max, void **out,
    size_t *out_bytes);
static size_t format_head(struct mg_connection *connection,
    const struct lk_http_response *response, char *head);
static void write_response(struct mg_connection *connection,
    const struct lk_http_server *server, struct lk_http_response *response);
static void send_error(struct mg_connection *connection,
    const struct lk_http_server *server, int status, const char *text);

static int
on_connection(const struct mg_connection *connection, void **connection_data)
{
	struct lk_http_server *server =
	    mg_get_user_data(mg_get_context(connection));

	*connection_data = server;
	atomic_fetch_add_explicit(
	    &server->connections, 1, memory_order_relaxed);
	return 0;
}

/* CivetWeb also calls this for a connection whose TLS handshake failed, for
 * which on_connection was not called. The later callback connection_closed
 * cannot be used, because the connection's user data is cleared before it. */
static void
on_close(const struct mg_connection *connection)
{
	struct lk_http_server *server = mg_get_user_connection_data(connection);

	if (server == NULL)
		return;
	atomic_fetch_sub_explicit(
	    &server->connections, 1, memory_order_relaxed);
}

/* Replaces CivetWeb's error page for a request that reached no handler. */
static int
on_error(struct mg_connection *connection, int status, const char *message)
{
	(void)message;
	send_error(connection, mg_get_user_context_data(connection), status,
	    "{\"error\":\"request cannot be read\",\"ran\":\"not run\","
	    "\"retry_after_ms\":0}");
	return 0;
}

/* Suppresses CivetWeb's log messages, which have no event number; the counters
 * of the HTTP front end cover the same failures. */
static int
on_log_message(const struct mg_connection *connection, const char *message)
{
	(void)connection;
	(void)message;
	return 1;
}

/* Returns the route with the longest prefix of the path, NULL if none serves
 * the method. *path_known is set if a route for any method has a prefix of the
 * path. */
static const struct lk_http_route *
find_route(const struct lk_http_server *server, const char *method,
    const char *path, bool *path_known)
{
	const struct lk_http_route *best = NULL;
	size_t best_length = 0;
	size_t i;

	*path_known = false;
	for (i = 0; i < server->route_count; i++) {
		const struct lk_http_route *route = &server->routes[i];
		size_t length = strlen(route->prefix);

		if (strncmp(path, route->prefix, length) != 0)
			continue;
		*path_known = true;
		if ((route->method == NULL ||
			strcmp(method, route->method) == 0) &&
		    (best == NULL || length > best_length)) {
			best = route;
			best_length = length;
		}
	}
	return best;
}

/*
 * Reads the body into *out, which the caller frees. Returns 0 or an HTTP
 * status: 400 if the body is shorter than its Content-Length, 413 if it is too
 * long, 500 if out of memory.
 */
static int
read_body(struct mg_connection *connection, const struct mg_request_info *info,
    size_t bytes_max, void **out, size_t *out_bytes)
{
	bool chunked = mg_get_header(connection, "Transfer-Encoding") != NULL;
	size_t content_length = info->content_length > 0 && !chunked
	    ? (size_t)info->content_length
	    : 0;
	size_t capacity = chunked ? bytes_max + 1 : content_length;
	size_t received = 0;
	char *body;
	int n;

	*out = NULL;
	*out_bytes = 0;
	if (content_length > bytes_max)
		return 413;
	if (capacity == 0)
		return 0;
	body = malloc(capacity + 1);
	if (body == NULL)
		return 500;
	while (received < capacity &&
	    (n = mg_read(connection, body + received, capacity - received)) > 0)
		received += (size_t)n;
	if (received > bytes_max || received < content_length) {
		free(body);
		return received > bytes_max ? 413 : 400;
	}
	*out = body;
	*out_bytes = received;
	return 0;
}

/* Formats status line and headers; returns their length, below HEAD_BYTES. */
static size_t
format_head(struct mg_connection *connection,
    const struct lk_http_response *response, char *head)
{
	size_t length;
	uint32_t i;

	length = (size_t)snprintf(head, HEAD_BYTES,
	    "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n"
	    "Connection: %s\r\n",
	    response->status,
	    mg_get_response_code_text(connection, response->status),
	    response->content_type != NULL ? response->content_type
					   : "application/json",
	    response->body_bytes, response->close ? "close" : "keep-alive");
	for (i = 0; i < response->header_count; i++)
		length += (size_t)snprintf(head + length, HEAD_BYTES - length,
		    "%s: %s\r\n", response->headers[i].name,
		    response->headers[i].value);
	length += (size_t)snprintf(head + length, HEAD_BYTES - length, "\r\n");
	assert(length < HEAD_BYTES);
	return length;
}

static void
write_response(struct mg_connection *connection,
    const struct lk_http_server *server, struct lk_http_response *response)
{
	char buffer[HEAD_BYTES + SINGLE_WRITE_BYTES_MAX];
	size_t head_bytes;

	/* CivetWeb does not report whether connections wait for a thread, and
	 * its idle connections cannot be closed, so some threads are kept free
	 * of them. */
	if (atomic_load_explicit(&((struct lk_http_server *)server)->draining,
		memory_order_relaxed) ||
	    atomic_load_explicit(
		&((struct lk_http_server *)server)->connections,
		memory_order_relaxed) > server->keepalive_max)
		response->close = true;
	/* CivetWeb does not see this header and would wait for another request
	 * after "Connection: close". */
	if (response->close)
		mg_disable_connection_keep_alive(connection);
	head_bytes = format_head(connection, response, buffer);
	if (response->body_bytes <= SINGLE_WRITE_BYTES_MAX) {
		if (response->body_bytes > 0)
			memcpy(buffer + head_bytes, response->body,
			    response->body_bytes);
		mg_write(connection, buffer, head_bytes + response->body_bytes);
	} else {
		mg_write(connection, buffer, head_bytes);
		mg_write(connection, response->body, response->body_bytes);
	}
	if (response->body_free != NULL)
		response->body_free(response->body);
	response->body_free = NULL;
}

static void
send_error(struct mg_connection *connection,
    const struct lk_http_server *server, int status, const char *text)
{
	struct lk_http_response response = {0};

	/* The rest of the request may be unread, so the connection cannot be
	 * reused. */
	response.close = true;
	lk_http_response_static(&response, status, text);
	write_response(connection, server, &response);
}

static int
on_request(struct mg_connection *connection)
{
	const struct mg_request_info *info = mg_get_request_info(connection);
	const struct lk_http_server *server = info->user_data;
	struct lk_http_response response = {0};
	struct lk_http_request request = {0};
	const struct lk_http_route *route;
	const char *connection_header;
	bool path_known;
	void *body;
	int status;

	if (info->local_uri == NULL)
		return 0;
	route = find_route(
	    server, info->request_method, info->local_uri, &path_known);
	if (route == NULL) {
		status = path_known ? 405 : 404;
		send_error(connection, server, status,
		    path_known
			? "{\"error\":\"method is not allowed here\","
			  "\"ran\":\"not run\",\"retry_after_ms\":0}"
			: "{\"error\":\"no such path\",\"ran\":\"not run\","
			  "\"retry_after_ms\":0}");
		return status;
	}
	status = read_body(connection, info, route->body_bytes_max, &body,
	    &request.body_bytes);
	if (status != 0) {
		send_error(connection, server, status,
		    "{\"error\":\"body is incomplete or too long\","
		    "\"ran\":\"not run\",\"retry_after_ms\":0}");
		return status;
	}
	request.method = info->request_method;
	request.path = info->local_uri;
	request.query = info->query_string != NULL ? info->query_string : "";
	request.remote = info->remote_addr;
	request.body = body;
	request.is_tls = info->is_ssl != 0;
	request.impl = connection;
	response.status = 500;
	connection_header = mg_get_header(connection, "Connection");
	response.close = (connection_header != NULL &&
			     strcasecmp(connection_header, "close") == 0) ||
	    strcmp(info->http_version, "1.0") == 0;
	route->handle(route->ctx, &request, &response);
	free(body);
	status = response.status;
	write_response(connection, server, &response);
	return status;
}

/* Returns the value of a request's header, NULL if it is missing. */
const char *
lk_http_request_header(const struct lk_http_request *request, const char *name)
{
	return mg_get_header(request->impl, name);
}

/* Copies the decoded value of a query parameter. Returns false if it is missing
 * or does not fit. */
bool
lk_http_request_query(const struct lk_http_request *request, const char *name,
    char *value, size_t value_bytes)
{
	return mg_get_var(request->query, strlen(request->query), name, value,
		   value_bytes) >= 0;
}

/*
 * Starts a server. It accepts at most threads + queue connections; further ones
 * wait in the socket's backlog. Returns CW_ENOMEM, or LK_ESERVER if the address
 * or the certificate cannot be used.
 */
int
lk_http_server_start(
    struct lk_http_server **out, const struct lk_http_server_config *config)
{
	static const struct mg_callbacks callbacks = {
	    .begin_request = on_request,
	    .http_error = on_error,
	    .log_message = on_log_message,
	    .init_connection = on_connection,
	    .connection_close = on_close,
	};
	bool tls =
	    config->tls_certificate != NULL && *config->tls_certificate != '\0';
	struct lk_http_server *server = calloc(1, sizeof(*server));
	struct mg_server_port ports[2] = {0};
	char port[ADDRESS_BYTES + 1]; /* "s" follows for TLS */
	char numbers[5][12];
	const char *options[32] = {"listening_ports", port, "num_threads",
	    numbers[0], "connection_queue", numbers[1], "max_request_size",
	    numbers[2], "request_timeout_ms", numbers[3],
	    "keep_alive_timeout_ms", numbers[4], "enable_keep_alive", "yes",
	    "tcp_nodelay", "1", "decode_url", "yes", NULL};

	assert(config->route_count <= LK_HTTP_ROUTES_MAX);
	if (strlen(config->address) >= ADDRESS_BYTES) {
		free(server);
		return cw_error_set(LK_ESERVER,
		    "address %.64s is longer than ip:port can be",
		    config->address);
	}
	if (server == NULL)
		return cw_error_set(
		    CW_ENOMEM, "out of memory while starting the HTTP server");
	if (config->route_count > 0)
		memcpy(server->routes, config->routes,
		    config->route_count * sizeof(*config->routes));
	server->route_count = config->route_count;
	server->keepalive_max = config->threads -
	    (config->threads < KEEPALIVE_RESERVE_DIVISOR
		    ? 1
		    : config->threads / KEEPALIVE_RESERVE_DIVISOR);
	snprintf(port, sizeof(port), "%s%s", config->address, tls ? "s" : "");
	snprintf(numbers[0], sizeof(numbers[0]), "%u", config->threads);
	snprintf(numbers[1], sizeof(numbers[1]), "%u", config->queue);
	snprintf(
	    numbers[2], sizeof(numbers[2]), "%u", config->header_bytes_max);
	snprintf(
	    numbers[3], sizeof(numbers[3]), "%u", config->request_timeout_ms);
	snprintf(numbers[4], sizeof(numbers[4]), "%u", config->idle_timeout_ms);
	if (tls) {
		options[18] = "ssl_certificate";
		options[19] = config->tls_certificate;
		/* Reloads a replaced certificate at the next connection. */
		options[20] = "ssl_short_trust";
		options[21] = "yes";
	}
	/* Debian 12's CivetWeb does not find TLS in OpenSSL 3, starts without
	 * it and crashes at the first connection. */
	if (tls && (mg_init_library(MG_FEATURES_TLS) & MG_FEATURES_TLS) == 0) {
		free(server);
		return cw_error_set(LK_ESERVER,
		    "tls_certificate is set, but the installed CivetWeb cannot "
		    "serve TLS with the installed OpenSSL; terminate TLS at "
		    "the load balancer and remove the setting");
	}
	if (!tls)
		mg_init_library(MG_FEATURES_DEFAULT);
	server->context = mg_start(&callbacks, server, options);
	if (server->context == NULL) {
		free(server);
		mg_exit_library();
		return cw_error_set(
		    LK_ESERVER, "cannot listen on %s", config->address);
	}
	mg_get_server_ports(server->context, 2, ports);
	server->port = (uint16_t)ports[0].port;
	*out = server;
	return CW_OK;
}

/* Returns the port that the server listens on, also for a configured 0. */
uint16_t
lk_http_server_port(const struct lk_http_server *server)
{
	return server->port;
}

/* Closes every connection after its next response from now on. */
void
lk_http_server_drain(struct lk_http_server *server)
{
	atomic_store(&server->draining, true);
}

/* Stops listening, waits for running handlers, and frees the server. */
void
lk_http_server_stop(struct lk_http_server *server)
{
	mg_stop(server->context);
	mg_exit_library();
	free(server);
}
