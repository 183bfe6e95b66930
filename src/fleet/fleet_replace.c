/* Chooses a standby for an inactive voter; one voter is replaced at a time. */
#include "fleet/fleet_replace.h"

static bool zone_has_voter(const struct fleet_voter_view *, size_t,
                           uint32_t zone);

/* Return true if an active voter is in ZONE. */
static bool
zone_has_voter(const struct fleet_voter_view *voters, size_t count,
               uint32_t zone)
{
    for (size_t i = 0; i < count; i++) {
        if (voters[i].active && voters[i].zone == zone) {
            return true;
        }
    }
    return false;
}

/*
 * Return the first voter without an assignee or with an inactive one, and a
 * standby for it; address 0 if there is no such voter or no standby.  A
 * standby in a zone without an active voter is preferred, so that the loss of
 * a zone takes few votes.  A new voter counts as inactive until it may vote,
 * so that voters are replaced one after the other.
 */
struct fleet_replacement
fleet_replace_choose_standby(const struct fleet_voter_view *voters,
                             size_t voter_count,
                             const struct fleet_standby *standbys,
                             size_t standby_count)
{
    struct fleet_replacement replacement = {0, 0};
    size_t inactive = voter_count;

    for (size_t i = 0; i < voter_count && inactive == voter_count; i++) {
        if (!voters[i].active) {
            inactive = i;
        }
    }
    if (inactive == voter_count || standby_count == 0) {
        return replacement;
    }
    replacement.voter = inactive;
    replacement.address = standbys[0].address;
    for (size_t i = 0; i < standby_count; i++) {
        if (!zone_has_voter(voters, voter_count, standbys[i].zone)) {
            replacement.address = standbys[i].address;
            break;
        }
    }
    return replacement;
}
