#include <gtest/gtest.h>

#include <set>

#include "../lib/flow/admit.h"
#include "flow_fixture.h"

namespace {

constexpr int64_t WALL_MS = 100000;

/* A service of 80 accelerators in which work waits: each account has 8,000 s of
 * it on accelerators, of priority 1, with much slack. */
struct Overload {
	struct bd_ledger ledger = {};
	struct fw_need need = {};

	explicit Overload(uint32_t accounts = 2, uint64_t accel_ms = 8000000)
	{
		struct bd_ledger_pool &pool = ledger.pools[0];

		ledger.term = 3;
		ledger.at_ms = WALL_MS;
		ledger.pool_count = 1;
		ledger.account_count = accounts;
		pool.id = 5;
		pool.present = {80, 1280000};
		set_waiting(1, accounts * accel_ms);
		for (uint32_t i = 0; i < accounts; i++) {
			ledger.accounts[i].id = 100 + i;
			pool.accounts[i][1].accel_ms = accel_ms;
		}
		need.id = 0x1234;
		need.queue = 7;
		need.pool = 5;
		need.account = 100;
		need.priority = 1;
		need.run_ms = 2000;
		need.target_ms = 6000;
		need.first = {4, 1000};
		need.widest = {4, 1000};
		need.group_accels = 4;
		need.work = {8000, 2000};
	}

	/* Sets the waiting work of a priority: groups of 4 accelerators with
	 * more slack than a short job has. */
	void
	set_waiting(uint32_t level, uint64_t accel_ms)
	{
		ledger.pools[0].levels[level].by_slack[3].accel_ms = accel_ms;
		ledger.pools[0].levels[level].by_size[2].accel_ms = accel_ms;
	}

	struct fw_verdict
	admit(int64_t wall_ms = WALL_MS) const
	{
		struct fw_verdict verdict;

		fw_admit(&ledger, &need, wall_ms, &verdict);
		return verdict;
	}
};

} // namespace

/* Guards against an overload that admission does not see, and against a verdict
 * that does not tell when to come back. */
TEST(FlowAdmit, JobThatWouldCompleteTooLateIsRejected)
{
	Overload play;
	struct fw_verdict verdict = play.admit();

	EXPECT_EQ(FW_REJECT_ACCELS, verdict.reason);
	EXPECT_TRUE(fw_verdict_rejects(&verdict));
	/* 16,000 s of work on 80 accelerators, and the run. */
	EXPECT_EQ(202000, verdict.expected_ms);
	EXPECT_EQ(27000, verdict.limit_ms);
	EXPECT_GE(verdict.retry_after_s, 40u);
	EXPECT_LE(verdict.retry_after_s, 60u);
}

/* Guards against a margin that is left out: a job is accepted up to 4.5 times
 * its target, as estimates may be off by 0.9. */
TEST(FlowAdmit, LimitIsFourAndAHalfTimesTheTarget)
{
	Overload play(1);

	play.set_waiting(1, 80 * 25000);
	play.ledger.pools[0].accounts[0][1].accel_ms = 80 * 25000;
	EXPECT_EQ(FW_ACCEPT_IN_TIME, play.admit().reason);
	play.set_waiting(1, 80 * 25100);
	play.ledger.pools[0].accounts[0][1].accel_ms = 80 * 25100;
	EXPECT_EQ(FW_REJECT_ACCELS, play.admit().reason);
}

/* Guards against rejections by a ledger that says nothing about the present. */
TEST(FlowAdmit, WithoutARecentLedgerAllIsAccepted)
{
	Overload play;
	struct fw_verdict verdict;

	fw_admit(nullptr, &play.need, WALL_MS, &verdict);
	EXPECT_EQ(FW_ACCEPT_NO_LEDGER, verdict.reason);
	EXPECT_EQ(FW_REJECT_ACCELS, play.admit(WALL_MS + 5000).reason);
	EXPECT_EQ(FW_ACCEPT_NO_LEDGER, play.admit(WALL_MS + 5001).reason);
	EXPECT_EQ(FW_REJECT_ACCELS, play.admit(WALL_MS - 2500).reason);
	EXPECT_EQ(FW_ACCEPT_NO_LEDGER, play.admit(WALL_MS - 2501).reason);
	play.ledger.pool_count = 0;
	EXPECT_EQ(FW_ACCEPT_NOTHING_WAITS, play.admit().reason);
}

/* Guards against rejections where another service is overloaded, and where no
 * capacity is known at all. */
