#ifndef CAMPHOR_REVIEW_DEPLOYMENT_H
#define CAMPHOR_REVIEW_DEPLOYMENT_H

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>

#include "runner.h"
#include "sim/emulator.h"

extern char **environ;

/* Daemons on loopback, with the stand-in of the store that the project's tests
 * use. Clients are plain sockets. */
struct Deployment {
	Emulator platform;
	Record record;
	std::vector<pid_t> daemons;
	std::vector<int> fronts; /* ports */
	std::string folder;
	std::string program;

	/* Ends the daemons if the script is ended. Call before any thread is
	 * started. */
	void
	end_on_signal()
	{
		sigset_t set;

		sigemptyset(&set);
		sigaddset(&set, SIGTERM);
		sigaddset(&set, SIGINT);
		pthread_sigmask(SIG_BLOCK, &set, nullptr);
		std::thread([this, set] {
			int number = 0;

			sigwait(&set, &number);
			end();
			_exit(2);
		}).detach();
	}

	/* Returns false if the case cannot run. */
	bool
	prepare(const char *camphord, const char *record_path)
	{
		char name[] = "/tmp/camphor-review-XXXXXX";

		end_on_signal();
		if (mkdtemp(name) == nullptr)
			return false;
		folder = name;
		program = camphord;
		record.file = fopen(record_path, "w");
		return record.file != nullptr && platform.start(0, 0);
	}

	/* The operator writes a configuration. */
	void
	configure(const std::string &text)
	{
		std::lock_guard<std::mutex> guard(platform.lock);

		platform.put("keyed.op", "config", text);
		record.line("operator: %s", text.c_str());
	}

	/* A worker writes its entry. */
	void
	publish(const Runner &runner)
	{
		json_t *entry = json_pack("{s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:"
					  "I,s:{s:i,s:i,s:i},s:[s,s],"
					  "s:I,s:I}",
		    "Service", "pool", "Address",
		    ("127.0.0.1:" + std::to_string(runner.port)).c_str(),
		    "Zone", "z", "Version", runner.version.c_str(), "State",
		    runner.draining ? "draining" : "ready", "Slots", 8,
		    "ColdRemainingMs", 0, "RemainingMs",
		    runner.draining ? 3000 : 0, "Sequence", (json_int_t)1,
		    "Capacity", "Cpu", 128000, "MemMb", 512000, "Gpu", 8,
		    "Labels", "a", "r1-1", "ClockMs",
		    (json_int_t)runner.clock(), "born",
		    (json_int_t)runner.born_ms);
		char *text = json_dumps(entry, JSON_COMPACT);
		std::lock_guard<std::mutex> guard(platform.lock);

		platform.put("keyed.servers", runner.id, text);
		free(text);
		json_decref(entry);
	}

	/* Returns the state that the nth daemon shows of a job. */
	std::string
	state(size_t n, const std::string &id)
	{
		std::string answer;
		call(fronts[n % fronts.size()],
		    "GET /jobs/" + id +
			" HTTP/1.1\r\nHost: h.example\r\n"
			"Authorization: Bearer key\r\n"
			"Camphorworks-Request-Deadline: 3000\r\n"
			"Connection: close\r\n\r\n",
		    &answer);
		size_t at = answer.find("\"State\":\"");
		return at == std::string::npos
		    ? answer.substr(0, answer.find("\r\n"))
		    : answer.substr(at + 9, answer.find('"', at + 9) - at - 9);
	}

	void
	write_settings(const std::string &path, int n, int base)
	{
		std::string at = "127.0.0.1:";

		std::ofstream(path)
		    << "{\"NodeName\":\"n" << n << "\",\"Role\":\"entry\","
		    << "\"MachineClass\":\"front\",\"Serves\":[\"front\"],"
		    << "\"Ip\":\"127.0.0.1\",\"Zone\":\"z\",\"Region\":\"r\","
		    << "\"Zones\":{\"z\":\"r\"},\"InternalPorts\":[" << base + 2
		    << "," << base + 4 << "],\"ListenAddrs\":{\"Front\":\""
		    << at << base << "\",\"Ready\":\"" << at << base + 1
		    << "\"},\"Bootstrap\":true,\"Limits\":{\"CpuShare\":0.25,"
		    << "\"CpuCores\":1,\"MemoryMb\":260,\"MaxFds\":4100,"
		    << "\"LinkMbps\":1000.0},\"HeartbeatMs\":1500,\"Bounds\":{"
		    << "\"ContactMs\":4000,\"AckTimeoutMs\":5000,"
		    << "\"DrainMs\":3000,\"GraceS\":6,\"ConfigApplyMs\":3000,"
		    << "\"MaxHoldMs\":6000,\"StopTimeoutMs\":200,"
		    << "\"GangTimeoutMs\":3000,\"cancel_ms\":3000,"
		    << "\"visible_ms\":3000,\"status_s\":120,"
		    << "\"RemoteFactor\":3,\"CheckpointS\":1,"
		    << "\"RestoreMs\":600,\"ReclaimMs\":2700},"
		    << "\"Orders\":\"request\",\"platform\":{\"Address\":\""
		    << at << platform.port
		    << "\",\"form\":\"log\",\"WritesPerS\":800,"
		    << "\"ReadsPerS\":2000,\"RecordBytes\":262144,"
		    << "\"RequestBytes\":2097152,\"MinTtlMs\":1000}}";
	}

