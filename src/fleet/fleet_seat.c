/*
 * The seat that this daemon holds, who holds the others, and, on the leader,
 * who takes the place of a holder that is lost.
 */
#include <string.h>

#include "fleet/fleet_control_private.h"
#include "fleet/fleet_seats.h"

#define SEAT_LOST_US   1500000U /* a voter that is not heard for so long */
#define SEAT_SETTLE_US 1500000U /* a seat's new holder has so long to vote */
#define STANDBYS_MAX   32

static gint by_address(gconstpointer, gconstpointer);
static void take_seat(struct fleet *, size_t index);
static void leave_seat(struct fleet *);
static bool holds_seat(const struct fleet *, const struct fleet_peer *);
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
 * that all know the founders' seats; further seats stay vacant until a
 * standby is heard.
 */
void
fleet_seat_found(struct fleet *fleet)
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
    control->seat_count = MIN(wanted, CATALOG_SEATS_MAX);
    for (size_t i = 0; i < seeds.count && i < control->seat_count; i++) {
        control->seats[i].address = seeds.addresses[i];
        if (seeds.addresses[i] == fleet->options->address) {
            control->seat = i + 1;
        }
    }
    fleet_seat_file_write(fleet);
    if (control->seat != 0) {
        fleet_quorum_try_open(fleet, true);
    }
}

/* Hold the seat INDEX from now on, with an empty log and no vote yet. */
static void
take_seat(struct fleet *fleet, size_t index)
{
    struct fleet_control *control = fleet->control;

    control->seat = index + 1;
    control->log_number++;
    control->formed = true;
    fleet_seat_remove_logs(fleet);
    fleet_seat_file_write(fleet);
    fleet_log_line(fleet->log, FLEET_LOG_STATE, fleet_now_us(), "seat-taken",
                   "\"seat\":%zu,\"revision\":%" G_GUINT64_FORMAT,
                   control->seat, control->seats[index].revision);
    fleet_quorum_try_open(fleet, false);
}

/* The seat has passed to another daemon: what was voted for is over. */
static void
leave_seat(struct fleet *fleet)
{
    struct fleet_control *control = fleet->control;

    fleet_log_line(fleet->log, FLEET_LOG_STATE, fleet_now_us(), "seat-left",
                   "\"seat\":%zu,\"revision\":%" G_GUINT64_FORMAT,
                   control->seat, control->seats[control->seat - 1].revision);
    fleet_request_fail_all(fleet);
    fleet_quorum_close(fleet);
    control->seat = 0;
    fleet_seat_file_write(fleet);
    fleet_seat_remove_logs(fleet);
}

/* Act on what the seats say of this daemon. */
void
fleet_seat_follow(struct fleet *fleet)
{
    struct fleet_control *control = fleet->control;
    uint32_t self = fleet->options->address;

    if (control->seat != 0 &&
        control->seats[control->seat - 1].address != self) {
        leave_seat(fleet);
    }
    for (size_t i = 0; i < control->seat_count && control->seat == 0; i++) {
        if (control->seats[i].address == self) {
            take_seat(fleet, i);
        }
    }
}

/*
 * Another daemon says, or the log has committed, that the seat INDEX is held
 * at ADDRESS since REVISION.  What is not newer than known changes nothing.
 */
void
fleet_seat_adopt(struct fleet *fleet, size_t index, uint32_t address,
                 uint64_t revision)
{
    struct catalog_seat *seat;

    if (index >= CATALOG_SEATS_MAX) {
        return;
    }
    seat = &fleet->control->seats[index];
    if (revision < seat->revision ||
        (revision == seat->revision && seat->address != 0)) {
        return;
    }
    if (seat->address != address) {
        char *text = view_address_text(address);

        fleet_log_line(
            fleet->log, FLEET_LOG_STATE, fleet_now_us(), "seat",
            "\"seat\":%zu,\"holder\":\"%s\",\"revision\":%" G_GUINT64_FORMAT,
            index + 1, text, revision);
        g_free(text);
    }
    seat->address = address;
    seat->revision = revision;
    fleet_peer_learn(fleet, address);
    fleet_seat_file_write(fleet);
}

/* True if PEER has been given a seat, whether it knows that or not. */
static bool
holds_seat(const struct fleet *fleet, const struct fleet_peer *peer)
{
    for (size_t i = 0; i < fleet->control->seat_count; i++) {
        if (fleet->control->seats[i].address == peer->address) {
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

        if (peer->control && peer->empty && !holds_seat(fleet, peer) &&
            fleet_peer_is_fresh(peer, now_us)) {
            standbys[count].address = peer->address;
            standbys[count].zone = peer->zone;
            count++;
        }
    }
    return count;
}

/* The leader gives a seat that nobody votes from to a standby. */
void
fleet_seat_replace_lost(struct fleet *fleet, uint64_t now_us)
{
    struct fleet_control *control = fleet->control;
    struct fleet_seat_view seats[CATALOG_SEATS_MAX];
    struct fleet_standby standbys[STANDBYS_MAX];
    struct fleet_seat_change change;
    struct catalog_command command = {.kind = CATALOG_SEAT};
    struct fleet_waiter waiter = {.kind = FLEET_WAITER_NONE, .what = "seat"};

    if (!control->leading || !quorum_core_read_ok(control->quorum, now_us)) {
        return;
    }
    for (size_t i = 0; i < control->seat_count; i++) {
        const struct fleet_peer *peer = g_hash_table_lookup(
            fleet->peers, GUINT_TO_POINTER(control->seats[i].address));

        seats[i].address = control->seats[i].address;
        seats[i].zone = i + 1 == control->seat
                            ? fleet->zone
                            : (peer == NULL ? 0 : peer->zone);
        seats[i].heard =
            seats[i].address != 0 &&
            quorum_core_voter_heard(control->quorum, (struct daemon_id){i + 1},
                                    SEAT_LOST_US);
    }
    if (fleet_elapsed_us(now_us, control->seat_change_us) < SEAT_SETTLE_US &&
        !seats[control->seat_changed].heard) {
        return;
    }
    change = fleet_seats_decide(seats, control->seat_count, standbys,
                                list_standbys(fleet, standbys, now_us));
    if (change.address == 0) {
        return;
    }
    control->seat_change_us = now_us;
    control->seat_changed = change.seat;
    command.u.seat.index = change.seat;
    command.u.seat.address = change.address;
    fleet_request_command(fleet, &command, &waiter);
}
