#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"

#define BUCKETS 8192 /* three times the number of runs of the design size */
#define WORKER_BUCKETS 2048
#define LINKS_INITIAL 64
#define RUNS_INITIAL 256

/* Largest rate, in thousandths, by which a worker's clock may run slow. */
#define CLOCK_DRIFT_MILLI 20
/* Added to the computed end of a lease, as timers of workers may fire late. */
#define LEASE_MARGIN_MS 250

static void clear_buckets(struct fw_tables *tables);
static uint32_t worker_bucket_of(uint64_t host);
static uint32_t bucket_of(uint64_t flow, uint32_t index);

/* Empties both hash tables: all of their entries are FW_NONE. */
static void
clear_buckets(struct fw_tables *tables)
{
	memset(tables->buckets, 0xff,
	    (BUCKETS + WORKER_BUCKETS) * sizeof(*tables->buckets));
}

static uint32_t
worker_bucket_of(uint64_t host)
{
	return (uint32_t)(cw_id_from_pair(host, 0) % WORKER_BUCKETS);
}

/* Initializes empty tables. Returns FW_ENOMEM. */
int
fw_tables_init(struct fw_tables *tables)
{
	memset(tables, 0, sizeof(*tables));
	tables->run_free = FW_NONE;
	tables->buckets =
	    malloc((BUCKETS + WORKER_BUCKETS) * sizeof(*tables->buckets));
	if (tables->buckets == NULL)
		return cw_error_set(FW_ENOMEM,
		    "out of memory while creating the table of runs");
	tables->worker_buckets = tables->buckets + BUCKETS;
	clear_buckets(tables);
	return CW_OK;
}

/* Removes all runs and worker states. */
void
fw_tables_clear(struct fw_tables *tables)
{
	uint32_t i;

	for (i = 0; i < tables->worker_state_count; i++)
		fw_report_free(&tables->worker_states[i].report);
	for (i = 0; i < tables->run_count; i++)
		if (tables->runs[i].used)
			fw_run_drop_checkpoint(&tables->runs[i]);
	tables->worker_state_count = tables->run_count = 0;
	tables->run_free = FW_NONE;
	clear_buckets(tables);
}

void
fw_tables_free(struct fw_tables *tables)
{
	if (tables->buckets != NULL)
		fw_tables_clear(tables);
	free(tables->worker_states);
	free(tables->runs);
	free(tables->buckets);
}

/* Returns the handle of a worker's state, or FW_NONE. */
uint32_t
fw_worker_state_find(const struct fw_tables *tables, uint64_t host)
{
	uint32_t i = tables->worker_buckets[worker_bucket_of(host)];

	while (i != FW_NONE && tables->worker_states[i].host != host)
		i = tables->worker_states[i].next;
	return i;
}

/* Returns the handle of a worker's state, creating it if needed, or FW_NONE if
 * out of memory. */
uint32_t
fw_worker_state_get(struct fw_tables *tables, uint64_t host)
{
	uint32_t found = fw_worker_state_find(tables, host);
	uint32_t *bucket;

	if (found != FW_NONE)
		return found;
	if (tables->worker_state_count == tables->worker_state_capacity) {
		uint32_t capacity = tables->worker_state_capacity == 0
		    ? LINKS_INITIAL
		    : tables->worker_state_capacity * 2;
		struct fw_worker_state *grown =
		    realloc(tables->worker_states, capacity * sizeof(*grown));

		if (grown == NULL)
			return FW_NONE;
		tables->worker_states = grown;
		tables->worker_state_capacity = capacity;
	}
	found = tables->worker_state_count++;
	memset(
	    &tables->worker_states[found], 0, sizeof(*tables->worker_states));
	tables->worker_states[found].host = host;
	tables->worker_states[found].first_run = FW_NONE;
	bucket = &tables->worker_buckets[worker_bucket_of(host)];
	tables->worker_states[found].next = *bucket;
	*bucket = found;
	return found;
}

static uint32_t
bucket_of(uint64_t flow, uint32_t index)
{
	return (uint32_t)(cw_id_from_pair(flow, index) % BUCKETS);
}

