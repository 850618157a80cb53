#include <map>
#include <string>

#include "route_fixture.h"

namespace {

// Guards against traffic that leaves the zone while the zone has free slots,
// and against work for full upstreams.
TEST(RoutePick, LocalZoneThenRegionThenOtherRegionWithinBudget)
{
	RouteFixture r;
	struct rt_pick p[8];

	r.put_config(1, 2000);
	r.put_upstream("10.0.0.1:1", 2, "z1", "r1");
	r.put_upstream("10.0.0.2:1", 2, "z2", "r1");
	r.put_upstream("10.0.0.3:1", 3, "z3", "r2");
	r.step();
	const char *expected[] = {"10.0.0.1:1", "10.0.0.1:1", "10.0.0.2:1",
	    "10.0.0.2:1", "10.0.0.3:1", "10.0.0.3:1"};
	for (int i = 0; i < 6; i++) {
		ASSERT_EQ(r.pick(&p[i]), CW_OK) << i;
		EXPECT_STREQ(p[i].address, expected[i]);
	}
	// The third cross-region request exceeds 2000 bytes a second.
	EXPECT_EQ(r.pick(&p[6]), RT_EBUSY);
	EXPECT_EQ(rt_counter_read(r.route, RT_COUNT_CROSS_REGION_REFUSED), 1u);
	r.done(p[0], RT_OUTCOME_OK);
	ASSERT_EQ(r.pick(&p[6]), CW_OK);
	EXPECT_STREQ(p[6].address, "10.0.0.1:1");
	r.done(p[4], RT_OUTCOME_OK);
	EXPECT_EQ(rt_counter_read(r.route, RT_COUNT_CROSS_REGION_REQUEST_BYTES),
	    500u);
	r.now_ms += 1000;
	EXPECT_EQ(r.pick(&p[7]), CW_OK);
}

// Guards against picks that ignore load, latency or the requests of other VMs.
TEST(RoutePick, PrefersLessLoadedAndFaster)
{
	RouteFixture r;
	struct rt_pick p;
	std::map<std::string, int> count;

	uint64_t slow = r.put_upstream("10.0.0.1:1", 100);
	uint64_t fast = r.put_upstream("10.0.0.2:1", 100);
	r.step();
	for (int i = 0; i < 200; i++) {
		ASSERT_EQ(r.pick(&p), CW_OK);
		r.done(p, RT_OUTCOME_OK, p.upstream_id == slow ? 9000 : 1000);
		count[p.address] += i >= 100;
	}
	EXPECT_GT(count["10.0.0.2:1"], 90);
	struct rt_upstream_load load = {fast, 100};
	rt_peer_load_set(r.route, 5, &load, 1);
	ASSERT_EQ(r.pick(&p), CW_OK);
	EXPECT_EQ(p.upstream_id, slow);
	r.done(p, RT_OUTCOME_OK);
	rt_peer_load_remove(r.route, 5);
	ASSERT_EQ(r.pick(&p), CW_OK);
	EXPECT_EQ(p.upstream_id, fast);
}

// Guards against new work for a leaving upstream more than 3 s after any of its
// signals, and against work for one that was removed from the configuration.
TEST(RoutePick, LeavingUpstreamGetsNoNewWork)
{
	enum Signal {
		LIST,
		ANSWER,
		CONFIG,
		REMOVED
	};

	for (Signal signal : {LIST, ANSWER, CONFIG, REMOVED}) {
		RouteFixture r;
		struct rt_pick p;
		uint64_t id = r.put_upstream("10.0.0.1:1", 4);

		r.put_upstream("10.0.0.2:1", 1);
		r.step();
		do
			ASSERT_EQ(r.pick(&p), CW_OK);
		while (p.upstream_id != id);
		if (signal == LIST) {
			struct bd_vm vm = {};
			vm.id = 9;
			vm.kind = BD_VM_UPSTREAM;
			vm.state = BD_VM_LEAVING;
			strcpy(vm.address, "10.0.0.1:1");
			r.put(BD_TABLE_vm, BD_WRITER_VM_LIST, vm);
		} else if (signal == CONFIG)
			r.put_upstream("10.0.0.1:1", 4, "z1", "r1", 1);
		else if (signal == REMOVED)
			bd_remove(
			    r.board, BD_TABLE_runner, BD_WRITER_STATE, id);
		r.done(p, RT_OUTCOME_OK, 1000, signal == ANSWER);
		// An answer takes effect at once, a table change with the next
		// index.
		if (signal != ANSWER)
			r.step(3000);
		for (int i = 0; i < 20; i++) {
			if (r.pick(&p) != CW_OK)
				continue;
			EXPECT_NE(p.upstream_id, id) << signal;
			r.done(p, RT_OUTCOME_OK);
		}
	}
}

// Guards against a reused table row whose new upstream inherits the load and
// failures of the old one.
TEST(RoutePick, ReusedRowResetsStatistics)
{
	RouteFixture r;
	struct rt_pick old;
	struct rt_pick p;
	uint64_t id = r.put_upstream("10.0.0.1:1", 1);
	struct rt_upstream_load load = {id, 1};

	r.step();
	ASSERT_EQ(r.pick(&old), CW_OK);
	rt_peer_load_set(r.route, 5, &load, 1);
	bd_remove(r.board, BD_TABLE_runner, BD_WRITER_STATE, id);
	r.put_upstream("10.0.0.2:1", 2);
	r.step();
	ASSERT_EQ(r.pick(&p), CW_OK);
	EXPECT_EQ(p.upstream_handle.index, old.upstream_handle.index);
	r.done(old, RT_OUTCOME_LOST, 1000, true);
	r.done(p, RT_OUTCOME_OK);
	EXPECT_EQ(r.pick(&p), CW_OK);
}

} // namespace
