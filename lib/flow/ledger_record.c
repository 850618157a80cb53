#include <string.h>

#include "record_fields.h"

/* Unit of the sums in the record, so that each takes at most 5 bytes. */
#define UNIT_MS 100
#define LEDGER_FIELDS 7
#define POOL_FIELDS 12

static void pack_sum(msgpack_packer *packer, uint64_t value, uint64_t unit);
static void pack_room(msgpack_packer *packer, const struct bd_room *room);
static void pack_work(msgpack_packer *packer, const struct bd_work *work);
static void pack_pool(msgpack_packer *packer, const struct bd_ledger_pool *pool,
    uint32_t accounts);
static uint64_t read_sum(struct fw_cursor *cursor, uint64_t unit);
static void read_room(struct fw_cursor *cursor, struct bd_room *room);
static void read_work(struct fw_cursor *cursor, struct bd_work *work);
static void read_pool(
    struct fw_cursor *cursor, struct bd_ledger_pool *pool, uint32_t accounts);
static uint32_t read_list(
    struct fw_cursor *cursor, struct fw_cursor *list, uint32_t max);
static void read_ledger(struct fw_cursor *cursor, struct bd_ledger *out);

/* Packs a sum in a unit, rounded up, so that what is not 0 stays so. */
static void
pack_sum(msgpack_packer *packer, uint64_t value, uint64_t unit)
{
	value = value / unit + (value % unit != 0);
	msgpack_pack_uint64(packer, value < UINT32_MAX ? value : UINT32_MAX);
}

static void
pack_room(msgpack_packer *packer, const struct bd_room *room)
{
	msgpack_pack_array(packer, 2);
	pack_sum(packer, room->accels, 1);
	pack_sum(packer, room->cores_milli, 1);
}

static void
pack_work(msgpack_packer *packer, const struct bd_work *work)
{
	pack_sum(packer, work->accel_ms, UNIT_MS);
	pack_sum(packer, work->core_ms, UNIT_MS);
}

static void
pack_pool(msgpack_packer *packer, const struct bd_ledger_pool *pool,
    uint32_t accounts)
{
	uint32_t i;
	uint32_t k;

	msgpack_pack_array(packer, POOL_FIELDS);
	msgpack_pack_uint64(packer, pool->id);
	pack_room(packer, &pool->present);
	pack_room(packer, &pool->returning);
	pack_room(packer, &pool->leaving);
	pack_room(packer, &pool->held);
	pack_room(packer, &pool->reserved);
	for (i = 0; i < 2; i++) {
		pack_room(packer, &pool->free[i]);
		pack_room(packer, &pool->free_widest[i]);
	}
	msgpack_pack_array(packer,
	    BD_LEDGER_LEVELS * 2 * (1 + BD_LEDGER_SLACKS + BD_LEDGER_SIZES));
	for (i = 0; i < BD_LEDGER_LEVELS; i++) {
		pack_work(packer, &pool->levels[i].running);
		for (k = 0; k < BD_LEDGER_SLACKS; k++)
			pack_work(packer, &pool->levels[i].by_slack[k]);
		for (k = 0; k < BD_LEDGER_SIZES; k++)
			pack_work(packer, &pool->levels[i].by_size[k]);
	}
	msgpack_pack_array(packer, accounts * 2 * BD_LEDGER_LEVELS);
	for (i = 0; i < accounts; i++)
		for (k = 0; k < BD_LEDGER_LEVELS; k++)
			pack_work(packer, &pool->accounts[i][k]);
}

/* Encodes a ledger; the caller frees *out. Returns FW_ENOMEM. */
int
fw_ledger_encode(const struct bd_ledger *ledger, void **out, size_t *bytes)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	uint32_t i;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, LEDGER_FIELDS);
	msgpack_pack_uint32(&packer, FW_LAYOUT_VERSION);
	msgpack_pack_uint64(&packer, ledger->term);
	msgpack_pack_uint64(&packer, (uint64_t)ledger->at_ms);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_uint64(&packer, ledger->late_jobs);
	msgpack_pack_uint32(&packer, ledger->left_out);
	msgpack_pack_array(&packer, ledger->account_count * 3);
	for (i = 0; i < ledger->account_count; i++) {
		msgpack_pack_uint64(&packer, ledger->accounts[i].id);
		pack_sum(&packer, ledger->accounts[i].urgent_accels, 1);
		pack_sum(&packer, ledger->accounts[i].guaranteed_accels, 1);
	}
	msgpack_pack_array(&packer, ledger->queue_count * 2);
	for (i = 0; i < ledger->queue_count; i++) {
		msgpack_pack_uint64(&packer, ledger->queues[i].id);
		pack_sum(&packer, ledger->queues[i].ratio_milli, 1);
	}
	msgpack_pack_array(&packer, ledger->pool_count);
	for (i = 0; i < ledger->pool_count; i++)
		pack_pool(&packer, &ledger->pools[i], ledger->account_count);
	fw_release_buffer(&buffer, out, bytes);
	return *out != NULL ? CW_OK
			    : cw_error_set(FW_ENOMEM, "no memory for a record");
}

static uint64_t
read_sum(struct fw_cursor *cursor, uint64_t unit)
{
	return (uint64_t)fw_next_int(cursor, UINT32_MAX) * unit;
}

static void
read_room(struct fw_cursor *cursor, struct bd_room *room)
{
	struct fw_cursor fields;

	fw_next_array(cursor, &fields);
	room->accels = read_sum(&fields, 1);
	room->cores_milli = read_sum(&fields, 1);
	cursor->malformed |= fields.malformed;
}

