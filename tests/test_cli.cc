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

// A stream that writes to memory.
class OutputCapture {
      public:
	OutputCapture() : file(open_memstream(&text, &bytes))
	{
	}
	~OutputCapture()
	{
		fclose(file);
		free(text);
	}
	OutputCapture(const OutputCapture &) = delete;
	OutputCapture &operator=(const OutputCapture &) = delete;
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

// The result of one exchange of the scripted transport.
struct Exchange {
	enum cli_outcome outcome;
	int status;
	const char *body;
};

// A transport that returns a list of prepared exchanges and records what was
// sent.
struct ScriptedTransport {
	std::vector<Exchange> exchanges;
	std::vector<std::string> requests; // server and first header

	static void
	exchange(void *ctx, const char *server, const struct cli_call *call,
	    struct cli_answer *answer)
	{
		auto *self = static_cast<ScriptedTransport *>(ctx);
		const Exchange &next =
		    self->exchanges.at(self->requests.size());

		self->requests.push_back(
		    std::string(server) + " " + call->headers[0]);
		answer->outcome = next.outcome;
		answer->status = next.status;
		answer->body =
		    next.body == nullptr ? nullptr : strdup(next.body);
		answer->body_bytes =
		    next.body == nullptr ? 0 : strlen(next.body);
	}
	static void
	sleep_ms(void *, int64_t)
	{
	}
	static void
	note(void *, const char *)
	{
	}
	enum cli_exit
	run(const char *method, bool is_repeatable,
	    bool is_single_attempt = false)
	{
		struct cli_transport transport = {
		    exchange, sleep_ms, note, this};
		struct cli_servers servers = {};
		struct cli_call call = {};
		struct cli_answer answer;

		EXPECT_EQ(cli_servers_add(&servers, "a:1"), CW_OK);
		EXPECT_EQ(cli_servers_add(&servers, "b:1"), CW_OK);
		call.method = method;
		call.is_read_only = call.method == std::string("GET");
		call.is_repeatable = is_repeatable;
		call.is_single_attempt = is_single_attempt;
		cli_call_header_add(&call, "Idempotency-Key", "k");
		cli_call_run(&transport, &servers, &call, &answer);
		enum cli_exit code = cli_exit_from_answer(&answer);
		cli_answer_free(&answer);
		EXPECT_EQ(requests.size(), exchanges.size());
		for (const std::string &request : requests)
			EXPECT_EQ(request.substr(3), " Idempotency-Key: k");
		return code;
	}
};

const char *const kNotRun = "{\"ran\":\"not run\",\"retry_after_ms\":5}";
const char *const kUnknown = "{\"ran\":\"unknown\"}";
const char *const kRan = "{\"ran\":\"ran\"}";

// Guards against a call that is retried although it may then run twice, and
// against "not run" being reported for a call that may have run.
TEST(Cli, CallIsRetriedOnlyIfSafe)
{
	const Exchange not_sent = {CLI_NOT_SENT, 0, nullptr};
	const Exchange lost = {CLI_ANSWER_LOST, 0, nullptr};
	const Exchange ok = {CLI_ANSWERED, 200, "{}"};
	const Exchange unavailable = {CLI_ANSWERED, 503, kNotRun};
	const Exchange timed_out = {CLI_ANSWERED, 504, kUnknown};
	const Exchange wrong_key = {CLI_ANSWERED, 401, kNotRun};
	const Exchange balancer_page = {
	    CLI_ANSWERED, 502, "<html>balancer</html>"};
	const struct {
		const char *name;
		const char *method;
		bool is_repeatable;
		std::vector<Exchange> exchanges;
		enum cli_exit code;
	} cases[] = {
	    {"next server", "POST", false, {not_sent, ok}, CLI_EXIT_OK},
	    {"all down", "POST", true, {not_sent, not_sent},
		CLI_EXIT_UNREACHABLE},
	    {"503, next server", "POST", false, {unavailable, ok}, CLI_EXIT_OK},
	    {"all 503", "POST", true, {unavailable, unavailable},
		CLI_EXIT_UNREACHABLE},
	    {"lost, unsafe", "POST", false, {lost}, CLI_EXIT_UNKNOWN},
	    {"504, unsafe", "POST", false, {timed_out}, CLI_EXIT_UNKNOWN},
	    {"lost, safe", "POST", true, {lost, ok}, CLI_EXIT_OK},
	    {"504, safe", "POST", true, {timed_out, timed_out, ok},
		CLI_EXIT_OK},
	    {"lost then down", "POST", true,
		{lost, not_sent, not_sent, not_sent}, CLI_EXIT_UNKNOWN},
	    {"lost then 503", "POST", true,
		{lost, unavailable, unavailable, unavailable},
		CLI_EXIT_UNKNOWN},
	    {"lost then 401", "POST", true, {lost, wrong_key},
		CLI_EXIT_UNKNOWN},
	    {"balancer", "POST", false, {balancer_page}, CLI_EXIT_UNKNOWN},
	    {"lost read", "GET", true, {lost, ok}, CLI_EXIT_OK},
	    {"lost reads", "GET", true, {lost, lost}, CLI_EXIT_UNREACHABLE},
	};

	for (const auto &c : cases) {
		ScriptedTransport script{c.exchanges, {}};
		EXPECT_EQ(script.run(c.method, c.is_repeatable), c.code)
		    << c.name;
	}
	// A drain that is retried on the next server would drain the wrong VM.
	ScriptedTransport once{{not_sent}, {}};
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

// Guards against header injection through a key or an account name, and against
// malformed server addresses.
TEST(Cli, HeadersAndServersAreChecked)
{
	struct cli_call call = {};
	struct cli_servers servers = {};

	EXPECT_EQ(
	    cli_call_header_add(&call, "X-Account", "a\r\nX-B: c"), CW_EINVAL);
	for (const char *bad : {"", ":80", "10.0.0.1", "10.0.0.1:0",
		 "10.0.0.1:80x", "http://10.0.0.1:80", "u@h:80", "h:65536"})
		EXPECT_EQ(cli_servers_add(&servers, bad), CW_EINVAL) << bad;
	EXPECT_EQ(cli_servers_add(&servers, "[::1]:80"), CW_OK);
}

// Reference for cli_diff_print(): the length of the longest common subsequence.
size_t
lcs_length(const std::vector<int> &a, const std::vector<int> &b)
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

// Guards against a diff that omits a change or is not minimal: compares the
// number of changed lines with the longest common subsequence of random texts.
TEST(Cli, DiffIsMinimalAndComplete)
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
		size_t common = lcs_length(a, b);
		EXPECT_EQ(diff.removed, a.size() - common) << old_text;
		EXPECT_EQ(diff.added, b.size() - common) << new_text;
	}
	OutputCapture output;
	cli_diff_print("1\n2\n3\n4\n5\n6\n7\n8\n9\n",
	    "1\n2\n3\n4\nx\n6\n7\n8\n9\n", output.file, &diff);
	EXPECT_EQ(
	    output.str(), "@@ -2 +2 @@\n 2\n 3\n 4\n-5\n+x\n 6\n 7\n 8\n");
}

