/* Control messages by protobuf-c. */
#include "peer/control_wire.h"

#include <string.h>

#include "peer/control.pb-c.h"

/* Members of a group while they are packed. */
struct group {
    Parsleyspur__EpochMember members[CALL_GROUP_MAX];
    Parsleyspur__EpochMember *pointers[CALL_GROUP_MAX];
};

static void pack_group(const struct call_member *, size_t, struct group *);
static bool read_group(Parsleyspur__EpochMember **, size_t,
                       struct call_member *, uint32_t *count);
static void append(const Parsleyspur__Control *, GByteArray *);
static void pack_api_request(const struct control_message *, GByteArray *);
static void pack_api_answer(const struct control_message *, GByteArray *);
static void pack_epoch_want(const struct control_message *, GByteArray *);
static void pack_epoch_tell(const struct control_message *, GByteArray *);
static void read_api_request(const Parsleyspur__ApiRequest *,
                             struct control_message *);
static void read_api_answer(const Parsleyspur__ApiAnswer *,
                            struct control_message *);
static bool read_epoch_want(const Parsleyspur__EpochWant *,
                            struct control_message *);
static bool read_epoch_tell(const Parsleyspur__EpochTell *,
                            struct control_message *);
static bool read_message(const Parsleyspur__Control *,
                         struct control_message *);

static void
append(const Parsleyspur__Control *control, GByteArray *out)
{
    size_t len = parsleyspur__control__get_packed_size(control);
    guint before = out->len;

    g_byte_array_set_size(out, (guint)(before + len));
    parsleyspur__control__pack(control, out->data + before);
}

static void
pack_group(const struct call_member *members, size_t count,
           struct group *group)
{
    for (size_t i = 0; i < count; i++) {
        parsleyspur__epoch_member__init(&group->members[i]);
        group->members[i].daemon = members[i].daemon.value;
        group->members[i].incarnation = members[i].incarnation;
        group->pointers[i] = &group->members[i];
    }
}

static void
pack_api_request(const struct control_message *message, GByteArray *out)
{
    Parsleyspur__Control control = PARSLEYSPUR__CONTROL__INIT;
    Parsleyspur__ApiRequest request = PARSLEYSPUR__API_REQUEST__INIT;

    request.id = message->u.api_request.id;
    request.method = message->u.api_request.method;
    request.path = message->u.api_request.path;
    request.body.data = message->u.api_request.body;
    request.body.len = message->u.api_request.body_len;
    request.hops = message->u.api_request.hops;
    request.origin = message->u.api_request.origin.value;
    control.kind_case = PARSLEYSPUR__CONTROL__KIND_API_REQUEST;
    control.api_request = &request;
    append(&control, out);
}

static void
pack_api_answer(const struct control_message *message, GByteArray *out)
{
    Parsleyspur__Control control = PARSLEYSPUR__CONTROL__INIT;
    Parsleyspur__ApiAnswer answer = PARSLEYSPUR__API_ANSWER__INIT;

    answer.id = message->u.api_answer.id;
    answer.status = message->u.api_answer.status;
    answer.body.data = message->u.api_answer.body;
    answer.body.len = message->u.api_answer.body_len;
    control.kind_case = PARSLEYSPUR__CONTROL__KIND_API_ANSWER;
    control.api_answer = &answer;
    append(&control, out);
}

static void
pack_epoch_want(const struct control_message *message, GByteArray *out)
{
    const struct call_epoch_request *want = &message->u.epoch_want.want;
    Parsleyspur__Control control = PARSLEYSPUR__CONTROL__INIT;
    Parsleyspur__EpochWant packed = PARSLEYSPUR__EPOCH_WANT__INIT;
    struct group group;

    pack_group(want->group, want->group_count, &group);
    packed.pool = want->pool.value;
    packed.previous = want->previous;
    packed.confirm = want->confirm;
    packed.asked_us = want->requested_us;
    packed.n_group = want->group_count;
    packed.group = group.pointers;
    packed.hops = message->u.epoch_want.hops;
    packed.origin = message->u.epoch_want.origin.value;
    control.kind_case = PARSLEYSPUR__CONTROL__KIND_EPOCH_WANT;
    control.epoch_want = &packed;
    append(&control, out);
}

static void
pack_epoch_tell(const struct control_message *message, GByteArray *out)
{
    const struct call_epoch *epoch = &message->u.epoch_tell.epoch;
    Parsleyspur__Control control = PARSLEYSPUR__CONTROL__INIT;
    Parsleyspur__EpochTell packed = PARSLEYSPUR__EPOCH_TELL__INIT;
    struct group group;

    pack_group(epoch->group, epoch->group_count, &group);
    packed.pool = epoch->pool.value;
    packed.number = epoch->number;
    packed.n_group = epoch->group_count;
    packed.group = group.pointers;
    packed.asked_us = message->u.epoch_tell.asked_us;
    control.kind_case = PARSLEYSPUR__CONTROL__KIND_EPOCH_TELL;
    control.epoch_tell = &packed;
    append(&control, out);
}

