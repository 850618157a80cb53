#include <assert.h>
#include <string.h>

#include "fleet.h"

static int64_t with_margin(int64_t ms);
static void take_wanted(struct fl_granter *granter, struct fl_asker *asker,
    const struct fl_share_list *ask);
static int slot_of(struct fl_granter *granter, uint64_t account);
static void take_pools(
    struct fl_granter *granter, const struct bd_board *board);
static bool is_idle(const struct fl_asker *asker, int64_t now_ms);
static struct fl_asker *asker_of(
    struct fl_granter *granter, uint64_t id, int64_t now_ms);
static uint32_t outstanding(const struct fl_asker *asker, int slot,
    enum fl_limit_kind kind, int64_t now_ms);
static uint32_t fair_share(const struct fl_granter *granter, int slot,
    enum fl_limit_kind kind, uint32_t want, int64_t now_ms);
static void keep_grant(struct fl_asker *asker, int slot,
    const struct fl_limit *granted, int64_t now_ms);
static void grant_one(struct fl_granter *granter, struct fl_asker *asker,
    int slot, int64_t now_ms, struct fl_limit *granted);

static int64_t
with_margin(int64_t ms)
{
	return ms + ms * FL_SHARE_MARGIN_PERCENT / 100;
}

/* Returns the place of an account, -1 where there is no room: such an account
 * has its floors only. */
static int
slot_of(struct fl_granter *granter, uint64_t account)
{
	uint32_t i;

	for (i = 0; i < granter->account_count; i++)
		if (granter->accounts[i] == account)
			return (int)i;
	if (i == FL_ACCOUNTS_MAX)
		return -1;
	granter->accounts[granter->account_count++] = account;
	return (int)i;
}

static void
take_pools(struct fl_granter *granter, const struct bd_board *board)
{
	const struct bd_config *config;
	const struct bd_account *account;
	uint32_t cursor = 0;
	uint32_t entry_vms;

	memset(granter->pools, 0, sizeof(granter->pools));
	config = bd_config_lookup(board, BD_CONFIG_ID);
	entry_vms =
	    config == NULL || config->entry_vms == 0 ? 1 : config->entry_vms;
	while ((account = bd_account_next(board, &cursor)) != NULL) {
		int slot = slot_of(granter, account->id);

		if (slot < 0)
			continue;
		granter->pools[slot].of[FL_RATE] =
		    fl_share_pool(account->rate_per_s, entry_vms);
		granter->pools[slot].of[FL_CONCURRENCY] =
		    fl_share_pool(account->concurrency, entry_vms);
	}
}

/*
 * Follows the duty of limits. A VM that has just got it (by its present epoch)
 * grants nothing until everything that an earlier granter may have granted has
 * lapsed: that one may have gone on for FL_SHARE_CONTACT_MS after its latest
 * contact with the log, and its last grant holds for one lease more.
 */
void
fl_granter_duty(struct fl_granter *granter, const struct bd_board *board,
    uint64_t self, int64_t now_ms)
{
	const struct bd_duty *duty;

	bd_read_begin();
	duty = bd_duty_lookup(board, BD_DUTY_LIMITS);
	if (duty == NULL || duty->owner != self) {
		granter->epoch = 0;
	} else {
		if (granter->epoch != duty->epoch) {
			memset(granter, 0, sizeof(*granter));
			granter->epoch = duty->epoch;
			granter->ready_ms = now_ms +
			    with_margin(
				FL_SHARE_CONTACT_MS + FL_SHARE_LEASE_MS);
		}
		take_pools(granter, board);
	}
	bd_read_end();
}

static bool
is_idle(const struct fl_asker *asker, int64_t now_ms)
{
	return now_ms - asker->asked_ms > with_margin(FL_SHARE_LEASE_MS);
}

/* Returns the state of an asker, NULL where there is no room. The place of one
 * whose grants have all lapsed is used again. */
static struct fl_asker *
asker_of(struct fl_granter *granter, uint64_t id, int64_t now_ms)
{
	struct fl_asker *asker = NULL;
	uint32_t i;

	for (i = 0; i < granter->asker_count; i++)
		if (granter->askers[i].id == id)
			return &granter->askers[i];
	if (granter->asker_count < FL_MEMBERS_MAX)
		asker = &granter->askers[granter->asker_count++];
	for (i = 0; i < granter->asker_count && asker == NULL; i++)
		if (is_idle(&granter->askers[i], now_ms))
			asker = &granter->askers[i];
	if (asker != NULL) {
		memset(asker, 0, sizeof(*asker));
		asker->id = id;
	}
	return asker;
}

/* An asker holds one of the grants that have not lapsed; which one is unknown,
 * as answers get lost. The largest is counted. */
static uint32_t
outstanding(const struct fl_asker *asker, int slot, enum fl_limit_kind kind,
    int64_t now_ms)
{
	uint32_t most = 0;
	int i;

	for (i = 0; i < FL_GRANTS_KEPT; i++) {
		const struct fl_grant *grant = &asker->grants[slot][i];

		if (grant->until_ms > now_ms && grant->granted.of[kind] > most)
			most = grant->granted.of[kind];
	}
	return most;
}

/* Max-min fairness: whoever wants less than an equal part gets what it wants,
 * and the rest is divided among the others. */