// Guards against a diff of large files that exhausts memory or time.
TEST(Cli, DiffOfLargeFilesIsBounded)
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

// Guards against a settings file that is checked as an operators'
// configuration, and against an ordinary comment that is taken for the version
// line of `show`.
TEST(Cli, FileKindAndVersionAreRecognised)
{
	int64_t version;

	EXPECT_EQ(
	    cli_file_kind("name = \"a\"\n http_address= 3"), CLI_FILE_SETTINGS);
	EXPECT_EQ(
	    cli_file_kind("# x\n[[account]]\npeers = ["), CLI_FILE_CONFIG);
	EXPECT_EQ(cli_file_kind("name = 1\n"), CLI_FILE_UNKNOWN);
	OutputCapture output;
	cli_version_line_print(output.file, 12, "ann", 86400000);
	std::string text = output.str() + "rest";
	EXPECT_STREQ(cli_version_line_parse(text.c_str(), &version), "rest");
	EXPECT_EQ(version, 12);
	EXPECT_STREQ(cli_version_line_parse("# version 3\nrest", &version),
	    "# version 3\nrest");
	EXPECT_EQ(version, -1);
}

// Guards against columns misaligned by names outside ASCII and against names
// that send escape sequences to the terminal.
TEST(Cli, TableAlignsUtf8AndMasksControlChars)
{
	const struct cli_column columns[] = {
	    {"NAME", "n", CLI_CELL_TEXT},
	    {"USED", "u", CLI_CELL_BITS},
	    {"T", "t", CLI_CELL_TIME},
	};
	json_t *rows = json_loads("[{\"n\":\"Hl\\u00ed\\u00f0ar\",\"u\":255,"
				  "\"t\":0},{\"n\":\"a\\u001b[2J\"}]",
	    0, nullptr);
	OutputCapture output;

	EXPECT_EQ(cli_table_print(rows, columns, 3, output.file), CW_OK);
	EXPECT_EQ(output.str(),
	    "NAME    USED  T\nHl\xc3\xad\xc3\xb0"
	    "ar     8  -\na?[2J      -  -\n");
	EXPECT_EQ(cli_table_print(nullptr, columns, 3, output.file), CW_EINVAL);
	json_decref(rows);
}

