#include <assert.h>
#include <stdlib.h>

#include "scheduler_internal.h"

static void sift_down(uint32_t *items, uint32_t root, uint32_t count,
    bool (*before)(const void *ctx, uint32_t a, uint32_t b), const void *ctx);

/* Allocates a hash table for capacity ids with a load factor of at most one
 * half. Returns CW_OK or SCH_ENOMEM. */
int
sch_index_init(struct sch_index *index, uint32_t capacity)
{
	uint32_t slots = 16;

	while (slots < capacity * 2)
		slots *= 2;
	index->entries = calloc(slots, sizeof(*index->entries));
	if (index->entries == NULL)
		return SCH_ENOMEM;
	index->mask = slots - 1;
	index->generation = 1;
	return CW_OK;
}

/* Removes all ids, without freeing or clearing memory. */
void
sch_index_reset(struct sch_index *index)
{
	index->generation++;
}

/* Adds an id that is not in the index yet. Ids are hashes or log positions; the
 * multiplication (Fibonacci hashing) spreads the latter. */
void
sch_index_put(struct sch_index *index, uint64_t id, uint32_t value)
{
	uint32_t slot =
	    (uint32_t)((id * 0x9e3779b97f4a7c15ULL) >> 32) & index->mask;

	while (index->entries[slot].generation == index->generation)
		slot = (slot + 1) & index->mask;
	index->entries[slot].id = id;
	index->entries[slot].value = value;
	index->entries[slot].generation = index->generation;
}

/* Returns the value of an id, or SCH_NONE. */
uint32_t
sch_index_get(const struct sch_index *index, uint64_t id)
{
	uint32_t slot =
	    (uint32_t)((id * 0x9e3779b97f4a7c15ULL) >> 32) & index->mask;

	while (index->entries[slot].generation == index->generation) {
		if (index->entries[slot].id == id)
			return index->entries[slot].value;
		slot = (slot + 1) & index->mask;
	}
	return SCH_NONE;
}

static void
sift_down(uint32_t *items, uint32_t root, uint32_t count,
    bool (*before)(const void *ctx, uint32_t a, uint32_t b), const void *ctx)
{
	uint32_t child;

	while ((child = root * 2 + 1) < count) {
		uint32_t item = items[root];

		if (child + 1 < count &&
		    before(ctx, items[child], items[child + 1]))
			child++;
		if (!before(ctx, item, items[child]))
			return;
		items[root] = items[child];
		items[child] = item;
		root = child;
	}
}

/* Sorts items with heap sort. qsort of the C library may allocate for large
 * arrays, and a decision must not allocate. before has to be a strict total
 * order. */
void
sch_sort(uint32_t *items, uint32_t count,
    bool (*before)(const void *ctx, uint32_t a, uint32_t b), const void *ctx)
{
	uint32_t i;

	assert(before != NULL);
	for (i = count / 2; i > 0; i--)
		sift_down(items, i - 1, count, before, ctx);
	for (i = count; i > 1; i--) {
		uint32_t last = items[i - 1];

		items[i - 1] = items[0];
		items[0] = last;
		sift_down(items, 0, i - 1, before, ctx);
	}
}
