#include <gtest/gtest.h>

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <vector>

#include "gang_world.h"
#include "pool.h"

namespace {

// Guards against the use of all members being taken for that of one: a gang of
// two would be stopped as using twice what it declared.
TEST(Gang, UsageIsThatOfOneMember)
{
	World world;
	world.place(1);
	ASSERT_TRUE(world.run_until(BD_JOB_RUNNING, 1000));
	world.run(2000);
	bd_read_begin();
	const struct bd_usage *usage =
	    bd_usage_lookup(world.vms[0]->board, world.job);
	ASSERT_NE(usage, nullptr);
	EXPECT_EQ(usage->cores_milli, USED_CORES_MILLI);
	EXPECT_EQ(usage->memory_mb, USED_MEMORY_MB);
	bd_read_end();
}

// Guards against a start that skips a step or a finish that is not recorded.
TEST(Gang, StartsWholeAndEndsDone)
{
	World world;
	world.place(1);
	ASSERT_TRUE(world.run_until(BD_JOB_RUNNING, 1000));
	std::vector<uint32_t> expected;
	for (uint32_t verb :
	    {GANG_REPORTS, GANG_RESERVE, GANG_COMMIT, GANG_START})
		expected.insert(expected.end(), MEMBERS, verb);
	EXPECT_EQ(world.vms[0]->verbs, expected);
	EXPECT_TRUE(world.vms[1]->verbs.empty());
	ASSERT_TRUE(world.run_until(BD_JOB_DONE, 10000));
	EXPECT_EQ(world.workers.count(PF_TASK_DONE), (int)MEMBERS);
	world.run(1000);
	EXPECT_EQ(gang_set_count(world.vms[0]->set), 0u);
}

// Guards against part of a gang left behind, and against blame of the wrong
// worker, when one member cannot take a step.
TEST(Gang, AnyRefusalOrSilenceAbortsAll)
{
	const struct {
		uint32_t verb;
		int fault;
		uint32_t reason;
	} rows[] = {
	    {GANG_RESERVE, Workers::REFUSE, BD_REASON_RESERVE_REFUSED},
	    {GANG_RESERVE, Workers::SILENT, BD_REASON_MEMBER_FAILED},
	    {GANG_RESERVE, Workers::LOSE_ANSWER, BD_REASON_MEMBER_FAILED},
	    {GANG_COMMIT, Workers::REFUSE, BD_REASON_RESERVE_REFUSED},
	    {GANG_COMMIT, Workers::LOSE_ANSWER, BD_REASON_MEMBER_FAILED},
	    {GANG_START, Workers::REFUSE, BD_REASON_LEASE_LAPSED},
	    {GANG_START, Workers::SILENT, BD_REASON_MEMBER_FAILED},
	    {GANG_START, Workers::LOSE_ANSWER, BD_REASON_MEMBER_FAILED},
	};
	for (const auto &fault : rows) {
		World world;
		world.workers.verb_faults[fault.verb] = fault.fault;
		world.place(1);
		ASSERT_TRUE(world.run_until(BD_JOB_WAITING, 6000))
		    << gang_verb_name(fault.verb) << fault.fault;
		const struct rec *ended = world.last(REC_GANG_ENDED);
		EXPECT_EQ(ended->body.gang_ended.reason, fault.reason);
		EXPECT_EQ(ended->body.gang_ended.worker, 1u);
		EXPECT_EQ(world.workers.count(PF_TASK_RUNNING) +
			world.workers.count(PF_TASK_COMMITTED) +
			world.workers.count(PF_TASK_RESERVED),
		    0);
		world.workers.verb_faults.clear();
		world.place(1);
		EXPECT_TRUE(world.run_until(BD_JOB_DONE, 10000));
		EXPECT_EQ(world.workers.clashes, 0);
	}
}

// Guards against a gang that is lost, doubled or left half started when its
// owner dies after any number of calls.
TEST(Gang, OwnerCrashAtEachCall)
{
	for (int calls = 0; calls <= 5 * (int)MEMBERS; calls++)
		for (int64_t takeover_ms : {500, 8000, 15000}) {
			World world;
			world.workers.run_ms = 20000;
			world.vms[0]->calls_left = calls;
			world.place(1);
			world.run(takeover_ms);
			world.vms[1]->see(1, BD_MEMBER_DEAD);
			world.own(2);
			bool done = world.run_until(BD_JOB_DONE, 60000);
			EXPECT_TRUE(done) << calls << " " << takeover_ms;
			EXPECT_EQ(world.workers.clashes, 0);
			EXPECT_LE(world.workers.worst_part_ms, LEASE_MS);
			EXPECT_EQ(world.row().attempts, 1u);
		}
}

// Guards against a restart that loses more than the last checkpoint, or that
// leaves the other members running.
TEST(Gang, FailedMemberRestartsAllFromTheCheckpoint)
{
	World world;
	world.workers.run_ms = 3600000;
	world.place(1);
	world.run(601000 + 5000);
	EXPECT_GE(world.row().progress_ms, 595000);
	world.workers.failing = {2};
	ASSERT_TRUE(world.run_until(BD_JOB_WAITING, LEASE_MS));
	EXPECT_EQ(world.last(REC_GANG_ENDED)->body.gang_ended.worker, 2u);
	EXPECT_EQ(world.row().reason, (uint32_t)BD_REASON_MEMBER_FAILED);
	EXPECT_EQ(world.workers.count(PF_TASK_RUNNING), 0);
	int64_t progress = world.row().progress_ms;
	world.place(3);
	ASSERT_TRUE(world.run_until(BD_JOB_RUNNING, 1000));
	for (auto &entry : world.workers.tasks)
		if (entry.second.state == PF_TASK_RUNNING) {
			EXPECT_EQ(entry.second.resume, progress);
		}
}

// Guards against a job that fails everywhere and is tried for ever; failures
// without an answer are not the job's.
TEST(Gang, JobThatFailsOnThreeGoodWorkersEnds)
{
	World world;
	world.workers.verb_faults[GANG_RESERVE] = Workers::SILENT;
	for (uint64_t first : {1, 3, 5, 7}) {
		world.place(first);
		ASSERT_TRUE(world.run_until(BD_JOB_WAITING, 6000));
	}
	World other;
	other.workers.failing = {1, 3, 5};
	for (uint64_t first : {1, 3, 5}) {
		other.place(first);
		other.run(10000);
	}
	EXPECT_EQ(other.row().state, (uint32_t)BD_JOB_FAILED);
	EXPECT_EQ(
	    other.row().reason, (uint32_t)BD_REASON_JOB_FAILED_REPEATEDLY);
}

// Guards against a gang that runs on without a member whose worker went silent
// or was lost.
TEST(Gang, SilentWorkerLapsesAndTheRestStops)
{
	World world;
	world.workers.run_ms = 3600000;
	world.place(1);
	world.run(50000);
	world.workers.faults[2] = Workers::SILENT;
	ASSERT_TRUE(world.run_until(BD_JOB_WAITING, LEASE_MS + 6000));
	EXPECT_EQ(world.row().reason, (uint32_t)BD_REASON_LEASE_LAPSED);
	EXPECT_EQ(world.last(REC_GANG_ENDED)->body.gang_ended.worker, 2u);
	world.run(LEASE_MS);
	EXPECT_EQ(world.workers.count(PF_TASK_RUNNING), 0);
	EXPECT_LE(world.workers.worst_part_ms, LEASE_MS);

	World lost;
	lost.workers.run_ms = 3600000;
	lost.place(1);
	lost.run(5000);
	lost.workers.faults[2] = Workers::SILENT;
	bd_read_begin();
	uint64_t epoch = bd_worker_lookup(lost.vms[0]->board, 2)->epoch;
	bd_read_end();
	lost.add_worker(2, BD_WORKER_LOST, epoch);
	ASSERT_TRUE(lost.run_until(BD_JOB_WAITING, 1000));
	EXPECT_EQ(lost.row().reason, (uint32_t)BD_REASON_WORKER_LOST);

	// A worker that restarted and knows nothing of its tasks.
	World forgot;
	forgot.workers.run_ms = 3600000;
	forgot.place(1);
	forgot.run(5000);
	for (auto it = forgot.workers.tasks.begin();
	     it != forgot.workers.tasks.end();)
		it = it->second.worker == 2 ? forgot.workers.tasks.erase(it)
					    : std::next(it);
	ASSERT_TRUE(forgot.run_until(BD_JOB_WAITING, 45000));
	EXPECT_EQ(forgot.row().reason, (uint32_t)BD_REASON_LEASE_LAPSED);
}

// Guards against gangs that lapse while the log is out of reach, with their
// owner alive or dead, and against a half started gang kept alive.
TEST(Gang, LogOutageKeepsWholeGangsOnly)
{
	for (bool owner_dies : {false, true}) {
		World world;
		world.workers.run_ms = 3600000;
		world.place(1);
		world.run(5000);
		world.log_up = false;
		world.run(5000);
		if (owner_dies) {
			world.vms[0]->running = false;
			world.vms[1]->see(1, BD_MEMBER_SUSPECT);
		}
		world.run(10 * LEASE_MS);
		EXPECT_EQ(world.workers.count(PF_TASK_RUNNING), (int)MEMBERS);
		world.log_up = true;
		world.workers.run_ms = 10 * LEASE_MS;
		if (owner_dies)
			world.own(2);
		EXPECT_TRUE(world.run_until(BD_JOB_DONE, 60000));
	}
	World half;
	half.workers.run_ms = 3600000;
	half.vms[0]->calls_left = 3 * MEMBERS + 2;
	half.place(1);
	half.run(1000);
	half.log_up = false;
	half.vms[1]->see(1, BD_MEMBER_DEAD);
	EXPECT_EQ(half.workers.count(PF_TASK_RUNNING), 2);
	half.run(LEASE_MS + 1000);
	EXPECT_EQ(half.workers.count(PF_TASK_RUNNING), 0);
	EXPECT_LE(half.workers.worst_part_ms, LEASE_MS);
}

// Guards against trust in leases after a pause, and against late messages of
// an owner that was replaced meanwhile.
TEST(Gang, PausedOwnerProvesFirst)
{
	World world(1);
	world.workers.run_ms = 3600000;
	world.place(1);
	world.run(5000);
	world.now += 100000;
	world.vms[0]->verbs.clear();
	world.run(TICK_MS);
	ASSERT_GE(world.vms[0]->verbs.size(), (size_t)MEMBERS);
	for (uint32_t i = 0; i < MEMBERS; i++)
		EXPECT_EQ(world.vms[0]->verbs[i], (uint32_t)GANG_RENEW);
	world.run(60000);
	EXPECT_EQ(world.workers.count(PF_TASK_RUNNING), (int)MEMBERS);
	world.now += LEASE_MS + 1000;
	EXPECT_TRUE(world.run_until(BD_JOB_WAITING, 10000));
	EXPECT_EQ(world.row().reason, (uint32_t)BD_REASON_LEASE_LAPSED);

	// Started, not yet recorded, then paused: no record before the proof.
	World started(1);
	struct gang_out sink = {Vm::take_call, started.vms[0].get(),
	    {Vm::propose, started.vms[0].get()}};
	started.workers.run_ms = 3600000;
	started.place(1);
	started.log_up = false;
	started.run(5000);
	EXPECT_EQ(started.workers.count(PF_TASK_RUNNING), (int)MEMBERS);
	started.log_up = true;
	started.now += 5000;
	size_t records = started.log.size();
	gang_set_step(started.vms[0]->set, started.now, &sink);
	EXPECT_EQ(started.log.size(), records);

	// Paused in the middle of each step of the start.
	for (int calls = 0; calls <= 4 * (int)MEMBERS; calls++) {
		World late;
		late.workers.run_ms = 200000;
		late.vms[0]->calls_left = calls;
		late.place(1);
		late.run(9000);
		late.own(2);
		late.run(20000);
		late.vms[0]->calls_left = -1;
		struct gang_out out = {Vm::take_call, late.vms[0].get(),
		    {Vm::propose, late.vms[0].get()}};
		// The old owner wakes up and does not know yet.
		late.vms[0]->calls.clear();
		gang_set_step(late.vms[0]->set, late.now, &out);
		for (auto &call : late.vms[0]->calls)
			late.workers.call(
			    &call.first, call.second, 0, late.now);
		late.vms[0]->running = true;
		EXPECT_TRUE(late.run_until(BD_JOB_DONE, 300000)) << calls;
		EXPECT_EQ(late.workers.clashes, 0);
		EXPECT_EQ(late.row().attempts, 1u);
	}
}

// Guards against a preemption that loses work, or that waits for a checkpoint
// past its deadline.
TEST(Gang, PreemptionSavesAndObeysTheDeadline)
{
	for (bool silent : {false, true}) {
		World world;
		world.workers.run_ms = 3600000;
		world.place(1);
		world.run(30000);
		if (silent)
			world.workers.verb_faults[GANG_CHECKPOINT] =
			    Workers::SILENT;
		int64_t begin = world.now;
		world.simple(REC_PREEMPT, begin + 4000);
		ASSERT_TRUE(world.run_until(BD_JOB_WAITING, 10000));
		EXPECT_EQ(world.row().reason, (uint32_t)BD_REASON_RECLAIMED);
		EXPECT_LE(world.now - begin, silent ? 4400 : 500);
		EXPECT_GE(world.row().progress_ms, silent ? 0 : 29000);
		EXPECT_EQ(world.workers.count(PF_TASK_RUNNING), 0);
	}
}

// Guards against two answers to a cancellation that races with the start or
// the end of a gang, and against members that outlive it.
TEST(Gang, CancelRacesHaveOneAnswer)
{
	for (int64_t after_ms = 0; after_ms <= 4000; after_ms += 100)
		for (int calls = 0; calls <= 4 * (int)MEMBERS; calls += 3) {
			World world;
			// The owner sees the cancellation after some calls.
			world.vms[0]->calls_left = after_ms == 0 ? calls : -1;
			world.place(1);
			world.run(after_ms + TICK_MS);
			world.vms[0]->running = true;
			world.vms[0]->calls_left = -1;
			bool was_done = world.row().state == BD_JOB_DONE;
			world.simple(REC_JOB_CANCEL);
			world.run(1000);
			EXPECT_EQ(world.row().state,
			    (uint32_t)(was_done ? BD_JOB_DONE
						: BD_JOB_CANCELLED));
			EXPECT_EQ(world.row().token, 0u);
			EXPECT_EQ(world.workers.count(PF_TASK_RUNNING), 0);
			if (after_ms != 0)
				break;
		}
}

// Guards against an answer that comes after its call was overtaken or given
// up, and is taken for the answer to a newer call.
TEST(Gang, LateAnswerIsIgnored)
{
	World world(1);
	Vm &vm = *world.vms[0];
	struct gang_out out = {Vm::take_call, &vm, {Vm::propose, &vm}};
	world.place(1);
	gang_set_step(vm.set, world.now, &out);
	auto late = vm.calls;
	world.now += 4000;
	gang_set_step(vm.set, world.now, &out); // paused: asks again
	vm.calls.clear();
	for (auto &call : late) {
		call.first.status = CW_OK;
		gang_set_answer(vm.set, &call.first, world.now);
	}
	gang_set_step(vm.set, world.now, &out);
	EXPECT_TRUE(vm.calls.empty());
}

// Workers that answer at once, except one whose calls wait until released.
struct Blocking {
	static int
	answer(
	    void *ctx, const struct pf_task *tasks, size_t count, int *results)
	{
		Blocking *self = static_cast<Blocking *>(ctx);
		std::unique_lock<std::mutex> lock(self->mutex);
		bool held = false;

		for (size_t i = 0; i < count; i++)
			held = held || tasks[i].worker == self->held_worker;
		if (held)
			self->changed.wait(lock, [&] {
				return self->released;
			});
		for (size_t i = 0; i < count; i++)
			results[i] = held ? (int)PF_EUNKNOWN : 0;
		for (size_t i = 0; i < count; i++)
			self->calls[tasks[i].worker]++;
		self->messages++;
		self->changed.notify_all();
		return held ? (int)PF_EUNKNOWN : 0;
	}
	static int
	reports(void *ctx, const struct pf_task *tasks, size_t count,
	    const struct pf_report_sink *)
	{
		int results[PF_TASKS_MAX];
		return answer(ctx, tasks, count, results);
	}
	struct pf_tasks
	tasks()
	{
		return {answer, answer, answer, answer, answer, answer, answer,
		    reports, this};
	}
	static int64_t
	now(void *)
	{
		return cw_clock_mono_ms();
	}

