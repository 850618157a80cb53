/* Many users hand in small jobs at the same moment, again and again; the jobs
 * are due an hour later. */

#include "scenario.h"

const int usual_per_s = 71;
const int64_t burst_ms = 4000; /* of one burst; they follow on each other */
const int bursts = 24;
const int clients = 46;
const int64_t gap_ms = 250; /* in a burst, all clients call at such a gap */
const int64_t due_ms = 3600000;
const int own_ends_max = 3;
const int machines_min = 2;

static int
run(Scenario &scenario)
{
	Platform &platform = scenario.platform;
	const std::string body =
	    "{\"Spec\":\"s\",\"RepeatCount\":1,\"FirstRunMs\":" +
	    std::to_string(wall_ms() + due_ms) +
	    ",\"IntervalMs\":60000,\"Steps\":[{\"Count\":1,\"Cpu\":100,"
	    "\"MemMb\":10,\"EstimateMs\":100}]}";
	std::atomic<int> accepted{0};
	std::atomic<int> refused{0};
	std::vector<std::thread> threads;

	platform.workers.resize(6);
	platform.quiet = true;
	if (!platform.start(20))
		return scenario.not_run("no free ports");
	scenario.configure();
	int base = platform.port + 1 + (int)platform.workers.size();

	for (int i = 0; i < 2; i++)
		scenario.spawn(base + 5 * i, platform.port);
	if (!scenario.all_ready())
		return scenario.not_run("the daemons are not ready");
	int64_t start_ms = mono_ms();
	int64_t end_ms = start_ms + burst_ms * bursts;
	int64_t usual_gap_ms = (int64_t)clients * 1000 / usual_per_s;
	bool trouble = scenario.trouble;

	for (int i = 0; i < clients; i++)
		threads.emplace_back([&, i] {
			int64_t send_ms = start_ms +
			    (trouble ? 0 : usual_gap_ms * i / clients);

			for (int n = 0; send_ms < end_ms; n++) {
				char id[24];

				snprintf(id, sizeof(id), "%016x",
				    0x100000 + n * clients + i);
				sleep_ms(
				    std::max<int64_t>(0, send_ms - mono_ms()));
				send_ms += trouble ? gap_ms : usual_gap_ms;
				if (Scenario::call(
					scenario.daemons[(size_t)i % 2]
					    .front_port,
					"POST", std::string("/q1/") + id, body)
					.status == 200)
					accepted++;
				else
					refused++;
			}
		});
	int64_t told_ms = start_ms;

	while (mono_ms() < end_ms + 3000) {
		scenario.revive();
		sleep_ms(50);
		if (mono_ms() - told_ms < 3000)
			continue;
		told_ms = mono_ms();
		scenario.journal.line("clients: %d jobs accepted, %d not",
		    accepted.load(), refused.load());
	}
	for (std::thread &thread : threads)
		thread.join();
	int machines = 0;

	for (const Daemon &daemon : scenario.daemons) {
		scenario.journal.line("%s has ended by itself %d times",
		    daemon.name.c_str(), daemon.own_ends);
		machines += daemon.own_ends >= own_ends_max;
	}
	return scenario.verdict(machines >= machines_min,
	    "on two machines processes end by themselves three times, with no "
	    "disruption there");
}

int
main(int argc, char **argv)
{
	if (argc != 2)
		return NOT_RUN;
	Scenario scenario(argv[1]);

	return run(scenario);
}
