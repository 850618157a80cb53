#include <gtest/gtest.h>

#include "sim/flow_sim.h"

#define FILLING "00000000000000c1"
#define GANG "00000000000000c2"
#define SMALL "00000000000000c3"

namespace {

constexpr uint64_t FLOOD = 1;
constexpr uint64_t OTHER = 2;
constexpr uint64_t GUARANTEED = 3;

/* What changes during a load. */
enum Change {
	BURST = 0,   /* 2.6 times the load that the deployment can serve */
	LOST = 1,    /* a third of the workers leaves */
	OFF = 2,     /* estimates are off by up to 0.9 */
	FLOODS = 4,  /* one account sends three quarters of the load */
	RECLAIM = 8, /* an account asks for its guarantee */
};

/* A load of three priorities on 12 workers of 8 accelerators: urgent gangs,
 * gangs of the middle kind, and small tasks. */
struct Load : FlowSim {
	struct Job {
		std::string name;
		uint32_t priority;
		uint32_t tasks;
		uint64_t client;
		int64_t accepted_ms;
		int64_t estimate_ms;
	};

	SimVm *vm;
	int changes;
	uint64_t seed;
	std::vector<Job> jobs;

	Load(int load_changes, uint32_t rules_off, uint64_t load_seed)
	    : changes(load_changes), seed(load_seed)
	{
		alignas(
		    struct bd_setup) unsigned char row[sizeof(struct bd_setup) +
		    sizeof(struct bd_client)] = {};
		struct bd_setup *setup = (struct bd_setup *)row;

		setup->client_count = 1;
		fw_setup_clients(setup)[0] = {GUARANTEED, 32, 0};
		for (int i = 0; i < 12; i++)
			add_worker("w" + std::to_string(i));
		vm = add_vm("a");
		vm->placer->parts.settings.rules_off = rules_off;
		bd_put(vm->fixture.board, BD_TABLE_setup, BD_WRITER_FLOW,
		    BD_CONFIG_ID, row, sizeof(row), nullptr);
		run_for(1000);
		send(4000, 0.9);
		if ((changes & LOST) != 0)
			for (int i = 8; i < 12; i++) {
				SimWorker &lost =
				    workers["w" + std::to_string(i)];

				lost.crash_down_ms = INT32_MAX;
				lost.crash(now_ms);
				remove_host(vm, lost.id);
			}
		if ((changes & RECLAIM) != 0)
			schedule(3000, [this] {
				for (int i = 0; i < 4; i++)
					add(0, 2, GUARANTEED, 2500);
			});
		send(8000, 2.6);
		send(8000, 0.7);
		run_for(60000);
	}

	uint32_t
	draw(uint32_t most)
	{
		seed = seed * 6364136223846793005U + 1442695040888963407U;
		return (uint32_t)(seed >> 33) % (most + 1);
	}

	void
	add(uint32_t priority, uint32_t tasks, uint64_t client, int64_t work_ms)
	{
		static const uint32_t accels[] = {4, 8, 1};
		uint32_t off = draw(1800);
		char name[BD_FLOW_NAME_BYTES];
		struct bd_flow_step step =
		    FlowFixture::make_step(tasks, accels[priority],
			priority < 2 ? (uint32_t)BD_STEP_GANG : 0U);

		snprintf(name, sizeof(name), "%016zx", 0x1000 + jobs.size());
		step.estimate_ms = (uint32_t)work_ms;
		if ((changes & OFF) != 0)
			work_ms = work_ms * (100 + off) / 1000;
		for (auto &entry : workers)
			entry.second.job_work_ms[name] = work_ms;
		jobs.push_back({name, priority, tasks, client, now_ms,
		    (int64_t)step.estimate_ms});
		submit(name, {step}, priority, client);
	}

