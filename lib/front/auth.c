#include <assert.h>
#include <string.h>

#include "front.h"

static const struct bd_account *find_account(
    const struct bd_board *board, const char *name, const char *key);

/*
 * Finds an account by its key. Without a name the keys of all accounts are
 * compared, with no early exit, so that the duration does not reveal which
 * account matched. Must be called in a read section.
 */
static const struct bd_account *
find_account(const struct bd_board *board, const char *name, const char *key)
{
	const struct bd_account *found = NULL;
	const struct bd_account *row;
	uint32_t cursor = 0;

	if (name != NULL && *name != '\0') {
		row = bd_account_lookup(board, cw_id_from_name(name));
		if (row == NULL || strcmp(row->name, name) != 0)
			return NULL;
		return cfg_key_matches(row, key) ? row : NULL;
	}
	while ((row = bd_account_next(board, &cursor)) != NULL)
		if (cfg_key_matches(row, key))
			found = row;
	return found;
}

/*
 * Authenticates a key and checks the permission of its account. account and key
 * are header values and may be NULL. Returns FR_EUNAUTHENTICATED or
 * FR_EFORBIDDEN. Before the first configuration there are no accounts:
 * FR_PERMISSION_BOOTSTRAP is then granted to everybody, as an operator without
 * an account.
 */
int
fr_auth_check(const struct bd_board *board, const char *account,
    const char *key, enum fr_permission permission, struct fr_caller *caller)
{
	const struct bd_config *config;
	const struct bd_account *row = NULL;
	bool is_configured;

	assert(board != NULL && caller != NULL);
	memset(caller, 0, sizeof(*caller));
	bd_read_begin();
	config = bd_config_lookup(board, BD_CONFIG_ID);
	is_configured = config != NULL && config->version > 0;
	if (key != NULL && is_configured)
		row = find_account(board, account, key);
	if (row != NULL) {
		caller->account = row->id;
		caller->role = row->role;
		memcpy(caller->name, row->name, sizeof(caller->name));
	}
	bd_read_end();
	if (!is_configured && permission == FR_PERMISSION_BOOTSTRAP) {
		caller->role = BD_ROLE_OPERATOR;
		cw_name_copy(caller->name, sizeof(caller->name), "bootstrap");
		return CW_OK;
	}
	if (row == NULL)
		return cw_error_set(FR_EUNAUTHENTICATED, "%s",
		    is_configured ? "no account has this key"
				  : "no configuration was accepted yet");
	if (permission != FR_PERMISSION_CALLER &&
	    caller->role != BD_ROLE_OPERATOR)
		return cw_error_set(FR_EFORBIDDEN,
		    "account \"%s\" is not an operator", caller->name);
	return CW_OK;
}
