#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "config.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes);

static void check_errors(int status, const struct cfg_errors *errors);

/* Checks that a failure lists at least one error, each with a NUL-terminated
 * text, and that success lists none. */
static void
check_errors(int status, const struct cfg_errors *errors)
{
	size_t i;

	if ((status == CW_OK) != (errors->count == 0) ||
	    errors->count > CFG_ERRORS_MAX)
		abort();
	for (i = 0; i < errors->count; i++)
		if (errors->errors[i].text[0] == '\0' ||
		    memchr(errors->errors[i].text, '\0',
			sizeof(errors->errors[i].text)) == NULL)
			abort();
}

/* Parses the input as the operators' configuration and as the settings of a
 * process. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes)
{
	static struct cfg_settings settings;
	static struct cfg_errors errors;
	struct cfg_config *config = NULL;
	size_t i;
	int status;

	errors.count = 0;
	status = cfg_config_parse((const char *)data, bytes, &config, &errors);
	check_errors(status, &errors);
	if ((status == CW_OK) != (config != NULL))
		abort();
	for (i = 0; config != NULL && i < config->account_count; i++)
		if (config->accounts[i].id == 0 ||
		    config->accounts[i].name[0] == '\0')
			abort();
	cfg_config_free(config);

	errors.count = 0;
	status =
	    cfg_settings_parse((const char *)data, bytes, &settings, &errors);
	check_errors(status, &errors);
	return 0;
}
