#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "fleet_internal.h"

static int64_t earlier(int64_t a, int64_t b);
static void drop_dead_loads(struct fl_fleet *fleet);
static void run_shares(struct fl_fleet *fleet, int64_t now_ms);
static void run_claims(
    struct fl_fleet *fleet, int64_t now_ms, int64_t *next_ms);
static void run_expiry_and_workers(struct fl_fleet *fleet, int64_t now_ms);
static void expire_results(struct fl_fleet *fleet, int64_t now_ms);
static void announce(struct fl_fleet *fleet);

static int64_t
earlier(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

/*
 * Creates the fleet controller of one VM; nothing is sent before the first
 * step. The board and everything that the callbacks refer to must outlive the
 * fleet. The record sink must be closed before the fleet is destroyed. Returns
 * CW_OK or FL_ENOMEM.
 */
int
fl_create(
    struct fl_fleet **out, const struct fl_options *options, int64_t now_ms)
{
	struct fl_fleet *fleet = calloc(1, sizeof(*fleet));

	assert(options->board != NULL && options->transport.send != NULL);
	assert(options->seed_count <= FL_MEMBERS_MAX);
	if (fleet == NULL)
		return cw_error_set(
		    FL_ENOMEM, "out of memory while creating the fleet");
	fleet->options = *options;
	if (fl_vms_init(&fleet->vms, options->board, &options->vms) != CW_OK) {
		free(fleet);
		return cw_error_set(
		    FL_ENOMEM, "out of memory while creating the VM list");
	}
	pthread_mutex_init(&fleet->lock, NULL);
	fl_members_init(&fleet->members, &options->self, now_ms);
	fleet->scheduled_ms = now_ms;
	fleet->due.expiry = now_ms + FL_EXPIRY_INTERVAL_MS;
	*out = fleet;
	return CW_OK;
}

/* Frees the fleet. fl_step, fl_vms_step and the transport must no longer run;
 * results still pending complete with FL_EUNREACHABLE. */
void
fl_destroy(struct fl_fleet *fleet)
{
	uint32_t i;

	for (i = 0; i < FL_PENDING_RESULTS_MAX; i++)
		fl_complete_result(
		    &fleet->pending_results[i], FL_EUNREACHABLE, 0, NULL, 0);
	fl_relay_free(&fleet->relay);
	fl_vms_free(&fleet->vms);
	pthread_mutex_destroy(&fleet->lock);
	free(fleet);
}

/* Discards the loads that members reported which have just died. */
static void
drop_dead_loads(struct fl_fleet *fleet)
{
	const struct fl_route_hooks *route = &fleet->options.route;
	uint32_t i;

	for (i = 0; i < fleet->members.count && route->drop_peer_loads != NULL;
	     i++)
		if (fleet->members.peers[i].state_changed &&
		    fleet->members.peers[i].row.state == BD_MEMBER_DEAD)
			route->drop_peer_loads(
			    route->ctx, fleet->members.peers[i].row.id);
}

/* Writes changed members to the board. Notifies the other controllers only
 * where a member changed state, joined or was removed. The caller holds the
 * lock. */
void
fl_publish_members(struct fl_fleet *fleet)
{
	drop_dead_loads(fleet);
	if (fl_members_apply(&fleet->members, fleet->options.board) > 0)
		bd_notify(fleet->options.board);
}

/* Computes the answer to a share request. *granted is false where this VM may
 * not grant. */
void
fl_serve_share_request(struct fl_fleet *fleet, uint64_t requester,
    const struct fl_share_list *request, int64_t now_ms,
    struct fl_share_list *grant, bool *granted)
{
	const struct fl_state_hooks *state = &fleet->options.state;
	/* Read first: the duty row is then at least as recent. */
	int64_t confirmed_ms = state->confirmed_ms(state->ctx);

	fl_granter_update(&fleet->granter, fleet->options.board,
	    fleet->members.self.id, now_ms);
	*granted = fl_granter_answer(
	    &fleet->granter, requester, request, confirmed_ms, now_ms, grant);
}

/* Requests shares from the holder of BD_DUTY_LIMITS, which may be this VM. */
void
fl_request_shares(struct fl_fleet *fleet, int64_t now_ms)
{
	struct fl_share_list *request = &fleet->outgoing.body.share;
	const struct bd_duty *duty;
	uint64_t granter = 0;

	fl_holder_read_limits(&fleet->holder, fleet->options.board);
	bd_read_begin();
	duty = bd_duty_lookup(fleet->options.board, BD_DUTY_LIMITS);
	if (duty != NULL)
		granter = duty->owner;
	bd_read_end();
	if (granter == fleet->members.self.id)
		fl_granter_update(
		    &fleet->granter, fleet->options.board, granter, now_ms);
	if (granter == 0 ||
	    !fl_holder_request(
		&fleet->holder, &fleet->options.route, now_ms, request))
		return;
	if (granter == fleet->members.self.id) {
		bool granted = false;

		fl_serve_share_request(fleet, granter, request, now_ms,
		    &fleet->incoming.body.share, &granted);
		if (granted)
			(void)fl_holder_grant(&fleet->holder,
			    &fleet->incoming.body.share, now_ms);
	} else {
		fleet->outgoing.kind = FL_MSG_SHARE_ASK;
		(void)fl_send_member(fleet, granter);
	}
}

/* Requests shares when that is due, expires leases and publishes the limits. */
static void
run_shares(struct fl_fleet *fleet, int64_t now_ms)
{
	if (now_ms >= fleet->due.shares) {
		fl_request_shares(fleet, now_ms);
		fleet->due.shares = now_ms + FL_SHARE_REQUEST_INTERVAL_MS;
	}
	fl_holder_expire_leases(&fleet->holder, now_ms);
	(void)fl_holder_apply(&fleet->holder, fleet->options.board);
}

/* Requests missing records from a member where fl_relay_decide returns true. */
void
fl_run_relay(struct fl_fleet *fleet, int64_t now_ms, int64_t *next_ms)
{
	const struct fl_state_hooks *state = &fleet->options.state;
	struct fl_relay_input input;
	uint64_t digest;

	state->get_position(state->ctx, &input.position, &digest);
	input.next_offset = state->next_offset(state->ctx);
	input.unreachable_since_ms = state->unreachable_since_ms(state->ctx);
	if (fl_relay_decide(&fleet->relay, &fleet->members, &input, now_ms,
		&fleet->outgoing, next_ms))
		(void)fl_send_member(fleet, fleet->relay.peer);
}

/* Claims duties and jobs, or releases them while this VM is leaving. */
static void
run_claims(struct fl_fleet *fleet, int64_t now_ms, int64_t *next_ms)
{
	const struct fl_options *options = &fleet->options;
	uint64_t self = fleet->members.self.id;

	if (fleet->leaving == 0) {
		(void)fl_duty_decide(options->board, self, now_ms,
		    &options->sink, &fleet->duty_claims, next_ms);
		if (now_ms >= fleet->due.jobs) {
			fleet->due.jobs = now_ms + FL_JOBS_INTERVAL_MS;
			(void)fl_jobs_decide(options->board, self, now_ms,
			    &options->sink, &fleet->job_claims,
			    &fleet->due.jobs);
		}
		return;
	}
	if (now_ms >= fleet->due.jobs) {
		fleet->due.jobs = now_ms + FL_JOBS_INTERVAL_MS;
		(void)fl_duty_release(options->board, self, now_ms,
		    &options->sink, &fleet->duty_claims);
		(void)fl_jobs_release(options->board, self, now_ms,
		    &options->sink, &fleet->job_claims);
	}
}

/* Proposes expiry and worker records where this VM holds these duties. The
 * worker records wait until the VM list has been read once. */
static void
run_expiry_and_workers(struct fl_fleet *fleet, int64_t now_ms)
{
	const struct fl_options *options = &fleet->options;
	struct fl_worker_check check = {
	    options->worker_failed, options->worker_ctx};
	uint64_t self = fleet->members.self.id;

	if (now_ms >= fleet->due.expiry) {
		fleet->due.expiry = now_ms + FL_EXPIRY_INTERVAL_MS;
		(void)fl_expiry_decide(options->board, self, now_ms,
		    options->wall.now_ms(options->wall.ctx), &options->sink,
		    &fleet->expiry_claims);
	}
	if (now_ms >= fleet->due.workers && fleet->vms_listed != 0) {
		fleet->due.workers = now_ms + FL_WORKERS_INTERVAL_MS;
		(void)fl_workers_decide(options->board, self, now_ms, &check,
		    &options->sink, &fleet->worker_claims);
	}
}

/* Calls back with the outcome of a pending result and frees its slot. Does
 * nothing for an unused slot. */
void
fl_complete_result(struct fl_pending_result *pending, int status,
    uint32_t http_status, const void *data, size_t bytes)
{
	if (pending->ticket == 0)
		return;
	pending->ticket = 0;
	pending->done.call(pending->done.ctx, status, http_status, data, bytes);
}

/* Completes pending results whose time is over with FL_ETIMEOUT. */
static void
expire_results(struct fl_fleet *fleet, int64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < FL_PENDING_RESULTS_MAX; i++)
		if (now_ms >= fleet->pending_results[i].deadline_ms)
			fl_complete_result(&fleet->pending_results[i],
			    FL_ETIMEOUT, 0, NULL, 0);
}

