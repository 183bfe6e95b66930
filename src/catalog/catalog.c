/* Stores the catalog's rows and finds them by their indexes. */
#include "catalog/catalog.h"

#include <string.h>

#include "base/hash.h"
#include "catalog/catalog_state.h"

static GHashTable *new_pool_table(void);
static void free_pool(gpointer);
static void put_pool(GHashTable *, uint64_t id, const struct catalog_pool *);
static void clear_zone(gpointer);
static void free_route(gpointer);
static gint compare_hosts(gconstpointer, gconstpointer);
static guint sorted_position(const struct catalog *, uint64_t host);
static bool has_precedence(const struct catalog_target *,
                           const struct catalog_target *);
static void index_target(struct catalog *, struct catalog_target *);
static void unindex_target(struct catalog *, const struct catalog_target *);
static bool lacks_pool(const struct catalog *, const struct catalog_route *);

/* Return an empty table of pools by id, which owns its rows. */
static GHashTable *
new_pool_table(void)
{
    return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                 free_pool);
}

/* Free a row of a table of pools. */
static void
free_pool(gpointer data)
{
    struct catalog_pool *pool = data;

    g_free(pool->name);
    g_free(pool);
}

/* Add a copy of POOL with ID to POOLS, or replace the row with that id. */
static void
put_pool(GHashTable *pools, uint64_t id, const struct catalog_pool *pool)
{
    struct catalog_pool *own = g_memdup2(pool, sizeof(*pool));

    own->name = g_strdup(pool->name);
    g_hash_table_replace(pools, g_memdup2(&id, sizeof(id)), own);
}

/* Free the members of a row of the zones. */
static void
clear_zone(gpointer data)
{
    struct catalog_zone *zone = data;

    g_free(zone->name);
}

/* Free a row of the routes. */
static void
free_route(gpointer data)
{
    catalog_route_clear(data);
    g_free(data);
}

/* Return an empty catalog at revision 0; catalog_free() frees it. */
struct catalog *
catalog_new(void)
{
    struct catalog *catalog = g_new0(struct catalog, 1);

    catalog->pools = new_pool_table();
    catalog->routes =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_route);
    catalog->targets =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    catalog->cookies = g_hash_table_new(NULL, NULL);
    catalog->addresses =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    catalog->sorted_targets = g_ptr_array_new();
    catalog->zones = g_array_new(FALSE, FALSE, sizeof(struct catalog_zone));
    g_array_set_clear_func(catalog->zones, clear_zone);
    return catalog;
}

/* Free CATALOG; NULL is allowed. */
void
catalog_free(struct catalog *catalog)
{
    if (catalog == NULL) {
        return;
    }
    if (catalog->document != NULL) {
        g_bytes_unref(catalog->document);
    }
    g_hash_table_destroy(catalog->pools);
    g_hash_table_destroy(catalog->routes);
    g_hash_table_destroy(catalog->targets);
    g_hash_table_destroy(catalog->cookies);
    g_hash_table_destroy(catalog->addresses);
    g_ptr_array_unref(catalog->sorted_targets);
    g_array_unref(catalog->zones);
    g_free(catalog);
}

/* Remove all pools, routes, targets and zones; the revision stays. */
void
catalog_reset(struct catalog *catalog)
{
    g_hash_table_remove_all(catalog->pools);
    g_hash_table_remove_all(catalog->routes);
    g_hash_table_remove_all(catalog->targets);
    g_array_set_size(catalog->zones, 0);
    catalog_rebuild_indexes(catalog);
}

/* Return the key of the address and port of a route or a target. */
uint64_t
catalog_endpoint_key(uint32_t address, uint16_t port)
{
    return (uint64_t)address << 16 | port;
}

/*
 * Return the cookie of the target on HOST, never 0.  Packets of open flows
 * carry it, so that any daemon finds the target without a flow table (Cheetah,
 * NSDI 20).
 */
uint32_t
catalog_cookie(uint64_t host)
{
    uint32_t cookie = (uint32_t)hash_pair(host, 0);

    return cookie == 0 ? 1 : cookie;
}

