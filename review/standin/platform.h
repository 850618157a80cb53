#ifndef CAMPHOR_REVIEW_PLATFORM_H
#define CAMPHOR_REVIEW_PLATFORM_H

/*
 * Stand-in of the users' platform on loopback: the store as a log with keyed
 * topics and a consumer group, and workers that run tasks under leases. It
 * answers as the platform's pages say; disruptions are set by members.
 */

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <civetweb.h>
#include <jansson.h>
#include <openssl/evp.h>

/* Figures of the pages for a small deployment. */
const int64_t heartbeat_ms = 1500;
const int64_t hold_max_ms = 6000;
const int64_t stop_timeout_ms = 200;
const int64_t min_ttl_ms = 1000;
const size_t record_bytes_max = 262144;
const size_t request_bytes_max = 2097152;
const size_t ends_listed_max = 500;

inline int64_t
mono_ms()
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(
	    std::chrono::steady_clock::now().time_since_epoch())
	    .count();
}

inline int64_t
wall_ms()
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(
	    std::chrono::system_clock::now().time_since_epoch())
	    .count();
}

/* The record of a script: what was sent, answered and run. */
struct Journal {
	std::mutex lock;
	FILE *file = nullptr;
	int64_t start_ms = mono_ms();

	void
	line(const char *format, ...)
	{
		std::lock_guard<std::mutex> guard(lock);
		va_list args;

		if (file == nullptr)
			return;
		fprintf(file, "%8.3f ", (double)(mono_ms() - start_ms) / 1000);
		va_start(args, format);
		vfprintf(file, format, args);
		va_end(args);
		fputc('\n', file);
		fflush(file);
	}
};

struct Record {
	std::string key;
	std::string value;
	uint64_t offset = 0;
};

struct Topic {
	std::vector<Record> log;
	std::map<std::string, Record> newest;

	struct Producer {
		uint64_t epoch = 0;
		bool any_sequence = true; /* none since the epoch was set */
		int64_t last_sequence = -1;
		std::deque<std::pair<int64_t, std::pair<uint64_t, uint64_t>>>
		    answers; /* of the last five appends */
	};
	std::map<std::string, Producer> producers;

	void
	add(const std::string &key, const std::string &value)
	{
		Record record = {key, value, log.size()};

		log.push_back(record);
		if (value.empty())
			newest.erase(key);
		else
			newest[key] = record;
	}
};

struct Run {
	std::string task;
	uint32_t run = 0;
	int64_t started_ms = 0;
	int64_t work_ms = 0; /* 0: lasts until it is stopped */
	int64_t fail_ms = 0; /* it fails after this time, 0: it does not */
	int64_t stop_ms = 0; /* time at which its stop completes, 0: none */
};

struct End {
	uint64_t number = 0;
	std::string task;
	uint32_t run = 0;
	std::string how;
};

struct Worker {
	std::string id;
	std::string kind = "a";
	std::string rack = "r1-1";
	int port = 0;
	int cores_milli = 128000;
	int memory_mb = 524288;
	int accels = 8;
	int64_t born_ms = 0;  /* Unix time of its start */
	int64_t start_ms = 0; /* the same on the steady clock */
	uint64_t sequence = 0;
	bool up = true;
	bool registered = false;
	int64_t beat_ms = 0;
	int64_t cut_until_ms = 0; /* cut off from the daemons until then */
	int64_t held_ms = 0;      /* time of the latest hold that it got */
	uint64_t token = 0;
	int64_t until_ms = 0;
	uint64_t next_end = 1;
	std::map<std::pair<std::string, uint32_t>, Run> runs;
	std::vector<End> ends;
	std::map<std::string, uint32_t> highest_ended;

	int64_t
	clock() const
	{
		return mono_ms() - start_ms + 1;
	}

	void
	start_life()
	{
		born_ms = wall_ms();
		start_ms = mono_ms();
		token = 0;
		until_ms = 0;
		next_end = 1;
		runs.clear();
		ends.clear();
		highest_ended.clear();
		up = true;
		beat_ms = 0;
	}
};

