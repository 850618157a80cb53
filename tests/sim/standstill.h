#ifndef CAMPHOR_TESTS_STANDSTILL_H
#define CAMPHOR_TESTS_STANDSTILL_H

#include "worker_sim.h"

/*
 * Standstill checker: finds jobs of which nothing runs although a task of them
 * could. It goes by what the workers run and have ended, not by what a placer
 * says. Its owner adds accepted jobs, removes cancelled and failed ones,
 * reports disruptions and takes samples. Time is an argument.
 */
struct Standstill {
	static constexpr int64_t STAND_MS = 3000;
	/* Without a disruption for so long before a stand may begin. */
	static constexpr int64_t CALM_MS = 4000;
	/* A stand of a task that lasts begins so long after its last run. */
	static constexpr int64_t AFTER_RUN_MS = 6000;
	static constexpr int64_t SAMPLE_MS = 10;
	/* A sampler that was held up for longer may have missed a run. */
	static constexpr int64_t GAP_MAX_MS = 100;

	struct Step {
		uint32_t count = 1; /* tasks */
		uint64_t after = 0; /* bit mask of the steps it depends on */
		bool gang = false;
		bool lasts = false;
	};

	struct Stand {
		int64_t from_ms = 0;
		int64_t to_ms = 0;
	};

	std::map<std::string, std::vector<Step>> jobs;
	/* Jobs, and tasks that last, which stood; the longest time of each. */
	std::map<std::string, Stand> stands;
	/* Jobs with tasks that end are judged from this time on. */
	int64_t traffic_end_ms = INT64_MAX;
	int64_t disrupted_ms = 0; /* time of the latest disruption */
	int64_t sampled_ms = 0;
	std::vector<SimRoom> free_rooms; /* of the workers in use */
	bool under_half = false;         /* of all resources is in use */
	std::map<std::string, int64_t> last_runs; /* of tasks that last */
	std::map<std::string, int64_t> since; /* stands, maybe, since then */

	void
	add(const std::string &job, const std::vector<Step> &steps)
	{
		jobs[job] = steps;
	}

	void
	remove(const std::string &job)
	{
		jobs.erase(job);
	}

	/* Notes a disruption, or one that is still in force. */
	void
	disrupt(int64_t now_ms)
	{
		disrupted_ms = std::max(disrupted_ms, now_ms);
	}

	/* Takes a sample: of all jobs, and of the workers that are up, answer
	 * and are registered. */
	void
	sample(const SimRunChecker &checker,
	    const std::vector<const SimWorker *> &workers, int64_t now_ms)
	{
		if (sampled_ms != 0 && now_ms - sampled_ms > GAP_MAX_MS)
			disrupt(now_ms);
		sampled_ms = now_ms;
		note_last_runs(checker, now_ms);
		if (now_ms < disrupted_ms + CALM_MS) {
			since.clear();
			return;
		}
		measure(workers);
		for (const auto &entry : jobs) {
			if (now_ms >= traffic_end_ms)
				note(entry.first,
				    could_run(
					checker, entry.first, entry.second),
				    now_ms);
			for (uint32_t i = 0; i < entry.second.size(); i++)
				if (entry.second[i].lasts)
					sample_lasting(
					    checker, entry, i, now_ms);
		}
	}

	/* Returns the stands as text, one a line. */
	std::string
	report() const
	{
		std::string out;

		for (const auto &entry : stands)
			out += entry.first + " stood from " +
			    std::to_string(entry.second.from_ms) + " to " +
			    std::to_string(entry.second.to_ms) + " ms\n";
		return out;
	}

	static std::string
	task_name(const std::string &job, uint32_t step, uint32_t index)
	{
		return job + ".0." + std::to_string(step) + "." +
		    std::to_string(index);
	}

	static bool
	runs(const SimRunChecker &checker, const std::string &task)
	{
		auto found = checker.running.find(task);

		return found != checker.running.end() && !found->second.empty();
	}

	void
	note_last_runs(const SimRunChecker &checker, int64_t now_ms)
	{
		for (const auto &entry : jobs)
			for (uint32_t i = 0; i < entry.second.size(); i++)
				for (uint32_t n = 0; entry.second[i].lasts &&
				     n < entry.second[i].count;
				     n++) {
					std::string task =
					    task_name(entry.first, i, n);

					if (runs(checker, task))
						last_runs[task] = now_ms;
				}
	}

