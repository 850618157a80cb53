#include <gtest/gtest.h>

#include "../lib/flow/flow_internal.h"

/* A caller makes this many tries in all, and waits as it is told. */
static constexpr int TRIES = 5;
/* A VM knows of an outage this long after it has begun. */
static constexpr int64_t DETECTED_MS = 700;

/* Returns when, in ms since the outage began, a caller that comes first at
 * first_ms gets through, or -1 if it is refused for good. */
static int64_t
served_ms(int64_t first_ms, int64_t outage_ms)
{
	int64_t now_ms = first_ms;

	for (int i = 0; i < TRIES; i++) {
		if (now_ms >= outage_ms)
			return now_ms;
		now_ms += 1000 * (int64_t)fw_retry_after_s(now_ms);
	}
	return -1;
}

/* Callers must not use up their tries before the store is back: told to come
 * back each second, those that came in the first part of an outage of 4.2 s
 * were refused for good. */
TEST(FlowRetry, TriesReachPastAnOutage)
{
	for (int64_t outage_ms = 1000; outage_ms <= 7500; outage_ms += 100)
		for (int64_t first_ms = DETECTED_MS; first_ms < outage_ms;
		     first_ms += 50) {
			int64_t served = served_ms(first_ms, outage_ms);

			ASSERT_GE(served, 0) << first_ms << " " << outage_ms;
			/* Nobody waits much longer than the store was away. */
			ASSERT_LE(served - outage_ms, 1000 + outage_ms / 2);
		}
}

/* The tries of many callers must not come at once when the store is back. */
TEST(FlowRetry, TriesAreSpreadAfterAnOutage)
{
	const int64_t outage_ms = 4200;
	int arrivals[100] = {0};
	int callers = 0;

	for (int64_t first_ms = DETECTED_MS; first_ms < outage_ms;
	     first_ms += 10) {
		arrivals[served_ms(first_ms, outage_ms) / 250]++;
		callers++;
	}
	for (int count : arrivals)
		EXPECT_LE(count, callers / 4);
}

/* A VM that has just started knows of no outage. */
TEST(FlowRetry, UnknownOutagesAreShort)
{
	EXPECT_EQ(1U, fw_retry_after_s(INT64_MAX / 2));
	EXPECT_EQ(1U, fw_retry_after_s(-1));
	EXPECT_EQ(1U, fw_retry_after_s(0));
}

/* Returns whether a caller that comes first at first_ms, waits for patience_ms
 * in all and tries again at once gets through an outage. */
static bool
served_within(int64_t first_ms, int64_t outage_ms, int64_t patience_ms)
{
	int64_t end_ms = first_ms + patience_ms;
	int64_t now_ms = first_ms;

	for (int i = 0; i < TRIES && now_ms < end_ms; i++) {
		now_ms += fw_hold_ms(end_ms - now_ms, now_ms, 0, 4);
		if (now_ms >= outage_ms)
			return true;
		now_ms += 50;
	}
	return now_ms >= outage_ms && now_ms < end_ms;
}

/* Callers that come in the last seconds of an outage must get through: refused
 * at once, all of 28 and 20 of 38 in two windows of 2 s were lost. */
TEST(FlowRetry, CallersThatComeLateInAnOutageAreServed)
{
	const int64_t patience_ms = 2850;

	for (int64_t outage_ms = 3000; outage_ms <= 8000; outage_ms += 100)
		for (int64_t first_ms = 2500; first_ms < outage_ms;
		     first_ms += 50) {
			bool expects_end =
			    first_ms + patience_ms * 9 / 10 > outage_ms;

			EXPECT_TRUE(!expects_end ||
			    served_within(first_ms, outage_ms, patience_ms))
			    << first_ms << " " << outage_ms;
		}
}

/* A call must be refused at once if another VM may serve it, if the outage is
 * long, or if the threads are needed; and no hold may use up its caller's
 * time. */
TEST(FlowRetry, CallsAreHeldOnlyWhereItHelps)
{
	EXPECT_EQ(0, fw_hold_ms(3000, 1000, 0, 4));
	EXPECT_EQ(0, fw_hold_ms(3000, 20000, 0, 4));
	EXPECT_EQ(0, fw_hold_ms(3000, 4000, 4, 4));
	EXPECT_EQ(0, fw_hold_ms(0, 4000, 0, 4));
	EXPECT_EQ(0, fw_hold_ms(-5, 4000, 0, 4));
	EXPECT_LT(0, fw_hold_ms(3000, INT64_MAX / 2, 0, 4));
	for (int64_t outage_ms = 0; outage_ms < 15000; outage_ms += 100)
		EXPECT_LT(fw_hold_ms(3000, outage_ms, 0, 4), 1500);
}
