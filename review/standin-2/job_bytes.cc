/*
 * Plays two daemons on loopback. Clients hand in 12 jobs a second, and 2.6
 * times as many in bursts of 4 s, one after the other; TROUBLE=0: without the
 * bursts. Each job has 3 steps of 94 tasks and is due four times, from an hour
 * later on. As the platform does, the script kills a daemon whose memory
 * exceeds MemoryMb (260) and starts it again after 0.5 s.
 *
 * Usage: job_bytes CAMPHORD RECORD. Exits with 1 if a daemon was killed three
 * times, 0 if none was, 2 if the case could not run.
 */
#include "deployment.h"

static const int DAEMONS = 2;
static const int CLIENTS = 8;
static const double JOBS_PER_S = 12;
static const double BURST = 2.6;
static const int64_t TRAFFIC_MS = 96000;
static const int64_t WATCH_MS = 10000; /* after the traffic */
static const int64_t MEMORY_BYTES = (int64_t)260 * 1024 * 1024;
static const int64_t DOWN_MS = 500;

static Deployment deployment;
static std::atomic<int> accepted{0};
static std::atomic<bool> ended{false};

static std::string
job_body()
{
	std::string step = "{\"Count\":94,\"Cpu\":1000,\"MemMb\":100,\"Gpu\":1,"
			   "\"EstimateMs\":9000}";
	int64_t due_ms =
	    std::chrono::duration_cast<std::chrono::milliseconds>(
		std::chrono::system_clock::now().time_since_epoch())
		.count() +
	    3600000;

	return "{\"Spec\":\"s\",\"Steps\":[" + step + "," + step + "," + step +
	    "],\"RepeatCount\":4,\"FirstRunMs\":" + std::to_string(due_ms) +
	    ",\"IntervalMs\":4500}";
}

/* Hands jobs in at a rate, until the traffic ends. */
static void
client(int number, double jobs_per_s)
{
	int64_t begin_ms = now_ms();
	int n = 0;

	while (now_ms() - begin_ms < TRAFFIC_MS) {
		char id[24];
		int64_t due_ms =
		    begin_ms + (int64_t)(n * 1000.0 * CLIENTS / jobs_per_s);

		if (now_ms() < due_ms)
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(due_ms - now_ms()));
		snprintf(id, sizeof(id), "%016x", (number << 20) + n);
		accepted += deployment.submit((size_t)(number + n), "key", id,
				job_body()) == 200;
		n++;
	}
}

static int64_t
memory_bytes(pid_t pid)
{
	std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
	int64_t size = 0;
	int64_t resident = 0;

	file >> size >> resident;
	return resident * sysconf(_SC_PAGESIZE);
}

/* Limits the memory of a daemon as the platform does. */
static void
limit_memory(size_t n, std::atomic<int> &kills, std::atomic<int64_t> &peak)
{
	while (!ended) {
		int64_t bytes = memory_bytes(deployment.daemons[n]);

		if (bytes > peak)
			peak = bytes;
		if (bytes > MEMORY_BYTES) {
			kill(deployment.daemons[n], SIGKILL);
			waitpid(deployment.daemons[n], nullptr, 0);
			kills++;
			deployment.record.line(
			    "daemon %zu is killed for the %dth time: its "
			    "memory is %lld bytes, MemoryMb is 260",
			    n, kills.load(), (long long)bytes);
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(DOWN_MS));
			deployment.restart_daemon(n);
		}
		std::this_thread::sleep_for(std::chrono::milliseconds(20));
	}
}

/* Returns the exit code. */
static int
play()
{
	std::vector<std::thread> clients;
	std::vector<std::thread> limits;
	std::atomic<int> kills[DAEMONS] = {};
	std::atomic<int64_t> peaks[DAEMONS] = {};
	int most = 0;
	int least = INT32_MAX;

	deployment.configure(
	    "{\"Version\":1,\"Routes\":[{\"Name\":\"q\",\"Host\":"
	    "\"h.example\",\"PathPrefix\":\"/jobs/\",\"Service\":\"pool\","
	    "\"Priority\":2,\"MaxAttempts\":3,\"Stretch\":3,"
	    "\"TargetLatencyMs\":3000}],\"Services\":[{\"Name\":\"pool\"}],"
	    "\"Tenants\":[{\"Name\":\"t\",\"ApiKeys\":[\"key\"]}]}");
	deployment.daemons.reserve(DAEMONS + 1);
	for (int n = 0; n < DAEMONS; n++)
		if (!deployment.start_daemon(n))
			return 2;
	if (!deployment.ready())
		return 2;
	for (size_t n = 0; n < DAEMONS; n++)
		limits.emplace_back(
		    limit_memory, n, std::ref(kills[n]), std::ref(peaks[n]));
	for (int n = 0; n < CLIENTS; n++)
		clients.emplace_back(
		    client, n + 1, is_calm() ? JOBS_PER_S : JOBS_PER_S * BURST);
	for (std::thread &thread : clients)
		thread.join();
	std::this_thread::sleep_for(std::chrono::milliseconds(WATCH_MS));
	ended = true;
	for (std::thread &thread : limits)
		thread.join();
	for (int n = 0; n < DAEMONS; n++) {
		most = std::max(most, kills[n].load());
		least = std::min(least, kills[n].load());
	}
	deployment.record.line("jobs accepted %d; daemons killed %d and %d "
			       "times; largest memory %lld and %lld bytes",
	    accepted.load(), kills[0].load(), kills[1].load(),
	    (long long)peaks[0].load(), (long long)peaks[1].load());
	printf("accepted=%d kills=%d,%d peak_mb=%lld,%lld\n", accepted.load(),
	    kills[0].load(), kills[1].load(),
	    (long long)peaks[0].load() / 1048576,
	    (long long)peaks[1].load() / 1048576);
	if (accepted == 0)
		return 2;
	return least >= 3 ? 1 : 0;
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
