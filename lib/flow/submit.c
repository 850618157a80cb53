#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"

/* The store answers within 4 ms, 60 more between regions, or some hundred while
 * it is slow. Without an answer the append is repeated: records of the same job
 * are one job. */
#define APPEND_TIMEOUT_MS 650
#define RETRY_MS 60
/* Where the store refuses, callers do better with another VM than with a wait
 * until their deadline. */
#define REFUSED_MAX_MS 300
/* A caller whose append is not answered by then does better with another VM,
 * where the same job may be handed in again. */
#define UNKNOWN_MAX_MS 1400
/* A job that another VM has just accepted is known here within this. */
#define LOOK_MS 300
/* Older knowledge is not used to say that a job does not exist. */
#define AGE_MAX_MS 2600

enum call_state {
	CALL_OPEN,
	CALL_ANSWERED,
};

/* Shared by the caller's thread and the platform's; the last one frees it. */
struct append_call {
	struct bd_board *board;
	atomic_uint state; /* enum call_state */
	atomic_uint owners;
	enum fw_fate fate;
};

static void call_release(struct append_call *call);
static void on_done(void *ctx, enum fw_fate fate, uint64_t end);
static bool is_there(
    const struct fw_front *front, const struct fw_record *record);
static enum fw_fate append_once(const struct fw_front *front,
    const struct fw_record *record, uint32_t timeout_ms);
static int append(const struct fw_front *front, const struct fw_record *record,
    int64_t deadline_ms);
static bool known(
    const struct fw_front *front, uint64_t queue, uint64_t id, uint32_t *state);
static int find(const struct fw_front *front, uint64_t queue, const char *name,
    int64_t deadline_ms, uint32_t *state);

static void
call_release(struct append_call *call)
{
	if (atomic_fetch_sub(&call->owners, 1) == 1)
		free(call);
}

static void
on_done(void *ctx, enum fw_fate fate, uint64_t end)
{
	struct append_call *call = ctx;

	(void)end;
	call->fate = fate;
	atomic_store(&call->state, CALL_ANSWERED);
	bd_publish(call->board);
	call_release(call);
}

/* An append without an answer may still have come through the log. */
static bool
is_there(const struct fw_front *front, const struct fw_record *record)
{
	const struct bd_flow *flow;
	uint64_t id;
	bool there;

	if (!fw_flow_id(record->key + 2, &id))
		return false;
	bd_read_begin();
	flow = bd_flow_lookup(front->board, id);
	there = flow != NULL &&
	    (record->key[0] == FW_RECORD_JOB || flow->cancelled != 0);
	bd_read_end();
	return there;
}

static enum fw_fate
append_once(const struct fw_front *front, const struct fw_record *record,
    uint32_t timeout_ms)
{
	struct append_call *call = calloc(1, sizeof(*call));
	struct fw_append append = {.topic = FW_TOPIC_JOBS,
	    .records = record,
	    .count = 1,
	    .timeout_ms = timeout_ms,
	    .done = on_done,
	    .ctx = call};
	enum fw_fate fate = FW_FATE_UNKNOWN;

	if (call == NULL)
		return FW_FATE_NOT_DONE;
	call->board = front->board;
	atomic_store(&call->owners, 2);
	if (front->store.append(front->store.ctx, &append) != CW_OK) {
		free(call);
		return FW_FATE_NOT_DONE;
	}
	for (;;) {
		uint64_t seen = bd_version(front->board);

		if (atomic_load(&call->state) == CALL_ANSWERED) {
			fate = call->fate;
			break;
		}
		if (is_there(front, record)) {
			fate = FW_FATE_DONE;
			break;
		}
		bd_wait(front->board, seen, timeout_ms);
	}
	call_release(call);
	return fate;
}

/* Stores a record. Returns FW_ESTORE where it certainly is not and will not be
 * stored, FW_EUNKNOWN where that cannot be said by the deadline. */
static int
append(const struct fw_front *front, const struct fw_record *record,
    int64_t deadline_ms)
{
	int64_t start_ms = cw_clock_mono_ms();
	bool unknown = false;

	/* Nothing is sent where no answer is to be expected, so that the caller
	 * can be told that nothing was stored. */
	if (fw_follower_silent(front->jobs, start_ms))
		return cw_error_set(FW_ESTORE, "the store is out of reach");
	for (;;) {
		int64_t now_ms = cw_clock_mono_ms();
		int64_t left_ms = deadline_ms - now_ms;
		enum fw_fate fate;

		if (left_ms <= 0)
			break;
		if (now_ms - start_ms >
		    (unknown ? UNKNOWN_MAX_MS : REFUSED_MAX_MS))
			break;
		fate = append_once(front, record,
		    left_ms < APPEND_TIMEOUT_MS ? (uint32_t)left_ms
						: APPEND_TIMEOUT_MS);
		if (fate == FW_FATE_DONE || is_there(front, record))
			return CW_OK;
		unknown |= fate == FW_FATE_UNKNOWN;
		bd_wait(front->board, bd_version(front->board), RETRY_MS);
	}
	return unknown ? cw_error_set(FW_EUNKNOWN, "the store has not answered")
		       : cw_error_set(FW_ESTORE, "the store refuses");
}

