#ifndef CAMPHOR_TEST_SCHED_WORLD_H
#define CAMPHOR_TEST_SCHED_WORLD_H

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "scheduler.h"

/* One board whose log is in memory: proposals are applied in order, at once or
 * when world_flush is called. Shared by tests (C++) and the benchmark (C). */
#define WORLD_QUEUE_MAX 2048

struct world {
	struct bd_board *board;
	struct st_state *state;
	struct sch *sch;
	int64_t now_ms;
	uint64_t position;
	uint64_t sequence;
	uint32_t queued;
	uint32_t rejected; /* proposals that apply did not take */
	struct rec *queue;
	struct st_done *done;
	/* Told of each record that took effect; may be NULL. */
	void (*applied)(void *ctx, const struct rec *rec, uint64_t position);
	void *ctx;
};

static inline struct rec
world_rec(uint32_t kind)
{
	struct rec rec;

	memset(&rec, 0, sizeof(rec));
	rec.kind = kind;
	return rec;
}

static inline int
world_apply(struct world *w, struct rec *rec)
{
	int code;

	rec->version = REC_VERSION;
	rec->writer = 1;
	rec->sequence = ++w->sequence;
	rec->time_ms = w->now_ms;
	code = st_apply(w->state, rec, ++w->position);
	if (code == CW_OK && w->applied != NULL)
		w->applied(w->ctx, rec, w->position);
	return code;
}

static inline int
world_propose(void *ctx, const struct rec *rec, const struct st_done *done)
{
	struct world *w = (struct world *)ctx;

	assert(w->queued < WORLD_QUEUE_MAX);
	w->queue[w->queued] = *rec;
	memset(&w->done[w->queued], 0, sizeof(*done));
	if (done != NULL)
		w->done[w->queued] = *done;
	w->queued++;
	return CW_OK;
}

/* Applies what was proposed. Returns the number of proposals. */
static inline uint32_t
world_flush(struct world *w)
{
	uint32_t count = w->queued;
	uint32_t i;

	w->queued = 0;
	for (i = 0; i < count; i++) {
		int code = world_apply(w, &w->queue[i]);

		if (code != CW_OK) {
			w->rejected++;
			if (getenv("WORLD_TRACE") != NULL)
				fprintf(stderr, "%lld rejected %s: %d, %llx\n",
				    (long long)w->now_ms,
				    rec_kind_name(w->queue[i].kind), code,
				    (unsigned long long)w->queue[i]
					.body.place.promise);
		}
		if (w->done[i].call != NULL)
			w->done[i].call(w->done[i].ctx, code, w->position);
	}
	return count;
}

static inline bool
world_may_act(void *ctx, int64_t now_ms)
{
	(void)ctx;
	(void)now_ms;
	return true;
}

static inline void
world_config(struct world *w, const char *text)
{
	struct rec rec = world_rec(REC_CONFIG);
	const struct bd_config *row;
	int code;

	bd_read_begin();
	row = bd_config_lookup(w->board, BD_CONFIG_ID);
	rec.body.config.base_version = row == NULL ? 0 : row->version;
	bd_read_end();
	rec.body.config.text = text;
	rec.body.config.text_bytes = (uint32_t)strlen(text);
	code = world_apply(w, &rec);
	if (code != CW_OK) {
		fprintf(stderr, "text refused: %d\n%s\n", code, text);
		abort();
	}
}

static inline void
world_init(struct world *w, const char *text)
{
	struct sch_spec spec;

	memset(w, 0, sizeof(*w));
	memset(&spec, 0, sizeof(spec));
	w->now_ms = 1000000;
	w->queue = (struct rec *)calloc(WORLD_QUEUE_MAX, sizeof(*w->queue));
	w->done = (struct st_done *)calloc(WORLD_QUEUE_MAX, sizeof(*w->done));
	if (bd_board_create(&w->board) != CW_OK ||
	    st_create(&w->state, w->board) != CW_OK)
		abort();
	spec.board = w->board;
	spec.sink.propose = world_propose;
	spec.sink.ctx = w;
	spec.may_act = world_may_act;
	if (sch_create(&w->sch, &spec) != CW_OK)
		abort();
	world_config(w, text);
}

static inline void
world_free(struct world *w)
{
	sch_destroy(w->sch);
	st_destroy(w->state);
	bd_board_destroy(w->board);
	free(w->queue);
	free(w->done);
}

/* One decision with everything that follows from it. */
static inline uint32_t
world_step(struct world *w)
{
	sch_step(w->sch, w->now_ms);
	return world_flush(w);
}

/* Decides until nothing more follows from the present tables. */
static inline void
world_settle(struct world *w)
{
	int steps = 0;

	while (world_step(w) != 0)
		if (++steps == 20)
			abort();
}

