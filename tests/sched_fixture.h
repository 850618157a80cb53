#ifndef CAMPHOR_TESTS_SCHED_FIXTURE_H
#define CAMPHOR_TESTS_SCHED_FIXTURE_H

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "scheduler.h"

/* State tables and a scheduler in one process. Records of the fixture itself
 * are applied at once; proposals of the scheduler are queued until
 * fixture_flush. Shared by the tests (C++) and the benchmark (C). */
#define FIXTURE_QUEUE_MAX 2048

struct sched_fixture {
	struct bd_board *board;
	struct st_state *state;
	struct sch *sch;
	int64_t now_ms;
	uint64_t position;
	uint64_t sequence;
	uint32_t queued;
	uint32_t rejected; /* proposals that st_apply rejected */
	struct rec *queue;
	struct st_completion *done;
	/* Called for each applied record; may be NULL. */
	void (*on_applied)(void *ctx, const struct rec *rec, uint64_t position);
	void *ctx;
};

static inline struct rec
fixture_rec(uint32_t kind)
{
	struct rec rec;

	memset(&rec, 0, sizeof(rec));
	rec.kind = kind;
	return rec;
}

static inline int
fixture_apply(struct sched_fixture *fx, struct rec *rec)
{
	int code;

	rec->version = REC_VERSION;
	rec->writer = 1;
	rec->sequence = ++fx->sequence;
	rec->time_ms = fx->now_ms;
	code = st_apply(fx->state, rec, ++fx->position);
	if (code == CW_OK && fx->on_applied != NULL)
		fx->on_applied(fx->ctx, rec, fx->position);
	return code;
}

static inline int
fixture_propose(
    void *ctx, const struct rec *rec, const struct st_completion *done)
{
	struct sched_fixture *fx = (struct sched_fixture *)ctx;

	assert(fx->queued < FIXTURE_QUEUE_MAX);
	fx->queue[fx->queued] = *rec;
	memset(&fx->done[fx->queued], 0, sizeof(*done));
	if (done != NULL)
		fx->done[fx->queued] = *done;
	fx->queued++;
	return CW_OK;
}

/* Applies the queued proposals. Returns their number, rejected ones included.
 */
static inline uint32_t
fixture_flush(struct sched_fixture *fx)
{
	uint32_t count = fx->queued;
	uint32_t i;

	fx->queued = 0;
	for (i = 0; i < count; i++) {
		int code = fixture_apply(fx, &fx->queue[i]);

		if (code != CW_OK) {
			fx->rejected++;
			if (getenv("WORLD_TRACE") != NULL)
				fprintf(stderr, "%lld rejected %s: %d, %llx\n",
				    (long long)fx->now_ms,
				    rec_kind_name(fx->queue[i].kind), code,
				    (unsigned long long)fx->queue[i]
					.body.place.promise);
		}
		if (fx->done[i].call != NULL)
			fx->done[i].call(fx->done[i].ctx, code, fx->position);
	}
	return count;
}

static inline bool
fixture_may_act(void *ctx, int64_t now_ms)
{
	(void)ctx;
	(void)now_ms;
	return true;
}

static inline void
fixture_apply_config(struct sched_fixture *fx, const char *text)
{
	struct rec rec = fixture_rec(REC_CONFIG);
	const struct bd_config *row;
	int code;

	bd_read_begin();
	row = bd_config_lookup(fx->board, BD_CONFIG_ID);
	rec.body.config.base_version = row == NULL ? 0 : row->version;
	bd_read_end();
	rec.body.config.text = text;
	rec.body.config.text_bytes = (uint32_t)strlen(text);
	code = fixture_apply(fx, &rec);
	if (code != CW_OK) {
		fprintf(stderr, "configuration rejected: %d\n%s\n", code, text);
		abort();
	}
}