	/* Notes the free room of each worker and the share in use. */
	void
	measure(const std::vector<const SimWorker *> &workers)
	{
		SimRoom all, used;

		free_rooms.clear();
		for (const SimWorker *worker : workers) {
			SimRoom one = worker->used_room();

			all.cores_milli += worker->room.cores_milli;
			all.memory_mb += worker->room.memory_mb;
			all.accels += worker->room.accels;
			used.cores_milli += one.cores_milli;
			used.memory_mb += one.memory_mb;
			used.accels += one.accels;
			free_rooms.push_back(
			    {worker->room.cores_milli - one.cores_milli,
				worker->room.memory_mb - one.memory_mb,
				worker->room.accels - one.accels});
		}
		under_half = used.cores_milli * 2 < all.cores_milli &&
		    used.memory_mb * 2 < all.memory_mb &&
		    used.accels * 2 < all.accels;
	}

	/* Returns whether there is room for so many tasks of one kind. */
	bool
	has_room(const SimRoom &need, int64_t count) const
	{
		for (const SimRoom &room : free_rooms) {
			int64_t fit = count;

			if (need.cores_milli > 0)
				fit = std::min(
				    fit, room.cores_milli / need.cores_milli);
			if (need.memory_mb > 0)
				fit = std::min(
				    fit, room.memory_mb / need.memory_mb);
			if (need.accels > 0)
				fit = std::min(fit, room.accels / need.accels);
			count -= std::max<int64_t>(0, fit);
		}
		return count <= 0;
	}

	/* Returns whether the turn of a step's tasks has come: all tasks of
	 * the steps before it have ended as done. */
	static bool
	turn_has_come(const SimRunChecker &checker, const std::string &job,
	    const std::vector<Step> &steps, uint32_t step)
	{
		for (uint32_t i = 0; i < steps.size(); i++) {
			if ((steps[step].after >> i & 1) == 0)
				continue;
			for (uint32_t n = 0; n < steps[i].count; n++)
				if (steps[i].lasts ||
				    checker.finished.count(
					task_name(job, i, n)) == 0)
					return false;
		}
		return true;
	}

	/* Returns whether nothing of a job runs although a task that ends
	 * could. */
	bool
	could_run(const SimRunChecker &checker, const std::string &job,
	    const std::vector<Step> &steps) const
	{
		bool could = false;

		for (uint32_t i = 0; i < steps.size(); i++) {
			uint32_t open = 0;

			for (uint32_t n = 0; n < steps[i].count; n++) {
				std::string task = task_name(job, i, n);

				if (runs(checker, task))
					return false;
				open += checker.finished.count(task) == 0;
			}
			could = could ||
			    (under_half && !steps[i].lasts && open > 0 &&
				turn_has_come(checker, job, steps, i) &&
				has_twice_the_room(checker, job, steps[i], i));
		}
		return could;
	}

	bool
	has_twice_the_room(const SimRunChecker &checker, const std::string &job,
	    const Step &row, uint32_t step) const
	{
		return has_room(checker.need(task_name(job, step, 0)),
		    row.gang ? 2 * (int64_t)row.count : 2);
	}

	/* Judges each task of a step by itself. */
	void
	sample_lasting(const SimRunChecker &checker,
	    const std::pair<const std::string, std::vector<Step>> &job,
	    uint32_t step, int64_t now_ms)
	{
		const Step &row = job.second[step];
		bool could =
		    turn_has_come(checker, job.first, job.second, step) &&
		    has_twice_the_room(checker, job.first, row, step);

		for (uint32_t n = 0; n < row.count; n++) {
			std::string task = task_name(job.first, step, n);
			auto last = last_runs.find(task);

			note(task,
			    could && !runs(checker, task) &&
				(last == last_runs.end() ||
				    now_ms >= last->second + AFTER_RUN_MS),
			    now_ms);
		}
	}

	/* Notes whether a job or task could run now and does not. It stands if
	 * that held for STAND_MS, and one sample more for the clocks of real
	 * processes. */
	void
	note(const std::string &name, bool could, int64_t now_ms)
	{
		int64_t from_ms;
		Stand *stand;

		if (!could) {
			since.erase(name);
			return;
		}
		from_ms = since.emplace(name, now_ms).first->second;
		if (now_ms - from_ms < STAND_MS + SAMPLE_MS)
			return;
		stand = &stands[name];
		if (now_ms - from_ms > stand->to_ms - stand->from_ms)
			*stand = {from_ms, now_ms};
	}
};

#endif
