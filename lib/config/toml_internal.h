#ifndef CAMPHOR_TOML_INTERNAL_H
#define CAMPHOR_TOML_INTERNAL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config.h"

#ifdef __cplusplus
extern "C" {
#endif

/* C interface to toml++. Its implementation is the only C++ of the library,
 * because no C library for TOML is packaged. */
enum toml_kind {
	TOML_STRING,
	TOML_INTEGER,
	TOML_FLOAT,
	TOML_BOOLEAN,
	TOML_ARRAY,
	TOML_TABLE,
	TOML_OTHER, /* a date or time */
};

/* A value of a document; valid until the document is freed. */
struct toml_value {
	enum toml_kind kind;
	uint32_t line; /* of its first character, from 1 */
	uint32_t column;
	const char *string;
	int64_t integer;
	double real; /* also set for TOML_INTEGER */
	bool boolean;
	const void *node; /* toml::node */
};

struct toml_doc;

int toml_doc_parse(const char *text, size_t bytes, struct toml_doc **out,
    struct cfg_errors *errors);
void toml_doc_free(struct toml_doc *doc);
struct toml_value toml_doc_root(const struct toml_doc *doc);

const char *toml_kind_name(enum toml_kind kind);
bool toml_table_get(
    const struct toml_value *table, const char *key, struct toml_value *out);
void toml_table_each(const struct toml_value *table,
    void (*call)(void *ctx, const char *key, const struct toml_value *value),
    void *ctx);
size_t toml_array_size(const struct toml_value *array);
struct toml_value toml_array_at(const struct toml_value *array, size_t index);

#ifdef __cplusplus
}
#endif

#endif
