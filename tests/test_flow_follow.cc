#include <gtest/gtest.h>

#include "flow_fixture.h"

namespace {

/* A follower on a store whose answers and timers the test controls. */
struct ManualStore {
	FlowFixture fixture;
	struct fw_follower *follower = nullptr;
	std::vector<struct fw_read> reads;
	std::vector<std::pair<void (*)(void *, int64_t), void *>> timers;
	std::vector<std::string> applied;
	std::string no_room_for; /* key of a record that is not applied */
	int64_t now_ms = 100000;

	static int
	read(void *ctx, const struct fw_read *call)
	{
		((ManualStore *)ctx)->reads.push_back(*call);
		return CW_OK;
	}

	static int
	after(void *ctx, uint32_t, void (*run)(void *, int64_t), void *run_ctx)
	{
		((ManualStore *)ctx)->timers.push_back({run, run_ctx});
		return CW_OK;
	}

	static int
	on_record(void *ctx, const struct fw_record *row, int64_t)
	{
		ManualStore *store = (ManualStore *)ctx;

		if (row->key == store->no_room_for)
			return BD_EFULL;
		store->applied.push_back(row->key);
		return CW_OK;
	}

	explicit ManualStore(bool paused = false, bool newest_suffices = false)
	{
		struct fw_store store = {nullptr, read, nullptr, after, this};
		struct fw_follow_spec spec = {};

		spec.paused = paused;
		spec.newest_suffices = newest_suffices;
		spec.wait_ms = 500;
		spec.record = on_record;
		spec.ctx = this;
		fw_follower_start(&follower, fixture.board, &store, &spec);
		run_timers();
	}

	~ManualStore()
	{
		fw_follower_free(follower);
	}

	/* Runs all pending timers; the follower then sends its next read. */
	void
	run_timers()
	{
		auto due = timers;

		timers.clear();
		for (auto &timer : due)
			timer.first(timer.second, now_ms);
	}

	/* Completes the latest read with one record per key, at consecutive
	 * offsets. */
	void
	reply(enum fw_result result, uint64_t from,
	    const std::vector<std::string> &keys, uint64_t end,
	    bool more = false)
	{
		struct fw_read call = reads.back();

		for (const std::string &key : keys) {
			struct fw_record row = {};

			strcpy(row.key, key.c_str());
			row.value = "v";
			row.value_bytes = 1;
			row.offset = from++;
			call.record(call.ctx, &row);
		}
		call.done(call.ctx, result, more, end, now_ms, now_ms + 5);
		run_timers();
	}
};

} // namespace

/* A VM may still be reading the log 4 s after a restart of all VMs. It must
 * then not report an accepted job as nonexistent. */
TEST(FlowFollow, FollowerIsStaleUntilItReachesTheLogEnd)
{
	ManualStore store;

	store.reply(FW_RESULT_DONE, 0, {"j/1"}, 10);
	EXPECT_TRUE(fw_follower_loaded(store.follower));
	EXPECT_GT(fw_follower_age_ms(store.follower, store.now_ms), 100000);
	store.reply(FW_RESULT_DONE, 10, {"j/2"}, 12);
	EXPECT_GT(fw_follower_age_ms(store.follower, store.now_ms), 100000);
	store.reply(FW_RESULT_DONE, 11, {"j/3"}, 12);
	EXPECT_EQ(0, fw_follower_age_ms(store.follower, store.now_ms));
	EXPECT_EQ(12U, fw_follower_position(store.follower));
}

/* No key may be lost between pages, and no progress applied before its job.
 * After the last page all jobs are applied, then all other records in the order
 * of the log. */
