#include "daemon.h"

static bool may_act(void *ctx, int64_t now_ms);
static void read_log_status(void *ctx, struct gang_log_status *out);

/* Only the holder of the placement duty schedules; proposals of other VMs would
 * be rejected. */
static bool
may_act(void *ctx, int64_t now_ms)
{
	struct daemon *daemon = ctx;

	(void)now_ms;
	return !atomic_load(&daemon->stopping) &&
	    fl_duty_is_held(daemon->board, BD_DUTY_PLACEMENT, daemon->self);
}

static void
read_log_status(void *ctx, struct gang_log_status *out)
{
	struct daemon *daemon = ctx;
	struct st_follower_status status;

	st_follower_status_get(daemon->follower, &status);
	out->age_ms = cw_clock_mono_ms() - status.confirmed_ms;
	out->reads = status.confirmed_reads;
}

/* Creates the scheduler and the gang controller. */
int
wire_sched(struct daemon *daemon)
{
	struct sch_spec spec = {
	    .board = daemon->board,
	    .sink = daemon->sink,
	    .may_act = may_act,
	    .may_act_ctx = daemon,
	};
	struct gang_settings gang_settings = gang_settings_default;
	int code;

	gang_settings.log_status = read_log_status;
	gang_settings.log_ctx = daemon;
	code = sch_create(&daemon->sched, &spec);
	if (code != CW_OK)
		return code;
	return gang_controller_create(&daemon->gang, daemon->board,
	    &daemon->platform.tasks, &daemon->sink, daemon->self,
	    &gang_settings, &daemon->wall);
}
