#ifndef CAMPHOR_REVIEW_HARNESS_H
#define CAMPHOR_REVIEW_HARNESS_H

#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <netdb.h>
#include <signal.h>
#include <string>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <vector>

#include "../../tests/sim/emulator.h"

/*
 * A small deployment for the cases of a review: the project's model of the
 * platform (tests/sim), in which each runner has a listening socket of its own
 * that is closed while the runner is down, and daemons as separate processes.
 */
struct Harness {
	static constexpr int HEARTBEAT_MS = 1500;

	Emulator platform;
	std::vector<struct mg_context *> runners;
	std::vector<bool> silent; /* writes no entry */
	std::vector<pid_t> pids;
	std::vector<std::string> fronts;
	std::string folder;
	std::string service = "pool";
	std::string more_routes; /* JSON, begins with a comma */
	int attempts_max = 3;
	int priority = 1;
	int status_s = 120;
	std::string bounds; /* more members of "Bounds", begins with a comma */
	FILE *record = nullptr;
	int64_t start_ms = Emulator::now_ms();
	std::mutex record_lock;
	std::atomic<bool> ending{false};
	std::atomic<int64_t> last_beat_ms{0};
	std::thread beats;
	/* Called, with the platform's lock held, when a runner is back after a
	 * crash and before it listens. */
	std::function<void()> before_listen;
	std::function<void(size_t runner)> on_listen; /* after that */
	uint64_t version = 0;

	explicit Harness(const char *record_path)
	{
		char name[] = "/tmp/camphor-review-XXXXXX";

		folder = mkdtemp(name);
		record = fopen(record_path, "w");
		if (record == nullptr)
			die("the record cannot be written");
	}

	~Harness()
	{
		ending = true;
		for (size_t n = 0; n < pids.size(); n++)
			kill_daemon(n);
		if (beats.joinable())
			beats.join();
		for (struct mg_context *runner : runners)
			if (runner != nullptr)
				mg_stop(runner);
		platform.stop();
		fclose(record);
		if (getenv("KEEP_LOGS") == nullptr) {
			std::string command = "rm -r " + folder;

			if (system(command.c_str()) != 0)
				fprintf(stderr, "%s remains\n", folder.c_str());
		}
	}

	/* The case could not run. */
	[[noreturn]] void
	die(const char *reason)
	{
		fprintf(stderr, "cannot run: %s\n", reason);
		for (pid_t pid : pids)
			if (pid > 0)
				::kill(pid, SIGKILL);
		_exit(2);
	}

	/* Writes a line to the record, with the time since the start. */
	void
	note(const char *format, ...) __attribute__((format(printf, 2, 3)))
	{
		std::lock_guard<std::mutex> guard(record_lock);
		int64_t ms = Emulator::now_ms() - start_ms;
		va_list args;

		fprintf(record, "%7.3f  ", (double)ms / 1000);
		va_start(args, format);
		vfprintf(record, format, args);
		va_end(args);
		fputc('\n', record);
		fflush(record);
	}

	static void
	sleep_ms(int64_t ms)
	{
		std::this_thread::sleep_for(std::chrono::milliseconds(ms));
	}

	int64_t
	elapsed_ms() const
	{
		return Emulator::now_ms() - start_ms;
	}

	/* Writes the entry of a runner. Call with the platform's lock held. */
	void
	put_entry(size_t i, const char *state = "ready")
	{
		SimWorker &row = platform.workers[i];
		json_t *entry = json_pack(
		    "{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},s:[s,s],"
		    "s:I,s:I,s:I}",
		    "Service", service.c_str(), "Address",
		    ("127.0.0.1:" + std::to_string(platform.port + 1 + (int)i))
			.c_str(),
		    "Zone", "z", "Version", "v1", "Slots", 8, "State", state,
		    "ColdRemainingMs", 0, "Capacity", "Cpu",
		    (int)row.room.cores_milli, "MemMb", (int)row.room.memory_mb,
		    "Gpu", (int)row.room.accels, "Labels", "a",
		    row.rack.c_str(), "ClockMs",
		    (json_int_t)row.clock(Emulator::now_ms()), "Sequence",
		    (json_int_t)(row.clock(Emulator::now_ms()) / HEARTBEAT_MS +
			1),
		    "born", (json_int_t)row.incarnation_ms);
		char *text = json_dumps(entry, JSON_COMPACT);

		platform.put("keyed.servers", row.id, text);
		free(text);
		json_decref(entry);
	}

