#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <string>

#include "adapter.h"
#include "config_check.h"

namespace {

const std::string route = R"({"Name": "q", "Host": "h.example",
  "PathPrefix": "/q/", "Service": "pool", "Priority": 0})";
const std::string tenant =
    R"({"Name": "t", "ApiKeys": ["k"], "Guaranteed": {"Gpu": 8}})";

std::string
configuration(const std::string &routes, const std::string &tenants,
    const std::string &more = "")
{
	return "{\"Version\": 7,\n\"Routes\": [" + routes +
	    "],\n\"Services\": [{\"Name\": \"pool\"}],\n\"Tenants\": [" +
	    tenants + "]" + more + "}";
}

/* A review on the heap: its lists are long. */
struct Review {
	std::unique_ptr<pl_config_review> result{new pl_config_review()};
	int code;

	explicit Review(const std::string &text, uint32_t accels = 0)
	    : code(pl_config_check(text.data(), text.size(), accels, &*result))
	{
	}

	static std::string
	print(const cfg_errors &list)
	{
		std::string out;

		for (size_t i = 0; i < list.count; i++)
			out += std::to_string(list.errors[i].line) + ":" +
			    std::to_string(list.errors[i].column) + " " +
			    list.errors[i].text + "\n";
		return out;
	}

	std::string
	errors() const
	{
		return print(result->errors);
	}

	std::string
	warnings() const
	{
		return print(result->warnings);
	}
};

/* Returns whether a VM without a configuration puts this one into force. */
bool
is_accepted(const std::string &text)
{
	static struct bd_board *board;

	/* To create a board takes long: one serves until it has a version. */
	if (board != nullptr && pl_config_version(board) != 0) {
		bd_board_destroy(board);
		board = nullptr;
	}
	if (board == nullptr) {
		EXPECT_EQ(CW_OK, bd_board_create(&board));
	}
	return pl_config_apply(board, text.data(), text.size()) == CW_OK;
}

std::string
changed(std::string text, const std::string &from, const std::string &to)
{
	size_t at = text.find(from);

	EXPECT_NE(std::string::npos, at) << from;
	return text.replace(at, from.size(), to);
}

} // namespace

/* Guards against warnings about a configuration without a fault. */
TEST(PlatformConfigCheck, CleanConfigurationsGiveNothing)
{
	const std::string longer =
	    changed(changed(route, "/q/", "/q/long/"), "\"q\"", "\"r\"");
	const std::string host =
	    changed(changed(route, "h.", "i."), "\"q\"", "\"s\"");

	for (const std::string &text : {configuration(route, tenant),
		 configuration(route, tenant,
		     ",\n\"Limits\": {\"MaxBodyBytes\": 262144}, \"Other\": 3"),
		 configuration(route + "," + longer + "," + host, tenant)}) {
		Review review(text);

		EXPECT_EQ(CW_OK, review.code);
		EXPECT_EQ("", review.errors());
		EXPECT_EQ("", review.warnings()) << text;
		EXPECT_EQ(7U, review.result->version);
	}
}

/* Guards against a fault that is not found, or at another place. */
TEST(PlatformConfigCheck, ErrorsNameTheirPlace)
{
	const std::string text = configuration(route, tenant);
	const struct {
		const char *from;
		const char *to;
		const char *at; /* where the faulty value begins */
		const char *error;
	} cases[] = {
	    {"7,", "0,", "{", "configuration is not a JSON object with a"},
	    {"\"pool\"", "4", "4,", "Routes[0]: \"Service\""},
	    {"\"h.example\"", "null", "null", "Routes[0]: \"Host\""},
	    {"\"Priority\": 0", "\"Priority\": -1", "-1",
		"Routes[0]: \"Priority\""},
	    {"\"Priority\": 0", "\"Stretch\": -0.5", "-0.5",
		"Routes[0]: \"Stretch\""},
	    {"{\"Gpu\": 8}", "{\"Gpu\": \"8\"}", "{\"Gpu",
		"Tenants[0]: \"Guaranteed\""},
	    {"[\"k\"]", "[\"k\", 5]", "[\"k\"", "Tenants[0]: \"ApiKeys\""},
	    {"[\"k\"]", "{}", "{}", "Tenants[0]: \"ApiKeys\""},
	    {"\"Tenants\": [", "\"Tenants\": 3, \"T\": [", "3, \"T",
		"\"Tenants\" is of another type"},
	};

	for (const auto &one : cases) {
		std::string bad = changed(text, one.from, one.to);
		size_t at = bad.find(one.at);
		size_t line_at = bad.rfind('\n', at) + 1;
		Review review(bad);

		EXPECT_EQ(CW_EINVAL, review.code) << bad;
		ASSERT_EQ(1U, review.result->errors.count) << bad;
		const cfg_error &error = review.result->errors.errors[0];
		EXPECT_EQ(
		    1 + std::count(bad.begin(), bad.begin() + (long)at, '\n'),
		    error.line)
		    << bad;
		EXPECT_EQ(at - line_at + 1, error.column) << bad;
		EXPECT_EQ(0U, std::string(error.text).find(one.error)) << bad;
		EXPECT_FALSE(is_accepted(bad));
	}
	/* The parser itself says where a text is no JSON. */
	for (const char *part : {"\"Services\"", "\"pool\""}) {
		Review review(
		    changed(text, part, std::string("\"x\ny") + part));

		EXPECT_EQ(CW_EINVAL, review.code);
		EXPECT_NE(std::string::npos,
		    review.errors().find("configuration is not JSON"));
		EXPECT_EQ(part[1] == 'S' ? 4U : 3U,
		    review.result->errors.errors[0].line);
	}
}

