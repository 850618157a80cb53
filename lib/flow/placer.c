#include <assert.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"

/* The store answers within 4 ms, or some hundred while it is slow. */
#define APPEND_TIMEOUT_MS 900
#define APPEND_RETRY_MS 100
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

/* One append; an answer that comes after a change of the duty is ignored. */
struct append_call {
	struct fw_placer *placer;
	uint64_t ticket;
};

static void on_append(void *ctx, enum fw_fate fate, uint64_t end);
static bool append(struct fw_placer *placer, struct fw_append *append);
static bool take_append(
    struct fw_placer *placer, enum fw_fate *fate, uint64_t *end);
static void go_idle(struct fw_placer *placer);
static void begin_term(struct fw_placer *placer, uint64_t term, int64_t now_ms);
static void fence(struct fw_placer *placer, int64_t now_ms);
static void load(struct fw_placer *placer, int64_t now_ms);
static int64_t step_gap_ms(const struct fw_placer *placer);
static void work(struct fw_placer *placer, int64_t now_ms, int64_t proven_ms);

static void
on_append(void *ctx, enum fw_fate fate, uint64_t end)
{
	struct append_call *call = ctx;
	struct fw_placer *placer = call->placer;

	pthread_mutex_lock(&placer->lock);
	if (call->ticket == placer->append_ticket) {
		placer->append_done = true;
		placer->append_fate = fate;
		placer->append_end = end;
	}
	placer->open--;
	pthread_mutex_unlock(&placer->lock);
	free(call);
	bd_publish(placer->parts.board);
}

/* Counts callbacks that are to come; the placer outlives them. */
void
fw_calls_open(struct fw_placer *placer, int added)
{
	pthread_mutex_lock(&placer->lock);
	placer->open += (uint32_t)added;
	pthread_mutex_unlock(&placer->lock);
}

/* Submits an append; its answer is taken by take_append. */
static bool
append(struct fw_placer *placer, struct fw_append *append)
{
	struct append_call *call = malloc(sizeof(*call));

	if (call == NULL)
		return false;
	pthread_mutex_lock(&placer->lock);
	placer->open++;
	placer->append_done = false;
	call->placer = placer;
	call->ticket = ++placer->append_ticket;
	pthread_mutex_unlock(&placer->lock);
	append->done = on_append;
	append->ctx = call;
	if (placer->parts.store.append(placer->parts.store.ctx, append) ==
	    CW_OK)
		return true;
	fw_calls_open(placer, -1);
	free(call);
	return false;
}

/* Returns whether the open append has been answered. */
static bool
take_append(struct fw_placer *placer, enum fw_fate *fate, uint64_t *end)
{
	bool done;

	pthread_mutex_lock(&placer->lock);
	done = placer->append_done;
	*fate = placer->append_fate;
	*end = placer->append_end;
	placer->append_done = false;
	pthread_mutex_unlock(&placer->lock);
	return done;
}

/* Adds a record to a batch, which owns the value from then on, also where this
 * returns FW_ENOMEM. */
int
fw_batch_add(struct fw_progress_batch *batch, enum fw_record_kind kind,
    const char *name, void *value, size_t bytes)
{
	struct fw_record *record;

	if (batch->count == batch->room) {
		size_t room = batch->room == 0 ? 32 : batch->room * 2;
		struct fw_record *grown =
		    realloc(batch->records, room * sizeof(*grown));

		if (grown == NULL) {
			free(value);
			return FW_ENOMEM;
		}
		batch->records = grown;
		batch->room = room;
	}
	record = &batch->records[batch->count++];
	memset(record, 0, sizeof(*record));
	fw_record_key(record->key, kind, name);
	record->value = value;
	record->value_bytes = bytes;
	return CW_OK;
}

/* Frees the records of a batch; nothing is open afterwards. */
void
fw_batch_clear(struct fw_progress_batch *batch)
{
	size_t i;

	for (i = 0; i < batch->count; i++)
		free((void *)(uintptr_t)batch->records[i].value);
	batch->count = 0;
	batch->end = 0;
}

/* Sends the batch. A repetition carries the same sequence number, which makes
 * it one append where the first was stored without an answer. */
void
fw_batch_send(struct fw_placer *placer, int64_t now_ms)
{
	struct fw_progress_batch *batch = &placer->batch;
	struct fw_append call = {.records = batch->records,
	    .count = batch->count,
	    .term = placer->term,
	    .sequence = batch->sequence,
	    .timeout_ms = APPEND_TIMEOUT_MS};

	batch->sent_ms = now_ms;
	batch->retry_ms =
	    append(placer, &call) ? INT64_MAX : now_ms + APPEND_RETRY_MS;
}

/* Follows an open batch. Returns true once there is none: its records have come
 * back through the log, so the board is as decided. */
