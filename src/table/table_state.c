/*
 * Storage of the rows with their indexes, of the call epochs, and of the
 * bounded lists of row changes and answers.
 */
#include "table/table_state.h"

#include <string.h>

static gint compare_names(gconstpointer, gconstpointer, gpointer);
static void free_row(gpointer);
static void index_route(struct table_core *, struct table_row *);
static void unindex_row(struct table_core *, struct table_row *);

static const struct table_core_options defaults = {
    .answers_max = 32768,
    .changes_max = 4096,
    .routes_max = 16384,
    .pools_max = 16384,
};

/* Return the order of the names A and B, as strcmp() does. */
static gint
compare_names(gconstpointer a, gconstpointer b, gpointer data)
{
    (void)data;
    return strcmp(a, b);
}

/* Free ITEM, a struct table_row. */
static void
free_row(gpointer item)
{
    struct table_row *row = item;

    table_row_clear(row);
    g_free(row);
}

/*
 * Return empty tables at version 0, which the caller frees with
 * table_core_free().  If OPTIONS is NULL, all options take their defaults.
 */
struct table_core *
table_core_new(const struct table_core_options *options)
{
    struct table_core *core = g_new0(struct table_core, 1);
    struct table_core_options *limits = &core->options;

    *limits = options != NULL ? *options : defaults;
    limits->answers_max =
        limits->answers_max != 0 ? limits->answers_max : defaults.answers_max;
    limits->changes_max =
        limits->changes_max != 0 ? limits->changes_max : defaults.changes_max;
    limits->routes_max =
        limits->routes_max != 0 ? limits->routes_max : defaults.routes_max;
    limits->pools_max =
        limits->pools_max != 0 ? limits->pools_max : defaults.pools_max;
    for (int kind = 0; kind < TABLE_KIND__MAX; kind++) {
        core->rows[kind] =
            g_tree_new_full(compare_names, NULL, NULL, free_row);
    }
    core->pool_ids =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    core->addresses =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
                              (GDestroyNotify)g_ptr_array_unref);
    core->epochs =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    core->answers_by_id = g_hash_table_new(g_str_hash, g_str_equal);
    g_queue_init(&core->answers);
    g_queue_init(&core->changes);
    return core;
}

/* Reset the tables to their empty state; the options stay. */
void
table_state_clear(struct table_core *core)
{
    g_hash_table_remove_all(core->pool_ids);
    g_hash_table_remove_all(core->addresses);
    g_hash_table_remove_all(core->epochs);
    g_hash_table_remove_all(core->answers_by_id);
    g_queue_clear_full(&core->answers, table_answer_free);
    g_queue_clear_full(&core->changes, table_change_free);
    for (int kind = 0; kind < TABLE_KIND__MAX; kind++) {
        g_tree_remove_all(core->rows[kind]);
    }
    core->applied = 0;
    core->position = (struct table_position){0};
    core->answers_min_version = 0;
    core->changes_after = 0;
}

/* Free CORE, which may be NULL. */
void
table_core_free(struct table_core *core)
{
    if (core == NULL) {
        return;
    }
    table_state_clear(core);
    g_hash_table_unref(core->pool_ids);
    g_hash_table_unref(core->addresses);
    g_hash_table_unref(core->epochs);
    g_hash_table_unref(core->answers_by_id);
    for (int kind = 0; kind < TABLE_KIND__MAX; kind++) {
        g_tree_unref(core->rows[kind]);
    }
    g_free(core);
}

/* Add the route ROW to the index by address. */
static void
index_route(struct table_core *core, struct table_row *row)
{
    gpointer key = GUINT_TO_POINTER(row->u.route.address);
    GPtrArray *routes = g_hash_table_lookup(core->addresses, key);

    if (routes == NULL) {
        routes = g_ptr_array_new();
        g_hash_table_insert(core->addresses, key, routes);
    }
    g_ptr_array_add(routes, row);
}

