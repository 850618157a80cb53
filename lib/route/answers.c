#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "route_internal.h"

#define SCAN_INTERVAL_MS 1000
#define RECLAIM_INTERVAL_MS 100
#define RETENTION_DEFAULT_MS (10 * 60 * 1000)
/* Entries that one rt_answer_put may evict, which bounds its run time. */
#define EVICT_MAX 64

static size_t entry_bytes(const struct rt_answer_entry *entry);
static void retire_entry(
    struct rt_router *route, struct rt_answer_entry *entry);
static void evict_oldest(struct rt_router *route);
static void free_retired(struct rt_router *route);

/* Returns the text that tells callers whether their request ran. */
const char *
rt_ran_name(enum rt_ran ran)
{
	static const char *const names[] = {"not run", "unknown", "ran"};

	assert(ran <= RT_RAN_YES);
	return names[ran];
}

/* Returns a request number that is unique on this VM. */
uint64_t
rt_request_number(struct rt_router *route)
{
	return atomic_fetch_add(&route->last_request, 1) + 1;
}

/* Formats the id of a request: the owner's incarnation and the request number,
 * 16 hexadecimal digits each. */
void
rt_id_format(uint64_t owner, uint64_t request, char id[RT_ID_BYTES])
{
	snprintf(id, RT_ID_BYTES, "%016llx%016llx", (unsigned long long)owner,
	    (unsigned long long)request);
}

/* Parses an id of 32 lower-case hexadecimal digits. Returns RT_ENOTFOUND for
 * any other text. */
int
rt_id_parse(const char *id, uint64_t *owner, uint64_t *request)
{
	uint64_t parts[2] = {0, 0};
	int i;

	for (i = 0; i < RT_ID_BYTES - 1; i++) {
		const char *digits = "0123456789abcdef";
		const char *digit =
		    id[i] == '\0' ? NULL : strchr(digits, id[i]);

		if (digit == NULL)
			return RT_ENOTFOUND;
		parts[i / 16] = parts[i / 16] << 4 | (uint64_t)(digit - digits);
	}
	if (id[RT_ID_BYTES - 1] != '\0')
		return RT_ENOTFOUND;
	*owner = parts[0];
	*request = parts[1];
	return CW_OK;
}

/* Returns the size of an entry as counted in answer_ring_bytes. */
static size_t
entry_bytes(const struct rt_answer_entry *entry)
{
	return sizeof(*entry) + entry->answer.body_bytes;
}

/* Readers may still use the entry; rt_answer_step frees it after a grace
 * period. */
static void
retire_entry(struct rt_router *route, struct rt_answer_entry *entry)
{
	struct rt_answer_entry *head = atomic_load(&route->answers_retired);

	atomic_fetch_sub(&route->answer_ring_bytes, entry_bytes(entry));
	do
		entry->next = head;
	while (!atomic_compare_exchange_weak(
	    &route->answers_retired, &head, entry));
}

/* Evicts the oldest completed answers, at most EVICT_MAX, until the total size
 * is within answer_bytes_max. */
static void
evict_oldest(struct rt_router *route)
{
	int i;

	for (i = 0; i < EVICT_MAX &&
	     atomic_load(&route->answer_ring_bytes) >
		 route->settings.answer_bytes_max;
	     i++) {
		uint64_t tail = atomic_load(&route->answer_ring_tail);
		uint64_t last = atomic_load(&route->last_request);
		uint64_t oldest = tail;
		struct rt_answer_entry *entry;

		/* Older entries were overwritten when the ring wrapped. */
		if (last > RT_ANSWER_RING_SIZE &&
		    oldest < last - RT_ANSWER_RING_SIZE)
			oldest = last - RT_ANSWER_RING_SIZE;
		if (oldest > last ||
		    !atomic_compare_exchange_strong(
			&route->answer_ring_tail, &tail, oldest + 1))
			return;
		tail = oldest;
		bd_read_begin();
		entry = atomic_load(
		    &route->answer_ring[tail % RT_ANSWER_RING_SIZE]);
		if (entry != NULL && !entry->answer.running &&
		    atomic_compare_exchange_strong(
			&route->answer_ring[tail % RT_ANSWER_RING_SIZE], &entry,
			NULL)) {
			retire_entry(route, entry);
			rt_counter_add(route, RT_COUNT_ANSWERS_EVICTED, 1);
		}
		bd_read_end();
	}
}

