#ifndef CAMPHOR_FLOW_WATERMARK_H
#define CAMPHOR_FLOW_WATERMARK_H

#include "flow.h"

#ifdef __cplusplus
extern "C" {
#endif

struct fw_placer;

/* By when records of the progress topic were stored, see watermark.c. */
int fw_watermark_apply(struct bd_board *board, const struct fw_record *record);
int64_t fw_record_age_ms(
    const struct bd_board *board, uint64_t offset, int64_t boot_ms);
int64_t fw_settled_ms(const struct bd_board *board, uint64_t term);
int fw_watermark_add(struct fw_placer *placer, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
