#ifndef CAMPHOR_CLI_H
#define CAMPHOR_CLI_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <jansson.h>

#include "base.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * 1. Exit codes, a stable interface that camphorctl(1) documents.
 */
enum cli_exit {
	CLI_EXIT_OK = 0,
	CLI_EXIT_REFUSED = 1,      /* refused, failed job, or files differ */
	CLI_EXIT_USAGE = 2,        /* wrong arguments or unreadable file */
	CLI_EXIT_UNREACHABLE = 3,  /* no server accepted the call; not run */
	CLI_EXIT_CONFLICT = 4,     /* another change was accepted first */
	CLI_EXIT_UNKNOWN = 5,      /* the outcome is not (yet) known */
	CLI_EXIT_UNAUTHORISED = 6, /* no key, wrong key or wrong role */
};

/* Whether a request took effect, from the field "ran" of its answer. */
enum cli_ran {
	CLI_RAN_UNSPECIFIED,
	CLI_RAN_NOT,
	CLI_RAN_UNKNOWN,
	CLI_RAN_YES,
};

enum cli_ran cli_ran_parse(const char *text);
enum cli_exit cli_exit_from_job(const char *state);

/*
 * 2. Calls. A transport sends one request to one server; cli_call_run() retries
 * on the next server if the call then cannot take effect twice.
 */
#define CLI_SERVERS_MAX 16
#define CLI_HEADERS_MAX 8
#define CLI_HEADER_BYTES 192

struct cli_call {
	const char *method;
	char path[512]; /* including the query */
	char headers[CLI_HEADERS_MAX][CLI_HEADER_BYTES];
	size_t header_count;
	const void *body;
	size_t body_bytes;
	uint32_t timeout_ms;
	bool is_read_only;      /* has no effect */
	bool is_repeatable;     /* may be repeated without a second effect */
	bool is_single_attempt; /* one attempt on one server; never repeated */
};

enum cli_outcome {
	CLI_ANSWERED,
	CLI_NOT_SENT,    /* no byte of the request was sent */
	CLI_ANSWER_LOST, /* sent, but no complete answer received */
};

struct cli_answer {
	enum cli_outcome outcome;
	int status;
	enum cli_ran ran;
	bool is_busy;           /* the answer has the header X-Wait: busy */
	bool maybe_ran;         /* an attempt may have taken effect */
	int64_t retry_after_ms; /* -1: absent */
	char request_id[48];    /* X-Request-Id; "": absent */
	char server[CW_NAME_BYTES];
	char detail[256]; /* why there is no answer */
	char *body;       /* NUL-terminated; freed by cli_answer_free() */
	size_t body_bytes;
	json_t *json; /* NULL if the body is not JSON */
};

/* Functions that cli_call_run() calls, with ctx as their first argument. */
struct cli_transport {
	void (*exchange)(void *ctx, const char *server,
	    const struct cli_call *call, struct cli_answer *answer);
	void (*sleep_ms)(void *ctx, int64_t ms);
	void (*note)(void *ctx, const char *text); /* progress, for the user */
	void *ctx;
};

struct cli_servers {
	size_t count;
	char address[CLI_SERVERS_MAX][CW_NAME_BYTES];
};

int cli_servers_add(struct cli_servers *servers, const char *text);
int cli_call_header_add(
    struct cli_call *call, const char *name, const char *value);
void cli_call_run(const struct cli_transport *transport,
    const struct cli_servers *servers, const struct cli_call *call,
    struct cli_answer *answer);
void cli_answer_free(struct cli_answer *answer);
bool cli_answer_is_upstream(const struct cli_answer *answer);
enum cli_exit cli_exit_from_answer(const struct cli_answer *answer);
void cli_answer_explain(const struct cli_answer *answer, FILE *out);
void cli_errors_print(
    const json_t *answer, const char *file, int64_t line_offset, FILE *out);

/*
 * 3. Files: their kind, the version they are based on, and line diffs.
 */
enum cli_file_kind {
	CLI_FILE_UNKNOWN,
	CLI_FILE_SETTINGS, /* settings of one camphord */
	CLI_FILE_CONFIG,   /* configuration: accounts, services, guarantees */
	CLI_FILE_OPERATOR, /* configuration of the users' operator, JSON */
};

enum cli_file_kind cli_file_kind(const char *text);

struct cli_diff {
	size_t added; /* lines */
	size_t removed;
};

int cli_diff_print(const char *old_text, const char *new_text, FILE *out,
    struct cli_diff *diff);
void cli_version_line_print(
    FILE *out, int64_t version, const char *author, int64_t accepted_ms);
const char *cli_version_line_parse(const char *text, int64_t *version);

/*
 * 4. Tables and times in readable form.
 */
enum cli_cell {
	CLI_CELL_TEXT,
	CLI_CELL_NUMBER,
	CLI_CELL_TIME, /* milliseconds since 1970; 0 prints as "-" */
	CLI_CELL_BITS, /* a mask, printed as the number of its set bits */
	CLI_CELL_FLAG, /* a boolean, printed as "yes" or "no" */
};

struct cli_column {
	const char *title;
	const char *key; /* key of the JSON object */
	enum cli_cell cell;
};

#define CLI_COLUMNS_MAX 16

int cli_table_print(const json_t *rows, const struct cli_column *columns,
    size_t column_count, FILE *out);
void cli_fields_print(const json_t *row, const struct cli_column *columns,
    size_t column_count, FILE *out);
void cli_text_print_sanitized(FILE *out, const char *text);

#define CLI_TIME_BYTES 32

void cli_time_format(int64_t ms, char text[CLI_TIME_BYTES]);
int cli_time_parse(const char *text, int64_t now_ms, int64_t *ms);

/*
 * 5. Access keys and idempotency keys, from the random number generator of the
 * kernel.
 */
#define CLI_KEY_BYTES 44 /* 43 characters for 256 bits, and the NUL */
#define CLI_IDEMPOTENCY_KEY_BYTES 37 /* "ctl-", 32 hex digits, and the NUL */

/* A new access key, with its salt and hash for the configuration. */
struct cli_key {
	char key[CLI_KEY_BYTES];
	char salt_hex[33];
	char hash_hex[65];
};

int cli_key_generate(struct cli_key *key);
void cli_key_from_entropy(
    struct cli_key *key, const uint8_t secret[32], const uint8_t salt[16]);
int cli_idempotency_key_generate(
    char idempotency_key[CLI_IDEMPOTENCY_KEY_BYTES]);

#ifdef __cplusplus
}
#endif

#endif
