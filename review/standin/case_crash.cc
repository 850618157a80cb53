/* A job that runs until it is cancelled loses its worker three times. */

#include "scenario.h"

const size_t special = 0; /* the only worker of its kind */
const int cuts = 3;
const int64_t cut_ms = 5500;
const int64_t between_ms = 7000;

static int
run(Scenario &scenario)
{
	Platform &platform = scenario.platform;
	const std::string id = "00000000000000a1";
	const std::string task = id + ".0.0.0";

	platform.workers.resize(6);
	platform.workers[special].kind = "b";
	if (!platform.start(20))
		return scenario.not_run("no free ports");
	platform.work_by_step[id + ".0.0"] = 0;
	scenario.configure();
	int base = platform.port + 1 + (int)platform.workers.size();

	for (int i = 0; i < 2; i++)
		scenario.spawn(base + 5 * i, platform.port);
	if (!scenario.all_ready())
		return scenario.not_run("the daemons are not ready");
	if (scenario
		.client(0, "POST", "/q1/" + id,
		    "{\"Spec\":\"serve\",\"Steps\":[{\"Count\":1,\"Cpu\":1000,"
		    "\"MemMb\":1000,\"Gpu\":1,\"EstimateMs\":60000,"
		    "\"Requirements\":\"b\",\"LongRunning\":true}]}")
		.status != 200)
		return scenario.not_run("the job was not accepted");
	if (!scenario.await_starts(task, 1, 5000))
		return scenario.not_run("the job has not begun");
	sleep_ms(4000);
	for (int i = 0; i < cuts; i++) {
		size_t before = scenario.start_count(task);

		if (scenario.trouble) {
			platform.cut(special, cut_ms);
			platform.crash(special);
			sleep_ms(1000);
			platform.restart(special);
			sleep_ms(cut_ms - 1000);
			scenario.await_starts(task, before + 1, 6000);
		} else
			sleep_ms(cut_ms);
		sleep_ms(between_ms);
		scenario.state(0, "/q1/" + id);
	}
	/* All has been calm for longer than ContactMs: the task has to run. */
	sleep_ms(6000);
	std::string state = scenario.state(1, "/q1/" + id);
	bool runs;
	int failed;

	{
		std::lock_guard<std::mutex> guard(platform.lock);

		runs = !platform.workers[special].runs.empty();
		failed = platform.ends_by_task[task]["failed"];
	}
	scenario.journal.line("the job is shown as \"%s\"; its task has ended "
			      "%d times as failed, and %s now",
	    state.c_str(), failed, runs ? "runs" : "does not run");
	return scenario.verdict(
	    state == "failed" || state == "cancelled" || !runs,
	    "an accepted job that nobody cancelled, none of whose runs has "
	    "ended as failed, is shown as failed and not restarted");
}

int
main(int argc, char **argv)
{
	if (argc != 2)
		return NOT_RUN;
	Scenario scenario(argv[1]);

	return run(scenario);
}
