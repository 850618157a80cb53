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

/* Fills in the system's clocks and limits that suit an entry VM. */
void
fr_options_default(struct fr_options *options)
{
	memset(options, 0, sizeof(*options));
	options->wall.now_ms = wall_ms;
	options->mono.now_ms = mono_ms;
	/* Longer than a slow append with one repeat. */
	options->apply_wait_ms = 10000;
	options->waiters_max = 16;
}

/* Creates the front over a board and a sink, which must outlive it. Returns
 * FR_ENOMEM. */
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
	atomic_flag_clear(&front->reporting);
	*out = front;
	return CW_OK;
}

/* Frees the front. No call may run any more. */
void
fr_destroy(struct fr_front *front)
{
	free(front);
}

/* Refuses new jobs and configurations from now on, ends waiting calls, and
 * turns the readiness off. */
void
fr_drain(struct fr_front *front)
{
	atomic_store(&front->draining, true);
	bd_notify(front->options.board);
}

/* Tells whether the balancer may send work to this VM. */
bool
fr_is_ready(const struct fr_front *front)
{
	const struct fr_hooks *hooks = &front->options.hooks;

	if (atomic_load(&((struct fr_front *)front)->draining))
		return false;
	return hooks->ready == NULL || hooks->ready(hooks->ready_ctx);
}
