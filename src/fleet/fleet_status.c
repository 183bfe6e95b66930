/* Writes a daemon's state as JSON for operators. */
#include <stdlib.h>

#include <jansson.h>

#include "fleet/fleet_control_private.h"
#include "fleet/fleet_entry_private.h"

static json_t *address_json(uint32_t address);
static json_t *host_json(uint64_t host);
static json_t *daemons_json(const struct fleet *, uint64_t now_us);
static json_t *voters_json(const struct fleet_control *);
static json_t *pools_json(const struct catalog *);
static json_t *zones_json(const struct catalog *);
static json_t *targets_json(const struct fleet *, uint64_t now_us);
static void count_target(json_t *pool, const struct catalog_target *);

static const char *const state_names[CATALOG_TARGET_STATE__MAX] = {
    [CATALOG_READY] = "ready",
    [CATALOG_DRAINING] = "draining",
    [CATALOG_GONE] = "gone",
};

/* Return ADDRESS as a string, null if it is 0. */
static json_t *
address_json(uint32_t address)
{
    char *text = view_address_text(address);
    json_t *value = address == 0 ? json_null() : json_string(text);

    g_free(text);
    return value;
}

/* Return HOST as a string of hexadecimal digits. */
static json_t *
host_json(uint64_t host)
{
    char text[20];

    g_snprintf(text, sizeof(text), "%" G_GINT64_MODIFIER "x", host);
    return json_string(text);
}

/*
 * Return the other daemons with which there was contact, and the revision that
 * each holds.
 */
static json_t *
daemons_json(const struct fleet *fleet, uint64_t now_us)
{
    json_t *rows = json_array();
    GHashTableIter iter;
    gpointer key, value;

    g_hash_table_iter_init(&iter, fleet->peers);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct fleet_peer *peer = value;
        json_t *row;

        if (peer->last_contact_us == 0) {
            continue;
        }
        row = json_object();
        json_object_set_new(row, "address", address_json(peer->address));
        json_object_set_new(row, "role",
                            json_string(peer->control ? "control" : "entry"));
        json_object_set_new(row, "voter", json_integer(peer->voter));
        json_object_set_new(row, "revision",
                            json_integer((json_int_t)peer->revision));
        json_object_set_new(
            row, "lag_ms",
            peer->control ? json_integer((json_int_t)(peer->lag_us / 1000))
                          : json_null());
        json_object_set_new(
            row, "heard_ms",
            json_integer(
                (json_int_t)(fleet_elapsed_us(now_us, peer->last_contact_us) /
                             1000)));
        json_array_append_new(rows, row);
    }
    return rows;
}

/*
 * Return the voters: the assignee of each number, and the daemon that has the
 * vote.
 */
static json_t *
voters_json(const struct fleet_control *control)
{
    json_t *rows = json_array();

    for (size_t i = 0; i < control->voter_count; i++) {
        const struct fleet_assignment *assignment = &control->voters[i];
        json_t *row = json_object();

        json_object_set_new(row, "voter", json_integer((json_int_t)i + 1));
        json_object_set_new(row, "address",
                            address_json(assignment->assigned.address));
        json_object_set_new(
            row, "votes",
            json_boolean(fleet_assignment_is_settled(assignment)));
        json_object_set_new(
            row, "voting",
            address_json(fleet_assignment_voting_address(assignment)));
        json_array_append_new(rows, row);
    }
    return rows;
}

/* Add TARGET to the counts of its pool. */
static void
count_target(json_t *pool, const struct catalog_target *target)
{
    const char *member = target->state == CATALOG_READY && target->missing
                             ? "missing"
                             : state_names[target->state];
    json_t *count = json_object_get(pool, member);

    json_integer_set(count, json_integer_value(count) + 1);
}

/* Return the pools by name with the number of targets in each state. */
static json_t *
pools_json(const struct catalog *catalog)
{
    const GPtrArray *targets = catalog_targets(catalog);
    json_t *by_name = json_object(), *rows = json_array(), *pool;
    const char *name;

    for (guint i = 0; i < targets->len; i++) {
        const struct catalog_target *target = targets->pdata[i];

        name = catalog_pool_name(catalog, target->pool);
        name = name == NULL ? "(no route's)" : name;
        pool = json_object_get(by_name, name);
        if (pool == NULL) {
            pool = json_pack("{s:s,s:i,s:i,s:i,s:i}", "pool", name, "ready", 0,
                             "missing", 0, "draining", 0, "gone", 0);
            json_object_set_new(by_name, name, pool);
        }
        count_target(pool, target);
    }
    json_object_foreach(by_name, name, pool)
    {
        json_array_append(rows, pool);
    }
    json_decref(by_name);
    return rows;
}

