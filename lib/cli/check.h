#ifndef CAMPHOR_CLI_CHECK_H
#define CAMPHOR_CLI_CHECK_H

#include "cli.h"
#include "config.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The result of `camphorctl check`, printed as text or as JSON.
 */
struct cli_check {
	const char *path;
	const char *kind;    /* "settings", "configuration", "operator" */
	int64_t line_offset; /* lines before the checked text in the file */
	struct cfg_errors errors;
	struct cfg_errors warnings;
	char summary[256]; /* of a valid file */
	char against[320]; /* what it was compared with, "": with nothing */
	char *changes;     /* lines of cli_diff_print(), or NULL */
	struct cli_diff diff;
};

enum cli_exit cli_check_exit(const struct cli_check *check, bool is_strict);
void cli_check_sort(struct cli_check *check);
void cli_check_print(const struct cli_check *check, FILE *out, FILE *err);
int cli_check_print_json(const struct cli_check *check, FILE *out);
int cli_check_compare(
    struct cli_check *check, const char *old_text, const char *new_text);
void cli_check_free(struct cli_check *check);

#ifdef __cplusplus
}
#endif

#endif
