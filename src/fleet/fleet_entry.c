/*
 * The entry role: a replica of the catalog, fed by control daemons, and the
 * fabric's question whether packets may come.
 */
#include <string.h>

#include "base/hash.h"
#include "fleet/fleet_entry_private.h"

#define STALE_WAIT_US 50000U   /* for a current control daemon, at the start */
#define STOP_MIN_US   1200000U /* the fabric asks twice before it moves flows */
#define STOP_QUIET_US 700000U /* without a packet: the fabric has moved them */
#define STOP_SPARE_MS 1500U   /* kept of the time before a stop is enforced */

static void on_call(void *, const struct http_request *);
static void consider_ready(struct fleet *, uint64_t now_us);
static void take_update(struct fleet *, const struct fleet_peer *,
                        const ProtobufCBinaryData *);
static void log_connection(struct fleet *, uint64_t now_us);
static void avoid_leaving(struct fleet *, const Parsleyspur__FleetHeartbeat *);
static void settle_leaving(struct fleet *, uint64_t now_us);
static void advance_stop(struct fleet *, uint64_t now_us);

/* Start the role: packets, readiness, and the search for control daemons. */
bool
fleet_entry_start(struct fleet *fleet, GError **error)
{
    struct affinity_options affinity = {
        .zone = fleet->zone,
        .seed = hash_pair(fleet->options->address, clock_boottime_us()),
        .link_bytes_per_s = fleet->options->link_bytes_per_s,
    };
    struct http_options http = {
        .loop = &fleet->loop,
        .listen = fleet->options->readiness,
        .connections_max = 32,
        .address_max = 32, /* the fabric asks from one */
        .handler = on_call,
        .user = fleet,
    };

    fleet->entry = g_new0(struct fleet_entry, 1);
    fleet->entry->life = affinity.seed | 1;
    fleet->entry->affinity = affinity_core_new(&affinity);
    if (!fleet_packet_start(fleet, error)) {
        return false;
    }
    fleet->http = http_server_new(&http, error);
    return fleet->http != NULL;
}

void
fleet_entry_close(struct fleet *fleet)
{
    fleet_packet_close(fleet);
}

void
fleet_entry_free(struct fleet *fleet)
{
    if (fleet->entry == NULL) {
        return;
    }
    affinity_core_free(fleet->entry->affinity);
    fleet_packet_free(fleet);
    g_free(fleet->entry);
    fleet->entry = NULL;
}

/*
 * Whether new flows may come.  A daemon that has once held a current catalog
 * goes on when it is cut off from every control daemon: its callers have no
 * better one.
 */
bool
fleet_entry_is_ready(const struct fleet *fleet)
{
    return fleet->entry->synced && !fleet->stopping;
}

static void
on_call(void *user, const struct http_request *request)
{
    struct fleet *fleet = user;
    struct fleet_call call;

    fleet->options->decode_call(request, &call);
    if (call.kind == FLEET_CALL_READY) {
        fleet_answer(fleet, request->handle,
                     fleet_entry_is_ready(fleet) ? 200 : 503,
                     fleet_entry_is_ready(fleet) ? NULL : "not ready");
    }
    else {
        fleet_answer(fleet, request->handle, 404,
                     "an entry daemon answers readiness only");
    }
    fleet_call_clear(&call);
}

static void
log_connection(struct fleet *fleet, uint64_t now_us)
{
    struct fleet_entry *entry = fleet->entry;
    bool connected =
        fleet_elapsed_us(now_us, entry->current_us) < FLEET_FRESH_US &&
        entry->current_us != 0;

    if (connected != entry->connected) {
        entry->connected = connected;
        fleet_log_line(fleet->log, FLEET_LOG_STATE, now_us,
                       connected ? "control-regained" : "control-lost",
                       "\"revision\":%" G_GUINT64_FORMAT
                       ",\"version\":%" G_GUINT64_FORMAT,
                       catalog_revision(fleet->catalog),
                       catalog_version(fleet->catalog));
    }
}

/*
 * Take flows once there is a catalog, and as soon as it is that of a current
 * control daemon.  Where none is current, as when the whole fleet has been
 * restarted, what the furthest one knows as committed is better for callers
 * than no answer.
 */
static void
consider_ready(struct fleet *fleet, uint64_t now_us)
{
    struct fleet_entry *entry = fleet->entry;
    bool current = false, behind = false;
    GHashTableIter iter;
    gpointer key, value;

    if (entry->synced || catalog_version(fleet->catalog) == 0) {
        return;
    }
    g_hash_table_iter_init(&iter, fleet->peers);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct fleet_peer *peer = value;

        if (fleet_search_is_current(peer, now_us)) {
            current = true;
            behind =
                behind || peer->revision > catalog_revision(fleet->catalog);
        }
    }
    if (behind || (!current && fleet_elapsed_us(now_us, entry->found_us) <
                                   STALE_WAIT_US)) {
        return;
    }
    entry->synced = true;
    fleet_log_line(fleet->log, FLEET_LOG_STATE, now_us, "ready",
                   "\"revision\":%" G_GUINT64_FORMAT
                   ",\"version\":%" G_GUINT64_FORMAT ",\"current\":%s",
                   catalog_revision(fleet->catalog),
                   catalog_version(fleet->catalog),
                   current ? "true" : "false");
}

