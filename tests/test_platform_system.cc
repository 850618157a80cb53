#include <gtest/gtest.h>

#include "sim/deployment.h"

/* End-to-end path over the platform's protocol: jobs are accepted, run and
 * acknowledged, and each task runs once, although the placer is killed while
 * jobs run and its VM is restarted. Guards against lost jobs and double runs on
 * failover. */
TEST(PlatformSystem, JobsRunOnceWhenThePlacerIsKilled)
{
	Deployment deployment;

	ASSERT_TRUE(deployment.platform.start(4, 700));
	deployment.configure();
	for (int i = 0; i < 3; i++)
		deployment.spawn();
	for (size_t i = 0; i < 3; i++)
		ASSERT_TRUE(deployment.ready(i));
	for (int i = 0; i < 6; i++)
		ASSERT_EQ(200, deployment.submit((size_t)i % 3, job(i), 4));
	ASSERT_TRUE(deployment.wait([&] {
		std::lock_guard<std::mutex> guard(deployment.platform.lock);

		return deployment.platform.run_checker.starts >= 4;
	}));
	std::string owner;
	{
		std::lock_guard<std::mutex> guard(deployment.platform.lock);

		owner = deployment.platform.group.owner;
	}
	size_t placer = (size_t)(owner[1] - '0');
	deployment.kill(placer);
	for (int i = 6; i < 9; i++)
		ASSERT_EQ(200, deployment.submit((placer + 1) % 3, job(i), 4));
	deployment.run(placer);
	ASSERT_TRUE(deployment.all_done(36));
	EXPECT_EQ(0, deployment.platform.run_checker.concurrent_runs);
	EXPECT_EQ(0, deployment.platform.run_checker.unpreventable);
	EXPECT_EQ(0, deployment.platform.run_checker.starts_after_done);
	EXPECT_EQ(0, deployment.platform.run_checker.capacity_violations);
}

/* Guards against a retried submission that creates a second job, requests with
 * unknown keys that are served, and jobs that are lost because the store's
 * answer to their append is lost. */
TEST(PlatformSystem, RetriedSubmissionsAreOneJob)
{
	Deployment deployment;

	ASSERT_TRUE(deployment.platform.start(2, 200));
	deployment.configure();
	deployment.spawn();
	ASSERT_TRUE(deployment.ready(0));
	EXPECT_EQ(401,
	    deployment.call(deployment.front_addresses[0], "/jobs/" + job(1),
		"{}", nullptr, "Authorization: Bearer other"));
	EXPECT_EQ(404,
	    deployment.call(
		deployment.front_addresses[0], "/none/" + job(1), "{}"));
	EXPECT_EQ(400,
	    deployment.call(
		deployment.front_addresses[0], "/jobs/" + job(1), "{}"));
	deployment.platform.drop_append_answers = 1;
	EXPECT_EQ(200, deployment.submit(0, job(1), 2));
	EXPECT_EQ(200, deployment.submit(0, job(1), 2));
	ASSERT_TRUE(deployment.all_done(2));
	EXPECT_EQ(2, deployment.platform.run_checker.starts);
}

/* During an outage of the store, a daemon rejects jobs with 503 and is not
 * ready; it recovers by itself. Guards against a process that exits during the
 * outage, and against a job that runs although it was rejected. */
TEST(PlatformSystem, OutagesOfTheStoreAreOutlived)
{
	Deployment deployment;

	ASSERT_TRUE(deployment.platform.start(2, 200));
	deployment.configure();
	deployment.spawn();
	ASSERT_TRUE(deployment.ready(0));
	deployment.platform.store_down = true;
	ASSERT_TRUE(deployment.wait([&] {
		return deployment.call(deployment.ready_addresses[0],
			   "/camphorworks/ready", "") == 503;
	}));
	EXPECT_EQ(503, deployment.submit(0, job(1), 2));
	deployment.platform.store_down = false;
	ASSERT_TRUE(deployment.ready(0));
	EXPECT_EQ(200, deployment.submit(0, job(2), 2));
	ASSERT_TRUE(deployment.all_done(2));
	EXPECT_EQ(2, deployment.platform.run_checker.starts);
}

