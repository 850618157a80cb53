#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "config.h"

namespace {

const std::string valid = R"([fleet]
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

/* Returns the warnings about a valid text. */
std::string
warnings_of(const std::string &text, uint32_t accels = 0)
{
	auto errors = std::make_unique<cfg_errors>();
	struct cfg_config *config = nullptr;
	std::string out;

	EXPECT_EQ(CW_OK,
	    cfg_config_parse(text.data(), text.size(), &config, &*errors))
	    << errors->errors[0].text;
	if (config == nullptr)
		return "invalid";
	EXPECT_EQ(CW_OK,
	    cfg_config_warn(
		text.data(), text.size(), config, accels, &*errors));
	for (size_t i = 0; i < errors->count; i++)
		out += std::to_string(errors->errors[i].line) + " " +
		    errors->errors[i].text + "\n";
	cfg_config_free(config);
	return out;
}

std::string
changed(const std::string &from, const std::string &to)
{
	std::string text = valid;
	size_t at = text.find(from);

	EXPECT_NE(std::string::npos, at) << from;
	return text.replace(at, from.size(), to);
}

} // namespace

/* Guards against warnings about a text without a fault. */
TEST(ConfigWarn, CleanTextsGiveNothing)
{
	EXPECT_EQ("", warnings_of(valid));
	EXPECT_EQ("", warnings_of(valid, 16));
}

/* Guards against what a server accepts and cannot be meant, and against
 * warnings without the line. */
TEST(ConfigWarn, WarningsNameWhatCannotBeMeant)
{
	const std::string second = "[[account]]\nname = \"b\"\n"
				   "key_salt = "
				   "\"000102030405060708090a0b0c0d0e0f\"\n"
				   "key_sha256 = \"" +
	    std::string(64, '0') + "\"\n[[service]]\nname = \"s\"";
	const std::string service = valid.substr(valid.find("[[service]]")) +
	    "[[service]]\nname = \"t\"";
	const struct {
		std::string text;
		const char *warning;
	} cases[] = {
	    {changed("zone = \"z\"", "zone = \"z\"\nleaving = true"),
		"12 service \"s\" has no upstream"},
	    {changed("[\"10.0.0.1:9000\"]", "[]"),
		"12 service \"s\" has no upstream"},
	    {changed("[\"a\"]", "[\"a\", \"a\"]"),
		"12 service \"s\" names its account 1 twice"},
	    {changed("entry_vms = 9", "entry_vms = 9\nrequest_keep = \"60s\"") +
		    "[[service]]\nname = \"slow\"\ntimeout = \"120s\"\n"
		    "accounts = []\n[[service.upstream]]\nregion = \"r\"\n"
		    "zone = \"z\"\naddresses = [\"10.0.0.2:9000\"]\n",
		"\"request_keep\" (60000 ms)"},
	    {changed("[[service]]\nname = \"s\"", second),
		"12 account \"b\" has the key of account \"a\""},
	    {changed("[[service]]\nname = \"s\"", service),
		"is listed by two services"},
	};

	for (const auto &one : cases)
		EXPECT_NE(
		    std::string::npos, warnings_of(one.text).find(one.warning))
		    << one.warning << "\n"
		    << warnings_of(one.text);
	EXPECT_NE(std::string::npos,
	    warnings_of(valid, 15).find(
		"16 accelerators are guaranteed, the deployment has 15"));
}

/* Guards against the keys of the examples in a deployment. */
TEST(ConfigWarn, PublishedKeysAreNamed)
{
	struct bd_account account = {};
	char hash[65];

	for (int i = 0; i < 16; i++)
		account.key_salt[i] = (uint8_t)i;
	cfg_key_hash(account.key_salt, "key-a", account.key_hash);
	for (int i = 0; i < 32; i++)
		snprintf(hash + 2 * i, 3, "%02x", account.key_hash[i]);
	EXPECT_EQ(0U,
	    warnings_of(changed(std::string(64, '0'), hash))
		.find("3 account \"a\" has the published key"));
}
