/*
 * Which daemons are the voters of the log, this one among them or not, and, on
 * the leader, which standby replaces a voter that is lost.
 */
#include <string.h>

#include "fleet/fleet_control_private.h"
#include "fleet/fleet_replace.h"

#define VOTER_LOST_US   1500000U /* a voter that is not heard for so long */
#define VOTER_SETTLE_US 1500000U /* a new voter has so long until it votes */
#define STANDBYS_MAX    32

static gint by_address(gconstpointer, gconstpointer);
static void become_voter(struct fleet *, size_t index);
static void end_voter(struct fleet *);
static bool is_voter(const struct fleet *, const struct fleet_peer *);
static size_t list_standbys(struct fleet *, struct fleet_standby *,
                            uint64_t now_us);

static gint
by_address(gconstpointer a, gconstpointer b)
{
    uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

    return x < y ? -1 : x > y;
}

/*
 * The whole fleet starts for the first time.  All are told the same seeds, so
 * that all know which voters the founders are; further ones are no daemon
 * until a standby is heard.
 */
void
fleet_voter_found(struct fleet *fleet)
{
    struct fleet_control *control = fleet->control;
    struct fleet_seeds seeds = fleet->seeds;
    size_t wanted = 2 * (size_t)fleet->options->losses + 1;

    qsort(seeds.addresses, seeds.count, sizeof(seeds.addresses[0]),
          by_address);
    if (seeds.count == 0) {
        return;
    }
    wanted = MAX(wanted, 3);
    wanted = MIN(wanted, 2 * seeds.count - 1);
    control->voter_count = MIN(wanted, CATALOG_VOTERS_MAX);
    for (size_t i = 0; i < seeds.count && i < control->voter_count; i++) {
        control->voters[i].address = seeds.addresses[i];
        if (seeds.addresses[i] == fleet->options->address) {
            control->voter = i + 1;
        }
    }
    fleet_voter_file_write(fleet);
    if (control->voter != 0) {
        fleet_quorum_try_open(fleet, true);
    }
}

/* Be the voter INDEX from now on, with an empty log and no vote yet. */
static void
become_voter(struct fleet *fleet, size_t index)
{
    struct fleet_control *control = fleet->control;

    control->voter = index + 1;
    control->log_number++;
    control->formed = true;
    fleet_voter_remove_logs(fleet);
    fleet_voter_file_write(fleet);
    fleet_log_line(fleet->log, FLEET_LOG_STATE, clock_boottime_us(),
                   "voter-begun",
                   "\"voter\":%zu,\"revision\":%" G_GUINT64_FORMAT,
                   control->voter, control->voters[index].revision);
    fleet_quorum_try_open(fleet, false);
}

/* Another daemon has replaced this voter. */
static void
end_voter(struct fleet *fleet)
{
    struct fleet_control *control = fleet->control;

    fleet_log_line(
        fleet->log, FLEET_LOG_STATE, clock_boottime_us(), "voter-ended",
        "\"voter\":%zu,\"revision\":%" G_GUINT64_FORMAT, control->voter,
        control->voters[control->voter - 1].revision);
    fleet_request_fail_all(fleet);
    fleet_quorum_close(fleet);
    control->voter = 0;
    fleet_voter_file_write(fleet);
    fleet_voter_remove_logs(fleet);
}

/* Act on what is known of the voters. */
void
fleet_voter_follow(struct fleet *fleet)
{
    struct fleet_control *control = fleet->control;
    uint32_t self = fleet->options->address;

    if (control->voter != 0 &&
        control->voters[control->voter - 1].address != self) {
        end_voter(fleet);
    }
    for (size_t i = 0; i < control->voter_count && control->voter == 0; i++) {
        if (control->voters[i].address == self) {
            become_voter(fleet, i);
        }
    }
}

/*
 * Another daemon says, or the log has committed, that the daemon at
 * ADDRESS is the voter INDEX since REVISION.  What is not newer than known changes nothing.
 */
void
fleet_voter_adopt(struct fleet *fleet, size_t index, uint32_t address,
                  uint64_t revision)
{
    struct catalog_voter *voter;

    if (index >= CATALOG_VOTERS_MAX) {
        return;
    }
    voter = &fleet->control->voters[index];
    if (revision < voter->revision ||
        (revision == voter->revision && voter->address != 0)) {
        return;
    }
    if (voter->address != address) {
        char *text = view_address_text(address);

        fleet_log_line(
            fleet->log, FLEET_LOG_STATE, clock_boottime_us(), "voter",
            "\"voter\":%zu,\"address\":\"%s\",\"revision\":%" G_GUINT64_FORMAT,
            index + 1, text, revision);
        g_free(text);
    }
    voter->address = address;
    voter->revision = revision;
    fleet_peer_learn(fleet, address);
    fleet_voter_file_write(fleet);
}

/* True if PEER is a voter, whether it knows that or not. */
static bool
is_voter(const struct fleet *fleet, const struct fleet_peer *peer)
{
    for (size_t i = 0; i < fleet->control->voter_count; i++) {
        if (fleet->control->voters[i].address == peer->address) {
            return true;
        }
    }
    return false;
}

static size_t
list_standbys(struct fleet *fleet, struct fleet_standby *standbys,
              uint64_t now_us)
{
    GHashTableIter iter;
    gpointer key, value;
    size_t count = 0;

    g_hash_table_iter_init(&iter, fleet->peers);
    while (g_hash_table_iter_next(&iter, &key, &value) &&
           count < STANDBYS_MAX) {
        const struct fleet_peer *peer = value;

        if (peer->control && peer->empty && !is_voter(fleet, peer) &&
            fleet_peer_is_fresh(peer, now_us)) {
            standbys[count].address = peer->address;
            standbys[count].zone = peer->zone;
            count++;
        }
    }
    return count;
}

/* The leader replaces a voter that is not heard by a standby. */
void
fleet_voter_replace_lost(struct fleet *fleet, uint64_t now_us)
{
    struct fleet_control *control = fleet->control;
    struct fleet_voter_view voters[CATALOG_VOTERS_MAX];
    struct fleet_standby standbys[STANDBYS_MAX];
    struct fleet_replacement change;
    struct catalog_command command = {.kind = CATALOG_VOTER};
    struct fleet_waiter waiter = {.kind = FLEET_WAITER_NONE, .what = "voter"};

    if (!control->leading || !quorum_core_read_ok(control->quorum, now_us)) {
        return;
    }
    for (size_t i = 0; i < control->voter_count; i++) {
        const struct fleet_peer *peer = g_hash_table_lookup(
            fleet->peers, GUINT_TO_POINTER(control->voters[i].address));

        voters[i].address = control->voters[i].address;
        voters[i].zone = i + 1 == control->voter
                             ? fleet->zone
                             : (peer == NULL ? 0 : peer->zone);
        voters[i].heard =
            voters[i].address != 0 &&
            quorum_core_voter_heard(control->quorum, (struct daemon_id){i + 1},
                                    VOTER_LOST_US);
    }
    if (fleet_elapsed_us(now_us, control->voter_change_us) < VOTER_SETTLE_US &&
        !voters[control->voter_changed].heard) {
        return;
    }
    change = fleet_replace_choose(voters, control->voter_count, standbys,
                                  list_standbys(fleet, standbys, now_us));
    if (change.address == 0) {
        return;
    }
    control->voter_change_us = now_us;
    control->voter_changed = change.voter;
    command.u.voter.index = change.voter;
    command.u.voter.address = change.address;
    fleet_request_command(fleet, &command, &waiter);
}
