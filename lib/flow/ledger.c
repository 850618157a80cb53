#include <stdlib.h>
#include <string.h>

#include "flow_internal.h"

/* Fewer samples do not tell how far estimates are off. */
#define RATIO_SAMPLES_MIN 8
#define RATIO_MILLI_MIN 250
#define RATIO_MILLI_MAX 4000
/* Estimates below this say nothing about the ratio: a run takes some 100 ms
 * until its end is known, whatever it does. */
#define RATIO_ESTIMATE_MIN_MS 300
/* A running task that has exceeded its estimate counts with this part of it. */
#define OVERRUN_PART 10
/* A registered worker that gets no runs counts as returning for this long after
 * it has written its entry, which workers do each second. */
#define RETURN_MS 10000
/* The slack of waiting work is classified by powers of four from here on. */
#define SLACK_CLASS_MS 1000

/* Sums of one service, and what its ready and running tasks need at once. */
struct pool_sums {
	struct bd_ledger_pool pool;
	struct bd_room demand;
};

/* The job whose work is being added. */
struct job_work {
	const struct bd_flow *flow;
	struct bd_ledger_level *level;
	struct bd_work *account; /* NULL: the account is not named */
	struct pool_sums *sums;
	int64_t wall_ms;
	uint32_t ratio_milli;
	uint32_t slack; /* its class */
	bool too_late;
};

static int compare_milli(const void *a, const void *b);
static void add_room(struct bd_room *room, int64_t accels, int64_t cores_milli);
static void add_work(
    struct bd_work *work, const struct bd_flow_step *step, uint64_t ms);
static void add_host(
    struct pool_sums *sums, const struct fw_host_view *host, int64_t now_ms);
static uint32_t account_index(
    struct bd_ledger *ledger, const struct bd_setup *setup, uint64_t client);
static void note_demand(
    struct bd_room *demand, const struct bd_flow_step *step);
static void add_task(const struct job_work *work,
    const struct bd_flow_step *step, const struct bd_step_task *task,
    bool ready);
static void add_steps(const struct job_work *work);
static void set_ratios(struct bd_ledger *ledger, const struct fw_ratios *ratios,
    const struct bd_ledger *earlier);
static uint32_t ratio_of(const struct bd_ledger *ledger, uint64_t queue);
static void add_job(struct bd_ledger *ledger, struct pool_sums *sums,
    const struct fw_view *view, const struct bd_flow *flow);
static bool work_waits(const struct pool_sums *sums);
static bool differs(uint64_t a, uint64_t b);

