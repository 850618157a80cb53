#include <gtest/gtest.h>

#include "sim/flow_sim.h"

/* The store deals the placing duty to one member of a group, and may deal it
 * anew to whoever joins. Times in ms. */
static constexpr int64_t TTL_MS = 1500;
static constexpr int64_t PROBE_MS = 330;

/* Returns the only active placer, or NULL. */
static SimVm *
placer_of(FlowSim &sim)
{
	SimVm *found = nullptr;

	for (auto &vm : sim.vms)
		if (vm->alive && fw_placer_active(vm->placer)) {
			EXPECT_EQ(nullptr, found);
			found = vm.get();
		}
	return found;
}

/* A VM that is added or restarted must not take the duty from a placer that
 * works: each change of the placer costs 0.5 to 1.4 s without placements. */
TEST(FlowDuty, AddedVmsDoNotTakeTheDuty)
{
	FlowSim sim;
	int64_t confirmed_ms;
	uint64_t term;

	sim.group.deals_to_newest = true;
	sim.add_worker("w1");
	SimVm *a = sim.add_vm("a");
	sim.run_for(2000);
	ASSERT_EQ(a, placer_of(sim));
	term = fw_duty_term(a->duty, &confirmed_ms);
	for (const char *name : {"b", "c"}) {
		sim.add_vm(name);
		sim.run_for(2000);
	}
	EXPECT_EQ(a, placer_of(sim));
	EXPECT_EQ(term, fw_duty_term(a->duty, &confirmed_ms));
}

/* A VM that was cut off from the store must not take the duty back from its
 * successor when it returns. */
TEST(FlowDuty, ReturningVmsDoNotTakeTheDutyBack)
{
	FlowSim sim;

	sim.group.deals_to_newest = true;
	sim.add_worker("w1");
	SimVm *a = sim.add_vm("a");
	sim.run_for(2000);
	SimVm *b = sim.add_vm("b");
	sim.run_for(1000);
	ASSERT_EQ(a, placer_of(sim));
	a->store_unreachable = true;
	sim.run_for(TTL_MS + 3 * PROBE_MS + 500);
	ASSERT_TRUE(fw_placer_active(b->placer));
	a->store_unreachable = false;
	sim.run_for(3000);
	EXPECT_EQ(b, placer_of(sim));
}

/* VMs that start at once all join; those that do not get the duty must leave,
 * or the next change of the group could move it. */
TEST(FlowDuty, MembersWithoutTheDutyLeave)
{
	FlowSim sim;

	sim.group.deals_to_newest = true;
	sim.add_worker("w1");
	for (const char *name : {"a", "b", "c", "d"})
		sim.add_vm(name);
	sim.run_for(3000);
	ASSERT_NE(nullptr, placer_of(sim));
	EXPECT_EQ(1U, sim.group.members.size());
	EXPECT_EQ(placer_of(sim)->name, sim.group.owner);
}

/* A placer that is gone must be replaced as soon as its membership has expired
 * and two probes have found that. */
TEST(FlowDuty, LostPlacersAreReplacedSoon)
{
	FlowSim sim;

	sim.add_worker("w1");
	SimVm *a = sim.add_vm("a");
	sim.run_for(1000);
	SimVm *b = sim.add_vm("b");
	sim.run_for(1000);
	ASSERT_EQ(a, placer_of(sim));
	sim.kill(a);
	sim.run_for(TTL_MS + 2 * PROBE_MS + 200);
	EXPECT_TRUE(fw_placer_active(b->placer));
}

/* After an outage of the store in which all memberships expired, the former
 * placer must go on: it has the runs and needs to read nothing. */
TEST(FlowDuty, FormerPlacerGoesOnAfterAnOutage)
{
	FlowSim sim;

	sim.group.deals_to_newest = true;
	sim.add_worker("w1");
	SimVm *a = sim.add_vm("a");
	sim.run_for(1000);
	sim.add_vm("b");
	sim.run_for(1000);
	ASSERT_EQ(a, placer_of(sim));
	sim.store_down = true;
	sim.run_for(4200);
	sim.store_down = false;
	sim.run_for(1000);
	EXPECT_EQ(a, placer_of(sim));
}

/* Where two VMs join at once and the store deals the duty to the second one,
 * the first one must learn soon that it has lost it, and the second that it has
 * it: nothing was placed for 0.7 s. */
TEST(FlowDuty, VmsThatJoinAtOnceSettleSoon)
{
	FlowSim sim;

	sim.group.deals_to_newest = true;
	sim.add_worker("w1");
	SimVm *a = sim.add_vm("a");
	sim.run_for(1000);
	sim.add_vm("b");
	sim.add_vm("c");
	sim.run_for(1000);
	ASSERT_EQ(a, placer_of(sim));
	sim.kill(a);
	while (sim.group.members.size() < 2)
		sim.run_for(1);
	sim.run_for(300);
	ASSERT_NE(nullptr, placer_of(sim));
	EXPECT_EQ(sim.group.owner, placer_of(sim)->name);
}
