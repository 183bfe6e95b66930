/*
 * Sends and receives heartbeats: between control daemons at intervals, and to
 * entry daemons in answer to theirs.  They carry the voters, the leader, the
 * lag, and which other daemons are known.
 */
#include "fleet/fleet_control_private.h"
#include "fleet/fleet_pending.h"

#define LAG_UNKNOWN_MS UINT32_MAX

static void fill_heartbeat(struct fleet *, Parsleyspur__FleetHeartbeat *,
                           uint64_t now_us);
static uint32_t count_entry_daemons(const struct fleet *, uint32_t zone,
                                    uint64_t now_us);
static void fill_leaving_targets(const struct fleet *,
                                 Parsleyspur__FleetHeartbeat *);
static void send_heartbeat(struct fleet *, uint32_t address, bool answer);
static void learn_initial_voters(struct fleet *,
                                 const Parsleyspur__FleetHeartbeat *);
static void learn_voters(struct fleet *, const Parsleyspur__FleetHeartbeat *);

/*
 * Return the address of the leader as far as this daemon knows; 0 if unknown.
 */
uint32_t
fleet_heartbeat_leader(const struct fleet *fleet)
{
    const struct fleet_control *control = fleet->control;
    uint64_t now_us = clock_boottime_us();
    GHashTableIter iter;
    gpointer key, value;

    if (control->quorum != NULL) {
        uint64_t voter = quorum_core_leader(control->quorum).value;

        if (voter != 0 && voter == control->voter) {
            return fleet->options->address;
        }
        return voter == 0 ? 0
                          : fleet_assignment_voting_address(
                                &control->voters[voter - 1]);
    }
    g_hash_table_iter_init(&iter, fleet->peers);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct fleet_peer *peer = value;

        if (peer->control && peer->voter != 0 && peer->lag_us == 0 &&
            peer->leader == peer->address &&
            fleet_peer_is_reachable(peer, now_us)) {
            return peer->address;
        }
    }
    return 0;
}

/*
 * Return the microseconds since the last contact with the leader: for a voter
 * as quorum_core_leader_lag_us() says; for another daemon UINT32_MAX if there
 * was no contact or the leader is unknown.
 */
uint64_t
fleet_heartbeat_lag_us(const struct fleet *fleet, uint64_t now_us)
{
    const struct fleet_control *control = fleet->control;
    const struct fleet_peer *leader;
    uint32_t address;

    if (control->quorum != NULL) {
        return quorum_core_leader_lag_us(control->quorum, now_us);
    }
    address = fleet_heartbeat_leader(fleet);
    leader = g_hash_table_lookup(fleet->peers, GUINT_TO_POINTER(address));
    return leader == NULL ? UINT32_MAX
                          : fleet_elapsed_us(now_us, leader->last_contact_us);
}

/*
 * Return true if this daemon is in contact with the leader, so that what it
 * reports reaches the leader.
 */
bool
fleet_heartbeat_has_leader_contact(const struct fleet *fleet)
{
    return fleet_heartbeat_lag_us(fleet, clock_boottime_us()) <
           FLEET_CONTACT_TIMEOUT_US;
}

/*
 * Fill HEARTBEAT with this daemon's state and the reachable control daemons.
 * The lists are allocated and belong to HEARTBEAT.
 */
static void
fill_heartbeat(struct fleet *fleet, Parsleyspur__FleetHeartbeat *heartbeat,
               uint64_t now_us)
{
    const struct fleet_control *control = fleet->control;
    uint64_t lag_ms = fleet_heartbeat_lag_us(fleet, now_us) / 1000;
    GHashTableIter iter;
    gpointer key, value;

    heartbeat->control = true;
    heartbeat->zone = fleet->zone;
    heartbeat->revision = control->quorum == NULL
                              ? catalog_revision(fleet->catalog)
                              : catalog_changed_revision(fleet->catalog);
    heartbeat->leader = fleet_heartbeat_leader(fleet);
    heartbeat->lag_ms = (uint32_t)MIN(lag_ms, LAG_UNKNOWN_MS);
    heartbeat->voter = control->quorum == NULL ? 0 : (uint32_t)control->voter;
    heartbeat->empty = control->voter == 0;
    heartbeat->members_known = control->fleet_formed;
    heartbeat->voter_count = (uint32_t)control->voter_count;
    fleet_voter_file_pack_voters(control, heartbeat);
    heartbeat->controls =
        g_new0(uint32_t, g_hash_table_size(fleet->peers) + 1);
    g_hash_table_iter_init(&iter, fleet->peers);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct fleet_peer *peer = value;

        if (peer->control && fleet_peer_is_reachable(peer, now_us)) {
            heartbeat->controls[heartbeat->n_controls++] = peer->address;
        }
    }
}