	void
	send(int64_t duration_ms, double factor)
	{
		static const double rates[] = {1.2, 1.8, 1.2};
		static const uint32_t tasks[] = {2, 2, 8};
		static const int64_t work_ms[] = {1500, 1000, 4000};
		double credit[3] = {};

		for (int64_t i = 0; i < duration_ms / 250; i++) {
			for (uint32_t kind = 0; kind < 3; kind++)
				for (credit[kind] += rates[kind] * factor / 4;
				     credit[kind] >= 1; credit[kind]--) {
					uint32_t size = draw(9) == 0 ? 3 : 1;
					uint64_t client = draw(3) == 0 ||
						(changes & FLOODS) == 0
					    ? OTHER
					    : FLOOD;

					add(kind, tasks[kind] * size, client,
					    work_ms[kind]);
				}
			run_for(250);
		}
	}

	/* Returns the mean value that the callers of the selected jobs get: 1
	 * in time, a fifth within three times the target, then nothing. */
	double
	value(const std::function<bool(const Job &)> &selected)
	{
		double sum = 0;
		int count = 0;

		bd_read_begin();
		for (const Job &job : jobs) {
			const struct bd_flow *flow =
			    vm->fixture.find_flow(job.name.c_str());
			int64_t took_ms = flow->changed_ms - job.accepted_ms;
			int64_t target_ms = 3 * job.estimate_ms + 1500;

			if (!selected(job))
				continue;
			count++;
			EXPECT_EQ(BD_FLOW_COMPLETED, flow->state) << job.name;
			if (took_ms <= 3 * target_ms)
				sum += took_ms <= target_ms ? 1 : 0.2;
		}
		bd_read_end();
		return count > 0 ? sum / count : 1;
	}

	double
	value_of(uint32_t priority)
	{
		return value([priority](const Job &job) {
			return job.priority == priority;
		});
	}

	double
	value_of_all()
	{
		return value([](const Job &) {
			return true;
		});
	}

	int
	stops() const
	{
		int count = 0;

		for (const auto &entry : run_checker.stopped)
			count += entry.second;
		return count;
	}
};

/* What callers get of the same loads, summed over some seeds. */
struct Sum {
	double value[3] = {};
	double all = 0;
	int stops = 0;

	Sum(int changes, uint32_t rules_off)
	{
		for (uint64_t seed = 1; seed <= 4; seed++) {
			Load load(changes, rules_off, seed);

			for (uint32_t i = 0; i < 3; i++)
				value[i] += load.value_of(i);
			all += load.value_of_all();
			stops += load.stops();
		}
		printf("changes=%d rules_off=%x value=%.2f,%.2f,%.2f all=%.2f "
		       "stops=%d\n",
		    changes, rules_off, value[0] / 4, value[1] / 4,
		    value[2] / 4, all / 4, stops);
	}
};

} // namespace

/* Returns a waiting group with 4 s of slack. */
static struct fw_group
waiting_group(uint32_t priority)
{
	struct fw_group group = {};

	group.priority = priority;
	group.slack_ms = 4000;
	return group;
}

/* Guards against work of high priority that finds its accelerators taken by
 * work of lower priority, and against a backlog that keeps a service idle: of
 * jobs that are late anyway, or of more than its limit. */
TEST(FlowCallerCost, GroupsLeaveWhatHigherPrioritiesNeed)
{
	struct fw_service_view service = {};
	struct fw_group first = waiting_group(0);
	struct fw_group second = waiting_group(1);
	struct fw_group third = waiting_group(2);
	struct fw_group last = waiting_group(1000);

	service.accel_total = 100;
	fw_backlog_add(&service, &second, 30, 0);
	fw_backlog_add(&service, &third, 5, 0);
	fw_backlog_add(&service, &last, 7, 0);
	EXPECT_EQ(0, fw_backlog_before(&service, &first));
	EXPECT_EQ(0, fw_backlog_before(&service, &second));
	EXPECT_EQ(30, fw_backlog_before(&service, &third));
	EXPECT_EQ(35, fw_backlog_before(&service, &last));
	fw_backlog_add(&service, &third, 50, 0);
	EXPECT_EQ(40, fw_backlog_before(&service, &last));
	fw_backlog_add(&service, &first, 90, 0);
	EXPECT_EQ(0, fw_backlog_before(&service, &first));
	EXPECT_EQ(90, fw_backlog_before(&service, &second));
	EXPECT_EQ(130, fw_backlog_before(&service, &last));
	service = {};
	service.accel_total = 100;
	second.slack_ms = -1;
	fw_backlog_add(&service, &second, 30, 0);
	second = waiting_group(1);
	second.suspect = true;
	fw_backlog_add(&service, &second, 30, 0);
	second.suspect = false;
	second.bound = true;
	fw_backlog_add(&service, &second, 30, 0);
	first.too_late = true;
	fw_backlog_add(&service, &first, 30, 0);
	EXPECT_EQ(0, fw_backlog_before(&service, &third));
}

