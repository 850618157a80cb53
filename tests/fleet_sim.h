/*
 * Simulates the VMs of a fleet in one process, with a simulated link, log and
 * clock. C that also compiles as C++, as it is shared by the tests and the
 * benchmark. A run is determined by its seed.
 */
#ifndef CAMPHOR_TESTS_FLEET_SIM_H
#define CAMPHOR_TESTS_FLEET_SIM_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"

#define SIM_VMS_MAX 9
#define SIM_LOG_MAX 4096
/* Offset after about two years of appends, so that positions encode to a
 * realistic size. */
#define SIM_LOG_BASE ((uint64_t)5000000)
#define SIM_TICK_MS 50
#define SIM_UPSTREAMS 100
#define SIM_WALL_MS 1700000000000ll

struct sim_message {
	int64_t at_ms;
	uint32_t to;
	size_t bytes;
	unsigned char *data;
};

struct sim_entry {
	int64_t appended_ms;
	struct rec rec;
	struct st_completion done;
	uint32_t proposer;
};

struct sim;

struct sim_vm {
	struct sim *sim;
	uint32_t index;
	uint64_t incarnation;
	uint64_t sequence;
	struct bd_board *board;
	struct st_state *state;
	struct fl_fleet *fleet;
	bool up;
	int64_t paused_until_ms;
	int64_t log_unreachable_since_ms; /* -1: reachable */
	int64_t confirmed_ms;
	int64_t due_ms;
	uint64_t next_offset;
	uint64_t digest_flip; /* XORed into the reported digest */
	uint32_t rebuilds;
	uint32_t loads[SIM_UPSTREAMS];
	/* Loads reported by the others. */
	uint32_t peer_loads[SIM_VMS_MAX][SIM_UPSTREAMS];
	uint32_t demand;       /* of every account */
	uint32_t demand_swing; /* percent; a new demand is drawn every 2 s */
};

struct sim {
	int64_t now_ms;
	struct cw_rng rng;
	uint32_t vm_count;
	struct sim_vm vms[SIM_VMS_MAX];
	bool link_down[SIM_VMS_MAX][SIM_VMS_MAX];
	uint32_t latency_ms;
	uint32_t jitter_ms;
	uint32_t loss_percent;
	uint32_t log_latency_ms;
	size_t pad_bytes; /* added to every raw entry */
	uint32_t log_count;
	struct sim_entry log[SIM_LOG_MAX];
	uint32_t queued;
	uint32_t queue_max;
	struct sim_message *queue; /* heap ordered by delivery time */
	uint64_t incarnations;
	int (*list)(
	    void *ctx, uint64_t *version, const struct pf_vm_sink *sink);
	int (*result)(void *ctx, uint64_t request_id, uint32_t *http_status,
	    void *buffer, size_t bytes_max, size_t *bytes);
	void (*each_tick)(struct sim *sim, void *ctx);
	void *ctx;
	/* VMs below this index are in another region. */
	uint32_t other_region_vms;
};

static inline void
sim_push(struct sim *sim, const struct sim_message *message)
{
	uint32_t at = sim->queued++;

	if (sim->queued > sim->queue_max) {
		sim->queue_max = sim->queue_max * 2 + 64;
		sim->queue = (struct sim_message *)realloc(
		    sim->queue, sim->queue_max * sizeof(*sim->queue));
	}
	while (at > 0 && sim->queue[(at - 1) / 2].at_ms > message->at_ms) {
		sim->queue[at] = sim->queue[(at - 1) / 2];
		at = (at - 1) / 2;
	}
	sim->queue[at] = *message;
}

static inline struct sim_message
sim_pop(struct sim *sim)
{
	struct sim_message first = sim->queue[0];
	struct sim_message last = sim->queue[--sim->queued];
	uint32_t at = 0;

	for (;;) {
		uint32_t child = at * 2 + 1;

		if (child >= sim->queued)
			break;
		if (child + 1 < sim->queued &&
		    sim->queue[child + 1].at_ms < sim->queue[child].at_ms)
			child++;
		if (sim->queue[child].at_ms >= last.at_ms)
			break;
		sim->queue[at] = sim->queue[child];
		at = child;
	}
	sim->queue[at] = last;
	return first;
}

static inline int
sim_send(void *ctx, const char *address, const void *data, size_t bytes)
{
	struct sim_vm *vm = (struct sim_vm *)ctx;
	struct sim *sim = vm->sim;
	struct sim_message message;

	message.to = (uint32_t)atoi(address + 1);
	if (message.to >= sim->vm_count || !sim->vms[message.to].up)
		return PF_EUNREACHABLE;
	if (sim->link_down[vm->index][message.to] ||
	    cw_rng_below(&sim->rng, 100) < sim->loss_percent)
		return CW_OK;
	message.at_ms = sim->now_ms + sim->latency_ms +
	    cw_rng_below(&sim->rng, sim->jitter_ms + 1);
	message.bytes = bytes;
	message.data = (unsigned char *)malloc(bytes);
	memcpy(message.data, data, bytes);
	sim_push(sim, &message);
	return CW_OK;
}

