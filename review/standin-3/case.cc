#include "harness.h"

/* The cases of this review that need processes. Each returns whether the rule
 * held. Usage: case NUMBER RECORD; TROUBLE=0 leaves the disruption out. */

static const char job_id[] = "5c0e7a21d94b36f8";

/* The store carries appends out late, without an answer. Stands before the
 * handler of the platform. */
struct LateStore {
	static constexpr int64_t LATE_MS = 6000;

	Harness *h = nullptr;
	std::atomic<bool> losing{false};
	std::atomic<int> writes{0}; /* while it is losing */
	std::atomic<int> lost{0};

	static bool
	is_new_job(const std::string &topic, const std::string &epoch,
	    const std::string &body)
	{
		return topic == "keyed.jobs" && epoch.empty() &&
		    body.compare(5, 2, "j/") == 0;
	}

	static int
	handle(struct mg_connection *connection, void *ctx)
	{
		LateStore *store = (LateStore *)ctx;
		Harness *h = store->h;
		const struct mg_request_info *info =
		    mg_get_request_info(connection);
		std::string path = info->local_uri;
		bool is_append = path == "/camphorworks/log-append";
		bool is_join = path == "/camphorworks/log-join";

		if (!store->losing || (!is_append && !is_join))
			return Emulator::handle(connection, &h->platform);
		store->writes++;
		if (is_join)
			return Emulator::handle(connection, &h->platform);
		std::string body = Emulator::read_body(connection);
		std::string topic = Emulator::query(info, "Topic");

		if (!is_new_job(topic, Emulator::query(info, "epoch"), body)) {
			h->platform.serve_append(connection, info, body);
			return 1;
		}
		store->lost++;
		h->note("store: an append of a job gets no answer");
		std::thread([h, topic, body] {
			Harness::sleep_ms(LATE_MS);
			if (h->ending)
				return;
			std::lock_guard<std::mutex> guard(h->platform.lock);
			uint64_t end;

			h->note("store: carries that append out");
			h->platform.topics[topic].append(
			    Emulator::parse_records(body), 0, 0, &end);
			h->platform.log_changed.notify_all();
		}).detach();
		Harness::sleep_ms(1500);
		mg_close_connection(connection);
		return 1;
	}
};

/* A caller whose submission was not answered cancels its job. */
static bool
cancelled_job_starts(Harness &h, bool trouble)
{
	static LateStore store;
	const int64_t cancel_ms = 3000, stop_ms = 200, contact_ms = 4000;
	const std::string task = std::string(job_id) + ".0.0.0";
	const std::string path = std::string("/jobs/") + job_id;
	std::atomic<int64_t> started_ms{0};
	std::atomic<int64_t> ended_ms{0};
	int64_t loss_end_ms = 0;
	int64_t cancelled_ms = 0;
	bool held = true;
	int status;

	store.h = &h;
	h.start_platform(6, 20000);
	mg_set_request_handler(
	    h.platform.context, "/", LateStore::handle, &store);
	auto observer = h.platform.run_checker.observer;
	h.platform.run_checker.observer = [&](const char *what,
					      const std::string &name,
					      uint32_t run, const void *at) {
		observer(what, name, run, at);
		if (strcmp(what, "end") == 0)
			ended_ms = h.elapsed_ms();
		else
			started_ms = h.elapsed_ms();
	};
	h.configure();
	for (int n = 0; n < 3; n++)
		h.spawn_daemon();
	for (size_t n = 0; n < 3; n++)
		h.wait_ready(n);
	Harness::sleep_ms(4000);
	std::thread losses([&] {
		if (!trouble)
			return;
		h.note("store: loses appends from now on");
		store.losing = true;
		Harness::sleep_ms(2600);
		store.losing = false;
		loss_end_ms = h.elapsed_ms();
		h.note("store: answers again; %d of %d writes were lost",
		    store.lost.load(), store.writes.load());
	});
	Harness::sleep_ms(1000);
	status = Harness::call(h.fronts[0], "POST", path,
	    "{\"Spec\":\"s\",\"Steps\":[{\"Count\":1,\"Cpu\":4000,"
	    "\"MemMb\":1000,\"Gpu\":1,\"EstimateMs\":20000}]}");
	h.note("client: POST %s at daemon 0 -> %d", job_id, status);
	for (size_t n = 1; cancelled_ms == 0; n++) {
		status = Harness::call(h.fronts[n % 3], "DELETE", path, "");
		h.note("client: DELETE %s at daemon %zu -> %d", job_id, n % 3,
		    status);
		if (status / 100 == 2 || status == 410)
			cancelled_ms = h.elapsed_ms();
		else if (n > 20)
			h.die("the cancellation is not acknowledged");
	}
	losses.join();
	Harness::sleep_ms(9000);
	for (size_t n = 0; n < 3; n++) {
		std::string now = h.state(n, job_id, &status);

		h.note("client: GET %s at daemon %zu -> %d %s", job_id, n,
		    status, now.c_str());
	}
	if (started_ms > cancelled_ms + cancel_ms) {
		h.note("a task was started %lld ms after the cancellation was "
		       "acknowledged, %lld ms after the store was sound again",
		    (long long)(started_ms - cancelled_ms),
		    (long long)(started_ms - loss_end_ms));
		held = started_ms <= loss_end_ms + contact_ms;
	}
	if (started_ms != 0 && started_ms <= cancelled_ms &&
	    (ended_ms < started_ms ||
		ended_ms > cancelled_ms + cancel_ms + stop_ms)) {
		h.note("a task ran on after the cancellation");
		held = false;
	}
	return held;
}

