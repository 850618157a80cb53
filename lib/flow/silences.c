#include "silences.h"

/* For this long after it answers again, a worker is used as a last resort. */
#define SILENT_LATELY_MS 8000

/*
 * Workers that are silent and answer again by turns. Load answered: in a day
 * with 27 of 350 workers down and up every 1.1 s, a worker that had just come
 * back counted as sound. Gangs of 5 tasks met one in three times, and each that
 * did waited 9 s for the end of a lease.
 */

/* Notes that a worker has stopped to answer. */
void
fw_silence_began(struct fw_silences *silences, int64_t now_ms)
{
	if (!fw_silent_lately(silences, now_ms))
		silences->count = 0;
	silences->count++;
}

/* Notes that a worker answers again. */
void
fw_silence_ended(struct fw_silences *silences, int64_t now_ms)
{
	silences->ended_ms = now_ms;
}

/* Returns whether a worker was silent until a short time ago. */
bool
fw_silent_lately(const struct fw_silences *silences, int64_t now_ms)
{
	return silences->ended_ms != 0 &&
	    now_ms - silences->ended_ms < SILENT_LATELY_MS;
}

/* Returns whether a worker was silent more than once lately, so that it is
 * likely to be silent again before a task on it ends. */
bool
fw_silent_repeatedly(const struct fw_silences *silences, int64_t now_ms)
{
	return silences->count > 1 && fw_silent_lately(silences, now_ms);
}
