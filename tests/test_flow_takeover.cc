#include <gtest/gtest.h>

#include "sim/flow_placer_tests.h"

/* When the placer fails, its successor adopts the active runs and does not
 * start the tasks a second time. */
TEST(FlowPlacer, SuccessorAdoptsRuns)
{
	FlowSim sim;

	sim.add_worker("w1");
	SimVm *a = sim.add_vm("a");
	SimVm *b = sim.add_vm("b");
	sim.workers["w1"].work_ms = 4000;
	sim.run_for(1000);
	ASSERT_TRUE(fw_placer_active(a->placer));
	sim.submit(JOB_A, {FlowFixture::make_step(4, 1)});
	sim.run_for(500);
	EXPECT_EQ(4, sim.run_checker.starts);
	sim.kill(a);
	sim.run_for(8000);
	EXPECT_TRUE(fw_placer_active(b->placer));
	EXPECT_EQ(BD_FLOW_COMPLETED, sim.state(b, JOB_A));
	EXPECT_EQ(4, sim.run_checker.starts);
	expect_no_violations(sim);
}

/* A placer that was partitioned from the store must not continue next to its
 * successor. */
TEST(FlowPlacer, PartitionedPlacerIsFenced)
{
	FlowSim sim;

	sim.add_worker("w1");
	sim.add_worker("w2");
	SimVm *a = sim.add_vm("a");
	SimVm *b = sim.add_vm("b");
	sim.run_for(1000);
	sim.submit(JOB_A, {FlowFixture::make_step(6, 1)});
	sim.run_for(200);
	a->store_unreachable = true;
	sim.submit(JOB_B, {FlowFixture::make_step(6, 1)});
	sim.run_for(6000);
	EXPECT_EQ(BD_FLOW_COMPLETED, sim.state(b, JOB_A));
	EXPECT_EQ(BD_FLOW_COMPLETED, sim.state(b, JOB_B));
	/* A partitioned placer without runs contacts no worker that could fence
	 * it; it learns of its successor once it reaches the store again. */
	a->store_unreachable = false;
	sim.run_for(3000);
	EXPECT_FALSE(fw_placer_active(a->placer));
	EXPECT_TRUE(fw_placer_active(b->placer));
	expect_no_violations(sim);
}

/* The same with a successor, which does not know the replaced run. */
TEST(FlowPlacer, SuccessorsDoNotAcknowledgeEndsOfReplacedRuns)
{
	FlowSim sim;

	sim.add_worker("w1");
	SimVm *a = sim.add_vm("a");
	SimVm *b = sim.add_vm("b");
	sim.workers["w1"].work_ms = 4000;
	sim.run_for(1000);
	sim.submit(JOB_A, {FlowFixture::make_step(1, 1)});
	sim.run_for(500);
	sim.add_worker("w2");
	sim.unreachable_workers.insert("w1");
	sim.run_for(12000);
	ASSERT_EQ(BD_FLOW_COMPLETED, sim.state(a, JOB_A));
	sim.kill(a);
	sim.run_for(4000);
	ASSERT_TRUE(fw_placer_active(b->placer));
	sim.unreachable_workers.clear();
	sim.run_for(6000);
	EXPECT_EQ(2, sim.run_checker.starts);
	expect_no_violations(sim);
	EXPECT_EQ(1U, sim.workers["w1"].ends.size());
}

/* A successor must not start the runs that it finds placed on a worker whose
 * room has shrunk. */
TEST(FlowPlacer, AdoptedRunsAreNotStartedOnAWorkerThatHasShrunk)
{
	FlowSim sim;

	sim.add_worker("w1");
	SimVm *a = sim.add_vm("a");
	SimVm *b = sim.add_vm("b");
	sim.workers["w1"].work_ms = 60000;
	sim.run_for(1000);
	sim.submit(JOB_A, {FlowFixture::make_step(6, 1)});
	sim.run_for(1000);
	ASSERT_EQ(6, sim.run_checker.starts);
	sim.kill(a);
	b->store_unreachable = true;
	sim.workers["w1"].restart(sim.now_ms);
	sim.set_room("w1", {128000, 524288, 4});
	sim.run_for(8000); /* longer than the former room counts */
	b->store_unreachable = false;
	sim.run_for(8000);
	EXPECT_EQ(6 + 4, sim.run_checker.starts);
	expect_no_violations(sim);
}

/* The smallest VM must not be the placer while another is available: with 350
 * workers, a placer with 0.12 cores falls behind and leases expire. */
TEST(FlowPlacer, SmallVmsPlaceOnlyIfNoOtherVmDoes)
{
	FlowSim sim;

	sim.add_worker("w1");
	SimVm *weak = sim.add_vm("a", true);
	SimVm *strong = sim.add_vm("b");
	sim.run_for(5000);
	EXPECT_FALSE(fw_placer_active(weak->placer));
	ASSERT_TRUE(fw_placer_active(strong->placer));
	sim.kill(strong);
	sim.run_for(6000);
	EXPECT_TRUE(fw_placer_active(weak->placer));
}

