#include <gtest/gtest.h>

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <vector>

#include "gang_fixture.h"
#include "pool.h"

namespace {

// Guards against the use of all members being taken for that of one: a gang of
// two would be stopped as using twice what it declared.
TEST(Gang, UsageIsThatOfOneMember)
{
	GangFixture fixture;
	fixture.place(1);
	ASSERT_TRUE(fixture.run_until(BD_JOB_RUNNING, 1000));
	fixture.run(2000);
	bd_read_begin();
	const struct bd_usage *usage =
	    bd_usage_lookup(fixture.vms[0]->board, fixture.job);
	ASSERT_NE(usage, nullptr);
	EXPECT_EQ(usage->cores_milli, USED_CORES_MILLI);
	EXPECT_EQ(usage->memory_mb, USED_MEMORY_MB);
	bd_read_end();
}

// Guards against a start that skips a step or a finish that is not recorded.
TEST(Gang, StartsWholeAndEndsDone)
{
	GangFixture fixture;
	fixture.place(1);
	ASSERT_TRUE(fixture.run_until(BD_JOB_RUNNING, 1000));
	std::vector<uint32_t> expected;
	for (uint32_t verb :
	    {GANG_REPORTS, GANG_RESERVE, GANG_COMMIT, GANG_START})
		expected.insert(expected.end(), MEMBERS, verb);
	EXPECT_EQ(fixture.vms[0]->verbs, expected);
	EXPECT_TRUE(fixture.vms[1]->verbs.empty());
	ASSERT_TRUE(fixture.run_until(BD_JOB_DONE, 10000));
	EXPECT_EQ(fixture.workers.count(PF_TASK_DONE), (int)MEMBERS);
	fixture.run(1000);
	EXPECT_EQ(gang_set_count(fixture.vms[0]->set), 0u);
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
	    {GANG_RESERVE, FakeWorkers::REFUSE, BD_REASON_RESERVE_REFUSED},
	    {GANG_RESERVE, FakeWorkers::NO_ANSWER, BD_REASON_MEMBER_FAILED},
	    {GANG_RESERVE, FakeWorkers::LOSE_ANSWER, BD_REASON_MEMBER_FAILED},
	    {GANG_COMMIT, FakeWorkers::REFUSE, BD_REASON_RESERVE_REFUSED},
	    {GANG_COMMIT, FakeWorkers::LOSE_ANSWER, BD_REASON_MEMBER_FAILED},
	    {GANG_START, FakeWorkers::REFUSE, BD_REASON_LEASE_LAPSED},
	    {GANG_START, FakeWorkers::NO_ANSWER, BD_REASON_MEMBER_FAILED},
	    {GANG_START, FakeWorkers::LOSE_ANSWER, BD_REASON_MEMBER_FAILED},
	};
	for (const auto &fault : rows) {
		GangFixture fixture;
		fixture.workers.member1_faults[fault.verb] = fault.fault;
		fixture.place(1);
		ASSERT_TRUE(fixture.run_until(BD_JOB_WAITING, 6000))
		    << gang_verb_name(fault.verb) << fault.fault;
		const struct rec *ended = fixture.last_record(REC_GANG_ENDED);
		EXPECT_EQ(ended->body.gang_ended.reason, fault.reason);
		EXPECT_EQ(ended->body.gang_ended.worker, 1u);
		EXPECT_EQ(fixture.workers.count(PF_TASK_RUNNING) +
			fixture.workers.count(PF_TASK_COMMITTED) +
			fixture.workers.count(PF_TASK_RESERVED),
		    0);
		fixture.workers.member1_faults.clear();
		fixture.place(1);
		EXPECT_TRUE(fixture.run_until(BD_JOB_DONE, 10000));
		EXPECT_EQ(fixture.workers.running_conflicts, 0);
	}
}

// Guards against a gang that is lost, doubled or left half started when its
// owner dies after any number of calls.
TEST(Gang, OwnerCrashAtEachCall)
{
	for (int calls = 0; calls <= 5 * (int)MEMBERS; calls++)
		for (int64_t takeover_ms : {500, 8000, 15000}) {
			GangFixture fixture;
			fixture.workers.run_ms = 20000;
			fixture.vms[0]->calls_until_crash = calls;
			fixture.place(1);
			fixture.run(takeover_ms);
			fixture.vms[1]->set_member_state(1, BD_MEMBER_DEAD);
			fixture.set_owner(2);
			bool done = fixture.run_until(BD_JOB_DONE, 60000);
			EXPECT_TRUE(done) << calls << " " << takeover_ms;
			EXPECT_EQ(fixture.workers.running_conflicts, 0);
			EXPECT_LE(fixture.workers.max_partial_ms, LEASE_MS);
			EXPECT_EQ(fixture.job_row().attempts, 1u);
		}
}

