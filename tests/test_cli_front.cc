#include <sys/stat.h>

#include <sstream>

#include "cli.h"
#include "ctl_program.h"
#include "front_fixture.h"
#include "http_server.h"

namespace {

// Runs camphorctl against a real front over HTTP.
struct CliFront : public FrontFixture {
	void
	SetUp() override
	{
		struct lk_http_route routes[LK_HTTP_ROUTES_MAX];
		struct lk_http_server_config config;

		FrontFixture::SetUp();
		// The calls of camphorctl wait in real time, so the front must
		// not use the manual clock of the fixture.
		options.mono = {mono_clock_ms, nullptr};
		create_front();
		lk_http_server_config_default(&config);
		config.address = "127.0.0.1:0";
		config.threads = 2;
		config.routes = routes;
		config.route_count =
		    fr_routes(front, routes, LK_HTTP_ROUTES_MAX);
		ASSERT_EQ(lk_http_server_start(&server, &config), CW_OK);
		put_accounts();
		key_file = write_temp_file("ops.key", "ops-key\n");
		chmod(key_file.c_str(), 0600);
	}
	void
	TearDown() override
	{
		lk_http_server_stop(server);
		FrontFixture::TearDown();
	}
	static int64_t
	mono_clock_ms(void *)
	{
		return cw_clock_mono_ms();
	}
	ProgramResult
	run(const std::string &arguments)
	{
		return run_camphorctl(arguments + " --account " + account +
		    " --key-file " + key_file +
		    " --timeout-ms 2000 --server 127.0.0.1:" +
		    std::to_string(lk_http_server_port(server)));
	}
	struct lk_http_server *server = nullptr;
	std::string account = "ops";
	std::string key_file;
};

// Guards against a JSON field that is renamed on one side only: its column
// would contain "-" in every row. Times are 0 in this test, which is also
// printed as "-".
TEST_F(CliFront, TableColumnsMatchServerFields)
{
	const struct {
		const char *command;
		const char *row;
	} cases[] = {
	    {"accounts", "beta caller 64 0 0 0 2 0 0 1 2 0 0 -"},
	    {"workers", "w1 up - - r1 8 0 0 32 0 65536 0 0 -"},
	    {"status", "42 waiting urgent 1 2 no - none beta job"},
	    {"status --of alpha", "41 done urgent 1 2 no - none alpha job"},
	    {"status 42", "accelerators each 2"},
	    {"status 42", "0 2 r1 w1"},
	    {"show", "# camphorctl: version 3, accepted -, by"},
	};

	put_worker("w1", "r1", 8);
	put_job(41, "alpha", BD_JOB_DONE);
	put_job(42, "beta", BD_JOB_WAITING);
	put_task(42, "w1", 3);
	for (const auto &c : cases) {
		ProgramResult result = run(c.command);
		std::string words;
		std::istringstream lines(result.out);
		for (std::string line; std::getline(lines, line);
		     words += "\n") {
			std::istringstream line_words(line);
			for (std::string word; line_words >> word;)
				words += word + " ";
		}
		EXPECT_EQ(result.code, CLI_EXIT_OK) << c.command;
		EXPECT_TRUE(contains(words, c.row)) << c.command << "\n"
						    << words;
	}
	for (const char *command : {"upstreams", "members", "events"})
		EXPECT_EQ(run(command).code, CLI_EXIT_OK) << command;
}

// Guards the exit codes over the whole path, from the decision of the server to
// the exit of the program.
TEST_F(CliFront, ExitCodesOverHttp)
{
	const std::string text = TEST_SOURCE_DIR "/examples/himal.toml";
	const struct {
		std::string command;
		enum cli_exit code;
	} cases[] = {
	    {"wait 41", CLI_EXIT_OK},
	    {"wait 42 --at-most-ms 1", CLI_EXIT_UNKNOWN},
	    {"cancel 41", CLI_EXIT_CONFLICT}, {"cancel 42", CLI_EXIT_OK},
	    {"cancel 99", CLI_EXIT_REFUSED},
	    {"report", CLI_EXIT_UNREACHABLE}, // the log is not connected
	    {"apply --base 2 " + text, CLI_EXIT_CONFLICT},
	    {"apply --check " + text, CLI_EXIT_OK},
	    {"diff " + text, CLI_EXIT_REFUSED},
	    {"submit --name x --accelerators 3 --declared-s 5 --cores 2.5",
		CLI_EXIT_OK},
	    {"submit --name x --accelerators 3 --declared-s 5 --members 99",
		CLI_EXIT_REFUSED},
	    {"show --account alpha", CLI_EXIT_USAGE}, // given twice
	    {"drain", CLI_EXIT_OK},
	    {"submit --name x --accelerators 3 --declared-s 5",
		CLI_EXIT_UNREACHABLE}, // draining
	};

	put_job(41, "alpha", BD_JOB_DONE);
	put_job(42, "beta", BD_JOB_WAITING);
	for (const auto &c : cases) {
		ProgramResult result = run(c.command);
		EXPECT_EQ(result.code, c.code) << c.command << result.out;
	}
	account = "alpha";
	EXPECT_EQ(run("show").code, CLI_EXIT_UNAUTHORISED);
}

} // namespace
