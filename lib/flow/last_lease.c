#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"
#include "watermark.h"

/*
 * When the leases of a worker end that nobody renews. A placer stores it while
 * the worker does not answer, so that a successor does not have to wait for the
 * longest lease that any earlier placer may have granted. Before a placer
 * grants a lease again, it deletes the record, and reads that back.
 */

/* The value of a record is two decimal numbers: the end as a wall time, for
 * versions that go by it, and the time that is left, by which this one goes. A
 * version that stored the wall time only may have known of a late grant. */

/* An end is stored after this silence, or at once by a successor that the
 * worker has not answered yet. Shorter silences are frequent. */
#define NOTED_SILENCE_MS 400
/* It is stored again once so much less is left. */
#define REPEAT_MS 1000
#define RECORD_BYTES 48

static bool is_silent(const struct fw_worker_state *worker, int64_t now_ms);
static bool answers(const struct fw_worker_state *worker);
static int add_record(
    struct fw_placer *placer, uint64_t host, int64_t left_ms, int64_t wall_ms);
static int note_end(struct fw_placer *placer, struct fw_worker_state *worker,
    int64_t now_ms, int64_t wall_ms);
static int delete_ends(struct fw_placer *placer);
static int64_t born_at_ms(const struct fw_report *report);

/* Returns whether the leases of a worker are over unless it answers. */
static bool
is_silent(const struct fw_worker_state *worker, int64_t now_ms)
{
	return worker->address[0] == '\0' || worker->replaced ||
	    (worker->unresponsive_since_ms != 0 &&
		(!worker->reported ||
		    now_ms - worker->unresponsive_since_ms >=
			NOTED_SILENCE_MS));
}

/* Returns whether a worker answers this placer, which may renew its leases. */
static bool
answers(const struct fw_worker_state *worker)
{
	return worker->reported && worker->unresponsive_since_ms == 0 &&
	    !worker->replaced;
}

/* Adds the record of a worker to the batch. left_ms 0: its deletion. */
static int
add_record(
    struct fw_placer *placer, uint64_t host, int64_t left_ms, int64_t wall_ms)
{
	char name[BD_FLOW_NAME_BYTES];
	char *text = NULL;
	int bytes = 0;

	snprintf(name, sizeof(name), "%016" PRIx64, host);
	if (left_ms > 0) {
		text = malloc(RECORD_BYTES);
		if (text == NULL)
			return cw_error_set(
			    FW_ENOMEM, "out of memory for the end of a lease");
		bytes = snprintf(text, RECORD_BYTES, "%" PRId64 " %" PRId64,
		    wall_ms + left_ms, left_ms);
	}
	return fw_writer_add(
	    &placer->progress, FW_RECORD_LEASE, name, text, (size_t)bytes);
}

/* Returns the time in ms that was left of a worker's last lease when its record
 * was stored, at the most, or -1 if the record does not give it. */
int64_t
fw_lease_record_left_ms(const struct fw_record *record)
{
	char text[RECORD_BYTES] = "";
	int64_t left_ms;

	if (record->value_bytes < sizeof(text))
		memcpy(text, record->value, record->value_bytes);
	return sscanf(text, "%*s %" SCNd64, &left_ms) == 1 && left_ms >= 0
	    ? left_ms
	    : -1;
}

/* Stores the end of the last lease of a worker that has runs and is silent, and
 * stores it again as the time that is left goes by: a VM that starts meanwhile
 * counts it from then. */
static int
note_end(struct fw_placer *placer, struct fw_worker_state *worker,
    int64_t now_ms, int64_t wall_ms)
{
	const struct bd_last_lease *row =
	    bd_last_lease_lookup(placer->parts.board, worker->host);
	int64_t left_ms = worker->lease_end_ms - now_ms;

	worker->lease_end_due = false;
	if (!is_silent(worker, now_ms) || answers(worker) || left_ms <= 0 ||
	    !fw_worker_has_open_run(&placer->tables, worker))
		return CW_OK;
	if (row != NULL && row->left_ms >= 0 &&
	    row->left_ms - left_ms < REPEAT_MS)
		return CW_OK;
	worker->lease_end_due = placer->watermark.is_urgent = true;
	return add_record(placer, worker->host, left_ms, wall_ms);
}

