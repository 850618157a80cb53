#ifndef CAMPHOR_TESTS_EMULATOR_H
#define CAMPHOR_TESTS_EMULATOR_H

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
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

#include "platform_sim.h"
#include "zones_sim.h"

/*
 * Serves the simulated platform over its HTTP protocol on loopback: the store
 * on the first port and one worker on each of the following ports. Faults are
 * injected by setting members.
 */
struct Emulator {
	std::mutex lock;
	std::condition_variable log_changed;
	std::map<std::string, SimLog> topics;
	SimGroup group;
	SimRunChecker run_checker;
	SimZones zones;
	std::vector<SimWorker> workers;
	int port = 0;
	struct mg_context *context = nullptr;
	std::atomic<bool> store_down{false}; /* answers all calls with 503 */
	/* The store listens on 127.0.0.1 to 127.0.0.VMS_MAX. A daemon that uses
	 * 127.0.0.N is rejected if bit N is set, or gets no answer. */
	enum {
		VMS_MAX = 8
	};
	std::atomic<uint32_t> rejected_vms{0};
	std::atomic<uint32_t> silent_vms{0};
	std::atomic<uint32_t> config_silent_vms{0}; /* as config_silent */
	std::atomic<int> drop_append_answers{0};    /* count */
	std::atomic<int> slow_ms{0};                /* delay of each answer */
	std::atomic<int> link_bytes_per_s{0};       /* of each answer, 0: any */
	std::atomic<size_t> page_items{500};        /* of a snapshot */
	std::atomic<bool> config_silent{false}; /* no answer about keyed.op */
	std::atomic<int> drop_worker_answers{0};
	std::atomic<int> odd_list{-1}; /* worker that lists a malformed run */
	/* Lengths that texts of workers are filled up to; set before start. */
	size_t name_bytes = 0;
	size_t label_bytes = 0;
	size_t checkpoint_bytes = 0; /* 0: no checkpoints */
	/* Time for which a worker answers 503 and does nothing, once the answer
	 * to an order was dropped. */
	std::atomic<int> busy_after_drop_ms{0};
	std::map<const SimWorker *, int64_t> busy_until;
	/* Count of starts and stops that get no answer and are executed
	 * seconds later, possibly by another incarnation. */
	std::atomic<int> late_orders{0};
	std::multimap<int64_t, std::function<void()>> late_actions;
	/* by worker: time until which it does not answer calls */
	std::map<int, int64_t> unresponsive_until;
	std::atomic<uint64_t> calls{0};

	static int64_t
	now_ms()
	{
		return std::chrono::duration_cast<std::chrono::milliseconds>(
		    std::chrono::steady_clock::now().time_since_epoch())
		    .count();
	}

	/* Ports of one deployment: the store, the workers and, in the second
	 * half, the daemons. */
	enum {
		PORTS = 100
	};

	static bool
	ports_free(int base)
	{
		bool is_free = true;

		for (int i = 0; i < PORTS && is_free; i++) {
			struct sockaddr_in address = {};
			int fd = socket(AF_INET, SOCK_STREAM, 0);

			address.sin_family = AF_INET;
			address.sin_port = htons((uint16_t)(base + i));
			address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
			is_free = bind(fd, (struct sockaddr *)&address,
				      sizeof(address)) == 0;
			close(fd);
		}
		return is_free;
	}

