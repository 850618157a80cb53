#include <assert.h>
#include <string.h>

#include "scheduler_internal.h"

/* Usage of a worker, in thousandths of its capacity, above which its worst
 * overrunning job is throttled. Less than 1000, so that the scheduler acts
 * before the other jobs on the worker suffer. */
#define OVERRUN_WORKER_MILLI 900
/* A job overruns when it uses more than this, in thousandths of its declared
 * resources. */
#define OVERRUN_JOB_MILLI 1100
/* A throttled job is preempted if its worker is still overloaded after this
 * time. */
#define OVERRUN_THROTTLE_TIMEOUT_MS (30 * 1000)
/* A borrower that has run for this multiple of its expected run time may be
 * preempted for a starving gang. */
#define OVERRUN_RUN_FACTOR 3
/* Older usage reports are ignored. */
#define OVERRUN_REPORT_MAX_AGE_MS (2 * 60 * 1000)

/* Resources that the tasks of a worker use. */
struct worker_load {
	int64_t cores;       /* thousandths */
	int64_t memory;      /* MB */
	uint32_t worst_job;  /* job with the highest overrun, or SCH_NONE */
	int64_t worst_milli; /* its overrun_milli */
};

static const struct bd_usage *recent_usage(
    const struct sch *sch, const struct sch_job *job);
static int64_t overrun_milli(
    const struct bd_usage *usage, const struct bd_shape *shape);
static void measure_worker(
    const struct sch *sch, uint32_t worker, struct worker_load *load);
static struct sch_throttle *find_throttle(
    struct sch *sch, const struct bd_job *job);
static int send_action(
    struct sch *sch, const struct bd_job *job, uint32_t kind);
static int relieve_worker(
    struct sch *sch, uint32_t worker, const struct worker_load *load);
static void prune_throttles(struct sch *sch);
static int preempt_overdue_borrower(struct sch *sch);

/* Returns a job's usage report, or NULL if there is none that is recent and
 * from its present attempt. */
static const struct bd_usage *
recent_usage(const struct sch *sch, const struct sch_job *job)
{
	const struct bd_usage *usage =
	    bd_usage_lookup(sch->spec.board, job->row->id);

	if (usage == NULL ||
	    sch->now_ms - usage->reported_ms > OVERRUN_REPORT_MAX_AGE_MS ||
	    usage->reported_ms < job->row->started_ms)
		return NULL;
	return usage;
}

/* Returns the ratio of used to declared resources, in thousandths: the larger
 * one of cores and memory. */
static int64_t
overrun_milli(const struct bd_usage *usage, const struct bd_shape *shape)
{
	int64_t cores = shape->cores_milli == 0
	    ? 0
	    : (int64_t)usage->cores_milli * 1000 / shape->cores_milli;
	int64_t memory = shape->memory_mb == 0
	    ? 0
	    : (int64_t)usage->memory_mb * 1000 / shape->memory_mb;

	return cores > memory ? cores : memory;
}

/* Sums the resources that the tasks of a worker use, as reported or, without a
 * recent report, as declared. Finds the job with the worst overrun. */
static void
measure_worker(const struct sch *sch, uint32_t worker, struct worker_load *load)
{
	uint32_t t;

	memset(load, 0, sizeof(*load));
	load->worst_job = SCH_NONE;
	for (t = sch->workers[worker].first_task; t != SCH_NONE;
	     t = sch->tasks[t].next_on_worker) {
		const struct sch_job *job = &sch->jobs[sch->tasks[t].job];
		const struct bd_shape *shape = &job->row->shape;
		const struct bd_usage *usage = recent_usage(sch, job);
		int64_t overrun;

		load->cores +=
		    usage != NULL ? usage->cores_milli : shape->cores_milli;
		load->memory +=
		    usage != NULL ? usage->memory_mb : shape->memory_mb;
		if (usage == NULL || job->victim)
			continue;
		overrun = overrun_milli(usage, shape);
		if (overrun > OVERRUN_JOB_MILLI &&
		    overrun > load->worst_milli) {
			load->worst_job = sch->tasks[t].job;
			load->worst_milli = overrun;
		}
	}
}

static struct sch_throttle *
find_throttle(struct sch *sch, const struct bd_job *job)
{
	uint32_t i;

	for (i = 0; i < sch->throttle_count; i++)
		if (sch->throttles[i].job == job->id &&
		    sch->throttles[i].token == job->token)
			return &sch->throttles[i];
	return NULL;
}

static int
send_action(struct sch *sch, const struct bd_job *job, uint32_t kind)
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

/* Throttles the worst overrunning job of an overloaded worker, and preempts it
 * if throttling does not help. Memory use cannot be throttled, so on a worker
 * that runs short of memory the job is preempted at once. Returns the sink's
 * status. */
static int
relieve_worker(struct sch *sch, uint32_t worker, const struct worker_load *load)
{
	const struct sch_worker *entry = &sch->workers[worker];
	const struct bd_job *row = sch->jobs[load->worst_job].row;
	struct sch_throttle *throttle = find_throttle(sch, row);
	bool memory_overloaded =
	    load->memory * 1000 > entry->capacity.memory * OVERRUN_WORKER_MILLI;

	if (memory_overloaded ||
	    (throttle != NULL &&
		sch->now_ms - throttle->since_ms >=
		    OVERRUN_THROTTLE_TIMEOUT_MS))
		return sch_preempt(
		    sch, load->worst_job, SCH_NONE, BD_REASON_OVERRUN);
	if (throttle != NULL || sch->throttle_count == SCH_THROTTLES_MAX)
		return CW_OK;
	throttle = &sch->throttles[sch->throttle_count++];
	throttle->job = row->id;
	throttle->token = row->token;
	throttle->since_ms = sch->now_ms;
	return send_action(sch, row, SCH_ACTION_THROTTLE);
}

/* Removes the throttles of gangs that have ended or moved. */
static void
prune_throttles(struct sch *sch)
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

/* Preempts a borrower that has far exceeded its expected run time on a worker
 * reserved for a starving gang; at most one job per decision. */
static int
preempt_overdue_borrower(struct sch *sch)
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
		     t = sch->tasks[t].next_on_worker) {
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

/* Relieves overloaded workers, then preempts an overdue borrower on the
 * reserved workers. A worker that runs one task is skipped, because an overrun
 * there harms no other job. Returns the sink's status. */
int
sch_overrun_run(struct sch *sch)
{
	uint32_t w;
	int code = CW_OK;

	prune_throttles(sch);
	for (w = 0; w < sch->worker_count && code == CW_OK; w++) {
		const struct sch_worker *worker = &sch->workers[w];
		struct worker_load load;

		if (!sch_has_budget(sch))
			return CW_OK;
		if (worker->first_task == SCH_NONE ||
		    sch->tasks[worker->first_task].next_on_worker == SCH_NONE)
			continue;
		measure_worker(sch, w, &load);
		if (load.worst_job == SCH_NONE)
			continue;
		if (load.cores * 1000 >
			worker->capacity.cores * OVERRUN_WORKER_MILLI ||
		    load.memory * 1000 >
			worker->capacity.memory * OVERRUN_WORKER_MILLI)
			code = relieve_worker(sch, w, &load);
	}
	return code == CW_OK ? preempt_overdue_borrower(sch) : code;
}
