#ifndef CAMPHOR_TESTS_CONFIG_CHECK_H
#define CAMPHOR_TESTS_CONFIG_CHECK_H

#include <random>

#include "deployment.h"

/*
 * Two operators who change the configuration, by a seeded plan and at times in
 * quick succession, and callers who check on each VM which version it acts on.
 * Version N has the access key "kN", which no other version has. While they
 * run, the store leaves reads of the configuration unanswered at times, or its
 * link is narrow.
 */
struct ConfigCheck {
	/* Time within which a change is in force, as in the daemons' settings.
	 */
	static constexpr int64_t APPLY_MS = 4000;
	/* Queues of a long version: 200 KB. */
	static constexpr int LONG_ROUTES = 1400;

	struct Version {
		uint64_t number = 0;
		int64_t acked_ms = 0;
	};

	/* What one VM was seen to act on since the start of its process. */
	struct Seen {
		unsigned incarnation = 0;
		uint64_t version = 0;
	};

	Deployment &deployment;
	unsigned seed;
	std::mutex lock; /* guards the next four */
	std::vector<Version> versions;
	std::map<size_t, Seen> seen;
	std::vector<std::string> violations;
	int probes = 0;
	std::atomic<bool> stopping{false};
	std::vector<std::atomic<unsigned>> incarnations;
	std::vector<std::thread> threads;

	ConfigCheck(
	    Deployment &checked_deployment, size_t vms, unsigned seed_value)
	    : deployment(checked_deployment), seed(seed_value),
	      incarnations(vms)
	{
	}

	/* Call when a process ends, and again before it is started. */
	void
	vm_restarts(size_t n)
	{
		incarnations[n]++;
	}

	void
	start()
	{
		for (unsigned i = 0; i < 2; i++)
			threads.emplace_back([this, i] {
				operate(i);
			});
		for (unsigned i = 0; i < 2; i++)
			threads.emplace_back([this, i] {
				probe(i);
			});
	}

	void
	stop()
	{
		stopping = true;
		for (std::thread &thread : threads)
			thread.join();
		threads.clear();
		deployment.platform.config_silent = false;
		deployment.platform.link_bytes_per_s = 0;
	}

	void
	sleep_for(int64_t duration_ms)
	{
		int64_t end_ms = Emulator::now_ms() + duration_ms;

		while (!stopping && Emulator::now_ms() < end_ms)
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(10));
	}

	void
	publish(int routes)
	{
		Version version;

		version.number = deployment.configure("", routes);
		version.acked_ms = Emulator::now_ms();
		std::lock_guard<std::mutex> guard(lock);
		versions.push_back(version);
		std::sort(versions.begin(), versions.end(),
		    [](const Version &a, const Version &b) {
			    return a.number < b.number;
		    });
	}

	void
	operate(unsigned operator_number)
	{
		std::mt19937 random(seed * 2 + operator_number);
		auto draw = [&random](int from, int to) {
			return std::uniform_int_distribution<int>(from, to)(
			    random);
		};

		while (!stopping) {
			int kind = draw(0, 3);
			int routes = draw(0, 1) * LONG_ROUTES;

			if (operator_number == 0) {
				deployment.platform.config_silent = kind == 0;
				deployment.platform.link_bytes_per_s =
				    kind == 1 ? draw(100, 400) * 1000 : 0;
			}
			for (int i = draw(1, 8); i > 0 && !stopping; i--) {
				publish(routes);
				sleep_for(draw(20, 400));
			}
			sleep_for(draw(0, 5000));
		}
	}

	/* Returns the oldest version that a call sent now may be answered
	 * from, 0: any. Call with the lock, as well as the next one. */
	uint64_t
	oldest_allowed(int64_t now_ms) const
	{
		uint64_t number = 0;

		for (const Version &version : versions)
			if (version.acked_ms < now_ms - APPLY_MS)
				number = version.number;
		return number;
	}

	uint64_t
	latest() const
	{
		return versions.empty() ? 0 : versions.back().number;
	}

	/* Calls a VM with the key of a version. Returns 400, for the body, if
	 * the VM acts on that version, and 401 if it acts on another one. */
	int
	call(size_t n, uint64_t version)
	{
		std::string key =
		    "Authorization: Bearer k" + std::to_string(version);

		return deployment.call(deployment.front_addresses[n],
		    "/jobs/" + std::string(16, 'e'), "{}", nullptr,
		    key.c_str());
	}

	void
	note(size_t n, uint64_t version, int status, const char *what)
	{
		violations.push_back("VM " + std::to_string(n) + ", version " +
		    std::to_string(version) + ", status " +
		    std::to_string(status) + ": " + what);
	}

	void
	probe(unsigned prober)
	{
		std::mt19937 random(seed * 2 + prober + 1000000);

		while (!stopping) {
			size_t n = random() % incarnations.size();
			unsigned incarnation = incarnations[n];
			uint64_t oldest;
			uint64_t newest;
			uint64_t floor = 0; /* what the VM has shown before */
			uint64_t version;

			{
				std::lock_guard<std::mutex> guard(lock);

				oldest = oldest_allowed(Emulator::now_ms());
				newest = latest();
				if (seen[n].incarnation == incarnation)
					floor = seen[n].version;
			}
			/* The newest version, the oldest that is allowed, or
			 * one of the three before it. */
			version = oldest;
			if (random() % 3 == 0)
				version = newest;
			else if (random() % 2 == 0 && oldest > 3)
				version = oldest - 1 - random() % 3;
			if (version == 0) {
				sleep_for(20);
				continue;
			}
			int status = call(n, version);

			sleep_for(5);
			std::lock_guard<std::mutex> guard(lock);

			probes++;
			if (status == 400 && version < oldest)
				note(n, version, status, "is not in force");
			if (status == 401 && version == oldest &&
			    version == deployment.latest_version())
				note(n, version, status, "has to be in force");
			if (incarnations[n] != incarnation || status != 400)
				continue;
			if (version < floor)
				note(n, version, status, "came back");
			if (seen[n].incarnation != incarnation)
				seen[n] = {incarnation, 0};
			seen[n].version = std::max(seen[n].version, version);
		}
	}

	/* Checks after stop() that each VM acts on the latest version and that
	 * no call was answered from an older one than allowed. */
	void
	check_at_end()
	{
		uint64_t last = latest();

		for (size_t n = 0; n < incarnations.size(); n++)
			EXPECT_TRUE(deployment.wait([&] {
				return call(n, last) == 400;
			})) << "VM "
			    << n;
		for (const std::string &violation : violations)
			ADD_FAILURE() << violation;
		printf("config seed=%u versions=%zu probes=%d\n", seed,
		    versions.size(), probes);
	}
};

#endif