/* Guards against a check that stops at the first fault. */
TEST(PlatformConfigCheck, AllFaultyEntriesAreListed)
{
	std::string bad = changed(route, "\"pool\"", "7");
	Review review(configuration(
	    route + "," + bad + ",3," + bad, tenant + ",{\"Name\": 5}"));

	EXPECT_EQ(4U, review.result->errors.count) << review.errors();
	EXPECT_NE(std::string::npos, review.errors().find("Routes[1]"));
	EXPECT_NE(std::string::npos, review.errors().find("Tenants[1]"));
}

/* Guards against what is accepted and cannot be meant. */
TEST(PlatformConfigCheck, WarningsNameWhatCannotBeMeant)
{
	const std::string two = configuration(
	    route + "," + changed(route, "\"q\"", "\"r\""), tenant);
	const struct {
		std::string text;
		const char *warning;
	} cases[] = {
	    {two, "Routes[1]: never matches: Routes[0] has the same host"},
	    {configuration(route + "," + changed(route, "/q/", "/r/"), tenant),
		"Routes[1]: has the name of Routes[0]"},
	    {configuration(changed(route, "h.example", "h.example:80"), tenant),
		"Routes[0]: never matches: the host"},
	    {configuration(changed(route, "/q/", "q/"), tenant),
		"never matches: each path begins"},
	    {configuration(changed(route, "/q/", "/q?x"), tenant),
		"never matches: a path ends"},
	    {configuration(changed(route, "/q/", "/q"), tenant),
		"\"/\" is missing at its end?"},
	    {configuration(route + "," +
		     changed(changed(route, "/q/", "/q/0a"), "\"q\"", "\"r\""),
		 tenant),
		"Routes[1]: shadows Routes[0] for jobs whose names begin with "
		"\"0a\""},
	    {configuration(changed(route, "pool", "pol"), tenant),
		"does not list \"pol\""},
	    {configuration(changed(route, "\"Priority\": 0",
			       "\"Priority\": 0, \"timeoutms\": 1"),
		 tenant),
		"\"timeoutms\" is not read; \"TimeoutMs\" is meant?"},
	    {configuration(changed(route, "\"Priority\": 0",
			       "\"Priority\": 0, \"MaxAttempts\": 2.5"),
		 tenant),
		"is cut to 2"},
	    {configuration(changed(route, "\"Priority\": 0",
			       "\"Priority\": 0, \"MaxAttempts\": 1e20"),
		 tenant),
		"counts as 4294967295"},
	    {configuration(changed(route, "\"Priority\": 0",
			       "\"Priority\": 0, \"Stretch\": 0.5"),
		 tenant),
		"no job can be completed in time"},
	    {configuration(changed(route, "\"Priority\": 0",
			       "\"Priority\": 0, \"Stretch\": 0, "
			       "\"TargetLatencyMs\": 5, \"TimeoutMs\": 6"),
		 tenant),
		"\"TimeoutMs\" (6) is above \"TargetLatencyMs\" (5)"},
	    {configuration(changed(route, "\"Priority\": 0",
			       "\"Priority\": 0, \"Stretch\": \"2\""),
		 tenant),
		"is no number and counts as 1"},
	    {configuration(changed(route, "\"Priority\": 0",
			       "\"Priority\": 0, \"AuthExempt\": 1"),
		 tenant),
		"counts as false"},
	    {configuration(
		 changed(route, "\"Priority\": 0", "\"Priority\": 1"), tenant),
		"no route has \"Priority\": 0"},
	    {configuration(
		 route, tenant + "," + changed(tenant, "\"t\"", "\"u\"")),
		"Tenants[1]: a key is listed by Tenants[0] too"},
	    {configuration(
		 route, tenant + "," + changed(tenant, "\"k\"", "\"l\"")),
		"Tenants[1]: has the name of Tenants[0]"},
	    {configuration(route, changed(tenant, "\"k\"", "\"k \"")),
		"key 0 never matches"},
	    {configuration(route, changed(tenant, "\"k\"", "")), "has no key"},
	    {configuration(route, changed(tenant, "\"Gpu\": 8", "")),
		"reserves nothing"},
	    {configuration(
		 route, tenant, ", \"Limits\": {\"MaxBodyBytes\": 1}"),
		"below the size of any job"},
	    {configuration(route, tenant, ", \"Tenants\": []"),
		"a member is there twice"},
	    {configuration("", tenant), "there is no route"},
	};

	for (const auto &one : cases) {
		Review review(one.text);

		EXPECT_EQ(CW_OK, review.code) << review.errors();
		EXPECT_NE(
		    std::string::npos, review.warnings().find(one.warning))
		    << one.warning << "\n"
		    << review.warnings();
		EXPECT_TRUE(is_accepted(one.text));
	}
}

