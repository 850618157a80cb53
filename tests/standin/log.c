#include <endian.h>
#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "standin.h"

#define STREAMS_MAX 16
#define ENTRY_BYTES_MAX (1024 * 1024)
#define READ_BYTES_DEFAULT (1024 * 1024)
#define LONG_POLL_MAX_MS 30000
#define FRAME_HEADER_BYTES 12
#define SLOW_DELAY_MS 1500

struct entry {
	uint32_t bytes;
	char data[];
};

/* A ring of log_count slots holds the entries first to next - 1. */
struct stream {
	char name[CW_NAME_BYTES];
	struct entry **ring;
	uint64_t first;
	uint64_t next;
	uint64_t bytes;
};

static struct stream streams[STREAMS_MAX];
static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t appended = PTHREAD_COND_INITIALIZER;

static struct stream *stream_find_or_create(const char *name);
static void drop_oldest(struct stream *stream);
static int append(const struct si_request *request, const char *name);
static size_t frame_entries(
    struct stream *stream, uint64_t from, size_t bytes_max, char **out);
static int read_from(const struct si_request *request, const char *name);
static int answer_range(const struct si_request *request, const char *name);

/* Returns NULL if the name is too long, all streams are in use, or memory is
 * exhausted. The caller holds the mutex. */
static struct stream *
stream_find_or_create(const char *name)
{
	size_t i;

	for (i = 0; i < STREAMS_MAX; i++) {
		struct stream *stream = &streams[i];

		if (stream->ring != NULL && strcmp(stream->name, name) == 0)
			return stream;
		if (stream->ring != NULL)
			continue;
		if (cw_name_copy(stream->name, sizeof(stream->name), name) !=
		    CW_OK)
			return NULL;
		stream->ring =
		    calloc(si_settings.log_count, sizeof(*stream->ring));
		return stream->ring == NULL ? NULL : stream;
	}
	return NULL;
}

static void
drop_oldest(struct stream *stream)
{
	struct entry **slot =
	    &stream->ring[stream->first % si_settings.log_count];

	stream->bytes -= (*slot)->bytes;
	free(*slot);
	*slot = NULL;
	stream->first++;
}

static int
append(const struct si_request *request, const char *name)
{
	struct entry *entry;
	struct stream *stream;
	uint64_t offset = 0;

	if (request->body_bytes > ENTRY_BYTES_MAX)
		return si_answer_error(
		    request->conn, 413, "entry is too large");
	entry = malloc(sizeof(*entry) + request->body_bytes);
	if (entry == NULL)
		return si_answer_error(request->conn, 503, "no memory");
	entry->bytes = (uint32_t)request->body_bytes;
	memcpy(entry->data, request->body, request->body_bytes);
	pthread_mutex_lock(&mutex);
	stream = stream_find_or_create(name);
	if (stream != NULL) {
		while (stream->next - stream->first >= si_settings.log_count ||
		    (stream->next > stream->first &&
			stream->bytes + entry->bytes > si_settings.log_bytes))
			drop_oldest(stream);
		offset = stream->next++;
		stream->ring[offset % si_settings.log_count] = entry;
		stream->bytes += entry->bytes;
		pthread_cond_broadcast(&appended);
	}
	pthread_mutex_unlock(&mutex);
	if (stream == NULL) {
		free(entry);
		return si_answer_error(request->conn, 400, "no such stream");
	}
	if (si_fault_is_on("log_lose_answer", name))
		return si_close_without_answer(
		    request->conn, SI_SILENCE_MAX_MS);
	return si_answer_json(request->conn, 200,
	    json_pack("{s:I}", "offset", (json_int_t)offset));
}

/* Encodes entries as frames: 8 bytes offset, 4 bytes length (big endian), data.
 * The first entry is included even if it exceeds bytes_max. The caller holds
 * the mutex. */
static size_t
frame_entries(
    struct stream *stream, uint64_t from, size_t bytes_max, char **out)
{
	size_t bytes = 0, used = 0;
	uint64_t end, at;

