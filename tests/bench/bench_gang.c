/* Measures the cost of lease renewals and gang starts, for docs/CAPACITY.md.
 * The workers are an HTTP server in this process that accepts every call. */
#include <malloc.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include <civetweb.h>

#include "gang.h"

#define ROUNDS 200
#define STARTS 9
#define BENCH_GANGS 44
#define MEMBERS_PER_RACK 64
#define MEMBERS_PER_WORKER 8

static atomic_ullong bytes_in, bytes_out, messages;

static int serve_tasks(struct mg_connection *conn, void *unused);
static int64_t now_ms(void *unused);
static int discard_record(
    void *ctx, const struct rec *rec, const struct st_completion *done);
static int64_t thread_cpu_us(void);
static int compare_doubles(const void *a, const void *b);
static void measure_message(struct pf_tasks *tasks, bool reports, size_t count,
    double *bytes, double *cpu_us);
static void bench_messages(struct pf_tasks *tasks);
static void put_gang_rows(
    struct bd_board *board, uint64_t job, uint32_t members, bool started);
static double measure_start_ms(struct pf_tasks *tasks, uint32_t members);
static void bench_starts(struct pf_tasks *tasks);
static void discard_call(void *ctx, const struct gang_call *call);
static void bench_memory_and_step(void);

static struct st_sink null_sink = {discard_record, NULL};

/* Answers each task of the list with status 0, or all with an empty list of
 * reports. */
static int
serve_tasks(struct mg_connection *conn, void *unused)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	bool reports = strcmp(info->local_uri, "/tasks/reports") == 0;
	/* The server's threads have small stacks. */
	size_t size = 64 * 1024;
	char *body = malloc(size), answer[2048] = "{\"reports\":[]}", head[128];
	size_t received = 0, used, tasks = 0, i;
	int n, head_bytes;

	(void)unused;
	while (received < size &&
	    (n = mg_read(conn, body + received, size - received)) > 0)
		received += (size_t)n;
	for (i = 0; i < received; i++)
		tasks += body[i] == '[';
	free(body);
	if (!reports) {
		used =
		    (size_t)snprintf(answer, sizeof(answer), "{\"results\":[");
		for (i = 0; i + 1 < tasks; i++)
			used += (size_t)snprintf(answer + used,
			    sizeof(answer) - used, "%s0", i == 0 ? "" : ",");
		snprintf(answer + used, sizeof(answer) - used, "]}");
	}
	atomic_fetch_add(&messages, 1);
	atomic_fetch_add(&bytes_in, received + strlen(info->local_uri) + 18);
	for (i = 0; i < (size_t)info->num_headers; i++)
		atomic_fetch_add(&bytes_in,
		    strlen(info->http_headers[i].name) +
			strlen(info->http_headers[i].value) + 4);
	head_bytes = snprintf(head, sizeof(head),
	    "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n", strlen(answer));
	atomic_fetch_add(&bytes_out, (size_t)head_bytes + strlen(answer));
	mg_printf(conn, "%s%s", head, answer);
	return 200;
}

static int64_t
now_ms(void *unused)
{
	(void)unused;
	return cw_clock_mono_ms();
}

static int
discard_record(
    void *ctx, const struct rec *rec, const struct st_completion *done)
{
	(void)ctx;
	(void)rec;
	(void)done;
	return CW_OK;
}

static int64_t
thread_cpu_us(void)
{
	struct rusage use;

	getrusage(RUSAGE_THREAD, &use);
	return (use.ru_utime.tv_sec + use.ru_stime.tv_sec) * 1000000 +
	    use.ru_utime.tv_usec + use.ru_stime.tv_usec;
}

static int
compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

/* Stores the bytes sent and received and the processor time of the caller
 * for one message with count tasks, as the mean of ROUNDS messages. */
