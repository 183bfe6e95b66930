/*
 * Handles orders to empty availability zones and to restore them, and chooses
 * the entry daemons that own cold targets (docs/design/zones.md).
 */
#include <string.h>

#include "base/hash.h"
#include "base/log.h"
#include "fleet/fleet_control_private.h"

/*
 * A daemon that stood still for longer may hold calls that their sender has
 * since given up and sent elsewhere.  Two ticks of the control role are 0.1 s.
 */
#define STALL_US 400000U
/* Time to read what had come while the daemon stood still. */
#define STALE_CALLS_US 1000000U
/* Announcements sent before a zone was restored come within this time, the
 * timeout of a target's call included. */
#define RESTORE_HOLD_US 1500000U
/* Announcements that a target of a restored zone may miss while it counts as
 * cold. */
#define RESTORE_ANNOUNCEMENTS 2

static bool zone_is_known(const struct fleet *, const char *name);
static void reject_unknown_zone(struct fleet *, const struct http_request *);
static bool calls_may_be_stale(const struct fleet *, uint64_t now_us);
static void add_owners(const struct fleet *, uint32_t zone, uint64_t now_us,
                       struct catalog_zone_order *);

/* Return true if NAME is a zone of the settings or of a target. */
static bool
zone_is_known(const struct fleet *fleet, const char *name)
{
    const GPtrArray *targets = catalog_targets(fleet->catalog);
    uint32_t zone = view_zone_id(name);

    if (fleet->options->zones != NULL &&
        g_strv_contains(fleet->options->zones, name)) {
        return true;
    }
    for (guint i = 0; i < targets->len; i++) {
        if (((const struct catalog_target *)targets->pdata[i])->zone == zone) {
            return true;
        }
    }
    return false;
}

/* Note a tick of the control role, and whether the daemon stood still since
 * the last one. */
void
fleet_zone_tick(struct fleet *fleet, uint64_t now_us)
{
    struct fleet_control *control = fleet->control;

    if (control->last_tick_us != 0 &&
        fleet_elapsed_us(now_us, control->last_tick_us) > STALL_US) {
        control->stale_calls_until_us = now_us + STALE_CALLS_US;
    }
    control->last_tick_us = now_us;
}

/* Return true if a call read now may have been sent long ago. */
static bool
calls_may_be_stale(const struct fleet *fleet, uint64_t now_us)
{
    const struct fleet_control *control = fleet->control;

    return now_us < control->stale_calls_until_us ||
           (control->last_tick_us != 0 &&
            fleet_elapsed_us(now_us, control->last_tick_us) > STALL_US);
}

/* Add the reachable entry daemons of ZONE to ORDER as owners of its targets. */
static void
add_owners(const struct fleet *fleet, uint32_t zone, uint64_t now_us,
           struct catalog_zone_order *order)
{
    GHashTableIter iter;
    gpointer key, value;

    g_hash_table_iter_init(&iter, fleet->peers);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct fleet_peer *peer = value;

        if (!peer->control && peer->zone == zone &&
            order->owner_count < CATALOG_OWNERS_MAX &&
            fleet_peer_is_reachable(peer, now_us)) {
            order->owners[order->owner_count++] = peer->address;
        }
    }
}

/*
 * Return the entry daemon that owns TARGET while it is cold: one of its zone
 * that is reachable, by rendezvous hashing; 0 if there is none, or no limit.
 */
uint32_t
fleet_zone_choose_owner(const struct fleet *fleet,
                        const struct catalog_target *target)
{
    uint64_t now_us = clock_boottime_us();
    uint64_t best_hash = 0;
    uint32_t best = 0;
    GHashTableIter iter;
    gpointer key, value;

    if (!fleet->options->cold_limit.set || target->cold_ms == 0) {
        return 0;
    }
    g_hash_table_iter_init(&iter, fleet->peers);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct fleet_peer *peer = value;
        uint64_t hash = hash_pair(target->host, peer->address);

        if (!peer->control && peer->zone == target->zone &&
            fleet_peer_is_reachable(peer, now_us) &&
            (best == 0 || hash > best_hash)) {
            best = peer->address;
            best_hash = hash;
        }
    }
    return best;
}

