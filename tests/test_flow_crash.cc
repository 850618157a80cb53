#include <gtest/gtest.h>

#include "sim/flow_sim.h"

#define DEADLY "00000000000000e1"
#define CALM "00000000000000e2"

static const struct fw_crash APART = {true, false, false, 10};
static const struct fw_crash BESIDE_OTHERS = {false, false, false, 10};
static const struct fw_crash COMMON_CAUSE = {true, true, false, 10};
static const struct fw_crash PRESUMED = {true, false, true, 10};

/* Ends the current run of a task as lost in a crash of its worker. */
static void
crash(FlowFixture &fixture, const char *name, uint32_t index,
    const struct fw_crash &circumstances)
{
	struct bd_flow *copy;

	fixture.end_run(name, index, FW_END_LOST);
	bd_read_begin();
	const struct bd_flow *row = fixture.find_flow(name);
	copy = (struct bd_flow *)malloc(fw_flow_bytes(row));
	memcpy(copy, row, fw_flow_bytes(row));
	bd_read_end();
	fw_task_crashed(copy, index, &circumstances, 3000);
	fixture.store_progress(copy);
	free(copy);
}

static uint32_t
state(FlowFixture &fixture, const char *name)
{
	bd_read_begin();
	uint32_t value = fixture.find_flow(name)->state;
	bd_read_end();
	return value;
}

/* Places and crashes the only task of a job. Returns whether it was placed. */
static bool
place_and_crash(FlowFixture &fixture, const struct fw_crash &circumstances)
{
	if (fixture.place_ready() != 1)
		return false;
	crash(fixture, DEADLY, 0, circumstances);
	return true;
}

static void
add_hosts(FlowFixture &fixture, int count)
{
	for (int i = 1; i <= count; i++)
		fixture.add_host(std::to_string(i), "r1");
}

/* A task that crashes worker after worker must be given up when it does so in
 * two trials apart; a single one may be the worker's fault. */
TEST(FlowCrash, JobIsGivenUpAfterTwoCrashesApart)
{
	FlowFixture fixture;

	add_hosts(fixture, 3);
	fixture.submit(DEADLY, {FlowFixture::make_step(1, 1)});
	EXPECT_TRUE(place_and_crash(fixture, BESIDE_OTHERS));
	EXPECT_EQ(BD_FLOW_RUNNING, state(fixture, DEADLY));
	EXPECT_TRUE(place_and_crash(fixture, APART));
	EXPECT_EQ(BD_FLOW_RUNNING, state(fixture, DEADLY));
	EXPECT_TRUE(place_and_crash(fixture, APART));
	EXPECT_EQ(3U, fixture.task(DEADLY, 0).crashes);
	EXPECT_EQ(BD_FLOW_FAILED, state(fixture, DEADLY));
	EXPECT_EQ(0U, fixture.place_ready());
}

/* Crashes whose cause is unclear must not fail a job that could be done, but no
 * task is started three times after three crashes. */
TEST(FlowCrash, UnclearCrashesFailAJobOnlyAtTheLimit)
{
	for (const struct fw_crash &unclear : {BESIDE_OTHERS, COMMON_CAUSE}) {
		FlowFixture fixture;
		int starts = 0;

		add_hosts(fixture, 3);
		fixture.submit(DEADLY, {FlowFixture::make_step(1, 1)});
		while (place_and_crash(fixture, unclear))
			starts++;
		EXPECT_EQ(BD_FLOW_FAILED, state(fixture, DEADLY));
		EXPECT_GT(starts, 2);
		EXPECT_LE(starts, 3 + 2);
	}
}

/* Losses that may be cuts must not make one clear crash the last one allowed,
 * whatever placer counts on. */
TEST(FlowCrash, PresumedCrashesAreNoPartOfTheThreeThatFailAJob)
{
	FlowFixture fixture;

	add_hosts(fixture, 5);
	fixture.submit(DEADLY, {FlowFixture::make_step(1, 1)});
	EXPECT_TRUE(place_and_crash(fixture, PRESUMED));
	EXPECT_TRUE(place_and_crash(fixture, PRESUMED));
	EXPECT_TRUE(place_and_crash(fixture, APART));
	EXPECT_EQ(BD_FLOW_RUNNING, state(fixture, DEADLY));
	EXPECT_EQ(2U, fixture.task(DEADLY, 0).presumed_crashes);
	EXPECT_TRUE(place_and_crash(fixture, APART));
	EXPECT_EQ(BD_FLOW_FAILED, state(fixture, DEADLY));
}