	/* Listens on count + 1 free ports. Returns false if there are none. */
	bool
	start(int count, int work_ms)
	{
		static const struct mg_callbacks callbacks = {};

		int first = 20000 + getpid() % 100 * PORTS;

		workers.resize((size_t)count);
		for (int base = first; base < 32000 && context == nullptr;
		     base += PORTS) {
			std::string ports;

			if (!ports_free(base))
				continue;

			for (int i = 0; i <= count; i++)
				ports += (i > 0 ? "," : "") +
				    std::string("127.0.0.1:") +
				    std::to_string(base + i);
			for (int i = 2; i <= VMS_MAX; i++)
				ports += ",127.0.0." + std::to_string(i) + ":" +
				    std::to_string(base);
			const char *options[] = {"listening_ports",
			    ports.c_str(), "num_threads", "96",
			    "enable_keep_alive", "yes", "tcp_nodelay", "1",
			    nullptr};
			context = mg_start(&callbacks, this, options);
			port = base;
		}
		if (context == nullptr)
			return false;
		for (int i = 0; i < count; i++) {
			SimWorker &row = workers[(size_t)i];

			row.id = row.address =
			    filled("i-" + std::to_string(i), name_bytes);
			row.checkpoint_bytes = checkpoint_bytes;
			row.room = {64000, 64000, 8};
			row.on_back = [this](SimWorker &back,
					  const std::string &former) {
				if (former != back.id)
					put("keyed.servers", former, "");
				publish_workers();
			};
			row.rack = "r1-" + std::to_string(i / 2);
			row.start_ms = now_ms();
			row.work_ms = work_ms;
			row.run_checker = &run_checker;
		}
		publish_workers();
		mg_set_request_handler(context, "/", handle, this);
		return true;
	}

	void
	stop()
	{
		if (context != nullptr)
			mg_stop(context);
		context = nullptr;
	}

	void
	put(const std::string &topic, const std::string &key,
	    const std::string &value)
	{
		uint64_t end;

		topics[topic].append({{key, value}}, 0, 0, &end);
		log_changed.notify_all();
	}

	/* An operator asks for the evacuation of a zone, or withdraws that
	 * (value ""). */
	void
	put_evacuation(const std::string &zone, const std::string &value)
	{
		put("keyed.op", "evacuate/" + zone, value);
		if (value.empty())
			zones.withdraw(zone);
		else
			zones.request(zone, now_ms());
	}

	void
	publish_workers()
	{
		for (size_t i = 0; i < workers.size(); i++) {
			json_t *entry = json_pack(
			    "{s:s,s:s,s:s,s:s,s:{s:i,s:i,s:i},s:[s,s],s:I,"
			    "s:I}",
			    "Service", "pool", "Address",
			    ("127.0.0.1:" + std::to_string(port + 1 + (int)i))
				.c_str(),
			    "Zone",
			    workers[i].zone.empty() ? "z"
						    : workers[i].zone.c_str(),
			    "State", "ready", "Capacity", "Cpu",
			    (int)workers[i].room.cores_milli, "MemMb",
			    (int)workers[i].room.memory_mb, "Gpu",
			    (int)workers[i].room.accels, "Labels",
			    filled("a", label_bytes).c_str(),
			    filled(workers[i].rack, label_bytes).c_str(),
			    "ClockMs", (json_int_t)workers[i].clock(now_ms()),
			    "born", (json_int_t)workers[i].incarnation_ms);
			char *text = json_dumps(entry, JSON_COMPACT);

			put("keyed.servers", workers[i].id, text);
			free(text);
			json_decref(entry);
		}
	}

	static void
	answer(struct mg_connection *connection, int status,
	    const std::string &body)
	{
		mg_printf(connection,
		    "HTTP/1.1 %d X\r\nContent-Length: %zu\r\n"
		    "Connection: keep-alive\r\n\r\n",
		    status, body.size());
		for (size_t at = 0; at < body.size();) {
			size_t part = link_rate() > 0
			    ? std::min(LINK_PART_BYTES, body.size() - at)
			    : body.size();

			if (mg_write(connection, body.data() + at, part) <= 0)
				return;
			at += part;
			if (link_rate() > 0)
				std::this_thread::sleep_for(
				    std::chrono::milliseconds(
					part * 1000 / (size_t)link_rate()));
		}
	}

	static constexpr size_t LINK_PART_BYTES = 4096;

	/* Rate of the answer that this thread sends, in bytes/s. */
	static int &
	link_rate()
	{
		static thread_local int rate = 0;

		return rate;
	}

	static void
	answer_json(struct mg_connection *connection, int status, json_t *root)
	{
		char *text = json_dumps(root, JSON_COMPACT);

		answer(connection, status, text);
		free(text);
		json_decref(root);
	}

