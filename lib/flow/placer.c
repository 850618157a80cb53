#include <assert.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"

/* The placer looks at its timers this often while it has the duty. */
#define STEP_MS 100
#define IDLE_MS 1000
/* Shortest time between two steps: a step takes about 1 us a run, so this keeps
 * steps under a twentieth of a core of usual speed. */
#define STEP_GAP_MS 3
#define RUNS_PER_GAP_MS 50
/* Records of earlier placers are read at once; other VMs read in larger steps,
 * as each read is paid for. */
#define GAP_ACTIVE_MS 0
#define GAP_IDLE_MS 150
/* Nothing is placed on workers whose entries may be older than this. */
#define HOSTS_AGE_MAX_MS 3000

static void go_idle(struct fw_placer *placer);
static void begin_term(struct fw_placer *placer, uint64_t term);
static void fence(struct fw_placer *placer, int64_t now_ms);
static void read_jobs(struct fw_placer *placer);
static void load(struct fw_placer *placer, int64_t now_ms);
static int64_t step_gap_ms(const struct fw_placer *placer);
static void work(struct fw_placer *placer, int64_t now_ms, int64_t proven_ms);

/* Counts callbacks that are to come; the placer outlives them. */
void
fw_calls_open(struct fw_placer *placer, int added)
{
	pthread_mutex_lock(&placer->lock);
	placer->open += (uint32_t)added;
	pthread_mutex_unlock(&placer->lock);
}

static void
go_idle(struct fw_placer *placer)
{
	if (atomic_load(&placer->state) == FW_PLACER_IDLE)
		return;
	atomic_store(&placer->state, FW_PLACER_IDLE);
	placer->term = 0;
	fw_writer_reset(&placer->progress);
	fw_writer_reset(&placer->shown);
	fw_plans_clear(&placer->plans);
	fw_tables_clear(&placer->tables);
	fw_follower_gap(placer->parts.jobs, GAP_IDLE_MS);
	fw_follower_pause(placer->parts.hosts);
	fw_follower_pause(placer->parts.progress);
}

static void
begin_term(struct fw_placer *placer, uint64_t term)
{
	go_idle(placer);
	placer->term = term;
	atomic_store(&placer->state, FW_PLACER_FENCING);
	fw_follower_gap(placer->parts.jobs, GAP_ACTIVE_MS);
	fw_follower_resume(placer->parts.hosts);
}

/* Makes the term known to both topics. Progress comes first: its fence keeps an
 * earlier placer from starting anything. */
static void
fence(struct fw_placer *placer, int64_t now_ms)
{
	if (!fw_writer_fence(&placer->progress, now_ms) ||
	    !fw_writer_fence(&placer->shown, now_ms))
		return;
	fw_follower_catch_up(placer->parts.jobs, placer->shown.fence_end);
	atomic_store(&placer->state, FW_PLACER_JOBS);
}

/* Progress is read once all jobs that it may name are known. */
static void
read_jobs(struct fw_placer *placer)
{
	const struct fw_placer_parts *parts = &placer->parts;

	if (!fw_follower_loaded(parts->jobs) ||
	    fw_follower_position(parts->jobs) < placer->shown.fence_end)
		return;
	fw_follower_resume(parts->progress);
	atomic_store(&placer->state, FW_PLACER_LOADING);
}

static void
load(struct fw_placer *placer, int64_t now_ms)
{
	const struct fw_placer_parts *parts = &placer->parts;

	if (!fw_follower_loaded(parts->progress) ||
	    !fw_follower_loaded(parts->hosts) ||
	    fw_follower_position(parts->progress) < placer->progress.fence_end)
		return;
	placer->active_ms = now_ms;
	atomic_store(&placer->state, FW_PLACER_ACTIVE);
	ev_emit(EV_FLOW_PLACER_ACTIVE,
	    "term=%llu position=%llu jobs=%u "
	    "workers=%u",
	    (unsigned long long)placer->term,
	    (unsigned long long)placer->progress.fence_end,
	    bd_count(parts->board, BD_TABLE_flow),
	    bd_count(parts->board, BD_TABLE_host));
}

