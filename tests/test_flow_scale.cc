#include <gtest/gtest.h>

#include "sim/flow_sim.h"

#define JOB "00000000000000b1"

/* The placer's VM handles one answer of a worker at a time, in this time. */
static constexpr int64_t ANSWER_MS = 2;

/* Orders to all workers, whose answers wait for each other at the placer. */
static void
serialize_answers(FlowSim &sim, int64_t *busy_until_ms)
{
	sim.order_fault = [&sim, busy_until_ms](const SimVm *,
			      const std::string &, enum fw_order_kind) {
		SimOrderFault fault;

		*busy_until_ms =
		    std::max(*busy_until_ms, sim.now_ms) + ANSWER_MS;
		fault.transit_ms = *busy_until_ms - sim.now_ms;
		return fault;
	};
}

/* A new placer of thousands of workers must not ask all of them at once for
 * their runs: the answers came after their time-outs, all workers counted as
 * silent, and nothing was placed any more. */
TEST(FlowScale, SuccessorOfManyWorkersPlacesSoon)
{
	int64_t busy_until_ms = 0; /* used by the destructor of sim */
	FlowSim sim;
	uint64_t silent;

	for (int i = 0; i < 2000; i++)
		sim.add_worker("w" + std::to_string(i));
	serialize_answers(sim, &busy_until_ms);
	SimVm *a = sim.add_vm("a");
	sim.run_for(8000);
	SimVm *b = sim.add_vm("b");
	sim.run_for(1000);
	ASSERT_TRUE(fw_placer_active(a->placer));
	sim.submit(JOB, {FlowFixture::make_step(20, 8)}, 1);
	sim.run_for(200);
	silent = ev_count(EV_FLOW_HOST_SILENT);
	sim.kill(a);
	/* Until the duty has moved, the lists of all workers are read, and the
	 * tasks have run. */
	sim.run_for(2500 + 2000 * ANSWER_MS + 2500);
	ASSERT_TRUE(fw_placer_active(b->placer));
	EXPECT_EQ(silent, ev_count(EV_FLOW_HOST_SILENT));
	EXPECT_EQ(BD_FLOW_COMPLETED, sim.state(b, JOB));
	EXPECT_EQ(0, sim.run_checker.concurrent_runs);
}

/* The connection to a worker must be kept while it has runs, and not after its
 * first list if it has none. */
TEST(FlowScale, ConnectionsToIdleWorkersAreNotKept)
{
	FlowSim sim;

	sim.add_worker("w1").work_ms = 20000;
	sim.add_worker("w2");
	SimVm *a = sim.add_vm("a");
	sim.run_for(1500);
	EXPECT_EQ(1, sim.last_orders["w1"]);
	EXPECT_EQ(1, sim.last_orders["w2"]);
	sim.submit(JOB, {FlowFixture::make_step(8, 1)}, 1);
	sim.run_for(5000);
	std::string used = sim.worker_of(a, JOB, 0);
	EXPECT_EQ(1, sim.last_orders[used]);
	/* A successor asks the worker with runs over a connection that stays.
	 */
	sim.add_vm("b");
	sim.run_for(1000);
	sim.kill(a);
	sim.run_for(4000);
	EXPECT_EQ(1, sim.last_orders[used]);
	EXPECT_EQ(2, sim.last_orders[used == "w1" ? "w2" : "w1"]);
}