/* Guards against a shutdown that exceeds the platform's grace time or ends with
 * an error. */
TEST(PlatformSystem, StopsWithinTheGraceTime)
{
	Deployment deployment;
	int status = 0;
	int64_t start_ms;

	ASSERT_TRUE(deployment.platform.start(1, 200));
	deployment.configure();
	deployment.spawn();
	ASSERT_TRUE(deployment.ready(0));
	start_ms = Emulator::now_ms();
	::kill(deployment.pids[0], SIGTERM);
	EXPECT_EQ(503,
	    deployment.wait([&] {
		    return deployment.call(deployment.ready_addresses[0],
			       "/camphorworks/ready", "") == 503;
	    })
		? 503
		: 0);
	waitpid(deployment.pids[0], &status, 0);
	deployment.pids[0] = 0;
	EXPECT_EQ(0, status);
	EXPECT_LT(Emulator::now_ms() - start_ms, 5500);
}

/* Guards against serving a removed key and rejecting an added one. */
TEST(PlatformSystem, OldConfigurationIsNotActedOn)
{
	Deployment deployment;
	const char *other = "Authorization: Bearer other";
	auto status = [&](const char *key) {
		return deployment.call(deployment.front_addresses[0],
		    "/jobs/" + job(1), "{}", nullptr, key);
	};

	ASSERT_TRUE(deployment.platform.start(1, 200));
	deployment.configure();
	deployment.spawn();
	ASSERT_TRUE(deployment.ready(0));
	EXPECT_EQ(401, status(other));
	deployment.platform.config_silent = true;
	deployment.configure(",\"other\"");
	EXPECT_TRUE(deployment.wait([&] {
		return status(other) == 503;
	}));
	EXPECT_EQ(503, status("Authorization: Bearer key"));
	deployment.platform.config_silent = false;
	EXPECT_TRUE(deployment.wait([&] {
		return status(other) == 400;
	}));
	EXPECT_EQ(400, status("Authorization: Bearer key"));
}

/* Returns the entry of a worker on a port, with one member replaced. The worker
 * would be preferred to others: it has one accelerator. */
static std::string
odd_entry(int port, const std::string &name, const std::string &value)
{
	std::map<std::string, std::string> members = {
	    {"Service", "\"pool\""},
	    {"Address", "\"127.0.0.1:" + std::to_string(port) + "\""},
	    {"Zone", "\"z\""},
	    {"State", "\"ready\""},
	    {"Capacity", "{\"Cpu\":64000,\"MemMb\":64000,\"Gpu\":1}"},
	    {"Labels", "[\"a\",\"r1-9\"]"},
	    {"ClockMs", "1000"},
	    {"born", "1000"},
	};
	std::string text;

	members[name] = value;
	for (const auto &member : members)
		text += (text.empty() ? "{\"" : ",\"") + member.first +
		    "\":" + member.second;
	return text + "}";
}

/* Publishes entries that name no worker to use: of workers at an address where
 * nothing listens, and in place of that of worker 3, which answers. */
