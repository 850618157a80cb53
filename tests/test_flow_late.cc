#include <gtest/gtest.h>

#include "sim/late_starts.h"

/* A job whose task is on a worker that holds its start back, and room for it
 * elsewhere. */
struct Standing {
	FlowSim sim;
	SimVm *vm;
	bool lose_starts = true; /* to w1: carried out late_ms later */
	int64_t late_ms = 11000;

	Standing()
	{
		sim.add_worker("w1").work_ms = 1000;
		vm = sim.add_vm("a");
		sim.order_fault = [this](const SimVm *, const std::string &at,
				      enum fw_order_kind kind) {
			SimOrderFault fault;

			if (lose_starts && kind == FW_ORDER_START && at == "w1")
				fault.late_ms = late_ms;
			return fault;
		};
		run_until(1000);
	}

	SimWorker &
	worker()
	{
		return sim.workers["w1"];
	}

	void
	run_until(int64_t end_ms)
	{
		while (sim.now_ms < end_ms) {
			sim.run_for(1);
			sim.advance_workers();
		}
	}

	/* Returns after how many ms a task of the job runs, at most 60,000. */
	int64_t
	start_after_ms(const std::string &task)
	{
		int64_t since_ms = sim.now_ms;

		while (sim.run_checker.running[task].empty() &&
		    sim.now_ms < since_ms + 60000)
			run_until(sim.now_ms + 1);
		return sim.now_ms - since_ms;
	}

	void
	expect_no_violations()
	{
		EXPECT_EQ(0, sim.run_checker.concurrent_runs);
		EXPECT_EQ(0, sim.run_checker.starts_after_done);
		EXPECT_EQ(0, sim.run_checker.unpreventable);
		EXPECT_EQ(0, sim.run_checker.capacity_violations);
	}
};

static const char TASK[] = JOB_A ".0.0.0";

/* Guards against a task that waits until no start of it can arrive any more
 * although its worker, which has started again, has refused them. */
TEST(FlowLate, TasksOfARestartedWorkerRunThereAgainAtOnce)
{
	Standing play;

	play.sim.submit(JOB_A, {FlowFixture::make_step(1, 8)});
	play.run_until(1500);
	play.worker().keeps_id = true;
	play.worker().crash(play.sim.now_ms);
	play.worker().back_ms = 3000;
	play.run_until(3000);
	play.lose_starts = false;
	EXPECT_LT(play.start_after_ms(TASK), 3000);
	play.run_until(30000);
	EXPECT_EQ(BD_FLOW_COMPLETED, play.sim.state(play.vm, JOB_A));
	play.expect_no_violations();
}

/* Guards against a second run beside a late start of the first one. */
TEST(FlowLate, RunsOnARestartedWorkerAreAloneWhenTheLateStartArrives)
{
	for (int64_t back_ms = 12000; back_ms <= 12600; back_ms += 20) {
		Standing play;

		play.worker().work_ms = 20000;
		play.sim.submit(JOB_A, {FlowFixture::make_step(1, 8)});
		play.run_until(1500);
		play.worker().keeps_id = true;
		play.worker().crash(play.sim.now_ms);
		play.worker().back_ms = 3000;
		play.run_until(3000);
		play.lose_starts = false;
		ASSERT_LT(play.start_after_ms(TASK), 3000);
		play.run_until(11900);
		play.worker().crash(play.sim.now_ms);
		play.worker().back_ms = back_ms;
		play.run_until(40000);
		SCOPED_TRACE("back at " + std::to_string(back_ms));
		play.expect_no_violations();
	}
}

/* Guards against a task that waits for a start at a worker that is gone. */
TEST(FlowLate, TasksOfADeadWorkerRunElsewhereOnceItsEntryIsGone)
{
	Standing play;

	play.sim.submit(JOB_A, {FlowFixture::make_step(1, 8)});
	play.run_until(1500);
	play.worker().crash(play.sim.now_ms);
	play.worker().back_ms = INT64_MAX;
	play.sim.add_worker("w2");
	play.run_until(1500 + 4500); /* three heartbeats of silence */
	play.sim.remove_host(play.vm, "w1");
	EXPECT_LT(play.start_after_ms(TASK), 2500);
	play.expect_no_violations();
}

