#ifndef CAMPHOR_TESTS_FLOW_SIM_H
#define CAMPHOR_TESTS_FLOW_SIM_H

#include <functional>
#include <memory>

#include "../flow_world.h"
#include "platform_sim.h"

/*
 * Placers of several VMs against the simulated platform, in one thread and in
 * simulated time.
 */
struct FlowSim;

/* One VM with its own board. */
struct SimVm {
	FlowSim *sim = nullptr;
	std::string name;
	FlowWorld world;
	struct fw_follower *jobs = nullptr;
	struct fw_follower *progress = nullptr;
	struct fw_follower *hosts = nullptr;
	struct fw_seen seen_progress = {};
	struct fw_duty *duty = nullptr;
	struct fw_placer *placer = nullptr;
	bool alive = true;
	bool cut_store = false;
	bool frozen = false;
	uint64_t seen = 0;
	int64_t due_ms = 0;
};

struct FlowSim {
	std::multimap<int64_t, std::function<void()>> events;
	int64_t now_ms = 1000;
	SimLog log; /* of jobs */
	SimLog progress;
	std::map<std::string, int> reads; /* of progress, by VM */
	SimGroup group;
	SimJudge judge;
	std::map<std::string, SimWorker> workers;
	std::set<std::string> cut_workers;
	std::set<std::string> gone_workers; /* nothing listens there */
	std::map<std::string, int> orders;  /* sent to each worker */
	std::vector<std::unique_ptr<SimVm>> vms;
	int64_t store_ms = 4;
	bool store_down = false;
	bool lose_answers = false;  /* of appends */
	bool never_wake = false;    /* waiting reads sleep through appends */
	int64_t late_orders_ms = 0; /* answer none, carry out so much later */

	~FlowSim()
	{
		for (auto &vm : vms)
			close(vm.get());
	}

	void
	at(int64_t delay_ms, std::function<void()> run)
	{
		events.emplace(now_ms + delay_ms, run);
	}

	SimWorker &
	worker(const std::string &id)
	{
		SimWorker &row = workers[id];

		row.id = id;
		row.judge = &judge;
		row.start_ms = 0;
		for (auto &vm : vms)
			list(vm.get(), row);
		return row;
	}

	void
	list(SimVm *vm, const SimWorker &row)
	{
		struct bd_host host;
		uint64_t id = vm->world.host(row.id, row.rack, row.accels);

		bd_read_begin();
		host = *bd_host_lookup(vm->world.board, id);
		bd_read_end();
		strcpy(host.address, row.id.c_str());
		host.born_ms = row.born_ms;
		host.clock_ms = row.clock(now_ms);
		host.heard_ms = now_ms;
		bd_put(vm->world.board, BD_TABLE_host, BD_WRITER_FLOW, id,
		    &host, sizeof(host), nullptr);
	}

	SimLog &
	topic(enum fw_topic name)
	{
		return name == FW_TOPIC_PROGRESS ? progress : log;
	}

	/* The store's entry of a worker says that it is leaving. */
	void
	leaving(SimVm *vm, const std::string &id, uint32_t notice_ms = 3000)
	{
		struct bd_host host;
		uint64_t row = cw_id_from_name(id.c_str());

		bd_read_begin();
		host = *bd_host_lookup(vm->world.board, row);
		bd_read_end();
		host.leaving = 1;
		host.notice_ms = notice_ms;
		host.heard_ms = now_ms;
		bd_put(vm->world.board, BD_TABLE_host, BD_WRITER_FLOW, row,
		    &host, sizeof(host), nullptr);
	}

	/* The store's entry of a worker is gone. */
	void
	unlist(SimVm *vm, const std::string &id)
	{
		bd_remove(vm->world.board, BD_TABLE_host, BD_WRITER_FLOW,
		    cw_id_from_name(id.c_str()));
	}

	/* The store's side of a VM's calls. */
	static int append(void *ctx, const struct fw_append *call);
	static int read(void *ctx, const struct fw_read *call);
	static int join(void *ctx, const struct fw_join *call);
	static int after(void *ctx, uint32_t delay_ms,
	    void (*run)(void *ctx, int64_t now_ms), void *run_ctx);
	static int order(void *ctx, const struct fw_order *call);
	void answer_read(
	    SimVm *vm, struct fw_read call, int64_t sent_ms, int64_t until_ms);
	void carry_out(const struct fw_order &call, const std::string &text,
	    struct fw_report *report, std::vector<struct fw_listed_run> *runs,
	    std::vector<struct fw_listed_end> *ends);

	static void
	on_record(void *ctx, const struct fw_record *record, int64_t)
	{
		fw_apply(((SimVm *)ctx)->world.board, record);
	}

	static void
	progress_first(void *ctx)
	{
		fw_seen_begin(&((SimVm *)ctx)->seen_progress);
	}

	static void
	on_progress(void *ctx, const struct fw_record *record, int64_t now_ms)
	{
		uint64_t id;

		fw_flow_id(record->key + 2, &id);
		fw_seen_add(&((SimVm *)ctx)->seen_progress, id);
		on_record(ctx, record, now_ms);
	}

