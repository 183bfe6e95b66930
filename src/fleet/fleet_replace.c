/* One voter is replaced at a time. */
#include "fleet/fleet_replace.h"

static bool zone_has_voter(const struct fleet_voter_view *, size_t,
                           uint32_t zone);

/* True if a voter that is heard stands in ZONE. */
static bool
zone_has_voter(const struct fleet_voter_view *voters, size_t count,
               uint32_t zone)
{
    for (size_t i = 0; i < count; i++) {
        if (voters[i].heard && voters[i].zone == zone) {
            return true;
        }
    }
    return false;
}

/*
 * The first voter that is no daemon yet, or is not heard, and a standby
 * for it: one of a zone without a voter, if there is one, so that the loss of
 * a zone takes few votes.  A new voter counts as not heard until it may
 * vote, so that voters are replaced one after the other.
 */
struct fleet_replacement
fleet_replace_choose(const struct fleet_voter_view *voters, size_t voter_count,
                     const struct fleet_standby *standbys,
                     size_t standby_count)
{
    struct fleet_replacement change = {0, 0};
    size_t open = voter_count;

    for (size_t i = 0; i < voter_count && open == voter_count; i++) {
        if (!voters[i].heard) {
            open = i;
        }
    }
    if (open == voter_count || standby_count == 0) {
        return change;
    }
    change.voter = open;
    change.address = standbys[0].address;
    for (size_t i = 0; i < standby_count; i++) {
        if (!zone_has_voter(voters, voter_count, standbys[i].zone)) {
            change.address = standbys[i].address;
            break;
        }
    }
    return change;
}
