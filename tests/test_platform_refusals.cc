#include <gtest/gtest.h>

#include <string>

#include "../platform/refusals.h"

/* Refusals for a missing queue filled the record, and left no lines for those
 * that name a job. */
TEST(PlatformRefusals, RefusalsOfOneKindAreCountedIntoOneLine)
{
	struct pl_refusals refusals;
	struct pl_refusal taken;
	int lines = 0;

	pl_refusals_init(&refusals);
	for (int i = 0; i < 1000; i++)
		lines += pl_refusals_add(
		    &refusals, 404, "there is no such queue", 1000 + i);
	EXPECT_EQ(1, lines);
	EXPECT_FALSE(pl_refusals_take(&refusals, 5999, &taken));
	ASSERT_TRUE(pl_refusals_take(&refusals, 6000, &taken));
	EXPECT_EQ(404, taken.status);
	EXPECT_STREQ("there is no such queue", taken.reason);
	EXPECT_EQ(999u, taken.count);
	EXPECT_FALSE(pl_refusals_take(&refusals, 6000, &taken));
	EXPECT_TRUE(
	    pl_refusals_add(&refusals, 404, "there is no such queue", 6001));
	pl_refusals_destroy(&refusals);
}

/* A single refusal must be logged at once, and not a second time. */
TEST(PlatformRefusals, SingleRefusalsAreLoggedOnce)
{
	struct pl_refusals refusals;
	struct pl_refusal taken;

	pl_refusals_init(&refusals);
	EXPECT_TRUE(
	    pl_refusals_add(&refusals, 401, "the key is not known", 1000));
	EXPECT_TRUE(
	    pl_refusals_add(&refusals, 404, "there is no such queue", 1000));
	EXPECT_TRUE(pl_refusals_add(&refusals, 401, "another reason", 1000));
	EXPECT_FALSE(pl_refusals_take(&refusals, 9000, &taken));
	EXPECT_TRUE(
	    pl_refusals_add(&refusals, 401, "the key is not known", 9001));
	pl_refusals_destroy(&refusals);
}

/* With more kinds than there is room for, none must be lost. */
TEST(PlatformRefusals, KindsWithoutRoomAreLoggedOneByOne)
{
	struct pl_refusals refusals;

	pl_refusals_init(&refusals);
	for (int i = 0; i < PL_REFUSALS_MAX; i++)
		EXPECT_TRUE(pl_refusals_add(
		    &refusals, 503, std::to_string(i).c_str(), 1000));
	for (int i = 0; i < 3; i++)
		EXPECT_TRUE(pl_refusals_add(&refusals, 503, "one more", 1000));
	pl_refusals_destroy(&refusals);
}
