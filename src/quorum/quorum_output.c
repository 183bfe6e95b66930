/* Output of a step: actions, records to store, and messages to send. */
#include <string.h>

#include "quorum/quorum_state.h"

static void clear_action(struct quorum_action *);
static void emit_send(struct quorum_core *, struct quorum_outgoing *);
static void set_hard_state(struct quorum_record *,
                           const struct quorum_hard_state *);
static void emit_store(struct quorum_core *);
static void enqueue(struct quorum_core *, struct daemon_id,
                    const struct quorum_message *, bool immediate);

/*
 * Add an action of KIND to the step's output and return it, with all other
 * members 0.  The pointer is valid until the next action is added.
 */
struct quorum_action *
quorum_add_action(struct quorum_core *core, enum quorum_action_kind kind)
{
    struct quorum_actions *out = core->out;
    struct quorum_action *action;

    if (out->count == out->capacity) {
        out->capacity = out->capacity == 0 ? 16 : 2 * out->capacity;
        out->items = g_renew(struct quorum_action, out->items, out->capacity);
    }
    action = &out->items[out->count++];
    memset(action, 0, sizeof(*action));
    action->kind = kind;
    return action;
}

/* Release the memory and references that ACTION holds. */
static void
clear_action(struct quorum_action *action)
{
    switch (action->kind) {
    case QUORUM_ACT_STORE:
        for (size_t i = 0; i < action->u.store.count; i++) {
            quorum_record_clear(&action->u.store.records[i]);
        }
        g_free(action->u.store.records);
        break;
    case QUORUM_ACT_SEND:
        quorum_message_clear(&action->u.send.message);
        break;
    case QUORUM_ACT_APPLY:
        quorum_entry_unref(action->u.apply);
        break;
    case QUORUM_ACT_INSTALL_SNAPSHOT:
        quorum_snapshot_unref(action->u.install);
        break;
    case QUORUM_ACT_TAKE_SNAPSHOT:
    case QUORUM_ACT_ROLE:
    case QUORUM_ACT_REFUSE:
    case QUORUM_ACT__MAX:
        break;
    }
}

/* Release all actions.  The array stays allocated for the next step. */
void
quorum_actions_clear(struct quorum_actions *actions)
{
    for (size_t i = 0; i < actions->count; i++) {
        clear_action(&actions->items[i]);
    }
    actions->count = 0;
}

/*
 * Return a message of KIND with the members set that describe the sender and
 * its term.
 */
struct quorum_message
quorum_make_message(const struct quorum_core *core,
                    enum quorum_message_kind kind)
{
    return (struct quorum_message){
        .kind = kind,
        .from = core->options.self,
        .term = core->hard_state.term,
        .store = core->hard_state.store,
        .has_vote = core->hard_state.has_vote,
    };
}

/* Queue MESSAGE, whose references are taken over, until the step ends. */
static void
enqueue(struct quorum_core *core, struct daemon_id to,
        const struct quorum_message *message, bool immediate)
{
    struct quorum_outgoing outgoing = {
        .immediate = immediate,
        .to = to,
        .message = *message,
    };

    g_array_append_val(core->outgoing, outgoing);
}

/*
 * Send MESSAGE to TO once all records of this and earlier steps are stored.
 * The references that MESSAGE holds are taken over.
 */
void
quorum_send_after_store(struct quorum_core *core, struct daemon_id to,
                        const struct quorum_message *message)
{
    enqueue(core, to, message, false);
}

/*
 * Send MESSAGE, which depends on no record, at the end of this step.  The
 * references that MESSAGE holds are taken over.
 */
void
quorum_send_now(struct quorum_core *core, struct daemon_id to,
                const struct quorum_message *message)
{
    enqueue(core, to, message, true);
}

/* Add ENTRY to the records to store at the end of this step. */
void
quorum_store_entry(struct quorum_core *core, struct quorum_entry *entry)
{
    struct quorum_record record = {
        .kind = QUORUM_RECORD_ENTRY,
        .u.entry = quorum_entry_ref(entry),
    };

    g_array_append_val(core->records, record);
}

/* Add SNAPSHOT to the records to store at the end of this step. */
void
quorum_store_snapshot(struct quorum_core *core,
                      struct quorum_snapshot *snapshot)
{
    struct quorum_record record = {
        .kind = QUORUM_RECORD_SNAPSHOT,
        .u.snapshot = quorum_snapshot_ref(snapshot),
    };

    g_array_append_val(core->records, record);
}

/*
 * Remove the entries from index FROM on from the log.  Pending store actions
 * do not count for them any more.  The store itself drops them when it
 * receives the record of the entry that replaces them.
 */
void
quorum_truncate_log(struct quorum_core *core, uint64_t from)
{
    quorum_log_truncate(&core->log, from);
    core->stored_index = MIN(core->stored_index, from - 1);
    for (guint i = 0; i < core->pending_stores->len; i++) {
        struct quorum_pending_store *store = &g_array_index(
            core->pending_stores, struct quorum_pending_store, i);

        store->last = MIN(store->last, from - 1);
    }
}

/* Make RECORD a record of HARD_STATE. */
static void
set_hard_state(struct quorum_record *record,
               const struct quorum_hard_state *hard_state)
{
    record->kind = QUORUM_RECORD_HARD_STATE;
    record->u.hard_state = *hard_state;
}

