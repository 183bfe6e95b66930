/* Updates: differences between versions, and snapshots of the whole. */
#include <string.h>

#include "table/table_state.h"

static gint compare_epochs(gconstpointer, gconstpointer);
static void collect_epochs(const struct table_core *, uint64_t, GArray *);
static void collect_changes(const struct table_core *, struct table_update *);
static void collect_rows(const struct table_core *, enum table_kind,
                         GPtrArray *);
static enum table_merge merge_difference(struct table_core *,
                                         const struct table_update *);
static enum table_merge merge_whole(struct table_core *,
                                    const struct table_update *);
static void take_answers(struct table_core *, const struct table_update *);
static void take_changes(struct table_core *, const struct table_update *);
static void take_epochs(struct table_core *, const struct table_update *);

static gint
compare_epochs(gconstpointer a, gconstpointer b)
{
    const struct table_epoch *x = a;
    const struct table_epoch *y = b;

    return x->stamp < y->stamp ? -1 : x->stamp > y->stamp;
}

/* Append the call epochs after AFTER to OUT, ascending. */
static void
collect_epochs(const struct table_core *core, uint64_t after, GArray *out)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, core->epochs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct table_epoch *epoch = value;

        if (epoch->stamp > after) {
            g_array_append_val(out, *epoch);
        }
    }
    g_array_sort(out, compare_epochs);
}

static void
collect_rows(const struct table_core *core, enum table_kind kind,
             GPtrArray *out)
{
    GTreeNode *node = g_tree_node_first(core->rows[kind]);

    for (; node != NULL; node = g_tree_node_next(node)) {
        g_ptr_array_add(out, table_change_new(false, g_tree_node_value(node)));
    }
}

/* Add the changes between the versions that UPDATE leads from and to. */
static void
collect_changes(const struct table_core *core, struct table_update *update)
{
    for (GList *item = core->changes.head; item != NULL; item = item->next) {
        const struct table_change *change = item->data;

        if (change->row.version > update->from.version &&
            change->row.version <= update->to.version) {
            g_ptr_array_add(update->changes,
                            table_change_new(change->remove, &change->row));
        }
    }
}

/*
 * Append to OUT the difference that leads a replica at FROM to TO_VERSION; 0
 * or a later version than the tables' means the current state.  Returns
 * false if the changes since FROM are no longer kept: send a snapshot.
 */
bool
table_core_difference(const struct table_core *core,
                      struct table_position from, uint64_t to_version,
                      GByteArray *out)
{
    struct table_update update;
    uint64_t current = core->position.version;

    if (from.version < core->changes_from || from.version > current) {
        return false;
    }
    table_update_init(&update);
    update.from = from;
    update.to = core->position;
    if (to_version != 0 && to_version < current) {
        update.to = (struct table_position){to_version, from.epoch};
    }
    else {
        collect_epochs(core, from.epoch, update.epochs);
    }
    collect_changes(core, &update);
    table_wire_pack_update(&update, out);
    table_update_clear(&update);
    return true;
}

/*
 * Append the whole state to OUT.  Equal states give equal bytes.  Entry
 * daemons need no answers, which may take some megabytes.
 */
void
table_core_snapshot(const struct table_core *core, enum table_scope scope,
                    GByteArray *out)
{
    struct table_update update;

    table_update_init(&update);
    update.whole = true;
    update.to = core->position;
    update.applied = core->applied;
    collect_rows(core, TABLE_POOL, update.changes);
    collect_rows(core, TABLE_ROUTE, update.changes);
    collect_epochs(core, 0, update.epochs);
    if (scope == TABLE_ROWS_AND_ANSWERS) {
        update.with_answers = true;
        update.answers_floor = core->answers_floor;
        for (GList *item = core->answers.head; item; item = item->next) {
            const struct table_answer *answer = item->data;

            g_ptr_array_add(update.answers,
                            table_answer_new(answer->id, answer->reason,
                                             answer->version,
                                             answer->message));
        }
    }
    table_wire_pack_update(&update, out);
    table_update_clear(&update);
}

