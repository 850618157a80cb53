#include <assert.h>
#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <time.h>

#include "state_internal.h"

#define BATCH_BYTES_MAX (512 * 1024)
#define PENDING_MAX 8192
#define PENDING_BYTES_MAX (8 * 1024 * 1024)
#define BACKOFF_FIRST_MS 50
#define BACKOFF_MAX_MS 2000
#define IDLE_WAIT_MS 60000

enum pending_state {
	PENDING_QUEUED,
	PENDING_IN_FLIGHT,
	PENDING_APPENDED,
};

/* A proposed record whose outcome is not yet known. The list is sorted by
 * sequence: appended records first, then those in flight, then queued ones. */
struct pending_record {
	TAILQ_ENTRY(pending_record) link;
	uint64_t sequence;
	int64_t deadline_ms;
	enum pending_state state;
	int status;
	struct st_completion done;
	void *data;
	size_t bytes;
};

TAILQ_HEAD(pending_list, pending_record);

struct st_writer {
	struct pf_log log;
	struct ctl_clock clock;
	struct st_writer_options options;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	pthread_t thread;
	bool running;
	bool stop;
	bool record_queued; /* since the last step */
	uint64_t sequence;
	struct pending_list pending;
	size_t pending_bytes;
	/* The batch in flight, NULL: none. Written only by the thread that runs
	 * st_writer_step. */
	void *batch;
	size_t batch_bytes;
	bool batch_in_doubt; /* an append without an answer may have taken
			      * effect */
	int64_t retry_ms;    /* time before which no append is made */
	int64_t backoff_ms;
	struct st_writer_status status;
	bool closed;
};

static int propose(
    void *ctx, const struct rec *rec, const struct st_completion *done);
static void observe(void *ctx, const struct rec *rec, int status,
    uint64_t position, uint64_t result_id);
static void complete_record(struct pending_record *pending, uint64_t result_id);
static void resolve_record(struct st_writer *writer,
    struct pending_record *pending, int status, struct pending_list *resolved);
static void complete_records(struct pending_list *list);
static void expire_records(
    struct st_writer *writer, int64_t now_ms, struct pending_list *resolved);
static bool has_state(const struct st_writer *writer, enum pending_state state);
static void set_state(
    struct st_writer *writer, enum pending_state from, enum pending_state to);
static void discard_batch(struct st_writer *writer);
static int build_batch(struct st_writer *writer);
static void handle_append_result(struct st_writer *writer, int code,
    int64_t now_ms, struct pending_list *resolved);
static int64_t next_due_ms(const struct st_writer *writer, int64_t now_ms);
static void wait_until(struct st_writer *writer, int64_t due_ms);
static void *run_writer(void *arg);

/* Creates a writer. Does not start its thread. Returns CW_OK or ST_ENOMEM. */
int
st_writer_create(struct st_writer **out, const struct pf_log *log,
    const struct ctl_clock *clock, const struct st_writer_options *options)
{
	struct st_writer *writer = calloc(1, sizeof(*writer));
	pthread_condattr_t attr;

	assert(options->incarnation != 0 && options->outcome_timeout_ms > 0);
	if (writer == NULL)
		return cw_error_set(
		    ST_ENOMEM, "out of memory while creating the log writer");
	writer->log = *log;
	writer->clock = *clock;
	writer->options = *options;
	writer->backoff_ms = BACKOFF_FIRST_MS;
	TAILQ_INIT(&writer->pending);
	pthread_mutex_init(&writer->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&writer->changed, &attr);
	pthread_condattr_destroy(&attr);
	*out = writer;
	return CW_OK;
}

/* Closes a stopped writer. Pending records end with ST_EUNAVAILABLE or
 * ST_EUNKNOWN, and later proposals are refused, so that no callback runs after
 * its owner is freed. May be called more than once. */
void
st_writer_close(struct st_writer *writer)
{
	struct pending_list resolved = TAILQ_HEAD_INITIALIZER(resolved);

	assert(!writer->running);
	pthread_mutex_lock(&writer->lock);
	writer->closed = true;
	expire_records(writer, INT64_MAX, &resolved);
	pthread_mutex_unlock(&writer->lock);
	complete_records(&resolved);
}

/* Closes and frees a stopped writer. */
void
st_writer_destroy(struct st_writer *writer)
{
	st_writer_close(writer);
	discard_batch(writer);
	pthread_cond_destroy(&writer->changed);
	pthread_mutex_destroy(&writer->lock);
	free(writer);
}

