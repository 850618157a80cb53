#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"

#define CONTEXT_LINES 3
/* Limits the LCS table, of two bytes a cell, to 32 MiB. If the changed lines
 * need a larger one, all of them are shown as removed and added. */
#define LCS_CELLS_MAX (16UL << 20)

struct line {
	const char *text;
	size_t bytes;
};

/* One line of the edit script that turns the old text into the new one. */
struct edit {
	char sign; /* ' ' unchanged, '-' removed, '+' added */
	struct line line;
};

struct lines {
	struct line *items;
	size_t count;
};

static int split_lines(const char *text, struct lines *lines);
static bool lines_equal(const struct line *a, const struct line *b);
static size_t lcs_edits(const struct lines *a, const struct lines *b,
    uint16_t *lengths, size_t first, size_t a_end, size_t b_end,
    struct edit *edits);
static size_t diff_edits(
    const struct lines *a, const struct lines *b, struct edit *edits);
static bool is_in_context(const struct edit *edits, size_t count, size_t i);
static void print_hunks(const struct edit *edits, size_t count, FILE *out);

/* Splits a text into lines without their newlines. Returns CW_ENOMEM. */
static int
split_lines(const char *text, struct lines *lines)
{
	const char *cursor;
	size_t count = 1;

	for (cursor = text; *cursor != '\0'; cursor++)
		count += *cursor == '\n';
	lines->count = 0;
	lines->items = calloc(count, sizeof(*lines->items));
	if (lines->items == NULL)
		return cw_error_set(CW_ENOMEM,
		    "out of memory while splitting a file into lines");
	for (cursor = text; *cursor != '\0'; lines->count++) {
		size_t bytes = strcspn(cursor, "\n");

		lines->items[lines->count].text = cursor;
		lines->items[lines->count].bytes = bytes;
		cursor += bytes + (cursor[bytes] == '\n');
	}
	return CW_OK;
}

static bool
lines_equal(const struct line *a, const struct line *b)
{
	return a->bytes == b->bytes && memcmp(a->text, b->text, a->bytes) == 0;
}

/*
 * Computes the edits for the lines from first up to a_end of a and b_end of b,
 * by their longest common subsequence (LCS). lengths has a cell for each pair
 * of line positions, (a_end - first + 1) * (b_end - first + 1) zeroed cells, or
 * is NULL if the table would be too large. Returns the number of edits.
 */
static size_t
lcs_edits(const struct lines *a, const struct lines *b, uint16_t *lengths,
    size_t first, size_t a_end, size_t b_end, struct edit *edits)
{
	size_t width = b_end - first + 1;
	size_t count = 0;
	size_t i;
	size_t j;

	for (i = a_end; lengths != NULL && i-- > first;) {
		uint16_t *row = lengths + (i - first) * width;

		for (j = b_end; j-- > first;) {
			size_t column = j - first;

			if (lines_equal(&a->items[i], &b->items[j]))
				row[column] =
				    (uint16_t)(row[width + column + 1] + 1);
			else
				row[column] =
				    row[width + column] > row[column + 1]
				    ? row[width + column]
				    : row[column + 1];
		}
	}
	for (i = first, j = first; i < a_end || j < b_end;) {
		const uint16_t *cell = lengths == NULL
		    ? NULL
		    : lengths + (i - first) * width + (j - first);

		if (cell != NULL && i < a_end && j < b_end &&
		    lines_equal(&a->items[i], &b->items[j])) {
			edits[count++] = (struct edit){' ', a->items[i]};
			i++;
			j++;
		} else if (i < a_end &&
		    (j == b_end || cell == NULL || cell[width] >= cell[1])) {
			edits[count++] = (struct edit){'-', a->items[i++]};
		} else {
			edits[count++] = (struct edit){'+', b->items[j++]};
		}
	}
	return count;
}

/* Computes all edits from a to b. edits has the capacity for the lines of both.
 * Common lines at the start and the end are left out of the LCS. Returns the
 * number of edits. */
static size_t
diff_edits(const struct lines *a, const struct lines *b, struct edit *edits)
{
	size_t a_end = a->count;
	size_t b_end = b->count;
	size_t first = 0;
	size_t count = 0;
	uint16_t *lengths = NULL;
	size_t cells;

	while (first < a_end && first < b_end &&
	    lines_equal(&a->items[first], &b->items[first])) {
		edits[count++] = (struct edit){' ', a->items[first]};
		first++;
	}
	while (a_end > first && b_end > first &&
	    lines_equal(&a->items[a_end - 1], &b->items[b_end - 1])) {
		a_end--;
		b_end--;
	}
	cells = (a_end - first + 1) * (b_end - first + 1);
	if (cells <= LCS_CELLS_MAX && a_end - first < UINT16_MAX &&
	    b_end - first < UINT16_MAX)
		lengths = calloc(cells, sizeof(*lengths));
	count += lcs_edits(a, b, lengths, first, a_end, b_end, edits + count);
	free(lengths);
	for (; a_end < a->count; a_end++)
		edits[count++] = (struct edit){' ', a->items[a_end]};
	return count;
}

/* Returns whether there is a change within CONTEXT_LINES of edit i. */
static bool
is_in_context(const struct edit *edits, size_t count, size_t i)
{
	size_t k = i < CONTEXT_LINES ? 0 : i - CONTEXT_LINES;

	for (; k < count && k <= i + CONTEXT_LINES; k++)
		if (edits[k].sign != ' ')
			return true;
	return false;
}

/* Prints changed lines with CONTEXT_LINES around them, as `diff -u` does. */
static void
print_hunks(const struct edit *edits, size_t count, FILE *out)
{
	size_t old_line = 1;
	size_t new_line = 1;
	bool was_in_context = false;
	bool in_context;
	size_t i;

	for (i = 0; i < count; i++) {
		in_context = is_in_context(edits, count, i);
		if (in_context && !was_in_context)
			fprintf(out, "@@ -%zu +%zu @@\n", old_line, new_line);
		if (in_context) {
			fputc(edits[i].sign, out);
			fwrite(edits[i].line.text, 1, edits[i].line.bytes, out);
			fputc('\n', out);
		}
		was_in_context = in_context;
		old_line += edits[i].sign != '+';
		new_line += edits[i].sign != '-';
	}
}

/*
 * Compares two texts line by line, prints the difference to out (unless NULL)
 * and fills in the numbers of added and removed lines. Returns CW_ENOMEM.
 */
int
cli_diff_print(const char *old_text, const char *new_text, FILE *out,
    struct cli_diff *diff)
{
	struct lines a = {0};
	struct lines b = {0};
	struct edit *edits = NULL;
	size_t count;
	size_t i;
	int code;

	assert(old_text != NULL && new_text != NULL && diff != NULL);
	memset(diff, 0, sizeof(*diff));
	code = split_lines(old_text, &a);
	if (code == CW_OK)
		code = split_lines(new_text, &b);
	if (code == CW_OK) {
		edits = calloc(a.count + b.count + 1, sizeof(*edits));
		if (edits == NULL)
			code = cw_error_set(CW_ENOMEM,
			    "out of memory while comparing two files");
	}
	if (edits != NULL) {
		count = diff_edits(&a, &b, edits);
		for (i = 0; i < count; i++) {
			diff->added += edits[i].sign == '+';
			diff->removed += edits[i].sign == '-';
		}
		if (out != NULL)
			print_hunks(edits, count, out);
	}
	free(edits);
	free(a.items);
	free(b.items);
	return code;
}
