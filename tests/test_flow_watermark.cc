#include <gtest/gtest.h>

#include "../lib/flow/watermark.h"
#include "flow_fixture.h"

/* Applies a watermark that was read at the given time. */
static int
apply(FlowFixture &fixture, const std::string &text, int64_t read_ms,
    const char *name = "0000000000000000")
{
	struct fw_record record = {};

	fw_record_key(record.key, FW_RECORD_WATERMARK, name);
	record.value = text.data();
	record.value_bytes = text.size();
	record.read_ms = read_ms;
	return fw_record_apply(fixture.board, &record);
}

static int64_t
stored_before_ms(FlowFixture &fixture, uint64_t offset, int64_t now_ms)
{
	bd_read_begin();
	int64_t before_ms = fw_stored_before_ms(fixture.board, offset, now_ms);
	bd_read_end();
	return before_ms;
}

static int64_t
settled_ms(FlowFixture &fixture, uint64_t term)
{
	bd_read_begin();
	int64_t ms = fw_settled_ms(fixture.board, term);
	bd_read_end();
	return ms;
}

/* Guards against records that are taken for older than they are known to be. */
TEST(FlowWatermark, RecordsAreDatedByTheFirstOneBehindThem)
{
	FlowFixture fixture;

	EXPECT_EQ(9000, stored_before_ms(fixture, 0, 9000));
	EXPECT_EQ(CW_OK, apply(fixture, "10 3 500", 1000));
	EXPECT_EQ(CW_OK, apply(fixture, "20 3 1500", 2000));
	EXPECT_EQ(1000, stored_before_ms(fixture, 0, 9000));
	EXPECT_EQ(1000, stored_before_ms(fixture, 9, 9000));
	EXPECT_EQ(2000, stored_before_ms(fixture, 10, 9000));
	EXPECT_EQ(9000, stored_before_ms(fixture, 20, 9000));
	EXPECT_EQ(1500, stored_before_ms(fixture, 10, 1500));
}

/* Guards against waits that begin anew when the topic is loaded again. */
TEST(FlowWatermark, OnesThatAreReadAgainChangeNothing)
{
	FlowFixture fixture;

	EXPECT_EQ(CW_OK, apply(fixture, "10 3 500", 1000));
	EXPECT_EQ(CW_OK, apply(fixture, "20 3 1500", 2000));
	EXPECT_EQ(CW_OK, apply(fixture, "20 3 1500", 7000));
	EXPECT_EQ(CW_OK, apply(fixture, "10 3 500", 7000));
	EXPECT_EQ(1000, stored_before_ms(fixture, 9, 9000));
	EXPECT_EQ(2000, stored_before_ms(fixture, 19, 9000));
	EXPECT_EQ(1500, settled_ms(fixture, 3));
}

/* A later one of the same position says how much is settled, and no more. */
TEST(FlowWatermark, LaterOnesOfAPositionSettleMoreAndKeepTheDate)
{
	FlowFixture fixture;

	EXPECT_EQ(CW_OK, apply(fixture, "10 3 500", 1000));
	EXPECT_EQ(CW_OK, apply(fixture, "10 3 3500", 4000));
	EXPECT_EQ(1000, stored_before_ms(fixture, 9, 9000));
	EXPECT_EQ(3500, settled_ms(fixture, 3));
}

/* Guards against times of one process that are compared with another's. */
TEST(FlowWatermark, TermsAreSettledByTheirOwnOnesOnly)
{
	FlowFixture fixture;

	EXPECT_EQ(0, settled_ms(fixture, 3));
	EXPECT_EQ(CW_OK, apply(fixture, "10 3 500", 1000));
	EXPECT_EQ(CW_OK, apply(fixture, "10 4 90000", 2000));
	EXPECT_EQ(500, settled_ms(fixture, 3));
	EXPECT_EQ(90000, settled_ms(fixture, 4));
	EXPECT_EQ(0, settled_ms(fixture, 5));
	EXPECT_EQ(1000, stored_before_ms(fixture, 9, 9000));
}

/* The oldest ones make room; records before them are dated by those left. */
TEST(FlowWatermark, TheTableHoldsTheLatestOnes)
{
	FlowFixture fixture;

	for (int i = 1; i <= BD_WATERMARKS_MAX + 10; i++)
		EXPECT_EQ(CW_OK,
		    apply(fixture,
			std::to_string(i) + " 3 " + std::to_string(i),
			i * 1000));
	EXPECT_EQ(11000, stored_before_ms(fixture, 0, 900000));
	EXPECT_EQ((BD_WATERMARKS_MAX + 10) * 1000,
	    stored_before_ms(fixture, BD_WATERMARKS_MAX + 9, 900000));
}

TEST(FlowWatermark, MalformedOnesAreRejected)
{
	FlowFixture fixture;

	EXPECT_EQ(FW_EBADRECORD, apply(fixture, "", 1000));
	EXPECT_EQ(FW_EBADRECORD, apply(fixture, "10 3", 1000));
	EXPECT_EQ(FW_EBADRECORD, apply(fixture, std::string(200, '1'), 1000));
	EXPECT_EQ(9000, stored_before_ms(fixture, 0, 9000));
}
