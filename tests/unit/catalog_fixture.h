/* A catalog for tests, and functions that apply commands to it. */
#ifndef PS_TESTS_CATALOG_FIXTURE_H
#define PS_TESTS_CATALOG_FIXTURE_H

#include <string.h>

#include "catalog/catalog.h"

#define ROUTE_ADDRESS 0xc6120001U /* 198.18.0.1 */

/* A catalog and the index of its last command. */
struct catalog_fixture {
    struct catalog *catalog;
    uint64_t index;
    struct catalog_change change; /* of the last command */
};

/* Apply COMMAND at the next index. */
static inline void
apply(struct catalog_fixture *fixture, const struct catalog_command *command)
{
    catalog_apply(fixture->catalog, ++fixture->index, command,
                  &fixture->change);
}

/* Return a command with tables of VERSION: COUNT routes to POOL, at ports from
 * 1.  The caller clears it. */
static inline struct catalog_command
make_tables(uint64_t version, const char *pool, unsigned count)
{
    struct catalog_command command;
    char *document = g_strdup_printf("version %u", (unsigned)version);

    command.kind = CATALOG_REPLACE;
    catalog_tables_init(&command.u.tables);
    command.u.tables.version = version;
    command.u.tables.idle_ms = 15000;
    command.u.tables.document = g_bytes_new_take(document, strlen(document));
    catalog_tables_add_pool(&command.u.tables, pool, -1);
    for (unsigned i = 0; i < count; i++) {
        struct catalog_route route;

        memset(&route, 0, sizeof(route));
        route.key = catalog_endpoint_key(ROUTE_ADDRESS, (uint16_t)(i + 1));
        route.timeout_ms = 1000;
        route.goal_ms = 100;
        route.priority = 1;
        catalog_route_add_split(&route, view_pool_id(pool), 1);
        g_array_append_val(command.u.tables.routes, route);
    }
    return command;
}

/* Put tables of VERSION in force: COUNT routes to POOL, at ports from 1. */
static inline void
replace(struct catalog_fixture *fixture, uint64_t version, const char *pool,
        unsigned count)
{
    struct catalog_command command = make_tables(version, pool, count);

    apply(fixture, &command);
    catalog_command_clear(&command);
}

/* Return a ready target of POOL on HOST, at the address 10.0.0.0 plus HOST. */
static inline struct catalog_target
make_target(uint64_t host, uint64_t incarnation, uint64_t sequence,
            const char *pool)
{
    struct catalog_target target;

    memset(&target, 0, sizeof(target));
    target.host = host;
    target.incarnation = incarnation;
    target.sequence = sequence;
    target.address = 0x0a000000U + (uint32_t)host;
    target.port = 8080;
    target.pool = view_pool_id(pool);
    target.zone = 1;
    target.slots = 2;
    return target;
}

/* Apply the command KIND, which concerns TARGET. */
static inline void
apply_target_command(struct catalog_fixture *fixture,
                     enum catalog_command_kind kind,
                     const struct catalog_target *target)
{
    struct catalog_command command;

    command.kind = kind;
    command.u.target = *target;
    apply(fixture, &command);
}

/* Announce a ready target of POOL on HOST. */
static inline void
announce(struct catalog_fixture *fixture, uint64_t host, uint64_t incarnation,
         uint64_t sequence, const char *pool)
{
    struct catalog_target target =
        make_target(host, incarnation, sequence, pool);

    apply_target_command(fixture, CATALOG_ANNOUNCE, &target);
}

#endif
