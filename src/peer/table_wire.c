/* Packing and unpacking of table commands and updates as protobuf messages. */
#include "peer/table_wire.h"

#include <string.h>

#include "peer/table.pb-c.h"
#include "peer/table_wire_row.h"

static bool command_from_pb(const Parsleyspur__TableCommand *,
                            struct table_command *);
static void epoch_to_pb(const struct table_epoch *, Parsleyspur__TableEpoch *);
static bool epoch_from_pb(const Parsleyspur__TableEpoch *,
                          struct table_epoch *);
static void pack_edit(const struct table_edit *, GByteArray *);
static void pack_epoch(const struct table_epoch *, GByteArray *);
static void pack_message(const ProtobufCMessage *, GByteArray *);
static bool update_from_pb(const Parsleyspur__TableUpdate *,
                           struct table_update *);
static bool update_lists_from_pb(const Parsleyspur__TableUpdate *,
                                 struct table_update *);

/* Append the encoding of MESSAGE to OUT. */
static void
pack_message(const ProtobufCMessage *message, GByteArray *out)
{
    size_t len = protobuf_c_message_get_packed_size(message);
    guint start = out->len;

    g_byte_array_set_size(out, start + (guint)len);
    protobuf_c_message_pack(message, out->data + start);
}

/*
 * Convert EPOCH to PB, which refers to the arrays of EPOCH and must not
 * outlive it.
 */
static void
epoch_to_pb(const struct table_epoch *epoch, Parsleyspur__TableEpoch *pb)
{
    parsleyspur__table_epoch__init(pb);
    pb->pool = epoch->pool.value;
    pb->epoch = epoch->epoch;
    pb->stamp = epoch->sequence;
    pb->previous = epoch->previous;
    pb->lead = epoch->owner.value;
    pb->n_group = epoch->group_count;
    pb->group = (uint64_t *)&epoch->group[0].value;
    pb->n_incarnations = epoch->group_count;
    pb->incarnations = (uint64_t *)(uintptr_t)epoch->incarnations;
}

/* Convert PB to EPOCH; return false if the group of PB is malformed. */
static bool
epoch_from_pb(const Parsleyspur__TableEpoch *pb, struct table_epoch *epoch)
{
    if (pb->n_group > TABLE_GROUP_MAX || pb->n_incarnations != pb->n_group) {
        return false;
    }
    memset(epoch, 0, sizeof(*epoch));
    epoch->pool.value = pb->pool;
    epoch->epoch = pb->epoch;
    epoch->sequence = pb->stamp;
    epoch->previous = pb->previous;
    epoch->owner.value = pb->lead;
    epoch->group_count = pb->n_group;
    for (size_t i = 0; i < pb->n_group; i++) {
        epoch->group[i].value = pb->group[i];
        epoch->incarnations[i] = pb->incarnations[i];
    }
    return true;
}

/* Append the encoding of a command with EDIT to OUT. */
static void
pack_edit(const struct table_edit *edit, GByteArray *out)
{
    Parsleyspur__TableCommand command = PARSLEYSPUR__TABLE_COMMAND__INIT;
    Parsleyspur__TableEdit pb = PARSLEYSPUR__TABLE_EDIT__INIT;
    struct table_wire_row row;

    table_wire_row_to_pb(&row, &edit->row);
    pb.id = (char *)edit->id;
    pb.base_version = edit->base_version;
    pb.remove = edit->operation == TABLE_DELETE;
    pb.row = &row.row;
    command.edit = &pb;
    pack_message(&command.base, out);
    table_wire_row_clear(&row);
}

/* Append the encoding of a command with the call epoch EPOCH to OUT. */
static void
pack_epoch(const struct table_epoch *epoch, GByteArray *out)
{
    Parsleyspur__TableCommand command = PARSLEYSPUR__TABLE_COMMAND__INIT;
    Parsleyspur__TableEpoch pb;

    epoch_to_pb(epoch, &pb);
    command.call_epoch = &pb;
    pack_message(&command.base, out);
}

/* Append the encoding of COMMAND to OUT. */
void
table_wire_pack_command(const struct table_command *command, GByteArray *out)
{
    switch (command->kind) {
    case TABLE_COMMAND_EDIT:
        pack_edit(&command->u.edit, out);
        return;
    case TABLE_COMMAND_CALL_EPOCH:
        pack_epoch(&command->u.call_epoch, out);
        return;
    case TABLE_COMMAND__MAX:
        return;
    }
}