/*
 * One step of the fleet's controller: updates the member states, sends
 * heartbeats and share requests, claims duties and jobs. Returns the time (ms)
 * of the next step.
 */
int64_t
fl_step(void *ctx, int64_t now_ms)
{
	struct fl_fleet *fleet = ctx;
	int64_t next_ms = INT64_MAX;
	int64_t late_ms;

	pthread_mutex_lock(&fleet->lock);
	late_ms = fl_members_tick(
	    &fleet->members, fleet->options.board, fleet->scheduled_ms, now_ms);
	if (late_ms != 0) {
		fl_holder_discard_grants(&fleet->holder);
		if (fleet->options.route.paused != NULL)
			fleet->options.route.paused(
			    fleet->options.route.ctx, late_ms);
	}
	if (now_ms >= fleet->due.heartbeat) {
		fl_send_heartbeats(fleet, now_ms);
		fleet->due.heartbeat = now_ms + FL_HEARTBEAT_INTERVAL_MS;
	}
	fl_publish_members(fleet);
	run_shares(fleet, now_ms);
	fl_run_relay(fleet, now_ms, &next_ms);
	run_claims(fleet, now_ms, &next_ms);
	run_expiry_and_workers(fleet, now_ms);
	expire_results(fleet, now_ms);
	next_ms = earlier(next_ms, fleet->due.heartbeat);
	next_ms = earlier(next_ms, fleet->due.shares);
	next_ms = earlier(next_ms, fleet->due.jobs);
	fleet->scheduled_ms = next_ms > now_ms ? next_ms : now_ms + 1;
	next_ms = fleet->scheduled_ms;
	pthread_mutex_unlock(&fleet->lock);
	return next_ms;
}