/* A task that lasts must not fail by crashes that are far apart. */
TEST(FlowCrash, CrashesBeforeALongRunAreForgotten)
{
	FlowFixture fixture;
	struct fw_crash after_long = {true, false, false, 3600 * 1000};

	add_hosts(fixture, 3);
	fixture.submit(
	    DEADLY, {FlowFixture::make_step(1, 1, BD_STEP_LONG_RUNNING)});
	for (int i = 0; i < 6; i++)
		EXPECT_TRUE(place_and_crash(fixture, after_long));
	EXPECT_EQ(BD_FLOW_RUNNING, state(fixture, DEADLY));
}

/* A lasting job must not be given up by crashes of its workers, whatever their
 * circumstances. */
TEST(FlowCrash, LastingTaskIsNotFailedByCrashesOfItsWorkers)
{
	for (const struct fw_crash &circumstances :
	    {APART, BESIDE_OTHERS, COMMON_CAUSE, PRESUMED}) {
		FlowFixture fixture;
		int64_t wall_ms = 100000;

		add_hosts(fixture, 3);
		fixture.submit(DEADLY,
		    {FlowFixture::make_step(1, 1, BD_STEP_LONG_RUNNING)});
		for (int i = 0; i < 20; i++, wall_ms += 100000) {
			ASSERT_EQ(1U, fixture.place_ready(wall_ms)) << i;
			crash(fixture, DEADLY, 0, circumstances);
		}
		EXPECT_EQ(BD_FLOW_RUNNING, state(fixture, DEADLY));
	}
}

/* Returns how long a task waits after a crash until it is placed, in steps. */
static int64_t
pause_after_crash(FlowFixture &fixture, const struct fw_crash &circumstances)
{
	int64_t pause_ms = 0;

	crash(fixture, DEADLY, 0, circumstances); /* at 3000 */
	while (pause_ms < 100000 && fixture.place_ready(3000 + pause_ms) == 0)
		pause_ms += 250;
	return pause_ms;
}

/* A lasting task that crashes its workers by itself must not do so all the
 * time, and must run again within 3 s: the workers may be the cause. */
TEST(FlowCrash, LastingTaskThatCrashesItsWorkersIsSlowedDown)
{
	static const struct fw_crash after_trial = {true, false, false, 25000};
	FlowFixture fixture;
	int64_t last_ms = 0;

	add_hosts(fixture, 3);
	fixture.submit(
	    DEADLY, {FlowFixture::make_step(1, 1, BD_STEP_LONG_RUNNING)});
	EXPECT_EQ(1U, fixture.place_ready());
	for (int i = 0; i < 12; i++) {
		int64_t pause_ms = pause_after_crash(fixture, APART);

		EXPECT_GE(pause_ms, last_ms);
		ASSERT_LE(pause_ms, i < 2 ? 0 : 2000) << i;
		EXPECT_TRUE(i < 2 || pause_ms > 0) << i;
		last_ms = pause_ms;
	}
	EXPECT_EQ(2000, last_ms);
	ASSERT_EQ(0, pause_after_crash(fixture, after_trial));
	for (int i = 0; i < 12; i++)
		ASSERT_EQ(0,
		    pause_after_crash(
			fixture, i % 2 == 0 ? BESIDE_OTHERS : PRESUMED));
}

/* A task that is done must not leave its job suspect. */
TEST(FlowCrash, DoneTaskIsNoLongerSuspect)
{
	FlowFixture fixture;

	add_hosts(fixture, 3);
	fixture.submit(DEADLY, {FlowFixture::make_step(1, 1)});
	place_and_crash(fixture, BESIDE_OTHERS);
	EXPECT_EQ(1U, fixture.place_ready());
	fixture.end_run(DEADLY, 0, FW_END_DONE);
	EXPECT_EQ(0U, fixture.task(DEADLY, 0).crashes);
	EXPECT_EQ(BD_FLOW_COMPLETED, state(fixture, DEADLY));
}

