#ifndef CAMPHOR_TESTS_WORKER_SIM_H
#define CAMPHOR_TESTS_WORKER_SIM_H

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "run_checker.h"

/* Model of the workers. Time is an argument. */

/* One worker. Its clock counts from the start of its incarnation. */
/* Fills a text up to a length. */
inline std::string
filled(const std::string &text, size_t bytes)
{
	return text +
	    std::string(bytes > text.size() ? bytes - text.size() : 0, 'x');
}

struct SimWorker {
	/* A capacity that has shrunk still counts for a contact time and a
	 * heartbeat. */
	static constexpr int64_t SHRINK_GRACE_MS = 4000 + 1500;
	static constexpr int64_t CRASH_DELAY_MS = 10;
	static constexpr size_t ENDS_LISTED_MAX = 500; /* in one answer */
	static constexpr int64_t CRASH_DOWN_MS = 3000;

	struct FormerRoom {
		int64_t until_ms;
		SimRoom room;
	};

	std::string id;
	std::string address; /* name of the connection point */
	std::string rack = "r1-1";
	std::string zone; /* "": its entry names none */
	int64_t incarnation_ms = 1;
	int64_t start_ms = 0;       /* of this incarnation */
	int64_t clock_milli = 1000; /* rate of its clock */
	int64_t max_lease_ms = 6000;
	int64_t stop_timeout_ms = 200;
	int64_t work_ms = 500;                      /* of each task */
	std::map<std::string, int64_t> job_work_ms; /* instead, by job */
	SimRoom room = {128000, 524288, 8};
	std::vector<FormerRoom> former_rooms;
	/* An order has reached this incarnation in time. A late order that
	 * arrives before that cannot be refused: nobody has spoken to the
	 * worker yet. */
	bool called = false;
	uint64_t token = 0;
	int64_t until_ms = 0;  /* end of the lease on its clock */
	int64_t lapsed_ms = 0; /* end of the latest lease before a lapse */
	uint64_t next_end = 1;
	bool failing = false; /* all runs fail */
	bool stalled = false; /* no run makes progress */
	int64_t still_ms = 0; /* no run makes progress from then on, 0: never */
	bool keeps_id = false; /* is back under the same id after a crash */
	int64_t crash_ms = 0;  /* time at which it will crash, 0: none */
	int64_t back_ms = 0;   /* crashed: time at which it is back, 0: is up */
	int64_t crash_down_ms = CRASH_DOWN_MS;
	int64_t down_from_ms = 0; /* time of its latest crash */
	/* Jobs whose runs and ends it lists in rows that cannot be read. */
	std::set<std::string> garbled_runs;
	std::set<std::string> garbled_ends;
	size_t checkpoint_bytes = 0;     /* of its runs, 0: they have none */
	bool listed_checkpoint = false;  /* in the answer to a hold */
	bool checkpoint_is_read = false; /* another hold came after that */
	std::map<std::pair<std::string, uint32_t>, SimRun> runs;
	std::vector<SimEnd> ends;
	std::map<std::string, uint32_t> highest_ended_run; /* by task */
	SimRunChecker *run_checker = nullptr;
	/* Called when it is back after a crash, with its former id. */
	std::function<void(SimWorker &worker, const std::string &former)>
	    on_back;

	bool
	is_garbled(
	    const std::set<std::string> &jobs, const std::string &task) const
	{
		return jobs.count(run_checker->job_of(task)) != 0;
	}

	int64_t
	clock(int64_t now_ms) const
	{
		return (now_ms - start_ms) * clock_milli / 1000 + 1;
	}

	/* Returns whether it was up at a time after its crash before the last.
	 */
	bool
	is_up_at(int64_t at_ms) const
	{
		return at_ms < down_from_ms ||
		    (!is_down() && at_ms >= start_ms);
	}

	/* Returns whether it refuses connections. */
	bool
	is_down() const
	{
		return back_ms != 0;
	}

	/* Returns the time on its clock up to which its runs were alive. */
	int64_t
	alive_ms(int64_t now_ms) const
	{
		return std::min(clock(now_ms), until_ms);
	}

	void
	finish(const SimRun &run, const char *how, int64_t now_ms)
	{
		SimEnd end;

		end.number = next_end++;
		end.task = run.task;
		end.run = run.run;
		end.how = how;
		end.checkpoint = run.checkpoint;
		end.starts_at_end = run_checker->started[run.task];
		end.clock_ms = alive_ms(now_ms);
		ends.push_back(end);
		if (end.how == "stopped")
			run_checker->stopped[run.task]++;
		if (end.how == "done")
			run_checker->finished.insert(run.task);
		highest_ended_run[run.task] =
		    std::max(highest_ended_run[run.task], run.run);
		run_checker->end(run.task, run.run, this);
	}

