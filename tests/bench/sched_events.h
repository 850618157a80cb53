#ifndef CAMPHOR_BENCH_SCHED_EVENTS_H
#define CAMPHOR_BENCH_SCHED_EVENTS_H

/* State and event queue of one simulated run. */
#include "sched_load.h"

#define SIM_START_DELAY_MS 300 /* to reserve, commit and start a gang */
#define SIM_CHECKPOINT_INTERVAL_MS 600000
#define SIM_TIMER_INTERVAL_MS 5000
#define SIM_SAMPLE_INTERVAL_MS 60000
#define SIM_FAILURE_DELAY_MS 5000 /* until a task on a faulty worker fails */
#define SIM_EPOCH_MS 1000000
#define SIM_TIME_LIMIT_MS ((int64_t)200 * 3600 * 1000)

enum policy {
	POLICY_SCHEDULER,
	POLICY_FIRST_FIT,
	POLICY_BEST_FIT,
	POLICY_UNGUARANTEED, /* the scheduler, without guarantees */
	POLICY_COUNT,
};

enum event_kind {
	EVENT_SUBMIT,
	EVENT_STARTED,
	EVENT_DONE,
	EVENT_STOPPED,
	EVENT_CHECKPOINT,
	EVENT_CANCEL,
	EVENT_FAULT,
	EVENT_FAILED,
	EVENT_TIMER,
	EVENT_SAMPLE,
};

struct event {
	int64_t at_ms;
	uint64_t order; /* tie-break for equal times */
	uint64_t token;
	uint32_t kind;
	uint32_t index; /* of a job or fault */
};

struct sim_job {
	uint64_t id;
	int64_t end_ms;
	int64_t started_ms;
	int64_t progress_ms;
	bool within_guarantee; /* urgent and within the account's guarantee */
	bool waiting;
	bool ended;
	bool first_started;
};

struct sim {
	const struct load *load;
	enum policy policy;
	struct sched_fixture fx;
	struct cw_rng rng;
	struct sim_job *jobs;
	struct event *heap;
	uint32_t heap_count, heap_max;
	uint64_t event_order;
	uint32_t *waiting; /* in order of submission, for the baselines */
	uint32_t waiting_count;
	uint32_t active_jobs;
	uint32_t active_urgent[LOAD_ACCOUNTS_MAX];
	/* Time of the first preemption for the account since its last placement
	 * in a plan; 0 if there was none. */
	int64_t reclaim_started_ms[LOAD_ACCOUNTS_MAX];
	bool faulty[LOAD_WORKERS_MAX];
	uint64_t worker_ids[LOAD_WORKERS_MAX];
	uint32_t free_mask[LOAD_WORKERS_MAX];
	bool timer_set;
	struct sim_result {
		double completion_all, completion_small, completion_gang;
		double fragmentation; /* sum, weighted by free accelerators */
		double free;
		uint32_t done, guarantee_violations, unfinished, preempted;
		double busy_ms, capacity_ms, lost_ms, last_ms;
		uint32_t busy;
		struct hist urgent, reclaim, decision_us;
	} result;
};

static bool
event_before(const struct event *a, const struct event *b)
{
	return a->at_ms < b->at_ms ||
	    (a->at_ms == b->at_ms && a->order < b->order);
}

static void
event_push(struct sim *sim, int64_t at_ms, uint32_t kind, uint32_t index,
    uint64_t token)
{
	struct event event = {at_ms, sim->event_order++, token, kind, index};
	uint32_t i;

	if (sim->heap_count == sim->heap_max) {
		sim->heap_max = sim->heap_max * 2 + 1024;
		sim->heap =
		    realloc(sim->heap, sim->heap_max * sizeof(*sim->heap));
	}
	for (i = sim->heap_count++; i > 0; i = (i - 1) / 2) {
		if (!event_before(&event, &sim->heap[(i - 1) / 2]))
			break;
		sim->heap[i] = sim->heap[(i - 1) / 2];
	}
	sim->heap[i] = event;
}

static struct event
event_pop(struct sim *sim)
{
	struct event top = sim->heap[0];
	struct event last = sim->heap[--sim->heap_count];
	uint32_t i = 0;
	uint32_t child;

	while ((child = i * 2 + 1) < sim->heap_count) {
		if (child + 1 < sim->heap_count &&
		    event_before(&sim->heap[child + 1], &sim->heap[child]))
			child++;
		if (!event_before(&sim->heap[child], &last))
			break;
		sim->heap[i] = sim->heap[child];
		i = child;
	}
	sim->heap[i] = last;
	return top;
}

static bool
is_scheduler(const struct sim *sim)
{
	return sim->policy == POLICY_SCHEDULER ||
	    sim->policy == POLICY_UNGUARANTEED;
}

#endif