/* Convert PB to COMMAND, which the caller clears; false if PB is malformed. */
static bool
command_from_pb(const Parsleyspur__TableCommand *pb,
                struct table_command *command)
{
    struct table_edit *edit = &command->u.edit;

    if ((pb->edit == NULL) == (pb->call_epoch == NULL)) {
        return false;
    }
    if (pb->call_epoch != NULL) {
        command->kind = TABLE_COMMAND_CALL_EPOCH;
        return epoch_from_pb(pb->call_epoch, &command->u.call_epoch);
    }
    command->kind = TABLE_COMMAND_EDIT;
    if (strlen(pb->edit->id) >= sizeof(edit->id)) {
        return false;
    }
    g_strlcpy(edit->id, pb->edit->id, sizeof(edit->id));
    edit->base_version = pb->edit->base_version;
    edit->operation = pb->edit->remove ? TABLE_DELETE : TABLE_SET;
    return table_wire_row_from_pb(pb->edit->row, &edit->row);
}

/*
 * Decode COMMAND from LEN bytes at DATA.  On true, the caller frees COMMAND
 * with table_command_clear().  Return false and set COMMAND to zero if the
 * bytes do not decode to a command.
 */
bool
table_wire_unpack_command(const uint8_t *data, size_t len,
                          struct table_command *command)
{
    Parsleyspur__TableCommand *pb;
    bool valid;

    memset(command, 0, sizeof(*command));
    pb = parsleyspur__table_command__unpack(NULL, len, data);
    if (pb == NULL) {
        return false;
    }
    valid = command_from_pb(pb, command);
    parsleyspur__table_command__free_unpacked(pb, NULL);
    if (!valid) {
        table_command_clear(command);
    }
    return valid;
}

/* The protobuf structs that a packed update refers to. */
struct update_parts {
    Parsleyspur__TableChange *changes;
    Parsleyspur__TableChange **change_list;
    struct table_wire_row *rows;
    Parsleyspur__TableEpoch *epochs;
    Parsleyspur__TableEpoch **epoch_list;
    Parsleyspur__TableAnswer *answers;
    Parsleyspur__TableAnswer **answer_list;
};

static void parts_fill(struct update_parts *, const struct table_update *);
static void parts_free(struct update_parts *, const struct table_update *);
static void answer_to_pb(const struct table_answer *,
                         Parsleyspur__TableAnswer *);

/* Convert ANSWER to PB, which refers to the strings of ANSWER. */
static void
answer_to_pb(const struct table_answer *answer, Parsleyspur__TableAnswer *pb)
{
    parsleyspur__table_answer__init(pb);
    pb->id = (char *)answer->id;
    pb->reason = answer->reason;
    pb->version = answer->version;
    if (answer->message != NULL) {
        pb->message = answer->message;
    }
}

/* Allocate and fill PARTS from UPDATE; parts_free() frees them. */
static void
parts_fill(struct update_parts *parts, const struct table_update *update)
{
    size_t changes = update->changes->len;
    size_t epochs = update->epochs->len;
    size_t answers = update->answers->len;

    parts->changes = g_new(Parsleyspur__TableChange, changes);
    parts->change_list = g_new(Parsleyspur__TableChange *, changes);
    parts->rows = g_new(struct table_wire_row, changes);
    for (size_t i = 0; i < changes; i++) {
        const struct table_change *change = update->changes->pdata[i];

        parsleyspur__table_change__init(&parts->changes[i]);
        table_wire_row_to_pb(&parts->rows[i], &change->row);
        parts->changes[i].version = change->row.version;
        parts->changes[i].remove = change->remove;
        parts->changes[i].row = &parts->rows[i].row;
        parts->change_list[i] = &parts->changes[i];
    }
    parts->epochs = g_new(Parsleyspur__TableEpoch, epochs);
    parts->epoch_list = g_new(Parsleyspur__TableEpoch *, epochs);
    for (size_t i = 0; i < epochs; i++) {
        epoch_to_pb(&g_array_index(update->epochs, struct table_epoch, i),
                    &parts->epochs[i]);
        parts->epoch_list[i] = &parts->epochs[i];
    }
    parts->answers = g_new(Parsleyspur__TableAnswer, answers);
    parts->answer_list = g_new(Parsleyspur__TableAnswer *, answers);
    for (size_t i = 0; i < answers; i++) {
        answer_to_pb(update->answers->pdata[i], &parts->answers[i]);
        parts->answer_list[i] = &parts->answers[i];
    }
}

