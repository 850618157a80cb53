#include <string.h>

#include "evacuation.h"

/* A start that is sent is carried out within this time. */
#define START_TRANSIT_MAX_MS 1000
/* A wall clock that is set gains less than this between two looks; a freeze
 * that is shorter is within the margin for the transit of a start. */
#define FREEZE_MIN_MS 400

/* Prepares for evacuations that are written to a board. */
void
fw_evacuations_init(struct fw_evacuations *evacuations, struct bd_board *board)
{
	memset(evacuations, 0, sizeof(*evacuations));
	evacuations->board = board;
}

void
fw_evacuations_free(struct fw_evacuations *evacuations)
{
	fw_snapshot_ids_free(&evacuations->snapshot);
}

/*
 * Applies the newest record of a zone: a request to evacuate it, or the
 * withdrawal of one. Returns BD_EFULL, BD_ENOMEM or FW_ENOMEM for a request
 * that cannot be held; its record has to be applied again, and until then the
 * copy of the topic must not count as read.
 */
int
fw_evacuation_apply(struct fw_evacuations *evacuations, const char *zone,
    uint64_t offset, bool requested, int64_t now_ms)
{
	struct bd_evacuation row = {
	    .id = cw_id_from_name(zone), .offset = offset, .since_ms = now_ms};
	const struct bd_evacuation *before;
	bool known = false;
	int code;

	if (!requested) {
		if (bd_remove(evacuations->board, BD_TABLE_evacuation,
			BD_WRITER_FLOW, row.id) == CW_OK)
			ev_emit(EV_FLOW_ZONE_OPEN, "zone=%s offset=%llu", zone,
			    (unsigned long long)offset);
		return CW_OK;
	}
	bd_read_begin();
	before = bd_evacuation_lookup(evacuations->board, row.id);
	if (before != NULL) {
		known = true;
		row.since_ms = before->since_ms;
	}
	bd_read_end();
	cw_name_copy(row.zone, sizeof(row.zone), zone);
	code = bd_put(evacuations->board, BD_TABLE_evacuation, BD_WRITER_FLOW,
	    row.id, &row, sizeof(row), NULL);
	if (code == CW_OK) {
		fw_snapshot_ids_add(&evacuations->snapshot, row.id);
		if (evacuations->snapshot.recording &&
		    !evacuations->snapshot.complete)
			code = cw_error_set(
			    FW_ENOMEM, "out of memory while reading a zone");
	}
	if (code != CW_OK)
		ev_emit(EV_FLOW_ZONE_NOT_HELD,
		    "zone=%s offset=%llu reason=\"%s\"", zone,
		    (unsigned long long)offset, cw_error_last());
	else if (!known)
		ev_emit(EV_FLOW_ZONE_EVACUATED, "zone=%s offset=%llu", zone,
		    (unsigned long long)offset);
	return code;
}

/* Call before the records of a snapshot are applied. */
void
fw_evacuations_load_begin(struct fw_evacuations *evacuations)
{
	fw_snapshot_ids_begin(&evacuations->snapshot);
}

/* Call after all records of a snapshot were applied: evacuations that it lacks
 * have been withdrawn. */
void
fw_evacuations_load_end(struct fw_evacuations *evacuations)
{
	const struct bd_evacuation *row;
	uint32_t cursor = 0;

	if (!fw_snapshot_ids_end(&evacuations->snapshot))
		return;
	bd_read_begin();
	while ((row = bd_evacuation_next(evacuations->board, &cursor)) != NULL)
		if (!fw_snapshot_ids_contain(&evacuations->snapshot, row->id)) {
			ev_emit(EV_FLOW_ZONE_OPEN, "zone=%s offset=snapshot",
			    row->zone);
			bd_remove(evacuations->board, BD_TABLE_evacuation,
			    BD_WRITER_FLOW, row->id);
		}
	bd_read_end();
}

/* Returns whether nothing may be started in a zone. Call within a read section.
 */
bool
fw_zone_evacuated(const struct bd_board *board, uint64_t zone)
{
	return bd_evacuation_lookup(board, zone) != NULL;
}

/* Returns whether any zone is evacuated. */
bool
fw_any_zone_evacuated(const struct bd_board *board)
{
	return bd_row_count(board, BD_TABLE_evacuation) > 0;
}

/* Counts the workers of a zone and the runs there. Call within a read section,
 * on a VM whose copies of the workers' entries and of the progress are kept up
 * to date. */
void
fw_zone_count(
    const struct bd_board *board, uint64_t zone, struct fw_zone_use *use)
{
	const struct bd_host *host;
	const struct bd_flow *flow;
	uint32_t cursor = 0;

	*use = (struct fw_zone_use){0};
	while ((host = bd_host_next(board, &cursor)) != NULL)
		use->workers += host->zone == zone;
	cursor = 0;
	while ((flow = bd_flow_next(board, &cursor)) != NULL) {
		const struct bd_step_task *tasks = fw_flow_tasks(flow);
		uint32_t count = fw_flow_task_count(flow);
		uint32_t i;

		for (i = 0; i < count; i++) {
			if (tasks[i].state != BD_STEP_TASK_PLACED)
				continue;
			host = bd_host_lookup(board, tasks[i].host);
			use->runs += host != NULL && host->zone == zone;
		}
	}
}

/* Notes the present times: monotonic, without and with the time in suspension.
 * Call before each use of fw_zones_known. */
void
fw_freeze_look(struct fw_freeze *freeze, int64_t now_ms, int64_t boot_ms)
{
	int64_t ahead_ms = boot_ms - now_ms;

	if (freeze->known && ahead_ms - freeze->ahead_ms > FREEZE_MIN_MS)
		freeze->thawed_ms = now_ms;
	freeze->known = true;
	freeze->ahead_ms = ahead_ms;
}

/* Returns whether a copy of the configuration topic of this age is recent
 * enough to start tasks: in a zone whose evacuation is not in the copy, none
 * starts later than evacuate_ms after it was stored. 0: there is no such bound.
 */
bool
fw_zones_known(const struct fw_freeze *freeze, uint32_t evacuate_ms,
    int64_t age_ms, int64_t now_ms)
{
	if (evacuate_ms == 0)
		return true;
	if (freeze->thawed_ms != 0 && age_ms >= now_ms - freeze->thawed_ms)
		return false;
	return age_ms <= (int64_t)evacuate_ms - START_TRANSIT_MAX_MS;
}
