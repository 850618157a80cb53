#include <string.h>

#include "ctl_config.h"

/* Fetches the active configuration. The caller frees active_config->answer,
 * also on failure. */
enum cli_exit
ctl_active_config(
    const struct ctl_session *ctl, struct ctl_active_config *active_config)
{
	struct cli_call call;
	enum cli_exit code;
	const json_t *text;
	const json_t *author;

	memset(active_config, 0, sizeof(*active_config));
	ctl_call_init(ctl, &call, "GET", "/v1/config");
	code = ctl_call_run(ctl, &call, &active_config->answer);
	if (code != CLI_EXIT_OK)
		return code;
	text = json_object_get(active_config->answer.json, "text");
	author = json_object_get(active_config->answer.json, "author");
	if (!json_is_string(text) || !json_is_string(author)) {
		ctl_message("%s returned no configuration",
		    active_config->answer.server);
		return CLI_EXIT_REFUSED;
	}
	active_config->text = json_string_value(text);
	active_config->author = json_string_value(author);
	active_config->version = json_integer_value(
	    json_object_get(active_config->answer.json, "version"));
	active_config->accepted_ms = json_integer_value(
	    json_object_get(active_config->answer.json, "accepted_ms"));
	return CLI_EXIT_OK;
}
