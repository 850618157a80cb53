#ifndef CAMPHOR_BENCH_SCHED_SIM_H
#define CAMPHOR_BENCH_SCHED_SIM_H

/* Event loop of bench_sched: simulates one workload under one policy. */
#include "sched_events.h"

static uint32_t
job_index(const struct sim *sim, uint64_t id)
{
	uint32_t low = 0;
	uint32_t high = sim->load->job_count;

	/* Job ids are log positions, which increase in order of submission. */
	while (low < high) {
		uint32_t middle = (low + high) / 2;

		if (sim->jobs[middle].id != 0 && sim->jobs[middle].id < id)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static uint32_t
worker_index(const struct sim *sim, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < sim->load->worker_count; i++)
		if (sim->worker_ids[i] == id)
			return i;
	abort();
}

/* Allocates or releases a gang's accelerators in the accounting of the
 * benchmark. */
static void
update_allocation(struct sim *sim, uint64_t job, const struct bd_slot *slots,
    uint32_t count, bool allocate)
{
	uint32_t i;

	(void)job;
	for (i = 0; i < count; i++) {
		uint32_t w = worker_index(sim, slots[i].worker);
		uint32_t mask = slots[i].accel_mask;

		sim->free_mask[w] = allocate ? sim->free_mask[w] & ~mask
					     : sim->free_mask[w] | mask;
		sim->result.busy = allocate
		    ? sim->result.busy + (uint32_t)__builtin_popcount(mask)
		    : sim->result.busy - (uint32_t)__builtin_popcount(mask);
	}
}

static void
on_place(struct sim *sim, const struct rec_place *body, uint64_t token)
{
	uint32_t j = job_index(sim, body->job);
	struct sim_job *job = &sim->jobs[j];
	const struct load_job *load = &sim->load->jobs[j];
	int64_t now_ms = sim->fx.now_ms;
	bool fails = false;
	uint32_t i;

	job->waiting = false;
	update_allocation(
	    sim, body->job, body->members, body->member_count, true);
	for (i = 0; i < body->member_count; i++)
		fails = fails ||
		    sim->faulty[worker_index(sim, body->members[i].worker)];
	event_push(sim, now_ms + SIM_START_DELAY_MS, EVENT_STARTED, j, token);
	if (fails)
		event_push(sim,
		    now_ms + SIM_START_DELAY_MS + SIM_FAILURE_DELAY_MS,
		    EVENT_FAILED, j, token);
	else
		event_push(sim,
		    now_ms + SIM_START_DELAY_MS + load->actual_run_ms -
			job->progress_ms,
		    EVENT_DONE, j, token);
	if (!job->first_started && load->job.class_number == BD_CLASS_URGENT &&
	    job->within_guarantee)
		hist_record(&sim->result.urgent,
		    (uint64_t)(now_ms + SIM_START_DELAY_MS - SIM_EPOCH_MS -
			load->submit_ms));
	job->first_started = true;
	if (body->promise == 0 || sim->reclaim_started_ms[load->account] == 0)
		return;
	hist_record(&sim->result.reclaim,
	    (uint64_t)(now_ms - sim->reclaim_started_ms[load->account]));
	sim->reclaim_started_ms[load->account] = 0;
}

static void
on_preempt(struct sim *sim, const struct rec_preempt *body)
{
	uint32_t j = job_index(sim, body->job);
	struct bd_job row = fixture_job_row(&sim->fx, body->job);
	int64_t wait_ms = body->deadline_ms - sim->fx.now_ms;
	int64_t stop_ms = row.started_ms == 0
	    ? 100
	    : 300 + (int64_t)cw_rng_below(&sim->rng, 2700);

	sim->result.preempted++;
	event_push(sim,
	    sim->fx.now_ms + (stop_ms < wait_ms ? stop_ms : wait_ms),
	    EVENT_STOPPED, j, row.token);
	if (body->reason == BD_REASON_RECLAIMED && body->for_job != 0) {
		uint32_t account =
		    sim->load->jobs[job_index(sim, body->for_job)].account;

		if (sim->reclaim_started_ms[account] == 0)
			sim->reclaim_started_ms[account] = sim->fx.now_ms;
	}
}

static void
on_applied(void *ctx, const struct rec *rec, uint64_t position)
{
	struct sim *sim = ctx;

	if (rec->kind == REC_PLACE)
		on_place(sim, &rec->body.place, position);
	else if (rec->kind == REC_PREEMPT)
		on_preempt(sim, &rec->body.preempt);
	else if (rec->kind == REC_GANG_ENDED && rec->body.gang_ended.token == 0)
		sim->active_jobs--; /* can never be placed */
}

/* Ends a gang's attempt. progress_ms is the progress saved in its last
 * checkpoint. */
static void
end_gang(struct sim *sim, uint32_t j, enum rec_outcome outcome,
    enum bd_reason reason, uint64_t worker, int64_t progress_ms)
{
	struct sim_job *job = &sim->jobs[j];
	struct bd_slot slots[BD_GANG_MEMBERS_MAX];
	uint32_t members = sim->load->jobs[j].job.members;
	int64_t lost = 0;
	uint32_t i;

	bd_read_begin();
	for (i = 0; i < members; i++) {
		const struct bd_task *task =
		    bd_task_lookup(sim->fx.board, cw_id_from_pair(job->id, i));

		slots[i].worker = task->worker;
		slots[i].accel_mask = task->accel_mask;
	}
	bd_read_end();
	if (job->started_ms != 0 && outcome == REC_OUTCOME_RETRY)
		lost = sim->fx.now_ms - job->started_ms -
		    (progress_ms - job->progress_ms);
	sim->result.lost_ms +=
	    (double)lost * members * sim->load->jobs[j].job.accels;
	job->progress_ms = progress_ms;
	job->started_ms = 0;
	if (fixture_gang_ended(
		&sim->fx, job->id, outcome, reason, worker, progress_ms) != 0)
		abort();
	update_allocation(sim, job->id, slots, members, false);
	if (outcome == REC_OUTCOME_RETRY &&
	    fixture_job_row(&sim->fx, job->id).state == BD_JOB_WAITING) {
		job->waiting = true;
		sim->waiting[sim->waiting_count++] = j;
	}
}

static int64_t
current_progress(const struct sim *sim, uint32_t j)
{
	const struct sim_job *job = &sim->jobs[j];

	if (job->started_ms == 0)
		return job->progress_ms;
	return job->progress_ms + sim->fx.now_ms - job->started_ms;
}

/* Progress at the last periodic checkpoint. */
static int64_t
checkpointed_progress(const struct sim *sim, uint32_t j)
{
	int64_t ran = current_progress(sim, j) - sim->jobs[j].progress_ms;

	return sim->jobs[j].progress_ms +
	    ran / SIM_CHECKPOINT_INTERVAL_MS * SIM_CHECKPOINT_INTERVAL_MS;
}

/* Fails a gang because of a member on a faulty worker. */
static void
fail_gang(struct sim *sim, uint32_t j)
{
	const struct sim_job *job = &sim->jobs[j];
	uint64_t worker = 0;
	uint32_t i;

	bd_read_begin();
	for (i = 0; i < sim->load->jobs[j].job.members; i++) {
		const struct bd_task *task =
		    bd_task_lookup(sim->fx.board, cw_id_from_pair(job->id, i));

		if (worker == 0 || sim->faulty[worker_index(sim, task->worker)])
			worker = task->worker;
	}
	bd_read_end();
	end_gang(sim, j, REC_OUTCOME_RETRY, BD_REASON_MEMBER_FAILED, worker,
	    checkpointed_progress(sim, j));
}

static void
finish_job(struct sim *sim, uint32_t j)
{
	struct sim_job *job = &sim->jobs[j];
	const struct load_job *load = &sim->load->jobs[j];

	if (job->ended)
		return;
	job->ended = true;
	job->end_ms = sim->fx.now_ms - SIM_EPOCH_MS;
	sim->active_jobs--;
	if (load->job.class_number == BD_CLASS_URGENT)
		sim->active_urgent[load->account]--;
}

static void
on_fault(struct sim *sim, const struct load_fault *fault)
{
	uint64_t id = sim->worker_ids[fault->worker];
	uint32_t count = 0;
	uint32_t cursor = 0;
	uint32_t affected[64];
	uint32_t i;

	if (fault->kind == LOAD_FAULT_FAULTY ||
	    fault->kind == LOAD_FAULT_REPAIRED) {
		sim->faulty[fault->worker] = fault->kind == LOAD_FAULT_FAULTY;
		return;
	}
	fixture_set_worker_state(&sim->fx, id,
	    fault->kind == LOAD_FAULT_LOST ? BD_WORKER_LOST : BD_WORKER_UP);
	if (fault->kind != LOAD_FAULT_LOST)
		return;
	bd_read_begin();
	for (;;) {
		const struct bd_task *task =
		    bd_task_next(sim->fx.board, &cursor);
		uint32_t j;

		if (task == NULL)
			break;
		if (task->worker != id)
			continue;
		j = job_index(sim, task->job);
		for (i = 0; i < count && affected[i] != j; i++)
			;
		if (i == count && count < 64)
			affected[count++] = j;
	}
	bd_read_end();
	for (i = 0; i < count; i++)
		end_gang(sim, affected[i], REC_OUTCOME_RETRY,
		    BD_REASON_WORKER_LOST, 0,
		    checkpointed_progress(sim, affected[i]));
}

static void
on_submit(struct sim *sim, uint32_t j)
{
	const struct load_job *load = &sim->load->jobs[j];
	struct sim_job *job = &sim->jobs[j];

	job->id = fixture_submit(&sim->fx, &load->job);
	job->waiting = true;
	sim->waiting[sim->waiting_count++] = j;
	if (load->job.class_number == BD_CLASS_URGENT)
		job->within_guarantee = ++sim->active_urgent[load->account] <=
		    (uint32_t)sim->load->accounts[load->account].urgent_copies;
	if (load->impossible && !is_scheduler(sim))
		sim->active_jobs--;
}

static void
on_checkpoint(struct sim *sim, uint32_t j, uint64_t token)
{
	struct rec rec = fixture_rec(REC_CHECKPOINT);

	rec.body.checkpoint.job = sim->jobs[j].id;
	rec.body.checkpoint.token = token;
	rec.body.checkpoint.progress_ms = checkpointed_progress(sim, j);
	fixture_apply(&sim->fx, &rec);
	event_push(sim, sim->fx.now_ms + SIM_CHECKPOINT_INTERVAL_MS,
	    EVENT_CHECKPOINT, j, token);
}

static void
on_cancel(struct sim *sim, uint32_t j)
{
	struct bd_job row = fixture_job_row(&sim->fx, sim->jobs[j].id);

	if (sim->jobs[j].ended || row.state >= BD_JOB_DONE)
		return;
	fixture_cancel(&sim->fx, sim->jobs[j].id);
	if (row.token != 0)
		end_gang(sim, j, REC_OUTCOME_RETRY, BD_REASON_CANCELLED, 0,
		    current_progress(sim, j));
	sim->jobs[j].waiting = false;
	finish_job(sim, j);
}

/* Samples fragmentation: the fraction of the free accelerators that jobs of a
 * given size cannot use, averaged over members of 2, 4 and 8 accelerators on
 * one worker and gangs of 16 and 32 accelerators on idle workers of one rack.
 */
static void
sample_fragmentation(struct sim *sim)
{
	static const uint32_t sizes[] = {2, 4, 8, 16, 32};
	double sum = 0;
	uint32_t free = 0;
	uint32_t used_sizes = 0;
	uint32_t s;
	uint32_t w;

	for (w = 0; w < sim->load->worker_count; w++)
		free += (uint32_t)__builtin_popcount(sim->free_mask[w]);
	if (free == 0)
		return;
	for (s = 0; s < 5; s++) {
		uint32_t usable = 0;
		uint32_t rack_free = 0;

		for (w = 0; w < sim->load->worker_count; w++) {
			uint32_t free_accels =
			    (uint32_t)__builtin_popcount(sim->free_mask[w]);

			if (sizes[s] <= 8) {
				usable += free_accels / sizes[s] * sizes[s];
				continue;
			}
			if (free_accels == sim->load->accels[w])
				rack_free += free_accels;
			if ((w + 1) % sim->load->rack_size == 0 ||
			    w + 1 == sim->load->worker_count) {
				usable += rack_free / sizes[s] * sizes[s];
				rack_free = 0;
			}
		}
		sum += 1 - (double)usable / free;
		used_sizes++;
	}
	sim->result.fragmentation += sum / used_sizes * free;
	sim->result.free += free;
}

static void
on_event(struct sim *sim, const struct event *event)
{
	uint32_t j = event->index;
	struct sim_job *job = &sim->jobs[j];
	bool is_current = event->token != 0 &&
	    fixture_job_row(&sim->fx, job->id).token == event->token;

	switch (event->kind) {
	case EVENT_SUBMIT:
		on_submit(sim, j);
		break;
	case EVENT_STARTED:
		if (!is_current)
			break;
		fixture_gang_started(&sim->fx, job->id);
		job->started_ms = sim->fx.now_ms;
		event_push(sim, sim->fx.now_ms + SIM_CHECKPOINT_INTERVAL_MS,
		    EVENT_CHECKPOINT, j, event->token);
		break;
	case EVENT_DONE:
		if (!is_current)
			break;
		end_gang(sim, j, REC_OUTCOME_DONE, BD_REASON_NONE, 0,
		    sim->load->jobs[j].actual_run_ms);
		sim->result.done++;
		finish_job(sim, j);
		break;
	case EVENT_STOPPED:
		if (is_current)
			end_gang(sim, j, REC_OUTCOME_RETRY,
			    (enum bd_reason)fixture_job_row(&sim->fx, job->id)
				.reason,
			    0, current_progress(sim, j));
		break;
	case EVENT_FAILED:
		if (is_current)
			fail_gang(sim, j);
		break;
	case EVENT_CHECKPOINT:
		if (is_current)
			on_checkpoint(sim, j, event->token);
		break;
	case EVENT_CANCEL:
		on_cancel(sim, j);
		break;
	case EVENT_FAULT:
		on_fault(sim, &sim->load->fault[j]);
		break;
	case EVENT_SAMPLE:
		sample_fragmentation(sim);
		if (sim->fx.now_ms - SIM_EPOCH_MS < sim->load->arrivals_ms)
			event_push(sim, sim->fx.now_ms + SIM_SAMPLE_INTERVAL_MS,
			    EVENT_SAMPLE, 0, 0);
		break;
	default:
		sim->timer_set = false;
		break;
	}
}

static void
step_scheduler(struct sim *sim)
{
	int i;

	for (i = 0; i < 10; i++) {
		int64_t before = cw_clock_mono_us();
		uint32_t proposals;

		sch_step(sim->fx.sch, sim->fx.now_ms);
		hist_record(&sim->result.decision_us,
		    (uint64_t)(cw_clock_mono_us() - before));
		proposals = fixture_flush(&sim->fx);
		if (proposals == 0)
			break;
	}
	if (cw_rng_below(&sim->rng, 100) == 0 &&
	    sch_guarantee_check(sim->fx.board) != CW_OK)
		sim->result.guarantee_violations++;
}

/* Expires jobs that ended more than an hour ago, as the state controller
 * does. */
static void
expire_jobs(struct sim *sim)
{
	struct rec rec = fixture_rec(REC_JOB_EXPIRE);

	rec.body.job_expire.before_ms = sim->fx.now_ms - 3600000;
	fixture_apply(&sim->fx, &rec);
}

static void
sim_start(struct sim *sim, const struct load *load, enum policy policy)
{
	char text[16384];
	uint32_t i;

	memset(sim, 0, sizeof(*sim));
	sim->load = load;
	sim->policy = policy;
	sim->jobs = calloc(load->job_count + 1, sizeof(*sim->jobs));
	sim->waiting = calloc(load->job_count * 64 + 64, sizeof(uint32_t));
	sim->active_jobs = load->job_count;
	cw_rng_seed(&sim->rng, 7);
	load_format_config(
	    load, policy != POLICY_UNGUARANTEED, text, sizeof(text));
	fixture_init(&sim->fx, text);
	sim->fx.now_ms = SIM_EPOCH_MS;
	sim->fx.on_applied = on_applied;
	sim->fx.ctx = sim;
	for (i = 0; i < load->worker_count; i++) {
		char name[24], rack[24], zone[24], region[24];
		uint32_t z = i / (load->rack_size * load->zone_racks);

		snprintf(name, sizeof(name), "w%u", i);
		snprintf(rack, sizeof(rack), "rack%u", i / load->rack_size);
		snprintf(zone, sizeof(zone), "z%u", z);
		snprintf(region, sizeof(region), "r%u", z / 2);
		sim->worker_ids[i] = fixture_put_worker(&sim->fx, name, region,
		    zone, rack, load->accels[i], load->cores_milli,
		    load->memory_mb, BD_WORKER_UP);
		sim->free_mask[i] = (uint32_t)((1ULL << load->accels[i]) - 1);
		sim->result.capacity_ms += load->accels[i];
	}
	for (i = 0; i < load->job_count; i++) {
		event_push(sim, SIM_EPOCH_MS + load->jobs[i].submit_ms,
		    EVENT_SUBMIT, i, 0);
		if (load->jobs[i].cancel_ms != 0 && !load->jobs[i].impossible)
			event_push(sim, SIM_EPOCH_MS + load->jobs[i].cancel_ms,
			    EVENT_CANCEL, i, 0);
	}
	for (i = 0; i < load->fault_count; i++)
		event_push(sim, SIM_EPOCH_MS + load->fault[i].at_ms,
		    EVENT_FAULT, i, 0);
	event_push(sim, SIM_EPOCH_MS, EVENT_SAMPLE, 0, 0);
}

static void
sim_free(struct sim *sim)
{
	fixture_free(&sim->fx);
	free(sim->jobs);
	free(sim->waiting);
	free(sim->heap);
}

static void step_baseline(struct sim *sim);

/* Runs until every job has ended. */
static void
sim_run(struct sim *sim)
{
	int64_t expired_ms = SIM_EPOCH_MS;
	uint32_t i;

	while (sim->active_jobs > 0 && sim->heap_count > 0) {
		int64_t at_ms = sim->heap[0].at_ms;
		int64_t last_ms = sim->fx.now_ms;
		bool idle = true;

		if (at_ms - SIM_EPOCH_MS > SIM_TIME_LIMIT_MS)
			break;
		if (at_ms - SIM_EPOCH_MS <= sim->load->arrivals_ms) {
			sim->result.busy_ms +=
			    (double)(at_ms - last_ms) * sim->result.busy;
			sim->result.last_ms = (double)(at_ms - SIM_EPOCH_MS);
		}
		sim->fx.now_ms = at_ms;
		while (sim->heap_count > 0 && sim->heap[0].at_ms == at_ms) {
			struct event event = event_pop(sim);

			on_event(sim, &event);
			idle = idle &&
			    (event.kind == EVENT_SAMPLE ||
				event.kind == EVENT_CHECKPOINT);
		}
		if (at_ms - expired_ms > 600000) {
			expire_jobs(sim);
			expired_ms = at_ms;
		}
		if (idle)
			continue;
		if (is_scheduler(sim))
			step_scheduler(sim);
		else
			step_baseline(sim);
		if (!sim->timer_set) {
			sim->timer_set = true;
			event_push(sim, at_ms + SIM_TIMER_INTERVAL_MS,
			    EVENT_TIMER, 0, 0);
		}
	}
	for (i = 0; i < sim->load->job_count; i++)
		if (!sim->jobs[i].ended && !sim->load->jobs[i].impossible)
			sim->result.unfinished++;
}

#endif
