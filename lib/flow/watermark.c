#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "flow_internal.h"
#include "record_fields.h"
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
 * that received the watermark late takes the records for younger than they are,
 * and waits for longer. For one that has just started, a
 * watermark has the offsets of earlier ones, and how long ago its writer had
 * received them.
 *
 * It also tells up to when the first starts of the runs that its placer had
 * placed are answered, or noted in the records of their jobs.
 */

/* The latest watermarks of so many terms stay in snapshots of the topic. */
#define KEYS BD_SETTLED_TERMS_MAX
/* A watermark is written with other records of its topic after this time, */
#define GAP_SHARED_MS 300
/* and by itself after this time. */
#define GAP_MS 1000
/* Least time between two earlier ones that it names, and the age of the oldest:
 * nothing that is noted in the progress topic lasts for longer. */
#define EARLIER_GAP_MS 500
#define EARLIER_MAX_MS 24000
#define EARLIER_COUNT_MAX (EARLIER_MAX_MS / EARLIER_GAP_MS + 1)
/* Layout, position, term, time; and two fields for each earlier one. */
#define HEAD_FIELDS 4

static void add_mark(
    struct bd_watermarks *row, uint64_t position, int64_t stored_ms);
static void add_term(
    struct bd_watermarks *row, uint64_t term, int64_t settled_ms);
static bool read_row(
    struct fw_cursor *cursor, struct bd_watermarks *row, int64_t read_ms);
static uint32_t pick_earlier(const struct bd_watermarks *row, int64_t boot_ms,
    uint32_t picked[EARLIER_COUNT_MAX]);
static bool is_due(const struct fw_placer *placer, int64_t now_ms);

/* Adds a watermark to a row unless a known one tells as much. */
static void
add_mark(struct bd_watermarks *row, uint64_t position, int64_t stored_ms)
{
	struct bd_watermark *items = row->items;
	uint32_t at = 0;
	uint32_t i;

	while (at < row->count && items[at].position < position)
		at++;
	if (at < row->count && items[at].stored_ms <= stored_ms)
		return;
	for (i = 0; i < at; i++)
		if (items[i].stored_ms > stored_ms)
			items[i].stored_ms = stored_ms;
	if (at < row->count && items[at].position == position) {
		items[at].stored_ms = stored_ms;
		return;
	}
	if (row->count == BD_WATERMARKS_MAX) {
		if (at == 0)
			return;
		memmove(items, items + 1,
		    (BD_WATERMARKS_MAX - 1) * sizeof(items[0]));
		row->count--;
		at--;
	}
	memmove(
	    items + at + 1, items + at, (row->count - at) * sizeof(items[0]));
	items[at] = (struct bd_watermark){position, stored_ms};
	row->count++;
}

/* Notes what is settled of a term. The oldest term makes room. */
static void
add_term(struct bd_watermarks *row, uint64_t term, int64_t settled_ms)
{
	struct bd_settled_term *terms = row->terms;
	uint32_t oldest = 0;
	uint32_t i;

	for (i = 0; i < row->term_count; i++) {
		if (terms[i].term == term) {
			if (terms[i].settled_ms < settled_ms)
				terms[i].settled_ms = settled_ms;
			return;
		}
		if (terms[i].term < terms[oldest].term)
			oldest = i;
	}
	if (row->term_count < BD_SETTLED_TERMS_MAX)
		oldest = row->term_count++;
	else if (term < terms[oldest].term)
		return;
	terms[oldest] = (struct bd_settled_term){term, settled_ms};
}

/* Reads a watermark into a row. Returns false if it is malformed. */
static bool
read_row(struct fw_cursor *cursor, struct bd_watermarks *row, int64_t read_ms)
{
	bool valid = fw_next_int(cursor, UINT32_MAX) == FW_LAYOUT_VERSION;
	uint64_t position = fw_next_id(cursor);
	uint64_t term = fw_next_id(cursor);
	int64_t settled_ms = fw_next_int(cursor, INT64_MAX);

	if (!valid || cursor->malformed)
		return false;
	add_mark(row, position, read_ms);
	add_term(row, term, settled_ms);
	while (!cursor->malformed && cursor->remaining > 0) {
		uint64_t earlier = fw_next_id(cursor);
		int64_t ago_ms = fw_next_int(cursor, INT32_MAX);

		if (!cursor->malformed)
			add_mark(row, earlier, read_ms - ago_ms);
	}
	return !cursor->malformed;
}

/* Applies a watermark. One that was applied before has no effect. Returns
 * FW_EBADRECORD, after which the table is unchanged. */