/* Returns the first run of the bucket of a task; the others of that bucket
 * follow by their next. */
uint32_t
fw_run_first(const struct fw_tables *tables, uint64_t flow, uint32_t index)
{
	return tables->buckets[bucket_of(flow, index)];
}

/* Returns the handle of a run, or FW_NONE. */
uint32_t
fw_run_find(
    const struct fw_tables *tables, uint64_t flow, uint32_t index, uint32_t run)
{
	uint32_t i = tables->buckets[bucket_of(flow, index)];

	for (; i != FW_NONE; i = tables->runs[i].next)
		if (tables->runs[i].flow == flow &&
		    tables->runs[i].index == index &&
		    tables->runs[i].run == run)
			return i;
	return FW_NONE;
}

/* Adds a run on a worker. Returns its handle, or FW_NONE if out of memory. */
uint32_t
fw_run_add(struct fw_tables *tables, uint64_t flow, uint32_t index,
    uint32_t run, uint32_t worker)
{
	uint32_t bucket = bucket_of(flow, index);
	struct fw_run *row;
	uint32_t handle;

	if (tables->run_free != FW_NONE) {
		handle = tables->run_free;
		tables->run_free = tables->runs[handle].next;
	} else {
		if (tables->run_count == tables->run_capacity) {
			uint32_t capacity = tables->run_capacity == 0
			    ? RUNS_INITIAL
			    : tables->run_capacity * 2;
			struct fw_run *grown =
			    realloc(tables->runs, capacity * sizeof(*grown));

			if (grown == NULL)
				return FW_NONE;
			tables->runs = grown;
			tables->run_capacity = capacity;
		}
		handle = tables->run_count++;
	}
	row = &tables->runs[handle];
	memset(row, 0, sizeof(*row));
	row->used = true;
	row->flow = flow;
	row->index = index;
	row->run = run;
	row->worker = worker;
	row->next = tables->buckets[bucket];
	tables->buckets[bucket] = handle;
	row->worker_next = tables->worker_states[worker].first_run;
	tables->worker_states[worker].first_run = handle;
	tables->worker_states[worker].run_count++;
	return handle;
}

/* Removes a run; its handle becomes invalid. */
void
fw_run_remove(struct fw_tables *tables, uint32_t handle)
{
	struct fw_run *run = &tables->runs[handle];
	uint32_t *link = &tables->buckets[bucket_of(run->flow, run->index)];

	assert(run->used);
	fw_run_drop_checkpoint(run);
	while (*link != handle)
		link = &tables->runs[*link].next;
	*link = run->next;
	link = &tables->worker_states[run->worker].first_run;
	while (*link != handle)
		link = &tables->runs[*link].worker_next;
	*link = run->worker_next;
	tables->worker_states[run->worker].run_count--;
	run->used = false;
	run->next = tables->run_free;
	tables->run_free = handle;
}

/* Returns whether a worker has a run that has not ended. */
bool
fw_worker_has_open_run(
    const struct fw_tables *tables, const struct fw_worker_state *worker)
{
	uint32_t i;

	for (i = worker->first_run; i != FW_NONE;
	     i = tables->runs[i].worker_next)
		if (tables->runs[i].phase != FW_PHASE_ENDED)
			return true;
	return false;
}

/* Records how a run has ended, and by which rule it counts as over; later calls
 * have no effect. */
void
fw_run_mark_ended(struct fw_run *run, enum fw_end end, enum fw_over over)
{
	if (run->phase == FW_PHASE_ENDED)
		return;
	run->phase = FW_PHASE_ENDED;
	run->end = end;
	run->over = over;
}

/* Returns whether a worker has started again since its clock was read, by the
 * clock of a later report: it is behind what the slowest permitted clock would
 * show. */
bool
fw_worker_state_clock_is_back(
    const struct fw_worker_state *worker, const struct fw_report *report)
{
	int64_t passed_ms = report->sent_ms - worker->clock_read_ms;

	return report->clock_ms > 0 && worker->clock_read_ms != 0 &&
	    passed_ms > 0 &&
	    report->clock_ms <
	    worker->clock_ms + passed_ms * (1000 - CLOCK_DRIFT_MILLI) / 1000;
}