bool
fw_batch_settled(struct fw_placer *placer, int64_t now_ms)
{
	struct fw_progress_batch *batch = &placer->batch;
	enum fw_fate fate;
	uint64_t end;

	if (batch->count == 0)
		return true;
	if (batch->end > 0) {
		if (fw_follower_position(placer->parts.jobs) < batch->end)
			return false;
		fw_batch_clear(batch);
		return true;
	}
	if (now_ms >= batch->retry_ms) {
		fw_batch_send(placer, now_ms);
		return false;
	}
	if (batch->retry_ms != INT64_MAX || !take_append(placer, &fate, &end))
		return false;
	if (fate == FW_FATE_DONE) {
		batch->end = end;
		fw_follower_catch_up(placer->parts.jobs, end);
		placer->sequence++;
		return fw_batch_settled(placer, now_ms);
	}
	ev_emit(EV_FLOW_APPEND_FAILED,
	    "term=%llu sequence=%llu records=%zu fate=%d age_ms=%lld",
	    (unsigned long long)placer->term,
	    (unsigned long long)batch->sequence, batch->count, (int)fate,
	    (long long)(now_ms - batch->sent_ms));
	if (fate == FW_FATE_FENCED)
		fw_duty_superseded(placer->parts.duty, placer->term);
	batch->retry_ms = now_ms + APPEND_RETRY_MS;
	return false;
}

static void
go_idle(struct fw_placer *placer)
{
	if (atomic_load(&placer->state) == FW_PLACER_IDLE)
		return;
	atomic_store(&placer->state, FW_PLACER_IDLE);
	placer->term = 0;
	pthread_mutex_lock(&placer->lock);
	placer->append_ticket++;
	placer->append_done = false;
	pthread_mutex_unlock(&placer->lock);
	fw_batch_clear(&placer->batch);
	fw_plans_clear(&placer->plans);
	fw_tables_clear(&placer->tables);
	fw_follower_gap(placer->parts.jobs, GAP_IDLE_MS);
	fw_follower_pause(placer->parts.hosts);
}

static void
begin_term(struct fw_placer *placer, uint64_t term, int64_t now_ms)
{
	go_idle(placer);
	placer->term = term;
	placer->sequence = 0;
	placer->retry_ms = now_ms;
	atomic_store(&placer->state, FW_PLACER_FENCING);
	fw_follower_gap(placer->parts.jobs, GAP_ACTIVE_MS);
	fw_follower_resume(placer->parts.hosts);
}

/* Makes the term known to the store, which refuses earlier placers from then
 * on. */
static void
fence(struct fw_placer *placer, int64_t now_ms)
{
	struct fw_append call = {
	    .term = placer->term, .timeout_ms = APPEND_TIMEOUT_MS};
	enum fw_fate fate;
	uint64_t end;

	if (placer->retry_ms == INT64_MAX) {
		if (!take_append(placer, &fate, &end))
			return;
		if (fate == FW_FATE_DONE) {
			placer->fence_end = end;
			fw_follower_catch_up(placer->parts.jobs, end);
			atomic_store(&placer->state, FW_PLACER_LOADING);
			return;
		}
		if (fate == FW_FATE_FENCED)
			fw_duty_superseded(placer->parts.duty, placer->term);
		placer->retry_ms = now_ms + APPEND_RETRY_MS;
	}
	if (now_ms >= placer->retry_ms && append(placer, &call))
		placer->retry_ms = INT64_MAX;
}

static void
load(struct fw_placer *placer, int64_t now_ms)
{
	const struct fw_placer_parts *parts = &placer->parts;

	if (!fw_follower_loaded(parts->jobs) ||
	    !fw_follower_loaded(parts->hosts) ||
	    fw_follower_position(parts->jobs) < placer->fence_end)
		return;
	placer->active_ms = now_ms;
	atomic_store(&placer->state, FW_PLACER_ACTIVE);
	ev_emit(EV_FLOW_PLACER_ACTIVE,
	    "term=%llu position=%llu jobs=%u "
	    "workers=%u",
	    (unsigned long long)placer->term,
	    (unsigned long long)placer->fence_end,
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
	bool settled = fw_batch_settled(placer, now_ms);
	bool due = now_ms - placer->decided_ms >= STEP_MS;

	bd_read_begin();
	due |= fw_runs_sync(placer, now_ms);
	placer->pending |= due;
	if (settled && placer->pending &&
	    fw_follower_age_ms(placer->parts.hosts, now_ms) <
		HOSTS_AGE_MAX_MS) {
		placer->pending = false;
		placer->decided_ms = now_ms;
		if (fw_decide(placer, now_ms)) {
			placer->batch.sequence = placer->sequence;
			fw_batch_send(placer, now_ms);
		}
	}
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
		begin_term(placer, term, now_ms);
	if (atomic_load(&placer->state) == FW_PLACER_ACTIVE &&
	    now_ms < placer->worked_ms + step_gap_ms(placer))
		return placer->worked_ms + step_gap_ms(placer);
	fw_orders_take(placer, now_ms);
	if (atomic_load(&placer->state) == FW_PLACER_FENCING)
		fence(placer, now_ms);
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
	placer->inbox_last = &placer->inbox;
	pthread_mutex_init(&placer->lock, NULL);
	fw_follower_gap(parts->jobs, GAP_IDLE_MS);
	fw_follower_pause(parts->hosts);
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
	fw_batch_clear(&placer->batch);
	free(placer->batch.records);
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
