#include "flow_internal.h"

/* A caller tries a few times in all. The first pauses are short, as most
 * outages are; each later one is this part of the outage so far, so that five
 * tries reach past outages of 8 s and none comes much later than the store. */
#define PAUSE_MIN_S 1
#define PAUSE_MAX_S 6
#define OUTAGE_PART 2
/* A copy that is older was never read: this VM has just started. */
#define OUTAGE_MAX_MS 60000

/*
 * Returns the time in s after which a refused caller should try again.
 * outage_ms is the age of what this VM knows of the store; the store answers
 * each read within a second. Load answered: an outage of unknown length, during
 * which many callers with four tries each were refused for good, the first ones
 * after 4 s.
 */
uint32_t
fw_retry_after_s(int64_t outage_ms)
{
	int64_t pause_s;

	if (outage_ms < 0 || outage_ms > OUTAGE_MAX_MS)
		return PAUSE_MIN_S;
	pause_s = PAUSE_MIN_S + outage_ms / (OUTAGE_PART * 1000);
	return pause_s > PAUSE_MAX_S ? PAUSE_MAX_S : (uint32_t)pause_s;
}