	static void
	progress_last(void *ctx)
	{
		SimVm *vm = (SimVm *)ctx;

		fw_seen_end(&vm->seen_progress);
		fw_progress_forget(vm->world.board, &vm->seen_progress);
	}

	static void
	on_host(void *, const struct fw_record *, int64_t)
	{
	}

	static int64_t
	wall(void *ctx)
	{
		return ((FlowSim *)ctx)->now_ms;
	}

	SimVm *
	vm(const std::string &name, bool yields = false)
	{
		struct fw_follow_spec spec = {};
		struct fw_placer_parts parts = {};
		SimVm *row;

		vms.push_back(std::make_unique<SimVm>());
		row = vms.back().get();
		row->sim = this;
		row->name = name;
		parts.store = {append, read, join, after, row};
		parts.workers = {order, row};
		parts.board = row->world.board;
		parts.settings = row->world.settings;
		parts.settings.yields = yields;
		parts.wall_ms = wall;
		parts.ctx = this;
		spec.topic = FW_TOPIC_JOBS;
		spec.wait_ms = 500;
		spec.record = on_record;
		spec.ctx = row;
		fw_follower_start(
		    &row->jobs, row->world.board, &parts.store, &spec);
		spec.topic = FW_TOPIC_PROGRESS;
		spec.paused = true;
		spec.first = progress_first;
		spec.record = on_progress;
		spec.last = progress_last;
		fw_follower_start(
		    &row->progress, row->world.board, &parts.store, &spec);
		spec.first = spec.last = nullptr;
		spec.topic = FW_TOPIC_WORKERS;
		spec.record = on_host;
		fw_follower_start(
		    &row->hosts, row->world.board, &parts.store, &spec);
		fw_duty_start(&row->duty, row->world.board, &parts.store,
		    &parts.settings);
		parts.jobs = row->jobs;
		parts.progress = row->progress;
		parts.hosts = row->hosts;
		parts.duty = row->duty;
		fw_placer_create(&row->placer, &parts);
		for (auto &entry : workers)
			list(row, entry.second);
		return row;
	}

	/* The end of a process: what it has sent goes on. */
	void
	kill(SimVm *row)
	{
		row->alive = false;
	}

	void
	close(SimVm *row)
	{
		fw_follower_stop(row->jobs);
		fw_follower_stop(row->progress);
		fw_follower_stop(row->hosts);
		row->alive = false;
		run(20000);
		fw_placer_free(row->placer);
		fw_duty_free(row->duty);
		fw_follower_free(row->jobs);
		fw_follower_free(row->progress);
		fw_seen_free(&row->seen_progress);
		fw_follower_free(row->hosts);
	}

	void
	step()
	{
		for (auto &row : vms) {
			if (!row->alive || row->frozen)
				continue;
			while (row->seen != bd_version(row->world.board) ||
			    row->due_ms <= now_ms) {
				row->seen = bd_version(row->world.board);
				row->due_ms =
				    fw_placer_step(row->placer, now_ms);
			}
		}
	}

	/* Lets simulated time pass. */
	void
	run(int64_t for_ms)
	{
		int64_t end_ms = now_ms + for_ms;

		step();
		while (now_ms < end_ms) {
			int64_t next_ms = end_ms;

			if (!events.empty())
				next_ms =
				    std::min(next_ms, events.begin()->first);
			for (auto &row : vms)
				if (row->alive && !row->frozen)
					next_ms =
					    std::min(next_ms, row->due_ms);
			now_ms = std::max(now_ms, next_ms);
			while (!events.empty() &&
			    events.begin()->first <= now_ms) {
				auto first = events.begin();
				std::function<void()> event = first->second;

				events.erase(first);
				event();
			}
			step();
		}
	}

	/* Stores a job as any VM does that accepts it. */
	void
	submit(const char *name, const std::vector<struct bd_flow_step> &steps,
	    uint32_t priority = 1)
	{
		FlowWorld scratch;
		struct fw_spec spec = {};
		struct bd_flow *flow;
		size_t bytes;
		void *value;
		uint64_t end;
		char key[FW_KEY_BYTES];

		scratch.queue.priority = priority;
		spec.name = name;
		spec.queue = &scratch.queue;
		spec.accepted_ms = now_ms;
		spec.occurrences = 1;
		spec.steps = steps.data();
		spec.step_count = (uint32_t)steps.size();
		spec.text = "t";
		spec.text_bytes = 1;
		fw_flow_build(&spec, &flow, &bytes);
		fw_job_encode(flow, &value, &bytes);
		fw_record_key(key, FW_RECORD_JOB, name);
		log.append({{key, std::string((const char *)value, bytes)}}, 0,
		    0, &end);
		free(value);
		free(flow);
	}

	void
	cancel(const char *name)
	{
		char key[FW_KEY_BYTES];
		uint64_t end;

		fw_record_key(key, FW_RECORD_CANCEL, name);
		log.append({{key, "1"}}, 0, 0, &end);
	}

	uint32_t
	state(SimVm *row, const char *name)
	{
		uint32_t value;

		bd_read_begin();
		value = fw_flow_shown(row->world.flow(name));
		bd_read_end();
		return value;
	}