/*
 * Add one store action for all records of the step.  A crash may leave any
 * prefix of the records in the store.  Term and vote are therefore written
 * first, because the entries must not be stored without them.  The commit
 * index, and whether this voter has a vote, are written last, because they are
 * valid only with the entries or the snapshot of the step.
 */
static void
emit_store(struct quorum_core *core)
{
    struct quorum_pending_store store;
    struct quorum_action *action;
    struct quorum_hard_state first = core->hard_state;
    struct quorum_record *records;
    size_t count = 0;
    bool write_first, write_last;

    if (core->records->len == 0 && !core->hard_state_dirty) {
        return;
    }
    core->hard_state.commit_index =
        MAX(core->hard_state.commit_index,
            MIN(core->commit_index, core->stored_index));
    first.has_vote = core->written_hard_state.has_vote;
    first.commit_index = core->written_hard_state.commit_index;
    write_first = core->hard_state_dirty && core->records->len > 0;
    write_last =
        core->records->len == 0 ||
        core->hard_state.has_vote != core->written_hard_state.has_vote ||
        core->hard_state.commit_index != core->written_hard_state.commit_index;
    records = g_new0(struct quorum_record, core->records->len + 2);
    if (write_first) {
        set_hard_state(&records[count++], &first);
    }
    for (guint i = 0; i < core->records->len; i++) {
        records[count++] =
            g_array_index(core->records, struct quorum_record, i);
    }
    if (write_last) {
        set_hard_state(&records[count++], &core->hard_state);
    }
    core->written_hard_state = core->hard_state;
    g_array_set_size(core->records, 0);
    core->hard_state_dirty = false;
    store.token = ++core->last_token;
    store.last = quorum_log_last_index(&core->log);
    store.issued_us = core->now_us;
    store.hard_state = core->written_hard_state;
    g_array_append_val(core->pending_stores, store);
    action = quorum_add_action(core, QUORUM_ACT_STORE);
    action->u.store.token = store.token;
    action->u.store.records = records;
    action->u.store.count = count;
}

/* Add an action that sends OUTGOING, whose message is taken over. */
static void
emit_send(struct quorum_core *core, struct quorum_outgoing *outgoing)
{
    struct quorum_action *action = quorum_add_action(core, QUORUM_ACT_SEND);

    action->u.send.to = outgoing->to;
    action->u.send.message = outgoing->message;
}

/*
 * End the step: report a changed role, store the changed state, and send the
 * messages that do not wait for a store action.
 */
void
quorum_end_step(struct quorum_core *core)
{
    struct quorum_action *action;

    if (core->role_dirty) {
        core->role_dirty = false;
        action = quorum_add_action(core, QUORUM_ACT_ROLE);
        action->u.role.role = core->role;
        action->u.role.term = core->hard_state.term;
        action->u.role.leader = core->leader;
    }
    if (core->failed) {
        return;
    }
    emit_store(core);
    for (guint i = 0; i < core->outgoing->len; i++) {
        struct quorum_outgoing *outgoing =
            &g_array_index(core->outgoing, struct quorum_outgoing, i);

        if (outgoing->immediate || core->last_token == core->stored_token) {
            emit_send(core, outgoing);
            continue;
        }
        outgoing->token = core->last_token;
        g_array_append_val(core->waiting, *outgoing);
    }
    g_array_set_size(core->outgoing, 0);
    if (core->snapshot_due) {
        quorum_add_action(core, QUORUM_ACT_TAKE_SNAPSHOT)->u.take_snapshot =
            quorum_snapshot_begin(core);
    }
}

/*
 * Note that the store actions up to TOKEN are complete, and send the messages
 * that waited for them.
 */
void
quorum_on_token_stored(struct quorum_core *core, uint64_t token)
{
    guint completed = 0;

    core->stored_token = MAX(core->stored_token, token);
    while (completed < core->pending_stores->len) {
        struct quorum_pending_store *store = &g_array_index(
            core->pending_stores, struct quorum_pending_store, completed);

        if (store->token > token) {
            break;
        }
        core->stored_index = MAX(core->stored_index, store->last);
        core->stored_hard_state = store->hard_state;
        core->store_time_us =
            MAX(core->store_time_us / 2, core->now_us - store->issued_us);
        completed++;
    }
    g_array_remove_range(core->pending_stores, 0, completed);
    completed = 0;
    while (completed < core->waiting->len) {
        struct quorum_outgoing *outgoing =
            &g_array_index(core->waiting, struct quorum_outgoing, completed);

        if (outgoing->token > token) {
            break;
        }
        emit_send(core, outgoing);
        completed++;
    }
    g_array_remove_range(core->waiting, 0, completed);
}

/*
 * Drop all unsent messages.  Used when the records that they wait for will
 * not be stored any more.
 */
void
quorum_drop_messages(struct quorum_core *core)
{
    for (guint i = 0; i < core->waiting->len; i++) {
        quorum_message_clear(
            &g_array_index(core->waiting, struct quorum_outgoing, i).message);
    }
    g_array_set_size(core->waiting, 0);
    for (guint i = 0; i < core->outgoing->len; i++) {
        quorum_message_clear(
            &g_array_index(core->outgoing, struct quorum_outgoing, i).message);
    }
    g_array_set_size(core->outgoing, 0);
}
