#ifndef CAMPHOR_LINK_HTTP_TRANSFER_H
#define CAMPHOR_LINK_HTTP_TRANSFER_H

#include <poll.h>
#include <stdbool.h>
#include <stdint.h>

#include <curl/curl.h>

/* A transfer to a numeric address uses one socket; name resolution and several
 * addresses of a name may use more. */
#define LK_WATCHED_MAX 4

/* Runs one transfer at a time and keeps at most one idle connection. */
struct lk_transfer {
	CURLM *multi;
	struct pollfd watched[LK_WATCHED_MAX];
	nfds_t watched_count;
	int64_t due_ms; /* of libcurl's timer, -1: none */
};

bool lk_transfer_init(struct lk_transfer *transfer);
CURLcode lk_transfer_run(struct lk_transfer *transfer, CURL *curl);

#endif
