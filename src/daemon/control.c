/* The control role over one voter that keeps nothing: the thin path. */
#include "daemon/control.h"

#include <string.h>

#include "daemon/api_handlers.h"
#include "peer/table_wire.h"

struct control {
    struct table_core *tables;
    uint64_t index;
    struct table_position spread; /* as of the last version */
};

static void commit(struct daemon *, const GByteArray *, struct table_result *);

bool
control_start(struct daemon *daemon, GError **error)
{
    struct table_core_options options = {0};
    struct spread_event event = {.kind = SPREAD_EV_LEAD};

    (void)error;
    if (!daemon->settings->control) {
        return true;
    }
    daemon->control = g_new0(struct control, 1);
    daemon->control->tables = table_core_new(&options);
    event.u.lead.term = 1;
    event.u.lead.leading = true;
    daemon_spread_event(daemon, &event);
    return true;
}

void
control_tick(struct daemon *daemon, uint64_t now_us)
{
    (void)daemon;
    (void)now_us;
}

void
control_message(struct daemon *daemon, struct daemon_id from,
                const uint8_t *data, size_t len)
{
    (void)daemon;
    (void)from;
    (void)data;
    (void)len;
}

void
control_close(struct daemon *daemon)
{
    (void)daemon;
}

void
control_stop(struct daemon *daemon)
{
    if (daemon->control != NULL) {
        table_core_free(daemon->control->tables);
        g_free(daemon->control);
    }
}

struct daemon_id
control_leader(const struct daemon *daemon)
{
    if (daemon->control != NULL) {
        return daemon->self;
    }
    return (struct daemon_id){0};
}

bool
control_is_current(const struct daemon *daemon)
{
    return daemon->control != NULL;
}

const struct table_core *
control_tables(const struct daemon *daemon)
{
    return daemon->control != NULL ? daemon->control->tables
                                   : daemon->in_force;
}

/* Apply a command, and give a new version to the entry daemons. */
static void
commit(struct daemon *daemon, const GByteArray *command,
       struct table_result *result)
{
    struct control *control = daemon->control;
    struct table_position before = control->spread;
    struct spread_event event = {.kind = SPREAD_EV_COMMITTED};
    GByteArray *bytes = g_byte_array_new();
    struct table_position after;

    table_core_apply(control->tables, ++control->index, command->data,
                     command->len, result);
    after = table_core_position(control->tables);
    if (after.version > before.version &&
        table_core_difference(control->tables, before, after.version, bytes)) {
        event.u.committed.from = before.version;
        event.u.committed.to = after.version;
        event.u.committed.data = bytes->data;
        event.u.committed.len = bytes->len;
        control->spread = after;
        daemon_spread_event(daemon, &event);
    }
    g_byte_array_unref(bytes);
}

void
control_edit(struct daemon *daemon, const struct table_edit *edit,
             const struct api_caller *caller)
{
    struct table_command command = {.kind = TABLE_COMMAND_EDIT};
    struct control_outcome outcome = {.available = true};
    GByteArray *bytes = g_byte_array_new();

    command.u.edit = *edit;
    table_wire_pack_command(&command, bytes);
    commit(daemon, bytes, &outcome.result);
    g_byte_array_unref(bytes);
    daemon_api_edit_done(daemon, caller, edit->id, &outcome);
}

/* Pass a wish for a call epoch on towards the leader. */
void
control_want_epoch(struct daemon *daemon, const struct call_want *want)
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
    const struct call_want *want = &asked->u.epoch_want.want;
    struct control_message message = {.kind = CONTROL_EPOCH_TELL};
    struct call_epoch *epoch = &message.u.epoch_tell.epoch;
    struct call_event event = {.kind = CALL_EV_EPOCH};
    struct table_epoch found;
    GByteArray *bytes;

    table_core_epoch(control_tables(daemon), want->pool, &found);
    epoch->pool = want->pool;
    epoch->number = found.epoch;
    epoch->group_count = (uint32_t)MIN(found.group_count, CALL_GROUP_MAX);
    for (uint32_t i = 0; i < epoch->group_count; i++) {
        epoch->group[i].daemon = found.group[i];
        epoch->group[i].incarnation = found.incarnations[i];
    }
    message.u.epoch_tell.asked_us = want->asked_us;
    if (asked->u.epoch_want.origin.value == daemon->self.value) {
        event.u.epoch.epoch = *epoch;
        event.u.epoch.asked_us = want->asked_us;
        daemon_call_event(daemon, &event);
        return;
    }
    bytes = g_byte_array_new();
    control_wire_pack(&message, bytes);
    mesh_send(daemon->mesh, asked->u.epoch_want.origin, PEER_CONTROL,
              bytes->data, bytes->len);
    g_byte_array_unref(bytes);
}

/* The command that a wish for an epoch becomes; free BYTES. */
static GByteArray *
epoch_command(const struct call_want *want)
{
    struct table_command command = {.kind = TABLE_COMMAND_CALL_EPOCH};
    struct table_epoch *epoch = &command.u.call_epoch;
    GByteArray *bytes = g_byte_array_new();

    epoch->pool = want->pool;
    epoch->previous = want->previous;
    epoch->lead = want->group[0].daemon;
    epoch->group_count = want->group_count;
    for (uint32_t i = 0; i < want->group_count; i++) {
        epoch->group[i] = want->group[i].daemon;
        epoch->incarnations[i] = want->group[i].incarnation;
    }
    table_wire_pack_command(&command, bytes);
    return bytes;
}

void
control_epoch_request(struct daemon *daemon, struct control_message *message)
{
    struct table_result result;
    GByteArray *bytes;

    if (!control_is_current(daemon)) {
        daemon_api_pass_want(daemon, message);
        return;
    }
    if (!message->u.epoch_want.want.confirm) {
        bytes = epoch_command(&message->u.epoch_want.want);
        commit(daemon, bytes, &result);
        g_byte_array_unref(bytes);
    }
    tell_epoch(daemon, message);
}

/* Give what a daemon with version FROM lacks. */
void
control_need(struct daemon *daemon, struct daemon_id to, uint64_t from,
             uint64_t version)
{
    const struct table_core *tables = control_tables(daemon);
    struct table_position position = {from, 0};
    struct spread_event event = {.kind = SPREAD_EV_DIFFERENCE};
    GByteArray *bytes = g_byte_array_new();

    event.u.difference.to = to;
    event.u.difference.bytes.from = from;
    event.u.difference.bytes.to = version;
    if (from == 0 ||
        !table_core_difference(tables, position, version, bytes)) {
        event.u.difference.bytes.from = 0;
        event.u.difference.bytes.to = table_core_position(tables).version;
        table_core_snapshot(tables, TABLE_ROWS, bytes);
    }
    event.u.difference.bytes.data = bytes->data;
    event.u.difference.bytes.len = bytes->len;
    daemon_spread_event(daemon, &event);
    g_byte_array_unref(bytes);
}

void
control_in_force(struct daemon *daemon, uint64_t version)
{
    (void)daemon;
    (void)version;
}