/* Registers this VM with the platform, and again when it leaves. The address
 * in the platform's list is the one that peers connect to. */
static void
announce(struct fl_fleet *fleet)
{
	const struct pf_vm_list *list = &fleet->options.vms;
	const struct bd_member *self = &fleet->options.self;
	struct pf_vm vm = {0};

	vm.state = fleet->leaving != 0 ? PF_VM_LEAVING : PF_VM_LIVE;
	if (list->announce == NULL || fleet->announced == vm.state + 1)
		return;
	vm.id = cw_id_from_name(self->name);
	vm.kind = PF_VM_ENTRY;
	memcpy(vm.name, self->name, sizeof(vm.name));
	memcpy(vm.address, self->peer_address, sizeof(vm.address));
	memcpy(vm.region, fleet->options.region, sizeof(vm.region));
	memcpy(vm.zone, fleet->options.zone, sizeof(vm.zone));
	if (list->announce(list->ctx, &vm) == CW_OK)
		fleet->announced = vm.state + 1;
}

/* One step of the VM list's controller; blocks on the platform. Returns the
 * time (ms) of the next step. */
int64_t
fl_vms_step(void *ctx, int64_t now_ms)
{
	struct fl_fleet *fleet = ctx;
	bool holds = fl_duty_is_held(
	    fleet->options.board, BD_DUTY_WORKERS, fleet->members.self.id);
	int64_t poll_ms =
	    holds ? FL_VMS_POLL_INTERVAL_HOLDER_MS : FL_VMS_POLL_INTERVAL_MS;
	int64_t next_ms;

	announce(fleet);
	/* Every change of the board runs this step; the platform is still
	 * polled only once per interval. */
	if (now_ms < fleet->vms_due_ms &&
	    (fleet->vms.failures != 0 || fleet->vms_due_ms - now_ms <= poll_ms))
		return fleet->vms_due_ms;
	next_ms = fl_vms_poll(&fleet->vms, poll_ms, now_ms);
	fleet->vms_due_ms = next_ms;
	if (fleet->vms.listed)
		fleet->vms_listed = 1;
	return next_ms;
}

