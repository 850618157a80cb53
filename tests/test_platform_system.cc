#include <gtest/gtest.h>

#include "sim/deployment.h"

/* End-to-end path over the platform's protocol: jobs are accepted, run and
 * acknowledged, and each task runs once, although the placer is killed while
 * jobs run and its VM is restarted. Guards against lost jobs and double runs on
 * failover. */
TEST(PlatformSystem, JobsRunOnceWhenThePlacerIsKilled)
{
	Deployment deployment;

	ASSERT_TRUE(deployment.platform.start(4, 700));
	deployment.configure();
	for (int i = 0; i < 3; i++)
		deployment.spawn();
	for (size_t i = 0; i < 3; i++)
		ASSERT_TRUE(deployment.ready(i));
	for (int i = 0; i < 6; i++)
		ASSERT_EQ(200, deployment.submit((size_t)i % 3, job(i), 4));
	ASSERT_TRUE(deployment.wait([&] {
		std::lock_guard<std::mutex> guard(deployment.platform.lock);

		return deployment.platform.run_checker.starts >= 4;
	}));
	std::string owner;
	{
		std::lock_guard<std::mutex> guard(deployment.platform.lock);

		owner = deployment.platform.group.owner;
	}
	size_t placer = (size_t)(owner[1] - '0');
	deployment.kill(placer);
	for (int i = 6; i < 9; i++)
		ASSERT_EQ(200, deployment.submit((placer + 1) % 3, job(i), 4));
	deployment.run(placer);
	ASSERT_TRUE(deployment.all_done(36));
	EXPECT_EQ(0, deployment.platform.run_checker.concurrent_runs);
	EXPECT_EQ(0, deployment.platform.run_checker.starts_after_done);
	EXPECT_EQ(0, deployment.platform.run_checker.capacity_violations);
}

/* Guards against a retried submission that creates a second job, requests with
 * unknown keys that are served, and jobs that are lost because the store's
 * answer to their append is lost. */
TEST(PlatformSystem, RetriedSubmissionsAreOneJob)
{
	Deployment deployment;

	ASSERT_TRUE(deployment.platform.start(2, 200));
	deployment.configure();
	deployment.spawn();
	ASSERT_TRUE(deployment.ready(0));
	EXPECT_EQ(401,
	    deployment.call(deployment.front_addresses[0], "/jobs/" + job(1),
		"{}", nullptr, "Authorization: Bearer other"));
	EXPECT_EQ(404,
	    deployment.call(
		deployment.front_addresses[0], "/none/" + job(1), "{}"));
	EXPECT_EQ(400,
	    deployment.call(
		deployment.front_addresses[0], "/jobs/" + job(1), "{}"));
	deployment.platform.drop_append_answers = 1;
	EXPECT_EQ(200, deployment.submit(0, job(1), 2));
	EXPECT_EQ(200, deployment.submit(0, job(1), 2));
	ASSERT_TRUE(deployment.all_done(2));
	EXPECT_EQ(2, deployment.platform.run_checker.starts);
}

/* During an outage of the store, a daemon rejects jobs with 503 and is not
 * ready; it recovers by itself. Guards against a process that exits during the
 * outage, and against a job that runs although it was rejected. */
TEST(PlatformSystem, OutagesOfTheStoreAreOutlived)
{
	Deployment deployment;

	ASSERT_TRUE(deployment.platform.start(2, 200));
	deployment.configure();
	deployment.spawn();
	ASSERT_TRUE(deployment.ready(0));
	deployment.platform.store_down = true;
	ASSERT_TRUE(deployment.wait([&] {
		return deployment.call(deployment.ready_addresses[0],
			   "/camphorworks/ready", "") == 503;
	}));
	EXPECT_EQ(503, deployment.submit(0, job(1), 2));
	deployment.platform.store_down = false;
	ASSERT_TRUE(deployment.ready(0));
	EXPECT_EQ(200, deployment.submit(0, job(2), 2));
	ASSERT_TRUE(deployment.all_done(2));
	EXPECT_EQ(2, deployment.platform.run_checker.starts);
}

/* Guards against a shutdown that exceeds the platform's grace time or ends with
 * an error. */
TEST(PlatformSystem, StopsWithinTheGraceTime)
{
	Deployment deployment;
	int status = 0;
	int64_t start_ms;

	ASSERT_TRUE(deployment.platform.start(1, 200));
	deployment.configure();
	deployment.spawn();
	ASSERT_TRUE(deployment.ready(0));
	start_ms = Emulator::now_ms();
	::kill(deployment.pids[0], SIGTERM);
	EXPECT_EQ(503,
	    deployment.wait([&] {
		    return deployment.call(deployment.ready_addresses[0],
			       "/camphorworks/ready", "") == 503;
	    })
		? 503
		: 0);
	waitpid(deployment.pids[0], &status, 0);
	deployment.pids[0] = 0;
	EXPECT_EQ(0, status);
	EXPECT_LT(Emulator::now_ms() - start_ms, 5500);
}

/* Guards against serving a removed key and rejecting an added one. */
TEST(PlatformSystem, OldConfigurationIsNotActedOn)
{
	Deployment deployment;
	const char *other = "Authorization: Bearer other";
	auto status = [&](const char *key) {
		return deployment.call(deployment.front_addresses[0],
		    "/jobs/" + job(1), "{}", nullptr, key);
	};

	ASSERT_TRUE(deployment.platform.start(1, 200));
	deployment.configure();
	deployment.spawn();
	ASSERT_TRUE(deployment.ready(0));
	EXPECT_EQ(401, status(other));
	deployment.platform.config_silent = true;
	deployment.configure(",\"other\"");
	EXPECT_TRUE(deployment.wait([&] {
		return status(other) == 503;
	}));
	EXPECT_EQ(503, status("Authorization: Bearer key"));
	deployment.platform.config_silent = false;
	EXPECT_TRUE(deployment.wait([&] {
		return status(other) == 400;
	}));
	EXPECT_EQ(400, status("Authorization: Bearer key"));
}
