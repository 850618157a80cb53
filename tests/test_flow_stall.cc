#include <gtest/gtest.h>

#include "sim/flow_sim.h"

#define JOB_A "00000000000000a1"
#define JOB_B "00000000000000a2"

/* Workers that stand still, and tasks that take long. */

static struct bd_flow_step
whole_worker(uint32_t count, uint32_t estimate_ms)
{
	struct bd_flow_step step = FlowFixture::make_step(count, 8);

	step.estimate_ms = estimate_ms;
	return step;
}

/* Tasks that take far longer than their estimate, or that have none, must not
 * be stopped and begun again from nothing. */
TEST(FlowStall, TasksThatTakeFarLongerThanTheirEstimateGoOn)
{
	for (uint32_t estimate_ms : {0, 1000, 10000, 60000})
		for (int64_t work_ms : {100000, 800000, 4000000}) {
			FlowSim sim;

			for (int i = 0; i < 3; i++)
				sim.add_worker("w" + std::to_string(i))
				    .work_ms = work_ms;
			SimVm *vm = sim.add_vm("a");
			sim.run_for(1000);
			sim.submit(JOB_A, {whole_worker(3, estimate_ms)}, 0);
			sim.run_for(150000);
			EXPECT_EQ(3, sim.run_checker.starts)
			    << estimate_ms << " " << work_ms;
			EXPECT_EQ(work_ms == 100000,
			    sim.state(vm, JOB_A) == BD_FLOW_COMPLETED)
			    << estimate_ms;
		}
}

/* The same where tasks share their workers with short ones. */
TEST(FlowStall, LongTaskBesideShortOnesGoesOn)
{
	FlowSim sim;

	for (int i = 0; i < 2; i++)
		sim.add_worker("w" + std::to_string(i)).work_ms = 800000;
	SimVm *vm = sim.add_vm("a");
	sim.run_for(1000);
	sim.submit(JOB_A, {FlowFixture::make_step(2, 4)});
	sim.run_for(1000);
	ASSERT_EQ(2, sim.run_checker.starts);
	for (auto &entry : sim.workers)
		entry.second.work_ms = 2000;
	for (int i = 0; i < 20; i++) {
		char name[BD_FLOW_NAME_BYTES];

		snprintf(name, sizeof(name), "%016x", 0x200 + i);
		sim.submit(name, {FlowFixture::make_step(2, 4)});
		sim.run_for(4000);
		EXPECT_EQ(BD_FLOW_COMPLETED, sim.state(vm, name));
	}
	EXPECT_EQ(1, sim.run_checker.started[JOB_A ".0.0.0"]);
	EXPECT_EQ(1, sim.run_checker.started[JOB_A ".0.0.1"]);
}

/* A successor does not know how long the runs that it takes over have taken. */
TEST(FlowStall, LongTasksGoOnAfterAChangeOfThePlacer)
{
	FlowSim sim;

	sim.add_worker("w0").work_ms = 800000;
	SimVm *first = sim.add_vm("a");
	sim.add_vm("b");
	sim.run_for(1000);
	sim.submit(JOB_A, {whole_worker(1, 1000)});
	sim.run_for(100000);
	sim.kill(first);
	sim.run_for(100000);
	EXPECT_EQ(1, sim.run_checker.starts);
}

/* A worker that stands still under a run must be found. */
TEST(FlowStall, RunIsReplacedWhenItsWorkerStandsStill)
{
	for (int64_t work_ms : {1000, 10000, 100000}) {
		FlowSim sim;
		uint32_t estimate_ms = (uint32_t)work_ms;

		sim.add_worker("w0").work_ms = work_ms;
		SimVm *vm = sim.add_vm("a");
		sim.run_for(1000);
		sim.submit(JOB_A, {whole_worker(1, estimate_ms)});
		sim.run_for(100 + work_ms / 2);
		sim.workers["w0"].still_ms = sim.now_ms;
		sim.add_worker("w1").work_ms = work_ms;
		sim.run_for(4000 + work_ms / 4);
		EXPECT_EQ(2, sim.run_checker.started[JOB_A ".0.0.0"])
		    << work_ms;
		sim.run_for(1000 + work_ms);
		EXPECT_EQ(BD_FLOW_COMPLETED, sim.state(vm, JOB_A)) << work_ms;
	}
}

/* Runs that begin on a worker that was found to stand still never move. */
TEST(FlowStall, RunThatBeginsOnAStillWorkerIsReplaced)
{
	FlowSim sim;

	sim.add_worker("w0").work_ms = 10000;
	SimVm *vm = sim.add_vm("a");
	sim.run_for(1000);
	sim.submit(JOB_A, {whole_worker(1, 10000)});
	sim.run_for(2000);
	sim.workers["w0"].still_ms = sim.now_ms;
	sim.add_worker("w1").work_ms = 16000;
	sim.run_for(4000);
	ASSERT_EQ("w1", sim.worker_of(vm, JOB_A, 0));
	sim.submit(JOB_B, {whole_worker(1, 10000)});
	sim.run_for(10000);
	ASSERT_EQ("w0", sim.worker_of(vm, JOB_B, 0));
	sim.run_for(28000);
	EXPECT_EQ(BD_FLOW_COMPLETED, sim.state(vm, JOB_A));
	EXPECT_EQ(BD_FLOW_COMPLETED, sim.state(vm, JOB_B));
}

/* A worker that stood still before it got its first run must be found by the
 * pace of the others. */
TEST(FlowStall, RunIsReplacedIfOthersOfItsStepMoveElsewhere)
{
	FlowSim sim;

	for (int i = 0; i < 3; i++)
		sim.add_worker("w" + std::to_string(i)).work_ms = 10000;
	SimVm *vm = sim.add_vm("a");
	sim.run_for(1000);
	sim.workers["w1"].still_ms = sim.now_ms;
	sim.submit(JOB_A, {whole_worker(3, 10000)}, 0);
	sim.run_for(28000);
	EXPECT_EQ(4, sim.run_checker.starts);
	EXPECT_EQ(BD_FLOW_COMPLETED, sim.state(vm, JOB_A));
}
