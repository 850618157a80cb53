#include <gtest/gtest.h>

#include <atomic>
#include <cstring>
#include <string>
#include <thread>
#include <utility>

#include "adapter.h"

namespace {

/* The names of a configuration; all others are fixed. */
struct Names {
	std::string route = "q";
	std::string host = "h.example";
	std::string prefix = "/jobs/";
	std::string service = "pool";
	std::string tenant = "t";
	std::string key = "key";
};

std::string
configuration(int version, const Names &names)
{
	return "{\"Version\":" + std::to_string(version) +
	    ",\"Routes\":[{\"Name\":\"first\",\"Host\":\"h.example\","
	    "\"PathPrefix\":\"/first/\",\"Service\":\"pool\"},{\"Name\":\"" +
	    names.route + "\",\"Host\":\"" + names.host +
	    "\",\"PathPrefix\":\"" + names.prefix + "\",\"Service\":\"" +
	    names.service + "\",\"Priority\":0}],\"Services\":[{\"Name\":\"" +
	    names.service +
	    "\"}],\"Tenants\":[{\"Name\":\"first\","
	    "\"ApiKeys\":[\"first\"]},{\"Name\":\"" +
	    names.tenant + "\",\"ApiKeys\":[\"" + names.key +
	    "\"],\"Guaranteed\":{\"Gpu\":3}}]}";
}

uint64_t
id_of(const std::string &name)
{
	return cw_id_from_name(name.c_str());
}

/* Applies a configuration and expects all of its names to be in force. */
void
expect_in_force(struct bd_board *board, int version, const Names &names)
{
	std::string text = configuration(version, names);

	ASSERT_EQ(CW_OK, pl_config_apply(board, text.data(), text.size()))
	    << cw_error_last();
	bd_read_begin();
	const struct bd_setup *setup = fw_setup(board);
	EXPECT_EQ((uint64_t)version, setup->version);
	const struct bd_queue *queue = fw_queue_find(
	    setup, names.host.c_str(), (names.prefix + "x").c_str());
	ASSERT_NE(nullptr, queue);
	EXPECT_EQ(id_of(names.route), queue->id);
	EXPECT_EQ(id_of(names.service), queue->pool);
	EXPECT_EQ(0U, queue->priority);
	queue = fw_queue_find(setup, "h.example:80", "/first/x");
	ASSERT_NE(nullptr, queue);
	EXPECT_EQ(id_of("first"), queue->id);
	const struct bd_access_key *key =
	    fw_access_key_find(setup, id_of(names.key));
	ASSERT_NE(nullptr, key);
	EXPECT_EQ(id_of(names.tenant), key->client);
	const struct bd_client *client =
	    fw_client_find(setup, id_of(names.tenant));
	ASSERT_NE(nullptr, client);
	EXPECT_EQ(3U, client->guaranteed_accels);
	bd_read_end();
}

} // namespace

/* Guards against a version that is not put into force because of the length of
 * a text: the pages set none. */
TEST(PlatformConfig, TextsOfAnyLengthAreInForce)
{
	struct bd_board *board;
	int version = 1;

	ASSERT_EQ(CW_OK, bd_board_create(&board));
	for (size_t bytes :
	    {1, 23, 24, 47, 48, 58, 63, 64, 127, 128, 255, 256, 4096, 40000}) {
		std::string text(bytes, 'n');
		Names names;

		expect_in_force(board, version++, names);
		names.tenant = text;
		expect_in_force(board, version++, names);
		names = Names();
		names.route = text;
		expect_in_force(board, version++, names);
		names = Names();
		names.service = text;
		expect_in_force(board, version++, names);
		names = Names();
		names.key = text;
		expect_in_force(board, version++, names);
		names = Names();
		names.host = text;
		expect_in_force(board, version++, names);
		names = Names();
		names.prefix = "/" + text + "/";
		expect_in_force(board, version++, names);
		names.tenant = names.route = names.service = names.key =
		    names.host = text;
		expect_in_force(board, version++, names);
	}
	bd_board_destroy(board);
}

/* Guards against texts that are compared in part: a host or a prefix that only
 * begins like another one, and a route whose prefix is the longer one. */