/*
 * Return true if TARGET, an announcement that a target is warm, may have been
 * sent before its zone was restored.
 */
bool
fleet_zone_announcement_is_early(const struct fleet *fleet,
                                 const struct catalog_target *target)
{
    const struct catalog_target *held =
        catalog_find_target(fleet->catalog, target->host);
    const struct catalog_zone *zone =
        catalog_find_zone(fleet->catalog, target->zone);

    return clock_boottime_us() < fleet->control->restore_hold_until_us &&
           zone != NULL && !zone->emptied && held != NULL &&
           held->incarnation == target->incarnation &&
           held->state == target->state && held->cold_ms > 0 &&
           target->cold_ms == 0;
}

/* Log that ORDER has been applied, and hold back announcements that were sent
 * before its zone was restored. */
void
fleet_zone_applied(struct fleet *fleet, const struct catalog_zone_order *order)
{
    uint64_t now_us = clock_boottime_us();
    char *name = log_json_name(order->zone.name);

    if (!order->zone.emptied) {
        fleet->control->restore_hold_until_us = now_us + RESTORE_HOLD_US;
    }
    fleet_log_line(fleet->log, FLEET_LOG_STATE, now_us, "zone-order",
                   "\"zone\":%s,\"emptied\":%s,\"base\":%" G_GUINT64_FORMAT
                   ",\"revision\":%" G_GUINT64_FORMAT ",\"owners\":%zu",
                   name, order->zone.emptied ? "true" : "false", order->base,
                   catalog_revision(fleet->catalog), order->owner_count);
    g_free(name);
}

/* Answer an order for a zone that is not known here: it may be that of targets
 * of which this daemon, just started, has not learned yet. */
static void
reject_unknown_zone(struct fleet *fleet, const struct http_request *http)
{
    if (catalog_version(fleet->catalog) == 0) {
        fleet_answer(fleet, http->handle, 503,
                     "this daemon has no tables yet; try another");
    }
    else {
        fleet_answer(fleet, http->handle, 404,
                     "no such zone; name one of the settings");
    }
}

/*
 * Handle an operator's order to empty the zone NAME, or to restore it.  The
 * order names the revision of the zone's row that this daemon holds, so that
 * it has no effect if a newer order is committed before it.  An order that is
 * in force already is committed all the same: only the log knows that no newer
 * one is.
 */
void
fleet_zone_handle_order(struct fleet *fleet, const struct http_request *http,
                        const char *name, bool empty)
{
    struct catalog_command command = {.kind = CATALOG_ZONE};
    struct fleet_requester requester = {.kind = FLEET_REQUESTER_CALL,
                                        .what = "zone"};
    struct catalog_zone_order *order = &command.u.zone;
    uint64_t now_us = clock_boottime_us();
    const struct catalog_zone *row;

    if (!zone_is_known(fleet, name)) {
        reject_unknown_zone(fleet, http);
        return;
    }
    if (calls_may_be_stale(fleet, now_us)) {
        fleet_answer(fleet, http->handle, 503,
                     "this daemon stood still and cannot tell whether a newer "
                     "order was given; send the order again");
        return;
    }
    order->zone.zone = view_zone_id(name);
    order->zone.name = g_strdup(name);
    order->zone.emptied = empty;
    order->zone.ordered_ms = g_get_real_time() / 1000;
    row = catalog_find_zone(fleet->catalog, order->zone.zone);
    order->base = row == NULL ? 0 : row->revision;
    if (!empty && fleet->options->cold_limit.set) {
        order->cold_ms = fleet->options->announce_ms * RESTORE_ANNOUNCEMENTS +
                         RESTORE_HOLD_US / 1000;
        add_owners(fleet, order->zone.zone, now_us, order);
    }
    requester.u.http = http->handle;
    fleet_request_command(fleet, &command, &requester);
    catalog_command_clear(&command);
}
