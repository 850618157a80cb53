#include <assert.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"

/* Time to the next step if no event occurs, with and without the duty. */
#define STEP_MS 100
#define IDLE_MS 1000
/* Minimum time between two steps, and the number of runs that add 1 ms to it. A
 * step takes about 1 us per run, so steps use less than 5 % of a typical core.
 */
#define STEP_GAP_MS 3
#define RUNS_PER_EXTRA_MS 50
/* Minimum time between two reads of the jobs topic. The active placer reads
 * without delay; the other VMs batch their reads, as each one is charged. */
#define READ_GAP_ACTIVE_MS 0
#define READ_GAP_IDLE_MS 150
/* A start that is sent is carried out within this time. */
#define START_TRANSIT_MAX_MS 1000

static void go_idle(struct fw_placer *placer);
static void begin_term(struct fw_placer *placer, uint64_t term);
static void fence(struct fw_placer *placer, int64_t now_ms);
static void read_jobs(struct fw_placer *placer);
static void finish_loading(struct fw_placer *placer, int64_t now_ms);
static int64_t step_gap_ms(const struct fw_placer *placer);
static void run_active(struct fw_placer *placer, int64_t now_ms);

/* Changes the number of pending callbacks, which the placer must outlive. */
void
fw_callbacks_add(struct fw_placer *placer, int added)
{
	pthread_mutex_lock(&placer->lock);
	placer->callbacks_pending += (uint32_t)added;
	pthread_mutex_unlock(&placer->lock);
}

/* Ends the term: removes its runs and worker states, and discards its batches
 * and reservations. */
static void
go_idle(struct fw_placer *placer)
{
	if (atomic_load(&placer->state) == FW_PLACER_IDLE)
		return;
	atomic_store(&placer->state, FW_PLACER_IDLE);
	fw_undecided_end(placer, "term_ended", placer->undecided.noted_ms);
	placer->term = 0;
	fw_writer_reset(&placer->progress);
	fw_writer_reset(&placer->job_states);
	fw_reservations_clear(&placer->reservations);
	fw_waits_clear(&placer->waits);
	fw_stops_clear(&placer->stops);
	memset(&placer->watermark, 0, sizeof(placer->watermark));
	placer->decided_ms = placer->settled_ms = 0;
	fw_tables_clear(&placer->tables);
	fw_departures_end(placer->parts.departures);
	fw_follower_set_read_interval(placer->parts.jobs, READ_GAP_IDLE_MS);
	fw_follower_pause(placer->parts.hosts);
	fw_follower_pause(placer->parts.progress);
}

/* Begins a term; the next step fences earlier ones. */
static void
begin_term(struct fw_placer *placer, uint64_t term)
{
	go_idle(placer);
	placer->term = term;
	atomic_store(&placer->state, FW_PLACER_FENCING);
	fw_follower_set_read_interval(placer->parts.jobs, READ_GAP_ACTIVE_MS);
	fw_follower_resume(placer->parts.hosts);
}

/* Appends a fence with the term to both topics. The progress topic comes first:
 * its fence prevents earlier placers from starting runs. */
static void
fence(struct fw_placer *placer, int64_t now_ms)
{
	if (!fw_writer_fence(&placer->progress, now_ms) ||
	    !fw_writer_fence(&placer->job_states, now_ms))
		return;
	fw_follower_catch_up(placer->parts.jobs, placer->job_states.fence_end);
	atomic_store(&placer->state, FW_PLACER_READ_JOBS);
}

/* Starts to read progress once all jobs that it may refer to are known. */
static void
read_jobs(struct fw_placer *placer)
{
	const struct fw_placer_parts *parts = &placer->parts;

	if (!fw_follower_loaded(parts->jobs) ||
	    fw_follower_position(parts->jobs) < placer->job_states.fence_end)
		return;
	fw_follower_resume(parts->progress);
	atomic_store(&placer->state, FW_PLACER_READ_PROGRESS);
}