/* Remove ROW from the index of its table. */
static void
unindex_row(struct table_core *core, struct table_row *row)
{
    struct pool_id id;
    gpointer key;
    GPtrArray *routes;

    if (row->kind == TABLE_POOL) {
        id = view_pool_id(row->u.pool.name);
        g_hash_table_remove(core->pool_ids, &id.value);
        return;
    }
    key = GUINT_TO_POINTER(row->u.route.address);
    routes = g_hash_table_lookup(core->addresses, key);
    g_ptr_array_remove(routes, row);
    if (routes->len == 0) {
        g_hash_table_remove(core->addresses, key);
    }
}

/* Store a copy of ROW, replacing an existing row of the same kind and name. */
void
table_state_set(struct table_core *core, const struct table_row *row)
{
    struct table_row *copy = g_new0(struct table_row, 1);
    struct table_row *old;
    uint64_t *id;

    old = g_tree_lookup(core->rows[row->kind], table_row_name(row));
    if (old != NULL) {
        unindex_row(core, old);
    }
    table_row_copy(copy, row);
    g_tree_replace(core->rows[row->kind], (gpointer)table_row_name(copy),
                   copy);
    if (row->kind == TABLE_ROUTE) {
        index_route(core, copy);
        return;
    }
    id = g_new(uint64_t, 1);
    *id = view_pool_id(copy->u.pool.name).value;
    g_hash_table_replace(core->pool_ids, id, copy);
}

/*
 * Remove the row of KIND called NAME, if it exists.  The call epoch of a
 * removed pool stays, so that a pool created again under its name continues
 * from it.
 */
void
table_state_remove(struct table_core *core, enum table_kind kind,
                   const char *name)
{
    struct table_row *row = g_tree_lookup(core->rows[kind], name);

    if (row == NULL) {
        return;
    }
    unindex_row(core, row);
    g_tree_remove(core->rows[kind], name);
}

/*
 * Append the change that set ROW, or removed it if REMOVE, to the changes kept
 * for differences.  Above the limit, discard the oldest change.
 */
void
table_state_record_change(struct table_core *core, bool remove,
                          const struct table_row *row)
{
    struct table_change *oldest;

    g_queue_push_tail(&core->changes, table_change_new(remove, row));
    if (core->changes.length <= core->options.changes_max) {
        return;
    }
    oldest = g_queue_pop_head(&core->changes);
    core->changes_after = oldest->row.version;
    table_change_free(oldest);
}

/* Make EPOCH the current call epoch of its pool. */
void
table_state_set_epoch(struct table_core *core, const struct table_epoch *epoch)
{
    struct table_epoch *copy = g_memdup2(epoch, sizeof(*epoch));

    g_hash_table_replace(core->epochs, &copy->pool.value, copy);
}

/*
 * Store RESULT as the first answer to the edit ID.  Above the limit, discard
 * the oldest answer.  From then on, an edit based on a version older than that
 * answer's version is refused as too old, since it may have been answered.
 */
void
table_answers_add(struct table_core *core, const char *id,
                  const struct table_result *result)
{
    struct table_answer *answer =
        table_answer_new(id, result->reason, result->version, result->message);
    struct table_answer *oldest;

    g_queue_push_tail(&core->answers, answer);
    g_hash_table_insert(core->answers_by_id, answer->id, answer);
    if (core->answers.length <= core->options.answers_max) {
        return;
    }
    oldest = g_queue_pop_head(&core->answers);
    core->answers_min_version =
        MAX(core->answers_min_version, oldest->version);
    g_hash_table_remove(core->answers_by_id, oldest->id);
    table_answer_free(oldest);
}

/*
 * Fill RESULT with the first answer to the edit ID; false if it is not kept.
 */
bool
table_answers_find(const struct table_core *core, const char *id,
                   struct table_result *result)
{
    const struct table_answer *answer =
        g_hash_table_lookup(core->answers_by_id, id);

    if (answer == NULL) {
        return false;
    }
    memset(result, 0, sizeof(*result));
    result->reason = answer->reason;
    result->version = answer->version;
    result->repeated = true;
    if (answer->message != NULL) {
        g_strlcpy(result->message, answer->message, sizeof(result->message));
    }
    return true;
}
