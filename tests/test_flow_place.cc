#include <gtest/gtest.h>

#include "flow_fixture.h"

#define JOB "00000000000000c1"
#define URGENT "00000000000000c2"

static uint32_t
tasks_on(FlowFixture &fixture, const char *job, uint64_t host)
{
	uint32_t count = 0;

	bd_read_begin();
	const struct bd_flow *flow = fixture.find_flow(job);
	for (uint32_t i = 0; i < fw_flow_task_count(flow); i++)
		count += fw_flow_tasks(flow)[i].state == BD_STEP_TASK_PLACED &&
		    fw_flow_tasks(flow)[i].host == host;
	bd_read_end();
	return count;
}

/* A worker must not be assigned more tasks than it has capacity for. */
TEST(FlowPlace, WorkerCapacityIsNotExceeded)
{
	FlowFixture fixture;
	uint64_t a = fixture.add_host("1", "r1");

	fixture.submit(JOB, {FlowFixture::make_step(9, 1)});
	EXPECT_EQ(8U, fixture.place_ready());
	EXPECT_EQ(8U, tasks_on(fixture, JOB, a));
	EXPECT_EQ(0U, fixture.place_ready());
}

/* No member of a gang may start unless all members can be placed. */
TEST(FlowPlace, GangIsPlacedAllOrNothing)
{
	FlowFixture fixture;

	fixture.add_host("1", "r1");
	fixture.submit(JOB, {FlowFixture::make_step(3, 4, BD_STEP_GANG)});
	EXPECT_EQ(0U, fixture.place_ready());
	fixture.add_host("2", "r1");
	EXPECT_EQ(1U, fixture.place_ready());
}

/* A gang that prefers one rack must not be spread over several before its wait
 * of twice the estimated run time is over. */
TEST(FlowPlace, SameRackGangWaitsBeforeItSpreads)
{
	FlowFixture fixture;
	struct bd_flow_step step =
	    FlowFixture::make_step(2, 8, BD_STEP_GANG | BD_STEP_SAME_RACK);

	/* r1 could hold the gang, but one of its workers is in use. */
	fixture.add_host("1", "r1");
	fixture.submit(
	    "00000000000000c3", {FlowFixture::make_step(1, 8)}, 1000);
	EXPECT_EQ(1U, fixture.place_ready(1000));
	fixture.add_host("2", "r1");
	fixture.add_host("3", "r2");
	fixture.submit(JOB, {step}, 1000);
	EXPECT_EQ(0U, fixture.place_ready(1500));
	EXPECT_EQ(0U, fixture.place_ready(1000 + 2 * 1000 - 100));
	EXPECT_EQ(1U, fixture.place_ready(1000 + 2 * 1000 + 100));
}

/* A gang that would not fit into any rack even if the rack were idle must not
 * wait for one. Otherwise large gangs wait for twice their run time before they
 * are spread. */
TEST(FlowPlace, GangsLargerThanAnyRackDoNotWait)
{
	FlowFixture fixture;
	struct bd_flow_step step =
	    FlowFixture::make_step(3, 8, BD_STEP_GANG | BD_STEP_SAME_RACK);

	fixture.add_host("1", "r1");
	fixture.add_host("2", "r1");
	fixture.add_host("3", "r2");
	fixture.submit(JOB, {step}, 1000);
	EXPECT_EQ(1U, fixture.place_ready(1100));
}

/* A step must not start before all steps that it depends on are done. */
TEST(FlowPlace, StepsStartAfterTheirDependencies)
{
	FlowFixture fixture;
	struct bd_flow_step second = FlowFixture::make_step(1, 1);

	second.after = 1;
	fixture.add_host("1", "r1");
	fixture.submit(JOB, {FlowFixture::make_step(2, 1), second});
	EXPECT_EQ(2U, fixture.place_ready());
	fixture.end_run(JOB, 0, FW_END_DONE);
	EXPECT_EQ(0U, fixture.place_ready());
	fixture.end_run(JOB, 1, FW_END_DONE);
	EXPECT_EQ(1U, fixture.place_ready());
}

/* Tasks must not be placed on workers without the required label, nor more
 * tasks on one worker than the step allows. */
