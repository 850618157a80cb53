#include <gtest/gtest.h>

#include "sim/standstill.h"

namespace {

const char *const job = "00000000000000aa";

/* Two workers, the jobs on them and a checker that takes samples. */
struct Stands {
	SimRunChecker checker;
	std::map<std::string, SimWorker> workers;
	Standstill standstill;
	int64_t now_ms = 1000;

	Stands()
	{
		for (const char *id : {"w1", "w2"}) {
			SimWorker &worker = workers[id];

			worker.id = worker.address = id;
			worker.run_checker = &checker;
			worker.room = {8000, 8000, 4};
			worker.max_lease_ms = INT32_MAX;
			worker.work_ms = INT32_MAX;
		}
		standstill.traffic_end_ms = 0;
	}

	/* Adds a job, each of whose tasks needs so many accelerators. */
	void
	add(const std::vector<Standstill::Step> &steps, int64_t accels,
	    const std::string &name = job)
	{
		for (uint32_t i = 0; i < steps.size(); i++)
			checker.needs[SimRunChecker::step_key(name, i)] = {
			    1000, 1000, accels};
		standstill.add(name, steps);
	}

	void
	start(const std::string &id, const std::string &task)
	{
		EXPECT_EQ("", workers[id].start(task, 1, INT32_MAX, 1, now_ms));
	}

	void
	run_for(int64_t duration_ms)
	{
		std::vector<const SimWorker *> usable;

		for (const auto &entry : workers)
			if (!entry.second.is_down())
				usable.push_back(&entry.second);
		for (; duration_ms > 0; duration_ms -= 10) {
			now_ms += 10;
			standstill.sample(checker, usable, now_ms);
		}
	}

	size_t
	found() const
	{
		return standstill.stands.size();
	}

	/* Ends all runs of a worker, as done. */
	void
	finish(const std::string &id)
	{
		workers[id].stalled = false;
		for (auto &entry : workers[id].runs)
			entry.second.work_ms = 0;
		workers[id].advance(now_ms);
	}
};

Standstill::Step
step(uint32_t count, uint64_t after = 0)
{
	Standstill::Step row;

	row.count = count;
	row.after = after;
	return row;
}

Standstill::Step
gang(uint32_t count)
{
	Standstill::Step row = step(count);

	row.gang = true;
	return row;
}

Standstill::Step
lasting(uint32_t count)
{
	Standstill::Step row = step(count);

	row.lasts = true;
	return row;
}

} // namespace

TEST(Standstill, JobThatCouldRunIsFoundAfterThreeSeconds)
{
	Stands stands;

	stands.add({step(2)}, 1);
	stands.run_for(6000);
	EXPECT_EQ(0U, stands.found());
	stands.run_for(100);
	EXPECT_EQ(1U, stands.found());
	EXPECT_EQ(1U, stands.standstill.stands.count(job));
}

TEST(Standstill, JobThatRunsInPartOrInTurnIsNotFound)
{
	Stands stands;

	stands.add({step(2)}, 1);
	stands.start("w1", std::string(job) + ".0.0.0");
	stands.run_for(20000);
	EXPECT_EQ(0U, stands.found());
	stands.finish("w1");
	stands.run_for(2900);
	stands.start("w1", std::string(job) + ".0.0.1");
	stands.run_for(2900);
	stands.finish("w1");
	stands.run_for(20000);
	EXPECT_EQ(0U, stands.found());
}

TEST(Standstill, TurnOfATaskComesWithTheEndsBeforeIt)
{
	Stands stands;

	/* The first step has no room, so only the second one could run. */
	stands.add({step(1), step(1, 1)}, 1);
	stands.checker.needs[SimRunChecker::step_key(job, 0)].accels = 5;
	stands.run_for(20000);
	EXPECT_EQ(0U, stands.found());
	stands.checker.finished.insert(std::string(job) + ".0.0.0");
	stands.run_for(3100);
	EXPECT_EQ(1U, stands.found());
}

