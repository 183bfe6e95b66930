/* Packs catalog updates and merges received ones. */
#include <string.h>

#include "catalog/catalog_state.h"
#include "peer/catalog_wire.h"

static void add_routes(const struct catalog *, uint64_t from,
                       bool skip_removed, Parsleyspur__CatalogUpdate *);
static void add_targets(const struct catalog *, uint64_t from,
                        Parsleyspur__CatalogUpdate *);
static void add_zones(const struct catalog *, uint64_t from,
                      Parsleyspur__CatalogUpdate *);
static void add_pools(const struct catalog *, Parsleyspur__CatalogUpdate *);
static bool merge_rows(struct catalog *, const Parsleyspur__CatalogUpdate *);
static void merge_header(struct catalog *, const Parsleyspur__CatalogUpdate *);

/* Add the routes changed after the revision FROM to UPDATE. */
static void
add_routes(const struct catalog *catalog, uint64_t from, bool skip_removed,
           Parsleyspur__CatalogUpdate *update)
{
    GHashTableIter iter;
    gpointer key, value;

    g_hash_table_iter_init(&iter, catalog->routes);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct catalog_route *route = value;

        if (route->revision > from && !(route->removed && skip_removed)) {
            catalog_wire_add_route(update, route);
        }
    }
}

/* Add the targets changed after the revision FROM to UPDATE. */
static void
add_targets(const struct catalog *catalog, uint64_t from,
            Parsleyspur__CatalogUpdate *update)
{
    for (guint i = 0; i < catalog->sorted_targets->len; i++) {
        const struct catalog_target *target =
            catalog->sorted_targets->pdata[i];

        if (target->revision > from) {
            catalog_wire_add_target(update, target);
        }
    }
}

/* Add the zones changed after the revision FROM to UPDATE. */
static void
add_zones(const struct catalog *catalog, uint64_t from,
          Parsleyspur__CatalogUpdate *update)
{
    for (guint i = 0; i < catalog->zones->len; i++) {
        const struct catalog_zone *zone =
            &g_array_index(catalog->zones, struct catalog_zone, i);

        if (zone->revision > from) {
            catalog_wire_add_zone(update, zone);
        }
    }
}

/* Add all pools to UPDATE. */
static void
add_pools(const struct catalog *catalog, Parsleyspur__CatalogUpdate *update)
{
    GHashTableIter iter;
    gpointer key, value;

    g_hash_table_iter_init(&iter, catalog->pools);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        catalog_wire_add_pool(update, *(uint64_t *)key, value);
    }
}

/*
 * Append an update with the rows changed after the revision FROM to BYTES, or
 * the whole catalog if FROM is 0 or too old.  With the scope CATALOG_COMPLETE
 * a whole catalog also has the removed routes, since the receiver may have to
 * send them to other daemons.
 */
void
catalog_pack_update(const struct catalog *catalog, uint64_t from,
                    enum catalog_scope scope, GByteArray *bytes)
{
    Parsleyspur__CatalogUpdate *update = g_malloc0(sizeof(*update));
    gsize len = 0;

    parsleyspur__catalog_update__init(update);
    if (from < catalog->min_base_revision) {
        from = 0;
    }
    update->from = from;
    update->to = catalog->revision;
    update->whole = from == 0;
    update->version = catalog->version;
    update->idle_ms = catalog->idle_ms;
    update->tables_revision = catalog->tables_revision;
    update->changed = catalog->changed_revision;
    update->floor = catalog->min_base_revision;
    add_routes(catalog, from, update->whole && scope == CATALOG_FOR_ENTRY,
               update);
    add_targets(catalog, from, update);
    add_zones(catalog, from, update);
    if (catalog->tables_revision > from) {
        add_pools(catalog, update);
    }
    if (scope == CATALOG_COMPLETE) {
        for (size_t i = 0; i < CATALOG_VOTERS_MAX; i++) {
            catalog_wire_add_voter(update, i, &catalog->voters[i]);
        }
    }
    if (scope == CATALOG_COMPLETE && catalog->document != NULL &&
        catalog->tables_revision > from) {
        const void *document = g_bytes_get_data(catalog->document, &len);

        update->document.data = g_memdup2(document, len);
        update->document.len = len;
    }
    catalog_wire_append(&update->base, bytes);
    parsleyspur__catalog_update__free_unpacked(update, NULL);
}

