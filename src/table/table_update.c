/* Packing and merging of updates: differences, snapshots, and rows alone. */
#include <string.h>

#include "table/table_state.h"

static gint compare_epochs(gconstpointer, gconstpointer);
static void collect_epochs(const struct table_core *, uint64_t, GArray *);
static void collect_changes(const struct table_core *, struct table_update *);
static void collect_rows(const struct table_core *, enum table_kind,
                         GPtrArray *);
static enum table_merge_result merge_difference(struct table_core *,
                                                const struct table_update *);
static enum table_merge_result merge_full(struct table_core *,
                                          const struct table_update *);
static void load_answers(struct table_core *, const struct table_update *);
static void apply_changes(struct table_core *, const struct table_update *);
static void apply_epochs(struct table_core *, const struct table_update *);

/* Return the order of the call epochs A and B by sequence. */
static gint
compare_epochs(gconstpointer a, gconstpointer b)
{
    const struct table_epoch *x = a;
    const struct table_epoch *y = b;

    return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

/*
 * Append the call epochs with a sequence above AFTER to OUT, ascending by
 * sequence.
 */
static void
collect_epochs(const struct table_core *core, uint64_t after, GArray *out)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, core->epochs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct table_epoch *epoch = value;

        if (epoch->sequence > after) {
            g_array_append_val(out, *epoch);
        }
    }
    g_array_sort(out, compare_epochs);
}

/* Append all rows of KIND to OUT as changes, ordered by name. */
static void
collect_rows(const struct table_core *core, enum table_kind kind,
             GPtrArray *out)
{
    GTreeNode *node = g_tree_node_first(core->rows[kind]);

    for (; node != NULL; node = g_tree_node_next(node)) {
        g_ptr_array_add(out, table_change_new(false, g_tree_node_value(node)));
    }
}

/* Add the changes after UPDATE's start version up to its end version. */
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
 * Append to OUT the difference that brings a replica from FROM to TO_VERSION.
 * If TO_VERSION is 0 or not older than the current version, the difference
 * ends at the current state; only then does it contain call epochs.  Return
 * false if the changes after FROM are no longer kept or FROM is newer than
 * these tables; then the caller has to send a snapshot.
 */
bool
table_core_pack_difference(const struct table_core *core,
                           struct table_position from, uint64_t to_version,
                           GByteArray *out)
{
    struct table_update update;
    uint64_t current = core->position.version;

    if (from.version < core->changes_after || from.version > current) {
        return false;
    }
    table_update_init(&update);
    update.from = from;
    update.to = core->position;
    if (to_version != 0 && to_version < current) {
        update.to = (struct table_position){to_version, from.epoch_sequence};
    }
    else {
        collect_epochs(core, from.epoch_sequence, update.epochs);
    }
    collect_changes(core, &update);
    table_wire_pack_update(&update, out);
    table_update_clear(&update);
    return true;
}

/*
 * Append a snapshot of the full state to OUT.  Equal states give equal bytes.
 * SCOPE says whether to include the answers, which may take some megabytes and
 * which entry daemons do not need.
 */
