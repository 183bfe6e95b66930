/* Applies committed commands to the catalog. */
#include <string.h>

#include "catalog/catalog_state.h"

static bool apply_replace(struct catalog *, uint64_t index,
                          const struct catalog_tables *,
                          struct catalog_change *);
static void remove_unlisted_routes(struct catalog *, uint64_t index,
                                   const struct catalog_tables *);
static bool same_route(const struct catalog_route *,
                       const struct catalog_route *);
static bool started_later(const struct catalog_target *,
                          const struct catalog_target *);
static GHashTable *choose_owners(const struct catalog *);
static bool settle_addresses(struct catalog *, uint64_t index);
static bool apply_announce(struct catalog *, uint64_t index,
                           const struct catalog_target *);
static bool apply_leave(struct catalog *, uint64_t index,
                        const struct catalog_target *);
static bool apply_presence(struct catalog *, uint64_t index,
                           const struct catalog_target *);
static bool is_outdated(const struct catalog *, const struct catalog_target *);
static void purge_removed(struct catalog *);

/*
 * Apply COMMAND, committed at INDEX, store in CHANGE the parts that changed,
 * and return true.  Return false and change nothing if INDEX was applied
 * before.
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
        change->tables =
            apply_replace(catalog, index, &command->u.tables, change);
        break;
    case CATALOG_ANNOUNCE:
        change->targets = apply_announce(catalog, index, &command->u.target);
        break;
    case CATALOG_LEAVE:
        change->targets = apply_leave(catalog, index, &command->u.target);
        break;
    case CATALOG_PRESENCE:
        change->targets = apply_presence(catalog, index, &command->u.target);
        break;
    case CATALOG_VOTER:
        if (command->u.voter.index < CATALOG_VOTERS_MAX) {
            voter = &catalog->voters[command->u.voter.index];
            voter->address = command->u.voter.address;
            voter->revision = index;
            change->voters = true;
        }
        break;
    case CATALOG_ZONE:
        catalog_apply_zone(catalog, index, &command->u.zone, change);
        break;
    case CATALOG_COMMAND__MAX:
        break;
    }
    catalog->revision = index;
    if (change->targets || change->tables || change->zones) {
        catalog->changed_revision = index;
        purge_removed(catalog);
    }
    return true;
}

/* Advance the revision to INDEX without applying a command. */
void
catalog_skip(struct catalog *catalog, uint64_t index)
{
    catalog->revision = MAX(catalog->revision, index);
}

/* Return true if A and B are equal except for key and revision. */
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

/* Mark every route that is not in TABLES as removed. */
static void
remove_unlisted_routes(struct catalog *catalog, uint64_t index,
                       const struct catalog_tables *tables)
{
    GHashTable *listed = g_hash_table_new(g_int64_hash, g_int64_equal);
    GHashTableIter iter;
    gpointer key, value;

    for (guint i = 0; i < tables->routes->len; i++) {
        g_hash_table_add(
            listed,
            &g_array_index(tables->routes, struct catalog_route, i).key);
    }
    g_hash_table_iter_init(&iter, catalog->routes);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        struct catalog_route *route = value;

        if (!route->removed && !g_hash_table_contains(listed, key)) {
            route->removed = true;
            route->revision = index;
        }
    }
    g_hash_table_destroy(listed);
}

/* Return true if A started after B; of two that started at once, the one with
 * the higher host did. */
static bool
started_later(const struct catalog_target *a, const struct catalog_target *b)
{
    return a->incarnation != b->incarnation ? a->incarnation > b->incarnation
                                            : a->host > b->host;
}

/*
 * Return a new table of the targets that are to own their addresses: of
 * several at one address the one that started last.
 */
static GHashTable *
choose_owners(const struct catalog *catalog)
{
    GHashTable *owners =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);

    for (guint i = 0; i < catalog->sorted_targets->len; i++) {
        struct catalog_target *target = catalog->sorted_targets->pdata[i];
        uint64_t key = catalog_endpoint_key(target->address, target->port);
        const struct catalog_target *other = g_hash_table_lookup(owners, &key);

        if (catalog_may_own_address(catalog, target) &&
            (other == NULL || started_later(target, other))) {
            g_hash_table_replace(owners, g_memdup2(&key, sizeof(key)), target);
        }
    }
    return owners;
}

/*
 * Settle which targets own their addresses, after tables have named further
 * pools; the others at these addresses are gone.  Return true if any is.
 */
static bool
settle_addresses(struct catalog *catalog, uint64_t index)
{
    GHashTable *owners = choose_owners(catalog);
    bool changed = false;

    for (guint i = 0; i < catalog->sorted_targets->len; i++) {
        struct catalog_target *target = catalog->sorted_targets->pdata[i];
        uint64_t key = catalog_endpoint_key(target->address, target->port);

        if (catalog_may_own_address(catalog, target) &&
            g_hash_table_lookup(owners, &key) != target) {
            target->state = CATALOG_GONE;
            target->revision = index;
            changed = true;
        }
    }
    g_hash_table_destroy(owners);
    catalog_rebuild_indexes(catalog);
    return changed;
}

/* Put TABLES in force and return true; return false and change nothing if
 * their version is not higher than the one in force.  Store in CHANGE whether
 * targets have changed. */
