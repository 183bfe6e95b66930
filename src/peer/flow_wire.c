/* Encodes and decodes the messages between flow cores. */
#include "peer/flow_wire.h"

#include "peer/flow.pb-c.h"

#define TARGET_SIZE 9 /* bytes of a target: address, incarnation, avoid */
#define CHANGE_SIZE 4
#define RECORD_SIZE 8
#define BUCKETS_MAX 65536

static void put_word(uint8_t *, uint64_t, size_t);
static uint64_t get_word(const uint8_t *, size_t);
static GByteArray *pack_targets(const GArray *);
static GByteArray *pack_words(const GArray *, size_t);
static void set_bytes(ProtobufCBinaryData *, GByteArray *);
static GArray *unpack_targets(const ProtobufCBinaryData *);
static GArray *unpack_words(const ProtobufCBinaryData *, size_t);

/* Write the lowest SIZE bytes of VALUE to OUT in network order. */
static void
put_word(uint8_t *out, uint64_t value, size_t size)
{
    for (size_t i = 0; i < size; i++) {
        out[i] = (uint8_t)(value >> (8 * (size - 1 - i)));
    }
}

/* Return the word of SIZE bytes at DATA, which is in network order. */
static uint64_t
get_word(const uint8_t *data, size_t size)
{
    uint64_t value = 0;

    for (size_t i = 0; i < size; i++) {
        value = value << 8 | data[i];
    }
    return value;
}

/* Return the encoded targets, which may be NULL; to be freed by the caller. */
static GByteArray *
pack_targets(const GArray *targets)
{
    GByteArray *out = g_byte_array_new();

    for (guint i = 0; targets != NULL && i < targets->len; i++) {
        const struct flow_map_target *target =
            &g_array_index(targets, struct flow_map_target, i);
        uint8_t bytes[TARGET_SIZE];

        put_word(bytes, target->key.address, 4);
        put_word(bytes + 4, target->key.incarnation, 4);
        bytes[8] = (uint8_t)target->avoid;
        g_byte_array_append(out, bytes, TARGET_SIZE);
    }
    return out;
}

/*
 * Return the encoded array of words of SIZE bytes, uint32_t or uint64_t, which
 * may be NULL; to be freed by the caller.
 */
static GByteArray *
pack_words(const GArray *words, size_t size)
{
    GByteArray *out = g_byte_array_new();

    for (guint i = 0; words != NULL && i < words->len; i++) {
        uint8_t bytes[RECORD_SIZE];
        uint64_t value = size == CHANGE_SIZE
                             ? g_array_index(words, uint32_t, i)
                             : g_array_index(words, uint64_t, i);

        put_word(bytes, value, size);
        g_byte_array_append(out, bytes, (guint)size);
    }
    return out;
}

/* Let FIELD refer to BYTES, which still own the memory. */
static void
set_bytes(ProtobufCBinaryData *field, GByteArray *bytes)
{
    field->data = bytes->data;
    field->len = bytes->len;
}

/* Append the encoded MESSAGE to OUT. */
void
flow_wire_pack(const struct flow_message *message, GByteArray *out)
{
    Parsleyspur__FlowMessage wire = PARSLEYSPUR__FLOW_MESSAGE__INIT;
    GByteArray *targets = pack_targets(message->targets);
    GByteArray *changes = pack_words(message->changes, CHANGE_SIZE);
    GByteArray *records = pack_words(message->records, RECORD_SIZE);
    guint start = out->len;
    size_t len;

    wire.kind = (uint32_t)message->kind;
    wire.pool = message->pool.value;
    wire.epoch = message->epoch;
    wire.prev_epoch = message->prev_epoch;
    wire.from_seq = message->from_seq;
    wire.seq = message->seq;
    wire.stream = message->stream;
    wire.position = message->position;
    wire.buckets = message->buckets;
    wire.share = message->share;
    set_bytes(&wire.targets, targets);
    set_bytes(&wire.changes, changes);
    set_bytes(&wire.records, records);
    len = parsleyspur__flow_message__get_packed_size(&wire);
    g_byte_array_set_size(out, start + (guint)len);
    parsleyspur__flow_message__pack(&wire, out->data + start);
    g_byte_array_unref(targets);
    g_byte_array_unref(changes);
    g_byte_array_unref(records);
}

/*
 * Return the targets in FIELD, to be freed by the caller; NULL if it is empty.
 */
static GArray *
unpack_targets(const ProtobufCBinaryData *field)
{
    GArray *out;

    if (field->len == 0) {
        return NULL;
    }
    out = g_array_new(FALSE, FALSE, sizeof(struct flow_map_target));
    for (size_t i = 0; i + TARGET_SIZE <= field->len; i += TARGET_SIZE) {
        struct flow_map_target target = {
            .key.address = (uint32_t)get_word(field->data + i, 4),
            .key.incarnation = (uint32_t)get_word(field->data + i + 4, 4),
            .avoid = field->data[i + 8],
        };

        g_array_append_val(out, target);
    }
    return out;
}

/*
 * Return the words of SIZE bytes in FIELD, to be freed by the caller; NULL if
 * it is empty.
 */
static GArray *
unpack_words(const ProtobufCBinaryData *field, size_t size)
{
    GArray *out;

    if (field->len == 0) {
        return NULL;
    }
    out = g_array_new(FALSE, FALSE, (guint)size);
    for (size_t i = 0; i + size <= field->len; i += size) {
        uint64_t value = get_word(field->data + i, size);
        uint32_t narrow = (uint32_t)value;

        if (size == CHANGE_SIZE) {
            g_array_append_val(out, narrow);
        }
        else {
            g_array_append_val(out, value);
        }
    }
    return out;
}

/*
 * Decode LEN bytes at DATA into MESSAGE, to be freed by flow_message_clear().
 * Return false, with nothing to free, if they are malformed or out of range.
 */
bool
flow_wire_unpack(const uint8_t *data, size_t len, struct flow_message *message)
{
    Parsleyspur__FlowMessage *wire =
        parsleyspur__flow_message__unpack(NULL, len, data);
    bool valid;

    *message = (struct flow_message){0};
    if (wire == NULL) {
        return false;
    }
    valid = wire->kind < FLOW_MSG__MAX && wire->buckets <= BUCKETS_MAX &&
            wire->targets.len % TARGET_SIZE == 0 &&
            wire->changes.len % CHANGE_SIZE == 0 &&
            wire->records.len % RECORD_SIZE == 0;
    if (valid) {
        message->kind = (enum flow_message_kind)wire->kind;
        message->pool.value = wire->pool;
        message->epoch = wire->epoch;
        message->prev_epoch = wire->prev_epoch;
        message->from_seq = wire->from_seq;
        message->seq = wire->seq;
        message->stream = wire->stream;
        message->position = wire->position;
        message->buckets = wire->buckets;
        message->share = wire->share;
        message->targets = unpack_targets(&wire->targets);
        message->changes = unpack_words(&wire->changes, CHANGE_SIZE);
        message->records = unpack_words(&wire->records, RECORD_SIZE);
    }
    parsleyspur__flow_message__free_unpacked(wire, NULL);
    return valid;
}
