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
 * 1. One call. lk_http_outcome says how far the request and its answer came.
 */
enum lk_http_outcome {
	LK_HTTP_WHOLE,       /* the whole answer, with any status */
	LK_HTTP_NOT_STARTED, /* no byte of the request left */
	LK_HTTP_LOST,        /* connection ended before a byte of the answer */
	LK_HTTP_TRUNCATED,   /* connection ended within the answer */
	LK_HTTP_TIMEOUT,     /* time ran out after the request had left */
	LK_HTTP_TOO_LARGE,   /* the answer passes answer_bytes_max */
	LK_HTTP_OUTCOME_COUNT,
};

const char *lk_http_outcome_name(enum lk_http_outcome outcome);

#define LK_HTTP_CALL_HEADERS_MAX 8
#define LK_HTTP_TYPE_BYTES 64

struct lk_http_call {
	uint32_t pool;              /* index of the runner; its connections */
	uint32_t idle_max;          /* connections kept for the runner */
	const char *address;        /* "ip:port" */
	const char *path;           /* starts with "/" */
	const char *const *headers; /* "Name: value" */
	size_t header_count;
	const void *body;
	size_t body_bytes;
	size_t answer_bytes_max;
	uint32_t connect_timeout_ms;
	uint32_t timeout_ms; /* of the whole call, at least 1 */
	bool fresh;          /* use no kept connection */
};

struct lk_http_answer {
	enum lk_http_outcome outcome;
	int status;
	bool pooled;            /* went over a kept connection */
	bool leaving;           /* X-Upstream-Leaving: 1, or 503 with a close */
	int32_t retry_after_ms; /* -1: none */
	char content_type[LK_HTTP_TYPE_BYTES];
	void *body; /* the caller frees it; NULL unless outcome is WHOLE */
	size_t body_bytes;
	uint64_t bytes_out;
	uint64_t bytes_in;
};

/* Makes one call; the proxy reaches upstreams through this. Returns CW_OK and
 * fills in the answer, or CW_ENOMEM with nothing sent. */
struct lk_http_caller {
	int (*call)(void *ctx, const struct lk_http_call *call,
	    struct lk_http_answer *answer);
	void *ctx;
};

/*
 * 2. Client. Any thread may call; connections are pooled by runner and a
 * thread finds the one that it used last first.
 */
#define LK_HTTP_POOLS 4096
#define LK_HTTP_IDLE_MAX 64

struct lk_http_client;

int lk_http_client_create(struct lk_http_client **out);
void lk_http_client_destroy(struct lk_http_client *client);
struct lk_http_caller lk_http_client_caller(struct lk_http_client *client);
uint32_t lk_http_client_sweep(
    struct lk_http_client *client, int64_t now_ms, int64_t idle_ms);

#ifdef __cplusplus
}
#endif

#endif
