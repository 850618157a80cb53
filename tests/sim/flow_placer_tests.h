#ifndef CAMPHOR_TESTS_FLOW_PLACER_TESTS_H
#define CAMPHOR_TESTS_FLOW_PLACER_TESTS_H

#include <gtest/gtest.h>

#include "flow_sim.h"

#define JOB_A "00000000000000d1"
#define JOB_B "00000000000000d2"

/* Expects that no task ran twice at a time or after it was done, and that no
 * worker exceeded its capacity. */
inline void
expect_no_violations(const FlowSim &sim)
{
	EXPECT_EQ(0, sim.run_checker.concurrent_runs);
	EXPECT_EQ(0, sim.run_checker.unpreventable);
	EXPECT_EQ(0, sim.run_checker.starts_after_done);
	EXPECT_EQ(0, sim.run_checker.capacity_violations);
}

#endif
