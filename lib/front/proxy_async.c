#include <assert.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "proxy_internal.h"

static void *run_tasks(void *arg);

/* Copies a task together with the key, content type and body of its request.
 * Returns NULL if out of memory; the caller frees the copy. */
struct fr_proxy_task *
fr_proxy_task_copy(const struct fr_proxy_task *task)
{
	const struct fr_proxy_request *from = &task->request;
	size_t key_bytes = from->key == NULL ? 0 : strlen(from->key) + 1;
	size_t type_bytes =
	    from->content_type == NULL ? 0 : strlen(from->content_type) + 1;
	struct fr_proxy_task *copy =
	    malloc(sizeof(*copy) + key_bytes + type_bytes + from->body_bytes);
	char *at;

	if (copy == NULL)
		return NULL;
	*copy = *task;
	at = copy->storage;
	copy->request.service = NULL;
	copy->request.class_name = NULL;
	if (key_bytes > 0) {
		copy->request.key = memcpy(at, from->key, key_bytes);
		at += key_bytes;
	}
	if (type_bytes > 0) {
		copy->request.content_type =
		    memcpy(at, from->content_type, type_bytes);
		at += type_bytes;
	}
	if (from->body_bytes > 0)
		copy->request.body = memcpy(at, from->body, from->body_bytes);
	return copy;
}

/* Thread: runs queued tasks until fr_async_stop and an empty queue. */
static void *
run_tasks(void *arg)
{
	struct fr_proxy *proxy = arg;
	struct fr_proxy_answer answer;
	struct fr_proxy_task *task;

	pthread_mutex_lock(&proxy->lock);
	while (true) {
		while (proxy->head == NULL && !proxy->stop)
			pthread_cond_wait(&proxy->changed, &proxy->lock);
		if (proxy->head == NULL)
			break;
		task = proxy->head;
		proxy->head = task->next;
		if (proxy->head == NULL)
			proxy->tail = &proxy->head;
		pthread_mutex_unlock(&proxy->lock);
		memset(&answer, 0, sizeof(answer));
		fr_proxy_task_run(task, &answer);
		free(answer.body);
		free(task);
		pthread_mutex_lock(&proxy->lock);
		proxy->queued--;
	}
	pthread_mutex_unlock(&proxy->lock);
	return NULL;
}

/* Starts the threads that run asynchronous requests. Returns CW_ENOMEM. */
int
fr_async_start(struct fr_proxy *proxy)
{
	pthread_condattr_t monotonic;
	uint32_t i;

	pthread_mutex_init(&proxy->lock, NULL);
	pthread_cond_init(&proxy->changed, NULL);
	pthread_condattr_init(&monotonic);
	pthread_condattr_setclock(&monotonic, CLOCK_MONOTONIC);
	pthread_cond_init(&proxy->stopped, &monotonic);
	pthread_condattr_destroy(&monotonic);
	proxy->tail = &proxy->head;
	proxy->threads =
	    calloc(proxy->config.async_threads + 1, sizeof(*proxy->threads));
	if (proxy->threads == NULL)
		return CW_ENOMEM;
	for (i = 0; i < proxy->config.async_threads; i++) {
		if (pthread_create(
			&proxy->threads[i], NULL, run_tasks, proxy) != 0)
			return CW_ENOMEM;
		proxy->thread_count++;
	}
	return CW_OK;
}

/* Runs the queued tasks to their end and joins the threads. */
void
fr_async_stop(struct fr_proxy *proxy)
{
	uint32_t i;

	pthread_mutex_lock(&proxy->lock);
	proxy->stop = true;
	pthread_cond_broadcast(&proxy->changed);
	pthread_cond_broadcast(&proxy->stopped);
	pthread_mutex_unlock(&proxy->lock);
	for (i = 0; i < proxy->thread_count; i++)
		pthread_join(proxy->threads[i], NULL);
	free(proxy->threads);
	pthread_cond_destroy(&proxy->changed);
	pthread_cond_destroy(&proxy->stopped);
	pthread_mutex_destroy(&proxy->lock);
}

/* Waits until until_us (monotonic), or until the proxy is being stopped: the
 * delay before a retry must not hold up a shutdown. */
void
fr_async_pause(struct fr_proxy *proxy, int64_t until_us)
{
	struct timespec until = {until_us / 1000000, until_us % 1000000 * 1000};
	int code = 0;

	pthread_mutex_lock(&proxy->lock);
	while (!proxy->stop && code != ETIMEDOUT)
		code = pthread_cond_timedwait(
		    &proxy->stopped, &proxy->lock, &until);
	pthread_mutex_unlock(&proxy->lock);
}

/* Reserves a slot for a task. Returns false if none is free. */
bool
fr_async_reserve(struct fr_proxy *proxy)
{
	bool has_slot;

	pthread_mutex_lock(&proxy->lock);
	has_slot = proxy->queued <
	    proxy->config.async_queue + proxy->config.async_threads;
	proxy->queued += has_slot;
	pthread_mutex_unlock(&proxy->lock);
	return has_slot;
}

/* Releases a reserved slot that is not used. */
void
fr_async_release(struct fr_proxy *proxy)
{
	pthread_mutex_lock(&proxy->lock);
	proxy->queued--;
	pthread_mutex_unlock(&proxy->lock);
}

/* Queues a task in a slot reserved by fr_async_reserve; takes ownership. */
void
fr_async_push(struct fr_proxy *proxy, struct fr_proxy_task *task)
{
	task->next = NULL;
	pthread_mutex_lock(&proxy->lock);
	*proxy->tail = task;
	proxy->tail = &task->next;
	pthread_cond_signal(&proxy->changed);
	pthread_mutex_unlock(&proxy->lock);
}
