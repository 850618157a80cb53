#ifndef CAMPHOR_BOARD_INTERNAL_H
#define CAMPHOR_BOARD_INTERNAL_H

#include <stdatomic.h>

#include <urcu/urcu-bp.h>

#include <urcu/rculfhash.h>

#include "board.h"

/* A row in a table. It is immutable once published, and freed after a grace
 * period. */
struct bd_stored_row {
	struct cds_lfht_node node;
	struct rcu_head rcu;
	uint64_t id;
	struct bd_handle handle;
	size_t bytes;
	_Alignas(16) unsigned char row[];
};

/* Place of a row in a table, at the index of its handle. */
struct bd_entry {
	struct bd_stored_row *stored; /* NULL: free */
	atomic_uint generation;       /* rows removed from it so far */
};

struct bd_table {
	const char *name;
	enum bd_writer writer;
	uint32_t capacity;
	size_t row_bytes; /* of the fixed part */
	struct bd_entry *entries;
	struct cds_lfht *by_id;
	uint32_t *free_list; /* stack of indexes that were freed */
	uint32_t free_count;
	atomic_uint row_count;
	atomic_uint index_end; /* one above the highest index ever used */
};

struct bd_board {
	struct bd_table tables[BD_TABLE_COUNT];
	pthread_mutex_t lock;
	pthread_cond_t changed;
	atomic_uint_least64_t notify_count; /* calls of bd_notify */
	atomic_uint_least64_t change_count; /* odd: a change is in progress */
};

#endif
