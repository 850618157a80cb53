#include "state_internal.h"

/* Largest part of the workers in quarantine, in thousandths, while no
 * configuration is active. */
#define QUARANTINE_CAP_MILLI 100

static uint32_t max_u32(uint32_t a, uint32_t b);
static void keep_most(struct bd_worker *row, const struct bd_worker *before);
static bool may_quarantine(struct st_state *state);

static uint32_t
max_u32(uint32_t a, uint32_t b)
{
	return a > b ? a : b;
}

/* Sets the most that a worker has had, from its row before the change. A worker
 * that was lost may return as another machine. */
static void
keep_most(struct bd_worker *row, const struct bd_worker *before)
{
	uint32_t cores = row->cores_milli;
	uint32_t memory = row->memory_mb;
	uint32_t accels = row->accels;

	if (before->id != 0 && before->state != BD_WORKER_LOST) {
		cores = max_u32(cores,
		    max_u32(before->cores_milli, before->most_cores_milli));
		memory = max_u32(
		    memory, max_u32(before->memory_mb, before->most_memory_mb));
		accels = max_u32(
		    accels, max_u32(before->accels, before->most_accels));
	}
	row->is_shrunk = cores > row->cores_milli || memory > row->memory_mb ||
	    accels > row->accels;
	row->most_cores_milli = row->is_shrunk ? cores : 0;
	row->most_memory_mb = row->is_shrunk ? memory : 0;
	row->most_accels = row->is_shrunk ? accels : 0;
}

/*
 * WORKER: adds a worker or changes its location, names, sizes and state. Tasks
 * and plans on a lost worker stay until GANG_ENDED and PLAN remove them.
 */
int
st_apply_worker(
    struct st_state *state, const struct rec *rec, uint64_t position)
{
	const struct rec_worker *body = &rec->body.worker;
	const struct bd_worker *facts = &body->facts;
	struct bd_worker row = {0};
	struct bd_worker before;

	if (facts->id == 0 || facts->accels > BD_WORKER_ACCELS_MAX ||
	    facts->state > BD_WORKER_LOST)
		return ST_EREJECTED;
	st_row_copy(state, BD_TABLE_worker, facts->id, &row, sizeof(row));
	if (row.epoch != body->epoch)
		return ST_ESTALE;
	before = row;
	row.id = facts->id;
	row.epoch = position;
	row.region = facts->region;
	row.zone = facts->zone;
	row.rack = facts->rack;
	if (cw_name_copy(row.name, sizeof(row.name), facts->name) != CW_OK ||
	    cw_name_copy(row.region_name, sizeof(row.region_name),
		facts->region_name) != CW_OK ||
	    cw_name_copy(row.zone_name, sizeof(row.zone_name),
		facts->zone_name) != CW_OK ||
	    cw_name_copy(row.rack_name, sizeof(row.rack_name),
		facts->rack_name) != CW_OK)
		return ST_EREJECTED;
	row.cores_milli = facts->cores_milli;
	row.memory_mb = facts->memory_mb;
	row.accels = facts->accels;
	row.state = facts->state;
	row.changed_ms = rec->time_ms;
	keep_most(&row, &before);
	if (row.state != BD_WORKER_LOST)
		row.was_leaving = row.state == BD_WORKER_LEAVING;
	return st_row_put(state, BD_TABLE_worker, row.id, &row, sizeof(row));
}

/* Returns whether one more worker may be quarantined within the cap of the
 * configuration. A cap above 0 allows at least one worker, since it would round
 * down to none in small fleets. */
static bool
may_quarantine(struct st_state *state)
{
	const struct bd_config *config;
	uint64_t cap = QUARANTINE_CAP_MILLI;
	uint64_t limit;

	bd_read_begin();
	config = bd_config_lookup(state->board, BD_CONFIG_ID);
	if (config != NULL)
		cap = config->quarantine_cap_milli;
	bd_read_end();
	limit = state->workers_not_lost * cap / 1000;
	if (limit == 0 && cap > 0)
		limit = 1;
	return state->workers_quarantined < limit;
}

/*
 * QUARANTINE: takes a worker out of service, or returns it with until_ms 0,
 * which also resets its failures. Returns ST_EREJECTED above the cap of the
 * configuration.
 */
int
st_apply_quarantine(
    struct st_state *state, const struct rec *rec, uint64_t position)
{
	const struct rec_quarantine *body = &rec->body.quarantine;
	struct bd_worker row;

	if (!st_row_copy(
		state, BD_TABLE_worker, body->worker, &row, sizeof(row)))
		return ST_EREJECTED;
	if (row.epoch != body->epoch)
		return ST_ESTALE;
	if (body->until_ms < 0)
		return ST_EREJECTED;
	if (body->until_ms != 0) {
		if (row.quarantine_until_ms == 0 &&
		    (row.state == BD_WORKER_LOST || !may_quarantine(state)))
			return ST_EREJECTED;
		row.quarantine_count++;
	} else {
		row.consecutive_failures = 0;
		row.failed_accounts[0] = 0;
		row.failed_accounts[1] = 0;
	}
	row.quarantine_until_ms = body->until_ms;
	row.epoch = position;
	return st_row_put(state, BD_TABLE_worker, row.id, &row, sizeof(row));
}
