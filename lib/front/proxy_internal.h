#ifndef CAMPHOR_FRONT_PROXY_INTERNAL_H
#define CAMPHOR_FRONT_PROXY_INTERNAL_H

#include <pthread.h>

#include "proxy.h"

#define FR_PROXY_KEY_BYTES_MAX 128

/* A request being processed; unrelated to the tasks of jobs. */
struct fr_proxy_task {
	struct fr_proxy_task *next;
	struct fr_proxy *proxy;
	struct fr_proxy_request request;
	uint64_t service;
	uint32_t timeout_ms;
	uint32_t attempts_max;
	uint32_t answer_bytes_max;
	bool idempotent;
	bool has_key;
	bool started; /* bytes were sent that may have started it */
	struct rt_idempotency_key key;
	struct rt_admission admission;
	struct rt_pick pick;
	uint64_t number; /* of the request on this VM */
	int64_t arrived_us;
	char id[RT_ID_BYTES];
	char storage[]; /* data of request, in a copy by fr_proxy_task_copy */
};

struct fr_proxy {
	struct fr_proxy_config config;
	pthread_mutex_t lock;
	pthread_cond_t changed; /* head or stop */
	pthread_cond_t stopped; /* stop */
	struct fr_proxy_task *head;
	struct fr_proxy_task **tail;
	uint32_t queued; /* tasks queued or running, and reserved slots */
	bool stop;
	uint32_t thread_count;
	pthread_t *threads;
};

/* proxy_attempt.c: the attempts of an admitted request. */
void fr_proxy_task_run(
    struct fr_proxy_task *task, struct fr_proxy_answer *answer);

/* proxy_async.c: threads for requests with respond_async. */
int fr_async_start(struct fr_proxy *proxy);
void fr_async_stop(struct fr_proxy *proxy);
void fr_async_pause(struct fr_proxy *proxy, int64_t until_us);
bool fr_async_reserve(struct fr_proxy *proxy);
void fr_async_release(struct fr_proxy *proxy);
void fr_async_push(struct fr_proxy *proxy, struct fr_proxy_task *task);
struct fr_proxy_task *fr_proxy_task_copy(const struct fr_proxy_task *task);

/* proxy_answer.c: errors and stored answers. */
void fr_answer_error(struct fr_proxy_answer *answer, int status,
    enum rt_ran ran, uint32_t retry_after_ms, const char *text);
void fr_answer_refusal(
    struct fr_proxy_answer *answer, int code, const struct rt_refusal *refusal);
void fr_answer_stored(
    struct fr_proxy_answer *answer, const struct rt_answer *stored);
int fr_answer_find(struct fr_proxy *proxy, uint64_t owner, uint64_t number,
    struct rt_answer *out);

#endif
