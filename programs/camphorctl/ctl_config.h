#ifndef CAMPHORCTL_CTL_CONFIG_H
#define CAMPHORCTL_CTL_CONFIG_H

#include "ctl.h"

/* Limit of the server, see docs/api.md. */
#define CTL_CONFIG_BYTES_MAX (256UL * 1024)

/* The active configuration. */
struct ctl_active_config {
	struct cli_answer answer; /* owns the strings below */
	int64_t version;
	const char *author;
	int64_t accepted_ms;
	const char *text;
};

enum cli_exit ctl_active_config(
    const struct ctl_session *ctl, struct ctl_active_config *active_config);
enum cli_exit ctl_check_config(
    const char *path, const char *text, size_t bytes, int64_t line_offset);

#endif
