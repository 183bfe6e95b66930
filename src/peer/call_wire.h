/* Encodes and decodes messages of the call core and relayed packets. */
#ifndef PS_PEER_CALL_WIRE_H
#define PS_PEER_CALL_WIRE_H

#include <glib.h>

#include "call/call.h"

void call_wire_pack(const struct call_message *, GByteArray *);
bool call_wire_unpack(const uint8_t *, size_t, struct call_message *);
void call_message_clear(struct call_message *);

void call_wire_pack_packet(const struct call_packet *, GByteArray *);

/* The payload is a copy; free it with call_wire_packet_clear(). */
bool call_wire_unpack_packet(const uint8_t *, size_t, struct call_packet *);
void call_wire_packet_clear(struct call_packet *);

#endif