/* Guards against the end of a wait that a change of the placer puts off: the
 * successor must not wait for the leases of a worker that has been replaced. */
TEST(FlowLate, SuccessorsDoNotWaitForTheLeasesOfAReplacedWorker)
{
	Standing play;

	play.lose_starts = false;
	play.worker().work_ms = 20000;
	play.sim.submit(JOB_A, {FlowFixture::make_step(1, 8)});
	play.run_until(2000);
	play.sim.kill(play.vm);
	play.worker().crash(play.sim.now_ms);
	play.worker().back_ms = 2500;
	play.run_until(3000);
	SimVm *b = play.sim.add_vm("b");
	while (!fw_placer_active(b->placer))
		play.run_until(play.sim.now_ms + 1);
	EXPECT_LT(play.start_after_ms(TASK), 1000);
	play.expect_no_violations();
}

/* The same where its entry names the next incarnation, which is gone too. */
TEST(FlowLate, SuccessorsKnowTheAddressOfRunsOnAFormerIncarnation)
{
	Standing play;

	play.lose_starts = false;
	play.worker().work_ms = 20000;
	play.worker().keeps_id = true;
	play.sim.submit(JOB_A, {FlowFixture::make_step(1, 8)});
	play.run_until(2000);
	play.sim.kill(play.vm);
	play.worker().restart(play.sim.now_ms);
	SimVm *b = play.sim.add_vm("b");
	play.worker().keeps_id = false;
	play.worker().crash(play.sim.now_ms);
	play.worker().back_ms = 6000;
	play.sim.back_publish_ms = 100;
	play.run_until(6000);
	ASSERT_TRUE(fw_placer_active(b->placer));
	EXPECT_LT(play.start_after_ms(TASK), 1000);
	play.expect_no_violations();
}

/* Guards against tasks that a successor holds back for the unanswered start of
 * another task of their job. */
TEST(FlowLate, SuccessorsHoldNoTaskForTheLateStartOfAnother)
{
	Standing play;
	FlowSim &sim = play.sim;
	SimWorker &other = sim.add_worker("w2");
	auto set_accels = [&sim](SimVm *vm, const char *id, uint32_t accels) {
		sim.change_host(vm, id, [accels](struct bd_host &host) {
			host.accels = accels;
		});
	};

	set_accels(play.vm, "w1", 1);
	set_accels(play.vm, "w2", 1);
	other.work_ms = 3000;
	other.failing = true;
	sim.submit(JOB_A, {FlowFixture::make_step(2, 1)});
	play.run_until(3500); /* the late start is noted */
	uint32_t held = sim.worker_of(play.vm, JOB_A, 0) == "w1" ? 0 : 1;
	std::string task = JOB_A ".0.0." + std::to_string(1 - held);
	ASSERT_FALSE(sim.run_checker.running[task].empty());
	set_accels(play.vm, "w2", 0);
	play.run_until(5000);
	ASSERT_TRUE(sim.run_checker.running[task].empty());
	sim.kill(play.vm);
	other.failing = play.lose_starts = false;
	SimVm *b = sim.add_vm("b");
	while (!fw_placer_active(b->placer))
		play.run_until(sim.now_ms + 1);
	EXPECT_LT(play.start_after_ms(task), 1000);
	play.expect_no_violations();
}

/* Guards against a run that counts as lost because a list that was asked for
 * later than one with the run was made before the run had started. */
TEST(FlowLate, ListsMadeBeforeAStartDoNotEndTheRun)
{
	Standing play;
	FlowSim &sim = play.sim;
	bool delayed = false;

	play.lose_starts = false;
	play.worker().work_ms = 20000;
	sim.submit(JOB_B, {FlowFixture::make_step(1, 1)});
	play.run_until(2000);
	struct fw_tables *tables = &play.vm->placer->tables;
	struct fw_worker_state *state =
	    &tables->worker_states[fw_worker_state_get(
		tables, cw_id_from_name("w1"))];

	while (state->hold_sent_ms != sim.now_ms)
		play.run_until(sim.now_ms + 1);
	play.run_until(sim.now_ms + 20);
	sim.order_fault = [&delayed](const SimVm *, const std::string &,
			      enum fw_order_kind kind) {
		SimOrderFault fault;

		if (kind == FW_ORDER_HOLD && !delayed) {
			delayed = true;
			fault.answer_delay_ms = 400;
		}
		return fault;
	};
	state->probe_due = true;
	sim.submit(JOB_A, {FlowFixture::make_step(1, 1)});
	play.run_until(8000);
	EXPECT_TRUE(delayed);
	EXPECT_EQ(2, sim.run_checker.starts);
	play.expect_no_violations();
}

