#include <stdlib.h>
#include <string.h>

#include "state_internal.h"

/* A promise in force before, and the one that takes its plan over. */
struct previous {
	struct bd_promise row;
	uint64_t successor; /* id, 0: none */
};

static int compare_previous(const void *a, const void *b);
static struct previous *collect(struct st_state *state, size_t *count);
static bool is_like(
    const struct bd_promise *before, const struct bd_promise *wanted);
static void match(struct previous *before, size_t before_count,
    struct bd_promise *wanted, size_t count, uint64_t position);
static uint64_t successor_of(
    const struct previous *before, size_t count, uint64_t id);
static int move_jobs(struct st_state *state, const struct previous *before,
    size_t count, uint64_t position);
static int replace_promises(struct st_state *state,
    const struct previous *before, size_t before_count,
    const struct bd_promise *wanted, size_t count);

static int
compare_previous(const void *a, const void *b)
{
	const struct previous *left = a;
	const struct previous *right = b;

	return left->row.id < right->row.id ? -1 : left->row.id > right->row.id;
}

/* Returns all promises in the order of their ids, which is the same on every
 * VM, unlike the order of the table. */
static struct previous *
collect(struct st_state *state, size_t *count)
{
	const struct bd_promise *row;
	struct previous *before = calloc(
	    bd_row_count(state->board, BD_TABLE_promise) + 1, sizeof(*before));
	uint32_t cursor = 0;

	*count = 0;
	if (before == NULL)
		return NULL;
	bd_read_begin();
	while ((row = bd_promise_next(state->board, &cursor)) != NULL)
		before[(*count)++].row = *row;
	bd_read_end();
	qsort(before, *count, sizeof(*before), compare_previous);
	return before;
}

static bool
is_like(const struct bd_promise *before, const struct bd_promise *wanted)
{
	return before->account == wanted->account &&
	    memcmp(&before->shape, &wanted->shape, sizeof(wanted->shape)) == 0;
}

/*
 * Gives each wanted promise the plan of one before with the same account and
 * shape: that with its own id first, then any, since a guarantee that is
 * inserted into the text renumbers those behind it.
 */
static void
match(struct previous *before, size_t before_count, struct bd_promise *wanted,
    size_t count, uint64_t position)
{
	size_t i;
	size_t j;

	for (i = 0; i < count; i++) {
		wanted[i].epoch = position;
		for (j = 0; j < before_count; j++)
			if (before[j].row.id == wanted[i].id &&
			    is_like(&before[j].row, &wanted[i])) {
				wanted[i] = before[j].row;
				before[j].successor = wanted[i].id;
			}
	}
	for (i = 0; i < count; i++) {
		if (wanted[i].epoch != position)
			continue;
		for (j = 0; j < before_count; j++)
			if (before[j].successor == 0 &&
			    is_like(&before[j].row, &wanted[i]))
				break;
		if (j == before_count)
			continue;
		before[j].successor = wanted[i].id;
		wanted[i].short_since_ms = before[j].row.short_since_ms;
		wanted[i].slot_count = before[j].row.slot_count;
		memcpy(wanted[i].slots, before[j].row.slots,
		    sizeof(wanted[i].slots));
	}
}

static uint64_t
successor_of(const struct previous *before, size_t count, uint64_t id)
{
	struct previous key = {.row.id = id};
	const struct previous *found =
	    bsearch(&key, before, count, sizeof(key), compare_previous);

	return found == NULL ? 0 : found->successor;
}

/* Guaranteed jobs follow their plan; those whose promise is gone run on as
 * borrowed ones. */
static int
move_jobs(struct st_state *state, const struct previous *before, size_t count,
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
		successor = successor_of(before, count, job->promise);
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

static int
replace_promises(struct st_state *state, const struct previous *before,
    size_t before_count, const struct bd_promise *wanted, size_t count)
{
	size_t i;
	int code = CW_OK;

	for (i = 0; i < before_count && code == CW_OK; i++) {
		if (before[i].successor == 0)
			code = st_plan_use(state, &before[i].row, -1);
		if (before[i].successor != before[i].row.id)
			st_row_remove(
			    state, BD_TABLE_promise, before[i].row.id);
	}
	for (i = 0; i < count && code == CW_OK; i++)
		code = st_row_put(state, BD_TABLE_promise, wanted[i].id,
		    &wanted[i], sizeof(wanted[i]));
	return code;
}

/*
 * Makes the table of promises hold the wanted ones. A promise whose account
 * and shape stay keeps its plan and the jobs in it; the others vanish with
 * their plans. Linear in jobs and tasks, as the text rarely changes.
 */
int
st_promises_reconcile(struct st_state *state, const struct bd_promise *wanted,
    size_t count, uint64_t position)
{
	struct bd_promise *after = calloc(count + 1, sizeof(*after));
	size_t before_count;
	struct previous *before = collect(state, &before_count);
	int code = ST_ENOMEM;

	if (after != NULL && before != NULL) {
		if (count > 0)
			memcpy(after, wanted, count * sizeof(*after));
		match(before, before_count, after, count, position);
		code = move_jobs(state, before, before_count, position);
		if (code == CW_OK)
			code = replace_promises(
			    state, before, before_count, after, count);
		st_index_promises_rebuild(state);
	}
	free(after);
	free(before);
	return code;
}
