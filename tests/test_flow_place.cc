#include <gtest/gtest.h>

#include "flow_world.h"

#define JOB "00000000000000c1"
#define URGENT "00000000000000c2"

static uint32_t
tasks_on(FlowWorld &world, const char *job, uint64_t host)
{
	uint32_t count = 0;

	bd_read_begin();
	const struct bd_flow *flow = world.flow(job);
	for (uint32_t i = 0; i < fw_flow_task_count(flow); i++)
		count += fw_flow_tasks(flow)[i].state == BD_STEP_TASK_PLACED &&
		    fw_flow_tasks(flow)[i].host == host;
	bd_read_end();
	return count;
}

/* Guards against a worker that is given more than it has. */
TEST(FlowPlace, WorkersAreNotFilledBeyondTheirRoom)
{
	FlowWorld world;
	uint64_t a = world.host("1", "r1");

	world.submit(JOB, {FlowWorld::step(9, 1)});
	EXPECT_EQ(8U, world.place());
	EXPECT_EQ(8U, tasks_on(world, JOB, a));
	EXPECT_EQ(0U, world.place());
}

/* Guards against a part of a gang that starts without the rest. */
TEST(FlowPlace, GangStartsWholeOrNot)
{
	FlowWorld world;

	world.host("1", "r1");
	world.submit(JOB, {FlowWorld::step(3, 4, BD_STEP_GANG)});
	EXPECT_EQ(0U, world.place());
	world.host("2", "r1");
	EXPECT_EQ(1U, world.place());
}

/* Guards against a gang that is spread over racks while it may still wait. */
TEST(FlowPlace, SameRackWaitsForOneRack)
{
	FlowWorld world;
	struct bd_flow_step step =
	    FlowWorld::step(2, 8, BD_STEP_GANG | BD_STEP_SAME_RACK);

	/* A rack that would hold the gang has one worker in use. */
	world.host("1", "r1");
	world.submit("00000000000000c3", {FlowWorld::step(1, 8)}, 1000);
	EXPECT_EQ(1U, world.place(1000));
	world.host("2", "r1");
	world.host("3", "r2");
	world.submit(JOB, {step}, 1000);
	EXPECT_EQ(0U, world.place(1500));
	EXPECT_EQ(0U, world.place(1000 + 2 * 1000 - 100));
	EXPECT_EQ(1U, world.place(1000 + 2 * 1000 + 100));
}

/* Guards against a wait for one rack by a gang that none would hold even if it
 * were idle: large gangs waited for twice their run time before they spread. */
TEST(FlowPlace, GangsThatNoRackHoldsDoNotWaitForOne)
{
	FlowWorld world;
	struct bd_flow_step step =
	    FlowWorld::step(3, 8, BD_STEP_GANG | BD_STEP_SAME_RACK);

	world.host("1", "r1");
	world.host("2", "r1");
	world.host("3", "r2");
	world.submit(JOB, {step}, 1000);
	EXPECT_EQ(1U, world.place(1100));
}

/* Guards against a start before the steps that it waits for are done. */
TEST(FlowPlace, StepsStartInTheirOrder)
{
	FlowWorld world;
	struct bd_flow_step second = FlowWorld::step(1, 1);

	second.after = 1;
	world.host("1", "r1");
	world.submit(JOB, {FlowWorld::step(2, 1), second});
	EXPECT_EQ(2U, world.place());
	world.end(JOB, 0, FW_END_DONE);
	EXPECT_EQ(0U, world.place());
	world.end(JOB, 1, FW_END_DONE);
	EXPECT_EQ(1U, world.place());
}

/* Guards against tasks on workers without the label that they need, and against
 * more tasks on one worker than a step allows. */
TEST(FlowPlace, LabelsAndSpreadAreKept)
{
	FlowWorld world;
	struct bd_flow_step step = FlowWorld::step(3, 1);

	step.host_max = 1;
	strcpy(step.label, "a");
	world.host("1", "r1");
	world.host("2", "r1");
	world.submit(JOB, {step});
	EXPECT_EQ(2U, world.place());
	strcpy(step.label, "other");
	world.submit(URGENT, {step});
	EXPECT_EQ(0U, world.place());
}

/* Guards against a start on a worker that is leaving. */
TEST(FlowPlace, LeavingWorkersGetNothing)
{
	FlowWorld world;
	uint64_t id = world.host("1", "r1");
	struct bd_host row;

	bd_read_begin();
	row = *bd_host_lookup(world.board, id);
	bd_read_end();
	row.leaving = 1;
	bd_put(world.board, BD_TABLE_host, BD_WRITER_FLOW, id, &row,
	    sizeof(row), nullptr);
	world.submit(JOB, {FlowWorld::step(1, 1)});
	EXPECT_EQ(0U, world.place());
}

