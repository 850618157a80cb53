/* Measures one decision of the placer on a full deployment of the largest size:
 * 3,000 workers with 15,000 runs, and 2,000 tasks that wait, among them urgent
 * gangs that may preempt. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../../lib/flow/flow_internal.h"

#define WORKERS 3000
#define WORKERS_PER_RACK 20
#define ACCELS_PER_WORKER 8
#define ROUNDS 60

struct load {
	struct fw_placer placer;
	struct bd_queue queue;
	uint32_t jobs;
	uint64_t log_end;
	uint64_t workers[WORKERS];
};

static int64_t thread_cpu_us(void);
static int64_t wall_ms(void *ctx);
static int compare(const void *a, const void *b);
static void add_worker(struct load *load, uint32_t index);
static void apply(struct load *load, enum fw_record_kind kind, const char *name,
    void *value, size_t bytes);
static struct bd_flow *submit(struct load *load, uint32_t priority,
    uint32_t count, uint32_t accels, uint32_t flags);
static void run_on(struct load *load, struct bd_flow *flow, uint32_t first);
static void fill(struct load *load);
static void wait_for_room(struct load *load);

static int64_t
thread_cpu_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

static int64_t
wall_ms(void *ctx)
{
	(void)ctx;
	return 10000;
}

static int
compare(const void *a, const void *b)
{
	const int64_t *x = a;
	const int64_t *y = b;

	return (*x > *y) - (*x < *y);
}

/* Adds a worker that has listed its runs. */
static void
add_worker(struct load *load, uint32_t index)
{
	struct bd_host row;
	struct fw_worker_state *state;
	uint32_t handle;

	memset(&row, 0, sizeof(row));
	snprintf(row.name, sizeof(row.name), "w%u", index);
	snprintf(row.rack, sizeof(row.rack), "r%u", index / WORKERS_PER_RACK);
	row.id = cw_id_from_name(row.name);
	row.pool = load->queue.pool;
	row.incarnation_ms = 1;
	row.cores_milli = 128000;
	row.memory_mb = 262144;
	row.accels = ACCELS_PER_WORKER;
	bd_put(load->placer.parts.board, BD_TABLE_host, BD_WRITER_FLOW, row.id,
	    &row, sizeof(row), NULL);
	load->workers[index] = row.id;
	handle = fw_worker_state_get(&load->placer.tables, row.id);
	if (handle == FW_NONE)
		abort();
	state = &load->placer.tables.worker_states[handle];
	state->reported = state->registered = true;
	state->clock_read_ms = 1;
}

static void
apply(struct load *load, enum fw_record_kind kind, const char *name,
    void *value, size_t bytes)
{
	struct fw_record record = {
	    .value = value, .value_bytes = bytes, .offset = load->log_end++};

	fw_record_key(record.key, kind, name);
	if (fw_record_apply(load->placer.parts.board, &record) != CW_OK)
		abort();
	free(value);
}

/* Accepts a job of one step. The caller frees its row. */
static struct bd_flow *
submit(struct load *load, uint32_t priority, uint32_t count, uint32_t accels,
    uint32_t flags)
{
	struct bd_flow_step step = {.count = count,
	    .accels = accels,
	    .cores_milli = 11000,
	    .memory_mb = 20000,
	    .estimate_ms = 7000,
	    .flags = flags};
	char name[BD_FLOW_NAME_BYTES];
	struct fw_job_spec spec = {.name = name,
	    .queue = &load->queue,
	    .client = 1,
	    .accepted_ms = 9000,
	    .occurrences = 1,
	    .steps = &step,
	    .step_count = 1,
	    .text = "t",
	    .text_bytes = 1};
	struct bd_flow *flow;
	size_t bytes;
	void *value;

	load->queue.priority = priority;
	snprintf(name, sizeof(name), "%016x", ++load->jobs);
	if (fw_flow_build(&spec, &flow, &bytes) != CW_OK ||
	    fw_job_encode(flow, &value, &bytes) != CW_OK)
		abort();
	apply(load, FW_RECORD_JOB, name, value, bytes);
	return flow;
}