static void
read_work(struct fw_cursor *cursor, struct bd_work *work)
{
	work->accel_ms = read_sum(cursor, UNIT_MS);
	work->core_ms = read_sum(cursor, UNIT_MS);
}

static void
read_pool(
    struct fw_cursor *cursor, struct bd_ledger_pool *pool, uint32_t accounts)
{
	struct fw_cursor fields;
	struct fw_cursor list;
	uint32_t i;
	uint32_t k;

	fw_next_array(cursor, &fields);
	pool->id = fw_next_id(&fields);
	read_room(&fields, &pool->present);
	read_room(&fields, &pool->returning);
	read_room(&fields, &pool->leaving);
	read_room(&fields, &pool->held);
	read_room(&fields, &pool->reserved);
	for (i = 0; i < 2; i++) {
		read_room(&fields, &pool->free[i]);
		read_room(&fields, &pool->free_widest[i]);
	}
	fw_next_array(&fields, &list);
	for (i = 0; i < BD_LEDGER_LEVELS; i++) {
		read_work(&list, &pool->levels[i].running);
		for (k = 0; k < BD_LEDGER_SLACKS; k++)
			read_work(&list, &pool->levels[i].by_slack[k]);
		for (k = 0; k < BD_LEDGER_SIZES; k++)
			read_work(&list, &pool->levels[i].by_size[k]);
	}
	cursor->malformed |= list.malformed;
	fw_next_array(&fields, &list);
	for (i = 0; i < accounts; i++)
		for (k = 0; k < BD_LEDGER_LEVELS; k++)
			read_work(&list, &pool->accounts[i][k]);
	cursor->malformed |= list.malformed || fields.malformed;
}

/* Opens a list and returns the number of its elements, at most max. */
static uint32_t
read_list(struct fw_cursor *cursor, struct fw_cursor *list, uint32_t max)
{
	fw_next_array(cursor, list);
	if (list->remaining > max)
		cursor->malformed = true;
	return cursor->malformed ? 0 : list->remaining;
}

static void
read_ledger(struct fw_cursor *cursor, struct bd_ledger *out)
{
	struct fw_cursor list;
	uint32_t i;

	out->term = fw_next_id(cursor);
	out->at_ms = fw_next_int(cursor, INT64_MAX);
	fw_next_array(cursor, &list);
	out->late_jobs = fw_next_id(&list);
	out->left_out = (uint32_t)fw_next_int(&list, 1);
	cursor->malformed |= list.malformed;
	out->account_count =
	    read_list(cursor, &list, BD_LEDGER_ACCOUNTS * 3) / 3;
	for (i = 0; i < out->account_count; i++) {
		out->accounts[i].id = fw_next_id(&list);
		out->accounts[i].urgent_accels = read_sum(&list, 1);
		out->accounts[i].guaranteed_accels = read_sum(&list, 1);
	}
	cursor->malformed |= list.malformed;
	out->queue_count = read_list(cursor, &list, BD_LEDGER_QUEUES * 2) / 2;
	for (i = 0; i < out->queue_count; i++) {
		out->queues[i].id = fw_next_id(&list);
		out->queues[i].ratio_milli = read_sum(&list, 1);
	}
	cursor->malformed |= list.malformed;
	out->pool_count = read_list(cursor, &list, BD_LEDGER_POOLS);
	for (i = 0; i < out->pool_count; i++)
		read_pool(&list, &out->pools[i], out->account_count);
	cursor->malformed |= list.malformed;
}

/* Decodes a ledger. Returns FW_EBADRECORD. */
int
fw_ledger_decode(const void *data, size_t bytes, struct bd_ledger *out)
{
	msgpack_unpacked unpacked;
	struct fw_cursor cursor = {.malformed = true};

	memset(out, 0, sizeof(*out));
	if (fw_open_record(&unpacked, data, bytes, &cursor)) {
		cursor.malformed |= fw_next_int(&cursor, FW_LAYOUT_VERSION) !=
		    FW_LAYOUT_VERSION;
		read_ledger(&cursor, out);
	}
	msgpack_unpacked_destroy(&unpacked);
	if (cursor.malformed)
		return cw_error_set(FW_EBADRECORD, "malformed ledger record");
	return CW_OK;
}

/* Replaces the ledger by that of a record, unless that one is of an earlier
 * term. Without a value, or if it cannot be decoded, there is no ledger
 * afterwards. Returns FW_EBADRECORD or a status code of the board. */
int
fw_ledger_apply(struct bd_board *board, const struct fw_record *record)
{
	const struct bd_ledger *known;
	struct bd_ledger row;
	bool older;
	int code = CW_OK;

	if (record->value != NULL)
		code =
		    fw_ledger_decode(record->value, record->value_bytes, &row);
	if (record->value == NULL || code != CW_OK) {
		bd_remove(board, BD_TABLE_ledger, BD_WRITER_FLOW, BD_CONFIG_ID);
		return code;
	}
	bd_read_begin();
	known = bd_ledger_lookup(board, BD_CONFIG_ID);
	older = known != NULL && row.term < known->term;
	bd_read_end();
	if (older)
		return CW_OK;
	return bd_put(board, BD_TABLE_ledger, BD_WRITER_FLOW, BD_CONFIG_ID,
	    &row, sizeof(row), NULL);
}