/* A suspect task must not share a worker with other jobs, nor return to the
 * worker that crashed under it, which may be the cause. */
TEST(FlowCrash, SuspectIsTriedApartOnAnotherWorker)
{
	FlowFixture fixture;
	uint64_t first;
	uint64_t tried;

	add_hosts(fixture, 3);
	fixture.submit(DEADLY, {FlowFixture::make_step(1, 1)});
	EXPECT_EQ(1U, fixture.place_ready());
	first = fixture.task(DEADLY, 0).host;
	crash(fixture, DEADLY, 0, BESIDE_OTHERS);
	fixture.submit(CALM, {FlowFixture::make_step(1, 1)});
	EXPECT_EQ(2U, fixture.place_ready());
	tried = fixture.task(DEADLY, 0).host;
	EXPECT_NE(first, tried);
	EXPECT_NE(tried, fixture.task(CALM, 0).host);
	fixture.submit("00000000000000e3", {FlowFixture::make_step(20, 1)});
	fixture.place_ready();
	for (uint32_t i = 0; i < 20; i++)
		EXPECT_NE(tried, fixture.task("00000000000000e3", i).host);
}

/* The tasks of a suspect job must not crash one worker each at the same time.
 */
TEST(FlowCrash, TasksOfASuspectJobAreTriedOnOneWorker)
{
	FlowFixture fixture;

	add_hosts(fixture, 8);
	fixture.submit(DEADLY, {FlowFixture::make_step(4, 4)});
	EXPECT_EQ(4U, fixture.place_ready());
	for (uint32_t i = 0; i < 4; i++)
		crash(fixture, DEADLY, i, BESIDE_OTHERS);
	EXPECT_EQ(2U, fixture.place_ready());
	EXPECT_EQ(fixture.task(DEADLY, 0).host, fixture.task(DEADLY, 1).host);
}

/* A task that has outlasted its trial must not keep a whole worker. */
TEST(FlowCrash, WorkerIsSharedAgainAfterTheTrial)
{
	FlowFixture fixture;

	add_hosts(fixture, 2);
	fixture.submit(DEADLY, {FlowFixture::make_step(1, 1)});
	place_and_crash(fixture, BESIDE_OTHERS);
	EXPECT_EQ(1U, fixture.place_ready(2000));
	fixture.submit(CALM, {FlowFixture::make_step(3, 4)});
	EXPECT_EQ(2U, fixture.place_ready(3000));
	EXPECT_EQ(1U, fixture.place_ready(2000 + 6000));
}

/* Many trials must not make suspects wait while most accelerators are free. */
TEST(FlowCrash, TrialsAreNotLimitedWhileAmpleCapacityIsFree)
{
	FlowFixture fixture;
	char name[BD_FLOW_NAME_BYTES];
	struct fw_groups groups;
	struct fw_view view;

	add_hosts(fixture, 16);
	for (int i = 0; i < 12; i++) {
		snprintf(name, sizeof(name), "%016x", 0x200 + i);
		fixture.submit(name, {FlowFixture::make_step(1, 1)});
	}
	fixture.place_ready();
	for (int i = 0; i < 12; i++) {
		snprintf(name, sizeof(name), "%016x", 0x200 + i);
		crash(fixture, name, 0, COMMON_CAUSE);
	}
	bd_read_begin();
	fw_view_build(&view, fixture.board, &fixture.settings, 5000, 20000);
	fw_view_reserve_urgent(&view, 0);
	fw_groups_ready(&groups, &view);
	EXPECT_EQ(12U, fw_place(&view, &groups, nullptr, nullptr));
	fixture.store_changed_jobs(&view);
	fw_groups_free(&groups);
	fw_view_free(&view);
	fw_view_build(&view, fixture.board, &fixture.settings, 5000, 21000);
	EXPECT_EQ(12U, view.trial_count);
	fw_view_reserve_urgent(&view, 0);
	EXPECT_TRUE(fw_view_ample(&view, 0, 1));
	fw_view_free(&view);
	bd_read_end();
}

/* A record without the number of crashes, of an earlier version, must be read
 * as none; one with it must keep it. */
