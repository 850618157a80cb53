#include <assert.h>
#include <string.h>

#include "scheduler_internal.h"

/* Measured use of a worker at which its heaviest overrunner is held back, in
 * thousandths of its size. Below 1000, so that neighbours are not harmed. */
#define OVERRUN_WORKER_MILLI 900
/* A job overruns when it uses this much of what it declared. */
#define OVERRUN_JOB_MILLI 1100
/* A throttled job whose worker is still too full after this time moves. */
#define OVERRUN_MOVE_MS (30 * 1000)
/* A borrower that has run this many times its expected time gives way to a
 * starving gang. */
#define OVERRUN_RUN_FACTOR 3
/* Reports that are older say nothing about the present. */
#define OVERRUN_REPORT_MS (2 * 60 * 1000)

struct load {
	int64_t cores;
	int64_t memory;
	uint32_t worst; /* job that is furthest above its declaration */
	int64_t worst_milli;
};

static const struct bd_usage *usage_of(
    const struct sch *sch, const struct sch_job *job);
static int64_t over_milli(
    const struct bd_usage *usage, const struct bd_shape *shape);
static void measure(const struct sch *sch, uint32_t worker, struct load *load);
static struct sch_throttle *throttle_of(
    struct sch *sch, const struct bd_job *job);
static int act(struct sch *sch, const struct bd_job *job, uint32_t kind);
static int relieve(struct sch *sch, uint32_t worker, const struct load *load);
static void forget_ended(struct sch *sch);
static int give_way(struct sch *sch);

/* Returns a recent report on a job, or NULL. */
static const struct bd_usage *
usage_of(const struct sch *sch, const struct sch_job *job)
{
	const struct bd_usage *usage =
	    bd_usage_lookup(sch->spec.board, job->row->id);

	if (usage == NULL ||
	    sch->now_ms - usage->reported_ms > OVERRUN_REPORT_MS ||
	    usage->reported_ms < job->row->started_ms)
		return NULL;
	return usage;
}

/* Use over declaration of the worse of cores and memory, in thousandths. */
static int64_t
over_milli(const struct bd_usage *usage, const struct bd_shape *shape)
{
	int64_t cores = shape->cores_milli == 0
	    ? 0
	    : (int64_t)usage->cores_milli * 1000 / shape->cores_milli;
	int64_t memory = shape->memory_mb == 0
	    ? 0
	    : (int64_t)usage->memory_mb * 1000 / shape->memory_mb;

	return cores > memory ? cores : memory;
}

/* Sums what the tasks of a worker use, by report or else by declaration. */
static void
measure(const struct sch *sch, uint32_t worker, struct load *load)
{
	uint32_t t;

	memset(load, 0, sizeof(*load));
	load->worst = SCH_NONE;
	for (t = sch->workers[worker].first_task; t != SCH_NONE;
	     t = sch->tasks[t].next_of_worker) {
		const struct sch_job *job = &sch->jobs[sch->tasks[t].job];
		const struct bd_shape *shape = &job->row->shape;
		const struct bd_usage *usage = usage_of(sch, job);
		int64_t over;

		load->cores +=
		    usage != NULL ? usage->cores_milli : shape->cores_milli;
		load->memory +=
		    usage != NULL ? usage->memory_mb : shape->memory_mb;
		if (usage == NULL || job->victim)
			continue;
		over = over_milli(usage, shape);
		if (over > OVERRUN_JOB_MILLI && over > load->worst_milli) {
			load->worst = sch->tasks[t].job;
			load->worst_milli = over;
		}
	}
}

static struct sch_throttle *
throttle_of(struct sch *sch, const struct bd_job *job)
{
	uint32_t i;

	for (i = 0; i < sch->throttle_count; i++)
		if (sch->throttles[i].job == job->id &&
		    sch->throttles[i].token == job->token)
			return &sch->throttles[i];
	return NULL;
}

