#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "board_internal.h"

static struct bd_stored_row *stored_of_row(const void *row);
static unsigned long hash_id(uint64_t id);
static int match_id(struct cds_lfht_node *node, const void *key);
static struct bd_stored_row *find_stored(
    const struct bd_table *table, uint64_t id);
static void free_stored(struct rcu_head *head);
static struct bd_stored_row *create_stored(
    uint64_t id, const void *row, size_t bytes);
static void replace_stored(struct bd_table *table, struct bd_stored_row *old,
    struct bd_stored_row *stored);
static int insert_stored(struct bd_table *table, struct bd_stored_row *stored);
static void remove_stored(struct bd_table *table, struct bd_stored_row *stored);
static int add_found(struct bd_rows *rows, uint32_t *capacity, const void *row,
    struct bd_handle handle);
static void drop_stale(const struct bd_board *board,
    enum bd_table_number number, struct bd_rows *rows);

/* Annotation for ThreadSanitizer that stands for all grace periods: the end
 * of a read section releases it, code that runs after a grace period
 * acquires it. Its value is never used. */
static char grace_period;

static struct bd_stored_row *
stored_of_row(const void *row)
{
	return caa_container_of(row, struct bd_stored_row, row);
}

/* Mixes all bits of an id. Ids of jobs are log positions, whose low bits
 * hardly differ, and the hash table selects buckets by the low bits. */
static unsigned long
hash_id(uint64_t id)
{
	id = (id ^ (id >> 30)) * 0xbf58476d1ce4e5b9ULL;
	id = (id ^ (id >> 27)) * 0x94d049bb133111ebULL;
	return (unsigned long)(id ^ (id >> 31));
}

static int
match_id(struct cds_lfht_node *node, const void *key)
{
	const struct bd_stored_row *stored =
	    caa_container_of(node, struct bd_stored_row, node);

	CW_TSAN_ACQUIRE(stored);
	return stored->id == *(const uint64_t *)key;
}

/* The caller is in a read section. */
static struct bd_stored_row *
find_stored(const struct bd_table *table, uint64_t id)
{
	struct cds_lfht_iter iter;
	struct cds_lfht_node *node;

	cds_lfht_lookup(table->by_id, hash_id(id), match_id, &id, &iter);
	node = cds_lfht_iter_get_node(&iter);
	if (node == NULL)
		return NULL;
	return caa_container_of(node, struct bd_stored_row, node);
}

static void
free_stored(struct rcu_head *head)
{
	bd_grace_period_ended();
	free(caa_container_of(head, struct bd_stored_row, rcu));
}

static struct bd_stored_row *
create_stored(uint64_t id, const void *row, size_t bytes)
{
	struct bd_stored_row *stored = malloc(sizeof(*stored) + bytes);

	if (stored == NULL)
		return NULL;
	cds_lfht_node_init(&stored->node);
	stored->id = id;
	stored->bytes = bytes;
	memcpy(stored->row, row, bytes);
	return stored;
}

/* Publishes a row in place of the one with the same id. */
static void
replace_stored(struct bd_table *table, struct bd_stored_row *old,
    struct bd_stored_row *stored)
{
	struct cds_lfht_iter iter;

	stored->handle = old->handle;
	cds_lfht_lookup(
	    table->by_id, hash_id(stored->id), match_id, &stored->id, &iter);
	CW_TSAN_RELEASE(stored);
	rcu_set_pointer(&table->entries[stored->handle.index].stored, stored);
	cds_lfht_replace(table->by_id, &iter, hash_id(stored->id), match_id,
	    &stored->id, &stored->node);
	urcu_bp_call_rcu(&old->rcu, free_stored);
}

/* Publishes a row with a new id. Returns BD_EFULL. */
static int
insert_stored(struct bd_table *table, struct bd_stored_row *stored)
{
	struct bd_entry *entry;
	uint32_t index;

	/* Indexes that were never used come last: iteration stays short, and
	 * unused entries take no memory. */
	if (table->free_count > 0)
		index = table->free_list[--table->free_count];
	else if (atomic_load(&table->index_end) < table->capacity)
		index = atomic_load(&table->index_end);
	else
		return cw_error_set(BD_EFULL, "table %s is full at %u rows",
		    table->name, table->capacity);
	entry = &table->entries[index];
	stored->handle.index = index;
	stored->handle.generation = atomic_load(&entry->generation);
	CW_TSAN_RELEASE(stored);
	rcu_set_pointer(&entry->stored, stored);
	cds_lfht_add(table->by_id, hash_id(stored->id), &stored->node);
	atomic_fetch_add(&table->row_count, 1);
	if (index >= atomic_load(&table->index_end))
		atomic_store(&table->index_end, index + 1);
	return CW_OK;
}

