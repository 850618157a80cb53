#ifndef CAMPHOR_STATE_INTERNAL_H
#define CAMPHOR_STATE_INTERNAL_H

#ifndef __cplusplus
#include <stdatomic.h>
#endif

#include <msgpack.h>

#include "state.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * 1. Encoding of records and rows: a MessagePack array with one element for
 * each field, in the order of the schema. New fields may only be appended,
 * since older versions ignore elements after those they know.
 */
enum wire_type {
	WIRE_UINT,       /* 1, 2, 4 or 8 bytes */
	WIRE_INT,        /* int64_t */
	WIRE_TEXT,       /* char[], NUL-terminated and zero-padded */
	WIRE_BYTES,      /* uint8_t[] of fixed length */
	WIRE_IDS,        /* uint64_t[], of fixed length or with a count field */
	WIRE_SLOTS,      /* struct bd_slot[] with a count field */
	WIRE_BLOB,       /* pointer with a length field (records) */
	WIRE_FLEX_ARRAY, /* flexible array member with a length field (rows) */
};

struct wire_field {
	const char *name;
	enum wire_type type;
	uint32_t offset;
	/* Size of the field. WIRE_BLOB and WIRE_FLEX_ARRAY: longest content. */
	uint32_t bytes;
	uint32_t count_offset; /* of the field with the count or length */
	uint32_t count_bytes;  /* size of that field, 0: none */
};

struct wire_schema {
	const char *name;
	uint32_t number; /* enum rec_kind, or the table's number in snapshots */
	uint32_t table;  /* enum bd_table_number, for rows */
	uint32_t bytes;  /* size of the struct */
	uint32_t field_count;
	uint32_t added_count; /* fields that earlier versions do not write */
	const struct wire_field *fields;
};

const struct wire_schema *wire_schema_of_kind(uint32_t kind);
const struct wire_schema *wire_schema_of_table(uint32_t number);
/* Iterates over the schemas of tables, NULL at the end. */
const struct wire_schema *wire_schema_table_at(uint32_t i);

uint64_t wire_uint_load(const void *field, uint32_t bytes);
void wire_uint_store(void *field, uint32_t bytes, uint64_t value);
uint32_t wire_element_count(const struct wire_field *field, const void *base);
void wire_encode(
    msgpack_packer *packer, const struct wire_schema *schema, const void *base);
int wire_decode(const struct wire_schema *schema, const msgpack_object *object,
    void *base, size_t capacity, size_t *bytes);
int wire_unpack(
    msgpack_unpacked *unpacked, const void *data, size_t bytes, size_t *offset);
bool wire_decode_uint(
    const msgpack_object *object, uint64_t max, uint64_t *value);

/*
 * 2. Tables with their private indexes. The indexes are derived from the tables
 * and rebuilt after a snapshot is loaded. They are addressed by a row's index
 * in its table, which differs between VMs, so the result of applying a record
 * must not depend on their order.
 */
#define ST_JOBS_MAX 32768
#define ST_PROMISES_MAX 1024
#define ST_KEY_BUCKETS 32768

/* Resources in use by the guaranteed jobs of a promise, by slot of its plan.
 * Usage of several slots on one worker is counted in the first of them. */
struct st_promise_usage {
	uint32_t accel_mask[BD_GANG_MEMBERS_MAX];
	uint32_t cores_milli[BD_GANG_MEMBERS_MAX];
	uint32_t memory_mb[BD_GANG_MEMBERS_MAX];
};

struct st_state {
	struct bd_board *board;
	CW_ATOMIC(uint64_t) position; /* of the last record processed */
	CW_ATOMIC(uint64_t) digest;
	CW_ATOMIC(uint64_t) unknown_kinds; /* records skipped */
	CW_ATOMIC(uint64_t) malformed;     /* records and entries skipped */
	uint64_t result_id;                /* see st_result_id */
	struct st_promise_usage *promise_usage;
	/* Chained hash table of jobs by account and submit key. Links are a
	 * job's index in its table + 1, 0: end of the chain. */
	uint32_t *key_bucket;
	uint32_t *key_next;
	uint64_t *key_hash;
	uint64_t *key_job_id;
	uint64_t total_answer_bytes; /* of all rows of table request */
	uint32_t workers_not_lost;   /* up or leaving */
	uint32_t workers_quarantined;
	uint32_t suspects_placed; /* placed jobs with crashes */
};

