/*
 * Runs the entry role: keeps a replica of the catalog that control daemons
 * push, and reports to the fabric whether it may send packets.
 */
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "base/hash.h"
#include "fleet/fleet_entry_private.h"

/*
 * Time from the first contact with a control daemon until a catalog that is
 * not current is accepted.
 */
#define STALE_CATALOG_WAIT_US 50000U
/* The fabric checks readiness twice before it moves flows. */
#define STOP_MIN_US 1200000U
/* After this time without a packet the fabric has moved the flows. */
#define STOP_IDLE_US 700000U
/*
 * Reserved at the end of the grace period, after which the stop is enforced.
 */
#define STOP_RESERVE_MS 1500U

/* Second openings for each flow of routes whose requests may be repeated. */
#define HEDGE_VARIABLE "PARSLEYSPUR_HEDGE_SHARE"

static void on_call(void *, const struct http_request *);
static void update_ready(struct fleet *, uint64_t now_us);
static void apply_update(struct fleet *, const struct fleet_peer *,
                         const ProtobufCBinaryData *);
static void log_connection(struct fleet *, uint64_t now_us);
static void avoid_leaving_targets(struct fleet *,
                                  const Parsleyspur__FleetHeartbeat *);
static void clear_avoided_targets(struct fleet *, uint64_t now_us);
static void check_stop(struct fleet *, uint64_t now_us);
static bool read_hedge_share(double *, GError **);

/*
 * Set SHARE to the second openings for each flow that operators allow; 0 if they
 * allow none.  Return false and set ERROR if the setting is not valid.
 */
static bool
read_hedge_share(double *share, GError **error)
{
    const char *text = getenv(HEDGE_VARIABLE);
    char *end;

    *share = 0;
    if (text == NULL) {
        return true;
    }
    *share = g_ascii_strtod(text, &end);
    if (end == text || *end != '\0' || !(*share >= 0 && *share <= 1)) {
        g_set_error(error, ERR_DOMAIN, ERR_SETTING,
                    HEDGE_VARIABLE " is \"%s\"; give a share from 0 to 1, "
                                   "such as 0.02",
                    text);
        return false;
    }
    return true;
}

/*
 * Start the role: the packet socket and the readiness address.  Return false
 * and set ERROR on failure.
 */
bool
fleet_entry_start(struct fleet *fleet, GError **error)
{
    struct affinity_options affinity = {
        .zone = fleet->zone,
        .address = fleet->options->address,
        .seed = hash_pair(fleet->options->address, clock_boottime_us()),
        .link_bytes_per_s = fleet->options->link_bytes_per_s,
        .cold_limit = fleet->options->cold_limit,
        .share_evidence = fleet->options->share_evidence,
    };
    struct http_options http = {
        .loop = &fleet->loop,
        .listen = fleet->options->readiness,
        .connections_max = 32,
        .address_max = 32, /* the fabric uses a single address */
        .handler = on_call,
        .user = fleet,
    };

    if (!read_hedge_share(&affinity.hedge_share, error)) {
        return false;
    }
    fleet->entry = g_new0(struct fleet_entry, 1);
    fleet->entry->start_id = affinity.seed | 1;
    fleet->entry->affinity = affinity_core_new(&affinity);
    if (!fleet_packet_start(fleet, error)) {
        return false;
    }
    fleet_probe_start(fleet);
    fleet->http = http_server_new(&http, error);
    return fleet->http != NULL;
}

/* Begin to close the packet socket and the probes. */
void
fleet_entry_close(struct fleet *fleet)
{
    fleet_packet_close(fleet);
    fleet_probe_close(fleet);
}

/* Free the entry role's state, if there is any. */
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
 * Return true if new flows may come.  A daemon that has once held a current
 * catalog stays ready when it loses contact with all control daemons, since
 * its callers have no better entry daemon to use.
 */
bool
fleet_entry_is_ready(const struct fleet *fleet)
{
    return fleet->entry->synced && !fleet->stopping;
}

/* Answer a readiness check; any other call gets status 404. */
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