static uint32_t
fair_share(const struct fl_granter *granter, int slot, enum fl_limit_kind kind,
    uint32_t want, int64_t now_ms)
{
	uint32_t left = granter->pools[slot].of[kind];
	uint32_t wants[FL_MEMBERS_MAX];
	uint32_t count = 0;
	uint32_t i;
	bool taken = true;

	for (i = 0; i < granter->asker_count; i++)
		if (!is_idle(&granter->askers[i], now_ms) &&
		    granter->askers[i].wanted[slot].of[kind] != 0)
			wants[count++] =
			    granter->askers[i].wanted[slot].of[kind];
	while (taken && count > 0) {
		taken = false;
		for (i = 0; i < count && !taken; i++)
			if (wants[i] <= left / count) {
				left -= wants[i];
				wants[i] = wants[--count];
				taken = true;
			}
	}
	if (count == 0 || want <= left / count)
		return want;
	return left / count;
}

static void
keep_grant(struct fl_asker *asker, int slot, const struct fl_limit *granted,
    int64_t now_ms)
{
	struct fl_grant *grants = asker->grants[slot];
	struct fl_grant *place = &grants[0];
	int i;

	for (i = 1; i < FL_GRANTS_KEPT; i++)
		if (grants[i].until_ms < place->until_ms)
			place = &grants[i];
	if (place->until_ms <= now_ms)
		memset(place, 0, sizeof(*place));
	for (i = 0; i < FL_LIMIT_KINDS; i++)
		if (granted->of[i] > place->granted.of[i])
			place->granted.of[i] = granted->of[i];
	place->until_ms = now_ms + with_margin(FL_SHARE_LEASE_MS);
}

static void
grant_one(struct fl_granter *granter, struct fl_asker *asker, int slot,
    int64_t now_ms, struct fl_limit *granted)
{
	uint32_t i;
	int kind;

	for (kind = 0; kind < FL_LIMIT_KINDS; kind++) {
		uint32_t left = granter->pools[slot].of[kind];
		uint32_t want = asker->wanted[slot].of[kind];

		for (i = 0; i < granter->asker_count && left > 0; i++) {
			uint32_t held;

			if (&granter->askers[i] == asker)
				continue;
			held = outstanding(
			    &granter->askers[i], slot, kind, now_ms);
			left -= held < left ? held : left;
		}
		want = fair_share(granter, slot, kind, want, now_ms);
		granted->of[kind] = want < left ? want : left;
	}
	keep_grant(asker, slot, granted, now_ms);
}

/* Takes what the asker wants; an account that is unknown here is passed over,
 * and gets nothing. */
static void
take_wanted(struct fl_granter *granter, struct fl_asker *asker,
    const struct fl_share_list *ask)
{
	uint32_t i;
	uint32_t j;

	for (i = 0; i < ask->count; i++) {
		const struct fl_share_entry *entry = &ask->entries[i];

		for (j = 0; j < granter->account_count; j++)
			if (fl_account_short(granter->accounts[j]) ==
			    entry->account)
				break;
		if (j == granter->account_count)
			continue;
		asker->wanted[j].of[FL_RATE] = entry->rate_per_s;
		asker->wanted[j].of[FL_CONCURRENCY] = entry->concurrency;
	}
}

/*
 * Answers an ask. confirmed_ms is when the log read was sent that showed the
 * duty to be held; read it before fl_granter_duty is called. Returns false
 * where this VM may not grant: no duty, too soon after it was got, no contact
 * with the log, an ask that is repeated, out of order, or relative to one that
 * this granter has not answered.
 */
bool
fl_granter_ask(struct fl_granter *granter, uint64_t asker_id,
    const struct fl_share_list *ask, int64_t confirmed_ms, int64_t now_ms,
    struct fl_share_list *grant)
{
	struct fl_asker *asker;
	uint32_t i;

	if (granter->epoch == 0 || now_ms < granter->ready_ms ||
	    now_ms - confirmed_ms > FL_SHARE_CONTACT_MS)
		return false;
	asker = asker_of(granter, asker_id, now_ms);
	if (asker == NULL || ask->sequence <= asker->sequence ||
	    (ask->base != 0 && ask->base != asker->sequence))
		return false;
	asker->sequence = ask->sequence;
	asker->asked_ms = now_ms;
	if (ask->base == 0) {
		memset(asker->wanted, 0, sizeof(asker->wanted));
		memset(asker->told, 0, sizeof(asker->told));
	}
	take_wanted(granter, asker, ask);
	grant->sequence = ask->sequence;
	grant->base = ask->base;
	grant->count = 0;
	for (i = 0; i < granter->account_count; i++) {
		struct fl_share_entry *entry = &grant->entries[grant->count];
		struct fl_limit granted;

		grant_one(granter, asker, (int)i, now_ms, &granted);
		if (memcmp(&granted, &asker->told[i], sizeof(granted)) == 0)
			continue;
		asker->told[i] = granted;
		entry->account = fl_account_short(granter->accounts[i]);
		entry->rate_per_s = granted.of[FL_RATE];
		entry->concurrency = granted.of[FL_CONCURRENCY];
		grant->count++;
	}
	return true;
}
