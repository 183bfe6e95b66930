/* Keeps revisions and their times in a ring. */
#include "fleet/fleet_revision_times.h"

/* Between items; all of them cover 12.8 s. */
#define RECORD_INTERVAL_MIN_US 50000U

static const struct fleet_revision_time *
item_at(const struct fleet_revision_times *, uint32_t index);

/* Return the item at INDEX, counted from the oldest. */
static const struct fleet_revision_time *
item_at(const struct fleet_revision_times *times, uint32_t index)
{
    return &times->items[(times->first + index) % FLEET_REVISION_TIMES_MAX];
}

/*
 * Record that REVISION was created at NOW_US.  A revision that follows the
 * last recorded one within RECORD_INTERVAL_MIN_US is skipped by this call; a
 * later call records it, or a newer one, with a later time.  The age derived
 * for it is therefore too low by up to about that interval.
 */
void
fleet_revision_times_add(struct fleet_revision_times *times, uint64_t now_us,
                         uint64_t revision)
{
    struct fleet_revision_time item = {revision, now_us};
    const struct fleet_revision_time *last;

    if (times->count > 0) {
        last = item_at(times, times->count - 1);
        if (revision <= last->revision ||
            now_us < last->at_us + RECORD_INTERVAL_MIN_US) {
            return;
        }
    }
    if (times->count == FLEET_REVISION_TIMES_MAX) {
        times->first = (times->first + 1) % FLEET_REVISION_TIMES_MAX;
        times->count--;
    }
    times->items[(times->first + times->count) % FLEET_REVISION_TIMES_MAX] =
        item;
    times->count++;
}

/*
 * Return since when a daemon that holds REVISION has lacked something: the
 * time of the first recorded revision after it, or NOW_US if there is none
 * yet.
 */
uint64_t
fleet_revision_times_after(const struct fleet_revision_times *times,
                           uint64_t now_us, uint64_t revision)
{
    uint32_t low = 0, high = times->count;

    while (low < high) {
        uint32_t middle = low + (high - low) / 2;

        if (item_at(times, middle)->revision > revision) {
            high = middle;
        }
        else {
            low = middle + 1;
        }
    }
    return low == times->count ? now_us : item_at(times, low)->at_us;
}
