#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "config_internal.h"

#define FIELD(type, member) \
	offsetof(struct type, member), sizeof(((struct type *)0)->member)

#define GUARANTEE_COPIES_MAX 256

/* Values of an [[account.guarantee]] table, which gives one bd_promise per
 * copy. */
struct guarantee {
	struct bd_shape shape;
	uint32_t copies;
};

/* Values of a [[service.upstream]] table, which gives one bd_runner per
 * address. */
struct upstream {
	char region[24];
	char zone[24];
	uint32_t slots;
	uint32_t connections;
	uint32_t leaving;
};

static const struct cfg_key_spec root_keys[] = {
    {"fleet", NULL, 0, 0, 0, 0, true},
    {"account", NULL, 0, 0, 0, 0, true},
    {"service", NULL, 0, 0, 0, 0, false},
};

static const struct cfg_key_spec fleet_keys[] = {
    {"fragmentation_weight", cfg_read_milli,
	FIELD(bd_config, fragmentation_weight_milli), 0, 1, false},
    {"reclaim", cfg_read_duration_ms, FIELD(bd_config, reclaim_ms), 500, 600e3,
	false},
    {"checkpoint", cfg_read_duration_ms, FIELD(bd_config, checkpoint_ms), 100,
	600e3, false},
    {"entry_vms", cfg_read_u32, FIELD(bd_config, entry_vms), 1, 64, true},
    {"cross_region_bandwidth", cfg_read_bandwidth,
	FIELD(bd_config, cross_region_bytes_per_s), 0, 4e9, false},
    {"request_keep", cfg_read_duration_ms, FIELD(bd_config, request_keep_ms),
	60e3, 7 * 86400e3, false},
    {"quarantine_cap", cfg_read_milli, FIELD(bd_config, quarantine_cap_milli),
	0, 0.5, false},
    {"moves_per_hour", cfg_read_u32, FIELD(bd_config, moves_per_hour), 0, 1000,
	false},
};

static const struct cfg_key_spec account_keys[] = {
    {"name", cfg_read_name, FIELD(bd_account, name), 0, 0, true},
    {"key_salt", cfg_read_hex, FIELD(bd_account, key_salt), 0, 0, true},
    {"key_sha256", cfg_read_hex, FIELD(bd_account, key_hash), 0, 0, true},
    {"role", cfg_read_role, FIELD(bd_account, role), 0, 0, false},
    {"quota", cfg_read_u32, FIELD(bd_account, quota_accels), 0, 100000, false},
    {"weight", cfg_read_milli, FIELD(bd_account, weight_milli), 0.001, 1000,
	false},
    {"rate", cfg_read_u32, FIELD(bd_account, rate_per_s), 0, 1000000, false},
    {"concurrency", cfg_read_u32, FIELD(bd_account, concurrency), 0, 100000,
	false},
    {"queue", cfg_read_u32, FIELD(bd_account, queue_max), 1, 100000, false},
    {"guarantee", NULL, 0, 0, 0, 0, false},
};

static const struct cfg_key_spec guarantee_keys[] = {
    {"members", cfg_read_u16, FIELD(guarantee, shape.members), 1,
	BD_GANG_MEMBERS_MAX, true},
    {"accelerators", cfg_read_u16, FIELD(guarantee, shape.accels), 1,
	BD_WORKER_ACCELS_MAX, true},
    {"cores", cfg_read_milli, FIELD(guarantee, shape.cores_milli), 0, 4096,
	false},
    {"memory", cfg_read_memory_mb, FIELD(guarantee, shape.memory_mb), 0,
	64.0 * 1024 * 1024, false},
    {"copies", cfg_read_u32, FIELD(guarantee, copies), 1, GUARANTEE_COPIES_MAX,
	false},
};

static const struct cfg_key_spec service_keys[] = {
    {"name", cfg_read_name, FIELD(bd_service, name), 0, 0, true},
    {"class", cfg_read_class, FIELD(bd_service, class_default), 0, 0, false},
    {"timeout", cfg_read_duration_ms, FIELD(bd_service, timeout_ms), 10, 3600e3,
	false},
    {"body_max", cfg_read_size, FIELD(bd_service, body_max_bytes), 0, 64e6,
	false},
    {"answer_max", cfg_read_size, FIELD(bd_service, answer_max_bytes), 1, 64e6,
	false},
    {"attempts", cfg_read_u32, FIELD(bd_service, attempts_max), 1, 10, false},
    {"accounts", NULL, 0, 0, 0, 0, true},
    {"upstream", NULL, 0, 0, 0, 0, true},
};

