#include <gtest/gtest.h>

#include "sim/flow_sim.h"

#define JOB_A "00000000000000a1"
#define JOB_B "00000000000000a2"

/* Workers that are silent and answer again by turns. */

/* A single silence must not count as repeated, and an old one not at all: the
 * worker would be left out for long. */
TEST(FlowSilences, SilencesCountForAShortTime)
{
	struct fw_silences silences = {};

	EXPECT_FALSE(fw_silent_lately(&silences, 1000));
	fw_silence_began(&silences, 1000);
	fw_silence_ended(&silences, 2000);
	EXPECT_TRUE(fw_silent_lately(&silences, 2100));
	EXPECT_FALSE(fw_silent_repeatedly(&silences, 2100));
	fw_silence_began(&silences, 3000);
	fw_silence_ended(&silences, 4000);
	EXPECT_TRUE(fw_silent_repeatedly(&silences, 4100));
	EXPECT_FALSE(fw_silent_repeatedly(&silences, 30000));
	fw_silence_began(&silences, 30000);
	fw_silence_ended(&silences, 31000);
	EXPECT_FALSE(fw_silent_repeatedly(&silences, 31100));
}

/* Lets workers refuse connections twice in a row, then answer again. */
static void
flap(FlowSim &sim, const std::set<std::string> &workers)
{
	for (int i = 0; i < 2; i++) {
		sim.refusing_workers = workers;
		sim.run_for(700);
		sim.refusing_workers.clear();
		sim.run_for(700);
	}
}

/* A task must not be placed on a worker that has just come back for the second
 * time while another one has room: it is likely to be lost there. */
TEST(FlowSilences, TasksAvoidWorkersThatComeAndGo)
{
	for (bool flaps : {false, true}) {
		FlowSim sim;

		for (int i = 0; i < 6; i++)
			sim.add_worker("w" + std::to_string(i)).work_ms = 60000;
		SimVm *vm = sim.add_vm("a");
		sim.run_for(1000);
		sim.submit(JOB_A, {FlowFixture::make_step(1, 2)});
		sim.run_for(1000);
		std::string used = sim.worker_of(vm, JOB_A, 0);

		ASSERT_NE("", used);
		if (flaps)
			flap(sim, {used});
		sim.submit(JOB_B, {FlowFixture::make_step(1, 2)});
		sim.run_for(1000);
		/* The best fit is the worker with the fewest accelerators free.
		 */
		EXPECT_EQ(!flaps, sim.worker_of(vm, JOB_B, 0) == used);
	}
}

/* Where most workers come and go, the cause is this VM's network, and tasks
 * must not wait for others. */
TEST(FlowSilences, CommonSilencesDelayNothing)
{
	FlowSim sim;
	std::set<std::string> all;

	for (int i = 0; i < 4; i++) {
		sim.add_worker("w" + std::to_string(i)).work_ms = 60000;
		all.insert("w" + std::to_string(i));
	}
	SimVm *vm = sim.add_vm("a");
	sim.run_for(1000);
	sim.submit(JOB_A, {FlowFixture::make_step(4, 5)});
	sim.run_for(1000);
	flap(sim, all);
	sim.submit(JOB_B, {FlowFixture::make_step(1, 2)});
	sim.run_for(500);
	EXPECT_NE("", sim.worker_of(vm, JOB_B, 0));
}
