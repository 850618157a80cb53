#include <assert.h>
#include <stdatomic.h>
#include <stdlib.h>

#include "board.h"

/* A controller thread checks its stop flag at least this often. */
#define CTL_WAIT_MAX_MS 60000

struct ctl {
	struct bd_board *board;
	struct ctl_spec spec;
	struct ctl_clock clock;
	pthread_t thread;
	atomic_bool stop;
};

static void *run_controller(void *arg);

static void *
run_controller(void *arg)
{
	struct ctl *ctl = arg;

	while (!atomic_load(&ctl->stop)) {
		uint64_t seen = bd_notify_count(ctl->board);
		int64_t now_ms = ctl->clock.now_ms(ctl->clock.ctx);
		int64_t wait_ms = ctl->spec.step(ctl->spec.ctx, now_ms) -
		    ctl->clock.now_ms(ctl->clock.ctx);

		if (wait_ms > CTL_WAIT_MAX_MS)
			wait_ms = CTL_WAIT_MAX_MS;
		if (wait_ms > 0 && !atomic_load(&ctl->stop))
			bd_wait(ctl->board, seen, wait_ms);
	}
	return NULL;
}

/*
 * Starts the thread of a controller. step returns the time (ms) at which it
 * must run again; a call of bd_notify runs it earlier. Returns BD_ENOMEM if
 * memory is short or the thread cannot be started.
 */
int
ctl_start(struct ctl **out, struct bd_board *board, const struct ctl_spec *spec,
    const struct ctl_clock *clock)
{
	struct ctl *ctl = calloc(1, sizeof(*ctl));

	assert(spec->step != NULL && clock->now_ms != NULL);
	if (ctl == NULL)
		return BD_ENOMEM;
	ctl->board = board;
	ctl->spec = *spec;
	ctl->clock = *clock;
	if (pthread_create(&ctl->thread, NULL, run_controller, ctl) != 0) {
		free(ctl);
		return cw_error_set(BD_ENOMEM,
		    "cannot start the thread of controller %s", spec->name);
	}
	*out = ctl;
	return CW_OK;
}

/* Stops a controller after its present step and frees it. */
void
ctl_stop(struct ctl *ctl)
{
	atomic_store(&ctl->stop, true);
	bd_notify(ctl->board);
	pthread_join(ctl->thread, NULL);
	free(ctl);
}
