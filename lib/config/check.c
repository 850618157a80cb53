#include "config_internal.h"

static void check_quota(const struct cfg_text *text,
    const struct bd_account *account, struct cfg_errors *errors);
static void check_count(struct cfg_errors *errors, const char *what,
    size_t count, enum bd_table_number table);

static void
check_quota(const struct cfg_text *text, const struct bd_account *account,
    struct cfg_errors *errors)
{
	uint32_t promised = 0;
	size_t i;

	for (i = 0; i < text->promise_count; i++)
		if (text->promises[i].account == account->id)
			promised += (uint32_t)text->promises[i].shape.members *
			    text->promises[i].shape.accels;
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

/* Checks rules that concern several tables of the text. */
void
cfg_text_check(const struct cfg_text *text, struct cfg_errors *errors)
{
	size_t i;
	size_t j;

	check_count(errors, "accounts", text->account_count, BD_TABLE_account);
	check_count(errors, "copies of guaranteed shapes", text->promise_count,
	    BD_TABLE_promise);
	check_count(errors, "services", text->service_count, BD_TABLE_service);
	check_count(
	    errors, "upstream addresses", text->runner_count, BD_TABLE_runner);
	for (i = 0; i < text->account_count; i++)
		check_quota(text, &text->accounts[i], errors);
	for (i = 0; i < text->runner_count; i++)
		for (j = 0; j < i; j++)
			if (text->runners[i].id == text->runners[j].id) {
				cfg_errors_add(errors, 0, 0,
				    "upstream address \"%s\" is listed twice "
				    "for one service",
				    text->runners[i].address);
				break;
			}
}
