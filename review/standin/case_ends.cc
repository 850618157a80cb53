/* A worker is cut off while it ends a run, and gets more work later. */

#include "scenario.h"

const int workers = 6;
const int64_t cut_ms = 5500;
const int64_t first_ms = 6000; /* work of the first job's task */
const int64_t small_ms = 300;
const int width = 600;
const int64_t finish_ms = 14000;
const int64_t watch_ms = 30000;
const int64_t gap_max_ms = 3000;

static int
run(Scenario &scenario)
{
	Platform &platform = scenario.platform;
	const std::string first = "00000000000000e1";
	const std::string wide = "00000000000000e2";
	int cut = -1;

	platform.workers.resize(workers);
	for (int i = 0; i < workers; i++)
		platform.workers[(size_t)i].rack =
		    "r" + std::to_string(i + 1) + "-1";
	if (!platform.start(20))
		return scenario.not_run("no free ports");
	platform.work_by_step[first + ".0.0"] = first_ms;
	platform.work_by_step[wide + ".0.0"] = small_ms;
	scenario.configure();
	int base = platform.port + 1 + workers;

	for (int i = 0; i < 2; i++)
		scenario.spawn(base + 5 * i, platform.port);
	if (!scenario.all_ready())
		return scenario.not_run("the daemons are not ready");
	if (scenario.client(0, "POST", "/q1/" + first,
			"{\"Spec\":\"s\",\"Steps\":[{\"Count\":1,\"Cpu\":1000,"
			"\"MemMb\":1000,\"Gpu\":1,\"EstimateMs\":6000}]}")
		    .status != 200 ||
	    !scenario.await_starts(first + ".0.0.0", 1, 5000))
		return scenario.not_run("the first job has not begun");
	/* The cut begins some time after the latest renewal of the lease. */
	for (int64_t end_ms = mono_ms() + 5000;
	     cut < 0 && mono_ms() < end_ms;) {
		sleep_ms(10);
		std::lock_guard<std::mutex> guard(platform.lock);

		for (int i = 0; i < workers; i++) {
			const Worker &worker = platform.workers[(size_t)i];

			if (!worker.runs.empty() && worker.held_ms != 0 &&
			    mono_ms() - worker.held_ms > 1700 &&
			    mono_ms() - worker.runs.begin()->second.started_ms >
				2500)
				cut = i;
		}
	}
	if (cut < 0)
		return scenario.not_run("no worker has the first job");
	if (scenario.trouble)
		platform.cut((size_t)cut, cut_ms);
	sleep_ms(cut_ms + 14000);
	scenario.state(0, "/q1/" + first);
	/* All has been calm for long. */
	platform.quiet = true;
	if (scenario
		.client(0, "POST", "/q1/" + wide,
		    "{\"Spec\":\"s\",\"Steps\":[{\"Count\":" +
			std::to_string(width) +
			",\"Cpu\":1000,\"MemMb\":1000,\"EstimateMs\":300,"
			"\"Requirements\":\"" +
			platform.workers[(size_t)cut].rack + "\"}]}")
		.status != 200)
		return scenario.not_run("the wide job was not accepted");
	sleep_ms(finish_ms);
	int64_t end_ms = mono_ms() + watch_ms;
	int64_t ran_ms = mono_ms();
	int64_t longest_ms = 0;
	size_t done = 0;
	size_t listed = 0;

	while (mono_ms() < end_ms && done < (size_t)width) {
		bool runs;

		{
			std::lock_guard<std::mutex> guard(platform.lock);
			const Worker &worker = platform.workers[(size_t)cut];

			runs = !worker.runs.empty();
			listed = worker.ends.size();
			done = 0;
			for (const auto &entry : platform.ends_by_task)
				done += entry.first.compare(0, 16, wide) == 0 &&
				    entry.second.count("done") > 0;
		}
		if (runs || done == (size_t)width)
			ran_ms = mono_ms();
		longest_ms = std::max(longest_ms, mono_ms() - ran_ms);
		sleep_ms(50);
	}
	scenario.state(0, "/q1/" + wide);
	scenario.state(1, "/q1/" + wide);
	scenario.journal.line(
	    "%zu of %d tasks of the wide job are done; "
	    "worker %s lists %zu ends that were never "
	    "acknowledged; the job had nothing running for "
	    "up to %lld ms while all workers were up and empty",
	    done, width, platform.workers[(size_t)cut].id.c_str(), listed,
	    (long long)longest_ms);
	return scenario.verdict(longest_ms >= gap_max_ms,
	    "an accepted job has nothing running for 3 s though its tasks' "
	    "turn has come and all capacity is free");
}

int
main(int argc, char **argv)
{
	if (argc != 2)
		return NOT_RUN;
	Scenario scenario(argv[1]);

	return run(scenario);
}