struct Platform {
	std::mutex lock;
	std::condition_variable changed;
	std::map<std::string, Topic> topics;
	std::vector<Worker> workers;
	Journal *journal = nullptr;
	int port = 0; /* of the store; the workers have the next ones */
	struct mg_context *context = nullptr;
	std::atomic<bool> stopping{false};
	std::thread clockwork;
	std::map<std::string, int64_t> members; /* by name: expiry */
	std::string owner;
	uint64_t generation = 0;
	bool quiet = false; /* records no starts and ends */
	uint64_t appends = 0;
	uint64_t append_bytes = 0;
	uint64_t refused_appends = 0;
	size_t largest_refused = 0;
	/* Work of a task by its step, "ID.K.STEP"; 0: until it is stopped. */
	std::map<std::string, int64_t> work_by_step;
	/* Time after which the tasks of a step fail. */
	std::map<std::string, int64_t> fail_by_step;
	/* So many starts of a task get no answer and are held back. */
	std::string delay_task;
	int delay_starts = 0;
	size_t delayed_worker = 0;
	std::string delayed_body; /* of the latest of them */
	/* Largest number of runs at the same time, by task. */
	std::map<std::string, int> most_at_once;
	/* Starts by task, with the time of each. */
	std::map<std::string, std::vector<int64_t>> starts;
	std::map<std::string, std::map<std::string, int>> ends_by_task;

	static bool
	port_is_free(int number)
	{
		struct sockaddr_in address = {};
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		bool is_free;

		address.sin_family = AF_INET;
		address.sin_port = htons((uint16_t)number);
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		is_free =
		    bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
		close(fd);
		return is_free;
	}

	/* Listens on free ports for the store and the workers. The next
	 * `more` ports are free as well. */
	bool
	start(int more)
	{
		static const struct mg_callbacks callbacks = {};
		int count = 1 + (int)workers.size();
		int first = 20000 + (int)(getpid() % 60) * 100;

		for (int base = first; base < 32000 && context == nullptr;
		     base += 100) {
			std::string ports;
			bool is_free = true;

			for (int i = 0; i < count + more && is_free; i++)
				is_free = port_is_free(base + i);
			if (!is_free)
				continue;
			for (int i = 0; i < count; i++)
				ports += (i > 0 ? "," : "") +
				    std::string("127.0.0.1:") +
				    std::to_string(base + i);
			const char *options[] = {"listening_ports",
			    ports.c_str(), "num_threads", "128",
			    "enable_keep_alive", "yes", "keep_alive_timeout_ms",
			    "30000", "tcp_nodelay", "1", nullptr};
			context = mg_start(&callbacks, this, options);
			port = base;
		}
		if (context == nullptr)
			return false;
		for (size_t i = 0; i < workers.size(); i++) {
			workers[i].port = port + 1 + (int)i;
			workers[i].id = "i-" + std::to_string(1000 + i);
			workers[i].start_life();
		}
		clockwork = std::thread([this] {
			while (!stopping) {
				{
					std::lock_guard<std::mutex> guard(lock);

					tick();
				}
				std::this_thread::sleep_for(
				    std::chrono::milliseconds(10));
			}
		});
		mg_set_request_handler(context, "/", handle, this);
		return true;
	}

	void
	stop()
	{
		stopping = true;
		changed.notify_all();
		if (clockwork.joinable())
			clockwork.join();
		if (context != nullptr)
			mg_stop(context);
		context = nullptr;
	}

	/* Writes a record of the operator or of a worker. */
	void
	put(const std::string &topic, const std::string &key,
	    const std::string &value)
	{
		topics[topic].add(key, value);
		changed.notify_all();
	}

	/* Advances the workers, and their entries in the store. */
	void
	tick()
	{
		for (Worker &worker : workers) {
			if (worker.up) {
				advance(worker);
				if (mono_ms() - worker.beat_ms >= heartbeat_ms)
					beat(worker);
			} else if (worker.registered &&
			    mono_ms() - worker.beat_ms > 3 * heartbeat_ms) {
				put("keyed.servers", worker.id, "");
				worker.registered = false;
			}
		}
	}

	void
	beat(Worker &worker)
	{
		std::string address =
		    "127.0.0.1:" + std::to_string(worker.port);
		json_t *entry = json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:I,"
					  "s:{s:i,s:i,s:i},s:[s,s],s:I,s:I}",
		    "Service", "pool", "Address", address.c_str(), "Zone", "z1",
		    "Version", "1", "Slots", 8, "State", "ready",
		    "ColdRemainingMs", 0, "Sequence",
		    (json_int_t)++worker.sequence, "Capacity", "Cpu",
		    worker.cores_milli, "MemMb", worker.memory_mb, "Gpu",
		    worker.accels, "Labels", worker.kind.c_str(),
		    worker.rack.c_str(), "ClockMs", (json_int_t)worker.clock(),
		    "born", (json_int_t)worker.born_ms);
		char *text = json_dumps(entry, JSON_COMPACT);

