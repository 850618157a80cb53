#include <gtest/gtest.h>

#include <msgpack.h>

#include "../lib/flow/watermark.h"
#include "flow_fixture.h"

/* Applies a record of a watermark that was read at the given time. */
static int
apply_text(FlowFixture &fixture, const std::string &text, int64_t read_ms)
{
	struct fw_record record = {};

	fw_record_key(record.key, FW_RECORD_WATERMARK, "0000000000000000");
	record.value = text.data();
	record.value_bytes = text.size();
	record.read_ms = read_ms;
	return fw_record_apply(fixture.board, &record);
}

/* The same of a record with these fields behind the layout version: position,
 * term, time, and a position and an age of each earlier one. */
static int
apply(FlowFixture &fixture, const std::vector<uint64_t> &fields,
    int64_t read_ms, uint64_t version = 1)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, fields.size() + 1);
	msgpack_pack_uint64(&packer, version);
	for (uint64_t field : fields)
		msgpack_pack_uint64(&packer, field);
	std::string text(buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
	return apply_text(fixture, text, read_ms);
}

static int64_t
stored_before_ms(FlowFixture &fixture, uint64_t offset, int64_t now_ms)
{
	bd_read_begin();
	int64_t age_ms = fw_record_age_ms(fixture.board, offset, now_ms);
	bd_read_end();
	return now_ms - age_ms;
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
	EXPECT_EQ(CW_OK, apply(fixture, {10, 3, 500}, 1000));
	EXPECT_EQ(CW_OK, apply(fixture, {20, 3, 1500}, 2000));
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

	EXPECT_EQ(CW_OK, apply(fixture, {10, 3, 500}, 1000));
	EXPECT_EQ(CW_OK, apply(fixture, {20, 3, 1500}, 2000));
	EXPECT_EQ(CW_OK, apply(fixture, {20, 3, 1500}, 7000));
	EXPECT_EQ(CW_OK, apply(fixture, {10, 3, 500}, 7000));
	EXPECT_EQ(1000, stored_before_ms(fixture, 9, 9000));
	EXPECT_EQ(2000, stored_before_ms(fixture, 19, 9000));
	EXPECT_EQ(1500, settled_ms(fixture, 3));
}

/* A later one of the same position says how much is settled, and no more. */
TEST(FlowWatermark, LaterOnesOfAPositionSettleMoreAndKeepTheDate)
{
	FlowFixture fixture;

	EXPECT_EQ(CW_OK, apply(fixture, {10, 3, 500}, 1000));
	EXPECT_EQ(CW_OK, apply(fixture, {10, 3, 3500}, 4000));
	EXPECT_EQ(1000, stored_before_ms(fixture, 9, 9000));
	EXPECT_EQ(3500, settled_ms(fixture, 3));
}

/* Guards against times of one process that are compared with another's. */
TEST(FlowWatermark, TermsAreSettledByTheirOwnOnesOnly)
{
	FlowFixture fixture;

	EXPECT_EQ(0, settled_ms(fixture, 3));
	EXPECT_EQ(CW_OK, apply(fixture, {10, 3, 500}, 1000));
	EXPECT_EQ(CW_OK, apply(fixture, {10, 4, 90000}, 2000));
	EXPECT_EQ(500, settled_ms(fixture, 3));
	EXPECT_EQ(90000, settled_ms(fixture, 4));
	EXPECT_EQ(0, settled_ms(fixture, 5));
	EXPECT_EQ(1000, stored_before_ms(fixture, 9, 9000));
}

/* The oldest ones make room; records before them are dated by those left. */
TEST(FlowWatermark, TheTableHoldsTheLatestOnes)
{
	FlowFixture fixture;

	for (uint64_t i = 1; i <= BD_WATERMARKS_MAX + 10; i++)
		EXPECT_EQ(CW_OK, apply(fixture, {i, 3, i}, (int64_t)i * 1000));
	EXPECT_EQ(11000, stored_before_ms(fixture, 0, 900000));
	EXPECT_EQ((BD_WATERMARKS_MAX + 10) * 1000,
	    stored_before_ms(fixture, BD_WATERMARKS_MAX + 9, 900000));
}

/* Guards against waits that begin anew on a VM that has just started. */
TEST(FlowWatermark, EarlierOnesAreKnownToAVmThatHasJustStarted)
{
	FlowFixture fixture;

	EXPECT_EQ(
	    CW_OK, apply(fixture, {30, 3, 500, 20, 1000, 10, 7000}, 50000));
	EXPECT_EQ(43000, stored_before_ms(fixture, 9, 90000));
	EXPECT_EQ(49000, stored_before_ms(fixture, 19, 90000));
	EXPECT_EQ(50000, stored_before_ms(fixture, 29, 90000));
	EXPECT_EQ(90000, stored_before_ms(fixture, 30, 90000));
}

/* What a VM has seen itself stands where another one has seen it later, and the
 * other way round. */
TEST(FlowWatermark, TheEarliestTimeThatIsKnownCounts)
{
	FlowFixture fixture;

	EXPECT_EQ(CW_OK, apply(fixture, {10, 3, 500}, 1000));
	EXPECT_EQ(CW_OK, apply(fixture, {20, 3, 500}, 6000));
	EXPECT_EQ(CW_OK,
	    apply(fixture, {30, 3, 500, 20, 5000, 15, 5500, 10, 6000}, 7000));
	EXPECT_EQ(1000, stored_before_ms(fixture, 9, 90000));
	EXPECT_EQ(1500, stored_before_ms(fixture, 14, 90000));
	EXPECT_EQ(2000, stored_before_ms(fixture, 19, 90000));
	EXPECT_EQ(7000, stored_before_ms(fixture, 29, 90000));
}

/* Terms that nobody asks for any more make room. */
TEST(FlowWatermark, TheTableHoldsTheLatestTerms)
{
	FlowFixture fixture;

	for (uint64_t term = 1; term <= BD_SETTLED_TERMS_MAX + 2; term++)
		EXPECT_EQ(CW_OK, apply(fixture, {term, term, 7}, 1000));
	EXPECT_EQ(0, settled_ms(fixture, 1));
	EXPECT_EQ(0, settled_ms(fixture, 2));
	EXPECT_EQ(7, settled_ms(fixture, 3));
	EXPECT_EQ(7, settled_ms(fixture, BD_SETTLED_TERMS_MAX + 2));
}

TEST(FlowWatermark, MalformedOnesAreRejected)
{
	FlowFixture fixture;

	EXPECT_EQ(FW_EBADRECORD, apply_text(fixture, "", 1000));
	EXPECT_EQ(FW_EBADRECORD, apply_text(fixture, "10 3 500", 1000));
	EXPECT_EQ(FW_EBADRECORD, apply(fixture, {10, 3}, 1000));
	EXPECT_EQ(FW_EBADRECORD, apply(fixture, {10, 3, 500, 9}, 1000));
	EXPECT_EQ(FW_EBADRECORD, apply(fixture, {10, 3, 500}, 1000, 2));
	EXPECT_EQ(FW_EBADRECORD, apply(fixture, {10, 3, UINT64_MAX}, 1000));
	EXPECT_EQ(9000, stored_before_ms(fixture, 0, 9000));
}
