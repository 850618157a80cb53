#include <gtest/gtest.h>

#include "sim/late_starts.h"

/* The last start of a task on w1 that is not answered arrives 12 s later, when
 * w1 has started again and cannot be reached for another second. */
struct ListedLateStart {
	static constexpr int64_t LAST_START_MS = 800 + FW_START_REPEATED_MS;
	static constexpr int64_t ARRIVE_MS = LAST_START_MS + 12000;
	LateStarts play;

	ListedLateStart()
	{
		FlowSim &sim = play.sim;

		play.worker().work_ms = 60000;
		sim.order_fault = [&sim](const SimVm *, const std::string &at,
				      enum fw_order_kind kind) {
			SimOrderFault fault;

			if (kind != FW_ORDER_START || at != "w1")
				return fault;
			fault.late_ms = ARRIVE_MS - sim.now_ms;
			fault.unreachable = fault.late_ms > 12000;
			return fault;
		};
		sim.submit(JOB_A, {FlowFixture::make_step(1, 8)});
		play.run_until(LAST_START_MS + 3200);
		sim.add_worker("w2").work_ms = 60000;
		sim.unreachable_workers.insert("w1");
		play.crash(ARRIVE_MS - 1);
		play.run_until(ARRIVE_MS + 1200);
		EXPECT_EQ(1, sim.run_checker.starts);
		sim.unreachable_workers.clear();
	}
};

/* A late start that its worker lists is a run of its task, also once that
 * worker falls silent: its leases are valid. */
TEST(FlowLateStart, TasksWithAListedLateRunAreNotPlacedOnceItsWorkerIsSilent)
{
	ListedLateStart late;
	LateStarts &play = late.play;

	while (!play.worker().called && play.sim.now_ms < late.ARRIVE_MS + 4800)
		play.run_until(play.sim.now_ms + 1);
	play.run_until(play.sim.now_ms + 300);
	ASSERT_LT(play.sim.now_ms, late.ARRIVE_MS + 5800);
	play.sim.unreachable_workers.insert("w1");
	play.run_until(late.ARRIVE_MS + 20800);
	play.expect_no_violations(late.ARRIVE_MS);
}

/* The same, where a successor has never reached that worker. */
TEST(FlowLateStart, SuccessorsDoNotPlaceTasksWithALateRunOfTheirPredecessor)
{
	ListedLateStart late;
	LateStarts &play = late.play;

	play.run_until(late.ARRIVE_MS + 12800);
	EXPECT_EQ(1, play.sim.run_checker.starts);
	play.sim.add_vm("b");
	play.sim.kill(play.vm);
	play.sim.unreachable_workers.insert("w1");
	play.run_until(late.ARRIVE_MS + 40800);
	play.expect_no_violations(late.ARRIVE_MS);
}

/* A start must not be repeated before a successor would know of it: while
 * appends get no answer, starts are noted nowhere. */
TEST(FlowLateStart, SuccessorsWaitForStartsThatCouldNotBeNoted)
{
	int starts = 0;
	int64_t sent_ms = 0;
	LateStarts play;
	FlowSim &sim = play.sim;

	play.worker().work_ms = 20000;
	sim.order_fault = [&](const SimVm *vm, const std::string &address,
			      enum fw_order_kind kind) {
		SimOrderFault fault;

		if (kind != FW_ORDER_START || address != "w1" ||
		    vm->name != "a")
			return fault;
		starts++;
		sim.drop_append_answers = true;
		fault.late_ms = 12000;
		sent_ms = sim.now_ms;
		return fault;
	};
	sim.submit(JOB_A, {FlowFixture::make_step(1, 8)});
	play.run_until(7500);
	EXPECT_EQ(1, starts);
	sim.kill(play.vm);
	sim.drop_append_answers = false;
	SimVm *b = sim.add_vm("b");
	sim.add_worker("w2").work_ms = 20000;
	/* The start by the successor is lost with its worker. */
	while (sim.run_checker.starts == 0 && sim.now_ms < sent_ms + 8000)
		play.run_until(sim.now_ms + 1);
	ASSERT_EQ(1, sim.run_checker.starts);
	play.crash(sim.now_ms + 100);
	play.run_until(sent_ms + 9000);
	sim.mark_leaving(b, "w1", 60000); /* w2 is chosen */
	play.run_until(sent_ms + 11900);
	play.crash(sent_ms + 11999);
	play.run_until(sent_ms + 30000);
	EXPECT_EQ(0, sim.run_checker.concurrent_runs);
}

/* Room of a predecessor's start that may arrive is not given to another one.
 */