TEST(FlowFollow, JobsOfAllPagesAreAppliedFirst)
{
	ManualStore store;

	store.reply(FW_RESULT_DONE, 3, {"c/1", "j/9"}, 10, true);
	EXPECT_TRUE(store.applied.empty());
	EXPECT_STREQ("j/9", store.reads.back().after);
	store.reply(FW_RESULT_DONE, 1, {"p/1"}, 14);
	EXPECT_EQ(
	    (std::vector<std::string>{"j/9", "p/1", "c/1"}), store.applied);
	EXPECT_EQ(10U, store.reads.back().from);
}

/* If records at the read position have expired, the follower reads the newest
 * record of each key instead. It must neither leave a gap nor apply a record
 * twice. */
TEST(FlowFollow, ExpiredOffsetFallsBackToNewestRecords)
{
	ManualStore store;

	store.reply(FW_RESULT_DONE, 0, {}, 5);
	store.reply(FW_RESULT_EXPIRED, 0, {}, 0);
	EXPECT_TRUE(store.reads.back().newest);
	store.reply(FW_RESULT_DONE, 8, {"j/1"}, 9);
	store.reply(FW_RESULT_DONE, 9, {"p/1"}, 10);
	store.reply(FW_RESULT_DONE, 9, {"p/1"}, 10);
	EXPECT_EQ((std::vector<std::string>{"j/1", "p/1"}), store.applied);
}

/* Submissions must not wait for a store that does not answer. */
TEST(FlowFollow, FollowerIsStalledAfterFailedOrOverdueRead)
{
	ManualStore store;

	store.reply(FW_RESULT_DONE, 0, {}, 0);
	EXPECT_FALSE(fw_follower_stalled(store.follower, store.now_ms + 600));
	EXPECT_TRUE(fw_follower_stalled(store.follower, store.now_ms + 1300));
	store.reply(FW_RESULT_NOT_DONE, 0, {}, 0);
	EXPECT_TRUE(fw_follower_stalled(store.follower, store.now_ms));
	store.reply(FW_RESULT_DONE, 0, {}, 0);
	EXPECT_FALSE(fw_follower_stalled(store.follower, store.now_ms));
}

/* VMs must not read topics that only the placer needs. If 37 VMs follow the
 * entries of 350 workers and the progress of all jobs, the traffic saturates
 * the link between regions and orders to workers time out. */
TEST(FlowFollow, PausedFollowerSendsNoReads)
{
	ManualStore store(true);

	EXPECT_TRUE(store.reads.empty());
	fw_follower_resume(store.follower);
	store.run_timers();
	ASSERT_EQ(1U, store.reads.size());
	EXPECT_TRUE(store.reads.back().newest);
	store.reply(FW_RESULT_DONE, 0, {"j/1"}, 1);
	EXPECT_TRUE(fw_follower_loaded(store.follower));
	fw_follower_pause(store.follower);
	store.reply(FW_RESULT_DONE, 1, {"j/2"}, 2);
	EXPECT_EQ(2U, store.reads.size());
}

/* After a pause the follower must not continue from its old offset. If the
 * pause was shorter than the read in flight, it must not start a second
 * concurrent read. */
TEST(FlowFollow, ResumeRereadsTheNewestRecords)
{
	ManualStore store;

	store.reply(FW_RESULT_DONE, 0, {"j/1"}, 1);
	ASSERT_EQ(2U, store.reads.size());
	fw_follower_pause(store.follower);
	fw_follower_resume(store.follower);
	EXPECT_FALSE(fw_follower_loaded(store.follower));
	store.run_timers();
	EXPECT_EQ(2U, store.reads.size());
	store.reply(FW_RESULT_DONE, 1, {"j/2"}, 2);
	ASSERT_EQ(3U, store.reads.size());
	EXPECT_TRUE(store.reads.back().newest);
	store.reply(FW_RESULT_DONE, 0, {"j/1", "j/2"}, 2);
	EXPECT_TRUE(fw_follower_loaded(store.follower));
}

