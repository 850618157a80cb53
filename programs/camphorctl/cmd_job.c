#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

/* Longest server-side wait of one call; the server allows at most 30 s. */
#define WAIT_CALL_MAX_MS 10000
/* Delay before the next call if the server cannot wait or is unreachable. */
#define WAIT_RETRY_MS 2000
/* Longer than a rolling restart of all entry VMs. */
#define WAIT_UNREACHABLE_MAX_MS 60000
#define JOBS_PER_PAGE 1000
#define JOB_FILE_BYTES_MAX (64UL * 1024)

struct job_field {
	const char *option;
	const char *key;
	enum {
		FIELD_TEXT,
		FIELD_INTEGER,
		FIELD_REAL,
		FIELD_FLAG,
		FIELD_OBJECT,
	} type;
};

static bool set_field(
    const struct ctl_args *args, const struct job_field *field, json_t *job);
static json_t *read_job(const struct ctl_session *ctl);
static enum cli_exit run_submit(const void *ctx, struct ctl_session *ctl);
static void print_job(const void *ctx, const json_t *job);
static enum cli_exit list_jobs(const struct ctl_session *ctl);
static enum cli_exit run_status(const void *ctx, struct ctl_session *ctl);
static void print_progress(const json_t *job, int64_t now_ms);
static enum cli_exit wait_job(
    const struct ctl_session *ctl, int64_t id, int64_t max_wait_ms);
static enum cli_exit run_wait(const void *ctx, struct ctl_session *ctl);
static void print_cancel(const void *ctx, const json_t *answer);
static enum cli_exit run_cancel(const void *ctx, struct ctl_session *ctl);
static void print_explain(const void *ctx, const json_t *answer);
static enum cli_exit run_explain(const void *ctx, struct ctl_session *ctl);

static const struct cli_column job_columns[] = {
    {"ID", "id", CLI_CELL_NUMBER},
    {"STATE", "state", CLI_CELL_TEXT},
    {"CLASS", "class", CLI_CELL_TEXT},
    {"MEMBERS", "members", CLI_CELL_NUMBER},
    {"ACCEL", "accelerators", CLI_CELL_NUMBER},
    {"GUARANTEED", "guaranteed", CLI_CELL_FLAG},
    {"SUBMITTED", "submitted_ms", CLI_CELL_TIME},
    {"REASON", "reason", CLI_CELL_TEXT},
    {"ACCOUNT", "account", CLI_CELL_TEXT},
    {"NAME", "name", CLI_CELL_TEXT},
};

static const struct cli_column job_fields[] = {
    {"id", "id", CLI_CELL_NUMBER},
    {"name", "name", CLI_CELL_TEXT},
    {"account", "account", CLI_CELL_TEXT},
    {"state", "state", CLI_CELL_TEXT},
    {"reason", "reason", CLI_CELL_TEXT},
    {"class", "class", CLI_CELL_TEXT},
    {"members", "members", CLI_CELL_NUMBER},
    {"accelerators each", "accelerators", CLI_CELL_NUMBER},
    {"cores each", "cores", CLI_CELL_NUMBER},
    {"memory MB each", "memory_mb", CLI_CELL_NUMBER},
    {"declared seconds", "declared_s", CLI_CELL_NUMBER},
    {"guaranteed", "guaranteed", CLI_CELL_FLAG},
    {"across regions", "cross_region", CLI_CELL_FLAG},
    {"attempts", "attempts", CLI_CELL_NUMBER},
    {"failures", "failures", CLI_CELL_NUMBER},
    {"crashes of workers", "crashes", CLI_CELL_NUMBER},
    {"submitted", "submitted_ms", CLI_CELL_TIME},
    {"waiting since", "waiting_since_ms", CLI_CELL_TIME},
    {"started", "started_ms", CLI_CELL_TIME},
    {"checkpoint", "checkpoint_ms", CLI_CELL_TIME},
    {"to be stopped by", "preempt_deadline_ms", CLI_CELL_TIME},
    {"ended", "ended_ms", CLI_CELL_TIME},
    {"input", "input", CLI_CELL_TEXT},
};

static const struct cli_column task_columns[] = {
    {"MEMBER", "member", CLI_CELL_NUMBER},
    {"ACCEL", "mask", CLI_CELL_BITS},
    {"RACK", "rack", CLI_CELL_TEXT},
    {"WORKER", "worker", CLI_CELL_TEXT},
};

/* Sets a field of a job if its option was given. Ranges are checked by the
 * server. Prints a message and returns false on failure. */
