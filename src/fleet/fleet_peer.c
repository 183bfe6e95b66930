/* Keeps the known daemons by address, and sends messages to them. */
#include "base/hash.h"
#include "fleet/fleet_private.h"

/* A peer without contact for longer is removed. */
#define PEER_EXPIRY_US 600000000U

/*
 * Return the record of the daemon at ADDRESS, adding it if it is new; NULL for
 * this daemon itself or address 0.  The record belongs to FLEET.  In a fleet,
 * a daemon's name within the mesh is its address.
 */
struct fleet_peer *
fleet_peer_get_or_add(struct fleet *fleet, uint32_t address)
{
    struct fleet_peer *peer;
    char *name;

    if (address == 0 || address == fleet->options->address) {
        return NULL;
    }
    peer = g_hash_table_lookup(fleet->peers, GUINT_TO_POINTER(address));
    if (peer == NULL) {
        name = view_address_text(address);
        peer = g_new0(struct fleet_peer, 1);
        peer->address = address;
        peer->id = view_daemon_id(name);
        g_free(name);
        g_hash_table_insert(fleet->peers, GUINT_TO_POINTER(address), peer);
        mesh_set_peer(fleet->mesh, peer->id, address);
    }
    return peer;
}

/* Record that ADDRESS is that of a control daemon. */
void
fleet_peer_add_control(struct fleet *fleet, uint32_t address)
{
    struct fleet_peer *peer = fleet_peer_get_or_add(fleet, address);

    if (peer != NULL) {
        peer->control = true;
    }
}

/* Return true if the last contact with PEER is recent enough. */
bool
fleet_peer_is_reachable(const struct fleet_peer *peer, uint64_t now_us)
{
    return peer->last_contact_us != 0 &&
           fleet_elapsed_us(now_us, peer->last_contact_us) <
               FLEET_CONTACT_TIMEOUT_US;
}

/*
 * Record what PEER's heartbeat says of itself, and the control daemons that it
 * lists.
 */
void
fleet_peer_record_heartbeat(struct fleet *fleet, struct fleet_peer *peer,
                            const Parsleyspur__FleetHeartbeat *heartbeat)
{
    uint64_t now_us = clock_boottime_us();
    struct fleet_push_receiver receiver = {
        .start_id = heartbeat->life,
        .revision = heartbeat->revision,
        .link_bytes_per_s = heartbeat->link_bytes_per_s,
        .rank = heartbeat->rank,
    };

    if (heartbeat->control && !fleet_peer_is_reachable(peer, now_us)) {
        char *text = view_address_text(peer->address);

        fleet_log_line(
            fleet->log, FLEET_LOG_STATE, now_us, "control-daemon-heard",
            "\"peer\":\"%s\",\"voter\":%u,\"revision\":%" G_GUINT64_FORMAT
            ",\"lag_ms\":%u",
            text, heartbeat->voter, heartbeat->revision, heartbeat->lag_ms);
        g_free(text);
    }
    peer->last_contact_us = now_us;
    peer->control = heartbeat->control;
    peer->zone = heartbeat->zone;
    peer->voter = heartbeat->voter;
    peer->can_become_voter = heartbeat->empty;
    peer->leader = heartbeat->leader;
    peer->lag_us = (uint64_t)heartbeat->lag_ms * 1000;
    peer->revision = heartbeat->revision;
    fleet_push_progress_set_receiver(&peer->push, &receiver);
    peer->entry_count = heartbeat->entries;
    for (size_t i = 0; i < heartbeat->n_controls; i++) {
        fleet_peer_add_control(fleet, heartbeat->controls[i]);
    }
    for (size_t i = 0; i < heartbeat->n_voters; i++) {
        fleet_peer_add_control(fleet, heartbeat->voters[i]->address);
    }
}

/* Remove peers without contact for PEER_EXPIRY_US. */
void
fleet_peer_expire(struct fleet *fleet, uint64_t now_us)
{
    GHashTableIter iter;
    gpointer key, value;

    g_hash_table_iter_init(&iter, fleet->peers);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct fleet_peer *peer = value;

        if (peer->last_contact_us != 0 &&
            fleet_elapsed_us(now_us, peer->last_contact_us) > PEER_EXPIRY_US) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

/*
 * Send MESSAGE to the daemon at ADDRESS.  It may be lost if the mesh does not
 * accept it; its sender then repeats it.
 */
void
fleet_send(struct fleet *fleet, uint32_t address,
           const Parsleyspur__FleetMessage *message)
{
    struct fleet_peer *peer = fleet_peer_get_or_add(fleet, address);
    GByteArray *bytes;

    if (peer == NULL) {
        return;
    }
    bytes = g_byte_array_new();
    catalog_wire_append(&message->base, bytes);
    fleet_traffic_count_sent(&fleet->traffic, message,
                             peer->zone == fleet->zone ? FLEET_TRAFFIC_OWN
                                                       : FLEET_TRAFFIC_OTHER,
                             bytes->len);
    mesh_send(fleet->mesh, peer->id, PEER_FLEET, bytes->data, bytes->len);
    g_byte_array_unref(bytes);
}

/*
 * Read the seeds from the settings and add them to the known control daemons.
 * If the settings cannot be read, the seeds read before stay in use.
 */
void
fleet_read_seeds(struct fleet *fleet)
{
    struct fleet_seeds seeds = {0};

    if (!fleet->options->read_seeds(fleet->options->user, &seeds)) {
        fleet_log_line(fleet->log, FLEET_LOG_STATE, clock_boottime_us(),
                       "settings-unreadable",
                       "\"remedy\":\"fix the settings; the seeds read "
                       "before stay in use\"");
        return;
    }
    fleet->seeds = seeds;
    for (size_t i = 0; i < seeds.count; i++) {
        fleet_peer_add_control(fleet, seeds.addresses[i]);
    }
}
