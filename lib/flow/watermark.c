#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"
#include "watermark.h"

/*
 * Records of the progress topic tell successors how long something may last:
 * the leases of a worker, a start on its way. That time counts from when the
 * record was stored, which a successor reads only when it takes over. Wall
 * clocks of VMs differ and jump, so they are not compared.
 *
 * A watermark is a record of the jobs topic, which every VM follows at all
 * times. It names an offset of the progress topic: the records below it had
 * been read back before the watermark was written, so they were stored before
 * any VM received it. Each VM keeps that time by its own steady clock. A VM
 * that received the watermark late, was frozen or has just started takes the
 * records for younger than they are, and waits for longer.
 *
 * It also tells up to when the first starts of the runs that its placer had
 * placed are answered, or noted in the records of their jobs.
 */

/* The latest watermarks of so many terms stay in snapshots of the topic. */
#define KEYS 16
#define TEXT_BYTES 72
/* A watermark is written with other records of its topic after this time, */
#define GAP_SHARED_MS 300
/* and by itself after this time. */
#define GAP_MS 1000

static bool is_due(const struct fw_placer *placer, int64_t now_ms);

/* Applies a watermark. One that was applied before has no effect. */
int
fw_watermark_apply(struct bd_board *board, const struct fw_record *record)
{
	struct bd_watermarks row = {.id = BD_CONFIG_ID};
	const struct bd_watermarks *known;
	struct bd_watermark mark = {.read_ms = record->read_ms};
	const struct bd_watermark *last = NULL;
	char text[TEXT_BYTES] = "";

	if (record->value_bytes < sizeof(text))
		memcpy(text, record->value, record->value_bytes);
	if (sscanf(text, "%" SCNu64 " %" SCNu64 " %" SCNd64, &mark.position,
		&mark.term, &mark.settled_ms) != 3)
		return cw_error_set(FW_EBADRECORD, "malformed watermark");
	bd_read_begin();
	known = bd_watermarks_lookup(board, BD_CONFIG_ID);
	if (known != NULL)
		row = *known;
	bd_read_end();
	if (row.count > 0)
		last = &row.items[row.count - 1];
	if (last != NULL && last->position > mark.position)
		return CW_OK;
	if (last != NULL && last->position == mark.position &&
	    last->term == mark.term) {
		if (mark.settled_ms <= last->settled_ms)
			return CW_OK;
		mark.read_ms = last->read_ms;
		row.count--;
	}
	if (row.count == BD_WATERMARKS_MAX) {
		memmove(row.items, row.items + 1,
		    (BD_WATERMARKS_MAX - 1) * sizeof(row.items[0]));
		row.count--;
	}
	row.items[row.count++] = mark;
	return bd_put(board, BD_TABLE_watermarks, BD_WRITER_FLOW, BD_CONFIG_ID,
	    &row, sizeof(row), NULL);
}

/* Returns a monotonic time by which a record of the progress topic had been
 * stored, as far as this VM knows; now_ms at the latest, as it was read by
 * then. Call within a read section. */
int64_t
fw_stored_before_ms(
    const struct bd_board *board, uint64_t offset, int64_t now_ms)
{
	const struct bd_watermarks *row =
	    bd_watermarks_lookup(board, BD_CONFIG_ID);
	uint32_t i;

	for (i = 0; row != NULL && i < row->count; i++)
		if (row->items[i].position > offset)
			return row->items[i].read_ms < now_ms
			    ? row->items[i].read_ms
			    : now_ms;
	return now_ms;
}

/* Returns the time up to which all that the placer of a term had decided is
 * known to be stored, as bd_flow.stored_ms, or 0. Call within a read section.
 */
int64_t
fw_settled_ms(const struct bd_board *board, uint64_t term)
{
	const struct bd_watermarks *row =
	    bd_watermarks_lookup(board, BD_CONFIG_ID);
	uint32_t i;

	for (i = row != NULL ? row->count : 0; i > 0; i--)
		if (row->items[i - 1].term == term)
			return row->items[i - 1].settled_ms;
	return 0;
}

/* Returns whether the latest watermark does not cover all records that have
 * been read back, or not the first starts that the latest ones are about, and
 * the next watermark is due. */
static bool
is_due(const struct fw_placer *placer, int64_t now_ms)
{
	const struct fw_watermark_writer *latest = &placer->watermark;
	bool shared = placer->job_states.count > 0 || latest->is_urgent;

	return (fw_follower_position(placer->parts.progress) !=
		       latest->position ||
		   latest->settled_ms < placer->decided_ms) &&
	    now_ms - latest->written_ms >= (shared ? GAP_SHARED_MS : GAP_MS);
}

/* Adds a watermark to the placer's open batch of the jobs topic if one is due.
 * Returns FW_ENOMEM. */
int
fw_watermark_add(struct fw_placer *placer, int64_t now_ms)
{
	struct fw_watermark_writer *latest = &placer->watermark;
	char name[BD_FLOW_NAME_BYTES];
	char *text;
	int bytes;

	if (!is_due(placer, now_ms))
		return CW_OK;
	text = malloc(TEXT_BYTES);
	if (text == NULL)
		return cw_error_set(FW_ENOMEM, "out of memory for a watermark");
	latest->position = fw_follower_position(placer->parts.progress);
	latest->settled_ms = fw_first_starts_settled_ms(placer);
	latest->written_ms = now_ms;
	latest->is_urgent = latest->is_urgent && placer->progress.count > 0;
	bytes = snprintf(text, TEXT_BYTES, "%" PRIu64 " %" PRIu64 " %" PRId64,
	    latest->position, placer->term, latest->settled_ms);
	snprintf(name, sizeof(name), "%016" PRIx64, placer->term % KEYS);
	return fw_writer_add(&placer->job_states, FW_RECORD_WATERMARK, name,
	    text, (size_t)bytes);
}