/*
 * Stores a copy of an answer of this VM, or a placeholder while the request
 * runs, which the answer replaces later. Drops the copy if its place in the
 * ring holds a request that still runs. Evicts older answers above
 * answer_bytes_max. Takes no lock. Returns RT_ENOMEM.
 */
int
rt_answer_put(
    struct rt_router *route, const struct rt_answer *answer, int64_t now_ms)
{
	_Atomic(struct rt_answer_entry *) *slot =
	    &route->answer_ring[answer->request % RT_ANSWER_RING_SIZE];
	struct rt_answer_entry *entry =
	    malloc(sizeof(*entry) + answer->body_bytes);
	struct rt_answer_entry *old;

	assert(answer->request != 0);
	if (entry == NULL)
		return RT_ENOMEM;
	entry->answer = *answer;
	entry->answer.body = entry->body;
	entry->stored_ms = now_ms;
	if (answer->body_bytes > 0)
		memcpy(entry->body, answer->body, answer->body_bytes);
	atomic_fetch_add(&route->answer_ring_bytes, entry_bytes(entry));
	bd_read_begin();
	old = atomic_load(slot);
	do {
		/* Never replace a placeholder of a request that still
		 * runs after the ring wrapped. */
		if (old != NULL && old->answer.running &&
		    old->answer.request != answer->request) {
			retire_entry(route, entry);
			entry = NULL;
			break;
		}
	} while (!atomic_compare_exchange_weak(slot, &old, entry));
	if (entry != NULL && old != NULL)
		retire_entry(route, old);
	bd_read_end();
	evict_oldest(route);
	return CW_OK;
}

/* Copies a stored answer; the caller frees out->body. Returns RT_ENOTFOUND or
 * RT_ENOMEM. */
int
rt_answer_get(struct rt_router *route, uint64_t request, struct rt_answer *out)
{
	const struct rt_answer_entry *entry;
	int code = RT_ENOTFOUND;

	bd_read_begin();
	entry = atomic_load(&route->answer_ring[request % RT_ANSWER_RING_SIZE]);
	if (entry != NULL && entry->answer.request == request) {
		*out = entry->answer;
		out->body = malloc(out->body_bytes + 1);
		code = out->body == NULL ? RT_ENOMEM : CW_OK;
		if (code == CW_OK)
			memcpy(out->body, entry->body, out->body_bytes);
	}
	bd_read_end();
	return code;
}

static void
free_retired(struct rt_router *route)
{
	struct rt_answer_entry *entry =
	    atomic_exchange(&route->answers_retired, NULL);

	if (entry == NULL)
		return;
	urcu_bp_synchronize_rcu();
	bd_grace_period_ended();
	while (entry != NULL) {
		struct rt_answer_entry *next = entry->next;

		free(entry);
		entry = next;
	}
}

/* Expires answers older than request_keep_ms and frees retired entries. Returns
 * the time of the next call (ms). */
int64_t
rt_answer_step(struct rt_router *route, int64_t now_ms)
{
	const struct bd_config *config;
	int64_t retention_ms = RETENTION_DEFAULT_MS;
	uint32_t i;

	free_retired(route);
	if (now_ms - route->answers_scan_ms < SCAN_INTERVAL_MS)
		return now_ms + RECLAIM_INTERVAL_MS;
	route->answers_scan_ms = now_ms;
	bd_read_begin();
	config = bd_config_lookup(route->board, BD_CONFIG_ID);
	if (config != NULL && config->request_keep_ms > 0)
		retention_ms = config->request_keep_ms;
	for (i = 0; i < RT_ANSWER_RING_SIZE; i++) {
		struct rt_answer_entry *entry =
		    atomic_load(&route->answer_ring[i]);

		if (entry != NULL && !entry->answer.running &&
		    now_ms - entry->stored_ms >= retention_ms &&
		    atomic_compare_exchange_strong(
			&route->answer_ring[i], &entry, NULL))
			retire_entry(route, entry);
	}
	bd_read_end();
	return now_ms + RECLAIM_INTERVAL_MS;
}

/* Frees all answers. No other thread may use the router any more. */
void
rt_answers_destroy(struct rt_router *route)
{
	uint32_t i;

	free_retired(route);
	for (i = 0; i < RT_ANSWER_RING_SIZE; i++)
		free(atomic_load(&route->answer_ring[i]));
}
