#include <gtest/gtest.h>

#include "fleet_sim.h"

namespace {

// Returns the rate that a VM may use at a time, as the request path reads it.
// The row does not change while the VM is paused, so the end of the lease is
// checked.
uint64_t
effective_rate(const struct sim_vm *vm, uint64_t account, int64_t now_ms)
{
	uint64_t sum = 0;

	bd_read_begin();
	const struct bd_share *row = bd_share_lookup(vm->board, account);
	if (row != nullptr)
		sum = row->rate_per_s +
		    (row->lease_until_ms > now_ms ? row->leased_rate_per_s : 0);
	bd_read_end();
	return sum;
}

struct SumCheck {
	uint32_t limit;
	uint64_t max_sum;
	uint64_t leased_ticks;
	bool faults;
};

// Records the sum of all rates on every tick and, with faults, injects pauses,
// broken links, an unreachable log and changes of demand.
void
check_sum(struct sim *sim, void *ctx)
{
	SumCheck *check = static_cast<SumCheck *>(ctx);

	for (uint32_t account = 0; account < 2; account++) {
		uint64_t sum = 0;
		for (uint32_t i = 0; i < sim->vm_count; i++)
			if (sim->vms[i].up)
				sum += effective_rate(&sim->vms[i],
				    cw_id_from_pair(5, account), sim->now_ms);
		check->max_sum = sum > check->max_sum ? sum : check->max_sum;
		check->leased_ticks += sum > check->limit / 2;
	}
	if (!check->faults)
		return;
	struct sim_vm *vm = &sim->vms[cw_rng_below(&sim->rng, sim->vm_count)];
	uint32_t other = cw_rng_below(&sim->rng, sim->vm_count);
	switch (cw_rng_below(&sim->rng, 120)) {
	case 0:
		vm->paused_until_ms =
		    sim->now_ms + cw_rng_below(&sim->rng, 9000);
		break;
	case 1:
		vm->log_unreachable_since_ms =
		    vm->log_unreachable_since_ms < 0 ? sim->now_ms : -1;
		break;
	case 2:
	case 3:
		sim->link_down[vm->index][other] ^= 1;
		break;
	case 4:
		memset(sim->link_down, 0, sizeof(sim->link_down));
		break;
	case 5:
	case 6:
		vm->demand = cw_rng_below(&sim->rng, 2 * check->limit);
		break;
	default:
		break;
	}
}

// Guards against shares whose sum exceeds the limit, under loss, delays of up
// to 4 s, pauses, broken links, an unreachable log and changes of the granter;
// and against a granter that never grants.
TEST(FleetShare, SumNeverExceedsTheLimit)
{
	for (uint64_t seed = 1; seed <= 12; seed++) {
		SCOPED_TRACE(seed);
		SumCheck check = {seed % 2 ? 1000u : 23u, 0, 0, true};
		struct sim *sim = sim_create(seed % 3 ? 5 : 9, seed);
		sim->jitter_ms = seed % 4 == 0 ? 4000 : 100;
		sim->loss_percent = 10;
		sim->each_tick = check_sum;
		sim->ctx = &check;
		sim_put_accounts(sim, 2, check.limit);
		for (uint32_t i = 0; i < sim->vm_count; i++)
			sim->vms[i].demand = check.limit;
		sim_run(sim, 300000);
		EXPECT_LE(check.max_sum, check.limit);
		EXPECT_GT(check.leased_ticks, 100u);
		sim_destroy(sim);
	}
}

// Guards against two granters at once: the old one does not receive the new
// duty record, and must stop granting to a holder that still sends it requests.
TEST(FleetShare, GranterWithoutLogStopsBeforeNextGranterStarts)
{
	SumCheck check = {1000, 0, 0, false};
	struct sim *sim = sim_create(5, 3);
	sim->each_tick = check_sum;
	sim->ctx = &check;
	sim_put_accounts(sim, 2, check.limit);
	for (uint32_t i = 0; i < 5; i++)
		sim->vms[i].demand = 1000;
	sim_run(sim, 30000);
	uint64_t granter = sim_holder(sim, 0, BD_DUTY_LIMITS);
	uint32_t at = 0;
	while (sim->vms[at].incarnation != granter)
		at++;
	uint32_t partner = (at + 1) % 5;
	for (uint32_t a : {at, partner}) {
		sim->vms[a].log_unreachable_since_ms = sim->now_ms;
		for (uint32_t b = 0; b < 5; b++)
			if (b != at && b != partner)
				sim->link_down[a][b] = sim->link_down[b][a] =
				    true;
	}
	check.leased_ticks = 0;
	sim_run(sim, 60000);
	EXPECT_NE(sim_holder(sim, (at + 2) % 5, BD_DUTY_LIMITS), granter);
	EXPECT_LE(check.max_sum, check.limit);
	EXPECT_GT(check.leased_ticks, 1000u);
	// Without the log, a VM has its floor only.
	EXPECT_EQ(effective_rate(
		      &sim->vms[partner], cw_id_from_pair(5, 0), sim->now_ms),
	    100u);
	sim_destroy(sim);
}

// Guards against leases that are granted first come, first served: a large
// demand gets what the others leave, and equal demands get equal parts.
TEST(FleetShare, LeasesFollowDemand)
{
	const struct {
		uint32_t demands[3];
		uint32_t expected[3]; // floor of 100 and lease, of 600
	} cases[] = {
	    {{5000, 0, 0}, {400, 100, 100}},
	    {{5000, 5000, 5000}, {200, 200, 200}},
	    {{130, 5000, 5000}, {130, 235, 235}},
	};
	for (const auto &c : cases) {
		struct sim *sim = sim_create(3, 1);
		sim_put_accounts(sim, 1, 600);
		for (uint32_t i = 0; i < 3; i++)
			sim->vms[i].demand = c.demands[i];
		sim_run(sim, 25000);
		for (uint32_t i = 0; i < 3; i++)
			EXPECT_EQ(effective_rate(&sim->vms[i],
				      cw_id_from_pair(5, 0), sim->now_ms),
			    c.expected[i])
			    << i;
		sim_destroy(sim);
	}
}

} // namespace
