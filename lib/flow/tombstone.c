#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"
#include "tombstone.h"

/*
 * Cancellations of jobs that are not known: the submission may be on its way,
 * with a VM that is frozen or that forwards it, or in an append that the store
 * carries out late. A job is cancelled by the tombstone of its id and queue
 * whether it is stored before or after it.
 */

/* Largest number of tombstones that one batch deletes. */
#define PRUNED_MAX 16

static bool is_due(const struct bd_board *board, const struct bd_tombstone *row,
    int64_t boot_ms, int64_t retention_ms);

/* Writes the value of a tombstone: the wall time of the cancellation in ms and
 * the id of the queue. */
void
fw_tombstone_format(
    uint64_t queue, int64_t wall_ms, char text[FW_TOMBSTONE_BYTES])
{
	snprintf(text, FW_TOMBSTONE_BYTES, "%" PRId64 " %016" PRIx64, wall_ms,
	    queue);
}

/* Reads the record of a tombstone. Returns FW_EBADRECORD. */
int
fw_tombstone_parse(const struct fw_record *record, struct bd_tombstone *row)
{
	char text[FW_TOMBSTONE_BYTES] = "";

	memset(row, 0, sizeof(*row));
	if (record->value_bytes < sizeof(text))
		memcpy(text, record->value, record->value_bytes);
	if (!fw_flow_id_parse(record->key + 2, &row->id) ||
	    sscanf(text, "%" SCNd64 " %" SCNx64, &row->cancelled_ms,
		&row->queue) != 2)
		return cw_error_set(FW_EBADRECORD, "malformed tombstone");
	row->offset = record->offset;
	row->read_ms = record->read_ms;
	return CW_OK;
}

/* Returns the tombstone of a job, or NULL. Call within a read section. */
const struct bd_tombstone *
fw_tombstone_of(const struct bd_board *board, uint64_t id, uint64_t queue)
{
	const struct bd_tombstone *row = bd_tombstone_lookup(board, id);

	return row != NULL && row->queue == queue ? row : NULL;
}

/* Returns whether a tombstone is no longer needed: its job was deleted, or was
 * not stored within the time for which ended jobs are kept. */
static bool
is_due(const struct bd_board *board, const struct bd_tombstone *row,
    int64_t boot_ms, int64_t retention_ms)
{
	return bd_flow_lookup(board, row->id) == NULL &&
	    boot_ms - row->read_ms > retention_ms + FW_RETENTION_MARGIN_MS;
}

/* Adds the deletions of tombstones that are no longer needed to the open batch
 * of the placer. Call within a read section. Returns FW_ENOMEM. */
int
fw_tombstones_prune(struct fw_writer *writer, const struct bd_board *board,
    int64_t boot_ms, int64_t retention_ms)
{
	const struct bd_tombstone *row;
	uint32_t left = PRUNED_MAX;
	uint32_t cursor = 0;
	int code = CW_OK;
	char name[BD_FLOW_NAME_BYTES];

	while (code == CW_OK && left > 0 &&
	    (row = bd_tombstone_next(board, &cursor)) != NULL) {
		if (!is_due(board, row, boot_ms, retention_ms))
			continue;
		left--;
		snprintf(name, sizeof(name), "%016" PRIx64, row->id);
		code =
		    fw_writer_add(writer, FW_RECORD_TOMBSTONE, name, NULL, 0);
	}
	return code;
}