static int
compare_milli(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

/* Notes how long a whole run took whose end its worker has listed. */
void
fw_ratios_note(struct fw_ratios *ratios, uint64_t queue, uint32_t estimate_ms,
    int64_t run_ms)
{
	struct fw_ratio_samples *samples = NULL;
	int64_t milli;
	uint32_t i;

	if (estimate_ms < RATIO_ESTIMATE_MIN_MS || run_ms < 0)
		return;
	for (i = 0; i < ratios->queue_count; i++)
		if (ratios->queues[i].queue == queue)
			samples = &ratios->queues[i];
	if (samples == NULL && ratios->queue_count < BD_LEDGER_QUEUES) {
		samples = &ratios->queues[ratios->queue_count++];
		samples->queue = queue;
	}
	if (samples == NULL)
		return;
	if (run_ms > (int64_t)estimate_ms * RATIO_MILLI_MAX / 1000)
		run_ms = (int64_t)estimate_ms * RATIO_MILLI_MAX / 1000;
	milli = run_ms * 1000 / estimate_ms;
	samples->milli[samples->count++ % FW_RATIO_SAMPLES] = (uint32_t)milli;
}

/* Returns the median ratio of run time to estimate of a queue, in thousandths:
 * of this placer's samples, or that of an earlier ledger, which may be NULL. */
uint32_t
fw_ratio_milli(const struct fw_ratios *ratios, const struct bd_ledger *earlier,
    uint64_t queue)
{
	uint32_t sorted[FW_RATIO_SAMPLES];
	uint32_t median = 1000;
	uint32_t count;
	uint32_t i;

	for (i = 0; earlier != NULL && i < earlier->queue_count; i++)
		if (earlier->queues[i].id == queue)
			median = (uint32_t)earlier->queues[i].ratio_milli;
	for (i = 0; i < ratios->queue_count; i++) {
		const struct fw_ratio_samples *samples = &ratios->queues[i];

		if (samples->queue != queue ||
		    samples->count < RATIO_SAMPLES_MIN)
			continue;
		count = samples->count < FW_RATIO_SAMPLES ? samples->count
							  : FW_RATIO_SAMPLES;
		memcpy(sorted, samples->milli, count * sizeof(*sorted));
		qsort(sorted, count, sizeof(*sorted), compare_milli);
		median = sorted[count / 2];
	}
	if (median < RATIO_MILLI_MIN)
		return RATIO_MILLI_MIN;
	return median > RATIO_MILLI_MAX ? RATIO_MILLI_MAX : median;
}

/* Returns the index of a priority in the ledger. */
uint32_t
fw_ledger_level(uint32_t priority)
{
	return priority < BD_LEDGER_LEVELS ? priority : BD_LEDGER_LEVELS - 1;
}

/* Returns the class of waiting work by its slack: 0 below 0, then below 1 s and
 * 4 s; the last one is unbounded. */
uint32_t
fw_ledger_slack_class(int64_t slack_ms)
{
	int64_t edge_ms = SLACK_CLASS_MS;
	uint32_t class = 1;

	if (slack_ms < 0)
		return 0;
	while (class < BD_LEDGER_SLACKS - 1 && slack_ms >= edge_ms) {
		edge_ms *= 4;
		class ++;
	}
	return class;
}

/* Returns the class of a group by the accelerators that its tasks need at once,
 * in powers of two; the last one is unbounded. */
uint32_t
fw_ledger_size_class(uint64_t accels)
{
	uint32_t class = 0;

	while (class < BD_LEDGER_SIZES - 1 && accels > 1) {
		accels /= 2;
		class ++;
	}
	return class;
}

/* Returns the accelerators that a group of a step needs at once. */
uint64_t
fw_step_group_accels(const struct bd_flow_step *step)
{
	return (step->flags & BD_STEP_GANG) != 0
	    ? (uint64_t)step->count * step->accels
	    : step->accels;
}

static void
add_room(struct bd_room *room, int64_t accels, int64_t cores_milli)
{
	room->accels += accels > 0 ? (uint64_t)accels : 0;
	room->cores_milli += cores_milli > 0 ? (uint64_t)cores_milli : 0;
}

static void
add_work(struct bd_work *work, const struct bd_flow_step *step, uint64_t ms)
{
	work->accel_ms += ms * step->accels;
	if ((step->flags & BD_STEP_FILLS) == 0)
		work->core_ms += ms * step->cores_milli / 1000;
}

/* Adds the capacity of a worker. One that is neither given runs nor draining
 * returns, as far as its entry tells. */
static void
add_host(
    struct pool_sums *sums, const struct fw_host_view *host, int64_t now_ms)
{
	const struct bd_host *row = host->row;
	struct bd_ledger_pool *pool = &sums->pool;
	int64_t accels = host->accels > 0 ? host->accels : 0;
	int64_t cores_milli = host->cores_milli > 0 ? host->cores_milli : 0;
	uint32_t i;

	if (row->leaving != 0) {
		add_room(&pool->leaving, row->accels, row->cores_milli);
		return;
	}
	if (!host->schedulable) {
		if (now_ms - row->heard_ms < RETURN_MS)
			add_room(
			    &pool->returning, row->accels, row->cores_milli);
		return;
	}
	add_room(&pool->present, row->accels, row->cores_milli);
	if (host->urgent)
		add_room(&pool->reserved, row->accels, row->cores_milli);
	if (host->failing || host->trial != 0)
		return;
	for (i = 0; i < (host->urgent ? 1 : 2); i++) {
		struct bd_room *widest = &pool->free_widest[i];

		add_room(&pool->free[i], accels, cores_milli);
		if ((uint64_t)accels > widest->accels)
			widest->accels = (uint64_t)accels;
		if ((uint64_t)cores_milli > widest->cores_milli)
			widest->cores_milli = (uint64_t)cores_milli;
	}
}

/* Returns the index of an account, which is added if there is room, or FW_NONE.
 */
static uint32_t
account_index(
    struct bd_ledger *ledger, const struct bd_setup *setup, uint64_t client)
{
	const struct bd_client *row =
	    setup != NULL ? fw_client_find(setup, client) : NULL;
	uint32_t i;

	for (i = 0; i < ledger->account_count; i++)
		if (ledger->accounts[i].id == client)
			return i;
	if (i == BD_LEDGER_ACCOUNTS) {
		ledger->left_out = 1;
		return FW_NONE;
	}
	ledger->accounts[i].id = client;
	ledger->accounts[i].guaranteed_accels =
	    row != NULL ? row->guaranteed_accels : 0;
	return ledger->account_count++;
}

static void
note_demand(struct bd_room *demand, const struct bd_flow_step *step)
{
	demand->accels += step->accels;
	if ((step->flags & BD_STEP_FILLS) == 0)
		demand->cores_milli += step->cores_milli;
}

/* Adds what a task still needs. One that lasts holds its resources instead. A
 * job that is too late is placed after all others, so what it waits for is
 * ahead of nobody. */
static void
add_task(const struct job_work *work, const struct bd_flow_step *step,
    const struct bd_step_task *task, bool ready)
{
	bool placed = task->state == BD_STEP_TASK_PLACED;
	uint64_t ms = (uint64_t)step->estimate_ms * work->ratio_milli / 1000;
	uint64_t ran_ms = work->wall_ms > task->changed_ms
	    ? (uint64_t)(work->wall_ms - task->changed_ms)
	    : 0;

	if (task->state == BD_STEP_TASK_DONE || (!placed && work->too_late))
		return;
	if ((step->flags & BD_STEP_LONG_RUNNING) != 0) {
		if (placed)
			add_room(&work->sums->pool.held, step->accels,
			    (step->flags & BD_STEP_FILLS) != 0
				? 0
				: step->cores_milli);
		return;
	}
	if (placed)
		ms = ms > ran_ms + ms / OVERRUN_PART ? ms - ran_ms
						     : ms / OVERRUN_PART;
	if (placed || ready)
		note_demand(&work->sums->demand, step);
	if (placed)
		add_work(&work->level->running, step, ms);
	else {
		uint32_t size =
		    fw_ledger_size_class(fw_step_group_accels(step));

		add_work(&work->level->by_slack[work->slack], step, ms);
		add_work(&work->level->by_size[size], step, ms);
	}
	if (work->account != NULL)
		add_work(work->account, step, ms);
}

/* Adds the tasks of all occurrences that are due. */
static void
add_steps(const struct job_work *work)
{
	const struct bd_flow *flow = work->flow;
	const struct bd_flow_step *steps = fw_flow_steps(flow);
	const struct bd_step_task *tasks = fw_flow_tasks(flow);
	uint32_t k;
	uint32_t s;
	uint32_t i;

	for (k = 0; k < flow->occurrences; k++) {
		if (flow->first_due_ms > 0 &&
		    work->wall_ms <
			flow->first_due_ms + (int64_t)k * flow->interval_ms)
			return;
		for (s = 0; s < flow->step_count; s++) {
			bool ready = fw_step_ready(flow, k, s, work->wall_ms);

			for (i = 0; i < steps[s].count; i++)
				add_task(work, &steps[s],
				    &tasks[k * flow->step_tasks +
					steps[s].first_task + i],
				    ready);
		}
	}
}

/* Sets the ratios of the queues of which this placer or the earlier ledger has
 * one. */
static void
set_ratios(struct bd_ledger *ledger, const struct fw_ratios *ratios,
    const struct bd_ledger *earlier)
{
	uint32_t count = ratios->queue_count;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < count; i++) {
		uint64_t queue = ratios->queues[i].queue;

		ledger->queues[i].id = queue;
		ledger->queues[i].ratio_milli =
		    fw_ratio_milli(ratios, earlier, queue);
	}
	for (i = 0; earlier != NULL && i < earlier->queue_count; i++) {
		for (k = 0; k < count; k++)
			if (ledger->queues[k].id == earlier->queues[i].id)
				break;
		if (k == count && count < BD_LEDGER_QUEUES)
			ledger->queues[count++] = earlier->queues[i];
	}
	ledger->queue_count = count;
}

