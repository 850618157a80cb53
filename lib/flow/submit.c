#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"
#include "tombstone.h"

/* The store answers within 4 ms, plus 60 ms between regions, or within a few
 * hundred ms while it is slow. An append without an answer is repeated: only
 * the first record of a job is applied. */
#define APPEND_TIMEOUT_MS 650
#define RETRY_MS 60
/* If the store refuses appends, the call fails after this time rather than at
 * its deadline, so that the caller can try another VM. */
#define REFUSED_RETRY_MAX_MS 300
/* An append that is not answered by then fails, so that the caller can submit
 * the same job to another VM. */
#define UNKNOWN_RETRY_MAX_MS 1400
/* A call for a job that is not in the table waits for this part of its time, so
 * that its caller can still try another VM, or for MISSING_WAIT_MS if many do.
 */
#define MISSING_PATIENCE_MILLI 450
#define MISSING_WAIT_MS 300
/* Pending jobs are not counted if this VM's copy of the topic is older. */
#define STALENESS_MAX_MS 2600

enum call_state {
	CALL_PENDING,
	CALL_ANSWERED,
};

/* Shared by the caller's thread and the platform's thread; the last one to
 * release it frees it. */
struct append_call {
	struct bd_board *board;
	atomic_uint state; /* enum call_state */
	atomic_uint refs;
	enum fw_result result;
};

static void call_release(struct append_call *call);
static void on_done(void *ctx, enum fw_result result, uint64_t end);
static bool is_applied(
    const struct fw_front *front, const struct fw_record *record);
static bool tombstone_is_applied(
    const struct fw_front *front, const struct fw_record *record);
static int cancel_unknown(const struct fw_front *front, uint64_t queue,
    const char *name, int64_t wall_ms, int64_t deadline_ms);
static enum fw_result append_once(const struct fw_front *front,
    const struct fw_record *record, uint32_t timeout_ms);
static int append_with_retry(const struct fw_front *front,
    const struct fw_record *record, int64_t deadline_ms);
static bool lookup_state(
    const struct fw_front *front, uint64_t queue, uint64_t id, uint32_t *state);
static bool jobs_recent(const struct fw_front *front, int64_t now_ms);
static int check_size(const struct fw_front *front,
    const struct fw_record *record, size_t progress_bytes);
static int append_job(const struct fw_front *front,
    const struct fw_record *record, int64_t deadline_ms);
static int await_job(struct fw_front *front, uint64_t queue, const char *name,
    int64_t deadline_ms, uint32_t *state);

static void
call_release(struct append_call *call)
{
	if (atomic_fetch_sub(&call->refs, 1) == 1)
		free(call);
}

static void
on_done(void *ctx, enum fw_result result, uint64_t end)
{
	struct append_call *call = ctx;

	(void)end;
	call->result = result;
	atomic_store(&call->state, CALL_ANSWERED);
	bd_notify(call->board);
	call_release(call);
}

/* Returns whether the board reflects a tombstone. */
static bool
tombstone_is_applied(
    const struct fw_front *front, const struct fw_record *record)
{
	struct bd_tombstone row;
	bool applied;

	if (fw_tombstone_parse(record, &row) != CW_OK)
		return false;
	bd_read_begin();
	applied = fw_tombstone_of(front->board, row.id, row.queue) != NULL;
	bd_read_end();
	return applied;
}

/* Returns whether the board reflects a record, a job or a cancellation: an
 * append without an answer may have succeeded. */
static bool
is_applied(const struct fw_front *front, const struct fw_record *record)
{
	const struct bd_flow *flow;
	uint64_t id;
	bool applied;

	if (record->key[0] == FW_RECORD_TOMBSTONE)
		return tombstone_is_applied(front, record);
	if (!fw_flow_id_parse(record->key + 2, &id))
		return false;
	bd_read_begin();
	flow = bd_flow_lookup(front->board, id);
	applied = flow != NULL &&
	    (record->key[0] == FW_RECORD_JOB || flow->cancelled != 0);
	bd_read_end();
	return applied;
}

/* Sends one append and waits for its answer, or for its record to be read back
 * from the log. */
static enum fw_result
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
	enum fw_result result = FW_RESULT_UNKNOWN;

	if (call == NULL)
		return FW_RESULT_NOT_DONE;
	call->board = front->board;
	atomic_store(&call->refs, 2);
	if (front->store.append(front->store.ctx, &append) != CW_OK) {
		free(call);
		return FW_RESULT_NOT_DONE;
	}
	for (;;) {
		uint64_t seen = bd_notify_count(front->board);

		if (atomic_load(&call->state) == CALL_ANSWERED) {
			result = call->result;
			break;
		}
		if (is_applied(front, record)) {
			result = FW_RESULT_DONE;
			break;
		}
		bd_wait(front->board, seen, timeout_ms);
	}
	call_release(call);
	return result;
}

/* Stores a record. Returns FW_ESTORE if it is not stored and never will be,
 * FW_EUNKNOWN if the outcome is not known in time. */
