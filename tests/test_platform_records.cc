#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <string>
#include <utility>
#include <vector>

#include "platform_messages.h"

/* Guards against records that differ between append and read, and against
 * accepting truncated responses. */
TEST(PlatformWire, RecordsRoundTrip)
{
	struct fw_record records[2] = {};
	std::vector<std::string> seen;
	struct fw_read read = {};
	uint64_t end = 0;
	size_t bytes;
	void *body;

	strcpy(records[0].key, "j/1");
	records[0].value = "abc";
	records[0].value_bytes = 3;
	strcpy(records[1].key, "p/1");
	ASSERT_EQ(CW_OK, pl_records_pack(records, 2, &body, &bytes));
	std::string answer(16, '\0');
	answer[7] = 9;
	answer.append((const char *)body, bytes);
	free(body);
	read.record = collect;
	read.ctx = &seen;
	ASSERT_EQ(CW_OK,
	    pl_records_unpack(answer.data(), answer.size(), 7, &read, &end));
	EXPECT_EQ(9U, end);
	EXPECT_EQ((std::vector<std::string>{"j/1=abc@7", "p/1=@8"}), seen);
	EXPECT_EQ(CW_EINVAL,
	    pl_records_unpack(
		answer.data(), answer.size() - 1, 7, &read, &end));
}

/* Guards against a record of another writer that replaces or removes the entry
 * of a worker, as its key is cut to that of the worker, and against a worker
 * with a long name that is passed over. */
TEST(PlatformWire, RecordsWithOddKeysNameNothing)
{
	struct {
		std::string key;
		std::string seen;
	} cases[] = {
	    {std::string(), "=@8"},
	    {std::string("i-1\0x", 5), "=@8"},
	    {std::string("i-1\n"), "=@8"},
	    {std::string(31, 'a'), std::string(31, 'a') + "=v@8"},
	    {std::string(32, 'a'), std::string(32, 'a') + "=v@8"},
	    {std::string(255, 'a'), std::string(255, 'a') + "=v@8"},
	};

	for (const auto &c : cases) {
		std::vector<std::string> seen;
		struct fw_read read = {};
		uint64_t end = 0;
		std::string answer(16, '\0');

		for (const std::string &name : {std::string("i-0"), c.key}) {
			answer += std::string("\0\0", 2);
			answer.push_back((char)((name.size() + 2) >> 8));
			answer.push_back((char)(name.size() + 2));
			answer.push_back((char)name.size());
			answer += name + "v";
		}
		read.record = collect;
		read.ctx = &seen;
		ASSERT_EQ(CW_OK,
		    pl_records_unpack(
			answer.data(), answer.size(), 7, &read, &end));
		EXPECT_EQ((std::vector<std::string>{"i-0=v@7", c.seen}), seen);
	}
}

/* Guards against values of a snapshot page that lose or gain bytes in base64
 * decoding. */
TEST(PlatformWire, SnapshotPagesAreParsed)
{
	const char body[] =
	    "{\"items\":[{\"Key\":\"a\",\"Value\":\"YWI=\",\"Offset\":4},"
	    "{\"Key\":\"b\",\"Value\":\"YWJj\",\"Offset\":5}],"
	    "\"HasMore\":true,\"End\":6}";
	std::vector<std::string> seen;
	struct fw_read read = {};
	uint64_t end = 0;
	bool more = false;

	read.record = collect;
	read.ctx = &seen;
	ASSERT_EQ(CW_OK,
	    pl_snapshot_page_parse(body, strlen(body), &read, &more, &end));
	EXPECT_EQ((std::vector<std::string>{"a=ab@4", "b=abc@5"}), seen);
	EXPECT_TRUE(more);
	EXPECT_EQ(6U, end);
	EXPECT_EQ(
	    CW_EINVAL, pl_snapshot_page_parse("{", 1, &read, &more, &end));
}

/* Guards against one item of a page that loses the others, or that is read
 * again and again as the last one of its page. */