/* Return the number of reachable entry daemons in ZONE. */
static uint32_t
count_entry_daemons(const struct fleet *fleet, uint32_t zone, uint64_t now_us)
{
    GHashTableIter iter;
    gpointer key, value;
    uint32_t count = 0;

    g_hash_table_iter_init(&iter, fleet->peers);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct fleet_peer *peer = value;

        count += !peer->control && peer->zone == zone &&
                         fleet_peer_is_reachable(peer, now_us)
                     ? 1
                     : 0;
    }
    return count;
}

/*
 * Add the targets that may be leaving and the zones that may be emptied, while
 * there is no contact with a leader that knows what is committed.
 */
static void
fill_leaving_targets(const struct fleet *fleet,
                     Parsleyspur__FleetHeartbeat *heartbeat)
{
    struct fleet_control *control = fleet->control;
    const GArray *leaving, *emptied;

    if (control->quorum == NULL || fleet_heartbeat_has_leader_contact(fleet)) {
        return;
    }
    leaving = fleet_pending_leaving(control->pending, control->quorum);
    heartbeat->n_leaving = leaving->len;
    heartbeat->leaving =
        g_memdup2(leaving->data, leaving->len * sizeof(uint64_t));
    emptied = fleet_pending_emptied(control->pending, control->quorum);
    heartbeat->n_emptied_zones = emptied->len;
    heartbeat->emptied_zones =
        g_memdup2(emptied->data, emptied->len * sizeof(uint32_t));
}

/*
 * Send a heartbeat to ADDRESS.  ANSWER: it answers an entry daemon's heartbeat
 * and also says how many entry daemons of its zone are reachable, and which
 * targets may be leaving or are failing.
 */
static void
send_heartbeat(struct fleet *fleet, uint32_t address, bool answer)
{
    Parsleyspur__FleetMessage *message = g_malloc0(sizeof(*message));
    uint64_t now_us = clock_boottime_us();

    parsleyspur__fleet_message__init(message);
    message->heartbeat = g_malloc0(sizeof(*message->heartbeat));
    parsleyspur__fleet_heartbeat__init(message->heartbeat);
    fill_heartbeat(fleet, message->heartbeat, now_us);
    message->heartbeat->answer = answer;
    if (answer) {
        message->heartbeat->entries = count_entry_daemons(
            fleet, fleet_peer_get_or_add(fleet, address)->zone, now_us);
        fill_leaving_targets(fleet, message->heartbeat);
        fleet_evidence_fill(fleet, address, message->heartbeat);
    }
    message->heartbeat->rank =
        address == message->heartbeat->leader ? 0 : FLEET_SOURCES_MAX;
    fleet_send(fleet, address, message);
    parsleyspur__fleet_message__free_unpacked(message, NULL);
}

/*
 * Send a heartbeat to all known control daemons, if one is due; more often
 * without contact with the leader.
 */
void
fleet_heartbeat_send_due(struct fleet *fleet, uint64_t now_us)
{
    GArray *addresses = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    GHashTableIter iter;
    gpointer key, value;

    if (now_us < fleet->next_heartbeat_us) {
        g_array_unref(addresses);
        return;
    }
    fleet->next_heartbeat_us =
        now_us + (fleet_heartbeat_has_leader_contact(fleet)
                      ? FLEET_HEARTBEAT_US
                      : FLEET_HEARTBEAT_FAST_US);
    g_hash_table_iter_init(&iter, fleet->peers);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        if (((const struct fleet_peer *)value)->control) {
            g_array_append_val(addresses,
                               ((struct fleet_peer *)value)->address);
        }
    }
    for (guint i = 0; i < addresses->len; i++) {
        send_heartbeat(fleet, g_array_index(addresses, uint32_t, i), false);
    }
    g_array_unref(addresses);
}