/* Guards against starts for cancelled jobs. */
TEST(FlowPlace, CancelledJobsDoNotStart)
{
	FlowWorld world;

	world.host("1", "r1");
	world.submit(JOB, {FlowWorld::step(1, 1)});
	world.cancel(JOB);
	EXPECT_EQ(0U, world.place());
}

/* A world in which a gang of low priority fills two workers, with victims as
 * the placer collects them. */
struct ReclaimWorld : FlowWorld {
	uint64_t a = host("1", "r1");
	uint64_t b = host("2", "r1");
	struct fw_view view = {};
	struct fw_groups groups = {};
	struct fw_victim victims[2] = {};

	explicit ReclaimWorld(uint32_t gang_accels)
	{
		submit(JOB, {step(2, gang_accels, BD_STEP_GANG)});
		EXPECT_EQ(1U, place());
		queue.priority = 0;
		submit(URGENT, {step(1, 8)});
		bd_read_begin();
		fw_view_build(&view, board, &settings, 5000, 2000);
		fw_groups_ready(&groups, &view);
		for (uint32_t i = 0; i < 2; i++) {
			uint64_t id;

			fw_flow_id(JOB, &id);
			victims[i].run = i;
			victims[i].job = fw_view_job(&view, id);
			victims[i].host = fw_view_host(
			    &view, fw_flow_tasks(flow(JOB))[i].host);
			victims[i].priority = 1;
			victims[i].cost = 1000;
		}
	}

	~ReclaimWorld()
	{
		fw_groups_free(&groups);
		fw_view_free(&view);
		bd_read_end();
	}
};

/* Guards against room that is given away twice: a gang that is stopped for an
 * urgent job also stands on workers outside of the plan, where its room is not
 * free before it has ended. Found as starts over a worker's capacity. */
TEST(FlowPlace, RoomOfReclaimedGangsIsNotFreeYet)
{
	ReclaimWorld world(5);
	uint32_t plan[1];

	ASSERT_EQ(1U, world.groups.count);
	ASSERT_TRUE(fw_reclaim(
	    &world.view, &world.groups.items[0], world.victims, 2, 5000, plan));
	EXPECT_TRUE(world.victims[0].taken && world.victims[1].taken);
	EXPECT_EQ(3 - 8, world.view.hosts[plan[0]].accels);
	EXPECT_EQ(3, world.view.hosts[1 - plan[0]].accels);
}

/* Guards against work that is stopped although the loss is larger than what the
 * job may cost. */
TEST(FlowPlace, ReclaimKeepsToItsCost)
{
	ReclaimWorld world(8);
	uint32_t plan[1];

	EXPECT_FALSE(fw_reclaim(
	    &world.view, &world.groups.items[0], world.victims, 2, 10, plan));
	EXPECT_FALSE(world.victims[0].taken || world.victims[1].taken);
	EXPECT_EQ(0, world.view.hosts[0].accels);
}

/* Guards against room that is cleared for an urgent job and taken by another:
 * found as an urgent job that began late because each step chose new runs to
 * stop while others took the room of the former ones. */
TEST(FlowPlace, ClearedRoomIsKeptForItsJob)
{
	ReclaimWorld world(8);
	struct fw_plan *plans = nullptr;
	struct fw_view view;
	struct fw_groups groups;
	uint32_t plan[1];

	ASSERT_TRUE(fw_reclaim(
	    &world.view, &world.groups.items[0], world.victims, 2, 5000, plan));
	ASSERT_EQ(CW_OK,
	    fw_plan_add(&plans, &world.view, &world.groups.items[0], plan));
	world.submit("00000000000000c3", {FlowWorld::step(1, 8)}, 500);
	for (uint32_t i = 0; i < 2; i++)
		world.end(JOB, i, FW_END_STOPPED);
	fw_view_build(&view, world.board, &world.settings, 5100, 2100);
	fw_groups_ready(&groups, &view);
	fw_plans_apply(&plans, &view, &groups);
	EXPECT_EQ(nullptr, plans);
	uint64_t id;
	fw_flow_id(URGENT, &id);
	EXPECT_EQ(BD_FLOW_RUNNING,
	    fw_job_now(&view.jobs[fw_view_job(&view, id)])->state);
	fw_groups_free(&groups);
	fw_view_free(&view);
}

/* Guards against urgent jobs that wait for stops: with work of lower priority
 * on all workers each urgent gang began 1 to 2 s late on the heaviest days. The
 * load: bulk work that would fill every worker before the urgent job comes. */
