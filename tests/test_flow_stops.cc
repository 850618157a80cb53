#include <gtest/gtest.h>

#include "sim/flow_sim.h"

#define GANG "00000000000000c2"
#define SMALL "00000000000000c3"

/* Guards against a count of stops that a gang's members, a full table or a
 * change of the placer falsify. */
TEST(FlowStops, StopsAreCountedByGroupAndEstimatedAfterATakeover)
{
	FlowFixture fixture;
	auto stops = std::make_unique<struct fw_stops>();
	struct fw_stop stop = {};

	fixture.add_host("1", "r1");
	fixture.submit(GANG, {FlowFixture::make_step(2, 1)}, 10000);
	for (int i = 0; i < 4; i++) {
		fixture.place_ready();
		if (i < 3)
			fixture.end_run(
			    GANG, 0, i == 0 ? FW_END_FAILED : FW_END_STOPPED);
	}
	bd_read_begin();
	const struct bd_flow *flow = fixture.find_flow(GANG);

	EXPECT_EQ(0U, fw_stops_of(stops.get(), flow, 0, 1, 5000));
	EXPECT_EQ(2U, fw_stops_of(stops.get(), flow, 0, 1, 11000));
	EXPECT_EQ(0U, fw_stops_of(stops.get(), flow, 1, 1, 11000));
	stop.flow = flow->id;
	for (int64_t at_ms : {10, 10, 20, 30}) {
		stop.cost = 5;
		stop.at_ms = at_ms;
		fw_stops_note(stops.get(), fixture.board, &stop);
	}
	EXPECT_EQ(3U, fw_stops_of(stops.get(), flow, 0, 1, 5000));
	EXPECT_EQ(3U, fw_stops_of(stops.get(), flow, 0, 1, 11000));
	EXPECT_EQ(15U, fw_stops_find(stops.get(), flow->id, 0)->cost);
	/* The entries of jobs that are gone make room for others. */
	for (uint32_t i = 0; i < 3 * FW_STOPS_MAX; i++) {
		stop.flow = 1000 + i;
		fw_stops_note(stops.get(), fixture.board, &stop);
		ASSERT_NE(nullptr, fw_stops_find(stops.get(), 1000 + i, 0));
	}
	EXPECT_EQ(3U, fw_stops_of(stops.get(), flow, 0, 1, 5000));
	fw_stops_clear(stops.get());
	bd_read_end();
}

/* Guards against a bound on stops that weakens guarantees, and against one that
 * other jobs get around. */
TEST(FlowStops, OnlyGuaranteedJobsStopARunAThirdTime)
{
	FlowFixture fixture;
	struct fw_victim victim = {};
	struct fw_groups groups;
	struct fw_view view;
	uint32_t hosts[1];
	uint64_t id;

	fixture.add_host("1", "r1");
	fixture.submit(SMALL, {FlowFixture::make_step(1, 8)});
	ASSERT_EQ(1U, fixture.place_ready());
	fixture.queue.priority = 0;
	fixture.submit(GANG, {FlowFixture::make_step(1, 8)});
	bd_read_begin();
	fw_view_build(&view, fixture.board, &fixture.settings, 5000, 2000);
	fw_groups_ready(&groups, &view);
	fw_flow_id_parse(SMALL, &id);
	victim.job = fw_view_job_index(&view, id);
	victim.priority = 1;
	victim.cost = 1;
	victim.spared = true;
	EXPECT_FALSE(fw_reclaim(
	    &view, &groups.items[0], &victim, 1, UINT64_MAX - 1, hosts));
	EXPECT_TRUE(
	    fw_reclaim(&view, &groups.items[0], &victim, 1, UINT64_MAX, hosts));
	EXPECT_TRUE(victim.to_preempt);
	fw_groups_free(&groups);
	fw_view_free(&view);
	bd_read_end();
}

/* Eight workers of 8 accelerators under work of low priority, and urgent gangs
 * that come again and again. */
struct Repeated : FlowSim {
	SimVm *vm;
	int most = 0;  /* stops of one task */
	int total = 0; /* of all tasks */
	int done = 0;  /* jobs of low priority after 20 s */

	explicit Repeated(uint32_t rules_off)
	{
		struct bd_flow_step low = FlowFixture::make_step(1, 8);
		struct bd_flow_step urgent =
		    FlowFixture::make_step(5, 8, BD_STEP_GANG);
		char name[BD_FLOW_NAME_BYTES];

		low.estimate_ms = 6000;
		urgent.estimate_ms = 1500;
		for (int i = 0; i < 8; i++)
			add_worker("w" + std::to_string(i)).work_ms = 6000;
		vm = add_vm("a");
		vm->placer->parts.settings.rules_off = rules_off;
		run_for(1000);
		for (int i = 0; i < 16; i++) {
			snprintf(name, sizeof(name), "%016x", 0x100 + i);
			submit(name, {low}, 2);
		}
		for (int i = 0; i < 10; i++) {
			run_for(2000);
			snprintf(name, sizeof(name), "%016x", 0x200 + i);
			for (auto &entry : workers)
				entry.second.job_work_ms[name] = 700;
			submit(name, {urgent}, 0);
		}
		for (int i = 0; i < 16; i++) {
			snprintf(name, sizeof(name), "%016x", 0x100 + i);
			done += state(vm, name) == BD_FLOW_COMPLETED;
		}
		run_for(60000);
		for (int i = 0; i < 26; i++) {
			snprintf(name, sizeof(name), "%016x",
			    i < 16 ? 0x100 + i : 0x200 + i - 16);
			EXPECT_EQ(BD_FLOW_COMPLETED, state(vm, name)) << name;
		}
		for (const auto &entry : run_checker.stopped) {
			most = std::max(most, entry.second);
			total += entry.second;
		}
		printf("rules_off=%x most=%d total=%d done=%d\n", rules_off,
		    most, total, done);
	}
};

/* Guards against a run that loses least as it was stopped and started again a
 * moment ago, and is stopped again for that reason: the former order stopped
 * the same runs with each burst. */
TEST(FlowStops, NoRunIsStoppedAThirdTimeForOthers)
{
	Repeated former(FW_RULE_STOP_COST);
	unsigned long long logged = ev_count(EV_FLOW_STOP_COST);
	Repeated ours(0);

	/* Each stop of these single tasks has a line for operators. */
	EXPECT_EQ(logged + (unsigned)ours.total, ev_count(EV_FLOW_STOP_COST));

	EXPECT_GT(former.most, FW_STOPS_FOR_OTHERS_MAX);
	EXPECT_LE(ours.most, FW_STOPS_FOR_OTHERS_MAX);
	EXPECT_LE(ours.total, former.total);
	EXPECT_GE(ours.done, former.done);
}
