#include <gtest/gtest.h>

#include "sim/flow_sim.h"

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"
#define JOB_C "00000000000000cc"

/* A task on w1 ends as done behind a cut, counts as lost, and is done on w2.
 * Only w1 has room for the tasks of the second job. */
struct LostRun {
	FlowSim sim;
	SimVm *a;
	SimVm *b;

	explicit LostRun(int64_t work_ms, int64_t phase_ms = 0)
	{
		sim.add_worker("w1").work_ms = work_ms;
		a = sim.add_vm("a");
		b = sim.add_vm("b");
		sim.run_for(30000);
		sim.submit(JOB_A, {FlowFixture::make_step(1, 1)});
		sim.run_for(500 + phase_ms);
		sim.add_worker("w2").room.accels = 1;
		sim.set_room("w2", sim.workers["w2"].room);
		sim.unreachable_workers.insert("w1");
	}

	void
	end_cut()
	{
		sim.unreachable_workers.clear();
		sim.workers["w1"].work_ms = 200;
	}

	void
	submit_for_w1(const char *job, uint32_t tasks)
	{
		sim.submit(job, {FlowFixture::make_step(tasks, 2)});
		sim.run_for(100); /* until the job is read */
	}

	bool
	runs_on_w1(const std::string &job)
	{
		for (const auto &entry : sim.workers["w1"].runs)
			if (entry.second.task.compare(0, job.size(), job) == 0)
				return true;
		return false;
	}

	/* Returns the longest time for which w1 had nothing to run until the
	 * job was completed, -1 if it was not within limit_ms. */
	int64_t
	play_until_completed(SimVm *vm, const char *job, int64_t limit_ms)
	{
		int64_t end_ms = sim.now_ms + limit_ms;
		int64_t ran_ms = sim.now_ms;
		int64_t longest_ms = 0;

		while (sim.now_ms < end_ms &&
		    sim.state(vm, job) != BD_FLOW_COMPLETED) {
			sim.run_for(10);
			sim.advance_workers();
			if (!sim.workers["w1"].runs.empty())
				ran_ms = sim.now_ms;
			longest_ms = std::max(longest_ms, sim.now_ms - ran_ms);
		}
		return sim.now_ms < end_ms ? longest_ms : -1;
	}

	void
	expect_no_violations() const
	{
		EXPECT_EQ(0, sim.run_checker.concurrent_runs);
		EXPECT_EQ(0, sim.run_checker.starts_after_done);
		EXPECT_EQ(0, sim.run_checker.capacity_violations);
	}
};

/* The worker's leases have lapsed behind the cut, which voids the end. */
TEST(FlowVoidEnds, EndOfALostRunHoldsUpNoLaterEnds)
{
	LostRun play(4000);
	int64_t longest_ms;

	play.sim.run_for(7500);
	ASSERT_EQ(2, play.sim.run_checker.starts);
	play.end_cut();
	play.submit_for_w1(JOB_B, 400);
	longest_ms = play.play_until_completed(play.a, JOB_B, 120000);
	EXPECT_GE(longest_ms, 0);
	EXPECT_LE(longest_ms, 2000);
	play.sim.run_for(2000);
	EXPECT_EQ(0U, play.sim.unacknowledged_ends());
	play.expect_no_violations();
}

/* A successor knows neither the run nor by which rule it was over. */
TEST(FlowVoidEnds, EndOfALostRunHoldsUpNothingForGoodAtASuccessor)
{
	for (int64_t killed_ms : {3000, 8000, 9500}) {
		LostRun play(4000);
		int64_t longest_ms;

		SCOPED_TRACE(killed_ms);
		play.sim.run_for(killed_ms);
		play.sim.kill(play.a);
		play.sim.run_for(26000 - killed_ms);
		ASSERT_EQ(2, play.sim.run_checker.starts);
		play.end_cut();
		play.submit_for_w1(JOB_B, 1);
		play.submit_for_w1(JOB_C, 600);
		longest_ms = play.play_until_completed(play.b, JOB_B, 10000);
		EXPECT_GE(longest_ms, 0);
		longest_ms = play.play_until_completed(play.b, JOB_C, 180000);
		EXPECT_GE(longest_ms, 0) << "the worker gets no work for good";
		play.sim.run_for(9000);
		EXPECT_EQ(0U, play.sim.unacknowledged_ends());
		play.expect_no_violations();
	}
}

/* An end that is listed while the lease may be valid is not void. */
TEST(FlowVoidEnds, EndsAreHeldUpUntilTheLeaseHasLapsed)
{
	LostRun play(4000);

	play.sim.run_for(7500);
	ASSERT_EQ(2, play.sim.run_checker.starts);
	/* The placer has changed when the worker answers again, and has runs
	 * there, so that its leases go on. */
	play.sim.kill(play.a);
	play.sim.run_for(5000);
	ASSERT_TRUE(fw_placer_active(play.b->placer));
	play.end_cut();
	play.sim.workers["w1"].work_ms = 60000;
	play.submit_for_w1(JOB_B, 1);
	play.sim.run_for(30000);
	EXPECT_EQ(1U, play.sim.workers["w1"].runs.size());
	EXPECT_EQ(1U, play.sim.workers["w1"].ends.size());
	play.sim.run_for(60000);
	EXPECT_EQ(0U, play.sim.unacknowledged_ends());
	play.expect_no_violations();
}

