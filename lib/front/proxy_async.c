#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "proxy_internal.h"

static void *run_tasks(void *arg);

/* Copies a task with all that its request points to. Returns NULL where memory
 * is short. */
struct fr_task *
fr_task_copy(const struct fr_task *task)
{
	const struct fr_proxy_request *from = &task->request;
	size_t key_bytes = from->key == NULL ? 0 : strlen(from->key) + 1;
	size_t type_bytes =
	    from->content_type == NULL ? 0 : strlen(from->content_type) + 1;
	struct fr_task *copy =
	    malloc(sizeof(*copy) + key_bytes + type_bytes + from->body_bytes);
	char *at;

	if (copy == NULL)
		return NULL;
	*copy = *task;
	at = copy->copy;
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

static void *
run_tasks(void *arg)
{
	struct fr_proxy *proxy = arg;
	struct fr_proxy_answer answer;
	struct fr_task *task;

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
		fr_task_run(task, &answer);
		free(answer.body);
		free(task);
		pthread_mutex_lock(&proxy->lock);
		proxy->queued--;
	}
	pthread_mutex_unlock(&proxy->lock);
	return NULL;
}

/* Starts the threads for requests that are answered later. */
int
fr_async_start(struct fr_proxy *proxy)
{
	uint32_t i;

	pthread_mutex_init(&proxy->lock, NULL);
	pthread_cond_init(&proxy->changed, NULL);
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

/* Ends the threads once the tasks that wait have run. */
void
fr_async_stop(struct fr_proxy *proxy)
{
	uint32_t i;

	pthread_mutex_lock(&proxy->lock);
	proxy->stop = true;
	pthread_cond_broadcast(&proxy->changed);
	pthread_mutex_unlock(&proxy->lock);
	for (i = 0; i < proxy->thread_count; i++)
		pthread_join(proxy->threads[i], NULL);
	free(proxy->threads);
	pthread_cond_destroy(&proxy->changed);
	pthread_mutex_destroy(&proxy->lock);
}

/* Keeps a place for a task; false where all are taken. */
bool
fr_async_promise(struct fr_proxy *proxy)
{
	bool free_place;

	pthread_mutex_lock(&proxy->lock);
	free_place = proxy->queued <
	    proxy->config.async_queue + proxy->config.async_threads;
	proxy->queued += free_place;
	pthread_mutex_unlock(&proxy->lock);
	return free_place;
}

/* Gives a kept place back. */
void
fr_async_give_up(struct fr_proxy *proxy)
{
	pthread_mutex_lock(&proxy->lock);
	proxy->queued--;
	pthread_mutex_unlock(&proxy->lock);
}

/* Hands over a task for which a place was kept. */
void
fr_async_push(struct fr_proxy *proxy, struct fr_task *task)
{
	task->next = NULL;
	pthread_mutex_lock(&proxy->lock);
	*proxy->tail = task;
	proxy->tail = &task->next;
	pthread_cond_signal(&proxy->changed);
	pthread_mutex_unlock(&proxy->lock);
}