static bool
set_field(
    const struct ctl_args *args, const struct job_field *field, json_t *job)
{
	json_t *value = NULL;
	const char *text;
	int64_t number = 0;
	char *end;

	if (field->type == FIELD_FLAG) {
		return !ctl_args_flag(args, field->option) ||
		    json_object_set_new(job, field->key, json_true()) == 0;
	}
	text = ctl_args_text(args, field->option);
	if (text == NULL)
		return true;
	if (field->type == FIELD_TEXT)
		value = json_string(text);
	if (field->type == FIELD_OBJECT)
		value = json_loads(text, JSON_REJECT_DUPLICATES, NULL);
	if (field->type == FIELD_REAL) {
		double real = strtod(text, &end);

		value = end == text || *end != '\0' ? NULL : json_real(real);
	}
	if (field->type == FIELD_INTEGER) {
		if (!ctl_args_number(
			args, field->option, 0, INT64_MAX, &number))
			return false;
		value = json_integer(number);
	}
	if (value == NULL ||
	    (field->type == FIELD_OBJECT && !json_is_object(value))) {
		json_decref(value);
		ctl_message(
		    "\"%s\" cannot be the value of --%s", text, field->option);
		return false;
	}
	return json_object_set_new(job, field->key, value) == 0;
}

/* Reads the job from the file and the options, which override the file. Prints
 * a message and returns NULL on failure. */
static json_t *
read_job(const struct ctl_session *ctl)
{
	static const struct job_field fields[] = {
	    {"name", "name", FIELD_TEXT},
	    {"members", "members", FIELD_INTEGER},
	    {"accelerators", "accelerators", FIELD_INTEGER},
	    {"cores", "cores", FIELD_REAL},
	    {"memory-mb", "memory_mb", FIELD_INTEGER},
	    {"class", "class", FIELD_TEXT},
	    {"declared-s", "declared_s", FIELD_INTEGER},
	    {"cross-region", "cross_region", FIELD_FLAG},
	    {"input", "input", FIELD_OBJECT},
	};
	const char *path = ctl_args_text(ctl->args, "file");
	json_error_t error;
	json_t *job = NULL;
	char *text = NULL;
	size_t bytes;
	size_t i;

	if (path == NULL) {
		job = json_object();
	} else {
		if (!ctl_file_read(path, JOB_FILE_BYTES_MAX, &text, &bytes))
			return NULL;
		job = json_loadb(text, bytes, JSON_REJECT_DUPLICATES, &error);
		free(text);
		if (!json_is_object(job)) {
			fprintf(stderr, "%s:%d:%d: %s\n", path,
			    job == NULL ? error.line : 1,
			    job == NULL ? error.column : 1,
			    job == NULL ? error.text
					: "the job must be a JSON object");
			json_decref(job);
			return NULL;
		}
	}
	for (i = 0; i < CTL_COUNT(fields); i++)
		if (!set_field(ctl->args, &fields[i], job)) {
			json_decref(job);
			return NULL;
		}
	return job;
}

/* camphorctl submit [FILE] */
static enum cli_exit
run_submit(const void *ctx, struct ctl_session *ctl)
{
	struct cli_answer answer;
	struct cli_call call;
	char idempotency_key[CW_NAME_BYTES];
	json_t *job;
	char *body;
	int64_t id = 0;
	enum cli_exit code;

	(void)ctx;
	ctl_call_init(ctl, &call, "POST", "/v1/jobs");
	if (!ctl_idempotency_key(
		ctl_args_text(ctl->args, "key"), idempotency_key) ||
	    cli_call_header_add(&call, "Idempotency-Key", idempotency_key) !=
		CW_OK)
		return CLI_EXIT_USAGE;
	job = read_job(ctl);
	body = job == NULL ? NULL : json_dumps(job, JSON_COMPACT);
	json_decref(job);
	if (body == NULL)
		return CLI_EXIT_USAGE;
	cli_call_header_add(&call, "Content-Type", "application/json");
	call.body = body;
	call.body_bytes = strlen(body);
	call.is_repeatable = true;
	code = ctl_call_run(ctl, &call, &answer);
	free(body);
	if (code == CLI_EXIT_OK) {
		id = json_integer_value(json_object_get(answer.json, "id"));
		if (ctl->is_json)
			ctl_print_body(&answer);
		else
			printf("%" PRId64 "\n", id);
		fflush(stdout);
	} else if (code == CLI_EXIT_UNKNOWN) {
		fprintf(stderr,
		    "Submit again with --key %s to find out; the job will not "
		    "be created twice.\n",
		    idempotency_key);
	}
	cli_answer_free(&answer);
	if (code == CLI_EXIT_OK && ctl_args_flag(ctl->args, "wait"))
		code = wait_job(ctl, id, INT64_MAX);
	return code;
}

