#ifndef CAMPHOR_TESTS_SOAK_H
#define CAMPHOR_TESTS_SOAK_H

#include <random>

#include "config_check.h"
#include "deployment.h"

/*
 * Randomized soak test: daemon processes on the emulated platform, with
 * injected faults, consecutive and overlapping, by a seeded plan. Callers
 * submit jobs continuously and retry a call that was not accepted on another
 * VM. What callers and workers observe is checked during the test and at its
 * end.
 */
struct Soak {
	struct Call {
		bool accepted = false;
		/* An attempt was neither accepted nor rejected. */
		bool maybe_accepted = false;
		int tasks = 0;
	};

	Deployment deployment;
	ConfigCheck config;
	std::mt19937 random;
	unsigned seed;
	std::mutex lock; /* guards calls and latencies */
	std::map<std::string, Call> calls;
	std::vector<bool> vm_running;
	std::vector<int64_t> accept_latencies_ms;
	std::atomic<bool> stopping{false};
	std::vector<std::pair<int64_t, std::function<void()>>> repairs;
	int faults = 0;

	enum {
		VMS = 3,
		WORKERS = 6,
	};

	explicit Soak(unsigned seed_value)
	    : config(deployment, VMS, seed_value), random(seed_value),
	      seed(seed_value)
	{
	}

	int
	draw(int from, int to)
	{
		return std::uniform_int_distribution<int>(from, to)(random);
	}

	void
	start(int work_ms)
	{
		ASSERT_TRUE(deployment.platform.start(WORKERS, work_ms));
		deployment.configure();
		for (int i = 0; i < VMS; i++) {
			deployment.spawn();
			vm_running.push_back(true);
		}
		for (size_t i = 0; i < VMS; i++)
			ASSERT_TRUE(deployment.ready(i));
	}

	/* Submits one job as a caller does, with up to four attempts on
	 * successive VMs until one accepts it. */
	void
	submit(const std::string &name, int tasks, unsigned first)
	{
		int64_t start_ms = Emulator::now_ms();
		Call call;

		call.tasks = tasks;
		for (unsigned i = 0; i < 4 && !call.accepted; i++) {
			int status =
			    deployment.submit((first + i) % VMS, name, tasks);

			call.accepted = status == 200;
			/* Only 429 and 503 rule out that the job runs. */
			call.maybe_accepted |=
			    status != 200 && status != 503 && status != 429;
		}
		std::lock_guard<std::mutex> guard(lock);
		calls[name] = call;
		if (call.accepted)
			accept_latencies_ms.push_back(
			    Emulator::now_ms() - start_ms);
	}

	void
	schedule_repair(int64_t delay_ms, const std::function<void()> &repair)
	{
		repairs.push_back({Emulator::now_ms() + delay_ms, repair});
	}

	void
	run_repairs(bool all)
	{
		for (size_t i = 0; i < repairs.size();) {
			if (!all && repairs[i].first > Emulator::now_ms()) {
				i++;
				continue;
			}
			std::function<void()> run = repairs[i].second;

			repairs.erase(repairs.begin() + (long)i);
			run();
		}
	}

	void
	inject_vm_fault(size_t n)
	{
		int kind = draw(0, 2);

		if (!vm_running[n])
			return;
		vm_running[n] = false;
		if (kind != 1)
			config.vm_restarts(n);
		printf("soak seed=%u vm=%zu %s\n", seed, n,
		    kind == 0       ? "SIGKILL"
			: kind == 1 ? "SIGSTOP"
				    : "SIGTERM");
		if (kind == 0) {
			deployment.kill(n);
			schedule_repair(draw(0, 2000), [this, n] {
				config.vm_restarts(n);
				deployment.run(n);
				vm_running[n] = true;
			});
		} else if (kind == 1) {
			::kill(deployment.pids[n], SIGSTOP);
			schedule_repair(draw(300, 4000), [this, n] {
				::kill(deployment.pids[n], SIGCONT);
				vm_running[n] = true;
			});
		} else {
			::kill(deployment.pids[n], SIGTERM);
			schedule_repair(6000, [this, n] {
				int status = -1;

				EXPECT_EQ(deployment.pids[n],
				    waitpid(
					deployment.pids[n], &status, WNOHANG))
				    << "VM " << n
				    << " did not exit within its grace time";
				EXPECT_EQ(0, status);
				config.vm_restarts(n);
				deployment.run(n);
				vm_running[n] = true;
			});
		}
	}

	void
	inject_store_fault()
	{
		int kind = draw(0, 2);

		printf("soak seed=%u store kind=%d\n", seed, kind);
		if (kind == 0) {
			deployment.platform.store_down = true;
			schedule_repair(draw(300, 4000), [this] {
				deployment.platform.store_down = false;
			});
		} else if (kind == 1) {
			deployment.platform.slow_ms = draw(20, 250);
			schedule_repair(draw(300, 4000), [this] {
				deployment.platform.slow_ms = 0;
			});
		} else
			deployment.platform.drop_append_answers = draw(1, 6);
	}

