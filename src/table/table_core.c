/*
 * Application of committed commands to the tables, and queries of the tables.
 */
#include "table/table_core.h"

#include <string.h>

#include "table/table_state.h"

static void apply_edit(struct table_core *, const struct table_edit *,
                       struct table_result *);
static void apply_epoch(struct table_core *, const struct table_epoch *,
                        struct table_result *);
static bool check_base(const struct table_core *, const struct table_edit *,
                       struct table_result *);
static bool check_delete(const struct table_core *, const struct table_edit *,
                         struct table_result *);
static bool check_edit(const struct table_core *, const struct table_edit *,
                       struct table_result *);
static bool check_row_limit(const struct table_core *, enum table_kind,
                            struct table_result *);
static const struct table_row *find_pool_by_vni(const struct table_core *,
                                                uint32_t vni);
static bool check_set_pool(const struct table_core *,
                           const struct table_pool *, struct table_result *);
static bool check_set_route(const struct table_core *,
                            const struct table_route *, struct table_result *);
static void refuse_missing_pool(const struct table_core *,
                                const struct table_route *,
                                struct table_result *);
static const struct table_row *find_route_to_pool(const struct table_core *,
                                                  const char *);

/*
 * Apply the committed command of LEN bytes at DATA with log index INDEX, and
 * fill RESULT.  Return false and leave the tables unchanged if INDEX was
 * already applied.  Bytes that do not decode to a command are refused, in the
 * same way on every replica.
 */
bool
table_core_apply(struct table_core *core, uint64_t index, const uint8_t *data,
                 size_t len, struct table_result *result)
{
    struct table_command command;

    memset(result, 0, sizeof(*result));
    result->version = core->position.version;
    if (index <= core->applied) {
        return false;
    }
    core->applied = index;
    if (!table_wire_unpack_command(data, len, &command)) {
        table_result_refuse(result, TABLE_MALFORMED,
                            "%zu bytes are no command of this version; "
                            "run the same release everywhere",
                            len);
        return true;
    }
    switch (command.kind) {
    case TABLE_COMMAND_EDIT:
        apply_edit(core, &command.u.edit, result);
        break;
    case TABLE_COMMAND_CALL_EPOCH:
        apply_epoch(core, &command.u.call_epoch, result);
        break;
    case TABLE_COMMAND__MAX:
        break;
    }
    table_command_clear(&command);
    return true;
}

/*
 * Apply EDIT and fill RESULT.  A resent edit gets its first answer again, if
 * that is still kept.
 */
static void
apply_edit(struct table_core *core, const struct table_edit *edit,
           struct table_result *result)
{
    struct table_row row = edit->row; /* shallow copy, not cleared */
    bool remove = edit->operation == TABLE_DELETE;

    if (table_answers_find(core, edit->id, result)) {
        return;
    }
    if (check_edit(core, edit, result)) {
        core->position.version++;
        row.version = core->position.version;
        result->version = row.version;
        if (remove) {
            table_state_remove(core, row.kind, table_row_name(&row));
        }
        else {
            table_state_set(core, &row);
        }
        table_state_record_change(core, remove, &row);
    }
    if (edit->id[0] != '\0' && result->reason != TABLE_TOO_OLD) {
        table_answers_add(core, edit->id, result);
    }
}

/* Return true if EDIT can be applied now; otherwise refuse in RESULT. */
static bool
check_edit(const struct table_core *core, const struct table_edit *edit,
           struct table_result *result)
{
    if (!table_edit_check(edit, result) || !check_base(core, edit, result)) {
        return false;
    }
    if (edit->operation == TABLE_DELETE) {
        return check_delete(core, edit, result);
    }
    if (edit->row.kind == TABLE_POOL) {
        return check_set_pool(core, &edit->row.u.pool, result);
    }
    return check_set_route(core, &edit->row.u.route, result);
}

/*
 * Return true if EDIT is based on the current version; otherwise refuse in
 * RESULT.  This ensures that an accepted edit is never applied twice, even if
 * its answer is no longer kept.
 */
static bool
check_base(const struct table_core *core, const struct table_edit *edit,
           struct table_result *result)
{
    uint64_t current = core->position.version;

    if (edit->base_version == current) {
        return true;
    }
    if (edit->base_version < core->answers_min_version) {
        table_result_refuse(result, TABLE_TOO_OLD,
                            "edit %s is built on version %" G_GUINT64_FORMAT
                            ", too old to know whether it was answered; "
                            "read the row at version %" G_GUINT64_FORMAT
                            " and edit that if needed",
                            edit->id, edit->base_version, current);
        return false;
    }
    table_result_refuse(result, TABLE_CONFLICT,
                        "edit %s is built on version %" G_GUINT64_FORMAT
                        ", but the current one is %" G_GUINT64_FORMAT
                        "; read the row again and send a new edit",
                        edit->id, edit->base_version, current);
    return false;
}