/* Store the rows of UPDATE; return false at the first invalid row. */
static bool
merge_rows(struct catalog *catalog, const Parsleyspur__CatalogUpdate *update)
{
    struct catalog_route route;
    struct catalog_target target;
    struct catalog_pool pool;
    struct catalog_zone zone;
    guint pool_count = g_hash_table_size(catalog->pools);

    for (size_t i = 0; i < update->n_pools; i++) {
        catalog_wire_read_pool(update->pools[i], &pool);
        catalog_put_pool(catalog, update->pools[i]->id, &pool);
    }
    for (size_t i = 0; i < update->n_routes; i++) {
        if (!catalog_wire_read_route(update->routes[i], &route)) {
            return false;
        }
        catalog_put_route(catalog, &route);
        catalog_route_clear(&route);
    }
    for (size_t i = 0; i < update->n_targets; i++) {
        if (!catalog_wire_read_target(update->targets[i], &target)) {
            return false;
        }
        catalog_put_target(catalog, &target);
    }
    for (size_t i = 0; i < update->n_zones; i++) {
        catalog_wire_read_zone(update->zones[i], &zone);
        catalog_put_zone(catalog, &zone);
    }
    if (g_hash_table_size(catalog->pools) != pool_count) {
        catalog_rebuild_indexes(catalog); /* more targets own addresses */
    }
    return true;
}

/* Store the revisions, the version, the voters and the document of UPDATE. */
static void
merge_header(struct catalog *catalog, const Parsleyspur__CatalogUpdate *update)
{
    catalog->revision = update->to;
    catalog->changed_revision = update->changed;
    catalog->min_base_revision =
        MAX(catalog->min_base_revision, update->floor);
    catalog->version = update->version;
    catalog->idle_ms = update->idle_ms;
    catalog->tables_revision = update->tables_revision;
    for (size_t i = 0; i < update->n_voters; i++) {
        if (update->voters[i]->voter < CATALOG_VOTERS_MAX) {
            catalog->voters[update->voters[i]->voter] = (struct catalog_voter){
                update->voters[i]->address, update->voters[i]->revision};
        }
    }
    if (update->document.len > 0) {
        if (catalog->document != NULL) {
            g_bytes_unref(catalog->document);
        }
        catalog->document =
            g_bytes_new(update->document.data, update->document.len);
    }
}

/*
 * Merge an update of LEN bytes and store in CHANGE the parts that changed.  An
 * update that is not newer changes nothing, so the revision never decreases.
 * Return false if the bytes are not a valid update, or one that starts at a
 * later revision than the catalog's.
 */
bool
catalog_merge(struct catalog *catalog, const uint8_t *data, size_t len,
              struct catalog_change *change)
{
    Parsleyspur__CatalogUpdate *update =
        parsleyspur__catalog_update__unpack(NULL, len, data);
    bool ok = true;

    memset(change, 0, sizeof(*change));
    if (update == NULL) {
        return false;
    }
    if (update->from > catalog->revision) {
        ok = false;
    }
    else if (update->to > catalog->revision) {
        if (update->whole) {
            catalog_reset(catalog);
        }
        change->tables = update->tables_revision != catalog->tables_revision;
        change->targets = update->n_targets > 0 || update->whole;
        change->voters = update->n_voters > 0;
        change->zones = update->n_zones > 0 || update->whole;
        ok = merge_rows(catalog, update);
        merge_header(catalog, update);
    }
    parsleyspur__catalog_update__free_unpacked(update, NULL);
    return ok;
}