/* Places what is ready, as a placer that knows the capacity of services. */
static uint32_t
decide(FlowFixture &fixture)
{
	struct fw_groups groups;
	struct fw_view view;
	uint32_t placed;

	bd_read_begin();
	fw_view_build(&view, fixture.board, &fixture.settings, 5000, 2000);
	fw_view_reserve_urgent(&view, 0);
	fw_groups_ready(&groups, &view);
	fw_groups_sort(&groups);
	placed = fw_place(&view, &groups, nullptr, nullptr);
	fw_groups_free(&groups);
	fixture.store_changed_jobs(&view);
	fw_view_free(&view);
	bd_read_end();
	return placed;
}

/* Guards against small tasks of low priority that take each accelerator that
 * becomes free while a gang of the middle kind can still be in time. Without
 * the rule they take them, and with it the gang starts first. */
TEST(FlowCallerCost, FreedCapacityIsLeftToGangsThatCanBeInTime)
{
	for (uint32_t off : {(uint32_t)FW_RULE_LEAVE_TIMELY, 0U}) {
		FlowFixture fixture;

		fixture.settings.rules_off = off;
		fixture.add_host("1", "r1");
		fixture.add_host("2", "r1");
		fixture.submit(FILLING, {FlowFixture::make_step(16, 1)});
		EXPECT_EQ(16U, fixture.place_ready());
		fixture.submit(
		    GANG, {FlowFixture::make_step(1, 6, BD_STEP_GANG)});
		fixture.queue.priority = 2;
		fixture.submit(SMALL, {FlowFixture::make_step(4, 1)});
		for (uint32_t i = 0; i < 4; i++)
			fixture.end_run(FILLING, i, FW_END_DONE);
		EXPECT_EQ(off != 0 ? 4U : 0U, decide(fixture));
		for (uint32_t i = 4; i < 8; i++)
			fixture.end_run(FILLING, i, FW_END_DONE);
		decide(fixture);
		bd_read_begin();
		EXPECT_EQ(off != 0 ? BD_FLOW_QUEUED : BD_FLOW_RUNNING,
		    fixture.find_flow(GANG)->state);
		bd_read_end();
	}
}

/* Guards against a rule that costs callers more than it gains them. */
TEST(FlowCallerCost, LeavingFreeForTheMiddleKindPaysInABurst)
{
	Sum former(BURST, ~0U);
	Sum ours(BURST, 0);

	EXPECT_GE(ours.value[0], former.value[0]);
	EXPECT_GE(ours.value[1], former.value[1]);
	EXPECT_GE(ours.all, former.all);
	EXPECT_LT(ours.stops, former.stops);
}

/* Guards against a price of stops that ignores how often a job was stopped
 * before, or that overflows. */
TEST(FlowCallerCost, StopsCostByLostWorkAndEarlierStops)
{
	EXPECT_EQ(0U, fw_stop_cost(0, 5));
	EXPECT_EQ(1000U, fw_stop_cost(1000, 0));
	EXPECT_EQ(4000U, fw_stop_cost(1000, 2));
	EXPECT_LT(fw_stop_cost(1000, 16), 1U << 27);
	EXPECT_EQ(fw_stop_cost(1000, 16), fw_stop_cost(1000, 1000));
}

