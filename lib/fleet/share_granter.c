#include <assert.h>
#include <string.h>

#include "fleet.h"

static int64_t with_margin(int64_t ms);
static void store_wanted(struct fl_granter *granter,
    struct fl_requester *requester, const struct fl_share_list *request);
static int get_account_index(struct fl_granter *granter, uint64_t account);
static void update_pools(
    struct fl_granter *granter, const struct bd_board *board);
static bool is_idle(const struct fl_requester *requester, int64_t now_ms);
static struct fl_requester *get_requester(
    struct fl_granter *granter, uint64_t id, int64_t now_ms);
static uint32_t max_outstanding(const struct fl_requester *requester, int index,
    enum fl_limit_kind kind, int64_t now_ms);
static uint32_t fair_share(const struct fl_granter *granter, int index,
    enum fl_limit_kind kind, uint32_t want, int64_t now_ms);
static void record_grant(struct fl_requester *requester, int index,
    const struct fl_limit *granted, int64_t now_ms);
static void grant_account(struct fl_granter *granter,
    struct fl_requester *requester, int index, int64_t now_ms,
    struct fl_limit *granted);

/* Returns a duration (ms) extended by FL_SHARE_MARGIN_PERCENT. */
static int64_t
with_margin(int64_t ms)
{
	return ms + ms * FL_SHARE_MARGIN_PERCENT / 100;
}

/* Returns the index of an account, which is added where it is new; -1 where the
 * table is full: such an account has only its floors. */
static int
get_account_index(struct fl_granter *granter, uint64_t account)
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
update_pools(struct fl_granter *granter, const struct bd_board *board)
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
		int index = get_account_index(granter, account->id);

		if (index < 0)
			continue;
		granter->pools[index].value[FL_RATE] =
		    fl_share_pool(account->rate_per_s, entry_vms);
		granter->pools[index].value[FL_CONCURRENCY] =
		    fl_share_pool(account->concurrency, entry_vms);
	}
}

/*
 * Follows the ownership of BD_DUTY_LIMITS. A VM that has just acquired it (at
 * the current epoch) grants nothing until all leases of an earlier granter have
 * expired: that one may have granted for up to FL_SHARE_CONTACT_MAX_MS after
 * its latest contact with the log, and its last grant is valid for one more
 * lease.
 */
void
fl_granter_update(struct fl_granter *granter, const struct bd_board *board,
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
				FL_SHARE_CONTACT_MAX_MS + FL_SHARE_LEASE_MS);
		}
		update_pools(granter, board);
	}
	bd_read_end();
}

/* Returns whether all grants to a requester have expired. */
static bool
is_idle(const struct fl_requester *requester, int64_t now_ms)
{
	return now_ms - requester->requested_ms >
	    with_margin(FL_SHARE_LEASE_MS);
}

/* Returns a requester, which is added where it is new and may replace one whose
 * grants have all expired; NULL where the table is full. */
static struct fl_requester *
get_requester(struct fl_granter *granter, uint64_t id, int64_t now_ms)
{
	struct fl_requester *requester = NULL;
	uint32_t i;

	for (i = 0; i < granter->requester_count; i++)
		if (granter->requesters[i].id == id)
			return &granter->requesters[i];
	if (granter->requester_count < FL_MEMBERS_MAX)
		requester = &granter->requesters[granter->requester_count++];
	for (i = 0; i < granter->requester_count && requester == NULL; i++)
		if (is_idle(&granter->requesters[i], now_ms))
			requester = &granter->requesters[i];
	if (requester != NULL) {
		memset(requester, 0, sizeof(*requester));
		requester->id = id;
	}
	return requester;
}

/* Returns the largest unexpired grant of a requester: it holds one of them, but
 * which one is unknown, as answers get lost. */
static uint32_t
max_outstanding(const struct fl_requester *requester, int index,
    enum fl_limit_kind kind, int64_t now_ms)
{
	uint32_t max_granted = 0;
	int i;

	for (i = 0; i < FL_GRANTS_KEPT; i++) {
		const struct fl_grant *grant = &requester->grants[index][i];

		if (grant->until_ms > now_ms &&
		    grant->granted.value[kind] > max_granted)
			max_granted = grant->granted.value[kind];
	}
	return max_granted;
}

/* Returns the fair share of a pool for a requester that wants `want`. Max-min
 * fairness: a requester that wants less than an equal part gets what it wants,
 * and the rest is divided equally among the others. */