TEST(PlatformConfig, LongTextsThatBeginAlikeAreToldApart)
{
	std::string text(300, 'n');
	struct bd_board *board;
	Names names;

	names.host = text + "a";
	names.prefix = "/" + text + "a/";
	ASSERT_EQ(CW_OK, bd_board_create(&board));
	expect_in_force(board, 1, names);
	bd_read_begin();
	const struct bd_setup *setup = fw_setup(board);
	for (const std::string &host : {text, text + "b", text + "ab"})
		EXPECT_EQ(nullptr,
		    fw_queue_find(
			setup, host.c_str(), (names.prefix + "x").c_str()));
	for (const std::string &path : {"/" + text, "/" + text + "b/x",
		 "/" + text + "a", std::string("/")})
		EXPECT_EQ(nullptr,
		    fw_queue_find(setup, names.host.c_str(), path.c_str()));
	EXPECT_EQ(nullptr, fw_access_key_find(setup, id_of("ke")));
	bd_read_end();
	bd_board_destroy(board);
}

/* Guards against many routes, tenants and keys in one version of which some are
 * left out. */
TEST(PlatformConfig, ListsOfAnyLengthAreInForce)
{
	const int count = 2000;
	std::string routes;
	std::string tenants;
	struct bd_board *board;

	for (int i = 0; i < count; i++) {
		std::string n = std::to_string(i);
		std::string comma = i > 0 ? "," : "";

		routes += comma + "{\"Name\":\"r" + n +
		    "\",\"Host\":\"h\",\"PathPrefix\":\"/" + n +
		    "/\",\"Service\":\"s\"}";
		tenants += comma + "{\"Name\":\"t" + n + "\",\"ApiKeys\":[\"a" +
		    n + "\",\"b" + n + "\"]}";
	}
	std::string text = "{\"Version\":1,\"Routes\":[" + routes +
	    "],\"Tenants\":[" + tenants + "]}";
	ASSERT_EQ(CW_OK, bd_board_create(&board));
	ASSERT_EQ(CW_OK, pl_config_apply(board, text.data(), text.size()));
	bd_read_begin();
	const struct bd_setup *setup = fw_setup(board);
	for (int i = 0; i < count; i++) {
		std::string n = std::to_string(i);
		const struct bd_queue *queue =
		    fw_queue_find(setup, "h", ("/" + n + "/").c_str());

		ASSERT_NE(nullptr, queue);
		EXPECT_EQ(id_of("r" + n), queue->id);
		for (const char *key : {"a", "b"}) {
			const struct bd_access_key *row =
			    fw_access_key_find(setup, id_of(key + n));

			ASSERT_NE(nullptr, row);
			EXPECT_EQ(id_of("t" + n), row->client);
		}
	}
	bd_read_end();
	bd_board_destroy(board);
}

/* Guards against a refused version that nobody learns of: the board has its
 * number and which entry it is, until a later version is in force. */
TEST(PlatformConfig, RefusedVersionIsNotedWithItsEntry)
{
	struct bd_setup_refused refused = {};
	struct fw_record record = {};
	struct bd_board *board;
	auto follow = [&](const std::string &text) {
		record.offset++;
		record.value = text.data();
		record.value_bytes = text.size();
		return pl_config_follow(board, &record, 70);
	};

	ASSERT_EQ(CW_OK, bd_board_create(&board));
	for (const std::string &bad :
	    {std::string("{\"Version\":9,\"Routes\":[{\"Name\":5}]}"),
		std::string("{\"Version\":9,\"Tenants\":[{\"Name\":\"t\","
			    "\"ApiKeys\":[7]}]}")}) {
		EXPECT_EQ(CW_OK, follow(bad));
		ASSERT_TRUE(fw_setup_refused(board, &refused));
		EXPECT_EQ(9U, refused.version);
		EXPECT_EQ(record.offset, refused.offset);
		EXPECT_NE(nullptr, strstr(refused.cause, "[0]"))
		    << refused.cause;
	}
	EXPECT_EQ(CW_OK, follow("{"));
	ASSERT_TRUE(fw_setup_refused(board, &refused));
	EXPECT_EQ(0U, refused.version);
	EXPECT_EQ(CW_OK, follow("{\"Version\":8,\"Routes\":[]}"));
	EXPECT_FALSE(fw_setup_refused(board, nullptr));
	EXPECT_EQ(8U, pl_config_version(board));
	bd_board_destroy(board);
}

/* Guards against queues and keys that remain after a configuration without
 * them, and against applying an older version that arrives later. */
