/* What a step gives out: actions, records to store, messages that wait. */
#include <string.h>

#include "quorum/quorum_state.h"

static void clear_action(struct quorum_action *);
static void emit_send(struct quorum_core *, struct quorum_outgoing *);
static void add_hard(struct quorum_record *, const struct quorum_hard *);
static void emit_store(struct quorum_core *);
static void queue(struct quorum_core *, struct daemon_id,
                  const struct quorum_message *, bool free);

/* Add an action of KIND to the step's output and return it, otherwise 0. */
struct quorum_action *
quorum_act(struct quorum_core *core, enum quorum_action_kind kind)
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

/* Drop the actions and what they refer to; the array stays for the next. */
void
quorum_actions_clear(struct quorum_actions *actions)
{
    for (size_t i = 0; i < actions->count; i++) {
        clear_action(&actions->items[i]);
    }
    actions->count = 0;
}

/* A message of KIND with what every message says of its sender. */
struct quorum_message
quorum_message_of(const struct quorum_core *core,
                  enum quorum_message_kind kind)
{
    return (struct quorum_message){
        .kind = kind,
        .from = core->options.self,
        .term = core->hard.term,
        .store = core->hard.store,
        .voter = core->hard.voter,
    };
}

static void
queue(struct quorum_core *core, struct daemon_id to,
      const struct quorum_message *message, bool free)
{
    struct quorum_outgoing outgoing = {
        .free = free,
        .to = to,
        .message = *message,
    };

    g_array_append_val(core->outgoing, outgoing);
}

/* Send MESSAGE, which is taken over, once all records so far are stored. */
void
quorum_send(struct quorum_core *core, struct daemon_id to,
            const struct quorum_message *message)
{
    queue(core, to, message, false);
}

/* Send MESSAGE, which is taken over and depends on no record, at once. */
void
quorum_send_free(struct quorum_core *core, struct daemon_id to,
                 const struct quorum_message *message)
{
    queue(core, to, message, true);
}

/* Have ENTRY stored at the end of this step. */
void
quorum_record_entry(struct quorum_core *core, struct quorum_entry *entry)
{
    struct quorum_record record = {
        .kind = QUORUM_RECORD_ENTRY,
        .u.entry = quorum_entry_ref(entry),
    };

    g_array_append_val(core->records, record);
}

/* Have SNAPSHOT stored at the end of this step. */
void
quorum_record_snapshot(struct quorum_core *core,
                       struct quorum_snapshot *snapshot)
{
    struct quorum_record record = {
        .kind = QUORUM_RECORD_SNAPSHOT,
        .u.snapshot = quorum_snapshot_ref(snapshot),
    };

    g_array_append_val(core->records, record);
}

/*
 * Drop the entries from FROM on.  What is being stored of them no longer
 * counts; the entry that takes their place tells the store.
 */
void
quorum_truncate(struct quorum_core *core, uint64_t from)
{
    quorum_log_truncate(&core->log, from);
    core->stored = MIN(core->stored, from - 1);
    for (guint i = 0; i < core->storing->len; i++) {
        struct quorum_storing *storing =
            &g_array_index(core->storing, struct quorum_storing, i);

        storing->last = MIN(storing->last, from - 1);
    }
}

static void
add_hard(struct quorum_record *record, const struct quorum_hard *hard)
{
    record->kind = QUORUM_RECORD_HARD;
    record->u.hard = *hard;
}

/*
 * One store action for all records of the step.  They may be cut off behind
 * any of them.  So term and vote go first, without which the entries must not
 * be there; that this voter votes, and what is committed, go last, since both
 * stand on the entries or the snapshot of the step.
 */
static void
emit_store(struct quorum_core *core)
{
    struct quorum_storing storing;
    struct quorum_action *action;
    struct quorum_hard first = core->hard;
    struct quorum_record *records;
    size_t count = 0;
    bool early, late;

    if (core->records->len == 0 && !core->hard_dirty) {
        return;
    }
    core->hard.commit =
        MAX(core->hard.commit, MIN(core->commit, core->stored));
    first.voter = core->written.voter;
    first.commit = core->written.commit;
    early = core->hard_dirty && core->records->len > 0;
    late = core->records->len == 0 ||
           core->hard.voter != core->written.voter ||
           core->hard.commit != core->written.commit;
    records = g_new0(struct quorum_record, core->records->len + 2);
    if (early) {
        add_hard(&records[count++], &first);
    }
    for (guint i = 0; i < core->records->len; i++) {
        records[count++] =
            g_array_index(core->records, struct quorum_record, i);
    }
    if (late) {
        add_hard(&records[count++], &core->hard);
    }
    core->written = core->hard;
    g_array_set_size(core->records, 0);
    core->hard_dirty = false;
    storing.token = ++core->token;
    storing.last = quorum_log_last(&core->log);
    g_array_append_val(core->storing, storing);
    action = quorum_act(core, QUORUM_ACT_STORE);
    action->u.store.token = storing.token;
    action->u.store.records = records;
    action->u.store.count = count;
}

static void
emit_send(struct quorum_core *core, struct quorum_outgoing *outgoing)
{
    struct quorum_action *action = quorum_act(core, QUORUM_ACT_SEND);

    action->u.send.to = outgoing->to;
    action->u.send.message = outgoing->message;
}

/* End the step: store what it changed, send what need not wait. */
void
quorum_flush(struct quorum_core *core)
{
    struct quorum_action *action;

    if (core->role_dirty) {
        core->role_dirty = false;
        action = quorum_act(core, QUORUM_ACT_ROLE);
        action->u.role.role = core->role;
        action->u.role.term = core->hard.term;
        action->u.role.leader = core->leader;
    }
    if (core->failed) {
        return;
    }
    emit_store(core);
    for (guint i = 0; i < core->outgoing->len; i++) {
        struct quorum_outgoing *outgoing =
            &g_array_index(core->outgoing, struct quorum_outgoing, i);

        if (outgoing->free || core->token == core->stored_token) {
            emit_send(core, outgoing);
            continue;
        }
        outgoing->token = core->token;
        g_array_append_val(core->waiting, *outgoing);
    }
    g_array_set_size(core->outgoing, 0);
    if (core->take_now) {
        quorum_act(core, QUORUM_ACT_TAKE_SNAPSHOT)->u.take_snapshot =
            quorum_snapshot_begin(core);
    }
}

/* The records up to TOKEN are stored: send what has waited for them. */
void
quorum_stored_token(struct quorum_core *core, uint64_t token)
{
    guint done = 0;

    core->stored_token = MAX(core->stored_token, token);
    while (done < core->storing->len) {
        struct quorum_storing *storing =
            &g_array_index(core->storing, struct quorum_storing, done);

        if (storing->token > token) {
            break;
        }
        core->stored = MAX(core->stored, storing->last);
        done++;
    }
    g_array_remove_range(core->storing, 0, done);
    done = 0;
    while (done < core->waiting->len) {
        struct quorum_outgoing *outgoing =
            &g_array_index(core->waiting, struct quorum_outgoing, done);

        if (outgoing->token > token) {
            break;
        }
        emit_send(core, outgoing);
        done++;
    }
    g_array_remove_range(core->waiting, 0, done);
}

/* Forget the messages that wait: their records will never be stored. */
void
quorum_drop_waiting(struct quorum_core *core)
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
