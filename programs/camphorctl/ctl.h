#ifndef CAMPHORCTL_CTL_H
#define CAMPHORCTL_CTL_H

#include "cli.h"

/*
 * 1. Option tables, from which the parser, --help and the completion are
 * generated.
 */
enum ctl_option_kind {
	CTL_FLAG,
	CTL_TEXT,
	CTL_TEXTS,   /* may be repeated */
	CTL_OPERAND, /* required */
	CTL_OPERAND_OPTIONAL,
};

struct ctl_option {
	const char *name;
	enum ctl_option_kind kind;
	const char *type; /* "FILE", "N"; NULL for flags */
	const char *help;
};

struct ctl_args;

bool ctl_args_flag(const struct ctl_args *args, const char *name);
const char *ctl_args_text(const struct ctl_args *args, const char *name);
/* Parses an integer option; *value keeps its default if it was not given.
 * Prints a message and returns false if it is no integer from min to max. */
bool ctl_args_number(const struct ctl_args *args, const char *name, int64_t min,
    int64_t max, int64_t *value);

/*
 * 2. Session: global options and HTTP calls to the servers.
 */
#define CTL_TIMEOUT_MS 10000
#define CTL_FILE_BYTES_MAX (64UL << 20)

struct ctl_session {
	const struct ctl_args *args;
	struct cli_servers servers;
	struct cli_transport transport;
	char account[CW_NAME_BYTES];
	char key[160];
	uint32_t timeout_ms;
	bool is_timeout_given;
	bool is_json;
};

/* Initializes a call with the account's headers; path is a printf format. */
void ctl_call_init(const struct ctl_session *ctl, struct cli_call *call,
    const char *method, const char *path, ...)
    __attribute__((format(printf, 4, 5)));
void ctl_call_query(struct cli_call *call, const char *name, const char *value);
/* Runs a call and explains an unsuccessful answer on standard error. The caller
 * frees the answer. */
enum cli_exit ctl_call_run(const struct ctl_session *ctl,
    const struct cli_call *call, struct cli_answer *answer);
/* Runs a call and prints its answer: unchanged with --json, else by print(). */
enum cli_exit ctl_call_print(const struct ctl_session *ctl,
    const struct cli_call *call,
    void (*print)(const void *ctx, const json_t *answer), const void *ctx);
void ctl_print_body(const struct cli_answer *answer);
void ctl_write_body(const struct cli_answer *answer);
void ctl_message(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* Reads a whole file ("-": standard input) and terminates it with NUL. The
 * caller frees *text. Prints a message and returns false on failure. */
bool ctl_file_read(
    const char *path, size_t bytes_max, char **text, size_t *bytes);
bool ctl_idempotency_key(
    const char *given, char idempotency_key[CW_NAME_BYTES]);

/*
 * 3. Commands. ctx is passed to run(), so that commands can share a function.
 */
struct ctl_command {
	const char *name;
	const char *summary;
	const char *examples;
	const struct ctl_option *options;
	size_t option_count;
	enum cli_exit (*run)(const void *ctx, struct ctl_session *ctl);
	const void *ctx;
	bool is_offline; /* needs no server */
};

struct ctl_group {
	const struct ctl_command *commands;
	size_t count;
};

extern const struct ctl_group ctl_check_group;
extern const struct ctl_group ctl_config_group;
extern const struct ctl_group ctl_job_group;
extern const struct ctl_group ctl_request_group;
extern const struct ctl_group ctl_view_group;
extern const struct ctl_group ctl_key_group;
extern const struct ctl_group ctl_completion_group;

extern const struct ctl_group *const ctl_groups[];
extern const size_t ctl_group_count;
extern const struct ctl_option ctl_global_options[];
extern const size_t ctl_global_option_count;

#define CTL_COUNT(array) (sizeof(array) / sizeof(*(array)))
#define CTL_OPTIONS(array) (array), CTL_COUNT(array)

/*
 * 4. Arguments of one command, parsed by argtable2.
 */
enum ctl_parse_result {
	CTL_PARSE_OK,
	CTL_PARSE_HELP,
	CTL_PARSE_VERSION,
	CTL_PARSE_BAD, /* the error was printed */
};

int ctl_args_create(struct ctl_args **out, const struct ctl_command *command);
void ctl_args_destroy(struct ctl_args *args);
enum ctl_parse_result ctl_args_parse(
    struct ctl_args *args, int argc, char **argv);
void ctl_args_help(const struct ctl_args *args, FILE *out);
size_t ctl_args_texts(
    const struct ctl_args *args, const char *name, const char *const **values);

/*
 * 5. Transport over libcurl. A link must be used by one thread only.
 */
struct ctl_transport;

int ctl_transport_create(struct ctl_transport **out, const char *ca_file);
void ctl_transport_destroy(struct ctl_transport *link);
void ctl_transport_exchange(void *ctx, const char *server,
    const struct cli_call *call, struct cli_answer *answer);

#endif
