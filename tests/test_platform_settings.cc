#include <gtest/gtest.h>

#include <cstring>
#include <string>

#include "platform_messages.h"

namespace {

/* Parses settings in which one field of a group has another value. */
int
parse(const std::string &group, const std::string &field,
    const std::string &value, struct pl_settings *settings)
{
	auto members = [&](const std::string &name, const std::string &fields) {
		return "\"" + name + "\":{" + fields +
		    (group == name ? ",\"" + field + "\":" + value : "") + "}";
	};
	std::string text =
	    "{\"NodeName\":\"n\",\"Zone\":\"z\",\"Region\":\"r\","
	    "\"Ip\":\"10.0.0.1\"," +
	    members("ListenAddrs", "\"Front\":\"10.0.0.1:1\"") + "," +
	    members("Bounds", "\"x\":0") + "," + members("Limits", "\"x\":0") +
	    "," + members("platform", "\"Address\":\"10.0.0.9:3\"") +
	    (group.empty() ? ",\"" + field + "\":" + value : "") + "}";

	return pl_settings_parse(text.data(), text.size(), settings);
}

} // namespace

/* Guards against numbers that are cut to others: the daemon must not start with
 * them, and must say which field it is. */
TEST(PlatformSettings, NumbersOutOfRangeAreRejectedByName)
{
	const struct {
		const char *group;
		const char *field;
	} numbers[] = {
	    {"Bounds", "GraceS"},
	    {"Bounds", "ConfigApplyMs"},
	    {"Bounds", "MaxHoldMs"},
	    {"Bounds", "StopTimeoutMs"},
	    {"Bounds", "GangTimeoutMs"},
	    {"Bounds", "ReclaimMs"},
	    {"Bounds", "cancel_ms"},
	    {"Bounds", "RemoteFactor"},
	    {"Bounds", "EvacuateMs"},
	    {"Bounds", "status_s"},
	    {"Limits", "CpuShare"},
	    {"Limits", "MemoryMb"},
	    {"Limits", "MaxFds"},
	    {"Bounds", "RestoreMs"},
	    {"platform", "MinTtlMs"},
	    {"platform", "RecordBytes"},
	    {"platform", "RequestBytes"},
	    {"", "HeartbeatMs"},
	};
	static struct pl_settings settings;

	for (const auto &number : numbers) {
		for (const char *value :
		    {"-1", "-0.5", "4294967297", "4294968296", "4294973296",
			"9223372036854775807", "18446744073709551616", "1e300",
			"-1e300", "\"3\"", "true", "[3]"}) {
			EXPECT_EQ(CW_EINVAL,
			    parse(number.group, number.field, value, &settings))
			    << number.field << " " << value;
			/* The library names the line of this one. */
			if (strcmp(value, "18446744073709551616") == 0)
				continue;
			EXPECT_NE(
			    nullptr, strstr(cw_error_last(), number.field))
			    << cw_error_last();
		}
		for (const char *value : {"2000", "2000.0", "null"})
			EXPECT_EQ(CW_OK,
			    parse(number.group, number.field, value, &settings))
			    << number.field << " " << cw_error_last();
	}
	ASSERT_EQ(CW_OK, parse("Bounds", "GraceS", "1.5", &settings));
	EXPECT_EQ(1500U, settings.grace_ms);
	/* Without the field nothing is bounded; a bound that no placer could
	 * keep is an error. */
	EXPECT_EQ(0U, settings.flow.evacuate_ms);
	EXPECT_EQ(1000U, settings.flow.cold_overage_milli);
	EXPECT_EQ(CW_EINVAL, parse("Bounds", "EvacuateMs", "1999", &settings));
	ASSERT_EQ(CW_OK, parse("Bounds", "EvacuateMs", "5000", &settings));
	EXPECT_EQ(5000U, settings.flow.evacuate_ms);
	ASSERT_EQ(CW_OK, parse("Bounds", "ColdOverage", "1.5", &settings));
	EXPECT_EQ(1500U, settings.flow.cold_overage_milli);
	EXPECT_EQ(CW_EINVAL, parse("Bounds", "ColdOverage", "-1", &settings));
	ASSERT_EQ(CW_OK, parse("Bounds", "ColdSlack", "5", &settings));
	EXPECT_EQ(5000U, settings.cold_slack_milli);
	ASSERT_EQ(CW_OK, parse("Limits", "CpuShare", "0.25", &settings));
	EXPECT_EQ(250U, settings.cpu_milli);
	ASSERT_EQ(CW_OK, parse("Bounds", "status_s", "86400", &settings));
	EXPECT_EQ(86400000U, settings.flow.retention_ms);
	EXPECT_EQ(262144U, settings.flow.record_bytes);
	EXPECT_EQ(2097152U, settings.flow.request_bytes);
	/* A record has to fit into an append, with its length. */
	ASSERT_EQ(
	    CW_OK, parse("platform", "RequestBytes", "200000", &settings));
	EXPECT_EQ(199996U, settings.flow.record_bytes);
}

