#include <gtest/gtest.h>

#include "sim/flow_sim.h"

namespace {

const int JOBS = 60;

std::string
job_name(int number)
{
	char name[24];

	snprintf(name, sizeof(name), "%016x", number);
	return name;
}

/* A store whose appends hold a part of the progress of all jobs, which one
 * decision places. */
struct SmallRequests {
	FlowSim sim;
	SimVm *a;
	SimVm *b;

	SmallRequests()
	{
		sim.request_bytes = 4000;
		sim.record_bytes = 2000;
		sim.add_worker("w1").room = {100000000, 100000000, 1000};
		a = sim.add_vm("a");
		b = sim.add_vm("b");
		sim.run_for(1000);
		for (int i = 1; i <= JOBS; i++)
			sim.submit(job_name(i).c_str(),
			    {FlowFixture::make_step(10, 1)});
	}

	int
	completed(SimVm *vm)
	{
		int count = 0;

		for (int i = 1; i <= JOBS; i++)
			count += sim.state(vm, job_name(i).c_str()) ==
			    BD_FLOW_COMPLETED;
		return count;
	}
};

} // namespace

/* An append beyond RequestBytes was refused and sent again forever, and the
 * placer placed nothing any more. */
TEST(FlowWriter, BatchesBeyondOneRequestDoNotStopThePlacer)
{
	SmallRequests play;

	play.sim.run_for(20000);
	EXPECT_EQ(JOBS, play.completed(play.a));
	EXPECT_EQ(10 * JOBS, play.sim.run_checker.starts);
	EXPECT_EQ(0, play.sim.refused_appends);
	EXPECT_EQ(0, play.sim.run_checker.capacity_violations);
	EXPECT_EQ(0U, play.sim.unacknowledged_ends());
}

/* A placer that ends between two parts of a batch leaves a part of a decision.
 * Its successor goes on from there, without a second run. */
TEST(FlowWriter, PartsOfABatchAreNoLossToASuccessor)
{
	size_t partial = 0;

	for (int64_t killed_ms = 0; killed_ms <= 10; killed_ms += 2) {
		SmallRequests play;

		SCOPED_TRACE(killed_ms);
		for (int i = 0; i < 1000 && play.sim.progress_log.end() == 0;
		     i++)
			play.sim.run_for(1);
		play.sim.run_for(killed_ms);
		partial += play.sim.progress_log.end() < (uint64_t)JOBS;
		play.sim.kill(play.a);
		play.sim.run_for(30000);
		EXPECT_EQ(JOBS, play.completed(play.b));
		EXPECT_EQ(0, play.sim.run_checker.concurrent_runs);
		EXPECT_EQ(0, play.sim.run_checker.starts_after_done);
		EXPECT_EQ(0, play.sim.run_checker.capacity_violations);
	}
	EXPECT_GE(partial, 2U);
}

/* An append whose answer is lost is repeated with the same records: a batch is
 * split in the same way each time, and nothing is stored twice or left out. */
TEST(FlowWriter, RepeatedPartsAreTheSame)
{
	SmallRequests play;

	play.sim.drop_append_answers = true;
	play.sim.run_for(3000);
	play.sim.drop_append_answers = false;
	play.sim.run_for(20000);
	EXPECT_EQ(JOBS, play.completed(play.a));
	EXPECT_EQ(10 * JOBS, play.sim.run_checker.starts);
	EXPECT_EQ(0, play.sim.run_checker.concurrent_runs);
}

/* A record beyond RecordBytes is refused however it is sent. The job that it is
 * of, which only a VM with other limits can have accepted, must not hold up the
 * others, nor keep their room. */
TEST(FlowWriter, JobWhoseProgressIsTooLargeHoldsUpNoOther)
{
	FlowSim sim;

	sim.record_bytes = 4000;
	sim.add_worker("w1").room = {10000000, 10000000, 100};
	SimVm *vm = sim.add_vm("a");
	sim.run_for(1000);
	sim.submit(job_name(1).c_str(), {FlowFixture::make_step(100, 1)});
	sim.submit(job_name(2).c_str(), {FlowFixture::make_step(10, 1)});
	sim.run_for(5000);
	EXPECT_EQ(BD_FLOW_QUEUED, sim.state(vm, job_name(1).c_str()));
	EXPECT_EQ(BD_FLOW_COMPLETED, sim.state(vm, job_name(2).c_str()));
	EXPECT_EQ(10, sim.run_checker.starts);
	EXPECT_EQ(0, sim.refused_appends);
}

/* The same for records that reach the writer: they are left out of the batch.
 */
TEST(FlowWriter, RecordsThatAreTooLargeAreLeftOut)
{
	FlowFixture fixture;
	struct fw_placer placer = {};
	struct fw_writer writer = {};

	writer.placer = &placer;
	placer.parts.settings.record_bytes = 100;
	for (size_t bytes : {81, 82, 10000})
		EXPECT_EQ(CW_OK,
		    fw_writer_add(&writer, FW_RECORD_PROGRESS,
			job_name(1).c_str(), malloc(bytes), bytes));
	ASSERT_EQ(1U, writer.count);
	EXPECT_EQ(81U, writer.records[0].value_bytes);
	fw_writer_free(&writer);
}
