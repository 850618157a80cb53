#include "stops.h"

#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"

static uint32_t *bucket_of(
    struct fw_stops *stops, uint64_t flow, uint32_t first);
static uint32_t estimate(
    const struct bd_flow *flow, uint32_t first, uint32_t members);
static void drop_ended(struct fw_stops *stops, const struct bd_board *board);
static bool make_room(struct fw_stops *stops, const struct bd_board *board);

/* Returns the bucket of a group. */
static uint32_t *
bucket_of(struct fw_stops *stops, uint64_t flow, uint32_t first)
{
	return &stops->buckets[(flow * 31 + first) % FW_STOP_BUCKETS];
}

/* Returns the stops of a group in this term, or NULL if there was none. */
const struct fw_stop *
fw_stops_find(const struct fw_stops *stops, uint64_t flow, uint32_t first)
{
	uint32_t next = *bucket_of((struct fw_stops *)stops, flow, first);

	while (next != 0) {
		const struct fw_stop *stop = &stops->items[next - 1];

		if (stop->flow == flow && stop->first == first)
			return stop;
		next = stop->next;
	}
	return NULL;
}

/* Returns by a job's row how many earlier runs of a group have ended otherwise
 * than as failed or by a crash: by a stop, or with a worker that was lost. */
static uint32_t
estimate(const struct bd_flow *flow, uint32_t first, uint32_t members)
{
	const struct bd_step_task *tasks = fw_flow_tasks(flow);
	uint32_t most = 0;
	uint32_t i;

	for (i = first; i < first + members; i++) {
		uint32_t other = (uint32_t)tasks[i].failures +
		    tasks[i].crashes +
		    (tasks[i].state == BD_STEP_TASK_PLACED ? 1U : 0U);

		if (tasks[i].run > other && tasks[i].run - other > most)
			most = tasks[i].run - other;
	}
	return most;
}

/*
 * Returns how often a group was stopped for the sake of others. For a job that
 * was accepted before the term began (term_wall_ms) this is estimated from the
 * run numbers in its row, which outlive the placer. That counts runs which were
 * lost with their worker as well, so that such a job is stopped less often.
 */
uint32_t
fw_stops_of(const struct fw_stops *stops, const struct bd_flow *flow,
    uint32_t first, uint32_t members, int64_t term_wall_ms)
{
	const struct fw_stop *stop = fw_stops_find(stops, flow->id, first);
	uint32_t counted = stop != NULL ? stop->count : 0;
	uint32_t estimated;

	if (flow->accepted_ms > term_wall_ms + FW_CLOCK_SKEW_MAX_MS &&
	    stops->count < FW_STOPS_MAX)
		return counted;
	estimated = estimate(flow, first, members);
	return counted > estimated ? counted : estimated;
}

/* Drops the entries of jobs that have ended. */
static void
drop_ended(struct fw_stops *stops, const struct bd_board *board)
{
	uint32_t kept = 0;
	uint32_t i;

	memset(stops->buckets, 0, sizeof(stops->buckets));
	for (i = 0; i < stops->count; i++) {
		struct fw_stop *stop = &stops->items[i];
		const struct bd_flow *flow = bd_flow_lookup(board, stop->flow);
		uint32_t *bucket;

		if (flow == NULL || fw_flow_ended(flow))
			continue;
		bucket = bucket_of(stops, stop->flow, stop->first);
		stop->next = *bucket;
		stops->items[kept++] = *stop;
		*bucket = kept;
	}
	stops->count = kept;
}

/* Makes room for one more entry. Returns false if there is none. */
static bool
make_room(struct fw_stops *stops, const struct bd_board *board)
{
	uint32_t capacity = stops->capacity == 0 ? 64 : stops->capacity * 2;
	struct fw_stop *grown;

	if (stops->count < stops->capacity)
		return true;
	drop_ended(stops, board);
	if (stops->count < stops->capacity / 2)
		return true;
	if (capacity > FW_STOPS_MAX)
		return stops->count < stops->capacity;
	grown = realloc(stops->items, capacity * sizeof(*grown));
	if (grown == NULL)
		return stops->count < stops->capacity;
	stops->items = grown;
	stops->capacity = capacity;
	return true;
}

/* Notes a stop of a group; its count is ignored. The members of a gang that are
 * stopped at one time count once. */
void
fw_stops_note(struct fw_stops *stops, const struct bd_board *board,
    const struct fw_stop *stop)
{
	struct fw_stop *entry =
	    (struct fw_stop *)fw_stops_find(stops, stop->flow, stop->first);
	uint32_t *bucket;
	uint32_t next;

	if (entry == NULL) {
		if (!make_room(stops, board))
			return;
		bucket = bucket_of(stops, stop->flow, stop->first);
		entry = &stops->items[stops->count++];
		*entry = *stop;
		entry->next = *bucket;
		entry->count = 1;
		*bucket = stops->count;
		return;
	}
	if (entry->at_ms == stop->at_ms)
		return;
	next = entry->next;
	*entry = (struct fw_stop){.flow = entry->flow,
	    .first = entry->first,
	    .next = next,
	    .count = entry->count + 1,
	    .cost = entry->cost + stop->cost,
	    .at_ms = stop->at_ms};
	memcpy(entry->by, stop->by, sizeof(entry->by));
}

/* Forgets all stops, at the end of a term. */
void
fw_stops_clear(struct fw_stops *stops)
{
	free(stops->items);
	memset(stops, 0, sizeof(*stops));
}
