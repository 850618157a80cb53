#ifndef CAMPHOR_TESTS_LOG_SIM_H
#define CAMPHOR_TESTS_LOG_SIM_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/* Model of the store: a keyed log and a consumer group. Time is an argument. */

struct SimRecord {
	std::string key;
	std::string value; /* empty: deletes the key */
};

/* One partition of a keyed topic. */
struct SimLog {
	std::vector<SimRecord> records;
	uint64_t first = 0; /* first retained offset */
	uint64_t epoch = 0;
	int64_t last_sequence = -1;
	std::map<int64_t, uint64_t> answers; /* by sequence: log end */
	/* The newest records that are no longer in the log. */
	std::map<std::string, std::pair<uint64_t, std::string>> kept;

	uint64_t
	end() const
	{
		return first + records.size();
	}

	/* Returns status 200 or 409. term 0: an append without a producer. An
	 * append with a known sequence is a repetition and stores nothing. */
	int
	append(const std::vector<SimRecord> &added, uint64_t term,
	    int64_t sequence, uint64_t *log_end)
	{
		if (term > 0) {
			if (term < epoch)
				return 409;
			if (term > epoch) {
				epoch = term;
				last_sequence = -1;
				answers.clear();
			}
			if (!added.empty()) {
				auto before = answers.find(sequence);

				if (before != answers.end()) {
					*log_end = before->second;
					return 200;
				}
				if (last_sequence >= 0 &&
				    sequence != last_sequence + 1)
					return 409;
				last_sequence = sequence;
			}
		}
		records.insert(records.end(), added.begin(), added.end());
		*log_end = end();
		if (term > 0 && !added.empty())
			answers[sequence] = *log_end;
		return 200;
	}

	/* Snapshot: the newest record of each key, with its offset. */
	std::map<std::string, std::pair<uint64_t, std::string>>
	newest() const
	{
		std::map<std::string, std::pair<uint64_t, std::string>> out =
		    kept;

		for (size_t i = 0; i < records.size(); i++) {
			if (records[i].value.empty())
				out.erase(records[i].key);
			else
				out[records[i].key] = {
				    first + i, records[i].value};
		}
		return out;
	}

	/* The records of the log so far expire; the newest of each key stay in
	 * snapshots. */
	void
	expire()
	{
		kept = newest();
		first = end();
		records.clear();
	}
};

/* Consumer group of the placers; its owner holds the placing duty. */
struct SimGroup {
	uint64_t generation = 0;
	std::map<std::string, int64_t> members; /* by name: time of expiry */
	std::string owner;
	bool deals_to_newest = false; /* a join takes the duty from others */

	void
	expire(int64_t now_ms)
	{
		for (auto it = members.begin(); it != members.end();)
			if (it->second <= now_ms)
				it = remove(it);
			else
				++it;
	}

	std::map<std::string, int64_t>::iterator
	remove(std::map<std::string, int64_t>::iterator it)
	{
		bool owned = it->first == owner;

		it = members.erase(it);
		generation++;
		if (owned)
			owner = members.empty() ? "" : members.begin()->first;
		return it;
	}

	/* Returns whether the member holds the duty now. */
	bool
	join(const std::string &member, int64_t ttl_ms, int64_t now_ms)
	{
		bool is_new;

		expire(now_ms);
		is_new = members.count(member) == 0;
		if (is_new)
			generation++;
		members[member] = now_ms + ttl_ms;
		if (owner.empty() || (is_new && deals_to_newest))
			owner = member;
		return owner == member;
	}

	void
	leave(const std::string &member)
	{
		auto it = members.find(member);

		if (it != members.end())
			remove(it);
	}
};

#endif
