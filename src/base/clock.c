#include "base/clock.h"

#include <time.h>

/*
 * Microseconds since the machine was booted.  Unlike the monotonic clock it
 * counts the time of a suspension, so that a lease does not outlive one.
 */
uint64_t
clock_boottime_us(void)
{
    struct timespec now;

    clock_gettime(CLOCK_BOOTTIME, &now);
    return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}