static void
put_odd_entries(Deployment &deployment)
{
	static const std::pair<const char *, const char *> members[] = {
	    {"Capacity", "{\"Cpu\":-1,\"MemMb\":64000,\"Gpu\":1}"},
	    {"Capacity", "{\"Cpu\":1e300,\"MemMb\":64000,\"Gpu\":1}"},
	    {"Capacity", "{\"Cpu\":64000,\"MemMb\":4294967297000,\"Gpu\":1}"},
	    {"Capacity", "{\"Cpu\":64000,\"MemMb\":64000,\"Gpu\":\"1\"}"},
	    {"Capacity",
		"{\"Cpu\":99999999999999999999,\"MemMb\":1,\"Gpu\":1}"},
	    {"born", "-5"},
	    {"born", "-9223372036854775808"},
	    {"born", "1e300"},
	    {"born", "9223372036854775807"},
	    {"ClockMs", "9223372036854775807"},
	    {"RemainingMs", "-1"},
	    {"Address", "\"\""},
	    {"Address", "\"127.0.0.1\""},
	    {"Address", "\"127.0.0.1:0\""},
	    {"Address", "\"127.0.0.1:65536\""},
	    {"Address", "\"127.0.0.1:99999999999999999999\""},
	    {"Address", "\"127.0.0.1:1/x?y#z\""},
	};
	std::lock_guard<std::mutex> guard(deployment.platform.lock);
	Emulator &platform = deployment.platform;
	int port = platform.port + Emulator::PORTS / 2 - 1;
	int n = 0;

	for (const auto &member : members)
		platform.put("keyed.servers", "i-a" + std::to_string(n++),
		    odd_entry(port, member.first, member.second));
	for (size_t depth : {100, 2000, 10000, 100000}) {
		std::string deep =
		    std::string(depth, '[') + std::string(depth, ']');

		platform.put(
		    "keyed.servers", "i-a" + std::to_string(n++), deep);
		platform.put("keyed.servers", "i-a" + std::to_string(n++),
		    odd_entry(port, "Labels", deep));
	}
	platform.put("keyed.servers", "i-a" + std::to_string(n++), "\xff\xfe{");
	for (const std::string &key :
	    {std::string("i-0\0x", 5), std::string("i-1 b"),
		std::string("i-1&After=~"), std::string("i-1#%zz\xc3\xa9"),
		std::string("i-1?/.."), std::string("i-1\r\n"),
		"i-1" + std::string(200, 'x'), std::string("~~")})
		platform.put(
		    "keyed.servers", key, odd_entry(port, "Zone", "\"z\""));
	platform.put(
	    "keyed.servers", "i-3", odd_entry(platform.port + 4, "born", "-5"));
}

/* Guards against one odd entry of another writer that ends the daemons, stops
 * them from following the workers, or gets jobs stuck; both as a new record and
 * in a snapshot. */
TEST(PlatformSystem, OddEntriesOfWorkersAreIgnored)
{
	Deployment deployment;

	ASSERT_TRUE(deployment.platform.start(4, 300));
	deployment.platform.page_items = 1;
	put_odd_entries(deployment);
	deployment.configure();
	for (int i = 0; i < 2; i++)
		deployment.spawn();
	for (size_t i = 0; i < 2; i++)
		ASSERT_TRUE(deployment.ready(i));
	for (int round = 0; round < 3; round++) {
		for (int i = 0; i < 4; i++)
			ASSERT_EQ(200,
			    deployment.submit(
				(size_t)i % 2, job(4 * round + i), 4));
		put_odd_entries(deployment);
		ASSERT_TRUE(deployment.all_done((size_t)round * 16 + 16));
		for (size_t i = 0; i < 2; i++) {
			ASSERT_EQ(
			    0, waitpid(deployment.pids[i], nullptr, WNOHANG));
			if (round == 1) {
				deployment.kill(i);
				deployment.run(i);
				ASSERT_TRUE(deployment.ready(i));
			}
		}
	}
	EXPECT_EQ(48, deployment.platform.run_checker.starts);
	EXPECT_EQ(0, deployment.platform.run_checker.concurrent_runs);
	EXPECT_EQ(0, deployment.platform.run_checker.unpreventable);
	EXPECT_EQ(0, deployment.platform.run_checker.capacity_violations);
}

/* Publishes 800 entries that name no worker to use: unreadable ones, ones with
 * a member out of range, workers at an address where nothing listens, and
 * workers at the address of another one. */
