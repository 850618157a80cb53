#ifndef CAMPHOR_TESTS_SOAK_H
#define CAMPHOR_TESTS_SOAK_H

#include <random>

#include "deployment.h"

/*
 * A randomized soak: real daemons as processes on the emulated platform, with
 * faults from outside by a seeded plan, in series and overlapping. Callers hand
 * jobs in all the time and repeat a call without an answer at another VM. What
 * callers and workers see is checked while it runs and at its end.
 */
struct Soak {
	struct Call {
		bool accepted = false;
		bool unknown = false; /* a try may have been accepted */
		int tasks = 0;
	};

	Deployment world;
	std::mt19937 random;
	unsigned seed;
	std::mutex lock; /* calls, up */
	std::map<std::string, Call> calls;
	std::vector<bool> up;
	std::vector<int64_t> accept_ms;
	std::atomic<bool> stopping{false};
	std::vector<std::pair<int64_t, std::function<void()>>> repairs;
	int faults = 0;

	enum {
		VMS = 3,
		WORKERS = 6,
	};

	explicit Soak(unsigned number) : random(number), seed(number)
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
		ASSERT_TRUE(world.platform.start(WORKERS, work_ms));
		world.configure();
		for (int i = 0; i < VMS; i++) {
			world.spawn();
			up.push_back(true);
		}
		for (size_t i = 0; i < VMS; i++)
			ASSERT_TRUE(world.ready(i));
	}

	/* One caller: a job, at up to four VMs until its answer is known. */
	void
	submit(const std::string &name, int tasks, unsigned first)
	{
		int64_t begun_ms = Emulator::now_ms();
		Call call;

		call.tasks = tasks;
		for (unsigned i = 0; i < 4 && !call.accepted; i++) {
			int status =
			    world.submit((first + i) % VMS, name, tasks);

			call.accepted = status == 200;
			/* Only 429 and 503 say that it never runs. */
			call.unknown |=
			    status != 200 && status != 503 && status != 429;
		}
		std::lock_guard<std::mutex> guard(lock);
		calls[name] = call;
		if (call.accepted)
			accept_ms.push_back(Emulator::now_ms() - begun_ms);
	}

	void
	later(int64_t delay_ms, const std::function<void()> &repair)
	{
		repairs.push_back({Emulator::now_ms() + delay_ms, repair});
	}

	void
	repair(bool all)
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
	fault_vm(size_t n)
	{
		int kind = draw(0, 2);

		if (!up[n])
			return;
		up[n] = false;
		printf("soak seed=%u vm=%zu %s\n", seed, n,
		    kind == 0       ? "SIGKILL"
			: kind == 1 ? "SIGSTOP"
				    : "SIGTERM");
		if (kind == 0) {
			world.kill(n);
			later(draw(0, 2000), [this, n] {
				world.run(n);
				up[n] = true;
			});
		} else if (kind == 1) {
			::kill(world.pids[n], SIGSTOP);
			later(draw(300, 4000), [this, n] {
				::kill(world.pids[n], SIGCONT);
				up[n] = true;
			});
		} else {
			::kill(world.pids[n], SIGTERM);
			later(6000, [this, n] {
				int status = -1;

				EXPECT_EQ(world.pids[n],
				    waitpid(world.pids[n], &status, WNOHANG))
				    << "VM " << n << " outlived its grace time";
				EXPECT_EQ(0, status);
				world.run(n);
				up[n] = true;
			});
		}
	}

	void
	fault_store()
	{
		int kind = draw(0, 2);

		printf("soak seed=%u store kind=%d\n", seed, kind);
		if (kind == 0) {
			world.platform.store_down = true;
			later(draw(300, 4000), [this] {
				world.platform.store_down = false;
			});
		} else if (kind == 1) {
			world.platform.slow_ms = draw(20, 250);
			later(draw(300, 4000), [this] {
				world.platform.slow_ms = 0;
			});
		} else
			world.platform.lose_answers = draw(1, 6);
	}

	void
	fault_worker(int n)
	{
		int kind = draw(0, 2);

		printf("soak seed=%u worker=%d kind=%d\n", seed, n, kind);
		if (kind == 0) {
			std::lock_guard<std::mutex> guard(world.platform.lock);

			world.platform.mute[n] =
			    Emulator::now_ms() + draw(500, 7000);
		} else if (kind == 1)
			world.platform.lose_worker_answers = draw(1, 10);
		else {
			std::lock_guard<std::mutex> guard(world.platform.lock);

			world.platform.workers[(size_t)n].reborn(
			    Emulator::now_ms());
			world.platform.publish_workers();
		}
	}

	/* Runs callers and faults for a time, then repairs everything. */
	void
	run(int seconds, int jobs_per_s, bool with_faults)
	{
		int64_t end_ms = Emulator::now_ms() + seconds * 1000;
		int64_t job_ms = Emulator::now_ms();
		int64_t fault_ms = Emulator::now_ms() + 500;
		std::vector<std::thread> callers;
		int number = 0;

		while (Emulator::now_ms() < end_ms) {
			if (Emulator::now_ms() >= job_ms) {
				std::string name = job(number++);
				int tasks = draw(1, 4);
				unsigned first = (unsigned)draw(0, VMS - 1);

				callers.emplace_back(
				    [this, name, tasks, first] {
					    submit(name, tasks, first);
				    });
				job_ms += 1000 / jobs_per_s;
			}
			if (with_faults && Emulator::now_ms() >= fault_ms) {
				int where = draw(0, 3);

				faults++;
				fault_ms += draw(200, 1500);
				if (where <= 1)
					fault_vm((size_t)draw(0, VMS - 1));
				else if (where == 2)
					fault_store();
				else
					fault_worker(draw(0, WORKERS - 1));
			}
			repair(false);
			look();
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(10));
		}
		while (!repairs.empty()) {
			repair(false);
			look();
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(10));
		}
		for (std::thread &caller : callers)
			caller.join();
	}

	/* What must hold at any moment. */
	void
	look()
	{
		world.platform.advance();
		for (size_t n = 0; n < VMS; n++) {
			int status;

			if (up[n]) {
				ASSERT_EQ(
				    0, waitpid(world.pids[n], &status, WNOHANG))
				    << "VM " << n << " ended by itself";
			}
		}
	}

	/* What must hold at the end: every accepted job is done, once, and what
	 * was refused never ran. */
	void
	check()
	{
		for (size_t n = 0; n < VMS; n++)
			EXPECT_TRUE(world.ready(n)) << "VM " << n;
		EXPECT_TRUE(world.wait([this] {
			world.platform.advance();
			return missing().empty();
		})) << "accepted and not done: "
		    << missing();
		std::lock_guard<std::mutex> guard(world.platform.lock);
		EXPECT_EQ(0, world.platform.run_checker.concurrent_runs);
		EXPECT_EQ(0, world.platform.run_checker.starts_after_done);
		EXPECT_EQ(0, world.platform.run_checker.capacity_violations);
		for (const auto &entry : calls)
			if (!entry.second.accepted && !entry.second.unknown) {
				EXPECT_EQ(0U,
				    world.platform.run_checker.started.count(
					entry.first + ".0.0.0"))
				    << "refused and run: " << entry.first;
			}
	}

	std::string
	missing()
	{
		std::lock_guard<std::mutex> guard(world.platform.lock);

		for (const auto &entry : calls)
			for (int i = 0;
			     entry.second.accepted && i < entry.second.tasks;
			     i++) {
				std::string task =
				    entry.first + ".0.0." + std::to_string(i);

				/* A worker that starts anew forgets ends that
				 * are stored and not acknowledged yet. */
				if (world.platform.run_checker.finished.count(
					task) == 0)
					return task;
			}
		return "";
	}

	void
	report()
	{
		size_t count = accept_ms.size();

		std::sort(accept_ms.begin(), accept_ms.end());
		printf("soak seed=%u faults=%d jobs=%zu accepted=%zu "
		       "accept_p50_ms=%lld accept_p99_ms=%lld starts=%d\n",
		    seed, faults, calls.size(), count,
		    (long long)(count > 0 ? accept_ms[count / 2] : -1),
		    (long long)(count > 0 ? accept_ms[count * 99 / 100] : -1),
		    world.platform.run_checker.starts);
	}
};

#endif
