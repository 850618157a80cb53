#include <assert.h>
#include <math.h>
#include <string.h>

#include "front_internal.h"

static int set_missing(const char *field, struct fr_error *error);
static int set_wrong_type(
    const char *field, const char *type, struct fr_error *error);
static bool is_printable(const char *text);

static int
set_missing(const char *field, struct fr_error *error)
{
	return fr_error_set(
	    error, FR_EINVALID, field, "field \"%s\" is missing", field);
}

static int
set_wrong_type(const char *field, const char *type, struct fr_error *error)
{
	return fr_error_set(
	    error, FR_EINVALID, field, "field \"%s\" must be %s", field, type);
}

/* Names appear on pages and in logs, so control characters are rejected. */
static bool
is_printable(const char *text)
{
	for (; *text != '\0'; text++)
		if ((unsigned char)*text < 0x20 || *text == 0x7f)
			return false;
	return true;
}

/* Parses one JSON object; the caller releases the reference. Returns FR_ESYNTAX
 * with line and column, also for a duplicate field, or for a body that is
 * nested too deeply. */
int
fr_json_load(
    const void *data, size_t bytes, json_t **out, struct fr_error *error)
{
	json_error_t json_error;

	assert(out != NULL);
	*out = NULL;
	if (bytes == 0)
		return fr_error_set(
		    error, FR_ESYNTAX, NULL, "the body is empty");
	if (!cw_json_is_shallow(data, bytes, CW_JSON_DEPTH_MAX))
		return fr_error_set(error, FR_ESYNTAX, NULL,
		    "the body is nested more than %d levels deep",
		    CW_JSON_DEPTH_MAX);
	*out = json_loadb(data, bytes, JSON_REJECT_DUPLICATES, &json_error);
	if (*out == NULL)
		return fr_error_set(error, FR_ESYNTAX, NULL,
		    "line %d column %d: %.120s", json_error.line,
		    json_error.column, json_error.text);
	if (json_is_object(*out))
		return CW_OK;
	json_decref(*out);
	*out = NULL;
	return fr_error_set(
	    error, FR_ESYNTAX, NULL, "the body must be a JSON object");
}

/* Returns FR_EINVALID if the object has a field that is not in the list. */
int
fr_json_reject_unknown(json_t *object, const char *const *fields, size_t count,
    struct fr_error *error)
{
	const char *key;
	json_t *value;
	size_t i;

	json_object_foreach(object, key, value)
	{
		for (i = 0; i < count; i++)
			if (strcmp(key, fields[i]) == 0)
				break;
		if (i == count)
			return fr_error_set(error, FR_EINVALID, key,
			    "field \"%.40s\" is not known", key);
	}
	return CW_OK;
}

/* Reads an integer within the bounds of the specification (inclusive). */
int
fr_json_int(json_t *object, const struct fr_json_number_spec *spec,
    int64_t *out, struct fr_error *error)
{
	json_t *value = json_object_get(object, spec->field);

	*out = spec->fallback;
	if (value == NULL)
		return spec->required ? set_missing(spec->field, error) : CW_OK;
	if (!json_is_integer(value))
		return set_wrong_type(spec->field, "an integer", error);
	*out = json_integer_value(value);
	if (*out < spec->min || *out > spec->max)
		return fr_error_set(error, FR_EINVALID, spec->field,
		    "field \"%s\" must be from %lld to %lld", spec->field,
		    (long long)spec->min, (long long)spec->max);
	return CW_OK;
}

/* Reads a number and stores it in thousandths; the bounds and the fallback of
 * the specification are in thousandths too. */
int
fr_json_milli(json_t *object, const struct fr_json_number_spec *spec,
    int64_t *out, struct fr_error *error)
{
	json_t *value = json_object_get(object, spec->field);
	double number;

	*out = spec->fallback;
	if (value == NULL)
		return spec->required ? set_missing(spec->field, error) : CW_OK;
	if (!json_is_number(value))
		return set_wrong_type(spec->field, "a number", error);
	number = json_number_value(value) * 1000.0;
	/* The negated form also rejects NaN. */
	if (!(number >= (double)spec->min && number <= (double)spec->max))
		return fr_error_set(error, FR_EINVALID, spec->field,
		    "field \"%s\" must be from %g to %g", spec->field,
		    (double)spec->min / 1000.0, (double)spec->max / 1000.0);
	*out = (int64_t)llround(number);
	return CW_OK;
}

/* Reads a printable string that fits into out with its terminator; "" if it is
 * missing and not required. */
int
fr_json_string(json_t *object, const char *field, bool required, char *out,
    size_t out_bytes, struct fr_error *error)
{
	json_t *value = json_object_get(object, field);
	size_t length;

	memset(out, 0, out_bytes);
	if (value == NULL)
		return required ? set_missing(field, error) : CW_OK;
	if (!json_is_string(value))
		return set_wrong_type(field, "a text", error);
	length = json_string_length(value);
	if (length == 0 || length >= out_bytes ||
	    !is_printable(json_string_value(value)))
		return fr_error_set(error, FR_EINVALID, field,
		    "field \"%s\" must have 1 to %zu printable bytes", field,
		    out_bytes - 1);
	memcpy(out, json_string_value(value), length);
	return CW_OK;
}

/* Reads a boolean as 0 or 1; 0 if it is missing. */
int
fr_json_bool(
    json_t *object, const char *field, uint32_t *out, struct fr_error *error)
{
	json_t *value = json_object_get(object, field);

	*out = 0;
	if (value == NULL)
		return CW_OK;
	if (!json_is_boolean(value))
		return set_wrong_type(field, "true or false", error);
	*out = json_is_true(value);
	return CW_OK;
}

/*
 * Makes a JSON string of a text that may have been truncated within a
 * character: if it is not valid UTF-8, every non-ASCII byte is replaced by a
 * question mark. Returns NULL if out of memory.
 */
json_t *
fr_json_utf8(const char *text)
{
	json_t *json = json_string(text);
	char copy[FR_JSON_STRING_BYTES];
	size_t i;

	if (json != NULL)
		return json;
	for (i = 0; i + 1 < sizeof(copy) && text[i] != '\0'; i++)
		copy[i] = (unsigned char)text[i] < 0x80 ? text[i] : '?';
	copy[i] = '\0';
	return json_string(copy);
}
