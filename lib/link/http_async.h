#ifndef CAMPHOR_LINK_HTTP_ASYNC_H
#define CAMPHOR_LINK_HTTP_ASYNC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "http_client.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * 1. Calls. One thread serves all calls, so that a long poll occupies a
 * connection and no thread.
 */
struct lk_async;

#define LK_ASYNC_CALL_MAX_MS 60000

struct lk_async_answer {
	enum lk_http_outcome outcome;
	bool refused; /* ECONNREFUSED, and no part of the request was sent */
	int status;   /* HTTP status, 0 without an answer */
	const void *body;
	size_t body_bytes;
	int64_t sent_ms; /* monotonic time at which the call was submitted */
	int64_t now_ms;  /* monotonic time of the answer */
};

/* lk_async_submit copies the strings and the body. done runs on the client's
 * thread and must not block; the answer is valid until it returns. */
struct lk_async_call {
	const char *address;        /* "ip:port" */
	const char *path;           /* with the query string */
	const char *const *headers; /* "Name: value" */
	size_t header_count;
	bool post; /* GET otherwise */
	const void *body;
	size_t body_bytes;
	uint32_t timeout_ms; /* for the whole answer, see stall_ms */
	/* 0, or the longest pause between two parts of the answer. timeout_ms
	 * is then the time until its first part; the whole answer may take up
	 * to LK_ASYNC_CALL_MAX_MS. For answers whose size and link are unknown.
	 */
	uint32_t stall_ms;
	bool new_connection;     /* for a call after one without an answer */
	bool last_on_connection; /* its connection is closed afterwards */
	void (*done)(void *ctx, const struct lk_async_answer *answer);
	void *ctx;
};

int lk_async_submit(struct lk_async *async, const struct lk_async_call *call);

int lk_async_schedule(struct lk_async *async, uint32_t delay_ms,
    void (*run)(void *ctx, int64_t now_ms), void *ctx);

/*
 * 2. Start and stop. lk_async_stop aborts the calls in flight, whose done is
 * called with an outcome other than LK_HTTP_COMPLETE. Later submissions fail.
 */
int lk_async_start(struct lk_async **out, uint32_t connections_max);
void lk_async_stop(struct lk_async *async);
/* Number of connections opened since the start. */
uint64_t lk_async_connections(const struct lk_async *async);

#ifdef __cplusplus
}
#endif

#endif