TEST(FlowLateStart, SuccessorsKeepTheRoomOfStartsThatMayArrive)
{
	LateStarts play;
	FlowSim &sim = play.sim;

	play.late = 1;
	play.arrive_ms = 13500;
	sim.submit(JOB_A, {FlowFixture::make_step(1, 8)});
	play.run_until(3800); /* noted, and answered at the second time */
	sim.kill(play.vm);
	SimVm *b = sim.add_vm("b");
	play.run_until(5000);
	while (sim.state(b, JOB_A) != BD_FLOW_COMPLETED && sim.now_ms < 11000)
		play.run_until(sim.now_ms + 1);
	ASSERT_EQ(BD_FLOW_COMPLETED, sim.state(b, JOB_A));
	play.run_until(sim.now_ms + 500);
	ASSERT_LT(sim.now_ms, 12000);
	play.late = 1;
	play.arrive_ms = 13501;
	sim.submit(JOB_B, {FlowFixture::make_step(1, 8)});
	play.run_until(13000);
	play.crash(13499);
	play.run_until(40000);
	EXPECT_EQ(BD_FLOW_COMPLETED, sim.state(b, JOB_B));
	EXPECT_EQ(0, sim.run_checker.concurrent_runs);
	EXPECT_EQ(0, sim.run_checker.capacity_violations);
}

/* A placer that takes over must not acknowledge an end that a start of its
 * predecessor, which had no answer, may follow. */
TEST(FlowLateStart, SuccessorsDoNotAcknowledgeEndsThatAStartMayFollow)
{
	LateStarts play;
	FlowSim &sim = play.sim;

	play.submit(1, 13500);
	play.run_until(4000);
	ASSERT_EQ(1, sim.run_checker.starts);
	ASSERT_EQ(1U, sim.unacknowledged_ends());
	sim.kill(play.vm);
	SimVm *b = sim.add_vm("b");
	play.run_until(12000);
	ASSERT_EQ(BD_FLOW_COMPLETED, sim.state(b, JOB_A));
	play.crash(13499);
	play.run_until(14000);
	EXPECT_EQ(2, sim.run_checker.starts);
	play.expect_no_violations(13500);
}

/* Starts w1 does not answer, while the wall clocks step by 2 s before a
 * successor reads the note of them. Connections break after the given time. */
static void
step_clocks(int64_t broken_after_ms)
{
	int64_t last_ms = 0;
	LateStarts play;
	FlowSim &sim = play.sim;

	play.worker().work_ms = 20000;
	sim.order_fault = [&](const SimVm *vm, const std::string &at,
			      enum fw_order_kind kind) {
		SimOrderFault fault;

		if (kind != FW_ORDER_START || at != "w1" || vm->name != "a")
			return fault;
		last_ms = sim.now_ms;
		fault.late_ms = 11900;
		fault.broken_after_ms = broken_after_ms;
		return fault;
	};
	sim.submit(JOB_A, {FlowFixture::make_step(1, 8)});
	play.run_until(9700);
	sim.kill(play.vm);
	sim.wall_ahead_ms = 2000;
	sim.add_vm("b");
	sim.add_worker("w2").work_ms = 20000;
	play.run_until(last_ms + 11850);
	play.crash(last_ms + 11890);
	play.run_until(last_ms + 12500);
	SCOPED_TRACE("broken after " + std::to_string(broken_after_ms));
	play.expect_no_violations(last_ms + 11900);
}

TEST(FlowLateStart, SuccessorsWaitForLateStartsWhenWallClocksStep)
{
	for (int64_t broken_after_ms = 300; broken_after_ms <= 900;
	     broken_after_ms += 100)
		step_clocks(broken_after_ms);
}

/* An acknowledgement that is carried out late by a worker that has started
 * again must not drop ends that nobody has seen. */
TEST(FlowLateStart, LateAcknowledgementsDoNotDropEndsOfANewIncarnation)
{
	bool late = false;
	bool cut = false;
	size_t stored;
	LateStarts play;
	FlowSim &sim = play.sim;

	play.submit(3, 0);
	play.late = 0;
	while (sim.unacknowledged_ends() == 0 && sim.now_ms < 5000)
		play.run_until(sim.now_ms + 1);
	stored = sim.progress_log.records.size();
	sim.order_fault = [&](const SimVm *, const std::string &,
			      enum fw_order_kind kind) {
		SimOrderFault fault;

		fault.unreachable = cut;
		if (kind == FW_ORDER_HOLD && !late &&
		    sim.progress_log.records.size() > stored) {
			late = true;
			fault.late_ms = 8000;
		}
		return fault;
	};
	while (!late && sim.now_ms < 9000)
		play.run_until(sim.now_ms + 1);
	ASSERT_TRUE(late);
	int64_t arrive_ms = sim.now_ms + 8000;
	play.worker().restart(sim.now_ms);
	sim.update_host(play.vm, play.worker());
	play.worker().work_ms = 2000;
	play.run_until(arrive_ms - 1500);
	sim.submit(JOB_B, {FlowFixture::make_step(2, 1)});
	play.run_until(arrive_ms - 1000);
	cut = true;
	play.worker().work_ms = 100;
	for (auto &entry : play.worker().runs)
		entry.second.work_ms = 800;
	play.run_until(arrive_ms + 100);
	EXPECT_EQ(3, sim.run_checker.starts);
	cut = false;
	play.run_until(arrive_ms + 20000);
	EXPECT_EQ(BD_FLOW_COMPLETED, sim.state(play.vm, JOB_B));
	EXPECT_EQ(5, sim.run_checker.starts);
	play.expect_no_violations(arrive_ms);
}