/* Log when contact with current control daemons is lost or regained. */
static void
log_connection(struct fleet *fleet, uint64_t now_us)
{
    struct fleet_entry *entry = fleet->entry;
    bool connected = fleet_elapsed_us(now_us, entry->current_contact_us) <
                         FLEET_CONTACT_TIMEOUT_US &&
                     entry->current_contact_us != 0;

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
 * Become ready once there is a catalog (its version is not 0) and no current
 * control daemon reports a newer revision.  If none is current, as after a
 * restart of the whole fleet, become ready with any catalog held
 * STALE_CATALOG_WAIT_US after the first contact: for callers that is better
 * than no answer.
 */
static void
update_ready(struct fleet *fleet, uint64_t now_us)
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

        if (fleet_source_is_current(peer, now_us)) {
            current = true;
            behind =
                behind || peer->revision > catalog_revision(fleet->catalog);
        }
    }
    if (behind ||
        (!current && fleet_elapsed_us(now_us, entry->first_contact_us) <
                         STALE_CATALOG_WAIT_US)) {
        return;
    }
    entry->synced = true;
    fleet_packet_resume_held(fleet);
    fleet_log_line(fleet->log, FLEET_LOG_STATE, now_us, "ready",
                   "\"revision\":%" G_GUINT64_FORMAT
                   ",\"version\":%" G_GUINT64_FORMAT ",\"current\":%s",
                   catalog_revision(fleet->catalog),
                   catalog_version(fleet->catalog),
                   current ? "true" : "false");
}

/* Do the periodic work of the entry role. */
void
fleet_entry_tick(struct fleet *fleet, uint64_t now_us)
{
    struct fleet_entry *entry = fleet->entry;

    if (now_us >= entry->next_heartbeat_us) {
        fleet_source_select(fleet, now_us);
        entry->next_heartbeat_us =
            now_us + fleet_source_heartbeat_interval_us(entry);
        affinity_core_set_zone_daemons(
            entry->affinity, fleet_source_entry_count(fleet, now_us));
    }
    fleet_source_report_failures(fleet, now_us);
    update_ready(fleet, now_us);
    log_connection(fleet, now_us);
    check_stop(fleet, now_us);
    affinity_core_tick(entry->affinity, now_us, fleet->catalog);
    fleet_probe_run(fleet, now_us);
}

/*
 * Merge an update into the catalog and confirm the revision held now.  An
 * update that begins at too late a revision is not merged; the confirmation
 * then requests it again.
 */
static void
apply_update(struct fleet *fleet, const struct fleet_peer *peer,
             const ProtobufCBinaryData *update)
{
    struct catalog_change change;
    uint64_t now_us = clock_boottime_us();
    uint64_t before = catalog_revision(fleet->catalog);

    if (!catalog_merge(fleet->catalog, update->data, update->len, &change)) {
        counter_add(&fleet->counters, COUNTER_PEER_BAD_FRAMES, 1);
    }
    if (change.tables || change.targets || change.zones) {
        char *from = view_address_text(peer->address);

        affinity_core_catalog_changed(fleet->entry->affinity, now_us,
                                      fleet->catalog);
        fleet_log_line(fleet->log, FLEET_LOG_STATE, now_us, "catalog",
                       "\"from\":\"%s\",\"before\":%" G_GUINT64_FORMAT
                       ",\"revision\":%" G_GUINT64_FORMAT
                       ",\"version\":%" G_GUINT64_FORMAT
                       ",\"bytes\":%zu,\"zones_emptied\":%zu",
                       from, before, catalog_revision(fleet->catalog),
                       catalog_version(fleet->catalog), update->len,
                       catalog_emptied_count(fleet->catalog));
        g_free(from);
        fleet_packet_resume_held(fleet);
    }
    fleet_source_confirm(fleet);
}

/*
 * Keep new flows off the targets that may be leaving and the zones that may be
 * emptied, as listed by a control daemon without contact with the leader.
 */