	void
	listen_runner(size_t i)
	{
		static const struct mg_callbacks callbacks = {};
		std::string port =
		    "127.0.0.1:" + std::to_string(platform.port + 1 + (int)i);
		const char *options[] = {"listening_ports", port.c_str(),
		    "num_threads", "16", "enable_keep_alive", "yes",
		    "tcp_nodelay", "1", nullptr};

		runners[i] = mg_start(&callbacks, &platform, options);
		if (runners[i] == nullptr)
			die("a runner cannot listen");
		mg_set_request_handler(
		    runners[i], "/", Emulator::handle, &platform);
	}

	/* Starts the store and the runners. work_ms: of each task. */
	void
	start_platform(size_t count, int64_t work_ms)
	{
		if (!platform.start(0, 0))
			die("no free ports");
		platform.workers.resize(count);
		runners.resize(count);
		silent.resize(count);
		std::lock_guard<std::mutex> guard(platform.lock);
		for (size_t i = 0; i < count; i++) {
			SimWorker &row = platform.workers[i];

			row.id = row.address = "i-" + std::to_string(i);
			row.keeps_id = true;
			row.rack = "r1-" + std::to_string(i / 8);
			row.start_ms = Emulator::now_ms();
			row.incarnation_ms = 1700000000000 + (int64_t)i;
			row.work_ms = work_ms;
			row.run_checker = &platform.run_checker;
			row.on_back = [this, i](
					  SimWorker &, const std::string &) {
				put_entry(i);
			};
			put_entry(i);
		}
		platform.run_checker.observer =
		    [this](const char *what, const std::string &task,
			uint32_t run, const void *worker) {
			    note("runner %s: %s %s run %u",
				((const SimWorker *)worker)->id.c_str(), what,
				task.c_str(), run);
		    };
		for (size_t i = 0; i < count; i++)
			listen_runner(i);
		beats = std::thread([this] {
			beat();
		});
	}

	/* The runners write their entries, and end runs that are due. */
	void
	beat()
	{
		int64_t next_ms = Emulator::now_ms() + HEARTBEAT_MS;

		while (!ending) {
			sleep_ms(10);
			std::lock_guard<std::mutex> guard(platform.lock);

			platform.advance_locked();
			if (Emulator::now_ms() < next_ms)
				continue;
			next_ms += HEARTBEAT_MS;
			last_beat_ms = Emulator::now_ms();
			for (size_t i = 0; i < platform.workers.size(); i++)
				if (!platform.workers[i].is_down() &&
				    !silent[i])
					put_entry(i);
		}
	}

	/* Kills a runner, which starts again after down_ms under its id. */
	void
	crash_runner(size_t i, int64_t down_ms)
	{
		struct mg_context *runner = runners[i];
		SimEnd wake;

		{
			std::lock_guard<std::mutex> guard(platform.lock);
			SimWorker &row = platform.workers[i];

			note("runner %s crashes", row.id.c_str());
			row.crash_down_ms = down_ms;
			row.crash(Emulator::now_ms());
			/* Ends the long poll, which is not answered. */
			row.ends.push_back(wake);
		}
		sleep_ms(60);
		{
			std::lock_guard<std::mutex> guard(platform.lock);

			platform.workers[i].ends.clear();
		}
		runners[i] = nullptr;
		mg_stop(runner);
		for (;;) {
			sleep_ms(5);
			std::lock_guard<std::mutex> guard(platform.lock);

			if (platform.workers[i].is_down())
				continue;
			if (before_listen)
				before_listen();
			break;
		}
		listen_runner(i);
		if (on_listen)
			on_listen(i);
		note("runner %s is back", platform.workers[i].id.c_str());
	}

