#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"

#define CONTEXT_LINES 3
/* Beyond this product of changed lines the table of lengths would pass 32 MB,
 * and the changed part is shown as removed and added whole. */
#define CELLS_MAX (16UL << 20)

struct line {
	const char *text;
	size_t bytes;
};

struct step {
	char sign; /* ' ', '-' or '+' */
	struct line line;
};

struct lines {
	struct line *items;
	size_t count;
};

static int split(const char *text, struct lines *lines);
static bool same(const struct line *a, const struct line *b);
static size_t changed_part(const struct lines *a, const struct lines *b,
    uint16_t *lengths, size_t first, size_t a_end, size_t b_end,
    struct step *steps);
static size_t fill_steps(
    const struct lines *a, const struct lines *b, struct step *steps);
static bool is_near(const struct step *steps, size_t count, size_t i);
static void print_hunks(const struct step *steps, size_t count, FILE *out);

/* Splits a text into lines without their ends. Returns CW_ENOMEM. */
static int
split(const char *text, struct lines *lines)
{
	const char *at;
	size_t count = 1;

	for (at = text; *at != '\0'; at++)
		count += *at == '\n';
	lines->count = 0;
	lines->items = calloc(count, sizeof(*lines->items));
	if (lines->items == NULL)
		return cw_error_set(CW_ENOMEM, "out of memory");
	for (at = text; *at != '\0'; lines->count++) {
		size_t bytes = strcspn(at, "\n");

		lines->items[lines->count].text = at;
		lines->items[lines->count].bytes = bytes;
		at += bytes + (at[bytes] == '\n');
	}
	return CW_OK;
}

static bool
same(const struct line *a, const struct line *b)
{
	return a->bytes == b->bytes && memcmp(a->text, b->text, a->bytes) == 0;
}

/*
 * Fills in the steps from first to a_end and b_end by the longest common
 * subsequence; lengths has (a + 1) * (b + 1) zeroed cells, or is NULL for a
 * part that is too large. Returns the number of steps.
 */
static size_t
changed_part(const struct lines *a, const struct lines *b, uint16_t *lengths,
    size_t first, size_t a_end, size_t b_end, struct step *steps)
{
	size_t width = b_end - first + 1;
	size_t count = 0;
	size_t i;
	size_t j;

	for (i = a_end; lengths != NULL && i-- > first;) {
		uint16_t *row = lengths + (i - first) * width;

		for (j = b_end; j-- > first;) {
			size_t at = j - first;

			if (same(&a->items[i], &b->items[j]))
				row[at] = (uint16_t)(row[width + at + 1] + 1);
			else
				row[at] = row[width + at] > row[at + 1]
				    ? row[width + at]
				    : row[at + 1];
		}
	}
	for (i = first, j = first; i < a_end || j < b_end;) {
		const uint16_t *cell = lengths == NULL
		    ? NULL
		    : lengths + (i - first) * width + (j - first);

		if (cell != NULL && i < a_end && j < b_end &&
		    same(&a->items[i], &b->items[j])) {
			steps[count++] = (struct step){' ', a->items[i]};
			i++;
			j++;
		} else if (i < a_end &&
		    (j == b_end || cell == NULL || cell[width] >= cell[1])) {
			steps[count++] = (struct step){'-', a->items[i++]};
		} else {
			steps[count++] = (struct step){'+', b->items[j++]};
		}
	}
	return count;
}

/* Fills in all steps from a to b; steps has room for the lines of both.
 * Returns the number of steps. */
static size_t
fill_steps(const struct lines *a, const struct lines *b, struct step *steps)
{
	size_t a_end = a->count;
	size_t b_end = b->count;
	size_t first = 0;
	size_t count = 0;
	uint16_t *lengths = NULL;
	size_t cells;

	while (first < a_end && first < b_end &&
	    same(&a->items[first], &b->items[first])) {
		steps[count++] = (struct step){' ', a->items[first]};
		first++;
	}
	while (a_end > first && b_end > first &&
	    same(&a->items[a_end - 1], &b->items[b_end - 1])) {
		a_end--;
		b_end--;
	}
	cells = (a_end - first + 1) * (b_end - first + 1);
	if (cells <= CELLS_MAX && a_end - first < UINT16_MAX &&
	    b_end - first < UINT16_MAX)
		lengths = calloc(cells, sizeof(*lengths));
	count +=
	    changed_part(a, b, lengths, first, a_end, b_end, steps + count);
	free(lengths);
	for (; a_end < a->count; a_end++)
		steps[count++] = (struct step){' ', a->items[a_end]};
	return count;
}

/* Tells whether a change stands within CONTEXT_LINES of step i. */
static bool
is_near(const struct step *steps, size_t count, size_t i)
{
	size_t k = i < CONTEXT_LINES ? 0 : i - CONTEXT_LINES;

	for (; k < count && k <= i + CONTEXT_LINES; k++)
		if (steps[k].sign != ' ')
			return true;
	return false;
}

/* Prints changed lines with CONTEXT_LINES around them, as `diff -u` does. */
static void
print_hunks(const struct step *steps, size_t count, FILE *out)
{
	size_t old_line = 1;
	size_t new_line = 1;
	bool was_near = false;
	bool near;
	size_t i;

	for (i = 0; i < count; i++) {
		near = is_near(steps, count, i);
		if (near && !was_near)
			fprintf(out, "@@ -%zu +%zu @@\n", old_line, new_line);
		if (near) {
			fputc(steps[i].sign, out);
			fwrite(steps[i].line.text, 1, steps[i].line.bytes, out);
			fputc('\n', out);
		}
		was_near = near;
		old_line += steps[i].sign != '+';
		new_line += steps[i].sign != '-';
	}
}

/*
 * Compares two texts by lines, prints the difference to out (NULL: only
 * counts) and fills in the numbers of changed lines. Returns CW_ENOMEM.
 */
int
cli_diff_print(const char *old_text, const char *new_text, FILE *out,
    struct cli_diff *diff)
{
	struct lines a = {0};
	struct lines b = {0};
	struct step *steps = NULL;
	size_t count;
	size_t i;
	int code;

	assert(old_text != NULL && new_text != NULL && diff != NULL);
	memset(diff, 0, sizeof(*diff));
	code = split(old_text, &a);
	if (code == CW_OK)
		code = split(new_text, &b);
	if (code == CW_OK) {
		steps = calloc(a.count + b.count + 1, sizeof(*steps));
		if (steps == NULL)
			code = cw_error_set(CW_ENOMEM, "out of memory");
	}
	if (steps != NULL) {
		count = fill_steps(&a, &b, steps);
		for (i = 0; i < count; i++) {
			diff->added += steps[i].sign == '+';
			diff->removed += steps[i].sign == '-';
		}
		if (out != NULL)
			print_hunks(steps, count, out);
	}
	free(steps);
	free(a.items);
	free(b.items);
	return code;
}
