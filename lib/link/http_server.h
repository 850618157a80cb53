#ifndef CAMPHOR_LINK_HTTP_SERVER_H
#define CAMPHOR_LINK_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * 1. Requests and responses. Strings and the body of a request are valid until
 * the handler returns. Header names are case-insensitive.
 */
enum lk_http_server_status {
	LK_ESERVER = CW_BASE_LINK - 50, /* cannot listen, or cannot serve TLS */
};

#define LK_HTTP_HEADERS_MAX 12
#define LK_HTTP_HEADER_NAME_BYTES 40
#define LK_HTTP_HEADER_VALUE_BYTES 128

struct lk_http_request {
	const char *method;
	const char *path;   /* decoded, with "." and ".." resolved */
	const char *query;  /* "" if there is none */
	const char *remote; /* IP address of the client */
	const void *body;
	size_t body_bytes;
	bool is_tls;
	const void *impl; /* struct mg_connection */
};

struct lk_http_response {
	int status;
	const char *content_type;   /* application/json unless set */
	char content_type_copy[64]; /* set by lk_http_response_type_set */
	bool close; /* close the connection after the response */
	uint32_t header_count;
	struct {
		char name[LK_HTTP_HEADER_NAME_BYTES];
		char value[LK_HTTP_HEADER_VALUE_BYTES];
	} headers[LK_HTTP_HEADERS_MAX];
	void *body;
	size_t body_bytes;
	void (*body_free)(void *body); /* NULL: body is static */
};

const char *lk_http_request_header(
    const struct lk_http_request *request, const char *name);
bool lk_http_request_query(const struct lk_http_request *request,
    const char *name, char *value, size_t value_bytes);

void lk_http_response_header_add(
    struct lk_http_response *response, const char *name, const char *value);
void lk_http_response_type_set(
    struct lk_http_response *response, const char *content_type);
int lk_http_response_copy(struct lk_http_response *response, int status,
    const void *body, size_t bytes);
void lk_http_response_take(struct lk_http_response *response, int status,
    void *body, size_t bytes, void (*body_free)(void *body));
void lk_http_response_static(
    struct lk_http_response *response, int status, const char *text);

/*
 * 2. Server. A route serves one method (NULL: every method) and every path that
 * starts with its prefix; the longest prefix wins. Handlers run concurrently on
 * the server's threads.
 */
struct lk_http_route {
	const char *method;
	const char *prefix;
	size_t body_bytes_max; /* longer bodies are refused with 413 */
	void (*handle)(void *ctx, const struct lk_http_request *request,
	    struct lk_http_response *response);
	void *ctx;
};

struct lk_http_server_config {
	const char *address;         /* "ip:port"; port 0 picks a free one */
	const char *tls_certificate; /* PEM file, NULL or "": no TLS */
	/* Each serves one connection at a time. One thread in eight, and at
	 * least one, is not occupied by idle keep-alive connections, so that
	 * these do not block others. */
	uint32_t threads;
	uint32_t queue;              /* connections waiting for a thread */
	uint32_t header_bytes_max;   /* of a request */
	uint32_t request_timeout_ms; /* to receive a request */
	uint32_t idle_timeout_ms;    /* of a keep-alive connection */
	const struct lk_http_route *routes; /* copied */
	size_t route_count;
};

#define LK_HTTP_ROUTES_MAX 48

struct lk_http_server;

void lk_http_server_config_default(struct lk_http_server_config *config);
int lk_http_server_start(
    struct lk_http_server **out, const struct lk_http_server_config *config);
uint16_t lk_http_server_port(const struct lk_http_server *server);
void lk_http_server_drain(struct lk_http_server *server);
void lk_http_server_stop(struct lk_http_server *server);

#ifdef __cplusplus
}
#endif

#endif
