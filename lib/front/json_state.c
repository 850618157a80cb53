#include <assert.h>
#include <inttypes.h>
#include <string.h>

#include "front_internal.h"
#include "report.h"

static const char *worker_state_name(uint32_t state);
static const char *health_state_name(uint32_t state);
static const char *member_state_name(uint32_t state);
static const char *execution_name(int code);
static json_t *make_worker(const struct bd_worker *row);
static json_t *make_upstream(
    const struct bd_board *board, const struct bd_runner *row);
static json_t *make_member(const struct bd_member *row, int64_t wall_offset_ms);
static json_t *make_account(const struct fr_account_usage *usage_row);

static const char *
worker_state_name(uint32_t state)
{
	static const char *const names[] = {
	    [BD_WORKER_UP] = "up",
	    [BD_WORKER_LEAVING] = "leaving",
	    [BD_WORKER_LOST] = "lost",
	};

	return state <= BD_WORKER_LOST ? names[state] : "unknown";
}

static const char *
health_state_name(uint32_t state)
{
	static const char *const names[] = {
	    [BD_HEALTH_UP] = "up",
	    [BD_HEALTH_EJECTED] = "ejected",
	    [BD_HEALTH_PROBING] = "probing",
	    [BD_HEALTH_SLOW_START] = "slow start",
	    [BD_HEALTH_LEAVING] = "leaving",
	};

	return state <= BD_HEALTH_LEAVING ? names[state] : "unknown";
}

static const char *
member_state_name(uint32_t state)
{
	static const char *const names[] = {
	    [BD_MEMBER_ALIVE] = "alive",
	    [BD_MEMBER_SUSPECT] = "suspect",
	    [BD_MEMBER_DEAD] = "dead",
	    [BD_MEMBER_LEAVING] = "leaving",
	};

	return state <= BD_MEMBER_LEAVING ? names[state] : "unknown";
}

/* Tells whether a failed call may have taken effect. */
static const char *
execution_name(int code)
{
	return code == FR_EUNKNOWN || code == FR_EINTERNAL ? "unknown"
							   : "not run";
}

/* Encodes an error in the format that all calls share. */
json_t *
fr_json_error(const struct fr_error *error)
{
	const char *execution = execution_name(error->code);
	json_t *object = json_pack(
	    "{so ss}", "error", fr_json_utf8(error->text), "ran", execution);

	if (object == NULL)
		return NULL;
	if (strcmp(execution, "not run") == 0)
		json_object_set_new(object, "retry_after_ms",
		    json_integer(error->retry_after_ms));
	if (error->field[0] != '\0')
		json_object_set_new(
		    object, "field", fr_json_utf8(error->field));
	if (error->version != 0)
		json_object_set_new(
		    object, "version", fr_json_u64(error->version));
	return object;
}

/* Encodes the rejection of a configuration text with all its errors. */
json_t *
fr_json_config_errors(
    const struct fr_error *error, const struct cfg_errors *errors)
{
	json_t *object = fr_json_error(error);
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < errors->count; i++)
		json_array_append_new(list,
		    json_pack("{sI sI so}", "line",
			(json_int_t)errors->errors[i].line, "column",
			(json_int_t)errors->errors[i].column, "text",
			fr_json_utf8(errors->errors[i].text)));
	json_object_set_new(object, "errors", list);
	return object;
}

/* Encodes the current configuration. */
json_t *
fr_json_config(const struct bd_config *config)
{
	return json_pack("{sI ss sI ss#}", "version",
	    (json_int_t)config->version, "author", config->author,
	    "accepted_ms", (json_int_t)config->accepted_ms, "text",
	    config->text_bytes == 0 ? "" : config->text,
	    (int)config->text_bytes);
}

static json_t *
make_account(const struct fr_account_usage *usage_row)
{
	return json_pack("{ss ss sI sf sI sI sI sI sI sI sI sI sI sI sI sI}",
	    "name", usage_row->name, "role",
	    usage_row->role == BD_ROLE_OPERATOR ? "operator" : "caller",
	    "quota", (json_int_t)usage_row->quota, "weight",
	    usage_row->weight_milli / 1000.0, "promised",
	    (json_int_t)usage_row->guarantee_accels, "used_guaranteed",
	    (json_int_t)usage_row->used_guaranteed, "borrowed",
	    (json_int_t)usage_row->borrowed, "reclaimable",
	    (json_int_t)usage_row->reclaimable, "running_jobs",
	    (json_int_t)usage_row->running_jobs, "waiting_jobs",
	    (json_int_t)usage_row->waiting_jobs, "waiting_accelerators",
	    (json_int_t)usage_row->waiting_accels, "short_since_ms",
	    (json_int_t)usage_row->short_since_ms, "rate",
	    (json_int_t)usage_row->rate_per_s, "concurrency",
	    (json_int_t)usage_row->concurrency, "share_rate",
	    (json_int_t)usage_row->share_rate_per_s, "share_concurrency",
	    (json_int_t)usage_row->share_concurrency);
}

