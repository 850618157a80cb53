/*
 * Plays two daemons and four workers on loopback. The workers are replaced one
 * after the other by ones of another version: the new one comes first, the old
 * one drains for 3.5 s and leaves. The checkpoints of the new ones have 64
 * digits, those of the old ones 16. TROUBLE=0: the same with 16 digits.
 *
 * Usage: long_checkpoint CAMPHORD RECORD. Exits with 1 if, 14 s after the end
 * of the traffic, an accepted job that is not completed has nothing running for
 * 3 s while most of the workers' room is free; 0 if none has; 2 if the case
 * could not run.
 */
#include "deployment.h"

static const int DAEMONS = 2;
static const size_t WORKERS = 4;
static const int64_t REPLACE_EVERY_MS = 4500;
static const int64_t DRAIN_MS = 3500;
static const int64_t TRAFFIC_MS = 24000;
static const int64_t JOB_EVERY_MS = 1000;
static const int64_t FINISH_MS = 14000;
static const int64_t STAND_MS = 3000;

static Deployment deployment;
static Checker checker;
static std::vector<Runner> runners(2 * WORKERS);

/* Starts a worker, of the new version if it is one of the second half. */
static bool
start_worker(size_t n)
{
	Runner &runner = runners[n];
	bool is_new = n >= WORKERS;

	runner.id = "i-" + std::to_string(n);
	runner.version = is_new ? "2" : "1";
	runner.work_ms = 2500;
	runner.checkpoint_digits = is_new && !is_calm() ? 64 : 16;
	runner.record = &deployment.record;
	runner.checker = &checker;
	runner.publish = [](Runner &row) {
		deployment.publish(row);
	};
	runner.lateness = [](const std::string &) -> int64_t {
		return 0;
	};
	return runner.come_up();
}

/* Returns the jobs that have a run on a worker now. */
static std::set<std::string>
running_jobs()
{
	std::set<std::string> jobs;

	for (Runner &runner : runners) {
		std::lock_guard<std::recursive_mutex> guard(runner.lock);

		if (!runner.up)
			continue;
		runner.advance();
		for (const auto &entry : runner.runs)
			jobs.insert(entry.first.substr(0, 16));
	}
	return jobs;
}

/* Replaces the nth worker. */
static void
replace(size_t n)
{
	Runner &old = runners[n];

	start_worker(WORKERS + n);
	{
		std::lock_guard<std::recursive_mutex> guard(old.lock);

		old.draining = true;
		deployment.record.line("%s drains", old.id.c_str());
		deployment.publish(old);
	}
	std::thread([&old] {
		std::this_thread::sleep_for(
		    std::chrono::milliseconds(DRAIN_MS));
		old.crash();
		deployment.record.line("%s has left", old.id.c_str());
		std::lock_guard<std::mutex> guard(deployment.platform.lock);
		deployment.platform.put("keyed.servers", old.id, "");
	}).detach();
}

/* Returns how many accepted jobs stand still. */
static int
count_standing(const std::vector<std::string> &accepted)
{
	std::set<std::string> alive;
	int64_t until_ms = now_ms() + STAND_MS;
	int standing = 0;

	while (now_ms() < until_ms) {
		std::set<std::string> now = running_jobs();

		alive.insert(now.begin(), now.end());
		std::this_thread::sleep_for(std::chrono::milliseconds(20));
	}
	for (const std::string &id : accepted) {
		std::string state = deployment.state(0, id);

		deployment.record.line(
		    "client: job %s is shown as %s", id.c_str(), state.c_str());
		if (state == "completed" || alive.count(id) != 0)
			continue;
		standing++;
		deployment.record.line("BROKEN LOST: job %s is %s and has had "
				       "nothing running for 3 s",
		    id.c_str(), state.c_str());
	}
	return standing;
}

/* Returns the exit code. */
static int
play()
{
	std::vector<std::string> accepted;
	size_t replaced = 0;
	int64_t begin_ms;
	int standing;

	deployment.configure(
	    "{\"Version\":1,\"Routes\":[{\"Name\":\"q\",\"Host\":"
	    "\"h.example\",\"PathPrefix\":\"/jobs/\",\"Service\":\"pool\","
	    "\"Priority\":1,\"MaxAttempts\":3,\"Stretch\":3,"
	    "\"TargetLatencyMs\":1000}],\"Services\":[{\"Name\":\"pool\"}],"
	    "\"Tenants\":[{\"Name\":\"t\",\"ApiKeys\":[\"key\"]}]}");
	for (size_t n = 0; n < WORKERS; n++)
		if (!start_worker(n))
			return 2;
	for (int n = 0; n < DAEMONS; n++)
		if (!deployment.start_daemon(n))
			return 2;
	if (!deployment.ready())
		return 2;
	begin_ms = now_ms();
	for (int n = 0; now_ms() - begin_ms < TRAFFIC_MS; n++) {
		char id[24];

		if (replaced < WORKERS &&
		    now_ms() - begin_ms >=
			(int64_t)(replaced + 1) * REPLACE_EVERY_MS)
			replace(replaced++);
		snprintf(id, sizeof(id), "%016x", 0xd000 + n);
		if (deployment.submit((size_t)n, "key", id,
			"{\"Spec\":\"s\",\"Steps\":[{\"Count\":2,\"Cpu\":2000,"
			"\"MemMb\":100,\"Gpu\":1,\"EstimateMs\":2800,"
			"\"Checkpointing\":true}]}") == 200)
			accepted.push_back(id);
		std::this_thread::sleep_for(
		    std::chrono::milliseconds(JOB_EVERY_MS));
	}
	std::this_thread::sleep_for(std::chrono::milliseconds(FINISH_MS));
	standing = count_standing(accepted);
	printf("accepted=%zu standing=%d\n", accepted.size(), standing);
	if (accepted.empty())
		return 2;
	return standing > 0 ? 1 : 0;
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