TEST(PlatformWire, SnapshotPagesWithOddItemsLeadToTheNextPage)
{
	struct {
		std::string key;
		std::string cursor;
	} cases[] = {
	    {"i 1&#%\xc3\xa9", "%69%20%31%26%23%25%C3%A9"},
	    {"i\\u0000x", "%69%00%78"},
	    {"i\\udcff", "%69%7F"},
	    {"i\\ud\xe9", "%69%7F%75%64%7F"},
	    {"i\\\\", "%69%5C"},
	    {"i\xff", "%69%7F"},
	    {std::string(200, 'i'), ""},
	    {"", "%63"},
	};

	for (auto &c : cases) {
		std::string body =
		    "{\"items\":[5,{},{\"Key\":\"a\",\"Value\":\"YWI=\","
		    "\"Offset\":4},{\"Key\":\"b\",\"Value\":\"*\",\"Offset\":5}"
		    ",{\"Key\":\"c\",\"Value\":\"YQ==\",\"Offset\":-1},"
		    "{\"Key\":\"" +
		    c.key +
		    "\",\"Value\":\"YWI=\",\"Offset\":7}],\"HasMore\":true,"
		    "\"End\":8}";
		std::pair<std::vector<std::string>, std::string> seen;
		struct fw_read read = {};
		uint64_t end = 0;
		bool more = false;

		if (c.key.size() == 200)
			for (int i = 0; i < 200; i++)
				c.cursor += "%69";
		read.record = [](void *ctx, const struct fw_record *record) {
			auto *out = (decltype(seen) *)ctx;

			if (record->value != nullptr)
				collect(&out->first, record);
			out->second = record->cursor;
		};
		read.ctx = &seen;
		ASSERT_EQ(CW_OK,
		    pl_snapshot_page_parse(
			body.data(), body.size(), &read, &more, &end))
		    << c.key;
		EXPECT_EQ("a=ab@4", seen.first.at(0)) << c.key;
		EXPECT_EQ(c.cursor, seen.second) << c.key;
		EXPECT_TRUE(more);
	}
}

/* Guards against reading one page again and again. */
TEST(PlatformWire, SnapshotPageWithoutNextOneIsRejected)
{
	const char body[] = "{\"items\":[],\"HasMore\":true,\"End\":6}";
	struct fw_read read = {};
	uint64_t end = 0;
	bool more = false;

	EXPECT_EQ(CW_EINVAL,
	    pl_snapshot_page_parse(body, strlen(body), &read, &more, &end));
}

/* Guards against a request to evacuate a zone that is passed over as its value
 * cannot be read: the record's presence is the request. Other records with such
 * values name nothing. */
TEST(PlatformWire, RequestsWithUnreadableValuesAreRead)
{
	const char body[] =
	    "{\"items\":[{\"Key\":\"config\",\"Value\":5,\"Offset\":1},"
	    "{\"Key\":\"evacuate/z1\",\"Value\":\"?\",\"Offset\":2},"
	    "{\"Key\":\"evacuate/z2\",\"Value\":null,\"Offset\":3},"
	    "{\"Key\":\"evacuate/z3\",\"Value\":\"\",\"Offset\":4}],"
	    "\"HasMore\":false,\"End\":6}";
	std::vector<std::string> seen;
	struct fw_read read = {};
	uint64_t end = 0;
	bool more = true;

	read.ctx = &seen;
	read.record = [](void *ctx, const struct fw_record *record) {
		if (record->value != nullptr)
			((std::vector<std::string> *)ctx)
			    ->push_back(std::string(record->key) + "@" +
				std::to_string(record->offset));
	};
	for (enum fw_topic topic : {FW_TOPIC_CONFIG, FW_TOPIC_JOBS}) {
		seen.clear();
		read.topic = topic;
		ASSERT_EQ(CW_OK,
		    pl_snapshot_page_parse(
			body, strlen(body), &read, &more, &end));
		EXPECT_EQ(topic == FW_TOPIC_CONFIG
			? std::vector<std::string>({"evacuate/z1@2",
			      "evacuate/z2@3", "evacuate/z3@4"})
			: std::vector<std::string>({"evacuate/z3@4"}),
		    seen);
	}
}
