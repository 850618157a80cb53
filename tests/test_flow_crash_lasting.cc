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
		EXPECT_GE(sim.run_checker.started[TASK], after_60s + 3);
		EXPECT_LE(sim.run_checker.started[TASK], after_60s + 5);
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
