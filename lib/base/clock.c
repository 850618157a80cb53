#include <time.h>

#include "base.h"

static int64_t
read_clock_us(clockid_t clock)
{
	struct timespec ts;

	clock_gettime(clock, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

/* Returns the time of day in milliseconds since 1970. */
int64_t
cw_clock_wall_ms(void)
{
	return read_clock_us(CLOCK_REALTIME) / 1000;
}

/* Returns milliseconds of a clock that never goes back. */
int64_t
cw_clock_mono_ms(void)
{
	return read_clock_us(CLOCK_MONOTONIC) / 1000;
}

/* Returns microseconds of a clock that never goes back. */
int64_t
cw_clock_mono_us(void)
{
	return read_clock_us(CLOCK_MONOTONIC);
}

/* Stores the time in wait_ms from now on the clock that never goes back, as
 * condition variables take it. Negative waits count as 0. */
void
cw_clock_deadline(int64_t wait_ms, struct timespec *until)
{
	if (wait_ms < 0)
		wait_ms = 0;
	clock_gettime(CLOCK_MONOTONIC, until);
	until->tv_sec += wait_ms / 1000;
	until->tv_nsec += wait_ms % 1000 * 1000000;
	if (until->tv_nsec >= 1000000000) {
		until->tv_sec++;
		until->tv_nsec -= 1000000000;
	}
}
