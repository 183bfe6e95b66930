/*
 * Validation of rows and edits that does not depend on the tables' contents.
 */
#include <stdarg.h>
#include <string.h>

#include "table/table.h"

#define MULTICAST_FIRST 0xe0000000U /* 224.0.0.0; host addresses are lower */

static bool check_address(uint32_t, const char *, struct table_result *);
static bool check_pool(const struct table_pool *, struct table_result *);
static bool check_route(const struct table_route *, struct table_result *);
static bool check_team(const char *, struct table_result *);

/*
 * Set RESULT to a refusal for REASON with a formatted message, which is
 * truncated to TABLE_MESSAGE_MAX bytes.  The version in RESULT stays.  The
 * answers to edits are part of the replicated state, so the message must be
 * the same on all replicas.
 */
void
table_result_refuse(struct table_result *result, enum table_reason reason,
                    const char *format, ...)
{
    va_list args;

    result->reason = reason;
    va_start(args, format);
    g_vsnprintf(result->message, sizeof(result->message), format, args);
    va_end(args);
}

/*
 * Return true if NAME has 1 to 63 characters of a-z, 0-9, '.', '_' and '-',
 * and begins with a letter or digit.
 */
bool
table_name_valid(const char *name)
{
    size_t len = strlen(name);

    if (len == 0 || len >= TABLE_NAME_MAX || !g_ascii_isalnum(name[0])) {
        return false;
    }
    for (size_t i = 0; i < len; i++) {
        if (!g_ascii_islower(name[i]) && !g_ascii_isdigit(name[i]) &&
            strchr("._-", name[i]) == NULL) {
            return false;
        }
    }
    return true;
}

/*
 * Return true if ROW is valid by itself.  Otherwise set RESULT to a refusal
 * with the cause and a remedy.
 */
bool
table_row_check(const struct table_row *row, struct table_result *result)
{
    const char *name = table_row_name(row);

    if (!table_name_valid(name)) {
        table_result_refuse(result, TABLE_BAD_NAME,
                            "%s name \"%.80s\" cannot be taken; use 1 to 63 "
                            "of a-z, 0-9, '.', '_', '-', a letter or digit "
                            "first",
                            table_kind_name(row->kind), name);
        return false;
    }
    switch (row->kind) {
    case TABLE_POOL:
        return check_pool(&row->u.pool, result);
    case TABLE_ROUTE:
        return check_route(&row->u.route, result);
    case TABLE_KIND__MAX:
        break;
    }
    return false;
}

/*
 * Return true if EDIT, and the row that it sets, are valid by themselves.
 * Otherwise set RESULT to a refusal with the cause and a remedy.
 */
bool
table_edit_check(const struct table_edit *edit, struct table_result *result)
{
    const char *name = table_row_name(&edit->row);

    if (edit->id[0] == '\0') {
        table_result_refuse(result, TABLE_BAD_VALUE,
                            "the edit has no id; give one of 1 to 64 "
                            "printable characters, the same when resent");
        return false;
    }
    for (const char *c = edit->id; *c != '\0'; c++) {
        if (!g_ascii_isgraph(*c)) {
            table_result_refuse(result, TABLE_BAD_VALUE,
                                "the edit id has a space or an unprintable "
                                "character; use letters, digits and signs");
            return false;
        }
    }
    if (edit->operation == TABLE_SET) {
        return table_row_check(&edit->row, result);
    }
    if (!table_name_valid(name)) {
        table_result_refuse(result, TABLE_BAD_NAME,
                            "no %s can be called \"%.80s\"; name an "
                            "existing row",
                            table_kind_name(edit->row.kind), name);
        return false;
    }
    return true;
}

/* Return true if TEAM is a valid name or empty; otherwise refuse in RESULT. */
static bool
check_team(const char *team, struct table_result *result)
{
    if (team[0] == '\0' || table_name_valid(team)) {
        return true;
    }
    table_result_refuse(result, TABLE_BAD_NAME,
                        "team \"%.80s\" cannot be taken; use 1 to 63 of "
                        "a-z, 0-9, '.', '_', '-', or leave it out",
                        team);
    return false;
}

/*
 * Return true if ADDRESS (IPv4, host byte order) is unicast; otherwise refuse
 * in RESULT with a message that calls it WHAT.
 */
static bool
check_address(uint32_t address, const char *what, struct table_result *result)
{
    if (address != 0 && address < MULTICAST_FIRST) {
        return true;
    }
    table_result_refuse(result, TABLE_BAD_VALUE,
                        "%s address %u.%u.%u.%u is no host's; give a "
                        "unicast IPv4 address",
                        what, address >> 24, address >> 16 & 255,
                        address >> 8 & 255, address & 255);
    return false;
}

/*
 * Return true if POOL's team, drained targets and weights are valid; otherwise
 * refuse in RESULT.
 */
static bool
check_pool(const struct table_pool *pool, struct table_result *result)
{
    if (!check_team(pool->team, result)) {
        return false;
    }
    if (pool->drain_count > TABLE_TARGETS_MAX ||
        pool->weight_count > TABLE_TARGETS_MAX) {
        table_result_refuse(result, TABLE_BAD_VALUE,
                            "pool %s names more than %d targets to drain or "
                            "to weigh; split the pool",
                            pool->name, TABLE_TARGETS_MAX);
        return false;
    }
    for (size_t i = 0; i < pool->drain_count; i++) {
        if (!check_address(pool->drain[i], "drained", result)) {
            return false;
        }
    }
    for (size_t i = 0; i < pool->weight_count; i++) {
        const struct table_weight *weight = &pool->weights[i];

        if (!check_address(weight->address, "weighted", result)) {
            return false;
        }
        if (weight->weight == 0 || weight->weight > TABLE_WEIGHT_MAX) {
            table_result_refuse(result, TABLE_BAD_VALUE,
                                "pool %s has a weight of %u; give 1 to %d, "
                                "and drain a target that shall get nothing",
                                pool->name, weight->weight, TABLE_WEIGHT_MAX);
            return false;
        }
    }
    return true;
}

/*
 * Return true if ROUTE's team, address and pool name are valid; otherwise
 * refuse in RESULT.
 */
static bool
check_route(const struct table_route *route, struct table_result *result)
{
    if (!check_team(route->team, result) ||
        !check_address(route->address, "route", result)) {
        return false;
    }
    if (!table_name_valid(route->pool)) {
        table_result_refuse(result, TABLE_BAD_NAME,
                            "route %s names no pool that can exist: "
                            "\"%.80s\"; name an existing pool",
                            route->name, route->pool);
        return false;
    }
    return true;
}
