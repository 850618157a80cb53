#include "config_internal.h"

static void check_quota(const struct cfg_config *config,
    const struct bd_account *account, struct cfg_errors *errors);
static void check_count(struct cfg_errors *errors, const char *what,
    size_t count, enum bd_table_number table);

static void
check_quota(const struct cfg_config *config, const struct bd_account *account,
    struct cfg_errors *errors)
{
	uint32_t promised = 0;
	size_t i;

	for (i = 0; i < config->promise_count; i++)
		if (config->promises[i].account == account->id)
			promised +=
			    (uint32_t)config->promises[i].shape.members *
			    config->promises[i].shape.accels;
	if (promised > account->quota_accels)
		cfg_errors_add(errors, 0, 0,
		    "account \"%s\" is guaranteed %u accelerators, above its "
		    "quota of %u; raise \"quota\" or remove a guarantee",
		    account->name, promised, account->quota_accels);
}

static void
check_count(struct cfg_errors *errors, const char *what, size_t count,
    enum bd_table_number table)
{
	if (count > bd_table_capacity(table))
		cfg_errors_add(errors, 0, 0,
		    "the text has %zu %s, at most %u are allowed", count, what,
		    bd_table_capacity(table));
}

/* Checks the rules that span several tables: table sizes, quotas against
 * guarantees, and duplicate upstream addresses. */
void
cfg_config_check(const struct cfg_config *config, struct cfg_errors *errors)
{
	size_t i;
	size_t j;

	check_count(
	    errors, "accounts", config->account_count, BD_TABLE_account);
	check_count(errors, "copies of guaranteed shapes",
	    config->promise_count, BD_TABLE_promise);
	check_count(
	    errors, "services", config->service_count, BD_TABLE_service);
	check_count(errors, "upstream addresses", config->runner_count,
	    BD_TABLE_runner);
	for (i = 0; i < config->account_count; i++)
		check_quota(config, &config->accounts[i], errors);
	for (i = 0; i < config->runner_count; i++)
		for (j = 0; j < i; j++)
			if (config->runners[i].id == config->runners[j].id) {
				cfg_errors_add(errors, 0, 0,
				    "upstream address \"%s\" is listed twice "
				    "for one service",
				    config->runners[i].address);
				break;
			}
}
