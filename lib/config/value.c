#include <arpa/inet.h>
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "config_internal.h"

struct unit {
	const char *name;
	double factor;
};

/* Units with their factors; the base unit of each list has the factor 1. */
static const struct unit duration_units[] = {{"ms", 1}, {"s", 1e3},
    {"min", 60e3}, {"h", 3600e3}, {"d", 86400e3}, {NULL, 0}};
static const struct unit size_units[] = {{"B", 1}, {"KB", 1e3}, {"MB", 1e6},
    {"GB", 1e9}, {"TB", 1e12}, {"KiB", 1024.0}, {"MiB", 1048576.0},
    {"GiB", 1073741824.0}, {"TiB", 1099511627776.0}, {NULL, 0}};
static const struct unit bandwidth_units[] = {{"B/s", 1}, {"KB/s", 1e3},
    {"MB/s", 1e6}, {"bit/s", 0.125}, {"kbit/s", 125}, {"Mbit/s", 125e3},
    {"Gbit/s", 125e6}, {NULL, 0}};

static bool add_kind_error(struct cfg_errors *errors,
    const struct toml_value *value, const struct cfg_key_spec *key,
    const char *wanted);
static bool check_range(struct cfg_errors *errors,
    const struct toml_value *value, const struct cfg_key_spec *key,
    double number);
static bool read_unit(struct cfg_errors *errors, const struct toml_value *value,
    const struct cfg_key_spec *key, const struct unit *units,
    const char *example, double *number);
static bool read_choice(struct cfg_errors *errors,
    const struct toml_value *value, const struct cfg_key_spec *key,
    const char *const *names, uint32_t *number);

/* Adds an error about a value of the wrong type. Always returns false. */
static bool
add_kind_error(struct cfg_errors *errors, const struct toml_value *value,
    const struct cfg_key_spec *key, const char *wanted)
{
	cfg_errors_add(errors, value->line, value->column,
	    "\"%s\" is %s but must be %s", key->name,
	    toml_kind_name(value->kind), wanted);
	return false;
}

/* Returns whether a number is from key->min to key->max; adds an error if it
 * is not. */
static bool
check_range(struct cfg_errors *errors, const struct toml_value *value,
    const struct cfg_key_spec *key, double number)
{
	if (number >= key->min && number <= key->max)
		return true;
	cfg_errors_add(errors, value->line, value->column,
	    "\"%s\" is %g but must be from %g to %g", key->name, number,
	    key->min, key->max);
	return false;
}

/* Reads "NUMBER UNIT" (the space is optional) and converts it to the base
 * unit. */
static bool
read_unit(struct cfg_errors *errors, const struct toml_value *value,
    const struct cfg_key_spec *key, const struct unit *units,
    const char *example, double *number)
{
	char *end;

	if (value->kind != TOML_STRING)
		return add_kind_error(errors, value, key, example);
	*number = strtod(value->string, &end);
	if (end != value->string) {
		while (*end == ' ')
			end++;
		for (; units->name != NULL; units++)
			if (strcmp(units->name, end) == 0) {
				*number *= units->factor;
				return true;
			}
	}
	cfg_errors_add(errors, value->line, value->column,
	    "\"%s\" is \"%.40s\" but must be %s", key->name, value->string,
	    example);
	return false;
}

/* Reads one of two or three names, of which the list ends with NULL, into its
 * index. */
static bool
read_choice(struct cfg_errors *errors, const struct toml_value *value,
    const struct cfg_key_spec *key, const char *const *names, uint32_t *number)
{
	uint32_t i;

	if (value->kind != TOML_STRING)
		return add_kind_error(errors, value, key, "a string");
	for (i = 0; names[i] != NULL; i++)
		if (strcmp(names[i], value->string) == 0) {
			*number = i;
			return true;
		}
	cfg_errors_add(errors, value->line, value->column,
	    "\"%s\" is \"%.40s\" but must be one of %s, %s%s%s", key->name,
	    value->string, names[0], names[1], names[2] != NULL ? ", " : "",
	    names[2] != NULL ? names[2] : "");
	return false;
}