static void
print_job(const void *ctx, const json_t *job)
{
	const json_t *tasks = json_object_get(job, "tasks");

	(void)ctx;
	cli_fields_print(job, job_fields, CTL_COUNT(job_fields), stdout);
	if (json_array_size(tasks) > 0)
		cli_table_print(
		    tasks, task_columns, CTL_COUNT(task_columns), stdout);
}

/* Fetches all pages of the job list and prints it. */
static enum cli_exit
list_jobs(const struct ctl_session *ctl)
{
	json_t *jobs = json_array();
	json_t *all = json_pack("{s:o}", "jobs", jobs);
	struct cli_answer answer;
	struct cli_call call;
	enum cli_exit code;
	bool is_more;
	int64_t after = 0;

	do {
		json_t *page;

		ctl_call_init(ctl, &call, "GET",
		    "/v1/jobs?limit=%d&after=%" PRId64, JOBS_PER_PAGE, after);
		ctl_call_query(
		    &call, "state", ctl_args_text(ctl->args, "state"));
		ctl_call_query(
		    &call, "account", ctl_args_text(ctl->args, "of"));
		code = ctl_call_run(ctl, &call, &answer);
		page = json_object_get(answer.json, "jobs");
		is_more = code == CLI_EXIT_OK && json_array_size(page) > 0 &&
		    json_is_true(json_object_get(answer.json, "more"));
		if (code == CLI_EXIT_OK)
			json_array_extend(jobs, page);
		if (is_more)
			after = json_integer_value(json_object_get(
			    json_array_get(page, json_array_size(page) - 1),
			    "id"));
		cli_answer_free(&answer);
	} while (is_more);
	if (code == CLI_EXIT_OK && ctl->is_json) {
		json_dumpf(all, stdout, JSON_COMPACT);
		fputc('\n', stdout);
	} else if (code == CLI_EXIT_OK) {
		cli_table_print(
		    jobs, job_columns, CTL_COUNT(job_columns), stdout);
	}
	json_decref(all);
	return code;
}

/* camphorctl status [JOB] */
static enum cli_exit
run_status(const void *ctx, struct ctl_session *ctl)
{
	struct cli_call call;
	int64_t id = -1;

	if (!ctl_args_number(ctl->args, "job", 1, INT64_MAX, &id))
		return CLI_EXIT_USAGE;
	if (id < 0)
		return list_jobs(ctl);
	ctl_call_init(ctl, &call, "GET", "/v1/jobs/%" PRId64, id);
	return ctl_call_print(ctl, &call, print_job, ctx);
}

/* Prints a progress line on standard error. */
static void
print_progress(const json_t *job, int64_t now_ms)
{
	static const char *const keys[] = {"state", "reason"};
	char time[CLI_TIME_BYTES];
	size_t i;

	cli_time_format(now_ms, time);
	fprintf(stderr, "%s job %" JSON_INTEGER_FORMAT, time,
	    json_integer_value(json_object_get(job, "id")));
	for (i = 0; i < CTL_COUNT(keys); i++) {
		const char *text =
		    json_string_value(json_object_get(job, keys[i]));

		if (text == NULL || strcmp(text, "none") == 0)
			continue;
		fputc(' ', stderr);
		cli_text_print_sanitized(stderr, text);
	}
	fprintf(stderr, ", attempt %" JSON_INTEGER_FORMAT "\n",
	    json_integer_value(json_object_get(job, "attempts")));
}

/*
 * Waits until the job has ended, at most max_wait_ms, and prints its progress.
 * Unreachable servers are retried for WAIT_UNREACHABLE_MAX_MS, so that a
 * restart of the entry VMs does not end the wait. Returns the exit code of the
 * job, CLI_EXIT_UNKNOWN if it has not ended, or that of the last failed call.
 */