static uint32_t
fair_share(const struct fl_granter *granter, int index, enum fl_limit_kind kind,
    uint32_t want, int64_t now_ms)
{
	uint32_t left = granter->pools[index].value[kind];
	uint32_t wants[FL_MEMBERS_MAX];
	uint32_t count = 0;
	uint32_t i;
	bool taken = true;

	for (i = 0; i < granter->requester_count; i++)
		if (!is_idle(&granter->requesters[i], now_ms) &&
		    granter->requesters[i].wanted[index].value[kind] != 0)
			wants[count++] =
			    granter->requesters[i].wanted[index].value[kind];
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

/* Stores a grant in place of the one that expires first. Where that one is
 * still valid, the larger amount of each kind is kept, as the requester may
 * hold it. */
static void
record_grant(struct fl_requester *requester, int index,
    const struct fl_limit *granted, int64_t now_ms)
{
	struct fl_grant *grants = requester->grants[index];
	struct fl_grant *oldest = &grants[0];
	int i;

	for (i = 1; i < FL_GRANTS_KEPT; i++)
		if (grants[i].until_ms < oldest->until_ms)
			oldest = &grants[i];
	if (oldest->until_ms <= now_ms)
		memset(oldest, 0, sizeof(*oldest));
	for (i = 0; i < FL_LIMIT_KINDS; i++)
		if (granted->value[i] > oldest->granted.value[i])
			oldest->granted.value[i] = granted->value[i];
	oldest->until_ms = now_ms + with_margin(FL_SHARE_LEASE_MS);
}

/* Grants a requester its fair share of an account's pools, less what the other
 * requesters may still hold. */
static void
grant_account(struct fl_granter *granter, struct fl_requester *requester,
    int index, int64_t now_ms, struct fl_limit *granted)
{
	uint32_t i;
	int kind;

	for (kind = 0; kind < FL_LIMIT_KINDS; kind++) {
		uint32_t left = granter->pools[index].value[kind];
		uint32_t want = requester->wanted[index].value[kind];

		for (i = 0; i < granter->requester_count && left > 0; i++) {
			uint32_t held;

			if (&granter->requesters[i] == requester)
				continue;
			held = max_outstanding(
			    &granter->requesters[i], index, kind, now_ms);
			left -= held < left ? held : left;
		}
		want = fair_share(granter, index, kind, want, now_ms);
		granted->value[kind] = want < left ? want : left;
	}
	record_grant(requester, index, granted, now_ms);
}

/* Stores the demand in a request. An account that is unknown here is skipped
 * and gets nothing. */
static void
store_wanted(struct fl_granter *granter, struct fl_requester *requester,
    const struct fl_share_list *request)
{
	uint32_t i;
	uint32_t j;

	for (i = 0; i < request->count; i++) {
		const struct fl_share_entry *entry = &request->entries[i];

		for (j = 0; j < granter->account_count; j++)
			if (fl_account_short_id(granter->accounts[j]) ==
			    entry->account)
				break;
		if (j == granter->account_count)
			continue;
		requester->wanted[j].value[FL_RATE] = entry->rate_per_s;
		requester->wanted[j].value[FL_CONCURRENCY] = entry->concurrency;
	}
}

/*
 * Answers a share request. confirmed_ms is the sending time of the log read
 * that showed this VM to hold the duty; read it before calling
 * fl_granter_update. Returns false where this VM may not grant: it does not
 * hold the duty or acquired it too recently, has no recent contact with the
 * log, or the request is repeated, out of order, or relative to one that this
 * granter has not answered.
 */
bool
fl_granter_answer(struct fl_granter *granter, uint64_t requester_id,
    const struct fl_share_list *request, int64_t confirmed_ms, int64_t now_ms,
    struct fl_share_list *grant)
{
	struct fl_requester *requester;
	uint32_t i;

	if (granter->epoch == 0 || now_ms < granter->ready_ms ||
	    now_ms - confirmed_ms > FL_SHARE_CONTACT_MAX_MS)
		return false;
	requester = get_requester(granter, requester_id, now_ms);
	if (requester == NULL || request->sequence <= requester->sequence ||
	    (request->base != 0 && request->base != requester->sequence))
		return false;
	requester->sequence = request->sequence;
	requester->requested_ms = now_ms;
	if (request->base == 0) {
		memset(requester->wanted, 0, sizeof(requester->wanted));
		memset(requester->sent, 0, sizeof(requester->sent));
	}
	store_wanted(granter, requester, request);
	grant->sequence = request->sequence;
	grant->base = request->base;
	grant->count = 0;
	for (i = 0; i < granter->account_count; i++) {
		struct fl_share_entry *entry = &grant->entries[grant->count];
		struct fl_limit granted;

		grant_account(granter, requester, (int)i, now_ms, &granted);
		if (memcmp(&granted, &requester->sent[i], sizeof(granted)) == 0)
			continue;
		requester->sent[i] = granted;
		entry->account = fl_account_short_id(granter->accounts[i]);
		entry->rate_per_s = granted.value[FL_RATE];
		entry->concurrency = granted.value[FL_CONCURRENCY];
		grant->count++;
	}
	return true;
}