TEST(FlowAdmit, OtherServicesAndUnknownCapacityAreNoReason)
{
	Overload play;

	play.need.pool = 6;
	EXPECT_EQ(FW_ACCEPT_NOTHING_WAITS, play.admit().reason);
	play.need.pool = 5;
	play.ledger.pools[0].present = {0, 0};
	EXPECT_EQ(FW_ACCEPT_IN_TIME, play.admit().reason);
	play.ledger.pools[0].present = {80, 1280000};
	play.ledger.pools[0].held = {80, 1280000};
	EXPECT_EQ(FW_ACCEPT_IN_TIME, play.admit().reason);
}

/* Guards against the rejection of jobs that no time makes useless, and of those
 * within a guarantee. */
TEST(FlowAdmit, GuaranteedLastingAndDeferredJobsAreAccepted)
{
	Overload play;

	play.need.guaranteed = true;
	EXPECT_EQ(FW_ACCEPT_GUARANTEED, play.admit().reason);
	play.need.guaranteed = false;
	play.need.lasts = true;
	EXPECT_EQ(FW_ACCEPT_NO_TARGET, play.admit().reason);
	play.need.lasts = false;
	play.need.deferred = true;
	EXPECT_EQ(FW_ACCEPT_NO_TARGET, play.admit().reason);
	play.need.deferred = false;
	play.need.target_ms = 0;
	EXPECT_EQ(FW_ACCEPT_NO_TARGET, play.admit().reason);
}

/* Guards against accounts that are rejected because one floods the service. */
TEST(FlowAdmit, AccountBelowItsShareIsNotRejectedForAnother)
{
	Overload play;

	play.ledger.pools[0].accounts[1][1].accel_ms = 100000;
	EXPECT_EQ(FW_REJECT_ACCELS, play.admit().reason);
	play.need.account = 101;
	EXPECT_EQ(FW_ACCEPT_FAIR_SHARE, play.admit().reason);
	play.need.account = 999;
	EXPECT_EQ(FW_ACCEPT_FAIR_SHARE, play.admit().reason);
	/* Its share of 40 accelerators is used up. */
	play.need.account = 101;
	play.ledger.pools[0].accounts[1][1].accel_ms = 40 * 26000;
	EXPECT_EQ(FW_REJECT_ACCELS, play.admit().reason);
}

/* Guards against small jobs that are rejected although they fit beside the
 * large ones that wait, and against room reserved for priority 0 that counts
 * for others. */
TEST(FlowAdmit, JobThatFitsBesideIsAccepted)
{
	Overload play;
	struct bd_ledger_pool &pool = play.ledger.pools[0];

	pool.free[1] = {4, 1000};
	pool.free_widest[1] = {4, 1000};
	EXPECT_EQ(FW_ACCEPT_FITS, play.admit().reason);
	pool.free_widest[1] = {3, 1000};
	EXPECT_EQ(FW_REJECT_ACCELS, play.admit().reason);
	pool.free[0] = pool.free_widest[0] = {80, 100000};
	EXPECT_EQ(FW_REJECT_ACCELS, play.admit().reason);
	pool.levels[0] = pool.levels[1];
	play.need.priority = 0;
	EXPECT_EQ(FW_ACCEPT_FITS, play.admit().reason);
}

/* A job with little slack is placed before those with more. Guards against
 * short jobs that are rejected for a backlog of long ones. */
TEST(FlowAdmit, BacklogWithMoreSlackIsNotAheadOfAShortJob)
{
	Overload play;

	play.need.run_ms = 300;
	play.need.target_ms = 1200;
	EXPECT_EQ(FW_ACCEPT_IN_TIME, play.admit().reason);
	play.ledger.pools[0].levels[1].by_slack[1].accel_ms = 80 * 2000;
	EXPECT_EQ(FW_REJECT_ACCELS, play.admit().reason);
}

/* Groups that fit into what larger ones leave are placed before them. Guards
 * against small jobs that are rejected for a backlog of large ones. */
TEST(FlowAdmit, BacklogOfLargerGroupsIsNotAheadOfASmallOne)
{
	Overload play;

	play.need.group_accels = 2;
	EXPECT_EQ(FW_ACCEPT_IN_TIME, play.admit().reason);
	play.need.group_accels = 16;
	EXPECT_EQ(FW_REJECT_ACCELS, play.admit().reason);
}

/* Guards against work of lower priorities that counts as ahead of a job, and
 * work of higher ones that does not. */