static int
act(struct sch *sch, const struct bd_job *job, uint32_t kind)
{
	struct sch_action action = {.kind = kind,
	    .cores_milli = job->shape.cores_milli,
	    .memory_mb = job->shape.memory_mb,
	    .job = job->id,
	    .token = job->token};

	if (sch->spec.actions.act == NULL)
		return CW_OK;
	return sch->spec.actions.act(sch->spec.actions.ctx, &action);
}

/* Throttles the worst overrunner of a worker that is nearly full and has
 * neighbours to protect; moves it where that did not help. Memory cannot be
 * throttled, so a worker that runs out of it has the job moved at once. */
static int
relieve(struct sch *sch, uint32_t worker, const struct load *load)
{
	const struct sch_worker *entry = &sch->workers[worker];
	const struct bd_job *row = sch->jobs[load->worst].row;
	struct sch_throttle *throttle = throttle_of(sch, row);
	bool memory =
	    load->memory * 1000 > entry->all.memory * OVERRUN_WORKER_MILLI;

	if (memory ||
	    (throttle != NULL &&
		sch->now_ms - throttle->since_ms >= OVERRUN_MOVE_MS))
		return sch_preempt(
		    sch, load->worst, SCH_NONE, BD_REASON_OVERRUN);
	if (throttle != NULL || sch->throttle_count == SCH_THROTTLES_MAX)
		return CW_OK;
	throttle = &sch->throttles[sch->throttle_count++];
	throttle->job = row->id;
	throttle->token = row->token;
	throttle->since_ms = sch->now_ms;
	return act(sch, row, SCH_ACTION_THROTTLE);
}

/* Drops the throttles of gangs that have ended or moved. */
static void
forget_ended(struct sch *sch)
{
	uint32_t i = 0;

	while (i < sch->throttle_count) {
		const struct sch_throttle *throttle = &sch->throttles[i];
		uint32_t j = sch_index_get(&sch->job_index, throttle->job);

		if (j != SCH_NONE && sch->jobs[j].row->token == throttle->token)
			i++;
		else
			sch->throttles[i] =
			    sch->throttles[--sch->throttle_count];
	}
}

/* A borrower far beyond its expected time gives its reserved worker up to the
 * starving gang, one gang a decision. */
static int
give_way(struct sch *sch)
{
	uint32_t for_job = sch_index_get(&sch->job_index, sch->reservation.job);
	uint32_t w;
	uint32_t t;

	if (sch->reservation.job == 0 || for_job == SCH_NONE ||
	    sch->now_ms < sch->reservation.start_ms)
		return CW_OK;
	for (w = 0; w < sch->worker_count; w++) {
		if (!sch->workers[w].reserved)
			continue;
		for (t = sch->workers[w].first_task; t != SCH_NONE;
		     t = sch->tasks[t].next_of_worker) {
			const struct sch_job *job =
			    &sch->jobs[sch->tasks[t].job];

			if (job->victim || job->promise != SCH_NONE ||
			    job->row->state != BD_JOB_RUNNING ||
			    sch->now_ms - job->row->started_ms <
				OVERRUN_RUN_FACTOR * job->run_ms)
				continue;
			return sch_preempt(
			    sch, sch->tasks[t].job, for_job, BD_REASON_OVERRUN);
		}
	}
	return CW_OK;
}

/* Looks at every worker with more than one task; see relieve and give_way. */
int
sch_overrun_run(struct sch *sch)
{
	uint32_t w;
	int code = CW_OK;

	forget_ended(sch);
	for (w = 0; w < sch->worker_count && code == CW_OK; w++) {
		const struct sch_worker *worker = &sch->workers[w];
		struct load load;

		if (!sch_has_budget(sch))
			return CW_OK;
		if (worker->first_task == SCH_NONE ||
		    sch->tasks[worker->first_task].next_of_worker == SCH_NONE)
			continue;
		measure(sch, w, &load);
		if (load.worst == SCH_NONE)
			continue;
		if (load.cores * 1000 >
			worker->all.cores * OVERRUN_WORKER_MILLI ||
		    load.memory * 1000 >
			worker->all.memory * OVERRUN_WORKER_MILLI)
			code = relieve(sch, w, &load);
	}
	return code == CW_OK ? give_way(sch) : code;
}
