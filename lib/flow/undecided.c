#include <string.h>

#include "flow_internal.h"

/* The placer decides several times a second while jobs wait. */
#define LOGGED_MIN_MS 1000

static const char *obstacle_name(enum fw_obstacle obstacle);
static bool flow_waits(const struct bd_flow *flow, int64_t wall_ms);
static uint32_t count_waiting_jobs(const struct fw_placer *placer);

static const char *
obstacle_name(enum fw_obstacle obstacle)
{
	static const char *const names[FW_OBSTACLE_COUNT] = {
	    [FW_OBSTACLE_NONE] = "none",
	    [FW_OBSTACLE_BATCH] = "batch_unanswered",
	    [FW_OBSTACLE_FOLLOWER] = "follower_behind",
	    [FW_OBSTACLE_WORKERS] = "workers_old",
	    [FW_OBSTACLE_JOBS] = "jobs_old",
	};

	return names[obstacle];
}

/* Returns why the placer can make no decision now. progress_idle: its last
 * batch was stored and read back. */
enum fw_obstacle
fw_placer_obstacle(
    const struct fw_placer *placer, bool progress_idle, int64_t now_ms)
{
	if (!progress_idle)
		return placer->progress.end == 0 ? FW_OBSTACLE_BATCH
						 : FW_OBSTACLE_FOLLOWER;
	if (fw_follower_age_ms(placer->parts.hosts, now_ms) >=
	    FW_HOSTS_AGE_MAX_MS)
		return FW_OBSTACLE_WORKERS;
	return fw_jobs_recent(placer, now_ms) ? FW_OBSTACLE_NONE
					      : FW_OBSTACLE_JOBS;
}

/* Returns whether a task of a job waits and its step is ready. */
static bool
flow_waits(const struct bd_flow *flow, int64_t wall_ms)
{
	const struct bd_step_task *tasks = fw_flow_tasks(flow);
	uint32_t count = fw_flow_task_count(flow);
	uint32_t i;

	if (fw_flow_drained(flow) || fw_flow_ended(flow) ||
	    flow->cancelled != 0)
		return false;
	for (i = 0; i < count; i++) {
		struct fw_task_ref ref;

		if (tasks[i].state != BD_STEP_TASK_WAITING)
			continue;
		fw_task_ref_of(flow, i, &ref);
		if (fw_step_ready(flow, ref.occurrence, ref.step, wall_ms))
			return true;
	}
	return false;
}

static uint32_t
count_waiting_jobs(const struct fw_placer *placer)
{
	int64_t wall_ms = placer->parts.wall_ms(placer->parts.ctx);
	struct bd_rows rows;
	uint32_t waiting = 0;
	uint32_t i;

	if (bd_rows_collect(placer->parts.board, BD_TABLE_flow, &rows) != CW_OK)
		return 0;
	for (i = 0; i < rows.count; i++)
		waiting += flow_waits(rows.items[i].row, wall_ms);
	bd_rows_free(&rows);
	return waiting;
}

/* Notes whether the placer can decide, and logs once that it could not for
 * LOGGED_MIN_MS while jobs wait. Call within a read section. */
void
fw_undecided_note(
    struct fw_placer *placer, enum fw_obstacle obstacle, int64_t now_ms)
{
	struct fw_undecided *undecided = &placer->undecided;
	const struct fw_writer *writer = &placer->progress;
	uint32_t waiting;

	undecided->ms[obstacle] += now_ms - undecided->noted_ms;
	undecided->noted_ms = now_ms;
	if (obstacle == FW_OBSTACLE_NONE) {
		fw_undecided_end(placer, "decides", now_ms);
		return;
	}
	if (undecided->logged || now_ms - undecided->since_ms < LOGGED_MIN_MS)
		return;
	waiting = count_waiting_jobs(placer);
	if (waiting == 0)
		return;
	undecided->logged = true;
	ev_emit(EV_FLOW_UNDECIDED,
	    "obstacle=%s term=%llu ms=%lld jobs_waiting=%u records=%zu "
	    "batch_age_ms=%lld position=%llu batch_end=%llu "
	    "workers_age_ms=%lld jobs_age_ms=%lld",
	    obstacle_name(obstacle), (unsigned long long)placer->term,
	    (long long)(now_ms - undecided->since_ms), waiting, writer->count,
	    writer->count > 0 ? (long long)(now_ms - writer->sent_ms) : -1LL,
	    (unsigned long long)fw_follower_position(placer->parts.progress),
	    (unsigned long long)writer->end,
	    (long long)fw_age_shown_ms(
		fw_follower_age_ms(placer->parts.hosts, now_ms)),
	    (long long)fw_age_shown_ms(
		fw_follower_age_ms(placer->parts.jobs, now_ms)));
}

/* Begins anew to measure for how long the placer cannot decide, and logs the
 * time so far if its beginning was logged. */
void
fw_undecided_end(struct fw_placer *placer, const char *by, int64_t now_ms)
{
	struct fw_undecided *undecided = &placer->undecided;

	if (undecided->logged)
		ev_emit(EV_FLOW_UNDECIDED_OVER,
		    "by=%s term=%llu ms=%lld batch_unanswered_ms=%lld "
		    "follower_behind_ms=%lld workers_old_ms=%lld "
		    "jobs_old_ms=%lld",
		    by, (unsigned long long)placer->term,
		    (long long)(now_ms - undecided->since_ms),
		    (long long)undecided->ms[FW_OBSTACLE_BATCH],
		    (long long)undecided->ms[FW_OBSTACLE_FOLLOWER],
		    (long long)undecided->ms[FW_OBSTACLE_WORKERS],
		    (long long)undecided->ms[FW_OBSTACLE_JOBS]);
	memset(undecided, 0, sizeof(*undecided));
	undecided->since_ms = undecided->noted_ms = now_ms;
}
