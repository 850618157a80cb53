#ifndef CAMPHOR_TESTS_ZONE_TESTS_H
#define CAMPHOR_TESTS_ZONE_TESTS_H

#include "flow_placer_tests.h"

/* Three zones of two workers each, and short jobs all the time. */
struct Zones {
	static constexpr int64_t JOB_GAP_MS = 240;

	FlowSim sim;
	SimVm *a;
	SimVm *b;
	int jobs = 0;
	int64_t next_job_ms = 0;

	Zones()
	{
		sim.zones.bound_ms = 5000;
		for (int i = 0; i < 6; i++) {
			SimWorker &worker =
			    sim.add_worker("w" + std::to_string(i));

			worker.zone = "z" + std::to_string(i / 2);
			worker.work_ms = 300;
		}
		a = sim.add_vm("a");
		b = sim.add_vm("b");
		for (SimVm *vm : {a, b})
			for (auto &worker : sim.workers)
				sim.update_host(vm, worker.second);
		run(3000);
		EXPECT_TRUE(
		    fw_placer_active(a->placer) || fw_placer_active(b->placer));
	}

	static std::string
	name_of(int job)
	{
		char name[24];

		snprintf(name, sizeof(name), "%016x", job + 0xa000);
		return name;
	}

	SimVm *
	placer()
	{
		return fw_placer_active(a->placer) ? a : b;
	}

	SimVm *
	other()
	{
		return placer() == a ? b : a;
	}

	/* Runs while jobs come in. */
	void
	run(int64_t ms)
	{
		int64_t end_ms = sim.now_ms + ms;

		while (sim.now_ms < end_ms) {
			if (sim.now_ms >= next_job_ms) {
				sim.submit(name_of(jobs++).c_str(),
				    {FlowFixture::make_step(4, 8)});
				next_job_ms = sim.now_ms + JOB_GAP_MS;
			}
			sim.run_for(20);
			sim.advance_workers();
		}
	}

	/* Runs until all jobs are done, or for a minute. */
	void
	finish()
	{
		int64_t end_ms = sim.now_ms + 60000;

		while (sim.now_ms < end_ms && unfinished() > 0)
			sim.run_for(100);
		EXPECT_EQ(0, unfinished());
	}

	int
	unfinished()
	{
		SimVm *vm = a->alive ? a : b;
		int count = 0;

		for (int i = 0; i < jobs; i++) {
			bd_read_begin();
			const struct bd_flow *flow =
			    vm->fixture.find_flow(name_of(i).c_str());
			count += flow == nullptr ||
			    fw_flow_public_state(flow) != BD_FLOW_COMPLETED;
			bd_read_end();
		}
		return count;
	}

	size_t
	running_in(const std::string &zone)
	{
		size_t count = 0;

		for (const auto &worker : sim.workers)
			if (worker.second.zone == zone)
				count += worker.second.runs.size();
		return count;
	}

	bool
	held_by(SimVm *vm, const std::string &zone)
	{
		return fw_zone_evacuated(
		    vm->fixture.board, cw_id_from_name(zone.c_str()));
	}

	/* Returns the starts in a zone during a time. */
	int
	starts_in(const std::string &zone, int64_t ms)
	{
		int starts = 0;

		sim.run_checker.observer = [&](const char *what,
					       const std::string &, uint32_t,
					       const void *worker) {
			starts += strcmp(what, "start") == 0 &&
			    ((const SimWorker *)worker)->zone == zone;
		};
		run(ms);
		sim.run_checker.observer = nullptr;
		return starts;
	}

	void
	expect_kept()
	{
		for (const std::string &late : sim.zones.late_starts)
			ADD_FAILURE() << late;
		expect_no_violations(sim);
	}
};

#endif
