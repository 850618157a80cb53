#ifndef CAMPHOR_FLOW_STOPS_H
#define CAMPHOR_FLOW_STOPS_H

/* How often groups of tasks were stopped for the sake of others. */

#include "flow.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A group that was stopped for others in this term: a gang, or one task. */
struct fw_stop {
	uint64_t flow;
	uint32_t first; /* index of its first task */
	uint32_t next;  /* entry after it in the bucket plus 1, or 0 */
	uint32_t count;
	uint64_t cost; /* of all its stops, in core-milliseconds */
	int64_t at_ms; /* monotonic time of the latest one */
	char by[BD_FLOW_NAME_BYTES]; /* the job for which that was */
};

/* Entries of the table. What does not fit is counted by the jobs' rows. */
#define FW_STOPS_MAX 8192
#define FW_STOP_BUCKETS 1024

struct fw_stops {
	struct fw_stop *items;
	uint32_t count;
	uint32_t capacity;
	uint32_t buckets[FW_STOP_BUCKETS]; /* entry plus 1, or 0 */
};

const struct fw_stop *fw_stops_find(
    const struct fw_stops *stops, uint64_t flow, uint32_t first);
uint32_t fw_stops_of(const struct fw_stops *stops, const struct bd_flow *flow,
    uint32_t first, uint32_t members, int64_t term_wall_ms);
void fw_stops_note(struct fw_stops *stops, const struct bd_board *board,
    const struct fw_stop *stop);
void fw_stops_clear(struct fw_stops *stops);

#ifdef __cplusplus
}
#endif

#endif
