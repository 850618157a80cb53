#include <atomic>
#include <thread>

#include "front_fixture.h"

/* Rows in the last entries of their tables, and others before them that a
 * thread adds and removes. */
struct FrontTables : public FrontFixture {
	enum {
		ROUNDS = 300,
		OTHERS = 150,
		KEPT = 40
	};

	void
	add(int first, int end)
	{
		for (int i = first; i < end; i++) {
			std::string name = "n" + std::to_string(i);

			put_worker(name.c_str(), "rack", 1);
			put_account(name.c_str(), BD_ROLE_CALLER);
			put_job((uint64_t)i + 1, name.c_str(), BD_JOB_DONE);
		}
	}

	void
	remove_others()
	{
		for (int i = 0; i < OTHERS; i++) {
			std::string name = "n" + std::to_string(i);
			uint64_t id = cw_id_from_name(name.c_str());

			bd_remove(board, BD_TABLE_worker, BD_WRITER_STATE, id);
			bd_remove(board, BD_TABLE_account, BD_WRITER_STATE, id);
			bd_remove(board, BD_TABLE_job, BD_WRITER_STATE,
			    (uint64_t)i + 1);
		}
	}
};

/* Guards against rows that are left out of the operators' pages while others
 * are added: arrays ended at a count taken before. */
TEST_F(FrontTables, RowsStayWhileOthersAreAdded)
{
	std::atomic<bool> ended{false};

	add(0, OTHERS + KEPT);
	remove_others();
	std::thread writer([&] {
		for (int i = 0; i < ROUNDS; i++) {
			add(0, OTHERS);
			remove_others();
		}
		ended = true;
	});

	while (!ended && !HasFailure()) {
		struct fr_account_usage *usage = nullptr;
		struct fr_objectives objectives;
		struct fr_placement placement;
		size_t count = 0;
		size_t kept = 0;

		ASSERT_EQ(CW_OK, fr_placement_build(board, &placement));
		ASSERT_EQ(CW_OK,
		    fr_account_usage_collect(
			board, &placement, 0, &usage, &count));
		ASSERT_EQ(CW_OK,
		    fr_objectives_compute(board, &placement, &objectives));
		for (size_t i = 0; i < placement.count; i++)
			kept +=
			    atoi(placement.workers[i].row.name + 1) >= OTHERS;
		EXPECT_EQ((size_t)KEPT, kept);
		kept = 0;
		for (size_t i = 0; i < count; i++)
			kept += atoi(usage[i].name + 1) >= OTHERS;
		EXPECT_EQ((size_t)KEPT, kept);
		EXPECT_LE((uint32_t)KEPT, objectives.done_jobs);
		free(usage);
		fr_placement_free(&placement);
	}
	writer.join();
}