	void
	configure()
	{
		std::lock_guard<std::mutex> guard(platform.lock);
		std::string text = "{\"Version\":" + std::to_string(++version) +
		    ",\"Routes\":[{\"Name\":\"q\",\"Host\":\"h.example\","
		    "\"PathPrefix\":\"/jobs/\",\"Kind\":\"non_idempotent\","
		    "\"TimeoutMs\":3000,\"Service\":\"pool\",\"Priority\":" +
		    std::to_string(priority) +
		    ",\"MaxAttempts\":" + std::to_string(attempts_max) +
		    ",\"Stretch\":3.0,\"TargetLatencyMs\":1500,"
		    "\"AuthExempt\":false}" +
		    more_routes +
		    "],\"Services\":[{\"Name\":\"pool\",\"HealthPath\":\"/h\","
		    "\"MaxConnections\":64,\"Protocol\":\"h1\",\"Tls\":false,"
		    "\"EnforcesCapacity\":false,\"Standby\":false}],"
		    "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":"
		    "262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
		    "\"Tenants\":[{\"Name\":\"t\",\"ApiKeys\":[\"key\"],"
		    "\"Priority\":1,\"Guaranteed\":{\"Gpu\":8}}]}";

		platform.put("keyed.op", "config", text);
	}

	/* Writes the settings of a daemon and starts it. */
	size_t
	spawn_daemon(const std::string &store = "")
	{
		size_t n = pids.size();
		int base = platform.port + Emulator::PORTS / 2 + (int)n * 5;
		std::string at = "127.0.0.1:";
		std::string store_at =
		    store.empty() ? at + std::to_string(platform.port) : store;

		fronts.push_back(at + std::to_string(base));
		std::ofstream(settings_path(n))
		    << "{\"NodeName\":\"front-z-" << n
		    << "\",\"Role\":\"entry\",\"MachineClass\":\"front\","
		       "\"Serves\":[\"front\"],\"Ip\":\"127.0.0.1\","
		       "\"Zone\":\"z\",\"Region\":\"r\",\"Zones\":{\"z\":"
		       "\"r\"},\"ListenAddrs\":{\"Front\":\""
		    << fronts[n] << "\",\"Ready\":\"" << at << base + 1
		    << "\"},\"InternalPorts\":[" << base + 2 << "," << base + 4
		    << "],\"Bootstrap\":true,\"Limits\":{\"CpuShare\":0.25,"
		       "\"CpuCores\":1,\"MemoryMb\":260,\"MaxFds\":4100,"
		       "\"LinkMbps\":1000.0,\"DiskMb\":0},\"HeartbeatMs\":"
		    << HEARTBEAT_MS
		    << ",\"Bounds\":{\"ContactMs\":4000,\"AckTimeoutMs\":5000,"
		       "\"DrainMs\":3000,\"GraceS\":6,\"LossSlackMs\":200,"
		       "\"ConfigApplyMs\":3000,\"MaxHoldMs\":6000,"
		       "\"StopTimeoutMs\":200,\"GangTimeoutMs\":3000,"
		       "\"cancel_ms\":3000,\"visible_ms\":3000,\"early_ms\":"
		       "250,"
		       "\"finish_s\":14,\"status_s\":"
		    << status_s
		    << ",\"RemoteFactor\":3,"
		       "\"CheckpointS\":1,\"RestoreMs\":600,\"ReclaimMs\":2700"
		    << bounds
		    << "},\"Orders\":\"request\",\"platform\":{\"Address\":\""
		    << store_at
		    << "\",\"form\":\"log\",\"WritesPerS\":800,\"ReadsPerS\":"
		       "2000,\"parts\":24,\"AppendMs\":1.0,\"RecordBytes\":"
		       "262144,\"RequestBytes\":2097152,\"keep_s\":300,"
		       "\"MinTtlMs\":1000}}";
		pids.push_back(0);
		run_daemon(n);
		return n;
	}

	std::string
	settings_path(size_t n) const
	{
		return folder + "/" + std::to_string(n) + ".json";
	}

	/* Starts a daemon with the command of the deploy file. */
	void
	run_daemon(size_t n)
	{
		std::string variable =
		    "CAMPHORWORKS_SETTINGS=" + settings_path(n);
		std::string log = folder + "/log-" + std::to_string(n);
		const char *argv[] = {"target/camphord", "--platform", nullptr};
		const char *env[] = {
		    "PATH=/usr/bin:/bin", "LANG=C", variable.c_str(), nullptr};
		int out =
		    open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);

