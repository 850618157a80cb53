#include <assert.h>
#include <string.h>

#include "scheduler_internal.h"

/* Weight of a new sample in the moving average. */
#define LEARN_ALPHA 0.2
/* Relative deviation of the average at which the published factor is updated,
 * so that placements do not change with every report. */
#define LEARN_HYSTERESIS 0.15
/* Samples are clamped to this range: values outside it indicate a fault rather
 * than the account's usual behaviour. */
#define LEARN_FACTOR_MIN 0.125
#define LEARN_FACTOR_MAX 8.0

static struct sch_usage_ewma *find_slot(const struct sch *sch, uint64_t account,
    uint32_t class_number, bool create);
static double clamp_factor(double factor);
static void update_average(double *average, double value, uint32_t samples);
static void publish(uint32_t *milli, double average);
static void learn_run_time(struct sch *sch, const struct bd_job *job);
static void learn_usage(
    struct sch *sch, const struct bd_job *job, const struct bd_usage *usage);

static double
clamp_factor(double factor)
{
	if (factor < LEARN_FACTOR_MIN)
		return LEARN_FACTOR_MIN;
	return factor > LEARN_FACTOR_MAX ? LEARN_FACTOR_MAX : factor;
}

/* Returns the entry of an account and class, creating it if create is set.
 * Returns NULL if it does not exist or the table is full. */
static struct sch_usage_ewma *
find_slot(
    const struct sch *sch, uint64_t account, uint32_t class_number, bool create)
{
	uint64_t id = cw_id_from_pair(account, class_number);
	uint32_t i;

	for (i = 0; i < SCH_LEARN_SLOTS; i++) {
		struct sch_usage_ewma *slot =
		    &sch->usage_ewma_table[(id + i) % SCH_LEARN_SLOTS];

		if (slot->id == id)
			return slot;
		if (slot->id != 0)
			continue;
		if (!create)
			return NULL;
		slot->id = id;
		slot->run = 1;
		slot->cores = 1;
		slot->memory = 1;
		slot->published.run_milli = 1000;
		slot->published.cores_milli = 1000;
		slot->published.memory_milli = 1000;
		return slot;
	}
	return NULL;
}

/* Adds a value to a moving average of this many samples. The first few samples
 * are averaged with equal weight, so that the estimate converges quickly. */
static void
update_average(double *average, double value, uint32_t samples)
{
	double alpha = samples < 4 ? 1.0 / (samples + 1) : LEARN_ALPHA;

	*average += alpha * (clamp_factor(value) - *average);
}

/* Updates a published factor if the average differs clearly from it. */
static void
publish(uint32_t *milli, double average)
{
	double published = *milli / 1000.0;

	if (average > published * (1 + LEARN_HYSTERESIS) ||
	    average < published * (1 - LEARN_HYSTERESIS))
		*milli = (uint32_t)(average * 1000 + 0.5);
}

/* Learns from the run time of a completed job: the duration of its last
 * attempt, or the reported run time, which includes work resumed from a
 * checkpoint, if that is longer. */
static void
learn_run_time(struct sch *sch, const struct bd_job *job)
{
	const struct bd_usage *usage =
	    bd_usage_lookup(sch->spec.board, job->id);
	int64_t run_ms = job->ended_ms - job->started_ms;
	struct sch_usage_ewma *slot;

	if (job->declared_ms <= 0 || job->started_ms == 0)
		return;
	if (usage != NULL && usage->run_ms > run_ms)
		run_ms = usage->run_ms;
	slot = find_slot(sch, job->account, job->class_number, true);
	if (slot == NULL)
		return;
	update_average(&slot->run, (double)run_ms / (double)job->declared_ms,
	    slot->published.samples);
	publish(&slot->published.run_milli, slot->run);
	slot->published.samples++;
}

/* Learns cores and memory from a usage report, also while the job runs. Its
 * samples are not counted and all have the same weight. */
static void
learn_usage(
    struct sch *sch, const struct bd_job *job, const struct bd_usage *usage)
{
	struct sch_usage_ewma *slot =
	    find_slot(sch, job->account, job->class_number, true);

	if (slot == NULL)
		return;
	if (job->shape.cores_milli > 0) {
		update_average(&slot->cores,
		    (double)usage->cores_milli / job->shape.cores_milli,
		    SCH_NONE);
		publish(&slot->published.cores_milli, slot->cores);
	}
	if (job->shape.memory_mb > 0) {
		update_average(&slot->memory,
		    (double)usage->memory_mb / job->shape.memory_mb, SCH_NONE);
		publish(&slot->published.memory_milli, slot->memory);
	}
}

/* Processes all jobs that ended and all usage reports that arrived since the
 * last call. Must be called within a read section. */
void
sch_learn_run(struct sch *sch)
{
	const struct bd_usage *usage;
	const struct bd_job *job;
	uint64_t epoch = sch->learned_job_epoch;
	int64_t reported_ms = sch->learned_report_ms;
	uint32_t cursor = 0;

	while ((job = bd_job_next(sch->spec.board, &cursor)) != NULL) {
		if (job->epoch <= sch->learned_job_epoch)
			continue;
		if (job->epoch > epoch)
			epoch = job->epoch;
		if (job->state == BD_JOB_DONE)
			learn_run_time(sch, job);
	}
	cursor = 0;
	while ((usage = bd_usage_next(sch->spec.board, &cursor)) != NULL) {
		if (usage->reported_ms <= sch->learned_report_ms)
			continue;
		if (usage->reported_ms > reported_ms)
			reported_ms = usage->reported_ms;
		job = bd_job_lookup(sch->spec.board, usage->id);
		if (job != NULL)
			learn_usage(sch, job, usage);
	}
	sch->learned_job_epoch = epoch;
	sch->learned_report_ms = reported_ms;
}

/* Stores the factors of an account and class in *out; without samples, all
 * factors are 1000. */
void
sch_usage_factors_get(const struct sch *sch, uint64_t account,
    uint32_t class_number, struct sch_usage_factors *out)
{
	const struct sch_usage_ewma *slot =
	    find_slot(sch, account, class_number, false);

	memset(out, 0, sizeof(*out));
	out->run_milli = 1000;
	out->cores_milli = 1000;
	out->memory_milli = 1000;
	if (slot != NULL)
		*out = slot->published;
}

/* Returns the expected total run time of a job (ms, at least 1000): the
 * declared run time multiplied by the learned factor. */
int64_t
sch_expected_run_ms(const struct sch *sch, const struct bd_job *job)
{
	struct sch_usage_factors factors;
	int64_t run_ms = job->declared_ms;

	if (run_ms <= 0)
		run_ms = SCH_RUN_DEFAULT_MS;
	sch_usage_factors_get(sch, job->account, job->class_number, &factors);
	run_ms = run_ms / 1000 * factors.run_milli +
	    run_ms % 1000 * factors.run_milli / 1000;
	return run_ms < 1000 ? 1000 : run_ms;
}