static const struct cfg_key_spec upstream_keys[] = {
    {"addresses", NULL, 0, 0, 0, 0, true},
    {"region", cfg_read_name, FIELD(upstream, region), 0, 0, true},
    {"zone", cfg_read_name, FIELD(upstream, zone), 0, 0, true},
    {"slots", cfg_read_u32, FIELD(upstream, slots), 1, 4096, false},
    {"connections", cfg_read_u32, FIELD(upstream, connections), 1, 65536,
	false},
    {"leaving", cfg_read_bool, FIELD(upstream, leaving), 0, 0, false},
};

#define READ_TABLE(errors, table, name, keys, base) \
	cfg_table_read(                             \
	    errors, table, name, keys, sizeof(keys) / sizeof(*(keys)), base)

static void *array_append(void *items, size_t *count, size_t item_bytes);
static void read_fleet(struct cfg_config *config, struct cfg_errors *errors,
    const struct toml_value *root);
static int read_guarantee(struct cfg_config *config, struct cfg_errors *errors,
    const struct toml_value *table, uint64_t account, uint16_t number);
static int read_account(struct cfg_config *config, struct cfg_errors *errors,
    const struct toml_value *table);
static int read_upstream(struct cfg_config *config, struct cfg_errors *errors,
    const struct toml_value *table, const struct bd_service *service);
static void read_service_accounts(struct cfg_config *config,
    struct cfg_errors *errors, const struct toml_value *table,
    struct bd_service *service);
static int read_service(struct cfg_config *config, struct cfg_errors *errors,
    const struct toml_value *table);
static int read_each(struct cfg_config *config, struct cfg_errors *errors,
    const struct toml_value *root, const char *name,
    int (*read)(struct cfg_config *config, struct cfg_errors *errors,
	const struct toml_value *table));
static bool has_account(const struct cfg_config *config, uint64_t id);

/* Appends a zeroed item to an array and increments *count. Returns the array,
 * which may have moved, or NULL if out of memory; the old array is then still
 * valid. No capacity is stored: it doubles whenever the count has reached a
 * power of two. */
static void *
array_append(void *items, size_t *count, size_t item_bytes)
{
	char *grown = items;

	if ((*count & (*count - 1)) == 0)
		grown =
		    realloc(items, (*count == 0 ? 1 : *count * 2) * item_bytes);
	if (grown == NULL)
		return NULL;
	memset(grown + *count * item_bytes, 0, item_bytes);
	(*count)++;
	return grown;
}

static bool
has_account(const struct cfg_config *config, uint64_t id)
{
	size_t i;

	for (i = 0; i < config->account_count; i++)
		if (config->accounts[i].id == id)
			return true;
	return false;
}

/* Reads the [fleet] table into the global row. */
static void
read_fleet(struct cfg_config *config, struct cfg_errors *errors,
    const struct toml_value *root)
{
	struct bd_config *global = &config->global;
	struct toml_value table;

	global->fragmentation_weight_milli = 500;
	global->reclaim_ms = 4000;
	global->checkpoint_ms = 3000;
	global->cross_region_bytes_per_s = 750000;
	global->request_keep_ms = 24 * 3600 * 1000;
	global->quarantine_cap_milli = 100;
	global->moves_per_hour = 6;
	if (!cfg_nested_get(errors, root, "fleet", TOML_TABLE, &table))
		return;
	READ_TABLE(errors, &table, "[fleet]", fleet_keys, global);
	if (global->checkpoint_ms >= global->reclaim_ms)
		cfg_errors_add(errors, table.line, table.column,
		    "\"checkpoint\" (%u ms) must be shorter than \"reclaim\" "
		    "(%u ms), which includes it",
		    global->checkpoint_ms, global->reclaim_ms);
}

/* Reads one [[account.guarantee]] table, the number-th of its account, into
 * one bd_promise per copy. Returns CFG_ENOMEM. */
static int
read_guarantee(struct cfg_config *config, struct cfg_errors *errors,
    const struct toml_value *table, uint64_t account, uint16_t number)
{
	struct guarantee guarantee = {.copies = 1};
	uint32_t copy;

	READ_TABLE(
	    errors, table, "[[account.guarantee]]", guarantee_keys, &guarantee);
	for (copy = 0; copy < guarantee.copies; copy++) {
		struct bd_promise *promise = array_append(config->promises,
		    &config->promise_count, sizeof(*config->promises));

		if (promise == NULL)
			return CFG_ENOMEM;
		config->promises = promise;
		promise = &config->promises[config->promise_count - 1];
		promise->id =
		    cw_id_from_pair(account, (uint64_t)number << 16 | copy);
		promise->account = account;
		promise->shape = guarantee.shape;
		promise->number = number;
		promise->copy = (uint16_t)copy;
	}
	return CW_OK;
}

