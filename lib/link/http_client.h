#ifndef CAMPHOR_LINK_HTTP_CLIENT_H
#define CAMPHOR_LINK_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * 1. Calls. The outcome tells whether the upstream may have received the
 * request and how much of the answer arrived.
 */
enum lk_http_outcome {
	LK_HTTP_COMPLETE,    /* complete answer, with any status */
	LK_HTTP_NOT_STARTED, /* no byte of the request was sent */
	LK_HTTP_LOST,        /* sent, connection ended before any answer */
	LK_HTTP_TRUNCATED,   /* connection ended within the answer */
	LK_HTTP_TIMEOUT,     /* timed out after the request was sent */
	LK_HTTP_TOO_LARGE,   /* answer exceeds answer_bytes_max */
	LK_HTTP_OUTCOME_COUNT,
};

const char *lk_http_outcome_name(enum lk_http_outcome outcome);

#define LK_HTTP_CALL_HEADERS_MAX 8
#define LK_HTTP_TYPE_BYTES 64

struct lk_http_call {
	uint32_t pool;              /* index of the upstream */
	uint32_t idle_max;          /* idle connections kept for the upstream */
	const char *address;        /* "ip:port" */
	const char *path;           /* starts with "/" */
	const char *const *headers; /* "Name: value" */
	size_t header_count;
	const void *body;
	size_t body_bytes;
	size_t answer_bytes_max;
	uint32_t connect_timeout_ms;
	uint32_t timeout_ms; /* total, including connect; at least 1 */
	bool new_connection; /* reuse no pooled connection */
};

struct lk_http_answer {
	enum lk_http_outcome outcome;
	int status;
	bool pooled;  /* used a pooled connection */
	bool leaving; /* X-Upstream-Leaving: 1, or 503 and Connection: close */
	int32_t retry_after_ms; /* of Retry-After, -1: none */
	char content_type[LK_HTTP_TYPE_BYTES];
	void *body; /* the caller frees it; NULL unless LK_HTTP_COMPLETE */
	size_t body_bytes;
	uint64_t bytes_out; /* headers, and a body that was sent with them */
	uint64_t bytes_in;  /* headers and body */
};

/* Makes one call; the proxy sends requests to upstreams through this. Returns
 * CW_OK and fills in the answer. Returns CW_ENOMEM, or CW_EINVAL if address and
 * path are too long, with nothing sent. */
struct lk_http_caller {
	int (*call)(void *ctx, const struct lk_http_call *call,
	    struct lk_http_answer *answer);
	void *ctx;
};

/*
 * 2. Client. Any thread may call. Idle connections are pooled by upstream, and
 * a thread first tries the one that it used last.
 */
#define LK_HTTP_POOLS 4096
#define LK_HTTP_IDLE_MAX 64

struct lk_http_client;

int lk_http_client_create(struct lk_http_client **out);
void lk_http_client_destroy(struct lk_http_client *client);
struct lk_http_caller lk_http_client_caller(struct lk_http_client *client);
uint32_t lk_http_client_close_idle(
    struct lk_http_client *client, int64_t now_ms, int64_t idle_ms);

#ifdef __cplusplus
}
#endif

#endif
