#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"

/* Pause before the second round over the servers after a lost answer, so that
 * a connection that breaks while a VM is replaced does not fail the call. */
#define RETRY_DELAY_MS 500

static bool may_have_taken_effect(
    const struct cli_call *call, const struct cli_answer *answer);
static bool should_retry(const struct cli_call *call,
    const struct cli_answer *answer, bool maybe_ran);
static void parse_json_body(struct cli_answer *answer);

/*
 * Adds one server, written as IP:PORT or [IP6]:PORT. Returns CW_EINVAL if it
 * is of another form and CW_ERANGE if the list is full.
 */
int
cli_servers_add(struct cli_servers *servers, const char *text)
{
	const char *colon = strrchr(text, ':');
	char *end = NULL;
	long port = colon == NULL ? 0 : strtol(colon + 1, &end, 10);

	if (colon == NULL || colon == text || *end != '\0' || port < 1 ||
	    port > 65535 || strlen(text) >= CW_NAME_BYTES ||
	    strpbrk(text, "/@? \t") != NULL)
		return cw_error_set(CW_EINVAL,
		    "server \"%.80s\" is not of the form IP:PORT", text);
	if (servers->count == CLI_SERVERS_MAX)
		return cw_error_set(CW_ERANGE, "more than %d servers are given",
		    CLI_SERVERS_MAX);
	cw_name_copy(servers->address[servers->count++], CW_NAME_BYTES, text);
	return CW_OK;
}

/* Adds a header. Returns CW_EINVAL if the value has control characters, which
 * would allow header injection, and CW_ERANGE if it does not fit. */
int
cli_call_header_add(struct cli_call *call, const char *name, const char *value)
{
	const char *c;
	int n;

	assert(call != NULL && name != NULL && value != NULL);
	for (c = value; *c != '\0'; c++)
		if ((unsigned char)*c < ' ' || *c == 127)
			return cw_error_set(CW_EINVAL,
			    "the value of %s has control characters", name);
	if (call->header_count == CLI_HEADERS_MAX)
		return cw_error_set(CW_ERANGE, "too many headers");
	n = snprintf(call->headers[call->header_count], CLI_HEADER_BYTES,
	    "%s: %s", name, value);
	if (n >= CLI_HEADER_BYTES)
		return cw_error_set(
		    CW_ERANGE, "the value of %s is too long", name);
	call->header_count++;
	return CW_OK;
}

/* Returns whether the request of this exchange may have taken effect without
 * its answer saying so. */
static bool
may_have_taken_effect(
    const struct cli_call *call, const struct cli_answer *answer)
{
	if (call->is_read_only)
		return false;
	if (answer->outcome == CLI_ANSWER_LOST)
		return true;
	return answer->outcome == CLI_ANSWERED && answer->status >= 500 &&
	    !cli_answer_is_upstream(answer) &&
	    (answer->ran == CLI_RAN_UNKNOWN ||
		answer->ran == CLI_RAN_UNSPECIFIED);
}

/* Returns whether the call should be sent to the next server after this
 * exchange. maybe_ran covers the earlier exchanges too. */
static bool
should_retry(const struct cli_call *call, const struct cli_answer *answer,
    bool maybe_ran)
{
	if (call->is_single_attempt)
		return false;
	if (answer->outcome == CLI_NOT_SENT)
		return true;
	if (answer->outcome == CLI_ANSWER_LOST)
		return call->is_repeatable;
	if (answer->status == 503 && answer->ran == CLI_RAN_NOT)
		return true;
	return call->is_repeatable && answer->status >= 500 && maybe_ran &&
	    !cli_answer_is_upstream(answer) && answer->ran != CLI_RAN_YES;
}

/* Parses a JSON body and reads the fields that all error answers have. */
static void
parse_json_body(struct cli_answer *answer)
{
	json_t *retry_after;

	if (answer->outcome != CLI_ANSWERED || answer->body == NULL)
		return;
	answer->json = json_loadb(answer->body, answer->body_bytes, 0, NULL);
	if (!json_is_object(answer->json))
		return;
	answer->ran = cli_ran_parse(
	    json_string_value(json_object_get(answer->json, "ran")));
	retry_after = json_object_get(answer->json, "retry_after_ms");
	if (json_is_integer(retry_after))
		answer->retry_after_ms = json_integer_value(retry_after);
}

