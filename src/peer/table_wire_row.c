/*
 * Conversion of rows to and from protobuf, and memory management of changes,
 * answers and updates.
 */
#include "peer/table_wire_row.h"

#include <string.h>

#include "peer/table_wire.h"

static bool pool_from_pb(const Parsleyspur__TablePool *, struct table_pool *);
static bool route_from_pb(const Parsleyspur__TableRoute *,
                          struct table_route *);
static bool copy_string(const char *, char *, size_t);

/*
 * Convert ROW to PB, which refers to the strings and arrays of ROW and must
 * not outlive it.  The caller frees PB with table_wire_row_clear().
 */
void
table_wire_row_to_pb(struct table_wire_row *pb, const struct table_row *row)
{
    const struct table_route *route = &row->u.route;
    const struct table_pool *pool = &row->u.pool;

    parsleyspur__table_row__init(&pb->row);
    parsleyspur__table_route__init(&pb->route);
    parsleyspur__table_pool__init(&pb->pool);
    if (row->kind == TABLE_ROUTE) {
        pb->route.name = (char *)route->name;
        pb->route.pool = (char *)route->pool;
        pb->route.team = (char *)route->team;
        pb->route.address = route->address;
        pb->route.port = route->port;
        pb->route.kind = route->kind;
        pb->route.new_flows_per_s = route->new_flows_per_s;
        pb->row.route = &pb->route;
        return;
    }
    pb->pool.name = (char *)pool->name;
    pb->pool.team = (char *)pool->team;
    pb->pool.prefer = pool->prefer;
    pb->pool.queue_limit = pool->queue_limit;
    pb->pool.n_drain = pool->drain_count;
    pb->pool.drain = pool->drain;
    pb->pool.n_weight_address = pool->weight_count;
    pb->pool.n_weight = pool->weight_count;
    pb->pool.weight_address = g_new(uint32_t, pool->weight_count);
    pb->pool.weight = g_new(uint32_t, pool->weight_count);
    for (size_t i = 0; i < pool->weight_count; i++) {
        pb->pool.weight_address[i] = pool->weights[i].address;
        pb->pool.weight[i] = pool->weights[i].weight;
    }
    pb->row.pool = &pb->pool;
}

/* Free the memory that table_wire_row_to_pb() allocated. */
void
table_wire_row_clear(struct table_wire_row *pb)
{
    g_free(pb->pool.weight_address);
    g_free(pb->pool.weight);
}

/* Copy FROM to TO of SIZE bytes; return false if FROM is too long. */
static bool
copy_string(const char *from, char *to, size_t size)
{
    return g_strlcpy(to, from, size) < size;
}

/* Convert PB to ROUTE; return false if a member of PB is out of range. */
static bool
route_from_pb(const Parsleyspur__TableRoute *pb, struct table_route *route)
{
    if (pb->port > UINT16_MAX || pb->kind >= ROUTE__MAX) {
        return false;
    }
    route->address = pb->address;
    route->port = (uint16_t)pb->port;
    route->kind = (enum route_kind)pb->kind;
    route->new_flows_per_s = pb->new_flows_per_s;
    return copy_string(pb->name, route->name, sizeof(route->name)) &&
           copy_string(pb->pool, route->pool, sizeof(route->pool)) &&
           copy_string(pb->team, route->team, sizeof(route->team));
}

/*
 * Convert PB to POOL; return false if a member of PB is out of range.  The
 * arrays of POOL are freed with its row in both cases.
 */
static bool
pool_from_pb(const Parsleyspur__TablePool *pb, struct table_pool *pool)
{
    if (pb->prefer >= POOL_PREFER__MAX ||
        pb->n_weight != pb->n_weight_address ||
        !copy_string(pb->name, pool->name, sizeof(pool->name)) ||
        !copy_string(pb->team, pool->team, sizeof(pool->team))) {
        return false;
    }
    pool->prefer = (enum pool_prefer)pb->prefer;
    pool->queue_limit = pb->queue_limit;
    pool->drain_count = pb->n_drain;
    pool->drain = g_memdup2(pb->drain, pb->n_drain * sizeof(*pool->drain));
    pool->weight_count = pb->n_weight;
    pool->weights = g_new0(struct table_weight, pb->n_weight);
    for (size_t i = 0; i < pb->n_weight; i++) {
        if (pb->weight[i] > UINT16_MAX) {
            return false;
        }
        pool->weights[i].address = pb->weight_address[i];
        pool->weights[i].weight = (uint16_t)pb->weight[i];
    }
    return true;
}

/*
 * Convert PB, which may be NULL, to ROW.  Return false if PB is NULL or
 * malformed.  The caller frees ROW with table_row_clear() in both cases.
 */
bool
table_wire_row_from_pb(const Parsleyspur__TableRow *pb, struct table_row *row)
{
    memset(row, 0, sizeof(*row));
    if (pb == NULL || (pb->route == NULL) == (pb->pool == NULL)) {
        return false;
    }
    if (pb->route != NULL) {
        row->kind = TABLE_ROUTE;
        return route_from_pb(pb->route, &row->u.route);
    }
    row->kind = TABLE_POOL;
    return pool_from_pb(pb->pool, &row->u.pool);
}

/* Return a change with a copy of ROW; table_change_free() frees it. */
struct table_change *
table_change_new(bool remove, const struct table_row *row)
{
    struct table_change *change = g_new0(struct table_change, 1);

    change->remove = remove;
    table_row_copy(&change->row, row);
    return change;
}

/* Free ITEM, a struct table_change. */
void
table_change_free(void *item)
{
    struct table_change *change = item;

    table_row_clear(&change->row);
    g_free(change);
}

/*
 * Return an answer with copies of ID and of MESSAGE, which may be NULL;
 * table_answer_free() frees it.
 */
struct table_answer *
table_answer_new(const char *id, enum table_reason reason, uint64_t version,
                 const char *message)
{
    struct table_answer *answer = g_new0(struct table_answer, 1);

    g_strlcpy(answer->id, id, sizeof(answer->id));
    answer->reason = reason;
    answer->version = version;
    if (message != NULL && message[0] != '\0') {
        answer->message = g_strdup(message);
    }
    return answer;
}

/* Free ITEM, a struct table_answer. */
void
table_answer_free(void *item)
{
    struct table_answer *answer = item;

    g_free(answer->message);
    g_free(answer);
}

/* Make UPDATE an empty difference; table_update_clear() frees it. */
void
table_update_init(struct table_update *update)
{
    memset(update, 0, sizeof(*update));
    update->changes = g_ptr_array_new_with_free_func(table_change_free);
    update->epochs = g_array_new(FALSE, FALSE, sizeof(struct table_epoch));
    update->answers = g_ptr_array_new_with_free_func(table_answer_free);
}

/* Free the memory that UPDATE owns, and set UPDATE to zero. */
void
table_update_clear(struct table_update *update)
{
    g_ptr_array_unref(update->changes);
    g_array_unref(update->epochs);
    g_ptr_array_unref(update->answers);
    memset(update, 0, sizeof(*update));
}