/* Sends a request and leaves after leave_ms without waiting for the answer. */
static void
send_and_leave(
    const std::string &address, const std::string &request, int64_t leave_ms)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in to = {};

	to.sin_family = AF_INET;
	to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	to.sin_port =
	    htons((uint16_t)atoi(address.c_str() + address.rfind(':') + 1));
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) == 0)
		(void)!send(fd, request.data(), request.size(), MSG_NOSIGNAL);
	Harness::sleep_ms(leave_ms);
	close(fd);
}

/* A daemon is frozen with a submission; its caller leaves and cancels. */
static bool
frozen_daemon_submits(Harness &h, bool trouble)
{
	const int64_t cancel_ms = 3000, stop_ms = 200;
	const int64_t leave_ms = 200, freeze_ms = 3500;
	const std::string task = std::string(job_id) + ".0.0.0";
	const std::string path = std::string("/jobs/") + job_id;
	const std::string body =
	    "{\"Spec\":\"s\",\"Steps\":[{\"Count\":1,\"Cpu\":4000,"
	    "\"MemMb\":1000,\"Gpu\":1,\"EstimateMs\":20000}]}";
	std::atomic<int64_t> started_ms{0};
	std::atomic<int64_t> ended_ms{0};
	int64_t cancelled_ms = 0;
	const size_t daemons = 8;
	size_t frozen = 0;
	bool held = true;
	int status = 0;

	h.start_platform(6, 20000);
	auto observer = h.platform.run_checker.observer;
	h.platform.run_checker.observer = [&](const char *what,
					      const std::string &name,
					      uint32_t run, const void *at) {
		observer(what, name, run, at);
		if (strcmp(what, "end") == 0)
			ended_ms = h.elapsed_ms();
		else
			started_ms = h.elapsed_ms();
	};
	h.configure();
	for (size_t n = 0; n < daemons; n++)
		h.spawn_daemon();
	for (size_t n = 0; n < daemons; n++)
		h.wait_ready(n);
	Harness::sleep_ms(4500);
	{
		std::lock_guard<std::mutex> guard(h.platform.lock);

		/* Not the one that gives the orders. */
		if (h.platform.group.owner.compare(0, 9, "front-z-0") == 0)
			frozen = 1;
		h.note("placer: %s", h.platform.group.owner.c_str());
	}
	if (trouble) {
		h.note("daemon %zu is frozen", frozen);
		::kill(h.pids[frozen], SIGSTOP);
	}
	std::thread thaw([&] {
		Harness::sleep_ms(freeze_ms);
		if (!trouble)
			return;
		h.note("daemon %zu goes on", frozen);
		::kill(h.pids[frozen], SIGCONT);
	});
	h.note("client: POST %s at daemon %zu, leaves after %lld ms", job_id,
	    frozen, (long long)leave_ms);
	send_and_leave(h.fronts[frozen],
	    "POST " + path +
		" HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key"
		"\r\nContent-Type: application/json\r\n"
		"Camphorworks-Request-Deadline: 3000\r\nContent-Length: " +
		std::to_string(body.size()) + "\r\n\r\n" + body,
	    leave_ms);
	for (size_t n = frozen + 1; cancelled_ms == 0; n++) {
		if (n % daemons == frozen)
			continue;
		status =
		    Harness::call(h.fronts[n % daemons], "DELETE", path, "");
		h.note("client: DELETE %s at daemon %zu -> %d", job_id,
		    n % daemons, status);
		if (status / 100 == 2 || status == 410)
			cancelled_ms = h.elapsed_ms();
		else if (n > 20)
			h.die("the cancellation is not acknowledged");
	}
	thaw.join();
	Harness::sleep_ms(12000);
	for (size_t n = 0; n < daemons; n++) {
		std::string now = h.state(n, job_id, &status);

		h.note("client: GET %s at daemon %zu -> %d %s", job_id, n,
		    status, now.c_str());
	}
	if (started_ms > cancelled_ms + cancel_ms) {
		h.note("a task was started %lld ms after the cancellation was "
		       "acknowledged",
		    (long long)(started_ms - cancelled_ms));
		held = false;
	}
	if (started_ms != 0 && started_ms <= cancelled_ms + cancel_ms &&
	    (ended_ms < started_ms ||
		ended_ms > cancelled_ms + cancel_ms + stop_ms)) {
		h.note("a task ran on after the cancellation");
		held = false;
	}
	return held;
}

