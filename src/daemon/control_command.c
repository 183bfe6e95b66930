/*
 * Commands of the tables: proposed on the leader, applied by every voter,
 * answered where they were proposed.
 */
#include "daemon/control_private.h"

#include <string.h>

#include "daemon/api_handlers.h"
#include "peer/table_wire.h"

static void spread_version(struct daemon *, uint64_t before);
static void finish(struct daemon *, struct control_wait *,
                   const struct control_outcome *);
static void propose(struct daemon *, struct control_wait *, GByteArray *);
static void tell_epoch(struct daemon *, const struct control_message *);
static GByteArray *epoch_command(const struct call_epoch_request *);

/* Apply a committed entry, and answer whoever proposed it here. */
void
control_apply(struct daemon *daemon, const struct quorum_entry *entry)
{
    struct control *control = daemon->control;
    uint64_t before = table_core_position(control->tables).version;
    struct control_outcome outcome = {.available = true};
    struct control_wait *wait;
    const uint8_t *data;
    gsize len;

    if (entry->kind != QUORUM_ENTRY_COMMAND) {
        return;
    }
    data = g_bytes_get_data(entry->command, &len);
    table_core_apply(control->tables, entry->index, data, len,
                     &outcome.result);
    if (table_core_position(control->tables).version > before) {
        spread_version(daemon, before);
    }
    wait = g_hash_table_lookup(control->waiting, &entry->request);
    if (entry->request != 0 && wait != NULL) {
        finish(daemon, wait, &outcome);
    }
}

/* Give the version just made to the entry daemons. */
static void
spread_version(struct daemon *daemon, uint64_t before)
{
    struct control *control = daemon->control;
    uint64_t after = table_core_position(control->tables).version;
    struct spread_event event = {.kind = SPREAD_EV_COMMITTED};
    GByteArray *bytes;

    if (!control->leading) {
        return;
    }
    bytes = g_byte_array_new();
    event.u.committed.from = table_core_pack_rows(
        control->tables, before, after, bytes, &event.u.committed.to);
    event.u.committed.data = bytes->data;
    event.u.committed.len = bytes->len;
    daemon_spread_event(daemon, &event);
    g_byte_array_unref(bytes);
}

/* A proposal was refused, or its leader cannot know what became of it. */
void
control_refused(struct daemon *daemon, enum quorum_refusal reason,
                uint64_t request)
{
    static const char *const remedies[QUORUM_REFUSAL__MAX] = {
        [QUORUM_NOT_LEADER] = "no longer the leader; send the edit again",
        [QUORUM_NO_QUORUM] = "a majority of the voters cannot be reached; "
                             "repair them, then send the edit again",
        [QUORUM_BUSY] = "too many edits wait; send the edit again in a second",
        [QUORUM_NO_SPACE] = "the data folder is full; free space, then send "
                            "the edit again",
        [QUORUM_TOO_LARGE] = "the row is too large; name fewer targets",
        [QUORUM_OUTCOME_UNKNOWN] =
            "the lead was lost before the edit was committed; "
            "send it again with the same edit id",
    };
    struct control_outcome outcome = {.available = false};
    struct control_wait *wait =
        g_hash_table_lookup(daemon->control->waiting, &request);

    if (wait == NULL) {
        return;
    }
    g_strlcpy(outcome.message, remedies[reason], sizeof(outcome.message));
    finish(daemon, wait, &outcome);
}

/* Answer all that waits, since nobody knows what became of it. */
void
control_refuse_waiting(struct daemon *daemon)
{
    GList *requests = g_hash_table_get_values(daemon->control->waiting);
    struct control_outcome outcome = {.available = false};

    g_strlcpy(outcome.message,
              "the log could not be written; send the edit again with the "
              "same edit id",
              sizeof(outcome.message));
    for (GList *item = requests; item != NULL; item = item->next) {
        finish(daemon, item->data, &outcome);
    }
    g_list_free(requests);
}

/* Answer what waited for a proposal, and forget it. */
static void
finish(struct daemon *daemon, struct control_wait *wait,
       const struct control_outcome *outcome)
{
    switch (wait->kind) {
    case CONTROL_WAIT_EDIT:
        daemon_api_edit_done(daemon, &wait->caller, wait->edit_id, outcome);
        break;
    case CONTROL_WAIT_EPOCH:
        if (outcome->available) {
            tell_epoch(daemon, &wait->epoch);
        }
        break;
    case CONTROL_WAIT__MAX:
        break;
    }
    g_hash_table_remove(daemon->control->waiting, &wait->request);
}

/* Propose COMMAND, which is taken over, for what WAIT says. */
static void
propose(struct daemon *daemon, struct control_wait *wait, GByteArray *command)
{
    struct control *control = daemon->control;
    struct quorum_event event = {.kind = QUORUM_EV_PROPOSE};
    struct quorum_proposal proposal;

    wait->request = ++control->next_request;
    g_hash_table_insert(control->waiting, &wait->request, wait);
    proposal.request = wait->request;
    proposal.command = g_byte_array_free_to_bytes(command);
    event.u.propose.items = &proposal;
    event.u.propose.count = 1;
    control_step(daemon, &event);
    g_bytes_unref(proposal.command);
}

