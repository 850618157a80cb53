#include <assert.h>
#include <errno.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <curl/curl.h>

#include "http_async_internal.h"

#define EVENTS_MAX 32
#define IDLE_HANDLES_MAX 64
/* A timer that runs later than this is logged: the thread was busy, or did not
 * get the processor. */
#define LATE_MS 500

struct lk_async {
	CURLM *multi;
	int epoll_fd;
	int wake_fd; /* eventfd */
	pthread_t thread;
	atomic_bool stop;
	atomic_uint_least64_t connections;
	pthread_mutex_t lock; /* protects submitted and submitted_last */
	struct lk_operation *submitted;
	struct lk_operation **submitted_last;
	struct lk_operation *active;
	struct lk_operation *timers;  /* sorted by due_ms */
	struct lk_operation *watched; /* active calls with stall_ms */
	CURL *idle[IDLE_HANDLES_MAX];
	uint32_t idle_count;
	int64_t curl_due_ms;  /* of libcurl's timer, -1: none */
	bool has_submissions; /* a callback on the thread has submitted */
};

static int on_socket(
    CURL *curl, curl_socket_t fd, int what, void *ctx, void *socket_data);
static int on_timer(CURLM *multi, long timeout_ms, void *ctx);
static int enqueue(struct lk_async *async, struct lk_operation *operation);
static void start_call(struct lk_async *async, struct lk_operation *operation);
static void remove_active(
    struct lk_async *async, struct lk_operation *operation);
static void finish_call(
    struct lk_async *async, struct lk_operation *operation, CURLcode code);
static void start_submitted(struct lk_async *async);
static void run_timers(struct lk_async *async);
static void unwatch(struct lk_async *async, struct lk_operation *operation);
static void fail_stalled(struct lk_async *async);
static void finish_completed(struct lk_async *async);
static int wait_timeout_ms(const struct lk_async *async);
static void *run_thread(void *arg);

