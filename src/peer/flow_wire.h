/* Encodes and decodes the messages between flow cores. */
#ifndef PS_PEER_FLOW_WIRE_H
#define PS_PEER_FLOW_WIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "flow/flow_message.h"

void flow_wire_pack(const struct flow_message *, GByteArray *);
bool flow_wire_unpack(const uint8_t *, size_t, struct flow_message *);

#endif