TEST(FlowPlace, KeptWorkersStayFreeForUrgentJobs)
{
	FlowWorld world;
	struct fw_groups groups;
	struct fw_view view;

	for (int i = 0; i < 5; i++)
		world.host(std::to_string(i), i < 2 ? "r1" : "r2");
	world.submit(JOB, {FlowWorld::step(40, 1)});
	world.queue.priority = 0;
	world.submit(
	    URGENT, {FlowWorld::step(2, 8, BD_STEP_GANG | BD_STEP_SAME_RACK)});
	bd_read_begin();
	fw_view_build(&view, world.board, &world.settings, 5000, 2000);
	fw_view_keep_urgent(&view, 16);
	fw_groups_ready(&groups, &view);
	for (uint32_t i = 0; i < groups.count; i++)
		groups.items[i].slack_ms = 20000;
	/* The bulk work is placed first, as it comes first. */
	for (uint32_t i = 0; i < groups.count; i++) {
		uint32_t hosts[64];
		struct fw_group *group = &groups.items[i];

		if (group->priority != 0 &&
		    fw_group_fit(&view, group, hosts, false)) {
			EXPECT_FALSE(view.hosts[hosts[0]].urgent);
			EXPECT_STREQ("r2", view.hosts[hosts[0]].row->rack);
		}
	}
	fw_groups_order(&groups);
	uint32_t hosts[64];
	ASSERT_EQ(0U, groups.items[0].priority);
	EXPECT_TRUE(fw_group_fit(&view, &groups.items[0], hosts, false));
	fw_groups_free(&groups);
	fw_view_free(&view);
	bd_read_end();
}

/* Guards against urgent jobs that nobody waits for any more and that still go
 * before others: found on a full deployment where gangs of priority 0 that were
 * 25 s late held the room of 1,500 accelerators. */
TEST(FlowPlace, HopelessJobsComeLast)
{
	FlowWorld world;
	struct fw_groups groups;
	struct fw_view view;
	int64_t now_ms = 60000;

	world.host("1", "r1");
	world.queue.priority = 0;
	world.submit(URGENT, {FlowWorld::step(1, 8)}, 1000);
	world.queue.priority = 2;
	world.submit(JOB, {FlowWorld::step(1, 8)}, now_ms - 100);
	bd_read_begin();
	fw_view_build(&view, world.board, &world.settings, 5000, now_ms);
	fw_groups_ready(&groups, &view);
	fw_groups_order(&groups);
	ASSERT_EQ(2U, groups.count);
	EXPECT_EQ(2U, groups.items[0].priority);
	EXPECT_TRUE(groups.items[1].hopeless);
	fw_groups_free(&groups);
	fw_view_free(&view);
	bd_read_end();
	/* A job that is late but of use keeps its place. */
	FlowWorld late;
	late.host("1", "r1");
	late.queue.priority = 0;
	late.submit(URGENT, {FlowWorld::step(1, 8)}, 1000);
	bd_read_begin();
	fw_view_build(&view, late.board, &late.settings, 5000, 1000 + 3 * 4000);
	fw_groups_ready(&groups, &view);
	EXPECT_LT(groups.items[0].slack_ms, 0);
	EXPECT_FALSE(groups.items[0].hopeless);
	fw_groups_free(&groups);
	fw_view_free(&view);
	bd_read_end();
}

/* Guards against small tasks of lower priority that take each accelerator which
 * comes free while an urgent gang waits for several. */
TEST(FlowPlace, FreeRoomIsLeftToUrgentJobsThatWait)
{
	FlowWorld world;

	world.host("1", "r1");
	world.host("2", "r1");
	world.submit(JOB, {FlowWorld::step(12, 1)});
	EXPECT_EQ(12U, world.place());
	world.queue.priority = 0;
	world.submit(URGENT, {FlowWorld::step(1, 8)});
	world.queue.priority = 2;
	world.submit("00000000000000c3", {FlowWorld::step(4, 1)});
	EXPECT_EQ(0U, world.place());
	/* The first eight tasks fill one worker, these are on the other. */
	for (uint32_t i = 8; i < 12; i++)
		world.end(JOB, i, FW_END_DONE);
	EXPECT_EQ(1U, world.place());
	bd_read_begin();
	EXPECT_EQ(BD_FLOW_RUNNING, world.flow(URGENT)->state);
	bd_read_end();
}

/* Guards against work that waits beside kept workers with half of the room
 * free: the platform takes it for lost. Found as gangs of priority 1 that were
 * late and had nothing running at the end of a day. */
TEST(FlowPlace, KeptWorkersAreUsedWhereThereIsRoom)
{
	FlowWorld world;
	struct fw_groups groups;
	struct fw_view view;
	uint32_t hosts[64];

	for (int i = 0; i < 5; i++)
		world.host(std::to_string(i), "r1");
	world.submit(JOB, {FlowWorld::step(4, 8, BD_STEP_GANG)}, 1000);
	bd_read_begin();
	fw_view_build(&view, world.board, &world.settings, 5000, 7000);
	fw_view_keep_urgent(&view, 16);
	fw_groups_ready(&groups, &view);
	ASSERT_EQ(1U, groups.count);
	groups.items[0].slack_ms = -1;
	EXPECT_TRUE(fw_group_fit(&view, &groups.items[0], hosts, false));
	fw_groups_free(&groups);
	fw_view_free(&view);
	bd_read_end();
}