static void
avoid_leaving_targets(struct fleet *fleet,
                      const Parsleyspur__FleetHeartbeat *heartbeat)
{
    struct affinity_core *affinity = fleet->entry->affinity;
    size_t before = affinity_core_avoided_count(affinity);

    for (size_t i = 0; i < heartbeat->n_leaving; i++) {
        affinity_core_avoid(affinity, heartbeat->leaving[i]);
    }
    for (size_t i = 0; i < heartbeat->n_emptied_zones; i++) {
        affinity_core_avoid_zone(affinity, heartbeat->emptied_zones[i]);
    }
    if (affinity_core_avoided_count(affinity) != before) {
        fleet_log_line(
            fleet->log, FLEET_LOG_STATE, clock_boottime_us(),
            "targets-avoided", "\"count\":%zu,\"revision\":%" G_GUINT64_FORMAT,
            affinity_core_avoided_count(affinity), heartbeat->revision);
    }
}

/*
 * Stop avoiding targets that may be leaving once the catalog is as new as that
 * of a current control daemon, since it then says which targets have left.
 */
static void
clear_avoided_targets(struct fleet *fleet, uint64_t now_us)
{
    GHashTableIter iter;
    gpointer key, value;

    if (affinity_core_avoided_count(fleet->entry->affinity) == 0) {
        return;
    }
    g_hash_table_iter_init(&iter, fleet->peers);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct fleet_peer *peer = value;

        if (fleet_source_is_current(peer, now_us) &&
            peer->revision <= catalog_revision(fleet->catalog)) {
            affinity_core_clear_avoided(fleet->entry->affinity);
            fleet_log_line(fleet->log, FLEET_LOG_STATE, now_us,
                           "targets-known", "\"revision\":%" G_GUINT64_FORMAT,
                           catalog_revision(fleet->catalog));
            return;
        }
    }
}

/* Handle a message from a control daemon. */
void
fleet_entry_message(struct fleet *fleet, struct fleet_peer *peer,
                    const Parsleyspur__FleetMessage *message)
{
    struct fleet_entry *entry = fleet->entry;
    uint64_t now_us = clock_boottime_us();

    if (message->heartbeat != NULL) {
        fleet_peer_record_heartbeat(fleet, peer, message->heartbeat);
        for (size_t i = 0; i < message->heartbeat->n_failing; i++) {
            affinity_core_set_failing(entry->affinity, now_us,
                                      message->heartbeat->failing[i]);
        }
        if (entry->first_contact_us == 0) {
            entry->first_contact_us = now_us;
            fleet_source_select(fleet, now_us);
        }
        if (fleet_source_is_current(peer, now_us)) {
            entry->current_contact_us = now_us;
        }
        else {
            avoid_leaving_targets(fleet, message->heartbeat);
        }
    }
    if (message->update.len > 0) {
        apply_update(fleet, peer, &message->update);
    }
    clear_avoided_targets(fleet, now_us);
    update_ready(fleet, now_us);
}

/*
 * Begin a planned stop.  Packets are forwarded for as long as the fabric sends
 * some: if most daemons of a zone stop at once, it goes on sending to all of
 * them.
 */
void
fleet_entry_begin_stop(struct fleet *fleet)
{
    uint32_t grace_ms = fleet->options->grace_ms;
    uint32_t limit_ms =
        grace_ms > STOP_RESERVE_MS ? grace_ms - STOP_RESERVE_MS : grace_ms / 2;

    fleet->entry->stop_started_us = clock_boottime_us();
    fleet->stop_us = fleet->entry->stop_started_us + (uint64_t)limit_ms * 1000;
}

/* End a planned stop early once no packets come any more. */
static void
check_stop(struct fleet *fleet, uint64_t now_us)
{
    const struct fleet_entry *entry = fleet->entry;

    if (fleet->stopping &&
        fleet_elapsed_us(now_us, entry->stop_started_us) >= STOP_MIN_US &&
        fleet_elapsed_us(now_us, entry->last_packet_us) >= STOP_IDLE_US) {
        fleet->stop_us = MIN(fleet->stop_us, now_us);
    }
}
