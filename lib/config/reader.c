#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "config_internal.h"

/* Largest edit distance of a known key that is suggested for an unknown one. */
#define SUGGESTION_DISTANCE_MAX 3
#define COMPARED_BYTES_MAX 40

struct key_check {
	struct cfg_errors *errors;
	const char *table_name;
	const struct cfg_key_spec *keys;
	size_t key_count;
};

static const char *closest_key(
    const struct cfg_key_spec *keys, size_t count, const char *name);
static void check_key_known(
    void *ctx, const char *name, const struct toml_value *value);

/* Returns the Levenshtein distance of two keys, of which the first
 * COMPARED_BYTES_MAX bytes are compared. */
size_t
cfg_name_distance(const char *a, const char *b)
{
	size_t row[COMPARED_BYTES_MAX + 1];
	size_t a_bytes = strnlen(a, COMPARED_BYTES_MAX);
	size_t b_bytes = strnlen(b, COMPARED_BYTES_MAX);
	size_t i;
	size_t j;

	for (j = 0; j <= b_bytes; j++)
		row[j] = j;
	for (i = 1; i <= a_bytes; i++) {
		size_t diagonal = row[0];

		row[0] = i;
		for (j = 1; j <= b_bytes; j++) {
			size_t above = row[j];
			size_t best = diagonal + (a[i - 1] != b[j - 1]);

			if (above + 1 < best)
				best = above + 1;
			if (row[j - 1] + 1 < best)
				best = row[j - 1] + 1;
			diagonal = above;
			row[j] = best;
		}
	}
	return row[b_bytes];
}

/* Returns the key to suggest for an unknown one, or NULL if none is close
 * enough. */
static const char *
closest_key(const struct cfg_key_spec *keys, size_t count, const char *name)
{
	const char *closest = NULL;
	size_t best = SUGGESTION_DISTANCE_MAX + 1;
	size_t i;

	for (i = 0; i < count; i++) {
		size_t distance = cfg_name_distance(keys[i].name, name);

		if (distance < best) {
			best = distance;
			closest = keys[i].name;
		}
	}
	return closest;
}

/* Adds an error if a key of the table is not in the list. Called for each key
 * by toml_table_each(). */
static void
check_key_known(void *ctx, const char *name, const struct toml_value *value)
{
	struct key_check *check = ctx;
	const char *closest;
	size_t i;

	for (i = 0; i < check->key_count; i++)
		if (strcmp(check->keys[i].name, name) == 0)
			return;
	closest = closest_key(check->keys, check->key_count, name);
	if (closest != NULL)
		cfg_errors_add(check->errors, value->line, value->column,
		    "unknown key \"%.40s\" in %s; did you mean \"%s\"?", name,
		    check->table_name, closest);
	else
		cfg_errors_add(check->errors, value->line, value->column,
		    "unknown key \"%.40s\" in %s; remove it", name,
		    check->table_name);
}

/*
 * Reads the keys of one table into the struct at record, in which the caller
 * has set the defaults. Adds an error for each unknown key, missing required
 * key and invalid value.
 */
void
cfg_table_read(struct cfg_errors *errors, const struct toml_value *table,
    const char *table_name, const struct cfg_key_spec *keys, size_t key_count,
    void *record)
{
	struct key_check check = {errors, table_name, keys, key_count};
	struct toml_value value;
	size_t i;

	assert(table->kind == TOML_TABLE);
	toml_table_each(table, check_key_known, &check);
	for (i = 0; i < key_count; i++) {
		const struct cfg_key_spec *key = &keys[i];

		if (!toml_table_get(table, key->name, &value)) {
			if (key->required)
				cfg_errors_add(errors, table->line,
				    table->column, "%s lacks the key \"%s\"",
				    table_name, key->name);
			continue;
		}
		if (key->read != NULL)
			key->read(
			    errors, &value, key, (char *)record + key->offset);
	}
}

/*
 * Looks up a nested table or array. Returns false if it is missing or, with an
 * error added, if it is of another kind.
 */
bool
cfg_nested_get(struct cfg_errors *errors, const struct toml_value *table,
    const char *name, enum toml_kind kind, struct toml_value *out)
{
	if (!toml_table_get(table, name, out))
		return false;
	if (out->kind == kind)
		return true;
	cfg_errors_add(errors, out->line, out->column,
	    "\"%s\" is %s but must be %s", name, toml_kind_name(out->kind),
	    toml_kind_name(kind));
	return false;
}
