#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "sched_world.h"

namespace {

std::string
text_of(double weight)
{
	char text[2048];
	int n = world_text_head(text, sizeof(text), weight, 6, "4s");

	n += world_text_account(text + n, sizeof(text) - n, "a", 8, 1);
	n += world_text_account(text + n, sizeof(text) - n, "b", 8, 1);
	world_text_account(text + n, sizeof(text) - n, "heavy", 8, 4);
	return text;
}

struct Place : public testing::Test {
	void
	SetUp() override
	{
		world_init(&w, text_of(0.7).c_str());
	}
	void
	TearDown() override
	{
		EXPECT_EQ(sch_guarantee_check(w.board), CW_OK)
		    << cw_error_last();
		EXPECT_EQ(w.rejected, 0u);
		world_free(&w);
	}
	uint64_t
	submit(const char *account, uint16_t members, uint16_t accels,
	    uint32_t class_number = BD_CLASS_NORMAL, int64_t run_ms = 600000,
	    uint32_t cross = 0)
	{
		struct world_job job = {account, members, accels, 500, 256,
		    class_number, cross, run_ms};
		return world_submit(&w, &job);
	}
	bool
	placed(uint64_t job)
	{
		return world_job_row(&w, job).state != BD_JOB_WAITING;
	}
	void
	run(uint64_t job)
	{
		world_step(&w);
		ASSERT_EQ(world_started(&w, job), CW_OK);
	}
	void
	end(uint64_t job)
	{
		ASSERT_EQ(world_ended(
			      &w, job, REC_OUTCOME_DONE, BD_REASON_NONE, 0, 0),
		    CW_OK);
	}
	// Number of different values of a field among the workers of a job.
	size_t
	spread(uint64_t job, uint64_t bd_worker::*field)
	{
		std::set<uint64_t> values;
		uint32_t cursor = 0;
		bd_read_begin();
		while (const struct bd_task *t = bd_task_next(w.board, &cursor))
			if (t->job == job)
				values.insert(
				    bd_worker_lookup(w.board, t->worker)
					->*field);
		bd_read_end();
		return values.size();
	}
	struct world w;
};

// Guards against decisions on a gang of which only some rows are applied.
TEST_F(Place, HalfAppliedRecordIsNotDecidedOn)
{
	world_workers(&w, 2, 2, 1, 8, 32000, 65536);
	uint64_t job = submit("a", 1, 1);

	bd_change_begin(w.board);
	EXPECT_LT(sch_step(w.sch, w.now_ms), w.now_ms + 100);
	EXPECT_EQ(w.queued, 0u);
	bd_change_end(w.board);
	run(job);
	EXPECT_TRUE(placed(job));
}

// Guards against gangs that are spread further than they need to be, and
// against members in two regions without leave.
TEST_F(Place, GangsStandAsCloseAsTheyFit)
{
	const struct {
		uint16_t members, accels;
		uint32_t cross;
		size_t workers, racks, zones, regions; // 0: is not placed
	} cases[] = {
	    {4, 2, 0, 1, 1, 1, 1},
	    {2, 8, 0, 2, 1, 1, 1},
	    {3, 8, 0, 3, 2, 1, 1},
	    {8, 8, 0, 8, 4, 2, 1},
	    {10, 8, 0, 0, 0, 0, 0},
	    {10, 8, 1, 10, 5, 3, 2},
	};
	// Two zones of two racks in the north, one in the south.
	world_workers(&w, 12, 2, 2, 8, 32000, 65536);
	for (const auto &c : cases) {
		uint64_t job = submit(
		    "a", c.members, c.accels, BD_CLASS_NORMAL, 600000, c.cross);
		world_step(&w);
		EXPECT_EQ(spread(job, &bd_worker::id), c.workers);
		EXPECT_EQ(spread(job, &bd_worker::rack), c.racks);
		EXPECT_EQ(spread(job, &bd_worker::zone), c.zones);
		EXPECT_EQ(spread(job, &bd_worker::region), c.regions);
		if (c.workers == 0)
			world_cancel(&w, job);
		else
			end(job);
	}
}

// Guards against small jobs that break whole workers and racks.
TEST_F(Place, SmallJobsFillBrokenWorkersFirst)
{
	world_workers(&w, 8, 4, 1, 8, 32000, 65536);
	std::set<uint64_t> used;
	for (int i = 0; i < 8; i++)
		run(submit("a", 1, 2));
	bd_read_begin();
	uint32_t cursor = 0;
	while (const struct bd_task *t = bd_task_next(w.board, &cursor))
		used.insert(t->worker);
	bd_read_end();
	EXPECT_EQ(used.size(), 2u);
}

// Guards against the wrong order: class, then share above quota by weight,
// then age in relation to the run time.
TEST_F(Place, OrderFollowsClassShareAndAge)
{
	world_workers(&w, 3, 3, 1, 8, 32000, 65536);
	uint64_t first = submit("a", 2, 8);
	run(first);
	uint64_t filler = submit("b", 1, 8);
	run(filler);
	struct {
		const char *account;
		uint32_t class_number;
		int64_t run_ms;
		int expected;
		uint64_t job;
	} jobs[] = {
	    {"a", BD_CLASS_NORMAL, 600000, 3, 0}, // a is above its quota
	    {"b", BD_CLASS_BATCH, 600000, 4, 0},
	    {"heavy", BD_CLASS_NORMAL, 600000, 2, 0},
	    {"heavy", BD_CLASS_NORMAL, 60000, 1, 0}, // short
	    {"a", BD_CLASS_URGENT, 600000, 0, 0},
	};
	for (auto &j : jobs)
		j.job = submit(j.account, 1, 8, j.class_number, j.run_ms);
	w.now_ms += 30000;
	uint64_t running = filler;
	for (int turn = 0; turn < 5; turn++) {
		end(running);
		world_step(&w);
		for (auto &j : jobs)
			if (j.expected == turn) {
				EXPECT_TRUE(placed(j.job)) << turn;
				running = j.job;
			}
	}
}

// Guards against a large gang that small jobs keep out for ever, and against
// a reservation that keeps out those that would end in time.
TEST_F(Place, StarvingGangGetsAReservationWithBackfill)
{
	world_workers(&w, 2, 2, 1, 8, 32000, 65536);
	std::vector<uint64_t> small;
	for (int i = 0; i < 16; i++)
		small.push_back(submit("a", 1, 1, BD_CLASS_NORMAL, 3600000));
	world_step(&w);
	for (uint64_t job : small)
		world_started(&w, job);
	uint64_t gang = submit("b", 2, 8);
	w.now_ms += 11 * 60 * 1000;
	world_step(&w); // makes the reservation
	end(small[0]);
	uint64_t late = submit("heavy", 1, 1, BD_CLASS_URGENT, 7200000);
	uint64_t soon = submit("heavy", 1, 1, BD_CLASS_NORMAL, 600000);
	world_step(&w);
	EXPECT_FALSE(placed(late));
	EXPECT_TRUE(placed(soon));
	end(soon);
	for (size_t i = 1; i < small.size(); i++) {
		end(small[i]);
		world_step(&w);
	}
	EXPECT_TRUE(placed(gang));
	EXPECT_FALSE(placed(late));
}

// Guards against jobs that wait for ever for hardware that does not exist, and
// against ending them before the workers are known.
TEST_F(Place, ImpossibleJobEndsWithTheReason)
{
	world_workers(&w, 2, 2, 1, 8, 32000, 65536);
	uint64_t job = submit("a", 3, 8);
	world_step(&w);
	EXPECT_FALSE(placed(job));
	w.now_ms += 61000;
	world_step(&w);
	EXPECT_EQ(world_job_row(&w, job).state, (uint32_t)BD_JOB_FAILED);
	EXPECT_EQ(
	    world_job_row(&w, job).reason, (uint32_t)BD_REASON_FITS_NO_WORKER);
}

// Guards against a gang that is moved for less than it costs, more moves than
// allowed, and a vacated place that is lost to another job.
TEST_F(Place, DefragmentationMovesAFewSmallJobsForAGang)
{
	world_workers(&w, 3, 3, 1, 8, 32000, 65536);
	std::vector<uint64_t> jobs;
	for (int i = 0; i < 6; i++)
		jobs.push_back(submit("a", 1, 4, BD_CLASS_NORMAL, 7200000));
	world_step(&w);
	for (uint64_t job : jobs)
		world_started(&w, job);
	// One job stays on each worker.
	std::set<uint64_t> kept;
	for (uint64_t job : jobs) {
		struct bd_task task = {};
		bd_read_begin();
		task = *bd_task_lookup(w.board, cw_id_from_pair(job, 0));
		bd_read_end();
		// Failed, since a job that is done would teach a run time.
		if (!kept.insert(task.worker).second)
			world_ended(
			    &w, job, REC_OUTCOME_FAILED, BD_REASON_NONE, 0, 0);
	}
	uint64_t gang = submit("b", 1, 8, BD_CLASS_NORMAL, 600000);
	w.now_ms += 11 * 60 * 1000;
	world_step(&w);
	world_step(&w);
	uint64_t moved = 0;
	int stopped = 0;
	for (uint64_t job : jobs)
		if (world_job_row(&w, job).state == BD_JOB_PREEMPTING) {
			moved = job;
			stopped++;
		}
	ASSERT_EQ(stopped, 1);
	EXPECT_EQ(
	    world_job_row(&w, moved).reason, (uint32_t)BD_REASON_DEFRAGMENTED);
	world_ended(&w, moved, REC_OUTCOME_RETRY, BD_REASON_DEFRAGMENTED, 0, 0);
	world_step(&w);
	EXPECT_TRUE(placed(gang));
	EXPECT_TRUE(placed(moved));
}

// Guards against the same proposal made again before its status is known, and
// against proposals by a VM that does not hold the duty.
TEST_F(Place, WaitsForTheStatusOfItsProposals)
{
	world_workers(&w, 2, 2, 1, 8, 32000, 65536);
	uint64_t job = submit("a", 1, 8);
	sch_step(w.sch, w.now_ms);
	ASSERT_EQ(w.queued, 1u);
	sch_step(w.sch, w.now_ms + 10);
	EXPECT_EQ(w.queued, 1u);
	world_flush(&w);
	EXPECT_TRUE(placed(job));

	struct sch_spec spec = {};
	struct sch *idle;
	spec.board = w.board;
	spec.sink = {world_propose, &w};
	spec.may_act = [](void *, int64_t) {
		return false;
	};
	ASSERT_EQ(sch_create(&idle, &spec), CW_OK);
	submit("a", 1, 8);
	sch_step(idle, w.now_ms);
	EXPECT_EQ(w.queued, 0u);
	sch_destroy(idle);
	world_step(&w);
}

// Guards against a burst that takes more than one batch of the log a step or
// repeats its failures, and against a wave of cancellations that moves others.
TEST_F(Place, BurstsAreHandledInBatches)
{
	world_workers(&w, 16, 4, 2, 8, 32000, 65536);
	std::vector<uint64_t> jobs;
	for (int i = 0; i < 5000; i++)
		jobs.push_back(submit(i % 2 ? "a" : "b", 1, 1));
	EXPECT_EQ(world_step(&w), 128u);
	EXPECT_EQ(world_step(&w), 0u);
	for (uint64_t job : jobs)
		if (world_job_row(&w, job).state == BD_JOB_WAITING)
			world_cancel(&w, job);
	EXPECT_EQ(world_step(&w), 0u);
}

} // namespace
