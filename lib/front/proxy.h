#ifndef CAMPHOR_FRONT_PROXY_H
#define CAMPHOR_FRONT_PROXY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "board.h"
#include "http_client.h"
#include "http_server.h"
#include "route.h"
#include "state.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * 1. One request of a caller, independent of HTTP. Strings and body must stay
 * valid during the call.
 */
struct fr_proxy_request {
	uint64_t account;
	const char *service;
	const char *key;          /* Idempotency-Key header, NULL: none */
	const char *class_name;   /* NULL: the service's default */
	const char *content_type; /* NULL: application/octet-stream */
	bool non_idempotent;      /* implied by a key */
	bool respond_async;
	int64_t deadline_ms; /* from arrival, 0: the service's timeout */
	const void *body;
	size_t body_bytes;
};

struct fr_proxy_answer {
	int status;
	enum rt_ran ran;
	uint32_t retry_after_ms; /* with RT_RAN_NOT */
	bool is_error;           /* text holds the message, body is NULL */
	bool repeated;           /* stored answer of an earlier request */
	const char *text;
	const char *state; /* "in_progress", "owner_lost" or NULL */
	char id[RT_ID_BYTES];
	char content_type[RT_CONTENT_TYPE_BYTES];
	void *body; /* malloc'd; the caller frees it */
	size_t body_bytes;
};

struct fr_proxy_config {
	struct bd_board *board;
	struct rt_router *route;
	struct lk_http_caller upstream;
	struct st_sink sink;
	struct rt_answer_source peer; /* fetch NULL: no peer VMs */
	uint64_t self;                /* incarnation of this VM */
	uint32_t async_threads;       /* 0: default */
	uint32_t async_queue;         /* waiting requests, 0: default */
};

struct fr_proxy;

int fr_proxy_create(
    struct fr_proxy **out, const struct fr_proxy_config *config);
void fr_proxy_destroy(struct fr_proxy *proxy);
void fr_proxy_run(struct fr_proxy *proxy,
    const struct fr_proxy_request *request, struct fr_proxy_answer *answer);
void fr_proxy_fetch(struct fr_proxy *proxy, uint64_t account, const char *id,
    struct fr_proxy_answer *answer);

/* Encoding of stored answers that one entry VM fetches from another. */
int fr_proxy_result_encode(struct rt_router *route, uint64_t request,
    uint32_t *http_status, void *buffer, size_t bytes_max, size_t *bytes);
int fr_proxy_result_decode(uint64_t owner, uint64_t request,
    uint32_t http_status, const void *data, size_t bytes,
    struct rt_answer *out);

/*
 * 2. HTTP handlers for struct lk_http_route, with the proxy as context.
 */
#define FR_PROXY_SERVICES_PATH "/v1/services/"
#define FR_PROXY_REQUESTS_PATH "/v1/requests/"
#define FR_PROXY_BODY_BYTES_MAX (64 * 1000 * 1000)

void fr_proxy_handle_post(void *ctx, const struct lk_http_request *request,
    struct lk_http_response *response);
void fr_proxy_handle_get(void *ctx, const struct lk_http_request *request,
    struct lk_http_response *response);
const struct bd_board *fr_proxy_board(const struct fr_proxy *proxy);

#ifdef __cplusplus
}
#endif

#endif