/* Returns the sink that queues records for the writer. Safe to use from any
 * thread. */
struct st_sink
st_writer_sink(struct st_writer *writer)
{
	return (struct st_sink){propose, writer};
}

/* Returns the observer through which the writer learns which of its records
 * were applied. */
struct st_observer
st_writer_observer(struct st_writer *writer)
{
	return (struct st_observer){observe, writer};
}

/* Queues a copy of a record. Returns ST_EFULL if the queue has reached
 * PENDING_MAX or PENDING_BYTES_MAX, ST_ETOOLARGE, ST_ENOMEM, or ST_EUNAVAILABLE
 * after st_writer_close; done is not called then. */
static int
propose(void *ctx, const struct rec *rec, const struct st_completion *done)
{
	struct st_writer *writer = ctx;
	struct pending_record *pending = calloc(1, sizeof(*pending));
	struct rec stamped = *rec;
	int64_t now_ms = writer->clock.now_ms(writer->clock.ctx);
	int code;

	if (pending == NULL)
		return ST_ENOMEM;
	pthread_mutex_lock(&writer->lock);
	if (writer->closed)
		code = cw_error_set(ST_EUNAVAILABLE, "the VM is stopping");
	else if (writer->status.pending >= PENDING_MAX ||
	    writer->pending_bytes >= PENDING_BYTES_MAX)
		code = cw_error_set(ST_EFULL, "%u records wait for the log",
		    writer->status.pending);
	else {
		stamped.writer = writer->options.incarnation;
		stamped.sequence = writer->sequence + 1;
		stamped.time_ms = now_ms;
		code = rec_encode(&stamped, &pending->data, &pending->bytes);
	}
	if (code == CW_OK) {
		pending->sequence = ++writer->sequence;
		pending->deadline_ms =
		    now_ms + writer->options.outcome_timeout_ms;
		if (done != NULL)
			pending->done = *done;
		TAILQ_INSERT_TAIL(&writer->pending, pending, link);
		writer->pending_bytes += pending->bytes;
		writer->status.pending++;
		writer->status.records++;
		writer->record_queued = true;
		pthread_cond_signal(&writer->changed);
	}
	pthread_mutex_unlock(&writer->lock);
	if (code != CW_OK)
		free(pending);
	return code;
}

/* Reports the outcome of a record to its proposer and frees it. */
static void
complete_record(struct pending_record *pending, uint64_t result_id)
{
	if (pending->done.call != NULL)
		pending->done.call(
		    pending->done.ctx, pending->status, result_id);
	free(pending->data);
	free(pending);
}

/* Sets the outcome of a record and moves it to the list of resolved ones. */
static void
resolve_record(struct st_writer *writer, struct pending_record *pending,
    int status, struct pending_list *resolved)
{
	TAILQ_REMOVE(&writer->pending, pending, link);
	writer->pending_bytes -= pending->bytes;
	writer->status.pending--;
	if (status == ST_EUNAVAILABLE)
		writer->status.unavailable++;
	else if (status == ST_EUNKNOWN)
		writer->status.unknown++;
	pending->status = status;
	TAILQ_INSERT_TAIL(resolved, pending, link);
}

/* Reports the outcomes of all records of a list and frees them. Call without
 * the lock: the callbacks may propose records. */
static void
complete_records(struct pending_list *list)
{
	struct pending_record *pending;

	while ((pending = TAILQ_FIRST(list)) != NULL) {
		TAILQ_REMOVE(list, pending, link);
		complete_record(pending, 0);
	}
}

/*
 * Resolves a pending record of this writer once it is applied. A result_id of 0
 * for a record that is still pending means that a snapshot already contained
 * it, so its outcome is unknown.
 */
static void
observe(void *ctx, const struct rec *rec, int status, uint64_t position,
    uint64_t result_id)
{
	struct st_writer *writer = ctx;
	struct pending_list resolved = TAILQ_HEAD_INITIALIZER(resolved);
	struct pending_record *pending;

	(void)position;
	if (rec->writer != writer->options.incarnation)
		return;
	if (result_id == 0)
		status = ST_EUNKNOWN;
	pthread_mutex_lock(&writer->lock);
	TAILQ_FOREACH(pending, &writer->pending, link)
	if (pending->sequence >= rec->sequence)
		break;
	if (pending != NULL && pending->sequence == rec->sequence)
		resolve_record(writer, pending, status, &resolved);
	else
		pending = NULL;
	pthread_mutex_unlock(&writer->lock);
	if (pending != NULL)
		complete_record(pending, result_id);
}

