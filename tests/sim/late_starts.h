#ifndef CAMPHOR_TESTS_LATE_STARTS_H
#define CAMPHOR_TESTS_LATE_STARTS_H

#include <gtest/gtest.h>

#include "flow_sim.h"

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"

/* Two workers and a placer. The first start of each task of a job on w1 gets no
 * answer and arrives at a given time. */
struct LateStarts {
	FlowSim sim;
	SimVm *vm;
	int64_t arrive_ms = 0;
	int late = 0; /* starts still to be delayed */

	LateStarts()
	{
		sim.add_worker("w1");
		vm = sim.add_vm("a");
		sim.order_fault = [this](const SimVm *, const std::string &,
				      enum fw_order_kind kind) {
			SimOrderFault fault;

			if (kind == FW_ORDER_START && late > 0) {
				late--;
				fault.late_ms = arrive_ms - sim.now_ms;
			}
			return fault;
		};
		sim.run_for(1000);
	}

	SimWorker &
	worker()
	{
		return sim.workers["w1"];
	}

	void
	submit(int tasks, int64_t arrive)
	{
		late = tasks;
		arrive_ms = arrive;
		sim.submit(JOB_A, {FlowFixture::make_step((uint32_t)tasks, 1)});
	}

	/* Crashes w1, which is back under its id at back_ms. */
	void
	crash(int64_t back_ms)
	{
		worker().keeps_id = true;
		worker().crash(sim.now_ms);
		worker().back_ms = back_ms;
	}

	/* Workers come back also when nobody calls them. */
	void
	run_until(int64_t end_ms)
	{
		while (sim.now_ms < end_ms) {
			sim.run_for(1);
			sim.advance_workers();
		}
	}

	void
	expect_no_violations(int64_t arrive)
	{
		SCOPED_TRACE("arrival at " + std::to_string(arrive));

		EXPECT_EQ(0, sim.run_checker.concurrent_runs);
		EXPECT_EQ(0, sim.run_checker.unpreventable);
		EXPECT_EQ(0, sim.run_checker.starts_after_done);
		EXPECT_EQ(0, sim.run_checker.capacity_violations);
	}
};

#endif
