#include <assert.h>
#include <stdlib.h>

#include "flow_internal.h"

#define IDS_INITIAL 64

static int compare_ids(const void *a, const void *b);

/* Starts to collect the ids of a snapshot. */
void
fw_snapshot_ids_begin(struct fw_snapshot_ids *snapshot)
{
	snapshot->count = 0;
	snapshot->recording = true;
	snapshot->complete = true;
}

/* Adds an id; does nothing unless a snapshot is being read. */
void
fw_snapshot_ids_add(struct fw_snapshot_ids *snapshot, uint64_t id)
{
	if (!snapshot->recording)
		return;
	if (snapshot->count == snapshot->capacity) {
		size_t capacity = snapshot->capacity == 0
		    ? IDS_INITIAL
		    : snapshot->capacity * 2;
		uint64_t *grown =
		    realloc(snapshot->ids, capacity * sizeof(*grown));

		if (grown == NULL) {
			snapshot->complete = false;
			return;
		}
		snapshot->ids = grown;
		snapshot->capacity = capacity;
	}
	snapshot->ids[snapshot->count++] = id;
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
fw_snapshot_ids_end(struct fw_snapshot_ids *snapshot)
{
	snapshot->recording = false;
	if (snapshot->count > 1)
		qsort(snapshot->ids, snapshot->count, sizeof(*snapshot->ids),
		    compare_ids);
	if (!snapshot->complete)
		ev_emit(EV_FLOW_NO_MEMORY, "what=reading");
	return snapshot->complete;
}

/* Returns whether the snapshot contains an id. Call after fw_snapshot_ids_end.
 */
bool
fw_snapshot_ids_contain(const struct fw_snapshot_ids *snapshot, uint64_t id)
{
	assert(!snapshot->recording);
	return snapshot->count > 0 &&
	    bsearch(&id, snapshot->ids, snapshot->count, sizeof(*snapshot->ids),
		compare_ids) != NULL;
}

/* Frees the ids; the collection is empty afterwards. */
void
fw_snapshot_ids_free(struct fw_snapshot_ids *snapshot)
{
	free(snapshot->ids);
	snapshot->ids = NULL;
	snapshot->count = snapshot->capacity = 0;
}