	/* Starts a daemon with the command of the deploy file. */
	bool
	start_daemon(int n)
	{
		std::string path = folder + "/" + std::to_string(n) + ".json";
		std::string log = folder + "/" + std::to_string(n) + ".log";
		std::string setting = "CAMPHORWORKS_SETTINGS=" + path;
		int base = platform.port + Emulator::PORTS / 2 + n * 5;
		const char *argv[] = {program.c_str(), "--platform", nullptr};
		std::vector<const char *> env;
		posix_spawn_file_actions_t actions;
		pid_t pid = 0;
		int failed;

		write_settings(path, n, base);
		for (char **entry = environ; *entry != nullptr; entry++)
			env.push_back(*entry);
		env.push_back(setting.c_str());
		env.push_back(nullptr);
		posix_spawn_file_actions_init(&actions);
		posix_spawn_file_actions_addopen(&actions, 1, log.c_str(),
		    O_WRONLY | O_CREAT | O_APPEND, 0600);
		failed = posix_spawn(&pid, program.c_str(), &actions, nullptr,
		    (char **)argv, (char **)env.data());
		posix_spawn_file_actions_destroy(&actions);
		if (failed != 0)
			return false;
		daemons.push_back(pid);
		fronts.push_back(base);
		return true;
	}

	/* Starts a daemon again that has ended. */
	bool
	restart_daemon(size_t n)
	{
		if (!start_daemon((int)n))
			return false;
		daemons[n] = daemons.back();
		daemons.pop_back();
		fronts.pop_back();
		return true;
	}

	/* Sends a call to a port. Returns the status, or 0 without an answer.
	 */
	static int
	call(int port, const std::string &text, std::string *whole = nullptr)
	{
		struct sockaddr_in address = {};
		struct timeval patience = {3, 0};
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		char answer[512] = "";
		int status = 0;

		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		address.sin_port = htons((uint16_t)port);
		setsockopt(
		    fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
		if (connect(fd, (struct sockaddr *)&address, sizeof(address)) ==
			0 &&
		    send(fd, text.data(), text.size(), MSG_NOSIGNAL) > 0 &&
		    recv(fd, answer, sizeof(answer) - 1, 0) > 0)
			sscanf(answer, "HTTP/1.1 %d", &status);
		if (whole != nullptr)
			*whole = answer;
		close(fd);
		return status;
	}

	/* Hands a job in at the nth daemon. */
	int
	submit(size_t n, const std::string &key, const std::string &id,
	    const std::string &body, const std::string &prefix = "/jobs/")
	{
		int status = call(fronts[n % fronts.size()],
		    "POST " + prefix + id +
			" HTTP/1.1\r\nHost: h.example\r\n"
			"Authorization: Bearer " +
			key +
			"\r\nContent-Type: application/json\r\n"
			"Camphorworks-Request-Deadline: 3000\r\n"
			"Connection: close\r\nContent-Length: " +
			std::to_string(body.size()) + "\r\n\r\n" + body);

		record.line("client: POST of job %s with key %s at daemon %zu "
			    "is answered with %d",
		    id.c_str(), key.c_str(), n % fronts.size(), status);
		return status;
	}

	/* Waits until all daemons are ready. */
	bool
	ready()
	{
		size_t count = 0;

		for (int tries = 0; tries < 200 && count < fronts.size();
		     tries++) {
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(50));
			count = 0;
			for (int front : fronts)
				count +=
				    call(front + 1,
					"GET /camphorworks/ready HTTP/1.1\r\n"
					"Host: n\r\nConnection: close\r\n"
					"\r\n") == 200;
		}
		return count == fronts.size();
	}

	/* Ends all processes that were started and removes the folder. */
	void
	end()
	{
		for (pid_t pid : daemons) {
			kill(pid, SIGKILL);
			waitpid(pid, nullptr, 0);
		}
		daemons.clear();
		if (!folder.empty() && system(("rm -r " + folder).c_str()) != 0)
			fprintf(stderr, "%s is not removed\n", folder.c_str());
	}
};

/* Returns whether the disruption is to be left out. */
inline bool
is_calm()
{
	const char *trouble = getenv("TROUBLE");

	return trouble != nullptr && strcmp(trouble, "0") == 0;
}

#endif
