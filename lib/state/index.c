#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "state_internal.h"

static uint64_t key_hash(uint64_t account, const char *submit_key);
static void key_add(
    struct st_state *state, uint32_t index, const struct bd_job *job);
static void key_remove(struct st_state *state, uint32_t index);
static bool is_placed_suspect(const struct bd_job *job);
static void worker_counts_add(
    struct st_state *state, const struct bd_worker *worker, uint32_t delta);

/* Allocates empty indexes. Returns CW_OK or ST_ENOMEM. */
int
st_index_create(struct st_state *state)
{
	assert(bd_table_capacity(BD_TABLE_job) == ST_JOBS_MAX);
	assert(bd_table_capacity(BD_TABLE_promise) == ST_PROMISES_MAX);
	state->promise_usage =
	    calloc(ST_PROMISES_MAX, sizeof(*state->promise_usage));
	state->key_bucket = calloc(ST_KEY_BUCKETS, sizeof(*state->key_bucket));
	state->key_next = calloc(ST_JOBS_MAX, sizeof(*state->key_next));
	state->key_hash = calloc(ST_JOBS_MAX, sizeof(*state->key_hash));
	state->key_job_id = calloc(ST_JOBS_MAX, sizeof(*state->key_job_id));
	if (state->promise_usage == NULL || state->key_job_id == NULL ||
	    state->key_bucket == NULL || state->key_next == NULL ||
	    state->key_hash == NULL)
		return ST_ENOMEM;
	return CW_OK;
}

void
st_index_destroy(struct st_state *state)
{
	free(state->promise_usage);
	free(state->key_bucket);
	free(state->key_next);
	free(state->key_hash);
	free(state->key_job_id);
}

static uint64_t
key_hash(uint64_t account, const char *submit_key)
{
	return cw_id_from_pair(account, cw_id_from_name(submit_key));
}

static void
key_add(struct st_state *state, uint32_t index, const struct bd_job *job)
{
	uint64_t hash = key_hash(job->account, job->submit_key);
	uint32_t *bucket = &state->key_bucket[hash % ST_KEY_BUCKETS];

	state->key_hash[index] = hash;
	state->key_job_id[index] = job->id;
	state->key_next[index] = *bucket;
	*bucket = index + 1;
}

static void
key_remove(struct st_state *state, uint32_t index)
{
	uint32_t *link =
	    &state->key_bucket[state->key_hash[index] % ST_KEY_BUCKETS];

	while (*link != index + 1) {
		assert(*link != 0);
		link = &state->key_next[*link - 1];
	}
	*link = state->key_next[index];
}

/* Returns the id of the job that an account submitted with a key, 0: none. */
uint64_t
st_index_job_by_key(
    struct st_state *state, uint64_t account, const char *submit_key)
{
	uint64_t hash = key_hash(account, submit_key);
	uint32_t next = state->key_bucket[hash % ST_KEY_BUCKETS];
	uint64_t found = 0;

	bd_read_begin();
	for (; next != 0 && found == 0; next = state->key_next[next - 1]) {
		const struct bd_job *job;

		if (state->key_hash[next - 1] != hash)
			continue;
		job = bd_job_lookup(state->board, state->key_job_id[next - 1]);
		if (job != NULL && job->account == account &&
		    strcmp(job->submit_key, submit_key) == 0)
			found = job->id;
	}
	bd_read_end();
	return found;
}

static void
worker_counts_add(
    struct st_state *state, const struct bd_worker *worker, uint32_t delta)
{
	if (worker == NULL || worker->state == BD_WORKER_LOST)
		return;
	state->workers_not_lost += delta;
	if (worker->quarantine_until_ms != 0)
		state->workers_quarantined += delta;
}

static bool
is_placed_suspect(const struct bd_job *job)
{
	return job != NULL && job->crashes > 0 && job->token != 0;
}

/*
 * Updates the indexes for a row that is added (before is NULL), changed or
 * removed (after is NULL). index is the row's index in its table.
 */
void
st_index_row_changed(struct st_state *state, enum bd_table_number table,
    const void *before, const void *after, uint32_t index)
{
	const struct bd_job *job;

	switch (table) {
	case BD_TABLE_job:
		state->suspects_placed -= is_placed_suspect(before);
		state->suspects_placed += is_placed_suspect(after);
		job = before == NULL ? after : before;
		if ((before != NULL && after != NULL) ||
		    job->submit_key[0] == '\0')
			return;
		if (after != NULL)
			key_add(state, index, after);
		else
			key_remove(state, index);
		return;
	case BD_TABLE_worker:
		worker_counts_add(state, before, (uint32_t)-1);
		worker_counts_add(state, after, 1);
		return;
	case BD_TABLE_request:
		if (before != NULL)
			state->total_answer_bytes -=
			    ((const struct bd_request *)before)->answer_bytes;
		if (after != NULL)
			state->total_answer_bytes +=
			    ((const struct bd_request *)after)->answer_bytes;
		return;
	case BD_TABLE_promise:
		if (before == NULL || after == NULL)
			memset(&state->promise_usage[index], 0,
			    sizeof(state->promise_usage[index]));
		return;
	default:
		return;
	}
}