static void
measure_message(struct pf_tasks *tasks, bool reports, size_t count,
    double *bytes, double *cpu_us)
{
	struct pf_task list[PF_TASKS_MAX] = {0};
	struct pf_report_sink sink = {NULL, NULL};
	int results[PF_TASKS_MAX];
	int64_t cpu;
	size_t i;

	for (i = 0; i < count; i++)
		list[i] = (struct pf_task){.worker_name = "worker-417",
		    .job = 5000000 + i / 8,
		    .token = 6000000000 + i / 8,
		    .member = (uint32_t)i,
		    .accel_mask = 3u << i % 16,
		    .lease_ms = 120000};
	atomic_store(&bytes_in, 0);
	atomic_store(&bytes_out, 0);
	cpu = thread_cpu_us();
	for (i = 0; i < ROUNDS; i++) {
		if (reports)
			tasks->reports(tasks->ctx, list, count, &sink);
		else
			tasks->renew(tasks->ctx, list, count, results);
	}
	*cpu_us = (double)(thread_cpu_us() - cpu) / ROUNDS;
	*bytes = (double)(bytes_in + bytes_out) / ROUNDS;
}

/* The difference between messages with 64 and with 8 tasks gives the cost of
 * a task; the rest is the cost of a message. */
static void
bench_messages(struct pf_tasks *tasks)
{
	static const char *const names[] = {"renew", "report"};
	double bytes[2], cpu[2], bytes_per_task, cpu_per_task;
	int kind;

	for (kind = 0; kind < 2; kind++) {
		measure_message(tasks, kind == 1, 8, &bytes[0], &cpu[0]);
		measure_message(tasks, kind == 1, 8, &bytes[0], &cpu[0]);
		measure_message(tasks, kind == 1, 64, &bytes[1], &cpu[1]);
		bytes_per_task = (bytes[1] - bytes[0]) / 56;
		cpu_per_task = (cpu[1] - cpu[0]) / 56;
		printf("%s_bytes_per_task=%.1f\n", names[kind], bytes_per_task);
		printf("%s_bytes_per_message=%.1f\n", names[kind],
		    bytes[0] - 8 * bytes_per_task);
		printf("%s_cpu_us_per_task=%.2f\n", names[kind], cpu_per_task);
		printf("%s_cpu_us_per_message=%.1f\n", names[kind],
		    cpu[0] - 8 * cpu_per_task);
	}
}

static void
put_gang_rows(
    struct bd_board *board, uint64_t job, uint32_t members, bool started)
{
	struct bd_job row = {.id = job,
	    .owner = 1,
	    .token = job,
	    .state = started ? BD_JOB_RUNNING : BD_JOB_PLACED,
	    .started_ms = started,
	    .shape = {(uint16_t)members, 1, 1000, 1000}};
	uint32_t i;

	for (i = 0; i < members; i++) {
		struct bd_task task = {.id = cw_id_from_pair(job, i),
		    .job = job,
		    .token = job,
		    .worker = 1 + i / MEMBERS_PER_WORKER,
		    .member = i,
		    .accel_mask = 1u << i % MEMBERS_PER_WORKER};
		struct bd_worker worker = {.id = task.worker,
		    .rack = 1 + i / MEMBERS_PER_RACK,
		    .name = "worker-417"};

		bd_put(board, BD_TABLE_worker, BD_WRITER_STATE, worker.id,
		    &worker, sizeof(worker), NULL);
		bd_put(board, BD_TABLE_task, BD_WRITER_STATE, task.id, &task,
		    sizeof(task), NULL);
	}
	bd_put(
	    board, BD_TABLE_job, BD_WRITER_STATE, job, &row, sizeof(row), NULL);
}

/* Returns the time (ms) from the row of a placed job to the phase
 * GANG_PHASE_RUNNING. */