/* Resolves records whose deadline has passed: queued ones as unavailable, all
 * others as unknown, as they may have been appended. */
static void
expire_records(
    struct st_writer *writer, int64_t now_ms, struct pending_list *resolved)
{
	struct pending_record *pending;

	while ((pending = TAILQ_FIRST(&writer->pending)) != NULL &&
	    pending->deadline_ms <= now_ms)
		resolve_record(writer, pending,
		    pending->state == PENDING_QUEUED ? ST_EUNAVAILABLE
						     : ST_EUNKNOWN,
		    resolved);
}

/* Returns whether a pending record is in a state. Only the first record in this
 * or a later state is examined. */
static bool
has_state(const struct st_writer *writer, enum pending_state state)
{
	const struct pending_record *pending;

	TAILQ_FOREACH(pending, &writer->pending, link)
	if (pending->state >= state)
		return pending->state == state;
	return false;
}

/* Moves all pending records from one state to another. */
static void
set_state(
    struct st_writer *writer, enum pending_state from, enum pending_state to)
{
	struct pending_record *pending;

	TAILQ_FOREACH(pending, &writer->pending, link)
	if (pending->state == from)
		pending->state = to;
}

/* Frees the batch in flight. The states of its records do not change. */
static void
discard_batch(struct st_writer *writer)
{
	free(writer->batch);
	writer->batch = NULL;
	writer->batch_in_doubt = false;
}

/* Encodes as many queued records as fit into one append and marks them as in
 * flight. Returns CW_OK, also where none is queued, or ST_ENOMEM. */
static int
build_batch(struct st_writer *writer)
{
	struct rec_encoded records[REC_BATCH_MAX];
	struct pending_record *pending;
	size_t count = 0;
	size_t bytes = 0;
	int code;

	TAILQ_FOREACH(pending, &writer->pending, link)
	{
		if (pending->state != PENDING_QUEUED)
			continue;
		if (count == REC_BATCH_MAX ||
		    (count > 0 && bytes + pending->bytes > BATCH_BYTES_MAX))
			break;
		records[count++] =
		    (struct rec_encoded){pending->data, pending->bytes};
		bytes += pending->bytes;
	}
	if (count == 0)
		return CW_OK;
	code = rec_batch_encode(
	    records, count, &writer->batch, &writer->batch_bytes);
	if (code != CW_OK)
		return code;
	TAILQ_FOREACH(pending, &writer->pending, link)
	{
		if (pending->state != PENDING_QUEUED)
			continue;
		if (count-- == 0)
			break;
		pending->state = PENDING_IN_FLIGHT;
	}
	return CW_OK;
}

/*
 * Handles the result of an append. A batch without an answer is kept and sent
 * again with the same sequences, which apply deduplicates. A batch that is
 * known to have had no effect returns to the queue, unless an earlier attempt
 * is in doubt.
 */
static void
handle_append_result(struct st_writer *writer, int code, int64_t now_ms,
    struct pending_list *resolved)
{
	struct pending_record *pending;
	struct pending_record *next;

	if (code == CW_OK) {
		set_state(writer, PENDING_IN_FLIGHT, PENDING_APPENDED);
		discard_batch(writer);
		writer->status.batches++;
		writer->backoff_ms = BACKOFF_FIRST_MS;
		writer->retry_ms = now_ms;
		return;
	}
	if (code == PF_ETOOLARGE && !writer->batch_in_doubt) {
		for (pending = TAILQ_FIRST(&writer->pending); pending != NULL;
		     pending = next) {
			next = TAILQ_NEXT(pending, link);
			if (pending->state == PENDING_IN_FLIGHT)
				resolve_record(
				    writer, pending, ST_ETOOLARGE, resolved);
		}
		discard_batch(writer);
		return;
	}
	if (code != PF_EUNREACHABLE && code != PF_EREFUSED &&
	    code != PF_ETOOLARGE) {
		if (!writer->batch_in_doubt)
			ev_emit(EV_STATE_BATCH_UNKNOWN, "bytes=%zu code=%d",
			    writer->batch_bytes, code);
		writer->batch_in_doubt = true;
		writer->status.append_retries++;
	} else if (!writer->batch_in_doubt) {
		set_state(writer, PENDING_IN_FLIGHT, PENDING_QUEUED);
		discard_batch(writer);
	}
	writer->retry_ms = now_ms + writer->backoff_ms;
	writer->backoff_ms *= 2;
	if (writer->backoff_ms > BACKOFF_MAX_MS)
		writer->backoff_ms = BACKOFF_MAX_MS;
}

