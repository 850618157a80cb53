#include <assert.h>
#include <string.h>

#include "fleet.h"

static void fill_facts(struct bd_worker *facts, const struct bd_vm *vm);
static bool differs(const struct bd_worker *row, const struct bd_worker *facts);
static int propose_facts(const struct bd_worker *row,
    const struct bd_worker *facts, int64_t now_ms, const struct st_sink *sink,
    struct fl_claims *claims);
static int decide_listed(const struct bd_board *board, const struct bd_vm *vm,
    int64_t now_ms, const struct fl_worker_check *check,
    const struct st_sink *sink, struct fl_claims *claims);

static void
fill_facts(struct bd_worker *facts, const struct bd_vm *vm)
{
	memset(facts, 0, sizeof(*facts));
	facts->id = vm->id;
	facts->region = cw_id_from_name(vm->region);
	facts->zone = cw_id_from_name(vm->zone);
	facts->rack = cw_id_from_name(vm->rack);
	memcpy(facts->name, vm->name, sizeof(facts->name));
	memcpy(facts->region_name, vm->region, sizeof(facts->region_name));
	memcpy(facts->zone_name, vm->zone, sizeof(facts->zone_name));
	memcpy(facts->rack_name, vm->rack, sizeof(facts->rack_name));
	facts->cores_milli = vm->cores_milli;
	facts->memory_mb = vm->memory_mb;
	facts->accels = vm->accels < BD_WORKER_ACCELS_MAX
	    ? vm->accels
	    : BD_WORKER_ACCELS_MAX;
	facts->state = vm->state == BD_VM_LIVE ? BD_WORKER_UP
	    : vm->state == BD_VM_LEAVING       ? BD_WORKER_LEAVING
					       : BD_WORKER_LOST;
}

static bool
differs(const struct bd_worker *row, const struct bd_worker *facts)
{
	return row->state != facts->state || row->rack != facts->rack ||
	    row->zone != facts->zone || row->region != facts->region ||
	    row->cores_milli != facts->cores_milli ||
	    row->memory_mb != facts->memory_mb || row->accels != facts->accels;
}

/* Proposes the facts of a worker; row is NULL for a new one. */
static int
propose_facts(const struct bd_worker *row, const struct bd_worker *facts,
    int64_t now_ms, const struct st_sink *sink, struct fl_claims *claims)
{
	struct rec rec = {0};

	rec.kind = REC_WORKER;
	rec.body.worker.epoch = row == NULL ? 0 : row->epoch;
	rec.body.worker.facts = *facts;
	return fl_claim_propose(claims,
	    cw_id_from_pair(facts->id, rec.body.worker.epoch), now_ms, sink,
	    &rec);
}

/* Proposes a record for a listed worker that is new or whose facts differ. */
static int
decide_listed(const struct bd_board *board, const struct bd_vm *vm,
    int64_t now_ms, const struct fl_worker_check *check,
    const struct st_sink *sink, struct fl_claims *claims)
{
	const struct bd_worker *row = bd_worker_lookup(board, vm->id);
	struct bd_worker facts;

	fill_facts(&facts, vm);
	if (row == NULL && facts.state == BD_WORKER_LOST)
		return CW_OK;
	/* The end of a worker that was leaving is no crash. */
	if (row != NULL && row->state == BD_WORKER_UP &&
	    vm->state == BD_VM_GONE && vm->was_leaving != 0)
		facts.state = BD_WORKER_LEAVING;
	/* The list lags by up to 30 s; failed leases show a loss earlier. */
	if (row != NULL && check != NULL && check->failed != NULL &&
	    check->failed(check->ctx, vm->id))
		facts.state = BD_WORKER_LOST;
	if (row != NULL && !differs(row, &facts))
		return CW_OK;
	return propose_facts(row, &facts, now_ms, sink, claims);
}

/*
 * Turns the differences between table vm and table worker into WORKER records
 * where this VM holds BD_DUTY_WORKERS: new workers, changed facts, leaving,
 * and lost where the worker is no longer listed or its leases failed. Call it
 * only after the list has been read. Returns the sink's status; records beyond
 * FL_CLAIMS_MAX follow in later calls.
 */
int
fl_workers_decide(const struct bd_board *board, uint64_t self, int64_t now_ms,
    const struct fl_worker_check *check, const struct st_sink *sink,
    struct fl_claims *claims)
{
	const struct bd_worker *worker;
	const struct bd_vm *vm;
	uint32_t cursor = 0;
	int code = CW_OK;

	assert(sink != NULL && claims != NULL);
	if (!fl_duty_is_held(board, BD_DUTY_WORKERS, self))
		return CW_OK;
	bd_read_begin();
	while (code == CW_OK && (vm = bd_vm_next(board, &cursor)) != NULL)
		if (vm->kind == BD_VM_WORKER)
			code = decide_listed(
			    board, vm, now_ms, check, sink, claims);
	cursor = 0;
	while (code == CW_OK &&
	    (worker = bd_worker_next(board, &cursor)) != NULL) {
		struct bd_worker facts = *worker;

		if (worker->state == BD_WORKER_LOST ||
		    bd_vm_lookup(board, worker->id) != NULL)
			continue;
		facts.state = BD_WORKER_LOST;
		code = propose_facts(worker, &facts, now_ms, sink, claims);
	}
	bd_read_end();
	return code == FL_EFULL ? CW_OK : code;
}
