/* One seat at a time, and never one that more than a minority waits for. */
#include "fleet/fleet_seats.h"

static bool zone_is_seated(const struct fleet_seat_view *, size_t,
                           uint32_t zone);

/* True if a voter that is heard stands in ZONE. */
static bool
zone_is_seated(const struct fleet_seat_view *seats, size_t count,
               uint32_t zone)
{
    for (size_t i = 0; i < count; i++) {
        if (seats[i].heard && seats[i].zone == zone) {
            return true;
        }
    }
    return false;
}

/*
 * The first seat that is vacant or whose holder is not heard, and a standby
 * for it: one of a zone without a voter, if there is one, so that the loss of
 * a zone takes few votes.  While a seat's new holder has no vote yet it is
 * not heard either, so that seats change one after the other.
 */
struct fleet_seat_change
fleet_seats_decide(const struct fleet_seat_view *seats, size_t seat_count,
                   const struct fleet_standby *standbys, size_t standby_count)
{
    struct fleet_seat_change change = {0, 0};
    size_t open = seat_count;

    for (size_t i = 0; i < seat_count && open == seat_count; i++) {
        if (!seats[i].heard) {
            open = i;
        }
    }
    if (open == seat_count || standby_count == 0) {
        return change;
    }
    change.seat = open;
    change.address = standbys[0].address;
    for (size_t i = 0; i < standby_count; i++) {
        if (!zone_is_seated(seats, seat_count, standbys[i].zone)) {
            change.address = standbys[i].address;
            break;
        }
    }
    return change;
}
