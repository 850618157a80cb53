#ifndef CAMPHOR_REVIEW_RUNNER_H
#define CAMPHOR_REVIEW_RUNNER_H

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

/* Time since the start of the script, in ms. */
inline int64_t
now_ms()
{
	static const auto start = std::chrono::steady_clock::now();

	return std::chrono::duration_cast<std::chrono::milliseconds>(
	    std::chrono::steady_clock::now() - start)
	    .count();
}

/* The record of what was sent, answered and run. */
struct Record {
	std::mutex lock;
	FILE *file = nullptr;

	void
	line(const char *format, ...) __attribute__((format(printf, 2, 3)))
	{
		std::lock_guard<std::mutex> guard(lock);
		va_list args;

		fprintf(file, "%8.3f ", (double)now_ms() / 1000);
		va_start(args, format);
		vfprintf(file, format, args);
		va_end(args);
		fputc('\n', file);
		fflush(file);
	}
};

/* Checks the rule TWICE, over all workers. Counts only starts that arrive, in
 * time, after an end `done` of the task was taken note of while the lease under
 * which it ended had not lapsed. */
struct Checker {
	std::mutex lock;
	std::map<std::string, std::string> noted;            /* task: how */
	std::map<std::string, std::set<std::string>> active; /* by task */
	int starts_after_noted = 0;
	int starts_beside_another = 0;
	int starts = 0;
	int ends_noted = 0;
};

struct HttpCall {
	std::string path;
	std::string instance;
	json_t *body = nullptr;
};

/*
 * A worker, as the platform's pages describe it. Each incarnation listens on
 * the same port under the same id, holds and knows nothing of before, and
 * counts its clock and its ends anew.
 */
struct Runner {
	struct Run {
		std::string task;
		uint32_t run;
		int64_t done_ms;
		int64_t stopped_ms; /* 0: not being stopped */
		int64_t started_ms;
	};
	struct End {
		uint64_t number;
		std::string task;
		uint32_t run;
		const char *how;
		bool lapsed; /* the lease has lapsed since */
		std::string saved;
	};

	static constexpr int64_t MAX_HOLD_MS = 6000;
	static constexpr int64_t STOP_MS = 100;

	std::string id;
	std::string version = "1";
	bool draining = false;
	int64_t work_ms = 700;        /* of a task, and up to 600 ms more */
	size_t checkpoint_digits = 0; /* 0: the tasks save none */
	int port = 0;
	Record *record = nullptr;
	Checker *checker = nullptr;
	/* Returns after how many ms an order is carried out that gets no
	 * answer, 0: it is answered at once. */
	std::function<int64_t(const std::string &path)> lateness;
	std::function<void(Runner &runner)> publish; /* writes its entry */

	std::recursive_mutex lock;
	int listener = -1;
	std::set<int> connections;
	bool up = false;
	int64_t born_ms = 0; /* Unix time */
	int64_t start_ms = 0;
	uint64_t token = 0;
	int64_t until_ms = 0; /* end of the lease on its clock */
	uint64_t next_end = 1;
	std::map<std::string, Run> runs;
	std::vector<End> ends;
	std::map<std::string, uint32_t> over; /* highest run over, by task */

	int64_t
	clock() const
	{
		return now_ms() - start_ms + 1;
	}

	static int
	percent(const Run &run)
	{
		return (int)((now_ms() - run.started_ms) * 100 /
		    (run.done_ms - run.started_ms + 1));
	}

	/* Returns the latest checkpoint of a run: one for each second. */
	std::string
	saved(const Run &run) const
	{
		std::string digits;
		size_t hash = std::hash<std::string>()(run.task);

		if (now_ms() - run.started_ms < 1000)
			return "";
		while (digits.size() < checkpoint_digits) {
			digits += "0123456789abcdef"[hash % 16];
			hash = hash / 16 + hash * 31;
		}
		return digits;
	}

