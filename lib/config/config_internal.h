#ifndef CAMPHOR_CONFIG_INTERNAL_H
#define CAMPHOR_CONFIG_INTERNAL_H

#include "config.h"
#include "toml_internal.h"

struct cfg_key;

/* Reads one value into a field; adds an error and returns false where the
 * value does not fit. */
typedef bool cfg_read_fn(struct cfg_errors *errors,
    const struct toml_value *value, const struct cfg_key *key, void *field);

/* One key of a table: which reader, where in the struct, and its limits. */
struct cfg_key {
	const char *name;
	cfg_read_fn *read; /* NULL: a nested table, read by the caller */
	size_t offset;
	size_t bytes; /* of the field */
	double min;
	double max;
	bool required;
};

void cfg_table_read(struct cfg_errors *errors, const struct toml_value *table,
    const char *table_name, const struct cfg_key *keys, size_t key_count,
    void *base);
bool cfg_nested_get(struct cfg_errors *errors, const struct toml_value *table,
    const char *name, enum toml_kind kind, struct toml_value *out);

void cfg_text_check(const struct cfg_text *text, struct cfg_errors *errors);

cfg_read_fn cfg_read_u32;
cfg_read_fn cfg_read_u16;
cfg_read_fn cfg_read_milli;
cfg_read_fn cfg_read_bool;
cfg_read_fn cfg_read_string;
cfg_read_fn cfg_read_name;
cfg_read_fn cfg_read_address;
cfg_read_fn cfg_read_duration_ms;
cfg_read_fn cfg_read_size;
cfg_read_fn cfg_read_memory_mb;
cfg_read_fn cfg_read_bandwidth;
cfg_read_fn cfg_read_hex;
cfg_read_fn cfg_read_class;
cfg_read_fn cfg_read_role;

#endif
