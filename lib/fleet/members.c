#include <assert.h>
#include <string.h>

#include "fleet.h"

static struct fl_peer *find_peer(struct fl_members *members, uint64_t id);
static struct fl_peer *alloc_peer(struct fl_members *members);
static void remove_peer(struct fl_members *members, struct fl_peer *peer);
static void set_state(
    struct fl_peer *peer, enum bd_member_state state, int64_t now_ms);
static bool is_heard_by_others(const struct fl_members *members,
    const struct fl_peer *peer, int64_t now_ms);
static bool replace_older(struct fl_members *members,
    const struct fl_heartbeat *heartbeat, int64_t now_ms);
static struct fl_peer *add_peer(struct fl_members *members, uint64_t sender,
    const struct fl_heartbeat *heartbeat, int64_t now_ms);
static void update_state(struct fl_members *members, struct fl_peer *peer,
    const struct bd_vm *vm, int64_t now_ms);
static void handle_pause(
    struct fl_members *members, int64_t late_ms, int64_t now_ms);

static struct fl_peer *
find_peer(struct fl_members *members, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < members->count; i++)
		if (members->peers[i].row.id == id)
			return &members->peers[i];
	return NULL;
}

/* Removes a member; the last one moves to its slot. */
static void
remove_peer(struct fl_members *members, struct fl_peer *peer)
{
	if (members->removed_count < FL_MEMBERS_MAX)
		members->removed[members->removed_count++] = peer->row.id;
	*peer = members->peers[--members->count];
}

/* Returns an unused slot. Where all are used, removes the member that has been
 * dead for longest; returns NULL where none is dead. */
static struct fl_peer *
alloc_peer(struct fl_members *members)
{
	struct fl_peer *oldest = NULL;
	uint32_t i;

	if (members->count == FL_MEMBERS_MAX) {
		for (i = 0; i < members->count; i++) {
			struct fl_peer *peer = &members->peers[i];

			if (peer->row.state == BD_MEMBER_DEAD &&
			    (oldest == NULL ||
				peer->row.since_ms < oldest->row.since_ms))
				oldest = peer;
		}
		if (oldest == NULL)
			return NULL;
		remove_peer(members, oldest);
	}
	return &members->peers[members->count++];
}

static void
set_state(struct fl_peer *peer, enum bd_member_state state, int64_t now_ms)
{
	static const enum ev_number events[] = {
	    [BD_MEMBER_ALIVE] = EV_MEMBER_BACK,
	    [BD_MEMBER_SUSPECT] = EV_MEMBER_SUSPECT,
	    [BD_MEMBER_DEAD] = EV_MEMBER_DEAD,
	    [BD_MEMBER_LEAVING] = EV_MEMBER_LEAVING,
	};

	if (peer->row.state == state)
		return;
	ev_emit(events[state], "member=%016llx name=%s silent_ms=%lld",
	    (unsigned long long)peer->row.id, peer->row.name,
	    (long long)(now_ms - peer->row.heard_ms));
	peer->row.state = state;
	peer->row.since_ms = now_ms;
	peer->changed = true;
	peer->state_changed = true;
}

/* Returns whether another live member lists this one as heard from. The list is
 * as old as the heartbeat that carried it. */
static bool
is_heard_by_others(const struct fl_members *members, const struct fl_peer *peer,
    int64_t now_ms)
{
	uint32_t name = fl_short_id(peer->row.id);
	uint32_t i;
	uint32_t j;

	for (i = 0; i < members->count; i++) {
		const struct fl_peer *other = &members->peers[i];

		if (other == peer || other->ended ||
		    now_ms - other->row.heard_ms > FL_SUSPECT_AFTER_MS)
			continue;
		for (j = 0; j < other->heard_count; j++)
			if (other->heard[j] == name)
				return true;
	}
	return false;
}

/* Marks an older incarnation at the same peer address as dead. Returns true
 * where the sender itself is the older one. */
static bool
replace_older(struct fl_members *members, const struct fl_heartbeat *heartbeat,
    int64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < members->count; i++) {
		struct fl_peer *peer = &members->peers[i];

		if (peer->ended ||
		    strcmp(peer->row.peer_address, heartbeat->peer_address) !=
			0)
			continue;
		if (peer->started_ms > heartbeat->started_ms &&
		    peer->row.state != BD_MEMBER_DEAD)
			return true;
		ev_emit(EV_MEMBER_REPLACED, "member=%016llx address=%s",
		    (unsigned long long)peer->row.id, peer->row.peer_address);
		peer->ended = true;
		set_state(peer, BD_MEMBER_DEAD, now_ms);
	}
	return false;
}