/* Guards against guarantees beyond the deployment, and a false alarm at it. */
TEST(PlatformConfigCheck, GuaranteesAreComparedWithTheCapacity)
{
	const std::string text = configuration(route, tenant);

	EXPECT_EQ("", Review(text, 8).warnings());
	EXPECT_NE(std::string::npos,
	    Review(text, 7).warnings().find(
		"8 accelerators are guaranteed, the deployment has 7"));
}

/* Guards against a check that accepts what a VM rejects, or the reverse, and
 * against crashes by hostile texts: each text is a configuration with bytes
 * replaced, removed or repeated. */
TEST(PlatformConfigCheck, VerdictsAreThoseOfTheVms)
{
	const std::string pieces[] = {"{", "}", "[", "]", ",", ":", "\"", "\\",
	    "\\u0000", "0", "-1", "1e400", "99999999999999999999", "null",
	    "true", std::string(1, '\0'), "\xff", "\u00e9", " "};
	std::mt19937 random(5);
	int accepted = 0;

	for (int i = 0; i < 1000; i++) {
		std::string text = configuration(route, tenant);

		for (int k = 0; k <= i % 3; k++) {
			size_t at = random() % text.size();
			size_t bytes = random() % 3;
			const std::string &piece =
			    pieces[random() % std::size(pieces)];

			text.replace(at, bytes, piece);
		}
		Review review(text);
		bool is_valid = is_accepted(text);

		EXPECT_EQ(is_valid, review.code == CW_OK) << text;
		EXPECT_EQ(is_valid, review.result->errors.count == 0) << text;
		accepted += is_valid;
	}
	EXPECT_GT(accepted, 50);
	EXPECT_LT(accepted, 950);
}

/* Guards against texts that exhaust the stack, or the time that an operator
 * waits: 20,000 routes are compared with each other and with as many services.
 */
TEST(PlatformConfigCheck, LargeAndDeepTextsAreChecked)
{
	std::string routes = route;
	std::string services = "{\"Name\": \"s\"}";

	EXPECT_EQ(CW_EINVAL, Review(std::string(100000, '[')).code);
	EXPECT_EQ(CW_EINVAL,
	    Review("{\"Version\":1,\"Routes\":" + std::string(100000, '{'))
		.code);
	EXPECT_EQ(CW_EINVAL, Review("").code);
	for (int i = 0; i < 20000; i++) {
		routes += "," + route;
		services += ",{\"Name\": \"s" + std::to_string(i) + "\"}";
	}
	Review review(changed(
	    configuration(routes, tenant), "{\"Name\": \"pool\"}", services));
	EXPECT_EQ(CW_OK, review.code);
	EXPECT_EQ((size_t)CFG_ERRORS_MAX, review.result->warnings.count);
	EXPECT_NE(std::string::npos,
	    review.warnings().find("further errors are not listed"));
}

/* Guards against access keys in what is printed, and changes of form that look
 * like changes. */
TEST(PlatformConfigCheck, TextsAreComparedWithoutTheirKeys)
{
	const std::string text =
	    configuration(route, changed(tenant, "\"k\"", "\"secret\""));
	char *a = pl_config_canonical(text.data(), text.size());
	std::string spaced = changed(text, "\"Version\": 7", "\"Version\" :7");
	char *b = pl_config_canonical(spaced.data(), spaced.size());

	ASSERT_NE(nullptr, a);
	ASSERT_NE(nullptr, b);
	EXPECT_STREQ(a, b);
	EXPECT_EQ(nullptr, strstr(a, "secret"));
	EXPECT_EQ(nullptr, pl_config_canonical("[1]", 3));
	EXPECT_EQ(nullptr, pl_config_canonical("{", 1));
	free(a);
	free(b);
}