TEST(FlowPlace, LabelAndPerWorkerLimitAreEnforced)
{
	FlowFixture fixture;
	struct bd_flow_step step = FlowFixture::make_step(3, 1);

	step.host_max = 1;
	strcpy(step.label, "a");
	fixture.add_host("1", "r1");
	fixture.add_host("2", "r1");
	fixture.submit(JOB, {step});
	EXPECT_EQ(2U, fixture.place_ready());
	strcpy(step.label, "other");
	fixture.submit(URGENT, {step});
	EXPECT_EQ(0U, fixture.place_ready());
}

/* No task may be started on a worker that is leaving. */
TEST(FlowPlace, LeavingWorkersGetNoTasks)
{
	FlowFixture fixture;
	uint64_t id = fixture.add_host("1", "r1");
	struct bd_host row;

	bd_read_begin();
	row = *bd_host_lookup(fixture.board, id);
	bd_read_end();
	row.leaving = 1;
	bd_put(fixture.board, BD_TABLE_host, BD_WRITER_FLOW, id, &row,
	    sizeof(row), nullptr);
	fixture.submit(JOB, {FlowFixture::make_step(1, 1)});
	EXPECT_EQ(0U, fixture.place_ready());
}

/* No task of a cancelled job may be started. */
TEST(FlowPlace, CancelledJobsAreNotPlaced)
{
	FlowFixture fixture;

	fixture.add_host("1", "r1");
	fixture.submit(JOB, {FlowFixture::make_step(1, 1)});
	fixture.cancel(JOB);
	EXPECT_EQ(0U, fixture.place_ready());
}

/* A gang of low priority on two workers, an urgent job that waits, and the
 * gang's runs as preemption candidates. */
struct ReclaimFixture : FlowFixture {
	uint64_t a = add_host("1", "r1");
	uint64_t b = add_host("2", "r1");
	struct fw_view view = {};
	struct fw_groups groups = {};
	struct fw_victim victims[2] = {};

	explicit ReclaimFixture(uint32_t gang_accels)
	{
		submit(JOB, {make_step(2, gang_accels, BD_STEP_GANG)});
		EXPECT_EQ(1U, place_ready());
		queue.priority = 0;
		submit(URGENT, {make_step(1, 8)});
		bd_read_begin();
		fw_view_build(&view, board, &settings, 5000, 2000);
		fw_groups_ready(&groups, &view);
		for (uint32_t i = 0; i < 2; i++) {
			uint64_t id;

			fw_flow_id_parse(JOB, &id);
			victims[i].run = i;
			victims[i].job = fw_view_job_index(&view, id);
			victims[i].host = fw_view_host_index(
			    &view, fw_flow_tasks(find_flow(JOB))[i].host);
			victims[i].priority = 1;
			victims[i].cost = 1000;
		}
	}

	~ReclaimFixture()
	{
		fw_groups_free(&groups);
		fw_view_free(&view);
		bd_read_end();
	}
};

/* A gang that is preempted for an urgent job may also occupy workers outside of
 * the plan. Its capacity there must not be free before the gang has ended;
 * treating it as free leads to starts beyond a worker's capacity. */
TEST(FlowPlace, CapacityOfPreemptedGangsIsNotFreeYet)
{
	ReclaimFixture fixture(5);
	uint32_t plan[1];

	ASSERT_EQ(1U, fixture.groups.count);
	ASSERT_TRUE(fw_reclaim(&fixture.view, &fixture.groups.items[0],
	    fixture.victims, 2, 5000, plan));
	EXPECT_TRUE(
	    fixture.victims[0].to_preempt && fixture.victims[1].to_preempt);
	EXPECT_EQ(3 - 8, fixture.view.hosts[plan[0]].accels);
	EXPECT_EQ(3, fixture.view.hosts[1 - plan[0]].accels);
}

/* Runs must not be stopped if the work lost exceeds the job's cost limit. */
TEST(FlowPlace, PreemptionRespectsItsCostLimit)
{
	ReclaimFixture fixture(8);
	uint32_t plan[1];

	EXPECT_FALSE(fw_reclaim(&fixture.view, &fixture.groups.items[0],
	    fixture.victims, 2, 10, plan));
	EXPECT_FALSE(
	    fixture.victims[0].to_preempt || fixture.victims[1].to_preempt);
	EXPECT_EQ(0, fixture.view.hosts[0].accels);
}

