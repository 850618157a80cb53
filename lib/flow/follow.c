#include <assert.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "follow_internal.h"
#include "record_buffer.h"

/* Delay after a failed read; doubles up to the maximum. */
#define RETRY_FIRST_MS 100
#define RETRY_MAX_MS 400
/* A read for a caller is sent in a later ms than its call arrived, so that its
 * send time tells that it came after the call. */
#define REFRESH_DELAY_MS 1

static void send_read(void *ctx, int64_t now_ms);
static void reload(void *ctx, int64_t now_ms);
static void reset_load(struct fw_follower *follower);
static void catch_up(void *ctx, int64_t now_ms);
static void on_caught_up(void *ctx, enum fw_result result, bool more,
    uint64_t end, int64_t sent_ms, int64_t now_ms);
static void refresh(void *ctx, int64_t now_ms);
static void on_refreshed(void *ctx, enum fw_result result, bool more,
    uint64_t end, int64_t sent_ms, int64_t now_ms);
static void schedule(struct fw_follower *follower, uint32_t delay_ms);
static void apply_next(
    struct fw_follower *follower, const struct fw_record *record);
static void on_record(void *ctx, const struct fw_record *record);
static void on_catch_up_record(void *ctx, const struct fw_record *record);
static void on_done(void *ctx, enum fw_result result, bool more, uint64_t end,
    int64_t sent_ms, int64_t now_ms);
static void on_end(void *ctx, enum fw_result result, bool more, uint64_t end,
    int64_t sent_ms, int64_t now_ms);
static void note_synced(struct fw_follower *follower, int64_t sent_ms);
static void note_answer(struct fw_follower *follower, uint64_t end);
static void ignore_record(void *ctx, const struct fw_record *record);
static void clear_buffered(struct fw_follower *follower);
static bool apply_buffered(struct fw_follower *follower, int64_t now_ms);
static void handle_failure(struct fw_follower *follower, enum fw_result result);

/* Sends the next read: of the next page during a load, of the end of the log
 * only, or of the records from the position on. */
static void
send_read(void *ctx, int64_t now_ms)
{
	struct fw_follower *follower = ctx;
	struct fw_read read = {.topic = follower->spec.topic,
	    .newest = follower->loading,
	    .from = atomic_load(&follower->position),
	    .wait_ms = follower->behind || follower->unanswered
		? 0
		: follower->spec.wait_ms,
	    .unanswered = follower->unanswered,
	    .record = on_record,
	    .done = on_done,
	    .ctx = follower};

	follower->read_pending = false;
	if (atomic_load(&follower->stopped) || atomic_load(&follower->paused))
		return;
	follower->read_pending = true;
	follower->now_ms = now_ms;
	follower->read_from = read.from;
	atomic_store(&follower->read_sent_ms, now_ms);
	memcpy(read.after, follower->cursor, sizeof(read.after));
	if (follower->end_unknown && !follower->loading) {
		read.end_only = true;
		read.record = ignore_record;
		read.done = on_end;
	}
	if (follower->store.read(follower->store.ctx, &read) != CW_OK)
		schedule(follower, RETRY_MAX_MS);
}

/* Starts a new load, at the latest once the pending read has ended. */
static void
reload(void *ctx, int64_t now_ms)
{
	struct fw_follower *follower = ctx;

	if (follower->read_pending) {
		follower->reload_pending = true;
		return;
	}
	reset_load(follower);
	send_read(follower, now_ms);
}

/* Prepares for a load from the first page. */
static void
reset_load(struct fw_follower *follower)
{
	clear_buffered(follower);
	follower->reload_pending = false;
	follower->loading = true;
	follower->first_page = true;
	follower->page_incomplete = false;
}

/* Sends one read that does not wait, in parallel with the waiting one. */
static void
catch_up(void *ctx, int64_t now_ms)
{
	struct fw_follower *follower = ctx;
	struct fw_read read = {.topic = follower->spec.topic,
	    .from = atomic_load(&follower->position),
	    .record = on_catch_up_record,
	    .done = on_caught_up,
	    .ctx = follower};

	if (atomic_load(&follower->stopped) || follower->loading ||
	    atomic_load(&follower->position) >=
		atomic_load(&follower->catch_up_end))
		return;
	follower->now_ms = now_ms;
	if (follower->store.read(follower->store.ctx, &read) != CW_OK)
		ev_emit(EV_FLOW_STORE_LOST, "topic=%d reason=\"%s\"",
		    (int)follower->spec.topic, cw_error_last());
}

/* Ignores failures: the waiting read continues either way. */
static void
on_caught_up(void *ctx, enum fw_result result, bool more, uint64_t end,
    int64_t sent_ms, int64_t now_ms)
{
	struct fw_follower *follower = ctx;

	(void)more;
	(void)now_ms;
	follower->held = false;
	if (result != FW_RESULT_DONE)
		return;
	if (atomic_load(&follower->position) >= end)
		note_synced(follower, sent_ms);
	bd_notify(follower->board);
}