/* The store keeps KEEP_MS of its history, and one daemon, which uses its
 * address 127.0.0.2, can be cut off from it. Stands before the handler of the
 * platform. */
struct CutStore {
	static constexpr int64_t KEEP_MS = 20000;

	Harness *h = nullptr;
	std::atomic<bool> cut{false};
	/* By topic: time and end of the log, once a second. */
	std::map<std::string, std::vector<std::pair<int64_t, uint64_t>>> ends;

	static int
	handle(struct mg_connection *connection, void *ctx)
	{
		CutStore *store = (CutStore *)ctx;
		const char *host = mg_get_header(connection, "Host");

		if (host == nullptr || strncmp(host, "127.0.0.2", 9) != 0 ||
		    !store->cut)
			return Emulator::handle(
			    connection, &store->h->platform);
		/* Longer than any call of the daemon lasts. */
		Harness::sleep_ms(2100);
		mg_close_connection(connection);
		return 1;
	}

	/* Drops the records that are older than KEEP_MS. The newest one of each
	 * key stays in snapshots. */
	static void
	drop(SimLog &log, uint64_t first)
	{
		size_t count = (size_t)(first - log.first);

		for (size_t i = 0; i < count; i++) {
			const SimRecord &row = log.records[i];

			if (row.value.empty())
				log.kept.erase(row.key);
			else
				log.kept[row.key] = {log.first + i, row.value};
		}
		log.records.erase(log.records.begin(),
		    log.records.begin() + (std::ptrdiff_t)count);
		log.first = first;
	}