/* Places the tasks of a job from a worker on, one after another. */
static void
run_on(struct load *load, struct bd_flow *flow, uint32_t first)
{
	struct bd_step_task *tasks = fw_flow_tasks(flow);
	uint32_t accels = fw_flow_steps(flow)[0].accels;
	uint32_t count = fw_flow_task_count(flow);
	size_t bytes;
	void *value;
	uint32_t i;

	for (i = 0; i < count; i++) {
		uint32_t worker = first + i * accels / ACCELS_PER_WORKER;
		uint32_t run;

		tasks[i].state = BD_STEP_TASK_PLACED;
		tasks[i].run = 1;
		tasks[i].host = load->workers[worker];
		tasks[i].changed_ms = 9000;
		run = fw_run_add(&load->placer.tables, flow->id, i, 1,
		    fw_worker_state_get(&load->placer.tables, tasks[i].host));
		if (run == FW_NONE)
			abort();
		load->placer.tables.runs[run].phase = FW_PHASE_RUNNING;
		load->placer.tables.runs[run].placed_ms = 9000;
	}
	flow->state = BD_FLOW_RUNNING;
	if (fw_progress_encode(flow, FW_RECORD_BYTES_MAX, &value, &bytes) !=
	    CW_OK)
		abort();
	apply(load, FW_RECORD_PROGRESS, flow->name, value, bytes);
}

/* Fills all workers: half with small tasks, half with gangs. */
static void
fill(struct load *load)
{
	uint32_t worker;

	for (worker = 0; worker < WORKERS; worker += 5) {
		struct bd_flow *flow = worker < WORKERS / 2
		    ? submit(load, 2, 40, 1, BD_STEP_CHECKPOINTS)
		    : submit(load, 1, 10, 4, BD_STEP_GANG);

		run_on(load, flow, worker);
		free(flow);
	}
}

/* Accepts jobs for which there is no room. */
static void
wait_for_room(struct load *load)
{
	uint32_t i;

	for (i = 0; i < 30; i++)
		free(submit(load, 2, 40, 1, 0));
	for (i = 0; i < 40; i++)
		free(submit(load, 1, 13, 4, BD_STEP_GANG));
	for (i = 0; i < 40; i++)
		free(submit(
		    load, 0, 4 + i / 4, 8, BD_STEP_GANG | BD_STEP_SAME_RACK));
}

int
main(void)
{
	static struct load load;
	struct fw_placer *placer = &load.placer;
	int64_t costs_us[ROUNDS];
	uint32_t i;

	load.queue.id = 7;
	load.queue.pool = 1;
	load.queue.attempts_max = 2;
	load.queue.stretch_milli = 3000;
	load.queue.target_ms = 1500;
	if (bd_board_create(&placer->parts.board) != CW_OK ||
	    fw_tables_init(&placer->tables) != CW_OK)
		return EXIT_FAILURE;
	placer->parts.settings.restore_ms = 600;
	placer->parts.settings.reclaim_ms = 2700;
	placer->parts.settings.remote_factor = 3;
	placer->parts.wall_ms = placer->parts.boot_ms = wall_ms;
	placer->progress.placer = placer;
	for (i = 0; i < WORKERS; i++)
		add_worker(&load, i);
	fill(&load);
	wait_for_room(&load);
	for (i = 0; i < ROUNDS; i++) {
		int64_t start_us = thread_cpu_us();

		bd_read_begin();
		fw_decide(placer, 10000);
		bd_read_end();
		costs_us[i] = thread_cpu_us() - start_us;
		fw_writer_clear(&placer->progress);
		fw_reservations_clear(&placer->reservations);
	}
	qsort(costs_us, ROUNDS, sizeof(*costs_us), compare);
	printf("flow_decide_p50_us=%lld\n", (long long)costs_us[ROUNDS / 2]);
	printf("flow_decide_p99_us=%lld\n", (long long)costs_us[ROUNDS - 1]);
	printf("flow_runs=%u\n", placer->tables.run_count);
	return EXIT_SUCCESS;
}