/* Deletes the ends of workers that answer, and of those without runs. */
static int
delete_ends(struct fw_placer *placer)
{
	const struct fw_tables *tables = &placer->tables;
	const struct bd_last_lease *row;
	uint32_t cursor = 0;
	int code = CW_OK;

	while (code == CW_OK &&
	    (row = bd_last_lease_next(placer->parts.board, &cursor)) != NULL) {
		uint32_t found = fw_worker_state_find(tables, row->id);

		if (found == FW_NONE ||
		    !fw_worker_has_open_run(
			tables, &tables->worker_states[found]) ||
		    answers(&tables->worker_states[found]))
			code = add_record(placer, row->id, 0, 0);
	}
	return code;
}

/* Adds the records of ends of leases to the batch. Call while it is not stored
 * yet, and no other one is open: what earlier ones have stored has been read
 * back. Returns FW_ENOMEM. */
int
fw_note_leases(struct fw_placer *placer, int64_t now_ms, int64_t wall_ms)
{
	struct fw_tables *tables = &placer->tables;
	int code = delete_ends(placer);
	uint32_t i;

	for (i = 0; i < tables->worker_state_count && code == CW_OK; i++)
		code = note_end(
		    placer, &tables->worker_states[i], now_ms, wall_ms);
	return code;
}

/* Returns whether no lease may be granted to a worker, as successors know when
 * its last one ends, or will. Call within a read section. */
bool
fw_lease_end_is_noted(
    const struct bd_board *board, const struct fw_worker_state *worker)
{
	return worker->lease_end_due ||
	    bd_last_lease_lookup(board, worker->host) != NULL;
}

/* Returns the time of a worker's start, or a later one: its clock counts from
 * then, and is not fast. */
static int64_t
born_at_ms(const struct fw_report *report)
{
	return report->now_ms - report->clock_ms;
}

/* Extends the leases of a worker that lists its runs to this placer for the
 * first time, and refuses the orders of earlier ones from then on, by what it
 * may have granted to one of them after its start. */
void
fw_first_list_leases(struct fw_placer *placer, struct fw_worker_state *worker,
    const struct fw_report *report)
{
	int64_t granted_ms = born_at_ms(report) + FW_ORDER_LATE_MAX_MS;
	int64_t end_ms;

	if (granted_ms > report->now_ms)
		granted_ms = report->now_ms;
	end_ms = granted_ms + placer->tables.lease_max_ms;
	if (end_ms > worker->lease_end_ms)
		worker->lease_end_ms = end_ms;
}

/* Sets the end of the leases of a worker that earlier placers have granted: as
 * one of them has stored it, or else when any of theirs is over. The stored end
 * may be the later one, if that placer knew of a grant that may be carried out
 * late. What was left when it was stored counts from when this VM knew that it
 * was. Call within a read section. */
void
fw_adopt_leases(
    struct fw_placer *placer, struct fw_worker_state *worker, int64_t now_ms)
{
	const struct bd_last_lease *row =
	    bd_last_lease_lookup(placer->parts.board, worker->host);
	int64_t end_ms = placer->earlier_leases_end_ms;

	if (worker->lease_end_ms != 0)
		return;
	if (row != NULL)
		end_ms = now_ms -
		    fw_record_age_ms(
			placer->parts.board, row->offset, placer->boot_ms) +
		    (row->left_ms >= 0 ? row->left_ms
				       : FW_ORDER_LATE_MAX_MS +
				placer->tables.lease_max_ms);
	worker->lease_end_ms = end_ms > 1 ? end_ms : 1;
}
