#include <gtest/gtest.h>

#include "adapter.h"

/* Guards against a client that waits for long and is refused early, as its time
 * is beyond the longest one. */
TEST(PlatformFront, LongDeadlinesAreCapped)
{
	const struct {
		const char *header;
		int64_t wait_ms;
	} cases[] = {
	    {nullptr, 2350},
	    {"", 2350},
	    {"x", 2350},
	    {"0", 2350},
	    {"-5", 2350},
	    {"200", 200},
	    {"3000", 2850},
	    {"60000", 59850},
	    {"60001", 59850},
	    {"3600000", 59850},
	    {"99999999999999999999", 59850},
	};

	for (const auto &c : cases)
		EXPECT_EQ(
		    1000 + c.wait_ms, pl_front_deadline_ms(c.header, 1000))
		    << (c.header != nullptr ? c.header : "none");
}