	/* Call once a second. */
	void
	expire()
	{
		std::lock_guard<std::mutex> guard(h->platform.lock);
		int64_t now_ms = Emulator::now_ms();

		for (auto &topic : h->platform.topics) {
			auto &marks = ends[topic.first];

			marks.push_back({now_ms, topic.second.end()});
			while (now_ms - marks.front().first > KEEP_MS) {
				if (marks.front().second > topic.second.first)
					drop(
					    topic.second, marks.front().second);
				marks.erase(marks.begin());
			}
		}
	}
};

/* A daemon is without the store until a job that it knows was deleted, and
 * then gets the placing duty. */
static bool
deleted_job_runs_again(Harness &h, bool trouble)
{
	static CutStore store;
	const std::string task = std::string(job_id) + ".0.0.0";
	std::atomic<bool> watching{true};
	std::atomic<int64_t> ended_ms{0};
	std::atomic<int> late_starts{0};
	int status = 0;

	store.h = &h;
	h.status_s = 5;
	h.start_platform(6, 3000);
	mg_set_request_handler(
	    h.platform.context, "/", CutStore::handle, &store);
	auto observer = h.platform.run_checker.observer;
	h.platform.run_checker.observer = [&](const char *what,
					      const std::string &name,
					      uint32_t run, const void *at) {
		observer(what, name, run, at);
		if (strcmp(what, "acknowledged") == 0)
			ended_ms = h.elapsed_ms();
		else if (strcmp(what, "start") == 0 && ended_ms != 0)
			late_starts++;
	};
	std::thread history([&] {
		while (watching) {
			Harness::sleep_ms(1000);
			store.expire();
		}
	});
	h.configure();
	for (int n = 0; n < 2; n++)
		h.spawn_daemon();
	for (size_t n = 0; n < 2; n++)
		h.wait_ready(n);
	h.spawn_daemon("127.0.0.2:" + std::to_string(h.platform.port));
	h.wait_ready(2);
	if (h.submit(job_id,
		"{\"Spec\":\"s\",\"Steps\":[{\"Count\":1,\"Cpu\":4000,"
		"\"MemMb\":1000,\"Gpu\":1,\"EstimateMs\":3000}]}") /
		100 !=
	    2)
		h.die("the job was not accepted");
	h.note("client: GET %s at daemon 2 -> %s", job_id,
	    h.state(2, job_id).c_str());
	if (trouble) {
		h.note("daemon 2 is cut off from the store");
		store.cut = true;
	}
	for (std::string now; now != "completed"; Harness::sleep_ms(100)) {
		now = h.state(0, job_id);
		if (h.elapsed_ms() > 15000)
			h.die("the job is not completed");
	}
	h.note("client: GET %s at daemon 0 -> completed", job_id);
	for (; status != 410; Harness::sleep_ms(500)) {
		h.state(0, job_id, &status);
		if (h.elapsed_ms() > 85000)
			h.die("the job is not deleted");
	}
	h.note("client: GET %s at daemon 0 -> 410, after status_s", job_id);
	store.cut = false;
	h.note("daemon 2 reaches the store again");
	h.wait_ready(2);
	std::string shown = h.state(2, job_id, &status);

	h.note("client: GET %s at daemon 2 -> %d %s", job_id, status,
	    shown.c_str());
	Harness::sleep_ms(2000);
	for (size_t n = 0; n < 2; n++) {
		h.note("daemon %zu gets SIGTERM", n);
		::kill(h.pids[n], SIGTERM);
	}
	Harness::sleep_ms(12000);
	for (size_t n = 0; n < 2; n++)
		h.kill_daemon(n);
	shown = h.state(2, job_id, &status);
	h.note("client: GET %s at daemon 2 -> %d %s", job_id, status,
	    shown.c_str());
	watching = false;
	history.join();
	h.note("%d starts after the end `done` was taken note of",
	    late_starts.load());
	return late_starts == 0;
}

/* One start gets no answer and is carried out late, as the first order that the
 * runner's next incarnation gets. Stands before the handler of a runner. */
struct LateStart {
	Harness *h = nullptr;
	size_t runner = 0;
	std::atomic<bool> armed{false};
	std::atomic<bool> waiting{false};
	std::string body;