/* Add a copy of ROUTE, or replace the row with its key. */
void
catalog_put_route(struct catalog *catalog, const struct catalog_route *route)
{
    struct catalog_route *own = g_memdup2(route, sizeof(*route));

    own->splits =
        g_memdup2(route->splits, route->split_count * sizeof(*route->splits));
    g_hash_table_replace(catalog->routes, &own->key, own);
}

/* Return the index of HOST in the sorted targets, or the one to insert it
 * at. */
static guint
sorted_position(const struct catalog *catalog, uint64_t host)
{
    guint low = 0, high = catalog->sorted_targets->len;

    while (low < high) {
        guint middle = low + (high - low) / 2;
        const struct catalog_target *target =
            catalog->sorted_targets->pdata[middle];

        if (target->host < host) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

/* Add a copy of TARGET, or replace the row of its host; update the indexes. */
void
catalog_put_target(struct catalog *catalog,
                   const struct catalog_target *target)
{
    struct catalog_target *own =
        g_hash_table_lookup(catalog->targets, &target->host);

    if (own == NULL) {
        own = g_new0(struct catalog_target, 1);
        own->host = target->host;
        g_hash_table_insert(catalog->targets, &own->host, own);
        g_ptr_array_insert(catalog->sorted_targets,
                           (gint)sorted_position(catalog, own->host), own);
    }
    else {
        unindex_target(catalog, own);
    }
    *own = *target;
    own->cookie = catalog_cookie(own->host);
    own->cookie_clashes = false;
    index_target(catalog, own);
    if (own->state == CATALOG_GONE && catalog->clashes > 0) {
        catalog_rebuild_indexes(catalog);
    }
}

/* Add a copy of POOL with ID, or replace the row with that id. */
void
catalog_put_pool(struct catalog *catalog, uint64_t id,
                 const struct catalog_pool *pool)
{
    put_pool(catalog->pools, id, pool);
}

/* Compare the hosts of two targets, for sorting an array of pointers. */
static gint
compare_hosts(gconstpointer a, gconstpointer b)
{
    const struct catalog_target *x = *(struct catalog_target *const *)a;
    const struct catalog_target *y = *(struct catalog_target *const *)b;

    return x->host < y->host ? -1 : x->host > y->host;
}

/*
 * Return true if A, not B, keeps a cookie that both have: a live target has
 * precedence over one that is gone, then the one that started first.
 */
static bool
has_precedence(const struct catalog_target *a, const struct catalog_target *b)
{
    if ((a->state == CATALOG_GONE) != (b->state == CATALOG_GONE)) {
        return b->state == CATALOG_GONE;
    }
    return a->incarnation != b->incarnation ? a->incarnation < b->incarnation
                                            : a->host < b->host;
}

/*
 * Return true if TARGET may own its address: it is live, and tables have named
 * its pool.  Any other announcement may be that of a writer that names no
 * target.
 */
bool
catalog_may_own_address(const struct catalog *catalog,
                        const struct catalog_target *target)
{
    return target->state != CATALOG_GONE &&
           catalog_has_pool(catalog, target->pool);
}

/*
 * Add TARGET to the indexes.  The cookie of a target that is gone is kept
 * until a live target has the same one.  If two live targets have the same
 * cookie, the one that started later gets no new flows; all daemons agree on
 * which it is.
 */
static void
index_target(struct catalog *catalog, struct catalog_target *target)
{
    gpointer cookie = GUINT_TO_POINTER(target->cookie);
    struct catalog_target *other =
        g_hash_table_lookup(catalog->cookies, cookie);

    if (catalog_may_own_address(catalog, target)) {
        uint64_t key = catalog_endpoint_key(target->address, target->port);

        g_hash_table_insert(catalog->addresses, g_memdup2(&key, sizeof(key)),
                            target);
    }
    if (other == NULL || other == target || has_precedence(target, other)) {
        g_hash_table_insert(catalog->cookies, cookie, target);
        if (other != NULL && other != target && other->state != CATALOG_GONE) {
            other->cookie_clashes = true;
            catalog->clashes++;
        }
    }
    else if (target->state != CATALOG_GONE) {
        target->cookie_clashes = true;
        catalog->clashes++;
    }
}

/* Remove TARGET, whose row is about to change, from the index of addresses and
 * the count of clashes. */
static void
unindex_target(struct catalog *catalog, const struct catalog_target *target)
{
    uint64_t key = catalog_endpoint_key(target->address, target->port);

    if (g_hash_table_lookup(catalog->addresses, &key) == target) {
        g_hash_table_remove(catalog->addresses, &key);
    }
    catalog->clashes -= target->cookie_clashes ? 1 : 0;
}

/* Rebuild the indexes, after rows were removed. */
void
catalog_rebuild_indexes(struct catalog *catalog)
{
    GHashTableIter iter;
    gpointer key, value;

    g_ptr_array_set_size(catalog->sorted_targets, 0);
    g_hash_table_remove_all(catalog->cookies);
    g_hash_table_remove_all(catalog->addresses);
    catalog->clashes = 0;
    g_hash_table_iter_init(&iter, catalog->targets);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        g_ptr_array_add(catalog->sorted_targets, value);
    }
    g_ptr_array_sort(catalog->sorted_targets, compare_hosts);
    for (guint i = 0; i < catalog->sorted_targets->len; i++) {
        struct catalog_target *target = catalog->sorted_targets->pdata[i];

        target->cookie_clashes = false;
        index_target(catalog, target);
    }
}

/* Return the target that owns ADDRESS and PORT, or NULL. */
const struct catalog_target *
catalog_find_target_at(const struct catalog *catalog, uint32_t address,
                       uint16_t port)
{
    uint64_t key = catalog_endpoint_key(address, port);

    return g_hash_table_lookup(catalog->addresses, &key);
}

/* Return the log index of the last command that was applied or skipped. */
uint64_t
catalog_revision(const struct catalog *catalog)
{
    return catalog->revision;
}

/* Return the last revision that changed a route or a target. */
uint64_t
catalog_changed_revision(const struct catalog *catalog)
{
    return catalog->changed_revision;
}

/* Return the operator's version in force; 0 before the first. */
uint64_t
catalog_version(const struct catalog *catalog)
{
    return catalog->version;
}

/* Return the silence in ms after which a flow may be removed; 0 before the
 * first tables. */
uint32_t
catalog_idle_ms(const struct catalog *catalog)
{
    return catalog->idle_ms;
}

/* Return the operator's document in force, or NULL; it belongs to CATALOG. */
GBytes *
catalog_document(const struct catalog *catalog)
{
    return catalog->document;
}

/* Return the name of POOL, or "unknown"; it belongs to CATALOG. */
const char *
catalog_pool_name(const struct catalog *catalog, struct pool_id pool)
{
    const struct catalog_pool *row =
        g_hash_table_lookup(catalog->pools, &pool.value);

    return row == NULL ? "unknown" : row->name;
}

/* Return true if any tables so far have named POOL. */
bool
catalog_has_pool(const struct catalog *catalog, struct pool_id pool)
{
    return g_hash_table_contains(catalog->pools, &pool.value);
}

/* Return the requests a second that a cold target of POOL bears; below 0 if
 * not limited. */
double
catalog_pool_cold_per_s(const struct catalog *catalog, struct pool_id pool)
{
    const struct catalog_pool *row =
        g_hash_table_lookup(catalog->pools, &pool.value);

    return row == NULL ? -1 : row->cold_per_s;
}

/* Return an array of CATALOG_VOTERS_MAX voters; it belongs to CATALOG. */
const struct catalog_voter *
catalog_voters(const struct catalog *catalog)
{
    return catalog->voters;
}

/* Return the route in force for KEY, or NULL. */
const struct catalog_route *
catalog_find_route(const struct catalog *catalog, uint64_t key)
{
    const struct catalog_route *route =
        g_hash_table_lookup(catalog->routes, &key);

    return route == NULL || route->removed ? NULL : route;
}

/* Return the target on HOST, which may be gone, or NULL. */
const struct catalog_target *
catalog_find_target(const struct catalog *catalog, uint64_t host)
{
    return g_hash_table_lookup(catalog->targets, &host);
}

/* Return the target with COOKIE, which may be gone, or NULL. */
const struct catalog_target *
catalog_find_cookie(const struct catalog *catalog, uint32_t cookie)
{
    return g_hash_table_lookup(catalog->cookies, GUINT_TO_POINTER(cookie));
}

/* Return the number of routes in force. */
size_t
catalog_route_count(const struct catalog *catalog)
{
    GHashTableIter iter;
    gpointer key, value;
    size_t count = 0;

    g_hash_table_iter_init(&iter, catalog->routes);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        count += ((struct catalog_route *)value)->removed ? 0 : 1;
    }
    return count;
}