/* Guards against a start after an acknowledged end: a run that ends as done on
 * the worker of an earlier run, whose late start the next incarnation carries
 * out. */
TEST(FlowLate, EndsOfBoundRunsAreNotAcknowledgedBeforeTheLateStartArrives)
{
	for (int64_t back_ms = 12000; back_ms <= 12600; back_ms += 20) {
		Standing play;

		play.sim.submit(JOB_A, {FlowFixture::make_step(1, 8)});
		play.run_until(1500);
		play.worker().keeps_id = true;
		play.worker().crash(play.sim.now_ms);
		play.worker().back_ms = 3000;
		play.run_until(3000);
		play.lose_starts = false;
		ASSERT_LT(play.start_after_ms(TASK), 3000);
		play.run_until(11900);
		play.worker().crash(play.sim.now_ms);
		play.worker().back_ms = back_ms;
		play.run_until(40000);
		SCOPED_TRACE("back at " + std::to_string(back_ms));
		play.expect_no_violations();
	}
}

/* Guards against a second run beside a late start on a worker that was gone and
 * is back under its id. */
TEST(FlowLate, TasksOfAWorkerThatReturnsDoNotRunTwice)
{
	for (int64_t back_ms = 12000; back_ms <= 12600; back_ms += 20) {
		Standing play;

		play.worker().work_ms = 20000;
		play.sim.submit(JOB_A, {FlowFixture::make_step(1, 8)});
		play.run_until(1500);
		play.worker().keeps_id = true;
		play.worker().crash(play.sim.now_ms);
		play.worker().back_ms = INT64_MAX;
		play.sim.add_worker("w2").work_ms = 20000;
		play.run_until(1500 + 4500);
		play.sim.remove_host(play.vm, "w1");
		play.run_until(11900);
		play.worker().back_ms = back_ms;
		play.run_until(40000);
		SCOPED_TRACE("back at " + std::to_string(back_ms));
		play.expect_no_violations();
	}
}

/* Guards against a start beside a late one that the worker lists as running:
 * the end of that run was listed by the incarnation before. */
TEST(FlowLate, RunsThatAreListedAsRunningAreNotRefused)
{
	for (int64_t crash_ms = 3000; crash_ms <= 5200; crash_ms += 100) {
		Standing play;
		FlowSim &sim = play.sim;
		int lost = 1;
		int listed = 0;
		int refused = 0;

		play.worker().work_ms = 1500;
		play.worker().failing = true;
		sim.order_fault = [&](const SimVm *, const std::string &,
				      enum fw_order_kind kind) {
			SimOrderFault fault;

			if (kind == FW_ORDER_START && lost > 0) {
				lost--;
				fault.late_ms = crash_ms + 35 - sim.now_ms;
			}
			return fault;
		};
		sim.submit(JOB_A, {FlowFixture::make_step(1, 1)});
		play.run_until(crash_ms);
		play.worker().keeps_id = true;
		play.worker().crash(sim.now_ms);
		play.worker().back_ms = crash_ms + 30;
		while (sim.now_ms < 16000) {
			play.run_until(sim.now_ms + 1);
			struct fw_tables *tables = &play.vm->placer->tables;
			for (uint32_t i = 0; i < tables->run_count; i++) {
				const struct fw_run *run = &tables->runs[i];
				const struct fw_worker_state *w;

				if (!run->used ||
				    run->phase != FW_PHASE_ENDED ||
				    !fw_run_has_unknown_start(run))
					continue;
				w = &tables->worker_states[run->worker];
				for (uint32_t k = 0; k < w->report.run_count;
				     k++) {
					if (w->report.runs[k].run != run->run)
						continue;
					listed++;
					refused +=
					    fw_run_is_refused(tables, run);
				}
			}
		}
		EXPECT_EQ(0, refused) << "of " << listed;
		SCOPED_TRACE("crash at " + std::to_string(crash_ms));
		play.expect_no_violations();
	}
}

