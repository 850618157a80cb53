#include <assert.h>
#include <stdlib.h>

#include "flow_internal.h"

#define IDS_FIRST 64

static int compare_ids(const void *a, const void *b);

/* Begins to note the rows that a reading of the newest records names. */
void
fw_seen_begin(struct fw_seen *seen)
{
	seen->count = 0;
	seen->noting = true;
	seen->whole = true;
}

/* Notes a row; does nothing outside of a reading. */
void
fw_seen_add(struct fw_seen *seen, uint64_t id)
{
	if (!seen->noting)
		return;
	if (seen->count == seen->room) {
		size_t room = seen->room == 0 ? IDS_FIRST : seen->room * 2;
		uint64_t *grown = realloc(seen->ids, room * sizeof(*grown));

		if (grown == NULL) {
			seen->whole = false;
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

/* Ends noting. Returns false where a row could not be noted, so that nothing
 * can be said of those that are missing. */
bool
fw_seen_end(struct fw_seen *seen)
{
	seen->noting = false;
	if (seen->count > 1)
		qsort(seen->ids, seen->count, sizeof(*seen->ids), compare_ids);
	if (!seen->whole)
		ev_emit(EV_FLOW_NO_MEMORY, "what=reading");
	return seen->whole;
}

/* Tells whether the reading named a row. Call after fw_seen_end. */
bool
fw_seen_has(const struct fw_seen *seen, uint64_t id)
{
	assert(!seen->noting);
	return seen->count > 0 &&
	    bsearch(&id, seen->ids, seen->count, sizeof(*seen->ids),
		compare_ids) != NULL;
}

/* Frees what was noted. */
void
fw_seen_free(struct fw_seen *seen)
{
	free(seen->ids);
	seen->ids = NULL;
	seen->count = seen->room = 0;
}