/* Reads one [[account]] table with its guarantees. Returns CFG_ENOMEM. */
static int
read_account(struct cfg_config *config, struct cfg_errors *errors,
    const struct toml_value *table)
{
	struct bd_account account = {.weight_milli = 1000, .queue_max = 256};
	struct bd_account *grown;
	struct toml_value guarantees;
	size_t i;
	int code = CW_OK;

	READ_TABLE(errors, table, "[[account]]", account_keys, &account);
	account.id = cw_id_from_name(account.name);
	if (has_account(config, account.id))
		cfg_errors_add(errors, table->line, table->column,
		    "account \"%s\" is listed twice", account.name);
	grown = array_append(config->accounts, &config->account_count,
	    sizeof(*config->accounts));
	if (grown == NULL)
		return CFG_ENOMEM;
	config->accounts = grown;
	grown[config->account_count - 1] = account;
	if (!cfg_nested_get(
		errors, table, "guarantee", TOML_ARRAY, &guarantees))
		return CW_OK;
	for (i = 0; i < toml_array_size(&guarantees) && code == CW_OK; i++) {
		struct toml_value item = toml_array_at(&guarantees, i);

		if (item.kind != TOML_TABLE)
			cfg_errors_add(errors, item.line, item.column,
			    "\"guarantee\" must be a list of tables "
			    "[[account.guarantee]]");
		else
			code = read_guarantee(
			    config, errors, &item, account.id, (uint16_t)i);
	}
	return code;
}

/* Reads one [[service.upstream]] table into one bd_runner per address. Returns
 * CFG_ENOMEM. */
static int
read_upstream(struct cfg_config *config, struct cfg_errors *errors,
    const struct toml_value *table, const struct bd_service *service)
{
	struct upstream upstream = {.slots = 8, .connections = 64};
	struct cfg_key_spec key = {
	    "addresses", cfg_read_address, 0, CW_NAME_BYTES, 0, 0, false};
	struct toml_value addresses;
	size_t i;

	READ_TABLE(
	    errors, table, "[[service.upstream]]", upstream_keys, &upstream);
	if (!cfg_nested_get(errors, table, "addresses", TOML_ARRAY, &addresses))
		return CW_OK;
	for (i = 0; i < toml_array_size(&addresses); i++) {
		struct toml_value value = toml_array_at(&addresses, i);
		struct bd_runner *runner = array_append(config->runners,
		    &config->runner_count, sizeof(*config->runners));

		if (runner == NULL)
			return CFG_ENOMEM;
		config->runners = runner;
		runner = &config->runners[config->runner_count - 1];
		cfg_read_address(errors, &value, &key, runner->address);
		runner->id = cw_id_from_pair(
		    service->id, cw_id_from_name(runner->address));
		runner->service = service->id;
		runner->region = cw_id_from_name(upstream.region);
		runner->zone = cw_id_from_name(upstream.zone);
		runner->slots = upstream.slots;
		runner->connections = upstream.connections;
		runner->leaving = upstream.leaving;
	}
	return CW_OK;
}

/* Reads the accounts that may use a service and checks that each is listed. */
static void
read_service_accounts(struct cfg_config *config, struct cfg_errors *errors,
    const struct toml_value *table, struct bd_service *service)
{
	struct toml_value list;
	size_t i;

	if (!cfg_nested_get(errors, table, "accounts", TOML_ARRAY, &list))
		return;
	if (toml_array_size(&list) > BD_SERVICE_ACCOUNTS_MAX) {
		cfg_errors_add(errors, list.line, list.column,
		    "service \"%s\" lists more than %d accounts", service->name,
		    BD_SERVICE_ACCOUNTS_MAX);
		return;
	}
	for (i = 0; i < toml_array_size(&list); i++) {
		struct toml_value value = toml_array_at(&list, i);
		uint64_t id;

		if (value.kind != TOML_STRING) {
			cfg_errors_add(errors, value.line, value.column,
			    "\"accounts\" must list names of accounts");
			continue;
		}
		id = cw_id_from_name(value.string);
		if (!has_account(config, id))
			cfg_errors_add(errors, value.line, value.column,
			    "service \"%s\" names the account \"%.40s\", which "
			    "is not listed; add an [[account]] table",
			    service->name, value.string);
		service->accounts[service->account_count++] = id;
	}
}