	size_t
	open_ends() const
	{
		size_t count = 0;

		for (const auto &entry : workers)
			count += entry.second.ends.size();
		return count;
	}
};

inline int
FlowSim::append(void *ctx, const struct fw_append *call)
{
	SimVm *vm = (SimVm *)ctx;
	FlowSim *sim = vm->sim;
	struct fw_append copy = *call;
	std::vector<SimRecord> records;

	for (size_t i = 0; i < call->count; i++)
		records.push_back({call->records[i].key,
		    std::string((const char *)call->records[i].value,
			call->records[i].value_bytes)});
	copy.records = nullptr;
	sim->at(sim->store_ms, [sim, vm, copy, records] {
		enum fw_fate fate = FW_FATE_DONE;
		uint64_t end = 0;

		if (sim->store_down || vm->cut_store)
			fate = FW_FATE_UNKNOWN;
		else if (sim->topic(copy.topic)
			     .append(records, copy.term, (int64_t)copy.sequence,
				 &end) != 200)
			fate = FW_FATE_FENCED;
		else if (sim->lose_answers)
			fate = FW_FATE_UNKNOWN;
		sim->at(fate == FW_FATE_UNKNOWN ? copy.timeout_ms : 0,
		    [copy, fate, end] {
			    copy.done(copy.ctx, fate, end);
		    });
	});
	return CW_OK;
}

inline void
FlowSim::answer_read(
    SimVm *vm, struct fw_read call, int64_t sent_ms, int64_t until_ms)
{
	if (store_down || vm->cut_store) {
		at(1200, [this, call, sent_ms] {
			call.done(call.ctx, FW_FATE_UNKNOWN, false, 0, sent_ms,
			    now_ms);
		});
		return;
	}
	SimLog &source = topic(call.topic);

	if (call.topic == FW_TOPIC_WORKERS) {
		at(call.newest ? 0 : call.wait_ms, [this, call, sent_ms] {
			call.done(
			    call.ctx, FW_FATE_DONE, false, 0, sent_ms, now_ms);
		});
		return;
	}
	if (!call.newest && source.end() <= call.from && now_ms < until_ms) {
		at(never_wake ? until_ms - now_ms : 1,
		    [this, vm, call, sent_ms, until_ms] {
			    answer_read(vm, call, sent_ms, until_ms);
		    });
		return;
	}
	auto give = [&call](uint64_t offset, const std::string &key,
			const std::string &value) {
		struct fw_record record = {};

		strcpy(record.key, key.c_str());
		record.value = value.empty() ? nullptr : value.data();
		record.value_bytes = value.size();
		record.offset = offset;
		call.record(call.ctx, &record);
	};
	if (call.newest)
		for (const auto &entry : source.newest())
			give(entry.second.first, entry.first,
			    entry.second.second);
	else
		for (uint64_t i = call.from; i < source.end(); i++)
			give(i, source.records[i].key, source.records[i].value);
	call.done(call.ctx, FW_FATE_DONE, false, source.end(), sent_ms, now_ms);
}

inline int
FlowSim::read(void *ctx, const struct fw_read *call)
{
	SimVm *vm = (SimVm *)ctx;
	FlowSim *sim = vm->sim;
	struct fw_read copy = *call;
	int64_t sent_ms = sim->now_ms;

	sim->reads[vm->name] += call->topic == FW_TOPIC_PROGRESS;
	sim->at(sim->store_ms, [sim, vm, copy, sent_ms] {
		sim->answer_read(vm, copy, sent_ms, sent_ms + copy.wait_ms);
	});
	return CW_OK;
}

inline int
FlowSim::join(void *ctx, const struct fw_join *call)
{
	SimVm *vm = (SimVm *)ctx;
	FlowSim *sim = vm->sim;
	struct fw_join copy = *call;
	int64_t sent_ms = sim->now_ms;

	if (!vm->alive)
		return CW_OK;
	sim->at(sim->store_ms, [sim, vm, copy, sent_ms] {
		bool holds = false;
		enum fw_fate fate = FW_FATE_DONE;

		if (sim->store_down || vm->cut_store)
			fate = FW_FATE_UNKNOWN;
		else if (copy.look) {
			sim->group.expire(sim->now_ms);
			holds = !sim->group.owner.empty();
		} else if (copy.leave)
			sim->group.leave(vm->name);
		else
			holds =
			    sim->group.join(vm->name, copy.ttl_ms, sim->now_ms);
		copy.done(copy.ctx, fate, sim->group.generation, holds, sent_ms,
		    sim->now_ms);
	});
	return CW_OK;
}

inline int
FlowSim::after(void *ctx, uint32_t delay_ms,
    void (*run)(void *ctx, int64_t now_ms), void *run_ctx)
{
	SimVm *vm = (SimVm *)ctx;
	FlowSim *sim = vm->sim;

	sim->at(delay_ms, [sim, vm, run, run_ctx] {
		if (vm->alive)
			run(run_ctx, sim->now_ms);
	});
	return CW_OK;
}

#include "flow_sim_orders.h"

#endif