/*
 * Return true if the row that EDIT deletes exists and, if it is a pool, no
 * route refers to it; otherwise refuse in RESULT.
 */
static bool
check_delete(const struct table_core *core, const struct table_edit *edit,
             struct table_result *result)
{
    enum table_kind kind = edit->row.kind;
    const char *name = table_row_name(&edit->row);
    const struct table_row *route;

    if (table_core_row(core, kind, name) == NULL) {
        table_result_refuse(result, TABLE_NO_SUCH_ROW,
                            "%s %s does not exist; list the %ss for their "
                            "names",
                            table_kind_name(kind), name,
                            table_kind_name(kind));
        return false;
    }
    route = kind == TABLE_POOL ? find_route_to_pool(core, name) : NULL;
    if (route == NULL) {
        return true;
    }
    table_result_refuse(result, TABLE_POOL_IN_USE,
                        "pool %s is still named by route %s; delete the "
                        "route or point it to another pool first",
                        name, route->u.route.name);
    return false;
}

/*
 * Return true if the table of KIND has fewer rows than its maximum; otherwise
 * refuse in RESULT.
 */
static bool
check_row_limit(const struct table_core *core, enum table_kind kind,
                struct table_result *result)
{
    uint32_t max = kind == TABLE_POOL ? core->options.pools_max
                                      : core->options.routes_max;

    if (table_core_count(core, kind) < max) {
        return true;
    }
    table_result_refuse(result, TABLE_FULL,
                        "there are %u %ss already, the most there may be; "
                        "delete one first",
                        max, table_kind_name(kind));
    return false;
}

/*
 * Return the row of the pool whose name gives VNI, or NULL.  The VNI is
 * derived from the pool id, and that from the name, so equal ids give equal
 * VNIs.
 */
static const struct table_row *
find_pool_by_vni(const struct table_core *core, uint32_t vni)
{
    GTreeNode *node = g_tree_node_first(core->rows[TABLE_POOL]);

    for (; node != NULL; node = g_tree_node_next(node)) {
        const struct table_row *row = g_tree_node_value(node);

        if (view_pool_vni(view_pool_id(row->u.pool.name)) == vni) {
            return row;
        }
    }
    return NULL;
}

/*
 * Return true if POOL exists or can be created: no other pool has its VNI and
 * the table is not full.  Otherwise refuse in RESULT.
 */
static bool
check_set_pool(const struct table_core *core, const struct table_pool *pool,
               struct table_result *result)
{
    const struct table_row *other;

    if (table_core_row(core, TABLE_POOL, pool->name) != NULL) {
        return true;
    }
    other = find_pool_by_vni(core, view_pool_vni(view_pool_id(pool->name)));
    if (other != NULL) {
        table_result_refuse(result, TABLE_BAD_NAME,
                            "pool %s has the same network identifier as pool "
                            "%s; give it another name",
                            pool->name, other->u.pool.name);
        return false;
    }
    return check_row_limit(core, TABLE_POOL, result);
}

/*
 * Return true if ROUTE can be set: its pool exists, no other route uses its
 * address and port, and a new route fits in the table.  Otherwise refuse in
 * RESULT.
 */
static bool
check_set_route(const struct table_core *core, const struct table_route *route,
                struct table_result *result)
{
    const GPtrArray *routes;

    if (table_core_row(core, TABLE_POOL, route->pool) == NULL) {
        refuse_missing_pool(core, route, result);
        return false;
    }
    routes =
        g_hash_table_lookup(core->addresses, GUINT_TO_POINTER(route->address));
    for (guint i = 0; routes != NULL && i < routes->len; i++) {
        const struct table_row *row = routes->pdata[i];
        const struct table_route *other = &row->u.route;

        if (strcmp(other->name, route->name) == 0) {
            continue;
        }
        if (other->port == route->port || other->port == 0 ||
            route->port == 0) {
            table_result_refuse(result, TABLE_ADDRESS_TAKEN,
                                "route %s: address and port (%u) are taken "
                                "by route %s with port %u, 0 being all; "
                                "change or delete that one first",
                                route->name, route->port, other->name,
                                other->port);
            return false;
        }
    }
    if (table_core_row(core, TABLE_ROUTE, route->name) != NULL) {
        return true;
    }
    return check_row_limit(core, TABLE_ROUTE, result);
}

/*
 * Refuse ROUTE in RESULT because its pool is missing.  The message lists the
 * first few existing pools.
 */
static void
refuse_missing_pool(const struct table_core *core,
                    const struct table_route *route,
                    struct table_result *result)
{
    GTreeNode *node = g_tree_node_first(core->rows[TABLE_POOL]);
    GString *names = g_string_new(NULL);

