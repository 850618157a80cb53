#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "bench.h"
#include "ctl.h"

/* Time for the answer to arrive after the deadline of the request. */
#define DEADLINE_MARGIN_MS 2000

static bool read_body(
    const struct ctl_session *ctl, char **body, size_t *bytes);
static bool add_headers(const struct ctl_session *ctl, struct cli_call *call,
    const char *idempotency_key);
static enum cli_exit run_request(const void *ctx, struct ctl_session *ctl);
static enum cli_exit run_answer(const void *ctx, struct ctl_session *ctl);
static enum cli_exit run_bench(const void *ctx, struct ctl_session *ctl);

/* Reads the file given by --body; the default is an empty body. The caller
 * frees it. */
static bool
read_body(const struct ctl_session *ctl, char **body, size_t *bytes)
{
	const char *path = ctl_args_text(ctl->args, "body");

	*bytes = 0;
	if (path != NULL)
		return ctl_file_read(path, CTL_FILE_BYTES_MAX, body, bytes);
	*body = calloc(1, 1);
	return *body != NULL;
}

/* Adds the headers of a request. idempotency_key is NULL for an idempotent
 * request, which needs none. */
static bool
add_headers(const struct ctl_session *ctl, struct cli_call *call,
    const char *idempotency_key)
{
	const char *class_name = ctl_args_text(ctl->args, "class");
	char number[24];
	int64_t deadline_ms = 0;
	int code = CW_OK;

	if (!ctl_args_number(
		ctl->args, "deadline-ms", 1, 3600000, &deadline_ms))
		return false;
	if (idempotency_key != NULL)
		code = cli_call_header_add(
		    call, "Idempotency-Key", idempotency_key);
	if (code == CW_OK && class_name != NULL)
		code = cli_call_header_add(call, "X-Class", class_name);
	if (code == CW_OK && deadline_ms > 0) {
		snprintf(number, sizeof(number), "%" PRId64, deadline_ms);
		code = cli_call_header_add(call, "X-Deadline-Ms", number);
		if (!ctl->is_timeout_given)
			call->timeout_ms =
			    (uint32_t)deadline_ms + DEADLINE_MARGIN_MS;
	}
	if (code != CW_OK)
		ctl_message("%s", cw_error_last());
	return code == CW_OK;
}

/* camphorctl request SERVICE */
static enum cli_exit
run_request(const void *ctx, struct ctl_session *ctl)
{
	bool is_idempotent = ctl_args_flag(ctl->args, "idempotent");
	const char *given = ctl_args_text(ctl->args, "key");
	struct cli_answer answer;
	struct cli_call call;
	char idempotency_key[CW_NAME_BYTES];
	enum cli_exit code;
	char *body;

	(void)ctx;
	if (is_idempotent && given != NULL) {
		ctl_message("--idempotent and --key are mutually exclusive");
		return CLI_EXIT_USAGE;
	}
	ctl_call_init(ctl, &call, "POST", "/v1/services/");
	ctl_call_query(&call, "", ctl_args_text(ctl->args, "service"));
	if ((!is_idempotent && !ctl_idempotency_key(given, idempotency_key)) ||
	    !add_headers(ctl, &call, is_idempotent ? NULL : idempotency_key) ||
	    !read_body(ctl, &body, &call.body_bytes))
		return CLI_EXIT_USAGE;
	call.body = body;
	call.is_repeatable = true;
	code = ctl_call_run(ctl, &call, &answer);
	free(body);
	if (code == CLI_EXIT_OK ||
	    (cli_answer_is_upstream(&answer) && !ctl->is_json))
		ctl_write_body(&answer);
	if (code == CLI_EXIT_UNKNOWN && !is_idempotent)
		fprintf(stderr,
		    "Retry with --key %s; the request will not run "
		    "twice.\n",
		    idempotency_key);
	if (code != CLI_EXIT_OK && answer.request_id[0] != '\0') {
		fprintf(stderr, "request ");
		cli_text_print_sanitized(stderr, answer.request_id);
		fputc('\n', stderr);
	}
	cli_answer_free(&answer);
	return code;
}