/* Reads an integer from key->min to key->max into a uint32_t. */
bool
cfg_read_u32(struct cfg_errors *errors, const struct toml_value *value,
    const struct cfg_key_spec *key, void *field)
{
	if (value->kind != TOML_INTEGER)
		return add_kind_error(errors, value, key, "an integer");
	if (!check_range(errors, value, key, (double)value->integer))
		return false;
	*(uint32_t *)field = (uint32_t)value->integer;
	return true;
}

/* Reads an integer from key->min to key->max into a uint16_t. */
bool
cfg_read_u16(struct cfg_errors *errors, const struct toml_value *value,
    const struct cfg_key_spec *key, void *field)
{
	uint32_t number;

	if (!cfg_read_u32(errors, value, key, &number))
		return false;
	*(uint16_t *)field = (uint16_t)number;
	return true;
}

/* Reads a number into a uint32_t of thousandths. */
bool
cfg_read_milli(struct cfg_errors *errors, const struct toml_value *value,
    const struct cfg_key_spec *key, void *field)
{
	if (value->kind != TOML_INTEGER && value->kind != TOML_FLOAT)
		return add_kind_error(errors, value, key, "a number");
	if (!check_range(errors, value, key, value->real))
		return false;
	*(uint32_t *)field = (uint32_t)(value->real * 1000 + 0.5);
	return true;
}

/* Reads true or false into a uint32_t of 1 or 0. */
bool
cfg_read_bool(struct cfg_errors *errors, const struct toml_value *value,
    const struct cfg_key_spec *key, void *field)
{
	if (value->kind != TOML_BOOLEAN)
		return add_kind_error(errors, value, key, "true or false");
	*(uint32_t *)field = value->boolean;
	return true;
}

/* Reads a string, which may be empty, that must fit the field. */
bool
cfg_read_string(struct cfg_errors *errors, const struct toml_value *value,
    const struct cfg_key_spec *key, void *field)
{
	if (value->kind != TOML_STRING)
		return add_kind_error(errors, value, key, "a string");
	if (cw_name_copy(field, key->bytes, value->string) == CW_OK)
		return true;
	cfg_errors_add(errors, value->line, value->column,
	    "\"%s\" is longer than %zu bytes", key->name, key->bytes - 1);
	return false;
}

/* Reads a name: one or more letters, digits, '-', '_' and '.'. */
bool
cfg_read_name(struct cfg_errors *errors, const struct toml_value *value,
    const struct cfg_key_spec *key, void *field)
{
	static const char allowed[] =
	    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	    "0123456789-_.";

	if (value->kind == TOML_STRING &&
	    (value->string[0] == '\0' ||
		value->string[strspn(value->string, allowed)] != '\0')) {
		cfg_errors_add(errors, value->line, value->column,
		    "\"%s\" is \"%.40s\" but may only have letters, digits, "
		    "'-', '_' and '.', at least one",
		    key->name, value->string);
		return false;
	}
	return cfg_read_string(errors, value, key, field);
}

/* Reads "IP:PORT" with an IPv4 address; host names are not accepted, because
 * VMs are addressed by IP only. */
bool
cfg_read_address(struct cfg_errors *errors, const struct toml_value *value,
    const struct cfg_key_spec *key, void *field)
{
	char ip[CW_NAME_BYTES];
	struct in_addr parsed;
	const char *colon;
	char *end = NULL;
	long port = 0;

	if (value->kind != TOML_STRING)
		return add_kind_error(errors, value, key, "\"IP:PORT\"");
	colon = strrchr(value->string, ':');
	if (colon != NULL && (size_t)(colon - value->string) < sizeof(ip)) {
		memcpy(ip, value->string, (size_t)(colon - value->string));
		ip[colon - value->string] = '\0';
		port = strtol(colon + 1, &end, 10);
		if (inet_pton(AF_INET, ip, &parsed) == 1 && end != colon + 1 &&
		    *end == '\0' && port > 0 && port < 65536)
			return cfg_read_string(errors, value, key, field);
	}
	cfg_errors_add(errors, value->line, value->column,
	    "\"%s\" is \"%.60s\" but must be \"IP:PORT\" with an IPv4 number",
	    key->name, value->string);
	return false;
}

