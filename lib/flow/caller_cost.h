#ifndef CAMPHOR_FLOW_CALLER_COST_H
#define CAMPHOR_FLOW_CALLER_COST_H

/*
 * What a decision costs callers: in which order waiting groups are served,
 * what each leaves for those before it, and what the stop of a run costs. Pure
 * functions.
 */

#include <stdint.h>

#include "flow.h"

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
	FW_RULE_STOP_COST = 2,    /* earlier stops raise the cost of a stop */
	FW_RULE_MIDDLE_PREEMPTS = 4, /* priority 1 preempts lower ones */
	FW_RULE_ORDER = 8,           /* saved work and aging in the order */
};

/* What a job can still earn for its caller. */
enum fw_earning {
	FW_EARNS_NOTHING, /* it will be of no use */
	FW_EARNS_LATE,    /* it will miss its target */
	FW_EARNS_FULLY,
};

/* Stops of a group for the sake of others; further ones are for jobs within
 * their account's guarantee only. */
#define FW_STOPS_FOR_OTHERS_MAX 2

void fw_group_set_limits(struct fw_group *group, const struct bd_flow *flow,
    int64_t wall_ms, const struct fw_settings *settings);
enum fw_earning fw_flow_earning(const struct bd_flow *flow, uint32_t index,
    int64_t run_left_ms, int64_t wall_ms, const struct fw_settings *settings);
uint64_t fw_stop_cost(uint64_t loss, uint32_t stops);

int fw_group_compare(const struct fw_group *x, const struct fw_group *y);
void fw_backlog_add(struct fw_service_view *service,
    const struct fw_group *group, int64_t accels, uint32_t rules_off);
int64_t fw_backlog_before(
    const struct fw_service_view *service, const struct fw_group *group);

#ifdef __cplusplus
}
#endif

#endif