/* A run that lasts would keep its worker's lease from lapsing. */
TEST(FlowVoidEnds, RunsThatLastDoNotKeepAWorkerFromNewRuns)
{
	LostRun play(4000);

	play.sim.run_for(9500);
	play.sim.kill(play.a);
	play.sim.run_for(16500);
	ASSERT_EQ(2, play.sim.run_checker.starts);
	play.end_cut();
	play.sim.set_room("w1", {100000, 100000, 64});
	play.sim.workers["w1"].job_work_ms[JOB_B] = 3600000;
	play.sim.submit(
	    JOB_B, {FlowFixture::make_step(1, 2, BD_STEP_LONG_RUNNING)});
	play.sim.run_for(5000);
	ASSERT_EQ(1U, play.sim.workers["w1"].runs.size());
	play.submit_for_w1(JOB_C, 600);
	EXPECT_GE(play.play_until_completed(play.b, JOB_C, 32000), 0);
	play.sim.run_for(10000);
	EXPECT_EQ(0U, play.sim.unacknowledged_ends());
	EXPECT_EQ(1U, play.sim.workers["w1"].runs.size());
	play.expect_no_violations();
}

/* Ends that cannot be stored are no reason to stop a run that lasts. */
TEST(FlowVoidEnds, RunsThatLastOutliveAnOutageOfTheStore)
{
	LostRun play(4000);
	SimWorker &worker = play.sim.workers["w1"];

	play.sim.unreachable_workers.clear();
	play.sim.run_for(5000);
	play.sim.set_room("w1", {1000000, 1000000, 1000});
	worker.job_work_ms[JOB_B] = 3600000;
	play.sim.submit(
	    JOB_B, {FlowFixture::make_step(1, 2, BD_STEP_LONG_RUNNING)});
	play.sim.run_for(1000);
	worker.work_ms = 4000;
	play.submit_for_w1(JOB_C, 400);
	for (int i = 0; i < 300 && worker.runs.size() < 300; i++)
		play.sim.run_for(10);
	ASSERT_GE(worker.runs.size(), 300U);
	play.sim.store_down = true;
	play.sim.run_for(6000);
	EXPECT_GE(worker.ends.size(), 251U);
	play.sim.store_down = false;
	play.sim.run_for(10000);
	EXPECT_EQ(1U, worker.runs.size());
	EXPECT_EQ(0U, play.sim.run_checker.stopped.size());
}

/* A worker behind a cut is asked so often that it has work again within 2 s. */
TEST(FlowVoidEnds, WorkersGetWorkSoonAfterACut)
{
	for (int64_t phase_ms = 0; phase_ms < 1500; phase_ms += 500) {
		for (int64_t cut_ms = 5500; cut_ms <= 8500; cut_ms += 250) {
			LostRun play(4000, phase_ms);
			int64_t waited_ms = 0;

			play.sim.run_for(cut_ms);
			play.submit_for_w1(JOB_B, 4);
			play.end_cut();
			for (; waited_ms < 4000 && !play.runs_on_w1(JOB_B);
			     waited_ms += 10)
				play.sim.run_for(10);
			EXPECT_LE(waited_ms, 2000)
			    << cut_ms << " at " << phase_ms;
			play.expect_no_violations();
		}
	}
}

/* The acknowledgement of an end is put off while a start of its run may still
 * arrive. It must not be put off until the worker's lease has lapsed, after
 * which the end is not taken note of. */
TEST(FlowVoidEnds, EndsThatArePutOffAreTakenNoteOf)
{
	for (uint32_t ack_timeout_ms : {5000, 8000}) {
		FlowSim sim;
		bool lost = true;

		SCOPED_TRACE(ack_timeout_ms);
		sim.ack_timeout_ms = ack_timeout_ms;
		sim.add_worker("w1");
		sim.add_vm("a");
		sim.order_fault = [&lost](const SimVm *, const std::string &,
				      enum fw_order_kind kind) {
			SimOrderFault fault;

			if (kind == FW_ORDER_START && lost) {
				fault.unreachable = true;
				lost = false;
			}
			return fault;
		};
		sim.run_for(1000);
		sim.submit(JOB_A, {FlowFixture::make_step(1, 1)});
		sim.run_for(20000);
		EXPECT_EQ(1, sim.run_checker.starts);
		EXPECT_EQ(1U, sim.run_checker.finished.size());
		EXPECT_EQ(0U, sim.unacknowledged_ends());
		EXPECT_EQ(1U, sim.run_checker.done.size());
	}
}