/* A VM far from the store must not be the placer while another is available:
 * after a power failure it needs 7.6 s to read the jobs over the link between
 * regions. */
TEST(FlowPlacer, RemoteVmsPlaceOnlyIfNoOtherVmDoes)
{
	FlowSim sim;

	sim.add_worker("w1");
	SimVm *far = sim.add_vm("a");
	sim.store_latency_ms = 65;
	sim.run_for(100);
	sim.store_latency_ms = 4;
	SimVm *near = sim.add_vm("b");
	sim.run_for(5000);
	EXPECT_FALSE(fw_placer_active(far->placer));
	ASSERT_TRUE(fw_placer_active(near->placer));
	sim.kill(near);
	sim.run_for(6000);
	EXPECT_TRUE(fw_placer_active(far->placer));
}

/* Only the placer needs the progress of all jobs; if every VM read it, or went
 * on reading it after it lost the duty, the traffic would saturate the link
 * between regions. Clients still learn the outcome of a job from every VM,
 * through its published state. */
TEST(FlowPlacer, OnlyThePlacerReadsProgress)
{
	FlowSim sim;

	sim.add_worker("w1");
	SimVm *a = sim.add_vm("a");
	SimVm *b = sim.add_vm("b");
	sim.run_for(1000);
	ASSERT_TRUE(fw_placer_active(a->placer));
	sim.submit(JOB_A, {FlowFixture::make_step(4, 1)});
	sim.run_for(3000);
	EXPECT_EQ(0, sim.progress_reads["b"]);
	EXPECT_LT(0, sim.progress_reads["a"]);
	EXPECT_EQ(BD_FLOW_COMPLETED, sim.state(a, JOB_A));
	EXPECT_EQ(BD_FLOW_COMPLETED, sim.state(b, JOB_A));
}

/* A VM that becomes the placer again must not base decisions on what it read in
 * its earlier term. */
TEST(FlowPlacer, FormerPlacerDiscardsItsOldProgress)
{
	FlowSim sim;

	sim.add_worker("w1");
	SimVm *a = sim.add_vm("a");
	SimVm *b = sim.add_vm("b");
	sim.workers["w1"].work_ms = 1500;
	sim.run_for(1000);
	sim.submit(JOB_A, {FlowFixture::make_step(4, 1)});
	sim.run_for(300);
	a->store_unreachable = true;
	sim.run_for(4000);
	ASSERT_TRUE(fw_placer_active(b->placer));
	a->store_unreachable = false;
	sim.submit(JOB_B, {FlowFixture::make_step(4, 1)});
	sim.run_for(500);
	b->store_unreachable = true;
	sim.run_for(9000);
	ASSERT_TRUE(fw_placer_active(a->placer));
	EXPECT_EQ(BD_FLOW_COMPLETED, sim.state(a, JOB_A));
	EXPECT_EQ(BD_FLOW_COMPLETED, sim.state(a, JOB_B));
	expect_no_violations(sim);
}

/* A VM must not be classified as far from the store for good because the store
 * was slow when the VM started. */
TEST(FlowPlacer, TemporarilySlowStoreIsNotRemote)
{
	FlowSim sim;

	sim.add_worker("w1");
	SimVm *a = sim.add_vm("a");
	sim.store_latency_ms = 65;
	sim.run_for(100);
	sim.store_latency_ms = 4;
	sim.run_for(1300);
	EXPECT_TRUE(fw_placer_active(a->placer));
}

/* A run that a placer has placed and not started must not be started by its
 * successor if the worker has shrunk meanwhile. */
TEST(FlowPlacer, SuccessorStartsNothingBeyondAShrunkRoom)
{
	FlowSim sim;

	sim.add_worker("w1");
	SimVm *a = sim.add_vm("a");
	SimVm *b = sim.add_vm("b");
	sim.run_for(1000);
	sim.order_fault = [a](const SimVm *vm, const std::string &,
			      enum fw_order_kind kind) {
		SimOrderFault fault;

		fault.unreachable = vm == a && kind == FW_ORDER_START;
		return fault;
	};
	b->store_unreachable = true;
	sim.submit(JOB_A, {FlowFixture::make_step(1, 8)});
	sim.run_for(100);
	sim.kill(a);
	sim.set_room("w1", {128000, 524288, 4});
	sim.run_for(6000);
	b->store_unreachable = false;
	sim.run_for(4000);
	EXPECT_EQ(0, sim.run_checker.starts);
	sim.set_room("w1", {128000, 524288, 8});
	sim.run_for(10000);
	EXPECT_EQ(BD_FLOW_COMPLETED, sim.state(b, JOB_A));
	expect_no_violations(sim);
}