	for (end = from; end < stream->next; end++) {
		size_t more = FRAME_HEADER_BYTES +
		    stream->ring[end % si_settings.log_count]->bytes;

		if (end > from && bytes + more > bytes_max)
			break;
		bytes += more;
	}
	*out = malloc(bytes + 1);
	for (at = from; *out != NULL && at < end; at++) {
		struct entry *entry = stream->ring[at % si_settings.log_count];
		uint64_t offset = htobe64(at);
		uint32_t length = htobe32(entry->bytes);

		memcpy(*out + used, &offset, sizeof(offset));
		memcpy(*out + used + 8, &length, sizeof(length));
		memcpy(*out + used + FRAME_HEADER_BYTES, entry->data,
		    entry->bytes);
		used += FRAME_HEADER_BYTES + entry->bytes;
	}
	return used;
}

static int
read_from(const struct si_request *request, const char *name)
{
	uint64_t from = (uint64_t)si_query_number(request->info, "from", 0);
	int64_t wait_ms = si_query_number(request->info, "wait_ms", 0);
	int64_t bytes_max =
	    si_query_number(request->info, "max_bytes", READ_BYTES_DEFAULT);
	struct stream *stream;
	struct timespec until;
	char *out = NULL;
	size_t bytes = 0;
	int status = 200;

	if (wait_ms > LONG_POLL_MAX_MS)
		wait_ms = LONG_POLL_MAX_MS;
	if (bytes_max < 0 || bytes_max > READ_BYTES_DEFAULT)
		bytes_max = READ_BYTES_DEFAULT;
	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_nsec += wait_ms % 1000 * 1000000;
	until.tv_sec += wait_ms / 1000 + until.tv_nsec / 1000000000;
	until.tv_nsec %= 1000000000;
	pthread_mutex_lock(&mutex);
	stream = stream_find_or_create(name);
	while (stream != NULL && from >= stream->next && wait_ms > 0 &&
	    !si_is_stopping() &&
	    pthread_cond_timedwait(&appended, &mutex, &until) != ETIMEDOUT)
		;
	if (stream == NULL)
		status = 400;
	else if (from < stream->first)
		status = 410;
	else
		bytes = frame_entries(stream, from, (size_t)bytes_max, &out);
	pthread_mutex_unlock(&mutex);
	if (status != 200 || out == NULL)
		return si_answer_error(request->conn,
		    status == 200 ? 503 : status, "not in the log");
	si_answer(request->conn, 200, "application/octet-stream", out, bytes);
	free(out);
	return 200;
}

static int
answer_range(const struct si_request *request, const char *name)
{
	json_int_t first = 0, next = 0;
	struct stream *stream;

	pthread_mutex_lock(&mutex);
	stream = stream_find_or_create(name);
	if (stream != NULL) {
		first = (json_int_t)stream->first;
		next = (json_int_t)stream->next;
	}
	pthread_mutex_unlock(&mutex);
	if (stream == NULL)
		return si_answer_error(request->conn, 400, "no such stream");
	return si_answer_json(request->conn, 200,
	    json_pack("{s:I, s:I}", "first", first, "next", next));
}

/* POST /log/{stream}, GET /log/{stream} and GET /log/{stream}/range. */
int
si_log_handle(const struct si_request *request)
{
	char name[CW_NAME_BYTES] = "";
	const char *rest = request->info->local_uri + strlen("/log/");
	size_t length = strcspn(rest, "/");

	if (length == 0 || length >= sizeof(name))
		return si_answer_error(request->conn, 400, "no such stream");
	memcpy(name, rest, length);
	rest += length;
	if (si_fault_is_silent("log_silent", name, request->conn))
		return si_close_without_answer(
		    request->conn, SI_SILENCE_MAX_MS);
	if (si_fault_is_on("log_outage", name))
		return si_answer_error(request->conn, 503, "log outage");
	if (si_fault_is_on("log_slow", name))
		si_sleep(SLOW_DELAY_MS);
	if (strcmp(rest, "/range") == 0)
		return answer_range(request, name);
	if (*rest != '\0')
		return si_answer_error(request->conn, 404, "not found");
	if (si_method_is(request->info, "POST"))
		return append(request, name);
	return read_from(request, name);
}

/* Wakes the long polls, which end if the program is stopping. */
void
si_log_end_waits(void)
{
	pthread_mutex_lock(&mutex);
	pthread_cond_broadcast(&appended);
	pthread_mutex_unlock(&mutex);
}
