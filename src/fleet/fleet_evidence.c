/*
 * Collects what entry daemons see of targets, and tells them which ones fail.
 */
#include "fleet/fleet_control_private.h"

#define TICK_US 200000U

static void count_targets(struct fleet *);
static void log_changes(struct fleet *, uint64_t now_us);

/* Add the counts in HEARTBEAT of the entry daemon PEER. */
void
fleet_evidence_receive(struct fleet *fleet, const struct fleet_peer *peer,
                       const Parsleyspur__FleetHeartbeat *heartbeat)
{
    uint64_t now_us = clock_boottime_us();

    for (size_t i = 0; i < heartbeat->n_evidence; i++) {
        const Parsleyspur__FleetEvidence *row = heartbeat->evidence[i];
        const struct catalog_target *target =
            catalog_find_target(fleet->catalog, row->host);
        struct evidence_report report = {.host = row->host,
                                         .answered = row->answered,
                                         .failed = row->failed};

        if (target != NULL && target->state != CATALOG_GONE) {
            report.pool = target->pool;
            evidence_core_add(fleet->control->evidence, now_us, peer->address,
                              &report);
        }
    }
}

/* Add the failing targets to HEARTBEAT for the entry daemon at ADDRESS. */
void
fleet_evidence_fill(const struct fleet *fleet, uint32_t address,
                    Parsleyspur__FleetHeartbeat *heartbeat)
{
    GArray *hosts = g_array_new(FALSE, FALSE, sizeof(uint64_t));

    evidence_core_list_failing(fleet->control->evidence, address, hosts);
    heartbeat->n_failing = hosts->len;
    heartbeat->failing = (uint64_t *)(void *)g_array_free(hosts, FALSE);
}

/* Tell the core how many targets each pool has. */
static void
count_targets(struct fleet *fleet)
{
    const GPtrArray *targets = catalog_targets(fleet->catalog);
    GHashTable *sizes = g_hash_table_new(g_int64_hash, g_int64_equal);
    GHashTableIter iter;
    gpointer key, value;

    for (guint i = 0; i < targets->len; i++) {
        const struct catalog_target *target = targets->pdata[i];
        gpointer size = g_hash_table_lookup(sizes, &target->pool.value);

        if (target->state == CATALOG_READY) {
            g_hash_table_replace(sizes,
                                 (gpointer)(uintptr_t)&target->pool.value,
                                 GUINT_TO_POINTER(GPOINTER_TO_UINT(size) + 1));
        }
    }
    g_hash_table_iter_init(&iter, sizes);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        evidence_core_set_pool_size(fleet->control->evidence,
                                    (struct pool_id){*(const uint64_t *)key},
                                    GPOINTER_TO_UINT(value));
    }
    g_hash_table_destroy(sizes);
}

/* Log what has changed, with what it was decided from. */
static void
log_changes(struct fleet *fleet, uint64_t now_us)
{
    struct evidence_change change;

    while (evidence_core_next_change(fleet->control->evidence, &change)) {
        fleet->control->targets_failing +=
            change.state == EVIDENCE_FAILING ? 1 : 0;
        fleet_log_line(fleet->log, FLEET_LOG_STATE, now_us, "target-evidence",
                       "\"target\":\"%" G_GINT64_MODIFIER
                       "x\",\"state\":\"%s\",\"certainty\":%.1f"
                       ",\"pool_failed_share\":%.3f",
                       change.host, evidence_state_name(change.state),
                       change.certainty, change.pool_failed_share);
    }
}

/* Do what is due, and tell the entry daemons of this zone what has changed. */
void
fleet_evidence_tick(struct fleet *fleet, uint64_t now_us)
{
    struct fleet_control *control = fleet->control;

    if (!fleet->options->share_evidence ||
        now_us < control->next_evidence_us) {
        return;
    }
    control->next_evidence_us = now_us + TICK_US;
    count_targets(fleet);
    evidence_core_tick(control->evidence, now_us);
    if (evidence_core_has_changes(control->evidence)) {
        log_changes(fleet, now_us);
        fleet_heartbeat_send_to_entries(fleet, now_us);
    }
}
