#include <assert.h>
#include <string.h>

#include "fleet.h"

static struct fl_lease *find_lease(struct fl_holder *holder, uint64_t account);
static void update_account(struct fl_holder *holder,
    const struct bd_account *account, uint32_t entry_vms);
static bool has_grant(const struct fl_lease *lease);
static uint32_t wanted_above_floor(const struct fl_lease *lease,
    enum fl_limit_kind kind, uint32_t demand, uint32_t entry_vms);
static bool update_wanted(const struct fl_holder *holder,
    struct fl_lease *lease, const struct fl_route_hooks *route, bool relative);
static uint32_t floor_or_unlimited(
    const struct fl_lease *lease, enum fl_limit_kind kind);

/* Returns the pool of a limit: what is left for leases after the floors of
 * entry_vms VMs. */
uint32_t
fl_share_pool(uint32_t limit, uint32_t entry_vms)
{
	return limit - bd_share_floor(limit, entry_vms) * entry_vms;
}

static struct fl_lease *
find_lease(struct fl_holder *holder, uint64_t account)
{
	uint32_t i;

	for (i = 0; i < holder->count; i++)
		if (holder->leases[i].account == account)
			return &holder->leases[i];
	return NULL;
}

static bool
has_grant(const struct fl_lease *lease)
{
	return lease->granted.value[FL_RATE] != 0 ||
	    lease->granted.value[FL_CONCURRENCY] != 0;
}

/* Adds an account, or updates its limits and floors where they changed. */
static void
update_account(struct fl_holder *holder, const struct bd_account *account,
    uint32_t entry_vms)
{
	struct fl_limit limit = {{account->rate_per_s, account->concurrency}};
	struct fl_lease *lease = find_lease(holder, account->id);
	int kind;

	if (lease == NULL) {
		if (holder->count == FL_ACCOUNTS_MAX)
			return;
		lease = &holder->leases[holder->count++];
		memset(lease, 0, sizeof(*lease));
		lease->account = account->id;
		lease->changed = true;
	}
	lease->configured = true;
	if (memcmp(&lease->limit, &limit, sizeof(limit)) == 0 &&
	    holder->entry_vms == entry_vms && !lease->changed)
		return;
	lease->limit = limit;
	/* Grants under another limit are no longer valid. */
	memset(&lease->granted, 0, sizeof(lease->granted));
	memset(&lease->wanted, 0, sizeof(lease->wanted));
	holder->base = 0;
	for (kind = 0; kind < FL_LIMIT_KINDS; kind++)
		lease->floor.value[kind] =
		    bd_share_floor(limit.value[kind], entry_vms);
	lease->changed = true;
}

/* Reads the limits of the accounts from the active configuration. */
void
fl_holder_read_limits(struct fl_holder *holder, const struct bd_board *board)
{
	const struct bd_config *config;
	const struct bd_account *account;
	uint32_t cursor = 0;
	uint32_t entry_vms;
	uint32_t i;
	uint32_t j;

	bd_read_begin();
	config = bd_config_lookup(board, BD_CONFIG_ID);
	entry_vms =
	    config == NULL || config->entry_vms == 0 ? 1 : config->entry_vms;
	for (i = 0; i < holder->count; i++)
		holder->leases[i].configured = false;
	while ((account = bd_account_next(board, &cursor)) != NULL)
		update_account(holder, account, entry_vms);
	holder->entry_vms = entry_vms;
	bd_read_end();
	for (i = 0; i < holder->count; i++) {
		holder->leases[i].ambiguous = false;
		for (j = 0; j < holder->count; j++)
			if (j != i &&
			    fl_account_short_id(holder->leases[i].account) ==
				fl_account_short_id(holder->leases[j].account))
				holder->leases[i].ambiguous = true;
	}
}

/* Returns the demand above the floor, at most the pool. Changes of up to an
 * eighth are ignored, to save traffic. */
static uint32_t
wanted_above_floor(const struct fl_lease *lease, enum fl_limit_kind kind,
    uint32_t demand, uint32_t entry_vms)
{
	uint32_t pool = fl_share_pool(lease->limit.value[kind], entry_vms);
	uint32_t old = lease->wanted.value[kind];
	uint32_t above = demand > lease->floor.value[kind]
	    ? demand - lease->floor.value[kind]
	    : 0;

	if (above > pool)
		above = pool;
	if (above != 0 && old <= pool &&
	    (above > old ? above - old : old - above) <= old / 8)
		return old;
	return above;
}

/* Updates the demand of an account. Returns whether it differs from the
 * previous request (from an empty one where relative is false). */
static bool
update_wanted(const struct fl_holder *holder, struct fl_lease *lease,
    const struct fl_route_hooks *route, bool relative)
{
	struct fl_limit demand = {{0, 0}};
	struct fl_limit before = {{0, 0}};
	int kind;

	if (relative)
		before = lease->wanted;
	if (lease->configured && !lease->ambiguous && route->demand != NULL)
		route->demand(route->ctx, lease->account,
		    &demand.value[FL_RATE], &demand.value[FL_CONCURRENCY]);
	for (kind = 0; kind < FL_LIMIT_KINDS; kind++)
		lease->wanted.value[kind] = wanted_above_floor(
		    lease, kind, demand.value[kind], holder->entry_vms);
	return memcmp(&before, &lease->wanted, sizeof(before)) != 0;
}

/*
 * Fills a request for the demand above the floors and stores its time, at which
 * the lease starts. Returns false where there is nothing to request.
 */
