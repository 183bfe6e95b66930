/* Spreading messages between their plain struct and their bytes. */
#ifndef PS_PEER_SPREAD_WIRE_H
#define PS_PEER_SPREAD_WIRE_H

#include <glib.h>

#include "member/spread.h"

void spread_wire_pack(const struct spread_message *, GByteArray *);
bool spread_wire_unpack(const uint8_t *, size_t, struct spread_message *);

/* Free what spread_wire_unpack() allocated. */
void spread_message_clear(struct spread_message *);

#endif