/* Guards against work that counts as lost while it can still be in time, by
 * what the steps after it need and by its own progress. */
TEST(FlowCallerCost, EarningFollowsTargetAndWhatIsLeft)
{
	FlowFixture fixture;
	struct bd_flow_step first = FlowFixture::make_step(1, 1);
	struct bd_flow_step second = FlowFixture::make_step(1, 1);

	/* Two steps of 1 s, target 7.5 s, useless after 22.5 s. */
	second.after = 1;
	fixture.submit(GANG, {first, second}, 1000);
	bd_read_begin();
	const struct bd_flow *flow = fixture.find_flow(GANG);
	auto earning = [&](uint32_t index, int64_t left_ms, int64_t age_ms) {
		return fw_flow_earning(
		    flow, index, left_ms, 1000 + age_ms, &fixture.settings);
	};

	EXPECT_EQ(FW_EARNS_FULLY, earning(0, 500, 6000));
	EXPECT_EQ(FW_EARNS_LATE, earning(0, 501, 6000));
	EXPECT_EQ(FW_EARNS_FULLY, earning(1, 1500, 6000));
	EXPECT_EQ(FW_EARNS_LATE, earning(0, 500, 21000));
	EXPECT_EQ(FW_EARNS_NOTHING, earning(0, 501, 21000));
	EXPECT_EQ(FW_EARNS_LATE, earning(0, 90000, 5400));
	bd_read_end();
	FlowFixture lasting;

	first.flags = BD_STEP_LONG_RUNNING;
	lasting.submit(GANG, {first}, 1000);
	bd_read_begin();
	EXPECT_EQ(FW_EARNS_FULLY,
	    fw_flow_earning(lasting.find_flow(GANG), 0, INT64_MAX, 90000,
		&lasting.settings));
	bd_read_end();
}

/* Guards against priority 1 that preempts at once, in vain, or at a high cost.
 */
TEST(FlowCallerCost, MiddlePriorityPreemptsLateAndAtLowCostOnly)
{
	struct fw_group group = waiting_group(1);

	group.work = 1000;
	group.age_ms = group.waited_ms = 500;
	group.slack_ms = 2000;
	EXPECT_EQ(100U, fw_preempt_cost_max(&group, false));
	EXPECT_EQ(100U, fw_preempt_cost_max(&group, true));
	group.waited_ms = 499;
	EXPECT_EQ(0U, fw_preempt_cost_max(&group, false));
	group.waited_ms = 500;
	for (int64_t slack_ms : {-1, 2001}) {
		group.slack_ms = slack_ms;
		EXPECT_EQ(0U, fw_preempt_cost_max(&group, false));
	}
	group.slack_ms = 2000;
	group.priority = 2;
	EXPECT_EQ(0U, fw_preempt_cost_max(&group, false));
}

/* Guards against gangs of priority 1 that miss their target behind runs of
 * lower priority which are late already. One gang preempts in a decision, and
 * not before its wait; all callers get their results. */