static void
put_many_odd_entries(Deployment &deployment, int round)
{
	std::lock_guard<std::mutex> guard(deployment.platform.lock);
	Emulator &platform = deployment.platform;
	int dead_port = platform.port + Emulator::PORTS / 2 - 1;
	std::string born = std::to_string(1000 + round);

	for (int i = 0; i < 200; i++) {
		std::string n = std::to_string(i);

		platform.put(
		    "keyed.servers", "i-0a" + n, "{" + std::string(2000, '['));
		platform.put("keyed.servers", "i-0b" + n,
		    odd_entry(dead_port, "born", "-5"));
		platform.put("keyed.servers", "i-0c" + n,
		    odd_entry(dead_port, "born", born));
		platform.put("keyed.servers", "i-0d" + n,
		    odd_entry(platform.port + 1 + i % 4, "born", born));
	}
}

/* Guards against hundreds of odd entries that end the daemons, hold up the
 * workers and the jobs, or fill the log; both as records and in a snapshot. */
TEST(PlatformSystem, ManyOddEntriesHoldUpNothing)
{
	enum {
		LINES_PER_S_MAX = 40 /* of each event */
	};
	Deployment deployment;
	std::map<std::string, int> lines;
	std::string line;
	int64_t start_ms = Emulator::now_ms();

	ASSERT_TRUE(deployment.platform.start(4, 300));
	put_many_odd_entries(deployment, 0);
	deployment.configure();
	deployment.spawn();
	ASSERT_TRUE(deployment.ready(0));
	for (int round = 0; round < 4; round++) {
		for (int i = 0; i < 4; i++)
			ASSERT_EQ(
			    200, deployment.submit(0, job(4 * round + i), 4));
		for (int i = 0; i < 20; i++)
			put_many_odd_entries(deployment, 20 * round + i);
		ASSERT_TRUE(deployment.all_done((size_t)round * 16 + 16));
		ASSERT_EQ(0, waitpid(deployment.pids[0], nullptr, WNOHANG));
		if (round == 1) {
			deployment.kill(0);
			deployment.run(0);
			ASSERT_TRUE(deployment.ready(0));
		}
	}
	EXPECT_EQ(64, deployment.platform.run_checker.starts);
	EXPECT_EQ(0, deployment.platform.run_checker.concurrent_runs);
	EXPECT_EQ(0, deployment.platform.run_checker.capacity_violations);
	int64_t seconds = (Emulator::now_ms() - start_ms) / 1000 + 2;
	std::ifstream log(deployment.folder + "/log");
	while (std::getline(log, line)) {
		size_t at = line.find("\"event\":");

		if (at != std::string::npos)
			lines[line.substr(at, 14)]++;
	}
	EXPECT_FALSE(lines.empty());
	for (const auto &event : lines)
		EXPECT_LE(event.second, seconds * LINES_PER_S_MAX)
		    << event.first;
}

/* Guards against a record of the largest size, which another writer may append,
 * that no read returns and behind which nothing is read. */
TEST(PlatformSystem, LargestRecordHoldsUpNoOther)
{
	static const size_t RECORD_BYTES = 262144;
	Deployment deployment;

	ASSERT_TRUE(deployment.platform.start(1, 200));
	deployment.platform.set_room(0, {0, 0, 0});
	deployment.configure();
	deployment.spawn();
	ASSERT_TRUE(deployment.ready(0));
	{
		std::lock_guard<std::mutex> guard(deployment.platform.lock);

		deployment.platform.put("keyed.servers", "i-a",
		    std::string(RECORD_BYTES - 1 - 3, 'x'));
	}
	deployment.platform.set_room(0, {64000, 64000, 8});
	ASSERT_EQ(200, deployment.submit(0, job(1), 4));
	EXPECT_TRUE(deployment.all_done(4));
}

/* Guards against a job that ends the daemon: on x86-64, the threads of the HTTP
 * server have 100 KiB of stack. */
TEST(PlatformSystem, DeeplyNestedJobsAreRejected)
{
	Deployment deployment;

	ASSERT_TRUE(deployment.platform.start(1, 200));
	deployment.configure();
	deployment.spawn();
	ASSERT_TRUE(deployment.ready(0));
	for (size_t depth : {100, 2000, 10000}) {
		std::string body;

		for (size_t i = 0; i < depth; i++)
			body += "{\"a\":";
		body += "0" + std::string(depth, '}');
		EXPECT_EQ(400,
		    deployment.call(deployment.front_addresses[0],
			"/jobs/" + job(1), body));
	}
	EXPECT_EQ(0, waitpid(deployment.pids[0], nullptr, WNOHANG));
	EXPECT_EQ(200, deployment.submit(0, job(1), 2));
	EXPECT_TRUE(deployment.all_done(2));
}

