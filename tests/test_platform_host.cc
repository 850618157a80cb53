#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <string>
#include <utility>
#include <vector>

#include "platform_messages.h"

/* Guards against taking incomplete entries, such as those of other writers, for
 * workers. */
TEST(PlatformWire, IncompleteWorkerEntriesAreRejected)
{
	const std::string good =
	    "{\"Service\":\"s\",\"Address\":\"10.0.0.2:8\",\"Zone\":\"z\","
	    "\"State\":\"ready\",\"Capacity\":{\"Cpu\":1,\"MemMb\":2,"
	    "\"Gpu\":3},\"Labels\":[\"a\",\"r1-3\"],\"ClockMs\":9,"
	    "\"born\":17,\"ColdRemainingMs\":700}";
	struct bd_host host;

	ASSERT_EQ(
	    CW_OK, pl_host_parse("i-1", good.data(), good.size(), 50, &host));
	EXPECT_EQ(3U, host.accels);
	EXPECT_STREQ("r1-3", host.rack);
	EXPECT_EQ(17, host.incarnation_ms);
	EXPECT_EQ(cw_id_from_name("z"), host.zone);
	EXPECT_EQ(750, host.cold_until_ms);
	for (const char *cut :
	    {"\"State\":\"ready\",", "\"Cpu\":1,", "\"Service\":\"s\","}) {
		std::string bad = good;

		bad.erase(bad.find(cut), strlen(cut));
		EXPECT_EQ(CW_EINVAL,
		    pl_host_parse("i-1", bad.data(), bad.size(), 50, &host));
	}
	EXPECT_EQ(CW_EINVAL, pl_host_parse("i-1", "x", 1, 50, &host));
}

/* Guards against numbers of an entry that are cut to the field's size: a worker
 * of another capacity, or a start time that no record can hold. */
TEST(PlatformWire, WorkerEntriesWithNumbersOutOfRangeAreRejected)
{
	const std::string good =
	    "{\"Service\":\"s\",\"Address\":\"10.0.0.2:8\",\"Zone\":\"z\","
	    "\"State\":\"draining\",\"Capacity\":{\"Cpu\":1,\"MemMb\":2,"
	    "\"Gpu\":3},\"Labels\":[\"a\"],\"ClockMs\":9,\"born\":17,"
	    "\"RemainingMs\":5}";
	struct bd_host host;

	ASSERT_EQ(
	    CW_OK, pl_host_parse("i-1", good.data(), good.size(), 50, &host));
	EXPECT_EQ(5U, host.notice_ms);
	for (const char *field : {"\"Cpu\":1", "\"MemMb\":2", "\"Gpu\":3",
		 "\"ClockMs\":9", "\"born\":17", "\"RemainingMs\":5"})
		for (const char *number : {"-1", "9223372036854775807",
			 "-9223372036854775808", "1e300", "-1e300",
			 "18446744073709551616", "\"1\"", "[]"}) {
			std::string bad = good;
			std::string name = field;

			bad.replace(bad.find(field), name.size(),
			    name.substr(0, name.find(':') + 1) + number);
			EXPECT_EQ(CW_EINVAL,
			    pl_host_parse(
				"i-1", bad.data(), bad.size(), 50, &host))
			    << bad;
		}
	for (const char *field : {"\"Cpu\":1", "\"MemMb\":2", "\"Gpu\":3"}) {
		std::string bad = good;
		std::string name = field;

		bad.replace(bad.find(field), name.size(),
		    name.substr(0, name.find(':') + 1) + "4294967298");
		EXPECT_EQ(CW_EINVAL,
		    pl_host_parse("i-1", bad.data(), bad.size(), 50, &host))
		    << bad;
	}
}

/* Guards against orders to an address that is none, which are retried while
 * tasks wait for that worker, or that libcurl looks up as a name. */