/* Announces that this VM is leaving, or with gone that its process ends. Later
 * steps hand duties and jobs over. */
void
fl_leave(struct fl_fleet *fleet, bool gone, int64_t now_ms)
{
	pthread_mutex_lock(&fleet->lock);
	if (fleet->leaving == 0)
		ev_emit(EV_DUTIES_RELEASED, "member=%016llx",
		    (unsigned long long)fleet->members.self.id);
	fleet->leaving = 1;
	fleet->members.self.state = BD_MEMBER_LEAVING;
	fleet->members.self.since_ms = now_ms;
	fleet->members.self_changed = true;
	fleet->members.self_state_changed = true;
	fleet->due.jobs = now_ms;
	fl_send_leave(fleet, gone);
	fl_publish_members(fleet);
	pthread_mutex_unlock(&fleet->lock);
}

/*
 * Requests the stored answer to a request from the VM with the incarnation
 * owner; done is called once, after FL_RESULT_TIMEOUT_MS at the latest. Returns
 * CW_OK, or FL_EUNREACHABLE, FL_ENOTFOUND (unknown member) or FL_EFULL without
 * calling done.
 */
int
fl_result_get(struct fl_fleet *fleet, uint64_t owner, uint64_t request_id,
    const struct fl_result_done *done, int64_t now_ms)
{
	struct fl_pending_result *pending;
	int code;

	assert(done != NULL && done->call != NULL);
	pthread_mutex_lock(&fleet->lock);
	pending =
	    &fleet->pending_results[++fleet->ticket % FL_PENDING_RESULTS_MAX];
	if (pending->ticket != 0) {
		code = FL_EFULL;
	} else {
		fleet->outgoing.kind = FL_MSG_RESULT_GET;
		fleet->outgoing.body.result_get.request_id = request_id;
		fleet->outgoing.body.result_get.ticket = fleet->ticket;
		pending->ticket = fleet->ticket;
		pending->owner = owner;
		pending->deadline_ms = now_ms + FL_RESULT_TIMEOUT_MS;
		pending->done = *done;
		code = fl_send_member(fleet, owner);
		if (cw_is_error(code))
			pending->ticket = 0;
	}
	pthread_mutex_unlock(&fleet->lock);
	return code;
}

/* Copies the counters of control traffic. */
void
fl_traffic_read(struct fl_fleet *fleet, struct fl_traffic_counters *counters)
{
	pthread_mutex_lock(&fleet->lock);
	*counters = fleet->traffic;
	pthread_mutex_unlock(&fleet->lock);
}