	static int
	handle(struct mg_connection *connection, void *ctx)
	{
		LateStart *late = (LateStart *)ctx;
		const struct mg_request_info *info =
		    mg_get_request_info(connection);

		if (strcmp(info->local_uri, "/camphorworks/run-start") != 0 ||
		    !late->armed.exchange(false))
			return Emulator::handle(connection, &late->h->platform);
		late->body = Emulator::read_body(connection);
		late->h->note(
		    "runner i-%zu: a start gets no answer", late->runner);
		late->waiting = true;
		Harness::sleep_ms(1500);
		mg_close_connection(connection);
		return 1;
	}

	/* Carries the start out. Call with the platform's lock held. */
	void
	arrive()
	{
		json_t *call = json_loads(body.c_str(), 0, nullptr);
		auto number = [call](const char *name) {
			return json_integer_value(json_object_get(call, name));
		};
		std::string reason = h->platform.workers[runner].start(
		    json_string_value(json_object_get(call, "Task")),
		    (uint32_t)number("Run"), number("UntilMs"),
		    (uint64_t)number("FencingToken"), Emulator::now_ms());

		h->note("runner i-%zu: the late start arrives: %s", runner,
		    reason.empty() ? "started" : reason.c_str());
		json_decref(call);
	}
};

/* A runner crashes with an unanswered start, and its entry is removed; it is
 * back when its task runs elsewhere. */
static bool
gone_runner_returns(Harness &h, bool trouble)
{
	static LateStart late[6];
	const int64_t down_ms = 5500;
	const std::string task = std::string(job_id) + ".0.0.0";
	std::thread crash;
	size_t at = 6;

	h.start_platform(6, 15000);
	for (size_t i = 0; i < 6; i++) {
		late[i].h = &h;
		late[i].runner = i;
		mg_set_request_handler(
		    h.runners[i], "/", LateStart::handle, &late[i]);
	}
	h.configure();
	for (int n = 0; n < 3; n++)
		h.spawn_daemon();
	for (size_t n = 0; n < 3; n++)
		h.wait_ready(n);
	Harness::sleep_ms(3000);
	/* The runner is silent for as long as it can be without being down
	 * for longer: it crashes shortly before its next heartbeat. */
	for (int64_t beat = h.last_beat_ms; beat == h.last_beat_ms;)
		Harness::sleep_ms(5);
	int64_t beat_ms = h.last_beat_ms;

	Harness::sleep_ms(220);
	for (size_t i = 0; i < 6; i++)
		late[i].armed = trouble;
	if (h.submit(job_id,
		"{\"Spec\":\"s\",\"Steps\":[{\"Count\":1,\"Cpu\":4000,"
		"\"MemMb\":1000,\"Gpu\":8,\"EstimateMs\":15000}]}") /
		100 !=
	    2)
		h.die("the job was not accepted");
	for (int i = 0; trouble && at == 6 && i < 100; i++) {
		Harness::sleep_ms(5);
		for (size_t k = 0; k < 6; k++)
			if (late[k].waiting)
				at = k;
	}
	for (size_t i = 0; i < 6; i++)
		late[i].armed = false;
	if (trouble && at == 6)
		h.die("no start was sent");
	if (trouble) {
		h.before_listen = [at] {
			late[at].arrive();
		};
		Harness::sleep_ms(beat_ms + 1400 - Emulator::now_ms());
		crash = std::thread([&] {
			h.crash_runner(at, down_ms);
		});
		Harness::sleep_ms(
		    beat_ms + 3 * Harness::HEARTBEAT_MS - Emulator::now_ms());
		std::lock_guard<std::mutex> guard(h.platform.lock);

		h.note("store: the entry of runner i-%zu is removed", at);
		h.platform.put("keyed.servers", h.platform.workers[at].id, "");
	}
	Harness::sleep_ms(12000);
	if (crash.joinable())
		crash.join();
	std::lock_guard<std::mutex> guard(h.platform.lock);

	h.note("%d times two runs of a task at the same time",
	    h.platform.run_checker.concurrent_runs);
	return h.platform.run_checker.concurrent_runs == 0;
}