static inline int
sim_propose(void *ctx, const struct rec *rec, const struct st_completion *done)
{
	struct sim_vm *vm = (struct sim_vm *)ctx;
	struct sim_entry *entry;

	if (vm->log_unreachable_since_ms >= 0 ||
	    vm->sim->log_count == SIM_LOG_MAX)
		return ST_EUNAVAILABLE;
	entry = &vm->sim->log[vm->sim->log_count++];
	entry->appended_ms = vm->sim->now_ms;
	entry->rec = *rec;
	entry->rec.writer = vm->incarnation;
	entry->rec.sequence = ++vm->sequence;
	entry->rec.time_ms = SIM_WALL_MS + vm->sim->now_ms;
	entry->done.call = NULL;
	if (done != NULL)
		entry->done = *done;
	entry->proposer = vm->index;
	return CW_OK;
}

/* Applies a raw entry, which consists of the record's offset and padding. */
static inline int
sim_apply(void *ctx, uint64_t offset, const void *data, size_t bytes)
{
	struct sim_vm *vm = (struct sim_vm *)ctx;
	struct sim_entry *entry = &vm->sim->log[offset];
	uint64_t named;
	int code;

	memcpy(&named, data, sizeof(named));
	if (offset != vm->next_offset || named != offset ||
	    bytes != sizeof(named) + vm->sim->pad_bytes)
		abort();
	code = st_apply(vm->state, &entry->rec,
	    (SIM_LOG_BASE + offset) << REC_POSITION_INDEX_BITS);
	vm->next_offset++;
	if (entry->done.call != NULL && entry->proposer == vm->index &&
	    entry->rec.writer == vm->incarnation)
		entry->done.call(entry->done.ctx, code, offset);
	return CW_OK;
}

static inline void
sim_get_position(void *ctx, uint64_t *position, uint64_t *digest)
{
	struct sim_vm *vm = (struct sim_vm *)ctx;

	*position = st_position(vm->state);
	*digest = st_digest(vm->state) ^ vm->digest_flip;
}

static inline uint64_t
sim_next_offset(void *ctx)
{
	return ((struct sim_vm *)ctx)->next_offset;
}

static inline int64_t
sim_unreachable_since_ms(void *ctx)
{
	int64_t lost_ms = ((struct sim_vm *)ctx)->log_unreachable_since_ms;

	/* INT64_MAX / 2: the log does not answer, but still seems reachable. */
	return lost_ms == INT64_MAX / 2 ? -1 : lost_ms;
}

static inline int64_t
sim_confirmed(void *ctx)
{
	return ((struct sim_vm *)ctx)->confirmed_ms;
}

static inline int
sim_tail(void *ctx, uint64_t from, const struct pf_log_sink *sink)
{
	struct sim_vm *vm = (struct sim_vm *)ctx;
	size_t bytes = sizeof(from) + vm->sim->pad_bytes;
	unsigned char *data = (unsigned char *)calloc(1, bytes);
	int code = CW_OK;

	for (; from < vm->next_offset && code == CW_OK; from++) {
		memcpy(data, &from, sizeof(from));
		code = sink->entry(sink->ctx, from, data, bytes);
	}
	free(data);
	return CW_OK;
}

static inline void
sim_rebuild(void *ctx, uint64_t position)
{
	(void)position;
	((struct sim_vm *)ctx)->rebuilds++;
}

static inline void
sim_loads(void *ctx, void (*each)(void *, uint64_t, uint32_t), void *each_ctx)
{
	struct sim_vm *vm = (struct sim_vm *)ctx;
	uint32_t i;

	for (i = 0; i < SIM_UPSTREAMS; i++)
		each(each_ctx, cw_id_from_pair(7, i), vm->loads[i]);
}

static inline void
sim_set_peer_load(void *ctx, uint64_t member, uint32_t upstream, uint32_t load)
{
	struct sim_vm *vm = (struct sim_vm *)ctx;
	static uint32_t names[SIM_UPSTREAMS];
	uint32_t from = 0;
	uint32_t i;

	for (i = 0; names[SIM_UPSTREAMS - 1] == 0 && i < SIM_UPSTREAMS; i++)
		names[i] = fl_short_id(cw_id_from_pair(7, i));
	while (vm->sim->vms[from].incarnation != member)
		if (++from == vm->sim->vm_count)
			return;
	for (i = 0; i < SIM_UPSTREAMS; i++)
		if (names[i] == upstream)
			vm->peer_loads[from][i] = load;
}