TEST(FlowCrash, CrashesAreReadBackFromTheRecord)
{
	FlowFixture fixture;

	add_hosts(fixture, 1);
	fixture.submit(DEADLY, {FlowFixture::make_step(2, 1)});
	EXPECT_EQ(2U, fixture.place_ready());
	crash(fixture, DEADLY, 1, BESIDE_OTHERS);
	EXPECT_EQ(0U, fixture.task(DEADLY, 0).crashes);
	EXPECT_EQ(1U, fixture.task(DEADLY, 1).crashes);
}

static void
submit_among_calm_jobs(FlowSim &sim)
{
	sim.run_checker.deadly.insert(DEADLY);
	for (int i = 0; i < 4; i++)
		sim.submit(("00000000000000f" + std::to_string(i)).c_str(),
		    {FlowFixture::make_step(6, 1)});
	sim.submit(DEADLY, {FlowFixture::make_step(1, 1)});
}

static void
expect_given_up(FlowSim &sim, SimVm *vm)
{
	EXPECT_EQ(BD_FLOW_FAILED, sim.state(vm, DEADLY));
	for (int i = 0; i < 4; i++)
		EXPECT_EQ(BD_FLOW_COMPLETED,
		    sim.state(
			vm, ("00000000000000f" + std::to_string(i)).c_str()));
	EXPECT_LE(sim.run_checker.most_starts_after_crashes(), 2);
	EXPECT_EQ(0, sim.run_checker.concurrent_runs);
	EXPECT_EQ(0, sim.run_checker.unpreventable);
	EXPECT_EQ(0, sim.run_checker.capacity_violations);
}

/* A task that crashes each worker must be given up, and the jobs that lost runs
 * with it must be done, whether workers return under the same id or not. */
TEST(FlowCrash, DeadlyTaskIsGivenUpAndItsNeighboursAreDone)
{
	for (bool keeps_id : {false, true}) {
		FlowSim sim;

		for (int i = 0; i < 4; i++)
			sim.add_worker("w" + std::to_string(i)).keeps_id =
			    keeps_id;
		SimVm *vm = sim.add_vm("a");
		sim.run_for(1000);
		submit_among_calm_jobs(sim);
		sim.run_for(40000);
		expect_given_up(sim, vm);
		EXPECT_LE(sim.run_checker.started[DEADLY ".0.0.0"], 3);
	}
}

/* Crashes must be counted although the leases end before the worker is back,
 * which leaves calls unanswered meanwhile and may return under another id. */
TEST(FlowCrash, CrashesFoundAfterTheLeasesAreCounted)
{
	for (bool keeps_id : {false, true}) {
		FlowSim sim;

		for (int i = 0; i < 4; i++) {
			SimWorker &worker =
			    sim.add_worker("w" + std::to_string(i));

			worker.keeps_id = keeps_id;
			worker.crash_down_ms = 7500;
		}
		SimVm *vm = sim.add_vm("a");
		sim.order_fault = [&sim](const SimVm *,
				      const std::string &worker,
				      enum fw_order_kind) {
			SimOrderFault fault;

			sim.advance_workers();
			fault.unreachable = sim.workers[worker].is_down();
			return fault;
		};
		sim.run_for(1000);
		submit_among_calm_jobs(sim);
		sim.run_for(90000);
		expect_given_up(sim, vm);
	}
}

/* The count must survive placers that are killed while the worker is down. */
TEST(FlowCrash, CountSurvivesAChangeOfThePlacer)
{
	for (bool keeps_id : {false, true}) {
		FlowSim sim;
		SimVm *vms[4];

		for (int i = 0; i < 4; i++)
			sim.add_worker("w" + std::to_string(i)).keeps_id =
			    keeps_id;
		for (int i = 0; i < 4; i++)
			vms[i] = sim.add_vm(std::string(1, (char)('a' + i)));
		sim.run_for(1000);
		submit_among_calm_jobs(sim);
		for (int i = 0; i < 3; i++) {
			int starts = sim.run_checker.started[DEADLY ".0.0.0"];

			for (int k = 0; k < 400 &&
			     sim.run_checker.started[DEADLY ".0.0.0"] == starts;
			     k++)
				sim.run_for(100);
			sim.kill(vms[i]);
		}
		sim.run_for(90000);
		expect_given_up(sim, vms[3]);
	}
}