/* Guards against a daemon that starts and listens on another port, or never
 * reaches its store. */
TEST(PlatformSettings, PortsOutOfRangeAreRejectedByName)
{
	static struct pl_settings settings;

	for (const char *field : {"Front", "Ready"})
		for (const char *port :
		    {"", ":", ":0", ":65536", ":4294967297", ":-1", ":1x"}) {
			EXPECT_EQ(CW_EINVAL,
			    parse("ListenAddrs", field,
				"\"10.0.0.1" + std::string(port) + "\"",
				&settings))
			    << field << port;
			EXPECT_NE(nullptr, strstr(cw_error_last(), field));
		}
	EXPECT_EQ(CW_EINVAL, parse("ListenAddrs", "Ready", "7", &settings));
	EXPECT_EQ(CW_EINVAL,
	    parse("platform", "Address", "\"10.0.0.9:65536\"", &settings));
	for (const char *ports : {"[0]", "[-1]", "[65536]", "[4294967297]",
		 "[\"7000\"]", "[7000.5]", "[7000,0]", "[7000,\"7015\"]"}) {
		EXPECT_EQ(
		    CW_EINVAL, parse("", "InternalPorts", ports, &settings))
		    << ports;
		EXPECT_NE(nullptr, strstr(cw_error_last(), "InternalPorts"));
	}
	ASSERT_EQ(CW_OK, parse("", "InternalPorts", "[65535]", &settings));
	EXPECT_STREQ("10.0.0.1:65535", settings.metrics_address);
	EXPECT_STREQ("", settings.peer_address);
	ASSERT_EQ(CW_OK, parse("", "InternalPorts", "[7000,7015]", &settings));
	EXPECT_STREQ("10.0.0.1:7015", settings.peer_address);
}

/* A VM without processor, memory or descriptors can serve nobody: the daemon
 * must not start there, and must say what is missing. */
TEST(PlatformSettings, LimitsOfNothingAreRejectedByName)
{
	static struct pl_settings settings;

	for (const char *field : {"CpuShare", "MemoryMb", "MaxFds"}) {
		EXPECT_EQ(CW_EINVAL, parse("Limits", field, "0", &settings));
		EXPECT_NE(nullptr, strstr(cw_error_last(), field))
		    << cw_error_last();
	}
	EXPECT_EQ(CW_EINVAL, parse("Limits", "MaxFds", "300", &settings));
	ASSERT_EQ(CW_OK, parse("Limits", "CpuShare", "0.05", &settings));
	EXPECT_EQ(50U, settings.cpu_milli);
}

/* A daemon must not be larger than its VM: with 48 threads for clients on each
 * VM, whatever its size, a machine had no room for 300 daemons. */
TEST(PlatformSettings, ThreadsAndConnectionsFollowTheVm)
{
	struct pl_settings small = {};
	struct pl_settings large = {};

	small.cpu_milli = 120;
	small.memory_mb = 160;
	small.descriptors = 4100;
	pl_settings_size(&small);
	EXPECT_EQ(12U, small.front_threads);
	EXPECT_GT(small.connections_max, 800U);
	large.cpu_milli = 500;
	large.memory_mb = 512;
	large.descriptors = 8192;
	pl_settings_size(&large);
	EXPECT_EQ(48U, large.front_threads);
	/* One kept connection to each of 3,000 workers. */
	EXPECT_GT(large.connections_max, 3000U);
	large.descriptors = 512;
	pl_settings_size(&large);
	EXPECT_LT(
	    large.connections_max + 4 * large.front_threads, 512U - 200 + 1);
}

/* Guards against a daemon that does not start because of the length of a text:
 * the pages set none. Nodes stay told apart. */