/* libcurl callback: adds a socket to the epoll set, updates or removes it. */
static int
on_socket(CURL *curl, curl_socket_t fd, int what, void *ctx, void *socket_data)
{
	struct lk_async *async = ctx;
	struct epoll_event event = {0};

	(void)curl;
	event.data.fd = fd;
	if (what == CURL_POLL_REMOVE) {
		epoll_ctl(async->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
		return 0;
	}
	event.events = ((what & CURL_POLL_IN) != 0 ? EPOLLIN : 0U) |
	    ((what & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U);
	if (socket_data != NULL)
		return epoll_ctl(async->epoll_fd, EPOLL_CTL_MOD, fd, &event);
	curl_multi_assign(async->multi, fd, async);
	if (epoll_ctl(async->epoll_fd, EPOLL_CTL_ADD, fd, &event) == 0)
		return 0;
	return epoll_ctl(async->epoll_fd, EPOLL_CTL_MOD, fd, &event);
}

/* libcurl callback: sets or clears libcurl's timer. */
static int
on_timer(CURLM *multi, long timeout_ms, void *ctx)
{
	struct lk_async *async = ctx;

	(void)multi;
	async->curl_due_ms =
	    timeout_ms < 0 ? -1 : cw_clock_mono_ms() + timeout_ms;
	return 0;
}

/* Passes a call or a timer to the client's thread. Returns CW_EIO after
 * lk_async_stop, with the operation freed. */
static int
enqueue(struct lk_async *async, struct lk_operation *operation)
{
	uint64_t one = 1;
	bool refused;

	pthread_mutex_lock(&async->lock);
	refused = atomic_load(&async->stop);
	if (!refused) {
		*async->submitted_last = operation;
		async->submitted_last = &operation->next;
	}
	pthread_mutex_unlock(&async->lock);
	if (refused) {
		lk_operation_free(operation);
		return cw_error_set(CW_EIO, "the client has been stopped");
	}
	if (pthread_equal(pthread_self(), async->thread))
		async->has_submissions = true;
	else if (write(async->wake_fd, &one, sizeof(one)) < 0)
		ev_emit(EV_LINK_WAKE, "errno=%d", errno);
	return CW_OK;
}

static void
start_call(struct lk_async *async, struct lk_operation *operation)
{
	CURL *curl = async->idle_count > 0 ? async->idle[--async->idle_count]
					   : curl_easy_init();

	operation->curl = curl;
	if (curl == NULL) {
		finish_call(async, operation, CURLE_OUT_OF_MEMORY);
		return;
	}
	lk_operation_set_options(operation, &async->connections);
	operation->next = async->active;
	if (async->active != NULL)
		async->active->previous = operation;
	async->active = operation;
	if (operation->stall_ms > 0) {
		operation->stall_due_ms =
		    operation->sent_ms + operation->timeout_ms;
		operation->watched_next = async->watched;
		async->watched = operation;
	}
	if (curl_multi_add_handle(async->multi, curl) != CURLM_OK)
		finish_call(async, operation, CURLE_FAILED_INIT);
}

/* Takes a call off the active list, if it is there. */
static void
remove_active(struct lk_async *async, struct lk_operation *operation)
{
	if (async->active != operation && operation->previous == NULL)
		return;
	if (operation->previous != NULL)
		operation->previous->next = operation->next;
	else
		async->active = operation->next;
	if (operation->next != NULL)
		operation->next->previous = operation->previous;
	operation->next = operation->previous = NULL;
}

/* Removes a call from the active list, reports its outcome to the callback, and
 * frees it. A handle whose call failed is not reused. */
static void
finish_call(
    struct lk_async *async, struct lk_operation *operation, CURLcode code)
{
	struct lk_async_answer answer = {0};
	long value = 0;
	long sent = 0;

	remove_active(async, operation);
	unwatch(async, operation);
	if (operation->curl != NULL) {
		curl_easy_getinfo(
		    operation->curl, CURLINFO_RESPONSE_CODE, &value);
		answer.status = (int)value;
		curl_easy_getinfo(
		    operation->curl, CURLINFO_REQUEST_SIZE, &sent);
		value = 0;
		curl_easy_getinfo(operation->curl, CURLINFO_OS_ERRNO, &value);
		answer.refused = sent == 0 && code == CURLE_COULDNT_CONNECT &&
		    value == ECONNREFUSED;
		curl_multi_remove_handle(async->multi, operation->curl);
	}
	if (code == CURLE_OK)
		answer.outcome = LK_HTTP_COMPLETE;
	else if (sent == 0)
		answer.outcome = LK_HTTP_NOT_STARTED;
	else if (code == CURLE_OPERATION_TIMEDOUT)
		answer.outcome = LK_HTTP_TIMEOUT;
	else if (code == CURLE_WRITE_ERROR)
		answer.outcome = LK_HTTP_TOO_LARGE;
	else
		answer.outcome =
		    answer.status == 0 ? LK_HTTP_LOST : LK_HTTP_TRUNCATED;
	answer.body = operation->answer != NULL ? operation->answer : "";
	answer.body_bytes = operation->answer_bytes;
	answer.sent_ms = operation->sent_ms;
	answer.now_ms = cw_clock_mono_ms();
	operation->done(operation->ctx, &answer);
	if (operation->curl != NULL && code == CURLE_OK &&
	    async->idle_count < IDLE_HANDLES_MAX) {
		curl_easy_reset(operation->curl);
		async->idle[async->idle_count++] = operation->curl;
	} else
		curl_easy_cleanup(operation->curl);
	lk_operation_free(operation);
}

/* Starts the submitted calls and inserts the submitted timers. */
static void
start_submitted(struct lk_async *async)
{
	struct lk_operation *operation;
	struct lk_operation *next;

	async->has_submissions = false;
	pthread_mutex_lock(&async->lock);
	operation = async->submitted;
	async->submitted = NULL;
	async->submitted_last = &async->submitted;
	pthread_mutex_unlock(&async->lock);
	for (; operation != NULL; operation = next) {
		next = operation->next;
		operation->next = NULL;
		if (operation->run != NULL) {
			struct lk_operation **link = &async->timers;

			while (*link != NULL &&
			    (*link)->due_ms <= operation->due_ms)
				link = &(*link)->next;
			operation->next = *link;
			*link = operation;
		} else
			start_call(async, operation);
	}
}

/* Runs the timers that are due and frees them. */
static void
run_timers(struct lk_async *async)
{
	int64_t now_ms = cw_clock_mono_ms();

	while (async->timers != NULL && async->timers->due_ms <= now_ms) {
		struct lk_operation *operation = async->timers;

		if (now_ms - operation->due_ms > LATE_MS)
			ev_emit(EV_LINK_LATE, "ms=%lld",
			    (long long)(now_ms - operation->due_ms));
		async->timers = operation->next;
		operation->run(operation->ctx, now_ms);
		lk_operation_free(operation);
	}
}

static void
unwatch(struct lk_async *async, struct lk_operation *operation)
{
	struct lk_operation **link = &async->watched;

	while (*link != NULL && *link != operation)
		link = &(*link)->watched_next;
	if (*link == operation)
		*link = operation->watched_next;
}

/* Fails the calls whose answers have stalled. Call after the data that has
 * arrived was read: the thread may have been late itself. */
static void
fail_stalled(struct lk_async *async)
{
	int64_t now_ms = cw_clock_mono_ms();
	struct lk_operation *operation;
	struct lk_operation *next;

	for (operation = async->watched; operation != NULL; operation = next) {
		next = operation->watched_next;
		if (operation->stall_due_ms <= now_ms)
			finish_call(async, operation, CURLE_OPERATION_TIMEDOUT);
	}
}

/* Finishes the calls that libcurl reports as completed. */
static void
finish_completed(struct lk_async *async)
{
	const CURLMsg *message;
	int remaining;

	while ((message = curl_multi_info_read(async->multi, &remaining)) !=
	    NULL) {
		struct lk_operation *operation = NULL;
		CURLcode code = message->data.result;

		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
		    (char **)&operation);
		finish_call(async, operation, code);
	}
}

/* Returns the time until the next timer, at most 60 s, in ms. */
static int
wait_timeout_ms(const struct lk_async *async)
{
	int64_t now_ms = cw_clock_mono_ms();
	int64_t until_ms = now_ms + 60000;
	const struct lk_operation *operation = async->watched;

	if (async->has_submissions)
		return 0;
	for (; operation != NULL; operation = operation->watched_next)
		if (operation->stall_due_ms < until_ms)
			until_ms = operation->stall_due_ms;
	if (async->curl_due_ms >= 0 && async->curl_due_ms < until_ms)
		until_ms = async->curl_due_ms;
	if (async->timers != NULL && async->timers->due_ms < until_ms)
		until_ms = async->timers->due_ms;
	return until_ms <= now_ms ? 0 : (int)(until_ms - now_ms);
}

static void *
run_thread(void *arg)
{
	struct lk_async *async = arg;
	struct epoll_event events[EVENTS_MAX];
	uint64_t wake_count;
	int running;
	int n;
	int i;

	while (!atomic_load(&async->stop)) {
		n = epoll_wait(async->epoll_fd, events, EVENTS_MAX,
		    wait_timeout_ms(async));
		for (i = 0; i < n; i++) {
			int fd = events[i].data.fd;
			uint32_t ready = events[i].events;

			if (fd == async->wake_fd) {
				if (read(fd, &wake_count, sizeof(wake_count)) <
				    0)
					continue;
				continue;
			}
			curl_multi_socket_action(async->multi, fd,
			    ((ready & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0) |
				((ready & EPOLLOUT) != 0 ? CURL_CSELECT_OUT
							 : 0) |
				((ready & (EPOLLERR | EPOLLHUP)) != 0
					? CURL_CSELECT_ERR
					: 0),
			    &running);
		}
		if (async->curl_due_ms >= 0 &&
		    async->curl_due_ms <= cw_clock_mono_ms()) {
			async->curl_due_ms = -1;
			curl_multi_socket_action(
			    async->multi, CURL_SOCKET_TIMEOUT, 0, &running);
		}
		finish_completed(async);
		if (n < EVENTS_MAX)
			fail_stalled(async);
		run_timers(async);
		start_submitted(async);
	}
	while (async->active != NULL)
		finish_call(async, async->active, CURLE_ABORTED_BY_CALLBACK);
	return NULL;
}

/* Submits one call; any thread may call this. Returns CW_ENOMEM, CW_EINVAL if
 * address and path are too long, or CW_EIO after lk_async_stop; done is not
 * called in these cases. */
int
lk_async_submit(struct lk_async *async, const struct lk_async_call *call)
{
	struct lk_operation *operation = calloc(1, sizeof(*operation));
	size_t i;

	assert(call->done != NULL && call->timeout_ms > 0);
	if (operation == NULL)
		return cw_error_set(CW_ENOMEM, "no memory for a call");
	if ((size_t)snprintf(operation->url, sizeof(operation->url),
		"http://%s%s", call->address,
		call->path) >= sizeof(operation->url)) {
		free(operation);
		return cw_error_set(CW_EINVAL, "path of a call is too long");
	}
	/* Stops libcurl from waiting for "100 Continue" before long bodies. */
	operation->headers = curl_slist_append(NULL, "Expect:");
	for (i = 0; i < call->header_count; i++)
		operation->headers =
		    curl_slist_append(operation->headers, call->headers[i]);
	if (call->body_bytes > 0) {
		operation->body = malloc(call->body_bytes);
		if (operation->body == NULL) {
			lk_operation_free(operation);
			return cw_error_set(CW_ENOMEM, "no memory for a body");
		}
		memcpy(operation->body, call->body, call->body_bytes);
	}
	operation->body_bytes = call->body_bytes;
	operation->post = call->post;
	operation->timeout_ms = call->timeout_ms;
	operation->stall_ms = call->stall_ms;
	operation->new_connection = call->new_connection;
	operation->last_on_connection = call->last_on_connection;
	operation->done = call->done;
	operation->ctx = call->ctx;
	operation->sent_ms = cw_clock_mono_ms();
	return enqueue(async, operation);
}

/* Runs a function on the client's thread after delay_ms. Returns CW_ENOMEM, or
 * CW_EIO after lk_async_stop. A timer that is pending then is discarded. */
int
lk_async_schedule(struct lk_async *async, uint32_t delay_ms,
    void (*run)(void *ctx, int64_t now_ms), void *ctx)
{
	struct lk_operation *operation = calloc(1, sizeof(*operation));

	if (operation == NULL)
		return cw_error_set(CW_ENOMEM, "no memory for a timer");
	operation->run = run;
	operation->ctx = ctx;
	operation->due_ms = cw_clock_mono_ms() + delay_ms;
	return enqueue(async, operation);
}

/* Starts the client's thread. Beyond connections_max open connections, idle
 * ones are closed; calls in flight may use more. Returns CW_ENOMEM or CW_EIO.
 */
int
lk_async_start(struct lk_async **out, uint32_t connections_max)
{
	struct lk_async *async = calloc(1, sizeof(*async));
	struct epoll_event event = {.events = EPOLLIN};

	if (async == NULL || curl_global_init(CURL_GLOBAL_DEFAULT) != 0) {
		free(async);
		return cw_error_set(
		    CW_ENOMEM, "out of memory while creating the HTTP client");
	}
	pthread_mutex_init(&async->lock, NULL);
	async->submitted_last = &async->submitted;
	async->curl_due_ms = -1;
	async->multi = curl_multi_init();
	async->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	async->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	event.data.fd = async->wake_fd;
	if (async->multi == NULL || async->epoll_fd < 0 || async->wake_fd < 0 ||
	    epoll_ctl(async->epoll_fd, EPOLL_CTL_ADD, async->wake_fd, &event) !=
		0) {
		free(async);
		return cw_error_set(
		    CW_EIO, "cannot create the HTTP client's descriptors");
	}
	curl_multi_setopt(
	    async->multi, CURLMOPT_MAXCONNECTS, (long)connections_max);
	curl_multi_setopt(async->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(async->multi, CURLMOPT_SOCKETDATA, async);
	curl_multi_setopt(async->multi, CURLMOPT_TIMERFUNCTION, on_timer);
	curl_multi_setopt(async->multi, CURLMOPT_TIMERDATA, async);
	if (pthread_create(&async->thread, NULL, run_thread, async) != 0) {
		free(async);
		return cw_error_set(
		    CW_EIO, "cannot create the HTTP client's thread");
	}
	*out = async;
	return CW_OK;
}

/* Aborts the calls in flight, after calling their done, and frees the client.
 * Waits for the client's thread. */
void
lk_async_stop(struct lk_async *async)
{
	struct lk_operation *operation;
	uint64_t one = 1;

	pthread_mutex_lock(&async->lock);
	atomic_store(&async->stop, true);
	pthread_mutex_unlock(&async->lock);
	if (write(async->wake_fd, &one, sizeof(one)) < 0)
		ev_emit(EV_LINK_WAKE, "errno=%d", errno);
	pthread_join(async->thread, NULL);
	while ((operation = async->timers) != NULL) {
		async->timers = operation->next;
		lk_operation_free(operation);
	}
	while ((operation = async->submitted) != NULL) {
		async->submitted = operation->next;
		if (operation->run == NULL)
			finish_call(async, operation, CURLE_FAILED_INIT);
		else
			lk_operation_free(operation);
	}
	while (async->idle_count > 0)
		curl_easy_cleanup(async->idle[--async->idle_count]);
	curl_multi_cleanup(async->multi);
	close(async->epoll_fd);
	close(async->wake_fd);
	pthread_mutex_destroy(&async->lock);
	free(async);
	curl_global_cleanup();
}

/* Returns how many connections were opened since the start. */
uint64_t
lk_async_connections(const struct lk_async *async)
{
	return atomic_load_explicit(
	    &((struct lk_async *)async)->connections, memory_order_relaxed);
}
