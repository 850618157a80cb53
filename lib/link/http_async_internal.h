#ifndef CAMPHOR_HTTP_ASYNC_INTERNAL_H
#define CAMPHOR_HTTP_ASYNC_INTERNAL_H

#include <stdatomic.h>

#include <curl/curl.h>

#include "http_async.h"

#define LK_OPERATION_URL_BYTES 1024

/* One call or one timer, from its submission until its callback returns. */
struct lk_operation {
	struct lk_operation *next;
	struct lk_operation *previous; /* in the list of active calls */
	CURL *curl;                    /* NULL until the call is started */
	struct curl_slist *headers;
	char url[LK_OPERATION_URL_BYTES];
	char *body;
	size_t body_bytes;
	char *answer;
	size_t answer_bytes;
	size_t answer_capacity;
	int64_t sent_ms;
	int64_t due_ms; /* of a timer */
	uint32_t timeout_ms;
	uint32_t stall_ms;
	int64_t stall_due_ms; /* fails at this time unless data arrives */
	struct lk_operation *watched_next;
	bool post;
	bool new_connection;
	bool last_on_connection;
	uint32_t requests_issued;
	void (*done)(void *ctx, const struct lk_async_answer *answer);
	void (*run)(void *ctx, int64_t now_ms); /* of a timer, NULL: a call */
	void *ctx;
};

void lk_operation_set_options(
    struct lk_operation *operation, atomic_uint_least64_t *connections);
void lk_operation_free(struct lk_operation *operation);

#endif