/* Free the memory that parts_fill() allocated for UPDATE. */
static void
parts_free(struct update_parts *parts, const struct table_update *update)
{
    for (size_t i = 0; i < update->changes->len; i++) {
        table_wire_row_clear(&parts->rows[i]);
    }
    g_free(parts->changes);
    g_free(parts->change_list);
    g_free(parts->rows);
    g_free(parts->epochs);
    g_free(parts->epoch_list);
    g_free(parts->answers);
    g_free(parts->answer_list);
}

/* Append the encoding of UPDATE to OUT. */
void
table_wire_pack_update(const struct table_update *update, GByteArray *out)
{
    Parsleyspur__TableUpdate pb = PARSLEYSPUR__TABLE_UPDATE__INIT;
    struct update_parts parts;

    parts_fill(&parts, update);
    pb.whole = update->full;
    pb.from_version = update->from.version;
    pb.from_epoch = update->from.epoch_sequence;
    pb.to_version = update->to.version;
    pb.to_epoch = update->to.epoch_sequence;
    pb.applied = update->applied;
    pb.n_changes = update->changes->len;
    pb.changes = parts.change_list;
    pb.n_epochs = update->epochs->len;
    pb.epochs = parts.epoch_list;
    pb.with_answers = update->with_answers;
    pb.answers_floor = update->answers_min_version;
    pb.n_answers = update->answers->len;
    pb.answers = parts.answer_list;
    pack_message(&pb.base, out);
    parts_free(&parts, update);
}

/*
 * Add the changes, call epochs and answers of PB to UPDATE; return false if
 * one is malformed.
 */
static bool
update_lists_from_pb(const Parsleyspur__TableUpdate *pb,
                     struct table_update *update)
{
    for (size_t i = 0; i < pb->n_changes; i++) {
        struct table_change *change = g_new0(struct table_change, 1);

        g_ptr_array_add(update->changes, change);
        if (!table_wire_row_from_pb(pb->changes[i]->row, &change->row)) {
            return false;
        }
        change->remove = pb->changes[i]->remove;
        change->row.version = pb->changes[i]->version;
    }
    for (size_t i = 0; i < pb->n_epochs; i++) {
        struct table_epoch epoch;

        if (!epoch_from_pb(pb->epochs[i], &epoch)) {
            return false;
        }
        g_array_append_val(update->epochs, epoch);
    }
    for (size_t i = 0; i < pb->n_answers; i++) {
        const Parsleyspur__TableAnswer *answer = pb->answers[i];

        if (strlen(answer->id) >= TABLE_EDIT_ID_MAX ||
            answer->reason >= TABLE_REASON__MAX) {
            return false;
        }
        g_ptr_array_add(update->answers,
                        table_answer_new(answer->id,
                                         (enum table_reason)answer->reason,
                                         answer->version, answer->message));
    }
    return true;
}

/* Convert PB to UPDATE; return false if a list of PB is malformed. */
static bool
update_from_pb(const Parsleyspur__TableUpdate *pb, struct table_update *update)
{
    update->full = pb->whole;
    update->from.version = pb->from_version;
    update->from.epoch_sequence = pb->from_epoch;
    update->to.version = pb->to_version;
    update->to.epoch_sequence = pb->to_epoch;
    update->applied = pb->applied;
    update->with_answers = pb->with_answers;
    update->answers_min_version = pb->answers_floor;
    return update_lists_from_pb(pb, update);
}

/*
 * Decode UPDATE from LEN bytes at DATA.  On true, the caller frees UPDATE with
 * table_update_clear().  Return false if the bytes do not decode to an update.
 */
bool
table_wire_unpack_update(const uint8_t *data, size_t len,
                         struct table_update *update)
{
    Parsleyspur__TableUpdate *pb;
    bool valid;

    pb = parsleyspur__table_update__unpack(NULL, len, data);
    if (pb == NULL) {
        return false;
    }
    table_update_init(update);
    valid = update_from_pb(pb, update);
    parsleyspur__table_update__free_unpacked(pb, NULL);
    if (!valid) {
        table_update_clear(update);
    }
    return valid;
}