static int
append_with_retry(const struct fw_front *front, const struct fw_record *record,
    int64_t deadline_ms)
{
	int64_t start_ms = cw_clock_mono_ms();
	bool unknown = false;

	/* Nothing is sent while the store does not answer, so that the outcome
	 * is certain: nothing was stored. */
	if (fw_follower_stalled(front->jobs, start_ms))
		return cw_error_set(FW_ESTORE, "the store is out of reach");
	for (;;) {
		int64_t now_ms = cw_clock_mono_ms();
		int64_t remaining_ms = deadline_ms - now_ms;
		enum fw_result result;

		if (remaining_ms <= 0)
			break;
		if (now_ms - start_ms >
		    (unknown ? UNKNOWN_RETRY_MAX_MS : REFUSED_RETRY_MAX_MS))
			break;
		result = append_once(front, record,
		    remaining_ms < APPEND_TIMEOUT_MS ? (uint32_t)remaining_ms
						     : APPEND_TIMEOUT_MS);
		if (result == FW_RESULT_DONE || is_applied(front, record))
			return CW_OK;
		unknown |= result == FW_RESULT_UNKNOWN;
		bd_wait(front->board, bd_notify_count(front->board), RETRY_MS);
	}
	return unknown ? cw_error_set(FW_EUNKNOWN, "the store has not answered")
		       : cw_error_set(FW_ESTORE, "the store refuses");
}

/* Checks that the store takes the record of a job, and later that of its
 * progress at its largest: a job without progress would never run. Returns
 * FW_EBADJOB. */
static int
check_size(const struct fw_front *front, const struct fw_record *record,
    size_t progress_bytes)
{
	const char *name = record->key + 2;
	size_t job_bytes = fw_record_bytes(name, record->value_bytes);

	progress_bytes = fw_record_bytes(name, progress_bytes);
	if (job_bytes <= front->record_bytes &&
	    progress_bytes <= front->record_bytes)
		return CW_OK;
	return cw_error_set(FW_EBADJOB,
	    "the job is too large: its description takes %zu bytes and its "
	    "progress up to %zu, and the store takes %u; use fewer tasks or a "
	    "shorter text",
	    job_bytes, progress_bytes, front->record_bytes);
}

/* Stores the record of a job that is not on the board. The row that it will
 * take is reserved before anything is sent. */
static int
append_job(const struct fw_front *front, const struct fw_record *record,
    int64_t deadline_ms)
{
	uint64_t id = 0;
	int code;

	fw_flow_id_parse(record->key + 2, &id);
	code = fw_admission_reserve(front->admission, id, cw_clock_mono_ms());
	if (code != CW_OK)
		return code;
	code = append_with_retry(front, record, deadline_ms);
	fw_admission_settle(front->admission, id, code, cw_clock_mono_ms());
	return code;
}

/*
 * Submits a job. It is durable when this returns CW_OK; submitting it again is
 * idempotent and needs no room. Returns FW_EBADJOB, FW_ENOMEM, FW_EFULL or
 * FW_ESTORE, after which the job never runs, or FW_EUNKNOWN.
 */
int
fw_submit(const struct fw_front *front, const struct fw_job_spec *spec,
    int64_t deadline_ms)
{
	struct fw_record record = {0};
	struct bd_flow *flow;
	size_t progress_bytes;
	size_t bytes;
	void *value;
	int code = fw_flow_build(spec, &flow, &bytes);

	if (code != CW_OK)
		return code;
	progress_bytes = fw_progress_bytes_max(flow);
	code = fw_job_encode(flow, &value, &bytes);
	free(flow);
	if (code != CW_OK)
		return code;
	fw_record_key(record.key, FW_RECORD_JOB, spec->name);
	record.value = value;
	record.value_bytes = bytes;
	if (!is_applied(front, &record)) {
		code = check_size(front, &record, progress_bytes);
		if (code == CW_OK)
			code = append_job(front, &record, deadline_ms);
	}
	free(value);
	return code;
}

/* Sets *state to the public state of a job. Returns false if the queue has no
 * such job. */
static bool
lookup_state(
    const struct fw_front *front, uint64_t queue, uint64_t id, uint32_t *state)
{
	const struct bd_flow *flow;
	bool found;

	bd_read_begin();
	flow = bd_flow_lookup(front->board, id);
	found = flow != NULL && flow->queue == queue;
	if (found)
		*state = fw_flow_public_state(flow);
	bd_read_end();
	return found;
}

/* Returns whether this VM's copy of the jobs is recent enough to count what is
 * there. */
static bool
jobs_recent(const struct fw_front *front, int64_t now_ms)
{
	return fw_follower_loaded(front->jobs) &&
	    fw_follower_age_ms(front->jobs, now_ms) <= STALENESS_MAX_MS;
}

/*
 * Looks up a job. Another VM may have accepted it just before the call: it is
 * missing for certain only once a read that was sent after the call has reached
 * the end of the topic. Without one in time, this VM cannot tell. Returns
 * FW_ENOJOB or FW_ESTALE.
 */