static uint32_t
ratio_of(const struct bd_ledger *ledger, uint64_t queue)
{
	uint32_t i;

	for (i = 0; i < ledger->queue_count; i++)
		if (ledger->queues[i].id == queue)
			return (uint32_t)ledger->queues[i].ratio_milli;
	return 1000;
}

static void
add_job(struct bd_ledger *ledger, struct pool_sums *sums,
    const struct fw_view *view, const struct bd_flow *flow)
{
	const struct bd_flow_step *steps = fw_flow_steps(flow);
	uint32_t service = fw_view_service_index(view, flow->pool);
	uint32_t account =
	    account_index(ledger, fw_setup(view->board), flow->client);
	int64_t run_ms = fw_flow_run_ms(flow);
	int64_t target_ms = fw_flow_target_ms(flow, run_ms);
	int64_t age_ms = view->wall_ms > flow->accepted_ms
	    ? view->wall_ms - flow->accepted_ms
	    : 0;
	uint32_t level = fw_ledger_level(flow->priority);
	struct job_work work = {.flow = flow, .wall_ms = view->wall_ms};
	uint32_t s;

	if (flow->priority == 0 && account != FW_NONE)
		for (s = 0; s < flow->step_count; s++)
			ledger->accounts[account].urgent_accels +=
			    (uint64_t)steps[s].count * steps[s].accels;
	if (service == FW_NONE)
		return;
	work.sums = &sums[service];
	work.level = &work.sums->pool.levels[level];
	if (account != FW_NONE)
		work.account = &work.sums->pool.accounts[account][level];
	work.ratio_milli = ratio_of(ledger, flow->queue);
	work.slack = fw_ledger_slack_class(target_ms - run_ms - age_ms);
	/* The age of a job with a due time says nothing. */
	work.too_late = flow->first_due_ms == 0 &&
	    fw_flow_too_late(age_ms, run_ms, target_ms, view->settings);
	ledger->late_jobs += work.too_late;
	add_steps(&work);
}

