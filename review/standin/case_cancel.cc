/* A job is cancelled at a daemon that has just been cut off from the store. */

#include "scenario.h"

const int64_t cut_ms = 5500;
const int64_t step_ms = 6000;
const int64_t cancel_ms = 3000;
const int64_t stop_ms = 200;
const int jobs = 3;

struct Cancel {
	std::string id;
	int status = -1;
	int64_t answered_ms = 0;
};

static int
run(Scenario &scenario)
{
	Platform &platform = scenario.platform;
	std::vector<Cancel> cancels;
	Proxy proxy;

	platform.workers.resize(6);
	if (!platform.start(20))
		return scenario.not_run("no free ports");
	scenario.configure();
	int base = platform.port + 1 + (int)platform.workers.size();

	/* The second daemon reaches the store through the proxy. */
	if (!proxy.start(base, platform.port))
		return scenario.not_run("no port for the proxy");
	scenario.spawn(base + 5, platform.port);
	sleep_ms(1500); /* the first daemon gets the placing duty */
	scenario.spawn(base + 10, proxy.port);
	scenario.spawn(base + 15, platform.port);
	bool ready = scenario.all_ready();

	if (ready && scenario.trouble) {
		proxy.cut_until_ms = mono_ms() + cut_ms;
		scenario.journal.line(
		    "disruption: %s is partitioned from the store for %lld ms",
		    scenario.daemons[1].name.c_str(), (long long)cut_ms);
	}
	/* The load balancer takes the second daemon out some seconds later. */
	sleep_ms(500);
	for (int i = 0; ready && i < jobs; i++) {
		Cancel cancel;

		cancel.id = "00000000000000c" + std::to_string(i);
		for (int step = 0; step < 2; step++)
			platform.work_by_step[cancel.id + ".0." +
			    std::to_string(step)] = step_ms;
		if (scenario
			.client(0, "POST", "/q1/" + cancel.id,
			    "{\"Spec\":\"two\",\"Steps\":[{\"Count\":2,\"Cpu\":"
			    "1000,\"MemMb\":1000,\"Gpu\":1,\"EstimateMs\":6000}"
			    ",{\"Count\":2,\"Cpu\":1000,\"MemMb\":1000,\"Gpu\":"
			    "1,\"EstimateMs\":6000,\"After\":[0]}]}")
			.status != 200)
			ready = false;
		sleep_ms(100);
		scenario.probe_if_due();
		if (scenario.daemons[1].missed >= 2)
			ready = false;
		cancel.status =
		    scenario.client(1, "DELETE", "/q1/" + cancel.id).status;
		cancel.answered_ms = mono_ms();
		cancels.push_back(cancel);
	}
	if (!ready) {
		proxy.stop();
		return scenario.not_run(
		    "a daemon is not ready, or a job was not accepted");
	}
	sleep_ms(2 * step_ms + 3000);
	bool broken = false;

	for (const Cancel &cancel : cancels) {
		std::string state = scenario.state(0, "/q1/" + cancel.id);
		bool acknowledged = cancel.status == 410 ||
		    (cancel.status >= 200 && cancel.status < 300);
		int64_t latest_ms = 0;

		std::lock_guard<std::mutex> guard(platform.lock);

		for (const auto &entry : platform.starts)
			if (entry.first.compare(0, 16, cancel.id) == 0)
				for (int64_t start_ms : entry.second)
					latest_ms =
					    std::max(latest_ms, start_ms);
		bool late = acknowledged &&
		    latest_ms > cancel.answered_ms + cancel_ms + stop_ms;

		scenario.journal.line("job %s: cancel answered %d, last start "
				      "%lld ms after that, state now \"%s\"",
		    cancel.id.c_str(), cancel.status,
		    (long long)(latest_ms - cancel.answered_ms), state.c_str());
		broken = broken || late;
	}
	proxy.stop();
	return scenario.verdict(broken,
	    "a task is started later than cancel_ms after the cancelling of "
	    "its job was acknowledged");
}

int
main(int argc, char **argv)
{
	if (argc != 2)
		return NOT_RUN;
	Scenario scenario(argv[1]);

	return run(scenario);
}