/* Capacity that is freed for an urgent job must not be assigned to another.
 * Without the reservation urgent jobs begin late: each pass chooses new runs to
 * stop, while other jobs take the capacity of those stopped before. */
TEST(FlowPlace, PreemptedCapacityIsReservedForItsJob)
{
	ReclaimFixture fixture(8);
	struct fw_reservation *reservations = nullptr;
	struct fw_view view;
	struct fw_groups groups;
	uint32_t plan[1];

	ASSERT_TRUE(fw_reclaim(&fixture.view, &fixture.groups.items[0],
	    fixture.victims, 2, 5000, plan));
	ASSERT_EQ(CW_OK,
	    fw_reservation_add(
		&reservations, &fixture.view, &fixture.groups.items[0], plan));
	fixture.submit("00000000000000c3", {FlowFixture::make_step(1, 8)}, 500);
	for (uint32_t i = 0; i < 2; i++)
		fixture.end_run(JOB, i, FW_END_STOPPED);
	fw_view_build(&view, fixture.board, &fixture.settings, 5100, 2100);
	fw_groups_ready(&groups, &view);
	fw_reservations_apply(&reservations, &view, &groups);
	EXPECT_EQ(nullptr, reservations);
	uint64_t id;
	fw_flow_id_parse(URGENT, &id);
	EXPECT_EQ(BD_FLOW_RUNNING,
	    fw_job_current(&view.jobs[fw_view_job_index(&view, id)])->state);
	fw_groups_free(&groups);
	fw_view_free(&view);
}

/* Urgent jobs must not wait for other runs to be stopped: with lower-priority
 * work on all workers, each urgent gang begins 1 to 2 s late under heavy load.
 * Here bulk work that could fill every worker is placed before the urgent job.
 */
TEST(FlowPlace, ReservedWorkersStayFreeForUrgentJobs)
{
	FlowFixture fixture;
	struct fw_groups groups;
	struct fw_view view;

	for (int i = 0; i < 5; i++)
		fixture.add_host(std::to_string(i), i < 2 ? "r1" : "r2");
	fixture.submit(JOB, {FlowFixture::make_step(40, 1)});
	fixture.queue.priority = 0;
	fixture.submit(URGENT,
	    {FlowFixture::make_step(2, 8, BD_STEP_GANG | BD_STEP_SAME_RACK)});
	bd_read_begin();
	fw_view_build(&view, fixture.board, &fixture.settings, 5000, 2000);
	fw_view_reserve_urgent(&view, 16);
	fw_groups_ready(&groups, &view);
	for (uint32_t i = 0; i < groups.count; i++)
		groups.items[i].slack_ms = 20000;
	/* Bulk work arrives first and is placed first. */
	for (uint32_t i = 0; i < groups.count; i++) {
		uint32_t hosts[64];
		struct fw_group *group = &groups.items[i];

		if (group->priority != 0 &&
		    fw_group_fit(&view, group, hosts, false)) {
			EXPECT_FALSE(view.hosts[hosts[0]].urgent);
			EXPECT_STREQ("r2", view.hosts[hosts[0]].row->rack);
		}
	}
	fw_groups_sort(&groups);
	uint32_t hosts[64];
	ASSERT_EQ(0U, groups.items[0].priority);
	EXPECT_TRUE(fw_group_fit(&view, &groups.items[0], hosts, false));
	fw_groups_free(&groups);
	fw_view_free(&view);
	bd_read_end();
}

/* Urgent jobs that are too late to be of use must not go before others. On a
 * full deployment, gangs of priority 0 that are 25 s late would hold the
 * capacity of 1,500 accelerators. */
