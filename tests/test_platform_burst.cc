#include <gtest/gtest.h>

#include "sim/deployment.h"

/* Many callers at the same moment, on real daemons; `make sanitize` runs this
 * with daemons that are built with a sanitizer, which makes their exit status
 * differ from 0 after any finding. */
struct Burst : public Deployment {
	enum {
		DAEMONS = 2,
		CALLERS = 50,
		ROUNDS = 16
	};

	std::mutex gate;
	std::condition_variable opened;
	int arrived = 0;
	int round = 0;
	std::atomic<int> accepted{0};

	/* Waits until all callers have come. */
	void
	meet()
	{
		std::unique_lock<std::mutex> guard(gate);
		int own = round;

		if (++arrived == CALLERS) {
			arrived = 0;
			round++;
			opened.notify_all();
		}
		opened.wait(guard, [&] {
			return round != own;
		});
	}

	/* Submits a job that is due in an hour. */
	bool
	submit_later(size_t n, const std::string &name)
	{
		int64_t due_ms =
		    std::chrono::duration_cast<std::chrono::milliseconds>(
			std::chrono::system_clock::now().time_since_epoch())
			.count() +
		    3600000;

		return wait([&] {
			return call(front_addresses[n], "/jobs/" + name,
				   "{\"Spec\":\"s\",\"RepeatCount\":1,"
				   "\"FirstRunMs\":" +
				       std::to_string(due_ms) +
				       ",\"IntervalMs\":60000,\"Steps\":[{"
				       "\"Count\":1,\"Cpu\":100,\"MemMb\":10,"
				       "\"EstimateMs\":100}]}") == 200;
		});
	}

	void
	call_rounds(int caller)
	{
		for (int i = 0; i < ROUNDS; i++) {
			meet();
			accepted += submit_later((size_t)caller % DAEMONS,
			    job(i * CALLERS + caller));
		}
	}

	/* Asks a daemon to stop and returns its status. */
	int
	stop(size_t n)
	{
		int status = -1;

		::kill(pids[n], SIGTERM);
		waitpid(pids[n], &status, 0);
		pids[n] = 0;
		return status;
	}
};

/* Guards against a daemon that dies, or that loses jobs it has accepted, when
 * many callers hand in jobs at once. */
TEST(PlatformBurst, DaemonsOutliveManyCallersAtOnce)
{
	Burst burst;
	std::vector<std::thread> callers;

	ASSERT_TRUE(burst.platform.start(4, 200));
	burst.configure();
	for (size_t i = 0; i < Burst::DAEMONS; i++)
		burst.spawn();
	for (size_t i = 0; i < Burst::DAEMONS; i++)
		ASSERT_TRUE(burst.ready(i));
	for (int i = 0; i < Burst::CALLERS; i++)
		callers.emplace_back([&, i] {
			burst.call_rounds(i);
		});
	for (std::thread &caller : callers)
		caller.join();
	EXPECT_EQ(Burst::CALLERS * Burst::ROUNDS, burst.accepted);
	for (int i = 0; i < Burst::CALLERS * Burst::ROUNDS; i++)
		EXPECT_NE(
		    "", burst.job_state((size_t)i % Burst::DAEMONS, job(i)));
	for (size_t i = 0; i < Burst::DAEMONS; i++)
		EXPECT_EQ(0, burst.stop(i));
}