/* Returns the mean difference between the loads of the VMs and the values that
 * the other VMs have stored. */
static inline double
sim_load_error(const struct sim *sim)
{
	uint64_t sum = 0;
	uint32_t i;
	uint32_t j;
	uint32_t k;

	for (i = 0; i < sim->vm_count; i++)
		for (j = 0; j < sim->vm_count; j++)
			for (k = 0; k < SIM_UPSTREAMS && i != j; k++)
				sum += (uint64_t)abs(
				    (int)sim->vms[i].peer_loads[j][k] -
				    (int)sim->vms[j].loads[k]);
	return (double)sum /
	    (sim->vm_count * (sim->vm_count - 1) * SIM_UPSTREAMS);
}

static inline void
sim_demand(void *ctx, uint64_t account, uint32_t *rate, uint32_t *concurrency)
{
	const struct sim_vm *vm = (const struct sim_vm *)ctx;
	uint64_t hash = cw_id_from_pair(
	    account, vm->incarnation + (uint64_t)vm->sim->now_ms / 2000);

	*rate = vm->demand -
	    (uint32_t)(hash % (1 + vm->demand * vm->demand_swing / 100));
	*concurrency = *rate;
}

static inline int64_t
sim_wall(void *ctx)
{
	return SIM_WALL_MS + ((struct sim *)ctx)->now_ms;
}

static inline int
sim_no_list(void *ctx, uint64_t *version, const struct pf_vm_sink *sink)
{
	(void)ctx;
	(void)version;
	(void)sink;
	return PF_EUNREACHABLE;
}

/* Starts a VM with empty tables and a new incarnation; the addresses of all VMs
 * are its seeds. */
static inline void
sim_start(struct sim *sim, uint32_t index)
{
	struct sim_vm *vm = &sim->vms[index];
	struct fl_options options;
	uint32_t i;

	memset(vm, 0, sizeof(*vm));
	memset(&options, 0, sizeof(options));
	vm->sim = sim;
	vm->index = index;
	vm->up = true;
	vm->log_unreachable_since_ms = -1;
	vm->confirmed_ms = sim->now_ms;
	vm->due_ms = sim->now_ms + index * 83;
	vm->incarnation = cw_id_from_pair(++sim->incarnations, 99);
	if (bd_board_create(&vm->board) != CW_OK ||
	    st_create(&vm->state, vm->board) != CW_OK)
		abort();
	options.board = vm->board;
	options.self.id = vm->incarnation;
	options.self.region = index < sim->other_region_vms ? 1 : 0;
	options.started_ms = SIM_WALL_MS + sim->now_ms;
	snprintf(options.self.name, CW_NAME_BYTES, "vm-%u", index);
	snprintf(options.self.peer_address, CW_NAME_BYTES, "@%u", index);
	snprintf(options.self.http_address, CW_NAME_BYTES,
	    "192.168.100.1%u:8080", index);
	options.seed_count = sim->vm_count;
	for (i = 0; i < sim->vm_count; i++)
		snprintf(options.seeds[i], CW_NAME_BYTES, "@%u", i);
	options.sink.propose = sim_propose;
	options.sink.ctx = vm;
	options.transport.send = sim_send;
	options.transport.ctx = vm;
	options.state.get_position = sim_get_position;
	options.state.next_offset = sim_next_offset;
	options.state.unreachable_since_ms = sim_unreachable_since_ms;
	options.state.confirmed_ms = sim_confirmed;
	options.state.read_entries = sim_tail;
	options.state.apply_entry = sim_apply;
	options.state.rebuild = sim_rebuild;
	options.state.ctx = vm;
	options.route.each_load = sim_loads;
	options.route.set_peer_load = sim_set_peer_load;
	options.route.demand = sim_demand;
	options.route.result = sim->result;
	options.route.ctx = vm;
	options.vms.list = sim->list != NULL ? sim->list : sim_no_list;
	options.vms.ctx = sim->ctx;
	options.wall.now_ms = sim_wall;
	options.wall.ctx = sim;
	if (fl_create(&vm->fleet, &options, sim->now_ms) != CW_OK)
		abort();
}

/* Stops a VM without a leave message. */
static inline void
sim_kill(struct sim *sim, uint32_t index)
{
	struct sim_vm *vm = &sim->vms[index];

	if (!vm->up)
		return;
	vm->up = false;
	fl_destroy(vm->fleet);
	st_destroy(vm->state);
	bd_board_destroy(vm->board);
}