static void
remove_stored(struct bd_table *table, struct bd_stored_row *stored)
{
	struct bd_entry *entry = &table->entries[stored->handle.index];

	/* The generation is incremented first, so that a stale handle never
	 * matches the row that reuses the entry. */
	atomic_fetch_add(&entry->generation, 1);
	rcu_set_pointer(&entry->stored, NULL);
	cds_lfht_del(table->by_id, &stored->node);
	table->free_list[table->free_count++] = stored->handle.index;
	atomic_fetch_sub(&table->row_count, 1);
	urcu_bp_call_rcu(&stored->rcu, free_stored);
}

/* Starts a read section of the calling thread. Read sections may nest. */
void
bd_read_begin(void)
{
	urcu_bp_read_lock();
}

/* Ends a read section. Row pointers obtained in it are invalid from then on. */
void
bd_read_end(void)
{
	CW_TSAN_RELEASE(&grace_period);
	urcu_bp_read_unlock();
}

/* Tells ThreadSanitizer that the read sections from before a grace period
 * have ended. Must be called first in any code that runs after one. */
void
bd_grace_period_ended(void)
{
	CW_TSAN_ACQUIRE(&grace_period);
}

/*
 * Returns the row of a handle, or NULL with *status = BD_ESTALE if the row has
 * been removed since. status may be NULL. Must be called in a read section.
 */
const void *
bd_get(const struct bd_board *board, enum bd_table_number number,
    struct bd_handle handle, int *status)
{
	const struct bd_table *table = &board->tables[number];
	const struct bd_stored_row *stored = NULL;

	if (handle.index < table->capacity)
		stored = rcu_dereference(table->entries[handle.index].stored);
	if (stored != NULL)
		CW_TSAN_ACQUIRE(stored);
	if (stored == NULL || stored->handle.generation != handle.generation) {
		if (status != NULL)
			*status = BD_ESTALE;
		return NULL;
	}
	if (status != NULL)
		*status = CW_OK;
	return stored->row;
}

/*
 * Returns the row with an id, or NULL. Stores its handle if handle is not NULL.
 * Must be called in a read section.
 */
const void *
bd_lookup(const struct bd_board *board, enum bd_table_number number,
    uint64_t id, struct bd_handle *handle)
{
	const struct bd_stored_row *stored =
	    find_stored(&board->tables[number], id);

	if (stored == NULL)
		return NULL;
	if (handle != NULL)
		*handle = stored->handle;
	return stored->row;
}

/*
 * Iterates over a table in the order of its entries; *cursor starts at 0.
 * Returns NULL at the end. Rows added or removed meanwhile may be missed. Must
 * be called in a read section.
 */
const void *
bd_next(const struct bd_board *board, enum bd_table_number number,
    uint32_t *cursor, struct bd_handle *handle)
{
	const struct bd_table *table = &board->tables[number];
	uint32_t index_end = atomic_load_explicit(
	    &((struct bd_table *)table)->index_end, memory_order_acquire);

	while (*cursor < index_end) {
		const struct bd_stored_row *stored =
		    rcu_dereference(table->entries[*cursor].stored);

		(*cursor)++;
		if (stored == NULL)
			continue;
		CW_TSAN_ACQUIRE(stored);
		if (handle != NULL)
			*handle = stored->handle;
		return stored->row;
	}
	return NULL;
}

/* Adds a row to a list, which grows as needed. Returns BD_ENOMEM. */
static int
add_found(struct bd_rows *rows, uint32_t *capacity, const void *row,
    struct bd_handle handle)
{
	if (rows->count == *capacity) {
		struct bd_found_row *items = realloc(
		    rows->items, 2 * (size_t)*capacity * sizeof(*items));

		if (items == NULL)
			return BD_ENOMEM;
		rows->items = items;
		*capacity *= 2;
	}
	rows->items[rows->count++] =
	    (struct bd_found_row){.row = row, .handle = handle};
	return CW_OK;
}

/* Drops the rows of a list that were removed meanwhile: one that was added
 * again is in the list twice, and its former handle is stale. */