/* A task whose worker dies with its start must run elsewhere in time. */
TEST(FlowLateStart, TasksOfAWorkerThatDiesWithTheirStartRunElsewhereInTime)
{
	LateStarts play;
	FlowSim &sim = play.sim;
	int64_t dead_ms = 0;

	sim.order_fault = [&](const SimVm *, const std::string &at,
			      enum fw_order_kind) {
		SimOrderFault fault;

		fault.unreachable = at == "w1";
		return fault;
	};
	play.late = 0;
	dead_ms = sim.now_ms;
	sim.submit(JOB_A, {FlowFixture::make_step(1, 8)});
	play.run_until(dead_ms + 200);
	for (int i = 0; i < 4; i++)
		sim.add_worker("w" + std::to_string(2 + i)).work_ms = 20000;
	play.run_until(dead_ms + 4500);
	sim.remove_host(play.vm, "w1"); /* three heartbeats of silence */
	while (sim.run_checker.starts == 0 && sim.now_ms < dead_ms + 60000)
		play.run_until(sim.now_ms + 1);
	EXPECT_EQ(1, sim.run_checker.starts);
	EXPECT_LE(sim.now_ms - dead_ms, 14000 + 3000);
}

/* A late renewal counts also where only answers to starts have shown that the
 * worker has started again. */
TEST(FlowLateStart, LateRenewalsCountBeforeANewIncarnationHasListedItsRuns)
{
	bool late = false;
	bool cut = false;
	int sent = 0;
	FlowSim sim;

	sim.add_worker("w1").work_ms = 20000;
	sim.add_vm("a");
	sim.run_for(60000); /* its clock is ahead of that of the next one */
	sim.order_fault = [&](const SimVm *, const std::string &at,
			      enum fw_order_kind kind) {
		SimOrderFault fault;

		fault.unreachable = cut && at == "w1";
		if (late && kind == FW_ORDER_HOLD) {
			late = false;
			fault.late_ms = 5000;
		}
		if (kind == FW_ORDER_START && ++sent == 2)
			cut = true;
		return fault;
	};
	sim.submit(JOB_A, {FlowFixture::make_step(1, 1)});
	sim.run_for(1000);
	late = true;
	for (int i = 0; late && i < 3000; i++)
		sim.run_for(1);
	ASSERT_FALSE(late);
	sim.workers["w1"].restart(sim.now_ms);
	sim.submit(JOB_B, {FlowFixture::make_step(1, 1)});
	for (int i = 0; !cut && i < 1000; i++)
		sim.run_for(1);
	ASSERT_TRUE(cut);
	sim.run_for(100);
	ASSERT_EQ(2, sim.run_checker.starts);
	sim.add_worker("w2").work_ms = 20000;
	for (int i = 0; i < 2000; i++) {
		sim.run_for(10);
		sim.advance_workers();
	}
	EXPECT_EQ(0, sim.run_checker.concurrent_runs);
	sim.order_fault = nullptr;
}

/* A successor repeats the starts of its predecessor for as long again, which
 * the one after it must know. */
TEST(FlowLateStart, StartsThatASuccessorRepeatsAreAwaitedByTheNextOne)
{
	int64_t sent_ms = 0;
	LateStarts play;
	FlowSim &sim = play.sim;

	play.worker().work_ms = 20000;
	sim.order_fault = [&](const SimVm *vm, const std::string &at,
			      enum fw_order_kind kind) {
		SimOrderFault fault;

		if (kind != FW_ORDER_START || at != "w1" || vm->name == "c")
			return fault;
		fault.unreachable = sim.now_ms < 9500;
		fault.late_ms = 12000;
		sent_ms = sim.now_ms;
		return fault;
	};
	sim.submit(JOB_A, {FlowFixture::make_step(1, 8)});
	play.run_until(2100);
	sim.kill(play.vm);
	play.run_until(6000);
	sim.add_vm("b");
	while (sent_ms < 9500 && sim.now_ms < 14000)
		play.run_until(sim.now_ms + 1);
	ASSERT_LE(9500, sent_ms);
	play.run_until(sent_ms + 1500); /* its note is stored */
	sim.kill(sim.vms.back().get());
	SimVm *c = sim.add_vm("c");
	sim.add_worker("w2").work_ms = 20000;
	while (sim.run_checker.starts == 0 && sim.now_ms < sent_ms + 9000)
		play.run_until(sim.now_ms + 1);
	ASSERT_EQ(1, sim.run_checker.starts);
	play.crash(sim.now_ms + 100);
	play.run_until(sent_ms + 10000);
	sim.mark_leaving(c, "w1", 60000); /* w2 is chosen */
	play.run_until(sent_ms + 11900);
	play.crash(sent_ms + 11999);
	play.run_until(sent_ms + 30000);
	EXPECT_EQ(0, sim.run_checker.concurrent_runs);
}

