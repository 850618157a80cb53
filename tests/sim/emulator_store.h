#ifndef CAMPHOR_TESTS_EMULATOR_STORE_H
#define CAMPHOR_TESTS_EMULATOR_STORE_H

/* Calls to the simulated store. Included by emulator.h only. */

inline std::vector<SimRecord>
Emulator::parse_records(const std::string &body)
{
	std::vector<SimRecord> out;
	size_t at = 0;

	while (at + 5 <= body.size()) {
		const unsigned char *p =
		    (const unsigned char *)body.data() + at;
		size_t length = (size_t)p[0] << 24 | (size_t)p[1] << 16 |
		    (size_t)p[2] << 8 | p[3];
		size_t key = p[4];

		out.push_back({body.substr(at + 5, key),
		    body.substr(at + 5 + key, length - 1 - key)});
		at += 4 + length;
	}
	return out;
}

inline void
Emulator::put_number(std::string &out, uint64_t value, int bytes)
{
	while (bytes-- > 0)
		out.push_back((char)(value >> (8 * bytes)));
}

inline void
Emulator::serve_store(struct mg_connection *connection,
    const struct mg_request_info *info, const char *vm, const std::string &body)
{
	std::string path = info->local_uri;
	uint32_t vm_bit = 1U << atoi(vm);

	if ((silent_vms & vm_bit) != 0) {
		while ((silent_vms & vm_bit) != 0)
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(20));
		mg_close_connection(connection);
		return;
	}
	if (store_down || (rejected_vms & vm_bit) != 0) {
		answer(connection, 503, "{}");
		return;
	}
	while ((config_silent || (config_silent_vms & vm_bit) != 0) &&
	    query(info, "Topic") == "keyed.op")
		std::this_thread::sleep_for(std::chrono::milliseconds(20));
	if (path == "/camphorworks/log-append")
		serve_append(connection, info, body);
	else if (path == "/camphorworks/log-read")
		serve_read(connection, info);
	else if (path == "/camphorworks/log-newest")
		serve_newest(connection, info);
	else if (path == "/camphorworks/log-owners") {
		std::lock_guard<std::mutex> guard(lock);

		group.expire(now_ms());
		/* Every partition has a row; that of a partition
		 * without an owner has an empty member. */
		answer_json(connection, 200,
		    json_pack("{s:[[s,i,s,i]]}", "parts", "keyed.jobs", 0,
			group.owner.c_str(), 0));
	} else if (path == "/camphorworks/log-join")
		serve_join(connection, body, false);
	else if (path == "/camphorworks/log-leave")
		serve_join(connection, body, true);
	else
		answer(connection, 404, "{}");
}

inline void
Emulator::serve_append(struct mg_connection *connection,
    const struct mg_request_info *info, const std::string &body)
{
	uint64_t end = 0;
	int status;

	{
		std::lock_guard<std::mutex> guard(lock);

		status =
		    topics[query(info, "Topic")].append(parse_records(body),
			strtoull(query(info, "epoch").c_str(), nullptr, 10),
			strtoll(query(info, "Sequence").c_str(), nullptr, 10),
			&end);
		log_changed.notify_all();
	}
	if (drop_append_answers > 0) {
		drop_append_answers--;
		mg_close_connection(connection);
		return;
	}
	if (status != 200)
		answer_json(
		    connection, status, json_pack("{s:s}", "Reason", "fenced"));
	else
		answer_json(connection, 200,
		    json_pack("{s:I,s:I}", "Offset", (json_int_t)0, "End",
			(json_int_t)end));
}

inline void
Emulator::serve_read(
    struct mg_connection *connection, const struct mg_request_info *info)
{
	std::unique_lock<std::mutex> guard(lock);
	SimLog &log = topics[query(info, "Topic")];
	uint64_t from = strtoull(query(info, "From").c_str(), nullptr, 10);
	int wait_ms = atoi(query(info, "WaitMs").c_str());
	size_t bytes_max = (size_t)atoi(query(info, "MaxKib").c_str()) * 1024;
	std::string out;

	log_changed.wait_for(guard, std::chrono::milliseconds(wait_ms), [&] {
		return log.end() > from;
	});
	if (from < log.first) {
		guard.unlock();
		answer(connection, 410, "{}");
		return;
	}
	put_number(out, log.end(), 8);
	put_number(out, log.first, 8);
	for (uint64_t i = from; i < log.end(); i++) {
		const SimRecord &row = log.records[i - log.first];

		if (out.size() - 16 + 5 + row.key.size() + row.value.size() >
		    bytes_max)
			break;
		put_number(out, 1 + row.key.size() + row.value.size(), 4);
		out.push_back((char)row.key.size());
		out += row.key + row.value;
	}
	guard.unlock();
	answer(connection, 200, out);
}

inline void
Emulator::serve_newest(
    struct mg_connection *connection, const struct mg_request_info *info)
{
	std::unique_lock<std::mutex> guard(lock);
	SimLog &log = topics[query(info, "Topic")];
	json_t *items = json_array();
	std::string after = query(info, "After");

	bool more = false;

	for (const auto &entry : log.newest()) {
		if (entry.first <= after)
			continue;
		if (json_array_size(items) == page_items) {
			more = true;
			break;
		}
		const std::string &value = entry.second.second;
		std::string text(value.size() * 2 + 8, '\0');
		int n = EVP_EncodeBlock((unsigned char *)&text[0],
		    (const unsigned char *)value.data(), (int)value.size());

		text.resize((size_t)n);
		json_array_append_new(items,
		    json_pack("{s:s%,s:s,s:I}", "Key", entry.first.data(),
			entry.first.size(), "Value", text.c_str(), "Offset",
			(json_int_t)entry.second.first));
	}
	json_t *root = json_pack("{s:o,s:b,s:I}", "items", items, "HasMore",
	    (int)more, "End", (json_int_t)log.end());
	guard.unlock();
	answer_json(connection, 200, root);
}

inline void
Emulator::serve_join(
    struct mg_connection *connection, const std::string &body, bool leave)
{
	json_t *call = json_loads(body.c_str(), 0, nullptr);
	const char *member = json_string_value(json_object_get(call, "Member"));
	json_t *parts = json_array();
	uint64_t generation;

	{
		std::lock_guard<std::mutex> guard(lock);

		if (leave)
			group.leave(member);
		else if (group.join(member,
			     json_integer_value(json_object_get(call, "TtlMs")),
			     now_ms()))
			json_array_append_new(
			    parts, json_pack("[s,i,i]", "keyed.jobs", 0, 0));
		generation = group.generation;
	}
	json_decref(call);
	answer_json(connection, 200,
	    json_pack("{s:I,s:o}", "Generation", (json_int_t)generation,
		"parts", parts));
}

#endif
