#include <assert.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"

/* Pause after a failed read; doubled up to the limit. */
#define RETRY_FIRST_MS 100
#define RETRY_MAX_MS 400
/* An answer that is later than this is missed; the store answers within some
 * ms, some hundred while it is slow. */
#define OVERDUE_MS 700

/* A record of a reading of the newest ones, until all pages are there. */
struct kept {
	struct fw_record record;
	char *value;
};

struct fw_follower {
	struct bd_board *board;
	struct fw_store store;
	struct fw_follow_spec spec;
	atomic_bool stop;
	atomic_bool loaded;
	atomic_uint gap_ms;
	atomic_uint_least64_t position; /* of the next record */
	atomic_uint_least64_t wanted;   /* see fw_follower_catch_up */
	atomic_int_least64_t fresh_ms;  /* send time of the last good read */
	atomic_int_least64_t issued_ms; /* send time of the open read */
	atomic_bool lost;               /* the last read has failed */
	atomic_bool paused;
	/* Of the platform's thread: */
	bool open;    /* a read or the timer before it is under way */
	bool restart; /* begin with the newest records after that */
	bool newest;
	char after[FW_KEY_BYTES];
	uint64_t first_end; /* end of the log at the first page */
	bool first_page;
	bool behind; /* the end has not been read since the newest ones */
	struct kept *kept;
	size_t kept_count;
	size_t kept_room;
	uint32_t retry_ms;
	int64_t now_ms;
};

static void issue(void *ctx, int64_t now_ms);
static void begin(void *ctx, int64_t now_ms);
static void restart(struct fw_follower *follower);
static void catch_up(void *ctx, int64_t now_ms);
static void on_caught_up(void *ctx, enum fw_fate fate, bool more, uint64_t end,
    int64_t sent_ms, int64_t now_ms);
static void schedule(struct fw_follower *follower, uint32_t delay_ms);
static void on_record(void *ctx, const struct fw_record *record);
static void on_done(void *ctx, enum fw_fate fate, bool more, uint64_t end,
    int64_t sent_ms, int64_t now_ms);
static void keep(struct fw_follower *follower, const struct fw_record *record);
static void drop_kept(struct fw_follower *follower);
static int compare_kept(const void *a, const void *b);
static void apply_kept(struct fw_follower *follower, int64_t now_ms);
static void failed(struct fw_follower *follower, enum fw_fate fate);

static void
issue(void *ctx, int64_t now_ms)
{
	struct fw_follower *follower = ctx;
	struct fw_read read = {.topic = follower->spec.topic,
	    .newest = follower->newest,
	    .from = atomic_load(&follower->position),
	    .wait_ms = follower->behind ? 0 : follower->spec.wait_ms,
	    .record = on_record,
	    .done = on_done,
	    .ctx = follower};

	follower->open = false;
	if (atomic_load(&follower->stop) || atomic_load(&follower->paused))
		return;
	follower->open = true;
	follower->now_ms = now_ms;
	atomic_store(&follower->issued_ms, now_ms);
	memcpy(read.after, follower->after, sizeof(read.after));
	if (follower->store.read(follower->store.ctx, &read) != CW_OK)
		schedule(follower, RETRY_MAX_MS);
}

/* Starts over with the newest records, once the open read has ended. */
static void
begin(void *ctx, int64_t now_ms)
{
	struct fw_follower *follower = ctx;

	if (follower->open) {
		follower->restart = true;
		return;
	}
	restart(follower);
	issue(follower, now_ms);
}

static void
restart(struct fw_follower *follower)
{
	drop_kept(follower);
	follower->restart = false;
	follower->newest = true;
	follower->first_page = true;
}

/* Reads once without waiting, beside the read that waits. */
static void
catch_up(void *ctx, int64_t now_ms)
{
	struct fw_follower *follower = ctx;
	struct fw_read read = {.topic = follower->spec.topic,
	    .from = atomic_load(&follower->position),
	    .record = on_record,
	    .done = on_caught_up,
	    .ctx = follower};

	if (atomic_load(&follower->stop) || follower->newest ||
	    atomic_load(&follower->position) >= atomic_load(&follower->wanted))
		return;
	follower->now_ms = now_ms;
	if (follower->store.read(follower->store.ctx, &read) != CW_OK)
		ev_emit(EV_FLOW_STORE_LOST, "topic=%d reason=\"%s\"",
		    (int)follower->spec.topic, cw_error_last());
}

/* The waiting read goes on, whatever the answer was. */
static void
on_caught_up(void *ctx, enum fw_fate fate, bool more, uint64_t end,
    int64_t sent_ms, int64_t now_ms)
{
	struct fw_follower *follower = ctx;

	(void)more;
	(void)now_ms;
	if (fate != FW_FATE_DONE)
		return;
	if (atomic_load(&follower->position) >= end &&
	    sent_ms > atomic_load(&follower->fresh_ms))
		atomic_store(&follower->fresh_ms, sent_ms);
	bd_publish(follower->board);
}