/* Return the zones with an order, and the age of each order. */
static json_t *
zones_json(const struct catalog *catalog)
{
    const GArray *zones = catalog_zones(catalog);
    json_t *rows = json_array();
    int64_t now_ms = g_get_real_time() / 1000;

    for (guint i = 0; i < zones->len; i++) {
        const struct catalog_zone *zone =
            &g_array_index(zones, struct catalog_zone, i);

        json_array_append_new(
            rows, json_pack("{s:s,s:b,s:I,s:I}", "zone", zone->name, "emptied",
                            zone->emptied, "revision",
                            (json_int_t)zone->revision, "ordered_ms_ago",
                            (json_int_t)MAX(now_ms - zone->ordered_ms, 0)));
    }
    return rows;
}

/*
 * Return the targets that are not gone, with the age of their last
 * announcement if this daemon is the leader.
 */
static json_t *
targets_json(const struct fleet *fleet, uint64_t now_us)
{
    const GPtrArray *targets = catalog_targets(fleet->catalog);
    json_t *rows = json_array();

    for (guint i = 0; i < targets->len; i++) {
        const struct catalog_target *target = targets->pdata[i];
        const uint64_t *announced_us =
            fleet->control != NULL && fleet->control->leading
                ? g_hash_table_lookup(fleet->control->last_announced_us,
                                      &target->host)
                : NULL;
        const char *pool = catalog_pool_name(fleet->catalog, target->pool);
        json_t *row;

        if (target->state == CATALOG_GONE) {
            continue;
        }
        row = json_object();
        json_object_set_new(row, "target", host_json(target->host));
        json_object_set_new(row, "pool",
                            pool == NULL ? json_null() : json_string(pool));
        json_object_set_new(row, "address", address_json(target->address));
        json_object_set_new(row, "state",
                            json_string(target->missing
                                            ? "missing"
                                            : state_names[target->state]));
        json_object_set_new(
            row, "heard_ms",
            announced_us == NULL
                ? json_null()
                : json_integer(
                      (json_int_t)(fleet_elapsed_us(now_us, *announced_us) /
                                   1000)));
        json_array_append_new(rows, row);
    }
    return rows;
}

/* Return the whole status.  The caller frees the text with free(). */
char *
fleet_status_text(const struct fleet *fleet)
{
    uint64_t now_us = clock_boottime_us();
    const struct fleet_control *control = fleet->control;
    json_t *status = json_object();
    char *text;

    json_object_set_new(status, "daemon", json_string(fleet->options->name));
    json_object_set_new(status, "zone", json_string(fleet->options->zone));
    json_object_set_new(status, "role",
                        json_string(control != NULL ? "control" : "entry"));
    json_object_set_new(
        status, "version",
        json_integer((json_int_t)catalog_version(fleet->catalog)));
    json_object_set_new(
        status, "revision",
        json_integer((json_int_t)catalog_revision(fleet->catalog)));
    if (control != NULL) {
        json_object_set_new(status, "leader",
                            address_json(fleet_heartbeat_leader(fleet)));
        json_object_set_new(status, "leading", json_boolean(control->leading));
        json_object_set_new(
            status, "lag_ms",
            json_integer(
                (json_int_t)(fleet_heartbeat_lag_us(fleet, now_us) / 1000)));
        json_object_set_new(status, "voters", voters_json(control));
    }
    else {
        json_object_set_new(status, "ready",
                            json_boolean(fleet_entry_is_ready(fleet)));
    }
    json_object_set_new(status, "daemons", daemons_json(fleet, now_us));
    json_object_set_new(status, "zones", zones_json(fleet->catalog));
    json_object_set_new(status, "pools", pools_json(fleet->catalog));
    json_object_set_new(status, "targets", targets_json(fleet, now_us));
    text = json_dumps(status, JSON_COMPACT);
    json_decref(status);
    return text;
}