/* Returns whether running and ready tasks need more than the service has. */
static bool
work_waits(const struct pool_sums *sums)
{
	const struct bd_ledger_pool *pool = &sums->pool;

	return sums->demand.accels + pool->held.accels >
	    pool->present.accels + pool->returning.accels ||
	    sums->demand.cores_milli + pool->held.cores_milli >
	    pool->present.cores_milli + pool->returning.cores_milli;
}

/*
 * Sums up the committed work and the capacity of each service in which work
 * waits for capacity, from a placer's view after its placements. The rest of
 * the ledger (term) is the caller's. Returns FW_ENOMEM.
 */
int
fw_ledger_sum(struct bd_ledger *out, const struct fw_view *view,
    const struct fw_ratios *ratios)
{
	const struct bd_ledger *earlier =
	    bd_ledger_lookup(view->board, BD_CONFIG_ID);
	struct pool_sums *sums = calloc(view->service_count + 1, sizeof(*sums));
	uint32_t i;

	memset(out, 0, sizeof(*out));
	if (sums == NULL)
		return cw_error_set(FW_ENOMEM, "no memory for the ledger");
	out->at_ms = view->wall_ms;
	set_ratios(out, ratios, earlier);
	for (i = 0; i < view->host_count; i++)
		add_host(&sums[view->hosts[i].service], &view->hosts[i],
		    view->now_ms);
	for (i = 0; i < view->job_count; i++) {
		const struct bd_flow *flow = fw_job_current(&view->jobs[i]);

		if (!fw_flow_ended(flow) && flow->cancelled == 0)
			add_job(out, sums, view, flow);
	}
	for (i = 0; i < view->service_count; i++) {
		if (!work_waits(&sums[i]))
			continue;
		if (out->pool_count == BD_LEDGER_POOLS) {
			out->left_out = 1;
			break;
		}
		out->pools[out->pool_count] = sums[i].pool;
		out->pools[out->pool_count++].id = view->services[i].pool;
	}
	free(sums);
	return CW_OK;
}

/* Returns whether two numbers differ by more than a tenth. */
static bool
differs(uint64_t a, uint64_t b)
{
	uint64_t more = a > b ? a : b;

	return (more - (a > b ? b : a)) * 10 > more;
}

/* Returns all committed work of a service. */
struct bd_work
fw_ledger_total(const struct bd_ledger_pool *pool)
{
	struct bd_work total = {0};
	uint32_t i;
	uint32_t k;

	for (i = 0; i < BD_LEDGER_LEVELS; i++) {
		total.accel_ms += pool->levels[i].running.accel_ms;
		total.core_ms += pool->levels[i].running.core_ms;
		for (k = 0; k < BD_LEDGER_SLACKS; k++) {
			total.accel_ms += pool->levels[i].by_slack[k].accel_ms;
			total.core_ms += pool->levels[i].by_slack[k].core_ms;
		}
	}
	return total;
}

/* Returns whether the work or the capacity of two ledgers differs by more than
 * a tenth. */
bool
fw_ledger_differs(const struct bd_ledger *a, const struct bd_ledger *b)
{
	uint32_t i;

	if (a->pool_count != b->pool_count)
		return true;
	for (i = 0; i < a->pool_count; i++) {
		struct bd_work x = fw_ledger_total(&a->pools[i]);
		struct bd_work y = fw_ledger_total(&b->pools[i]);

		if (a->pools[i].id != b->pools[i].id ||
		    differs(x.accel_ms, y.accel_ms) ||
		    differs(x.core_ms, y.core_ms) ||
		    differs(a->pools[i].present.accels,
			b->pools[i].present.accels) ||
		    differs(a->pools[i].present.cores_milli,
			b->pools[i].present.cores_milli))
			return true;
	}
	return false;
}