static enum cli_exit
wait_job(const struct ctl_session *ctl, int64_t id, int64_t max_wait_ms)
{
	int64_t start_ms = cw_clock_mono_ms();
	int64_t last_answer_ms = start_ms;
	int64_t version = 0;
	struct cli_answer answer;
	struct cli_call call;
	enum cli_exit code;
	enum cli_exit end = CLI_EXIT_UNKNOWN;

	for (;;) {
		int64_t now_ms = cw_clock_mono_ms();
		int64_t left_ms = max_wait_ms - (now_ms - start_ms);
		int64_t call_wait_ms =
		    left_ms < WAIT_CALL_MAX_MS ? left_ms : WAIT_CALL_MAX_MS;

		/* The first call must not wait: if the job has ended, its
		 * version no longer changes. */
		if (version == 0)
			ctl_call_init(
			    ctl, &call, "GET", "/v1/jobs/%" PRId64, id);
		else
			ctl_call_init(ctl, &call, "GET",
			    "/v1/jobs/%" PRId64 "/wait?timeout_ms=%" PRId64
			    "&version=%" PRId64,
			    id, call_wait_ms > 0 ? call_wait_ms : 0, version);
		call.timeout_ms += WAIT_CALL_MAX_MS;
		code = ctl_call_run(ctl, &call, &answer);
		if (code == CLI_EXIT_OK) {
			int64_t new_version = json_integer_value(
			    json_object_get(answer.json, "version"));

			last_answer_ms = now_ms;
			end = cli_exit_from_job(json_string_value(
			    json_object_get(answer.json, "state")));
			if (new_version != version)
				print_progress(answer.json, cw_clock_wall_ms());
			else if (answer.is_busy)
				ctl->transport.sleep_ms(
				    ctl->transport.ctx, WAIT_RETRY_MS);
			version = new_version;
		}
		if (code == CLI_EXIT_OK && end != CLI_EXIT_UNKNOWN &&
		    ctl->is_json)
			ctl_print_body(&answer);
		cli_answer_free(&answer);
		if (code == CLI_EXIT_OK &&
		    (end != CLI_EXIT_UNKNOWN || left_ms <= 0))
			return end;
		if (code != CLI_EXIT_OK &&
		    ((code != CLI_EXIT_UNREACHABLE &&
			 code != CLI_EXIT_UNKNOWN) ||
			left_ms <= 0 ||
			now_ms - last_answer_ms > WAIT_UNREACHABLE_MAX_MS))
			return code;
		if (code != CLI_EXIT_OK)
			ctl->transport.sleep_ms(
			    ctl->transport.ctx, WAIT_RETRY_MS);
	}
}

/* camphorctl wait JOB [--at-most-ms N] */
static enum cli_exit
run_wait(const void *ctx, struct ctl_session *ctl)
{
	int64_t max_wait_ms = INT64_MAX;
	int64_t id = 0;

	(void)ctx;
	if (!ctl_args_number(ctl->args, "job", 1, INT64_MAX, &id) ||
	    !ctl_args_number(
		ctl->args, "at-most-ms", 0, INT64_MAX, &max_wait_ms))
		return CLI_EXIT_USAGE;
	return wait_job(ctl, id, max_wait_ms);
}

static void
print_cancel(const void *ctx, const json_t *answer)
{
	(void)ctx;
	printf("job %" JSON_INTEGER_FORMAT
	       " is cancelled; its tasks are being stopped\n",
	    json_integer_value(json_object_get(answer, "id")));
}

/* camphorctl cancel JOB */
static enum cli_exit
run_cancel(const void *ctx, struct ctl_session *ctl)
{
	struct cli_call call;
	int64_t id = 0;

	if (!ctl_args_number(ctl->args, "job", 1, INT64_MAX, &id))
		return CLI_EXIT_USAGE;
	ctl_call_init(ctl, &call, "DELETE", "/v1/jobs/%" PRId64, id);
	call.is_repeatable = true;
	return ctl_call_print(ctl, &call, print_cancel, ctx);
}

static void
print_explain(const void *ctx, const json_t *answer)
{
	static const struct cli_column fields[] = {
	    {"condition", "condition", CLI_CELL_TEXT},
	    {"accelerators needed", "need_accelerators", CLI_CELL_NUMBER},
	    {"free", "free_accelerators", CLI_CELL_NUMBER},
	    {"free together", "free_together", CLI_CELL_NUMBER},
	    {"jobs ahead", "ahead", CLI_CELL_NUMBER},
	    {"used by the account", "account_accelerators", CLI_CELL_NUMBER},
	    {"quota of the account", "account_quota", CLI_CELL_NUMBER},
	    {"waited ms", "waited_ms", CLI_CELL_NUMBER},
	    {"expected start", "start_ms", CLI_CELL_TIME},
	    {"until", "until_ms", CLI_CELL_TIME},
	};
	static const struct cli_column holders[] = {
	    {"JOB", "job", CLI_CELL_NUMBER},
	    {"ACCEL", "accelerators", CLI_CELL_NUMBER},
	    {"GUARANTEED", "guaranteed", CLI_CELL_FLAG},
	    {"EXPECTED END", "end_ms", CLI_CELL_TIME},
	    {"ACCOUNT", "account", CLI_CELL_TEXT},
	    {"NAME", "name", CLI_CELL_TEXT},
	};
	const char *text = json_string_value(json_object_get(answer, "text"));
	const json_t *list = json_object_get(answer, "holders");

	(void)ctx;
	cli_text_print_sanitized(
	    stdout, text == NULL ? "no explanation" : text);
	printf("\n\n");
	cli_fields_print(answer, fields, CTL_COUNT(fields), stdout);
	if (json_array_size(list) > 0) {
		printf("\nJobs that hold the required resources:\n");
		cli_table_print(list, holders, CTL_COUNT(holders), stdout);
	}
}

