#include <gtest/gtest.h>

#include <jansson.h>

#include "cli.h"
#include "ctl_program.h"
#include "scripted_server.h"

namespace {

const std::string example = TEST_SOURCE_DIR "/examples/himal.toml";
const std::string clean = R"({"Version": 7,
 "Routes": [{"Name": "q", "Host": "h.example", "PathPrefix": "/q/",
  "Service": "pool", "Priority": 0}],
 "Tenants": [{"Name": "t", "ApiKeys": ["secret"]}]})";

std::string
read_all(const std::string &path)
{
	std::ifstream in(path);

	return std::string(std::istreambuf_iterator<char>(in), {});
}

std::string
changed(std::string text, const std::string &from, const std::string &to)
{
	size_t at = text.find(from);

	EXPECT_NE(std::string::npos, at) << from;
	return text.replace(at, from.size(), to);
}

std::string
quoted(const std::string &text)
{
	json_t *value = json_string(text.c_str());
	char *dump = json_dumps(value, JSON_ENCODE_ANY);
	std::string out = dump;

	free(dump);
	json_decref(value);
	return out;
}

/* Parses the standard output of a run with --json. */
json_t *
report(const ProgramResult &run)
{
	json_t *root = json_loads(run.out.c_str(), 0, nullptr);

	EXPECT_NE(nullptr, root) << run.out;
	return root;
}

json_int_t
place(const json_t *root, const char *list, const char *member)
{
	return json_integer_value(json_object_get(
	    json_array_get(json_object_get(root, list), 0), member));
}

} // namespace

/* Guards against exit codes that mix up clean files, warnings and errors. */
TEST(CliCheck, ExitCodesTellErrorsFromWarnings)
{
	std::string file = write_temp_file("clean.json", clean);
	ProgramResult run = run_camphorctl("check --strict " + file);

	EXPECT_EQ(CLI_EXIT_OK, run.code) << run.out;
	EXPECT_EQ(file +
		": operator's configuration, version 7, 1 routes, 1 tenants, "
		"1 keys\n",
	    run.out);
	file = write_temp_file("warn.json",
	    changed(clean, "\"Priority\": 0", "\"Priority\": 0.5"));
	run = run_camphorctl("check " + file);
	EXPECT_EQ(CLI_EXIT_OK, run.code) << run.out;
	EXPECT_TRUE(contains(run.out, file + ":3:34: warning: Routes[0]: \"P"))
	    << run.out;
	EXPECT_EQ(
	    CLI_EXIT_REFUSED, run_camphorctl("check --strict " + file).code);
	file = write_temp_file(
	    "bad.json", changed(clean, "\"Priority\": 0", "\"Priority\": {}"));
	run = run_camphorctl("check " + file);
	EXPECT_EQ(CLI_EXIT_REFUSED, run.code);
	EXPECT_TRUE(contains(run.out, file + ":3:34: Routes[0]: \"Priority\""))
	    << run.out;
	EXPECT_EQ(CLI_EXIT_USAGE, run_camphorctl("check /nonexistent").code);
	EXPECT_EQ(CLI_EXIT_USAGE,
	    run_camphorctl("check --accelerators 0 " + file).code);
}

/* Guards against a report that scripts cannot read, or without the places. */
TEST(CliCheck, JsonHasErrorsAndWarningsApart)
{
	std::string file = write_temp_file("warn.json",
	    changed(clean, "\"Priority\": 0", "\"Priority\": 0.5"));
	json_t *root = report(run_camphorctl("check --json " + file));

	EXPECT_TRUE(json_is_true(json_object_get(root, "accepted")));
	EXPECT_STREQ(
	    "operator", json_string_value(json_object_get(root, "kind")));
	EXPECT_EQ(0U, json_array_size(json_object_get(root, "errors")));
	EXPECT_EQ(3, place(root, "warnings", "line"));
	EXPECT_EQ(34, place(root, "warnings", "column"));
	json_decref(root);
	file = write_temp_file("bad.toml",
	    changed(read_all(example), "entry_vms = 8", "entry_vms = 0"));
	ProgramResult run = run_camphorctl("check --json " + file);
	root = report(run);
	EXPECT_EQ(CLI_EXIT_REFUSED, run.code);
	EXPECT_TRUE(json_is_false(json_object_get(root, "accepted")));
	EXPECT_EQ(7, place(root, "errors", "line"));
	json_decref(root);
}

/* Guards against output of hostile files that is no JSON or controls the
 * terminal. */