static bool
apply_replace(struct catalog *catalog, uint64_t index,
              const struct catalog_tables *tables,
              struct catalog_change *change)
{
    guint pool_count = g_hash_table_size(catalog->pools);
    GHashTableIter iter;
    gpointer key, value;

    if (tables->version <= catalog->version) {
        return false;
    }
    remove_unlisted_routes(catalog, index, tables);
    for (guint i = 0; i < tables->routes->len; i++) {
        struct catalog_route route =
            g_array_index(tables->routes, struct catalog_route, i);
        const struct catalog_route *existing =
            g_hash_table_lookup(catalog->routes, &route.key);

        if (existing == NULL || !same_route(existing, &route)) {
            route.revision = index;
            catalog_put_route(catalog, &route);
        }
    }
    g_hash_table_iter_init(&iter, tables->pools);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        catalog_put_pool(catalog, *(uint64_t *)key, value);
    }
    if (g_hash_table_size(catalog->pools) != pool_count) {
        change->targets = settle_addresses(catalog, index);
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
 * Return true if TARGET, an announcement, is outdated: it is of an earlier
 * incarnation, out of order, of an incarnation that is gone, or of a host
 * whose address now belongs to one that started later; or if it contradicts
 * what the same incarnation has said of its pool or address, or names a pool
 * of no tables for a host that owns its address.
 */
static bool
is_outdated(const struct catalog *catalog, const struct catalog_target *target)
{
    const struct catalog_target *existing =
        catalog_find_target(catalog, target->host);
    const struct catalog_target *other =
        catalog_find_target_at(catalog, target->address, target->port);

    if (existing != NULL && target->incarnation < existing->incarnation) {
        return true;
    }
    if (existing != NULL && target->incarnation == existing->incarnation &&
        (existing->state == CATALOG_GONE ||
         target->sequence <= existing->sequence ||
         target->pool.value != existing->pool.value ||
         target->address != existing->address ||
         target->port != existing->port)) {
        return true;
    }
    if (existing != NULL && catalog_may_own_address(catalog, existing) &&
        !catalog_has_pool(catalog, target->pool)) {
        return true;
    }
    return other != NULL && other->host != target->host &&
           other->incarnation > target->incarnation;
}

/* Return true if applying the announcement TARGET would change more than the
 * sequence number. */
bool
catalog_announce_is_new(const struct catalog *catalog,
                        const struct catalog_target *target)
{
    const struct catalog_target *existing =
        catalog_find_target(catalog, target->host);

    if (is_outdated(catalog, target)) {
        return false;
    }
    return existing == NULL || existing->incarnation != target->incarnation ||
           existing->address != target->address ||
           existing->port != target->port ||
           existing->pool.value != target->pool.value ||
           existing->zone != target->zone ||
           existing->slots != target->slots ||
           existing->state != target->state || existing->missing ||
           (existing->cold_ms > 0) != (target->cold_ms > 0);
}

/*
 * Apply an announcement, and mark a target of another host at its address as
 * gone if tables have named the announced pool.  Return false if the
 * announcement changes nothing.
 */
static bool
apply_announce(struct catalog *catalog, uint64_t index,
               const struct catalog_target *target)
{
    struct catalog_target row = *target;
    const struct catalog_target *other;

    if (!catalog_announce_is_new(catalog, target)) {
        return false;
    }
    other = catalog_find_target_at(catalog, target->address, target->port);
    if (other != NULL && other->host != target->host &&
        catalog_may_own_address(catalog, target)) {
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

/* Mark the target as gone; return false if it is already gone, is unknown, or
 * has a later incarnation.  A leave with incarnation 0 (unknown) applies to
 * any incarnation. */
static bool
apply_leave(struct catalog *catalog, uint64_t index,
            const struct catalog_target *target)
{
    const struct catalog_target *existing =
        catalog_find_target(catalog, target->host);
    struct catalog_target row;

    if (existing == NULL || existing->state == CATALOG_GONE ||
        (target->incarnation != 0 &&
         target->incarnation < existing->incarnation)) {
        return false;
    }
    row = *existing;
    row.state = CATALOG_GONE;
    row.revision = index;
    catalog_put_target(catalog, &row);
    return true;
}

/* Mark the target as missing or present; return false if that changes nothing,
 * concerns another incarnation, or the target is unknown or gone. */
static bool
apply_presence(struct catalog *catalog, uint64_t index,
               const struct catalog_target *target)
{
    const struct catalog_target *existing =
        catalog_find_target(catalog, target->host);
    struct catalog_target row;

    if (existing == NULL || existing->incarnation != target->incarnation ||
        existing->missing == target->missing ||
        existing->state == CATALOG_GONE) {
        return false;
    }
    row = *existing;
    row.missing = target->missing;
    row.revision = index;
    catalog_put_target(catalog, &row);
    return true;
}

/*
 * If CATALOG_REMOVED_MAX or more rows are removed routes or gone targets,
 * purge those that changed more than CATALOG_REMOVED_MAX / 2 revisions ago.
 * An older replica then gets the whole catalog.
 */
static void
purge_removed(struct catalog *catalog)
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
    catalog->min_base_revision = MAX(catalog->min_base_revision, keep);
    catalog_rebuild_indexes(catalog);
}
