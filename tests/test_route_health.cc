#include <algorithm>
#include <vector>

#include "route_fixture.h"

namespace {

uint32_t
state_of(Router &r, uint64_t runner)
{
	bd_read_begin();
	const struct bd_health *row = bd_health_lookup(r.board, runner);
	uint32_t state = row == nullptr ? (uint32_t)BD_HEALTH_UP : row->state;
	bd_read_end();
	return state;
}

// Sends n requests; the runners in bad fail each with the outcome.
int
load(Router &r, int n, const std::vector<uint64_t> &bad,
    enum rt_outcome_kind kind, int64_t took_us = 1000)
{
	int failed = 0;
	struct rt_pick p;

	for (int i = 0; i < n; i++) {
		if (r.pick(&p) != CW_OK)
			continue;
		bool fails =
		    std::find(bad.begin(), bad.end(), p.runner_id) != bad.end();
		failed += fails;
		r.done(p, fails ? kind : RT_OUTCOME_OK, fails ? took_us : 1000);
	}
	return failed;
}

// As many requests at once as there are places; those of bad are lost.
void
burst(Router &r, uint64_t bad)
{
	std::vector<struct rt_pick> picks;
	struct rt_pick p;

	while (r.pick(&p) == CW_OK)
		picks.push_back(p);
	for (const struct rt_pick &q : picks)
		r.done(q, q.runner_id == bad ? RT_OUTCOME_LOST : RT_OUTCOME_OK);
}

// Guards against a failing runner that keeps its traffic, one that never comes
// back, and one that gets full traffic at once.
TEST(RouteHealth, EjectionProbeSlowStart)
{
	Router r;
	std::vector<uint64_t> ids;

	for (int i = 0; i < 10; i++)
		ids.push_back(
		    r.runner("10.0.0." + std::to_string(i) + ":1", 8));
	r.step(300);
	for (int i = 0; i < 40; i++) {
		load(r, 100, {ids[0]}, RT_OUTCOME_LOST);
		r.step(300);
	}
	EXPECT_NE(state_of(r, ids[0]), (uint32_t)BD_HEALTH_UP);
	EXPECT_GT(rt_counter_read(r.route, RT_COUNT_EJECTIONS), 1u);
	// While it fails it gets a probe now and then only.
	EXPECT_LT(load(r, 1000, {ids[0]}, RT_OUTCOME_LOST), 2);
	bool slow = false;
	int64_t began = r.now_ms;
	while (
	    state_of(r, ids[0]) != BD_HEALTH_UP && r.now_ms < began + 120000) {
		load(r, 5, {}, RT_OUTCOME_OK);
		r.step(300);
		slow |= state_of(r, ids[0]) == BD_HEALTH_SLOW_START;
	}
	EXPECT_TRUE(slow);
	EXPECT_EQ(state_of(r, ids[0]), (uint32_t)BD_HEALTH_UP);
}

// Guards against a common fault that ejects a whole service.
TEST(RouteHealth, EjectsAtMostThirtyPercent)
{
	Router r;
	std::vector<uint64_t> ids;

	for (int i = 0; i < 10; i++)
		ids.push_back(
		    r.runner("10.0.0." + std::to_string(i) + ":1", 8));
	r.step(300);
	for (int i = 0; i < 20; i++) {
		load(r, 200, ids, RT_OUTCOME_ERROR);
		r.step(300);
		int out = 0;
		for (uint64_t id : ids)
			out += state_of(r, id) != BD_HEALTH_UP;
		ASSERT_LE(out, 3);
	}
	EXPECT_GT(rt_counter_read(r.route, RT_COUNT_EJECTIONS), 2u);
}

// Guards against push-back, silent kept connections and callers with short
// deadlines that are held against a healthy runner.
TEST(RouteHealth, WhatIsNoFailureOfTheRunner)
{
	for (enum rt_outcome_kind kind :
	    {RT_OUTCOME_PUSHBACK, RT_OUTCOME_SILENT, RT_OUTCOME_TIMEOUT}) {
		Router r;
		uint64_t id = r.runner("10.0.0.1:1", 8);

		r.runner("10.0.0.2:1", 8);
		r.step(300);
		load(r, 100, {}, RT_OUTCOME_OK);
		for (int i = 0; i < 20; i++) {
			load(r, 100, {id}, kind, 2000);
			r.step(300);
		}
		EXPECT_EQ(state_of(r, id), (uint32_t)BD_HEALTH_UP)
		    << rt_outcome_name(kind);
	}
}

// Guards against a 429 that changes nothing: the runner gets less for a while.
TEST(RouteHealth, PushbackLowersTheWeightForAWhile)
{
	Router r;
	uint64_t id = r.runner("10.0.0.1:1", 8);
	struct rt_pick p;

	r.runner("10.0.0.2:1", 8);
	r.step(300);
	load(r, 100, {}, RT_OUTCOME_OK);
	do
		ASSERT_EQ(r.pick(&p), CW_OK);
	while (p.runner_id != id);
	r.done(p, RT_OUTCOME_PUSHBACK);
	EXPECT_LT(load(r, 100, {id}, RT_OUTCOME_OK), 10);
	r.now_ms += 1100;
	EXPECT_GT(load(r, 100, {id}, RT_OUTCOME_OK), 25);
}

// Guards against a paused daemon that ejects runners for the connections that
// died while it slept.
TEST(RouteHealth, PauseIsNotHeldAgainstRunners)
{
	Router r;
	uint64_t id = r.runner("10.0.0.1:1", 8);

	r.runner("10.0.0.2:1", 8);
	r.step(300);
	burst(r, id);
	r.step(30000);
	EXPECT_EQ(state_of(r, id), (uint32_t)BD_HEALTH_UP);
	burst(r, id);
	r.step(300);
	EXPECT_EQ(state_of(r, id), (uint32_t)BD_HEALTH_EJECTED);
}

} // namespace
