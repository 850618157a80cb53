#include <gtest/gtest.h>

#include <cstring>

#include "../lib/flow/flow_internal.h"

namespace {

struct fw_record
record_at(uint64_t offset)
{
	struct fw_record record = {};

	strcpy(record.key, "config");
	record.offset = offset;
	return record;
}

} // namespace

/* Guards against a refused version that is forgotten because an older record is
 * read again, and against one that counts as refused after a later one. */
TEST(FlowReadiness, RefusedVersionStandsUntilALaterOneIsApplied)
{
	struct fw_record older = record_at(4);
	struct fw_record refused = record_at(5);
	struct fw_record later = record_at(6);
	struct bd_setup_refused row = {};
	struct bd_board *board;

	ASSERT_EQ(CW_OK, bd_board_create(&board));
	EXPECT_FALSE(fw_setup_refused(board, &row));
	ASSERT_EQ(CW_OK, fw_setup_refuse(board, &refused, 9, "cause", 70));
	fw_setup_accept(board, &older);
	ASSERT_TRUE(fw_setup_refused(board, &row));
	EXPECT_EQ(9U, row.version);
	EXPECT_EQ(5U, row.offset);
	EXPECT_EQ(70, row.since_ms);
	EXPECT_STREQ("cause", row.cause);
	/* The same record is read once more. */
	ASSERT_EQ(CW_OK, fw_setup_refuse(board, &refused, 9, "cause", 90));
	ASSERT_TRUE(fw_setup_refused(board, &row));
	EXPECT_EQ(70, row.since_ms);
	fw_setup_accept(board, &later);
	EXPECT_FALSE(fw_setup_refused(board, nullptr));
	bd_board_destroy(board);
}

/* Guards against a VM that is not ready and says nothing, or the same in each
 * second. */
TEST(FlowReadiness, WhatKeepsAVmFromBeingReadyIsLoggedNowAndThen)
{
	struct fw_readiness readiness;
	int64_t lasted_ms = -1;
	int lines = 0;

	fw_readiness_init(&readiness);
	EXPECT_TRUE(fw_readiness_note(
	    &readiness, FW_UNREADY_CONFIG_REFUSED, 1000, &lasted_ms));
	EXPECT_EQ(0, lasted_ms);
	for (int64_t now_ms = 2000; now_ms <= 61000; now_ms += 1000)
		lines += fw_readiness_note(&readiness,
			     FW_UNREADY_CONFIG_REFUSED, now_ms, &lasted_ms)
		    ? 1
		    : 0;
	EXPECT_EQ(6, lines);
	EXPECT_EQ(60000, lasted_ms);
	EXPECT_TRUE(fw_readiness_note(
	    &readiness, FW_UNREADY_JOBS_UNREAD, 61500, &lasted_ms));
	EXPECT_TRUE(fw_readiness_note(&readiness, FW_READY, 62000, &lasted_ms));
	EXPECT_EQ(500, lasted_ms);
	for (int64_t now_ms = 63000; now_ms <= 99000; now_ms += 1000)
		EXPECT_FALSE(fw_readiness_note(
		    &readiness, FW_READY, now_ms, &lasted_ms));
	fw_readiness_destroy(&readiness);
}

/* Guards against a text that is missing: it is shown to callers. */
TEST(FlowReadiness, EachReasonHasAText)
{
	for (int i = FW_READY; i <= FW_UNREADY_STORE_SILENT; i++)
		EXPECT_NE(nullptr, fw_unready_text((enum fw_unready)i));
}
