#ifndef CAMPHOR_FLOW_EVACUATION_H
#define CAMPHOR_FLOW_EVACUATION_H

#include "flow.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Availability zones in which operators ask that nothing is started. The
 * follower of the configuration topic writes table "evacuation"; any thread
 * reads it.
 */
struct fw_evacuations {
	struct bd_board *board;
	struct fw_snapshot_ids snapshot;
};

void fw_evacuations_init(
    struct fw_evacuations *evacuations, struct bd_board *board);
void fw_evacuations_free(struct fw_evacuations *evacuations);
int fw_evacuation_apply(struct fw_evacuations *evacuations, const char *zone,
    uint64_t offset, bool requested, int64_t now_ms);
void fw_evacuations_load_begin(struct fw_evacuations *evacuations);
void fw_evacuations_load_end(struct fw_evacuations *evacuations);

bool fw_zone_evacuated(const struct bd_board *board, uint64_t zone);
bool fw_any_zone_evacuated(const struct bd_board *board);

/* What an evacuated zone still has, as far as this VM knows. */
struct fw_zone_use {
	uint32_t workers; /* with an entry */
	uint32_t runs;    /* placed there and not known to have ended */
};

void fw_zone_count(
    const struct bd_board *board, uint64_t zone, struct fw_zone_use *use);

/* Tells by two clocks when this VM was frozen: its monotonic clock stands still
 * meanwhile, so that what it has read seems to be recent. */
struct fw_freeze {
	bool known;
	int64_t ahead_ms;  /* of the clock that counts suspension */
	int64_t thawed_ms; /* monotonic time of the latest look after one */
};

void fw_freeze_look(struct fw_freeze *freeze, int64_t now_ms, int64_t boot_ms);
bool fw_zones_known(const struct fw_freeze *freeze, uint32_t evacuate_ms,
    int64_t age_ms, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