// Guards against a restart that loses more than the last checkpoint, or that
// leaves the other members running.
TEST(Gang, FailedMemberRestartsAllFromTheCheckpoint)
{
	GangFixture fixture;
	fixture.workers.run_ms = 3600000;
	fixture.place(1);
	fixture.run(601000 + 5000);
	EXPECT_GE(fixture.job_row().progress_ms, 595000);
	fixture.workers.failing = {2};
	ASSERT_TRUE(fixture.run_until(BD_JOB_WAITING, LEASE_MS));
	EXPECT_EQ(
	    fixture.last_record(REC_GANG_ENDED)->body.gang_ended.worker, 2u);
	EXPECT_EQ(fixture.job_row().reason, (uint32_t)BD_REASON_MEMBER_FAILED);
	EXPECT_EQ(fixture.workers.count(PF_TASK_RUNNING), 0);
	int64_t progress = fixture.job_row().progress_ms;
	fixture.place(3);
	ASSERT_TRUE(fixture.run_until(BD_JOB_RUNNING, 1000));
	for (auto &entry : fixture.workers.tasks)
		if (entry.second.state == PF_TASK_RUNNING) {
			EXPECT_EQ(entry.second.resume, progress);
		}
}

// Guards against a job that fails everywhere and is tried for ever; failures
// without an answer are not the job's.
TEST(Gang, JobThatFailsOnThreeGoodWorkersEnds)
{
	GangFixture fixture;
	fixture.workers.member1_faults[GANG_RESERVE] = FakeWorkers::NO_ANSWER;
	for (uint64_t first : {1, 3, 5, 7}) {
		fixture.place(first);
		ASSERT_TRUE(fixture.run_until(BD_JOB_WAITING, 6000));
	}
	GangFixture other;
	other.workers.failing = {1, 3, 5};
	for (uint64_t first : {1, 3, 5}) {
		other.place(first);
		other.run(10000);
	}
	EXPECT_EQ(other.job_row().state, (uint32_t)BD_JOB_FAILED);
	EXPECT_EQ(
	    other.job_row().reason, (uint32_t)BD_REASON_JOB_FAILED_REPEATEDLY);
}

// Guards against a gang that runs on without a member whose worker went silent
// or was lost.
TEST(Gang, SilentWorkerLapsesAndTheRestStops)
{
	GangFixture fixture;
	fixture.workers.run_ms = 3600000;
	fixture.place(1);
	fixture.run(50000);
	fixture.workers.faults[2] = FakeWorkers::NO_ANSWER;
	ASSERT_TRUE(fixture.run_until(BD_JOB_WAITING, LEASE_MS + 6000));
	EXPECT_EQ(fixture.job_row().reason, (uint32_t)BD_REASON_LEASE_LAPSED);
	EXPECT_EQ(
	    fixture.last_record(REC_GANG_ENDED)->body.gang_ended.worker, 2u);
	fixture.run(LEASE_MS);
	EXPECT_EQ(fixture.workers.count(PF_TASK_RUNNING), 0);
	EXPECT_LE(fixture.workers.max_partial_ms, LEASE_MS);

	GangFixture lost;
	lost.workers.run_ms = 3600000;
	lost.place(1);
	lost.run(5000);
	lost.workers.faults[2] = FakeWorkers::NO_ANSWER;
	bd_read_begin();
	uint64_t epoch = bd_worker_lookup(lost.vms[0]->board, 2)->epoch;
	bd_read_end();
	lost.add_worker(2, BD_WORKER_LOST, epoch);
	ASSERT_TRUE(lost.run_until(BD_JOB_WAITING, 1000));
	EXPECT_EQ(lost.job_row().reason, (uint32_t)BD_REASON_WORKER_LOST);

	// A worker that restarted and knows nothing of its tasks.
	GangFixture forgot;
	forgot.workers.run_ms = 3600000;
	forgot.place(1);
	forgot.run(5000);
	for (auto it = forgot.workers.tasks.begin();
	     it != forgot.workers.tasks.end();)
		it = it->second.worker == 2 ? forgot.workers.tasks.erase(it)
					    : std::next(it);
	ASSERT_TRUE(forgot.run_until(BD_JOB_WAITING, 45000));
	EXPECT_EQ(forgot.job_row().reason, (uint32_t)BD_REASON_LEASE_LAPSED);
}

