#include <gtest/gtest.h>

#include "sim/zone_tests.h"

namespace {

/* Guards against starts in an evacuated zone, against work that is kept from
 * the other zones, and against runs that are stopped for an evacuation. */
TEST(FlowEvacuation, NothingStartsInTheZoneAndRunsGoOn)
{
	for (int64_t phase_ms = 0; phase_ms < 400; phase_ms += 70) {
		Zones zones;

		zones.run(phase_ms);
		EXPECT_GT(zones.running_in("z1"), 0u);
		zones.sim.evacuate("z1");
		zones.run(1000);
		EXPECT_EQ(0, zones.starts_in("z1", 8000));
		EXPECT_EQ(0u, zones.running_in("z1"));
		zones.finish();
		EXPECT_TRUE(zones.sim.run_checker.stopped.empty());
		zones.expect_kept();
	}
}

/* Guards against a withdrawal that is not noticed, and against a second request
 * within seconds that is taken for the first. */
TEST(FlowEvacuation, WithdrawnAndAskedAgain)
{
	for (int64_t gap_ms : {1, 200, 6000}) {
		Zones zones;

		zones.sim.evacuate("z1");
		zones.run(2500);
		EXPECT_TRUE(zones.held_by(zones.a, "z1"));
		zones.sim.withdraw("z1");
		zones.run(gap_ms);
		zones.sim.evacuate("z1");
		zones.run(2500);
		EXPECT_TRUE(zones.held_by(zones.a, "z1"));
		EXPECT_TRUE(zones.held_by(zones.b, "z1"));
		EXPECT_EQ(0, zones.starts_in("z1", 4000));
		zones.sim.withdraw("z1");
		EXPECT_GT(zones.starts_in("z1", 4000), 0);
		zones.finish();
		zones.expect_kept();
	}
}

/* Guards against one zone's request that hides another's, and against a zone
 * without workers that disturbs anything. */
TEST(FlowEvacuation, TwoZonesAtOnceAndOneWithoutWorkers)
{
	Zones zones;

	zones.sim.evacuate("nowhere");
	zones.sim.evacuate("z0");
	zones.sim.evacuate("z2");
	zones.run(2000);
	EXPECT_EQ(0, zones.starts_in("z0", 2000));
	EXPECT_EQ(0, zones.starts_in("z2", 2000));
	zones.sim.withdraw("z0");
	EXPECT_GT(zones.starts_in("z0", 3000), 0);
	EXPECT_EQ(0, zones.starts_in("z2", 3000));
	zones.finish();
	zones.expect_kept();
}

/* Guards against a successor that does not know the evacuations, whenever the
 * placer is killed. */
TEST(FlowEvacuation, PlacerIsKilled)
{
	for (int64_t before_ms : {-1000, -20, 20, 500, 2000}) {
		Zones zones;

		if (before_ms < 0) {
			zones.sim.kill(zones.placer());
			zones.run(-before_ms);
			zones.sim.evacuate("z1");
		} else {
			zones.sim.evacuate("z1");
			zones.run(before_ms);
			zones.sim.kill(zones.placer());
		}
		zones.run(12000);
		EXPECT_EQ(0u, zones.running_in("z1"));
		zones.finish();
		zones.expect_kept();
	}
}

/* Guards against a placer that was paused and goes on with what it knew. */
TEST(FlowEvacuation, PlacerIsPaused)
{
	for (int64_t pause_ms : {1400, 4200, 9000}) {
		Zones zones;
		SimVm *placer = zones.placer();

		zones.run(100);
		placer->paused = placer->config_unreadable = true;
		zones.run(200);
		zones.sim.evacuate("z1");
		zones.run(pause_ms);
		placer->paused = false;
		zones.run(1000);
		placer->config_unreadable = false;
		zones.run(8000);
		zones.finish();
		zones.expect_kept();
	}
}

/* Guards against starts by a copy that is too old to know each evacuation, and
 * against a placer that stays idle once the copy is recent again. */
TEST(FlowEvacuation, StaleCopyStartsNothing)
{
	Zones zones;
	SimVm *placer = zones.placer();
	int starts;

	placer->config_unreadable = true;
	zones.sim.evacuate("z1");
	zones.run(5000);
	starts = zones.sim.run_checker.starts;
	zones.run(4000);
	EXPECT_EQ(starts, zones.sim.run_checker.starts);
	placer->config_unreadable = false;
	zones.run(3000);
	EXPECT_GT(zones.sim.run_checker.starts, starts);
	EXPECT_EQ(0, zones.starts_in("z1", 4000));
	zones.finish();
	zones.expect_kept();
}

/* Guards against a VM whose monotonic clock stood still in a freeze, so that an
 * old copy seems to be recent. */
TEST(FlowEvacuation, CopyFromBeforeAFreezeStartsNothing)
{
	Zones zones;
	SimVm *placer = zones.placer();
	int starts;

	zones.run(1100);
	placer->config_unreadable = true;
	zones.run(100);
	zones.sim.suspended_ms += 6000;
	zones.sim.run_for(10);
	starts = zones.sim.run_checker.starts;
	zones.run(1500);
	EXPECT_EQ(starts, zones.sim.run_checker.starts);
	placer->config_unreadable = false;
	zones.run(4000);
	EXPECT_GT(zones.sim.run_checker.starts, starts);
	zones.finish();
	zones.expect_kept();
}

/* Guards against an outage of the store that hides a request or a withdrawal.
 */
TEST(FlowEvacuation, StoreOutage)
{
	for (int64_t outage_ms : {1000, 9000}) {
		Zones zones;

		zones.sim.evacuate("z1");
		zones.sim.store_down = true;
		zones.run(outage_ms);
		zones.sim.store_down = false;
		zones.run(6000);
		EXPECT_EQ(0, zones.starts_in("z1", 3000));
		zones.sim.store_down = true;
		zones.sim.withdraw("z1");
		zones.run(outage_ms);
		zones.sim.store_down = false;
		zones.run(9000);
		EXPECT_GT(zones.starts_in("z1", 3000), 0);
		zones.finish();
		zones.expect_kept();
	}
}

/* Guards against a store that does not wake waiting reads. */
TEST(FlowEvacuation, ReadsThatAreNotWoken)
{
	Zones zones;

	zones.sim.reads_ignore_appends = true;
	zones.run(700);
	zones.sim.evacuate("z1");
	zones.run(3000);
	EXPECT_EQ(0, zones.starts_in("z1", 6000));
	zones.expect_kept();
}

/* Guards against a VM that reads late, after the history has expired: the
 * newest record of each key tells what was asked for, and what is missing was
 * withdrawn. */
TEST(FlowEvacuation, HistoryExpiresBeforeItIsRead)
{
	Zones zones;

	zones.sim.evacuate("z0");
	zones.run(3000);
	for (SimVm *vm : {zones.a, zones.b})
		vm->config_unreadable = true;
	zones.run(200);
	zones.sim.withdraw("z0");
	zones.sim.evacuate("z1");
	zones.sim.withdraw("z1");
	zones.sim.evacuate("z2");
	zones.sim.config_log.expire();
	zones.run(2000);
	for (SimVm *vm : {zones.a, zones.b})
		vm->config_unreadable = false;
	zones.run(4000);
	for (SimVm *vm : {zones.a, zones.b}) {
		EXPECT_FALSE(zones.held_by(vm, "z0"));
		EXPECT_FALSE(zones.held_by(vm, "z1"));
		EXPECT_TRUE(zones.held_by(vm, "z2"));
	}
	EXPECT_GT(zones.starts_in("z0", 3000), 0);
	EXPECT_EQ(0, zones.starts_in("z2", 3000));
	zones.finish();
	zones.expect_kept();
}

/* Guards against a start that is repeated in an evacuated zone: its answer was
 * lost, and its worker may or may not have carried it out. */
TEST(FlowEvacuation, UnansweredStartsAreNotRepeated)
{
	for (bool carried_out : {false, true}) {
		Zones zones;

		zones.sim.order_fault = [&](const SimVm *,
					    const std::string &address,
					    enum fw_order_kind kind) {
			SimOrderFault fault;
			bool hit = kind == FW_ORDER_START &&
			    zones.sim.workers[address].zone == "z1";

			fault.answer_lost = hit && carried_out;
			fault.unreachable = hit && !carried_out;
			return fault;
		};
		zones.run(500);
		zones.sim.evacuate("z1");
		/* Repeated starts would arrive after the bound. */
		zones.run(6500);
		zones.sim.order_fault = nullptr;
		zones.run(12000);
		zones.finish();
		zones.expect_kept();
	}
}

/* Guards against a stop of a run whose start was on its way when the request
 * was read, and whose worker has carried it out in time. */
TEST(FlowEvacuation, StartsOnTheirWayGoOn)
{
	for (int64_t phase_ms = 0; phase_ms < 400; phase_ms += 100) {
		Zones zones;

		for (auto &worker : zones.sim.workers)
			worker.second.work_ms = 1500;
		zones.sim.order_fault = [](const SimVm *, const std::string &,
					    enum fw_order_kind kind) {
			SimOrderFault fault;

			if (kind == FW_ORDER_START)
				fault.answer_delay_ms = 400;
			return fault;
		};
		zones.run(1000 + phase_ms);
		for (int i = 0; i < 500 && zones.starts_in("z1", 20) == 0; i++)
			;
		zones.sim.evacuate("z1");
		zones.run(3000);
		EXPECT_TRUE(zones.sim.run_checker.stopped.empty());
		zones.expect_kept();
	}
}

/* Guards against a gang of which some members have started in an evacuated zone
 * while the others wait for one. */
TEST(FlowEvacuation, GangsRunWholeOrNotAtAll)
{
	for (int64_t after_ms : {0, 8, 12, 30}) {
		Zones zones;

		zones.sim.submit(
		    JOB_A, {FlowFixture::make_step(4, 8, BD_STEP_GANG)}, 0);
		zones.run(after_ms);
		zones.sim.evacuate("z1");
		zones.run(14000);
		zones.finish();
		for (int i = 0; i < 4; i++)
			EXPECT_EQ(1u,
			    zones.sim.run_checker.done.count(
				std::string(JOB_A ".0.0.") + std::to_string(i)))
			    << after_ms;
		zones.expect_kept();
	}
}

/* Gives the callers of the simulation a guarantee. */
void
set_guarantee(SimVm *vm, uint32_t accels)
{
	std::vector<uint64_t> bytes(
	    (sizeof(struct bd_setup) + sizeof(struct bd_client)) / 8);
	struct bd_setup *setup = (struct bd_setup *)bytes.data();

	setup->client_count = 1;
	fw_setup_clients(setup)->guaranteed_accels = accels;
	bd_put(vm->fixture.board, BD_TABLE_setup, BD_WRITER_FLOW, BD_CONFIG_ID,
	    setup, bytes.size() * 8, nullptr);
}

/* Guards against an account that does not get its guarantee while a third of
 * the workers is evacuated, against urgent work that is started there, and
 * against runs there that are preempted for nothing. */
TEST(FlowEvacuation, GuaranteesAreReclaimedOnTheRest)
{
	constexpr char BULK[] = "00000000000000b1";
	struct bd_flow_step bulk = FlowFixture::make_step(48, 1);
	struct bd_flow_step urgent = FlowFixture::make_step(4, 8, BD_STEP_GANG);
	Zones zones;
	size_t kept;

	bulk.estimate_ms = urgent.estimate_ms = 30000;
	for (auto &worker : zones.sim.workers)
		worker.second.work_ms = 30000;
	for (SimVm *vm : {zones.a, zones.b})
		set_guarantee(vm, 32);
	zones.sim.submit(BULK, {bulk}, 2);
	zones.sim.run_for(3000);
	zones.sim.evacuate("z1");
	zones.sim.run_for(1500);
	kept = zones.running_in("z1");
	EXPECT_GT(kept, 0u);
	zones.sim.submit(JOB_A, {urgent}, 0);
	zones.sim.run_for(3400);
	for (int i = 0; i < 4; i++)
		EXPECT_EQ(1,
		    zones.sim.run_checker.started[std::string(JOB_A ".0.0.") +
			std::to_string(i)]);
	/* What exceeds the rest waits. */
	zones.sim.submit(JOB_B, {urgent}, 0);
	zones.sim.run_for(5000);
	EXPECT_EQ(0u, zones.sim.run_checker.started.count(JOB_B ".0.0.0"));
	EXPECT_EQ(kept, zones.running_in("z1"));
	zones.expect_kept();
}

/* A board with two hosts in two zones. */
struct Decision : FlowFixture {
	struct fw_evacuations evacuations;

