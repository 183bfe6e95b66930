/*
 * What control daemons tell each other at intervals, and entry daemons in
 * answer: seats, leader, lag, and which others are known.
 */
#include "fleet/fleet_control_private.h"

#define LAG_UNKNOWN_MS UINT32_MAX

static void fill_greeting(struct fleet *, Parsleyspur__FleetGreeting *,
                          uint64_t now_us);
static void greet(struct fleet *, uint32_t address, bool answer);
static void take_seats(struct fleet *, const Parsleyspur__FleetGreeting *);

/* The address of the leader, as far as this daemon knows; 0 if unknown. */
uint32_t
fleet_greet_leader(const struct fleet *fleet)
{
    const struct fleet_control *control = fleet->control;
    uint64_t now_us = fleet_now_us();
    GHashTableIter iter;
    gpointer key, value;

    if (control->quorum != NULL) {
        uint64_t seat = quorum_core_leader(control->quorum).value;

        return seat == 0 ? 0 : control->seats[seat - 1].address;
    }
    g_hash_table_iter_init(&iter, fleet->peers);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct fleet_peer *peer = value;

        if (peer->control && peer->seat != 0 && peer->lag_us == 0 &&
            peer->leader == peer->address &&
            fleet_peer_is_fresh(peer, now_us)) {
            return peer->address;
        }
    }
    return 0;
}

/* Microseconds since the leader was heard; very many if it is unknown. */
uint64_t
fleet_greet_lag_us(const struct fleet *fleet, uint64_t now_us)
{
    const struct fleet_control *control = fleet->control;
    const struct fleet_peer *leader;
    uint32_t address;

    if (control->quorum != NULL) {
        return quorum_core_leader_lag_us(control->quorum, now_us);
    }
    address = fleet_greet_leader(fleet);
    leader = g_hash_table_lookup(fleet->peers, GUINT_TO_POINTER(address));
    return leader == NULL ? UINT32_MAX
                          : fleet_elapsed_us(now_us, leader->heard_us);
}

/* Whether what is told to this daemon becomes known to the leader. */
bool
fleet_greet_in_touch(const struct fleet *fleet)
{
    return fleet_greet_lag_us(fleet, fleet_now_us()) < FLEET_FRESH_US;
}

static void
fill_greeting(struct fleet *fleet, Parsleyspur__FleetGreeting *greeting,
              uint64_t now_us)
{
    const struct fleet_control *control = fleet->control;
    uint64_t lag_ms = fleet_greet_lag_us(fleet, now_us) / 1000;
    GHashTableIter iter;
    gpointer key, value;

    greeting->control = true;
    greeting->zone = fleet->zone;
    greeting->revision = control->quorum == NULL
                             ? catalog_revision(fleet->catalog)
                             : catalog_changed(fleet->catalog);
    greeting->leader = fleet_greet_leader(fleet);
    greeting->lag_ms = (uint32_t)MIN(lag_ms, LAG_UNKNOWN_MS);
    greeting->seat = control->quorum == NULL ? 0 : (uint32_t)control->seat;
    greeting->empty = control->seat == 0;
    greeting->members_known = control->formed;
    greeting->seat_count = (uint32_t)control->seat_count;
    greeting->seats =
        g_new0(Parsleyspur__CatalogSeat *, control->seat_count + 1);
    for (size_t i = 0; i < control->seat_count; i++) {
        greeting->seats[greeting->n_seats++] =
            catalog_wire_seat(i, &control->seats[i]);
    }
    greeting->controls = g_new0(uint32_t, g_hash_table_size(fleet->peers) + 1);
    g_hash_table_iter_init(&iter, fleet->peers);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct fleet_peer *peer = value;

        if (peer->control && fleet_peer_is_fresh(peer, now_us)) {
            greeting->controls[greeting->n_controls++] = peer->address;
        }
    }
}

static void
greet(struct fleet *fleet, uint32_t address, bool answer)
{
    Parsleyspur__FleetMessage *message = g_malloc0(sizeof(*message));
    uint64_t now_us = fleet_now_us();

    parsleyspur__fleet_message__init(message);
    message->greeting = g_malloc0(sizeof(*message->greeting));
    parsleyspur__fleet_greeting__init(message->greeting);
    fill_greeting(fleet, message->greeting, now_us);
    message->greeting->answer = answer;
    message->greeting->rank =
        address == message->greeting->leader ? 0 : FLEET_FEEDS_MAX;
    fleet_send(fleet, address, message);
    parsleyspur__fleet_message__free_unpacked(message, NULL);
}

void
fleet_greet_all(struct fleet *fleet, uint64_t now_us)
{
    GArray *addresses = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    GHashTableIter iter;
    gpointer key, value;

    if (now_us < fleet->greet_us) {
        g_array_unref(addresses);
        return;
    }
    fleet->greet_us =
        now_us +
        (fleet_greet_in_touch(fleet) ? FLEET_GREET_US : FLEET_GREET_FAST_US);
    g_hash_table_iter_init(&iter, fleet->peers);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        if (((const struct fleet_peer *)value)->control) {
            g_array_append_val(addresses,
                               ((struct fleet_peer *)value)->address);
        }
    }
    for (guint i = 0; i < addresses->len; i++) {
        greet(fleet, g_array_index(addresses, uint32_t, i), false);
    }
    g_array_unref(addresses);
}

/* Learn the seats from another daemon, if its fleet has formed. */
static void
take_seats(struct fleet *fleet, const Parsleyspur__FleetGreeting *greeting)
{
    struct fleet_control *control = fleet->control;

    if (!greeting->members_known || greeting->seat_count == 0 ||
        greeting->seat_count > CATALOG_SEATS_MAX) {
        return;
    }
    if (control->seat_count == 0) {
        control->seat_count = greeting->seat_count;
    }
    for (size_t i = 0; i < greeting->n_seats; i++) {
        const Parsleyspur__CatalogSeat *seat = greeting->seats[i];

        if (seat->seat < control->seat_count && seat->address != 0) {
            fleet_seat_adopt(fleet, seat->seat, seat->address, seat->revision);
        }
    }
}

void
fleet_greet_take(struct fleet *fleet, struct fleet_peer *peer,
                 const Parsleyspur__FleetGreeting *greeting)
{
    fleet_peer_heard(fleet, peer, greeting);
    if (greeting->control) {
        take_seats(fleet, greeting);
    }
    else {
        greet(fleet, peer->address, true);
    }
}