static void
schedule(struct fw_follower *follower, uint32_t delay_ms)
{
	follower->open = false;
	if (atomic_load(&follower->stop))
		return;
	follower->open = true;
	if (follower->store.after(
		follower->store.ctx, delay_ms, issue, follower) != CW_OK)
		ev_emit(EV_FLOW_FOLLOW_ENDED, "topic=%d reason=\"%s\"",
		    (int)follower->spec.topic, cw_error_last());
}

static void
keep(struct fw_follower *follower, const struct fw_record *record)
{
	struct kept *kept;

	if (follower->kept_count == follower->kept_room) {
		size_t room =
		    follower->kept_room == 0 ? 64 : follower->kept_room * 2;
		struct kept *grown =
		    realloc(follower->kept, room * sizeof(*grown));

		if (grown == NULL) {
			ev_emit(EV_FLOW_RECORD_BAD,
			    "key=%s reason=\"out of memory\"", record->key);
			return;
		}
		follower->kept = grown;
		follower->kept_room = room;
	}
	kept = &follower->kept[follower->kept_count];
	kept->record = *record;
	kept->value = malloc(record->value_bytes + 1);
	if (kept->value == NULL) {
		ev_emit(EV_FLOW_RECORD_BAD, "key=%s reason=\"out of memory\"",
		    record->key);
		return;
	}
	memcpy(kept->value, record->value, record->value_bytes);
	kept->record.value = kept->value;
	follower->kept_count++;
}

static void
on_record(void *ctx, const struct fw_record *record)
{
	struct fw_follower *follower = ctx;

	if (follower->newest) {
		memcpy(follower->after, record->key, sizeof(follower->after));
		if (record->value != NULL)
			keep(follower, record);
		return;
	}
	if (record->offset < atomic_load(&follower->position))
		return;
	follower->spec.record(follower->spec.ctx, record, follower->now_ms);
	atomic_store(&follower->position, record->offset + 1);
}

static void
drop_kept(struct fw_follower *follower)
{
	size_t i;

	for (i = 0; i < follower->kept_count; i++)
		free(follower->kept[i].value);
	follower->kept_count = 0;
	follower->after[0] = '\0';
}

/* Jobs come before what is said of them, all else in the order of the log. */
static int
compare_kept(const void *a, const void *b)
{
	const struct fw_record *x = &((const struct kept *)a)->record;
	const struct fw_record *y = &((const struct kept *)b)->record;
	bool x_job = x->key[0] == FW_RECORD_JOB;
	bool y_job = y->key[0] == FW_RECORD_JOB;

	if (x_job != y_job)
		return x_job ? -1 : 1;
	return (x->offset > y->offset) - (x->offset < y->offset);
}

static void
apply_kept(struct fw_follower *follower, int64_t now_ms)
{
	const struct fw_follow_spec *spec = &follower->spec;
	size_t i;

	if (follower->kept_count > 0)
		qsort(follower->kept, follower->kept_count,
		    sizeof(*follower->kept), compare_kept);
	if (spec->first != NULL)
		spec->first(spec->ctx);
	for (i = 0; i < follower->kept_count; i++)
		spec->record(spec->ctx, &follower->kept[i].record, now_ms);
	if (spec->last != NULL)
		spec->last(spec->ctx);
	ev_emit(EV_FLOW_LOADED, "topic=%d keys=%zu end=%llu", (int)spec->topic,
	    follower->kept_count, (unsigned long long)follower->first_end);
	drop_kept(follower);
	follower->newest = false;
	follower->behind = true;
	atomic_store(&follower->position, follower->first_end);
	atomic_store(&follower->loaded, true);
}

static void
failed(struct fw_follower *follower, enum fw_fate fate)
{
	if (follower->newest) {
		drop_kept(follower);
		follower->first_page = true;
	}
	if (fate == FW_FATE_EXPIRED) {
		ev_emit(EV_FLOW_EXPIRED, "topic=%d position=%llu",
		    (int)follower->spec.topic,
		    (unsigned long long)atomic_load(&follower->position));
		follower->newest = true;
		follower->first_page = true;
		schedule(follower, 0);
		return;
	}
	if (!atomic_exchange(&follower->lost, true)) {
		ev_emit(EV_FLOW_STORE_LOST, "topic=%d fate=%d",
		    (int)follower->spec.topic, (int)fate);
	}
	schedule(follower, follower->retry_ms);
	follower->retry_ms *= 2;
	if (follower->retry_ms > RETRY_MAX_MS)
		follower->retry_ms = RETRY_MAX_MS;
}