TEST(FlowAdmit, OnlyWorkOfItsAndHigherPrioritiesIsAhead)
{
	Overload play;

	play.need.priority = 0;
	EXPECT_EQ(FW_ACCEPT_IN_TIME, play.admit().reason);
	play.need.priority = 2;
	EXPECT_EQ(FW_REJECT_ACCELS, play.admit().reason);
	play.need.priority = 77;
	EXPECT_EQ(FW_REJECT_ACCELS, play.admit().reason);
}

/* Guards against rejections for a resource that the job does not need. */
TEST(FlowAdmit, OnlyResourcesThatTheJobNeedsCount)
{
	Overload play;

	play.need.work.accel_ms = 0;
	EXPECT_EQ(FW_ACCEPT_IN_TIME, play.admit().reason);
	play.ledger.pools[0].levels[1].by_slack[2].core_ms = 1280ULL * 60000;
	play.ledger.pools[0].levels[1].by_size[2].core_ms = 1280ULL * 60000;
	play.ledger.pools[0].accounts[0][1].core_ms = 1280ULL * 60000;
	EXPECT_EQ(FW_REJECT_CORES, play.admit().reason);
}

/* Guards against workers that are silent for a moment and make callers be
 * rejected. */
TEST(FlowAdmit, ReturningWorkersCountAsCapacity)
{
	Overload play(1, 80 * 20000);

	play.ledger.pools[0].present = {20, 1280000};
	EXPECT_EQ(FW_REJECT_ACCELS, play.admit().reason);
	play.ledger.pools[0].returning = {60, 0};
	EXPECT_EQ(FW_ACCEPT_IN_TIME, play.admit().reason);
}

/* Guards against accounts that are rejected because the ledger has no room for
 * them. */
TEST(FlowAdmit, AccountThatTheLedgerHasNoRoomForIsAccepted)
{
	Overload play(BD_LEDGER_ACCOUNTS);

	play.need.account = 999;
	play.need.work.accel_ms = 80 * 60000;
	EXPECT_EQ(FW_REJECT_ACCELS, play.admit().reason);
	play.ledger.left_out = 1;
	EXPECT_EQ(FW_ACCEPT_FAIR_SHARE, play.admit().reason);
}

/* Guards against callers that all come back in the same second, and against
 * repeats of one job that are told different times. */
TEST(FlowAdmit, RetryAfterIsSpreadAndTheSameForAJob)
{
	Overload play;
	std::set<uint32_t> seen;

	for (uint64_t i = 0; i < 1000; i++) {
		play.need.id = 0xabc0000000000000ULL + i;
		struct fw_verdict verdict = play.admit();

		EXPECT_EQ(verdict.retry_after_s, play.admit().retry_after_s);
		EXPECT_GE(verdict.retry_after_s, 1u);
		EXPECT_LE(verdict.retry_after_s, 60u);
		seen.insert(verdict.retry_after_s);
	}
	EXPECT_GE(seen.size(), 18u);
}

/* Guards against a correction of estimates that the decision ignores. */
TEST(FlowAdmit, RunTimeIsCorrectedByItsQueue)
{
	Overload play;

	play.ledger.queue_count = 1;
	play.ledger.queues[0] = {7, 3000};
	EXPECT_EQ(206000, play.admit().expected_ms);
}

/* Guards against a need that forgets tasks, steps or flags. */
TEST(FlowAdmit, NeedSumsAllStepsOfAJob)
{
	FlowFixture fx;
	struct fw_need need;
	struct bd_flow_step first = FlowFixture::make_step(3, 2);
	struct bd_flow_step second =
	    FlowFixture::make_step(2, 8, BD_STEP_FILLS);

	second.after = 1;
	ASSERT_EQ(CW_OK, fx.submit("0000000000000001", {first, second}));
	bd_read_begin();
	fw_need_of(fx.find_flow("0000000000000001"), &need);
	bd_read_end();
	EXPECT_EQ(2000, need.run_ms);
	EXPECT_EQ(7500, need.target_ms);
	EXPECT_EQ(3u * 2 * 1000 + 2 * 8 * 1000, need.work.accel_ms);
	EXPECT_EQ(3000u, need.work.core_ms);
	EXPECT_EQ(6u, need.first.accels);
	EXPECT_EQ(2u, need.widest.accels);
	EXPECT_FALSE(need.lasts);
	EXPECT_FALSE(need.deferred);
}
