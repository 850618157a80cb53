/* The tasks of a job take eight times as long as usual. */

#include "scenario.h"

const int workers = 6;
const int64_t usual_ms = 100000;
const int64_t estimate_ms = 10000;
const int factor = 8;
const int64_t finish_ms = 14000;
const int64_t gap_max_ms = 3000;
const int64_t watch_ms = 80000;

static int
run(Scenario &scenario)
{
	Platform &platform = scenario.platform;
	const std::string id = "00000000000000d1";

	platform.workers.resize(workers);
	if (!platform.start(20))
		return scenario.not_run("no free ports");
	platform.work_by_step[id + ".0.0"] =
	    scenario.trouble ? usual_ms * factor : usual_ms;
	scenario.configure();
	int base = platform.port + 1 + workers;

	for (int i = 0; i < 2; i++)
		scenario.spawn(base + 5 * i, platform.port);
	if (!scenario.all_ready())
		return scenario.not_run("the daemons are not ready");
	if (scenario
		.client(0, "POST", "/q0/" + id,
		    "{\"Spec\":\"s\",\"Steps\":[{\"Count\":" +
			std::to_string(workers) +
			",\"Cpu\":16000,\"MemMb\":1000,\"Gpu\":8,"
			"\"EstimateMs\":" +
			std::to_string(estimate_ms) + "}]}")
		.status != 200)
		return scenario.not_run("the job was not accepted");
	if (!scenario.await_starts(id + ".0.0.0", 1, 5000))
		return scenario.not_run("the job has not begun");
	/* The traffic has ended with this job. */
	sleep_ms(finish_ms);
	int64_t end_ms = mono_ms() + watch_ms;
	int64_t ran_ms = mono_ms();
	int64_t longest_ms = 0;

	while (mono_ms() < end_ms) {
		bool runs = false;

		{
			std::lock_guard<std::mutex> guard(platform.lock);

			for (const Worker &worker : platform.workers)
				runs = runs || !worker.runs.empty();
		}
		if (runs)
			ran_ms = mono_ms();
		longest_ms = std::max(longest_ms, mono_ms() - ran_ms);
		sleep_ms(20);
	}
	scenario.state(0, "/q0/" + id);
	for (int i = 0; i < workers; i++) {
		std::string task = id + ".0.0." + std::to_string(i);

		scenario.journal.line("task %s was started %zu times",
		    task.c_str(), scenario.start_count(task));
	}
	scenario.journal.line(
	    "the job had nothing running for up to %lld ms, while all workers "
	    "were up and empty",
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
