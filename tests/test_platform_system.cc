#include <gtest/gtest.h>

#include "sim/deployment.h"

/* Guards against a daemon that serves no whole path on the platform's protocol:
 * jobs are accepted, run, acknowledged, and done once, also when the placer is
 * killed while they run and a VM is restarted. */
TEST(PlatformSystem, JobsSurviveTheDeathOfThePlacer)
{
	Deployment world;

	ASSERT_TRUE(world.platform.start(4, 700));
	world.configure();
	for (int i = 0; i < 3; i++)
		world.spawn();
	for (size_t i = 0; i < 3; i++)
		ASSERT_TRUE(world.ready(i));
	for (int i = 0; i < 6; i++)
		ASSERT_EQ(200, world.submit((size_t)i % 3, job(i), 4));
	ASSERT_TRUE(world.wait([&] {
		std::lock_guard<std::mutex> guard(world.platform.lock);

		return world.platform.run_checker.starts >= 4;
	}));
	std::string owner;
	{
		std::lock_guard<std::mutex> guard(world.platform.lock);

		owner = world.platform.group.owner;
	}
	size_t placer = (size_t)(owner[1] - '0');
	world.kill(placer);
	for (int i = 6; i < 9; i++)
		ASSERT_EQ(200, world.submit((placer + 1) % 3, job(i), 4));
	world.run(placer);
	ASSERT_TRUE(world.all_done(36));
	EXPECT_EQ(0, world.platform.run_checker.concurrent_runs);
	EXPECT_EQ(0, world.platform.run_checker.starts_after_done);
	EXPECT_EQ(0, world.platform.run_checker.capacity_violations);
}

/* Guards against a repeated submission that becomes a second job, unknown keys
 * that are served, and jobs that are forgotten while the store's answers are
 * lost. */
TEST(PlatformSystem, RepeatsAndLostAnswersAreOneJob)
{
	Deployment world;

	ASSERT_TRUE(world.platform.start(2, 200));
	world.configure();
	world.spawn();
	ASSERT_TRUE(world.ready(0));
	EXPECT_EQ(401,
	    world.call(world.fronts[0], "/jobs/" + job(1), "{}", nullptr,
		"Authorization: Bearer other"));
	EXPECT_EQ(404, world.call(world.fronts[0], "/none/" + job(1), "{}"));
	EXPECT_EQ(400, world.call(world.fronts[0], "/jobs/" + job(1), "{}"));
	world.platform.lose_answers = 1;
	EXPECT_EQ(200, world.submit(0, job(1), 2));
	EXPECT_EQ(200, world.submit(0, job(1), 2));
	ASSERT_TRUE(world.all_done(2));
	EXPECT_EQ(2, world.platform.run_checker.starts);
}

/* Guards against an untrue refusal and against a process that ends while the
 * store is down: it refuses at once, is not ready, and recovers by itself. */
TEST(PlatformSystem, OutagesOfTheStoreAreOutlived)
{
	Deployment world;

	ASSERT_TRUE(world.platform.start(2, 200));
	world.configure();
	world.spawn();
	ASSERT_TRUE(world.ready(0));
	world.platform.store_down = true;
	ASSERT_TRUE(world.wait([&] {
		return world.call(world.readys[0], "/camphorworks/ready", "") ==
		    503;
	}));
	EXPECT_EQ(503, world.submit(0, job(1), 2));
	world.platform.store_down = false;
	ASSERT_TRUE(world.ready(0));
	EXPECT_EQ(200, world.submit(0, job(2), 2));
	ASSERT_TRUE(world.all_done(2));
	EXPECT_EQ(2, world.platform.run_checker.starts);
}

/* Guards against a shutdown that takes longer than the platform waits, or ends
 * with an error. */
TEST(PlatformSystem, StopsWithinTheGraceTime)
{
	Deployment world;
	int status = 0;
	int64_t start_ms;

	ASSERT_TRUE(world.platform.start(1, 200));
	world.configure();
	world.spawn();
	ASSERT_TRUE(world.ready(0));
	start_ms = Emulator::now_ms();
	::kill(world.pids[0], SIGTERM);
	EXPECT_EQ(503,
	    world.wait([&] {
		    return world.call(world.readys[0], "/camphorworks/ready",
			       "") == 503;
	    })
		? 503
		: 0);
	waitpid(world.pids[0], &status, 0);
	world.pids[0] = 0;
	EXPECT_EQ(0, status);
	EXPECT_LT(Emulator::now_ms() - start_ms, 5500);
}
