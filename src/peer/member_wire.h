/* Membership messages between their plain struct and their bytes. */
#ifndef PS_PEER_MEMBER_WIRE_H
#define PS_PEER_MEMBER_WIRE_H

#include <glib.h>

#include "member/member.h"

void member_wire_pack(const struct member_message *, GByteArray *);
bool member_wire_unpack(const uint8_t *, size_t, struct member_message *);

#endif
