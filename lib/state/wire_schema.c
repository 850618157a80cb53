#include <assert.h>

#include "state_internal.h"

#define SIZE_OF(type, member) sizeof(((type *)0)->member)
#define FIELD(type, wire, member)                                             \
	{                                                                     \
#member, wire, offsetof(type, member), SIZE_OF(type, member), \
		    0, 0                                                      \
	}
/* A field of which another field, count, gives the number of elements. */
#define COUNTED(type, wire, member, count)                                    \
	{                                                                     \
#member, wire, offsetof(type, member), SIZE_OF(type, member), \
		    offsetof(type, count), SIZE_OF(type, count)               \
	}
/* A field of up to max bytes; another field, count, gives the length. */
#define BOUNDED(type, wire, member, count, max)                 \
	{                                                       \
#member, wire, offsetof(type, member), max,     \
		    offsetof(type, count), SIZE_OF(type, count) \
	}
/* Fields of the struct type that ROW is defined as: unsigned and signed
 * integers and texts. */
#define U(member) FIELD(ROW, WIRE_UINT, member)
#define I(member) FIELD(ROW, WIRE_INT, member)
#define T(member) FIELD(ROW, WIRE_TEXT, member)
#define SHAPE(member)                                               \
	U(member.members), U(member.accels), U(member.cores_milli), \
	    U(member.memory_mb)