	Decision()
	{
		fw_evacuations_init(&evacuations, board);
		set_zone(add_host("w1", "r1"), "z1");
		set_zone(add_host("w2", "r2"), "z2");
	}

	~Decision()
	{
		fw_evacuations_free(&evacuations);
	}

	void
	set_zone(uint64_t id, const char *zone, int64_t cold_until_ms = 0)
	{
		bd_read_begin();
		struct bd_host row = *bd_host_lookup(board, id);
		bd_read_end();
		row.zone = cw_id_from_name(zone);
		row.cold_until_ms = cold_until_ms;
		bd_put(board, BD_TABLE_host, BD_WRITER_FLOW, id, &row,
		    sizeof(row), nullptr);
	}

	uint64_t
	evacuated_count()
	{
		return bd_row_count(board, BD_TABLE_evacuation);
	}
};

/* Guards against a record that cannot be held and is passed over: the follower
 * has to stop before it. */
TEST(FlowEvacuation, FullTableIsReported)
{
	Decision decision;
	int held = 0;

	while (held < 1000 &&
	    fw_evacuation_apply(&decision.evacuations,
		("zone" + std::to_string(held)).c_str(), (uint64_t)held, true,
		1) == CW_OK)
		held++;
	EXPECT_EQ(256, held);
	EXPECT_EQ(BD_EFULL,
	    fw_evacuation_apply(
		&decision.evacuations, "zone256", 256, true, 1));
	EXPECT_EQ(CW_OK,
	    fw_evacuation_apply(&decision.evacuations, "zone3", 257, false, 1));
	EXPECT_EQ(CW_OK,
	    fw_evacuation_apply(
		&decision.evacuations, "zone256", 258, true, 1));
}

/* Guards against a snapshot that keeps what was withdrawn, or drops what it
 * contains. */
TEST(FlowEvacuation, SnapshotReplacesTheTable)
{
	Decision decision;
	struct fw_evacuations *table = &decision.evacuations;

	fw_evacuation_apply(table, "z1", 1, true, 10);
	fw_evacuation_apply(table, "z2", 2, true, 10);
	fw_evacuations_load_begin(table);
	fw_evacuation_apply(table, "z2", 2, true, 20);
	fw_evacuation_apply(table, "z3", 3, true, 20);
	fw_evacuations_load_end(table);
	EXPECT_EQ(2u, decision.evacuated_count());
	bd_read_begin();
	EXPECT_FALSE(fw_zone_evacuated(decision.board, cw_id_from_name("z1")));
	EXPECT_EQ(10,
	    bd_evacuation_lookup(decision.board, cw_id_from_name("z2"))
		->since_ms);
	EXPECT_TRUE(fw_zone_evacuated(decision.board, cw_id_from_name("z3")));
	bd_read_end();
}

/* Guards against a decision that places on an evacuated worker, and against a
 * wait whose reason does not name the evacuation. */
TEST(FlowEvacuation, DecisionsPassTheZoneOver)
{
	Decision decision;

	fw_evacuation_apply(&decision.evacuations, "z1", 1, true, 10);
	decision.submit(JOB_A, {FlowFixture::make_step(1, 8)});
	decision.submit(JOB_B, {FlowFixture::make_step(1, 8)});
	EXPECT_EQ(1u, decision.place_ready());
	for (const char *job : {JOB_A, JOB_B}) {
		if (decision.task(job, 0).state != BD_STEP_TASK_PLACED)
			continue;
		EXPECT_EQ(cw_id_from_name("w2"), decision.task(job, 0).host);
	}
	fw_evacuation_apply(&decision.evacuations, "z1", 2, false, 10);
	EXPECT_EQ(1u, decision.place_ready());
}

/* Guards against a cold worker that is taken while a warm one is free, and
 * against one that is never taken. */
TEST(FlowEvacuation, ColdWorkersComeLast)
{
	for (const char *cold : {"w1", "w2"}) {
		Decision decision;
		uint64_t id = cw_id_from_name(cold);

		decision.settings.cold_overage_milli = 1500;
		decision.set_zone(id, "z1", 6000);
		decision.submit(JOB_A, {FlowFixture::make_step(1, 8)});
		EXPECT_EQ(1u, decision.place_ready());
		EXPECT_NE(id, decision.task(JOB_A, 0).host);
		decision.submit(JOB_B, {FlowFixture::make_step(1, 8)});
		EXPECT_EQ(1u, decision.place_ready());
		EXPECT_EQ(id, decision.task(JOB_B, 0).host);
	}
}

/* Guards against a gang that is placed on a cold rack while a warm one has
 * room.
 */
TEST(FlowEvacuation, ColdRacksComeLast)
{
	for (const char *cold : {"w1", "w2"}) {
		Decision decision;
		uint64_t id = cw_id_from_name(cold);

		decision.settings.cold_overage_milli = 1500;
		decision.set_zone(id, "z1", 6000);
		for (const char *job : {JOB_A, JOB_B}) {
			decision.submit(job,
			    {FlowFixture::make_step(
				2, 4, BD_STEP_GANG | BD_STEP_SAME_RACK)});
			EXPECT_EQ(1u, decision.place_ready());
		}
		EXPECT_NE(id, decision.task(JOB_A, 0).host);
		EXPECT_EQ(id, decision.task(JOB_B, 1).host);
	}
}

/* Guards against a bound that is not kept at its edge, and against one where
 * the settings have none. */
TEST(FlowEvacuation, AgeOfTheCopy)
{
	struct fw_freeze freeze = {};

	fw_freeze_look(&freeze, 1000, 500000);
	EXPECT_TRUE(fw_zones_known(&freeze, 0, INT64_MAX / 8, 1000));
	EXPECT_TRUE(fw_zones_known(&freeze, 5000, 4000, 1000));
	EXPECT_FALSE(fw_zones_known(&freeze, 5000, 4001, 1000));
	fw_freeze_look(&freeze, 1100, 500200);
	EXPECT_TRUE(fw_zones_known(&freeze, 5000, 10, 1100));
	fw_freeze_look(&freeze, 1200, 503300);
	EXPECT_FALSE(fw_zones_known(&freeze, 5000, 0, 1200));
	fw_freeze_look(&freeze, 1300, 503400);
	EXPECT_FALSE(fw_zones_known(&freeze, 5000, 100, 1300));
	EXPECT_TRUE(fw_zones_known(&freeze, 5000, 99, 1300));
}

} // namespace
