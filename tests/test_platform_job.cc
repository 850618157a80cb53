#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <string>
#include <utility>
#include <vector>

#include "platform_messages.h"

/* Guards against losing flags or limits of steps while parsing. */
TEST(PlatformWire, JobsAreParsed)
{
	static struct pl_job job;
	const char body[] =
	    "{\"Spec\":\"s\",\"Steps\":[{\"Count\":4,\"Cpu\":500,\"Gpu\":2},"
	    "{\"Count\":2,\"After\":[0],\"Gang\":true,\"SameRack\":true,"
	    "\"Requirements\":\"a\",\"AntiAffinity\":1}],"
	    "\"RepeatCount\":3,\"FirstRunMs\":5,\"IntervalMs\":7}";

	ASSERT_EQ(CW_OK, pl_job_parse(body, strlen(body), &job));
	EXPECT_EQ(2U, job.step_count);
	EXPECT_EQ(2U, job.steps[0].accels);
	EXPECT_EQ(1U, job.steps[1].after);
	EXPECT_EQ(
	    (uint32_t)(BD_STEP_GANG | BD_STEP_SAME_RACK), job.steps[1].flags);
	EXPECT_EQ(1U, job.steps[1].host_max);
	EXPECT_EQ(3U, job.occurrences);
	EXPECT_EQ(7, job.interval_ms);
}

/* Guards against malformed bodies that crash the process or are accepted as
 * jobs. */
TEST(PlatformWire, MalformedJobsAreRejected)
{
	static struct pl_job job;
	const char *const bodies[] = {"", "[]", "{}", "{\"Steps\":[]}",
	    "{\"Steps\":[1]}", "{\"Steps\":[{\"Count\":-1}]}",
	    "{\"Steps\":[{\"Count\":1,\"After\":[99]}]}",
	    "{\"Spec\":1,\"Steps\":[{\"Count\":1}]}",
	    "{\"Steps\":[{\"Count\":1,\"DataRack\":5}]}",
	    "{\"Steps\":[{\"Count\":1},{\"Count\":1,\"After\":0}]}",
	    "{\"Steps\":[{\"Count\":1,\"Requirements\":[\"a\"]}]}"};

	for (const char *body : bodies)
		EXPECT_EQ(CW_EINVAL, pl_job_parse(body, strlen(body), &job))
		    << body;
}

/* Guards against numbers of a job that are taken for others, and against due
 * times beyond the range of a time. */
TEST(PlatformWire, JobsWithNumbersOutOfRangeAreRejected)
{
	static struct pl_job job;
	auto parse = [](const std::string &step, const std::string &rest) {
		std::string body =
		    "{\"Steps\":[{\"Count\":1" + step + "}]" + rest + "}";

		return pl_job_parse(body.data(), body.size(), &job);
	};

	ASSERT_EQ(CW_OK,
	    parse(",\"Cpu\":4294967295,\"Gpu\":null",
		",\"RepeatCount\":3000,\"FirstRunMs\":1000000000000000,"
		"\"IntervalMs\":100000000000000"));
	for (const char *number : {"-1", "1e300", "-1e300",
		 "9223372036854775807", "18446744073709551616", "\"1\""}) {
		for (const char *field :
		    {"Cpu", "MemMb", "Gpu", "EstimateMs", "AntiAffinity"})
			EXPECT_EQ(CW_EINVAL,
			    parse(",\"" + std::string(field) + "\":" + number,
				""))
			    << field << number;
		EXPECT_EQ(CW_EINVAL,
		    parse("", ",\"RepeatCount\":" + std::string(number)))
		    << number;
		for (const char *field : {"FirstRunMs", "IntervalMs"})
			EXPECT_EQ(CW_EINVAL,
			    parse("",
				",\"RepeatCount\":2,\"" + std::string(field) +
				    "\":" + number))
			    << field << number;
	}
}

/* Guards against a refusal that does not tell its caller what to change, and
 * against a limit for tasks on one worker that refuses a job instead of
 * limiting nothing. */
TEST(PlatformWire, RefusedJobsNameTheirField)
{
	static struct pl_job job;
	auto parse = [](const std::string &fields) {
		std::string body =
		    "{\"Steps\":[{\"Count\":1},{\"Count\":1" + fields + "}]}";

		return pl_job_parse(body.data(), body.size(), &job);
	};

	for (const char *field : {"Cpu", "MemMb", "Gpu", "EstimateMs",
		 "AntiAffinity", "Requirements", "DataRack"}) {
		EXPECT_EQ(
		    CW_EINVAL, parse(",\"" + std::string(field) + "\":[-1]"));
		EXPECT_NE(nullptr,
		    strstr(cw_error_last(),
			("step 1: " + std::string(field)).c_str()))
		    << cw_error_last();
	}
	EXPECT_EQ(CW_EINVAL, parse(",\"After\":[-1]"));
	EXPECT_NE(nullptr, strstr(cw_error_last(), "step 1: After"));
	EXPECT_EQ(CW_OK, parse(",\"AntiAffinity\":3001")) << cw_error_last();
	EXPECT_EQ(3001U, job.steps[1].host_max);
}