/* Seven versions of 300 KB take 9 s on a link of 2 Mbit/s. */
TEST(FlowFollow, ConfigurationThatIsFarBehindIsReadOnce)
{
	ManualStore store(false, true);

	store.reply(FW_RESULT_DONE, 3, {"config"}, 4);
	store.reply(FW_RESULT_DONE, 0, {}, 4);
	EXPECT_EQ(500U, store.reads.back().wait_ms);
	store.reply(FW_RESULT_UNKNOWN, 0, {}, 0);
	EXPECT_TRUE(store.reads.back().end_only);
	store.reply(FW_RESULT_DONE, 0, {}, 11);
	EXPECT_TRUE(store.reads.back().newest);
	store.reply(FW_RESULT_DONE, 10, {"config"}, 11);
	EXPECT_EQ(2U, store.applied.size());
	EXPECT_EQ(11U, fw_follower_position(store.follower));
	EXPECT_EQ(0, fw_follower_age_ms(store.follower, store.now_ms));
}

/* The newest records of a topic are longer in a snapshot than in the log. */
TEST(FlowFollow, ConfigurationThatIsOneBehindIsReadFromTheLog)
{
	ManualStore store(false, true);

	store.reply(FW_RESULT_DONE, 3, {"config"}, 4);
	store.reply(FW_RESULT_DONE, 0, {}, 5);
	EXPECT_FALSE(store.reads.back().newest);
	EXPECT_FALSE(store.reads.back().end_only);
	EXPECT_EQ(4U, store.reads.back().from);
	EXPECT_EQ(0U, store.reads.back().wait_ms);
	store.reply(FW_RESULT_DONE, 4, {"config"}, 5);
	EXPECT_TRUE(store.reads.back().end_only);
	store.reply(FW_RESULT_DONE, 0, {}, 5);
	EXPECT_EQ(500U, store.reads.back().wait_ms);
	EXPECT_EQ(2U, store.applied.size());
}

/* Versions arrive faster than the link transfers them. */
TEST(FlowFollow, AgeDuringASeriesOfConfigurationsIsThatOfTheLoad)
{
	ManualStore store(false, true);

	for (uint64_t end = 4; end < 40; end += 4) {
		store.now_ms += 1500;
		store.reply(FW_RESULT_DONE, end - 1, {"config"}, end);
		EXPECT_EQ(0, fw_follower_age_ms(store.follower, store.now_ms));
		store.reply(FW_RESULT_DONE, 0, {}, end + 3);
		EXPECT_TRUE(store.reads.back().newest);
	}
}

/* All idle connections to the store may be dead after one has been. */
TEST(FlowFollow, ReadAfterOneWithoutAnswerSaysSo)
{
	ManualStore store;

	store.reply(FW_RESULT_DONE, 0, {}, 0);
	EXPECT_FALSE(store.reads.back().unanswered);
	store.reply(FW_RESULT_UNKNOWN, 0, {}, 0);
	EXPECT_TRUE(store.reads.back().unanswered);
	store.reply(FW_RESULT_NOT_DONE, 0, {}, 0);
	EXPECT_FALSE(store.reads.back().unanswered);
}

/* Keys that the next page skips are missing on this VM for good. */
TEST(FlowFollow, CatchUpReadDoesNotDisturbALoad)
{
	ManualStore store;
	struct fw_record late = {};

	store.reply(FW_RESULT_DONE, 0, {"j/1"}, 1);
	fw_follower_catch_up(store.follower, 5);
	store.run_timers();
	struct fw_read catch_up = store.reads.back();
	struct fw_read waiting = store.reads[store.reads.size() - 2];
	waiting.done(waiting.ctx, FW_RESULT_EXPIRED, false, 0, store.now_ms,
	    store.now_ms);
	store.run_timers();
	struct fw_read page = store.reads.back();
	ASSERT_TRUE(page.newest);
	strcpy(late.key, "j/2");
	late.value = "v";
	late.value_bytes = 1;
	late.offset = 3;
	page.record(page.ctx, &late);
	page.done(
	    page.ctx, FW_RESULT_DONE, true, 9, store.now_ms, store.now_ms);
	strcpy(late.key, "s/9");
	late.offset = 4;
	catch_up.record(catch_up.ctx, &late);
	catch_up.done(
	    catch_up.ctx, FW_RESULT_DONE, false, 5, store.now_ms, store.now_ms);
	store.run_timers();
	EXPECT_STREQ("j/2", store.reads.back().after);
	store.reply(FW_RESULT_DONE, 5, {"j/3"}, 9);
	EXPECT_EQ(
	    (std::vector<std::string>{"j/1", "j/2", "j/3"}), store.applied);
}

