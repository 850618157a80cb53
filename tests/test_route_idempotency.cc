#include <thread>

#include "route_fixture.h"

namespace {

struct rt_idempotency_key
make_key(RouteFixture &r, const char *name, uint64_t body = 5)
{
	struct rt_idempotency_key key = {};
	rt_idempotency_key_init(&key, cw_id_from_name("himal"), name);
	key.service = r.service;
	key.body_hash = body;
	return key;
}

struct rt_answer
answer_of(RouteFixture &r, uint64_t request, std::string *body)
{
	struct rt_answer a = {};
	a.owner = r.self;
	a.request = request;
	a.account = cw_id_from_name("himal");
	a.http_status = 201;
	a.ran = RT_RAN_YES;
	strcpy(a.content_type, "text/plain");
	a.body = &(*body)[0];
	a.body_bytes = body->size();
	return a;
}

// Guards against two runs of one key: when it is repeated concurrently on
// another VM, while its request runs, and afterwards.
TEST(RouteIdempotency, ConcurrentRepeatsRunOnceAcrossVms)
{
	RouteFixture a(11);
	RouteFixture b(22);
	FakeReplicatedLog log({&a, &b});
	struct st_sink to_a = log.sink(a);
	struct st_sink to_b = log.sink(b);
	struct rt_idempotency_result known;
	int runs = 0;

	for (int i = 0; i < 200; i++) {
		std::string name = "key" + std::to_string(i);
		struct rt_idempotency_key key = make_key(a, name.c_str());
		int code_a = 1;
		int code_b = 1;
		std::thread at_b([&] {
			code_b = rt_idempotency_begin(
			    b.route, &key, 500, &to_b, 20000);
		});
		code_a = rt_idempotency_begin(a.route, &key, 500, &to_a, 20000);
		at_b.join();
		ASSERT_EQ((code_a == CW_OK) + (code_b == CW_OK), 1);
		ASSERT_EQ(
		    (code_a == RT_EINPROGRESS) + (code_b == RT_EINPROGRESS), 1);
		runs++;
	}
	EXPECT_EQ(log.applied[REC_REQ_INTENT], runs);
	struct rt_idempotency_key key = make_key(a, "x");
	ASSERT_EQ(rt_idempotency_begin(a.route, &key, 7, &to_a, 20000), CW_OK);
	EXPECT_EQ(rt_idempotency_lookup(b.route, &key, &known), RT_EINPROGRESS);
	EXPECT_EQ(known.answer.owner, 11u);
	EXPECT_TRUE(known.owner_lost) << "owner is not in the member table";
	std::string body("the\0answer", 10);
	struct rt_answer answer = answer_of(a, 7, &body);
	rt_idempotency_complete(a.route, &key, &answer, &to_a);
	ASSERT_EQ(rt_idempotency_lookup(b.route, &key, &known), RT_EREPEATED);
	EXPECT_TRUE(known.answer_stored);
	EXPECT_EQ(known.answer.http_status, 201);
	EXPECT_STREQ(known.answer.content_type, "text/plain");
	EXPECT_EQ(
	    std::string(known.answer.body, known.answer.body_bytes), body);
	free(known.answer.body);
	struct rt_idempotency_key other = make_key(a, "x", 6);
	EXPECT_EQ(
	    rt_idempotency_lookup(b.route, &other, &known), RT_EKEYREUSED);
}

// Guards against an answer above the size limit that blocks the log or is
// returned truncated.
TEST(RouteIdempotency, LargeAnswerKeepsItsStatus)
{
	RouteFixture r;
	FakeReplicatedLog log({&r});
	struct st_sink sink = log.sink(r);
	struct rt_idempotency_key key = make_key(r, "x");
	struct rt_idempotency_result known;
	std::string body(REC_ANSWER_BYTES_MAX, 'x');
	struct rt_answer answer = answer_of(r, 7, &body);

	ASSERT_EQ(rt_idempotency_begin(r.route, &key, 7, &sink, 20000), CW_OK);
	rt_idempotency_complete(r.route, &key, &answer, &sink);
	ASSERT_EQ(rt_idempotency_lookup(r.route, &key, &known), RT_EREPEATED);
	EXPECT_FALSE(known.answer_stored);
	EXPECT_EQ(known.answer.http_status, 201);
	EXPECT_EQ(known.answer.body, nullptr);
}

// Guards against a run without an applied intent while the log is unreachable,
// and against a key that stays blocked by an intent whose request was refused.
TEST(RouteIdempotency, LogOutageAndLostAnswer)
{
	RouteFixture r;
	FakeReplicatedLog log({&r});
	struct st_sink sink = log.sink(r);
	struct rt_idempotency_key key = make_key(r, "x");
	struct rt_idempotency_result known;

	log.mode = FakeReplicatedLog::OUTAGE;
	EXPECT_EQ(
	    rt_idempotency_begin(r.route, &key, 1, &sink, 20000), RT_ELOG);
	log.mode = FakeReplicatedLog::SILENT;
	EXPECT_EQ(rt_idempotency_begin(r.route, &key, 2, &sink, 10), RT_ELOG);
	log.mode = FakeReplicatedLog::LOST_ANSWER;
	EXPECT_EQ(
	    rt_idempotency_begin(r.route, &key, 3, &sink, 20000), RT_ELOG);
	EXPECT_EQ(rt_idempotency_lookup(r.route, &key, &known), RT_EINPROGRESS);
	log.mode = FakeReplicatedLog::UP;
	rt_idempotency_step(r.route, &sink, cw_clock_mono_ms());
	EXPECT_EQ(rt_idempotency_lookup(r.route, &key, &known), RT_ENOTFOUND);
	EXPECT_EQ(rt_idempotency_begin(r.route, &key, 4, &sink, 20000), CW_OK);
	// The release of request 3 must not release request 4.
	rt_idempotency_step(r.route, &sink, cw_clock_mono_ms() + 5000);
	EXPECT_EQ(rt_idempotency_lookup(r.route, &key, &known), RT_EINPROGRESS);
}

// Guards against an outcome that is lost because the log was unreachable when
// the request ended.
TEST(RouteIdempotency, OutcomeIsProposedUntilApplied)
{
	RouteFixture r;
	FakeReplicatedLog log({&r});
	struct st_sink sink = log.sink(r);
	struct rt_idempotency_key key = make_key(r, "x");
	struct rt_idempotency_result known;
	std::string body = "done";
	struct rt_answer answer = answer_of(r, 7, &body);

	ASSERT_EQ(rt_idempotency_begin(r.route, &key, 7, &sink, 20000), CW_OK);
	log.mode = FakeReplicatedLog::OUTAGE;
	rt_idempotency_complete(r.route, &key, &answer, &sink);
	int64_t now = cw_clock_mono_ms();
	for (int i = 1; i <= 3; i++)
		rt_idempotency_step(r.route, &sink, now + i * 3000);
	EXPECT_EQ(rt_idempotency_lookup(r.route, &key, &known), RT_EINPROGRESS);
	log.mode = FakeReplicatedLog::UP;
	for (int i = 4; i <= 9; i++)
		rt_idempotency_step(r.route, &sink, now + i * 3000);
	EXPECT_EQ(rt_idempotency_lookup(r.route, &key, &known), RT_EREPEATED);
	free(known.answer.body);
	EXPECT_EQ(log.applied[REC_REQ_OUTCOME], 1);
	EXPECT_EQ(log.proposed[REC_REQ_OUTCOME], 5);
}

// Guards against answers that are dropped before the retention time, kept
// beyond it, or that exceed the total size limit.
TEST(RouteIdempotency, AnswersAreKeptForRetentionTimeWithinSizeLimit)
{
	RouteFixture r;
	std::string body(64 * 1024, 'x');
	struct rt_answer out;
	uint64_t first = rt_request_number(r.route);
	struct rt_answer running = answer_of(r, first, &body);

	running.running = true;
	running.body_bytes = 0;
	ASSERT_EQ(rt_answer_put(r.route, &running, 1000), CW_OK);
	uint64_t kept = rt_request_number(r.route);
	struct rt_answer answer = answer_of(r, kept, &body);
	ASSERT_EQ(rt_answer_put(r.route, &answer, 1000), CW_OK);
	rt_answer_step(r.route, 1000 + 599000);
	ASSERT_EQ(rt_answer_get(r.route, kept, &out), CW_OK);
	EXPECT_EQ(std::string(out.body, out.body_bytes), body);
	free(out.body);
	rt_answer_step(r.route, 1000 + 600000);
	EXPECT_EQ(rt_answer_get(r.route, kept, &out), RT_ENOTFOUND);
	int found = 0;
	std::vector<uint64_t> all;
	for (int i = 0; i < 1000; i++) {
		answer.request = rt_request_number(r.route);
		all.push_back(answer.request);
		ASSERT_EQ(rt_answer_put(r.route, &answer, 700000), CW_OK);
	}
	for (uint64_t request : all)
		if (rt_answer_get(r.route, request, &out) == CW_OK) {
			found++;
			free(out.body);
		}
	EXPECT_LE(found, 32 * 16);
	EXPECT_GE(found, 32 * 16 - 8);
	ASSERT_EQ(rt_answer_get(r.route, first, &out), CW_OK);
	EXPECT_TRUE(out.running);
	free(out.body);
}

// Guards against malformed ids that are taken for another request.
TEST(RouteIdempotency, IdFormatAndParse)
{
	char id[RT_ID_BYTES];
	uint64_t owner;
	uint64_t request;

	rt_id_format(0xfedcba9876543210, 42, id);
	EXPECT_STREQ(id, "fedcba9876543210000000000000002a");
	ASSERT_EQ(rt_id_parse(id, &owner, &request), CW_OK);
	EXPECT_EQ(owner, 0xfedcba9876543210);
	EXPECT_EQ(request, 42u);
	for (const char *bad : {"", "1", "fedcba9876543210000000000000002A",
		 "fedcba9876543210000000000000002a0",
		 "fedcba987654321000000000000000 a"})
		EXPECT_EQ(rt_id_parse(bad, &owner, &request), RT_ENOTFOUND);
}

} // namespace