/* Return true if a pool of ROUTE is in no tables so far. */
static bool
lacks_pool(const struct catalog *catalog, const struct catalog_route *route)
{
    for (size_t i = 0; i < route->split_count; i++) {
        if (!catalog_has_pool(catalog, route->splits[i].pool)) {
            return true;
        }
    }
    return false;
}

/*
 * Return the number of routes in force to a pool that no tables name.  Tables
 * with such a route are refused, so any number but 0 is a fault of this
 * program: the targets of these routes are refused, too.
 */
size_t
catalog_routes_without_pool(const struct catalog *catalog)
{
    GHashTableIter iter;
    gpointer key, value;
    size_t count = 0;

    g_hash_table_iter_init(&iter, catalog->routes);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct catalog_route *route = value;

        count += !route->removed && lacks_pool(catalog, route) ? 1 : 0;
    }
    return count;
}

/* Return all targets, sorted by host; the array belongs to CATALOG. */
const GPtrArray *
catalog_targets(const struct catalog *catalog)
{
    return catalog->sorted_targets;
}

/* Add POOL, which gets new flows by WEIGHT, to ROUTE.  catalog_route_clear()
 * frees what ROUTE holds. */
void
catalog_route_add_split(struct catalog_route *route, struct pool_id pool,
                        uint32_t weight)
{
    route->splits =
        g_renew(struct catalog_split, route->splits, route->split_count + 1);
    route->splits[route->split_count].pool = pool;
    route->splits[route->split_count].weight = weight;
    route->split_count++;
}

