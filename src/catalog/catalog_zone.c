/* Orders to empty availability zones, and to restore them. */
#include <string.h>

#include "base/hash.h"
#include "catalog/catalog_state.h"

static struct catalog_zone *find_row(const struct catalog *, uint32_t zone);
static void mark_cold(struct catalog *, uint64_t index,
                      const struct catalog_zone_order *);

/* Return the row of ZONE, or NULL if there was never an order for it. */
static struct catalog_zone *
find_row(const struct catalog *catalog, uint32_t zone)
{
    for (guint i = 0; i < catalog->zones->len; i++) {
        struct catalog_zone *row =
            &g_array_index(catalog->zones, struct catalog_zone, i);

        if (row->zone == zone) {
            return row;
        }
    }
    return NULL;
}

/* Return the row of ZONE, which belongs to CATALOG and is valid until the next
 * change; NULL if there was never an order for it. */
const struct catalog_zone *
catalog_find_zone(const struct catalog *catalog, uint32_t zone)
{
    return find_row(catalog, zone);
}

/* Return true if the targets of ZONE are to get no new flows. */
bool
catalog_zone_is_emptied(const struct catalog *catalog, uint32_t zone)
{
    const struct catalog_zone *row = find_row(catalog, zone);

    return row != NULL && row->emptied;
}

/* Return the number of zones that are emptied. */
size_t
catalog_emptied_count(const struct catalog *catalog)
{
    size_t count = 0;

    for (guint i = 0; i < catalog->zones->len; i++) {
        count += g_array_index(catalog->zones, struct catalog_zone, i).emptied
                     ? 1
                     : 0;
    }
    return count;
}

/* Return the zones with an order, struct catalog_zone each; the array belongs
 * to CATALOG. */
const GArray *
catalog_zones(const struct catalog *catalog)
{
    return catalog->zones;
}

/* Add a copy of ZONE, or replace its row. */
void
catalog_put_zone(struct catalog *catalog, const struct catalog_zone *zone)
{
    struct catalog_zone *row = find_row(catalog, zone->zone);
    struct catalog_zone own = *zone;

    own.name = g_strdup(zone->name);
    if (row != NULL) {
        g_free(row->name);
        *row = own;
        return;
    }
    g_array_append_val(catalog->zones, own);
}

/*
 * Count the ready targets of a restored zone as cold, since they may have been
 * idle or started again while they got no flows.  Each one's next announcement
 * says whether it is.
 */
static void
mark_cold(struct catalog *catalog, uint64_t index,
          const struct catalog_zone_order *order)
{
    for (guint i = 0; i < catalog->sorted_targets->len; i++) {
        struct catalog_target row =
            *(struct catalog_target *)catalog->sorted_targets->pdata[i];

        if (row.zone != order->zone.zone || row.state == CATALOG_GONE) {
            continue;
        }
        row.cold_ms = MAX(row.cold_ms, order->cold_ms);
        row.owner = order->owner_count == 0
                        ? 0
                        : order->owners[hash_pair(row.host, index) %
                                        order->owner_count];
        row.revision = index;
        catalog_put_target(catalog, &row);
    }
}

/*
 * Apply ORDER, committed at INDEX, and store in CHANGE what changed.  An order
 * that is in force already changes nothing.  One that was given on an older
 * row than the present one is outdated: it was delayed behind a newer order.
 */
void
catalog_apply_zone(struct catalog *catalog, uint64_t index,
                   const struct catalog_zone_order *order,
                   struct catalog_change *change)
{
    const struct catalog_zone *present = find_row(catalog, order->zone.zone);
    struct catalog_zone row = order->zone;
    uint64_t revision = present == NULL ? 0 : present->revision;

    if ((present != NULL && present->emptied) == row.emptied) {
        return;
    }
    if (revision != order->base) {
        change->outdated = true;
        return;
    }
    row.revision = index;
    catalog_put_zone(catalog, &row);
    change->zones = true;
    if (!row.emptied && order->cold_ms > 0) {
        mark_cold(catalog, index, order);
        change->targets = true;
    }
}