	void
	end_run(const Run &run, const char *how)
	{
		ends.push_back(
		    {next_end++, run.task, run.run, how, false, saved(run)});
		over[run.task] = std::max(over[run.task], run.run);
		{
			std::lock_guard<std::mutex> guard(checker->lock);
			checker->active[run.task].erase(id);
		}
		record->line("%s born %lld: end %llu, %s run %u %s", id.c_str(),
		    (long long)born_ms, (unsigned long long)(next_end - 1),
		    run.task.c_str(), run.run, how);
	}

	/* Ends the runs whose work or stop is done, or whose lease is over. */
	void
	advance()
	{
		bool lapsed = clock() > until_ms;

		for (auto it = runs.begin(); it != runs.end();) {
			const Run &run = it->second;
			const char *how = nullptr;

			if (run.stopped_ms != 0 && now_ms() >= run.stopped_ms)
				how = "stopped";
			else if (run.stopped_ms == 0 && now_ms() >= run.done_ms)
				how = "done";
			else if (lapsed)
				how = "lapsed";
			if (how == nullptr) {
				++it;
				continue;
			}
			end_run(run, how);
			it = runs.erase(it);
		}
		if (lapsed)
			for (End &end : ends)
				end.lapsed = true;
	}

	void
	renew(int64_t until)
	{
		advance();
		until_ms =
		    std::max(until_ms, std::min(until, clock() + MAX_HOLD_MS));
	}

	std::string
	start(const std::string &task, uint32_t number, int64_t until)
	{
		int64_t added_ms =
		    (int64_t)(std::hash<std::string>()(task) % 600);
		Run run = {
		    task, number, now_ms() + work_ms + added_ms, 0, now_ms()};

		if (until < clock())
			return "late";
		renew(until);
		if (runs.count(task) != 0 && runs[task].run == number)
			return "";
		if (over.count(task) != 0 && number <= over[task])
			return "old";
		runs[task] = run;
		std::lock_guard<std::mutex> guard(checker->lock);
		checker->starts++;
		checker->active[task].insert(id);
		record->line("%s born %lld: start of %s run %u", id.c_str(),
		    (long long)born_ms, task.c_str(), number);
		if (checker->active[task].size() > 1) {
			checker->starts_beside_another++;
			record->line("BROKEN TWICE: %s run %u starts on %s "
				     "while another run is on another worker",
			    task.c_str(), number, id.c_str());
		}
		if (checker->noted.count(task) == 0)
			return "";
		checker->starts_after_noted++;
		record->line("BROKEN TWICE: %s run %u starts on %s, but %s",
		    task.c_str(), number, id.c_str(),
		    checker->noted[task].c_str());
		return "";
	}

	void
	acknowledge(uint64_t acked, const char *when)
	{
		while (!ends.empty() && ends.front().number <= acked) {
			End end = ends.front();
			char how[200];

			ends.erase(ends.begin());
			if (strcmp(end.how, "done") != 0 || end.lapsed)
				continue;
			snprintf(how, sizeof(how),
			    "its run %u has ended done on %s born %lld as end "
			    "%llu, taken note of at %.3f by AckedSeq %llu, %s",
			    end.run, id.c_str(), (long long)born_ms,
			    (unsigned long long)end.number,
			    (double)now_ms() / 1000, (unsigned long long)acked,
			    when);
			std::lock_guard<std::mutex> guard(checker->lock);
			checker->noted[end.task] = how;
			checker->ends_noted++;
		}
	}

