#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"

/* The store answers within 4 ms, or some hundred while it is slow. */
#define APPEND_TIMEOUT_MS 900
#define APPEND_RETRY_MS 100

/* One append; an answer that comes after a change of the duty is ignored. */
struct append_call {
	struct fw_writer *writer;
	uint64_t ticket;
};

static void on_append(void *ctx, enum fw_fate fate, uint64_t end);
static bool append(struct fw_writer *writer, struct fw_append *append);
static bool take_append(
    struct fw_writer *writer, enum fw_fate *fate, uint64_t *end);
static void send_batch(struct fw_writer *writer, int64_t now_ms);
static void note_failure(
    struct fw_writer *writer, enum fw_fate fate, int64_t now_ms);

static void
on_append(void *ctx, enum fw_fate fate, uint64_t end)
{
	struct append_call *call = ctx;
	struct fw_writer *writer = call->writer;
	struct fw_placer *placer = writer->placer;

	pthread_mutex_lock(&placer->lock);
	if (call->ticket == writer->ticket) {
		writer->answered = true;
		writer->answer_fate = fate;
		writer->answer_end = end;
	}
	placer->open--;
	pthread_mutex_unlock(&placer->lock);
	free(call);
	bd_publish(placer->parts.board);
}

/* Submits an append; its answer is taken by take_append. */
static bool
append(struct fw_writer *writer, struct fw_append *append)
{
	struct fw_placer *placer = writer->placer;
	struct append_call *call = malloc(sizeof(*call));

	if (call == NULL)
		return false;
	pthread_mutex_lock(&placer->lock);
	placer->open++;
	writer->answered = false;
	call->writer = writer;
	call->ticket = ++writer->ticket;
	pthread_mutex_unlock(&placer->lock);
	append->topic = writer->topic;
	append->term = placer->term;
	append->timeout_ms = APPEND_TIMEOUT_MS;
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
take_append(struct fw_writer *writer, enum fw_fate *fate, uint64_t *end)
{
	struct fw_placer *placer = writer->placer;
	bool answered;

	pthread_mutex_lock(&placer->lock);
	answered = writer->answered;
	*fate = writer->answer_fate;
	*end = writer->answer_end;
	writer->answered = false;
	pthread_mutex_unlock(&placer->lock);
	return answered;
}

/* Ends what an earlier term has left open and prepares for the next one. */
void
fw_writer_reset(struct fw_writer *writer)
{
	struct fw_placer *placer = writer->placer;

	pthread_mutex_lock(&placer->lock);
	writer->ticket++;
	writer->answered = false;
	pthread_mutex_unlock(&placer->lock);
	fw_writer_clear(writer);
	writer->sequence = 0;
	writer->fenced = false;
	writer->retry_ms = 0;
}

/* Makes the term known to the store, which refuses earlier placers from then
 * on. Returns true once that is so; fence_end is the end of the log then. */
bool
fw_writer_fence(struct fw_writer *writer, int64_t now_ms)
{
	struct fw_append call = {0};
	enum fw_fate fate;
	uint64_t end;

	if (writer->fenced)
		return true;
	if (writer->retry_ms == INT64_MAX) {
		if (!take_append(writer, &fate, &end))
			return false;
		if (fate == FW_FATE_DONE) {
			writer->fence_end = end;
			writer->fenced = true;
			return true;
		}
		note_failure(writer, fate, now_ms);
	}
	if (now_ms >= writer->retry_ms && append(writer, &call))
		writer->retry_ms = INT64_MAX;
	return false;
}

/* Adds a record to the batch, which owns the value from then on, also where
 * this returns FW_ENOMEM. Without a value the key is dropped. */
int
fw_writer_add(struct fw_writer *writer, enum fw_record_kind kind,
    const char *name, void *value, size_t bytes)
{
	struct fw_record *record;

	if (writer->count == writer->room) {
		size_t room = writer->room == 0 ? 32 : writer->room * 2;
		struct fw_record *grown =
		    realloc(writer->records, room * sizeof(*grown));

		if (grown == NULL) {
			free(value);
			return cw_error_set(
			    FW_ENOMEM, "no memory for a batch of records");
		}
		writer->records = grown;
		writer->room = room;
	}
	record = &writer->records[writer->count++];
	memset(record, 0, sizeof(*record));
	fw_record_key(record->key, kind, name);
	record->value = value;
	record->value_bytes = bytes;
	return CW_OK;
}

/* Frees the records of the batch; nothing is open afterwards. */
void
fw_writer_clear(struct fw_writer *writer)
{
	size_t i;

	for (i = 0; i < writer->count; i++)
		free((void *)(uintptr_t)writer->records[i].value);
	writer->count = 0;
	writer->end = 0;
}

/* Frees the writer, after the platform's thread has ended. */
void
fw_writer_free(struct fw_writer *writer)
{
	fw_writer_clear(writer);
	free(writer->records);
}

/* A repetition carries the same sequence number, which makes it one append
 * where the first was stored without an answer. */
static void
send_batch(struct fw_writer *writer, int64_t now_ms)
{
	struct fw_append call = {.records = writer->records,
	    .count = writer->count,
	    .sequence = writer->sequence};

	writer->retry_ms =
	    append(writer, &call) ? INT64_MAX : now_ms + APPEND_RETRY_MS;
}

/* Sends the batch that was filled. */
void
fw_writer_send(struct fw_writer *writer, int64_t now_ms)
{
	writer->sent_ms = now_ms;
	send_batch(writer, now_ms);
}

static void
note_failure(struct fw_writer *writer, enum fw_fate fate, int64_t now_ms)
{
	struct fw_placer *placer = writer->placer;

	ev_emit(EV_FLOW_APPEND_FAILED,
	    "topic=%d term=%llu sequence=%llu records=%zu fate=%d age_ms=%lld",
	    (int)writer->topic, (unsigned long long)placer->term,
	    (unsigned long long)writer->sequence, writer->count, (int)fate,
	    (long long)(now_ms - writer->sent_ms));
	if (fate == FW_FATE_FENCED)
		fw_duty_superseded(placer->parts.duty, placer->term);
	writer->retry_ms = now_ms + APPEND_RETRY_MS;
}

/* Follows an open batch. Returns true once there is none: its records have come
 * back through the log, so the board is as decided. */
bool
fw_writer_settled(struct fw_writer *writer, int64_t now_ms)
{
	enum fw_fate fate;
	uint64_t end;

	if (writer->count == 0)
		return true;
	if (writer->end > 0) {
		if (fw_follower_position(writer->follower) < writer->end)
			return false;
		fw_writer_clear(writer);
		return true;
	}
	if (now_ms >= writer->retry_ms) {
		send_batch(writer, now_ms);
		return false;
	}
	if (writer->retry_ms != INT64_MAX || !take_append(writer, &fate, &end))
		return false;
	if (fate != FW_FATE_DONE) {
		note_failure(writer, fate, now_ms);
		return false;
	}
	writer->end = end;
	writer->sequence++;
	fw_follower_catch_up(writer->follower, end);
	return fw_writer_settled(writer, now_ms);
}
