#include <gtest/gtest.h>

#include <malloc.h>

#include <atomic>
#include <set>
#include <thread>

#include "flow_fixture.h"

/* Builds a view and checks that its arrays hold what it counts, each id once.
 */
static void
check_view(const FlowFixture &fx)
{
	std::set<uint64_t> ids;
	struct fw_view view;

	bd_read_begin();
	EXPECT_EQ(CW_OK, fw_view_build(&view, fx.board, &fx.settings, 1, 1));
	EXPECT_LE(view.host_count * sizeof(*view.hosts),
	    malloc_usable_size(view.hosts));
	EXPECT_LE(
	    view.job_count * sizeof(*view.jobs), malloc_usable_size(view.jobs));
	for (uint32_t i = 0; i < view.host_count; i++)
		EXPECT_TRUE(ids.insert(view.hosts[i].row->id).second);
	ids.clear();
	for (uint32_t i = 0; i < view.job_count; i++)
		EXPECT_TRUE(ids.insert(view.jobs[i].row->id).second);
	fw_view_free(&view);
	bd_read_end();
}

/* Builds views while a thread writes. */
template <typename Write>
static void
check_views_during(const FlowFixture &fx, Write write)
{
	std::atomic<bool> ended{false};
	std::thread writer([&] {
		write();
		ended = true;
	});

	while (!ended && !::testing::Test::HasFailure())
		check_view(fx);
	writer.join();
	check_view(fx);
}

/* Guards against a crash of the placer when jobs come in while it builds its
 * view: the array was sized by a count taken before. */
TEST(FlowView, JobsThatAreAddedMeanwhileFit)
{
	FlowFixture fx;

	check_views_during(fx, [&] {
		for (int i = 0; i < 12000; i++) {
			char name[24];

			snprintf(name, sizeof(name), "%016x", i + 1);
			ASSERT_EQ(CW_OK,
			    fx.submit(name, {FlowFixture::make_step(1, 1)}));
		}
	});
}

/* Guards against the same with workers. */
TEST(FlowView, WorkersThatAreAddedMeanwhileFit)
{
	FlowFixture fx;

	check_views_during(fx, [&] {
		for (int round = 0; round < 5; round++) {
			bd_clear(fx.board, BD_TABLE_host, BD_WRITER_FLOW);
			for (int i = 0; i < 4000; i++)
				fx.add_host("h" + std::to_string(i),
				    "r" + std::to_string(i / 16));
		}
	});
}

/* Guards against a worker that counts twice, with its capacity, because it was
 * removed and added again, in another entry, while the view is built. */
TEST(FlowView, WorkersThatComeBackMeanwhileCountOnce)
{
	FlowFixture fx;

	for (int i = 0; i < 64; i++)
		fx.add_host("h" + std::to_string(i), "r");
	check_views_during(fx, [&] {
		for (int i = 0; i < 40000; i++) {
			std::string a = "h" + std::to_string(i % 64);
			std::string b = "h" + std::to_string(63 - i % 64);

			bd_remove(fx.board, BD_TABLE_host, BD_WRITER_FLOW,
			    cw_id_from_name(a.c_str()));
			bd_remove(fx.board, BD_TABLE_host, BD_WRITER_FLOW,
			    cw_id_from_name(b.c_str()));
			fx.add_host(a, "r");
			fx.add_host(b, "r");
		}
	});
}

/* Guards against tasks of a new worker that count as those of the one whose
 * entry it has got since the view was built. */
TEST(FlowView, EntriesThatAreUsedAnewAreNotMistaken)
{
	FlowFixture fx;
	struct fw_view view;
	uint64_t former = fx.add_host("former", "r");

	bd_read_begin();
	ASSERT_EQ(CW_OK, fw_view_build(&view, fx.board, &fx.settings, 1, 1));
	EXPECT_EQ(0u, fw_view_host_index(&view, former));
	bd_remove(fx.board, BD_TABLE_host, BD_WRITER_FLOW, former);
	EXPECT_EQ(FW_NONE, fw_view_host_index(&view, fx.add_host("next", "r")));
	fw_view_free(&view);
	bd_read_end();
}