TEST(PlatformSettings, TextsOfAnyLengthAreRead)
{
	auto parse_texts = [](const std::string &node, const std::string &zone,
			       struct pl_settings *settings) {
		std::string text = "{\"NodeName\":\"" + node +
		    "\",\"Zone\":\"" + zone + "\",\"Region\":\"" + zone +
		    "\",\"ListenAddrs\":{\"Front\":\"10.0.0.1:1\"},"
		    "\"platform\":{\"Address\":\"10.0.0.9:3\"}}";

		return pl_settings_parse(text.data(), text.size(), settings);
	};
	static struct pl_settings settings;
	static struct pl_settings other;

	for (size_t bytes : {1, 40, 62, 63, 64, 65, 255, 5000}) {
		std::string text(bytes, 'n');

		ASSERT_EQ(CW_OK, parse_texts(text + "a", text, &settings))
		    << cw_error_last();
		ASSERT_EQ(CW_OK, parse_texts(text + "b", text, &other));
		EXPECT_STRNE(settings.node, other.node) << bytes;
		EXPECT_EQ(0,
		    strncmp(
			settings.node, text.c_str(), 39 < bytes ? 39 : bytes));
		ASSERT_EQ(CW_OK, parse_texts(text + "a", text, &other));
		EXPECT_STREQ(settings.node, other.node);
	}
	/* A name is not taken for that of a node with a longer one. */
	ASSERT_EQ(CW_OK, parse_texts(std::string(64, 'n'), "z", &settings));
	ASSERT_EQ(CW_OK, parse_texts(settings.node, "z", &other));
	EXPECT_STRNE(settings.node, other.node);
}

/* Guards against a daemon that does not start with times that a platform may
 * well set. */
TEST(PlatformSettings, LongTimesAreRead)
{
	static struct pl_settings settings;

	ASSERT_EQ(CW_OK, parse("Bounds", "status_s", "2592000", &settings))
	    << cw_error_last();
	EXPECT_EQ(2592000000U, settings.flow.retention_ms);
	for (const char *field : {"MaxHoldMs", "StopTimeoutMs", "GangTimeoutMs",
		 "ReclaimMs", "AckTimeoutMs", "cancel_ms", "ConfigApplyMs"})
		EXPECT_EQ(CW_OK, parse("Bounds", field, "86400000", &settings))
		    << field << " " << cw_error_last();
	EXPECT_EQ(CW_OK, parse("Bounds", "GraceS", "172800", &settings));
}

/* Guards against an address that is cut. */
TEST(PlatformSettings, LongestIpIsReadWhole)
{
	static struct pl_settings settings;
	std::string ip = "0000:0000:0000:0000:0000:ffff:255.255.255.255";
	std::string text = "{\"NodeName\":\"n\",\"Zone\":\"z\",\"Region\":"
			   "\"r\",\"Ip\":\"" +
	    ip +
	    "\",\"InternalPorts\":[65535],\"ListenAddrs\":{\"Front\":"
	    "\"10.0.0.1:1\"},\"platform\":{\"Address\":\"10.0.0.9:3\"}}";

	ASSERT_EQ(
	    CW_OK, pl_settings_parse(text.data(), text.size(), &settings));
	EXPECT_EQ("[" + ip + "]:65535", settings.metrics_address);
}

/* Guards against rejecting the settings of a newer platform because of an
 * unknown field. */
TEST(PlatformWire, SettingsWithUnknownFieldsAreParsed)
{
	struct pl_settings settings;

	ASSERT_EQ(CW_OK,
	    pl_settings_parse(settings_text, strlen(settings_text), &settings))
	    << cw_error_last();
	EXPECT_STREQ("10.0.0.1:7000", settings.metrics_address);
	EXPECT_EQ(6000U, settings.flow.lease_ms);
	EXPECT_EQ(6000U, settings.grace_ms);
	EXPECT_EQ(4000U, settings.config_age_max_ms);
	EXPECT_EQ(3000U, settings.flow.cancel_ms);
	EXPECT_EQ(120000U, settings.flow.retention_ms);
}

/* Guards against a start with incomplete settings; the error names the missing
 * field. */
TEST(PlatformWire, IncompleteSettingsAreRejected)
{
	struct pl_settings settings;

	EXPECT_EQ(CW_EINVAL, pl_settings_parse("{}", 2, &settings));
	EXPECT_NE(nullptr, strstr(cw_error_last(), "NodeName"));
	EXPECT_EQ(CW_EINVAL, pl_settings_parse("{", 1, &settings));
	std::string bad(settings_text);
	bad.replace(bad.find("\"MaxHoldMs\""), 0, "\"ConfigApplyMs\":9,");
	EXPECT_EQ(
	    CW_EINVAL, pl_settings_parse(bad.data(), bad.size(), &settings));
	EXPECT_NE(nullptr, strstr(cw_error_last(), "ConfigApplyMs"));
}