/* Encodes the guarantees, limits and usage of accounts. */
json_t *
fr_json_accounts(const struct fr_account_usage *usage, size_t count)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < count; i++)
		json_array_append_new(list, make_account(&usage[i]));
	return json_pack("{so}", "accounts", list);
}

static json_t *
make_worker(const struct bd_worker *row)
{
	return json_pack("{ss ss ss ss ss sI sI sI sf sf sI sI sI sI}", "name",
	    row->name, "region", row->region_name, "zone", row->zone_name,
	    "rack", row->rack_name, "state", worker_state_name(row->state),
	    "accelerators", (json_int_t)row->accels, "used_mask",
	    (json_int_t)row->used_mask, "planned_mask",
	    (json_int_t)row->planned_mask, "cores", row->cores_milli / 1000.0,
	    "used_cores", row->used_cores_milli / 1000.0, "memory_mb",
	    (json_int_t)row->memory_mb, "used_memory_mb",
	    (json_int_t)row->used_memory_mb, "quarantine_until_ms",
	    (json_int_t)row->quarantine_until_ms, "consecutive_failures",
	    (json_int_t)row->consecutive_failures);
}

/* Encodes the workers. */
json_t *
fr_json_workers(const struct bd_board *board)
{
	json_t *list = json_array();
	const struct bd_worker *row;
	uint32_t cursor = 0;

	bd_read_begin();
	while ((row = bd_worker_next(board, &cursor)) != NULL)
		json_array_append_new(list, make_worker(row));
	bd_read_end();
	return json_pack("{so}", "workers", list);
}

static json_t *
make_upstream(const struct bd_board *board, const struct bd_runner *row)
{
	const struct bd_service *service =
	    bd_service_lookup(board, row->service);
	const struct bd_health *health = bd_health_lookup(board, row->id);

	return json_pack("{ss ss sI sI sb ss sI sI}", "service",
	    service == NULL ? "" : service->name, "address", row->address,
	    "slots", (json_int_t)row->slots, "connections",
	    (json_int_t)row->connections, "leaving", (int)row->leaving,
	    "health", health_state_name(health == NULL ? 0 : health->state),
	    "ejections", (json_int_t)(health == NULL ? 0 : health->ejections),
	    "until_ms", (json_int_t)(health == NULL ? 0 : health->until_ms));
}

/* Encodes the upstreams with their health as seen by this VM. */
json_t *
fr_json_upstreams(const struct bd_board *board)
{
	json_t *list = json_array();
	const struct bd_runner *row;
	uint32_t cursor = 0;

	bd_read_begin();
	while ((row = bd_runner_next(board, &cursor)) != NULL)
		json_array_append_new(list, make_upstream(board, row));
	bd_read_end();
	return json_pack("{so}", "upstreams", list);
}

static json_t *
make_member(const struct bd_member *row, int64_t wall_offset_ms)
{
	char digest[20];

	snprintf(digest, sizeof(digest), "%016" PRIx64, row->digest);
	return json_pack("{ss sb ss ss ss sI sI ss sI}", "name", row->name,
	    "self", (int)row->self, "state", member_state_name(row->state),
	    "peer", row->peer_address, "http", row->http_address, "heard_ms",
	    (json_int_t)row->heard_ms + wall_offset_ms, "position",
	    (json_int_t)row->position, "digest", digest, "config_version",
	    (json_int_t)row->config_version);
}

/* Encodes the entry VMs as seen by this one. Membership uses the monotonic
 * clock; wall_offset_ms converts its times to wall-clock time. */
json_t *
fr_json_members(const struct bd_board *board, int64_t wall_offset_ms)
{
	json_t *list = json_array();
	const struct bd_member *row;
	uint32_t cursor = 0;

	bd_read_begin();
	while ((row = bd_member_next(board, &cursor)) != NULL)
		json_array_append_new(list, make_member(row, wall_offset_ms));
	bd_read_end();
	return json_pack("{so}", "members", list);
}

/* Encodes a page of events. */
json_t *
fr_json_events(
    const struct fr_event *events, size_t count, uint64_t lost, uint64_t next)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < count; i++)
		json_array_append_new(list,
		    json_pack("{sI sI sI ss ss so}", "sequence",
			(json_int_t)events[i].sequence, "time_ms",
			(json_int_t)events[i].time_ms, "number",
			(json_int_t)events[i].number, "name",
			fr_event_name(events[i].number), "level",
			fr_event_level_name(events[i].level), "line",
			fr_json_utf8(events[i].line)));
	return json_pack("{sI sI so}", "next", (json_int_t)next, "lost",
	    (json_int_t)lost, "events", list);
}

/* Encodes the configuration changes that the log still retains. */
json_t *
fr_json_history(const struct rp_report *report)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < report->change_count; i++) {
		const struct rp_change *change = &report->changes[i];

		json_array_append_new(list,
		    json_pack("{sI so sI sI}", "version",
			(json_int_t)change->version, "author",
			fr_json_utf8(change->author), "time_ms",
			(json_int_t)change->time_ms, "bytes",
			(json_int_t)change->bytes));
	}
	return json_pack("{sb so}", "complete",
	    report->covered_from_ms == report->from_ms && report->left_out == 0,
	    "changes", list);
}
