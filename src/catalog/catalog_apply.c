/* Committed commands applied to the catalog. */
#include <string.h>

#include "catalog/catalog_state.h"

static bool replace(struct catalog *, uint64_t index,
                    const struct catalog_tables *);
static void remove_others(struct catalog *, uint64_t index,
                          const struct catalog_tables *);
static bool same_route(const struct catalog_route *,
                       const struct catalog_route *);
static bool announce(struct catalog *, uint64_t index,
                     const struct catalog_target *);
static bool leave(struct catalog *, uint64_t index,
                  const struct catalog_target *);
static bool note_presence(struct catalog *, uint64_t index,
                          const struct catalog_target *);
static bool is_late(const struct catalog *, const struct catalog_target *);
static void forget_removed(struct catalog *);

/*
 * Apply COMMAND, committed at INDEX, and tell in CHANGE what it changed.
 * False, changing nothing, if INDEX was applied before.
 */
bool
catalog_apply(struct catalog *catalog, uint64_t index,
              const struct catalog_command *command,
              struct catalog_change *change)
{
    struct catalog_voter *voter;

    memset(change, 0, sizeof(*change));
    if (index <= catalog->revision) {
        return false;
    }
    switch (command->kind) {
    case CATALOG_REPLACE:
        change->tables = replace(catalog, index, &command->u.tables);
        break;
    case CATALOG_ANNOUNCE:
        change->targets = announce(catalog, index, &command->u.target);
        break;
    case CATALOG_LEAVE:
        change->targets = leave(catalog, index, &command->u.target);
        break;
    case CATALOG_PRESENCE:
        change->targets = note_presence(catalog, index, &command->u.target);
        break;
    case CATALOG_VOTER:
        if (command->u.voter.index < CATALOG_VOTERS_MAX) {
            voter = &catalog->voters[command->u.voter.index];
            voter->address = command->u.voter.address;
            voter->revision = index;
            change->voters = true;
        }
        break;
    case CATALOG_COMMAND__MAX:
        break;
    }
    catalog->revision = index;
    if (change->targets || change->tables) {
        catalog->changed = index;
        forget_removed(catalog);
    }
    return true;
}

/* An entry of the log at INDEX holds no command. */
void
catalog_skip(struct catalog *catalog, uint64_t index)
{
    catalog->revision = MAX(catalog->revision, index);
}

static bool
same_route(const struct catalog_route *a, const struct catalog_route *b)
{
    if (a->removed != b->removed || a->kind != b->kind ||
        a->priority != b->priority || a->timeout_ms != b->timeout_ms ||
        a->goal_ms != b->goal_ms || a->split_count != b->split_count) {
        return false;
    }
    for (size_t i = 0; i < a->split_count; i++) {
        if (a->splits[i].pool.value != b->splits[i].pool.value ||
            a->splits[i].weight != b->splits[i].weight) {
            return false;
        }
    }
    return true;
}

/* Mark as removed every route that TABLES does not name. */
static void
remove_others(struct catalog *catalog, uint64_t index,
              const struct catalog_tables *tables)
{
    GHashTable *named = g_hash_table_new(g_int64_hash, g_int64_equal);
    GHashTableIter iter;
    gpointer key, value;

    for (guint i = 0; i < tables->routes->len; i++) {
        g_hash_table_add(
            named,
            &g_array_index(tables->routes, struct catalog_route, i).key);
    }
    g_hash_table_iter_init(&iter, catalog->routes);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        struct catalog_route *route = value;

        if (!route->removed && !g_hash_table_contains(named, key)) {
            route->removed = true;
            route->revision = index;
        }
    }
    g_hash_table_destroy(named);
}

/* The highest version is in force; another one changes nothing. */
static bool
replace(struct catalog *catalog, uint64_t index,
        const struct catalog_tables *tables)
{
    GHashTableIter iter;
    gpointer key, value;

    if (tables->version <= catalog->version) {
        return false;
    }
    remove_others(catalog, index, tables);
    for (guint i = 0; i < tables->routes->len; i++) {
        struct catalog_route route =
            g_array_index(tables->routes, struct catalog_route, i);
        const struct catalog_route *held =
            g_hash_table_lookup(catalog->routes, &route.key);

        if (held == NULL || !same_route(held, &route)) {
            route.revision = index;
            catalog_put_route(catalog, &route);
        }
    }
    g_hash_table_iter_init(&iter, tables->pools);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        catalog_put_pool(catalog, *(uint64_t *)key, value);
    }
    if (catalog->document != NULL) {
        g_bytes_unref(catalog->document);
    }
    catalog->document = g_bytes_ref(tables->document);
    catalog->version = tables->version;
    catalog->idle_ms = tables->idle_ms;
    catalog->tables_revision = index;
    return true;
}

