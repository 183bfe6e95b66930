/* Decides the verdict on each packet and keeps the state of the core. */
#include "affinity/affinity.h"

#include "affinity/affinity_state.h"
#include "base/hash.h"

#define SWEEP_INTERVAL_US 500000 /* between removals of silent flows */
#define BACKLOG_READ_US   50000  /* to read what the socket has queued */
#define IDLE_DEFAULT_MS   15000  /* until the catalog gives one */

static guint key_hash(gconstpointer);
static gboolean key_equal(gconstpointer, gconstpointer);
static void set_verdict(struct affinity_verdict *, enum affinity_action,
                        enum affinity_reason);
static void detect_stall(struct affinity_core *, uint64_t now_us);
static void handle_new_flow(struct affinity_core *, uint64_t now_us,
                            const struct catalog *,
                            const struct affinity_packet *,
                            struct affinity_verdict *);
static bool handle_retransmission(struct affinity_core *, uint64_t now_us,
                                  const struct catalog *,
                                  const struct affinity_packet *,
                                  struct affinity_flow *,
                                  struct affinity_verdict *);
static bool open_at_second(struct affinity_core *, uint64_t now_us,
                           const struct catalog *,
                           const struct affinity_packet *,
                           struct affinity_flow *, struct affinity_verdict *);
static void handle_open_flow(struct affinity_core *, uint64_t now_us,
                             const struct catalog *,
                             const struct affinity_packet *,
                             struct affinity_verdict *);
static void reject_open_flow(const struct affinity_packet *,
                             struct affinity_verdict *, enum affinity_reason);

static const struct affinity_options defaults = {
    .flows_max = 65536,
    .new_flow_timeout_us = 2000000,
    .suspect_us = 1000000,
    .suspect_flows = 2,
    .stall_us = 400000,
};

static const char *const reason_names[AFFINITY_REASON__MAX] = {
    [AFFINITY_PLACED] = "placed",
    [AFFINITY_REPEATED] = "repeated",
    [AFFINITY_PLACED_AGAIN] = "placed-anew",
    [AFFINITY_HEDGED] = "second-target",
    [AFFINITY_COOKIE] = "cookie",
    [AFFINITY_NO_ROUTE] = "no-route",
    [AFFINITY_NO_TARGET] = "no-target",
    [AFFINITY_ZONE_EMPTIED] = "zone-emptied",
    [AFFINITY_COLD_LIMIT] = "cold-limit",
    [AFFINITY_OVERLOAD] = "overload",
    [AFFINITY_LINK_FULL] = "link-full",
    [AFFINITY_TARGET_GONE] = "target-gone",
    [AFFINITY_TARGET_SILENT] = "target-silent",
    [AFFINITY_UNKNOWN_COOKIE] = "unknown-cookie",
    [AFFINITY_NO_COOKIE] = "no-cookie",
    [AFFINITY_NOT_SYNCED] = "not-synced",
    [AFFINITY_STALE] = "stale",
};

/* Return the stable name of REASON, as used in logs; "none" if invalid. */
const char *
affinity_reason_name(enum affinity_reason reason)
{
    return reason < AFFINITY_REASON__MAX ? reason_names[reason] : "none";
}

/* Return the hash of the struct affinity_key at KEY. */
static guint
key_hash(gconstpointer key)
{
    return (guint)hash_bytes(key, sizeof(struct affinity_key), 0);
}

/* Return true if A and B, struct affinity_key each, are equal. */
static gboolean
key_equal(gconstpointer a, gconstpointer b)
{
    const struct affinity_key *x = a, *y = b;

    return x->source == y->source && x->destination == y->destination &&
           x->source_port == y->source_port &&
           x->destination_port == y->destination_port;
}

/*
 * Return a new core that tracks no flow.  OPTIONS are copied.  The caller
 * frees it with affinity_core_free().
 */
struct affinity_core *
affinity_core_new(const struct affinity_options *options)
{
    struct affinity_core *core = g_new0(struct affinity_core, 1);
    struct affinity_options *own = &core->options;

    *own = *options;
#define DEFAULT(member)                                                       \
    own->member = own->member != 0 ? own->member : defaults.member
    DEFAULT(flows_max);
    DEFAULT(new_flow_timeout_us);
    DEFAULT(suspect_us);
    DEFAULT(suspect_flows);
    DEFAULT(stall_us);
#undef DEFAULT
    core->zone_daemons = 1;
    g_queue_init(&core->recent_flows);
    g_queue_init(&core->suspicions);
    g_queue_init(&core->beliefs);
    g_queue_init(&core->resets);
    core->rand = g_rand_new_with_seed_array(
        (const guint32 *)&own->seed, sizeof(own->seed) / sizeof(guint32));
    core->loads = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                        affinity_load_free);
    core->route_stats =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    core->pools =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    core->avoided =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    core->avoided_zones = g_hash_table_new(NULL, NULL);
    core->evidence =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    core->flows = g_hash_table_new_full(key_hash, key_equal, NULL, g_free);
    return core;
}

