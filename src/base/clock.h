/* The clock of decisions that must hold over a suspension of the machine. */
#ifndef PS_BASE_CLOCK_H
#define PS_BASE_CLOCK_H

#include <stdint.h>

uint64_t clock_boottime_us(void);

#endif