/*
 * Makes a call. The servers are tried in turn until one answers. If an attempt
 * may have taken effect but its answer is lost, a call that may be repeated
 * makes a second round over the servers with the same headers, so that its
 * Idempotency-Key leads to the outcome of the first attempt. The caller frees
 * the answer.
 */
void
cli_call_run(const struct cli_transport *transport,
    const struct cli_servers *servers, const struct cli_call *call,
    struct cli_answer *answer)
{
	char text[400];
	bool maybe_ran = false;
	size_t attempt;

	assert(transport != NULL && servers->count > 0 && call != NULL);
	for (attempt = 0;; attempt++) {
		memset(answer, 0, sizeof(*answer));
		answer->retry_after_ms = -1;
		cw_name_copy(answer->server, CW_NAME_BYTES,
		    servers->address[attempt % servers->count]);
		transport->exchange(
		    transport->ctx, answer->server, call, answer);
		parse_json_body(answer);
		maybe_ran = maybe_ran || may_have_taken_effect(call, answer);
		answer->maybe_ran = maybe_ran;
		if (!should_retry(call, answer, maybe_ran) ||
		    attempt + 1 == 2 * servers->count ||
		    (attempt + 1 >= servers->count && !maybe_ran))
			return;
		if (answer->outcome == CLI_ANSWERED)
			snprintf(text, sizeof(text), "%s answered %d, retrying",
			    answer->server, answer->status);
		else
			snprintf(text, sizeof(text), "%s: %s, retrying",
			    answer->server, answer->detail);
		transport->note(transport->ctx, text);
		if ((attempt + 1) % servers->count == 0)
			transport->sleep_ms(transport->ctx, RETRY_DELAY_MS);
		cli_answer_free(answer);
	}
}

/* Frees the body and the JSON of an answer. */
void
cli_answer_free(struct cli_answer *answer)
{
	json_decref(answer->json);
	free(answer->body);
	answer->json = NULL;
	answer->body = NULL;
}

/*
 * Prints the errors of a refused file as FILE:LINE:COLUMN: TEXT. line_offset is
 * added to the line numbers; an error about the whole file is given line 1.
 */
void
cli_errors_print(
    const json_t *answer, const char *file, int64_t line_offset, FILE *out)
{
	const json_t *errors = json_object_get(answer, "errors");
	const json_t *error;
	size_t i;

	json_array_foreach(errors, i, error)
	{
		const char *text =
		    json_string_value(json_object_get(error, "text"));
		int64_t line =
		    json_integer_value(json_object_get(error, "line"));
		int64_t column =
		    json_integer_value(json_object_get(error, "column"));

		fprintf(out, "%s:%lld:%lld: ", file,
		    line <= 0 ? 1LL : (long long)(line + line_offset),
		    column <= 0 ? 1LL : (long long)column);
		cli_text_print_sanitized(
		    out, text == NULL ? "no reason given" : text);
		fputc('\n', out);
	}
}

/* Prints why a call did not succeed, whether it may have taken effect, and what
 * the user can do. */
void
cli_answer_explain(const struct cli_answer *answer, FILE *out)
{
	const char *error =
	    json_string_value(json_object_get(answer->json, "error"));
	enum cli_exit code = cli_exit_from_answer(answer);

	if (answer->outcome != CLI_ANSWERED) {
		fprintf(out, "%s: %s\n", answer->server, answer->detail);
	} else if (cli_answer_is_upstream(answer)) {
		fprintf(out, "the upstream answered %d\n", answer->status);
	} else if (answer->status == 202) {
		fprintf(out, "%s: still in progress\n", answer->server);
	} else {
		fprintf(
		    out, "%s answered %d: ", answer->server, answer->status);
		cli_text_print_sanitized(
		    out, error == NULL ? "no reason given" : error);
		fputc('\n', out);
	}
	if (answer->ran == CLI_RAN_YES)
		fprintf(out, "It took effect; only its answer is missing.\n");
	else if (code == CLI_EXIT_UNKNOWN)
		fprintf(out, "It may have taken effect.\n");
	else if (code == CLI_EXIT_UNREACHABLE)
		fprintf(out, "Nothing was done.\n");
	else if (code == CLI_EXIT_UNAUTHORISED)
		fprintf(out,
		    "Check --account and --key-file (or "
		    "CAMPHOR_ACCOUNT and CAMPHOR_KEY).\n");
	if (answer->retry_after_ms > 0 && !answer->maybe_ran)
		fprintf(out, "Try again after %lld ms.\n",
		    (long long)answer->retry_after_ms);
}
