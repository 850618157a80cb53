#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"
#include "rejections.h"

/* The latest rejections that are remembered. */
#define KEPT 256

struct rejection {
	uint64_t id; /* of the job */
	uint64_t pool;
	int64_t at_ms;           /* wall time */
	int64_t latest_start_ms; /* it is useless if started later */
	uint32_t retry_after_s;
	bool open; /* not found to be early, and not replaced */
};

struct fw_rejections {
	pthread_mutex_t lock; /* of all that follows */
	uint64_t counts[FW_VERDICT_COUNT];
	uint64_t early;
	uint32_t next;
	struct rejection kept[KEPT];
};

static bool names_pool(const struct bd_ledger *ledger, uint64_t pool);

/* Creates an empty record of rejections. Returns FW_ENOMEM. */
int
fw_rejections_create(struct fw_rejections **out)
{
	*out = calloc(1, sizeof(**out));
	if (*out == NULL)
		return cw_error_set(FW_ENOMEM, "no memory for admission");
	pthread_mutex_init(&(*out)->lock, NULL);
	return CW_OK;
}

void
fw_rejections_free(struct fw_rejections *rejections)
{
	if (rejections == NULL)
		return;
	pthread_mutex_destroy(&rejections->lock);
	free(rejections);
}

/* Counts a verdict. A rejection is remembered; it replaces an earlier one of
 * the same job. */
void
fw_rejections_note(struct fw_rejections *rejections, const struct fw_need *need,
    const struct fw_verdict *verdict, int64_t wall_ms)
{
	struct rejection row = {.id = need->id,
	    .pool = need->pool,
	    .at_ms = wall_ms,
	    .latest_start_ms = wall_ms +
		need->target_ms * FW_USEFUL_TARGET_FACTOR - need->run_ms,
	    .retry_after_s = verdict->retry_after_s,
	    .open = true};
	uint32_t i;

	pthread_mutex_lock(&rejections->lock);
	rejections->counts[verdict->reason]++;
	for (i = 0; i < KEPT; i++)
		if (rejections->kept[i].id == need->id)
			rejections->kept[i].open = false;
	if (fw_verdict_rejects(verdict))
		rejections->kept[rejections->next++ % KEPT] = row;
	pthread_mutex_unlock(&rejections->lock);
}

/* Returns what the caller of the latest rejection of a job is told. */
uint32_t
fw_rejections_retry_after_s(struct fw_rejections *rejections, const char *name)
{
	uint32_t retry_after_s = 1;
	uint64_t id;
	uint32_t i;

	if (!fw_flow_id_parse(name, &id))
		return retry_after_s;
	pthread_mutex_lock(&rejections->lock);
	for (i = 0; i < KEPT; i++)
		if (rejections->kept[i].open && rejections->kept[i].id == id)
			retry_after_s = rejections->kept[i].retry_after_s;
	pthread_mutex_unlock(&rejections->lock);
	return retry_after_s;
}

static bool
names_pool(const struct bd_ledger *ledger, uint64_t pool)
{
	uint32_t i;

	for (i = 0; i < ledger->pool_count; i++)
		if (ledger->pools[i].id == pool)
			return true;
	return false;
}

/* Counts the rejected jobs that could have been done: by the ledger nothing
 * waits for capacity any more at a time at which they were not useless yet.
 * Returns how many were found now. */
uint32_t
fw_rejections_find_early(
    struct fw_rejections *rejections, const struct bd_board *board)
{
	const struct bd_ledger *ledger;
	uint32_t found = 0;
	uint32_t i;

	pthread_mutex_lock(&rejections->lock);
	bd_read_begin();
	ledger = bd_ledger_lookup(board, BD_CONFIG_ID);
	for (i = 0; i < KEPT && ledger != NULL; i++) {
		struct rejection *row = &rejections->kept[i];

		if (!row->open || row->at_ms >= ledger->at_ms)
			continue;
		if (ledger->at_ms > row->latest_start_ms)
			row->open = false;
		else if (!names_pool(ledger, row->pool)) {
			row->open = false;
			found++;
		}
	}
	bd_read_end();
	rejections->early += found;
	pthread_mutex_unlock(&rejections->lock);
	if (found > 0)
		ev_emit(EV_FLOW_REJECTED_EARLY, "jobs=%u", found);
	return found;
}

uint64_t
fw_rejections_count(
    struct fw_rejections *rejections, enum fw_verdict_reason reason)
{
	uint64_t count;

	pthread_mutex_lock(&rejections->lock);
	count = rejections->counts[reason];
	pthread_mutex_unlock(&rejections->lock);
	return count;
}

uint64_t
fw_rejections_early(struct fw_rejections *rejections)
{
	uint64_t early;

	pthread_mutex_lock(&rejections->lock);
	early = rejections->early;
	pthread_mutex_unlock(&rejections->lock);
	return early;
}