// Guards against generated keys that the daemon would refuse or that are not
// unique.
TEST(Cli, KeyMatchesItsHash)
{
	struct bd_account account = {};
	struct cli_key key;
	struct cli_key other;

	ASSERT_EQ(cli_key_generate(&key), CW_OK);
	ASSERT_EQ(cli_key_generate(&other), CW_OK);
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

// Guards against a report for another period than the requested one.
TEST(Cli, TimesAreParsedAsUtc)
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
header_line(const std::string &request, const std::string &name)
{
	size_t at = request.find(name + ": ");

	return at == std::string::npos
	    ? ""
	    : request.substr(at, request.find("\r\n", at) - at);
}

const std::string kExample = TEST_SOURCE_DIR "/examples/himal.toml";

// Guards against an invalid file that `check` accepts and only the daemon
// refuses, and against errors without file, line and column.
TEST(CliProgram, CheckNamesFileLineAndColumn)
{
	std::string settings = write_temp_file(
	    "settings.toml", "name = \"a\"\nhttp_address = 5\nport = 3\n");
	ProgramResult run = run_camphorctl("check " + settings);

	EXPECT_EQ(run.code, CLI_EXIT_REFUSED);
	EXPECT_TRUE(contains(run.out, settings + ":2:")) << run.out;
	EXPECT_TRUE(contains(run.out, settings + ":3:")) << run.out;
	EXPECT_EQ(run_camphorctl("check " + kExample).code, CLI_EXIT_OK);
	std::string text = read_file(kExample);
	text.erase(text.find("role = \"operator\""), 17);
	run = run_camphorctl("check " + write_temp_file("none.toml", text));
	EXPECT_EQ(run.code, CLI_EXIT_REFUSED);
	EXPECT_TRUE(contains(run.out, "operator")) << run.out;
	EXPECT_EQ(run_camphorctl("check /nonexistent").code, CLI_EXIT_USAGE);
}

// Guards against mixing up the exit codes for a wrong command line and for a
// server that cannot be reached.
TEST(CliProgram, UsageAndUnreachable)
{
	EXPECT_EQ(run_camphorctl("status").code, CLI_EXIT_USAGE);
	EXPECT_EQ(run_camphorctl("--server 127.0.0.1:1 status").code,
	    CLI_EXIT_UNREACHABLE);
	EXPECT_EQ(run_camphorctl("status --server 127.0.0.1:1 --nonsense").code,
	    CLI_EXIT_USAGE);
	EXPECT_EQ(run_camphorctl("status x7 --server 127.0.0.1:1").code,
	    CLI_EXIT_USAGE);
	EXPECT_EQ(
	    run_camphorctl("drain --server 127.0.0.1:1 --server 127.0.0.1:2")
		.code,
	    CLI_EXIT_USAGE);
	EXPECT_TRUE(contains(run_camphorctl("submit --help").out, "Examples:"));
}

// The body of GET /v1/config.
std::string
config_response(int version, const std::string &author, const std::string &text)
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

// Guards against an operator who unknowingly overwrites the change of another:
// the base is the version in the line that `show` printed, and the conflict
// message names the version that was accepted and its author.
TEST(CliProgram, ApplyConflictNamesAcceptedVersion)
{
	std::string text = read_file(kExample);
	std::mutex lock;
	std::string put_request;
	FakeUpstream server([&](const std::string &request, int, int) {
		std::lock_guard<std::mutex> guard(lock);
		if (request.compare(0, 3, "GET") == 0)
			return answer(
			    "200 OK", config_response(9, "bjarni", "other\n"));
		put_request = request;
		return answer(
		    "409 Conflict", "{\"ran\":\"not run\",\"version\":9}");
	});
	std::string file = write_temp_file("conflict.toml",
	    "# camphorctl: version 7, accepted -, by ann\n" + text);
	ProgramResult run =
	    run_camphorctl("apply " + file + " --server " + server.address);

	EXPECT_EQ(run.code, CLI_EXIT_CONFLICT);
	std::lock_guard<std::mutex> guard(lock);
	EXPECT_TRUE(contains(put_request, "PUT /v1/config?base=7 "))
	    << put_request.substr(0, 80);
	EXPECT_EQ(put_request.substr(put_request.find("\r\n\r\n") + 4), text);
	EXPECT_TRUE(contains(
	    run.out, "version 9, accepted 1970-01-02T00:00:00Z, by bjarni"))
	    << run.out;
}

// Guards against a false conflict: after a lost answer, the repeated `apply`
// finds the version that its first attempt created.
TEST(CliProgram, ApplyRecognisesOwnVersionAfterLostAnswer)
{
	std::string text = read_file(kExample);
	FakeUpstream server([&](const std::string &request, int number, int) {
		if (request.compare(0, 3, "GET") == 0)
			return answer(
			    "200 OK", config_response(8, "ann", text));
		if (number == 0)
			return Action{"", Action::CLOSE};
		return answer(
		    "409 Conflict", "{\"ran\":\"not run\",\"version\":8}");
	});
	ProgramResult run = run_camphorctl(
	    "apply --base 7 " + kExample + " --server " + server.address);

	EXPECT_EQ(run.code, CLI_EXIT_OK) << run.out;
	EXPECT_TRUE(contains(run.out, "version 8 is accepted")) << run.out;
}

// Guards against a second job being submitted after a lost answer: the retry
// must have the same idempotency key.
TEST(CliProgram, SubmitRepeatsWithSameKey)
{
	std::mutex lock;
	std::vector<std::string> keys;
	FakeUpstream server([&](const std::string &request, int number, int) {
		std::lock_guard<std::mutex> guard(lock);
		keys.push_back(header_line(request, "Idempotency-Key"));
		return number == 0 ? Action{"", Action::CLOSE}
				   : answer("200 OK", "{\"id\": 41}");
	});
	ProgramResult run =
	    run_camphorctl("submit --name n --accelerators 8 --declared-s 60 "
			   "--server " +
		server.address);

	EXPECT_EQ(run.code, CLI_EXIT_OK) << run.out;
	EXPECT_TRUE(contains(run.out, "41\n"));
	std::lock_guard<std::mutex> guard(lock);
	ASSERT_EQ(keys.size(), 2U);
	EXPECT_EQ(keys[0], keys[1]);
	EXPECT_GT(keys[0].size(), strlen("Idempotency-Key: "));
}

// Guards against a `wait` whose result a script cannot read: each state is
// printed, and the final one sets the exit code. The first request must not
// wait for a change: a job that has ended does not change again, so `wait`
// would take 10 s to detect the end.
TEST(CliProgram, WaitEndsWithTheJob)
{
	FakeUpstream server([&](const std::string &request, int number, int) {
		EXPECT_EQ(contains(request, "/wait?"), number > 0);
		const char *states[] = {"waiting", "running", "failed"};
		return answer("200 OK",
		    "{\"id\":5,\"state\":\"" + std::string(states[number]) +
			"\",\"version\":" + std::to_string(number + 1) + "}");
	});
	ProgramResult run = run_camphorctl("wait 5 --server " + server.address);

	EXPECT_EQ(run.code, CLI_EXIT_REFUSED);
	EXPECT_TRUE(contains(run.out, "job 5 waiting")) << run.out;
	EXPECT_TRUE(contains(run.out, "job 5 running")) << run.out;
}

// Guards against a `bench` that never ends if the server stops answering, and
// against idempotency keys in requests that are declared idempotent.
TEST(CliProgram, BenchIsBounded)
{
	std::atomic<int> keys{0};
	FakeUpstream server([&](const std::string &request, int number, int) {
		keys += contains(request, "Idempotency-Key");
		return number < 10
		    ? answer("200 OK", "x", "X-Request-Id: 1\r\n")
		    : Action{"", Action::SILENCE};
	});
	ProgramResult run =
	    run_camphorctl("bench quotes --count 12 --concurrency 1 --json "
			   "--timeout-ms 200 --server " +
		server.address);

	EXPECT_EQ(run.code, CLI_EXIT_UNKNOWN) << run.out;
	EXPECT_TRUE(contains(run.out, "\"done\":10,")) << run.out;
	EXPECT_TRUE(contains(run.out, "\"unknown\":2,")) << run.out;
	EXPECT_EQ(keys, 0);
}

} // namespace