/*
 * True if TARGET, an announcement, is older than what is known: of an earlier
 * incarnation, out of order, after the end of its incarnation, or of a host
 * whose address has passed to one that started later.
 */
static bool
is_late(const struct catalog *catalog, const struct catalog_target *target)
{
    const struct catalog_target *held =
        catalog_find_target(catalog, target->host);
    const struct catalog_target *other =
        catalog_find_address(catalog, target->address, target->port);

    if (held != NULL && target->incarnation < held->incarnation) {
        return true;
    }
    if (held != NULL && target->incarnation == held->incarnation &&
        (held->state == CATALOG_GONE || target->sequence <= held->sequence)) {
        return true;
    }
    return other != NULL && other->host != target->host &&
           other->incarnation > target->incarnation;
}

/* True if applying an announcement would change more than its sequence. */
bool
catalog_announce_is_new(const struct catalog *catalog,
                        const struct catalog_target *target)
{
    const struct catalog_target *held =
        catalog_find_target(catalog, target->host);

    if (is_late(catalog, target)) {
        return false;
    }
    return held == NULL || held->incarnation != target->incarnation ||
           held->address != target->address || held->port != target->port ||
           held->pool.value != target->pool.value ||
           held->zone != target->zone || held->slots != target->slots ||
           held->state != target->state || held->missing ||
           (held->cold_ms > 0) != (target->cold_ms > 0);
}

static bool
announce(struct catalog *catalog, uint64_t index,
         const struct catalog_target *target)
{
    struct catalog_target row = *target;
    const struct catalog_target *other;

    if (!catalog_announce_is_new(catalog, target)) {
        return false;
    }
    other = catalog_find_address(catalog, target->address, target->port);
    if (other != NULL && other->host != target->host) {
        struct catalog_target gone = *other;

        gone.state = CATALOG_GONE;
        gone.revision = index;
        catalog_put_target(catalog, &gone);
    }
    row.missing = false;
    row.revision = index;
    catalog_put_target(catalog, &row);
    return true;
}

static bool
leave(struct catalog *catalog, uint64_t index,
      const struct catalog_target *target)
{
    const struct catalog_target *held =
        catalog_find_target(catalog, target->host);
    struct catalog_target row;

    if (held == NULL || held->state == CATALOG_GONE ||
        (target->incarnation != 0 &&
         target->incarnation < held->incarnation)) {
        return false;
    }
    row = *held;
    row.state = CATALOG_GONE;
    row.revision = index;
    catalog_put_target(catalog, &row);
    return true;
}

static bool
note_presence(struct catalog *catalog, uint64_t index,
              const struct catalog_target *target)
{
    const struct catalog_target *held =
        catalog_find_target(catalog, target->host);
    struct catalog_target row;

    if (held == NULL || held->incarnation != target->incarnation ||
        held->missing == target->missing || held->state == CATALOG_GONE) {
        return false;
    }
    row = *held;
    row.missing = target->missing;
    row.revision = index;
    catalog_put_target(catalog, &row);
    return true;
}

/*
 * Forget rows that were removed long ago, all of them at once, when there are
 * too many.  A replica that is older gets the whole catalog.
 */
static void
forget_removed(struct catalog *catalog)
{
    GHashTableIter iter;
    gpointer key, value;
    size_t removed = 0;
    uint64_t keep = catalog->revision;

    keep -= MIN(keep, CATALOG_REMOVED_MAX / 2);
    g_hash_table_iter_init(&iter, catalog->routes);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        removed += ((struct catalog_route *)value)->removed ? 1 : 0;
    }
    g_hash_table_iter_init(&iter, catalog->targets);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        removed +=
            ((struct catalog_target *)value)->state == CATALOG_GONE ? 1 : 0;
    }
    if (removed < CATALOG_REMOVED_MAX) {
        return;
    }
    g_hash_table_iter_init(&iter, catalog->routes);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct catalog_route *route = value;

        if (route->removed && route->revision < keep) {
            g_hash_table_iter_remove(&iter);
        }
    }
    g_hash_table_iter_init(&iter, catalog->targets);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct catalog_target *target = value;

        if (target->state == CATALOG_GONE && target->revision < keep) {
            g_hash_table_iter_remove(&iter);
        }
    }
    catalog->floor = MAX(catalog->floor, keep);
    catalog_rebuild_indexes(catalog);
}