/* Returns the time (ms) at which the next step is due: the first deadline, or
 * the next append where records wait for one. */
static int64_t
next_due_ms(const struct st_writer *writer, int64_t now_ms)
{
	const struct pending_record *first = TAILQ_FIRST(&writer->pending);
	int64_t due = now_ms + IDLE_WAIT_MS;

	if (first == NULL)
		return due;
	if (first->deadline_ms < due)
		due = first->deadline_ms;
	if ((writer->batch != NULL || has_state(writer, PENDING_QUEUED)) &&
	    writer->retry_ms < due)
		due = writer->retry_ms;
	return due;
}

/*
 * Resolves records whose deadline has passed and makes at most one append.
 * Returns the time (ms) of the next step, unless a record is queued before.
 */
int64_t
st_writer_step(struct st_writer *writer, int64_t now_ms)
{
	struct pending_list resolved = TAILQ_HEAD_INITIALIZER(resolved);
	uint64_t offset;
	int64_t due;
	int code = CW_OK;

	pthread_mutex_lock(&writer->lock);
	writer->record_queued = false;
	expire_records(writer, now_ms, &resolved);
	/* The batch need not be sent once all its records were applied or have
	 * expired. */
	if (writer->batch != NULL && !has_state(writer, PENDING_IN_FLIGHT))
		discard_batch(writer);
	if (writer->retry_ms <= now_ms && writer->batch == NULL)
		code = build_batch(writer);
	if (code == CW_OK && writer->batch != NULL &&
	    writer->retry_ms <= now_ms) {
		pthread_mutex_unlock(&writer->lock);
		code = writer->log.append(writer->log.ctx, ST_RECORD_STREAM,
		    writer->batch, writer->batch_bytes, &offset);
		now_ms = writer->clock.now_ms(writer->clock.ctx);
		pthread_mutex_lock(&writer->lock);
		handle_append_result(writer, code, now_ms, &resolved);
	} else if (code != CW_OK)
		writer->retry_ms = now_ms + writer->backoff_ms;
	due = next_due_ms(writer, now_ms);
	pthread_mutex_unlock(&writer->lock);
	complete_records(&resolved);
	return due;
}

/* Blocks until due_ms, a new record or a stop. Call without the lock. */
static void
wait_until(struct st_writer *writer, int64_t due_ms)
{
	int64_t wait_ms = due_ms - writer->clock.now_ms(writer->clock.ctx);
	struct timespec until;

	if (wait_ms <= 0)
		return;
	cw_clock_deadline(wait_ms, &until);
	pthread_mutex_lock(&writer->lock);
	while (!writer->stop && !writer->record_queued)
		if (pthread_cond_timedwait(
			&writer->changed, &writer->lock, &until) == ETIMEDOUT)
			break;
	pthread_mutex_unlock(&writer->lock);
}

static void *
run_writer(void *arg)
{
	struct st_writer *writer = arg;
	bool stop = false;

	while (!stop) {
		wait_until(writer,
		    st_writer_step(
			writer, writer->clock.now_ms(writer->clock.ctx)));
		pthread_mutex_lock(&writer->lock);
		stop = writer->stop;
		pthread_mutex_unlock(&writer->lock);
	}
	return NULL;
}

/* Starts the writer's thread. Returns CW_OK, or ST_ENOMEM if it cannot be
 * created. */
int
st_writer_start(struct st_writer *writer)
{
	assert(!writer->running);
	if (pthread_create(&writer->thread, NULL, run_writer, writer) != 0)
		return cw_error_set(
		    ST_ENOMEM, "cannot create the thread of the log writer");
	writer->running = true;
	return CW_OK;
}

/* Stops the thread and waits for it to finish an append in progress. */
void
st_writer_stop(struct st_writer *writer)
{
	if (!writer->running)
		return;
	pthread_mutex_lock(&writer->lock);
	writer->stop = true;
	pthread_cond_signal(&writer->changed);
	pthread_mutex_unlock(&writer->lock);
	pthread_join(writer->thread, NULL);
	writer->running = false;
	writer->stop = false;
}

/* Copies the writer's counters to *status. */
void
st_writer_status_get(struct st_writer *writer, struct st_writer_status *status)
{
	pthread_mutex_lock(&writer->lock);
	*status = writer->status;
	pthread_mutex_unlock(&writer->lock);
}
