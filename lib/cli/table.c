#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"

#define CELL_BYTES 160

static size_t utf8_width(const char *text);
static void mask_control_chars(char *text);
static void format_cell(
    const json_t *row, const struct cli_column *column, char *text);
static void print_padded(
    FILE *out, const char *text, size_t width, bool is_right);

/* Returns the number of code points of a UTF-8 text, which a name may have
 * outside ASCII; used as its width on the terminal. */
static size_t
utf8_width(const char *text)
{
	size_t width = 0;

	for (; *text != '\0'; text++)
		width += ((unsigned char)*text & 0xc0) != 0x80;
	return width;
}

/* Replaces control characters, so that a name cannot send escape sequences to
 * the terminal. */
static void
mask_control_chars(char *text)
{
	for (; *text != '\0'; text++)
		if ((unsigned char)*text < ' ' || *text == 127)
			*text = '?';
}

/* Prints an untrusted text; control characters other than newlines and tabs
 * are replaced by '?'. */
void
cli_text_print_sanitized(FILE *out, const char *text)
{
	for (; *text != '\0'; text++) {
		bool is_plain = (unsigned char)*text >= ' ' && *text != 127;

		fputc(is_plain || *text == '\n' || *text == '\t' ? *text : '?',
		    out);
	}
}

/* Formats one cell of a row into text, a buffer of CELL_BYTES; absent and empty
 * fields give "-". */
static void
format_cell(const json_t *row, const struct cli_column *column, char *text)
{
	const json_t *value = json_object_get(row, column->key);
	int64_t number = json_integer_value(value);

	if (value == NULL || json_is_null(value) ||
	    (json_is_string(value) && json_string_length(value) == 0)) {
		snprintf(text, CELL_BYTES, "-");
	} else if (column->cell == CLI_CELL_TIME) {
		cli_time_format(number, text);
	} else if (column->cell == CLI_CELL_BITS) {
		snprintf(text, CELL_BYTES, "%d",
		    __builtin_popcountll((unsigned long long)number));
	} else if (column->cell == CLI_CELL_FLAG) {
		snprintf(
		    text, CELL_BYTES, "%s", json_is_true(value) ? "yes" : "no");
	} else if (json_is_integer(value)) {
		snprintf(text, CELL_BYTES, "%" PRId64, number);
	} else if (json_is_real(value)) {
		snprintf(text, CELL_BYTES, "%.6g", json_real_value(value));
	} else if (json_is_string(value)) {
		snprintf(text, CELL_BYTES, "%s", json_string_value(value));
	} else {
		char *dump = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);

		snprintf(text, CELL_BYTES, "%s", dump == NULL ? "?" : dump);
		free(dump);
	}
	mask_control_chars(text);
}

/* Prints a cell, padded with spaces to width; is_right aligns it to the
 * right. */
static void
print_padded(FILE *out, const char *text, size_t width, bool is_right)
{
	size_t used = utf8_width(text);
	int pad = used < width ? (int)(width - used) : 0;

	if (is_right)
		fprintf(out, "%*s%s", pad, "", text);
	else
		fprintf(out, "%s%*s", text, pad, "");
}

/*
 * Prints an array of objects as a table: a line of titles, then a line for each
 * row. Numbers are aligned to the right. Returns CW_EINVAL if rows is not an
 * array.
 */
int
cli_table_print(const json_t *rows, const struct cli_column *columns,
    size_t column_count, FILE *out)
{
	size_t widths[CLI_COLUMNS_MAX];
	char text[CELL_BYTES];
	const json_t *row;
	size_t i;
	size_t c;

	assert(column_count <= CLI_COLUMNS_MAX);
	if (!json_is_array(rows))
		return cw_error_set(
		    CW_EINVAL, "the answer has no list of rows");
	for (c = 0; c < column_count; c++)
		widths[c] = utf8_width(columns[c].title);
	json_array_foreach(rows, i, row) for (c = 0; c < column_count; c++)
	{
		format_cell(row, &columns[c], text);
		if (utf8_width(text) > widths[c])
			widths[c] = utf8_width(text);
	}
	for (i = 0; i <= json_array_size(rows); i++) {
		for (c = 0; c < column_count; c++) {
			bool is_right = columns[c].cell == CLI_CELL_NUMBER ||
			    columns[c].cell == CLI_CELL_BITS;
			bool is_last = c + 1 == column_count;

			if (i == 0)
				snprintf(
				    text, sizeof(text), "%s", columns[c].title);
			else
				format_cell(json_array_get(rows, i - 1),
				    &columns[c], text);
			print_padded(out, text,
			    is_last && !is_right ? 0 : widths[c], is_right);
			fputs(is_last ? "\n" : "  ", out);
		}
	}
	return CW_OK;
}

/* Prints one object with one field per line; absent fields are left out. */
void
cli_fields_print(const json_t *row, const struct cli_column *columns,
    size_t column_count, FILE *out)
{
	char text[CELL_BYTES];
	size_t width = 0;
	size_t c;

	for (c = 0; c < column_count; c++)
		if (strlen(columns[c].title) > width)
			width = strlen(columns[c].title);
	for (c = 0; c < column_count; c++) {
		if (json_object_get(row, columns[c].key) == NULL)
			continue;
		format_cell(row, &columns[c], text);
		print_padded(out, columns[c].title, width + 2, false);
		fprintf(out, "%s\n", text);
	}
}