/* camphorctl answer ID */
static enum cli_exit
run_answer(const void *ctx, struct ctl_session *ctl)
{
	struct cli_answer answer;
	struct cli_call call;
	enum cli_exit code;

	(void)ctx;
	ctl_call_init(ctl, &call, "GET", "/v1/requests/");
	ctl_call_query(&call, "", ctl_args_text(ctl->args, "id"));
	code = ctl_call_run(ctl, &call, &answer);
	if (code == CLI_EXIT_OK ||
	    (cli_answer_is_upstream(&answer) && !ctl->is_json))
		ctl_write_body(&answer);
	cli_answer_free(&answer);
	return code;
}

/* camphorctl bench SERVICE */
static enum cli_exit
run_bench(const void *ctx, struct ctl_session *ctl)
{
	struct bench bench = {.count = 1000, .concurrency = 4};
	enum cli_exit code;
	char *body;

	(void)ctx;
	if (ctl->servers.count != 1) {
		ctl_message("bench needs exactly one --server");
		return CLI_EXIT_USAGE;
	}
	if (!ctl_args_number(
		ctl->args, "count", 1, BENCH_COUNT_MAX, &bench.count) ||
	    !ctl_args_number(ctl->args, "concurrency", 1, BENCH_THREADS_MAX,
		&bench.concurrency))
		return CLI_EXIT_USAGE;
	ctl_call_init(ctl, &bench.call, "POST", "/v1/services/");
	ctl_call_query(&bench.call, "", ctl_args_text(ctl->args, "service"));
	if (!add_headers(ctl, &bench.call, NULL) ||
	    !read_body(ctl, &body, &bench.call.body_bytes))
		return CLI_EXIT_USAGE;
	bench.call.body = body;
	bench.call.is_repeatable = true;
	bench.server = ctl->servers.address[0];
	bench.ca_file = ctl_args_text(ctl->args, "ca");
	if (bench.ca_file == NULL)
		bench.ca_file = getenv("CAMPHOR_CA");
	code = bench_run(&bench);
	if (code != CLI_EXIT_USAGE)
		bench_print(&bench, ctl->is_json, stdout);
	free(body);
	return code;
}

static const struct ctl_option request_options[] = {
    {"service", CTL_OPERAND, "SERVICE", "name of the service"},
    {"key", CTL_TEXT, "KEY",
	"Idempotency-Key: the request runs at most once (default: random)"},
    {"idempotent", CTL_FLAG, NULL,
	"the request may run more than once; send no key"},
    {"class", CTL_TEXT, "CLASS", "urgent, normal or batch"},
    {"deadline-ms", CTL_TEXT, "N", "time left for the request"},
    {"body", CTL_TEXT, "FILE", "body, \"-\" for standard input (empty)"},
};
static const struct ctl_option answer_options[] = {
    {"id", CTL_OPERAND, "ID", "X-Request-Id of the request"},
};
static const struct ctl_option bench_options[] = {
    {"service", CTL_OPERAND, "SERVICE", "service with idempotent requests"},
    {"count", CTL_TEXT, "N", "requests, 1 to 1000000 (1000)"},
    {"concurrency", CTL_TEXT, "N", "concurrent requests, 1 to 64 (4)"},
    {"class", CTL_TEXT, "CLASS", "urgent, normal or batch"},
    {"deadline-ms", CTL_TEXT, "N", "time left for each request"},
    {"body", CTL_TEXT, "FILE", "body of each request (empty)"},
};

static const struct ctl_command commands[] = {
    {"request", "send one short request to a service",
	"  camphorctl request orders --body order.json --key order-4711\n"
	"  echo '{\"m\": 3}' | camphorctl request quotes --idempotent \\\n"
	"      --class urgent --deadline-ms 800 --body -\n",
	CTL_OPTIONS(request_options), run_request, NULL, false},
    {"answer", "fetch the answer of an earlier request",
	"  camphorctl answer 9412\n", CTL_OPTIONS(answer_options), run_answer,
	NULL, false},
    {"bench", "send short requests to one entry VM and print latencies",
	"  camphorctl bench quotes --count 10000 --concurrency 8 \\\n"
	"      --server 127.0.0.1:8080\n",
	CTL_OPTIONS(bench_options), run_bench, NULL, false},
};
const struct ctl_group ctl_request_group = {CTL_OPTIONS(commands)};
