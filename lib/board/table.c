#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "board_internal.h"

static struct bd_box *box_of_row(const void *row);
static unsigned long hash_of(uint64_t id);
static int match_id(struct cds_lfht_node *node, const void *key);
static struct bd_box *find_box(const struct bd_table *table, uint64_t id);
static void free_box(struct rcu_head *head);
static struct bd_box *make_box(uint64_t id, const void *row, size_t bytes);
static void replace_box(
    struct bd_table *table, struct bd_box *old, struct bd_box *box);
static int insert_box(struct bd_table *table, struct bd_box *box);
static void remove_box(struct bd_table *table, struct bd_box *box);

/* Stands for all grace periods: read sections release it when they end, what
 * runs after a grace period acquires it. Its value is never used. */
static char grace;

static struct bd_box *
box_of_row(const void *row)
{
	return caa_container_of(row, struct bd_box, row);
}

/* Ids of jobs are positions, whose low bits hardly differ; the hash table goes
 * by the low bits. */
static unsigned long
hash_of(uint64_t id)
{
	id = (id ^ (id >> 30)) * 0xbf58476d1ce4e5b9ULL;
	id = (id ^ (id >> 27)) * 0x94d049bb133111ebULL;
	return (unsigned long)(id ^ (id >> 31));
}

static int
match_id(struct cds_lfht_node *node, const void *key)
{
	const struct bd_box *box = caa_container_of(node, struct bd_box, node);

	CW_TSAN_ACQUIRE(box);
	return box->id == *(const uint64_t *)key;
}

/* The caller holds the read side. */
static struct bd_box *
find_box(const struct bd_table *table, uint64_t id)
{
	struct cds_lfht_iter iter;
	struct cds_lfht_node *node;

	cds_lfht_lookup(table->by_id, hash_of(id), match_id, &id, &iter);
	node = cds_lfht_iter_get_node(&iter);
	if (node == NULL)
		return NULL;
	return caa_container_of(node, struct bd_box, node);
}

static void
free_box(struct rcu_head *head)
{
	bd_grace_passed();
	free(caa_container_of(head, struct bd_box, rcu));
}

static struct bd_box *
make_box(uint64_t id, const void *row, size_t bytes)
{
	struct bd_box *box = malloc(sizeof(*box) + bytes);

	if (box == NULL)
		return NULL;
	cds_lfht_node_init(&box->node);
	box->id = id;
	box->bytes = bytes;
	memcpy(box->row, row, bytes);
	return box;
}

static void
replace_box(struct bd_table *table, struct bd_box *old, struct bd_box *box)
{
	struct cds_lfht_iter iter;

	box->handle = old->handle;
	cds_lfht_lookup(
	    table->by_id, hash_of(box->id), match_id, &box->id, &iter);
	CW_TSAN_RELEASE(box);
	rcu_set_pointer(&table->entries[box->handle.index].box, box);
	cds_lfht_replace(table->by_id, &iter, hash_of(box->id), match_id,
	    &box->id, &box->node);
	urcu_bp_call_rcu(&old->rcu, free_box);
}

static int
insert_box(struct bd_table *table, struct bd_box *box)
{
	struct bd_entry *entry;
	uint32_t index;

	if (table->free_count == 0)
		return cw_error_set(BD_EFULL, "table %s is full at %u rows",
		    table->name, table->capacity);
	index = table->free_list[--table->free_count];
	entry = &table->entries[index];
	box->handle.index = index;
	box->handle.generation = atomic_load(&entry->generation);
	CW_TSAN_RELEASE(box);
	rcu_set_pointer(&entry->box, box);
	cds_lfht_add(table->by_id, hash_of(box->id), &box->node);
	atomic_fetch_add(&table->used, 1);
	if (index >= atomic_load(&table->high))
		atomic_store(&table->high, index + 1);
	return CW_OK;
}

static void
remove_box(struct bd_table *table, struct bd_box *box)
{
	struct bd_entry *entry = &table->entries[box->handle.index];

	/* The generation moves first, so a stale handle never meets the row
	 * that uses the entry next. */
	atomic_fetch_add(&entry->generation, 1);
	rcu_set_pointer(&entry->box, NULL);
	cds_lfht_del(table->by_id, &box->node);
	table->free_list[table->free_count++] = box->handle.index;
	atomic_fetch_sub(&table->used, 1);
	urcu_bp_call_rcu(&box->rcu, free_box);
}

/* Starts a read section of the calling thread; sections may nest. */
void
bd_read_begin(void)
{
	urcu_bp_read_lock();
}

/* Ends a read section; row pointers from it are invalid from then on. */
void
bd_read_end(void)
{
	CW_TSAN_RELEASE(&grace);
	urcu_bp_read_unlock();
}

/* Tells ThreadSanitizer that the read sections from before a grace period have
 * ended. Call first in what runs after one. */
