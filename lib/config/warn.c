#include <stdio.h>
#include <string.h>

#include "config_internal.h"

static struct toml_value place_of(
    const struct toml_value *root, const char *list, size_t index);
static void warn_account(const struct cfg_config *config, size_t index,
    const struct toml_value *place, struct cfg_errors *warnings);
static void warn_service(const struct cfg_config *config, size_t index,
    const struct toml_value *place, struct cfg_errors *warnings);
static void warn_shared_upstreams(
    const struct cfg_config *config, struct cfg_errors *warnings);
static void warn_guarantees(const struct cfg_config *config, uint32_t accels,
    struct cfg_errors *warnings);

/* Returns a table of a top-level list, which gives its line. The rows of a
 * configuration are in the order of these tables. */
static struct toml_value
place_of(const struct toml_value *root, const char *list, size_t index)
{
	struct toml_value array;

	if (toml_table_get(root, list, &array) && array.kind == TOML_ARRAY &&
	    index < toml_array_size(&array))
		return toml_array_at(&array, index);
	return (struct toml_value){0};
}

static void
warn_account(const struct cfg_config *config, size_t index,
    const struct toml_value *place, struct cfg_errors *warnings)
{
	const struct bd_account *account = &config->accounts[index];
	char published[CW_NAME_BYTES + 8];
	size_t i;

	/* The keys of the files in examples/ are "key-" and the name. */
	snprintf(published, sizeof(published), "key-%s", account->name);
	if (cfg_key_matches(account, published))
		cfg_errors_add(warnings, place->line, place->column,
		    "account \"%s\" has the published key of the examples; "
		    "make one with \"camphorctl key\"",
		    account->name);
	for (i = 0; i < index; i++)
		if (memcmp(account->key_salt, config->accounts[i].key_salt,
			sizeof(account->key_salt)) == 0 &&
		    memcmp(account->key_hash, config->accounts[i].key_hash,
			sizeof(account->key_hash)) == 0) {
			cfg_errors_add(warnings, place->line, place->column,
			    "account \"%s\" has the key of account \"%s\"",
			    account->name, config->accounts[i].name);
			break;
		}
}

static void
warn_service(const struct cfg_config *config, size_t index,
    const struct toml_value *place, struct cfg_errors *warnings)
{
	const struct bd_service *service = &config->services[index];
	size_t usable = 0;
	size_t i;
	size_t k;

	for (i = 0; i < config->runner_count; i++)
		usable += config->runners[i].service == service->id &&
		    !config->runners[i].leaving;
	if (usable == 0)
		cfg_errors_add(warnings, place->line, place->column,
		    "service \"%s\" has no upstream, or all of them are "
		    "leaving: no request can be served",
		    service->name);
	for (i = 0; i < service->account_count; i++)
		for (k = 0; k < i; k++)
			if (service->accounts[i] == service->accounts[k])
				cfg_errors_add(warnings, place->line,
				    place->column,
				    "service \"%s\" names its account %zu "
				    "twice",
				    service->name, k + 1);
	if (config->global.request_keep_ms < service->timeout_ms)
		cfg_errors_add(warnings, place->line, place->column,
		    "\"timeout\" of service \"%s\" (%u ms) is above "
		    "\"request_keep\" (%u ms): a repeat of a slow request "
		    "may run again",
		    service->name, service->timeout_ms,
		    config->global.request_keep_ms);
}

/* Warns of addresses in more than one service: the slots of each are counted as
 * if the upstream served it alone. */
static void
warn_shared_upstreams(
    const struct cfg_config *config, struct cfg_errors *warnings)
{
	size_t i;
	size_t k;

	for (i = 0; i < config->runner_count; i++)
		for (k = 0; k < i; k++)
			if (config->runners[i].service !=
				config->runners[k].service &&
			    strcmp(config->runners[i].address,
				config->runners[k].address) == 0) {
				cfg_errors_add(warnings, 0, 0,
				    "upstream address \"%s\" is listed by two "
				    "services, which count its slots apart",
				    config->runners[i].address);
				break;
			}
}

static void
warn_guarantees(const struct cfg_config *config, uint32_t accels,
    struct cfg_errors *warnings)
{
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < config->promise_count; i++)
		sum += (uint64_t)config->promises[i].shape.members *
		    config->promises[i].shape.accels;
	if (accels > 0 && sum > accels)
		cfg_errors_add(warnings, 0, 0,
		    "%llu accelerators are guaranteed, the deployment has %u",
		    (unsigned long long)sum, accels);
}

/*
 * Lists what a server accepts and is probably not meant. config is the result
 * of cfg_config_parse() for the same text; the caller has zeroed warnings.
 * Returns CFG_ENOMEM.
 */
int
cfg_config_warn(const char *text, size_t bytes, const struct cfg_config *config,
    uint32_t accels, struct cfg_errors *warnings)
{
	struct toml_doc *doc;
	struct toml_value root;
	struct toml_value place;
	size_t i;
	int code = toml_doc_parse(text, bytes, &doc, warnings);

	if (code != CW_OK)
		return code;
	root = toml_doc_root(doc);
	for (i = 0; i < config->account_count; i++) {
		place = place_of(&root, "account", i);
		warn_account(config, i, &place, warnings);
	}
	for (i = 0; i < config->service_count; i++) {
		place = place_of(&root, "service", i);
		warn_service(config, i, &place, warnings);
	}
	warn_shared_upstreams(config, warnings);
	warn_guarantees(config, accels, warnings);
	toml_doc_free(doc);
	return CW_OK;
}