static void
on_done(void *ctx, enum fw_fate fate, bool more, uint64_t end, int64_t sent_ms,
    int64_t now_ms)
{
	struct fw_follower *follower = ctx;
	uint32_t gap_ms = atomic_load(&follower->gap_ms);
	int64_t passed_ms = now_ms - sent_ms;
	bool pages = follower->newest;

	if (follower->restart) {
		restart(follower);
		schedule(follower, 0);
		return;
	}
	if (fate != FW_FATE_DONE) {
		failed(follower, fate);
		return;
	}
	follower->retry_ms = RETRY_FIRST_MS;
	if (atomic_exchange(&follower->lost, false)) {
		ev_emit(
		    EV_FLOW_STORE_BACK, "topic=%d", (int)follower->spec.topic);
	}
	if (follower->newest) {
		if (follower->first_page)
			follower->first_end = end;
		follower->first_page = false;
		if (more) {
			schedule(follower, 0);
			return;
		}
		apply_kept(follower, now_ms);
	}
	/* Only who has read up to the end knows what had been written by then.
	 */
	if (!pages && atomic_load(&follower->position) >= end) {
		follower->behind = false;
		atomic_store(&follower->fresh_ms, sent_ms);
	}
	bd_publish(follower->board);
	if (atomic_load(&follower->position) < end || passed_ms >= gap_ms)
		schedule(follower, 0);
	else
		schedule(follower, gap_ms - (uint32_t)passed_ms);
}

/*
 * Starts to follow a topic: first the newest record of each key, then each new
 * record; where records have expired, the newest ones again. Callbacks run on
 * the platform's thread. Returns FW_ENOMEM.
 */
int
fw_follower_start(struct fw_follower **out, struct bd_board *board,
    const struct fw_store *store, const struct fw_follow_spec *spec)
{
	struct fw_follower *follower = calloc(1, sizeof(*follower));

	if (follower == NULL)
		return cw_error_set(FW_ENOMEM, "no memory for a follower");
	follower->board = board;
	follower->store = *store;
	follower->spec = *spec;
	follower->newest = true;
	follower->first_page = true;
	follower->retry_ms = RETRY_FIRST_MS;
	atomic_store(&follower->gap_ms, spec->gap_ms);
	atomic_store(&follower->fresh_ms, INT64_MIN / 2);
	atomic_store(&follower->paused, spec->paused);
	*out = follower;
	if (!spec->paused)
		schedule(follower, 0);
	return CW_OK;
}

/* Ends reading for now; what was read stays as it is. */
void
fw_follower_pause(struct fw_follower *follower)
{
	atomic_store(&follower->paused, true);
}

/* Goes on after a pause, with the newest records first: it counts as loaded
 * again once these are read. */
void
fw_follower_resume(struct fw_follower *follower)
{
	atomic_store(&follower->loaded, false);
	atomic_store(&follower->paused, false);
	if (follower->store.after(follower->store.ctx, 0, begin, follower) !=
	    CW_OK)
		ev_emit(EV_FLOW_FOLLOW_ENDED, "topic=%d reason=\"%s\"",
		    (int)follower->spec.topic, cw_error_last());
}

/* Ends following; the platform's thread may still run one callback. */
void
fw_follower_stop(struct fw_follower *follower)
{
	atomic_store(&follower->stop, true);
}

/* Frees a follower after the platform's thread has ended. */
void
fw_follower_free(struct fw_follower *follower)
{
	if (follower == NULL)
		return;
	drop_kept(follower);
	free(follower->kept);
	free(follower);
}

/* Sets the shortest time between two reads, in ms. */
void
fw_follower_gap(struct fw_follower *follower, uint32_t gap_ms)
{
	atomic_store(&follower->gap_ms, gap_ms);
}

/* Reads on to an end of the log that an append has told, at once: the store
 * does not always wake a read that began to wait while it was appending. */
void
fw_follower_catch_up(struct fw_follower *follower, uint64_t end)
{
	atomic_store(&follower->wanted, end);
	if (fw_follower_position(follower) >= end)
		return;
	if (follower->store.after(follower->store.ctx, 0, catch_up, follower) !=
	    CW_OK)
		ev_emit(EV_FLOW_FOLLOW_ENDED, "topic=%d reason=\"%s\"",
		    (int)follower->spec.topic, cw_error_last());
}

/* Tells whether the newest records have been read once. */
bool
fw_follower_loaded(const struct fw_follower *follower)
{
	return atomic_load(&((struct fw_follower *)follower)->loaded);
}

/* Returns the offset behind the last record that was applied. */
uint64_t
fw_follower_position(const struct fw_follower *follower)
{
	return atomic_load(&((struct fw_follower *)follower)->position);
}

/* Tells whether the store does not answer this process at present: the last
 * read has failed, or the open one should have been answered. */
bool
fw_follower_silent(const struct fw_follower *follower, int64_t now_ms)
{
	struct fw_follower *own = (struct fw_follower *)follower;

	return atomic_load(&own->lost) ||
	    now_ms - atomic_load(&own->issued_ms) >
	    (int64_t)follower->spec.wait_ms + OVERDUE_MS;
}

/* Returns for how long, in ms, the topic may have changed without this process
 * knowing: the time since the last answered read was sent. */
int64_t
fw_follower_age_ms(const struct fw_follower *follower, int64_t now_ms)
{
	return now_ms -
	    atomic_load(&((struct fw_follower *)follower)->fresh_ms);
}