/* A start is repeated after it got no answer. Its run ends, and the end is
 * acknowledged; then the runner crashes, and the first start arrives at its
 * next incarnation. */
static bool
late_start_follows_end(Harness &h, bool trouble)
{
	static LateStart late[6];
	const int64_t late_ms = 9000, down_ms = 1500;
	const std::string task = std::string(job_id) + ".0.0.0";
	std::atomic<int64_t> noted_ms{0};
	size_t at = 6;

	h.start_platform(6, 1000);
	auto observer = h.platform.run_checker.observer;
	h.platform.run_checker.observer = [&](const char *what,
					      const std::string &name,
					      uint32_t run, const void *from) {
		observer(what, name, run, from);
		if (strcmp(what, "acknowledged") == 0)
			noted_ms = h.elapsed_ms();
	};
	for (size_t i = 0; i < 6; i++) {
		late[i].h = &h;
		late[i].runner = i;
		mg_set_request_handler(
		    h.runners[i], "/", LateStart::handle, &late[i]);
	}
	h.configure();
	for (int n = 0; n < 3; n++)
		h.spawn_daemon();
	for (size_t n = 0; n < 3; n++)
		h.wait_ready(n);
	Harness::sleep_ms(3000);
	for (size_t i = 0; i < 6; i++)
		late[i].armed = trouble;
	int64_t sent_ms = h.elapsed_ms();

	if (h.submit(job_id,
		"{\"Spec\":\"s\",\"Steps\":[{\"Count\":1,\"Cpu\":4000,"
		"\"MemMb\":1000,\"Gpu\":8,\"EstimateMs\":1000}]}") /
		100 !=
	    2)
		h.die("the job was not accepted");
	for (int i = 0; trouble && at == 6 && i < 100; i++) {
		Harness::sleep_ms(5);
		for (size_t k = 0; k < 6; k++)
			if (late[k].waiting)
				at = k;
	}
	for (size_t i = 0; i < 6; i++)
		late[i].armed = false;
	if (trouble && at == 6)
		h.die("no start was sent");
	while (noted_ms == 0 && h.elapsed_ms() < sent_ms + 20000)
		Harness::sleep_ms(10);
	h.note("client: GET %s at daemon 1 -> %s", job_id,
	    h.state(1, job_id).c_str());
	if (noted_ms == 0 || noted_ms > sent_ms + late_ms - down_ms)
		h.die("the end was not taken note of in time");
	if (trouble) {
		h.before_listen = [at] {
			late[at].arrive();
		};
		Harness::sleep_ms(sent_ms + late_ms - down_ms - h.elapsed_ms());
		h.crash_runner(at, down_ms);
	}
	Harness::sleep_ms(5000);
	h.note("client: GET %s at daemon 1 -> %s", job_id,
	    h.state(1, job_id).c_str());
	std::lock_guard<std::mutex> guard(h.platform.lock);

	h.note("%d starts after the end `done` was taken note of",
	    h.platform.run_checker.starts_after_done);
	return h.platform.run_checker.starts_after_done == 0;
}

/* The starts of a task do not take effect: the runner is cut off, which resets
 * the connection, and starts again behind the cut. */
struct CutStart {
	Harness *h = nullptr;
	size_t runner = 0;
	std::atomic<int> *left = nullptr;   /* cuts still to come */
	std::atomic<int> *struck = nullptr; /* the runner that is to crash */

