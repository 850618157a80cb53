#include <algorithm>

#include "fake_log.h"
#include "front_fixture.h"

namespace {

const char JOB_BODY[] = "{\"name\":\"j\",\"accelerators\":2,\"declared_s\":60}";

const char CONFIG_TEXT[] =
    "[fleet]\nentry_vms = 8\n"
    "[[account]]\nname = \"ops\"\n"
    "key_salt = \"6e41acf051604d642264bfa29f1d0806\"\n"
    "key_sha256 = \"ed3ba7f417dfededfce613b9aa1227a7a9f71748176a"
    "aa575c73dd70a44726e1\"\nrole = \"operator\"\n";

using FrontApi = FrontFixture;

// Guards against calls without the permission for them, and against responses
// that reveal which jobs other accounts have.
TEST_F(FrontApi, EnforcesPermissions)
{
	put_accounts();
	put_job(5, "alpha", BD_JOB_WAITING);
	struct {
		const char *method, *path, *account;
		int status;
	} cases[] = {
	    {"GET", "/v1/jobs/5", "alpha", 200},
	    {"GET", "/v1/jobs/5", "ops", 200},
	    {"GET", "/v1/jobs/5", "beta", 404},
	    {"DELETE", "/v1/jobs/5", "beta", 404},
	    {"GET", "/v1/jobs/5/explain", "beta", 404},
	    {"GET", "/v1/jobs/5/wait?timeout_ms=0", "beta", 404},
	    {"GET", "/v1/jobs/5", "gamma", 401},
	    {"GET", "/v1/jobs/5", nullptr, 401},
	    {"GET", "/v1/workers", "alpha", 403},
	    {"PUT", "/v1/config?base=3", "alpha", 403},
	    {"POST", "/v1/drain", "alpha", 403},
	    {"GET", "/v1/members", "ops", 200},
	    {"GET", "/v1/upstreams", "ops", 200},
	    {"GET", "/ready", nullptr, 200},
	    {"POST", "/ready", nullptr, 405},
	    {"GET", "/v1/jobsx", "ops", 404},
	    {"GET", "/v1/jobs/0", "ops", 404},
	    {"GET", "/v1/jobs/99999999999999999999", "ops", 404},
	    {"GET", "/v1/jobs?state=odd", "ops", 422},
	    {"GET", "/v1/jobs?limit=-1", "ops", 400},
	    {"GET", "/v1/jobs?after=99999999999999999999999", "ops", 400},
	};
	for (auto &c : cases) {
		EXPECT_EQ(serve(c.method, c.path, c.account), c.status)
		    << c.method << " " << c.path << " " << response_body;
		EXPECT_EQ(
		    response_contains("\"ran\":\"not run\""), c.status >= 400);
	}
	EXPECT_TRUE(proposed.empty());
	// A key without an account name, and the key of another account.
	struct fr_caller caller;
	EXPECT_EQ(fr_auth_check(board, nullptr, "beta-key",
		      FR_PERMISSION_CALLER, &caller),
	    CW_OK);
	EXPECT_STREQ(caller.name, "beta");
	EXPECT_EQ(fr_auth_check(board, "alpha", "beta-key",
		      FR_PERMISSION_CALLER, &caller),
	    FR_EUNAUTHENTICATED);
}

// Guards against a list that includes or counts jobs of other accounts, or
// skips jobs between pages.
TEST_F(FrontApi, ListsOwnJobsInPages)
{
	put_accounts();
	for (uint64_t id : {9, 3, 7})
		put_job(id, "alpha", BD_JOB_WAITING);
	put_job(4, "beta", BD_JOB_DONE);
	EXPECT_EQ(serve("GET", "/v1/jobs?limit=2", "alpha"), 200);
	EXPECT_LT(
	    response_body.find("\"id\":3"), response_body.find("\"id\":7"));
	EXPECT_FALSE(
	    response_contains("\"id\":4") || response_contains("\"id\":9"));
	EXPECT_TRUE(response_contains("\"more\":true"));
	serve("GET", "/v1/jobs?after=7", "alpha");
	EXPECT_TRUE(response_contains("\"id\":9") &&
	    response_contains("\"more\":false"));
	serve("GET", "/v1/jobs?account=alpha&state=done", "beta");
	EXPECT_TRUE(response_contains("{\"jobs\":[]"));
	serve("GET", "/v1/jobs?state=done", "ops");
	EXPECT_TRUE(
	    response_contains("\"id\":4") && !response_contains("\"id\":3"));
}

// Guards against a response that misstates whether the record took effect: when
// the log's reply is lost, the response must never say "not run".
TEST_F(FrontApi, SubmitReportsWhetherRecorded)
{
	struct {
		int state, status;
		const char *expected;
	} cases[] = {
	    {CW_OK, 201, "\"id\":4096"},
	    {ST_EUNAVAILABLE, 503, "\"ran\":\"not run\""},
	    {ST_ENOTREADY, 503, "\"retry_after_ms\":1000"},
	    {ST_EFULL, 503, "\"ran\":\"not run\""},
	    {ST_EUNKNOWN, 504, "\"ran\":\"unknown\""},
	    {ST_EREJECTED, 409, "\"ran\":\"not run\""},
	    {ST_EMALFORMED, 500, "\"ran\":\"unknown\""},
	};
	put_accounts();
	for (bool completes : {true, false}) {
		completes_unknown = completes;
		for (auto &c : cases) {
			status = c.state;
			EXPECT_EQ(serve("POST", "/v1/jobs", "alpha", JOB_BODY),
			    c.status)
			    << response_body;
			EXPECT_TRUE(response_contains(c.expected))
			    << response_body;
		}
	}
	EXPECT_EQ(
	    proposed.back().body.job_submit.account, cw_id_from_name("alpha"));
	EXPECT_EQ(proposed.back().body.job_submit.owner, 77u);
	// Completing after the time-out must not access freed memory.
	ASSERT_EQ(delayed_completions.size(), 1u);
	complete_delayed();
	// A sink that fails immediately never completes the proposal.
	on_propose = [](const struct rec &, const struct st_completion &) {
		return (int)ST_EUNAVAILABLE;
	};
	EXPECT_EQ(serve("POST", "/v1/jobs", "alpha", JOB_BODY), 503);
}

// Guards against a second job when a client retries after a lost response, and
// against a key that returns a job with different parameters.
TEST_F(FrontApi, RepeatedIdempotencyKeyMakesOneJob)
{
	put_accounts();
	status = ST_EUNKNOWN;
	EXPECT_EQ(serve("POST", "/v1/jobs", "alpha", JOB_BODY, "k1"), 504);
	// The record reached the log, which is unreachable now.
	struct bd_job row = put_job(4096, "alpha", BD_JOB_WAITING);
	row.class_number = BD_CLASS_NORMAL;
	cw_name_copy(row.name, sizeof(row.name), "j");
	cw_name_copy(row.input, sizeof(row.input), "{}");
	cw_name_copy(row.submit_key, sizeof(row.submit_key), "k1");
	put(BD_TABLE_job, BD_WRITER_STATE, row);
	status = ST_EUNAVAILABLE;
	EXPECT_EQ(serve("POST", "/v1/jobs", "alpha", JOB_BODY, "k1"), 200);
	EXPECT_TRUE(response_contains("{\"id\":4096}"));
	std::string other = JOB_BODY;
	other.replace(other.find("60"), 2, "61");
	EXPECT_EQ(serve("POST", "/v1/jobs", "alpha", other, "k1"), 200);
	other.replace(other.find(":2,"), 3, ":4,");
	EXPECT_EQ(serve("POST", "/v1/jobs", "alpha", other, "k1"), 409);
	EXPECT_EQ(serve("POST", "/v1/jobs", "beta", JOB_BODY, "k1"), 503);
	// A concurrent submission with the same key on another VM was recorded
	// first.
	on_propose = [&](const struct rec &rec,
			 const struct st_completion &done) {
		cw_name_copy(row.submit_key, sizeof(row.submit_key), "k2");
		row.id = 5000;
		put(BD_TABLE_job, BD_WRITER_STATE, row);
		EXPECT_STREQ(rec.body.job_submit.submit_key, "k2");
		done.call(done.ctx, ST_EREPEATED, 6000);
		return (int)CW_OK;
	};
	EXPECT_EQ(serve("POST", "/v1/jobs", "alpha", JOB_BODY, "k2"), 200);
	EXPECT_TRUE(response_contains("{\"id\":5000}"));
	for (const char *key :
	    {"", "a b", "0123456789012345678901234567890123456789012345678"})
		EXPECT_EQ(
		    serve("POST", "/v1/jobs", "alpha", JOB_BODY, key), 422);
}

// Guards against a cancellation that is acknowledged but not in the log.
TEST_F(FrontApi, CancelIsRecorded)
{
	put_accounts();
	put_job(1, "alpha", BD_JOB_RUNNING);
	put_job(2, "alpha", BD_JOB_DONE);
	put_job(3, "alpha", BD_JOB_CANCELLED);
	EXPECT_EQ(serve("DELETE", "/v1/jobs/2", "alpha"), 409);
	EXPECT_EQ(serve("DELETE", "/v1/jobs/3", "alpha"), 202);
	EXPECT_TRUE(proposed.empty());
	EXPECT_EQ(serve("DELETE", "/v1/jobs/1", "alpha"), 202);
	ASSERT_EQ(proposed.size(), 1u);
	EXPECT_EQ(proposed[0].kind, (uint32_t)REC_JOB_CANCEL);
	struct {
		int state, status;
	} cases[] = {
	    {ST_EREJECTED, 409}, {ST_EUNKNOWN, 504}, {ST_EUNAVAILABLE, 503}};
	for (auto &c : cases) {
		status = c.state;
		EXPECT_EQ(serve("DELETE", "/v1/jobs/1", "alpha"), c.status);
	}
}

// Guards against a text derived from an old version that replaces a newer one,
// and against a rejection that does not list all errors.
TEST_F(FrontApi, ConfigConflictsAndErrors)
{
	put_accounts();
	EXPECT_EQ(serve("PUT", "/v1/config?base=2", "ops", CONFIG_TEXT), 409);
	EXPECT_TRUE(response_contains("\"version\":3"));
	EXPECT_EQ(serve("PUT", "/v1/config", "ops", CONFIG_TEXT), 400);
	EXPECT_EQ(serve("PUT", "/v1/config?base=x", "ops", CONFIG_TEXT), 400);
	std::string bad = std::string(CONFIG_TEXT) + "weight = 1\nrole = 3\n";
	for (const char *path : {"/v1/config?base=3", "/v1/config/check"}) {
		const char *method = path[10] == '/' ? "POST" : "PUT";
		EXPECT_EQ(serve(method, path, "ops", bad), 422);
		EXPECT_TRUE(response_contains("\"line\":")) << response_body;
		EXPECT_EQ(serve(method, path, "ops", "[[service]]\n"), 422);
		EXPECT_EQ(serve(method, path, "ops",
			      std::string(256 * 1024 + 1, '#')),
		    413);
	}
	EXPECT_TRUE(proposed.empty());
	EXPECT_EQ(serve("POST", "/v1/config/check", "ops", CONFIG_TEXT), 200)
	    << response_body;
	// Another operator's change was recorded after the check.
	on_propose = [&](const struct rec &, const struct st_completion &done) {
		put_config(4);
		done.call(done.ctx, ST_ECONFLICT, 9);
		return (int)CW_OK;
	};
	EXPECT_EQ(serve("PUT", "/v1/config?base=3", "ops", CONFIG_TEXT), 409);
	EXPECT_TRUE(response_contains("\"version\":4"));
	on_propose = nullptr;
	EXPECT_EQ(serve("PUT", "/v1/config?base=4", "ops", CONFIG_TEXT), 200);
	EXPECT_TRUE(response_contains("\"version\":5"));
	ASSERT_FALSE(proposed.empty());
	EXPECT_STREQ(proposed.back().body.config.author, "ops");
	status = ST_EUNKNOWN;
	EXPECT_EQ(serve("PUT", "/v1/config?base=4", "ops", CONFIG_TEXT), 504);
}

// Guards against a fleet that nobody can configure, and against an API that
// needs no key after the first configuration.
TEST_F(FrontApi, BootstrapOnlyBeforeFirstConfig)
{
	EXPECT_EQ(serve("GET", "/v1/config", nullptr), 401);
	EXPECT_EQ(serve("POST", "/v1/jobs", nullptr, JOB_BODY), 401);
	EXPECT_EQ(serve("PUT", "/v1/config?base=1", nullptr, CONFIG_TEXT), 409);
	EXPECT_EQ(serve("PUT", "/v1/config?base=0", nullptr, CONFIG_TEXT), 200);
	put_accounts();
	EXPECT_EQ(serve("PUT", "/v1/config?base=3", nullptr, CONFIG_TEXT), 401);
	std::string no_operator = CONFIG_TEXT;
	no_operator.replace(no_operator.find("operator"), 8, "caller");
	EXPECT_EQ(serve("PUT", "/v1/config?base=3", "ops", no_operator), 422);
	EXPECT_EQ(serve("GET", "/v1/config", "ops"), 200);
	EXPECT_TRUE(response_contains("\"text\":\"# a text\""))
	    << response_body;
}

// Guards against accepting a guarantee that fits no rack.
TEST_F(FrontApi, InfeasibleGuaranteeIsNamed)
{
	options.hooks.guarantee_check = fr_guarantee_check;
	options.hooks.guarantee_check_ctx = board;
	create_front();
	put_accounts();
	std::string text = std::string(CONFIG_TEXT) +
	    "quota = 64\n[[account.guarantee]]\nmembers = 4\n"
	    "accelerators = 8\ncores = 1\nmemory = \"1GiB\"\ncopies = 1\n";
	EXPECT_EQ(serve("POST", "/v1/config/check", "ops", text), 200)
	    << response_body;
	for (const char *name : {"w1", "w2", "w3"})
		put_worker(name, "r1", 8);
	EXPECT_EQ(serve("POST", "/v1/config/check", "ops", text), 422);
	EXPECT_TRUE(response_contains("guarantee 1 of account \\\"ops\\\""))
	    << response_body;
	put_worker("w4", "r1", 8);
	EXPECT_EQ(serve("POST", "/v1/config/check", "ops", text), 200)
	    << response_body;
}

// Guards against waits that do not return on a change, at the time-out, with
// too many waiters, or during a shutdown.
TEST_F(FrontApi, WaitIsBounded)
{
	put_accounts();
	put_job(5, "alpha", BD_JOB_WAITING);
	EXPECT_EQ(serve("GET", "/v1/jobs/5/wait?timeout_ms=0", "alpha"), 200);
	EXPECT_EQ(
	    serve("GET", "/v1/jobs/5/wait?timeout_ms=30000&version=4", "alpha"),
	    200);
	EXPECT_EQ(
	    serve("GET", "/v1/jobs/5/wait?timeout_ms=30001", "alpha"), 400);
	options.waiters_max = 0;
	create_front();
	EXPECT_EQ(
	    serve("GET", "/v1/jobs/5/wait?timeout_ms=30000", "alpha"), 200);
	options.waiters_max = 1;
	create_front();
	fr_drain(front);
	EXPECT_EQ(
	    serve("GET", "/v1/jobs/5/wait?timeout_ms=30000", "alpha"), 200);
	EXPECT_EQ(serve("GET", "/ready", nullptr), 503);
	EXPECT_EQ(serve("POST", "/v1/jobs", "alpha", JOB_BODY), 503);
	EXPECT_TRUE(proposed.empty());
}

// Guards against wrong statuses and formats of reports, among them those
// without a log or with an unreachable one.
TEST_F(FrontApi, ReportErrorsAndFormats)
{
	FakeLog fake;
	struct pf_log log = fake.log();

	put_accounts();
	EXPECT_EQ(serve("GET", "/v1/report", "ops"), 503);
	options.log = &log;
	create_front();
	EXPECT_EQ(serve("GET", "/v1/report", "alpha"), 403);
	EXPECT_EQ(serve("GET", "/v1/report?to_ms=2000000", "ops"), 200);
	EXPECT_TRUE(response_contains("Report from 1970-01-01T00:00:00Z to "
				      "1970-01-01T00:16:40Z"))
	    << response_body;
	EXPECT_EQ(serve("GET", "/v1/report?format=csv", "ops"), 200);
	EXPECT_TRUE(response_contains("period,from_ms"));
	EXPECT_EQ(serve("GET", "/v1/report?format=odd", "ops"), 422);
	EXPECT_EQ(serve("GET", "/v1/report?format=muchtoolong", "ops"), 400);
	EXPECT_EQ(serve("GET", "/v1/report?from_ms=5&to_ms=5", "ops"), 422);
	EXPECT_EQ(serve("GET", "/v1/config/history", "ops"), 200);
	EXPECT_TRUE(response_contains("{\"complete\":true,\"changes\":[]}"));
	fake.outage = true;
	EXPECT_EQ(serve("GET", "/v1/report", "ops"), 503);
	EXPECT_TRUE(response_contains("\"ran\":\"not run\""));
}

// Guards against bodies above the limit that are passed to a decoder.
TEST_F(FrontApi, OversizedBodyIsRejected)
{
	put_accounts();
	EXPECT_EQ(
	    serve("POST", "/v1/jobs", "alpha", std::string(16 * 1024 + 1, ' ')),
	    413);
	struct lk_http_route routes[LK_HTTP_ROUTES_MAX];
	size_t count = fr_routes(front, routes, LK_HTTP_ROUTES_MAX);
	EXPECT_TRUE(std::any_of(routes, routes + count, [](auto &route) {
		return strcmp(route.method, "POST") == 0 &&
		    strcmp(route.prefix, "/v1/jobs") == 0 &&
		    route.body_bytes_max == 16 * 1024;
	}));
}

} // namespace
