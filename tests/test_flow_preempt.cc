#include <gtest/gtest.h>

#include "sim/flow_sim.h"

#define SAVING "00000000000000a1"
#define PLAIN "00000000000000a2"
#define URGENT "00000000000000a3"

/* Eight full workers of 8 accelerators: a job that saves checkpoints, a younger
 * one that does not, and two workers that are kept for urgent jobs. */
struct FullDeployment : FlowSim {
	SimVm *vm = nullptr;

	FullDeployment()
	{
		struct bd_flow_step saving =
		    FlowFixture::make_step(32, 1, BD_STEP_CHECKPOINTS);
		struct bd_flow_step plain = FlowFixture::make_step(16, 1);

		saving.estimate_ms = plain.estimate_ms = 8000;
		for (int i = 0; i < 8; i++)
			add_worker("w" + std::to_string(i)).work_ms = 8000;
		vm = add_vm("a");
		run_for(1000);
		submit(SAVING, {saving}, 2);
		run_for(2000);
		submit(PLAIN, {plain}, 2);
		run_for(1000);
	}

	/* Returns the number of stops of a job's runs. */
	int
	stops(const std::string &job) const
	{
		int count = 0;

		for (const auto &entry : run_checker.stopped)
			if (SimRunChecker::job_of(entry.first) == job)
				count += entry.second;
		return count;
	}
};

/* A burst of urgent jobs on a full deployment must start at once and stop the
 * runs that lose least: those that save a checkpoint when they are stopped. By
 * accelerator-seconds alone, younger runs without checkpoints were thrown away.
 * All callers get their results. */
TEST(FlowPreempt, UrgentBurstStopsRunsThatSaveTheirWork)
{
	FullDeployment sim;
	struct bd_flow_step urgent =
	    FlowFixture::make_step(4, 8, BD_STEP_GANG | BD_STEP_SAME_RACK);

	urgent.estimate_ms = 2500;
	ASSERT_EQ(48, sim.run_checker.starts);
	sim.submit(URGENT, {urgent}, 0);
	sim.run_for(800);
	EXPECT_EQ(BD_FLOW_RUNNING, sim.state(sim.vm, URGENT));
	EXPECT_EQ(0, sim.stops(PLAIN));
	EXPECT_EQ(16, sim.stops(SAVING));
	sim.run_for(30000);
	for (const char *job : {SAVING, PLAIN, URGENT})
		EXPECT_EQ(BD_FLOW_COMPLETED, sim.state(sim.vm, job)) << job;
	EXPECT_EQ(0, sim.run_checker.concurrent_runs);
	EXPECT_EQ(0, sim.run_checker.capacity_violations);
}

/* The loss of a stop must count all that the run holds and the rest of its
 * gang, and for saved work only the time to stop and restore it. */
TEST(FlowPreempt, LossCountsCoresAcceleratorsAndGangs)
{
	struct fw_settings settings = {};
	struct bd_flow_step step = FlowFixture::make_step(4, 2);

	settings.restore_ms = 600;
	step.cores_milli = 52000;
	EXPECT_EQ(68U * 1000, fw_run_loss(&step, 1000, 1, &settings));
	EXPECT_EQ(4U * 68 * 1000, fw_run_loss(&step, 1000, 4, &settings));
	EXPECT_EQ(0U, fw_run_loss(&step, -5, 4, &settings));
	step.flags = BD_STEP_CHECKPOINTS;
	EXPECT_EQ(68U * 100, fw_run_loss(&step, 100, 1, &settings));
	EXPECT_EQ(68U * 700, fw_run_loss(&step, 9000, 1, &settings));
	step.flags = BD_STEP_FILLS;
	EXPECT_EQ(16U * 9000, fw_run_loss(&step, 9000, 1, &settings));
}

/* Only urgent jobs preempt, not before their delay, and beyond their account's
 * guarantee only while they can be in time. */
TEST(FlowPreempt, CostLimitFollowsGuaranteeAndSlack)
{
	struct fw_group group = {};

	group.work = 1000;
	group.age_ms = 200;
	group.slack_ms = 10;
	EXPECT_EQ(500U, fw_preempt_cost_max(&group, false));
	EXPECT_EQ(UINT64_MAX, fw_preempt_cost_max(&group, true));
	group.slack_ms = -1;
	EXPECT_EQ(0U, fw_preempt_cost_max(&group, false));
	EXPECT_EQ(UINT64_MAX, fw_preempt_cost_max(&group, true));
	group.age_ms = 100;
	EXPECT_EQ(0U, fw_preempt_cost_max(&group, true));
	group.age_ms = 200;
	group.priority = 1;
	EXPECT_EQ(0U, fw_preempt_cost_max(&group, true));
	group.priority = 0;
	group.suspect = true;
	EXPECT_EQ(0U, fw_preempt_cost_max(&group, true));
}

/* Stopping one member of a gang ends all of them, so the capacity of each must
 * be found, on whatever workers they are. */
TEST(FlowPreempt, WholeGangsAreSelected)
{
	FlowFixture fixture;
	struct fw_victim victims[6] = {};
	struct fw_view view;
	struct fw_groups groups;
	uint32_t hosts[1];
	uint64_t id;

	for (int i = 0; i < 6; i++)
		fixture.add_host(std::to_string(i), "r1");
	fixture.submit(SAVING, {FlowFixture::make_step(3, 8, BD_STEP_GANG)});
	fixture.submit(PLAIN, {FlowFixture::make_step(3, 8, BD_STEP_GANG)});
	ASSERT_EQ(2U, fixture.place_ready());
	fixture.queue.priority = 0;
	fixture.submit(URGENT, {FlowFixture::make_step(1, 8)});
	bd_read_begin();
	fw_view_build(&view, fixture.board, &fixture.settings, 5000, 2000);
	fw_groups_ready(&groups, &view);
	for (uint32_t i = 0; i < 6; i++) {
		const char *job = i % 2 == 0 ? SAVING : PLAIN;

		fw_flow_id_parse(job, &id);
		victims[i].run = i;
		victims[i].job = fw_view_job_index(&view, id);
		victims[i].host = fw_view_host_index(
		    &view, fw_flow_tasks(fixture.find_flow(job))[i / 2].host);
		victims[i].priority = 1;
		victims[i].cost = i % 2 == 0 ? 200 : 100;
	}
	ASSERT_TRUE(
	    fw_reclaim(&view, &groups.items[0], victims, 6, 5000, hosts));
	for (const struct fw_victim &victim : victims)
		EXPECT_EQ(victim.run % 2 == 1, victim.to_preempt);
	fw_groups_free(&groups);
	fw_view_free(&view);
	bd_read_end();
}
