#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"

/*
 * What the store's log tells of workers whose entry is gone: a new placer reads
 * the present entries only, and may have runs on workers that have left since
 * the last one was there. The entry of a silent worker is removed after three
 * heartbeats; one that is removed sooner belongs to a worker that has left, and
 * its runs with it.
 *
 * Records have no time. The time between two of them is at most that between an
 * earlier entry of another worker and the second one behind them, by that
 * worker's clock: it wrote its clock before the first entry was stored, and
 * read it again after the one between was.
 */

/* The log is read from so many heartbeats back. */
#define PAST_HEARTBEATS 8
/* Time between two reads of new records, and after a failed one. */
#define READ_GAP_MS 300
#define MARKS_INITIAL 1024
#define ROWS_INITIAL 64
/* Earlier entries that the time of a removal is compared with. */
#define EARLIER_MAX 64
/* Clocks of workers are slow by up to 2 %. */
#define CLOCK_RATE_MIN_MILLI 980

/* One record of the log. */
struct mark {
	uint64_t host;
	int64_t incarnation_ms;
	int64_t clock_ms; /* 0: not given */
	bool removal;
};

struct fw_departures {
	struct fw_departures_spec spec;
	atomic_bool stopped;
	atomic_bool busy;   /* a read or the timer before it is pending */
	atomic_bool wanted; /* the records are to be read */
	atomic_uint_least64_t session;   /* number of the latest such time */
	atomic_uint_least64_t wanted_to; /* read from before this offset */
	/* Owned by the platform's thread: */
	uint64_t read_session; /* for which the records were read */
	uint64_t position;     /* offset of the next record */
	struct mark *marks;    /* in the order of their offsets */
	size_t count;
	size_t capacity;
	struct bd_departure *rows; /* of each worker with an entry */
	size_t row_count;
	size_t row_capacity;
};

static void begin(void *ctx, int64_t now_ms);
static void clear(struct fw_departures *past);
static uint64_t first_offset(const struct fw_departures *past, uint64_t to);
static void on_record(void *ctx, const struct fw_record *record);
static void on_done(void *ctx, enum fw_result result, bool more, uint64_t end,
    int64_t sent_ms, int64_t now_ms);
static bool add_mark(struct fw_departures *past, const struct mark *mark);
static struct bd_departure *get_row(struct fw_departures *past, uint64_t host);
static int64_t time_between(
    const struct fw_departures *past, size_t from, size_t to);
static bool find_removal(const struct fw_departures *past, uint64_t host,
    size_t *written, size_t *removed);
static void publish(struct fw_departures *past);

/* Discards what was read. */
static void
clear(struct fw_departures *past)
{
	size_t i;

	for (i = 0; i < past->row_count; i++)
		bd_remove(past->spec.board, BD_TABLE_departure, BD_WRITER_FLOW,
		    past->rows[i].id);
	past->count = past->row_count = 0;
}

/* Returns where to begin to read, some heartbeats before an offset. */
static uint64_t
first_offset(const struct fw_departures *past, uint64_t to)
{
	uint64_t back =
	    ((uint64_t)bd_row_count(past->spec.board, BD_TABLE_host) + 1) *
	    PAST_HEARTBEATS;

	return back < to ? to - back : 0;
}

/* Sends the next read. */
static void
begin(void *ctx, int64_t now_ms)
{
	struct fw_departures *past = ctx;
	uint64_t session = atomic_load(&past->session);
	struct fw_read read = {.topic = FW_TOPIC_WORKERS,
	    .record = on_record,
	    .done = on_done,
	    .ctx = past};

	(void)now_ms;
	if (atomic_load(&past->stopped) || !atomic_load(&past->wanted)) {
		atomic_store(&past->busy, false);
		return;
	}
	if (session != past->read_session) {
		clear(past);
		past->read_session = session;
		past->position =
		    first_offset(past, atomic_load(&past->wanted_to));
	}
	read.from = past->position;
	if (past->spec.store.read(past->spec.store.ctx, &read) != CW_OK)
		atomic_store(&past->busy, false);
}