TEST(PlatformWire, NewerConfigurationReplacesOlderOne)
{
	const std::string head = "{\"Version\":";
	const std::string first = head +
	    "2,\"Routes\":[{\"Name\":\"r1\",\"Host\":\"h\",\"PathPrefix\":"
	    "\"/a/\",\"Service\":\"s\",\"Priority\":0,\"MaxAttempts\":2,"
	    "\"Stretch\":1.5,\"TargetLatencyMs\":600}],\"Tenants\":[{"
	    "\"Name\":\"t\",\"ApiKeys\":[\"k1\",\"k2\"],\"Guaranteed\":{"
	    "\"Gpu\":72}}],\"Services\":[{\"Name\":\"s\"}]}";
	const std::string second = head +
	    "3,\"Routes\":[],\"Tenants\":[{\"Name\":\"t\",\"ApiKeys\":"
	    "[\"k2\"]}],\"Services\":[{\"Name\":\"s\"}]}";
	struct bd_board *board;

	ASSERT_EQ(CW_OK, bd_board_create(&board));
	ASSERT_EQ(CW_OK, pl_config_apply(board, first.data(), first.size()));
	bd_read_begin();
	const struct bd_queue *queue =
	    fw_queue_find(fw_setup(board), "h", "/a/x");
	ASSERT_NE(nullptr, queue);
	EXPECT_EQ(1500U, queue->stretch_milli);
	EXPECT_EQ(nullptr, fw_queue_find(fw_setup(board), "other", "/a/x"));
	EXPECT_EQ(2U, fw_setup(board)->key_count);
	bd_read_end();
	ASSERT_EQ(CW_OK, pl_config_apply(board, second.data(), second.size()));
	bd_read_begin();
	EXPECT_EQ(0U, fw_setup(board)->queue_count);
	EXPECT_EQ(1U, fw_setup(board)->key_count);
	bd_read_end();
	EXPECT_EQ(CW_OK, pl_config_apply(board, first.data(), first.size()));
	bd_read_begin();
	EXPECT_EQ(0U, fw_setup(board)->queue_count);
	bd_read_end();
	EXPECT_EQ(CW_EINVAL, pl_config_apply(board, "{", 1));
	bd_board_destroy(board);
}

/* Guards against queues and keys of a version that as a whole is invalid. */
TEST(PlatformWire, InvalidConfigurationChangesNothing)
{
	const std::string good =
	    "{\"Version\":2,\"Routes\":[{\"Name\":\"r1\",\"Host\":\"h\","
	    "\"PathPrefix\":\"/a/\",\"Service\":\"s\"}],\"Tenants\":[{"
	    "\"Name\":\"t\",\"ApiKeys\":[\"k1\"]}]}";
	const std::string route =
	    "{\"Name\":\"r2\",\"Host\":\"h\",\"PathPrefix\":\"/b/\","
	    "\"Service\":\"s\"}";
	struct bd_board *board;

	ASSERT_EQ(CW_OK, bd_board_create(&board));
	ASSERT_EQ(CW_OK, pl_config_apply(board, good.data(), good.size()));
	for (const std::string &rest :
	    {"[" + route + ",{\"Name\":\"r3\"}]", std::string("{}"),
		"[" + route + "],\"Tenants\":[{\"ApiKeys\":[\"k2\"]}]",
		"[" + route +
		    "],\"Tenants\":[{\"Name\":\"t\",\"ApiKeys\":\"k1\"}]",
		"[" + route +
		    "],\"Tenants\":[{\"Name\":\"t\",\"ApiKeys\":[\"k2\",5]"
		    "}]"}) {
		std::string bad = "{\"Version\":3,\"Routes\":" + rest + "}";

		EXPECT_EQ(
		    CW_EINVAL, pl_config_apply(board, bad.data(), bad.size()))
		    << bad;
		bd_read_begin();
		const struct bd_setup *setup = fw_setup(board);
		EXPECT_EQ(2U, setup->version);
		EXPECT_NE(nullptr, fw_queue_find(setup, "h", "/a/x"));
		EXPECT_EQ(nullptr, fw_queue_find(setup, "h", "/b/x"));
		EXPECT_NE(
		    nullptr, fw_access_key_find(setup, cw_id_from_name("k1")));
		EXPECT_EQ(
		    nullptr, fw_access_key_find(setup, cw_id_from_name("k2")));
		bd_read_end();
	}
	bd_board_destroy(board);
}

/* Guards against a negative version, which would count as the highest one for
 * ever, and against numbers that are cut to the field's size. One that the
 * field cannot hold keeps no version out of force: it counts as the largest
 * one. */
