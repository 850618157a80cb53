#include <stdlib.h>
#include <string.h>

#include "daemon.h"

#define ASYNC_THREADS 8
#define ASYNC_QUEUE_MAX 256
/* Longest wait of a GET for the VM that owns the answer. */
#define FETCH_TIMEOUT_MS 3000

/* An answer that is being fetched from the VM that owns it. */
struct fetch {
	struct bd_board *board;
	pthread_mutex_t lock;
	pthread_cond_t done;
	int status;
	bool ended;
	bool abandoned; /* after a timeout: the callback frees this */
	uint32_t http_status;
	void *data;
	size_t bytes;
};

static struct fetch *fetch_new(void);
static void fetch_free(struct fetch *fetch);
static void fetch_done(void *ctx, int status, uint32_t http_status,
    const void *data, size_t bytes);
static int fetch_answer(
    void *ctx, uint64_t owner, uint64_t request, struct rt_answer *out);

static struct fetch *
fetch_new(void)
{
	struct fetch *fetch = calloc(1, sizeof(*fetch));
	pthread_condattr_t attr;

	if (fetch == NULL)
		return NULL;
	pthread_mutex_init(&fetch->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&fetch->done, &attr);
	pthread_condattr_destroy(&attr);
	return fetch;
}

static void
fetch_free(struct fetch *fetch)
{
	pthread_cond_destroy(&fetch->done);
	pthread_mutex_destroy(&fetch->lock);
	free(fetch->data);
	free(fetch);
}

/* Completes a fetch; called by the fleet with its own lock held. */
static void
fetch_done(
    void *ctx, int status, uint32_t http_status, const void *data, size_t bytes)
{
	struct fetch *fetch = ctx;
	bool abandoned;

	pthread_mutex_lock(&fetch->lock);
	fetch->status = status;
	fetch->http_status = http_status;
	if (status == CW_OK) {
		fetch->data = malloc(bytes + 1);
		fetch->bytes = bytes;
		if (fetch->data == NULL)
			fetch->status = FL_ENOMEM;
		else
			memcpy(fetch->data, data, bytes);
	}
	fetch->ended = true;
	abandoned = fetch->abandoned;
	pthread_cond_signal(&fetch->done);
	pthread_mutex_unlock(&fetch->lock);
	if (abandoned)
		fetch_free(fetch);
}

/* Fetches the answer to a request from its owner. Returns RT_ENOTFOUND if the
 * owner does not have it, or RT_EPEER on failure or timeout. */
static int
fetch_answer(void *ctx, uint64_t owner, uint64_t request, struct rt_answer *out)
{
	struct daemon *daemon = ctx;
	struct fetch *fetch = fetch_new();
	struct fl_result_done done = {fetch_done, fetch};
	struct timespec until;
	int code;

	if (fetch == NULL)
		return RT_EPEER;
	if (cw_is_error(fl_result_get(
		daemon->fleet, owner, request, &done, cw_clock_mono_ms()))) {
		fetch_free(fetch);
		return RT_EPEER;
	}
	cw_clock_deadline(FETCH_TIMEOUT_MS, &until);
	pthread_mutex_lock(&fetch->lock);
	while (!fetch->ended)
		if (pthread_cond_timedwait(
			&fetch->done, &fetch->lock, &until) != 0)
			break;
	fetch->abandoned = !fetch->ended;
	if (fetch->abandoned) {
		pthread_mutex_unlock(&fetch->lock);
		return RT_EPEER;
	}
	pthread_mutex_unlock(&fetch->lock);
	code = RT_EPEER;
	if (fetch->status == FL_ENOTFOUND)
		code = RT_ENOTFOUND;
	if (fetch->status == CW_OK)
		code = fr_proxy_result_decode(owner, request,
		    fetch->http_status, fetch->data, fetch->bytes, out);
	fetch_free(fetch);
	return code;
}

/* Creates the router, the HTTP client for upstreams and the proxy. */
int
wire_requests(struct daemon *daemon)
{
	struct fr_proxy_config config = {
	    .board = daemon->board,
	    .sink = daemon->sink,
	    .peer = {fetch_answer, daemon},
	    .self = daemon->self,
	    .async_threads = ASYNC_THREADS,
	    .async_queue = ASYNC_QUEUE_MAX,
	};
	struct rt_settings settings;
	int code;

	rt_settings_default(&settings);
	settings.self = daemon->self;
	settings.zone = cw_id_from_name(daemon->settings.zone);
	settings.region = cw_id_from_name(daemon->settings.region);
	code = rt_create(&daemon->route, daemon->board, &settings);
	if (code == CW_OK)
		code = lk_http_client_create(&daemon->upstream_client);
	if (code != CW_OK)
		return code;
	config.route = daemon->route;
	config.upstream = lk_http_client_caller(daemon->upstream_client);
	return fr_proxy_create(&daemon->proxy, &config);
}