void
fleet_entry_tick(struct fleet *fleet, uint64_t now_us)
{
    struct fleet_entry *entry = fleet->entry;

    if (now_us >= entry->heartbeat_us) {
        fleet_search_feeds(fleet, now_us);
        entry->heartbeat_us = now_us + fleet_search_interval_us(entry);
        affinity_core_set_zone_daemons(entry->affinity,
                                       fleet_search_entries(fleet, now_us));
    }
    consider_ready(fleet, now_us);
    log_connection(fleet, now_us);
    advance_stop(fleet, now_us);
    affinity_core_tick(entry->affinity, now_us, fleet->catalog);
}

/* Take in a difference; one that begins too late is asked for again. */
static void
take_update(struct fleet *fleet, const struct fleet_peer *peer,
            const ProtobufCBinaryData *update)
{
    struct catalog_change change;
    uint64_t now_us = clock_boottime_us();
    uint64_t before = catalog_revision(fleet->catalog);

    if (!catalog_merge(fleet->catalog, update->data, update->len, &change)) {
        counter_add(&fleet->counters, COUNTER_PEER_BAD_FRAMES, 1);
    }
    if (change.tables || change.targets) {
        char *from = view_address_text(peer->address);

        affinity_core_catalog_changed(fleet->entry->affinity, now_us,
                                      fleet->catalog);
        fleet_log_line(fleet->log, FLEET_LOG_STATE, now_us, "catalog",
                       "\"from\":\"%s\",\"before\":%" G_GUINT64_FORMAT
                       ",\"revision\":%" G_GUINT64_FORMAT
                       ",\"version\":%" G_GUINT64_FORMAT ",\"bytes\":%zu",
                       from, before, catalog_revision(fleet->catalog),
                       catalog_version(fleet->catalog), update->len);
        g_free(from);
    }
    fleet_search_confirm(fleet);
}

/* A control daemon without a leader tells who may be leaving. */
static void
avoid_leaving(struct fleet *fleet,
              const Parsleyspur__FleetHeartbeat *heartbeat)
{
    struct affinity_core *affinity = fleet->entry->affinity;
    size_t before = affinity_core_avoided_count(affinity);

    for (size_t i = 0; i < heartbeat->n_leaving; i++) {
        affinity_core_avoid(affinity, heartbeat->leaving[i]);
    }
    if (affinity_core_avoided_count(affinity) != before) {
        fleet_log_line(
            fleet->log, FLEET_LOG_STATE, clock_boottime_us(),
            "targets-avoided", "\"count\":%zu,\"revision\":%" G_GUINT64_FORMAT,
            affinity_core_avoided_count(affinity), heartbeat->revision);
    }
}

/* Once this daemon has what a current control daemon has, that counts. */
static void
settle_leaving(struct fleet *fleet, uint64_t now_us)
{
    GHashTableIter iter;
    gpointer key, value;

    if (affinity_core_avoided_count(fleet->entry->affinity) == 0) {
        return;
    }
    g_hash_table_iter_init(&iter, fleet->peers);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct fleet_peer *peer = value;

        if (fleet_search_is_current(peer, now_us) &&
            peer->revision <= catalog_revision(fleet->catalog)) {
            affinity_core_clear_avoided(fleet->entry->affinity);
            fleet_log_line(fleet->log, FLEET_LOG_STATE, now_us,
                           "targets-known", "\"revision\":%" G_GUINT64_FORMAT,
                           catalog_revision(fleet->catalog));
            return;
        }
    }
}

/* A message of a control daemon. */
void
fleet_entry_message(struct fleet *fleet, struct fleet_peer *peer,
                    const Parsleyspur__FleetMessage *message)
{
    struct fleet_entry *entry = fleet->entry;
    uint64_t now_us = clock_boottime_us();

    if (message->heartbeat != NULL) {
        fleet_peer_heard(fleet, peer, message->heartbeat);
        if (entry->found_us == 0) {
            entry->found_us = now_us;
            fleet_search_feeds(fleet, now_us);
        }
        if (fleet_search_is_current(peer, now_us)) {
            entry->current_us = now_us;
        }
        else {
            avoid_leaving(fleet, message->heartbeat);
        }
    }
    if (message->update.len > 0) {
        take_update(fleet, peer, &message->update);
    }
    settle_leaving(fleet, now_us);
    consider_ready(fleet, now_us);
}

/*
 * Packets go on for as long as the fabric sends some: where most of a zone's
 * daemons stop at once, it goes on sending to all of them.
 */
void
fleet_entry_begin_stop(struct fleet *fleet)
{
    uint32_t grace_ms = fleet->options->grace_ms;
    uint32_t limit_ms =
        grace_ms > STOP_SPARE_MS ? grace_ms - STOP_SPARE_MS : grace_ms / 2;

    fleet->entry->stop_begun_us = clock_boottime_us();
    fleet->stop_us = fleet->entry->stop_begun_us + (uint64_t)limit_ms * 1000;
}

/* End a planned stop early, once no packets come any more. */
static void
advance_stop(struct fleet *fleet, uint64_t now_us)
{
    const struct fleet_entry *entry = fleet->entry;

    if (fleet->stopping &&
        fleet_elapsed_us(now_us, entry->stop_begun_us) >= STOP_MIN_US &&
        fleet_elapsed_us(now_us, entry->packet_us) >= STOP_QUIET_US) {
        fleet->stop_us = MIN(fleet->stop_us, now_us);
    }
}