int
fw_watermark_apply(struct bd_board *board, const struct fw_record *record)
{
	struct bd_watermarks row = {.id = BD_CONFIG_ID};
	const struct bd_watermarks *known;
	msgpack_unpacked unpacked;
	struct fw_cursor cursor;
	bool valid;

	bd_read_begin();
	known = bd_watermarks_lookup(board, BD_CONFIG_ID);
	if (known != NULL)
		row = *known;
	bd_read_end();
	valid = fw_open_record(
		    &unpacked, record->value, record->value_bytes, &cursor) &&
	    read_row(&cursor, &row, record->read_ms);
	msgpack_unpacked_destroy(&unpacked);
	if (!valid)
		return cw_error_set(FW_EBADRECORD, "malformed watermark");
	return bd_put(board, BD_TABLE_watermarks, BD_WRITER_FLOW, BD_CONFIG_ID,
	    &row, sizeof(row), NULL);
}

/* Returns the time in ms for which a record of the progress topic has been
 * stored at least, as far as this VM knows. boot_ms is the present time by the
 * clock that counts suspension. Call within a read section. */
int64_t
fw_record_age_ms(const struct bd_board *board, uint64_t offset, int64_t boot_ms)
{
	const struct bd_watermarks *row =
	    bd_watermarks_lookup(board, BD_CONFIG_ID);
	uint32_t i;

	for (i = 0; row != NULL && i < row->count; i++)
		if (row->items[i].position > offset)
			return boot_ms > row->items[i].stored_ms
			    ? boot_ms - row->items[i].stored_ms
			    : 0;
	return 0;
}

/* Returns the time up to which the first starts of the runs that the placer of
 * a term had placed are known to be settled, as bd_flow.stored_ms, or 0. Call
 * within a read section. */
int64_t
fw_settled_ms(const struct bd_board *board, uint64_t term)
{
	const struct bd_watermarks *row =
	    bd_watermarks_lookup(board, BD_CONFIG_ID);
	uint32_t i;

	for (i = 0; row != NULL && i < row->term_count; i++)
		if (row->terms[i].term == term)
			return row->terms[i].settled_ms;
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

/* Picks the earlier ones that a watermark names, the latest first, by their
 * index in a row. Returns their number. */
static uint32_t
pick_earlier(const struct bd_watermarks *row, int64_t boot_ms,
    uint32_t picked[EARLIER_COUNT_MAX])
{
	int64_t last_ms = boot_ms;
	uint32_t count = 0;
	uint32_t i;

	for (i = row != NULL ? row->count : 0; i > 0; i--) {
		int64_t stored_ms = row->items[i - 1].stored_ms;

		if (last_ms - stored_ms < EARLIER_GAP_MS)
			continue;
		if (count == EARLIER_COUNT_MAX)
			break;
		picked[count++] = i - 1;
		last_ms = stored_ms;
		if (boot_ms - stored_ms > EARLIER_MAX_MS)
			break;
	}
	return count;
}

/* Adds a watermark to the placer's open batch of the jobs topic if one is due.
 * Call within a read section. Returns FW_ENOMEM. */
int
fw_watermark_add(struct fw_placer *placer, int64_t now_ms)
{
	const struct bd_watermarks *row =
	    bd_watermarks_lookup(placer->parts.board, BD_CONFIG_ID);
	struct fw_watermark_writer *latest = &placer->watermark;
	uint32_t picked[EARLIER_COUNT_MAX];
	char name[BD_FLOW_NAME_BYTES];
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	uint32_t count;
	uint32_t i;
	size_t bytes;
	void *value;

	if (!is_due(placer, now_ms))
		return CW_OK;
	latest->position = fw_follower_position(placer->parts.progress);
	latest->settled_ms = fw_first_starts_settled_ms(placer);
	latest->written_ms = now_ms;
	latest->is_urgent = latest->is_urgent && placer->progress.count > 0;
	count = pick_earlier(row, placer->boot_ms, picked);
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, HEAD_FIELDS + 2 * (size_t)count);
	msgpack_pack_uint32(&packer, FW_LAYOUT_VERSION);
	msgpack_pack_uint64(&packer, latest->position);
	msgpack_pack_uint64(&packer, placer->term);
	msgpack_pack_int64(&packer, latest->settled_ms);
	for (i = 0; i < count; i++) {
		msgpack_pack_uint64(&packer, row->items[picked[i]].position);
		msgpack_pack_int64(
		    &packer, placer->boot_ms - row->items[picked[i]].stored_ms);
	}
	fw_release_buffer(&buffer, &value, &bytes);
	if (value == NULL)
		return cw_error_set(FW_ENOMEM, "out of memory for a watermark");
	snprintf(name, sizeof(name), "%016" PRIx64, placer->term % KEYS);
	return fw_writer_add(
	    &placer->job_states, FW_RECORD_WATERMARK, name, value, bytes);
}
