#ifndef CAMPHOR_FLOW_TOMBSTONE_H
#define CAMPHOR_FLOW_TOMBSTONE_H

/* Included by the sources of lib/flow only. */
#include "flow_internal.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Value of a tombstone's record: two numbers, with a terminator. */
#define FW_TOMBSTONE_BYTES 40
/* Cancellations of unknown jobs are refused beyond so many tombstones. The
 * table has room for as many more, as VMs and late appends add to them at the
 * same time. */
#define FW_TOMBSTONES_MAX 8192

void fw_tombstone_format(
    uint64_t queue, int64_t wall_ms, char text[FW_TOMBSTONE_BYTES]);
int fw_tombstone_parse(
    const struct fw_record *record, struct bd_tombstone *row);
const struct bd_tombstone *fw_tombstone_of(
    const struct bd_board *board, uint64_t id, uint64_t queue);
int fw_tombstones_prune(struct fw_writer *writer, const struct bd_board *board,
    int64_t boot_ms, int64_t retention_ms);

#ifdef __cplusplus
}
#endif

#endif
