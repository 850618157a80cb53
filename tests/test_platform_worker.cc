#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <string>
#include <utility>
#include <vector>

#include "platform_messages.h"

/* Guards against skipping a malformed row of a worker's report: a run that is
 * missing from the list counts as lost. */
TEST(PlatformWire, ReportsWithMalformedRowsAreRejected)
{
	const char good[] =
	    "{\"ClockMs\":5,\"born\":6,\"Running\":[[\"00000000000000a1.0.1."
	    "17\",2,\"c\",41]],\"EndedRuns\":[[58,\"00000000000000a1.0.1.9\",1,"
	    "\"done\",\"\"]]}";
	const char bad[] =
	    "{\"Running\":[[\"x\",2,\"c\",41]],\"EndedRuns\":[]}";
	struct fw_report report = {};

	ASSERT_EQ(CW_OK, pl_report_parse(good, strlen(good), &report));
	ASSERT_EQ(1U, report.run_count);
	EXPECT_EQ(17U, report.runs[0].task.index);
	EXPECT_EQ(41U, report.runs[0].percent);
	EXPECT_EQ(58U, report.ends[0].number);
	EXPECT_EQ(FW_END_DONE, report.ends[0].end);
	fw_report_free(&report);
	EXPECT_EQ(CW_EINVAL, pl_report_parse(bad, strlen(bad), &report));
}

/* Guards against a run number that is cut to the number of another run, and
 * against a number of an end that acknowledges all ends to come. */
TEST(PlatformWire, ReportsWithNumbersOutOfRangeAreRejected)
{
	auto parse = [](const std::string &clock, const std::string &run,
			 const std::string &end, struct fw_report *report) {
		std::string text = "{\"ClockMs\":5" + clock +
		    ",\"Running\":[[\"00000000000000a1.0.1.17\"," + run +
		    "]],\"EndedRuns\":[[" + end + "]]}";

		fw_report_free(report);
		return pl_report_parse(text.data(), text.size(), report);
	};
	const std::string good_end =
	    "58,\"00000000000000a1.0.1.9\",1,\"done\",\"\"";
	struct fw_report report = {};

	for (const char *run : {"-1", "4294967298", "9223372036854775807"})
		EXPECT_EQ(CW_EINVAL,
		    parse(
			"", std::string(run) + ",\"c\",41", good_end, &report))
		    << run;
	for (const char *end : {"-1,\"00000000000000a1.0.1.9\",1,\"done\",\"\"",
		 "58,\"00000000000000a1.0.1.9\",4294967297,\"done\",\"\"",
		 "58,\"00000000000000a1.0.1.9\",-1,\"done\",\"\""})
		EXPECT_EQ(CW_EINVAL, parse("", "2,\"c\",41", end, &report))
		    << end;
	for (const char *clock :
	    {",\"born\":-5", ",\"born\":1e300", ",\"born\":9223372036854775807",
		",\"ClockMs\":9223372036854775807"})
		EXPECT_EQ(
		    CW_EINVAL, parse(clock, "2,\"c\",41", good_end, &report))
		    << clock;
	for (const auto &percent :
	    std::vector<std::pair<const char *, uint32_t>>{{"-1", 0},
		{"1e300", 100}, {"-1e300", 0}, {"4294967297", 100},
		{"99.9", 99}}) {
		ASSERT_EQ(CW_OK,
		    parse("", std::string("2,\"c\",") + percent.first, good_end,
			&report))
		    << percent.first;
		EXPECT_EQ(percent.second, report.runs[0].percent);
	}
	fw_report_free(&report);
}

/* Guards against accepting a malformed task name, or decoding a name to another
 * task. */
TEST(PlatformWire, TaskNamesAreParsed)
{
	struct fw_task_ref ref;

	ASSERT_TRUE(pl_task_parse("00000000000000a1.2.1.17", &ref));
	EXPECT_STREQ("00000000000000a1", ref.job);
	EXPECT_EQ(2U, ref.occurrence);
	for (const char *bad :
	    {"", "a", "a.1.2", "a.1.2.3.4", "a.1.x.3", "a.1.2.-3", "a.1.2.3 "})
		EXPECT_FALSE(pl_task_parse(bad, &ref)) << bad;
}

/* Guards against a worker whose list of runs is turned away because of the
 * length of a checkpoint, after which it counts as silent, and against a start
 * with another checkpoint than the one that was listed. */
TEST(PlatformWire, CheckpointsOfAnyLengthAreReadAndSent)
{
	std::string runs;
	std::string ends;
	std::vector<std::string> texts;
	struct fw_report report = {};

	for (size_t bytes : {0, 1, 39, 40, 64, 255, 5000, 100000})
		texts.push_back(std::string(bytes, 'a' + (char)texts.size()));
	for (size_t i = 0; i < texts.size(); i++) {
		std::string comma = i > 0 ? "," : "";
		std::string task =
		    "\"00000000000000a1.0.1." + std::to_string(i) + "\"";

		runs += comma + "[" + task + ",2,\"" + texts[i] + "\",41]";
		ends += comma + "[" + std::to_string(i + 1) + "," + task +
		    ",1,\"stopped\",\"e" + texts[i] + "\"]";
	}
	std::string text = "{\"ClockMs\":5,\"born\":6,\"Running\":[" + runs +
	    "],\"EndedRuns\":[" + ends + "]}";
	ASSERT_EQ(CW_OK, pl_report_parse(text.data(), text.size(), &report));
	ASSERT_EQ(texts.size(), report.run_count);
	ASSERT_EQ(texts.size(), report.end_count);
	struct fw_report copy;
	ASSERT_EQ(CW_OK, fw_report_copy(&report, &copy));
	fw_report_free(&report);
	for (size_t i = 0; i < texts.size(); i++) {
		const struct bd_text *run = &copy.runs[i].checkpoint;
		const struct bd_text *end = &copy.ends[i].checkpoint;
		struct fw_order order = {};
		char *body = nullptr;

		EXPECT_EQ(texts[i],
		    std::string(fw_report_text(&copy, run), run->bytes));
		EXPECT_EQ("e" + texts[i],
		    std::string(fw_report_text(&copy, end), end->bytes));
		order.kind = FW_ORDER_START;
		order.task = copy.runs[i].task;
		order.text = "s";
		order.text_bytes = 1;
		order.checkpoint = fw_report_text(&copy, run);
		order.checkpoint_bytes = run->bytes;
		ASSERT_GT(pl_order_format(&order, &body), 0U);
		EXPECT_EQ(!texts[i].empty(),
		    strstr(body,
			("\"Checkpoint\":\"" + texts[i] + "\"").c_str()) !=
			nullptr);
		EXPECT_EQ(
		    texts[i].empty(), strstr(body, "Checkpoint") == nullptr);
		free(body);
	}
	fw_report_free(&copy);
}