// Guards against gangs that lapse while the log is out of reach, with their
// owner alive or dead, and against a half started gang kept alive.
TEST(Gang, LogOutageKeepsWholeGangsOnly)
{
	for (bool owner_dies : {false, true}) {
		GangFixture fixture;
		fixture.workers.run_ms = 3600000;
		fixture.place(1);
		fixture.run(5000);
		fixture.log_available = false;
		fixture.run(5000);
		if (owner_dies) {
			fixture.vms[0]->running = false;
			fixture.vms[1]->set_member_state(1, BD_MEMBER_SUSPECT);
		}
		fixture.run(10 * LEASE_MS);
		EXPECT_EQ(fixture.workers.count(PF_TASK_RUNNING), (int)MEMBERS);
		fixture.log_available = true;
		fixture.workers.run_ms = 10 * LEASE_MS;
		if (owner_dies)
			fixture.set_owner(2);
		EXPECT_TRUE(fixture.run_until(BD_JOB_DONE, 60000));
	}
	GangFixture half;
	half.workers.run_ms = 3600000;
	half.vms[0]->calls_until_crash = 3 * MEMBERS + 2;
	half.place(1);
	half.run(1000);
	half.log_available = false;
	half.vms[1]->set_member_state(1, BD_MEMBER_DEAD);
	EXPECT_EQ(half.workers.count(PF_TASK_RUNNING), 2);
	half.run(LEASE_MS + 1000);
	EXPECT_EQ(half.workers.count(PF_TASK_RUNNING), 0);
	EXPECT_LE(half.workers.max_partial_ms, LEASE_MS);
}

// Guards against trust in leases after a pause, and against late messages of
// an owner that was replaced meanwhile.
TEST(Gang, PausedOwnerProvesFirst)
{
	GangFixture fixture(1);
	fixture.workers.run_ms = 3600000;
	fixture.place(1);
	fixture.run(5000);
	fixture.now += 100000;
	fixture.vms[0]->verbs.clear();
	fixture.run(TICK_MS);
	ASSERT_GE(fixture.vms[0]->verbs.size(), (size_t)MEMBERS);
	for (uint32_t i = 0; i < MEMBERS; i++)
		EXPECT_EQ(fixture.vms[0]->verbs[i], (uint32_t)GANG_RENEW);
	fixture.run(60000);
	EXPECT_EQ(fixture.workers.count(PF_TASK_RUNNING), (int)MEMBERS);
	fixture.now += LEASE_MS + 1000;
	EXPECT_TRUE(fixture.run_until(BD_JOB_WAITING, 10000));
	EXPECT_EQ(fixture.job_row().reason, (uint32_t)BD_REASON_LEASE_LAPSED);

	// Started, not yet recorded, then paused: no record before the proof.
	GangFixture started(1);
	struct gang_output sink = {Vm::record_call, started.vms[0].get(),
	    {Vm::propose, started.vms[0].get()}};
	started.workers.run_ms = 3600000;
	started.place(1);
	started.log_available = false;
	started.run(5000);
	EXPECT_EQ(started.workers.count(PF_TASK_RUNNING), (int)MEMBERS);
	started.log_available = true;
	started.now += 5000;
	size_t records = started.log.size();
	gang_set_step(started.vms[0]->set, started.now, &sink);
	EXPECT_EQ(started.log.size(), records);

	// Paused in the middle of each step of the start.
	for (int calls = 0; calls <= 4 * (int)MEMBERS; calls++) {
		GangFixture late;
		late.workers.run_ms = 200000;
		late.vms[0]->calls_until_crash = calls;
		late.place(1);
		late.run(9000);
		late.set_owner(2);
		late.run(20000);
		late.vms[0]->calls_until_crash = -1;
		struct gang_output out = {Vm::record_call, late.vms[0].get(),
		    {Vm::propose, late.vms[0].get()}};
		// The old owner wakes up and does not know yet.
		late.vms[0]->calls.clear();
		gang_set_step(late.vms[0]->set, late.now, &out);
		for (auto &call : late.vms[0]->calls)
			late.workers.call(
			    &call.first, call.second, 0, late.now);
		late.vms[0]->running = true;
		EXPECT_TRUE(late.run_until(BD_JOB_DONE, 300000)) << calls;
		EXPECT_EQ(late.workers.running_conflicts, 0);
		EXPECT_EQ(late.job_row().attempts, 1u);
	}
}