static void
drop_stale(const struct bd_board *board, enum bd_table_number number,
    struct bd_rows *rows)
{
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < rows->count; i++)
		if (bd_get(board, number, rows->items[i].handle, NULL) != NULL)
			rows->items[kept++] = rows->items[i];
	rows->count = kept;
}

/*
 * Collects the rows of a table in the order of its entries, for readers that
 * need as many elements as there are rows: other threads may add and remove
 * rows meanwhile. A row that is added or removed during the call may be missed;
 * one that is removed and added again is found at most once. Must be called in
 * a read section, in which the rows stay valid; the caller frees the list with
 * bd_rows_free. Returns BD_ENOMEM, with an empty list.
 */
int
bd_rows_collect(const struct bd_board *board, enum bd_table_number number,
    struct bd_rows *out)
{
	uint32_t capacity = bd_row_count(board, number) + 1;
	struct bd_handle handle;
	uint32_t cursor = 0;
	const void *row;
	int code = CW_OK;

	out->count = 0;
	out->items = malloc(capacity * sizeof(*out->items));
	if (out->items == NULL)
		return BD_ENOMEM;
	while (code == CW_OK &&
	    (row = bd_next(board, number, &cursor, &handle)) != NULL)
		code = add_found(out, &capacity, row, handle);
	if (code != CW_OK) {
		bd_rows_free(out);
		return code;
	}
	drop_stale(board, number, out);
	return CW_OK;
}

/* Frees a list of rows. May be called again. */
void
bd_rows_free(struct bd_rows *rows)
{
	free(rows->items);
	rows->items = NULL;
	rows->count = 0;
}

/* Returns the number of rows in a table. Other threads may change it at any
 * time: an array for the rows is sized by bd_rows_collect. */
uint32_t
bd_row_count(const struct bd_board *board, enum bd_table_number number)
{
	return atomic_load(
	    &((struct bd_board *)board)->tables[number].row_count);
}

/* Returns the size in bytes of a row that was returned by one of the
 * readers. */
size_t
bd_row_bytes(const void *row)
{
	return stored_of_row(row)->bytes;
}

/*
 * Adds a row, or replaces the one with the same id, whose handle stays valid.
 * bytes is at least the size of the row's type, and more for rows that end in a
 * flexible array. Stores the handle if handle is not NULL. Returns BD_EFULL or
 * BD_ENOMEM; the table is then unchanged.
 */
int
bd_put(struct bd_board *board, enum bd_table_number number,
    enum bd_writer writer, uint64_t id, const void *row, size_t bytes,
    struct bd_handle *handle)
{
	struct bd_table *table = &board->tables[number];
	struct bd_stored_row *old;
	struct bd_stored_row *stored;
	int code = CW_OK;

	assert(writer == table->writer);
	assert(row != NULL && bytes >= table->row_bytes);
	stored = create_stored(id, row, bytes);
	if (stored == NULL)
		return cw_error_set(BD_ENOMEM,
		    "out of memory while storing a row of table %s",
		    table->name);
	bd_read_begin();
	old = find_stored(table, id);
	if (old != NULL)
		replace_stored(table, old, stored);
	else
		code = insert_stored(table, stored);
	if (code == CW_OK && handle != NULL)
		*handle = stored->handle;
	bd_read_end();
	if (code != CW_OK)
		free(stored);
	/* The table owns the row; the static analyzer does not see that. */
	return code; /* NOLINT(clang-analyzer-unix.Malloc) */
}

/* Removes a row; its handle is stale from then on. Returns BD_ENOTFOUND if
 * there is none. */
int
bd_remove(struct bd_board *board, enum bd_table_number number,
    enum bd_writer writer, uint64_t id)
{
	struct bd_table *table = &board->tables[number];
	struct bd_stored_row *stored;

	assert(writer == table->writer);
	bd_read_begin();
	stored = find_stored(table, id);
	if (stored != NULL)
		remove_stored(table, stored);
	bd_read_end();
	if (stored == NULL)
		return BD_ENOTFOUND;
	return CW_OK;
}

/* Removes every row of a table; all handles are stale from then on. */
void
bd_clear(
    struct bd_board *board, enum bd_table_number number, enum bd_writer writer)
{
	struct bd_table *table = &board->tables[number];
	uint32_t index_end = atomic_load(&table->index_end);
	uint32_t i;

	assert(writer == table->writer);
	bd_read_begin();
	for (i = 0; i < index_end; i++)
		if (table->entries[i].stored != NULL)
			remove_stored(table, table->entries[i].stored);
	bd_read_end();
}