	std::mutex mutex;
	std::condition_variable changed;
	uint64_t held_worker = 0;
	bool released = false;
	std::map<uint64_t, int> calls;
	int messages = 0;
};

// Guards against renewals of other racks that wait behind a silent worker, and
// against more than one message a rack.
TEST(Gang, SilentWorkerDoesNotDelayOtherRacks)
{
	World world;
	Blocking fake;
	struct pf_tasks tasks = fake.tasks();
	struct ctl_clock clock = {Blocking::now, nullptr};
	struct gang_settings settings = gang_settings_default;
	struct gang_runner *runner = nullptr;
	struct st_sink sink = {
	    [](void *, const struct rec *, const struct st_done *) {
		    return (int)CW_OK;
	    },
	    nullptr};
	struct ctl_spec spec = {"gang", gang_runner_step, nullptr};
	struct ctl *ctl = nullptr;

	// Members 0 and 1 on worker 4 of the first rack, 2 and 3 on worker 5
	// of the second.
	fake.held_worker = 4;
	settings.renew_ms = 50;
	settings.threads = 4;
	world.place(4);
	struct rec rec = {};
	rec.kind = REC_GANG_STARTED;
	rec.body.gang_started = {world.job, world.row().token};
	world.append(rec);
	world.follow_all();
	ASSERT_EQ(gang_runner_create(&runner, world.vms[0]->board, &tasks,
		      &sink, 1, &settings, &clock),
	    CW_OK);
	spec.ctx = runner;
	settings.lease_ms = 60000;
	ASSERT_EQ(ctl_start(&ctl, world.vms[0]->board, &spec, &clock), CW_OK);
	{
		std::unique_lock<std::mutex> lock(fake.mutex);
		EXPECT_TRUE(
		    fake.changed.wait_for(lock, std::chrono::seconds(30), [&] {
			    return fake.calls[5] >= 4;
		    }));
		EXPECT_EQ(fake.calls[4], 0);
		EXPECT_EQ(fake.calls[5], 2 * fake.messages);
		fake.released = true;
		fake.changed.notify_all();
	}
	ctl_stop(ctl);
	gang_runner_destroy(runner);
}

// Guards against silent workers that hold every thread of the pool.
TEST(Gang, SilentWorkersTakeHalfOfTheThreads)
{
	World world(1);
	Blocking fake;
	struct pf_tasks tasks = fake.tasks();
	struct ctl_clock clock = {Blocking::now, nullptr};
	struct pool *pool = nullptr;
	struct pool_item item = {};

	ASSERT_EQ(
	    pool_create(&pool, world.vms[0]->board, &tasks, &clock, 4), CW_OK);
	fake.held_worker = 4;
	item.verb = GANG_RENEW;
	for (int i = 0; i < 6; i++) {
		item.alone = i < 5;
		item.task.worker = i < 5 ? 4 : 5;
		pool_send(pool, &item, 1);
	}
	{
		std::unique_lock<std::mutex> lock(fake.mutex);
		EXPECT_TRUE(
		    fake.changed.wait_for(lock, std::chrono::seconds(30), [&] {
			    return fake.calls[5] == 1;
		    }));
		fake.released = true;
		fake.changed.notify_all();
	}
	pool_destroy(pool);
}

} // namespace