/* A VM that has just started would report an empty queue. */
TEST(FlowFollow, PendingJobsAreNotCountedInAnOldCopy)
{
	ManualStore store;
	struct fw_front front = {};
	uint32_t count;

	front.board = store.fixture.board;
	front.jobs = store.follower;
	store.reply(FW_RESULT_DONE, 0, {}, 3);
	EXPECT_EQ(FW_ESTALE, fw_pending_jobs(&front, 1, store.now_ms, &count));
	store.reply(FW_RESULT_DONE, 0, {"j/1", "j/2", "j/3"}, 3);
	EXPECT_EQ(CW_OK, fw_pending_jobs(&front, 1, store.now_ms, &count));
	EXPECT_EQ(0U, count);
	EXPECT_EQ(
	    FW_ESTALE, fw_pending_jobs(&front, 1, store.now_ms + 3000, &count));
}

/* A record that finds no room is an accepted job. It must not be passed over:
 * later records wait, and it is read again. */
TEST(FlowFollow, RecordWithoutRoomIsReadAgain)
{
	ManualStore store;

	store.reply(FW_RESULT_DONE, 0, {"j/1"}, 1);
	store.no_room_for = "j/2";
	store.reply(FW_RESULT_DONE, 1, {"j/2", "j/3"}, 3);
	EXPECT_EQ((std::vector<std::string>{"j/1"}), store.applied);
	EXPECT_EQ(1U, fw_follower_position(store.follower));
	EXPECT_GT(fw_follower_age_ms(store.follower, store.now_ms), 100000);
	store.no_room_for = "";
	EXPECT_EQ(1U, store.reads.back().from);
	store.reply(FW_RESULT_DONE, 1, {"j/2", "j/3"}, 3);
	EXPECT_EQ(
	    (std::vector<std::string>{"j/1", "j/2", "j/3"}), store.applied);
	EXPECT_EQ(0, fw_follower_age_ms(store.follower, store.now_ms));
}

/* The same for the records of a snapshot: a VM that has not applied all of them
 * would answer that an accepted job is not there. */
TEST(FlowFollow, LoadWithoutRoomIsRepeated)
{
	ManualStore store;

	store.no_room_for = "j/2";
	store.reply(FW_RESULT_DONE, 0, {"j/1", "j/2", "j/3"}, 3);
	EXPECT_FALSE(fw_follower_loaded(store.follower));
	store.no_room_for = "";
	EXPECT_TRUE(store.reads.back().newest);
	store.reply(FW_RESULT_DONE, 0, {"j/1", "j/2", "j/3"}, 3);
	EXPECT_TRUE(fw_follower_loaded(store.follower));
	EXPECT_EQ((std::vector<std::string>{"j/1", "j/1", "j/2", "j/3"}),
	    store.applied);
}

/* 4611686018430392589 ms, the age of a copy that was never read, was logged. */
TEST(FlowFollow, AgeOfACopyThatWasNeverReadIsShownAsUnknown)
{
	EXPECT_EQ(-1, fw_age_shown_ms(4611686018430392589));
	EXPECT_EQ(-1, fw_age_shown_ms(3481485 - INT64_MIN / 2));
	EXPECT_EQ(0, fw_age_shown_ms(0));
	EXPECT_EQ(86400000, fw_age_shown_ms(86400000));
}
