#include <algorithm>

#include "route_fixture.h"

namespace {

struct rt_retry_query
query(enum rt_outcome_kind outcome, bool idempotent, bool started)
{
	struct rt_retry_query q = {};
	q.outcome = outcome;
	q.http_status = outcome == RT_OUTCOME_ERROR ? 503 : 0;
	q.attempt = 1;
	q.attempts_max = 3;
	q.idempotent = idempotent;
	q.started = started;
	q.deadline_us = 10000000;
	return q;
}

// Guards against retries of requests that are not idempotent and may have run,
// and of answers of the service itself.
TEST(RouteRetry, OnlySafeRequestsAreRetried)
{
	struct {
		enum rt_outcome_kind outcome;
		bool idempotent;
		bool started;
		enum rt_verdict verdict;
	} cases[] = {
	    {RT_OUTCOME_OK, true, true, RT_VERDICT_FINAL},
	    {RT_OUTCOME_LOST, true, true, RT_VERDICT_RETRY},
	    {RT_OUTCOME_TRUNCATED, true, true, RT_VERDICT_RETRY},
	    {RT_OUTCOME_SILENT, true, true, RT_VERDICT_RETRY},
	    {RT_OUTCOME_ERROR, true, true, RT_VERDICT_RETRY},
	    {RT_OUTCOME_PUSHBACK, true, true, RT_VERDICT_RETRY},
	    {RT_OUTCOME_NOT_STARTED, false, false, RT_VERDICT_RETRY},
	    {RT_OUTCOME_LOST, false, true, RT_VERDICT_UNSAFE},
	    {RT_OUTCOME_TRUNCATED, false, true, RT_VERDICT_UNSAFE},
	    {RT_OUTCOME_TIMEOUT, false, true, RT_VERDICT_UNSAFE},
	    {RT_OUTCOME_ERROR, false, true, RT_VERDICT_UNSAFE},
	    {RT_OUTCOME_NOT_STARTED, false, true, RT_VERDICT_UNSAFE},
	};
	for (auto &c : cases) {
		RouteFixture r;
		for (int i = 0; i < 10; i++)
			rt_retry_first_attempt(r.route);
		struct rt_retry_query q =
		    query(c.outcome, c.idempotent, c.started);
		EXPECT_EQ(rt_retry_decide(r.route, &q, 0, 7).verdict, c.verdict)
		    << rt_outcome_name(c.outcome) << c.idempotent;
	}
	RouteFixture r;
	for (int i = 0; i < 10; i++)
		rt_retry_first_attempt(r.route);
	struct rt_retry_query q = query(RT_OUTCOME_ERROR, true, true);
	q.http_status = 500;
	EXPECT_EQ(rt_retry_decide(r.route, &q, 0, 7).verdict, RT_VERDICT_FINAL);
}

// Guards against a retry storm: when all attempts fail, retries are at most a
// tenth of the first attempts at any time.
TEST(RouteRetry, BudgetIsATenthOfFirstAttempts)
{
	RouteFixture r;
	struct rt_retry_query q = query(RT_OUTCOME_LOST, true, true);
	int retries = 0;

	for (int i = 1; i <= 5000; i++) {
		rt_retry_first_attempt(r.route);
		for (int k = 0; k < 3; k++)
			retries += rt_retry_decide(r.route, &q, 0, 7).verdict ==
			    RT_VERDICT_RETRY;
		ASSERT_LE(retries * 10, i);
	}
	EXPECT_EQ(retries, 500);
	EXPECT_EQ(rt_counter_read(r.route, RT_COUNT_ATTEMPTS), 5500u);
}

// Guards against retries beyond the caller's deadline or the service's maximum
// number of attempts, and against a backoff without jitter or upper bound.
TEST(RouteRetry, DeadlineAttemptsAndBackoff)
{
	RouteFixture r;
	struct rt_retry_query q = query(RT_OUTCOME_LOST, true, true);
	struct cw_rng rng;
	int64_t longest = 0;

	cw_rng_seed(&rng, 42);

	for (int i = 0; i < 2000; i++)
		rt_retry_first_attempt(r.route);
	EXPECT_EQ(rt_retry_decide(r.route, &q, 9999900, 0).verdict,
	    RT_VERDICT_NO_TIME);
	q.attempt = 3;
	EXPECT_EQ(rt_retry_decide(r.route, &q, 0, 0).verdict,
	    RT_VERDICT_NO_ATTEMPTS_LEFT);
	q.attempts_max = 100;
	for (uint32_t i = 0; i < 50; i++) {
		q.attempt = 1 + i;
		struct rt_retry_decision retry =
		    rt_retry_decide(r.route, &q, 0, cw_rng_next(&rng));
		ASSERT_EQ(retry.verdict, RT_VERDICT_RETRY);
		ASSERT_LE(retry.delay_us, (int64_t)5000 << (i < 7 ? i : 7));
		longest = std::max(longest, retry.delay_us);
	}
	EXPECT_GT(longest, 100000);
	EXPECT_LE(longest, 500000);
}

// Guards against a retry on the upstream that has just failed while another has
// a free slot, and against no retry when there is no other.
TEST(RouteRetry, PrefersUntriedUpstream)
{
	RouteFixture r;
	struct rt_pick first;
	struct rt_pick second;
	struct rt_pick third;
	struct rt_admission a = r.admission();

	r.put_upstream("10.0.0.1:1", 2);
	r.put_upstream("10.0.0.2:1", 1);
	r.step();
	ASSERT_EQ(r.pick(&first), CW_OK);
	r.done(first, RT_OUTCOME_LOST);
	struct rt_pick_query q = {&a, &first.upstream_handle, 1};
	ASSERT_EQ(rt_repick(r.route, &q, r.now_ms * 1000, &second), CW_OK);
	EXPECT_NE(second.upstream_handle.index, first.upstream_handle.index);
	struct bd_handle tried[] = {
	    first.upstream_handle, second.upstream_handle};
	q.tried = tried;
	q.tried_count = 2;
	EXPECT_EQ(rt_repick(r.route, &q, r.now_ms * 1000, &third), CW_OK);
}

} // namespace
