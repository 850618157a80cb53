#include <gtest/gtest.h>

#include "sim/event_lines.h"
#include "sim/flow_sim.h"

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"

/* Logs did not tell that the placer kept its duty while it could not decide. */
TEST(FlowUndecided, PlacerThatCannotDecideSaysWhy)
{
	FlowSim sim;
	Lines lines(&sim.now_ms);
	std::string line;

	sim.add_worker("w1").work_ms = 60000;
	sim.add_vm("a");
	sim.run_for(1000);
	sim.drop_append_answers = true;
	sim.submit(JOB_A, {FlowFixture::make_step(1, 1)});
	sim.submit(JOB_B, {FlowFixture::make_step(1, 16)});
	sim.run_for(3000);
	line = lines.find(
	    EV_FLOW_UNDECIDED, "obstacle=batch_unanswered ", "jobs_waiting=");
	EXPECT_NE("", line);
	EXPECT_EQ(1u, lines.of(EV_FLOW_UNDECIDED).size());
	sim.drop_append_answers = false;
	sim.run_for(2500);
	EXPECT_EQ(1u, lines.of(EV_FLOW_UNDECIDED_OVER).size());
	EXPECT_NE("",
	    lines.find(
		EV_FLOW_UNDECIDED_OVER, "by=decides ", "batch_unanswered_ms="));
}

/* Short waits for the store are normal: they must not fill the log. */
TEST(FlowUndecided, NothingIsLoggedWhileDecisionsAreMade)
{
	FlowSim sim;
	Lines lines(&sim.now_ms);
	char name[17];

	sim.add_worker("w1").work_ms = 100;
	sim.add_vm("a");
	sim.run_for(1000);
	sim.store_latency_ms = 300;
	for (int i = 0; i < 20; i++) {
		snprintf(name, sizeof(name), "%016x", 0x1000 + i);
		sim.submit(name, {FlowFixture::make_step(4, 1)});
		sim.run_for(400);
	}
	EXPECT_TRUE(lines.of(EV_FLOW_UNDECIDED).empty());
	EXPECT_TRUE(lines.of(EV_FLOW_UNDECIDED_OVER).empty());
}

/* Nothing stands if no job waits, however long a batch takes. */
TEST(FlowUndecided, NothingIsLoggedWhileNoJobWaits)
{
	FlowSim sim;
	Lines lines(&sim.now_ms);

	sim.add_worker("w1").work_ms = 60000;
	sim.add_vm("a");
	sim.run_for(1000);
	sim.submit(JOB_A, {FlowFixture::make_step(1, 1)});
	sim.run_for(1000);
	sim.store_down = true;
	sim.run_for(5000);
	EXPECT_TRUE(lines.of(EV_FLOW_UNDECIDED).empty());
}