/* Becomes active once the workers and the progress up to the fence are known.
 */
static void
finish_loading(struct fw_placer *placer, int64_t now_ms)
{
	const struct fw_placer_parts *parts = &placer->parts;

	if (!fw_follower_loaded(parts->progress) ||
	    !fw_follower_loaded(parts->hosts) ||
	    fw_follower_position(parts->progress) < placer->progress.fence_end)
		return;
	placer->active_since_ms = now_ms;
	placer->earlier_leases_end_ms = fw_duty_gained_ms(parts->duty) +
	    fw_lease_max_ms(FW_LEASES_UNCONFIRMED_MS);
	placer->undecided.since_ms = placer->undecided.noted_ms = now_ms;
	atomic_store(&placer->state, FW_PLACER_ACTIVE);
	ev_emit(EV_FLOW_PLACER_ACTIVE,
	    "term=%llu position=%llu jobs=%u "
	    "workers=%u",
	    (unsigned long long)placer->term,
	    (unsigned long long)placer->progress.fence_end,
	    bd_row_count(parts->board, BD_TABLE_flow),
	    bd_row_count(parts->board, BD_TABLE_host));
}

/* Returns the minimum time between two steps. A step visits every run, so with
 * many runs each step handles more changes. */
static int64_t
step_gap_ms(const struct fw_placer *placer)
{
	return STEP_GAP_MS + placer->tables.run_count / RUNS_PER_EXTRA_MS;
}

/* Returns whether the copy of the jobs is recent enough to start tasks: of a
 * job whose cancellation is not in the copy, none starts too late. */
bool
fw_jobs_recent(const struct fw_placer *placer, int64_t now_ms)
{
	return fw_follower_age_ms(placer->parts.jobs, now_ms) <=
	    (int64_t)placer->parts.settings.cancel_ms - START_TRANSIT_MAX_MS;
}

/* Returns whether the copy of the evacuations is recent enough to start tasks.
 */
bool
fw_zones_recent(const struct fw_placer *placer, int64_t now_ms)
{
	return placer->parts.config == NULL ||
	    fw_zones_known(&placer->freeze, placer->parts.settings.evacuate_ms,
		fw_follower_age_ms(placer->parts.config, now_ms), now_ms);
}

/* Returns whether tasks may be started on a worker by the evacuations that are
 * known now. Of a worker that had no entry in this term the zone is not known.
 * Call within a read section. */
bool
fw_may_start_on(
    const struct fw_placer *placer, const struct fw_worker_state *worker)
{
	if (worker->zone == 0)
		return !fw_any_zone_evacuated(placer->parts.board);
	return !fw_zone_evacuated(placer->parts.board, worker->zone);
}

/* Makes a decision if one is due, publishes the states of jobs, and sends
 * orders to the workers. */
static void
run_active(struct fw_placer *placer, int64_t now_ms)
{
	enum fw_obstacle obstacle = fw_placer_obstacle(
	    placer, fw_writer_idle(&placer->progress, now_ms), now_ms);
	bool due = now_ms - placer->last_decision_ms >= STEP_MS;

	bd_read_begin();
	due |= fw_runs_sync(placer, now_ms);
	placer->decision_due |= due;
	fw_undecided_note(placer, obstacle, now_ms);
	if (placer->progress.count == 0 &&
	    placer->decided_ms > placer->settled_ms)
		placer->settled_ms = placer->decided_ms;
	if (obstacle == FW_OBSTACLE_NONE && placer->decision_due) {
		placer->decision_due = false;
		placer->last_decision_ms = now_ms;
		if (fw_decide(placer, now_ms)) {
			placer->decided_ms = placer->boot_ms;
			fw_writer_send(&placer->progress, now_ms);
		} else
			placer->settled_ms = placer->boot_ms;
	}
	if (fw_writer_idle(&placer->job_states, now_ms))
		fw_publish_states(placer, now_ms);
	fw_orders_send(placer, now_ms);
	bd_read_end();
}