/* Sends one read that does not wait, in parallel with the waiting one. */
static void
refresh(void *ctx, int64_t now_ms)
{
	struct fw_follower *follower = ctx;
	struct fw_read read = {.topic = follower->spec.topic,
	    .from = atomic_load(&follower->position),
	    .unanswered = follower->unanswered,
	    .record = on_catch_up_record,
	    .done = on_refreshed,
	    .ctx = follower};

	follower->refresh_from = read.from;
	if (!atomic_load(&follower->stopped) &&
	    !atomic_load(&follower->paused) && !follower->loading) {
		follower->now_ms = now_ms;
		if (follower->store.read(follower->store.ctx, &read) == CW_OK)
			return;
	}
	atomic_store(&follower->refresh_delay_ms, RETRY_FIRST_MS);
	atomic_store(&follower->refreshing, false);
}

/* Ends a refresh. One that brought nothing new is repeated after a delay. */
static void
on_refreshed(void *ctx, enum fw_result result, bool more, uint64_t end,
    int64_t sent_ms, int64_t now_ms)
{
	struct fw_follower *follower = ctx;
	uint64_t position = atomic_load(&follower->position);
	bool is_new = position > follower->refresh_from;

	(void)more;
	(void)now_ms;
	follower->held = false;
	if (result == FW_RESULT_DONE && end >= follower->refresh_from &&
	    position >= end) {
		note_synced(follower, sent_ms);
		is_new = true;
	}
	atomic_store(&follower->refresh_delay_ms,
	    is_new ? REFRESH_DELAY_MS : RETRY_FIRST_MS);
	atomic_store(&follower->refreshing, false);
	bd_notify(follower->board);
}

/* An answer with the end of the log only has no records. */
static void
ignore_record(void *ctx, const struct fw_record *record)
{
	(void)ctx;
	(void)record;
}

/* Notes that the board reflects all records that were stored before sent_ms. */
static void
note_synced(struct fw_follower *follower, int64_t sent_ms)
{
	if (sent_ms > atomic_load(&follower->synced_ms))
		atomic_store(&follower->synced_ms, sent_ms);
}

/* Sends the next read after a delay. */
static void
schedule(struct fw_follower *follower, uint32_t delay_ms)
{
	follower->read_pending = false;
	if (atomic_load(&follower->stopped))
		return;
	follower->read_pending = true;
	if (follower->store.after(
		follower->store.ctx, delay_ms, send_read, follower) != CW_OK)
		ev_emit(EV_FLOW_FOLLOW_ENDED, "topic=%d reason=\"%s\"",
		    (int)follower->spec.topic, cw_error_last());
}

/* Applies a record of the log unless it was applied before. If that fails, the
 * position stays, and no later record is applied before it. */
static void
apply_next(struct fw_follower *follower, const struct fw_record *record)
{
	/* The waiting read and a catch-up read may return the same records. */
	if (follower->held || record->offset < atomic_load(&follower->position))
		return;
	follower->held = follower->spec.record(follower->spec.ctx, record,
			     follower->now_ms) != CW_OK;
	if (follower->held)
		return;
	atomic_store(&follower->position, record->offset + 1);
}

static void
on_record(void *ctx, const struct fw_record *record)
{
	struct fw_follower *follower = ctx;

	if (!follower->loading) {
		apply_next(follower, record);
		return;
	}
	snprintf(follower->cursor, sizeof(follower->cursor), "%s",
	    record->cursor != NULL ? record->cursor : record->key);
	follower->page_read_ms = record->read_ms;
	/* Without memory the page counts as unread. */
	if (record->value != NULL &&
	    !fw_record_buffer_add(&follower->buffered, record))
		follower->page_incomplete = true;
}

/* Ignores the records if a load has begun since the read was sent: the load
 * returns them as well, or reading continues before them. */
static void
on_catch_up_record(void *ctx, const struct fw_record *record)
{
	struct fw_follower *follower = ctx;

	if (!follower->loading)
		apply_next(follower, record);
}

static void
clear_buffered(struct fw_follower *follower)
{
	fw_record_buffer_clear(&follower->buffered);
	follower->cursor[0] = '\0';
}

/* Applies the records of a complete snapshot. Reading continues at the end that
 * the log had at the first page, so that no record written between two pages is
 * missed; some records are applied twice. Returns false if a record could not
 * be applied; the load has then failed. */
