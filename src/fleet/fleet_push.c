/*
 * Pushes the catalog to entry daemons and to control daemons that do not vote:
 * each gets the rows that are newer than the revision it has confirmed.  An
 * entry daemon requests updates from several control daemons; the first sends
 * without delay, the others only if its confirmation does not come.
 */
#include "fleet/fleet_control_private.h"

static const GByteArray *packed_update(struct fleet *, uint64_t from,
                                       enum catalog_scope);
static bool is_receiver(const struct fleet_peer *, uint64_t now_us);
static void push_to_peer(struct fleet *, struct fleet_peer *, uint64_t now_us);

/*
 * Return the packed update from revision FROM to the present one.  It is
 * packed once for all daemons that hold the same revision, and belongs to
 * FLEET until the catalog changes.
 */
static const GByteArray *
packed_update(struct fleet *fleet, uint64_t from, enum catalog_scope scope)
{
    struct fleet_control *control = fleet->control;
    uint64_t revision = catalog_revision(fleet->catalog);
    uint64_t key = from << 1 | (scope == CATALOG_COMPLETE ? 1 : 0);
    GByteArray *bytes;

    if (control->packed_revision != revision) {
        g_hash_table_remove_all(control->packed_updates);
        control->packed_revision = revision;
    }
    bytes = g_hash_table_lookup(control->packed_updates, &key);
    if (bytes == NULL) {
        bytes = g_byte_array_new();
        catalog_pack_update(fleet->catalog, from, scope, bytes);
        g_hash_table_insert(control->packed_updates,
                            g_memdup2(&key, sizeof(key)), bytes);
    }
    return bytes;
}

/*
 * Return true if PEER requests updates from this daemon, without delay or
 * after others.
 */
static bool
is_receiver(const struct fleet_peer *peer, uint64_t now_us)
{
    return peer->push.receiver.rank < FLEET_SOURCES_MAX && peer->voter == 0 &&
           fleet_peer_is_reachable(peer, now_us);
}

/* Send PEER an update with what it lacks, if one of that size is due. */
static void
push_to_peer(struct fleet *fleet, struct fleet_peer *peer, uint64_t now_us)
{
    Parsleyspur__FleetMessage message = PARSLEYSPUR__FLEET_MESSAGE__INIT;
    const GByteArray *bytes =
        packed_update(fleet, peer->revision,
                      peer->control ? CATALOG_COMPLETE : CATALOG_FOR_ENTRY);

    if (!fleet_push_progress_is_due(&peer->push, now_us, bytes->len)) {
        return;
    }
    message.update.data = bytes->data;
    message.update.len = bytes->len;
    fleet_send(fleet, peer->address, &message);
    fleet_push_progress_record_sent(&peer->push, now_us, bytes->len);
}

/* Send PEER an update if it lacks something and one is due from this daemon. */
void
fleet_push_if_due(struct fleet *fleet, struct fleet_peer *peer,
                  uint64_t now_us)
{
    if (!is_receiver(peer, now_us)) {
        peer->push.behind_since_us = 0;
        return;
    }
    fleet_push_progress_update_behind_since(
        &peer->push, now_us, catalog_changed_revision(fleet->catalog),
        &fleet->control->revision_times);
    if (fleet_push_progress_is_due(&peer->push, now_us, 0)) {
        push_to_peer(fleet, peer, now_us);
    }
}

/* Send an update to each daemon that lacks something, if it is due from this
 * one. */
void
fleet_push_all(struct fleet *fleet, uint64_t now_us)
{
    GHashTableIter iter;
    gpointer key, value;

    fleet_revision_times_add(&fleet->control->revision_times, now_us,
                             catalog_changed_revision(fleet->catalog));
    g_hash_table_iter_init(&iter, fleet->peers);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        fleet_push_if_due(fleet, value, now_us);
    }
}