TEST(FlowPlace, JobsFarPastTheirTargetComeLast)
{
	FlowFixture fixture;
	struct fw_groups groups;
	struct fw_view view;
	int64_t now_ms = 60000;

	fixture.add_host("1", "r1");
	fixture.queue.priority = 0;
	fixture.submit(URGENT, {FlowFixture::make_step(1, 8)}, 1000);
	fixture.queue.priority = 2;
	fixture.submit(JOB, {FlowFixture::make_step(1, 8)}, now_ms - 100);
	bd_read_begin();
	fw_view_build(&view, fixture.board, &fixture.settings, 5000, now_ms);
	fw_groups_ready(&groups, &view);
	fw_groups_sort(&groups);
	ASSERT_EQ(2U, groups.count);
	EXPECT_EQ(2U, groups.items[0].priority);
	EXPECT_TRUE(groups.items[1].too_late);
	fw_groups_free(&groups);
	fw_view_free(&view);
	bd_read_end();
	/* A job that is late but still useful keeps its priority. */
	FlowFixture late_fixture;
	late_fixture.add_host("1", "r1");
	late_fixture.queue.priority = 0;
	late_fixture.submit(URGENT, {FlowFixture::make_step(1, 8)}, 1000);
	bd_read_begin();
	fw_view_build(&view, late_fixture.board, &late_fixture.settings, 5000,
	    1000 + 3 * 4000);
	fw_groups_ready(&groups, &view);
	EXPECT_LT(groups.items[0].slack_ms, 0);
	EXPECT_FALSE(groups.items[0].too_late);
	fw_groups_free(&groups);
	fw_view_free(&view);
	bd_read_end();
}

/* While an urgent gang waits for several accelerators, small tasks of lower
 * priority must not take each accelerator as it becomes free. */
TEST(FlowPlace, FreedCapacityIsLeftToWaitingUrgentJobs)
{
	FlowFixture fixture;

	fixture.add_host("1", "r1");
	fixture.add_host("2", "r1");
	fixture.submit(JOB, {FlowFixture::make_step(12, 1)});
	EXPECT_EQ(12U, fixture.place_ready());
	fixture.queue.priority = 0;
	fixture.submit(URGENT, {FlowFixture::make_step(1, 8)});
	fixture.queue.priority = 2;
	fixture.submit("00000000000000c3", {FlowFixture::make_step(4, 1)});
	EXPECT_EQ(0U, fixture.place_ready());
	/* The first eight tasks fill one worker; the rest are on the other. */
	for (uint32_t i = 8; i < 12; i++)
		fixture.end_run(JOB, i, FW_END_DONE);
	EXPECT_EQ(1U, fixture.place_ready());
	bd_read_begin();
	EXPECT_EQ(BD_FLOW_RUNNING, fixture.find_flow(URGENT)->state);
	bd_read_end();
}

/* Work must not wait next to reserved workers while half of the capacity is
 * free: gangs of priority 1 would be late and still have no task running at the
 * end of a day, and the platform counts such work as lost. */
TEST(FlowPlace, ReservedWorkersAreUsedAtLowUtilization)
{
	FlowFixture fixture;
	struct fw_groups groups;
	struct fw_view view;
	uint32_t hosts[64];

	for (int i = 0; i < 5; i++)
		fixture.add_host(std::to_string(i), "r1");
	fixture.submit(JOB, {FlowFixture::make_step(4, 8, BD_STEP_GANG)}, 1000);
	bd_read_begin();
	fw_view_build(&view, fixture.board, &fixture.settings, 5000, 7000);
	fw_view_reserve_urgent(&view, 16);
	fw_groups_ready(&groups, &view);
	ASSERT_EQ(1U, groups.count);
	groups.items[0].slack_ms = -1;
	EXPECT_TRUE(fw_group_fit(&view, &groups.items[0], hosts, false));
	fw_groups_free(&groups);
	fw_view_free(&view);
	bd_read_end();
}

/* Two services with eight accelerators a worker: one of two workers, and a full
 * one of eight. */
struct TwoServices : FlowFixture {
	struct fw_view view = {};
	struct fw_groups groups = {};

	TwoServices()
	{
		queue.pool = cw_id_from_name("full");
		for (int i = 0; i < 8; i++)
			add_host("f" + std::to_string(i), "r2");
		submit("00000000000000c3", {make_step(64, 1)});
		EXPECT_EQ(64U, place_ready());
		queue.pool = cw_id_from_name("free");
		add_host("1", "r1");
		add_host("2", "r1");
	}

