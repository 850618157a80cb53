#include <assert.h>
#include <string.h>

#include "fleet_internal.h"

#define FL_TARGETS_MAX (FL_MEMBERS_MAX * 3)

/* The destinations of heartbeats, without duplicates. */
struct targets {
	uint32_t count;
	struct {
		const char *address;
		bool has_heard_self;
	} list[FL_TARGETS_MAX];
};

static bool is_other_region(const struct fl_fleet *fleet, const char *address);
static void add_target(struct targets *targets, const struct fl_fleet *fleet,
    const char *address, bool has_heard_self);
static void collect_targets(struct fl_fleet *fleet, struct targets *targets);
static void fill_heartbeat(struct fl_fleet *fleet, int64_t now_ms);

/* Returns whether the member at an address is in another region; false for an
 * unknown address. */
static bool
is_other_region(const struct fl_fleet *fleet, const char *address)
{
	uint32_t i;

	for (i = 0; i < fleet->members.count; i++) {
		const struct fl_peer *peer = &fleet->members.peers[i];

		if (!peer->ended &&
		    strcmp(peer->row.peer_address, address) == 0)
			return peer->row.region != fleet->members.self.region;
	}
	return false;
}

/* Sends the first bytes of fleet->frame and counts them by message kind.
 * Returns CW_OK or FL_EUNREACHABLE. */
int
fl_send_frame(
    struct fl_fleet *fleet, const char *address, uint32_t kind, size_t bytes)
{
	int code = fleet->options.transport.send(
	    fleet->options.transport.ctx, address, fleet->frame, bytes);

	if (cw_is_error(code)) {
		fleet->traffic.send_failures++;
		return FL_EUNREACHABLE;
	}
	fleet->traffic.sent_messages[kind]++;
	fleet->traffic.sent_bytes[kind] += bytes;
	if (is_other_region(fleet, address))
		fleet->traffic.cross_region_bytes[kind] += bytes;
	return CW_OK;
}

/* Encodes fleet->outgoing with this VM as its sender and sends it. Returns
 * CW_OK, FL_EBUFFER or FL_EUNREACHABLE. */
int
fl_send(struct fl_fleet *fleet, const char *address)
{
	size_t bytes = 0;
	int code;

	fleet->outgoing.sender = fleet->members.self.id;
	code = fl_msg_encode(
	    &fleet->outgoing, fleet->frame, sizeof(fleet->frame), &bytes);
	if (cw_is_error(code))
		return code;
	return fl_send_frame(fleet, address, fleet->outgoing.kind, bytes);
}

/* Sends fleet->outgoing to a member. Returns FL_ENOTFOUND where it is unknown
 * or its process has ended, or the status of fl_send. */
int
fl_send_member(struct fl_fleet *fleet, uint64_t member)
{
	const struct fl_peer *peer = fl_members_find(&fleet->members, member);

	if (peer == NULL || peer->ended)
		return FL_ENOTFOUND;
	return fl_send(fleet, peer->row.peer_address);
}

/* Adds an address, unless it is empty, this VM's own or present already. */
static void
add_target(struct targets *targets, const struct fl_fleet *fleet,
    const char *address, bool has_heard_self)
{
	uint32_t i;

	if (address[0] == '\0' || targets->count == FL_TARGETS_MAX ||
	    strcmp(address, fleet->members.self.peer_address) == 0)
		return;
	for (i = 0; i < targets->count; i++)
		if (strcmp(targets->list[i].address, address) == 0)
			return;
	targets->list[targets->count].address = address;
	targets->list[targets->count++].has_heard_self = has_heard_self;
}

/* Members come first, because an address that is also a seed or on the
 * platform's list may be that of a member that has heard from this VM already.
 * Call within a read section. */
