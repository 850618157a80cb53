#include <algorithm>
#include <vector>

#include "route_fixture.h"

namespace {

uint32_t
state_of(RouteFixture &r, uint64_t upstream)
{
	bd_read_begin();
	const struct bd_health *row = bd_health_lookup(r.board, upstream);
	uint32_t state = row == nullptr ? (uint32_t)BD_HEALTH_UP : row->state;
	bd_read_end();
	return state;
}

// Sends n requests one by one; those to upstreams in failing end with the given
// outcome. Returns the number of these.
int
send_requests(RouteFixture &r, int n, const std::vector<uint64_t> &failing,
    enum rt_outcome_kind kind, int64_t took_us = 1000)
{
	int failed = 0;
	struct rt_pick p;

	for (int i = 0; i < n; i++) {
		if (r.pick(&p) != CW_OK)
			continue;
		bool fails = std::find(failing.begin(), failing.end(),
				 p.upstream_id) != failing.end();
		failed += fails;
		r.done(p, fails ? kind : RT_OUTCOME_OK, fails ? took_us : 1000);
	}
	return failed;
}

// Sends as many concurrent requests as there are slots; those to the failing
// upstream are lost.
void
send_burst(RouteFixture &r, uint64_t failing)
{
	std::vector<struct rt_pick> picks;
	struct rt_pick p;

	while (r.pick(&p) == CW_OK)
		picks.push_back(p);
	for (const struct rt_pick &q : picks)
		r.done(q,
		    q.upstream_id == failing ? RT_OUTCOME_LOST : RT_OUTCOME_OK);
}

// Guards against a failing upstream that keeps its traffic, one that is never
// readmitted after it recovers, and one that is readmitted without slow start.
TEST(RouteHealth, EjectionProbeSlowStart)
{
	RouteFixture r;
	std::vector<uint64_t> ids;

	for (int i = 0; i < 10; i++)
		ids.push_back(
		    r.put_upstream("10.0.0." + std::to_string(i) + ":1", 8));
	r.step(300);
	for (int i = 0; i < 40; i++) {
		send_requests(r, 100, {ids[0]}, RT_OUTCOME_LOST);
		r.step(300);
	}
	EXPECT_NE(state_of(r, ids[0]), (uint32_t)BD_HEALTH_UP);
	EXPECT_GT(rt_counter_read(r.route, RT_COUNT_EJECTIONS), 1u);
	// An ejected upstream gets occasional probes only.
	EXPECT_LT(send_requests(r, 1000, {ids[0]}, RT_OUTCOME_LOST), 2);
	bool slow = false;
	int64_t began = r.now_ms;
	while (
	    state_of(r, ids[0]) != BD_HEALTH_UP && r.now_ms < began + 120000) {
		send_requests(r, 5, {}, RT_OUTCOME_OK);
		r.step(300);
		slow |= state_of(r, ids[0]) == BD_HEALTH_SLOW_START;
	}
	EXPECT_TRUE(slow);
	EXPECT_EQ(state_of(r, ids[0]), (uint32_t)BD_HEALTH_UP);
}

// Guards against ejection of a whole service when all upstreams fail.
TEST(RouteHealth, EjectsAtMostThirtyPercent)
{
	RouteFixture r;
	std::vector<uint64_t> ids;

	for (int i = 0; i < 10; i++)
		ids.push_back(
		    r.put_upstream("10.0.0." + std::to_string(i) + ":1", 8));
	r.step(300);
	for (int i = 0; i < 20; i++) {
		send_requests(r, 200, ids, RT_OUTCOME_ERROR);
		r.step(300);
		int ejected_count = 0;
		for (uint64_t id : ids)
			ejected_count += state_of(r, id) != BD_HEALTH_UP;
		ASSERT_LE(ejected_count, 3);
	}
	EXPECT_GT(rt_counter_read(r.route, RT_COUNT_EJECTIONS), 2u);
}

// Guards against ejection of a healthy upstream after 429, silent reused
// connections, or timeouts of callers with short deadlines.
TEST(RouteHealth, PushbackSilenceAndShortTimeoutsDoNotEject)
{
	for (enum rt_outcome_kind kind :
	    {RT_OUTCOME_PUSHBACK, RT_OUTCOME_SILENT, RT_OUTCOME_TIMEOUT}) {
		RouteFixture r;
		uint64_t id = r.put_upstream("10.0.0.1:1", 8);

		r.put_upstream("10.0.0.2:1", 8);
		r.step(300);
		send_requests(r, 100, {}, RT_OUTCOME_OK);
		for (int i = 0; i < 20; i++) {
			send_requests(r, 100, {id}, kind, 2000);
			r.step(300);
		}
		EXPECT_EQ(state_of(r, id), (uint32_t)BD_HEALTH_UP)
		    << rt_outcome_name(kind);
	}
}

// Guards against a 429 without effect: the upstream gets less traffic for 1 s.
TEST(RouteHealth, PushbackLowersTheWeightTemporarily)
{
	RouteFixture r;
	uint64_t id = r.put_upstream("10.0.0.1:1", 8);
	struct rt_pick p;

	r.put_upstream("10.0.0.2:1", 8);
	r.step(300);
	send_requests(r, 100, {}, RT_OUTCOME_OK);
	do
		ASSERT_EQ(r.pick(&p), CW_OK);
	while (p.upstream_id != id);
	r.done(p, RT_OUTCOME_PUSHBACK);
	EXPECT_LT(send_requests(r, 100, {id}, RT_OUTCOME_OK), 10);
	r.now_ms += 1100;
	EXPECT_GT(send_requests(r, 100, {id}, RT_OUTCOME_OK), 25);
}

// Guards against ejection of upstreams for connections that were lost while the
// daemon itself was paused.
TEST(RouteHealth, ProcessPauseDoesNotEject)
{
	RouteFixture r;
	uint64_t id = r.put_upstream("10.0.0.1:1", 8);

	r.put_upstream("10.0.0.2:1", 8);
	r.step(300);
	send_burst(r, id);
	r.step(30000);
	EXPECT_EQ(state_of(r, id), (uint32_t)BD_HEALTH_UP);
	send_burst(r, id);
	r.step(300);
	EXPECT_EQ(state_of(r, id), (uint32_t)BD_HEALTH_EJECTED);
}

} // namespace
