#ifndef CAMPHOR_TESTS_EMULATOR_WORKER_H
#define CAMPHOR_TESTS_EMULATOR_WORKER_H

/* Calls to the simulated workers. Included by emulator.h only. */

/* Waits until the caller has given up, then closes without an answer. */
inline void
Emulator::give_no_answer(struct mg_connection *connection)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(1500));
	mg_close_connection(connection);
}

/* Time after which a late order is executed. */
inline int64_t
Emulator::late_ms() const
{
	return 2000 + (int64_t)(calls * 7919 % 10000);
}

inline void
Emulator::serve_worker(struct mg_connection *connection,
    const struct mg_request_info *info, const std::string &body,
    SimWorker &worker)
{
	std::string path = info->local_uri;
	json_t *call = json_loads(body.c_str(), 0, nullptr);
	auto number = [call](const char *name) {
		return (int64_t)json_integer_value(json_object_get(call, name));
	};
	const char *task = json_string_value(json_object_get(call, "Task"));
	const char *resumed =
	    json_string_value(json_object_get(call, "Checkpoint"));
	std::string checkpoint = resumed != nullptr ? resumed : "";
	const char *header =
	    mg_get_header(connection, "Camphorworks-Expected-Instance");
	std::string id = header != nullptr ? header : "";
	std::string name = task != nullptr ? task : "";
	std::unique_lock<std::mutex> guard(lock);
	uint64_t token = (uint64_t)number("FencingToken");
	uint32_t run = (uint32_t)number("Run");
	int64_t until = number("UntilMs");
	uint64_t acked = (uint64_t)number("AckedSeq");
	int64_t wait_ms = number("WaitMs");
	bool is_start = path == "/camphorworks/run-start";
	bool is_hold = path == "/camphorworks/hold";
	bool is_odd = !checkpoint.empty() &&
	    (checkpoint.size() != checkpoint_bytes ||
		checkpoint.compare(0, name.size() + 1, name + "#") != 0);
	std::string reason;
	json_t *root;

	json_decref(call);
	advance_locked();
	if (worker.is_down()) {
		guard.unlock();
		mg_close_connection(connection);
		return;
	}
	if (busy_until[&worker] > now_ms()) {
		guard.unlock();
		answer(connection, 503, "{}");
		return;
	}
	if (!id.empty() && id != worker.id) {
		guard.unlock();
		answer(connection, 421, "{}");
		return;
	}
	int64_t sent_ms = now_ms();
	auto execute = [&worker, name, run, until, token, is_start, sent_ms] {
		bool refusable = worker.called || sent_ms >= worker.start_ms;

		return is_start
		    ? worker.start(name, run, until, token, now_ms(), refusable)
		    : worker.stop(name, run, token, now_ms());
	};
	if (!is_hold && late_orders > 0) {
		late_orders--;
		late_actions.emplace(
		    now_ms() + late_ms(), [&worker, id, execute] {
			    if (!worker.is_down() && id == worker.id)
				    execute();
		    });
		guard.unlock();
		give_no_answer(connection);
		return;
	}
	int64_t incarnation_ms = worker.incarnation_ms;

	worker.called = true;
	if (is_start && !checkpoint.empty())
		run_checker.resumed[name]++;
	run_checker.odd_checkpoints += is_odd;
	root = json_object();
	int starts = run_checker.starts;
	reason = is_hold
	    ? hold(guard, worker, until, acked, token, wait_ms, root)
	    : execute();
	if (is_start && run_checker.starts > starts)
		zones.note_start(worker.zone, name, now_ms());
	/* A restart breaks the connections. */
	if (worker.is_down() || worker.incarnation_ms != incarnation_ms) {
		guard.unlock();
		json_decref(root);
		mg_close_connection(connection);
		return;
	}
	json_object_set_new(
	    root, "ClockMs", json_integer(worker.clock(now_ms())));
	/* Only lists of runs name their incarnation. */
	if (is_hold)
		json_object_set_new(
		    root, "born", json_integer(worker.incarnation_ms));
	if (!reason.empty())
		json_object_set_new(
		    root, "Reason", json_string(reason.c_str()));
	if (drop_worker_answers > 0) {
		drop_worker_answers--;
		busy_until[&worker] = now_ms() + busy_after_drop_ms;
		guard.unlock();
		json_decref(root);
		mg_close_connection(connection);
		return;
	}
	guard.unlock();
	answer_json(connection, reason.empty() ? 200 : 409, root);
}

inline std::string
Emulator::hold(std::unique_lock<std::mutex> &guard, SimWorker &worker,
    int64_t until, uint64_t acked, uint64_t token, int64_t wait_ms,
    json_t *root)
{
	int64_t end_ms = now_ms() + wait_ms;

	worker.checkpoint_is_read |= worker.listed_checkpoint;
	std::string reason = worker.hold(until, acked, token, now_ms());
	json_t *running = json_array();
	json_t *ended = json_array();

	while (reason.empty() && worker.ends.empty() && now_ms() < end_ms) {
		log_changed.wait_for(guard, std::chrono::milliseconds(10));
		worker.advance(now_ms());
	}
	if (odd_list >= 0 && &worker == &workers[(size_t)odd_list])
		json_array_append_new(running, json_pack("[s,f]", "x", 1e300));
	for (const auto &run : worker.runs) {
		if (worker.is_garbled(worker.garbled_runs, run.second.task)) {
			json_array_append_new(running, json_pack("[s]", "?"));
			continue;
		}
		worker.listed_checkpoint |= !run.second.checkpoint.empty();
		json_array_append_new(running,
		    json_pack("[s,i,s,i]", run.second.task.c_str(),
			(int)run.second.run, run.second.checkpoint.c_str(),
			(int)worker.percent(run.second, now_ms())));
	}
	for (const SimEnd &end : worker.ends)
		json_array_append_new(ended,
		    worker.is_garbled(worker.garbled_ends, end.task)
			? json_pack("[I,n]", (json_int_t)end.number)
			: json_pack("[I,s,i,s,s]", (json_int_t)end.number,
			      end.task.c_str(), (int)end.run, end.how.c_str(),
			      end.checkpoint.c_str()));
	json_object_set_new(root, "Running", running);
	json_object_set_new(root, "EndedRuns", ended);
	return reason;
}

#endif
