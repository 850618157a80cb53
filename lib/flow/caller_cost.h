#ifndef CAMPHOR_FLOW_CALLER_COST_H
#define CAMPHOR_FLOW_CALLER_COST_H

/*
 * What a decision costs callers: in which order waiting groups are served, and
 * what each leaves for those before it. Pure functions.
 */

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct fw_group;
struct fw_service_view;

/* Priorities whose backlog is told apart. Lower ones count as the last of
 * these, and leave nothing to one another. */
#define FW_PRIORITY_LEVELS 8

/* Rules that can be switched off, to compare them under the same load. */
enum fw_cost_rule {
	FW_RULE_LEAVE_TIMELY = 1, /* backlog of priorities other than 0 */
};

int fw_group_compare(const struct fw_group *x, const struct fw_group *y);
void fw_backlog_add(struct fw_service_view *service,
    const struct fw_group *group, int64_t accels, uint32_t rules_off);
int64_t fw_backlog_before(
    const struct fw_service_view *service, const struct fw_group *group);

#ifdef __cplusplus
}
#endif

#endif
