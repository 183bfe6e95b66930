/* Names of rows and reasons, copies of rows, and views of rows. */
#include "table/table.h"

#include <string.h>

#define WEIGHT_DEFAULT 100

struct reason_row {
    const char *name;
    enum err_code code;
};

static const struct reason_row reasons[TABLE_REASON__MAX] = {
    [TABLE_ACCEPTED] = {"accepted", ERR_REFUSED},
    [TABLE_CONFLICT] = {"conflict", ERR_CONFLICT},
    [TABLE_TOO_OLD] = {"too-old", ERR_CONFLICT},
    [TABLE_POOL_MISSING] = {"pool-missing", ERR_REFUSED},
    [TABLE_POOL_IN_USE] = {"pool-in-use", ERR_REFUSED},
    [TABLE_ADDRESS_TAKEN] = {"address-taken", ERR_REFUSED},
    [TABLE_BAD_NAME] = {"bad-name", ERR_INPUT},
    [TABLE_BAD_VALUE] = {"bad-value", ERR_INPUT},
    [TABLE_NO_SUCH_ROW] = {"no-such-row", ERR_NOT_FOUND},
    [TABLE_FULL] = {"full", ERR_LIMIT},
    [TABLE_MALFORMED] = {"malformed", ERR_INPUT},
    [TABLE_EPOCH_CHANGED] = {"epoch-changed", ERR_CONFLICT},
};

static const char *const kind_names[TABLE_KIND__MAX] = {
    [TABLE_POOL] = "pool",
    [TABLE_ROUTE] = "route",
};

/*
 * Return the name of REASON as the administration API reports it.  The names
 * are stable.
 */
const char *
table_reason_name(enum table_reason reason)
{
    return reason < TABLE_REASON__MAX ? reasons[reason].name : "unknown";
}

/* Return the error code of a refusal for REASON. */
enum err_code
table_reason_code(enum table_reason reason)
{
    return reason < TABLE_REASON__MAX ? reasons[reason].code : ERR_REFUSED;
}

/* Return "pool" or "route". */
const char *
table_kind_name(enum table_kind kind)
{
    return kind < TABLE_KIND__MAX ? kind_names[kind] : "unknown";
}

/* Return the name of ROW, which is valid as long as ROW. */
const char *
table_row_name(const struct table_row *row)
{
    switch (row->kind) {
    case TABLE_POOL:
        return row->u.pool.name;
    case TABLE_ROUTE:
        return row->u.route.name;
    case TABLE_KIND__MAX:
        break;
    }
    return "";
}

/*
 * Copy FROM to TO.  The former contents of TO are overwritten without being
 * freed; the caller frees the copy with table_row_clear().
 */
void
table_row_copy(struct table_row *to, const struct table_row *from)
{
    struct table_pool *pool = &to->u.pool;

    *to = *from;
    if (to->kind != TABLE_POOL) {
        return;
    }
    pool->drain =
        g_memdup2(pool->drain, pool->drain_count * sizeof(*pool->drain));
    pool->weights =
        g_memdup2(pool->weights, pool->weight_count * sizeof(*pool->weights));
}

/* Free the memory that ROW owns, and set ROW to zero. */
void
table_row_clear(struct table_row *row)
{
    if (row->kind == TABLE_POOL) {
        g_free(row->u.pool.drain);
        g_free(row->u.pool.weights);
    }
    memset(row, 0, sizeof(*row));
}

/* Free the memory that COMMAND owns, and set COMMAND to zero. */
void
table_command_clear(struct table_command *command)
{
    if (command->kind == TABLE_COMMAND_EDIT) {
        table_row_clear(&command->u.edit.row);
    }
    memset(command, 0, sizeof(*command));
}

/* Fill VIEW from ROW of the routes table. */
void
table_route_view(const struct table_row *row, struct route_view *view)
{
    const struct table_route *route = &row->u.route;

    *view = (struct route_view){
        .address = route->address,
        .port = route->port,
        .kind = route->kind,
        .pool = view_pool_id(route->pool),
        .version = row->version,
        .new_flows_per_s = route->new_flows_per_s,
    };
}

/* Fill VIEW from ROW of the pools table, without any targets. */
void
table_pool_view(const struct table_row *row, struct pool_view *view)
{
    const struct table_pool *pool = &row->u.pool;

    *view = (struct pool_view){
        .id = view_pool_id(pool->name),
        .version = row->version,
        .prefer = pool->prefer,
        .queue_limit = pool->queue_limit,
    };
}

/*
 * Return true if POOL lists the target at ADDRESS (IPv4, host byte order) as
 * to be drained.
 */
bool
table_pool_drains(const struct table_pool *pool, uint32_t address)
{
    for (size_t i = 0; i < pool->drain_count; i++) {
        if (pool->drain[i] == address) {
            return true;
        }
    }
    return false;
}

/*
 * Return the weight of the target at ADDRESS (IPv4, host byte order): the one
 * that POOL lists for it, or the default.
 */
uint16_t
table_pool_weight(const struct table_pool *pool, uint32_t address)
{
    for (size_t i = 0; i < pool->weight_count; i++) {
        if (pool->weights[i].address == address) {
            return pool->weights[i].weight;
        }
    }
    return WEIGHT_DEFAULT;
}
