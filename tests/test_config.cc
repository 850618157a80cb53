#include <gtest/gtest.h>

#include <cstring>
#include <string>

#include "config.h"

namespace {

const char valid_config[] = R"([fleet]
entry_vms = 9
[[account]]
name = "a"
key_salt = "000102030405060708090a0b0c0d0e0f"
key_sha256 = "0000000000000000000000000000000000000000000000000000000000000000"
quota = 16
[[account.guarantee]]
members = 2
accelerators = 4
copies = 2
[[service]]
name = "s"
accounts = ["a"]
[[service.upstream]]
region = "r"
zone = "z"
addresses = ["10.0.0.1:9000"]
)";

const char valid_settings[] = R"(name = "entry-1"
region = "r"
zone = "z"
http_address = "127.0.0.1:8080"
peer_address = "127.0.0.1:7000"
platform_address = "127.0.0.1:8500"
)";

std::string
with_replacement(
    std::string text, const std::string &from, const std::string &to)
{
	size_t at = text.find(from);
	EXPECT_NE(at, std::string::npos) << from;
	return text.replace(at, from.size(), to);
}

struct InvalidCase {
	const char *from;
	const char *to;
	uint32_t line;
	const char *message_part;
};

// Guards against invalid configurations that are accepted, or whose error does
// not give the line and the way to fix it.
TEST(ConfigParse, EachErrorGivesLineAndFix)
{
	const InvalidCase cases[] = {
	    {"entry_vms = 9", "entry_vms = 0", 2, "from 1 to 64"},
	    {"entry_vms = 9", "entry_vms = \"9\"", 2, "an integer"},
	    {"entry_vms = 9", "entry_vm = 9", 2, "\"entry_vms\""},
	    {"entry_vms = 9", "entry_vms = 9\nreclaim = 4", 3, "\"4s\""},
	    {"entry_vms = 9", "entry_vms = 9\nreclaim = \"4 parsec\"", 3,
		"a duration"},
	    {"entry_vms = 9", "entry_vms = 9\nreclaim = \"2s\"", 1, "shorter"},
	    {"entry_vms = 9", "entry_vms = 9\nfragmentation_weight = 1.5", 3,
		"from 0 to 1"},
	    {"entry_vms = 9", "entry_vms = 9\ncross_region_bandwidth = \"6M\"",
		3, "Mbit/s"},
	    {"entry_vms = 9", "entry_vms = ", 2, ""},
	    {"name = \"a\"", "name = \"a b\"", 4, "letters"},
	    {"name = \"a\"", "", 3, "lacks the key \"name\""},
	    {"key_salt = \"00", "key_salt = \"zz", 5, "camphorctl key"},
	    {"quota = 16", "quota = 15", 0, "above its quota"},
	    {"quota = 16", "quota = 16\nrole = \"admin\"", 8,
		"caller, operator"},
	    {"members = 2", "members = 65", 9, "from 1 to 64"},
	    {"accelerators = 4", "accelerators = 4\nmemory = \"4\"", 11,
		"64GiB"},
	    {"accounts = [\"a\"]", "accounts = [\"b\"]", 14,
		"add an [[account]]"},
	    {"accounts = [\"a\"]", "accounts = [\"a\"]\nclass = \"fast\"", 15,
		"urgent, normal, batch"},
	    {"10.0.0.1:9000", "example.org:9000", 18, "IP:PORT"},
	    {"[\"10.0.0.1:9000\"]", "[\"10.0.0.1:9000\", \"10.0.0.1:9000\"]", 0,
		"twice"},
	    {"[[service]]", "[service]", 12, "an array"},
	};

	for (const InvalidCase &invalid : cases) {
		std::string text =
		    with_replacement(valid_config, invalid.from, invalid.to);
		struct cfg_errors errors = {};
		struct cfg_config *parsed = nullptr;

		EXPECT_NE(cfg_config_parse(
			      text.data(), text.size(), &parsed, &errors),
		    CW_OK)
		    << invalid.to;
		ASSERT_GE(errors.count, 1u) << invalid.to;
		EXPECT_EQ(errors.errors[0].line, invalid.line)
		    << invalid.to << ": " << errors.errors[0].text;
		EXPECT_NE(strstr(errors.errors[0].text, invalid.message_part),
		    nullptr)
		    << invalid.to << ": " << errors.errors[0].text;
	}
}

// Guards against a check that reports only the first error.
TEST(ConfigParse, AllErrorsAreListedInOneRun)
{
	std::string text =
	    with_replacement(valid_config, "entry_vms = 9", "entry_vms = 0");
	struct cfg_errors errors = {};
	struct cfg_config *parsed = nullptr;

	text = with_replacement(text, "members = 2", "members = 0");
	text = with_replacement(text, "10.0.0.1:9000", "nowhere");
	EXPECT_EQ(cfg_config_parse(text.data(), text.size(), &parsed, &errors),
	    CFG_EINVALID);
	EXPECT_EQ(errors.count, 3u);
}

