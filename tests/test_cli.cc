#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "cli.h"
#include "config.h"
#include "ctl_program.h"
#include "fake_upstream.h"

namespace {

// Collects what a function prints.
class Print {
      public:
	Print() : file(open_memstream(&text, &bytes))
	{
	}
	~Print()
	{
		fclose(file);
		free(text);
	}
	Print(const Print &) = delete;
	Print &operator=(const Print &) = delete;
	std::string
	str()
	{
		fflush(file);
		return text;
	}
	char *text = nullptr;
	size_t bytes = 0;
	FILE *file;
};

// One exchange of the scripted transport.
struct Step {
	enum cli_outcome outcome;
	int status;
	const char *body;
};

struct Script {
	std::vector<Step> steps;
	std::vector<std::string> seen; // server and headers

	static void
	exchange(void *ctx, const char *server, const struct cli_call *call,
	    struct cli_answer *answer)
	{
		auto *script = static_cast<Script *>(ctx);
		const Step &step = script->steps.at(script->seen.size());

		script->seen.push_back(
		    std::string(server) + " " + call->headers[0]);
		answer->outcome = step.outcome;
		answer->status = step.status;
		answer->body =
		    step.body == nullptr ? nullptr : strdup(step.body);
		answer->body_bytes =
		    step.body == nullptr ? 0 : strlen(step.body);
	}
	static void
	pause(void *, int64_t)
	{
	}
	static void
	note(void *, const char *)
	{
	}
	enum cli_exit
	run(const char *method, bool is_safe, bool is_once = false)
	{
		struct cli_transport transport = {exchange, pause, note, this};
		struct cli_servers servers = {};
		struct cli_call call = {};
		struct cli_answer answer;

		EXPECT_EQ(cli_servers_add(&servers, "a:1"), CW_OK);
		EXPECT_EQ(cli_servers_add(&servers, "b:1"), CW_OK);
		call.method = method;
		call.is_read = call.method == std::string("GET");
		call.is_safe = is_safe;
		call.is_once = is_once;
		cli_call_header(&call, "Idempotency-Key", "k");
		cli_call_run(&transport, &servers, &call, &answer);
		enum cli_exit code = cli_exit_from_answer(&answer);
		cli_answer_free(&answer);
		EXPECT_EQ(seen.size(), steps.size());
		for (const std::string &call_seen : seen)
			EXPECT_EQ(call_seen.substr(3), " Idempotency-Key: k");
		return code;
	}
};

const char *const kNotRun = "{\"ran\":\"not run\",\"retry_after_ms\":5}";
const char *const kUnknown = "{\"ran\":\"unknown\"}";
const char *const kRan = "{\"ran\":\"ran\"}";

// Guards against a call that is repeated where it may run twice, and against
// "not done" being reported for one that may have run.
TEST(Cli, CallIsRepeatedOnlyWhereSafe)
{
	const Step down = {CLI_NOT_STARTED, 0, nullptr};
	const Step lost = {CLI_LOST, 0, nullptr};
	const Step good = {CLI_ANSWERED, 200, "{}"};
	const Step busy = {CLI_ANSWERED, 503, kNotRun};
	const Step late = {CLI_ANSWERED, 504, kUnknown};
	const Step key = {CLI_ANSWERED, 401, kNotRun};
	const Step html = {CLI_ANSWERED, 502, "<html>balancer</html>"};
	const struct {
		const char *name;
		const char *method;
		bool is_safe;
		std::vector<Step> steps;
		enum cli_exit code;
	} cases[] = {
	    {"next server", "POST", false, {down, good}, CLI_EXIT_OK},
	    {"all down", "POST", true, {down, down}, CLI_EXIT_UNREACHABLE},
	    {"503 goes on", "POST", false, {busy, good}, CLI_EXIT_OK},
	    {"all 503", "POST", true, {busy, busy}, CLI_EXIT_UNREACHABLE},
	    {"lost, unsafe", "POST", false, {lost}, CLI_EXIT_UNKNOWN},
	    {"504, unsafe", "POST", false, {late}, CLI_EXIT_UNKNOWN},
	    {"lost, safe", "POST", true, {lost, good}, CLI_EXIT_OK},
	    {"504, safe", "POST", true, {late, late, good}, CLI_EXIT_OK},
	    {"lost then down", "POST", true, {lost, down, down, down},
		CLI_EXIT_UNKNOWN},
	    {"lost then 503", "POST", true, {lost, busy, busy, busy},
		CLI_EXIT_UNKNOWN},
	    {"lost then 401", "POST", true, {lost, key}, CLI_EXIT_UNKNOWN},
	    {"balancer", "POST", false, {html}, CLI_EXIT_UNKNOWN},
	    {"lost read", "GET", true, {lost, good}, CLI_EXIT_OK},
	    {"lost reads", "GET", true, {lost, lost}, CLI_EXIT_UNREACHABLE},
	};

	for (const auto &c : cases) {
		Script script{c.steps, {}};
		EXPECT_EQ(script.run(c.method, c.is_safe), c.code) << c.name;
	}
	// A drain that went on to the next VM would stop the wrong one.
	Script once{{down}, {}};
	EXPECT_EQ(once.run("POST", true, true), CLI_EXIT_UNREACHABLE);
}

// Guards the documented exit codes, which scripts rely on.
TEST(Cli, ExitCodes)
{
	const struct {
		int status;
		const char *body;
		const char *request_id;
		enum cli_exit code;
	} cases[] = {
	    {201, "{\"id\":1}", "", CLI_EXIT_OK},
	    {202, kUnknown, "", CLI_EXIT_UNKNOWN},
	    {401, kNotRun, "", CLI_EXIT_UNAUTHORISED},
	    {403, kNotRun, "", CLI_EXIT_UNAUTHORISED},
	    {409, kNotRun, "", CLI_EXIT_CONFLICT},
	    {422, kNotRun, "", CLI_EXIT_REFUSED},
	    {429, kNotRun, "", CLI_EXIT_REFUSED},
	    {500, kUnknown, "", CLI_EXIT_UNKNOWN},
	    {502, kRan, "7", CLI_EXIT_UNKNOWN},
	    {502, kNotRun, "7", CLI_EXIT_UNREACHABLE},
	    {500, "upstream's own error", "7", CLI_EXIT_REFUSED},
	    {200, "upstream's text", "7", CLI_EXIT_OK},
	};

	for (const auto &c : cases) {
		struct cli_answer answer = {};
		json_t *json = json_loads(c.body, 0, nullptr);
		answer.outcome = CLI_ANSWERED;
		answer.status = c.status;
		answer.ran = cli_ran_parse(
		    json_string_value(json_object_get(json, "ran")));
		cw_name_copy(
		    answer.request_id, sizeof(answer.request_id), c.request_id);
		EXPECT_EQ(cli_exit_from_answer(&answer), c.code)
		    << c.status << c.body;
		json_decref(json);
	}
	EXPECT_EQ(cli_exit_from_job("done"), CLI_EXIT_OK);
	EXPECT_EQ(cli_exit_from_job("cancelled"), CLI_EXIT_REFUSED);
	EXPECT_EQ(cli_exit_from_job("running"), CLI_EXIT_UNKNOWN);
}

// Guards against header lines smuggled in by a key or account name.
TEST(Cli, HeadersAndServersAreChecked)
{
	struct cli_call call = {};
	struct cli_servers servers = {};

	EXPECT_EQ(
	    cli_call_header(&call, "X-Account", "a\r\nX-B: c"), CW_EINVAL);
	for (const char *bad : {"", ":80", "10.0.0.1", "10.0.0.1:0",
		 "10.0.0.1:80x", "http://10.0.0.1:80", "u@h:80", "h:65536"})
		EXPECT_EQ(cli_servers_add(&servers, bad), CW_EINVAL) << bad;
	EXPECT_EQ(cli_servers_add(&servers, "[::1]:80"), CW_OK);
}

size_t
common_lines(const std::vector<int> &a, const std::vector<int> &b)
{
	std::vector<std::vector<size_t>> best(
	    a.size() + 1, std::vector<size_t>(b.size() + 1));

	for (size_t i = 0; i < a.size(); i++)
		for (size_t j = 0; j < b.size(); j++)
			best[i + 1][j + 1] = a[i] == b[j]
			    ? best[i][j] + 1
			    : std::max(best[i][j + 1], best[i + 1][j]);
	return best[a.size()][b.size()];
}

// Guards against a diff that hides a change or shows more than necessary.
TEST(Cli, DiffIsSmallestAndComplete)
{
	std::mt19937 random(11);
	struct cli_diff diff;

	for (int round = 0; round < 300; round++) {
		std::vector<int> a(random() % 9);
		std::vector<int> b(random() % 9);
		std::string old_text;
		std::string new_text;
		for (int &line : a)
			old_text +=
			    std::to_string(line = (int)(random() % 3)) + "\n";
		for (int &line : b)
			new_text +=
			    std::to_string(line = (int)(random() % 3)) + "\n";
		ASSERT_EQ(cli_diff_print(old_text.c_str(), new_text.c_str(),
			      nullptr, &diff),
		    CW_OK);
		size_t common = common_lines(a, b);
		EXPECT_EQ(diff.removed, a.size() - common) << old_text;
		EXPECT_EQ(diff.added, b.size() - common) << new_text;
	}
	Print print;
	cli_diff_print("1\n2\n3\n4\n5\n6\n7\n8\n9\n",
	    "1\n2\n3\n4\nx\n6\n7\n8\n9\n", print.file, &diff);
	EXPECT_EQ(print.str(), "@@ -2 +2 @@\n 2\n 3\n 4\n-5\n+x\n 6\n 7\n 8\n");
}

// Guards against a large text that exhausts memory or time.
TEST(Cli, DiffOfLargeTextsIsBounded)
{
	std::string old_text;
	std::string new_text;
	struct cli_diff diff;

	for (int i = 0; i < 100000; i++) {
		old_text += "\n";
		new_text += "x\n";
	}
	EXPECT_EQ(
	    cli_diff_print(old_text.c_str(), new_text.c_str(), nullptr, &diff),
	    CW_OK);
	EXPECT_EQ(diff.added, 100000U);
	EXPECT_EQ(diff.removed, 100000U);
}

// Guards against a settings file that is checked as an operators' text, and
// against the version line of `show` being taken from an ordinary comment.
TEST(Cli, TextsAreRecognised)
{
	int64_t version;

	EXPECT_EQ(
	    cli_text_kind("name = \"a\"\n http_address= 3"), CLI_TEXT_SETTINGS);
	EXPECT_EQ(
	    cli_text_kind("# x\n[[account]]\npeers = ["), CLI_TEXT_OPERATORS);
	EXPECT_EQ(cli_text_kind("name = 1\n"), CLI_TEXT_UNKNOWN);
	Print print;
	cli_base_print(print.file, 12, "ann", 86400000);
	std::string text = print.str() + "rest";
	EXPECT_STREQ(cli_base_parse(text.c_str(), &version), "rest");
	EXPECT_EQ(version, 12);
	EXPECT_STREQ(
	    cli_base_parse("# version 3\nrest", &version), "# version 3\nrest");
	EXPECT_EQ(version, -1);
}

// Guards against columns shifted by names beyond ASCII and against names that
// steer the terminal.
TEST(Cli, TableAlignsAndCleans)
{
	const struct cli_column columns[] = {
	    {"NAME", "n", CLI_CELL_TEXT},
	    {"USED", "u", CLI_CELL_BITS},
	    {"T", "t", CLI_CELL_TIME},
	};
	json_t *rows = json_loads("[{\"n\":\"Hl\\u00ed\\u00f0ar\",\"u\":255,"
				  "\"t\":0},{\"n\":\"a\\u001b[2J\"}]",
	    0, nullptr);
	Print print;

	EXPECT_EQ(cli_table_print(rows, columns, 3, print.file), CW_OK);
	EXPECT_EQ(print.str(),
	    "NAME    USED  T\nHl\xc3\xad\xc3\xb0"
	    "ar     8  -\na?[2J      -  -\n");
	EXPECT_EQ(cli_table_print(nullptr, columns, 3, print.file), CW_EINVAL);
	json_decref(rows);
}

// Guards against keys that the daemon would not accept or that repeat.
TEST(Cli, KeyMatchesItsHash)
{
	struct bd_account account = {};
	struct cli_key key;
	struct cli_key other;

	ASSERT_EQ(cli_key_make(&key), CW_OK);
	ASSERT_EQ(cli_key_make(&other), CW_OK);
	EXPECT_STRNE(key.key, other.key);
	EXPECT_STRNE(key.salt_hex, other.salt_hex);
	EXPECT_EQ(strlen(key.key), 43U);
	for (size_t i = 0; i < 16; i++)
		sscanf(key.salt_hex + 2 * i, "%2hhx", &account.key_salt[i]);
	for (size_t i = 0; i < 32; i++)
		sscanf(key.hash_hex + 2 * i, "%2hhx", &account.key_hash[i]);
	EXPECT_TRUE(cfg_key_matches(&account, key.key));
	EXPECT_FALSE(cfg_key_matches(&account, other.key));
}

// Guards against a report for another period than was asked for.
TEST(Cli, TimesAreReadAsUtc)
{
	const int64_t now = 1000000000000;
	const struct {
		const char *text;
		int64_t ms;
	} cases[] = {{"now", now}, {"-2h", now - 7200000},
	    {"2001-09-09", 999993600000}, {"2001-09-09T01:46", now - 40000},
	    {"2001-09-09T01:46:40Z", now}, {"1000", 1000}, {"-", -1},
	    {"-5", -1}, {"24h", -1}, {"2001-09-09T", -1}, {"", -1}};

	for (const auto &c : cases) {
		int64_t ms = -1;
		int code = cli_time_parse(c.text, now, &ms);
		EXPECT_EQ(code, c.ms < 0 ? CW_EINVAL : CW_OK) << c.text;
		EXPECT_EQ(ms, c.ms) << c.text;
	}
}

std::string
read_file(const std::string &path)
{
	std::ifstream file(path);

	return {std::istreambuf_iterator<char>(file), {}};
}

std::string
header(const std::string &request, const std::string &name)
{
	size_t at = request.find(name + ": ");

	return at == std::string::npos
	    ? ""
	    : request.substr(at, request.find("\r\n", at) - at);
}

const std::string kExample = TEST_SOURCE_DIR "/examples/himal.toml";

// Guards against a wrong file that is noticed only by the daemon.
TEST(CliProgram, CheckNamesFileLineAndColumn)
{
	std::string settings = write_file(
	    "settings.toml", "name = \"a\"\nhttp_address = 5\nport = 3\n");
	Result run = run_ctl("check " + settings);

	EXPECT_EQ(run.code, CLI_EXIT_REFUSED);
	EXPECT_TRUE(has(run.out, settings + ":2:")) << run.out;
	EXPECT_TRUE(has(run.out, settings + ":3:")) << run.out;
	EXPECT_EQ(run_ctl("check " + kExample).code, CLI_EXIT_OK);
	std::string text = read_file(kExample);
	text.erase(text.find("role = \"operator\""), 17);
	run = run_ctl("check " + write_file("none.toml", text));
	EXPECT_EQ(run.code, CLI_EXIT_REFUSED);
	EXPECT_TRUE(has(run.out, "operator")) << run.out;
	EXPECT_EQ(run_ctl("check /nonexistent").code, CLI_EXIT_USAGE);
}

// Guards the difference between a wrong command line and a server that is
// down.
TEST(CliProgram, UsageAndUnreachable)
{
	EXPECT_EQ(run_ctl("status").code, CLI_EXIT_USAGE);
	EXPECT_EQ(
	    run_ctl("--server 127.0.0.1:1 status").code, CLI_EXIT_UNREACHABLE);
	EXPECT_EQ(run_ctl("status --server 127.0.0.1:1 --nonsense").code,
	    CLI_EXIT_USAGE);
	EXPECT_EQ(
	    run_ctl("status x7 --server 127.0.0.1:1").code, CLI_EXIT_USAGE);
	EXPECT_EQ(
	    run_ctl("drain --server 127.0.0.1:1 --server 127.0.0.1:2").code,
	    CLI_EXIT_USAGE);
	EXPECT_TRUE(has(run_ctl("submit --help").out, "Examples:"));
}

std::string
in_force(int version, const std::string &author, const std::string &text)
{
	json_t *json = json_pack("{s:i,s:s,s:I,s:s}", "version", version,
	    "author", author.c_str(), "accepted_ms", (json_int_t)86400000,
	    "text", text.c_str());
	char *dump = json_dumps(json, 0);
	std::string out = dump;

	free(dump);
	json_decref(json);
	return out;
}

// Guards against an operator who overwrites another's text unawares: the base
// is the version that `show` named, and the conflict names the winner.
TEST(CliProgram, ApplyConflictNamesWinner)
{
	std::string text = read_file(kExample);
	std::mutex lock;
	std::string put;
	FakeUpstream server([&](const std::string &request, int, int) {
		std::lock_guard<std::mutex> guard(lock);
		if (request.compare(0, 3, "GET") == 0)
			return answer(
			    "200 OK", in_force(9, "bjarni", "other\n"));
		put = request;
		return answer(
		    "409 Conflict", "{\"ran\":\"not run\",\"version\":9}");
	});
	std::string file = write_file("conflict.toml",
	    "# camphorctl: version 7, accepted -, by ann\n" + text);
	Result run = run_ctl("apply " + file + " --server " + server.address);

	EXPECT_EQ(run.code, CLI_EXIT_CONFLICT);
	std::lock_guard<std::mutex> guard(lock);
	EXPECT_TRUE(has(put, "PUT /v1/config?base=7 ")) << put.substr(0, 80);
	EXPECT_EQ(put.substr(put.find("\r\n\r\n") + 4), text);
	EXPECT_TRUE(
	    has(run.out, "version 9, accepted 1970-01-02T00:00:00Z, by bjarni"))
	    << run.out;
}

// Guards against a conflict reported for one's own text after a lost answer.
TEST(CliProgram, ApplySettlesLostAnswer)
{
	std::string text = read_file(kExample);
	FakeUpstream server([&](const std::string &request, int number, int) {
		if (request.compare(0, 3, "GET") == 0)
			return answer("200 OK", in_force(8, "ann", text));
		if (number == 0)
			return Action{"", Action::CLOSE};
		return answer(
		    "409 Conflict", "{\"ran\":\"not run\",\"version\":8}");
	});
	Result run = run_ctl(
	    "apply --base 7 " + kExample + " --server " + server.address);

	EXPECT_EQ(run.code, CLI_EXIT_OK) << run.out;
	EXPECT_TRUE(has(run.out, "version 8 is accepted")) << run.out;
}

// Guards against a second job after a lost answer.
TEST(CliProgram, SubmitRepeatsWithSameKey)
{
	std::mutex lock;
	std::vector<std::string> keys;
	FakeUpstream server([&](const std::string &request, int number, int) {
		std::lock_guard<std::mutex> guard(lock);
		keys.push_back(header(request, "Idempotency-Key"));
		return number == 0 ? Action{"", Action::CLOSE}
				   : answer("200 OK", "{\"id\": 41}");
	});
	Result run = run_ctl("submit --name n --accelerators 8 --declared-s 60 "
			     "--server " +
	    server.address);

	EXPECT_EQ(run.code, CLI_EXIT_OK) << run.out;
	EXPECT_TRUE(has(run.out, "41\n"));
	std::lock_guard<std::mutex> guard(lock);
	ASSERT_EQ(keys.size(), 2U);
	EXPECT_EQ(keys[0], keys[1]);
	EXPECT_GT(keys[0].size(), strlen("Idempotency-Key: "));
}

// Guards against an end that a script cannot see: each state is a progress
// line and the last one the exit code. The first call does not wait, because a
// job that has ended changes no more; it took 10 s to notice its end.
TEST(CliProgram, WaitEndsWithTheJob)
{
	FakeUpstream server([&](const std::string &request, int number, int) {
		EXPECT_EQ(has(request, "/wait?"), number > 0);
		const char *states[] = {"waiting", "running", "failed"};
		return answer("200 OK",
		    "{\"id\":5,\"state\":\"" + std::string(states[number]) +
			"\",\"version\":" + std::to_string(number + 1) + "}");
	});
	Result run = run_ctl("wait 5 --server " + server.address);

	EXPECT_EQ(run.code, CLI_EXIT_REFUSED);
	EXPECT_TRUE(has(run.out, "job 5 waiting")) << run.out;
	EXPECT_TRUE(has(run.out, "job 5 running")) << run.out;
}

// Guards against a bench that never ends on a silent server, and against a key
// that is sent with requests that were declared idempotent.
TEST(CliProgram, BenchIsBounded)
{
	std::atomic<int> keys{0};
	FakeUpstream server([&](const std::string &request, int number, int) {
		keys += has(request, "Idempotency-Key");
		return number < 10
		    ? answer("200 OK", "x", "X-Request-Id: 1\r\n")
		    : Action{"", Action::SILENCE};
	});
	Result run = run_ctl("bench quotes --count 12 --concurrency 1 --json "
			     "--timeout-ms 200 --server " +
	    server.address);

	EXPECT_EQ(run.code, CLI_EXIT_UNKNOWN) << run.out;
	EXPECT_TRUE(has(run.out, "\"done\":10,")) << run.out;
	EXPECT_TRUE(has(run.out, "\"unknown\":2,")) << run.out;
	EXPECT_EQ(keys, 0);
}

} // namespace
