#ifndef CAMPHOR_TESTS_PLATFORM_SIM_H
#define CAMPHOR_TESTS_PLATFORM_SIM_H

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <map>
#include <set>
#include <string>
#include <vector>

/*
 * Model of the platform without its wire protocol: a keyed log, a consumer
 * group and workers. Time is an argument. emulator.h serves it over HTTP;
 * flow_sim.h calls it directly.
 */

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
		std::map<std::string, std::pair<uint64_t, std::string>> out;

		for (size_t i = 0; i < records.size(); i++) {
			if (records[i].value.empty())
				out.erase(records[i].key);
			else
				out[records[i].key] = {
				    first + i, records[i].value};
		}
		return out;
	}
};

/* Consumer group of the placers; its owner holds the placing duty. */
struct SimGroup {
	uint64_t generation = 0;
	std::map<std::string, int64_t> members; /* by name: time of expiry */
	std::string owner;

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
		expire(now_ms);
		if (members.count(member) == 0)
			generation++;
		members[member] = now_ms + ttl_ms;
		if (owner.empty())
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

struct SimRun {
	std::string task;
	uint32_t run = 0;
	int64_t started_ms = 0;
	int64_t work_ms = 0;
	std::string checkpoint;
};

struct SimEnd {
	uint64_t number = 0;
	std::string task;
	uint32_t run = 0;
	std::string how;
	std::string checkpoint;
	int starts_at_end = 0; /* of the task, on all workers */
};

/* Run checker: tracks the runs of each task on all workers and counts
 * violations. */
struct SimRunChecker {
	std::map<std::string, std::set<const void *>> running;
	std::set<std::string> done;     /* ended as done, acknowledged */
	std::set<std::string> finished; /* ended as done */
	std::map<std::string, int> started;
	int concurrent_runs = 0;
	int starts_after_done = 0; /* starts of tasks in done */
	int starts = 0;
	int capacity_violations = 0;

	void
	start(const std::string &task, const void *worker)
	{
		starts++;
		started[task]++;
		running[task].insert(worker);
		concurrent_runs += running[task].size() > 1;
		starts_after_done += (int)done.count(task);
	}

	void
	end(const std::string &task, const void *worker)
	{
		running[task].erase(worker);
	}
};

/* One worker. Its clock counts from the start of its incarnation. */
struct SimWorker {
	std::string id;
	std::string rack = "r1-1";
	int64_t incarnation_ms = 1;
	int64_t start_ms = 0; /* of this incarnation */
	int64_t max_lease_ms = 6000;
	int64_t work_ms = 500; /* of each task */
	uint32_t accels = 8;
	uint64_t token = 0;
	int64_t until_ms = 0; /* end of the lease on its clock */
	uint64_t next_end = 1;
	bool failing = false; /* all runs fail */
	bool stalled = false; /* no run makes progress */
	std::map<std::string, SimRun> runs;
	std::vector<SimEnd> ends;
	std::map<std::string, uint32_t> highest_ended_run; /* by task */
	SimRunChecker *run_checker = nullptr;

	int64_t
	clock(int64_t now_ms) const
	{
		return now_ms - start_ms + 1;
	}

	void
	finish(const SimRun &run, const char *how)
	{
		SimEnd end;

		end.number = next_end++;
		end.task = run.task;
		end.run = run.run;
		end.how = how;
		end.checkpoint = run.checkpoint;
		end.starts_at_end = run_checker->started[run.task];
		ends.push_back(end);
		if (end.how == "done")
			run_checker->finished.insert(run.task);
		highest_ended_run[run.task] =
		    std::max(highest_ended_run[run.task], run.run);
		run_checker->end(run.task, this);
	}

	/* Ends runs whose work is done or whose lease has expired. */
	void
	advance(int64_t now_ms)
	{
		bool lease_expired = clock(now_ms) > until_ms;

		for (auto it = runs.begin(); it != runs.end();) {
			const SimRun &run = it->second;
			bool work_done =
			    !stalled && now_ms - run.started_ms >= run.work_ms;

			if (!work_done && !lease_expired) {
				++it;
				continue;
			}
			finish(run,
			    work_done ? (failing ? "failed" : "done")
				      : "lapsed");
			it = runs.erase(it);
		}
	}

	/* Returns whether an expired lease has ended a run after the given end.
	 * Such an end counts as never listed, so its acknowledgement has no
	 * effect. */
	bool
	lease_expired_after(const SimEnd &end) const
	{
		return std::any_of(
		    ends.begin(), ends.end(), [&end](const SimEnd &other) {
			    return other.how == "lapsed" &&
				other.number > end.number;
		    });
	}

	void
	acknowledge(const SimEnd &end)
	{
		if (end.how != "done" || lease_expired_after(end))
			return;
		run_checker->done.insert(end.task);
		run_checker->starts_after_done +=
		    run_checker->started[end.task] - end.starts_at_end;
	}

	void
	renew(int64_t until, int64_t now_ms)
	{
		until = std::min(until, clock(now_ms) + max_lease_ms);
		until_ms = std::max(until_ms, until);
	}

	bool
	is_fenced(uint64_t request_token)
	{
		if (request_token < token)
			return true;
		token = request_token;
		return false;
	}

	/* Returns "", or the reason of the rejection. */
	std::string
	start(const std::string &task, uint32_t run, int64_t until,
	    uint64_t request_token, int64_t now_ms)
	{
		SimRun row;

		advance(now_ms);
		if (is_fenced(request_token))
			return "fence";
		if (until < clock(now_ms))
			return "late";
		renew(until, now_ms);
		if (runs.count(task) != 0 && runs[task].run == run)
			return "";
		if (highest_ended_run.count(task) != 0 &&
		    run <= highest_ended_run[task])
			return "old";
		row.task = task;
		row.run = run;
		row.started_ms = now_ms;
		row.work_ms = work_ms;
		runs[task] = row;
		run_checker->start(task, this);
		run_checker->capacity_violations += runs.size() > accels;
		return "";
	}

	std::string
	stop(const std::string &task, uint32_t run, uint64_t request_token,
	    int64_t now_ms)
	{
		advance(now_ms);
		if (is_fenced(request_token))
			return "fence";
		auto it = runs.find(task);
		if (it != runs.end() && it->second.run <= run) {
			finish(it->second, "stopped");
			runs.erase(it);
		}
		highest_ended_run[task] =
		    std::max(highest_ended_run[task], run);
		return "";
	}

	std::string
	hold(int64_t until, uint64_t acked, uint64_t request_token,
	    int64_t now_ms)
	{
		if (is_fenced(request_token))
			return "fence";
		advance(now_ms);
		if (until > 0)
			renew(until, now_ms);
		while (!ends.empty() && ends.front().number <= acked) {
			acknowledge(ends.front());
			ends.erase(ends.begin());
		}
		return "";
	}

	uint32_t
	percent(const SimRun &run, int64_t now_ms) const
	{
		return stalled ? 7
			       : (uint32_t)std::min<int64_t>(99,
				     (now_ms - run.started_ms) * 100 /
					 std::max<int64_t>(1, run.work_ms));
	}

	/* Crashes and starts a new incarnation under the same id. */
	void
	restart(int64_t now_ms)
	{
		for (const auto &run : runs)
			run_checker->end(run.first, this);
		runs.clear();
		ends.clear();
		highest_ended_run.clear();
		token = 0;
		until_ms = 0;
		next_end = 1;
		incarnation_ms++;
		start_ms = now_ms;
	}
};

#endif
