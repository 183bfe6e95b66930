/*
 * The catalog's way to entry daemons, and to control daemons that do not vote:
 * each gets the rows that are newer than what it has confirmed.  An entry
 * daemon asks several control daemons, of which the first sends at once and
 * the others only when its confirmation does not come.
 */
#include "fleet/fleet_control_private.h"

static const GByteArray *difference(struct fleet *, uint64_t from,
                                    enum catalog_scope);
static bool is_fed(const struct fleet_peer *, uint64_t now_us);
static void feed(struct fleet *, struct fleet_peer *, uint64_t now_us);

/*
 * The difference from the revision FROM on, packed once for all daemons that
 * hold the same.  Borrowed until the catalog changes.
 */
static const GByteArray *
difference(struct fleet *fleet, uint64_t from, enum catalog_scope scope)
{
    struct fleet_control *control = fleet->control;
    uint64_t revision = catalog_revision(fleet->catalog);
    uint64_t key = from << 1 | (scope == CATALOG_COMPLETE ? 1 : 0);
    GByteArray *bytes;

    if (control->packed_revision != revision) {
        g_hash_table_remove_all(control->packed);
        control->packed_revision = revision;
    }
    bytes = g_hash_table_lookup(control->packed, &key);
    if (bytes == NULL) {
        bytes = g_byte_array_new();
        catalog_pack_update(fleet->catalog, from, scope, bytes);
        g_hash_table_insert(control->packed, g_memdup2(&key, sizeof(key)),
                            bytes);
    }
    return bytes;
}

/* True if PEER wants to be fed by this daemon, now or after others. */
static bool
is_fed(const struct fleet_peer *peer, uint64_t now_us)
{
    return peer->feeding.fed.rank < FLEET_FEEDS_MAX && peer->voter == 0 &&
           fleet_peer_is_fresh(peer, now_us);
}

/* Send PEER what it lacks, if one of that size is due. */
static void
feed(struct fleet *fleet, struct fleet_peer *peer, uint64_t now_us)
{
    Parsleyspur__FleetMessage message = PARSLEYSPUR__FLEET_MESSAGE__INIT;
    const GByteArray *bytes =
        difference(fleet, peer->revision,
                   peer->control ? CATALOG_COMPLETE : CATALOG_FOR_ENTRY);

    if (!fleet_feeding_is_due(&peer->feeding, now_us, bytes->len)) {
        return;
    }
    message.update.data = bytes->data;
    message.update.len = bytes->len;
    fleet_send(fleet, peer->address, &message);
    fleet_feeding_sent(&peer->feeding, now_us, bytes->len);
}

/* Send each daemon what it lacks, if it is this one's turn. */
void
fleet_feed_all(struct fleet *fleet, uint64_t now_us)
{
    struct fleet_marks *marks = &fleet->control->marks;
    uint64_t changed = catalog_changed_revision(fleet->catalog);
    GHashTableIter iter;
    gpointer key, value;

    fleet_marks_note(marks, now_us, changed);
    g_hash_table_iter_init(&iter, fleet->peers);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        struct fleet_peer *peer = value;

        if (!is_fed(peer, now_us)) {
            peer->feeding.behind_us = 0;
            continue;
        }
        fleet_feeding_look(&peer->feeding, now_us, changed, marks);
        if (fleet_feeding_is_due(&peer->feeding, now_us, 0)) {
            feed(fleet, peer, now_us);
        }
    }
}
