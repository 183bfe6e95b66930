/*
 * Records when revisions of the catalog were created, which gives the age of
 * what a daemon lacks.  Covers the last seconds.  No I/O.
 */
#ifndef PS_FLEET_FLEET_REVISION_TIMES_H
#define PS_FLEET_FLEET_REVISION_TIMES_H

#include <stdint.h>

#define FLEET_REVISION_TIMES_MAX 256U

struct fleet_revision_time {
    uint64_t revision;
    uint64_t at_us;
};

/* Empty if all bytes are zero. */
struct fleet_revision_times {
    struct fleet_revision_time items[FLEET_REVISION_TIMES_MAX]; /* a ring */
    uint32_t first;
    uint32_t count;
};

void fleet_revision_times_add(struct fleet_revision_times *, uint64_t now_us,
                              uint64_t revision);
uint64_t fleet_revision_times_after(const struct fleet_revision_times *,
                                    uint64_t now_us, uint64_t revision);

#endif
