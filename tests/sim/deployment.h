#ifndef CAMPHOR_TESTS_DEPLOYMENT_H
#define CAMPHOR_TESTS_DEPLOYMENT_H

#include <gtest/gtest.h>

#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <future>
#include <spawn.h>
#include <sys/wait.h>

#include "adapter.h"
#include "emulator.h"
#include "http_async.h"
#include "http_client.h"

extern char **environ;

/* Time within which an awaited event occurs on any machine that is not
 * overloaded. */
const int64_t wait_timeout_ms = 40000;

/* Runs camphord processes on the emulated platform. */
struct Deployment {
	Emulator platform;
	std::vector<pid_t> pids;
	std::vector<std::string> front_addresses;
	std::vector<std::string> ready_addresses;
	struct lk_http_client *client = nullptr;
	struct lk_async *async = nullptr;
	std::string folder;
	std::string store_settings; /* more members of "platform" */
	std::string bounds;         /* more members of "Bounds" */
	/* Daemons get a port for peers, and daemon N the store's address
	 * 127.0.0.(N + 1), where it can be rejected alone. */
	bool has_peers = false;

	Deployment()
	{
		char name[] = "/tmp/camphor-test-XXXXXX";

		folder = mkdtemp(name);
		lk_http_client_create(&client);
		lk_async_start(&async, 64);
	}

	~Deployment()
	{
		for (pid_t pid : pids)
			if (pid > 0) {
				::kill(pid, SIGKILL);
				waitpid(pid, nullptr, 0);
			}
		platform.stop();
		lk_http_client_destroy(client);
		lk_async_stop(async);
		if (::testing::Test::HasFailure()) {
			print_log_tail();
			if (getenv("KEEP_LOGS") != nullptr) {
				printf("log: %s/log\n", folder.c_str());
				return;
			}
		}
		std::string command = "rm -r " + folder;
		EXPECT_EQ(0, system(command.c_str()));
	}

	/* Prints the last 400 lines of the daemons' log after a failure. */
	void
	print_log_tail()
	{
		std::ifstream log(folder + "/log");
		std::vector<std::string> lines;
		std::string line;

		while (std::getline(log, line))
			lines.push_back(line);
		for (size_t i = lines.size() > 400 ? lines.size() - 400 : 0;
		     i < lines.size(); i++)
			printf("%s\n", lines[i].c_str());
	}

	/* Publishes a version with access key "kN", N being its number, and so
	 * many queues that nobody calls. Returns its number. */
	uint64_t
	configure(const std::string &more_keys = "", int routes = 0)
	{
		std::lock_guard<std::mutex> guard(platform.lock);
		std::string text = "{\"Version\":" + std::to_string(++version) +
		    ",\"Routes\":[{\"Name\":\"q\",\"Host\":\"h.example\","
		    "\"PathPrefix\":\"/jobs/\",\"Service\":\"pool\","
		    "\"Priority\":1,\"MaxAttempts\":3,\"Stretch\":3,"
		    "\"TargetLatencyMs\":1000}";

		for (int i = 0; i < routes; i++)
			text += ",{\"Name\":\"more" + std::to_string(i) +
			    "\",\"Host\":\"more.example\",\"PathPrefix\":"
			    "\"/more" +
			    std::to_string(i) +
			    "/\",\"Service\":\"pool\",\"Priority\":1,"
			    "\"MaxAttempts\":3,\"Stretch\":3,"
			    "\"TargetLatencyMs\":1000}";
		platform.put("keyed.op", "config",
		    text +
			"],\"Services\":[{\"Name\":\"pool\"}],\"Tenants\":["
			"{\"Name\":\"t\",\"ApiKeys\":[\"key\",\"k" +
			std::to_string(version) + "\"" + more_keys + "]}]}");
		return version;
	}

	/* Returns the number of the latest version; a daemon may act on it
	 * before configure() returns. */
	uint64_t
	latest_version()
	{
		std::lock_guard<std::mutex> guard(platform.lock);

		return version;
	}

	/* Writes the settings of a new daemon with its own ports and starts it.
	 * Returns its index. */
	size_t
	spawn()
	{
		size_t n = pids.size();
		int base = platform.port + Emulator::PORTS / 2 + (int)n * 5;
		std::string path = folder + "/" + std::to_string(n) + ".json";
		std::string at = "127.0.0.1:";

		front_addresses.push_back(at + std::to_string(base));
		ready_addresses.push_back(at + std::to_string(base + 1));
		std::ofstream(path)
		    << "{\"NodeName\":\"n" << n
		    << "\",\"Zone\":\"z\",\"Region\":\"r\",\"Ip\":\"127.0.0."
		       "1\","
		    << "\"InternalPorts\":[" << base + 2
		    << (has_peers ? "," + std::to_string(base + 3) : "") << "],"
		    << "\"ListenAddrs\":{\"Front\":\"" << front_addresses[n]
		    << "\",\"Ready\":\"" << ready_addresses[n] << "\"},"
		    << "\"Bounds\":{\"MaxHoldMs\":3000,\"GraceS\":6" << bounds
		    << "},"
		    << "\"platform\":{\"Address\":\""
		    << (has_peers ? "127.0.0." + std::to_string(n + 1) + ":"
				  : at)
		    << platform.port << "\"" << store_settings << "}}";
		pids.push_back(0);
		run(n);
		return n;
	}

