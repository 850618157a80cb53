#include <gtest/gtest.h>

#include "sim/flow_sim.h"

#define LASTING "00000000000000e1"
#define TASK LASTING ".0.0.0"

/* Jobs that run until they are cancelled, and crashes of their workers. */

/* Returns how long it takes until a task runs, 100 s at most. */
static int64_t
await_run(FlowSim &sim)
{
	int64_t from_ms = sim.now_ms;

	while (sim.run_checker.running[TASK].empty() &&
	    sim.now_ms - from_ms < 100000)
		sim.run_for(50);
	return sim.now_ms - from_ms;
}

/* Returns the longest time without a run in which the task of a job lasts. */
static int64_t
longest_gap(FlowSim &sim, int64_t duration_ms)
{
	int64_t gap_ms = 0;
	int64_t longest_ms = 0;
	int starts = sim.run_checker.started[TASK];

	for (; duration_ms > 0; duration_ms -= 10) {
		sim.run_for(10);
		gap_ms =
		    sim.run_checker.started[TASK] != starts ? 0 : gap_ms + 10;
		starts = sim.run_checker.started[TASK];
		longest_ms = std::max(longest_ms, gap_ms);
	}
	return longest_ms;
}

/* A lasting task has to run again 6 s and 3 s after its last run, however often
 * its workers have crashed. */
TEST(FlowCrashLasting, PausesOfDeadlyTasksEndInTime)
{
	for (bool keeps_id : {false, true}) {
		FlowSim sim;

		for (int i = 0; i < 4; i++)
			sim.add_worker("w" + std::to_string(i)).keeps_id =
			    keeps_id;
		sim.add_vm("a");
		sim.run_for(1000);
		sim.run_checker.deadly.insert(LASTING);
		sim.submit(LASTING,
		    {FlowFixture::make_step(1, 1, BD_STEP_LONG_RUNNING)});
		sim.run_for(1000);
		EXPECT_LE(longest_gap(sim, 240000), 9000) << keeps_id;
	}
}

/* A suspect must not wait for long where its next worker falls silent for good:
 * for 3 s after a calm of 4 s, or 9 s if it lasts. */
TEST(FlowCrashLasting, SuspectsOfSilentWorkersRunAgainInTime)
{
	for (int n = 0; n < 30; n++) {
		bool lasts = n % 2 == 0;
		FlowSim sim;

		for (int i = 0; i < 4; i++)
			sim.add_worker("w" + std::to_string(i)).work_ms =
			    3600000;
		SimVm *vm = sim.add_vm("a");
		sim.run_for(1000);
		sim.submit(LASTING,
		    {FlowFixture::make_step(
			1, 1, lasts ? BD_STEP_LONG_RUNNING : 0)});
		sim.run_for(1000);
		sim.workers[sim.worker_of(vm, LASTING, 0)].crash(sim.now_ms);
		EXPECT_LE(await_run(sim), 9000);
		sim.run_for(1000 + n * 100);
		std::string lost = sim.worker_of(vm, LASTING, 0);
		sim.workers[lost].crash_down_ms = 600000;
		sim.workers[lost].crash(sim.now_ms);
		sim.unreachable_workers.insert(lost);
		EXPECT_LE(await_run(sim), lasts ? 9000 : 7000) << n;
	}
}

/* A worker that crashes behind cuts and starts again under its id, the only one
 * of its kind, must not fail a lasting job, nor keep it waiting for longer than
 * 6 s and 3 s. */
TEST(FlowCrashLasting, CrashesBehindCutsDoNotFailAJob)
{
	FlowSim sim;
	SimWorker &worker = sim.add_worker("w1");

	worker.keeps_id = true;
	worker.work_ms = 3600000;
	worker.crash_down_ms = 1000;
	SimVm *vm = sim.add_vm("a");
	sim.run_for(1000);
	sim.submit(
	    LASTING, {FlowFixture::make_step(1, 1, BD_STEP_LONG_RUNNING)});
	for (int cut = 0; cut < 5; cut++) {
		EXPECT_LE(await_run(sim), 9000 - 5500) << cut;
		sim.run_for(7000);
		ASSERT_EQ(1U, sim.run_checker.running[TASK].size()) << cut;
		sim.unreachable_workers.insert("w1");
		worker.crash(sim.now_ms);
		sim.run_for(5500);
		sim.unreachable_workers.clear();
	}
	EXPECT_LE(await_run(sim), 9000 - 5500);
	EXPECT_EQ(BD_FLOW_RUNNING, sim.state(vm, LASTING));
	EXPECT_EQ(0, sim.run_checker.concurrent_runs);
}

/* A lasting task that crashes each worker must leave time and workers to other
 * jobs, and go on until it is cancelled. */
TEST(FlowCrashLasting, DeadlyTaskIsSlowedDownUntilItIsCancelled)
{
	for (bool keeps_id : {false, true}) {
		FlowSim sim;
		int after_60s;

		for (int i = 0; i < 4; i++)
			sim.add_worker("w" + std::to_string(i)).keeps_id =
			    keeps_id;
		SimVm *vm = sim.add_vm("a");
		sim.run_for(1000);
		sim.run_checker.deadly.insert(LASTING);
		sim.submit(LASTING,
		    {FlowFixture::make_step(1, 1, BD_STEP_LONG_RUNNING)});
		sim.run_for(60000);
		after_60s = sim.run_checker.started[TASK];
		EXPECT_GE(after_60s, 5);
		for (int i = 0; i < 4; i++)
			sim.submit(
			    ("00000000000000f" + std::to_string(i)).c_str(),
			    {FlowFixture::make_step(6, 1)});
		sim.run_for(120000);
		EXPECT_EQ(BD_FLOW_RUNNING, sim.state(vm, LASTING));
		EXPECT_GE(sim.run_checker.started[TASK], after_60s + 120 / 9);
		/* Each crash is found after 3 s; then it pauses for 2 s. */
		EXPECT_LE(sim.run_checker.started[TASK], after_60s + 120 / 5);
		/* No run of another job was lost with its worker. */
		EXPECT_EQ(
		    24 + sim.run_checker.started[TASK], sim.run_checker.starts);
		for (int i = 0; i < 4; i++)
			EXPECT_EQ(BD_FLOW_COMPLETED,
			    sim.state(vm,
				("00000000000000f" + std::to_string(i))
				    .c_str()));
		sim.cancel(LASTING);
		sim.run_for(5000);
		EXPECT_EQ(BD_FLOW_CANCELLED, sim.state(vm, LASTING));
		int starts = sim.run_checker.started[TASK];
		sim.run_for(60000);
		EXPECT_EQ(starts, sim.run_checker.started[TASK]);
	}
}