/* After the crash of some workers at once, for instance of a rack, the jobs
 * that ran there must not wait for each other's runs while most accelerators
 * are free. */
TEST(FlowCrash, JobsOfCrashedWorkersRunAgainWhileMostAcceleratorsAreFree)
{
	FlowSim sim;
	int waiting = 0;
	int down = 0;

	for (int i = 0; i < 8; i++)
		sim.add_worker("w" + std::to_string(i)).work_ms = 15000;
	sim.add_vm("a");
	sim.run_for(1000);
	for (int i = 0; i < 24; i++) {
		char name[BD_FLOW_NAME_BYTES];

		snprintf(name, sizeof(name), "%016x", 0x200 + i);
		sim.submit(name, {FlowFixture::make_step(1, 1)});
	}
	sim.run_for(1000);
	ASSERT_EQ(24, sim.run_checker.starts);
	for (auto &entry : sim.workers)
		if (!entry.second.runs.empty()) {
			entry.second.crash(sim.now_ms);
			down++;
		}
	ASSERT_LE(down, 4);
	sim.run_for(3500 + 5000); /* they are back, and a trial is over */
	for (const auto &entry : sim.run_checker.running)
		waiting += entry.second.empty();
	EXPECT_EQ(0, waiting);
}

/* A suspect must not wait for an empty worker for as long as other jobs run on
 * each of them, while most of the capacity is free. */
TEST(FlowCrash, SuspectDoesNotWaitForLongRunsOfOtherJobs)
{
	FlowSim sim;
	struct bd_flow_step spread = FlowFixture::make_step(4, 1);

	spread.host_max = 1;
	for (int i = 0; i < 4; i++)
		sim.add_worker("w" + std::to_string(i)).work_ms = 90000;
	SimVm *vm = sim.add_vm("a");
	sim.run_for(1000);
	sim.submit(CALM, {spread});
	sim.run_for(1000);
	ASSERT_EQ(4, sim.run_checker.starts);
	for (auto &entry : sim.workers)
		entry.second.work_ms = 2000;
	sim.submit(DEADLY, {FlowFixture::make_step(1, 1)});
	sim.run_for(500);
	std::string lost = sim.worker_of(vm, DEADLY, 0);
	ASSERT_NE("", lost);
	sim.workers[lost].crash_down_ms = 600000; /* a VM that is withdrawn */
	sim.workers[lost].crash(sim.now_ms);
	sim.run_for(4500);
	sim.remove_host(vm, lost);
	sim.run_for(20000);
	EXPECT_EQ(BD_FLOW_COMPLETED, sim.state(vm, DEADLY));
}

/* Tasks that last are to run again within seconds, each of them, also if many
 * workers of their step have crashed at once. */
TEST(FlowCrash, LastingTasksAreTriedSideBySide)
{
	FlowSim sim;
	struct bd_flow_step lasting =
	    FlowFixture::make_step(3, 1, BD_STEP_LONG_RUNNING);
	int waiting = 0;

	lasting.host_max = 1;
	for (int i = 0; i < 8; i++)
		sim.add_worker("w" + std::to_string(i)).work_ms = 900000;
	sim.add_vm("a");
	sim.run_for(1000);
	sim.submit(CALM, {lasting});
	sim.run_for(1000);
	ASSERT_EQ(3, sim.run_checker.starts);
	for (auto &entry : sim.workers)
		if (!entry.second.runs.empty())
			entry.second.crash(sim.now_ms);
	sim.run_for(6000 + 3000);
	for (const auto &entry : sim.run_checker.running)
		waiting += entry.second.empty();
	EXPECT_EQ(0, waiting);
}

/* Many workers may be kept for trials while most are free, also where no worker
 * has accelerators. */
TEST(FlowCrash, SuspectGangIsPlacedOnFreeWorkersWithoutAccelerators)
{
	for (uint32_t accels : {8U, 0U}) {
		FlowSim sim;
		struct bd_flow_step gang =
		    FlowFixture::make_step(4, accels, BD_STEP_GANG);

		gang.cores_milli = 100000;
		for (int i = 0; i < 8; i++) {
			SimWorker &worker =
			    sim.add_worker("w" + std::to_string(i));

			worker.room.accels = accels;
			worker.work_ms = 2000;
		}
		SimVm *vm = sim.add_vm("a");
		sim.run_for(1000);
		sim.submit(DEADLY, {gang}, 0);
		sim.run_for(1000);
		std::string lost = sim.worker_of(vm, DEADLY, 0);
		ASSERT_NE("", lost);
		sim.workers[lost].crash(sim.now_ms);
		sim.run_for(30000);
		EXPECT_EQ(BD_FLOW_COMPLETED, sim.state(vm, DEADLY)) << accels;
	}
}