// Guards against rows that do not match the configuration: copies of a
// guarantee with the same id, wrong references between rows, lost defaults.
TEST(ConfigParse, RowsMatchTheConfiguration)
{
	struct cfg_errors errors = {};
	struct cfg_config *config = nullptr;

	ASSERT_EQ(cfg_config_parse(
		      valid_config, strlen(valid_config), &config, &errors),
	    CW_OK);
	ASSERT_EQ(config->promise_count, 2u);
	EXPECT_NE(config->promises[0].id, config->promises[1].id);
	EXPECT_EQ(config->promises[0].account, config->accounts[0].id);
	ASSERT_EQ(config->runner_count, 1u);
	EXPECT_EQ(config->runners[0].service, config->services[0].id);
	EXPECT_EQ(config->services[0].accounts[0], config->accounts[0].id);
	EXPECT_EQ(config->global.reclaim_ms, 4000u);
	cfg_config_free(config);
}

// Guards against shipped examples that the check refuses, and against a key
// check that accepts a wrong key.
TEST(ConfigParse, ExamplesAreValid)
{
	for (const char *name : {"hlidarfell", "himal"}) {
		std::string path = std::string(TEST_SOURCE_DIR) + "/examples/" +
		    name + ".toml";
		struct cfg_errors errors = {};
		struct cfg_config *config = nullptr;
		char *bytes = nullptr;
		size_t count = 0;

		ASSERT_EQ(cfg_file_read(
			      path.c_str(), 1 << 20, &bytes, &count, &errors),
		    CW_OK);
		ASSERT_EQ(
		    cfg_config_parse(bytes, count, &config, &errors), CW_OK)
		    << errors.errors[0].text;
		EXPECT_EQ(config->account_count, 5u);
		EXPECT_TRUE(
		    cfg_key_matches(&config->accounts[0], "key-operators"));
		EXPECT_FALSE(
		    cfg_key_matches(&config->accounts[0], "key-other"));
		cfg_config_free(config);
		free(bytes);
	}
}

// Guards against a crash when a caller frees the result after a refused, here
// empty, configuration.
TEST(ConfigParse, FreeAcceptsNull)
{
	struct cfg_errors errors = {};
	struct cfg_config *config = nullptr;

	EXPECT_EQ(cfg_config_parse("", 0, &config, &errors), CFG_EINVALID);
	EXPECT_EQ(config, nullptr);
	cfg_config_free(config);
}

// Guards against settings that are accepted although addresses or keys are
// missing or malformed; the daemon would start with part of its addresses.
TEST(ConfigSettings, RefusesInvalidAcceptsExample)
{
	const InvalidCase cases[] = {
	    {"127.0.0.1:8080", "localhost:8080", 4, "IP:PORT"},
	    {"zone = \"z\"", "zome = \"z\"", 3, "\"zone\""},
	    {"zone = \"z\"", "zone = \"z\"\npeers = [\"x\"]", 4, "IP:PORT"},
	    {"zone = \"z\"", "zone = \"z\"\ndrain = \"1\"", 4, "a duration"},
	    {"zone = \"z\"", "zone = \"z\"\ncurve_public = \"k\"", 0,
		"go together"},
	    {"zone = \"z\"", "zone = \"z\"\ncurve_peers = [\"k\"]", 0,
		"one key for each address"},
	};
	static struct cfg_settings settings;

	for (const InvalidCase &invalid : cases) {
		std::string text =
		    with_replacement(valid_settings, invalid.from, invalid.to);
		struct cfg_errors errors = {};

		EXPECT_EQ(cfg_settings_parse(
			      text.data(), text.size(), &settings, &errors),
		    CFG_EINVALID);
		ASSERT_GE(errors.count, 1u) << invalid.to;
		EXPECT_EQ(errors.errors[0].line, invalid.line) << invalid.to;
		EXPECT_NE(strstr(errors.errors[0].text, invalid.message_part),
		    nullptr)
		    << errors.errors[0].text;
	}
	struct cfg_errors errors = {};
	std::string path =
	    std::string(TEST_SOURCE_DIR) + "/examples/camphord.toml";
	ASSERT_EQ(cfg_settings_load(path.c_str(), &settings, &errors), CW_OK);
	EXPECT_EQ(settings.peer_count, 3u);
	EXPECT_EQ(
	    cfg_settings_load("/nonexistent", &settings, &errors), CFG_EFILE);
}

} // namespace