// Guards against a preemption that loses work, or that waits for a checkpoint
// past its deadline.
TEST(Gang, PreemptionSavesAndObeysTheDeadline)
{
	for (bool silent : {false, true}) {
		GangFixture fixture;
		fixture.workers.run_ms = 3600000;
		fixture.place(1);
		fixture.run(30000);
		if (silent)
			fixture.workers.member1_faults[GANG_CHECKPOINT] =
			    FakeWorkers::NO_ANSWER;
		int64_t begin = fixture.now;
		fixture.append_job_record(REC_PREEMPT, begin + 4000);
		ASSERT_TRUE(fixture.run_until(BD_JOB_WAITING, 10000));
		EXPECT_EQ(
		    fixture.job_row().reason, (uint32_t)BD_REASON_RECLAIMED);
		EXPECT_LE(fixture.now - begin, silent ? 4400 : 500);
		EXPECT_GE(fixture.job_row().progress_ms, silent ? 0 : 29000);
		EXPECT_EQ(fixture.workers.count(PF_TASK_RUNNING), 0);
	}
}

// Guards against two answers to a cancellation that races with the start or
// the end of a gang, and against members that outlive it.
TEST(Gang, CancelRacesHaveOneAnswer)
{
	for (int64_t after_ms = 0; after_ms <= 4000; after_ms += 100)
		for (int calls = 0; calls <= 4 * (int)MEMBERS; calls += 3) {
			GangFixture fixture;
			// The owner sees the cancellation after some calls.
			fixture.vms[0]->calls_until_crash =
			    after_ms == 0 ? calls : -1;
			fixture.place(1);
			fixture.run(after_ms + TICK_MS);
			fixture.vms[0]->running = true;
			fixture.vms[0]->calls_until_crash = -1;
			bool was_done = fixture.job_row().state == BD_JOB_DONE;
			fixture.append_job_record(REC_JOB_CANCEL);
			fixture.run(1000);
			EXPECT_EQ(fixture.job_row().state,
			    (uint32_t)(was_done ? BD_JOB_DONE
						: BD_JOB_CANCELLED));
			EXPECT_EQ(fixture.job_row().token, 0u);
			EXPECT_EQ(fixture.workers.count(PF_TASK_RUNNING), 0);
			if (after_ms != 0)
				break;
		}
}

// Guards against an answer that comes after its call was overtaken or given
// up, and is taken for the answer to a newer call.
TEST(Gang, LateAnswerIsIgnored)
{
	GangFixture fixture(1);
	Vm &vm = *fixture.vms[0];
	struct gang_output out = {Vm::record_call, &vm, {Vm::propose, &vm}};
	fixture.place(1);
	gang_set_step(vm.set, fixture.now, &out);
	auto late = vm.calls;
	fixture.now += 4000;
	gang_set_step(vm.set, fixture.now, &out); // paused: asks again
	vm.calls.clear();
	for (auto &call : late) {
		call.first.status = CW_OK;
		gang_set_answer(vm.set, &call.first, fixture.now);
	}
	gang_set_step(vm.set, fixture.now, &out);
	EXPECT_TRUE(vm.calls.empty());
}

// FakeWorkers that answer at once, except one whose calls wait until released.
struct BlockingTasks {
	static int
	answer(
	    void *ctx, const struct pf_task *tasks, size_t count, int *results)
	{
		BlockingTasks *self = static_cast<BlockingTasks *>(ctx);
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
	GangFixture fixture;
	BlockingTasks fake;
	struct pf_tasks tasks = fake.tasks();
	struct ctl_clock clock = {BlockingTasks::now, nullptr};
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
	settings.renew_interval_ms = 50;
	settings.threads = 4;
	fixture.place(4);
	struct rec rec = {};
	rec.kind = REC_GANG_STARTED;
	rec.body.gang_started = {fixture.job, fixture.job_row().token};
	fixture.append(rec);
	fixture.apply_log_all();
	ASSERT_EQ(gang_runner_create(&runner, fixture.vms[0]->board, &tasks,
		      &sink, 1, &settings, &clock),
	    CW_OK);
	spec.ctx = runner;
	settings.lease_ms = 60000;
	ASSERT_EQ(ctl_start(&ctl, fixture.vms[0]->board, &spec, &clock), CW_OK);
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
	GangFixture fixture(1);
	BlockingTasks fake;
	struct pf_tasks tasks = fake.tasks();
	struct ctl_clock clock = {BlockingTasks::now, nullptr};
	struct pool *pool = nullptr;
	struct pool_item item = {};

	ASSERT_EQ(pool_create(&pool, fixture.vms[0]->board, &tasks, &clock, 4),
	    CW_OK);
	fake.held_worker = 4;
	item.verb = GANG_RENEW;
	for (int i = 0; i < 6; i++) {
		item.unresponsive = i < 5;
		item.task.worker = i < 5 ? 4 : 5;
		pool_enqueue(pool, &item, 1);
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
