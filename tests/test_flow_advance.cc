#include <gtest/gtest.h>

#include "sim/flow_sim.h"

#define GANG "00000000000000f1"

/* A deployment that a stream of small tasks fills: each 250 ms a job of eight
 * tasks of 2 s for four workers of eight accelerators; two more workers are
 * kept for urgent jobs. */
struct Stream : FlowSim {
	SimVm *vm = nullptr;
	int jobs = 0;

	Stream()
	{
		for (int i = 0; i < 6; i++)
			add_worker("w" + std::to_string(i)).work_ms = 2000;
		vm = add_vm("a");
		run_for(1000);
		flow_for(4000);
	}

	static std::string
	name(int job)
	{
		char text[17];

		snprintf(text, sizeof(text), "%016x", 0x1000 + job);
		return text;
	}

	void
	flow_for(int64_t duration_ms)
	{
		struct bd_flow_step step = FlowFixture::make_step(8, 1);

		step.estimate_ms = 2000;
		for (int64_t i = 0; i < duration_ms / 250; i++) {
			submit(name(jobs++).c_str(), {step}, 2);
			run_for(250);
		}
	}
};

/* A gang that needs whole workers must start although smaller tasks of lower
 * priority take each accelerator that comes free; it waited until its target
 * was nearly missed. The callers of the small jobs still get their results. */
TEST(FlowAdvance, WideGangsStartUnderAStreamOfSmallTasks)
{
	Stream sim;
	struct bd_flow_step gang = FlowFixture::make_step(2, 8, BD_STEP_GANG);

	gang.estimate_ms = 2000;
	sim.submit(GANG, {gang}, 1);
	sim.flow_for(3000);
	EXPECT_NE(BD_FLOW_QUEUED, sim.state(sim.vm, GANG));
	sim.flow_for(3000);
	EXPECT_EQ(BD_FLOW_COMPLETED, sim.state(sim.vm, GANG));
	sim.run_for(60000);
	for (int i = 0; i < sim.jobs; i++)
		EXPECT_EQ(BD_FLOW_COMPLETED,
		    sim.state(sim.vm, Stream::name(i).c_str()));
	EXPECT_EQ(0, sim.run_checker.capacity_violations);
	EXPECT_TRUE(sim.run_checker.stopped.empty());
}

/* Capacity must not be kept for a gang that cannot start soon: it would be idle
 * meanwhile. */
TEST(FlowAdvance, CapacityIsNotKeptForLong)
{
	FlowSim sim;
	struct bd_flow_step longer = FlowFixture::make_step(28, 1);
	struct bd_flow_step gang = FlowFixture::make_step(2, 8, BD_STEP_GANG);
	struct bd_flow_step small = FlowFixture::make_step(4, 1);

	longer.estimate_ms = 60000;
	gang.estimate_ms = 10000;
	for (int i = 0; i < 6; i++)
		sim.add_worker("w" + std::to_string(i)).work_ms = 60000;
	SimVm *vm = sim.add_vm("a");
	sim.run_for(1000);
	sim.submit("00000000000000e1", {longer}, 2);
	sim.run_for(500);
	sim.submit(GANG, {gang}, 1);
	sim.run_for(200);
	sim.submit("00000000000000e2", {small}, 2);
	sim.run_for(500);
	EXPECT_EQ(BD_FLOW_QUEUED, sim.state(vm, GANG));
	EXPECT_EQ(BD_FLOW_RUNNING, sim.state(vm, "00000000000000e2"));
}