/* Free CORE; NULL is allowed. */
void
affinity_core_free(struct affinity_core *core)
{
    if (core == NULL) {
        return;
    }
    g_queue_clear_full(&core->beliefs, g_free);
    g_queue_clear_full(&core->resets, g_free);
    g_hash_table_destroy(core->loads);
    g_hash_table_destroy(core->route_stats);
    g_hash_table_destroy(core->pools);
    g_hash_table_destroy(core->avoided);
    g_hash_table_destroy(core->avoided_zones);
    g_hash_table_destroy(core->evidence);
    g_hash_table_destroy(core->flows);
    g_rand_free(core->rand);
    g_free(core);
}

/* Set the action and the reason of VERDICT. */
static void
set_verdict(struct affinity_verdict *verdict, enum affinity_action action,
            enum affinity_reason reason)
{
    verdict->action = action;
    verdict->reason = reason;
}

/*
 * Set VERDICT to forward the retransmitted first packet of FLOW to the target
 * already chosen, and return true.  If two targets answered, the caller would
 * have the cookie of one and the sequence numbers of the other.  Only if the
 * target is gone (one missing from the catalog counts as gone), or has not
 * answered several flows, remove FLOW and return false.
 */
static bool
handle_retransmission(struct affinity_core *core, uint64_t now_us,
                      const struct catalog *catalog,
                      const struct affinity_packet *packet,
                      struct affinity_flow *flow,
                      struct affinity_verdict *verdict)
{
    struct affinity_load *load = affinity_load_get(core, flow->host);
    const struct catalog_target *target =
        catalog_find_target(catalog, flow->host);

    if (!flow->retransmitted) {
        flow->retransmitted = true;
        if (!affinity_link_is_busy(core)) {
            affinity_load_record_unanswered(core, load, now_us);
            affinity_evidence_failed(core, flow->host);
        }
    }
    affinity_silence_sent(core, now_us, load, true);
    if (target == NULL || target->state == CATALOG_GONE ||
        load->suspicion.silent || affinity_load_is_suspect(load, now_us)) {
        affinity_flow_remove(core, flow);
        return false;
    }
    if (open_at_second(core, now_us, catalog, packet, flow, verdict)) {
        return true;
    }
    flow->seen_us = now_us;
    verdict->target = target;
    verdict->requests_in_progress = load->requests_in_progress;
    set_verdict(verdict, AFFINITY_FORWARD, AFFINITY_REPEATED);
    return true;
}

/*
 * Give PACKET, a copy of the opening of FLOW, to a second target, if the budget
 * allows and there is another one; then replace FLOW, set VERDICT and return
 * true.
 */
static bool
open_at_second(struct affinity_core *core, uint64_t now_us,
               const struct catalog *catalog,
               const struct affinity_packet *packet,
               struct affinity_flow *flow, struct affinity_verdict *verdict)
{
    uint64_t first_host = flow->host;
    const struct catalog_target *second;

    if (!affinity_hedge_allows(core, flow, verdict->route)) {
        return false;
    }
    second = affinity_place_second(core, now_us, catalog, verdict->route,
                                   first_host, verdict);
    if (second == NULL) {
        return false;
    }
    affinity_flow_remove(core, flow);
    affinity_flow_add(core, now_us, packet, verdict->route, second->host);
    affinity_cold_record(affinity_load_get(core, second->host), now_us);
    flow = affinity_flow_find(core, packet);
    if (flow != NULL) {
        affinity_hedge_record(core, flow, first_host);
    }
    verdict->target = second;
    verdict->requests_in_progress =
        affinity_load_get(core, second->host)->requests_in_progress;
    set_verdict(verdict, AFFINITY_FORWARD, AFFINITY_HEDGED);
    return true;
}

/*
 * Decide on the first packet of a flow: choose a target if the link and the
 * pool admit the flow, or repeat the choice if PACKET is retransmitted.
 */
static void
handle_new_flow(struct affinity_core *core, uint64_t now_us,
                const struct catalog *catalog,
                const struct affinity_packet *packet,
                struct affinity_verdict *verdict)
{
    const struct catalog_route *route = catalog_find_route(
        catalog,
        catalog_endpoint_key(packet->destination, packet->destination_port));
    struct affinity_flow *flow = affinity_flow_find(core, packet);
    enum affinity_reason placed_reason = AFFINITY_PLACED;

