#ifndef CAMPHOR_CONFIG_INTERNAL_H
#define CAMPHOR_CONFIG_INTERNAL_H

#include "config.h"
#include "toml_internal.h"

struct cfg_key_spec;

/* Converts one TOML value and stores it in a field. Returns false, with an
 * error added, if the value has the wrong type or is out of range. */
typedef bool cfg_read_fn(struct cfg_errors *errors,
    const struct toml_value *value, const struct cfg_key_spec *key,
    void *field);

/* Describes one key of a TOML table: the function that reads its value, the
 * field that receives it, and its limits. */
struct cfg_key_spec {
	const char *name;
	cfg_read_fn *read; /* NULL: a nested value, read by the caller */
	size_t offset;
	size_t bytes; /* size of the field */
	double min;   /* in the unit of the field; used for numbers */
	double max;
	bool required;
};

void cfg_table_read(struct cfg_errors *errors, const struct toml_value *table,
    const char *table_name, const struct cfg_key_spec *keys, size_t key_count,
    void *record);
bool cfg_nested_get(struct cfg_errors *errors, const struct toml_value *table,
    const char *name, enum toml_kind kind, struct toml_value *out);

void cfg_config_check(
    const struct cfg_config *config, struct cfg_errors *errors);

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