TEST(Standstill, RoomForOneTaskOnlyIsNotEnough)
{
	Stands stands;

	/* A worker has room for one task, if it is empty. */
	stands.add({step(1)}, 3);
	stands.workers["w2"].room.accels = 2;
	stands.run_for(20000);
	EXPECT_EQ(0U, stands.found());
	stands.workers["w2"].room.accels = 3;
	stands.run_for(3100);
	EXPECT_EQ(1U, stands.found());
}

TEST(Standstill, GangNeedsRoomForTwoGangs)
{
	Stands stands;

	stands.add({gang(3)}, 2);
	stands.run_for(20000);
	EXPECT_EQ(0U, stands.found());
	stands.add({gang(2)}, 2);
	stands.run_for(3100);
	EXPECT_EQ(1U, stands.found());
}

TEST(Standstill, HalfFullServiceIsNotJudgedButForTasksThatLast)
{
	const std::string other = "00000000000000bb";
	Stands stands;

	stands.add({step(1)}, 4, other);
	stands.add({step(1)}, 1);
	stands.start("w1", other + ".0.0.0");
	stands.run_for(20000);
	EXPECT_EQ(0U, stands.found());
	stands.add({lasting(1)}, 1);
	stands.run_for(3100);
	EXPECT_EQ(1U, stands.found());
}

TEST(Standstill, FullServiceIsNotJudged)
{
	const std::string other = "00000000000000bb";
	Stands stands;

	stands.add({step(2)}, 4, other);
	stands.add({lasting(1)}, 1);
	stands.start("w1", other + ".0.0.0");
	stands.start("w2", other + ".0.0.1");
	stands.run_for(20000);
	EXPECT_EQ(0U, stands.found());
}

TEST(Standstill, DisruptionLessThanSevenSecondsAgoExcuses)
{
	Stands stands;

	stands.add({step(1)}, 1);
	stands.add({lasting(1)}, 1, "00000000000000bb");
	for (int i = 0; i < 5; i++) {
		stands.standstill.disrupt(stands.now_ms);
		stands.run_for(6000);
	}
	EXPECT_EQ(0U, stands.found());
	stands.run_for(1100);
	EXPECT_EQ(2U, stands.found());
}

TEST(Standstill, JobsAreJudgedAfterTheTrafficOnly)
{
	Stands stands;

	stands.add({step(1)}, 1);
	stands.standstill.traffic_end_ms = stands.now_ms + 20000;
	stands.run_for(22900);
	EXPECT_EQ(0U, stands.found());
	stands.run_for(200);
	EXPECT_EQ(1U, stands.found());
}

TEST(Standstill, EachTaskThatLastsIsJudgedFromSixSecondsAfterItsRun)
{
	Stands stands;

	stands.add({lasting(2)}, 1);
	stands.standstill.traffic_end_ms = INT64_MAX;
	stands.start("w1", std::string(job) + ".0.0.0");
	stands.start("w2", std::string(job) + ".0.0.1");
	stands.run_for(10000);
	stands.workers["w1"].forget();
	stands.run_for(8900);
	EXPECT_EQ(0U, stands.found());
	stands.run_for(200);
	EXPECT_EQ(1U, stands.found());
	EXPECT_EQ(
	    1U, stands.standstill.stands.count(std::string(job) + ".0.0.0"));
}

TEST(Standstill, RemovedJobIsNotFound)
{
	Stands stands;

	stands.add({step(1)}, 1);
	stands.run_for(5500);
	stands.standstill.remove(job);
	stands.run_for(20000);
	EXPECT_EQ(0U, stands.found());
}

/* Guards against a run that is missed while the sampler is held up. */
TEST(Standstill, HeldUpSamplerCountsAsADisruption)
{
	Stands stands;

	stands.add({step(1)}, 1);
	stands.run_for(5500);
	stands.now_ms += 1000;
	stands.run_for(6900);
	EXPECT_EQ(0U, stands.found());
}
