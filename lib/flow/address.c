#include <string.h>

#include "flow_internal.h"

static bool is_answered(const struct fw_tables *tables, uint64_t address_id);

/* Takes name and address of a worker over from its entry. The entry may have
 * been written by another writer, so a new address is not known to be the
 * worker's until it has answered there. */
void
fw_address_update(struct fw_worker_state *worker, const char *name,
    const char *address, int64_t now_ms)
{
	cw_name_copy(worker->name, sizeof(worker->name), name);
	if (strcmp(worker->address, address) == 0)
		return;
	cw_name_copy(worker->address, sizeof(worker->address), address);
	worker->address_ms = now_ms;
	worker->confirmed = false;
	worker->replaced = false;
}

/* Notes from the answer to an order whether the worker or another one has its
 * address. An answer to an order that was sent before the address changed tells
 * nothing about the present one. Returns whether another worker has it. */
bool
fw_address_answered(
    struct fw_worker_state *worker, const struct fw_report *report)
{
	if (report->sent_ms < worker->address_ms)
		return false;
	if (report->answer == FW_ANSWER_DONE) {
		worker->confirmed = true;
		worker->misaddressed = false;
	} else if (report->answer == FW_ANSWER_RESTARTED)
		worker->misaddressed = true;
	return report->answer == FW_ANSWER_RESTARTED;
}

/* Notes the address that a row tells of a worker. */
void
fw_address_expect(
    struct fw_worker_state *worker, uint64_t address_id, int64_t now_ms)
{
	if (address_id != 0)
		worker->address_id = address_id;
	if (!worker->registered && worker->removed_ms == 0)
		worker->removed_ms = now_ms;
}

/* Returns whether a registered worker has answered at an address. */
static bool
is_answered(const struct fw_tables *tables, uint64_t address_id)
{
	uint32_t i;

	for (i = 0; i < tables->worker_state_count; i++) {
		const struct fw_worker_state *other = &tables->worker_states[i];

		if (other->registered && other->confirmed && !other->replaced &&
		    cw_id_from_name(other->address) == address_id)
			return true;
	}
	return false;
}

/* Finds the workers without an entry at whose address another one answers. They
 * cannot be asked, as this placer knows the address from rows only. */
void
fw_addresses_find_taken(struct fw_tables *tables)
{
	uint32_t i;

	for (i = 0; i < tables->worker_state_count; i++) {
		struct fw_worker_state *worker = &tables->worker_states[i];

		if (worker->address_id == 0 || worker->registered ||
		    worker->replaced || worker->address[0] != '\0' ||
		    !is_answered(tables, worker->address_id))
			continue;
		worker->replaced = worker->confirmed = true;
	}
}

/* Returns whether a run is over because another worker has the address of its
 * worker: it has answered there before, the run was placed on it there, or the
 * entry is that of the incarnation on which the run was placed. Otherwise the
 * address may be wrong. */
bool
fw_address_taken_over(
    const struct fw_worker_state *worker, const struct fw_run *run)
{
	return worker->replaced &&
	    (worker->confirmed ||
		(worker->address_id != 0 &&
		    worker->address_id == cw_id_from_name(worker->address)) ||
		(run->start_incarnation_ms != 0 &&
		    run->start_incarnation_ms == worker->entry.incarnation_ms));
}
