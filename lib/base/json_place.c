#include <string.h>

#include "base.h"

/* A position in a JSON text that a parser has accepted. */
struct reader {
	const char *at;
	const char *end;
};

static void skip_space(struct reader *reader);
static void skip_value(struct reader *reader);
static bool find_member(struct reader *reader, const char *name);
static bool find_element(struct reader *reader, size_t index);

static void
skip_space(struct reader *reader)
{
	while (reader->at < reader->end &&
	    memchr(" \t\r\n,:", *reader->at, 6) != NULL)
		reader->at++;
}

/* Moves behind the value that begins here: a literal, a string, or an array or
 * object as a whole. */
static void
skip_value(struct reader *reader)
{
	uint32_t depth = 0;
	bool in_string = false;

	for (; reader->at < reader->end; reader->at++) {
		char c = *reader->at;

		if (in_string) {
			if (c == '\\' && reader->at + 1 < reader->end)
				reader->at++;
			else if (c == '"')
				in_string = false;
			if (in_string || depth > 0)
				continue;
			reader->at++;
			return;
		}
		if (c == '"') {
			in_string = true;
		} else if (c == '[' || c == '{') {
			depth++;
		} else if (c == ']' || c == '}') {
			if (depth == 0)
				return;
			if (--depth == 0) {
				reader->at++;
				return;
			}
		} else if (depth == 0 && memchr(" \t\r\n,:", c, 6) != NULL)
			return;
	}
}

/* Moves to the value of a member of the object that begins here. Of several
 * with the same name the last one counts, as for the parser. */
static bool
find_member(struct reader *reader, const char *name)
{
	size_t name_bytes = strlen(name);
	const char *found = NULL;

	if (reader->at == reader->end || *reader->at != '{')
		return false;
	reader->at++;
	for (skip_space(reader); reader->at < reader->end && *reader->at == '"';
	     skip_space(reader)) {
		const char *key = reader->at + 1;
		bool is_equal;

		skip_value(reader);
		is_equal = (size_t)(reader->at - key) == name_bytes + 1 &&
		    memcmp(key, name, name_bytes) == 0;
		skip_space(reader);
		if (is_equal)
			found = reader->at;
		skip_value(reader);
	}
	if (found != NULL)
		reader->at = found;
	return found != NULL;
}

/* Moves to an element of the array that begins here. */
static bool
find_element(struct reader *reader, size_t index)
{
	if (reader->at == reader->end || *reader->at != '[')
		return false;
	reader->at++;
	for (skip_space(reader);
	     reader->at < reader->end && *reader->at != ']' && index > 0;
	     skip_space(reader)) {
		skip_value(reader);
		index--;
	}
	return reader->at < reader->end && *reader->at != ']' && index == 0;
}

/*
 * Finds the line and column, from 1, of a value in a JSON text that a parser
 * has accepted: that of the last step, or of the last one before it that
 * exists. Columns count characters of UTF-8. A member whose name is written
 * with escapes is not found.
 */
void
cw_json_place(const char *text, size_t bytes, const struct cw_json_step *steps,
    size_t step_count, uint32_t *line, uint32_t *column)
{
	struct reader reader = {text, text + bytes};
	const char *at;
	size_t i;

	skip_space(&reader);
	at = reader.at;
	for (i = 0; i < step_count; i++) {
		if (steps[i].member != NULL
			? !find_member(&reader, steps[i].member)
			: !find_element(&reader, steps[i].index))
			break;
		at = reader.at;
	}
	*line = 1;
	*column = 1;
	for (; text < at; text++)
		if (*text == '\n') {
			(*line)++;
			*column = 1;
		} else if (((unsigned char)*text & 0xc0) != 0x80)
			(*column)++;
}