bool
fl_holder_request(struct fl_holder *holder, const struct fl_route_hooks *route,
    int64_t now_ms, struct fl_share_list *request)
{
	bool relative = holder->base != 0 && holder->base == holder->sequence;
	bool wanted = false;
	uint32_t i;

	request->base = relative ? holder->base : 0;
	request->count = 0;
	for (i = 0; i < holder->count; i++) {
		struct fl_lease *lease = &holder->leases[i];
		struct fl_share_entry *entry =
		    &request->entries[request->count];
		bool changed = update_wanted(holder, lease, route, relative);

		wanted |= lease->wanted.value[FL_RATE] != 0 ||
		    lease->wanted.value[FL_CONCURRENCY] != 0;
		if (!changed)
			continue;
		entry->account = fl_account_short_id(lease->account);
		entry->rate_per_s = lease->wanted.value[FL_RATE];
		entry->concurrency = lease->wanted.value[FL_CONCURRENCY];
		request->count++;
	}
	if (!wanted && request->count == 0)
		return false;
	request->sequence = ++holder->sequence;
	holder->requested_ms[request->sequence % FL_SHARE_REQUESTS_KEPT] =
	    now_ms;
	return true;
}

/*
 * Accepts a grant, whose lease starts when its request was sent. Returns
 * FL_EEXPIRED for a grant that is late, repeated, out of order, or relative to
 * one that is no longer valid.
 */
int
fl_holder_grant(
    struct fl_holder *holder, const struct fl_share_list *grant, int64_t now_ms)
{
	int64_t until_ms;
	uint32_t i;
	uint32_t j;

	if (grant->sequence <= holder->accepted ||
	    grant->sequence > holder->sequence ||
	    grant->sequence + FL_SHARE_REQUESTS_KEPT <= holder->sequence ||
	    (grant->base != 0 && grant->base != holder->base))
		return FL_EEXPIRED;
	until_ms =
	    holder->requested_ms[grant->sequence % FL_SHARE_REQUESTS_KEPT] +
	    FL_SHARE_LEASE_MS;
	if (until_ms <= now_ms)
		return FL_EEXPIRED;
	holder->accepted = grant->sequence;
	holder->base = grant->sequence;
	for (i = 0; i < holder->count; i++) {
		struct fl_lease *lease = &holder->leases[i];
		struct fl_limit granted = {{0, 0}};

		if (grant->base != 0)
			granted = lease->granted;
		for (j = 0; j < grant->count; j++)
			if (grant->entries[j].account ==
			    fl_account_short_id(lease->account)) {
				granted.value[FL_RATE] =
				    grant->entries[j].rate_per_s;
				granted.value[FL_CONCURRENCY] =
				    grant->entries[j].concurrency;
			}
		if (!lease->configured ||
		    (!has_grant(lease) && granted.value[FL_RATE] == 0 &&
			granted.value[FL_CONCURRENCY] == 0))
			continue;
		lease->granted = granted;
		lease->until_ms = until_ms;
		lease->changed = true;
	}
	return CW_OK;
}

/* Revokes the leases that have expired. */
void
fl_holder_expire_leases(struct fl_holder *holder, int64_t now_ms)
{
	uint32_t expired = 0;
	uint32_t i;

	for (i = 0; i < holder->count; i++) {
		struct fl_lease *lease = &holder->leases[i];

		if (!has_grant(lease) || lease->until_ms > now_ms)
			continue;
		memset(&lease->granted, 0, sizeof(lease->granted));
		lease->changed = true;
		expired++;
	}
	if (expired != 0)
		holder->base = 0;
	if (expired != 0)
		ev_emit(EV_SHARES_LAPSED, "accounts=%u", expired);
}

/* Discards all grants after a pause, including answers in flight; each account
 * keeps its floor until the next grant. */
void
fl_holder_discard_grants(struct fl_holder *holder)
{
	uint32_t i;

	holder->accepted = holder->sequence;
	holder->base = 0;
	for (i = 0; i < holder->count; i++)
		if (has_grant(&holder->leases[i])) {
			memset(&holder->leases[i].granted, 0,
			    sizeof(holder->leases[i].granted));
			holder->leases[i].changed = true;
		}
}

/* Returns the floor of an account, UINT32_MAX where it is unlimited, because a
 * floor of 0 is a limit. */
static uint32_t
floor_or_unlimited(const struct fl_lease *lease, enum fl_limit_kind kind)
{
	return lease->limit.value[kind] == 0 ? UINT32_MAX
					     : lease->floor.value[kind];
}

/*
 * Writes the changed rows to table share: the floors, and the amounts leased
 * until lease_until_ms. Removes accounts that are no longer configured. Returns
 * CW_OK or an error of the board.
 */
int
fl_holder_apply(struct fl_holder *holder, struct bd_board *board)
{
	uint32_t i;

	for (i = holder->count; i-- > 0;) {
		struct fl_lease *lease = &holder->leases[i];
		struct bd_share row = {0};
		int code;

		if (!lease->configured) {
			bd_remove(board, BD_TABLE_share, BD_WRITER_LIMITS,
			    lease->account);
			*lease = holder->leases[--holder->count];
			continue;
		}
		if (!lease->changed)
			continue;
		row.id = lease->account;
		row.rate_per_s = floor_or_unlimited(lease, FL_RATE);
		row.concurrency = floor_or_unlimited(lease, FL_CONCURRENCY);
		row.leased_rate_per_s = lease->granted.value[FL_RATE];
		row.leased_concurrency = lease->granted.value[FL_CONCURRENCY];
		row.lease_until_ms = lease->until_ms;
		code = bd_put(board, BD_TABLE_share, BD_WRITER_LIMITS, row.id,
		    &row, sizeof(row), NULL);
		if (cw_is_error(code))
			return code;
		lease->changed = false;
	}
	return CW_OK;
}
