/* The catalog's rows, and look-ups in them. */
#include "catalog/catalog.h"

#include <string.h>

#include "base/hash.h"
#include "catalog/catalog_state.h"

static gint by_host(gconstpointer, gconstpointer);
static guint place_of(const struct catalog *, uint64_t host);
static bool goes_before(const struct catalog_target *,
                        const struct catalog_target *);
static void index_target(struct catalog *, struct catalog_target *);
static void unindex(struct catalog *, const struct catalog_target *);

/* An empty catalog at revision 0. */
struct catalog *
catalog_new(void)
{
    struct catalog *catalog = g_new0(struct catalog, 1);

    catalog->pools =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    catalog->routes =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    catalog->targets =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    catalog->cookies = g_hash_table_new(NULL, NULL);
    catalog->addresses =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    catalog->sorted = g_ptr_array_new();
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
    g_ptr_array_unref(catalog->sorted);
    g_free(catalog);
}

/* Drop every row; the revision stays. */
void
catalog_reset(struct catalog *catalog)
{
    g_hash_table_remove_all(catalog->pools);
    g_hash_table_remove_all(catalog->routes);
    g_hash_table_remove_all(catalog->targets);
    catalog_rebuild_indexes(catalog);
}

/* The key of a route's or a target's address and port. */
uint64_t
catalog_endpoint_key(uint32_t address, uint16_t port)
{
    return (uint64_t)address << 16 | port;
}

/*
 * The number that packets of open flows carry for the target on HOST, so that
 * any daemon finds the target without a table of flows (Cheetah, NSDI 20).
 */
uint32_t
catalog_cookie(uint64_t host)
{
    uint32_t cookie = (uint32_t)hash_pair(host, 0);

    return cookie == 0 ? 1 : cookie;
}

void
catalog_put_route(struct catalog *catalog, const struct catalog_route *route)
{
    struct catalog_route *own = g_memdup2(route, sizeof(*route));

    g_hash_table_replace(catalog->routes, &own->key, own);
}

/* The place of HOST in the sorted targets, or where it would stand. */
static guint
place_of(const struct catalog *catalog, uint64_t host)
{
    guint low = 0, high = catalog->sorted->len;

    while (low < high) {
        guint middle = low + (high - low) / 2;
        const struct catalog_target *target = catalog->sorted->pdata[middle];

        if (target->host < host) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

/* Set a target's row and bring the indexes up to date. */
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
        g_ptr_array_insert(catalog->sorted, (gint)place_of(catalog, own->host),
                           own);
    }
    else {
        unindex(catalog, own);
    }
    *own = *target;
    own->cookie = catalog_cookie(own->host);
    own->cookie_clashes = false;
    index_target(catalog, own);
    if (own->state == CATALOG_GONE && catalog->clashes > 0) {
        catalog_rebuild_indexes(catalog);
    }
}

void
catalog_put_pool(struct catalog *catalog, uint64_t id, const char *name)
{
    g_hash_table_replace(catalog->pools, g_memdup2(&id, sizeof(id)),
                         g_strdup(name));
}

static gint
by_host(gconstpointer a, gconstpointer b)
{
    const struct catalog_target *x = *(struct catalog_target *const *)a;
    const struct catalog_target *y = *(struct catalog_target *const *)b;

    return x->host < y->host ? -1 : x->host > y->host;
}

/* True if A keeps a cookie that both have: it started first. */
static bool
goes_before(const struct catalog_target *a, const struct catalog_target *b)
{
    if ((a->state == CATALOG_GONE) != (b->state == CATALOG_GONE)) {
        return b->state == CATALOG_GONE;
    }
    return a->incarnation != b->incarnation ? a->incarnation < b->incarnation
                                            : a->host < b->host;
}

/*
 * Enter TARGET into the indexes.  Cookies of targets that are gone are found
 * too, but give way to living ones.  Where two living targets have one cookie,
 * the one that started later gets no flows; all daemons see that alike.
 */
static void
index_target(struct catalog *catalog, struct catalog_target *target)
{
    gpointer cookie = GUINT_TO_POINTER(target->cookie);
    struct catalog_target *holder =
        g_hash_table_lookup(catalog->cookies, cookie);

    if (target->state != CATALOG_GONE) {
        uint64_t key = catalog_endpoint_key(target->address, target->port);

        g_hash_table_insert(catalog->addresses, g_memdup2(&key, sizeof(key)),
                            target);
    }
    if (holder == NULL || holder == target || goes_before(target, holder)) {
        g_hash_table_insert(catalog->cookies, cookie, target);
        if (holder != NULL && holder != target &&
            holder->state != CATALOG_GONE) {
            holder->cookie_clashes = true;
            catalog->clashes++;
        }
    }
    else if (target->state != CATALOG_GONE) {
        target->cookie_clashes = true;
        catalog->clashes++;
    }
}

