#include <new>
#include <string_view>

#include <toml++/toml.h>

#include "toml_internal.h"

struct toml_doc {
	toml::table root;
};

namespace {

struct toml_value
node_to_value(const toml::node &node)
{
	struct toml_value value = {};

	value.line = node.source().begin.line;
	value.column = node.source().begin.column;
	value.node = &node;
	value.kind = TOML_OTHER;
	if (const auto *string = node.as_string()) {
		value.kind = TOML_STRING;
		value.string = string->get().c_str();
	} else if (const auto *integer = node.as_integer()) {
		value.kind = TOML_INTEGER;
		value.integer = integer->get();
		value.real = static_cast<double>(integer->get());
	} else if (const auto *real = node.as_floating_point()) {
		value.kind = TOML_FLOAT;
		value.real = real->get();
	} else if (const auto *boolean = node.as_boolean()) {
		value.kind = TOML_BOOLEAN;
		value.boolean = boolean->get();
	} else if (node.is_array()) {
		value.kind = TOML_ARRAY;
	} else if (node.is_table()) {
		value.kind = TOML_TABLE;
	}
	return value;
}

const toml::node *
value_to_node(const struct toml_value *value)
{
	return static_cast<const toml::node *>(value->node);
}

} // namespace

// Parses a TOML text. Returns CFG_ESYNTAX with one error, or CFG_ENOMEM; the
// callers are C, so the exceptions of toml++ are turned into these codes.
int
toml_doc_parse(const char *text, size_t bytes, struct toml_doc **out,
    struct cfg_errors *errors)
{
	try {
		auto *doc = new toml_doc();
		try {
			doc->root = toml::parse(std::string_view(text, bytes));
		} catch (...) {
			delete doc;
			throw;
		}
		*out = doc;
		return CW_OK;
	} catch (const toml::parse_error &error) {
		cfg_errors_add(errors, error.source().begin.line,
		    error.source().begin.column, "%.200s",
		    std::string(error.description()).c_str());
		return CFG_ESYNTAX;
	} catch (const std::bad_alloc &) {
		return CFG_ENOMEM;
	}
}

// Frees a document; its values become invalid.
void
toml_doc_free(struct toml_doc *doc)
{
	delete doc;
}

// Returns the top-level table.
struct toml_value
toml_doc_root(const struct toml_doc *doc)
{
	return node_to_value(doc->root);
}

// Returns the name of a kind, with its article, for error messages.
const char *
toml_kind_name(enum toml_kind kind)
{
	switch (kind) {
	case TOML_STRING:
		return "a string";
	case TOML_INTEGER:
		return "an integer";
	case TOML_FLOAT:
		return "a number";
	case TOML_BOOLEAN:
		return "a boolean";
	case TOML_ARRAY:
		return "an array";
	case TOML_TABLE:
		return "a table";
	default:
		return "a date or time";
	}
}

// Looks up a key of a table. Returns false if it is missing.
bool
toml_table_get(
    const struct toml_value *table, const char *key, struct toml_value *out)
{
	const toml::node *node = value_to_node(table)->as_table()->get(key);

	if (node == nullptr)
		return false;
	*out = node_to_value(*node);
	return true;
}

// Calls a function for each key of a table, sorted by key.
void
toml_table_each(const struct toml_value *table,
    void (*call)(void *ctx, const char *key, const struct toml_value *value),
    void *ctx)
{
	for (const auto &[key, node] : *value_to_node(table)->as_table()) {
		struct toml_value value = node_to_value(node);

		// Errors about a key give the position of the key, not that of
		// its value.
		value.line = key.source().begin.line;
		value.column = key.source().begin.column;
		call(ctx, std::string(key.str()).c_str(), &value);
	}
}

size_t
toml_array_size(const struct toml_value *array)
{
	return value_to_node(array)->as_array()->size();
}

// Returns an element of an array; index must be below its size.
struct toml_value
toml_array_at(const struct toml_value *array, size_t index)
{
	return node_to_value(*value_to_node(array)->as_array()->get(index));
}
