#include <stdatomic.h>

#include "flow_internal.h"
#include "relay.h"

/* A call is held for less than half of the time that its caller waits, so that
 * the caller can still try another VM. */
#define HOLD_PATIENCE_MILLI 450
/* While an outage is shorter than this, it may be this VM's alone: the load
 * balancer has not taken the VM out yet, and the caller's next try reaches
 * another one. Afterwards calls come only if most VMs have lost the store. */
#define OUTAGE_SHARED_MS 2500
/* A longer outage is not about to end. */
#define OUTAGE_HOLD_MAX_MS 10000
/* A copy that is older was never read: this VM has just started, and reads it
 * within a second if the store answers. */
#define OUTAGE_KNOWN_MAX_MS 60000

static int64_t outage_ms(const struct fw_front *front, int64_t now_ms);

/*
 * Returns for how long, in ms, a call is held while the store does not answer;
 * 0 if it is refused at once. patience_ms is the time that its caller still
 * waits, outage_ms the age of what this VM knows, held and held_max the calls
 * that are held already and may be. Load answered: callers that come in the
 * last seconds of an outage of the store used up their tries before its end,
 * within 3 s.
 */
int64_t
fw_hold_ms(
    int64_t patience_ms, int64_t outage_ms, uint32_t held, uint32_t held_max)
{
	bool just_started = outage_ms > OUTAGE_KNOWN_MAX_MS;

	if (patience_ms <= 0 || held >= held_max)
		return 0;
	if (!just_started &&
	    (outage_ms < OUTAGE_SHARED_MS || outage_ms > OUTAGE_HOLD_MAX_MS))
		return 0;
	return patience_ms * HOLD_PATIENCE_MILLI / 1000;
}

/* Returns the age of the older one of this VM's copies of the jobs and of the
 * configuration. */
static int64_t
outage_ms(const struct fw_front *front, int64_t now_ms)
{
	int64_t jobs_ms = fw_follower_age_ms(front->jobs, now_ms);
	int64_t config_ms = fw_follower_age_ms(front->config, now_ms);

	return jobs_ms > config_ms ? jobs_ms : config_ms;
}

/* Returns whether this VM can accept jobs: the store answers, and the copies of
 * the jobs and of the configuration are recent. */
bool
fw_front_has_store(const struct fw_front *front, int64_t now_ms)
{
	return fw_config_in_force(front, now_ms) &&
	    fw_follower_loaded(front->jobs) &&
	    !fw_follower_stalled(front->jobs, now_ms);
}

/* Returns the time in s after which a refused caller should try again. */
uint32_t
fw_front_retry_after_s(const struct fw_front *front, int64_t now_ms)
{
	int64_t lasted_ms = outage_ms(front, now_ms);
	struct bd_setup_refused refused;

	if (fw_setup_refused(front->board, &refused) &&
	    now_ms - refused.since_ms > lasted_ms)
		lasted_ms = now_ms - refused.since_ms;
	return fw_retry_after_s(lasted_ms);
}

/* Holds a call that submits a job until the store can be reached, for a part of
 * the time until the caller's deadline at most. Nothing is sent meanwhile, so
 * that a refusal afterwards is true. */
void
fw_front_hold(struct fw_front *front, int64_t deadline_ms)
{
	int64_t start_ms = cw_clock_mono_ms();
	int64_t now_ms = start_ms;
	int64_t until_ms;
	uint32_t held;

	if (fw_front_has_store(front, start_ms))
		return;
	held = atomic_fetch_add(&front->held, 1);
	until_ms = start_ms +
	    fw_hold_ms(deadline_ms - start_ms, outage_ms(front, start_ms), held,
		front->held_max);
	while (now_ms < until_ms) {
		uint64_t seen = bd_notify_count(front->board);

		if (fw_front_has_store(front, now_ms))
			break;
		bd_wait(front->board, seen, until_ms - now_ms);
		now_ms = cw_clock_mono_ms();
	}
	atomic_fetch_sub(&front->held, 1);
	if (until_ms > start_ms)
		ev_emit(EV_FLOW_HELD, "ms=%lld served=%d held=%u",
		    (long long)(now_ms - start_ms),
		    fw_front_has_store(front, now_ms) ? 1 : 0, held + 1);
}