/* Reads one [[service]] table with its upstreams. Returns CFG_ENOMEM. */
static int
read_service(struct cfg_config *config, struct cfg_errors *errors,
    const struct toml_value *table)
{
	struct bd_service service = {.class_default = BD_CLASS_NORMAL,
	    .timeout_ms = 30000,
	    .body_max_bytes = 1024 * 1024,
	    .answer_max_bytes = 4 * 1024 * 1024,
	    .attempts_max = 3};
	struct bd_service *grown;
	struct toml_value upstreams;
	size_t i;
	int code = CW_OK;

	READ_TABLE(errors, table, "[[service]]", service_keys, &service);
	service.id = cw_id_from_name(service.name);
	for (i = 0; i < config->service_count; i++)
		if (config->services[i].id == service.id)
			cfg_errors_add(errors, table->line, table->column,
			    "service \"%s\" is listed twice", service.name);
	read_service_accounts(config, errors, table, &service);
	grown = array_append(config->services, &config->service_count,
	    sizeof(*config->services));
	if (grown == NULL)
		return CFG_ENOMEM;
	config->services = grown;
	grown[config->service_count - 1] = service;
	if (!cfg_nested_get(errors, table, "upstream", TOML_ARRAY, &upstreams))
		return CW_OK;
	for (i = 0; i < toml_array_size(&upstreams) && code == CW_OK; i++) {
		struct toml_value item = toml_array_at(&upstreams, i);

		if (item.kind != TOML_TABLE)
			cfg_errors_add(errors, item.line, item.column,
			    "\"upstream\" must be a list of tables "
			    "[[service.upstream]]");
		else
			code = read_upstream(config, errors, &item, &service);
	}
	return code;
}

/* Calls read for each table of a top-level array of tables, until one call
 * fails. Returns the code of that call. */
static int
read_each(struct cfg_config *config, struct cfg_errors *errors,
    const struct toml_value *root, const char *name,
    int (*read)(struct cfg_config *config, struct cfg_errors *errors,
	const struct toml_value *table))
{
	struct toml_value array;
	size_t i;
	int code = CW_OK;

	if (!cfg_nested_get(errors, root, name, TOML_ARRAY, &array))
		return CW_OK;
	for (i = 0; i < toml_array_size(&array) && code == CW_OK; i++) {
		struct toml_value item = toml_array_at(&array, i);

		if (item.kind != TOML_TABLE)
			cfg_errors_add(errors, item.line, item.column,
			    "\"%s\" must be a list of tables [[%s]]", name,
			    name);
		else
			code = read(config, errors, &item);
	}
	return code;
}

/*
 * Parses the operators' configuration and checks types, units, ranges and
 * references; whether the guaranteed shapes fit the workers is checked by
 * lib/sched. All errors are listed in errors, which the caller has zeroed.
 * Returns CFG_ESYNTAX, CFG_EINVALID or CFG_ENOMEM; *out is set only on success.
 */
int
cfg_config_parse(const char *text, size_t bytes, struct cfg_config **out,
    struct cfg_errors *errors)
{
	struct cfg_config *config = calloc(1, sizeof(*config));
	struct toml_doc *doc;
	struct toml_value root;
	int code;

	assert(out != NULL && errors != NULL);
	if (config == NULL)
		return CFG_ENOMEM;
	code = toml_doc_parse(text, bytes, &doc, errors);
	if (code != CW_OK) {
		cfg_config_free(config);
		return code;
	}
	root = toml_doc_root(doc);
	READ_TABLE(errors, &root, "the text", root_keys, config);
	read_fleet(config, errors, &root);
	code = read_each(config, errors, &root, "account", read_account);
	if (code == CW_OK)
		code =
		    read_each(config, errors, &root, "service", read_service);
	toml_doc_free(doc);
	if (code == CW_OK)
		cfg_config_check(config, errors);
	if (code == CW_OK && errors->count > 0)
		code = CFG_EINVALID;
	if (code != CW_OK) {
		cfg_config_free(config);
		return code;
	}
	*out = config;
	return CW_OK;
}

/* Frees a parsed configuration; NULL is allowed, as in free(). */
void
cfg_config_free(struct cfg_config *config)
{
	if (config == NULL)
		return;
	free(config->accounts);
	free(config->promises);
	free(config->services);
	free(config->runners);
	free(config);
}