/* The same for jobs of one task each. */
TEST(FlowCrash, TrialsAreNotLimitedOnFreeWorkersWithoutAccelerators)
{
	FlowFixture fixture;
	char name[BD_FLOW_NAME_BYTES];
	struct fw_groups groups;
	struct fw_view view;

	for (int i = 0; i < 16; i++)
		fixture.add_host(std::to_string(i), "r1", 0);
	for (int i = 0; i < 12; i++) {
		snprintf(name, sizeof(name), "%016x", 0x200 + i);
		fixture.submit(name, {FlowFixture::make_step(1, 0)});
	}
	fixture.place_ready();
	for (int i = 0; i < 12; i++) {
		snprintf(name, sizeof(name), "%016x", 0x200 + i);
		crash(fixture, name, 0, COMMON_CAUSE);
	}
	bd_read_begin();
	fw_view_build(&view, fixture.board, &fixture.settings, 5000, 20000);
	fw_view_reserve_urgent(&view, 0);
	fw_groups_ready(&groups, &view);
	EXPECT_EQ(12U, fw_place(&view, &groups, nullptr, nullptr));
	fw_groups_free(&groups);
	fw_view_free(&view);
	bd_read_end();
}

/* A worker that is back soon under its id must not be sent the same start over
 * and over: each copy crashes it again. */
TEST(FlowCrash, StartIsNotRepeatedAtTheNextIncarnation)
{
	for (int64_t down_ms : {300, 1000, 2000}) {
		FlowSim sim;

		for (int i = 0; i < 4; i++) {
			SimWorker &worker =
			    sim.add_worker("w" + std::to_string(i));

			worker.keeps_id = true;
			worker.crash_down_ms = down_ms;
		}
		SimVm *vm = sim.add_vm("a");
		sim.run_for(1000);
		sim.order_fault = [](const SimVm *, const std::string &,
				      enum fw_order_kind kind) {
			SimOrderFault fault;

			/* The crash breaks the connection. */
			if (kind == FW_ORDER_START)
				fault.broken_after_ms =
				    SimWorker::CRASH_DELAY_MS + 3;
			return fault;
		};
		submit_among_calm_jobs(sim);
		sim.run_for(60000);
		EXPECT_EQ(BD_FLOW_FAILED, sim.state(vm, DEADLY)) << down_ms;
		EXPECT_LE(sim.run_checker.most_starts_after_crashes(), 2)
		    << down_ms;
	}
}

/* Places all groups that are ready, as a decision does that knows how much of
 * the service is free. Returns their number. */
static uint32_t
decide(FlowFixture &fixture, int64_t wall_ms)
{
	struct fw_groups groups;
	struct fw_view view;
	uint32_t placed;

	bd_read_begin();
	fw_view_build(&view, fixture.board, &fixture.settings, 5000, wall_ms);
	fw_view_reserve_urgent(&view, 0);
	fw_groups_ready(&groups, &view);
	fw_groups_sort(&groups);
	fw_trials_hold(&view, &groups);
	placed = fw_place(&view, &groups, nullptr, nullptr);
	fw_groups_free(&groups);
	fixture.store_changed_jobs(&view);
	fw_view_free(&view);
	bd_read_end();
	return placed;
}

/* Adds a job with one task of this many accelerators on each of four workers.
 */
static void
fill_four_workers(FlowFixture &fixture, uint32_t accels)
{
	struct bd_flow_step spread =
	    FlowFixture::make_step(4, accels, BD_STEP_LONG_RUNNING);

	spread.host_max = 1;
	add_hosts(fixture, 4);
	fixture.submit(CALM, {spread});
	EXPECT_EQ(4U, fixture.place_ready());
}

/* A suspect must not wait for an empty worker for good, however often workers
 * have crashed under it: none may ever be empty. */