/* Guards against a worker whose list of runs cannot be read and that holds up
 * the others, and against two runs of its tasks. */
TEST(PlatformSystem, WorkerWithUnreadableListHoldsUpNoOther)
{
	Deployment deployment;

	ASSERT_TRUE(deployment.platform.start(3, 1500));
	deployment.configure();
	deployment.spawn();
	ASSERT_TRUE(deployment.ready(0));
	for (int i = 0; i < 3; i++)
		ASSERT_EQ(200, deployment.submit(0, job(i), 4));
	ASSERT_TRUE(deployment.wait([&] {
		std::lock_guard<std::mutex> guard(deployment.platform.lock);

		return deployment.platform.run_checker.starts >= 12;
	}));
	deployment.platform.odd_list = 0;
	for (int i = 3; i < 6; i++)
		ASSERT_EQ(200, deployment.submit(0, job(i), 4));
	ASSERT_TRUE(deployment.all_done(24));
	deployment.platform.odd_list = -1;
	for (int i = 6; i < 9; i++)
		ASSERT_EQ(200, deployment.submit(0, job(i), 4));
	ASSERT_TRUE(deployment.all_done(36));
	EXPECT_EQ(0, waitpid(deployment.pids[0], nullptr, WNOHANG));
	EXPECT_EQ(0, deployment.platform.run_checker.concurrent_runs);
	EXPECT_EQ(0, deployment.platform.run_checker.unpreventable);
	EXPECT_EQ(0, deployment.platform.run_checker.starts_after_done);
}

/* Guards against accepted jobs that wait for a worker whose list has one row
 * that cannot be read: of a run that goes on, or of an end. */
TEST(PlatformSystem, OneRowThatCannotBeReadHoldsUpNoOtherRun)
{
	Deployment deployment;

	ASSERT_TRUE(deployment.platform.start(2, 300));
	{
		std::lock_guard<std::mutex> guard(deployment.platform.lock);

		deployment.platform.workers[0].garbled_runs = {job(0)};
		deployment.platform.workers[0].job_work_ms[job(0)] = 60000;
		deployment.platform.workers[1].garbled_runs = {job(1)};
		deployment.platform.workers[1].job_work_ms[job(1)] = 60000;
		for (SimWorker &worker : deployment.platform.workers)
			worker.garbled_ends = {job(2)};
	}
	deployment.configure();
	deployment.spawn();
	ASSERT_TRUE(deployment.ready(0));
	for (int i = 0; i < 2; i++)
		ASSERT_EQ(200, deployment.submit(0, job(i), 1));
	for (int i = 2; i < 4; i++)
		ASSERT_EQ(200, deployment.submit(0, job(i), 3));
	EXPECT_TRUE(deployment.wait([&] {
		return deployment.job_state(0, job(3)) == "completed";
	}));
	std::lock_guard<std::mutex> guard(deployment.platform.lock);
	EXPECT_EQ(0, deployment.platform.run_checker.concurrent_runs);
	EXPECT_EQ(0, deployment.platform.run_checker.starts_after_done);
}

/* Guards against a VM that serves an older configuration after it could not
 * apply the newest one, and against one that starts then and is not ready
 * without telling why. */
