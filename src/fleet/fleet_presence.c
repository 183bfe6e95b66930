/*
 * Targets whose announcements do not come any more.  Every control daemon
 * tells the leader whom it has heard; the leader marks in the catalog who is
 * missing, so that new flows avoid them.  Open flows are left alone: it may
 * be that only the announcements do not come through.
 */
#include "base/log.h"
#include "fleet/fleet_control_private.h"

#define TELL_EVERY_US 200000U
#define MISSING_SHARE 2.5     /* announcements that may fail to come */
#define MISSING_US    500000U /* on their way to the leader */

static void note(struct fleet *, uint64_t host, uint64_t now_us);
static void tell_leader(struct fleet *);
static void mark(struct fleet *, const struct catalog_target *);
static void look_for_missing(struct fleet *, uint64_t now_us);

static void
note(struct fleet *fleet, uint64_t host, uint64_t now_us)
{
    uint64_t *when = g_hash_table_lookup(fleet->control->heard, &host);

    if (when == NULL) {
        uint64_t *row = g_new0(uint64_t, 2);

        row[0] = host;
        when = &row[1];
        g_hash_table_insert(fleet->control->heard, &row[0], when);
    }
    *when = now_us;
}

/* This daemon leads from now on: nobody is missing until time has passed. */
void
fleet_presence_begin(struct fleet *fleet, uint64_t now_us)
{
    const GPtrArray *targets = catalog_targets(fleet->catalog);

    g_hash_table_remove_all(fleet->control->heard);
    for (guint i = 0; i < targets->len; i++) {
        note(fleet, ((const struct catalog_target *)targets->pdata[i])->host,
             now_us);
    }
}

/* An announcement of HOST came to this daemon. */
void
fleet_presence_heard(struct fleet *fleet, uint64_t host)
{
    if (fleet->control->leading) {
        note(fleet, host, clock_boottime_us());
    }
    else {
        g_array_append_val(fleet->control->unsent, host);
    }
}

/* Another control daemon has heard these hosts. */
void
fleet_presence_told(struct fleet *fleet, const Parsleyspur__FleetHeard *heard)
{
    uint64_t now_us = clock_boottime_us();

    for (size_t i = 0; i < heard->n_hosts; i++) {
        note(fleet, heard->hosts[i], now_us);
    }
}

static void
tell_leader(struct fleet *fleet)
{
    struct fleet_control *control = fleet->control;
    Parsleyspur__FleetMessage message = PARSLEYSPUR__FLEET_MESSAGE__INIT;
    Parsleyspur__FleetHeard heard = PARSLEYSPUR__FLEET_HEARD__INIT;

    if (control->unsent->len == 0 || fleet_heartbeat_leader(fleet) == 0) {
        return;
    }
    heard.hosts = (uint64_t *)(void *)control->unsent->data;
    heard.n_hosts = control->unsent->len;
    message.heard = &heard;
    fleet_send(fleet, fleet_heartbeat_leader(fleet), &message);
    g_array_set_size(control->unsent, 0);
}

/* Propose that TARGET is missing. */
static void
mark(struct fleet *fleet, const struct catalog_target *target)
{
    struct catalog_command command = {.kind = CATALOG_PRESENCE};
    struct fleet_waiter waiter = {.kind = FLEET_WAITER_NONE,
                                  .what = "presence"};
    char *pool =
        log_json_text(catalog_pool_name(fleet->catalog, target->pool));

    command.u.target.host = target->host;
    command.u.target.incarnation = target->incarnation;
    command.u.target.missing = true;
    fleet_log_line(fleet->log, FLEET_LOG_STATE, clock_boottime_us(),
                   "target-missing",
                   "\"target\":\"%" G_GINT64_MODIFIER "x\",\"pool\":%s",
                   target->host, pool);
    g_free(pool);
    fleet_request_command(fleet, &command, &waiter);
}

static void
look_for_missing(struct fleet *fleet, uint64_t now_us)
{
    const GPtrArray *targets = catalog_targets(fleet->catalog);
    uint64_t limit_us =
        (uint64_t)(fleet->options->announce_ms * MISSING_SHARE) * 1000 +
        MISSING_US;
    GArray *missing = g_array_new(FALSE, FALSE, sizeof(struct catalog_target));

    for (guint i = 0; i < targets->len; i++) {
        const struct catalog_target *target = targets->pdata[i];
        const uint64_t *when =
            g_hash_table_lookup(fleet->control->heard, &target->host);

        if (target->state == CATALOG_GONE || target->missing) {
            continue;
        }
        if (when == NULL) {
            note(fleet, target->host, now_us);
        }
        else if (fleet_elapsed_us(now_us, *when) > limit_us) {
            g_array_append_val(missing, *target);
        }
    }
    for (guint i = 0; i < missing->len; i++) {
        const struct catalog_target *target =
            &g_array_index(missing, struct catalog_target, i);

        note(fleet, target->host, now_us); /* proposed once in a while */
        mark(fleet, target);
    }
    g_array_unref(missing);
}

void
fleet_presence_tick(struct fleet *fleet, uint64_t now_us)
{
    struct fleet_control *control = fleet->control;

    if (now_us < control->heard_us) {
        return;
    }
    control->heard_us = now_us + TELL_EVERY_US;
    if (control->leading) {
        look_for_missing(fleet, now_us);
    }
    else {
        tell_leader(fleet);
    }
}
