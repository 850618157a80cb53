#include <gtest/gtest.h>

#include "../lib/flow/tombstone.h"
#include "sim/late_starts.h"

/*
 * Wall clocks of VMs that are wrong by up to a minute, or jump. What one VM
 * stores must not make another one decide too early, nor much later.
 */
static const int64_t CLOCK_ERRORS_MS[] = {-60000, -3780, 0, 3780, 60000};

/* A run on w1, which falls silent. Placer a stores what it knows and is lost;
 * b, which has been following, takes over and cannot ask w1. */
struct LostPlacer {
	FlowSim sim;
	SimVm *a;
	SimVm *b;
	int64_t silent_ms = 0;

	LostPlacer()
	{
		sim.add_worker("w1").work_ms = 60000;
		a = sim.add_vm("a");
		sim.run_for(120000); /* no wall time is negative */
		b = sim.add_vm("b");
		sim.submit(JOB_A, {FlowFixture::make_step(1, 8)});
		run_until(sim.now_ms + 5000);
		/* A later placement shows that the first start was answered. */
		sim.add_worker("w3").work_ms = 60000;
		sim.submit(JOB_B, {FlowFixture::make_step(1, 8)});
		run_until(sim.now_ms + 3000);
		EXPECT_EQ(2, sim.run_checker.starts);
	}

	~LostPlacer()
	{
		sim.order_fault = nullptr;
	}

	/* Workers go on also when nobody calls them. */
	void
	run_until(int64_t end_ms)
	{
		while (sim.now_ms < end_ms) {
			sim.run_for(1);
			sim.advance_workers();
		}
	}

	/* The next renewal reaches w1, which answers nothing from then on. */
	void
	fall_silent()
	{
		sim.add_worker("w2").work_ms = 60000;
		sim.order_fault = [this](const SimVm *, const std::string &at,
				      enum fw_order_kind) {
			SimOrderFault fault;

			if (at != "w1")
				return fault;
			fault.answer_lost = silent_ms == 0;
			fault.unreachable = !fault.answer_lost;
			if (silent_ms == 0)
				silent_ms = sim.now_ms;
			return fault;
		};
		while (silent_ms == 0)
			run_until(sim.now_ms + 1);
	}

	/* The run on w2 begins alone, once the leases of w1 are over. */
	void
	expect_next_run()
	{
		fw_duty_release(a->duty);
		run_until(sim.now_ms + 10);
		sim.kill(a);
		while (sim.run_checker.starts < 3 &&
		    sim.now_ms < silent_ms + 90000)
			run_until(sim.now_ms + 1);
		EXPECT_EQ(3, sim.run_checker.starts);
		EXPECT_EQ(0, sim.run_checker.concurrent_runs);
		EXPECT_LT(sim.now_ms - silent_ms, 11000);
	}
};

/* Guards against a task that runs again before the last lease of its worker has
 * ended, as its end was stored by a clock that is behind. */
TEST(FlowWallClocks, EndsOfLeasesDoNotDependOnThem)
{
	for (int64_t of_a : CLOCK_ERRORS_MS)
		for (int64_t of_b : CLOCK_ERRORS_MS) {
			LostPlacer play;

			SCOPED_TRACE("ahead by " + std::to_string(of_a) +
			    " and " + std::to_string(of_b));
			play.a->wall_ahead_ms = of_a;
			play.b->wall_ahead_ms = of_b;
			play.fall_silent();
			play.run_until(play.silent_ms + 4000);
			play.expect_next_run();
		}
}

/* The same for clocks that jump between two readings, and back. */
TEST(FlowWallClocks, EndsOfLeasesDoNotDependOnTheirJumps)
{
	for (int64_t jump_ms : CLOCK_ERRORS_MS)
		for (SimVm *LostPlacer::*vm :
		    {&LostPlacer::a, &LostPlacer::b}) {
			LostPlacer play;

			SCOPED_TRACE("jump by " + std::to_string(jump_ms));
			play.fall_silent();
			play.run_until(play.silent_ms + 3000);
			(play.*vm)->wall_ahead_ms = jump_ms;
			play.run_until(play.silent_ms + 3650);
			(play.*vm)->wall_ahead_ms = 0;
			play.run_until(play.silent_ms + 3900);
			(play.*vm)->wall_ahead_ms = jump_ms;
			play.run_until(play.silent_ms + 4000);
			play.expect_next_run();
		}
}

/* Starts that w1 carries out late, once it has started again. Placer a is lost
 * before that; b takes over and cannot ask w1. */