TEST(PlatformWire, NumbersOfConfigurationsOutOfRangeAreNotCut)
{
	auto configuration = [](const std::string &version,
				 const std::string &route,
				 const std::string &gpu,
				 const std::string &limit) {
		return "{\"Version\":" + version +
		    ",\"Routes\":[{\"Name\":\"r\",\"Host\":\"h\","
		    "\"PathPrefix\":\"/a/\",\"Service\":\"s\"" +
		    route +
		    "}],\"Tenants\":[{\"Name\":\"t\",\"ApiKeys\":[],"
		    "\"Guaranteed\":{\"Gpu\":" +
		    gpu + "}}],\"Limits\":{\"MaxBodyBytes\":" + limit + "}}";
	};
	struct bd_board *board;
	auto apply = [&](const std::string &text) {
		return pl_config_apply(board, text.data(), text.size());
	};
	const char *const bad_numbers[] = {
	    "-1", "-1e300", "-9223372036854775808", "\"5\"", "[5]"};
	const char *const large_numbers[] = {"4294967295", "4294967296",
	    "4294967298", "9223372036854775807", "18446744073709551616",
	    "1e300"};
	const std::pair<const char *, uint32_t bd_queue::*> fields[] = {
	    {"Priority", &bd_queue::priority},
	    {"MaxAttempts", &bd_queue::attempts_max},
	    {"Stretch", &bd_queue::stretch_milli},
	    {"TargetLatencyMs", &bd_queue::target_ms},
	    {"TimeoutMs", &bd_queue::timeout_ms},
	};
	int version = 3;

	ASSERT_EQ(CW_OK, bd_board_create(&board));
	ASSERT_EQ(CW_OK, apply(configuration("2", "", "1", "1000")));
	for (const char *bad : bad_numbers) {
		for (const auto &field : fields) {
			/* A Stretch of another type counts as missing. */
			if (strcmp(field.first, "Stretch") == 0 &&
			    bad[0] != '-')
				continue;
			EXPECT_EQ(CW_EINVAL,
			    apply(configuration("3",
				",\"" + std::string(field.first) + "\":" + bad,
				"1", "1000")))
			    << field.first << bad;
		}
		EXPECT_EQ(CW_EINVAL, apply(configuration("3", "", bad, "1")))
		    << bad;
		EXPECT_EQ(CW_EINVAL, apply(configuration("3", "", "1", bad)))
		    << bad;
		EXPECT_EQ(2U, pl_config_version(board)) << bad;
	}
	for (const char *bad : {"-1", "1e300", "-9223372036854775808", "\"5\""})
		EXPECT_EQ(CW_EINVAL, apply(configuration(bad, "", "1", "1000")))
		    << bad;
	for (const char *large : large_numbers)
		for (const auto &field : fields) {
			ASSERT_EQ(CW_OK,
			    apply(configuration(std::to_string(version),
				",\"" + std::string(field.first) +
				    "\":" + large,
				large, large)))
			    << field.first << large;
			bd_read_begin();
			const struct bd_setup *setup = fw_setup(board);
			EXPECT_EQ((uint64_t)version++, setup->version);
			EXPECT_EQ(
			    UINT32_MAX, fw_setup_queues(setup)[0].*field.second)
			    << field.first << large;
			EXPECT_EQ(UINT32_MAX,
			    fw_setup_clients(setup)[0].guaranteed_accels);
			EXPECT_EQ(UINT32_MAX, setup->body_bytes_max);
			bd_read_end();
		}
	bd_board_destroy(board);
}

/* Guards against a version that is seen in force and goes back. */
TEST(PlatformWire, ReadersSeeOneVersionOfTheConfiguration)
{
	auto version = [](int number) {
		std::string name = number % 2 == 0 ? "even" : "odd";

		return "{\"Version\":" + std::to_string(number) +
		    ",\"Routes\":[{\"Name\":\"" + name +
		    "\",\"Host\":\"h\",\"PathPrefix\":\"/" + name +
		    "/\",\"Service\":\"s\"}],\"Tenants\":[{\"Name\":\"t\","
		    "\"ApiKeys\":[\"" +
		    name + "\"]}]}";
	};
	struct bd_board *board;
	std::atomic<bool> stop{false};
	int mixed = 0;

	ASSERT_EQ(CW_OK, bd_board_create(&board));
	ASSERT_EQ(CW_OK,
	    pl_config_apply(board, version(1).data(), version(1).size()));
	std::thread reader([&] {
		while (!stop) {
			bd_read_begin();
			const struct bd_setup *setup = fw_setup(board);
			for (const char *name : {"even", "odd"})
				mixed += (fw_queue_find(setup, "h",
					      ("/" + std::string(name) + "/")
						  .c_str()) != nullptr) !=
				    (fw_access_key_find(setup,
					 cw_id_from_name(name)) != nullptr);
			bd_read_end();
		}
	});
	for (int i = 2; i < 3000; i++)
		EXPECT_EQ(CW_OK,
		    pl_config_apply(
			board, version(i).data(), version(i).size()));
	stop = true;
	reader.join();
	EXPECT_EQ(0, mixed);
	bd_board_destroy(board);
}