/* Returns the latest known incarnation of a worker: the one that has answered,
 * or that its entry names. */
int64_t
fw_worker_state_latest_ms(const struct fw_worker_state *worker)
{
	return worker->announced_ms > worker->incarnation_ms
	    ? worker->announced_ms
	    : worker->incarnation_ms;
}

/* Returns whether the worker has not started again since its latest list, as
 * far as is known: the numbers in that list mean other ends to a new
 * incarnation. */
bool
fw_worker_list_is_current(const struct fw_worker_state *worker)
{
	return worker->unresponsive_since_ms == 0 &&
	    worker->report.sent_ms > worker->list_from_ms;
}

/* Returns whether a run is still the current one of its task in the job's row.
 * Call within a read section. */
bool
fw_run_is_current(const struct bd_board *board, const struct fw_run *run)
{
	const struct bd_flow *flow = bd_flow_lookup(board, run->flow);
	const struct bd_step_task *task;

	if (flow == NULL || run->index >= fw_flow_task_count(flow))
		return false;
	task = &fw_flow_tasks(flow)[run->index];
	return task->state == BD_STEP_TASK_PLACED && task->run == run->run;
}

/* Returns the job of a task and sets *index, or returns NULL if the job or the
 * task is unknown. Call within a read section. */
const struct bd_flow *
fw_task_lookup(const struct bd_board *board, const struct fw_task_ref *ref,
    uint32_t *index)
{
	const struct bd_flow *flow;
	uint64_t id;

	if (!fw_flow_id_parse(ref->job, &id))
		return NULL;
	flow = bd_flow_lookup(board, id);
	return flow != NULL && fw_task_index(flow, ref, index) ? flow : NULL;
}

/* Returns whether the tables have any run of a job. */
bool
fw_flow_has_runs(const struct fw_tables *tables, const struct bd_flow *flow)
{
	uint32_t count = fw_flow_task_count(flow);
	uint32_t index;
	uint32_t i;

	for (index = 0; index < count; index++)
		for (i = tables->buckets[bucket_of(flow->id, index)];
		     i != FW_NONE; i = tables->runs[i].next)
			if (tables->runs[i].flow == flow->id &&
			    tables->runs[i].index == index)
				return true;
	return false;
}

/* Records a reading of the worker's clock, taken at now_ms (monotonic) or
 * earlier. */
void
fw_worker_state_set_clock(
    struct fw_worker_state *worker, int64_t clock_ms, int64_t now_ms)
{
	worker->clock_ms = clock_ms;
	worker->clock_read_ms = now_ms;
}

/* Returns the end, on the worker's clock, of a lease that starts now, or 0 if
 * that clock is unknown. */
int64_t
fw_worker_state_lease_until(
    const struct fw_worker_state *worker, int64_t now_ms, uint32_t lease_ms)
{
	if (worker->clock_read_ms == 0)
		return 0;
	return worker->clock_ms + (now_ms - worker->clock_read_ms) + lease_ms;
}

/* Returns the longest time for which a lease may last on a permitted clock. */
int64_t
fw_lease_max_ms(uint32_t lease_ms)
{
	return (int64_t)lease_ms * 1000 / (1000 - CLOCK_DRIFT_MILLI) +
	    LEASE_MARGIN_MS;
}

/* Records that a lease until until_ms (worker's clock) may have been granted.
 * Without a later lease all runs have ended by its end, computed for the
 * slowest permitted clock. */
void
fw_worker_state_lease_granted(struct fw_worker_state *worker, int64_t until_ms)
{
	int64_t left_ms = until_ms - worker->clock_ms;
	int64_t end_ms = worker->clock_read_ms +
	    left_ms * 1000 / (1000 - CLOCK_DRIFT_MILLI) + LEASE_MARGIN_MS;

	if (end_ms > worker->lease_end_ms)
		worker->lease_end_ms = end_ms;
}

/* Corrects the end of a worker's leases by its answer to an order that grants
 * one until until_ms. The order may have been made for the clock of an earlier
 * incarnation: to the one that answers it grants a longer lease, up to the
 * longest. */