struct LateStartOfLostPlacer {
	FlowSim sim;
	SimVm *a;
	SimVm *b;
	int64_t sent_ms = 0; /* of the last start to w1 */
	int64_t late_ms = 0;
	bool cut = false; /* of w1 */

	LateStartOfLostPlacer()
	{
		sim.add_worker("w1").work_ms = 60000;
		a = sim.add_vm("a");
		sim.run_for(120000); /* no wall time is negative */
		b = sim.add_vm("b");
		sim.order_fault = [this](const SimVm *, const std::string &at,
				      enum fw_order_kind kind) {
			SimOrderFault fault;

			if (at != "w1")
				return fault;
			fault.unreachable = cut;
			if (!cut && kind == FW_ORDER_START) {
				sent_ms = sim.now_ms;
				fault.late_ms = late_ms;
			}
			return fault;
		};
	}

	~LateStartOfLostPlacer()
	{
		sim.order_fault = nullptr;
	}

	void
	run_until(int64_t end_ms)
	{
		while (sim.now_ms < end_ms) {
			sim.run_for(1);
			sim.advance_workers();
		}
	}

	void
	submit(int64_t late)
	{
		late_ms = late;
		sim.submit(JOB_A, {FlowFixture::make_step(1, 8)});
		while (sent_ms == 0)
			run_until(sim.now_ms + 1);
	}

	/* The task does not run elsewhere before its start has arrived. */
	void
	expect_no_second_run()
	{
		cut = true;
		sim.kill(a);
		sim.add_worker("w2").work_ms = 60000;
		run_until(sent_ms + late_ms - 100);
		sim.workers["w1"].restart(sim.now_ms);
		run_until(sent_ms + late_ms + 3000);
		EXPECT_EQ(0, sim.run_checker.concurrent_runs);
		EXPECT_EQ(1U, sim.workers["w1"].runs.size());
	}
};

/* Guards against a task that runs elsewhere while a start that its placer has
 * repeated may still be carried out: by the successor's clock it may not. */
TEST(FlowWallClocks, RepeatedLateStartsDoNotDependOnThem)
{
	for (int64_t of_a : CLOCK_ERRORS_MS)
		for (int64_t of_b : CLOCK_ERRORS_MS) {
			LateStartOfLostPlacer play;

			SCOPED_TRACE("ahead by " + std::to_string(of_a) +
			    " and " + std::to_string(of_b));
			play.a->wall_ahead_ms = of_a;
			play.b->wall_ahead_ms = of_b;
			play.submit(12000);
			play.run_until(play.sent_ms + 4500);
			play.expect_no_second_run();
		}
}

/* The same for a first start, of which only the time of the placement tells,
 * and for a clock that jumps between two placements. */
TEST(FlowWallClocks, FirstLateStartsDoNotDependOnTheirJumps)
{
	for (int64_t jump_ms : CLOCK_ERRORS_MS)
		for (int64_t of_b : CLOCK_ERRORS_MS) {
			LateStartOfLostPlacer play;

			SCOPED_TRACE("jump by " + std::to_string(jump_ms) +
			    ", ahead by " + std::to_string(of_b));
			play.b->wall_ahead_ms = of_b;
			play.submit(12500);
			play.a->wall_ahead_ms = jump_ms;
			play.sim.add_worker("w3").work_ms = 60000;
			play.sim.submit(JOB_B, {FlowFixture::make_step(1, 8)});
			while (play.sim.run_checker.starts == 0 &&
			    play.sim.now_ms < play.sent_ms + 1000)
				play.run_until(play.sim.now_ms + 1);
			EXPECT_EQ(1, play.sim.run_checker.starts);
			play.expect_no_second_run();
		}
}

/* A placer whose clock jumps back must not take a start for covered by what it
 * stored before. */
TEST(FlowWallClocks, StartsAreCoveredAnewAfterAJumpBack)
{
	for (int64_t jump_ms : CLOCK_ERRORS_MS) {
		LateStartOfLostPlacer play;

		SCOPED_TRACE("jump by " + std::to_string(jump_ms));
		play.submit(12000);
		play.run_until(play.sent_ms + 2000);
		play.a->wall_ahead_ms = jump_ms;
		play.run_until(play.sent_ms + 9000);
		play.expect_no_second_run();
	}
}

/* Guards against an end that a successor acknowledges while a start of the run,
 * to which its predecessor had no answer, may still be carried out. */
