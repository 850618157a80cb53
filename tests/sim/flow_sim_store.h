#ifndef CAMPHOR_TESTS_FLOW_SIM_STORE_H
#define CAMPHOR_TESTS_FLOW_SIM_STORE_H

/* Calls to the simulated store. Included by flow_sim.h only. */

inline int
FlowSim::append(void *ctx, const struct fw_append *call)
{
	SimVm *vm = (SimVm *)ctx;
	FlowSim *sim = vm->sim;
	struct fw_append copy = *call;
	std::vector<SimRecord> records;
	size_t total = 0;
	bool too_large = false;

	for (size_t i = 0; i < call->count; i++) {
		size_t bytes = 1 + strlen(call->records[i].key) +
		    call->records[i].value_bytes;

		records.push_back({call->records[i].key,
		    std::string((const char *)call->records[i].value,
			call->records[i].value_bytes)});
		too_large |= bytes > sim->record_bytes;
		total += 4 + bytes;
	}
	too_large |= total > sim->request_bytes;
	sim->refused_appends += too_large;
	copy.records = nullptr;
	sim->schedule(
	    sim->store_latency_ms, [sim, vm, copy, records, too_large] {
		    enum fw_result result = FW_RESULT_DONE;
		    uint64_t end = 0;

		    if (sim->store_down || vm->store_unreachable)
			    result = FW_RESULT_UNKNOWN;
		    else if (too_large)
			    result = FW_RESULT_NOT_DONE;
		    else if (sim->topic_log(copy.topic)
				 .append(records, copy.term,
				     (int64_t)copy.sequence, &end) != 200)
			    result = FW_RESULT_FENCED;
		    else if (sim->drop_append_answers)
			    result = FW_RESULT_UNKNOWN;
		    sim->schedule(
			result == FW_RESULT_UNKNOWN ? copy.timeout_ms : 0,
			[copy, result, end] {
				copy.done(copy.ctx, result, end);
			});
	    });
	return CW_OK;
}

/* Answers a read of the past of the workers' entries. */
inline void
FlowSim::read_entries(const struct fw_read &call, int64_t sent_ms)
{
	write_heartbeats();
	for (uint64_t i = call.from; i < entry_log.size(); i++) {
		struct fw_record record = {};

		strcpy(record.key, entry_log[i].key.c_str());
		record.offset = i;
		record.read_ms = now_ms + suspended_ms;
		if (!entry_log[i].removal) {
			record.value = &entry_log[i].host;
			record.value_bytes = sizeof(entry_log[i].host);
		}
		call.record(call.ctx, &record);
	}
	call.done(
	    call.ctx, FW_RESULT_DONE, false, entry_log.size(), sent_ms, now_ms);
}

inline void
FlowSim::complete_read(
    SimVm *vm, struct fw_read call, int64_t sent_ms, int64_t until_ms)
{
	if (store_down || vm->store_unreachable ||
	    (vm->jobs_unreadable && call.topic == FW_TOPIC_JOBS) ||
	    (vm->config_unreadable && call.topic == FW_TOPIC_CONFIG)) {
		schedule(READ_TIMEOUT_MS, [this, call, sent_ms] {
			call.done(call.ctx, FW_RESULT_UNKNOWN, false, 0,
			    sent_ms, now_ms);
		});
		return;
	}
	SimLog &source = topic_log(call.topic);

	if (call.topic == FW_TOPIC_WORKERS && call.ctx != vm->hosts) {
		read_entries(call, sent_ms);
		return;
	}
	if (call.topic == FW_TOPIC_WORKERS) {
		schedule(call.newest ? 0 : call.wait_ms, [this, call, sent_ms] {
			call.done(call.ctx, FW_RESULT_DONE, false, 0, sent_ms,
			    now_ms);
		});
		return;
	}
	if (call.end_only) {
		call.done(call.ctx, FW_RESULT_DONE, false, source.end(),
		    sent_ms, now_ms);
		return;
	}
	if (!call.newest && call.from < source.first) {
		call.done(call.ctx, FW_RESULT_EXPIRED, false, source.end(),
		    sent_ms, now_ms);
		return;
	}
	if (!call.newest && source.end() <= call.from && now_ms < until_ms) {
		schedule(reads_ignore_appends ? until_ms - now_ms : 1,
		    [this, vm, call, sent_ms, until_ms] {
			    complete_read(vm, call, sent_ms, until_ms);
		    });
		return;
	}
	auto deliver = [this, &call](uint64_t offset, const std::string &key,
			   const std::string &value) {
		struct fw_record record = {};

		strcpy(record.key, key.c_str());
		record.value = value.empty() ? nullptr : value.data();
		record.value_bytes = value.size();
		record.offset = offset;
		record.read_ms = now_ms + suspended_ms;
		call.record(call.ctx, &record);
	};
	if (call.newest)
		for (const auto &entry : source.newest())
			deliver(entry.second.first, entry.first,
			    entry.second.second);
	else
		for (uint64_t i = call.from; i < source.end(); i++)
			deliver(i, source.records[i - source.first].key,
			    source.records[i - source.first].value);
	call.done(
	    call.ctx, FW_RESULT_DONE, false, source.end(), sent_ms, now_ms);
}

inline int
FlowSim::read(void *ctx, const struct fw_read *call)
{
	SimVm *vm = (SimVm *)ctx;
	FlowSim *sim = vm->sim;
	struct fw_read copy = *call;
	int64_t sent_ms = sim->now_ms;

	sim->progress_reads[vm->name] += call->topic == FW_TOPIC_PROGRESS;
	sim->schedule(sim->store_latency_ms, [sim, vm, copy, sent_ms] {
		sim->complete_read(vm, copy, sent_ms, sent_ms + copy.wait_ms);
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
	sim->schedule(sim->store_latency_ms, [sim, vm, copy, sent_ms] {
		bool holds = false;
		enum fw_result result = FW_RESULT_DONE;

		if (sim->store_down || vm->store_unreachable)
			result = FW_RESULT_UNKNOWN;
		else if (copy.query_only) {
			sim->group.expire(sim->now_ms);
			holds = !sim->group.owner.empty() &&
			    sim->group.owner != vm->name;
		} else if (copy.leave)
			sim->group.leave(vm->name);
		else
			holds =
			    sim->group.join(vm->name, copy.ttl_ms, sim->now_ms);
		copy.done(copy.ctx, result, sim->group.generation, holds,
		    sent_ms, sim->now_ms);
	});
	return CW_OK;
}

inline int
FlowSim::after(void *ctx, uint32_t delay_ms,
    void (*run)(void *ctx, int64_t now_ms), void *run_ctx)
{
	SimVm *vm = (SimVm *)ctx;
	FlowSim *sim = vm->sim;

	sim->schedule(delay_ms, [sim, vm, run, run_ctx] {
		if (vm->alive)
			run(run_ctx, sim->now_ms);
	});
	return CW_OK;
}

#endif
