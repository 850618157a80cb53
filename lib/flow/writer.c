#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"

/* The store answers within 4 ms, or within a few hundred ms while it is slow.
 */
#define APPEND_TIMEOUT_MS 900
#define APPEND_RETRY_MS 100

/* Context of one append. Its answer is ignored if the ticket is outdated, as
 * after a change of the placing duty. */
struct append_call {
	struct fw_writer *writer;
	uint64_t ticket;
};

static void on_append(void *ctx, enum fw_result result, uint64_t end);
static bool send_append(struct fw_writer *writer, struct fw_append *append);
static bool poll_append(
    struct fw_writer *writer, enum fw_result *result, uint64_t *end);
static size_t next_part(const struct fw_writer *writer);
static void send_batch(struct fw_writer *writer, int64_t now_ms);
static void handle_failure(
    struct fw_writer *writer, enum fw_result result, int64_t now_ms);

/* Hands the answer of an append to poll_append. Runs on the platform's thread.
 */
static void
on_append(void *ctx, enum fw_result result, uint64_t end)
{
	struct append_call *call = ctx;
	struct fw_writer *writer = call->writer;
	struct fw_placer *placer = writer->placer;

	pthread_mutex_lock(&placer->lock);
	if (call->ticket == writer->ticket) {
		writer->answered = true;
		writer->answer_result = result;
		writer->answer_end = end;
	}
	placer->callbacks_pending--;
	pthread_mutex_unlock(&placer->lock);
	free(call);
	bd_notify(placer->parts.board);
}

/* Sends an append, whose answer poll_append returns. Returns false if that
 * fails. */
static bool
send_append(struct fw_writer *writer, struct fw_append *append)
{
	struct fw_placer *placer = writer->placer;
	struct append_call *call = malloc(sizeof(*call));

	if (call == NULL)
		return false;
	pthread_mutex_lock(&placer->lock);
	placer->callbacks_pending++;
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
	fw_callbacks_add(placer, -1);
	free(call);
	return false;
}

/* Returns whether the pending append has been answered, and with what. */
static bool
poll_append(struct fw_writer *writer, enum fw_result *result, uint64_t *end)
{
	struct fw_placer *placer = writer->placer;
	bool answered;

	pthread_mutex_lock(&placer->lock);
	answered = writer->answered;
	*result = writer->answer_result;
	*end = writer->answer_end;
	writer->answered = false;
	pthread_mutex_unlock(&placer->lock);
	return answered;
}

/* Discards the pending append and batch of an earlier term and prepares the
 * writer for the next term. */
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

/* Fences earlier placers by an empty append with the new term, after which the
 * store refuses appends with lower terms. Returns true once it is done;
 * fence_end is then the end of the log. */
bool
fw_writer_fence(struct fw_writer *writer, int64_t now_ms)
{
	struct fw_append call = {0};
	enum fw_result result;
	uint64_t end;

	if (writer->fenced)
		return true;
	if (writer->retry_ms == INT64_MAX) {
		if (!poll_append(writer, &result, &end))
			return false;
		if (result == FW_RESULT_DONE) {
			writer->fence_end = end;
			writer->fenced = true;
			return true;
		}
		handle_failure(writer, result, now_ms);
	}
	if (now_ms >= writer->retry_ms && send_append(writer, &call)) {
		writer->sent_ms = now_ms;
		writer->retry_ms = INT64_MAX;
	}
	return false;
}

/*
 * Adds a record to the batch; NULL as its value deletes the key. Takes
 * ownership of the value, even on failure. A record that the store would refuse
 * is logged and left out, as it would hold up all others. Returns FW_ENOMEM.
 */
