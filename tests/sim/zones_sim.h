#ifndef CAMPHOR_TESTS_ZONES_SIM_H
#define CAMPHOR_TESTS_ZONES_SIM_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/* Counts the starts in evacuated zones that come too late. */
struct SimZones {
	int64_t bound_ms = 0; /* EvacuateMs, 0: VMs follow no evacuations */
	std::map<std::string, int64_t> requested; /* by zone: acknowledged */
	std::vector<std::string> late_starts;

	/* A request for a zone that is evacuated already changes nothing. */
	void
	request(const std::string &zone, int64_t now_ms)
	{
		requested.emplace(zone, now_ms);
	}

	void
	withdraw(const std::string &zone)
	{
		requested.erase(zone);
	}

	/* A worker starts a task. */
	void
	note_start(
	    const std::string &zone, const std::string &task, int64_t now_ms)
	{
		auto found = requested.find(zone);

		if (found == requested.end() ||
		    now_ms - found->second <= bound_ms)
			return;
		late_starts.push_back(task + " in " + zone + " " +
		    std::to_string(now_ms - found->second) +
		    " ms after the request");
	}
};

#endif