	/* Returns for how long a run has worked. */
	int64_t
	worked_ms(const SimRun &run, int64_t now_ms) const
	{
		if (still_ms != 0)
			now_ms = std::min(now_ms, still_ms);
		return std::max<int64_t>(0, now_ms - run.started_ms);
	}

	/* Returns whether a run has done its work. */
	bool
	has_worked(const SimRun &run, int64_t now_ms) const
	{
		SimGang *gang = run_checker->gang(run.task, run.run);

		if (gang == nullptr)
			return worked_ms(run, now_ms) >= run.work_ms;
		if (gang->complete_ms != 0 &&
		    now_ms - gang->complete_ms >= run.work_ms)
			gang->done = true;
		return gang->done;
	}

	/* Crashes and returns as due, then ends runs whose work is done, whose
	 * stop is complete or whose lease has expired. */
	void
	advance(int64_t now_ms)
	{
		bool lease_expired = clock(now_ms) > until_ms;

		if (crash_ms != 0 && now_ms >= crash_ms)
			crash(now_ms);
		if (back_ms != 0 && now_ms >= back_ms)
			come_back(now_ms);
		for (auto it = runs.begin(); it != runs.end();) {
			const SimRun &run = it->second;
			bool stopped =
			    run.stopped_ms != 0 && now_ms >= run.stopped_ms;
			bool work_done = !stalled && run.stopped_ms == 0 &&
			    has_worked(
				run, alive_ms(now_ms) - clock(now_ms) + now_ms);

			if (!work_done && !stopped && !lease_expired) {
				++it;
				continue;
			}
			finish(run,
			    work_done     ? (failing ? "failed" : "done")
				: stopped ? "stopped"
					  : "lapsed",
			    now_ms);
			it = runs.erase(it);
		}
	}

	/* Returns whether the lease has lapsed after the given end, whether
	 * that ended a run or not. Such an end counts as never listed, so its
	 * acknowledgement has no effect. */
	bool
	lapsed_after(const SimEnd &end, int64_t now_ms) const
	{
		int64_t lapse_ms =
		    clock(now_ms) > until_ms ? until_ms : lapsed_ms;

		return lapse_ms >= end.clock_ms;
	}

	void
	acknowledge(const SimEnd &end, int64_t now_ms)
	{
		int starts;

		if (end.how != "done" || lapsed_after(end, now_ms))
			return;
		run_checker->done.insert(end.task);
		starts = run_checker->started[end.task] - end.starts_at_end;
		run_checker->starts_after_done += starts;
		run_checker->note(starts, "started between end and ack",
		    end.task, end.run, id, now_ms);
		if (run_checker->observer)
			run_checker->observer(
			    "acknowledged", end.task, end.run, this);
	}

