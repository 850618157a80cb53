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
	    setup->key_count * sizeof(struct bd_access_key);
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

/* Returns the queue for a request: among the queues of the host name, the one
 * with the longest prefix of the path, or NULL if none matches. */
const struct bd_queue *
fw_queue_find(const struct bd_setup *setup, const char *host, const char *path)
{
	const struct bd_queue *queues = fw_setup_queues(setup);
	const struct bd_queue *best = NULL;
	size_t best_length = 0;
	uint32_t i;

	for (i = 0; i < setup->queue_count; i++) {
		const struct bd_queue *queue = &queues[i];
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
