#include <assert.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "config_internal.h"

#define SETTINGS_BYTES_MAX (64 * 1024)
#define DRAIN_DEFAULT_MS 60000
/* Each connection occupies a thread until it closes, also an idle keep-alive
 * connection. With 8 threads, the keep-alive connections of one load balancer
 * occupied all of them. */
#define HTTP_THREADS_DEFAULT 64

#define FIELD(member)                          \
	offsetof(struct cfg_settings, member), \
	    sizeof(((struct cfg_settings *)0)->member)

static const struct cfg_key_spec settings_keys[] = {
    {"name", cfg_read_name, FIELD(name), 0, 0, true},
    {"region", cfg_read_name, FIELD(region), 0, 0, true},
    {"zone", cfg_read_name, FIELD(zone), 0, 0, true},
    {"http_address", cfg_read_address, FIELD(http_address), 0, 0, true},
    {"peer_address", cfg_read_address, FIELD(peer_address), 0, 0, true},
    {"platform_address", cfg_read_address, FIELD(platform_address), 0, 0, true},
    {"peers", NULL, 0, 0, 0, 0, false},
    {"http_threads", cfg_read_u32, FIELD(http_threads), 1, 256, false},
    {"drain", cfg_read_duration_ms, FIELD(drain_ms), 1000, 3600e3, false},
    {"curve_public", cfg_read_string, FIELD(curve_public), 0, 0, false},
    {"curve_secret", cfg_read_string, FIELD(curve_secret), 0, 0, false},
    {"curve_peers", NULL, 0, 0, 0, 0, false},
    {"tls_certificate", cfg_read_string, FIELD(tls_certificate), 0, 0, false},
    {"log_level", cfg_read_name, FIELD(log_level), 0, 0, false},
};

static void read_list(struct cfg_errors *errors, const struct toml_value *root,
    const char *name, cfg_read_fn *read, char *items, size_t item_bytes,
    uint32_t *count);
static void check_curve(
    const struct cfg_settings *settings, struct cfg_errors *errors);

/* Reads an array of at most CFG_PEERS_MAX strings, each into item_bytes at
 * items. A missing array leaves *count as it is. */
static void
read_list(struct cfg_errors *errors, const struct toml_value *root,
    const char *name, cfg_read_fn *read, char *items, size_t item_bytes,
    uint32_t *count)
{
	struct cfg_key_spec key = {name, read, 0, item_bytes, 0, 0, false};
	struct toml_value array;
	size_t size;
	size_t i;

	if (!cfg_nested_get(errors, root, name, TOML_ARRAY, &array))
		return;
	size = toml_array_size(&array);
	if (size > CFG_PEERS_MAX) {
		cfg_errors_add(errors, array.line, array.column,
		    "\"%s\" has %zu entries, at most %d are allowed", name,
		    size, CFG_PEERS_MAX);
		return;
	}
	for (i = 0; i < size; i++) {
		struct toml_value value = toml_array_at(&array, i);

		read(errors, &value, &key, items + i * item_bytes);
	}
	*count = (uint32_t)size;
}

/* Checks that the CURVE keys are complete, of the right length, and listed for
 * each peer. */
static void
check_curve(const struct cfg_settings *settings, struct cfg_errors *errors)
{
	size_t public_bytes = strlen(settings->curve_public);
	size_t secret_bytes = strlen(settings->curve_secret);

	if ((public_bytes == 0) != (secret_bytes == 0))
		cfg_errors_add(errors, 0, 0,
		    "\"curve_public\" and \"curve_secret\" go together; "
		    "\"camphorctl curve-key\" makes a pair");
	else if (public_bytes != 0 &&
	    (public_bytes != CFG_CURVE_KEY_BYTES - 1 ||
		secret_bytes != CFG_CURVE_KEY_BYTES - 1))
		cfg_errors_add(errors, 0, 0,
		    "CURVE keys must have %d characters; "
		    "\"camphorctl curve-key\" makes a pair",
		    CFG_CURVE_KEY_BYTES - 1);
	if (settings->curve_peer_count != 0 &&
	    settings->curve_peer_count != settings->peer_count)
		cfg_errors_add(errors, 0, 0,
		    "\"curve_peers\" has %u keys but \"peers\" has %u "
		    "addresses; list one key for each address, in the same "
		    "order",
		    settings->curve_peer_count, settings->peer_count);
}

/*
 * Parses the settings of a process. All errors are listed in errors, which the
 * caller has zeroed. Returns CFG_ESYNTAX, CFG_EINVALID or CFG_ENOMEM.
 */
int
cfg_settings_parse(const char *text, size_t bytes,
    struct cfg_settings *settings, struct cfg_errors *errors)
{
	struct toml_doc *doc;
	struct toml_value root;
	int code;

	assert(settings != NULL && errors != NULL);
	memset(settings, 0, sizeof(*settings));
	settings->http_threads = HTTP_THREADS_DEFAULT;
	settings->drain_ms = DRAIN_DEFAULT_MS;
	memcpy(settings->log_level, "info", sizeof("info"));
	code = toml_doc_parse(text, bytes, &doc, errors);
	if (code != CW_OK)
		return code;
	root = toml_doc_root(doc);
	cfg_table_read(errors, &root, "the settings", settings_keys,
	    sizeof(settings_keys) / sizeof(*settings_keys), settings);
	read_list(errors, &root, "peers", cfg_read_address, settings->peers[0],
	    sizeof(settings->peers[0]), &settings->peer_count);
	read_list(errors, &root, "curve_peers", cfg_read_string,
	    settings->curve_peers[0], sizeof(settings->curve_peers[0]),
	    &settings->curve_peer_count);
	check_curve(settings, errors);
	toml_doc_free(doc);
	return errors->count == 0 ? CW_OK : CFG_EINVALID;
}

/* Reads and parses a settings file. Returns CFG_EFILE, or the codes of
 * cfg_settings_parse(). */
int
cfg_settings_load(
    const char *path, struct cfg_settings *settings, struct cfg_errors *errors)
{
	char *text;
	size_t bytes;
	int code =
	    cfg_file_read(path, SETTINGS_BYTES_MAX, &text, &bytes, errors);

	if (code != CW_OK)
		return code;
	code = cfg_settings_parse(text, bytes, settings, errors);
	free(text);
	return code;
}