    verdict->route = route;
    if (route == NULL) {
        set_verdict(verdict, AFFINITY_RESET, AFFINITY_NO_ROUTE);
        return;
    }
    if (flow != NULL && flow->first_sequence == packet->sequence) {
        if (handle_retransmission(core, now_us, catalog, packet, flow,
                                  verdict)) {
            return;
        }
        placed_reason = AFFINITY_PLACED_AGAIN;
    }
    else if (flow != NULL) {
        affinity_flow_remove(core, flow);
    }
    affinity_flow_expire_recent(core, now_us);
    verdict->pending_upload_bytes = core->link.pending_bytes;
    if (!affinity_link_admits(core, route)) {
        set_verdict(verdict, AFFINITY_RESET, AFFINITY_LINK_FULL);
        return;
    }
    verdict->target =
        affinity_place_flow(core, now_us, catalog, route, verdict);
    if (verdict->target == NULL) {
        set_verdict(verdict, AFFINITY_RESET, verdict->reason);
        return;
    }
    affinity_flow_add(core, now_us, packet, route, verdict->target->host);
    affinity_hedge_earn(core, route);
    affinity_cold_record(affinity_load_get(core, verdict->target->host),
                         now_us);
    verdict->requests_in_progress =
        affinity_load_get(core, verdict->target->host)->requests_in_progress;
    core->counters.remote +=
        verdict->target->zone != core->options.zone ? 1 : 0;
    set_verdict(verdict, AFFINITY_FORWARD, placed_reason);
}

/* Decide on a packet of an open flow, whose cookie identifies the target. */
static void
handle_open_flow(struct affinity_core *core, uint64_t now_us,
                 const struct catalog *catalog,
                 const struct affinity_packet *packet,
                 struct affinity_verdict *verdict)
{
    struct affinity_flow *flow = affinity_flow_find(core, packet);

    if (packet->cookie == 0) {
        set_verdict(verdict, AFFINITY_DROP, AFFINITY_NO_COOKIE);
        return;
    }
    verdict->target = catalog_find_cookie(catalog, packet->cookie);
    if (verdict->target != NULL && flow != NULL && flow->first_host != 0) {
        verdict->target = catalog_find_target(
            catalog,
            affinity_hedge_resolve(core, flow, verdict->target->host));
    }
    if (verdict->target == NULL) {
        set_verdict(verdict, AFFINITY_DROP, AFFINITY_UNKNOWN_COOKIE);
        return;
    }
    verdict->route = catalog_find_route(
        catalog,
        catalog_endpoint_key(packet->destination, packet->destination_port));
    verdict->ended = (packet->flags & (AFFINITY_FIN | AFFINITY_RST)) != 0;
    verdict->bulk = packet->payload > 0 && verdict->route != NULL &&
                    catalog_kind_traits(verdict->route->kind)->large_request;
    if (!verdict->bulk) {
        affinity_link_count_interactive(core, now_us, packet->payload);
    }
    if (flow == NULL && packet->payload > 0 && verdict->route != NULL &&
        !verdict->ended && verdict->target->state != CATALOG_GONE) {
        flow = affinity_flow_adopt(core, now_us, packet, verdict->route,
                                   verdict->target->host);
    }
    if (flow != NULL && flow->host == verdict->target->host) {
        affinity_flow_handle_packet(core, now_us, flow, packet);
    }
    if (verdict->target->state == CATALOG_GONE) {
        reject_open_flow(packet, verdict, AFFINITY_TARGET_GONE);
    }
    else if (affinity_load_get(core, verdict->target->host)
                 ->suspicion.silent) {
        reject_open_flow(packet, verdict, AFFINITY_TARGET_SILENT);
    }
    else {
        set_verdict(verdict, AFFINITY_FORWARD, AFFINITY_COOKIE);
    }
}

/* Set VERDICT to answer PACKET, whose target is gone or silent, with a reset;
 * a packet that ends the flow itself gets none. */
static void
reject_open_flow(const struct affinity_packet *packet,
                 struct affinity_verdict *verdict, enum affinity_reason reason)
{
    bool ended = (packet->flags & AFFINITY_RST) != 0;

    set_verdict(verdict, ended ? AFFINITY_DROP : AFFINITY_RESET, reason);
}

/*
 * Record the time of activity and detect a stall (a suspended VM, a stopped
 * process).  After a stall the socket holds first packets that were since
 * retransmitted through other daemons.  Forwarded now, they would open the
 * flow at a second target, and the caller would adopt that target's cookie.
 */
static void
detect_stall(struct affinity_core *core, uint64_t now_us)
{
    if (core->last_active_us != 0 && now_us > core->last_active_us &&
        now_us - core->last_active_us > core->options.stall_us) {
        core->stale_until_us = now_us + BACKLOG_READ_US;
    }
    core->last_active_us = MAX(core->last_active_us, now_us);
}