/* Adds the sender of a heartbeat with identity. Returns NULL where it is an
 * older incarnation or there is no free slot. */
static struct fl_peer *
add_peer(struct fl_members *members, uint64_t sender,
    const struct fl_heartbeat *heartbeat, int64_t now_ms)
{
	struct fl_peer *peer;

	if (replace_older(members, heartbeat, now_ms))
		return NULL;
	peer = alloc_peer(members);
	if (peer == NULL)
		return NULL;
	memset(peer, 0, sizeof(*peer));
	peer->row.id = sender;
	peer->row.zone = heartbeat->zone;
	peer->row.region = heartbeat->region;
	memcpy(peer->row.name, heartbeat->name, CW_NAME_BYTES);
	memcpy(peer->row.peer_address, heartbeat->peer_address, CW_NAME_BYTES);
	memcpy(peer->row.http_address, heartbeat->http_address, CW_NAME_BYTES);
	peer->row.since_ms = now_ms;
	peer->started_ms = heartbeat->started_ms;
	peer->state_changed = true;
	ev_emit(EV_MEMBER_JOINED, "member=%016llx name=%s address=%s",
	    (unsigned long long)sender, heartbeat->name,
	    heartbeat->peer_address);
	return peer;
}

/* Initialises the members to this VM alone; self->id is its incarnation. */
void
fl_members_init(
    struct fl_members *members, const struct bd_member *self, int64_t now_ms)
{
	memset(members, 0, sizeof(*members));
	assert(self->id != 0);
	members->self = *self;
	members->self.self = 1;
	members->self.state = BD_MEMBER_ALIVE;
	members->self.heard_ms = now_ms;
	members->self.since_ms = now_ms;
	members->self_changed = true;
	members->self_state_changed = true;
}

/*
 * Handles a heartbeat. Returns FL_ENOTFOUND where the sender is unknown and the
 * heartbeat carries no identity, FL_EFULL where the sender was not added (no
 * free slot, or an older incarnation), and FL_EEXPIRED for a process that has
 * ended or was replaced.
 */
int
fl_members_heartbeat(struct fl_members *members, uint64_t sender,
    const struct fl_heartbeat *heartbeat, int64_t now_ms)
{
	struct fl_peer *peer = find_peer(members, sender);

	if (sender == members->self.id)
		return CW_OK;
	if (peer == NULL) {
		if (heartbeat->has_identity == 0)
			return FL_ENOTFOUND;
		peer = add_peer(members, sender, heartbeat, now_ms);
		if (peer == NULL)
			return FL_EFULL;
	}
	if (peer->ended)
		return FL_EEXPIRED;
	peer->row.heard_ms = now_ms;
	peer->row.position = heartbeat->position;
	peer->row.digest = heartbeat->digest;
	if (heartbeat->config_version > peer->row.config_version)
		peer->row.config_version = heartbeat->config_version;
	peer->heard_count = heartbeat->heard_count;
	memcpy(peer->heard, heartbeat->heard,
	    heartbeat->heard_count * sizeof(*peer->heard));
	peer->changed = true;
	if (heartbeat->leaving != 0)
		peer->leaving = true;
	set_state(
	    peer, peer->leaving ? BD_MEMBER_LEAVING : BD_MEMBER_ALIVE, now_ms);
	return CW_OK;
}

/* Handles a leave message, which takes effect at once; with gone the process
 * has ended. */
void
fl_members_leave(
    struct fl_members *members, uint64_t sender, bool gone, int64_t now_ms)
{
	struct fl_peer *peer = find_peer(members, sender);

	if (peer == NULL || peer->ended)
		return;
	peer->leaving = true;
	peer->ended = gone;
	set_state(peer, gone ? BD_MEMBER_DEAD : BD_MEMBER_LEAVING, now_ms);
}

/* Derives a member's state from its silence, its announcement and its row in
 * the VM list (NULL: not listed). A dead member stays dead until its next
 * heartbeat. */