/* Append MESSAGE, packed, to OUT. */
void
control_wire_pack(const struct control_message *message, GByteArray *out)
{
    switch (message->kind) {
    case CONTROL_API_REQUEST:
        pack_api_request(message, out);
        break;
    case CONTROL_API_ANSWER:
        pack_api_answer(message, out);
        break;
    case CONTROL_EPOCH_WANT:
        pack_epoch_want(message, out);
        break;
    case CONTROL_EPOCH_TELL:
        pack_epoch_tell(message, out);
        break;
    case CONTROL_MESSAGE__MAX:
        break;
    }
}

static bool
read_group(Parsleyspur__EpochMember **members, size_t count,
           struct call_member *out, uint32_t *out_count)
{
    if (count > CALL_GROUP_MAX) {
        return false;
    }
    for (size_t i = 0; i < count; i++) {
        out[i].daemon.value = members[i]->daemon;
        out[i].incarnation = members[i]->incarnation;
    }
    *out_count = (uint32_t)count;
    return true;
}

static void
read_api_request(const Parsleyspur__ApiRequest *request,
                 struct control_message *out)
{
    out->kind = CONTROL_API_REQUEST;
    out->u.api_request.id = request->id;
    out->u.api_request.method = g_strdup(request->method);
    out->u.api_request.path = g_strdup(request->path);
    out->u.api_request.body = g_memdup2(request->body.data, request->body.len);
    out->u.api_request.body_len = request->body.len;
    out->u.api_request.hops = request->hops;
    out->u.api_request.origin.value = request->origin;
}

static void
read_api_answer(const Parsleyspur__ApiAnswer *answer,
                struct control_message *out)
{
    out->kind = CONTROL_API_ANSWER;
    out->u.api_answer.id = answer->id;
    out->u.api_answer.status = answer->status;
    out->u.api_answer.body = g_memdup2(answer->body.data, answer->body.len);
    out->u.api_answer.body_len = answer->body.len;
}

static bool
read_epoch_want(const Parsleyspur__EpochWant *packed,
                struct control_message *out)
{
    struct call_epoch_request *want = &out->u.epoch_want.want;

    out->kind = CONTROL_EPOCH_WANT;
    want->pool.value = packed->pool;
    want->previous = packed->previous;
    want->confirm = packed->confirm;
    want->requested_us = packed->asked_us;
    out->u.epoch_want.hops = packed->hops;
    out->u.epoch_want.origin.value = packed->origin;
    return read_group(packed->group, packed->n_group, want->group,
                      &want->group_count);
}

static bool
read_epoch_tell(const Parsleyspur__EpochTell *packed,
                struct control_message *out)
{
    struct call_epoch *epoch = &out->u.epoch_tell.epoch;

    out->kind = CONTROL_EPOCH_TELL;
    epoch->pool.value = packed->pool;
    epoch->number = packed->number;
    out->u.epoch_tell.asked_us = packed->asked_us;
    return read_group(packed->group, packed->n_group, epoch->group,
                      &epoch->group_count);
}

static bool
read_message(const Parsleyspur__Control *control, struct control_message *out)
{
    switch (control->kind_case) {
    case PARSLEYSPUR__CONTROL__KIND_API_REQUEST:
        read_api_request(control->api_request, out);
        return true;
    case PARSLEYSPUR__CONTROL__KIND_API_ANSWER:
        read_api_answer(control->api_answer, out);
        return true;
    case PARSLEYSPUR__CONTROL__KIND_EPOCH_WANT:
        return read_epoch_want(control->epoch_want, out);
    case PARSLEYSPUR__CONTROL__KIND_EPOCH_TELL:
        return read_epoch_tell(control->epoch_tell, out);
    case PARSLEYSPUR__CONTROL__KIND__NOT_SET:
    case _PARSLEYSPUR__CONTROL__KIND__CASE_IS_INT_SIZE:
        break;
    }
    return false;
}

/* Unpack into MESSAGE, which control_message_clear() frees; false if bad. */
bool
control_wire_unpack(const uint8_t *data, size_t len,
                    struct control_message *message)
{
    Parsleyspur__Control *control =
        parsleyspur__control__unpack(NULL, len, data);
    bool ok;

    memset(message, 0, sizeof(*message));
    if (control == NULL) {
        return false;
    }
    ok = read_message(control, message);
    parsleyspur__control__free_unpacked(control, NULL);
    return ok;
}

/* Free what MESSAGE owns. */
void
control_message_clear(struct control_message *message)
{
    switch (message->kind) {
    case CONTROL_API_REQUEST:
        g_free(message->u.api_request.method);
        g_free(message->u.api_request.path);
        g_free(message->u.api_request.body);
        break;
    case CONTROL_API_ANSWER:
        g_free(message->u.api_answer.body);
        break;
    case CONTROL_EPOCH_WANT:
    case CONTROL_EPOCH_TELL:
    case CONTROL_MESSAGE__MAX:
        break;
    }
    memset(message, 0, sizeof(*message));
}