/*
 * Accepts a job: it is stored when this returns CW_OK, once, however often it
 * is submitted. Returns FW_EBADJOB, FW_ENOMEM or FW_ESTORE, after which the job
 * never runs, or FW_EUNKNOWN.
 */
int
fw_submit(const struct fw_front *front, const struct fw_spec *spec,
    int64_t deadline_ms)
{
	struct fw_record record = {0};
	struct bd_flow *flow;
	size_t bytes;
	void *value;
	int code = fw_flow_build(spec, &flow, &bytes);

	if (code != CW_OK)
		return code;
	code = fw_job_encode(flow, &value, &bytes);
	free(flow);
	if (code != CW_OK)
		return code;
	fw_record_key(record.key, FW_RECORD_JOB, spec->name);
	record.value = value;
	record.value_bytes = bytes;
	code = is_there(front, &record) ? CW_OK
					: append(front, &record, deadline_ms);
	free(value);
	return code;
}

static bool
known(
    const struct fw_front *front, uint64_t queue, uint64_t id, uint32_t *state)
{
	const struct bd_flow *flow;
	bool found;

	bd_read_begin();
	flow = bd_flow_lookup(front->board, id);
	found = flow != NULL && flow->queue == queue;
	if (found)
		*state = fw_flow_shown(flow);
	bd_read_end();
	return found;
}

/* Waits a little for a job that another VM has just accepted. */
static int
find(const struct fw_front *front, uint64_t queue, const char *name,
    int64_t deadline_ms, uint32_t *state)
{
	int64_t until_ms = cw_clock_mono_ms() + LOOK_MS;
	uint64_t id;

	if (!fw_flow_id(name, &id))
		return cw_error_set(FW_ENOJOB,
		    "a job's name has 16 "
		    "hexadecimal digits");
	if (until_ms > deadline_ms)
		until_ms = deadline_ms;
	for (;;) {
		uint64_t seen = bd_version(front->board);
		int64_t now_ms = cw_clock_mono_ms();

		if (known(front, queue, id, state))
			return CW_OK;
		if (now_ms >= until_ms)
			break;
		bd_wait(front->board, seen, until_ms - now_ms);
	}
	if (!fw_follower_loaded(front->jobs) ||
	    fw_follower_age_ms(front->jobs, cw_clock_mono_ms()) > AGE_MAX_MS)
		return cw_error_set(FW_ESTALE, "the store is out of reach");
	return cw_error_set(FW_ENOJOB, "there is no such job");
}

/* Reads the state of a job. Returns FW_ENOJOB, or FW_ESTALE where this VM
 * cannot know. */
int
fw_state(const struct fw_front *front, uint64_t queue, const char *name,
    int64_t deadline_ms, uint32_t *state)
{
	return find(front, queue, name, deadline_ms, state);
}

/* Cancels a job; nothing of it starts afterwards. A job that has ended stays as
 * it is. Returns FW_ENOJOB, FW_ESTALE, FW_ESTORE or FW_EUNKNOWN. */
int
fw_cancel(const struct fw_front *front, uint64_t queue, const char *name,
    int64_t wall_ms, int64_t deadline_ms)
{
	struct fw_record record = {0};
	char value[24];
	uint32_t state = BD_FLOW_QUEUED;
	int code = find(front, queue, name, deadline_ms, &state);

	if (code != CW_OK || state >= BD_FLOW_COMPLETED)
		return code;
	fw_record_key(record.key, FW_RECORD_CANCEL, name);
	snprintf(value, sizeof(value), "%lld", (long long)wall_ms);
	record.value = value;
	record.value_bytes = strlen(value);
	return append(front, &record, deadline_ms);
}

/* Returns how many accepted jobs of a queue have not started a task. */
uint32_t
fw_pending(const struct bd_board *board, uint64_t queue)
{
	const struct bd_flow *flow;
	uint32_t cursor = 0;
	uint32_t count = 0;

	bd_read_begin();
	while ((flow = bd_flow_next(board, &cursor)) != NULL)
		count += flow->queue == queue &&
		    fw_flow_shown(flow) == BD_FLOW_QUEUED;
	bd_read_end();
	return count;
}

/* Finds the queue of a call: the longest prefix of the path among the queues of
 * the host name. Call within a read section. */
const struct bd_queue *
fw_queue_find(const struct bd_board *board, const char *host, const char *path)
{
	const struct bd_queue *best = NULL;
	const struct bd_queue *queue;
	size_t best_length = 0;
	uint32_t cursor = 0;

	while ((queue = bd_queue_next(board, &cursor)) != NULL) {
		size_t length = strlen(queue->prefix);

		if (strcmp(queue->host, host) != 0 ||
		    strncmp(queue->prefix, path, length) != 0 ||
		    (best != NULL && length <= best_length))
			continue;
		best = queue;
		best_length = length;
	}
	return best;
}