/* Lets a late start arrive between two starts and the first list of the
 * incarnation that has accepted them, after the end of its task was
 * acknowledged. Returns the time at which they were accepted, and adds to
 * *after_end the starts of tasks that had ended. */
static int64_t
accept_beside_late_start(int64_t arrive_ms, int64_t restart_ms, int *after_end)
{
	LateStarts play;
	FlowSim &sim = play.sim;

	play.late = 1;
	play.arrive_ms = arrive_ms;
	sim.submit(JOB_A, {FlowFixture::make_step(1, 4)});
	play.run_until(9000);
	EXPECT_EQ(1, sim.run_checker.starts);
	play.worker().work_ms = 5000;
	sim.submit(JOB_B, {FlowFixture::make_step(2, 4)});
	if (restart_ms > 0) {
		play.run_until(restart_ms);
		play.worker().restart(sim.now_ms);
	}
	while (sim.run_checker.starts < 3 && sim.now_ms < 12000)
		play.run_until(sim.now_ms + 1);
	int64_t accepted_ms = sim.now_ms;
	play.run_until(accepted_ms + 1000);
	*after_end +=
	    sim.run_checker.starts_after_done + sim.run_checker.unpreventable;
	if (restart_ms > 0) {
		SCOPED_TRACE(
		    "arrival after " + std::to_string(arrive_ms - accepted_ms));
		EXPECT_EQ(0, sim.run_checker.concurrent_runs);
		EXPECT_EQ(0, sim.run_checker.capacity_violations);
	}
	return accepted_ms;
}

/* Returns the number of starts of tasks that had ended. */
static int
restart_unseen()
{
	int after_end = 0;
	int64_t accepted_ms = accept_beside_late_start(14000, 0, &after_end);

	EXPECT_LT(accepted_ms, 12000);
	after_end = 0;
	for (int64_t after_ms = 1; after_ms <= 12; after_ms++)
		accept_beside_late_start(
		    accepted_ms + after_ms, accepted_ms - 5, &after_end);
	return after_end;
}

/* Starts that a new incarnation has accepted run there, beside a late one that
 * it has not been told to refuse. */
TEST(FlowLateStart, AcceptedStartsLeaveRoomForALateOneAfterAnUnseenRestart)
{
	restart_unseen();
}

/* A task must not start again after its end was acknowledged. */
TEST(FlowLateStart, LateStartsDoNotFollowAcknowledgedEndsAfterAnUnseenRestart)
{
	EXPECT_EQ(0, restart_unseen());
}

/* Guards against a wait for a late start that grows with each placer: each one
 * stores the row of its job anew, and has just started. */
TEST(FlowLateStart, WaitsForLateStartsDoNotGrowWithEachPlacer)
{
	LateStarts play;
	FlowSim &sim = play.sim;
	SimVm *placer = play.vm;
	int64_t sent_ms = 0;

	sim.add_worker("w3").work_ms = 700;
	sim.order_fault = [&](const SimVm *, const std::string &at,
			      enum fw_order_kind kind) {
		SimOrderFault fault;

		if (at != "w1")
			return fault;
		if (kind == FW_ORDER_START && sent_ms == 0)
			sent_ms = sim.now_ms;
		fault.unreachable = sent_ms != 0;
		return fault;
	};
	sim.submit(JOB_A, {FlowFixture::make_step(60, 8)});
	while (sent_ms == 0)
		play.run_until(sim.now_ms + 1);
	std::string task = std::string(JOB_A) + ".0.0.0";
	for (int n = 0; n < 20 && sim.run_checker.started[task] == 0; n++) {
		int64_t end_ms = sim.now_ms + 2700;

		while (
		    sim.now_ms < end_ms && sim.run_checker.started[task] == 0)
			play.run_until(sim.now_ms + 1);
		sim.kill(placer);
		placer = sim.add_vm("n" + std::to_string(n));
	}
	EXPECT_EQ(1, sim.run_checker.started[task]);
	/* Until the start can no longer arrive, and a longest lease. */
	EXPECT_LT(sim.now_ms - sent_ms, 13000 + 6200);
	EXPECT_EQ(0, sim.run_checker.concurrent_runs);
}