/* Take TARGET, whose row is about to change, out of the indexes. */
static void
unindex(struct catalog *catalog, const struct catalog_target *target)
{
    uint64_t key = catalog_endpoint_key(target->address, target->port);

    if (g_hash_table_lookup(catalog->addresses, &key) == target) {
        g_hash_table_remove(catalog->addresses, &key);
    }
    catalog->clashes -= target->cookie_clashes ? 1 : 0;
}

/* Make the indexes anew, after rows were dropped. */
void
catalog_rebuild_indexes(struct catalog *catalog)
{
    GHashTableIter iter;
    gpointer key, value;

    g_ptr_array_set_size(catalog->sorted, 0);
    g_hash_table_remove_all(catalog->cookies);
    g_hash_table_remove_all(catalog->addresses);
    catalog->clashes = 0;
    g_hash_table_iter_init(&iter, catalog->targets);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        g_ptr_array_add(catalog->sorted, value);
    }
    g_ptr_array_sort(catalog->sorted, by_host);
    for (guint i = 0; i < catalog->sorted->len; i++) {
        struct catalog_target *target = catalog->sorted->pdata[i];

        target->cookie_clashes = false;
        index_target(catalog, target);
    }
}

/* The living target at an address, or NULL. */
const struct catalog_target *
catalog_find_address(const struct catalog *catalog, uint32_t address,
                     uint16_t port)
{
    uint64_t key = catalog_endpoint_key(address, port);

    return g_hash_table_lookup(catalog->addresses, &key);
}

uint64_t
catalog_revision(const struct catalog *catalog)
{
    return catalog->revision;
}

uint64_t
catalog_changed_revision(const struct catalog *catalog)
{
    return catalog->changed;
}

/* The operator's version in force; 0 before the first. */
uint64_t
catalog_version(const struct catalog *catalog)
{
    return catalog->version;
}

uint32_t
catalog_idle_ms(const struct catalog *catalog)
{
    return catalog->idle_ms;
}

/* The operator's document in force, or NULL; borrowed. */
GBytes *
catalog_document(const struct catalog *catalog)
{
    return catalog->document;
}

/* The name of POOL, or "unknown". */
const char *
catalog_pool_name(const struct catalog *catalog, struct pool_id pool)
{
    const char *name = g_hash_table_lookup(catalog->pools, &pool.value);

    return name == NULL ? "unknown" : name;
}

/* CATALOG_VOTERS_MAX voters. */
const struct catalog_voter *
catalog_voters(const struct catalog *catalog)
{
    return catalog->voters;
}

/* The route in force for KEY, or NULL. */
const struct catalog_route *
catalog_find_route(const struct catalog *catalog, uint64_t key)
{
    const struct catalog_route *route =
        g_hash_table_lookup(catalog->routes, &key);

    return route == NULL || route->removed ? NULL : route;
}

/* The target on HOST, perhaps one that is gone, or NULL. */
const struct catalog_target *
catalog_find_target(const struct catalog *catalog, uint64_t host)
{
    return g_hash_table_lookup(catalog->targets, &host);
}

/* The target that COOKIE names, perhaps one that is gone, or NULL. */
const struct catalog_target *
catalog_find_cookie(const struct catalog *catalog, uint32_t cookie)
{
    return g_hash_table_lookup(catalog->cookies, GUINT_TO_POINTER(cookie));
}

/* Routes in force. */
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

const GPtrArray *
catalog_targets(const struct catalog *catalog)
{
    return catalog->sorted;
}

/* Make TABLES empty. */
void
catalog_tables_init(struct catalog_tables *tables)
{
    memset(tables, 0, sizeof(*tables));
    tables->routes = g_array_new(FALSE, TRUE, sizeof(struct catalog_route));
    tables->pools =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
}

/* Name a pool that routes may use. */
void
catalog_tables_add_pool(struct catalog_tables *tables, const char *name)
{
    uint64_t id = view_pool_id(name).value;

    g_hash_table_replace(tables->pools, g_memdup2(&id, sizeof(id)),
                         g_strdup(name));
}

/* Drop what TABLES owns. */
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

/* Drop what COMMAND owns. */
void
catalog_command_clear(struct catalog_command *command)
{
    if (command->kind == CATALOG_REPLACE) {
        catalog_tables_clear(&command->u.tables);
    }
}