/* Returns the resources that the guaranteed jobs of a promise use, NULL where
 * there is no such promise. */
struct st_promise_usage *
st_index_promise_usage(struct st_state *state, uint64_t promise)
{
	struct bd_handle handle;
	const void *row;

	bd_read_begin();
	row = bd_lookup(state->board, BD_TABLE_promise, promise, &handle);
	bd_read_end();
	return row == NULL ? NULL : &state->promise_usage[handle.index];
}

/* Recomputes the usage of all promises from the tasks of guaranteed jobs.
 * Linear in the task table. */
void
st_index_promises_rebuild(struct st_state *state)
{
	const struct bd_promise *promise;
	struct st_promise_usage *usage;
	const struct bd_task *task;
	const struct bd_job *job;
	uint32_t cursor = 0;
	int slot;

	memset(state->promise_usage, 0,
	    ST_PROMISES_MAX * sizeof(*state->promise_usage));
	bd_read_begin();
	while ((task = bd_task_next(state->board, &cursor)) != NULL) {
		job = bd_job_lookup(state->board, task->job);
		if (job == NULL || job->promise == 0)
			continue;
		promise = bd_promise_lookup(state->board, job->promise);
		usage = st_index_promise_usage(state, job->promise);
		if (promise == NULL)
			continue;
		slot = st_slot_find(
		    promise->slots, promise->slot_count, task->worker);
		if (slot < 0)
			continue;
		usage->accel_mask[slot] |= task->accel_mask;
		usage->cores_milli[slot] += job->shape.cores_milli;
		usage->memory_mb[slot] += job->shape.memory_mb;
	}
	bd_read_end();
}

/* Recomputes all indexes and the digest from the tables. */
void
st_index_rebuild(struct st_state *state)
{
	const struct wire_schema *schema;
	struct bd_handle handle;
	const void *row;
	uint64_t digest = 0;
	uint32_t cursor;
	uint32_t i;

	memset(
	    state->key_bucket, 0, ST_KEY_BUCKETS * sizeof(*state->key_bucket));
	state->total_answer_bytes = 0;
	state->workers_not_lost = 0;
	state->workers_quarantined = 0;
	state->suspects_placed = 0;
	bd_read_begin();
	for (i = 0; (schema = wire_schema_table_at(i)) != NULL; i++) {
		cursor = 0;
		while ((row = bd_next(state->board, schema->table, &cursor,
			    &handle)) != NULL) {
			digest +=
			    st_row_hash(schema->table, row, bd_row_bytes(row));
			st_index_row_changed(
			    state, schema->table, NULL, row, handle.index);
		}
	}
	bd_read_end();
	st_index_promises_rebuild(state);
	atomic_store(&state->digest, digest);
}

/* Returns the index of the first slot on a worker, -1 where there is none. */
int
st_slot_find(const struct bd_slot *slots, uint32_t count, uint64_t worker)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		if (slots[i].worker == worker)
			return (int)i;
	return -1;
}

/* Sums up slots by worker, in the order in which the workers first appear.
 * demands has a capacity of count elements. Returns the number of workers. */
uint32_t
st_worker_demand_sum(const struct bd_slot *slots, uint32_t count,
    struct st_worker_demand *demands)
{
	uint32_t worker_count = 0;
	uint32_t i;
	uint32_t end;

	for (i = 0; i < count; i++) {
		/* Slots of one worker are mostly adjacent, so the search starts
		 * at the worker that was added last. */
		for (end = worker_count; end > 0; end--)
			if (demands[end - 1].worker == slots[i].worker)
				break;
		if (end == 0) {
			demands[worker_count] = (struct st_worker_demand){
			    .worker = slots[i].worker};
			end = ++worker_count;
		}
		if ((demands[end - 1].accel_mask & slots[i].accel_mask) != 0)
			demands[end - 1].overlap = true;
		demands[end - 1].accel_mask |= slots[i].accel_mask;
		demands[end - 1].members++;
	}
	return worker_count;
}
