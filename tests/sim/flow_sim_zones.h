#ifndef CAMPHOR_TESTS_FLOW_SIM_ZONES_H
#define CAMPHOR_TESTS_FLOW_SIM_ZONES_H

/* Evacuations of zones. Included by flow_sim.h only. */

inline int
FlowSim::on_zone(void *ctx, const struct fw_record *record, int64_t now_ms)
{
	return fw_evacuation_apply(&((SimVm *)ctx)->evacuations, record->key,
	    record->offset, record->value != nullptr, now_ms);
}

/* Lets a VM follow the evacuations, as platform/system.c does. */
inline void
FlowSim::follow_zones(SimVm *vm, const struct fw_store &store)
{
	struct fw_follow_spec spec = {};

	fw_evacuations_init(&vm->evacuations, vm->fixture.board);
	spec.topic = FW_TOPIC_CONFIG;
	spec.newest_suffices = true;
	spec.read_interval_ms = 50;
	spec.wait_ms = 1000;
	spec.first = [](void *ctx) {
		fw_evacuations_load_begin(&((SimVm *)ctx)->evacuations);
	};
	spec.record = on_zone;
	spec.last = [](void *ctx) {
		fw_evacuations_load_end(&((SimVm *)ctx)->evacuations);
	};
	spec.ctx = vm;
	fw_follower_start(&vm->config, vm->fixture.board, &store, &spec);
}

/* The store acknowledges an operator's request for a zone. */
inline void
FlowSim::evacuate(const std::string &zone, const std::string &value)
{
	uint64_t end;

	config_log.append({{zone, value}}, 0, 0, &end);
	zones.request(zone, now_ms);
}

inline void
FlowSim::withdraw(const std::string &zone)
{
	uint64_t end;

	config_log.append({{zone, ""}}, 0, 0, &end);
	zones.withdraw(zone);
}

#endif
