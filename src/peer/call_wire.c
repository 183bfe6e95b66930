/* Encodes messages of the call core and relayed packets with protobuf-c. */
#include "peer/call_wire.h"

#include "peer/call.pb-c.h"

#include <string.h>

#define OPTION_SIZE 128 /* bytes; more than any call option needs */

static bool is_in_range(const Parsleyspur__CallMessage *);

/* Append the encoded MESSAGE to OUT. */
void
call_wire_pack(const struct call_message *message, GByteArray *out)
{
    Parsleyspur__CallMessage wire = PARSLEYSPUR__CALL_MESSAGE__INIT;
    uint64_t ids[CALL_RECORDS_PER_MESSAGE];
    uint32_t callers[CALL_RECORDS_PER_MESSAGE];
    unsigned start = out->len;

    for (size_t i = 0; i < message->key_count; i++) {
        ids[i] = message->keys[i].id;
        callers[i] = message->keys[i].caller;
    }
    wire.kind = (Parsleyspur__CallMessage__Kind)message->kind;
    wire.pool = message->pool.value;
    wire.epoch = message->epoch;
    wire.previous = message->previous;
    wire.incarnation = message->incarnation;
    wire.first = message->first;
    wire.offset = message->offset;
    wire.end = message->end;
    wire.install = message->carried_over_count;
    wire.held = message->has_log;
    wire.n_ids = message->key_count;
    wire.ids = ids;
    wire.n_callers = message->key_count;
    wire.callers = callers;
    g_byte_array_set_size(
        out,
        start + (unsigned)parsleyspur__call_message__get_packed_size(&wire));
    parsleyspur__call_message__pack(&wire, out->data + start);
}

/* Return true if the values of a decoded message are in range. */
static bool
is_in_range(const Parsleyspur__CallMessage *wire)
{
    return (unsigned)wire->kind < CALL_MSG__MAX && wire->pool != 0 &&
           wire->n_ids == wire->n_callers &&
           wire->n_ids <= CALL_RECORDS_PER_MESSAGE &&
           wire->first <= wire->end && wire->offset <= UINT64_MAX / 2;
}

/*
 * Decode LEN bytes at DATA into MESSAGE.  Return false if they are malformed
 * or out of range; then MESSAGE is unchanged.
 */
bool
call_wire_unpack(const uint8_t *data, size_t len, struct call_message *message)
{
    Parsleyspur__CallMessage *wire =
        parsleyspur__call_message__unpack(NULL, len, data);
    bool valid;

    if (wire == NULL) {
        return false;
    }
    valid = is_in_range(wire);
    if (valid) {
        memset(message, 0, sizeof(*message));
        message->kind = (enum call_message_kind)wire->kind;
        message->pool.value = wire->pool;
        message->epoch = wire->epoch;
        message->previous = wire->previous;
        message->incarnation = wire->incarnation;
        message->first = wire->first;
        message->offset = wire->offset;
        message->end = wire->end;
        message->carried_over_count = wire->install;
        message->has_log = wire->held;
        message->key_count = wire->n_ids;
        for (size_t i = 0; i < wire->n_ids; i++) {
            message->keys[i].id = wire->ids[i];
            message->keys[i].caller = wire->callers[i];
        }
    }
    parsleyspur__call_message__free_unpacked(wire, NULL);
    return valid;
}

/*
 * Clear MESSAGE.  It owns no memory; the function exists since the messages of
 * the other cores have one.
 */
void
call_message_clear(struct call_message *message)
{
    memset(message, 0, sizeof(*message));
}

/* Append the encoded relayed PACKET to OUT. */
void
call_wire_pack_packet(const struct call_packet *packet, GByteArray *out)
{
    Parsleyspur__CallHandOn wire = PARSLEYSPUR__CALL_HAND_ON__INIT;
    uint8_t option[OPTION_SIZE];
    unsigned start = out->len;

    wire.pool = packet->pool.value;
    wire.caller = packet->caller;
    wire.service = packet->service;
    wire.caller_port = packet->caller_port;
    wire.service_port = packet->service_port;
    wire.target = packet->target;
    wire.hops = packet->hops;
    wire.former = packet->to_former_owner;
    wire.released = packet->released_epoch;
    wire.age_us = packet->age_us;
    wire.option.data = option;
    wire.option.len =
        call_option_encode(&packet->option, option, sizeof(option));
    wire.payload.data = (uint8_t *)packet->payload;
    wire.payload.len = packet->payload_len;
    g_byte_array_set_size(
        out,
        start + (unsigned)parsleyspur__call_hand_on__get_packed_size(&wire));
    parsleyspur__call_hand_on__pack(&wire, out->data + start);
}

/*
 * Decode LEN bytes at DATA into PACKET.  Return false if they are malformed or
 * out of range.
 */
bool
call_wire_unpack_packet(const uint8_t *data, size_t len,
                        struct call_packet *packet)
{
    Parsleyspur__CallHandOn *wire =
        parsleyspur__call_hand_on__unpack(NULL, len, data);
    bool valid;

    if (wire == NULL) {
        return false;
    }
    memset(packet, 0, sizeof(*packet));
    valid = wire->pool != 0 && wire->caller_port <= UINT16_MAX &&
            wire->service_port <= UINT16_MAX &&
            call_option_decode(wire->option.data, wire->option.len,
                               &packet->option);
    if (valid) {
        packet->pool.value = wire->pool;
        packet->caller = wire->caller;
        packet->service = wire->service;
        packet->caller_port = (uint16_t)wire->caller_port;
        packet->service_port = (uint16_t)wire->service_port;
        packet->target = wire->target;
        packet->hops = wire->hops;
        packet->to_former_owner = wire->former;
        packet->released_epoch = wire->released;
        packet->age_us = wire->age_us;
        packet->payload = g_memdup2(wire->payload.data, wire->payload.len);
        packet->payload_len = wire->payload.len;
    }
    parsleyspur__call_hand_on__free_unpacked(wire, NULL);
    return valid;
}

/* Free the payload of a decoded PACKET. */
void
call_wire_packet_clear(struct call_packet *packet)
{
    g_free((uint8_t *)packet->payload);
    packet->payload = NULL;
    packet->payload_len = 0;
}
