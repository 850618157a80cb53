#ifndef CAMPHOR_BENCH_SCHED_LOAD_H
#define CAMPHOR_BENCH_SCHED_LOAD_H

#include <math.h>

#include "../sched_fixture.h"

/* Seeded workloads of bench_sched, with the same jobs and failures for every
 * policy. Times are in ms since the start of the run. */
#define LOAD_JOBS_MAX 30000
#define LOAD_ACCOUNTS_MAX 32
#define LOAD_WORKERS_MAX 800
#define LOAD_FAULTS_MAX 256

struct load_job {
	struct fixture_job job;
	uint32_t account;
	int64_t submit_ms;
	int64_t actual_run_ms;
	int64_t cancel_ms; /* 0: never */
	bool small;
	bool impossible;
};

enum load_fault_kind {
	LOAD_FAULT_LOST,
	LOAD_FAULT_RECOVERED,
	LOAD_FAULT_FAULTY, /* fails every task */
	LOAD_FAULT_REPAIRED,
};

struct load_fault {
	int64_t at_ms;
	uint32_t worker;
	uint32_t kind;
};

struct load_account {
	char name[CW_NAME_BYTES];
	int quota;
	int gang_members; /* shape of the guaranteed gangs */
	int gang_accels;
	int gang_copies;
	int urgent_accels; /* guaranteed urgent shape, one member */
	int urgent_copies;
	double bias; /* log2 of declared over actual run time */
};

/* Arrival rate and size distribution of one kind of job. */
struct load_kind {
	double per_s;
	uint32_t class_number;
	uint16_t members_min, members_max;
	uint16_t accels_min, accels_max;
	uint32_t cores_milli, memory_mb;
	double run_min_s, run_max_s;
	uint32_t burst; /* jobs submitted together */
	bool urgent_shape;
};

struct load {
	const char *prefix;
	double weight;
	int moves_per_hour;
	uint32_t worker_count, rack_size, zone_racks;
	uint32_t accels[LOAD_WORKERS_MAX];
	uint32_t cores_milli, memory_mb;
	int64_t arrivals_ms;
	uint32_t account_count;
	struct load_account accounts[LOAD_ACCOUNTS_MAX];
	const struct load_kind *kinds;
	uint32_t kind_count;
	uint32_t lost_workers;   /* lost during the arrivals */
	uint32_t faulty_workers; /* fail every task for a while */
	bool rack_fault;
	uint32_t job_count;
	struct load_job *jobs;
	uint32_t fault_count;
	struct load_fault fault[LOAD_FAULTS_MAX];
};

static inline double
load_draw_normal(struct cw_rng *rng)
{
	double u = cw_rng_unit(rng) + 1e-12;

	return sqrt(-2 * log(u)) * cos(6.283185307 * cw_rng_unit(rng));
}

static inline uint16_t
load_draw_size(struct cw_rng *rng, uint16_t low, uint16_t high)
{
	uint16_t value = low;

	/* The size doubles with probability 1/2, so small sizes are more
	 * frequent. */
	while (value < high && cw_rng_below(rng, 2) == 0)
		value = value * 2 > high ? high : (uint16_t)(value * 2);
	return value;
}

static inline void
load_add_job(struct load *load, struct cw_rng *rng,
    const struct load_kind *kind, uint32_t account, int64_t at_ms)
{
	struct load_account *owner = &load->accounts[account];
	struct load_job *job = &load->jobs[load->job_count];
	double span = log(kind->run_max_s / kind->run_min_s);

	if (load->job_count == LOAD_JOBS_MAX)
		return;
	load->job_count++;
	memset(job, 0, sizeof(*job));
	job->account = account;
	job->submit_ms = at_ms;
	job->job.account = owner->name;
	job->job.members =
	    load_draw_size(rng, kind->members_min, kind->members_max);
	job->job.accels =
	    load_draw_size(rng, kind->accels_min, kind->accels_max);
	if (kind->urgent_shape)
		job->job.accels = (uint16_t)owner->urgent_accels;
	job->job.cores_milli =
	    kind->cores_milli * (job->job.accels == 0 ? 1 : job->job.accels);
	job->job.memory_mb =
	    kind->memory_mb * (job->job.accels == 0 ? 1 : job->job.accels);
	job->job.class_number = kind->class_number;
	job->actual_run_ms =
	    (int64_t)(1000 * kind->run_min_s * exp(span * cw_rng_unit(rng)));
	/* Declared run times deviate by a factor of the account and a random
	 * factor of the job. */
	job->job.declared_ms = (int64_t)((double)job->actual_run_ms *
	    pow(2, owner->bias + 0.6 * load_draw_normal(rng)));
	job->small = job->job.members == 1 && job->job.accels <= 2;
	if (cw_rng_below(rng, 2000) == 0 && kind->members_max > 1) {
		job->job.members = 64;
		job->job.accels = 32;
		job->impossible = true;
	}
}

