#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include "fleet.h"
#include "route_fixture.h"

namespace {

// A request that rt_admit queues in a thread of its own; order is its rank
// among all such requests by the end of the wait.
struct QueuedRequest {
	QueuedRequest(
	    RouteFixture &router, uint64_t account, enum bd_class c, int64_t ms)
	    : r(router)
	{
		a = r.admission(true, account);
		a.class_number = c;
		a.deadline_us = (r.now_ms + ms) * 1000;
		thread = std::thread([this] {
			struct rt_refusal refusal = {};
			code = rt_admit(
			    r.route, &a, r.now_ms * 1000, &pick, &refusal);
			order = ++sequence;
		});
	}
	~QueuedRequest()
	{
		thread.join();
	}
	QueuedRequest(const QueuedRequest &) = delete;
	QueuedRequest &operator=(const QueuedRequest &) = delete;

	RouteFixture &r;
	struct rt_admission a;
	struct rt_pick pick = {};
	std::atomic<int> code{1};
	std::atomic<int> order{0};
	std::thread thread;
	static std::atomic<int> sequence;
};
std::atomic<int> QueuedRequest::sequence{0};

void
wait_for_queued(RouteFixture &r, uint64_t n)
{
	while (rt_counter_read(r.route, RT_COUNT_QUEUED) < n)
		std::this_thread::yield();
}

// Guards against requests above this VM's share of a limit: a floor of half the
// limit divided by the VMs, plus a lease until it expires, also if the fleet
// has not withdrawn it.
TEST(RouteLimit, FloorAndLease)
{
	RouteFixture r;
	struct rt_refusal refusal;
	uint64_t account = r.put_account("himal", 800, 16);
	auto enter = [&](bool leave) {
		int n = 0;
		while (rt_request_begin(r.route, account, r.now_ms * 1000,
			   &refusal) == CW_OK)
			n++;
		for (int i = 0; leave && i < n; i++)
			rt_request_end(r.route, account);
		return n;
	};
	r.put_config(4, 0);
	EXPECT_EQ(enter(true), 2) << "without a share: concurrency 16 / 2 / 4";
	struct bd_share share = {account, 100, 2, 100, 30, r.now_ms + 3000};
	r.put(BD_TABLE_share, BD_WRITER_LIMITS, share);
	EXPECT_EQ(enter(true), 32);
	struct rt_demand demand[4];
	ASSERT_EQ(rt_demand_read(r.route, demand, 4), 1u);
	EXPECT_EQ(demand[0].account, account);
	EXPECT_GE(demand[0].concurrency, 33u)
	    << "refused requests count as demand";
	r.now_ms += 3001;
	EXPECT_EQ(enter(true), 2) << "expired before the fleet withdrew it";

	share.rate_per_s = share.concurrency = UINT32_MAX;
	share.lease_until_ms = r.now_ms + 3000;
	r.put(BD_TABLE_share, BD_WRITER_LIMITS, share);
	for (int i = 0; i < 1000; i++)
		ASSERT_EQ(rt_request_begin(
			      r.route, account, r.now_ms * 1000, &refusal),
		    CW_OK);
	for (int i = 0; i < 1000; i++)
		rt_request_end(r.route, account);
	bd_remove(r.board, BD_TABLE_share, BD_WRITER_LIMITS, account);
	r.put_account("himal", 800, 0);
	r.step(10000);
	EXPECT_EQ(enter(true), 25) << "800 / 2 / 4 a second for 250 ms";
	EXPECT_EQ(rt_request_begin(r.route, account, r.now_ms * 1000, &refusal),
	    RT_ERATE);
	EXPECT_GE(refusal.retry_after_ms, 1u);
	r.now_ms += 100;
	EXPECT_EQ(enter(true), 10);
	EXPECT_EQ(rt_in_flight(r.route), 0u);
}

// Guards against an account that is never served because its limit is lower
// than the number of VMs, and against floors whose sum exceeds the limit.
TEST(RouteLimit, LimitBelowNumberOfVms)
{
	RouteFixture r;
	struct rt_refusal refusal;
	struct rt_demand demand[4];
	struct fl_holder holder = {};
	struct fl_share_list ask = {};
	uint64_t account = r.put_account("himal", 4, 4);
	auto read_demand = [](void *ctx, uint64_t id, uint32_t *rate,
			       uint32_t *concurrency) {
		const struct rt_demand *d = static_cast<rt_demand *>(ctx);
		*rate = id == d->account ? d->rate_per_s : 0;
		*concurrency = id == d->account ? d->concurrency : 0;
	};
	struct fl_route_hooks hooks = {};

	for (uint32_t vms = 0; vms < 12; vms++)
		for (uint32_t limit = 0; limit < 60; limit++)
			EXPECT_LE(bd_share_floor(limit, vms) * vms, limit);
	EXPECT_EQ(bd_share_floor(9, 9), 1u);
	r.put_config(9, 0);
	EXPECT_NE(rt_request_begin(r.route, account, r.now_ms * 1000, &refusal),
	    CW_OK);
	EXPECT_GT(refusal.retry_after_ms, 0u);
	ASSERT_EQ(rt_demand_read(r.route, demand, 4), 1u);
	hooks.demand = read_demand;
	hooks.ctx = &demand[0];
	fl_holder_read_limits(&holder, r.board);
	ASSERT_TRUE(fl_holder_request(&holder, &hooks, r.now_ms, &ask));
	ASSERT_EQ(ask.count, 1u);
	EXPECT_EQ(ask.entries[0].rate_per_s, 1u);
	EXPECT_EQ(ask.entries[0].concurrency, 1u);
	ASSERT_EQ(fl_holder_grant(&holder, &ask, r.now_ms), CW_OK);
	ASSERT_EQ(fl_holder_apply(&holder, r.board), CW_OK);
	EXPECT_EQ(rt_request_begin(r.route, account, r.now_ms * 1000, &refusal),
	    CW_OK);
	EXPECT_EQ(rt_request_begin(r.route, account, r.now_ms * 1000, &refusal),
	    RT_ECONCURRENCY);
	rt_request_end(r.route, account);
	r.now_ms += FL_SHARE_LEASE_MS;
	EXPECT_NE(rt_request_begin(r.route, account, r.now_ms * 1000, &refusal),
	    CW_OK)
	    << "the lease has expired";
}

// Guards against a wrong queue order: by class, then fair among accounts, then
// by deadline within an account.
TEST(RouteLimit, QueueOrder)
{
	RouteFixture r;
	struct rt_pick held;
	uint64_t a = cw_id_from_name("himal");
	uint64_t b = cw_id_from_name("other");

	r.put_upstream("10.0.0.1:1", 1);
	r.step();
	ASSERT_EQ(r.pick(&held), CW_OK);
	QueuedRequest w1(r, a, BD_CLASS_NORMAL, 9000);
	wait_for_queued(r, 1);
	QueuedRequest w2(r, a, BD_CLASS_NORMAL, 8000);
	wait_for_queued(r, 2);
	QueuedRequest w3(r, b, BD_CLASS_NORMAL, 8500);
	wait_for_queued(r, 3);
	QueuedRequest w4(r, b, BD_CLASS_URGENT, 9500);
	wait_for_queued(r, 4);
	QueuedRequest *expected[] = {&w4, &w2, &w3, &w1};
	r.done(held, RT_OUTCOME_OK);
	int last = 0;
	for (QueuedRequest *w : expected) {
		while (w->order == 0)
			std::this_thread::yield();
		EXPECT_EQ(w->code, CW_OK);
		EXPECT_GT(w->order, last);
		last = w->order;
		r.done(w->pick, RT_OUTCOME_OK);
	}
}

// Guards against requests that are queued although they cannot succeed: beyond
// the deadline or a queue limit they are refused at once with a retry time.
TEST(RouteLimit, EarlyRefusal)
{
	RouteFixture r;
	struct rt_pick held;
	struct rt_pick p;
	struct rt_refusal refusal = {};
	struct rt_admission a = r.admission();

	EXPECT_EQ(rt_admit(r.route, &a, r.now_ms * 1000, &p, &refusal),
	    RT_ENOUPSTREAM);
	r.put_account("himal", 0, 0, 1);
	r.put_upstream("10.0.0.1:1", 1);
	r.step();
	ASSERT_EQ(r.pick(&held), CW_OK);
	r.done(held, RT_OUTCOME_OK, 2000000);
	ASSERT_EQ(r.pick(&held), CW_OK);
	a.deadline_us = (r.now_ms + 3000) * 1000;
	EXPECT_EQ(
	    rt_admit(r.route, &a, r.now_ms * 1000, &p, &refusal), RT_EDEADLINE);
	EXPECT_EQ(refusal.retry_after_ms, 2000u);
	{
		QueuedRequest w(r, a.account, BD_CLASS_NORMAL, 9000);
		wait_for_queued(r, 1);
		a.deadline_us = (r.now_ms + 100000) * 1000;
		EXPECT_EQ(rt_admit(r.route, &a, r.now_ms * 1000, &p, &refusal),
		    RT_EQUEUEFULL);
		// The queue limit of one account does not affect another.
		QueuedRequest other(
		    r, cw_id_from_name("other"), BD_CLASS_NORMAL, 9000);
		wait_for_queued(r, 2);
		r.done(held, RT_OUTCOME_OK);
		for (QueuedRequest *x : {&w, &other}) {
			while (x->order == 0)
				std::this_thread::yield();
			EXPECT_EQ(x->code, CW_OK);
			r.done(x->pick, RT_OUTCOME_OK);
		}
	}
}

// Guards against a burst of one account that delays another: behind 3 queued
// requests of the one, the other's first request is served second.
TEST(RouteLimit, OverloadOfOneAccountDoesNotDelayOthers)
{
	RouteFixture r;
	struct rt_pick held;

	r.put_upstream("10.0.0.1:1", 1);
	r.step();
	ASSERT_EQ(r.pick(&held), CW_OK);
	std::vector<std::unique_ptr<QueuedRequest>> overloaded;
	for (int i = 0; i < 3; i++) {
		overloaded.push_back(std::make_unique<QueuedRequest>(
		    r, cw_id_from_name("himal"), BD_CLASS_NORMAL, 5000 + i));
		wait_for_queued(r, (uint64_t)i + 1);
	}
	QueuedRequest other(r, cw_id_from_name("other"), BD_CLASS_NORMAL, 9000);
	wait_for_queued(r, 4);
	r.done(held, RT_OUTCOME_OK);
	while (overloaded[0]->order == 0)
		std::this_thread::yield();
	r.done(overloaded[0]->pick, RT_OUTCOME_OK);
	while (other.order == 0)
		std::this_thread::yield();
	EXPECT_EQ(overloaded[1]->order, 0);
	r.done(other.pick, RT_OUTCOME_OK);
	for (int i = 1; i < 3; i++) {
		while (overloaded[i]->order == 0)
			std::this_thread::yield();
		r.done(overloaded[i]->pick, RT_OUTCOME_OK);
	}
}

// Guards against a shutdown that accepts new requests or does not wait for
// those in flight.
TEST(RouteLimit, Drain)
{
	RouteFixture r;
	struct rt_refusal refusal = {};
	uint64_t account = cw_id_from_name("himal");

	r.step();
	ASSERT_EQ(rt_request_begin(r.route, account, r.now_ms * 1000, &refusal),
	    CW_OK);
	rt_drain(r.route);
	EXPECT_EQ(rt_request_begin(r.route, account, r.now_ms * 1000, &refusal),
	    RT_EDRAINING);
	EXPECT_GT(refusal.retry_after_ms, 0u);
	EXPECT_FALSE(rt_drain_wait(r.route, 10));
	std::thread last([&] {
		rt_request_end(r.route, account);
	});
	EXPECT_TRUE(rt_drain_wait(r.route, 20000));
	last.join();
}

} // namespace