static bool
apply_buffered(struct fw_follower *follower, int64_t now_ms)
{
	const struct fw_follow_spec *spec = &follower->spec;
	struct fw_record record;
	size_t i;

	fw_record_buffer_sort(&follower->buffered);
	if (spec->first != NULL)
		spec->first(spec->ctx);
	for (i = 0; i < follower->buffered.count; i++) {
		fw_record_buffer_get(&follower->buffered, i, &record);
		record.read_ms = follower->page_read_ms;
		if (spec->record(spec->ctx, &record, now_ms) != CW_OK)
			return false;
	}
	if (spec->last != NULL)
		spec->last(spec->ctx);
	ev_emit(EV_FLOW_LOADED, "topic=%d keys=%zu end=%llu", (int)spec->topic,
	    follower->buffered.count, (unsigned long long)follower->first_end);
	clear_buffered(follower);
	follower->loading = false;
	follower->behind = true;
	atomic_store(&follower->position, follower->first_end);
	/* Each record is at least as new as at the time of the first page. */
	if (spec->newest_suffices)
		note_synced(follower, follower->load_sent_ms);
	atomic_store(&follower->loaded, true);
	return true;
}

/* Handles a read that has failed: reads again after a delay, or loads again if
 * the records have expired or a load was in progress. */
static void
handle_failure(struct fw_follower *follower, enum fw_result result)
{
	follower->end_unknown = follower->spec.newest_suffices;
	follower->unanswered = result == FW_RESULT_UNKNOWN;
	if (follower->loading || result == FW_RESULT_EXPIRED)
		reset_load(follower);
	if (result == FW_RESULT_EXPIRED) {
		ev_emit(EV_FLOW_EXPIRED, "topic=%d position=%llu",
		    (int)follower->spec.topic,
		    (unsigned long long)atomic_load(&follower->position));
		schedule(follower, 0);
		return;
	}
	if (!atomic_exchange(&follower->read_failed, true)) {
		ev_emit(EV_FLOW_STORE_LOST, "topic=%d fate=%d",
		    (int)follower->spec.topic, (int)result);
	}
	schedule(follower, follower->retry_ms);
	follower->retry_ms *= 2;
	if (follower->retry_ms > RETRY_MAX_MS)
		follower->retry_ms = RETRY_MAX_MS;
}

/* Notes that a read was answered, and the end of the log that it returned. */
static void
note_answer(struct fw_follower *follower, uint64_t end)
{
	follower->retry_ms = RETRY_FIRST_MS;
	follower->unanswered = false;
	if (end < follower->read_from)
		ev_emit(EV_FLOW_END_BACK, "topic=%d position=%llu end=%llu",
		    (int)follower->spec.topic,
		    (unsigned long long)follower->read_from,
		    (unsigned long long)end);
	if (atomic_exchange(&follower->read_failed, false)) {
		ev_emit(
		    EV_FLOW_STORE_BACK, "topic=%d", (int)follower->spec.topic);
	}
}

/* Decides how to read on from the end of the log: wait for a record, read the
 * one that is missing, or skip to the newest records. */
static void
on_end(void *ctx, enum fw_result result, bool more, uint64_t end,
    int64_t sent_ms, int64_t now_ms)
{
	struct fw_follower *follower = ctx;
	uint64_t position = atomic_load(&follower->position);

	(void)more;
	(void)now_ms;
	if (follower->reload_pending)
		reset_load(follower);
	else if (result != FW_RESULT_DONE) {
		handle_failure(follower, result);
		return;
	} else {
		note_answer(follower, end);
		if (end < position) {
			schedule(follower, RETRY_MAX_MS);
			return;
		}
		follower->end_unknown = false;
		follower->behind = end > position;
		if (end == position)
			note_synced(follower, sent_ms);
		else if (end > position + 1)
			reset_load(follower);
		bd_notify(follower->board);
	}
	schedule(follower, 0);
}