void
fw_worker_state_lease_answered(const struct fw_tables *tables,
    struct fw_worker_state *worker, int64_t until_ms,
    const struct fw_report *report)
{
	int64_t left_ms = until_ms - report->clock_ms;
	int64_t lease_ms =
	    left_ms * 1000 / (1000 - CLOCK_DRIFT_MILLI) + LEASE_MARGIN_MS;

	if (report->clock_ms == 0 || left_ms <= 0)
		return;
	if (lease_ms > tables->lease_max_ms)
		lease_ms = tables->lease_max_ms;
	if (report->now_ms + lease_ms > worker->lease_end_ms)
		worker->lease_end_ms = report->now_ms + lease_ms;
}

/* Notes that a worker has started again. */
void
fw_worker_state_reborn(const struct fw_tables *tables,
    struct fw_worker_state *worker, int64_t now_ms)
{
	worker->reborn_ms = now_ms;
	fw_worker_state_expect_late_grant(tables, worker);
}

/* Extends the leases of a worker that has started again by the one that a late
 * grant may give it: the order names its end on the clock of the incarnation
 * before, which tells the present one nothing. */
void
fw_worker_state_expect_late_grant(
    const struct fw_tables *tables, struct fw_worker_state *worker)
{
	int64_t end_ms = worker->grant_unknown_ms + FW_ORDER_LATE_MAX_MS +
	    tables->lease_max_ms;

	if (worker->grant_unknown_ms != 0 &&
	    worker->grant_unknown_ms <= worker->reborn_ms &&
	    worker->reborn_ms <
		worker->grant_unknown_ms + FW_ORDER_LATE_MAX_MS &&
	    end_ms > worker->lease_end_ms)
		worker->lease_end_ms = end_ms;
}

/* Returns whether an acknowledgement that was meant for a former incarnation
 * of a worker may still be carried out. It would drop the ends of the present
 * one up to its number, which nobody may have seen: no run may begin there. */
bool
fw_former_ack_may_arrive(const struct fw_worker_state *worker, int64_t now_ms)
{
	if (worker->acks_in_flight > 0 &&
	    worker->reborn_ms >= worker->ack_sent_ms)
		return true;
	return worker->ack_unknown_ms != 0 &&
	    worker->reborn_ms >= worker->ack_unknown_ms &&
	    now_ms < worker->ack_unknown_ms + FW_ORDER_LATE_MAX_MS;
}

/* Returns whether a worker's entry is of a former incarnation: a list of runs
 * that was asked for after the entry was read names another one. Its room is
 * unknown then. An entry that names no incarnation is taken as it is. */
bool
fw_worker_state_entry_outdated(const struct fw_worker_state *worker)
{
	const struct fw_report *report = &worker->report;
	const struct fw_entry *entry = &worker->entry;

	return entry->incarnation_ms != 0 && report->incarnation_ms != 0 &&
	    report->incarnation_ms != entry->incarnation_ms &&
	    report->sent_ms > entry->since_ms;
}

/*
 * Sets *written_ms to the monotonic time at which a worker wrote its latest
 * entry, computed for the slowest permitted clock. Returns false if that is not
 * known: the worker's clock has to be known from a list of runs of the same
 * incarnation. The entry may be read long after it was written.
 */
bool
fw_worker_state_entry_written(
    const struct fw_worker_state *worker, int64_t *written_ms)
{
	const struct fw_report *report = &worker->report;
	const struct fw_entry *entry = &worker->entry;
	int64_t passed_ms = entry->clock_ms - report->clock_ms;

	if (entry->clock_ms == 0 || entry->incarnation_ms == 0 ||
	    report->clock_ms == 0 ||
	    report->incarnation_ms != entry->incarnation_ms)
		return false;
	if (passed_ms < 0)
		passed_ms += passed_ms /
		    ((1000 - CLOCK_DRIFT_MILLI) / CLOCK_DRIFT_MILLI);
	*written_ms = report->now_ms + passed_ms;
	if (*written_ms > entry->heard_ms)
		*written_ms = entry->heard_ms;
	return true;
}