/* A step looks at every run, so with many runs it takes in more changes at a
 * time. */
static int64_t
step_gap_ms(const struct fw_placer *placer)
{
	return STEP_GAP_MS + placer->tables.run_count / RUNS_PER_GAP_MS;
}

static void
work(struct fw_placer *placer, int64_t now_ms, int64_t proven_ms)
{
	bool settled = fw_writer_settled(&placer->progress, now_ms);
	bool due = now_ms - placer->decided_ms >= STEP_MS;

	bd_read_begin();
	due |= fw_runs_sync(placer, now_ms);
	placer->pending |= due;
	if (settled && placer->pending &&
	    fw_follower_age_ms(placer->parts.hosts, now_ms) <
		HOSTS_AGE_MAX_MS) {
		placer->pending = false;
		placer->decided_ms = now_ms;
		if (fw_decide(placer, now_ms))
			fw_writer_send(&placer->progress, now_ms);
	}
	if (fw_writer_settled(&placer->shown, now_ms))
		fw_show(placer, now_ms);
	fw_orders_send(placer, now_ms, proven_ms);
	bd_read_end();
}

/*
 * One step of the placing controller: takes what has come in, decides, and
 * sends. Only the process with the placing duty does anything. Returns when it
 * wants to run again, in ms.
 */
int64_t
fw_placer_step(void *ctx, int64_t now_ms)
{
	struct fw_placer *placer = ctx;
	int64_t proven_ms;
	uint64_t term = fw_duty_term(placer->parts.duty, &proven_ms);

	if (term == 0)
		go_idle(placer);
	else if (term != placer->term)
		begin_term(placer, term);
	if (atomic_load(&placer->state) == FW_PLACER_ACTIVE &&
	    now_ms < placer->worked_ms + step_gap_ms(placer))
		return placer->worked_ms + step_gap_ms(placer);
	fw_orders_take(placer, now_ms);
	if (atomic_load(&placer->state) == FW_PLACER_FENCING)
		fence(placer, now_ms);
	if (atomic_load(&placer->state) == FW_PLACER_JOBS)
		read_jobs(placer);
	if (atomic_load(&placer->state) == FW_PLACER_LOADING)
		load(placer, now_ms);
	if (atomic_load(&placer->state) == FW_PLACER_ACTIVE) {
		placer->worked_ms = now_ms;
		work(placer, now_ms, proven_ms);
	}
	return now_ms +
	    (atomic_load(&placer->state) == FW_PLACER_IDLE ? IDLE_MS : STEP_MS);
}

/* Makes a placer without the duty. Returns FW_ENOMEM. */
int
fw_placer_create(struct fw_placer **out, const struct fw_placer_parts *parts)
{
	struct fw_placer *placer = calloc(1, sizeof(*placer));

	if (placer == NULL || fw_tables_init(&placer->tables) != CW_OK) {
		free(placer);
		return cw_error_set(FW_ENOMEM, "no memory for the placer");
	}
	placer->parts = *parts;
	placer->progress.placer = placer->shown.placer = placer;
	placer->progress.topic = FW_TOPIC_PROGRESS;
	placer->progress.follower = parts->progress;
	placer->shown.topic = FW_TOPIC_JOBS;
	placer->shown.follower = parts->jobs;
	placer->inbox_last = &placer->inbox;
	pthread_mutex_init(&placer->lock, NULL);
	fw_follower_gap(parts->jobs, GAP_IDLE_MS);
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
	assert(placer->open == 0);
	while ((call = placer->inbox) != NULL) {
		placer->inbox = call->next;
		fw_report_free(&call->report);
		free(call);
	}
	fw_writer_free(&placer->progress);
	fw_writer_free(&placer->shown);
	fw_plans_clear(&placer->plans);
	fw_tables_free(&placer->tables);
	pthread_mutex_destroy(&placer->lock);
	free(placer);
}

/* Tells whether this process places at present. */
bool
fw_placer_active(const struct fw_placer *placer)
{
	return atomic_load(&((struct fw_placer *)placer)->state) ==
	    FW_PLACER_ACTIVE;
}