static bool
add_mark(struct fw_departures *past, const struct mark *mark)
{
	if (past->count == past->capacity) {
		size_t capacity =
		    past->capacity == 0 ? MARKS_INITIAL : past->capacity * 2;
		struct mark *grown =
		    realloc(past->marks, capacity * sizeof(*grown));

		if (grown == NULL) {
			ev_emit(EV_FLOW_NO_MEMORY, "what=departures");
			return false;
		}
		past->marks = grown;
		past->capacity = capacity;
	}
	past->marks[past->count++] = *mark;
	return true;
}

/* Returns the row of a worker, which is added if it has none, or NULL without
 * memory. */
static struct bd_departure *
get_row(struct fw_departures *past, uint64_t host)
{
	size_t i;

	for (i = 0; i < past->row_count; i++)
		if (past->rows[i].id == host)
			return &past->rows[i];
	if (past->row_count == past->row_capacity) {
		size_t capacity = past->row_capacity == 0
		    ? ROWS_INITIAL
		    : past->row_capacity * 2;
		struct bd_departure *grown =
		    realloc(past->rows, capacity * sizeof(*grown));

		if (grown == NULL) {
			ev_emit(EV_FLOW_NO_MEMORY, "what=departures");
			return NULL;
		}
		past->rows = grown;
		past->row_capacity = capacity;
	}
	memset(&past->rows[past->row_count], 0, sizeof(*past->rows));
	past->rows[past->row_count].id = host;
	return &past->rows[past->row_count++];
}

/* Keeps what each record says of the time, and the last entry of each worker.
 */
static void
on_record(void *ctx, const struct fw_record *record)
{
	struct fw_departures *past = ctx;
	struct mark mark = {.host = cw_id_from_name(record->key),
	    .removal = record->value == NULL};
	struct bd_departure *row;
	struct bd_host entry;

	if (record->offset < past->position)
		return;
	past->position = record->offset + 1;
	if (record->key[0] == '\0')
		return;
	if (!mark.removal) {
		if (past->spec.decode(past->spec.ctx, record, &entry) != CW_OK)
			return;
		mark.incarnation_ms = entry.incarnation_ms;
		mark.clock_ms = entry.clock_ms;
	}
	if (!add_mark(past, &mark) || mark.removal)
		return;
	row = get_row(past, mark.host);
	if (row == NULL)
		return;
	row->leaving = entry.leaving;
	memcpy(row->name, entry.name, sizeof(row->name));
	memcpy(row->address, entry.address, sizeof(row->address));
}

/* Finds the last entry of a worker and the removal behind it. Returns false if
 * there is none. */
static bool
find_removal(const struct fw_departures *past, uint64_t host, size_t *written,
    size_t *removed)
{
	size_t i;

	*removed = past->count;
	for (i = past->count; i > 0; i--) {
		if (past->marks[i - 1].host != host)
			continue;
		if (!past->marks[i - 1].removal) {
			*written = i - 1;
			return *removed < past->count;
		}
		*removed = i - 1;
	}
	return false;
}

/* Returns the longest time that may have passed between two records, in ms, or
 * INT64_MAX if it is not known. */
static int64_t
time_between(const struct fw_departures *past, size_t from, size_t to)
{
	int64_t shortest_ms = INT64_MAX;
	uint32_t tried = 0;
	size_t i;

	for (i = from; i > 0 && tried < EARLIER_MAX; i--) {
		const struct mark *early = &past->marks[i - 1];
		uint32_t later = 0;
		int64_t ms;
		size_t k;

		if (early->removal || early->clock_ms == 0)
			continue;
		tried++;
		for (k = to + 1; k < past->count && later < 2; k++)
			later += past->marks[k].host == early->host &&
			    !past->marks[k].removal &&
			    past->marks[k].incarnation_ms ==
				early->incarnation_ms;
		if (later < 2)
			continue;
		ms = (past->marks[k - 1].clock_ms - early->clock_ms) * 1000 /
		    CLOCK_RATE_MIN_MILLI;
		if (ms >= 0 && ms < shortest_ms)
			shortest_ms = ms;
	}
	return shortest_ms;
}

