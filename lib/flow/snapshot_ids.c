#include <assert.h>
#include <stdlib.h>

#include "flow_internal.h"

#define IDS_INITIAL 64

static int compare_ids(const void *a, const void *b);

/* Starts to collect the ids of a snapshot. */
void
fw_snapshot_ids_begin(struct fw_snapshot_ids *seen)
{
	seen->count = 0;
	seen->recording = true;
	seen->complete = true;
}

/* Adds an id; does nothing unless a snapshot is being read. */
void
fw_snapshot_ids_add(struct fw_snapshot_ids *seen, uint64_t id)
{
	if (!seen->recording)
		return;
	if (seen->count == seen->room) {
		size_t room = seen->room == 0 ? IDS_INITIAL : seen->room * 2;
		uint64_t *grown = realloc(seen->ids, room * sizeof(*grown));

		if (grown == NULL) {
			seen->complete = false;
			return;
		}
		seen->ids = grown;
		seen->room = room;
	}
	seen->ids[seen->count++] = id;
}

static int
compare_ids(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

/* Ends the collection. Returns false if it is incomplete for lack of memory, in
 * which case a missing id does not mean a deleted row. */
bool
fw_snapshot_ids_end(struct fw_snapshot_ids *seen)
{
	seen->recording = false;
	if (seen->count > 1)
		qsort(seen->ids, seen->count, sizeof(*seen->ids), compare_ids);
	if (!seen->complete)
		ev_emit(EV_FLOW_NO_MEMORY, "what=reading");
	return seen->complete;
}

/* Tells whether the snapshot contains an id. Call after fw_snapshot_ids_end. */
bool
fw_snapshot_ids_contain(const struct fw_snapshot_ids *seen, uint64_t id)
{
	assert(!seen->recording);
	return seen->count > 0 &&
	    bsearch(&id, seen->ids, seen->count, sizeof(*seen->ids),
		compare_ids) != NULL;
}

/* Frees the ids; the collection is empty afterwards. */
void
fw_snapshot_ids_free(struct fw_snapshot_ids *seen)
{
	free(seen->ids);
	seen->ids = NULL;
	seen->count = seen->room = 0;
}