/*
 * Append to OUT what leads an entry daemon from FROM_VERSION to TO_VERSION:
 * rows alone, without call epochs and answers.  Where the changes are no
 * longer kept, or FROM_VERSION is 0, all rows as they are now.  Returns the
 * version that it leads from, 0 for all rows; RESULT gets the one that it
 * leads to.
 */
uint64_t
table_core_rows(const struct table_core *core, uint64_t from_version,
                uint64_t to_version, GByteArray *out, uint64_t *result)
{
    struct table_update update;
    bool whole = from_version == 0 || from_version < core->changes_from ||
                 from_version > core->position.version;

    table_update_init(&update);
    update.whole = whole;
    update.to.version = whole ? core->position.version
                              : MIN(to_version, core->position.version);
    if (whole) {
        collect_rows(core, TABLE_POOL, update.changes);
        collect_rows(core, TABLE_ROUTE, update.changes);
    }
    else {
        update.from.version = from_version;
        collect_changes(core, &update);
    }
    table_wire_pack_update(&update, out);
    *result = update.to.version;
    table_update_clear(&update);
    return whole ? 0 : from_version;
}

static void
take_changes(struct table_core *core, const struct table_update *update)
{
    for (guint i = 0; i < update->changes->len; i++) {
        const struct table_change *change = update->changes->pdata[i];
        const struct table_row *row = &change->row;

        if (row->version <= core->position.version) {
            continue;
        }
        if (change->remove) {
            table_state_remove(core, row->kind, table_row_name(row));
        }
        else {
            table_state_set(core, row);
        }
        if (!update->whole) {
            table_state_record(core, change->remove, row);
        }
    }
}

/* Epochs come in ascending order and from one history: later ones win. */
static void
take_epochs(struct table_core *core, const struct table_update *update)
{
    for (guint i = 0; i < update->epochs->len; i++) {
        const struct table_epoch *epoch =
            &g_array_index(update->epochs, struct table_epoch, i);

        if (epoch->stamp > core->position.epoch) {
            table_state_set_epoch(core, epoch);
        }
    }
}

static void
take_answers(struct table_core *core, const struct table_update *update)
{
    core->answers_floor = update->answers_floor;
    for (guint i = 0; i < update->answers->len; i++) {
        const struct table_answer *from = update->answers->pdata[i];
        struct table_answer *answer = table_answer_new(
            from->id, from->reason, from->version, from->message);

        g_queue_push_tail(&core->answers, answer);
        g_hash_table_insert(core->answers_by_id, answer->id, answer);
    }
}

static enum table_merge
merge_difference(struct table_core *core, const struct table_update *update)
{
    const struct table_position *own = &core->position;

    if (update->to.version <= own->version && update->to.epoch <= own->epoch) {
        return TABLE_STALE;
    }
    if (update->from.version > own->version ||
        update->from.epoch > own->epoch) {
        return TABLE_GAP;
    }
    take_changes(core, update);
    take_epochs(core, update);
    core->position.version = MAX(own->version, update->to.version);
    core->position.epoch = MAX(own->epoch, update->to.epoch);
    return TABLE_MERGED;
}

/* A snapshot replaces everything, if it is newer in any part. */
static enum table_merge
merge_whole(struct table_core *core, const struct table_update *update)
{
    const struct table_position *own = &core->position;

    if (update->to.version < own->version || update->to.epoch < own->epoch ||
        update->applied < core->applied) {
        return TABLE_STALE;
    }
    if (update->to.version == own->version && update->to.epoch == own->epoch &&
        update->applied == core->applied) {
        return TABLE_STALE;
    }
    table_state_clear(core);
    take_changes(core, update);
    take_epochs(core, update);
    take_answers(core, update);
    core->applied = update->applied;
    core->position = update->to;
    core->changes_from = update->to.version;
    return TABLE_MERGED;
}

/*
 * Take in an update.  A replica never goes back: an update whose target is
 * not newer changes nothing, whoever sent it.
 */
enum table_merge
table_core_merge(struct table_core *core, const uint8_t *data, size_t len)
{
    struct table_update update;
    enum table_merge merge;

    if (!table_wire_unpack_update(data, len, &update)) {
        return TABLE_DAMAGED;
    }
    merge = update.whole ? merge_whole(core, &update)
                         : merge_difference(core, &update);
    table_update_clear(&update);
    return merge;
}