	static int
	handle(struct mg_connection *connection, void *ctx)
	{
		CutStart *cut = (CutStart *)ctx;
		const struct mg_request_info *info =
		    mg_get_request_info(connection);
		int none = -1;

		if (strcmp(info->local_uri, "/camphorworks/run-start") != 0 ||
		    *cut->left <= 0 ||
		    !cut->struck->compare_exchange_strong(
			none, (int)cut->runner))
			return Emulator::handle(connection, &cut->h->platform);
		--*cut->left;
		cut->h->note("runner i-%zu: a start does not take effect, the "
			     "connection is reset",
		    cut->runner);
		mg_close_connection(connection);
		return 1;
	}
};

static bool
starts_never_arrive(Harness &h, bool trouble)
{
	static CutStart cuts[6];
	std::atomic<int> left{trouble ? 4 : 0};
	std::atomic<int> struck{-1};
	std::string last;
	int crashes = 0;

	h.start_platform(6, 3000);
	for (size_t i = 0; i < 6; i++) {
		cuts[i].h = &h;
		cuts[i].runner = i;
		cuts[i].left = &left;
		cuts[i].struck = &struck;
		mg_set_request_handler(
		    h.runners[i], "/", CutStart::handle, &cuts[i]);
	}
	h.on_listen = [&](size_t i) {
		mg_set_request_handler(
		    h.runners[i], "/", CutStart::handle, &cuts[i]);
	};
	h.configure();
	for (int n = 0; n < 3; n++)
		h.spawn_daemon();
	for (size_t n = 0; n < 3; n++)
		h.wait_ready(n);
	Harness::sleep_ms(3000);
	if (h.submit(job_id,
		"{\"Spec\":\"s\",\"Steps\":[{\"Count\":1,\"Cpu\":4000,"
		"\"MemMb\":1000,\"Gpu\":8,\"EstimateMs\":3000}]}") /
		100 !=
	    2)
		h.die("the job was not accepted");
	while (h.elapsed_ms() < 70000) {
		if (struck >= 0) {
			crashes++;
			h.crash_runner((size_t)struck, 1500);
			struck = -1;
		}
		for (size_t n = 0; n < 3; n++) {
			std::string now = h.state(n, job_id);

			if (now == last || now.empty())
				continue;
			h.note("client: GET %s at daemon %zu -> %s", job_id, n,
			    now.c_str());
			last = now;
		}
		if (last == "failed" || last == "completed")
			break;
		Harness::sleep_ms(20);
	}
	if (last != "failed" && last != "completed")
		h.die("the job has no final state within 70 s");
	/* All is calm for longer than ContactMs. */
	Harness::sleep_ms(5000);
	for (size_t n = 0; n < 3; n++)
		h.note("client: GET %s at daemon %zu -> %s", job_id, n,
		    h.state(n, job_id).c_str());
	std::lock_guard<std::mutex> guard(h.platform.lock);

	h.note("%d cuts with a crash; starts that took effect: %d; ends "
	       "`failed`: 0; MaxAttempts: %d",
	    crashes, h.platform.run_checker.starts, h.attempts_max);
	return last != "failed";
}

int
main(int argc, char **argv)
{
	static const struct {
		int number;
		bool (*run)(Harness &h, bool trouble);
	} cases[] = {
	    {12, deleted_job_runs_again},
	    {13, late_start_follows_end},
	    {14, starts_never_arrive},
	    {15, frozen_daemon_submits},
	    /* Beyond the five. */
	    {16, cancelled_job_starts},
	    {17, gone_runner_returns},
	};
	const char *off = getenv("TROUBLE");
	bool trouble = off == nullptr || strcmp(off, "0") != 0;
	int number = argc > 2 ? atoi(argv[1]) : 0;

	signal(SIGPIPE, SIG_IGN);
	for (const auto &one : cases)
		if (one.number == number) {
			bool held;

			{
				Harness h(argv[2]);

				h.note("trouble: %d", trouble);
				held = one.run(h, trouble);
				h.note(held ? "the rule held"
					    : "the rule was broken");
			}
			printf(
			    "case %d: %s\n", number, held ? "held" : "broken");
			return held ? 0 : 1;
		}
	fprintf(stderr, "usage: case NUMBER RECORD\n");
	return 2;
}