TEST(FlowCrash, SuspectWithManyCrashesSharesAWorkerWhereNoneIsEmpty)
{
	for (uint32_t flags : {0U, (uint32_t)BD_STEP_LONG_RUNNING}) {
		FlowFixture fixture;

		fill_four_workers(fixture, 1);
		fixture.submit(DEADLY, {FlowFixture::make_step(1, 1, flags)});
		EXPECT_EQ(1U, fixture.place_ready());
		for (int i = 0; i < 3; i++) {
			crash(fixture, DEADLY, 0, BESIDE_OTHERS);
			EXPECT_EQ(1U, decide(fixture, 3000 + 2900)) << i;
		}
	}
}

/* Tasks that last have to run again within seconds however full their service
 * is. */
TEST(FlowCrash, LastingSuspectSharesAWorkerOfAFullService)
{
	FlowFixture fixture;

	fill_four_workers(fixture, 6);
	fixture.submit(
	    DEADLY, {FlowFixture::make_step(1, 1, BD_STEP_LONG_RUNNING)});
	EXPECT_EQ(1U, fixture.place_ready());
	crash(fixture, DEADLY, 0, BESIDE_OTHERS);
	EXPECT_EQ(0U, decide(fixture, 3000 + 1000));
	EXPECT_EQ(1U, decide(fixture, 3000 + 2900));
}

/* A task that lasts must not wait until the trials of other jobs are over. */
TEST(FlowCrash, LastingTasksDoNotWaitForTheTrialsOfOthers)
{
	FlowFixture fixture;

	fixture.add_host("1", "r1");
	fixture.submit(DEADLY, {FlowFixture::make_step(1, 1)});
	EXPECT_EQ(1U, fixture.place_ready());
	crash(fixture, DEADLY, 0, APART);
	EXPECT_EQ(1U, decide(fixture, 3000 + 100));
	fixture.submit(
	    CALM, {FlowFixture::make_step(1, 1, BD_STEP_LONG_RUNNING)}, 3100);
	EXPECT_EQ(0U, decide(fixture, 3100 + 1000));
	EXPECT_EQ(1U, decide(fixture, 3100 + 2900));
}

/* A suspect must return to the worker that crashed under it if no other one has
 * room meanwhile. */
TEST(FlowCrash, SuspectReturnsToTheOnlyWorkerWithRoom)
{
	FlowFixture fixture;
	struct bd_flow_step step = FlowFixture::make_step(1, 4);

	fixture.add_host("1", "r1");
	strcpy(step.label, "r1");
	fixture.submit(DEADLY, {step});
	EXPECT_EQ(1U, fixture.place_ready());
	fixture.add_host("2", "r1", 16);
	fixture.submit(CALM, {FlowFixture::make_step(1, 16)});
	EXPECT_EQ(1U, fixture.place_ready());
	fixture.add_host("3", "r2", 16);
	crash(fixture, DEADLY, 0, BESIDE_OTHERS);
	EXPECT_EQ(0U, decide(fixture, 3000 + 1000));
	EXPECT_EQ(1U, decide(fixture, 3000 + 2900));
}

/* The wait of a lasting task must not begin anew with each change of another
 * task of its job. */
TEST(FlowCrash, WaitOfASuspectDoesNotBeginAnewWithOthersOfItsJob)
{
	FlowFixture fixture;
	struct bd_flow_step large =
	    FlowFixture::make_step(1, 1, BD_STEP_LONG_RUNNING);
	struct bd_flow_step small = large;

	fill_four_workers(fixture, 1);
	fixture.submit(DEADLY, {large, small});
	EXPECT_EQ(2U, fixture.place_ready());
	crash(fixture, DEADLY, 0, BESIDE_OTHERS); /* at 3000 */
	bd_read_begin();
	const struct bd_flow *row = fixture.find_flow(DEADLY);
	struct bd_flow *copy = (struct bd_flow *)malloc(fw_flow_bytes(row));
	memcpy(copy, row, fw_flow_bytes(row));
	bd_read_end();
	fw_flow_tasks(copy)[1].changed_ms = 3000 + 2500;
	fixture.store_progress(copy);
	free(copy);
	EXPECT_EQ(1U, decide(fixture, 3000 + 2900));
}
