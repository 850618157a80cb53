#include <assert.h>
#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <time.h>

#include "front_internal.h"

/* Shared by the call that waits and the follower that reports; the last of
 * the two frees it. */
struct pending {
	pthread_mutex_t lock;
	pthread_cond_t reported;
	uint32_t holders;
	bool is_done;
	int status;
	uint64_t position;
};

static struct pending *pending_create(void);
static void pending_release(struct pending *pending);
static void pending_report(void *ctx, int status, uint64_t position);
static int pending_wait(
    struct pending *pending, uint32_t timeout_ms, uint64_t *position);
static int explain_status(int status, struct fr_error *error);

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
	pthread_cond_init(&pending->reported, &attr);
	pthread_condattr_destroy(&attr);
	pending->holders = 2;
	return pending;
}

static void
pending_release(struct pending *pending)
{
	uint32_t left;

	pthread_mutex_lock(&pending->lock);
	left = --pending->holders;
	pthread_mutex_unlock(&pending->lock);
	if (left > 0)
		return;
	pthread_cond_destroy(&pending->reported);
	pthread_mutex_destroy(&pending->lock);
	free(pending);
}

static void
pending_report(void *ctx, int status, uint64_t position)
{
	struct pending *pending = ctx;

	pthread_mutex_lock(&pending->lock);
	pending->is_done = true;
	pending->status = status;
	pending->position = position;
	pthread_cond_signal(&pending->reported);
	pthread_mutex_unlock(&pending->lock);
	pending_release(pending);
}

/* Returns the status of apply, ST_EUNKNOWN where it did not come in time. */
static int
pending_wait(struct pending *pending, uint32_t timeout_ms, uint64_t *position)
{
	struct timespec until;
	int status;

	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_sec += timeout_ms / 1000;
	until.tv_nsec += (long)(timeout_ms % 1000) * 1000000;
	if (until.tv_nsec >= 1000000000) {
		until.tv_sec++;
		until.tv_nsec -= 1000000000;
	}
	pthread_mutex_lock(&pending->lock);
	while (!pending->is_done)
		if (pthread_cond_timedwait(&pending->reported, &pending->lock,
			&until) == ETIMEDOUT)
			break;
	status = pending->is_done ? pending->status : ST_EUNKNOWN;
	*position = pending->position;
	pthread_mutex_unlock(&pending->lock);
	return status;
}

/* Turns a status of the state package into what the caller may rely on. */
static int
explain_status(int status, struct fr_error *error)
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
 * Hands a record to the sink and waits until it was applied or refused, at
 * most options.apply_wait_ms. Stores the status of the state package in
 * *state_code, and returns it as this package's error.
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
	done.call = pending_report;
	done.ctx = pending;
	status =
	    front->options.sink.propose(front->options.sink.ctx, rec, &done);
	if (cw_is_error(status))
		pending->holders = 1; /* done is not called */
	else
		status = pending_wait(
		    pending, front->options.apply_wait_ms, position);
	pending_release(pending);
	*state_code = status;
	return explain_status(status, error);
}