TEST(CliCheck, HostileTextsArePrintedSafely)
{
	const std::string texts[] = {
	    changed(clean, "\"Priority\"", "\"Pri\\u001b[2Jty\""),
	    changed(clean, "\"Priority\"", "\"priorit\\u001b\""),
	    changed(clean, "\"q\"", "\"q\xff\""), std::string(5000, '{'),
	    changed(clean, "\"Name\"", "\"\\u0000\""),
	    changed(clean, "pool", std::string(230, 'x') + "\u00e9\u00e9"),
	    "[fleet]\nx\x1b[2J\xff = 3\n",
	    "[[account]]\nname = \"\u00e9\xc3\"\n",
	    std::string("[fleet]\nentry_vms = 8\0\n", 23), "", "{",
	    "\xef\xbb\xbf{}"};

	for (const std::string &text : texts) {
		std::string file = write_temp_file("hostile", text);
		ProgramResult run = run_camphorctl("check " + file);

		EXPECT_EQ(std::string::npos, run.out.find('\x1b')) << run.out;
		EXPECT_LE(run.code, CLI_EXIT_REFUSED) << run.out;
		json_decref(report(run_camphorctl("check --json " + file)));
	}
}

/* Guards against a comparison that shows access keys, or changes that are none,
 * and against an older version that VMs would ignore. */
TEST(CliCheck, SavedVersionsAreCompared)
{
	std::string saved = write_temp_file("saved.json", clean);
	std::string next = write_temp_file(
	    "next.json", changed(changed(clean, "secret", "hidden"), "7", "8"));
	std::string check = "check " + next + " --against ";
	ProgramResult run = run_camphorctl(check + saved);

	EXPECT_EQ(CLI_EXIT_OK, run.code) << run.out;
	EXPECT_TRUE(contains(run.out, "2 lines added, 2 removed")) << run.out;
	EXPECT_TRUE(contains(run.out, "+ \"Version\": 8")) << run.out;
	EXPECT_FALSE(contains(run.out, "secret")) << run.out;
	EXPECT_FALSE(contains(run.out, "hidden")) << run.out;
	EXPECT_FALSE(contains(run.out, "warning")) << run.out;
	run = run_camphorctl("check " + saved + " --against " + next);
	EXPECT_TRUE(contains(run.out, "warning: version 7 is older than 8"))
	    << run.out;
	next = write_temp_file("next.json", changed(clean, "/q/", "/r/"));
	run = run_camphorctl("check --json " + next + " --against " + saved);
	json_t *root = report(run);
	EXPECT_EQ(1,
	    json_integer_value(
		json_object_get(json_object_get(root, "against"), "added")));
	EXPECT_EQ(1U, json_array_size(json_object_get(root, "warnings")));
	json_decref(root);
	run = run_camphorctl(check + example);
	EXPECT_EQ(CLI_EXIT_USAGE, run.code) << run.out;
	EXPECT_TRUE(contains(run.out, "different kinds")) << run.out;
	EXPECT_FALSE(contains(run.out, "lines added")) << run.out;
	EXPECT_EQ(CLI_EXIT_USAGE, run_camphorctl(check + "/nonexistent").code);
	EXPECT_EQ(CLI_EXIT_USAGE, run_camphorctl(check + "in-force").code);
	run = run_camphorctl("check " + example + " --against " + example);
	EXPECT_TRUE(contains(run.out, "0 lines added, 0 removed")) << run.out;
}

/* Guards against a comparison with the version in force that takes a second
 * command, or that omits what only the servers know. */
TEST(CliCheck, TheVersionInForceIsCompared)
{
	std::string text = read_all(example);
	std::string active = "{\"version\": 4, \"author\": \"ops\", "
			     "\"accepted_ms\": 1, \"text\": " +
	    quoted(changed(text, "entry_vms = 8", "entry_vms = 9")) + "}";
	std::string file = write_temp_file(
	    "next.toml", "# camphorctl: version 3, accepted x\n" + text);
	std::string command = "check " + file + " --against in-force --server ";
	{
		ScriptedServer server({{200, active}, {200, "{}"}});
		ProgramResult run = run_camphorctl(command + server.address);

		EXPECT_EQ(CLI_EXIT_OK, run.code) << run.out;
		EXPECT_TRUE(contains(run.out,
		    "against version 4 in force, by ops: 1 lines added, 1 "
		    "removed"))
		    << run.out;
		EXPECT_TRUE(contains(run.out, "+entry_vms = 8")) << run.out;
		EXPECT_TRUE(contains(run.out,
		    "warning: the file is based on version 3, version 4 is"))
		    << run.out;
	}
	{
		ScriptedServer server({{200, active},
		    {422,
			"{\"error\": \"x\", \"ran\": \"not run\", \"errors\": "
			"[{\"line\": 30, \"column\": 2, \"text\": \"does not "
			"fit\"}]}"}});
		ProgramResult run = run_camphorctl(command + server.address);

		EXPECT_EQ(CLI_EXIT_REFUSED, run.code) << run.out;
		EXPECT_TRUE(
		    contains(run.out, file + ":31:2: server: does not fit"))
		    << run.out;
	}
	EXPECT_EQ(
	    CLI_EXIT_UNREACHABLE, run_camphorctl(command + "127.0.0.1:1").code);
	EXPECT_EQ(CLI_EXIT_USAGE,
	    run_camphorctl("check " + example + " --against in-force").code);
}

/* Guards against options that the shell does not complete. */
TEST(CliCheck, OptionsAreCompleted)
{
	EXPECT_TRUE(contains(run_camphorctl("completion bash").out,
	    "check) options='--against --accelerators --strict '"));
}
