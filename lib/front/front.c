#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "front_internal.h"

static int64_t wall_ms(void *ctx);
static int64_t mono_ms(void *ctx);

static int64_t
wall_ms(void *ctx)
{
	(void)ctx;
	return cw_clock_wall_ms();
}

static int64_t
mono_ms(void *ctx)
{
	(void)ctx;
	return cw_clock_mono_ms();
}

/* Sets the system clocks and the default limits of an entry VM. */
void
fr_options_default(struct fr_options *options)
{
	memset(options, 0, sizeof(*options));
	options->wall.now_ms = wall_ms;
	options->mono.now_ms = mono_ms;
	/* Longer than a slow append to the log with one retry. */
	options->apply_timeout_ms = 10000;
	options->waiters_max = 16;
}

/* Creates the front end of a board and a record sink, which must outlive it.
 * Returns FR_ENOMEM. */
int
fr_create(struct fr_front **out, const struct fr_options *options)
{
	struct fr_front *front;

	assert(out != NULL && options->board != NULL);
	assert(options->sink.propose != NULL);
	assert(options->source_count <= FR_METRIC_SOURCES_MAX);
	front = calloc(1, sizeof(*front));
	if (front == NULL)
		return cw_error_set(FR_ENOMEM, "no memory for the front");
	front->options = *options;
	atomic_flag_clear(&front->report_in_progress);
	*out = front;
	return CW_OK;
}

/* Frees the front end. No call may be in progress. */
void
fr_destroy(struct fr_front *front)
{
	free(front);
}

/* Rejects new jobs and configurations from now on, ends waiting calls, and
 * reports this VM as not ready. */
void
fr_drain(struct fr_front *front)
{
	atomic_store(&front->draining, true);
	bd_notify(front->options.board);
}

/* Returns whether a load balancer may send requests to this VM. */
bool
fr_is_ready(const struct fr_front *front)
{
	const struct fr_hooks *hooks = &front->options.hooks;

	if (atomic_load(&((struct fr_front *)front)->draining))
		return false;
	return hooks->ready == NULL || hooks->ready(hooks->ready_ctx);
}