	/* Carries out an order. Returns the reason of a rejection. */
	std::string
	execute(const std::string &path, json_t *body, const char *when)
	{
		auto number = [body](const char *name) {
			return (int64_t)json_integer_value(
			    json_object_get(body, name));
		};
		const char *text =
		    json_string_value(json_object_get(body, "Task"));
		std::string task = text != nullptr ? text : "";
		uint32_t run = (uint32_t)number("Run");

		advance();
		if ((uint64_t)number("FencingToken") < token)
			return "fence";
		token = (uint64_t)number("FencingToken");
		if (path == "/camphorworks/run-start")
			return start(task, run, number("UntilMs"));
		if (path == "/camphorworks/run-stop") {
			if (runs.count(task) != 0 && runs[task].run <= run)
				runs[task].stopped_ms = now_ms() + STOP_MS;
			over[task] = std::max(over[task], run);
			return "";
		}
		if (number("UntilMs") > 0)
			renew(number("UntilMs"));
		if (number("AckedSeq") > 0)
			record->line("%s born %lld: hold with AckedSeq %lld, "
				     "%s; %zu ends are listed",
			    id.c_str(), (long long)born_ms,
			    (long long)number("AckedSeq"), when, ends.size());
		acknowledge((uint64_t)number("AckedSeq"), when);
		return "";
	}

	json_t *
	lists()
	{
		json_t *root = json_object();
		json_t *running = json_array();
		json_t *ended = json_array();

		for (const auto &entry : runs)
			json_array_append_new(running,
			    json_pack("[s,i,s,i]", entry.second.task.c_str(),
				(int)entry.second.run,
				saved(entry.second).c_str(),
				percent(entry.second)));
		for (const End &end : ends)
			json_array_append_new(ended,
			    json_pack("[I,s,i,s,s]", (json_int_t)end.number,
				end.task.c_str(), (int)end.run, end.how,
				end.saved.c_str()));
		json_object_set_new(root, "Running", running);
		json_object_set_new(root, "EndedRuns", ended);
		json_object_set_new(
		    root, "born", json_integer((json_int_t)born_ms));
		return root;
	}