static inline struct sim *
sim_create(uint32_t vm_count, uint64_t seed)
{
	struct sim *sim = (struct sim *)calloc(1, sizeof(*sim));
	uint32_t i;

	cw_rng_seed(&sim->rng, seed);
	sim->vm_count = vm_count;
	sim->now_ms = 100000;
	sim->latency_ms = 1;
	sim->log_latency_ms = 20;
	sim->incarnations = seed * 1000;
	for (i = 0; i < vm_count; i++)
		sim_start(sim, i);
	return sim;
}

static inline void
sim_destroy(struct sim *sim)
{
	uint32_t i;

	for (i = 0; i < sim->vm_count; i++)
		sim_kill(sim, i);
	while (sim->queued > 0)
		free(sim_pop(sim).data);
	free(sim->queue);
	free(sim);
}

/* Delivers log entries to a VM that can reach the log. */
static inline void
sim_deliver_log(struct sim *sim, struct sim_vm *vm)
{
	if (vm->log_unreachable_since_ms >= 0)
		return;
	vm->confirmed_ms = sim->now_ms - sim->log_latency_ms;
	while (vm->next_offset < sim->log_count &&
	    sim->log[vm->next_offset].appended_ms + sim->log_latency_ms <=
		sim->now_ms) {
		size_t bytes = sizeof(uint64_t) + sim->pad_bytes;
		unsigned char *data = (unsigned char *)calloc(1, bytes);

		memcpy(data, &vm->next_offset, sizeof(uint64_t));
		sim_apply(vm, vm->next_offset, data, bytes);
		free(data);
	}
}

static inline void
sim_deliver_messages(struct sim *sim)
{
	while (sim->queued > 0 && sim->queue[0].at_ms <= sim->now_ms) {
		struct sim_message message = sim_pop(sim);
		struct sim_vm *vm = &sim->vms[message.to];

		if (vm->up && vm->paused_until_ms > sim->now_ms) {
			message.at_ms = vm->paused_until_ms;
			sim_push(sim, &message);
			continue;
		}
		if (vm->up)
			fl_receive(vm->fleet, message.data, message.bytes,
			    sim->now_ms);
		free(message.data);
	}
}

/* Advances the simulation by a time in ms, in steps of 1 ms. */
static inline void
sim_run(struct sim *sim, int64_t ms)
{
	int64_t end_ms = sim->now_ms + ms;
	uint32_t i;

	for (; sim->now_ms < end_ms; sim->now_ms++) {
		bool tick = sim->now_ms % SIM_TICK_MS == 0;

		sim_deliver_messages(sim);
		for (i = 0; i < sim->vm_count; i++) {
			struct sim_vm *vm = &sim->vms[i];

			if (!vm->up || vm->paused_until_ms > sim->now_ms)
				continue;
			if (tick)
				sim_deliver_log(sim, vm);
			if (vm->due_ms <= sim->now_ms)
				vm->due_ms = fl_step(vm->fleet, sim->now_ms);
		}
		if (tick && sim->each_tick != NULL)
			sim->each_tick(sim, sim->ctx);
	}
}

/* Returns the state of a member in the table of a VM, -1 where it has none. */
static inline int
sim_member_state(struct sim *sim, uint32_t who, uint64_t incarnation)
{
	const struct bd_member *member;
	int state;

	bd_read_begin();
	member = bd_member_lookup(sim->vms[who].board, incarnation);
	state = member == NULL ? -1 : (int)member->state;
	bd_read_end();
	return state;
}

/* Returns the holder of a duty in the table of a VM, 0 where it has none. */
static inline uint64_t
sim_holder(struct sim *sim, uint32_t who, uint64_t duty)
{
	const struct bd_duty *row;
	uint64_t owner;

	bd_read_begin();
	row = bd_duty_lookup(sim->vms[who].board, duty);
	owner = row == NULL ? 0 : row->owner;
	bd_read_end();
	return owner;
}

/* Writes accounts to the tables of every VM, with limit as rate and
 * concurrency. */
static inline void
sim_put_accounts(struct sim *sim, uint32_t accounts, uint32_t limit)
{
	uint32_t i;
	uint32_t j;

	for (i = 0; i < sim->vm_count; i++) {
		struct bd_config config;

		memset(&config, 0, sizeof(config));
		/* About 290 changes a day for two years. */
		config.version = 200000;
		config.entry_vms = sim->vm_count;
		config.request_keep_ms = 86400000;
		bd_put(sim->vms[i].board, BD_TABLE_config, BD_WRITER_STATE,
		    BD_CONFIG_ID, &config, sizeof(config), NULL);
		for (j = 0; j < accounts; j++) {
			struct bd_account account;

			memset(&account, 0, sizeof(account));
			account.id = cw_id_from_pair(5, j);
			account.rate_per_s = limit;
			account.concurrency = limit;
			bd_put(sim->vms[i].board, BD_TABLE_account,
			    BD_WRITER_STATE, account.id, &account,
			    sizeof(account), NULL);
		}
	}
}

#endif
