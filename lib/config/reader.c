#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "config_internal.h"

/* A suggestion may differ from the unknown key in this many letters. */
#define SUGGESTION_DISTANCE_MAX 3
#define KEY_BYTES_MAX 40

struct unknown_check {
	struct cfg_errors *errors;
	const char *table_name;
	const struct cfg_key *keys;
	size_t key_count;
};

static size_t edit_distance(const char *a, const char *b);
static const char *nearest_key(
    const struct cfg_key *keys, size_t count, const char *name);
static void check_known(
    void *ctx, const char *name, const struct toml_value *value);

/* Levenshtein distance of two keys, both cut at KEY_BYTES_MAX. */
static size_t
edit_distance(const char *a, const char *b)
{
	size_t row[KEY_BYTES_MAX + 1];
	size_t a_bytes = strnlen(a, KEY_BYTES_MAX);
	size_t b_bytes = strnlen(b, KEY_BYTES_MAX);
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

static const char *
nearest_key(const struct cfg_key *keys, size_t count, const char *name)
{
	const char *nearest = NULL;
	size_t best = SUGGESTION_DISTANCE_MAX + 1;
	size_t i;

	for (i = 0; i < count; i++) {
		size_t distance = edit_distance(keys[i].name, name);

		if (distance < best) {
			best = distance;
			nearest = keys[i].name;
		}
	}
	return nearest;
}

static void
check_known(void *ctx, const char *name, const struct toml_value *value)
{
	struct unknown_check *check = ctx;
	const char *nearest;
	size_t i;

	for (i = 0; i < check->key_count; i++)
		if (strcmp(check->keys[i].name, name) == 0)
			return;
	nearest = nearest_key(check->keys, check->key_count, name);
	if (nearest != NULL)
		cfg_errors_add(check->errors, value->line, value->column,
		    "unknown key \"%.40s\" in %s; did you mean \"%s\"?", name,
		    check->table_name, nearest);
	else
		cfg_errors_add(check->errors, value->line, value->column,
		    "unknown key \"%.40s\" in %s; remove it", name,
		    check->table_name);
}

/*
 * Reads the keys of one table into the struct at base, whose defaults are set
 * already. Adds an error for each unknown key, missing key and wrong value.
 */
void
cfg_table_read(struct cfg_errors *errors, const struct toml_value *table,
    const char *table_name, const struct cfg_key *keys, size_t key_count,
    void *base)
{
	struct unknown_check check = {errors, table_name, keys, key_count};
	struct toml_value value;
	size_t i;

	assert(table->kind == TOML_TABLE);
	toml_table_each(table, check_known, &check);
	for (i = 0; i < key_count; i++) {
		const struct cfg_key *key = &keys[i];

		if (!toml_table_get(table, key->name, &value)) {
			if (key->required)
				cfg_errors_add(errors, table->line,
				    table->column, "%s lacks the key \"%s\"",
				    table_name, key->name);
			continue;
		}
		if (key->read != NULL)
			key->read(
			    errors, &value, key, (char *)base + key->offset);
	}
}

/*
 * Fetches a nested table or array. Returns false where it is missing or, with
 * an error added, of another kind.
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