/* Free the members of the struct catalog_route at ROUTE. */
void
catalog_route_clear(struct catalog_route *route)
{
    g_free(route->splits);
    route->splits = NULL;
    route->split_count = 0;
}

/* Initialize TABLES as empty; catalog_tables_clear() frees the members. */
void
catalog_tables_init(struct catalog_tables *tables)
{
    memset(tables, 0, sizeof(*tables));
    tables->routes = g_array_new(FALSE, TRUE, sizeof(struct catalog_route));
    g_array_set_clear_func(tables->routes,
                           (GDestroyNotify)catalog_route_clear);
    tables->pools = new_pool_table();
}

/* Add the pool NAME, which routes may use, to TABLES; its cold targets bear
 * COLD_PER_S requests a second, below 0 if that is not limited. */
void
catalog_tables_add_pool(struct catalog_tables *tables, const char *name,
                        double cold_per_s)
{
    struct catalog_pool pool = {.name = g_strdup(name),
                                .cold_per_s = cold_per_s};

    catalog_tables_put_pool(tables, view_pool_id(name), &pool);
    g_free(pool.name);
}

/* Add a copy of POOL to TABLES, under the ID by which the routes name it. */
void
catalog_tables_put_pool(struct catalog_tables *tables, struct pool_id id,
                        const struct catalog_pool *pool)
{
    put_pool(tables->pools, id.value, pool);
}

/* Free the members of TABLES and set them to 0. */
void
catalog_tables_clear(struct catalog_tables *tables)
{
    if (tables->document != NULL) {
        g_bytes_unref(tables->document);
    }
    if (tables->routes != NULL) {
        g_array_unref(tables->routes);
    }
    if (tables->pools != NULL) {
        g_hash_table_destroy(tables->pools);
    }
    memset(tables, 0, sizeof(*tables));
}

/* Free the members of COMMAND. */
void
catalog_command_clear(struct catalog_command *command)
{
    switch (command->kind) {
    case CATALOG_REPLACE:
        catalog_tables_clear(&command->u.tables);
        break;
    case CATALOG_ZONE:
        g_free(command->u.zone.zone.name);
        command->u.zone.zone.name = NULL;
        break;
    case CATALOG_ANNOUNCE:
    case CATALOG_LEAVE:
    case CATALOG_PRESENCE:
    case CATALOG_VOTER:
    case CATALOG_COMMAND__MAX:
        break;
    }
}