/* camphorctl explain JOB */
static enum cli_exit
run_explain(const void *ctx, struct ctl_session *ctl)
{
	struct cli_call call;
	int64_t id = 0;

	if (!ctl_args_number(ctl->args, "job", 1, INT64_MAX, &id))
		return CLI_EXIT_USAGE;
	ctl_call_init(ctl, &call, "GET", "/v1/jobs/%" PRId64 "/explain", id);
	return ctl_call_print(ctl, &call, print_explain, ctx);
}

static const struct ctl_option submit_options[] = {
    {"file", CTL_OPERAND_OPTIONAL, "FILE",
	"job as JSON, \"-\" for standard input; options override it"},
    {"name", CTL_TEXT, "NAME", "name of the job"},
    {"members", CTL_TEXT, "N", "workers that run together, 1 to 64 (1)"},
    {"accelerators", CTL_TEXT, "N", "accelerators of each member"},
    {"cores", CTL_TEXT, "N", "cores of each member (1)"},
    {"memory-mb", CTL_TEXT, "N", "memory of each member (1024)"},
    {"class", CTL_TEXT, "CLASS", "urgent, normal or batch (normal)"},
    {"declared-s", CTL_TEXT, "N", "expected run time in seconds"},
    {"cross-region", CTL_FLAG, NULL, "members may run in several regions"},
    {"input", CTL_TEXT, "JSON", "object for the tasks, at most 159 bytes"},
    {"key", CTL_TEXT, "KEY",
	"Idempotency-Key (default: random); a retry with the same key does not "
	"create a second job"},
    {"wait", CTL_FLAG, NULL, "wait until the job has ended"},
};
static const struct ctl_option status_options[] = {
    {"job", CTL_OPERAND_OPTIONAL, "JOB", "id of the job (default: list jobs)"},
    {"state", CTL_TEXT, "STATE", "list only jobs in this state"},
    {"of", CTL_TEXT, "NAME", "list only jobs of this account (operators)"},
};
static const struct ctl_option wait_options[] = {
    {"job", CTL_OPERAND, "JOB", "id of the job"},
    {"at-most-ms", CTL_TEXT, "N", "longest wait (exit code 5)"},
};
static const struct ctl_option job_options[] = {
    {"job", CTL_OPERAND, "JOB", "id of the job"},
};

static const struct ctl_command commands[] = {
    {"submit", "submit a job and print its id",
	"  camphorctl submit --name matching-2027 --members 8 --accelerators "
	"8 \\\n      --cores 32 --memory-mb 131072 --declared-s 14400\n"
	"  camphorctl submit job.json --class batch --wait\n",
	CTL_OPTIONS(submit_options), run_submit, NULL, false},
    {"status", "list jobs or show one",
	"  camphorctl status\n  camphorctl status --state waiting\n"
	"  camphorctl status 123456 --json\n",
	CTL_OPTIONS(status_options), run_status, NULL, false},
    {"wait", "wait until a job has ended; exit code 0: done, 1: failed",
	"  camphorctl wait 123456\n"
	"  camphorctl wait 123456 --at-most-ms 3600000\n",
	CTL_OPTIONS(wait_options), run_wait, NULL, false},
    {"cancel", "cancel a job", "  camphorctl cancel 123456\n",
	CTL_OPTIONS(job_options), run_cancel, NULL, false},
    {"explain", "show why a job is waiting and what would let it start",
	"  camphorctl explain 123456\n", CTL_OPTIONS(job_options), run_explain,
	NULL, false},
};
const struct ctl_group ctl_job_group = {CTL_OPTIONS(commands)};