static inline void
fixture_init(struct sched_fixture *fx, const char *text)
{
	struct sch_spec spec;

	memset(fx, 0, sizeof(*fx));
	memset(&spec, 0, sizeof(spec));
	fx->now_ms = 1000000;
	fx->queue = (struct rec *)calloc(FIXTURE_QUEUE_MAX, sizeof(*fx->queue));
	fx->done = (struct st_completion *)calloc(
	    FIXTURE_QUEUE_MAX, sizeof(*fx->done));
	if (bd_board_create(&fx->board) != CW_OK ||
	    st_create(&fx->state, fx->board) != CW_OK)
		abort();
	spec.board = fx->board;
	spec.sink.propose = fixture_propose;
	spec.sink.ctx = fx;
	spec.may_act = fixture_may_act;
	if (sch_create(&fx->sch, &spec) != CW_OK)
		abort();
	fixture_apply_config(fx, text);
}

static inline void
fixture_free(struct sched_fixture *fx)
{
	sch_destroy(fx->sch);
	st_destroy(fx->state);
	bd_board_destroy(fx->board);
	free(fx->queue);
	free(fx->done);
}

/* Runs one step of the scheduler and applies its proposals. Returns their
 * number. */
static inline uint32_t
fixture_step(struct sched_fixture *fx)
{
	sch_step(fx->sch, fx->now_ms);
	return fixture_flush(fx);
}

/* Steps until the scheduler makes no more proposals; aborts after 20 steps. */
static inline void
fixture_step_until_idle(struct sched_fixture *fx)
{
	int steps = 0;

	while (fixture_step(fx) != 0)
		if (++steps == 20)
			abort();
}

/* Formats the fleet section of a configuration. */
static inline int
fixture_format_fleet(
    char *text, size_t bytes, double weight, int moves, const char *reclaim)
{
	return snprintf(text, bytes,
	    "[fleet]\nentry_vms = 9\nfragmentation_weight = %.2f\n"
	    "moves_per_hour = %d\nreclaim = \"%s\"\ncheckpoint = \"300ms\"\n",
	    weight, moves, reclaim);
}

static inline int
fixture_format_account(
    char *text, size_t bytes, const char *name, int quota, double weight)
{
	return snprintf(text, bytes,
	    "[[account]]\nname = \"%s\"\nquota = %d\nweight = %.2f\n"
	    "key_salt = \"000102030405060708090a0b0c0d0e0f\"\n"
	    "key_sha256 = \"%064d\"\n",
	    name, quota, weight, 0);
}

static inline int
fixture_format_guarantee(char *text, size_t bytes, int members, int accels,
    double cores, int gib, int copies)
{
	return snprintf(text, bytes,
	    "[[account.guarantee]]\nmembers = %d\naccelerators = %d\n"
	    "cores = %.2f\nmemory = \"%dGiB\"\ncopies = %d\n",
	    members, accels, cores, gib, copies);
}

/* Adds a worker or replaces its facts. Returns its id. */
static inline uint64_t
fixture_put_worker(struct sched_fixture *fx, const char *name,
    const char *region, const char *zone, const char *rack, uint32_t accels,
    uint32_t cores_milli, uint32_t memory_mb, uint32_t state)
{
	struct rec rec = fixture_rec(REC_WORKER);
	struct bd_worker *facts = &rec.body.worker.facts;
	const struct bd_worker *row;

	facts->id = cw_id_from_name(name);
	facts->region = cw_id_from_name(region);
	facts->zone = cw_id_from_name(zone);
	facts->rack = cw_id_from_name(rack);
	cw_name_copy(facts->name, sizeof(facts->name), name);
	cw_name_copy(facts->region_name, sizeof(facts->region_name), region);
	cw_name_copy(facts->zone_name, sizeof(facts->zone_name), zone);
	cw_name_copy(facts->rack_name, sizeof(facts->rack_name), rack);
	facts->accels = accels;
	facts->cores_milli = cores_milli;
	facts->memory_mb = memory_mb;
	facts->state = state;
	bd_read_begin();
	row = bd_worker_lookup(fx->board, facts->id);
	rec.body.worker.epoch = row == NULL ? 0 : row->epoch;
	bd_read_end();
	if (fixture_apply(fx, &rec) != CW_OK)
		abort();
	return facts->id;
}

static inline struct bd_worker
fixture_worker_row(struct sched_fixture *fx, uint64_t id)
{
	struct bd_worker row;
	const struct bd_worker *found;

	memset(&row, 0, sizeof(row));
	bd_read_begin();
	found = bd_worker_lookup(fx->board, id);
	if (found != NULL)
		row = *found;
	bd_read_end();
	return row;
}