	/* Returns the number of groups that a decision places, of which none
	 * can still meet its target. */
	uint32_t
	place_late(int64_t wall_ms)
	{
		uint32_t placed;

		bd_read_begin();
		fw_view_build(&view, board, &settings, 5000, wall_ms);
		fw_view_reserve_urgent(&view, 16);
		fw_groups_ready(&groups, &view);
		for (uint32_t i = 0; i < groups.count; i++)
			groups.items[i].slack_ms = -1;
		fw_groups_sort(&groups);
		placed = fw_place(&view, &groups, nullptr, nullptr);
		fw_groups_free(&groups);
		fw_view_free(&view);
		bd_read_end();
		return placed;
	}
};

/* Jobs of a service that is idle must not wait next to its reserved workers
 * because another service is full. */
TEST(FlowPlace, ReservedWorkersOfAFreeServiceAreUsedBesideAFullOne)
{
	TwoServices fixture;

	fixture.submit(JOB, {FlowFixture::make_step(1, 1)}, 1000);
	EXPECT_EQ(1U, fixture.place_late(1000 + 2000));
}

/* Nor because urgent jobs of the other one wait: its free capacity is of no use
 * to them. */
TEST(FlowPlace, FreeServicesAreUsedWhileUrgentJobsOfAnotherWait)
{
	TwoServices fixture;

	fixture.submit(JOB, {FlowFixture::make_step(1, 1)}, 1000);
	fixture.queue.priority = 0;
	fixture.queue.pool = cw_id_from_name("full");
	fixture.submit(
	    URGENT, {FlowFixture::make_step(2, 8, BD_STEP_GANG)}, 1000);
	EXPECT_EQ(1U, fixture.place_late(1000 + 2000));
}

/* An urgent gang that fits nowhere must not keep a service idle. */
TEST(FlowPlace, UrgentGangsThatFitNowhereLeaveFreeCapacityToOthers)
{
	TwoServices fixture;
	struct bd_flow_step gang = FlowFixture::make_step(4, 8, BD_STEP_GANG);

	fixture.submit(JOB, {FlowFixture::make_step(1, 1)}, 1000);
	fixture.queue.priority = 0;
	fixture.submit(URGENT, {gang}, 1000);
	EXPECT_EQ(1U, fixture.place_late(1000 + 2000));
}

/* Tasks that last have to run however full their service is. */
TEST(FlowPlace, ReservedWorkersAreUsedForLastingTasks)
{
	for (uint32_t flags : {0U, (uint32_t)BD_STEP_LONG_RUNNING}) {
		TwoServices fixture;

		fixture.submit(
		    "00000000000000c4", {FlowFixture::make_step(1, 6)}, 2900);
		EXPECT_EQ(1U, fixture.place_ready());
		fixture.submit(
		    "00000000000000c5", {FlowFixture::make_step(1, 6)}, 2900);
		EXPECT_EQ(1U, fixture.place_ready());
		fixture.submit(
		    JOB, {FlowFixture::make_step(1, 1, flags)}, 1000);
		EXPECT_EQ(flags != 0 ? 1U : 0U, fixture.place_late(3000));
	}
}

/* Tasks without accelerators must not wait next to reserved workers on which
 * most cores are free. */
TEST(FlowPlace, TasksWithoutAcceleratorsUseReservedWorkersWithFreeCores)
{
	TwoServices fixture;

	fixture.submit("00000000000000c4", {FlowFixture::make_step(2, 8)});
	EXPECT_EQ(2U, fixture.place_ready());
	fixture.submit(JOB, {FlowFixture::make_step(1, 0)}, 1000);
	EXPECT_EQ(1U, fixture.place_late(3000));
}

/* A group that many others precede which fit nowhere must have its turn. */
TEST(FlowPlace, GroupsBehindManyThatFitNowhereHaveTheirTurn)
{
	FlowFixture fixture;
	char name[BD_FLOW_NAME_BYTES];
	uint32_t placed = 0;
	uint32_t turn = 0;

	for (int i = 0; i < 1500; i++)
		fixture.add_host(std::to_string(i), "r1");
	for (int i = 0; i < 250; i++) {
		snprintf(name, sizeof(name), "%016x", 0x200 + i);
		fixture.submit(name, {FlowFixture::make_step(1, 9)}, 1000);
	}
	fixture.submit(JOB, {FlowFixture::make_step(1, 1)}, 1500);
	for (int n = 0; n < 8 && placed == 0; n++) {
		struct fw_groups groups;
		struct fw_view view;

		bd_read_begin();
		fw_view_build(
		    &view, fixture.board, &fixture.settings, 5000, 2000);
		view.turn = turn;
		fw_groups_ready(&groups, &view);
		fw_groups_sort(&groups);
		placed = fw_place(&view, &groups, nullptr, nullptr);
		turn = view.turn;
		fw_groups_free(&groups);
		fw_view_free(&view);
		bd_read_end();
	}
	EXPECT_EQ(1U, placed);
}