static int
await_job(struct fw_front *front, uint64_t queue, const char *name,
    int64_t deadline_ms, uint32_t *state)
{
	int64_t start_ms = cw_clock_mono_ms();
	int64_t wait_ms =
	    (deadline_ms - start_ms) * MISSING_PATIENCE_MILLI / 1000;
	int code = FW_ESTALE;
	uint64_t id;

	if (!fw_flow_id_parse(name, &id))
		return cw_error_set(
		    FW_ENOJOB, "a job's name has 16 hexadecimal digits");
	if (lookup_state(front, queue, id, state))
		return CW_OK;
	if (atomic_fetch_add(&front->held, 1) >= front->held_max &&
	    wait_ms > MISSING_WAIT_MS)
		wait_ms = MISSING_WAIT_MS;
	for (;;) {
		uint64_t seen = bd_notify_count(front->board);
		int64_t left_ms = start_ms + wait_ms - cw_clock_mono_ms();
		bool complete = fw_follower_age_ms(front->jobs, start_ms) < 0;

		/* What a complete copy has was there before this lookup. */
		if (lookup_state(front, queue, id, state))
			code = CW_OK;
		else if (complete)
			code = FW_ENOJOB;
		if (code != FW_ESTALE || left_ms <= 0)
			break;
		fw_follower_refresh(front->jobs);
		bd_wait(front->board, seen, left_ms);
	}
	atomic_fetch_sub(&front->held, 1);
	if (code == FW_ENOJOB)
		return cw_error_set(code, "there is no such job");
	if (code == FW_ESTALE)
		return cw_error_set(code,
		    "the store is out of reach: this VM cannot tell whether "
		    "there is such a job");
	return CW_OK;
}

/* Sets *state to the public state of a job. Returns FW_ENOJOB, or FW_ESTALE if
 * this VM's table is too old to tell that there is no such job. */
int
fw_job_state(struct fw_front *front, uint64_t queue, const char *name,
    int64_t deadline_ms, uint32_t *state)
{
	return await_job(front, queue, name, deadline_ms, state);
}

/* Stores that a job that is not known is cancelled, should its submission still
 * arrive. Returns FW_ENOJOB once it is stored, FW_EFULL, FW_ESTORE or
 * FW_EUNKNOWN. */
static int
cancel_unknown(const struct fw_front *front, uint64_t queue, const char *name,
    int64_t wall_ms, int64_t deadline_ms)
{
	char value[FW_TOMBSTONE_BYTES];
	struct fw_record record = {.value = value};
	int code = CW_OK;

	fw_tombstone_format(queue, wall_ms, value);
	fw_record_key(record.key, FW_RECORD_TOMBSTONE, name);
	record.value_bytes = strlen(value);
	if (!is_applied(front, &record)) {
		if (bd_row_count(front->board, BD_TABLE_tombstone) >=
		    FW_TOMBSTONES_MAX)
			return cw_error_set(FW_EFULL,
			    "too many jobs were cancelled that are not known");
		code = append_with_retry(front, &record, deadline_ms);
	}
	return code != CW_OK ? code
			     : cw_error_set(FW_ENOJOB, "there is no such job");
}

/* Cancels a job, after which none of its tasks starts. No effect on a job that
 * has ended. A job that is not known may be stored later, by a submission that
 * is on its way: after FW_ENOJOB it is cancelled then. Returns FW_ENOJOB,
 * FW_EFULL, FW_ESTALE, FW_ESTORE or FW_EUNKNOWN. */
int
fw_cancel(struct fw_front *front, uint64_t queue, const char *name,
    int64_t wall_ms, int64_t deadline_ms)
{
	struct fw_record record = {0};
	char value[24];
	uint32_t state = BD_FLOW_QUEUED;
	int code = await_job(front, queue, name, deadline_ms, &state);
	uint64_t id;

	if (code == FW_ENOJOB && fw_flow_id_parse(name, &id))
		return cancel_unknown(front, queue, name, wall_ms, deadline_ms);
	if (code != CW_OK || state >= BD_FLOW_COMPLETED)
		return code;
	fw_record_key(record.key, FW_RECORD_CANCEL, name);
	snprintf(value, sizeof(value), "%lld", (long long)wall_ms);
	record.value = value;
	record.value_bytes = strlen(value);
	return append_with_retry(front, &record, deadline_ms);
}

/* Sets *count to the number of accepted jobs of a queue that have not started a
 * task. Returns FW_ESTALE if this VM's table is too old to tell. */
int
fw_pending_jobs(const struct fw_front *front, uint64_t queue, int64_t now_ms,
    uint32_t *count)
{
	const struct bd_flow *flow;
	uint32_t cursor = 0;

	if (!jobs_recent(front, now_ms))
		return cw_error_set(FW_ESTALE, "the store is out of reach");
	*count = 0;
	bd_read_begin();
	while ((flow = bd_flow_next(front->board, &cursor)) != NULL)
		*count += flow->queue == queue &&
		    fw_flow_public_state(flow) == BD_FLOW_QUEUED;
	bd_read_end();
	return CW_OK;
}