	void
	renew(int64_t until, int64_t now_ms)
	{
		until = std::min(until, clock(now_ms) + max_lease_ms);
		if (clock(now_ms) > until_ms)
			lapsed_ms = until_ms;
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

	/* Changes what the worker says of its room. A smaller room counts
	 * against starts after SHRINK_GRACE_MS only. */
	void
	set_room(const SimRoom &changed, int64_t now_ms)
	{
		former_rooms.push_back({now_ms + SHRINK_GRACE_MS, room});
		room = changed;
	}

	/* Returns the room that starts may fill at the given time. */
	SimRoom
	room_limit(int64_t now_ms) const
	{
		SimRoom limit = room;

		for (const FormerRoom &former : former_rooms) {
			if (former.until_ms <= now_ms)
				continue;
			limit.cores_milli = std::max(
			    limit.cores_milli, former.room.cores_milli);
			limit.memory_mb =
			    std::max(limit.memory_mb, former.room.memory_mb);
			limit.accels =
			    std::max(limit.accels, former.room.accels);
		}
		return limit;
	}

	/* Returns the room that its runs take. */
	SimRoom
	used_room() const
	{
		SimRoom used;

		for (const auto &entry : runs) {
			SimRoom one = run_checker->need(entry.second.task);

			used.cores_milli += one.cores_milli;
			used.memory_mb += one.memory_mb;
			used.accels += one.accels;
		}
		return used;
	}

	/* Returns whether the start of a task that is already among the runs
	 * has brought the worker over its room. */
	bool
	exceeds_room(const std::string &task, int64_t now_ms) const
	{
		SimRoom need = run_checker->need(task);
		SimRoom limit = room_limit(now_ms);
		SimRoom used = used_room();

		return (need.cores_milli > 0 &&
			   used.cores_milli > limit.cores_milli) ||
		    (need.memory_mb > 0 && used.memory_mb > limit.memory_mb) ||
		    (need.accels > 0 && used.accels > limit.accels);
	}

	/* Counts a start, and what it violates. */
	void
	note_start(const std::string &task, uint32_t run, int64_t now_ms,
	    bool refusable)
	{
		SimRunChecker &checker = *run_checker;
		int concurrent = checker.concurrent_runs;
		int after_done = checker.starts_after_done;
		int no_room = checker.capacity_violations;

		checker.start(task, run, this, now_ms,
		    exceeds_room(task, now_ms), refusable);
		checker.note(checker.concurrent_runs - concurrent,
		    "concurrent run", task, run, id, now_ms);
		checker.note(checker.starts_after_done - after_done,
		    "start after end", task, run, id, now_ms);
		checker.note(checker.capacity_violations - no_room, "no room",
		    task, run, id, now_ms);
	}

	/* Returns "", or the reason of the rejection. */
	std::string
	start(const std::string &task, uint32_t run, int64_t until,
	    uint64_t request_token, int64_t now_ms, bool refusable = true)
	{
		SimRun row;

		advance(now_ms);
		if (is_fenced(request_token))
			return "fence";
		if (until < clock(now_ms))
			return "late";
		renew(until, now_ms);
		if (runs.count({task, run}) != 0)
			return "";
		if (highest_ended_run.count(task) != 0 &&
		    run <= highest_ended_run[task])
			return "old";
		row.task = task;
		row.run = run;
		row.started_ms = now_ms;
		row.work_ms = work_ms;
		if (job_work_ms.count(run_checker->job_of(task)) != 0)
			row.work_ms = job_work_ms[run_checker->job_of(task)];
		if (checkpoint_bytes > 0)
			row.checkpoint =
			    filled(task + "#" + std::to_string(run) + "@" + id,
				checkpoint_bytes);
		runs[{task, run}] = row;
		note_start(task, run, now_ms, refusable);
		if (run_checker->is_deadly(task) && crash_ms == 0)
			crash_ms = now_ms + CRASH_DELAY_MS;
		return "";
	}

	std::string
	stop(const std::string &task, uint32_t run, uint64_t request_token,
	    int64_t now_ms)
	{
		advance(now_ms);
		if (is_fenced(request_token))
			return "fence";
		for (auto &entry : runs) {
			SimGang *gang =
			    run_checker->gang(task, entry.first.second);

			if (entry.first.first != task ||
			    entry.first.second > run ||
			    entry.second.stopped_ms != 0)
				continue;
			entry.second.stopped_ms = now_ms + stop_timeout_ms;
			if (gang != nullptr)
				gang->complete_ms = 0;
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
			acknowledge(ends.front(), now_ms);
			ends.erase(ends.begin());
		}
		return "";
	}

	uint32_t
	percent(const SimRun &run, int64_t now_ms) const
	{
		return stalled ? 7
			       : (uint32_t)std::min<int64_t>(99,
				     worked_ms(run, now_ms) * 100 /
					 std::max<int64_t>(1, run.work_ms));
	}

	/* Loses all that it knows and runs. */
	void
	forget()
	{
		for (const auto &entry : runs)
			run_checker->end(
			    entry.second.task, entry.second.run, this);
		runs.clear();
		ends.clear();
		highest_ended_run.clear();
		token = 0;
		until_ms = lapsed_ms = 0;
		called = false;
		next_end = 1;
		crash_ms = 0;
	}

	/* Crashes; comes back after crash_down_ms. */
	void
	crash(int64_t now_ms)
	{
		std::set<std::string> tasks;

		for (const auto &entry : runs)
			tasks.insert(entry.second.task);
		for (const std::string &task : tasks)
			run_checker->crashes[task]++;
		forget();
		down_from_ms = now_ms;
		back_ms = now_ms + crash_down_ms;
	}

	void
	come_back(int64_t now_ms)
	{
		std::string former = id;

		back_ms = 0;
		incarnation_ms++;
		start_ms = now_ms;
		if (!keeps_id)
			id = address + "-" + std::to_string(incarnation_ms);
		if (on_back)
			on_back(*this, former);
	}

	/* Crashes and starts a new incarnation under the same id at once. */
	void
	restart(int64_t now_ms)
	{
		forget();
		back_ms = 0;
		incarnation_ms++;
		start_ms = now_ms;
	}
};

#endif
