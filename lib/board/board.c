#include <assert.h>
#include <errno.h>
#include <stdlib.h>
#include <time.h>

#include "board_internal.h"

#define BUCKETS_MIN 64 /* of the hash table of ids */

struct table_spec {
	const char *name;
	enum bd_writer writer;
	uint32_t capacity;
	size_t row_bytes;
};

static const struct table_spec table_specs[BD_TABLE_COUNT] = {
#define BD_TABLE(name, type, writer, capacity) \
	[BD_TABLE_##name] = {#name, writer, capacity, sizeof(type)},
    BD_TABLES(BD_TABLE)
#undef BD_TABLE
};

static int table_init(struct bd_table *table, const struct table_spec *spec);
static void table_destroy(struct bd_table *table);

static int
table_init(struct bd_table *table, const struct table_spec *spec)
{
	unsigned long buckets = BUCKETS_MIN;

	table->name = spec->name;
	table->writer = spec->writer;
	table->capacity = spec->capacity;
	table->row_bytes = spec->row_bytes;
	table->entries = calloc(spec->capacity, sizeof(*table->entries));
	table->free_list = calloc(spec->capacity, sizeof(*table->free_list));
	/* Without an upper bound the hash table doubles whenever three rows
	 * share a bucket; a full request table then has 20 million buckets. */
	while (buckets < spec->capacity / 2)
		buckets *= 2;
	table->by_id = cds_lfht_new_flavor(BUCKETS_MIN, BUCKETS_MIN, buckets,
	    CDS_LFHT_AUTO_RESIZE, &urcu_bp_flavor, NULL);
	if (table->entries == NULL || table->free_list == NULL ||
	    table->by_id == NULL)
		return BD_ENOMEM;
	return CW_OK;
}

static void
table_destroy(struct bd_table *table)
{
	if (table->by_id != NULL)
		cds_lfht_destroy(table->by_id, NULL);
	free(table->entries);
	free(table->free_list);
}

/* Returns the text of a status code of this module or of lib/base. */
const char *
bd_status_name(int code)
{
	switch (code) {
	case BD_ESTALE:
		return "stale handle";
	case BD_EFULL:
		return "table is full";
	case BD_EEXIST:
		return "row already exists";
	case BD_ENOTFOUND:
		return "no such row";
	case BD_ENOMEM:
		return "out of memory";
	default:
		return cw_status_name(code);
	}
}

/* Returns the name of a table, as in docs/design.md. */
const char *
bd_table_name(enum bd_table_number number)
{
	assert(number < BD_TABLE_COUNT);
	return table_specs[number].name;
}

/* Returns the maximum number of rows in a table. */
uint32_t
bd_table_capacity(enum bd_table_number number)
{
	assert(number < BD_TABLE_COUNT);
	return table_specs[number].capacity;
}

/* Creates the published state with all tables empty. Returns BD_ENOMEM. */
int
bd_board_create(struct bd_board **out)
{
	struct bd_board *board = calloc(1, sizeof(*board));
	pthread_condattr_t attr;
	int code = CW_OK;
	int i;

	if (board == NULL)
		return BD_ENOMEM;
	pthread_mutex_init(&board->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&board->changed, &attr);
	pthread_condattr_destroy(&attr);
	for (i = 0; i < BD_TABLE_COUNT && code == CW_OK; i++)
		code = table_init(&board->tables[i], &table_specs[i]);
	if (cw_is_error(code)) {
		bd_board_destroy(board);
		return cw_error_set(
		    code, "out of memory while creating the state tables");
	}
	*out = board;
	return CW_OK;
}

/* Frees the published state. No other thread may use it any more. */
void
bd_board_destroy(struct bd_board *board)
{
	int i;

	for (i = 0; i < BD_TABLE_COUNT; i++)
		if (board->tables[i].by_id != NULL)
			bd_clear(board, i, board->tables[i].writer);
	urcu_bp_barrier();
	for (i = 0; i < BD_TABLE_COUNT; i++)
		table_destroy(&board->tables[i]);
	pthread_cond_destroy(&board->changed);
	pthread_mutex_destroy(&board->lock);
	free(board);
}

/* Begins a change of several rows. Only the state controller makes such
 * changes, so they do not nest. */
void
bd_change_begin(struct bd_board *board)
{
	uint64_t before = atomic_fetch_add(&board->change_count, 1);

	assert(before % 2 == 0);
	(void)before;
}

/* Ends a change of several rows. */
void
bd_change_end(struct bd_board *board)
{
	uint64_t before = atomic_fetch_add(&board->change_count, 1);

	assert(before % 2 == 1);
	(void)before;
}

/* Returns the number of calls of bd_change_begin and bd_change_end so far;
 * an odd number means that a change is in progress. */
uint64_t
bd_change_count(const struct bd_board *board)
{
	return atomic_load(&((struct bd_board *)board)->change_count);
}

/* Wakes every thread in bd_wait after tables have changed. */
void
bd_notify(struct bd_board *board)
{
	pthread_mutex_lock(&board->lock);
	atomic_fetch_add(&board->notify_count, 1);
	pthread_cond_broadcast(&board->changed);
	pthread_mutex_unlock(&board->lock);
}

/* Returns the number of calls of bd_notify so far. */
uint64_t
bd_notify_count(const struct bd_board *board)
{
	return atomic_load(&((struct bd_board *)board)->notify_count);
}

/*
 * Blocks until bd_notify_count differs from seen or timeout_ms has passed.
 * Returns the present count.
 */
uint64_t
bd_wait(struct bd_board *board, uint64_t seen, int64_t timeout_ms)
{
	struct timespec until;
	uint64_t count;

	cw_clock_deadline(timeout_ms, &until);
	pthread_mutex_lock(&board->lock);
	while ((count = atomic_load(&board->notify_count)) == seen)
		if (pthread_cond_timedwait(
			&board->changed, &board->lock, &until) == ETIMEDOUT)
			break;
	pthread_mutex_unlock(&board->lock);
	return count;
}

/*
 * Returns the share of a limit that each of entry_vms VMs may use without a
 * lease: half of the limit divided equally, but 1 if that is 0 and the limit is
 * at least entry_vms. These shares never add up to more than the limit. If the
 * limit is below entry_vms the share is 0, and the whole limit is leased.
 */
uint32_t
bd_share_floor(uint32_t limit, uint32_t entry_vms)
{
	uint32_t vms = entry_vms == 0 ? 1 : entry_vms;
	uint32_t part = limit / 2 / vms;

	return part == 0 && limit >= vms ? 1 : part;
}