/* Guards against two runs of one task whose starts are both unanswered, and are
 * carried out by the next incarnation of their worker. */
TEST(FlowLate, UnansweredStartsOfTwoRunsDoNotMeet)
{
	for (int64_t back_ms = 12000; back_ms <= 12600; back_ms += 20) {
		Standing play;
		FlowSim &sim = play.sim;

		play.worker().work_ms = 20000;
		sim.order_fault = [&sim](const SimVm *, const std::string &,
				      enum fw_order_kind kind) {
			SimOrderFault fault;

			if (kind == FW_ORDER_START && sim.now_ms < 4000)
				fault.late_ms = 12100 - sim.now_ms;
			return fault;
		};
		sim.submit(JOB_A, {FlowFixture::make_step(1, 1)});
		play.run_until(1500);
		play.worker().keeps_id = true;
		play.worker().crash(sim.now_ms);
		play.worker().back_ms = 3000;
		play.run_until(11900);
		play.worker().crash(sim.now_ms);
		play.worker().back_ms = back_ms;
		play.run_until(40000);
		SCOPED_TRACE("back at " + std::to_string(back_ms));
		play.expect_no_violations();
	}
}

/* Guards against copies of speculative steps whose starts are not sent, though
 * they may run beside a late one. */
TEST(FlowLate, SpeculativeTasksAreStartedBesideALateStart)
{
	Standing play;
	auto step = FlowFixture::make_step(1, 8);

	step.flags |= BD_STEP_SPECULATIVE;
	play.sim.submit(JOB_A, {step});
	play.run_until(1500);
	play.worker().crash(play.sim.now_ms);
	play.worker().back_ms = INT64_MAX;
	play.sim.add_worker("w2");
	while (play.sim.worker_of(play.vm, JOB_A, 0) != "w2" &&
	    play.sim.now_ms < 60000)
		play.run_until(play.sim.now_ms + 1);
	EXPECT_LT(play.sim.now_ms, 12000);
	EXPECT_LT(play.start_after_ms(TASK), 1000);
}

/* Guards against a task whose earlier runs are counted against itself: two of
 * them have an unanswered start at the worker to which it is bound. */
TEST(FlowLate, TasksWithTwoUnansweredRunsRunAgainAtOnce)
{
	Standing play;

	play.sim.submit(JOB_A, {FlowFixture::make_step(1, 8)});
	play.run_until(1500);
	play.worker().keeps_id = true;
	play.worker().crash(play.sim.now_ms);
	play.worker().back_ms = 3000;
	play.run_until(5000);
	play.worker().crash(play.sim.now_ms);
	play.worker().back_ms = 6000;
	play.run_until(6000);
	play.lose_starts = false;
	EXPECT_LT(play.start_after_ms(TASK), 3000);
}

/* Guards against a successor that waits for the leases of a worker that is gone
 * with nobody at its address. */
TEST(FlowLate, SuccessorsDoNotWaitLongForAWorkerWithoutAnEntry)
{
	Standing play;

	play.lose_starts = false;
	play.worker().work_ms = 20000;
	play.sim.submit(JOB_A, {FlowFixture::make_step(1, 8)});
	play.run_until(2000);
	play.worker().crash(play.sim.now_ms);
	play.worker().back_ms = INT64_MAX;
	play.sim.kill(play.vm);
	play.sim.add_worker("w2");
	SimVm *b = play.sim.add_vm("b");
	play.sim.remove_host(b, "w1");
	while (!fw_placer_active(b->placer))
		play.run_until(play.sim.now_ms + 1);
	play.sim.remove_host(b, "w1");
	EXPECT_LT(play.start_after_ms(TASK), 9400);
	play.expect_no_violations();
}