#define KIND(name, kind)                                               \
	{                                                              \
#name, kind, 0, sizeof(struct rec_##name),             \
		    sizeof(name##_fields) / sizeof(*name##_fields), 0, \
		    name##_fields                                      \
	}
/* The last added fields were added later: rows without them are read. */
#define TABLE_WITH_ADDED(name, number, added)                             \
	{                                                                 \
#name, number, BD_TABLE_##name, sizeof(struct bd_##name), \
		    sizeof(row_##name) / sizeof(*row_##name), added,      \
		    row_##name                                            \
	}
#define TABLE(name, number) TABLE_WITH_ADDED(name, number, 0)

/*
 * Records
 */
#define ROW struct rec_config
static const struct wire_field config_fields[] = {U(base_version), T(author),
    BOUNDED(ROW, WIRE_BLOB, text, text_bytes, REC_CONFIG_TEXT_BYTES_MAX)};
#undef ROW
#define ROW struct rec_worker
static const struct wire_field worker_fields[] = {U(epoch), U(facts.id),
    U(facts.region), U(facts.zone), U(facts.rack), T(facts.name),
    T(facts.region_name), T(facts.zone_name), T(facts.rack_name),
    U(facts.cores_milli), U(facts.memory_mb), U(facts.accels), U(facts.state)};
#undef ROW
#define ROW struct rec_job_submit
static const struct wire_field job_submit_fields[] = {U(account), U(owner),
    SHAPE(shape), U(class_number), U(cross_region), I(declared_ms), T(name),
    T(submit_key), T(input)};
#undef ROW
#define ROW struct rec_job_cancel
static const struct wire_field job_cancel_fields[] = {U(job)};
#undef ROW
#define ROW struct rec_job_owner
static const struct wire_field job_owner_fields[] = {
    U(job), U(epoch), U(owner)};
#undef ROW
#define ROW struct rec_place
static const struct wire_field place_fields[] = {U(job), U(epoch), U(promise),
    COUNTED(ROW, WIRE_SLOTS, members, member_count)};
#undef ROW
#define ROW struct rec_gang_started
static const struct wire_field gang_started_fields[] = {U(job), U(token)};
#undef ROW
#define ROW struct rec_gang_ended
static const struct wire_field gang_ended_fields[] = {
    U(job), U(token), U(worker), U(outcome), U(reason), I(progress_ms)};
#undef ROW
#define ROW struct rec_preempt
static const struct wire_field preempt_fields[] = {
    U(job), U(token), U(for_job), U(reason), I(deadline_ms)};
#undef ROW
#define ROW struct rec_checkpoint
static const struct wire_field checkpoint_fields[] = {
    U(job), U(token), I(progress_ms)};
#undef ROW
#define ROW struct rec_plan
static const struct wire_field plan_fields[] = {
    U(promise), U(epoch), COUNTED(ROW, WIRE_SLOTS, slots, slot_count)};
#undef ROW
#define ROW struct rec_short
static const struct wire_field short_fields[] = {
    U(promise), U(epoch), I(since_ms)};
#undef ROW
#define ROW struct rec_duty
static const struct wire_field duty_fields[] = {U(duty), U(epoch), U(owner)};
#undef ROW
#define ROW struct rec_quarantine
static const struct wire_field quarantine_fields[] = {
    U(worker), U(epoch), I(until_ms)};
#undef ROW
#define ROW struct rec_req_intent
static const struct wire_field req_intent_fields[] = {
    U(id), U(request_id), U(account), U(service), U(owner), U(body_hash)};
#undef ROW
#define ROW struct rec_req_outcome
static const struct wire_field req_outcome_fields[] = {U(id), U(request_id),
    U(http_status),
    BOUNDED(ROW, WIRE_BLOB, answer, answer_bytes, REC_ANSWER_BYTES_MAX)};
#undef ROW
#define ROW struct rec_req_expire
static const struct wire_field req_expire_fields[] = {I(before_ms)};
#undef ROW
#define ROW struct rec_job_expire
static const struct wire_field job_expire_fields[] = {I(before_ms)};
#undef ROW
#define ROW struct rec_job_crash
static const struct wire_field job_crash_fields[] = {
    U(job), U(token), U(worker), U(attempt)};
#undef ROW

static const struct wire_schema record_schemas[] = {
    KIND(config, REC_CONFIG),
    KIND(worker, REC_WORKER),
    KIND(job_submit, REC_JOB_SUBMIT),
    KIND(job_cancel, REC_JOB_CANCEL),
    KIND(job_owner, REC_JOB_OWNER),
    KIND(place, REC_PLACE),
    KIND(gang_started, REC_GANG_STARTED),
    KIND(gang_ended, REC_GANG_ENDED),
    KIND(preempt, REC_PREEMPT),
    KIND(checkpoint, REC_CHECKPOINT),
    KIND(plan, REC_PLAN),
    KIND(short, REC_SHORT),
    KIND(duty, REC_DUTY),
    KIND(quarantine, REC_QUARANTINE),
    KIND(req_intent, REC_REQ_INTENT),
    KIND(req_outcome, REC_REQ_OUTCOME),
    KIND(req_expire, REC_REQ_EXPIRE),
    KIND(job_expire, REC_JOB_EXPIRE),
    KIND(job_crash, REC_JOB_CRASH),
};

/*
 * Rows of the tables that are derived from the log
 */
#define ROW struct bd_config
static const struct wire_field row_config[] = {U(version), U(epoch),
    I(accepted_ms), T(author), U(fragmentation_weight_milli), U(reclaim_ms),
    U(checkpoint_ms), U(entry_vms), U(cross_region_bytes_per_s),
    U(request_keep_ms), U(quarantine_cap_milli), U(moves_per_hour),
    {"text", WIRE_FLEX_ARRAY, sizeof(ROW), REC_CONFIG_TEXT_BYTES_MAX,
	offsetof(ROW, text_bytes), SIZE_OF(ROW, text_bytes)}};
#undef ROW
#define ROW struct bd_account
static const struct wire_field row_account[] = {U(id), T(name),
    FIELD(ROW, WIRE_BYTES, key_salt), FIELD(ROW, WIRE_BYTES, key_hash), U(role),
    U(quota_accels), U(weight_milli), U(rate_per_s), U(concurrency),
    U(queue_max)};
#undef ROW
#define ROW struct bd_promise
static const struct wire_field row_promise[] = {U(id), U(account), U(epoch),
    I(short_since_ms), SHAPE(shape), U(number), U(copy),
    COUNTED(ROW, WIRE_SLOTS, slots, slot_count)};
#undef ROW
#define ROW struct bd_service
static const struct wire_field row_service[] = {U(id), T(name),
    U(class_default), U(timeout_ms), U(body_max_bytes), U(answer_max_bytes),
    U(attempts_max), COUNTED(ROW, WIRE_IDS, accounts, account_count)};
#undef ROW
#define ROW struct bd_runner
static const struct wire_field row_runner[] = {U(id), U(service), U(region),
    U(zone), T(address), U(slots), U(connections), U(leaving)};
#undef ROW
#define ROW struct bd_worker
static const struct wire_field row_worker[] = {U(id), U(epoch), U(region),
    U(zone), U(rack), T(name), T(region_name), T(zone_name), T(rack_name),
    U(cores_milli), U(memory_mb), U(accels), U(state), I(quarantine_until_ms),
    U(quarantine_count), U(consecutive_failures),
    FIELD(ROW, WIRE_IDS, failed_accounts), U(used_mask), U(used_cores_milli),
    U(used_memory_mb), U(planned_mask), U(planned_cores_milli),
    U(planned_memory_mb), I(changed_ms), U(was_leaving), U(most_cores_milli),
    U(most_memory_mb), U(most_accels), U(is_shrunk)};
#undef ROW
#define ROW struct bd_job
static const struct wire_field row_job[] = {U(id), U(epoch), U(account),
    U(owner), U(token), U(promise), SHAPE(shape), U(class_number), U(state),
    U(reason), U(attempts), U(failures), U(cross_region), I(declared_ms),
    I(submitted_ms), I(waiting_since_ms), I(started_ms), I(ended_ms),
    I(checkpoint_ms), I(progress_ms), I(preempt_deadline_ms), I(hold_until_ms),
    U(preempted_for), FIELD(ROW, WIRE_IDS, failed_workers), T(name),
    T(submit_key), T(input), U(crashes), U(uncounted_attempts)};
#undef ROW
#define ROW struct bd_task
static const struct wire_field row_task[] = {
    U(id), U(job), U(worker), U(token), U(member), U(accel_mask)};
#undef ROW
#define ROW struct bd_request
static const struct wire_field row_request[] = {U(id), U(request_id),
    U(account), U(service), U(owner), U(epoch), I(intent_ms), U(body_hash),
    U(state), U(http_status), U(answer_dropped),
    {"answer", WIRE_FLEX_ARRAY, sizeof(ROW), REC_ANSWER_BYTES_MAX,
	offsetof(ROW, answer_bytes), SIZE_OF(ROW, answer_bytes)}};
#undef ROW
#define ROW struct bd_duty
static const struct wire_field row_duty[] = {
    U(id), U(owner), U(epoch), I(since_ms)};
#undef ROW
#define ROW struct bd_log_writer
static const struct wire_field row_log_writer[] = {
    U(id), U(sequence), I(last_ms)};
#undef ROW

/* The numbers are part of the snapshot format and must not change. */
static const struct wire_schema row_schemas[] = {
    TABLE(config, 1),
    TABLE(account, 2),
    TABLE(promise, 3),
    TABLE(service, 4),
    TABLE(runner, 5),
    TABLE_WITH_ADDED(worker, 6, 5),
    TABLE_WITH_ADDED(job, 7, 2),
    TABLE(task, 8),
    TABLE(request, 9),
    TABLE(duty, 10),
    TABLE(log_writer, 11),
};

_Static_assert(offsetof(struct bd_config, text) == sizeof(struct bd_config),
    "the text starts where the fixed part ends");
_Static_assert(offsetof(struct bd_request, answer) == sizeof(struct bd_request),
    "the answer starts where the fixed part ends");

/* Returns the schema of a record's body, NULL for an unknown kind. */
const struct wire_schema *
wire_schema_of_kind(uint32_t kind)
{
	if (kind == 0 ||
	    kind > sizeof(record_schemas) / sizeof(*record_schemas))
		return NULL;
	assert(record_schemas[kind - 1].number == kind);
	return &record_schemas[kind - 1];
}

/* Returns the schema of a table's rows by its number in snapshots, or NULL. */
const struct wire_schema *
wire_schema_of_table(uint32_t number)
{
	return number == 0 ? NULL : wire_schema_table_at(number - 1);
}

/* Returns the i-th schema of a table's rows, NULL after the last. */
const struct wire_schema *
wire_schema_table_at(uint32_t i)
{
	return i < sizeof(row_schemas) / sizeof(*row_schemas) ? &row_schemas[i]
							      : NULL;
}