TEST(FlowCallerCost, LateRunsYieldToGangsThatCanBeInTime)
{
	for (uint32_t off : {(uint32_t)FW_RULE_MIDDLE_PREEMPTS, 0U}) {
		FlowSim sim;
		struct bd_flow_step low = FlowFixture::make_step(1, 8);
		struct bd_flow_step gang =
		    FlowFixture::make_step(2, 8, BD_STEP_GANG);
		char name[BD_FLOW_NAME_BYTES];

		/* Target 3 s, for work that takes 20 s. */
		low.estimate_ms = 500;
		gang.estimate_ms = 2000;
		for (int i = 0; i < 8; i++) {
			sim.add_worker("w" + std::to_string(i)).work_ms = 20000;
			sim.workers["w" + std::to_string(i)].job_work_ms[GANG] =
			    2000;
		}
		SimVm *vm = sim.add_vm("a");

		vm->placer->parts.settings.rules_off = off;
		sim.run_for(1000);
		for (int i = 0; i < 8; i++) {
			snprintf(name, sizeof(name), "%016x", 0x100 + i);
			sim.submit(name, {low}, 2);
		}
		sim.run_for(1000);
		sim.submit(GANG, {gang}, 1);
		sim.run_for(400);
		EXPECT_TRUE(sim.run_checker.stopped.empty());
		sim.run_for(7100);
		EXPECT_EQ(off != 0 ? BD_FLOW_QUEUED : BD_FLOW_COMPLETED,
		    sim.state(vm, GANG));
		EXPECT_EQ(off != 0 ? 0U : 2U, sim.run_checker.stopped.size());
		sim.run_for(60000);
		for (int i = 0; i < 8; i++) {
			snprintf(name, sizeof(name), "%016x", 0x100 + i);
			EXPECT_EQ(BD_FLOW_COMPLETED, sim.state(vm, name));
		}
		EXPECT_EQ(BD_FLOW_COMPLETED, sim.state(vm, GANG));
		EXPECT_EQ(0, sim.run_checker.capacity_violations);
	}
}

/* Guards against saved work that stays idle behind new work, against jobs in
 * hand that come before ones about to miss their target, and against groups
 * that are forgotten, or of which the late ones take everything. */
TEST(FlowCallerCost, OrderWeighsSavedWorkAndAgesWhatWasPassedOver)
{
	FlowFixture fixture;
	struct bd_flow_step first = FlowFixture::make_step(1, 1);
	struct bd_flow_step second = FlowFixture::make_step(1, 1);
	struct fw_group fresh = waiting_group(1);
	struct fw_group begun = waiting_group(1);
	int aged = 0;

	begun.job = 1;
	begun.slack_ms = 5500;
	EXPECT_GT(fw_group_compare(&begun, &fresh), 0);
	begun.saved_ms = 9000;
	EXPECT_LT(fw_group_compare(&begun, &fresh), 0);
	begun.slack_ms = 6500;
	EXPECT_GT(fw_group_compare(&begun, &fresh), 0);
	begun.slack_ms = -50000;
	begun.too_late = true;
	EXPECT_GT(fw_group_compare(&begun, &fresh), 0);
	begun.aged = true;
	EXPECT_LT(fw_group_compare(&begun, &fresh), 0);
	fresh.priority = 0;
	EXPECT_GT(fw_group_compare(&begun, &fresh), 0);

	second.after = 1;
	fixture.add_host("1", "r1");
	fixture.submit(GANG, {first, second}, 1000);
	ASSERT_EQ(1U, fixture.place_ready());
	fixture.end_run(GANG, 0, FW_END_DONE);
	bd_read_begin();
	const struct bd_flow *flow = fixture.find_flow(GANG);

	begun = waiting_group(1);
	begun.step = begun.first = begun.count = 1;
	/* The target of two steps of 1 s is 7.5 s. */
	for (int64_t waited_ms : {7500, 7501})
		for (int64_t at_ms = 0; at_ms < 8000; at_ms += 250) {
			begun.waited_ms = waited_ms;
			fw_group_set_limits(
			    &begun, flow, at_ms, &fixture.settings);
			EXPECT_EQ(1000, begun.saved_ms);
			EXPECT_TRUE(waited_ms > 7500 || !begun.aged);
			aged += begun.aged;
		}
	EXPECT_EQ(2, aged);
	bd_read_end();
}

/* Guards against jobs that a lasting load of younger jobs of their kind passes
 * over without end: of the jobs of the first 15 s, the former order left more
 * behind. All complete once the load ends. */