void
bd_grace_passed(void)
{
	CW_TSAN_ACQUIRE(&grace);
}

/*
 * Returns the row of a handle, or NULL with *status = BD_ESTALE where the row
 * has been removed since. status may be NULL. Call within a read section.
 */
const void *
bd_get(const struct bd_board *board, enum bd_table_number number,
    struct bd_handle handle, int *status)
{
	const struct bd_table *table = &board->tables[number];
	const struct bd_box *box = NULL;

	if (handle.index < table->capacity)
		box = rcu_dereference(table->entries[handle.index].box);
	if (box != NULL)
		CW_TSAN_ACQUIRE(box);
	if (box == NULL || box->handle.generation != handle.generation) {
		if (status != NULL)
			*status = BD_ESTALE;
		return NULL;
	}
	if (status != NULL)
		*status = CW_OK;
	return box->row;
}

/*
 * Returns the row with an id, or NULL. Stores its handle where handle is not
 * NULL. Call within a read section.
 */
const void *
bd_lookup(const struct bd_board *board, enum bd_table_number number,
    uint64_t id, struct bd_handle *handle)
{
	const struct bd_box *box = find_box(&board->tables[number], id);

	if (box == NULL)
		return NULL;
	if (handle != NULL)
		*handle = box->handle;
	return box->row;
}

/*
 * Iterates over a table in the order of its entries: *cursor starts at 0.
 * Returns NULL at the end. Rows added or removed meanwhile may be missed.
 * Call within a read section.
 */
const void *
bd_next(const struct bd_board *board, enum bd_table_number number,
    uint32_t *cursor, struct bd_handle *handle)
{
	const struct bd_table *table = &board->tables[number];
	uint32_t high = atomic_load_explicit(
	    &((struct bd_table *)table)->high, memory_order_acquire);

	while (*cursor < high) {
		const struct bd_box *box =
		    rcu_dereference(table->entries[*cursor].box);

		(*cursor)++;
		if (box == NULL)
			continue;
		CW_TSAN_ACQUIRE(box);
		if (handle != NULL)
			*handle = box->handle;
		return box->row;
	}
	return NULL;
}

/* Returns how many rows a table has. */
uint32_t
bd_count(const struct bd_board *board, enum bd_table_number number)
{
	return atomic_load(&((struct bd_board *)board)->tables[number].used);
}

/* Returns the size in bytes of a row that a reader or writer was given. */
size_t
bd_row_bytes(const void *row)
{
	return box_of_row(row)->bytes;
}

/*
 * Adds a row or replaces the one with the same id, whose handle stays valid.
 * bytes is at least the size of the row's type and more for rows that end in
 * an array. Stores the handle where handle is not NULL. Returns BD_EFULL or
 * BD_ENOMEM; the table is then unchanged.
 */
int
bd_put(struct bd_board *board, enum bd_table_number number,
    enum bd_writer writer, uint64_t id, const void *row, size_t bytes,
    struct bd_handle *handle)
{
	struct bd_table *table = &board->tables[number];
	struct bd_box *old;
	struct bd_box *box;
	int code = CW_OK;

	assert(writer == table->writer);
	assert(row != NULL && bytes >= table->row_bytes);
	box = make_box(id, row, bytes);
	if (box == NULL)
		return cw_error_set(
		    BD_ENOMEM, "no memory for a row of %s", table->name);
	bd_read_begin();
	old = find_box(table, id);
	if (old != NULL)
		replace_box(table, old, box);
	else
		code = insert_box(table, box);
	if (code == CW_OK && handle != NULL)
		*handle = box->handle;
	bd_read_end();
	if (code != CW_OK)
		free(box);
	/* The table owns the box; the analyzer does not follow it there. */
	return code; /* NOLINT(clang-analyzer-unix.Malloc) */
}

/* Removes a row; its handle is stale from then on. Returns BD_ENOTFOUND where
 * there is none. */
int
bd_remove(struct bd_board *board, enum bd_table_number number,
    enum bd_writer writer, uint64_t id)
{
	struct bd_table *table = &board->tables[number];
	struct bd_box *box;

	assert(writer == table->writer);
	bd_read_begin();
	box = find_box(table, id);
	if (box != NULL)
		remove_box(table, box);
	bd_read_end();
	if (box == NULL)
		return BD_ENOTFOUND;
	return CW_OK;
}

/* Removes every row of a table. */
void
bd_clear(
    struct bd_board *board, enum bd_table_number number, enum bd_writer writer)
{
	struct bd_table *table = &board->tables[number];
	uint32_t high = atomic_load(&table->high);
	uint32_t i;

	assert(writer == table->writer);
	bd_read_begin();
	for (i = 0; i < high; i++)
		if (table->entries[i].box != NULL)
			remove_box(table, table->entries[i].box);
	bd_read_end();
}