/*
 * Have EDIT committed.  An id that was answered before gets its first answer
 * at once.
 */
void
control_edit(struct daemon *daemon, const struct table_edit *edit,
             const struct api_caller *caller)
{
    struct table_command command = {.kind = TABLE_COMMAND_EDIT};
    struct control_outcome outcome = {.available = true};
    struct control_wait *wait;
    GByteArray *bytes;

    if (table_core_answer(daemon->control->tables, edit->id,
                          &outcome.result)) {
        daemon_api_edit_done(daemon, caller, edit->id, &outcome);
        return;
    }
    wait = g_new0(struct control_wait, 1);
    wait->kind = CONTROL_WAIT_EDIT;
    wait->caller = *caller;
    g_strlcpy(wait->edit_id, edit->id, sizeof(wait->edit_id));
    command.u.edit = *edit;
    bytes = g_byte_array_new();
    table_wire_pack_command(&command, bytes);
    propose(daemon, wait, bytes);
}

/* Pass a wish for a call epoch on towards the leader. */
void
control_want_epoch(struct daemon *daemon,
                   const struct call_epoch_request *want)
{
    struct control_message message = {.kind = CONTROL_EPOCH_WANT};

    message.u.epoch_want.want = *want;
    message.u.epoch_want.origin = daemon->self;
    control_epoch_request(daemon, &message);
}

/* Tell the daemon that asked the pool's epoch as it is now. */
static void
tell_epoch(struct daemon *daemon, const struct control_message *asked)
{
    const struct call_epoch_request *want = &asked->u.epoch_want.want;
    struct control_message message = {.kind = CONTROL_EPOCH_TELL};
    struct call_epoch *epoch = &message.u.epoch_tell.epoch;
    struct call_event event = {.kind = CALL_EV_EPOCH};
    struct table_epoch found;
    GByteArray *bytes;

    if (!control_is_current(daemon)) {
        return;
    }
    table_core_epoch(control_tables(daemon), want->pool, &found);
    epoch->pool = want->pool;
    epoch->number = found.epoch;
    epoch->group_count = (uint32_t)MIN(found.group_count, CALL_GROUP_MAX);
    for (uint32_t i = 0; i < epoch->group_count; i++) {
        epoch->group[i].daemon = found.group[i];
        epoch->group[i].incarnation = found.incarnations[i];
    }
    message.u.epoch_tell.asked_us = want->requested_us;
    if (asked->u.epoch_want.origin.value == daemon->self.value) {
        event.u.epoch.epoch = *epoch;
        event.u.epoch.requested_us = want->requested_us;
        daemon_call_event(daemon, &event);
        return;
    }
    bytes = g_byte_array_new();
    control_wire_pack(&message, bytes);
    mesh_send(daemon->mesh, asked->u.epoch_want.origin, PEER_CONTROL,
              bytes->data, bytes->len);
    g_byte_array_unref(bytes);
}

/* The command that a wish for an epoch becomes; the caller frees it. */
static GByteArray *
epoch_command(const struct call_epoch_request *want)
{
    struct table_command command = {.kind = TABLE_COMMAND_CALL_EPOCH};
    struct table_epoch *epoch = &command.u.call_epoch;
    GByteArray *bytes = g_byte_array_new();

    epoch->pool = want->pool;
    epoch->previous = want->previous;
    epoch->owner = want->group[0].daemon;
    epoch->group_count = want->group_count;
    for (uint32_t i = 0; i < want->group_count; i++) {
        epoch->group[i] = want->group[i].daemon;
        epoch->incarnations[i] = want->group[i].incarnation;
    }
    table_wire_pack_command(&command, bytes);
    return bytes;
}

/* Serve a wish for an epoch here, or pass it on towards the leader. */
void
control_epoch_request(struct daemon *daemon, struct control_message *message)
{
    struct control_wait *wait;

    if (!control_is_current(daemon)) {
        daemon_api_pass_want(daemon, message);
        return;
    }
    if (message->u.epoch_want.want.confirm) {
        tell_epoch(daemon, message);
        return;
    }
    wait = g_new0(struct control_wait, 1);
    wait->kind = CONTROL_WAIT_EPOCH;
    wait->epoch = *message;
    propose(daemon, wait, epoch_command(&message->u.epoch_want.want));
}

/* Give what a daemon with version FROM lacks. */
void
control_need(struct daemon *daemon, struct daemon_id to, uint64_t from,
             uint64_t version)
{
    struct spread_event event = {.kind = SPREAD_EV_DIFFERENCE};
    struct spread_bytes *given = &event.u.difference.bytes;
    GByteArray *bytes = g_byte_array_new();

    event.u.difference.to = to;
    given->from = table_core_pack_rows(control_tables(daemon), from, version,
                                       bytes, &given->to);
    given->data = bytes->data;
    given->len = bytes->len;
    daemon_spread_event(daemon, &event);
    g_byte_array_unref(bytes);
}
