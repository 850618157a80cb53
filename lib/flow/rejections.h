#ifndef CAMPHOR_REJECTIONS_H
#define CAMPHOR_REJECTIONS_H

#include "admit.h"

#ifdef __cplusplus
extern "C" {
#endif

/* What this VM has decided on the jobs of its callers. Any thread may use it.
 */
struct fw_rejections;

int fw_rejections_create(struct fw_rejections **out);
void fw_rejections_free(struct fw_rejections *rejections);
void fw_rejections_note(struct fw_rejections *rejections,
    const struct fw_need *need, const struct fw_verdict *verdict,
    int64_t wall_ms);
uint32_t fw_rejections_retry_after_s(
    struct fw_rejections *rejections, const char *name);
uint32_t fw_rejections_find_early(
    struct fw_rejections *rejections, const struct bd_board *board);
uint64_t fw_rejections_count(
    struct fw_rejections *rejections, enum fw_verdict_reason reason);
uint64_t fw_rejections_early(struct fw_rejections *rejections);

bool fw_guarantee_covers(
    const struct bd_board *board, const struct bd_flow *flow);
int fw_overload_check(const struct fw_front *front, const struct bd_flow *flow,
    int64_t wall_ms, int64_t deadline_ms);

#ifdef __cplusplus
}
#endif

#endif
