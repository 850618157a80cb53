#ifndef CAMPHOR_BENCH_ROUTE_H
#define CAMPHOR_BENCH_ROUTE_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config.h"
#include "route.h"
#include "state.h"

/* One entry VM: published state, replicated state and router with one service
 * and one account. */
struct bench_vm {
	struct bd_board *board;
	struct st_state *state;
	struct rt_router *route;
	uint64_t self;
	uint64_t service;
	uint64_t account;
};

static inline void
bench_put(struct bench_vm *vm, enum bd_table_number table, uint64_t id,
    const void *row, size_t bytes)
{
	if (bd_put(vm->board, table, BD_WRITER_STATE, id, row, bytes, NULL) !=
	    CW_OK)
		abort();
}

static inline void
bench_upstream_add(struct bench_vm *vm, const char *address, uint32_t slots)
{
	struct bd_runner row = {0};

	row.id = cw_id_from_pair(vm->service, cw_id_from_name(address));
	row.service = vm->service;
	row.zone = row.region = 1;
	snprintf(row.address, sizeof(row.address), "%s", address);
	row.slots = slots;
	row.connections = 64;
	bench_put(vm, BD_TABLE_runner, row.id, &row, sizeof(row));
}

static inline void
bench_vm_step(struct bench_vm *vm, int64_t now_ms)
{
	rt_health_step(vm->route, now_ms);
	rt_answer_step(vm->route, now_ms);
	rt_index_step(vm->route, now_ms);
}

static inline void
bench_vm_create(struct bench_vm *vm, uint64_t self, const char *key)
{
	struct rt_settings settings;
	struct bd_config config = {0};
	struct bd_service service = {0};
	struct bd_account account = {0};

	memset(vm, 0, sizeof(*vm));
	vm->self = self;
	rt_settings_default(&settings);
	settings.self = self;
	settings.zone = settings.region = 1;
	if (bd_board_create(&vm->board) != CW_OK ||
	    st_create(&vm->state, vm->board) != CW_OK ||
	    rt_create(&vm->route, vm->board, &settings) != CW_OK)
		abort();
	config.version = config.entry_vms = 1;
	bench_put(vm, BD_TABLE_config, BD_CONFIG_ID, &config, sizeof(config));
	account.id = vm->account = cw_id_from_name("bench");
	strcpy(account.name, "bench");
	cfg_key_hash(account.key_salt, key, account.key_hash);
	bench_put(vm, BD_TABLE_account, account.id, &account, sizeof(account));
	service.id = vm->service = cw_id_from_name("bench");
	strcpy(service.name, "bench");
	service.class_default = BD_CLASS_NORMAL;
	service.timeout_ms = 10000;
	service.body_max_bytes = service.answer_max_bytes = 65536;
	service.attempts_max = 3;
	service.account_count = 1;
	service.accounts[0] = account.id;
	bench_put(vm, BD_TABLE_service, service.id, &service, sizeof(service));
}

static inline void
bench_vm_destroy(struct bench_vm *vm)
{
	rt_destroy(vm->route);
	st_destroy(vm->state);
	bd_board_destroy(vm->board);
}

#endif