TEST(FlowWallClocks, EndsThatAStartMayFollowAreNotAcknowledgedByThem)
{
	for (int64_t ahead_ms : CLOCK_ERRORS_MS) {
		LateStarts play;
		FlowSim &sim = play.sim;

		SCOPED_TRACE("ahead by " + std::to_string(ahead_ms));
		play.run_until(120000); /* no wall time is negative */
		play.submit(1, 132500);
		play.run_until(123000);
		ASSERT_EQ(1, sim.run_checker.starts);
		sim.kill(play.vm);
		SimVm *b = sim.add_vm("b");
		b->wall_ahead_ms = ahead_ms;
		play.run_until(131000);
		ASSERT_EQ(BD_FLOW_COMPLETED, sim.state(b, JOB_A));
		play.crash(132499);
		play.run_until(133000);
		EXPECT_EQ(2, sim.run_checker.starts);
		play.expect_no_violations(132500);
	}
}

/* Guards against ended jobs that callers ask for in vain, as the placer deleted
 * them by a clock that had jumped ahead, and against rows that stay for long.
 */
TEST(FlowWallClocks, EndedJobsAreKeptForTheirTime)
{
	for (int64_t jump_ms : {-600000, -60000, 0, 60000, 600000}) {
		FlowSim sim;

		SCOPED_TRACE("jump by " + std::to_string(jump_ms));
		sim.add_worker("w1");
		SimVm *vm = sim.add_vm("a");
		const int64_t kept_ms = vm->fixture.settings.retention_ms;

		sim.run_for(700000); /* no wall time is negative */
		sim.submit(JOB_A, {FlowFixture::make_step(1, 1)});
		sim.run_for(3000);
		ASSERT_EQ(BD_FLOW_COMPLETED, sim.state(vm, JOB_A));
		vm->wall_ahead_ms = jump_ms;
		sim.run_for(kept_ms - 3000);
		bd_read_begin();
		EXPECT_NE(nullptr, vm->fixture.find_flow(JOB_A));
		bd_read_end();
		sim.run_for(FW_RETENTION_MARGIN_MS + 5000);
		bd_read_begin();
		EXPECT_EQ(nullptr, vm->fixture.find_flow(JOB_A));
		bd_read_end();
	}
}

/* Guards against a cancelled job that runs, as its tombstone was deleted by a
 * clock that had jumped ahead before the submission was stored. */
TEST(FlowWallClocks, TombstonesAreKeptForTheirTime)
{
	for (int64_t jump_ms : {-600000, 0, 600000}) {
		FlowSim sim;
		uint64_t end;

		SCOPED_TRACE("jump by " + std::to_string(jump_ms));
		sim.add_worker("w1");
		SimVm *vm = sim.add_vm("a");
		sim.run_for(700000); /* no wall time is negative */
		char text[FW_TOMBSTONE_BYTES];
		char key[FW_KEY_BYTES];

		fw_tombstone_format(vm->fixture.queue.id, sim.now_ms, text);
		fw_record_key(key, FW_RECORD_TOMBSTONE, JOB_A);
		sim.job_log.append({{key, text}}, 0, 0, &end);
		sim.run_for(1000);
		vm->wall_ahead_ms = jump_ms;
		sim.run_for(10000);
		sim.submit(JOB_A, {FlowFixture::make_step(1, 1)});
		sim.run_for(3000);
		EXPECT_EQ(BD_FLOW_CANCELLED, sim.state(vm, JOB_A));
		EXPECT_EQ(0, sim.run_checker.starts);
	}
}

/* Guards against a run beside one whose lease a late renewal has given to a
 * worker that started again lately: its age is told by its own clock. */
TEST(FlowWallClocks, AgesOfWorkersDoNotDependOnThem)
{
	for (int64_t ahead_ms : CLOCK_ERRORS_MS) {
		FlowFixture fixture;
		struct fw_placer *placer =
		    (struct fw_placer *)calloc(1, sizeof(*placer));
		struct fw_worker_state worker = {};
		struct fw_report report = {};

		SCOPED_TRACE("ahead by " + std::to_string(ahead_ms));
		placer->parts.wall_ms = [](void *ctx) {
			return *(int64_t *)ctx;
		};
		int64_t wall_ms = 500000 + ahead_ms;
		placer->parts.ctx = &wall_ms;
		placer->tables.lease_max_ms = 6200;
		report.now_ms = 90000;
		report.clock_ms = 3000;
		report.incarnation_ms = 500000 - 3000;
		fw_first_list_leases(placer, &worker, &report);
		EXPECT_EQ(90000 + 6200, worker.lease_end_ms);
		worker.lease_end_ms = 0;
		report.clock_ms = 20000;
		report.incarnation_ms = 500000 - 20000;
		fw_first_list_leases(placer, &worker, &report);
		EXPECT_EQ(90000 - 7000 + 6200, worker.lease_end_ms);
		free(placer);
	}
}