/*
 * Learn from the heartbeat of a daemon whose fleet has not formed yet that this
 * daemon is one of the initial voters.  It does not know that itself if it was
 * killed during the first start, before it had stored the voters.
 */
static void
learn_initial_voters(struct fleet *fleet,
                     const Parsleyspur__FleetHeartbeat *heartbeat)
{
    struct fleet_assignee initial[CATALOG_VOTERS_MAX] = {{0, 0}};
    bool included = false;

    if (fleet->control->voter_count != 0 || heartbeat->voter_count == 0 ||
        heartbeat->voter_count > CATALOG_VOTERS_MAX ||
        heartbeat->n_voters != heartbeat->voter_count) {
        return;
    }
    for (size_t i = 0; i < heartbeat->n_voters; i++) {
        if (heartbeat->voters[i]->revision != 0) {
            return;
        }
        initial[i].address = heartbeat->voters[i]->address;
        included = included || initial[i].address == fleet->options->address;
    }
    if (included) {
        fleet_voter_become_initial(fleet, initial, heartbeat->n_voters);
    }
}

/*
 * Learn the voters from another daemon's heartbeat, if its fleet has formed.
 */
static void
learn_voters(struct fleet *fleet, const Parsleyspur__FleetHeartbeat *heartbeat)
{
    struct fleet_control *control = fleet->control;

    if (!heartbeat->members_known) {
        learn_initial_voters(fleet, heartbeat);
        return;
    }
    if (heartbeat->voter_count == 0 ||
        heartbeat->voter_count > CATALOG_VOTERS_MAX) {
        return;
    }
    if (control->voter_count == 0) {
        control->voter_count = heartbeat->voter_count;
    }
    for (size_t i = 0; i < heartbeat->n_voters; i++) {
        const Parsleyspur__CatalogVoter *voter = heartbeat->voters[i];
        struct fleet_assignee assignee = {voter->address, voter->revision};

        fleet_voter_set_assigned(fleet, voter->voter, assignee);
    }
    for (size_t i = 0; i < heartbeat->n_voting; i++) {
        const Parsleyspur__CatalogVoter *voter = heartbeat->voting[i];
        struct fleet_assignee assignee = {voter->address, voter->revision};

        fleet_voter_set_voting(fleet, voter->voter, assignee);
    }
}

/* Send a heartbeat to the reachable entry daemons of this zone, since something
 * that they must know has changed. */
void
fleet_heartbeat_send_to_entries(struct fleet *fleet, uint64_t now_us)
{
    GArray *addresses = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    GHashTableIter iter;
    gpointer key, value;

    g_hash_table_iter_init(&iter, fleet->peers);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct fleet_peer *peer = value;

        if (!peer->control && peer->zone == fleet->zone &&
            fleet_peer_is_reachable(peer, now_us)) {
            g_array_append_val(addresses, peer->address);
        }
    }
    for (guint i = 0; i < addresses->len; i++) {
        send_heartbeat(fleet, g_array_index(addresses, uint32_t, i), true);
    }
    g_array_unref(addresses);
}

/*
 * Handle a heartbeat from PEER: record its state, learn the voters from a
 * control daemon, and answer an entry daemon unless it only confirms an
 * update.  An entry daemon without a catalog gets one at once, since it serves
 * no caller before.
 */
void
fleet_heartbeat_receive(struct fleet *fleet, struct fleet_peer *peer,
                        const Parsleyspur__FleetHeartbeat *heartbeat)
{
    fleet_peer_record_heartbeat(fleet, peer, heartbeat);
    if (heartbeat->control) {
        learn_voters(fleet, heartbeat);
    }
    else {
        fleet_evidence_receive(fleet, peer, heartbeat);
    }
    if (!heartbeat->control && !heartbeat->confirms) {
        send_heartbeat(fleet, peer->address, true);
    }
    if (!heartbeat->control && heartbeat->revision == 0 &&
        fleet->control->quorum != NULL) {
        fleet_push_if_due(fleet, peer, clock_boottime_us());
    }
}
