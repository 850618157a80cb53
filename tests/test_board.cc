#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include <unistd.h>

#include "board.h"

namespace {

struct bd_duty
make_duty(uint64_t id, uint64_t owner)
{
	struct bd_duty duty = {};

	duty.id = id;
	duty.owner = owner;
	return duty;
}

class BoardTest : public ::testing::Test {
      protected:
	void
	SetUp() override
	{
		ASSERT_EQ(bd_board_create(&board), CW_OK);
	}
	void
	TearDown() override
	{
		bd_board_destroy(board);
	}
	struct bd_handle
	put(uint64_t id, uint64_t owner)
	{
		struct bd_duty duty = make_duty(id, owner);
		struct bd_handle handle = {};

		EXPECT_EQ(bd_put(board, BD_TABLE_duty, BD_WRITER_STATE, id,
			      &duty, sizeof(duty), &handle),
		    CW_OK);
		return handle;
	}
	struct bd_board *board = nullptr;
};

// The handle of a removed row must not reach the row that has reused its
// entry.
TEST_F(BoardTest, HandleOfARemovedRowIsStale)
{
	struct bd_handle old = put(1, 10);
	int status = CW_OK;

	ASSERT_EQ(bd_remove(board, BD_TABLE_duty, BD_WRITER_STATE, 1), CW_OK);
	struct bd_handle reused = put(2, 20);
	EXPECT_EQ(reused.index, old.index);
	bd_read_begin();
	EXPECT_EQ(bd_get(board, BD_TABLE_duty, old, &status), nullptr);
	EXPECT_EQ(status, BD_ESTALE);
	ASSERT_NE(bd_duty_get(board, reused), nullptr);
	EXPECT_EQ(bd_duty_get(board, reused)->owner, 20u);
	bd_read_end();
}

// A replaced row keeps its handle, and must be read with its new content by
// handle and by id.
TEST_F(BoardTest, ReplaceKeepsTheHandle)
{
	struct bd_handle first = put(1, 10);
	struct bd_handle second = put(1, 11);

	EXPECT_EQ(first.index, second.index);
	EXPECT_EQ(first.generation, second.generation);
	bd_read_begin();
	EXPECT_EQ(bd_duty_get(board, first)->owner, 11u);
	EXPECT_EQ(bd_duty_lookup(board, 1)->owner, 11u);
	bd_read_end();
	EXPECT_EQ(bd_row_count(board, BD_TABLE_duty), 1u);
}

// A full table must refuse a new row and keep the others.
TEST_F(BoardTest, FullTableRefusesTheRow)
{
	uint32_t capacity = bd_table_capacity(BD_TABLE_duty);

	for (uint64_t id = 1; id <= capacity; id++)
		put(id, id);
	struct bd_duty duty = make_duty(9999, 1);
	EXPECT_EQ(bd_put(board, BD_TABLE_duty, BD_WRITER_STATE, 9999, &duty,
		      sizeof(duty), nullptr),
	    BD_EFULL);
	EXPECT_EQ(bd_row_count(board, BD_TABLE_duty), capacity);
}

// A controller must not write the table of another controller.
TEST_F(BoardTest, WriteByAnotherControllerIsAsserted)
{
	struct bd_duty duty = make_duty(1, 1);

	EXPECT_DEATH(bd_put(board, BD_TABLE_duty, BD_WRITER_HEALTH, 1, &duty,
			 sizeof(duty), nullptr),
	    "writer");
}

// Guards against readers that see a row partly replaced, or after it was
// freed.
TEST_F(BoardTest, ReadersSeeConsistentRowsDuringReplacement)
{
	std::atomic<bool> stop{false};
	std::atomic<uint64_t> torn{0};

	put(1, 0);
	std::thread reader([&] {
		while (!stop) {
			bd_read_begin();
			const struct bd_duty *row = bd_duty_lookup(board, 1);
			if (row == nullptr || row->owner != row->epoch)
				torn++;
			bd_read_end();
		}
	});
	for (uint64_t i = 0; i < 20000; i++) {
		struct bd_duty duty = make_duty(1, i);
		duty.epoch = i;
		bd_put(board, BD_TABLE_duty, BD_WRITER_STATE, 1, &duty,
		    sizeof(duty), nullptr);
	}
	stop = true;
	reader.join();
	EXPECT_EQ(torn, 0u);
}

#if defined(__has_feature)
#if __has_feature(address_sanitizer) || __has_feature(thread_sanitizer)
#define SANITIZED
#endif
#endif

long
resident_bytes()
{
	long pages = 0;
	FILE *file = fopen("/proc/self/statm", "r");

	EXPECT_EQ(fscanf(file, "%*s %ld", &pages), 1);
	fclose(file);
	return pages * sysconf(_SC_PAGESIZE);
}

// Guards against a hash table that grows without bound on ids whose low bits
// are equal, as those of log positions are. A full table may take its rows,
// 128 bytes of bookkeeping for each, and 2 MB.
TEST_F(BoardTest, FullTableWithLogPositionIdsStaysSmall)
{
	uint32_t capacity = bd_table_capacity(BD_TABLE_task);
	[[maybe_unused]] long before = resident_bytes();

	for (uint64_t i = 1; i <= capacity; i++) {
		struct bd_task task = {};
		task.id = i << 12 | 1;
		ASSERT_EQ(bd_put(board, BD_TABLE_task, BD_WRITER_STATE, task.id,
			      &task, sizeof(task), nullptr),
		    CW_OK);
	}
#ifndef SANITIZED /* shadow memory is resident, too */
	EXPECT_LT(resident_bytes() - before,
	    (long)(capacity * (sizeof(struct bd_task) + 128) + (2 << 20)));
#endif
	bd_read_begin();
	EXPECT_NE(bd_task_lookup(board, 5 << 12 | 1), nullptr);
	bd_read_end();
}

struct StepCount {
	std::atomic<int> steps{0};
};

int64_t
count_step(void *ctx, int64_t now_ms)
{
	static_cast<StepCount *>(ctx)->steps++;
	return now_ms + 3600000;
}

int64_t
read_clock(void *)
{
	return cw_clock_mono_ms();
}

// Guards against a controller that misses a change made during its step.
TEST_F(BoardTest, ControllerRunsAgainAfterAChange)
{
	StepCount count;
	struct ctl_spec spec = {"count", count_step, &count};
	struct ctl_clock clock = {read_clock, nullptr};
	struct ctl *ctl = nullptr;

	ASSERT_EQ(ctl_start(&ctl, board, &spec, &clock), CW_OK);
	int64_t deadline = cw_clock_mono_ms() + 10000;
	while (count.steps < 2 && cw_clock_mono_ms() < deadline)
		bd_notify(board);
	ctl_stop(ctl);
	EXPECT_GE(count.steps, 2);
}

} // namespace
