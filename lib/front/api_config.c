#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "front_internal.h"

static int set_rejected(
    const struct cfg_errors *errors, struct fr_error *error);
static bool has_operator(const struct cfg_config *config);
static int set_conflict(
    uint64_t base, uint64_t version, struct fr_error *error);

static int
set_rejected(const struct cfg_errors *errors, struct fr_error *error)
{
	return fr_error_set(error, FR_EINVALID, NULL,
	    "the text is refused with %zu error(s)", errors->count);
}

static bool
has_operator(const struct cfg_config *config)
{
	size_t i;

	for (i = 0; i < config->account_count; i++)
		if (config->accounts[i].role == BD_ROLE_OPERATOR)
			return true;
	return false;
}

static int
set_conflict(uint64_t base, uint64_t version, struct fr_error *error)
{
	fr_error_set(error, FR_ECONFLICT, "base",
	    "the text was made from version %llu, version %llu is in force",
	    (unsigned long long)base, (unsigned long long)version);
	error->version = version;
	return FR_ECONFLICT;
}

/* Returns the configuration's version on this VM, 0 before the first one. */
uint64_t
fr_config_version(const struct bd_board *board)
{
	const struct bd_config *config;
	uint64_t version;

	bd_read_begin();
	config = bd_config_lookup(board, BD_CONFIG_ID);
	version = config == NULL ? 0 : config->version;
	bd_read_end();
	return version;
}

/*
 * Checks the syntax, the ranges of values and whether the guaranteed shapes can
 * be placed on the workers. Returns FR_EINVALID with every error of the text in
 * errors, FR_ETOOLARGE, FR_ENOMEM, or FR_EUNAVAILABLE if the guarantee_check
 * hook fails.
 */
int
fr_config_check(struct fr_front *front, const char *text, size_t bytes,
    struct fr_config_counts *counts, struct cfg_errors *errors,
    struct fr_error *error)
{
	const struct fr_hooks *hooks = &front->options.hooks;
	struct cfg_config *parsed = NULL;
	int code;

	assert(counts != NULL && errors != NULL);
	memset(counts, 0, sizeof(*counts));
	memset(errors, 0, sizeof(*errors));
	if (bytes > REC_CONFIG_TEXT_BYTES_MAX)
		return fr_error_set(error, FR_ETOOLARGE, NULL,
		    "the text is longer than %d bytes",
		    REC_CONFIG_TEXT_BYTES_MAX);
	code = cfg_config_parse(text, bytes, &parsed, errors);
	if (code == CFG_ENOMEM)
		return fr_error_set(
		    error, FR_ENOMEM, NULL, "no memory for the text");
	if (code != CW_OK)
		return set_rejected(errors, error);
	if (!has_operator(parsed))
		cfg_errors_add(errors, 0, 0,
		    "no account has role = \"operator\"; nobody could change "
		    "this text again");
	if (hooks->guarantee_check != NULL)
		code = hooks->guarantee_check(
		    hooks->guarantee_check_ctx, parsed, errors);
	counts->accounts = (uint32_t)parsed->account_count;
	counts->shapes = (uint32_t)parsed->promise_count;
	counts->services = (uint32_t)parsed->service_count;
	counts->upstreams = (uint32_t)parsed->runner_count;
	cfg_config_free(parsed);
	if (errors->count > 0)
		return set_rejected(errors, error);
	if (code != CW_OK)
		return fr_error_set(error, FR_EUNAVAILABLE, NULL,
		    "the fit of the shapes cannot be checked now");
	return CW_OK;
}

/*
 * Checks a configuration text that was derived from version base (0: none),
 * appends it to the log and waits until the record has been applied. Returns
 * FR_ECONFLICT, with the current version in error, if another text has been
 * accepted since base, and the errors of fr_config_check and fr_propose.
 */
int
fr_config_put(struct fr_front *front, const struct fr_caller *caller,
    uint64_t base, const char *text, size_t bytes, uint64_t *version,
    struct cfg_errors *errors, struct fr_error *error)
{
	const struct bd_board *board = front->options.board;
	uint64_t current_version = fr_config_version(board);
	struct fr_config_counts counts;
	struct rec rec = {0};
	uint64_t position;
	int state_code;
	int code;

	memset(errors, 0, sizeof(*errors));
	*version = current_version;
	if (base != current_version)
		return set_conflict(base, current_version, error);
	code = fr_config_check(front, text, bytes, &counts, errors, error);
	if (code != CW_OK)
		return code;
	rec.version = REC_VERSION;
	rec.kind = REC_CONFIG;
	rec.body.config.base_version = base;
	rec.body.config.text = text;
	rec.body.config.text_bytes = (uint32_t)bytes;
	cw_name_copy(rec.body.config.author, sizeof(rec.body.config.author),
	    caller->name);
	code = fr_propose(front, &rec, &position, error, &state_code);
	current_version = fr_config_version(board);
	if (state_code == ST_ECONFLICT || state_code == ST_ESTALE)
		return set_conflict(base, current_version, error);
	*version = code == CW_OK ? base + 1 : current_version;
	return code;
}

/* Copies the configuration row with its text. Before the first configuration
 * the version is 0 and the text is empty. The caller frees it. Returns
 * FR_ENOMEM. */
int
fr_config_get(struct fr_front *front, struct bd_config **out)
{
	const struct bd_config *row;
	size_t bytes = sizeof(*row);

	bd_read_begin();
	row = bd_config_lookup(front->options.board, BD_CONFIG_ID);
	if (row != NULL)
		bytes = bd_row_bytes(row);
	*out = calloc(1, bytes);
	if (*out != NULL && row != NULL)
		memcpy(*out, row, bytes);
	bd_read_end();
	return *out == NULL ? FR_ENOMEM : CW_OK;
}