/* A task that lasts is never too late, and must not wait behind gangs for which
 * capacity is kept: it has to run within 3 s. */
TEST(FlowPlace, LastingTasksThatWaitComeBeforeAllButUrgentOnes)
{
	FlowFixture fixture;
	struct fw_groups groups;
	struct fw_view view;
	int64_t now_ms = 60000;

	fixture.add_host("1", "r1");
	fixture.queue.priority = 2;
	fixture.submit(
	    JOB, {FlowFixture::make_step(1, 1, BD_STEP_LONG_RUNNING)}, 1000);
	fixture.queue.priority = 1;
	fixture.submit(
	    "00000000000000c3", {FlowFixture::make_step(1, 8)}, now_ms - 100);
	fixture.queue.priority = 0;
	fixture.submit(URGENT, {FlowFixture::make_step(1, 8)}, now_ms - 100);
	bd_read_begin();
	fw_view_build(&view, fixture.board, &fixture.settings, 5000, now_ms);
	fw_groups_ready(&groups, &view);
	fw_groups_sort(&groups);
	ASSERT_EQ(3U, groups.count);
	EXPECT_EQ(0U, groups.items[0].priority);
	EXPECT_EQ(2U, groups.items[1].priority);
	EXPECT_FALSE(groups.items[1].too_late);
	fw_groups_free(&groups);
	fw_view_free(&view);
	bd_read_end();
}

/* Work must not wait for a full rack while most of its service is free. */
TEST(FlowPlace, WorkLeavesAFullRackWhileMostOfItsServiceIsFree)
{
	for (bool gang : {false, true}) {
		TwoServices fixture;
		struct bd_flow_step step = gang
		    ? FlowFixture::make_step(
			  2, 8, BD_STEP_GANG | BD_STEP_SAME_RACK)
		    : FlowFixture::make_step(1, 1);

		step.estimate_ms = 20000;
		fixture.submit(
		    "00000000000000c4", {FlowFixture::make_step(2, 8)}, 1000);
		EXPECT_EQ(2U, fixture.place_ready());
		for (int i = 3; i < 7; i++)
			fixture.add_host(
			    std::to_string(i), "r" + std::to_string(i));
		if (!gang)
			strcpy(step.data_rack, "r1");
		fixture.submit(JOB, {step}, 1000);
		EXPECT_EQ(0U, fixture.place_late(1000 + 2000));
		EXPECT_EQ(1U, fixture.place_late(1000 + 2900));
	}
}

/* Guards against a target that overflows, after which a job counts as too late
 * and waits behind all others: a long job on a queue that is in no hurry. */
TEST(FlowPlace, LargestTargetOfAJobIsNotTooLate)
{
	FlowFixture fixture;
	std::vector<struct bd_flow_step> steps(
	    FW_STEPS_MAX, FlowFixture::make_step(1, 1));
	struct fw_groups groups;
	struct fw_view view;

	for (size_t i = 0; i < steps.size(); i++) {
		steps[i].estimate_ms = INT32_MAX;
		steps[i].after = i > 0 ? 1ULL << (i - 1) : 0;
	}
	fixture.queue.stretch_milli = fixture.queue.target_ms = UINT32_MAX;
	fixture.add_host("1", "r1");
	ASSERT_EQ(CW_OK, fixture.submit(JOB, steps, 1000));
	bd_read_begin();
	fw_view_build(&view, fixture.board, &fixture.settings, 500000, 500000);
	fw_groups_ready(&groups, &view);
	ASSERT_EQ(1U, groups.count);
	EXPECT_GT(groups.items[0].slack_ms, INT64_MAX / 100);
	EXPECT_FALSE(groups.items[0].too_late);
	fw_groups_free(&groups);
	fw_view_free(&view);
	bd_read_end();
}