TEST(PlatformSystem, VmsSayThatTheNewestConfigurationIsNotInForce)
{
	Deployment deployment;
	auto shows = [&](size_t n, const std::string &line) {
		std::string address = deployment.ready_addresses[n];
		size_t colon = address.rfind(':');
		int port = std::stoi(address.substr(colon + 1)) + 1;
		std::string answer;

		deployment.call("127.0.0.1:" + std::to_string(port), "/metrics",
		    "", &answer);
		return answer.find("\n" + line + "\n") != std::string::npos;
	};
	auto is_behind = [&](size_t n) {
		std::string answer;

		return deployment.call(deployment.ready_addresses[n],
			   "/camphorworks/ready", "", &answer) == 503 &&
		    answer.find("newest configuration") != std::string::npos;
	};

	ASSERT_TRUE(deployment.platform.start(1, 200));
	deployment.configure();
	deployment.spawn();
	ASSERT_TRUE(deployment.ready(0));
	EXPECT_EQ(200, deployment.submit(0, job(0), 1));
	{
		std::lock_guard<std::mutex> guard(deployment.platform.lock);

		deployment.platform.put("keyed.op", "config",
		    "{\"Version\":" + std::to_string(++deployment.version) +
			",\"Routes\":[{\"Name\":5}]}");
	}
	deployment.spawn();
	for (size_t n = 0; n < 2; n++) {
		ASSERT_TRUE(deployment.wait([&] {
			return is_behind(n);
		})) << n;
		EXPECT_EQ(503, deployment.submit(n, job(1), 1));
		EXPECT_TRUE(shows(n, "camphor_config_in_force 0"));
		EXPECT_TRUE(shows(n, "camphor_config_refused 1"));
		EXPECT_TRUE(shows(n, "camphor_config_refused_version 2"));
		EXPECT_TRUE(shows(n,
		    "camphor_config_version " +
			std::to_string(n == 0 ? 1 : 0)));
		EXPECT_TRUE(shows(n, "camphor_ready 0"));
	}
	deployment.configure();
	for (size_t n = 0; n < 2; n++) {
		ASSERT_TRUE(deployment.ready(n)) << n;
		EXPECT_EQ(200, deployment.submit(n, job(2 + (int)n), 1));
		EXPECT_TRUE(shows(n, "camphor_config_in_force 1"));
		EXPECT_TRUE(shows(n, "camphor_config_refused 0"));
		EXPECT_TRUE(shows(n, "camphor_ready 1"));
	}
	EXPECT_TRUE(deployment.all_done(3));
}

/* Guards against texts that are turned away, with all that came with them,
 * because of their length: names of a configuration, names and labels of
 * workers, labels of jobs, checkpoints. */
TEST(PlatformSystem, TextsOfAnyLengthAreServed)
{
	const std::string prefix = "/" + std::string(300, 'p') + "/";
	const std::string tenant(58, 't');
	Deployment deployment;
	Emulator &platform = deployment.platform;

	platform.name_bytes = 250;
	platform.label_bytes = 300;
	platform.checkpoint_bytes = 20000;
	ASSERT_TRUE(platform.start(2, 6000));
	{
		std::lock_guard<std::mutex> guard(platform.lock);

		platform.put("keyed.op", "config",
		    "{\"Version\":1,\"Routes\":[{\"Name\":\"" +
			std::string(90, 'q') +
			"\",\"Host\":\"h.example\",\"PathPrefix\":\"" + prefix +
			"\",\"Service\":\"pool\",\"Priority\":1,"
			"\"MaxAttempts\":3,\"Stretch\":3,"
			"\"TargetLatencyMs\":1000}],\"Services\":[{\"Name\":"
			"\"pool\"}],\"Tenants\":[{\"Name\":\"" +
			tenant + "\",\"ApiKeys\":[\"" + std::string(900, 'k') +
			"\"]}]}");
	}
	deployment.spawn();
	ASSERT_TRUE(deployment.ready(0));
	const std::string key =
	    "Authorization: Bearer " + std::string(900, 'k');
	const std::string body = "{\"Spec\":\"s\",\"Steps\":[{\"Count\":8,"
				 "\"Cpu\":1000,\"MemMb\":100,\"Gpu\":1,"
				 "\"EstimateMs\":3000,\"Checkpointing\":true,"
				 "\"Requirements\":\"" +
	    filled("a", 300) + "\"}]}";
	EXPECT_EQ(401,
	    deployment.call(
		deployment.front_addresses[0], prefix + job(1), body));
	ASSERT_EQ(200,
	    deployment.call(deployment.front_addresses[0], prefix + job(1),
		body, nullptr, key.c_str()));
	/* A worker whose checkpoints the placer has read crashes. */
	ASSERT_TRUE(deployment.wait([&] {
		std::lock_guard<std::mutex> guard(platform.lock);

		for (SimWorker &worker : platform.workers)
			if (worker.checkpoint_is_read && !worker.runs.empty()) {
				worker.crash(Emulator::now_ms());
				return true;
			}
		return false;
	}));
	ASSERT_TRUE(deployment.all_done(8));
	std::lock_guard<std::mutex> guard(platform.lock);
	EXPECT_FALSE(platform.run_checker.resumed.empty());
	EXPECT_EQ(0, platform.run_checker.odd_checkpoints);
	EXPECT_EQ(0, platform.run_checker.concurrent_runs);
}