/* Ends a read of records or of a page, and sends the next one. */
static void
on_done(void *ctx, enum fw_result result, bool more, uint64_t end,
    int64_t sent_ms, int64_t now_ms)
{
	struct fw_follower *follower = ctx;
	uint32_t read_interval_ms = atomic_load(&follower->read_interval_ms);
	int64_t elapsed_ms = now_ms - sent_ms;
	bool was_loading = follower->loading;
	uint64_t before = follower->read_from;
	bool held = follower->held;

	follower->held = false;
	if (follower->reload_pending) {
		reset_load(follower);
		schedule(follower, 0);
		return;
	}
	if (result == FW_RESULT_DONE && follower->page_incomplete) {
		ev_emit(EV_FLOW_NO_MEMORY, "what=page topic=%d",
		    (int)follower->spec.topic);
		result = FW_RESULT_NOT_DONE;
	}
	if (result != FW_RESULT_DONE) {
		handle_failure(follower, result);
		return;
	}
	note_answer(follower, end);
	if (follower->loading) {
		if (follower->first_page) {
			follower->first_end = end;
			follower->load_sent_ms = sent_ms;
		}
		follower->first_page = false;
		if (more) {
			schedule(follower, 0);
			return;
		}
		if (!apply_buffered(follower, now_ms)) {
			handle_failure(follower, FW_RESULT_NOT_DONE);
			return;
		}
	}
	if (held) {
		schedule(follower, RETRY_MAX_MS);
		return;
	}
	/* The board is as recent as this read only if the read has reached the
	 * end of the log. */
	if (!was_loading && atomic_load(&follower->position) >= end) {
		follower->behind = false;
		note_synced(follower, sent_ms);
	}
	bd_notify(follower->board);
	/* While the records were transferred, others may have been stored. */
	if (follower->spec.newest_suffices &&
	    (was_loading || atomic_load(&follower->position) != before)) {
		follower->end_unknown = true;
		schedule(follower, 0);
		return;
	}
	if (atomic_load(&follower->position) < end ||
	    elapsed_ms >= read_interval_ms)
		schedule(follower, 0);
	else
		schedule(follower, read_interval_ms - (uint32_t)elapsed_ms);
}

/*
 * Starts to follow a topic: loads a snapshot, the latest record of each key,
 * then reads each new record. Loads again if the next records have expired from
 * the log. Callbacks run on the platform's thread. Returns FW_ENOMEM.
 */
int
fw_follower_start(struct fw_follower **out, struct bd_board *board,
    const struct fw_store *store, const struct fw_follow_spec *spec)
{
	struct fw_follower *follower = calloc(1, sizeof(*follower));

	if (follower == NULL)
		return cw_error_set(
		    FW_ENOMEM, "out of memory while creating a follower");
	follower->board = board;
	follower->store = *store;
	follower->spec = *spec;
	follower->loading = true;
	follower->first_page = true;
	follower->retry_ms = RETRY_FIRST_MS;
	atomic_store(&follower->read_interval_ms, spec->read_interval_ms);
	atomic_store(&follower->synced_ms, INT64_MIN / 2);
	atomic_store(&follower->paused, spec->paused);
	atomic_store(&follower->refresh_delay_ms, REFRESH_DELAY_MS);
	*out = follower;
	if (!spec->paused)
		schedule(follower, 0);
	return CW_OK;
}

/* Sends no further reads until fw_follower_resume; rows that were read remain.
 */
void
fw_follower_pause(struct fw_follower *follower)
{
	atomic_store(&follower->paused, true);
}

/* Resumes reading with a new load; fw_follower_loaded returns false until the
 * load is complete. */
void
fw_follower_resume(struct fw_follower *follower)
{
	atomic_store(&follower->loaded, false);
	atomic_store(&follower->paused, false);
	if (follower->store.after(follower->store.ctx, 0, reload, follower) !=
	    CW_OK)
		ev_emit(EV_FLOW_FOLLOW_ENDED, "topic=%d reason=\"%s\"",
		    (int)follower->spec.topic, cw_error_last());
}

/* Sends no further reads. The platform's thread may still run one callback. */
void
fw_follower_stop(struct fw_follower *follower)
{
	atomic_store(&follower->stopped, true);
}

/* Call after the platform's thread has ended. */
void
fw_follower_free(struct fw_follower *follower)
{
	if (follower == NULL)
		return;
	clear_buffered(follower);
	fw_record_buffer_free(&follower->buffered);
	free(follower);
}

/* Reads at once up to an offset that an append has returned: the store does not
 * always wake a read that began to wait during the append. */
void
fw_follower_catch_up(struct fw_follower *follower, uint64_t end)
{
	atomic_store(&follower->catch_up_end, end);
	if (fw_follower_position(follower) >= end)
		return;
	if (follower->store.after(follower->store.ctx, 0, catch_up, follower) !=
	    CW_OK)
		ev_emit(EV_FLOW_FOLLOW_ENDED, "topic=%d reason=\"%s\"",
		    (int)follower->spec.topic, cw_error_last());
}

/*
 * Asks for a read of the log as it is now; bd_notify tells its end. One that is
 * under way goes on instead: call again after it, until fw_follower_age_ms
 * tells that a later read has reached the end. The waiting read does not
 * suffice: an answer without records covers what was stored before it was sent,
 * its wait ago.
 */
void
fw_follower_refresh(struct fw_follower *follower)
{
	if (atomic_exchange(&follower->refreshing, true))
		return;
	if (follower->store.after(follower->store.ctx,
		atomic_load(&follower->refresh_delay_ms), refresh,
		follower) != CW_OK) {
		ev_emit(EV_FLOW_STORE_LOST, "topic=%d reason=\"%s\"",
		    (int)follower->spec.topic, cw_error_last());
		atomic_store(&follower->refreshing, false);
	}
}