TEST(FlowCallerCost, JobsPassedOverAreServedUnderALastingLoad)
{
	int behind[2] = {};

	for (uint32_t off : {(uint32_t)FW_RULE_ORDER, 0U}) {
		FlowSim sim;
		struct bd_flow_step small = FlowFixture::make_step(8, 1);
		char name[BD_FLOW_NAME_BYTES];

		small.estimate_ms = 1000;
		for (int i = 0; i < 2; i++)
			sim.add_worker("w" + std::to_string(i)).work_ms = 1000;
		SimVm *vm = sim.add_vm("a");

		vm->placer->parts.settings.rules_off = off;
		sim.run_for(1000);
		for (int i = 0; i < 200; i++) {
			snprintf(name, sizeof(name), "%016x", 0x1000 + i);
			sim.submit(name, {small}, 2);
			sim.run_for(250);
		}
		for (int i = 0; i < 60; i++) {
			snprintf(name, sizeof(name), "%016x", 0x1000 + i);
			behind[off == 0] +=
			    sim.state(vm, name) != BD_FLOW_COMPLETED;
		}
		printf("rules_off=%x behind=%d\n", off, behind[off == 0]);
		sim.run_for(90000);
		for (int i = 0; i < 200; i++) {
			snprintf(name, sizeof(name), "%016x", 0x1000 + i);
			EXPECT_EQ(BD_FLOW_COMPLETED, sim.state(vm, name));
		}
	}
	EXPECT_LT(behind[1], behind[0]);
}

/* Plays loads with the former order and with the rules. */
static void
for_loads(const std::vector<Change> &loads,
    const std::function<void(Load &former, Load &ours)> &compare)
{
	for (Change changes : loads) {
		Load former(changes, ~0U, 1);
		Load ours(changes, 0, 1);

		SCOPED_TRACE("changes " + std::to_string(changes));
		compare(former, ours);
	}
}

/* Guards against rules that cost urgent callers, or an account that asks for
 * its guarantee, anything. */
TEST(FlowCallerCost, UrgentAndGuaranteedCallersGetNoLess)
{
	for_loads({LOST, OFF, FLOODS, RECLAIM}, [](Load &former, Load &ours) {
		auto guaranteed = [](const Load::Job &job) {
			return job.client == GUARANTEED;
		};

		EXPECT_GE(ours.value_of(0), former.value_of(0));
		EXPECT_GE(ours.value(guaranteed), former.value(guaranteed));
	});
}

static void
expect_no_less_together(Load &former, Load &ours)
{
	auto others = [](const Load::Job &job) {
		return job.client == OTHER;
	};

	printf("former=%.3f,%.3f,%.3f,%.3f,%.3f "
	       "ours=%.3f,%.3f,%.3f,%.3f,%.3f\n",
	    former.value_of(0), former.value_of(1), former.value_of(2),
	    former.value_of_all(), former.value(others), ours.value_of(0),
	    ours.value_of(1), ours.value_of(2), ours.value_of_all(),
	    ours.value(others));
	EXPECT_GE(ours.value_of_all(), former.value_of_all());
	EXPECT_GE(ours.value(others), former.value(others));
}

/* Guards against rules that cost all callers together, or an account beside a
 * flood, more than they gain. */
TEST(FlowCallerCost, CallersTogetherGetNoLess)
{
	for_loads({OFF, FLOODS, RECLAIM}, expect_no_less_together);
}

/* The same where a third of the workers is lost. */
TEST(FlowCallerCost, CallersTogetherGetNoLessWithLostWorkers)
{
	for_loads({LOST}, expect_no_less_together);
}

/* Guards against an order that starves the largest jobs: the largest tenth of
 * the jobs of a kind has to be served at least half as often as the kind. */
TEST(FlowCallerCost, LargestJobsOfAKindAreServedHalfAsOften)
{
	for (int changes : {LOST, OFF, FLOODS, RECLAIM}) {
		Load load(changes, 0, 1);

		for (uint32_t kind = 0; kind < 3; kind++) {
			auto large = [kind](const Load::Job &job) {
				return job.priority == kind &&
				    job.tasks == (kind == 2 ? 24U : 6U);
			};

			EXPECT_GE(load.value(large), load.value_of(kind) / 2)
			    << "changes " << changes << " kind " << kind;
		}
	}
}