/* Guards against a record that no read returns, as it is larger than what the
 * reads ask for: the platform's settings name the largest one. */
TEST(PlatformSystem, RecordsOfTheSizeInTheSettingsAreRead)
{
	Deployment deployment;
	const std::string name(600000, 'n');

	deployment.store_settings = ",\"RecordBytes\":1048576";
	ASSERT_TRUE(deployment.platform.start(1, 200));
	deployment.configure();
	deployment.spawn();
	ASSERT_TRUE(deployment.ready(0));
	{
		std::lock_guard<std::mutex> guard(deployment.platform.lock);

		deployment.platform.put("keyed.op", "config",
		    "{\"Version\":" + std::to_string(++deployment.version) +
			",\"Routes\":[{\"Name\":\"q\",\"Host\":\"h.example\","
			"\"PathPrefix\":\"/large/\",\"Service\":\"pool\"}],"
			"\"Tenants\":[{\"Name\":\"" +
			name + "\",\"ApiKeys\":[\"key\"]}]}");
	}
	EXPECT_TRUE(deployment.wait([&] {
		return deployment.call(deployment.front_addresses[0],
			   "/large/" + job(1),
			   "{\"Steps\":[{\"Count\":1,\"Cpu\":1000}]}") == 200;
	}));
	EXPECT_TRUE(deployment.all_done(1));
}

/* Guards against an overload in which every job is accepted, and against a VM
 * that does not show by which numbers it rejects: one worker is given jobs for
 * minutes. The rejected one must not be stored. */
TEST(PlatformSystem, JobsThatWouldBeTooLateAreRejected)
{
	Deployment deployment;
	int submitted = 0;
	auto get = [&](const std::string &path) {
		std::string address = deployment.ready_addresses[0];
		size_t colon = address.rfind(':');
		int port = std::stoi(address.substr(colon + 1)) + 1;
		std::string answer;

		EXPECT_EQ(200,
		    deployment.call("127.0.0.1:" + std::to_string(port), path,
			"", &answer));
		return answer;
	};

	ASSERT_TRUE(deployment.platform.start(1, 200));
	deployment.configure();
	deployment.spawn();
	ASSERT_TRUE(deployment.ready(0));
	EXPECT_EQ("{}", get("/ledger"));
	ASSERT_TRUE(deployment.wait([&] {
		return deployment.submit(
			   0, job(submitted++), 40, {1000, 100, 8}) == 503;
	}));
	EXPECT_NE(std::string::npos, get("/ledger").find("\"Services\":[{"));
	std::string metrics = get("/metrics");

	EXPECT_NE(std::string::npos,
	    metrics.find("camphor_admission_total{verdict=\"rejected\","
			 "reason=\"accels\"} 1\n"));
	EXPECT_NE(std::string::npos, metrics.find("camphor_ready 1\n"));
	EXPECT_EQ("", deployment.job_state(0, job(submitted - 1)));
	EXPECT_NE("", deployment.job_state(0, job(submitted - 2)));
}