/* Reads a duration such as "250ms", "4s" or "2h" into a uint32_t of ms. */
bool
cfg_read_duration_ms(struct cfg_errors *errors, const struct toml_value *value,
    const struct cfg_key_spec *key, void *field)
{
	double number;

	if (!read_unit(errors, value, key, duration_units,
		"a duration such as \"250ms\", \"4s\" or \"2h\"", &number) ||
	    !check_range(errors, value, key, number))
		return false;
	*(uint32_t *)field = (uint32_t)number;
	return true;
}

/* Reads a size such as "64KiB" into a uint32_t of bytes. */
bool
cfg_read_size(struct cfg_errors *errors, const struct toml_value *value,
    const struct cfg_key_spec *key, void *field)
{
	double number;

	if (!read_unit(errors, value, key, size_units,
		"a size such as \"64KiB\" or \"4MB\"", &number) ||
	    !check_range(errors, value, key, number))
		return false;
	*(uint32_t *)field = (uint32_t)number;
	return true;
}

/* Reads a memory size such as "64GiB" into a uint32_t of MiB. */
bool
cfg_read_memory_mb(struct cfg_errors *errors, const struct toml_value *value,
    const struct cfg_key_spec *key, void *field)
{
	double number;

	if (!read_unit(errors, value, key, size_units,
		"a size such as \"64GiB\"", &number) ||
	    !check_range(errors, value, key, number / 1048576.0))
		return false;
	*(uint32_t *)field = (uint32_t)(number / 1048576.0 + 0.5);
	return true;
}

/* Reads a bandwidth such as "6Mbit/s" into a uint32_t of bytes/s. */
bool
cfg_read_bandwidth(struct cfg_errors *errors, const struct toml_value *value,
    const struct cfg_key_spec *key, void *field)
{
	double number;

	if (!read_unit(errors, value, key, bandwidth_units,
		"a bandwidth such as \"6Mbit/s\" or \"700KB/s\"", &number) ||
	    !check_range(errors, value, key, number))
		return false;
	*(uint32_t *)field = (uint32_t)number;
	return true;
}

/* Reads lower-case hexadecimal digits, two for each byte of the field. */
bool
cfg_read_hex(struct cfg_errors *errors, const struct toml_value *value,
    const struct cfg_key_spec *key, void *field)
{
	static const char digits[] = "0123456789abcdef";
	uint8_t *bytes = field;
	size_t i;

	if (value->kind != TOML_STRING)
		return add_kind_error(errors, value, key, "a string");
	if (strlen(value->string) != 2 * key->bytes ||
	    strspn(value->string, digits) != 2 * key->bytes) {
		cfg_errors_add(errors, value->line, value->column,
		    "\"%s\" must have %zu digits of 0-9 and a-f; "
		    "\"camphorctl key\" makes a pair",
		    key->name, 2 * key->bytes);
		return false;
	}
	for (i = 0; i < key->bytes; i++) {
		const char *high = strchr(digits, value->string[2 * i]);
		const char *low = strchr(digits, value->string[2 * i + 1]);

		bytes[i] = (uint8_t)((high - digits) << 4 | (low - digits));
	}
	return true;
}

/* Reads "urgent", "normal" or "batch" into an enum bd_class. */
bool
cfg_read_class(struct cfg_errors *errors, const struct toml_value *value,
    const struct cfg_key_spec *key, void *field)
{
	static const char *const names[] = {"urgent", "normal", "batch", NULL};

	return read_choice(errors, value, key, names, field);
}

/* Reads "caller" or "operator" into an enum bd_role. */
bool
cfg_read_role(struct cfg_errors *errors, const struct toml_value *value,
    const struct cfg_key_spec *key, void *field)
{
	static const char *const names[] = {"caller", "operator", NULL};

	return read_choice(errors, value, key, names, field);
}
