#include <gtest/gtest.h>

#include <vector>

#include "sched_world.h"

namespace {

struct Quarantine : public testing::Test {
	void
	SetUp() override
	{
		char text[2048];
		int n = world_text_head(text, sizeof(text), 0.5, 6, "4s");
		n += world_text_account(text + n, sizeof(text) - n, "a", 8, 1);
		world_text_account(text + n, sizeof(text) - n, "b", 8, 1);
		world_init(&w, text);
		world_workers(&w, 10, 5, 1, 8, 32000, 65536);
	}
	void
	TearDown() override
	{
		EXPECT_EQ(w.rejected, 0u);
		world_free(&w);
	}
	uint64_t
	submit(const char *account)
	{
		struct world_job job = {
		    account, 1, 8, 500, 256, BD_CLASS_NORMAL, 0, 600000};
		return world_submit(&w, &job);
	}
	uint64_t
	worker_of(uint64_t job)
	{
		uint64_t worker = 0;
		bd_read_begin();
		const struct bd_task *t =
		    bd_task_lookup(w.board, cw_id_from_pair(job, 0));
		if (t != nullptr)
			worker = t->worker;
		bd_read_end();
		return worker;
	}
	// Fails the job where it stands.
	uint64_t
	fail(uint64_t job)
	{
		uint64_t worker = worker_of(job);
		world_started(&w, job);
		world_ended(&w, job, REC_OUTCOME_RETRY, BD_REASON_MEMBER_FAILED,
		    worker, 0);
		return worker;
	}
	// Fails jobs of these accounts on one worker.
	uint64_t
	fail_on_one(const std::vector<const char *> &accounts)
	{
		std::vector<uint64_t> others;
		uint64_t bad = 0;
		for (const char *account : accounts) {
			uint64_t job = submit(account);
			world_step(&w);
			while (bad != 0 && worker_of(job) != bad) {
				others.push_back(job);
				job = submit(account);
				world_step(&w);
			}
			bad = fail(job);
			world_cancel(&w, job);
			for (uint64_t other : others)
				world_ended(&w, other, REC_OUTCOME_RETRY,
				    BD_REASON_NONE, 0, 0),
				    world_cancel(&w, other);
			others.clear();
		}
		return bad;
	}
	int64_t
	until(uint64_t worker)
	{
		return world_worker_row(&w, worker).quarantine_until_ms;
	}
	struct world w;
};

// Guards against a worker that fails every job and stays in service, against
// blame for one account's bad jobs, and against a backoff that does not grow.
TEST_F(Quarantine, JobsOfSeveralAccountsBlameTheWorker)
{
	uint64_t good = fail_on_one({"a", "a", "a"});
	world_step(&w);
	EXPECT_EQ(until(good), 0);
	uint64_t bad = fail_on_one({"b"});
	world_step(&w);
	ASSERT_EQ(bad, good);
	EXPECT_EQ(until(bad), w.now_ms + 60000);
	w.now_ms += 60000;
	world_step(&w);
	EXPECT_EQ(until(bad), 0); // on probation
	// One failure of a probe is enough.
	std::vector<uint64_t> probes;
	uint64_t probe = 0;
	while (probe == 0 && probes.size() < 10) {
		probes.push_back(submit("a"));
		world_step(&w);
		if (worker_of(probes.back()) == bad)
			probe = probes.back();
	}
	ASSERT_NE(probe, 0u);
	fail(probe);
	world_step(&w);
	EXPECT_EQ(until(bad), w.now_ms + 120000);
}

// Guards against more workers in quarantine than the cap allows.
TEST_F(Quarantine, CapHolds)
{
	std::vector<uint64_t> jobs;
	for (int round = 0; round < 3; round++) {
		jobs.clear();
		for (int i = 0; i < 10; i++)
			jobs.push_back(submit(round % 2 ? "a" : "b"));
		world_step(&w);
		for (uint64_t job : jobs)
			if (worker_of(job) != 0) {
				fail(job);
				world_cancel(&w, job);
			} else {
				world_cancel(&w, job);
			}
	}
	world_step(&w);
	int held = 0;
	for (int i = 0; i < 10; i++)
		held += until(cw_id_from_name(
			    ("w" + std::to_string(i)).c_str())) != 0;
	EXPECT_EQ(held, 1);
}

// Guards against a job that fails everywhere and is tried for ever, and
// against blame on the workers that it failed on.
TEST_F(Quarantine, JobThatFailsOnGoodWorkersEnds)
{
	uint64_t job = submit("a");
	std::vector<uint64_t> tried;
	for (int i = 0; i < 3; i++) {
		world_step(&w);
		uint64_t worker = fail(job);
		for (uint64_t before : tried)
			EXPECT_NE(worker, before);
		tried.push_back(worker);
	}
	world_step(&w);
	EXPECT_EQ(world_job_row(&w, job).state, (uint32_t)BD_JOB_FAILED);
	EXPECT_EQ(world_job_row(&w, job).reason,
	    (uint32_t)BD_REASON_JOB_FAILED_REPEATEDLY);
	for (uint64_t worker : tried)
		EXPECT_EQ(until(worker), 0);
}

// Guards against gangs that run on a worker until it is gone.
TEST_F(Quarantine, GangsLeaveALeavingWorker)
{
	uint64_t job = submit("a");
	world_step(&w);
	world_started(&w, job);
	world_worker_state(&w, worker_of(job), BD_WORKER_LEAVING);
	world_step(&w);
	EXPECT_EQ(world_job_row(&w, job).state, (uint32_t)BD_JOB_PREEMPTING);
}

} // namespace