/* Functions that change a row also update the digest and the indexes. */
int st_row_put(struct st_state *state, enum bd_table_number table, uint64_t id,
    const void *row, size_t bytes);
int st_row_remove(
    struct st_state *state, enum bd_table_number table, uint64_t id);
bool st_row_copy(struct st_state *state, enum bd_table_number table,
    uint64_t id, void *row, size_t bytes);
uint64_t st_row_hash(enum bd_table_number table, const void *row, size_t bytes);

int st_index_create(struct st_state *state);
void st_index_destroy(struct st_state *state);
void st_index_rebuild(struct st_state *state);
void st_index_promises_rebuild(struct st_state *state);
uint64_t st_index_job_by_key(
    struct st_state *state, uint64_t account, const char *submit_key);
void st_index_row_changed(struct st_state *state, enum bd_table_number table,
    const void *before, const void *after, uint32_t index);
struct st_promise_usage *st_index_promise_usage(
    struct st_state *state, uint64_t promise);

/* Returns the index of the first slot on a worker, -1: none. */
int st_slot_find(const struct bd_slot *slots, uint32_t count, uint64_t worker);

/* What a list of slots demands of one worker. */
struct st_worker_demand {
	uint64_t worker;
	uint32_t accel_mask; /* union over the slots */
	uint32_t members;    /* number of slots */
	bool overlap;        /* two slots use the same accelerator */
};
uint32_t st_worker_demand_sum(const struct bd_slot *slots, uint32_t count,
    struct st_worker_demand *demands);

bool st_job_failed_on(struct bd_job *job, uint64_t worker);
int st_worker_failed(struct st_state *state, uint64_t worker, uint64_t account,
    uint64_t position);
/* Crashes, in apply_crash.c. */
void st_job_attempt_uncounted(struct bd_job *job);
int st_workers_share(struct st_state *state,
    const struct st_worker_demand *demands, uint32_t count, bool *shared);

/*
 * 3. One function for each kind of record. The record's position becomes the
 * epoch of the rows that it changes.
 */
#define ST_APPLY(name)       \
	int st_apply_##name( \
	    struct st_state *state, const struct rec *rec, uint64_t position)
ST_APPLY(config);
ST_APPLY(worker);
ST_APPLY(quarantine);
ST_APPLY(job_submit);
ST_APPLY(job_cancel);
ST_APPLY(job_owner);
ST_APPLY(job_expire);
ST_APPLY(job_crash);
ST_APPLY(place);
ST_APPLY(gang_started);
ST_APPLY(gang_ended);
ST_APPLY(preempt);
ST_APPLY(checkpoint);
ST_APPLY(plan);
ST_APPLY(short);
ST_APPLY(duty);
ST_APPLY(req_intent);
ST_APPLY(req_outcome);
ST_APPLY(req_expire);

void st_expire_writers(struct st_state *state, int64_t before_ms);
void st_expire_rows(struct st_state *state, enum bd_table_number table,
    bool (*is_expired)(const void *row, int64_t before_ms), int64_t before_ms);

/* Add (sign 1) or subtract (sign -1) what a gang uses of its workers and its
 * promise, and what a plan reserves on its workers. */
int st_gang_usage_add(struct st_state *state, const struct bd_job *job,
    const struct bd_slot *members, int sign);
int st_plan_usage_add(
    struct st_state *state, const struct bd_promise *promise, int sign);
int st_promises_reconcile(struct st_state *state,
    const struct bd_promise *desired, size_t count, uint64_t position);

#ifdef __cplusplus
}
#endif

#endif