/*
 * One step of the placing controller: processes the answers that have arrived,
 * decides, and sends records and orders. Does nothing in a process without the
 * placing duty. Returns the time of the next step, in monotonic ms.
 */
int64_t
fw_placer_step(void *ctx, int64_t now_ms)
{
	struct fw_placer *placer = ctx;
	uint64_t term =
	    fw_duty_term(placer->parts.duty, &placer->duty_confirmed_ms);

	placer->boot_ms = placer->parts.boot_ms(placer->parts.ctx);
	fw_freeze_look(&placer->freeze, now_ms, placer->boot_ms);
	if (term == 0)
		go_idle(placer);
	else if (term != placer->term)
		begin_term(placer, term);
	if (atomic_load(&placer->state) == FW_PLACER_ACTIVE &&
	    now_ms < placer->last_step_ms + step_gap_ms(placer))
		return placer->last_step_ms + step_gap_ms(placer);
	fw_answers_handle(placer, now_ms);
	if (atomic_load(&placer->state) == FW_PLACER_FENCING)
		fence(placer, now_ms);
	if (atomic_load(&placer->state) == FW_PLACER_READ_JOBS)
		read_jobs(placer);
	if (atomic_load(&placer->state) == FW_PLACER_READ_PROGRESS)
		finish_loading(placer, now_ms);
	if (atomic_load(&placer->state) == FW_PLACER_ACTIVE) {
		placer->last_step_ms = now_ms;
		run_active(placer, now_ms);
	}
	return now_ms +
	    (atomic_load(&placer->state) == FW_PLACER_IDLE ? IDLE_MS : STEP_MS);
}

/* Creates a placer, idle until it obtains the duty. Returns FW_ENOMEM. */
int
fw_placer_create(struct fw_placer **out, const struct fw_placer_parts *parts)
{
	struct fw_placer *placer = calloc(1, sizeof(*placer));

	if (placer == NULL || fw_tables_init(&placer->tables) != CW_OK) {
		free(placer);
		return cw_error_set(
		    FW_ENOMEM, "out of memory while creating the placer");
	}
	placer->parts = *parts;
	placer->tables.ack_timeout_ms = parts->settings.ack_timeout_ms;
	placer->tables.lease_max_ms = fw_lease_max_ms(parts->settings.lease_ms);
	placer->progress.placer = placer->job_states.placer = placer;
	placer->progress.topic = FW_TOPIC_PROGRESS;
	placer->progress.follower = parts->progress;
	placer->job_states.topic = FW_TOPIC_JOBS;
	placer->job_states.follower = parts->jobs;
	placer->inbox_last = &placer->inbox;
	pthread_mutex_init(&placer->lock, NULL);
	fw_follower_set_read_interval(parts->jobs, READ_GAP_IDLE_MS);
	fw_follower_pause(parts->hosts);
	fw_follower_pause(parts->progress);
	*out = placer;
	return CW_OK;
}

/* Frees the placer, after the platform's thread has ended. */
void
fw_placer_free(struct fw_placer *placer)
{
	struct fw_call *call;

	if (placer == NULL)
		return;
	assert(placer->callbacks_pending == 0);
	while ((call = placer->inbox) != NULL) {
		placer->inbox = call->next;
		fw_report_free(&call->report);
		free(call);
	}
	fw_writer_free(&placer->progress);
	fw_writer_free(&placer->job_states);
	fw_waits_clear(&placer->waits);
	fw_stops_clear(&placer->stops);
	fw_reservations_clear(&placer->reservations);
	fw_tables_free(&placer->tables);
	pthread_mutex_destroy(&placer->lock);
	free(placer);
}

/* Returns whether this process is the active placer. */
bool
fw_placer_active(const struct fw_placer *placer)
{
	return atomic_load(&((struct fw_placer *)placer)->state) ==
	    FW_PLACER_ACTIVE;
}
