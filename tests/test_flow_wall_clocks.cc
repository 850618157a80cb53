#include <gtest/gtest.h>

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
