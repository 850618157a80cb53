/*
 * Plays two daemons and four workers of 8 accelerators on loopback. Jobs of low
 * priority fill all workers, then urgent jobs come at once, each with two tasks
 * of which one worker may run one only (AntiAffinity 1). TROUBLE=0: the urgent
 * jobs come while the workers are idle.
 *
 * Usage: urgent_burst CAMPHORD RECORD. Exits with 1 if two tasks of an urgent
 * job run on one worker at the same time, 0 if none do, 2 if the case could not
 * run.
 */
#include "deployment.h"

static const int DAEMONS = 2;
static const size_t WORKERS = 4;
static const int URGENT_JOBS = 6;
static const int64_t URGENT_EVERY_MS = 2500;

static Deployment deployment;
static Checker checker;
static std::vector<Runner> runners(WORKERS);

/* Notes the urgent jobs of which a worker runs two tasks now. */
static void
check(std::set<std::string> &broken)
{
	for (Runner &runner : runners) {
		std::lock_guard<std::recursive_mutex> guard(runner.lock);
		std::map<std::string, int> counts;

		runner.advance();
		for (const auto &entry : runner.runs) {
			std::string job = entry.first.substr(0, 16);

			if (job.compare(0, 13, "000000000000e") != 0 ||
			    ++counts[job] < 2 || !broken.insert(job).second)
				continue;
			deployment.record.line(
			    "BROKEN ROUTE: %s runs two tasks of job %s, whose "
			    "AntiAffinity is 1",
			    runner.id.c_str(), job.c_str());
		}
	}
}

/* Returns the exit code. */
static int
play()
{
	std::set<std::string> broken;
	std::string rest = "\"Service\":\"pool\",\"MaxAttempts\":3,"
			   "\"Stretch\":3,\"TargetLatencyMs\":1000}";
	int accepted = 0;

	deployment.configure(
	    "{\"Version\":1,\"Routes\":[{\"Name\":\"q\",\"Host\":"
	    "\"h.example\",\"PathPrefix\":\"/jobs/\",\"Priority\":2," +
	    rest +
	    ",{\"Name\":\"u\",\"Host\":\"h.example\",\"PathPrefix\":"
	    "\"/urgent/\",\"Priority\":0," +
	    rest +
	    "],\"Services\":[{\"Name\":\"pool\"}],\"Tenants\":[{\"Name\":\"t\","
	    "\"Guaranteed\":{\"Gpu\":16},\"ApiKeys\":[\"key\"]}]}");
	for (size_t n = 0; n < WORKERS; n++) {
		Runner &runner = runners[n];

		runner.id = "i-" + std::to_string(n);
		runner.record = &deployment.record;
		runner.checker = &checker;
		runner.publish = [](Runner &row) {
			deployment.publish(row);
		};
		runner.lateness = [](const std::string &) -> int64_t {
			return 0;
		};
		runner.work_ms = 1500;
		if (!runner.come_up())
			return 2;
	}
	for (int n = 0; n < DAEMONS; n++)
		if (!deployment.start_daemon(n))
			return 2;
	if (!deployment.ready())
		return 2;
	for (int n = 0; !is_calm() && n < 12; n++) {
		char id[24];

		snprintf(id, sizeof(id), "%016x", 0xf000 + n);
		deployment.submit((size_t)n, "key", id,
		    "{\"Spec\":\"s\",\"Steps\":[{\"Count\":32,\"Cpu\":1000,"
		    "\"MemMb\":100,\"Gpu\":1,\"EstimateMs\":1800}]}");
	}
	std::this_thread::sleep_for(std::chrono::milliseconds(1000));
	for (int n = 0; n < URGENT_JOBS; n++) {
		char id[24];
		int64_t until_ms = now_ms() + URGENT_EVERY_MS;

		snprintf(id, sizeof(id), "%016x", 0xe000 + n);
		accepted += deployment.submit((size_t)n, "key", id,
				"{\"Spec\":\"s\",\"Steps\":[{\"Count\":2,"
				"\"Cpu\":1000,\"MemMb\":100,\"Gpu\":4,"
				"\"EstimateMs\":1800,\"AntiAffinity\":1}]}",
				"/urgent/") == 200;
		while (now_ms() < until_ms) {
			check(broken);
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(5));
		}
	}
	printf("urgent jobs accepted=%d broken=%zu\n", accepted, broken.size());
	if (accepted == 0)
		return 2;
	return broken.empty() ? 0 : 1;
}

int
main(int argc, char **argv)
{
	int code = 2;

	if (argc == 3 && deployment.prepare(argv[1], argv[2]))
		code = play();
	deployment.end();
	fflush(nullptr);
	/* The threads of the stand-ins are still running. */
	_exit(code);
}