static double
measure_start_ms(struct pf_tasks *tasks, uint32_t members)
{
	struct ctl_clock clock = {now_ms, NULL};
	struct ctl_spec spec = {"gang", gang_controller_step, NULL};
	struct bd_board *board;
	struct gang_controller *controller;
	struct ctl *ctl;
	bool running = false;
	int64_t begin_us, us = 0;

	if (bd_board_create(&board) != CW_OK ||
	    gang_controller_create(&controller, board, tasks, &null_sink, 1,
		&gang_settings_default, &clock) != CW_OK)
		exit(1);
	spec.ctx = controller;
	put_gang_rows(board, 1, members, false);
	begin_us = cw_clock_mono_us();
	if (ctl_start(&ctl, board, &spec, &clock) != CW_OK)
		exit(1);
	while (!running && us < 10000000) {
		uint64_t seen = bd_notify_count(board);
		const struct bd_lease *lease;

		bd_read_begin();
		lease = bd_lease_lookup(board, 1);
		running = lease != NULL && lease->phase == GANG_PHASE_RUNNING;
		bd_read_end();
		us = cw_clock_mono_us() - begin_us;
		if (!running)
			bd_wait(board, seen, 1);
	}
	ctl_stop(ctl);
	gang_controller_destroy(controller);
	bd_board_destroy(board);
	return (double)us / 1000;
}

static void
bench_starts(struct pf_tasks *tasks)
{
	static const uint32_t sizes[] = {1, 8, 64};
	double ms[STARTS];
	size_t i, round;

	for (i = 0; i < sizeof(sizes) / sizeof(*sizes); i++) {
		atomic_store(&messages, 0);
		for (round = 0; round < STARTS; round++)
			ms[round] = measure_start_ms(tasks, sizes[i]);
		qsort(ms, STARTS, sizeof(*ms), compare_doubles);
		printf("gang_start_ms_%u=%.2f\n", sizes[i], ms[STARTS / 2]);
		printf("gang_start_messages_%u=%.1f\n", sizes[i],
		    (double)messages / STARTS);
	}
}

static void
discard_call(void *ctx, const struct gang_call *call)
{
	(void)ctx;
	(void)call;
}

/* Prints the memory of gangs and the cost of a step in which nothing
 * changes, with all 2,800 tasks of the target size in one VM. */
static void
bench_memory_and_step(void)
{
	struct gang_output out = {discard_call, NULL, null_sink};
	struct bd_board *board;
	struct gang_set *set;
	struct mallinfo2 before, after;
	int64_t cpu;
	int i;

	if (bd_board_create(&board) != CW_OK ||
	    gang_set_create(&set, board, 1, &gang_settings_default) != CW_OK)
		exit(1);
	for (i = 1; i <= BENCH_GANGS; i++)
		put_gang_rows(board, (uint64_t)i, 64, true);
	before = mallinfo2();
	gang_set_step(set, 1000000, &out);
	after = mallinfo2();
	printf("gang_bytes_per_task=%.1f\n",
	    (double)(after.uordblks - before.uordblks) / (BENCH_GANGS * 64));
	cpu = thread_cpu_us();
	for (i = 0; i < ROUNDS; i++)
		gang_set_step(set, 1000001, &out);
	printf("gang_step_cpu_us_per_task=%.3f\n",
	    (double)(thread_cpu_us() - cpu) / ROUNDS / (BENCH_GANGS * 64));
	gang_set_destroy(set);
	bd_board_destroy(board);
}

int
main(void)
{
	const char *options[] = {"listening_ports", "127.0.0.1:0",
	    "num_threads", "16", "enable_keep_alive", "yes",
	    "keep_alive_timeout_ms", "5000", "tcp_nodelay", "1", NULL};
	struct mg_callbacks callbacks = {0};
	struct mg_server_port port;
	struct pf_http_settings settings = {0};
	struct pf_platform platform;
	struct pf_http *http;
	struct mg_context *server;
	char address[CW_NAME_BYTES];

	mg_init_library(0);
	server = mg_start(&callbacks, NULL, options);
	if (server == NULL || mg_get_server_ports(server, 1, &port) != 1)
		return 1;
	mg_set_request_handler(server, "/", serve_tasks, NULL);
	snprintf(address, sizeof(address), "http://127.0.0.1:%d", port.port);
	settings.address = address;
	if (pf_http_create(&http, &settings) != CW_OK)
		return 1;
	pf_http_platform(http, &platform);
	bench_memory_and_step();
	bench_messages(&platform.tasks);
	bench_starts(&platform.tasks);
	pf_http_destroy(http);
	mg_stop(server);
	return 0;
}