static void
collect_targets(struct fl_fleet *fleet, struct targets *targets)
{
	uint32_t own = fl_short_id(fleet->members.self.id);
	const struct bd_vm *vm;
	uint32_t cursor = 0;
	uint32_t i;
	uint32_t j;

	targets->count = 0;
	for (i = 0; i < fleet->members.count; i++) {
		const struct fl_peer *peer = &fleet->members.peers[i];
		bool has_heard_self = false;

		if (peer->ended)
			continue;
		for (j = 0; j < peer->heard_count && !has_heard_self; j++)
			has_heard_self = peer->heard[j] == own;
		add_target(
		    targets, fleet, peer->row.peer_address, has_heard_self);
	}
	for (i = 0; i < fleet->options.seed_count; i++)
		add_target(targets, fleet, fleet->options.seeds[i], false);
	while ((vm = bd_vm_next(fleet->options.board, &cursor)) != NULL)
		if (vm->kind == BD_VM_ENTRY && vm->state != BD_VM_GONE)
			add_target(targets, fleet, vm->address, false);
}

/* Fills fleet->outgoing except for has_identity. Call within a read section. */
static void
fill_heartbeat(struct fl_fleet *fleet, int64_t now_ms)
{
	struct fl_heartbeat *heartbeat = &fleet->outgoing.body.heartbeat;
	struct bd_member *self = &fleet->members.self;
	const struct fl_state_hooks *state = &fleet->options.state;
	const struct bd_config *config;

	state->get_position(state->ctx, &self->position, &self->digest);
	config = bd_config_lookup(fleet->options.board, BD_CONFIG_ID);
	self->config_version = config == NULL ? 0 : config->version;
	fleet->members.self_changed = true;
	fleet->outgoing.kind = FL_MSG_HEARTBEAT;
	fleet->outgoing.sender = self->id;
	heartbeat->position = self->position;
	heartbeat->digest = self->digest;
	heartbeat->config_version = self->config_version;
	heartbeat->leaving = fleet->leaving;
	heartbeat->started_ms = fleet->options.started_ms;
	heartbeat->zone = self->zone;
	heartbeat->region = self->region;
	memcpy(heartbeat->name, self->name, CW_NAME_BYTES);
	memcpy(heartbeat->peer_address, self->peer_address, CW_NAME_BYTES);
	memcpy(heartbeat->http_address, self->http_address, CW_NAME_BYTES);
	heartbeat->heard_count =
	    fl_members_heard(&fleet->members, now_ms, heartbeat->heard);
	fl_loads_read(&fleet->loads, &fleet->options.route);
	fl_loads_fill(&fleet->loads, heartbeat);
}

/* Sends one heartbeat to every known address: without this VM's identity to the
 * members that report having heard from it, with it to all others. Each of the
 * two variants is encoded once. */
void
fl_send_heartbeats(struct fl_fleet *fleet, int64_t now_ms)
{
	struct targets targets;
	int has_identity;

	bd_read_begin();
	collect_targets(fleet, &targets);
	fill_heartbeat(fleet, now_ms);
	for (has_identity = 0; has_identity < 2; has_identity++) {
		size_t bytes = 0;
		uint32_t i;

		fleet->outgoing.body.heartbeat.has_identity =
		    (uint32_t)has_identity;
		if (cw_is_error(fl_msg_encode(&fleet->outgoing, fleet->frame,
			sizeof(fleet->frame), &bytes)))
			continue;
		for (i = 0; i < targets.count; i++)
			if (targets.list[i].has_heard_self !=
			    (has_identity != 0))
				(void)fl_send_frame(fleet,
				    targets.list[i].address, FL_MSG_HEARTBEAT,
				    bytes);
	}
	bd_read_end();
}

/* Announces to every member that this VM accepts no new work, or (gone) that
 * its process ends. */
void
fl_send_leave(struct fl_fleet *fleet, bool gone)
{
	uint32_t i;

	fleet->outgoing.kind = FL_MSG_LEAVE;
	fleet->outgoing.body.leave.gone = gone;
	for (i = 0; i < fleet->members.count; i++)
		if (!fleet->members.peers[i].ended)
			(void)fl_send(
			    fleet, fleet->members.peers[i].row.peer_address);
}
