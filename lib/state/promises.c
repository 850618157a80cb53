#include <stdlib.h>
#include <string.h>

#include "state_internal.h"

/* A promise of the old configuration, and the one that inherits its plan. */
struct old_promise {
	struct bd_promise row;
	uint64_t successor; /* id of the new promise, 0: none */
};

static int compare_old_promises(const void *a, const void *b);
static struct old_promise *collect_promises(
    struct st_state *state, size_t *count);
static bool has_same_account_and_shape(
    const struct bd_promise *old, const struct bd_promise *desired);
static void assign_plans(struct old_promise *old, size_t old_count,
    struct bd_promise *desired, size_t count, uint64_t position);
static uint64_t successor_of(
    const struct old_promise *old, size_t count, uint64_t id);
static int move_jobs(struct st_state *state, const struct old_promise *old,
    size_t count, uint64_t position);
static int replace_promises(struct st_state *state,
    const struct old_promise *old, size_t old_count,
    const struct bd_promise *desired, size_t count);

static int
compare_old_promises(const void *a, const void *b)
{
	const struct old_promise *left = a;
	const struct old_promise *right = b;

	return left->row.id < right->row.id ? -1 : left->row.id > right->row.id;
}

/* Returns all promises sorted by id, NULL if memory runs out. The order of the
 * table differs between VMs, but the result of applying a record must not. */
static struct old_promise *
collect_promises(struct st_state *state, size_t *count)
{
	struct old_promise *old = NULL;
	struct bd_rows rows;

	*count = 0;
	bd_read_begin();
	if (bd_rows_collect(state->board, BD_TABLE_promise, &rows) == CW_OK)
		old = calloc((size_t)rows.count + 1, sizeof(*old));
	for (; old != NULL && *count < rows.count; (*count)++)
		old[*count].row =
		    *(const struct bd_promise *)rows.items[*count].row;
	bd_rows_free(&rows);
	bd_read_end();
	if (old == NULL)
		return NULL;
	qsort(old, *count, sizeof(*old), compare_old_promises);
	return old;
}

static bool
has_same_account_and_shape(
    const struct bd_promise *old, const struct bd_promise *desired)
{
	return old->account == desired->account &&
	    memcmp(&old->shape, &desired->shape, sizeof(desired->shape)) == 0;
}

/*
 * Gives each desired promise the plan of an old one with the same account and
 * shape: preferably that with the same id, otherwise any without a successor,
 * since a guarantee inserted into the text renumbers those after it.
 */
static void
assign_plans(struct old_promise *old, size_t old_count,
    struct bd_promise *desired, size_t count, uint64_t position)
{
	size_t i;
	size_t j;

	for (i = 0; i < count; i++) {
		desired[i].epoch = position;
		for (j = 0; j < old_count; j++)
			if (old[j].row.id == desired[i].id &&
			    has_same_account_and_shape(
				&old[j].row, &desired[i])) {
				desired[i] = old[j].row;
				old[j].successor = desired[i].id;
			}
	}
	for (i = 0; i < count; i++) {
		if (desired[i].epoch != position)
			continue;
		for (j = 0; j < old_count; j++)
			if (old[j].successor == 0 &&
			    has_same_account_and_shape(
				&old[j].row, &desired[i]))
				break;
		if (j == old_count)
			continue;
		old[j].successor = desired[i].id;
		desired[i].short_since_ms = old[j].row.short_since_ms;
		desired[i].slot_count = old[j].row.slot_count;
		memcpy(desired[i].slots, old[j].row.slots,
		    sizeof(desired[i].slots));
	}
}

/* Returns the id of the promise that inherits the plan of an old one, 0 where
 * there is none. */
static uint64_t
successor_of(const struct old_promise *old, size_t count, uint64_t id)
{
	struct old_promise key = {.row.id = id};
	const struct old_promise *found =
	    bsearch(&key, old, count, sizeof(key), compare_old_promises);

	return found == NULL ? 0 : found->successor;
}

/* Guaranteed jobs move to the promise that inherits their plan. Without a
 * successor they continue to run on borrowed capacity. */
static int
move_jobs(struct st_state *state, const struct old_promise *old, size_t count,
    uint64_t position)
{
	const struct bd_job *job;
	struct bd_job row;
	uint32_t cursor = 0;
	uint64_t successor;
	int code = CW_OK;

	bd_read_begin();
	while (code == CW_OK &&
	    (job = bd_job_next(state->board, &cursor)) != NULL) {
		if (job->promise == 0)
			continue;
		successor = successor_of(old, count, job->promise);
		if (successor == job->promise)
			continue;
		row = *job;
		row.promise = successor;
		row.epoch = position;
		code =
		    st_row_put(state, BD_TABLE_job, row.id, &row, sizeof(row));
	}
	bd_read_end();
	return code;
}

/* Removes the old promises that no new one replaces under the same id, frees
 * plans without a successor, and writes the new promises. */
static int
replace_promises(struct st_state *state, const struct old_promise *old,
    size_t old_count, const struct bd_promise *desired, size_t count)
{
	size_t i;
	int code = CW_OK;

	for (i = 0; i < old_count && code == CW_OK; i++) {
		if (old[i].successor == 0)
			code = st_plan_usage_add(state, &old[i].row, -1);
		if (old[i].successor != old[i].row.id)
			st_row_remove(state, BD_TABLE_promise, old[i].row.id);
	}
	for (i = 0; i < count && code == CW_OK; i++)
		code = st_row_put(state, BD_TABLE_promise, desired[i].id,
		    &desired[i], sizeof(desired[i]));
	return code;
}

/*
 * Replaces the table of promises by the desired ones. A promise whose account
 * and shape are unchanged keeps its plan and the jobs in it; the others are
 * removed along with their plans. Returns CW_OK, ST_EFULL or ST_ENOMEM. Linear
 * in jobs and tasks, which is acceptable since the configuration rarely
 * changes.
 */
int
st_promises_reconcile(struct st_state *state, const struct bd_promise *desired,
    size_t count, uint64_t position)
{
	struct bd_promise *after = calloc(count + 1, sizeof(*after));
	size_t old_count;
	struct old_promise *old = collect_promises(state, &old_count);
	int code = ST_ENOMEM;

	if (after != NULL && old != NULL) {
		if (count > 0)
			memcpy(after, desired, count * sizeof(*after));
		assign_plans(old, old_count, after, count, position);
		code = move_jobs(state, old, old_count, position);
		if (code == CW_OK)
			code = replace_promises(
			    state, old, old_count, after, count);
		st_index_promises_rebuild(state);
	}
	free(after);
	free(old);
	return code;
}
