#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"

static int compare_ids(const void *a, const void *b);

/* Returns the size in bytes of a configuration's row. */
size_t
fw_setup_bytes(const struct bd_setup *setup)
{
	return sizeof(*setup) + setup->queue_count * sizeof(struct bd_queue) +
	    setup->client_count * sizeof(struct bd_client) +
	    setup->key_count * sizeof(struct bd_access_key) + setup->text_bytes;
}

/* Returns the queues of a configuration. Only those of a row that has not been
 * published may be changed; the same holds for clients and keys. */
struct bd_queue *
fw_setup_queues(const struct bd_setup *setup)
{
	return (struct bd_queue *)(uintptr_t)setup->data;
}

/* Returns the clients of a configuration. */
struct bd_client *
fw_setup_clients(const struct bd_setup *setup)
{
	return (
	    struct bd_client *)(fw_setup_queues(setup) + setup->queue_count);
}

/* Returns the access keys of a configuration. */
struct bd_access_key *
fw_setup_keys(const struct bd_setup *setup)
{
	return (struct bd_access_key *)(fw_setup_clients(setup) +
	    setup->client_count);
}

/* Returns the texts of a configuration. */
char *
fw_setup_texts(const struct bd_setup *setup)
{
	return (char *)(fw_setup_keys(setup) + setup->key_count);
}

/* Returns a text of a configuration, text->bytes bytes without a terminator. */
const char *
fw_setup_text(const struct bd_setup *setup, const struct bd_text *text)
{
	return fw_setup_texts(setup) + text->at;
}

/* Compares rows that start with their ids. */
static int
compare_ids(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

/* Sorts the clients and keys of a row before it is published. */
void
fw_setup_sort(struct bd_setup *setup)
{
	if (setup->client_count > 0)
		qsort(fw_setup_clients(setup), setup->client_count,
		    sizeof(struct bd_client), compare_ids);
	if (setup->key_count > 0)
		qsort(fw_setup_keys(setup), setup->key_count,
		    sizeof(struct bd_access_key), compare_ids);
}

/* Returns the configuration in force, or NULL. Call within a read section; all
 * that is looked up in the row belongs to one version. */
const struct bd_setup *
fw_setup(const struct bd_board *board)
{
	return bd_setup_lookup(board, BD_CONFIG_ID);
}

/* Notes that the newest configuration of the store could not be put into force,
 * and why. The same record may be refused again: the time of the first refusal
 * stays. Returns a status code of the board. */
int
fw_setup_refuse(struct bd_board *board, const struct fw_record *record,
    uint64_t version, const char *cause, int64_t now_ms)
{
	struct bd_setup_refused row = {
	    .version = version, .offset = record->offset, .since_ms = now_ms};
	struct bd_setup_refused before;

	if (fw_setup_refused(board, &before) && before.offset == record->offset)
		row.since_ms = before.since_ms;
	snprintf(row.cause, sizeof(row.cause), "%s", cause);
	return bd_put(board, BD_TABLE_setup_refused, BD_WRITER_FLOW,
	    BD_CONFIG_ID, &row, sizeof(row), NULL);
}

/* Notes that the configuration of a record has been applied: it is the newest
 * one, unless one that was refused came after it. */
void
fw_setup_accept(struct bd_board *board, const struct fw_record *record)
{
	struct bd_setup_refused refused;

	if (fw_setup_refused(board, &refused) &&
	    record->offset >= refused.offset)
		bd_remove(board, BD_TABLE_setup_refused, BD_WRITER_FLOW,
		    BD_CONFIG_ID);
}

/* Returns whether the newest configuration of the store was refused here, and
 * copies its row to *out, which may be NULL. */
bool
fw_setup_refused(const struct bd_board *board, struct bd_setup_refused *out)
{
	const struct bd_setup_refused *row;

	bd_read_begin();
	row = bd_setup_refused_lookup(board, BD_CONFIG_ID);
	if (row != NULL && out != NULL)
		*out = *row;
	bd_read_end();
	return row != NULL;
}

/* Returns the queue for a request: among the queues of the host name, the one
 * with the longest prefix of the path, or NULL if none matches. host is a host
 * name that a port may follow. */
const struct bd_queue *
fw_queue_find(const struct bd_setup *setup, const char *host, const char *path)
{
	const struct bd_queue *queues = fw_setup_queues(setup);
	const struct bd_queue *best = NULL;
	size_t host_bytes = strcspn(host, ":");
	size_t path_bytes = strlen(path);
	uint32_t i;

	for (i = 0; i < setup->queue_count; i++) {
		const struct bd_queue *queue = &queues[i];

		if (queue->host.bytes != host_bytes ||
		    queue->prefix.bytes > path_bytes ||
		    (best != NULL && queue->prefix.bytes <= best->prefix.bytes))
			continue;
		if (memcmp(fw_setup_text(setup, &queue->host), host,
			host_bytes) == 0 &&
		    memcmp(fw_setup_text(setup, &queue->prefix), path,
			queue->prefix.bytes) == 0)
			best = queue;
	}
	return best;
}

/* Returns the client with an id, or NULL. */
const struct bd_client *
fw_client_find(const struct bd_setup *setup, uint64_t id)
{
	if (setup->client_count == 0)
		return NULL;
	return bsearch(&id, fw_setup_clients(setup), setup->client_count,
	    sizeof(struct bd_client), compare_ids);
}

/* Returns the access key with an id, or NULL. */
const struct bd_access_key *
fw_access_key_find(const struct bd_setup *setup, uint64_t id)
{
	if (setup->key_count == 0)
		return NULL;
	return bsearch(&id, fw_setup_keys(setup), setup->key_count,
	    sizeof(struct bd_access_key), compare_ids);
}