/* Writes the head of a text. */
static inline int
world_text_head(
    char *text, size_t bytes, double weight, int moves, const char *reclaim)
{
	return snprintf(text, bytes,
	    "[fleet]\nentry_vms = 9\nfragmentation_weight = %.2f\n"
	    "moves_per_hour = %d\nreclaim = \"%s\"\ncheckpoint = \"300ms\"\n",
	    weight, moves, reclaim);
}

static inline int
world_text_account(
    char *text, size_t bytes, const char *name, int quota, double weight)
{
	return snprintf(text, bytes,
	    "[[account]]\nname = \"%s\"\nquota = %d\nweight = %.2f\n"
	    "key_salt = \"000102030405060708090a0b0c0d0e0f\"\n"
	    "key_sha256 = \"%064d\"\n",
	    name, quota, weight, 0);
}

static inline int
world_text_guarantee(char *text, size_t bytes, int members, int accels,
    double cores, int gib, int copies)
{
	return snprintf(text, bytes,
	    "[[account.guarantee]]\nmembers = %d\naccelerators = %d\n"
	    "cores = %.2f\nmemory = \"%dGiB\"\ncopies = %d\n",
	    members, accels, cores, gib, copies);
}

/* Adds a worker or changes its state. */
static inline uint64_t
world_worker(struct world *w, const char *name, const char *region,
    const char *zone, const char *rack, uint32_t accels, uint32_t cores_milli,
    uint32_t memory_mb, uint32_t state)
{
	struct rec rec = world_rec(REC_WORKER);
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
	row = bd_worker_lookup(w->board, facts->id);
	rec.body.worker.epoch = row == NULL ? 0 : row->epoch;
	bd_read_end();
	if (world_apply(w, &rec) != CW_OK)
		abort();
	return facts->id;
}

static inline struct bd_worker
world_worker_row(struct world *w, uint64_t id)
{
	struct bd_worker row;
	const struct bd_worker *found;

	memset(&row, 0, sizeof(row));
	bd_read_begin();
	found = bd_worker_lookup(w->board, id);
	if (found != NULL)
		row = *found;
	bd_read_end();
	return row;
}

static inline void
world_worker_state(struct world *w, uint64_t id, uint32_t state)
{
	struct rec rec = world_rec(REC_WORKER);

	rec.body.worker.facts = world_worker_row(w, id);
	rec.body.worker.epoch = rec.body.worker.facts.epoch;
	rec.body.worker.facts.state = state;
	if (world_apply(w, &rec) != CW_OK)
		abort();
}

struct world_job {
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
world_submit(struct world *w, const struct world_job *job)
{
	struct rec rec = world_rec(REC_JOB_SUBMIT);
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
	    (unsigned long long)w->position);
	if (world_apply(w, &rec) != CW_OK)
		abort();
	return w->position;
}

static inline struct bd_job
world_job_row(struct world *w, uint64_t id)
{
	struct bd_job row;
	const struct bd_job *found;

	memset(&row, 0, sizeof(row));
	bd_read_begin();
	found = bd_job_lookup(w->board, id);
	if (found != NULL)
		row = *found;
	bd_read_end();
	return row;
}

static inline int
world_started(struct world *w, uint64_t job)
{
	struct rec rec = world_rec(REC_GANG_STARTED);

	rec.body.gang_started.job = job;
	rec.body.gang_started.token = world_job_row(w, job).token;
	return world_apply(w, &rec);
}

static inline int
world_ended(struct world *w, uint64_t job, enum rec_outcome outcome,
    enum bd_reason reason, uint64_t worker, int64_t progress_ms)
{
	struct rec rec = world_rec(REC_GANG_ENDED);

	rec.body.gang_ended.job = job;
	rec.body.gang_ended.token = world_job_row(w, job).token;
	rec.body.gang_ended.worker = worker;
	rec.body.gang_ended.outcome = outcome;
	rec.body.gang_ended.reason = reason;
	rec.body.gang_ended.progress_ms = progress_ms;
	return world_apply(w, &rec);
}

static inline int
world_cancel(struct world *w, uint64_t job)
{
	struct rec rec = world_rec(REC_JOB_CANCEL);

	rec.body.job_cancel.job = job;
	return world_apply(w, &rec);
}

/* Workers w0.. with racks of rack_size, and zones of zone_racks racks; the
 * regions are two, of which the second holds the last zone. */
static inline void
world_workers(struct world *w, int count, int rack_size, int zone_racks,
    uint32_t accels, uint32_t cores_milli, uint32_t memory_mb)
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
		world_worker(w, name,
		    zones > 1 && z == zones - 1 ? "south" : "north", zone, rack,
		    accels, cores_milli, memory_mb, BD_WORKER_UP);
	}
}

#endif