	/* Serves one order. Returns false if it gets no answer. */
	bool
	serve(HttpCall &call, std::string &answer, int &status)
	{
		std::unique_lock<std::recursive_mutex> guard(lock);
		int64_t incarnation = born_ms;
		bool hold = call.path == "/camphorworks/hold";
		int64_t late_ms;
		int64_t wait_until;
		std::string reason;
		json_t *root;
		char *text;

		status = 421;
		answer = "{}";
		if (call.instance != id)
			return true;
		late_ms = lateness(call.path);
		if (late_ms > 0) {
			json_t *body = json_incref(call.body);
			std::string path = call.path;

			record->line("%s born %lld: no answer to %s with "
				     "AckedSeq %lld; it is carried out %lld ms "
				     "later",
			    id.c_str(), (long long)born_ms, path.c_str(),
			    (long long)json_integer_value(
				json_object_get(body, "AckedSeq")),
			    (long long)late_ms);
			std::thread([this, path, body, late_ms] {
				std::this_thread::sleep_for(
				    std::chrono::milliseconds(late_ms));
				std::lock_guard<std::recursive_mutex> late(
				    lock);
				if (up)
					execute(path, body, "carried out late");
				json_decref(body);
			}).detach();
			return false;
		}
		reason = execute(call.path, call.body, "in time");
		wait_until = now_ms() +
		    json_integer_value(json_object_get(call.body, "WaitMs"));
		while (hold && reason.empty() && ends.empty() &&
		    now_ms() < wait_until && up && born_ms == incarnation) {
			guard.unlock();
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(5));
			guard.lock();
			advance();
		}
		if (!up || born_ms != incarnation)
			return false;
		root = hold && reason.empty() ? lists() : json_object();
		json_object_set_new(
		    root, "ClockMs", json_integer((json_int_t)clock()));
		if (!reason.empty())
			json_object_set_new(
			    root, "Reason", json_string(reason.c_str()));
		status = reason.empty() ? 200 : 409;
		text = json_dumps(root, JSON_COMPACT);
		answer = text;
		free(text);
		json_decref(root);
		return true;
	}

	static std::string
	header(const std::string &head, const char *name)
	{
		std::string key = std::string("\r\n") + name + ": ";
		size_t at = head.find(key);
		size_t end;

		if (at == std::string::npos)
			return "";
		at += key.size();
		end = head.find("\r\n", at);
		return head.substr(at, end - at);
	}

	void
	converse(int fd)
	{
		std::string in;
		char part[8192];

		for (;;) {
			size_t head_end;
			size_t length;
			HttpCall call;
			std::string answer;
			int status;
			bool answered;
			ssize_t n;

			while ((head_end = in.find("\r\n\r\n")) ==
			    std::string::npos) {
				n = read(fd, part, sizeof(part));
				if (n <= 0)
					return;
				in.append(part, (size_t)n);
			}
			std::string head = in.substr(0, head_end + 2);
			length = strtoul(header(head, "Content-Length").c_str(),
			    nullptr, 10);
			while (in.size() < head_end + 4 + length) {
				n = read(fd, part, sizeof(part));
				if (n <= 0)
					return;
				in.append(part, (size_t)n);
			}
			call.path = head.substr(head.find(' ') + 1);
			call.path = call.path.substr(0, call.path.find(' '));
			call.instance =
			    header(head, "Camphorworks-Expected-Instance");
			call.body = json_loadb(
			    in.data() + head_end + 4, length, 0, nullptr);
			in.erase(0, head_end + 4 + length);
			answered = serve(call, answer, status);
			json_decref(call.body);
			/* A connection on which an order gets no answer stays
			 * silent until its caller closes it. */
			if (!answered) {
				while (read(fd, part, sizeof(part)) > 0)
					continue;
				return;
			}
			answer = "HTTP/1.1 " + std::to_string(status) +
			    " X\r\nContent-Type: application/json\r\n"
			    "Content-Length: " +
			    std::to_string(answer.size()) + "\r\n\r\n" + answer;
			if (send(fd, answer.data(), answer.size(),
				MSG_NOSIGNAL) < 0)
				return;
		}
	}

	void
	accept_loop(int fd)
	{
		for (;;) {
			int one = 1;
			int peer = accept(fd, nullptr, nullptr);

			if (peer < 0)
				return;
			setsockopt(
			    peer, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
			{
				std::lock_guard<std::recursive_mutex> guard(
				    lock);
				connections.insert(peer);
			}
			std::thread([this, peer] {
				converse(peer);
				std::lock_guard<std::recursive_mutex> guard(
				    lock);
				connections.erase(peer);
				close(peer);
			}).detach();
		}
	}

	/* Starts an incarnation. Port 0: picks one. */
	bool
	come_up()
	{
		struct sockaddr_in address = {};
		socklen_t length = sizeof(address);
		int one = 1;
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		address.sin_port = htons((uint16_t)port);
		if (bind(fd, (struct sockaddr *)&address, sizeof(address)) !=
			0 ||
		    listen(fd, 64) != 0 ||
		    getsockname(fd, (struct sockaddr *)&address, &length) !=
			0) {
			close(fd);
			return false;
		}
		std::lock_guard<std::recursive_mutex> guard(lock);
		port = ntohs(address.sin_port);
		listener = fd;
		up = true;
		born_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
		    std::chrono::system_clock::now().time_since_epoch())
			      .count();
		start_ms = now_ms();
		token = 0;
		until_ms = 0;
		next_end = 1;
		runs.clear();
		ends.clear();
		over.clear();
		record->line(
		    "%s starts, born %lld", id.c_str(), (long long)born_ms);
		std::thread([this, fd] {
			accept_loop(fd);
		}).detach();
		publish(*this);
		return true;
	}

	/* Crashes: its runs are gone, its connections reset, its port closed.
	 */
	void
	crash()
	{
		std::lock_guard<std::recursive_mutex> guard(lock);

		up = false;
		shutdown(listener, SHUT_RDWR);
		close(listener);
		for (int fd : connections)
			shutdown(fd, SHUT_RDWR);
		{
			std::lock_guard<std::mutex> ends_guard(checker->lock);
			for (const auto &entry : runs)
				checker->active[entry.first].erase(id);
		}
		runs.clear();
		ends.clear();
		record->line("%s crashes", id.c_str());
	}
};

#endif