static inline void
fixture_set_worker_state(struct sched_fixture *fx, uint64_t id, uint32_t state)
{
	struct rec rec = fixture_rec(REC_WORKER);

	rec.body.worker.facts = fixture_worker_row(fx, id);
	rec.body.worker.epoch = rec.body.worker.facts.epoch;
	rec.body.worker.facts.state = state;
	if (fixture_apply(fx, &rec) != CW_OK)
		abort();
}

struct fixture_job {
	const char *account;
	uint16_t members;
	uint16_t accels;
	uint32_t cores_milli;
	uint32_t memory_mb;
	uint32_t class_number;
	uint32_t cross_region;
	int64_t declared_ms;
};

static inline uint64_t
fixture_submit(struct sched_fixture *fx, const struct fixture_job *job)
{
	struct rec rec = fixture_rec(REC_JOB_SUBMIT);
	struct rec_job_submit *body = &rec.body.job_submit;

	body->account = cw_id_from_name(job->account);
	body->owner = 1;
	body->shape.members = job->members;
	body->shape.accels = job->accels;
	body->shape.cores_milli = job->cores_milli;
	body->shape.memory_mb = job->memory_mb;
	body->class_number = job->class_number;
	body->cross_region = job->cross_region;
	body->declared_ms = job->declared_ms;
	snprintf(body->name, sizeof(body->name), "j%llu",
	    (unsigned long long)fx->position);
	if (fixture_apply(fx, &rec) != CW_OK)
		abort();
	return fx->position;
}

static inline struct bd_job
fixture_job_row(struct sched_fixture *fx, uint64_t id)
{
	struct bd_job row;
	const struct bd_job *found;

	memset(&row, 0, sizeof(row));
	bd_read_begin();
	found = bd_job_lookup(fx->board, id);
	if (found != NULL)
		row = *found;
	bd_read_end();
	return row;
}

static inline int
fixture_gang_started(struct sched_fixture *fx, uint64_t job)
{
	struct rec rec = fixture_rec(REC_GANG_STARTED);

	rec.body.gang_started.job = job;
	rec.body.gang_started.token = fixture_job_row(fx, job).token;
	return fixture_apply(fx, &rec);
}

static inline int
fixture_gang_ended(struct sched_fixture *fx, uint64_t job,
    enum rec_outcome outcome, enum bd_reason reason, uint64_t worker,
    int64_t progress_ms)
{
	struct rec rec = fixture_rec(REC_GANG_ENDED);

	rec.body.gang_ended.job = job;
	rec.body.gang_ended.token = fixture_job_row(fx, job).token;
	rec.body.gang_ended.worker = worker;
	rec.body.gang_ended.outcome = outcome;
	rec.body.gang_ended.reason = reason;
	rec.body.gang_ended.progress_ms = progress_ms;
	return fixture_apply(fx, &rec);
}

static inline int
fixture_cancel(struct sched_fixture *fx, uint64_t job)
{
	struct rec rec = fixture_rec(REC_JOB_CANCEL);

	rec.body.job_cancel.job = job;
	return fixture_apply(fx, &rec);
}

/* Adds count workers, named w0 and up, in racks of rack_size workers and zones
 * of zone_racks racks. If there is more than one zone, the last one is in a
 * second region. */
static inline void
fixture_add_workers(struct sched_fixture *fx, int count, int rack_size,
    int zone_racks, uint32_t accels, uint32_t cores_milli, uint32_t memory_mb)
{
	int zones =
	    (count + rack_size * zone_racks - 1) / (rack_size * zone_racks);
	int i;

	for (i = 0; i < count; i++) {
		char name[24], rack[24], zone[24];
		int z = i / (rack_size * zone_racks);

		snprintf(name, sizeof(name), "w%d", i);
		snprintf(rack, sizeof(rack), "rack%d", i / rack_size);
		snprintf(zone, sizeof(zone), "z%d", z);
		fixture_put_worker(fx, name,
		    zones > 1 && z == zones - 1 ? "south" : "north", zone, rack,
		    accels, cores_milli, memory_mb, BD_WORKER_UP);
	}
}

#endif
