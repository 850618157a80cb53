#include <time.h>

#include "base.h"

static int64_t
read_clock_us(clockid_t clock)
{
	struct timespec ts;

	clock_gettime(clock, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

/* Returns the wall-clock time in ms since the Unix epoch. */
int64_t
cw_clock_wall_ms(void)
{
	return read_clock_us(CLOCK_REALTIME) / 1000;
}

/* Returns the monotonic time in ms, counting the time in suspension too. */
int64_t
cw_clock_boot_ms(void)
{
	return read_clock_us(CLOCK_BOOTTIME) / 1000;
}

/* Returns the monotonic time in ms. */
int64_t
cw_clock_mono_ms(void)
{
	return read_clock_us(CLOCK_MONOTONIC) / 1000;
}

/* Returns the monotonic time in us. */
int64_t
cw_clock_mono_us(void)
{
	return read_clock_us(CLOCK_MONOTONIC);
}

/* Stores the monotonic time wait_ms from now, for timed waits on condition
 * variables that use CLOCK_MONOTONIC. A negative wait counts as 0. */
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