    while (node != NULL && names->len < TABLE_NAME_MAX) {
        g_string_append_printf(names, "%s%s", names->len != 0 ? ", " : "",
                               (const char *)g_tree_node_key(node));
        node = g_tree_node_next(node);
    }
    table_result_refuse(result, TABLE_POOL_MISSING,
                        "route %s: pool \"%s\" does not exist; create it "
                        "first%s%s%s",
                        route->name, route->pool,
                        names->len != 0 ? " or name one of: " : "", names->str,
                        node != NULL ? ", ..." : "");
    g_string_free(names, TRUE);
}

/* Return the first route by name that refers to POOL, or NULL. */
static const struct table_row *
find_route_to_pool(const struct table_core *core, const char *pool)
{
    GTreeNode *node = g_tree_node_first(core->rows[TABLE_ROUTE]);

    for (; node != NULL; node = g_tree_node_next(node)) {
        const struct table_row *row = g_tree_node_value(node);

        if (strcmp(row->u.route.pool, pool) == 0) {
            return row;
        }
    }
    return NULL;
}

/*
 * Compare and set the call epoch of a pool, and fill RESULT.  A command that
 * equals the current call epoch is accepted again: it was resent after its
 * answer got lost.
 */
static void
apply_epoch(struct table_core *core, const struct table_epoch *requested,
            struct table_result *result)
{
    struct table_epoch current;
    struct table_epoch next = *requested;

    if (table_core_pool(core, requested->pool) == NULL) {
        table_result_refuse(result, TABLE_POOL_MISSING,
                            "no pool has the id %016" G_GINT64_MODIFIER
                            "x; get the current version of the tables first",
                            requested->pool.value);
        return;
    }
    table_core_epoch(core, requested->pool, &current);
    next.epoch = current.epoch;
    next.sequence = current.sequence;
    result->epoch = current.epoch;
    if (current.epoch != 0 && memcmp(&next, &current, sizeof(next)) == 0) {
        result->repeated = true;
        return;
    }
    if (requested->previous != current.epoch) {
        table_result_refuse(result, TABLE_EPOCH_CHANGED,
                            "call epoch %" G_GUINT64_FORMAT
                            " was expected, but %" G_GUINT64_FORMAT
                            " is current; use that one and try again",
                            requested->previous, current.epoch);
        return;
    }
    core->position.epoch_sequence++;
    next.epoch = current.epoch + 1;
    next.sequence = core->position.epoch_sequence;
    result->epoch = next.epoch;
    table_state_set_epoch(core, &next);
}

/* Return the log index of the last command applied to the tables. */
uint64_t
table_core_applied(const struct table_core *core)
{
    return core->applied;
}

/* Return the version of the tables and the latest call epoch's sequence. */
struct table_position
table_core_position(const struct table_core *core)
{
    return core->position;
}

/* Return the number of rows in the table of KIND. */
size_t
table_core_count(const struct table_core *core, enum table_kind kind)
{
    return (size_t)g_tree_nnodes(core->rows[kind]);
}

/*
 * Return the row of KIND called NAME, or NULL.  The row is valid until the
 * tables change.
 */
const struct table_row *
table_core_row(const struct table_core *core, enum table_kind kind,
               const char *name)
{
    return g_tree_lookup(core->rows[kind], name);
}

/*
 * Return the row of the pool with ID, or NULL.  The row is valid until the
 * tables change.
 */
const struct table_row *
table_core_pool(const struct table_core *core, struct pool_id id)
{
    return g_hash_table_lookup(core->pool_ids, &id.value);
}

/* Call VISIT with DATA for each row of KIND, ordered by name. */
void
table_core_each(const struct table_core *core, enum table_kind kind,
                table_visit visit, void *data)
{
    GTreeNode *node = g_tree_node_first(core->rows[kind]);

    for (; node != NULL; node = g_tree_node_next(node)) {
        visit(g_tree_node_value(node), data);
    }
}

/*
 * Fill EPOCH with the call epoch of POOL.  Return false and set EPOCH to zero
 * if the pool has none.
 */
bool
table_core_epoch(const struct table_core *core, struct pool_id pool,
                 struct table_epoch *epoch)
{
    const struct table_epoch *found =
        g_hash_table_lookup(core->epochs, &pool.value);

    memset(epoch, 0, sizeof(*epoch));
    if (found == NULL) {
        return false;
    }
    *epoch = *found;
    return true;
}

/* Fill RESULT with the first answer to EDIT_ID; return false if not kept. */
bool
table_core_answer(const struct table_core *core, const char *edit_id,
                  struct table_result *result)
{
    return table_answers_find(core, edit_id, result);
}