/* Set VERDICT on PACKET, which was received from a caller. */
void
affinity_core_handle_packet(struct affinity_core *core, uint64_t now_us,
                            const struct catalog *catalog,
                            const struct affinity_packet *packet,
                            struct affinity_verdict *verdict)
{
    *verdict = (struct affinity_verdict){0};
    detect_stall(core, now_us);
    if ((packet->flags & AFFINITY_SYN) == 0) {
        handle_open_flow(core, now_us, catalog, packet, verdict);
    }
    else if (catalog_version(catalog) == 0) {
        set_verdict(verdict, AFFINITY_DROP, AFFINITY_NOT_SYNCED);
    }
    else if (now_us < core->stale_until_us) {
        set_verdict(verdict, AFFINITY_DROP, AFFINITY_STALE);
    }
    else {
        handle_new_flow(core, now_us, catalog, packet, verdict);
    }
    core->counters.reasons[verdict->reason]++;
}

/*
 * Place no new flows on HOST, which may be leaving, until
 * affinity_core_clear_avoided() is called.
 */
void
affinity_core_avoid(struct affinity_core *core, uint64_t host)
{
    g_hash_table_add(core->avoided, g_memdup2(&host, sizeof(host)));
}

/* Place no new flows in ZONE, which may be emptied, until
 * affinity_core_clear_avoided() is called. */
void
affinity_core_avoid_zone(struct affinity_core *core, uint32_t zone)
{
    g_hash_table_add(core->avoided_zones, GUINT_TO_POINTER(zone));
}

/* Clear the sets of avoided hosts and zones: the catalog is up to date
 * again. */
void
affinity_core_clear_avoided(struct affinity_core *core)
{
    g_hash_table_remove_all(core->avoided);
    g_hash_table_remove_all(core->avoided_zones);
}

/* Return the number of avoided hosts and zones. */
size_t
affinity_core_avoided_count(const struct affinity_core *core)
{
    return g_hash_table_size(core->avoided) +
           g_hash_table_size(core->avoided_zones);
}

/*
 * Set the number of daemons, this one included, that share the flows of this
 * zone equally.  0 means unknown and counts as 1.
 */
void
affinity_core_set_zone_daemons(struct affinity_core *core, uint32_t daemons)
{
    core->zone_daemons = MAX(daemons, 1);
}

/* Update until when targets are cold, for the changed rows of CATALOG. */
void
affinity_core_catalog_changed(struct affinity_core *core, uint64_t now_us,
                              const struct catalog *catalog)
{
    const GPtrArray *targets = catalog_targets(catalog);

    for (guint i = 0; i < targets->len; i++) {
        const struct catalog_target *target = targets->pdata[i];
        struct affinity_load *load;

        if (target->state == CATALOG_GONE) {
            continue;
        }
        load = affinity_load_get(core, target->host);
        affinity_cold_learn(load, now_us, target,
                            load->placeable || !core->has_catalog);
        load->placeable = target->state == CATALOG_READY && !target->missing &&
                          !catalog_zone_is_emptied(catalog, target->zone);
        if (load->incarnation != target->incarnation) {
            load->incarnation = target->incarnation;
            affinity_silence_forget(core, load);
        }
    }
    core->has_catalog = true;
}

/* Expire recent requests; at intervals also remove silent flows and gone
 * targets. */
void
affinity_core_tick(struct affinity_core *core, uint64_t now_us,
                   const struct catalog *catalog)
{
    uint32_t idle_ms = catalog_idle_ms(catalog);

    detect_stall(core, now_us);
    affinity_flow_expire_recent(core, now_us);
    if (now_us < core->next_sweep_us) {
        return;
    }
    core->next_sweep_us = now_us + SWEEP_INTERVAL_US;
    affinity_flow_sweep(core, now_us,
                        (uint64_t)(idle_ms == 0 ? IDLE_DEFAULT_MS : idle_ms) *
                            1000);
    affinity_load_sweep(core, catalog);
}

/* Return the counters, which belong to CORE. */
const struct affinity_counters *
affinity_core_counters(const struct affinity_core *core)
{
    return &core->counters;
}

/* Return the number of tracked flows. */
size_t
affinity_core_flow_count(const struct affinity_core *core)
{
    return g_hash_table_size(core->flows);
}

/* Return the bytes of admitted uploads not received yet. */
uint64_t
affinity_core_pending_upload_bytes(const struct affinity_core *core)
{
    return core->link.pending_bytes;
}

/* Return the number of targets with a load record. */
size_t
affinity_core_target_count(const struct affinity_core *core)
{
    return g_hash_table_size(core->loads);
}