static inline int
load_compare_jobs(const void *a, const void *b)
{
	const struct load_job *x = (const struct load_job *)a;
	const struct load_job *y = (const struct load_job *)b;

	return (x->submit_ms > y->submit_ms) - (x->submit_ms < y->submit_ms);
}

static inline void
load_add_fault(struct load *load, int64_t at_ms, uint32_t worker, uint32_t kind)
{
	struct load_fault *fault = &load->fault[load->fault_count];

	if (load->fault_count == LOAD_FAULTS_MAX ||
	    worker >= load->worker_count)
		return;
	load->fault_count++;
	fault->at_ms = at_ms;
	fault->worker = worker;
	fault->kind = kind;
}

static inline void
load_generate_faults(struct load *load, struct cw_rng *rng)
{
	uint32_t i;

	for (i = 0; i < load->lost_workers; i++) {
		uint32_t worker = cw_rng_below(rng, load->worker_count);
		int64_t at =
		    (int64_t)(cw_rng_unit(rng) * (double)load->arrivals_ms);

		load_add_fault(load, at, worker, LOAD_FAULT_LOST);
		load_add_fault(
		    load, at + 1200000, worker, LOAD_FAULT_RECOVERED);
	}
	for (i = 0; i < load->faulty_workers; i++) {
		uint32_t worker = cw_rng_below(rng, load->worker_count);
		int64_t at =
		    (int64_t)(cw_rng_unit(rng) * (double)load->arrivals_ms);

		load_add_fault(load, at, worker, LOAD_FAULT_FAULTY);
		load_add_fault(load, at + 1200000, worker, LOAD_FAULT_REPAIRED);
	}
	for (i = 0; load->rack_fault && i < load->rack_size; i++) {
		load_add_fault(load, load->arrivals_ms / 2, load->rack_size + i,
		    LOAD_FAULT_LOST);
		load_add_fault(load, load->arrivals_ms / 2 + 1800000,
		    load->rack_size + i, LOAD_FAULT_RECOVERED);
	}
}

/* Generates the jobs and faults. Equal seeds give equal loads. */
static inline void
load_generate(struct load *load, uint64_t seed)
{
	struct cw_rng rng;
	uint32_t k;
	uint32_t i;

	cw_rng_seed(&rng, seed);
	load->jobs =
	    (struct load_job *)calloc(LOAD_JOBS_MAX, sizeof(*load->jobs));
	for (k = 0; k < load->kind_count; k++) {
		const struct load_kind *kind = &load->kinds[k];
		double at = 0;

		for (;;) {
			uint32_t account;

			at -= log(cw_rng_unit(&rng) + 1e-12) * 1000 *
			    kind->burst / kind->per_s;
			if (at >= (double)load->arrivals_ms)
				break;
			/* Account 0 submits more than half of the jobs. */
			account = cw_rng_below(&rng, 2) == 0
			    ? 0
			    : cw_rng_below(&rng, load->account_count);
			for (i = 0; i < kind->burst; i++)
				load_add_job(load, &rng, kind, account,
				    (int64_t)at + i * 50);
		}
	}
	qsort(load->jobs, load->job_count, sizeof(*load->jobs),
	    load_compare_jobs);
	/* Mass cancellation: at one third of the run, about a third of the jobs
	 * submitted in the ten minutes before are cancelled. */
	for (i = 0; i < load->job_count; i++)
		if (load->jobs[i].submit_ms < load->arrivals_ms / 3 &&
		    load->jobs[i].submit_ms > load->arrivals_ms / 3 - 600000 &&
		    cw_rng_below(&rng, 3) == 0)
			load->jobs[i].cancel_ms = load->arrivals_ms / 3;
	load_generate_faults(load, &rng);
}

/* Formats the configuration for a load. */
static inline void
load_format_config(
    const struct load *load, bool guarantees, char *text, size_t bytes)
{
	int n = fixture_format_fleet(
	    text, bytes, load->weight, load->moves_per_hour, "4s");
	uint32_t i;

	for (i = 0; i < load->account_count; i++) {
		const struct load_account *a = &load->accounts[i];

		n += fixture_format_account(
		    text + n, bytes - (size_t)n, a->name, a->quota, 1);
		if (guarantees && a->gang_copies > 0)
			n += fixture_format_guarantee(text + n,
			    bytes - (size_t)n, a->gang_members, a->gang_accels,
			    a->gang_accels * 2.0, a->gang_accels * 4,
			    a->gang_copies);
		if (guarantees && a->urgent_copies > 0)
			n += fixture_format_guarantee(text + n,
			    bytes - (size_t)n, 1, a->urgent_accels,
			    a->urgent_accels * 2.0, a->urgent_accels * 4,
			    a->urgent_copies);
	}
}

#endif