static void
update_state(struct fl_members *members, struct fl_peer *peer,
    const struct bd_vm *vm, int64_t now_ms)
{
	int64_t heard_ms = peer->row.heard_ms;
	bool listed_gone = vm != NULL && vm->state == BD_VM_GONE;
	bool listed_leaving = vm != NULL && vm->state == BD_VM_LEAVING;
	bool silent;

	if (peer->row.state == BD_MEMBER_DEAD)
		return;
	/* Silence is counted from the end of this VM's latest pause, as a
	 * paused VM receives nothing. */
	if (heard_ms < members->self.since_ms)
		heard_ms = members->self.since_ms;
	silent = now_ms - heard_ms > FL_SUSPECT_AFTER_MS &&
	    !is_heard_by_others(members, peer, now_ms);
	if (silent && (now_ms - heard_ms > FL_DEAD_AFTER_MS || listed_gone))
		set_state(peer, BD_MEMBER_DEAD, now_ms);
	else if (peer->leaving || listed_leaving)
		set_state(peer, BD_MEMBER_LEAVING, now_ms);
	else
		set_state(
		    peer, silent ? BD_MEMBER_SUSPECT : BD_MEMBER_ALIVE, now_ms);
}

static void
handle_pause(struct fl_members *members, int64_t late_ms, int64_t now_ms)
{
	ev_emit(EV_FLEET_PAUSED, "late_ms=%lld", (long long)late_ms);
	members->self.since_ms = now_ms;
	members->self_changed = true;
	members->self_state_changed = true;
}

/*
 * Updates the state of every member. scheduled_ms is when this call was due.
 * Returns the delay (ms) of the call where it exceeds FL_PAUSE_THRESHOLD_MS,
 * which means that this VM was paused, and 0 otherwise.
 */
int64_t
fl_members_tick(struct fl_members *members, const struct bd_board *board,
    int64_t scheduled_ms, int64_t now_ms)
{
	int64_t late_ms = now_ms - scheduled_ms;
	uint32_t i;

	if (late_ms > FL_PAUSE_THRESHOLD_MS)
		handle_pause(members, late_ms, now_ms);
	else
		late_ms = 0;
	members->self.heard_ms = now_ms;
	bd_read_begin();
	for (i = 0; i < members->count; i++) {
		struct fl_peer *peer = &members->peers[i];

		update_state(members, peer,
		    bd_vm_lookup(board, cw_id_from_name(peer->row.name)),
		    now_ms);
	}
	bd_read_end();
	for (i = members->count; i-- > 0;)
		if (members->peers[i].row.state == BD_MEMBER_DEAD &&
		    now_ms - members->peers[i].row.since_ms >
			FL_DEAD_RETENTION_MS)
			remove_peer(members, &members->peers[i]);
	return late_ms;
}

/*
 * Writes the changed rows to table member. Returns the number of members that
 * changed state, joined or were removed, or an error of the board.
 */
int
fl_members_apply(struct fl_members *members, struct bd_board *board)
{
	int state_changed = (int)members->removed_count;
	int code = CW_OK;
	uint32_t i;

	for (i = 0; i < members->removed_count; i++)
		bd_remove(board, BD_TABLE_member, BD_WRITER_MEMBERSHIP,
		    members->removed[i]);
	members->removed_count = 0;
	for (i = 0; i < members->count && code == CW_OK; i++) {
		struct fl_peer *peer = &members->peers[i];

		if (!peer->changed)
			continue;
		code = bd_put(board, BD_TABLE_member, BD_WRITER_MEMBERSHIP,
		    peer->row.id, &peer->row, sizeof(peer->row), NULL);
		state_changed += peer->state_changed;
		peer->changed = false;
		peer->state_changed = false;
	}
	if (members->self_changed && code == CW_OK) {
		code = bd_put(board, BD_TABLE_member, BD_WRITER_MEMBERSHIP,
		    members->self.id, &members->self, sizeof(members->self),
		    NULL);
		state_changed += members->self_state_changed;
		members->self_changed = false;
		members->self_state_changed = false;
	}
	return code == CW_OK ? state_changed : code;
}

/* Returns a member other than this VM, NULL where it is unknown. */
const struct fl_peer *
fl_members_find(const struct fl_members *members, uint64_t id)
{
	return find_peer((struct fl_members *)members, id);
}

/* Stores the short ids of the members heard from within FL_HEARD_WINDOW_MS, at
 * most FL_MEMBERS_MAX, and returns their number. */
uint32_t
fl_members_heard(
    const struct fl_members *members, int64_t now_ms, uint32_t *heard)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < members->count; i++)
		if (!members->peers[i].ended &&
		    now_ms - members->peers[i].row.heard_ms <=
			FL_HEARD_WINDOW_MS)
			heard[count++] = fl_short_id(members->peers[i].row.id);
	return count;
}

/* Returns whether a member may get new work and duties; false for NULL. */
bool
fl_member_is_eligible(const struct bd_member *member)
{
	return member != NULL && member->state == BD_MEMBER_ALIVE;
}