void
table_core_pack_snapshot(const struct table_core *core, enum table_scope scope,
                         GByteArray *out)
{
    struct table_update update;

    table_update_init(&update);
    update.full = true;
    update.to = core->position;
    update.applied = core->applied;
    collect_rows(core, TABLE_POOL, update.changes);
    collect_rows(core, TABLE_ROUTE, update.changes);
    collect_epochs(core, 0, update.epochs);
    if (scope == TABLE_ROWS_AND_ANSWERS) {
        update.with_answers = true;
        update.answers_min_version = core->answers_min_version;
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
 * Append to OUT an update for an entry daemon from FROM_VERSION to TO_VERSION.
 * It contains rows alone, without call epochs and answers.  If the changes are
 * no longer kept, or FROM_VERSION is 0 or newer than these tables, it contains
 * all current rows.  Return the start version of the update, 0 for all rows;
 * set RESULT to its end version.
 */
uint64_t
table_core_pack_rows(const struct table_core *core, uint64_t from_version,
                     uint64_t to_version, GByteArray *out, uint64_t *result)
{
    struct table_update update;
    bool full = from_version == 0 || from_version < core->changes_after ||
                from_version > core->position.version;

    table_update_init(&update);
    update.full = full;
    update.to.version = full ? core->position.version
                             : MIN(to_version, core->position.version);
    if (full) {
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
    return full ? 0 : from_version;
}

/*
 * Apply the row changes of UPDATE that are newer than CORE.  Those of a
 * difference are also recorded for further differences.
 */
static void
apply_changes(struct table_core *core, const struct table_update *update)
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
        if (!update->full) {
            table_state_record_change(core, change->remove, row);
        }
    }
}

/*
 * Apply the call epochs of UPDATE that are newer than CORE.  They are in
 * ascending order and come from the same history, so a later one replaces an
 * earlier one of its pool.
 */
static void
apply_epochs(struct table_core *core, const struct table_update *update)
{
    for (guint i = 0; i < update->epochs->len; i++) {
        const struct table_epoch *epoch =
            &g_array_index(update->epochs, struct table_epoch, i);

        if (epoch->sequence > core->position.epoch_sequence) {
            table_state_set_epoch(core, epoch);
        }
    }
}

/* Copy the answers of the snapshot UPDATE into CORE, which has none. */
static void
load_answers(struct table_core *core, const struct table_update *update)
{
    core->answers_min_version = update->answers_min_version;
    for (guint i = 0; i < update->answers->len; i++) {
        const struct table_answer *from = update->answers->pdata[i];
        struct table_answer *answer = table_answer_new(
            from->id, from->reason, from->version, from->message);

        g_queue_push_tail(&core->answers, answer);
        g_hash_table_insert(core->answers_by_id, answer->id, answer);
    }
}

/* Apply the difference UPDATE if it is newer than CORE and leaves no gap. */
static enum table_merge_result
merge_difference(struct table_core *core, const struct table_update *update)
{
    const struct table_position *current = &core->position;

    if (update->to.version <= current->version &&
        update->to.epoch_sequence <= current->epoch_sequence) {
        return TABLE_STALE;
    }
    if (update->from.version > current->version ||
        update->from.epoch_sequence > current->epoch_sequence) {
        return TABLE_GAP;
    }
    apply_changes(core, update);
    apply_epochs(core, update);
    core->position.version = MAX(current->version, update->to.version);
    core->position.epoch_sequence =
        MAX(current->epoch_sequence, update->to.epoch_sequence);
    return TABLE_MERGED;
}

/*
 * Replace the contents of CORE by the full UPDATE if that is newer in version,
 * call epochs or applied log index, and older in none of them.
 */
static enum table_merge_result
merge_full(struct table_core *core, const struct table_update *update)
{
    const struct table_position *current = &core->position;

    if (update->to.version < current->version ||
        update->to.epoch_sequence < current->epoch_sequence ||
        update->applied < core->applied) {
        return TABLE_STALE;
    }
    if (update->to.version == current->version &&
        update->to.epoch_sequence == current->epoch_sequence &&
        update->applied == core->applied) {
        return TABLE_STALE;
    }
    table_state_clear(core);
    apply_changes(core, update);
    apply_epochs(core, update);
    load_answers(core, update);
    core->applied = update->applied;
    core->position = update->to;
    core->changes_after = update->to.version;
    return TABLE_MERGED;
}

/*
 * Merge the update of LEN bytes at DATA into CORE.  A replica never returns to
 * an earlier state: an update whose end position is not newer changes nothing,
 * independent of its sender.
 */
enum table_merge_result
table_core_merge(struct table_core *core, const uint8_t *data, size_t len)
{
    struct table_update update;
    enum table_merge_result merge;

    if (!table_wire_unpack_update(data, len, &update)) {
        return TABLE_DAMAGED;
    }
    merge = update.full ? merge_full(core, &update)
                        : merge_difference(core, &update);
    table_update_clear(&update);
    return merge;
}
