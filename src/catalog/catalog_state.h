/* The members of struct catalog, private to src/catalog. */
#ifndef PS_CATALOG_CATALOG_STATE_H
#define PS_CATALOG_CATALOG_STATE_H

#include "catalog/catalog.h"

struct catalog {
    uint64_t revision;
    uint64_t min_base_revision; /* lowest base of a partial update; older
                                 * removed rows were purged */
    uint64_t version;
    uint64_t tables_revision;
    uint64_t changed_revision; /* last that changed a route or target */
    uint32_t idle_ms;
    GBytes *document;  /* NULL before the first tables, and on entry daemons */
    GHashTable *pools; /* id -> struct catalog_pool */
    GHashTable *routes;    /* key -> struct catalog_route, removed ones too */
    GHashTable *targets;   /* host -> struct catalog_target, gone ones too */
    GHashTable *cookies;   /* cookie -> struct catalog_target */
    GHashTable *addresses; /* address and port -> the target that owns them */
    GPtrArray *sorted_targets; /* targets by host */
    unsigned clashes;          /* targets with cookie_clashes */
    struct catalog_voter voters[CATALOG_VOTERS_MAX];
    GArray *zones; /* struct catalog_zone: those with an order, ever */
};

void catalog_reset(struct catalog *);
void catalog_put_route(struct catalog *, const struct catalog_route *);
void catalog_put_target(struct catalog *, const struct catalog_target *);
void catalog_put_pool(struct catalog *, uint64_t id,
                      const struct catalog_pool *);
void catalog_put_zone(struct catalog *, const struct catalog_zone *);
void catalog_rebuild_indexes(struct catalog *);
void catalog_apply_zone(struct catalog *, uint64_t index,
                        const struct catalog_zone_order *,
                        struct catalog_change *);
bool catalog_may_own_address(const struct catalog *,
                             const struct catalog_target *);
const struct catalog_target *catalog_find_target_at(const struct catalog *,
                                                    uint32_t address,
                                                    uint16_t port);

#endif
