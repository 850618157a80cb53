#include <assert.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stddef.h>

#include "bench.h"
#include "ctl.h"

static bool send_one(
    struct bench *bench, const struct cli_transport *transport);
static void *send_all(void *ctx);

static void
ignore_pause(void *ctx, int64_t ms)
{
	(void)ctx;
	(void)ms;
}

static void
ignore_note(void *ctx, const char *text)
{
	(void)ctx;
	(void)text;
}

/* Sends one request without retries and counts its outcome. Returns whether it
 * was answered. */
static bool
send_one(struct bench *bench, const struct cli_transport *transport)
{
	struct cli_servers servers = {.count = 1};
	struct cli_answer answer;
	enum cli_exit code;
	bool is_answered;
	int64_t start_us;

	cw_name_copy(servers.address[0], CW_NAME_BYTES, bench->server);
	start_us = cw_clock_mono_us();
	cli_call_run(transport, &servers, &bench->call, &answer);
	code = cli_exit_from_answer(&answer);
	if (code == CLI_EXIT_OK)
		hist_record(&bench->latency_us,
		    (uint64_t)(cw_clock_mono_us() - start_us));
	atomic_fetch_add(&bench->exit_counts[code], 1);
	is_answered = answer.outcome == CLI_ANSWERED;
	cli_answer_free(&answer);
	return is_answered;
}

/* Thread: sends requests over its own connection until all are sent. */
static void *
send_all(void *ctx)
{
	struct bench *bench = ctx;
	struct cli_transport transport = {
	    ctl_transport_exchange, ignore_pause, ignore_note, NULL};
	struct ctl_transport *link = NULL;
	bool is_first = true;

	if (ctl_transport_create(&link, bench->ca_file) != CW_OK)
		return NULL;
	transport.ctx = link;
	while (atomic_fetch_add(&bench->next, 1) < bench->count) {
		if (!send_one(bench, &transport) && is_first)
			break;
		is_first = false;
	}
	ctl_transport_destroy(link);
	return NULL;
}

/* Runs the benchmark and fills in the histogram and the counts. Returns the
 * highest exit code of any request. */
enum cli_exit
bench_run(struct bench *bench)
{
	pthread_t threads[BENCH_THREADS_MAX];
	int64_t start_us = cw_clock_mono_us();
	int64_t started = 0;
	int64_t i;
	int code;

	assert(bench->concurrency <= BENCH_THREADS_MAX);
	/* A lost request is counted, not retried. */
	bench->call.is_single_attempt = true;
	while (started < bench->concurrency &&
	    pthread_create(&threads[started], NULL, send_all, bench) == 0)
		started++;
	for (i = 0; i < started; i++)
		pthread_join(threads[i], NULL);
	bench->elapsed_us = cw_clock_mono_us() - start_us;
	if (started == 0) {
		ctl_message("cannot start a thread; no request was sent");
		return CLI_EXIT_USAGE;
	}
	for (code = CLI_EXIT_UNAUTHORISED; code > CLI_EXIT_OK; code--)
		if (atomic_load(&bench->exit_counts[code]) > 0)
			return (enum cli_exit)code;
	return CLI_EXIT_OK;
}

/* Prints the counts, and rate and latencies of successful requests. */
void
bench_print(const struct bench *bench, bool is_json, FILE *out)
{
	static const struct {
		const char *name;
		double quantile;
	} quantiles[] = {{"p50_us", 0.5}, {"p90_us", 0.9}, {"p99_us", 0.99},
	    {"p999_us", 0.999}, {"max_us", 1}};
	static const char *const outcome_names[] = {"done", "refused", NULL,
	    "unreachable", "conflict", "unknown", "unauthorised"};
	uint64_t done = hist_count(&bench->latency_us);
	json_t *row = json_object();
	const char *key;
	json_t *value;
	size_t i;

	for (i = 0; i < CTL_COUNT(outcome_names); i++)
		if (outcome_names[i] != NULL)
			json_object_set_new(row, outcome_names[i],
			    json_integer((json_int_t)bench->exit_counts[i]));
	json_object_set_new(row, "requests_per_s",
	    json_integer((json_int_t)(done * 1000000 /
		(uint64_t)(bench->elapsed_us > 0 ? bench->elapsed_us : 1))));
	for (i = 0; i < CTL_COUNT(quantiles) && done > 0; i++)
		json_object_set_new(row, quantiles[i].name,
		    json_integer((json_int_t)hist_quantile(
			&bench->latency_us, quantiles[i].quantile)));
	if (is_json)
		json_dumpf(row, out, JSON_COMPACT | JSON_PRESERVE_ORDER);
	json_object_foreach(row, key, value) if (!is_json) fprintf(out,
	    "%-15s %" JSON_INTEGER_FORMAT "\n", key, json_integer_value(value));
	if (is_json)
		fputc('\n', out);
	json_decref(row);
}
