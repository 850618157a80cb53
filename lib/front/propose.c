#include <assert.h>
#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <time.h>

#include "front_internal.h"

/* A record whose result is awaited. Shared by the waiting call and the follower
 * that completes it; whichever releases it last frees it. */
struct pending {
	pthread_mutex_t lock;
	pthread_cond_t completed;
	uint32_t references;
	bool is_done;
	int status;
	uint64_t position;
};

static struct pending *pending_create(void);
static void pending_release(struct pending *pending);
static void pending_complete(void *ctx, int status, uint64_t position);
static int pending_wait(
    struct pending *pending, uint32_t timeout_ms, uint64_t *position);
static int map_state_status(int status, struct fr_error *error);

static struct pending *
pending_create(void)
{
	struct pending *pending = calloc(1, sizeof(*pending));
	pthread_condattr_t attr;

	if (pending == NULL)
		return NULL;
	pthread_mutex_init(&pending->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&pending->completed, &attr);
	pthread_condattr_destroy(&attr);
	pending->references = 2;
	return pending;
}

static void
pending_release(struct pending *pending)
{
	uint32_t remaining;

	pthread_mutex_lock(&pending->lock);
	remaining = --pending->references;
	pthread_mutex_unlock(&pending->lock);
	if (remaining > 0)
		return;
	pthread_cond_destroy(&pending->completed);
	pthread_mutex_destroy(&pending->lock);
	free(pending);
}

static void
pending_complete(void *ctx, int status, uint64_t position)
{
	struct pending *pending = ctx;

	pthread_mutex_lock(&pending->lock);
	pending->is_done = true;
	pending->status = status;
	pending->position = position;
	pthread_cond_signal(&pending->completed);
	pthread_mutex_unlock(&pending->lock);
	pending_release(pending);
}

/* Returns the status of applying the record, ST_EUNKNOWN on a timeout. */
static int
pending_wait(struct pending *pending, uint32_t timeout_ms, uint64_t *position)
{
	struct timespec deadline;
	int status;

	clock_gettime(CLOCK_MONOTONIC, &deadline);
	deadline.tv_sec += timeout_ms / 1000;
	deadline.tv_nsec += (long)(timeout_ms % 1000) * 1000000;
	if (deadline.tv_nsec >= 1000000000) {
		deadline.tv_sec++;
		deadline.tv_nsec -= 1000000000;
	}
	pthread_mutex_lock(&pending->lock);
	while (!pending->is_done)
		if (pthread_cond_timedwait(&pending->completed, &pending->lock,
			&deadline) == ETIMEDOUT)
			break;
	status = pending->is_done ? pending->status : ST_EUNKNOWN;
	*position = pending->position;
	pthread_mutex_unlock(&pending->lock);
	return status;
}

/* Maps a status of the state package to an error that tells the client whether
 * the call had an effect. */
static int
map_state_status(int status, struct fr_error *error)
{
	switch (status) {
	case CW_OK:
		return CW_OK;
	case ST_EUNAVAILABLE:
		return fr_error_set(
		    error, FR_EUNAVAILABLE, NULL, "the log is out of reach");
	case ST_ENOTREADY:
		return fr_error_set(error, FR_EUNAVAILABLE, NULL,
		    "this VM has not yet read the log");
	case ST_EFULL:
	case ST_ENOMEM:
		return fr_error_set(error, FR_EUNAVAILABLE, NULL,
		    "a table or the queue for the log is full");
	case ST_ETOOLARGE:
		return fr_error_set(
		    error, FR_ETOOLARGE, NULL, "too large for the log");
	case ST_ESTALE:
	case ST_ECONFLICT:
	case ST_EREPEATED:
		return fr_error_set(
		    error, FR_ECONFLICT, NULL, "another change came first");
	case ST_EREJECTED:
		return fr_error_set(error, FR_ECONFLICT, NULL,
		    "the state no longer allows this");
	case ST_EUNKNOWN:
		return fr_error_set(error, FR_EUNKNOWN, NULL,
		    "the log's answer was lost or is late");
	default:
		return fr_error_set(error, FR_EINTERNAL, NULL,
		    "record failed: %s", st_status_name(status));
	}
}

/*
 * Passes a record to the sink and waits until it has been applied or rejected,
 * at most options.apply_timeout_ms. Stores the status of the state package in
 * *state_code, and returns it mapped to an error of this package.
 */
int
fr_propose(struct fr_front *front, const struct rec *rec, uint64_t *position,
    struct fr_error *error, int *state_code)
{
	struct pending *pending;
	struct st_completion done;
	int status;

	assert(rec != NULL && position != NULL && state_code != NULL);
	*position = 0;
	*state_code = ST_EUNAVAILABLE;
	if (atomic_load(&front->draining))
		return fr_error_set(
		    error, FR_EUNAVAILABLE, NULL, "this VM is shutting down");
	pending = pending_create();
	if (pending == NULL)
		return fr_error_set(
		    error, FR_ENOMEM, NULL, "no memory for the record");
	done.call = pending_complete;
	done.ctx = pending;
	status =
	    front->options.sink.propose(front->options.sink.ctx, rec, &done);
	if (cw_is_error(status))
		pending->references = 1; /* done is not called */
	else
		status = pending_wait(
		    pending, front->options.apply_timeout_ms, position);
	pending_release(pending);
	*state_code = status;
	return map_state_status(status, error);
}