	void
	run(size_t n)
	{
		std::string path = folder + "/" + std::to_string(n) + ".json";
		std::string log = folder + "/log";
		const char *argv[] = {
		    CAMPHORD, "--platform", path.c_str(), nullptr};
		posix_spawn_file_actions_t actions;

		posix_spawn_file_actions_init(&actions);
		posix_spawn_file_actions_addopen(&actions, 1, log.c_str(),
		    O_WRONLY | O_CREAT | O_APPEND, 0600);
		EXPECT_EQ(0,
		    posix_spawn(&pids[n], CAMPHORD, &actions, nullptr,
			(char **)argv, environ));
		posix_spawn_file_actions_destroy(&actions);
	}

	void
	kill(size_t n)
	{
		::kill(pids[n], SIGKILL);
		waitpid(pids[n], nullptr, 0);
		pids[n] = 0;
	}

	int
	call(const std::string &address, const std::string &path,
	    const std::string &body, std::string *answer = nullptr,
	    const char *key = "Authorization: Bearer key")
	{
		const char *headers[] = {
		    "Host: h.example", key, "Content-Type: application/json"};
		struct lk_http_caller caller = lk_http_client_caller(client);
		struct lk_http_call call = {};
		struct lk_http_answer got = {};
		int status;

		call.address = address.c_str();
		call.path = path.c_str();
		call.headers = headers;
		call.header_count = 3;
		call.body = body.empty() ? nullptr : body.data();
		call.body_bytes = body.size();
		call.answer_bytes_max = 65536;
		call.connect_timeout_ms = 1000;
		call.timeout_ms = 4000;
		call.new_connection = true;
		caller.call(caller.ctx, &call, &got);
		status = got.outcome == LK_HTTP_COMPLETE ? got.status : -1;
		if (answer != nullptr)
			answer->assign(
			    got.body != nullptr ? (const char *)got.body : "",
			    got.body_bytes);
		free(got.body);
		return status;
	}

	/* Submits a job of one step, whose tasks need the given room and run
	 * until they end, or last until the job is cancelled. */
	int
	submit(size_t n, const std::string &name, int count,
	    const SimRoom &need = {1000, 100, 1}, bool lasts = false)
	{
		return call(front_addresses[n], "/jobs/" + name,
		    "{\"Spec\":\"s\",\"Steps\":[{\"Count\":" +
			std::to_string(count) +
			",\"Cpu\":" + std::to_string(need.cores_milli) +
			",\"MemMb\":" + std::to_string(need.memory_mb) +
			",\"Gpu\":" + std::to_string(need.accels) +
			(lasts ? ",\"LongRunning\":true" : "") +
			",\"EstimateMs\":300}]}");
	}

	/* Returns the state that a VM shows of a job, "" without an answer. */
	std::string
	job_state(size_t n, const std::string &name)
	{
		static const char *const headers[] = {
		    "Host: h.example", "Authorization: Bearer key"};
		std::promise<std::string> answer;
		std::string path = "/jobs/" + name;
		struct lk_async_call call = {};

		call.address = front_addresses[n].c_str();
		call.path = path.c_str();
		call.headers = headers;
		call.header_count = 2;
		call.timeout_ms = 4000;
		call.new_connection = true;
		call.ctx = &answer;
		call.done = [](void *ctx, const struct lk_async_answer *got) {
			((std::promise<std::string> *)ctx)
			    ->set_value(std::string(got->body_bytes > 0
				    ? (const char *)got->body
				    : "",
				got->body_bytes));
		};
		if (lk_async_submit(async, &call) != CW_OK)
			return "";
		json_t *root =
		    json_loads(answer.get_future().get().c_str(), 0, nullptr);
		const char *state =
		    json_string_value(json_object_get(root, "State"));
		std::string copy = state != nullptr ? state : "";

		json_decref(root);
		return copy;
	}

	template <typename Condition>
	bool
	wait(Condition condition)
	{
		int64_t end_ms = Emulator::now_ms() + wait_timeout_ms;

		while (Emulator::now_ms() < end_ms) {
			if (condition())
				return true;
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(20));
		}
		return false;
	}

	bool
	ready(size_t n)
	{
		return wait([&] {
			return call(ready_addresses[n], "/camphorworks/ready",
				   "") == 200;
		});
	}

	/* Waits until the ends of so many tasks have been acknowledged. */
	bool
	all_done(size_t tasks)
	{
		return wait([&] {
			std::lock_guard<std::mutex> guard(platform.lock);

			return platform.run_checker.done.size() >= tasks;
		});
	}

	uint64_t version = 0;
};

/* Returns the name of the nth job of a test. */
inline std::string
job(int n)
{
	char text[24];

	snprintf(text, sizeof(text), "%016x", 0xa000 + n);
	return text;
}

#endif