TEST(PlatformWire, WorkerEntriesWithoutNumericAddressAreRejected)
{
	auto parse = [](const std::string &name, const std::string &address) {
		std::string text = "{\"Service\":\"s\",\"Address\":\"" +
		    address +
		    "\",\"Zone\":\"z\",\"State\":\"ready\",\"Capacity\":{"
		    "\"Cpu\":1,\"MemMb\":2},\"Labels\":[\"a\"]}";
		struct bd_host host;

		return pl_host_parse(
		    name.c_str(), text.data(), text.size(), 50, &host);
	};

	for (const char *good :
	    {"10.0.0.2:8", "127.0.0.1:65535", "[::1]:1", "[fd00::2]:8080"})
		EXPECT_EQ(CW_OK, parse("i-1", good)) << good;
	for (const char *bad : {"", ":", "10.0.0.2", "10.0.0.2:", "10.0.0.2:0",
		 "10.0.0.2:00000", "10.0.0.2:65536", "10.0.0.2:70000",
		 "10.0.0.2:-1", "10.0.0.2:8 ", "10.0.0.2:8/x", "10.0.0.2:+8",
		 "10.0.0.2:18446744073709551617", "10.0.0.256:8", "10.0.2:8",
		 "worker.example:8", "user@10.0.0.2:8", "::1:8", "[::1]",
		 "[]:8", "[10.0.0.2]:8", "10.0.0.2#:8", " 10.0.0.2:8",
		 "0000:0000:0000:0000:0000:0000:0000:0000:0000:8"})
		EXPECT_EQ(CW_EINVAL, parse("i-1", bad)) << bad;
	for (const char *name : {"", "i 1", "i-1\r\nX: y", "i-\x7f", "i-\xff"})
		EXPECT_EQ(CW_EINVAL, parse(name, "10.0.0.2:8")) << name;
}

/* Guards against a worker that is not used because of the length of its name,
 * its address, its zone or its labels. */
TEST(PlatformWire, WorkerEntriesWithTextsOfAnyLengthAreRead)
{
	const std::string longest =
	    "[0000:0000:0000:0000:0000:ffff:255.255.255.255]:65535";
	auto parse = [](const std::string &name, const std::string &text,
			 struct bd_host *host) {
		return pl_host_parse(
		    name.c_str(), text.data(), text.size(), 50, host);
	};
	struct bd_host host;

	ASSERT_EQ(
	    CW_OK, parse("i-1", worker_entry(longest, "z", "a", "r"), &host));
	EXPECT_EQ(longest, host.address);
	for (size_t bytes : {1, 23, 24, 31, 32, 47, 48, 200, 255}) {
		std::string name(bytes, 'i');

		ASSERT_EQ(CW_OK,
		    parse(name, worker_entry("10.0.0.2:8", "z", "a", "r"),
			&host));
		EXPECT_EQ(name, host.name);
		EXPECT_EQ(cw_id_from_name(name.c_str()), host.id);
	}
	for (size_t bytes : {1, 23, 24, 25, 48, 255, 5000}) {
		std::string text(bytes, 'n');
		struct bd_host other;

		ASSERT_EQ(CW_OK,
		    parse("i-1",
			worker_entry("10.0.0.2:8", text, text, text + "a"),
			&host))
		    << bytes;
		ASSERT_EQ(CW_OK,
		    parse("i-1",
			worker_entry("10.0.0.2:8", "z", text, text + "b"),
			&other));
		EXPECT_STREQ(host.kind, other.kind);
		EXPECT_STRNE(host.rack, other.rack) << bytes;
		/* A label is not taken for the digest of another one. */
		ASSERT_EQ(CW_OK,
		    parse("i-1",
			worker_entry("10.0.0.2:8", "z", host.kind, host.rack),
			&other));
		if (bytes >= 24) {
			EXPECT_STRNE(host.kind, other.kind);
			EXPECT_STRNE(host.rack, other.rack);
		}
	}
}

/* Guards against a job that is refused because of the length of a label, and
 * against one whose label no longer means that of the workers. */
TEST(PlatformWire, LabelsOfJobsMeanThoseOfWorkers)
{
	static struct pl_job job;

	for (size_t bytes : {1, 23, 24, 25, 48, 64, 255, 5000}) {
		std::string text(bytes, 'n');
		std::string body =
		    "{\"Steps\":[{\"Count\":1,\"Requirements\":\"" + text +
		    "\",\"DataRack\":\"" + text + "r\"}]}";
		std::string entry =
		    worker_entry("10.0.0.2:8", "z", text, text + "r");
		struct bd_host host;

		ASSERT_EQ(CW_OK, pl_job_parse(body.data(), body.size(), &job))
		    << cw_error_last();
		ASSERT_EQ(CW_OK,
		    pl_host_parse("i-1", entry.data(), entry.size(), 1, &host));
		EXPECT_STREQ(host.kind, job.steps[0].label);
		EXPECT_STREQ(host.rack, job.steps[0].data_rack);
	}
}