		put("keyed.servers", worker.id, text);
		free(text);
		json_decref(entry);
		worker.beat_ms = mono_ms();
		worker.registered = true;
	}

	void
	end_run(Worker &worker, const Run &run, const char *how)
	{
		worker.ends.push_back(
		    {worker.next_end++, run.task, run.run, how});
		worker.highest_ended[run.task] =
		    std::max(worker.highest_ended[run.task], run.run);
		ends_by_task[run.task][how]++;
		changed.notify_all();
		if (quiet)
			return;
		journal->line("worker %s: task %s run %u ended %s",
		    worker.id.c_str(), run.task.c_str(), run.run, how);
	}

	/* Ends the runs whose work is done, whose stop is complete or whose
	 * lease has expired. */
	void
	advance(Worker &worker)
	{
		int64_t now = mono_ms();

		for (auto it = worker.runs.begin(); it != worker.runs.end();) {
			const Run &run = it->second;
			const char *how = nullptr;

			if (run.stop_ms != 0 && now >= run.stop_ms)
				how = "stopped";
			else if (worker.clock() > worker.until_ms)
				how = "lapsed";
			else if (run.stop_ms == 0 && run.work_ms > 0 &&
			    now - run.started_ms >= run.work_ms)
				how = "done";
			else if (run.stop_ms == 0 && run.fail_ms > 0 &&
			    now - run.started_ms >= run.fail_ms)
				how = "failed";
			if (how == nullptr) {
				++it;
				continue;
			}
			end_run(worker, run, how);
			it = worker.runs.erase(it);
		}
	}

	/* Cuts a worker off from all daemons; it runs on. */
	void
	cut(size_t n, int64_t for_ms)
	{
		std::lock_guard<std::mutex> guard(lock);

		workers[n].cut_until_ms = mono_ms() + for_ms;
		journal->line("disruption: worker %s is cut off for %lld ms",
		    workers[n].id.c_str(), (long long)for_ms);
	}

	/* A worker crashes: it runs nothing and answers nobody. */
	void
	crash(size_t n)
	{
		std::lock_guard<std::mutex> guard(lock);

		journal->line("disruption: worker %s crashes with %zu runs",
		    workers[n].id.c_str(), workers[n].runs.size());
		workers[n].up = false;
		workers[n].runs.clear();
		changed.notify_all();
	}

	/* Starts a crashed worker again under its id. with_late: the start
	 * that was held back is carried out then. */
	void
	restart(size_t n, bool with_late = false)
	{
		std::lock_guard<std::mutex> guard(lock);

		workers[n].start_life();
		journal->line("worker %s starts again", workers[n].id.c_str());
		if (with_late && !delayed_body.empty()) {
			json_t *call =
			    json_loads(delayed_body.c_str(), 0, nullptr);

			journal->line("worker %s carries out the late start",
			    workers[n].id.c_str());
			workers[n].token = (uint64_t)json_integer_value(
			    json_object_get(call, "FencingToken"));
			start_run(workers[n],
			    json_string_value(json_object_get(call, "Task")),
			    (uint32_t)json_integer_value(
				json_object_get(call, "Run")),
			    json_integer_value(
				json_object_get(call, "UntilMs")),
			    "(late)");
			json_decref(call);
		}
		beat(workers[n]);
	}

	static void
	answer(struct mg_connection *connection, int status, const char *type,
	    const std::string &body)
	{
		mg_printf(connection,
		    "HTTP/1.1 %d X\r\nContent-Type: %s\r\n"
		    "Content-Length: %zu\r\nConnection: keep-alive\r\n\r\n",
		    status, type, body.size());
		if (!body.empty())
			mg_write(connection, body.data(), body.size());
	}

	static void
	answer_json(struct mg_connection *connection, int status, json_t *root)
	{
		char *text = json_dumps(root, JSON_COMPACT);

		answer(connection, status, "application/json", text);
		free(text);
		json_decref(root);
	}

	static std::string
	query(const struct mg_request_info *info, const char *name)
	{
		char value[2048] = "";
		const char *text =
		    info->query_string != nullptr ? info->query_string : "";
		int n =
		    mg_get_var(text, strlen(text), name, value, sizeof(value));

		return std::string(value, n > 0 ? (size_t)n : 0);
	}

	static int
	handle(struct mg_connection *connection, void *ctx)
	{
		Platform *platform = (Platform *)ctx;
		const struct mg_request_info *info =
		    mg_get_request_info(connection);
		int target = info->server_port;
		std::string body;
		char part[16384];
		int n;

		while ((n = mg_read(connection, part, sizeof(part))) > 0)
			body.append(part, (size_t)n);
		if (target == platform->port)
			platform->serve_store(connection, info, body);
		else
			platform->serve_worker(connection, info, body,
			    platform->workers[(
				size_t)(target - platform->port - 1)]);
		return 1;
	}

	/* The store. */
	void
	serve_store(struct mg_connection *connection,
	    const struct mg_request_info *info, const std::string &body)
	{
		std::string path = info->local_uri;

		if (path == "/camphorworks/log-append")
			serve_append(connection, info, body);
		else if (path == "/camphorworks/log-read")
			serve_read(connection, info);
		else if (path == "/camphorworks/log-newest")
			serve_newest(connection, info);
		else if (path == "/camphorworks/log-owners")
			serve_owners(connection);
		else if (path == "/camphorworks/log-join" ||
		    path == "/camphorworks/log-leave")
			serve_group(
			    connection, body, path == "/camphorworks/log-join");
		else
			answer_json(connection, 404, json_object());
	}

	static uint64_t
	number_at(const std::string &body, size_t at, size_t bytes)
	{
		uint64_t value = 0;

		while (bytes-- > 0)
			value = value << 8 | (unsigned char)body[at++];
		return value;
	}

	/* Splits the body of an append. Returns false if it is malformed or
	 * larger than the pages allow. */
	static bool
	split(const std::string &body, std::vector<Record> *out)
	{
		size_t at = 0;

		if (body.size() > request_bytes_max)
			return false;
		while (at < body.size()) {
			size_t length;
			size_t key;

			if (body.size() - at < 5)
				return false;
			length = number_at(body, at, 4);
			key = (unsigned char)body[at + 4];
			if (length > record_bytes_max || key + 1 > length ||
			    length > body.size() - at - 4)
				return false;
			out->push_back({body.substr(at + 5, key),
			    body.substr(at + 5 + key, length - 1 - key), 0});
			at += 4 + length;
		}
		return true;
	}

	void
	serve_append(struct mg_connection *connection,
	    const struct mg_request_info *info, const std::string &body)
	{
		std::string producer = query(info, "Producer");
		std::string sequence_text = query(info, "Sequence");
		uint64_t epoch =
		    strtoull(query(info, "epoch").c_str(), nullptr, 10);
		int64_t sequence = strtoll(sequence_text.c_str(), nullptr, 10);
		std::vector<Record> records;
		std::unique_lock<std::mutex> guard(lock);
		Topic &topic = topics[query(info, "Topic")];
		uint64_t offset = topic.log.size();

		if (!split(body, &records)) {
			refused_appends++;
			largest_refused =
			    std::max(largest_refused, body.size());
			if (refused_appends <= 5 || refused_appends % 100 == 0)
				journal->line(
				    "store: append of %zu bytes to %s refused "
				    "with 400, at most %zu are allowed (%llu "
				    "so far)",
				    body.size(), query(info, "Topic").c_str(),
				    request_bytes_max,
				    (unsigned long long)refused_appends);
			guard.unlock();
			answer_json(connection, 400, json_object());
			return;
		}
		if (!producer.empty()) {
			Topic::Producer &state = topic.producers[producer];

			if (epoch < state.epoch) {
				guard.unlock();
				answer_json(connection, 409,
				    json_pack("{s:s}", "Reason", "fenced"));
				return;
			}
			if (epoch > state.epoch) {
				state = Topic::Producer();
				state.epoch = epoch;
			}
			if (!records.empty()) {
				for (const auto &entry : state.answers) {
					if (entry.first != sequence)
						continue;
					json_t *root = json_pack("{s:I,s:I}",
					    "Offset",
					    (json_int_t)entry.second.first,
					    "End",
					    (json_int_t)entry.second.second);

					guard.unlock();
					answer_json(connection, 200, root);
					return;
				}
				if (!state.any_sequence &&
				    sequence != state.last_sequence + 1) {
					json_t *root = json_pack("{s:s,s:I}",
					    "Reason", "seq", "Sequence",
					    (json_int_t)(state.last_sequence +
						1));

					guard.unlock();
					answer_json(connection, 409, root);
					return;
				}
				state.any_sequence = false;
				state.last_sequence = sequence;
				state.answers.push_back({sequence,
				    {offset, offset + records.size()}});
				if (state.answers.size() > 5)
					state.answers.pop_front();
			}
		}
		appends++;
		append_bytes += body.size();
		for (const Record &record : records)
			topic.add(record.key, record.value);
		changed.notify_all();
		json_t *root = json_pack("{s:I,s:I}", "Offset",
		    (json_int_t)offset, "End", (json_int_t)topic.log.size());

		guard.unlock();
		std::this_thread::sleep_for(std::chrono::milliseconds(1));
		answer_json(connection, 200, root);
	}

	static void
	put_number(std::string &out, uint64_t value, int bytes)
	{
		while (bytes-- > 0)
			out.push_back((char)(value >> (8 * bytes)));
	}

	void
	serve_read(struct mg_connection *connection,
	    const struct mg_request_info *info)
	{
		uint64_t from =
		    strtoull(query(info, "From").c_str(), nullptr, 10);
		int64_t end_ms =
		    mono_ms() + atoi(query(info, "WaitMs").c_str());
		int kib = atoi(query(info, "MaxKib").c_str());
		size_t bytes_max = (size_t)(kib > 0 ? kib : 1024) * 1024;
		std::unique_lock<std::mutex> guard(lock);
		Topic &topic = topics[query(info, "Topic")];
		std::string out;

		while (
		    topic.log.size() <= from && mono_ms() < end_ms && !stopping)
			changed.wait_for(guard,
			    std::chrono::milliseconds(
				std::max<int64_t>(1, end_ms - mono_ms())));
		put_number(out, topic.log.size(), 8);
		put_number(out, 0, 8);
		for (uint64_t i = from; i < topic.log.size(); i++) {
			const Record &row = topic.log[i];
			size_t length = 1 + row.key.size() + row.value.size();

			if (i > from && out.size() + 4 + length > bytes_max)
				break;
			put_number(out, length, 4);
			out.push_back((char)row.key.size());
			out += row.key + row.value;
		}
		guard.unlock();
		answer(connection, 200, "application/octet-stream", out);
	}

	void
	serve_newest(struct mg_connection *connection,
	    const struct mg_request_info *info)
	{
		std::string after = query(info, "After");
		json_t *items = json_array();
		size_t bytes = 0;
		bool more = false;
		std::unique_lock<std::mutex> guard(lock);
		Topic &topic = topics[query(info, "Topic")];

		for (auto it = topic.newest.upper_bound(after);
		     it != topic.newest.end(); ++it) {
			const std::string &value = it->second.value;
			std::string text(value.size() * 2 + 8, '\0');

			if (json_array_size(items) == 500 ||
			    (bytes > 0 && bytes + value.size() > 1000000)) {
				more = true;
				break;
			}
			bytes += value.size();
			text.resize(
			    (size_t)EVP_EncodeBlock((unsigned char *)&text[0],
				(const unsigned char *)value.data(),
				(int)value.size()));
			json_array_append_new(items,
			    json_pack("{s:s%,s:s,s:I}", "Key", it->first.data(),
				it->first.size(), "Value", text.c_str(),
				"Offset", (json_int_t)it->second.offset));
		}
		json_t *root = json_pack("{s:o,s:b,s:I}", "items", items,
		    "HasMore", (int)more, "End", (json_int_t)topic.log.size());

		guard.unlock();
		answer_json(connection, 200, root);
	}

	/* Removes the members that have been silent, and deals the partition
	 * of the jobs to a member if nobody has it. */
	void
	deal()
	{
		std::string before = owner;
		size_t count = members.size();

		for (auto it = members.begin(); it != members.end();)
			it = it->second < mono_ms() ? members.erase(it)
						    : std::next(it);
		if (members.count(owner) == 0)
			owner = members.empty() ? "" : members.begin()->first;
		if (owner != before || members.size() != count)
			generation++;
		if (owner != before)
			journal->line("store: the duty goes from \"%s\" to "
				      "\"%s\", generation %llu",
			    before.c_str(), owner.c_str(),
			    (unsigned long long)generation);
	}

	void
	serve_owners(struct mg_connection *connection)
	{
		std::unique_lock<std::mutex> guard(lock);

		deal();
		json_t *root = json_pack("{s:[[s,i,s,i]]}", "parts",
		    "keyed.jobs", 0, owner.c_str(), 0);

		guard.unlock();
		answer_json(connection, 200, root);
	}

	void
	serve_group(struct mg_connection *connection, const std::string &body,
	    bool join)
	{
		json_t *call = json_loads(body.c_str(), 0, nullptr);
		const char *name =
		    json_string_value(json_object_get(call, "Member"));
		std::string member = name != nullptr ? name : "";
		int64_t ttl_ms =
		    json_integer_value(json_object_get(call, "TtlMs"));
		json_t *parts = json_array();
		std::unique_lock<std::mutex> guard(lock);

		json_decref(call);
		deal();
		if (join) {
			if (members.count(member) == 0)
				generation++;
			members[member] =
			    mono_ms() + std::max(ttl_ms, min_ttl_ms);
		} else if (members.erase(member) != 0)
			generation++;
		deal();
		if (join && owner == member)
			json_array_append_new(
			    parts, json_pack("[s,i,i]", "keyed.jobs", 0, 0));
		json_t *root = json_pack("{s:I,s:o}", "Generation",
		    (json_int_t)generation, "parts", parts);

		guard.unlock();
		answer_json(connection, 200, root);
	}

	/* The workers. */
	int64_t
	work_of(const std::string &task)
	{
		auto found = work_by_step.find(task.substr(0, task.rfind('.')));

		return found != work_by_step.end() ? found->second : 1000;
	}

	int64_t
	failure_of(const std::string &task)
	{
		auto found = fail_by_step.find(task.substr(0, task.rfind('.')));

		return found != fail_by_step.end() ? found->second : 0;
	}

	std::string
	start_run(Worker &worker, const std::string &task, uint32_t run,
	    int64_t until, const char *spec)
	{
		Run row;

		if (until < worker.clock())
			return "late";
		worker.until_ms = std::max(worker.until_ms,
		    std::min(until, worker.clock() + hold_max_ms));
		if (worker.runs.count({task, run}) != 0)
			return "";
		if (worker.highest_ended.count(task) != 0 &&
		    run <= worker.highest_ended[task])
			return "old";
		row.task = task;
		row.run = run;
		row.started_ms = mono_ms();
		row.work_ms = work_of(task);
		row.fail_ms = failure_of(task);
		worker.runs[{task, run}] = row;
		int at_once = 0;

		for (const Worker &other : workers)
			for (const auto &entry : other.runs)
				at_once +=
				    other.up && entry.first.first == task;
		most_at_once[task] = std::max(most_at_once[task], at_once);
		starts[task].push_back(mono_ms());
		if (!quiet)
			journal->line(
			    "worker %s: task %s run %u starts, spec \"%s\"",
			    worker.id.c_str(), task.c_str(), run, spec);
		return "";
	}

	void
	stop_run(Worker &worker, const std::string &task, uint32_t run)
	{
		for (auto &entry : worker.runs)
			if (entry.first.first == task &&
			    entry.first.second <= run &&
			    entry.second.stop_ms == 0)
				entry.second.stop_ms =
				    mono_ms() + stop_timeout_ms;
		worker.highest_ended[task] =
		    std::max(worker.highest_ended[task], run);
	}

	/* Waits while a worker is cut off or down. Returns whether it was: its
	 * answer, if there is one, is lost. */
	bool
	wait_while_silent(std::unique_lock<std::mutex> &guard, Worker &worker)
	{
		bool silent = false;

		while ((!worker.up || worker.cut_until_ms > mono_ms()) &&
		    !stopping) {
			silent = true;
			changed.wait_for(guard, std::chrono::milliseconds(20));
		}
		return silent;
	}

	json_t *
	list_runs(const Worker &worker)
	{
		json_t *running = json_array();
		json_t *ended = json_array();
		size_t listed = 0;

		for (const auto &entry : worker.runs) {
			const Run &run = entry.second;
			int64_t percent = run.work_ms == 0
			    ? 100
			    : std::min<int64_t>(99,
				  (mono_ms() - run.started_ms) * 100 /
				      run.work_ms);

			json_array_append_new(running,
			    json_pack("[s,I,s,I,I]", run.task.c_str(),
				(json_int_t)run.run, "", (json_int_t)percent,
				(json_int_t)0));
		}
		for (const End &end : worker.ends)
			if (listed++ < ends_listed_max)
				json_array_append_new(ended,
				    json_pack("[I,s,I,s,s]",
					(json_int_t)end.number,
					end.task.c_str(), (json_int_t)end.run,
					end.how.c_str(), ""));
		return json_pack(
		    "{s:o,s:o}", "Running", running, "EndedRuns", ended);
	}

	void
	serve_worker(struct mg_connection *connection,
	    const struct mg_request_info *info, const std::string &body,
	    Worker &worker)
	{
		std::string path = info->local_uri;
		json_t *call = json_loadb(body.data(), body.size(), 0, nullptr);
		const char *expected =
		    mg_get_header(connection, "Camphorworks-Expected-Instance");
		std::string id = expected != nullptr ? expected : "";
		auto number = [call](const char *name) {
			return (int64_t)json_integer_value(
			    json_object_get(call, name));
		};
		const char *name =
		    json_string_value(json_object_get(call, "Task"));
		const char *spec =
		    json_string_value(json_object_get(call, "Spec"));
		std::string task = name != nullptr ? name : "";
		uint64_t token = (uint64_t)number("FencingToken");
		uint32_t run = (uint32_t)number("Run");
		std::string reason;
		json_t *root = nullptr;
		std::unique_lock<std::mutex> guard(lock);

		/* A call that arrives while the worker cannot be reached is
		 * lost. */
		if (wait_while_silent(guard, worker)) {
			guard.unlock();
			json_decref(call);
			mg_close_connection(connection);
			return;
		}
		int64_t life = worker.born_ms;

		if (!id.empty() && id != worker.id) {
			guard.unlock();
			json_decref(call);
			answer_json(connection, 421, json_object());
			return;
		}
		if (path == "/camphorworks/run-start" && delay_starts > 0 &&
		    task == delay_task) {
			delay_starts--;
			delayed_body = body;
			delayed_worker = (size_t)(&worker - workers.data());
			journal->line("disruption: worker %s leaves the start "
				      "of task %s run %u unanswered",
			    worker.id.c_str(), task.c_str(), run);
			guard.unlock();
			json_decref(call);
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(3000));
			mg_close_connection(connection);
			return;
		}
		advance(worker);
		if (token < worker.token)
			reason = "fence";
		else
			worker.token = token;
		if (!reason.empty()) {
			root = json_object();
		} else if (path == "/camphorworks/run-start") {
			reason = start_run(worker, task, run, number("UntilMs"),
			    spec != nullptr ? spec : "");
			root = json_object();
		} else if (path == "/camphorworks/run-stop") {
			stop_run(worker, task, run);
			root = json_object();
		} else if (path == "/camphorworks/hold") {
			int64_t end_ms = mono_ms() +
			    std::min<int64_t>(2000, number("WaitMs"));
			uint64_t acked = (uint64_t)number("AckedSeq");

			worker.held_ms = mono_ms();

			if (number("UntilMs") > 0)
				worker.until_ms = std::max(worker.until_ms,
				    std::min(number("UntilMs"),
					worker.clock() + hold_max_ms));
			while (!worker.ends.empty() &&
			    worker.ends.front().number <= acked)
				worker.ends.erase(worker.ends.begin());
			while (worker.ends.empty() && mono_ms() < end_ms &&
			    worker.up && worker.born_ms == life && !stopping)
				changed.wait_for(guard,
				    std::chrono::milliseconds(std::max<int64_t>(
					1, end_ms - mono_ms())));
			if (worker.up)
				advance(worker);
			root = list_runs(worker);
		} else
			root = json_object();
		json_decref(call);
		/* The answer is lost if the worker was cut off or has crashed
		 * meanwhile. */
		if (wait_while_silent(guard, worker) ||
		    worker.born_ms != life) {
			guard.unlock();
			json_decref(root);
			mg_close_connection(connection);
			return;
		}
		json_object_set_new(
		    root, "ClockMs", json_integer(worker.clock()));
		json_object_set_new(root, "born", json_integer(worker.born_ms));
		if (!reason.empty())
			json_object_set_new(
			    root, "Reason", json_string(reason.c_str()));
		guard.unlock();
		answer_json(connection, reason.empty() ? 200 : 409, root);
	}
};

#endif