		/* The daemon ends with this process. */
		pids[n] = fork();
		if (pids[n] == 0) {
			prctl(PR_SET_PDEATHSIG, SIGKILL);
			dup2(out, 1);
			dup2(out, 2);
			execve(argv[0], (char **)argv, (char **)env);
			_exit(127);
		}
		close(out);
		if (pids[n] < 0)
			die("target/camphord cannot be started");
		note("daemon %zu started", n);
	}

	void
	kill_daemon(size_t n)
	{
		if (pids[n] == 0)
			return;
		::kill(pids[n], SIGKILL);
		waitpid(pids[n], nullptr, 0);
		pids[n] = 0;
	}

	/* Sends one request of a client. Returns the status, or 0 without a
	 * whole answer within timeout_ms. */
	static int
	call(const std::string &address, const std::string &method,
	    const std::string &path, const std::string &body,
	    std::string *answer = nullptr, int timeout_ms = 3000,
	    const std::string &host = "h.example")
	{
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		struct sockaddr_in to = {};
		struct timeval limit = {
		    timeout_ms / 1000, timeout_ms % 1000 * 1000};
		std::string got;
		std::string request = method + " " + path +
		    " HTTP/1.1\r\nHost: " + host +
		    "\r\nAuthorization: Bearer key\r\nContent-Type: "
		    "application/json\r\nCamphorworks-Request-Deadline: " +
		    std::to_string(timeout_ms) +
		    "\r\nConnection: close\r\nContent-Length: " +
		    std::to_string(body.size()) + "\r\n\r\n" + body;
		char part[4096];
		ssize_t n;
		int status = 0;

		to.sin_family = AF_INET;
		to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		to.sin_port = htons(
		    (uint16_t)atoi(address.c_str() + address.rfind(':') + 1));
		setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
		setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
		if (connect(fd, (struct sockaddr *)&to, sizeof(to)) == 0 &&
		    send(fd, request.data(), request.size(), MSG_NOSIGNAL) ==
			(ssize_t)request.size())
			while ((n = recv(fd, part, sizeof(part), 0)) > 0)
				got.append(part, (size_t)n);
		close(fd);
		size_t head = got.find("\r\n\r\n");
		size_t length = got.find("Content-Length: ");

		if (head == std::string::npos || length == std::string::npos ||
		    got.size() - head - 4 <
			strtoul(got.c_str() + length + 16, nullptr, 10))
			return 0;
		sscanf(got.c_str(), "HTTP/1.1 %d", &status);
		if (answer != nullptr)
			*answer = got.substr(head + 4);
		return status;
	}

	/* Waits until a daemon serves callers. */
	void
	wait_ready(size_t n)
	{
		std::string ready = "127.0.0.1:" +
		    std::to_string(
			atoi(fronts[n].c_str() + fronts[n].rfind(':') + 1) + 1);

		for (int i = 0; i < 200; i++) {
			if (call(ready, "GET", "/camphorworks/ready", "",
				nullptr, 1000) == 200)
				return;
			sleep_ms(50);
		}
		die("a daemon is not ready within 10 s");
	}

	/* Hands a job in, again under the same id after an answer that leaves
	 * it open, at each daemon in turn. Returns the last status. */
	int
	submit(const std::string &id, const std::string &body)
	{
		int status = 0;

		for (int i = 0; i < 20; i++) {
			size_t n = (size_t)i % fronts.size();

			status = call(fronts[n], "POST", "/jobs/" + id, body);
			note("client: POST %s at daemon %zu -> %d", id.c_str(),
			    n, status);
			if (status / 100 == 2)
				break;
			sleep_ms(300);
		}
		return status;
	}

	/* Asks for the state of a job. Returns "" without one. */
	std::string
	state(size_t n, const std::string &id, int *status = nullptr)
	{
		std::string text;
		int got = call(fronts[n], "GET", "/jobs/" + id, "", &text);
		json_t *root = json_loads(text.c_str(), 0, nullptr);
		const char *value =
		    json_string_value(json_object_get(root, "State"));
		std::string out = got == 200 && value != nullptr ? value : "";

		json_decref(root);
		if (status != nullptr)
			*status = got;
		return out;
	}

	/* Returns the index of the runner that runs a task, -1: none. */
	int
	runner_of(const std::string &task, uint32_t *run = nullptr)
	{
		std::lock_guard<std::mutex> guard(platform.lock);

		for (size_t i = 0; i < platform.workers.size(); i++)
			for (const auto &entry : platform.workers[i].runs)
				if (entry.first.first == task) {
					if (run != nullptr)
						*run = entry.first.second;
					return (int)i;
				}
		return -1;
	}
};

#endif
