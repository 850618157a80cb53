#include "flow_internal.h"

/* What the placer makes of the table "departure", see departures.c. */

/* The entry of a silent worker is removed after so many heartbeats. */
#define SILENT_HEARTBEATS 3

static bool is_wanted(
    const struct fw_tables *tables, const struct fw_worker_state *worker);
static bool any_wanted(const struct fw_tables *tables);
static bool apply_departure(struct fw_placer *placer,
    struct fw_worker_state *worker, uint64_t session, int64_t now_ms);

/* Returns whether the log is to be read for a worker: its entry is gone, and
 * this placer does not know its address, or whether it has left as announced.
 */
static bool
is_wanted(const struct fw_tables *tables, const struct fw_worker_state *worker)
{
	int64_t written_ms;

	return !worker->registered && !worker->departed && !worker->replaced &&
	    (worker->address[0] == '\0' ||
		(worker->leaving &&
		    !fw_worker_state_entry_written(worker, &written_ms))) &&
	    fw_worker_has_open_run(tables, worker);
}

static bool
any_wanted(const struct fw_tables *tables)
{
	uint32_t i;

	for (i = 0; i < tables->worker_state_count; i++)
		if (is_wanted(tables, &tables->worker_states[i]))
			return true;
	return false;
}

/* Takes over what the log tells of a worker. Returns whether it was news. */
static bool
apply_departure(struct fw_placer *placer, struct fw_worker_state *worker,
    uint64_t session, int64_t now_ms)
{
	const struct bd_departure *row =
	    bd_departure_lookup(placer->parts.board, worker->host);
	bool is_news = false;

	if (row == NULL || row->session != session)
		return false;
	if (worker->address[0] == '\0') {
		fw_address_update(worker, row->name, row->address, now_ms);
		worker->leaving = row->leaving != 0;
		is_news = true;
	}
	if (row->leaving != 0 &&
	    row->silent_max_ms < (int64_t)SILENT_HEARTBEATS *
		    placer->parts.settings.heartbeat_ms) {
		worker->departed = is_news = true;
		ev_emit(EV_FLOW_DEPARTED, "worker=%s silent_ms=%lld runs=%u",
		    worker->name, (long long)row->silent_max_ms,
		    worker->run_count);
	}
	return is_news;
}

/* Returns whether a worker has left, and its runs with it. */
bool
fw_has_departed(const struct fw_worker_state *worker)
{
	return worker->departed && !worker->registered &&
	    !(worker->reported && worker->unresponsive_since_ms == 0);
}

/* Finds the workers with runs that have left since their entry was last read,
 * maybe by an earlier placer. Returns whether there is any news of them. Call
 * within a read section. */
bool
fw_departures_sync(struct fw_placer *placer, int64_t now_ms)
{
	struct fw_tables *tables = &placer->tables;
	bool is_news = false;
	uint64_t session;
	uint32_t i;

	if (!any_wanted(tables)) {
		fw_departures_end(placer->parts.departures);
		return false;
	}
	session = fw_departures_want(placer->parts.departures,
	    fw_follower_position(placer->parts.hosts));
	for (i = 0; i < tables->worker_state_count; i++) {
		struct fw_worker_state *worker = &tables->worker_states[i];

		if (is_wanted(tables, worker) &&
		    apply_departure(placer, worker, session, now_ms))
			is_news = true;
	}
	return is_news;
}
