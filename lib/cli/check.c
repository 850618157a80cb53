#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"

static int compare_places(const void *a, const void *b);
static void print_list(const struct cli_check *check,
    const struct cfg_errors *list, const char *label, FILE *err);
static json_t *json_text(const char *text);
static json_t *json_list(
    const struct cli_check *check, const struct cfg_errors *list);

/* Returns the exit code of a check: warnings count if is_strict. What has
 * changed does not. */
enum cli_exit
cli_check_exit(const struct cli_check *check, bool is_strict)
{
	if (check->errors.count > 0 || (is_strict && check->warnings.count > 0))
		return CLI_EXIT_REFUSED;
	return CLI_EXIT_OK;
}

/* Compares errors by their places; those of the whole file come last. */
static int
compare_places(const void *a, const void *b)
{
	const struct cfg_error *x = a;
	const struct cfg_error *y = b;
	/* The line before the first one wraps round to the largest number. */
	uint32_t x_line = x->line - 1;
	uint32_t y_line = y->line - 1;

	if (x_line != y_line)
		return x_line < y_line ? -1 : 1;
	if (x->column != y->column)
		return x->column < y->column ? -1 : 1;
	return strcmp(x->text, y->text);
}

/* Puts errors and warnings in the order of the file. */
void
cli_check_sort(struct cli_check *check)
{
	qsort(check->errors.errors, check->errors.count,
	    sizeof(check->errors.errors[0]), compare_places);
	qsort(check->warnings.errors, check->warnings.count,
	    sizeof(check->warnings.errors[0]), compare_places);
}

/* Prints a list as FILE:LINE:COLUMN: text. */
static void
print_list(const struct cli_check *check, const struct cfg_errors *list,
    const char *label, FILE *err)
{
	size_t i;

	for (i = 0; i < list->count; i++) {
		const struct cfg_error *error = &list->errors[i];

		fprintf(err, "%s:%" PRId64 ":%" PRIu32 ": %s", check->path,
		    error->line == 0 ? 1 : error->line + check->line_offset,
		    error->column == 0 ? 1 : error->column, label);
		cli_text_print_sanitized(err, error->text);
		fputc('\n', err);
	}
}

/* Prints errors, then warnings, to err; the summary and the changes to out. */
void
cli_check_print(const struct cli_check *check, FILE *out, FILE *err)
{
	print_list(check, &check->errors, "", err);
	print_list(check, &check->warnings, "warning: ", err);
	if (check->errors.count == 0 && check->summary[0] != '\0') {
		fprintf(out, "%s: ", check->path);
		cli_text_print_sanitized(out, check->summary);
		fputc('\n', out);
	}
	if (check->against[0] == '\0')
		return;
	cli_text_print_sanitized(out, check->against);
	fprintf(out, ": %zu lines added, %zu removed\n", check->diff.added,
	    check->diff.removed);
	if (check->changes != NULL)
		cli_text_print_sanitized(out, check->changes);
}

/* Returns a text as JSON. Bytes that are no UTF-8, of a text that was cut or of
 * a hostile file, become "?". */
static json_t *
json_text(const char *text)
{
	json_t *out = json_string(text);
	char *copy;
	char *at;

	if (out != NULL)
		return out;
	copy = strdup(text);
	if (copy == NULL)
		return NULL;
	for (at = copy; *at != '\0'; at++)
		if ((unsigned char)*at >= 0x80)
			*at = '?';
	out = json_string(copy);
	free(copy);
	return out;
}

static json_t *
json_list(const struct cli_check *check, const struct cfg_errors *list)
{
	json_t *out = json_array();
	size_t i;

	for (i = 0; i < list->count; i++) {
		const struct cfg_error *error = &list->errors[i];

		json_array_append_new(out,
		    json_pack("{s:I,s:I,s:o}", "line",
			(json_int_t)(error->line == 0
				? 1
				: error->line + check->line_offset),
			"column",
			(json_int_t)(error->column == 0 ? 1 : error->column),
			"text", json_text(error->text)));
	}
	return out;
}

/* Prints one JSON object. Returns CW_ENOMEM. */
int
cli_check_print_json(const struct cli_check *check, FILE *out)
{
	json_t *root = json_pack("{s:o,s:s,s:b,s:o,s:o,s:o}", "file",
	    json_text(check->path), "kind", check->kind, "accepted",
	    check->errors.count == 0, "errors",
	    json_list(check, &check->errors), "warnings",
	    json_list(check, &check->warnings), "summary",
	    json_text(check->summary));

	if (root != NULL && check->against[0] != '\0')
		json_object_set_new(root, "against",
		    json_pack("{s:o,s:I,s:I,s:o}", "name",
			json_text(check->against), "added",
			(json_int_t)check->diff.added, "removed",
			(json_int_t)check->diff.removed, "changes",
			json_text(
			    check->changes == NULL ? "" : check->changes)));
	if (root == NULL || json_dumpf(root, out, JSON_COMPACT) != 0) {
		json_decref(root);
		return cw_error_set(CW_ENOMEM, "out of memory");
	}
	fputc('\n', out);
	json_decref(root);
	return CW_OK;
}

/* Notes how two texts differ. Returns CW_ENOMEM. */
int
cli_check_compare(
    struct cli_check *check, const char *old_text, const char *new_text)
{
	size_t bytes;
	FILE *out;
	int code;

	cli_check_free(check);
	out = open_memstream(&check->changes, &bytes);
	if (out == NULL)
		return cw_error_set(CW_ENOMEM, "out of memory");
	code = cli_diff_print(old_text, new_text, out, &check->diff);
	if (fclose(out) != 0)
		code = cw_error_set(CW_ENOMEM, "out of memory");
	return code;
}

void
cli_check_free(struct cli_check *check)
{
	free(check->changes);
	check->changes = NULL;
}
