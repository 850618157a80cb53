#include <gtest/gtest.h>

#include "ctl_program.h"
#include "sim/soak_zones.h"

namespace {

/* Two VMs, and six workers in three zones. */
struct PlatformZones : testing::Test {
	Deployment deployment;
	SoakZones zones{deployment, 1};

	void
	SetUp() override
	{
		zones.enable();
		ASSERT_TRUE(deployment.platform.start(6, 300));
		zones.assign();
		deployment.configure();
		for (size_t n = 0; n < 2; n++)
			deployment.spawn();
		for (size_t n = 0; n < 2; n++)
			ASSERT_TRUE(deployment.ready(n));
	}

	std::string
	metrics_address(size_t n)
	{
		std::string ready = deployment.ready_addresses[n];
		size_t colon = ready.rfind(':');

		return ready.substr(0, colon + 1) +
		    std::to_string(std::stoi(ready.substr(colon + 1)) + 1);
	}

	std::string
	get(size_t n, const char *path)
	{
		std::string answer;

		deployment.call(metrics_address(n), path, "", &answer);
		return answer;
	}

	void
	put(const std::string &zone, const std::string &value)
	{
		std::lock_guard<std::mutex> guard(deployment.platform.lock);

		deployment.platform.put_evacuation(zone, value);
	}

	bool
	all_show(const char *path, const std::string &text, bool shown = true)
	{
		return deployment.wait([&] {
			return contains(get(0, path), text) == shown &&
			    contains(get(1, path), text) == shown;
		});
	}

	/* Submits jobs that fill all workers, and waits for their ends. */
	void
	fill(int first)
	{
		size_t before;
		{
			std::lock_guard<std::mutex> guard(
			    deployment.platform.lock);

			before = deployment.platform.run_checker.done.size();
		}
		for (int i = 0; i < 4; i++)
			EXPECT_EQ(200,
			    deployment.submit((size_t)i % 2, job(first + i), 12,
				{1000, 100, 1}));
		EXPECT_TRUE(deployment.all_done(before + 48));
	}

	/* Returns the starts on the workers of a zone so far. */
	int
	starts_in(const std::string &zone)
	{
		std::lock_guard<std::mutex> guard(deployment.platform.lock);

		return starts[zone];
	}

	std::map<std::string, int> starts;

	void
	count_starts()
	{
		std::lock_guard<std::mutex> guard(deployment.platform.lock);

		deployment.platform.run_checker.observer =
		    [this](const char *what, const std::string &, uint32_t,
			const void *worker) {
			    if (strcmp(what, "start") == 0)
				    starts[((const SimWorker *)worker)->zone]++;
		    };
	}
};

/* Guards against a request that VMs do not act on or do not show, whatever its
 * value is, and against a withdrawal that goes unnoticed. */
TEST_F(PlatformZones, RequestsAreKeptAndShown)
{
	count_starts();
	fill(0);
	EXPECT_GT(starts_in("z0"), 0);
	put("z0", "\xff{");
	put("nowhere", "{}");
	ASSERT_TRUE(all_show("/zones", "\"name\":\"z0\""));
	EXPECT_TRUE(all_show("/zones", "\"name\":\"nowhere\""));
	EXPECT_TRUE(
	    all_show("/metrics", "camphor_zone_evacuated{zone=\"z0\"} 1"));
	EXPECT_TRUE(
	    all_show("/metrics", "camphor_zone_evacuated{zone=\"z\"} 0"));
	int before = starts_in("z0");
	fill(10);
	EXPECT_EQ(before, starts_in("z0"));
	ProgramResult result =
	    run_camphorctl("zones --server " + metrics_address(0));
	EXPECT_EQ(0, result.code);
	EXPECT_TRUE(contains(result.out, "z0")) << result.out;
	EXPECT_TRUE(contains(result.out, "nowhere")) << result.out;
	put("z0", "");
	ASSERT_TRUE(all_show("/zones", "\"name\":\"z0\"", false));
	fill(20);
	EXPECT_GT(starts_in("z0"), before);
	zones.check();
}

/* Guards against a VM that starts after the history has expired and takes the
 * zones for open. */
TEST_F(PlatformZones, NewVmsReadWhatWasAskedBefore)
{
	count_starts();
	put("z1", "{}");
	put("z2", "{}");
	put("z2", "");
	ASSERT_TRUE(all_show("/zones", "\"name\":\"z1\""));
	for (size_t n = 0; n < 2; n++)
		deployment.kill(n);
	{
		std::lock_guard<std::mutex> guard(deployment.platform.lock);

		deployment.platform.topics["keyed.op"].expire();
	}
	for (size_t n = 0; n < 2; n++)
		deployment.run(n);
	for (size_t n = 0; n < 2; n++)
		ASSERT_TRUE(deployment.ready(n));
	fill(0);
	EXPECT_EQ(0, starts_in("z1"));
	EXPECT_GT(starts_in("z2"), 0);
	zones.check();
}

} // namespace
