#include <gtest/gtest.h>

#include "flow_world.h"

#define JOB "00000000000000e1"

namespace {

/* A job with two runs on one worker, whose report the test writes. */
struct ReportWorld : FlowWorld {
	struct fw_tables tables;
	uint32_t link;
	uint32_t runs[2];
	struct fw_listed_end ends[2] = {};

	ReportWorld()
	{
		uint64_t id;
		uint64_t worker = host("1", "r1");

		submit(JOB, {step(2, 1)});
		EXPECT_EQ(2U, place());
		fw_flow_id(JOB, &id);
		fw_tables_init(&tables);
		link = fw_link_get(&tables, worker);
		for (uint32_t i = 0; i < 2; i++) {
			runs[i] = fw_run_add(&tables, id, i, 1, link);
			tables.runs[runs[i]].phase = FW_PHASE_UP;
		}
	}

	~ReportWorld()
	{
		tables.links[link].report.ends = nullptr;
		tables.links[link].report.end_count = 0;
		fw_tables_free(&tables);
	}

	/* The worker lists the end of its first run, and of the second where
	 * second is one. Returns up to where ends may be acknowledged. */
	uint64_t
	list(enum fw_end first, int second = -1)
	{
		struct fw_report &report = tables.links[link].report;

		for (uint32_t i = 0; i < 2; i++) {
			strcpy(ends[i].task.job, JOB);
			ends[i].task.index = i;
			ends[i].run = 1;
			ends[i].number = i + 1;
		}
		ends[0].end = first;
		ends[1].end = (enum fw_end)second;
		report.ends = ends;
		report.end_count = second < 0 ? 1 : 2;
		report.sent_ms++;
		bd_read_begin();
		fw_report_take(&tables, board, link, 5000);
		bd_read_end();
		return tables.links[link].ended_upto;
	}

	/* The first run counts as lost and its task is placed again. */
	void
	replace()
	{
		tables.runs[runs[0]].phase = FW_PHASE_ENDED;
		tables.runs[runs[0]].end = FW_END_LOST;
		end(JOB, 0, FW_END_LOST);
		EXPECT_EQ(1U, place());
	}
};

} // namespace

/* Guards against ends that are acknowledged before they are stored: a placer
 * that dies in between would have them done again. */
TEST(FlowReport, EndsAreAcknowledgedOnceTheyAreStored)
{
	ReportWorld world;

	EXPECT_EQ(0U, world.list(FW_END_DONE, FW_END_LAPSED));
	world.end(JOB, 0, FW_END_DONE);
	EXPECT_EQ(1U, world.list(FW_END_DONE, FW_END_LAPSED));
	world.end(JOB, 1, FW_END_LAPSED);
	EXPECT_EQ(2U, world.list(FW_END_DONE, FW_END_LAPSED));
}

/* Guards against the acknowledged end of a run that was replaced: its task
 * would count as started after it was done, or as failed once more. */
TEST(FlowReport, EndsOfReplacedRunsAreNotAcknowledged)
{
	ReportWorld world;

	world.replace();
	EXPECT_EQ(0U, world.list(FW_END_DONE));
	EXPECT_EQ(0U, world.list(FW_END_FAILED));
	EXPECT_EQ(1U, world.list(FW_END_STOPPED));
}

/* Guards against a worker whose ends are never acknowledged again although its
 * lease has lapsed since, which makes its earlier ends void. */
TEST(FlowReport, LapsesMakeEarlierEndsVoid)
{
	ReportWorld world;

	world.replace();
	world.end(JOB, 1, FW_END_LAPSED);
	EXPECT_EQ(2U, world.list(FW_END_DONE, FW_END_LAPSED));
}

/* Guards against a successor that acknowledges the end of a run which its
 * predecessor had replaced: it does not know the run. */
TEST(FlowReport, SuccessorsDoNotAcknowledgeReplacedRuns)
{
	ReportWorld world;

	world.replace();
	fw_run_remove(&world.tables, world.runs[0]);
	EXPECT_EQ(0U, world.list(FW_END_DONE));
}