	static std::string
	query(const struct mg_request_info *info, const char *name)
	{
		char value[1024] = "";
		const char *text =
		    info->query_string != nullptr ? info->query_string : "";
		int n =
		    mg_get_var(text, strlen(text), name, value, sizeof(value));

		return std::string(value, n > 0 ? (size_t)n : 0);
	}

	static std::string
	read_body(struct mg_connection *connection)
	{
		std::string body;
		char part[4096];
		int n;

		while ((n = mg_read(connection, part, sizeof(part))) > 0)
			body.append(part, (size_t)n);
		return body;
	}

	static int
	handle(struct mg_connection *connection, void *ctx)
	{
		Emulator *emulator = (Emulator *)ctx;
		const struct mg_request_info *info =
		    mg_get_request_info(connection);
		const char *host = mg_get_header(connection, "Host");
		const char *colon =
		    host != nullptr ? strchr(host, ':') : nullptr;
		int target_port = colon != nullptr ? atoi(colon + 1) : 0;
		std::string body = read_body(connection);

		emulator->calls++;
		link_rate() = target_port == emulator->port
		    ? emulator->link_bytes_per_s.load()
		    : 0;
		if (emulator->slow_ms > 0)
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(emulator->slow_ms));
		if (target_port == emulator->port)
			emulator->serve_store(
			    connection, info, host + strlen("127.0.0."), body);
		else if (target_port > emulator->port &&
		    target_port <=
			emulator->port + (int)emulator->workers.size()) {
			if (emulator->wait_unresponsive(
				target_port - emulator->port - 1))
				mg_close_connection(connection);
			else
				emulator->serve_worker(connection, info, body,
				    emulator->workers[(size_t)(target_port -
					emulator->port - 1)]);
		} else
			answer(connection, 404, "{}");
		return 1;
	}

	/* Blocks a call while its worker is unresponsive. Returns whether the
	 * worker was. */
	bool
	wait_unresponsive(int worker)
	{
		bool was_unresponsive = false;

		for (;;) {
			{
				std::lock_guard<std::mutex> guard(lock);
				auto entry = unresponsive_until.find(worker);

				if (entry == unresponsive_until.end() ||
				    entry->second <= now_ms())
					return was_unresponsive;
			}
			was_unresponsive = true;
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(20));
		}
	}

	/* Advances all workers, since leases expire and runs end also on
	 * workers that receive no calls. */
	void
	advance()
	{
		std::lock_guard<std::mutex> guard(lock);

		advance_locked();
	}

	void
	advance_locked()
	{
		while (!late_actions.empty() &&
		    late_actions.begin()->first <= now_ms()) {
			std::function<void()> action =
			    late_actions.begin()->second;

			late_actions.erase(late_actions.begin());
			action();
		}
		for (SimWorker &worker : workers)
			worker.advance(now_ms());
	}

	/* Changes the room of a worker and its entry. */
	void
	set_room(size_t n, const SimRoom &room)
	{
		std::lock_guard<std::mutex> guard(lock);

		workers[n].set_room(room, now_ms());
		publish_workers();
	}

	/* Calls to the store, emulator_store.h. */
	static std::vector<SimRecord> parse_records(const std::string &body);
	static void put_number(std::string &out, uint64_t value, int bytes);
	void serve_store(struct mg_connection *connection,
	    const struct mg_request_info *info, const char *vm,
	    const std::string &body);
	void serve_append(struct mg_connection *connection,
	    const struct mg_request_info *info, const std::string &body);
	void serve_read(struct mg_connection *connection,
	    const struct mg_request_info *info);
	void serve_newest(struct mg_connection *connection,
	    const struct mg_request_info *info);
	void serve_join(struct mg_connection *connection,
	    const std::string &body, bool leave);

	/* Calls to workers, emulator_worker.h. */
	static void give_no_answer(struct mg_connection *connection);
	int64_t late_ms() const;
	void serve_worker(struct mg_connection *connection,
	    const struct mg_request_info *info, const std::string &body,
	    SimWorker &worker);
	std::string hold(std::unique_lock<std::mutex> &guard, SimWorker &worker,
	    int64_t until, uint64_t acked, uint64_t token, int64_t wait_ms,
	    json_t *root);
};

#include "emulator_store.h"
#include "emulator_worker.h"

#endif