int
fw_writer_add(struct fw_writer *writer, enum fw_record_kind kind,
    const char *name, void *value, size_t bytes)
{
	struct fw_record *record;

	if (fw_record_bytes(name, bytes) >
	    writer->placer->parts.settings.record_bytes) {
		ev_emit(EV_FLOW_RECORD_BAD,
		    "key=%c/%s reason=\"larger than RecordBytes\" bytes=%zu",
		    (char)kind, name, bytes);
		free(value);
		return CW_OK;
	}
	if (writer->count == writer->capacity) {
		size_t capacity =
		    writer->capacity == 0 ? 32 : writer->capacity * 2;
		struct fw_record *grown =
		    realloc(writer->records, capacity * sizeof(*grown));

		if (grown == NULL) {
			free(value);
			return cw_error_set(FW_ENOMEM,
			    "out of memory while adding a record to a batch");
		}
		writer->records = grown;
		writer->capacity = capacity;
	}
	record = &writer->records[writer->count++];
	memset(record, 0, sizeof(*record));
	fw_record_key(record->key, kind, name);
	record->value = value;
	record->value_bytes = bytes;
	return CW_OK;
}

/* Frees the records of the batch, which is empty afterwards. */
void
fw_writer_clear(struct fw_writer *writer)
{
	size_t i;

	for (i = 0; i < writer->count; i++)
		free((void *)(uintptr_t)writer->records[i].value);
	writer->count = writer->stored = writer->sent = 0;
	writer->end = 0;
}

/* Call after the platform's thread has ended. */
void
fw_writer_free(struct fw_writer *writer)
{
	fw_writer_clear(writer);
	free(writer->records);
}

/* Returns the number of records that are not stored yet and that one append
 * holds, at least 1. */
static size_t
next_part(const struct fw_writer *writer)
{
	size_t left = writer->placer->parts.settings.request_bytes;
	size_t i;

	for (i = writer->stored; i < writer->count; i++) {
		const struct fw_record *record = &writer->records[i];
		size_t bytes = FW_RECORD_LENGTH_BYTES +
		    fw_record_bytes(record->key + 2, record->value_bytes);

		if (bytes > left && i > writer->stored)
			break;
		left -= bytes < left ? bytes : left;
	}
	return i - writer->stored;
}

/* Sends the batch, or the next part of one that exceeds an append. Retries have
 * the same records and sequence number, by which the store drops the duplicate
 * of an append that was stored but not answered. A placer that is fenced
 * between two parts has stored the first ones: each is a record of one job, and
 * read like the others. */
static void
send_batch(struct fw_writer *writer, int64_t now_ms)
{
	struct fw_append call = {.records = writer->records + writer->stored,
	    .sequence = writer->sequence};

	call.count = writer->sent = next_part(writer);
	writer->retry_ms =
	    send_append(writer, &call) ? INT64_MAX : now_ms + APPEND_RETRY_MS;
}

/* Sends the batch for the first time. */
void
fw_writer_send(struct fw_writer *writer, int64_t now_ms)
{
	writer->sent_ms = now_ms;
	send_batch(writer, now_ms);
}

/* Logs a failed append and schedules its retry. A fenced writer gives up the
 * term. */
static void
handle_failure(struct fw_writer *writer, enum fw_result result, int64_t now_ms)
{
	struct fw_placer *placer = writer->placer;

	ev_emit(EV_FLOW_APPEND_FAILED,
	    "topic=%d term=%llu sequence=%llu records=%zu fate=%d age_ms=%lld",
	    (int)writer->topic, (unsigned long long)placer->term,
	    (unsigned long long)writer->sequence, writer->count, (int)result,
	    (long long)(now_ms - writer->sent_ms));
	if (result == FW_RESULT_FENCED)
		fw_duty_fenced(placer->parts.duty, placer->term);
	writer->retry_ms = now_ms + APPEND_RETRY_MS;
}

/* Polls the pending batch and retries its append. Returns true once no batch is
 * pending: the follower has read its records from the log, so the board
 * reflects the decisions. */
bool
fw_writer_idle(struct fw_writer *writer, int64_t now_ms)
{
	enum fw_result result;
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
	if (writer->retry_ms != INT64_MAX ||
	    !poll_append(writer, &result, &end))
		return false;
	if (result != FW_RESULT_DONE) {
		handle_failure(writer, result, now_ms);
		return false;
	}
	writer->sequence++;
	writer->stored += writer->sent;
	if (writer->stored < writer->count) {
		send_batch(writer, now_ms);
		return false;
	}
	writer->end = end;
	fw_follower_catch_up(writer->follower, end);
	return fw_writer_idle(writer, now_ms);
}
