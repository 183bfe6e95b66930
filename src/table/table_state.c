/* The rows, their indexes, and the bounded histories beside them. */
#include "table/table_state.h"

#include <string.h>

static gint compare_names(gconstpointer, gconstpointer, gpointer);
static void free_row(gpointer);
static void index_route(struct table_core *, struct table_row *);
static void unindex(struct table_core *, struct table_row *);

static const struct table_core_options defaults = {
    .answers_max = 32768,
    .changes_max = 4096,
    .routes_max = 16384,
    .pools_max = 16384,
};

static gint
compare_names(gconstpointer a, gconstpointer b, gpointer data)
{
    (void)data;
    return strcmp(a, b);
}

static void
free_row(gpointer item)
{
    struct table_row *row = item;

    table_row_clear(row);
    g_free(row);
}

/* Empty tables at version 0; OPTIONS may be NULL.  The caller frees them. */
struct table_core *
table_core_new(const struct table_core_options *options)
{
    struct table_core *core = g_new0(struct table_core, 1);
    struct table_core_options *own = &core->options;

    *own = options != NULL ? *options : defaults;
    own->answers_max =
        own->answers_max != 0 ? own->answers_max : defaults.answers_max;
    own->changes_max =
        own->changes_max != 0 ? own->changes_max : defaults.changes_max;
    own->routes_max =
        own->routes_max != 0 ? own->routes_max : defaults.routes_max;
    own->pools_max = own->pools_max != 0 ? own->pools_max : defaults.pools_max;
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

/* Empty the tables, keeping the options. */
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
    core->answers_floor = 0;
    core->changes_from = 0;
}

/* Free CORE; NULL is allowed. */
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

static void
unindex(struct table_core *core, struct table_row *row)
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

/* Put a copy of ROW in place of the row of its name, if there is one. */
void
table_state_set(struct table_core *core, const struct table_row *row)
{
    struct table_row *copy = g_new0(struct table_row, 1);
    struct table_row *old;
    uint64_t *id;

    old = g_tree_lookup(core->rows[row->kind], table_row_name(row));
    if (old != NULL) {
        unindex(core, old);
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
 * Remove the row of KIND called NAME; it may be missing.  A pool's call epoch
 * stays, so that a pool made anew goes on from it.
 */
void
table_state_remove(struct table_core *core, enum table_kind kind,
                   const char *name)
{
    struct table_row *row = g_tree_lookup(core->rows[kind], name);

    if (row == NULL) {
        return;
    }
    unindex(core, row);
    g_tree_remove(core->rows[kind], name);
}

/* Keep the change that made ROW's version, for differences. */
void
table_state_record(struct table_core *core, bool remove,
                   const struct table_row *row)
{
    struct table_change *oldest;

    g_queue_push_tail(&core->changes, table_change_new(remove, row));
    if (core->changes.length <= core->options.changes_max) {
        return;
    }
    oldest = g_queue_pop_head(&core->changes);
    core->changes_from = oldest->row.version;
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
 * Keep the first answer to the edit ID.  The oldest answer falls out above
 * the limit; from then on an edit built on an older version than it told
 * cannot be told from one that was answered.
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
    core->answers_floor = MAX(core->answers_floor, oldest->version);
    g_hash_table_remove(core->answers_by_id, oldest->id);
    table_answer_free(oldest);
}

/* Fill RESULT with the first answer to the edit ID, if it is kept. */
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