	void
	inject_worker_fault(int n)
	{
		int kind = draw(0, 2);

		printf("soak seed=%u worker=%d kind=%d\n", seed, n, kind);
		if (kind == 0) {
			std::lock_guard<std::mutex> guard(
			    deployment.platform.lock);

			deployment.platform.unresponsive_until[n] =
			    Emulator::now_ms() + draw(500, 7000);
		} else if (kind == 1)
			deployment.platform.drop_worker_answers = draw(1, 10);
		else {
			std::lock_guard<std::mutex> guard(
			    deployment.platform.lock);

			deployment.platform.workers[(size_t)n].restart(
			    Emulator::now_ms());
			deployment.platform.publish_workers();
		}
	}

	/* Runs callers and injects faults for the given time, then waits for
	 * all repairs and callers. */
	void
	run(int seconds, int jobs_per_s, bool with_faults)
	{
		int64_t end_ms = Emulator::now_ms() + seconds * 1000;
		int64_t job_ms = Emulator::now_ms();
		int64_t fault_ms = Emulator::now_ms() + 500;
		std::vector<std::thread> callers;
		int job_count = 0;

		if (with_faults)
			config.start();
		while (Emulator::now_ms() < end_ms) {
			if (Emulator::now_ms() >= job_ms) {
				std::string name = job(job_count++);
				int tasks = draw(1, 4);
				unsigned first = (unsigned)draw(0, VMS - 1);

				callers.emplace_back(
				    [this, name, tasks, first] {
					    submit(name, tasks, first);
				    });
				job_ms += 1000 / jobs_per_s;
			}
			if (with_faults && Emulator::now_ms() >= fault_ms) {
				int target = draw(0, 3);

				faults++;
				fault_ms += draw(200, 1500);
				if (target <= 1)
					inject_vm_fault(
					    (size_t)draw(0, VMS - 1));
				else if (target == 2)
					inject_store_fault();
				else
					inject_worker_fault(
					    draw(0, WORKERS - 1));
			}
			run_repairs(false);
			check_processes();
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(10));
		}
		while (!repairs.empty()) {
			run_repairs(false);
			check_processes();
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(10));
		}
		for (std::thread &caller : callers)
			caller.join();
		config.stop();
	}

	/* Checks during the test: no daemon exits by itself. */
	void
	check_processes()
	{
		deployment.platform.advance();
		for (size_t n = 0; n < VMS; n++) {
			int status;

			if (vm_running[n]) {
				ASSERT_EQ(0,
				    waitpid(
					deployment.pids[n], &status, WNOHANG))
				    << "VM " << n << " exited by itself";
			}
		}
	}

	/* Checks at the end: all tasks of accepted jobs are done, no task ran
	 * twice at a time or after its acknowledged end, no worker exceeded its
	 * capacity, and rejected jobs never ran. */
	void
	check_at_end()
	{
		for (size_t n = 0; n < VMS; n++)
			EXPECT_TRUE(deployment.ready(n)) << "VM " << n;
		EXPECT_TRUE(deployment.wait([this] {
			deployment.platform.advance();
			return first_unfinished_task().empty();
		})) << "accepted but not done: "
		    << first_unfinished_task();
		std::lock_guard<std::mutex> guard(deployment.platform.lock);
		EXPECT_EQ(0, deployment.platform.run_checker.concurrent_runs);
		EXPECT_EQ(0, deployment.platform.run_checker.starts_after_done);
		EXPECT_EQ(
		    0, deployment.platform.run_checker.capacity_violations);
		for (const auto &entry : calls)
			if (!entry.second.accepted &&
			    !entry.second.maybe_accepted) {
				EXPECT_EQ(0U,
				    deployment.platform.run_checker.started
					.count(entry.first + ".0.0.0"))
				    << "rejected but run: " << entry.first;
			}
	}

	std::string
	first_unfinished_task()
	{
		std::lock_guard<std::mutex> guard(deployment.platform.lock);

		for (const auto &entry : calls)
			for (int i = 0;
			     entry.second.accepted && i < entry.second.tasks;
			     i++) {
				std::string task =
				    entry.first + ".0.0." + std::to_string(i);

				/* A worker that restarts loses ends that
				 * are stored and not acknowledged yet. */
				if (deployment.platform.run_checker.finished
					.count(task) == 0)
					return task;
			}
		return "";
	}

	void
	print_report()
	{
		size_t count = accept_latencies_ms.size();

		std::sort(
		    accept_latencies_ms.begin(), accept_latencies_ms.end());
		printf("soak seed=%u faults=%d jobs=%zu accepted=%zu "
		       "accept_p50_ms=%lld accept_p99_ms=%lld starts=%d\n",
		    seed, faults, calls.size(), count,
		    (long long)(count > 0 ? accept_latencies_ms[count / 2]
					  : -1),
		    (long long)(count > 0
			    ? accept_latencies_ms[count * 99 / 100]
			    : -1),
		    deployment.platform.run_checker.starts);
	}
};

#endif
