#ifndef CAMPHOR_STATE_INTERNAL_H
#define CAMPHOR_STATE_INTERNAL_H

#include <stdatomic.h>

#include "state.h"

struct st_state {
	struct bd_board *board;
	atomic_uint_least64_t position; /* of the last record seen */
	atomic_uint_least64_t digest;
};

/* Changes a row and keeps the digest in step. */
int st_row_put(struct st_state *state, enum bd_table_number table, uint64_t id,
    const void *row, size_t bytes);
int st_row_remove(
    struct st_state *state, enum bd_table_number table, uint64_t id);

/* One function for each kind of record. The position becomes the epoch of the
 * rows that it changes. */
int st_apply_duty(
    struct st_state *state, const struct rec *rec, uint64_t position);

#endif
