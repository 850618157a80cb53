#include <string.h>

#include "base.h"
#include "http_transfer.h"

/* Interval at which libcurl is called while it has no timer set. */
#define TIMER_CHECK_MS 100

static int on_socket(
    CURL *curl, curl_socket_t fd, int what, void *ctx, void *socket_data);
static int on_timer(CURLM *multi, long timeout_ms, void *ctx);

/* Maintains the set of sockets that libcurl waits for. */
static int
on_socket(CURL *curl, curl_socket_t fd, int what, void *ctx, void *socket_data)
{
	struct lk_transfer *transfer = ctx;
	nfds_t i = 0;

	(void)curl;
	(void)socket_data;
	while (i < transfer->watched_count && transfer->watched[i].fd != fd)
		i++;
	if (what == CURL_POLL_REMOVE) {
		if (i < transfer->watched_count)
			transfer->watched[i] =
			    transfer->watched[--transfer->watched_count];
		return 0;
	}
	if (i == LK_WATCHED_MAX)
		return -1;
	if (i == transfer->watched_count)
		transfer->watched_count++;
	transfer->watched[i].fd = fd;
	transfer->watched[i].events =
	    (short)(((what & CURL_POLL_IN) != 0 ? POLLIN : 0) |
		((what & CURL_POLL_OUT) != 0 ? POLLOUT : 0));
	return 0;
}

static int
on_timer(CURLM *multi, long timeout_ms, void *ctx)
{
	struct lk_transfer *transfer = ctx;

	(void)multi;
	/* Rounded up by 1 ms: libcurl ignores a call before the timer expires
	 * and does not set the timer again. */
	transfer->due_ms = timeout_ms < 0
	    ? -1
	    : cw_clock_mono_ms() + timeout_ms + (timeout_ms > 0);
	return 0;
}

/* Replaces curl_easy_perform with fewer system calls: libcurl is told which
 * socket is ready, so it polls neither before each read nor for its wakeup
 * socket. Returns the result of the transfer. */
CURLcode
lk_transfer_run(struct lk_transfer *transfer, CURL *curl)
{
	struct pollfd ready[LK_WATCHED_MAX];
	CURLcode code = CURLE_FAILED_INIT;
	const CURLMsg *message;
	int running = 1;
	int remaining;

	if (curl_multi_add_handle(transfer->multi, curl) != CURLM_OK)
		return code;
	curl_multi_socket_action(
	    transfer->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	while (running > 0) {
		nfds_t count = transfer->watched_count;
		int64_t wait_ms = TIMER_CHECK_MS;
		nfds_t i;
		int n;

		if (transfer->due_ms >= 0)
			wait_ms = transfer->due_ms - cw_clock_mono_ms();
		memcpy(ready, transfer->watched, sizeof(ready));
		n = poll(ready, count, wait_ms < 0 ? 0 : (int)wait_ms);
		if (n <= 0) {
			transfer->due_ms = -1;
			curl_multi_socket_action(
			    transfer->multi, CURL_SOCKET_TIMEOUT, 0, &running);
			continue;
		}
		for (i = 0; i < count && running > 0; i++) {
			int mask =
			    ((ready[i].revents & POLLIN) != 0 ? CURL_CSELECT_IN
							      : 0) |
			    ((ready[i].revents & POLLOUT) != 0
				    ? CURL_CSELECT_OUT
				    : 0) |
			    ((ready[i].revents & (POLLERR | POLLHUP)) != 0
				    ? CURL_CSELECT_ERR
				    : 0);

			if (mask != 0)
				curl_multi_socket_action(transfer->multi,
				    ready[i].fd, mask, &running);
		}
	}
	message = curl_multi_info_read(transfer->multi, &remaining);
	if (message != NULL)
		code = message->data.result;
	curl_multi_remove_handle(transfer->multi, curl);
	return code;
}

/* Creates the multi handle of a zeroed transfer; the caller frees it with
 * curl_multi_cleanup. Returns false if out of memory. */
bool
lk_transfer_init(struct lk_transfer *transfer)
{
	transfer->due_ms = -1;
	transfer->multi = curl_multi_init();
	if (transfer->multi == NULL)
		return false;
	curl_multi_setopt(transfer->multi, CURLMOPT_MAXCONNECTS, 1L);
	curl_multi_setopt(transfer->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(transfer->multi, CURLMOPT_SOCKETDATA, transfer);
	curl_multi_setopt(transfer->multi, CURLMOPT_TIMERFUNCTION, on_timer);
	curl_multi_setopt(transfer->multi, CURLMOPT_TIMERDATA, transfer);
	return true;
}