/* Publishes the workers whose entry was removed. */
static void
publish(struct fw_departures *past)
{
	size_t i;

	for (i = 0; i < past->row_count; i++) {
		struct bd_departure *row = &past->rows[i];
		size_t written;
		size_t removed;

		if (!find_removal(past, row->id, &written, &removed)) {
			bd_remove(past->spec.board, BD_TABLE_departure,
			    BD_WRITER_FLOW, row->id);
			continue;
		}
		row->session = past->read_session;
		row->silent_max_ms = time_between(past, written, removed);
		if (bd_put(past->spec.board, BD_TABLE_departure, BD_WRITER_FLOW,
			row->id, row, sizeof(*row), NULL) != CW_OK)
			ev_emit(EV_FLOW_NO_MEMORY, "what=departures");
	}
	bd_notify(past->spec.board);
}

/* Ends a read. What has expired is passed over. */
static void
on_done(void *ctx, enum fw_result result, bool more, uint64_t end,
    int64_t sent_ms, int64_t now_ms)
{
	struct fw_departures *past = ctx;
	uint64_t to = atomic_load(&past->wanted_to);
	uint32_t delay_ms = READ_GAP_MS;

	(void)more;
	(void)sent_ms;
	(void)now_ms;
	if (result == FW_RESULT_DONE && past->position < end)
		delay_ms = 0;
	else if (result == FW_RESULT_DONE)
		publish(past);
	else if (result == FW_RESULT_EXPIRED && past->position < to) {
		past->position += (to - past->position + 1) / 2;
		delay_ms = 0;
	}
	if (atomic_load(&past->stopped) ||
	    past->spec.store.after(
		past->spec.store.ctx, delay_ms, begin, past) != CW_OK)
		atomic_store(&past->busy, false);
}

/* Creates a reader of departures. Returns FW_ENOMEM. */
int
fw_departures_create(
    struct fw_departures **out, const struct fw_departures_spec *spec)
{
	struct fw_departures *past = calloc(1, sizeof(*past));

	if (past == NULL)
		return cw_error_set(FW_ENOMEM,
		    "out of memory while creating a reader of departures");
	past->spec = *spec;
	*out = past;
	return CW_OK;
}

/*
 * Reads the records before and after an offset, until fw_departures_end; the
 * table "departure" has the result. Returns the number of this session: a row
 * of an earlier one may be outdated. to is the position of the follower of the
 * workers' entries, which does not read what is before it.
 */
uint64_t
fw_departures_want(struct fw_departures *past, uint64_t to)
{
	if (!atomic_load(&past->wanted)) {
		atomic_store(&past->wanted_to, to);
		atomic_fetch_add(&past->session, 1);
		atomic_store(&past->wanted, true);
	}
	if (!atomic_exchange(&past->busy, true) &&
	    past->spec.store.after(past->spec.store.ctx, 0, begin, past) !=
		CW_OK)
		atomic_store(&past->busy, false);
	return atomic_load(&past->session);
}

/* Sends no further reads until the records are wanted again. */
void
fw_departures_end(struct fw_departures *past)
{
	atomic_store(&past->wanted, false);
}

/* Sends no further reads. The platform's thread may still run one callback. */
void
fw_departures_stop(struct fw_departures *past)
{
	atomic_store(&past->stopped, true);
}

/* Call after the platform's thread has ended. */
void
fw_departures_free(struct fw_departures *past)
{
	if (past == NULL)
		return;
	free(past->marks);
	free(past->rows);
	free(past);
}
