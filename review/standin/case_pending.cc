/* The only free worker is cut off just before a job is placed on it. */

#include "scenario.h"

const size_t others = 5; /* workers that are full all the time */
const int64_t cut_ms = 5500;
const int64_t visible_ms = 3000;
const int64_t contact_ms = 4000;

static std::string
job_of(int count, const char *more = "")
{
	return "{\"Spec\":\"s\",\"Steps\":[{\"Count\":" +
	    std::to_string(count) +
	    ",\"Cpu\":16000,\"MemMb\":1000,\"Gpu\":8,\"EstimateMs\":60000" +
	    more + "}]}";
}

static int
run(Scenario &scenario)
{
	Platform &platform = scenario.platform;
	const std::string filler = "00000000000000f0";
	const std::string urgent = "00000000000000f1";
	const std::string waiting = "00000000000000f2";
	const std::string last = "00000000000000f3";

	platform.workers.resize(others + 1);
	if (!platform.start(20))
		return scenario.not_run("no free ports");
	for (const std::string &id : {filler, urgent, waiting, last})
		platform.work_by_step[id + ".0.0"] = 60000;
	scenario.configure();
	int base = platform.port + 1 + (int)platform.workers.size();

	for (int i = 0; i < 2; i++)
		scenario.spawn(base + 5 * i, platform.port);
	if (!scenario.all_ready())
		return scenario.not_run("the daemons are not ready");
	if (scenario.client(0, "POST", "/q0/" + filler, job_of(others))
		.status != 200)
		return scenario.not_run("a job was not accepted");
	sleep_ms(3000);
	size_t idle = platform.workers.size();

	{
		std::lock_guard<std::mutex> guard(platform.lock);

		for (size_t i = 0; i < platform.workers.size(); i++)
			if (platform.workers[i].runs.empty())
				idle = i;
	}
	if (idle == platform.workers.size())
		return scenario.not_run("no worker is idle");
	if (scenario.trouble)
		platform.cut(idle, cut_ms);
	int64_t cut_end_ms = mono_ms() + cut_ms;
	for (const std::string &id : {waiting, urgent, last}) {
		if (scenario
			.client(0, "POST",
			    (id == waiting ? "/q1/" : "/q0/") + id, job_of(1))
			.status != 200)
			return scenario.not_run("a job was not accepted");
		sleep_ms(500);
	}
	int64_t accepted_ms = mono_ms();
	int64_t from_ms = std::max(
	    cut_end_ms + contact_ms + 1000, accepted_ms + visible_ms + 2000);
	int wrong = 0;
	int asked = 0;

	sleep_ms(from_ms - mono_ms());
	for (int i = 0; i < 10; i++) {
		for (size_t daemon = 0; daemon < 2; daemon++) {
			int idle_urgent =
			    (scenario.start_count(urgent + ".0.0.0") == 0) +
			    (scenario.start_count(last + ".0.0.0") == 0);
			int idle_waiting =
			    scenario.start_count(waiting + ".0.0.0") == 0;
			int count_urgent = scenario.pending(daemon, "/q0/");
			int count_waiting = scenario.pending(daemon, "/q1/");

			scenario.journal.line("not begun: %d and %d; Pending: "
					      "%d and %d",
			    idle_urgent, idle_waiting, count_urgent,
			    count_waiting);
			if (count_urgent < 0 || count_waiting < 0)
				continue;
			asked++;
			wrong += 2 * count_urgent < idle_urgent ||
			    2 * count_waiting < idle_waiting;
		}
		sleep_ms(1000);
	}
	if (asked == 0)
		return scenario.not_run("no daemon has told a number");
	return scenario.verdict(wrong > 0,
	    "Pending leaves out a job that was accepted long ago and has not "
	    "begun");
}

int
main(int argc, char **argv)
{
	if (argc != 2)
		return NOT_RUN;
	Scenario scenario(argv[1]);

	return run(scenario);
}
