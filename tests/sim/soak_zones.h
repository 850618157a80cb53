#ifndef CAMPHOR_TESTS_SOAK_ZONES_H
#define CAMPHOR_TESTS_SOAK_ZONES_H

#include <random>

#include "deployment.h"

/* Evacuations during a soak, by a plan and random numbers of their own, so that
 * the plans of other seeds stay as they are. */
struct SoakZones {
	/* Shorter than in deployments, so that a short soak has many starts
	 * after it. */
	static constexpr int64_t BOUND_MS = 2500;

	Deployment &deployment;
	std::mt19937 random;
	unsigned seed;
	bool enabled = false;
	int64_t next_ms = 0;
	int changes = 0;

	SoakZones(Deployment &of, unsigned seed_value)
	    : deployment(of), random(seed_value + 1000000), seed(seed_value)
	{
	}

	int
	draw(int from, int to)
	{
		return std::uniform_int_distribution<int>(from, to)(random);
	}

	static std::string
	name_of(int zone)
	{
		return "z" + std::to_string(zone);
	}

	/* Call before the platform is started; workers get their zones after
	 * that, by assign(). */
	void
	enable()
	{
		enabled = true;
		deployment.bounds =
		    ",\"EvacuateMs\":" + std::to_string(BOUND_MS);
		deployment.platform.zones.bound_ms = BOUND_MS;
	}

	/* Gives pairs of workers a zone each. */
	void
	assign()
	{
		std::lock_guard<std::mutex> guard(deployment.platform.lock);
		std::vector<SimWorker> &workers = deployment.platform.workers;

		for (size_t i = 0; enabled && i < workers.size(); i++)
			workers[i].zone = name_of((int)i / 2);
		if (enabled)
			deployment.platform.publish_workers();
	}

	/* Changes the request for a zone if one is due: up to two zones at a
	 * time, values that can be read or not, history that expires. Returns
	 * whether anything has changed. */
	bool
	step(int64_t now_ms)
	{
		static const char *const values[] = {"{}", "null", "[", "\xff"};
		std::lock_guard<std::mutex> guard(deployment.platform.lock);
		Emulator &platform = deployment.platform;

		if (!enabled || now_ms < next_ms)
			return false;
		next_ms = now_ms + draw(200, 6000);
		std::string zone = name_of(draw(0, 2));
		const char *value = values[draw(0, 3)];
		bool expire = draw(0, 3) == 0;
		bool held = platform.zones.requested.count(zone) != 0;

		if (!held && platform.zones.requested.size() == 2)
			return false;
		changes++;
		printf("soak seed=%u zone=%s evacuate=%d expire=%d\n", seed,
		    zone.c_str(), !held, expire);
		platform.put_evacuation(zone, held ? "" : value);
		if (expire)
			platform.topics["keyed.op"].expire();
		return true;
	}

	bool
	is_open(const SimWorker &worker) const
	{
		return deployment.platform.zones.requested.count(worker.zone) ==
		    0;
	}

	/* Withdraws all requests. */
	void
	end()
	{
		std::lock_guard<std::mutex> guard(deployment.platform.lock);

		enabled = false;
		while (!deployment.platform.zones.requested.empty())
			deployment.platform.put_evacuation(
			    deployment.platform.zones.requested.begin()->first,
			    "");
	}

	void
	check()
	{
		std::lock_guard<std::mutex> guard(deployment.platform.lock);

		for (const std::string &late :
		    deployment.platform.zones.late_starts)
			ADD_FAILURE() << late;
	}
};

#endif
