/*
 * Finds targets whose announcements have stopped.  Every control daemon
 * reports to the leader which targets announced themselves to it.  The leader
 * marks overdue targets as missing in the catalog, so that new flows avoid
 * them.  Open flows are not affected, since it may be that only the
 * announcements are lost.
 */
#include "base/log.h"
#include "fleet/fleet_control_private.h"

#define REPORT_INTERVAL_US 200000U
#define MISSING_INTERVALS  2.5     /* announcements that may be lost */
#define REPORT_DELAY_US    500000U /* for announcements to reach the leader */

static void set_last_announced(struct fleet *, uint64_t host, uint64_t now_us);
static void report_to_leader(struct fleet *);
static void propose_missing(struct fleet *, const struct catalog_target *);
static void propose_overdue_targets(struct fleet *, uint64_t now_us);

/* Record NOW_US as the time of HOST's last announcement. */
static void
set_last_announced(struct fleet *fleet, uint64_t host, uint64_t now_us)
{
    uint64_t *last_us =
        g_hash_table_lookup(fleet->control->last_announced_us, &host);

    if (last_us == NULL) {
        uint64_t *pair = g_new0(uint64_t, 2);

        pair[0] = host;
        last_us = &pair[1];
        g_hash_table_insert(fleet->control->last_announced_us, &pair[0],
                            last_us);
    }
    *last_us = now_us;
}

/*
 * Start tracking announcements, as this daemon has become the leader: each
 * target gets the full time before it counts as missing.
 */
void
fleet_announcement_restart(struct fleet *fleet, uint64_t now_us)
{
    const GPtrArray *targets = catalog_targets(fleet->catalog);

    g_hash_table_remove_all(fleet->control->last_announced_us);
    for (guint i = 0; i < targets->len; i++) {
        set_last_announced(
            fleet, ((const struct catalog_target *)targets->pdata[i])->host,
            now_us);
    }
}

/*
 * Record that HOST announced itself to this daemon: here if it is the leader,
 * else for the next report to the leader.
 */
void
fleet_announcement_received(struct fleet *fleet, uint64_t host)
{
    if (fleet->control->leading) {
        set_last_announced(fleet, host, clock_boottime_us());
    }
    else {
        g_array_append_val(fleet->control->unreported_hosts, host);
    }
}

/* Record the hosts that announced themselves to another control daemon. */
void
fleet_announcement_merge_report(struct fleet *fleet,
                                const Parsleyspur__FleetHeard *heard)
{
    uint64_t now_us = clock_boottime_us();

    for (size_t i = 0; i < heard->n_hosts; i++) {
        set_last_announced(fleet, heard->hosts[i], now_us);
    }
}

/*
 * Report to the leader, if it is known, the hosts that announced themselves
 * here.
 */
static void
report_to_leader(struct fleet *fleet)
{
    struct fleet_control *control = fleet->control;
    Parsleyspur__FleetMessage message = PARSLEYSPUR__FLEET_MESSAGE__INIT;
    Parsleyspur__FleetHeard heard = PARSLEYSPUR__FLEET_HEARD__INIT;

    if (control->unreported_hosts->len == 0 ||
        fleet_heartbeat_leader(fleet) == 0) {
        return;
    }
    heard.hosts = (uint64_t *)(void *)control->unreported_hosts->data;
    heard.n_hosts = control->unreported_hosts->len;
    message.heard = &heard;
    fleet_send(fleet, fleet_heartbeat_leader(fleet), &message);
    g_array_set_size(control->unreported_hosts, 0);
}

/* Propose to mark TARGET as missing. */
static void
propose_missing(struct fleet *fleet, const struct catalog_target *target)
{
    struct catalog_command command = {.kind = CATALOG_PRESENCE};
    struct fleet_requester requester = {.kind = FLEET_REQUESTER_NONE,
                                        .what = "presence"};
    char *pool =
        log_json_name(catalog_pool_name(fleet->catalog, target->pool));

    command.u.target.host = target->host;
    command.u.target.incarnation = target->incarnation;
    command.u.target.missing = true;
    fleet_log_line(fleet->log, FLEET_LOG_STATE, clock_boottime_us(),
                   "target-missing",
                   "\"target\":\"%" G_GINT64_MODIFIER "x\",\"pool\":%s",
                   target->host, pool);
    g_free(pool);
    fleet_request_command(fleet, &command, &requester);
}

/*
 * Propose to mark as missing all targets whose last announcement is too old.
 */
static void
propose_overdue_targets(struct fleet *fleet, uint64_t now_us)
{
    const GPtrArray *targets = catalog_targets(fleet->catalog);
    uint64_t limit_us =
        (uint64_t)(fleet->options->announce_ms * MISSING_INTERVALS) * 1000 +
        REPORT_DELAY_US;
    GArray *missing = g_array_new(FALSE, FALSE, sizeof(struct catalog_target));

    for (guint i = 0; i < targets->len; i++) {
        const struct catalog_target *target = targets->pdata[i];
        const uint64_t *last_us = g_hash_table_lookup(
            fleet->control->last_announced_us, &target->host);

        if (target->state == CATALOG_GONE || target->missing) {
            continue;
        }
        if (last_us == NULL) {
            set_last_announced(fleet, target->host, now_us);
        }
        else if (fleet_elapsed_us(now_us, *last_us) > limit_us) {
            g_array_append_val(missing, *target);
        }
    }
    for (guint i = 0; i < missing->len; i++) {
        const struct catalog_target *target =
            &g_array_index(missing, struct catalog_target, i);

        /* Propose it again, but not before the limit has passed again. */
        set_last_announced(fleet, target->host, now_us);
        propose_missing(fleet, target);
    }
    g_array_unref(missing);
}

/*
 * Report to the leader, or look for overdue targets as the leader, every
 * REPORT_INTERVAL_US.
 */
void
fleet_announcement_tick(struct fleet *fleet, uint64_t now_us)
{
    struct fleet_control *control = fleet->control;

    if (now_us < control->next_report_us) {
        return;
    }
    control->next_report_us = now_us + REPORT_INTERVAL_US;
    if (control->leading) {
        propose_overdue_targets(fleet, now_us);
    }
    else {
        report_to_leader(fleet);
    }
}
